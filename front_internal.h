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

#define FRONT_ATTEMPT_UNKNOWN (-1) /* the request has no X-Attempt */
#define FRONT_SEND_ID_SIZE 96	   /* bytes, with the final NUL */

/* State of queueing and dispatch; lock protects every member. */
typedef struct front_core {
	pthread_mutex_t lock;
	gh_document_t *doc; /* last applied, or NULL */
	gh_handle_t self;   /* this entry host in doc, or GH_HANDLE_NONE */
	gh_queue_t *queue;
	gh_credit_t *credit;
	gh_executor_table_t *executors;
	gh_retry_budget_t retry_budget;
	gh_route_candidate_t *candidates; /* as many as doc has executors */
	GHashTable *waiting;		  /* queued: ticket to front_wait_t */
	GHashTable *spills_in_flight;	  /* entry host to unsigned */
	unsigned usable_slots;		  /* of all executors, for this host */
	uint64_t random_seed;
} front_core_t;

struct front {
	node_t *node;
	http_server_t *http;
	executor_link_t *executor_link;
	executor_link_t *spill_link; /* to entry hosts */
	front_core_t core;
	pthread_mutex_t claim_lock;
	gh_claim_table_t *claims;
	_Atomic uint64_t next_id; /* for send ids and attempt ids */
	_Atomic bool draining;
	_Atomic bool stopping;
	_Atomic gh_time_t last_tick;	 /* CLOCK_BOOTTIME */
	_Atomic gh_time_t longest_pause; /* between ticks, see record_tick() */
	gh_time_t longest_pause_seen_at; /* tick thread only */
	pthread_t tick_thread;
	bool tick_thread_started;
};

/* One request of a caller. */
typedef struct front_request {
	const char *method;
	const char *path; /* with /r/SERVICE and the query */
	char service[GH_NAME_MAX + 1];
	const char *idempotency_key;   /* Idempotency-Key, or NULL */
	const char *caller_request_id; /* X-Request-Id, or NULL */
	GPtrArray *forwarded_headers;  /* "Name: value"; NULL-terminated */
	const char *forwarded_by;      /* X-Forwarded-By, or NULL */
	const char *body;
	size_t body_len;
	int64_t attempt;	/* X-Attempt, or FRONT_ATTEMPT_UNKNOWN */
	bool marked_idempotent; /* X-Idempotent: 1 */
	int64_t remaining_ms;	/* X-Remaining-Ms, or 0 for request_max_ms */
	/* Set while the request is handled. */
	gh_document_t *doc;
	gh_retry_state_t retry;
	bool earlier_run_excluded; /* by the claims */
	gh_claim_key_t claim_key;
	uint64_t attempt_id;
	unsigned sends;	    /* to executors, so far */
	gh_time_t run_time; /* duration of the last send */
	char last_executor[GH_NAME_MAX + 1];
	char send_id[FRONT_SEND_ID_SIZE]; /* X-Request-Id of the last send */
} front_request_t;

/* The HTTP response that the caller gets. */
typedef struct front_reply {
	int status;
	char *body;
	size_t body_len;
	GHashTable *headers;	/* lower-case name to value, or NULL */
	const char *outcome;	/* value of X-Outcome */
	int64_t retry_after_ms; /* 0: no Retry-After */
} front_reply_t;

typedef enum front_wait_state {
	FRONT_WAITING,
	FRONT_DISPATCHED,
	FRONT_INFEASIBLE /* removed: it cannot meet its deadline */
} front_wait_state_t;

/* A request in the queue and the executor that it is dispatched to. */
typedef struct front_wait {
	front_wait_state_t state;
	pthread_cond_t state_changed;
	gh_ticket_t ticket;
	const char *service;
	const char *avoid_executor; /* used only if no other can, or NULL */
	bool is_long;		    /* counts against the slots for long work */
	char executor[GH_NAME_MAX + 1];
	char address[GH_ADDRESS_MAX + 1];
	size_t connection_share; /* this host's, at the executor */
	gh_credit_hold_t credit_hold;
	gh_time_t sent_at; /* CLOCK_BOOTTIME */
} front_wait_t;

/* front_request.c */

/* Handles one request to its end and fills the reply. */
void front_serve(front_t *front, front_request_t *req, front_reply_t *reply);

/*
 * Fills the reply with an error.  Its message starts with detail, or with
 * "request" for NULL; retry_after_ms 0 stands for the default of the kind.
 */
void front_refuse(front_reply_t *reply, const front_request_t *req,
		  gh_error_kind_t kind, int64_t retry_after_ms,
		  const char *detail);

/* Moves the body and headers of a response into the reply. */
void front_reply_take_response(front_reply_t *reply, http_response_t *response,
			       const char *outcome);
void front_reply_clear(front_reply_t *reply);

/* front_headers.c */

/* Whether a header is end-to-end, by its name in any case. */
bool front_forwards_header(const char *name);

/* front_dispatch.c */

void front_core_init(front_core_t *core, const node_t *node);
void front_core_clear(front_core_t *core);

/* Applies the node's document if it is newer.  Needs core.lock. */
void front_update_document(front_t *front);

/* Updates core.usable_slots.  Needs core.lock. */
void front_update_usable_slots(front_t *front);

/* Dispatches queued requests to free executors.  Needs core.lock. */
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

/* Free slots of this host at all executors.  Needs core.lock. */
unsigned front_count_free_slots(front_t *front);

/* front_claim.c */

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

/* front_spill.c */

/*
 * Forwards a request that this host cannot admit to an entry host of another
 * failure domain.  Returns false, without a reply, if no host was suitable or
 * the request did not run there.
 */
bool front_spill(front_t *front, front_request_t *req, front_reply_t *reply);

/* front_peer.c */

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
