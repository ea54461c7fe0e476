/*
 * Whether a run that was slowed down goes on elsewhere.
 *
 * Answers loads of best-effort tasks whose paces are lowered for the sake of
 * long-running ones.  A run that is stopped keeps what it has done, but does
 * nothing while it is stopped and begun again, so a run with little left to do
 * is done earlier where it is.  It moves only if it is expected to end earlier
 * elsewhere.  One that stands still shows nothing of what it has left, so a low
 * estimate keeps it where it is for STILL_MAX_MS only.
 */
#ifndef CORE_SLOW_MOVE_H
#define CORE_SLOW_MOVE_H

#include <stdbool.h>
#include <stdint.h>

typedef struct gh_slow_run {
	int64_t estimate_ms; /* of the whole task at full pace */
	/* Work of this run so far, as time at full pace. */
	double worked_ms;
	/* Part of the task that was done at the run's start, and that is now.
	 */
	uint32_t first_percent, percent;
	uint32_t pace_percent;
	int64_t stop_ms; /* longest time that a stop takes */
	int64_t slow_ms; /* time for which its pace has been low */
} gh_slow_run_t;

/* What the run has left to do, as time at full pace. */
double gh_slow_run_left_ms(const gh_slow_run_t *run);
/* How much earlier the task is expected to be done elsewhere; below 0: later.
 */
double gh_slow_run_gain_ms(const gh_slow_run_t *run);

#endif
