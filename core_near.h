/*
 * Whether a task waits for a place near its data, or in the rack of its step,
 * rather than start now where it takes longer.
 *
 * Answers load that concentrates on the workers of one rack while others are
 * free.  A wait pays if the time until a near place is free, by what the runs
 * there are expected to take, is less than what the task saves by it, with the
 * chance that others take the place, and if it doesn't make the job late.
 */
#ifndef CORE_NEAR_H
#define CORE_NEAR_H

#include "core_run_time.h"
#include "core_time.h"

/* A run on a near worker, whose end frees a place for the task. */
typedef struct gh_near_run {
	int64_t elapsed_ms; /* since it began */
	gh_run_estimate_t estimate;
} gh_near_run_t;

typedef struct gh_near_question {
	/* Run time elsewhere over that near the data; at most 1: no wait. */
	double remote_factor;
	gh_run_estimate_t task; /* of the task, near its data */
	/* Time left to the job's objective before its tasks must have ended. */
	int64_t slack_ms;
	const gh_near_run_t *runs;
	size_t n_runs;
	/* Near places that the step needs at once: 1, or all of a gang. */
	uint32_t places;
	/* Tasks that get a near place before this one. */
	uint32_t ahead;
	/* Such tasks that come in a second, on average. */
	double arrivals_per_s;
	/* Part of the places elsewhere that others wait for, 0 to 1. */
	double crowded;
	/* Deadline of the wait, as an earlier answer set it; 0: none did. */
	gh_time_t until;
} gh_near_question_t;

/* Why a task waits or does not; see gh_near_reason_name(). */
typedef enum gh_near_reason {
	GH_NEAR_WAITS,
	GH_NEAR_NO_LOSS,  /* it takes no longer elsewhere */
	GH_NEAR_NO_PLACE, /* too few near places become free */
	GH_NEAR_TOO_LONG, /* the wait takes longer than it saves */
	GH_NEAR_LATE,	  /* the job would be late for it */
	GH_NEAR_WAITED,	  /* the deadline of the wait is over */
	GH_NEAR_REASONS
} gh_near_reason_t;

typedef struct gh_near_answer {
	gh_near_reason_t reason; /* GH_NEAR_WAITS: the task waits */
	gh_time_t until;	 /* deadline of the wait; 0: none */
	int64_t wait_ms;	 /* expected time until a near place is free */
	int64_t saved_ms;	 /* run time that a near place saves */
	double chance;		 /* that nobody else takes the place */
} gh_near_answer_t;

void gh_near_decide(const gh_near_question_t *question, gh_time_t now,
		    gh_near_answer_t *answer);
const char *gh_near_reason_name(gh_near_reason_t reason);

/* Mean time that a run still takes that began elapsed_ms ago. */
int64_t gh_near_remaining_ms(const gh_run_estimate_t *estimate,
			     int64_t elapsed_ms);

#endif
