/*
 * Baseline policy for tasks: in order of submission, each task starts on the
 * first worker with enough free cores for its declared size.  Nothing is
 * evicted, and a failed task goes to the end of the queue.  Tasks of a worker
 * that goes down are not retried, and memory is not considered.
 */
#include "replay_task.h"

#include <string.h>

#define MAX_ATTEMPTS 5

/* A task that has not been started, or is to be retried. */
typedef struct pending_task {
	const replay_job_t *job;
	uint32_t index;
	uint32_t attempt;
} pending_task_t;

typedef struct first_fit {
	/* Queues of pending_task_t, one per failure domain. */
	GQueue *queues;
	GHashTable *cancelled; /* set of the names of cancelled jobs */
} first_fit_t;

static void *first_fit_create(replay_task_sim_t *sim);
static void first_fit_destroy(replay_task_sim_t *sim);
static void first_fit_submit(replay_task_sim_t *sim, const replay_job_t *job);
static void first_fit_cancel(replay_task_sim_t *sim, const replay_job_t *job);
static void first_fit_handle_end(replay_task_sim_t *sim, replay_run_t *run);
static void first_fit_handle_mode_change(replay_task_sim_t *sim,
					 gh_handle_t worker);
static void first_fit_handle_wakeup(replay_task_sim_t *sim, uint32_t subject,
				    void *data);
static void start_pending(replay_task_sim_t *sim, gh_handle_t domain);
static bool start_on_first_fit(replay_task_sim_t *sim, gh_handle_t domain,
			       const pending_task_t *pending);
static void enqueue(replay_task_sim_t *sim, const replay_job_t *job,
		    uint32_t index, uint32_t attempt);

const replay_task_ops_t replay_first_fit_ops = {
	.create = first_fit_create,
	.submit = first_fit_submit,
	.cancel = first_fit_cancel,
	.handle_end = first_fit_handle_end,
	.handle_mode_change = first_fit_handle_mode_change,
	.handle_wakeup = first_fit_handle_wakeup,
	.destroy = first_fit_destroy,
};

static void *first_fit_create(replay_task_sim_t *sim)
{
	first_fit_t *ff = g_new0(first_fit_t, 1);

	ff->queues = g_new0(GQueue, sim->trace->doc->n_domains);
	ff->cancelled = g_hash_table_new(g_str_hash, g_str_equal);
	return ff;
}

static void first_fit_destroy(replay_task_sim_t *sim)
{
	first_fit_t *ff = sim->policy_state;
	size_t i;

	for (i = 0; i < sim->trace->doc->n_domains; i++)
		g_queue_clear_full(&ff->queues[i], g_free);
	g_free(ff->queues);
	g_hash_table_unref(ff->cancelled);
	g_free(ff);
}

static void first_fit_submit(replay_task_sim_t *sim, const replay_job_t *job)
{
	uint32_t i;

	for (i = 0; i < job->spec.tasks; i++)
		enqueue(sim, job, i, 1);
	start_pending(sim,
		      gh_document_domain(sim->trace->doc, job->spec.domain));
}

static void first_fit_cancel(replay_task_sim_t *sim, const replay_job_t *job)
{
	first_fit_t *ff = sim->policy_state;

	g_hash_table_add(ff->cancelled, (gpointer)job->spec.name);
}

static void first_fit_handle_end(replay_task_sim_t *sim, replay_run_t *run)
{
	const gh_worker_t *worker = sim->workers[run->worker].worker;
	uint32_t index =
		(uint32_t)strtoul(strrchr(run->task, '.') + 1, NULL, 10);

	if (run->state == GH_REPORT_FAILED && run->attempt < MAX_ATTEMPTS)
		enqueue(sim, run->job, index, run->attempt + 1);
	replay_task_forget(sim, run);
	start_pending(sim, worker->domain);
}

static void first_fit_handle_mode_change(replay_task_sim_t *sim,
					 gh_handle_t worker)
{
	start_pending(sim, sim->workers[worker].worker->domain);
}

static void first_fit_handle_wakeup(replay_task_sim_t *sim, uint32_t subject,
				    void *data)
{
	(void)sim;
	(void)subject;
	(void)data;
}

/*
 * Starts tasks from the head of the queue until a task fits on no worker, and
 * drops the tasks of cancelled jobs.
 */
static void start_pending(replay_task_sim_t *sim, gh_handle_t domain)
{
	first_fit_t *ff = sim->policy_state;
	GQueue *queue = &ff->queues[domain];
	pending_task_t *pending;

	while ((pending = g_queue_peek_head(queue))) {
		if (!g_hash_table_contains(ff->cancelled,
					   pending->job->spec.name) &&
		    !start_on_first_fit(sim, domain, pending))
			return;
		g_free(g_queue_pop_head(queue));
	}
}

static bool start_on_first_fit(replay_task_sim_t *sim, gh_handle_t domain,
			       const pending_task_t *pending)
{
	char task[GH_TASK_NAME_MAX + 1];
	size_t i;

	for (i = 0; i < sim->trace->doc->n_workers; i++) {
		replay_worker_t *host = &sim->workers[i];

		if (host->worker->domain != domain ||
		    host->mode == REPLAY_MODE_DOWN ||
		    host->allocated_cores_milli +
				    pending->job->spec.cores_milli >
			    host->worker->cores_milli)
			continue;
		g_snprintf(task, sizeof(task), "%s.%u", pending->job->spec.name,
			   pending->index);
		replay_task_start(sim, (gh_handle_t)i, pending->job, task,
				  pending->attempt, 0);
		return true;
	}
	return false;
}

static void enqueue(replay_task_sim_t *sim, const replay_job_t *job,
		    uint32_t index, uint32_t attempt)
{
	first_fit_t *ff = sim->policy_state;
	gh_handle_t domain =
		gh_document_domain(sim->trace->doc, job->spec.domain);
	pending_task_t *pending = g_new(pending_task_t, 1);

	*pending = (pending_task_t){ .job = job,
				     .index = index,
				     .attempt = attempt };
	g_queue_push_tail(&ff->queues[domain], pending);
}
