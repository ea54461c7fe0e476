#include "front_internal.h"

#include <inttypes.h>
#include <string.h>

#include "clock.h"
#include "counter.h"
#include "node.h"
#include "peer.h"

#define PATIENCE 2 /* silence limits that an unproved silence may last */

/* One retry reason's counter. */
static const counter_t retry_counters[GH_SEND_COUNT] = {
	[GH_SEND_REFUSED] = CTR_RETRY_BUSY,
	[GH_SEND_UNSENT] = CTR_RETRY_CONNECT,
	[GH_SEND_RESET] = CTR_RETRY_RESET,
	[GH_SEND_BAD_RESPONSE] = CTR_RETRY_BAD_ANSWER,
	[GH_SEND_SILENT] = CTR_RETRY_SILENT,
	[GH_SEND_TIMEOUT] = CTR_RETRY_SILENT,
};

/* Time to wait before a retry where nothing better is known. */
static const int64_t retry_ms[GH_E_COUNT] = {
	[GH_E_STARTING] = 500,	    [GH_E_NO_EXECUTOR] = 500,
	[GH_E_EXECUTOR_BUSY] = 100, [GH_E_RETRY_BUDGET] = 500,
	[GH_E_HOPELESS] = 100,	    [GH_E_CLAIM_FULL] = 1000,
};

/* What a waiting sending needs to tell a dead connection. */
typedef struct silence {
	front_t *front;
	const front_wait_t *wait;
	gh_time_t limit;
} silence_t;

static bool may_enter(front_t *front, front_request_t *req,
		      front_reply_t *reply);
static bool is_leaving(const front_t *front, const gh_document_t *doc);
static void run(front_t *front, front_request_t *req, front_reply_t *reply);
static void record(front_t *front, const front_request_t *req,
		   gh_time_t arrived);
static gh_retry_verdict_t send_once(front_t *front, front_request_t *req,
				    front_reply_t *reply,
				    gh_error_kind_t *kind);
static gh_send_result_t send_to(front_t *front, front_request_t *req,
				front_wait_t *wait, http_answer_t *answer);
static gh_send_result_t blame(front_t *front, const front_wait_t *wait,
			      const http_answer_t *answer,
			      gh_send_result_t how);
static bool is_silent(void *ctx);
static gh_retry_verdict_t decide(front_t *front, front_request_t *req,
				 gh_send_result_t how, gh_error_kind_t *kind);
static gh_ran_t ran_of(const front_request_t *req, gh_error_kind_t kind);
static bool is_idempotent(const front_request_t *req);

void front_serve(front_t *front, front_request_t *req, front_reply_t *reply)
{
	gh_error_kind_t refusal;
	int64_t retry_after_ms;
	int64_t most;

	req->doc = node_document(front->node);
	if (!may_enter(front, req, reply))
		return;
	most = req->doc->policy.request_max_ms;
	if (!req->remaining_ms || req->remaining_ms > most)
		req->remaining_ms = most;
	req->retry = (gh_retry_state_t){
		.idempotent = is_idempotent(req),
		.deadline = clock_boot() + gh_time_from_ms(req->remaining_ms),
	};
	counter_inc(CTR_REQ_ACCEPTED);
	if (!front_admit(front, req, &refusal, &retry_after_ms)) {
		if (refusal == GH_E_NO_SERVICE ||
		    !front_spill(front, req, reply))
			front_refuse(reply, req, refusal, retry_after_ms,
				     req->service);
		return;
	}
	if (!req->retry.idempotent && !front_claim(front, req, &refusal)) {
		front_refuse(reply, req, refusal, 0, req->key);
		return;
	}
	run(front, req, reply);
	if (!req->retry.idempotent && !req->retry.written)
		front_release(front, req);
}

void front_refuse(front_reply_t *reply, const front_request_t *req,
		  gh_error_kind_t kind, int64_t retry_after_ms,
		  const char *detail)
{
	gh_ran_t ran = ran_of(req, kind);
	int64_t after_ms = retry_after_ms ? retry_after_ms : retry_ms[kind];
	char *message = g_strdup_printf("%s; %s", detail ? detail : "request",
					gh_error_remedy(kind));
	json_t *json =
		json_pack("{s:s, s:s, s:s, s:I}", "error", gh_error_name(kind),
			  "ran", ran == GH_RAN_NO ? "no" : "unknown", "message",
			  message, "retry_after_ms", (json_int_t)after_ms);

	front_reply_clear(reply);
	counter_refusal(kind);
	reply->status = gh_error_status(kind);
	reply->body = json ? json_dumps(json, JSON_COMPACT) : NULL;
	reply->body_len = reply->body ? strlen(reply->body) : 0;
	reply->headers =
		g_hash_table_new_full(g_str_hash, g_str_equal, g_free, g_free);
	g_hash_table_insert(reply->headers, g_strdup("content-type"),
			    g_strdup("application/json"));
	reply->outcome = ran == GH_RAN_NO ? "not_run" : "unknown";
	reply->retry_after_ms = after_ms;
	json_decref(json);
	g_free(message);
}

void front_take_answer(front_reply_t *reply, http_answer_t *answer,
		       const char *outcome)
{
	reply->status = answer->status;
	reply->body = answer->body;
	reply->body_len = answer->body_len;
	reply->headers = answer->headers;
	reply->outcome = outcome;
	answer->body = NULL;
	answer->headers = NULL;
}

void front_reply_clear(front_reply_t *reply)
{
	g_free(reply->body);
	if (reply->headers)
		g_hash_table_unref(reply->headers);
	memset(reply, 0, sizeof(*reply));
}

static bool may_enter(front_t *front, front_request_t *req,
		      front_reply_t *reply)
{
	gh_error_kind_t kind = GH_E_COUNT;

	if (atomic_load(&front->draining) || node_draining(front->node) ||
	    is_leaving(front, req->doc))
		kind = GH_E_DRAINING;
	else if (!req->doc || !front_ready(front))
		kind = GH_E_STARTING;
	else if (gh_document_service(req->doc, req->service) == GH_HANDLE_NONE)
		kind = GH_E_NO_SERVICE;
	else if (req->body_len > (size_t)req->doc->policy.request_body_max)
		kind = GH_E_TOO_LARGE;
	else if (!is_idempotent(req) && !req->key)
		kind = GH_E_NO_KEY;
	if (kind == GH_E_COUNT)
		return true;
	front_refuse(reply, req, kind, 0, req->service);
	return false;
}

/* Whether the document takes this host out of use. */
static bool is_leaving(const front_t *front, const gh_document_t *doc)
{
	gh_handle_t self =
		doc ? gh_document_entry(doc, front->node->settings->name) :
		      GH_HANDLE_NONE;

	return self != GH_HANDLE_NONE &&
	       doc->entries[self].state != GH_HOST_ACTIVE;
}

static void run(front_t *front, front_request_t *req, front_reply_t *reply)
{
	gh_error_kind_t kind = GH_E_SYSTEM;
	gh_time_t arrived = clock_boot();
	gh_retry_verdict_t verdict;

	do
		verdict = send_once(front, req, reply, &kind);
	while (verdict == GH_RETRY_AGAIN);
	/* The last sending was given up; an earlier one may have run. */
	if (req->retry.written && gh_error_ran(kind) == GH_RAN_NO)
		kind = GH_E_TIMEOUT;
	if (verdict == GH_RETRY_GIVE_UP)
		front_refuse(reply, req, kind, 0, req->service);
	else
		counter_inc(CTR_REQ_ANSWERED);
	if (verdict != GH_RETRY_GIVE_UP && front->node->recorder)
		record(front, req, arrived);
}

/* Adds an answered request to the trace. */
static void record(front_t *front, const front_request_t *req,
		   gh_time_t arrived)
{
	replay_request_t event = {
		.service = gh_document_service(req->doc, req->service),
		.domain = gh_document_domain(req->doc,
					     front->node->settings->domain),
		.run = req->run,
		.window = req->retry.deadline - arrived,
		.idempotent = req->retry.idempotent,
	};

	if (event.domain != GH_HANDLE_NONE)
		recorder_request(front->node->recorder, req->doc, arrived,
				 &event);
}

static gh_retry_verdict_t send_once(front_t *front, front_request_t *req,
				    front_reply_t *reply, gh_error_kind_t *kind)
{
	front_wait_t wait = {
		.service = req->service,
		.avoid = req->sendings ? req->last_executor : NULL,
	};
	gh_retry_verdict_t verdict = GH_RETRY_GIVE_UP;
	pthread_condattr_t attr;
	http_answer_t answer;
	gh_send_result_t how;

	pthread_condattr_init(&attr);
	pthread_condattr_setclock(&attr, CLOCK_MONOTONIC);
	pthread_cond_init(&wait.changed, &attr);
	pthread_condattr_destroy(&attr);
	if (front_dispatch(front, req, &wait, kind)) {
		req->run = -clock_boot();
		how = send_to(front, req, &wait, &answer);
		req->run += clock_boot();
		front_sending_ended(front, &wait, how, answer.status);
		verdict = decide(front, req, how, kind);
		if (verdict == GH_RETRY_DONE)
			front_take_answer(reply, &answer, "done");
		http_answer_clear(&answer);
	}
	pthread_cond_destroy(&wait.changed);
	return verdict;
}

static gh_send_result_t send_to(front_t *front, front_request_t *req,
				front_wait_t *wait, http_answer_t *answer)
{
	silence_t silence = { .front = front, .wait = wait };
	executor_call_t call = {
		.address = wait->address,
		.method = req->method,
		.path = req->path,
		.id = req->id,
		.headers = (const char *const *)req->headers->pdata,
		.body = req->body_len ? req->body : NULL,
		.body_len = req->body_len,
		.deadline = req->retry.deadline,
		.idempotent = req->retry.idempotent,
		.fresh = req->retry.written,
		.connections = wait->connections,
		.abandon = req->retry.idempotent ? is_silent : NULL,
		.ctx = &silence,
	};
	gh_send_result_t how;

	pthread_mutex_lock(&front->core.lock);
	silence.limit =
		MAX(gh_time_from_ms(req->doc->policy.silent_ms),
		    gh_queue_run_time_bound(front->core.queue, req->service));
	pthread_mutex_unlock(&front->core.lock);
	snprintf(req->id, sizeof(req->id), "%s-%" PRIx64 "-%" PRIx64,
		 front->node->settings->name,
		 peer_incarnation(front->node->peer),
		 atomic_fetch_add(&front->next_id, 1));
	g_strlcpy(req->last_executor, wait->executor,
		  sizeof(req->last_executor));
	req->sendings++;
	how = front->link->ops->send(front->link, &call, answer);
	how = blame(front, wait, answer, how);
	if (how == GH_SEND_SILENT || how == GH_SEND_TIMEOUT)
		front->link->ops->drop_idle(front->link, wait->address);
	return how;
}

/*
 * A reused connection may have died while it was idle, which is not the
 * executor's fault; a new one that brings nothing is, unless others did.
 */
static gh_send_result_t blame(front_t *front, const front_wait_t *wait,
			      const http_answer_t *answer, gh_send_result_t how)
{
	front_core_t *core = &front->core;
	bool others;

	if (how != GH_SEND_RESET && how != GH_SEND_SILENT &&
	    how != GH_SEND_TIMEOUT)
		return how;
	if (answer->reused)
		return GH_SEND_SILENT;
	if (how == GH_SEND_RESET)
		return how;
	pthread_mutex_lock(&core->lock);
	others = gh_executor_last_success(core->executors, wait->executor) >
		 wait->sent;
	pthread_mutex_unlock(&core->lock);
	return others ? GH_SEND_SILENT : GH_SEND_TIMEOUT;
}

/*
 * Without a sign that others are answered the request waits longer before it
 * is tried elsewhere.
 */
static bool is_silent(void *ctx)
{
	const silence_t *silence = ctx;
	front_core_t *core = &silence->front->core;
	gh_time_t now = clock_boot();
	bool silent;

	if (now - silence->wait->sent < silence->limit)
		return false;
	if (now - silence->wait->sent >= PATIENCE * silence->limit)
		return true;
	pthread_mutex_lock(&core->lock);
	silent = gh_executor_connection_silent(
		core->executors, silence->wait->executor, silence->wait->sent,
		silence->limit, now);
	pthread_mutex_unlock(&core->lock);
	return silent;
}

static gh_retry_verdict_t decide(front_t *front, front_request_t *req,
				 gh_send_result_t how, gh_error_kind_t *kind)
{
	front_core_t *core = &front->core;
	gh_retry_verdict_t verdict;

	pthread_mutex_lock(&core->lock);
	if (how == GH_SEND_COMPLETED)
		gh_retry_succeeded(&core->budget, &req->doc->policy);
	verdict = gh_retry_decide(&core->budget, &req->retry, &req->doc->policy,
				  how, clock_boot(), kind);
	pthread_mutex_unlock(&core->lock);
	if (verdict == GH_RETRY_AGAIN)
		counter_inc(retry_counters[how]);
	return verdict;
}

/*
 * A refusal may say "not run" only if that is true of the request, and not
 * just of this arrival.
 */
static gh_ran_t ran_of(const front_request_t *req, gh_error_kind_t kind)
{
	bool repeat = req->attempt != 0 && !req->first_ruled_out;

	if (is_idempotent(req))
		repeat = req->attempt > 0;
	if (req->retry.written || repeat)
		return GH_RAN_UNKNOWN;
	return gh_error_ran(kind);
}

static bool is_idempotent(const front_request_t *req)
{
	return req->asks_idempotent || !strcmp(req->method, "GET") ||
	       !strcmp(req->method, "HEAD");
}
