#include "shard_owner.h"

#include <string.h>

#include "clock.h"
#include "counter.h"
#include "log.h"
#include "node.h"

#define TICK_USEC (50 * GH_USEC_PER_MSEC)
#define READS_PER_LEASE 4
#define STORE_RETRY_WAIT_USEC (500 * GH_USEC_PER_MSEC)
#define RELEASE_ATTEMPTS_MAX 3
#define IDLE_CONNECTIONS_MAX 64
#define FAST_READ_DURATION_USEC (3 * GH_USEC_PER_SEC)
#define FAST_READ_INTERVAL_USEC (100 * GH_USEC_PER_MSEC)
#define UNLISTED_MIN_USEC (2 * GH_USEC_PER_SEC)
/*
 * Time after an owner has stopped by which its last calls to workers have taken
 * effect.
 */
#define CALLS_IN_FLIGHT_MAX_MS 2000

/* Input and decisions of one cycle of the ownership thread. */
typedef struct cycle {
	gh_document_t *doc;
	gh_lease_rule_t rule;
	gh_now_t now;
	gh_lease_table_t table;
	gh_lease_step_t steps[GH_SHARDS_MAX];
	bool write_needed;
} cycle_t;

static void *run_ownership(void *arg);
static void run_cycle(shard_set_t *set, bool leaving);
static bool start_cycle(shard_set_t *set, cycle_t *cycle, bool leaving);
static uint32_t candidate_rank(const shard_set_t *set, const gh_document_t *doc,
			       uint32_t index);
static bool is_self_active(const shard_set_t *set, const gh_document_t *doc);
static bool read_records(shard_set_t *set, const cycle_t *cycle);
static void apply_records(shard_set_t *set, const cycle_t *cycle,
			  const gh_lease_table_t *table);
static void decide_steps(shard_set_t *set, cycle_t *cycle);
static bool write_records(shard_set_t *set, cycle_t *cycle);
static void apply_steps(shard_set_t *set, const cycle_t *cycle);
static void start_run(shard_set_t *set, const cycle_t *cycle, uint32_t index,
		      const gh_lease_t *previous);
static int64_t orphan_wait_ms(const shard_set_t *set, const cycle_t *cycle,
			      const gh_lease_t *previous);
static void update_runs(shard_set_t *set, const cycle_t *cycle);
static void stop_run(shard_set_t *set, uint32_t index, bool flush);
static void release_shards(shard_set_t *set);
static void fill_heartbeat(void *ctx, peer_heartbeat *beat);
static void handle_heartbeat(void *ctx, const peer_heartbeat *beat);
static void handle_shard_heartbeat(shard_set_t *set, uint32_t index,
				   const peer_heartbeat *beat, gh_time_t now);
static const peer_shard *find_listed_shard(const peer_heartbeat *beat,
					   const char *domain, uint32_t index);
static bool is_candidate(const shard_set_t *set, const gh_entry_t *entry);
static bool check_read_due(shard_set_t *set, gh_time_t now);
static void schedule_read(shard_set_t *set, gh_time_t at);

shard_set_t *shard_set_new(node_t *node)
{
	static const peer_handlers_t handlers = { .fill_heartbeat =
							  fill_heartbeat,
						  .handle_heartbeat =
							  handle_heartbeat };
	shard_set_t *set = g_new0(shard_set_t, 1);

	set->node = node;
	set->incarnation = (uint64_t)clock_real();
	set->link = worker_http_new(IDLE_CONNECTIONS_MAX);
	set->pool = shard_pool_new();
	pthread_mutex_init(&set->lock, NULL);
	clock_cond_init(&set->wake);
	if (node->peer)
		peer_register(node->peer, &handlers, set);
	return set;
}

bool shard_set_start(shard_set_t *set, GError **err)
{
	if (pthread_create(&set->thread, NULL, run_ownership, set)) {
		gh_error_set(err, GH_E_SYSTEM,
			     "cannot create the shard ownership thread");
		return false;
	}
	set->started = true;
	return true;
}

void shard_set_drain(shard_set_t *set)
{
	pthread_mutex_lock(&set->lock);
	set->draining = true;
	pthread_cond_broadcast(&set->wake);
	pthread_mutex_unlock(&set->lock);
	if (set->started)
		pthread_join(set->thread, NULL);
	set->started = false;
}

void shard_set_free(shard_set_t *set)
{
	if (!set)
		return;
	shard_set_drain(set);
	shard_pool_free(set->pool);
	set->link->ops->free(set->link);
	pthread_cond_destroy(&set->wake);
	pthread_mutex_destroy(&set->lock);
	g_free(set);
}

shard_run_t *shard_owner_ref_run(shard_set_t *set, uint32_t index)
{
	shard_run_t *run = NULL;

	pthread_mutex_lock(&set->lock);
	if (index < set->n_shards && set->shards[index].run)
		run = shard_run_ref(set->shards[index].run);
	pthread_mutex_unlock(&set->lock);
	return run;
}

bool shard_owner_name(shard_set_t *set, const char *domain, uint32_t index,
		      char owner[GH_NAME_MAX + 1])
{
	int64_t wall_ms = gh_time_to_ms(clock_real());
	bool known = false;

	if (strcmp(domain, set->node->settings->domain) != 0)
		return false;
	pthread_mutex_lock(&set->lock);
	if (index < set->n_shards) {
		const gh_lease_view_t *view = &set->shards[index].view;

		known = view->known && view->seen.owner[0] &&
			view->seen.deadline_ms > wall_ms;
		if (known)
			g_strlcpy(owner, view->seen.owner, GH_NAME_MAX + 1);
	}
	pthread_mutex_unlock(&set->lock);
	return known;
}

static void *run_ownership(void *arg)
{
	shard_set_t *set = arg;
	bool draining = false;

	while (!draining) {
		run_cycle(set, false);
		pthread_mutex_lock(&set->lock);
		if (!set->draining)
			clock_wait_until(&set->wake, &set->lock,
					 clock_boot() + TICK_USEC);
		draining = set->draining;
		pthread_mutex_unlock(&set->lock);
	}
	release_shards(set);
	return NULL;
}

static void run_cycle(shard_set_t *set, bool leaving)
{
	cycle_t cycle = { .write_needed = false };

	if (!start_cycle(set, &cycle, leaving))
		return;
	if (check_read_due(set, cycle.now.boot) && !read_records(set, &cycle))
		schedule_read(set, cycle.now.boot + STORE_RETRY_WAIT_USEC);
	decide_steps(set, &cycle);
	if (cycle.write_needed && write_records(set, &cycle))
		apply_steps(set, &cycle);
	update_runs(set, &cycle);
	gh_document_unref(cycle.doc);
}

/*
 * Sets up a cycle; returns false without a document that has this host's
 * domain.
 */
static bool start_cycle(shard_set_t *set, cycle_t *cycle, bool leaving)
{
	gh_document_t *doc = node_document(set->node);
	const char *domain = set->node->settings->domain;

	if (!doc)
		return false;
	if (gh_document_domain(doc, domain) == GH_HANDLE_NONE) {
		gh_document_unref(doc);
		return false;
	}
	cycle->doc = doc;
	cycle->now.boot = clock_boot();
	cycle->now.wall_ms = gh_time_to_ms(clock_real());
	cycle->rule = (gh_lease_rule_t){
		.self = set->node->settings->name,
		.lease_ms = doc->policy.owner_lease_ms,
		.clock_bound_ms = doc->policy.clock_bound_ms,
		.leaving = leaving || !is_self_active(set, doc),
	};
	pthread_mutex_lock(&set->lock);
	set->n_shards =
		MAX(set->n_shards, (size_t)doc->policy.shards_per_domain);
	pthread_mutex_unlock(&set->lock);
	return true;
}

static bool is_self_active(const shard_set_t *set, const gh_document_t *doc)
{
	gh_handle_t self = gh_document_entry(doc, set->node->settings->name);

	return self != GH_HANDLE_NONE &&
	       doc->entries[self].state == GH_HOST_ACTIVE;
}

/* This host's rank among the domain's candidates to own one shard. */
static uint32_t candidate_rank(const shard_set_t *set, const gh_document_t *doc,
			       uint32_t index)
{
	const char *domain = set->node->settings->domain;
	gh_handle_t handle = gh_document_domain(doc, domain);
	const char **names = g_new0(const char *, doc->n_entries + 1);
	size_t n = 0;
	size_t i;
	uint32_t rank;

	for (i = 0; i < doc->n_entries; i++)
		if (doc->entries[i].domain == handle &&
		    is_candidate(set, &doc->entries[i]))
			names[n++] = doc->entries[i].name;
	rank = gh_lease_rank(domain, index, set->node->settings->name, names,
			     n);
	g_free(names);
	return rank;
}

/*
 * Whether a host may take shards.  Hosts that are leaving or send no heartbeats
 * are left out, so that hosts of lower rank need not wait for them.
 */
static bool is_candidate(const shard_set_t *set, const gh_entry_t *entry)
{
	peer_view_t view;

	if (entry->state != GH_HOST_ACTIVE)
		return false;
	return !set->node->peer ||
	       !peer_view(set->node->peer, entry->name, &view) ||
	       (view.alive && !view.leaving);
}

/*
 * Whether the shards' lease records must be read now; notes the time of the
 * read if so.
 */
static bool check_read_due(shard_set_t *set, gh_time_t now)
{
	bool due;

	pthread_mutex_lock(&set->lock);
	due = now >= set->next_read_at ||
	      (now < set->fast_read_until &&
	       now >= set->last_read_at + FAST_READ_INTERVAL_USEC);
	if (due)
		set->last_read_at = now;
	pthread_mutex_unlock(&set->lock);
	return due;
}

static bool read_records(shard_set_t *set, const cycle_t *cycle)
{
	char *key = node_store_key(set->node, "owner/%s",
				   set->node->settings->domain);
	store_t *store = set->node->store;
	store_value_t value = { .version = STORE_ABSENT };
	gh_lease_table_t table;
	GError *err = NULL;
	bool ok = store->ops->get(store, key, &value, &err);

	memset(&table, 0, sizeof(table));
	if (ok)
		ok = gh_lease_parse(&table, value.text, &err);
	else
		ok = gh_error_kind(err) == GH_E_NOT_FOUND;
	if (ok) {
		set->version = value.version;
		schedule_read(set,
			      cycle->now.boot +
				      gh_time_from_ms(cycle->rule.lease_ms) /
					      READS_PER_LEASE);
		apply_records(set, cycle, &table);
	}
	g_clear_error(&err);
	store_value_clear(&value);
	g_free(key);
	return ok;
}

/*
 * Updates this host's view of each shard from the lease records in the store;
 * stops the runs of lost shards.
 */
static void apply_records(shard_set_t *set, const cycle_t *cycle,
			  const gh_lease_table_t *table)
{
	bool lost[GH_SHARDS_MAX] = { false };
	size_t i;

	pthread_mutex_lock(&set->lock);
	for (i = 0; i < set->n_shards; i++)
		lost[i] = gh_lease_see(&set->shards[i].view, &table->shards[i],
				       &cycle->rule,
				       &cycle->now) == GH_LEASE_LOST;
	pthread_mutex_unlock(&set->lock);
	for (i = 0; i < set->n_shards; i++)
		if (lost[i])
			stop_run(set, (uint32_t)i, false);
}

/*
 * Decides what to write to the lease records for each shard.  On a leaving host
 * the renewal of an owned shard releases it; the shard's run is stopped before
 * the release.
 */
static void decide_steps(shard_set_t *set, cycle_t *cycle)
{
	size_t i;

	pthread_mutex_lock(&set->lock);
	cycle->table.n = set->n_shards;
	for (i = 0; i < set->n_shards; i++) {
		const gh_lease_view_t *view = &set->shards[i].view;

		cycle->steps[i] = gh_lease_decide(
			view, &cycle->rule,
			candidate_rank(set, cycle->doc, (uint32_t)i),
			&cycle->now);
		if (view->owned && cycle->rule.leaving)
			cycle->steps[i] = GH_LEASE_RENEW;
		cycle->table.shards[i] = view->seen;
		if (cycle->steps[i] == GH_LEASE_WAIT)
			continue;
		cycle->write_needed = true;
		cycle->table.shards[i] = gh_lease_next(
			view, cycle->steps[i], &cycle->rule, &cycle->now);
	}
	pthread_mutex_unlock(&set->lock);
	for (i = 0; cycle->rule.leaving && i < set->n_shards; i++)
		if (cycle->steps[i] == GH_LEASE_RENEW)
			stop_run(set, (uint32_t)i, true);
}

static bool write_records(shard_set_t *set, cycle_t *cycle)
{
	char *key = node_store_key(set->node, "owner/%s",
				   set->node->settings->domain);
	GError *err = NULL;
	uint64_t version = set->version;
	char *text;
	bool ok;

	g_strlcpy(cycle->table.writer, set->node->settings->name,
		  sizeof(cycle->table.writer));
	cycle->table.incarnation = set->incarnation;
	cycle->table.sequence = ++set->sequence;
	text = gh_lease_format(&cycle->table);
	ok = store_put_confirm(set->node->store, key, text, set->version, 0,
			       &version, &err);
	if (ok)
		set->version = version;
	else
		schedule_read(set,
			      gh_error_kind(err) == GH_E_CONFLICT ?
				      0 :
				      clock_boot() + STORE_RETRY_WAIT_USEC);
	g_clear_error(&err);
	g_free(text);
	g_free(key);
	return ok;
}

/*
 * Updates this host's view of each shard after a successful write of the lease
 * records; starts runs of taken shards.
 */
static void apply_steps(shard_set_t *set, const cycle_t *cycle)
{
	size_t i;

	for (i = 0; i < cycle->table.n; i++) {
		shard_state_t *shard = &set->shards[i];
		gh_lease_t previous = shard->view.seen;

		if (cycle->steps[i] == GH_LEASE_WAIT)
			continue;
		pthread_mutex_lock(&set->lock);
		gh_lease_won(&shard->view, &cycle->table.shards[i],
			     &cycle->rule, &cycle->now);
		pthread_mutex_unlock(&set->lock);
		if (cycle->steps[i] == GH_LEASE_TAKE)
			start_run(set, cycle, (uint32_t)i, &previous);
	}
}

static void start_run(shard_set_t *set, const cycle_t *cycle, uint32_t index,
		      const gh_lease_t *previous)
{
	const settings_t *settings = set->node->settings;
	shard_state_t *shard = &set->shards[index];
	char *prefix = node_store_key(set->node, "tasks/%s/%u",
				      settings->domain, index);
	shard_run_setup_t setup = {
		.store = set->node->store,
		.link = set->link,
		.pool = set->pool,
		.prefix = prefix,
		.owner = settings->name,
		.incarnation = set->incarnation,
		.domain = settings->domain,
		.index = index,
		.epoch = shard->view.seen.epoch,
		.doc = cycle->doc,
		.orphan_wait_ms = orphan_wait_ms(set, cycle, previous),
	};
	shard_run_t *run = shard_run_new(&setup);

	counter_inc(CTR_SHARD_ACQUIRED);
	pthread_mutex_lock(&set->lock);
	shard->run = run;
	shard->unlisted_since = 0;
	g_strlcpy(shard->previous_owner, previous->owner,
		  sizeof(shard->previous_owner));
	pthread_mutex_unlock(&set->lock);
	g_free(prefix);
}

/*
 * How long a previous owner may keep task leases alive on workers that the new
 * owner can't reach.  After a release, or for this host's own previous lease,
 * nothing is renewed any more; an owner that only lost its connection to the
 * store may renew for renew_alone_ms.
 */
static int64_t orphan_wait_ms(const shard_set_t *set, const cycle_t *cycle,
			      const gh_lease_t *previous)
{
	const gh_policy_t *policy = &cycle->doc->policy;
	int64_t wait = policy->task_lease_ms + policy->clock_bound_ms +
		       CALLS_IN_FLIGHT_MAX_MS;

	if (!previous->owner[0])
		return 0;
	if (previous->deadline_ms == GH_LEASE_RELEASED ||
	    !strcmp(previous->owner, set->node->settings->name))
		return wait;
	return wait + policy->renew_alone_ms;
}

/*
 * Passes the end of the lease and the document on to the runs of owned shards,
 * and stops fenced runs.
 */
static void update_runs(shard_set_t *set, const cycle_t *cycle)
{
	size_t i;

	for (i = 0; i < set->n_shards; i++) {
		shard_state_t *shard = &set->shards[i];

		if (!shard->run)
			continue;
		if (shard_run_is_fenced(shard->run)) {
			pthread_mutex_lock(&set->lock);
			shard->view.owned = false;
			pthread_mutex_unlock(&set->lock);
			stop_run(set, (uint32_t)i, false);
			schedule_read(set, 0);
			continue;
		}
		shard_run_extend_lease(shard->run, shard->view.owned_until,
				       shard->view.seen.deadline_ms);
		shard_run_set_document(shard->run, cycle->doc);
	}
}

/*
 * Stops the run of a shard.  The shard stays listed in heartbeats until the run
 * has stopped: its absence tells the next owner that no more task leases are
 * renewed.
 */
static void stop_run(shard_set_t *set, uint32_t index, bool flush)
{
	shard_state_t *shard = &set->shards[index];
	shard_run_t *run = shard->run;

	if (!run)
		return;
	shard_run_stop(run, flush);
	pthread_mutex_lock(&set->lock);
	shard->run = NULL;
	pthread_mutex_unlock(&set->lock);
	shard_run_unref(run);
	counter_inc(CTR_SHARD_LOST);
	log_event(LOG_INFO, "shard_given_up", "shard", log_num(index), NULL);
}

/*
 * Stops the runs of all owned shards and releases the shards' leases, so that
 * other hosts need not wait for the leases to end.
 */
static void release_shards(shard_set_t *set)
{
	size_t i;
	int attempt;

	for (i = 0; i < set->n_shards; i++)
		stop_run(set, (uint32_t)i, true);
	for (attempt = 0; attempt < RELEASE_ATTEMPTS_MAX; attempt++) {
		bool any_owned = false;

		for (i = 0; i < set->n_shards; i++)
			any_owned = any_owned || set->shards[i].view.owned;
		if (!any_owned)
			return;
		run_cycle(set, true);
	}
}

static void fill_heartbeat(void *ctx, peer_heartbeat *beat)
{
	shard_set_t *set = ctx;
	size_t i;

	pthread_mutex_lock(&set->lock);
	for (i = 0; i < set->n_shards; i++) {
		shard_run_t *run = set->shards[i].run;
		peer_shard *shard =
			&beat->shards.shards_val[beat->shards.shards_len];

		if (!run || beat->shards.shards_len == PEER_SHARDS_MAX)
			continue;
		beat->shards.shards_len++;
		shard->domain = set->node->settings->domain;
		shard->index = (u_int)i;
		shard->epoch = shard_run_epoch(run);
		shard_run_get_load(run, &shard->queued,
				   &shard->free_cores_milli);
	}
	pthread_mutex_unlock(&set->lock);
}

static void handle_heartbeat(void *ctx, const peer_heartbeat *beat)
{
	shard_set_t *set = ctx;
	gh_time_t now = clock_boot();
	size_t i;

	pthread_mutex_lock(&set->lock);
	for (i = 0; i < set->n_shards; i++)
		handle_shard_heartbeat(set, (uint32_t)i, beat, now);
	pthread_mutex_unlock(&set->lock);
}

/*
 * Called with the lock held.  A higher epoch in a heartbeat fences this host's
 * run of the shard at once.  A previous owner that no longer lists the shard
 * has stopped renewing its tasks' leases.  A single heartbeat may have been
 * sent before that owner acquired the shard, so a later one must confirm it.
 */
static void handle_shard_heartbeat(shard_set_t *set, uint32_t index,
				   const peer_heartbeat *beat, gh_time_t now)
{
	shard_state_t *shard = &set->shards[index];
	const peer_shard *reported =
		find_listed_shard(beat, set->node->settings->domain, index);

	if (!shard->run) {
		if (beat->leaving &&
		    !strcmp(shard->view.seen.owner, beat->head.from) &&
		    shard->view.seen.deadline_ms != GH_LEASE_RELEASED)
			set->fast_read_until = now + FAST_READ_DURATION_USEC;
		return;
	}
	if (reported && reported->epoch > shard_run_epoch(shard->run))
		shard_run_fence(shard->run, beat->head.from);
	if (strcmp(shard->previous_owner, beat->head.from) != 0)
		return;
	if (reported)
		shard->unlisted_since = 0;
	else if (!shard->unlisted_since)
		shard->unlisted_since = now;
	else if (now - shard->unlisted_since >= UNLISTED_MIN_USEC)
		shard_run_confirm_previous_stopped(shard->run);
}

static const peer_shard *find_listed_shard(const peer_heartbeat *beat,
					   const char *domain, uint32_t index)
{
	u_int i;

	for (i = 0; i < beat->shards.shards_len; i++) {
		const peer_shard *shard = &beat->shards.shards_val[i];

		if (shard->index == index && !strcmp(shard->domain, domain))
			return shard;
	}
	return NULL;
}

static void schedule_read(shard_set_t *set, gh_time_t at)
{
	pthread_mutex_lock(&set->lock);
	set->next_read_at = at;
	pthread_mutex_unlock(&set->lock);
}
