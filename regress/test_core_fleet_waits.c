/*
 * Tests of the fleet scheduler's waits: each has to end while a worker has
 * capacity, whatever became of other runs.
 */
#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <stdint.h>

#include <cmocka.h>
#include <string.h>

#include "core_fleet_parts.h"
#include "fleet_world.h"

#define JOB_ID "0000000000000001"

/* A record of a stage with a task that is done and has an open run. */
typedef struct copy_case {
	const char *name, *progress;
	uint32_t tasks;
	size_t started; /* starts in the first half second */
} copy_case_t;

static const copy_case_t copy_cases[] = {
	{ .name = "one of two done",
	  .progress = "progress1\n0 done 0 2 - 2@gone\n",
	  .tasks = 2,
	  .started = 1 },
	{ .name = "lost in the middle",
	  .progress = "progress1\n0 done 0 2 - 2@gone\n1 open 0 1 -\n"
		      "2 done 0 1 - 1@gone\n",
	  .tasks = 3,
	  .started = 1 },
	{ .name = "not done",
	  .progress = "progress1\n0 done 0 2 - 2@gone\n1 open 0 1 - 1@gone\n",
	  .tasks = 2,
	  .started = 0 },
};

/* Runs of tasks that are done kept the stage's last tasks from starting. */
static void test_copy_of_done_task_holds_nothing_up(void **state)
{
	size_t i;

	(void)state;
	for (i = 0; i < G_N_ELEMENTS(copy_cases); i++) {
		const copy_case_t *c = &copy_cases[i];
		gh_step_t step = one_task;
		world_t w;

		step.tasks = c->tasks;
		world_init(&w);
		add_worker(&w, "w1", 4000);
		add_job(&w, JOB_ID, 1, &step, c->progress);
		advance_time(&w, 500);
		if (count_orders(&w, GH_ORDER_START, 0) != c->started)
			fail_msg("%s: %zu starts", c->name,
				 count_orders(&w, GH_ORDER_START, 0));
		world_clear(&w);
	}
}

/* A gang all of whose tasks wait for workers of their own. */
typedef struct gang_case {
	const char *name;
	uint32_t tasks, workers;
	const char *crashes; /* of each task */
	int64_t wait_ms;     /* the longest wait */
} gang_case_t;

static const gang_case_t gang_cases[] = {
	{ .name = "suspects",
	  .tasks = 4,
	  .workers = 2,
	  .crashes = "2:2:0",
	  .wait_ms = 2500 },
	{ .name = "suspects that need proof",
	  .tasks = 4,
	  .workers = 2,
	  .crashes = "3:3:0",
	  .wait_ms = 8500 },
	{ .name = "lost starts",
	  .tasks = 6,
	  .workers = 3,
	  .crashes = "0:0:2",
	  .wait_ms = 2500 },
};

/* The tasks of a gang waited for workers of their own one after the other. */
static void test_gang_of_suspects_waits_once(void **state)
{
	size_t i;

	(void)state;
	for (i = 0; i < G_N_ELEMENTS(gang_cases); i++) {
		const gang_case_t *c = &gang_cases[i];
		GString *progress = g_string_new("progress1\n");
		gh_step_t step = one_task;
		world_t w;
		uint32_t j;

		world_init(&w);
		for (j = 0; j < c->workers; j++)
			add_worker(&w, (char[]){ 'w', (char)('1' + j), '\0' },
				   2000);
		for (j = 0; j < c->tasks; j++)
			g_string_append_printf(progress,
					       "%u open 0 3 - crashes:%s\n", j,
					       c->crashes);
		step.gang = true;
		step.tasks = c->tasks;
		add_job(&w, JOB_ID, 1, &step, progress->str);
		advance_time(&w, c->wait_ms);
		if (count_orders(&w, GH_ORDER_START, 0) != c->tasks)
			fail_msg("%s: %zu starts", c->name,
				 count_orders(&w, GH_ORDER_START, 0));
		g_string_free(progress, TRUE);
		world_clear(&w);
	}
}

#define OTHER_ID "0000000000000002"

/* A job of best-effort tasks beside others that use up their share. */
typedef struct share_case {
	const char *name, *progress;
	uint32_t tasks;
	uint32_t others; /* their tasks; the share is three */
	bool gang;
	size_t started; /* starts within 3 s */
} share_case_t;

static const share_case_t share_cases[] = {
	{ .name = "no open run", .tasks = 1, .others = 3, .started = 1 },
	{ .name = "run of a previous owner",
	  .progress = "progress1\n0 open 0 1 - 1@gone\n",
	  .tasks = 2,
	  .others = 3,
	  .started = 1 },
	{ .name = "two runs of it",
	  .progress = "progress1\n0 open 0 1 - 1@gone\n1 open 0 1 - 1@gone\n",
	  .tasks = 4,
	  .others = 3,
	  .started = 1 },
	{ .name = "gang", .tasks = 3, .others = 3, .gang = true, .started = 3 },
	{ .name = "gang a part of which fits",
	  .tasks = 3,
	  .others = 2,
	  .gang = true,
	  .started = 3 },
};

/* A run that was open, and did not run, bound the rest of its job for long. */
static void test_job_with_nothing_running_exceeds_share(void **state)
{
	size_t i;

	(void)state;
	for (i = 0; i < G_N_ELEMENTS(share_cases); i++) {
		const share_case_t *c = &share_cases[i];
		gh_step_t others = best_effort_step;
		gh_step_t step = best_effort_step;
		world_t w;
		size_t n;

		world_init(&w);
		add_worker(&w, "w1", 4000);
		others.tasks = c->others;
		add_job(&w, OTHER_ID, 1, &others, NULL);
		advance_time(&w, 500);
		n = count_orders(&w, GH_ORDER_START, 0);
		assert_int_equal(n, c->others);
		step.tasks = c->tasks;
		step.gang = c->gang;
		add_job(&w, JOB_ID, 1, &step, c->progress);
		advance_time(&w, 3000);
		if (count_orders(&w, GH_ORDER_START, 0) - n != c->started)
			fail_msg("%s: %zu starts", c->name,
				 count_orders(&w, GH_ORDER_START, 0) - n);
		world_clear(&w);
	}
}

/* A late job paused for 1.5 s after each run, as newer ones took its place. */
static void test_begun_job_keeps_a_run(void **state)
{
	gh_step_t step = best_effort_step;
	world_t w;
	int i;

	(void)state;
	step.max_per_worker = 1;
	step.tasks = 4;
	world_init(&w);
	add_worker(&w, "w1", 4000);
	add_job(&w, JOB_ID, 1, &step, NULL);
	advance_time(&w, 20000);
	step.max_per_worker = 0;
	step.tasks = 16;
	add_job(&w, OTHER_ID, 1, &step, NULL);
	advance_time(&w, 500);
	assert_int_equal(w.workers[0].n_runs, 3);
	for (i = 0; i < 3; i++) {
		size_t r = 0;

		while (strcmp(w.workers[0].runs[r].task.job, JOB_ID) != 0)
			assert_in_range(++r, 0, w.workers[0].n_runs - 1);
		end_run(&w.workers[0], r, GH_RUN_DONE);
		advance_time(&w, 500);
	}
	world_clear(&w);
}

/*
 * A start whose intent was committed after its worker had fallen silent was
 * sent there all the same, and the task waited for the end of the lease.
 */
static void test_planned_run_leaves_silent_worker(void **state)
{
	const char *other;
	world_t w;
	size_t i, n;

	(void)state;
	world_init(&w);
	add_worker(&w, "w1", 2000);
	add_worker(&w, "w2", 2000);
	add_job(&w, OTHER_ID, 1, &one_task, NULL);
	advance_time(&w, 1000);
	n = w.n_orders;
	assert_int_equal(n, 1);
	w.store_down = true;
	add_job(&w, JOB_ID, 1, &one_task, NULL);
	advance_time(&w, 100);
	find_worker(&w, w.orders[0].worker)->unreachable = true;
	other = strcmp(w.orders[0].worker, "w1") ? "w1" : "w2";
	advance_time(&w, 500);
	w.store_down = false;
	advance_time(&w, 300);
	assert_int_equal(count_orders(&w, GH_ORDER_START, 0), n + 1);
	for (i = n; i < w.n_orders; i++)
		assert_string_equal(w.orders[i].worker, other);
	world_clear(&w);
}

/* A worker that reports and doesn't reply to orders. */
typedef struct deaf_case {
	const char *name;
	bool restarts; /* before the start that it does not reply to is given up
			*/
	bool executes; /* the orders */
	bool last_fence;  /* all offsets of the epoch are used up */
	size_t elsewhere; /* starts at the other worker within 3 s */
} deaf_case_t;

static const deaf_case_t deaf_cases[] = {
	{ .name = "loses orders", .elsewhere = 1 },
	{ .name = "loses orders and restarts",
	  .restarts = true,
	  .elsewhere = 1 },
	{ .name = "loses replies", .executes = true, .elsewhere = 0 },
	{ .name = "loses orders, no higher fence",
	  .last_fence = true,
	  .elsewhere = 0 },
};

/* A start was sent again without end to a worker that reports and loses it. */
static void test_start_leaves_worker_that_loses_orders(void **state)
{
	size_t i, j;

	(void)state;
	for (i = 0; i < G_N_ELEMENTS(deaf_cases); i++) {
		const deaf_case_t *c = &deaf_cases[i];
		size_t elsewhere = 0;
		world_t w;

		world_init(&w);
		if (c->last_fence)
			w.fleet->last_fence_offset = GH_FLEET_EPOCH_STEP - 2;
		add_worker(&w, "w1", 2000);
		w.workers[0].drops_replies = c->executes;
		w.workers[0].loses_orders = !c->executes;
		add_job(&w, JOB_ID, 1, &one_task, NULL);
		advance_time(&w, 500);
		assert_true(w.n_orders > 0);
		add_worker(&w, "w2", 2000);
		if (c->restarts)
			restart_worker(&w.workers[0]);
		advance_time(&w, 2500);
		for (j = 0; j < w.n_orders; j++)
			elsewhere += !strcmp(w.orders[j].worker, "w2");
		if (elsewhere != c->elsewhere || w.n_twice)
			fail_msg("%s: %zu starts elsewhere, %zu twice", c->name,
				 elsewhere, w.n_twice);
		world_clear(&w);
	}
}

/* Jobs that fail one after the other, and one that does not. */
typedef struct quarantine_case {
	const char *name;
	uint32_t failing; /* jobs */
	bool long_running;
	uint32_t other_workers;
	int64_t max_ms; /* until the last job starts */
} quarantine_case_t;

static const quarantine_case_t quarantine_cases[] = {
	{ .name = "none fails", .max_ms = 100 },
	{ .name = "quarantine", .failing = 2, .max_ms = 3000 },
	{ .name = "repeated quarantine", .failing = 5, .max_ms = 3000 },
	{ .name = "long-running",
	  .failing = 5,
	  .long_running = true,
	  .max_ms = 3000 },
	{ .name = "another worker",
	  .failing = 5,
	  .other_workers = 1,
	  .max_ms = 100 },
};

static void fail_next_run(world_t *w)
{
	while (!w->workers[0].n_runs)
		advance_time(w, 10);
	end_run(&w->workers[0], 0, GH_RUN_FAILED);
	advance_time(w, 100);
}

/* A task waited up to 24 s for the end of its only worker's quarantine. */
static void test_quarantined_worker_is_last_resort(void **state)
{
	gh_queue_policy_t policy = { .name = "q", .attempts = 1 };
	size_t i;

	(void)state;
	for (i = 0; i < G_N_ELEMENTS(quarantine_cases); i++) {
		const quarantine_case_t *c = &quarantine_cases[i];
		gh_step_t step = one_task;
		gh_time_t added_at;
		char id[GH_JOB_ID_MAX + 1];
		size_t n;
		world_t w;
		uint32_t j;

		world_init(&w);
		gh_fleet_queue_set(w.fleet, &policy);
		add_worker(&w, "w1", 1000);
		advance_time(&w, 100);
		for (j = 0; j < c->failing; j++) {
			g_snprintf(id, sizeof(id), "%016x", j + 0x10);
			add_job(&w, id, 1, &one_task, NULL);
			fail_next_run(&w);
		}
		for (j = 0; j < c->other_workers; j++)
			add_worker(&w, "w2", 1000);
		advance_time(&w, 50);
		n = w.n_orders;
		step.long_running = c->long_running;
		add_job(&w, JOB_ID, 1, &step, NULL);
		for (added_at = w.now; w.n_orders == n;)
			advance_time(&w, 10);
		if (w.now - added_at > c->max_ms * MS ||
		    (c->other_workers && strcmp(w.orders[n].worker, "w2") != 0))
			fail_msg("%s: after %d ms at %s", c->name,
				 (int)((w.now - added_at) / MS),
				 w.orders[n].worker);
		world_clear(&w);
	}
}

/* How a worker that was lost with a late start is listed again. */
typedef struct listed_case {
	const char *name;
	int64_t incarnation_start_ms; /* 0: not named */
	bool waits;		      /* for the worker */
} listed_case_t;

static const listed_case_t listed_cases[] = {
	{ .name = "same life", .incarnation_start_ms = 1 },
	{ .name = "next life", .incarnation_start_ms = 2, .waits = true },
	{ .name = "life not named", .waits = true },
};

/*
 * A task waited for the stop of its late start at a worker that was only listed
 * again, in the life that was lost.
 */
static void test_listing_of_lost_life_is_not_waited_for(void **state)
{
	size_t i;

	(void)state;
	for (i = 0; i < G_N_ELEMENTS(listed_cases); i++) {
		const listed_case_t *c = &listed_cases[i];
		scripted_worker_t *worker;
		world_t w;

		world_init(&w);
		worker = add_worker(&w, "w1", 4000);
		advance_time(&w, 100);
		worker->start_delay_ms = 100000;
		add_job(&w, JOB_ID, 1, &one_task, NULL);
		advance_time(&w, 200);
		assert_true(w.n_late_orders > 0);
		worker->unreachable = true;
		advance_time(&w, 5500);
		gh_fleet_worker_unlist(w.fleet, "w1");
		advance_time(&w, 100);
		w.n_orders = 0;
		worker->incarnation_start_ms = c->incarnation_start_ms;
		list_worker(&w, worker, false);
		add_worker(&w, "w2", 4000);
		advance_time(&w, 300);
		if (!count_orders(&w, GH_ORDER_START, 0) != c->waits)
			fail_msg("%s: %zu starts", c->name,
				 count_orders(&w, GH_ORDER_START, 0));
		world_clear(&w);
	}
}

int main(void)
{
	static const struct CMUnitTest tests[] = {
		cmocka_unit_test(test_copy_of_done_task_holds_nothing_up),
		cmocka_unit_test(test_gang_of_suspects_waits_once),
		cmocka_unit_test(test_job_with_nothing_running_exceeds_share),
		cmocka_unit_test(test_begun_job_keeps_a_run),
		cmocka_unit_test(test_planned_run_leaves_silent_worker),
		cmocka_unit_test(test_start_leaves_worker_that_loses_orders),
		cmocka_unit_test(test_quarantined_worker_is_last_resort),
		cmocka_unit_test(test_listing_of_lost_life_is_not_waited_for),
	};

	return cmocka_run_group_tests(tests, NULL, NULL);
}
