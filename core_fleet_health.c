/*
 * Worker health, derived from the outcomes and the progress of runs.
 *
 * Detects workers that fail every run, whose runs make no progress or that are
 * slow, although they report themselves as healthy.
 */
#include "core_fleet_parts.h"
#include "core_fleet_times.h"

/*
 * A worker is quarantined after this many failed runs without a completed one;
 * only a job's first failure on any worker counts.
 */
#define QUARANTINE_FAILURES 2
#define QUARANTINE_USEC (3 * GH_USEC_PER_SEC)
#define QUARANTINE_DOUBLINGS_MAX 3
#define HEALTH_CHECK_PERIOD_USEC (200 * GH_USEC_PER_MSEC)
/*
 * A run without progress for longer than this counts as hanging.  Progress is
 * reported in whole percents, so a long task gets the time of two of them more.
 * The time doubles with each run of the task that was stopped, up to a limit,
 * as the estimate can be far too low.
 */
#define HANG_TIMEOUT_USEC (2500 * GH_USEC_PER_MSEC)
#define HANG_PERCENTS 2
#define HANG_DOUBLINGS_MAX 6
/* For this long after a quarantine the worker gets a single run only. */
#define PROBE_TIME_USEC (2 * GH_USEC_PER_SEC)
/* weight of the latest run in a worker's run_time_ratio */
#define RUN_TIME_WEIGHT 0.2
/* min weight of the latest run in a stage's mean_run_ms */
#define MEAN_WEIGHT_MIN 0.1
static void quarantine_worker(gh_fleet_t *fleet, uint32_t handle,
			      const char *why, gh_time_t now);
static bool run_hangs(const gh_fleet_t *fleet, const fleet_run_t *run);
static gh_time_t hang_timeout(const gh_step_t *step, const fleet_task_t *task);
static void record_run_time(gh_fleet_t *fleet, const fleet_run_t *run,
			    gh_time_t now);

void fleet_health_record_end(gh_fleet_t *fleet, const fleet_run_t *run,
			     gh_run_outcome_t outcome, gh_time_t now)
{
	fleet_worker_t *worker = fleet_worker(fleet, run->worker);
	fleet_job_t *job = fleet_job(fleet, run->job);

	switch (outcome) {
	case GH_RUN_DONE:
		fleet->counts.done++;
		worker->fail_streak = 0;
		worker->quarantines_in_row = 0;
		record_run_time(fleet, run, now);
		fleet_times_note_done(fleet, run, now);
		break;
	case GH_RUN_FAILED:
		fleet->counts.failed++;
		fleet_times_note_failed(fleet, run, now);
		/*
		 * Only a job's first failed run counts against a worker;
		 * further ones may be the job's own fault.
		 */
		if (job->first_failed_worker != GH_NONE)
			break;
		job->first_failed_worker = run->worker;
		if (++worker->fail_streak >= QUARANTINE_FAILURES)
			quarantine_worker(fleet, run->worker,
					  "runs of several jobs failed", now);
		break;
	case GH_RUN_STOPPED:
		fleet->counts.stopped++;
		break;
	case GH_RUN_LEASE_EXPIRED:
		fleet->counts.lease_expired++;
		break;
	case GH_RUN_LOST:
		fleet->counts.lost++;
		break;
	default:
		break;
	}
}

bool fleet_health_is_usable(const fleet_worker_t *worker, gh_time_t now)
{
	if (now < worker->quarantined_until ||
	    fleet_worker_is_barred(worker, now))
		return false;
	/*
	 * For PROBE_TIME_USEC after a quarantine only a single run may start,
	 * as a probe.
	 */
	return !worker->quarantines_in_row ||
	       now > worker->quarantined_until + PROBE_TIME_USEC ||
	       worker->last_placed_at < worker->quarantined_until;
}

void fleet_health_check(gh_fleet_t *fleet, gh_time_t now)
{
	uint32_t i;

	if (now - fleet->health_checked_at < HEALTH_CHECK_PERIOD_USEC)
		return;
	fleet->health_checked_at = now;
	for (i = 0; i < fleet->runs->len; i++) {
		const fleet_run_t *run = fleet_run(fleet, i);

		if (run->state != RUN_RUNNING || !run_hangs(fleet, run))
			continue;
		fleet->counts.hangs++;
		fleet_task(fleet_job(fleet, run->job), run->task)->hangs++;
		quarantine_worker(fleet, run->worker, "a task made no progress",
				  now);
		fleet_run_stop(fleet, i, "it made no progress", now);
	}
}

static bool run_hangs(const gh_fleet_t *fleet, const fleet_run_t *run)
{
	const fleet_job_t *job = fleet_job(fleet, run->job);
	const gh_step_t *step = fleet_task_step(job, run->task);
	const fleet_worker_t *worker = fleet_worker(fleet, run->worker);

	if (!run->running_since || worker->unreachable_since ||
	    step->best_effort || run->pace_percent < 100)
		return false;
	if (step->long_running && run->progress_percent == 100)
		return false;
	return worker->last_report_at -
		       MAX(MAX(run->progress_at, run->running_since),
			   worker->cold_until) >
	       hang_timeout(step, fleet_task(job, run->task));
}

static gh_time_t hang_timeout(const gh_step_t *step, const fleet_task_t *task)
{
	gh_time_t percents =
		gh_time_from_ms(step->estimate_ms) * HANG_PERCENTS / 100;

	return (HANG_TIMEOUT_USEC + percents)
	       << MIN(task->hangs, HANG_DOUBLINGS_MAX);
}

static void quarantine_worker(gh_fleet_t *fleet, uint32_t handle,
			      const char *why, gh_time_t now)
{
	fleet_worker_t *worker = fleet_worker(fleet, handle);

	if (now < worker->quarantined_until)
		return;
	worker->quarantined_until =
		now + (QUARANTINE_USEC << MIN(worker->quarantines_in_row,
					      QUARANTINE_DOUBLINGS_MAX));
	worker->quarantines_in_row++;
	fleet->counts.quarantines++;
	fleet_emit_event(fleet, "worker_quarantined", NULL, 0, handle, why);
}

static void record_run_time(gh_fleet_t *fleet, const fleet_run_t *run,
			    gh_time_t now)
{
	fleet_worker_t *worker = fleet_worker(fleet, run->worker);
	fleet_job_t *job = fleet_job(fleet, run->job);
	fleet_stage_t *stage = fleet_task_stage(job, run->task);
	double run_ms;
	double weight;

	if (!run->planned_at || run->planned_at < worker->cold_until ||
	    fleet_task_step(job, run->task)->best_effort)
		return;
	run_ms = (double)gh_time_to_ms(now - run->planned_at);
	if (stage->n_run_times)
		worker->run_time_ratio +=
			RUN_TIME_WEIGHT * (run_ms / MAX(stage->mean_run_ms, 1) -
					   worker->run_time_ratio);
	stage->n_run_times++;
	weight = MAX(1.0 / stage->n_run_times, MEAN_WEIGHT_MIN);
	stage->mean_run_ms += weight * (run_ms - stage->mean_run_ms);
}
