/*
 * Tests of the fleet scheduler with workers whose capacity shrinks and grows
 * while they run.  No start may bring a worker over the capacity that it lists
 * at that time; what runs there goes on.
 */
#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <stdint.h>

#include <cmocka.h>
#include <string.h>

#include "fleet_world.h"

#define FIRST_ID "0000000000000001"
#define SECOND_ID "0000000000000002"

/* How far the first job's starts are when the lower capacity is known. */
typedef enum moment {
	MOMENT_NONE,	   /* the job is not there yet */
	MOMENT_PLANNED,	   /* the commit of the starts fails */
	MOMENT_UNANSWERED, /* the starts are lost, and sent again */
	MOMENT_RUNNING,
	MOMENT_STOPPING, /* the stops are lost, and sent again */
	MOMENT_ORPHANS	 /* a new owner has read the records */
} moment_t;

typedef struct shrink_case {
	const char *name;
	gh_step_t first; /* step of the job that is there before */
	moment_t moment;
	gh_resources_t lower;
	gh_step_t second;     /* step of a job that is added after it */
	size_t lower_runs;    /* on the worker, some time later */
	size_t full_runs;     /* some time after the capacity has grown */
	unsigned other_cores; /* of another worker; 0: there is none */
} shrink_case_t;

#define FULL                                                              \
	{                                                                 \
		.cores_milli = 8000, .memory_mb = 8000, .accelerators = 2 \
	}
#define TASKS(n) .tasks = (n), .estimate_ms = 60000
#define SIZE(cores, memory, gpus)         \
	.size = { .cores_milli = (cores), \
		  .memory_mb = (memory),  \
		  .accelerators = (gpus) }

static const shrink_case_t shrink_cases[] = {
	{ .name = "before any start",
	  .lower = { 3000, 8000, 2 },
	  .second = { TASKS(8), SIZE(1000, 100, 0) },
	  .lower_runs = 3,
	  .full_runs = 8 },
	{ .name = "no capacity is left",
	  .lower = { 0, 0, 0 },
	  .second = { TASKS(8), SIZE(1000, 100, 0) },
	  .lower_runs = 0,
	  .full_runs = 8 },
	{ .name = "runs need more than it",
	  .first = { TASKS(4), SIZE(1000, 100, 0) },
	  .moment = MOMENT_RUNNING,
	  .lower = { 2000, 8000, 2 },
	  .second = { TASKS(4), SIZE(1000, 100, 0) },
	  .lower_runs = 4,
	  .full_runs = 8 },
	{ .name = "runs need more than none",
	  .first = { TASKS(4), SIZE(1000, 100, 0) },
	  .moment = MOMENT_RUNNING,
	  .lower = { 0, 0, 0 },
	  .second = { TASKS(4), SIZE(1000, 100, 0) },
	  .lower_runs = 4,
	  .full_runs = 8 },
	{ .name = "long-running runs",
	  .first = { TASKS(4), SIZE(1000, 100, 0), .long_running = true },
	  .moment = MOMENT_RUNNING,
	  .lower = { 2000, 8000, 2 },
	  .second = { TASKS(4), SIZE(1000, 100, 0), .long_running = true },
	  .lower_runs = 4,
	  .full_runs = 8 },
	{ .name = "best-effort runs need memory",
	  .first = { TASKS(4), SIZE(1000, 1000, 0), .best_effort = true },
	  .moment = MOMENT_RUNNING,
	  .lower = { 8000, 3000, 2 },
	  .second = { TASKS(2), SIZE(1000, 1000, 0), .best_effort = true },
	  .lower_runs = 4,
	  .full_runs = 6 },
	{ .name = "accelerators",
	  .first = { TASKS(2), SIZE(1000, 100, 1) },
	  .moment = MOMENT_RUNNING,
	  .lower = { 8000, 8000, 1 },
	  .second = { TASKS(1), SIZE(1000, 100, 1) },
	  .lower_runs = 2,
	  .full_runs = 2 },
	{ .name = "planned",
	  .first = { TASKS(8), SIZE(1000, 100, 0) },
	  .moment = MOMENT_PLANNED,
	  .lower = { 3000, 8000, 2 },
	  .second = { TASKS(1), SIZE(9000, 100, 0) },
	  .lower_runs = 3,
	  .full_runs = 8 },
	{ .name = "planned, none is left",
	  .first = { TASKS(8), SIZE(1000, 100, 0) },
	  .moment = MOMENT_PLANNED,
	  .lower = { 0, 0, 0 },
	  .second = { TASKS(1), SIZE(9000, 100, 0) },
	  .lower_runs = 0,
	  .full_runs = 8 },
	{ .name = "planned for memory",
	  .first = { TASKS(4), SIZE(1000, 1000, 0), .best_effort = true },
	  .moment = MOMENT_PLANNED,
	  .lower = { 8000, 2500, 2 },
	  .second = { TASKS(1), SIZE(9000, 100, 0) },
	  .lower_runs = 2,
	  .full_runs = 4 },
	{ .name = "planned gang",
	  .first = { TASKS(4), SIZE(1000, 100, 0), .gang = true },
	  .moment = MOMENT_PLANNED,
	  .lower = { 3000, 8000, 2 },
	  .second = { TASKS(1), SIZE(9000, 100, 0) },
	  .lower_runs = 0,
	  .full_runs = 4 },
	{ .name = "planned, and other worker free",
	  .first = { TASKS(8), SIZE(1000, 100, 0) },
	  .moment = MOMENT_PLANNED,
	  .lower = { 1000, 8000, 2 },
	  .second = { TASKS(1), SIZE(9000, 100, 0) },
	  .lower_runs = 1,
	  .full_runs = 1,
	  .other_cores = 7000 },
	{ .name = "unanswered",
	  .first = { TASKS(8), SIZE(1000, 100, 0) },
	  .moment = MOMENT_UNANSWERED,
	  .lower = { 3000, 8000, 2 },
	  .second = { TASKS(1), SIZE(9000, 100, 0) },
	  .lower_runs = 3,
	  .full_runs = 8 },
	{ .name = "unanswered gang",
	  .first = { TASKS(4), SIZE(1000, 100, 0), .gang = true },
	  .moment = MOMENT_UNANSWERED,
	  .lower = { 3000, 8000, 2 },
	  .second = { TASKS(1), SIZE(9000, 100, 0) },
	  .lower_runs = 0,
	  .full_runs = 4 },
	{ .name = "being stopped",
	  .first = { TASKS(4), SIZE(1000, 100, 0) },
	  .moment = MOMENT_STOPPING,
	  .lower = { 4000, 8000, 2 },
	  .second = { TASKS(2), SIZE(1000, 100, 0) },
	  .lower_runs = 4,
	  .full_runs = 6 },
	{ .name = "orphans",
	  .first = { TASKS(4), SIZE(1000, 100, 0) },
	  .moment = MOMENT_ORPHANS,
	  .lower = { 2000, 8000, 2 },
	  .second = { TASKS(4), SIZE(1000, 100, 0) },
	  .lower_runs = 4,
	  .full_runs = 8 },
};

/* A new owner takes over, with the first job's record and no worker. */
static void take_over(world_t *w, const shrink_case_t *c)
{
	world_t old = *w;

	world_init(w);
	w->now = old.now;
	w->wall_ms = old.wall_ms;
	memcpy(w->workers, old.workers, sizeof(w->workers));
	w->n_workers = old.n_workers;
	add_job(w, FIRST_ID, 1, &c->first, old.progress);
	old.n_workers = 0;
	world_clear(&old);
}

static void reach_moment(world_t *w, const shrink_case_t *c)
{
	scripted_worker_t *worker = &w->workers[0];

	advance_time(w, 100);
	if (c->moment == MOMENT_NONE)
		return;
	w->store_down = c->moment == MOMENT_PLANNED;
	worker->loses_orders = c->moment == MOMENT_UNANSWERED;
	add_job(w, FIRST_ID, 1, &c->first, NULL);
	advance_time(w, 300);
	if (c->moment == MOMENT_STOPPING) {
		worker->loses_orders = true;
		gh_fleet_job_cancel(w->fleet, FIRST_ID, w->now);
		advance_time(w, 50);
	} else if (c->moment == MOMENT_ORPHANS) {
		take_over(w, c);
	}
}

/* Fails the test unless the worker has this many runs. */
static void check_runs(const shrink_case_t *c, const char *when,
		       const world_t *w, size_t runs)
{
	if (w->workers[0].n_runs != runs)
		fail_msg("%s, %s capacity: %zu runs", c->name, when,
			 w->workers[0].n_runs);
	if (w->n_over_capacity)
		fail_msg("%s, %s capacity: %zu starts over it", c->name, when,
			 w->n_over_capacity);
}

static void test_capacity_shrinks(void **state)
{
	static const gh_resources_t full = FULL;
	size_t i;

	(void)state;
	for (i = 0; i < G_N_ELEMENTS(shrink_cases); i++) {
		const shrink_case_t *c = &shrink_cases[i];
		bool stopping = c->moment == MOMENT_STOPPING;
		scripted_worker_t *worker;
		world_t w;

		world_init(&w);
		worker = add_worker(&w, "w1", full.cores_milli);
		set_worker_size(&w, worker, &full);
		reach_moment(&w, c);
		set_worker_size(&w, worker, &c->lower);
		if (c->other_cores)
			add_worker(&w, "w2", c->other_cores);
		add_job(&w, SECOND_ID, 1, &c->second, NULL);
		w.store_down = false;
		worker->loses_orders = stopping;
		advance_time(&w, 1500);
		check_runs(c, "lower", &w, c->lower_runs);
		worker->loses_orders = false;
		set_worker_size(&w, worker, &full);
		advance_time(&w, 1500);
		if (stopping)
			advance_time(&w, 500);
		check_runs(c, "full", &w,
			   stopping ? c->second.tasks : c->full_runs);
		world_clear(&w);
	}
}

typedef struct restart_case {
	const char *name;
	gh_step_t waiting; /* of a job that has less time left */
} restart_case_t;

static const restart_case_t restart_cases[] = {
	{ "long-running",
	  { .tasks = 1, SIZE(2000, 100, 0), .long_running = true } },
	{ "smaller", { .tasks = 1, SIZE(1000, 100, 0), .long_running = true } },
	{ "short", { .tasks = 1, SIZE(2000, 100, 0), .estimate_ms = 100 } },
};

/* A long-running task fails while another one waits for capacity. */
static void test_failed_task_loses_its_place(void **state)
{
	static const gh_step_t running = { TASKS(2), SIZE(2000, 100, 0),
					   .long_running = true };
	size_t i;

	(void)state;
	for (i = 0; i < G_N_ELEMENTS(restart_cases); i++) {
		const restart_case_t *c = &restart_cases[i];
		scripted_worker_t *worker;
		world_t w;
		size_t j;

		print_message("%s\n", c->name);
		world_init(&w);
		worker = add_worker(&w, "w1", 4000);
		advance_time(&w, 100);
		add_job(&w, FIRST_ID, 1, &running, NULL);
		advance_time(&w, 300);
		add_job(&w, SECOND_ID, 1, &c->waiting, NULL);
		advance_time(&w, 300);
		assert_int_equal(worker->n_runs, 2);
		end_run(worker, 0, GH_RUN_FAILED);
		advance_time(&w, 300);
		assert_int_equal(worker->n_runs, 2);
		for (j = 0; j < worker->n_runs; j++)
			assert_string_equal(worker->runs[j].task.job, FIRST_ID);
		world_clear(&w);
	}
}

int main(void)
{
	static const struct CMUnitTest tests[] = {
		cmocka_unit_test(test_capacity_shrinks),
		cmocka_unit_test(test_failed_task_loses_its_place),
	};

	return cmocka_run_group_tests(tests, NULL, NULL);
}
