/*
 * What waits in a shard: work of short tasks that no worker has room for yet,
 * by service and priority, with the rate at which such work passes.
 *
 * Owners tell it in the load of their shard; hosts estimate by it how long a
 * new job would wait there.
 */
#ifndef CORE_WAITS_H
#define CORE_WAITS_H

#include "core_pipeline.h"

/* Services, priorities and kinds told; further ones are not. */
#define GH_WAITS_MAX 8

/*
 * A queue of tasks that wait for each other.  Best-effort tasks run on what
 * others leave unused, so they are a queue of their own.
 */
typedef struct gh_wait_queue {
	const char *service;
	uint32_t priority; /* 0 is the highest */
	bool best_effort;
} gh_wait_queue_t;

/*
 * Work in the present objective of its jobs; a job past its objective lets new
 * ones pass, so it doesn't count.
 */
typedef struct gh_wait {
	char service[GH_QUEUE_MAX + 1];
	uint32_t priority;
	bool best_effort;
	int64_t ready_core_s; /* core-seconds of tasks that could start */
	int64_t later_core_s; /* of the tasks that come after them */
	int64_t rate_milli;   /* cores at work for the queue, in 1/1000 */
} gh_wait_t;

typedef struct gh_waits {
	bool told; /* false: by a version that doesn't tell what waits */
	gh_wait_t all[GH_WAITS_MAX];
	uint32_t n;
} gh_waits_t;

/* The queue of a job, by its short tasks. */
gh_wait_queue_t gh_wait_queue(const gh_pipeline_t *job, uint32_t priority);

/* The entry of a queue, which is added if there is room for it; else NULL. */
gh_wait_t *gh_waits_get(gh_waits_t *waits, const gh_wait_queue_t *queue);

/*
 * How long a task of the queue waits for those that are ready and go before it.
 */
int64_t gh_waits_ms(const gh_waits_t *waits, const gh_wait_queue_t *queue);

/*
 * Appends " @:0:0", which tells that nothing else waits, and then
 * " @PRIORITY,LATER,SERVICE:READY:RATE" for each entry, with "b" after the
 * PRIORITY of best-effort tasks; nothing if not told.  To earlier versions
 * these words are rooms of services that don't exist.
 */
void gh_waits_append(const gh_waits_t *waits, GString *text);
/* Whether a word is of that form; it is then taken over. */
bool gh_waits_parse(gh_waits_t *waits, const char *word);

#endif
