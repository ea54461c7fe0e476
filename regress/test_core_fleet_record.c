/*
 * Tests of the progress records that the fleet scheduler loads: a job whose
 * record can't be parsed is kept, but none of its tasks starts.
 */
#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <stdint.h>

#include <cmocka.h>
#include <string.h>

#include "error.h"
#include "fleet_world.h"

#define JOB "0000000000000001"
#define N_TASKS 3

typedef struct record_case {
	const char *progress;
	bool ok;
} record_case_t;

static const record_case_t records[] = {
	{ .progress = "progress1\n", .ok = true },
	{ .progress = "progress1\n0 done 0 1 -\n", .ok = true },
	{ .progress = "progress1\n0 done 0 1 -\n1 open 2 4 a%20b 4@w1\n",
	  .ok = true },
	{ .progress = "progress1\n2 open 0 4 - 4@w1 3@w2\n", .ok = true },
	{ .progress = "progress1\n0 done 65535 4294967295 -\n", .ok = true },
	{ .progress = "progress1\n0 open 0 1 - crashes:1:0\n", .ok = true },
	{ .progress = "progress1\n0 open 0 5 - crashes:4:2 4@w1 5@w2\n",
	  .ok = true },
	{ .progress = "progress1\n0 open 0 1 - crashes:1:1:1\n", .ok = true },
	{ .progress = "progress1\n0 open 0 1 - crashes:0:0:1\n", .ok = true },
	{ .progress = "progress1\n0 open 0 1 - begun:0:1@w1\n", .ok = true },
	{ .progress = "progress1\n0 open 0 3 - crashes:1:1:0 "
		      "begun:1796378314971:2@w1 alone:7:3@w2 silent:7:1@w3\n",
	  .ok = true },
	/* the format */
	{ .progress = "" },
	{ .progress = "progress2\n0 done 0 1 -\n" },
	{ .progress = "0 done 0 1 -\n" },
	{ .progress = "progress1\n0 done 0 1\n" },
	{ .progress = "progress1\n0 done 0 1 -\nx\n" },
	{ .progress = "progress1\n0 ended 0 1 -\n" },
	{ .progress = "progress1\n0 done 0 1 %zz\n" },
	/* a task twice, or one that the job does not have */
	{ .progress = "progress1\n0 done 0 1 -\n0 done 0 1 -\n" },
	{ .progress = "progress1\n0 open 0 1 - 1@w1\n0 done 0 1 -\n" },
	{ .progress = "progress1\n3 done 0 1 -\n" },
	/* numbers */
	{ .progress = "progress1\n-1 done 0 1 -\n" },
	{ .progress = "progress1\nx done 0 1 -\n" },
	{ .progress = "progress1\n done 0 1 -\n" },
	{ .progress = "progress1\n4294967296 done 0 1 -\n" },
	{ .progress = "progress1\n0 done 65536 1 -\n" },
	{ .progress = "progress1\n0 done 0 4294967296 -\n" },
	{ .progress = "progress1\n0 done 0 0 -\n" },
	{ .progress = "progress1\n0 done 0 1x -\n" },
	/* crashes */
	{ .progress = "progress1\n0 open 0 1 - crashes:\n" },
	{ .progress = "progress1\n0 open 0 1 - crashes:1\n" },
	{ .progress = "progress1\n0 open 0 1 - crashes:0:0\n" },
	{ .progress = "progress1\n0 open 0 1 - crashes:1:2\n" },
	{ .progress = "progress1\n0 open 0 1 - crashes:0:0:0\n" },
	{ .progress = "progress1\n0 open 0 1 - crashes:1:1:x\n" },
	{ .progress = "progress1\n0 open 0 1 - crashes:1:1:65536\n" },
	{ .progress = "progress1\n0 open 0 1 - crashes:1:1:1:1\n" },
	{ .progress = "progress1\n0 open 0 1 - crashes:65536:1\n" },
	{ .progress = "progress1\n0 open 0 1 - 1@w1 crashes:1:1\n" },
	{ .progress = "progress1\n0 open 0 1 - crashes:1:1 crashes:1:1\n" },
	/* runs */
	{ .progress = "progress1\n0 open 0 1 - 1\n" },
	{ .progress = "progress1\n0 open 0 1 - 1@\n" },
	{ .progress = "progress1\n0 open 0 1 - @w1\n" },
	{ .progress = "progress1\n0 open 0 1 - 2@w1\n" },
	{ .progress = "progress1\n0 open 0 1 - 0@w1\n" },
	{ .progress = "progress1\n0 open 0 2 - 2@w1 2@w2\n" },
	{ .progress = "progress1\n0 open 0 3 - 1@w1 2@w2 3@w1\n" },
	{ .progress = "progress1\n0 open 0 3 - 1@w1 begun:0:2@w2 3@w1\n" },
	{ .progress = "progress1\n0 open 0 1 - begun:1@w1\n" },
	{ .progress = "progress1\n0 open 0 1 - begun:x:1@w1\n" },
	{ .progress = "progress1\n0 open 0 1 - begun:9223372036854775808:"
		      "1@w1\n" },
	{ .progress = "progress1\n0 open 0 1 - begun:0:2@w1\n" },
	{ .progress = "progress1\n0 open 0 1 - begun:0:\n" },
	{ .progress = "progress1\n0 open 0 1 - silent:0:1@w1\n" },
	{ .progress = "progress1\n0 open 0 2 - crashes:1:1 silent:0:1@w1 "
		      "silent:0:2@w1\n" },
	{ .progress = "progress1\n0 open 0 1 - crashes:1:1 1@w1 "
		      "silent:0:1@w1\n" },
	{ .progress = "progress1\n0 open 0 1 - 1@"
		      "01234567890123456789012345678901234567890123456789012345"
		      "67890123"
		      "\n" },
};

static bool load_job(world_t *w, const char *progress)
{
	gh_step_t step = one_task;
	GError *err = NULL;
	bool ok;

	step.tasks = N_TASKS;
	ok = gh_fleet_job_add(w->fleet, make_job(JOB, 1, &step), progress,
			      &err);
	if (!ok)
		assert_true(g_error_matches(err, GH_ERROR, GH_E_SYNTAX));
	g_clear_error(&err);
	return ok;
}

/*
 * What a job with a bad record has run may be done already.  No task of it
 * starts, what runs goes on, its ends are acknowledged, and the stored record
 * is not replaced.
 */
static void test_records(void **state)
{
	size_t i;

	(void)state;
	for (i = 0; i < G_N_ELEMENTS(records); i++) {
		const record_case_t *c = &records[i];
		gh_report_run_t run = { .task = { .job = JOB }, .run = 1 };
		scripted_worker_t *worker;
		gh_fleet_counts_t counts;
		world_t w;

		world_init(&w);
		if (load_job(&w, c->progress) != c->ok)
			fail_msg("case %zu: %s", i, c->progress);
		gh_fleet_counts(w.fleet, &counts);
		assert_int_equal(counts.held, !c->ok);
		if (c->ok) {
			world_clear(&w);
			continue;
		}
		worker = add_worker(&w, "w1", 8000);
		worker->runs[worker->n_runs++] = run;
		end_run(worker, 0, GH_RUN_DONE);
		run.task.index = 1;
		worker->runs[worker->n_runs++] = run;
		advance_time(&w, 12000);
		if (w.n_orders || w.progress || worker->n_runs != 1 ||
		    worker->n_ends != 0)
			fail_msg("case %zu: %s: %zu orders, %zu runs, %zu ends",
				 i, c->progress, w.n_orders, worker->n_runs,
				 worker->n_ends);
		assert_true(gh_fleet_has_job(w.fleet, JOB));
		world_clear(&w);
	}
}

/* Such a job ends when it is cancelled; its runs are then stopped. */
static void test_cancel_held(void **state)
{
	gh_report_run_t run = { .task = { .job = JOB }, .run = 1 };
	scripted_worker_t *worker;
	world_t w;

	(void)state;
	world_init(&w);
	assert_false(load_job(&w, "unreadable"));
	worker = add_worker(&w, "w1", 8000);
	worker->runs[worker->n_runs++] = run;
	end_run(worker, 0, GH_RUN_DONE);
	run.task.index = 1;
	worker->runs[worker->n_runs++] = run;
	advance_time(&w, 1000);
	gh_fleet_job_cancel(w.fleet, JOB, w.now);
	advance_time(&w, 2000);
	assert_false(gh_fleet_has_job(w.fleet, JOB));
	assert_int_equal(w.phase, GH_JOB_CANCELLED);
	assert_int_equal(count_orders(&w, GH_ORDER_START, 0), 0);
	assert_int_equal(worker->n_runs, 0);
	assert_int_equal(worker->n_ends, 0);
	world_clear(&w);
}

/* The runs of a held job go on, so they take up capacity. */
static void test_capacity_of_held(void **state)
{
	gh_report_run_t run = { .task = { .job = JOB }, .run = 1 };
	scripted_worker_t *worker;
	world_t w;

	(void)state;
	world_init(&w);
	assert_false(load_job(&w, "unreadable"));
	worker = add_worker(&w, "w1", 1000);
	worker->runs[worker->n_runs++] = run;
	advance_time(&w, 1000);
	add_job(&w, "0000000000000002", 1, &one_task, NULL);
	advance_time(&w, 1000);
	assert_int_equal(count_orders(&w, GH_ORDER_START, 0), 0);
	world_clear(&w);
}

typedef struct held_case {
	gh_step_t step;	    /* of the held job */
	size_t runs_at_end; /* of the held job */
	bool stalled;	    /* the run makes no progress */
	bool draining;	    /* its worker drains */
	bool ends;	    /* the run ends */
	bool other_starts; /* a job that needs all of the worker starts there */
} held_case_t;

static const held_case_t held_cases[] = {
	{ .step = { .tasks = 1, .size = { 1000, 100, 0 } }, .runs_at_end = 1 },
	{ .stalled = true,
	  .step = { .tasks = 1, .size = { 1000, 100, 0 } },
	  .runs_at_end = 1 },
	{ .draining = true,
	  .step = { .tasks = 1,
		    .size = { 1000, 100, 0 },
		    .long_running = true },
	  .runs_at_end = 1 },
	{ .step = { .tasks = 1,
		    .size = { 1000, 100, 0 },
		    .speculative = true,
		    .estimate_ms = 1000 },
	  .runs_at_end = 1 },
	{ .step = { .tasks = 2, .gang = true, .size = { 500, 100, 0 } },
	  .runs_at_end = 1 },
	{ .ends = true,
	  .step = { .tasks = 1, .size = { 1000, 100, 0 } },
	  .other_starts = true },
	{ .ends = true,
	  .step = { .tasks = 2, .gang = true, .size = { 500, 100, 0 } },
	  .other_starts = true },
};

/* No run of a held job is started or stopped, and its record stays. */
static void test_held_runs_are_left_alone(void **state)
{
	size_t i;

	(void)state;
	for (i = 0; i < G_N_ELEMENTS(held_cases); i++) {
		const held_case_t *c = &held_cases[i];
		gh_report_run_t run = { .task = { .job = JOB }, .run = 1 };
		scripted_worker_t *worker, *other;
		GError *err = NULL;
		size_t starts;
		world_t w;

		world_init(&w);
		assert_false(gh_fleet_job_add(w.fleet,
					      make_job(JOB, 1, &c->step),
					      "unreadable", &err));
		g_clear_error(&err);
		worker = add_worker(&w, "w1", 1000);
		other = add_worker(&w, "w2", 1000);
		worker->runs[worker->n_runs++] = run;
		worker->stalled = c->stalled;
		advance_time(&w, 1000);
		if (c->draining)
			list_worker(&w, worker, true);
		if (c->ends)
			end_run(worker, 0, GH_RUN_DONE);
		advance_time(&w, 60000);
		if (w.n_orders || w.progress ||
		    worker->n_runs != c->runs_at_end || other->n_runs)
			fail_msg("case %zu: %zu orders, %zu runs", i,
				 w.n_orders, worker->n_runs);
		set_worker_size(&w, other, &(gh_resources_t){ 0 });
		advance_time(&w, 1000);
		add_job(&w, "0000000000000002", 1, &one_task, NULL);
		advance_time(&w, 1000);
		starts = count_orders(&w, GH_ORDER_START, 0);
		if ((starts != 0) != c->other_starts)
			fail_msg("case %zu: %zu starts", i, starts);
		world_clear(&w);
	}
}

/*
 * A task that may have crashed its workers waits for one without new runs; the
 * runs of a held job, of which no more is known, must not make it wait.
 */
static void test_wait_for_held_run(void **state)
{
	gh_report_run_t run = { .task = { .job = JOB }, .run = 1 };
	scripted_worker_t *worker;
	gh_time_t added_at;
	world_t w;

	(void)state;
	world_init(&w);
	assert_false(load_job(&w, "unreadable"));
	worker = add_worker(&w, "w1", 8000);
	worker->runs[worker->n_runs++] = run;
	advance_time(&w, 5000);
	added_at = w.now;
	add_job(&w, "0000000000000002", 1, &one_task,
		"progress1\n0 open 0 2 - crashes:2:2\n");
	while (!w.n_orders && w.now - added_at < 10000 * MS)
		advance_time(&w, 10);
	assert_in_range(w.now - added_at, 0, 500 * MS);
	world_clear(&w);
}

/*
 * A worker lists its first ends only: those of a held job must not keep the
 * others from being acknowledged.
 */
static void test_acks_beside_held(void **state)
{
	gh_report_run_t run = { .task = { .job = JOB }, .run = 1 };
	scripted_worker_t *worker;
	size_t i;
	world_t w;

	(void)state;
	world_init(&w);
	assert_false(load_job(&w, "unreadable"));
	worker = add_worker(&w, "w1", 8000);
	worker->runs[worker->n_runs++] = run;
	end_run(worker, 0, GH_RUN_DONE);
	for (i = 0; i < 10; i++) {
		char id[GH_JOB_ID_MAX + 1];

		g_snprintf(id, sizeof(id), "00000000000001%02zu", i);
		add_job(&w, id, 1, &one_task, NULL);
		advance_time(&w, 300);
		assert_int_equal(worker->n_runs, 1);
		end_run(worker, 0, GH_RUN_DONE);
		advance_time(&w, 300);
	}
	advance_time(&w, 3000);
	print_message("ends listed: %zu\n", worker->n_ends);
	assert_true(worker->n_ends <= 1);
	world_clear(&w);
}

/* When the owner changes after the first member of a gang has failed. */
typedef struct gang_failure_case {
	const char *name;
	bool replaces_owner;
} gang_failure_case_t;

static const gang_failure_case_t gang_failures[] = {
	{ .name = "the same owner" },
	{ .name = "the next owner", .replaces_owner = true },
};

/*
 * BUDGET: the next owner did not hear of a gang's failure while a member of the
 * gang had not ended, and started the gang once more than allowed.
 */
static void test_gang_failure_outlives_owner(void **state)
{
	static const gh_step_t gang = { .tasks = 2,
					.gang = true,
					.estimate_ms = 1000,
					.size = { .cores_milli = 1000 } };
	size_t i;

	(void)state;
	for (i = 0; i < G_N_ELEMENTS(gang_failures); i++) {
		const gang_failure_case_t *c = &gang_failures[i];
		gh_queue_policy_t policy = { .name = "q",
					     .attempts = 2,
					     .stretch_milli = 2000 };
		scripted_worker_t *worker;
		char *progress;
		world_t w;

		print_message("%s\n", c->name);
		world_init(&w);
		gh_fleet_queue_set(w.fleet, &policy);
		worker = add_worker(&w, "w1", 4000);
		worker->stop_ms = STOP_MS - 100;
		advance_time(&w, 100);
		add_job(&w, "0000000000000001", 1, &gang, NULL);
		advance_time(&w, 200);
		assert_int_equal(worker->n_runs, 2);
		end_run(worker, 0, GH_RUN_FAILED);
		advance_time(&w, 100);
		assert_int_equal(worker->n_runs, 1);
		if (c->replaces_owner) {
			progress = g_strdup(w.progress);
			replace_owner(&w);
			gh_fleet_queue_set(w.fleet, &policy);
			list_worker(&w, worker, false);
			add_job(&w, "0000000000000001", 1, &gang, progress);
			g_free(progress);
		}
		advance_time(&w, 4000);
		assert_int_equal(worker->n_runs, 2);
		assert_int_equal(count_orders(&w, GH_ORDER_START, 0), 4);
		end_run(worker, 0, GH_RUN_FAILED);
		advance_time(&w, 4000);
		assert_int_equal(count_orders(&w, GH_ORDER_START, 0), 4);
		assert_int_equal(w.phase, GH_JOB_FAILED);
		world_clear(&w);
	}
}

int main(void)
{
	static const struct CMUnitTest tests[] = {
		cmocka_unit_test(test_records),
		cmocka_unit_test(test_cancel_held),
		cmocka_unit_test(test_capacity_of_held),
		cmocka_unit_test(test_held_runs_are_left_alone),
		cmocka_unit_test(test_wait_for_held_run),
		cmocka_unit_test(test_acks_beside_held),
		cmocka_unit_test(test_gang_failure_outlives_owner),
	};

	return cmocka_run_group_tests(tests, NULL, NULL);
}
