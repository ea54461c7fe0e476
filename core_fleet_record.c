/*
 * Progress records of jobs: what a change has to store, what was stored when
 * the next owner loads a job, and the acknowledgement of ends once a record is
 * committed.  core_fleet_progress.c has the text form.
 */
#include "core_fleet_progress.h"

#include <string.h>

#include "core_fleet_move.h"
#include "error.h"

static bool add_job(gh_fleet_t *fleet, gh_pipeline_t *pipeline,
		    const char *progress, bool guest, GError **err);
static void order_starts(gh_fleet_t *fleet,
			 const fleet_occurrence_t *occurrence,
			 uint64_t version);
static void load_section(gh_fleet_t *fleet, uint32_t handle,
			 const GArray *sections, guint position);
static void load_run(gh_fleet_t *fleet, uint32_t handle, uint32_t index,
		     const run_field_t *line);
static void load_task(gh_fleet_t *fleet, uint32_t handle, task_line_t *line,
		      uint32_t index);
static void hold_job(gh_fleet_t *fleet, uint32_t handle);
static uint32_t find_or_add_worker(gh_fleet_t *fleet, const char *id);
static bool end_is_committed(const gh_fleet_t *fleet, const fleet_ack_t *ack);

bool gh_fleet_job_add(gh_fleet_t *fleet, gh_pipeline_t *pipeline,
		      const char *progress, GError **err)
{
	return add_job(fleet, pipeline, progress, false, err);
}

bool gh_fleet_guest_add(gh_fleet_t *fleet, gh_pipeline_t *pipeline,
			const char *progress, GError **err)
{
	return add_job(fleet, pipeline, progress, true, err);
}

static bool add_job(gh_fleet_t *fleet, gh_pipeline_t *pipeline,
		    const char *progress, bool guest, GError **err)
{
	uint32_t handle;
	GArray *sections;
	bool ok;
	guint i;

	if (fleet_job_find(fleet, pipeline->id) != GH_NONE) {
		gh_pipeline_free(pipeline);
		return true;
	}
	handle = fleet_job_new(fleet, pipeline, guest);
	if (!progress)
		return true;
	fleet_job(fleet, handle)->guest_stored = guest;
	sections = g_array_new(FALSE, FALSE, sizeof(section_t));
	ok = fleet_progress_split(fleet_job(fleet, handle), progress,
				  sections) &&
	     fleet_progress_check(fleet_job(fleet, handle), sections);
	for (i = 0; ok && i < sections->len; i++)
		load_section(fleet, handle, sections, i);
	g_array_free(sections, TRUE);
	if (!ok) {
		hold_job(fleet, handle);
		gh_error_set(err, GH_E_SYNTAX,
			     "progress record of job %s can't be parsed",
			     pipeline->id);
	}
	return ok;
}

/* Applies the lines of a section that has been checked. */
static void load_section(gh_fleet_t *fleet, uint32_t handle,
			 const GArray *sections, guint position)
{
	const section_t *section =
		&g_array_index(sections, section_t, position);
	fleet_job_t *job = fleet_job(fleet, handle);
	const char *cursor = section->lines;
	task_line_t line;
	bool ok = true;
	uint32_t i;

	if (section->part != GH_NONE)
		fleet_part_note_loaded(job, section->part, section->text,
				       section->len);
	else
		job->stored_whole = job->n_parts > 1;
	while (fleet_progress_next(job, section, &cursor, &line, &ok)) {
		for (i = line.index; i <= line.last; i++)
			if (!fleet_progress_is_replaced(job, sections, section,
							i))
				load_task(fleet, handle, &line, i);
		g_free(line.checkpoint);
	}
}

bool gh_fleet_has_changes(const gh_fleet_t *fleet)
{
	return gh_commit_order_length(fleet->changes) > 0;
}

bool gh_fleet_next_change(gh_fleet_t *fleet, gh_fleet_change_t *change)
{
	fleet_job_t *job;
	bool is_ahead;
	uint32_t handle;

	if (!gh_commit_order_take(fleet->changes, &handle, &is_ahead))
		return false;
	fleet->counts.hastened += is_ahead;
	job = fleet_job(fleet, handle);
	job->change_queued = false;
	job->commit_pending = true;
	job->committing_phase = job->phase;
	*change = (gh_fleet_change_t){
		.version = job->version,
		.phase = job->phase,
		.phase_changed = job->phase != job->committed_phase,
		.job = job->spec,
	};
	fleet_move_fill_change(fleet, job, change);
	g_strlcpy(change->id, job->spec->id, sizeof(change->id));
	fleet_parts_fill_change(fleet, job, change);
	return true;
}

void gh_fleet_handle_commit(gh_fleet_t *fleet, const char *id, uint64_t version)
{
	uint32_t handle = fleet_job_find(fleet, id);
	fleet_job_t *job;
	guint i;

	if (handle == GH_NONE)
		return;
	job = fleet_job(fleet, handle);
	fleet->budget.n_committed++;
	job->commit_pending = false;
	fleet_commit_handle_success(fleet, handle);
	job->committed_version = version;
	job->committed_phase = job->committing_phase;
	fleet_parts_handle_commit(job);
	fleet_move_handle_commit(fleet, handle);
	for (i = 0; job->open_runs && i < job->occurrences->len; i++)
		order_starts(fleet, job->occurrences->pdata[i], version);
	/* The other parts of the record are still to be stored. */
	if (version < job->version && !job->change_queued) {
		job->change_queued = true;
		fleet_commit_add(fleet, handle);
		fleet_commit_hasten(fleet, handle);
	}
	fleet_job_free_if_finished(fleet, handle);
}

/* Orders the starts of the runs whose intents are committed. */
static void order_starts(gh_fleet_t *fleet,
			 const fleet_occurrence_t *occurrence, uint64_t version)
{
	uint32_t i, j;

	for (i = 0; i < occurrence->n_tasks; i++)
		for (j = 0; j < GH_TASK_RUNS_MAX; j++) {
			uint32_t ref = occurrence->tasks[i].runs[j];
			fleet_run_t *run;

			if (ref == GH_NONE)
				continue;
			run = fleet_run(fleet, ref);
			if (run->state != RUN_PLANNED || run->version > version)
				continue;
			run->state = RUN_STARTING;
			fleet_budget_note_begun(fleet);
			fleet_order_enqueue(fleet, GH_ORDER_START, ref);
		}
}

void gh_fleet_handle_commit_failure(gh_fleet_t *fleet, const char *id)
{
	uint32_t handle = fleet_job_find(fleet, id);

	if (handle == GH_NONE)
		return;
	fleet_job(fleet, handle)->commit_pending = false;
	fleet_parts_handle_failure(fleet_job(fleet, handle));
	fleet_move_handle_commit_failure(fleet_job(fleet, handle));
	fleet_commit_handle_failure(fleet, handle);
}

void fleet_ack_add(gh_fleet_t *fleet, uint32_t worker, uint64_t number,
		   uint32_t job)
{
	fleet_ack_t *ack = g_new0(fleet_ack_t, 1);

	ack->end_number = number;
	ack->job = job;
	if (job != GH_NONE) {
		g_strlcpy(ack->job_id, fleet_job(fleet, job)->spec->id,
			  sizeof(ack->job_id));
		ack->job_version = fleet_job(fleet, job)->version;
	}
	g_queue_push_tail(fleet_worker(fleet, worker)->pending_acks, ack);
}

void fleet_acks_advance(gh_fleet_t *fleet, uint32_t handle)
{
	fleet_worker_t *worker = fleet_worker(fleet, handle);
	fleet_ack_t *ack;

	while ((ack = g_queue_peek_head(worker->pending_acks)) &&
	       end_is_committed(fleet, ack)) {
		worker->acked_end = ack->end_number;
		g_free(g_queue_pop_head(worker->pending_acks));
	}
}

static bool end_is_committed(const gh_fleet_t *fleet, const fleet_ack_t *ack)
{
	const fleet_job_t *job;

	if (ack->job == GH_NONE)
		return true;
	/*
	 * If the handle now leads to no job or to another one, the end of the
	 * job is committed: its entry is not freed before.
	 */
	job = fleet_job(fleet, ack->job);
	return !job->spec || strcmp(job->spec->id, ack->job_id) != 0 ||
	       job->committed_version >= ack->job_version;
}

/* Applies a line to a task of it; takes the line's checkpoint. */
static void load_task(gh_fleet_t *fleet, uint32_t handle, task_line_t *line,
		      uint32_t index)
{
	fleet_job_t *job = fleet_job(fleet, handle);
	fleet_task_t *task = fleet_task(job, index);
	fleet_stage_t *stage = fleet_task_stage(job, index);
	uint32_t i;

	task->done = line->done;
	task->failures = line->failures;
	task->crashes = line->crashes;
	task->start_crashes = line->start_crashes;
	task->lost_starts = line->lost_starts;
	task->last_run = line->last_run;
	task->checkpoint = g_steal_pointer(&line->checkpoint);
	task->moves = line->moves;
	fleet_move_set_place(job, index, line->away ? PLACE_AWAY : PLACE_HERE);
	job->begun |= line->done || line->failures || line->crashes ||
		      line->moves || task->checkpoint;
	if (job->begun || line->n_runs)
		job->phase = job->committed_phase = GH_JOB_RUNNING;
	if (task->done &&
	    ++stage->tasks_done == fleet_task_step(job, index)->tasks)
		job->stages_done++;
	for (i = 0; i < line->n_runs; i++)
		load_run(fleet, handle, index, &line->runs[i]);
	fleet_occurrence_release(job, index / job->tasks_per_occurrence,
				 fleet->created_at);
}

static void load_run(gh_fleet_t *fleet, uint32_t handle, uint32_t index,
		     const run_field_t *line)
{
	gh_task_id_t id = fleet_task_id(fleet_job(fleet, handle), index);
	uint32_t ref;

	if (line->kind == FIELD_SILENT) {
		fleet_crash_load_doubt(fleet, &id, line->number, line->worker,
				       line->incarnation_start_ms);
		return;
	}
	ref = fleet_run_open(fleet, handle, index,
			     find_or_add_worker(fleet, line->worker),
			     line->number, RUN_ORPHAN, fleet->created_at);
	if (line->kind != FIELD_RUN)
		fleet_crash_load_begun(fleet, ref, line->kind == FIELD_ALONE,
				       line->incarnation_start_ms);
}

/* Keeps all tasks of a job from being started. */
static void hold_job(gh_fleet_t *fleet, uint32_t handle)
{
	fleet_job_t *job = fleet_job(fleet, handle);
	gh_task_id_t id = { 0 };
	uint32_t n, i;

	g_strlcpy(id.job, job->spec->id, sizeof(id.job));
	/* Tasks that become resident later get the same. */
	job->held = true;
	for (n = 0; n < job->occurrences->len; n++) {
		fleet_occurrence_t *resident = job->occurrences->pdata[n];

		for (i = 0; i < resident->n_tasks; i++)
			resident->tasks[i].not_before = GH_TIME_NEVER;
	}
	fleet->counts.held++;
	fleet_emit_event(fleet, "job_held", &id, 0, GH_NONE,
			 "its progress record can't be parsed");
}

/*
 * Handle of the worker of a run that a previous owner started.  A worker that
 * is not known is added without an address, so that the run ends at the latest
 * with the worker's lease.
 */
static uint32_t find_or_add_worker(gh_fleet_t *fleet, const char *id)
{
	uint32_t handle = fleet_worker_find(fleet, id);
	fleet_worker_t *worker;
	gh_time_t lease_end;

	if (handle == GH_NONE) {
		gh_worker_entry_t entry = { 0 };

		g_strlcpy(entry.id, id, sizeof(entry.id));
		gh_fleet_worker_set(fleet, &entry, fleet->created_at);
		handle = fleet_worker_find(fleet, id);
		fleet_worker(fleet, handle)->listed = false;
	}
	worker = fleet_worker(fleet, handle);
	lease_end = fleet_unheard_lease_end(
		fleet, worker,
		fleet_lease_end(fleet, fleet->setup.previous_grants_end));
	worker->latest_lease_end = MAX(worker->latest_lease_end, lease_end);
	return handle;
}
