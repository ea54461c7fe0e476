/*
 * Tests of routing: the choice between two random executors, and that work is
 * spilled only within the spare slots that a domain reported.
 */
#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <cmocka.h>

#include "core_route.h"

#define DRAWS 10000

typedef struct pick_case {
	gh_time_t waits[4];
	size_t n;
	unsigned min_percent[4]; /* min share of picks, for each candidate */
	unsigned max_percent[4];
} pick_case_t;

static const pick_case_t pick_cases[] = {
	{ { 5 }, 1, { 100 }, { 100 } },
	{ { 1, 9 }, 2, { 100, 0 }, { 100, 0 } },
	{ { 5, 5, 5, 5 }, 4, { 22, 22, 22, 22 }, { 28, 28, 28, 28 } },
	/* The candidate with the longest wait is never picked, that with the
	 * shortest in half the draws. */
	{ { 1, 2, 3, 4 }, 4, { 47, 30, 13, 0 }, { 53, 37, 20, 0 } },
};

static void test_pick(void **state)
{
	size_t i;
	size_t j;

	(void)state;
	for (i = 0; i < G_N_ELEMENTS(pick_cases); i++) {
		const pick_case_t *c = &pick_cases[i];
		gh_route_candidate_t candidates[4] = { 0 };
		unsigned picked[4] = { 0 };
		uint64_t seed = 1;

		for (j = 0; j < c->n; j++)
			candidates[j].wait = c->waits[j];
		for (j = 0; j < DRAWS; j++)
			picked[gh_route_pick_executor(candidates, c->n,
						      &seed)]++;
		for (j = 0; j < c->n; j++)
			assert_in_range(picked[j] * 100 / DRAWS,
					c->min_percent[j], c->max_percent[j]);
	}
}

typedef struct spill_case {
	gh_route_spill_target_t targets[3];
	unsigned allowed; /* bit set of the targets that may be chosen; bit n:
			     no target */
	size_t n;
	int64_t percent;
} spill_case_t;

static const spill_case_t spill_cases[] = {
	{ { { 0 } }, 1, 0, 50 },
	{ { { 0, 0, 0 } }, 2, 1, 50 },
	{ { { 0, 10, 4 } }, 1, 1, 50 },
	{ { { 0, 10, 5 } }, 2, 1, 50 },
	{ { { 0, 10, 0 } }, 2, 1, 0 },
	{ { { 0, 0, 0 }, { 1, 8, 0 }, { 2, 0, 0 } }, 2, 3, 50 },
	{ { { 0, 2, 0 }, { 1, 40, 0 }, { 2, 2, 1 } }, 2, 3, 50 },
	{ { { 0, 8, 0 }, { 1, 8, 0 }, { 2, 8, 4 } }, 3, 3, 50 },
};

static void test_pick_spill(void **state)
{
	size_t i;
	uint64_t seed;

	(void)state;
	for (i = 0; i < G_N_ELEMENTS(spill_cases); i++) {
		const spill_case_t *c = &spill_cases[i];

		for (seed = 0; seed < 100; seed++) {
			uint64_t draw_seed = seed;
			size_t index = gh_route_pick_spill_target(
				c->targets, c->n, c->percent, &draw_seed);

			if (!(c->allowed & 1u << index))
				fail_msg("case %zu: picked %zu", i, index);
		}
	}
}

int main(void)
{
	const struct CMUnitTest tests[] = {
		cmocka_unit_test(test_pick),
		cmocka_unit_test(test_pick_spill),
	};

	return cmocka_run_group_tests_name("core_route", tests, NULL, NULL);
}
