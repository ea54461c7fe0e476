/*
 * Follows all keys with a prefix in the store: reads them page by page, then
 * watches for changes.  A failed call is repeated.  If the store has compacted
 * the history since the last change read, all keys are read again, and the
 * listener learns which still exist.
 */
#ifndef FLEET_WATCH_H
#define FLEET_WATCH_H

#include "fleet_loop.h"
#include "fleet_port.h"

typedef struct fleet_watch fleet_watch_t;

typedef struct fleet_watch_listener {
	/*
	 * An item was read or has changed; the same item may be passed again,
	 * and it may be outdated.
	 */
	void (*item_changed)(void *ctx, const fleet_item_t *item);
	/*
	 * All items with the prefix were read; keys holds every key that
	 * exists.
	 */
	void (*synced)(void *ctx, GHashTable *keys);
	void *ctx;
} fleet_watch_listener_t;

/*
 * Starts a watch; to be called on the loop's thread, which also calls the
 * listener.
 */
fleet_watch_t *fleet_watch_new(loop_t *loop, fleet_store_t *store,
			       fleet_keyspace_t keyspace, const char *prefix,
			       const fleet_watch_listener_t *listener);
void fleet_watch_free(fleet_watch_t *watch);

/* Any thread: time of the last successful reply from the store; 0: none yet. */
gh_time_t fleet_watch_last_reply_at(const fleet_watch_t *watch);
/* Any thread: whether all items with the prefix were read once. */
bool fleet_watch_synced(const fleet_watch_t *watch);

#endif
