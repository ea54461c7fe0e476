#include "shard_owner.h"

#include <string.h>

#include "clock.h"
#include "counter.h"
#include "log.h"
#include "node.h"

#define TICK (50 * GH_USEC_PER_MSEC)
#define READS_PER_LEASE 4
#define STORE_RETRY (500 * GH_USEC_PER_MSEC)
#define RELEASE_TRIES 3
#define IDLE_CONNECTIONS 64
#define HOT_TIME (3 * GH_USEC_PER_SEC)
#define HOT_READ (100 * GH_USEC_PER_MSEC)
#define ABSENT_TIME (2 * GH_USEC_PER_SEC)
#define CALL_SLACK_MS 2000 /* calls under way when an owner stops */

/* What one round decided. */
typedef struct plan {
	gh_document_t *doc;
	gh_lease_rule_t rule;
	gh_now_t now;
	gh_lease_table_t table;
	gh_lease_step_t steps[GH_SHARDS_MAX];
	bool any;
} plan_t;

static void *run_thread(void *arg);
static void round_once(shard_set_t *set, bool leaving);
static bool plan_make(shard_set_t *set, plan_t *plan, bool leaving);
static uint32_t rank_of(const shard_set_t *set, const gh_document_t *doc,
			uint32_t index);
static bool is_active(const shard_set_t *set, const gh_document_t *doc);
static bool read_records(shard_set_t *set, const plan_t *plan);
static void see_records(shard_set_t *set, const plan_t *plan,
			const gh_lease_table_t *table);
static void decide(shard_set_t *set, plan_t *plan);
static bool write_records(shard_set_t *set, plan_t *plan);
static void take_effect(shard_set_t *set, const plan_t *plan);
static void start_run(shard_set_t *set, const plan_t *plan, uint32_t index,
		      const gh_lease_t *before);
static int64_t orphans_wait(const shard_set_t *set, const plan_t *plan,
			    const gh_lease_t *before);
static void update_runs(shard_set_t *set, const plan_t *plan);
static void stop_run(shard_set_t *set, uint32_t index, bool flush);
static void release_all(shard_set_t *set);
static void on_fill(void *ctx, peer_heartbeat *beat);
static void on_see(void *ctx, const peer_heartbeat *beat);
static void see_seat(shard_set_t *set, uint32_t index,
		     const peer_heartbeat *beat, gh_time_t now);
static const peer_shard *find_shard(const peer_heartbeat *beat,
				    const char *domain, uint32_t index);
static bool is_candidate(const shard_set_t *set, const gh_entry_t *entry);
static bool due_to_read(shard_set_t *set, gh_time_t now);
static void read_soon(shard_set_t *set, gh_time_t at);

shard_set_t *shard_set_new(node_t *node)
{
	static const peer_handlers_t handlers = { .fill = on_fill,
						  .see = on_see };
	shard_set_t *set = g_new0(shard_set_t, 1);

	set->node = node;
	set->incarnation = (uint64_t)clock_real();
	set->link = worker_http_new(IDLE_CONNECTIONS);
	set->pool = shard_pool_new();
	pthread_mutex_init(&set->lock, NULL);
	clock_cond_init(&set->wake);
	if (node->peer)
		peer_register(node->peer, &handlers, set);
	return set;
}

bool shard_set_start(shard_set_t *set, GError **err)
{
	if (pthread_create(&set->thread, NULL, run_thread, set)) {
		gh_error_set(err, GH_E_SYSTEM, "no thread for shards");
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

shard_run_t *shard_owner_run(shard_set_t *set, uint32_t index)
{
	shard_run_t *run = NULL;

	pthread_mutex_lock(&set->lock);
	if (index < set->n_seats && set->seats[index].run)
		run = shard_run_ref(set->seats[index].run);
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
	if (index < set->n_seats) {
		const gh_lease_view_t *view = &set->seats[index].view;

		known = view->known && view->seen.owner[0] &&
			view->seen.deadline_ms > wall_ms;
		if (known)
			g_strlcpy(owner, view->seen.owner, GH_NAME_MAX + 1);
	}
	pthread_mutex_unlock(&set->lock);
	return known;
}

static void *run_thread(void *arg)
{
	shard_set_t *set = arg;
	bool draining = false;

	while (!draining) {
		round_once(set, false);
		pthread_mutex_lock(&set->lock);
		if (!set->draining)
			clock_wait(&set->wake, &set->lock, clock_boot() + TICK);
		draining = set->draining;
		pthread_mutex_unlock(&set->lock);
	}
	release_all(set);
	return NULL;
}

static void round_once(shard_set_t *set, bool leaving)
{
	plan_t plan = { .any = false };

	if (!plan_make(set, &plan, leaving))
		return;
	if (due_to_read(set, plan.now.boot) && !read_records(set, &plan))
		read_soon(set, plan.now.boot + STORE_RETRY);
	decide(set, &plan);
	if (plan.any && write_records(set, &plan))
		take_effect(set, &plan);
	update_runs(set, &plan);
	gh_document_unref(plan.doc);
}

/* False when this host has no place among the shards. */
static bool plan_make(shard_set_t *set, plan_t *plan, bool leaving)
{
	gh_document_t *doc = node_document(set->node);
	const char *domain = set->node->settings->domain;

	if (!doc)
		return false;
	if (gh_document_domain(doc, domain) == GH_HANDLE_NONE) {
		gh_document_unref(doc);
		return false;
	}
	plan->doc = doc;
	plan->now.boot = clock_boot();
	plan->now.wall_ms = gh_time_to_ms(clock_real());
	plan->rule = (gh_lease_rule_t){
		.self = set->node->settings->name,
		.lease_ms = doc->policy.owner_lease_ms,
		.clock_bound_ms = doc->policy.clock_bound_ms,
		.leaving = leaving || !is_active(set, doc),
	};
	pthread_mutex_lock(&set->lock);
	set->n_seats = MAX(set->n_seats, (size_t)doc->policy.shards_per_domain);
	pthread_mutex_unlock(&set->lock);
	return true;
}

static bool is_active(const shard_set_t *set, const gh_document_t *doc)
{
	gh_handle_t self = gh_document_entry(doc, set->node->settings->name);

	return self != GH_HANDLE_NONE &&
	       doc->entries[self].state == GH_HOST_ACTIVE;
}

/* This host's place among the domain's entry hosts for one shard. */
static uint32_t rank_of(const shard_set_t *set, const gh_document_t *doc,
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

/* Hosts that are heard to leave, or not heard, don't hold others up. */
static bool is_candidate(const shard_set_t *set, const gh_entry_t *entry)
{
	peer_view_t view;

	if (entry->state != GH_HOST_ACTIVE)
		return false;
	return !set->node->peer ||
	       !peer_view(set->node->peer, entry->name, &view) ||
	       (view.alive && !view.leaving);
}

static bool due_to_read(shard_set_t *set, gh_time_t now)
{
	bool due;

	pthread_mutex_lock(&set->lock);
	due = now >= set->read_at ||
	      (now < set->hot_until && now >= set->read_last + HOT_READ);
	if (due)
		set->read_last = now;
	pthread_mutex_unlock(&set->lock);
	return due;
}

static bool read_records(shard_set_t *set, const plan_t *plan)
{
	char *key =
		node_key(set->node, "owner/%s", set->node->settings->domain);
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
		read_soon(set, plan->now.boot +
				       gh_time_from_ms(plan->rule.lease_ms) /
					       READS_PER_LEASE);
		see_records(set, plan, &table);
	}
	g_clear_error(&err);
	store_value_clear(&value);
	g_free(key);
	return ok;
}

static void see_records(shard_set_t *set, const plan_t *plan,
			const gh_lease_table_t *table)
{
	bool lost[GH_SHARDS_MAX] = { false };
	size_t i;

	pthread_mutex_lock(&set->lock);
	for (i = 0; i < set->n_seats; i++)
		lost[i] =
			gh_lease_see(&set->seats[i].view, &table->shards[i],
				     &plan->rule, &plan->now) == GH_LEASE_LOST;
	pthread_mutex_unlock(&set->lock);
	for (i = 0; i < set->n_seats; i++)
		if (lost[i])
			stop_run(set, (uint32_t)i, false);
}

static void decide(shard_set_t *set, plan_t *plan)
{
	size_t i;

	pthread_mutex_lock(&set->lock);
	plan->table.n = set->n_seats;
	for (i = 0; i < set->n_seats; i++) {
		const gh_lease_view_t *view = &set->seats[i].view;

		plan->steps[i] = gh_lease_decide(
			view, &plan->rule, rank_of(set, plan->doc, (uint32_t)i),
			&plan->now);
		if (view->owned && plan->rule.leaving)
			plan->steps[i] = GH_LEASE_RENEW;
		plan->table.shards[i] = view->seen;
		if (plan->steps[i] == GH_LEASE_WAIT)
			continue;
		plan->any = true;
		plan->table.shards[i] = gh_lease_next(view, plan->steps[i],
						      &plan->rule, &plan->now);
	}
	pthread_mutex_unlock(&set->lock);
	for (i = 0; plan->rule.leaving && i < set->n_seats; i++)
		if (plan->steps[i] == GH_LEASE_RENEW)
			stop_run(set, (uint32_t)i, true);
}

static bool write_records(shard_set_t *set, plan_t *plan)
{
	char *key =
		node_key(set->node, "owner/%s", set->node->settings->domain);
	GError *err = NULL;
	uint64_t version = set->version;
	char *text;
	bool ok;

	g_strlcpy(plan->table.writer, set->node->settings->name,
		  sizeof(plan->table.writer));
	plan->table.incarnation = set->incarnation;
	plan->table.sequence = ++set->sequence;
	text = gh_lease_format(&plan->table);
	ok = store_put_sure(set->node->store, key, text, set->version, 0,
			    &version, &err);
	if (ok)
		set->version = version;
	else
		read_soon(set, gh_error_kind(err) == GH_E_CONFLICT ?
				       0 :
				       clock_boot() + STORE_RETRY);
	g_clear_error(&err);
	g_free(text);
	g_free(key);
	return ok;
}

static void take_effect(shard_set_t *set, const plan_t *plan)
{
	size_t i;

	for (i = 0; i < plan->table.n; i++) {
		shard_seat_t *seat = &set->seats[i];
		gh_lease_t before = seat->view.seen;

		if (plan->steps[i] == GH_LEASE_WAIT)
			continue;
		pthread_mutex_lock(&set->lock);
		gh_lease_won(&seat->view, &plan->table.shards[i], &plan->rule,
			     &plan->now);
		pthread_mutex_unlock(&set->lock);
		if (plan->steps[i] == GH_LEASE_TAKE)
			start_run(set, plan, (uint32_t)i, &before);
	}
}

static void start_run(shard_set_t *set, const plan_t *plan, uint32_t index,
		      const gh_lease_t *before)
{
	const settings_t *settings = set->node->settings;
	shard_seat_t *seat = &set->seats[index];
	char *prefix =
		node_key(set->node, "tasks/%s/%u", settings->domain, index);
	shard_run_setup_t setup = {
		.store = set->node->store,
		.link = set->link,
		.pool = set->pool,
		.prefix = prefix,
		.owner = settings->name,
		.incarnation = set->incarnation,
		.domain = settings->domain,
		.index = index,
		.epoch = seat->view.seen.epoch,
		.doc = plan->doc,
		.orphans_wait_ms = orphans_wait(set, plan, before),
	};
	shard_run_t *run = shard_run_new(&setup);

	counter_inc(CTR_SHARD_ACQUIRED);
	pthread_mutex_lock(&set->lock);
	seat->run = run;
	seat->absent = 0;
	g_strlcpy(seat->former, before->owner, sizeof(seat->former));
	pthread_mutex_unlock(&set->lock);
	g_free(prefix);
}

/*
 * How long an earlier owner may keep leases alive on workers that the new
 * owner can't reach.  One that released the shard renews no more; one that
 * only lost the store may renew alone.
 */
static int64_t orphans_wait(const shard_set_t *set, const plan_t *plan,
			    const gh_lease_t *before)
{
	const gh_policy_t *policy = &plan->doc->policy;
	int64_t wait =
		policy->task_lease_ms + policy->clock_bound_ms + CALL_SLACK_MS;

	if (!before->owner[0])
		return 0;
	if (before->deadline_ms == GH_LEASE_RELEASED ||
	    !strcmp(before->owner, set->node->settings->name))
		return wait;
	return wait + policy->renew_alone_ms;
}

/* Hands leases and documents on, and drops the runs that met another owner. */
static void update_runs(shard_set_t *set, const plan_t *plan)
{
	size_t i;

	for (i = 0; i < set->n_seats; i++) {
		shard_seat_t *seat = &set->seats[i];

		if (!seat->run)
			continue;
		if (shard_run_fenced(seat->run)) {
			pthread_mutex_lock(&set->lock);
			seat->view.owned = false;
			pthread_mutex_unlock(&set->lock);
			stop_run(set, (uint32_t)i, false);
			read_soon(set, 0);
			continue;
		}
		shard_run_lease(seat->run, seat->view.owned_until,
				seat->view.seen.deadline_ms);
		shard_run_document(seat->run, plan->doc);
	}
}

/* The seat keeps its run, for heartbeats, until the run has stopped. */
static void stop_run(shard_set_t *set, uint32_t index, bool flush)
{
	shard_seat_t *seat = &set->seats[index];
	shard_run_t *run = seat->run;

	if (!run)
		return;
	shard_run_stop(run, flush);
	pthread_mutex_lock(&set->lock);
	seat->run = NULL;
	pthread_mutex_unlock(&set->lock);
	shard_run_unref(run);
	counter_inc(CTR_SHARD_LOST);
	log_event(LOG_INFO, "shard_given_up", "shard", log_num(index), NULL);
}

/* Writes released records, so that a successor need not wait. */
static void release_all(shard_set_t *set)
{
	size_t i;
	int tries;

	for (i = 0; i < set->n_seats; i++)
		stop_run(set, (uint32_t)i, true);
	for (tries = 0; tries < RELEASE_TRIES; tries++) {
		bool mine = false;

		for (i = 0; i < set->n_seats; i++)
			mine = mine || set->seats[i].view.owned;
		if (!mine)
			return;
		round_once(set, true);
	}
}

static void on_fill(void *ctx, peer_heartbeat *beat)
{
	shard_set_t *set = ctx;
	size_t i;

	pthread_mutex_lock(&set->lock);
	for (i = 0; i < set->n_seats; i++) {
		shard_run_t *run = set->seats[i].run;
		peer_shard *shard =
			&beat->shards.shards_val[beat->shards.shards_len];

		if (!run || beat->shards.shards_len == PEER_SHARDS_MAX)
			continue;
		beat->shards.shards_len++;
		shard->domain = set->node->settings->domain;
		shard->index = (u_int)i;
		shard->epoch = shard_run_epoch(run);
		shard_run_load(run, &shard->queued, &shard->free_cores_milli);
	}
	pthread_mutex_unlock(&set->lock);
}

static void on_see(void *ctx, const peer_heartbeat *beat)
{
	shard_set_t *set = ctx;
	gh_time_t now = clock_boot();
	size_t i;

	pthread_mutex_lock(&set->lock);
	for (i = 0; i < set->n_seats; i++)
		see_seat(set, (uint32_t)i, beat, now);
	pthread_mutex_unlock(&set->lock);
}

/*
 * Under the lock.  A higher epoch ends the own one at once.  A former owner
 * that no longer lists the shard has stopped renewing its tasks; as one
 * heartbeat may be older than its ownership, a later one has to agree.
 */
static void see_seat(shard_set_t *set, uint32_t index,
		     const peer_heartbeat *beat, gh_time_t now)
{
	shard_seat_t *seat = &set->seats[index];
	const peer_shard *shard =
		find_shard(beat, set->node->settings->domain, index);

	if (!seat->run) {
		if (beat->leaving &&
		    !strcmp(seat->view.seen.owner, beat->head.from) &&
		    seat->view.seen.deadline_ms != GH_LEASE_RELEASED)
			set->hot_until = now + HOT_TIME;
		return;
	}
	if (shard && shard->epoch > shard_run_epoch(seat->run))
		shard_run_overtaken(seat->run, beat->head.from);
	if (strcmp(seat->former, beat->head.from) != 0)
		return;
	if (shard)
		seat->absent = 0;
	else if (!seat->absent)
		seat->absent = now;
	else if (now - seat->absent >= ABSENT_TIME)
		shard_run_settle(seat->run);
}

static const peer_shard *find_shard(const peer_heartbeat *beat,
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

static void read_soon(shard_set_t *set, gh_time_t at)
{
	pthread_mutex_lock(&set->lock);
	set->read_at = at;
	pthread_mutex_unlock(&set->lock);
}
