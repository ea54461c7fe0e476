#include "shard_run.h"

#include <pthread.h>
#include <stdatomic.h>
#include <string.h>

#include "clock.h"
#include "counter.h"
#include "log.h"
#include "shard_json.h"
#include "shard_log.h"

#define TICK_USEC (20 * GH_USEC_PER_MSEC)
#define CALL_TIMEOUT_MS 1000
#define RETRY_WAIT_USEC (200 * GH_USEC_PER_MSEC)
#define RETRY_WAIT_MAX_USEC (1600 * GH_USEC_PER_MSEC)
/*
 * The interval between commits is multiplied by this while no caller waits and
 * no task is urgent.
 */
#define IDLE_COMMIT_FACTOR 4
#define VERIFY_INTERVAL_USEC GH_USEC_PER_SEC
#define COMMIT_TIMEOUT_USEC (5 * GH_USEC_PER_SEC)
#define SUSPECT_POLL_FACTOR 2
#define POLL_INTERVAL_MIN_USEC (100 * GH_USEC_PER_MSEC)
/*
 * Waits before a retry and between polls are shortened by up to 1/8 at random.
 */
#define JITTER_DIVISOR 8

/* Address and poll state of a worker. */
typedef struct endpoint {
	char name[GH_NAME_MAX + 1];
	char address[GH_ADDRESS_MAX + 1];
	gh_time_t next_poll_at; /* due time of the next poll, boot clock */
	gh_time_t last_poll_at; /* time of the last poll, boot clock */
	bool poll_in_flight;
	/* The current document lists the worker and does not mark it gone. */
	bool listed;
	bool suspect; /* the last poll of the worker failed */
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
	/* The shard's name "domain/index", as sent to workers. */
	char wire_name[GH_NAME_MAX + 16];
	uint32_t index;
	uint64_t epoch;
	/*
	 * Seed of the shard's scheduling decisions, then state of the jitter's
	 * random numbers.
	 */
	uint64_t seed;
	int64_t orphan_wait_ms;
	pthread_t decision_thread;
	pthread_t commit_thread;
	pthread_mutex_t lock;
	/* Wakes the decision thread, the commit thread and waiting callers. */
	pthread_cond_t wake;
	/* The lock protects the members from here to lease_wall_ms. */
	gh_shard_t *shard;
	gh_document_t *doc;
	gh_document_t *next_doc; /* newer document to apply, or NULL */
	GHashTable *endpoints;	 /* worker name to endpoint_t */
	phase_t phase;
	bool stopping;
	bool flush_on_stop; /* commit pending records before stopping */
	/* The shard's previous owner renews no task leases any more. */
	bool previous_stopped;
	unsigned calls_in_flight;
	uint64_t committed; /* number of the last confirmed commit */
	/* Start of the commit in progress, boot clock; 0: none. */
	gh_time_t commit_started;
	/* End of this host's lease on the shard, boot clock. */
	gh_time_t lease_until;
	/* End of this host's lease on the shard, wall clock. */
	int64_t lease_wall_ms;
	/* The log is used without the lock, by one thread at a time. */
	shard_log_t *log;
};

/* One call to a worker, queued or in flight. */
typedef struct call {
	shard_run_t *run;
	char worker[GH_NAME_MAX + 1];
	char address[GH_ADDRESS_MAX + 1];
	/* Action that the call carries out; all zero: the call is a poll. */
	gh_action_t action;
} call_t;

static void *run_decisions(void *arg);
static bool load_shard(shard_run_t *run);
static bool load_shard_once(shard_run_t *run, GError **err);
static gh_shard_t *create_shard(shard_run_t *run);
static void log_shard_event(void *ctx, const gh_shard_event_t *event);
static bool replay_line(void *ctx, const char *text, GError **err);
static void begin_ownership(shard_run_t *run);
static void process_tick(shard_run_t *run);
static void apply_document(shard_run_t *run, gh_time_t now);
static bool may_start_tasks(const shard_run_t *run, gh_time_t now);
static bool may_renew_leases(const shard_run_t *run, gh_time_t now);
static void queue_actions(shard_run_t *run);
static void queue_polls(shard_run_t *run, gh_time_t now);
static void update_counters(shard_run_t *run);
static void *run_commits(void *arg);
static bool wait_for_records(shard_run_t *run);
static bool commit_records(shard_run_t *run, const char *records,
			   uint64_t *commit);
static bool wait_to_retry(shard_run_t *run, gh_time_t wait);
static bool restore_log(shard_run_t *run, uint64_t *commit, GError **err);
static void compact_log(shard_run_t *run, const char *snapshot);
static void queue_call(shard_run_t *run, const endpoint_t *endpoint,
		       const gh_action_t *action);
static void run_action_call(void *arg);
static gh_reply_t send_action(const call_t *call, char *checkpoint);
static void schedule_end_poll(shard_run_t *run, const call_t *call,
			      gh_time_t now);
static void run_poll_call(void *arg);
static gh_time_t next_poll_time(shard_run_t *run, const endpoint_t *endpoint,
				gh_time_t now);
static void finish_call(call_t *call);
static void fence(shard_run_t *run, const char *by);
static bool wait_for_commit(shard_run_t *run, uint64_t commit, GError **err);
static bool check_ready(const shard_run_t *run, GError **err);
static gh_now_t read_clocks(void);
static int64_t subtract_jitter(shard_run_t *run, int64_t period);

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
	run->orphan_wait_ms = setup->orphan_wait_ms;
	run->doc = gh_document_ref(setup->doc);
	run->endpoints =
		g_hash_table_new_full(g_str_hash, g_str_equal, NULL, g_free);
	run->log = shard_log_new(&log);
	pthread_mutex_init(&run->lock, NULL);
	clock_cond_init(&run->wake);
	pthread_create(&run->decision_thread, NULL, run_decisions, run);
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
	run->flush_on_stop = flush;
	pthread_cond_broadcast(&run->wake);
	pthread_mutex_unlock(&run->lock);
	pthread_join(run->decision_thread, NULL);
	pthread_mutex_lock(&run->lock);
	while (run->calls_in_flight)
		pthread_cond_wait(&run->wake, &run->lock);
	pthread_mutex_unlock(&run->lock);
}

void shard_run_extend_lease(shard_run_t *run, gh_time_t boot, int64_t wall_ms)
{
	pthread_mutex_lock(&run->lock);
	run->lease_until = MAX(run->lease_until, boot);
	run->lease_wall_ms = MAX(run->lease_wall_ms, wall_ms);
	pthread_mutex_unlock(&run->lock);
}

void shard_run_set_document(shard_run_t *run, gh_document_t *doc)
{
	pthread_mutex_lock(&run->lock);
	if (doc->generation > run->doc->generation &&
	    (!run->next_doc || doc->generation > run->next_doc->generation)) {
		gh_document_unref(run->next_doc);
		run->next_doc = gh_document_ref(doc);
	}
	pthread_mutex_unlock(&run->lock);
}

void shard_run_confirm_previous_stopped(shard_run_t *run)
{
	gh_now_t now = read_clocks();

	pthread_mutex_lock(&run->lock);
	if (run->phase == PHASE_OWNING && !run->previous_stopped) {
		gh_shard_shorten_orphan_wait(
			run->shard, now.wall_ms +
					    run->doc->policy.task_lease_ms +
					    run->doc->policy.clock_bound_ms +
					    CALL_TIMEOUT_MS);
		run->previous_stopped = true;
	}
	pthread_mutex_unlock(&run->lock);
}

void shard_run_fence(shard_run_t *run, const char *by)
{
	fence(run, by);
}

bool shard_run_is_fenced(shard_run_t *run)
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
	ok = check_ready(run, err) &&
	     gh_shard_submit(run->shard, spec, &commit, err) &&
	     wait_for_commit(run, commit, err);
	pthread_mutex_unlock(&run->lock);
	return ok;
}

bool shard_run_cancel(shard_run_t *run, const char *job, GError **err)
{
	uint64_t commit;
	bool ok;

	pthread_mutex_lock(&run->lock);
	ok = check_ready(run, err) &&
	     gh_shard_cancel(run->shard, job, &commit, err) &&
	     wait_for_commit(run, commit, err);
	pthread_mutex_unlock(&run->lock);
	return ok;
}

json_t *shard_run_job_status(shard_run_t *run, const char *job, GError **err)
{
	json_t *json = NULL;

	pthread_mutex_lock(&run->lock);
	if (run->phase != PHASE_OWNING)
		gh_error_set(err, GH_E_STARTING,
			     "the shard is being taken over or given up");
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

void shard_run_get_load(shard_run_t *run, uint32_t *pending,
			uint32_t *free_cores_milli)
{
	size_t i;

	*pending = 0;
	*free_cores_milli = 0;
	pthread_mutex_lock(&run->lock);
	if (run->phase == PHASE_OWNING) {
		const gh_place_t *place = gh_shard_place(run->shard);

		*pending = gh_task_count(gh_shard_tasks(run->shard),
					 GH_TASK_PENDING);
		for (i = 0; i < gh_place_count(place); i++) {
			const gh_place_worker_t *w =
				gh_place_worker(place, (gh_handle_t)i);

			if (w->size.cores_milli > w->reserved.cores_milli)
				*free_cores_milli += w->size.cores_milli -
						     w->reserved.cores_milli;
		}
	}
	pthread_mutex_unlock(&run->lock);
}

/*
 * Loads the shard, then makes its scheduling decisions once a tick until the
 * shard is stopped or fenced.
 */
static void *run_decisions(void *arg)
{
	shard_run_t *run = arg;

	if (!load_shard(run))
		return NULL;
	pthread_create(&run->commit_thread, NULL, run_commits, run);
	pthread_mutex_lock(&run->lock);
	while (!run->stopping && run->phase == PHASE_OWNING) {
		process_tick(run);
		clock_wait_until(&run->wake, &run->lock,
				 clock_boot() + TICK_USEC);
	}
	pthread_cond_broadcast(&run->wake);
	pthread_mutex_unlock(&run->lock);
	pthread_join(run->commit_thread, NULL);
	return NULL;
}

/*
 * Reads the shard's log and appends the new owner's record to it; retries until
 * that succeeds or the shard is stopped or fenced.  After a conflict another
 * writer has appended in between, so the log is read again.
 */
static bool load_shard(shard_run_t *run)
{
	bool owning = false;
	bool stop = false;

	while (!owning && !stop) {
		GError *err = NULL;

		owning = load_shard_once(run, &err);
		if (err)
			log_event(LOG_WARN, "shard_load_failed", "shard",
				  run->wire_name, "message", err->message,
				  NULL);
		g_clear_error(&err);
		pthread_mutex_lock(&run->lock);
		stop = run->stopping || run->phase == PHASE_FENCED;
		if (!owning && !stop)
			clock_wait_until(&run->wake, &run->lock,
					 clock_boot() + RETRY_WAIT_USEC);
		pthread_mutex_unlock(&run->lock);
	}
	return owning;
}

static bool load_shard_once(shard_run_t *run, GError **err)
{
	gh_shard_t *shard = create_shard(run);
	bool ok = shard_log_load(run->log, replay_line, shard, err);
	char *records;
	uint64_t commit;

	if (ok && shard_log_max_epoch(run->log) > run->epoch) {
		fence(run, "log");
		ok = false;
	}
	if (!ok) {
		gh_shard_free(shard);
		return false;
	}
	pthread_mutex_lock(&run->lock);
	run->shard = shard;
	begin_ownership(run);
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

static gh_shard_t *create_shard(shard_run_t *run)
{
	gh_shard_setup_t setup = { .owner = run->owner,
				   .domain = run->domain,
				   .index = run->index,
				   .seed = run->seed,
				   .on_event = log_shard_event,
				   .event_ctx = run };
	gh_shard_t *shard = gh_shard_new(&setup);
	gh_now_t now = read_clocks();

	gh_shard_configure(shard, run->doc, &now);
	return shard;
}

static void log_shard_event(void *ctx, const gh_shard_event_t *event)
{
	const shard_run_t *run = ctx;

	if (event->task)
		log_event(LOG_INFO, event->name, "shard", run->wire_name,
			  "task", event->task, "attempt",
			  log_num(event->attempt), "worker", event->worker,
			  "why", event->why, "commit",
			  log_num((int64_t)event->commit), "epoch",
			  log_num((int64_t)run->epoch), NULL);
	else
		log_event(LOG_INFO, event->name, "shard", run->wire_name,
			  "worker", event->worker, "why", event->why, NULL);
}

static bool replay_line(void *ctx, const char *text, GError **err)
{
	return gh_shard_replay(ctx, text, err);
}

/* Takes up the loaded shard as its owner.  Called with the lock held. */
static void begin_ownership(shard_run_t *run)
{
	gh_now_t now = read_clocks();

	gh_shard_begin(run->shard, run->epoch,
		       now.wall_ms + run->orphan_wait_ms, &now);
	apply_document(run, now.boot);
	log_event(LOG_INFO, "shard_owned", "shard", run->wire_name, "epoch",
		  log_num((int64_t)run->epoch), NULL);
}

/*
 * Makes the scheduling decisions of one tick, then queues the calls to workers
 * and the polls that are due.  Called with the lock held.
 */
static void process_tick(shard_run_t *run)
{
	gh_now_t now = read_clocks();
	bool urgent;

	if (run->next_doc)
		apply_document(run, now.boot);
	gh_shard_tick(run->shard, may_start_tasks(run, now.boot),
		      run->lease_wall_ms, &now);
	if (gh_shard_has_records(run->shard, &urgent))
		pthread_cond_broadcast(&run->wake);
	queue_actions(run);
	if (may_renew_leases(run, now.boot))
		queue_polls(run, now.boot);
	update_counters(run);
}

/*
 * Applies a pending document and updates the workers' endpoints.  Called with
 * the lock held.
 */
static void apply_document(shard_run_t *run, gh_time_t now)
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
			/*
			 * Spreads the first polls of the workers over one poll
			 * interval.
			 */
			e->next_poll_at =
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

/*
 * Tasks start only within this host's lease on the shard, and not while a
 * commit takes longer than half of the start window: starts that wait for it
 * would come too late.
 */
static bool may_start_tasks(const shard_run_t *run, gh_time_t now)
{
	gh_time_t window = gh_time_from_ms(run->doc->policy.start_window_ms);

	return now < run->lease_until &&
	       (!run->commit_started || now - run->commit_started < window / 2);
}

/*
 * Task leases are renewed for renew_alone_ms beyond the end of this host's
 * lease on the shard, so that tasks go on through an outage of the store.
 */
static bool may_renew_leases(const shard_run_t *run, gh_time_t now)
{
	return now < run->lease_until +
			     gh_time_from_ms(run->doc->policy.renew_alone_ms);
}

static void queue_actions(shard_run_t *run)
{
	gh_action_t action;

	while (gh_shard_next_action(run->shard, &action)) {
		const endpoint_t *e =
			g_hash_table_lookup(run->endpoints, action.worker);
		gh_now_t now = read_clocks();

		if (e) {
			queue_call(run, e, &action);
			continue;
		}
		gh_shard_handle_reply(run->shard, &action, GH_REPLY_NOT_SENT,
				      NULL, &now);
		gh_action_clear(&action);
	}
}

static void queue_polls(shard_run_t *run, gh_time_t now)
{
	gh_time_t period = gh_time_from_ms(run->doc->policy.worker_poll_ms);
	GHashTableIter iter;
	gpointer value;

	g_hash_table_iter_init(&iter, run->endpoints);
	while (g_hash_table_iter_next(&iter, NULL, &value)) {
		endpoint_t *e = value;
		gh_handle_t worker =
			gh_place_find(gh_shard_place(run->shard), e->name);
		bool has_tasks =
			worker != GH_HANDLE_NONE &&
			gh_place_worker(gh_shard_place(run->shard), worker)
				->tasks;

		if (e->poll_in_flight || now < e->next_poll_at ||
		    now < e->last_poll_at + POLL_INTERVAL_MIN_USEC ||
		    (!e->listed && !has_tasks))
			continue;
		e->last_poll_at = now;
		e->poll_in_flight = true;
		e->next_poll_at = now + period;
		queue_call(run, e, NULL);
	}
}

static void update_counters(shard_run_t *run)
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

static void *run_commits(void *arg)
{
	shard_run_t *run = arg;

	pthread_mutex_lock(&run->lock);
	while (wait_for_records(run)) {
		uint64_t commit = run->committed;
		char *records = gh_shard_take_records(run->shard, &commit);
		char *snapshot = shard_log_needs_snapshot(run->log) ?
					 gh_shard_snapshot(run->shard) :
					 NULL;
		gh_time_t started = clock_boot();
		bool ok;

		run->commit_started = started;
		pthread_mutex_unlock(&run->lock);
		ok = commit_records(run, records, &commit);
		/*
		 * If commit_records() had to restore the log, it has written a
		 * newer snapshot, so none is needed.
		 */
		if (ok && snapshot && shard_log_needs_snapshot(run->log))
			compact_log(run, snapshot);
		g_free(snapshot);
		g_free(records);
		pthread_mutex_lock(&run->lock);
		run->commit_started = 0;
		if (!ok)
			continue;
		run->committed = commit;
		if (records)
			log_event(
				LOG_INFO, "tasks_committed", "shard",
				run->wire_name, "commit",
				log_num((int64_t)commit), "ms",
				log_num(gh_time_to_ms(clock_boot() - started)),
				NULL);
		gh_shard_confirm_commit(run->shard, commit);
		queue_actions(run);
		pthread_cond_broadcast(&run->wake);
	}
	pthread_mutex_unlock(&run->lock);
	return NULL;
}

/*
 * Waits until a commit or a check of the log is due; returns false when the
 * commit thread has to end.  Called with the lock held.
 */
static bool wait_for_records(shard_run_t *run)
{
	gh_time_t interval = gh_time_from_ms(run->doc->policy.commit_ms);
	gh_time_t started = clock_boot();
	bool urgent;

	while (run->phase == PHASE_OWNING) {
		bool has_records = gh_shard_has_records(run->shard, &urgent);
		gh_time_t now = clock_boot();
		gh_time_t due =
			started + interval * (urgent ? 1 : IDLE_COMMIT_FACTOR);

		if (run->stopping && (!has_records || !run->flush_on_stop))
			return false;
		if (has_records && (now >= due || run->stopping))
			return true;
		if (now - started >= VERIFY_INTERVAL_USEC)
			return true;
		clock_wait_until(&run->wake, &run->lock,
				 has_records ? due : now + interval);
	}
	return false;
}

/*
 * Appends the records to the shard's log, or verifies the log when records is
 * NULL; retries until that succeeds or the shard is stopped or fenced.  A first
 * conflict is taken for a store that was restored from an older copy, and the
 * log is rewritten; a conflict of the rewrite means that another owner has
 * written, and the shard is fenced.
 */
static bool commit_records(shard_run_t *run, const char *records,
			   uint64_t *commit)
{
	bool store_reverted = false;
	gh_time_t wait = RETRY_WAIT_USEC;

	for (;;) {
		GError *err = NULL;
		bool ok = store_reverted ? restore_log(run, commit, &err) :
			  records ? shard_log_append(run->log, run->epoch,
						     records, &err) :
				    shard_log_verify(run->log, &err);

		if (ok) {
			counter_add(CTR_SHARD_COMMITS, records != NULL);
			return true;
		}
		if (wait == RETRY_WAIT_USEC)
			log_event(LOG_WARN, "commit_failed", "shard",
				  run->wire_name, "message", err->message,
				  NULL);
		if (gh_error_kind(err) == GH_E_CONFLICT && store_reverted)
			fence(run, "store");
		store_reverted |= gh_error_kind(err) == GH_E_CONFLICT;
		g_error_free(err);
		counter_inc(CTR_SHARD_RETRIES);
		if (!wait_to_retry(run, wait))
			return false;
		wait = MIN(wait * 2, RETRY_WAIT_MAX_USEC);
	}
}

/*
 * Waits with jitter before a retry of a call to the store; returns false when
 * the shard is stopped or fenced.
 */
static bool wait_to_retry(shard_run_t *run, gh_time_t wait)
{
	gh_time_t until;
	bool should_retry;

	pthread_mutex_lock(&run->lock);
	until = clock_boot() + subtract_jitter(run, wait);
	while (!run->stopping && run->phase == PHASE_OWNING &&
	       clock_boot() < until)
		clock_wait_until(&run->wake, &run->lock, until);
	should_retry = !run->stopping && run->phase == PHASE_OWNING;
	pthread_mutex_unlock(&run->lock);
	return should_retry;
}

/*
 * Rewrites the shard's log from a snapshot that includes the records not
 * committed yet, so these are dropped from the queue of records.
 */
static bool restore_log(shard_run_t *run, uint64_t *commit, GError **err)
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

/*
 * Writes a snapshot of the shard to its log; if that fails, a later commit
 * tries again.
 */
static void compact_log(shard_run_t *run, const char *snapshot)
{
	GError *err = NULL;

	if (shard_log_compact(run->log, run->epoch, snapshot, &err))
		return;
	log_event(LOG_WARN, "snapshot_failed", "shard", run->wire_name,
		  "message", err->message, NULL);
	g_error_free(err);
}

/*
 * Queues a call to a worker that carries out an action, whose ownership the
 * call takes, or that polls the worker when action is NULL.  Called with the
 * lock held.
 */
static void queue_call(shard_run_t *run, const endpoint_t *endpoint,
		       const gh_action_t *action)
{
	call_t *call = g_new0(call_t, 1);

	call->run = run;
	if (action)
		call->action = *action;
	g_strlcpy(call->worker, endpoint->name, sizeof(call->worker));
	g_strlcpy(call->address, endpoint->address, sizeof(call->address));
	run->calls_in_flight++;
	shard_pool_push(run->pool, endpoint->suspect,
			action ? run_action_call : run_poll_call, call);
}

static void run_action_call(void *arg)
{
	call_t *call = arg;
	shard_run_t *run = call->run;
	char checkpoint[GH_CHECKPOINT_MAX + 1] = "";
	gh_reply_t reply = send_action(call, checkpoint);
	gh_now_t now = read_clocks();

	if (reply == GH_REPLY_FENCED)
		fence(run, call->worker);
	pthread_mutex_lock(&run->lock);
	if (run->phase == PHASE_OWNING)
		gh_shard_handle_reply(run->shard, &call->action, reply,
				      checkpoint, &now);
	if (call->action.kind == GH_ACTION_START && reply == GH_REPLY_OK)
		schedule_end_poll(run, call, now.boot);
	gh_action_clear(&call->action);
	finish_call(call);
}

/*
 * Brings the next poll of a worker forward to the expected end of a started
 * task, so that the end of a short task is noticed promptly.  Called with the
 * lock held.
 */
static void schedule_end_poll(shard_run_t *run, const call_t *call,
			      gh_time_t now)
{
	endpoint_t *e = g_hash_table_lookup(run->endpoints, call->worker);
	int64_t run_ms = call->action.spec->run_ms;

	if (run_ms)
		e->next_poll_at =
			MIN(e->next_poll_at, now + gh_time_from_ms(run_ms));
}

/*
 * Sends a call's action to its worker.  A start is sent only while its intent
 * and this host's lease on the shard are valid by clocks read right before the
 * call.
 */
static gh_reply_t send_action(const call_t *call, char *checkpoint)
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
	target.lease_deadline_ms = now.wall_ms + run->doc->policy.task_lease_ms;
	target.deadline = now.boot + gh_time_from_ms(CALL_TIMEOUT_MS);
	allowed = run->phase == PHASE_OWNING;
	if (action->kind == GH_ACTION_START) {
		allowed = allowed && !run->stopping &&
			  now.wall_ms <= action->not_after_ms &&
			  now.boot < run->lease_until;
		if (allowed)
			gh_shard_extend_lease(run->shard, call->worker,
					      target.lease_deadline_ms);
	}
	pthread_mutex_unlock(&run->lock);
	if (!allowed)
		return GH_REPLY_NOT_SENT;
	return run->link->ops->act(run->link, &target, action, checkpoint);
}

static void run_poll_call(void *arg)
{
	call_t *call = arg;
	shard_run_t *run = call->run;
	worker_call_t target = { .address = call->address,
				 .shard = run->wire_name,
				 .epoch = run->epoch };
	gh_report_t report = { .tasks = NULL };
	gh_reply_t reply = GH_REPLY_NOT_SENT;
	endpoint_t *endpoint;
	gh_time_t sent_at;
	gh_now_t now;
	bool renew;
	bool allowed;

	pthread_mutex_lock(&run->lock);
	now = read_clocks();
	target.lease_deadline_ms = now.wall_ms + run->doc->policy.task_lease_ms;
	target.deadline = now.boot + gh_time_from_ms(CALL_TIMEOUT_MS);
	allowed = run->phase == PHASE_OWNING && !run->stopping &&
		  may_renew_leases(run, now.boot);
	renew = allowed && gh_shard_should_renew(run->shard, call->worker);
	if (renew)
		gh_shard_extend_lease(run->shard, call->worker,
				      target.lease_deadline_ms);
	pthread_mutex_unlock(&run->lock);
	sent_at = now.boot;
	if (allowed)
		reply = run->link->ops->poll(run->link, &target, renew,
					     &report);
	if (reply == GH_REPLY_FENCED)
		fence(run, call->worker);
	now = read_clocks();
	pthread_mutex_lock(&run->lock);
	endpoint = g_hash_table_lookup(run->endpoints, call->worker);
	endpoint->poll_in_flight = false;
	if (allowed && run->phase == PHASE_OWNING) {
		endpoint->suspect = reply != GH_REPLY_OK;
		if (reply == GH_REPLY_OK)
			gh_shard_handle_report(run->shard, call->worker,
					       &report, &now);
		else
			gh_shard_handle_poll_failure(run->shard, call->worker,
						     sent_at, &now);
		endpoint->next_poll_at =
			next_poll_time(run, endpoint, now.boot);
	}
	g_free(report.tasks);
	finish_call(call);
}

/*
 * Time of the next poll of a worker, with jitter so that polls of different
 * workers stay spread.  Called with the lock held.
 */
static gh_time_t next_poll_time(shard_run_t *run, const endpoint_t *endpoint,
				gh_time_t now)
{
	gh_time_t wait =
		gh_shard_next_poll_time(run->shard, endpoint->name, now) - now;

	if (endpoint->suspect)
		wait *= SUSPECT_POLL_FACTOR;
	return now + MAX(subtract_jitter(run, wait), POLL_INTERVAL_MIN_USEC);
}

/* Ends and frees a call.  Called with the lock held; releases the lock. */
static void finish_call(call_t *call)
{
	shard_run_t *run = call->run;

	run->calls_in_flight--;
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

/* Waits until the store has confirmed a commit.  Called with the lock held. */
static bool wait_for_commit(shard_run_t *run, uint64_t commit, GError **err)
{
	gh_time_t until = clock_boot() + COMMIT_TIMEOUT_USEC;

	pthread_cond_broadcast(&run->wake);
	while (run->committed < commit && run->phase == PHASE_OWNING &&
	       !run->stopping && clock_boot() < until)
		clock_wait_until(&run->wake, &run->lock, until);
	if (run->committed >= commit)
		return true;
	gh_error_set(err, GH_E_STORE_UNKNOWN,
		     "the store did not confirm the job's record in time");
	return false;
}

/*
 * Whether requests are accepted: only while the shard is owned and the store
 * takes records without delay.  Called with the lock held.
 */
static bool check_ready(const shard_run_t *run, GError **err)
{
	gh_time_t now = clock_boot();

	if (run->phase != PHASE_OWNING || run->stopping) {
		gh_error_set(err, GH_E_STARTING,
			     "the shard is being taken over or given up");
		return false;
	}
	if (now < run->lease_until && store_reachable(run->store) &&
	    (!run->commit_started ||
	     now - run->commit_started < RETRY_WAIT_USEC))
		return true;
	gh_error_set(err, GH_E_STORE_DOWN,
		     "the lease expired or the store is slow or unreachable");
	return false;
}

static gh_now_t read_clocks(void)
{
	return (gh_now_t){ .boot = clock_boot(),
			   .wall_ms = gh_time_to_ms(clock_real()) };
}

/*
 * Returns the period shortened by a random part, from a linear congruential
 * generator with the constants of Knuth's MMIX.  Called with the lock held.
 */
static int64_t subtract_jitter(shard_run_t *run, int64_t period)
{
	uint64_t span = (uint64_t)period / JITTER_DIVISOR + 1;

	run->seed = run->seed * 6364136223846793005ULL + 1442695040888963407ULL;
	return period - (int64_t)((run->seed >> 33) % span);
}
