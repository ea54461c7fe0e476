/*
 * Claims: at most one dispatch of a non-idempotent request.
 *
 * Every entry host keeps a bounded table of claims by request key.  The first
 * attempt that is recorded for a key holds the claim until its deadline.  A
 * full table refuses new claims and never evicts one early.  A query is a
 * claim itself: it leaves a record, so that two attempts can't both be granted
 * the key.
 *
 * An attempt is the arrival of a request at one entry host.  A caller sends a
 * request first and may then repeat it, also to other hosts, and a repeat may
 * overtake the first submission.
 *
 * The first submission is recorded on its own host and on one more host of the
 * same failure domain whose table goes back far enough to know of a repeat
 * that overtook it, or else on a majority of all hosts.
 *
 * A repeat is recorded on every entry host that can be reached.  It may run
 * only if no host can have run the first submission, and if a majority of
 * the hosts has kept its claims for the whole window and knows of no other
 * attempt.  Any two majorities share a host, so that no two repeats can run.
 */
#ifndef CORE_CLAIM_H
#define CORE_CLAIM_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#include "core_document.h"
#include "core_time.h"
#include "error.h"

#define GH_CLAIM_KEY_LEN 16

typedef struct gh_claim_key {
	uint8_t bytes[GH_CLAIM_KEY_LEN];
} gh_claim_key_t;

/* Reply to a claim request; the numbers are those of the peer protocol. */
typedef enum gh_claim_status {
	GH_CLAIM_GRANTED,   /* recorded; no other attempt within window_ms */
	GH_CLAIM_HELD,	    /* another attempt holds it */
	GH_CLAIM_FORGOTTEN, /* recorded; the table doesn't go back window_ms */
	GH_CLAIM_FULL,	    /* not recorded: the table is full */
	GH_CLAIM_STALE,	    /* not recorded: the requester's document is old */
	GH_CLAIM_STATUS_COUNT
} gh_claim_status_t;

/* Request for the claim to a key. */
typedef struct gh_claim_request {
	gh_claim_key_t key;
	uint64_t attempt_id; /* unique to one attempt at one host */
	const char *holder;  /* entry host of the attempt */
	uint64_t generation; /* of the holder's document */
	/*
	 * Time for which the table must know all other attempts.  For the
	 * first submission this is the longest time that it can have been
	 * under way while a repeat overtook it, for a repeat the time for
	 * which callers may repeat a request.
	 */
	int64_t window_ms;
} gh_claim_request_t;

/* Reply of one host. */
typedef struct gh_claim_reply {
	gh_handle_t entry;
	bool replied; /* false: none arrived in time */
	gh_claim_status_t status;
} gh_claim_reply_t;

typedef struct gh_claim_table gh_claim_table_t;

/* Returns an empty table for a process that started at the given time. */
gh_claim_table_t *gh_claim_new(gh_time_t started);
void gh_claim_free(gh_claim_table_t *table);

/*
 * Sets the maximum number of claims and the time for which they are kept.
 * After a change to a longer window, claims of the time before may be missing.
 */
void gh_claim_set_policy(gh_claim_table_t *table, size_t max, int64_t window_ms,
			 gh_time_t now);

/*
 * Records a claim and returns its status.  A repeated request of the same
 * attempt keeps its claim.  With GH_CLAIM_HELD, *holder is set to the
 * name of the host that holds the claim, unless holder is NULL.
 */
gh_claim_status_t gh_claim_take(gh_claim_table_t *table,
				const gh_claim_request_t *request,
				gh_time_t now, const char **holder);

/*
 * Like gh_claim_take() for a request of another host, but returns
 * GH_CLAIM_STALE if doc is newer than the document of that host or is the same
 * and does not let it accept requests.
 */
gh_claim_status_t gh_claim_take_for_peer(gh_claim_table_t *table,
					 const gh_document_t *doc,
					 const gh_claim_request_t *request,
					 gh_time_t now, const char **holder);

/* Removes the claim of an attempt that was not dispatched. */
void gh_claim_release(gh_claim_table_t *table, const gh_claim_key_t *key,
		      uint64_t attempt_id);

/* Number of claims in the table, without expired ones. */
size_t gh_claim_count(gh_claim_table_t *table, gh_time_t now);

/*
 * Lists the hosts that can keep the second record of a first submission that
 * arrived at self, in the order in which to ask them.  Writes up to
 * doc->n_entries handles and returns their number.
 */
size_t gh_claim_second_hosts(const gh_document_t *doc, gh_handle_t self,
			     gh_handle_t *hosts);

/* Lists all hosts other than self that a repeat has to ask. */
size_t gh_claim_other_hosts(const gh_document_t *doc, gh_handle_t self,
			    gh_handle_t *hosts);

/*
 * Whether a first submission may run at self, by the status of its own record
 * and the replies so far.  If not, sets *refusal to the reason.
 */
bool gh_claim_first_may_run(const gh_document_t *doc, gh_handle_t self,
			    gh_claim_status_t own_status,
			    const gh_claim_reply_t *replies, size_t n,
			    gh_error_kind_t *refusal);

/* Whether a repeat may run at self; the parameters are the same. */
bool gh_claim_repeat_may_run(const gh_document_t *doc, gh_handle_t self,
			     gh_claim_status_t own_status,
			     const gh_claim_reply_t *replies, size_t n,
			     gh_error_kind_t *refusal);

#endif
