/*
 * Ranks of the changes that wait to be committed.
 *
 * A change that begins runs, or ends its job, has the rank with which the job's
 * tasks are placed.  One that only tells of ends is as little urgent as the
 * queue with the lowest priority, and so is that of a job that is late.  See
 * core_commit_order.h for the order.
 */
#include "core_fleet_parts.h"

/* Rank of a change that has no haste. */
static uint32_t last_rank(const gh_fleet_t *fleet)
{
	return fleet->last_priority;
}

void fleet_commit_add(gh_fleet_t *fleet, uint32_t handle)
{
	gh_commit_order_add(fleet->changes, handle, last_rank(fleet));
}

void fleet_commit_hasten(gh_fleet_t *fleet, uint32_t handle)
{
	const fleet_job_t *job = fleet_job(fleet, handle);

	/* One that failed lately must not hold up those behind it again. */
	if (job->change_queued && !job->commit_failed)
		gh_commit_order_add(fleet->changes, handle,
				    MIN(job->rank, last_rank(fleet)));
}

void fleet_commit_handle_failure(gh_fleet_t *fleet, uint32_t handle)
{
	fleet_job_t *job = fleet_job(fleet, handle);

	fleet_job_mark_changed(fleet, handle);
	fleet_commit_hasten(fleet, handle);
	job->commit_failed = true;
	if (fleet->commit_failed_job == GH_NONE)
		fleet->commit_failed_job = handle;
	fleet->commits_failed |= fleet->commit_failed_job != handle;
}

/*
 * Where the changes of several jobs failed and none was committed, it was not
 * for one of them, so all get their ranks again.
 */
void fleet_commit_handle_success(gh_fleet_t *fleet, uint32_t handle)
{
	bool was_away = fleet->commits_failed;
	uint32_t i;

	fleet_job(fleet, handle)->commit_failed = false;
	fleet->commit_failed_job = GH_NONE;
	fleet->commits_failed = false;
	for (i = 0; was_away && i < fleet->jobs->len; i++) {
		fleet_job_t *job = fleet_job(fleet, i);

		if (!job->spec || !job->commit_failed)
			continue;
		job->commit_failed = false;
		fleet_commit_hasten(fleet, i);
	}
}

uint32_t fleet_commit_ahead(const gh_fleet_t *fleet, const fleet_job_t *job)
{
	return gh_commit_order_ahead(fleet->changes,
				     MIN(job->rank, last_rank(fleet)));
}
