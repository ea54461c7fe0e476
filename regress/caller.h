/*
 * Load generator of the tests: threads send requests to the entry hosts,
 * record each outcome, and compare the outcomes with the executors' runs.
 */
#ifndef CALLER_H
#define CALLER_H

#include "system.h"

typedef enum caller_outcome {
	CALLER_DONE,	/* a complete response to this request */
	CALLER_NOT_RUN, /* the response says so, or nothing was sent */
	CALLER_UNKNOWN, /* the response says so, or there was none */
	CALLER_WRONG,	/* another request's response, or an incomplete one */
	CALLER_OUTCOMES
} caller_outcome_t;

typedef struct caller_options {
	unsigned threads;
	const char *method;   /* POST when NULL */
	const char *service;  /* "order" when NULL */
	int64_t run_ms;	      /* 0: the executor's default */
	int64_t remaining_ms; /* 0: omits X-Remaining-Ms */
	unsigned repeats;     /* max retries of a key, at the next entry host */
	uint64_t entries;     /* bit set of entry hosts; 0: all */
	bool omit_attempt;    /* omits X-Attempt */
} caller_options_t;

typedef struct caller caller_t;

/* Starts the threads, which send one request after the other until stopped. */
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
/* Stops the threads and frees the records. */
void caller_free(caller_t *caller);

/*
 * Sends one request and returns its outcome.  Sets *response, for the caller
 * to clear, unless it is NULL.
 */
caller_outcome_t caller_send(system_t *sys, unsigned entry,
			     const caller_options_t *options, const char *key,
			     unsigned attempt, proc_response_t *response);

#endif
