/*
 * Order in which an owner commits the changes of its jobs.
 *
 * Answers loads whose patient jobs change more often than the owner can commit.
 * Changes were committed in the order in which they had been queued, so that
 * each step of an urgent job waited for the ends of patient runs.  A change
 * now has a rank, and those of the lowest rank come first; within a rank it is
 * the order in which they were queued.  One commit in OLDEST_PERIOD goes to the
 * change that was queued first of all, so that none is passed over for ever.
 * Where all ranks are alike, nothing changes places.
 */
#ifndef CORE_COMMIT_ORDER_H
#define CORE_COMMIT_ORDER_H

#include <stdbool.h>
#include <stdint.h>

typedef struct gh_commit_order gh_commit_order_t;

gh_commit_order_t *gh_commit_order_new(void);
void gh_commit_order_free(gh_commit_order_t *order);
/*
 * Queues the job's change.  One that is queued already keeps its place, unless
 * the rank is lower than its own.
 */
void gh_commit_order_add(gh_commit_order_t *order, uint32_t job, uint32_t rank);
/* The next change's job, without taking it; false: none is queued. */
bool gh_commit_order_peek(const gh_commit_order_t *order, uint32_t *job);
/* Takes the next change out; *ahead: an older one was passed over. */
bool gh_commit_order_take(gh_commit_order_t *order, uint32_t *job, bool *ahead);
/* Takes the job's change out, if one is queued. */
void gh_commit_order_remove(gh_commit_order_t *order, uint32_t job);
uint32_t gh_commit_order_length(const gh_commit_order_t *order);
/* Queued changes that come before a new one of the rank. */
uint32_t gh_commit_order_ahead(const gh_commit_order_t *order, uint32_t rank);

#endif
