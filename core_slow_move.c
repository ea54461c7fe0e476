#include "core_slow_move.h"

#include <glib.h>

/* Progress from which on a run shows how long its task takes. */
#define MEASURED_PERCENT_MIN 5
/* A restart is taken to cost as much as a stop. */
#define STOPS_PER_MOVE 2
/* A run that stands still is taken to go on at this pace. */
#define PACE_MIN_PERCENT 5
/* One that has stood still for so long is taken to do so for as long again. */
#define STILL_MAX_MS 10000

double gh_slow_run_left_ms(const gh_slow_run_t *run)
{
	uint32_t percent = MIN(run->percent, 100);
	double done = (double)percent - run->first_percent;
	double ms_per_percent = (double)run->estimate_ms / 100;

	if (done >= MEASURED_PERCENT_MIN)
		ms_per_percent = run->worked_ms / done;
	return ms_per_percent * (100 - percent);
}

double gh_slow_run_gain_ms(const gh_slow_run_t *run)
{
	double left = gh_slow_run_left_ms(run);
	double here = left * 100 / MAX(run->pace_percent, PACE_MIN_PERCENT);

	if (!run->pace_percent && run->slow_ms >= STILL_MAX_MS)
		here = MAX(here, left + (double)run->slow_ms);
	return here - left - (double)(STOPS_PER_MOVE * run->stop_ms);
}
