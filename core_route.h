/*
 * Routing: which executor a request goes to, and which other failure domain
 * takes work that this one can't serve in time.
 */
#ifndef CORE_ROUTE_H
#define CORE_ROUTE_H

#include <stddef.h>
#include <stdint.h>

#include "core_document.h"
#include "core_time.h"

/* An executor that may take the request now. */
typedef struct gh_route_candidate {
	gh_handle_t executor;
	gh_time_t wait; /* expected, from gh_executor_expected_wait() */
} gh_route_candidate_t;

/* Another domain's entry host and what it reported. */
typedef struct gh_route_spill_target {
	gh_handle_t entry;
	unsigned spare_slots; /* slots, of the request's class */
	unsigned in_flight; /* requests of this host that are under way there */
} gh_route_spill_target_t;

/* Next number of a seeded sequence. */
uint64_t gh_route_random(uint64_t *seed);

/*
 * Of two choices drawn at random the one with the shorter expected wait, so
 * that hosts with the same old view don't all pick the same executor.
 * Returns its index, or n when there is none.
 */
size_t gh_route_pick_executor(const gh_route_candidate_t *choices, size_t n,
			      uint64_t *seed);

/*
 * The entry host to pass work on to: of two drawn at random the one with more
 * spare left, of which at most percent is used.  Returns its index, or n when
 * none has any.
 */
size_t gh_route_pick_spill_target(const gh_route_spill_target_t *spills,
				  size_t n, int64_t percent, uint64_t *seed);

#endif
