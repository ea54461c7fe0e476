/*
 * Health and load of executors, learned from the ends of requests.
 *
 * An executor whose requests fail too often is ejected for a while, then
 * probed by one request at a time, then taken back with a slow start.  No
 * more than a set part of a domain is ejected at once.
 */
#ifndef CORE_EXECUTOR_H
#define CORE_EXECUTOR_H

#include <stdbool.h>
#include <stddef.h>

#include "core_document.h"
#include "core_retry.h"
#include "core_time.h"

typedef enum gh_executor_state {
	GH_EXECUTOR_IN_USE,
	GH_EXECUTOR_EJECTED,
	GH_EXECUTOR_PROBING,   /* one request is on its way */
	GH_EXECUTOR_SLOW_START /* slow start */
} gh_executor_state_t;

/* What changed at the end of a request, for counters and logs. */
typedef enum gh_executor_change {
	GH_EXECUTOR_NO_CHANGE,
	GH_EXECUTOR_WAS_EJECTED,
	GH_EXECUTOR_WAS_READMITTED
} gh_executor_change_t;

typedef struct gh_executor_table gh_executor_table_t;

gh_executor_table_t *gh_executor_new(void);
void gh_executor_free(gh_executor_table_t *table);

/* Takes the executors of one domain and the policy from a document. */
void gh_executor_apply(gh_executor_table_t *table, const gh_document_t *doc,
		       gh_handle_t domain);

/*
 * Whether an executor may get a request now, as far as its health and the
 * part for long work go; slots is what this host may use of it.
 */
bool gh_executor_is_available(gh_executor_table_t *table, const char *name,
			      bool is_long, unsigned slots, gh_time_t now);

/*
 * Expected wait behind what this host has under way there; failures count as
 * if they had cost their callers the longest run time.
 */
gh_time_t gh_executor_expected_wait(const gh_executor_table_t *table,
				    const char *name);

/* A request goes out, or ended after run time. */
void gh_executor_request_sent(gh_executor_table_t *table, const char *name,
			      bool is_long);
gh_executor_change_t gh_executor_request_ended(gh_executor_table_t *table,
					       const char *name, bool is_long,
					       gh_send_result_t how,
					       gh_time_t run, gh_time_t now);

/*
 * A whole answer says by its status that the executor failed; to be called
 * in place of gh_executor_request_ended() with GH_SEND_COMPLETED.
 */
gh_executor_change_t gh_executor_response_failed(gh_executor_table_t *table,
						 const char *name, bool is_long,
						 gh_time_t now);

/* Time of the last good answer, 0 for none. */
gh_time_t gh_executor_last_success(const gh_executor_table_t *table,
				   const char *name);

/*
 * Whether a connection that was silent since then is dead: nothing came for
 * the time limit while other connections to the executor brought answers.
 */
bool gh_executor_connection_silent(const gh_executor_table_t *table,
				   const char *name, gh_time_t since,
				   gh_time_t limit, gh_time_t now);

gh_executor_state_t gh_executor_state(const gh_executor_table_t *table,
				      const char *name);
unsigned gh_executor_in_flight(const gh_executor_table_t *table,
			       const char *name);
size_t gh_executor_ejected_count(const gh_executor_table_t *table);

#endif
