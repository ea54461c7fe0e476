/*
 * Progress records: the state of a job's tasks that the next owner needs, in
 * the text form kept in the store, and the acknowledgement of ends once the
 * record is committed.
 *
 *   progress1
 *   INDEX done|open FAILURES LAST-RUN CHECKPOINT [RUN@WORKER ...]
 *
 * One line for each task that was ever started, with its open runs.  The name
 * of the checkpoint is percent-encoded as in a URI; "-" stands for none.
 */
#include "core_fleet_state.h"

#include <stdio.h>
#include <string.h>

#include "error.h"

#define FORMAT_TAG "progress1"
#define NO_CHECKPOINT "-"

static void append_task(const gh_fleet_t *fleet, GString *text,
			const fleet_job_t *job, uint32_t index);
static bool parse_task(gh_fleet_t *fleet, uint32_t handle, char *line);
static bool parse_run(gh_fleet_t *fleet, uint32_t job, uint32_t task,
		      const char *field);
static uint32_t find_or_add_worker(gh_fleet_t *fleet, const char *id);
static bool end_is_committed(const gh_fleet_t *fleet, const fleet_ack_t *ack);

bool gh_fleet_job_add(gh_fleet_t *fleet, gh_pipeline_t *pipeline,
		      const char *progress, GError **err)
{
	uint32_t handle;
	char **lines;
	bool ok = true;
	size_t i;

	if (fleet_job_find(fleet, pipeline->id) != GH_NONE) {
		gh_pipeline_free(pipeline);
		return true;
	}
	handle = fleet_job_new(fleet, pipeline);
	if (!progress)
		return true;
	lines = g_strsplit(progress, "\n", -1);
	ok = lines[0] && !strcmp(lines[0], FORMAT_TAG);
	for (i = 1; ok && lines[i]; i++)
		if (*lines[i])
			ok = parse_task(fleet, handle, lines[i]);
	g_strfreev(lines);
	if (!ok)
		gh_error_set(err, GH_E_SYNTAX,
			     "progress record of job %s can't be parsed",
			     pipeline->id);
	return ok;
}

bool gh_fleet_has_changes(const gh_fleet_t *fleet)
{
	return !g_queue_is_empty(fleet->changes);
}

bool gh_fleet_next_change(gh_fleet_t *fleet, gh_fleet_change_t *change)
{
	uint32_t handle =
		GPOINTER_TO_UINT(g_queue_pop_head(fleet->changes)) - 1;
	fleet_job_t *job;
	GString *text;
	uint32_t i;

	if (handle == GH_NONE)
		return false;
	job = fleet_job(fleet, handle);
	job->change_queued = false;
	job->commit_pending = true;
	job->committing_phase = job->phase;
	*change = (gh_fleet_change_t){
		.version = job->version,
		.phase = job->phase,
		.phase_changed = job->phase != job->committed_phase,
	};
	g_strlcpy(change->id, job->spec->id, sizeof(change->id));
	if (job->phase > GH_JOB_RUNNING)
		return true;
	text = g_string_new(FORMAT_TAG "\n");
	for (i = 0; i < job->n_tasks; i++)
		if (job->tasks[i].last_run)
			append_task(fleet, text, job, i);
	change->progress = g_string_free(text, FALSE);
	return true;
}

void gh_fleet_handle_commit(gh_fleet_t *fleet, const char *id, uint64_t version)
{
	uint32_t handle = fleet_job_find(fleet, id);
	fleet_job_t *job;
	uint32_t i, j;

	if (handle == GH_NONE)
		return;
	job = fleet_job(fleet, handle);
	job->commit_pending = false;
	job->committed_version = version;
	job->committed_phase = job->committing_phase;
	for (i = 0; job->open_runs && i < job->n_tasks; i++)
		for (j = 0; j < GH_TASK_RUNS_MAX; j++) {
			uint32_t ref = job->tasks[i].runs[j];
			fleet_run_t *run;

			if (ref == GH_NONE)
				continue;
			run = fleet_run(fleet, ref);
			if (run->state != RUN_PLANNED || run->version > version)
				continue;
			run->state = RUN_STARTING;
			fleet_order_enqueue(fleet, GH_ORDER_START, ref);
		}
	fleet_job_free_if_finished(fleet, handle);
}

void gh_fleet_handle_commit_failure(gh_fleet_t *fleet, const char *id)
{
	uint32_t handle = fleet_job_find(fleet, id);

	if (handle == GH_NONE)
		return;
	fleet_job(fleet, handle)->commit_pending = false;
	fleet_job_mark_changed(fleet, handle);
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

static void append_task(const gh_fleet_t *fleet, GString *text,
			const fleet_job_t *job, uint32_t index)
{
	const fleet_task_t *task = &job->tasks[index];
	char *escaped = task->checkpoint ? g_uri_escape_string(task->checkpoint,
							       NULL, FALSE) :
					   NULL;
	uint32_t i;

	g_string_append_printf(text, "%u %s %u %u %s", index,
			       task->done ? "done" : "open", task->failures,
			       task->last_run,
			       escaped ? escaped : NO_CHECKPOINT);
	for (i = 0; i < GH_TASK_RUNS_MAX; i++) {
		const fleet_run_t *run;

		if (task->runs[i] == GH_NONE)
			continue;
		run = fleet_run(fleet, task->runs[i]);
		g_string_append_printf(
			text, " %u@%s", run->run_number,
			fleet_worker(fleet, run->worker)->entry.id);
	}
	g_string_append_c(text, '\n');
	g_free(escaped);
}

static bool parse_task(gh_fleet_t *fleet, uint32_t handle, char *line)
{
	fleet_job_t *job = fleet_job(fleet, handle);
	char **fields = g_strsplit(line, " ", -1);
	guint n = g_strv_length(fields);
	bool ok = n >= 5;
	fleet_task_t *task;
	uint32_t index;
	guint i;

	if (ok) {
		index = (uint32_t)g_ascii_strtoull(fields[0], NULL, 10);
		ok = index < job->n_tasks;
	}
	if (ok) {
		task = &job->tasks[index];
		task->done = !strcmp(fields[1], "done");
		task->failures =
			(uint16_t)g_ascii_strtoull(fields[2], NULL, 10);
		task->last_run =
			(uint32_t)g_ascii_strtoull(fields[3], NULL, 10);
		if (strcmp(fields[4], NO_CHECKPOINT) != 0)
			task->checkpoint =
				g_uri_unescape_string(fields[4], NULL);
		job->phase = job->committed_phase = GH_JOB_RUNNING;
		if (task->done) {
			fleet_stage_t *stage = fleet_task_stage(job, index);

			if (++stage->tasks_done ==
			    fleet_task_step(job, index)->tasks)
				job->stages_done++;
		}
	}
	for (i = 5; ok && i < n && i < 5 + GH_TASK_RUNS_MAX; i++)
		ok = parse_run(fleet, handle, index, fields[i]);
	g_strfreev(fields);
	return ok;
}

static bool parse_run(gh_fleet_t *fleet, uint32_t job, uint32_t task,
		      const char *field)
{
	const char *separator = strchr(field, '@');

	if (!separator || !separator[1])
		return false;
	fleet_run_open(fleet, job, task,
		       find_or_add_worker(fleet, separator + 1),
		       (uint32_t)g_ascii_strtoull(field, NULL, 10), RUN_ORPHAN,
		       fleet->created_at);
	return true;
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

	if (handle == GH_NONE) {
		gh_worker_entry_t entry = { 0 };

		g_strlcpy(entry.id, id, sizeof(entry.id));
		gh_fleet_worker_set(fleet, &entry, fleet->created_at);
		handle = fleet_worker_find(fleet, id);
		fleet_worker(fleet, handle)->listed = false;
	}
	worker = fleet_worker(fleet, handle);
	worker->latest_lease_end = MAX(
		worker->latest_lease_end,
		fleet_lease_end(fleet, fleet->setup.previous_grants_end));
	return handle;
}
