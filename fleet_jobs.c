/*
 * The job directory of a host, and the submissions, cancels and reads of
 * jobs that callers wait for.  A request is retried until its outcome is
 * known, its deadline has passed or the store has refused it too often.
 */
#include "fleet_jobs.h"

#include <inttypes.h>
#include <pthread.h>
#include <stdatomic.h>
#include <stdio.h>
#include <string.h>

#include "clock.h"
#include "core_heard.h"
#include "counter.h"
#include "error.h"
#include "fleet_tries.h"
#include "fleet_watch.h"
#include "log.h"

#define DIRECTORY_PREFIX "d/"
#define STATE_PREFIX "state/"
#define OWNER_PREFIX "own/"
#define LOAD_PREFIX "load/"
/* Pause between two reads of changes by a host that owns no shard. */
#define CHANGES_PAUSE_USEC GH_USEC_PER_SEC
/* The same for an owner, whose commits expect the states of its jobs. */
#define OWNER_CHANGES_PAUSE_USEC (200 * GH_USEC_PER_MSEC)
#define RETRY_DELAY_USEC (40 * GH_USEC_PER_MSEC)
/*
 * A caller's request fails after this many tries that had no effect in the
 * store.
 */
#define REFUSALS_MAX 3

/* A shard's records in the directory; NULL: none. */
typedef struct shard_records {
	char *owner;
	char *load;
	gh_heard_t heard;      /* changes of the owner record */
	_Atomic bool followed; /* see fleet_jobs_follow() */
} shard_records_t;

struct fleet_jobs {
	loop_t *loop;
	fleet_store_t *store;
	fleet_watch_t *watch;
	/* Of owner records; NULL until all jobs were read. */
	fleet_watch_t *_Atomic owner_watch;
	fleet_jobs_listener_t listener;
	uint32_t n_followed;
	uint32_t shards;
	shard_records_t *records; /* indexed by shard */
	gh_balance_t *balance;
	/* Due at the earliest retry or deadline of a request. */
	loop_timer_t timer;
	bool closed;
	GQueue retry_queue; /* request_t to be retried, earliest first */
	GQueue requests;    /* request_t, all unfinished requests */
	pthread_mutex_t lock;
	GHashTable *states; /* job id to fleet_job_state_t; guarded by lock */
};

typedef enum request_kind {
	REQUEST_SUBMIT,
	REQUEST_CANCEL,
	REQUEST_REFRESH
} request_kind_t;

/* A submission, cancel or refresh of a job that is not finished. */
typedef struct request {
	fleet_jobs_t *jobs;
	request_kind_t kind;
	char id[GH_JOB_ID_MAX + 1];
	char queue[GH_QUEUE_MAX + 1];
	char *record;		 /* job as text; NULL unless REQUEST_SUBMIT */
	fleet_job_state_t state; /* state to write, or last one read */
	gh_time_t deadline;
	gh_time_t retry_at;
	/* A write to the store got no reply and may still take effect. */
	bool write_uncertain;
	bool state_known;  /* the store has the job; state is its state there */
	unsigned refusals; /* number of tries that had no effect in the store */
	unsigned tries;
	fleet_tries_t replies; /* what the store replied to the tries */
	bool write_pending;    /* a write was sent and awaits its reply */
	bool replied;	       /* done() was called; don't call it again */
	fleet_jobs_done_t done;
	void *ctx;
} request_t;

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
static uint32_t hashed_shard(const fleet_jobs_t *jobs, const char *id);
static uint32_t parse_shard(const char *key, const char *prefix);
static bool read_state(const fleet_jobs_t *jobs, const char *id,
		       const char *text, uint64_t revision,
		       fleet_job_state_t *state);
static bool parse_state(const fleet_jobs_t *jobs, const char *id,
			const char *text, fleet_job_state_t *state);
static bool parse_load(const char *text, const char *owner,
		       gh_shard_load_t *load);
static void on_loads_read(void *ctx, const fleet_reply_t *reply);
static uint32_t choose_shard(fleet_jobs_t *jobs, const gh_pipeline_t *pipeline);
static void set_state(fleet_jobs_t *jobs, const char *id,
		      const fleet_job_state_t *state);
static request_t *request_new(fleet_jobs_t *jobs, request_kind_t kind,
			      const char *id, gh_time_t deadline,
			      fleet_jobs_done_t done, void *ctx);
static void request_try(request_t *request);
static void request_write(request_t *request);
static void commit_state(request_t *request);
static void request_retry(request_t *request);
static void request_finish(request_t *request, GError *err);
static void log_retried(const request_t *request, const GError *err);
static void on_written(void *ctx, const fleet_reply_t *reply);
static void on_state_read(void *ctx, const fleet_reply_t *reply);
static void request_resolve(request_t *request);
static void begin_absent_state(request_t *request);
static void request_fail(request_t *request);
static GError *failure_error(const request_t *request);
static void reply_overdue(fleet_jobs_t *jobs, gh_time_t now);
static void on_timer(void *ctx, gh_time_t now);

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
	g_queue_init(&jobs->retry_queue);
	g_queue_init(&jobs->requests);
	jobs->states =
		g_hash_table_new_full(g_str_hash, g_str_equal, g_free, g_free);
	jobs->timer = (loop_timer_t){ .at = GH_TIME_NEVER,
				      .run = on_timer,
				      .ctx = jobs };
	loop_timer_add(loop, &jobs->timer);
	jobs->watch = fleet_watch_new(loop, store, FLEET_KEYSPACE_OWN,
				      DIRECTORY_PREFIX, &watch_listener);
	fleet_watch_set_pause(jobs->watch, CHANGES_PAUSE_USEC);
	return jobs;
}

void fleet_jobs_free(fleet_jobs_t *jobs)
{
	request_t *request;
	uint32_t i;

	if (!jobs)
		return;
	fleet_watch_free(jobs->watch);
	fleet_watch_free(jobs->owner_watch);
	loop_timer_remove(jobs->loop, &jobs->timer);
	while ((request = g_queue_pop_head(&jobs->requests))) {
		g_free(request->record);
		g_free(request);
	}
	g_queue_clear(&jobs->retry_queue);
	g_hash_table_destroy(jobs->states);
	for (i = 0; i < jobs->shards; i++) {
		g_free(jobs->records[i].owner);
		g_free(jobs->records[i].load);
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
		pthread_mutex_lock(&jobs->lock);
		g_hash_table_remove(jobs->states, id);
		pthread_mutex_unlock(&jobs->lock);
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
	const shard_records_t *records = &jobs->records[shard];
	gh_shard_load_t load;
	bool known = records->owner && records->load &&
		     parse_load(records->load, records->owner, &load);

	gh_balance_report(jobs->balance, shard, known ? &load : NULL,
			  clock_boot());
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
	pthread_mutex_lock(&jobs->lock);
	g_hash_table_remove(jobs->states, id);
	pthread_mutex_unlock(&jobs->lock);
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
	if (parse_state(jobs, id, text, state))
		return true;
	log_event(LOG_ERROR, "job_state_unread", "job", id, "text", text, NULL);
	return false;
}

static void set_state(fleet_jobs_t *jobs, const char *id,
		      const fleet_job_state_t *state)
{
	pthread_mutex_lock(&jobs->lock);
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

static uint32_t hashed_shard(const fleet_jobs_t *jobs, const char *id)
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

char *fleet_jobs_load_key(uint32_t shard)
{
	return g_strdup_printf(DIRECTORY_PREFIX LOAD_PREFIX "%u", shard);
}

char *fleet_job_state_format(const fleet_job_state_t *state)
{
	return g_strdup_printf("%s %s %" PRId64 " %" PRId64 " %u",
			       gh_job_phase_name(state->phase), state->queue,
			       state->accepted_ms, state->changed_ms,
			       state->shard);
}

/* Leaves state unchanged if the text is not valid. */
static bool parse_state(const fleet_jobs_t *jobs, const char *id,
			const char *text, fleet_job_state_t *state)
{
	fleet_job_state_t parsed = { .revision = state->revision,
				     .shard = hashed_shard(jobs, id) };
	char phase[16];

	if (sscanf(text, "%15s %95s %" SCNd64 " %" SCNd64 " %" SCNu32, phase,
		   parsed.queue, &parsed.accepted_ms, &parsed.changed_ms,
		   &parsed.shard) < 4)
		return false;
	parsed.phase = gh_job_phase_by_name(phase);
	if (parsed.phase >= GH_JOB_PHASES)
		return false;
	/* A job that ended when there were more shards. */
	if (parsed.shard >= jobs->shards)
		parsed.shard = hashed_shard(jobs, id);
	*state = parsed;
	return true;
}

char *fleet_jobs_load_format(const char *owner, const gh_shard_load_t *load)
{
	return g_strdup_printf(
		"%s %" PRId64 " %" PRId64 " %" PRId64 " %" PRId64, owner,
		load->total.cores_milli, load->total.memory_mb,
		load->long_running.cores_milli, load->long_running.memory_mb);
}

/* Returns false also for a load that another host than owner has written. */
static bool parse_load(const char *text, const char *owner,
		       gh_shard_load_t *load)
{
	size_t len = strlen(owner);

	return !strncmp(text, owner, len) && text[len] == ' ' &&
	       sscanf(text + len,
		      "%" SCNd64 " %" SCNd64 " %" SCNd64 " %" SCNd64,
		      &load->total.cores_milli, &load->total.memory_mb,
		      &load->long_running.cores_milli,
		      &load->long_running.memory_mb) == 4;
}

/* Requests: submissions, cancels and refreshes. */

void fleet_jobs_submit(fleet_jobs_t *jobs, const gh_pipeline_t *pipeline,
		       gh_time_t deadline, fleet_jobs_done_t done, void *ctx)
{
	request_t *request = request_new(jobs, REQUEST_SUBMIT, pipeline->id,
					 deadline, done, ctx);

	g_strlcpy(request->queue, pipeline->queue, sizeof(request->queue));
	request->record = gh_pipeline_format(pipeline);
	request->state = (fleet_job_state_t){
		.phase = GH_JOB_QUEUED,
		.accepted_ms = pipeline->accepted_ms,
		.changed_ms = pipeline->accepted_ms,
	};
	g_strlcpy(request->state.queue, pipeline->queue,
		  sizeof(request->state.queue));
	/* Long-running tasks stay where they are, so the latest loads count. */
	if (jobs->shards > 1 && !jobs->closed &&
	    gh_pipeline_is_long_running(pipeline)) {
		jobs->store->ops->range(jobs->store, FLEET_KEYSPACE_OWN,
					DIRECTORY_PREFIX LOAD_PREFIX, "",
					on_loads_read, request);
		return;
	}
	request->state.shard = choose_shard(jobs, pipeline);
	request_try(request);
}

/* Without a reply, the loads that are known decide. */
static void on_loads_read(void *ctx, const fleet_reply_t *reply)
{
	request_t *request = ctx;
	fleet_jobs_t *jobs = request->jobs;
	gh_pipeline_t *pipeline;
	size_t i;

	if (request->replied) {
		request_finish(request, NULL);
		return;
	}
	for (i = 0; reply->result == FLEET_OK && i < reply->n_items; i++) {
		const char *key = reply->items[i].key;

		on_load_record(jobs,
			       parse_shard(key + strlen(DIRECTORY_PREFIX),
					   LOAD_PREFIX),
			       reply->items[i].value);
	}
	pipeline = gh_pipeline_parse(request->record, NULL);
	if (pipeline)
		request->state.shard = choose_shard(jobs, pipeline);
	gh_pipeline_free(pipeline);
	request_try(request);
}

/*
 * The shard of a job to be written.  It may differ from the choice for another
 * submission of the same id: state and record of a job are written in one
 * commit, so only one submission writes either.
 */
static uint32_t choose_shard(fleet_jobs_t *jobs, const gh_pipeline_t *pipeline)
{
	fleet_job_state_t state;

	if (fleet_jobs_find(jobs, pipeline->id, &state))
		return state.shard;
	return gh_balance_choose(jobs->balance, pipeline,
				 hashed_shard(jobs, pipeline->id),
				 clock_boot());
}

void fleet_jobs_cancel(fleet_jobs_t *jobs, const char *id, const char *queue,
		       gh_time_t deadline, fleet_jobs_done_t done, void *ctx)
{
	request_t *request =
		request_new(jobs, REQUEST_CANCEL, id, deadline, done, ctx);

	g_strlcpy(request->queue, queue, sizeof(request->queue));
	request->state_known = fleet_jobs_find(jobs, id, &request->state);
	request_try(request);
}

void fleet_jobs_refresh(fleet_jobs_t *jobs, const char *id, gh_time_t deadline,
			fleet_jobs_done_t done, void *ctx)
{
	request_try(
		request_new(jobs, REQUEST_REFRESH, id, deadline, done, ctx));
}

static request_t *request_new(fleet_jobs_t *jobs, request_kind_t kind,
			      const char *id, gh_time_t deadline,
			      fleet_jobs_done_t done, void *ctx)
{
	request_t *request = g_new0(request_t, 1);

	request->jobs = jobs;
	request->kind = kind;
	g_strlcpy(request->id, id, sizeof(request->id));
	request->deadline = deadline;
	request->done = done;
	request->ctx = ctx;
	g_queue_push_tail(&jobs->requests, request);
	jobs->timer.at = MIN(jobs->timer.at, deadline);
	return request;
}

/*
 * Makes one attempt at a request: writes to the store if the job's state is
 * known or not needed, else reads the state.
 */
static void request_try(request_t *request)
{
	GError *err = NULL;
	char *key;

	if (request->jobs->closed) {
		gh_error_set(&err, GH_E_DRAINING, "this host is shutting down");
		request_finish(request, err);
		return;
	}
	request->tries++;
	if (request->kind == REQUEST_SUBMIT && !request->write_uncertain) {
		request_write(request);
		return;
	}
	if (request->kind == REQUEST_CANCEL && request->state_known) {
		request_resolve(request);
		return;
	}
	key = fleet_jobs_state_key(request->id);
	request->jobs->store->ops->get(request->jobs->store, FLEET_KEYSPACE_OWN,
				       key, on_state_read, request);
	g_free(key);
}

/*
 * Writes the job's state, unless it is a submission that is answered: another
 * host may have refused the job since.
 */
static void request_write(request_t *request)
{
	if (request->kind == REQUEST_SUBMIT && request->replied)
		request_finish(request, NULL);
	else
		commit_state(request);
}

static void commit_state(request_t *request)
{
	fleet_jobs_t *jobs = request->jobs;
	char *state_key = fleet_jobs_state_key(request->id);
	bool is_first =
		request->kind == REQUEST_SUBMIT || !request->state_known;
	uint32_t shard = request->state.shard;
	char *record_key = fleet_jobs_record_key(shard, request->id);
	char *cancel_key = fleet_jobs_cancel_key(shard, request->id);
	fleet_job_state_t new_state = request->state;
	fleet_entry_t entries[3];
	size_t n = 0;
	char *text;

	if (request->kind == REQUEST_CANCEL) {
		new_state.phase = GH_JOB_CANCELLED;
		new_state.changed_ms = gh_time_to_ms(clock_real());
	}
	text = fleet_job_state_format(&new_state);
	entries[n++] = (fleet_entry_t){
		.kind = FLEET_EXPECT,
		.key = state_key,
		.revision = is_first ? 0 : request->state.revision,
	};
	entries[n++] = (fleet_entry_t){ .kind = FLEET_PUT,
					.key = state_key,
					.value = text };
	if (request->kind == REQUEST_SUBMIT)
		entries[n++] = (fleet_entry_t){ .kind = FLEET_PUT,
						.key = record_key,
						.value = request->record };
	else if (request->state_known)
		entries[n++] = (fleet_entry_t){ .kind = FLEET_PUT,
						.key = cancel_key,
						.value = text };
	request->write_pending = true;
	jobs->store->ops->commit(jobs->store, entries, n, on_written, request);
	g_free(text);
	g_free(cancel_key);
	g_free(record_key);
	g_free(state_key);
}

static void on_written(void *ctx, const fleet_reply_t *reply)
{
	request_t *request = ctx;
	size_t i;

	request->write_pending = false;
	fleet_tries_add(&request->replies, reply->detail);
	switch (reply->result) {
	case FLEET_OK:
		if (request->kind == REQUEST_CANCEL) {
			request->state.phase = GH_JOB_CANCELLED;
			request->state.changed_ms = gh_time_to_ms(clock_real());
		}
		request->state.revision = reply->revision;
		request->state_known = true;
		fleet_jobs_update(request->jobs, request->id, &request->state);
		request_resolve(request);
		return;
	case FLEET_CONFLICT:
		request->state_known = false;
		for (i = 0; i < reply->n_items; i++)
			if (reply->items[i].value) {
				request->state_known = parse_state(
					request->jobs, request->id,
					reply->items[i].value, &request->state);
				request->state.revision =
					reply->items[i].revision;
			}
		if (request->state_known)
			fleet_jobs_update(request->jobs, request->id,
					  &request->state);
		if (!request->state_known && request->kind == REQUEST_SUBMIT)
			break; /* something unreadable is in its place */
		request_resolve(request);
		return;
	case FLEET_OUTCOME_UNKNOWN:
		break;
	default:
		request->refusals++;
		request_retry(request);
		return;
	}
	request->write_uncertain = true;
	request->state_known = false;
	request_retry(request);
}

static void on_state_read(void *ctx, const fleet_reply_t *reply)
{
	request_t *request = ctx;

	fleet_tries_add(&request->replies, reply->detail);
	if (reply->result == FLEET_NOT_FOUND) {
		request->state_known = false;
		request_resolve(request);
	} else if (reply->result == FLEET_OK && reply->n_items &&
		   reply->items[0].value &&
		   parse_state(request->jobs, request->id,
			       reply->items[0].value, &request->state)) {
		request->state_known = true;
		request->state.revision = reply->items[0].revision;
		fleet_jobs_update(request->jobs, request->id, &request->state);
		request_resolve(request);
	} else {
		if (reply->result == FLEET_REFUSED)
			request->refusals++;
		request_retry(request);
	}
}

/*
 * Continues a request after a read of the job's state or a conflict.
 * request->state is the job's present state; if state_known is not set, the job
 * counts as absent.
 */
static void request_resolve(request_t *request)
{
	GError *err = NULL;

	switch (request->kind) {
	case REQUEST_SUBMIT:
		if (!request->state_known) {
			/*
			 * The store has no such job, so no earlier write of
			 * this submission has taken effect so far; the job is
			 * written now.
			 */
			request_write(request);
			return;
		}
		if (!fleet_job_was_accepted(&request->state))
			gh_error_set(&err, GH_E_JOB_CANCELLED,
				     "job %s was cancelled before it was "
				     "accepted",
				     request->id);
		else if (strcmp(request->state.queue, request->queue) != 0)
			gh_error_set(&err, GH_E_JOB_EXISTS,
				     "job %s exists in another queue",
				     request->id);
		break;
	case REQUEST_CANCEL:
		if (!request->state_known) {
			/* A submission may still be carried out late. */
			begin_absent_state(request);
			request_write(request);
			return;
		}
		if (!strcmp(request->state.queue, request->queue) &&
		    request->state.phase <= GH_JOB_RUNNING) {
			request_write(request);
			return;
		}
		if (!fleet_job_was_accepted(&request->state) ||
		    strcmp(request->state.queue, request->queue) != 0)
			gh_error_set(&err, GH_E_JOB_UNKNOWN,
				     "job %s does not exist", request->id);
		break;
	case REQUEST_REFRESH:
		if (!request->state_known ||
		    !fleet_job_was_accepted(&request->state))
			gh_error_set(&err, GH_E_JOB_UNKNOWN,
				     "job %s does not exist", request->id);
		break;
	}
	request_finish(request, err);
}

/* The state of a job that is cancelled before it is accepted. */
static void begin_absent_state(request_t *request)
{
	request->state = (fleet_job_state_t){
		.phase = GH_JOB_CANCELLED,
		.changed_ms = gh_time_to_ms(clock_real()),
		.shard = hashed_shard(request->jobs, request->id),
	};
	g_strlcpy(request->state.queue, request->queue,
		  sizeof(request->state.queue));
}

static void request_retry(request_t *request)
{
	fleet_jobs_t *jobs = request->jobs;
	gh_time_t now = clock_boot();

	if (request->replied || now + RETRY_DELAY_USEC >= request->deadline ||
	    (request->refusals >= REFUSALS_MAX && !request->write_uncertain)) {
		request_fail(request);
		return;
	}
	counter_inc(CTR_RETRY_STORE);
	request->retry_at = now + RETRY_DELAY_USEC;
	g_queue_push_tail(&jobs->retry_queue, request);
	jobs->timer.at = MIN(jobs->timer.at, request->retry_at);
}

static void request_fail(request_t *request)
{
	request_finish(request, failure_error(request));
}

/*
 * Error of a failed request; the error's kind tells whether the request may
 * have taken effect.
 */
static GError *failure_error(const request_t *request)
{
	GError *err = NULL;

	if (request->write_uncertain || request->write_pending ||
	    request->kind != REQUEST_SUBMIT)
		gh_error_set(&err, GH_E_STORE_UNKNOWN,
			     "no definite reply from the store about job %s in "
			     "%u attempts (%s)",
			     request->id, request->tries,
			     fleet_tries_text(&request->replies));
	else
		gh_error_set(&err, GH_E_STORE_DOWN,
			     "the store refused to write job %s in %u attempts "
			     "(%s)",
			     request->id, request->tries,
			     fleet_tries_text(&request->replies));
	return err;
}

static void on_timer(void *ctx, gh_time_t now)
{
	fleet_jobs_t *jobs = ctx;
	request_t *request;

	while ((request = g_queue_peek_head(&jobs->retry_queue)) &&
	       request->retry_at <= now) {
		g_queue_pop_head(&jobs->retry_queue);
		request_try(request);
	}
	if (request)
		jobs->timer.at = MIN(jobs->timer.at, request->retry_at);
	reply_overdue(jobs, now);
}

void fleet_jobs_close(fleet_jobs_t *jobs)
{
	jobs->closed = true;
	reply_overdue(jobs, GH_TIME_NEVER);
}

/*
 * Fails requests whose deadline has passed, even while their call to the store
 * is in flight.
 */
static void reply_overdue(fleet_jobs_t *jobs, gh_time_t now)
{
	GList *link;

	for (link = jobs->requests.head; link; link = link->next) {
		request_t *request = link->data;
		GError *err;

		if (request->replied)
			continue;
		if (request->deadline > now) {
			jobs->timer.at = MIN(jobs->timer.at, request->deadline);
			continue;
		}
		err = failure_error(request);
		request->replied = true;
		request->done(request->ctx, err);
		g_error_free(err);
	}
}

static void request_finish(request_t *request, GError *err)
{
	log_retried(request, err);
	if (!request->replied)
		request->done(request->ctx, err);
	g_queue_remove(&request->jobs->requests, request);
	g_clear_error(&err);
	g_free(request->record);
	g_free(request);
}

static void log_retried(const request_t *request, const GError *err)
{
	static const char *const kinds[] = {
		[REQUEST_SUBMIT] = "submit",
		[REQUEST_CANCEL] = "cancel",
		[REQUEST_REFRESH] = "read",
	};

	if (request->tries < 2)
		return;
	log_event(LOG_INFO, "request_retried", "job", request->id, "kind",
		  kinds[request->kind], "replies",
		  fleet_tries_text(&request->replies), "outcome",
		  err ? gh_error_name(gh_error_kind(err)) : "ok", "late",
		  request->replied ? "yes" : "no", NULL);
}
