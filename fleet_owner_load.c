/*
 * Loading of a shard by its new owner: reads the progress of all its jobs, the
 * jobs' records and the workers' records, and follows the latter two.
 */
#include "fleet_owner_private.h"

#include <string.h>

#include "clock.h"
#include "log.h"

/*
 * Pause between two reads of changed workers' records; most changes only show
 * that a worker is alive.
 */
#define WORKER_CHANGES_PAUSE_USEC (100 * GH_USEC_PER_MSEC)
#define LOAD_RETRY_DELAY_USEC (60 * GH_USEC_PER_MSEC)

static void on_progress_page(void *ctx, const fleet_reply_t *reply);
static void on_job_record(void *ctx, const fleet_item_t *item);
static void on_job_records_synced(void *ctx);
static void on_cancel_record(fleet_owner_t *owner, const char *id);
static void add_job(fleet_owner_t *owner, gh_pipeline_t *pipeline,
		    const char *source);
static void on_worker_record(void *ctx, const fleet_item_t *item);
static void on_worker_records_synced(void *ctx);
static void finish_loading(fleet_owner_t *owner);
static void load_interference(fleet_owner_t *owner);
static void load_run_times(fleet_owner_t *owner);

void fleet_owner_start_loading(fleet_owner_t *owner)
{
	gh_fleet_sink_t sink = { .on_event = fleet_owner_log_decision,
				 .ctx = owner };
	gh_fleet_setup_t setup = owner->setup.fleet;

	setup.shard = owner->setup.shard;
	setup.shards = owner->setup.shards;
	owner->phase = PHASE_LOADING;
	setup.told_grants_end = setup.previous_grants_end =
		owner->previous_grants_end;
	setup.first_owner = owner->epoch == GH_FLEET_EPOCH_STEP;
	setup.previous_unheard = owner->previous_unheard;
	setup.previous_unheard_from = owner->previous_unheard_from;
	setup.claim_revision = owner->chain_revision;
	setup.claimed_at = owner->claim_sent_at;
	if (!owner->previous_released)
		setup.previous_grants_end =
			MAX(setup.previous_grants_end,
			    clock_boot() + WORKER_RENEWAL_LIMIT_USEC);
	owner->fleet = gh_fleet_new(&setup, &sink, clock_boot());
	memset(&owner->reported, 0, sizeof(owner->reported));
	owner->domains_version = 0;
	if (owner->config)
		fleet_owner_configure(owner, owner->config);
	owner->progress =
		g_hash_table_new_full(g_str_hash, g_str_equal, g_free, g_free);
	owner->parsed_jobs = g_ptr_array_new();
	owner->cancelled =
		g_hash_table_new_full(g_str_hash, g_str_equal, g_free, NULL);
	fleet_owner_move_init(owner);
	owner->renew_at = clock_boot();
	owner->dirty = true;
	g_clear_pointer(&owner->last_progress_key, g_free);
	fleet_owner_load_progress_page(owner);
}

void fleet_owner_load_progress_page(fleet_owner_t *owner)
{
	const char *after =
		owner->last_progress_key ? owner->last_progress_key : "";

	owner->load_retry_at = GH_TIME_NEVER;
	owner->setup.store->ops->range(
		owner->setup.store, FLEET_KEYSPACE_OWN, owner->progress_prefix,
		after, on_progress_page, fleet_owner_call_new(owner));
}

static void on_progress_page(void *ctx, const fleet_reply_t *reply)
{
	fleet_owner_t *owner = fleet_owner_call_finish(ctx);
	fleet_watch_listener_t listener = { .item_changed = on_job_record,
					    .synced = on_job_records_synced };
	size_t i;

	if (!owner)
		return;
	if (reply->result != FLEET_OK) {
		owner->load_retry_at = clock_boot() + LOAD_RETRY_DELAY_USEC;
		owner->dirty = true;
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
		g_free(owner->last_progress_key);
		owner->last_progress_key =
			g_strdup(reply->items[reply->n_items - 1].key);
		fleet_owner_load_progress_page(owner);
		return;
	}
	listener.ctx = owner;
	owner->job_watch = fleet_watch_new(
		owner->setup.loop, owner->setup.store, FLEET_KEYSPACE_OWN,
		owner->jobs_prefix, &listener);
}

static void on_job_record(void *ctx, const fleet_item_t *item)
{
	fleet_owner_t *owner = ctx;
	const char *name = item->key + strlen(owner->jobs_prefix);
	GError *err = NULL;
	gh_pipeline_t *pipeline;

	if (!item->value)
		return;
	if (g_str_has_prefix(name, FLEET_CANCEL_PREFIX)) {
		on_cancel_record(owner, name + strlen(FLEET_CANCEL_PREFIX));
		return;
	}
	if (fleet_owner_read_move(owner, name, item))
		return;
	pipeline = gh_pipeline_parse(item->value, &err);
	if (!pipeline) {
		log_event(LOG_ERROR, "job_unread", "key", item->key, "message",
			  err->message, NULL);
		g_error_free(err);
		return;
	}
	fleet_jobs_note_submitted(owner->setup.jobs, owner->setup.shard,
				  pipeline, item->revision);
	if (owner->parsed_jobs) {
		g_ptr_array_add(owner->parsed_jobs, pipeline);
		return;
	}
	add_job(owner, pipeline, "watch");
	owner->dirty = true;
}

static void on_job_records_synced(void *ctx)
{
	fleet_owner_t *owner = ctx;
	GPtrArray *pipelines = owner->parsed_jobs;
	guint i;

	if (!pipelines)
		return;
	owner->parsed_jobs = NULL;
	load_interference(owner);
	load_run_times(owner);
	for (i = 0; i < pipelines->len; i++)
		add_job(owner, pipelines->pdata[i], "load");
	g_ptr_array_free(pipelines, TRUE);
	fleet_owner_take_moves(owner, clock_boot());
}

void fleet_owner_load_workers(fleet_owner_t *owner)
{
	fleet_watch_listener_t listener = { .item_changed = on_worker_record,
					    .synced = on_worker_records_synced,
					    .ctx = owner };

	g_clear_pointer(&owner->progress, g_hash_table_destroy);
	owner->unread_workers =
		g_hash_table_new_full(g_str_hash, g_str_equal, g_free, NULL);
	owner->worker_watch =
		fleet_watch_new(owner->setup.loop, owner->setup.store,
				FLEET_KEYSPACE_WORKERS, "", &listener);
	fleet_watch_set_pause(owner->worker_watch, WORKER_CHANGES_PAUSE_USEC);
}

/* A job that is still to be loaded is cancelled when it is added. */
static void on_cancel_record(fleet_owner_t *owner, const char *id)
{
	g_hash_table_add(owner->cancelled, g_strdup(id));
	gh_fleet_job_cancel(owner->fleet, id, clock_boot());
	owner->dirty = true;
}

/* Adds a job that is not known yet; takes ownership of the pipeline. */
static void add_job(fleet_owner_t *owner, gh_pipeline_t *pipeline,
		    const char *source)
{
	fleet_job_state_t state;
	GError *err = NULL;
	char id[GH_JOB_ID_MAX + 1];
	char *progress;

	g_strlcpy(id, pipeline->id, sizeof(id));
	if (gh_fleet_has_job(owner->fleet, id)) {
		gh_pipeline_free(pipeline);
		return;
	}
	progress = fleet_owner_take_progress(owner, pipeline);
	log_event(LOG_INFO, "job_added", "job", id, "from", source, "progress",
		  progress ? "yes" : "no", "epoch",
		  log_num((int64_t)owner->epoch), NULL);
	if (!gh_fleet_job_add(owner->fleet, pipeline, progress, &err)) {
		log_event(LOG_ERROR, "job_progress_unread", "job", id,
			  "message", err->message, NULL);
		g_error_free(err);
	}
	g_free(progress);
	if (g_hash_table_contains(owner->cancelled, id) ||
	    (fleet_jobs_find(owner->setup.jobs, id, &state) &&
	     state.phase == GH_JOB_CANCELLED))
		gh_fleet_job_cancel(owner->fleet, id, clock_boot());
}

char *fleet_owner_part_key(const char *prefix, const char *id, uint32_t part)
{
	return part ? g_strdup_printf("%s%s/%u", prefix, id, part) :
		      g_strconcat(prefix, id, NULL);
}

char *fleet_owner_take_progress(fleet_owner_t *owner,
				const gh_pipeline_t *pipeline)
{
	GString *text = NULL;
	uint32_t i;

	for (i = 0; owner->progress && i < gh_fleet_part_count(pipeline); i++) {
		char *key = fleet_owner_part_key("", pipeline->id, i);
		const char *part = g_hash_table_lookup(owner->progress, key);

		if (part && !text)
			text = g_string_new(part);
		else if (part)
			g_string_append(text, part);
		g_hash_table_remove(owner->progress, key);
		g_free(key);
	}
	return text ? g_string_free(text, FALSE) : NULL;
}

static void on_worker_record(void *ctx, const fleet_item_t *item)
{
	fleet_owner_t *owner = ctx;
	gh_worker_entry_t entry;
	gh_time_t now = clock_boot();
	GError *err = NULL;

	if (g_str_hash(item->key) % owner->setup.shards != owner->setup.shard)
		return;
	owner->dirty = true;
	if (item->value && owner->setup.store->ops->parse_worker(
				   item->key, item->value, &entry, &err)) {
		g_hash_table_remove(owner->unread_workers, item->key);
		gh_fleet_worker_set(owner->fleet, &entry, now);
		return;
	}
	/* A record that another writer renews is logged once. */
	if (!item->value)
		g_hash_table_remove(owner->unread_workers, item->key);
	else if (g_hash_table_add(owner->unread_workers, g_strdup(item->key)))
		log_event(LOG_WARN, "worker_unread", "worker", item->key,
			  "message", err->message, NULL);
	g_clear_error(&err);
	gh_fleet_worker_unlist(owner->fleet, item->key);
}

static void on_worker_records_synced(void *ctx)
{
	fleet_owner_t *owner = ctx;

	if (owner->phase == PHASE_LOADING)
		finish_loading(owner);
}

static void finish_loading(fleet_owner_t *owner)
{
	gh_fleet_counts_t counts;

	gh_fleet_counts(owner->fleet, &counts);
	log_event(LOG_INFO, "shard_loaded", "shard",
		  log_num(owner->setup.shard), "jobs", log_num(counts.jobs),
		  "runs", log_num(counts.open_runs), "workers",
		  log_num(counts.workers), NULL);
	owner->phase = owner->draining ? PHASE_RELEASING : PHASE_OWNING;
	owner->commit_at = 0;
	owner->reread_chain_at = GH_TIME_NEVER;
	/* Until then the workers that are up send their first report. */
	owner->load_save_at = owner->setup.shards > 1 ?
				      clock_boot() + LOAD_PERIOD_USEC :
				      GH_TIME_NEVER;
	owner->dirty = true;
}

static void load_interference(fleet_owner_t *owner)
{
	const char *text =
		g_hash_table_lookup(owner->progress, INTERFERENCE_ID);

	if (text && !gh_fleet_interference_parse(owner->fleet, text))
		log_event(LOG_WARN, "learned_unread", "shard",
			  log_num(owner->setup.shard), "text", text, NULL);
}

static void load_run_times(fleet_owner_t *owner)
{
	const char *text = g_hash_table_lookup(owner->progress, RUN_TIMES_ID);

	if (text && !gh_fleet_run_times_parse(owner->fleet, text))
		log_event(LOG_WARN, "run_times_unread", "shard",
			  log_num(owner->setup.shard), "text", text, NULL);
	owner->run_times_saved = gh_fleet_run_times_version(owner->fleet);
}
