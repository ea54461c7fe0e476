#include "fleet_owner.h"

#include <inttypes.h>
#include <stddef.h>
#include <stdio.h>
#include <string.h>

#include "clock.h"
#include "counter.h"
#include "error.h"
#include "fleet_watch.h"
#include "histogram.h"
#include "log.h"

#define LEASE_MS 2000 /* of the owner record; outlasts short freezes */
#define KEEP_PERIOD (500 * GH_USEC_PER_MSEC) /* between two renewals */
#define HOLD_ON (8 * GH_USEC_PER_SEC) /* workers are held without the store */
#define CLAIM_SPREAD \
	(100 * GH_USEC_PER_MSEC) /* hosts don't claim all at once */
#define CLAIM_RETRY (200 * GH_USEC_PER_MSEC)
#define TICK (25 * GH_USEC_PER_MSEC)	  /* of decisions without an event */
#define COMMIT_GAP (6 * GH_USEC_PER_MSEC) /* gathers changes; spares writes */
#define COMMIT_RETRY (60 * GH_USEC_PER_MSEC)
#define SWEEP_PERIOD (5 * GH_USEC_PER_SEC) /* for jobs that ended long ago */
#define SWEEP_MOST 14 /* two entries each within one commit */
#define CHANGE_ENTRIES_MAX 4
#define LEARNED_ID "images" /* among the progress; no job has this id */
#define LEARNED_PERIOD (3 * GH_USEC_PER_SEC) /* of writing it down */

typedef enum phase {
	PHASE_IDLE,
	PHASE_CLAIMING,
	PHASE_LOADING,
	PHASE_OWNING,
	PHASE_RELEASING
} phase_t;

/* Entries of a commit with the texts they point to. */
typedef struct batch {
	fleet_entry_t entries[FLEET_ENTRIES_MAX];
	size_t n;
	GPtrArray *texts;
	GArray *changes; /* gh_fleet_change_t */
	char *chain;	 /* text of the chain record */
	gh_time_t sent;
} batch_t;

struct fleet_owner {
	fleet_owner_setup_t setup;
	phase_t phase;
	bool draining;
	uint64_t generation; /* of ownerships here; callbacks carry it */
	uint64_t epoch;
	uint64_t sequence;
	uint64_t chain_revision;
	char *own_key;
	char *chain_key;
	char *progress_prefix;
	bool seen; /* the owner record is known to exist or not */
	bool free; /* it does not exist */
	loop_timer_t timer;
	gh_time_t claim_at;
	/* Lease of the owner record. */
	uint64_t lease;
	bool lease_calling;
	gh_time_t kept; /* the last successful renewal was sent then */
	gh_time_t keep_at;
	gh_time_t keep_sent;
	/* While owning. */
	gh_fleet_t *fleet;
	GHashTable *progress; /* id to text, while loading */
	GPtrArray *loading;   /* gh_pipeline_t, until all is read */
	fleet_watch_t *records;
	fleet_watch_t *workers;
	const fleet_config_t *config;
	batch_t *batch; /* being committed */
	gh_time_t commit_at;
	gh_time_t recheck_at; /* of a commit whose fate is unknown */
	gh_time_t tick_at;
	gh_time_t sweep_at;
	gh_time_t learned_at; /* what was learned is written down again then */
	bool dirty;	      /* something happened since the last tick */
	gh_fleet_counts_t counted; /* already added to the counters */
};

/* Context of a call: it is void once the ownership has changed. */
typedef struct owner_call {
	fleet_owner_t *owner;
	uint64_t generation;
	gh_time_t sent;
} owner_call_t;

static void on_time(void *ctx, gh_time_t now);
static void after_round(void *ctx);
static owner_call_t *call_new(fleet_owner_t *owner);
static fleet_owner_t *call_end(void *ctx);
static void step(fleet_owner_t *owner, gh_time_t now);
static void publish(fleet_owner_t *owner);
static void claim(fleet_owner_t *owner);
static void on_lease(void *ctx, const fleet_reply_t *reply);
static void on_chain(void *ctx, const fleet_reply_t *reply);
static void put_claim(fleet_owner_t *owner);
static void on_claimed(void *ctx, const fleet_reply_t *reply);
static void claim_failed(fleet_owner_t *owner);
static void load(fleet_owner_t *owner);
static void load_page(fleet_owner_t *owner, const char *after);
static void on_progress(void *ctx, const fleet_reply_t *reply);
static void on_record(void *ctx, const fleet_item_t *item);
static void on_records(void *ctx, GHashTable *keys);
static void add_job(fleet_owner_t *owner, gh_pipeline_t *pipeline);
static void on_worker(void *ctx, const fleet_item_t *item);
static void on_workers(void *ctx, GHashTable *keys);
static void begin(fleet_owner_t *owner);
static void lose(fleet_owner_t *owner, const char *why);
static void keep_lease(fleet_owner_t *owner, gh_time_t now);
static void on_kept(void *ctx, const fleet_reply_t *reply);
static void reclaim(fleet_owner_t *owner);
static void on_reclaimed(void *ctx, const fleet_reply_t *reply);
static void send_calls(fleet_owner_t *owner, gh_time_t now);
static void on_held(void *ctx, const char *worker, gh_order_reply_t answer,
		    const gh_worker_report_t *report);
static void on_answered(void *ctx, const gh_order_t *order,
			gh_order_reply_t answer);
static void commit(fleet_owner_t *owner, gh_time_t now);
static void on_committed(void *ctx, const fleet_reply_t *reply);
static void on_chain_again(void *ctx, const fleet_reply_t *reply);
static void recheck_chain(fleet_owner_t *owner, gh_time_t now);
static void batch_done(fleet_owner_t *owner, uint64_t revision);
static void batch_failed(fleet_owner_t *owner);
static void batch_conflict(fleet_owner_t *owner, const fleet_reply_t *reply);
static void batch_send(fleet_owner_t *owner);
static batch_t *batch_new(fleet_owner_t *owner);
static bool batch_add(fleet_owner_t *owner, batch_t *batch,
		      gh_fleet_change_t *change);
static void batch_put(batch_t *batch, fleet_entry_kind_t kind, char *key,
		      char *value, uint64_t revision, uint64_t lease);
static void batch_free(batch_t *batch);
static void sweep(fleet_owner_t *owner, batch_t *batch, gh_time_t now);
static void put_learned(fleet_owner_t *owner, batch_t *batch, gh_time_t now);
static void read_learned(fleet_owner_t *owner);
static char *chain_text(const fleet_owner_t *owner);
static void decided(void *ctx, const char *what, const gh_task_id_t *task,
		    uint32_t run, const char *worker, const char *detail);

fleet_owner_t *fleet_owner_new(const fleet_owner_setup_t *setup)
{
	fleet_owner_t *owner = g_new0(fleet_owner_t, 1);

	owner->setup = *setup;
	owner->own_key = g_strdup_printf("d/own/%u", setup->shard);
	owner->chain_key = g_strdup_printf("c/%u", setup->shard);
	owner->progress_prefix = g_strdup_printf("p/%u/", setup->shard);
	owner->timer = (loop_timer_t){ .at = GH_TIME_NEVER,
				       .run = on_time,
				       .ctx = owner };
	loop_timer_add(setup->loop, &owner->timer);
	loop_after_round(setup->loop, after_round, owner);
	return owner;
}

void fleet_owner_free(fleet_owner_t *owner)
{
	if (!owner)
		return;
	lose(owner, "stop");
	loop_timer_remove(owner->setup.loop, &owner->timer);
	g_free(owner->own_key);
	g_free(owner->chain_key);
	g_free(owner->progress_prefix);
	g_free(owner);
}

void fleet_owner_seen(fleet_owner_t *owner, const char *host, gh_time_t delay)
{
	gh_time_t now = clock_boot();

	owner->seen = true;
	owner->free = !host;
	if (!owner->free)
		return;
	if (owner->phase == PHASE_IDLE)
		owner->claim_at = now + delay +
				  g_random_int_range(0, (gint32)CLAIM_SPREAD);
	else if (owner->phase == PHASE_OWNING)
		reclaim(owner);
	owner->timer.at = MIN(owner->timer.at, owner->claim_at);
}

void fleet_owner_configure(fleet_owner_t *owner, const fleet_config_t *config)
{
	size_t i;

	owner->config = config;
	for (i = 0; owner->fleet && i < config->n_queues; i++)
		gh_fleet_queue_set(owner->fleet, &config->queues[i].policy);
}

void fleet_owner_job(fleet_owner_t *owner, const char *id,
		     const fleet_job_state_t *state)
{
	if (!owner->fleet || state->phase != GH_JOB_CANCELLED)
		return;
	gh_fleet_job_cancel(owner->fleet, id, clock_boot());
	owner->dirty = true;
}

void fleet_owner_release(fleet_owner_t *owner)
{
	owner->draining = true;
	if (owner->phase == PHASE_OWNING)
		owner->phase = PHASE_RELEASING;
	else if (owner->phase == PHASE_LOADING)
		lose(owner, "drain");
	owner->dirty = true;
}

bool fleet_owner_idle(const fleet_owner_t *owner)
{
	return owner->phase == PHASE_IDLE;
}

static owner_call_t *call_new(fleet_owner_t *owner)
{
	owner_call_t *call = g_new(owner_call_t, 1);

	call->owner = owner;
	call->generation = owner->generation;
	call->sent = clock_boot();
	return call;
}

/* The owner, or NULL when the ownership that made the call is over. */
static fleet_owner_t *call_end(void *ctx)
{
	owner_call_t *call = ctx;
	fleet_owner_t *owner = call->owner;

	if (call->generation != owner->generation)
		owner = NULL;
	g_free(call);
	return owner;
}

/* Steps. */

static void on_time(void *ctx, gh_time_t now)
{
	step(ctx, now);
}

static void after_round(void *ctx)
{
	fleet_owner_t *owner = ctx;

	if (owner->dirty)
		step(owner, clock_boot());
}

static void step(fleet_owner_t *owner, gh_time_t now)
{
	gh_time_t next = GH_TIME_NEVER;

	owner->dirty = false;
	if (owner->phase == PHASE_IDLE && owner->seen && owner->free &&
	    !owner->draining) {
		if (now >= owner->claim_at)
			claim(owner);
		else
			next = owner->claim_at;
	}
	if (owner->phase >= PHASE_LOADING)
		keep_lease(owner, now);
	if (owner->phase >= PHASE_OWNING) {
		if (gh_fleet_fenced(owner->fleet)) {
			lose(owner, "a worker has seen a newer owner");
			return;
		}
		if (owner->phase == PHASE_OWNING) {
			gh_fleet_tick(owner->fleet, now,
				      gh_time_to_ms(clock_real()));
			send_calls(owner, now);
		}
		recheck_chain(owner, now);
		if (!owner->batch && now >= owner->commit_at)
			commit(owner, now);
		next = now + TICK;
		if (!owner->batch && gh_fleet_has_changes(owner->fleet))
			next = MIN(next, MAX(owner->commit_at, now));
	}
	if (owner->phase >= PHASE_LOADING)
		next = MIN(next, owner->keep_at);
	owner->timer.at = next;
	publish(owner);
}

/* Adds what the fleet has counted since the last time to the counters. */
static void publish(fleet_owner_t *owner)
{
	static const struct {
		counter_t counter;
		size_t offset;
	} fields[] = {
		{ CTR_RUNS_STARTED, offsetof(gh_fleet_counts_t, started) },
		{ CTR_RUNS_DONE, offsetof(gh_fleet_counts_t, done) },
		{ CTR_RUNS_FAILED, offsetof(gh_fleet_counts_t, failed) },
		{ CTR_RUNS_STOPPED, offsetof(gh_fleet_counts_t, stopped) },
		{ CTR_RUNS_LAPSED, offsetof(gh_fleet_counts_t, lease_expired) },
		{ CTR_RUNS_LOST, offsetof(gh_fleet_counts_t, lost) },
		{ CTR_RUNS_NO_ROOM, offsetof(gh_fleet_counts_t, no_capacity) },
		{ CTR_RUN_COPIES, offsetof(gh_fleet_counts_t, copies) },
		{ CTR_RUN_HANGS, offsetof(gh_fleet_counts_t, hangs) },
		{ CTR_QUARANTINES, offsetof(gh_fleet_counts_t, quarantines) },
		{ CTR_PACES, offsetof(gh_fleet_counts_t, paced) },
		{ CTR_RUNS_MOVED, offsetof(gh_fleet_counts_t, moved) },
	};
	gh_fleet_counts_t now;
	size_t i;

	if (!owner->fleet)
		return;
	gh_fleet_counts(owner->fleet, &now);
	for (i = 0; i < G_N_ELEMENTS(fields); i++) {
		uint64_t new = *(const uint64_t *)((const char *)&now +
						   fields[i].offset);
		uint64_t old =
			*(const uint64_t *)((const char *)&owner->counted +
					    fields[i].offset);

		counter_add(fields[i].counter, new - old);
	}
	owner->counted = now;
}

/* Claiming: lease, chain, then both records in one commit. */

static void claim(fleet_owner_t *owner)
{
	owner->phase = PHASE_CLAIMING;
	owner->generation++;
	owner->keep_sent = clock_boot();
	owner->setup.store->ops->grant_lease(owner->setup.store, LEASE_MS,
					     on_lease, call_new(owner));
}

static void on_lease(void *ctx, const fleet_reply_t *reply)
{
	fleet_owner_t *owner = call_end(ctx);

	if (!owner)
		return;
	if (reply->result != FLEET_OK) {
		claim_failed(owner);
		return;
	}
	owner->lease = reply->lease;
	owner->kept = owner->keep_sent;
	owner->setup.store->ops->get(owner->setup.store, FLEET_KEYSPACE_OWN,
				     owner->chain_key, on_chain,
				     call_new(owner));
}

static void on_chain(void *ctx, const fleet_reply_t *reply)
{
	fleet_owner_t *owner = call_end(ctx);

	if (!owner)
		return;
	owner->epoch = 0;
	owner->chain_revision = 0;
	if (reply->result == FLEET_OK && reply->n_items &&
	    reply->items[0].value) {
		owner->chain_revision = reply->items[0].revision;
		owner->epoch =
			g_ascii_strtoull(reply->items[0].value, NULL, 10);
	} else if (reply->result != FLEET_NOT_FOUND) {
		claim_failed(owner);
		return;
	}
	owner->epoch++;
	owner->sequence = 0;
	put_claim(owner);
}

static void put_claim(fleet_owner_t *owner)
{
	char *text = chain_text(owner);
	fleet_entry_t entries[] = {
		{ .kind = FLEET_EXPECT, .key = owner->own_key, .revision = 0 },
		{ .kind = FLEET_EXPECT,
		  .key = owner->chain_key,
		  .revision = owner->chain_revision },
		{ .kind = FLEET_PUT,
		  .key = owner->own_key,
		  .value = owner->setup.host,
		  .lease = owner->lease },
		{ .kind = FLEET_PUT, .key = owner->chain_key, .value = text },
	};

	owner->setup.store->ops->commit(owner->setup.store, entries,
					G_N_ELEMENTS(entries), on_claimed,
					call_new(owner));
	g_free(text);
}

static void on_claimed(void *ctx, const fleet_reply_t *reply)
{
	fleet_owner_t *owner = call_end(ctx);

	if (!owner)
		return;
	if (reply->result != FLEET_OK) {
		/* If it was or will be done after all, its lease ends it. */
		claim_failed(owner);
		return;
	}
	owner->chain_revision = reply->revision;
	log_event(LOG_INFO, "shard_owned", "shard", log_num(owner->setup.shard),
		  "epoch", log_num((int64_t)owner->epoch), NULL);
	counter_inc(CTR_SHARD_OWNED);
	load(owner);
}

static void claim_failed(fleet_owner_t *owner)
{
	owner->phase = PHASE_IDLE;
	owner->claim_at = clock_boot() + CLAIM_RETRY +
			  g_random_int_range(0, (gint32)CLAIM_SPREAD);
	owner->timer.at = owner->claim_at;
}

/* Loading: progress of all jobs, their records, then the workers. */

static void load(fleet_owner_t *owner)
{
	gh_fleet_sink_t sink = { .on_event = decided, .ctx = owner };

	owner->phase = PHASE_LOADING;
	owner->fleet = gh_fleet_new(&owner->setup.fleet, &sink, clock_boot());
	memset(&owner->counted, 0, sizeof(owner->counted));
	if (owner->config)
		fleet_owner_configure(owner, owner->config);
	owner->progress =
		g_hash_table_new_full(g_str_hash, g_str_equal, g_free, g_free);
	owner->loading = g_ptr_array_new();
	owner->keep_at = clock_boot();
	owner->dirty = true;
	load_page(owner, "");
}

static void load_page(fleet_owner_t *owner, const char *after)
{
	owner->setup.store->ops->range(owner->setup.store, FLEET_KEYSPACE_OWN,
				       owner->progress_prefix, after,
				       on_progress, call_new(owner));
}

static void on_progress(void *ctx, const fleet_reply_t *reply)
{
	fleet_owner_t *owner = call_end(ctx);
	fleet_reader_t reader = { .item = on_record, .synced = on_records };
	char *prefix;
	size_t i;

	if (!owner)
		return;
	if (reply->result != FLEET_OK) {
		lose(owner, "progress can't be read");
		return;
	}
	for (i = 0; i < reply->n_items; i++)
		if (reply->items[i].value)
			g_hash_table_replace(
				owner->progress,
				g_strdup(reply->items[i].key +
					 strlen(owner->progress_prefix)),
				g_strdup(reply->items[i].value));
	if (reply->more && reply->n_items) {
		load_page(owner, reply->items[reply->n_items - 1].key);
		return;
	}
	reader.ctx = owner;
	prefix = g_strdup_printf("w/%u/", owner->setup.shard);
	owner->records = fleet_watch_new(owner->setup.loop, owner->setup.store,
					 FLEET_KEYSPACE_OWN, prefix, &reader);
	g_free(prefix);
}

static void on_record(void *ctx, const fleet_item_t *item)
{
	fleet_owner_t *owner = ctx;
	GError *err = NULL;
	gh_pipeline_t *pipeline;

	if (!item->value)
		return;
	pipeline = gh_pipeline_parse(item->value, &err);
	if (!pipeline) {
		log_event(LOG_ERROR, "job_unread", "key", item->key, "message",
			  err->message, NULL);
		g_error_free(err);
		return;
	}
	if (owner->loading) {
		g_ptr_array_add(owner->loading, pipeline);
		return;
	}
	add_job(owner, pipeline);
	owner->dirty = true;
}

static void on_records(void *ctx, GHashTable *keys)
{
	fleet_owner_t *owner = ctx;
	fleet_reader_t reader = { .item = on_worker,
				  .synced = on_workers,
				  .ctx = owner };
	GPtrArray *loading = owner->loading;
	guint i;

	(void)keys;
	if (!loading)
		return;
	owner->loading = NULL;
	read_learned(owner);
	for (i = 0; i < loading->len; i++)
		add_job(owner, loading->pdata[i]);
	g_ptr_array_free(loading, TRUE);
	g_clear_pointer(&owner->progress, g_hash_table_destroy);
	owner->workers = fleet_watch_new(owner->setup.loop, owner->setup.store,
					 FLEET_KEYSPACE_WORKERS, "", &reader);
}

static void add_job(fleet_owner_t *owner, gh_pipeline_t *pipeline)
{
	const char *progress =
		owner->progress ?
			g_hash_table_lookup(owner->progress, pipeline->id) :
			NULL;
	fleet_job_state_t state;
	GError *err = NULL;
	char id[GH_JOB_ID_MAX + 1];

	g_strlcpy(id, pipeline->id, sizeof(id));
	if (!gh_fleet_job_add(owner->fleet, pipeline, progress, &err)) {
		log_event(LOG_ERROR, "job_progress_unread", "job", id,
			  "message", err->message, NULL);
		g_error_free(err);
	}
	if (fleet_jobs_find(owner->setup.jobs, id, &state) &&
	    state.phase == GH_JOB_CANCELLED)
		gh_fleet_job_cancel(owner->fleet, id, clock_boot());
}

static void on_worker(void *ctx, const fleet_item_t *item)
{
	fleet_owner_t *owner = ctx;
	gh_worker_entry_t entry;
	gh_time_t now = clock_boot();

	if (g_str_hash(item->key) % owner->setup.shards != owner->setup.shard)
		return;
	owner->dirty = true;
	if (item->value && owner->setup.store->ops->parse_worker(
				   item->key, item->value, &entry)) {
		gh_fleet_worker_set(owner->fleet, &entry, now);
		return;
	}
	if (item->value)
		log_event(LOG_WARN, "worker_unread", "worker", item->key, NULL);
	gh_fleet_worker_unlist(owner->fleet, item->key);
}

static void on_workers(void *ctx, GHashTable *keys)
{
	fleet_owner_t *owner = ctx;

	gh_fleet_workers_retain(owner->fleet, keys);
	if (owner->phase == PHASE_LOADING)
		begin(owner);
}

static void begin(fleet_owner_t *owner)
{
	gh_fleet_counts_t counts;

	gh_fleet_counts(owner->fleet, &counts);
	log_event(LOG_INFO, "shard_loaded", "shard",
		  log_num(owner->setup.shard), "jobs", log_num(counts.jobs),
		  "runs", log_num(counts.open_runs), "workers",
		  log_num(counts.workers), NULL);
	owner->phase = owner->draining ? PHASE_RELEASING : PHASE_OWNING;
	owner->commit_at = 0;
	owner->recheck_at = GH_TIME_NEVER;
	owner->dirty = true;
}

static void lose(fleet_owner_t *owner, const char *why)
{
	if (owner->phase >= PHASE_LOADING)
		log_event(LOG_INFO, "shard_given_up", "shard",
			  log_num(owner->setup.shard), "epoch",
			  log_num((int64_t)owner->epoch), "why", why, NULL);
	owner->generation++;
	owner->phase = PHASE_IDLE;
	fleet_watch_free(owner->records);
	fleet_watch_free(owner->workers);
	owner->records = owner->workers = NULL;
	g_clear_pointer(&owner->fleet, gh_fleet_free);
	g_clear_pointer(&owner->progress, g_hash_table_destroy);
	if (owner->loading)
		g_ptr_array_set_free_func(owner->loading,
					  (GDestroyNotify)gh_pipeline_free);
	g_clear_pointer(&owner->loading, g_ptr_array_unref);
	g_clear_pointer(&owner->batch, batch_free);
	owner->lease_calling = false;
	owner->claim_at = clock_boot() + CLAIM_RETRY;
	owner->timer.at = owner->claim_at;
}

/* Lease. */

static void keep_lease(fleet_owner_t *owner, gh_time_t now)
{
	if (owner->lease_calling || now < owner->keep_at)
		return;
	owner->lease_calling = true;
	owner->keep_at = now + KEEP_PERIOD;
	owner->keep_sent = now;
	owner->setup.store->ops->renew_lease(owner->setup.store, owner->lease,
					     on_kept, call_new(owner));
}

static void on_kept(void *ctx, const fleet_reply_t *reply)
{
	fleet_owner_t *owner = call_end(ctx);

	if (!owner)
		return;
	owner->lease_calling = false;
	if (reply->result == FLEET_OK)
		owner->kept = owner->keep_sent;
	else if (reply->result == FLEET_NOT_FOUND)
		reclaim(owner);
	owner->dirty = true;
}

/* The record lapsed, the chain did not move: the ownership goes on. */
static void reclaim(fleet_owner_t *owner)
{
	if (owner->lease_calling)
		return;
	owner->lease_calling = true;
	owner->keep_sent = clock_boot();
	log_event(LOG_WARN, "owner_record_lapsed", "shard",
		  log_num(owner->setup.shard), NULL);
	owner->setup.store->ops->grant_lease(owner->setup.store, LEASE_MS,
					     on_reclaimed, call_new(owner));
}

static void on_reput(void *ctx, const fleet_reply_t *reply)
{
	fleet_owner_t *owner = call_end(ctx);

	if (!owner)
		return;
	owner->lease_calling = false;
	owner->keep_at = clock_boot() + KEEP_PERIOD;
	if (reply->result == FLEET_OK)
		owner->kept = owner->keep_sent;
	else if (reply->result == FLEET_CONFLICT)
		lose(owner, "another host owns it");
	else
		owner->keep_at = clock_boot() + COMMIT_RETRY;
}

static void on_reclaimed(void *ctx, const fleet_reply_t *reply)
{
	fleet_owner_t *owner = call_end(ctx);
	fleet_entry_t entries[2];

	if (!owner)
		return;
	if (reply->result != FLEET_OK) {
		owner->lease_calling = false;
		return;
	}
	owner->lease = reply->lease;
	entries[0] = (fleet_entry_t){ .kind = FLEET_EXPECT,
				      .key = owner->own_key,
				      .revision = 0 };
	entries[1] = (fleet_entry_t){ .kind = FLEET_PUT,
				      .key = owner->own_key,
				      .value = owner->setup.host,
				      .lease = owner->lease };
	owner->setup.store->ops->commit(owner->setup.store, entries, 2,
					on_reput, call_new(owner));
}

/* Calls to workers. */

static void send_calls(fleet_owner_t *owner, gh_time_t now)
{
	const fleet_workers_ops_t *ops = owner->setup.workers->ops;
	bool alone = now < owner->kept + gh_time_from_ms(LEASE_MS);
	gh_order_t order;
	gh_worker_renewal_t hold;

	while (gh_fleet_next_order(owner->fleet, &order, now)) {
		if (order.kind == GH_ORDER_START && !alone) {
			/* Nothing was sent; it is tried again. */
			gh_fleet_handle_reply(owner->fleet, order.kind,
					      order.worker, &order.task,
					      order.run,
					      GH_ORDER_OUTCOME_UNKNOWN, now);
			continue;
		}
		if (order.kind == GH_ORDER_START)
			decided(owner, "run_start", &order.task, order.run,
				order.worker, order.checkpoint);
		ops->send_order(owner->setup.workers, &order, owner->epoch,
				on_answered, call_new(owner));
	}
	if (now > owner->kept + HOLD_ON)
		return;
	while (gh_fleet_next_renewal(owner->fleet, &hold, now))
		ops->renew_lease(owner->setup.workers, &hold, owner->epoch,
				 on_held, call_new(owner));
}

static void on_held(void *ctx, const char *worker, gh_order_reply_t answer,
		    const gh_worker_report_t *report)
{
	fleet_owner_t *owner = call_end(ctx);
	gh_time_t now = clock_boot();

	if (!owner || !owner->fleet)
		return;
	if (answer == GH_ORDER_OK)
		gh_fleet_handle_report(owner->fleet, worker, report, now);
	else
		gh_fleet_handle_renewal_failure(owner->fleet, worker, answer,
						now);
	owner->dirty = true;
}

static void on_answered(void *ctx, const gh_order_t *order,
			gh_order_reply_t answer)
{
	static const char *const names[] = {
		[GH_ORDER_OK] = "ok",
		[GH_ORDER_NO_CAPACITY] = "no_room",
		[GH_ORDER_STALE_RUN] = "old",
		[GH_ORDER_LEASE_EXPIRED] = "late",
		[GH_ORDER_FENCED] = "fenced",
		[GH_ORDER_REFUSED] = "refused",
		[GH_ORDER_INVALID] = "invalid",
		[GH_ORDER_OTHER_INCARNATION] = "other_life",
		[GH_ORDER_OUTCOME_UNKNOWN] = "unanswered",
	};
	gh_time_t sent = ((const owner_call_t *)ctx)->sent;
	fleet_owner_t *owner = call_end(ctx);

	histogram_add(HIST_ORDER, clock_boot() - sent);
	if (!owner || !owner->fleet)
		return;
	if (answer != GH_ORDER_OK)
		decided(owner, "order_failed", &order->task, order->run,
			order->worker, names[answer]);
	gh_fleet_handle_reply(owner->fleet, order->kind, order->worker,
			      &order->task, order->run, answer, clock_boot());
	owner->dirty = true;
}

/* Commits, one at a time. */

static void commit(fleet_owner_t *owner, gh_time_t now)
{
	gh_fleet_change_t change;
	batch_t *batch;

	if (!gh_fleet_has_changes(owner->fleet) && now < owner->sweep_at &&
	    owner->phase != PHASE_RELEASING)
		return;
	owner->sequence++;
	batch = batch_new(owner);
	/* Room is left for what was learned and for the owner record. */
	while (batch->n + CHANGE_ENTRIES_MAX + 1 < FLEET_ENTRIES_MAX &&
	       gh_fleet_next_change(owner->fleet, &change))
		if (!batch_add(owner, batch, &change))
			break;
	if (batch->changes->len && now >= owner->learned_at)
		put_learned(owner, batch, now);
	if (now >= owner->sweep_at)
		sweep(owner, batch, now);
	if (owner->phase == PHASE_RELEASING &&
	    !gh_fleet_has_changes(owner->fleet))
		batch_put(batch, FLEET_DELETE, g_strdup(owner->own_key), NULL,
			  0, 0);
	else if (!batch->changes->len && batch->n <= 2) {
		batch_free(batch);
		return;
	}
	owner->batch = batch;
	batch_send(owner);
}

static batch_t *batch_new(fleet_owner_t *owner)
{
	batch_t *batch = g_new0(batch_t, 1);

	batch->texts = g_ptr_array_new_with_free_func(g_free);
	batch->changes = g_array_new(FALSE, FALSE, sizeof(gh_fleet_change_t));
	batch->chain = chain_text(owner);
	batch_put(batch, FLEET_EXPECT, g_strdup(owner->chain_key), NULL,
		  owner->chain_revision, 0);
	batch_put(batch, FLEET_PUT, g_strdup(owner->chain_key),
		  g_strdup(batch->chain), 0, 0);
	return batch;
}

/* False when the change has to wait for its job's state to be known. */
static bool batch_add(fleet_owner_t *owner, batch_t *batch,
		      gh_fleet_change_t *change)
{
	uint32_t shard = owner->setup.shard;
	bool over = change->phase > GH_JOB_RUNNING;
	fleet_job_state_t state;

	if (change->phase_changed && change->phase != GH_JOB_CANCELLED) {
		if (!fleet_jobs_find(owner->setup.jobs, change->id, &state)) {
			gh_fleet_handle_commit_failure(owner->fleet,
						       change->id);
			g_free(change->progress);
			return false;
		}
		batch_put(batch, FLEET_EXPECT, fleet_jobs_state_key(change->id),
			  NULL, state.revision, 0);
		state.phase = change->phase;
		state.changed_ms = gh_time_to_ms(clock_real());
		batch_put(batch, FLEET_PUT, fleet_jobs_state_key(change->id),
			  fleet_job_state_text(&state), 0, 0);
	}
	if (over) {
		batch_put(batch, FLEET_DELETE,
			  fleet_jobs_record_key(shard, change->id), NULL, 0, 0);
		batch_put(batch, FLEET_DELETE,
			  g_strconcat(owner->progress_prefix, change->id, NULL),
			  NULL, 0, 0);
	} else {
		batch_put(batch, FLEET_PUT,
			  g_strconcat(owner->progress_prefix, change->id, NULL),
			  change->progress, 0, 0);
	}
	change->progress = NULL;
	g_array_append_val(batch->changes, *change);
	return true;
}

/* Takes key and value. */
static void batch_put(batch_t *batch, fleet_entry_kind_t kind, char *key,
		      char *value, uint64_t revision, uint64_t lease)
{
	g_ptr_array_add(batch->texts, key);
	if (value)
		g_ptr_array_add(batch->texts, value);
	batch->entries[batch->n++] = (fleet_entry_t){
		.kind = kind,
		.key = key,
		.value = value,
		.revision = revision,
		.lease = lease,
	};
}

static void batch_send(fleet_owner_t *owner)
{
	owner->batch->sent = clock_boot();
	owner->setup.store->ops->commit(owner->setup.store,
					owner->batch->entries, owner->batch->n,
					on_committed, call_new(owner));
}

static void on_committed(void *ctx, const fleet_reply_t *reply)
{
	fleet_owner_t *owner = call_end(ctx);

	if (!owner || !owner->batch)
		return;
	owner->dirty = true;
	switch (reply->result) {
	case FLEET_OK:
		batch_done(owner, reply->revision);
		break;
	case FLEET_CONFLICT:
		batch_conflict(owner, reply);
		break;
	case FLEET_OUTCOME_UNKNOWN:
		counter_inc(CTR_COMMIT_UNKNOWN);
		owner->setup.store->ops->get(
			owner->setup.store, FLEET_KEYSPACE_OWN,
			owner->chain_key, on_chain_again, call_new(owner));
		break;
	default:
		batch_failed(owner);
		break;
	}
}

/* After a commit without an answer: the chain tells whether it was done. */
static void on_chain_again(void *ctx, const fleet_reply_t *reply)
{
	fleet_owner_t *owner = call_end(ctx);
	const fleet_item_t *item;

	if (!owner || !owner->batch)
		return;
	owner->dirty = true;
	item = reply->n_items ? &reply->items[0] : NULL;
	if (reply->result == FLEET_OK && item && item->value &&
	    !strcmp(item->value, owner->batch->chain)) {
		batch_done(owner, item->revision);
	} else if (reply->result == FLEET_OK && item &&
		   item->revision == owner->chain_revision) {
		/* Not done yet; should it still come, this one conflicts. */
		batch_send(owner);
	} else if (reply->result == FLEET_OK ||
		   reply->result == FLEET_NOT_FOUND) {
		lose(owner, "another owner moved the chain");
	} else {
		owner->recheck_at = clock_boot() + COMMIT_RETRY;
	}
}

/* Asks for the chain again when the store gave no answer the last time. */
static void recheck_chain(fleet_owner_t *owner, gh_time_t now)
{
	if (!owner->batch || now < owner->recheck_at)
		return;
	owner->recheck_at = GH_TIME_NEVER;
	owner->setup.store->ops->get(owner->setup.store, FLEET_KEYSPACE_OWN,
				     owner->chain_key, on_chain_again,
				     call_new(owner));
}

static void batch_done(fleet_owner_t *owner, uint64_t revision)
{
	batch_t *batch = owner->batch;
	gh_time_t now = clock_boot();
	guint i;

	owner->batch = NULL;
	owner->chain_revision = revision;
	owner->commit_at = now + MAX(COMMIT_GAP, owner->setup.commit_gap);
	counter_inc(CTR_COMMITS);
	histogram_add(HIST_COMMIT, now - batch->sent);
	for (i = 0; i < batch->changes->len; i++) {
		const gh_fleet_change_t *change =
			&g_array_index(batch->changes, gh_fleet_change_t, i);
		fleet_job_state_t state;

		if (change->phase_changed &&
		    change->phase != GH_JOB_CANCELLED &&
		    fleet_jobs_find(owner->setup.jobs, change->id, &state)) {
			state.phase = change->phase;
			state.changed_ms = gh_time_to_ms(clock_real());
			state.revision = revision;
			fleet_jobs_note(owner->setup.jobs, change->id, &state);
		}
		gh_fleet_handle_commit(owner->fleet, change->id,
				       change->version);
	}
	batch_free(batch);
	if (owner->phase == PHASE_RELEASING &&
	    !gh_fleet_has_changes(owner->fleet))
		lose(owner, "drain");
}

static void batch_failed(fleet_owner_t *owner)
{
	batch_t *batch = owner->batch;
	guint i;

	owner->batch = NULL;
	owner->commit_at = clock_boot() + COMMIT_RETRY;
	counter_inc(CTR_COMMITS_FAILED);
	for (i = 0; i < batch->changes->len; i++)
		gh_fleet_handle_commit_failure(
			owner->fleet,
			g_array_index(batch->changes, gh_fleet_change_t, i).id);
	batch_free(batch);
}

static void batch_conflict(fleet_owner_t *owner, const fleet_reply_t *reply)
{
	static const char states[] = "d/state/";
	size_t i;

	for (i = 0; i < reply->n_items; i++) {
		const fleet_item_t *item = &reply->items[i];

		if (!strcmp(item->key, owner->chain_key)) {
			if (item->value &&
			    !strcmp(item->value, owner->batch->chain)) {
				batch_done(owner, item->revision);
				return;
			}
			if (item->revision != owner->chain_revision) {
				lose(owner, "another owner moved the chain");
				return;
			}
		} else if (g_str_has_prefix(item->key, states) && item->value) {
			fleet_jobs_note_text(owner->setup.jobs,
					     item->key + strlen(states),
					     item->value, item->revision);
		}
	}
	batch_failed(owner);
	owner->commit_at = 0;
}

static void batch_free(batch_t *batch)
{
	g_ptr_array_free(batch->texts, TRUE);
	g_array_free(batch->changes, TRUE);
	g_free(batch->chain);
	g_free(batch);
}

/* Deletes the states of jobs that ended long ago. */
static void sweep(fleet_owner_t *owner, batch_t *batch, gh_time_t now)
{
	int64_t before =
		gh_time_to_ms(clock_real()) - owner->setup.keep_ended_ms;
	GPtrArray *ids = fleet_jobs_ended_before(
		owner->setup.jobs, owner->setup.shard, before, SWEEP_MOST);
	guint i;

	owner->sweep_at = now + SWEEP_PERIOD;
	for (i = 0; i < ids->len && batch->n < FLEET_ENTRIES_MAX - 1; i++)
		batch_put(batch, FLEET_DELETE,
			  fleet_jobs_state_key(ids->pdata[i]), NULL, 0, 0);
	g_ptr_array_free(ids, TRUE);
}

/* Beside changes that are written anyway, so it costs no call. */
static void put_learned(fleet_owner_t *owner, batch_t *batch, gh_time_t now)
{
	char *text = gh_fleet_interference_format(owner->fleet);

	owner->learned_at = now + LEARNED_PERIOD;
	if (!*text) {
		g_free(text);
		return;
	}
	batch_put(batch, FLEET_PUT,
		  g_strconcat(owner->progress_prefix, LEARNED_ID, NULL), text,
		  0, 0);
}

static void read_learned(fleet_owner_t *owner)
{
	const char *text = g_hash_table_lookup(owner->progress, LEARNED_ID);

	if (text && !gh_fleet_interference_parse(owner->fleet, text))
		log_event(LOG_WARN, "learned_unread", "shard",
			  log_num(owner->setup.shard), "text", text, NULL);
}

/* "EPOCH SEQUENCE HOST": unique to this try of this owner. */
static char *chain_text(const fleet_owner_t *owner)
{
	return g_strdup_printf("%" PRIu64 " %" PRIu64 " %s %" PRIu64,
			       owner->epoch, owner->sequence, owner->setup.host,
			       owner->lease);
}

static void decided(void *ctx, const char *what, const gh_task_id_t *task,
		    uint32_t run, const char *worker, const char *detail)
{
	const fleet_owner_t *owner = ctx;
	char at[48];

	if (!task) {
		log_event(LOG_INFO, what, "worker", worker, "why", detail,
			  "epoch", log_num((int64_t)owner->epoch), NULL);
		return;
	}
	snprintf(at, sizeof(at), "%u.%u.%u", task->occurrence, task->step,
		 task->index);
	log_event(LOG_INFO, what, "job", task->job, "task", at, "run",
		  log_num(run), "worker", worker, "why", detail, "epoch",
		  log_num((int64_t)owner->epoch), NULL);
}
