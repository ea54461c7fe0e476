/*
 * Client interface of the platform's key-value service, as a vtable.
 *
 * Values are text.  A key's version is the store's revision at its last
 * change.  A write whose reply is lost fails with GH_E_STORE_UNKNOWN: the
 * caller must read the key again before it writes.  store_put_confirm() does
 * so, for values made unique by a writer name and a sequence number.
 */
#ifndef STORE_H
#define STORE_H

#include <stdatomic.h>
#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#include <glib.h>

#include "core_time.h"

#define STORE_ABSENT 0 /* version of a key that does not exist */

typedef struct store store_t;

typedef struct store_value {
	char *key;
	char *text;
	uint64_t version;
} store_value_t;

/* Result of a watch. */
typedef struct store_changes {
	uint64_t revision; /* current revision of the store */
	/*
	 * The store's own revision is below the one that the watch started
	 * after.
	 */
	bool reset;
	GPtrArray *keys; /* changed keys, as char * */
} store_changes_t;

typedef struct store_ops {
	/*
	 * Reads the value of one key; the caller clears *value.
	 * GH_E_NOT_FOUND, GH_E_STORE_DOWN.
	 */
	bool (*get)(store_t *store, const char *key, store_value_t *value,
		    GError **err);
	/*
	 * Writes the key if it has the expected version.  The store deletes
	 * the key when the lease ends; 0 for no lease.  Sets *version, unless
	 * it is NULL, to the new version.
	 * GH_E_CONFLICT, GH_E_LEASE_LOST, GH_E_STORE_DOWN, _UNKNOWN.
	 */
	bool (*put)(store_t *store, const char *key, const char *text,
		    uint64_t expected, uint64_t lease, uint64_t *version,
		    GError **err);
	/*
	 * Deletes the key if it has the expected version; a missing key is no
	 * error.
	 */
	bool (*del)(store_t *store, const char *key, uint64_t expected,
		    GError **err);
	/* Values of all keys with a prefix, as store_value_t in key order. */
	bool (*list)(store_t *store, const char *prefix, GPtrArray **values,
		     GError **err);
	bool (*lease_grant)(store_t *store, int64_t ttl_ms, uint64_t *lease,
			    GError **err);
	/* Restarts a lease's TTL; GH_E_LEASE_LOST when it has ended. */
	bool (*lease_renew)(store_t *store, uint64_t lease, GError **err);
	bool (*lease_revoke)(store_t *store, uint64_t lease, GError **err);
	/*
	 * Waits until a key with the prefix is written or deleted at a revision
	 * above after, at most wait_ms.  Returns at once, with reset set, when
	 * the store's own revision is below after.  On success the caller
	 * clears *changes.
	 */
	bool (*watch)(store_t *store, const char *prefix, uint64_t after,
		      int64_t wait_ms, store_changes_t *changes, GError **err);
	void (*free)(store_t *store);
} store_ops_t;

struct store {
	const store_ops_t *ops;
	_Atomic bool reachable; /* the last call to the store got a reply */
};

/*
 * Client of the store at an HTTP URL; see docs/INTERFACES.md.  timeout_ms
 * bounds first the wait for the rate limit of calls_per_s, then the call.
 */
store_t *store_http_new(const char *url, int64_t timeout_ms,
			uint32_t calls_per_s);

/*
 * Sets the local IPv4 address of all connections to the store; to be called
 * before the first call to the store.
 */
void store_http_bind(store_t *base, const char *address);

/*
 * Writes a value whose text no other writer produces.  After a lost reply it
 * repeats the write with the same expected version, then reads the key, and
 * succeeds if the key holds the text.  GH_E_STORE_UNKNOWN: the write may still
 * take effect, or another writer has overwritten it.  Any other error: the
 * write never takes effect.
 */
bool store_put_confirm(store_t *store, const char *key, const char *text,
		       uint64_t expected, uint64_t lease, uint64_t *version,
		       GError **err);

/* Whether the last call to the store got a reply. */
bool store_reachable(const store_t *store);

void store_free(store_t *store);
void store_value_clear(store_value_t *value);
void store_value_free(void *value);
void store_changes_clear(store_changes_t *changes);

#endif
