/*
 * What the parts of the callers' front share.
 *
 * front.c has the HTTP server, front_request.c the course of one request,
 * front_dispatch.c queue, slots and executors, front_claim.c the claims,
 * front_spill.c other failure domains, front_peer.c the peers' calls.
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

#define FRONT_ATTEMPT_UNKNOWN (-1)
#define FRONT_ID_MAX 96 /* bytes of a sending's id, with the final NUL */

/* Decision state; all of it under the lock. */
typedef struct front_core {
	pthread_mutex_t lock;
	gh_document_t *doc; /* applied last, NULL before the first */
	gh_handle_t self;   /* entry host in doc, or GH_HANDLE_NONE */
	gh_queue_t *queue;
	gh_credit_t *credit;
	gh_executor_table_t *executors;
	gh_retry_budget_t budget;
	gh_route_candidate_t *choices; /* room for every executor of doc */
	GHashTable *waiting;	       /* ticket to front_wait_t */
	GHashTable *spilled;	       /* entry host to requests under way */
	unsigned slots;		       /* usable by this host, all executors */
	uint64_t seed;
} front_core_t;

struct front {
	node_t *node;
	http_server_t *http;
	executor_link_t *link;
	executor_link_t *spill_link;
	front_core_t core;
	pthread_mutex_t claim_lock;
	gh_claim_table_t *claims;
	_Atomic uint64_t next_id;
	_Atomic bool draining;
	_Atomic bool stopping;
	_Atomic gh_time_t last_tick; /* of the ticker */
	_Atomic gh_time_t pause;     /* longest time between ticks, lately */
	gh_time_t paused_at;	     /* when that was; the ticker's own */
	pthread_t ticker;
	bool ticking;
};

/* A caller's request, as read from HTTP. */
typedef struct front_request {
	const char *method;
	const char *path; /* whole, with the query */
	char service[GH_NAME_MAX + 1];
	const char *key;       /* Idempotency-Key, or NULL */
	const char *caller_id; /* X-Request-Id, or NULL */
	GPtrArray *headers;    /* "Name: value" to pass on; NULL-terminated */
	const char *forwarded_by; /* or NULL */
	const char *body;
	size_t body_len;
	int64_t attempt; /* X-Attempt, or FRONT_ATTEMPT_UNKNOWN */
	bool asks_idempotent;
	int64_t remaining_ms; /* 0 for the default */
	/* Set on the way. */
	gh_document_t *doc;
	gh_retry_state_t retry;
	bool first_ruled_out; /* no earlier attempt can have run */
	gh_claim_key_t claim_key;
	uint64_t attempt_id;
	unsigned sendings;
	gh_time_t run; /* of the last sending */
	char last_executor[GH_NAME_MAX + 1];
	char id[FRONT_ID_MAX]; /* of the sending */
} front_request_t;

/* What the caller gets. */
typedef struct front_reply {
	int status;
	char *body;
	size_t body_len;
	GHashTable *headers; /* lower-case name to value, or NULL */
	const char *outcome; /* of X-Outcome */
	int64_t retry_after_ms;
} front_reply_t;

/* One passage through the queue to an executor. */
typedef enum front_wait_state {
	FRONT_WAITING,
	FRONT_DISPATCHED,
	FRONT_HOPELESS
} front_wait_state_t;

typedef struct front_wait {
	front_wait_state_t state;
	pthread_cond_t changed;
	gh_ticket_t ticket;
	const char *service;
	const char *avoid; /* executor to pass over if others can */
	bool is_long;
	char executor[GH_NAME_MAX + 1];
	char address[GH_ADDRESS_MAX + 1];
	size_t connections;
	gh_credit_hold_t hold;
	gh_time_t sent;
} front_wait_t;

/* front_request.c */

/* Takes one request to its end; fills the reply. */
void front_serve(front_t *front, front_request_t *req, front_reply_t *reply);
void front_refuse(front_reply_t *reply, const front_request_t *req,
		  gh_error_kind_t kind, int64_t retry_after_ms,
		  const char *detail);
/* Moves an answer into the reply. */
void front_take_answer(front_reply_t *reply, http_answer_t *answer,
		       const char *outcome);
void front_reply_clear(front_reply_t *reply);

/* front_headers.c */

/* Whether a header goes from end to end. */
bool front_passes_header(const char *name);

/* front_dispatch.c */

void front_core_init(front_core_t *core, const node_t *node);
void front_core_clear(front_core_t *core);

/* Applies the node's document if it is newer; under the lock. */
void front_refresh(front_t *front);

/* Counts the slots that this host may use; under the lock. */
void front_count(front_t *front);

/* Dispatches what can be dispatched now; under the lock. */
void front_pump(front_t *front);

/* Whether a request may enter the queue. */
bool front_admit(front_t *front, const front_request_t *req,
		 gh_error_kind_t *refusal, int64_t *retry_after_ms);

/*
 * Waits in the queue until an executor is free.  False when the request left
 * the queue without being dispatched, with the reason.
 */
bool front_dispatch(front_t *front, front_request_t *req, front_wait_t *wait,
		    gh_error_kind_t *refusal);

/* The sending ended; whatever the executor may still run keeps its slot. */
void front_sending_ended(front_t *front, front_wait_t *wait,
			 gh_send_result_t how, int status);

/* Slots of this host, by the document and free now. */
unsigned front_free_slots(front_t *front);

/* front_claim.c */

/* For how long claims are kept: repeats may take their time as well. */
int64_t front_claim_window_ms(const gh_document_t *doc);

/*
 * Claims the request's key.  False with the reason when it may not run; the
 * claims are released then.
 */
bool front_claim(front_t *front, front_request_t *req,
		 gh_error_kind_t *refusal);

/* Releases the claims of a request that was not sent to any executor. */
void front_release(front_t *front, const front_request_t *req);

/* front_spill.c */

/*
 * Passes the request on to another failure domain.  True when the reply is
 * filled; false when the request is still to be served here.
 */
bool front_spill(front_t *front, front_request_t *req, front_reply_t *reply);

/* front_peer.c */

void front_register(front_t *front);

/* One round of borrowing and returning slot credits. */
void front_balance(front_t *front);

/* Returns all loans. */
void front_return_loans(front_t *front);

#endif
