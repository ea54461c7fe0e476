/*
 * Process tests of the job service with a fake platform: bodies and records
 * that no correct writer produces.  A host refuses them and goes on.
 */
#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <cmocka.h>
#include <string.h>

#include "fleet_system.h"

#define ID(n) "00000000000000" n
#define ONE_STEP "[{\"count\":4,\"cpu\":1000,\"est_runtime_ms\":200}]"

static const unsigned depths[] = { 40, 500, 2000, 100000 };

/* A host's caller threads have small stacks. */
static void test_nested_submission(void **state)
{
	int statuses[G_N_ELEMENTS(depths)];
	fleet_system_t sys;
	size_t i;

	(void)state;
	fleet_system_start(&sys, "platform-nested", 1, 2, 1);
	for (i = 0; i < G_N_ELEMENTS(depths); i++) {
		char *open = g_strnfill(depths[i], '[');
		char *close = g_strnfill(depths[i], ']');
		char *steps = g_strconcat(open, close, NULL);

		statuses[i] = fleet_submit(&sys, 0, ID("01"), "100", steps);
		print_message("%u arrays deep: status %d\n", depths[i],
			      statuses[i]);
		g_free(steps);
		g_free(close);
		g_free(open);
	}
	if (statuses[G_N_ELEMENTS(depths) - 1]) {
		assert_int_equal(
			fleet_submit(&sys, 0, ID("01"), "100", ONE_STEP), 200);
		fleet_await_state(&sys, 0, ID("01"), "completed");
	}
	fleet_system_stop(&sys);
	for (i = 0; i < G_N_ELEMENTS(depths); i++)
		assert_int_equal(statuses[i], 400);
}

/* Counts whose product is 0 in 64 bits. */
#define WRAPPING_STEPS                                    \
	"[{\"count\":4294967295},{\"count\":4294967295}," \
	"{\"count\":4294967295},{\"count\":4294967295},"  \
	"{\"count\":4}],\"repeat_count\":2147483648"

static void test_wrapping_task_count(void **state)
{
	fleet_system_t sys;
	int wrapping, next;

	(void)state;
	fleet_system_start(&sys, "platform-wrapping", 2, 2, 1);
	wrapping = fleet_submit(&sys, 0, ID("01"), "100", WRAPPING_STEPS);
	g_usleep(500 * 1000);
	next = fleet_submit(&sys, 1, ID("02"), "100", ONE_STEP);
	print_message("status %d, of the next job %d\n", wrapping, next);
	if (next == 200)
		fleet_await_state(&sys, 1, ID("02"), "completed");
	fleet_system_stop(&sys);
	assert_int_equal(wrapping, 400);
	assert_int_equal(next, 200);
}

int main(int argc, char **argv)
{
	static const struct CMUnitTest tests[] = {
		cmocka_unit_test(test_nested_submission),
		cmocka_unit_test(test_wrapping_task_count),
	};

	if (argc > 1)
		cmocka_set_test_filter(argv[1]);
	return cmocka_run_group_tests(tests, NULL, NULL);
}
