/*
 * Health and load of executors, learned from the results of requests.
 *
 * An executor whose requests fail too often is ejected for a time, then probed
 * with one request at a time, and readmitted with a slow start.  At most
 * eject_max_percent of a domain's executors are ejected at the same time.
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
	GH_EXECUTOR_PROBING,   /* one request is in flight as a test */
	GH_EXECUTOR_SLOW_START /* readmitted, with few slots at first */
} gh_executor_state_t;

/*
 * What the end of a request changed in the executor's state, for counters and
 * logs.
 */
typedef enum gh_executor_change {
	GH_EXECUTOR_NO_CHANGE,
	GH_EXECUTOR_WAS_EJECTED,
	GH_EXECUTOR_WAS_READMITTED
} gh_executor_change_t;

typedef struct gh_executor_table gh_executor_table_t;

gh_executor_table_t *gh_executor_new(void);
void gh_executor_free(gh_executor_table_t *table);

/* Applies the policy and the active executors of one domain. */
void gh_executor_apply(gh_executor_table_t *table, const gh_document_t *doc,
		       gh_handle_t domain);

/*
 * Whether the executor's health and its slots for long requests allow a request
 * now.  slots is the number of the executor's slots that this host may use;
 * long requests leave one of several slots free.
 */
bool gh_executor_is_available(gh_executor_table_t *table, const char *name,
			      bool is_long, unsigned slots, gh_time_t now);

/*
 * Expected time until a new request to the executor completes, given the
 * requests that this host has in flight there.  The failure rate adds its
 * fraction of request_max_ms, so that an executor that fails fast does not
 * attract requests.  GH_TIME_NEVER for an unknown executor.
 */
gh_time_t gh_executor_expected_wait(const gh_executor_table_t *table,
				    const char *name);

/*
 * Record that a request was sent to the executor, or that it ended with result;
 * run_time is the time since the request was sent, used with GH_SEND_COMPLETED
 * only.
 */
void gh_executor_request_sent(gh_executor_table_t *table, const char *name,
			      bool is_long);
gh_executor_change_t gh_executor_request_ended(gh_executor_table_t *table,
					       const char *name, bool is_long,
					       gh_send_result_t result,
					       gh_time_t run_time,
					       gh_time_t now);

/*
 * Records a complete response whose status reports a failure of the executor;
 * to be called in place of gh_executor_request_ended().
 */
gh_executor_change_t gh_executor_response_failed(gh_executor_table_t *table,
						 const char *name, bool is_long,
						 gh_time_t now);

/* Time of the executor's last successful response, 0 for none. */
gh_time_t gh_executor_last_success(const gh_executor_table_t *table,
				   const char *name);

/*
 * Whether a connection on which nothing has arrived since the given time is
 * considered failed: the silence has lasted at least limit, and the executor
 * has sent a response on another connection since then.
 */
bool gh_executor_connection_silent(const gh_executor_table_t *table,
				   const char *name, gh_time_t since,
				   gh_time_t limit, gh_time_t now);

gh_executor_state_t gh_executor_state(const gh_executor_table_t *table,
				      const char *name);
unsigned gh_executor_in_flight(const gh_executor_table_t *table,
			       const char *name);
/* Number of executors in the document that are ejected or being probed. */
size_t gh_executor_ejected_count(const gh_executor_table_t *table);

#endif
