/*
 * Submission of a job unless it would end too late for its caller; see
 * core_admission.h.
 *
 * Before a caller is told that a job never runs, its state is read from the
 * store: another host may have accepted it and its answer been lost.
 */
#ifndef FLEET_ADMISSION_H
#define FLEET_ADMISSION_H

#include "core_admission.h"
#include "fleet_jobs.h"

/* It and what it points to must last until done() is called. */
typedef struct fleet_submission {
	fleet_jobs_t *jobs;
	const gh_pipeline_t *job;
	const gh_queue_policy_t *policy; /* of its queue */
	int64_t limit_milli;		 /* see gh_admission_state_t */
	uint64_t memory_max;		 /* see gh_admission_has_memory() */
	gh_time_t deadline;
	fleet_jobs_done_t done;
	void *ctx;
	int64_t retry_after_ms; /* set if the job is refused */
	/* Used by fleet_admission_submit() only. */
	GError *refusal;
	gh_admission_reason_t refusal_reason;
	int64_t refusal_retry_after_ms;
} fleet_submission_t;

/*
 * Loop's thread: calls fleet_jobs_submit(), or fails with
 * GH_E_DEADLINE_INFEASIBLE or GH_E_JOB_TABLE_FULL and nothing written.  A job
 * that was accepted, or may have been, is not refused.
 */
void fleet_admission_submit(fleet_submission_t *submission);

#endif
