/*
 * Submissions, cancels and reads of jobs that callers wait for.  A request is
 * retried until its outcome is known, its deadline has passed or the store has
 * refused it too often.
 */
#include "fleet_jobs_private.h"

#include <string.h>

#include "clock.h"
#include "counter.h"
#include "error.h"
#include "fleet_tries.h"
#include "log.h"

#define RETRY_DELAY_USEC (40 * GH_USEC_PER_MSEC)
/*
 * A caller's request fails after this many tries that had no effect in the
 * store.
 */
#define REFUSALS_MAX 3
/* The store may carry out a write without a reply for this long. */
#define LATE_WRITE_MAX_USEC (15 * GH_USEC_PER_SEC)
#define OPEN_WRITES_CHECK_USEC GH_USEC_PER_SEC

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

/* Writes of a job's submissions that the store may still carry out. */
typedef struct open_write {
	unsigned in_flight;   /* sent, without an outcome yet */
	gh_time_t open_until; /* those that had no reply */
} open_write_t;

static request_t *request_new(fleet_jobs_t *jobs, request_kind_t kind,
			      const char *id, gh_time_t deadline,
			      fleet_jobs_done_t done, void *ctx);
static void on_loads_read(void *ctx, const fleet_reply_t *reply);
static void request_try(request_t *request);
static void request_write(request_t *request);
static void commit_state(request_t *request);
static void request_retry(request_t *request);
static void request_finish(request_t *request, GError *err);
static void log_retried(const request_t *request, const GError *err);
static void on_written(void *ctx, const fleet_reply_t *reply);
static bool take_conflict(request_t *request, const fleet_reply_t *reply);
static void on_state_read(void *ctx, const fleet_reply_t *reply);
static void request_resolve(request_t *request);
static void begin_absent_state(request_t *request);
static void request_fail(request_t *request);
static bool may_be_written(const request_t *request);
static GError *failure_error(const request_t *request);
static void reply_overdue(fleet_jobs_t *jobs, gh_time_t now);
static void note_write(const request_t *request);
static void note_write_end(const request_t *request, bool open);
static gboolean is_over(gpointer id, gpointer value, gpointer now);
static void on_timer(void *ctx, gh_time_t now);

void fleet_jobs_init_requests(fleet_jobs_t *jobs)
{
	g_queue_init(&jobs->retry_queue);
	g_queue_init(&jobs->requests);
	jobs->open_writes =
		g_hash_table_new_full(g_str_hash, g_str_equal, g_free, g_free);
	jobs->timer = (loop_timer_t){ .at = GH_TIME_NEVER,
				      .run = on_timer,
				      .ctx = jobs };
	loop_timer_add(jobs->loop, &jobs->timer);
}

void fleet_jobs_free_requests(fleet_jobs_t *jobs)
{
	request_t *request;

	loop_timer_remove(jobs->loop, &jobs->timer);
	while ((request = g_queue_pop_head(&jobs->requests))) {
		g_free(request->record);
		g_free(request);
	}
	g_queue_clear(&jobs->retry_queue);
	g_hash_table_destroy(jobs->open_writes);
}

bool fleet_jobs_is_open(fleet_jobs_t *jobs, const char *id)
{
	const open_write_t *write;
	bool open;

	pthread_mutex_lock(&jobs->lock);
	write = g_hash_table_lookup(jobs->open_writes, id);
	open = write && (write->in_flight || clock_boot() < write->open_until);
	pthread_mutex_unlock(&jobs->lock);
	return open;
}

/* A write of a submission is sent. */
static void note_write(const request_t *request)
{
	fleet_jobs_t *jobs = request->jobs;
	gh_time_t now = clock_boot();
	open_write_t *write;

	if (request->kind != REQUEST_SUBMIT)
		return;
	pthread_mutex_lock(&jobs->lock);
	if (now >= jobs->open_writes_checked_at + OPEN_WRITES_CHECK_USEC) {
		jobs->open_writes_checked_at = now;
		g_hash_table_foreach_remove(jobs->open_writes, is_over, &now);
	}
	write = g_hash_table_lookup(jobs->open_writes, request->id);
	if (!write) {
		write = g_new0(open_write_t, 1);
		g_hash_table_insert(jobs->open_writes, g_strdup(request->id),
				    write);
	}
	write->in_flight++;
	pthread_mutex_unlock(&jobs->lock);
}

/* A write of a submission has ended, with or without an outcome. */
static void note_write_end(const request_t *request, bool open)
{
	fleet_jobs_t *jobs = request->jobs;
	open_write_t *write;

	if (request->kind != REQUEST_SUBMIT)
		return;
	pthread_mutex_lock(&jobs->lock);
	write = g_hash_table_lookup(jobs->open_writes, request->id);
	write->in_flight--;
	if (open)
		write->open_until = clock_boot() + LATE_WRITE_MAX_USEC;
	pthread_mutex_unlock(&jobs->lock);
}

static gboolean is_over(gpointer id, gpointer value, gpointer now)
{
	const open_write_t *write = value;

	(void)id;
	return !write->in_flight && write->open_until <= *(gh_time_t *)now;
}

void fleet_jobs_submit(fleet_jobs_t *jobs, const gh_pipeline_t *pipeline,
		       uint32_t priority, gh_time_t deadline,
		       fleet_jobs_done_t done, void *ctx)
{
	request_t *request = request_new(jobs, REQUEST_SUBMIT, pipeline->id,
					 deadline, done, ctx);

	g_strlcpy(request->queue, pipeline->queue, sizeof(request->queue));
	if (fleet_jobs_is_accepted(jobs, request->id, request->queue)) {
		request_finish(request, NULL);
		return;
	}
	request->record = gh_pipeline_format(pipeline);
	request->state = (fleet_job_state_t){
		.phase = GH_JOB_QUEUED,
		.accepted_ms = pipeline->accepted_ms,
		.changed_ms = pipeline->accepted_ms,
		.bytes = gh_pipeline_bytes(pipeline),
	};
	g_strlcpy(request->state.queue, pipeline->queue,
		  sizeof(request->state.queue));
	/* Long-running tasks stay where they are, so the latest loads count. */
	if (jobs->shards > 1 && !jobs->closed &&
	    gh_pipeline_is_long_running(pipeline)) {
		jobs->store->ops->range(jobs->store, FLEET_KEYSPACE_OWN,
					FLEET_LOADS_PREFIX, "", on_loads_read,
					request);
		return;
	}
	request->state.shard =
		fleet_jobs_choose_shard(jobs, pipeline, priority);
	request_try(request);
}

/* Without a reply, the loads that are known decide. */
static void on_loads_read(void *ctx, const fleet_reply_t *reply)
{
	request_t *request = ctx;
	fleet_jobs_t *jobs = request->jobs;
	gh_pipeline_t *pipeline;

	if (request->replied) {
		request_finish(request, NULL);
		return;
	}
	fleet_jobs_note_loads(jobs, reply);
	pipeline = gh_pipeline_parse(request->record, NULL);
	if (pipeline)
		request->state.shard =
			fleet_jobs_choose_shard(jobs, pipeline, 0);
	gh_pipeline_free(pipeline);
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
		if (!may_be_written(request))
			gh_error_set(&err, GH_E_DRAINING,
				     "this host is shutting down");
		request_finish(request, err ? err : failure_error(request));
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
	note_write(request);
	jobs->store->ops->commit(jobs->store, entries, n, on_written, request);
	g_free(text);
	g_free(cancel_key);
	g_free(record_key);
	g_free(state_key);
}

static void on_written(void *ctx, const fleet_reply_t *reply)
{
	request_t *request = ctx;

	request->write_pending = false;
	note_write_end(request, reply->result == FLEET_OUTCOME_UNKNOWN);
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
		if (!take_conflict(request, reply))
			break;
		request_resolve(request);
		return;
	case FLEET_OUTCOME_UNKNOWN:
		break;
	case FLEET_REJECTED:
		request->refusals = REFUSALS_MAX;
		request_retry(request);
		return;
	default:
		request->refusals++;
		request_retry(request);
		return;
	}
	request->write_uncertain = true;
	request->state_known = false;
	request_retry(request);
}

/*
 * Takes over the state that a write found in place of the one it expected.
 * Returns false if that can't be read or is what was expected.
 */
static bool take_conflict(request_t *request, const fleet_reply_t *reply)
{
	bool expected_absent =
		request->kind == REQUEST_SUBMIT || !request->state_known;
	char *key = fleet_jobs_state_key(request->id);
	const fleet_item_t *item = NULL;
	size_t i;

	for (i = 0; i < reply->n_items; i++)
		if (!strcmp(reply->items[i].key, key))
			item = &reply->items[i];
	g_free(key);
	request->state_known = false;
	if (!item || (!item->value && expected_absent))
		return false;
	if (!item->value)
		return true;
	if (!fleet_jobs_parse_state(request->jobs, request->id, item->value,
				    &request->state))
		return false;
	request->state_known = true;
	request->state.revision = item->revision;
	fleet_jobs_update(request->jobs, request->id, &request->state);
	return true;
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
		   fleet_jobs_parse_state(request->jobs, request->id,
					  reply->items[0].value,
					  &request->state)) {
		request->state_known = true;
		request->state.revision = reply->items[0].revision;
		fleet_jobs_update(request->jobs, request->id, &request->state);
		request_resolve(request);
	} else {
		if (reply->result == FLEET_REFUSED)
			request->refusals++;
		else if (reply->result == FLEET_REJECTED)
			request->refusals = REFUSALS_MAX;
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
		.shard = fleet_jobs_hashed_shard(request->jobs, request->id),
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

/* Whether a write of this submission, or of an earlier one, is open. */
static bool may_be_written(const request_t *request)
{
	return request->kind == REQUEST_SUBMIT &&
	       (request->write_uncertain || request->write_pending ||
		fleet_jobs_is_open(request->jobs, request->id));
}

/*
 * Error of a failed request; the error's kind tells whether the request may
 * have taken effect.
 */
static GError *failure_error(const request_t *request)
{
	GError *err = NULL;

	if (request->kind != REQUEST_SUBMIT || may_be_written(request))
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
