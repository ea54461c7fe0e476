/*
 * Replay of requests: simulates executors that occupy a slot for the true run
 * time of a request, and collects the results.
 */
#include "replay_request.h"

#include <string.h>

#define SAMPLE_INTERVAL_USEC (100 * GH_USEC_PER_MSEC)
/* Maximum time simulated after the last event of the trace. */
#define DRAIN_USEC (60 * GH_USEC_PER_SEC)
#define EXECUTOR_RTT_USEC 200 /* round trip from entry host to executor */
/* Time after which a failing executor fails a request. */
#define FAILURE_DELAY_USEC GH_USEC_PER_MSEC

enum sim_event {
	SIM_REQUEST_END,
	SIM_WAKEUP,
	SIM_SAMPLE,
};

static const replay_request_ops_t *const policies[REPLAY_POLICIES] = {
	[REPLAY_CORE] = &replay_core_ops,
	[REPLAY_FIFO_RANDOM] = &replay_fifo_random_ops,
	[REPLAY_LEAST_CONNECTIONS] = &replay_least_connections_ops,
};

static void sim_init(replay_sim_t *sim);
static void sim_clear(replay_sim_t *sim);
static void handle_trace_event(replay_sim_t *sim, const replay_event_t *event);
static void add_request(replay_sim_t *sim, const replay_event_t *event);
static void handle_item(replay_sim_t *sim, const replay_item_t *item);
static void handle_request_end(replay_sim_t *sim, replay_inflight_t *inflight);
static void sample_guarantees(replay_sim_t *sim);
static unsigned guaranteed_slots(const replay_sim_t *sim, size_t department);
static bool arrived_in_peak(const replay_sim_t *sim,
			    const replay_inflight_t *inflight);

bool replay_requests(const replay_trace_t *trace, replay_policy_t policy,
		     replay_request_result_t *result)
{
	replay_sim_t sim = {
		.ops = policies[policy],
		.trace = trace,
		.result = result,
	};
	const replay_event_t *event;
	replay_item_t item;
	replay_source_t source;
	guint next = 0;

	if (!sim.ops)
		return false;
	sim_init(&sim);
	sim.policy_state = sim.ops->create(&sim);
	while ((source = replay_pop_next(trace, &next, &sim.heap, &event,
					 &item)) != REPLAY_EXHAUSTED) {
		if (source == REPLAY_FROM_TRACE) {
			sim.now = event->at;
			handle_trace_event(&sim, event);
			continue;
		}
		if (item.at > result->duration + DRAIN_USEC)
			break;
		sim.now = item.at;
		handle_item(&sim, &item);
	}
	sim.ops->destroy(&sim);
	sim_clear(&sim);
	return true;
}

void replay_request_start(replay_sim_t *sim, replay_inflight_t *inflight)
{
	replay_executor_t *ex = &sim->executors[inflight->executor];
	bool fails = ex->mode == REPLAY_MODE_FAIL;

	if (++ex->busy_slots > ex->executor->slots)
		sim->result->slot_overruns++;
	if (!inflight->sent_at && inflight->service->class == GH_CLASS_LATENCY)
		g_array_append_val(
			sim->result->queue_wait.values,
			(gh_time_t){ sim->now - inflight->arrived_at });
	inflight->sent_at = sim->now;
	sim->waiting[inflight->service->department]--;
	sim->running[inflight->service->department]++;
	replay_heap_push(&sim->heap,
			 (replay_item_t){
				 .at = sim->now + EXECUTOR_RTT_USEC +
				       (fails ? FAILURE_DELAY_USEC :
						inflight->req->run_time),
				 .kind = SIM_REQUEST_END,
				 .data = inflight,
			 });
}

void replay_request_refuse(replay_sim_t *sim, replay_inflight_t *inflight,
			   gh_error_kind_t kind)
{
	sim->result->refused[kind]++;
	sim->waiting[inflight->service->department]--;
}

void replay_request_complete(replay_sim_t *sim, replay_inflight_t *inflight)
{
	replay_request_result_t *res = sim->result;
	gh_time_t response_time =
		sim->now - inflight->arrived_at + sim->trace->client_rtt;
	bool in_time = response_time <= inflight->req->timeout;

	res->completed++;
	if (in_time)
		res->in_time++;
	else
		res->late++;
	if (in_time && sim->now >= sim->trace->peak_from &&
	    sim->now < sim->trace->peak_to)
		res->peak_work_in_time += inflight->req->run_time;
	if (inflight->service->class == GH_CLASS_BATCH) {
		if (in_time && sim->now <= res->duration)
			res->batch_work += inflight->req->run_time;
	} else {
		g_array_append_val(res->latency.values, response_time);
		if (in_time && arrived_in_peak(sim, inflight))
			res->peak_in_time++;
	}
	sim->waiting[inflight->service->department]--;
}

void replay_request_schedule_wakeup(replay_sim_t *sim, gh_time_t at,
				    uint32_t subject, void *data)
{
	replay_heap_push(&sim->heap, (replay_item_t){
					     .at = at,
					     .kind = SIM_WAKEUP,
					     .subject = subject,
					     .data = data,
				     });
}

void replay_request_result_clear(replay_request_result_t *result)
{
	g_clear_pointer(&result->latency.values, g_array_unref);
	g_clear_pointer(&result->queue_wait.values, g_array_unref);
}

static void sim_init(replay_sim_t *sim)
{
	const gh_document_t *doc = sim->trace->doc;
	const GArray *events = sim->trace->events;
	replay_request_result_t *res = sim->result;
	size_t i;

	memset(res, 0, sizeof(*res));
	res->latency.values = g_array_new(FALSE, FALSE, sizeof(gh_time_t));
	res->queue_wait.values = g_array_new(FALSE, FALSE, sizeof(gh_time_t));
	if (events->len)
		res->duration =
			g_array_index(events, replay_event_t, events->len - 1)
				.at;
	replay_heap_init(&sim->heap);
	sim->requests = g_ptr_array_new_with_free_func(g_free);
	sim->executors = g_new0(replay_executor_t, doc->n_executors);
	sim->waiting = g_new0(unsigned, doc->n_departments);
	sim->running = g_new0(unsigned, doc->n_departments);
	for (i = 0; i < doc->n_executors; i++) {
		sim->executors[i].executor = &doc->executors[i];
		res->slots += doc->executors[i].slots;
	}
	replay_heap_push(&sim->heap,
			 (replay_item_t){ .at = SAMPLE_INTERVAL_USEC,
					  .kind = SIM_SAMPLE });
}

static void sim_clear(replay_sim_t *sim)
{
	size_t i;

	for (i = 0; i < sim->trace->doc->n_executors; i++)
		g_queue_clear(&sim->executors[i].queue);
	g_free(sim->executors);
	g_free(sim->waiting);
	g_free(sim->running);
	g_ptr_array_unref(sim->requests);
	replay_heap_clear(&sim->heap);
}

static void handle_trace_event(replay_sim_t *sim, const replay_event_t *event)
{
	if (event->kind == REPLAY_REQUEST)
		add_request(sim, event);
	else if (event->kind == REPLAY_EXECUTOR)
		sim->executors[event->host].mode = event->mode;
}

/* Adds a request of the trace to the simulation and passes it to the policy. */
static void add_request(replay_sim_t *sim, const replay_event_t *event)
{
	const gh_document_t *doc = sim->trace->doc;
	replay_inflight_t *inflight = g_new0(replay_inflight_t, 1);

	inflight->req = &event->request;
	inflight->service = &doc->services[event->request.service];
	inflight->arrived_at = event->at;
	inflight->deadline =
		event->at + event->request.timeout - sim->trace->client_rtt;
	inflight->executor = REPLAY_NO_EXECUTOR;
	g_ptr_array_add(sim->requests, inflight);
	sim->result->offered++;
	sim->waiting[inflight->service->department]++;
	if (inflight->service->class == GH_CLASS_LATENCY &&
	    arrived_in_peak(sim, inflight))
		sim->result->peak_offered++;
	sim->ops->handle_arrival(sim, inflight);
}

static void handle_item(replay_sim_t *sim, const replay_item_t *item)
{
	switch ((enum sim_event)item->kind) {
	case SIM_REQUEST_END:
		handle_request_end(sim, item->data);
		break;
	case SIM_WAKEUP:
		sim->ops->handle_wakeup(sim, item->subject, item->data);
		break;
	case SIM_SAMPLE:
		sample_guarantees(sim);
		break;
	}
}

static void handle_request_end(replay_sim_t *sim, replay_inflight_t *inflight)
{
	replay_executor_t *ex = &sim->executors[inflight->executor];
	gh_time_t elapsed = sim->now - inflight->sent_at;
	/*
	 * Only a failing executor ends a request before its run time has
	 * passed.
	 */
	bool failed = elapsed < inflight->req->run_time;

	ex->busy_slots--;
	sim->running[inflight->service->department]--;
	sim->waiting[inflight->service->department]++;
	sim->result->slot_time_used[inflight->service->department] += elapsed;
	sim->ops->handle_end(sim, inflight, failed);
}

/*
 * Takes one sample for each department with enough demand: counts the sample,
 * and whether the department uses less than 95 % of its guarantee.
 */
static void sample_guarantees(replay_sim_t *sim)
{
	size_t i;

	for (i = 0;
	     i < sim->trace->doc->n_departments && i < REPLAY_DEPARTMENTS_MAX;
	     i++) {
		unsigned guaranteed = guaranteed_slots(sim, i);

		if (sim->waiting[i] + sim->running[i] < guaranteed ||
		    !sim->waiting[i])
			continue;
		sim->result->samples_with_demand[i]++;
		if (sim->running[i] * 100 < guaranteed * 95)
			sim->result->samples_below_guarantee[i]++;
	}
	if (sim->now + SAMPLE_INTERVAL_USEC <= sim->result->duration)
		replay_heap_push(
			&sim->heap,
			(replay_item_t){ .at = sim->now + SAMPLE_INTERVAL_USEC,
					 .kind = SIM_SAMPLE });
}

static unsigned guaranteed_slots(const replay_sim_t *sim, size_t department)
{
	return sim->result->slots *
	       sim->trace->doc->departments[department].guarantee_percent / 100;
}

static bool arrived_in_peak(const replay_sim_t *sim,
			    const replay_inflight_t *inflight)
{
	return inflight->arrived_at >= sim->trace->peak_from &&
	       inflight->arrived_at < sim->trace->peak_to;
}
