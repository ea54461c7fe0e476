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
	GH_CLAIM_GRANTED, /* recorded; no other attempt within window_ms */
	GH_CLAIM_HELD,	  /* another attempt holds the claim */
	/* recorded; claims of part of window_ms may be missing */
	GH_CLAIM_FORGOTTEN,
	GH_CLAIM_FULL, /* not recorded: the table is full */
	/* not recorded: the requester's document is outdated */
	GH_CLAIM_STALE,
	GH_CLAIM_STATUS_COUNT
} gh_claim_status_t;

/* Asks an entry host's table to grant an attempt the claim to a key. */
typedef struct gh_claim_request {
	gh_claim_key_t key;
	uint64_t attempt_id; /* unique to one attempt at one host */
	const char *holder;  /* name of the entry host of the attempt */
	uint64_t generation; /* generation of the holder's document */
	/*
	 * Time before now for which the table must know all other attempts with
	 * the key.  For a first submission, this is the longest time that a
	 * first submission can be under way while a repeat overtakes it; for a
	 * repeat, it is the time for which callers may repeat a request.
	 */
	int64_t window_ms;
} gh_claim_request_t;

/* Reply of one entry host to a claim request. */
typedef struct gh_claim_reply {
	gh_handle_t entry;
	bool replied; /* false: no reply arrived in time */
	gh_claim_status_t status;
} gh_claim_reply_t;

typedef struct gh_claim_table gh_claim_table_t;

/*
 * Returns an empty table of claims for a process that started at the given
 * time.
 */
gh_claim_table_t *gh_claim_new(gh_time_t started);
void gh_claim_free(gh_claim_table_t *table);

/*
 * Sets the maximum number of claims and the time for which claims are kept.
 * After a change to a longer time, claims that had expired under the shorter
 * one are missing.
 */
void gh_claim_set_policy(gh_claim_table_t *table, size_t max, int64_t window_ms,
			 gh_time_t now);

/*
 * Records a claim and returns its status.  When the same attempt requests its
 * claim again, it keeps it.  With GH_CLAIM_HELD, *holder is set to the name of
 * the entry host whose attempt holds the claim, unless holder is NULL.
 */
gh_claim_status_t gh_claim_take(gh_claim_table_t *table,
				const gh_claim_request_t *request,
				gh_time_t now, const char **holder);

/*
 * Like gh_claim_take(), for a claim request of another host.  Returns
 * GH_CLAIM_STALE if doc is newer than that host's document, or if doc is of the
 * same generation and does not let that host accept requests.
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
 * arrived at self, in the order in which to ask these hosts.  Writes up to
 * doc->n_entries handles and returns the number of handles.
 */
size_t gh_claim_second_hosts(const gh_document_t *doc, gh_handle_t self,
			     gh_handle_t *hosts);

/*
 * Lists all entry hosts other than self that must be asked for a claim before a
 * repeat may run.
 */
size_t gh_claim_other_hosts(const gh_document_t *doc, gh_handle_t self,
			    gh_handle_t *hosts);

/*
 * Whether a first submission may run at self, by the status of the claim
 * recorded at self and the replies of other hosts so far.  If not, sets
 * *refusal to the reason.
 */
bool gh_claim_first_may_run(const gh_document_t *doc, gh_handle_t self,
			    gh_claim_status_t own_status,
			    const gh_claim_reply_t *replies, size_t n,
			    gh_error_kind_t *refusal);

/*
 * Whether a repeat may run at self; the parameters are those of
 * gh_claim_first_may_run().
 */
bool gh_claim_repeat_may_run(const gh_document_t *doc, gh_handle_t self,
			     gh_claim_status_t own_status,
			     const gh_claim_reply_t *replies, size_t n,
			     gh_error_kind_t *refusal);

#endif
