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

#define RULES (RULE_TWICE | RULE_ORDER | RULE_OVER | RULE_PLACE)
#define RESTARTS                                                             \
	"restart=4,late=3,crash=2,drain=4,kill=3,cut,release,store_replies," \
	"store_late"
#define LOST_OWNERS                                                        \
	"kill=4,freeze=4,release=2,store_cut=3,store_down=2,store_late=4," \
	"store_replies=4,drain=4,crash=2"

static void soak_cases(const soak_case_t *cases, size_t n)
{
	size_t i;

	for (i = 0; i < n; i++)
		soak(&cases[i]);
}

static void test_moved_tasks_keep_the_rules(void **state)
{
	static const soak_case_t cases[] = {
		{ .name = "two shards, all but restarts under the same id",
		  .rules = RULES,
		  .disruptions = "-restart,-move",
		  .seed = 1,
		  .seeds = 150,
		  .quiet_ms = QUIET_MS,
		  .shards = 2 },
		{ .name = "two shards, restarts of workers and late starts",
		  .rules = RULES,
		  .disruptions = RESTARTS,
		  .seed = 20000,
		  .seeds = 100,
		  .quiet_ms = QUIET_MS,
		  .shards = 2 },
		{ .name = "two shards, owners that fail and a late store",
		  .rules = RULES,
		  .disruptions = LOST_OWNERS,
		  .seed = 30000,
		  .seeds = 100,
		  .quiet_ms = QUIET_MS,
		  .shards = 2 },
		{ .name = "two shards, capacity",
		  .rules = RULE_CAPACITY,
		  .disruptions = "-restart,-move",
		  .seed = 40000,
		  .seeds = 50,
		  .quiet_ms = QUIET_MS,
		  .shards = 2 },
	};

	(void)state;
	soak_cases(cases, sizeof(cases) / sizeof(*cases));
}

static void test_no_task_waits_beside_another_shard(void **state)
{
	static const soak_case_t c = {
		.name = "waits, all but restarts under the same id",
		.rules = RULE_IDLE,
		.disruptions = "-restart,-move",
		.seed = 1,
		.seeds = 150,
		.quiet_ms = QUIET_MS,
		.shards = 2,
	};

	(void)state;
	soak(&c);
}

static void test_no_task_waits_after_restarts(void **state)
{
	static const soak_case_t c = {
		.name = "waits, restarts of workers and late starts",
		.rules = RULE_IDLE,
		.disruptions = RESTARTS,
		.seed = 20000,
		.seeds = 100,
		.quiet_ms = QUIET_MS,
		.shards = 2,
	};

	(void)state;
	soak(&c);
}

static void test_no_task_waits_after_lost_owners(void **state)
{
	static const soak_case_t c = {
		.name = "waits, owners that fail and a late store",
		.rules = RULE_IDLE,
		.disruptions = LOST_OWNERS,
		.seed = 30000,
		.seeds = 100,
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
		cmocka_unit_test(test_no_task_waits_beside_another_shard),
		cmocka_unit_test(test_no_task_waits_after_restarts),
		cmocka_unit_test(test_no_task_waits_after_lost_owners),
	};

	if (getenv("SOAK_TEST"))
		cmocka_set_test_filter(getenv("SOAK_TEST"));
	return cmocka_run_group_tests(tests, NULL, NULL);
}
