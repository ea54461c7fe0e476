/*
 * Choice of the shard for a new job, which stays there until it ends.
 *
 * Long-running tasks keep their capacity, so a job with such tasks goes to a
 * shard with a probability in proportion to the share of its capacity that it
 * has left for them, less some headroom; to one without headroom only if all
 * are.  A job with other tasks of fixed size can use only what the long-running
 * ones leave, so it goes to a shard in proportion to that, and to fewer where
 * its tasks would wait longer than elsewhere.  A job of best-effort tasks
 * alone, which take what the others don't use, goes to the shard that the hash
 * of its id names, or by the waits if such tasks wait.
 *
 * Answers loads whose long-running tasks fill most of the capacity, and some
 * shards almost whole: where the hash placed short urgent jobs, those of the
 * full shards never started while others had workers to spare.  The owners
 * report the loads of their shards some time after the fact, so jobs that this
 * host has placed lately count in addition.
 */
#ifndef CORE_BALANCE_H
#define CORE_BALANCE_H

#include <stdbool.h>
#include <stdint.h>

#include "core_pipeline.h"
#include "core_time.h"
#include "core_waits.h"

typedef struct gh_balance gh_balance_t;

/* A sum of gh_resources_t, without accelerators. */
typedef struct gh_capacity {
	int64_t cores_milli;
	int64_t memory_mb;
} gh_capacity_t;

#define GH_BALANCE_UNKNOWN (-1)
#define GH_ROOMS_MAX 32 /* rooms in a shard's load */

/* Capacity that the long-running tasks on one worker leave. */
typedef struct gh_room {
	char service[GH_QUEUE_MAX + 1];
	gh_capacity_t free;
} gh_room_t;

typedef struct gh_shard_load {
	gh_capacity_t total; /* capacity of the usable workers */
	/* Declared sizes of the long-running tasks, running or waiting. */
	gh_capacity_t long_running;
	/*
	 * The largest first, then larger ones of workers that are in
	 * quarantine.
	 */
	gh_room_t rooms[GH_ROOMS_MAX];
	uint32_t n_rooms;
	gh_waits_t waits;
} gh_shard_load_t;

gh_balance_t *gh_balance_new(uint32_t shards);
void gh_balance_free(gh_balance_t *balance);

/* Takes over the reported load of a shard; NULL: its load is unknown. */
void gh_balance_report(gh_balance_t *balance, uint32_t shard,
		       const gh_shard_load_t *load, gh_time_t now);

typedef struct gh_balance_query {
	uint32_t hashed;    /* shard that the job's id hashes to */
	uint32_t priority;  /* of the job's queue */
	gh_time_t heard_at; /* all reports until then have come */
} gh_balance_query_t;

/*
 * Returns the shard for a job, and counts the job there if it has long-running
 * tasks.  The hashed one is chosen when its load is unknown.  A shard of
 * unknown load is otherwise chosen only if all of known load are full.
 */
uint32_t gh_balance_choose(gh_balance_t *balance, const gh_pipeline_t *job,
			   const gh_balance_query_t *query, gh_time_t now);

/*
 * How long a task of the job would wait in a shard for those that go before it,
 * by the last report; GH_BALANCE_UNKNOWN: not told.  age is how old that is.
 */
int64_t gh_balance_wait_ms(const gh_balance_t *balance, uint32_t shard,
			   const gh_pipeline_t *job,
			   const gh_balance_query_t *query, gh_time_t now,
			   gh_time_t *age);

/* Adds tasks of one size to a sum. */
void gh_capacity_add(gh_capacity_t *sum, const gh_resources_t *size,
		     uint32_t n);

#endif
