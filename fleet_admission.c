#include "fleet_admission.h"

#include <inttypes.h>

#include "clock.h"
#include "counter.h"
#include "error.h"
#include "log.h"

static const counter_t counters[GH_ADMISSION_REASONS] = {
	[GH_ADMISSION_USEFUL] = CTR_ADMITTED_USEFUL,
	[GH_ADMISSION_NO_ESTIMATE] = CTR_ADMITTED_NO_ESTIMATE,
	[GH_ADMISSION_UNKNOWN] = CTR_ADMITTED_UNKNOWN,
	[GH_ADMISSION_TURN] = CTR_ADMITTED_TURN,
	[GH_ADMISSION_LATE] = CTR_REFUSED_LATE,
	[GH_ADMISSION_NO_MEMORY] = CTR_REFUSED_NO_MEMORY,
};

static bool is_known(const fleet_submission_t *submission);
static GError *refusal_error(const gh_pipeline_t *job,
			     const gh_admission_verdict_t *verdict);
static bool has_memory(const fleet_submission_t *submission,
		       gh_admission_verdict_t *verdict);
static void judge(const fleet_submission_t *submission,
		  gh_admission_verdict_t *verdict);
static void on_state_read(void *ctx, const GError *err);
static void submit(fleet_submission_t *submission);

void fleet_admission_submit(fleet_submission_t *submission)
{
	const gh_pipeline_t *job = submission->job;
	gh_time_t now = clock_boot();
	gh_admission_verdict_t verdict;

	if (is_known(submission) ||
	    fleet_jobs_is_open(submission->jobs, job->id) ||
	    (has_memory(submission, &verdict) && !submission->limit_milli)) {
		submit(submission);
		return;
	}
	if (verdict.reason != GH_ADMISSION_NO_MEMORY)
		judge(submission, &verdict);
	if (!gh_admission_is_refusal(&verdict)) {
		counter_inc(counters[verdict.reason]);
		submit(submission);
		return;
	}
	submission->refusal_reason = verdict.reason;
	submission->refusal_retry_after_ms = verdict.retry_after_ms;
	submission->refusal = refusal_error(job, &verdict);
	/* Without a reply by half the time, the job is written in the rest. */
	fleet_jobs_refresh(submission->jobs, job->id,
			   now + (submission->deadline - now) / 2,
			   on_state_read, submission);
}

/*
 * Without a reply, or with a write of another submission under way, it isn't
 * known that the job never runs.
 */
static void on_state_read(void *ctx, const GError *err)
{
	fleet_submission_t *submission = ctx;
	GError *refusal = submission->refusal;
	bool absent =
		err && gh_error_kind(err) == GH_E_JOB_UNKNOWN &&
		!is_known(submission) &&
		!fleet_jobs_is_open(submission->jobs, submission->job->id);

	counter_inc(absent ? counters[submission->refusal_reason] :
			     CTR_ADMITTED_UNKNOWN);
	if (absent) {
		submission->retry_after_ms = submission->refusal_retry_after_ms;
		submission->done(submission->ctx, refusal);
	} else {
		submit(submission);
	}
	g_error_free(refusal);
}

static GError *refusal_error(const gh_pipeline_t *job,
			     const gh_admission_verdict_t *verdict)
{
	GError *err = NULL;

	if (verdict->reason == GH_ADMISSION_NO_MEMORY)
		gh_error_set(&err, GH_E_JOB_TABLE_FULL,
			     "job %s: the jobs that have not ended take up the "
			     "memory for jobs",
			     job->id);
	else
		gh_error_set(&err, GH_E_DEADLINE_INFEASIBLE,
			     "job %s would end in %" PRId64
			     " ms, its objective is %" PRId64 " ms",
			     job->id, verdict->end_ms, verdict->objective_ms);
	return err;
}

/* Whether the job has memory; else sets verdict. */
static bool has_memory(const fleet_submission_t *submission,
		       gh_admission_verdict_t *verdict)
{
	const gh_pipeline_t *job = submission->job;
	uint64_t open_bytes = fleet_jobs_open_bytes(submission->jobs);

	*verdict = (gh_admission_verdict_t){ 0 };
	if (gh_admission_has_memory(job, open_bytes, submission->memory_max,
				    verdict))
		return true;
	log_event(LOG_INFO, "admission", "job", job->id, "queue", job->queue,
		  "reason", gh_admission_reason_name(verdict->reason),
		  "open_bytes", log_num((int64_t)open_bytes), "retry_after_ms",
		  log_num(verdict->retry_after_ms), NULL);
	return false;
}

static bool is_known(const fleet_submission_t *submission)
{
	fleet_job_state_t state;

	return fleet_jobs_find(submission->jobs, submission->job->id, &state);
}

static void judge(const fleet_submission_t *submission,
		  gh_admission_verdict_t *verdict)
{
	gh_admission_state_t state = {
		.job = submission->job,
		.policy = submission->policy,
		.wall_ms = gh_time_to_ms(clock_real()),
		.limit_milli = submission->limit_milli,
	};

	state.wait_ms =
		fleet_jobs_least_wait_ms(submission->jobs, state.job,
					 state.policy->priority, &state.age);
	gh_admission_judge(&state, verdict);
	if (verdict->reason < GH_ADMISSION_TURN)
		return;
	log_event(LOG_INFO, "admission", "job", state.job->id, "queue",
		  state.job->queue, "reason",
		  gh_admission_reason_name(verdict->reason), "wait_ms",
		  log_num(state.wait_ms), "age_ms",
		  log_num(gh_time_to_ms(state.age)), "end_ms",
		  log_num(verdict->end_ms), "objective_ms",
		  log_num(verdict->objective_ms), "retry_after_ms",
		  log_num(verdict->retry_after_ms), NULL);
}

static void submit(fleet_submission_t *submission)
{
	fleet_jobs_submit(submission->jobs, submission->job,
			  submission->policy->priority, submission->deadline,
			  submission->done, submission->ctx);
}
