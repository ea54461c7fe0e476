#include "core_route.h"

static size_t draw_index(size_t n, uint64_t *seed);
static int64_t remaining_slots(const gh_route_spill_target_t *target,
			       int64_t percent);

uint64_t gh_route_random(uint64_t *seed)
{
	uint64_t z;

	*seed += 0x9e3779b97f4a7c15ULL;
	z = *seed;
	z = (z ^ (z >> 30)) * 0xbf58476d1ce4e5b9ULL;
	z = (z ^ (z >> 27)) * 0x94d049bb133111ebULL;
	return z ^ (z >> 31);
}

size_t gh_route_pick_executor(const gh_route_candidate_t *candidates, size_t n,
			      uint64_t *seed)
{
	size_t a;
	size_t b;

	if (n < 2)
		return 0;
	a = draw_index(n, seed);
	b = draw_index(n - 1, seed);
	if (b >= a)
		b++;
	return candidates[b].wait < candidates[a].wait ? b : a;
}

size_t gh_route_pick_spill_target(const gh_route_spill_target_t *targets,
				  size_t n, int64_t percent, uint64_t *seed)
{
	size_t first = n ? draw_index(n, seed) : 0;
	size_t best = n;
	size_t n_usable = 0;
	size_t i;

	for (i = 0; i < n && n_usable < 2; i++) {
		size_t index = (first + i) % n;

		if (remaining_slots(&targets[index], percent) <= 0)
			continue;
		if (best == n ||
		    remaining_slots(&targets[index], percent) >
			    remaining_slots(&targets[best], percent))
			best = index;
		n_usable++;
	}
	return best;
}

static size_t draw_index(size_t n, uint64_t *seed)
{
	return (size_t)(gh_route_random(seed) % n);
}

static int64_t remaining_slots(const gh_route_spill_target_t *target,
			       int64_t percent)
{
	return (int64_t)target->spare_slots * percent / 100 - target->in_flight;
}
