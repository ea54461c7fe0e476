/*
 * Slot credits: the entry hosts of a failure domain divide the slots of each
 * executor among them, so that all hosts together never use more slots than
 * it has.
 *
 * The accepted document splits an executor's slots into fixed shares.  A
 * lowered share takes effect at once.  A raised share becomes usable only when
 * every other entry host of the domain has reported this very generation, and
 * the settle time has passed since the last of these reports and since the
 * document came into force.  The settle time is the duration of a loan plus
 * that of the longest request: after it, all loans and requests under an older
 * document have ended, also those of hosts that this document names gone.  The
 * first share of a process is raised from zero in the same way.
 *
 * Unused credits can be lent to another entry host of the domain until a
 * deadline.  The lender counts them as used until the borrower's last request
 * must have ended.
 */
#ifndef CORE_CREDIT_H
#define CORE_CREDIT_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#include "core_document.h"
#include "core_time.h"

#define GH_CREDIT_LOAN_MS 500 /* duration of a loan of slots */

typedef struct gh_credit gh_credit_t;

/* Identifies the slot that a request uses; GH_CREDIT_NO_HOLD for none. */
typedef uint64_t gh_credit_hold_t;

#define GH_CREDIT_NO_HOLD 0

/* Slots of one executor as counted by this host. */
typedef struct gh_credit_view {
	unsigned share;	 /* slots of this host by the document in force */
	unsigned usable; /* part of the share that this host may use now */
	/* slots in use, also by requests whose end is unknown */
	unsigned taken;
	/* slots lent to other hosts, until returned or expired */
	unsigned lent;
	unsigned borrowed; /* slots borrowed from other hosts, usable now */
	unsigned free;	   /* number of requests that may be dispatched now */
} gh_credit_view_t;

/*
 * Share of the host with the given index when an amount is split among hosts.
 * Which hosts get the remainder differs by executor, so that no host gets it on
 * all executors.
 */
unsigned gh_credit_split(unsigned amount, unsigned hosts, unsigned host,
			 unsigned executor);

/* Share of an entry host in the slots or connections of an executor. */
unsigned gh_credit_slot_share(const gh_document_t *doc, gh_handle_t entry,
			      gh_handle_t executor);
unsigned gh_credit_connection_share(const gh_document_t *doc, gh_handle_t entry,
				    gh_handle_t executor);

/*
 * Returns the slot credits of the entry host named self, whose process started
 * at the time started.
 */
gh_credit_t *gh_credit_new(const char *self, gh_time_t started);
void gh_credit_free(gh_credit_t *credit);

/*
 * Puts a document into force if its generation is newer than that of the
 * document in force.
 */
void gh_credit_apply(gh_credit_t *credit, const gh_document_t *doc,
		     gh_time_t now);

/*
 * Records that another entry host reported the generation of its document in
 * force.
 */
void gh_credit_set_peer_generation(gh_credit_t *credit, const char *entry,
				   uint64_t generation, gh_time_t now);

/*
 * Records that the process is running.  To be called from its start on and
 * several times within request_max_ms.  A gap of the settle time means that
 * the process was paused: another host may have started without a report from
 * it and raised its own shares, so the shares here are reset to zero and
 * raised again.
 */
void gh_credit_tick(gh_credit_t *credit, gh_time_t now);

/*
 * Whether this host's slot shares became usable since its process started or
 * was last paused.
 */
bool gh_credit_ready(gh_credit_t *credit, gh_time_t now);

gh_credit_view_t gh_credit_view(gh_credit_t *credit, const char *executor,
				gh_time_t now);

/*
 * Takes a slot of the executor for a request that is dispatched now; returns
 * GH_CREDIT_NO_HOLD if no slot is free.
 */
gh_credit_hold_t gh_credit_take(gh_credit_t *credit, const char *executor,
				gh_time_t now);

/*
 * Frees a slot after the complete response has arrived, the executor has
 * refused the request, or nothing was sent.  Without this call the slot is
 * freed request_max_ms after it was taken.
 */
void gh_credit_done(gh_credit_t *credit, gh_credit_hold_t hold);

/* Request of another host for a loan of slots. */
typedef struct gh_credit_loan_request {
	const char *executor;
	const char *borrower;
	uint64_t generation; /* generation of the borrower's document */
	uint64_t loan_id;    /* unique, chosen by the borrower */
	unsigned wanted;     /* number of slots */
} gh_credit_loan_request_t;

/*
 * Lends unused slots to another host that has the same generation in force.
 * One unused slot is always kept here.  Returns the number of slots lent and
 * sets *loan_ms to the time that is left of the loan.  A repeated request gets
 * the same number until the loan ends.
 */
unsigned gh_credit_lend(gh_credit_t *credit,
			const gh_credit_loan_request_t *request,
			int64_t *loan_ms, gh_time_t now);

/* Records that the borrower returned count slots of a loan. */
void gh_credit_record_return(gh_credit_t *credit, const char *borrower,
			     uint64_t loan_id, unsigned count);

/* Loan that another host granted. */
typedef struct gh_credit_loan {
	const char *executor;
	const char *lender;
	uint64_t generation; /* document generation in the loan request */
	uint64_t loan_id;
	unsigned count;
	int64_t loan_ms;
	/* time just before the loan request was sent; start of the loan */
	gh_time_t requested_at;
} gh_credit_loan_t;

/*
 * Adds the slots of a loan by another host to the slots that this host may use.
 */
void gh_credit_record_loan(gh_credit_t *credit, const gh_credit_loan_t *loan);

/* Slots of a loan to be returned, see gh_credit_next_return(). */
typedef struct gh_credit_return {
	char executor[GH_NAME_MAX + 1];
	char lender[GH_NAME_MAX + 1];
	uint64_t loan_id;
	unsigned count;
} gh_credit_return_t;

/*
 * Closes a loan to this host that no request uses, or any loan to it if all is
 * set, and sets *ret to the slots to be returned to the lender.  Returns false
 * if there is no such loan.  Slots in use are not returned; the lender waits
 * until the requests on these slots must have ended.
 */
bool gh_credit_next_return(gh_credit_t *credit, bool all, gh_time_t now,
			   gh_credit_return_t *ret);

/*
 * Closes a loan to this host that is past its deadline and that no request
 * uses, and sets *ret to the slots to return.  If they were not returned, the
 * lender would wait until the last request on them must have ended.
 */
bool gh_credit_next_expired(gh_credit_t *credit, gh_time_t now,
			    gh_credit_return_t *ret);

#endif
