/*
 * Reports jobs that have nothing running although the turn of a task has come:
 * which open runs, waits of the task or obstacles at the workers hold it up.
 * Jobs whose open runs neither run nor start are noted for placement.
 *
 * Jobs are checked periodically.  The workers are examined for reported jobs
 * only, whose number is limited, so that many waiting jobs cost little.
 */
#include "core_fleet_parts.h"

#include <string.h>

#define CHECK_PERIOD_USEC (500 * GH_USEC_PER_MSEC)
/* A job that waits for longer than this is reported. */
#define IDLE_REPORT_USEC (2 * GH_USEC_PER_SEC)
#define REPORT_PERIOD_USEC GH_USEC_PER_SEC
/* Reports in one REPORT_PERIOD_USEC; further ones are counted. */
#define REPORTS_MAX 16

static const char *const state_names[] = {
	[RUN_FREE] = "free",	     [RUN_PLANNED] = "planned",
	[RUN_STARTING] = "starting", [RUN_RUNNING] = "running",
	[RUN_STOPPING] = "stopping", [RUN_ORPHAN] = "orphaned",
	[RUN_HELD] = "held",
};

static void begin_period(gh_fleet_t *fleet, gh_time_t now);
static void note_running_jobs(gh_fleet_t *fleet, gh_time_t now);
static void note_stall(fleet_job_t *job, uint32_t task, gh_time_t now);
static void report_job(gh_fleet_t *fleet, uint32_t handle, uint32_t task,
		       gh_time_t now);
static void append_open_runs(const gh_fleet_t *fleet, const fleet_job_t *job,
			     GString *text, gh_time_t now);
static void append_worker(const fleet_worker_t *worker, GString *text);
static void append_waits(const fleet_job_t *job, uint32_t task, GString *text,
			 gh_time_t now);
static gh_time_t late_until(const fleet_job_t *job, uint32_t task);

void fleet_idle_check(gh_fleet_t *fleet, gh_time_t now, int64_t wall_ms)
{
	uint32_t n = fleet->jobs->len;
	uint32_t first = n ? fleet->next_idle_job % n : 0;
	uint32_t i;

	if (now - fleet->idle_checked_at < CHECK_PERIOD_USEC)
		return;
	fleet->idle_checked_at = now;
	if (now - fleet->idle_period_at >= REPORT_PERIOD_USEC)
		begin_period(fleet, now);
	note_running_jobs(fleet, now);
	for (i = 0; i < n; i++) {
		uint32_t handle = (first + i) % n;
		fleet_job_t *job = fleet_job(fleet, handle);
		uint32_t task = GH_NONE;

		if (job->spec && job->phase <= GH_JOB_RUNNING &&
		    job->seen_running_at != now)
			task = fleet_plan_next_task(job, wall_ms);
		note_stall(job, task, now);
		if (task == GH_NONE) {
			job->waiting_since = 0;
			continue;
		}
		if (!job->waiting_since) {
			job->waiting_since = now;
			job->wait_report_at = now + IDLE_REPORT_USEC;
		}
		if (now < job->wait_report_at)
			continue;
		job->wait_report_at = now + REPORT_PERIOD_USEC;
		fleet->counts.idle++;
		if (fleet->n_idle_reports == REPORTS_MAX) {
			fleet->n_idle_left_out++;
			continue;
		}
		fleet->n_idle_reports++;
		fleet->next_idle_job = handle + 1;
		report_job(fleet, handle, task, now);
	}
}

static void begin_period(gh_fleet_t *fleet, gh_time_t now)
{
	if (fleet->n_idle_left_out) {
		char *detail = g_strdup_printf("%u more jobs wait",
					       fleet->n_idle_left_out);

		fleet_emit_event(fleet, "jobs_idle", NULL, 0, GH_NONE, detail);
		g_free(detail);
	}
	fleet->idle_period_at = now;
	fleet->n_idle_reports = fleet->n_idle_left_out = 0;
}

static void note_running_jobs(gh_fleet_t *fleet, gh_time_t now)
{
	uint32_t n_stuck = 0;
	uint32_t i;

	for (i = 0; i < fleet->runs->len; i++) {
		const fleet_run_t *run = fleet_run(fleet, i);

		n_stuck += fleet_budget_is_stuck(run, now);
		if (run->state == RUN_RUNNING)
			fleet_job(fleet, run->job)->seen_running_at = now;
		else if (run->state == RUN_PLANNED ||
			 (run->state == RUN_STARTING &&
			  !fleet_worker(fleet, run->worker)->unreachable_since))
			fleet_job(fleet, run->job)->seen_starting_at = now;
	}
	fleet->budget.n_stuck = n_stuck;
}

/* Notes since when the open runs of a job that waits lead to nothing. */
static void note_stall(fleet_job_t *job, uint32_t task, gh_time_t now)
{
	if (task == GH_NONE || !job->open_runs || job->seen_starting_at == now)
		job->stalled_since = 0;
	else if (!job->stalled_since)
		job->stalled_since = now;
}

static void report_job(gh_fleet_t *fleet, uint32_t handle, uint32_t task,
		       gh_time_t now)
{
	fleet_job_t *job = fleet_job(fleet, handle);
	gh_task_id_t id = fleet_task_id(job, task);
	GString *detail = g_string_new(NULL);

	g_string_printf(detail, "for %" G_GINT64_FORMAT " ms",
			gh_time_to_ms(now - job->waiting_since));
	if (job->open_runs)
		append_open_runs(fleet, job, detail, now);
	if (job->held)
		g_string_append(detail, ", held");
	else
		append_waits(job, task, detail, now);
	if (!job->held && fleet_task(job, task)->runs[0] == GH_NONE) {
		g_string_append(detail, ", ");
		fleet_choose_append_obstacles(fleet, job, task, detail, now);
	}
	fleet_emit_event(fleet, "job_idle", &id, 0, GH_NONE, detail->str);
	g_string_free(detail, TRUE);
}

/* Appends how many runs are in each state, and where the oldest of them is. */
static void append_open_runs(const gh_fleet_t *fleet, const fleet_job_t *job,
			     GString *text, gh_time_t now)
{
	uint32_t runs[G_N_ELEMENTS(state_names)] = { 0 };
	const fleet_run_t *oldest = NULL;
	const fleet_worker_t *worker;
	uint32_t i, j;

	for (i = 0; i < job->n_tasks; i++) {
		const fleet_task_t *task = fleet_task_peek(job, i);

		for (j = 0; task && j < GH_TASK_RUNS_MAX; j++) {
			const fleet_run_t *run;

			if (task->runs[j] == GH_NONE)
				continue;
			run = fleet_run(fleet, task->runs[j]);
			runs[run->state]++;
			if (!oldest || run->state_since < oldest->state_since)
				oldest = run;
		}
	}
	if (!oldest)
		return;
	g_string_append(text, ", open runs:");
	for (i = 0; i < G_N_ELEMENTS(state_names); i++)
		if (runs[i])
			g_string_append_printf(text, " %u %s", runs[i],
					       state_names[i]);
	worker = fleet_worker(fleet, oldest->worker);
	g_string_append_printf(text,
			       ", oldest %s at %s for %" G_GINT64_FORMAT " ms",
			       state_names[oldest->state], worker->entry.id,
			       gh_time_to_ms(now - oldest->state_since));
	if (oldest->replied_at)
		g_string_append(text, " replied");
	append_worker(worker, text);
}

static void append_worker(const fleet_worker_t *worker, GString *text)
{
	if (!worker->listed)
		g_string_append(text, " unlisted");
	if (!*worker->entry.address)
		g_string_append(text, " without_address");
	else if (strcmp(worker->heard_address, worker->entry.address) != 0)
		g_string_append(text, " moved");
	if (worker->entry.draining)
		g_string_append(text, " draining");
	if (worker->emptied)
		g_string_append(text, " emptied");
	if (!worker->has_reported || worker->unreachable_since)
		g_string_append(text, " unheard");
}

/* Appends the rules that keep the task from starting for a while. */
static void append_waits(const fleet_job_t *job, uint32_t task, GString *text,
			 gh_time_t now)
{
	const fleet_task_t *t = fleet_task(job, task);
	gh_time_t late = late_until(job, task);

	if (now < t->not_before)
		g_string_append_printf(text,
				       ", not before %" G_GINT64_FORMAT " ms",
				       gh_time_to_ms(t->not_before - now));
	if (now < late)
		g_string_append_printf(text,
				       ", late start %" G_GINT64_FORMAT " ms",
				       gh_time_to_ms(late - now));
	if (fleet_crash_has_any(t))
		g_string_append_printf(text, ", %u crashes %u lost starts",
				       t->crashes, t->lost_starts);
	if (t->care_since)
		g_string_append_printf(text,
				       ", care for %" G_GINT64_FORMAT " ms",
				       gh_time_to_ms(now - t->care_since));
}

/* A gang waits for the late starts of all its tasks. */
static gh_time_t late_until(const fleet_job_t *job, uint32_t task)
{
	const gh_step_t *step = fleet_task_step(job, task);
	uint32_t first = fleet_task_stage(job, task)->first_task;
	gh_time_t late = fleet_task(job, task)->late_until;
	uint32_t i;

	for (i = first; step->gang && i < first + step->tasks; i++)
		late = MAX(late, fleet_task(job, i)->late_until);
	return late;
}
