/*
 * Tests of the store client against the fake store, and of its rate limit with
 * a virtual clock.
 */
#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <cmocka.h>
#include <pthread.h>
#include <string.h>
#include <unistd.h>

#include "core_bucket.h"
#include "counter.h"
#include "error.h"
#include "proc.h"
#include "store.h"

typedef struct fixture {
	proc_t proc;
	int block_lock;
	char *address_block;
	char *address;
	store_t *store;
} fixture_t;

static int set_up(void **state)
{
	fixture_t *fix = g_new0(fixture_t, 1);
	char *url;

	fix->address_block = proc_reserve_block(&fix->block_lock);
	fix->address = g_strdup_printf("%s1:7100", fix->address_block);
	proc_start(&fix->proc, "store", "fake-store",
		   (const char *const[]){ "--listen", fix->address, NULL },
		   true);
	url = g_strdup_printf("http://%s", fix->address);
	fix->store = store_http_new(url, 5000, 10000);
	g_free(url);
	*state = fix;
	return 0;
}

static int tear_down(void **state)
{
	fixture_t *fix = *state;

	store_free(fix->store);
	proc_kill(&fix->proc);
	proc_clear(&fix->proc);
	close(fix->block_lock);
	g_free(fix->address_block);
	g_free(fix->address);
	g_free(fix);
	return 0;
}

static void set_switch(fixture_t *fix, const char *name, int value)
{
	json_decref(proc_control(fix->address, "{\"%s\":%d}", name, value));
}

static void set_mode(fixture_t *fix, const char *mode)
{
	json_decref(proc_control(fix->address, "{\"mode\":\"%s\"}", mode));
}

static void assert_error(GError **err, gh_error_kind_t kind)
{
	assert_non_null(*err);
	assert_string_equal(gh_error_name(gh_error_kind(*err)),
			    gh_error_name(kind));
	g_clear_error(err);
}

static void assert_value(fixture_t *fix, const char *key, const char *text)
{
	store_value_t value = { 0 };

	assert_true(fix->store->ops->get(fix->store, key, &value, NULL));
	assert_string_equal(value.text, text);
	store_value_clear(&value);
}

static void test_compare_and_swap(void **state)
{
	fixture_t *fix = *state;
	const store_ops_t *ops = fix->store->ops;
	store_value_t value = { 0 };
	GError *err = NULL;
	uint64_t first;
	uint64_t second;

	assert_false(ops->get(fix->store, "t/a", &value, &err));
	assert_error(&err, GH_E_NOT_FOUND);
	assert_true(ops->put(fix->store, "t/a", "one", STORE_ABSENT, 0, &first,
			     NULL));
	assert_false(ops->put(fix->store, "t/a", "two", STORE_ABSENT, 0,
			      &second, &err));
	assert_error(&err, GH_E_CONFLICT);
	assert_true(ops->put(fix->store, "t/a", "two\nlines", first, 0, &second,
			     NULL));
	assert_true(second > first);
	assert_value(fix, "t/a", "two\nlines");
	assert_false(ops->del(fix->store, "t/a", first, &err));
	assert_error(&err, GH_E_CONFLICT);
	assert_true(ops->del(fix->store, "t/a", second, NULL));
	assert_true(ops->del(fix->store, "t/a", second, NULL));
	assert_true(store_reachable(fix->store));
}

static void test_list_is_in_key_order(void **state)
{
	fixture_t *fix = *state;
	const store_ops_t *ops = fix->store->ops;
	GPtrArray *values = NULL;

	assert_true(ops->put(fix->store, "t/2", "b", 0, 0, NULL, NULL));
	assert_true(ops->put(fix->store, "t/1", "a", 0, 0, NULL, NULL));
	assert_true(ops->put(fix->store, "u/1", "c", 0, 0, NULL, NULL));
	assert_true(ops->list(fix->store, "t/", &values, NULL));
	assert_int_equal(values->len, 2);
	assert_string_equal(((store_value_t *)values->pdata[0])->text, "a");
	assert_string_equal(((store_value_t *)values->pdata[1])->key, "t/2");
	g_ptr_array_unref(values);
}

static void test_lease_ends_take_keys(void **state)
{
	fixture_t *fix = *state;
	const store_ops_t *ops = fix->store->ops;
	store_value_t value = { 0 };
	GError *err = NULL;
	uint64_t lease;

	assert_true(ops->lease_grant(fix->store, 60000, &lease, NULL));
	assert_true(ops->put(fix->store, "t/l", "x", 0, lease, NULL, NULL));
	assert_true(ops->lease_renew(fix->store, lease, NULL));
	assert_true(ops->lease_revoke(fix->store, lease, NULL));
	assert_false(ops->get(fix->store, "t/l", &value, &err));
	assert_error(&err, GH_E_NOT_FOUND);
	assert_false(ops->lease_renew(fix->store, lease, &err));
	assert_error(&err, GH_E_LEASE_LOST);
	assert_false(ops->put(fix->store, "t/l", "x", 0, lease, NULL, &err));
	assert_error(&err, GH_E_LEASE_LOST);
}

static void test_watch_sees_change_and_reset(void **state)
{
	fixture_t *fix = *state;
	const store_ops_t *ops = fix->store->ops;
	store_changes_t changes = { 0 };
	uint64_t version;

	assert_true(ops->put(fix->store, "t/w", "x", 0, 0, &version, NULL));
	set_switch(fix, "save", 1);
	assert_true(ops->watch(fix->store, "t/w", version - 1, 60000, &changes,
			       NULL));
	assert_int_equal(changes.keys->len, 1);
	assert_string_equal(changes.keys->pdata[0], "t/w");
	assert_false(changes.reset);
	store_changes_clear(&changes);
	assert_true(
		ops->put(fix->store, "t/w", "y", version, 0, &version, NULL));
	set_switch(fix, "restore", 1);
	assert_true(
		ops->watch(fix->store, "t/w", version, 60000, &changes, NULL));
	assert_true(changes.reset);
	store_changes_clear(&changes);
	assert_value(fix, "t/w", "x");
}

static void test_lost_reply_is_unknown(void **state)
{
	fixture_t *fix = *state;
	GError *err = NULL;

	set_switch(fix, "lose_replies", 1);
	assert_false(fix->store->ops->put(fix->store, "t/a", "one", 0, 0, NULL,
					  &err));
	assert_error(&err, GH_E_STORE_UNKNOWN);
	assert_value(fix, "t/a", "one");
}

static void test_lost_reply_is_resolved(void **state)
{
	fixture_t *fix = *state;
	uint64_t version = 0;
	uint64_t next = 0;
	GError *err = NULL;

	set_switch(fix, "lose_replies", 1);
	assert_true(store_put_confirm(fix->store, "t/a", "one", 0, 0, &version,
				      NULL));
	assert_true(version > 0);
	set_switch(fix, "lose_replies", 2);
	assert_true(store_put_confirm(fix->store, "t/a", "two", version, 0,
				      &next, NULL));
	assert_true(next > version);
	assert_value(fix, "t/a", "two");
	assert_false(store_put_confirm(fix->store, "t/a", "three", version, 0,
				       NULL, &err));
	assert_error(&err, GH_E_CONFLICT);
}

static void test_down_is_not_unknown(void **state)
{
	fixture_t *fix = *state;
	store_value_t value = { 0 };
	GError *err = NULL;

	proc_kill(&fix->proc);
	assert_false(fix->store->ops->put(fix->store, "t/a", "one", 0, 0, NULL,
					  &err));
	assert_error(&err, GH_E_STORE_DOWN);
	assert_false(
		store_put_confirm(fix->store, "t/a", "one", 0, 0, NULL, &err));
	assert_error(&err, GH_E_STORE_DOWN);
	assert_false(fix->store->ops->get(fix->store, "t/a", &value, &err));
	assert_error(&err, GH_E_STORE_DOWN);
	assert_false(store_reachable(fix->store));
}

static void test_closed_connection_leaves_write_unknown(void **state)
{
	fixture_t *fix = *state;
	store_value_t value = { 0 };
	GError *err = NULL;

	set_mode(fix, "down");
	assert_false(
		store_put_confirm(fix->store, "t/a", "one", 0, 0, NULL, &err));
	assert_error(&err, GH_E_STORE_UNKNOWN);
	assert_false(fix->store->ops->get(fix->store, "t/a", &value, &err));
	assert_error(&err, GH_E_STORE_DOWN);
	set_mode(fix, "up");
	assert_true(
		store_put_confirm(fix->store, "t/a", "one", 0, 0, NULL, NULL));
	assert_true(store_reachable(fix->store));
}

/* A write whose first copy has no reply: what follows, and the result. */
typedef struct lost_case {
	const char *text; /* text that the key holds then */
	uint64_t version;
	gh_error_kind_t second; /* error of the second copy */
	gh_error_kind_t kind;	/* GH_E_COUNT: the write took effect */
} lost_case_t;

static const lost_case_t lost_cases[] = {
	{ "own", 2, GH_E_CONFLICT, GH_E_COUNT },
	{ "later", 3, GH_E_CONFLICT, GH_E_STORE_UNKNOWN },
	{ "own", 2, GH_E_LEASE_LOST, GH_E_COUNT },
	{ "old", 1, GH_E_LEASE_LOST, GH_E_STORE_UNKNOWN },
	{ "later", 3, GH_E_NOT_FOUND, GH_E_STORE_UNKNOWN },
};

typedef struct scripted_store {
	store_t base;
	const lost_case_t *c;
	unsigned writes;
} scripted_store_t;

static bool scripted_put(store_t *base, const char *key, const char *text,
			 uint64_t expected, uint64_t lease, uint64_t *version,
			 GError **err)
{
	scripted_store_t *store = (scripted_store_t *)base;

	(void)text;
	(void)expected;
	(void)lease;
	(void)version;
	gh_error_set(err,
		     store->writes++ ? store->c->second : GH_E_STORE_UNKNOWN,
		     "%s", key);
	return false;
}

static bool scripted_get(store_t *base, const char *key, store_value_t *value,
			 GError **err)
{
	const lost_case_t *c = ((scripted_store_t *)base)->c;

	(void)err;
	*value = (store_value_t){ .key = g_strdup(key),
				  .text = g_strdup(c->text),
				  .version = c->version };
	return true;
}

/* The result of the last copy of a write is no proof that none took effect. */
static void test_refused_copy_after_lost_reply(void **state)
{
	static const store_ops_t ops = { .get = scripted_get,
					 .put = scripted_put };
	size_t n_failed = 0;
	size_t i;

	(void)state;
	for (i = 0; i < G_N_ELEMENTS(lost_cases); i++) {
		scripted_store_t store = { .base.ops = &ops,
					   .c = &lost_cases[i] };
		gh_error_kind_t kind = GH_E_COUNT;
		GError *err = NULL;

		if (!store_put_confirm(&store.base, "t/a", "own", 1, 0, NULL,
				       &err))
			kind = gh_error_kind(err);
		g_clear_error(&err);
		print_message("case %zu: %s\n", i,
			      kind == GH_E_COUNT ? "written" :
						   gh_error_name(kind));
		n_failed += kind != store.c->kind;
	}
	assert_int_equal(n_failed, 0);
}

#define IDLE_CONNECTIONS 4

/*
 * Thread that makes one 200 ms watch call.  Calls that run at the same time
 * each use their own connection, which stays open and idle afterwards.
 */
static void *watch_once(void *arg)
{
	store_t *store = arg;
	store_changes_t changes = { 0 };

	if (store->ops->watch(store, "t/", 1, 200, &changes, NULL))
		store_changes_clear(&changes);
	return NULL;
}

/*
 * The relay drops the traffic of all open connections without closing them;
 * only new connections work.  After the first call times out, the client must
 * close the other idle connections, so that the second call succeeds.
 */
static void test_silent_connections_cost_one_call(void **state)
{
	fixture_t *fix = *state;
	char *relay_address = g_strdup_printf("%s2:7100", fix->address_block);
	char *relay_control = g_strdup_printf("%s2:7199", fix->address_block);
	char *url = g_strdup_printf("http://%s", relay_address);
	store_t *store = store_http_new(url, 1000, 10000);
	pthread_t threads[IDLE_CONNECTIONS];
	store_value_t value = { 0 };
	proc_t relay = { 0 };
	int i;

	proc_start(&relay, "relay", "fake-relay",
		   (const char *const[]){ "--listen", relay_address, "--to",
					  fix->address, "--ctl", relay_control,
					  NULL },
		   true);
	assert_true(store->ops->put(store, "t/a", "x", 0, 0, NULL, NULL));
	for (i = 0; i < IDLE_CONNECTIONS; i++)
		pthread_create(&threads[i], NULL, watch_once, store);
	for (i = 0; i < IDLE_CONNECTIONS; i++)
		pthread_join(threads[i], NULL);
	json_decref(proc_control(relay_control, "{\"mode\":\"silent\"}"));
	if (!store->ops->get(store, "t/a", &value, NULL))
		assert_true(store->ops->get(store, "t/a", &value, NULL));
	assert_string_equal(value.text, "x");
	store_value_clear(&value);
	proc_kill(&relay);
	proc_clear(&relay);
	store_free(store);
	g_free(url);
	g_free(relay_control);
	g_free(relay_address);
}

static void test_bucket_bounds_the_rate(void **state)
{
	gh_bucket_t bucket;
	gh_time_t now = 0;
	int taken = 0;

	(void)state;
	gh_bucket_init(&bucket, 100, 10, 0);
	for (now = 0; now < 10 * GH_USEC_PER_SEC; now += 777)
		taken += gh_bucket_take(&bucket, 0, now);
	assert_in_range(taken, 1000, 1010);
	while (gh_bucket_take(&bucket, 0, now))
		;
	assert_false(gh_bucket_take(&bucket, 0,
				    gh_bucket_ready_time(&bucket, now) - 1));
	assert_true(
		gh_bucket_take(&bucket, 0, gh_bucket_ready_time(&bucket, now)));
}

static void test_bucket_serves_by_rank(void **state)
{
	gh_bucket_t bucket;

	(void)state;
	gh_bucket_init(&bucket, 1, 1, 0);
	assert_true(gh_bucket_take(&bucket, 3, 0));
	gh_bucket_add_waiter(&bucket, 1);
	assert_false(gh_bucket_take(&bucket, 2, 5 * GH_USEC_PER_SEC));
	assert_true(gh_bucket_take(&bucket, 0, 5 * GH_USEC_PER_SEC));
	assert_true(gh_bucket_take(&bucket, 1, 6 * GH_USEC_PER_SEC));
	gh_bucket_remove_waiter(&bucket, 1);
	assert_true(gh_bucket_take(&bucket, 2, 7 * GH_USEC_PER_SEC));
}

static void test_calls_wait_for_the_rate(void **state)
{
	fixture_t *fix = *state;
	char *url = g_strdup_printf("http://%s", fix->address);
	store_t *store = store_http_new(url, 60000, 20);
	uint64_t deferred = counter_get(CTR_STORE_DEFERRED);
	int i;

	for (i = 0; i < 12; i++)
		assert_true(store->ops->put(
			store, "t/a", "x", i ? (uint64_t)i : 0, 0, NULL, NULL));
	assert_true(counter_get(CTR_STORE_DEFERRED) > deferred);
	store_free(store);
	g_free(url);
}

#define WITH_STORE(test) \
	cmocka_unit_test_setup_teardown(test, set_up, tear_down)

int main(void)
{
	const struct CMUnitTest tests[] = {
		WITH_STORE(test_compare_and_swap),
		WITH_STORE(test_list_is_in_key_order),
		WITH_STORE(test_lease_ends_take_keys),
		WITH_STORE(test_watch_sees_change_and_reset),
		WITH_STORE(test_lost_reply_is_unknown),
		WITH_STORE(test_lost_reply_is_resolved),
		WITH_STORE(test_down_is_not_unknown),
		WITH_STORE(test_closed_connection_leaves_write_unknown),
		WITH_STORE(test_silent_connections_cost_one_call),
		cmocka_unit_test(test_refused_copy_after_lost_reply),
		cmocka_unit_test(test_bucket_bounds_the_rate),
		cmocka_unit_test(test_bucket_serves_by_rank),
		WITH_STORE(test_calls_wait_for_the_rate),
	};

	return cmocka_run_group_tests_name("store", tests, NULL, NULL);
}
