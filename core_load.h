/*
 * Load of lasting jobs, forecast some seconds ahead.
 *
 * The load of a job is taken as a level with one wave on it, fitted to recent
 * samples by least squares for each of a range of periods.  Jobs swing with
 * phases of their own but at one pace, so the period is chosen by how well it
 * has forecast all of them.
 */
#ifndef CORE_LOAD_H
#define CORE_LOAD_H

#include <stdbool.h>

#include "core_time.h"

/* The periods tried, with the record of each. */
typedef struct gh_load_periods gh_load_periods_t;
/* Fits of one job. */
typedef struct gh_load gh_load_t;

gh_load_periods_t *gh_load_periods_new(void);
void gh_load_periods_free(gh_load_periods_t *wave);
/* Period that forecasts best, in seconds. */
double gh_load_periods_best_s(const gh_load_periods_t *wave);

/* The wave must outlive the load. */
gh_load_t *gh_load_new(gh_load_periods_t *wave);
void gh_load_free(gh_load_t *load);

/*
 * Takes in one sample, as a share of the job's cores.  A single one far off
 * moves the fit a little only.
 */
void gh_load_observe(gh_load_t *load, double sample, gh_time_t now);

/* Whether there are samples enough to tell the load from other things. */
bool gh_load_known(const gh_load_t *load);

/* Forecast; a cautious constant while there is no sample. */
double gh_load_forecast(const gh_load_t *load, gh_time_t when);

#endif
