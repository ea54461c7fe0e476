#include "core_headroom.h"

#include <glib.h>
#include <math.h>

/* Time over which demand is averaged, in microseconds. */
#define DEMAND_PERIOD ((double)(10 * GH_USEC_PER_SEC))
/* What is to be there: the mean demand and this many standard deviations. */
#define SPREAD_FACTOR 2.0
/* At most one part in this many of the capacity is left free. */
#define CAPACITY_DIVISOR 5

static void move_mean(double *mean, double *variance, double value,
		      double weight);

uint32_t gh_headroom_level(uint32_t priority)
{
	return MIN(priority, GH_HEADROOM_LEVELS - 1);
}

void gh_headroom_sample(gh_headroom_t *headroom, uint32_t priority,
			double cores_milli, double task_cores_milli,
			gh_time_t now)
{
	gh_headroom_level_t *level =
		&headroom->levels[gh_headroom_level(priority)];
	double weight = 0;

	if (level->sampled_at)
		weight = 1 - exp(-(double)MAX(now - level->sampled_at, 0) /
				 DEMAND_PERIOD);
	level->sampled_at = now;
	move_mean(&level->mean, &level->variance, cores_milli, weight);
	if (task_cores_milli > 0)
		level->task_mean += (level->task_mean > 0 ? weight : 1) *
				    (task_cores_milli - level->task_mean);
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
					uint32_t priority,
					const double *used_milli,
					double capacity_milli)
{
	gh_headroom_target_t target = { 0 };
	double cores = 0;
	double used = 0;
	uint32_t i;

	for (i = 0; i < gh_headroom_level(priority); i++) {
		const gh_headroom_level_t *level = &headroom->levels[i];

		cores += level->mean + SPREAD_FACTOR * sqrt(level->variance);
		used += used_milli[i];
		target.piece_milli =
			MAX(target.piece_milli, (int64_t)level->task_mean);
	}
	cores = MIN(cores - used, capacity_milli / CAPACITY_DIVISOR);
	target.cores_milli = (int64_t)MAX(cores, 0);
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
