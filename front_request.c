#include "front_internal.h"

#include <inttypes.h>
#include <string.h>

#include "clock.h"
#include "counter.h"
#include "node.h"
#include "peer.h"

/*
 * Multiple of the silence limit after which a send is abandoned even if the
 * executor responded to no request on another connection.
 */
#define UNCONFIRMED_SILENCE_FACTOR 2

/* Counter to increase for a retry, by the result of the failed send. */
static const counter_t retry_counters[GH_SEND_COUNT] = {
	[GH_SEND_REFUSED] = CTR_RETRY_BUSY,
	[GH_SEND_UNSENT] = CTR_RETRY_CONNECT,
	[GH_SEND_RESET] = CTR_RETRY_RESET,
	[GH_SEND_BAD_RESPONSE] = CTR_RETRY_BAD_RESPONSE,
	[GH_SEND_SILENT] = CTR_RETRY_SILENT,
	[GH_SEND_TIMEOUT] = CTR_RETRY_SILENT,
};

/*
 * Retry-After in ms, by error kind, of refusals for which no wait was
 * calculated.
 */
static const int64_t default_retry_ms[GH_E_COUNT] = {
	[GH_E_STARTING] = 500,
	[GH_E_NO_EXECUTOR] = 500,
	[GH_E_EXECUTOR_BUSY] = 100,
	[GH_E_RETRY_BUDGET] = 500,
	[GH_E_DEADLINE_INFEASIBLE] = 100,
	[GH_E_CLAIM_FULL] = 1000,
};

/* Argument that is_connection_silent() gets. */
typedef struct silence_check {
	front_t *front;
	const front_wait_t *wait;
	/* Time without a response after which a connection counts as silent. */
	gh_time_t limit;
} silence_check_t;

static bool accept_or_refuse(front_t *front, front_request_t *req,
			     front_reply_t *reply);
static bool is_inactive(const front_t *front, const gh_document_t *doc);
static void run_until_done(front_t *front, front_request_t *req,
			   front_reply_t *reply);
static void record_request(front_t *front, const front_request_t *req,
			   gh_time_t arrived);
static gh_retry_verdict_t send_once(front_t *front, front_request_t *req,
				    front_reply_t *reply,
				    gh_error_kind_t *kind);
static gh_send_result_t send_to_executor(front_t *front, front_request_t *req,
					 front_wait_t *wait,
					 http_response_t *response);
static gh_send_result_t classify_result(front_t *front,
					const front_wait_t *wait,
					const http_response_t *response,
					gh_send_result_t result);
static bool is_connection_silent(void *ctx);
static gh_retry_verdict_t decide_retry(front_t *front, front_request_t *req,
				       gh_send_result_t result,
				       gh_error_kind_t *kind);
static gh_ran_t ran_status(const front_request_t *req, gh_error_kind_t kind);
static bool is_idempotent(const front_request_t *req);

void front_serve(front_t *front, front_request_t *req, front_reply_t *reply)
{
	gh_error_kind_t refusal;
	int64_t retry_after_ms;
	int64_t max_ms;

	req->doc = node_document(front->node);
	if (!accept_or_refuse(front, req, reply))
		return;
	max_ms = req->doc->policy.request_max_ms;
	if (!req->remaining_ms || req->remaining_ms > max_ms)
		req->remaining_ms = max_ms;
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
		front_refuse(reply, req, refusal, 0, req->idempotency_key);
		return;
	}
	run_until_done(front, req, reply);
	if (!req->retry.idempotent && !req->retry.written)
		front_release_claims(front, req);
}

void front_refuse(front_reply_t *reply, const front_request_t *req,
		  gh_error_kind_t kind, int64_t retry_after_ms,
		  const char *detail)
{
	gh_ran_t ran = ran_status(req, kind);
	int64_t delay_ms =
		retry_after_ms ? retry_after_ms : default_retry_ms[kind];
	char *message = g_strdup_printf("%s; %s", detail ? detail : "request",
					gh_error_remedy(kind));
	json_t *json =
		json_pack("{s:s, s:s, s:s, s:I}", "error", gh_error_name(kind),
			  "ran", ran == GH_RAN_NO ? "no" : "unknown", "message",
			  message, "retry_after_ms", (json_int_t)delay_ms);

	front_reply_clear(reply);
	counter_inc_refusals(kind);
	reply->status = gh_error_status(kind);
	reply->body = json ? json_dumps(json, JSON_COMPACT) : NULL;
	reply->body_len = reply->body ? strlen(reply->body) : 0;
	reply->headers =
		g_hash_table_new_full(g_str_hash, g_str_equal, g_free, g_free);
	g_hash_table_insert(reply->headers, g_strdup("content-type"),
			    g_strdup("application/json"));
	reply->outcome = ran == GH_RAN_NO ? "not_run" : "unknown";
	reply->retry_after_ms = delay_ms;
	json_decref(json);
	g_free(message);
}

void front_reply_take_response(front_reply_t *reply, http_response_t *response,
			       const char *outcome)
{
	reply->status = response->status;
	reply->body = response->body;
	reply->body_len = response->body_len;
	reply->headers = response->headers;
	reply->outcome = outcome;
	response->body = NULL;
	response->headers = NULL;
}

void front_reply_clear(front_reply_t *reply)
{
	g_free(reply->body);
	if (reply->headers)
		g_hash_table_unref(reply->headers);
	memset(reply, 0, sizeof(*reply));
}

static bool accept_or_refuse(front_t *front, front_request_t *req,
			     front_reply_t *reply)
{
	gh_error_kind_t kind = GH_E_COUNT;

	if (atomic_load(&front->draining) || node_is_draining(front->node) ||
	    is_inactive(front, req->doc))
		kind = GH_E_DRAINING;
	else if (!req->doc || !front_ready(front))
		kind = GH_E_STARTING;
	else if (gh_document_service(req->doc, req->service) == GH_HANDLE_NONE)
		kind = GH_E_NO_SERVICE;
	else if (req->body_len > (size_t)req->doc->policy.request_body_max)
		kind = GH_E_TOO_LARGE;
	else if (!is_idempotent(req) && !req->idempotency_key)
		kind = GH_E_NO_IDEMPOTENCY_KEY;
	if (kind == GH_E_COUNT)
		return true;
	front_refuse(reply, req, kind, 0, req->service);
	return false;
}

/* Whether the document has this host in another state than active. */
static bool is_inactive(const front_t *front, const gh_document_t *doc)
{
	gh_handle_t self =
		doc ? gh_document_entry(doc, front->node->settings->name) :
		      GH_HANDLE_NONE;

	return self != GH_HANDLE_NONE &&
	       doc->entries[self].state != GH_HOST_ACTIVE;
}

static void run_until_done(front_t *front, front_request_t *req,
			   front_reply_t *reply)
{
	gh_error_kind_t kind = GH_E_SYSTEM;
	gh_time_t arrived = clock_boot();
	gh_retry_verdict_t verdict;

	do
		verdict = send_once(front, req, reply, &kind);
	while (verdict == GH_RETRY_AGAIN);
	/*
	 * Reports an unknown outcome if any send was written: the last send
	 * cannot have run, but an earlier one may have.
	 */
	if (req->retry.written && gh_error_ran(kind) == GH_RAN_NO)
		kind = GH_E_TIMEOUT;
	if (verdict == GH_RETRY_GIVE_UP)
		front_refuse(reply, req, kind, 0, req->service);
	else
		counter_inc(CTR_REQ_ANSWERED);
	if (verdict != GH_RETRY_GIVE_UP && front->node->recorder)
		record_request(front, req, arrived);
}

/* Adds a request that got a response to the recorded trace. */
static void record_request(front_t *front, const front_request_t *req,
			   gh_time_t arrived)
{
	replay_request_t event = {
		.service = gh_document_service(req->doc, req->service),
		.domain = gh_document_domain(req->doc,
					     front->node->settings->domain),
		.run_time = req->run_time,
		.timeout = req->retry.deadline - arrived,
		.idempotent = req->retry.idempotent,
	};

	if (event.domain != GH_HANDLE_NONE)
		recorder_add_request(front->node->recorder, req->doc, arrived,
				     &event);
}

static gh_retry_verdict_t send_once(front_t *front, front_request_t *req,
				    front_reply_t *reply, gh_error_kind_t *kind)
{
	front_wait_t wait = {
		.service = req->service,
		.avoid_executor = req->sends ? req->last_executor : NULL,
	};
	gh_retry_verdict_t verdict = GH_RETRY_GIVE_UP;
	pthread_condattr_t attr;
	http_response_t response;
	gh_send_result_t result;

	pthread_condattr_init(&attr);
	pthread_condattr_setclock(&attr, CLOCK_MONOTONIC);
	pthread_cond_init(&wait.state_changed, &attr);
	pthread_condattr_destroy(&attr);
	if (front_await_dispatch(front, req, &wait, kind)) {
		req->run_time = -clock_boot();
		result = send_to_executor(front, req, &wait, &response);
		req->run_time += clock_boot();
		front_finish_send(front, &wait, result, response.status);
		verdict = decide_retry(front, req, result, kind);
		if (verdict == GH_RETRY_DONE)
			front_reply_take_response(reply, &response, "done");
		http_response_clear(&response);
	}
	pthread_cond_destroy(&wait.state_changed);
	return verdict;
}

static gh_send_result_t send_to_executor(front_t *front, front_request_t *req,
					 front_wait_t *wait,
					 http_response_t *response)
{
	silence_check_t silence = { .front = front, .wait = wait };
	executor_call_t call = {
		.address = wait->address,
		.method = req->method,
		.path = req->path,
		.request_id = req->send_id,
		.headers = (const char *const *)req->forwarded_headers->pdata,
		.body = req->body_len ? req->body : NULL,
		.body_len = req->body_len,
		.deadline = req->retry.deadline,
		.idempotent = req->retry.idempotent,
		.new_connection = req->retry.written,
		.max_idle_connections = wait->connection_share,
		.should_abandon =
			req->retry.idempotent ? is_connection_silent : NULL,
		.abandon_ctx = &silence,
	};
	gh_send_result_t result;

	pthread_mutex_lock(&front->core.lock);
	silence.limit =
		MAX(gh_time_from_ms(req->doc->policy.silent_ms),
		    gh_queue_run_time_bound(front->core.queue, req->service));
	pthread_mutex_unlock(&front->core.lock);
	snprintf(req->send_id, sizeof(req->send_id), "%s-%" PRIx64 "-%" PRIx64,
		 front->node->settings->name,
		 peer_incarnation(front->node->peer),
		 atomic_fetch_add(&front->next_id, 1));
	g_strlcpy(req->last_executor, wait->executor,
		  sizeof(req->last_executor));
	req->sends++;
	result = front->executor_link->ops->send(front->executor_link, &call,
						 response);
	result = classify_result(front, wait, response, result);
	if (result == GH_SEND_SILENT || result == GH_SEND_TIMEOUT)
		front->executor_link->ops->close_idle(front->executor_link,
						      wait->address);
	return result;
}

/*
 * Decides whether a send without a response counts against the executor.  It
 * does not on a reused connection, which may have broken while it was idle.  On
 * a new connection a reset counts, and silence does unless the executor has
 * responded to other requests since the send.
 */
static gh_send_result_t classify_result(front_t *front,
					const front_wait_t *wait,
					const http_response_t *response,
					gh_send_result_t result)
{
	front_core_t *core = &front->core;
	bool others_succeeded;

	if (result != GH_SEND_RESET && result != GH_SEND_SILENT &&
	    result != GH_SEND_TIMEOUT)
		return result;
	if (response->reused)
		return GH_SEND_SILENT;
	if (result == GH_SEND_RESET)
		return result;
	pthread_mutex_lock(&core->lock);
	others_succeeded =
		gh_executor_last_success(core->executors, wait->executor) >
		wait->sent_at;
	pthread_mutex_unlock(&core->lock);
	return others_succeeded ? GH_SEND_SILENT : GH_SEND_TIMEOUT;
}

/*
 * Whether to abandon an idempotent request and send it again.  If no other
 * request to the executor got a response meanwhile, the silence does not prove
 * that the connection is broken, and the request waits longer.
 */
static bool is_connection_silent(void *ctx)
{
	const silence_check_t *silence = ctx;
	front_core_t *core = &silence->front->core;
	gh_time_t now = clock_boot();
	bool silent;

	if (now - silence->wait->sent_at < silence->limit)
		return false;
	if (now - silence->wait->sent_at >=
	    UNCONFIRMED_SILENCE_FACTOR * silence->limit)
		return true;
	pthread_mutex_lock(&core->lock);
	silent = gh_executor_connection_silent(
		core->executors, silence->wait->executor,
		silence->wait->sent_at, silence->limit, now);
	pthread_mutex_unlock(&core->lock);
	return silent;
}

static gh_retry_verdict_t decide_retry(front_t *front, front_request_t *req,
				       gh_send_result_t result,
				       gh_error_kind_t *kind)
{
	front_core_t *core = &front->core;
	gh_retry_verdict_t verdict;

	pthread_mutex_lock(&core->lock);
	if (result == GH_SEND_COMPLETED)
		gh_retry_succeeded(&core->retry_budget, &req->doc->policy);
	verdict =
		gh_retry_decide(&core->retry_budget, &req->retry,
				&req->doc->policy, result, clock_boot(), kind);
	pthread_mutex_unlock(&core->lock);
	if (verdict == GH_RETRY_AGAIN)
		counter_inc(retry_counters[result]);
	return verdict;
}

/*
 * What a refusal says about execution: "not run" only if no attempt of the
 * caller has run or can run later.  An earlier attempt that has not run may
 * still be on its way to a host, and runs there once the claims of this one are
 * released.
 */
static gh_ran_t ran_status(const front_request_t *req, gh_error_kind_t kind)
{
	bool repeat = is_idempotent(req) ? req->attempt > 0 : req->attempt != 0;

	if (req->retry.written || repeat)
		return GH_RAN_UNKNOWN;
	return gh_error_ran(kind);
}

static bool is_idempotent(const front_request_t *req)
{
	return req->marked_idempotent || !strcmp(req->method, "GET") ||
	       !strcmp(req->method, "HEAD");
}
