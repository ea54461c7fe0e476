/*
 * Tests of the conversion of lease deadlines to workers' clocks, which start
 * anew with each incarnation and may be 2 % slow.
 */
#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <stdint.h>

#include <cmocka.h>
#include <glib.h>

#include "platform/platform_clock.h"

#define LEASE_MS 4500

/* Readings of one worker's clock, and the incarnation a deadline is for. */
typedef struct life_case {
	const char *name;
	int64_t start_ms;      /* incarnation of the first reading; 0: none */
	int64_t last_start_ms; /* of a second reading; 0: there is none */
	int64_t meant_ms;      /* incarnation the deadline is meant for */
	int64_t deadline_ms;   /* expected on the worker's clock; 0: none */
} life_case_t;

static const life_case_t lives[] = {
	{ .name = "no reading", .meant_ms = 7 },
	{ .name = "the same life",
	  .start_ms = 7,
	  .meant_ms = 7,
	  .deadline_ms = 60000 + LEASE_MS },
	{ .name = "a former life", .start_ms = 7, .meant_ms = 8 },
	{ .name = "both lives, the new one last",
	  .start_ms = 7,
	  .last_start_ms = 8,
	  .meant_ms = 8,
	  .deadline_ms = 20 + LEASE_MS },
	{ .name = "a late reading of the former life",
	  .start_ms = 8,
	  .last_start_ms = 7,
	  .meant_ms = 8 },
	{ .name = "life not known",
	  .start_ms = 7,
	  .deadline_ms = 60000 + LEASE_MS },
};

/* The clock reading in a report of the incarnation. */
static int64_t clock_of(int64_t start_ms)
{
	return start_ms == 7 ? 60000 : 20;
}

static void test_life(void **state)
{
	gh_time_t now = 1000 * GH_USEC_PER_SEC;
	gh_time_t until = now + gh_time_from_ms(LEASE_MS);
	size_t i;

	(void)state;
	for (i = 0; i < G_N_ELEMENTS(lives); i++) {
		const life_case_t *c = &lives[i];
		platform_clocks_t *clocks = platform_clocks_new();

		print_message("%s\n", c->name);
		if (c->start_ms)
			platform_clocks_set(clocks, "w1", c->start_ms,
					    clock_of(c->start_ms), now);
		if (c->last_start_ms)
			platform_clocks_set(clocks, "w1", c->last_start_ms,
					    clock_of(c->last_start_ms), now);
		assert_int_equal(platform_clocks_deadline(
					 clocks, "w1", c->meant_ms, until, now),
				 c->deadline_ms);
		platform_clocks_free(clocks);
	}
}

int main(void)
{
	static const struct CMUnitTest tests[] = {
		cmocka_unit_test(test_life),
	};

	return cmocka_run_group_tests(tests, NULL, NULL);
}
