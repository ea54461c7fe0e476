/*
 * Soak of the fleet scheduler in simulated time, on a model of the workers, the
 * store and the hosts: no task may run twice, or wait beside workers with
 * capacity for it once disruptions are over.
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

#define RESTARTS "restart=5,release=3,kill=3,cut=4,store_cut=2"
#define UNKNOWN_LIVES "restart=3,move=2,cut=3,release,kill,store_cut=2,freeze"

static void test_no_task_runs_twice(void **state)
{
	static const soak_case_t c = {
		.name = "all but restarts under the same id",
		.rules = RULE_TWICE | RULE_ORDER,
		.disruptions = "-restart,-move",
		.seed = 1,
		.seeds = 600,
	};

	(void)state;
	soak(&c);
}

static void test_no_task_runs_twice_far_off(void **state)
{
	static const soak_case_t c = {
		.name = "run times far off",
		.rules = RULE_TWICE | RULE_ORDER,
		.disruptions = "-restart,-move",
		.seed = 300000,
		.seeds = 100,
		.times_off = true,
	};

	(void)state;
	soak(&c);
}

static void test_no_task_waits_far_off(void **state)
{
	static const soak_case_t c = {
		.name = "idle tasks, run times far off",
		.rules = RULE_IDLE,
		.disruptions = "-record",
		.seed = 310000,
		.seeds = 60,
		.quiet_ms = QUIET_MS,
		.times_off = true,
	};

	(void)state;
	soak(&c);
}

/*
 * The next life of a worker takes a deadline that was meant for the one before
 * as the longest lease, and the owner fails.
 */
static void test_lease_of_new_life_outlasts_next_owner(void **state)
{
	static const soak_case_t cases[] = {
		{ .name = "lease of a new life, seed 34072",
		  .rules = RULE_TWICE,
		  .disruptions = RESTARTS,
		  .unbound = true,
		  .seed = 34072,
		  .seeds = 1 },
		{ .name = "lease of a new life, seed 35238",
		  .rules = RULE_TWICE,
		  .disruptions = RESTARTS,
		  .unbound = true,
		  .seed = 35238,
		  .seeds = 1 },
	};

	(void)state;
	soak(&cases[0]);
	soak(&cases[1]);
}

/* The next owner hears the new life only, and not of the restart. */
static void test_lease_of_life_whose_start_no_owner_knows(void **state)
{
	static const soak_case_t cases[] = {
		{ .name = "lease of a young life, seed 800360",
		  .rules = RULE_TWICE,
		  .disruptions = UNKNOWN_LIVES,
		  .unbound = true,
		  .seed = 800360,
		  .seeds = 1 },
		{ .name = "lease of a young life, seed 610306",
		  .rules = RULE_TWICE,
		  .disruptions = UNKNOWN_LIVES,
		  .unbound = true,
		  .seed = 610306,
		  .seeds = 1 },
	};

	(void)state;
	soak(&cases[0]);
	soak(&cases[1]);
}

/*
 * The next life of a worker ends a run as done, and the owner, which hears of
 * that life after a freeze, has given the run up.
 */
static void test_done_in_unknown_new_life(void **state)
{
	static const soak_case_t c = {
		.name = "done in an unknown new life",
		.rules = RULE_TWICE,
		.disruptions = UNKNOWN_LIVES,
		.unbound = true,
		.seed = 8042,
		.seeds = 1,
	};

	(void)state;
	soak(&c);
}

/* A call for a worker's former life is the first that the next one gets. */
static void test_call_reaches_next_life(void **state)
{
	static const soak_case_t cases[] = {
		{ .name = "restarts while calls connect",
		  .disruptions = "reconnect=10",
		  .seed = 9880000,
		  .seeds = 100 },
		{ .name = "the same, more restarts and cuts",
		  .disruptions = "reconnect=6,restart=6,cut=2",
		  .seed = 9881200,
		  .seeds = 80 },
		{ .name = "seeds of shared/twice-recut.md",
		  .disruptions = "restart=6,cut=6,reconnect=3",
		  .seed = 9713220,
		  .seeds = 20 },
		{ .name = "long cuts, seeds of shared/twice-recut.md",
		  .disruptions = "restart=4,cut=12,reconnect=2",
		  .seed = 9811850,
		  .seeds = 20 },
		{ .name = "the same with all other disruptions",
		  .disruptions = "+reconnect=4,+restart=4,+cut=4",
		  .seed = 9500100,
		  .seeds = 80 },
	};
	size_t i;

	(void)state;
	for (i = 0; i < G_N_ELEMENTS(cases); i++) {
		soak_case_t c = cases[i];

		c.rules = RULE_TWICE | RULE_ORDER;
		soak(&c);
	}
}

/* Changes are committed by rank, also those of queues that wait for longest. */
static void test_queues_of_several_priorities(void **state)
{
	static const soak_case_t cases[] = {
		{ .name = "three queues, all disruptions but restarts",
		  .rules = RULE_TWICE | RULE_ORDER | RULE_CAPACITY,
		  .disruptions = "-restart,-move",
		  .queues = 3,
		  .seed = 2600000,
		  .seeds = 300 },
		{ .name = "three queues, idle tasks",
		  .rules = RULE_IDLE,
		  .disruptions = "-record",
		  .queues = 3,
		  .seed = 2610000,
		  .seeds = 60,
		  .quiet_ms = QUIET_MS },
	};
	size_t i;

	(void)state;
	for (i = 0; i < G_N_ELEMENTS(cases); i++)
		soak(&cases[i]);
}

static void test_no_start_over_capacity(void **state)
{
	static const soak_case_t c = {
		.name = "capacity",
		.rules = RULE_CAPACITY,
		.disruptions = "-restart,-move",
		.seed = 1,
		.seeds = 200,
	};

	(void)state;
	soak(&c);
}

/* A task has no run beside workers with capacity, long after disruptions. */
static void test_no_task_waits_beside_free_workers(void **state)
{
	static const soak_case_t c = {
		.name = "idle tasks, all disruptions",
		.rules = RULE_IDLE,
		.disruptions = "-record",
		.seed = 1,
		.seeds = 150,
		.quiet_ms = QUIET_MS,
	};

	(void)state;
	soak(&c);
}

static void test_no_task_waits_after_crashes(void **state)
{
	static const soak_case_t c = {
		.name = "idle tasks, crashes of workers",
		.rules = RULE_IDLE,
		.disruptions = "crash=5,restart=3,kill=2,release,drain=2",
		.seed = 60000,
		.seeds = 150,
		.quiet_ms = QUIET_MS,
	};

	(void)state;
	soak(&c);
}

static void test_no_task_waits_after_late_calls(void **state)
{
	static const soak_case_t c = {
		.name = "idle tasks, late calls",
		.rules = RULE_IDLE,
		.disruptions = "restart=3,late=5,replies=3,move,cut=2,kill",
		.seed = 10000,
		.seeds = 150,
		.quiet_ms = QUIET_MS,
	};

	(void)state;
	soak(&c);
}

/* Domains are to be emptied while owners change and are cut off. */
static void test_nothing_starts_in_emptied_domains(void **state)
{
	static const soak_case_t cases[] = {
		{ .name = "emptied domains, all disruptions",
		  .disruptions = "+empty=8",
		  .seed = 580000,
		  .seeds = 200 },
		{ .name = "emptied domains, owners change",
		  .disruptions = "empty=4,kill=2,freeze=3,store_cut=3,"
				 "store_down,release,replies,late",
		  .seed = 581000,
		  .seeds = 100 },
		{ .name = "emptied domains, two shards",
		  .disruptions = "+empty=8",
		  .shards = 2,
		  .seed = 582000,
		  .seeds = 100 },
	};
	size_t i;

	(void)state;
	for (i = 0; i < G_N_ELEMENTS(cases); i++) {
		soak_case_t c = cases[i];

		c.rules = RULE_EMPTIED | RULE_TWICE | RULE_ORDER;
		soak(&c);
	}
}

/* Domains come back as disruptions end. */
static void test_no_task_waits_after_emptied_domains(void **state)
{
	static const soak_case_t c = {
		.name = "idle tasks, emptied domains",
		.rules = RULE_IDLE | RULE_EMPTIED,
		.disruptions = "empty=6,restart=2,cut=2,kill,store_cut",
		.seed = 583000,
		.seeds = 100,
		.quiet_ms = QUIET_MS,
	};

	(void)state;
	soak(&c);
}

int main(void)
{
	static const struct CMUnitTest tests[] = {
		cmocka_unit_test(test_no_task_runs_twice),
		cmocka_unit_test(test_no_task_runs_twice_far_off),
		cmocka_unit_test(test_no_task_waits_far_off),
		cmocka_unit_test(test_lease_of_new_life_outlasts_next_owner),
		cmocka_unit_test(test_lease_of_life_whose_start_no_owner_knows),
		cmocka_unit_test(test_done_in_unknown_new_life),
		cmocka_unit_test(test_call_reaches_next_life),
		cmocka_unit_test(test_queues_of_several_priorities),
		cmocka_unit_test(test_no_start_over_capacity),
		cmocka_unit_test(test_no_task_waits_beside_free_workers),
		cmocka_unit_test(test_no_task_waits_after_crashes),
		cmocka_unit_test(test_no_task_waits_after_late_calls),
		cmocka_unit_test(test_nothing_starts_in_emptied_domains),
		cmocka_unit_test(test_no_task_waits_after_emptied_domains),
	};

	if (getenv("SOAK_TEST"))
		cmocka_set_test_filter(getenv("SOAK_TEST"));
	return cmocka_run_group_tests(tests, NULL, NULL);
}
