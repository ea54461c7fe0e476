/*
 * The fleet's decisions, each case a short script of events on a small
 * world: workers that answer, stay silent, restart or list what they run.
 */
#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <stdint.h>

#include <cmocka.h>
#include <string.h>

#include "fleet_world.h"

/* A step starts once the steps before it are done, and not sooner. */
static void test_order_of_steps(void **state)
{
	gh_step_t steps[2] = { one_task, one_task };
	world_t w;

	(void)state;
	steps[0].tasks = 2;
	steps[1].depends_on = 1;
	world_init(&w);
	add_worker(&w, "w1", 4000);
	add_job(&w, "0000000000000001", 2, steps, NULL);
	advance_time(&w, 100);
	assert_int_equal(count_orders(&w, GH_ORDER_START, 0), 2);
	end_run(&w.workers[0], 0, GH_RUN_DONE);
	advance_time(&w, 1200);
	assert_int_equal(count_orders(&w, GH_ORDER_START, 1), 0);
	end_run(&w.workers[0], 0, GH_RUN_DONE);
	advance_time(&w, 1200);
	assert_int_equal(count_orders(&w, GH_ORDER_START, 1), 1);
	end_run(&w.workers[0], 0, GH_RUN_DONE);
	advance_time(&w, 1200);
	assert_int_equal(w.phase, GH_JOB_COMPLETED);
	assert_int_equal(w.workers[0].n_ends, 0);
	world_clear(&w);
}

/* Nothing starts before its intent is committed, nothing is acknowledged. */
static void test_store_down(void **state)
{
	world_t w;

	(void)state;
	world_init(&w);
	add_worker(&w, "w1", 4000);
	w.store_down = true;
	add_job(&w, "0000000000000001", 1, &one_task, NULL);
	advance_time(&w, 500);
	assert_int_equal(w.n_orders, 0);
	w.store_down = false;
	advance_time(&w, 100);
	assert_int_equal(count_orders(&w, GH_ORDER_START, 0), 1);
	w.store_down = true;
	end_run(&w.workers[0], 0, GH_RUN_DONE);
	advance_time(&w, 2000);
	assert_int_equal(w.workers[0].n_ends, 1);
	w.store_down = false;
	advance_time(&w, 1000);
	assert_int_equal(w.workers[0].n_ends, 0);
	world_clear(&w);
}

/* hunt haddad-laces, mix --seed 311025139233: holds that nobody answers
 * must not put off the end of the lease for ever. */
static void test_dead_worker(void **state)
{
	gh_step_t lasting = one_task;
	world_t w;

	(void)state;
	lasting.long_running = true;
	world_init(&w);
	add_worker(&w, "w1", 1000);
	add_worker(&w, "w2", 1000);
	add_job(&w, "0000000000000001", 1, &lasting, NULL);
	advance_time(&w, 1000);
	assert_int_equal(count_orders(&w, GH_ORDER_START, 0), 1);
	find_worker(&w, w.orders[0].worker)->silent = true;
	advance_time(&w, LEASE_MS - 500);
	assert_int_equal(count_orders(&w, GH_ORDER_START, 0), 1);
	advance_time(&w, 1800);
	assert_int_equal(count_orders(&w, GH_ORDER_START, 0), 2);
	assert_string_not_equal(w.orders[0].worker,
				w.orders[w.n_orders - 1].worker);
	world_clear(&w);
}

/* An answer that is lost leads to the same start again, not to another. */
static void test_lost_answer(void **state)
{
	world_t w;
	size_t i;

	(void)state;
	world_init(&w);
	add_worker(&w, "w1", 4000)->lossy = true;
	add_worker(&w, "w2", 4000);
	add_job(&w, "0000000000000001", 1, &one_task, NULL);
	advance_time(&w, 60);
	w.workers[0].lossy = false;
	w.workers[1].lossy = false;
	advance_time(&w, 1000);
	for (i = 0; i < w.n_orders; i++) {
		assert_int_equal(w.orders[i].kind, GH_ORDER_START);
		assert_int_equal(w.orders[i].run, 1);
		assert_string_equal(w.orders[i].worker, w.orders[0].worker);
	}
	assert_int_equal(w.workers[0].n_runs + w.workers[1].n_runs, 1);
	world_clear(&w);
}

/* A worker that restarted under its id runs nothing of before. */
static void test_restarted_worker(void **state)
{
	world_t w;

	(void)state;
	world_init(&w);
	add_worker(&w, "w1", 4000);
	add_job(&w, "0000000000000001", 1, &one_task, NULL);
	advance_time(&w, 500);
	w.workers[0].n_runs = 0;
	w.workers[0].born_ms = 2;
	advance_time(&w, 1500);
	assert_int_equal(count_orders(&w, GH_ORDER_START, 0), 2);
	assert_int_equal(w.orders[w.n_orders - 1].run, 2);
	world_clear(&w);
}

/*
 * test-platform, test_worker_struck beside two CI runs: a start that the former
 * life of a worker did not answer reached the new one and ended there; the
 * task was started again.
 */
static void test_start_in_new_life(void **state)
{
	uint32_t last = 0;
	world_t w;
	size_t i;

	(void)state;
	world_init(&w);
	add_worker(&w, "w1", 4000);
	advance_time(&w, 100);
	w.workers[0].silent = true;
	add_job(&w, "0000000000000001", 1, &one_task, NULL);
	while (!w.n_orders)
		advance_time(&w, 10);
	w.workers[0].silent = false;
	w.workers[0].born_ms = 2;
	w.workers[0].runs[w.workers[0].n_runs++] =
		(gh_report_run_t){ .task = w.orders[0].task, .run = 1 };
	end_run(&w.workers[0], 0, GH_RUN_DONE);
	advance_time(&w, 1500);
	for (i = 0; i < w.n_orders; i++)
		last = MAX(last, w.orders[i].run);
	assert_int_equal(last, 1);
	assert_int_equal(w.phase, GH_JOB_COMPLETED);
	world_clear(&w);
}

/* A job fails after as many failed runs as its queue allows. */
static void test_attempts(void **state)
{
	gh_queue_policy_t policy = { .name = "q", .attempts = 2 };
	world_t w;

	(void)state;
	world_init(&w);
	gh_fleet_queue_set(w.fleet, &policy);
	add_worker(&w, "w1", 4000);
	add_job(&w, "0000000000000001", 1, &one_task, NULL);
	advance_time(&w, 500);
	end_run(&w.workers[0], 0, GH_RUN_FAILED);
	advance_time(&w, 1500);
	assert_int_equal(count_orders(&w, GH_ORDER_START, 0), 2);
	assert_int_equal(w.phase, GH_JOB_RUNNING);
	end_run(&w.workers[0], 0, GH_RUN_FAILED);
	advance_time(&w, 1500);
	assert_int_equal(count_orders(&w, GH_ORDER_START, 0), 2);
	assert_int_equal(w.phase, GH_JOB_FAILED);
	world_clear(&w);
}

/* Cancelling stops what runs; nothing of the job starts any more. */
static void test_cancel(void **state)
{
	gh_step_t many = one_task;
	world_t w;

	(void)state;
	many.tasks = 6;
	world_init(&w);
	add_worker(&w, "w1", 4000);
	add_job(&w, "0000000000000001", 1, &many, NULL);
	advance_time(&w, 500);
	assert_int_equal(count_orders(&w, GH_ORDER_START, 0), 4);
	gh_fleet_job_cancel(w.fleet, "0000000000000001", w.now);
	advance_time(&w, 1500);
	assert_int_equal(count_orders(&w, GH_ORDER_START, 0), 4);
	assert_int_equal(count_orders(&w, GH_ORDER_STOP, 0), 4);
	assert_int_equal(w.workers[0].n_runs, 0);
	assert_false(gh_fleet_job_known(w.fleet, "0000000000000001"));
	world_clear(&w);
}

/* A gang starts whole or not at all, with one number for all members. */
static void test_gang(void **state)
{
	gh_step_t gang = one_task;
	world_t w;
	size_t i;

	(void)state;
	gang.tasks = 4;
	gang.gang = true;
	world_init(&w);
	add_worker(&w, "w1", 3000);
	add_job(&w, "0000000000000001", 1, &gang, NULL);
	advance_time(&w, 1000);
	assert_int_equal(w.n_orders, 0);
	add_worker(&w, "w2", 3000);
	advance_time(&w, 500);
	assert_int_equal(count_orders(&w, GH_ORDER_START, 0), 4);
	for (i = 1; i < w.n_orders; i++)
		assert_int_equal(w.orders[i].run, w.orders[0].run);
	end_run(&w.workers[0], 0, GH_RUN_DONE);
	advance_time(&w, 1500);
	assert_int_equal(w.phase, GH_JOB_COMPLETED);
	world_clear(&w);
}

/* No more tasks of a step on one worker than the step allows. */
static void test_per_worker(void **state)
{
	gh_step_t apart = one_task;
	world_t w;

	(void)state;
	apart.tasks = 5;
	apart.max_per_worker = 2;
	world_init(&w);
	add_worker(&w, "w1", 9000);
	add_worker(&w, "w2", 9000);
	add_job(&w, "0000000000000001", 1, &apart, NULL);
	advance_time(&w, 1000);
	assert_int_equal(w.workers[0].n_runs, 2);
	assert_int_equal(w.workers[1].n_runs, 2);
	world_clear(&w);
}

/* Nothing starts on a worker that drains; lasting tasks leave it. */
static void test_drain(void **state)
{
	gh_step_t lasting = one_task;
	gh_worker_entry_t entry = {
		.id = "w1",
		.service = "svc",
		.address = "127.0.0.1:1",
		.size = { .cores_milli = 4000, .memory_mb = 100000 },
		.incarnation_start_ms = 1,
		.draining = true,
	};
	world_t w;

	(void)state;
	lasting.long_running = true;
	world_init(&w);
	add_worker(&w, "w1", 4000);
	add_job(&w, "0000000000000001", 1, &lasting, NULL);
	advance_time(&w, 500);
	gh_fleet_worker_set(w.fleet, &entry, w.now);
	advance_time(&w, 1500);
	assert_int_equal(count_orders(&w, GH_ORDER_START, 0), 1);
	assert_int_equal(w.workers[0].n_runs, 0);
	add_worker(&w, "w2", 4000);
	advance_time(&w, 500);
	assert_int_equal(w.workers[1].n_runs, 1);
	world_clear(&w);
}

/* What a former owner may have begun, by the record that it left. */
typedef struct takeover_case {
	const char *name;
	size_t starts_soon;   /* of the new owner, within 2 s */
	size_t starts_later;  /* within 12 s */
	gh_job_phase_t phase; /* in the end */
	bool runs;	      /* the worker runs it */
	bool done;	      /* it has ended there */
	bool silent;	      /* the worker answers nothing */
} takeover_case_t;

static const takeover_case_t takeovers[] = {
	{ .name = "it runs", .phase = GH_JOB_QUEUED, .runs = true },
	{ .name = "it never came",
	  .starts_soon = 1,
	  .starts_later = 1,
	  .phase = GH_JOB_RUNNING },
	{ .name = "it is done", .phase = GH_JOB_COMPLETED, .done = true },
	{ .name = "the worker is silent",
	  .starts_later = 1,
	  .phase = GH_JOB_RUNNING,
	  .runs = true,
	  .silent = true },
};

static void test_takeover(void **state)
{
	size_t i;

	(void)state;
	for (i = 0; i < G_N_ELEMENTS(takeovers); i++) {
		const takeover_case_t *c = &takeovers[i];
		gh_report_run_t run = {
			.task = { .job = "0000000000000001" },
			.run = 3,
		};
		world_t w;

		print_message("%s\n", c->name);
		world_init(&w);
		add_job(&w, "0000000000000001", 1, &one_task,
			"progress1\n0 open 1 3 - 3@w1\n");
		add_worker(&w, "w1", 4000);
		add_worker(&w, "w2", 4000);
		w.workers[0].silent = c->silent;
		if (c->runs || c->done)
			w.workers[0].runs[w.workers[0].n_runs++] = run;
		if (c->done)
			end_run(&w.workers[0], 0, GH_RUN_DONE);
		advance_time(&w, 2000);
		assert_int_equal(count_orders(&w, GH_ORDER_START, 0),
				 c->starts_soon);
		advance_time(&w, 10000);
		assert_int_equal(count_orders(&w, GH_ORDER_START, 0),
				 c->starts_later);
		if (c->starts_later)
			assert_int_equal(w.orders[0].run, 4);
		assert_int_equal(w.phase, c->phase);
		world_clear(&w);
	}
}

/* A run that no record knows is stopped, and its end forgotten. */
static void test_unknown_run(void **state)
{
	world_t w;

	(void)state;
	world_init(&w);
	add_worker(&w, "w1", 4000);
	w.workers[0].runs[w.workers[0].n_runs++] =
		(gh_report_run_t){ .task = { .job = "00000000000000ff" },
				   .run = 1 };
	advance_time(&w, 1000);
	assert_int_equal(count_orders(&w, GH_ORDER_STOP, 0), 1);
	assert_int_equal(w.workers[0].n_runs, 0);
	assert_int_equal(w.workers[0].n_ends, 0);
	world_clear(&w);
}

/* A copy of a straggler; the first to end counts, the other is stopped. */
static void test_copy(void **state)
{
	gh_step_t copies = one_task;
	world_t w;

	(void)state;
	copies.speculative = true;
	world_init(&w);
	add_worker(&w, "w1", 1000);
	add_worker(&w, "w2", 1000);
	add_job(&w, "0000000000000001", 1, &copies, NULL);
	advance_time(&w, 1500);
	assert_int_equal(count_orders(&w, GH_ORDER_START, 0), 1);
	advance_time(&w, 2000);
	assert_int_equal(count_orders(&w, GH_ORDER_START, 0), 2);
	end_run(&w.workers[1], 0, GH_RUN_DONE);
	advance_time(&w, 1500);
	assert_int_equal(count_orders(&w, GH_ORDER_STOP, 0), 1);
	assert_int_equal(w.phase, GH_JOB_COMPLETED);
	assert_int_equal(w.workers[0].n_runs + w.workers[1].n_runs, 0);
	world_clear(&w);
}

/*
 * hunt haddad-laces, late-orders-owner-changes --seed 990872147848: a copy
 * that outlived its task's end, and its owner, is stopped and not copied.
 */
static void test_copy_of_done_task(void **state)
{
	gh_step_t copies = one_task;
	gh_report_run_t run = { .task = { .job = "0000000000000001" },
				.run = 2 };
	world_t w;

	(void)state;
	copies.speculative = true;
	copies.tasks = 2;
	world_init(&w);
	add_job(&w, "0000000000000001", 1, &copies,
		"progress1\n0 done 0 2 - 2@w1\n1 open 0 1 - 1@w2\n");
	add_worker(&w, "w1", 4000);
	add_worker(&w, "w2", 4000);
	w.workers[0].silent = true;
	w.workers[0].runs[w.workers[0].n_runs++] = run;
	run.task.index = 1;
	run.run = 1;
	w.workers[1].runs[w.workers[1].n_runs++] = run;
	advance_time(&w, 1500);
	w.workers[0].silent = false;
	advance_time(&w, 1500);
	for (size_t i = 0; i < w.n_orders; i++)
		if (w.orders[i].task.index == 0)
			assert_int_equal(w.orders[i].kind, GH_ORDER_STOP);
	assert_int_equal(w.workers[0].n_runs, 0);
	world_clear(&w);
}

/* A worker that fails what it starts is left alone for a while. */
static void test_failing_worker(void **state)
{
	gh_queue_policy_t policy = { .name = "q", .attempts = 9 };
	world_t w;
	int i;

	(void)state;
	world_init(&w);
	gh_fleet_queue_set(w.fleet, &policy);
	add_worker(&w, "w1", 2000);
	add_job(&w, "0000000000000001", 1, &one_task, NULL);
	add_job(&w, "0000000000000002", 1, &one_task, NULL);
	advance_time(&w, 500);
	for (i = 0; i < 2; i++)
		end_run(&w.workers[0], 0, GH_RUN_FAILED);
	advance_time(&w, 2000);
	assert_int_equal(count_orders(&w, GH_ORDER_START, 0), 2);
	advance_time(&w, 2500);
	assert_true(count_orders(&w, GH_ORDER_START, 0) > 2);
	world_clear(&w);
}

/*
 * Load: filling tasks beside a lasting one whose tail rises over its bound.
 * All that fills stands still in time, and goes on once the tail is low.
 */
static void test_pace(void **state)
{
	gh_step_t lasting = one_task;
	gh_step_t filling = one_task;
	uint32_t least = 100;
	uint32_t last = 100;
	world_t w;
	size_t i;

	(void)state;
	lasting.long_running = true;
	lasting.tail_bound_ms = 24;
	filling.best_effort = true;
	filling.tasks = 2;
	world_init(&w);
	add_worker(&w, "w1", 32000)->tail_ms = 6;
	add_job(&w, LONG_RUNNING_JOB_ID, 1, &lasting, NULL);
	advance_time(&w, 1500);
	add_job(&w, "0000000000000002", 1, &filling, NULL);
	advance_time(&w, 1000);
	assert_int_equal(w.workers[0].n_runs, 3);
	w.workers[0].tail_ms = 200;
	advance_time(&w, 3000);
	for (i = 0; i < w.n_orders; i++)
		if (w.orders[i].kind == GH_ORDER_PACE)
			least = MIN(least, w.orders[i].pace_percent);
	assert_int_equal(least, 0);
	w.workers[0].tail_ms = 5;
	advance_time(&w, 6000);
	for (i = 0; i < w.n_orders; i++)
		if (w.orders[i].kind == GH_ORDER_PACE)
			last = w.orders[i].pace_percent;
	assert_true(last >= 50);
	world_clear(&w);
}

static uint32_t last_pace(const world_t *w)
{
	uint32_t pace = 1000; /* none was ordered */
	size_t i;

	for (i = 0; i < w->n_orders; i++)
		if (w->orders[i].kind == GH_ORDER_PACE)
			pace = w->orders[i].pace_percent;
	return pace;
}

/*
 * hunt meskot-hoist, trouble-3 --seed 574925425894: nobody but the former
 * owner knew that a filling task stood still at its worker.
 */
static void test_pace_after_takeover(void **state)
{
	gh_step_t filling = one_task;
	gh_report_run_t run = { .task = { .job = "0000000000000001" },
				.run = 1 };
	world_t w;

	(void)state;
	filling.best_effort = true;
	world_init(&w);
	add_job(&w, "0000000000000001", 1, &filling,
		"progress1\n0 open 0 1 - 1@w1\n");
	add_worker(&w, "w1", 4000);
	w.workers[0].runs[w.workers[0].n_runs++] = run;
	advance_time(&w, 2000);
	assert_int_equal(last_pace(&w), 100);
	world_clear(&w);
}

/* Once nothing lasts on a worker, what fills there goes at full pace. */
static void test_pace_after_lasting(void **state)
{
	gh_step_t lasting = one_task;
	gh_step_t filling = one_task;
	world_t w;

	(void)state;
	lasting.long_running = true;
	lasting.tail_bound_ms = 24;
	filling.best_effort = true;
	world_init(&w);
	add_worker(&w, "w1", 32000)->tail_ms = 6;
	add_job(&w, LONG_RUNNING_JOB_ID, 1, &lasting, NULL);
	advance_time(&w, 1500);
	add_job(&w, "0000000000000002", 1, &filling, NULL);
	advance_time(&w, 1000);
	w.workers[0].tail_ms = 200;
	advance_time(&w, 3000);
	assert_int_equal(last_pace(&w), 0);
	gh_fleet_job_cancel(w.fleet, LONG_RUNNING_JOB_ID, w.now);
	advance_time(&w, 3000);
	assert_int_equal(last_pace(&w), 100);
	world_clear(&w);
}

/*
 * hunt meskot-hoist, trouble-2 --seed 1017794313807: a lasting task that
 * starts slowly is no hanging one, and a worker with lasting tasks is used
 * again some time after a quarantine.
 */
static void test_slow_start(void **state)
{
	gh_step_t lasting = one_task;
	world_t w;

	(void)state;
	lasting.long_running = true;
	world_init(&w);
	add_worker(&w, "w1", 2000);
	add_job(&w, LONG_RUNNING_JOB_ID, 1, &lasting, NULL);
	advance_time(&w, 8000);
	assert_int_equal(count_orders(&w, GH_ORDER_STOP, 0), 0);
	/* One that makes no progress is stopped, and started again. */
	w.workers[0].stuck = true;
	advance_time(&w, 4000);
	assert_int_equal(count_orders(&w, GH_ORDER_STOP, 0), 1);
	w.workers[0].stuck = false;
	w.workers[0].tail_ms = 5;
	advance_time(&w, 4000);
	assert_int_equal(w.workers[0].n_runs, 1);
	add_job(&w, "0000000000000002", 1, &one_task, NULL);
	advance_time(&w, 6000);
	assert_int_equal(w.workers[0].n_runs, 2);
	world_clear(&w);
}

/*
 * hunt haddad-laces, trouble-1 --seed 712150341119: filling tasks for which
 * no worker has room beside its lasting tasks start all the same in time.
 */
static void test_fill_overdue(void **state)
{
	gh_step_t lasting = one_task;
	gh_step_t filling = one_task;
	world_t w;

	(void)state;
	lasting.long_running = true;
	lasting.tail_bound_ms = 24;
	filling.best_effort = true;
	filling.size.cores_milli = 30000;
	world_init(&w);
	add_worker(&w, "w1", 32000)->tail_ms = 22;
	add_job(&w, LONG_RUNNING_JOB_ID, 1, &lasting, NULL);
	advance_time(&w, 2000);
	add_job(&w, "0000000000000002", 1, &filling, NULL);
	advance_time(&w, 1000);
	assert_int_equal(w.workers[0].n_runs, 1);
	advance_time(&w, 1500);
	assert_int_equal(w.workers[0].n_runs, 2);
	world_clear(&w);
}

/*
 * Load: a wide job and many small ones of the same queue at once, four times
 * what there is room for.  Callers with small jobs do not wait for the wide
 * one, and it is not left for last.
 */
static void test_burst(void **state)
{
	gh_step_t wide = one_task;
	world_t w;
	size_t small_first = 0;
	size_t wide_done = 0;
	char id[GH_JOB_ID_MAX + 1];
	int round, i;

	(void)state;
	wide.tasks = 24;
	world_init(&w);
	add_worker(&w, "w1", 8000);
	add_job(&w, "0000000000000001", 1, &wide, NULL);
	for (i = 0; i < 8; i++) {
		g_snprintf(id, sizeof(id), "00000000000001%02d", i);
		add_job(&w, id, 1, &one_task, NULL);
	}
	for (round = 0; round < 6; round++) {
		advance_time(&w, 200);
		while (w.workers[0].n_runs)
			end_run(&w.workers[0], 0, GH_RUN_DONE);
		advance_time(&w, 1100);
		if (!gh_fleet_job_known(w.fleet, "0000000000000001"))
			wide_done = (size_t)round + 1;
		if (round == 1)
			for (i = 0; i < 8; i++) {
				g_snprintf(id, sizeof(id), "00000000000001%02d",
					   i);
				small_first += !gh_fleet_job_known(w.fleet, id);
			}
		if (wide_done)
			break;
	}
	assert_int_equal(small_first, 8);
	assert_in_range(wide_done, 1, 5);
	world_clear(&w);
}

int main(void)
{
	static const struct CMUnitTest tests[] = {
		cmocka_unit_test(test_order_of_steps),
		cmocka_unit_test(test_store_down),
		cmocka_unit_test(test_dead_worker),
		cmocka_unit_test(test_lost_answer),
		cmocka_unit_test(test_restarted_worker),
		cmocka_unit_test(test_start_in_new_life),
		cmocka_unit_test(test_attempts),
		cmocka_unit_test(test_cancel),
		cmocka_unit_test(test_gang),
		cmocka_unit_test(test_per_worker),
		cmocka_unit_test(test_drain),
		cmocka_unit_test(test_takeover),
		cmocka_unit_test(test_unknown_run),
		cmocka_unit_test(test_copy),
		cmocka_unit_test(test_copy_of_done_task),
		cmocka_unit_test(test_failing_worker),
		cmocka_unit_test(test_pace),
		cmocka_unit_test(test_pace_after_takeover),
		cmocka_unit_test(test_pace_after_lasting),
		cmocka_unit_test(test_burst),
		cmocka_unit_test(test_slow_start),
		cmocka_unit_test(test_fill_overdue),
	};

	return cmocka_run_group_tests(tests, NULL, NULL);
}
