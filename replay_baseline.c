/*
 * Baselines for requests: each goes to an executor at once and waits in line
 * there.
 */
#include "core_route.h"
#include "replay_request.h"

static void *baseline_start(replay_sim_t *sim);
static void baseline_stop(replay_sim_t *sim);
static void baseline_wake(replay_sim_t *sim, uint32_t subject, void *data);
static void baseline_ended(replay_sim_t *sim, replay_inflight_t *inflight,
			   bool failed);
static void arrive_random(replay_sim_t *sim, replay_inflight_t *inflight);
static void arrive_least(replay_sim_t *sim, replay_inflight_t *inflight);
static void enter(replay_sim_t *sim, replay_inflight_t *inflight,
		  uint32_t index);
static bool serves(const replay_sim_t *sim, uint32_t index,
		   const replay_inflight_t *inflight);

const replay_request_ops_t replay_fifo_random_ops = {
	.create = baseline_start,
	.handle_arrival = arrive_random,
	.handle_end = baseline_ended,
	.handle_wakeup = baseline_wake,
	.destroy = baseline_stop,
};

const replay_request_ops_t replay_least_connections_ops = {
	.create = baseline_start,
	.handle_arrival = arrive_least,
	.handle_end = baseline_ended,
	.handle_wakeup = baseline_wake,
	.destroy = baseline_stop,
};

static void *baseline_start(replay_sim_t *sim)
{
	uint64_t *seed = g_new(uint64_t, 1);

	*seed = sim->trace->seed;
	return seed;
}

static void baseline_stop(replay_sim_t *sim)
{
	g_free(sim->policy_state);
}

static void baseline_wake(replay_sim_t *sim, uint32_t subject, void *data)
{
	(void)sim;
	(void)subject;
	(void)data;
}

static void baseline_ended(replay_sim_t *sim, replay_inflight_t *inflight,
			   bool failed)
{
	replay_executor_t *ex = &sim->executors[inflight->executor];
	replay_inflight_t *next = g_queue_pop_head(&ex->queue);

	if (failed)
		replay_request_refuse(sim, inflight, GH_E_BAD_ANSWER);
	else
		replay_request_complete(sim, inflight);
	if (next)
		replay_request_start(sim, next);
}

static void arrive_random(replay_sim_t *sim, replay_inflight_t *inflight)
{
	uint64_t *seed = sim->policy_state;
	size_t n = sim->trace->doc->n_executors;
	uint32_t index = (uint32_t)(gh_route_random(seed) % n);

	while (!serves(sim, index, inflight))
		index = (index + 1) % (uint32_t)n;
	enter(sim, inflight, index);
}

static void arrive_least(replay_sim_t *sim, replay_inflight_t *inflight)
{
	uint32_t best = REPLAY_NO_EXECUTOR;
	unsigned least = UINT32_MAX;
	uint32_t i;

	for (i = 0; i < sim->trace->doc->n_executors; i++) {
		replay_executor_t *ex = &sim->executors[i];
		unsigned load = ex->busy_slots + g_queue_get_length(&ex->queue);

		if (load >= least || !serves(sim, i, inflight))
			continue;
		least = load;
		best = i;
	}
	enter(sim, inflight, best);
}

static void enter(replay_sim_t *sim, replay_inflight_t *inflight,
		  uint32_t index)
{
	replay_executor_t *ex = &sim->executors[index];

	inflight->executor = index;
	if (ex->busy_slots < ex->executor->slots)
		replay_request_start(sim, inflight);
	else
		g_queue_push_tail(&ex->queue, inflight);
}

static bool serves(const replay_sim_t *sim, uint32_t index,
		   const replay_inflight_t *inflight)
{
	return sim->executors[index].executor->domain == inflight->req->domain;
}
