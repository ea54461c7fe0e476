/*
 * Reservation of workers for long-running tasks.
 *
 * Handles loads that keep all workers full with short tasks.  No worker ever
 * has the free capacity that a larger, long-running task needs then, as smaller
 * tasks take each part of it that becomes free.  A worker is reserved for such
 * a task once it has waited for RESERVE_AFTER_USEC: nothing else starts there
 * until the task does or the reservation is given up.  Nothing is stopped for
 * it.
 */
#include "core_fleet_parts.h"

/* A long-running task that waits for longer than this reserves a worker. */
#define RESERVE_AFTER_USEC (500 * GH_USEC_PER_MSEC)
/* The same for one that has not run yet, while urgent short tasks wait. */
#define YIELD_USEC (1500 * GH_USEC_PER_MSEC)
#define RESERVE_PERIOD_USEC (100 * GH_USEC_PER_MSEC)
/* A reservation that is not renewed ends after this time. */
#define RESERVED_USEC (200 * GH_USEC_PER_MSEC)
/*
 * What runs on the worker may take long: other tasks wait for it no longer than
 * this, and then get their turn before a worker is reserved again, for twice as
 * long.  Else a task that needs the room of several long runs never begins.
 */
#define RESERVE_MAX_USEC (2 * GH_USEC_PER_SEC)
#define RESERVE_DOUBLINGS_MAX 3
#define RESERVE_PAUSE_USEC GH_USEC_PER_SEC
/* After this time without a reservation the next one is not longer. */
#define RESERVE_FORGET_USEC (3 * GH_USEC_PER_SEC)
/* At most a quarter of the workers are reserved, but one may always be. */
#define RESERVED_DIVISOR 4

static bool is_given_up(fleet_stage_t *stage, gh_time_t now);
static bool fits_beside_long_running(const gh_fleet_t *fleet,
				     const fleet_worker_t *worker,
				     const gh_step_t *step);

void fleet_reserve_worker(gh_fleet_t *fleet, uint32_t handle, uint32_t stage,
			  uint32_t task, gh_time_t now)
{
	fleet_job_t *job = fleet_job(fleet, handle);
	const fleet_task_t *owner = fleet_task(job, task)->group;
	bool yields = fleet_headroom_yields(fleet, job, task);
	uint32_t n_others = 0;
	uint32_t best = GH_NONE;
	uint32_t i;

	if (now - fleet_stage(job, stage)->waiting_since <
		    (yields ? YIELD_USEC : RESERVE_AFTER_USEC) ||
	    now < fleet_stage(job, stage)->reserve_at)
		return;
	if (is_given_up(fleet_stage(job, stage), now))
		return;
	fleet_stage(job, stage)->reserve_at = now + RESERVE_PERIOD_USEC;
	for (i = 0; i < fleet->workers->len; i++) {
		const fleet_worker_t *worker = fleet_worker(fleet, i);
		bool is_reserved = worker->in_use && now < worker->kept_until;
		bool is_mine = is_reserved && worker->kept_for == owner;

		if (is_reserved && !is_mine)
			n_others++;
		else if (worker->in_use &&
			 fleet_choose_lacks_capacity(fleet, job, stage, i,
						     now) &&
			 fits_beside_long_running(fleet, worker,
						  fleet_task_step(job, task)) &&
			 (is_mine || best == GH_NONE ||
			  fleet_worker_free_cores_milli(worker) >
				  fleet_worker_free_cores_milli(
					  fleet_worker(fleet, best))))
			best = i;
		if (is_mine && best == i)
			break;
	}
	if (best == GH_NONE ||
	    (n_others && n_others >= g_hash_table_size(fleet->worker_by_id) /
					     RESERVED_DIVISOR))
		return;
	if (!fleet_stage(job, stage)->reserve_give_up_at)
		fleet_stage(job, stage)->reserve_give_up_at =
			now + (RESERVE_MAX_USEC
			       << MIN(fleet_stage(job, stage)->reserved_in_vain,
				      RESERVE_DOUBLINGS_MAX));
	fleet_worker(fleet, best)->kept_for = owner;
	fleet_worker(fleet, best)->kept_until = now + RESERVED_USEC;
	fleet_stage(job, stage)->reserved_until = now + RESERVED_USEC;
}

/* Begins a pause if a worker has been reserved in vain for too long. */
static bool is_given_up(fleet_stage_t *stage, gh_time_t now)
{
	if (stage->reserve_give_up_at && now > stage->reserved_until)
		stage->reserve_give_up_at = 0;
	if (now - stage->reserved_until > RESERVE_FORGET_USEC)
		stage->reserved_in_vain = 0;
	if (!stage->reserve_give_up_at || now < stage->reserve_give_up_at)
		return false;
	stage->reserve_give_up_at = 0;
	stage->reserved_in_vain++;
	stage->reserve_at = now + RESERVE_PAUSE_USEC;
	return true;
}

/* Whether a task of the step fits once the worker's short tasks have ended. */
static bool fits_beside_long_running(const gh_fleet_t *fleet,
				     const fleet_worker_t *worker,
				     const gh_step_t *step)
{
	gh_capacity_t used = { 0 };
	uint32_t ref;

	for (ref = worker->first_run; ref != GH_NONE;
	     ref = fleet_run(fleet, ref)->next) {
		const fleet_run_t *run = fleet_run(fleet, ref);
		const gh_step_t *other =
			fleet_task_step(fleet_job(fleet, run->job), run->task);

		if (other->long_running)
			gh_capacity_add(&used, &other->size, 1);
	}
	return step->size.accelerators <= worker->entry.size.accelerators &&
	       used.cores_milli + step->size.cores_milli <=
		       worker->entry.size.cores_milli &&
	       used.memory_mb + step->size.memory_mb <=
		       worker->entry.size.memory_mb;
}
