/*
 * The job directory of a host: states of jobs, owners and loads of shards.
 */
#include "fleet_jobs_private.h"

#include <inttypes.h>
#include <stdio.h>
#include <string.h>

#include "clock.h"
#include "error.h"
#include "log.h"

#define STATE_PREFIX "state/"
#define OWNER_PREFIX "own/"
/* Pause between two reads of changes by a host that owns no shard. */
#define CHANGES_PAUSE_USEC GH_USEC_PER_SEC
/* The same for an owner, whose commits expect the states of its jobs. */
#define OWNER_CHANGES_PAUSE_USEC (200 * GH_USEC_PER_MSEC)
/* The loads are unknown once the store was not heard for longer than this. */
#define LOADS_SILENCE_MAX_USEC (2 * GH_USEC_PER_SEC)

static void on_item(void *ctx, const fleet_item_t *item);
static void on_synced(void *ctx);
static void on_owner_item(void *ctx, const fleet_item_t *item);
static void on_owners_synced(void *ctx);
static void on_owner_record(fleet_jobs_t *jobs, uint32_t shard,
			    const char *owner);
static void set_owner(fleet_jobs_t *jobs, uint32_t shard, const char *owner);
static void on_load_record(fleet_jobs_t *jobs, uint32_t shard,
			   const char *text);
static void update_balance(fleet_jobs_t *jobs, uint32_t shard);
static char *owner_key(uint32_t shard);
static uint32_t parse_shard(const char *key, const char *prefix);
static bool read_state(const fleet_jobs_t *jobs, const char *id,
		       const char *text, uint64_t revision,
		       fleet_job_state_t *state);
static void remove_state(fleet_jobs_t *jobs, const char *id);
static uint64_t open_bytes(const fleet_job_state_t *state);
static void set_state(fleet_jobs_t *jobs, const char *id,
		      const fleet_job_state_t *state);
static void log_placed(const fleet_jobs_t *jobs, const gh_pipeline_t *pipeline,
		       const gh_balance_query_t *query, uint32_t shard,
		       gh_time_t now);

fleet_jobs_t *fleet_jobs_new(loop_t *loop, fleet_store_t *store,
			     uint32_t shards,
			     const fleet_jobs_listener_t *listener)
{
	fleet_jobs_t *jobs = g_new0(fleet_jobs_t, 1);
	fleet_watch_listener_t watch_listener = { .item_changed = on_item,
						  .synced = on_synced,
						  .ctx = jobs };

	jobs->loop = loop;
	jobs->store = store;
	jobs->shards = shards;
	jobs->records = g_new0(shard_records_t, shards);
	jobs->balance = gh_balance_new(shards);
	jobs->listener = *listener;
	pthread_mutex_init(&jobs->lock, NULL);
	jobs->states =
		g_hash_table_new_full(g_str_hash, g_str_equal, g_free, g_free);
	fleet_jobs_init_requests(jobs);
	jobs->watch = fleet_watch_new(loop, store, FLEET_KEYSPACE_OWN,
				      DIRECTORY_PREFIX, &watch_listener);
	fleet_watch_set_pause(jobs->watch, CHANGES_PAUSE_USEC);
	return jobs;
}

void fleet_jobs_free(fleet_jobs_t *jobs)
{
	uint32_t i;

	if (!jobs)
		return;
	fleet_watch_free(jobs->watch);
	fleet_watch_free(jobs->owner_watch);
	fleet_jobs_free_requests(jobs);
	g_hash_table_destroy(jobs->states);
	for (i = 0; i < jobs->shards; i++) {
		g_free(jobs->records[i].owner);
		g_free(jobs->records[i].load);
		g_free(jobs->records[i].known_load);
	}
	g_free(jobs->records);
	gh_balance_free(jobs->balance);
	pthread_mutex_destroy(&jobs->lock);
	g_free(jobs);
}

bool fleet_jobs_find(fleet_jobs_t *jobs, const char *id,
		     fleet_job_state_t *state)
{
	const fleet_job_state_t *found;

	pthread_mutex_lock(&jobs->lock);
	found = g_hash_table_lookup(jobs->states, id);
	if (found)
		*state = *found;
	pthread_mutex_unlock(&jobs->lock);
	return found != NULL;
}

bool fleet_job_was_accepted(const fleet_job_state_t *state)
{
	return state->accepted_ms != 0;
}

bool fleet_jobs_is_accepted(fleet_jobs_t *jobs, const char *id,
			    const char *queue)
{
	fleet_job_state_t state;

	return fleet_jobs_find(jobs, id, &state) &&
	       fleet_job_was_accepted(&state) && !strcmp(state.queue, queue);
}

uint64_t fleet_jobs_open_bytes(fleet_jobs_t *jobs)
{
	uint64_t bytes;

	pthread_mutex_lock(&jobs->lock);
	bytes = jobs->open_bytes;
	pthread_mutex_unlock(&jobs->lock);
	return bytes;
}

uint32_t fleet_jobs_count_queued(fleet_jobs_t *jobs, const char *queue)
{
	GHashTableIter iter;
	gpointer value;
	uint32_t n = 0;

	pthread_mutex_lock(&jobs->lock);
	g_hash_table_iter_init(&iter, jobs->states);
	while (g_hash_table_iter_next(&iter, NULL, &value)) {
		const fleet_job_state_t *state = value;

		if (state->phase == GH_JOB_QUEUED &&
		    !strcmp(state->queue, queue))
			n++;
	}
	pthread_mutex_unlock(&jobs->lock);
	return n;
}

gh_time_t fleet_jobs_last_reply_at(fleet_jobs_t *jobs)
{
	gh_time_t heard_at = fleet_jobs_owners_heard_at(jobs);

	return heard_at ?
		       MAX(heard_at, fleet_watch_last_reply_at(jobs->watch)) :
		       0;
}

gh_time_t fleet_jobs_owners_heard_at(fleet_jobs_t *jobs)
{
	fleet_watch_t *watch = jobs->owner_watch;

	return watch && fleet_watch_synced(watch) ?
		       fleet_watch_last_reply_at(watch) :
		       0;
}

gh_time_t fleet_jobs_owner_heard_at(const fleet_jobs_t *jobs, uint32_t shard,
				    uint64_t revision)
{
	return gh_heard_at(&jobs->records[shard].heard, revision);
}

bool fleet_jobs_may_lag(fleet_jobs_t *jobs, const fleet_job_state_t *state)
{
	return state->phase <= GH_JOB_RUNNING &&
	       !jobs->records[state->shard].followed;
}

gh_time_t fleet_jobs_age(fleet_jobs_t *jobs)
{
	return clock_boot() - fleet_watch_last_reply_at(jobs->watch);
}

void fleet_jobs_follow(fleet_jobs_t *jobs, uint32_t shard, bool follow)
{
	if (jobs->records[shard].followed == follow)
		return;
	jobs->records[shard].followed = follow;
	jobs->n_followed += follow ? 1 : -1;
	fleet_watch_set_pause(jobs->watch, jobs->n_followed ?
						   OWNER_CHANGES_PAUSE_USEC :
						   CHANGES_PAUSE_USEC);
}

/* The directory of all jobs. */

static void on_item(void *ctx, const fleet_item_t *item)
{
	fleet_jobs_t *jobs = ctx;
	const char *key = item->key + strlen(DIRECTORY_PREFIX);

	if (g_str_has_prefix(key, LOAD_PREFIX)) {
		on_load_record(jobs, parse_shard(key, LOAD_PREFIX),
			       item->value);
	} else if (g_str_has_prefix(key, STATE_PREFIX)) {
		const char *id = key + strlen(STATE_PREFIX);
		fleet_job_state_t state;

		if (item->value) {
			if (read_state(jobs, id, item->value, item->revision,
				       &state))
				set_state(jobs, id, &state);
			return;
		}
		remove_state(jobs, id);
	}
}

static void on_synced(void *ctx)
{
	fleet_jobs_t *jobs = ctx;
	fleet_watch_listener_t listener = { .item_changed = on_owner_item,
					    .synced = on_owners_synced,
					    .ctx = jobs };

	/* No shard is claimed before the states of its jobs are known. */
	if (!jobs->owner_watch)
		jobs->owner_watch = fleet_watch_new(
			jobs->loop, jobs->store, FLEET_KEYSPACE_OWN,
			DIRECTORY_PREFIX OWNER_PREFIX, &listener);
	jobs->listener.synced(jobs->listener.ctx);
}

static void on_owner_item(void *ctx, const fleet_item_t *item)
{
	fleet_jobs_t *jobs = ctx;
	uint32_t shard =
		parse_shard(item->key + strlen(DIRECTORY_PREFIX), OWNER_PREFIX);

	if (shard < jobs->shards)
		gh_heard_note(&jobs->records[shard].heard, item->revision,
			      clock_boot());
	on_owner_record(jobs, shard, item->value);
}

static void on_owners_synced(void *ctx)
{
	fleet_jobs_t *jobs = ctx;
	uint32_t i;

	for (i = 0; i < jobs->shards; i++) {
		char *key = owner_key(i);

		if (!fleet_watch_has(jobs->owner_watch, key))
			on_owner_record(jobs, i, NULL);
		g_free(key);
	}
}

static uint32_t parse_shard(const char *key, const char *prefix)
{
	return (uint32_t)g_ascii_strtoull(key + strlen(prefix), NULL, 10);
}

static void on_owner_record(fleet_jobs_t *jobs, uint32_t shard,
			    const char *owner)
{
	if (shard >= jobs->shards)
		return;
	set_owner(jobs, shard, owner);
	jobs->listener.owner_changed(jobs->listener.ctx, shard, owner);
}

static void set_owner(fleet_jobs_t *jobs, uint32_t shard, const char *owner)
{
	if (!g_strcmp0(jobs->records[shard].owner, owner))
		return;
	g_free(jobs->records[shard].owner);
	jobs->records[shard].owner = g_strdup(owner);
	update_balance(jobs, shard);
}

static void on_load_record(fleet_jobs_t *jobs, uint32_t shard, const char *text)
{
	if (shard >= jobs->shards ||
	    !g_strcmp0(jobs->records[shard].load, text))
		return;
	g_free(jobs->records[shard].load);
	jobs->records[shard].load = g_strdup(text);
	update_balance(jobs, shard);
}

/* A shard's load counts only while its author owns the shard. */
static void update_balance(fleet_jobs_t *jobs, uint32_t shard)
{
	shard_records_t *records = &jobs->records[shard];
	gh_shard_load_t *load = g_new(gh_shard_load_t, 1);

	g_clear_pointer(&records->known_load, g_free);
	if (records->owner && records->load &&
	    fleet_jobs_load_parse(records->load, records->owner, load))
		records->known_load = load;
	else
		g_free(load);
	gh_balance_report(jobs->balance, shard, records->known_load,
			  clock_boot());
}

bool fleet_jobs_load(fleet_jobs_t *jobs, uint32_t shard, gh_shard_load_t *load)
{
	const gh_shard_load_t *known = jobs->records[shard].known_load;

	if (!known || fleet_jobs_age(jobs) > LOADS_SILENCE_MAX_USEC)
		return false;
	*load = *known;
	return true;
}

static char *owner_key(uint32_t shard)
{
	return g_strdup_printf(DIRECTORY_PREFIX OWNER_PREFIX "%u", shard);
}

void fleet_jobs_note_owner(fleet_jobs_t *jobs, uint32_t shard,
			   const char *owner, uint64_t revision)
{
	char *key = owner_key(shard);

	gh_heard_note(&jobs->records[shard].heard, revision, clock_boot());
	if (fleet_watch_note(jobs->owner_watch, key, revision, true))
		set_owner(jobs, shard, owner);
	g_free(key);
}

void fleet_jobs_note_submitted(fleet_jobs_t *jobs, uint32_t shard,
			       const gh_pipeline_t *pipeline, uint64_t revision)
{
	fleet_job_state_t state = {
		.phase = GH_JOB_QUEUED,
		.accepted_ms = pipeline->accepted_ms,
		.changed_ms = pipeline->accepted_ms,
		.shard = shard,
		.bytes = gh_pipeline_bytes(pipeline),
		.revision = revision,
		.presumed = true,
	};

	g_strlcpy(state.queue, pipeline->queue, sizeof(state.queue));
	fleet_jobs_update(jobs, pipeline->id, &state);
}

void fleet_jobs_correct(fleet_jobs_t *jobs, const char *id, const char *text,
			uint64_t revision)
{
	fleet_job_state_t state;
	char *key;

	if (!fleet_jobs_find(jobs, id, &state) || !state.presumed)
		return;
	key = fleet_jobs_state_key(id);
	fleet_watch_forget(jobs->watch, key);
	g_free(key);
	remove_state(jobs, id);
	if (text)
		fleet_jobs_update_text(jobs, id, text, revision);
}

void fleet_jobs_update_text(fleet_jobs_t *jobs, const char *id,
			    const char *text, uint64_t revision)
{
	fleet_job_state_t state;

	if (read_state(jobs, id, text, revision, &state))
		fleet_jobs_update(jobs, id, &state);
}

void fleet_jobs_update(fleet_jobs_t *jobs, const char *id,
		       const fleet_job_state_t *state)
{
	char *key = fleet_jobs_state_key(id);

	if (fleet_watch_note(jobs->watch, key, state->revision, true))
		set_state(jobs, id, state);
	g_free(key);
}

static bool read_state(const fleet_jobs_t *jobs, const char *id,
		       const char *text, uint64_t revision,
		       fleet_job_state_t *state)
{
	*state = (fleet_job_state_t){ .revision = revision };
	if (fleet_jobs_parse_state(jobs, id, text, state))
		return true;
	log_event(LOG_ERROR, "job_state_unread", "job", id, "text", text, NULL);
	return false;
}

static void remove_state(fleet_jobs_t *jobs, const char *id)
{
	pthread_mutex_lock(&jobs->lock);
	jobs->open_bytes -= open_bytes(g_hash_table_lookup(jobs->states, id));
	g_hash_table_remove(jobs->states, id);
	pthread_mutex_unlock(&jobs->lock);
}

/* What counts of a state, which may be NULL. */
static uint64_t open_bytes(const fleet_job_state_t *state)
{
	return state && state->phase <= GH_JOB_RUNNING ? state->bytes : 0;
}

static void set_state(fleet_jobs_t *jobs, const char *id,
		      const fleet_job_state_t *state)
{
	pthread_mutex_lock(&jobs->lock);
	jobs->open_bytes -= open_bytes(g_hash_table_lookup(jobs->states, id));
	jobs->open_bytes += open_bytes(state);
	g_hash_table_replace(jobs->states, g_strdup(id),
			     g_memdup2(state, sizeof(*state)));
	pthread_mutex_unlock(&jobs->lock);
	jobs->listener.job_changed(jobs->listener.ctx, id, state);
}

GPtrArray *fleet_jobs_ended_before(fleet_jobs_t *jobs, uint32_t shard,
				   int64_t wall_ms, guint max)
{
	GPtrArray *ids = g_ptr_array_new_with_free_func(g_free);
	GHashTableIter iter;
	gpointer id, value;

	pthread_mutex_lock(&jobs->lock);
	g_hash_table_iter_init(&iter, jobs->states);
	while (ids->len < max && g_hash_table_iter_next(&iter, &id, &value)) {
		const fleet_job_state_t *state = value;

		if (state->phase > GH_JOB_RUNNING &&
		    state->changed_ms < wall_ms && state->shard == shard)
			g_ptr_array_add(ids, g_strdup(id));
	}
	pthread_mutex_unlock(&jobs->lock);
	return ids;
}

uint32_t fleet_jobs_hashed_shard(const fleet_jobs_t *jobs, const char *id)
{
	return g_str_hash(id) % jobs->shards;
}

char *fleet_jobs_state_key(const char *id)
{
	return g_strconcat(DIRECTORY_PREFIX STATE_PREFIX, id, NULL);
}

char *fleet_jobs_record_key(uint32_t shard, const char *id)
{
	return g_strdup_printf("w/%u/%s", shard, id);
}

char *fleet_jobs_cancel_key(uint32_t shard, const char *id)
{
	return g_strdup_printf("w/%u/" FLEET_CANCEL_PREFIX "%s", shard, id);
}

char *fleet_jobs_moved_key(uint32_t shard, const char *id, uint32_t index)
{
	return g_strdup_printf("w/%u/" FLEET_MOVED_PREFIX "%s/%u", shard, id,
			       index);
}

char *fleet_jobs_guest_key(uint32_t shard, const char *id)
{
	return g_strdup_printf("w/%u/" FLEET_GUEST_PREFIX "%s", shard, id);
}

char *fleet_jobs_load_key(uint32_t shard)
{
	return g_strdup_printf(DIRECTORY_PREFIX LOAD_PREFIX "%u", shard);
}

char *fleet_job_state_format(const fleet_job_state_t *state)
{
	return g_strdup_printf("%s %s %" PRId64 " %" PRId64 " %u %u",
			       gh_job_phase_name(state->phase), state->queue,
			       state->accepted_ms, state->changed_ms,
			       state->shard, state->bytes);
}

/* Leaves state unchanged if the text is not valid. */
bool fleet_jobs_parse_state(const fleet_jobs_t *jobs, const char *id,
			    const char *text, fleet_job_state_t *state)
{
	fleet_job_state_t parsed = { .revision = state->revision,
				     .shard = fleet_jobs_hashed_shard(jobs,
								      id) };
	char phase[16];

	if (sscanf(text,
		   "%15s %95s %" SCNd64 " %" SCNd64 " %" SCNu32 " %" SCNu32,
		   phase, parsed.queue, &parsed.accepted_ms, &parsed.changed_ms,
		   &parsed.shard, &parsed.bytes) < 4)
		return false;
	parsed.phase = gh_job_phase_by_name(phase);
	if (parsed.phase >= GH_JOB_PHASES)
		return false;
	/* A job that ended when there were more shards. */
	if (parsed.shard >= jobs->shards)
		parsed.shard = fleet_jobs_hashed_shard(jobs, id);
	*state = parsed;
	return true;
}

/* Takes over the shards' loads that were read. */
void fleet_jobs_note_loads(fleet_jobs_t *jobs, const fleet_reply_t *reply)
{
	size_t i;

	for (i = 0; reply->result == FLEET_OK && i < reply->n_items; i++) {
		const char *key = reply->items[i].key;

		on_load_record(jobs,
			       parse_shard(key + strlen(DIRECTORY_PREFIX),
					   LOAD_PREFIX),
			       reply->items[i].value);
	}
}

/*
 * The shard of a job to be written.  It may differ from the choice for another
 * submission of the same id: state and record of a job are written in one
 * commit, so only one submission writes either.
 */
uint32_t fleet_jobs_choose_shard(fleet_jobs_t *jobs,
				 const gh_pipeline_t *pipeline,
				 uint32_t priority)
{
	gh_balance_query_t query = {
		.hashed = fleet_jobs_hashed_shard(jobs, pipeline->id),
		.priority = priority,
		.heard_at = fleet_watch_last_reply_at(jobs->watch),
	};
	gh_time_t now = clock_boot();
	fleet_job_state_t state;
	uint32_t shard;

	if (fleet_jobs_find(jobs, pipeline->id, &state))
		return state.shard;
	shard = gh_balance_choose(jobs->balance, pipeline, &query, now);
	log_placed(jobs, pipeline, &query, shard, now);
	return shard;
}

int64_t fleet_jobs_least_wait_ms(const fleet_jobs_t *jobs,
				 const gh_pipeline_t *job, uint32_t priority,
				 gh_time_t *age)
{
	gh_balance_query_t query = {
		.priority = priority,
		.heard_at = fleet_watch_last_reply_at(jobs->watch),
	};
	int64_t least = INT64_MAX;
	uint32_t i;

	*age = 0;
	for (i = 0; i < jobs->shards; i++) {
		gh_time_t shard_age;
		int64_t wait_ms =
			gh_balance_wait_ms(jobs->balance, i, job, &query,
					   clock_boot(), &shard_age);

		*age = MAX(*age, shard_age);
		least = MIN(least, wait_ms);
	}
	return least;
}

/* Logs the choice if something waits in a shard. */
static void log_placed(const fleet_jobs_t *jobs, const gh_pipeline_t *pipeline,
		       const gh_balance_query_t *query, uint32_t shard,
		       gh_time_t now)
{
	GString *waits = g_string_new(NULL);
	gh_time_t oldest = 0;
	bool any = false;
	uint32_t i;

	for (i = 0; i < jobs->shards; i++) {
		gh_time_t age;
		int64_t wait_ms = gh_balance_wait_ms(jobs->balance, i, pipeline,
						     query, now, &age);

		any = any || wait_ms > 0;
		oldest = MAX(oldest, age);
		g_string_append_printf(waits, "%s%" PRId64, i ? "/" : "",
				       wait_ms);
	}
	if (any)
		log_event(LOG_INFO, "job_placed", "job", pipeline->id, "shard",
			  log_num(shard), "hashed", log_num(query->hashed),
			  "priority", log_num(query->priority), "waits_ms",
			  waits->str, "age_ms", log_num(gh_time_to_ms(oldest)),
			  NULL);
	g_string_free(waits, TRUE);
}
