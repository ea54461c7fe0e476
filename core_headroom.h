/*
 * Cores that new long-running tasks leave to urgent short ones.
 *
 * Answers loads in which long-running tasks fill all workers for good, so that
 * a short task that is as urgent, whose objective is about as long as its run,
 * finds a place only after its objective has passed.  What short tasks have
 * asked for lately, with its spread, is to be there for them: the part of it
 * that they don't use is left free, in pieces of the size of their tasks.
 *
 * This pays only if they get what is left: where less urgent short tasks ask
 * for as many cores, they would take it, and nothing is left free.
 */
#ifndef CORE_HEADROOM_H
#define CORE_HEADROOM_H

#include <stdbool.h>
#include <stdint.h>

#include "core_time.h"

/* Priorities from the last level on share it. */
#define GH_HEADROOM_LEVELS 4

/* What short tasks of one priority ask for; cores in thousandths. */
typedef struct gh_headroom_level {
	/* Mean and variance of the cores in use and waited for. */
	double mean, variance;
	double task_mean;     /* of the cores of a task */
	gh_time_t sampled_at; /* 0: no sample yet */
} gh_headroom_level_t;

typedef struct gh_headroom {
	gh_headroom_level_t levels[GH_HEADROOM_LEVELS];
} gh_headroom_t;

/* What is to be left free; in thousandths of a core. */
typedef struct gh_headroom_target {
	bool applies; /* there is demand, and it would get what is left */
	int64_t cores_milli;
	int64_t piece_milli; /* smaller pieces don't count */
} gh_headroom_target_t;

uint32_t gh_headroom_level(uint32_t priority);
/*
 * Takes in the cores that short tasks of the level use and wait for at a time,
 * and those of one of them.  Samples may come at any interval.
 */
void gh_headroom_sample(gh_headroom_t *headroom, uint32_t level,
			double cores_milli, double task_cores_milli,
			gh_time_t now);
/*
 * What a long-running task of the level leaves free for short tasks that are at
 * least as urgent.  used_milli: the cores that these use now, by level;
 * capacity_milli: of all workers, of which a share is the most that is left.
 */
gh_headroom_target_t gh_headroom_target(const gh_headroom_t *headroom,
					uint32_t level,
					const double *used_milli,
					double capacity_milli);
/* The part of a worker's free cores that counts for the target. */
int64_t gh_headroom_pieces(const gh_headroom_target_t *target,
			   int64_t free_milli);

#endif
