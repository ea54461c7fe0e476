/*
 * Health of one worker: whether it replies to calls, and whether the task
 * attempts that it starts fail.
 *
 * A worker is ejected when its last attempts all failed and these were of
 * several jobs, or of one job of which some task had succeeded on any worker.
 * After the ejection, which doubles in length each time, it is tried with one
 * task.
 */
#ifndef CORE_WORKER_H
#define CORE_WORKER_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#include "core_time.h"

/* number of latest failed attempts kept per worker */
#define GH_WORKER_FAILURES_MAX 16

typedef enum gh_worker_verdict {
	GH_WORKER_KEEP, /* the worker was not ejected and remains so */
	/* the failures are the worker's fault; it is ejected */
	GH_WORKER_EJECT,
	GH_WORKER_READMIT /* the task of the trial succeeded */
} gh_worker_verdict_t;

/* A failed attempt, which may be the fault of the task or the worker. */
typedef struct gh_worker_failure {
	uint32_t task;
	uint32_t attempt;
	uint32_t job;
	/* a task of the job has succeeded, on any worker */
	bool job_ran_elsewhere;
} gh_worker_failure_t;

typedef struct gh_worker_health {
	gh_worker_failure_t failures[GH_WORKER_FAILURES_MAX];
	/*
	 * Number of failed attempts since the last success; at most the size of
	 * failures.
	 */
	size_t n_failures;
	bool ejected;
	/* end of the ejection; from then on one task is tried on the worker */
	gh_time_t trial_at;
	/*
	 * Number of ejections since the last success; each lasts twice the one
	 * before.
	 */
	uint32_t ejections;
	/* the worker's reply to the last call arrived */
	bool reachable;
	/* number of calls to the worker in a row without a reply */
	uint32_t missed_replies;
	/* Latest lease deadline that the worker may have received. */
	int64_t lease_end_ms;
} gh_worker_health_t;

/*
 * Record the end of a task attempt on the worker.  may_eject is false when the
 * limit of ejected workers is reached.  On GH_WORKER_EJECT the caller no longer
 * counts the failures against their tasks and clears n_failures.
 */
gh_worker_verdict_t gh_worker_attempt_succeeded(gh_worker_health_t *health);
gh_worker_verdict_t gh_worker_attempt_failed(gh_worker_health_t *health,
					     const gh_worker_failure_t *failure,
					     bool may_eject,
					     gh_time_t eject_time,
					     gh_time_t now);

/*
 * Whether another task may be placed on a worker that has this number of tasks.
 */
bool gh_worker_usable(const gh_worker_health_t *health, uint32_t tasks,
		      gh_time_t now);

/* Record whether the worker's reply to a call arrived. */
void gh_worker_reply_received(gh_worker_health_t *health);
void gh_worker_reply_missing(gh_worker_health_t *health);

/*
 * Whether the next call should renew the worker's leases.  After a missing
 * reply the next call only lists the worker's tasks: a renewal whose reply is
 * lost would extend leases without the owner knowing.
 */
bool gh_worker_should_renew(const gh_worker_health_t *health);

#endif
