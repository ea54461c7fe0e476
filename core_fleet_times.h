/* Expected run times of the fleet's tasks; see core_fleet_times.c. */
#ifndef CORE_FLEET_TIMES_H
#define CORE_FLEET_TIMES_H

#include "core_fleet_state.h"
#include "core_run_time.h"

/* Learns from a run that has ended as done; called before it is closed. */
void fleet_times_note_done(gh_fleet_t *fleet, const fleet_run_t *run,
			   gh_time_t now);
/* Takes note of a run that failed; called before its task counts it. */
void fleet_times_note_failed(gh_fleet_t *fleet, const fleet_run_t *run,
			     gh_time_t now);
/*
 * What a task of the stage is expected to take, by earlier runs and by those of
 * the stage itself; by its declared time for a long-running one.
 */
const gh_run_estimate_t *fleet_times_estimate(const gh_fleet_t *fleet,
					      const fleet_job_t *job,
					      uint32_t stage, gh_time_t now);
/*
 * gh_pipeline_critical_path_ms() of the job's first occurrence by the expected
 * run times of each step's longest task.
 */
int64_t fleet_times_path_ms(const gh_fleet_t *fleet, const fleet_job_t *job,
			    uint32_t unfinished, gh_time_t now);
/*
 * Objective of the job by expected run times and the time spent in runs that
 * failed, in ms from its acceptance or due time.
 */
int64_t fleet_times_objective_ms(const gh_fleet_t *fleet,
				 const fleet_job_t *job, gh_time_t now);
/* Expected work of the job's tasks that are not done, in core-milliseconds. */
int64_t fleet_times_remaining_core_ms(const gh_fleet_t *fleet,
				      const fleet_job_t *job, gh_time_t now);
/*
 * Whether the run takes longer than its step lets expect, so that a copy is
 * likely to end earlier.
 */
bool fleet_times_is_straggler(const gh_fleet_t *fleet, const fleet_run_t *run,
			      gh_time_t now);

#endif
