/*
 * Baseline for tasks: first come, on the first worker with room for the
 * declared size; nothing is evicted, and a failed task goes to the end.
 */
#include "replay_task.h"

#include <string.h>

#define ATTEMPTS_MAX 5

typedef struct waiting {
	const replay_job_t *job;
	uint32_t index;
	uint32_t attempt;
} waiting_t;

typedef struct first_fit {
	GQueue *lines; /* of waiting_t; one a domain */
	GHashTable *cancelled;
} first_fit_t;

static void *first_fit_start(replay_task_sim_t *sim);
static void first_fit_stop(replay_task_sim_t *sim);
static void first_fit_submit(replay_task_sim_t *sim, const replay_job_t *job);
static void first_fit_cancel(replay_task_sim_t *sim, const replay_job_t *job);
static void first_fit_ended(replay_task_sim_t *sim, replay_run_t *run);
static void first_fit_changed(replay_task_sim_t *sim, gh_handle_t worker);
static void first_fit_wake(replay_task_sim_t *sim, uint32_t subject,
			   void *data);
static void pump(replay_task_sim_t *sim, gh_handle_t domain);
static bool place(replay_task_sim_t *sim, gh_handle_t domain,
		  const waiting_t *wait);
static void enter(replay_task_sim_t *sim, const replay_job_t *job,
		  uint32_t index, uint32_t attempt);

const replay_task_ops_t replay_first_fit_ops = {
	.create = first_fit_start,
	.submit = first_fit_submit,
	.cancel = first_fit_cancel,
	.handle_end = first_fit_ended,
	.handle_mode_change = first_fit_changed,
	.handle_wakeup = first_fit_wake,
	.destroy = first_fit_stop,
};

static void *first_fit_start(replay_task_sim_t *sim)
{
	first_fit_t *ff = g_new0(first_fit_t, 1);

	ff->lines = g_new0(GQueue, sim->trace->doc->n_domains);
	ff->cancelled = g_hash_table_new(g_str_hash, g_str_equal);
	return ff;
}

static void first_fit_stop(replay_task_sim_t *sim)
{
	first_fit_t *ff = sim->policy_state;
	size_t i;

	for (i = 0; i < sim->trace->doc->n_domains; i++)
		g_queue_clear_full(&ff->lines[i], g_free);
	g_free(ff->lines);
	g_hash_table_unref(ff->cancelled);
	g_free(ff);
}

static void first_fit_submit(replay_task_sim_t *sim, const replay_job_t *job)
{
	uint32_t i;

	for (i = 0; i < job->spec.tasks; i++)
		enter(sim, job, i, 1);
	pump(sim, gh_document_domain(sim->trace->doc, job->spec.domain));
}

static void first_fit_cancel(replay_task_sim_t *sim, const replay_job_t *job)
{
	first_fit_t *ff = sim->policy_state;

	g_hash_table_add(ff->cancelled, (gpointer)job->spec.name);
}

static void first_fit_ended(replay_task_sim_t *sim, replay_run_t *run)
{
	const gh_worker_t *worker = sim->workers[run->worker].worker;
	uint32_t index =
		(uint32_t)strtoul(strrchr(run->task, '.') + 1, NULL, 10);

	if (run->state == GH_REPORT_FAILED && run->attempt < ATTEMPTS_MAX)
		enter(sim, run->job, index, run->attempt + 1);
	replay_task_forget(sim, run);
	pump(sim, worker->domain);
}

static void first_fit_changed(replay_task_sim_t *sim, gh_handle_t worker)
{
	pump(sim, sim->workers[worker].worker->domain);
}

static void first_fit_wake(replay_task_sim_t *sim, uint32_t subject, void *data)
{
	(void)sim;
	(void)subject;
	(void)data;
}

static void pump(replay_task_sim_t *sim, gh_handle_t domain)
{
	first_fit_t *ff = sim->policy_state;
	GQueue *line = &ff->lines[domain];
	waiting_t *wait;

	while ((wait = g_queue_peek_head(line))) {
		if (!g_hash_table_contains(ff->cancelled,
					   wait->job->spec.name) &&
		    !place(sim, domain, wait))
			return;
		g_free(g_queue_pop_head(line));
	}
}

static bool place(replay_task_sim_t *sim, gh_handle_t domain,
		  const waiting_t *wait)
{
	char task[GH_TASK_NAME_MAX + 1];
	size_t i;

	for (i = 0; i < sim->trace->doc->n_workers; i++) {
		replay_worker_t *host = &sim->workers[i];

		if (host->worker->domain != domain ||
		    host->mode == REPLAY_MODE_DOWN ||
		    host->allocated_cores_milli + wait->job->spec.cores_milli >
			    host->worker->cores_milli)
			continue;
		g_snprintf(task, sizeof(task), "%s.%u", wait->job->spec.name,
			   wait->index);
		replay_task_start(sim, (gh_handle_t)i, wait->job, task,
				  wait->attempt, 0);
		return true;
	}
	return false;
}

static void enter(replay_task_sim_t *sim, const replay_job_t *job,
		  uint32_t index, uint32_t attempt)
{
	first_fit_t *ff = sim->policy_state;
	gh_handle_t domain =
		gh_document_domain(sim->trace->doc, job->spec.domain);
	waiting_t *wait = g_new(waiting_t, 1);

	*wait = (waiting_t){ .job = job, .index = index, .attempt = attempt };
	g_queue_push_tail(&ff->lines[domain], wait);
}
