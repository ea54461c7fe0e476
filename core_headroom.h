/*
 * Capacity that less urgent short tasks leave free for more urgent ones.
 *
 * Answers loads in which patient work fills all workers, so that an urgent
 * task, whose objective is about as long as its run, finds a place only after
 * its objective has passed.  What urgent tasks have asked for lately, with its
 * spread, is what is to be there for them: the part of it that they don't use
 * is left free, in pieces of the size of their tasks.
 */
#ifndef CORE_HEADROOM_H
#define CORE_HEADROOM_H

#include <stdbool.h>
#include <stdint.h>

#include "core_time.h"

/* Priorities from the last level on share it. */
#define GH_HEADROOM_LEVELS 4

/* What the tasks of one priority ask for; cores in thousandths. */
typedef struct gh_headroom_level {
	/* Mean and variance of the cores in use and waited for. */
	double mean, variance;
	double task_mean;     /* of the cores of a task */
	gh_time_t sampled_at; /* 0: no sample yet */
} gh_headroom_level_t;

typedef struct gh_headroom {
	gh_headroom_level_t levels[GH_HEADROOM_LEVELS];
} gh_headroom_t;

/* What is to be left free by tasks of one priority; cores in thousandths. */
typedef struct gh_headroom_target {
	int64_t cores_milli;
	int64_t piece_milli; /* smaller pieces don't count */
} gh_headroom_target_t;

uint32_t gh_headroom_level(uint32_t priority);
/*
 * Takes in the cores that tasks of the priority use and wait for at a time, and
 * those of one of them.  Samples may come at any interval.
 */
void gh_headroom_sample(gh_headroom_t *headroom, uint32_t priority,
			double cores_milli, double task_cores_milli,
			gh_time_t now);
/*
 * What tasks of the priority leave free for more urgent ones.  used_milli: the
 * cores that these use now, by level; capacity_milli: of all workers, of which
 * a share is the most that is left free.
 */
gh_headroom_target_t gh_headroom_target(const gh_headroom_t *headroom,
					uint32_t priority,
					const double *used_milli,
					double capacity_milli);
/* The part of a worker's free cores that counts for the target. */
int64_t gh_headroom_pieces(const gh_headroom_target_t *target,
			   int64_t free_milli);

#endif
