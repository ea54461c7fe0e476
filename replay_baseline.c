/*
 * Baseline policies for requests: each request is assigned to an executor of
 * its domain on arrival and waits in that executor's queue.  Failed requests
 * are not retried.
 */
#include "core_route.h"
#include "replay_request.h"

static void *baseline_create(replay_sim_t *sim);
static void baseline_destroy(replay_sim_t *sim);
static void baseline_handle_wakeup(replay_sim_t *sim, uint32_t subject,
				   void *data);
static void baseline_handle_end(replay_sim_t *sim, replay_inflight_t *inflight,
				bool failed);
static void assign_random(replay_sim_t *sim, replay_inflight_t *inflight);
static void assign_least_connections(replay_sim_t *sim,
				     replay_inflight_t *inflight);
static void start_or_queue(replay_sim_t *sim, replay_inflight_t *inflight,
			   uint32_t executor);
static bool is_in_domain(const replay_sim_t *sim, uint32_t executor,
			 const replay_inflight_t *inflight);

const replay_request_ops_t replay_fifo_random_ops = {
	.create = baseline_create,
	.handle_arrival = assign_random,
	.handle_end = baseline_handle_end,
	.handle_wakeup = baseline_handle_wakeup,
	.destroy = baseline_destroy,
};

const replay_request_ops_t replay_least_connections_ops = {
	.create = baseline_create,
	.handle_arrival = assign_least_connections,
	.handle_end = baseline_handle_end,
	.handle_wakeup = baseline_handle_wakeup,
	.destroy = baseline_destroy,
};

static void *baseline_create(replay_sim_t *sim)
{
	uint64_t *seed = g_new(uint64_t, 1);

	*seed = sim->trace->seed;
	return seed;
}

static void baseline_destroy(replay_sim_t *sim)
{
	g_free(sim->policy_state);
}

static void baseline_handle_wakeup(replay_sim_t *sim, uint32_t subject,
				   void *data)
{
	(void)sim;
	(void)subject;
	(void)data;
}

static void baseline_handle_end(replay_sim_t *sim, replay_inflight_t *inflight,
				bool failed)
{
	replay_executor_t *ex = &sim->executors[inflight->executor];
	replay_inflight_t *next = g_queue_pop_head(&ex->queue);

	if (failed)
		replay_request_refuse(sim, inflight, GH_E_BAD_RESPONSE);
	else
		replay_request_complete(sim, inflight);
	if (next)
		replay_request_start(sim, next);
}

static void assign_random(replay_sim_t *sim, replay_inflight_t *inflight)
{
	uint64_t *seed = sim->policy_state;
	size_t n = sim->trace->doc->n_executors;
	uint32_t executor = (uint32_t)(gh_route_random(seed) % n);

	while (!is_in_domain(sim, executor, inflight))
		executor = (executor + 1) % (uint32_t)n;
	start_or_queue(sim, inflight, executor);
}

static void assign_least_connections(replay_sim_t *sim,
				     replay_inflight_t *inflight)
{
	uint32_t least_loaded = REPLAY_NO_EXECUTOR;
	unsigned min_load = UINT32_MAX;
	uint32_t i;

	for (i = 0; i < sim->trace->doc->n_executors; i++) {
		replay_executor_t *ex = &sim->executors[i];
		unsigned load = ex->busy_slots + g_queue_get_length(&ex->queue);

		if (load >= min_load || !is_in_domain(sim, i, inflight))
			continue;
		min_load = load;
		least_loaded = i;
	}
	start_or_queue(sim, inflight, least_loaded);
}

static void start_or_queue(replay_sim_t *sim, replay_inflight_t *inflight,
			   uint32_t executor)
{
	replay_executor_t *ex = &sim->executors[executor];

	inflight->executor = executor;
	if (ex->busy_slots < ex->executor->slots)
		replay_request_start(sim, inflight);
	else
		g_queue_push_tail(&ex->queue, inflight);
}

static bool is_in_domain(const replay_sim_t *sim, uint32_t executor,
			 const replay_inflight_t *inflight)
{
	return sim->executors[executor].executor->domain ==
	       inflight->req->domain;
}
