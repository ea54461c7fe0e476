/*
 * Leases of workers and the fences of calls to them: until when a lease can
 * last that the owner, a former one or a call to a former life has granted, and
 * what the next owner has to be told of that.
 */
#include "core_fleet_parts.h"

/* Extends a lease by 1/33 (3 %), as a worker's clock may be 2 % slow. */
#define LEASE_DRIFT_DIVISOR 33
/* Added to a lease: time for the reply to a lease renewal to arrive. */
#define LEASE_MARGIN_USEC (200 * GH_USEC_PER_MSEC)

static gh_time_t lease_end(gh_time_t from, int64_t lease_ms);
static void note_calls_in_flight(gh_fleet_t *fleet, fleet_worker_t *worker);

gh_time_t fleet_lease_end(const gh_fleet_t *fleet, gh_time_t granted_at)
{
	return lease_end(granted_at, fleet->setup.lease_ms);
}

gh_time_t fleet_lease_longest_end(const gh_fleet_t *fleet, gh_time_t granted_at)
{
	return lease_end(granted_at,
			 MAX(fleet->setup.lease_ms, fleet->setup.lease_max_ms));
}

gh_time_t fleet_lease_former_grants_end(const gh_fleet_t *fleet)
{
	return MAX(fleet->created_at, fleet->setup.previous_grants_end) +
	       CALL_DELAY_MAX_USEC;
}

gh_time_t fleet_lease_extend(gh_fleet_t *fleet, fleet_worker_t *worker,
			     gh_time_t now)
{
	worker->lease_until = now + gh_time_from_ms(fleet->setup.lease_ms);
	worker->latest_lease_end =
		MAX(worker->latest_lease_end, fleet_lease_end(fleet, now));
	return worker->lease_until;
}

void fleet_lease_note_unanswered(fleet_worker_t *worker, gh_time_t sent_at)
{
	worker->late_grants_until =
		MAX(worker->late_grants_until, sent_at + CALL_DELAY_MAX_USEC);
}

void fleet_lease_note_longest(gh_fleet_t *fleet, fleet_worker_t *worker,
			      gh_time_t granted_at)
{
	worker->latest_lease_end =
		MAX(worker->latest_lease_end,
		    lease_end(granted_at, fleet->setup.lease_max_ms));
	fleet->grants_ahead_until =
		MAX(fleet->grants_ahead_until,
		    worker->latest_lease_end - fleet_lease_end(fleet, 0));
}

void fleet_lease_note_life(gh_fleet_t *fleet, fleet_worker_t *worker,
			   int64_t clock_ms, gh_time_t now)
{
	gh_time_t latest_grant;

	if (worker->restart_known_at) {
		fleet_lease_note_longest(fleet, worker,
					 MIN(now, worker->late_grants_until));
		return;
	}
	if (!clock_ms || fleet->setup.first_owner)
		return;
	/* This owner's own calls are for the life that it knows. */
	latest_grant = MIN(now, fleet_lease_former_grants_end(fleet));
	/* The life may be older, as its clock may be slow. */
	latest_grant = MIN(latest_grant, now - gh_time_from_ms(clock_ms) +
						 CALL_DELAY_MAX_USEC);
	worker->young_lease_end = fleet_lease_longest_end(fleet, latest_grant);
	worker->young_in_list = worker->young_committed = false;
}

gh_time_t fleet_lease_last_end(const fleet_worker_t *worker)
{
	return MAX(worker->latest_lease_end, worker->young_lease_end);
}

void fleet_lease_tell_all(gh_fleet_t *fleet, fleet_worker_t *worker)
{
	worker->latest_lease_end =
		MAX(worker->latest_lease_end, worker->young_lease_end);
	fleet->grants_ahead_until =
		MAX(fleet->grants_ahead_until,
		    worker->latest_lease_end - fleet_lease_end(fleet, 0));
}

void fleet_lease_bound(gh_fleet_t *fleet, fleet_worker_t *worker, gh_time_t now)
{
	gh_time_t longest_end = fleet_lease_longest_end(fleet, now);

	worker->latest_lease_end = MIN(worker->latest_lease_end, longest_end);
	worker->young_lease_end = MIN(worker->young_lease_end, longest_end);
}

/* Latest time at which a lease that was granted at the time from can end. */
static gh_time_t lease_end(gh_time_t from, int64_t lease_ms)
{
	gh_time_t lease = gh_time_from_ms(lease_ms);

	return from + lease + lease / LEASE_DRIFT_DIVISOR + LEASE_MARGIN_USEC;
}

void fleet_fence_raise(gh_fleet_t *fleet, fleet_worker_t *worker)
{
	/* The last one is shared by all lives that come after it. */
	if (fleet->last_fence_offset < GH_FLEET_EPOCH_STEP - 1)
		fleet->last_fence_offset++;
	worker->fence_offset = fleet->last_fence_offset;
	note_calls_in_flight(fleet, worker);
	worker->renewal_pending = false;
	worker->renewal_not_before = 0;
}

uint32_t fleet_fence_of(const gh_fleet_t *fleet, uint32_t handle)
{
	return handle == GH_NONE ? fleet->last_fence_offset :
				   fleet_worker(fleet, handle)->fence_offset;
}

/* Calls that await their replies may be executed by the next life. */
static void note_calls_in_flight(gh_fleet_t *fleet, fleet_worker_t *worker)
{
	uint32_t ref;

	if (worker->renewal_pending && worker->renewal_grants)
		fleet_lease_note_unanswered(worker, worker->renewal_sent_at);
	for (ref = worker->first_run; ref != GH_NONE;
	     ref = fleet_run(fleet, ref)->next) {
		const fleet_run_t *run = fleet_run(fleet, ref);

		if (run->start_in_flight)
			fleet_lease_note_unanswered(worker, run->start_sent_at);
	}
}

bool fleet_lease_is_long(const gh_fleet_t *fleet, const fleet_worker_t *worker)
{
	return worker->latest_lease_end >
	       fleet_lease_end(fleet, fleet->ticked_at);
}

gh_time_t gh_fleet_last_grant(const gh_fleet_t *fleet)
{
	gh_time_t latest_end = 0;
	GHashTableIter iter;
	gpointer late;
	uint32_t i;

	/* Of workers that are not listed yet as well. */
	if (fleet->setup.told_grants_end > fleet->ticked_at)
		latest_end =
			fleet_lease_end(fleet, fleet->setup.told_grants_end);

	for (i = 0; i < fleet->workers->len; i++) {
		const fleet_worker_t *worker = fleet_worker(fleet, i);

		if (worker->in_use &&
		    (worker->n_runs || fleet_lease_is_long(fleet, worker)))
			latest_end = MAX(latest_end, worker->latest_lease_end);
	}
	g_hash_table_iter_init(&iter, fleet->late_grants);
	while (g_hash_table_iter_next(&iter, NULL, &late))
		latest_end = MAX(latest_end,
				 ((const fleet_late_grant_t *)late)->lease_end);
	return latest_end - fleet_lease_end(fleet, 0);
}

gh_time_t gh_fleet_grant_ahead(const gh_fleet_t *fleet, gh_time_t from)
{
	gh_time_t grant = fleet->grants_ahead_until > from ?
				  gh_fleet_last_grant(fleet) :
				  0;

	return grant > from ? grant : 0;
}
