#include "front_internal.h"

#include <stdlib.h>
#include <string.h>

#include "clock.h"
#include "counter.h"
#include "log.h"
#include "node.h"
#include "peer.h"

/* Lowest HTTP status that counts as a failure of the executor. */
#define FAILED_STATUS_MIN 500

static void apply_document(front_t *front, gh_document_t *doc);
static bool has_free_executor(void *ctx, const char *service, bool is_long);
static size_t find_candidates(front_t *front, const char *service, bool is_long,
			      const char *avoid_executor,
			      size_t max_candidates);
static bool serves_service(const gh_executor_t *executor, gh_handle_t service);
static void wake_infeasible(front_t *front, gh_time_t now);
static void assign_executor(front_t *front, gh_ticket_t ticket, gh_time_t now);
static unsigned count_slots(front_t *front, gh_handle_t service,
			    bool free_only);
static bool wait_for_dispatch(front_t *front, front_wait_t *wait,
			      gh_time_t deadline);
static void report_state_change(const char *executor,
				gh_executor_change_t change);
static gint64 *new_ticket_key(gh_ticket_t ticket);

void front_core_init(front_core_t *core, const node_t *node)
{
	pthread_mutex_init(&core->lock, NULL);
	core->self = GH_HANDLE_NONE;
	core->queue = gh_queue_new();
	core->credit = gh_credit_new(node->settings->name, node->started);
	core->executors = gh_executor_new();
	gh_retry_budget_init(&core->retry_budget);
	core->waiting = g_hash_table_new_full(g_int64_hash, g_int64_equal,
					      g_free, NULL);
	core->spills_in_flight =
		g_hash_table_new_full(g_str_hash, g_str_equal, g_free, g_free);
	core->random_seed =
		(uint64_t)clock_real() ^ g_str_hash(node->settings->name);
}

void front_core_clear(front_core_t *core)
{
	gh_queue_free(core->queue);
	gh_credit_free(core->credit);
	gh_executor_free(core->executors);
	g_hash_table_unref(core->waiting);
	g_hash_table_unref(core->spills_in_flight);
	g_free(core->candidates);
	if (core->doc)
		gh_document_unref(core->doc);
	pthread_mutex_destroy(&core->lock);
}

void front_update_document(front_t *front)
{
	gh_document_t *doc = node_document(front->node);

	if (!doc)
		return;
	if (!front->core.doc || doc->generation > front->core.doc->generation)
		apply_document(front, doc);
	else
		gh_document_unref(doc);
}

void front_update_usable_slots(front_t *front)
{
	front->core.usable_slots = count_slots(front, GH_HANDLE_NONE, false);
}

void front_dispatch_queued(front_t *front)
{
	front_core_t *core = &front->core;
	gh_time_t now = clock_boot();
	gh_ticket_t ticket;

	if (!core->doc)
		return;
	wake_infeasible(front, now);
	while ((ticket = gh_queue_dispatch_next(core->queue, core->usable_slots,
						has_free_executor, front,
						now)) != GH_NO_TICKET)
		assign_executor(front, ticket, now);
}

bool front_admit(front_t *front, const front_request_t *req,
		 gh_error_kind_t *refusal, int64_t *retry_after_ms)
{
	front_core_t *core = &front->core;
	gh_time_t now = clock_boot();
	gh_handle_t service;
	unsigned slots;
	bool ok;

	pthread_mutex_lock(&core->lock);
	front_update_document(front);
	service = gh_document_service(core->doc, req->service);
	slots = service == GH_HANDLE_NONE ? 0 :
					    count_slots(front, service, false);
	ok = gh_queue_admit(core->queue, req->service, slots,
			    req->retry.deadline, now, refusal, retry_after_ms);
	if (ok && !slots) {
		*refusal = GH_E_NO_EXECUTOR;
		*retry_after_ms = core->doc->policy.eject_ms;
		ok = false;
	}
	pthread_mutex_unlock(&core->lock);
	return ok;
}

bool front_await_dispatch(front_t *front, front_request_t *req,
			  front_wait_t *wait, gh_error_kind_t *refusal)
{
	front_core_t *core = &front->core;
	gh_time_t now = clock_boot();
	bool dispatched;

	pthread_mutex_lock(&core->lock);
	*refusal = GH_E_NO_SERVICE;
	wait->ticket = gh_queue_push(core->queue, req->service,
				     req->retry.deadline, now);
	if (wait->ticket == GH_NO_TICKET) {
		pthread_mutex_unlock(&core->lock);
		return false;
	}
	g_hash_table_insert(core->waiting, new_ticket_key(wait->ticket), wait);
	front_dispatch_queued(front);
	if (wait->state == FRONT_WAITING)
		counter_inc(CTR_REQ_QUEUED);
	dispatched = wait_for_dispatch(front, wait, req->retry.deadline);
	*refusal = wait->state == FRONT_INFEASIBLE ? GH_E_DEADLINE_INFEASIBLE :
						     GH_E_DEADLINE;
	pthread_mutex_unlock(&core->lock);
	return dispatched;
}

void front_finish_send(front_t *front, front_wait_t *wait,
		       gh_send_result_t result, int status)
{
	front_core_t *core = &front->core;
	gh_time_t now = clock_boot();
	gh_time_t run_time = MAX(now - wait->sent_at, 1);
	bool failed =
		result == GH_SEND_COMPLETED && status >= FAILED_STATUS_MIN;
	gh_executor_change_t change;

	pthread_mutex_lock(&core->lock);
	if (result == GH_SEND_COMPLETED || result == GH_SEND_REFUSED ||
	    result == GH_SEND_UNSENT)
		gh_credit_done(core->credit, wait->credit_hold);
	if (failed)
		change = gh_executor_response_failed(
			core->executors, wait->executor, wait->is_long, now);
	else
		change = gh_executor_request_ended(
			core->executors, wait->executor, wait->is_long, result,
			run_time, now);
	if (result != GH_SEND_COMPLETED || failed)
		run_time = 0;
	gh_queue_complete(core->queue, wait->ticket, run_time);
	front_dispatch_queued(front);
	pthread_mutex_unlock(&core->lock);
	report_state_change(wait->executor, change);
}

unsigned front_count_free_slots(front_t *front)
{
	return count_slots(front, GH_HANDLE_NONE, true);
}

static void apply_document(front_t *front, gh_document_t *doc)
{
	front_core_t *core = &front->core;
	gh_time_t now = clock_boot();

	if (core->doc)
		gh_document_unref(core->doc);
	core->doc = doc;
	core->self = gh_document_entry(doc, front->node->settings->name);
	g_free(core->candidates);
	core->candidates = g_new0(gh_route_candidate_t, doc->n_executors + 1);
	gh_queue_apply_document(core->queue, doc);
	gh_credit_apply(core->credit, doc, now);
	gh_executor_apply(core->executors, doc,
			  core->self == GH_HANDLE_NONE ?
				  GH_HANDLE_NONE :
				  doc->entries[core->self].domain);
	core->usable_slots = count_slots(front, GH_HANDLE_NONE, false);
	pthread_mutex_lock(&front->claim_lock);
	gh_claim_set_policy(front->claims, (size_t)doc->policy.claim_max,
			    front_claim_window_ms(doc), now);
	pthread_mutex_unlock(&front->claim_lock);
}

static bool has_free_executor(void *ctx, const char *service, bool is_long)
{
	return find_candidates(ctx, service, is_long, NULL, 1) > 0;
}

/*
 * Writes the executors that can take a request now to core->candidates, at most
 * max_candidates of them, and returns their number.  The executor
 * avoid_executor is left out; NULL leaves out none.
 */
static size_t find_candidates(front_t *front, const char *service, bool is_long,
			      const char *avoid_executor, size_t max_candidates)
{
	front_core_t *core = &front->core;
	const gh_document_t *doc = core->doc;
	gh_handle_t handle = gh_document_service(doc, service);
	gh_time_t now = clock_boot();
	size_t n = 0;
	size_t i;

	if (handle == GH_HANDLE_NONE || core->self == GH_HANDLE_NONE)
		return 0;
	for (i = 0; i < doc->n_executors && n < max_candidates; i++) {
		const gh_executor_t *executor = &doc->executors[i];
		gh_credit_view_t view;

		if (executor->domain != doc->entries[core->self].domain ||
		    !serves_service(executor, handle) ||
		    (avoid_executor && !strcmp(avoid_executor, executor->name)))
			continue;
		view = gh_credit_view(core->credit, executor->name, now);
		if (!view.free ||
		    !gh_executor_is_available(core->executors, executor->name,
					      is_long,
					      view.usable + view.borrowed, now))
			continue;
		core->candidates[n++] = (gh_route_candidate_t){
			.executor = (gh_handle_t)i,
			.wait = gh_executor_expected_wait(core->executors,
							  executor->name),
		};
	}
	return n;
}

/*
 * Whether an executor serves a service; GH_HANDLE_NONE stands for any service.
 */
static bool serves_service(const gh_executor_t *executor, gh_handle_t service)
{
	size_t i;

	if (executor->state != GH_HOST_ACTIVE)
		return false;
	if (!executor->services || service == GH_HANDLE_NONE)
		return true;
	for (i = 0; i < executor->n_services; i++)
		if (executor->services[i] == service)
			return true;
	return false;
}

/* Ends the wait of queued requests that can no longer meet their deadline. */
static void wake_infeasible(front_t *front, gh_time_t now)
{
	front_core_t *core = &front->core;
	gh_ticket_t ticket;

	while ((ticket = gh_queue_remove_infeasible(core->queue, now)) !=
	       GH_NO_TICKET) {
		front_wait_t *wait =
			g_hash_table_lookup(core->waiting, &ticket);

		wait->state = FRONT_INFEASIBLE;
		g_hash_table_remove(core->waiting, &ticket);
		pthread_cond_signal(&wait->state_changed);
	}
}

static void assign_executor(front_t *front, gh_ticket_t ticket, gh_time_t now)
{
	front_core_t *core = &front->core;
	front_wait_t *wait = g_hash_table_lookup(core->waiting, &ticket);
	const gh_executor_t *executor;
	size_t n;

	wait->is_long = gh_queue_is_long(core->queue, wait->service);
	n = find_candidates(front, wait->service, wait->is_long,
			    wait->avoid_executor, SIZE_MAX);
	if (!n)
		n = find_candidates(front, wait->service, wait->is_long, NULL,
				    SIZE_MAX);
	executor = &core->doc->executors
			    [core->candidates[gh_route_pick_executor(
						      core->candidates, n,
						      &core->random_seed)]
				     .executor];
	g_strlcpy(wait->executor, executor->name, sizeof(wait->executor));
	g_strlcpy(wait->address, executor->address, sizeof(wait->address));
	wait->connection_share = gh_credit_connection_share(
		core->doc, core->self,
		gh_document_executor(core->doc, executor->name));
	wait->credit_hold = gh_credit_take(core->credit, executor->name, now);
	wait->sent_at = now;
	gh_executor_request_sent(core->executors, executor->name,
				 wait->is_long);
	wait->state = FRONT_DISPATCHED;
	g_hash_table_remove(core->waiting, &ticket);
	pthread_cond_signal(&wait->state_changed);
}

/*
 * Counts the slots that this host may use at the executors that serve the
 * service, borrowed ones included; if free_only is set, counts only the slots
 * that are not taken.
 */
static unsigned count_slots(front_t *front, gh_handle_t service, bool free_only)
{
	front_core_t *core = &front->core;
	const gh_document_t *doc = core->doc;
	gh_time_t now = clock_boot();
	unsigned n = 0;
	size_t i;

	if (!doc || core->self == GH_HANDLE_NONE)
		return 0;
	for (i = 0; i < doc->n_executors; i++) {
		const gh_executor_t *executor = &doc->executors[i];
		gh_credit_view_t view;

		if (executor->domain != doc->entries[core->self].domain ||
		    !serves_service(executor, service))
			continue;
		view = gh_credit_view(core->credit, executor->name, now);
		n += free_only ? view.free : view.usable + view.borrowed;
	}
	return n;
}

/*
 * Waits until a queued request is dispatched or removed from the queue, or its
 * deadline passes.  Returns whether the request was dispatched; if it is still
 * queued, cancels it.
 */
static bool wait_for_dispatch(front_t *front, front_wait_t *wait,
			      gh_time_t deadline)
{
	front_core_t *core = &front->core;
	struct timespec until;
	gh_time_t remaining;

	while (wait->state == FRONT_WAITING) {
		remaining = deadline - clock_boot();
		if (remaining <= 0)
			break;
		clock_gettime(CLOCK_MONOTONIC, &until);
		remaining += until.tv_nsec / 1000;
		until.tv_sec += remaining / GH_USEC_PER_SEC;
		until.tv_nsec = remaining % GH_USEC_PER_SEC * 1000;
		pthread_cond_timedwait(&wait->state_changed, &core->lock,
				       &until);
	}
	if (wait->state == FRONT_WAITING) {
		gh_queue_cancel(core->queue, wait->ticket);
		g_hash_table_remove(core->waiting, &wait->ticket);
	}
	return wait->state == FRONT_DISPATCHED;
}

static void report_state_change(const char *executor,
				gh_executor_change_t change)
{
	if (change == GH_EXECUTOR_WAS_EJECTED) {
		counter_inc(CTR_EXECUTOR_EJECTED);
		log_event(LOG_WARN, "executor_ejected", "executor", executor,
			  NULL);
	} else if (change == GH_EXECUTOR_WAS_READMITTED) {
		counter_inc(CTR_EXECUTOR_READMITTED);
		log_event(LOG_INFO, "executor_readmitted", "executor", executor,
			  NULL);
	}
}

static gint64 *new_ticket_key(gh_ticket_t ticket)
{
	gint64 *key = g_new(gint64, 1);

	*key = (gint64)ticket;
	return key;
}
