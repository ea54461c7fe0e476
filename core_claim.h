/*
 * Claims: at most one dispatch of a non-idempotent request.
 *
 * Every entry host holds a bounded table of claims by request key.  The
 * first attempt that records a key holds it until the claim's deadline; a
 * table that is full refuses and never forgets early.  A query is a claim:
 * asking leaves a record, so that two attempts can't both be told yes.
 *
 * A first sending is recorded on its own host and on one more of the same
 * failure domain that remembers any repeat that may have overtaken it, or
 * else on a majority of all.  Any other arrival is recorded
 * on every entry host that can be reached and may run only when each host
 * that could have taken the first sending is accounted for, and when a
 * majority remembers the whole window and knows of no other attempt: any two
 * majorities share a host, so that no two of these attempts can run.
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

/* Answers about a claim; the numbers are those of the peer protocol. */
typedef enum gh_claim_status {
	GH_CLAIM_GRANTED,   /* recorded; no other attempt in the time asked */
	GH_CLAIM_HELD,	    /* another attempt holds it */
	GH_CLAIM_FORGOTTEN, /* recorded; earlier attempts aren't known */
	GH_CLAIM_FULL,	    /* not recorded: the table is full */
	GH_CLAIM_STALE,	    /* not recorded: the asker's document is old */
	GH_CLAIM_STATUS_COUNT
} gh_claim_status_t;

/* Who asks for which key. */
typedef struct gh_claim_request {
	gh_claim_key_t key;
	uint64_t attempt_id; /* unique to one attempt at one host */
	const char *holder;  /* entry host of the attempt */
	uint64_t generation; /* of the holder's document */
	/*
	 * Time for which other attempts have to be known.  For a first sending
	 * it is the longest time that it can have been on its way while a
	 * repeat overtook it, for any other arrival the time for which callers
	 * may repeat.
	 */
	int64_t window_ms;
} gh_claim_request_t;

/* One host's answer; answered is false when none came in time. */
typedef struct gh_claim_reply {
	gh_handle_t entry;
	bool replied;
	gh_claim_status_t status;
} gh_claim_reply_t;

typedef struct gh_claim_table gh_claim_table_t;

/* An empty table of a process that started at the given time. */
gh_claim_table_t *gh_claim_new(gh_time_t started);
void gh_claim_free(gh_claim_table_t *table);

/* Bound and window in force; a longer window shortens what is remembered. */
void gh_claim_set_policy(gh_claim_table_t *table, size_t max, int64_t window_ms,
			 gh_time_t now);

/*
 * Answers one ask.  The same attempt is answered alike again.  holder, when
 * not NULL, is set to the name of the host that holds the claim.
 */
gh_claim_status_t gh_claim_take(gh_claim_table_t *table,
				const gh_claim_request_t *ask, gh_time_t now,
				const char **holder);

/*
 * Answers an ask of another host: as gh_claim_take(), but GH_CLAIM_STALE
 * when the asker's document is older or doesn't let it take requests.
 */
gh_claim_status_t gh_claim_take_for_peer(gh_claim_table_t *table,
					 const gh_document_t *doc,
					 const gh_claim_request_t *ask,
					 gh_time_t now, const char **holder);

/* Gives up the claim of one attempt, which was not dispatched. */
void gh_claim_release(gh_claim_table_t *table, const gh_claim_key_t *key,
		      uint64_t attempt_id);

/* Records held, lapsed ones not counted. */
size_t gh_claim_count(gh_claim_table_t *table, gh_time_t now);

/*
 * Hosts that can hold the second record of a first sending at self, in the
 * order in which to ask them.  Writes up to doc->n_entries handles.
 */
size_t gh_claim_second_hosts(const gh_document_t *doc, gh_handle_t self,
			     gh_handle_t *hosts);

/* All other hosts that any other arrival at self asks. */
size_t gh_claim_other_hosts(const gh_document_t *doc, gh_handle_t self,
			    gh_handle_t *hosts);

/*
 * Whether a first sending may run at self, by its own record and the answers
 * so far.  When it may not, *refusal is the reason.
 */
bool gh_claim_first_may_run(const gh_document_t *doc, gh_handle_t self,
			    gh_claim_status_t own,
			    const gh_claim_reply_t *answers, size_t n,
			    gh_error_kind_t *refusal);

/* Whether any other arrival may run at self. */
bool gh_claim_repeat_may_run(const gh_document_t *doc, gh_handle_t self,
			     gh_claim_status_t own,
			     const gh_claim_reply_t *answers, size_t n,
			     gh_error_kind_t *refusal);

#endif
