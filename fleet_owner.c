/*
 * States of an owner: it claims a shard whose owner record is absent, loads
 * the shard's jobs and workers, then decides, commits and calls the workers
 * until it releases the shard or loses it to another owner.
 */
#include "fleet_owner_private.h"

#include <inttypes.h>
#include <stddef.h>
#include <stdio.h>
#include <string.h>

#include "clock.h"
#include "counter.h"
#include "error.h"
#include "histogram.h"
#include "log.h"

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
/* Max time between two scheduling decisions, also without events. */
#define TICK_PERIOD_USEC (25 * GH_USEC_PER_MSEC)
#define BACKLOG_LOG_PERIOD_USEC GH_USEC_PER_SEC
/* A run that is planned for longer is late. */
#define BACKLOG_LOG_MIN_USEC GH_USEC_PER_SEC
/*
 * In the chain record, before the time of the last grant of a lease, in ms
 * relative to the commit, if the next owner would not wait for it otherwise: a
 * long lease counts as an ordinary one that is granted later.
 */
#define CHAIN_GRANTS " grants "

static void on_timer(void *ctx, gh_time_t now);
static void on_loop_iteration(void *ctx);
static void advance(fleet_owner_t *owner, gh_time_t now);
static void update_counters(fleet_owner_t *owner);
static void set_domains(fleet_owner_t *owner, gh_time_t now);
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
static void clear_shard(fleet_owner_t *owner);
static void send_worker_calls(fleet_owner_t *owner, gh_time_t now);
static void send_orders(fleet_owner_t *owner, bool owner_lease_valid,
			gh_time_t now);
static void on_renewal_reply(void *ctx, const char *worker,
			     gh_order_reply_t reply,
			     const gh_worker_report_t *report);
static void on_order_reply(void *ctx, const gh_order_t *order,
			   gh_order_reply_t reply);
static void log_order(const fleet_owner_t *owner, const char *event,
		      const gh_order_t *order, const char *reason);

fleet_owner_t *fleet_owner_new(const fleet_owner_setup_t *setup)
{
	fleet_owner_t *owner = g_new0(fleet_owner_t, 1);

	owner->setup = *setup;
	owner->own_key = g_strdup_printf("d/own/%u", setup->shard);
	owner->chain_key = g_strdup_printf("c/%u", setup->shard);
	owner->progress_prefix = g_strdup_printf("p/%u/", setup->shard);
	owner->jobs_prefix = g_strdup_printf("w/%u/", setup->shard);
	g_queue_init(&owner->moves);
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
	fleet_owner_end_ownership(owner, "stop");
	loop_timer_remove(owner->setup.loop, &owner->timer);
	g_free(owner->own_key);
	g_free(owner->chain_key);
	g_free(owner->progress_prefix);
	g_free(owner->jobs_prefix);
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
		fleet_owner_end_ownership(
			owner, "another host wrote the owner record");
		return;
	}
	if (!owner->record_absent)
		return;
	if (owner->phase == PHASE_IDLE) {
		owner->claim_delay =
			owner->setup.claim_delay(owner->setup.claim_delay_ctx);
		owner->claim_at =
			MAX(now, owner->leave_until) + owner->claim_delay +
			g_random_int_range(0, (gint32)CLAIM_JITTER_MAX_USEC);
	} else if (owner->phase == PHASE_OWNING) {
		fleet_owner_restore_record(owner);
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

void fleet_owner_domains_changed(fleet_owner_t *owner)
{
	owner->dirty = true;
}

void fleet_owner_job_changed(fleet_owner_t *owner, const char *id,
			     const fleet_job_state_t *state)
{
	bool is_over = state->phase == GH_JOB_CANCELLED;

	if (!owner->fleet)
		return;
	if (g_hash_table_contains(owner->guests, id))
		is_over = state->phase > GH_JOB_RUNNING;
	if (!is_over)
		return;
	gh_fleet_job_cancel(owner->fleet, id, clock_boot());
	owner->dirty = true;
}

void fleet_owner_release(fleet_owner_t *owner)
{
	owner->draining = true;
	owner->handing_over = false;
	/* A shard that is still being loaded is released after that. */
	if (owner->phase == PHASE_OWNING)
		owner->phase = PHASE_RELEASING;
	owner->dirty = true;
}

bool fleet_owner_is_idle(const fleet_owner_t *owner)
{
	return owner->phase == PHASE_IDLE;
}

owner_call_t *fleet_owner_call_new(fleet_owner_t *owner)
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
fleet_owner_t *fleet_owner_call_finish(void *ctx)
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
		fleet_owner_renew_lease(owner, now);
	if (owner->phase == PHASE_LOADING) {
		if (now >= owner->load_retry_at)
			fleet_owner_load_progress_page(owner);
		next = owner->load_retry_at;
	}
	if (owner->phase >= PHASE_LOADING) {
		fleet_owner_take_moves(owner, now);
		next = MIN(next, owner->move_retry_at);
	}
	if (owner->phase >= PHASE_OWNING) {
		if (gh_fleet_fenced(owner->fleet)) {
			fleet_owner_end_ownership(
				owner, "a worker reports a newer epoch");
			return;
		}
		set_domains(owner, now);
		if (owner->phase == PHASE_OWNING) {
			fleet_owner_set_peers(owner, now);
			gh_fleet_tick(owner->fleet, now,
				      gh_time_to_ms(clock_real()));
			send_worker_calls(owner, now);
			fleet_owner_check_handover(owner, now);
		} else if (owner->handing_over) {
			send_worker_calls(owner, now);
		}
		fleet_owner_reread_chain(owner, now);
		if (!owner->batch && now >= owner->commit_at)
			fleet_owner_start_commit(owner, now);
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

/* Passes on which domains are to be emptied and as of when that is known. */
static void set_domains(fleet_owner_t *owner, gh_time_t now)
{
	const fleet_domains_t *domains = owner->setup.domains;
	const char *const *names;
	size_t n;

	if (!domains)
		return;
	if (owner->domains_version != fleet_domains_version(domains)) {
		names = fleet_domains_names(domains, &n);
		gh_fleet_domains_set(owner->fleet, names, n, now);
		owner->domains_version = fleet_domains_version(domains);
	}
	gh_fleet_domains_heard(owner->fleet, fleet_domains_heard_at(domains));
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
		{ CTR_RUN_TIMES, offsetof(gh_fleet_counts_t, run_times) },
		{ CTR_RUN_TIMES_OFF,
		  offsetof(gh_fleet_counts_t, run_times_off) },
		{ CTR_WORKERS_EXAMINED, offsetof(gh_fleet_counts_t, examined) },
		{ CTR_PLACEMENTS_PUT_OFF,
		  offsetof(gh_fleet_counts_t, put_off) },
		{ CTR_JOBS_IDLE, offsetof(gh_fleet_counts_t, idle) },
		{ CTR_TASKS_DEPARTED, offsetof(gh_fleet_counts_t, departed) },
		{ CTR_TASKS_ARRIVED, offsetof(gh_fleet_counts_t, arrived) },
		{ CTR_CHANGES_HASTENED, offsetof(gh_fleet_counts_t, hastened) },
		{ CTR_RUNS_TAKEN_BACK,
		  offsetof(gh_fleet_counts_t, taken_back) },
		{ CTR_STARTS_WITHHELD, offsetof(gh_fleet_counts_t, withheld) },
		{ CTR_MEMORY_SHORT, offsetof(gh_fleet_counts_t, memory_short) },
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
					     on_claim_lease,
					     fleet_owner_call_new(owner));
}

static void on_claim_lease(void *ctx, const fleet_reply_t *reply)
{
	fleet_owner_t *owner = fleet_owner_call_finish(ctx);

	if (!owner)
		return;
	if (reply->result != FLEET_OK) {
		fleet_owner_schedule_claim_retry(owner);
		return;
	}
	owner->lease_id = reply->lease;
	owner->renewed_at = owner->lease_renewed_at = owner->renewal_sent_at;
	owner->setup.store->ops->get(owner->setup.store, FLEET_KEYSPACE_OWN,
				     owner->chain_key, on_claim_chain,
				     fleet_owner_call_new(owner));
}

static void on_claim_chain(void *ctx, const fleet_reply_t *reply)
{
	fleet_owner_t *owner = fleet_owner_call_finish(ctx);

	if (!owner)
		return;
	owner->epoch = 0;
	owner->chain_revision = 0;
	owner->previous_grants_end = owner->grants_told = 0;
	owner->previous_released = false;
	owner->handover = (gh_handover_t){ 0 };
	g_clear_pointer(&owner->previous_unheard, g_free);
	if (reply->result == FLEET_OK && reply->n_items &&
	    reply->items[0].value) {
		owner->chain_revision = reply->items[0].revision;
		parse_chain(owner, reply->items[0].value);
		if (fleet_owner_step_back(owner))
			return;
	} else if (reply->result != FLEET_NOT_FOUND) {
		fleet_owner_schedule_claim_retry(owner);
		return;
	}
	gh_handover_claim(&owner->handover, owner->setup.cores_milli,
			  fleet_owner_capacity(owner), clock_boot());
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
	char *unheard;

	gh_handover_read(&owner->handover, text, clock_boot());
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
	if (owner->previous_unheard_from)
		return;
	unheard = owner->previous_unheard;
	owner->previous_unheard = gh_fleet_unheard_young(unheard);
	owner->previous_unheard_from = clock_boot();
	g_free(unheard);
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
	owner->claim_value =
		fleet_owner_chain_text(owner, owner->grants_told,
				       owner->previous_unheard, clock_boot());
	entries[G_N_ELEMENTS(entries) - 1].value = owner->claim_value;
	owner->claim_sent_at = clock_boot();
	owner->setup.store->ops->commit(owner->setup.store, entries,
					G_N_ELEMENTS(entries), on_claimed,
					fleet_owner_call_new(owner));
}

static void on_claimed(void *ctx, const fleet_reply_t *reply)
{
	fleet_owner_t *owner = fleet_owner_call_finish(ctx);

	if (!owner)
		return;
	if (reply->result == FLEET_OK)
		claim_succeeded(owner, reply->revision);
	else if (reply->result == FLEET_OUTCOME_UNKNOWN)
		owner->setup.store->ops->get(owner->setup.store,
					     FLEET_KEYSPACE_OWN,
					     owner->chain_key, on_claim_reread,
					     fleet_owner_call_new(owner));
	else
		fleet_owner_schedule_claim_retry(owner);
}

/* Handles the chain record that was read after a claim without a reply. */
static void on_claim_reread(void *ctx, const fleet_reply_t *reply)
{
	fleet_owner_t *owner = fleet_owner_call_finish(ctx);

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
		fleet_owner_schedule_claim_retry(owner);
}

static void claim_succeeded(fleet_owner_t *owner, uint64_t revision)
{
	owner->chain_revision = revision;
	fleet_owner_note_record(owner, revision);
	log_event(LOG_INFO, "shard_owned", "shard", log_num(owner->setup.shard),
		  "epoch", log_num((int64_t)owner->epoch), NULL);
	counter_inc(CTR_SHARD_CLAIMED);
	fleet_owner_start_loading(owner);
}

/* Notes that this host has written the owner record. */
void fleet_owner_note_record(fleet_owner_t *owner, uint64_t revision)
{
	owner->record_absent = false;
	owner->record_revision = revision;
	owner->record_seen_at = owner->renewal_sent_at;
	fleet_jobs_note_owner(owner->setup.jobs, owner->setup.shard,
			      owner->setup.host, revision);
}

void fleet_owner_schedule_claim_retry(fleet_owner_t *owner)
{
	owner->phase = PHASE_IDLE;
	fleet_jobs_follow(owner->setup.jobs, owner->setup.shard, false);
	owner->claim_at = clock_boot() + CLAIM_RETRY_DELAY_USEC +
			  g_random_int_range(0, (gint32)CLAIM_JITTER_MAX_USEC);
	owner->timer.at = owner->claim_at;
}

void fleet_owner_end_ownership(fleet_owner_t *owner, const char *reason)
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
	owner->handing_over = false;
	owner->release_grants_end = 0;
	owner->restore_lease_id = 0;
	owner->claim_at = clock_boot() + CLAIM_RETRY_DELAY_USEC;
	owner->timer.at = owner->claim_at;
}

/* Frees what the owner knows of the shard's jobs and its commit in flight. */
static void clear_shard(fleet_owner_t *owner)
{
	g_clear_pointer(&owner->fleet, gh_fleet_free);
	fleet_owner_move_clear(owner);
	g_clear_pointer(&owner->progress, g_hash_table_destroy);
	g_clear_pointer(&owner->last_progress_key, g_free);
	if (owner->parsed_jobs)
		g_ptr_array_set_free_func(owner->parsed_jobs,
					  (GDestroyNotify)gh_pipeline_free);
	g_clear_pointer(&owner->parsed_jobs, g_ptr_array_unref);
	g_clear_pointer(&owner->batch, fleet_owner_batch_free);
	g_clear_pointer(&owner->load_saved, g_free);
}

/* Calls to workers. */

static void send_worker_calls(fleet_owner_t *owner, gh_time_t now)
{
	const fleet_workers_ops_t *ops = owner->setup.workers->ops;
	bool doubtful = fleet_owner_record_is_doubtful(owner, now);
	gh_time_t limit = owner->renewed_at + WORKER_RENEWAL_LIMIT_USEC;
	gh_time_t told = owner->release_grants_end;
	gh_worker_renewal_t renewal;

	/* From the release on, the next owner may have got the shard. */
	if (told)
		limit = MIN(limit, told);
	else
		send_orders(
			owner,
			!doubtful &&
				now < owner->renewed_at +
						gh_time_from_ms(OWNER_LEASE_MS),
			now);
	if (doubtful || now > limit)
		return;
	while (gh_fleet_next_renewal(owner->fleet, &renewal, now)) {
		if (told && gh_fleet_last_grant(owner->fleet) > told) {
			gh_fleet_handle_renewal_failure(
				owner->fleet, renewal.worker,
				renewal.fence_offset, GH_ORDER_OUTCOME_UNKNOWN,
				now);
			continue;
		}
		if (now > owner->renewed_at + 2 * LEASE_RENEWAL_PERIOD_USEC)
			renewal.max_wait_ms =
				MIN(renewal.max_wait_ms,
				    fleet_owner_wait_alone_ms(limit - now));
		ops->renew_lease(owner->setup.workers, &renewal,
				 owner->epoch + renewal.fence_offset,
				 on_renewal_reply, fleet_owner_call_new(owner));
	}
}

static void send_orders(fleet_owner_t *owner, bool owner_lease_valid,
			gh_time_t now)
{
	gh_order_t order;

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
			log_order(owner, "run_start", &order, order.checkpoint);
		else if (order.kind == GH_ORDER_STOP)
			log_order(owner, "stop_sent", &order, NULL);
		owner->setup.workers->ops->send_order(
			owner->setup.workers, &order,
			owner->epoch + order.fence_offset, on_order_reply,
			fleet_owner_call_new(owner));
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
	fleet_owner_t *owner = fleet_owner_call_finish(ctx);
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
		[GH_ORDER_UNSENT] = "unsent",
		[GH_ORDER_INVALID] = "invalid",
		[GH_ORDER_OTHER_INCARNATION] = "other_life",
		[GH_ORDER_OVERTAKEN] = "overtaken",
		[GH_ORDER_LATER_LIFE] = "later_life",
		[GH_ORDER_OUTCOME_UNKNOWN] = "unanswered",
	};
	gh_time_t sent_at = ((const owner_call_t *)ctx)->sent_at;
	fleet_owner_t *owner = fleet_owner_call_finish(ctx);

	histogram_add(HIST_ORDER, clock_boot() - sent_at);
	if (!owner || !owner->fleet)
		return;
	if (reply != GH_ORDER_OK)
		log_order(owner, "order_failed", order, reply_names[reply]);
	gh_fleet_handle_reply(owner->fleet, order, reply, clock_boot());
	owner->dirty = true;
}

/*
 * Text of the shard's chain record, unique to each commit: "EPOCH SEQUENCE HOST
 * LEASE", then "grants MS" unless last_grant is 0, "unheard LIST" unless
 * unheard is NULL, what gh_handover_tell() adds, and after a release "released
 * MS".
 */
char *fleet_owner_chain_text(const fleet_owner_t *owner, gh_time_t last_grant,
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
	gh_handover_tell(&owner->handover, text, now);
	return g_string_free(text, FALSE);
}

void fleet_owner_log_decision(void *ctx, const char *event,
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

static void log_order(const fleet_owner_t *owner, const char *event,
		      const gh_order_t *order, const char *reason)
{
	char task_name[48];

	snprintf(task_name, sizeof(task_name), "%u.%u.%u",
		 order->task.occurrence, order->task.step, order->task.index);
	log_event(LOG_INFO, event, "job", order->task.job, "task", task_name,
		  "run", log_num(order->run), "worker", order->worker, "life",
		  log_num(order->incarnation_start_ms), "replied_life",
		  log_num(order->replied_start_ms), "why", reason, "epoch",
		  log_num((int64_t)owner->epoch), NULL);
}
