/*
 * The fleet's tables: entries, their lookup by handle, id and name, and the
 * marks of change.  Nothing is decided here.
 */
#include "core_fleet_parts.h"

#include <string.h>

/* Policy of a queue that is not configured yet. */
#define QUEUE_ATTEMPTS_DEFAULT 3
#define QUEUE_STRETCH_DEFAULT_MILLI 2000

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

bool gh_fleet_has_job(const gh_fleet_t *fleet, const char *id)
{
	return fleet_job_find(fleet, id) != GH_NONE;
}

uint32_t fleet_stage_index(const fleet_job_t *job, uint32_t task)
{
	uint32_t stage = 0;
	uint32_t i;

	/* A division takes time, and most jobs have one occurrence. */
	if (task >= job->tasks_per_occurrence) {
		stage = task / job->tasks_per_occurrence * job->spec->n_steps;
		task %= job->tasks_per_occurrence;
	}
	for (i = 0; task >= job->spec->steps[i].tasks; i++)
		task -= job->spec->steps[i].tasks;
	return stage + i;
}

uint32_t fleet_stage_first_task(const fleet_job_t *job, uint32_t stage)
{
	uint32_t n_steps = job->spec->n_steps;
	uint32_t first = stage / n_steps * job->tasks_per_occurrence;
	uint32_t i;

	for (i = 0; i < stage % n_steps; i++)
		first += job->spec->steps[i].tasks;
	return first;
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
		.index = task - fleet_stage_first_task(job, stage),
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
	return fleet_stage_first_task(job, stage) + id->index;
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
		uint32_t run = fleet_task(job, task)->runs[i];

		if (run != GH_NONE &&
		    fleet_run(fleet, run)->run_number == number)
			return run;
	}
	return GH_NONE;
}

bool fleet_run_is_unsent(const fleet_run_t *run)
{
	return run->state == RUN_PLANNED ||
	       (run->state == RUN_STARTING && !run->order_sent);
}

bool fleet_worker_is_heard(const fleet_worker_t *worker)
{
	return worker->in_use && worker->listed && !worker->entry.draining &&
	       !worker->emptied && worker->has_reported &&
	       !worker->unreachable_since;
}

int64_t fleet_worker_free_cores_milli(const fleet_worker_t *worker)
{
	return (int64_t)worker->entry.size.cores_milli -
	       worker->reserved.cores_milli;
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
	fleet->last_priority = MAX(fleet->last_priority, policy->priority);
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

void fleet_job_mark_changed(gh_fleet_t *fleet, uint32_t handle)
{
	fleet_job_t *job = fleet_job(fleet, handle);

	job->version++;
	if (job->change_queued)
		return;
	job->change_queued = true;
	fleet_commit_add(fleet, handle);
}

uint32_t fleet_entry_alloc(GArray *table, GArray *free_entries)
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

void fleet_run_link(gh_fleet_t *fleet, uint32_t handle)
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

void fleet_run_unlink(gh_fleet_t *fleet, uint32_t handle)
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

void fleet_run_account(gh_fleet_t *fleet, const fleet_run_t *run, bool add)
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
	}
	fleet_headroom_account(fleet, run, add);
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
