/*
 * Ownership of worker shards: one record per shard, and all records of a
 * failure domain in one value of the store, which is changed by
 * compare-and-swap.
 *
 * A host may take a shard whose record was released.  Otherwise it waits until
 * the record has been unchanged for a whole lease plus the clock bound by its
 * own clock, and its deadline has passed by the wall clock.  Taking a shard
 * raises the epoch, at least to the wall clock in milliseconds, so that epochs
 * also increase when the store is restored from an older copy.
 */
#ifndef CORE_LEASE_H
#define CORE_LEASE_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#include "core_document.h"

#define GH_SHARDS_MAX 64
#define GH_LEASE_RELEASED 0 /* deadline of a record that its owner released */

/* Both clocks, read at the same time. */
typedef struct gh_now {
	gh_time_t boot;	 /* CLOCK_BOOTTIME */
	int64_t wall_ms; /* CLOCK_REALTIME */
} gh_now_t;

typedef struct gh_lease {
	char owner[GH_NAME_MAX + 1]; /* empty: never owned */
	uint64_t epoch;
	int64_t deadline_ms; /* wall clock; or GH_LEASE_RELEASED */
} gh_lease_t;

/* The value in the store; the last three members say who wrote it. */
typedef struct gh_lease_table {
	gh_lease_t shards[GH_SHARDS_MAX];
	size_t n;
	char writer[GH_NAME_MAX + 1];
	uint64_t incarnation;
	uint64_t sequence;
} gh_lease_table_t;

/* What a host knows of the record of one shard. */
typedef struct gh_lease_view {
	gh_lease_t seen;	   /* latest record that was read or written */
	gh_time_t unchanged_since; /* boot clock; when seen was first read */
	bool known;		   /* seen is valid */
	bool owned;		   /* this host owns the epoch in seen */
	gh_time_t owned_until;	   /* boot clock; when the own lease expires */
} gh_lease_view_t;

typedef struct gh_lease_rule {
	const char *self; /* name of this host */
	int64_t lease_ms;
	int64_t clock_bound_ms;
	bool leaving; /* this host releases its shards */
} gh_lease_rule_t;

typedef enum gh_lease_step {
	GH_LEASE_WAIT,
	GH_LEASE_RENEW,
	GH_LEASE_TAKE,
	GH_LEASE_LOST /* the record has a higher epoch or another owner */
} gh_lease_step_t;

/* Returns false and sets GH_E_SYNTAX when the text is not valid. */
bool gh_lease_parse(gh_lease_table_t *table, const char *text, GError **err);
/* Text form of the table; to be freed with g_free(). */
char *gh_lease_format(const gh_lease_table_t *table);

/*
 * Updates the view with a record that was read from the store.  Returns
 * GH_LEASE_LOST when it ends this host's ownership, else GH_LEASE_WAIT.
 */
gh_lease_step_t gh_lease_see(gh_lease_view_t *view, const gh_lease_t *record,
			     const gh_lease_rule_t *rule, const gh_now_t *now);

/*
 * Returns what to do next: wait, renew or take.  rank is this host's position
 * among the candidates, from gh_lease_rank(); lower ranks get a head start.
 */
gh_lease_step_t gh_lease_decide(const gh_lease_view_t *view,
				const gh_lease_rule_t *rule, uint32_t rank,
				const gh_now_t *now);

/* Record to write for a step, made from the one that was seen. */
gh_lease_t gh_lease_next(const gh_lease_view_t *view, gh_lease_step_t step,
			 const gh_lease_rule_t *rule, const gh_now_t *now);

/* Records a successful write; sent is when the call to the store was made. */
void gh_lease_won(gh_lease_view_t *view, const gh_lease_t *record,
		  const gh_lease_rule_t *rule, const gh_now_t *sent);

/* Whether this host owns the shard, so that it may start tasks and commit. */
bool gh_lease_valid(const gh_lease_view_t *view, gh_time_t now);

/*
 * Position of self among the names for a shard, 0 for the preferred owner.
 * Rendezvous hashing moves few shards when a host joins or leaves.
 */
uint32_t gh_lease_rank(const char *domain, uint32_t shard, const char *self,
		       const char *const *names, size_t n);

#endif
