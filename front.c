#include "front.h"

#include <arpa/inet.h>
#include <ctype.h>
#include <inttypes.h>
#include <stdlib.h>
#include <string.h>
#include <ulfius.h>
#include <unistd.h>

#include "clock.h"
#include "front_internal.h"
#include "log.h"
#include "node.h"

/* Time after which a caller's idle or stalled connection is closed. */
#define IDLE_TIMEOUT_S 30
#define DROPPED_RETRY_MS 1000
/* Maximum size of request line and headers together. */
#define HEADERS_MAX_BYTES (32 * 1024)
/* Stack size of a connection's thread. */
#define STACK_SIZE_BYTES (256 * 1024)
/*
 * Maximum size of a request body that the HTTP server reads; the document may
 * set a lower limit.
 */
#define BODY_MAX_BYTES (1024 * 1024)
#define BYTES_PER_MB (1024 * 1024)
#define IDEMPOTENCY_KEY_MAX_BYTES 128
#define REQUEST_ID_MAX_BYTES 64
#define TICK_INTERVAL_USEC 10000
#define DRAIN_POLL_USEC 5000
/* Maximum wait for callers to close their connections. */
#define DRAIN_CLOSE_MAX_MS 1000
#define PATH_PREFIX "/r/"

/* A request header whose value is a number from 0 to max. */
typedef struct number_header {
	const char *name;
	int64_t max;
} number_header_t;

static const number_header_t remaining_header = { "X-Remaining-Ms", 86400000 };
static const number_header_t attempt_header = { "X-Attempt", 1000000 };

static int on_request(const struct _u_request *http_request,
		      struct _u_response *http_response, void *arg);
static int on_ready(const struct _u_request *http_request,
		    struct _u_response *http_response, void *arg);
static int on_unknown_path(const struct _u_request *http_request,
			   struct _u_response *http_response, void *arg);
static int on_dropped_body(const struct _u_request *http_request,
			   struct _u_response *http_response, void *arg);
static bool start_http_server(front_t *front, GError **err);
static int count_in_flight(const front_t *front);
static bool read_request(const struct _u_request *http_request,
			 front_request_t *req, const char **problem);
static GPtrArray *
collect_forwarded_headers(const struct _u_request *http_request);
static void add_response_header(gpointer name, gpointer value,
				gpointer http_response);
static bool read_service(const char *url, front_request_t *req);
static bool read_number_header(const struct _u_request *http_request,
			       const number_header_t *header, int64_t *value);
static bool is_visible_ascii(const char *text, size_t max_len);
static bool is_body_complete(const struct _u_request *http_request);
static void send_reply(const front_t *front, const front_request_t *req,
		       const front_reply_t *reply,
		       struct _u_response *http_response);
static void *run_ticks(void *arg);
static void record_tick(front_t *front, gh_time_t now);
static void stop_tick_thread(front_t *front);
static void wait_until_idle(front_t *front, gh_time_t deadline);
static json_t *executors_status(front_t *front);
static json_t *shares_status(front_t *front);

front_t *front_new(node_t *node)
{
	front_t *front = g_new0(front_t, 1);

	front->node = node;
	front->executor_link = executor_link_http_new();
	front->spill_link = executor_link_http_new();
	front->claims = gh_claim_new(node->started);
	pthread_mutex_init(&front->claim_lock, NULL);
	front_core_init(&front->core, node);
	front_register_peer_handlers(front);
	return front;
}

bool front_start(front_t *front, GError **err)
{
	if (!start_http_server(front, err))
		return false;
	atomic_store(&front->last_tick, clock_boot());
	front->tick_thread_started =
		!pthread_create(&front->tick_thread, NULL, run_ticks, front);
	if (!front->tick_thread_started)
		gh_error_set(
			err, GH_E_SYSTEM,
			"cannot start the tick thread of the request front");
	return front->tick_thread_started;
}

void front_drain(front_t *front, int64_t max_wait_ms)
{
	gh_time_t deadline = clock_boot() + gh_time_from_ms(max_wait_ms);
	gh_time_t close_deadline;

	atomic_store(&front->draining, true);
	front_return_loans(front);
	wait_until_idle(front, deadline);
	if (front->http)
		http_server_quiesce(front->http);
	close_deadline = clock_boot() + gh_time_from_ms(DRAIN_CLOSE_MAX_MS);
	wait_until_idle(front, MIN(deadline, close_deadline));
	log_event(LOG_INFO, "front_drained", "in_flight",
		  log_num(count_in_flight(front)), NULL);
}

void front_free(front_t *front)
{
	if (!front)
		return;
	stop_tick_thread(front);
	http_server_free(front->http);
	http_door_free(front->door);
	front->executor_link->ops->free(front->executor_link);
	front->spill_link->ops->free(front->spill_link);
	gh_claim_free(front->claims);
	front_core_clear(&front->core);
	pthread_mutex_destroy(&front->claim_lock);
	g_free(front);
}

bool front_ready(front_t *front)
{
	front_core_t *core = &front->core;
	bool ready;

	pthread_mutex_lock(&core->lock);
	front_update_document(front);
	ready = core->doc && core->self != GH_HANDLE_NONE &&
		core->doc->entries[core->self].state == GH_HOST_ACTIVE &&
		gh_credit_ready(core->credit, clock_boot());
	pthread_mutex_unlock(&core->lock);
	return ready && !atomic_load(&front->draining);
}

json_t *front_status(front_t *front)
{
	front_core_t *core = &front->core;
	bool ready = front_ready(front);
	size_t claims;
	json_t *status;

	pthread_mutex_lock(&front->claim_lock);
	claims = gh_claim_count(front->claims, clock_boot());
	pthread_mutex_unlock(&front->claim_lock);
	pthread_mutex_lock(&core->lock);
	status = json_pack("{s:b, s:i, s:I, s:i, s:I, s:o, s:o}", "ready",
			   (int)ready, "in_flight", count_in_flight(front),
			   "queued", (json_int_t)gh_queue_length(core->queue),
			   "slots", (int)core->usable_slots, "claims",
			   (json_int_t)claims, "executors",
			   executors_status(front), "shares",
			   shares_status(front));
	pthread_mutex_unlock(&core->lock);
	return status;
}

static bool start_http_server(front_t *front, GError **err)
{
	const settings_t *settings = front->node->settings;
	gh_door_limits_t door = {
		.clients = settings->front_connections,
		.bytes = (size_t)settings->front_body_mb * BYTES_PER_MB,
		.idle_time = IDLE_TIMEOUT_S * GH_USEC_PER_SEC,
		.transfer_time = IDLE_TIMEOUT_S * GH_USEC_PER_SEC,
	};
	http_limits_t limits = {
		.idle_timeout_s = IDLE_TIMEOUT_S,
		.max_headers_bytes = HEADERS_MAX_BYTES,
		.max_body_bytes = BODY_MAX_BYTES,
		.thread_per_connection = true,
		.thread_stack_bytes = STACK_SIZE_BYTES,
	};

	front->door = http_door_new(&door);
	limits.door = front->door;
	front->http = http_server_new(settings->address, settings->front_port,
				      &limits, err);
	if (!front->http)
		return false;
	http_server_add(front->http, "GET", "/ready", false, on_ready, front);
	http_server_add(front->http, "*", "/r", true, on_request, front);
	http_server_add(front->http, NULL, NULL, false, on_unknown_path, front);
	http_server_set_refusal(front->http, on_dropped_body, front);
	return http_server_start(front->http, err);
}

static int count_in_flight(const front_t *front)
{
	return front->http ? http_server_in_flight(front->http) : 0;
}

static int on_request(const struct _u_request *http_request,
		      struct _u_response *http_response, void *arg)
{
	front_t *front = arg;
	front_request_t req = { 0 };
	front_reply_t reply = { 0 };
	const char *problem = NULL;

	if (read_request(http_request, &req, &problem))
		front_serve(front, &req, &reply);
	else
		front_refuse(&reply, &req, GH_E_BAD_REQUEST, 0, problem);
	send_reply(front, &req, &reply, http_response);
	front_reply_clear(&reply);
	if (req.doc)
		gh_document_unref(req.doc);
	if (req.forwarded_headers)
		g_ptr_array_unref(req.forwarded_headers);
	return U_CALLBACK_CONTINUE;
}

static int on_ready(const struct _u_request *http_request,
		    struct _u_response *http_response, void *arg)
{
	bool ready = front_ready(arg);

	(void)http_request;
	ulfius_set_string_body_response(http_response, ready ? 200 : 503,
					ready ? "ready\n" : "not ready\n");
	return U_CALLBACK_CONTINUE;
}

static int on_dropped_body(const struct _u_request *http_request,
			   struct _u_response *http_response, void *arg)
{
	front_request_t req = { .method = http_request->http_verb };
	front_reply_t reply = { 0 };

	front_refuse(&reply, &req, GH_E_DOOR_FULL, DROPPED_RETRY_MS,
		     "no room for the body");
	send_reply(arg, &req, &reply, http_response);
	front_reply_clear(&reply);
	return U_CALLBACK_CONTINUE;
}

static int on_unknown_path(const struct _u_request *http_request,
			   struct _u_response *http_response, void *arg)
{
	front_request_t req = { .method = "GET", .attempt = 0 };
	front_reply_t reply = { 0 };

	front_refuse(&reply, &req, GH_E_NOT_FOUND, 0, http_request->url_path);
	send_reply(arg, &req, &reply, http_response);
	front_reply_clear(&reply);
	return U_CALLBACK_CONTINUE;
}

static bool read_request(const struct _u_request *http_request,
			 front_request_t *req, const char **problem)
{
	const char *idempotent =
		u_map_get_case(http_request->map_header, "X-Idempotent");

	req->method = http_request->http_verb;
	req->path = http_request->http_url;
	req->idempotency_key =
		u_map_get_case(http_request->map_header, "Idempotency-Key");
	req->caller_request_id =
		u_map_get_case(http_request->map_header, "X-Request-Id");
	req->forwarded_headers = collect_forwarded_headers(http_request);
	req->forwarded_by =
		u_map_get_case(http_request->map_header, "X-Forwarded-By");
	req->body = http_request->binary_body;
	req->body_len = http_request->binary_body_length;
	req->attempt = FRONT_ATTEMPT_UNKNOWN;
	if (req->caller_request_id &&
	    !is_visible_ascii(req->caller_request_id, REQUEST_ID_MAX_BYTES)) {
		req->caller_request_id = NULL;
		*problem = "X-Request-Id: not 1 to 64 visible ASCII bytes";
	} else if (!read_service(http_request->http_url, req))
		*problem = "path: not of the form /r/SERVICE/REST";
	else if (!read_number_header(http_request, &attempt_header,
				     &req->attempt))
		*problem = "X-Attempt: not a number from 0 to 1000000";
	else if (!read_number_header(http_request, &remaining_header,
				     &req->remaining_ms))
		*problem = "X-Remaining-Ms: not a number from 0 to 86400000";
	else if (idempotent && strcmp(idempotent, "1") != 0)
		*problem = "X-Idempotent: value is not 1";
	else if (req->idempotency_key &&
		 !is_visible_ascii(req->idempotency_key,
				   IDEMPOTENCY_KEY_MAX_BYTES))
		*problem = "Idempotency-Key: not 1 to 128 visible ASCII bytes";
	else if (!is_body_complete(http_request))
		*problem = "body: its length differs from Content-Length";
	req->marked_idempotent = idempotent && !strcmp(idempotent, "1");
	return !*problem;
}

static GPtrArray *
collect_forwarded_headers(const struct _u_request *http_request)
{
	GPtrArray *headers = g_ptr_array_new_with_free_func(g_free);
	const char **names = u_map_enum_keys(http_request->map_header);
	size_t i;

	for (i = 0; names && names[i]; i++)
		if (front_forwards_header(names[i]))
			g_ptr_array_add(
				headers,
				g_strdup_printf(
					"%s: %s", names[i],
					u_map_get(http_request->map_header,
						  names[i])));
	/*
	 * If the request has no Content-Type, an empty value of that header
	 * keeps libcurl from adding a type of its own.
	 */
	if (!u_map_get_case(http_request->map_header, "Content-Type"))
		g_ptr_array_add(headers, g_strdup("Content-Type:"));
	g_ptr_array_add(headers, NULL);
	return headers;
}

static void add_response_header(gpointer name, gpointer value,
				gpointer http_response)
{
	struct _u_response *response = http_response;

	if (front_forwards_header(name))
		u_map_put(response->map_header, name, value);
}

static bool read_service(const char *url, front_request_t *req)
{
	const char *name;
	size_t len;

	if (!url || strncmp(url, PATH_PREFIX, strlen(PATH_PREFIX)) != 0 ||
	    !is_visible_ascii(url, HEADERS_MAX_BYTES))
		return false;
	name = url + strlen(PATH_PREFIX);
	len = strcspn(name, "/?");
	if (!len || len > GH_NAME_MAX)
		return false;
	memcpy(req->service, name, len);
	return true;
}

static bool read_number_header(const struct _u_request *http_request,
			       const number_header_t *header, int64_t *value)
{
	const char *text =
		u_map_get_case(http_request->map_header, header->name);
	char *end;
	long long number;

	if (!text)
		return true;
	if (!isdigit((unsigned char)*text))
		return false;
	number = strtoll(text, &end, 10);
	if (*end || number > header->max)
		return false;
	*value = number;
	return true;
}

/* Whether text is 1 to max_len visible ASCII characters, no blanks. */
static bool is_visible_ascii(const char *text, size_t max_len)
{
	size_t i;

	for (i = 0; text[i]; i++)
		if (i >= max_len || text[i] <= ' ' || text[i] >= 127)
			return false;
	return i > 0;
}

/*
 * Whether the body is as long as Content-Length.  The server drops a body
 * longer than BODY_MAX_BYTES and gives a length of one byte more; it passes
 * this check and is refused later as too large.
 */
static bool is_body_complete(const struct _u_request *http_request)
{
	const char *text =
		u_map_get_case(http_request->map_header, "Content-Length");

	if (http_request->binary_body_length > BODY_MAX_BYTES)
		return true;
	return !text ||
	       strtoull(text, NULL, 10) == http_request->binary_body_length;
}

static void send_reply(const front_t *front, const front_request_t *req,
		       const front_reply_t *reply,
		       struct _u_response *http_response)
{
	char text[32];

	ulfius_set_binary_body_response(http_response, (unsigned)reply->status,
					reply->body ? reply->body : "",
					reply->body_len);
	u_map_put(http_response->map_header, "X-Outcome", reply->outcome);
	if (reply->headers)
		g_hash_table_foreach(reply->headers, add_response_header,
				     http_response);
	if (req->caller_request_id)
		u_map_put(http_response->map_header, "X-Request-Id",
			  req->caller_request_id);
	if (reply->retry_after_ms > 0) {
		snprintf(text, sizeof(text), "%" PRId64,
			 (reply->retry_after_ms + 999) / 1000);
		u_map_put(http_response->map_header, "Retry-After", text);
	}
	if (atomic_load(&front->draining))
		u_map_put(http_response->map_header, "Connection", "close");
}

static void *run_ticks(void *arg)
{
	front_t *front = arg;

	while (!atomic_load(&front->stopping)) {
		pthread_mutex_lock(&front->core.lock);
		front_update_document(front);
		record_tick(front, clock_boot());
		front_update_usable_slots(front);
		front_dispatch_queued(front);
		pthread_mutex_unlock(&front->core.lock);
		front_balance_credits(front);
		usleep(TICK_INTERVAL_USEC);
	}
	return NULL;
}

/*
 * Reports to the slot credits that the process runs, and keeps the longest gap
 * between ticks for as long as claims are kept: the process may have been
 * paused during the gap, so that requests took longer to arrive.
 */
static void record_tick(front_t *front, gh_time_t now)
{
	gh_time_t since_last_tick = now - atomic_load(&front->last_tick);
	gh_document_t *doc = front->core.doc;
	gh_time_t retention =
		doc ? gh_time_from_ms(front_claim_window_ms(doc)) : 0;

	gh_credit_tick(front->core.credit, now);
	if (since_last_tick >= atomic_load(&front->longest_pause) ||
	    now - front->longest_pause_seen_at > retention) {
		atomic_store(&front->longest_pause, since_last_tick);
		front->longest_pause_seen_at = now;
	}
	atomic_store(&front->last_tick, now);
}

static void stop_tick_thread(front_t *front)
{
	atomic_store(&front->stopping, true);
	if (front->tick_thread_started)
		pthread_join(front->tick_thread, NULL);
	front->tick_thread_started = false;
}

static void wait_until_idle(front_t *front, gh_time_t deadline)
{
	while (count_in_flight(front) > 0 && clock_boot() < deadline)
		usleep(DRAIN_POLL_USEC);
}

static json_t *executors_status(front_t *front)
{
	static const char *const states[] = { "in_use", "ejected", "probed",
					      "starting" };
	front_core_t *core = &front->core;
	json_t *list = json_array();
	gh_time_t now = clock_boot();
	size_t i;

	for (i = 0; core->doc && i < core->doc->n_executors; i++) {
		const gh_executor_t *executor = &core->doc->executors[i];
		gh_credit_view_t view;

		if (core->self == GH_HANDLE_NONE ||
		    executor->domain != core->doc->entries[core->self].domain)
			continue;
		view = gh_credit_view(core->credit, executor->name, now);
		json_array_append_new(
			list,
			json_pack("{s:s, s:s, s:i, s:i, s:i, s:i, s:i, s:i}",
				  "name", executor->name, "state",
				  states[gh_executor_state(core->executors,
							   executor->name)],
				  "share", (int)view.share, "usable",
				  (int)view.usable, "taken", (int)view.taken,
				  "lent", (int)view.lent, "borrowed",
				  (int)view.borrowed, "free", (int)view.free));
	}
	return list;
}

static json_t *shares_status(front_t *front)
{
	front_core_t *core = &front->core;
	json_t *list = json_array();
	gh_queue_share_t share;
	size_t i;

	for (i = 0; gh_queue_share(core->queue, i, core->usable_slots, &share);
	     i++)
		json_array_append_new(
			list, json_pack("{s:s, s:I, s:i, s:i, s:i}",
					"department", share.department,
					"queued", (json_int_t)share.queued,
					"in_flight", (int)share.in_flight,
					"guaranteed", (int)share.guaranteed,
					"borrowed", (int)share.borrowed));
	return list;
}
