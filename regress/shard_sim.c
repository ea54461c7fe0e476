/*
 * Simulation of one shard: workers, time, the log and crashes of the owner.
 */
#include "shard_sim.h"

#include <stdlib.h>
#include <string.h>

#define STEP_MS 50
#define WALL_START_MS 1000000
/* Time from an owner's crash to the next owner. */
#define TAKEOVER_WAIT_MS 4500

static void note_event(void *ctx, const gh_shard_event_t *event);
static void advance(sim_t *sim, int64_t ms);
static void advance_run(sim_t *sim, sim_worker_t *w, sim_run_t *run,
			int64_t ms);
static void commit(sim_t *sim);
static void make_calls(sim_t *sim);
static void poll_workers(sim_t *sim);
static void poll_worker(sim_t *sim, sim_worker_t *w);
static bool crashes_here(sim_t *sim, bool after_effect);
static sim_run_t *find_run(sim_worker_t *w, const char *task, uint32_t attempt);
static gh_reply_t start_run(sim_t *sim, sim_worker_t *w, const gh_action_t *a);
static gh_reply_t stop_run(sim_t *sim, sim_worker_t *w, const gh_action_t *a,
			   char *checkpoint);
static gh_reply_t bar_attempt(sim_worker_t *w, const gh_action_t *a);
static void check_new_run(sim_t *sim, sim_worker_t *w, const sim_run_t *run);
static void delay_start(sim_t *sim, const gh_action_t *a);
static bool is_checkpoint_lost(const sim_t *sim, const sim_run_t *run,
			       const char *last);
static bool is_reported_done(const sim_worker_t *w, const sim_run_t *run);
static bool is_running(const sim_run_t *run);

sim_t *sim_new(const char *document)
{
	GError *err = NULL;
	sim_t *sim = g_new0(sim_t, 1);
	size_t i;

	sim->doc = gh_document_parse(document, strlen(document), 1, &err);
	g_assert_no_error(err);
	sim->log = g_string_new(NULL);
	sim->now =
		(gh_now_t){ .boot = GH_USEC_PER_SEC, .wall_ms = WALL_START_MS };
	sim->checkpoints =
		g_hash_table_new_full(g_str_hash, g_str_equal, g_free, g_free);
	sim->delayed_starts = g_array_new(FALSE, TRUE, sizeof(gh_action_t));
	sim->n_workers = sim->doc->n_workers;
	sim->orphans_wait_ms = sim->doc->policy.task_lease_ms;
	for (i = 0; i < sim->n_workers; i++) {
		const gh_worker_t *from = &sim->doc->workers[i];
		sim_worker_t *w = &sim->workers[i];

		g_strlcpy(w->name, from->name, sizeof(w->name));
		w->size = (gh_resources_t){ from->cores_milli, from->memory_mb,
					    from->accelerators };
		w->runs = g_array_new(FALSE, TRUE, sizeof(sim_run_t));
		w->barred = g_hash_table_new_full(g_str_hash, g_str_equal,
						  g_free, NULL);
	}
	sim_take_over(sim, 0);
	return sim;
}

void sim_free(sim_t *sim)
{
	size_t i;

	sim_crash(sim);
	sim_deliver_starts(sim);
	for (i = 0; i < sim->n_workers; i++) {
		g_array_free(sim->workers[i].runs, TRUE);
		g_hash_table_unref(sim->workers[i].barred);
	}
	g_array_free(sim->delayed_starts, TRUE);
	g_hash_table_unref(sim->checkpoints);
	g_string_free(sim->log, TRUE);
	if (sim->events)
		g_string_free(sim->events, TRUE);
	gh_document_unref(sim->doc);
	g_free(sim);
}

void sim_take_over(sim_t *sim, int64_t orphans_wait_ms)
{
	gh_shard_setup_t setup = { .owner = "entry",
				   .domain = sim->doc->domains[0].name,
				   .seed = 7,
				   .on_event = note_event,
				   .event_ctx = sim };
	char **lines = g_strsplit(sim->log->str, "\n", -1);
	GError *err = NULL;
	size_t i;

	sim->shard = gh_shard_new(&setup);
	gh_shard_configure(sim->shard, sim->doc, &sim->now);
	for (i = 0; lines[i]; i++) {
		gh_shard_replay(sim->shard, lines[i], &err);
		g_assert_no_error(err);
	}
	g_strfreev(lines);
	sim->epoch++;
	sim->epoch_began_ms = sim->now.wall_ms;
	gh_shard_begin(sim->shard, sim->epoch,
		       sim->now.wall_ms + orphans_wait_ms, &sim->now);
	sim->poll_at = sim->now.boot;
}

void sim_crash(sim_t *sim)
{
	gh_shard_free(sim->shard);
	sim->shard = NULL;
	g_free(sim->uncommitted);
	sim->uncommitted = NULL;
}

void sim_run(sim_t *sim, int64_t ms)
{
	int64_t end = sim->now.wall_ms + ms;

	while (sim->now.wall_ms < end) {
		if (!sim->shard) {
			advance(sim, TAKEOVER_WAIT_MS);
			sim_take_over(sim, sim->orphans_wait_ms);
		}
		gh_shard_tick(sim->shard, !sim->store_down,
			      sim->now.wall_ms + 4000, &sim->now);
		commit(sim);
		if (sim->shard)
			make_calls(sim);
		if (sim->shard && sim->now.boot >= sim->poll_at)
			poll_workers(sim);
		advance(sim, STEP_MS);
	}
}

void sim_submit(sim_t *sim, const gh_job_spec_t *spec)
{
	GError *err = NULL;
	uint64_t number;

	gh_shard_submit(sim->shard, spec, &number, &err);
	g_assert_no_error(err);
}

gh_job_t *sim_job(sim_t *sim, const char *name)
{
	gh_task_table_t *tasks = gh_shard_tasks(sim->shard);
	gh_job_ref_t ref = gh_job_find(tasks, name);

	return ref == GH_JOB_NONE ? NULL : gh_job_at(tasks, ref);
}

size_t sim_count_running(const sim_t *sim, const char *job)
{
	char *prefix = g_strconcat(job, ".", NULL);
	size_t n = 0;
	size_t i;
	guint k;

	for (i = 0; i < sim->n_workers; i++)
		for (k = 0; k < sim->workers[i].runs->len; k++) {
			const sim_run_t *run = &g_array_index(
				sim->workers[i].runs, sim_run_t, k);

			n += is_running(run) &&
			     g_str_has_prefix(run->task, prefix);
		}
	g_free(prefix);
	return n;
}

sim_worker_t *sim_worker(sim_t *sim, const char *name)
{
	size_t i;

	for (i = 0; i < sim->n_workers; i++)
		if (!strcmp(sim->workers[i].name, name))
			return &sim->workers[i];
	g_assert_not_reached();
}

gh_reply_t sim_call(sim_t *sim, const gh_action_t *a, char *checkpoint)
{
	sim_worker_t *w = sim_worker(sim, a->worker);
	sim_run_t *run = find_run(w, a->task, a->attempt);
	gh_reply_t reply = GH_REPLY_OK;

	if (w->mode == SIM_UNREACHABLE)
		return GH_REPLY_UNKNOWN;
	if (w->mode == SIM_STARTS_DELAYED && a->kind == GH_ACTION_START) {
		delay_start(sim, a);
		return GH_REPLY_UNKNOWN;
	}
	if (a->epoch < w->epoch)
		return GH_REPLY_FENCED;
	w->epoch = a->epoch;
	if (a->kind == GH_ACTION_START)
		reply = start_run(sim, w, a);
	else if (a->kind == GH_ACTION_STOP)
		reply = stop_run(sim, w, a, checkpoint);
	else if (a->kind == GH_ACTION_BAR)
		reply = bar_attempt(w, a);
	else if (!run || run->forgotten)
		reply = GH_REPLY_NOT_FOUND;
	else if (a->kind == GH_ACTION_THROTTLE)
		run->percent = a->cpu_percent;
	else
		run->forgotten = true;
	if (w->mode == SIM_REPLIES_LOST ||
	    (w->mode == SIM_STOP_REPLIES_LOST && a->kind == GH_ACTION_STOP &&
	     sim->n_stops++ % 2))
		return GH_REPLY_UNKNOWN;
	return reply;
}

void sim_deliver_starts(sim_t *sim)
{
	char checkpoint[GH_CHECKPOINT_MAX + 1];
	guint i;

	for (i = 0; i < sim->delayed_starts->len; i++) {
		gh_action_t *a =
			&g_array_index(sim->delayed_starts, gh_action_t, i);
		sim_worker_t *w = sim_worker(sim, a->worker);
		sim_worker_mode_t mode = w->mode;

		w->mode = SIM_UP;
		sim_call(sim, a, checkpoint);
		w->mode = mode;
		gh_action_clear(a);
	}
	g_array_set_size(sim->delayed_starts, 0);
}

const char *sim_violation(const sim_t *sim)
{
	if (sim->duplicate_runs)
		return "a task ran in two places";
	if (sim->overcommits)
		return "the tasks of a worker exceeded its size";
	if (sim->bad_resumes)
		return "a resume was not from the last checkpoint";
	return NULL;
}

static void note_event(void *ctx, const gh_shard_event_t *event)
{
	sim_t *sim = ctx;

	if (!sim->events)
		return;
	g_string_append(sim->events, event->name);
	if (event->task)
		g_string_append_printf(sim->events, " %s/%u", event->task,
				       event->attempt);
	if (event->why)
		g_string_append_printf(sim->events, ": %s", event->why);
	g_string_append_c(sim->events, '\n');
}

static void advance(sim_t *sim, int64_t ms)
{
	size_t i;
	guint k;

	sim->now.boot += gh_time_from_ms(ms);
	sim->now.wall_ms += ms;
	for (i = 0; i < sim->n_workers; i++) {
		sim_worker_t *w = &sim->workers[i];

		if (w->mode == SIM_UNREACHABLE || w->mode == SIM_REPLIES_LOST)
			w->replies_lost_at_ms = sim->now.wall_ms;
		for (k = 0; k < w->runs->len; k++)
			advance_run(sim, w,
				    &g_array_index(w->runs, sim_run_t, k), ms);
	}
}

static void advance_run(sim_t *sim, sim_worker_t *w, sim_run_t *run, int64_t ms)
{
	if (!is_running(run))
		return;
	if (sim->now.wall_ms >= run->lease_ms) {
		run->state = GH_REPORT_EXPIRED;
		return;
	}
	if (run->remaining_ms == INT64_MAX)
		return;
	run->remaining_ms -= ms * run->percent / 100;
	if (run->remaining_ms > 0)
		return;
	run->ended_ms = sim->now.wall_ms;
	run->state =
		w->mode == SIM_FAILS_TASKS ? GH_REPORT_FAILED : GH_REPORT_DONE;
}

/*
 * Crashes the owner if its crash is scheduled before (after_effect: after) the
 * effect of this step; returns whether it crashed.
 */
static bool crashes_here(sim_t *sim, bool after_effect)
{
	if (!after_effect)
		sim->steps++;
	if (!sim->crash_at_step || sim->steps != sim->crash_at_step ||
	    sim->crash_after != after_effect)
		return false;
	sim->crash_at_step = 0;
	sim_crash(sim);
	return true;
}

static void commit(sim_t *sim)
{
	if (!sim->uncommitted)
		sim->uncommitted =
			gh_shard_take_records(sim->shard, &sim->commit);
	if (!sim->uncommitted || sim->store_down || crashes_here(sim, false))
		return;
	g_string_append(sim->log, sim->uncommitted);
	if (crashes_here(sim, true))
		return;
	g_free(sim->uncommitted);
	sim->uncommitted = NULL;
	gh_shard_confirm_commit(sim->shard, sim->commit);
}

static void make_calls(sim_t *sim)
{
	gh_action_t action;

	while (gh_shard_next_action(sim->shard, &action)) {
		char checkpoint[GH_CHECKPOINT_MAX + 1] = "";
		gh_reply_t reply = GH_REPLY_NOT_SENT;

		if (crashes_here(sim, false)) {
			gh_action_clear(&action);
			return;
		}
		if (action.kind == GH_ACTION_START)
			gh_shard_extend_lease(
				sim->shard, action.worker,
				sim->now.wall_ms +
					sim->doc->policy.task_lease_ms);
		if (action.kind != GH_ACTION_START ||
		    sim->now.wall_ms <= action.not_after_ms)
			reply = sim_call(sim, &action, checkpoint);
		if (crashes_here(sim, true)) {
			gh_action_clear(&action);
			return;
		}
		gh_shard_handle_reply(sim->shard, &action, reply, checkpoint,
				      &sim->now);
		gh_action_clear(&action);
	}
}

static void poll_workers(sim_t *sim)
{
	size_t i;

	sim->poll_at = sim->now.boot +
		       gh_time_from_ms(sim->doc->policy.worker_poll_ms);
	for (i = 0; i < sim->n_workers; i++)
		poll_worker(sim, &sim->workers[i]);
}

static void poll_worker(sim_t *sim, sim_worker_t *w)
{
	int64_t lease = sim->now.wall_ms + sim->doc->policy.task_lease_ms;
	bool renews = gh_shard_should_renew(sim->shard, w->name);
	gh_report_t report = { .sent_at = sim->now.boot,
			       .renewed = renews,
			       .usage_at_ms = sim->now.wall_ms };
	guint i;

	if (renews)
		gh_shard_extend_lease(sim->shard, w->name, lease);
	if (w->mode == SIM_UNREACHABLE) {
		gh_shard_handle_poll_failure(sim->shard, w->name, sim->now.boot,
					     &sim->now);
		return;
	}
	if (renews)
		w->epoch = MAX(w->epoch, sim->epoch);
	report.tasks = g_new0(gh_report_task_t, w->runs->len);
	for (i = 0; i < w->runs->len; i++) {
		sim_run_t *run = &g_array_index(w->runs, sim_run_t, i);
		gh_report_task_t *entry = &report.tasks[report.n_tasks];

		if (run->forgotten)
			continue;
		if (renews && is_running(run))
			run->lease_ms = MAX(run->lease_ms, lease);
		report.n_tasks++;
		g_strlcpy(entry->task, run->task, sizeof(entry->task));
		g_strlcpy(entry->checkpoint, run->checkpoint,
			  sizeof(entry->checkpoint));
		entry->attempt = run->attempt;
		entry->state = run->state;
		entry->measured = is_running(run);
		entry->cores_milli = run->size.cores_milli;
		entry->memory_mb = run->size.memory_mb;
		entry->tail_ms = run->tail_ms;
	}
	if (w->mode == SIM_REPLIES_LOST)
		gh_shard_handle_poll_failure(sim->shard, w->name, sim->now.boot,
					     &sim->now);
	else
		gh_shard_handle_report(sim->shard, w->name, &report, &sim->now);
	g_free(report.tasks);
}

static sim_run_t *find_run(sim_worker_t *w, const char *task, uint32_t attempt)
{
	guint i;

	for (i = 0; i < w->runs->len; i++) {
		sim_run_t *run = &g_array_index(w->runs, sim_run_t, i);

		if (run->attempt == attempt && !strcmp(run->task, task))
			return run;
	}
	return NULL;
}

static gh_reply_t start_run(sim_t *sim, sim_worker_t *w, const gh_action_t *a)
{
	int64_t run_ms = a->spec->run_ms ? a->spec->run_ms : INT64_MAX;
	guint barred =
		GPOINTER_TO_UINT(g_hash_table_lookup(w->barred, a->task));
	sim_run_t run = { .attempt = a->attempt,
			  .remaining_ms = run_ms,
			  .percent = 100 };

	if ((sim->now.wall_ms > a->not_after_ms && !w->ignores_not_after) ||
	    a->attempt <= barred)
		return GH_REPLY_REFUSED;
	g_strlcpy(run.task, a->task, sizeof(run.task));
	if (a->resume_checkpoint)
		g_strlcpy(run.resumed_from, a->resume_checkpoint,
			  sizeof(run.resumed_from));
	run.lease_ms = sim->now.wall_ms + sim->doc->policy.task_lease_ms;
	run.size = (gh_resources_t){ a->spec->cores_milli, a->spec->memory_mb,
				     a->spec->accelerators };
	if (w->mode == SIM_FAILS_TASKS)
		run.remaining_ms = 0;
	check_new_run(sim, w, &run);
	g_array_append_val(w->runs, run);
	return GH_REPLY_OK;
}

static gh_reply_t stop_run(sim_t *sim, sim_worker_t *w, const gh_action_t *a,
			   char *checkpoint)
{
	sim_run_t *run = find_run(w, a->task, a->attempt);

	if (!run || run->forgotten)
		return GH_REPLY_NOT_FOUND;
	if (is_running(run)) {
		run->state = GH_REPORT_STOPPED;
		run->ended_ms = sim->now.wall_ms;
		if (a->save_checkpoint) {
			g_snprintf(run->checkpoint, sizeof(run->checkpoint),
				   "c%u-%" G_GINT64_FORMAT, run->attempt,
				   sim->now.wall_ms);
			g_hash_table_replace(sim->checkpoints,
					     g_strdup(run->task),
					     g_strdup(run->checkpoint));
		}
	}
	if (run->state != GH_REPORT_STOPPED)
		return GH_REPLY_UNKNOWN;
	g_strlcpy(checkpoint, run->checkpoint, GH_CHECKPOINT_MAX + 1);
	return GH_REPLY_OK;
}

static gh_reply_t bar_attempt(sim_worker_t *w, const gh_action_t *a)
{
	sim_run_t *run = find_run(w, a->task, a->attempt);

	if (run && is_running(run))
		return GH_REPLY_RUNNING;
	if (!w->ignores_bars)
		g_hash_table_replace(w->barred, g_strdup(a->task),
				     GUINT_TO_POINTER(a->attempt));
	return GH_REPLY_OK;
}

/* Counts the invariants that a new run violates. */
static void check_new_run(sim_t *sim, sim_worker_t *w, const sim_run_t *run)
{
	const char *last = g_hash_table_lookup(sim->checkpoints, run->task);
	uint64_t cores = run->size.cores_milli;
	uint64_t memory = run->size.memory_mb;
	size_t i;
	guint k;

	if (strcmp(run->resumed_from, last ? last : "") != 0 &&
	    !is_checkpoint_lost(sim, run, last))
		sim->bad_resumes++;
	for (i = 0; i < sim->n_workers; i++)
		for (k = 0; k < sim->workers[i].runs->len; k++) {
			const sim_run_t *other = &g_array_index(
				sim->workers[i].runs, sim_run_t, k);

			if (!strcmp(other->task, run->task) &&
			    (is_running(other) ||
			     other->attempt >= run->attempt ||
			     is_reported_done(&sim->workers[i], other)))
				sim->duplicate_runs++;
			if (&sim->workers[i] != w || !is_running(other))
				continue;
			cores += other->size.cores_milli;
			memory += other->size.memory_mb;
		}
	if (cores > w->size.cores_milli || memory > w->size.memory_mb)
		sim->overcommits++;
}

/* Keeps a copy of a start for later delivery; the run's lease is counted from
 * the delivery. */
static void delay_start(sim_t *sim, const gh_action_t *a)
{
	gh_action_t copy = *a;

	copy.spec = g_memdup2(a->spec, sizeof(*a->spec));
	copy.resume_checkpoint = g_strdup(a->resume_checkpoint);
	g_array_append_val(sim->delayed_starts, copy);
}

/*
 * Whether a reply of the worker that wrote the task's last checkpoint was lost
 * after that run ended, and the new run resumes from the same checkpoint as
 * that run did.
 */
static bool is_checkpoint_lost(const sim_t *sim, const sim_run_t *run,
			       const char *last)
{
	size_t i;
	guint k;

	for (i = 0; last && i < sim->n_workers; i++)
		for (k = 0; k < sim->workers[i].runs->len; k++) {
			const sim_run_t *other = &g_array_index(
				sim->workers[i].runs, sim_run_t, k);

			if (!strcmp(other->task, run->task) &&
			    !strcmp(other->checkpoint, last))
				return sim->workers[i].replies_lost_at_ms >=
					       other->ended_ms &&
				       !strcmp(other->resumed_from,
					       run->resumed_from);
		}
	return false;
}

/* Whether a run is done and no reply of its worker was lost since the end of
 * the run. */
static bool is_reported_done(const sim_worker_t *w, const sim_run_t *run)
{
	return run->state == GH_REPORT_DONE &&
	       run->ended_ms > w->replies_lost_at_ms;
}

static bool is_running(const sim_run_t *run)
{
	return run->state == GH_REPORT_RUNNING;
}
