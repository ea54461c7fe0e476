/*
 * Policy for requests that uses the decision core: each entry host has its
 * own queue, credits and executor health, and a balancer sends each request
 * to a random entry host of the caller's domain.
 */
#include <string.h>

#include "core_executor.h"
#include "core_route.h"
#include "replay_request.h"

/*
 * Time before the trace at which the document came into force; longer than the
 * settle time of credits, so that all shares are usable from the start.
 */
#define SETTLED_AGE_USEC (3600 * GH_USEC_PER_SEC)
#define PEER_RTT_USEC 200 /* round trip between entry hosts of a domain */
#define TICK_INTERVAL_USEC (10 * GH_USEC_PER_MSEC)
#define SLOTS_PER_LOAN 1

/* A simulated entry host. */
typedef struct core_host {
	const gh_entry_t *entry;
	gh_handle_t index;
	gh_queue_t *queue;
	gh_executor_table_t *health;
	gh_credit_t *credit;
	gh_retry_budget_t budget;
	/* Queued requests: gh_ticket_t to replay_inflight_t. */
	GHashTable *inflight_by_ticket;
	uint64_t seed;
	/* Number of loans requested so far, for unique loan ids. */
	uint64_t loan_count;
	bool tick_scheduled;
} core_host_t;

typedef struct core_policy {
	core_host_t *hosts;
	size_t n_hosts;
	uint64_t seed;
} core_policy_t;

/* Argument that can_run() gets from the queue. */
typedef struct dispatch_context {
	replay_sim_t *sim;
	core_host_t *host;
} dispatch_context_t;

static void *core_create(replay_sim_t *sim);
static void core_destroy(replay_sim_t *sim);
static void core_handle_arrival(replay_sim_t *sim, replay_inflight_t *inflight);
static void core_handle_end(replay_sim_t *sim, replay_inflight_t *inflight,
			    bool failed);
static void core_handle_wakeup(replay_sim_t *sim, uint32_t subject, void *data);
static void host_init(core_host_t *host, const gh_document_t *doc,
		      gh_handle_t index, uint64_t seed);
static core_host_t *pick_host(replay_sim_t *sim, gh_handle_t domain);
static void enqueue(replay_sim_t *sim, core_host_t *host,
		    replay_inflight_t *inflight);
static void dispatch_queued(replay_sim_t *sim, core_host_t *host);
static void dispatch(replay_sim_t *sim, core_host_t *host,
		     replay_inflight_t *inflight);
static void retry(replay_sim_t *sim, core_host_t *host,
		  replay_inflight_t *inflight);
static bool can_run(void *ctx, const char *service, bool is_long);
static size_t list_candidates(replay_sim_t *sim, core_host_t *host,
			      bool is_long, gh_route_candidate_t *candidates);
static unsigned usable_slots(replay_sim_t *sim, core_host_t *host);
static void request_loans(replay_sim_t *sim, core_host_t *host);
static void request_loan(replay_sim_t *sim, core_host_t *host,
			 const gh_executor_t *ex);
static void return_loans(replay_sim_t *sim, core_host_t *host);
static core_host_t *find_host(replay_sim_t *sim, const char *name);

const replay_request_ops_t replay_core_ops = {
	.create = core_create,
	.handle_arrival = core_handle_arrival,
	.handle_end = core_handle_end,
	.handle_wakeup = core_handle_wakeup,
	.destroy = core_destroy,
};

static void *core_create(replay_sim_t *sim)
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

static void core_destroy(replay_sim_t *sim)
{
	core_policy_t *policy = sim->policy_state;
	size_t i;

	for (i = 0; i < policy->n_hosts; i++) {
		gh_queue_free(policy->hosts[i].queue);
		gh_executor_free(policy->hosts[i].health);
		gh_credit_free(policy->hosts[i].credit);
		g_hash_table_unref(policy->hosts[i].inflight_by_ticket);
	}
	g_free(policy->hosts);
	g_free(policy);
}

static void core_handle_arrival(replay_sim_t *sim, replay_inflight_t *inflight)
{
	core_host_t *host = pick_host(sim, inflight->req->domain);

	inflight->host = host->index;
	inflight->retry.idempotent = inflight->req->idempotent;
	inflight->retry.deadline = inflight->deadline;
	enqueue(sim, host, inflight);
	dispatch_queued(sim, host);
}

static void core_handle_end(replay_sim_t *sim, replay_inflight_t *inflight,
			    bool failed)
{
	core_policy_t *policy = sim->policy_state;
	core_host_t *host = &policy->hosts[inflight->host];
	const char *name = sim->executors[inflight->executor].executor->name;
	gh_time_t run = sim->now - inflight->sent_at;

	gh_credit_done(host->credit, inflight->hold);
	gh_queue_complete(host->queue, inflight->ticket, failed ? 0 : run);
	g_hash_table_remove(host->inflight_by_ticket, &inflight->ticket);
	if (failed) {
		gh_executor_response_failed(host->health, name,
					    inflight->is_long, sim->now);
		retry(sim, host, inflight);
	} else {
		gh_executor_request_ended(host->health, name, inflight->is_long,
					  GH_SEND_COMPLETED, run, sim->now);
		gh_retry_succeeded(&host->budget, &sim->trace->doc->policy);
		replay_request_complete(sim, inflight);
	}
	dispatch_queued(sim, host);
}

/* Handles the arrival of a loan, or the periodic tick if data is NULL. */
static void core_handle_wakeup(replay_sim_t *sim, uint32_t subject, void *data)
{
	core_policy_t *policy = sim->policy_state;
	core_host_t *host = &policy->hosts[subject];
	gh_credit_loan_t *loan = data;

	if (loan) {
		gh_credit_record_loan(host->credit, loan);
		g_free(loan);
	} else {
		host->tick_scheduled = false;
		return_loans(sim, host);
	}
	dispatch_queued(sim, host);
}

static void host_init(core_host_t *host, const gh_document_t *doc,
		      gh_handle_t index, uint64_t seed)
{
	size_t i;

	host->entry = &doc->entries[index];
	host->index = index;
	host->seed = seed;
	host->queue = gh_queue_new();
	host->health = gh_executor_new();
	host->credit = gh_credit_new(host->entry->name, -2 * SETTLED_AGE_USEC);
	host->inflight_by_ticket = g_hash_table_new_full(
		g_int64_hash, g_int64_equal, g_free, NULL);
	gh_retry_budget_init(&host->budget);
	gh_queue_apply_document(host->queue, doc);
	gh_executor_apply(host->health, doc, host->entry->domain);
	gh_credit_apply(host->credit, doc, -SETTLED_AGE_USEC);
	for (i = 0; i < doc->n_entries; i++)
		if (i != index)
			gh_credit_set_peer_generation(
				host->credit, doc->entries[i].name,
				doc->generation, -SETTLED_AGE_USEC);
}

static core_host_t *pick_host(replay_sim_t *sim, gh_handle_t domain)
{
	core_policy_t *policy = sim->policy_state;
	size_t i = gh_route_random(&policy->seed) % policy->n_hosts;

	while (policy->hosts[i].entry->domain != domain)
		i = (i + 1) % policy->n_hosts;
	return &policy->hosts[i];
}

static void enqueue(replay_sim_t *sim, core_host_t *host,
		    replay_inflight_t *inflight)
{
	const char *service = inflight->service->name;
	gh_error_kind_t kind;
	int64_t retry_ms;

	if (!gh_queue_admit(host->queue, service, usable_slots(sim, host),
			    inflight->deadline, sim->now, &kind, &retry_ms)) {
		replay_request_refuse(sim, inflight, kind);
		return;
	}
	inflight->ticket = gh_queue_push(host->queue, service,
					 inflight->deadline, sim->now);
	g_hash_table_replace(host->inflight_by_ticket,
			     g_memdup2(&inflight->ticket, sizeof(gh_ticket_t)),
			     inflight);
}

/*
 * Refuses infeasible requests in the queue of a host, dispatches others and
 * requests loans of slots.
 */
static void dispatch_queued(replay_sim_t *sim, core_host_t *host)
{
	dispatch_context_t context = { .sim = sim, .host = host };
	unsigned slots = usable_slots(sim, host);
	gh_ticket_t ticket;

	while ((ticket = gh_queue_remove_infeasible(host->queue, sim->now))) {
		replay_inflight_t *inflight =
			g_hash_table_lookup(host->inflight_by_ticket, &ticket);

		g_hash_table_remove(host->inflight_by_ticket, &ticket);
		replay_request_refuse(sim, inflight, GH_E_DEADLINE_INFEASIBLE);
	}
	while ((ticket = gh_queue_dispatch_next(host->queue, slots, can_run,
						&context, sim->now)))
		dispatch(
			sim, host,
			g_hash_table_lookup(host->inflight_by_ticket, &ticket));
	if (!gh_queue_length(host->queue))
		return;
	request_loans(sim, host);
	if (!host->tick_scheduled)
		replay_request_schedule_wakeup(
			sim, sim->now + TICK_INTERVAL_USEC, host->index, NULL);
	host->tick_scheduled = true;
}

static void dispatch(replay_sim_t *sim, core_host_t *host,
		     replay_inflight_t *inflight)
{
	gh_route_candidate_t candidates[UINT8_MAX];
	const char *name;
	size_t n;
	size_t i;

	inflight->is_long =
		gh_queue_is_long(host->queue, inflight->service->name);
	n = list_candidates(sim, host, inflight->is_long, candidates);
	i = gh_route_pick_executor(candidates, n, &host->seed);
	inflight->executor = candidates[i].executor;
	name = sim->executors[inflight->executor].executor->name;
	inflight->hold = gh_credit_take(host->credit, name, sim->now);
	gh_executor_request_sent(host->health, name, inflight->is_long);
	replay_request_start(sim, inflight);
}

static void retry(replay_sim_t *sim, core_host_t *host,
		  replay_inflight_t *inflight)
{
	gh_error_kind_t kind;

	if (gh_retry_decide(&host->budget, &inflight->retry,
			    &sim->trace->doc->policy, GH_SEND_RESET, sim->now,
			    &kind) != GH_RETRY_AGAIN) {
		replay_request_refuse(sim, inflight, kind);
		return;
	}
	sim->result->retries++;
	enqueue(sim, host, inflight);
}

static bool can_run(void *ctx, const char *service, bool is_long)
{
	dispatch_context_t *context = ctx;
	gh_route_candidate_t candidates[UINT8_MAX];

	(void)service;
	return list_candidates(context->sim, context->host, is_long,
			       candidates) > 0;
}

/*
 * Lists the executors of the host's domain to which the host may send a request
 * now, at most UINT8_MAX; returns their number.
 */
static size_t list_candidates(replay_sim_t *sim, core_host_t *host,
			      bool is_long, gh_route_candidate_t *candidates)
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
		candidates[n++] = (gh_route_candidate_t){
			.executor = (gh_handle_t)i,
			.wait = gh_executor_expected_wait(host->health,
							  ex->name),
		};
	}
	return n;
}

/* Slots that the host may use on all executors, borrowed ones included. */
static unsigned usable_slots(replay_sim_t *sim, core_host_t *host)
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

static void request_loans(replay_sim_t *sim, core_host_t *host)
{
	uint32_t i;

	for (i = 0; i < sim->trace->doc->n_executors; i++) {
		const gh_executor_t *ex = sim->executors[i].executor;

		if (ex->domain == host->entry->domain &&
		    !gh_credit_view(host->credit, ex->name, sim->now).free)
			request_loan(sim, host, ex);
	}
}

/*
 * Borrows slots from the hosts of the domain whose queue is empty.  The lender
 * grants a loan at once; the borrower learns of it after a round trip.
 */
static void request_loan(replay_sim_t *sim, core_host_t *host,
			 const gh_executor_t *ex)
{
	core_policy_t *policy = sim->policy_state;
	size_t i;

	for (i = 0; i < policy->n_hosts; i++) {
		core_host_t *peer = &policy->hosts[i];
		gh_credit_loan_request_t request = {
			.executor = ex->name,
			.borrower = host->entry->name,
			.generation = sim->trace->doc->generation,
			.loan_id = ((uint64_t)host->index << 48) +
				   ++host->loan_count,
			.wanted = SLOTS_PER_LOAN,
		};
		gh_credit_loan_t loan = {
			.executor = ex->name,
			.lender = peer->entry->name,
			.generation = request.generation,
			.loan_id = request.loan_id,
			.requested_at = sim->now,
		};

		if (peer == host || peer->entry->domain != ex->domain ||
		    gh_queue_length(peer->queue))
			continue;
		loan.count = gh_credit_lend(peer->credit, &request,
					    &loan.loan_ms, sim->now);
		if (!loan.count)
			continue;
		replay_request_schedule_wakeup(sim, sim->now + PEER_RTT_USEC,
					       host->index,
					       g_memdup2(&loan, sizeof(loan)));
	}
}

static void return_loans(replay_sim_t *sim, core_host_t *host)
{
	gh_credit_return_t ret;

	while (gh_credit_next_return(host->credit, false, sim->now, &ret))
		gh_credit_record_return(find_host(sim, ret.lender)->credit,
					host->entry->name, ret.loan_id,
					ret.count);
}

static core_host_t *find_host(replay_sim_t *sim, const char *name)
{
	core_policy_t *policy = sim->policy_state;
	size_t i = 0;

	while (strcmp(policy->hosts[i].entry->name, name) != 0)
		i++;
	return &policy->hosts[i];
}
