/*
 * Forecast of the load of long-running jobs, some seconds ahead.
 *
 * The load of a job is modelled as a level plus one sine wave, fitted to recent
 * samples by least squares for each of a range of periods.  Jobs differ in
 * phase but share one period, so the period is chosen by how well it has
 * forecast all of the jobs.
 */
#ifndef CORE_LOAD_H
#define CORE_LOAD_H

#include <stdbool.h>

#include "core_time.h"

/* Candidate periods with their forecast errors, shared by all jobs. */
typedef struct gh_load_periods gh_load_periods_t;
/* Fits of one job's load. */
typedef struct gh_load gh_load_t;

gh_load_periods_t *gh_load_periods_new(void);
void gh_load_periods_free(gh_load_periods_t *periods);
/* The chosen period, in seconds. */
double gh_load_periods_best_s(const gh_load_periods_t *periods);

/* Returns a load without samples; periods must outlive it. */
gh_load_t *gh_load_new(gh_load_periods_t *periods);
void gh_load_free(gh_load_t *load);

/*
 * Adds a sample, as a share of the job's cores.  Samples less than 50 ms apart
 * are merged; the influence of a single outlier is limited.
 */
void gh_load_observe(gh_load_t *load, double sample, gh_time_t now);

/* Whether there are enough samples to tell the load from interference. */
bool gh_load_known(const gh_load_t *load);

/*
 * Load expected at a time, as a share of the job's cores; a cautious constant
 * while there is no sample.  load may be NULL.
 */
double gh_load_forecast(const gh_load_t *load, gh_time_t when);

#endif
