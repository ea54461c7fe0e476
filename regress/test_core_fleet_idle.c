/*
 * Tests of the report on jobs that have nothing running although a task's turn
 * has come.
 */
#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <stdint.h>

#include <cmocka.h>
#include <string.h>

#include "fleet_world.h"

#define JOB_ID "0000000000000001"
#define MANY_JOBS 40
#define REPORTS_MAX 16 /* in a second */

typedef struct idle_case {
	const char *name;
	const gh_step_t *step;
	const char *progress;
	uint32_t cores; /* of the only worker; the task takes 1000 */
	bool unreachable, loses_orders, loses_stops, draining, store_down;
	bool hold;	 /* the progress can't be parsed */
	const char *why; /* expected part of the report; NULL: no report */
} idle_case_t;

static const idle_case_t idle_cases[] = {
	{ .name = "runs", .step = &one_task, .cores = 4000 },
	{ .name = "full",
	  .step = &one_task,
	  .cores = 500,
	  .why = "ms, workers: 1 full" },
	{ .name = "best effort, unheard",
	  .step = &best_effort_step,
	  .cores = 4000,
	  .unreachable = true,
	  .why = "ms, workers: 1 unheard" },
	{ .name = "not committed",
	  .step = &one_task,
	  .cores = 4000,
	  .store_down = true,
	  .why = "open runs: 1 planned, oldest planned at w1 for" },
	{ .name = "start unanswered",
	  .step = &best_effort_step,
	  .cores = 4000,
	  .loses_orders = true,
	  .why = "ms, workers: 1 quarantined" },
	{ .name = "stop unanswered",
	  .step = &long_running_step,
	  .cores = 4000,
	  .loses_stops = true,
	  .draining = true,
	  .why = "open runs: 1 stopping, oldest stopping at w1 for" },
	{ .name = "run of a previous owner",
	  .step = &one_task,
	  .cores = 4000,
	  .progress = "progress1\n0 open 0 1 - 1@gone\n",
	  .why = "at gone for 2010 ms unlisted without_address unheard" },
	{ .name = "crashed before",
	  .step = &one_task,
	  .cores = 500,
	  .progress = "progress1\n0 open 0 3 - crashes:2:2:1\n",
	  .why = "ms, 2 crashes 1 lost starts, workers: 1 full" },
	{ .name = "held",
	  .step = &one_task,
	  .cores = 4000,
	  .progress = "progress0\n",
	  .hold = true,
	  .why = "ms, held" },
};

static void add_case_job(world_t *w, const idle_case_t *c)
{
	if (!c->hold) {
		add_job(w, JOB_ID, 1, c->step, c->progress);
		return;
	}
	assert_false(gh_fleet_job_add(w->fleet, make_job(JOB_ID, 1, c->step),
				      c->progress, NULL));
}

static void test_idle_job_is_reported(void **state)
{
	gh_fleet_counts_t counts;
	size_t i;

	(void)state;
	for (i = 0; i < G_N_ELEMENTS(idle_cases); i++) {
		const idle_case_t *c = &idle_cases[i];
		scripted_worker_t *worker;
		world_t w;

		world_init(&w);
		worker = add_worker(&w, "w1", c->cores);
		worker->unreachable = c->unreachable;
		worker->loses_orders = c->loses_orders;
		worker->loses_stops = c->loses_stops;
		w.store_down = c->store_down;
		add_case_job(&w, c);
		advance_time(&w, 400);
		list_worker(&w, worker, c->draining);
		advance_time(&w, 1500);
		assert_null(w.idle);
		advance_time(&w, 1000);
		if (!c->why != !w.idle || (w.idle && !strstr(w.idle, c->why)))
			fail_msg("%s: %s", c->name, w.idle ? w.idle : "none");
		gh_fleet_counts(w.fleet, &counts);
		assert_int_equal(counts.idle, w.n_idle);
		assert_true(w.n_idle <= 1);
		world_clear(&w);
	}
}

static void test_reports_are_bounded(void **state)
{
	gh_fleet_counts_t counts;
	char id[GH_JOB_ID_MAX + 1];
	world_t w;
	int i;

	(void)state;
	world_init(&w);
	add_worker(&w, "w1", 500);
	for (i = 0; i < MANY_JOBS; i++) {
		g_snprintf(id, sizeof(id), "%016x", i + 1);
		add_job(&w, id, 1, &one_task, NULL);
	}
	advance_time(&w, 5000);
	gh_fleet_counts(w.fleet, &counts);
	assert_int_equal(counts.idle, 3 * MANY_JOBS);
	assert_int_equal(w.n_idle, 3 * REPORTS_MAX);
	assert_string_equal(w.left_out, "24 more jobs wait");
	world_clear(&w);
}

int main(void)
{
	static const struct CMUnitTest tests[] = {
		cmocka_unit_test(test_idle_job_is_reported),
		cmocka_unit_test(test_reports_are_bounded),
	};

	return cmocka_run_group_tests(tests, NULL, NULL);
}
