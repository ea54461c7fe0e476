/*
 * The decision core as a policy for requests: one set of queue, credits and
 * executor health for each entry host, behind a balancer that draws hosts
 * of the caller's domain at random.
 */
#include <string.h>

#include "core_executor.h"
#include "core_route.h"
#include "replay_request.h"

#define WARM_SPAN (3600 * GH_USEC_PER_SEC)
#define PEER_RTT 200 /* microseconds, between entry hosts of a domain */
#define TICK_SPAN (10 * GH_USEC_PER_MSEC)
#define LOAN_SLOTS 1

typedef struct core_host {
	const gh_entry_t *entry;
	gh_handle_t self;
	gh_queue_t *queue;
	gh_executor_table_t *health;
	gh_credit_t *credit;
	gh_retry_budget_t budget;
	GHashTable *by_ticket; /* gh_ticket_t to replay_flight_t */
	uint64_t seed;
	uint64_t loans;
	bool ticking;
} core_host_t;

typedef struct core_policy {
	core_host_t *hosts;
	size_t n_hosts;
	uint64_t seed;
} core_policy_t;

/* What can_run() needs. */
typedef struct core_view {
	replay_sim_t *sim;
	core_host_t *host;
} core_view_t;

static void *core_start(replay_sim_t *sim);
static void core_stop(replay_sim_t *sim);
static void core_arrive(replay_sim_t *sim, replay_flight_t *flight);
static void core_ended(replay_sim_t *sim, replay_flight_t *flight, bool failed);
static void core_wake(replay_sim_t *sim, uint32_t subject, void *data);
static void host_init(core_host_t *host, const gh_document_t *doc,
		      gh_handle_t self, uint64_t seed);
static core_host_t *draw_host(replay_sim_t *sim, gh_handle_t domain);
static void enter(replay_sim_t *sim, core_host_t *host,
		  replay_flight_t *flight);
static void pump(replay_sim_t *sim, core_host_t *host);
static void dispatch(replay_sim_t *sim, core_host_t *host,
		     replay_flight_t *flight);
static void retry(replay_sim_t *sim, core_host_t *host,
		  replay_flight_t *flight);
static bool can_run(void *ctx, const char *service, bool is_long);
static size_t list_choices(replay_sim_t *sim, core_host_t *host, bool is_long,
			   gh_route_candidate_t *choices);
static unsigned host_slots(replay_sim_t *sim, core_host_t *host);
static void ask_loans(replay_sim_t *sim, core_host_t *host);
static void ask_loan(replay_sim_t *sim, core_host_t *host,
		     const gh_executor_t *ex);
static void return_loans(replay_sim_t *sim, core_host_t *host);
static core_host_t *host_by_name(replay_sim_t *sim, const char *name);

const replay_request_ops_t replay_core_ops = {
	.start = core_start,
	.arrive = core_arrive,
	.ended = core_ended,
	.wake = core_wake,
	.stop = core_stop,
};

static void *core_start(replay_sim_t *sim)
{
	const gh_document_t *doc = sim->trace->doc;
	core_policy_t *policy = g_new0(core_policy_t, 1);
	size_t i;

	policy->hosts = g_new0(core_host_t, doc->n_entries);
	policy->n_hosts = doc->n_entries;
	policy->seed = sim->trace->seed;
	for (i = 0; i < doc->n_entries; i++)
		host_init(&policy->hosts[i], doc, (gh_handle_t)i,
			  sim->trace->seed + i);
	return policy;
}

static void core_stop(replay_sim_t *sim)
{
	core_policy_t *policy = sim->policy;
	size_t i;

	for (i = 0; i < policy->n_hosts; i++) {
		gh_queue_free(policy->hosts[i].queue);
		gh_executor_free(policy->hosts[i].health);
		gh_credit_free(policy->hosts[i].credit);
		g_hash_table_unref(policy->hosts[i].by_ticket);
	}
	g_free(policy->hosts);
	g_free(policy);
}

static void core_arrive(replay_sim_t *sim, replay_flight_t *flight)
{
	core_host_t *host = draw_host(sim, flight->req->domain);

	flight->host = host->self;
	flight->retry.idempotent = flight->req->idempotent;
	flight->retry.deadline = flight->deadline;
	enter(sim, host, flight);
	pump(sim, host);
}

static void core_ended(replay_sim_t *sim, replay_flight_t *flight, bool failed)
{
	core_policy_t *policy = sim->policy;
	core_host_t *host = &policy->hosts[flight->host];
	const char *name = sim->executors[flight->executor].executor->name;
	gh_time_t run = sim->now - flight->sent;

	gh_credit_done(host->credit, flight->hold);
	gh_queue_complete(host->queue, flight->ticket, failed ? 0 : run);
	g_hash_table_remove(host->by_ticket, &flight->ticket);
	if (failed) {
		gh_executor_response_failed(host->health, name, flight->is_long,
					    sim->now);
		retry(sim, host, flight);
	} else {
		gh_executor_request_ended(host->health, name, flight->is_long,
					  GH_SEND_COMPLETED, run, sim->now);
		gh_retry_succeeded(&host->budget, &sim->trace->doc->policy);
		replay_request_answer(sim, flight);
	}
	pump(sim, host);
}

static void core_wake(replay_sim_t *sim, uint32_t subject, void *data)
{
	core_policy_t *policy = sim->policy;
	core_host_t *host = &policy->hosts[subject];
	gh_credit_loan_t *loan = data;

	if (loan) {
		gh_credit_record_loan(host->credit, loan);
		g_free(loan);
	} else {
		host->ticking = false;
		return_loans(sim, host);
	}
	pump(sim, host);
}

static void host_init(core_host_t *host, const gh_document_t *doc,
		      gh_handle_t self, uint64_t seed)
{
	size_t i;

	host->entry = &doc->entries[self];
	host->self = self;
	host->seed = seed;
	host->queue = gh_queue_new();
	host->health = gh_executor_new();
	host->credit = gh_credit_new(host->entry->name, -2 * WARM_SPAN);
	host->by_ticket = g_hash_table_new_full(g_int64_hash, g_int64_equal,
						g_free, NULL);
	gh_retry_budget_init(&host->budget);
	gh_queue_apply_document(host->queue, doc);
	gh_executor_apply(host->health, doc, host->entry->domain);
	gh_credit_apply(host->credit, doc, -WARM_SPAN);
	for (i = 0; i < doc->n_entries; i++)
		if (i != self)
			gh_credit_set_peer_generation(
				host->credit, doc->entries[i].name,
				doc->generation, -WARM_SPAN);
}

static core_host_t *draw_host(replay_sim_t *sim, gh_handle_t domain)
{
	core_policy_t *policy = sim->policy;
	size_t i = gh_route_random(&policy->seed) % policy->n_hosts;

	while (policy->hosts[i].entry->domain != domain)
		i = (i + 1) % policy->n_hosts;
	return &policy->hosts[i];
}

static void enter(replay_sim_t *sim, core_host_t *host, replay_flight_t *flight)
{
	const char *service = flight->service->name;
	gh_error_kind_t kind;
	int64_t retry_ms;

	if (!gh_queue_admit(host->queue, service, host_slots(sim, host),
			    flight->deadline, sim->now, &kind, &retry_ms)) {
		replay_request_refuse(sim, flight, kind);
		return;
	}
	flight->ticket =
		gh_queue_push(host->queue, service, flight->deadline, sim->now);
	g_hash_table_replace(host->by_ticket,
			     g_memdup2(&flight->ticket, sizeof(gh_ticket_t)),
			     flight);
}

static void pump(replay_sim_t *sim, core_host_t *host)
{
	core_view_t view = { .sim = sim, .host = host };
	unsigned slots = host_slots(sim, host);
	gh_ticket_t ticket;

	while ((ticket = gh_queue_remove_infeasible(host->queue, sim->now))) {
		replay_flight_t *flight =
			g_hash_table_lookup(host->by_ticket, &ticket);

		g_hash_table_remove(host->by_ticket, &ticket);
		replay_request_refuse(sim, flight, GH_E_HOPELESS);
	}
	while ((ticket = gh_queue_dispatch_next(host->queue, slots, can_run,
						&view, sim->now)))
		dispatch(sim, host,
			 g_hash_table_lookup(host->by_ticket, &ticket));
	if (!gh_queue_length(host->queue))
		return;
	ask_loans(sim, host);
	if (!host->ticking)
		replay_request_wake(sim, sim->now + TICK_SPAN, host->self,
				    NULL);
	host->ticking = true;
}

static void dispatch(replay_sim_t *sim, core_host_t *host,
		     replay_flight_t *flight)
{
	gh_route_candidate_t choices[UINT8_MAX];
	const char *name;
	size_t n;
	size_t i;

	flight->is_long = gh_queue_is_long(host->queue, flight->service->name);
	n = list_choices(sim, host, flight->is_long, choices);
	i = gh_route_pick_executor(choices, n, &host->seed);
	flight->executor = choices[i].executor;
	name = sim->executors[flight->executor].executor->name;
	flight->hold = gh_credit_take(host->credit, name, sim->now);
	gh_executor_request_sent(host->health, name, flight->is_long);
	replay_request_run(sim, flight);
}

static void retry(replay_sim_t *sim, core_host_t *host, replay_flight_t *flight)
{
	gh_error_kind_t kind;

	if (gh_retry_decide(&host->budget, &flight->retry,
			    &sim->trace->doc->policy, GH_SEND_RESET, sim->now,
			    &kind) != GH_RETRY_AGAIN) {
		replay_request_refuse(sim, flight, kind);
		return;
	}
	sim->result->retries++;
	enter(sim, host, flight);
}

static bool can_run(void *ctx, const char *service, bool is_long)
{
	core_view_t *view = ctx;
	gh_route_candidate_t choices[UINT8_MAX];

	(void)service;
	return list_choices(view->sim, view->host, is_long, choices) > 0;
}

static size_t list_choices(replay_sim_t *sim, core_host_t *host, bool is_long,
			   gh_route_candidate_t *choices)
{
	size_t n = 0;
	uint32_t i;

	for (i = 0; i < sim->trace->doc->n_executors && n < UINT8_MAX; i++) {
		const gh_executor_t *ex = sim->executors[i].executor;
		gh_credit_view_t view;

		if (ex->domain != host->entry->domain)
			continue;
		view = gh_credit_view(host->credit, ex->name, sim->now);
		if (!view.free ||
		    !gh_executor_is_available(host->health, ex->name, is_long,
					      view.usable + view.borrowed,
					      sim->now))
			continue;
		choices[n++] = (gh_route_candidate_t){
			.executor = (gh_handle_t)i,
			.wait = gh_executor_expected_wait(host->health,
							  ex->name),
		};
	}
	return n;
}

static unsigned host_slots(replay_sim_t *sim, core_host_t *host)
{
	unsigned slots = 0;
	uint32_t i;

	for (i = 0; i < sim->trace->doc->n_executors; i++) {
		const gh_executor_t *ex = sim->executors[i].executor;
		gh_credit_view_t view;

		if (ex->domain != host->entry->domain)
			continue;
		view = gh_credit_view(host->credit, ex->name, sim->now);
		slots += view.usable + view.borrowed;
	}
	return slots;
}

static void ask_loans(replay_sim_t *sim, core_host_t *host)
{
	uint32_t i;

	for (i = 0; i < sim->trace->doc->n_executors; i++) {
		const gh_executor_t *ex = sim->executors[i].executor;

		if (ex->domain == host->entry->domain &&
		    !gh_credit_view(host->credit, ex->name, sim->now).free)
			ask_loan(sim, host, ex);
	}
}

/* The answer arrives later; nothing else changes hands meanwhile. */
static void ask_loan(replay_sim_t *sim, core_host_t *host,
		     const gh_executor_t *ex)
{
	core_policy_t *policy = sim->policy;
	size_t i;

	for (i = 0; i < policy->n_hosts; i++) {
		core_host_t *peer = &policy->hosts[i];
		gh_credit_loan_request_t ask = {
			.executor = ex->name,
			.borrower = host->entry->name,
			.generation = sim->trace->doc->generation,
			.loan_id = ((uint64_t)host->self << 48) + ++host->loans,
			.wanted = LOAN_SLOTS,
		};
		gh_credit_loan_t loan = {
			.executor = ex->name,
			.lender = peer->entry->name,
			.generation = ask.generation,
			.loan_id = ask.loan_id,
			.requested_at = sim->now,
		};

		if (peer == host || peer->entry->domain != ex->domain ||
		    gh_queue_length(peer->queue))
			continue;
		loan.count = gh_credit_lend(peer->credit, &ask, &loan.loan_ms,
					    sim->now);
		if (!loan.count)
			continue;
		replay_request_wake(sim, sim->now + PEER_RTT, host->self,
				    g_memdup2(&loan, sizeof(loan)));
	}
}

static void return_loans(replay_sim_t *sim, core_host_t *host)
{
	gh_credit_return_t ret;

	while (gh_credit_next_return(host->credit, false, sim->now, &ret))
		gh_credit_record_return(host_by_name(sim, ret.lender)->credit,
					host->entry->name, ret.loan_id,
					ret.count);
}

static core_host_t *host_by_name(replay_sim_t *sim, const char *name)
{
	core_policy_t *policy = sim->policy;
	size_t i = 0;

	while (strcmp(policy->hosts[i].entry->name, name) != 0)
		i++;
	return &policy->hosts[i];
}
