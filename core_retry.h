/*
 * Retries: whether a request may be sent again after an attempt to send it, and
 * which error its caller receives if not.
 *
 * An attempt that reached no executor, or that an executor refused before it
 * ran the request, may be repeated for any request.  Once a byte was written,
 * only an idempotent request is sent again.  Retries are paid from a budget
 * that successful requests replenish.
 */
#ifndef CORE_RETRY_H
#define CORE_RETRY_H

#include <stdbool.h>
#include <stdint.h>

#include "core_document.h"
#include "core_time.h"
#include "error.h"

/* Result of one attempt to send a request. */
typedef enum gh_send_result {
	GH_SEND_COMPLETED, /* the complete response arrived */
	GH_SEND_REFUSED,   /* the executor refused before it ran the request */
	GH_SEND_UNSENT,	   /* no byte of the request was written */
	GH_SEND_RESET,	   /* the connection broke after a write */
	/* the response was truncated, too long or for another request */
	GH_SEND_BAD_RESPONSE,
	/*
	 * The connection counts as failed: the executor sent responses on
	 * others only.
	 */
	GH_SEND_SILENT,
	GH_SEND_TIMEOUT, /* no response by the deadline */
	GH_SEND_COUNT
} gh_send_result_t;

typedef struct gh_retry_budget {
	int64_t balance_percent; /* budget left; one retry costs 100 */
} gh_retry_budget_t;

/* Attempts of one request so far. */
typedef struct gh_retry_state {
	bool idempotent;
	/* the executor of at least one attempt may have run the request */
	bool written;
	unsigned retries;
	gh_time_t deadline;
} gh_retry_state_t;

typedef enum gh_retry_verdict {
	GH_RETRY_DONE, /* pass the response to the caller */
	/* send the request again, to another executor if possible */
	GH_RETRY_AGAIN,
	GH_RETRY_GIVE_UP /* return the error that gh_retry_decide() set */
} gh_retry_verdict_t;

void gh_retry_budget_init(gh_retry_budget_t *budget);

/*
 * Records a request that got its response: adds the retry_budget_percent of the
 * policy to the budget.
 */
void gh_retry_succeeded(gh_retry_budget_t *budget, const gh_policy_t *policy);

/*
 * Decides what follows an attempt to send a request that ended with result.
 * GH_RETRY_AGAIN takes the cost of a retry from the budget.  For
 * GH_RETRY_GIVE_UP it sets *kind to an error whose gh_error_ran() holds for all
 * attempts of the request.
 */
gh_retry_verdict_t gh_retry_decide(gh_retry_budget_t *budget,
				   gh_retry_state_t *state,
				   const gh_policy_t *policy,
				   gh_send_result_t result, gh_time_t now,
				   gh_error_kind_t *kind);

#endif
