/*
 * Health of one worker: whether it answers, and whether it fails what it
 * starts.
 *
 * A worker whose last attempts all failed, while their jobs do well
 * elsewhere or are several, is ejected for a time that doubles, and then
 * tried with one task.
 */
#ifndef CORE_WORKER_H
#define CORE_WORKER_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#include "core_time.h"

#define GH_WORKER_FAILURES_MAX 16 /* failures remembered of one worker */

typedef enum gh_worker_verdict {
	GH_WORKER_KEEP,
	GH_WORKER_EJECT,  /* the failures in blamed are its own */
	GH_WORKER_READMIT /* it did well on trial */
} gh_worker_verdict_t;

/* A failed attempt that may turn out to be the worker's fault. */
typedef struct gh_worker_failure {
	uint32_t task;
	uint32_t attempt;
	uint32_t job;
	bool job_ran_elsewhere;
} gh_worker_failure_t;

typedef struct gh_worker_health {
	gh_worker_failure_t failures[GH_WORKER_FAILURES_MAX];
	size_t n_failures; /* failures in a row */
	bool ejected;
	gh_time_t trial_at;	 /* when an ejected worker is tried */
	uint32_t ejections;	 /* in a row, for doubling */
	bool reachable;		 /* the last call was answered */
	uint32_t missed_replies; /* calls in a row without an answer */
	int64_t lease_end_ms;	 /* latest lease deadline it may have got */
} gh_worker_health_t;

/*
 * Notes the end of an attempt.  may_eject is false at the ejection limit.
 * On an ejection the caller gives the blamed failures back to their tasks.
 */
gh_worker_verdict_t gh_worker_attempt_succeeded(gh_worker_health_t *health);
gh_worker_verdict_t gh_worker_attempt_failed(gh_worker_health_t *health,
					     const gh_worker_failure_t *blame,
					     bool may_eject,
					     gh_time_t eject_time,
					     gh_time_t now);

/* Whether a task may be placed, given how many tasks it has now. */
bool gh_worker_usable(const gh_worker_health_t *health, uint32_t tasks,
		      gh_time_t now);

/* Notes a call with or without an answer. */
void gh_worker_reply_received(gh_worker_health_t *health);
void gh_worker_reply_missing(gh_worker_health_t *health);

/*
 * Whether the next call should renew.  A worker that does not answer is only
 * listed: a renewal whose answer is lost would extend its leases unseen.
 */
bool gh_worker_should_renew(const gh_worker_health_t *health);

#endif
