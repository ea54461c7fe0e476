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

/* The boot clock and the wall clock, read at the same time. */
typedef struct gh_now {
	gh_time_t boot;	 /* CLOCK_BOOTTIME, microseconds */
	int64_t wall_ms; /* CLOCK_REALTIME */
} gh_now_t;

typedef struct gh_lease {
	char owner[GH_NAME_MAX + 1]; /* host name; empty: never owned */
	uint64_t epoch;
	/* End of the lease, wall clock; or GH_LEASE_RELEASED. */
	int64_t deadline_ms;
} gh_lease_t;

/*
 * The lease records of a failure domain, one value in the store; the last three
 * members say who wrote it.
 */
typedef struct gh_lease_table {
	gh_lease_t shards[GH_SHARDS_MAX];
	size_t n;
	char writer[GH_NAME_MAX + 1];
	uint64_t incarnation;
	uint64_t sequence;
} gh_lease_table_t;

/* What a host knows of the lease record of one shard. */
typedef struct gh_lease_view {
	/* latest lease record of the shard that was read or written */
	gh_lease_t seen;
	/*
	 * Time on the boot clock since when the record in seen has not changed.
	 */
	gh_time_t unchanged_since;
	/* a lease record of the shard has been read or written */
	bool known;
	bool owned; /* this host owns the epoch in seen */
	/* when this host's lease expires, on the boot clock */
	gh_time_t owned_until;
} gh_lease_view_t;

typedef struct gh_lease_rule {
	const char *self; /* name of this host */
	int64_t lease_ms;
	int64_t clock_bound_ms;
	bool leaving; /* this host is leaving and releases its shards */
} gh_lease_rule_t;

typedef enum gh_lease_step {
	GH_LEASE_WAIT,
	GH_LEASE_RENEW,
	GH_LEASE_TAKE,
	/*
	 * the shard's record has a higher epoch or another owner; this host has
	 * lost the shard
	 */
	GH_LEASE_LOST
} gh_lease_step_t;

/* Returns false and sets GH_E_SYNTAX when the text is not valid. */
bool gh_lease_parse(gh_lease_table_t *table, const char *text, GError **err);
/* Text form of the table; to be freed with g_free(). */
char *gh_lease_format(const gh_lease_table_t *table);

/*
 * Updates the view with a lease record that was read from the store.  Returns
 * GH_LEASE_LOST when the record ends this host's ownership, else GH_LEASE_WAIT.
 */
gh_lease_step_t gh_lease_see(gh_lease_view_t *view, const gh_lease_t *record,
			     const gh_lease_rule_t *rule, const gh_now_t *now);

/*
 * Returns what to do next about a shard's lease: wait, renew or take.  rank is
 * this host's position among the candidates, from gh_lease_rank(); lower ranks
 * get a head start.
 */
gh_lease_step_t gh_lease_decide(const gh_lease_view_t *view,
				const gh_lease_rule_t *rule, uint32_t rank,
				const gh_now_t *now);

/* Lease record to write for a step, made from the record that was seen last. */
gh_lease_t gh_lease_next(const gh_lease_view_t *view, gh_lease_step_t step,
			 const gh_lease_rule_t *rule, const gh_now_t *now);

/*
 * Records a successful write of a lease record; sent is when the call to the
 * store was made.
 */
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
