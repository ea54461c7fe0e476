/*
 * Tasks that crash the workers that start them.
 *
 * A run that is lost with its worker counts a crash of its task, unless the
 * worker was draining.  That takes a sign that the run began: a reply to its
 * start, a report that lists it, or a worker that was heard just before the
 * start and has restarted since.  Without one the start may have been lost on
 * its way, which makes the task suspect but never gives it up.  A run that no
 * report has shown alive for SETTLE_USEC yet counts as crashed at its start.  A
 * task with SUSPECT_CRASHES of these starts only on a worker without other such
 * runs, and nothing else starts there until the run has settled.  If that
 * worker crashes as well, the task is the cause and its job fails.  A crash
 * later in a run has no single suspect, so it takes CRASHES_MAX of them.
 *
 * A worker whose lease ran out may merely be unreachable: if it comes back as
 * the same incarnation, what was counted for it is taken back.  If another
 * incarnation answers in its place, a lost run can turn into a crash.
 *
 * The next owner goes on from the same evidence.  The progress record holds the
 * counts, the runs of suspect tasks that have begun and not settled, and the
 * crashes that can still be taken back.  Without these a task whose workers
 * and owners fail in turn would be started again without end, and one whose
 * workers were only cut off would be given up.
 */
#include "core_fleet_parts.h"

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
/* A task starts no earlier than this after a crash that would end its job. */
#define GUEST_CRASH_WAIT_USEC (30 * GH_USEC_PER_SEC)
/* A suspect waits this long for a worker of its own, then starts anywhere. */
#define CARE_WAIT_USEC (2 * GH_USEC_PER_SEC)
/*
 * The same from so many crashes and lost starts on: what comes of another start
 * has to be proof.
 */
#define PROOF_CRASHES 3
#define PROOF_WAIT_USEC (8 * GH_USEC_PER_SEC)
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
/*
 * A worker that reported this long before a run was planned is taken to have
 * been alive at its start.
 */
#define HEARD_USEC (300 * GH_USEC_PER_MSEC)
/* How long what was counted for a silent worker can be revised. */
#define DOUBT_USEC (60 * GH_USEC_PER_SEC)
/* Costs, in the unit of core_fleet_choose.c, of a worker for a suspect. */
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
static void mark_run(gh_fleet_t *fleet, uint32_t ref, bool silent, bool alone);
static run_crash_t judge_run(const fleet_worker_t *worker,
			     const fleet_run_t *run, const gh_step_t *step,
			     bool alone);
static bool was_alive_at_start(const fleet_worker_t *worker,
			       const fleet_run_t *run);
static void count_crash(gh_fleet_t *fleet, uint32_t handle,
			const fleet_doubt_t *lost, uint32_t worker,
			const char *how, gh_time_t now);
static bool has_run_alive(const gh_fleet_t *fleet, const fleet_task_t *task);
static void remove_doubts(gh_fleet_t *fleet, gh_task_id_t id);
static bool is_about(const fleet_doubt_t *doubt, const gh_task_id_t *id);
static bool doubts_worker(const fleet_doubt_t *doubt,
			  const fleet_worker_t *worker);
static void resolve_doubts(gh_fleet_t *fleet, uint32_t handle, bool is_back,
			   gh_time_t now);
static void resolve_doubt(gh_fleet_t *fleet, const fleet_doubt_t *doubt,
			  bool is_back, gh_time_t now);
static bool is_kept_for_others(const gh_fleet_t *fleet,
			       const fleet_worker_t *worker,
			       const fleet_task_t *task, gh_time_t now);
static uint32_t count_unsettled(const gh_fleet_t *fleet,
				const fleet_worker_t *worker,
				const fleet_task_t *except);
static const fleet_task_t *suspect_group(const gh_fleet_t *fleet,
					 const fleet_worker_t *worker);
static fleet_doubt_t describe_lost(const gh_fleet_t *fleet,
				   const fleet_run_t *run, gh_time_t now);
static void add_doubt(gh_fleet_t *fleet, const fleet_doubt_t *doubt,
		      gh_time_t now);

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
	uint32_t n_starting = count_unsettled(fleet, worker, NULL);
	bool together = many_were_lost(fleet, lost_at);
	bool only_start = n_starting == 1 && worker->has_reported;
	uint32_t ref;

	for (ref = worker->first_run; ref != GH_NONE;
	     ref = fleet_run(fleet, ref)->next)
		mark_run(fleet, ref, silent,
			 (only_start || worker->suspect_run == ref) &&
				 !together);
}

static void mark_run(gh_fleet_t *fleet, uint32_t ref, bool silent, bool alone)
{
	fleet_run_t *run = fleet_run(fleet, ref);
	const fleet_worker_t *worker = fleet_worker(fleet, run->worker);

	if (worker->entry.draining || run->crash || !may_have_run(run))
		return;
	run->crash = judge_run(
		worker, run,
		fleet_task_step(fleet_job(fleet, run->job), run->task), alone);
	run->crash_silent = silent;
}

/* What the run tells of its task if the worker has crashed. */
static run_crash_t judge_run(const fleet_worker_t *worker,
			     const fleet_run_t *run, const gh_step_t *step,
			     bool alone)
{
	if (has_settled(run))
		return step->long_running ||
				       seen_alive(run) >= ALIVE_LONG_USEC ?
			       CRASH_NONE :
			       CRASH_LATER;
	if (!run->alive_since && !was_alive_at_start(worker, run))
		return CRASH_UNPROVEN;
	return alone ? CRASH_ALONE : CRASH_AT_START;
}

void fleet_crash_mark_unlisted(gh_fleet_t *fleet, uint32_t ref, gh_time_t now)
{
	const fleet_run_t *run = fleet_run(fleet, ref);

	if (run->state == RUN_ORPHAN)
		mark_run(fleet, ref, false,
			 fleet_worker(fleet, run->worker)->suspect_run == ref &&
				 !many_were_lost(fleet, now));
}

void fleet_crash_count(gh_fleet_t *fleet, const fleet_run_t *run, gh_time_t now)
{
	fleet_doubt_t lost;
	fleet_task_t *task;
	char *detail;

	if (!run->crash)
		return;
	lost = describe_lost(fleet, run, now);
	if (run->crash_silent)
		add_doubt(fleet, &lost, now);
	if (lost.counted) {
		count_crash(fleet, run->job, &lost, run->worker,
			    run->crash_silent ? ", silent" : "", now);
		return;
	}
	if (run->crash == CRASH_LATER)
		return;
	task = fleet_task(fleet_job(fleet, run->job), run->task);
	task->lost_starts++;
	detail = g_strdup_printf("%u starts lost%s", task->lost_starts,
				 run->crash_silent ? ", silent" : "");
	fleet_emit_event(fleet, "start_lost", &lost.task, run->run_number,
			 run->worker, detail);
	g_free(detail);
}

/* Counts a crash of the job's task; how ends the detail of the event. */
static void count_crash(gh_fleet_t *fleet, uint32_t handle,
			const fleet_doubt_t *lost, uint32_t worker,
			const char *how, gh_time_t now)
{
	fleet_job_t *job = fleet_job(fleet, handle);
	fleet_task_t *task = fleet_task(job, fleet_task_find(job, &lost->task));
	bool alone = lost->crash == CRASH_ALONE;
	bool caused;
	char *detail;

	task->crashes++;
	if (lost->crash != CRASH_LATER)
		task->start_crashes++;
	caused = !has_run_alive(fleet, task) &&
		 (task->crashes >= CRASHES_MAX ||
		  (alone && task->start_crashes >= START_CRASHES_MAX));
	detail = g_strdup_printf("%u crashes, %u at the start%s%s",
				 task->crashes, task->start_crashes,
				 alone ? ", alone" : "", how);
	fleet_emit_event(fleet, caused ? "task_given_up" : "task_crashed",
			 &lost->task, lost->run_number, worker, detail);
	g_free(detail);
	if (!caused)
		return;
	/* Only its home ends a job. */
	if (job->guest)
		task->not_before = now + GUEST_CRASH_WAIT_USEC;
	else
		fleet_job_end(fleet, handle, GH_JOB_FAILED, now);
}

void fleet_crash_note_begun(gh_fleet_t *fleet, uint32_t ref, gh_time_t now)
{
	fleet_run_t *run = fleet_run(fleet, ref);

	if (run->alive_since)
		return;
	run->alive_since = now;
	if (run->suspect)
		fleet_job_mark_changed(fleet, run->job);
}

bool fleet_crash_is_begun_suspect(const fleet_run_t *run)
{
	return run->suspect && run->alive_since && !has_settled(run);
}

void fleet_crash_load_begun(gh_fleet_t *fleet, uint32_t ref, bool alone,
			    int64_t incarnation_start_ms)
{
	fleet_run_t *run = fleet_run(fleet, ref);
	fleet_worker_t *worker = fleet_worker(fleet, run->worker);

	run->alive_since = fleet->created_at;
	run->suspect = true;
	worker->n_suspects++;
	if (alone)
		worker->suspect_run = ref;
	if (!worker->entry.incarnation_start_ms)
		worker->entry.incarnation_start_ms = incarnation_start_ms;
}

void fleet_crash_load_doubt(gh_fleet_t *fleet, const gh_task_id_t *task,
			    uint32_t run, const char *worker,
			    int64_t incarnation_start_ms)
{
	fleet_doubt_t doubt = {
		.incarnation_start_ms = incarnation_start_ms,
		.counted_at = fleet->created_at,
		.task = *task,
		.run_number = run,
		.crash = CRASH_AT_START,
		.counted = true,
	};

	g_strlcpy(doubt.worker, worker, sizeof(doubt.worker));
	add_doubt(fleet, &doubt, fleet->created_at);
}

void fleet_crash_clear(gh_fleet_t *fleet, uint32_t ref, gh_time_t now)
{
	fleet_run_t *run = fleet_run(fleet, ref);
	fleet_job_t *job = fleet_job(fleet, run->job);
	fleet_task_t *task = fleet_task(job, run->task);
	bool works;

	fleet_crash_note_begun(fleet, ref, now);
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
	    (!fleet_crash_is_suspect(task) && (!task->crashes || !works)))
		return;
	task->start_crashes = task->lost_starts = 0;
	if (works) {
		task->crashes = 0;
		remove_doubts(fleet, fleet_task_id(job, run->task));
	}
	fleet_job_mark_changed(fleet, run->job);
}

/* Forgets the crashes of a task that can be taken back. */
static void remove_doubts(gh_fleet_t *fleet, gh_task_id_t id)
{
	guint i = fleet->doubts->len;

	while (i-- > 0)
		if (is_about(&g_array_index(fleet->doubts, fleet_doubt_t, i),
			     &id))
			g_array_remove_index(fleet->doubts, i);
}

static bool is_about(const fleet_doubt_t *doubt, const gh_task_id_t *id)
{
	return !strcmp(doubt->task.job, id->job) &&
	       doubt->task.occurrence == id->occurrence &&
	       doubt->task.step == id->step && doubt->task.index == id->index;
}

static fleet_doubt_t describe_lost(const gh_fleet_t *fleet,
				   const fleet_run_t *run, gh_time_t now)
{
	const fleet_worker_t *worker = fleet_worker(fleet, run->worker);
	fleet_doubt_t lost = {
		.incarnation_start_ms = worker->entry.incarnation_start_ms,
		.counted_at = now,
		.task = fleet_task_id(fleet_job(fleet, run->job), run->task),
		.run_number = run->run_number,
		.crash = run->crash,
		/*
		 * Silence is a sign of a crash only if it follows at once on
		 * the start of a run that has certainly begun.
		 */
		.counted = run->crash != CRASH_UNPROVEN &&
			   (!run->crash_silent ||
			    (run->alive_since && run->crash != CRASH_LATER)),
	};

	g_strlcpy(lost.worker, worker->entry.id, sizeof(lost.worker));
	g_strlcpy(lost.address, worker->heard_address, sizeof(lost.address));
	return lost;
}

static void add_doubt(gh_fleet_t *fleet, const fleet_doubt_t *doubt,
		      gh_time_t now)
{
	while (fleet->doubts->len &&
	       now - g_array_index(fleet->doubts, fleet_doubt_t, 0).counted_at >
		       DOUBT_USEC)
		g_array_remove_index(fleet->doubts, 0);
	g_array_append_vals(fleet->doubts, doubt, 1);
}

void fleet_crash_handle_report(gh_fleet_t *fleet, uint32_t handle,
			       gh_time_t now)
{
	resolve_doubts(fleet, handle, true, now);
}

void fleet_crash_handle_restart(gh_fleet_t *fleet, uint32_t handle,
				gh_time_t now)
{
	resolve_doubts(fleet, handle, false, now);
}

/* is_back: the worker has reported; else another incarnation has replied. */
static void resolve_doubts(gh_fleet_t *fleet, uint32_t handle, bool is_back,
			   gh_time_t now)
{
	const fleet_worker_t *worker = fleet_worker(fleet, handle);
	guint i = 0;

	while (i < fleet->doubts->len) {
		fleet_doubt_t doubt =
			g_array_index(fleet->doubts, fleet_doubt_t, i);

		if (!doubts_worker(&doubt, worker)) {
			i++;
			continue;
		}
		g_array_remove_index(fleet->doubts, i);
		resolve_doubt(
			fleet, &doubt,
			is_back && !strcmp(doubt.worker, worker->entry.id) &&
				doubt.incarnation_start_ms ==
					worker->entry.incarnation_start_ms,
			now);
	}
}

/* Whether the doubt is about the worker or a former one at its address. */
static bool doubts_worker(const fleet_doubt_t *doubt,
			  const fleet_worker_t *worker)
{
	return !strcmp(doubt->worker, worker->entry.id) ||
	       (*doubt->address &&
		fleet_worker_heard_at(worker, doubt->address));
}

/* is_back: the run's worker was only unreachable; else it has crashed. */
static void resolve_doubt(gh_fleet_t *fleet, const fleet_doubt_t *doubt,
			  bool is_back, gh_time_t now)
{
	uint32_t handle = fleet_job_find(fleet, doubt->task.job);
	uint32_t index;
	fleet_task_t *task;

	if (handle == GH_NONE ||
	    fleet_job(fleet, handle)->phase > GH_JOB_RUNNING)
		return;
	index = fleet_task_find(fleet_job(fleet, handle), &doubt->task);
	if (index == GH_NONE)
		return;
	task = fleet_task(fleet_job(fleet, handle), index);
	if (!doubt->counted) {
		if (task->done || (!is_back && doubt->crash == CRASH_UNPROVEN))
			return;
		if (doubt->crash != CRASH_LATER && task->lost_starts)
			task->lost_starts--;
		if (!is_back)
			count_crash(fleet, handle, doubt, GH_NONE,
				    ", seen later", now);
	} else if (is_back) {
		if (task->crashes)
			task->crashes--;
		if (doubt->crash != CRASH_LATER && task->start_crashes)
			task->start_crashes--;
	}
	fleet_job_mark_changed(fleet, handle);
}

const fleet_doubt_t *fleet_crash_next_doubt(const gh_fleet_t *fleet,
					    const gh_task_id_t *id,
					    uint32_t *next)
{
	while (*next < fleet->doubts->len) {
		const fleet_doubt_t *doubt =
			&g_array_index(fleet->doubts, fleet_doubt_t, (*next)++);

		if (doubt->counted && is_about(doubt, id))
			return doubt;
	}
	return NULL;
}

static bool has_run_alive(const gh_fleet_t *fleet, const fleet_task_t *task)
{
	uint32_t i;

	for (i = 0; i < GH_TASK_RUNS_MAX; i++)
		if (task->runs[i] != GH_NONE &&
		    fleet_run(fleet, task->runs[i])->alive_since)
			return true;
	return false;
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

/* An idle worker may have been lost unnoticed before the start was sent. */
static bool was_alive_at_start(const fleet_worker_t *worker,
			       const fleet_run_t *run)
{
	return run->planned_at &&
	       worker->last_report_at + HEARD_USEC >= run->planned_at;
}

/*
 * Number of the worker's open runs that have not settled, without those of the
 * group except.
 */
static uint32_t count_unsettled(const gh_fleet_t *fleet,
				const fleet_worker_t *worker,
				const fleet_task_t *except)
{
	uint32_t n = 0;
	uint32_t ref;

	for (ref = worker->first_run; ref != GH_NONE;
	     ref = fleet_run(fleet, ref)->next) {
		const fleet_run_t *run = fleet_run(fleet, ref);

		n += run->state != RUN_HELD && !has_settled(run) &&
		     fleet_task(fleet_job(fleet, run->job), run->task)->group !=
			     except;
	}
	return n;
}

/* Group of the suspect beside which no other task starts, or NULL. */
static const fleet_task_t *suspect_group(const gh_fleet_t *fleet,
					 const fleet_worker_t *worker)
{
	const fleet_run_t *run;

	if (worker->suspect_run == GH_NONE)
		return NULL;
	run = fleet_run(fleet, worker->suspect_run);
	return has_settled(run) ?
		       NULL :
		       fleet_task(fleet_job(fleet, run->job), run->task)->group;
}

bool fleet_crash_is_suspect(const fleet_task_t *task)
{
	return task->start_crashes || task->lost_starts;
}

bool fleet_crash_has_any(const fleet_task_t *task)
{
	return task->crashes || task->lost_starts;
}

bool fleet_crash_needs_care(const fleet_task_t *task)
{
	return task->start_crashes + task->lost_starts >= SUSPECT_CRASHES ||
	       task->crashes + task->lost_starts >= SUSPECT_CRASHES_ANY;
}

bool fleet_crash_wants_report(const fleet_worker_t *worker, gh_time_t now)
{
	return now < worker->kept_until &&
	       now - worker->last_report_at > HEARD_USEC;
}

bool fleet_crash_admits(const gh_fleet_t *fleet, uint32_t handle,
			const fleet_task_t *task, gh_time_t now)
{
	return !is_kept_for_others(fleet, fleet_worker(fleet, handle), task,
				   now);
}

int64_t fleet_crash_cost(const gh_fleet_t *fleet, uint32_t handle,
			 const fleet_task_t *task, gh_time_t now)
{
	const fleet_worker_t *worker = fleet_worker(fleet, handle);
	int64_t cost = (int64_t)COST_SUSPECT * worker->n_suspects;

	if (fleet_crash_is_suspect(task) ||
	    task->crashes >= SUSPECT_CRASHES_ANY) {
		cost += (int64_t)COST_RUN_BESIDE_SUSPECT * worker->n_runs;
		if (now - worker->heard_since < NEW_WORKER_USEC)
			cost += COST_NEW_WORKER;
	}
	if (!fleet_crash_needs_care(task))
		return cost;
	if (now < worker->kept_until && worker->kept_for == task->group)
		cost += COST_KEPT_WORKER;
	return cost + (int64_t)COST_UNSETTLED_RUN *
			      count_unsettled(fleet, worker, task->group);
}

bool fleet_crash_claim(gh_fleet_t *fleet, uint32_t handle, fleet_task_t *task,
		       const gh_step_t *step, gh_time_t now)
{
	fleet_worker_t *worker = fleet_worker(fleet, handle);
	bool proof = task->crashes + task->lost_starts >= PROOF_CRASHES &&
		     !step->long_running;
	uint32_t kept = 0;
	uint32_t i;

	if (!task->care_since)
		task->care_since = now;
	if (now - task->care_since > (proof ? PROOF_WAIT_USEC : CARE_WAIT_USEC))
		return true;
	for (i = 0; i < fleet->workers->len; i++)
		kept += fleet_worker(fleet, i)->in_use &&
			is_kept_for_others(fleet, fleet_worker(fleet, i), task,
					   now);
	if (kept &&
	    kept >= g_hash_table_size(fleet->worker_by_id) / KEPT_DIVISOR)
		return false;
	if (!count_unsettled(fleet, worker, task->group) &&
	    now - worker->last_report_at <= HEARD_USEC)
		return true;
	worker->kept_for = task->group;
	worker->kept_until = now + KEEP_USEC;
	return false;
}

void fleet_crash_join_waits(fleet_task_t *tasks, uint32_t n)
{
	gh_time_t since = GH_TIME_NEVER;
	uint32_t i;

	for (i = 0; i < n; i++)
		if (tasks[i].care_since)
			since = MIN(since, tasks[i].care_since);
	for (i = 0; i < n && since != GH_TIME_NEVER; i++)
		tasks[i].care_since = since;
}

static bool is_kept_for_others(const gh_fleet_t *fleet,
			       const fleet_worker_t *worker,
			       const fleet_task_t *task, gh_time_t now)
{
	const fleet_task_t *suspect = suspect_group(fleet, worker);

	return (suspect && suspect != task->group) ||
	       (now < worker->kept_until && worker->kept_for != task->group);
}

void fleet_crash_handle_start(gh_fleet_t *fleet, uint32_t ref)
{
	fleet_run_t *run = fleet_run(fleet, ref);
	fleet_worker_t *worker = fleet_worker(fleet, run->worker);
	fleet_task_t *task = fleet_task(fleet_job(fleet, run->job), run->task);

	run->suspect =
		fleet_crash_is_suspect(task) || fleet_crash_needs_care(task);
	if (!run->suspect)
		return;
	worker->n_suspects++;
	if (fleet_crash_needs_care(task) &&
	    count_unsettled(fleet, worker, NULL) == 1)
		worker->suspect_run = ref;
	if (worker->kept_for == task->group)
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
