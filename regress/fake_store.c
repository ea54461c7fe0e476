/*
 * Fake of the platform's key-value service, for tests.  It keeps keys, leases
 * and revisions in memory and is switched over HTTP under /ctl:
 *
 *   {"mode":"up"}        normal service
 *   {"mode":"down"}      closes every connection without a reply
 *   {"mode":"slow"}      delays each call by delay_ms
 *   {"delay_ms":N}       for mode "slow"
 *   {"lose_replies":N}   the next N writes take effect but lose their reply
 *   {"lose_prefix":TEXT} only writes of keys with this prefix lose theirs
 *   {"save":1}           saves a copy of the state
 *   {"restore":1}        goes back to the saved copy
 */
#include <argtable2.h>
#include <pthread.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "fake.h"

#define SWEEP_PERIOD_MS 10
#define VALUE_MAX_BYTES (1024 * 1024)

typedef enum store_mode { MODE_UP, MODE_DOWN, MODE_SLOW } store_mode_t;

static const char *const mode_names[] = { "up", "down", "slow" };

typedef enum call_kind {
	CALL_GET,
	CALL_PUT,
	CALL_DELETE,
	CALL_LIST,
	CALL_LEASE,
	CALL_WATCH,
	CALL_COUNT
} call_kind_t;

static const char *const call_names[] = { "get",  "put",   "delete",
					  "list", "lease", "watch" };

typedef struct entry {
	char *value;
	uint64_t version;
	uint64_t lease; /* id of the lease that the key is bound to; 0: none */
} entry_t;

typedef struct lease {
	int64_t ttl_ms;
	int64_t expires_at_ms; /* time of expiry, CLOCK_BOOTTIME */
} lease_t;

typedef struct state {
	GTree *entries;	    /* current keys: key to entry_t */
	GTree *changes;	    /* key to revision of its last write or deletion */
	GHashTable *leases; /* lease id to lease_t */
	uint64_t revision;
} state_t;

typedef struct store_fake {
	const fake_ops_t *ops;
	pthread_mutex_t lock;
	pthread_cond_t changed;
	state_t current;
	state_t saved;
	bool has_saved;
	store_mode_t mode;
	int64_t delay_ms;
	int64_t lose_replies;
	char *lose_prefix; /* prefix of the keys whose writes lose replies */
	uint64_t next_lease;
	uint64_t calls[CALL_COUNT];
	uint64_t conflicts;
	uint64_t max_watches; /* max number of watches open at the same time */
	uint64_t watches;     /* watches that are open now */
} store_fake_t;

/* Arguments of append_entry() and append_changed_key(). */
typedef struct tree_walk {
	const char *prefix;
	uint64_t after; /* revision; only later changes are appended */
	json_t *out;
} tree_walk_t;

typedef struct route {
	const char *method;
	const char *prefix;
	call_kind_t kind;
	/* suffix: the path after prefix, a key or a lease id */
	void (*run)(store_fake_t *store, const char *suffix,
		    const fake_request_t *req, fake_reply_t *reply);
} route_t;

static void serve(void *self, const fake_request_t *req, fake_reply_t *reply);
static bool set(void *self, const char *key, const json_t *value);
static json_t *show(void *self, const fake_request_t *req);
static void on_get(store_fake_t *store, const char *suffix,
		   const fake_request_t *req, fake_reply_t *reply);
static void on_put(store_fake_t *store, const char *suffix,
		   const fake_request_t *req, fake_reply_t *reply);
static void on_delete(store_fake_t *store, const char *suffix,
		      const fake_request_t *req, fake_reply_t *reply);
static void on_list(store_fake_t *store, const char *suffix,
		    const fake_request_t *req, fake_reply_t *reply);
static void on_lease_grant(store_fake_t *store, const char *suffix,
			   const fake_request_t *req, fake_reply_t *reply);
static void on_lease_renew(store_fake_t *store, const char *suffix,
			   const fake_request_t *req, fake_reply_t *reply);
static void on_lease_revoke(store_fake_t *store, const char *suffix,
			    const fake_request_t *req, fake_reply_t *reply);
static void on_watch(store_fake_t *store, const char *suffix,
		     const fake_request_t *req, fake_reply_t *reply);
static const route_t *find_route(const fake_request_t *req);
static bool take_lost_reply(store_fake_t *store, const char *key);
static void remove_key(store_fake_t *store, const char *key);
static void remove_lease(store_fake_t *store, uint64_t id);
static void record_change(store_fake_t *store, const char *key);
static void expire_leases(store_fake_t *store);
static void *run_sweeper(void *arg);
static gboolean collect_leased_key(gpointer key, gpointer value, gpointer data);
static gboolean append_entry(gpointer key, gpointer value, gpointer data);
static gboolean append_changed_key(gpointer key, gpointer value, gpointer data);
static void state_init(state_t *state);
static void state_clear(state_t *state);
static void state_copy(state_t *to, const state_t *from);
static gint compare_keys(gconstpointer a, gconstpointer b, gpointer data);
static void free_entry(gpointer data);

static const fake_ops_t ops = { .serve = serve,
				.set_control = set,
				.get_state = show };

static const route_t routes[] = {
	{ "GET", "/v1/kv/", CALL_GET, on_get },
	{ "PUT", "/v1/kv/", CALL_PUT, on_put },
	{ "DELETE", "/v1/kv/", CALL_DELETE, on_delete },
	{ "GET", "/v1/list", CALL_LIST, on_list },
	{ "POST", "/v1/lease/", CALL_LEASE, on_lease_renew },
	{ "POST", "/v1/lease", CALL_LEASE, on_lease_grant },
	{ "DELETE", "/v1/lease/", CALL_LEASE, on_lease_revoke },
	{ "GET", "/v1/watch", CALL_WATCH, on_watch },
};

int main(int argc, char **argv)
{
	struct arg_str *listen_on =
		arg_str1(NULL, "listen", "IP:PORT", "address to listen on");
	struct arg_end *end = arg_end(4);
	void *table[] = { listen_on, end };
	store_fake_t store = { .ops = &ops, .next_lease = 1 };
	pthread_t thread;

	if (arg_parse(argc, argv, table)) {
		arg_print_errors(stderr, end, argv[0]);
		return 2;
	}
	pthread_mutex_init(&store.lock, NULL);
	pthread_cond_init(&store.changed, NULL);
	state_init(&store.current);
	state_init(&store.saved);
	if (pthread_create(&thread, NULL, run_sweeper, &store))
		return 1;
	return fake_serve((fake_t *)&store, listen_on->sval[0], 0);
}

static void serve(void *self, const fake_request_t *req, fake_reply_t *reply)
{
	store_fake_t *store = self;
	const route_t *route = find_route(req);
	int64_t delay = 0;

	pthread_mutex_lock(&store->lock);
	if (route)
		store->calls[route->kind]++;
	if (store->mode == MODE_SLOW)
		delay = store->delay_ms;
	pthread_mutex_unlock(&store->lock);
	fake_sleep_ms(delay);
	pthread_mutex_lock(&store->lock);
	expire_leases(store);
	if (store->mode == MODE_DOWN)
		reply->delivery = FAKE_DELIVERY_CLOSE;
	else if (!route)
		fake_reply_error(reply, 404, "no_such_call");
	else
		route->run(store, req->path + strlen(route->prefix), req,
			   reply);
	pthread_mutex_unlock(&store->lock);
}

static const route_t *find_route(const fake_request_t *req)
{
	size_t i;

	for (i = 0; i < G_N_ELEMENTS(routes); i++)
		if (!strcmp(routes[i].method, req->method) &&
		    g_str_has_prefix(req->path, routes[i].prefix))
			return &routes[i];
	return NULL;
}

static void on_get(store_fake_t *store, const char *suffix,
		   const fake_request_t *req, fake_reply_t *reply)
{
	entry_t *entry = g_tree_lookup(store->current.entries, suffix);

	(void)req;
	if (!entry) {
		fake_reply_error(reply, 404, "not_found");
		return;
	}
	reply->json =
		json_pack("{s:s,s:s,s:I,s:I}", "key", suffix, "value",
			  entry->value, "version", (json_int_t)entry->version,
			  "lease", (json_int_t)entry->lease);
}

static void on_put(store_fake_t *store, const char *suffix,
		   const fake_request_t *req, fake_reply_t *reply)
{
	const char *value = fake_json_string(req->json, "value", NULL);
	uint64_t expected = (uint64_t)fake_json_int(req->json, "expect", 0);
	uint64_t lease = (uint64_t)fake_json_int(req->json, "lease", 0);
	entry_t *entry = g_tree_lookup(store->current.entries, suffix);
	uint64_t version = entry ? entry->version : 0;

	if (!value || strlen(value) > VALUE_MAX_BYTES) {
		fake_reply_error(reply, 400, "bad_value");
		return;
	}
	if (version != expected) {
		store->conflicts++;
		reply->status = 409;
		reply->json = json_pack("{s:s,s:I}", "error", "conflict",
					"version", (json_int_t)version);
		return;
	}
	if (lease && !g_hash_table_contains(store->current.leases, &lease)) {
		fake_reply_error(reply, 410, "lease_lost");
		return;
	}
	record_change(store, suffix);
	entry = g_new0(entry_t, 1);
	entry->value = g_strdup(value);
	entry->version = store->current.revision;
	entry->lease = lease;
	g_tree_replace(store->current.entries, g_strdup(suffix), entry);
	reply->json = json_pack("{s:I}", "version", (json_int_t)entry->version);
	if (take_lost_reply(store, suffix))
		reply->delivery = FAKE_DELIVERY_CLOSE;
}

static void on_delete(store_fake_t *store, const char *suffix,
		      const fake_request_t *req, fake_reply_t *reply)
{
	const char *expected = fake_query(req, "expect");
	entry_t *entry = g_tree_lookup(store->current.entries, suffix);

	if (!entry) {
		fake_reply_error(reply, 404, "not_found");
		return;
	}
	if (expected && strtoull(expected, NULL, 10) != entry->version) {
		store->conflicts++;
		reply->status = 409;
		reply->json = json_pack("{s:s,s:I}", "error", "conflict",
					"version", (json_int_t)entry->version);
		return;
	}
	remove_key(store, suffix);
	reply->json = json_object();
	if (take_lost_reply(store, suffix))
		reply->delivery = FAKE_DELIVERY_CLOSE;
}

static void on_list(store_fake_t *store, const char *suffix,
		    const fake_request_t *req, fake_reply_t *reply)
{
	const char *prefix = fake_query(req, "prefix");
	tree_walk_t walk = { .prefix = prefix ? prefix : "",
			     .out = json_array() };

	(void)suffix;
	g_tree_foreach(store->current.entries, append_entry, &walk);
	reply->json = json_pack("{s:I,s:o}", "revision",
				(json_int_t)store->current.revision, "items",
				walk.out);
}

static void on_lease_grant(store_fake_t *store, const char *suffix,
			   const fake_request_t *req, fake_reply_t *reply)
{
	lease_t *lease = g_new0(lease_t, 1);
	uint64_t *id = g_new0(uint64_t, 1);

	(void)suffix;
	*id = store->next_lease++;
	lease->ttl_ms = fake_json_int(req->json, "ttl_ms", 1000);
	lease->expires_at_ms = fake_boot_ms() + lease->ttl_ms;
	g_hash_table_insert(store->current.leases, id, lease);
	reply->json = json_pack("{s:I}", "lease", (json_int_t)*id);
}

static void on_lease_renew(store_fake_t *store, const char *suffix,
			   const fake_request_t *req, fake_reply_t *reply)
{
	uint64_t id = strtoull(suffix, NULL, 10);
	lease_t *lease = g_hash_table_lookup(store->current.leases, &id);

	(void)req;
	if (!lease) {
		fake_reply_error(reply, 410, "lease_lost");
		return;
	}
	lease->expires_at_ms = fake_boot_ms() + lease->ttl_ms;
	reply->json = json_object();
}

static void on_lease_revoke(store_fake_t *store, const char *suffix,
			    const fake_request_t *req, fake_reply_t *reply)
{
	(void)req;
	remove_lease(store, strtoull(suffix, NULL, 10));
	reply->json = json_object();
}

static void on_watch(store_fake_t *store, const char *suffix,
		     const fake_request_t *req, fake_reply_t *reply)
{
	const char *prefix = fake_query(req, "prefix");
	const char *after = fake_query(req, "after");
	const char *wait = fake_query(req, "wait_ms");
	int64_t deadline_ms =
		fake_boot_ms() + (wait ? strtoll(wait, NULL, 10) : 0);
	tree_walk_t walk = { .prefix = prefix ? prefix : "",
			     .after = after ? strtoull(after, NULL, 10) : 0,
			     .out = json_array() };
	bool reset = false;

	(void)suffix;
	store->watches++;
	store->max_watches = MAX(store->max_watches, store->watches);
	for (;;) {
		reset = walk.after > store->current.revision;
		if (reset)
			walk.after = 0;
		g_tree_foreach(store->current.changes, append_changed_key,
			       &walk);
		if (reset || json_array_size(walk.out) ||
		    store->mode == MODE_DOWN || fake_boot_ms() >= deadline_ms)
			break;
		pthread_cond_wait(&store->changed, &store->lock);
	}
	store->watches--;
	reply->json = json_pack("{s:I,s:b,s:o}", "revision",
				(json_int_t)store->current.revision, "reset",
				reset, "changed", walk.out);
	if (store->mode == MODE_DOWN)
		reply->delivery = FAKE_DELIVERY_CLOSE;
}

/* Returns whether to drop the reply to a write of the key; decrements
 * lose_replies if so. */
static bool take_lost_reply(store_fake_t *store, const char *key)
{
	if (!store->lose_replies ||
	    (store->lose_prefix && !g_str_has_prefix(key, store->lose_prefix)))
		return false;
	store->lose_replies--;
	return true;
}

static void record_change(store_fake_t *store, const char *key)
{
	uint64_t *revision = g_new(uint64_t, 1);

	*revision = ++store->current.revision;
	g_tree_replace(store->current.changes, g_strdup(key), revision);
	pthread_cond_broadcast(&store->changed);
}

static void remove_key(store_fake_t *store, const char *key)
{
	record_change(store, key);
	g_tree_remove(store->current.entries, key);
}

/* Appends the key to the array data[1] if the key's lease is *data[0]. */
static gboolean collect_leased_key(gpointer key, gpointer value, gpointer data)
{
	entry_t *entry = value;
	gpointer *args = data;

	if (entry->lease == *(uint64_t *)args[0])
		g_ptr_array_add(args[1], g_strdup(key));
	return FALSE;
}

static void remove_lease(store_fake_t *store, uint64_t id)
{
	GPtrArray *keys = g_ptr_array_new_with_free_func(g_free);
	gpointer args[] = { &id, keys };
	guint i;

	if (g_hash_table_remove(store->current.leases, &id)) {
		g_tree_foreach(store->current.entries, collect_leased_key,
			       args);
		for (i = 0; i < keys->len; i++)
			remove_key(store, g_ptr_array_index(keys, i));
	}
	g_ptr_array_free(keys, TRUE);
}

static void expire_leases(store_fake_t *store)
{
	int64_t now = fake_boot_ms();
	GArray *expired = g_array_new(FALSE, FALSE, sizeof(uint64_t));
	GHashTableIter iter;
	gpointer key;
	gpointer value;
	guint i;

	g_hash_table_iter_init(&iter, store->current.leases);
	while (g_hash_table_iter_next(&iter, &key, &value))
		if (((lease_t *)value)->expires_at_ms <= now)
			g_array_append_val(expired, *(uint64_t *)key);
	for (i = 0; i < expired->len; i++)
		remove_lease(store, g_array_index(expired, uint64_t, i));
	g_array_free(expired, TRUE);
}

/* Expires leases in time, and wakes the watches so that they check their
 * deadlines. */
static void *run_sweeper(void *arg)
{
	store_fake_t *store = arg;

	for (;;) {
		fake_sleep_ms(SWEEP_PERIOD_MS);
		pthread_mutex_lock(&store->lock);
		expire_leases(store);
		pthread_cond_broadcast(&store->changed);
		pthread_mutex_unlock(&store->lock);
	}
	return NULL;
}

static gboolean append_entry(gpointer key, gpointer value, gpointer data)
{
	tree_walk_t *walk = data;
	entry_t *entry = value;

	if (g_str_has_prefix(key, walk->prefix))
		json_array_append_new(walk->out,
				      json_pack("{s:s,s:s,s:I}", "key",
						(char *)key, "value",
						entry->value, "version",
						(json_int_t)entry->version));
	return FALSE;
}

static gboolean append_changed_key(gpointer key, gpointer value, gpointer data)
{
	tree_walk_t *walk = data;

	if (*(uint64_t *)value > walk->after &&
	    g_str_has_prefix(key, walk->prefix))
		json_array_append_new(walk->out, json_string(key));
	return FALSE;
}

static bool set(void *self, const char *key, const json_t *value)
{
	store_fake_t *store = self;
	int mode = fake_find_name(json_string_value(value), mode_names,
				  G_N_ELEMENTS(mode_names));
	bool ok = true;

	pthread_mutex_lock(&store->lock);
	if (!strcmp(key, "mode") && mode >= 0) {
		store->mode = (store_mode_t)mode;
	} else if (!strcmp(key, "delay_ms")) {
		store->delay_ms = json_integer_value(value);
	} else if (!strcmp(key, "lose_replies")) {
		store->lose_replies = json_integer_value(value);
	} else if (!strcmp(key, "lose_prefix")) {
		g_free(store->lose_prefix);
		store->lose_prefix = g_strdup(json_string_value(value));
	} else if (!strcmp(key, "save")) {
		state_copy(&store->saved, &store->current);
		store->has_saved = true;
	} else if (!strcmp(key, "restore") && store->has_saved) {
		state_copy(&store->current, &store->saved);
	} else {
		ok = false;
	}
	pthread_cond_broadcast(&store->changed);
	pthread_mutex_unlock(&store->lock);
	return ok;
}

static json_t *show(void *self, const fake_request_t *req)
{
	store_fake_t *store = self;
	json_t *calls = json_object();
	json_t *out;
	size_t i;

	(void)req;
	pthread_mutex_lock(&store->lock);
	for (i = 0; i < CALL_COUNT; i++)
		json_object_set_new(calls, call_names[i],
				    json_integer((json_int_t)store->calls[i]));
	out = json_pack("{s:s,s:I,s:i,s:i,s:I,s:I,s:I,s:o}", "mode",
			mode_names[store->mode], "revision",
			(json_int_t)store->current.revision, "keys",
			g_tree_nnodes(store->current.entries), "leases",
			(int)g_hash_table_size(store->current.leases),
			"lose_replies", (json_int_t)store->lose_replies,
			"conflicts", (json_int_t)store->conflicts,
			"most_watches", (json_int_t)store->max_watches, "calls",
			calls);
	pthread_mutex_unlock(&store->lock);
	return out;
}

static gint compare_keys(gconstpointer a, gconstpointer b, gpointer data)
{
	(void)data;
	return strcmp(a, b);
}

static void free_entry(gpointer data)
{
	entry_t *entry = data;

	g_free(entry->value);
	g_free(entry);
}

static void state_init(state_t *state)
{
	state->entries =
		g_tree_new_full(compare_keys, NULL, g_free, free_entry);
	state->changes = g_tree_new_full(compare_keys, NULL, g_free, g_free);
	state->leases = g_hash_table_new_full(g_int64_hash, g_int64_equal,
					      g_free, g_free);
	state->revision = 0;
}

static void state_clear(state_t *state)
{
	g_tree_destroy(state->entries);
	g_tree_destroy(state->changes);
	g_hash_table_destroy(state->leases);
}

static gboolean copy_entry(gpointer key, gpointer value, gpointer data)
{
	entry_t *copy = g_memdup2(value, sizeof(entry_t));

	copy->value = g_strdup(copy->value);
	g_tree_insert(data, g_strdup(key), copy);
	return FALSE;
}

static gboolean copy_change(gpointer key, gpointer value, gpointer data)
{
	g_tree_insert(data, g_strdup(key), g_memdup2(value, sizeof(uint64_t)));
	return FALSE;
}

/* Replaces a state by a copy of another; each lease gets its full TTL again. */
static void state_copy(state_t *to, const state_t *from)
{
	GHashTableIter iter;
	gpointer key;
	gpointer value;

	state_clear(to);
	state_init(to);
	to->revision = from->revision;
	g_tree_foreach(from->entries, copy_entry, to->entries);
	g_tree_foreach(from->changes, copy_change, to->changes);
	g_hash_table_iter_init(&iter, from->leases);
	while (g_hash_table_iter_next(&iter, &key, &value)) {
		lease_t *copy = g_memdup2(value, sizeof(lease_t));

		copy->expires_at_ms = fake_boot_ms() + copy->ttl_ms;
		g_hash_table_insert(to->leases,
				    g_memdup2(key, sizeof(uint64_t)), copy);
	}
}
