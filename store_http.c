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

#define IDLE_HANDLES 8
#define IDLE_MAX (2 * GH_USEC_PER_SEC)
#define ANSWER_MAX (16u * 1024 * 1024)
#define STATUS_OK 200
#define BURST_PER_RATE 2 /* half a second's tokens at once */

/* Ranks of calls in the rate limit. */
enum { RANK_LEASE, RANK_WRITE, RANK_READ, RANK_BULK };

typedef struct store_http {
	store_t base;
	http_client_t *client;
	char *url;
	gh_time_t timeout;
	pthread_mutex_t lock;
	pthread_cond_t tick;
	gh_bucket_t bucket;
} store_http_t;

/* One call to the store. */
typedef struct request {
	const char *method;
	char *url;    /* freed by the call */
	json_t *body; /* likewise; NULL for none */
	counter_t counter;
	unsigned rank;
	bool writes;
	gh_time_t wait; /* the store may take this long to answer */
} request_t;

static bool http_get(store_t *base, const char *key, store_value_t *value,
		     GError **err);
static bool http_put(store_t *base, const char *key, const char *text,
		     uint64_t expect, uint64_t lease, uint64_t *version,
		     GError **err);
static bool http_del(store_t *base, const char *key, uint64_t expect,
		     GError **err);
static bool http_list(store_t *base, const char *prefix, GPtrArray **values,
		      GError **err);
static bool http_lease_grant(store_t *base, int64_t ttl_ms, uint64_t *lease,
			     GError **err);
static bool http_lease_renew(store_t *base, uint64_t lease, GError **err);
static bool http_lease_revoke(store_t *base, uint64_t lease, GError **err);
static bool http_watch(store_t *base, const char *prefix, uint64_t after,
		       int64_t wait_ms, store_changes_t *seen, GError **err);
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

typedef struct status_kind {
	int status;
	gh_error_kind_t kind;
	counter_t counter;
} status_kind_t;

static const status_kind_t status_kinds[] = {
	{ 404, GH_E_NOT_FOUND, CTR_STORE_ABSENT },
	{ 409, GH_E_CONFLICT, CTR_STORE_CONFLICT },
	{ 410, GH_E_LEASE_LOST, CTR_STORE_LEASE_LOST },
};

static json_t *call(store_http_t *store, request_t *request, GError **err);
static bool take_token(store_http_t *store, unsigned rank, gh_time_t deadline);
static json_t *read_answer(const request_t *request,
			   const http_answer_t *answer, GError **err);
static gh_error_kind_t kind_of(const request_t *request,
			       const http_answer_t *answer);
static bool fill_value(const json_t *item, store_value_t *value);
static GPtrArray *read_keys(const json_t *answer);
static bool malformed(json_t *answer, bool writes, GError **err);
static uint64_t number_of(const json_t *object, const char *key);

store_t *store_http_new(const char *url, int64_t timeout_ms,
			uint32_t calls_per_s)
{
	store_http_t *store = g_new0(store_http_t, 1);
	int64_t burst = calls_per_s / BURST_PER_RATE;

	store->base.ops = &http_ops;
	store->client = http_client_new(IDLE_HANDLES, IDLE_MAX);
	store->url = g_strdup(url);
	store->timeout = gh_time_from_ms(timeout_ms);
	pthread_mutex_init(&store->lock, NULL);
	clock_cond_init(&store->tick);
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
		.rank = RANK_READ,
	};
	json_t *answer = call(store, &request, err);

	if (!answer)
		return false;
	memset(value, 0, sizeof(*value));
	if (!fill_value(answer, value))
		return malformed(answer, false, err);
	json_decref(answer);
	return true;
}

static bool http_put(store_t *base, const char *key, const char *text,
		     uint64_t expect, uint64_t lease, uint64_t *version,
		     GError **err)
{
	store_http_t *store = (store_http_t *)base;
	request_t request = {
		.method = "PUT",
		.url = g_strdup_printf("%s/v1/kv/%s", store->url, key),
		.body = json_pack("{s:s, s:I, s:I}", "value", text, "expect",
				  (json_int_t)expect, "lease",
				  (json_int_t)lease),
		.counter = CTR_STORE_WRITE,
		.rank = RANK_WRITE,
		.writes = true,
	};
	json_t *answer = call(store, &request, err);
	uint64_t now;

	if (!answer)
		return false;
	now = number_of(answer, "version");
	if (!now)
		return malformed(answer, true, err);
	if (version)
		*version = now;
	json_decref(answer);
	return true;
}

static bool http_del(store_t *base, const char *key, uint64_t expect,
		     GError **err)
{
	store_http_t *store = (store_http_t *)base;
	request_t request = {
		.method = "DELETE",
		.url = g_strdup_printf("%s/v1/kv/%s?expect=%" PRIu64,
				       store->url, key, expect),
		.counter = CTR_STORE_WRITE,
		.rank = RANK_WRITE,
		.writes = true,
	};
	GError *cause = NULL;
	json_t *answer = call(store, &request, &cause);

	json_decref(answer);
	if (answer)
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
		.rank = RANK_BULK,
	};
	json_t *answer = call(store, &request, err);
	const json_t *items;
	size_t i;

	if (!answer)
		return false;
	items = json_object_get(answer, "items");
	if (!json_is_array(items))
		return malformed(answer, false, err);
	*values = g_ptr_array_new_with_free_func(store_value_free);
	for (i = 0; i < json_array_size(items); i++) {
		store_value_t *value = g_new0(store_value_t, 1);

		g_ptr_array_add(*values, value);
		if (fill_value(json_array_get(items, i), value))
			continue;
		g_ptr_array_unref(*values);
		*values = NULL;
		return malformed(answer, false, err);
	}
	json_decref(answer);
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
		.rank = RANK_LEASE,
	};
	json_t *answer = call(store, &request, err);

	if (!answer)
		return false;
	/* A lease whose grant is lost runs out by itself. */
	*lease = number_of(answer, "lease");
	if (!*lease)
		return malformed(answer, false, err);
	json_decref(answer);
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
		.rank = RANK_LEASE,
	};
	json_t *answer = call(store, &request, err);

	json_decref(answer);
	return answer != NULL;
}

static bool http_lease_revoke(store_t *base, uint64_t lease, GError **err)
{
	store_http_t *store = (store_http_t *)base;
	request_t request = {
		.method = "DELETE",
		.url = g_strdup_printf("%s/v1/lease/%" PRIu64, store->url,
				       lease),
		.counter = CTR_STORE_LEASE,
		.rank = RANK_LEASE,
		.writes = true,
	};
	json_t *answer = call(store, &request, err);

	json_decref(answer);
	return answer != NULL;
}

static bool http_watch(store_t *base, const char *prefix, uint64_t after,
		       int64_t wait_ms, store_changes_t *seen, GError **err)
{
	store_http_t *store = (store_http_t *)base;
	request_t request = {
		.method = "GET",
		.url = g_strdup_printf("%s/v1/watch?prefix=%s&after=%" PRIu64
				       "&wait_ms=%" PRId64,
				       store->url, prefix, after, wait_ms),
		.counter = CTR_STORE_WATCH,
		.rank = RANK_READ,
		.wait = gh_time_from_ms(wait_ms),
	};
	json_t *answer = call(store, &request, err);

	if (!answer)
		return false;
	if (!json_is_integer(json_object_get(answer, "revision")))
		return malformed(answer, false, err);
	seen->revision = number_of(answer, "revision");
	seen->reset = json_is_true(json_object_get(answer, "reset"));
	seen->keys = read_keys(answer);
	json_decref(answer);
	return true;
}

static void http_free(store_t *base)
{
	store_http_t *store = (store_http_t *)base;

	http_client_free(store->client);
	pthread_mutex_destroy(&store->lock);
	pthread_cond_destroy(&store->tick);
	g_free(store->url);
	g_free(store);
}

/* Makes one call; the decoded body, or NULL with a typed error. */
static json_t *call(store_http_t *store, request_t *request, GError **err)
{
	static const char *const headers[] = { "Content-Type: application/json",
					       NULL };
	gh_time_t deadline = clock_boot() + store->timeout;
	char *body =
		request->body ? json_dumps(request->body, JSON_COMPACT) : NULL;
	http_answer_t answer = { 0 };
	json_t *json = NULL;

	if (take_token(store, request->rank, deadline)) {
		http_call_t http = {
			.method = request->method,
			.url = request->url,
			.headers = body ? headers : NULL,
			.body = body,
			.body_len = body ? strlen(body) : 0,
			.answer_max = ANSWER_MAX,
			.deadline =
				clock_boot() + store->timeout + request->wait,
			.once = request->writes,
		};

		counter_inc(request->counter);
		http_client_call(store->client, &http, &answer);
		counter_add(CTR_STORE_BYTES, answer.bytes);
		atomic_store(&store->base.reachable,
			     answer.stage == HTTP_STAGE_ANSWERED);
		/* Other idle connections may have gone silent as well. */
		if (answer.fault == HTTP_FAULT_TIMEOUT)
			http_client_drop_idle(store->client);
		json = read_answer(request, &answer, err);
		http_answer_clear(&answer);
	} else {
		gh_error_set(err, GH_E_STORE_DOWN,
			     "this host's calls_per_s is used up");
	}
	free(body);
	json_decref(request->body);
	g_free(request->url);
	return json;
}

/* Waits for a token of the rate limit; false at the deadline. */
static bool take_token(store_http_t *store, unsigned rank, gh_time_t deadline)
{
	bool waited = false;
	bool taken;

	pthread_mutex_lock(&store->lock);
	for (;;) {
		gh_time_t now = clock_boot();
		gh_time_t ready;

		taken = gh_bucket_take(&store->bucket, rank, now);
		if (taken || now >= deadline)
			break;
		if (!waited) {
			counter_inc(CTR_STORE_DEFERRED);
			gh_bucket_add_waiter(&store->bucket, rank);
			waited = true;
		}
		ready = gh_bucket_ready_time(&store->bucket, now);
		if (ready <= now)
			ready = now + GH_USEC_PER_MSEC;
		clock_wait(&store->tick, &store->lock,
			   ready < deadline ? ready : deadline);
	}
	if (waited) {
		gh_bucket_remove_waiter(&store->bucket, rank);
		pthread_cond_broadcast(&store->tick);
	}
	pthread_mutex_unlock(&store->lock);
	return taken;
}

static json_t *read_answer(const request_t *request,
			   const http_answer_t *answer, GError **err)
{
	json_t *json;

	if (answer->stage != HTTP_STAGE_ANSWERED ||
	    answer->status != STATUS_OK) {
		gh_error_set(err, kind_of(request, answer),
			     "%s %s: status %d, fault %d", request->method,
			     request->url, answer->status, (int)answer->fault);
		return NULL;
	}
	if (!answer->body_len)
		return json_object();
	json = json_loadb(answer->body, answer->body_len, 0, NULL);
	if (json_is_object(json))
		return json;
	malformed(json, request->writes, err);
	return NULL;
}

/* The kind of error that an answer other than 200 stands for. */
static gh_error_kind_t kind_of(const request_t *request,
			       const http_answer_t *answer)
{
	size_t i;

	if (answer->stage == HTTP_STAGE_ANSWERED)
		for (i = 0; i < G_N_ELEMENTS(status_kinds); i++)
			if (status_kinds[i].status == answer->status) {
				counter_inc(status_kinds[i].counter);
				return status_kinds[i].kind;
			}
	counter_inc(CTR_STORE_FAILED);
	if (request->writes && answer->stage != HTTP_STAGE_UNSENT)
		return GH_E_STORE_UNKNOWN;
	return GH_E_STORE_DOWN;
}

static bool fill_value(const json_t *item, store_value_t *value)
{
	const char *key = json_string_value(json_object_get(item, "key"));
	const char *text = json_string_value(json_object_get(item, "value"));

	if (!key || !text)
		return false;
	value->key = g_strdup(key);
	value->text = g_strdup(text);
	value->version = number_of(item, "version");
	return true;
}

static GPtrArray *read_keys(const json_t *answer)
{
	GPtrArray *keys = g_ptr_array_new_with_free_func(g_free);
	const json_t *changed = json_object_get(answer, "changed");
	size_t i;

	for (i = 0; i < json_array_size(changed); i++) {
		const char *key = json_string_value(json_array_get(changed, i));

		if (key)
			g_ptr_array_add(keys, g_strdup(key));
	}
	return keys;
}

/* An answer without what it has to hold counts as none. */
static bool malformed(json_t *answer, bool writes, GError **err)
{
	counter_inc(CTR_STORE_FAILED);
	gh_error_set(err, writes ? GH_E_STORE_UNKNOWN : GH_E_STORE_DOWN,
		     "the store's answer is malformed");
	json_decref(answer);
	return false;
}

static uint64_t number_of(const json_t *object, const char *key)
{
	return (uint64_t)json_integer_value(json_object_get(object, key));
}
