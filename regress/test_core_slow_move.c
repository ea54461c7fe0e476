/*
 * Tests of the choice whether a slowed run goes on elsewhere: what it has left,
 * and what the move gains.
 */
#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <cmocka.h>

#include "core_slow_move.h"

typedef struct move_case {
	const char *name;
	gh_slow_run_t run;
	int64_t left_ms;
	int64_t gain_ms;
} move_case_t;

static const move_case_t move_cases[] = {
	{ .name = "much left, slow",
	  .run = { 4000, 0, 0, 0, 20, 500 },
	  .left_ms = 4000,
	  .gain_ms = 15000 },
	{ .name = "much left, hardly slowed",
	  .run = { 1000, 0, 0, 0, 45, 900 },
	  .left_ms = 1000,
	  .gain_ms = -577 },
	{ .name = "little left, slow",
	  .run = { 4000, 3600, 0, 90, 20, 900 },
	  .left_ms = 400,
	  .gain_ms = -200 },
	{ .name = "stands still",
	  .run = { 4000, 2000, 0, 50, 0, 900 },
	  .left_ms = 2000,
	  .gain_ms = 36200 },
	{ .name = "stands still, as good as done",
	  .run = { 4000, 3960, 0, 99, 0, 900 },
	  .left_ms = 40,
	  .gain_ms = -1040 },
	{ .name = "stands still for long, as good as done",
	  .run = { 4000, 3960, 0, 99, 0, 900, 12000 },
	  .left_ms = 40,
	  .gain_ms = 10200 },
	{ .name = "slow for long, as good as done",
	  .run = { 4000, 3960, 0, 99, 10, 900, 12000 },
	  .left_ms = 40,
	  .gain_ms = -1440 },
	{ .name = "stands still for long, without an estimate",
	  .run = { 0, 0, 0, 0, 0, 900, 10000 },
	  .left_ms = 0,
	  .gain_ms = 8200 },
	{ .name = "takes longer than estimated",
	  .run = { 1000, 2000, 0, 50, 40, 900 },
	  .left_ms = 2000,
	  .gain_ms = 1200 },
	{ .name = "takes less than estimated",
	  .run = { 9000, 500, 0, 50, 40, 900 },
	  .left_ms = 500,
	  .gain_ms = -1050 },
	{ .name = "resumed: measured from its own start",
	  .run = { 9000, 500, 40, 50, 40, 900 },
	  .left_ms = 2500,
	  .gain_ms = 1950 },
	{ .name = "resumed lately: the estimate counts",
	  .run = { 4000, 500, 40, 42, 40, 900 },
	  .left_ms = 2320,
	  .gain_ms = 1680 },
	{ .name = "quick stops",
	  .run = { 1000, 0, 0, 0, 45, 200 },
	  .left_ms = 1000,
	  .gain_ms = 822 },
	{ .name = "done",
	  .run = { 1000, 1000, 0, 100, 0, 200 },
	  .left_ms = 0,
	  .gain_ms = -400 },
};

static void test_moves(void **state)
{
	size_t i;

	(void)state;
	for (i = 0; i < sizeof(move_cases) / sizeof(move_cases[0]); i++) {
		const move_case_t *c = &move_cases[i];

		print_message("case: %s\n", c->name);
		assert_int_equal((int64_t)gh_slow_run_left_ms(&c->run),
				 c->left_ms);
		assert_int_equal((int64_t)gh_slow_run_gain_ms(&c->run),
				 c->gain_ms);
	}
}

int main(void)
{
	const struct CMUnitTest tests[] = {
		cmocka_unit_test(test_moves),
	};

	return cmocka_run_group_tests(tests, NULL, NULL);
}
