/*
 * Tests of best-effort runs whose pace is low: those that are expected to be
 * done earlier elsewhere are stopped and go on there.
 */
#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <stdint.h>

#include <cmocka.h>

#include "fleet_world.h"

#define JOB_ID "0000000000000002"

typedef struct slow_case {
	const char *name;
	int64_t estimate_ms;
	bool checkpoints;
	bool other_worker; /* one with capacity is there */
	int64_t slow_ms;   /* 0: 6 s */
	uint64_t moved;
} slow_case_t;

static const slow_case_t slow_cases[] = {
	{ .name = "much left",
	  .estimate_ms = 20000,
	  .checkpoints = true,
	  .other_worker = true,
	  .moved = 1 },
	{ .name = "little left",
	  .estimate_ms = 50,
	  .checkpoints = true,
	  .other_worker = true },
	{ .name = "little left by its estimate, but it stands still",
	  .estimate_ms = 50,
	  .checkpoints = true,
	  .other_worker = true,
	  .slow_ms = 15000,
	  .moved = 1 },
	{ .name = "no estimate, and it stands still",
	  .checkpoints = true,
	  .other_worker = true,
	  .slow_ms = 15000,
	  .moved = 1 },
	{ .name = "no checkpoints",
	  .estimate_ms = 20000,
	  .other_worker = true },
	{ .name = "no other worker",
	  .estimate_ms = 20000,
	  .checkpoints = true },
};

static void check_slow_run(const slow_case_t *c)
{
	gh_step_t long_running = one_task;
	gh_step_t step = best_effort_step;
	gh_fleet_counts_t counts;
	world_t w;

	long_running.long_running = true;
	long_running.tail_bound_ms = 24;
	step.estimate_ms = c->estimate_ms;
	step.checkpoints = c->checkpoints;
	world_init(&w);
	add_worker(&w, "w1", 32000)->tail_ms = 6;
	/* Its progress is too slow to be measured. */
	w.workers[0].percent_ms = 100000;
	add_job(&w, LONG_RUNNING_JOB_ID, 1, &long_running, NULL);
	advance_time(&w, 1500);
	add_job(&w, JOB_ID, 1, &step, NULL);
	advance_time(&w, 1000);
	assert_int_equal(w.workers[0].n_runs, 2);
	if (c->other_worker)
		add_worker(&w, "w2", 32000);
	w.workers[0].tail_ms = 200;
	advance_time(&w, c->slow_ms ? c->slow_ms : 6000);
	gh_fleet_counts(w.fleet, &counts);
	assert_int_equal(counts.moved, c->moved);
	assert_int_equal(w.workers[0].n_runs, c->moved ? 1 : 2);
	if (c->other_worker)
		assert_int_equal(w.workers[1].n_runs, c->moved);
	world_clear(&w);
}

static void test_slow_runs(void **state)
{
	size_t i;

	(void)state;
	for (i = 0; i < G_N_ELEMENTS(slow_cases); i++) {
		print_message("case: %s\n", slow_cases[i].name);
		check_slow_run(&slow_cases[i]);
	}
}

int main(void)
{
	const struct CMUnitTest tests[] = {
		cmocka_unit_test(test_slow_runs),
	};

	return cmocka_run_group_tests(tests, NULL, NULL);
}
