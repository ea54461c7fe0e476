/*
 * Calls to workers, behind a vtable.  Any number of threads may call at once;
 * each call blocks until the reply or its deadline.
 */
#ifndef WORKER_LINK_H
#define WORKER_LINK_H

#include "core_shard.h"

typedef struct worker_link worker_link_t;

/* Destination of a call, and the shard that makes it. */
typedef struct worker_call {
	const char *address;	   /* "a.b.c.d:port" */
	const char *shard;	   /* "domain/index" */
	uint64_t epoch;		   /* epoch of the shard's owner */
	int64_t lease_deadline_ms; /* end of the task leases, wall clock */
	gh_time_t deadline;	   /* latest time for the reply, boot clock */
} worker_call_t;

typedef struct worker_ops {
	/*
	 * Sends an action to a worker. checkpoint is set to the checkpoint that
	 * a stop has saved, else to the empty string.
	 */
	gh_reply_t (*act)(worker_link_t *link, const worker_call_t *call,
			  const gh_action_t *action,
			  char checkpoint[GH_CHECKPOINT_MAX + 1]);
	/*
	 * Lists the worker's tasks, and renews their leases if renew is true.
	 * A call that renews none goes over a new connection.
	 * The caller frees report->tasks with g_free().
	 */
	gh_reply_t (*poll)(worker_link_t *link, const worker_call_t *call,
			   bool renew, gh_report_t *report);
	void (*free)(worker_link_t *link);
} worker_ops_t;

struct worker_link {
	const worker_ops_t *ops;
};

/*
 * Creates a link that calls workers over HTTP; see docs/INTERFACES.md.  Keeps
 * at most max_idle idle connections.
 */
worker_link_t *worker_http_new(size_t max_idle);

#endif
