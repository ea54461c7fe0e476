/*
 * Headroom of the fleet: what urgent short tasks use and wait for, and which
 * placements of other tasks that puts off; see core_headroom.h.
 *
 * Less urgent short tasks are bound while half of the workers' capacity is in
 * use.  No job starves for it: of those of which nothing has run for
 * JOB_IDLE_MAX_USEC, one task each IDLE_PERIOD_USEC is not bound.
 * Long-running tasks hold their cores for good: one that has not run yet is
 * put off for PUT_OFF_MAX_USEC, so that it starts where urgent tasks leave
 * cores unused.  Best-effort tasks reserve no cores and are not bound.
 */
#include "core_fleet_parts.h"

#define JOB_IDLE_MAX_USEC GH_USEC_PER_SEC
#define IDLE_PERIOD_USEC GH_USEC_PER_SEC
#define PUT_OFF_MAX_USEC (1500 * GH_USEC_PER_MSEC)
/* Thousandths in a core. */
#define CORE_MILLI 1000.0
#define REPORT_PERIOD_USEC GH_USEC_PER_SEC

static void sample_demand(fleet_headroom_t *headroom, gh_time_t now);
static void report(gh_fleet_t *fleet, gh_time_t now);
static bool is_idle(const fleet_job_t *job, gh_time_t now);
static int64_t free_cores_milli(const fleet_worker_t *worker);
static void add_pieces(gh_fleet_t *fleet, const fleet_worker_t *worker,
		       int64_t sign);

void fleet_headroom_begin(gh_fleet_t *fleet, gh_time_t now)
{
	fleet_headroom_t *headroom = &fleet->headroom;
	double capacity_milli = 0;
	uint32_t i;

	report(fleet, now);
	sample_demand(headroom, now);
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
		headroom->waiting_tasks[i] = headroom->waiting_milli[i] = 0;
	}
}

/* Emits, once a period, what was put off and for which demand. */
static void report(gh_fleet_t *fleet, gh_time_t now)
{
	const fleet_headroom_t *headroom = &fleet->headroom;
	const gh_headroom_target_t *target =
		&headroom->targets[GH_HEADROOM_LEVELS - 1];
	uint64_t put_off = fleet->counts.put_off - headroom->put_off_reported;
	char *detail;

	if (!put_off || now < headroom->report_at)
		return;
	fleet->headroom.report_at = now + REPORT_PERIOD_USEC;
	fleet->headroom.put_off_reported = fleet->counts.put_off;
	detail = g_strdup_printf(
		"%" G_GUINT64_FORMAT " placements, %.0f cores used and %.0f "
		"waited for at the highest priority, %.1f free of %.1f",
		put_off, headroom->used_milli[0] / CORE_MILLI,
		headroom->waiting_milli[0] / CORE_MILLI,
		(double)headroom->free_milli[GH_HEADROOM_LEVELS - 1] /
			CORE_MILLI,
		(double)target->cores_milli / CORE_MILLI);
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
			sign * gh_headroom_pieces(&headroom->targets[i],
						  free_cores_milli(worker));
}

static int64_t free_cores_milli(const fleet_worker_t *worker)
{
	return (int64_t)worker->entry.size.cores_milli -
	       worker->reserved.cores_milli;
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

bool fleet_headroom_is_short(const gh_fleet_t *fleet, const fleet_job_t *job)
{
	uint32_t level =
		gh_headroom_level(fleet_job_policy(fleet, job)->priority);
	uint32_t i;

	for (i = 0; i <= level; i++)
		if (fleet->headroom.waiting_tasks[i] > 0)
			return true;
	return false;
}

uint32_t fleet_headroom_level(const gh_fleet_t *fleet, const fleet_job_t *job,
			      uint32_t task, gh_time_t now)
{
	const gh_step_t *step = fleet_task_step(job, task);
	uint32_t priority = fleet_job_policy(fleet, job)->priority;
	gh_time_t waiting_since = fleet_task_stage(job, task)->waiting_since;

	if (step->best_effort || !fleet->busy)
		return 0;
	if (!step->long_running)
		return is_idle(job, now) && now >= fleet->headroom.idle_at ?
			       0 :
			       gh_headroom_level(priority);
	if (job->tasks[task].last_run ||
	    (waiting_since && now - waiting_since > PUT_OFF_MAX_USEC))
		return 0;
	return gh_headroom_level(priority + 1);
}

static bool is_idle(const fleet_job_t *job, gh_time_t now)
{
	return !job->open_runs && now - job->idle_since > JOB_IDLE_MAX_USEC;
}

void fleet_headroom_note_placed(gh_fleet_t *fleet, const fleet_job_t *job,
				gh_time_t now)
{
	if (is_idle(job, now) && now >= fleet->headroom.idle_at)
		fleet->headroom.idle_at = now + IDLE_PERIOD_USEC;
}

bool fleet_headroom_admits(const gh_fleet_t *fleet, uint32_t level,
			   const gh_step_t *step, const fleet_worker_t *worker)
{
	const gh_headroom_target_t *target = &fleet->headroom.targets[level];
	int64_t free_milli = fleet->headroom.free_milli[level];
	int64_t left =
		free_milli -
		gh_headroom_pieces(target, free_cores_milli(worker)) +
		gh_headroom_pieces(target, free_cores_milli(worker) -
						   step->size.cores_milli);

	return !level || left >= target->cores_milli || left == free_milli;
}
