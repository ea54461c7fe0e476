/*
 * Interface between the replay of requests and the policies: simulated
 * executors, requests in flight and the callbacks of a policy.
 */
#ifndef REPLAY_REQUEST_H
#define REPLAY_REQUEST_H

#include "core_credit.h"
#include "core_queue.h"
#include "core_retry.h"
#include "replay.h"
#include "replay_heap.h"

#define REPLAY_NO_EXECUTOR UINT32_MAX

typedef struct replay_sim replay_sim_t;

/* A request from its arrival until it is completed or refused. */
typedef struct replay_inflight {
	const replay_request_t *req; /* of the trace */
	const gh_service_t *service;
	gh_time_t arrived_at;
	gh_time_t deadline; /* for the response to leave the entry host */
	gh_time_t sent_at;  /* last dispatch to an executor; 0: none yet */
	uint32_t executor;
	/* Used by the decision core only. */
	uint32_t host; /* entry host */
	bool is_long;
	gh_credit_hold_t hold;
	gh_ticket_t ticket;
	gh_retry_state_t retry;
} replay_inflight_t;

/* A simulated executor. */
typedef struct replay_executor {
	const gh_executor_t *executor;
	replay_mode_t mode;
	unsigned busy_slots;
	GQueue queue; /* of replay_inflight_t; baselines only */
} replay_executor_t;

/* Callbacks of a policy. */
typedef struct replay_request_ops {
	/* Returns the policy's state, stored in sim->policy_state. */
	void *(*create)(replay_sim_t *sim);
	void (*handle_arrival)(replay_sim_t *sim, replay_inflight_t *inflight);
	/* The request ended at its executor, which failed it if failed is set.
	 */
	void (*handle_end)(replay_sim_t *sim, replay_inflight_t *inflight,
			   bool failed);
	/* Called at the time set by replay_request_schedule_wakeup(). */
	void (*handle_wakeup)(replay_sim_t *sim, uint32_t subject, void *data);
	void (*destroy)(replay_sim_t *sim);
} replay_request_ops_t;

struct replay_sim {
	const replay_request_ops_t *ops;
	const replay_trace_t *trace;
	replay_request_result_t *result;
	replay_heap_t heap;
	gh_time_t now;
	replay_executor_t *executors;
	GPtrArray *requests; /* of replay_inflight_t, freed at the end */
	unsigned *waiting;   /* requests without a slot, by department */
	unsigned *running;   /* requests at an executor, by department */
	void *policy_state;
};

/* Starts a request at its executor now; the executor has a free slot. */
void replay_request_start(replay_sim_t *sim, replay_inflight_t *inflight);

/* Ends a request with a refusal. */
void replay_request_refuse(replay_sim_t *sim, replay_inflight_t *inflight,
			   gh_error_kind_t kind);

/* Ends a request with its complete response. */
void replay_request_complete(replay_sim_t *sim, replay_inflight_t *inflight);

/* Schedules a call of ops->handle_wakeup(). */
void replay_request_schedule_wakeup(replay_sim_t *sim, gh_time_t at,
				    uint32_t subject, void *data);

extern const replay_request_ops_t replay_core_ops;
extern const replay_request_ops_t replay_fifo_random_ops;
extern const replay_request_ops_t replay_least_connections_ops;

#endif
