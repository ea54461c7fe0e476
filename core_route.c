#include "core_route.h"

static size_t draw(size_t n, uint64_t *seed);
static int64_t spill_left(const gh_route_spill_target_t *spill,
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

size_t gh_route_pick_executor(const gh_route_candidate_t *choices, size_t n,
			      uint64_t *seed)
{
	size_t a;
	size_t b;

	if (n < 2)
		return 0;
	a = draw(n, seed);
	b = draw(n - 1, seed);
	if (b >= a)
		b++;
	return choices[b].wait < choices[a].wait ? b : a;
}

size_t gh_route_pick_spill_target(const gh_route_spill_target_t *spills,
				  size_t n, int64_t percent, uint64_t *seed)
{
	size_t start = n ? draw(n, seed) : 0;
	size_t best = n;
	size_t seen = 0;
	size_t i;

	for (i = 0; i < n && seen < 2; i++) {
		size_t at = (start + i) % n;

		if (spill_left(&spills[at], percent) <= 0)
			continue;
		if (best == n || spill_left(&spills[at], percent) >
					 spill_left(&spills[best], percent))
			best = at;
		seen++;
	}
	return best;
}

static size_t draw(size_t n, uint64_t *seed)
{
	return (size_t)(gh_route_random(seed) % n);
}

static int64_t spill_left(const gh_route_spill_target_t *spill, int64_t percent)
{
	return (int64_t)spill->spare_slots * percent / 100 - spill->in_flight;
}
