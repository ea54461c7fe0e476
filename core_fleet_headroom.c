/*
 * Headroom of the fleet: what urgent short tasks use and wait for, and which
 * workers that leaves to less urgent ones; see core_headroom.h.
 *
 * Long-running and best-effort tasks are not bound, nor is a job of which
 * nothing has run for JOB_IDLE_MAX_USEC, nor anything while half of the
 * workers' capacity is free.
 */
#include "core_fleet_parts.h"

/* Less urgent work goes on in any case after this time. */
#define JOB_IDLE_MAX_USEC GH_USEC_PER_SEC

static int64_t free_cores_milli(const fleet_worker_t *worker);
static void add_pieces(gh_fleet_t *fleet, const fleet_worker_t *worker,
		       int64_t sign);

void fleet_headroom_begin(gh_fleet_t *fleet, gh_time_t now)
{
	fleet_headroom_t *headroom = &fleet->headroom;
	double capacity_milli = 0;
	uint32_t i;

	for (i = 0; i < GH_HEADROOM_LEVELS; i++) {
		double n = headroom->used_tasks[i] + headroom->waiting_tasks[i];
		double cores =
			headroom->used_milli[i] + headroom->waiting_milli[i];

		gh_headroom_sample(&headroom->demand, i, cores,
				   n > 0 ? cores / n : 0, now);
		headroom->waiting_tasks[i] = headroom->waiting_milli[i] = 0;
		headroom->free_milli[i] = 0;
	}
	for (i = 0; i < fleet->workers->len; i++)
		if (fleet_worker_is_heard(fleet_worker(fleet, i)))
			capacity_milli +=
				fleet_worker(fleet, i)->entry.size.cores_milli;
	for (i = 0; i < GH_HEADROOM_LEVELS; i++)
		headroom->targets[i] = gh_headroom_target(&headroom->demand, i,
							  headroom->used_milli,
							  capacity_milli);
	for (i = 0; i < fleet->workers->len; i++)
		add_pieces(fleet, fleet_worker(fleet, i), 1);
}

/* Adds the worker's free pieces to the totals, or takes them off. */
static void add_pieces(gh_fleet_t *fleet, const fleet_worker_t *worker,
		       int64_t sign)
{
	fleet_headroom_t *headroom = &fleet->headroom;
	uint32_t i;

	if (!fleet_worker_is_heard(worker))
		return;
	for (i = 0; i < GH_HEADROOM_LEVELS; i++)
		headroom->free_milli[i] +=
			sign * gh_headroom_pieces(&headroom->targets[i],
						  free_cores_milli(worker));
}

static int64_t free_cores_milli(const fleet_worker_t *worker)
{
	return (int64_t)worker->entry.size.cores_milli -
	       worker->reserved.cores_milli;
}

void fleet_headroom_account(gh_fleet_t *fleet, const fleet_run_t *run, bool add)
{
	fleet_worker_t *worker = fleet_worker(fleet, run->worker);
	const gh_step_t *step =
		fleet_task_step(fleet_job(fleet, run->job), run->task);
	double sign = add ? 1 : -1;

	if (step->best_effort)
		return;
	add_pieces(fleet, worker, -1);
	worker->reserved.cores_milli +=
		(add ? 1u : -1u) * step->size.cores_milli;
	add_pieces(fleet, worker, 1);
	if (step->long_running)
		return;
	fleet->headroom.used_tasks[run->level] += sign;
	fleet->headroom.used_milli[run->level] += sign * step->size.cores_milli;
}

void fleet_headroom_note_waiting(gh_fleet_t *fleet, const fleet_job_t *job,
				 const gh_step_t *step, uint32_t tasks)
{
	uint32_t level =
		gh_headroom_level(fleet_job_policy(fleet, job)->priority);

	if (step->best_effort || step->long_running)
		return;
	fleet->headroom.waiting_tasks[level] += tasks;
	fleet->headroom.waiting_milli[level] +=
		(double)tasks * step->size.cores_milli;
}

uint32_t fleet_headroom_level_of(const gh_fleet_t *fleet,
				 const fleet_job_t *job, const gh_step_t *step,
				 gh_time_t now)
{
	if (step->best_effort || step->long_running || !fleet->busy ||
	    (!job->open_runs && now - job->idle_since > JOB_IDLE_MAX_USEC))
		return 0;
	return gh_headroom_level(fleet_job_policy(fleet, job)->priority);
}

bool fleet_headroom_admits(const gh_fleet_t *fleet, uint32_t level,
			   const gh_step_t *step, const fleet_worker_t *worker)
{
	const gh_headroom_target_t *target = &fleet->headroom.targets[level];
	int64_t left;

	if (!level || !target->cores_milli)
		return true;
	left = fleet->headroom.free_milli[level] -
	       gh_headroom_pieces(target, free_cores_milli(worker)) +
	       gh_headroom_pieces(target, free_cores_milli(worker) -
						  step->size.cores_milli);
	return left >= target->cores_milli ||
	       left == fleet->headroom.free_milli[level];
}
