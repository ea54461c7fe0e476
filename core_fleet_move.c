/*
 * Moves of long-running tasks to other shards.
 */
#include "core_fleet_state.h"

void gh_fleet_peer_set(gh_fleet_t *fleet, uint32_t shard,
		       const gh_shard_load_t *load, gh_time_t now)
{
	(void)fleet;
	(void)shard;
	(void)load;
	(void)now;
}

bool gh_fleet_guest_add(gh_fleet_t *fleet, gh_pipeline_t *pipeline,
			const char *progress, GError **err)
{
	return gh_fleet_job_add(fleet, pipeline, progress, err);
}

bool gh_fleet_task_arrive(gh_fleet_t *fleet, const gh_task_move_t *move,
			  gh_time_t now)
{
	(void)now;
	return gh_fleet_has_job(fleet, move->task.job);
}

uint32_t gh_fleet_next_change_moves(const gh_fleet_t *fleet)
{
	(void)fleet;
	return 0;
}
