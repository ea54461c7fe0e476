/*
 * Ownership of worker shards: one record a shard, all records of a failure
 * domain in one value of the store that changes by compare-and-swap.
 *
 * A shard is taken when it was released, or when its record has stood
 * unchanged for a whole lease and the clock bound by the taker's own clock
 * and its deadline is past by the wall clock.  Each taking raises the epoch,
 * to the wall clock in milliseconds at least, so that epochs also grow when the
 * store comes back from an older copy.
 */
#ifndef CORE_LEASE_H
#define CORE_LEASE_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#include "core_document.h"

#define GH_SHARDS_MAX 64
#define GH_LEASE_RELEASED 0 /* deadline of a record whose owner gave it up */

/* The clocks, read together. */
typedef struct gh_now {
	gh_time_t boot;	 /* CLOCK_BOOTTIME */
	int64_t wall_ms; /* CLOCK_REALTIME */
} gh_now_t;

typedef struct gh_lease {
	char owner[GH_NAME_MAX + 1]; /* empty: never owned */
	uint64_t epoch;
	int64_t deadline_ms; /* wall clock; GH_LEASE_RELEASED */
} gh_lease_t;

/* The value in the store. */
typedef struct gh_lease_table {
	gh_lease_t shards[GH_SHARDS_MAX];
	size_t n;
	char writer[GH_NAME_MAX + 1];
	uint64_t incarnation;
	uint64_t sequence;
} gh_lease_table_t;

/* What one host knows of one shard's record. */
typedef struct gh_lease_view {
	gh_lease_t seen;
	gh_time_t unchanged_since; /* when seen was first read; boot clock */
	bool known;		   /* seen was read at least once */
	bool owned;		   /* this host holds the epoch in seen */
	gh_time_t owned_until;	   /* boot clock; end of the own lease */
} gh_lease_view_t;

typedef struct gh_lease_rule {
	const char *self;
	int64_t lease_ms;
	int64_t clock_bound_ms;
	bool leaving; /* this host gives its shards up */
} gh_lease_rule_t;

typedef enum gh_lease_step {
	GH_LEASE_WAIT,
	GH_LEASE_RENEW,
	GH_LEASE_TAKE,
	GH_LEASE_LOST /* the record shows a higher epoch or another owner */
} gh_lease_step_t;

bool gh_lease_parse(gh_lease_table_t *table, const char *text, GError **err);
char *gh_lease_format(const gh_lease_table_t *table);

/* Takes note of a record that was read from the store. */
gh_lease_step_t gh_lease_see(gh_lease_view_t *view, const gh_lease_t *record,
			     const gh_lease_rule_t *rule, const gh_now_t *now);

/*
 * What to do next; rank is this host's place among the candidates, 0 for the
 * preferred one.  Later ranks leave the earlier ones a head start.
 */
gh_lease_step_t gh_lease_decide(const gh_lease_view_t *view,
				const gh_lease_rule_t *rule, uint32_t rank,
				const gh_now_t *now);

/* The record to write for a step, made from the one that was seen. */
gh_lease_t gh_lease_next(const gh_lease_view_t *view, gh_lease_step_t step,
			 const gh_lease_rule_t *rule, const gh_now_t *now);

/* Notes that a record was written; sent is when the call was made. */
void gh_lease_won(gh_lease_view_t *view, const gh_lease_t *record,
		  const gh_lease_rule_t *rule, const gh_now_t *sent);

/* Whether new tasks may be started and commits be relied on. */
bool gh_lease_valid(const gh_lease_view_t *view, gh_time_t now);

/* Place of self among the names for a shard, by rendezvous hash. */
uint32_t gh_lease_rank(const char *domain, uint32_t shard, const char *self,
		       const char *const *names, size_t n);

#endif
