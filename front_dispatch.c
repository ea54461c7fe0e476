#include "front_internal.h"

#include <stdlib.h>
#include <string.h>

#include "clock.h"
#include "counter.h"
#include "log.h"
#include "node.h"
#include "peer.h"

#define FAILED_STATUS 500 /* an answer from here on counts as failed */

static void apply(front_t *front, gh_document_t *doc);
static bool can_run(void *ctx, const char *service, bool is_long);
static size_t find_choices(front_t *front, const char *service, bool is_long,
			   const char *avoid, size_t most);
static bool serves(const gh_executor_t *executor, gh_handle_t service);
static void wake_hopeless(front_t *front, gh_time_t now);
static void assign(front_t *front, gh_ticket_t ticket, gh_time_t now);
static unsigned count_slots(front_t *front, gh_handle_t service,
			    bool free_only);
static bool await(front_t *front, front_wait_t *wait, gh_time_t deadline);
static void note_change(const char *executor, gh_executor_change_t change);
static gint64 *ticket_key(gh_ticket_t ticket);

void front_core_init(front_core_t *core, const node_t *node)
{
	pthread_mutex_init(&core->lock, NULL);
	core->self = GH_HANDLE_NONE;
	core->queue = gh_queue_new();
	core->credit = gh_credit_new(node->settings->name, node->started);
	core->executors = gh_executor_new();
	gh_retry_budget_init(&core->budget);
	core->waiting = g_hash_table_new_full(g_int64_hash, g_int64_equal,
					      g_free, NULL);
	core->spilled =
		g_hash_table_new_full(g_str_hash, g_str_equal, g_free, g_free);
	core->seed = (uint64_t)clock_real() ^ g_str_hash(node->settings->name);
}

void front_core_clear(front_core_t *core)
{
	gh_queue_free(core->queue);
	gh_credit_free(core->credit);
	gh_executor_free(core->executors);
	g_hash_table_unref(core->waiting);
	g_hash_table_unref(core->spilled);
	g_free(core->choices);
	if (core->doc)
		gh_document_unref(core->doc);
	pthread_mutex_destroy(&core->lock);
}

void front_refresh(front_t *front)
{
	gh_document_t *doc = node_document(front->node);

	if (!doc)
		return;
	if (!front->core.doc || doc->generation > front->core.doc->generation)
		apply(front, doc);
	else
		gh_document_unref(doc);
}

void front_count(front_t *front)
{
	front->core.slots = count_slots(front, GH_HANDLE_NONE, false);
}

void front_pump(front_t *front)
{
	front_core_t *core = &front->core;
	gh_time_t now = clock_boot();
	gh_ticket_t ticket;

	if (!core->doc)
		return;
	wake_hopeless(front, now);
	while ((ticket = gh_queue_dispatch_next(core->queue, core->slots,
						can_run, front, now)) !=
	       GH_NO_TICKET)
		assign(front, ticket, now);
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
	front_refresh(front);
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

bool front_dispatch(front_t *front, front_request_t *req, front_wait_t *wait,
		    gh_error_kind_t *refusal)
{
	front_core_t *core = &front->core;
	gh_time_t now = clock_boot();
	bool sent;

	pthread_mutex_lock(&core->lock);
	*refusal = GH_E_NO_SERVICE;
	wait->ticket = gh_queue_push(core->queue, req->service,
				     req->retry.deadline, now);
	if (wait->ticket == GH_NO_TICKET) {
		pthread_mutex_unlock(&core->lock);
		return false;
	}
	g_hash_table_insert(core->waiting, ticket_key(wait->ticket), wait);
	front_pump(front);
	if (wait->state == FRONT_WAITING)
		counter_inc(CTR_REQ_QUEUED);
	sent = await(front, wait, req->retry.deadline);
	*refusal =
		wait->state == FRONT_HOPELESS ? GH_E_HOPELESS : GH_E_DEADLINE;
	pthread_mutex_unlock(&core->lock);
	return sent;
}

void front_sending_ended(front_t *front, front_wait_t *wait,
			 gh_send_result_t how, int status)
{
	front_core_t *core = &front->core;
	gh_time_t now = clock_boot();
	gh_time_t run = MAX(now - wait->sent, 1);
	bool failed = how == GH_SEND_COMPLETED && status >= FAILED_STATUS;
	gh_executor_change_t change;

	pthread_mutex_lock(&core->lock);
	if (how == GH_SEND_COMPLETED || how == GH_SEND_REFUSED ||
	    how == GH_SEND_UNSENT)
		gh_credit_done(core->credit, wait->hold);
	if (failed)
		change = gh_executor_response_failed(
			core->executors, wait->executor, wait->is_long, now);
	else
		change = gh_executor_request_ended(
			core->executors, wait->executor, wait->is_long, how,
			run, now);
	if (how != GH_SEND_COMPLETED || failed)
		run = 0;
	gh_queue_complete(core->queue, wait->ticket, run);
	front_pump(front);
	pthread_mutex_unlock(&core->lock);
	note_change(wait->executor, change);
}

unsigned front_free_slots(front_t *front)
{
	return count_slots(front, GH_HANDLE_NONE, true);
}

static void apply(front_t *front, gh_document_t *doc)
{
	front_core_t *core = &front->core;
	gh_time_t now = clock_boot();

	if (core->doc)
		gh_document_unref(core->doc);
	core->doc = doc;
	core->self = gh_document_entry(doc, front->node->settings->name);
	g_free(core->choices);
	core->choices = g_new0(gh_route_candidate_t, doc->n_executors + 1);
	gh_queue_apply_document(core->queue, doc);
	gh_credit_apply(core->credit, doc, now);
	gh_executor_apply(core->executors, doc,
			  core->self == GH_HANDLE_NONE ?
				  GH_HANDLE_NONE :
				  doc->entries[core->self].domain);
	core->slots = count_slots(front, GH_HANDLE_NONE, false);
	pthread_mutex_lock(&front->claim_lock);
	gh_claim_set_policy(front->claims, (size_t)doc->policy.claim_max,
			    front_claim_window_ms(doc), now);
	pthread_mutex_unlock(&front->claim_lock);
}

static bool can_run(void *ctx, const char *service, bool is_long)
{
	return find_choices(ctx, service, is_long, NULL, 1) > 0;
}

/* Executors that could take a request now, up to so many. */
static size_t find_choices(front_t *front, const char *service, bool is_long,
			   const char *avoid, size_t most)
{
	front_core_t *core = &front->core;
	const gh_document_t *doc = core->doc;
	gh_handle_t handle = gh_document_service(doc, service);
	gh_time_t now = clock_boot();
	size_t n = 0;
	size_t i;

	if (handle == GH_HANDLE_NONE || core->self == GH_HANDLE_NONE)
		return 0;
	for (i = 0; i < doc->n_executors && n < most; i++) {
		const gh_executor_t *executor = &doc->executors[i];
		gh_credit_view_t view;

		if (executor->domain != doc->entries[core->self].domain ||
		    !serves(executor, handle) ||
		    (avoid && !strcmp(avoid, executor->name)))
			continue;
		view = gh_credit_view(core->credit, executor->name, now);
		if (!view.free ||
		    !gh_executor_is_available(core->executors, executor->name,
					      is_long,
					      view.usable + view.borrowed, now))
			continue;
		core->choices[n++] = (gh_route_candidate_t){
			.executor = (gh_handle_t)i,
			.wait = gh_executor_expected_wait(core->executors,
							  executor->name),
		};
	}
	return n;
}

static bool serves(const gh_executor_t *executor, gh_handle_t service)
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

static void wake_hopeless(front_t *front, gh_time_t now)
{
	front_core_t *core = &front->core;
	gh_ticket_t ticket;

	while ((ticket = gh_queue_remove_infeasible(core->queue, now)) !=
	       GH_NO_TICKET) {
		front_wait_t *wait =
			g_hash_table_lookup(core->waiting, &ticket);

		wait->state = FRONT_HOPELESS;
		g_hash_table_remove(core->waiting, &ticket);
		pthread_cond_signal(&wait->changed);
	}
}

static void assign(front_t *front, gh_ticket_t ticket, gh_time_t now)
{
	front_core_t *core = &front->core;
	front_wait_t *wait = g_hash_table_lookup(core->waiting, &ticket);
	const gh_executor_t *executor;
	size_t n;

	wait->is_long = gh_queue_is_long(core->queue, wait->service);
	n = find_choices(front, wait->service, wait->is_long, wait->avoid,
			 SIZE_MAX);
	if (!n)
		n = find_choices(front, wait->service, wait->is_long, NULL,
				 SIZE_MAX);
	executor = &core->doc->executors[core->choices[gh_route_pick_executor(
							       core->choices, n,
							       &core->seed)]
						 .executor];
	g_strlcpy(wait->executor, executor->name, sizeof(wait->executor));
	g_strlcpy(wait->address, executor->address, sizeof(wait->address));
	wait->connections = gh_credit_connection_share(
		core->doc, core->self,
		gh_document_executor(core->doc, executor->name));
	wait->hold = gh_credit_take(core->credit, executor->name, now);
	wait->sent = now;
	gh_executor_request_sent(core->executors, executor->name,
				 wait->is_long);
	wait->state = FRONT_DISPATCHED;
	g_hash_table_remove(core->waiting, &ticket);
	pthread_cond_signal(&wait->changed);
}

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
		    !serves(executor, service))
			continue;
		view = gh_credit_view(core->credit, executor->name, now);
		n += free_only ? view.free : view.usable + view.borrowed;
	}
	return n;
}

/* Waits until the state changes; false when it wasn't dispatched. */
static bool await(front_t *front, front_wait_t *wait, gh_time_t deadline)
{
	front_core_t *core = &front->core;
	struct timespec until;
	gh_time_t left;

	while (wait->state == FRONT_WAITING) {
		left = deadline - clock_boot();
		if (left <= 0)
			break;
		clock_gettime(CLOCK_MONOTONIC, &until);
		left += until.tv_nsec / 1000;
		until.tv_sec += left / GH_USEC_PER_SEC;
		until.tv_nsec = left % GH_USEC_PER_SEC * 1000;
		pthread_cond_timedwait(&wait->changed, &core->lock, &until);
	}
	if (wait->state == FRONT_WAITING) {
		gh_queue_cancel(core->queue, wait->ticket);
		g_hash_table_remove(core->waiting, &wait->ticket);
	}
	return wait->state == FRONT_DISPATCHED;
}

static void note_change(const char *executor, gh_executor_change_t change)
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

static gint64 *ticket_key(gh_ticket_t ticket)
{
	gint64 *key = g_new(gint64, 1);

	*key = (gint64)ticket;
	return key;
}
