/*
 * Soak of the moves of tasks between two shards, in simulated time: no task may
 * run twice, get lost, outlive its job, or wait beside workers of either shard
 * with capacity for it once disruptions are over.
 *
 * SOAK_TEST limits the tests by a pattern of their names; see fleet_soak.h for
 * other variables.
 */
#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <stdint.h>

#include <cmocka.h>
#include <stdlib.h>

#include "fleet_soak.h"

#define RULES (RULE_TWICE | RULE_ORDER | RULE_IDLE | RULE_OVER | RULE_PLACE)

static void test_moved_tasks_keep_the_rules(void **state)
{
	static const soak_case_t c = {
		.name = "two shards, all but restarts under the same id",
		.rules = RULES,
		.disruptions = "-restart,-move",
		.seed = 1,
		.seeds = 150,
		.quiet_ms = QUIET_MS,
		.shards = 2,
	};

	(void)state;
	soak(&c);
}

static void test_moved_tasks_after_restarts(void **state)
{
	static const soak_case_t c = {
		.name = "two shards, restarts of workers and late starts",
		.rules = RULES,
		.disruptions = "restart=4,late=3,crash=2,drain=4,kill=3,cut,"
			       "release,store_replies,store_late",
		.seed = 20000,
		.seeds = 100,
		.quiet_ms = QUIET_MS,
		.shards = 2,
	};

	(void)state;
	soak(&c);
}

static void test_moved_tasks_after_lost_owners(void **state)
{
	static const soak_case_t c = {
		.name = "two shards, owners that fail and a store that is late",
		.rules = RULES,
		.disruptions = "kill=4,freeze=4,release=2,store_cut=3,"
			       "store_down=2,store_late=4,store_replies=4,"
			       "drain=4,crash=2",
		.seed = 30000,
		.seeds = 100,
		.quiet_ms = QUIET_MS,
		.shards = 2,
	};

	(void)state;
	soak(&c);
}

static void test_no_moved_task_starts_over_capacity(void **state)
{
	static const soak_case_t c = {
		.name = "two shards, capacity",
		.rules = RULE_CAPACITY,
		.disruptions = "-restart,-move",
		.seed = 40000,
		.seeds = 50,
		.quiet_ms = QUIET_MS,
		.shards = 2,
	};

	(void)state;
	soak(&c);
}

int main(void)
{
	static const struct CMUnitTest tests[] = {
		cmocka_unit_test(test_moved_tasks_keep_the_rules),
		cmocka_unit_test(test_moved_tasks_after_restarts),
		cmocka_unit_test(test_moved_tasks_after_lost_owners),
		cmocka_unit_test(test_no_moved_task_starts_over_capacity),
	};

	if (getenv("SOAK_TEST"))
		cmocka_set_test_filter(getenv("SOAK_TEST"));
	return cmocka_run_group_tests(tests, NULL, NULL);
}
