/*
 * Life cycle of the fleet, its jobs and their runs.
 */
#include "core_fleet_move.h"

#include <string.h>

static uint32_t job_attempts(const gh_fleet_t *fleet, const fleet_job_t *job);
static void close_run(gh_fleet_t *fleet, uint32_t handle);
static void note_begun(fleet_job_t *job, const fleet_run_t *run,
		       gh_run_outcome_t outcome);
static void complete_task(gh_fleet_t *fleet, uint32_t handle, uint32_t index,
			  gh_time_t now);
static void handle_gang_member_end(gh_fleet_t *fleet, uint32_t handle,
				   uint32_t index, gh_run_outcome_t outcome,
				   gh_time_t now);
static void count_failure(gh_fleet_t *fleet, uint32_t handle, uint32_t index,
			  gh_time_t now);
static void stop_task_runs(gh_fleet_t *fleet, uint32_t handle, uint32_t from,
			   uint32_t n, const char *why, gh_time_t now);
static void free_job(gh_fleet_t *fleet, uint32_t handle);

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
	fleet->pace_orders = g_queue_new();
	fleet->worker_by_id =
		g_hash_table_new_full(g_str_hash, g_str_equal, g_free, NULL);
	fleet->job_by_id =
		g_hash_table_new_full(g_str_hash, g_str_equal, g_free, NULL);
	fleet->queues =
		g_hash_table_new_full(g_str_hash, g_str_equal, NULL, g_free);
	fleet->emptied =
		g_hash_table_new_full(g_str_hash, g_str_equal, g_free, NULL);
	fleet->changes = gh_commit_order_new();
	fleet->commit_failed_job = GH_NONE;
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
	g_queue_free_full(fleet->pace_orders, g_free);
	g_hash_table_destroy(fleet->worker_by_id);
	g_hash_table_destroy(fleet->job_by_id);
	g_hash_table_destroy(fleet->queues);
	g_hash_table_destroy(fleet->emptied);
	gh_commit_order_free(fleet->changes);
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

/* Without its queue, as once that was removed, a job keeps its attempts. */
static uint32_t job_attempts(const gh_fleet_t *fleet, const fleet_job_t *job)
{
	uint32_t attempts = fleet_job_policy(fleet, job)->attempts;

	if (job->spec->attempts &&
	    !g_hash_table_contains(fleet->queues, job->spec->queue))
		attempts = job->spec->attempts;
	return MAX(attempts, 1);
}

uint32_t fleet_job_new(gh_fleet_t *fleet, gh_pipeline_t *pipeline, bool guest)
{
	uint32_t handle = fleet_entry_alloc(fleet->jobs, fleet->free_jobs);
	fleet_job_t *job = fleet_job(fleet, handle);
	uint32_t occurrences = gh_pipeline_occurrence_count(pipeline);
	uint32_t i;

	*job = (fleet_job_t){
		.spec = pipeline,
		.tasks_per_occurrence = gh_pipeline_task_count(pipeline),
		.n_stages = occurrences * pipeline->n_steps,
		.first_failed_worker = GH_NONE,
	};
	job->rank = fleet_job_policy(fleet, job)->priority;
	job->n_tasks = occurrences * job->tasks_per_occurrence;
	job->image_ids = g_new0(uint16_t, pipeline->n_steps);
	for (i = 0; i < pipeline->n_steps; i++)
		job->image_ids[i] = gh_interference_image_id(
			fleet->interference, pipeline->steps[i].image);
	fleet_move_init_job(job, guest);
	fleet_parts_init_job(job);
	fleet_occurrence_init_job(fleet, handle);
	g_hash_table_insert(fleet->job_by_id, g_strdup(pipeline->id),
			    GUINT_TO_POINTER(handle + 1));
	return handle;
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
	guint i;

	job->phase = phase;
	fleet_emit_event(fleet, "job_ended", &id, 0, GH_NONE,
			 gh_job_phase_name(phase));
	fleet_job_mark_changed(fleet, handle);
	/* The change of its end has other records. */
	fleet_commit_resume(fleet, handle);
	fleet_commit_hasten(fleet, handle);
	for (i = 0; i < job->occurrences->len; i++) {
		const fleet_occurrence_t *resident = job->occurrences->pdata[i];

		stop_task_runs(fleet, handle, resident->stages[0].first_task,
			       resident->n_tasks, "job ended", now);
	}
}

void fleet_job_free_if_finished(gh_fleet_t *fleet, uint32_t handle)
{
	fleet_job_t *job = fleet_job(fleet, handle);

	if (job->spec && job->phase > GH_JOB_RUNNING && !job->open_runs &&
	    !job->change_queued && !job->commit_pending &&
	    job->committed_version == job->version)
		free_job(fleet, handle);
}

uint32_t fleet_run_open(gh_fleet_t *fleet, uint32_t job, uint32_t task,
			uint32_t worker, uint32_t number, run_state_t state,
			gh_time_t now)
{
	uint32_t handle = fleet_entry_alloc(fleet->runs, fleet->free_runs);
	fleet_run_t *run = fleet_run(fleet, handle);
	fleet_job_t *parent = fleet_job(fleet, job);
	fleet_task_t *t = fleet_task(parent, task);
	bool copy = t->runs[0] != GH_NONE;
	bool foreign = state == RUN_ORPHAN || state == RUN_HELD;

	*run = (fleet_run_t){
		.state = state,
		.job = job,
		.task = task,
		.worker = worker,
		.run_number = number,
		.level = fleet_headroom_level(fleet, parent),
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
	fleet_run_link(fleet, handle);
	fleet_run_account(fleet, run, true);
	if (state == RUN_PLANNED) {
		fleet->budget.n_planned++;
		fleet_crash_handle_start(fleet, handle);
		fleet_worker(fleet, worker)->last_placed_at = now;
		parent->stalled_since = 0;
		if (parent->phase == GH_JOB_QUEUED)
			parent->phase = GH_JOB_RUNNING;
		fleet_job_mark_changed(fleet, job);
		fleet_commit_hasten(fleet, job);
		run->version = parent->version;
	}
	return handle;
}

void fleet_run_end(gh_fleet_t *fleet, uint32_t handle, gh_run_outcome_t outcome,
		   const char *checkpoint, gh_time_t now)
{
	fleet_run_t run = *fleet_run(fleet, handle);
	fleet_job_t *job = fleet_job(fleet, run.job);
	fleet_task_t *task = fleet_task(job, run.task);
	const gh_step_t *step = fleet_task_step(job, run.task);
	gh_task_id_t id = fleet_task_id(job, run.task);

	fleet_emit_event(fleet, "run_ended", &id, run.run_number, run.worker,
			 gh_run_outcome_name(outcome));
	fleet_run_account(fleet, &run, false);
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
	fleet_task_t *task = fleet_task(job, run->task);

	if (run->state == RUN_PLANNED)
		fleet->budget.n_planned--;
	fleet_run_unlink(fleet, handle);
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
		fleet_task_t *task = fleet_task(job, i);

		if (task->done)
			continue;
		task->done = true;
		g_clear_pointer(&task->checkpoint, g_free);
		stage->tasks_done++;
		if (task->runs[0] != GH_NONE)
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
	    index == GH_NONE || fleet_task(parent, index)->done ||
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
			fleet_task(job, i)->failures++;
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

	if (++fleet_task(job, index)->failures >= job_attempts(fleet, job))
		fleet_job_end(fleet, handle, GH_JOB_FAILED, now);
}

static void stop_task_runs(gh_fleet_t *fleet, uint32_t handle, uint32_t from,
			   uint32_t n, const char *why, gh_time_t now)
{
	fleet_job_t *job = fleet_job(fleet, handle);
	uint32_t i;

	for (i = from; i < from + n; i++) {
		const fleet_task_t *task = fleet_task(job, i);

		/*
		 * Stop the second run first: ending the first run moves the
		 * second to its place.
		 */
		if (task->runs[1] != GH_NONE)
			fleet_run_stop(fleet, task->runs[1], why, now);
		if (task->runs[0] != GH_NONE)
			fleet_run_stop(fleet, task->runs[0], why, now);
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

char *gh_fleet_interference_format(const gh_fleet_t *fleet)
{
	return gh_interference_format(fleet->interference);
}

bool gh_fleet_interference_parse(gh_fleet_t *fleet, const char *text)
{
	return gh_interference_parse(fleet->interference, text);
}

static void free_job(gh_fleet_t *fleet, uint32_t handle)
{
	fleet_job_t *job = fleet_job(fleet, handle);

	g_hash_table_remove(fleet->job_by_id, job->spec->id);
	fleet_move_clear_job(job);
	fleet_parts_clear_job(job);
	fleet_occurrence_clear_job(job);
	g_free(job->image_ids);
	gh_pipeline_free(job->spec);
	memset(job, 0, sizeof(*job));
	g_array_append_val(fleet->free_jobs, handle);
}
