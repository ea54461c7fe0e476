/*
 * Tells in the load of the shard what waits there, so that hosts place new
 * short jobs where they start soonest; see core_waits.h.
 *
 * Answers loads whose short tasks ask for more than is free, while the queue of
 * one shard grows beside a shorter one of another.  What passes soon is not
 * told, so that the load of a calm shard doesn't change.
 */
#include "core_fleet_parts.h"
#include "core_fleet_times.h"

#include <string.h>

/* Work that waits for less than this is not told. */
#define TOLD_MIN_MS 100
/*
 * An owner that has just begun holds few cores yet; it is expected to get at
 * least this part of what long-running tasks leave.
 */
#define RATE_MIN_DIVISOR 4
/* Upper bound of a stage's waiting work. */
#define STAGE_CORE_MS_MAX 1e10

/* Cores of a service's workers. */
typedef struct rate {
	const char *service;
	int64_t short_milli;	   /* held by short tasks */
	int64_t best_effort_milli; /* held by best-effort tasks */
	int64_t left_milli;	   /* that long-running tasks leave */
} rate_t;

static void add_job(const gh_fleet_t *fleet, const fleet_job_t *job,
		    gh_waits_t *waits, gh_time_t now, int64_t wall_ms);
static bool is_in_time(const gh_fleet_t *fleet, const fleet_job_t *job,
		       gh_time_t now, int64_t wall_ms);
static int64_t waiting_core_ms(const gh_fleet_t *fleet, const fleet_job_t *job,
			       uint32_t stage, const fleet_stage_t *s,
			       gh_time_t now);
static void set_rates(const gh_fleet_t *fleet, gh_waits_t *waits);
static rate_t *find_rate(GArray *rates, const char *service);
static void leave_out_short(gh_waits_t *waits);

void fleet_waits_tell(const gh_fleet_t *fleet, gh_waits_t *waits, gh_time_t now)
{
	int64_t wall_ms = gh_time_to_ms(now) + fleet->wall_ahead_ms;
	uint32_t i;

	*waits = (gh_waits_t){ .told = true };
	for (i = 0; i < fleet->jobs->len; i++)
		if (fleet_job(fleet, i)->spec &&
		    fleet_job(fleet, i)->phase <= GH_JOB_RUNNING)
			add_job(fleet, fleet_job(fleet, i), waits, now,
				wall_ms);
	if (!waits->n)
		return;
	set_rates(fleet, waits);
	leave_out_short(waits);
}

/* Adds in milliseconds, as most tasks are shorter than a core-second. */
static void add_job(const gh_fleet_t *fleet, const fleet_job_t *job,
		    gh_waits_t *waits, gh_time_t now, int64_t wall_ms)
{
	const gh_queue_policy_t *policy = fleet_job_policy(fleet, job);
	uint32_t n;

	if (job->held || !is_in_time(fleet, job, now, wall_ms))
		return;
	for (n = 0; n < fleet_open_stage_count(job); n++) {
		uint32_t s, alike;
		const fleet_stage_t *stage =
			fleet_open_stage(job, n, &s, &alike);
		gh_wait_queue_t queue = {
			.service = job->spec->service,
			.priority = policy->priority,
			.best_effort = job->spec->steps[s % job->spec->n_steps]
					       .best_effort,
		};
		int64_t core_ms = waiting_core_ms(fleet, job, s, stage, now);
		gh_wait_t *wait;

		if (!core_ms)
			continue;
		wait = gh_waits_get(waits, &queue);
		if (!wait)
			continue;
		if (fleet_stage_is_ready(job, s, wall_ms))
			wait->ready_core_s += core_ms * alike;
		else
			wait->later_core_s += core_ms * alike;
	}
}

static bool is_in_time(const gh_fleet_t *fleet, const fleet_job_t *job,
		       gh_time_t now, int64_t wall_ms)
{
	return wall_ms - MAX(job->spec->accepted_ms, job->spec->first_due_ms) <=
	       fleet_times_objective_ms(fleet, job, now);
}

static int64_t waiting_core_ms(const gh_fleet_t *fleet, const fleet_job_t *job,
			       uint32_t stage, const fleet_stage_t *s,
			       gh_time_t now)
{
	const gh_step_t *step = &job->spec->steps[stage % job->spec->n_steps];

	if (step->long_running)
		return 0;
	/* The estimates of an accepted job can exceed 64 bits. */
	return (int64_t)MIN(
		(double)(step->tasks - s->tasks_done - s->tasks_open -
			 s->tasks_away) *
			(double)fleet_times_estimate(fleet, job, stage, now)
				->expected_ms *
			step->size.cores_milli / 1000,
		STAGE_CORE_MS_MAX);
}

static void set_rates(const gh_fleet_t *fleet, gh_waits_t *waits)
{
	GArray *rates = g_array_new(FALSE, FALSE, sizeof(rate_t));
	uint32_t i;

	for (i = 0; i < fleet->workers->len; i++) {
		const fleet_worker_t *worker = fleet_worker(fleet, i);

		if (worker->in_use && fleet_worker_is_heard(worker))
			find_rate(rates, worker->entry.service)->left_milli +=
				worker->entry.size.cores_milli;
	}
	for (i = 0; i < fleet->runs->len; i++) {
		const fleet_run_t *run = fleet_run(fleet, i);
		const gh_step_t *step;
		rate_t *rate;

		if (run->state == RUN_FREE || run->state == RUN_HELD)
			continue;
		step = fleet_task_step(fleet_job(fleet, run->job), run->task);
		rate = find_rate(
			rates, fleet_worker(fleet, run->worker)->entry.service);
		if (step->long_running)
			rate->left_milli -= step->size.cores_milli;
		else if (step->best_effort)
			rate->best_effort_milli += step->size.cores_milli;
		else
			rate->short_milli += step->size.cores_milli;
	}
	for (i = 0; i < waits->n; i++) {
		gh_wait_t *wait = &waits->all[i];
		const rate_t *rate = find_rate(rates, wait->service);
		int64_t held = wait->best_effort ? rate->best_effort_milli :
						   rate->short_milli;

		wait->rate_milli =
			MAX(held, rate->left_milli / RATE_MIN_DIVISOR);
	}
	g_array_free(rates, TRUE);
}

static rate_t *find_rate(GArray *rates, const char *service)
{
	rate_t none = { .service = service };
	guint i;

	for (i = 0; i < rates->len; i++)
		if (!strcmp(g_array_index(rates, rate_t, i).service, service))
			return &g_array_index(rates, rate_t, i);
	g_array_append_val(rates, none);
	return &g_array_index(rates, rate_t, rates->len - 1);
}

/* Leaves out what is not told, and turns the rest into core-seconds. */
static void leave_out_short(gh_waits_t *waits)
{
	gh_waits_t told = { .told = true };
	uint32_t i;

	for (i = 0; i < waits->n; i++) {
		gh_wait_t wait = waits->all[i];

		wait.ready_core_s /= 1000;
		wait.later_core_s /= 1000;
		if (wait.rate_milli > 0 &&
		    wait.ready_core_s * 1000 * 1000 >=
			    TOLD_MIN_MS * wait.rate_milli)
			told.all[told.n++] = wait;
	}
	*waits = told;
}
