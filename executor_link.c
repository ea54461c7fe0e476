#include "executor_link.h"

#include <inttypes.h>
#include <pthread.h>
#include <stdlib.h>
#include <string.h>

#include "clock.h"
#include "counter.h"

/* Maximum of idle connections to one address. */
#define IDLE_CONNECTIONS_MAX 16
#define IDLE_MAX_USEC (15 * GH_USEC_PER_SEC)
/*
 * Maximum idle time of a connection on which a non-idempotent request is sent.
 * The request cannot be sent again if the connection turns out to be broken, so
 * only one that was in use recently is reused.
 */
#define NON_IDEMPOTENT_IDLE_MAX_USEC GH_USEC_PER_SEC

typedef struct http_link {
	executor_link_t base;
	pthread_mutex_t lock;
	/* Address to http_client_t; entries are never removed. */
	GHashTable *clients;
} http_link_t;

/* Context of a call: the request that its response is checked against. */
typedef struct response_check {
	const executor_call_t *call;
	bool is_valid;
} response_check_t;

static gh_send_result_t http_send(executor_link_t *base,
				  const executor_call_t *call,
				  http_response_t *response);
static void http_close_idle(executor_link_t *base, const char *address);
static void http_free(executor_link_t *base);
static http_client_t *get_client(http_link_t *link, const char *address,
				 size_t max_idle_connections);
static char **make_headers(const executor_call_t *call);
static bool should_abandon(void *ctx);
static bool accept_response(void *ctx, const http_response_t *response);
static bool has_valid_length(const http_response_t *response, bool has_body);
static gh_send_result_t classify_result(const response_check_t *check,
					const http_response_t *response);
static void free_client(void *client);

static const executor_link_ops_t http_ops = {
	.send = http_send,
	.close_idle = http_close_idle,
	.free = http_free,
};

executor_link_t *executor_link_http_new(void)
{
	http_link_t *link = g_new0(http_link_t, 1);

	link->base.ops = &http_ops;
	pthread_mutex_init(&link->lock, NULL);
	link->clients = g_hash_table_new_full(g_str_hash, g_str_equal, g_free,
					      free_client);
	return &link->base;
}

static gh_send_result_t http_send(executor_link_t *base,
				  const executor_call_t *call,
				  http_response_t *response)
{
	http_link_t *link = (http_link_t *)base;
	http_client_t *client =
		get_client(link, call->address, call->max_idle_connections);
	char **headers = make_headers(call);
	char *url = g_strdup_printf("http://%s%s", call->address, call->path);
	response_check_t check = { .call = call };
	http_call_t http_call = {
		.method = call->method,
		.url = url,
		.headers = (const char *const *)headers,
		.body = call->body,
		.body_len = call->body_len,
		.deadline = call->deadline,
		.write_once = true,
		.new_connection = call->new_connection,
		.max_idle_time =
			call->idempotent ? 0 : NON_IDEMPOTENT_IDLE_MAX_USEC,
		.should_abort = call->should_abandon ? should_abandon : NULL,
		.accept_response = accept_response,
		.ctx = &check,
	};

	http_client_call(client, &http_call, response);
	if (!response->reused && response->stage != HTTP_STAGE_UNSENT)
		counter_inc(CTR_CONN_OPENED);
	if (response->stage == HTTP_STAGE_SENT || !check.is_valid)
		counter_inc(CTR_CONN_DROPPED);
	g_strfreev(headers);
	g_free(url);
	return classify_result(&check, response);
}

static void http_close_idle(executor_link_t *base, const char *address)
{
	http_link_t *link = (http_link_t *)base;
	http_client_t *client;

	pthread_mutex_lock(&link->lock);
	client = g_hash_table_lookup(link->clients, address);
	pthread_mutex_unlock(&link->lock);
	if (client)
		http_client_drop_idle(client);
}

static void http_free(executor_link_t *base)
{
	http_link_t *link = (http_link_t *)base;

	g_hash_table_unref(link->clients);
	pthread_mutex_destroy(&link->lock);
	g_free(link);
}

static http_client_t *get_client(http_link_t *link, const char *address,
				 size_t max_idle_connections)
{
	http_client_t *client;

	pthread_mutex_lock(&link->lock);
	client = g_hash_table_lookup(link->clients, address);
	if (!client) {
		client = http_client_new(
			MIN(max_idle_connections, IDLE_CONNECTIONS_MAX),
			IDLE_MAX_USEC);
		g_hash_table_insert(link->clients, g_strdup(address), client);
	}
	pthread_mutex_unlock(&link->lock);
	return client;
}

static char **make_headers(const executor_call_t *call)
{
	GPtrArray *headers = g_ptr_array_new();
	int64_t remaining_ms = gh_time_to_ms(call->deadline - clock_boot());
	size_t i;

	g_ptr_array_add(headers,
			g_strdup_printf("X-Request-Id: %s", call->request_id));
	g_ptr_array_add(headers, g_strdup_printf("X-Remaining-Ms: %" PRId64,
						 MAX(remaining_ms, 0)));
	for (i = 0; call->headers && call->headers[i]; i++)
		g_ptr_array_add(headers, g_strdup(call->headers[i]));
	g_ptr_array_add(headers, NULL);
	return (char **)g_ptr_array_free(headers, FALSE);
}

static bool should_abandon(void *ctx)
{
	const response_check_t *check = ctx;

	return check->call->should_abandon(check->call->abandon_ctx);
}

/* Checks that the response is complete and belongs to the request. */
static bool accept_response(void *ctx, const http_response_t *response)
{
	response_check_t *check = ctx;
	const char *id = http_response_header(response, "x-request-id");

	check->is_valid =
		id && !strcmp(id, check->call->request_id) &&
		has_valid_length(response, strcmp(check->call->method, "HEAD"));
	return check->is_valid;
}

/*
 * Whether Content-Length is a number and, if the response has a body, equal to
 * the length of the body that was read.
 */
static bool has_valid_length(const http_response_t *response, bool has_body)
{
	const char *text = http_response_header(response, "content-length");
	char *end;
	unsigned long long length;

	if (!text || !g_ascii_isdigit(*text))
		return false;
	length = strtoull(text, &end, 10);
	return !*end && (!has_body || length == response->body_len);
}

static gh_send_result_t classify_result(const response_check_t *check,
					const http_response_t *response)
{
	/* Results of a request that may have been written. */
	static const gh_send_result_t result_by_fault[HTTP_FAULT_COUNT] = {
		/* libcurl failed to connect again after the write. */
		[HTTP_FAULT_CONNECT] = GH_SEND_RESET,
		[HTTP_FAULT_TIMEOUT] = GH_SEND_TIMEOUT,
		[HTTP_FAULT_RESET] = GH_SEND_RESET,
		[HTTP_FAULT_TRUNCATED] = GH_SEND_BAD_RESPONSE,
		[HTTP_FAULT_TOO_LARGE] = GH_SEND_BAD_RESPONSE,
		[HTTP_FAULT_ABORTED] = GH_SEND_SILENT,
	};
	const char *not_run;

	if (response->stage == HTTP_STAGE_UNSENT)
		return GH_SEND_UNSENT;
	if (response->stage == HTTP_STAGE_SENT)
		return result_by_fault[response->fault];
	if (!check->is_valid)
		return GH_SEND_BAD_RESPONSE;
	not_run = http_response_header(response, "x-not-run");
	if (response->status == 503 && not_run && !strcmp(not_run, "1"))
		return GH_SEND_REFUSED;
	return GH_SEND_COMPLETED;
}

static void free_client(void *client)
{
	http_client_free(client);
}
