/*
 * Headroom of the fleet: what urgent short tasks use and wait for, and which
 * placements of new long-running tasks that puts off; see core_headroom.h.
 *
 * A long-running task that has run before interrupts something and is not put
 * off, nor is one for longer than PUT_OFF_MAX_USEC: by then it is certain that
 * urgent tasks leave the cores unused.  Gangs are not put off, as they start as
 * a whole or not at all and their stages keep no time since which they wait.
 */
#include "core_fleet_parts.h"

#define PUT_OFF_MAX_USEC (1500 * GH_USEC_PER_MSEC)
#define REPORT_PERIOD_USEC GH_USEC_PER_SEC
/* Thousandths in a core. */
#define CORE_MILLI 1000.0

static void sample_demand(fleet_headroom_t *headroom, gh_time_t now);
static void report(gh_fleet_t *fleet, gh_time_t now);
static void add_pieces(gh_fleet_t *fleet, const fleet_worker_t *worker,
		       int64_t sign);

void fleet_headroom_begin(gh_fleet_t *fleet, gh_time_t now)
{
	fleet_headroom_t *headroom = &fleet->headroom;
	double capacity_milli = 0;
	uint32_t i;

	report(fleet, now);
	sample_demand(headroom, now);
	fleet_headroom_forget_waiting(fleet);
	for (i = 0; i < fleet->workers->len; i++)
		if (fleet_worker_is_heard(fleet_worker(fleet, i)))
			capacity_milli +=
				fleet_worker(fleet, i)->entry.size.cores_milli;
	for (i = 0; i < GH_HEADROOM_LEVELS; i++) {
		headroom->targets[i] = gh_headroom_target(&headroom->demand, i,
							  headroom->used_milli,
							  capacity_milli);
		headroom->free_milli[i] = 0;
	}
	for (i = 0; i < fleet->workers->len; i++)
		add_pieces(fleet, fleet_worker(fleet, i), 1);
}

/* Takes in the demand since the last step, of which the waiting tasks count. */
static void sample_demand(fleet_headroom_t *headroom, gh_time_t now)
{
	uint32_t i;

	for (i = 0; i < GH_HEADROOM_LEVELS; i++) {
		double tasks =
			headroom->used_tasks[i] + headroom->waiting_tasks[i];
		double cores =
			headroom->used_milli[i] + headroom->waiting_milli[i];

		gh_headroom_sample(&headroom->demand, i, cores,
				   tasks > 0 ? cores / tasks : 0, now);
	}
}

/* Emits, once a period, what was put off and for which demand. */
static void report(gh_fleet_t *fleet, gh_time_t now)
{
	fleet_headroom_t *headroom = &fleet->headroom;
	uint64_t put_off = fleet->counts.put_off - headroom->put_off_reported;
	char *detail;

	if (!put_off || now < headroom->report_at)
		return;
	headroom->report_at = now + REPORT_PERIOD_USEC;
	headroom->put_off_reported = fleet->counts.put_off;
	detail = g_strdup_printf(
		"%" G_GUINT64_FORMAT " placements, urgent tasks use %.0f and "
		"wait for %.0f cores, %.0f free of %.0f",
		put_off, headroom->used_milli[0] / CORE_MILLI,
		headroom->waiting_milli[0] / CORE_MILLI,
		(double)headroom->free_milli[0] / CORE_MILLI,
		(double)headroom->targets[0].cores_milli / CORE_MILLI);
	fleet_emit_event(fleet, "placements_put_off", NULL, 0, GH_NONE, detail);
	g_free(detail);
}

void fleet_headroom_account(gh_fleet_t *fleet, const fleet_run_t *run, bool add)
{
	fleet_worker_t *worker = fleet_worker(fleet, run->worker);
	const gh_step_t *step =
		fleet_task_step(fleet_job(fleet, run->job), run->task);
	uint32_t sign = add ? 1 : -1;

	if (step->best_effort)
		return;
	add_pieces(fleet, worker, -1);
	worker->reserved.cores_milli += sign * step->size.cores_milli;
	add_pieces(fleet, worker, 1);
	if (step->long_running)
		return;
	fleet->headroom.used_tasks[run->level] += add ? 1 : -1;
	fleet->headroom.used_milli[run->level] +=
		add ? step->size.cores_milli : -(double)step->size.cores_milli;
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
			sign * gh_headroom_pieces(
				       &headroom->targets[i],
				       fleet_worker_free_cores_milli(worker));
}

uint32_t fleet_headroom_level(const gh_fleet_t *fleet, const fleet_job_t *job)
{
	return gh_headroom_level(fleet_job_policy(fleet, job)->priority);
}

void fleet_headroom_note_waiting(gh_fleet_t *fleet, const fleet_job_t *job,
				 const gh_step_t *step, uint32_t tasks)
{
	uint32_t level = fleet_headroom_level(fleet, job);

	if (step->best_effort || step->long_running)
		return;
	fleet->headroom.waiting_tasks[level] += tasks;
	fleet->headroom.waiting_milli[level] +=
		(double)tasks * step->size.cores_milli;
}

void fleet_headroom_forget_waiting(gh_fleet_t *fleet)
{
	uint32_t i;

	for (i = 0; i < GH_HEADROOM_LEVELS; i++)
		fleet->headroom.waiting_tasks[i] =
			fleet->headroom.waiting_milli[i] = 0;
}

bool fleet_headroom_yields(const gh_fleet_t *fleet, const fleet_job_t *job,
			   uint32_t task)
{
	const gh_step_t *step = fleet_task_step(job, task);

	return step->long_running && !step->gang &&
	       !fleet_task(job, task)->last_run &&
	       fleet->headroom.targets[fleet_headroom_level(fleet, job)]
		       .applies;
}

bool fleet_headroom_is_bound(const gh_fleet_t *fleet, const fleet_job_t *job,
			     uint32_t task, gh_time_t now)
{
	gh_time_t waiting_since = fleet_task_stage(job, task)->waiting_since;

	return fleet_headroom_yields(fleet, job, task) &&
	       (!waiting_since || now - waiting_since < PUT_OFF_MAX_USEC);
}

bool fleet_headroom_admits(const gh_fleet_t *fleet, const fleet_job_t *job,
			   uint32_t task, const fleet_worker_t *worker)
{
	const gh_step_t *step = fleet_task_step(job, task);
	uint32_t level = fleet_headroom_level(fleet, job);
	const gh_headroom_target_t *target = &fleet->headroom.targets[level];
	int64_t free_milli = fleet->headroom.free_milli[level];
	int64_t left = free_milli -
		       gh_headroom_pieces(
			       target, fleet_worker_free_cores_milli(worker)) +
		       gh_headroom_pieces(
			       target, fleet_worker_free_cores_milli(worker) -
					       step->size.cores_milli);

	return left >= target->cores_milli || left == free_milli;
}
