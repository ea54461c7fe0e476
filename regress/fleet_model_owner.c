/*
 * Store of the fleet model, and the hosts: what fleet_owner.c does around the
 * fleet, with the same times.
 */
#include <inttypes.h>
#include <string.h>

#include "fleet_model_private.h"

#define OWNER_LEASE_MS 1500
#define RENEWAL_PERIOD_MS 300
#define WORKER_RENEWAL_LIMIT_MS 2500
#define WORKER_WAIT_ALONE_MS 250
#define TICK_MS 25
#define COMMIT_INTERVAL_MS 6
#define RETRY_MS 60
#define CLAIM_RETRY_MS 200
#define CLAIM_JITTER_MS 100
#define STORE_TIMEOUT_MS 1200
#define CHANGES_MAX 8
#define RELEASED " released "
#define GRANTS " grants "
#define HIT_PERCENT 50
/* Policy of each queue; their priorities differ. */
#define QUEUE_ATTEMPTS 3
#define QUEUE_STRETCH_MILLI 2000
#define QUEUE_TARGET_MS 500

typedef struct host_event {
	host_t *host;
	uint32_t boot;
} host_event_t;

typedef struct notice {
	host_t *host;
	uint32_t boot;
	model_entry_t *entry;
	model_job_t *job;
} notice_t;

static void on_store_arrival(model_t *m, void *data);
static void on_store_timeout(model_t *m, void *data);
static void on_store_reply(model_t *m, void *data);
static void store_execute(model_t *m, store_call_t *call);
static void execute_lease(model_t *m, store_call_t *call);
static bool lease_is_alive(const model_t *m, uint64_t id);
static void on_store_lease_end(model_t *m, void *data);
static void execute_claim(model_t *m, store_call_t *call);
static void execute_commit(model_t *m, store_call_t *call);
static void set_conflict(store_call_t *call);
static model_chain_t *chain_of(const host_t *h);
static void tell_hosts(model_t *m, uint32_t shard, model_entry_t *entry,
		       model_job_t *job);
static void post_notice(model_t *m, host_t *h, model_entry_t *entry,
			model_job_t *job);
static void on_notice(model_t *m, void *data);
static void host_record_changed(host_t *h);
static void on_host_tick(model_t *m, void *data);
static void on_host_advance(model_t *m, void *data);
static void host_advance(host_t *h);
static store_call_t *host_call_store(host_t *h, store_kind_t kind);
static void host_claim(host_t *h);
static void claim_chain_read(host_t *h, const store_call_t *call);
static void claim_retry(host_t *h);
static void claim_succeeded(host_t *h, uint64_t revision);
static void set_queues(host_t *h);
static void host_load(host_t *h);
static void finish_loading(host_t *h);
static void add_job(host_t *h, model_job_t *job, bool with_progress);
static void host_renew(host_t *h);
static void lease_renewed(host_t *h, const store_call_t *call);
static void host_restore(host_t *h);
static void record_restored(host_t *h, const store_call_t *call);
static void host_call_workers(host_t *h);
static void send_order(host_t *h, const gh_order_t *order);
static void send_renewal(host_t *h, const gh_worker_renewal_t *renewal);
static void host_commit(host_t *h);
static void batch_send(host_t *h, const store_call_t *batch);
static void batch_reply(host_t *h, const store_call_t *call);
static void batch_reread(host_t *h, const store_call_t *call);
static void batch_committed(host_t *h, uint64_t revision);
static void batch_failed(host_t *h);
static void host_end_ownership(host_t *h, const char *why);
static const char *chain_text(const host_t *h, gh_time_t last_grant,
			      const char *unheard);
static void read_grants(host_t *h, const char *chain);
static void log_fleet(void *ctx, const char *event, const gh_task_id_t *task,
		      uint32_t run, const char *worker, const char *detail);

/* Store. */

void store_call_send(model_t *m, store_call_t *call)
{
	const model_store_t *store = &m->store;
	gh_time_t delay = model_random_ms(m, 1, 8);

	call->sent_at = m->now;
	call->loses_reply = m->now < store->loses_replies_until &&
			    model_chance(m, HIT_PERCENT);
	if (m->now < store->late_until && model_chance(m, HIT_PERCENT)) {
		call->loses_reply = true;
		delay = model_random_ms(m, 300, 12000);
	}
	call->times_out_at = m->now + gh_time_from_ms(STORE_TIMEOUT_MS);
	model_post(m, m->now + delay, on_store_arrival, call);
	model_post(m, call->times_out_at, on_store_timeout, call);
}

static void on_store_timeout(model_t *m, void *data)
{
	store_call_t *call = data;

	if (call->finished ||
	    !host_is_ready(m, call->host, call->boot, on_store_timeout, call))
		return;
	call->finished = true;
	call->result = STORE_UNKNOWN;
	host_on_store_reply(call->host, call);
}

static void on_store_arrival(model_t *m, void *data)
{
	store_call_t *call = data;

	if (m->now < call->host->store_cut_until) {
		if (!call->host->store_refuses)
			return;
		call->result = STORE_REFUSED;
	} else if (m->now < m->store.down_until) {
		/* Refused, or never heard of. */
		if (model_chance(m, 50))
			return;
		call->result = STORE_REFUSED;
	} else {
		store_execute(m, call);
	}
	if (!call->loses_reply)
		model_post(m, m->now + model_random_ms(m, 1, 8), on_store_reply,
			   call);
}

static void on_store_reply(model_t *m, void *data)
{
	store_call_t *call = data;

	if (call->finished ||
	    (m->now < call->host->store_cut_until &&
	     !call->host->store_refuses) ||
	    !host_is_ready(m, call->host, call->boot, on_store_reply, call))
		return;
	/* After a freeze, the time limit can come first. */
	if (m->now > call->times_out_at && model_chance(m, 50))
		return;
	call->finished = true;
	host_on_store_reply(call->host, call);
}

static void store_execute(model_t *m, store_call_t *call)
{
	call->result = STORE_OK;
	switch (call->kind) {
	case STORE_GRANT:
	case STORE_RENEW:
		execute_lease(m, call);
		break;
	case STORE_CLAIM:
	case STORE_RESTORE:
		execute_claim(m, call);
		break;
	case STORE_COMMIT:
		execute_commit(m, call);
		break;
	case STORE_GET_CHAIN:
		if (!chain_of(call->host)->text)
			call->result = STORE_NOT_FOUND;
		set_conflict(call);
		break;
	case STORE_LOAD:
		break;
	}
}

/* The present records, as a conflict or a read returns them. */
static void set_conflict(store_call_t *call)
{
	const model_chain_t *chain = chain_of(call->host);

	call->chain_now = chain->text;
	call->chain_revision_now = chain->revision;
	call->owner_now = chain->owner;
	call->record_revision_now = chain->record_revision;
}

static model_chain_t *chain_of(const host_t *h)
{
	return &h->m->store.chains[h->shard];
}

static void execute_lease(model_t *m, store_call_t *call)
{
	GArray *leases = m->store.leases;
	gh_time_t ends_at = m->now + gh_time_from_ms(OWNER_LEASE_MS);
	uint64_t *id;

	if (call->kind == STORE_GRANT) {
		store_lease_t lease = { .ends_at = ends_at };

		g_array_append_val(leases, lease);
		call->lease = leases->len;
	} else if (!lease_is_alive(m, call->lease)) {
		call->result = STORE_NOT_FOUND;
		return;
	}
	g_array_index(leases, store_lease_t, call->lease - 1).ends_at = ends_at;
	id = model_alloc(m, sizeof(*id));
	*id = call->lease;
	model_post(m, ends_at, on_store_lease_end, id);
}

static bool lease_is_alive(const model_t *m, uint64_t id)
{
	return id &&
	       !g_array_index(m->store.leases, store_lease_t, id - 1).ended;
}

static void on_store_lease_end(model_t *m, void *data)
{
	uint64_t id = *(const uint64_t *)data;
	store_lease_t *lease =
		&g_array_index(m->store.leases, store_lease_t, id - 1);
	uint32_t i;

	if (lease->ended || m->now < lease->ends_at)
		return;
	lease->ended = true;
	for (i = 0; i < m->n_shards; i++)
		if (m->store.chains[i].owner != MODEL_NONE &&
		    m->store.chains[i].record_lease == id)
			store_delete_record(m, i);
}

void store_delete_record(model_t *m, uint32_t shard)
{
	model_chain_t *chain = &m->store.chains[shard];

	if (chain->owner == MODEL_NONE)
		return;
	model_log(m, NULL, "owner record of host %u is gone", chain->owner);
	chain->owner = MODEL_NONE;
	m->store.revision++;
	hosts_record_changed(m, shard);
}

void store_go_down(model_t *m, gh_time_t until)
{
	/* The end of a store that is down already moves. */
	gh_time_t from = m->options->quiet_ms ?
				 MAX(m->now, m->store.down_until) :
				 m->now;
	guint i;

	m->store.down_until = until;
	if (!m->store.leases_pause)
		return;
	for (i = 0; i < m->store.leases->len; i++) {
		store_lease_t *lease =
			&g_array_index(m->store.leases, store_lease_t, i);
		uint64_t *id;

		if (lease->ended)
			continue;
		lease->ends_at += until - from;
		id = model_alloc(m, sizeof(*id));
		*id = i + 1;
		model_post(m, lease->ends_at, on_store_lease_end, id);
	}
}

/* A claim changes the owner record and the chain; a restore only the record. */
static void execute_claim(model_t *m, store_call_t *call)
{
	model_store_t *store = &m->store;
	model_chain_t *chain = chain_of(call->host);

	if (chain->owner != MODEL_NONE ||
	    chain->revision != call->chain_revision) {
		call->result = STORE_CONFLICT;
		set_conflict(call);
		return;
	}
	if (!lease_is_alive(m, call->lease)) {
		call->result = STORE_NOT_FOUND;
		return;
	}
	store->revision++;
	chain->owner = call->host->index;
	chain->record_lease = call->lease;
	chain->record_revision = call->revision = store->revision;
	if (call->kind == STORE_CLAIM) {
		chain->text = call->chain_text;
		chain->revision = store->revision;
	}
	model_log(m, NULL, "host %u %s: %s", call->host->index,
		  call->kind == STORE_CLAIM ? "claims" : "restores",
		  chain->text);
	hosts_record_changed(m, call->host->shard);
}

static void execute_commit(model_t *m, store_call_t *call)
{
	model_store_t *store = &m->store;
	model_chain_t *chain = chain_of(call->host);
	bool cancelled = false;
	size_t i;

	for (i = 0; i < call->n_changes; i++)
		cancelled |= call->changes[i].phase_changed &&
			     call->changes[i].phase != GH_JOB_CANCELLED &&
			     !call->changes[i].cancel_heard &&
			     call->changes[i].job->cancelled;
	if (m->n_shards > 1)
		cancelled = false;
	for (i = 0; i < call->n_changes; i++)
		cancelled |= model_move_conflicts(&call->changes[i]);
	if (cancelled || chain->revision != call->chain_revision) {
		call->result = STORE_CONFLICT;
		set_conflict(call);
		return;
	}
	store->revision++;
	chain->text = call->chain_text;
	chain->revision = call->revision = store->revision;
	for (i = 0; i < call->n_changes; i++)
		model_move_execute(m, call->host, &call->changes[i],
				   store->revision);
	if (!call->releases)
		return;
	model_log(m, NULL, "host %u releases: %s", call->host->index,
		  chain->text);
	store_delete_record(m, call->host->shard);
}

/* What hosts hear of the store's changes, some time later. */

void hosts_record_changed(model_t *m, uint32_t shard)
{
	tell_hosts(m, shard, NULL, NULL);
}

void hosts_entry_changed(model_t *m, model_entry_t *entry)
{
	tell_hosts(m, entry->shard, entry, NULL);
}

void hosts_job_changed(model_t *m, model_job_t *job)
{
	tell_hosts(m, job->home, NULL, job);
}

static void tell_hosts(model_t *m, uint32_t shard, model_entry_t *entry,
		       model_job_t *job)
{
	uint32_t i;

	for (i = 0; i < m->n_hosts; i++)
		if (m->hosts[i].shard == shard)
			post_notice(m, &m->hosts[i], entry, job);
}

static void post_notice(model_t *m, host_t *h, model_entry_t *entry,
			model_job_t *job)
{
	notice_t *notice = model_alloc(m, sizeof(*notice));
	int64_t lag_ms = model_chance(m, 10) ? 800 : 30;

	*notice = (notice_t){
		.host = h, .boot = h->boot, .entry = entry, .job = job
	};
	model_post(m, m->now + model_random_ms(m, 1, lag_ms), on_notice,
		   notice);
}

static void on_notice(model_t *m, void *data)
{
	notice_t *notice = data;
	host_t *h = notice->host;
	gh_time_t silent_until = MAX(h->store_cut_until, m->store.down_until);
	const model_entry_t *entry = notice->entry;

	if (h->boot != notice->boot || !h->up)
		return;
	if (m->now < silent_until) {
		model_post(m, silent_until + model_random_ms(m, 1, 300),
			   on_notice, notice);
		return;
	}
	if (!host_is_ready(m, h, notice->boot, on_notice, notice))
		return;
	if (!entry && !notice->job) {
		host_record_changed(h);
	} else if (h->fleet && h->phase >= HOST_OWNING) {
		if (entry && entry->exists && !entry->unreadable)
			gh_fleet_worker_set(h->fleet, &entry->value, m->now);
		else if (entry)
			gh_fleet_worker_unlist(h->fleet, entry->id);
		else
			add_job(h, notice->job, false);
	}
	host_post_advance(h);
}

/* Hosts. */

bool host_is_ready(model_t *m, const host_t *h, uint32_t boot, model_work_t run,
		   void *data)
{
	if (!h->up || h->boot != boot)
		return false;
	if (m->now >= h->frozen_until)
		return true;
	model_post(m, h->frozen_until, run, data);
	return false;
}

void host_boot(host_t *h)
{
	host_event_t *event = model_alloc(h->m, sizeof(*event));

	h->up = true;
	h->boot++;
	h->draining = false;
	h->frozen_until = 0;
	h->advance_posted = false;
	h->phase = HOST_IDLE;
	h->record_absent = chain_of(h)->owner == MODEL_NONE;
	h->heard = (gh_heard_t){ 0 };
	gh_heard_note(&h->heard, h->m->store.revision, h->m->now);
	h->claim_at = h->m->now + model_random_ms(h->m, 1, CLAIM_JITTER_MS);
	h->clocks = platform_clocks_new();
	memset(h->connections, 0, sizeof(h->connections));
	model_move_boot(h);
	model_domain_boot(h);
	*event = (host_event_t){ .host = h, .boot = h->boot };
	model_post(h->m, h->m->now, on_host_tick, event);
}

static void clear_clocks(host_t *h)
{
	if (h->clocks)
		platform_clocks_free(h->clocks);
	h->clocks = NULL;
}

void host_kill(host_t *h)
{
	if (!h->up)
		return;
	model_log(h->m, NULL, "host %u is killed", h->index);
	host_end_ownership(h, "killed");
	h->up = false;
	clear_clocks(h);
}

void host_release(host_t *h)
{
	h->draining = true;
	if (h->phase == HOST_OWNING)
		h->phase = HOST_RELEASING;
}

void hosts_free(model_t *m)
{
	uint32_t i;

	for (i = 0; i < m->n_hosts; i++) {
		host_end_ownership(&m->hosts[i], "end");
		clear_clocks(&m->hosts[i]);
	}
}

static void on_host_tick(model_t *m, void *data)
{
	host_event_t *event = data;
	host_t *h = event->host;

	if (!host_is_ready(m, h, event->boot, on_host_tick, event))
		return;
	host_post_advance(h);
	model_post(m, m->now + gh_time_from_ms(TICK_MS), on_host_tick, event);
}

/* A host advances once it has handled all that has arrived. */
void host_post_advance(host_t *h)
{
	host_event_t *event;

	if (h->advance_posted)
		return;
	h->advance_posted = true;
	event = model_alloc(h->m, sizeof(*event));
	*event = (host_event_t){ .host = h, .boot = h->boot };
	model_post(h->m, h->m->now + 1, on_host_advance, event);
}

static void on_host_advance(model_t *m, void *data)
{
	host_event_t *event = data;

	if (!host_is_ready(m, event->host, event->boot, on_host_advance, event))
		return;
	event->host->advance_posted = false;
	host_advance(event->host);
}

static void host_advance(host_t *h)
{
	gh_time_t now = h->m->now;

	if (h->phase == HOST_IDLE && h->record_absent && !h->draining &&
	    now >= h->claim_at)
		host_claim(h);
	if (h->phase >= HOST_LOADING)
		host_renew(h);
	if (h->phase == HOST_LOADING && now >= h->load_at)
		host_load(h);
	if (h->phase < HOST_OWNING)
		return;
	if (gh_fleet_fenced(h->fleet)) {
		host_end_ownership(h, "a worker reports a newer epoch");
		return;
	}
	if (h->phase == HOST_OWNING) {
		gh_fleet_tick(h->fleet, now, gh_time_to_ms(now));
		host_call_workers(h);
	}
	if (h->batch && now >= h->reread_at) {
		h->reread_at = GH_TIME_NEVER;
		store_call_send(h->m, host_call_store(h, STORE_GET_CHAIN));
	}
	if (!h->batch && now >= h->commit_at)
		host_commit(h);
}

static void host_record_changed(host_t *h)
{
	gh_time_t now = h->m->now;

	h->record_absent = chain_of(h)->owner == MODEL_NONE;
	gh_heard_note(&h->heard, h->m->store.revision, now);
	if (!h->record_absent)
		return;
	if (h->phase == HOST_IDLE)
		h->claim_at = now + model_random_ms(h->m, 0, CLAIM_JITTER_MS);
	else if (h->phase == HOST_OWNING)
		host_restore(h);
}

static store_call_t *host_call_store(host_t *h, store_kind_t kind)
{
	store_call_t *call = model_alloc(h->m, sizeof(*call));

	*call = (store_call_t){ .kind = kind,
				.host = h,
				.boot = h->boot,
				.generation = h->generation,
				.lease = h->lease,
				.chain_revision = h->chain_revision };
	return call;
}

void host_on_store_reply(host_t *h, store_call_t *call)
{
	if (call->generation != h->generation)
		return;
	switch (call->kind) {
	case STORE_GRANT:
		if (h->phase == HOST_CLAIMING && call->result == STORE_OK) {
			h->lease = call->lease;
			h->renewed_at = h->renewal_sent_at;
			store_call_send(h->m,
					host_call_store(h, STORE_GET_CHAIN));
		} else if (h->phase == HOST_CLAIMING) {
			claim_retry(h);
		} else if (call->result == STORE_OK) {
			h->restore_lease = call->lease;
			h->restoring = false;
			host_restore(h);
		} else {
			h->restoring = false;
		}
		break;
	case STORE_GET_CHAIN:
		if (h->phase == HOST_CLAIMING)
			claim_chain_read(h, call);
		else
			batch_reread(h, call);
		break;
	case STORE_CLAIM:
		if (call->result == STORE_OK)
			claim_succeeded(h, call->revision);
		else if (call->result == STORE_UNKNOWN)
			store_call_send(h->m,
					host_call_store(h, STORE_GET_CHAIN));
		else
			claim_retry(h);
		break;
	case STORE_RENEW:
		lease_renewed(h, call);
		break;
	case STORE_RESTORE:
		record_restored(h, call);
		break;
	case STORE_COMMIT:
		batch_reply(h, call);
		break;
	case STORE_LOAD:
		if (call->result == STORE_OK)
			finish_loading(h);
		else
			h->load_at = h->m->now + gh_time_from_ms(RETRY_MS);
		break;
	}
	host_post_advance(h);
}

/* Claim and load. */

static void host_claim(host_t *h)
{
	h->phase = HOST_CLAIMING;
	h->generation++;
	h->epoch = 0;
	h->renewal_sent_at = h->m->now;
	store_call_send(h->m, host_call_store(h, STORE_GRANT));
}

/* Reads the chain before the claim, or after a claim without a reply. */
static void claim_chain_read(host_t *h, const store_call_t *call)
{
	store_call_t *claim;

	if (h->epoch) {
		if (call->result == STORE_OK &&
		    !strcmp(call->chain_now, h->claim_text))
			claim_succeeded(h, call->chain_revision_now);
		else
			claim_retry(h);
		return;
	}
	if (call->result != STORE_OK && call->result != STORE_NOT_FOUND) {
		claim_retry(h);
		return;
	}
	h->previous_grants_end = 0;
	h->previous_released = false;
	h->previous_unheard = NULL;
	h->chain_revision = 0;
	if (call->result == STORE_OK) {
		h->chain_revision = call->chain_revision_now;
		h->epoch = g_ascii_strtoull(call->chain_now, NULL, 10);
		read_grants(h, call->chain_now);
	}
	h->grants_told =
		h->previous_grants_end > h->m->now ? h->previous_grants_end : 0;
	h->epoch += GH_FLEET_EPOCH_STEP;
	h->sequence = 0;
	h->claim_sent_at = h->m->now;
	claim = host_call_store(h, STORE_CLAIM);
	claim->chain_text = h->claim_text =
		chain_text(h, h->grants_told, h->previous_unheard);
	store_call_send(h->m, claim);
}

/* Reads what the chain tells of the previous owner's grants of leases. */
static void read_grants(host_t *h, const char *chain)
{
	const char *released = strstr(chain, RELEASED);
	const char *grants = strstr(chain, GRANTS);
	const char *ms = NULL;
	uint64_t claim;
	char *unheard = gh_fleet_unheard_find(chain, &claim);

	if (unheard) {
		char *young = gh_fleet_unheard_young(unheard);

		h->previous_unheard_from = gh_heard_at(&h->heard, claim);
		if (h->previous_unheard_from)
			h->previous_unheard = model_strdup(h->m, unheard);
		else if (young)
			h->previous_unheard = model_strdup(h->m, young);
		if (!h->previous_unheard_from)
			h->previous_unheard_from = h->m->now;
		g_free(young);
		g_free(unheard);
	}
	if (released)
		ms = released + strlen(RELEASED);
	else if (grants)
		ms = grants + strlen(GRANTS);
	h->previous_released = released;
	if (ms)
		h->previous_grants_end =
			h->m->now +
			gh_time_from_ms(g_ascii_strtoll(ms, NULL, 10));
}

static void claim_retry(host_t *h)
{
	h->phase = HOST_IDLE;
	h->claim_at = h->m->now + gh_time_from_ms(CLAIM_RETRY_MS) +
		      model_random_ms(h->m, 0, CLAIM_JITTER_MS);
}

static void claim_succeeded(host_t *h, uint64_t revision)
{
	gh_time_t now = h->m->now;
	gh_fleet_sink_t sink = { .on_event = log_fleet, .ctx = h };
	gh_fleet_setup_t setup = {
		.lease_ms = MODEL_LEASE_MS,
		.lease_max_ms = MODEL_LEASE_MAX_MS,
		.first_owner = !h->chain_revision,
		.told_grants_end = h->previous_grants_end,
		.previous_grants_end =
			h->previous_released ?
				h->previous_grants_end :
				MAX(h->previous_grants_end,
				    now + gh_time_from_ms(
						  WORKER_RENEWAL_LIMIT_MS)),
		.previous_unheard = h->previous_unheard,
		.previous_unheard_from = h->previous_unheard_from,
		.claim_revision = revision,
		.claimed_at = h->claim_sent_at,
		.stop_ms = MODEL_STOP_MS,
		.empty_ms = model_domain_empty_ms(h->m),
		.shard = h->shard,
		.shards = h->m->n_shards,
	};

	h->m->result->owners++;
	h->chain_revision = revision;
	gh_heard_note(&h->heard, revision, now);
	h->record_revision = revision;
	h->record_absent = false;
	h->phase = HOST_LOADING;
	h->renew_at = now;
	h->load_at = now;
	h->fleet = gh_fleet_new(&setup, &sink, now);
	set_queues(h);
	model_log(h->m, NULL, "host %u owns the shard, epoch %d", h->index,
		  (int)h->epoch);
}

static void set_queues(host_t *h)
{
	uint32_t i;

	for (i = 0; i < h->m->options->queues; i++) {
		gh_queue_policy_t policy = {
			.priority = i,
			.attempts = QUEUE_ATTEMPTS,
			.stretch_milli = QUEUE_STRETCH_MILLI,
			.target_ms = QUEUE_TARGET_MS,
		};

		model_queue_name(i, policy.name);
		gh_fleet_queue_set(h->fleet, &policy);
	}
}

static void host_load(host_t *h)
{
	h->load_at = GH_TIME_NEVER;
	store_call_send(h->m, host_call_store(h, STORE_LOAD));
}

static void finish_loading(host_t *h)
{
	model_t *m = h->m;
	guint i;

	for (i = 0; i < m->jobs->len; i++) {
		model_job_t *job = m->jobs->pdata[i];

		if (job->home == h->shard)
			add_job(h, job, true);
	}
	model_move_load(h);
	for (i = 0; i < m->entries->len; i++) {
		const model_entry_t *entry = m->entries->pdata[i];

		if (entry->shard == h->shard && entry->exists &&
		    !entry->unreadable)
			gh_fleet_worker_set(h->fleet, &entry->value, m->now);
	}
	model_domain_load(h);
	h->phase = h->draining ? HOST_RELEASING : HOST_OWNING;
	h->commit_at = 0;
	h->reread_at = GH_TIME_NEVER;
}

static void add_job(host_t *h, model_job_t *job, bool with_progress)
{
	if (job->exists && !gh_fleet_has_job(h->fleet, job->pipeline->id))
		gh_fleet_job_add(h->fleet, gh_pipeline_parse(job->text, NULL),
				 with_progress ? job->parts[h->shard].progress :
						 NULL,
				 NULL);
	model_move_presume(h, job);
	if (!job->cancelled)
		return;
	job->cancel_heard |= 1u << h->index;
	gh_fleet_job_cancel(h->fleet, job->pipeline->id, h->m->now);
}

static void host_end_ownership(host_t *h, const char *why)
{
	if (h->phase >= HOST_LOADING)
		model_log(h->m, NULL, "host %u gives up epoch %d: %s", h->index,
			  (int)h->epoch, why);
	h->generation++;
	h->phase = HOST_IDLE;
	gh_fleet_free(h->fleet);
	h->fleet = NULL;
	h->batch = NULL;
	h->record_lost = h->restoring = false;
	h->restore_lease = 0;
	h->claim_at = h->m->now + gh_time_from_ms(CLAIM_RETRY_MS);
}

/* The lease of the owner record. */

static void host_renew(host_t *h)
{
	if (h->restoring || h->m->now < h->renew_at)
		return;
	h->renew_at = h->m->now + gh_time_from_ms(RENEWAL_PERIOD_MS);
	if (h->record_lost)
		host_restore(h);
	else
		store_call_send(h->m, host_call_store(h, STORE_RENEW));
}

static void lease_renewed(host_t *h, const store_call_t *call)
{
	if (call->sent_at <= h->renewed_at)
		return;
	if (call->result == STORE_OK && !h->record_lost)
		h->renewed_at = call->sent_at;
	else if (call->result == STORE_NOT_FOUND)
		host_restore(h);
}

static void host_restore(host_t *h)
{
	store_call_t *call;

	h->record_lost = true;
	if (h->restoring)
		return;
	h->restoring = true;
	if (!h->restore_lease) {
		h->renewal_sent_at = h->m->now;
		store_call_send(h->m, host_call_store(h, STORE_GRANT));
		return;
	}
	call = host_call_store(h, STORE_RESTORE);
	call->lease = h->restore_lease;
	store_call_send(h->m, call);
}

static void restore_succeeded(host_t *h, uint64_t revision)
{
	h->record_lost = false;
	h->lease = h->restore_lease;
	h->restore_lease = 0;
	h->renewed_at = h->renewal_sent_at;
	h->record_revision = revision;
}

static void record_restored(host_t *h, const store_call_t *call)
{
	h->restoring = false;
	h->renew_at = h->m->now + gh_time_from_ms(RETRY_MS);
	if (call->result == STORE_OK) {
		restore_succeeded(h, call->revision);
	} else if (call->result == STORE_NOT_FOUND) {
		h->restore_lease = 0;
	} else if (call->result == STORE_CONFLICT &&
		   call->owner_now != MODEL_NONE) {
		if (call->owner_now != h->index) {
			host_end_ownership(h, "another host wrote the record");
		} else if (call->record_revision_now == h->record_revision) {
			h->record_lost = false;
			h->restore_lease = 0;
		} else {
			restore_succeeded(h, call->record_revision_now);
			h->renew_at = h->m->now;
		}
	} else if (call->result == STORE_CONFLICT && !h->batch &&
		   call->chain_revision_now != h->chain_revision) {
		host_end_ownership(h, "another owner took over");
	}
}

/* Calls to workers. */

static void host_call_workers(host_t *h)
{
	gh_time_t now = h->m->now;
	bool lease_valid =
		now < h->renewed_at + gh_time_from_ms(OWNER_LEASE_MS);
	gh_worker_renewal_t renewal;
	gh_order_t order;

	while (gh_fleet_next_order(h->fleet, &order, now)) {
		if (order.kind != GH_ORDER_START || lease_valid) {
			send_order(h, &order);
			continue;
		}
		gh_fleet_handle_reply(h->fleet, &order,
				      GH_ORDER_OUTCOME_UNKNOWN, now);
	}
	if (now > h->renewed_at + gh_time_from_ms(WORKER_RENEWAL_LIMIT_MS))
		return;
	while (gh_fleet_next_renewal(h->fleet, &renewal, now)) {
		if (now >
		    h->renewed_at + 2 * gh_time_from_ms(RENEWAL_PERIOD_MS))
			renewal.max_wait_ms =
				MIN(renewal.max_wait_ms, WORKER_WAIT_ALONE_MS);
		send_renewal(h, &renewal);
	}
}

static worker_call_t *new_worker_call(host_t *h, const char *worker,
				      const char *address)
{
	worker_call_t *call = model_alloc(h->m, sizeof(*call));
	const char *port = strchr(address, ':');

	*call = (worker_call_t){ .host = h,
				 .boot = h->boot,
				 .generation = h->generation,
				 .slot = MODEL_NONE,
				 .epoch = h->epoch };
	if (port)
		call->slot = (uint32_t)g_ascii_strtoull(port + 1, NULL, 10) - 1;
	g_strlcpy(call->worker, worker, sizeof(call->worker));
	return call;
}

static void send_order(host_t *h, const gh_order_t *order)
{
	worker_call_t *call = new_worker_call(h, order->worker, order->address);

	call->kind = (call_kind_t)order->kind;
	call->epoch += order->fence_offset;
	call->task = order->task;
	call->run = order->run;
	call->names = order->incarnation_start_ms;
	if (order->kind == GH_ORDER_START)
		call->deadline_ms = platform_clocks_deadline(
			h->clocks, order->worker, order->incarnation_start_ms,
			order->lease_until, h->m->now);
	if (order->kind != GH_ORDER_PACE)
		model_log(h->m, &order->task,
			  "host %u sends %s of run %u to %s, start %d, lease "
			  "for %d ms, deadline %d",
			  h->index,
			  order->kind == GH_ORDER_START ? "start" : "stop",
			  order->run, order->worker,
			  (int)order->incarnation_start_ms,
			  (int)gh_time_to_ms(order->lease_until - h->m->now),
			  (int)call->deadline_ms);
	model_connection_send(h->m, call);
}

static void send_renewal(host_t *h, const gh_worker_renewal_t *renewal)
{
	worker_call_t *call =
		new_worker_call(h, renewal->worker, renewal->address);

	call->kind = CALL_RENEWAL;
	call->epoch += renewal->fence_offset;
	call->max_wait_ms = renewal->max_wait_ms;
	call->acked_end = renewal->acked_end;
	if (renewal->lease_until)
		call->deadline_ms = platform_clocks_deadline(
			h->clocks, renewal->worker,
			renewal->incarnation_start_ms, renewal->lease_until,
			h->m->now);
	call->names = renewal->incarnation_start_ms;
	model_connection_send(h->m, call);
}

void host_on_worker_reply(host_t *h, worker_call_t *call)
{
	gh_time_t now = h->m->now;
	uint32_t fence_offset;

	if (call->kind == CALL_RENEWAL && call->reply == GH_ORDER_OK)
		platform_clocks_set(h->clocks, call->worker,
				    call->report.incarnation_start_ms,
				    call->clock_ms, now);
	else if (call->kind != CALL_RENEWAL && call->clock_ms &&
		 call->reply != GH_ORDER_OUTCOME_UNKNOWN &&
		 call->reply != GH_ORDER_LATER_LIFE)
		platform_clocks_update(h->clocks, call->worker, call->clock_ms,
				       now);
	if (call->generation != h->generation || !h->fleet)
		return;
	fence_offset = (uint32_t)(call->epoch - h->epoch);
	call->report.fence_offset = fence_offset;
	call->report.clock_ms = call->clock_ms;
	if (call->kind != CALL_RENEWAL)
		gh_fleet_handle_reply(
			h->fleet,
			&(gh_order_t){ .kind = (gh_order_kind_t)call->kind,
				       .worker = call->worker,
				       .fence_offset = fence_offset,
				       .task = call->task,
				       .run = call->run,
				       .replied_start_ms =
					       call->replied_start_ms },
			call->reply, now);
	else if (call->reply == GH_ORDER_OK)
		gh_fleet_handle_report(h->fleet, call->worker, &call->report,
				       now);
	else
		gh_fleet_handle_renewal_failure(h->fleet, call->worker,
						fence_offset, call->reply, now);
	host_post_advance(h);
}

/* Commits. */

static void host_commit(host_t *h)
{
	gh_time_t ahead = gh_fleet_grant_ahead(h->fleet, h->m->now);
	gh_fleet_change_t change;
	store_call_t *batch;
	char *unheard;

	if (h->phase == HOST_RELEASING)
		gh_fleet_end_unsent(h->fleet, false, h->m->now);
	if (!gh_fleet_has_changes(h->fleet) && h->phase != HOST_RELEASING &&
	    ahead <= h->grants_told && (ahead || !h->grants_told) &&
	    !gh_fleet_unheard_is_due(h->fleet, h->m->now))
		return;
	h->sequence++;
	batch = host_call_store(h, STORE_COMMIT);
	unheard = gh_fleet_unheard_tell(h->fleet, h->m->now);
	ahead = gh_fleet_grant_ahead(h->fleet, h->m->now);
	batch->grants_told = ahead;
	batch->chain_text = chain_text(h, ahead, unheard);
	g_free(unheard);
	batch->changes =
		model_alloc(h->m, CHANGES_MAX * sizeof(*batch->changes));
	while (batch->n_changes < CHANGES_MAX && model_move_fits(h, batch) &&
	       gh_fleet_next_change(h->fleet, &change)) {
		job_change_t *entry = &batch->changes[batch->n_changes];

		*entry = (job_change_t){
			.job = model_job_find(h->m, change.id),
			.phase = change.phase,
			.phase_changed = change.phase_changed,
			.cancel_heard =
				model_job_find(h->m, change.id)->cancel_heard &
				1u << h->index,
			.version = change.version,
			.progress =
				change.progress ?
					model_strdup(h->m, change.progress) :
					NULL,
		};
		g_free(change.progress);
		if (!model_move_fill(h, entry, &change)) {
			gh_fleet_handle_commit_failure(h->fleet, change.id);
			h->commit_at = h->m->now + gh_time_from_ms(RETRY_MS);
			break;
		}
		batch->n_changes++;
	}
	if (h->phase == HOST_RELEASING && !gh_fleet_has_changes(h->fleet)) {
		char *text = g_strdup_printf(
			"%s" RELEASED "%" PRId64, batch->chain_text,
			gh_time_to_ms(gh_fleet_last_grant(h->fleet) -
				      h->m->now) +
				1);

		batch->chain_text = model_strdup(h->m, text);
		batch->releases = true;
		g_free(text);
	}
	h->batch = batch;
	batch_send(h, batch);
}

static void batch_send(host_t *h, const store_call_t *batch)
{
	store_call_t *call = model_alloc(h->m, sizeof(*call));

	*call = *batch;
	call->finished = false;
	store_call_send(h->m, call);
	model_move_step(h, batch);
}

static void batch_reply(host_t *h, const store_call_t *call)
{
	size_t i;

	if (!h->batch)
		return;
	if (call->result == STORE_OK) {
		batch_committed(h, call->revision);
	} else if (call->result == STORE_UNKNOWN) {
		h->batch->unanswered = true;
		store_call_send(h->m, host_call_store(h, STORE_GET_CHAIN));
	} else if (call->result == STORE_CONFLICT) {
		if (!strcmp(call->chain_now, h->batch->chain_text)) {
			batch_committed(h, call->chain_revision_now);
			return;
		}
		if (call->chain_revision_now != h->chain_revision) {
			host_end_ownership(h, "another owner took over");
			return;
		}
		for (i = 0; i < h->batch->n_changes; i++) {
			if (!h->batch->changes[i].guest)
				add_job(h, h->batch->changes[i].job, false);
			model_move_refused(h, &h->batch->changes[i]);
		}
		batch_failed(h);
		h->commit_at = 0;
	} else if (h->batch->unanswered && h->m->n_shards > 1) {
		/* An earlier copy may still take effect. */
		h->reread_at = h->m->now + gh_time_from_ms(RETRY_MS);
	} else {
		batch_failed(h);
	}
}

static void batch_reread(host_t *h, const store_call_t *call)
{
	if (!h->batch)
		return;
	if (call->result == STORE_OK &&
	    !strcmp(call->chain_now, h->batch->chain_text))
		batch_committed(h, call->chain_revision_now);
	else if (call->result == STORE_OK &&
		 call->chain_revision_now == h->chain_revision)
		batch_send(h, h->batch);
	else if (call->result == STORE_OK || call->result == STORE_NOT_FOUND)
		host_end_ownership(h, "another owner took over");
	else
		h->reread_at = h->m->now + gh_time_from_ms(RETRY_MS);
}

static void batch_committed(host_t *h, uint64_t revision)
{
	const store_call_t *batch = h->batch;
	size_t i;

	h->batch = NULL;
	h->grants_told = batch->grants_told;
	gh_fleet_unheard_committed(h->fleet);
	h->chain_revision = revision;
	h->commit_at = h->m->now + gh_time_from_ms(COMMIT_INTERVAL_MS);
	for (i = 0; i < batch->n_changes; i++) {
		model_move_committed(h, &batch->changes[i], revision);
		gh_fleet_handle_commit(h->fleet,
				       batch->changes[i].job->pipeline->id,
				       batch->changes[i].version);
	}
	if (batch->releases)
		host_end_ownership(h, "released");
}

static void batch_failed(host_t *h)
{
	const store_call_t *batch = h->batch;
	size_t i;

	h->batch = NULL;
	h->commit_at = h->m->now + gh_time_from_ms(RETRY_MS);
	for (i = 0; i < batch->n_changes; i++)
		gh_fleet_handle_commit_failure(
			h->fleet, batch->changes[i].job->pipeline->id);
}

static const char *chain_text(const host_t *h, gh_time_t last_grant,
			      const char *unheard)
{
	GString *text = g_string_new(NULL);
	const char *kept;

	g_string_printf(text, "%" PRIu64 " %" PRIu64 " h%u %" PRIu64, h->epoch,
			h->sequence, h->index, h->lease);
	if (last_grant)
		g_string_append_printf(text, GRANTS "%" PRId64,
				       gh_time_to_ms(last_grant - h->m->now) +
					       1);
	if (unheard)
		g_string_append_printf(text, GH_FLEET_UNHEARD "%s", unheard);
	kept = model_strdup(h->m, text->str);
	g_string_free(text, TRUE);
	return kept;
}

static void log_fleet(void *ctx, const char *event, const gh_task_id_t *task,
		      uint32_t run, const char *worker, const char *detail)
{
	const host_t *h = ctx;

	model_log(h->m, task, "host %u, epoch %d: %s, run %u, %s, %s", h->index,
		  (int)h->epoch, event, run, worker ? worker : "-",
		  detail ? detail : "-");
}
