/*
 * Runs that take too long: copies of stragglers, and slow best-effort runs that
 * go on elsewhere.
 */
#include "core_fleet_parts.h"
#include "core_fleet_times.h"
#include "core_slow_move.h"

#define STRAGGLER_CHECK_PERIOD_USEC (100 * GH_USEC_PER_MSEC)
/* A best-effort run whose pace is low for longer than this is moved. */
#define SLOW_BEFORE_MOVE_USEC (700 * GH_USEC_PER_MSEC)
#define SLOW_REASON_MAX 160 /* bytes of the reason of a move */

static void copy_stragglers(gh_fleet_t *fleet, gh_time_t now);
static gh_slow_run_t describe_slow_run(const gh_fleet_t *fleet,
				       const fleet_run_t *run, gh_time_t now);
static void move_slow_run(gh_fleet_t *fleet, uint32_t ref,
			  const gh_slow_run_t *slow, gh_time_t now);
static void move_slow_runs(gh_fleet_t *fleet, gh_time_t now);

void fleet_copy_check(gh_fleet_t *fleet, gh_time_t now)
{
	if (now - fleet->stragglers_checked_at < STRAGGLER_CHECK_PERIOD_USEC)
		return;
	fleet->stragglers_checked_at = now;
	copy_stragglers(fleet, now);
	move_slow_runs(fleet, now);
}

/*
 * Starts a second run of a task whose run takes far longer than expected, or
 * whose worker is unreachable, if the step allows copies.
 */
static void copy_stragglers(gh_fleet_t *fleet, gh_time_t now)
{
	uint32_t n = fleet->runs->len;
	uint32_t i;

	for (i = 0; i < n; i++) {
		const fleet_run_t *run = fleet_run(fleet, i);
		fleet_job_t *job;
		uint32_t worker, task;

		if (run->state != RUN_RUNNING && run->state != RUN_STARTING &&
		    run->state != RUN_ORPHAN)
			continue;
		job = fleet_job(fleet, run->job);
		if (!fleet_task_step(job, run->task)->speculative ||
		    job->phase > GH_JOB_RUNNING ||
		    fleet_task(job, run->task)->done ||
		    fleet_task(job, run->task)->runs[1] != GH_NONE ||
		    fleet_crash_is_suspect(fleet_task(job, run->task)))
			continue;
		if (!fleet_times_is_straggler(fleet, run, now) &&
		    !fleet_worker(fleet, run->worker)->unreachable_since)
			continue;
		if (!fleet_budget_allows(fleet))
			return;
		task = run->task;
		worker =
			fleet_choose_worker(fleet, job, task, run->worker, now);
		if (worker == GH_NONE)
			continue;
		fleet_run_open(fleet, run->job, task, worker,
			       fleet_task(job, task)->last_run + 1, RUN_PLANNED,
			       now);
		fleet->counts.copies++;
	}
}

static gh_slow_run_t describe_slow_run(const gh_fleet_t *fleet,
				       const fleet_run_t *run, gh_time_t now)
{
	const fleet_job_t *job = fleet_job(fleet, run->job);
	uint32_t stage = fleet_stage_index(job, run->task);

	return (gh_slow_run_t){
		.estimate_ms = fleet_times_estimate(fleet, job, stage, now)
				       ->expected_ms,
		.worked_ms = run->worked_ms,
		.first_percent = run->first_percent,
		.percent = run->progress_percent,
		.pace_percent = run->pace_percent,
		.stop_ms = fleet->setup.stop_ms,
		.slow_ms = gh_time_to_ms(now - run->slow_since),
	};
}

static void move_slow_run(gh_fleet_t *fleet, uint32_t ref,
			  const gh_slow_run_t *slow, gh_time_t now)
{
	const fleet_run_t *run = fleet_run(fleet, ref);
	char why[SLOW_REASON_MAX];

	g_snprintf(why, sizeof(why),
		   "its pace is low and another worker has capacity: "
		   "pace_percent=%u percent=%u left_ms=%.0f gain_ms=%.0f",
		   slow->pace_percent, slow->percent, gh_slow_run_left_ms(slow),
		   gh_slow_run_gain_ms(slow));
	fleet_task(fleet_job(fleet, run->job), run->task)->avoid_worker =
		run->worker;
	fleet->counts.moved++;
	fleet_run_stop(fleet, ref, why, now);
}

/*
 * Stops best-effort runs that have had a low pace for some time if another
 * worker can take them and is expected to end them earlier.  Only steps that
 * write checkpoints are moved, because the stop saves what was done.
 */
static void move_slow_runs(gh_fleet_t *fleet, gh_time_t now)
{
	uint32_t n = fleet->runs->len;
	uint32_t i;

	for (i = 0; i < n; i++) {
		const fleet_run_t *run = fleet_run(fleet, i);
		gh_slow_run_t slow;
		fleet_job_t *job;

		if (run->state != RUN_RUNNING || !run->slow_since ||
		    now - run->slow_since < SLOW_BEFORE_MOVE_USEC)
			continue;
		job = fleet_job(fleet, run->job);
		if (!fleet_task_step(job, run->task)->checkpoints)
			continue;
		slow = describe_slow_run(fleet, run, now);
		if (gh_slow_run_gain_ms(&slow) > 0 &&
		    fleet_choose_worker(fleet, job, run->task, run->worker,
					now) != GH_NONE)
			move_slow_run(fleet, i, &slow, now);
	}
}

void fleet_run_note_progress(fleet_run_t *run, uint32_t percent, gh_time_t now)
{
	if (!run->running_since) {
		run->running_since = now;
		run->first_percent = percent;
	} else if (run->listed_at) {
		run->worked_ms += (double)gh_time_to_ms(now - run->listed_at) *
				  run->pace_percent / 100;
	}
	if (run->progress_percent == percent)
		return;
	run->progress_percent = percent;
	run->progress_at = now;
}
