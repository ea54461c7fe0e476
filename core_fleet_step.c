/*
 * One decision step of the fleet: its parts in a fixed order.
 */
#include "core_fleet_move.h"

/* Number of ticks over which the mean time between them is taken. */
#define TICK_GAP_SAMPLES 16
/* Ticks further apart than this on average are late. */
#define LATE_TICK_GAP_USEC (40 * GH_USEC_PER_MSEC)
/* A longer time between two ticks counts as this, in microseconds. */
#define TICK_GAP_MAX ((double)GH_USEC_PER_SEC)
#define DECAY_PERIOD_USEC GH_USEC_PER_SEC

static void note_tick(gh_fleet_t *fleet, gh_time_t now);
static void decay_interference(gh_fleet_t *fleet, gh_time_t now);

void gh_fleet_tick(gh_fleet_t *fleet, gh_time_t now, int64_t wall_ms)
{
	note_tick(fleet, now);
	fleet->wall_ahead_ms = wall_ms - gh_time_to_ms(now);
	fleet_retry_expire_leases(fleet, now);
	fleet_retry_orders(fleet, now);
	fleet_late_check(fleet, now);
	fleet_retry_drain(fleet, now);
	fleet_health_check(fleet, now);
	decay_interference(fleet, now);
	fleet_commit_check_aside(fleet, now);
	fleet_budget_begin(fleet, now);
	fleet_choose_begin(fleet);
	fleet_headroom_begin(fleet, now);
	fleet_plan_place(fleet, now, wall_ms);
	fleet_move_decide(fleet, now);
	fleet_copy_check(fleet, now);
	fleet_idle_check(fleet, now, wall_ms);
}

bool fleet_is_late(const gh_fleet_t *fleet)
{
	return fleet->mean_tick_gap > LATE_TICK_GAP_USEC;
}

/* Updates the mean time between ticks. */
static void note_tick(gh_fleet_t *fleet, gh_time_t now)
{
	if (fleet->ticked_at)
		fleet->mean_tick_gap +=
			(MIN((double)(now - fleet->ticked_at), TICK_GAP_MAX) -
			 fleet->mean_tick_gap) /
			TICK_GAP_SAMPLES;
	fleet->ticked_at = now;
}

static void decay_interference(gh_fleet_t *fleet, gh_time_t now)
{
	gh_time_t since = now - fleet->interference_decayed_at;

	if (since < DECAY_PERIOD_USEC)
		return;
	gh_interference_decay(fleet->interference,
			      (double)since / GH_USEC_PER_SEC);
	fleet->interference_decayed_at = now;
}
