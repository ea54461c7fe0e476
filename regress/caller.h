/*
 * Load generator of the tests: threads send requests to the entry hosts,
 * record each outcome, and compare the outcomes with the executors' runs.
 */
#ifndef CALLER_H
#define CALLER_H

#include "system.h"

typedef enum caller_outcome {
	CALLER_DONE,	/* complete response that belongs to this request */
	CALLER_NOT_RUN, /* the response says "not run", or nothing was sent */
	CALLER_UNKNOWN, /* the response says "unknown", or no response came */
	CALLER_WRONG,	/* response that belongs to another request or is
			   incomplete */
	CALLER_OUTCOMES
} caller_outcome_t;

typedef struct caller_options {
	unsigned threads;
	const char *method;  /* HTTP method; NULL: POST */
	const char *service; /* service name; NULL: "order" */
	int64_t run_ms; /* run time per request; 0: the executor's default */
	int64_t remaining_ms; /* value of X-Remaining-Ms; 0: header omitted */
	unsigned repeats;     /* max retries of a request; each goes to the next
				 entry host */
	uint64_t entries;     /* bit set of the entry hosts to use; 0: all */
	bool omit_attempt;    /* omit the header X-Attempt */
} caller_options_t;

typedef struct caller caller_t;

/* Starts the load threads, each of which sends one request after the other
 * until caller_stop(). */
caller_t *caller_start(system_t *sys, const caller_options_t *options);

/* Waits until n more requests have a final outcome. */
void caller_wait_finished(caller_t *caller, int64_t n);

/* Waits until n more requests have the outcome CALLER_DONE. */
void caller_wait_done(caller_t *caller, int64_t n);

/* Waits for the requests in flight and sends no new ones. */
void caller_stop(caller_t *caller);

int64_t caller_count(caller_t *caller, caller_outcome_t outcome);

/*
 * Checks, after caller_stop(), that no request got a wrong response, requests
 * that are done ran, requests whose last outcome is "not run" never ran, a
 * POST ran at most once, and no executor exceeded its slots.  Fails the test
 * otherwise.
 */
void caller_check(caller_t *caller);
/* Checks that each request that ran got a response with outcome "done". */
void caller_check_all_done(caller_t *caller);
/* Stops the load threads and frees the records of their requests. */
void caller_free(caller_t *caller);

/*
 * Sends one request and returns its outcome.  Sets *response, for the caller
 * to clear, unless it is NULL.
 */
caller_outcome_t caller_send(system_t *sys, unsigned entry,
			     const caller_options_t *options, const char *key,
			     unsigned attempt, proc_response_t *response);

#endif
