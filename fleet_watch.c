#include "fleet_watch.h"

#include <stdatomic.h>
#include <string.h>

#include "clock.h"
#include "counter.h"
#include "log.h"

/*
 * Max wait of a watch call to the store; each reply shows that the store is
 * reachable.
 */
#define WATCH_WAIT_MS 1000
#define RETRY_DELAY_MIN_USEC (50 * GH_USEC_PER_MSEC)
#define RETRY_DELAY_MAX_USEC (400 * GH_USEC_PER_MSEC)

struct fleet_watch {
	loop_t *loop;
	fleet_store_t *store;
	fleet_keyspace_t keyspace;
	char *prefix;
	fleet_watch_listener_t listener;
	loop_timer_t timer;
	/* The user has freed the watch; the reply in flight destroys it. */
	bool freed;
	bool call_pending;
	_Atomic bool synced;
	bool failing; /* the last call to the store failed */
	/*
	 * Last store revision that was read; 0: all keys must be read.
	 */
	uint64_t revision;
	GHashTable *keys; /* keys found in a full read; NULL while watching */
	char *last_key; /* last key of the pages read; NULL: no page was read */
	_Atomic gh_time_t last_reply_at;
	gh_time_t retry_delay;
};

static void start_call(fleet_watch_t *watch);
static void on_timer(void *ctx, gh_time_t now);
static void on_page(void *ctx, const fleet_reply_t *reply);
static void on_changes(void *ctx, const fleet_reply_t *reply);
static bool accept_reply(fleet_watch_t *watch, const fleet_reply_t *reply);
static void handle_failure(fleet_watch_t *watch, const fleet_reply_t *reply);
static void destroy(fleet_watch_t *watch);

fleet_watch_t *fleet_watch_new(loop_t *loop, fleet_store_t *store,
			       fleet_keyspace_t keyspace, const char *prefix,
			       const fleet_watch_listener_t *listener)
{
	fleet_watch_t *watch = g_new0(fleet_watch_t, 1);

	watch->loop = loop;
	watch->store = store;
	watch->keyspace = keyspace;
	watch->prefix = g_strdup(prefix);
	watch->listener = *listener;
	watch->retry_delay = RETRY_DELAY_MIN_USEC;
	watch->timer = (loop_timer_t){ .at = GH_TIME_NEVER,
				       .run = on_timer,
				       .ctx = watch };
	loop_timer_add(loop, &watch->timer);
	start_call(watch);
	return watch;
}

void fleet_watch_free(fleet_watch_t *watch)
{
	if (!watch)
		return;
	watch->freed = true;
	if (!watch->call_pending)
		destroy(watch);
}

gh_time_t fleet_watch_last_reply_at(const fleet_watch_t *watch)
{
	return watch->last_reply_at;
}

bool fleet_watch_synced(const fleet_watch_t *watch)
{
	return watch->synced;
}

static void start_call(fleet_watch_t *watch)
{
	const fleet_store_ops_t *ops = watch->store->ops;

	watch->call_pending = true;
	if (watch->revision && !watch->keys) {
		ops->watch(watch->store, watch->keyspace, watch->prefix,
			   watch->revision, WATCH_WAIT_MS, on_changes, watch);
		return;
	}
	if (!watch->keys) {
		watch->keys = g_hash_table_new_full(g_str_hash, g_str_equal,
						    g_free, NULL);
		g_clear_pointer(&watch->last_key, g_free);
	}
	ops->range(watch->store, watch->keyspace, watch->prefix,
		   watch->last_key ? watch->last_key : "", on_page, watch);
}

static void on_timer(void *ctx, gh_time_t now)
{
	(void)now;
	start_call(ctx);
}

static void on_page(void *ctx, const fleet_reply_t *reply)
{
	fleet_watch_t *watch = ctx;
	GHashTable *keys;
	size_t i;

	if (!accept_reply(watch, reply))
		return;
	for (i = 0; i < reply->n_items; i++) {
		g_hash_table_add(watch->keys, g_strdup(reply->items[i].key));
		watch->listener.item_changed(watch->listener.ctx,
					     &reply->items[i]);
	}
	/*
	 * The pages of a full read are not one consistent snapshot: the watch
	 * starts at the revision of the first page, so later changes are read
	 * again.
	 */
	if (!watch->last_key || !watch->revision)
		watch->revision = reply->revision;
	if (reply->more && reply->n_items) {
		g_free(watch->last_key);
		watch->last_key =
			g_strdup(reply->items[reply->n_items - 1].key);
	} else {
		keys = watch->keys;
		watch->keys = NULL;
		watch->synced = true;
		if (watch->listener.synced)
			watch->listener.synced(watch->listener.ctx, keys);
		g_hash_table_destroy(keys);
	}
	if (watch->freed)
		destroy(watch);
	else
		start_call(watch);
}

static void on_changes(void *ctx, const fleet_reply_t *reply)
{
	fleet_watch_t *watch = ctx;
	size_t i;

	if (!accept_reply(watch, reply))
		return;
	for (i = 0; i < reply->n_items && !watch->freed; i++)
		watch->listener.item_changed(watch->listener.ctx,
					     &reply->items[i]);
	if (reply->revision > watch->revision)
		watch->revision = reply->revision;
	if (watch->freed)
		destroy(watch);
	else
		start_call(watch);
}

/*
 * Returns whether the call succeeded and the watch is still in use.  If the
 * call failed, schedules the next one; if the watch was freed, destroys it.
 */
static bool accept_reply(fleet_watch_t *watch, const fleet_reply_t *reply)
{
	watch->call_pending = false;
	if (watch->freed) {
		destroy(watch);
		return false;
	}
	if (reply->result != FLEET_OK) {
		handle_failure(watch, reply);
		return false;
	}
	if (watch->failing) {
		log_event(LOG_INFO, "store_heard", "keys", watch->prefix, NULL);
		counter_inc(CTR_STORE_REACHABLE_AGAIN);
	}
	watch->failing = false;
	watch->retry_delay = RETRY_DELAY_MIN_USEC;
	watch->last_reply_at = clock_boot();
	return true;
}

static void handle_failure(fleet_watch_t *watch, const fleet_reply_t *reply)
{
	gh_time_t now = clock_boot();

	if (reply->result == FLEET_COMPACTED) {
		log_event(LOG_INFO, "history_gone", "keys", watch->prefix,
			  "revision", log_num((int64_t)watch->revision), NULL);
		watch->revision = 0;
		g_clear_pointer(&watch->keys, g_hash_table_destroy);
		g_clear_pointer(&watch->last_key, g_free);
		watch->timer.at = now;
		return;
	}
	if (!watch->failing) {
		log_event(LOG_WARN, "store_unheard", "keys", watch->prefix,
			  NULL);
		counter_inc(CTR_STORE_UNREACHABLE);
	}
	watch->failing = true;
	watch->timer.at = now + watch->retry_delay;
	watch->retry_delay = MIN(watch->retry_delay * 2, RETRY_DELAY_MAX_USEC);
}

static void destroy(fleet_watch_t *watch)
{
	loop_timer_remove(watch->loop, &watch->timer);
	if (watch->keys)
		g_hash_table_destroy(watch->keys);
	g_free(watch->last_key);
	g_free(watch->prefix);
	g_free(watch);
}
