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
/*
 * Max time from a call to its reply, beyond the wait that it asks for.  One
 * that is read later has lain here while the host was frozen.
 */
#define REPLY_DELAY_MAX_USEC (700 * GH_USEC_PER_MSEC)
/*
 * Time between the starts of a call that failed and of the next one; at least
 * the minimum is left after the failure.
 */
#define RETRY_DELAY_MIN_USEC (50 * GH_USEC_PER_MSEC)
#define RETRY_DELAY_MAX_USEC (400 * GH_USEC_PER_MSEC)

/* The last change of a key that is known. */
typedef struct key_state {
	uint64_t revision;
	bool exists;
	unsigned listed_in_read; /* number of the last full read with the key */
} key_state_t;

/* A key that is gone; its entry is kept while older items may still arrive. */
typedef struct gone_key {
	char *key;
	uint64_t revision;
} gone_key_t;

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
	bool reading;	  /* a full read is under way */
	unsigned n_reads; /* number of full reads that began */
	char *last_key; /* last key of the pages read; NULL: no page was read */
	GHashTable *keys;  /* key to key_state_t */
	GQueue *gone_keys; /* gone_key_t, in the order of their arrival */
	_Atomic gh_time_t last_reply_at;
	gh_time_t read_from; /* first reply of the full read under way */
	_Atomic gh_time_t current_at;
	gh_time_t started_at;
	gh_time_t previous_reply_at; /* 0: fewer than two replies */
	gh_time_t call_started_at;
	gh_time_t reply_due_at; /* latest time that its reply stands for */
	gh_time_t retry_delay;
	gh_time_t pause;      /* min time from a reply with changes to a call */
	gh_time_t changes_at; /* time of the last such reply */
	bool pausing;
	bool refused; /* the listener can't use the item it was passed last */
};

static void start_call(fleet_watch_t *watch);
static void on_timer(void *ctx, gh_time_t now);
static void on_page(void *ctx, const fleet_reply_t *reply);
static void on_changes(void *ctx, const fleet_reply_t *reply);
static bool is_replaced(const fleet_reply_t *reply, size_t i);
static void pass_newest(fleet_watch_t *watch, const fleet_reply_t *reply,
			size_t i);
static void continue_watch(fleet_watch_t *watch);
static void pause_watch(fleet_watch_t *watch);
static void pass_listed_item(fleet_watch_t *watch, const fleet_item_t *item);
static void finish_read(fleet_watch_t *watch);
static void pass_item(fleet_watch_t *watch, const fleet_item_t *item);
static void pass_missing_keys(fleet_watch_t *watch);
static void forget_gone_keys(fleet_watch_t *watch);
static void free_gone_key(gpointer data);
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
	watch->started_at = clock_boot();
	watch->keys =
		g_hash_table_new_full(g_str_hash, g_str_equal, g_free, g_free);
	watch->gone_keys = g_queue_new();
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

void fleet_watch_set_pause(fleet_watch_t *watch, gh_time_t pause)
{
	watch->pause = pause;
	if (watch->pausing)
		watch->timer.at =
			MIN(watch->timer.at, watch->changes_at + pause);
}

gh_time_t fleet_watch_last_reply_at(const fleet_watch_t *watch)
{
	return watch->last_reply_at;
}

gh_time_t fleet_watch_current_at(const fleet_watch_t *watch)
{
	return watch->current_at;
}

gh_time_t fleet_watch_previous_reply_at(const fleet_watch_t *watch)
{
	return watch->previous_reply_at ? watch->previous_reply_at :
					  watch->started_at;
}

bool fleet_watch_synced(const fleet_watch_t *watch)
{
	return watch->synced;
}

bool fleet_watch_note(fleet_watch_t *watch, const char *key, uint64_t revision,
		      bool exists)
{
	key_state_t *state = g_hash_table_lookup(watch->keys, key);

	if (state && revision <= state->revision)
		return false;
	if (!state) {
		state = g_new0(key_state_t, 1);
		g_hash_table_insert(watch->keys, g_strdup(key), state);
	}
	state->revision = revision;
	state->exists = exists;
	if (!exists) {
		gone_key_t *gone = g_new(gone_key_t, 1);

		*gone = (gone_key_t){ .key = g_strdup(key),
				      .revision = revision };
		g_queue_push_tail(watch->gone_keys, gone);
	}
	return true;
}

void fleet_watch_refuse(fleet_watch_t *watch)
{
	watch->refused = true;
}

void fleet_watch_forget(fleet_watch_t *watch, const char *key)
{
	g_hash_table_remove(watch->keys, key);
}

bool fleet_watch_has(const fleet_watch_t *watch, const char *key)
{
	const key_state_t *state = g_hash_table_lookup(watch->keys, key);

	return state && state->exists;
}

static void start_call(fleet_watch_t *watch)
{
	const fleet_store_ops_t *ops = watch->store->ops;
	int64_t wait_ms = watch->failing ? 0 : WATCH_WAIT_MS;

	watch->call_pending = true;
	watch->call_started_at = clock_boot();
	watch->reply_due_at = watch->call_started_at + REPLY_DELAY_MAX_USEC;
	if (watch->revision && !watch->reading) {
		watch->reply_due_at += gh_time_from_ms(wait_ms);
		/*
		 * A call without a wait is given up sooner, so that not much
		 * time is lost if the store is back just after its start.
		 */
		ops->watch(watch->store, watch->keyspace, watch->prefix,
			   watch->revision, wait_ms, on_changes, watch);
		return;
	}
	if (!watch->reading) {
		watch->reading = true;
		watch->n_reads++;
		g_clear_pointer(&watch->last_key, g_free);
	}
	ops->range(watch->store, watch->keyspace, watch->prefix,
		   watch->last_key ? watch->last_key : "", on_page, watch);
}

static void on_timer(void *ctx, gh_time_t now)
{
	fleet_watch_t *watch = ctx;

	(void)now;
	watch->pausing = false;
	start_call(watch);
}

static void on_page(void *ctx, const fleet_reply_t *reply)
{
	fleet_watch_t *watch = ctx;
	size_t i;

	if (!accept_reply(watch, reply))
		return;
	/*
	 * The pages of a full read are not one consistent snapshot: the watch
	 * starts at the revision of the first page, so later changes are read
	 * again.
	 */
	if (!watch->last_key || !watch->revision) {
		watch->revision = reply->revision;
		watch->read_from = watch->last_reply_at;
	}
	for (i = 0; i < reply->n_items && !watch->freed; i++)
		pass_listed_item(watch, &reply->items[i]);
	if (reply->more && reply->n_items) {
		g_free(watch->last_key);
		watch->last_key =
			g_strdup(reply->items[reply->n_items - 1].key);
	} else if (!watch->freed) {
		finish_read(watch);
	}
	continue_watch(watch);
}

static void on_changes(void *ctx, const fleet_reply_t *reply)
{
	fleet_watch_t *watch = ctx;
	size_t i;

	if (!accept_reply(watch, reply))
		return;
	for (i = 0; i < reply->n_items && !watch->freed; i++)
		if (!watch->listener.newest_only)
			pass_item(watch, &reply->items[i]);
		else if (!is_replaced(reply, i))
			pass_newest(watch, reply, i);
	if (reply->revision > watch->revision)
		watch->revision = reply->revision;
	watch->current_at = watch->last_reply_at;
	forget_gone_keys(watch);
	if (reply->n_items && watch->pause && !watch->freed)
		pause_watch(watch);
	else
		continue_watch(watch);
}

/* Whether a later item of the reply is about the same key. */
static bool is_replaced(const fleet_reply_t *reply, size_t i)
{
	size_t later;

	for (later = i + 1; later < reply->n_items; later++)
		if (!strcmp(reply->items[later].key, reply->items[i].key))
			return true;
	return false;
}

/* Passes the item and, while the listener refuses, the key's former ones. */
static void pass_newest(fleet_watch_t *watch, const fleet_reply_t *reply,
			size_t i)
{
	const char *key = reply->items[i].key;

	watch->refused = false;
	pass_item(watch, &reply->items[i]);
	while (i-- && watch->refused && !watch->freed) {
		if (strcmp(reply->items[i].key, key) != 0)
			continue;
		watch->refused = false;
		watch->listener.item_changed(watch->listener.ctx,
					     &reply->items[i]);
	}
}

static void pause_watch(fleet_watch_t *watch)
{
	watch->call_pending = false;
	watch->pausing = true;
	watch->changes_at = clock_boot();
	watch->timer.at = watch->changes_at + watch->pause;
}

/* Makes the next call, or destroys a watch that the listener has freed. */
static void continue_watch(fleet_watch_t *watch)
{
	watch->call_pending = false;
	if (watch->freed)
		destroy(watch);
	else
		start_call(watch);
}

static void pass_listed_item(fleet_watch_t *watch, const fleet_item_t *item)
{
	key_state_t *state;

	pass_item(watch, item);
	state = g_hash_table_lookup(watch->keys, item->key);
	state->listed_in_read = watch->n_reads;
}

static void finish_read(fleet_watch_t *watch)
{
	watch->reading = false;
	watch->synced = true;
	pass_missing_keys(watch);
	watch->current_at = watch->read_from;
	if (!watch->freed && watch->listener.synced)
		watch->listener.synced(watch->listener.ctx);
}

/* Passes an item to the listener unless it is outdated. */
static void pass_item(fleet_watch_t *watch, const fleet_item_t *item)
{
	if (fleet_watch_note(watch, item->key, item->revision,
			     item->value != NULL))
		watch->listener.item_changed(watch->listener.ctx, item);
}

/*
 * Passes as gone, after a full read, the keys that it did not list.  A key that
 * has changed since the read began is left to the watch.
 */
static void pass_missing_keys(fleet_watch_t *watch)
{
	GPtrArray *missing = g_ptr_array_new_with_free_func(g_free);
	GHashTableIter iter;
	gpointer key, value;
	guint i;

	g_hash_table_iter_init(&iter, watch->keys);
	while (g_hash_table_iter_next(&iter, &key, &value)) {
		const key_state_t *state = value;

		if (state->exists && state->listed_in_read != watch->n_reads &&
		    state->revision < watch->revision)
			g_ptr_array_add(missing, g_strdup(key));
	}
	for (i = 0; i < missing->len && !watch->freed; i++) {
		fleet_item_t gone = { .key = missing->pdata[i],
				      .revision = watch->revision };

		pass_item(watch, &gone);
	}
	g_ptr_array_free(missing, TRUE);
}

/*
 * Drops the entries of keys that are gone since a revision that the watch has
 * passed: a later read does not return them.
 */
static void forget_gone_keys(fleet_watch_t *watch)
{
	gone_key_t *gone;

	while ((gone = g_queue_peek_head(watch->gone_keys)) &&
	       gone->revision <= watch->revision) {
		const key_state_t *state =
			g_hash_table_lookup(watch->keys, gone->key);

		if (state && state->revision == gone->revision)
			g_hash_table_remove(watch->keys, gone->key);
		free_gone_key(g_queue_pop_head(watch->gone_keys));
	}
}

static void free_gone_key(gpointer data)
{
	g_free(((gone_key_t *)data)->key);
	g_free(data);
}

/*
 * Returns whether the call succeeded and the watch is still in use.  If the
 * call failed, schedules the next one; if the watch was freed, destroys it.
 */
static bool accept_reply(fleet_watch_t *watch, const fleet_reply_t *reply)
{
	if (watch->freed) {
		destroy(watch);
		return false;
	}
	if (reply->result != FLEET_OK) {
		watch->call_pending = false;
		handle_failure(watch, reply);
		return false;
	}
	if (watch->failing) {
		log_event(LOG_INFO, "store_heard", "keys", watch->prefix, NULL);
		counter_inc(CTR_STORE_REACHABLE_AGAIN);
	}
	watch->failing = false;
	watch->retry_delay = RETRY_DELAY_MIN_USEC;
	watch->previous_reply_at = watch->last_reply_at;
	/* The reply may have waited on a host that was paused. */
	watch->last_reply_at =
		MIN(reply->arrived_at ? reply->arrived_at : clock_boot(),
		    watch->reply_due_at);
	return true;
}

static void handle_failure(fleet_watch_t *watch, const fleet_reply_t *reply)
{
	gh_time_t now = clock_boot();

	if (reply->result == FLEET_COMPACTED) {
		log_event(LOG_INFO, "history_gone", "keys", watch->prefix,
			  "revision", log_num((int64_t)watch->revision), NULL);
		watch->revision = 0;
		watch->reading = false;
		watch->timer.at = now;
		return;
	}
	if (!watch->failing) {
		log_event(LOG_WARN, "store_unheard", "keys", watch->prefix,
			  NULL);
		counter_inc(CTR_STORE_UNREACHABLE);
	}
	watch->failing = true;
	watch->timer.at = MAX(now + RETRY_DELAY_MIN_USEC,
			      watch->call_started_at + watch->retry_delay);
	watch->retry_delay = MIN(watch->retry_delay * 2, RETRY_DELAY_MAX_USEC);
}

static void destroy(fleet_watch_t *watch)
{
	loop_timer_remove(watch->loop, &watch->timer);
	g_hash_table_destroy(watch->keys);
	g_queue_free_full(watch->gone_keys, free_gone_key);
	g_free(watch->last_key);
	g_free(watch->prefix);
	g_free(watch);
}
