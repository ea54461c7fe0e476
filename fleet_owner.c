/*
 * States of an owner: it claims a shard whose owner record is absent, loads
 * the shard's jobs and workers, then decides, commits and calls the workers
 * until it releases the shard or loses it to another owner.
 */
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

/*
 * TTL of the lease of a shard's owner record; the lease outlasts short freezes
 * of the host.
 */
#define OWNER_LEASE_MS 1500
#define LEASE_RENEWAL_PERIOD_USEC (300 * GH_USEC_PER_MSEC)
/*
 * Max time between two renewals that succeed; after a longer one the owner
 * reads its record, which can have become another host's.
 */
#define RENEWAL_GAP_MAX_USEC (2 * LEASE_RENEWAL_PERIOD_USEC)
/*
 * Max time since the job directory heard the store, which it does each second;
 * after a longer one the owner reads its record itself.
 */
#define DIRECTORY_SILENCE_MAX_USEC (1500 * GH_USEC_PER_MSEC)
/*
 * Workers' leases are extended for this long after the owner's own lease was
 * last renewed.  The next owner waits for this time and a lease before it
 * starts the tasks of a worker that it cannot reach.
 */
#define WORKER_RENEWAL_LIMIT_USEC (2500 * GH_USEC_PER_MSEC)
/*
 * Max wait of a worker's reply once the owner's lease was not renewed for twice
 * its period.
 */
#define WORKER_WAIT_ALONE_MS 250
/*
 * The last renewal of a worker's lease is sent within this time before the
 * limit; a reply before it has as long to arrive.
 */
#define LAST_RENEWAL_USEC (50 * GH_USEC_PER_MSEC)
/*
 * Upper bound of the random delay before a claim, so that hosts don't claim a
 * shard all at once.
 */
#define CLAIM_JITTER_MAX_USEC (100 * GH_USEC_PER_MSEC)
#define CLAIM_RETRY_DELAY_USEC (200 * GH_USEC_PER_MSEC)
/*
 * Pause between two reads of changed workers' records; most changes only show
 * that a worker is alive.
 */
#define WORKER_CHANGES_PAUSE_USEC (100 * GH_USEC_PER_MSEC)
/* Max time between two scheduling decisions, also without events. */
#define TICK_PERIOD_USEC (25 * GH_USEC_PER_MSEC)
/*
 * Min time between an owner's commits; gathering changes in one commit saves
 * writes to the store.
 */
#define COMMIT_INTERVAL_MIN_USEC (6 * GH_USEC_PER_MSEC)
#define COMMIT_RETRY_DELAY_USEC (60 * GH_USEC_PER_MSEC)
#define LOAD_RETRY_DELAY_USEC (60 * GH_USEC_PER_MSEC)
/*
 * Period at which states of ended jobs whose retention time is over are
 * deleted.
 */
#define SWEEP_PERIOD_USEC (5 * GH_USEC_PER_SEC)
/*
 * Max job states deleted in one commit; the commit would hold them even with
 * two entries for each.
 */
#define SWEEP_JOBS_MAX 14
/* Max number of commit entries that one job's change takes. */
#define CHANGE_ENTRIES_MAX 5
#define BACKLOG_LOG_PERIOD_USEC GH_USEC_PER_SEC
/* A run that is planned for longer is late. */
#define BACKLOG_LOG_MIN_USEC GH_USEC_PER_SEC
/*
 * The learned interference is stored beside the jobs' progress, under this id;
 * no job has it.
 */
#define INTERFERENCE_ID "images"
/*
 * In the chain record of an owner that has released its shard, before the
 * time of its last grant of a lease, in ms relative to the release.
 */
#define CHAIN_RELEASED " released "
/*
 * In the chain record, before the time of the last grant of a lease, in ms
 * relative to the commit, if the next owner would not wait for it otherwise: a
 * long lease counts as an ordinary one that is granted later.
 */
#define CHAIN_GRANTS " grants "
#define INTERFERENCE_PERIOD_USEC (3 * GH_USEC_PER_SEC)
/*
 * Min time between two writes of the shard's load, unless the size of its
 * long-running tasks has changed.
 */
#define LOAD_PERIOD_USEC (500 * GH_USEC_PER_MSEC)

/* Index, in a commit, of the entry that writes the chain record. */
#define CHAIN_ENTRY 1

typedef enum phase {
	PHASE_IDLE,
	PHASE_CLAIMING,
	PHASE_LOADING,
	PHASE_OWNING,
	PHASE_RELEASING
} phase_t;

/* A commit: its entries and the strings that they refer to. */
typedef struct batch {
	fleet_entry_t entries[FLEET_ENTRIES_MAX];
	size_t n;
	GPtrArray *strings;
	/* gh_fleet_change_t, changes of jobs that the commit writes. */
	GArray *changes;
	/* New value of the shard's chain record, which each commit rewrites. */
	char *chain_value;
	gh_time_t grants_told; /* last grant that chain_value tells; 0: none */
	gh_time_t started_at;  /* when the commit was first sent */
	gh_time_t sent_at;     /* when it was last sent */
	unsigned unanswered;   /* number of times that it got no reply */
	bool releases;	       /* it deletes the owner record */
} batch_t;

struct fleet_owner {
	fleet_owner_setup_t setup;
	phase_t phase;
	bool draining;
	uint64_t generation; /* counts claims and losses of the shard */
	uint64_t epoch;
	uint64_t sequence; /* number of the last commit in this epoch */
	uint64_t chain_revision;
	char *own_key;
	char *chain_key;
	char *progress_prefix;
	/*
	 * Last grant of a lease by a previous owner, as the chain record tells
	 * it; 0: it does not.  One that has not released the shard may have
	 * granted others since.
	 */
	gh_time_t previous_grants_end;
	bool previous_released;
	/*
	 * As in gh_fleet_setup_t.  The claim tells the list again, which goes
	 * on naming the previous owner's claim.
	 */
	char *previous_unheard;
	gh_time_t previous_unheard_from;
	gh_time_t claim_sent_at;
	char *claim_value; /* value of the chain record that the claim writes */
	gh_time_t grants_told; /* last grant in the chain record; 0: none */
	bool record_known;     /* the owner record was read at least once */
	bool record_absent;    /* no host has an owner record for the shard */
	loop_timer_t timer;
	gh_time_t claim_at;
	gh_time_t claim_delay; /* delay that claim_at was set with */
	/*
	 * Members from here to renewal_sent_at: the lease to which the owner
	 * record is bound.
	 */
	uint64_t lease_id;
	uint64_t record_revision; /* of the host's last known write of it */
	/* Lease to which the record is bound by a restore; 0: none granted. */
	uint64_t restore_lease_id;
	bool record_lost; /* the lease and the record with it have ended */
	bool restoring;	  /* a call that restores the record is in flight */
	/*
	 * When the last lease renewal was sent that succeeded, and the last one
	 * that shows that the record is the host's as well.
	 */
	gh_time_t lease_renewed_at, renewed_at;
	/* When a call was sent that read or wrote the record as the host's. */
	gh_time_t record_seen_at;
	gh_time_t renew_at; /* due time of the next lease renewal */
	gh_time_t renewal_sent_at;
	/* Members used only while this host owns the shard. */
	gh_fleet_t *fleet;
	/* Job id to progress text, while the shard is being loaded. */
	GHashTable *progress;
	/* Last key of the progress read so far; NULL: none was read. */
	char *last_progress_key;
	/* When a read of progress that failed is repeated. */
	gh_time_t load_retry_at;
	/* gh_pipeline_t, while the shard is being loaded; then NULL. */
	GPtrArray *parsed_jobs;
	/* Ids of jobs that were cancelled and have not been committed since. */
	GHashTable *cancelled;
	fleet_watch_t *job_watch;
	fleet_watch_t *worker_watch;
	/* Keys of workers' records that were logged as unusable. */
	GHashTable *unread_workers;
	const fleet_config_t *config;
	batch_t *batch; /* commit that awaits its outcome, or NULL */
	gh_time_t commit_at;
	/*
	 * Due time of the next read of the chain record to find out a commit's
	 * outcome; GH_TIME_NEVER: none.
	 */
	gh_time_t reread_chain_at;
	gh_time_t tick_at;
	gh_time_t sweep_at;
	/* Due time of the next save of the learned interference. */
	gh_time_t interference_save_at;
	/* Due time of the next save of the shard's load. */
	gh_time_t load_save_at;
	char *load_saved; /* load in the last commit with one; NULL: none */
	gh_capacity_t long_running_saved; /* in load_saved */
	/* An event has occurred since the last run of advance(). */
	bool dirty;
	/*
	 * Counts of the fleet that were already added to the process's
	 * counters.
	 */
	gh_fleet_counts_t reported;
	gh_time_t backlog_log_at;
};

/*
 * A call in flight to the store or a worker; its reply is ignored if
 * owner->generation has changed since the call was made.
 */
typedef struct owner_call {
	fleet_owner_t *owner;
	uint64_t generation;
	gh_time_t sent_at;
} owner_call_t;

static void on_timer(void *ctx, gh_time_t now);
static void on_loop_iteration(void *ctx);
static owner_call_t *call_new(fleet_owner_t *owner);
static fleet_owner_t *call_finish(void *ctx);
static void advance(fleet_owner_t *owner, gh_time_t now);
static void update_counters(fleet_owner_t *owner);
static void log_backlog(fleet_owner_t *owner, gh_time_t now);
static void postpone_claim(fleet_owner_t *owner);
static void start_claim(fleet_owner_t *owner);
static void on_claim_lease(void *ctx, const fleet_reply_t *reply);
static void on_claim_chain(void *ctx, const fleet_reply_t *reply);
static void parse_chain(fleet_owner_t *owner, const char *text);
static void commit_claim(fleet_owner_t *owner);
static void on_claimed(void *ctx, const fleet_reply_t *reply);
static void on_claim_reread(void *ctx, const fleet_reply_t *reply);
static void claim_succeeded(fleet_owner_t *owner, uint64_t revision);
static void note_owner_record(fleet_owner_t *owner, uint64_t revision);
static void schedule_claim_retry(fleet_owner_t *owner);
static void start_loading(fleet_owner_t *owner);
static void load_progress_page(fleet_owner_t *owner);
static void on_progress_page(void *ctx, const fleet_reply_t *reply);
static void on_job_record(void *ctx, const fleet_item_t *item);
static void on_job_records_synced(void *ctx);
static void on_cancel_record(fleet_owner_t *owner, const char *id);
static void add_job(fleet_owner_t *owner, gh_pipeline_t *pipeline,
		    const char *source);
static void on_worker_record(void *ctx, const fleet_item_t *item);
static void on_worker_records_synced(void *ctx);
static void finish_loading(fleet_owner_t *owner);
static void end_ownership(fleet_owner_t *owner, const char *reason);
static void clear_shard(fleet_owner_t *owner);
static void renew_owner_lease(fleet_owner_t *owner, gh_time_t now);
static void on_lease_renewed(void *ctx, const fleet_reply_t *reply);
static void note_renewal(fleet_owner_t *owner, gh_time_t sent_at);
static gh_time_t record_known_at(const fleet_owner_t *owner);
static bool record_is_doubtful(const fleet_owner_t *owner, gh_time_t now);
static void read_owner_record(fleet_owner_t *owner);
static void on_owner_record_read(void *ctx, const fleet_reply_t *reply);
static void note_record_seen(fleet_owner_t *owner, gh_time_t at);
static void restore_owner_record(fleet_owner_t *owner);
static void on_restore_lease(void *ctx, const fleet_reply_t *reply);
static void commit_restore(fleet_owner_t *owner);
static void on_owner_record_restored(void *ctx, const fleet_reply_t *reply);
static void restore_succeeded(fleet_owner_t *owner, uint64_t revision);
static void restore_conflict(fleet_owner_t *owner, const fleet_reply_t *reply);
static void send_worker_calls(fleet_owner_t *owner, gh_time_t now);
static void on_renewal_reply(void *ctx, const char *worker,
			     gh_order_reply_t reply,
			     const gh_worker_report_t *report);
static void on_order_reply(void *ctx, const gh_order_t *order,
			   gh_order_reply_t reply);
static void start_commit(fleet_owner_t *owner, gh_time_t now);
static void on_committed(void *ctx, const fleet_reply_t *reply);
static void on_chain_reread(void *ctx, const fleet_reply_t *reply);
static void reread_chain(fleet_owner_t *owner, gh_time_t now);
static void batch_committed(fleet_owner_t *owner, uint64_t revision);
static void note_deleted_record(fleet_owner_t *owner, const char *id,
				uint64_t revision);
static bool is_cancelled(const fleet_owner_t *owner,
			 const gh_fleet_change_t *change);
static void batch_failed(fleet_owner_t *owner);
static void batch_conflict(fleet_owner_t *owner, const fleet_reply_t *reply);
static void batch_send(fleet_owner_t *owner);
static batch_t *batch_new(fleet_owner_t *owner, gh_time_t now);
static void batch_mark_release(fleet_owner_t *owner, batch_t *batch,
			       gh_time_t now);
static bool batch_add_change(fleet_owner_t *owner, batch_t *batch,
			     gh_fleet_change_t *change);
static void batch_add_entry(batch_t *batch, fleet_entry_kind_t kind, char *key,
			    char *value, uint64_t revision, uint64_t lease);
static void log_batch(const fleet_owner_t *owner, const char *outcome);
static void batch_free(batch_t *batch);
static void delete_old_states(fleet_owner_t *owner, batch_t *batch,
			      gh_time_t now);
static void save_interference(fleet_owner_t *owner, batch_t *batch,
			      gh_time_t now);
static void load_interference(fleet_owner_t *owner);
static bool load_is_due(const fleet_owner_t *owner, const batch_t *batch,
			gh_time_t now);
static void save_load(fleet_owner_t *owner, batch_t *batch, gh_time_t now);
static char *chain_text(const fleet_owner_t *owner, gh_time_t last_grant,
			const char *unheard, gh_time_t now);
static gh_time_t grant_ahead(const fleet_owner_t *owner, gh_time_t now);
static bool grants_have_changed(const fleet_owner_t *owner, gh_time_t now);
static void log_fleet_event(void *ctx, const char *event,
			    const gh_task_id_t *task, uint32_t run,
			    const char *worker, const char *reason);

fleet_owner_t *fleet_owner_new(const fleet_owner_setup_t *setup)
{
	fleet_owner_t *owner = g_new0(fleet_owner_t, 1);

	owner->setup = *setup;
	owner->own_key = g_strdup_printf("d/own/%u", setup->shard);
	owner->chain_key = g_strdup_printf("c/%u", setup->shard);
	owner->progress_prefix = g_strdup_printf("p/%u/", setup->shard);
	owner->timer = (loop_timer_t){ .at = GH_TIME_NEVER,
				       .run = on_timer,
				       .ctx = owner };
	loop_timer_add(setup->loop, &owner->timer);
	loop_after_iteration(setup->loop, on_loop_iteration, owner);
	return owner;
}

void fleet_owner_free(fleet_owner_t *owner)
{
	if (!owner)
		return;
	end_ownership(owner, "stop");
	loop_timer_remove(owner->setup.loop, &owner->timer);
	g_free(owner->own_key);
	g_free(owner->chain_key);
	g_free(owner->progress_prefix);
	g_free(owner->claim_value);
	g_free(owner->previous_unheard);
	g_free(owner);
}

void fleet_owner_record_changed(fleet_owner_t *owner, const char *host)
{
	gh_time_t now = clock_boot();

	owner->record_known = true;
	owner->record_absent = !host;
	/* The directory passes no value older than the host's own. */
	if (host && owner->phase >= PHASE_LOADING &&
	    strcmp(host, owner->setup.host) != 0) {
		end_ownership(owner, "another host wrote the owner record");
		return;
	}
	if (!owner->record_absent)
		return;
	if (owner->phase == PHASE_IDLE) {
		owner->claim_delay =
			owner->setup.claim_delay(owner->setup.claim_delay_ctx);
		owner->claim_at =
			now + owner->claim_delay +
			g_random_int_range(0, (gint32)CLAIM_JITTER_MAX_USEC);
	} else if (owner->phase == PHASE_OWNING) {
		restore_owner_record(owner);
	}
	owner->timer.at = MIN(owner->timer.at, owner->claim_at);
}

void fleet_owner_configure(fleet_owner_t *owner, const fleet_config_t *config)
{
	size_t i;

	owner->config = config;
	for (i = 0; owner->fleet && i < config->n_queues; i++)
		gh_fleet_queue_set(owner->fleet, &config->queues[i].policy);
}

void fleet_owner_job_changed(fleet_owner_t *owner, const char *id,
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
	/* A shard that is still being loaded is released after that. */
	if (owner->phase == PHASE_OWNING)
		owner->phase = PHASE_RELEASING;
	owner->dirty = true;
}

bool fleet_owner_is_idle(const fleet_owner_t *owner)
{
	return owner->phase == PHASE_IDLE;
}

static owner_call_t *call_new(fleet_owner_t *owner)
{
	owner_call_t *call = g_new(owner_call_t, 1);

	call->owner = owner;
	call->generation = owner->generation;
	call->sent_at = clock_boot();
	return call;
}

/*
 * Frees a call and returns its owner, or NULL if the reply must be ignored
 * because the owner has claimed or lost the shard since the call was sent.
 */
static fleet_owner_t *call_finish(void *ctx)
{
	owner_call_t *call = ctx;
	fleet_owner_t *owner = call->owner;

	if (call->generation != owner->generation)
		owner = NULL;
	g_free(call);
	return owner;
}

/* State machine of the owner's phases. */

static void on_timer(void *ctx, gh_time_t now)
{
	advance(ctx, now);
}

static void on_loop_iteration(void *ctx)
{
	fleet_owner_t *owner = ctx;

	if (owner->dirty)
		advance(owner, clock_boot());
}

/*
 * Does what is due in the owner's present phase and sets the timer for the next
 * step.
 */
static void advance(fleet_owner_t *owner, gh_time_t now)
{
	gh_time_t next = GH_TIME_NEVER;

	owner->dirty = false;
	if (owner->phase == PHASE_IDLE && owner->record_known &&
	    owner->record_absent && !owner->draining) {
		if (now >= owner->claim_at)
			postpone_claim(owner);
		if (now >= owner->claim_at)
			start_claim(owner);
		else
			next = owner->claim_at;
	}
	if (owner->phase >= PHASE_LOADING)
		renew_owner_lease(owner, now);
	if (owner->phase == PHASE_LOADING) {
		if (now >= owner->load_retry_at)
			load_progress_page(owner);
		next = owner->load_retry_at;
	}
	if (owner->phase >= PHASE_OWNING) {
		if (gh_fleet_fenced(owner->fleet)) {
			end_ownership(owner, "a worker reports a newer epoch");
			return;
		}
		if (owner->phase == PHASE_OWNING) {
			gh_fleet_tick(owner->fleet, now,
				      gh_time_to_ms(clock_real()));
			send_worker_calls(owner, now);
		}
		reread_chain(owner, now);
		if (!owner->batch && now >= owner->commit_at)
			start_commit(owner, now);
		next = now + TICK_PERIOD_USEC;
		if (!owner->batch && gh_fleet_has_changes(owner->fleet))
			next = MIN(next, MAX(owner->commit_at, now));
	}
	if (owner->phase >= PHASE_LOADING && !owner->restoring)
		next = MIN(next, owner->renew_at);
	owner->timer.at = next;
	update_counters(owner);
	log_backlog(owner, now);
}

/* Logs once a second what an owner has decided and not yet carried out. */
static void log_backlog(fleet_owner_t *owner, gh_time_t now)
{
	gh_fleet_backlog_t backlog;
	char cores[64];
	char oldest[GH_JOB_ID_MAX + 48];

	if (owner->phase != PHASE_OWNING || now < owner->backlog_log_at)
		return;
	owner->backlog_log_at = now + BACKLOG_LOG_PERIOD_USEC;
	gh_fleet_backlog(owner->fleet, &backlog);
	if (!backlog.planned_runs ||
	    now - backlog.planned_since < BACKLOG_LOG_MIN_USEC)
		return;
	counter_inc(CTR_SHARD_BEHIND);
	g_snprintf(cores, sizeof(cores), "%" PRId64 "/%" PRId64 "/%" PRId64,
		   backlog.planned_cores_milli / 1000,
		   backlog.begun_cores_milli / 1000,
		   backlog.cores_milli / 1000);
	g_snprintf(oldest, sizeof(oldest), "%s.%u.%u.%u", backlog.oldest.job,
		   backlog.oldest.occurrence, backlog.oldest.step,
		   backlog.oldest.index);
	log_event(LOG_INFO, "shard_behind", "shard",
		  log_num(owner->setup.shard), "planned",
		  log_num(backlog.planned_runs), "planned_ms",
		  log_num(gh_time_to_ms(now - backlog.planned_since)), "begun",
		  log_num(backlog.begun_runs), "begun_1s",
		  log_num(backlog.begun_lately), "oldest", oldest, "pending",
		  log_num(backlog.pending_tasks), "cores", cores, "tick_gap_ms",
		  log_num(gh_time_to_ms(backlog.tick_gap)), NULL);
}

/* Adds the increase of the fleet's counts to the process's counters. */
static void update_counters(fleet_owner_t *owner)
{
	static const struct {
		counter_t counter;
		size_t offset;
	} fields[] = {
		{ CTR_RUNS_STARTED, offsetof(gh_fleet_counts_t, started) },
		{ CTR_RUNS_DONE, offsetof(gh_fleet_counts_t, done) },
		{ CTR_RUNS_FAILED, offsetof(gh_fleet_counts_t, failed) },
		{ CTR_RUNS_STOPPED, offsetof(gh_fleet_counts_t, stopped) },
		{ CTR_RUNS_LEASE_EXPIRED,
		  offsetof(gh_fleet_counts_t, lease_expired) },
		{ CTR_RUNS_LOST, offsetof(gh_fleet_counts_t, lost) },
		{ CTR_RUNS_NO_CAPACITY,
		  offsetof(gh_fleet_counts_t, no_capacity) },
		{ CTR_RUN_COPIES, offsetof(gh_fleet_counts_t, copies) },
		{ CTR_RUN_HANGS, offsetof(gh_fleet_counts_t, hangs) },
		{ CTR_WORKER_QUARANTINES,
		  offsetof(gh_fleet_counts_t, quarantines) },
		{ CTR_JOBS_HELD, offsetof(gh_fleet_counts_t, held) },
		{ CTR_PACE_CHANGES, offsetof(gh_fleet_counts_t, paced) },
		{ CTR_RUNS_MOVED, offsetof(gh_fleet_counts_t, moved) },
		{ CTR_WORKERS_EXAMINED, offsetof(gh_fleet_counts_t, examined) },
		{ CTR_JOBS_IDLE, offsetof(gh_fleet_counts_t, idle) },
	};
	gh_fleet_counts_t counts;
	size_t i;

	if (!owner->fleet)
		return;
	gh_fleet_counts(owner->fleet, &counts);
	for (i = 0; i < G_N_ELEMENTS(fields); i++) {
		uint64_t count = *(const uint64_t *)((const char *)&counts +
						     fields[i].offset);
		uint64_t previous =
			*(const uint64_t *)((const char *)&owner->reported +
					    fields[i].offset);

		counter_add(fields[i].counter, count - previous);
	}
	owner->reported = counts;
}

/*
 * Claim: gets a lease, reads the chain record, then writes the owner record
 * and the chain record in one commit.
 */

/*
 * Leaves the shard to other hosts for longer if this host has got more to do
 * since the claim was due, such as another shard that lost its owner as well.
 */
static void postpone_claim(fleet_owner_t *owner)
{
	gh_time_t delay =
		owner->setup.claim_delay(owner->setup.claim_delay_ctx);

	if (delay > owner->claim_delay)
		owner->claim_at += delay - owner->claim_delay;
	owner->claim_delay = delay;
}

static void start_claim(fleet_owner_t *owner)
{
	owner->phase = PHASE_CLAIMING;
	owner->generation++;
	fleet_jobs_follow(owner->setup.jobs, owner->setup.shard, true);
	owner->renewal_sent_at = clock_boot();
	owner->setup.store->ops->grant_lease(owner->setup.store, OWNER_LEASE_MS,
					     on_claim_lease, call_new(owner));
}

static void on_claim_lease(void *ctx, const fleet_reply_t *reply)
{
	fleet_owner_t *owner = call_finish(ctx);

	if (!owner)
		return;
	if (reply->result != FLEET_OK) {
		schedule_claim_retry(owner);
		return;
	}
	owner->lease_id = reply->lease;
	owner->renewed_at = owner->lease_renewed_at = owner->renewal_sent_at;
	owner->setup.store->ops->get(owner->setup.store, FLEET_KEYSPACE_OWN,
				     owner->chain_key, on_claim_chain,
				     call_new(owner));
}

static void on_claim_chain(void *ctx, const fleet_reply_t *reply)
{
	fleet_owner_t *owner = call_finish(ctx);

	if (!owner)
		return;
	owner->epoch = 0;
	owner->chain_revision = 0;
	owner->previous_grants_end = owner->grants_told = 0;
	owner->previous_released = false;
	g_clear_pointer(&owner->previous_unheard, g_free);
	if (reply->result == FLEET_OK && reply->n_items &&
	    reply->items[0].value) {
		owner->chain_revision = reply->items[0].revision;
		parse_chain(owner, reply->items[0].value);
	} else if (reply->result != FLEET_NOT_FOUND) {
		schedule_claim_retry(owner);
		return;
	}
	owner->epoch += GH_FLEET_EPOCH_STEP;
	owner->sequence = 0;
	commit_claim(owner);
}

/* Reads the epoch and what is told of the last owner's grants. */
static void parse_chain(fleet_owner_t *owner, const char *text)
{
	const char *released = strstr(text, CHAIN_RELEASED);
	const char *grants = strstr(text, CHAIN_GRANTS);
	const char *ms = NULL;
	uint64_t claim;

	owner->epoch = g_ascii_strtoull(text, NULL, 10);
	owner->previous_released = released;
	if (released)
		ms = released + strlen(CHAIN_RELEASED);
	else if (grants)
		ms = grants + strlen(CHAIN_GRANTS);
	if (ms)
		owner->previous_grants_end =
			clock_boot() +
			gh_time_from_ms(g_ascii_strtoll(ms, NULL, 10));
	owner->previous_unheard = gh_fleet_unheard_find(text, &claim);
	if (!owner->previous_unheard)
		return;
	owner->previous_unheard_from = fleet_jobs_owner_heard_at(
		owner->setup.jobs, owner->setup.shard, claim);
	if (!owner->previous_unheard_from)
		g_clear_pointer(&owner->previous_unheard, g_free);
}

static void commit_claim(fleet_owner_t *owner)
{
	fleet_entry_t entries[] = {
		{ .kind = FLEET_EXPECT, .key = owner->own_key, .revision = 0 },
		{ .kind = FLEET_EXPECT,
		  .key = owner->chain_key,
		  .revision = owner->chain_revision },
		{ .kind = FLEET_PUT,
		  .key = owner->own_key,
		  .value = owner->setup.host,
		  .lease = owner->lease_id },
		{ .kind = FLEET_PUT, .key = owner->chain_key },
	};

	if (owner->previous_grants_end > clock_boot())
		owner->grants_told = owner->previous_grants_end;
	g_free(owner->claim_value);
	owner->claim_value = chain_text(owner, owner->grants_told,
					owner->previous_unheard, clock_boot());
	entries[G_N_ELEMENTS(entries) - 1].value = owner->claim_value;
	owner->claim_sent_at = clock_boot();
	owner->setup.store->ops->commit(owner->setup.store, entries,
					G_N_ELEMENTS(entries), on_claimed,
					call_new(owner));
}

static void on_claimed(void *ctx, const fleet_reply_t *reply)
{
	fleet_owner_t *owner = call_finish(ctx);

	if (!owner)
		return;
	if (reply->result == FLEET_OK)
		claim_succeeded(owner, reply->revision);
	else if (reply->result == FLEET_OUTCOME_UNKNOWN)
		owner->setup.store->ops->get(
			owner->setup.store, FLEET_KEYSPACE_OWN,
			owner->chain_key, on_claim_reread, call_new(owner));
	else
		schedule_claim_retry(owner);
}

/* Handles the chain record that was read after a claim without a reply. */
static void on_claim_reread(void *ctx, const fleet_reply_t *reply)
{
	fleet_owner_t *owner = call_finish(ctx);

	if (!owner)
		return;
	/*
	 * If the claim takes effect later, its owner record ends with the
	 * claim's lease, which nobody renews.
	 */
	if (reply->result == FLEET_OK && reply->n_items &&
	    !g_strcmp0(reply->items[0].value, owner->claim_value))
		claim_succeeded(owner, reply->items[0].revision);
	else
		schedule_claim_retry(owner);
}

static void claim_succeeded(fleet_owner_t *owner, uint64_t revision)
{
	owner->chain_revision = revision;
	note_owner_record(owner, revision);
	log_event(LOG_INFO, "shard_owned", "shard", log_num(owner->setup.shard),
		  "epoch", log_num((int64_t)owner->epoch), NULL);
	counter_inc(CTR_SHARD_CLAIMED);
	start_loading(owner);
}

/* Notes that this host has written the owner record. */
static void note_owner_record(fleet_owner_t *owner, uint64_t revision)
{
	owner->record_absent = false;
	owner->record_revision = revision;
	owner->record_seen_at = owner->renewal_sent_at;
	fleet_jobs_note_owner(owner->setup.jobs, owner->setup.shard,
			      owner->setup.host, revision);
}

static void schedule_claim_retry(fleet_owner_t *owner)
{
	owner->phase = PHASE_IDLE;
	fleet_jobs_follow(owner->setup.jobs, owner->setup.shard, false);
	owner->claim_at = clock_boot() + CLAIM_RETRY_DELAY_USEC +
			  g_random_int_range(0, (gint32)CLAIM_JITTER_MAX_USEC);
	owner->timer.at = owner->claim_at;
}

/*
 * Loading of the shard: reads the progress of all its jobs, the jobs' records
 * and the workers' records.
 */

static void start_loading(fleet_owner_t *owner)
{
	gh_fleet_sink_t sink = { .on_event = log_fleet_event, .ctx = owner };
	gh_fleet_setup_t setup = owner->setup.fleet;

	owner->phase = PHASE_LOADING;
	setup.told_grants_end = setup.previous_grants_end =
		owner->previous_grants_end;
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
	if (owner->config)
		fleet_owner_configure(owner, owner->config);
	owner->progress =
		g_hash_table_new_full(g_str_hash, g_str_equal, g_free, g_free);
	owner->parsed_jobs = g_ptr_array_new();
	owner->cancelled =
		g_hash_table_new_full(g_str_hash, g_str_equal, g_free, NULL);
	owner->renew_at = clock_boot();
	owner->dirty = true;
	g_clear_pointer(&owner->last_progress_key, g_free);
	load_progress_page(owner);
}

static void load_progress_page(fleet_owner_t *owner)
{
	const char *after =
		owner->last_progress_key ? owner->last_progress_key : "";

	owner->load_retry_at = GH_TIME_NEVER;
	owner->setup.store->ops->range(owner->setup.store, FLEET_KEYSPACE_OWN,
				       owner->progress_prefix, after,
				       on_progress_page, call_new(owner));
}

static void on_progress_page(void *ctx, const fleet_reply_t *reply)
{
	fleet_owner_t *owner = call_finish(ctx);
	fleet_watch_listener_t listener = { .item_changed = on_job_record,
					    .synced = on_job_records_synced };
	char *prefix;
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
		load_progress_page(owner);
		return;
	}
	listener.ctx = owner;
	prefix = g_strdup_printf("w/%u/", owner->setup.shard);
	owner->job_watch =
		fleet_watch_new(owner->setup.loop, owner->setup.store,
				FLEET_KEYSPACE_OWN, prefix, &listener);
	g_free(prefix);
}

static void on_job_record(void *ctx, const fleet_item_t *item)
{
	fleet_owner_t *owner = ctx;
	GError *err = NULL;
	gh_pipeline_t *pipeline;

	const char *id = strstr(item->key, "/" FLEET_CANCEL_PREFIX);

	if (!item->value)
		return;
	if (id) {
		on_cancel_record(owner, id + strlen("/" FLEET_CANCEL_PREFIX));
		return;
	}
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
	fleet_watch_listener_t listener = { .item_changed = on_worker_record,
					    .synced = on_worker_records_synced,
					    .ctx = owner };
	GPtrArray *pipelines = owner->parsed_jobs;
	guint i;

	if (!pipelines)
		return;
	owner->parsed_jobs = NULL;
	load_interference(owner);
	for (i = 0; i < pipelines->len; i++)
		add_job(owner, pipelines->pdata[i], "load");
	g_ptr_array_free(pipelines, TRUE);
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
	const char *progress =
		owner->progress ?
			g_hash_table_lookup(owner->progress, pipeline->id) :
			NULL;
	fleet_job_state_t state;
	GError *err = NULL;
	char id[GH_JOB_ID_MAX + 1];

	g_strlcpy(id, pipeline->id, sizeof(id));
	if (gh_fleet_has_job(owner->fleet, id)) {
		gh_pipeline_free(pipeline);
		return;
	}
	log_event(LOG_INFO, "job_added", "job", id, "from", source, "progress",
		  progress ? "yes" : "no", "epoch",
		  log_num((int64_t)owner->epoch), NULL);
	if (!gh_fleet_job_add(owner->fleet, pipeline, progress, &err)) {
		log_event(LOG_ERROR, "job_progress_unread", "job", id,
			  "message", err->message, NULL);
		g_error_free(err);
	}
	if (g_hash_table_contains(owner->cancelled, id) ||
	    (fleet_jobs_find(owner->setup.jobs, id, &state) &&
	     state.phase == GH_JOB_CANCELLED))
		gh_fleet_job_cancel(owner->fleet, id, clock_boot());
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

static void end_ownership(fleet_owner_t *owner, const char *reason)
{
	if (owner->phase >= PHASE_LOADING)
		log_event(LOG_INFO, "shard_given_up", "shard",
			  log_num(owner->setup.shard), "epoch",
			  log_num((int64_t)owner->epoch), "why", reason, NULL);
	owner->generation++;
	owner->phase = PHASE_IDLE;
	fleet_jobs_follow(owner->setup.jobs, owner->setup.shard, false);
	fleet_watch_free(owner->job_watch);
	fleet_watch_free(owner->worker_watch);
	owner->job_watch = owner->worker_watch = NULL;
	g_clear_pointer(&owner->unread_workers, g_hash_table_destroy);
	g_clear_pointer(&owner->cancelled, g_hash_table_destroy);
	clear_shard(owner);
	owner->record_lost = owner->restoring = false;
	owner->restore_lease_id = 0;
	owner->claim_at = clock_boot() + CLAIM_RETRY_DELAY_USEC;
	owner->timer.at = owner->claim_at;
}

/* Frees what the owner knows of the shard's jobs and its commit in flight. */
static void clear_shard(fleet_owner_t *owner)
{
	g_clear_pointer(&owner->fleet, gh_fleet_free);
	g_clear_pointer(&owner->progress, g_hash_table_destroy);
	g_clear_pointer(&owner->last_progress_key, g_free);
	if (owner->parsed_jobs)
		g_ptr_array_set_free_func(owner->parsed_jobs,
					  (GDestroyNotify)gh_pipeline_free);
	g_clear_pointer(&owner->parsed_jobs, g_ptr_array_unref);
	g_clear_pointer(&owner->batch, batch_free);
	g_clear_pointer(&owner->load_saved, g_free);
}

/* Renewal of the lease to which the shard's owner record is bound. */

static void renew_owner_lease(fleet_owner_t *owner, gh_time_t now)
{
	if (owner->restoring || now < owner->renew_at)
		return;
	owner->renew_at = now + LEASE_RENEWAL_PERIOD_USEC;
	if (owner->record_lost)
		restore_owner_record(owner);
	else
		owner->setup.store->ops->renew_lease(
			owner->setup.store, owner->lease_id, on_lease_renewed,
			call_new(owner));
}

/*
 * Handles the reply to a renewal.  Renewals overlap, as one without a reply
 * must not delay the next.
 */
static void on_lease_renewed(void *ctx, const fleet_reply_t *reply)
{
	gh_time_t sent_at = ((const owner_call_t *)ctx)->sent_at;
	fleet_owner_t *owner = call_finish(ctx);

	/* A reply to an older renewal may be about a lease given up since. */
	if (!owner || sent_at <= owner->lease_renewed_at)
		return;
	if (reply->result == FLEET_OK && !owner->record_lost)
		note_renewal(owner, sent_at);
	else if (reply->result == FLEET_NOT_FOUND)
		restore_owner_record(owner);
	owner->dirty = true;
}

/*
 * Notes that the lease was renewed.  It can outlive the record, which another
 * host may then have written, so the renewal counts only if the host would have
 * heard of that.
 */
static void note_renewal(fleet_owner_t *owner, gh_time_t sent_at)
{
	owner->lease_renewed_at = sent_at;
	if (sent_at > owner->renewed_at + RENEWAL_GAP_MAX_USEC ||
	    sent_at > record_known_at(owner) + DIRECTORY_SILENCE_MAX_USEC)
		read_owner_record(owner);
	else
		owner->renewed_at = sent_at;
}

/* Last time at which the host would have heard of another owner record. */
static gh_time_t record_known_at(const fleet_owner_t *owner)
{
	return MAX(owner->record_seen_at,
		   fleet_jobs_owners_heard_at(owner->setup.jobs));
}

/*
 * Whether the store goes on renewing the lease, but has not shown for long that
 * the record is still the host's.
 */
static bool record_is_doubtful(const fleet_owner_t *owner, gh_time_t now)
{
	gh_time_t known_at = record_known_at(owner);

	return owner->lease_renewed_at >
		       known_at + DIRECTORY_SILENCE_MAX_USEC &&
	       now > known_at + WORKER_RENEWAL_LIMIT_USEC;
}

static void read_owner_record(fleet_owner_t *owner)
{
	owner->setup.store->ops->get(owner->setup.store, FLEET_KEYSPACE_OWN,
				     owner->own_key, on_owner_record_read,
				     call_new(owner));
}

static void on_owner_record_read(void *ctx, const fleet_reply_t *reply)
{
	gh_time_t sent_at = ((const owner_call_t *)ctx)->sent_at;
	fleet_owner_t *owner = call_finish(ctx);
	const fleet_item_t *item;

	if (!owner || owner->record_lost)
		return;
	if (reply->result != FLEET_OK && reply->result != FLEET_NOT_FOUND)
		return;
	owner->dirty = true;
	item = reply->n_items ? &reply->items[0] : NULL;
	if (item && item->value && strcmp(item->value, owner->setup.host) != 0)
		end_ownership(owner, "another host wrote the owner record");
	else if (item && item->value &&
		 item->revision == owner->record_revision)
		note_record_seen(owner, sent_at);
	else
		restore_owner_record(owner);
}

static void note_record_seen(fleet_owner_t *owner, gh_time_t at)
{
	owner->record_seen_at = at;
	owner->renewed_at =
		MAX(owner->renewed_at, MIN(at, owner->lease_renewed_at));
}

/*
 * Writes the owner record again after its lease has expired.  The host still
 * owns the shard as long as no other host has changed the chain record.
 */
static void restore_owner_record(fleet_owner_t *owner)
{
	owner->record_lost = true;
	if (owner->restoring)
		return;
	owner->restoring = true;
	/* A restore without a reply is tried again with the same lease. */
	if (owner->restore_lease_id) {
		commit_restore(owner);
		return;
	}
	owner->renewal_sent_at = clock_boot();
	log_event(LOG_WARN, "owner_record_lapsed", "shard",
		  log_num(owner->setup.shard), NULL);
	owner->setup.store->ops->grant_lease(owner->setup.store, OWNER_LEASE_MS,
					     on_restore_lease, call_new(owner));
}

static void on_restore_lease(void *ctx, const fleet_reply_t *reply)
{
	fleet_owner_t *owner = call_finish(ctx);

	if (!owner)
		return;
	if (reply->result != FLEET_OK) {
		owner->restoring = false;
		owner->dirty = true;
		return;
	}
	owner->restore_lease_id = reply->lease;
	commit_restore(owner);
}

static void commit_restore(fleet_owner_t *owner)
{
	fleet_entry_t entries[] = {
		{ .kind = FLEET_EXPECT, .key = owner->own_key, .revision = 0 },
		{ .kind = FLEET_EXPECT,
		  .key = owner->chain_key,
		  .revision = owner->chain_revision },
		{ .kind = FLEET_PUT,
		  .key = owner->own_key,
		  .value = owner->setup.host,
		  .lease = owner->restore_lease_id },
	};

	owner->setup.store->ops->commit(
		owner->setup.store, entries, G_N_ELEMENTS(entries),
		on_owner_record_restored, call_new(owner));
}

static void on_owner_record_restored(void *ctx, const fleet_reply_t *reply)
{
	fleet_owner_t *owner = call_finish(ctx);

	if (!owner)
		return;
	owner->restoring = false;
	owner->dirty = true;
	owner->renew_at = clock_boot() + COMMIT_RETRY_DELAY_USEC;
	switch (reply->result) {
	case FLEET_OK:
		restore_succeeded(owner, reply->revision);
		break;
	case FLEET_CONFLICT:
		restore_conflict(owner, reply);
		break;
	case FLEET_NOT_FOUND: /* the lease has ended */
		owner->restore_lease_id = 0;
		break;
	default:
		break;
	}
}

static void restore_succeeded(fleet_owner_t *owner, uint64_t revision)
{
	owner->record_lost = false;
	owner->lease_id = owner->restore_lease_id;
	owner->restore_lease_id = 0;
	owner->renewed_at = owner->lease_renewed_at = owner->renewal_sent_at;
	note_owner_record(owner, revision);
}

/*
 * The owner record exists, or the chain record has changed.  The record can be
 * the host's own: it was not gone, or an earlier restore without a reply has
 * taken effect.  The chain changes with each of the host's commits as well.
 */
static void restore_conflict(fleet_owner_t *owner, const fleet_reply_t *reply)
{
	const fleet_item_t *record = NULL;
	const fleet_item_t *chain = NULL;
	size_t i;

	for (i = 0; i < reply->n_items; i++) {
		if (!strcmp(reply->items[i].key, owner->own_key))
			record = &reply->items[i];
		else if (!strcmp(reply->items[i].key, owner->chain_key))
			chain = &reply->items[i];
	}
	if (record && record->value) {
		if (strcmp(record->value, owner->setup.host) != 0) {
			end_ownership(owner, "another host wrote the owner "
					     "record");
		} else if (record->revision == owner->record_revision) {
			owner->record_lost = false;
			owner->restore_lease_id = 0;
		} else {
			restore_succeeded(owner, record->revision);
			owner->renew_at = clock_boot();
		}
	} else if (!owner->batch && chain &&
		   chain->revision != owner->chain_revision) {
		end_ownership(owner, "another owner took over");
	}
}

/* Calls to workers. */

static void send_worker_calls(fleet_owner_t *owner, gh_time_t now)
{
	const fleet_workers_ops_t *ops = owner->setup.workers->ops;
	bool doubtful = record_is_doubtful(owner, now);
	bool owner_lease_valid =
		!doubtful &&
		now < owner->renewed_at + gh_time_from_ms(OWNER_LEASE_MS);
	gh_time_t limit = owner->renewed_at + WORKER_RENEWAL_LIMIT_USEC;
	gh_order_t order;
	gh_worker_renewal_t renewal;

	while (gh_fleet_next_order(owner->fleet, &order, now)) {
		if (order.kind == GH_ORDER_START && !owner_lease_valid) {
			/*
			 * A start is not sent once the owner's lease may have
			 * ended, as another host may own the shard; it is
			 * retried like an order without a reply.
			 */
			gh_fleet_handle_reply(owner->fleet, &order,
					      GH_ORDER_OUTCOME_UNKNOWN, now);
			continue;
		}
		if (order.kind == GH_ORDER_START)
			log_fleet_event(owner, "run_start", &order.task,
					order.run, order.worker,
					order.checkpoint);
		ops->send_order(owner->setup.workers, &order,
				owner->epoch + order.fence_offset,
				on_order_reply, call_new(owner));
	}
	if (doubtful || now > limit)
		return;
	while (gh_fleet_next_renewal(owner->fleet, &renewal, now)) {
		if (now > owner->renewed_at + 2 * LEASE_RENEWAL_PERIOD_USEC)
			renewal.max_wait_ms =
				MIN(renewal.max_wait_ms,
				    fleet_owner_wait_alone_ms(limit - now));
		ops->renew_lease(owner->setup.workers, &renewal,
				 owner->epoch + renewal.fence_offset,
				 on_renewal_reply, call_new(owner));
	}
}

int64_t fleet_owner_wait_alone_ms(gh_time_t left)
{
	gh_time_t before_last = left - LAST_RENEWAL_USEC;

	if (before_last <= 0)
		return WORKER_WAIT_ALONE_MS;
	return MIN(WORKER_WAIT_ALONE_MS, gh_time_to_ms(before_last));
}

static void on_renewal_reply(void *ctx, const char *worker,
			     gh_order_reply_t reply,
			     const gh_worker_report_t *report)
{
	fleet_owner_t *owner = call_finish(ctx);
	gh_time_t now = clock_boot();

	if (!owner || !owner->fleet)
		return;
	if (reply == GH_ORDER_OK)
		gh_fleet_handle_report(owner->fleet, worker, report, now);
	else
		gh_fleet_handle_renewal_failure(
			owner->fleet, worker, report->fence_offset, reply, now);
	owner->dirty = true;
}

static void on_order_reply(void *ctx, const gh_order_t *order,
			   gh_order_reply_t reply)
{
	static const char *const reply_names[] = {
		[GH_ORDER_OK] = "ok",
		[GH_ORDER_NO_CAPACITY] = "no_room",
		[GH_ORDER_STALE_RUN] = "old",
		[GH_ORDER_LEASE_EXPIRED] = "late",
		[GH_ORDER_FENCED] = "fenced",
		[GH_ORDER_REFUSED] = "refused",
		[GH_ORDER_INVALID] = "invalid",
		[GH_ORDER_OTHER_INCARNATION] = "other_life",
		[GH_ORDER_OVERTAKEN] = "overtaken",
		[GH_ORDER_OUTCOME_UNKNOWN] = "unanswered",
	};
	gh_time_t sent_at = ((const owner_call_t *)ctx)->sent_at;
	fleet_owner_t *owner = call_finish(ctx);

	histogram_add(HIST_ORDER, clock_boot() - sent_at);
	if (!owner || !owner->fleet)
		return;
	if (reply != GH_ORDER_OK)
		log_fleet_event(owner, "order_failed", &order->task, order->run,
				order->worker, reply_names[reply]);
	gh_fleet_handle_reply(owner->fleet, order, reply, clock_boot());
	owner->dirty = true;
}

/*
 * Commits of the owner's changes to the store; at most one commit awaits its
 * outcome.
 */

static void start_commit(fleet_owner_t *owner, gh_time_t now)
{
	gh_fleet_change_t change;
	batch_t *batch;
	bool chain_is_due = grants_have_changed(owner, now) ||
			    gh_fleet_unheard_is_due(owner->fleet, now);

	if (!gh_fleet_has_changes(owner->fleet) && now < owner->sweep_at &&
	    now < owner->load_save_at && owner->phase != PHASE_RELEASING &&
	    !chain_is_due)
		return;
	owner->sequence++;
	batch = batch_new(owner, now);
	/*
	 * Leaves space in the commit for the learned interference, the shard's
	 * load and the owner record.
	 */
	while (batch->n + CHANGE_ENTRIES_MAX + 2 < FLEET_ENTRIES_MAX &&
	       gh_fleet_next_change(owner->fleet, &change))
		if (!batch_add_change(owner, batch, &change)) {
			owner->commit_at = now + COMMIT_RETRY_DELAY_USEC;
			break;
		}
	if (batch->changes->len && now >= owner->interference_save_at)
		save_interference(owner, batch, now);
	if (load_is_due(owner, batch, now))
		save_load(owner, batch, now);
	if (now >= owner->sweep_at)
		delete_old_states(owner, batch, now);
	if (owner->phase == PHASE_RELEASING &&
	    !gh_fleet_has_changes(owner->fleet)) {
		batch_mark_release(owner, batch, now);
	} else if (!batch->changes->len && batch->n <= 2 && !chain_is_due) {
		batch_free(batch);
		return;
	}
	owner->batch = batch;
	batch->started_at = now;
	batch_send(owner);
}

static batch_t *batch_new(fleet_owner_t *owner, gh_time_t now)
{
	batch_t *batch = g_new0(batch_t, 1);
	char *unheard;

	batch->strings = g_ptr_array_new_with_free_func(g_free);
	batch->changes = g_array_new(FALSE, FALSE, sizeof(gh_fleet_change_t));
	batch->grants_told = grant_ahead(owner, now);
	unheard = gh_fleet_unheard_tell(owner->fleet, now);
	batch->chain_value =
		chain_text(owner, batch->grants_told, unheard, now);
	g_free(unheard);
	batch_add_entry(batch, FLEET_EXPECT, g_strdup(owner->chain_key), NULL,
			owner->chain_revision, 0);
	batch_add_entry(batch, FLEET_PUT, g_strdup(owner->chain_key), NULL, 0,
			0);
	return batch;
}

/*
 * Makes the commit release the shard: it deletes the owner record, and the
 * chain record tells the next owner of the last grant of a lease to a worker.
 */
static void batch_mark_release(fleet_owner_t *owner, batch_t *batch,
			       gh_time_t now)
{
	gh_time_t last_grant = gh_fleet_last_grant(owner->fleet);
	char *text = g_strdup_printf("%s" CHAIN_RELEASED "%" PRId64,
				     batch->chain_value,
				     gh_time_to_ms(last_grant - now) + 1);

	g_free(batch->chain_value);
	batch->chain_value = text;
	batch_add_entry(batch, FLEET_DELETE, g_strdup(owner->own_key), NULL, 0,
			0);
	batch->releases = true;
}

/*
 * Adds a job's change to a commit and takes ownership of the change's progress
 * text.  Returns false if the job's state is not known yet: the change is then
 * committed later.
 */
static bool batch_add_change(fleet_owner_t *owner, batch_t *batch,
			     gh_fleet_change_t *change)
{
	uint32_t shard = owner->setup.shard;
	bool ended = change->phase > GH_JOB_RUNNING;
	fleet_job_state_t state;

	if (change->phase_changed && change->phase != GH_JOB_CANCELLED) {
		if (!fleet_jobs_find(owner->setup.jobs, change->id, &state)) {
			gh_fleet_handle_commit_failure(owner->fleet,
						       change->id);
			g_free(change->progress);
			return false;
		}
		batch_add_entry(batch, FLEET_EXPECT,
				fleet_jobs_state_key(change->id), NULL,
				state.revision, 0);
		state.phase = change->phase;
		state.changed_ms = gh_time_to_ms(clock_real());
		batch_add_entry(batch, FLEET_PUT,
				fleet_jobs_state_key(change->id),
				fleet_job_state_format(&state), 0, 0);
	}
	if (ended) {
		batch_add_entry(batch, FLEET_DELETE,
				fleet_jobs_record_key(shard, change->id), NULL,
				0, 0);
		batch_add_entry(
			batch, FLEET_DELETE,
			g_strconcat(owner->progress_prefix, change->id, NULL),
			NULL, 0, 0);
		if (is_cancelled(owner, change))
			batch_add_entry(
				batch, FLEET_DELETE,
				fleet_jobs_cancel_key(shard, change->id), NULL,
				0, 0);
	} else {
		batch_add_entry(
			batch, FLEET_PUT,
			g_strconcat(owner->progress_prefix, change->id, NULL),
			change->progress, 0, 0);
	}
	change->progress = NULL;
	g_array_append_val(batch->changes, *change);
	return true;
}

/* Adds an entry to a commit; takes ownership of key and value. */
static void batch_add_entry(batch_t *batch, fleet_entry_kind_t kind, char *key,
			    char *value, uint64_t revision, uint64_t lease)
{
	g_ptr_array_add(batch->strings, key);
	if (value)
		g_ptr_array_add(batch->strings, value);
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
	owner->batch->entries[CHAIN_ENTRY].value = owner->batch->chain_value;
	owner->batch->sent_at = clock_boot();
	owner->setup.store->ops->commit(owner->setup.store,
					owner->batch->entries, owner->batch->n,
					on_committed, call_new(owner));
}

static void on_committed(void *ctx, const fleet_reply_t *reply)
{
	fleet_owner_t *owner = call_finish(ctx);

	if (!owner || !owner->batch)
		return;
	owner->dirty = true;
	switch (reply->result) {
	case FLEET_OK:
		batch_committed(owner, reply->revision);
		break;
	case FLEET_CONFLICT:
		batch_conflict(owner, reply);
		break;
	case FLEET_OUTCOME_UNKNOWN:
		counter_inc(CTR_COMMITS_UNKNOWN);
		/* The store may go on answering so at once. */
		owner->reread_chain_at =
			owner->batch->unanswered++ ?
				clock_boot() + COMMIT_RETRY_DELAY_USEC :
				0;
		reread_chain(owner, clock_boot());
		break;
	default:
		/* An earlier copy may still take effect. */
		if (owner->batch->unanswered)
			owner->reread_chain_at =
				clock_boot() + COMMIT_RETRY_DELAY_USEC;
		else
			batch_failed(owner);
		break;
	}
}

/*
 * Handles the chain record that was read after a commit without a reply: the
 * record shows whether the commit took effect.
 */
static void on_chain_reread(void *ctx, const fleet_reply_t *reply)
{
	fleet_owner_t *owner = call_finish(ctx);
	const fleet_item_t *item;

	if (!owner || !owner->batch)
		return;
	owner->dirty = true;
	item = reply->n_items ? &reply->items[0] : NULL;
	if (reply->result == FLEET_OK && item && item->value &&
	    !strcmp(item->value, owner->batch->chain_value)) {
		batch_committed(owner, item->revision);
	} else if (reply->result == FLEET_OK && item &&
		   item->revision == owner->chain_revision) {
		/*
		 * The commit has had no effect so far, so it is sent again.
		 * Both copies expect the same revision of the chain record, so
		 * only one takes effect.
		 */
		batch_send(owner);
	} else if (reply->result == FLEET_OK ||
		   reply->result == FLEET_NOT_FOUND) {
		end_ownership(owner, "another owner took over");
	} else {
		owner->reread_chain_at = clock_boot() + COMMIT_RETRY_DELAY_USEC;
	}
}

/* Reads the chain record again if the last read failed and a retry is due. */
static void reread_chain(fleet_owner_t *owner, gh_time_t now)
{
	if (!owner->batch || now < owner->reread_chain_at)
		return;
	owner->reread_chain_at = GH_TIME_NEVER;
	owner->setup.store->ops->get(owner->setup.store, FLEET_KEYSPACE_OWN,
				     owner->chain_key, on_chain_reread,
				     call_new(owner));
}

static void batch_committed(fleet_owner_t *owner, uint64_t revision)
{
	batch_t *batch = owner->batch;
	gh_time_t now = clock_boot();
	guint i;

	if (batch->unanswered)
		log_batch(owner, "committed");
	owner->batch = NULL;
	owner->chain_revision = revision;
	owner->grants_told = batch->grants_told;
	gh_fleet_unheard_committed(owner->fleet);
	owner->commit_at = now + MAX(COMMIT_INTERVAL_MIN_USEC,
				     owner->setup.commit_interval_min);
	counter_inc(CTR_COMMITS);
	histogram_add(HIST_COMMIT, now - batch->sent_at);
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
			state.presumed = false;
			fleet_jobs_update(owner->setup.jobs, change->id,
					  &state);
		}
		if (change->phase > GH_JOB_RUNNING)
			note_deleted_record(owner, change->id, revision);
		gh_fleet_handle_commit(owner->fleet, change->id,
				       change->version);
	}
	if (batch->releases)
		end_ownership(owner, "drain");
	batch_free(batch);
}

/*
 * A read of the job records that the store served before this commit still
 * lists the job; without the note, its late reply would add the job again.
 */
static void note_deleted_record(fleet_owner_t *owner, const char *id,
				uint64_t revision)
{
	char *key = fleet_jobs_record_key(owner->setup.shard, id);
	char *cancel_key = fleet_jobs_cancel_key(owner->setup.shard, id);

	fleet_watch_note(owner->job_watch, key, revision, false);
	fleet_watch_note(owner->job_watch, cancel_key, revision, false);
	g_hash_table_remove(owner->cancelled, id);
	g_free(cancel_key);
	g_free(key);
}

/* Whether the job may have a record of its cancel, which is to be deleted. */
static bool is_cancelled(const fleet_owner_t *owner,
			 const gh_fleet_change_t *change)
{
	return change->phase == GH_JOB_CANCELLED ||
	       g_hash_table_contains(owner->cancelled, change->id);
}

static void batch_failed(fleet_owner_t *owner)
{
	batch_t *batch = owner->batch;
	guint i;

	log_batch(owner, "failed");
	owner->batch = NULL;
	owner->commit_at = clock_boot() + COMMIT_RETRY_DELAY_USEC;
	counter_inc(CTR_COMMITS_FAILED);
	g_clear_pointer(&owner->load_saved, g_free);
	for (i = 0; i < batch->changes->len; i++)
		gh_fleet_handle_commit_failure(
			owner->fleet,
			g_array_index(batch->changes, gh_fleet_change_t, i).id);
	batch_free(batch);
}

static void batch_conflict(fleet_owner_t *owner, const fleet_reply_t *reply)
{
	static const char state_prefix[] = "d/state/";
	size_t i;

	for (i = 0; i < reply->n_items; i++) {
		const fleet_item_t *item = &reply->items[i];

		if (!strcmp(item->key, owner->chain_key)) {
			if (item->value &&
			    !strcmp(item->value, owner->batch->chain_value)) {
				batch_committed(owner, item->revision);
				return;
			}
			if (item->revision != owner->chain_revision) {
				end_ownership(owner, "another owner took over");
				return;
			}
		} else if (g_str_has_prefix(item->key, state_prefix)) {
			const char *id = item->key + strlen(state_prefix);

			fleet_jobs_correct(owner->setup.jobs, id, item->value,
					   item->revision);
			if (item->value)
				fleet_jobs_update_text(owner->setup.jobs, id,
						       item->value,
						       item->revision);
		}
	}
	batch_failed(owner);
	owner->commit_at = 0;
}

/* Logs a commit that failed or took several attempts. */
static void log_batch(const fleet_owner_t *owner, const char *outcome)
{
	const batch_t *batch = owner->batch;

	log_event(LOG_INFO, "commit_late", "shard", log_num(owner->setup.shard),
		  "outcome", outcome, "sequence",
		  log_num((int64_t)owner->sequence), "jobs",
		  log_num(batch->changes->len), "unanswered",
		  log_num(batch->unanswered), "ms",
		  log_num(gh_time_to_ms(clock_boot() - batch->started_at)),
		  NULL);
}

static void batch_free(batch_t *batch)
{
	g_ptr_array_free(batch->strings, TRUE);
	g_array_free(batch->changes, TRUE);
	g_free(batch->chain_value);
	g_free(batch);
}

/*
 * Adds to a commit the deletions of the states of ended jobs whose retention
 * time is over.
 */
static void delete_old_states(fleet_owner_t *owner, batch_t *batch,
			      gh_time_t now)
{
	int64_t ended_before_ms =
		gh_time_to_ms(clock_real()) - owner->setup.ended_retention_ms;
	GPtrArray *ids =
		fleet_jobs_ended_before(owner->setup.jobs, owner->setup.shard,
					ended_before_ms, SWEEP_JOBS_MAX);
	guint i;

	owner->sweep_at = now + SWEEP_PERIOD_USEC;
	for (i = 0; i < ids->len && batch->n < FLEET_ENTRIES_MAX - 1; i++)
		batch_add_entry(batch, FLEET_DELETE,
				fleet_jobs_state_key(ids->pdata[i]), NULL, 0,
				0);
	g_ptr_array_free(ids, TRUE);
}

/*
 * Adds the learned interference to a commit that has other changes, so that
 * it costs no call of its own.
 */
static void save_interference(fleet_owner_t *owner, batch_t *batch,
			      gh_time_t now)
{
	char *text = gh_fleet_interference_format(owner->fleet);

	owner->interference_save_at = now + INTERFERENCE_PERIOD_USEC;
	if (!*text) {
		g_free(text);
		return;
	}
	batch_add_entry(
		batch, FLEET_PUT,
		g_strconcat(owner->progress_prefix, INTERFERENCE_ID, NULL),
		text, 0, 0);
}

static void load_interference(fleet_owner_t *owner)
{
	const char *text =
		g_hash_table_lookup(owner->progress, INTERFERENCE_ID);

	if (text && !gh_fleet_interference_parse(owner->fleet, text))
		log_event(LOG_WARN, "learned_unread", "shard",
			  log_num(owner->setup.shard), "text", text, NULL);
}

/*
 * Whether the commit is to carry the load.  One that begins or ends a
 * long-running job does so at once: many can come within the period, and hosts
 * would place them all by the same load.
 */
static bool load_is_due(const fleet_owner_t *owner, const batch_t *batch,
			gh_time_t now)
{
	gh_shard_load_t load;

	if (now >= owner->load_save_at)
		return true;
	if (!owner->load_saved || !batch->changes->len)
		return false;
	gh_fleet_load(owner->fleet, &load, now);
	return load.long_running.cores_milli !=
		       owner->long_running_saved.cores_milli ||
	       load.long_running.memory_mb !=
		       owner->long_running_saved.memory_mb;
}

/*
 * Adds the shard's load to a commit if it has changed, so that hosts place new
 * jobs by it.  A load that changes beside no job is committed alone.
 */
static void save_load(fleet_owner_t *owner, batch_t *batch, gh_time_t now)
{
	gh_shard_load_t load;
	char *text;

	owner->load_save_at = now + LOAD_PERIOD_USEC;
	gh_fleet_load(owner->fleet, &load, now);
	text = fleet_jobs_load_format(owner->setup.host, &load);
	if (!g_strcmp0(text, owner->load_saved)) {
		g_free(text);
		return;
	}
	g_free(owner->load_saved);
	owner->load_saved = g_strdup(text);
	owner->long_running_saved = load.long_running;
	batch_add_entry(batch, FLEET_PUT,
			fleet_jobs_load_key(owner->setup.shard), text, 0, 0);
}

/*
 * Text of the shard's chain record, unique to each commit: "EPOCH SEQUENCE HOST
 * LEASE", then "grants MS" unless last_grant is 0, "unheard LIST" unless
 * unheard is NULL, and after a release "released MS".
 */
static char *chain_text(const fleet_owner_t *owner, gh_time_t last_grant,
			const char *unheard, gh_time_t now)
{
	GString *text = g_string_new(NULL);

	g_string_printf(text, "%" PRIu64 " %" PRIu64 " %s %" PRIu64,
			owner->epoch, owner->sequence, owner->setup.host,
			owner->lease_id);
	if (last_grant)
		g_string_append_printf(text, CHAIN_GRANTS "%" PRId64,
				       gh_time_to_ms(last_grant - now) + 1);
	if (unheard)
		g_string_append_printf(text, GH_FLEET_UNHEARD "%s", unheard);
	return g_string_free(text, FALSE);
}

/* Last grant that the chain record has to tell; 0: none is ahead. */
static gh_time_t grant_ahead(const fleet_owner_t *owner, gh_time_t now)
{
	return gh_fleet_grant_ahead(owner->fleet, now);
}

/*
 * Whether the chain record tells too little of the grants or what is over.  It
 * tells the time relative to the commit, so the next owner can't see its age.
 */
static bool grants_have_changed(const fleet_owner_t *owner, gh_time_t now)
{
	gh_time_t ahead = grant_ahead(owner, now);

	return ahead > owner->grants_told || (owner->grants_told && !ahead);
}

static void log_fleet_event(void *ctx, const char *event,
			    const gh_task_id_t *task, uint32_t run,
			    const char *worker, const char *reason)
{
	const fleet_owner_t *owner = ctx;
	char task_name[48];

	if (!task) {
		log_event(LOG_INFO, event, "worker", worker, "why", reason,
			  "epoch", log_num((int64_t)owner->epoch), NULL);
		return;
	}
	snprintf(task_name, sizeof(task_name), "%u.%u.%u", task->occurrence,
		 task->step, task->index);
	log_event(LOG_INFO, event, "job", task->job, "task", task_name, "run",
		  log_num(run), "worker", worker, "why", reason, "epoch",
		  log_num((int64_t)owner->epoch), NULL);
}
