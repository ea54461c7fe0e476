#include "executor_link.h"

#include <inttypes.h>
#include <pthread.h>
#include <stdlib.h>
#include <string.h>

#include "clock.h"
#include "counter.h"

#define SPARES_MAX 16 /* idle connections kept to one executor */
#define IDLE_MAX (15 * GH_USEC_PER_SEC)
/*
 * A request that can't be repeated goes on a connection only that worked
 * lately.
 */
#define IDLE_MAX_ONCE GH_USEC_PER_SEC

typedef struct http_link {
	executor_link_t base;
	pthread_mutex_t lock;
	GHashTable *clients; /* address to http_client_t; never removed */
} http_link_t;

/* What the answer is checked against. */
typedef struct check {
	const executor_call_t *call;
	bool right;
} check_t;

static gh_send_result_t http_send(executor_link_t *base,
				  const executor_call_t *call,
				  http_answer_t *answer);
static void http_drop_idle(executor_link_t *base, const char *address);
static void http_free(executor_link_t *base);
static http_client_t *client_for(http_link_t *link, const char *address,
				 size_t connections);
static char **make_headers(const executor_call_t *call);
static bool abandon(void *ctx);
static bool accept_answer(void *ctx, const http_answer_t *answer);
static bool has_length(const http_answer_t *answer, bool has_body);
static gh_send_result_t ending_of(const check_t *check,
				  const http_answer_t *answer);
static void free_client(void *client);

static const executor_link_ops_t http_ops = {
	.send = http_send,
	.drop_idle = http_drop_idle,
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
				  http_answer_t *answer)
{
	http_link_t *link = (http_link_t *)base;
	http_client_t *client =
		client_for(link, call->address, call->connections);
	char **headers = make_headers(call);
	char *url = g_strdup_printf("http://%s%s", call->address, call->path);
	check_t check = { .call = call };
	http_call_t http = {
		.method = call->method,
		.url = url,
		.headers = (const char *const *)headers,
		.body = call->body,
		.body_len = call->body_len,
		.deadline = call->deadline,
		.once = true,
		.fresh = call->fresh,
		.idle_max = call->idempotent ? 0 : IDLE_MAX_ONCE,
		.abandon = call->abandon ? abandon : NULL,
		.accept = accept_answer,
		.ctx = &check,
	};

	http_client_call(client, &http, answer);
	if (!answer->reused && answer->stage != HTTP_STAGE_UNSENT)
		counter_inc(CTR_CONN_OPENED);
	if (answer->stage == HTTP_STAGE_SENT || !check.right)
		counter_inc(CTR_CONN_DROPPED);
	g_strfreev(headers);
	g_free(url);
	return ending_of(&check, answer);
}

static void http_drop_idle(executor_link_t *base, const char *address)
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

static http_client_t *client_for(http_link_t *link, const char *address,
				 size_t connections)
{
	http_client_t *client;

	pthread_mutex_lock(&link->lock);
	client = g_hash_table_lookup(link->clients, address);
	if (!client) {
		client =
			http_client_new(MIN(connections, SPARES_MAX), IDLE_MAX);
		g_hash_table_insert(link->clients, g_strdup(address), client);
	}
	pthread_mutex_unlock(&link->lock);
	return client;
}

static char **make_headers(const executor_call_t *call)
{
	GPtrArray *headers = g_ptr_array_new();
	int64_t left = gh_time_to_ms(call->deadline - clock_boot());
	size_t i;

	g_ptr_array_add(headers, g_strdup_printf("X-Request-Id: %s", call->id));
	g_ptr_array_add(headers, g_strdup_printf("X-Remaining-Ms: %" PRId64,
						 MAX(left, 0)));
	for (i = 0; call->headers && call->headers[i]; i++)
		g_ptr_array_add(headers, g_strdup(call->headers[i]));
	g_ptr_array_add(headers, NULL);
	return (char **)g_ptr_array_free(headers, FALSE);
}

static bool abandon(void *ctx)
{
	const check_t *check = ctx;

	return check->call->abandon(check->call->ctx);
}

static bool accept_answer(void *ctx, const http_answer_t *answer)
{
	check_t *check = ctx;
	const char *id = http_answer_header(answer, "x-request-id");

	check->right = id && !strcmp(id, check->call->id) &&
		       has_length(answer, strcmp(check->call->method, "HEAD"));
	return check->right;
}

static bool has_length(const http_answer_t *answer, bool has_body)
{
	const char *text = http_answer_header(answer, "content-length");
	char *end;
	unsigned long long length;

	if (!text || !g_ascii_isdigit(*text))
		return false;
	length = strtoull(text, &end, 10);
	return !*end && (!has_body || length == answer->body_len);
}

static gh_send_result_t ending_of(const check_t *check,
				  const http_answer_t *answer)
{
	static const gh_send_result_t by_fault[HTTP_FAULT_COUNT] = {
		[HTTP_FAULT_CONNECT] = GH_SEND_UNSENT,
		[HTTP_FAULT_TIMEOUT] = GH_SEND_TIMEOUT,
		[HTTP_FAULT_RESET] = GH_SEND_RESET,
		[HTTP_FAULT_SHORT] = GH_SEND_BAD_RESPONSE,
		[HTTP_FAULT_TOO_LARGE] = GH_SEND_BAD_RESPONSE,
		[HTTP_FAULT_ABANDONED] = GH_SEND_SILENT,
	};
	const char *not_run;

	if (answer->stage == HTTP_STAGE_UNSENT)
		return GH_SEND_UNSENT;
	if (answer->stage == HTTP_STAGE_SENT)
		return by_fault[answer->fault];
	if (!check->right)
		return GH_SEND_BAD_RESPONSE;
	not_run = http_answer_header(answer, "x-not-run");
	if (answer->status == 503 && not_run && !strcmp(not_run, "1"))
		return GH_SEND_REFUSED;
	return GH_SEND_COMPLETED;
}

static void free_client(void *client)
{
	http_client_free(client);
}
