/*
 * Hand-over of a shard that this host is too small for to a larger host; see
 * core_handover.c for when.
 */
#include "fleet_owner_private.h"

#include "clock.h"
#include "counter.h"
#include "log.h"

#define HANDOVER_CHECK_PERIOD_USEC (250 * GH_USEC_PER_MSEC)
/* Max time for which a hand-over commits what is left. */
#define HANDOVER_COMMIT_MAX_USEC (500 * GH_USEC_PER_MSEC)

static bool store_is_well(const fleet_owner_t *owner, gh_time_t now);

bool fleet_owner_keeps_shard(const fleet_owner_t *owner)
{
	return owner->phase != PHASE_IDLE && owner->phase != PHASE_RELEASING;
}

bool fleet_owner_is_late(const fleet_owner_t *owner)
{
	return owner->phase == PHASE_OWNING && owner->handover.is_late;
}

uint32_t fleet_owner_capacity(const fleet_owner_t *owner)
{
	uint32_t shards =
		owner->setup.shards_kept ?
			owner->setup.shards_kept(owner->setup.claim_delay_ctx) :
			1;

	return owner->setup.cores_milli / MAX(shards, 1);
}

void fleet_owner_check_handover(fleet_owner_t *owner, gh_time_t now)
{
	gh_handover_t *handover = &owner->handover;
	gh_fleet_backlog_t backlog;
	gh_handover_check_t check;

	if (now < owner->handover_check_at)
		return;
	owner->handover_check_at = now + HANDOVER_CHECK_PERIOD_USEC;
	gh_fleet_backlog(owner->fleet, &backlog);
	check = (gh_handover_check_t){ .capacity = fleet_owner_capacity(owner),
				       .tick_gap = backlog.tick_gap,
				       .planned_since = backlog.planned_since };
	if (!gh_handover_is_due(handover, &check, now) ||
	    !store_is_well(owner, now))
		return;
	log_event(LOG_WARN, "shard_handed_over", "shard",
		  log_num(owner->setup.shard), "cores_milli",
		  log_num(check.capacity), "largest_milli",
		  log_num(handover->cores_max), "tick_gap_ms",
		  log_num(gh_time_to_ms(check.tick_gap)), "planned_ms",
		  log_num(check.planned_since ?
				  gh_time_to_ms(now - check.planned_since) :
				  0),
		  "late_ms", log_num(gh_time_to_ms(handover->late)), NULL);
	counter_inc(CTR_SHARD_HANDED_OVER);
	gh_handover_give(handover, now);
	owner->handing_over = true;
	owner->handover_commit_until = now + HANDOVER_COMMIT_MAX_USEC;
	owner->phase = PHASE_RELEASING;
}

/* Whether a release can be expected to be carried out at once. */
static bool store_is_well(const fleet_owner_t *owner, gh_time_t now)
{
	return !owner->record_lost && !owner->restoring &&
	       now <= owner->renewed_at + RENEWAL_GAP_MAX_USEC &&
	       !(owner->batch && owner->batch->unanswered);
}

void fleet_owner_cancel_handover(fleet_owner_t *owner)
{
	if (!owner->handing_over)
		return;
	owner->handing_over = false;
	owner->release_grants_end = 0;
	owner->phase = PHASE_OWNING;
	gh_handover_keep(&owner->handover);
	log_event(LOG_INFO, "handover_cancelled", "shard",
		  log_num(owner->setup.shard), NULL);
}

bool fleet_owner_step_back(fleet_owner_t *owner)
{
	if (owner->stepped_back_from == owner->chain_revision ||
	    !gh_handover_steps_back(&owner->handover,
				    fleet_owner_capacity(owner)))
		return false;
	owner->stepped_back_from = owner->chain_revision;
	log_event(LOG_INFO, "shard_left_to_larger", "shard",
		  log_num(owner->setup.shard), NULL);
	fleet_owner_schedule_claim_retry(owner);
	owner->claim_at += GH_HANDOVER_STEP_BACK_USEC;
	owner->timer.at = owner->claim_at;
	return true;
}
