/*
 * Replay of tasks: simulates workers that run each attempt for its true run
 * time, and collects the results.
 */
#include "replay_task.h"

#include <string.h>

/* Maximum time simulated after the last event of the trace. */
#define DRAIN_USEC (30 * GH_USEC_PER_SEC)
/*
 * Time from the start of a failing attempt, or from its last throttling, until
 * it fails.
 */
#define FAILURE_DELAY_USEC (50 * GH_USEC_PER_MSEC)
#define FULL_CPU_PERCENT 100

enum sim_event {
	SIM_RUN_END,
	SIM_WAKEUP,
};

/* A submitted job and the time of its submission. */
typedef struct submission {
	const replay_job_t *job;
	gh_time_t at;
} submission_t;

/*
 * Event that a run ends; ignored if end_version of the run has changed since
 * the event was scheduled.
 */
typedef struct end_event {
	replay_run_t *run;
	uint32_t end_version;
} end_event_t;

static const replay_task_ops_t *const policies[REPLAY_POLICIES] = {
	[REPLAY_CORE] = &replay_shard_ops,
	[REPLAY_FIRST_FIT] = &replay_first_fit_ops,
};

static void sim_init(replay_task_sim_t *sim);
static void sim_clear(replay_task_sim_t *sim);
static void handle_trace_event(replay_task_sim_t *sim,
			       const replay_event_t *event);
static void submit_job(replay_task_sim_t *sim, const replay_job_t *job);
static void change_worker_mode(replay_task_sim_t *sim,
			       const replay_event_t *event);
static void handle_item(replay_task_sim_t *sim, const replay_item_t *item);
static void schedule_end(replay_task_sim_t *sim, replay_run_t *run);
static void update_progress(replay_task_sim_t *sim, replay_run_t *run);
static void finish_run(replay_task_sim_t *sim, replay_run_t *run);
static void release_cores(replay_task_sim_t *sim, const replay_run_t *run);
static void record_start(replay_task_sim_t *sim, const replay_run_t *run);
static int64_t run_core_ms(const replay_run_t *run);

bool replay_tasks(const replay_trace_t *trace, replay_policy_t policy,
		  replay_task_result_t *result)
{
	replay_task_sim_t sim = {
		.ops = policies[policy],
		.trace = trace,
		.result = result,
	};
	const replay_event_t *event;
	replay_item_t item;
	replay_source_t source;
	guint next = 0;

	if (!sim.ops)
		return false;
	sim_init(&sim);
	sim.policy_state = sim.ops->create(&sim);
	while ((source = replay_pop_next(trace, &next, &sim.heap, &event,
					 &item)) != REPLAY_EXHAUSTED) {
		if (source == REPLAY_FROM_TRACE) {
			sim.now = event->at;
			handle_trace_event(&sim, event);
			continue;
		}
		sim.now = item.at;
		if (sim.now <= result->duration + DRAIN_USEC)
			handle_item(&sim, &item);
		else if (item.kind == SIM_RUN_END)
			g_free(item.data);
	}
	sim.ops->destroy(&sim);
	sim_clear(&sim);
	return true;
}

replay_run_t *replay_task_start(replay_task_sim_t *sim, gh_handle_t worker,
				const replay_job_t *job, const char *task,
				uint32_t attempt, int64_t progress_usec)
{
	replay_worker_t *host = &sim->workers[worker];
	replay_run_t *run = g_new0(replay_run_t, 1);

	g_strlcpy(run->task, task, sizeof(run->task));
	run->attempt = attempt;
	run->job = job;
	run->worker = worker;
	run->state = GH_REPORT_RUNNING;
	run->started_at = sim->now;
	run->progress_updated_at = sim->now;
	run->progress_usec = progress_usec;
	run->cpu_percent = FULL_CPU_PERCENT;
	g_ptr_array_add(sim->runs, run);
	g_ptr_array_add(host->runs, run);
	host->allocated_cores_milli += job->spec.cores_milli;
	if (host->allocated_cores_milli > host->worker->cores_milli)
		sim->result->size_overruns++;
	record_start(sim, run);
	schedule_end(sim, run);
	return run;
}

void replay_task_stop(replay_task_sim_t *sim, replay_run_t *run)
{
	update_progress(sim, run);
	run->end_version++;
	run->state = GH_REPORT_STOPPED;
	release_cores(sim, run);
}

void replay_task_throttle(replay_task_sim_t *sim, replay_run_t *run,
			  uint32_t cpu_percent)
{
	update_progress(sim, run);
	run->cpu_percent = cpu_percent;
	schedule_end(sim, run);
}

replay_run_t *replay_task_find_run(const replay_task_sim_t *sim,
				   gh_handle_t worker, const char *task,
				   uint32_t attempt)
{
	GPtrArray *runs = sim->workers[worker].runs;
	guint i;

	for (i = 0; i < runs->len; i++) {
		replay_run_t *run = g_ptr_array_index(runs, i);

		if (run->attempt == attempt && !strcmp(run->task, task))
			return run;
	}
	return NULL;
}

void replay_task_forget(replay_task_sim_t *sim, replay_run_t *run)
{
	g_ptr_array_remove_fast(sim->workers[run->worker].runs, run);
}

const replay_job_t *replay_task_find_job(const replay_task_sim_t *sim,
					 const char *name)
{
	const submission_t *submission =
		g_hash_table_lookup(sim->submitted, name);

	return submission->job;
}

void replay_task_schedule_wakeup(replay_task_sim_t *sim, gh_time_t at,
				 uint32_t subject, void *data)
{
	replay_heap_push(&sim->heap, (replay_item_t){
					     .at = at,
					     .kind = SIM_WAKEUP,
					     .subject = subject,
					     .data = data,
				     });
}

void replay_task_result_clear(replay_task_result_t *result)
{
	g_clear_pointer(&result->urgent_start_delay.values, g_array_unref);
}

static void sim_init(replay_task_sim_t *sim)
{
	const gh_document_t *doc = sim->trace->doc;
	const GArray *events = sim->trace->events;
	size_t i;

	memset(sim->result, 0, sizeof(*sim->result));
	sim->result->urgent_start_delay.values =
		g_array_new(FALSE, FALSE, sizeof(gh_time_t));
	if (events->len)
		sim->result->duration =
			g_array_index(events, replay_event_t, events->len - 1)
				.at;
	replay_heap_init(&sim->heap);
	sim->runs = g_ptr_array_new_with_free_func(g_free);
	sim->submitted =
		g_hash_table_new_full(g_str_hash, g_str_equal, NULL, g_free);
	sim->workers = g_new0(replay_worker_t, doc->n_workers);
	for (i = 0; i < doc->n_workers; i++) {
		sim->workers[i].worker = &doc->workers[i];
		sim->workers[i].runs = g_ptr_array_new();
	}
}

static void sim_clear(replay_task_sim_t *sim)
{
	size_t i;

	for (i = 0; i < sim->trace->doc->n_workers; i++)
		g_ptr_array_unref(sim->workers[i].runs);
	g_free(sim->workers);
	g_ptr_array_unref(sim->runs);
	g_hash_table_unref(sim->submitted);
	replay_heap_clear(&sim->heap);
}

static void handle_trace_event(replay_task_sim_t *sim,
			       const replay_event_t *event)
{
	if (event->kind == REPLAY_JOB)
		submit_job(sim, event->job);
	else if (event->kind == REPLAY_CANCEL)
		sim->ops->cancel(sim, event->job);
	else if (event->kind == REPLAY_WORKER)
		change_worker_mode(sim, event);
}

static void submit_job(replay_task_sim_t *sim, const replay_job_t *job)
{
	submission_t *submission = g_new(submission_t, 1);

	*submission = (submission_t){ .job = job, .at = sim->now };
	g_hash_table_replace(sim->submitted, (gpointer)job->spec.name,
			     submission);
	sim->result->jobs++;
	sim->ops->submit(sim, job);
}

/*
 * Applies an event that changes a worker's mode.  A worker that goes down loses
 * its attempts and their progress.
 */
static void change_worker_mode(replay_task_sim_t *sim,
			       const replay_event_t *event)
{
	replay_worker_t *host = &sim->workers[event->host];
	guint i;

	host->mode = event->mode;
	for (i = 0; event->mode == REPLAY_MODE_DOWN && i < host->runs->len;
	     i++) {
		replay_run_t *run = g_ptr_array_index(host->runs, i);

		if (run->state != GH_REPORT_RUNNING)
			continue;
		replay_task_stop(sim, run);
		sim->result->work_lost_core_ms += run_core_ms(run);
	}
	if (event->mode == REPLAY_MODE_DOWN)
		g_ptr_array_set_size(host->runs, 0);
	sim->ops->handle_mode_change(sim, event->host);
}

static void handle_item(replay_task_sim_t *sim, const replay_item_t *item)
{
	end_event_t *end;

	if (item->kind == SIM_WAKEUP) {
		sim->ops->handle_wakeup(sim, item->subject, item->data);
		return;
	}
	end = item->data;
	if (end->run->end_version == end->end_version)
		finish_run(sim, end->run);
	g_free(end);
}

/*
 * Schedules the end of a run at its current processor share, and invalidates
 * the end scheduled before.  A run without a true run time ends only if it
 * fails.
 */
static void schedule_end(replay_task_sim_t *sim, replay_run_t *run)
{
	int64_t remaining_usec =
		run->job->true_run_ms * GH_USEC_PER_MSEC - run->progress_usec;
	end_event_t *end;

	run->end_version++;
	if (sim->workers[run->worker].mode == REPLAY_MODE_FAIL ||
	    run->job->fails)
		remaining_usec = FAILURE_DELAY_USEC;
	else if (!run->job->true_run_ms)
		return;
	end = g_new(end_event_t, 1);
	*end = (end_event_t){ .run = run, .end_version = run->end_version };
	replay_heap_push(
		&sim->heap,
		(replay_item_t){
			.at = sim->now + remaining_usec * FULL_CPU_PERCENT /
						 run->cpu_percent,
			.kind = SIM_RUN_END,
			.data = end,
		});
}

static void update_progress(replay_task_sim_t *sim, replay_run_t *run)
{
	run->progress_usec += (sim->now - run->progress_updated_at) *
			      run->cpu_percent / FULL_CPU_PERCENT;
	run->progress_updated_at = sim->now;
}

static void finish_run(replay_task_sim_t *sim, replay_run_t *run)
{
	bool failed = sim->workers[run->worker].mode == REPLAY_MODE_FAIL ||
		      run->job->fails;

	update_progress(sim, run);
	run->state = failed ? GH_REPORT_FAILED : GH_REPORT_DONE;
	release_cores(sim, run);
	if (failed) {
		sim->result->failed++;
		sim->result->work_lost_core_ms += run_core_ms(run);
	} else {
		sim->result->done++;
		if (run->job->spec.class == GH_CLASS_BATCH &&
		    sim->now <= sim->result->duration)
			sim->result->work_done_core_ms += run_core_ms(run);
	}
	sim->ops->handle_end(sim, run);
}

static void release_cores(replay_task_sim_t *sim, const replay_run_t *run)
{
	sim->workers[run->worker].allocated_cores_milli -=
		run->job->spec.cores_milli;
}

static void record_start(replay_task_sim_t *sim, const replay_run_t *run)
{
	const submission_t *submission =
		g_hash_table_lookup(sim->submitted, run->job->spec.name);
	gh_time_t delay = sim->now - submission->at;

	sim->result->started++;
	if (run->job->spec.urgent && run->attempt == 1)
		g_array_append_val(sim->result->urgent_start_delay.values,
				   delay);
}

/*
 * Core time, in milliseconds, of the work done by an attempt and before the
 * checkpoint that it resumed from.
 */
static int64_t run_core_ms(const replay_run_t *run)
{
	return run->progress_usec / GH_USEC_PER_MSEC *
	       (int64_t)run->job->true_cores_milli / 1000;
}
