/*
 * Runs that take too long: copies of stragglers, and slow best-effort runs that
 * go on elsewhere.
 */
#include "core_fleet_parts.h"

#define STRAGGLER_CHECK_PERIOD_USEC (100 * GH_USEC_PER_MSEC)
/* A run is a straggler after this many times the mean run time of its stage. */
#define STRAGGLER_FACTOR 2.0
#define STRAGGLER_MIN_MS 500.0
/* A best-effort run whose pace is low for longer than this is moved. */
#define SLOW_BEFORE_MOVE_USEC (700 * GH_USEC_PER_MSEC)

static void copy_stragglers(gh_fleet_t *fleet, gh_time_t now);
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
 * Starts a second run of a task whose run takes far longer than the mean of its
 * stage, or whose worker is unreachable, if the step allows copies.
 */
static void copy_stragglers(gh_fleet_t *fleet, gh_time_t now)
{
	uint32_t n = fleet->runs->len;
	uint32_t i;

	for (i = 0; i < n; i++) {
		const fleet_run_t *run = fleet_run(fleet, i);
		fleet_job_t *job;
		const fleet_stage_t *stage;
		double expected_ms;
		uint32_t worker, task;
		gh_time_t since;
		bool slow;

		if (run->state != RUN_RUNNING && run->state != RUN_STARTING &&
		    run->state != RUN_ORPHAN)
			continue;
		job = fleet_job(fleet, run->job);
		if (!fleet_task_step(job, run->task)->speculative ||
		    job->phase > GH_JOB_RUNNING || job->tasks[run->task].done ||
		    job->tasks[run->task].runs[1] != GH_NONE ||
		    fleet_crash_is_suspect(&job->tasks[run->task]))
			continue;
		stage = fleet_task_stage(job, run->task);
		expected_ms = stage->n_run_times ?
				      stage->mean_run_ms :
				      (double)fleet_task_step(job, run->task)
					      ->estimate_ms;
		since = MAX(run->planned_at,
			    fleet_worker(fleet, run->worker)->cold_until);
		slow = run->planned_at &&
		       (double)gh_time_to_ms(now - since) >
			       MAX(expected_ms * STRAGGLER_FACTOR,
				   STRAGGLER_MIN_MS);
		if (!slow &&
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
			       job->tasks[task].last_run + 1, RUN_PLANNED, now);
		fleet->counts.copies++;
	}
}

/*
 * Stops best-effort runs that have had a low pace for some time if another
 * worker can take them.  Only steps that write checkpoints are moved, because
 * the stop saves what was done.
 */
static void move_slow_runs(gh_fleet_t *fleet, gh_time_t now)
{
	uint32_t n = fleet->runs->len;
	uint32_t i;

	for (i = 0; i < n; i++) {
		const fleet_run_t *run = fleet_run(fleet, i);
		fleet_job_t *job;

		if (run->state != RUN_RUNNING || !run->slow_since ||
		    now - run->slow_since < SLOW_BEFORE_MOVE_USEC)
			continue;
		job = fleet_job(fleet, run->job);
		if (!fleet_task_step(job, run->task)->checkpoints ||
		    fleet_choose_worker(fleet, job, run->task, run->worker,
					now) == GH_NONE)
			continue;
		job->tasks[run->task].avoid_worker = run->worker;
		fleet->counts.moved++;
		fleet_run_stop(
			fleet, i,
			"its pace is low and another worker has capacity", now);
	}
}
