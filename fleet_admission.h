/*
 * Refusal, before anything is written, of jobs that would end too late for
 * their callers; see core_admission.h.
 */
#ifndef FLEET_ADMISSION_H
#define FLEET_ADMISSION_H

#include "fleet_jobs.h"

/*
 * Loop's thread: false with GH_E_DEADLINE_INFEASIBLE and the time after which
 * the caller should return if the job is refused.  A job that was accepted, or
 * may have been, never is.
 */
bool fleet_admission_check(fleet_jobs_t *jobs, const gh_pipeline_t *job,
			   const gh_queue_policy_t *policy, int64_t limit_milli,
			   int64_t *retry_after_ms, GError **err);

#endif
