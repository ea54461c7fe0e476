#include "shard_run.h"

#include <pthread.h>
#include <stdatomic.h>
#include <string.h>

#include "clock.h"
#include "counter.h"
#include "log.h"
#include "shard_json.h"
#include "shard_log.h"

#define TICK (20 * GH_USEC_PER_MSEC)
#define CALL_TIMEOUT_MS 1000
#define RETRY_WAIT (200 * GH_USEC_PER_MSEC)
#define RETRY_WAIT_MOST (1600 * GH_USEC_PER_MSEC)
#define IDLE_COMMIT_FACTOR 4 /* commits nobody waits for are rarer */
#define VERIFY_PERIOD GH_USEC_PER_SEC
#define ANSWER_WAIT (5 * GH_USEC_PER_SEC)
#define SUSPECT_POLL_FACTOR 2
#define POLL_LEAST (100 * GH_USEC_PER_MSEC)
#define JITTER_PARTS 8 /* a wait moves by up to one part of it */

/* Where a worker is, and when it is called next. */
typedef struct endpoint {
	char name[GH_NAME_MAX + 1];
	char address[GH_ADDRESS_MAX + 1];
	gh_time_t poll_at;
	gh_time_t polled; /* when it was called last */
	bool polling;
	bool listed; /* the document names it */
	bool suspect;
} endpoint_t;

typedef enum phase { PHASE_LOADING, PHASE_OWNING, PHASE_FENCED } phase_t;

struct shard_run {
	atomic_int refs;
	store_t *store;
	worker_link_t *link;
	shard_pool_t *pool;
	char *prefix;
	char owner[GH_NAME_MAX + 1];
	char domain[GH_NAME_MAX + 1];
	char wire_name[GH_NAME_MAX + 16]; /* of the shard, for workers */
	uint32_t index;
	uint64_t epoch;
	uint64_t seed;
	int64_t orphans_wait_ms;
	pthread_t loop;
	pthread_t committer;
	pthread_mutex_t lock;
	pthread_cond_t wake; /* of both threads, and of waiting answers */
	/* Below: under the lock. */
	gh_shard_t *shard;
	gh_document_t *doc;
	gh_document_t *next_doc; /* to be taken in, or NULL */
	GHashTable *endpoints;	 /* name to endpoint_t */
	phase_t phase;
	bool stopping;
	bool flushing;
	bool settled;
	unsigned calls; /* under way */
	uint64_t committed;
	gh_time_t commit_began; /* of the write under way, or 0 */
	gh_time_t lease_until;
	int64_t lease_wall_ms;
	/* The committer's own. */
	shard_log_t *log;
};

/* One call to a worker that is under way. */
typedef struct call {
	shard_run_t *run;
	char worker[GH_NAME_MAX + 1];
	char address[GH_ADDRESS_MAX + 1];
	gh_action_t action; /* unused for a poll */
} call_t;

static void *run_loop(void *arg);
static bool load(shard_run_t *run);
static bool load_once(shard_run_t *run, GError **err);
static gh_shard_t *shard_make(shard_run_t *run);
static bool on_line(void *ctx, const char *text, GError **err);
static void begin(shard_run_t *run);
static void round_once(shard_run_t *run);
static void take_document(shard_run_t *run, gh_time_t now);
static bool may_start(const shard_run_t *run, gh_time_t now);
static bool may_renew(const shard_run_t *run, gh_time_t now);
static void send_actions(shard_run_t *run);
static void send_polls(shard_run_t *run, gh_time_t now);
static void count(shard_run_t *run);
static void *run_committer(void *arg);
static bool wait_for_records(shard_run_t *run);
static bool append(shard_run_t *run, const char *records, uint64_t *commit);
static bool wait_to_retry(shard_run_t *run, gh_time_t wait);
static bool restore(shard_run_t *run, uint64_t *commit, GError **err);
static void compact(shard_run_t *run, const char *snapshot);
static void call_push(shard_run_t *run, const endpoint_t *endpoint,
		      const gh_action_t *action);
static void call_act(void *arg);
static gh_reply_t call_send(const call_t *call, char *checkpoint);
static void expect_end(shard_run_t *run, const call_t *call, gh_time_t now);
static void call_poll(void *arg);
static gh_time_t next_poll(shard_run_t *run, const endpoint_t *endpoint,
			   gh_time_t now);
static void call_end(call_t *call);
static void fence(shard_run_t *run, const char *by);
static bool await_commit(shard_run_t *run, uint64_t commit, GError **err);
static bool ready(const shard_run_t *run, GError **err);
static gh_now_t read_clocks(void);
static int64_t jitter(shard_run_t *run, int64_t period);

shard_run_t *shard_run_new(const shard_run_setup_t *setup)
{
	shard_run_t *run = g_new0(shard_run_t, 1);
	shard_log_setup_t log = { .store = setup->store,
				  .prefix = setup->prefix,
				  .writer = setup->owner,
				  .incarnation = setup->incarnation };

	atomic_init(&run->refs, 1);
	run->store = setup->store;
	run->link = setup->link;
	run->pool = setup->pool;
	run->prefix = g_strdup(setup->prefix);
	g_strlcpy(run->owner, setup->owner, sizeof(run->owner));
	g_strlcpy(run->domain, setup->domain, sizeof(run->domain));
	g_snprintf(run->wire_name, sizeof(run->wire_name), "%s/%u",
		   setup->domain, setup->index);
	run->index = setup->index;
	run->epoch = setup->epoch;
	run->seed = setup->epoch ^ setup->incarnation;
	run->orphans_wait_ms = setup->orphans_wait_ms;
	run->doc = gh_document_ref(setup->doc);
	run->endpoints =
		g_hash_table_new_full(g_str_hash, g_str_equal, NULL, g_free);
	run->log = shard_log_new(&log);
	pthread_mutex_init(&run->lock, NULL);
	clock_cond_init(&run->wake);
	pthread_create(&run->loop, NULL, run_loop, run);
	return run;
}

shard_run_t *shard_run_ref(shard_run_t *run)
{
	atomic_fetch_add(&run->refs, 1);
	return run;
}

void shard_run_unref(shard_run_t *run)
{
	if (!run || atomic_fetch_sub(&run->refs, 1) != 1)
		return;
	gh_shard_free(run->shard);
	gh_document_unref(run->doc);
	gh_document_unref(run->next_doc);
	g_hash_table_unref(run->endpoints);
	shard_log_free(run->log);
	pthread_cond_destroy(&run->wake);
	pthread_mutex_destroy(&run->lock);
	g_free(run->prefix);
	g_free(run);
}

void shard_run_stop(shard_run_t *run, bool flush)
{
	pthread_mutex_lock(&run->lock);
	run->stopping = true;
	run->flushing = flush;
	pthread_cond_broadcast(&run->wake);
	pthread_mutex_unlock(&run->lock);
	pthread_join(run->loop, NULL);
	pthread_mutex_lock(&run->lock);
	while (run->calls)
		pthread_cond_wait(&run->wake, &run->lock);
	pthread_mutex_unlock(&run->lock);
}

void shard_run_lease(shard_run_t *run, gh_time_t boot, int64_t wall_ms)
{
	pthread_mutex_lock(&run->lock);
	run->lease_until = MAX(run->lease_until, boot);
	run->lease_wall_ms = MAX(run->lease_wall_ms, wall_ms);
	pthread_mutex_unlock(&run->lock);
}

void shard_run_document(shard_run_t *run, gh_document_t *doc)
{
	pthread_mutex_lock(&run->lock);
	if (doc->generation > run->doc->generation &&
	    (!run->next_doc || doc->generation > run->next_doc->generation)) {
		gh_document_unref(run->next_doc);
		run->next_doc = gh_document_ref(doc);
	}
	pthread_mutex_unlock(&run->lock);
}

void shard_run_settle(shard_run_t *run)
{
	gh_now_t now = read_clocks();

	pthread_mutex_lock(&run->lock);
	if (run->phase == PHASE_OWNING && !run->settled) {
		gh_shard_shorten_orphan_wait(
			run->shard, now.wall_ms +
					    run->doc->policy.task_lease_ms +
					    run->doc->policy.clock_bound_ms +
					    CALL_TIMEOUT_MS);
		run->settled = true;
	}
	pthread_mutex_unlock(&run->lock);
}

void shard_run_overtaken(shard_run_t *run, const char *by)
{
	fence(run, by);
}

bool shard_run_fenced(shard_run_t *run)
{
	bool fenced;

	pthread_mutex_lock(&run->lock);
	fenced = run->phase == PHASE_FENCED;
	pthread_mutex_unlock(&run->lock);
	return fenced;
}

const char *shard_run_domain(const shard_run_t *run)
{
	return run->domain;
}

uint32_t shard_run_index(const shard_run_t *run)
{
	return run->index;
}

uint64_t shard_run_epoch(const shard_run_t *run)
{
	return run->epoch;
}

bool shard_run_submit(shard_run_t *run, const gh_job_spec_t *spec, GError **err)
{
	uint64_t commit;
	bool ok;

	pthread_mutex_lock(&run->lock);
	ok = ready(run, err) &&
	     gh_shard_submit(run->shard, spec, &commit, err) &&
	     await_commit(run, commit, err);
	pthread_mutex_unlock(&run->lock);
	return ok;
}

bool shard_run_cancel(shard_run_t *run, const char *job, GError **err)
{
	uint64_t commit;
	bool ok;

	pthread_mutex_lock(&run->lock);
	ok = ready(run, err) &&
	     gh_shard_cancel(run->shard, job, &commit, err) &&
	     await_commit(run, commit, err);
	pthread_mutex_unlock(&run->lock);
	return ok;
}

json_t *shard_run_job(shard_run_t *run, const char *job, GError **err)
{
	json_t *json = NULL;

	pthread_mutex_lock(&run->lock);
	if (run->phase != PHASE_OWNING)
		gh_error_set(err, GH_E_STARTING,
			     "the shard is being taken over");
	else
		json = shard_json_job(run->shard, job, err);
	pthread_mutex_unlock(&run->lock);
	return json;
}

json_t *shard_run_status(shard_run_t *run)
{
	json_t *json = NULL;

	pthread_mutex_lock(&run->lock);
	if (run->phase == PHASE_OWNING)
		json = shard_json_status(run->shard);
	pthread_mutex_unlock(&run->lock);
	return json;
}

void shard_run_load(shard_run_t *run, uint32_t *queued, uint32_t *cores_free)
{
	size_t i;

	*queued = 0;
	*cores_free = 0;
	pthread_mutex_lock(&run->lock);
	if (run->phase == PHASE_OWNING) {
		const gh_place_t *place = gh_shard_place(run->shard);

		*queued = gh_task_count(gh_shard_tasks(run->shard),
					GH_TASK_PENDING);
		for (i = 0; i < gh_place_count(place); i++) {
			const gh_place_worker_t *w =
				gh_place_worker(place, (gh_handle_t)i);

			if (w->size.cores_milli > w->reserved.cores_milli)
				*cores_free += w->size.cores_milli -
					       w->reserved.cores_milli;
		}
	}
	pthread_mutex_unlock(&run->lock);
}

/* Loads the shard, then makes its rounds until it is stopped or fenced. */
static void *run_loop(void *arg)
{
	shard_run_t *run = arg;

	if (!load(run))
		return NULL;
	pthread_create(&run->committer, NULL, run_committer, run);
	pthread_mutex_lock(&run->lock);
	while (!run->stopping && run->phase == PHASE_OWNING) {
		round_once(run);
		clock_wait(&run->wake, &run->lock, clock_boot() + TICK);
	}
	pthread_cond_broadcast(&run->wake);
	pthread_mutex_unlock(&run->lock);
	pthread_join(run->committer, NULL);
	return NULL;
}

/*
 * Reads the log and appends the record of the new owner, until that is done.
 * A conflict means that the log grew in between: it is read again.
 */
static bool load(shard_run_t *run)
{
	bool owning = false;
	bool stop = false;

	while (!owning && !stop) {
		GError *err = NULL;

		owning = load_once(run, &err);
		if (err)
			log_event(LOG_WARN, "shard_load_failed", "shard",
				  run->wire_name, "message", err->message,
				  NULL);
		g_clear_error(&err);
		pthread_mutex_lock(&run->lock);
		stop = run->stopping || run->phase == PHASE_FENCED;
		if (!owning && !stop)
			clock_wait(&run->wake, &run->lock,
				   clock_boot() + RETRY_WAIT);
		pthread_mutex_unlock(&run->lock);
	}
	return owning;
}

static bool load_once(shard_run_t *run, GError **err)
{
	gh_shard_t *shard = shard_make(run);
	bool ok = shard_log_load(run->log, on_line, shard, err);
	char *records;
	uint64_t commit;

	if (ok && shard_log_epoch(run->log) > run->epoch) {
		fence(run, "log");
		ok = false;
	}
	if (!ok) {
		gh_shard_free(shard);
		return false;
	}
	pthread_mutex_lock(&run->lock);
	run->shard = shard;
	begin(run);
	records = gh_shard_take_records(shard, &commit);
	pthread_mutex_unlock(&run->lock);
	ok = shard_log_append(run->log, run->epoch, records, err);
	g_free(records);
	pthread_mutex_lock(&run->lock);
	if (ok) {
		gh_shard_confirm_commit(shard, commit);
		run->committed = commit;
		run->phase = PHASE_OWNING;
	} else {
		run->shard = NULL;
	}
	pthread_mutex_unlock(&run->lock);
	if (!ok)
		gh_shard_free(shard);
	return ok;
}

static gh_shard_t *shard_make(shard_run_t *run)
{
	gh_shard_setup_t setup = { .owner = run->owner,
				   .domain = run->domain,
				   .index = run->index,
				   .seed = run->seed };
	gh_shard_t *shard = gh_shard_new(&setup);
	gh_now_t now = read_clocks();

	gh_shard_configure(shard, run->doc, &now);
	return shard;
}

static bool on_line(void *ctx, const char *text, GError **err)
{
	return gh_shard_replay(ctx, text, err);
}

/* Under the lock. */
static void begin(shard_run_t *run)
{
	gh_now_t now = read_clocks();

	gh_shard_begin(run->shard, run->epoch,
		       now.wall_ms + run->orphans_wait_ms, &now);
	take_document(run, now.boot);
	log_event(LOG_INFO, "shard_owned", "shard", run->wire_name, "epoch",
		  log_num((int64_t)run->epoch), NULL);
}

/* Under the lock. */
static void round_once(shard_run_t *run)
{
	gh_now_t now = read_clocks();
	bool hurry;

	if (run->next_doc)
		take_document(run, now.boot);
	gh_shard_tick(run->shard, may_start(run, now.boot), run->lease_wall_ms,
		      &now);
	if (gh_shard_has_records(run->shard, &hurry))
		pthread_cond_broadcast(&run->wake);
	send_actions(run);
	if (may_renew(run, now.boot))
		send_polls(run, now.boot);
	count(run);
}

/* Takes in a newer document, and the addresses of the workers. */
static void take_document(shard_run_t *run, gh_time_t now)
{
	gh_now_t clocks = read_clocks();
	gh_handle_t domain;
	GHashTableIter iter;
	gpointer value;
	size_t i;

	if (run->next_doc) {
		gh_document_unref(run->doc);
		run->doc = run->next_doc;
		run->next_doc = NULL;
		gh_shard_configure(run->shard, run->doc, &clocks);
	}
	g_hash_table_iter_init(&iter, run->endpoints);
	while (g_hash_table_iter_next(&iter, NULL, &value))
		((endpoint_t *)value)->listed = false;
	domain = gh_document_domain(run->doc, run->domain);
	for (i = 0; i < run->doc->n_workers; i++) {
		const gh_worker_t *w = &run->doc->workers[i];
		endpoint_t *e = g_hash_table_lookup(run->endpoints, w->name);

		if (w->domain != domain || w->shard != run->index)
			continue;
		if (!e) {
			e = g_new0(endpoint_t, 1);
			g_strlcpy(e->name, w->name, sizeof(e->name));
			/* The first calls are spread over one period. */
			e->poll_at =
				now + gh_time_from_ms(
					      run->doc->policy.worker_poll_ms) *
					      (gh_time_t)i /
					      (gh_time_t)run->doc->n_workers;
			g_hash_table_insert(run->endpoints, e->name, e);
		}
		e->listed = w->state != GH_HOST_GONE;
		g_strlcpy(e->address, w->address, sizeof(e->address));
	}
}

static bool may_start(const shard_run_t *run, gh_time_t now)
{
	gh_time_t window = gh_time_from_ms(run->doc->policy.start_window_ms);

	return now < run->lease_until &&
	       (!run->commit_began || now - run->commit_began < window / 2);
}

static bool may_renew(const shard_run_t *run, gh_time_t now)
{
	return now < run->lease_until +
			     gh_time_from_ms(run->doc->policy.renew_alone_ms);
}

static void send_actions(shard_run_t *run)
{
	gh_action_t action;

	while (gh_shard_next_action(run->shard, &action)) {
		const endpoint_t *e =
			g_hash_table_lookup(run->endpoints, action.worker);
		gh_now_t now = read_clocks();

		if (e) {
			call_push(run, e, &action);
			continue;
		}
		gh_shard_handle_reply(run->shard, &action, GH_REPLY_NOT_SENT,
				      NULL, &now);
		gh_action_clear(&action);
	}
}

static void send_polls(shard_run_t *run, gh_time_t now)
{
	gh_time_t period = gh_time_from_ms(run->doc->policy.worker_poll_ms);
	GHashTableIter iter;
	gpointer value;

	g_hash_table_iter_init(&iter, run->endpoints);
	while (g_hash_table_iter_next(&iter, NULL, &value)) {
		endpoint_t *e = value;
		gh_handle_t worker =
			gh_place_find(gh_shard_place(run->shard), e->name);
		bool holds = worker != GH_HANDLE_NONE &&
			     gh_place_worker(gh_shard_place(run->shard), worker)
				     ->tasks;

		if (e->polling || now < e->poll_at ||
		    now < e->polled + POLL_LEAST || (!e->listed && !holds))
			continue;
		e->polled = now;
		e->polling = true;
		e->poll_at = now + period;
		call_push(run, e, NULL);
	}
}

static void count(shard_run_t *run)
{
	gh_shard_counts_t c = gh_shard_take_counts(run->shard);

	counter_add(CTR_TASK_STARTED, c.started);
	counter_add(CTR_TASK_START_REFUSED, c.refused);
	counter_add(CTR_TASK_EVICTED, c.evicted);
	counter_add(CTR_TASK_THROTTLED, c.throttled);
	counter_add(CTR_TASK_RESUMED, c.resumed);
	counter_add(CTR_TASK_LOST, c.lost);
	counter_add(CTR_TASK_RETRIED, c.retried);
	counter_add(CTR_JOB_DONE, c.jobs_done);
	counter_add(CTR_JOB_FAILED, c.jobs_failed);
	counter_add(CTR_JOB_CANCELLED, c.jobs_cancelled);
	counter_add(CTR_WORKER_EJECTED, c.workers_ejected);
}

static void *run_committer(void *arg)
{
	shard_run_t *run = arg;

	pthread_mutex_lock(&run->lock);
	while (wait_for_records(run)) {
		uint64_t commit = run->committed;
		char *records = gh_shard_take_records(run->shard, &commit);
		char *snapshot = shard_log_is_long(run->log) ?
					 gh_shard_snapshot(run->shard) :
					 NULL;
		bool ok;

		run->commit_began = clock_boot();
		pthread_mutex_unlock(&run->lock);
		ok = append(run, records, &commit);
		/* A restore has written a newer snapshot. */
		if (ok && snapshot && shard_log_is_long(run->log))
			compact(run, snapshot);
		g_free(snapshot);
		g_free(records);
		pthread_mutex_lock(&run->lock);
		run->commit_began = 0;
		if (!ok)
			continue;
		run->committed = commit;
		gh_shard_confirm_commit(run->shard, commit);
		send_actions(run);
		pthread_cond_broadcast(&run->wake);
	}
	pthread_mutex_unlock(&run->lock);
	return NULL;
}

/* Under the lock; false when the committer is to end. */
static bool wait_for_records(shard_run_t *run)
{
	gh_time_t least = gh_time_from_ms(run->doc->policy.commit_ms);
	gh_time_t began = clock_boot();
	bool hurry;

	while (run->phase == PHASE_OWNING) {
		bool some = gh_shard_has_records(run->shard, &hurry);
		gh_time_t now = clock_boot();
		gh_time_t due =
			began + least * (hurry ? 1 : IDLE_COMMIT_FACTOR);

		if (run->stopping && (!some || !run->flushing))
			return false;
		if (some && (now >= due || run->stopping))
			return true;
		if (now - began >= VERIFY_PERIOD)
			return true;
		clock_wait(&run->wake, &run->lock, some ? due : now + least);
	}
	return false;
}

/*
 * Appends until it is done, or until another owner is met; without records,
 * checks the log.  A conflict without another owner means that the store came
 * back from an older copy.
 */
static bool append(shard_run_t *run, const char *records, uint64_t *commit)
{
	bool went_back = false;
	gh_time_t wait = RETRY_WAIT;

	for (;;) {
		GError *err = NULL;
		bool ok = went_back ? restore(run, commit, &err) :
			  records   ? shard_log_append(run->log, run->epoch,
						       records, &err) :
				      shard_log_verify(run->log, &err);

		if (ok) {
			counter_add(CTR_SHARD_COMMITS, records != NULL);
			return true;
		}
		if (wait == RETRY_WAIT)
			log_event(LOG_WARN, "commit_failed", "shard",
				  run->wire_name, "message", err->message,
				  NULL);
		if (gh_error_kind(err) == GH_E_CONFLICT && went_back)
			fence(run, "store");
		went_back |= gh_error_kind(err) == GH_E_CONFLICT;
		g_error_free(err);
		counter_inc(CTR_SHARD_RETRIES);
		if (!wait_to_retry(run, wait))
			return false;
		wait = MIN(wait * 2, RETRY_WAIT_MOST);
	}
}

/* Waits, less a random part; false when there is nothing to retry for. */
static bool wait_to_retry(shard_run_t *run, gh_time_t wait)
{
	gh_time_t until;
	bool go_on;

	pthread_mutex_lock(&run->lock);
	until = clock_boot() + jitter(run, wait);
	while (!run->stopping && run->phase == PHASE_OWNING &&
	       clock_boot() < until)
		clock_wait(&run->wake, &run->lock, until);
	go_on = !run->stopping && run->phase == PHASE_OWNING;
	pthread_mutex_unlock(&run->lock);
	return go_on;
}

/* The snapshot stands for the records that wait, too. */
static bool restore(shard_run_t *run, uint64_t *commit, GError **err)
{
	char *snapshot;
	bool ok;

	pthread_mutex_lock(&run->lock);
	g_free(gh_shard_take_records(run->shard, commit));
	snapshot = gh_shard_snapshot(run->shard);
	pthread_mutex_unlock(&run->lock);
	ok = shard_log_restore(run->log, run->epoch, snapshot, err);
	g_free(snapshot);
	if (ok)
		counter_inc(CTR_SHARD_RESTORES);
	return ok;
}

/* A snapshot that fails is made again after a later commit. */
static void compact(shard_run_t *run, const char *snapshot)
{
	GError *err = NULL;

	if (shard_log_compact(run->log, run->epoch, snapshot, &err))
		return;
	log_event(LOG_WARN, "snapshot_failed", "shard", run->wire_name,
		  "message", err->message, NULL);
	g_error_free(err);
}

/* Under the lock.  Takes the action over; NULL polls. */
static void call_push(shard_run_t *run, const endpoint_t *endpoint,
		      const gh_action_t *action)
{
	call_t *call = g_new0(call_t, 1);

	call->run = run;
	if (action)
		call->action = *action;
	g_strlcpy(call->worker, endpoint->name, sizeof(call->worker));
	g_strlcpy(call->address, endpoint->address, sizeof(call->address));
	run->calls++;
	shard_pool_push(run->pool, endpoint->suspect,
			action ? call_act : call_poll, call);
}

static void call_act(void *arg)
{
	call_t *call = arg;
	shard_run_t *run = call->run;
	char checkpoint[GH_CHECKPOINT_MAX + 1] = "";
	gh_reply_t answer = call_send(call, checkpoint);
	gh_now_t now = read_clocks();

	if (answer == GH_REPLY_FENCED)
		fence(run, call->worker);
	pthread_mutex_lock(&run->lock);
	if (run->phase == PHASE_OWNING)
		gh_shard_handle_reply(run->shard, &call->action, answer,
				      checkpoint, &now);
	if (call->action.kind == GH_ACTION_START && answer == GH_REPLY_OK)
		expect_end(run, call, now.boot);
	gh_action_clear(&call->action);
	call_end(call);
}

/* Under the lock.  Short work is asked after when it should have ended. */
static void expect_end(shard_run_t *run, const call_t *call, gh_time_t now)
{
	endpoint_t *e = g_hash_table_lookup(run->endpoints, call->worker);
	int64_t run_ms = call->action.spec->run_ms;

	if (run_ms)
		e->poll_at = MIN(e->poll_at, now + gh_time_from_ms(run_ms));
}

/*
 * A start is sent only while its intent and the own lease allow it, by the
 * clocks right before the call.
 */
static gh_reply_t call_send(const call_t *call, char *checkpoint)
{
	shard_run_t *run = call->run;
	const gh_action_t *action = &call->action;
	gh_now_t now;
	worker_call_t target = { .address = call->address,
				 .shard = run->wire_name,
				 .epoch = run->epoch };
	bool allowed;

	pthread_mutex_lock(&run->lock);
	now = read_clocks();
	target.lease_ms = now.wall_ms + run->doc->policy.task_lease_ms;
	target.deadline = now.boot + gh_time_from_ms(CALL_TIMEOUT_MS);
	allowed = run->phase == PHASE_OWNING;
	if (action->kind == GH_ACTION_START) {
		allowed = allowed && !run->stopping &&
			  now.wall_ms <= action->not_after_ms &&
			  now.boot < run->lease_until;
		if (allowed)
			gh_shard_extend_lease(run->shard, call->worker,
					      target.lease_ms);
	}
	pthread_mutex_unlock(&run->lock);
	if (!allowed)
		return GH_REPLY_NOT_SENT;
	return run->link->ops->act(run->link, &target, action, checkpoint);
}

static void call_poll(void *arg)
{
	call_t *call = arg;
	shard_run_t *run = call->run;
	worker_call_t target = { .address = call->address,
				 .shard = run->wire_name,
				 .epoch = run->epoch };
	gh_report_t report = { .tasks = NULL };
	gh_reply_t answer = GH_REPLY_NOT_SENT;
	endpoint_t *endpoint;
	gh_now_t now;
	bool renew;
	bool allowed;

	pthread_mutex_lock(&run->lock);
	now = read_clocks();
	target.lease_ms = now.wall_ms + run->doc->policy.task_lease_ms;
	target.deadline = now.boot + gh_time_from_ms(CALL_TIMEOUT_MS);
	allowed = run->phase == PHASE_OWNING && !run->stopping &&
		  may_renew(run, now.boot);
	renew = allowed && gh_shard_should_renew(run->shard, call->worker);
	if (renew)
		gh_shard_extend_lease(run->shard, call->worker,
				      target.lease_ms);
	pthread_mutex_unlock(&run->lock);
	if (allowed)
		answer = run->link->ops->poll(run->link, &target, renew,
					      &report);
	if (answer == GH_REPLY_FENCED)
		fence(run, call->worker);
	now = read_clocks();
	pthread_mutex_lock(&run->lock);
	endpoint = g_hash_table_lookup(run->endpoints, call->worker);
	endpoint->polling = false;
	if (allowed && run->phase == PHASE_OWNING) {
		endpoint->suspect = answer != GH_REPLY_OK;
		if (answer == GH_REPLY_OK)
			gh_shard_handle_report(run->shard, call->worker,
					       &report, &now);
		else
			gh_shard_handle_poll_failure(run->shard, call->worker,
						     &now);
		endpoint->poll_at = next_poll(run, endpoint, now.boot);
	}
	g_free(report.tasks);
	call_end(call);
}

/* Under the lock.  Nearer by a random part, so that calls stay spread. */
static gh_time_t next_poll(shard_run_t *run, const endpoint_t *endpoint,
			   gh_time_t now)
{
	gh_time_t wait =
		gh_shard_next_poll_time(run->shard, endpoint->name, now) - now;

	if (endpoint->suspect)
		wait *= SUSPECT_POLL_FACTOR;
	return now + MAX(jitter(run, wait), POLL_LEAST);
}

/* Under the lock, which it releases. */
static void call_end(call_t *call)
{
	shard_run_t *run = call->run;

	run->calls--;
	pthread_cond_broadcast(&run->wake);
	pthread_mutex_unlock(&run->lock);
	g_free(call);
}

static void fence(shard_run_t *run, const char *by)
{
	pthread_mutex_lock(&run->lock);
	if (run->phase != PHASE_FENCED) {
		run->phase = PHASE_FENCED;
		log_event(LOG_WARN, "shard_fenced", "shard", run->wire_name,
			  "epoch", log_num((int64_t)run->epoch), "by", by,
			  NULL);
	}
	pthread_cond_broadcast(&run->wake);
	pthread_mutex_unlock(&run->lock);
}

/* Under the lock. */
static bool await_commit(shard_run_t *run, uint64_t commit, GError **err)
{
	gh_time_t until = clock_boot() + ANSWER_WAIT;

	pthread_cond_broadcast(&run->wake);
	while (run->committed < commit && run->phase == PHASE_OWNING &&
	       !run->stopping && clock_boot() < until)
		clock_wait(&run->wake, &run->lock, until);
	if (run->committed >= commit)
		return true;
	gh_error_set(err, GH_E_STORE_UNKNOWN,
		     "no reply from the store to the record of the job");
	return false;
}

/* Under the lock.  Nothing is taken in that can't be recorded. */
static bool ready(const shard_run_t *run, GError **err)
{
	gh_time_t now = clock_boot();

	if (run->phase != PHASE_OWNING || run->stopping) {
		gh_error_set(err, GH_E_STARTING,
			     "the shard is being handed over");
		return false;
	}
	if (now < run->lease_until && store_reachable(run->store) &&
	    (!run->commit_began || now - run->commit_began < RETRY_WAIT))
		return true;
	gh_error_set(err, GH_E_STORE_DOWN, "the store does not take records");
	return false;
}

static gh_now_t read_clocks(void)
{
	return (gh_now_t){ .boot = clock_boot(),
			   .wall_ms = gh_time_to_ms(clock_real()) };
}

/* Under the lock.  A period, moved by up to one part of it. */
static int64_t jitter(shard_run_t *run, int64_t period)
{
	uint64_t span = (uint64_t)period / JITTER_PARTS + 1;

	run->seed = run->seed * 6364136223846793005ULL + 1442695040888963407ULL;
	return period - (int64_t)((run->seed >> 33) % span);
}
