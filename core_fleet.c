/*
 * Life cycle of workers, jobs and runs, the queue of orders, and lookups.
 */
#include "core_fleet_move.h"

#include <inttypes.h>
#include <string.h>

#include "error.h"

/* Policy of a queue that is not configured yet. */
#define QUEUE_ATTEMPTS_DEFAULT 3
#define QUEUE_STRETCH_DEFAULT_MILLI 2000

static void init_tasks(fleet_job_t *job);
static void note_restart(gh_fleet_t *fleet, uint32_t handle, int64_t start_ms,
			 const char *told_by, gh_time_t now);
static void handle_worker_restart(gh_fleet_t *fleet, uint32_t handle,
				  gh_time_t now);
static uint32_t alloc_entry(GArray *table, GArray *free_entries);
static void link_run(gh_fleet_t *fleet, uint32_t handle);
static void unlink_run(gh_fleet_t *fleet, uint32_t handle);
static void account_resources(gh_fleet_t *fleet, const fleet_run_t *run,
			      bool add);
static void close_run(gh_fleet_t *fleet, uint32_t handle);
static void note_begun(fleet_job_t *job, const fleet_run_t *run,
		       gh_run_outcome_t outcome);
static void complete_task(gh_fleet_t *fleet, uint32_t handle, uint32_t index,
			  gh_time_t now);
static void handle_gang_member_end(gh_fleet_t *fleet, uint32_t handle,
				   uint32_t index, gh_run_outcome_t outcome,
				   gh_time_t now);
static uint32_t job_attempts(const gh_fleet_t *fleet, const fleet_job_t *job);
static void count_failure(gh_fleet_t *fleet, uint32_t handle, uint32_t index,
			  gh_time_t now);
static void stop_task_runs(gh_fleet_t *fleet, uint32_t handle, uint32_t from,
			   uint32_t n, const char *why, gh_time_t now);
static void free_job(gh_fleet_t *fleet, uint32_t handle);
static bool prepare_start(gh_fleet_t *fleet, uint32_t handle, gh_order_t *order,
			  gh_time_t now);
static bool run_fits(const gh_fleet_t *fleet, const fleet_run_t *run);
static bool order_is_due(gh_order_kind_t kind, run_state_t state);
static void free_worker(gh_fleet_t *fleet, uint32_t handle);
static void keep_late_grant(gh_fleet_t *fleet, const fleet_worker_t *worker);
static gboolean late_grant_is_over(gpointer id, gpointer late, gpointer fleet);

static const char *const phase_names[GH_JOB_PHASES] = {
	[GH_JOB_QUEUED] = "queued",	  [GH_JOB_RUNNING] = "running",
	[GH_JOB_COMPLETED] = "completed", [GH_JOB_FAILED] = "failed",
	[GH_JOB_CANCELLED] = "cancelled",
};

static const char *const outcome_names[GH_RUN_OUTCOMES] = {
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
	fleet->created_at = now;
	fleet->grants_ahead_until = setup->told_grants_end;
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
	fleet->failed_placements =
		g_array_new(FALSE, FALSE, sizeof(failed_placement_t));
	fleet->outages = g_array_new(FALSE, FALSE, sizeof(gh_time_t));
	fleet->doubts = g_array_new(FALSE, FALSE, sizeof(fleet_doubt_t));
	fleet->late_starts = fleet_late_new();
	fleet->late_grants =
		g_hash_table_new_full(g_str_hash, g_str_equal, g_free, g_free);
	fleet->interference = gh_interference_new();
	fleet->run_times = gh_run_times_new();
	fleet->load_periods = gh_load_periods_new();
	fleet->interference_decayed_at = now;
	fleet_unheard_init(fleet);
	fleet_rooms_init(fleet);
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
		if (fleet_worker(fleet, i)->in_use)
			g_queue_free_full(fleet_worker(fleet, i)->pending_acks,
					  g_free);
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
	g_array_free(fleet->failed_placements, TRUE);
	g_array_free(fleet->outages, TRUE);
	g_array_free(fleet->doubts, TRUE);
	g_hash_table_destroy(fleet->late_starts);
	g_hash_table_destroy(fleet->late_grants);
	g_hash_table_destroy(fleet->told);
	g_hash_table_destroy(fleet->young);
	fleet_rooms_clear(fleet);
	gh_interference_free(fleet->interference);
	gh_run_times_free(fleet->run_times);
	gh_load_periods_free(fleet->load_periods);
	g_free(fleet);
}

/* Workers. */

static void set_rack(fleet_worker_t *worker)
{
	uint32_t i;

	/* labels[0] is the kind; the last label after it is the rack. */
	worker->rack[0] = '\0';
	for (i = 1; i < worker->entry.n_labels; i++)
		g_strlcpy(worker->rack, worker->entry.labels[i],
			  sizeof(worker->rack));
}

static uint32_t add_worker(gh_fleet_t *fleet, const gh_worker_entry_t *entry)
{
	uint32_t handle = alloc_entry(fleet->workers, fleet->free_workers);
	fleet_worker_t *worker = fleet_worker(fleet, handle);
	const fleet_late_grant_t *late =
		g_hash_table_lookup(fleet->late_grants, entry->id);

	*worker = (fleet_worker_t){
		.entry = *entry,
		.in_use = true,
		.first_run = GH_NONE,
		.suspect_run = GH_NONE,
		.pending_acks = g_queue_new(),
		.run_time_ratio = 1,
		/* A run that starts here has the lease that is there. */
		.latest_lease_end =
			fleet_lease_end(fleet, fleet->setup.told_grants_end),
		/* So may calls of a previous owner, to its former life. */
		.late_grants_until = fleet_lease_former_grants_end(fleet),
	};
	/* The claim's record tells of it. */
	worker->young_lease_end = fleet_unheard_young_end(fleet, worker);
	worker->young_committed = worker->young_lease_end;
	worker->entry.incarnation_start_ms =
		fleet_unheard_start_ms(fleet, worker);
	fleet_fence_raise(fleet, worker);
	if (late) {
		worker->late_grants_until =
			MAX(worker->late_grants_until, late->until);
		worker->latest_lease_end =
			MAX(worker->latest_lease_end, late->lease_end);
		worker->entry.incarnation_start_ms = late->incarnation_start_ms;
		g_hash_table_remove(fleet->late_grants, entry->id);
	}
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
	int64_t start_ms;
	bool was_draining;
	bool is_new = handle == GH_NONE;

	if (is_new)
		handle = add_worker(fleet, entry);
	worker = fleet_worker(fleet, handle);
	start_ms = worker->entry.incarnation_start_ms;
	fleet_worker_set_incarnation(fleet, handle, entry->incarnation_start_ms,
				     "entry", now);
	is_new |= worker->entry.incarnation_start_ms != start_ms;
	was_draining = worker->entry.draining;
	if (!worker->listed)
		fleet_emit_event(fleet, "worker_listed", NULL, 0, handle,
				 entry->address);
	/* An entry that does not name the incarnation is no news of it. */
	start_ms = worker->entry.incarnation_start_ms;
	worker->entry = *entry;
	if (!entry->incarnation_start_ms)
		worker->entry.incarnation_start_ms = start_ms;
	worker->listed = true;
	if (!*worker->heard_address)
		g_strlcpy(worker->heard_address, entry->address,
			  sizeof(worker->heard_address));
	set_rack(worker);
	if (is_new)
		fleet_late_stop(fleet, handle, !entry->incarnation_start_ms,
				now);
	if (entry->draining && !was_draining)
		fleet_emit_event(fleet, "worker_draining", NULL, 0, handle,
				 NULL);
}

void gh_fleet_worker_unlist(gh_fleet_t *fleet, const char *id)
{
	uint32_t handle = fleet_worker_find(fleet, id);
	fleet_worker_t *worker;

	if (handle == GH_NONE)
		return;
	worker = fleet_worker(fleet, handle);
	if (worker->listed)
		fleet_emit_event(fleet, "worker_unlisted", NULL, 0, handle,
				 NULL);
	worker->listed = false;
	fleet_worker_free_if_unused(fleet, handle);
}

void fleet_worker_free_if_unused(gh_fleet_t *fleet, uint32_t handle)
{
	fleet_worker_t *worker = fleet_worker(fleet, handle);

	if (!worker->listed && !worker->n_runs && !worker->renewal_pending)
		free_worker(fleet, handle);
}

/*
 * Handles the restart of a worker process.  The runs of the previous
 * incarnation are gone, but a start order may have reached the new incarnation,
 * which has the same id.  A run all of whose start orders were replied to
 * becomes an orphan until the worker's next report shows whether it runs; a
 * start order without a reply is followed by a stop order, so that the start
 * cannot take effect later.
 */
static void handle_worker_restart(gh_fleet_t *fleet, uint32_t handle,
				  gh_time_t now)
{
	GArray *handles = g_array_new(FALSE, FALSE, sizeof(uint32_t));
	uint32_t ref;
	guint i;

	for (ref = fleet_worker(fleet, handle)->first_run; ref != GH_NONE;
	     ref = fleet_run(fleet, ref)->next)
		g_array_append_val(handles, ref);
	/* Else the restart was known already, without the start. */
	if (handles->len && !fleet_worker(fleet, handle)->has_later_life) {
		fleet_emit_event(fleet, "worker_lost", NULL, 0, handle,
				 "restarted");
		if (!fleet_worker(fleet, handle)->unreachable_since)
			fleet_crash_note_outage(fleet, now);
	}
	fleet_crash_mark_runs(fleet, handle, false, now);
	for (i = 0; i < handles->len; i++) {
		fleet_run_t *run;

		ref = g_array_index(handles, uint32_t, i);
		run = fleet_run(fleet, ref);
		if (run->state == RUN_RUNNING &&
		    !fleet_late_is_possible(run, now)) {
			run->state = RUN_ORPHAN;
			run->state_since = now;
			run->pace_sent_percent = GH_NONE;
		} else if (run->state == RUN_RUNNING ||
			   (run->state == RUN_STARTING && run->order_sent)) {
			fleet_run_stop(fleet, ref, "its worker restarted", now);
		} else if (run->state == RUN_STOPPING) {
			run->replied_at = 0;
			/* Else sent after the replies to the former ones. */
			run->stops_overtaken = run->stops_in_flight;
			if (!run->stops_overtaken)
				fleet_order_enqueue(fleet, GH_ORDER_STOP, ref);
		} else if (run->state != RUN_FREE && run->state != RUN_ORPHAN) {
			fleet_run_end(fleet, ref, GH_RUN_NOT_STARTED, NULL,
				      now);
		}
	}
	g_array_free(handles, TRUE);
}

void fleet_worker_set_incarnation(gh_fleet_t *fleet, uint32_t handle,
				  int64_t start_ms, const char *told_by,
				  gh_time_t now)
{
	fleet_worker_t *worker = fleet_worker(fleet, handle);

	if (!start_ms || start_ms == worker->entry.incarnation_start_ms)
		return;
	if (worker->entry.incarnation_start_ms)
		note_restart(fleet, handle, start_ms, told_by, now);
	worker->entry.incarnation_start_ms = start_ms;
	worker->has_later_life = false;
}

void fleet_worker_note_later_life(gh_fleet_t *fleet, uint32_t handle,
				  gh_time_t now)
{
	fleet_worker_t *worker = fleet_worker(fleet, handle);

	if (worker->has_later_life)
		return;
	note_restart(fleet, handle, 0, "reply to an order", now);
	worker->has_later_life = true;
	/* The order may have granted it. */
	fleet_lease_note_longest(fleet, worker, now);
}

/* start_ms: of the new life; 0: not known. */
static void note_restart(gh_fleet_t *fleet, uint32_t handle, int64_t start_ms,
			 const char *told_by, gh_time_t now)
{
	fleet_worker_t *worker = fleet_worker(fleet, handle);
	char *detail =
		g_strdup_printf("%s: start %" PRId64 " after %" PRId64, told_by,
				start_ms, worker->entry.incarnation_start_ms);

	fleet_emit_event(fleet, "worker_restarted", NULL, 0, handle, detail);
	g_free(detail);
	fleet_fence_raise(fleet, worker);
	handle_worker_restart(fleet, handle, now);
	worker->restart_known_at = now;
	/* Until its lease ended, the worker may have had any call. */
	fleet_lease_note_longest(fleet, worker,
				 worker->latest_lease_end > now ?
					 now :
					 MIN(now, worker->late_grants_until));
	worker->young_lease_end = 0;
	worker->unsent_at = worker->unsent_until = 0;
	worker->n_unsent = 0;
	worker->has_reported = false;
	worker->acked_end = 0;
	worker->acked_end_sent = 0;
	worker->last_listed_end = worker->first_listed_end = 0;
	g_queue_clear_full(worker->pending_acks, g_free);
}

void fleet_worker_end_runs(gh_fleet_t *fleet, uint32_t handle, const char *why,
			   gh_time_t now)
{
	fleet_worker_t *worker = fleet_worker(fleet, handle);

	if (worker->n_runs)
		fleet_emit_event(fleet, "worker_lost", NULL, 0, handle, why);
	while (worker->first_run != GH_NONE)
		fleet_run_end(fleet, worker->first_run, GH_RUN_LOST, NULL, now);
}

bool fleet_worker_is_heard(const fleet_worker_t *worker)
{
	return worker->in_use && worker->listed && !worker->entry.draining &&
	       worker->has_reported && !worker->unreachable_since;
}

bool fleet_worker_is_barred(const fleet_worker_t *worker, gh_time_t now)
{
	return now < worker->refused_until || now < worker->unsent_until;
}

bool fleet_worker_heard_at(const fleet_worker_t *worker, const char *address)
{
	return !strcmp(worker->heard_address, address);
}

void gh_fleet_queue_set(gh_fleet_t *fleet, const gh_queue_policy_t *policy)
{
	gh_queue_policy_t *copy = g_new(gh_queue_policy_t, 1);

	*copy = *policy;
	g_hash_table_replace(fleet->queues, copy->name, copy);
}

const gh_queue_policy_t *fleet_job_policy(const gh_fleet_t *fleet,
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

/* Without its queue, as once that was removed, a job keeps its attempts. */
static uint32_t job_attempts(const gh_fleet_t *fleet, const fleet_job_t *job)
{
	uint32_t attempts = fleet_job_policy(fleet, job)->attempts;

	if (job->spec->attempts &&
	    !g_hash_table_contains(fleet->queues, job->spec->queue))
		attempts = job->spec->attempts;
	return MAX(attempts, 1);
}

/* Jobs. */

uint32_t fleet_job_new(gh_fleet_t *fleet, gh_pipeline_t *pipeline, bool guest)
{
	uint32_t handle = alloc_entry(fleet->jobs, fleet->free_jobs);
	fleet_job_t *job = fleet_job(fleet, handle);
	uint32_t occurrences = gh_pipeline_occurrence_count(pipeline);
	uint32_t i;

	*job = (fleet_job_t){
		.spec = pipeline,
		.tasks_per_occurrence = gh_pipeline_task_count(pipeline),
		.n_stages = occurrences * pipeline->n_steps,
		.first_failed_worker = GH_NONE,
	};
	job->n_tasks = occurrences * job->tasks_per_occurrence;
	job->tasks = g_new0(fleet_task_t, job->n_tasks);
	job->stages = g_new0(fleet_stage_t, job->n_stages);
	job->image_ids = g_new0(uint16_t, pipeline->n_steps);
	for (i = 0; i < pipeline->n_steps; i++)
		job->image_ids[i] = gh_interference_image_id(
			fleet->interference, pipeline->steps[i].image);
	init_tasks(job);
	fleet_move_init_job(job, guest);
	g_hash_table_insert(fleet->job_by_id, g_strdup(pipeline->id),
			    GUINT_TO_POINTER(handle + 1));
	return handle;
}

/*
 * Initializes the job's stages and tasks; the tasks of a stage are contiguous.
 */
static void init_tasks(fleet_job_t *job)
{
	uint32_t next_task = 0;
	uint32_t i;

	for (i = 0; i < job->n_stages; i++) {
		job->stages[i].first_task = next_task;
		next_task += job->spec->steps[i % job->spec->n_steps].tasks;
	}
	for (i = 0; i < job->n_tasks; i++) {
		fleet_task_t *task = &job->tasks[i];

		task->runs[0] = task->runs[1] = GH_NONE;
		task->avoid_worker = GH_NONE;
		task->group = task;
		if (fleet_task_step(job, i)->gang)
			task->group = &job->tasks[fleet_task_stage(job, i)
							  ->first_task];
	}
}

bool gh_fleet_has_job(const gh_fleet_t *fleet, const char *id)
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
	fleet_emit_event(fleet, "job_ended", &id, 0, GH_NONE,
			 phase_names[phase]);
	fleet_job_mark_changed(fleet, handle);
	stop_task_runs(fleet, handle, 0, job->n_tasks, "job ended", now);
}

void fleet_job_mark_changed(gh_fleet_t *fleet, uint32_t handle)
{
	fleet_job_t *job = fleet_job(fleet, handle);

	job->version++;
	if (job->change_queued)
		return;
	job->change_queued = true;
	g_queue_push_tail(fleet->changes, GUINT_TO_POINTER(handle + 1));
}

void fleet_job_free_if_finished(gh_fleet_t *fleet, uint32_t handle)
{
	fleet_job_t *job = fleet_job(fleet, handle);

	if (job->spec && job->phase > GH_JOB_RUNNING && !job->open_runs &&
	    !job->change_queued && !job->commit_pending &&
	    job->committed_version == job->version)
		free_job(fleet, handle);
}

/* Runs. */

uint32_t fleet_run_open(gh_fleet_t *fleet, uint32_t job, uint32_t task,
			uint32_t worker, uint32_t number, run_state_t state,
			gh_time_t now)
{
	uint32_t handle = alloc_entry(fleet->runs, fleet->free_runs);
	fleet_run_t *run = fleet_run(fleet, handle);
	fleet_job_t *parent = fleet_job(fleet, job);
	fleet_task_t *t = &parent->tasks[task];
	bool copy = t->runs[0] != GH_NONE;
	bool foreign = state == RUN_ORPHAN || state == RUN_HELD;

	*run = (fleet_run_t){
		.state = state,
		.job = job,
		.task = task,
		.worker = worker,
		.run_number = number,
		.planned_at = foreign ? 0 : now,
		.state_since = now,
		.pace_percent = 100,
		/* The pace that a previous owner ordered is not known. */
		.pace_sent_percent = foreign ? GH_NONE : 100,
		.progress_at = now,
	};
	if (copy)
		t->runs[1] = handle;
	else
		t->runs[0] = handle;
	t->last_run = MAX(t->last_run, number);
	if (!copy && !t->done)
		fleet_task_stage(parent, task)->tasks_open++;
	parent->open_runs++;
	link_run(fleet, handle);
	account_resources(fleet, run, true);
	if (state == RUN_PLANNED) {
		fleet->budget.n_planned++;
		fleet_crash_handle_start(fleet, handle);
		fleet_worker(fleet, worker)->last_placed_at = now;
		parent->stalled_since = 0;
		if (parent->phase == GH_JOB_QUEUED)
			parent->phase = GH_JOB_RUNNING;
		fleet_job_mark_changed(fleet, job);
		run->version = parent->version;
	}
	return handle;
}

void fleet_run_end(gh_fleet_t *fleet, uint32_t handle, gh_run_outcome_t outcome,
		   const char *checkpoint, gh_time_t now)
{
	fleet_run_t run = *fleet_run(fleet, handle);
	fleet_job_t *job = fleet_job(fleet, run.job);
	fleet_task_t *task = &job->tasks[run.task];
	const gh_step_t *step = fleet_task_step(job, run.task);
	gh_task_id_t id = fleet_task_id(job, run.task);

	fleet_emit_event(fleet, "run_ended", &id, run.run_number, run.worker,
			 outcome_names[outcome]);
	account_resources(fleet, &run, false);
	fleet_crash_handle_end(fleet, handle);
	fleet_late_add(fleet, &run, outcome, now);
	close_run(fleet, handle);
	if (outcome != GH_RUN_NOT_STARTED) {
		task->care_since = 0;
		if (!job->open_runs)
			job->idle_since = now;
	}
	fleet_health_record_end(fleet, &run, outcome, now);
	if (checkpoint && *checkpoint) {
		g_free(task->checkpoint);
		task->checkpoint = g_strdup(checkpoint);
	}
	/* The record of a held job is not replaced. */
	if (job->phase > GH_JOB_RUNNING || job->held) {
		fleet_job_free_if_finished(fleet, run.job);
		return;
	}
	fleet_job_mark_changed(fleet, run.job);
	note_begun(job, &run, outcome);
	if (task->done)
		return;
	if (outcome == GH_RUN_LOST) {
		fleet_crash_count(fleet, &run, now);
		if (job->phase > GH_JOB_RUNNING)
			return;
	} else if (outcome == GH_RUN_FAILED) {
		task->start_crashes = task->lost_starts = 0;
	}
	if (outcome == GH_RUN_DONE && !step->long_running)
		complete_task(fleet, run.job, run.task, now);
	else if (step->gang)
		handle_gang_member_end(fleet, run.job, run.task, outcome, now);
	else if (outcome == GH_RUN_FAILED) {
		task->avoid_worker = run.worker;
		if (!step->long_running)
			count_failure(fleet, run.job, run.task, now);
	} else if (outcome == GH_RUN_LOST || outcome == GH_RUN_LEASE_EXPIRED) {
		task->avoid_worker = run.worker;
	}
}

/* Takes the run out of its worker, task and job. */
static void close_run(gh_fleet_t *fleet, uint32_t handle)
{
	fleet_run_t *run = fleet_run(fleet, handle);
	fleet_job_t *job = fleet_job(fleet, run->job);
	fleet_task_t *task = &job->tasks[run->task];

	if (run->state == RUN_PLANNED)
		fleet->budget.n_planned--;
	unlink_run(fleet, handle);
	run->state = RUN_FREE;
	g_array_append_val(fleet->free_runs, handle);
	if (task->runs[0] == handle)
		task->runs[0] = task->runs[1];
	task->runs[1] = GH_NONE;
	job->open_runs--;
	if (task->runs[0] == GH_NONE && !task->done)
		fleet_task_stage(job, run->task)->tasks_open--;
}

/* A job none of whose runs may have begun is queued again without runs. */
static void note_begun(fleet_job_t *job, const fleet_run_t *run,
		       gh_run_outcome_t outcome)
{
	if (outcome == GH_RUN_LOST)
		/* What a previous owner knew of its runs is not known. */
		job->begun |= run->alive_since || run->start_unanswered ||
			      !run->planned_at;
	else
		job->begun |= outcome != GH_RUN_NOT_STARTED;
	if (!job->begun && !job->open_runs)
		job->phase = GH_JOB_QUEUED;
}

static void complete_task(gh_fleet_t *fleet, uint32_t handle, uint32_t index,
			  gh_time_t now)
{
	fleet_job_t *job = fleet_job(fleet, handle);
	fleet_stage_t *stage = fleet_task_stage(job, index);
	const gh_step_t *step = fleet_task_step(job, index);
	uint32_t from = step->gang ? stage->first_task : index;
	uint32_t n = step->gang ? step->tasks : 1;
	uint32_t i;

	for (i = from; i < from + n; i++) {
		if (job->tasks[i].done)
			continue;
		job->tasks[i].done = true;
		g_clear_pointer(&job->tasks[i].checkpoint, g_free);
		stage->tasks_done++;
		if (job->tasks[i].runs[0] != GH_NONE)
			stage->tasks_open--;
	}
	stop_task_runs(fleet, handle, from, n, "task is done", now);
	if (stage->tasks_done < step->tasks)
		return;
	job->stages_done++;
	if (job->stages_done == job->n_stages)
		fleet_job_end(fleet, handle, GH_JOB_COMPLETED, now);
}

void fleet_task_note_done(gh_fleet_t *fleet, uint32_t job,
			  const gh_report_end_t *end, uint32_t worker,
			  gh_time_t now)
{
	fleet_job_t *parent = fleet_job(fleet, job);
	uint32_t index = fleet_task_find(parent, &end->task);

	if (parent->held || parent->phase > GH_JOB_RUNNING ||
	    index == GH_NONE || parent->tasks[index].done ||
	    fleet_task_step(parent, index)->long_running ||
	    !fleet_move_keep(parent, index))
		return;
	fleet_emit_event(fleet, "run_done_late", &end->task, end->run, worker,
			 NULL);
	parent->begun = true;
	parent->phase = GH_JOB_RUNNING;
	fleet_job_mark_changed(fleet, job);
	complete_task(fleet, job, index, now);
}

/*
 * Stops the gang's other runs.  Once all have ended, the gang can be started
 * again.  The first run that fails counts a failure of each task, at once: the
 * next owner hears of that failure from the record only.
 */
static void handle_gang_member_end(gh_fleet_t *fleet, uint32_t handle,
				   uint32_t index, gh_run_outcome_t outcome,
				   gh_time_t now)
{
	fleet_job_t *job = fleet_job(fleet, handle);
	fleet_stage_t *stage = fleet_task_stage(job, index);
	const gh_step_t *step = fleet_task_step(job, index);
	bool is_first = outcome == GH_RUN_FAILED && !stage->gang_failed;
	uint32_t i;

	if (is_first) {
		stage->gang_failed = 1;
		for (i = stage->first_task + 1;
		     i < stage->first_task + step->tasks; i++)
			job->tasks[i].failures++;
	}
	stop_task_runs(fleet, handle, stage->first_task, step->tasks,
		       "a member of the gang ended", now);
	if (!stage->tasks_open)
		stage->gang_failed = 0;
	if (is_first)
		count_failure(fleet, handle, stage->first_task, now);
}

static void count_failure(gh_fleet_t *fleet, uint32_t handle, uint32_t index,
			  gh_time_t now)
{
	fleet_job_t *job = fleet_job(fleet, handle);

	if (++job->tasks[index].failures >= job_attempts(fleet, job))
		fleet_job_end(fleet, handle, GH_JOB_FAILED, now);
}

static void stop_task_runs(gh_fleet_t *fleet, uint32_t handle, uint32_t from,
			   uint32_t n, const char *why, gh_time_t now)
{
	fleet_job_t *job = fleet_job(fleet, handle);
	uint32_t i;

	for (i = from; i < from + n; i++) {
		/*
		 * Stop the second run first: ending the first run moves the
		 * second to its place.
		 */
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
	if (fleet_run_is_unsent(run)) {
		fleet_run_end(fleet, handle, GH_RUN_NOT_STARTED, NULL, now);
		return;
	}
	id = fleet_task_id(fleet_job(fleet, run->job), run->task);
	fleet_emit_event(fleet, "run_stopped", &id, run->run_number,
			 run->worker, why);
	run->state = RUN_STOPPING;
	run->state_since = now;
	run->replied_at = run->unanswered_since = 0;
	fleet_order_enqueue(fleet, GH_ORDER_STOP, handle);
}

bool fleet_run_is_unsent(const fleet_run_t *run)
{
	return run->state == RUN_PLANNED ||
	       (run->state == RUN_STARTING && !run->order_sent);
}

void fleet_order_enqueue(gh_fleet_t *fleet, gh_order_kind_t kind,
			 uint32_t handle)
{
	fleet_run_t *run = fleet_run(fleet, handle);
	queued_order_t queued = { .kind = kind,
				  .run = handle,
				  .run_number = run->run_number };

	run->retry_at = GH_TIME_NEVER;
	g_queue_push_tail(fleet->orders, g_memdup2(&queued, sizeof(queued)));
}

void fleet_stop_enqueue(gh_fleet_t *fleet, const char *worker,
			const char *address, const gh_task_id_t *task,
			uint32_t run)
{
	queued_order_t queued = { .kind = GH_ORDER_STOP,
				  .run = GH_NONE,
				  .run_number = run,
				  .task = *task };

	/* The worker may be freed before the order is sent. */
	g_strlcpy(queued.worker, worker, sizeof(queued.worker));
	g_strlcpy(queued.address, address, sizeof(queued.address));
	g_queue_push_tail(fleet->orders, g_memdup2(&queued, sizeof(queued)));
}

bool gh_fleet_next_order(gh_fleet_t *fleet, gh_order_t *order, gh_time_t now)
{
	queued_order_t *next;

	while ((next = g_queue_pop_head(fleet->orders))) {
		queued_order_t queued = *next;
		fleet_run_t *run;
		const fleet_worker_t *worker;
		uint32_t handle;

		g_free(next);
		*order = (gh_order_t){ .kind = queued.kind };
		if (queued.run == GH_NONE) {
			fleet->last_order = queued;
			order->task = queued.task;
			order->run = queued.run_number;
			order->worker = fleet->last_order.worker;
			order->address = fleet->last_order.address;
			handle = fleet_worker_find(fleet, order->worker);
			order->fence_offset = fleet_fence_of(fleet, handle);
			if (handle != GH_NONE)
				order->incarnation_start_ms =
					fleet_worker(fleet, handle)
						->entry.incarnation_start_ms;
			return true;
		}
		run = fleet_run(fleet, queued.run);
		if (run->state == RUN_FREE ||
		    run->run_number != queued.run_number)
			continue;
		if (!order_is_due(queued.kind, run->state))
			continue;
		worker = fleet_worker(fleet, run->worker);
		if (queued.kind == GH_ORDER_START &&
		    !prepare_start(fleet, queued.run, order, now))
			continue;
		run->stops_in_flight += queued.kind == GH_ORDER_STOP;
		run->order_sent = true;
		if (!fleet_worker_heard_at(worker, worker->entry.address))
			run->sent_elsewhere = true;
		order->pace_percent = run->pace_percent;
		order->task =
			fleet_task_id(fleet_job(fleet, run->job), run->task);
		order->run = run->run_number;
		order->worker = worker->entry.id;
		order->address = worker->entry.address;
		order->incarnation_start_ms =
			worker->entry.incarnation_start_ms;
		order->fence_offset = worker->fence_offset;
		return true;
	}
	return false;
}

/*
 * Fills in what only a start order has.  Returns false if the run is ended or
 * stopped instead, as its worker can't take it any more.
 */
static bool prepare_start(gh_fleet_t *fleet, uint32_t handle, gh_order_t *order,
			  gh_time_t now)
{
	fleet_run_t *run = fleet_run(fleet, handle);
	const fleet_job_t *job = fleet_job(fleet, run->job);
	fleet_worker_t *worker = fleet_worker(fleet, run->worker);
	bool fits = run_fits(fleet, run);

	if (!run->order_sent &&
	    (worker->entry.draining || !worker->listed ||
	     worker->unreachable_since || worker->has_unknown_run || !fits)) {
		fleet_run_end(fleet, handle, GH_RUN_NOT_STARTED, NULL, now);
		return false;
	}
	/* An order without a reply may have started the run. */
	if (!fits) {
		fleet_run_stop(fleet, handle, "its worker's capacity shrank",
			       now);
		return false;
	}
	/* The lease of an unreachable worker is not extended, so it expires. */
	order->lease_until =
		worker->unreachable_since ||
				!fleet_unheard_may_grant(fleet, worker) ?
			worker->lease_until :
			fleet_lease_extend(fleet, worker, now);
	run->start_sent_at = now;
	run->start_in_flight = true;
	run->start_fence = worker->fence_offset;
	order->payload = job->spec->payload;
	order->checkpoint = job->tasks[run->task].checkpoint;
	return true;
}

/*
 * Whether the worker's capacity, which can have shrunk since the run was
 * planned, still holds all its runs.
 */
static bool run_fits(const gh_fleet_t *fleet, const fleet_run_t *run)
{
	const fleet_worker_t *worker = fleet_worker(fleet, run->worker);
	const gh_resources_t *size = &worker->entry.size;
	const gh_resources_t *reserved = &worker->reserved;

	return reserved->memory_mb <= size->memory_mb &&
	       reserved->accelerators <= size->accelerators &&
	       (reserved->cores_milli <= size->cores_milli ||
		fleet_task_step(fleet_job(fleet, run->job), run->task)
			->best_effort);
}

/*
 * Whether a queued order still fits the run's present state; else it is
 * dropped.
 */
static bool order_is_due(gh_order_kind_t kind, run_state_t state)
{
	static const run_state_t required_state[] = {
		[GH_ORDER_START] = RUN_STARTING,
		[GH_ORDER_STOP] = RUN_STOPPING,
		[GH_ORDER_PACE] = RUN_RUNNING,
	};

	return state == required_state[kind];
}

/* Lookups by handle, id and name. */

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
	uint32_t stage = task / job->tasks_per_occurrence * job->spec->n_steps;

	while (stage + 1 < job->n_stages &&
	       job->stages[stage + 1].first_task <= task)
		stage++;
	return stage;
}

bool fleet_same_task(const gh_task_id_t *a, const gh_task_id_t *b)
{
	return a->index == b->index && a->step == b->step &&
	       a->occurrence == b->occurrence && !strcmp(a->job, b->job);
}

gh_task_id_t fleet_task_id(const fleet_job_t *job, uint32_t task)
{
	uint32_t stage = fleet_stage_index(job, task);
	gh_task_id_t id = {
		.occurrence = stage / job->spec->n_steps,
		.step = stage % job->spec->n_steps,
		.index = task - job->stages[stage].first_task,
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
	return job->stages[stage].first_task + id->index;
}

fleet_stage_t *fleet_task_stage(const fleet_job_t *job, uint32_t task)
{
	return &job->stages[fleet_stage_index(job, task)];
}

const gh_step_t *fleet_task_step(const fleet_job_t *job, uint32_t task)
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

		if (run != GH_NONE &&
		    fleet_run(fleet, run)->run_number == number)
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

const char *gh_run_outcome_name(gh_run_outcome_t outcome)
{
	return outcome_names[outcome];
}

char *gh_fleet_interference_format(const gh_fleet_t *fleet)
{
	return gh_interference_format(fleet->interference);
}

bool gh_fleet_interference_parse(gh_fleet_t *fleet, const char *text)
{
	return gh_interference_parse(fleet->interference, text);
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

void fleet_emit_event(const gh_fleet_t *fleet, const char *event,
		      const gh_task_id_t *task, uint32_t run, uint32_t worker,
		      const char *detail)
{
	if (!fleet->sink.on_event)
		return;
	fleet->sink.on_event(fleet->sink.ctx, event, task, run,
			     worker == GH_NONE ?
				     NULL :
				     fleet_worker(fleet, worker)->entry.id,
			     detail);
}

static uint32_t alloc_entry(GArray *table, GArray *free_entries)
{
	uint32_t handle;

	if (free_entries->len) {
		handle = g_array_index(free_entries, uint32_t,
				       free_entries->len - 1);
		g_array_set_size(free_entries, free_entries->len - 1);
		return handle;
	}
	handle = table->len;
	g_array_set_size(table, handle + 1);
	return handle;
}

static void link_run(gh_fleet_t *fleet, uint32_t handle)
{
	fleet_run_t *run = fleet_run(fleet, handle);
	fleet_worker_t *worker = fleet_worker(fleet, run->worker);

	run->prev = GH_NONE;
	run->next = worker->first_run;
	if (worker->first_run != GH_NONE)
		fleet_run(fleet, worker->first_run)->prev = handle;
	worker->first_run = handle;
	worker->n_runs++;
}

static void unlink_run(gh_fleet_t *fleet, uint32_t handle)
{
	fleet_run_t *run = fleet_run(fleet, handle);
	fleet_worker_t *worker = fleet_worker(fleet, run->worker);

	if (run->prev != GH_NONE)
		fleet_run(fleet, run->prev)->next = run->next;
	else
		worker->first_run = run->next;
	if (run->next != GH_NONE)
		fleet_run(fleet, run->next)->prev = run->prev;
	worker->n_runs--;
}

static void account_resources(gh_fleet_t *fleet, const fleet_run_t *run,
			      bool add)
{
	fleet_worker_t *worker = fleet_worker(fleet, run->worker);
	const gh_step_t *step =
		fleet_task_step(fleet_job(fleet, run->job), run->task);
	uint32_t sign = add ? 1 : -1;

	if (step->best_effort) {
		worker->n_best_effort += sign;
		worker->best_effort_cores_milli +=
			add ? step->size.cores_milli :
			      -(double)step->size.cores_milli;
	} else {
		worker->reserved.cores_milli += sign * step->size.cores_milli;
	}
	if (step->long_running) {
		worker->n_long_running += sign;
		worker->long_running_cores_milli +=
			add ? step->size.cores_milli :
			      -(double)step->size.cores_milli;
		worker->long_running_memory_mb += sign * step->size.memory_mb;
	}
	worker->colocated_stale = true;
	worker->reserved.memory_mb += sign * step->size.memory_mb;
	worker->reserved.accelerators += sign * step->size.accelerators;
}

static void free_job(gh_fleet_t *fleet, uint32_t handle)
{
	fleet_job_t *job = fleet_job(fleet, handle);
	uint32_t i;

	g_hash_table_remove(fleet->job_by_id, job->spec->id);
	fleet_move_clear_job(job);
	for (i = 0; i < job->n_tasks; i++)
		g_free(job->tasks[i].checkpoint);
	for (i = 0; i < job->n_stages; i++)
		gh_load_free(job->stages[i].load);
	g_free(job->tasks);
	g_free(job->stages);
	g_free(job->image_ids);
	gh_pipeline_free(job->spec);
	memset(job, 0, sizeof(*job));
	g_array_append_val(fleet->free_jobs, handle);
}

static void free_worker(gh_fleet_t *fleet, uint32_t handle)
{
	fleet_worker_t *worker = fleet_worker(fleet, handle);

	if (fleet->ticked_at < worker->late_grants_until ||
	    fleet_lease_is_long(fleet, worker))
		keep_late_grant(fleet, worker);
	g_hash_table_remove(fleet->worker_by_id, worker->entry.id);
	g_queue_free_full(worker->pending_acks, g_free);
	memset(worker, 0, sizeof(*worker));
	g_array_append_val(fleet->free_workers, handle);
}

/* Keeps what the worker's next entry has to know, and forgets what is over. */
static void keep_late_grant(gh_fleet_t *fleet, const fleet_worker_t *worker)
{
	fleet_late_grant_t late = {
		.until = worker->late_grants_until,
		.lease_end = worker->latest_lease_end,
		.incarnation_start_ms = worker->entry.incarnation_start_ms,
	};

	g_hash_table_foreach_remove(fleet->late_grants, late_grant_is_over,
				    fleet);
	g_hash_table_replace(fleet->late_grants, g_strdup(worker->entry.id),
			     g_memdup2(&late, sizeof(late)));
}

static gboolean late_grant_is_over(gpointer id, gpointer late, gpointer fleet)
{
	const fleet_late_grant_t *grant = late;

	(void)id;
	return ((const gh_fleet_t *)fleet)->ticked_at >=
	       MAX(grant->until, grant->lease_end);
}
