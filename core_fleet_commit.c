/*
 * Ranks of the changes that wait to be committed.
 *
 * A change that begins runs, or ends its job, has the rank with which the job's
 * tasks are placed.  One that only tells of ends is as little urgent as the
 * queue with the lowest priority, and so is that of a job that is late.  See
 * core_commit_order.h for the order.
 */
#include "core_fleet_parts.h"

/* How long a job is set aside at first, and at most. */
#define ASIDE_USEC GH_USEC_PER_SEC
#define ASIDE_MAX_USEC (60 * GH_USEC_PER_SEC)
/* The wait is doubled up to this many times. */
#define ASIDE_DOUBLINGS_MAX 6

static void end_planned_runs(gh_fleet_t *fleet, uint32_t handle, gh_time_t now);

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
	if (job->change_queued && !job->commit_failed && !job->aside_until)
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
	fleet_job(fleet, handle)->times_aside = 0;
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

void gh_fleet_set_aside(gh_fleet_t *fleet, const char *id, gh_time_t now)
{
	uint32_t handle = fleet_job_find(fleet, id);
	gh_task_id_t task;
	fleet_job_t *job;
	gh_time_t wait;
	char *detail;

	if (handle == GH_NONE || fleet_job(fleet, handle)->aside_until)
		return;
	job = fleet_job(fleet, handle);
	wait = MIN(ASIDE_USEC << MIN(job->times_aside, ASIDE_DOUBLINGS_MAX),
		   ASIDE_MAX_USEC);
	gh_commit_order_remove(fleet->changes, handle);
	job->change_queued = true;
	job->aside_until = now + wait;
	job->times_aside++;
	fleet->n_aside++;
	task = fleet_task_id(job, 0);
	detail = g_strdup_printf("for %" G_GINT64_FORMAT " ms, the %u. time",
				 gh_time_to_ms(wait), job->times_aside);
	fleet_emit_event(fleet, "job_set_aside", &task, 0, GH_NONE, detail);
	g_free(detail);
	end_planned_runs(fleet, handle, now);
}

/* The capacity that they hold is for others. */
static void end_planned_runs(gh_fleet_t *fleet, uint32_t handle, gh_time_t now)
{
	uint32_t i;

	for (i = 0; i < fleet->runs->len; i++) {
		const fleet_run_t *run = fleet_run(fleet, i);

		if (run->state == RUN_PLANNED && run->job == handle)
			fleet_run_end(fleet, i, GH_RUN_NOT_STARTED, NULL, now);
	}
}

void fleet_commit_resume(gh_fleet_t *fleet, uint32_t handle)
{
	fleet_job_t *job = fleet_job(fleet, handle);

	if (!job->aside_until)
		return;
	job->aside_until = 0;
	fleet->n_aside--;
	fleet_commit_add(fleet, handle);
}

void fleet_commit_check_aside(gh_fleet_t *fleet, gh_time_t now)
{
	uint32_t i;

	for (i = 0; fleet->n_aside && i < fleet->jobs->len; i++) {
		const fleet_job_t *job = fleet_job(fleet, i);

		if (job->spec && job->aside_until && now >= job->aside_until)
			fleet_commit_resume(fleet, i);
	}
}
