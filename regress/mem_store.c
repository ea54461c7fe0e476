#include "mem_store.h"

#include <string.h>

#include "error.h"

static bool mem_get(store_t *base, const char *key, store_value_t *value,
		    GError **err);
static bool mem_put(store_t *base, const char *key, const char *text,
		    uint64_t expected, uint64_t lease, uint64_t *version,
		    GError **err);
static bool mem_list(store_t *base, const char *prefix, GPtrArray **values,
		     GError **err);
static void mem_free(store_t *base);
static bool is_down(mem_store_t *store, GError **err);
static void copy_value(store_value_t *to, const store_value_t *from);

static bool get_locked(mem_store_t *store, const char *key,
		       store_value_t *value, GError **err);
static bool put_locked(mem_store_t *store, const store_value_t *new_value,
		       uint64_t *version, GError **err);

static const store_ops_t mem_ops = { .get = mem_get,
				     .put = mem_put,
				     .list = mem_list,
				     .free = mem_free };

mem_store_t *mem_store_new(void)
{
	mem_store_t *store = g_new0(mem_store_t, 1);

	store->base.ops = &mem_ops;
	atomic_store(&store->base.reachable, true);
	g_mutex_init(&store->lock);
	store->values = g_hash_table_new_full(g_str_hash, g_str_equal, NULL,
					      store_value_free);
	return store;
}

void mem_store_set_down(mem_store_t *store, bool down)
{
	g_mutex_lock(&store->lock);
	store->down = down;
	g_mutex_unlock(&store->lock);
	atomic_store(&store->base.reachable, !down);
}

static bool mem_get(store_t *base, const char *key, store_value_t *value,
		    GError **err)
{
	mem_store_t *store = (mem_store_t *)base;
	bool ok;

	g_mutex_lock(&store->lock);
	ok = get_locked(store, key, value, err);
	g_mutex_unlock(&store->lock);
	return ok;
}

static bool mem_put(store_t *base, const char *key, const char *text,
		    uint64_t expected, uint64_t lease, uint64_t *version,
		    GError **err)
{
	mem_store_t *store = (mem_store_t *)base;
	store_value_t new_value = { .key = (char *)key,
				    .text = (char *)text,
				    .version = expected };
	bool ok;

	(void)lease;
	g_mutex_lock(&store->lock);
	ok = put_locked(store, &new_value, version, err);
	g_mutex_unlock(&store->lock);
	return ok;
}

static bool get_locked(mem_store_t *store, const char *key,
		       store_value_t *value, GError **err)
{
	const store_value_t *found = g_hash_table_lookup(store->values, key);

	if (is_down(store, err))
		return false;
	if (!found) {
		gh_error_set(err, GH_E_NOT_FOUND, "no store key %s", key);
		return false;
	}
	copy_value(value, found);
	return true;
}

/* Writes a value; the stored version of the key must be new_value->version. */
static bool put_locked(mem_store_t *store, const store_value_t *new_value,
		       uint64_t *version, GError **err)
{
	const store_value_t *found =
		g_hash_table_lookup(store->values, new_value->key);
	store_value_t *copy;

	if (is_down(store, err))
		return false;
	if ((found ? found->version : STORE_ABSENT) != new_value->version) {
		gh_error_set(err, GH_E_CONFLICT,
			     "store key %s has another version than expected",
			     new_value->key);
		return false;
	}
	store->write_count++;
	copy = g_new0(store_value_t, 1);
	copy_value(copy, new_value);
	copy->version = ++store->revision;
	g_hash_table_replace(store->values, copy->key, copy);
	if (store->outage_at_write &&
	    store->write_count >= store->outage_at_write) {
		store->outage_at_write = 0;
		store->down = true;
		store->lose_replies = 1;
	}
	if (store->lose_replies) {
		store->lose_replies--;
		gh_error_set(err, GH_E_STORE_UNKNOWN,
			     "reply to the write of store key %s dropped",
			     new_value->key);
		return false;
	}
	if (version)
		*version = store->revision;
	return true;
}

static bool mem_list(store_t *base, const char *prefix, GPtrArray **values,
		     GError **err)
{
	mem_store_t *store = (mem_store_t *)base;
	GHashTableIter iter;
	gpointer found;

	g_mutex_lock(&store->lock);
	if (is_down(store, err)) {
		g_mutex_unlock(&store->lock);
		return false;
	}
	*values = g_ptr_array_new_with_free_func(store_value_free);
	g_hash_table_iter_init(&iter, store->values);
	while (g_hash_table_iter_next(&iter, NULL, &found)) {
		store_value_t *copy;

		if (!g_str_has_prefix(((store_value_t *)found)->key, prefix))
			continue;
		copy = g_new0(store_value_t, 1);
		copy_value(copy, found);
		g_ptr_array_add(*values, copy);
	}
	g_mutex_unlock(&store->lock);
	return true;
}

static void mem_free(store_t *base)
{
	mem_store_t *store = (mem_store_t *)base;

	g_hash_table_unref(store->values);
	g_mutex_clear(&store->lock);
	g_free(store);
}

static bool is_down(mem_store_t *store, GError **err)
{
	atomic_store(&store->base.reachable, !store->down);
	if (store->down)
		gh_error_set(err, GH_E_STORE_DOWN,
			     "in-memory store is set to be down");
	return store->down;
}

static void copy_value(store_value_t *to, const store_value_t *from)
{
	to->key = g_strdup(from->key);
	to->text = g_strdup(from->text);
	to->version = from->version;
}
