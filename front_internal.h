/*
 * Declarations that the files of the request front share.
 *
 * front.c runs the HTTP server and the tick thread, front_request.c handles
 * one request, front_dispatch.c has the queue, slots and executor choice,
 * front_claim.c takes claims, front_spill.c forwards to other failure
 * domains, and front_peer.c handles the calls of peers and slot loans.
 */
#ifndef FRONT_INTERNAL_H
#define FRONT_INTERNAL_H

#include <pthread.h>
#include <stdatomic.h>
#include <stdbool.h>
#include <stdint.h>

#include "core_claim.h"
#include "core_credit.h"
#include "core_document.h"
#include "core_executor.h"
#include "core_queue.h"
#include "core_retry.h"
#include "core_route.h"
#include "executor_link.h"
#include "front.h"
#include "http_client.h"
#include "http_server.h"

/* Value of front_request_t.attempt if the request has no header X-Attempt. */
#define FRONT_ATTEMPT_UNKNOWN (-1)
/*
 * Size in bytes, with the final NUL, of a send id: the header X-Request-Id of
 * one send of a request to an executor.
 */
#define FRONT_SEND_ID_SIZE 96

/* State of queueing and dispatch; lock protects every member. */
typedef struct front_core {
	pthread_mutex_t lock;
	/* Document in use by the front; NULL before the first. */
	gh_document_t *doc;
	/* Handle of this host in doc; GH_HANDLE_NONE if absent. */
	gh_handle_t self;
	gh_queue_t *queue;
	gh_credit_t *credit;
	gh_executor_table_t *executors;
	gh_retry_budget_t retry_budget;
	/* Scratch array for routing, one element per executor of doc. */
	gh_route_candidate_t *candidates;
	GHashTable *waiting; /* queued requests: ticket to front_wait_t */
	/* Name of an entry host to the number of requests forwarded to it. */
	GHashTable *spills_in_flight;
	/*
	 * Slots that this host may use at all executors, borrowed ones
	 * included.
	 */
	unsigned usable_slots;
	uint64_t random_seed;
} front_core_t;

struct front {
	node_t *node;
	http_server_t *http;
	http_door_t *door;
	executor_link_t *executor_link;
	/* Connections to other entry hosts, for forwarded requests. */
	executor_link_t *spill_link;
	front_core_t core;
	pthread_mutex_t claim_lock;
	gh_claim_table_t *claims;
	/*
	 * Counter whose values make send ids and attempt ids of this process
	 * unique.
	 */
	_Atomic uint64_t next_id;
	_Atomic bool draining;
	_Atomic bool stopping;
	/* Time of the last tick of the tick thread, on CLOCK_BOOTTIME. */
	_Atomic gh_time_t last_tick;
	/*
	 * Longest time between two ticks of the tick thread, in microseconds;
	 * replaced by the latest one after the time for which claims are kept.
	 */
	_Atomic gh_time_t longest_pause;
	/*
	 * Time when longest_pause was measured; used by the tick thread only.
	 */
	gh_time_t longest_pause_seen_at;
	pthread_t tick_thread;
	bool tick_thread_started;
};

/* An HTTP request from a caller, while it is handled. */
typedef struct front_request {
	const char *method;
	/* Path in the URL, including /r/SERVICE and the query. */
	const char *path;
	char service[GH_NAME_MAX + 1];
	const char *idempotency_key; /* header Idempotency-Key, or NULL */
	/* Header X-Request-Id of the caller, or NULL. */
	const char *caller_request_id;
	/* Strings "Name: value", NULL-terminated. */
	GPtrArray *forwarded_headers;
	/*
	 * Header X-Forwarded-By: host that forwarded the request; NULL if none.
	 */
	const char *forwarded_by;
	const char *body;
	size_t body_len;
	int64_t attempt; /* header X-Attempt, or FRONT_ATTEMPT_UNKNOWN */
	/* The request has the header X-Idempotent: 1. */
	bool marked_idempotent;
	/*
	 * Header X-Remaining-Ms: time left until the caller's deadline; 0: use
	 * request_max_ms.
	 */
	int64_t remaining_ms;
	/* The members from here on are set while the request is handled. */
	gh_document_t *doc;
	gh_retry_state_t retry;
	gh_claim_key_t claim_key;
	uint64_t attempt_id;
	unsigned sends; /* number of sends to executors so far */
	/* Duration of the last send to an executor, in microseconds. */
	gh_time_t run_time;
	char last_executor[GH_NAME_MAX + 1];
	/* Header X-Request-Id of the last send to an executor. */
	char send_id[FRONT_SEND_ID_SIZE];
} front_request_t;

/* The HTTP response that the caller gets. */
typedef struct front_reply {
	int status;
	char *body;
	size_t body_len;
	/* Lower-case header name to value; NULL if none. */
	GHashTable *headers;
	const char *outcome; /* value of the header X-Outcome */
	/* Wait for the header Retry-After; 0: no such header. */
	int64_t retry_after_ms;
} front_reply_t;

typedef enum front_wait_state {
	FRONT_WAITING,
	FRONT_DISPATCHED,
	/*
	 * The request was removed from the queue, as it cannot meet its
	 * deadline.
	 */
	FRONT_INFEASIBLE
} front_wait_state_t;

/* A request in the queue and the executor that it is dispatched to. */
typedef struct front_wait {
	front_wait_state_t state;
	pthread_cond_t state_changed;
	gh_ticket_t ticket;
	const char *service;
	/*
	 * Executor to use only if no other can take the request; NULL if none.
	 */
	const char *avoid_executor;
	/* The request counts against an executor's slots for long work. */
	bool is_long;
	char executor[GH_NAME_MAX + 1];
	char address[GH_ADDRESS_MAX + 1];
	/* Maximum of connections from this host to the executor. */
	size_t connection_share;
	gh_credit_hold_t credit_hold;
	gh_time_t sent_at; /* time of the dispatch, on CLOCK_BOOTTIME */
} front_wait_t;

/* Functions defined in front_request.c. */

/* Handles one request to its end and fills the reply. */
void front_serve(front_t *front, front_request_t *req, front_reply_t *reply);

/*
 * Fills the reply with an error.  Its message starts with detail, or with
 * "request" for NULL; retry_after_ms 0 stands for the default of the error
 * kind.
 */
void front_refuse(front_reply_t *reply, const front_request_t *req,
		  gh_error_kind_t kind, int64_t retry_after_ms,
		  const char *detail);

/* Moves the body and headers of a response into the reply. */
void front_reply_take_response(front_reply_t *reply, http_response_t *response,
			       const char *outcome);
void front_reply_clear(front_reply_t *reply);

/* Functions defined in front_headers.c. */

/*
 * Whether a header is forwarded between caller and executor.  The name is
 * compared without regard to case.
 */
bool front_forwards_header(const char *name);

/* Functions defined in front_dispatch.c. */

void front_core_init(front_core_t *core, const node_t *node);
void front_core_clear(front_core_t *core);

/*
 * Applies the node's document if it is newer than core.doc.  The caller holds
 * core.lock.
 */
void front_update_document(front_t *front);

/* Recomputes core.usable_slots.  The caller holds core.lock. */
void front_update_usable_slots(front_t *front);

/* Dispatches queued requests to free executors.  The caller holds core.lock. */
void front_dispatch_queued(front_t *front);

/*
 * Whether a request may enter the queue.  If not, sets the reason and the
 * time after which a retry may succeed.
 */
bool front_admit(front_t *front, const front_request_t *req,
		 gh_error_kind_t *refusal, int64_t *retry_after_ms);

/*
 * Queues a request and waits until it is dispatched or its deadline passes.
 * Returns false, with the reason, if it left the queue undispatched.
 */
bool front_await_dispatch(front_t *front, front_request_t *req,
			  front_wait_t *wait, gh_error_kind_t *refusal);

/*
 * Records the end of a send, with the HTTP status of a complete response.
 * If the executor may still run the request, its slot stays taken until
 * request_max_ms after the send.
 */
void front_finish_send(front_t *front, front_wait_t *wait,
		       gh_send_result_t result, int status);

/*
 * Number of slots free for this host at all executors.  The caller holds
 * core.lock.
 */
unsigned front_count_free_slots(front_t *front);

/* Functions defined in front_claim.c. */

/*
 * Time in ms for which claims are kept: callers may repeat a request for
 * claim_window_ms, and a repeat takes up to request_max_ms to arrive.
 */
int64_t front_claim_window_ms(const gh_document_t *doc);

/*
 * Claims the idempotency key of a request.  Returns false, with the reason,
 * if the request may not run; its claims are released then.
 */
bool front_claim(front_t *front, front_request_t *req,
		 gh_error_kind_t *refusal);

/* Releases the claims of a request that no executor can have run. */
void front_release_claims(front_t *front, const front_request_t *req);

/* Functions defined in front_spill.c. */

/*
 * Forwards a request that this host cannot admit to an entry host of another
 * failure domain.  Returns false, without a reply, if no host was suitable or
 * the request did not run there.
 */
bool front_spill(front_t *front, front_request_t *req, front_reply_t *reply);

/* Functions defined in front_peer.c. */

/*
 * Registers the handlers of claims, loans and heartbeats.  Has to be called
 * before peer_start().
 */
void front_register_peer_handlers(front_t *front);

/*
 * While requests wait, borrows slot credits and returns expired loans.
 * Otherwise returns every loan with slots that no request uses.
 */
void front_balance_credits(front_t *front);

/* Returns all borrowed slot credits. */
void front_return_loans(front_t *front);

#endif
