#include "fleet_jobs.h"

#include <inttypes.h>
#include <pthread.h>
#include <stdio.h>
#include <string.h>

#include "clock.h"
#include "counter.h"
#include "error.h"
#include "fleet_watch.h"
#include "log.h"

#define DIRECTORY "d/"
#define STATES "state/"
#define OWNERS "own/"
#define RETRY_WAIT (40 * GH_USEC_PER_MSEC) /* between two tries of a write */
#define REFUSALS_MOST                                          \
	3 /* of one request by the store, before it is refused \
	   */

struct fleet_jobs {
	loop_t *loop;
	fleet_store_t *store;
	fleet_watch_t *watch;
	fleet_jobs_listener_t listener;
	uint32_t shards;
	loop_timer_t timer; /* of the next waiting request */
	bool closed;
	GQueue waiting; /* request_t, to be tried again */
	GQueue open;	/* request_t, all of them */
	pthread_mutex_t lock;
	GHashTable *states; /* id to fleet_job_state_t; under the lock */
};

typedef enum request_kind {
	REQUEST_SUBMIT,
	REQUEST_CANCEL,
	REQUEST_LOOK
} request_kind_t;

/* A submission, a cancel or a look on its way. */
typedef struct request {
	fleet_jobs_t *jobs;
	request_kind_t kind;
	char id[GH_JOB_ID_MAX + 1];
	char queue[GH_QUEUE_MAX + 1];
	char *record;		 /* SUBMIT */
	fleet_job_state_t state; /* to be written, or as last read */
	gh_time_t deadline;
	gh_time_t retry_at;
	bool uncertain; /* a write may have been done, or may yet be */
	bool known;	/* CANCEL: state holds what was read */
	unsigned refusals;
	unsigned tries;
	bool calling;  /* a write is under way */
	bool answered; /* at its deadline, before its last call returned */
	fleet_jobs_done_t done;
	void *ctx;
} request_t;

static void on_item(void *ctx, const fleet_item_t *item);
static void on_synced(void *ctx, GHashTable *keys);
static void drop_missing(fleet_jobs_t *jobs, GHashTable *keys);
static bool read_state(const char *text, fleet_job_state_t *state);
static bool put_state(fleet_jobs_t *jobs, const char *id,
		      const fleet_job_state_t *state);
static request_t *request_new(fleet_jobs_t *jobs, request_kind_t kind,
			      const char *id, gh_time_t deadline,
			      fleet_jobs_done_t done, void *ctx);
static void request_go(request_t *request);
static void request_write(request_t *request);
static void request_again(request_t *request);
static void request_finish(request_t *request, GError *err);
static void on_written(void *ctx, const fleet_reply_t *reply);
static void on_read(void *ctx, const fleet_reply_t *reply);
static void settle(request_t *request);
static void give_up(request_t *request);
static GError *fate_unknown(const request_t *request);
static void answer_due(fleet_jobs_t *jobs, gh_time_t now);
static void on_time(void *ctx, gh_time_t now);

fleet_jobs_t *fleet_jobs_new(loop_t *loop, fleet_store_t *store,
			     uint32_t shards,
			     const fleet_jobs_listener_t *listener)
{
	fleet_jobs_t *jobs = g_new0(fleet_jobs_t, 1);
	fleet_reader_t reader = { .item = on_item,
				  .synced = on_synced,
				  .ctx = jobs };

	jobs->loop = loop;
	jobs->store = store;
	jobs->shards = shards;
	jobs->listener = *listener;
	pthread_mutex_init(&jobs->lock, NULL);
	g_queue_init(&jobs->waiting);
	g_queue_init(&jobs->open);
	jobs->states =
		g_hash_table_new_full(g_str_hash, g_str_equal, g_free, g_free);
	jobs->timer = (loop_timer_t){ .at = GH_TIME_NEVER,
				      .run = on_time,
				      .ctx = jobs };
	loop_timer_add(loop, &jobs->timer);
	jobs->watch = fleet_watch_new(loop, store, FLEET_KEYSPACE_OWN,
				      DIRECTORY, &reader);
	return jobs;
}

void fleet_jobs_free(fleet_jobs_t *jobs)
{
	request_t *request;

	if (!jobs)
		return;
	fleet_watch_free(jobs->watch);
	loop_timer_remove(jobs->loop, &jobs->timer);
	while ((request = g_queue_pop_head(&jobs->open))) {
		g_free(request->record);
		g_free(request);
	}
	g_queue_clear(&jobs->waiting);
	g_hash_table_destroy(jobs->states);
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

uint32_t fleet_jobs_pending(fleet_jobs_t *jobs, const char *queue)
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

gh_time_t fleet_jobs_heard(fleet_jobs_t *jobs)
{
	return fleet_watch_synced(jobs->watch) ?
		       fleet_watch_heard(jobs->watch) :
		       0;
}

/* Directory. */

static void on_item(void *ctx, const fleet_item_t *item)
{
	fleet_jobs_t *jobs = ctx;
	const char *key = item->key + strlen(DIRECTORY);

	if (g_str_has_prefix(key, OWNERS)) {
		jobs->listener.owner(jobs->listener.ctx,
				     (uint32_t)g_ascii_strtoull(
					     key + strlen(OWNERS), NULL, 10),
				     item->value);
	} else if (g_str_has_prefix(key, STATES)) {
		const char *id = key + strlen(STATES);

		if (item->value) {
			fleet_jobs_note_text(jobs, id, item->value,
					     item->revision);
			return;
		}
		pthread_mutex_lock(&jobs->lock);
		g_hash_table_remove(jobs->states, id);
		pthread_mutex_unlock(&jobs->lock);
	}
}

static void on_synced(void *ctx, GHashTable *keys)
{
	fleet_jobs_t *jobs = ctx;
	uint32_t i;

	drop_missing(jobs, keys);
	for (i = 0; i < jobs->shards; i++) {
		char *key = g_strdup_printf(DIRECTORY OWNERS "%u", i);

		if (!g_hash_table_contains(keys, key))
			jobs->listener.owner(jobs->listener.ctx, i, NULL);
		g_free(key);
	}
	jobs->listener.synced(jobs->listener.ctx);
}

static void drop_missing(fleet_jobs_t *jobs, GHashTable *keys)
{
	GHashTableIter iter;
	gpointer id;

	pthread_mutex_lock(&jobs->lock);
	g_hash_table_iter_init(&iter, jobs->states);
	while (g_hash_table_iter_next(&iter, &id, NULL)) {
		char *key = fleet_jobs_state_key(id);

		if (!g_hash_table_contains(keys, key))
			g_hash_table_iter_remove(&iter);
		g_free(key);
	}
	pthread_mutex_unlock(&jobs->lock);
}

void fleet_jobs_note_text(fleet_jobs_t *jobs, const char *id, const char *text,
			  uint64_t revision)
{
	fleet_job_state_t state = { .revision = revision };

	if (read_state(text, &state))
		fleet_jobs_note(jobs, id, &state);
	else
		log_event(LOG_ERROR, "job_state_unread", "job", id, "text",
			  text, NULL);
}

void fleet_jobs_note(fleet_jobs_t *jobs, const char *id,
		     const fleet_job_state_t *state)
{
	if (put_state(jobs, id, state))
		jobs->listener.job(jobs->listener.ctx, id, state);
}

/* False when the directory has this revision or a later one. */
static bool put_state(fleet_jobs_t *jobs, const char *id,
		      const fleet_job_state_t *state)
{
	fleet_job_state_t *found;
	bool newer;

	pthread_mutex_lock(&jobs->lock);
	found = g_hash_table_lookup(jobs->states, id);
	newer = !found || state->revision > found->revision;
	if (found && newer)
		*found = *state;
	else if (!found)
		g_hash_table_insert(jobs->states, g_strdup(id),
				    g_memdup2(state, sizeof(*state)));
	pthread_mutex_unlock(&jobs->lock);
	return newer;
}

GPtrArray *fleet_jobs_ended_before(fleet_jobs_t *jobs, uint32_t shard,
				   int64_t wall_ms, guint most)
{
	GPtrArray *ids = g_ptr_array_new_with_free_func(g_free);
	GHashTableIter iter;
	gpointer id, value;

	pthread_mutex_lock(&jobs->lock);
	g_hash_table_iter_init(&iter, jobs->states);
	while (ids->len < most && g_hash_table_iter_next(&iter, &id, &value)) {
		const fleet_job_state_t *state = value;

		if (state->phase > GH_JOB_RUNNING &&
		    state->changed_ms < wall_ms &&
		    fleet_jobs_shard(jobs, id) == shard)
			g_ptr_array_add(ids, g_strdup(id));
	}
	pthread_mutex_unlock(&jobs->lock);
	return ids;
}

uint32_t fleet_jobs_shard(const fleet_jobs_t *jobs, const char *id)
{
	return g_str_hash(id) % jobs->shards;
}

char *fleet_jobs_state_key(const char *id)
{
	return g_strconcat(DIRECTORY STATES, id, NULL);
}

char *fleet_jobs_record_key(uint32_t shard, const char *id)
{
	return g_strdup_printf("w/%u/%s", shard, id);
}

char *fleet_job_state_text(const fleet_job_state_t *state)
{
	return g_strdup_printf("%s %s %" PRId64 " %" PRId64,
			       gh_job_phase_name(state->phase), state->queue,
			       state->accepted_ms, state->changed_ms);
}

static bool read_state(const char *text, fleet_job_state_t *state)
{
	char phase[16];

	if (sscanf(text, "%15s %95s %" SCNd64 " %" SCNd64, phase, state->queue,
		   &state->accepted_ms, &state->changed_ms) != 4)
		return false;
	state->phase = gh_job_phase_by_name(phase);
	return state->phase < GH_JOB_PHASES;
}

/* Requests. */

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
	request_go(request);
}

void fleet_jobs_cancel(fleet_jobs_t *jobs, const char *id, const char *queue,
		       gh_time_t deadline, fleet_jobs_done_t done, void *ctx)
{
	request_t *request =
		request_new(jobs, REQUEST_CANCEL, id, deadline, done, ctx);

	g_strlcpy(request->queue, queue, sizeof(request->queue));
	request->known = fleet_jobs_find(jobs, id, &request->state);
	request_go(request);
}

void fleet_jobs_look(fleet_jobs_t *jobs, const char *id, gh_time_t deadline,
		     fleet_jobs_done_t done, void *ctx)
{
	request_go(request_new(jobs, REQUEST_LOOK, id, deadline, done, ctx));
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
	g_queue_push_tail(&jobs->open, request);
	jobs->timer.at = MIN(jobs->timer.at, deadline);
	return request;
}

/* One try: a write where the state is known, else a read first. */
static void request_go(request_t *request)
{
	GError *err = NULL;
	char *key;

	if (request->jobs->closed) {
		gh_error_set(&err, GH_E_DRAINING, "this host stops");
		request_finish(request, err);
		return;
	}
	request->tries++;
	if (request->kind == REQUEST_SUBMIT && !request->uncertain) {
		request_write(request);
		return;
	}
	if (request->kind == REQUEST_CANCEL && request->known) {
		settle(request);
		return;
	}
	key = fleet_jobs_state_key(request->id);
	request->jobs->store->ops->get(request->jobs->store, FLEET_KEYSPACE_OWN,
				       key, on_read, request);
	g_free(key);
}

static void request_write(request_t *request)
{
	fleet_jobs_t *jobs = request->jobs;
	char *state_key = fleet_jobs_state_key(request->id);
	char *record_key = fleet_jobs_record_key(
		fleet_jobs_shard(jobs, request->id), request->id);
	fleet_job_state_t next = request->state;
	fleet_entry_t entries[3];
	size_t n = 0;
	char *text;

	if (request->kind == REQUEST_CANCEL) {
		next.phase = GH_JOB_CANCELLED;
		next.changed_ms = gh_time_to_ms(clock_real());
	}
	text = fleet_job_state_text(&next);
	entries[n++] = (fleet_entry_t){
		.kind = FLEET_EXPECT,
		.key = state_key,
		.revision = request->kind == REQUEST_SUBMIT ?
				    0 :
				    request->state.revision,
	};
	entries[n++] = (fleet_entry_t){ .kind = FLEET_PUT,
					.key = state_key,
					.value = text };
	if (request->kind == REQUEST_SUBMIT)
		entries[n++] = (fleet_entry_t){ .kind = FLEET_PUT,
						.key = record_key,
						.value = request->record };
	request->calling = true;
	jobs->store->ops->commit(jobs->store, entries, n, on_written, request);
	g_free(text);
	g_free(record_key);
	g_free(state_key);
}

static void on_written(void *ctx, const fleet_reply_t *reply)
{
	request_t *request = ctx;
	size_t i;

	request->calling = false;
	switch (reply->result) {
	case FLEET_OK:
		if (request->kind == REQUEST_CANCEL) {
			request->state.phase = GH_JOB_CANCELLED;
			request->state.changed_ms = gh_time_to_ms(clock_real());
		}
		request->state.revision = reply->revision;
		fleet_jobs_note(request->jobs, request->id, &request->state);
		request_finish(request, NULL);
		return;
	case FLEET_CONFLICT:
		request->known = false;
		for (i = 0; i < reply->n_items; i++)
			if (reply->items[i].value) {
				request->known = read_state(
					reply->items[i].value, &request->state);
				request->state.revision =
					reply->items[i].revision;
			}
		if (request->known)
			fleet_jobs_note(request->jobs, request->id,
					&request->state);
		settle(request);
		return;
	case FLEET_OUTCOME_UNKNOWN:
		request->uncertain = true;
		request->known = false;
		request_again(request);
		return;
	default:
		request->refusals++;
		request_again(request);
		return;
	}
}

static void on_read(void *ctx, const fleet_reply_t *reply)
{
	request_t *request = ctx;

	if (reply->result == FLEET_NOT_FOUND) {
		request->known = false;
		settle(request);
	} else if (reply->result == FLEET_OK && reply->n_items &&
		   reply->items[0].value &&
		   read_state(reply->items[0].value, &request->state)) {
		request->known = true;
		request->state.revision = reply->items[0].revision;
		fleet_jobs_note(request->jobs, request->id, &request->state);
		settle(request);
	} else {
		if (reply->result == FLEET_REFUSED)
			request->refusals++;
		request_again(request);
	}
}

/* The job's present state is in request->state, or it does not exist. */
static void settle(request_t *request)
{
	GError *err = NULL;

	switch (request->kind) {
	case REQUEST_SUBMIT:
		if (!request->known) {
			/* An uncertain write has not been done so far. */
			request_write(request);
			return;
		}
		if (strcmp(request->state.queue, request->queue) != 0)
			gh_error_set(&err, GH_E_JOB_EXISTS,
				     "job %s is in another queue", request->id);
		break;
	case REQUEST_CANCEL:
		if (request->known &&
		    !strcmp(request->state.queue, request->queue) &&
		    request->state.phase <= GH_JOB_RUNNING) {
			request_write(request);
			return;
		}
		if (!request->known ||
		    strcmp(request->state.queue, request->queue) != 0)
			gh_error_set(&err, GH_E_JOB_UNKNOWN, "no job %s",
				     request->id);
		break;
	case REQUEST_LOOK:
		if (!request->known)
			gh_error_set(&err, GH_E_JOB_UNKNOWN, "no job %s",
				     request->id);
		break;
	}
	request_finish(request, err);
}

static void request_again(request_t *request)
{
	fleet_jobs_t *jobs = request->jobs;
	gh_time_t now = clock_boot();

	if (request->answered || now + RETRY_WAIT >= request->deadline ||
	    (request->refusals >= REFUSALS_MOST && !request->uncertain)) {
		give_up(request);
		return;
	}
	counter_inc(CTR_RETRY_STORE);
	request->retry_at = now + RETRY_WAIT;
	g_queue_push_tail(&jobs->waiting, request);
	jobs->timer.at = MIN(jobs->timer.at, request->retry_at);
}

static void give_up(request_t *request)
{
	request_finish(request, fate_unknown(request));
}

/* What is known of a request that is given up. */
static GError *fate_unknown(const request_t *request)
{
	GError *err = NULL;

	if (request->uncertain || request->calling ||
	    request->kind != REQUEST_SUBMIT)
		gh_error_set(&err, GH_E_STORE_UNKNOWN,
			     "the store did not answer for job %s in %u tries",
			     request->id, request->tries);
	else
		gh_error_set(&err, GH_E_STORE_DOWN,
			     "the store refused job %s in %u tries",
			     request->id, request->tries);
	return err;
}

static void on_time(void *ctx, gh_time_t now)
{
	fleet_jobs_t *jobs = ctx;
	request_t *request;

	while ((request = g_queue_peek_head(&jobs->waiting)) &&
	       request->retry_at <= now) {
		g_queue_pop_head(&jobs->waiting);
		request_go(request);
	}
	if (request)
		jobs->timer.at = MIN(jobs->timer.at, request->retry_at);
	answer_due(jobs, now);
}

void fleet_jobs_close(fleet_jobs_t *jobs)
{
	jobs->closed = true;
	answer_due(jobs, GH_TIME_NEVER);
}

/* Callers whose time is up are answered, though a call is still under way. */
static void answer_due(fleet_jobs_t *jobs, gh_time_t now)
{
	GList *at;

	for (at = jobs->open.head; at; at = at->next) {
		request_t *request = at->data;
		GError *err;

		if (request->answered)
			continue;
		if (request->deadline > now) {
			jobs->timer.at = MIN(jobs->timer.at, request->deadline);
			continue;
		}
		err = fate_unknown(request);
		request->answered = true;
		request->done(request->ctx, err);
		g_error_free(err);
	}
}

static void request_finish(request_t *request, GError *err)
{
	if (!request->answered)
		request->done(request->ctx, err);
	g_queue_remove(&request->jobs->open, request);
	g_clear_error(&err);
	g_free(request->record);
	g_free(request);
}
