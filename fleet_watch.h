/*
 * Follows all keys with a prefix in the store: reads them page by page, then
 * watches for changes.  A failed call is repeated.  If the store has compacted
 * the history since the last change read, all keys are read again.
 *
 * Replies can be outdated: a page may have been read before a change that the
 * listener already knows, and changes since the first page are passed again.
 * The watch keeps the revision of each key and drops what is not newer, so the
 * changes of a key arrive in order and none arrives twice.
 *
 * With a pause, the changes of some time arrive together: a watch that makes a
 * call for each change of a busy prefix costs the store hosts times changes.
 */
#ifndef FLEET_WATCH_H
#define FLEET_WATCH_H

#include "fleet_loop.h"
#include "fleet_port.h"

typedef struct fleet_watch fleet_watch_t;

typedef struct fleet_watch_listener {
	/* An item was read, has changed or, if its value is NULL, is gone. */
	void (*item_changed)(void *ctx, const fleet_item_t *item);
	/* All items with the prefix were read, for the first time or again. */
	void (*synced)(void *ctx);
	void *ctx;
	/*
	 * Of a key's changes in one reply only the last is passed, unless
	 * fleet_watch_refuse() is called.
	 */
	bool newest_only;
} fleet_watch_listener_t;

/*
 * Starts a watch; to be called on the loop's thread, which also calls the
 * listener.
 */
fleet_watch_t *fleet_watch_new(loop_t *loop, fleet_store_t *store,
			       fleet_keyspace_t keyspace, const char *prefix,
			       const fleet_watch_listener_t *listener);
void fleet_watch_free(fleet_watch_t *watch);
/*
 * Loop's thread: sets the time from a reply with changes until the next call; 0
 * at first.  A shorter pause takes effect at once.
 */
void fleet_watch_set_pause(fleet_watch_t *watch, gh_time_t pause);

/*
 * Loop's thread: notes a change of a key that the caller has made or read by
 * itself, without calling the listener.  Returns false if the watch knows this
 * change or a later one.
 */
bool fleet_watch_note(fleet_watch_t *watch, const char *key, uint64_t revision,
		      bool exists);
/* Loop's thread: takes back what was noted of a key. */
void fleet_watch_forget(fleet_watch_t *watch, const char *key);
/*
 * To be called by item_changed of a listener with newest_only that can't use
 * the item: the key's change before it in the reply is passed after all.
 */
void fleet_watch_refuse(fleet_watch_t *watch);

/* Loop's thread: whether the key exists, as far as the watch knows. */
bool fleet_watch_has(const fleet_watch_t *watch, const char *key);

/* Any thread: time of the last successful reply from the store; 0: none yet. */
gh_time_t fleet_watch_last_reply_at(const fleet_watch_t *watch);
/*
 * Any thread: all changes that the store had made by then were passed; 0: not
 * all items were read yet.  While all keys are read again it stands still.
 */
gh_time_t fleet_watch_current_at(const fleet_watch_t *watch);
/*
 * Loop's thread: time of the successful reply before the last one, or of the
 * watch's start.
 */
gh_time_t fleet_watch_previous_reply_at(const fleet_watch_t *watch);
/* Any thread: whether all items with the prefix were read once. */
bool fleet_watch_synced(const fleet_watch_t *watch);

#endif
