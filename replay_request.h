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
	/* The request as recorded in the trace. */
	const replay_request_t *req;
	const gh_service_t *service;
	gh_time_t arrived_at;
	/* Time by which the response has to leave the entry host. */
	gh_time_t deadline;
	/* Time of the last dispatch to an executor; 0: not dispatched yet. */
	gh_time_t sent_at;
	uint32_t executor;
	/*
	 * The members from here on are used by the decision core policy only.
	 */
	uint32_t host; /* index of the entry host that has the request */
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
	/*
	 * Waiting requests (replay_inflight_t), used by baseline policies only.
	 */
	GQueue queue;
} replay_executor_t;

/* Callbacks of a policy. */
typedef struct replay_request_ops {
	/* Returns the policy's state, stored in sim->policy_state. */
	void *(*create)(replay_sim_t *sim);
	void (*handle_arrival)(replay_sim_t *sim, replay_inflight_t *inflight);
	/*
	 * Called when a request ended at its executor; failed tells whether the
	 * executor failed it.
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
	/* All requests (replay_inflight_t), freed at the end of the replay. */
	GPtrArray *requests;
	/* Number of requests waiting for a slot, by department. */
	unsigned *waiting;
	/* Number of requests running at executors, by department. */
	unsigned *running;
	void *policy_state;
};

/* Starts a request at its executor now; the executor must have a free slot. */
void replay_request_start(replay_sim_t *sim, replay_inflight_t *inflight);

/* Ends a request with a refusal. */
void replay_request_refuse(replay_sim_t *sim, replay_inflight_t *inflight,
			   gh_error_kind_t kind);

/* Ends a request with its complete response. */
void replay_request_complete(replay_sim_t *sim, replay_inflight_t *inflight);

/* Schedules a call of ops->handle_wakeup() with subject and data at time at. */
void replay_request_schedule_wakeup(replay_sim_t *sim, gh_time_t at,
				    uint32_t subject, void *data);

extern const replay_request_ops_t replay_core_ops;
extern const replay_request_ops_t replay_fifo_random_ops;
extern const replay_request_ops_t replay_least_connections_ops;

#endif
