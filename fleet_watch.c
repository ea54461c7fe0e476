#include "fleet_watch.h"

#include <stdatomic.h>
#include <string.h>

#include "clock.h"
#include "counter.h"
#include "log.h"

#define WAIT_MS 1000 /* of one watch; its return shows that the store lives */
#define RETRY_LEAST (50 * GH_USEC_PER_MSEC)
#define RETRY_MOST (400 * GH_USEC_PER_MSEC)

struct fleet_watch {
	loop_t *loop;
	fleet_store_t *store;
	fleet_keyspace_t space;
	char *prefix;
	fleet_reader_t reader;
	loop_timer_t timer;
	bool freed; /* by its user; the call under way still holds it */
	bool calling;
	_Atomic bool synced;
	bool lost;	   /* since the last answer */
	uint64_t revision; /* followed up to here; 0: to be read whole */
	GHashTable *keys;  /* read so far; NULL while it is followed */
	char *after;	   /* last key of the pages read */
	_Atomic gh_time_t heard;
	gh_time_t retry;
};

static void go_on(fleet_watch_t *watch);
static void on_time(void *ctx, gh_time_t now);
static void on_page(void *ctx, const fleet_reply_t *reply);
static void on_change(void *ctx, const fleet_reply_t *reply);
static bool take(fleet_watch_t *watch, const fleet_reply_t *reply);
static void fail(fleet_watch_t *watch, const fleet_reply_t *reply);
static void destroy(fleet_watch_t *watch);

fleet_watch_t *fleet_watch_new(loop_t *loop, fleet_store_t *store,
			       fleet_keyspace_t space, const char *prefix,
			       const fleet_reader_t *reader)
{
	fleet_watch_t *watch = g_new0(fleet_watch_t, 1);

	watch->loop = loop;
	watch->store = store;
	watch->space = space;
	watch->prefix = g_strdup(prefix);
	watch->reader = *reader;
	watch->retry = RETRY_LEAST;
	watch->timer = (loop_timer_t){ .at = GH_TIME_NEVER,
				       .run = on_time,
				       .ctx = watch };
	loop_timer_add(loop, &watch->timer);
	go_on(watch);
	return watch;
}

void fleet_watch_free(fleet_watch_t *watch)
{
	if (!watch)
		return;
	watch->freed = true;
	if (!watch->calling)
		destroy(watch);
}

gh_time_t fleet_watch_heard(const fleet_watch_t *watch)
{
	return watch->heard;
}

bool fleet_watch_synced(const fleet_watch_t *watch)
{
	return watch->synced;
}

static void go_on(fleet_watch_t *watch)
{
	const fleet_store_ops_t *ops = watch->store->ops;

	watch->calling = true;
	if (watch->revision && !watch->keys) {
		ops->watch(watch->store, watch->space, watch->prefix,
			   watch->revision, WAIT_MS, on_change, watch);
		return;
	}
	if (!watch->keys) {
		watch->keys = g_hash_table_new_full(g_str_hash, g_str_equal,
						    g_free, NULL);
		g_clear_pointer(&watch->after, g_free);
	}
	ops->range(watch->store, watch->space, watch->prefix,
		   watch->after ? watch->after : "", on_page, watch);
}

static void on_time(void *ctx, gh_time_t now)
{
	(void)now;
	go_on(ctx);
}

static void on_page(void *ctx, const fleet_reply_t *reply)
{
	fleet_watch_t *watch = ctx;
	GHashTable *keys;
	size_t i;

	if (!take(watch, reply))
		return;
	for (i = 0; i < reply->n_items; i++) {
		g_hash_table_add(watch->keys, g_strdup(reply->items[i].key));
		watch->reader.item(watch->reader.ctx, &reply->items[i]);
	}
	/* Pages are no snapshot: changes since the first are read again. */
	if (!watch->after || !watch->revision)
		watch->revision = reply->revision;
	if (reply->more && reply->n_items) {
		g_free(watch->after);
		watch->after = g_strdup(reply->items[reply->n_items - 1].key);
	} else {
		keys = watch->keys;
		watch->keys = NULL;
		watch->synced = true;
		if (watch->reader.synced)
			watch->reader.synced(watch->reader.ctx, keys);
		g_hash_table_destroy(keys);
	}
	if (watch->freed)
		destroy(watch);
	else
		go_on(watch);
}

static void on_change(void *ctx, const fleet_reply_t *reply)
{
	fleet_watch_t *watch = ctx;
	size_t i;

	if (!take(watch, reply))
		return;
	for (i = 0; i < reply->n_items && !watch->freed; i++)
		watch->reader.item(watch->reader.ctx, &reply->items[i]);
	if (reply->revision > watch->revision)
		watch->revision = reply->revision;
	if (watch->freed)
		destroy(watch);
	else
		go_on(watch);
}

/* Whether the reply can be used; else the next try is set. */
static bool take(fleet_watch_t *watch, const fleet_reply_t *reply)
{
	watch->calling = false;
	if (watch->freed) {
		destroy(watch);
		return false;
	}
	if (reply->result != FLEET_OK) {
		fail(watch, reply);
		return false;
	}
	if (watch->lost) {
		log_event(LOG_INFO, "store_heard", "keys", watch->prefix, NULL);
		counter_inc(CTR_STORE_REGAINED);
	}
	watch->lost = false;
	watch->retry = RETRY_LEAST;
	watch->heard = clock_boot();
	return true;
}

static void fail(fleet_watch_t *watch, const fleet_reply_t *reply)
{
	gh_time_t now = clock_boot();

	if (reply->result == FLEET_COMPACTED) {
		log_event(LOG_INFO, "history_gone", "keys", watch->prefix,
			  "revision", log_num((int64_t)watch->revision), NULL);
		watch->revision = 0;
		g_clear_pointer(&watch->keys, g_hash_table_destroy);
		g_clear_pointer(&watch->after, g_free);
		watch->timer.at = now;
		return;
	}
	if (!watch->lost) {
		log_event(LOG_WARN, "store_unheard", "keys", watch->prefix,
			  NULL);
		counter_inc(CTR_STORE_LOST);
	}
	watch->lost = true;
	watch->timer.at = now + watch->retry;
	watch->retry = MIN(watch->retry * 2, RETRY_MOST);
}

static void destroy(fleet_watch_t *watch)
{
	loop_timer_remove(watch->loop, &watch->timer);
	if (watch->keys)
		g_hash_table_destroy(watch->keys);
	g_free(watch->after);
	g_free(watch->prefix);
	g_free(watch);
}
