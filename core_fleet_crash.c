/*
 * Tasks that crash the workers that start them.
 *
 * A run that is lost with its worker counts a crash of its task, unless the
 * worker was draining.  A run that no report has shown alive for
 * SETTLE_USEC yet counts as crashed at its start.  A task with SUSPECT_CRASHES
 * of these starts only on a worker without other such runs, and nothing else
 * starts there until the run has settled.  If that worker crashes as well, the
 * task is the cause and its job fails.  A crash later in a run has no single
 * suspect, so it takes CRASHES_MAX of them.
 *
 * A worker whose lease ran out may merely be unreachable: if it comes back as
 * the same incarnation, the crashes counted for it are taken back.
 */
#include "core_fleet_state.h"

#include <string.h>

/* A run that reports have shown alive for this long has settled. */
#define SETTLE_USEC (500 * GH_USEC_PER_MSEC)
/*
 * A run that reports have shown alive for this long is not the cause of a
 * crash.
 */
#define ALIVE_LONG_USEC (30 * GH_USEC_PER_SEC)
/* From this many crashes at its start on, a task is started with care. */
#define SUSPECT_CRASHES 2
/* The same for crashes of either kind. */
#define SUSPECT_CRASHES_ANY 3
/* A task is given up after this many crashes at its start, the last alone. */
#define START_CRASHES_MAX 3
/* A task is given up after this many crashes of either kind. */
#define CRASHES_MAX 5
/* A suspect waits this long for a worker of its own, then starts anywhere. */
#define CARE_WAIT_USEC (2 * GH_USEC_PER_SEC)
/* How long a worker is kept free for a suspect that waits for it. */
#define KEEP_USEC (500 * GH_USEC_PER_MSEC)
/* At most half of the workers are kept for suspects, but one may always be. */
#define KEPT_DIVISOR 2
/* Workers lost within this time of each other are lost together. */
#define TOGETHER_USEC (300 * GH_USEC_PER_MSEC)
/*
 * 1/8 of the workers, and at least 3, lost together have a cause that is no
 * task, such as the loss of a rack.
 */
#define TOGETHER_DIVISOR 8
#define TOGETHER_MIN 3
/* A worker is new for this long after its first report. */
#define NEW_WORKER_USEC (10 * GH_USEC_PER_SEC)
/* How long a silent worker's crashes can be taken back. */
#define DOUBT_USEC (60 * GH_USEC_PER_SEC)
/* Costs, in the unit of core_fleet_plan.c, of a worker for a suspect. */
#define COST_RUN_BESIDE_SUSPECT 20000
/* A worker that crashes again and again is empty, but proves nothing. */
#define COST_NEW_WORKER 200000
#define COST_UNSETTLED_RUN 100000000
#define COST_KEPT_WORKER (-1000000000000)
/* Cost, for any task, of each unsettled suspect on a worker. */
#define COST_SUSPECT 500000

static bool may_have_run(const fleet_run_t *run);
static gh_time_t seen_alive(const fleet_run_t *run);
static bool has_settled(const fleet_run_t *run);
static bool many_were_lost(const gh_fleet_t *fleet, gh_time_t at);
static bool was_alive_after(const fleet_worker_t *worker,
			    const fleet_run_t *run);
static bool is_kept(const gh_fleet_t *fleet, const fleet_worker_t *worker,
		    gh_time_t now);
static uint32_t count_unsettled(const gh_fleet_t *fleet,
				const fleet_worker_t *worker);
static void add_doubt(gh_fleet_t *fleet, const fleet_run_t *run, gh_time_t now);

void fleet_crash_note_outage(gh_fleet_t *fleet, gh_time_t now)
{
	while (fleet->outages->len &&
	       now - g_array_index(fleet->outages, gh_time_t, 0) > DOUBT_USEC)
		g_array_remove_index(fleet->outages, 0);
	g_array_append_val(fleet->outages, now);
}

void fleet_crash_mark_runs(gh_fleet_t *fleet, uint32_t handle, bool silent,
			   gh_time_t now)
{
	const fleet_worker_t *worker = fleet_worker(fleet, handle);
	gh_time_t lost_at =
		worker->unreachable_since ? worker->unreachable_since : now;
	uint32_t n_starting = count_unsettled(fleet, worker);
	bool alone = n_starting == 1 && worker->has_reported &&
		     !many_were_lost(fleet, lost_at);
	uint32_t ref;

	if (worker->entry.draining)
		return;
	for (ref = worker->first_run; ref != GH_NONE;
	     ref = fleet_run(fleet, ref)->next) {
		fleet_run_t *run = fleet_run(fleet, ref);
		const gh_step_t *step =
			fleet_task_step(fleet_job(fleet, run->job), run->task);

		if (run->crash || !may_have_run(run))
			continue;
		if (!has_settled(run))
			run->crash = alone && was_alive_after(worker, run) ?
					     CRASH_ALONE :
					     CRASH_AT_START;
		else if (!step->long_running &&
			 seen_alive(run) < ALIVE_LONG_USEC)
			run->crash = CRASH_LATER;
		run->crash_silent = silent;
	}
}

void fleet_crash_count(gh_fleet_t *fleet, const fleet_run_t *run, gh_time_t now)
{
	fleet_job_t *job = fleet_job(fleet, run->job);
	fleet_task_t *task = &job->tasks[run->task];
	gh_task_id_t id = fleet_task_id(job, run->task);
	char *detail;
	bool caused;

	if (!run->crash)
		return;
	task->crashes++;
	if (run->crash != CRASH_LATER)
		task->start_crashes++;
	if (run->crash_silent)
		add_doubt(fleet, run, now);
	caused = task->crashes >= CRASHES_MAX ||
		 (run->crash == CRASH_ALONE &&
		  task->start_crashes >= START_CRASHES_MAX);
	detail = g_strdup_printf("%u crashes, %u at the start%s%s",
				 task->crashes, task->start_crashes,
				 run->crash == CRASH_ALONE ? ", alone" : "",
				 run->crash_silent ? ", silent" : "");
	fleet_emit_event(fleet, caused ? "task_given_up" : "task_crashed", &id,
			 run->run_number, run->worker, detail);
	g_free(detail);
	if (caused)
		fleet_job_end(fleet, run->job, GH_JOB_FAILED, now);
}

void fleet_crash_clear(gh_fleet_t *fleet, uint32_t ref, gh_time_t now)
{
	fleet_run_t *run = fleet_run(fleet, ref);
	fleet_job_t *job = fleet_job(fleet, run->job);
	fleet_task_t *task = &job->tasks[run->task];
	bool works;

	if (!run->alive_since)
		run->alive_since = now;
	run->listed_at = now;
	run->crash = CRASH_NONE;
	if (!has_settled(run))
		return;
	works = seen_alive(run) >= ALIVE_LONG_USEC ||
		(fleet_task_step(job, run->task)->long_running &&
		 run->progress_percent == 100);
	if (run->suspect)
		fleet_worker(fleet, run->worker)->n_suspects--;
	run->suspect = false;
	if (job->phase > GH_JOB_RUNNING || task->done ||
	    (!task->start_crashes && (!task->crashes || !works)))
		return;
	task->start_crashes = 0;
	if (works)
		task->crashes = 0;
	fleet_job_mark_changed(fleet, run->job);
}

static void add_doubt(gh_fleet_t *fleet, const fleet_run_t *run, gh_time_t now)
{
	const fleet_worker_t *worker = fleet_worker(fleet, run->worker);
	const fleet_job_t *job = fleet_job(fleet, run->job);
	fleet_doubt_t doubt = {
		.incarnation_start_ms = worker->entry.incarnation_start_ms,
		.counted_at = now,
		.task = fleet_task_id(job, run->task),
		.at_start = run->crash != CRASH_LATER,
	};

	g_strlcpy(doubt.worker, worker->entry.id, sizeof(doubt.worker));
	while (fleet->doubts->len &&
	       now - g_array_index(fleet->doubts, fleet_doubt_t, 0).counted_at >
		       DOUBT_USEC)
		g_array_remove_index(fleet->doubts, 0);
	g_array_append_val(fleet->doubts, doubt);
}

void fleet_crash_take_back(gh_fleet_t *fleet, uint32_t handle)
{
	const gh_worker_entry_t *entry = &fleet_worker(fleet, handle)->entry;
	guint i = 0;

	while (i < fleet->doubts->len) {
		fleet_doubt_t doubt =
			g_array_index(fleet->doubts, fleet_doubt_t, i);
		uint32_t job = fleet_job_find(fleet, doubt.task.job);
		uint32_t index;
		fleet_task_t *task;

		if (strcmp(doubt.worker, entry->id) != 0) {
			i++;
			continue;
		}
		g_array_remove_index(fleet->doubts, i);
		if (doubt.incarnation_start_ms != entry->incarnation_start_ms ||
		    job == GH_NONE ||
		    fleet_job(fleet, job)->phase > GH_JOB_RUNNING)
			continue;
		index = fleet_task_find(fleet_job(fleet, job), &doubt.task);
		if (index == GH_NONE)
			continue;
		task = &fleet_job(fleet, job)->tasks[index];
		if (task->crashes)
			task->crashes--;
		if (doubt.at_start && task->start_crashes)
			task->start_crashes--;
		fleet_job_mark_changed(fleet, job);
	}
}

/* Whether the worker may have begun the run before it was lost. */
static bool may_have_run(const fleet_run_t *run)
{
	return run->state == RUN_ORPHAN || run->order_sent;
}

/* How long the worker's reports have shown the run alive. */
static gh_time_t seen_alive(const fleet_run_t *run)
{
	return run->listed_at ? run->listed_at - run->alive_since : 0;
}

static bool has_settled(const fleet_run_t *run)
{
	return seen_alive(run) >= SETTLE_USEC;
}

static bool many_were_lost(const gh_fleet_t *fleet, gh_time_t at)
{
	uint32_t n = 0;
	guint i;

	for (i = 0; i < fleet->outages->len; i++) {
		gh_time_t outage = g_array_index(fleet->outages, gh_time_t, i);

		n += outage >= at - TOGETHER_USEC &&
		     outage <= at + TOGETHER_USEC;
	}
	return n >= TOGETHER_MIN &&
	       n >= g_hash_table_size(fleet->worker_by_id) / TOGETHER_DIVISOR;
}

/* An idle worker may have crashed unnoticed before the start was sent. */
static bool was_alive_after(const fleet_worker_t *worker,
			    const fleet_run_t *run)
{
	return run->alive_since || worker->last_report_at > run->planned_at;
}

/* Number of the worker's open runs that have not settled. */
static uint32_t count_unsettled(const gh_fleet_t *fleet,
				const fleet_worker_t *worker)
{
	uint32_t n = 0;
	uint32_t ref;

	for (ref = worker->first_run; ref != GH_NONE;
	     ref = fleet_run(fleet, ref)->next)
		n += !has_settled(fleet_run(fleet, ref));
	return n;
}

bool fleet_crash_needs_care(const fleet_task_t *task)
{
	return task->start_crashes >= SUSPECT_CRASHES ||
	       task->crashes >= SUSPECT_CRASHES_ANY;
}

bool fleet_crash_admits(const gh_fleet_t *fleet, uint32_t handle,
			const fleet_task_t *task, gh_time_t now)
{
	const fleet_worker_t *worker = fleet_worker(fleet, handle);

	if (worker->suspect_run != GH_NONE &&
	    !has_settled(fleet_run(fleet, worker->suspect_run)))
		return false;
	return now >= worker->kept_until || worker->kept_for == task;
}

int64_t fleet_crash_cost(const gh_fleet_t *fleet, uint32_t handle,
			 const fleet_task_t *task, gh_time_t now)
{
	const fleet_worker_t *worker = fleet_worker(fleet, handle);
	int64_t cost = (int64_t)COST_SUSPECT * worker->n_suspects;

	if (task->start_crashes || task->crashes >= SUSPECT_CRASHES_ANY) {
		cost += (int64_t)COST_RUN_BESIDE_SUSPECT * worker->n_runs;
		if (now - worker->heard_since < NEW_WORKER_USEC)
			cost += COST_NEW_WORKER;
	}
	if (!fleet_crash_needs_care(task))
		return cost;
	if (now < worker->kept_until && worker->kept_for == task)
		cost += COST_KEPT_WORKER;
	return cost +
	       (int64_t)COST_UNSETTLED_RUN * count_unsettled(fleet, worker);
}

bool fleet_crash_claim(gh_fleet_t *fleet, uint32_t handle, fleet_task_t *task,
		       gh_time_t now)
{
	fleet_worker_t *worker = fleet_worker(fleet, handle);
	uint32_t kept = 0;
	uint32_t i;

	if (!task->care_since)
		task->care_since = now;
	if (now - task->care_since > CARE_WAIT_USEC)
		return true;
	for (i = 0; i < fleet->workers->len; i++)
		kept += fleet_worker(fleet, i)->in_use &&
			fleet_worker(fleet, i)->kept_for != task &&
			is_kept(fleet, fleet_worker(fleet, i), now);
	if (kept &&
	    kept >= g_hash_table_size(fleet->worker_by_id) / KEPT_DIVISOR)
		return false;
	if (!count_unsettled(fleet, worker))
		return true;
	worker->kept_for = task;
	worker->kept_until = now + KEEP_USEC;
	return false;
}

static bool is_kept(const gh_fleet_t *fleet, const fleet_worker_t *worker,
		    gh_time_t now)
{
	return now < worker->kept_until ||
	       (worker->suspect_run != GH_NONE &&
		!has_settled(fleet_run(fleet, worker->suspect_run)));
}

void fleet_crash_handle_start(gh_fleet_t *fleet, uint32_t ref)
{
	fleet_run_t *run = fleet_run(fleet, ref);
	fleet_worker_t *worker = fleet_worker(fleet, run->worker);
	fleet_task_t *task = &fleet_job(fleet, run->job)->tasks[run->task];

	task->care_since = 0;
	run->suspect = task->start_crashes || fleet_crash_needs_care(task);
	if (!run->suspect)
		return;
	worker->n_suspects++;
	if (fleet_crash_needs_care(task) && count_unsettled(fleet, worker) == 1)
		worker->suspect_run = ref;
	if (worker->kept_for == task)
		worker->kept_until = 0;
}

void fleet_crash_handle_end(gh_fleet_t *fleet, uint32_t ref)
{
	const fleet_run_t *run = fleet_run(fleet, ref);
	fleet_worker_t *worker = fleet_worker(fleet, run->worker);

	if (run->suspect)
		worker->n_suspects--;
	if (worker->suspect_run == ref)
		worker->suspect_run = GH_NONE;
}
