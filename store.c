#include "store.h"

#include <string.h>

#include "counter.h"
#include "error.h"

#define PUT_MAX_TRIES 3

static bool resolve_put(store_t *store, const char *key, const char *text,
			uint64_t expected, uint64_t *version, GError **err);

bool store_put_confirm(store_t *store, const char *key, const char *text,
		       uint64_t expected, uint64_t lease, uint64_t *version,
		       GError **err)
{
	bool reply_lost = false;
	int i;

	/*
	 * Repeating the write is safe: all tries expect the same version, so
	 * the store accepts only one of them, even if the first try arrives
	 * late.
	 */
	for (i = 0; i < PUT_MAX_TRIES; i++) {
		GError *cause = NULL;
		gh_error_kind_t kind;

		if (store->ops->put(store, key, text, expected, lease, version,
				    &cause))
			return true;
		kind = gh_error_kind(cause);
		reply_lost |= kind == GH_E_STORE_UNKNOWN;
		if (!reply_lost) {
			g_propagate_error(err, cause);
			return false;
		}
		g_error_free(cause);
		if (kind != GH_E_STORE_UNKNOWN && kind != GH_E_STORE_DOWN)
			break;
	}
	return resolve_put(store, key, text, expected, version, err);
}

bool store_reachable(const store_t *store)
{
	return atomic_load(&store->reachable);
}

void store_free(store_t *store)
{
	if (store)
		store->ops->free(store);
}

void store_value_clear(store_value_t *value)
{
	g_free(value->key);
	g_free(value->text);
	memset(value, 0, sizeof(*value));
}

void store_value_free(void *value)
{
	store_value_clear(value);
	g_free(value);
}

void store_changes_clear(store_changes_t *changes)
{
	if (changes->keys)
		g_ptr_array_unref(changes->keys);
	memset(changes, 0, sizeof(*changes));
}

/*
 * Reads the key to find out whether a write whose reply was lost took effect.
 * While the key has the expected version, the write may still arrive.  Any
 * other version without this text means that another writer wrote instead of
 * that write or after it.
 */
static bool resolve_put(store_t *store, const char *key, const char *text,
			uint64_t expected, uint64_t *version, GError **err)
{
	store_value_t current = { .version = STORE_ABSENT };
	GError *cause = NULL;
	bool written;

	counter_inc(CTR_STORE_REREADS);
	if (!store->ops->get(store, key, &current, &cause) &&
	    gh_error_kind(cause) != GH_E_NOT_FOUND)
		current.version = expected;
	g_clear_error(&cause);
	written = current.text && !strcmp(current.text, text);
	if (written && version)
		*version = current.version;
	if (!written)
		gh_error_set(err, GH_E_STORE_UNKNOWN,
			     "no reply to the write of store key %s%s", key,
			     current.version == expected ?
				     "" :
				     ", which another writer has changed");
	store_value_clear(&current);
	return written;
}
