#include "front_internal.h"

#include <stdlib.h>
#include <string.h>

#include "clock.h"
#include "counter.h"
#include "node.h"
#include "peer.h"

#define LOAN_SLOTS_WANTED 2 /* number of slots requested in one loan */
#define LOAN_CALL_TIMEOUT_MS 30
#define LOANS_PER_ROUND_MAX 4

/* Which of the borrowed slot loans to return to their lender. */
typedef enum loan_choice {
	LOANS_EXPIRED,
	LOANS_UNUSED,
	LOANS_ALL
} loan_choice_t;

static void on_claim(void *ctx, const peer_claim_args *args,
		     peer_claim_res *res);
static void on_release(void *ctx, const peer_release_args *args);
static void on_credit(void *ctx, const peer_credit_args *args,
		      peer_credit_res *res);
static void on_return(void *ctx, const peer_return_args *args);
static void on_heartbeat_fill(void *ctx, peer_heartbeat *beat);
static void on_heartbeat(void *ctx, const peer_heartbeat *beat);
static bool fill_loan_request(front_t *front, peer_credit_args *args,
			      char executor[GH_NAME_MAX + 1]);
static bool find_lender(front_t *front, char lender[GH_NAME_MAX + 1]);
static bool borrow_once(front_t *front);
static void return_loans(front_t *front, loan_choice_t choice);

void front_register_peer_handlers(front_t *front)
{
	static const peer_handlers_t handlers = {
		.claim = on_claim,
		.release = on_release,
		.credit = on_credit,
		.return_credit = on_return,
		.fill_heartbeat = on_heartbeat_fill,
		.handle_heartbeat = on_heartbeat,
	};

	peer_register(front->node->peer, &handlers, front);
}

void front_balance_credits(front_t *front)
{
	bool waiting;
	int i;

	pthread_mutex_lock(&front->core.lock);
	waiting = gh_queue_length(front->core.queue) > 0;
	pthread_mutex_unlock(&front->core.lock);
	return_loans(front, waiting ? LOANS_EXPIRED : LOANS_UNUSED);
	for (i = 0; i < LOANS_PER_ROUND_MAX && waiting; i++)
		waiting = borrow_once(front);
}

void front_return_loans(front_t *front)
{
	return_loans(front, LOANS_ALL);
}

static void on_claim(void *ctx, const peer_claim_args *args,
		     peer_claim_res *res)
{
	front_t *front = ctx;
	gh_document_t *doc = node_document(front->node);
	gh_claim_request_t claim = {
		.attempt_id = args->attempt_id,
		.holder = args->head.from,
		.generation = args->head.generation,
		.window_ms = args->window_ms,
	};
	const char *holder = NULL;
	gh_claim_status_t status;

	memcpy(claim.key.bytes, args->key, sizeof(claim.key.bytes));
	pthread_mutex_lock(&front->claim_lock);
	status = gh_claim_take_for_peer(front->claims, doc, &claim,
					clock_boot(), &holder);
	res->holder = strdup(holder ? holder : "");
	pthread_mutex_unlock(&front->claim_lock);
	res->status = (peer_claim_status)status;
	if (status == GH_CLAIM_GRANTED || status == GH_CLAIM_FORGOTTEN)
		counter_inc(CTR_CLAIM_REMOTE);
	if (doc)
		gh_document_unref(doc);
}

static void on_release(void *ctx, const peer_release_args *args)
{
	front_t *front = ctx;
	gh_claim_key_t key;

	memcpy(key.bytes, args->key, sizeof(key.bytes));
	pthread_mutex_lock(&front->claim_lock);
	gh_claim_release(front->claims, &key, args->attempt_id);
	pthread_mutex_unlock(&front->claim_lock);
}

static void on_credit(void *ctx, const peer_credit_args *args,
		      peer_credit_res *res)
{
	front_t *front = ctx;
	gh_credit_loan_request_t loan_request = {
		.executor = args->executor,
		.borrower = args->head.from,
		.generation = args->head.generation,
		.loan_id = args->loan_id,
		.wanted = args->want,
	};
	int64_t loan_ms = 0;

	pthread_mutex_lock(&front->core.lock);
	if (!gh_queue_length(front->core.queue) &&
	    !atomic_load(&front->draining))
		res->granted = gh_credit_lend(front->core.credit, &loan_request,
					      &loan_ms, clock_boot());
	pthread_mutex_unlock(&front->core.lock);
	res->loan_ms = (u_int)loan_ms;
	counter_add(CTR_CREDIT_LENT, res->granted);
}

static void on_return(void *ctx, const peer_return_args *args)
{
	front_t *front = ctx;

	pthread_mutex_lock(&front->core.lock);
	gh_credit_record_return(front->core.credit, args->head.from,
				args->loan_id, args->count);
	front_dispatch_queued(front);
	pthread_mutex_unlock(&front->core.lock);
}

static void on_heartbeat_fill(void *ctx, peer_heartbeat *beat)
{
	front_t *front = ctx;
	size_t queued;
	unsigned spare;

	beat->ready = front_ready(front);
	beat->leaving |= atomic_load(&front->draining);
	pthread_mutex_lock(&front->core.lock);
	queued = gh_queue_length(front->core.queue);
	spare = queued ? 0 : front_count_free_slots(front);
	pthread_mutex_unlock(&front->core.lock);
	beat->queued = (u_int)queued;
	beat->spare_latency = spare;
	beat->spare_batch = spare;
}

static void on_heartbeat(void *ctx, const peer_heartbeat *beat)
{
	front_t *front = ctx;

	pthread_mutex_lock(&front->core.lock);
	gh_credit_set_peer_generation(front->core.credit, beat->head.from,
				      beat->head.generation, clock_boot());
	pthread_mutex_unlock(&front->core.lock);
}

/*
 * Fills a loan request for an executor of this domain at which this host has no
 * free slot; the search starts at a random executor.  Returns false if there is
 * no such executor.
 */
static bool fill_loan_request(front_t *front, peer_credit_args *args,
			      char executor[GH_NAME_MAX + 1])
{
	front_core_t *core = &front->core;
	gh_time_t now = clock_boot();
	size_t n = core->doc ? core->doc->n_executors : 0;
	size_t start = n ? gh_route_random(&core->random_seed) % n : 0;
	size_t i;

	if (core->self == GH_HANDLE_NONE)
		return false;
	for (i = 0; i < n; i++) {
		const gh_executor_t *candidate =
			&core->doc->executors[(start + i) % n];
		gh_credit_view_t view;

		if (candidate->domain !=
			    core->doc->entries[core->self].domain ||
		    candidate->state != GH_HOST_ACTIVE ||
		    gh_executor_state(core->executors, candidate->name) !=
			    GH_EXECUTOR_IN_USE)
			continue;
		view = gh_credit_view(core->credit, candidate->name, now);
		if (view.free)
			continue;
		g_strlcpy(executor, candidate->name, GH_NAME_MAX + 1);
		args->executor = executor;
		args->want = LOAN_SLOTS_WANTED;
		args->loan_id = gh_route_random(&core->random_seed) | 1;
		return true;
	}
	return false;
}

/*
 * Finds the host of this domain that reports the most free slots.  Returns
 * false if none reports any, so that no call is made in vain.
 */
static bool find_lender(front_t *front, char lender[GH_NAME_MAX + 1])
{
	front_core_t *core = &front->core;
	const gh_document_t *doc = core->doc;
	unsigned max_spare = 0;
	size_t i;

	for (i = 0; i < doc->n_entries; i++) {
		const gh_entry_t *entry = &doc->entries[i];
		peer_view_t view = { 0 };

		if (i == core->self || entry->state == GH_HOST_GONE ||
		    entry->domain != doc->entries[core->self].domain ||
		    !peer_view(front->node->peer, entry->name, &view) ||
		    !view.alive || view.spare_latency <= max_spare)
			continue;
		max_spare = view.spare_latency;
		g_strlcpy(lender, entry->name, GH_NAME_MAX + 1);
	}
	return max_spare > 0;
}

/*
 * Requests one loan of slots from another host.  Returns whether to request
 * another loan: this one was granted and requests still wait.
 */
static bool borrow_once(front_t *front)
{
	front_core_t *core = &front->core;
	char executor[GH_NAME_MAX + 1];
	char lender[GH_NAME_MAX + 1];
	peer_credit_args args = { 0 };
	peer_credit_res res = { 0 };
	gh_credit_loan_t loan = { .executor = executor, .lender = lender };
	bool can_borrow;
	bool wants_more;

	pthread_mutex_lock(&core->lock);
	can_borrow = fill_loan_request(front, &args, executor) &&
		     find_lender(front, lender);
	loan.generation = core->doc ? core->doc->generation : 0;
	pthread_mutex_unlock(&core->lock);
	if (!can_borrow)
		return false;
	loan.requested_at = clock_boot();
	if (!peer_call_credit(front->node->peer, lender, &args, &res,
			      loan.requested_at +
				      gh_time_from_ms(LOAN_CALL_TIMEOUT_MS),
			      NULL))
		return false;
	loan.loan_id = args.loan_id;
	loan.count = res.granted;
	loan.loan_ms = res.loan_ms;
	xdr_free((xdrproc_t)xdr_peer_credit_res, (char *)&res);
	counter_add(CTR_CREDIT_BORROWED, loan.count);
	pthread_mutex_lock(&core->lock);
	gh_credit_record_loan(core->credit, &loan);
	front_dispatch_queued(front);
	wants_more = loan.count && gh_queue_length(core->queue) > 0;
	pthread_mutex_unlock(&core->lock);
	return wants_more;
}

static void return_loans(front_t *front, loan_choice_t choice)
{
	front_core_t *core = &front->core;
	gh_credit_return_t ret;
	bool found;

	do {
		peer_return_args args = { .executor = ret.executor };
		gh_time_t now = clock_boot();

		pthread_mutex_lock(&core->lock);
		if (choice == LOANS_EXPIRED)
			found = gh_credit_next_expired(core->credit, now, &ret);
		else
			found = gh_credit_next_return(
				core->credit, choice == LOANS_ALL, now, &ret);
		pthread_mutex_unlock(&core->lock);
		if (!found)
			break;
		args.loan_id = ret.loan_id;
		args.count = ret.count;
		peer_send_credit_return(front->node->peer, ret.lender, &args);
	} while (found);
}
