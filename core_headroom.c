#include "core_headroom.h"

#include <glib.h>
#include <math.h>

/* Time over which demand is averaged, in microseconds. */
#define DEMAND_PERIOD ((double)(10 * GH_USEC_PER_SEC))
/* What is to be there: the mean demand and this many standard deviations. */
#define SPREAD_FACTOR 2.0
/* At most one part in this many of the capacity is left free. */
#define CAPACITY_DIVISOR 5
/*
 * Nothing is left free if less urgent tasks ask for more than one part in this
 * many of what urgent ones do.
 */
#define LESS_URGENT_DIVISOR 4

static void move_mean(double *mean, double *variance, double value,
		      double weight);

uint32_t gh_headroom_level(uint32_t priority)
{
	return MIN(priority, GH_HEADROOM_LEVELS - 1);
}

void gh_headroom_sample(gh_headroom_t *headroom, uint32_t level,
			double cores_milli, double task_cores_milli,
			gh_time_t now)
{
	gh_headroom_level_t *l = &headroom->levels[level];
	double weight = 0;

	if (l->sampled_at)
		weight = 1 - exp(-(double)MAX(now - l->sampled_at, 0) /
				 DEMAND_PERIOD);
	l->sampled_at = now;
	move_mean(&l->mean, &l->variance, cores_milli, weight);
	if (task_cores_milli > 0)
		l->task_mean += (l->task_mean > 0 ? weight : 1) *
				(task_cores_milli - l->task_mean);
}

/* Moves an exponentially weighted mean and variance towards a value. */
static void move_mean(double *mean, double *variance, double value,
		      double weight)
{
	double difference = value - *mean;

	*mean += weight * difference;
	*variance =
		(1 - weight) * (*variance + weight * difference * difference);
}

gh_headroom_target_t gh_headroom_target(const gh_headroom_t *headroom,
					uint32_t level,
					const double *used_milli,
					double capacity_milli)
{
	gh_headroom_target_t target = { 0 };
	double cores = 0, mean = 0, less_urgent = 0, used = 0;
	uint32_t i;

	for (i = 0; i < GH_HEADROOM_LEVELS; i++) {
		const gh_headroom_level_t *l = &headroom->levels[i];

		if (i > level) {
			less_urgent += l->mean;
			continue;
		}
		mean += l->mean;
		cores += l->mean + SPREAD_FACTOR * sqrt(l->variance);
		used += used_milli[i];
		target.piece_milli =
			MAX(target.piece_milli, (int64_t)l->task_mean);
	}
	target.applies = mean > 0 && less_urgent * LESS_URGENT_DIVISOR <= mean;
	if (target.applies)
		target.cores_milli = (int64_t)CLAMP(
			cores - used, 0, capacity_milli / CAPACITY_DIVISOR);
	return target;
}

int64_t gh_headroom_pieces(const gh_headroom_target_t *target,
			   int64_t free_milli)
{
	if (free_milli <= 0)
		return 0;
	if (target->piece_milli <= 0)
		return free_milli;
	return free_milli / target->piece_milli * target->piece_milli;
}
