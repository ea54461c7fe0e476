/*
 * Retries: whether a request whose sending ended may be sent again, and what
 * its caller is told when not.
 *
 * A sending that reached no executor, or that an executor refused before it
 * ran, may be repeated for any request.  Once a byte was written, only an
 * idempotent request is sent again.  Retries are paid from a budget that
 * successes fill.
 */
#ifndef CORE_RETRY_H
#define CORE_RETRY_H

#include <stdbool.h>
#include <stdint.h>

#include "core_document.h"
#include "core_time.h"
#include "error.h"

/* How one sending of a request ended. */
typedef enum gh_send_result {
	GH_SEND_COMPLETED,    /* the whole answer to this request came */
	GH_SEND_REFUSED,      /* the executor refused before it ran */
	GH_SEND_UNSENT,	      /* nothing was written */
	GH_SEND_RESET,	      /* the connection broke */
	GH_SEND_BAD_RESPONSE, /* the answer was short, crossed or too long */
	GH_SEND_SILENT,	      /* the connection is dead, the executor is not */
	GH_SEND_TIMEOUT,      /* no answer by the deadline */
	GH_SEND_COUNT
} gh_send_result_t;

typedef struct gh_retry_budget {
	int64_t balance_percent; /* a retry costs 100 */
} gh_retry_budget_t;

/* One request's history. */
typedef struct gh_retry_state {
	bool idempotent;
	bool written; /* some sending may have run */
	unsigned retries;
	gh_time_t deadline;
} gh_retry_state_t;

typedef enum gh_retry_verdict {
	GH_RETRY_DONE,	 /* pass the answer on */
	GH_RETRY_AGAIN,	 /* send it again, elsewhere if possible */
	GH_RETRY_GIVE_UP /* refuse with the kind that was set */
} gh_retry_verdict_t;

void gh_retry_budget_init(gh_retry_budget_t *budget);

/* A request was answered. */
void gh_retry_succeeded(gh_retry_budget_t *budget, const gh_policy_t *policy);

/*
 * Decides after a sending ended; takes from the budget for a retry.  Sets
 * *kind for GH_RETRY_GIVE_UP; its gh_error_ran() is true of the request.
 */
gh_retry_verdict_t gh_retry_decide(gh_retry_budget_t *budget,
				   gh_retry_state_t *state,
				   const gh_policy_t *policy,
				   gh_send_result_t ended, gh_time_t now,
				   gh_error_kind_t *kind);

#endif
