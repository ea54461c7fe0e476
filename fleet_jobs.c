/*
 * The job directory of a host, and the submissions, cancels and reads of
 * jobs that callers wait for.  A request is retried until its outcome is
 * known, its deadline has passed or the store has refused it too often.
 */
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

#define DIRECTORY_PREFIX "d/"
#define STATE_PREFIX "state/"
#define OWNER_PREFIX "own/"
#define RETRY_DELAY_USEC (40 * GH_USEC_PER_MSEC)
/*
 * A caller's request fails after this many tries that had no effect in the
 * store.
 */
#define REFUSALS_MAX 3

struct fleet_jobs {
	loop_t *loop;
	fleet_store_t *store;
	fleet_watch_t *watch;
	fleet_jobs_listener_t listener;
	uint32_t shards;
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
	bool write_pending; /* a write was sent and awaits its reply */
	bool replied;	    /* done() was called; don't call it again */
	fleet_jobs_done_t done;
	void *ctx;
} request_t;

static void on_item(void *ctx, const fleet_item_t *item);
static void on_synced(void *ctx);
static char *owner_key(uint32_t shard);
static bool read_state(const char *id, const char *text, uint64_t revision,
		       fleet_job_state_t *state);
static bool parse_state(const char *text, fleet_job_state_t *state);
static void set_state(fleet_jobs_t *jobs, const char *id,
		      const fleet_job_state_t *state);
static request_t *request_new(fleet_jobs_t *jobs, request_kind_t kind,
			      const char *id, gh_time_t deadline,
			      fleet_jobs_done_t done, void *ctx);
static void request_try(request_t *request);
static void request_write(request_t *request);
static void request_retry(request_t *request);
static void request_finish(request_t *request, GError *err);
static void on_written(void *ctx, const fleet_reply_t *reply);
static void on_state_read(void *ctx, const fleet_reply_t *reply);
static void request_resolve(request_t *request);
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
	return jobs;
}

void fleet_jobs_free(fleet_jobs_t *jobs)
{
	request_t *request;

	if (!jobs)
		return;
	fleet_watch_free(jobs->watch);
	loop_timer_remove(jobs->loop, &jobs->timer);
	while ((request = g_queue_pop_head(&jobs->requests))) {
		g_free(request->record);
		g_free(request);
	}
	g_queue_clear(&jobs->retry_queue);
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
	return fleet_watch_synced(jobs->watch) ?
		       fleet_watch_last_reply_at(jobs->watch) :
		       0;
}

/* The directory of all jobs. */

static void on_item(void *ctx, const fleet_item_t *item)
{
	fleet_jobs_t *jobs = ctx;
	const char *key = item->key + strlen(DIRECTORY_PREFIX);

	if (g_str_has_prefix(key, OWNER_PREFIX)) {
		jobs->listener.owner_changed(
			jobs->listener.ctx,
			(uint32_t)g_ascii_strtoull(key + strlen(OWNER_PREFIX),
						   NULL, 10),
			item->value);
	} else if (g_str_has_prefix(key, STATE_PREFIX)) {
		const char *id = key + strlen(STATE_PREFIX);
		fleet_job_state_t state;

		if (item->value) {
			if (read_state(id, item->value, item->revision, &state))
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
	uint32_t i;

	for (i = 0; i < jobs->shards; i++) {
		char *key = owner_key(i);

		if (!fleet_watch_has(jobs->watch, key))
			jobs->listener.owner_changed(jobs->listener.ctx, i,
						     NULL);
		g_free(key);
	}
	jobs->listener.synced(jobs->listener.ctx);
}

static char *owner_key(uint32_t shard)
{
	return g_strdup_printf(DIRECTORY_PREFIX OWNER_PREFIX "%u", shard);
}

void fleet_jobs_note_owner(fleet_jobs_t *jobs, uint32_t shard,
			   uint64_t revision)
{
	char *key = owner_key(shard);

	fleet_watch_note(jobs->watch, key, revision, true);
	g_free(key);
}

void fleet_jobs_update_text(fleet_jobs_t *jobs, const char *id,
			    const char *text, uint64_t revision)
{
	fleet_job_state_t state;

	if (read_state(id, text, revision, &state))
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

static bool read_state(const char *id, const char *text, uint64_t revision,
		       fleet_job_state_t *state)
{
	*state = (fleet_job_state_t){ .revision = revision };
	if (parse_state(text, state))
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
	return g_strconcat(DIRECTORY_PREFIX STATE_PREFIX, id, NULL);
}

char *fleet_jobs_record_key(uint32_t shard, const char *id)
{
	return g_strdup_printf("w/%u/%s", shard, id);
}

char *fleet_job_state_format(const fleet_job_state_t *state)
{
	return g_strdup_printf("%s %s %" PRId64 " %" PRId64,
			       gh_job_phase_name(state->phase), state->queue,
			       state->accepted_ms, state->changed_ms);
}

static bool parse_state(const char *text, fleet_job_state_t *state)
{
	char phase[16];

	if (sscanf(text, "%15s %95s %" SCNd64 " %" SCNd64, phase, state->queue,
		   &state->accepted_ms, &state->changed_ms) != 4)
		return false;
	state->phase = gh_job_phase_by_name(phase);
	return state->phase < GH_JOB_PHASES;
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
	request_try(request);
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

static void request_write(request_t *request)
{
	fleet_jobs_t *jobs = request->jobs;
	char *state_key = fleet_jobs_state_key(request->id);
	char *record_key = fleet_jobs_record_key(
		fleet_jobs_shard(jobs, request->id), request->id);
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
	request->write_pending = true;
	jobs->store->ops->commit(jobs->store, entries, n, on_written, request);
	g_free(text);
	g_free(record_key);
	g_free(state_key);
}

static void on_written(void *ctx, const fleet_reply_t *reply)
{
	request_t *request = ctx;
	size_t i;

	request->write_pending = false;
	switch (reply->result) {
	case FLEET_OK:
		if (request->kind == REQUEST_CANCEL) {
			request->state.phase = GH_JOB_CANCELLED;
			request->state.changed_ms = gh_time_to_ms(clock_real());
		}
		request->state.revision = reply->revision;
		fleet_jobs_update(request->jobs, request->id, &request->state);
		request_finish(request, NULL);
		return;
	case FLEET_CONFLICT:
		request->state_known = false;
		for (i = 0; i < reply->n_items; i++)
			if (reply->items[i].value) {
				request->state_known = parse_state(
					reply->items[i].value, &request->state);
				request->state.revision =
					reply->items[i].revision;
			}
		if (request->state_known)
			fleet_jobs_update(request->jobs, request->id,
					  &request->state);
		request_resolve(request);
		return;
	case FLEET_OUTCOME_UNKNOWN:
		request->write_uncertain = true;
		request->state_known = false;
		request_retry(request);
		return;
	default:
		request->refusals++;
		request_retry(request);
		return;
	}
}

static void on_state_read(void *ctx, const fleet_reply_t *reply)
{
	request_t *request = ctx;

	if (reply->result == FLEET_NOT_FOUND) {
		request->state_known = false;
		request_resolve(request);
	} else if (reply->result == FLEET_OK && reply->n_items &&
		   reply->items[0].value &&
		   parse_state(reply->items[0].value, &request->state)) {
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
		if (strcmp(request->state.queue, request->queue) != 0)
			gh_error_set(&err, GH_E_JOB_EXISTS,
				     "job %s exists in another queue",
				     request->id);
		break;
	case REQUEST_CANCEL:
		if (request->state_known &&
		    !strcmp(request->state.queue, request->queue) &&
		    request->state.phase <= GH_JOB_RUNNING) {
			request_write(request);
			return;
		}
		if (!request->state_known ||
		    strcmp(request->state.queue, request->queue) != 0)
			gh_error_set(&err, GH_E_JOB_UNKNOWN,
				     "job %s does not exist", request->id);
		break;
	case REQUEST_REFRESH:
		if (!request->state_known)
			gh_error_set(&err, GH_E_JOB_UNKNOWN,
				     "job %s does not exist", request->id);
		break;
	}
	request_finish(request, err);
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
			     "%u attempts",
			     request->id, request->tries);
	else
		gh_error_set(&err, GH_E_STORE_DOWN,
			     "the store refused to write job %s in %u attempts",
			     request->id, request->tries);
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
	if (!request->replied)
		request->done(request->ctx, err);
	g_queue_remove(&request->jobs->requests, request);
	g_clear_error(&err);
	g_free(request->record);
	g_free(request);
}
