/*
 * Slot credits: the entry hosts of a failure domain share the slots of its
 * executors so that their sum is never exceeded.
 *
 * An executor's slots are split into fixed shares by the accepted document.
 * A lowered share holds at once.  A raised one is usable only after every
 * other entry host of the domain was seen with this very document, and after
 * the longest loan and the longest request have run out since, also those of
 * hosts that the document names gone.  The same
 * holds for the first share of a process.  Unused credits can be lent to
 * another entry host of the domain until a deadline; the lender counts them
 * as taken until the borrower's last request must have ended.
 */
#ifndef CORE_CREDIT_H
#define CORE_CREDIT_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#include "core_document.h"
#include "core_time.h"

#define GH_CREDIT_LOAN_MS 500 /* longest loan */

typedef struct gh_credit gh_credit_t;

/* A slot that one request has taken; zero stands for none. */
typedef uint64_t gh_credit_hold_t;

#define GH_CREDIT_NO_HOLD 0

/* What one executor's slots look like from this host. */
typedef struct gh_credit_view {
	unsigned share;	   /* by the document in force */
	unsigned usable;   /* of the share, now */
	unsigned taken;	   /* by requests, ended ones of unknown fate too */
	unsigned lent;	   /* to other hosts, until returned or lapsed */
	unsigned borrowed; /* usable from other hosts */
	unsigned free;	   /* requests that may be dispatched now */
} gh_credit_view_t;

/*
 * Share of one host in an amount that n hosts split: the remainder is
 * rotated by executor, so that no host gets it everywhere.
 */
unsigned gh_credit_split(unsigned amount, unsigned hosts, unsigned host,
			 unsigned executor);

/* Share of an entry host in an executor's slots or connections. */
unsigned gh_credit_slot_share(const gh_document_t *doc, gh_handle_t entry,
			      gh_handle_t executor);
unsigned gh_credit_connection_share(const gh_document_t *doc, gh_handle_t entry,
				    gh_handle_t executor);

/* Credits of the named entry host in a process that started then. */
gh_credit_t *gh_credit_new(const char *self, gh_time_t started);
void gh_credit_free(gh_credit_t *credit);

/* A document came into force.  Older or equal generations are ignored. */
void gh_credit_apply(gh_credit_t *credit, const gh_document_t *doc,
		     gh_time_t now);

/* Another entry host was heard with the generation it has in force. */
void gh_credit_set_peer_generation(gh_credit_t *credit, const char *entry,
				   uint64_t generation, gh_time_t now);

/*
 * Says that the process runs; to be called from its start on, several times
 * within the longest request.  When no call came for the longest loan and the
 * longest request, the process was paused, another one may have come to
 * shares without hearing it, and its own shares begin anew.
 */
void gh_credit_tick(gh_credit_t *credit, gh_time_t now);

/* Whether the process's first share is usable. */
bool gh_credit_ready(gh_credit_t *credit, gh_time_t now);

gh_credit_view_t gh_credit_view(gh_credit_t *credit, const char *executor,
				gh_time_t now);

/*
 * Takes a slot for a request that is dispatched now; GH_CREDIT_NO_HOLD when
 * none is free.
 */
gh_credit_hold_t gh_credit_take(gh_credit_t *credit, const char *executor,
				gh_time_t now);

/*
 * Frees a slot: the whole answer came, the executor refused, or nothing was
 * sent.  Without this call the slot is free request_max_ms after it was
 * taken.
 */
void gh_credit_done(gh_credit_t *credit, gh_credit_hold_t hold);

/* Who asks for the loan of how many slots. */
typedef struct gh_credit_loan_request {
	const char *executor;
	const char *borrower;
	uint64_t generation; /* of the borrower's document */
	uint64_t loan_id;    /* unique to the loan */
	unsigned wanted;
} gh_credit_loan_request_t;

/*
 * Lends unused slots to another host that has the same document in force.
 * Returns the number, and sets *loan_ms to the rest of the loan.  A repeat
 * of an ask is answered alike.
 */
unsigned gh_credit_lend(gh_credit_t *credit,
			const gh_credit_loan_request_t *ask, int64_t *loan_ms,
			gh_time_t now);

/* The borrower returned some slots of a loan that it no longer uses. */
void gh_credit_record_return(gh_credit_t *credit, const char *borrower,
			     uint64_t loan_id, unsigned count);

/*
 * A loan arrived here.  asked is the time before the question was sent, from
 * which the loan counts; generation is what the ask carried.
 */
typedef struct gh_credit_loan {
	const char *executor;
	const char *lender;
	uint64_t generation;
	uint64_t loan_id;
	unsigned count;
	int64_t loan_ms;
	gh_time_t requested_at;
} gh_credit_loan_t;

void gh_credit_record_loan(gh_credit_t *credit, const gh_credit_loan_t *loan);

/* A loan to be returned, see gh_credit_next_return(). */
typedef struct gh_credit_return {
	char executor[GH_NAME_MAX + 1];
	char lender[GH_NAME_MAX + 1];
	uint64_t loan_id;
	unsigned count;
} gh_credit_return_t;

/*
 * Gives up one loan with slots that no request uses, or any loan when all is
 * set.  Returns false when there is none.  Only slots that no request used
 * are counted in it; the lender waits for the others.
 */
bool gh_credit_next_return(gh_credit_t *credit, bool all, gh_time_t now,
			   gh_credit_return_t *ret);

/*
 * The same for a loan past its deadline that no request uses: the lender
 * would otherwise wait for its last request.
 */
bool gh_credit_next_expired(gh_credit_t *credit, gh_time_t now,
			    gh_credit_return_t *ret);

#endif
