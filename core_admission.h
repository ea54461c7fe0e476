/*
 * Decision at the door: whether a job can still be of use to its caller, by
 * what waits in the shard that it would go to.
 *
 * A job is refused if it is expected to end later than a limit, in multiples of
 * its objective: 3 where only hopeless work is to be refused, less where late
 * work is of little use and would make others late.  Its own size is of no
 * account, so large jobs are not refused sooner than small ones; nor is a job
 * refused when too little is known.
 *
 * Callers who return are not to come at once, nor to be sent away again by
 * callers who come for the first time: each id has its turns, to which it is
 * sent back, and in which it is refused less easily.  Nothing is kept of a
 * caller, and a caller can claim nothing.
 *
 * Answers loads that ask for several times what the workers can do in a job's
 * objective: the order of core_fleet_plan.c begins each job just in time, and
 * if all are late by a little, none is of use.
 */
#ifndef CORE_ADMISSION_H
#define CORE_ADMISSION_H

#include "core_fleet.h"

typedef enum gh_admission_reason {
	GH_ADMISSION_USEFUL,	  /* admitted: it can be of use */
	GH_ADMISSION_NO_ESTIMATE, /* admitted: lasting, timed, or no estimate */
	GH_ADMISSION_UNKNOWN,	  /* admitted: what waits is not told, or old */
	GH_ADMISSION_TURN,	  /* admitted: its caller's turn has come */
	GH_ADMISSION_LATE,	  /* refused */
	GH_ADMISSION_NO_MEMORY,	  /* refused: all jobs together are too much */
	GH_ADMISSION_REASONS
} gh_admission_reason_t;

/* What is known when the job is handed in. */
typedef struct gh_admission_state {
	const gh_pipeline_t *job;
	const gh_queue_policy_t *policy;
	/* Wait in the best shard; negative: not told. */
	int64_t wait_ms;
	gh_time_t age; /* how old that is */
	int64_t wall_ms;
	/* Limit, in thousandths of the objective; 0: none is refused. */
	int64_t limit_milli;
} gh_admission_state_t;

typedef struct gh_admission_verdict {
	gh_admission_reason_t reason;
	int64_t objective_ms;
	int64_t end_ms;		/* expected time until the job's end */
	int64_t retry_after_ms; /* refused: when to return */
} gh_admission_verdict_t;

/*
 * Whether the owner of all shards has memory for one more job beside those that
 * are open, as gh_pipeline_bytes() tells; max 0: it has.  Else sets verdict.
 */
bool gh_admission_has_memory(const gh_pipeline_t *job, uint64_t open_bytes,
			     uint64_t max, gh_admission_verdict_t *verdict);
/* That limit of hosts with so much memory, in bytes. */
uint64_t gh_admission_memory_max(uint32_t memory_mb);
void gh_admission_judge(const gh_admission_state_t *state,
			gh_admission_verdict_t *verdict);
bool gh_admission_is_refusal(const gh_admission_verdict_t *verdict);
/* Name for logs. */
const char *gh_admission_reason_name(gh_admission_reason_t reason);

#endif
