/*
 * Routing: which executor a request is sent to, and which other failure domain
 * receives work that this one cannot serve in time.
 */
#ifndef CORE_ROUTE_H
#define CORE_ROUTE_H

#include <stddef.h>
#include <stdint.h>

#include "core_document.h"
#include "core_time.h"

/* An executor that is available for the request. */
typedef struct gh_route_candidate {
	gh_handle_t executor;
	/* Expected time to completion: gh_executor_expected_wait(). */
	gh_time_t wait;
} gh_route_candidate_t;

/* Entry host of another domain, with the capacity that it reported. */
typedef struct gh_route_spill_target {
	gh_handle_t entry;
	/* Free slots that the entry host reported for the request's class. */
	unsigned spare_slots;
	/* unfinished requests that this host has sent to the entry host */
	unsigned in_flight;
} gh_route_spill_target_t;

/*
 * Returns the next number of the pseudo-random sequence of seed, and updates
 * seed.
 */
uint64_t gh_route_random(uint64_t *seed);

/*
 * Picks the executor with the shorter wait of two random candidates, so that
 * hosts with the same outdated load information do not all pick the same
 * executor.  Returns the index of the candidate, or n when there are none.
 */
size_t gh_route_pick_executor(const gh_route_candidate_t *candidates, size_t n,
			      uint64_t *seed);

/*
 * Picks an entry host to spill work to: of the first two with slots left, from
 * a random start on, the one with more.  At most percent of the spare slots of
 * a host are used.  Returns its index, or n when no host has slots left.
 */
size_t gh_route_pick_spill_target(const gh_route_spill_target_t *targets,
				  size_t n, int64_t percent, uint64_t *seed);

#endif
