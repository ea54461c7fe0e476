/*
 * Health of one worker: whether it replies to calls, and whether the task
 * attempts that it starts fail.
 *
 * A worker is ejected when its last attempts all failed and these were of
 * several jobs or of a job that succeeds elsewhere.  After the ejection, which
 * doubles in length each time, it is tried with one task.
 */
#ifndef CORE_WORKER_H
#define CORE_WORKER_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#include "core_time.h"

#define GH_WORKER_FAILURES_MAX 16 /* latest failures kept per worker */

typedef enum gh_worker_verdict {
	GH_WORKER_KEEP,	  /* no change */
	GH_WORKER_EJECT,  /* the failures are the worker's fault */
	GH_WORKER_READMIT /* the task of the trial succeeded */
} gh_worker_verdict_t;

/* A failed attempt, which may be the fault of the task or the worker. */
typedef struct gh_worker_failure {
	uint32_t task;
	uint32_t attempt;
	uint32_t job;
	bool job_ran_elsewhere; /* a task of the job succeeded */
} gh_worker_failure_t;

typedef struct gh_worker_health {
	gh_worker_failure_t failures[GH_WORKER_FAILURES_MAX];
	size_t n_failures; /* in a row, up to the size of failures */
	bool ejected;
	gh_time_t trial_at;	 /* end of the ejection */
	uint32_t ejections;	 /* in a row; each is twice as long */
	bool reachable;		 /* a reply to the last call arrived */
	uint32_t missed_replies; /* calls in a row without a reply */
	int64_t lease_end_ms;	 /* latest deadline it may have received */
} gh_worker_health_t;

/*
 * Records the end of an attempt.  may_eject is false when the limit of ejected
 * workers is reached.  On GH_WORKER_EJECT the caller no longer counts the
 * failures against their tasks and clears n_failures.
 */
gh_worker_verdict_t gh_worker_attempt_succeeded(gh_worker_health_t *health);
gh_worker_verdict_t gh_worker_attempt_failed(gh_worker_health_t *health,
					     const gh_worker_failure_t *failure,
					     bool may_eject,
					     gh_time_t eject_time,
					     gh_time_t now);

/* Whether another task may be placed on a worker that has this many. */
bool gh_worker_usable(const gh_worker_health_t *health, uint32_t tasks,
		      gh_time_t now);

/* Record whether a reply to a call arrived. */
void gh_worker_reply_received(gh_worker_health_t *health);
void gh_worker_reply_missing(gh_worker_health_t *health);

/*
 * Whether the next call should renew the worker's leases.  After a missing
 * reply the next call only lists its tasks: a renewal whose reply is lost would
 * extend leases without the owner knowing.
 */
bool gh_worker_should_renew(const gh_worker_health_t *health);

#endif
