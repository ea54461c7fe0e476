#include "store.h"

#include <inttypes.h>
#include <jansson.h>
#include <pthread.h>
#include <string.h>

#include "clock.h"
#include "core_bucket.h"
#include "counter.h"
#include "error.h"
#include "http_client.h"
#include "json_body.h"

#define MAX_IDLE_HANDLES 8
#define IDLE_MAX_USEC (2 * GH_USEC_PER_SEC)
#define RESPONSE_MAX_BYTES (16u * 1024 * 1024)
#define STATUS_OK 200
/* A burst may take the calls allowed in half a second. */
#define BURSTS_PER_SEC 2

/* Priorities of calls in the rate limit, highest first. */
enum { PRIORITY_LEASE, PRIORITY_WRITE, PRIORITY_READ, PRIORITY_BULK };

typedef struct store_http {
	store_t base;
	http_client_t *client;
	char *url;
	gh_time_t timeout;
	pthread_mutex_t lock;
	pthread_cond_t waiter_left;
	gh_bucket_t bucket;
} store_http_t;

/* One HTTP request to the store. */
typedef struct request {
	const char *method;
	char *url;    /* freed by send_request() */
	json_t *body; /* freed by send_request(); NULL for none */
	counter_t counter;
	unsigned priority;
	bool is_write;
	gh_time_t server_wait; /* time that a watch may wait in the store */
} request_t;

static bool http_get(store_t *base, const char *key, store_value_t *value,
		     GError **err);
static bool http_put(store_t *base, const char *key, const char *text,
		     uint64_t expected, uint64_t lease, uint64_t *version,
		     GError **err);
static bool http_del(store_t *base, const char *key, uint64_t expected,
		     GError **err);
static bool http_list(store_t *base, const char *prefix, GPtrArray **values,
		      GError **err);
static bool http_lease_grant(store_t *base, int64_t ttl_ms, uint64_t *lease,
			     GError **err);
static bool http_lease_renew(store_t *base, uint64_t lease, GError **err);
static bool http_lease_revoke(store_t *base, uint64_t lease, GError **err);
static bool http_watch(store_t *base, const char *prefix, uint64_t after,
		       int64_t wait_ms, store_changes_t *changes, GError **err);
static void http_free(store_t *base);

static const store_ops_t http_ops = {
	.get = http_get,
	.put = http_put,
	.del = http_del,
	.list = http_list,
	.lease_grant = http_lease_grant,
	.lease_renew = http_lease_renew,
	.lease_revoke = http_lease_revoke,
	.watch = http_watch,
	.free = http_free,
};

/* Error kind and counter of an HTTP status. */
typedef struct status_error {
	int status;
	gh_error_kind_t kind;
	counter_t counter;
} status_error_t;

static const status_error_t status_errors[] = {
	{ 404, GH_E_NOT_FOUND, CTR_STORE_ABSENT },
	{ 409, GH_E_CONFLICT, CTR_STORE_CONFLICT },
	{ 410, GH_E_LEASE_LOST, CTR_STORE_LEASE_LOST },
};

static json_t *send_request(store_http_t *store, request_t *request,
			    GError **err);
static bool wait_for_token(store_http_t *store, unsigned priority,
			   gh_time_t deadline);
static json_t *parse_response(const request_t *request,
			      const http_response_t *response, GError **err);
static gh_error_kind_t response_error_kind(const request_t *request,
					   const http_response_t *response);
static bool parse_value(const json_t *item, store_value_t *value);
static GPtrArray *parse_changed_keys(const json_t *reply);
static bool fail_malformed(json_t *reply, bool is_write, GError **err);
static uint64_t json_uint(const json_t *object, const char *key);

store_t *store_http_new(const char *url, int64_t timeout_ms,
			uint32_t calls_per_s)
{
	store_http_t *store = g_new0(store_http_t, 1);
	int64_t burst = calls_per_s / BURSTS_PER_SEC;

	store->base.ops = &http_ops;
	store->client = http_client_new(MAX_IDLE_HANDLES, IDLE_MAX_USEC);
	store->url = g_strdup(url);
	store->timeout = gh_time_from_ms(timeout_ms);
	pthread_mutex_init(&store->lock, NULL);
	clock_cond_init(&store->waiter_left);
	gh_bucket_init(&store->bucket, calls_per_s, burst ? burst : 1,
		       clock_boot());
	return &store->base;
}

void store_http_bind(store_t *base, const char *address)
{
	store_http_t *store = (store_http_t *)base;

	http_client_bind(store->client, address);
}

static bool http_get(store_t *base, const char *key, store_value_t *value,
		     GError **err)
{
	store_http_t *store = (store_http_t *)base;
	request_t request = {
		.method = "GET",
		.url = g_strdup_printf("%s/v1/kv/%s", store->url, key),
		.counter = CTR_STORE_READ,
		.priority = PRIORITY_READ,
	};
	json_t *reply = send_request(store, &request, err);

	if (!reply)
		return false;
	memset(value, 0, sizeof(*value));
	if (!parse_value(reply, value))
		return fail_malformed(reply, false, err);
	json_decref(reply);
	return true;
}

static bool http_put(store_t *base, const char *key, const char *text,
		     uint64_t expected, uint64_t lease, uint64_t *version,
		     GError **err)
{
	store_http_t *store = (store_http_t *)base;
	request_t request = {
		.method = "PUT",
		.url = g_strdup_printf("%s/v1/kv/%s", store->url, key),
		.body = json_pack("{s:s, s:I, s:I}", "value", text, "expect",
				  (json_int_t)expected, "lease",
				  (json_int_t)lease),
		.counter = CTR_STORE_WRITE,
		.priority = PRIORITY_WRITE,
		.is_write = true,
	};
	json_t *reply = send_request(store, &request, err);
	uint64_t new_version;

	if (!reply)
		return false;
	new_version = json_uint(reply, "version");
	if (!new_version)
		return fail_malformed(reply, true, err);
	if (version)
		*version = new_version;
	json_decref(reply);
	return true;
}

static bool http_del(store_t *base, const char *key, uint64_t expected,
		     GError **err)
{
	store_http_t *store = (store_http_t *)base;
	request_t request = {
		.method = "DELETE",
		.url = g_strdup_printf("%s/v1/kv/%s?expect=%" PRIu64,
				       store->url, key, expected),
		.counter = CTR_STORE_WRITE,
		.priority = PRIORITY_WRITE,
		.is_write = true,
	};
	GError *cause = NULL;
	json_t *reply = send_request(store, &request, &cause);

	json_decref(reply);
	if (reply)
		return true;
	if (gh_error_kind(cause) == GH_E_NOT_FOUND) {
		g_error_free(cause);
		return true;
	}
	g_propagate_error(err, cause);
	return false;
}

static bool http_list(store_t *base, const char *prefix, GPtrArray **values,
		      GError **err)
{
	store_http_t *store = (store_http_t *)base;
	request_t request = {
		.method = "GET",
		.url = g_strdup_printf("%s/v1/list?prefix=%s", store->url,
				       prefix),
		.counter = CTR_STORE_READ,
		.priority = PRIORITY_BULK,
	};
	json_t *reply = send_request(store, &request, err);
	const json_t *items;
	size_t i;

	if (!reply)
		return false;
	items = json_object_get(reply, "items");
	if (!json_is_array(items))
		return fail_malformed(reply, false, err);
	*values = g_ptr_array_new_with_free_func(store_value_free);
	for (i = 0; i < json_array_size(items); i++) {
		store_value_t *value = g_new0(store_value_t, 1);

		g_ptr_array_add(*values, value);
		if (parse_value(json_array_get(items, i), value))
			continue;
		g_ptr_array_unref(*values);
		*values = NULL;
		return fail_malformed(reply, false, err);
	}
	json_decref(reply);
	return true;
}

static bool http_lease_grant(store_t *base, int64_t ttl_ms, uint64_t *lease,
			     GError **err)
{
	store_http_t *store = (store_http_t *)base;
	request_t request = {
		.method = "POST",
		.url = g_strdup_printf("%s/v1/lease", store->url),
		.body = json_pack("{s:I}", "ttl_ms", (json_int_t)ttl_ms),
		.counter = CTR_STORE_LEASE,
		.priority = PRIORITY_LEASE,
	};
	json_t *reply = send_request(store, &request, err);

	if (!reply)
		return false;
	/*
	 * If the reply to the grant was lost, the granted lease ends unused
	 * after its TTL.
	 */
	*lease = json_uint(reply, "lease");
	if (!*lease)
		return fail_malformed(reply, false, err);
	json_decref(reply);
	return true;
}

static bool http_lease_renew(store_t *base, uint64_t lease, GError **err)
{
	store_http_t *store = (store_http_t *)base;
	request_t request = {
		.method = "POST",
		.url = g_strdup_printf("%s/v1/lease/%" PRIu64 "/renew",
				       store->url, lease),
		.counter = CTR_STORE_LEASE,
		.priority = PRIORITY_LEASE,
	};
	json_t *reply = send_request(store, &request, err);

	json_decref(reply);
	return reply != NULL;
}

static bool http_lease_revoke(store_t *base, uint64_t lease, GError **err)
{
	store_http_t *store = (store_http_t *)base;
	request_t request = {
		.method = "DELETE",
		.url = g_strdup_printf("%s/v1/lease/%" PRIu64, store->url,
				       lease),
		.counter = CTR_STORE_LEASE,
		.priority = PRIORITY_LEASE,
		.is_write = true,
	};
	json_t *reply = send_request(store, &request, err);

	json_decref(reply);
	return reply != NULL;
}

static bool http_watch(store_t *base, const char *prefix, uint64_t after,
		       int64_t wait_ms, store_changes_t *changes, GError **err)
{
	store_http_t *store = (store_http_t *)base;
	request_t request = {
		.method = "GET",
		.url = g_strdup_printf("%s/v1/watch?prefix=%s&after=%" PRIu64
				       "&wait_ms=%" PRId64,
				       store->url, prefix, after, wait_ms),
		.counter = CTR_STORE_WATCH,
		.priority = PRIORITY_READ,
		.server_wait = gh_time_from_ms(wait_ms),
	};
	json_t *reply = send_request(store, &request, err);

	if (!reply)
		return false;
	if (!json_is_integer(json_object_get(reply, "revision")))
		return fail_malformed(reply, false, err);
	changes->revision = json_uint(reply, "revision");
	changes->reset = json_is_true(json_object_get(reply, "reset"));
	changes->keys = parse_changed_keys(reply);
	json_decref(reply);
	return true;
}

static void http_free(store_t *base)
{
	store_http_t *store = (store_http_t *)base;

	http_client_free(store->client);
	pthread_mutex_destroy(&store->lock);
	pthread_cond_destroy(&store->waiter_left);
	g_free(store->url);
	g_free(store);
}

/*
 * Sends one request to the store within the rate limit of calls; returns the
 * decoded body, or NULL with a typed error.
 */
static json_t *send_request(store_http_t *store, request_t *request,
			    GError **err)
{
	static const char *const headers[] = { "Content-Type: application/json",
					       NULL };
	gh_time_t deadline = clock_boot() + store->timeout;
	char *body =
		request->body ? json_dumps(request->body, JSON_COMPACT) : NULL;
	http_response_t response = { 0 };
	json_t *reply = NULL;

	if (wait_for_token(store, request->priority, deadline)) {
		http_call_t http_call = {
			.method = request->method,
			.url = request->url,
			.headers = body ? headers : NULL,
			.body = body,
			.body_len = body ? strlen(body) : 0,
			.response_max_bytes = RESPONSE_MAX_BYTES,
			.deadline = clock_boot() + store->timeout +
				    request->server_wait,
			.write_once = request->is_write,
		};

		counter_inc(request->counter);
		http_client_call(store->client, &http_call, &response);
		counter_add(CTR_STORE_BYTES, response.bytes);
		atomic_store(&store->base.reachable,
			     response.stage == HTTP_STAGE_COMPLETE);
		/*
		 * After a timeout, the idle connections to the store are
		 * dropped, as they may have failed too.
		 */
		if (response.fault == HTTP_FAULT_TIMEOUT)
			http_client_drop_idle(store->client);
		reply = parse_response(request, &response, err);
		http_response_clear(&response);
	} else {
		gh_error_set(err, GH_E_STORE_DOWN,
			     "request not sent, this host's calls_per_s limit "
			     "is reached");
	}
	free(body);
	json_decref(request->body);
	g_free(request->url);
	return reply;
}

/*
 * Waits for a token of the rate limit, which each call takes; returns false
 * when none was free by the deadline.
 */
static bool wait_for_token(store_http_t *store, unsigned priority,
			   gh_time_t deadline)
{
	bool is_waiting = false;
	bool taken;

	pthread_mutex_lock(&store->lock);
	for (;;) {
		gh_time_t now = clock_boot();
		gh_time_t refill_at;

		taken = gh_bucket_take(&store->bucket, priority, now);
		if (taken || now >= deadline)
			break;
		if (!is_waiting) {
			counter_inc(CTR_STORE_DEFERRED);
			gh_bucket_add_waiter(&store->bucket, priority);
			is_waiting = true;
		}
		refill_at = gh_bucket_ready_time(&store->bucket, now);
		if (refill_at <= now)
			refill_at = now + GH_USEC_PER_MSEC;
		clock_wait_until(&store->waiter_left, &store->lock,
				 refill_at < deadline ? refill_at : deadline);
	}
	if (is_waiting) {
		gh_bucket_remove_waiter(&store->bucket, priority);
		pthread_cond_broadcast(&store->waiter_left);
	}
	pthread_mutex_unlock(&store->lock);
	return taken;
}

static json_t *parse_response(const request_t *request,
			      const http_response_t *response, GError **err)
{
	json_t *reply;

	if (response->stage != HTTP_STAGE_COMPLETE ||
	    response->status != STATUS_OK) {
		gh_error_set(
			err, response_error_kind(request, response),
			"store request %s %s failed: HTTP status %d, fault %d",
			request->method, request->url, response->status,
			(int)response->fault);
		return NULL;
	}
	if (!response->body_len)
		return json_object();
	reply = json_body_parse(response->body, response->body_len, 0, NULL);
	if (json_is_object(reply))
		return reply;
	fail_malformed(reply, request->is_write, err);
	return NULL;
}

/*
 * Error kind of a response with a status other than 200, or of a request
 * without a whole response: the request's outcome is unknown if it is a write
 * that may have been sent.
 */
static gh_error_kind_t response_error_kind(const request_t *request,
					   const http_response_t *response)
{
	size_t i;

	if (response->stage == HTTP_STAGE_COMPLETE)
		for (i = 0; i < G_N_ELEMENTS(status_errors); i++)
			if (status_errors[i].status == response->status) {
				counter_inc(status_errors[i].counter);
				return status_errors[i].kind;
			}
	counter_inc(CTR_STORE_FAILED);
	if (request->is_write && response->stage != HTTP_STAGE_UNSENT)
		return GH_E_STORE_UNKNOWN;
	return GH_E_STORE_DOWN;
}

static bool parse_value(const json_t *item, store_value_t *value)
{
	const char *key = json_string_value(json_object_get(item, "key"));
	const char *text = json_string_value(json_object_get(item, "value"));

	if (!key || !text)
		return false;
	value->key = g_strdup(key);
	value->text = g_strdup(text);
	value->version = json_uint(item, "version");
	return true;
}

static GPtrArray *parse_changed_keys(const json_t *reply)
{
	GPtrArray *keys = g_ptr_array_new_with_free_func(g_free);
	const json_t *changed = json_object_get(reply, "changed");
	size_t i;

	for (i = 0; i < json_array_size(changed); i++) {
		const char *key = json_string_value(json_array_get(changed, i));

		if (key)
			g_ptr_array_add(keys, g_strdup(key));
	}
	return keys;
}

/*
 * Treats a reply that lacks a required member as if the reply had been lost:
 * the outcome of a write is unknown.  Frees the reply.
 */
static bool fail_malformed(json_t *reply, bool is_write, GError **err)
{
	counter_inc(CTR_STORE_FAILED);
	gh_error_set(err, is_write ? GH_E_STORE_UNKNOWN : GH_E_STORE_DOWN,
		     "malformed reply from the store");
	json_decref(reply);
	return false;
}

static uint64_t json_uint(const json_t *object, const char *key)
{
	return (uint64_t)json_integer_value(json_object_get(object, key));
}
