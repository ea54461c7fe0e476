#include "fleet_admission.h"

#include <inttypes.h>

#include "clock.h"
#include "core_admission.h"
#include "counter.h"
#include "error.h"
#include "log.h"

static const counter_t counters[GH_ADMISSION_REASONS] = {
	[GH_ADMISSION_USEFUL] = CTR_ADMITTED_USEFUL,
	[GH_ADMISSION_NO_ESTIMATE] = CTR_ADMITTED_NO_ESTIMATE,
	[GH_ADMISSION_UNKNOWN] = CTR_ADMITTED_UNKNOWN,
	[GH_ADMISSION_TURN] = CTR_ADMITTED_TURN,
	[GH_ADMISSION_LATE] = CTR_REFUSED_LATE,
};

static void log_verdict(const gh_admission_state_t *state,
			const gh_admission_verdict_t *verdict);

bool fleet_admission_check(fleet_jobs_t *jobs, const gh_pipeline_t *job,
			   const gh_queue_policy_t *policy, int64_t limit_milli,
			   int64_t *retry_after_ms, GError **err)
{
	gh_admission_state_t state = { .job = job,
				       .policy = policy,
				       .wall_ms = gh_time_to_ms(clock_real()),
				       .limit_milli = limit_milli };
	gh_admission_verdict_t verdict;

	if (!limit_milli || fleet_jobs_is_accepted(jobs, job->id, job->queue) ||
	    fleet_jobs_is_open(jobs, job->id))
		return true;
	state.wait_ms = fleet_jobs_least_wait_ms(jobs, job, policy->priority,
						 &state.age);
	gh_admission_judge(&state, &verdict);
	counter_inc(counters[verdict.reason]);
	if (verdict.reason >= GH_ADMISSION_TURN)
		log_verdict(&state, &verdict);
	if (!gh_admission_is_refusal(&verdict))
		return true;
	*retry_after_ms = verdict.retry_after_ms;
	gh_error_set(err, GH_E_DEADLINE_INFEASIBLE,
		     "job %s would end in %" PRId64 " ms, its objective is "
		     "%" PRId64 " ms",
		     job->id, verdict.end_ms, verdict.objective_ms);
	return false;
}

static void log_verdict(const gh_admission_state_t *state,
			const gh_admission_verdict_t *verdict)
{
	log_event(LOG_INFO, "admission", "job", state->job->id, "queue",
		  state->job->queue, "reason",
		  gh_admission_reason_name(verdict->reason), "wait_ms",
		  log_num(state->wait_ms), "age_ms",
		  log_num(gh_time_to_ms(state->age)), "end_ms",
		  log_num(verdict->end_ms), "objective_ms",
		  log_num(verdict->objective_ms), "retry_after_ms",
		  log_num(verdict->retry_after_ms), NULL);
}
