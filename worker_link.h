/*
 * Calls to workers, behind a vtable.  Any number of threads may call; each
 * call blocks until the answer or its deadline.
 */
#ifndef WORKER_LINK_H
#define WORKER_LINK_H

#include "core_shard.h"

typedef struct worker_link worker_link_t;

/* Where a call goes, and for whom. */
typedef struct worker_call {
	const char *address; /* "a.b.c.d:port" */
	const char *shard;   /* name of the shard on the wire */
	uint64_t epoch;
	int64_t lease_ms;   /* lease deadline to grant; wall clock */
	gh_time_t deadline; /* of the call; boot clock */
} worker_call_t;

typedef struct worker_ops {
	/* Carries out an action; fills the checkpoint of a stop. */
	gh_reply_t (*act)(worker_link_t *link, const worker_call_t *call,
			  const gh_action_t *action,
			  char checkpoint[GH_CHECKPOINT_MAX + 1]);
	/*
	 * Renews, or only lists when renew is false.  On GH_REPLY_OK the
	 * report's tasks are the caller's, to be freed with g_free().
	 */
	gh_reply_t (*poll)(worker_link_t *link, const worker_call_t *call,
			   bool renew, gh_report_t *report);
	void (*free)(worker_link_t *link);
} worker_ops_t;

struct worker_link {
	const worker_ops_t *ops;
};

/* Over HTTP; see docs/INTERFACES.md.  Keeps up to max_idle connections. */
worker_link_t *worker_http_new(size_t max_idle);

#endif
