/*
 * A part of the store's keys, read whole and then followed.  After lost
 * history or a fault it is read whole again; the reader is told which keys
 * are left.
 */
#ifndef FLEET_WATCH_H
#define FLEET_WATCH_H

#include "fleet_loop.h"
#include "fleet_port.h"

typedef struct fleet_watch fleet_watch_t;

typedef struct fleet_reader {
	/* One item as it is now; may be told twice, or late by a revision. */
	void (*item)(void *ctx, const fleet_item_t *item);
	/* All was read: keys are those that exist, none else does. */
	void (*synced)(void *ctx, GHashTable *keys);
	void *ctx;
} fleet_reader_t;

fleet_watch_t *fleet_watch_new(loop_t *loop, fleet_store_t *store,
			       fleet_keyspace_t space, const char *prefix,
			       const fleet_reader_t *reader);
void fleet_watch_free(fleet_watch_t *watch);

/* Any thread.  When the store last answered it; 0: never. */
gh_time_t fleet_watch_heard(const fleet_watch_t *watch);
bool fleet_watch_synced(const fleet_watch_t *watch);

#endif
