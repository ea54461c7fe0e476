/*
 * How far an owner is behind: what it has placed and not yet committed holds
 * capacity that nothing uses.  An owner that leaves its shard takes it back.
 */
#include "core_fleet_parts.h"

void gh_fleet_backlog(const gh_fleet_t *fleet, gh_fleet_backlog_t *backlog)
{
	uint32_t i;

	*backlog = (gh_fleet_backlog_t){
		.pending_tasks = fleet->counts.pending_tasks,
		.begun_lately = (uint32_t)(fleet->budget.begun_lately + 0.5),
		.tick_gap = (gh_time_t)fleet->mean_tick_gap,
	};
	for (i = 0; i < fleet->workers->len; i++)
		if (fleet_worker(fleet, i)->in_use)
			backlog->cores_milli +=
				fleet_worker(fleet, i)->entry.size.cores_milli;
	for (i = 0; i < fleet->runs->len; i++) {
		const fleet_run_t *run = fleet_run(fleet, i);
		const gh_step_t *step;
		int64_t cores;

		if (run->state == RUN_FREE || run->state == RUN_HELD)
			continue;
		step = fleet_task_step(fleet_job(fleet, run->job), run->task);
		cores = step->best_effort ? 0 : step->size.cores_milli;
		if (run->state != RUN_PLANNED) {
			backlog->begun_runs++;
			backlog->begun_cores_milli += cores;
			continue;
		}
		backlog->planned_runs++;
		backlog->planned_cores_milli += cores;
		if (!backlog->planned_since ||
		    run->planned_at < backlog->planned_since) {
			backlog->planned_since = run->planned_at;
			backlog->oldest = fleet_task_id(
				fleet_job(fleet, run->job), run->task);
		}
	}
}

void gh_fleet_end_unsent(gh_fleet_t *fleet, bool sends, gh_time_t now)
{
	uint32_t i;

	for (i = 0; i < fleet->runs->len; i++) {
		const fleet_run_t *run = fleet_run(fleet, i);

		if (run->state == RUN_PLANNED ||
		    (!sends && fleet_run_is_unsent(run)))
			fleet_run_end(fleet, i, GH_RUN_NOT_STARTED, NULL, now);
	}
}
