#include "core_fleet_state.h"

#include <string.h>

#include "error.h"

#define QUEUE_ATTEMPTS_DEFAULT 3	 /* of a queue not configured yet */
#define QUEUE_STRETCH_DEFAULT_MILLI 2000 /* likewise */
#define LEASE_DRIFT_PARTS 33 /* a worker's clock may be 2 % slow; 3 % taken */
#define LEASE_SLACK (200 * GH_USEC_PER_MSEC) /* for the answer's way back */

static void lay_out(fleet_job_t *job);
static void worker_restarted(gh_fleet_t *fleet, uint32_t handle, gh_time_t now);
static uint32_t take_place(GArray *table, GArray *free_places);
static void link_run(gh_fleet_t *fleet, uint32_t handle);
static void unlink_run(gh_fleet_t *fleet, uint32_t handle);
static void hold_size(gh_fleet_t *fleet, const fleet_run_t *run, bool in);
static void task_done(gh_fleet_t *fleet, uint32_t handle, uint32_t index,
		      gh_time_t now);
static void gang_member_ended(gh_fleet_t *fleet, uint32_t handle,
			      uint32_t index, gh_run_outcome_t how,
			      gh_time_t now);
static void count_failure(gh_fleet_t *fleet, uint32_t handle, uint32_t index,
			  gh_time_t now);
static void stop_runs_of(gh_fleet_t *fleet, uint32_t handle, uint32_t from,
			 uint32_t n, const char *why, gh_time_t now);
static void free_job(gh_fleet_t *fleet, uint32_t handle);
static bool order_fits(gh_order_kind_t kind, run_state_t state);
static void free_worker(gh_fleet_t *fleet, uint32_t handle);

static const char *const phase_names[GH_JOB_PHASES] = {
	[GH_JOB_QUEUED] = "queued",	  [GH_JOB_RUNNING] = "running",
	[GH_JOB_COMPLETED] = "completed", [GH_JOB_FAILED] = "failed",
	[GH_JOB_CANCELLED] = "cancelled",
};

static const char *const end_names[GH_RUN_OUTCOMES] = {
	[GH_RUN_DONE] = "done",		 [GH_RUN_FAILED] = "failed",
	[GH_RUN_STOPPED] = "stopped",	 [GH_RUN_LEASE_EXPIRED] = "lapsed",
	[GH_RUN_GANG_BROKEN] = "broken", [GH_RUN_GANG_INCOMPLETE] = "alone",
	[GH_RUN_LOST] = "lost",		 [GH_RUN_NOT_STARTED] = "unsent",
};

gh_fleet_t *gh_fleet_new(const gh_fleet_setup_t *setup,
			 const gh_fleet_sink_t *sink, gh_time_t now)
{
	gh_fleet_t *fleet = g_new0(gh_fleet_t, 1);

	fleet->setup = *setup;
	if (sink)
		fleet->sink = *sink;
	fleet->began = now;
	fleet->workers = g_array_new(FALSE, TRUE, sizeof(fleet_worker_t));
	fleet->jobs = g_array_new(FALSE, TRUE, sizeof(fleet_job_t));
	fleet->runs = g_array_new(FALSE, TRUE, sizeof(fleet_run_t));
	fleet->free_workers = g_array_new(FALSE, FALSE, sizeof(uint32_t));
	fleet->free_jobs = g_array_new(FALSE, FALSE, sizeof(uint32_t));
	fleet->free_runs = g_array_new(FALSE, FALSE, sizeof(uint32_t));
	fleet->orders = g_queue_new();
	fleet->worker_by_id =
		g_hash_table_new_full(g_str_hash, g_str_equal, g_free, NULL);
	fleet->job_by_id =
		g_hash_table_new_full(g_str_hash, g_str_equal, g_free, NULL);
	fleet->queues =
		g_hash_table_new_full(g_str_hash, g_str_equal, NULL, g_free);
	fleet->changes = g_queue_new();
	fleet->press = gh_interference_new();
	fleet->wave = gh_load_periods_new();
	fleet->faded = now;
	return fleet;
}

void gh_fleet_free(gh_fleet_t *fleet)
{
	uint32_t i;

	if (!fleet)
		return;
	for (i = 0; i < fleet->jobs->len; i++)
		if (fleet_job(fleet, i)->spec)
			free_job(fleet, i);
	for (i = 0; i < fleet->workers->len; i++)
		if (fleet_worker(fleet, i)->used)
			g_queue_free_full(fleet_worker(fleet, i)->acks, g_free);
	g_array_free(fleet->workers, TRUE);
	g_array_free(fleet->jobs, TRUE);
	g_array_free(fleet->runs, TRUE);
	g_array_free(fleet->free_workers, TRUE);
	g_array_free(fleet->free_jobs, TRUE);
	g_array_free(fleet->free_runs, TRUE);
	g_queue_free_full(fleet->orders, g_free);
	g_hash_table_destroy(fleet->worker_by_id);
	g_hash_table_destroy(fleet->job_by_id);
	g_hash_table_destroy(fleet->queues);
	g_queue_free(fleet->changes);
	gh_interference_free(fleet->press);
	gh_load_periods_free(fleet->wave);
	g_free(fleet);
}

/* Workers. */

static void set_rack(fleet_worker_t *worker)
{
	uint32_t i;

	/* Labels are the kind and then the rack. */
	worker->rack[0] = '\0';
	for (i = 1; i < worker->entry.n_labels; i++)
		g_strlcpy(worker->rack, worker->entry.labels[i],
			  sizeof(worker->rack));
}

static uint32_t add_worker(gh_fleet_t *fleet, const gh_worker_entry_t *entry)
{
	uint32_t handle = take_place(fleet->workers, fleet->free_workers);
	fleet_worker_t *worker = fleet_worker(fleet, handle);

	*worker = (fleet_worker_t){
		.entry = *entry,
		.used = true,
		.runs = GH_NONE,
		.acks = g_queue_new(),
		.slowness = 1,
	};
	set_rack(worker);
	g_hash_table_insert(fleet->worker_by_id, g_strdup(entry->id),
			    GUINT_TO_POINTER(handle + 1));
	return handle;
}

void gh_fleet_worker_set(gh_fleet_t *fleet, const gh_worker_entry_t *entry,
			 gh_time_t now)
{
	uint32_t handle = fleet_worker_find(fleet, entry->id);
	fleet_worker_t *worker;
	bool was_draining;

	if (handle == GH_NONE)
		handle = add_worker(fleet, entry);
	else
		fleet_worker_life(fleet, handle, entry->incarnation_start_ms,
				  now);
	worker = fleet_worker(fleet, handle);
	was_draining = worker->entry.draining;
	if (!worker->listed)
		fleet_say(fleet, "worker_listed", NULL, 0, handle,
			  entry->address);
	worker->entry = *entry;
	worker->listed = true;
	set_rack(worker);
	if (entry->draining && !was_draining)
		fleet_say(fleet, "worker_draining", NULL, 0, handle, NULL);
}

void gh_fleet_worker_unlist(gh_fleet_t *fleet, const char *id)
{
	uint32_t handle = fleet_worker_find(fleet, id);
	fleet_worker_t *worker;

	if (handle == GH_NONE)
		return;
	worker = fleet_worker(fleet, handle);
	if (worker->listed)
		fleet_say(fleet, "worker_unlisted", NULL, 0, handle, NULL);
	worker->listed = false;
	fleet_worker_drop_if_over(fleet, handle);
}

void gh_fleet_workers_retain(gh_fleet_t *fleet, GHashTable *ids)
{
	uint32_t i;

	for (i = 0; i < fleet->workers->len; i++) {
		const fleet_worker_t *worker = fleet_worker(fleet, i);
		char id[GH_WORKER_ID_MAX + 1];

		if (!worker->used || !worker->listed ||
		    g_hash_table_contains(ids, worker->entry.id))
			continue;
		g_strlcpy(id, worker->entry.id, sizeof(id));
		gh_fleet_worker_unlist(fleet, id);
	}
}

void fleet_worker_drop_if_over(gh_fleet_t *fleet, uint32_t handle)
{
	fleet_worker_t *worker = fleet_worker(fleet, handle);

	if (!worker->listed && !worker->n_runs && !worker->holding)
		free_worker(fleet, handle);
}

/*
 * What the former life ran is gone, but a start may have reached the new one,
 * which has the same name.  One that was answered is looked for in its list;
 * one that was not is barred there by a stop.
 */
static void worker_restarted(gh_fleet_t *fleet, uint32_t handle, gh_time_t now)
{
	GArray *refs = g_array_new(FALSE, FALSE, sizeof(uint32_t));
	uint32_t ref;
	guint i;

	for (ref = fleet_worker(fleet, handle)->runs; ref != GH_NONE;
	     ref = fleet_run(fleet, ref)->next)
		g_array_append_val(refs, ref);
	if (refs->len)
		fleet_say(fleet, "worker_lost", NULL, 0, handle, "restarted");
	for (i = 0; i < refs->len; i++) {
		fleet_run_t *run;

		ref = g_array_index(refs, uint32_t, i);
		run = fleet_run(fleet, ref);
		if (run->state == RUN_RUNNING) {
			run->state = RUN_ORPHAN;
			run->pace_sent = GH_NONE;
		} else if (run->state == RUN_STARTING && run->ordered) {
			fleet_run_stop(fleet, ref, "its worker restarted", now);
		} else if (run->state == RUN_STOPPING) {
			run->answered = 0;
			fleet_order(fleet, GH_ORDER_STOP, ref);
		} else if (run->state != RUN_FREE && run->state != RUN_ORPHAN) {
			fleet_run_end(fleet, ref, GH_RUN_NOT_STARTED, NULL,
				      now);
		}
	}
	g_array_free(refs, TRUE);
}

void fleet_worker_life(gh_fleet_t *fleet, uint32_t handle, int64_t born_ms,
		       gh_time_t now)
{
	fleet_worker_t *worker = fleet_worker(fleet, handle);

	if (!born_ms || born_ms == worker->entry.incarnation_start_ms)
		return;
	if (worker->entry.incarnation_start_ms) {
		worker_restarted(fleet, handle, now);
		worker->known = false;
		worker->acked = 0;
		worker->acked_sent = 0;
		worker->listed_ends = 0;
		worker->hold_from = 0;
		g_queue_clear_full(worker->acks, g_free);
	}
	worker->entry.incarnation_start_ms = born_ms;
}

void fleet_worker_lost(gh_fleet_t *fleet, uint32_t handle, const char *why,
		       gh_time_t now)
{
	fleet_worker_t *worker = fleet_worker(fleet, handle);

	if (worker->n_runs)
		fleet_say(fleet, "worker_lost", NULL, 0, handle, why);
	while (worker->runs != GH_NONE)
		fleet_run_end(fleet, worker->runs, GH_RUN_LOST, NULL, now);
}

void gh_fleet_queue_set(gh_fleet_t *fleet, const gh_queue_policy_t *policy)
{
	gh_queue_policy_t *copy = g_new(gh_queue_policy_t, 1);

	*copy = *policy;
	g_hash_table_replace(fleet->queues, copy->name, copy);
}

const gh_queue_policy_t *fleet_policy(const gh_fleet_t *fleet,
				      const fleet_job_t *job)
{
	static const gh_queue_policy_t fallback = {
		.attempts = QUEUE_ATTEMPTS_DEFAULT,
		.stretch_milli = QUEUE_STRETCH_DEFAULT_MILLI,
	};
	const gh_queue_policy_t *policy =
		g_hash_table_lookup(fleet->queues, job->spec->queue);

	return policy ? policy : &fallback;
}

/* Jobs. */

uint32_t fleet_job_new(gh_fleet_t *fleet, gh_pipeline_t *pipeline)
{
	uint32_t handle = take_place(fleet->jobs, fleet->free_jobs);
	fleet_job_t *job = fleet_job(fleet, handle);
	uint32_t occurrences = gh_pipeline_occurrence_count(pipeline);
	uint32_t i;

	*job = (fleet_job_t){
		.spec = pipeline,
		.per_occurrence = gh_pipeline_task_count(pipeline),
		.n_stages = occurrences * pipeline->n_steps,
		.failed_on = GH_NONE,
	};
	job->n_tasks = occurrences * job->per_occurrence;
	job->tasks = g_new0(fleet_task_t, job->n_tasks);
	job->stages = g_new0(fleet_stage_t, job->n_stages);
	job->images = g_new0(uint16_t, pipeline->n_steps);
	for (i = 0; i < pipeline->n_steps; i++)
		job->images[i] = gh_interference_image_id(
			fleet->press, pipeline->steps[i].image);
	lay_out(job);
	g_hash_table_insert(fleet->job_by_id, g_strdup(pipeline->id),
			    GUINT_TO_POINTER(handle + 1));
	return handle;
}

/* The tasks of each stage follow one another. */
static void lay_out(fleet_job_t *job)
{
	uint32_t at = 0;
	uint32_t i;

	for (i = 0; i < job->n_stages; i++) {
		job->stages[i].first = at;
		at += job->spec->steps[i % job->spec->n_steps].tasks;
	}
	for (i = 0; i < job->n_tasks; i++) {
		job->tasks[i].runs[0] = job->tasks[i].runs[1] = GH_NONE;
		job->tasks[i].avoid = GH_NONE;
	}
}

bool gh_fleet_job_known(const gh_fleet_t *fleet, const char *id)
{
	return fleet_job_find(fleet, id) != GH_NONE;
}

void gh_fleet_job_cancel(gh_fleet_t *fleet, const char *id, gh_time_t now)
{
	uint32_t handle = fleet_job_find(fleet, id);

	if (handle == GH_NONE ||
	    fleet_job(fleet, handle)->phase > GH_JOB_RUNNING)
		return;
	fleet_job_end(fleet, handle, GH_JOB_CANCELLED, now);
}

void fleet_job_end(gh_fleet_t *fleet, uint32_t handle, gh_job_phase_t phase,
		   gh_time_t now)
{
	fleet_job_t *job = fleet_job(fleet, handle);
	gh_task_id_t id = fleet_task_id(job, 0);

	job->phase = phase;
	fleet_say(fleet, "job_ended", &id, 0, GH_NONE, phase_names[phase]);
	fleet_job_changed(fleet, handle);
	stop_runs_of(fleet, handle, 0, job->n_tasks, "job ended", now);
}

void fleet_job_changed(gh_fleet_t *fleet, uint32_t handle)
{
	fleet_job_t *job = fleet_job(fleet, handle);

	job->version++;
	if (job->queued_change)
		return;
	job->queued_change = true;
	g_queue_push_tail(fleet->changes, GUINT_TO_POINTER(handle + 1));
}

void fleet_job_drop_if_over(gh_fleet_t *fleet, uint32_t handle)
{
	fleet_job_t *job = fleet_job(fleet, handle);

	if (job->spec && job->phase > GH_JOB_RUNNING && !job->open_runs &&
	    !job->queued_change && !job->in_commit &&
	    job->committed == job->version)
		free_job(fleet, handle);
}

/* Runs. */

uint32_t fleet_run_open(gh_fleet_t *fleet, uint32_t job, uint32_t task,
			uint32_t worker, uint32_t number, run_state_t state,
			gh_time_t now)
{
	uint32_t handle = take_place(fleet->runs, fleet->free_runs);
	fleet_run_t *run = fleet_run(fleet, handle);
	fleet_job_t *owner = fleet_job(fleet, job);
	fleet_task_t *t = &owner->tasks[task];
	bool copy = t->runs[0] != GH_NONE;

	*run = (fleet_run_t){
		.state = state,
		.job = job,
		.task = task,
		.worker = worker,
		.number = number,
		.began = state == RUN_ORPHAN ? 0 : now,
		.pace = 100,
		/* What a former owner ordered is not known. */
		.pace_sent = state == RUN_ORPHAN ? GH_NONE : 100,
		.percent_at = now,
	};
	if (copy)
		t->runs[1] = handle;
	else
		t->runs[0] = handle;
	t->last_run = MAX(t->last_run, number);
	if (!copy)
		fleet_stage_of(owner, task)->open++;
	owner->open_runs++;
	link_run(fleet, handle);
	hold_size(fleet, run, true);
	if (state == RUN_PLANNED) {
		fleet_worker(fleet, worker)->placed_at = now;
		if (owner->phase == GH_JOB_QUEUED)
			owner->phase = GH_JOB_RUNNING;
		fleet_job_changed(fleet, job);
		run->version = owner->version;
	}
	return handle;
}

void fleet_run_end(gh_fleet_t *fleet, uint32_t handle, gh_run_outcome_t how,
		   const char *saved, gh_time_t now)
{
	fleet_run_t run = *fleet_run(fleet, handle);
	fleet_job_t *job = fleet_job(fleet, run.job);
	fleet_task_t *task = &job->tasks[run.task];
	fleet_stage_t *stage = fleet_stage_of(job, run.task);
	const gh_step_t *step = fleet_step_of(job, run.task);
	gh_task_id_t id = fleet_task_id(job, run.task);

	fleet_say(fleet, "run_ended", &id, run.number, run.worker,
		  end_names[how]);
	hold_size(fleet, &run, false);
	unlink_run(fleet, handle);
	fleet_run(fleet, handle)->state = RUN_FREE;
	g_array_append_val(fleet->free_runs, handle);
	if (task->runs[0] == handle)
		task->runs[0] = task->runs[1];
	task->runs[1] = GH_NONE;
	if (!--job->open_runs)
		job->idle_since = now;
	if (task->runs[0] == GH_NONE)
		stage->open--;
	fleet_health_ended(fleet, &run, how, now);
	if (saved && *saved) {
		g_free(task->saved);
		task->saved = g_strdup(saved);
	}
	if (job->phase > GH_JOB_RUNNING) {
		fleet_job_drop_if_over(fleet, run.job);
		return;
	}
	fleet_job_changed(fleet, run.job);
	if (task->done)
		return;
	if (how == GH_RUN_DONE && !step->long_running)
		task_done(fleet, run.job, run.task, now);
	else if (step->gang)
		gang_member_ended(fleet, run.job, run.task, how, now);
	else if (how == GH_RUN_FAILED) {
		task->avoid = run.worker;
		if (!step->long_running)
			count_failure(fleet, run.job, run.task, now);
	} else if (how == GH_RUN_LOST || how == GH_RUN_LEASE_EXPIRED) {
		task->avoid = run.worker;
	}
}

static void task_done(gh_fleet_t *fleet, uint32_t handle, uint32_t index,
		      gh_time_t now)
{
	fleet_job_t *job = fleet_job(fleet, handle);
	fleet_stage_t *stage = fleet_stage_of(job, index);
	const gh_step_t *step = fleet_step_of(job, index);
	uint32_t from = step->gang ? stage->first : index;
	uint32_t n = step->gang ? step->tasks : 1;
	uint32_t i;

	for (i = from; i < from + n; i++) {
		if (job->tasks[i].done)
			continue;
		job->tasks[i].done = true;
		g_clear_pointer(&job->tasks[i].saved, g_free);
		stage->done++;
	}
	stop_runs_of(fleet, handle, from, n, "task is done", now);
	if (stage->done < step->tasks)
		return;
	job->stages_done++;
	if (job->stages_done == job->n_stages)
		fleet_job_end(fleet, handle, GH_JOB_COMPLETED, now);
}

/* A gang starts anew once every member of the last start has ended. */
static void gang_member_ended(gh_fleet_t *fleet, uint32_t handle,
			      uint32_t index, gh_run_outcome_t how,
			      gh_time_t now)
{
	fleet_job_t *job = fleet_job(fleet, handle);
	fleet_stage_t *stage = fleet_stage_of(job, index);
	const gh_step_t *step = fleet_step_of(job, index);
	uint32_t i;

	if (how == GH_RUN_FAILED)
		stage->run_failed = 1;
	stop_runs_of(fleet, handle, stage->first, step->tasks,
		     "a member of the gang ended", now);
	if (stage->open)
		return;
	if (stage->run_failed) {
		stage->run_failed = 0;
		for (i = stage->first + 1; i < stage->first + step->tasks; i++)
			job->tasks[i].failures++;
		count_failure(fleet, handle, stage->first, now);
	}
}

static void count_failure(gh_fleet_t *fleet, uint32_t handle, uint32_t index,
			  gh_time_t now)
{
	fleet_job_t *job = fleet_job(fleet, handle);

	if (++job->tasks[index].failures >=
	    MAX(fleet_policy(fleet, job)->attempts, 1))
		fleet_job_end(fleet, handle, GH_JOB_FAILED, now);
}

static void stop_runs_of(gh_fleet_t *fleet, uint32_t handle, uint32_t from,
			 uint32_t n, const char *why, gh_time_t now)
{
	fleet_job_t *job = fleet_job(fleet, handle);
	uint32_t i;

	for (i = from; i < from + n; i++) {
		/* The later one first: ending the first moves it up. */
		if (job->tasks[i].runs[1] != GH_NONE)
			fleet_run_stop(fleet, job->tasks[i].runs[1], why, now);
		if (job->tasks[i].runs[0] != GH_NONE)
			fleet_run_stop(fleet, job->tasks[i].runs[0], why, now);
	}
}

void fleet_run_stop(gh_fleet_t *fleet, uint32_t handle, const char *why,
		    gh_time_t now)
{
	fleet_run_t *run = fleet_run(fleet, handle);
	gh_task_id_t id;

	if (run->state == RUN_STOPPING || run->state == RUN_FREE)
		return;
	if (run->state == RUN_PLANNED) {
		fleet_run_end(fleet, handle, GH_RUN_NOT_STARTED, NULL, now);
		return;
	}
	id = fleet_task_id(fleet_job(fleet, run->job), run->task);
	fleet_say(fleet, "run_stopped", &id, run->number, run->worker, why);
	run->state = RUN_STOPPING;
	run->answered = 0;
	fleet_order(fleet, GH_ORDER_STOP, handle);
}

void fleet_order(gh_fleet_t *fleet, gh_order_kind_t kind, uint32_t handle)
{
	fleet_run_t *run = fleet_run(fleet, handle);
	order_ref_t ref = { .kind = kind,
			    .run = handle,
			    .number = run->number,
			    .worker = GH_NONE };

	run->retry_at = GH_TIME_NEVER;
	g_queue_push_tail(fleet->orders, g_memdup2(&ref, sizeof(ref)));
}

bool gh_fleet_next_order(gh_fleet_t *fleet, gh_order_t *order, gh_time_t now)
{
	order_ref_t *next;

	while ((next = g_queue_pop_head(fleet->orders))) {
		order_ref_t ref = *next;
		fleet_run_t *run;
		fleet_job_t *job;
		fleet_worker_t *worker;

		g_free(next);
		*order = (gh_order_t){ .kind = ref.kind };
		if (ref.run == GH_NONE) {
			worker = fleet_worker(fleet, ref.worker);
			if (!worker->used)
				continue;
			order->task = ref.task;
			order->run = ref.number;
			order->worker = worker->entry.id;
			order->address = worker->entry.address;
			return true;
		}
		run = fleet_run(fleet, ref.run);
		if (run->state == RUN_FREE || run->number != ref.number)
			continue;
		if (!order_fits(ref.kind, run->state))
			continue;
		job = fleet_job(fleet, run->job);
		worker = fleet_worker(fleet, run->worker);
		if (ref.kind == GH_ORDER_START) {
			if (!run->ordered &&
			    (worker->entry.draining || !worker->listed)) {
				fleet_run_end(fleet, ref.run,
					      GH_RUN_NOT_STARTED, NULL, now);
				continue;
			}
			order->lease_until = fleet_grant(fleet, worker, now);
			order->payload = job->spec->payload;
			order->checkpoint = job->tasks[run->task].saved;
		}
		run->ordered = true;
		order->pace_percent = run->pace;
		order->task = fleet_task_id(job, run->task);
		order->run = run->number;
		order->worker = worker->entry.id;
		order->address = worker->entry.address;
		return true;
	}
	return false;
}

/* Whether the order is still due in the run's present state. */
static bool order_fits(gh_order_kind_t kind, run_state_t state)
{
	static const run_state_t wanted[] = {
		[GH_ORDER_START] = RUN_STARTING,
		[GH_ORDER_STOP] = RUN_STOPPING,
		[GH_ORDER_PACE] = RUN_RUNNING,
	};

	return state == wanted[kind];
}

gh_time_t fleet_grant(gh_fleet_t *fleet, fleet_worker_t *worker, gh_time_t now)
{
	gh_time_t lease = gh_time_from_ms(fleet->setup.lease_ms);
	gh_time_t sure = now + lease + lease / LEASE_DRIFT_PARTS + LEASE_SLACK;

	worker->lease_until = MAX(worker->lease_until, sure);
	return now + lease;
}

/* Handles and names. */

fleet_worker_t *fleet_worker(const gh_fleet_t *fleet, uint32_t handle)
{
	return &g_array_index(fleet->workers, fleet_worker_t, handle);
}

fleet_job_t *fleet_job(const gh_fleet_t *fleet, uint32_t handle)
{
	return &g_array_index(fleet->jobs, fleet_job_t, handle);
}

fleet_run_t *fleet_run(const gh_fleet_t *fleet, uint32_t handle)
{
	return &g_array_index(fleet->runs, fleet_run_t, handle);
}

uint32_t fleet_worker_find(const gh_fleet_t *fleet, const char *id)
{
	return GPOINTER_TO_UINT(g_hash_table_lookup(fleet->worker_by_id, id)) -
	       1;
}

uint32_t fleet_job_find(const gh_fleet_t *fleet, const char *id)
{
	return GPOINTER_TO_UINT(g_hash_table_lookup(fleet->job_by_id, id)) - 1;
}

uint32_t fleet_stage_index(const fleet_job_t *job, uint32_t task)
{
	uint32_t stage = task / job->per_occurrence * job->spec->n_steps;

	while (stage + 1 < job->n_stages &&
	       job->stages[stage + 1].first <= task)
		stage++;
	return stage;
}

gh_task_id_t fleet_task_id(const fleet_job_t *job, uint32_t task)
{
	uint32_t stage = fleet_stage_index(job, task);
	gh_task_id_t id = {
		.occurrence = stage / job->spec->n_steps,
		.step = stage % job->spec->n_steps,
		.index = task - job->stages[stage].first,
	};

	g_strlcpy(id.job, job->spec->id, sizeof(id.job));
	return id;
}

uint32_t fleet_task_find(const fleet_job_t *job, const gh_task_id_t *id)
{
	uint32_t stage = id->occurrence * job->spec->n_steps + id->step;

	if (id->step >= job->spec->n_steps || stage >= job->n_stages ||
	    id->index >= job->spec->steps[id->step].tasks)
		return GH_NONE;
	return job->stages[stage].first + id->index;
}

fleet_stage_t *fleet_stage_of(const fleet_job_t *job, uint32_t task)
{
	return &job->stages[fleet_stage_index(job, task)];
}

const gh_step_t *fleet_step_of(const fleet_job_t *job, uint32_t task)
{
	return &job->spec->steps[fleet_stage_index(job, task) %
				 job->spec->n_steps];
}

uint32_t fleet_run_find(const gh_fleet_t *fleet, const fleet_job_t *job,
			uint32_t task, uint32_t number)
{
	uint32_t i;

	for (i = 0; i < GH_TASK_RUNS_MAX; i++) {
		uint32_t run = job->tasks[task].runs[i];

		if (run != GH_NONE && fleet_run(fleet, run)->number == number)
			return run;
	}
	return GH_NONE;
}

const char *gh_job_phase_name(gh_job_phase_t phase)
{
	return phase_names[phase];
}

gh_job_phase_t gh_job_phase_by_name(const char *name)
{
	int i;

	for (i = 0; i < GH_JOB_PHASES; i++)
		if (!strcmp(phase_names[i], name))
			break;
	return (gh_job_phase_t)i;
}

const char *gh_run_outcome_name(gh_run_outcome_t how)
{
	return end_names[how];
}

char *gh_fleet_interference_format(const gh_fleet_t *fleet)
{
	return gh_interference_format(fleet->press);
}

bool gh_fleet_interference_parse(gh_fleet_t *fleet, const char *text)
{
	return gh_interference_parse(fleet->press, text);
}

bool gh_fleet_fenced(const gh_fleet_t *fleet)
{
	return fleet->fenced;
}

void gh_fleet_counts(const gh_fleet_t *fleet, gh_fleet_counts_t *counts)
{
	*counts = fleet->counts;
	counts->jobs = g_hash_table_size(fleet->job_by_id);
	counts->workers = g_hash_table_size(fleet->worker_by_id);
	counts->open_runs = fleet->runs->len - fleet->free_runs->len;
}

void fleet_say(const gh_fleet_t *fleet, const char *what,
	       const gh_task_id_t *task, uint32_t run, uint32_t worker,
	       const char *detail)
{
	if (!fleet->sink.on_event)
		return;
	fleet->sink.on_event(fleet->sink.ctx, what, task, run,
			     worker == GH_NONE ?
				     NULL :
				     fleet_worker(fleet, worker)->entry.id,
			     detail);
}

static uint32_t take_place(GArray *table, GArray *free_places)
{
	uint32_t place;

	if (free_places->len) {
		place = g_array_index(free_places, uint32_t,
				      free_places->len - 1);
		g_array_set_size(free_places, free_places->len - 1);
		return place;
	}
	place = table->len;
	g_array_set_size(table, place + 1);
	return place;
}

static void link_run(gh_fleet_t *fleet, uint32_t handle)
{
	fleet_run_t *run = fleet_run(fleet, handle);
	fleet_worker_t *worker = fleet_worker(fleet, run->worker);

	run->prev = GH_NONE;
	run->next = worker->runs;
	if (worker->runs != GH_NONE)
		fleet_run(fleet, worker->runs)->prev = handle;
	worker->runs = handle;
	worker->n_runs++;
}

static void unlink_run(gh_fleet_t *fleet, uint32_t handle)
{
	fleet_run_t *run = fleet_run(fleet, handle);
	fleet_worker_t *worker = fleet_worker(fleet, run->worker);

	if (run->prev != GH_NONE)
		fleet_run(fleet, run->prev)->next = run->next;
	else
		worker->runs = run->next;
	if (run->next != GH_NONE)
		fleet_run(fleet, run->next)->prev = run->prev;
	worker->n_runs--;
}

static void hold_size(gh_fleet_t *fleet, const fleet_run_t *run, bool in)
{
	fleet_worker_t *worker = fleet_worker(fleet, run->worker);
	const gh_step_t *step =
		fleet_step_of(fleet_job(fleet, run->job), run->task);
	uint32_t sign = in ? 1 : -1;

	if (step->best_effort) {
		worker->fills += sign;
		worker->fill_cores += in ? step->size.cores_milli :
					   -(double)step->size.cores_milli;
	} else {
		worker->held.cores_milli += sign * step->size.cores_milli;
	}
	if (step->long_running) {
		worker->lasting += sign;
		worker->lasting_cores += in ? step->size.cores_milli :
					      -(double)step->size.cores_milli;
	}
	worker->seats_old = true;
	worker->held.memory_mb += sign * step->size.memory_mb;
	worker->held.accelerators += sign * step->size.accelerators;
}

static void free_job(gh_fleet_t *fleet, uint32_t handle)
{
	fleet_job_t *job = fleet_job(fleet, handle);
	uint32_t i;

	g_hash_table_remove(fleet->job_by_id, job->spec->id);
	for (i = 0; i < job->n_tasks; i++)
		g_free(job->tasks[i].saved);
	for (i = 0; i < job->n_stages; i++)
		gh_load_free(job->stages[i].load);
	g_free(job->tasks);
	g_free(job->stages);
	g_free(job->images);
	gh_pipeline_free(job->spec);
	memset(job, 0, sizeof(*job));
	g_array_append_val(fleet->free_jobs, handle);
}

static void free_worker(gh_fleet_t *fleet, uint32_t handle)
{
	fleet_worker_t *worker = fleet_worker(fleet, handle);

	g_hash_table_remove(fleet->worker_by_id, worker->entry.id);
	g_queue_free_full(worker->acks, g_free);
	memset(worker, 0, sizeof(*worker));
	g_array_append_val(fleet->free_workers, handle);
}
