/*
 * Tests of the fleet scheduler's decisions on simulated workers that reply, are
 * unreachable, restart or report runs.
 */
#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <stdint.h>

#include <cmocka.h>
#include <string.h>

#include "fleet_world.h"

/* A step starts only once all steps that it depends on are done. */
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

/* While commits to the store fail, no run starts and no end of a run is
 * acknowledged. */
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

/* What is planned and not committed is told apart from what has begun. */
static void test_backlog(void **state)
{
	gh_fleet_backlog_t backlog;
	world_t w;

	(void)state;
	world_init(&w);
	add_worker(&w, "w1", 4000);
	w.store_down = true;
	add_job(&w, "0000000000000001", 1, &one_task, NULL);
	advance_time(&w, 500);
	gh_fleet_backlog(w.fleet, &backlog);
	assert_int_equal(backlog.planned_runs, 1);
	assert_int_equal(backlog.planned_cores_milli,
			 one_task.size.cores_milli);
	assert_in_range(w.now - backlog.planned_since, 400 * MS, 500 * MS);
	assert_string_equal(backlog.oldest.job, "0000000000000001");
	assert_int_equal(backlog.begun_runs, 0);
	assert_int_equal(backlog.begun_lately, 0);
	assert_int_equal(backlog.cores_milli, 4000);
	w.store_down = false;
	advance_time(&w, 100);
	gh_fleet_backlog(w.fleet, &backlog);
	assert_int_equal(backlog.planned_runs, 0);
	assert_int_equal(backlog.planned_since, 0);
	assert_int_equal(backlog.begun_cores_milli, one_task.size.cores_milli);
	assert_int_equal(backlog.begun_lately, 1);
	advance_time(&w, 5000);
	gh_fleet_backlog(w.fleet, &backlog);
	assert_int_equal(backlog.begun_lately, 0);
	world_clear(&w);
}

/*
 * Without the store no renewals are sent, so the leases of all workers expire.
 * A task whose run is over then is planned once, not again and again: a run
 * that is only planned needs no lease.
 */
static void test_plan_without_lease(void **state)
{
	gh_step_t long_running = one_task;
	world_t w;

	(void)state;
	long_running.long_running = true;
	world_init(&w);
	add_worker(&w, "w1", 1000);
	add_job(&w, "0000000000000001", 1, &long_running, NULL);
	advance_time(&w, 1000);
	assert_int_equal(count_orders(&w, GH_ORDER_START, 0), 1);
	w.store_down = w.renewals_stopped = true;
	advance_time(&w, LEASE_MS + 2000);
	w.store_down = w.renewals_stopped = false;
	w.workers[0].n_runs = 0;
	advance_time(&w, 1000);
	assert_int_equal(count_orders(&w, GH_ORDER_START, 0), 2);
	assert_int_equal(w.orders[w.n_orders - 1].run, 2);
	world_clear(&w);
}

/*
 * Renewals without a reply extended the lease of a failed worker for ever, so
 * that its long-running task was never restarted elsewhere.  Found by hunt
 * haddad-laces, mix --seed 311025139233.
 */
static void test_dead_worker(void **state)
{
	gh_step_t long_running = one_task;
	world_t w;

	(void)state;
	long_running.long_running = true;
	world_init(&w);
	add_worker(&w, "w1", 1000);
	add_worker(&w, "w2", 1000);
	add_job(&w, "0000000000000001", 1, &long_running, NULL);
	advance_time(&w, 1000);
	assert_int_equal(count_orders(&w, GH_ORDER_START, 0), 1);
	find_worker(&w, w.orders[0].worker)->unreachable = true;
	advance_time(&w, LEASE_MS - 500);
	assert_int_equal(count_orders(&w, GH_ORDER_START, 0), 1);
	advance_time(&w, 1800);
	assert_int_equal(count_orders(&w, GH_ORDER_START, 0), 2);
	assert_string_not_equal(w.orders[0].worker,
				w.orders[w.n_orders - 1].worker);
	world_clear(&w);
}

/*
 * A start without a reply extended the lease of its worker each time that it
 * was sent again, so that the task waited longer than the worker's lease.
 */
static void test_start_on_dead_worker(void **state)
{
	gh_time_t first_start;
	world_t w;

	(void)state;
	world_init(&w);
	add_worker(&w, "w1", 1000);
	advance_time(&w, 500);
	w.workers[0].unreachable = true;
	add_job(&w, "0000000000000001", 1, &one_task, NULL);
	while (!w.n_orders)
		advance_time(&w, 10);
	first_start = w.now;
	add_worker(&w, "w2", 1000);
	while (!strcmp(w.orders[w.n_orders - 1].worker, "w1"))
		advance_time(&w, 10);
	assert_string_equal(w.orders[w.n_orders - 1].worker, "w2");
	assert_in_range(w.now - first_start, LEASE_MS * MS,
			(LEASE_MS + 500) * MS);
	world_clear(&w);
}

/* A lost reply to a start resends the same run to the same worker. */
static void test_lost_answer(void **state)
{
	world_t w;
	size_t i;

	(void)state;
	world_init(&w);
	add_worker(&w, "w1", 4000)->drops_replies = true;
	add_worker(&w, "w2", 4000);
	add_job(&w, "0000000000000001", 1, &one_task, NULL);
	advance_time(&w, 60);
	w.workers[0].drops_replies = false;
	w.workers[1].drops_replies = false;
	advance_time(&w, 1000);
	for (i = 0; i < w.n_orders; i++) {
		assert_int_equal(w.orders[i].kind, GH_ORDER_START);
		assert_int_equal(w.orders[i].run, 1);
		assert_string_equal(w.orders[i].worker, w.orders[0].worker);
	}
	assert_int_equal(w.workers[0].n_runs + w.workers[1].n_runs, 1);
	world_clear(&w);
}

/*
 * After a restart under the same id, the previous incarnation's run is gone and
 * the task is started again as a new run.
 */
static void test_restarted_worker(void **state)
{
	world_t w;

	(void)state;
	world_init(&w);
	add_worker(&w, "w1", 4000);
	add_job(&w, "0000000000000001", 1, &one_task, NULL);
	advance_time(&w, 500);
	w.workers[0].n_runs = 0;
	w.workers[0].incarnation_start_ms = 2;
	advance_time(&w, 1500);
	assert_int_equal(count_orders(&w, GH_ORDER_START, 0), 2);
	assert_int_equal(w.orders[w.n_orders - 1].run, 2);
	world_clear(&w);
}

/*
 * A start to which the previous incarnation of a worker did not reply reached
 * the new incarnation and completed there, but the task was started a second
 * time.  Seen in test-platform, test_worker_struck, with two CI runs on the
 * same machine.
 */
static void test_start_in_new_life(void **state)
{
	uint32_t highest_run = 0;
	world_t w;
	size_t i;

	(void)state;
	world_init(&w);
	add_worker(&w, "w1", 4000);
	advance_time(&w, 100);
	w.workers[0].unreachable = true;
	add_job(&w, "0000000000000001", 1, &one_task, NULL);
	while (!w.n_orders)
		advance_time(&w, 10);
	w.workers[0].unreachable = false;
	w.workers[0].incarnation_start_ms = 2;
	w.workers[0].runs[w.workers[0].n_runs++] =
		(gh_report_run_t){ .task = w.orders[0].task, .run = 1 };
	end_run(&w.workers[0], 0, GH_RUN_DONE);
	advance_time(&w, 1500);
	for (i = 0; i < w.n_orders; i++)
		highest_run = MAX(highest_run, w.orders[i].run);
	assert_int_equal(highest_run, 1);
	assert_int_equal(w.phase, GH_JOB_COMPLETED);
	world_clear(&w);
}

/* A job fails after the number of failed runs that its queue allows. */
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

/* Cancelling a job stops its runs, and no more of its tasks start. */
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
	assert_false(gh_fleet_has_job(w.fleet, "0000000000000001"));
	world_clear(&w);
}

/* The load is that of the usable workers and the jobs that have not ended,
 * whether their tasks run or wait. */
static void test_load(void **state)
{
	gh_step_t steps[2] = { long_running_step, one_task };
	gh_shard_load_t load;
	world_t w;

	(void)state;
	steps[0].tasks = 10;
	steps[0].size.memory_mb = 50;
	world_init(&w);
	add_worker(&w, "w1", 4000);
	add_worker(&w, "w2", 2000);
	gh_fleet_load(w.fleet, &load, w.now);
	assert_int_equal(load.total.cores_milli, 0);
	add_job(&w, "0000000000000001", 2, steps, NULL);
	add_job(&w, "0000000000000002", 1, &best_effort_step, NULL);
	advance_time(&w, 500);
	gh_fleet_load(w.fleet, &load, w.now);
	assert_int_equal(load.total.cores_milli, 6000);
	assert_int_equal(load.total.memory_mb, 200000);
	assert_int_equal(load.long_running.cores_milli, 10000);
	assert_int_equal(load.long_running.memory_mb, 500);
	w.workers[0].unreachable = true;
	gh_fleet_worker_unlist(w.fleet, "w2");
	advance_time(&w, 2000);
	gh_fleet_load(w.fleet, &load, w.now);
	assert_int_equal(load.total.cores_milli, 0);
	assert_int_equal(load.long_running.cores_milli, 10000);
	gh_fleet_job_cancel(w.fleet, "0000000000000001", w.now);
	gh_fleet_load(w.fleet, &load, w.now);
	assert_int_equal(load.long_running.cores_milli, 0);
	world_clear(&w);
}

/* The tasks of a gang start all together or not at all, and share one run
 * number. */
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

/* A worker runs at most as many tasks of a step as the step allows. */
static void test_per_worker(void **state)
{
	gh_step_t spread = one_task;
	world_t w;

	(void)state;
	spread.tasks = 5;
	spread.max_per_worker = 2;
	world_init(&w);
	add_worker(&w, "w1", 9000);
	add_worker(&w, "w2", 9000);
	add_job(&w, "0000000000000001", 1, &spread, NULL);
	advance_time(&w, 1000);
	assert_int_equal(w.workers[0].n_runs, 2);
	assert_int_equal(w.workers[1].n_runs, 2);
	world_clear(&w);
}

/* A draining worker gets no starts, and its long-running tasks are moved. */
static void test_drain(void **state)
{
	gh_step_t long_running = one_task;
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
	long_running.long_running = true;
	world_init(&w);
	add_worker(&w, "w1", 4000);
	add_job(&w, "0000000000000001", 1, &long_running, NULL);
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

/* A run in the job record that the previous owner wrote, and the run's state
 * when a new owner takes over. */
typedef struct takeover_case {
	const char *name;
	size_t starts_soon;   /* starts by the new owner within 6 s */
	size_t starts_later;  /* starts by the new owner within 7 s and 12 s */
	gh_job_phase_t phase; /* expected phase of the job after 12 s */
	bool runs;	      /* the worker reports the run as running */
	bool done;	      /* the worker reports the run as done */
	bool unreachable;     /* the worker does not reply */
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
	  .unreachable = true },
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
		w.workers[0].unreachable = c->unreachable;
		if (c->runs || c->done)
			w.workers[0].runs[w.workers[0].n_runs++] = run;
		if (c->done)
			end_run(&w.workers[0], 0, GH_RUN_DONE);
		advance_time(&w, 2000);
		assert_int_equal(count_orders(&w, GH_ORDER_START, 0),
				 c->starts_soon);
		/* The last lease that a previous owner granted ends at 6.3 s.
		 */
		advance_time(&w, 4000);
		assert_int_equal(count_orders(&w, GH_ORDER_START, 0),
				 c->starts_soon);
		advance_time(&w, 1000);
		assert_int_equal(count_orders(&w, GH_ORDER_START, 0),
				 c->starts_later);
		advance_time(&w, 5000);
		assert_int_equal(count_orders(&w, GH_ORDER_START, 0),
				 c->starts_later);
		if (c->starts_later)
			assert_int_equal(w.orders[0].run, 4);
		assert_int_equal(w.phase, c->phase);
		world_clear(&w);
	}
}

/* A run that a worker reports but no job record lists is stopped, and its end
 * is acknowledged. */
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

/*
 * A task that runs long (a straggler) gets a second run, its copy, on another
 * worker; the first run to complete counts, the other is stopped.
 */
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
 * After a change of the shard's owner, a copy may still run although its task
 * is done.  The copy is stopped; the task must not be copied again.  Found by
 * hunt haddad-laces, late-orders-owner-changes --seed 990872147848.
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
	w.workers[0].unreachable = true;
	w.workers[0].runs[w.workers[0].n_runs++] = run;
	run.task.index = 1;
	run.run = 1;
	w.workers[1].runs[w.workers[1].n_runs++] = run;
	advance_time(&w, 1500);
	w.workers[0].unreachable = false;
	advance_time(&w, 1500);
	for (size_t i = 0; i < w.n_orders; i++)
		if (w.orders[i].task.index == 0)
			assert_int_equal(w.orders[i].kind, GH_ORDER_STOP);
	assert_int_equal(w.workers[0].n_runs, 0);
	world_clear(&w);
}

/* A worker on which runs of two jobs fail gets no starts for a while
 * (quarantine). */
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
 * Best-effort tasks beside a long-running one whose tail latency rises above
 * its bound: their pace falls to 0, and rises again once the tail is low.
 */
static void test_pace(void **state)
{
	gh_step_t long_running = one_task;
	gh_step_t best_effort = one_task;
	uint32_t min_pace = 100;
	uint32_t final_pace = 100;
	world_t w;
	size_t i;

	(void)state;
	long_running.long_running = true;
	long_running.tail_bound_ms = 24;
	best_effort.best_effort = true;
	best_effort.tasks = 2;
	world_init(&w);
	add_worker(&w, "w1", 32000)->tail_ms = 6;
	add_job(&w, LONG_RUNNING_JOB_ID, 1, &long_running, NULL);
	advance_time(&w, 1500);
	add_job(&w, "0000000000000002", 1, &best_effort, NULL);
	advance_time(&w, 1000);
	assert_int_equal(w.workers[0].n_runs, 3);
	w.workers[0].tail_ms = 200;
	advance_time(&w, 3000);
	for (i = 0; i < w.n_orders; i++)
		if (w.orders[i].kind == GH_ORDER_PACE)
			min_pace = MIN(min_pace, w.orders[i].pace_percent);
	assert_int_equal(min_pace, 0);
	w.workers[0].tail_ms = 5;
	advance_time(&w, 6000);
	for (i = 0; i < w.n_orders; i++)
		if (w.orders[i].kind == GH_ORDER_PACE)
			final_pace = w.orders[i].pace_percent;
	assert_true(final_pace >= 50);
	world_clear(&w);
}

static uint32_t last_pace(const world_t *w)
{
	uint32_t pace = 1000; /* above any percent: no pace ordered yet */
	size_t i;

	for (i = 0; i < w->n_orders; i++)
		if (w->orders[i].kind == GH_ORDER_PACE)
			pace = w->orders[i].pace_percent;
	return pace;
}

/*
 * A best-effort run that the previous owner had paced to 0 never ran again,
 * because the new owner did not know its pace.  Found by hunt meskot-hoist,
 * trouble-3 --seed 574925425894.
 */
static void test_pace_after_takeover(void **state)
{
	gh_step_t best_effort = one_task;
	gh_report_run_t run = { .task = { .job = "0000000000000001" },
				.run = 1 };
	world_t w;

	(void)state;
	best_effort.best_effort = true;
	world_init(&w);
	add_job(&w, "0000000000000001", 1, &best_effort,
		"progress1\n0 open 0 1 - 1@w1\n");
	add_worker(&w, "w1", 4000);
	w.workers[0].runs[w.workers[0].n_runs++] = run;
	advance_time(&w, 2000);
	assert_int_equal(last_pace(&w), 100);
	world_clear(&w);
}

/* Best-effort runs get full pace on a worker without long-running runs. */
static void test_pace_after_lasting(void **state)
{
	gh_step_t long_running = one_task;
	gh_step_t best_effort = one_task;
	world_t w;

	(void)state;
	long_running.long_running = true;
	long_running.tail_bound_ms = 24;
	best_effort.best_effort = true;
	world_init(&w);
	add_worker(&w, "w1", 32000)->tail_ms = 6;
	add_job(&w, LONG_RUNNING_JOB_ID, 1, &long_running, NULL);
	advance_time(&w, 1500);
	add_job(&w, "0000000000000002", 1, &best_effort, NULL);
	advance_time(&w, 1000);
	w.workers[0].tail_ms = 200;
	advance_time(&w, 3000);
	assert_int_equal(last_pace(&w), 0);
	gh_fleet_job_cancel(w.fleet, LONG_RUNNING_JOB_ID, w.now);
	advance_time(&w, 3000);
	assert_int_equal(last_pace(&w), 100);
	world_clear(&w);
}

/* A task whose progress, in whole percents, rises slowly. */
typedef struct slow_case {
	const char *name;
	uint32_t estimate_ms;
	int64_t percent_ms; /* time that one percent takes */
	size_t max_stops;   /* in two minutes */
} slow_case_t;

static const slow_case_t slow_cases[] = {
	{ .name = "a long task",
	  .estimate_ms = 600000,
	  .percent_ms = 6000,
	  .max_stops = 0 },
	{ .name = "a long task that is estimated short",
	  .estimate_ms = 1000,
	  .percent_ms = 6000,
	  .max_stops = 2 },
	{ .name = "a task estimated at half of its time",
	  .estimate_ms = 300000,
	  .percent_ms = 6000,
	  .max_stops = 0 },
};

/* LOST: tasks of more than 250 s were stopped again and again as hanging. */
static void test_long_task_does_not_hang(void **state)
{
	size_t i;

	(void)state;
	for (i = 0; i < G_N_ELEMENTS(slow_cases); i++) {
		const slow_case_t *c = &slow_cases[i];
		gh_step_t step = one_task;
		world_t w;

		print_message("%s\n", c->name);
		world_init(&w);
		step.estimate_ms = c->estimate_ms;
		add_worker(&w, "w1", 4000)->percent_ms = c->percent_ms;
		add_worker(&w, "w2", 4000)->percent_ms = c->percent_ms;
		add_job(&w, "0000000000000002", 1, &step, NULL);
		advance_time(&w, 120000);
		assert_in_range(count_orders(&w, GH_ORDER_STOP, 0), 0,
				c->max_stops);
		assert_int_equal(w.workers[0].n_runs + w.workers[1].n_runs, 1);
		world_clear(&w);
	}
}

/* How the starts of a job's only task end, and what the job is shown as. */
typedef struct begun_case {
	const char *name;
	gh_order_reply_t refusal;
	bool drops_replies, replaces_owner;
	gh_job_phase_t phase;
} begun_case_t;

static const begun_case_t begun_cases[] = {
	{ .name = "started", .phase = GH_JOB_RUNNING },
	{ .name = "unhealthy",
	  .refusal = GH_ORDER_REFUSED,
	  .phase = GH_JOB_QUEUED },
	{ .name = "unhealthy, and the owner changes",
	  .refusal = GH_ORDER_REFUSED,
	  .replaces_owner = true,
	  .phase = GH_JOB_QUEUED },
	{ .name = "no capacity",
	  .refusal = GH_ORDER_NO_CAPACITY,
	  .phase = GH_JOB_QUEUED },
	{ .name = "without a reply",
	  .drops_replies = true,
	  .phase = GH_JOB_RUNNING },
};

/*
 * MIXED: jobs whose starts were refused were shown as running and not counted
 * as pending.
 */
static void test_job_without_start_is_pending(void **state)
{
	size_t i;

	(void)state;
	for (i = 0; i < G_N_ELEMENTS(begun_cases); i++) {
		const begun_case_t *c = &begun_cases[i];
		scripted_worker_t *worker;
		char *progress;
		world_t w;

		print_message("%s\n", c->name);
		world_init(&w);
		worker = add_worker(&w, "w1", 2000);
		advance_time(&w, 100);
		worker->refusal = c->refusal;
		worker->drops_replies = c->drops_replies;
		add_job(&w, "0000000000000002", 1, &one_task, NULL);
		advance_time(&w, 1000);
		assert_true(w.n_orders > 0);
		assert_int_equal(w.phase, c->phase);
		if (c->replaces_owner) {
			progress = g_strdup(w.progress);
			replace_owner(&w);
			list_worker(&w, worker, false);
			add_job(&w, "0000000000000002", 1, &one_task, progress);
			g_free(progress);
			advance_time(&w, 500);
			assert_int_equal(w.phase, c->phase);
		}
		worker->refusal = GH_ORDER_OK;
		worker->drops_replies = false;
		advance_time(&w, 3000);
		assert_int_equal(worker->n_runs, 1);
		assert_int_equal(w.phase, GH_JOB_RUNNING);
		world_clear(&w);
	}
}

/*
 * A long-running task that started slowly was treated as hung, and a worker
 * with long-running tasks was not used again after a quarantine.  Found by hunt
 * meskot-hoist, trouble-2 --seed 1017794313807.
 */
static void test_slow_start(void **state)
{
	gh_step_t long_running = one_task;
	world_t w;

	(void)state;
	long_running.long_running = true;
	world_init(&w);
	add_worker(&w, "w1", 2000);
	add_job(&w, LONG_RUNNING_JOB_ID, 1, &long_running, NULL);
	advance_time(&w, 8000);
	assert_int_equal(count_orders(&w, GH_ORDER_STOP, 0), 0);
	/* A task without progress is stopped and started again. */
	w.workers[0].stalled = true;
	advance_time(&w, 4000);
	assert_int_equal(count_orders(&w, GH_ORDER_STOP, 0), 1);
	w.workers[0].stalled = false;
	w.workers[0].tail_ms = 5;
	advance_time(&w, 4000);
	assert_int_equal(w.workers[0].n_runs, 1);
	add_job(&w, "0000000000000002", 1, &one_task, NULL);
	advance_time(&w, 6000);
	assert_int_equal(w.workers[0].n_runs, 2);
	world_clear(&w);
}

/*
 * Best-effort tasks starved while every worker lacked capacity for them beside
 * its long-running tasks; they must start after a limited time.  Found by hunt
 * haddad-laces, trouble-1 --seed 712150341119.
 */
static void test_fill_overdue(void **state)
{
	gh_step_t long_running = one_task;
	gh_step_t best_effort = one_task;
	world_t w;

	(void)state;
	long_running.long_running = true;
	long_running.tail_bound_ms = 24;
	best_effort.best_effort = true;
	best_effort.size.cores_milli = 30000;
	world_init(&w);
	add_worker(&w, "w1", 32000)->tail_ms = 22;
	add_job(&w, LONG_RUNNING_JOB_ID, 1, &long_running, NULL);
	advance_time(&w, 2000);
	add_job(&w, "0000000000000002", 1, &best_effort, NULL);
	advance_time(&w, 1000);
	assert_int_equal(w.workers[0].n_runs, 1);
	advance_time(&w, 1500);
	assert_int_equal(w.workers[0].n_runs, 2);
	world_clear(&w);
}

/*
 * A job of best-effort tasks that lacks capacity beside long-running tasks runs
 * one task at a time.  It waited anew before each of them, so that it was seen
 * without a run again and again.  Found by a played day, haddad-laces, random
 * day 6021.
 */
static void test_starved_job_goes_on(void **state)
{
	gh_step_t long_running = one_task;
	gh_step_t best_effort = one_task;
	world_t w;
	int i;

	(void)state;
	long_running.long_running = true;
	long_running.tail_bound_ms = 24;
	best_effort.best_effort = true;
	best_effort.size.cores_milli = 30000;
	best_effort.tasks = 4;
	world_init(&w);
	add_worker(&w, "w1", 32000)->tail_ms = 22;
	add_job(&w, LONG_RUNNING_JOB_ID, 1, &long_running, NULL);
	advance_time(&w, 2000);
	add_job(&w, "0000000000000002", 1, &best_effort, NULL);
	advance_time(&w, 2500);
	for (i = 0; i < 3; i++) {
		assert_int_equal(w.workers[0].n_runs, 2);
		end_run(&w.workers[0], 1, GH_RUN_DONE);
		advance_time(&w, 500);
	}
	assert_int_equal(w.workers[0].n_runs, 2);
	world_clear(&w);
}

/*
 * A job of many tasks and many small jobs of the same queue arrive at once and
 * ask for four times the capacity.  The small jobs do not wait for the large
 * one, and the large one does not starve.
 */
static void test_burst(void **state)
{
	gh_step_t large = one_task;
	world_t w;
	size_t small_done = 0;
	size_t large_done = 0;
	char id[GH_JOB_ID_MAX + 1];
	int round, i;

	(void)state;
	large.tasks = 24;
	world_init(&w);
	add_worker(&w, "w1", 8000);
	add_job(&w, "0000000000000001", 1, &large, NULL);
	for (i = 0; i < 8; i++) {
		g_snprintf(id, sizeof(id), "00000000000001%02d", i);
		add_job(&w, id, 1, &one_task, NULL);
	}
	for (round = 0; round < 6; round++) {
		advance_time(&w, 200);
		while (w.workers[0].n_runs)
			end_run(&w.workers[0], 0, GH_RUN_DONE);
		advance_time(&w, 1100);
		if (!gh_fleet_has_job(w.fleet, "0000000000000001"))
			large_done = (size_t)round + 1;
		if (round == 1)
			for (i = 0; i < 8; i++) {
				g_snprintf(id, sizeof(id), "00000000000001%02d",
					   i);
				small_done += !gh_fleet_has_job(w.fleet, id);
			}
		if (large_done)
			break;
	}
	assert_int_equal(small_done, 8);
	assert_in_range(large_done, 1, 5);
	world_clear(&w);
}

/* What keeps a long-running task waiting, and how the scheduler reports it. */
typedef struct waiting_case {
	const char *workers; /* expected part of the report; NULL: no report */
	uint32_t cores;	     /* of the only worker; the task takes 1000 */
	uint32_t max_per_worker;
	uint32_t tasks;
	bool unreachable;
} waiting_case_t;

static const waiting_case_t waiting_cases[] = {
	{ .cores = 4000, .tasks = 1 },
	{ .cores = 500, .tasks = 1, .workers = "workers: 1 full" },
	{ .cores = 4000,
	  .tasks = 1,
	  .unreachable = true,
	  .workers = "workers: 1 unheard" },
	{ .cores = 4000,
	  .tasks = 2,
	  .max_per_worker = 1,
	  .workers = "workers: 1 spread" },
};

static void test_waiting_is_reported(void **state)
{
	size_t i;

	(void)state;
	for (i = 0; i < G_N_ELEMENTS(waiting_cases); i++) {
		const waiting_case_t *c = &waiting_cases[i];
		gh_step_t step = one_task;
		world_t w;

		step.long_running = true;
		step.tasks = c->tasks;
		step.max_per_worker = c->max_per_worker;
		world_init(&w);
		add_worker(&w, "w1", c->cores)->unreachable = c->unreachable;
		add_job(&w, "0000000000000001", 1, &step, NULL);
		advance_time(&w, 1800);
		assert_null(w.waiting);
		advance_time(&w, 1500);
		if (c->workers) {
			assert_non_null(w.waiting);
			assert_non_null(strstr(w.waiting, c->workers));
		} else {
			assert_null(w.waiting);
		}
		world_clear(&w);
	}
}

/* Short tasks that keep the workers full while a long-running one waits. */
typedef struct full_case {
	const char *name;
	gh_resources_t size, long_running; /* sizes of a task */
	uint32_t workers;
	bool best_effort;	 /* the short tasks */
	uint32_t max_per_worker; /* of the long-running step */
	int64_t estimates_ms[2]; /* short, long-running; 0: the usual one */
} full_case_t;

static const full_case_t full_cases[] = {
	{ .name = "cores",
	  .size = { .cores_milli = 1000 },
	  .long_running = { .cores_milli = 3000 },
	  .workers = 4 },
	{ .name = "memory",
	  .size = { .cores_milli = 10, .memory_mb = 25000 },
	  .long_running = { .cores_milli = 10, .memory_mb = 75000 },
	  .workers = 4 },
	{ .name = "memory of best-effort tasks",
	  .size = { .cores_milli = 10, .memory_mb = 25000 },
	  .long_running = { .cores_milli = 10, .memory_mb = 75000 },
	  .workers = 4,
	  .best_effort = true },
	{ .name = "one worker",
	  .size = { .cores_milli = 1000 },
	  .long_running = { .cores_milli = 4000 },
	  .workers = 1 },
	{ .name = "spread",
	  .size = { .cores_milli = 1000 },
	  .long_running = { .cores_milli = 2000 },
	  .workers = 4,
	  .max_per_worker = 1 },
	{ .name = "ranked behind the short tasks",
	  .size = { .cores_milli = 1000 },
	  .long_running = { .cores_milli = 4000 },
	  .workers = 1,
	  .estimates_ms = { 100000, 100000000 } },
};

#define LONG_RUNNING_WAIT_MS 3000
#define SHORT_TASK_MS 400

/* Ends short tasks at different times, so that little is free at a time. */
static void end_short_tasks(world_t *w, int64_t ms)
{
	size_t i;

	for (i = 0; i < w->n_workers; i++) {
		scripted_worker_t *worker = &w->workers[i];
		size_t r = worker->n_runs;

		while (r-- > 0)
			if (strcmp(worker->runs[r].task.job,
				   LONG_RUNNING_JOB_ID) != 0 &&
			    (ms + (int64_t)r * 100) % SHORT_TASK_MS == 0)
				end_run(worker, r, GH_RUN_DONE);
	}
}

static size_t count_long_running(const world_t *w)
{
	size_t n = 0, i, r;

	for (i = 0; i < w->n_workers; i++)
		for (r = 0; r < w->workers[i].n_runs; r++)
			n += !strcmp(w->workers[i].runs[r].task.job,
				     LONG_RUNNING_JOB_ID);
	return n;
}

/*
 * A long-running task waited for as long as short tasks kept all workers full,
 * as none had so much free capacity at a time.
 */
static void test_long_running_among_short_tasks(void **state)
{
	size_t i;

	(void)state;
	for (i = 0; i < G_N_ELEMENTS(full_cases); i++) {
		const full_case_t *c = &full_cases[i];
		gh_step_t step = one_task;
		gh_step_t lasting = one_task;
		int64_t ms;
		world_t w;
		uint32_t j;

		world_init(&w);
		for (j = 0; j < c->workers; j++)
			add_worker(&w, (char[]){ 'w', (char)('1' + j), '\0' },
				   4000);
		advance_time(&w, 100);
		step.tasks = 4000;
		step.size = c->size;
		step.best_effort = c->best_effort;
		if (c->estimates_ms[0])
			step.estimate_ms = c->estimates_ms[0];
		add_job(&w, "0000000000000001", 1, &step, NULL);
		lasting.long_running = true;
		if (c->estimates_ms[1])
			lasting.estimate_ms = c->estimates_ms[1];
		lasting.size = c->long_running;
		lasting.max_per_worker = c->max_per_worker;
		for (ms = 0; ms < 1000; ms += 10) {
			end_short_tasks(&w, ms);
			advance_time(&w, 10);
			w.n_orders = 0;
		}
		add_job(&w, LONG_RUNNING_JOB_ID, 1, &lasting, NULL);
		for (ms = 0; ms < LONG_RUNNING_WAIT_MS; ms += 10) {
			end_short_tasks(&w, ms);
			advance_time(&w, 10);
			w.n_orders = 0;
		}
		print_message("%s: %zu long-running\n", c->name,
			      count_long_running(&w));
		assert_int_equal(count_long_running(&w), 1);
		world_clear(&w);
	}
}

/* Jobs that wait for capacity and the tasks of which never fit. */
typedef struct backlog_case {
	const char *name;
	bool best_effort;
	uint32_t cores_milli; /* size of each task */
	uint32_t max_per_worker;
} backlog_case_t;

static const backlog_case_t backlogs[] = {
	{ .name = "fixed size", .cores_milli = 20000 },
	{ .name = "best effort", .best_effort = true, .cores_milli = 20000 },
	{ .name = "spread", .cores_milli = 20000, .max_per_worker = 1 },
};

/* Workers examined in a second in which no task can start. */
static uint64_t count_examined(const backlog_case_t *c, uint32_t n_jobs)
{
	gh_step_t step = one_task;
	gh_fleet_counts_t before, after;
	world_t w;
	uint32_t i;

	world_init(&w);
	for (i = 0; i < G_N_ELEMENTS(w.workers); i++)
		add_worker(&w, (char[]){ 'w', (char)('1' + i), '\0' }, 32000);
	advance_time(&w, 100);
	step.tasks = 4;
	step.best_effort = c->best_effort;
	step.max_per_worker = c->max_per_worker;
	for (i = 0; i < n_jobs; i++) {
		char id[GH_JOB_ID_MAX + 1];

		g_snprintf(id, sizeof(id), "%016x", i + 1);
		step.size.cores_milli = c->cores_milli + i * 37 % 64;
		add_job(&w, id, 1, &step, NULL);
	}
	advance_time(&w, 4000);
	gh_fleet_counts(w.fleet, &before);
	advance_time(&w, 1000);
	gh_fleet_counts(w.fleet, &after);
	assert_int_equal(before.started, after.started);
	assert_true(after.pending_tasks >= n_jobs);
	world_clear(&w);
	return after.examined - before.examined;
}

/*
 * Each decision examined every worker for every waiting job, so that a backlog
 * used up the processor of the shard's owner.
 */
static void test_backlog_does_not_slow_decisions(void **state)
{
	size_t i;

	(void)state;
	for (i = 0; i < G_N_ELEMENTS(backlogs); i++) {
		print_message("%s\n", backlogs[i].name);
		assert_true(count_examined(&backlogs[i], 80) <=
			    2 * count_examined(&backlogs[i], 20));
	}
}

/*
 * A gang that did not fit gave its capacity back, but tasks behind it were
 * still not tried in that decision.
 */
static void test_gang_without_capacity_holds_nothing_back(void **state)
{
	static const struct {
		const char *name;
		gh_resources_t gang, other; /* sizes of a task */
		bool best_effort;
	} cases[] = {
		{ .name = "cores",
		  .gang = { .cores_milli = 4000 },
		  .other = { .cores_milli = 1000 } },
		{ .name = "memory",
		  .gang = { .memory_mb = 100000 },
		  .other = { .memory_mb = 1000 } },
		{ .name = "same size",
		  .gang = { .cores_milli = 3000, .memory_mb = 60000 },
		  .other = { .cores_milli = 3000, .memory_mb = 60000 } },
		{ .name = "best effort",
		  .gang = { .cores_milli = 3000 },
		  .other = { .cores_milli = 3000 },
		  .best_effort = true },
	};
	size_t i;

	(void)state;
	for (i = 0; i < G_N_ELEMENTS(cases); i++) {
		gh_step_t gang = one_task;
		gh_step_t other = one_task;
		world_t w;

		print_message("%s\n", cases[i].name);
		gang.gang = true;
		gang.tasks = 3;
		gang.estimate_ms = 100; /* it is placed first */
		gang.size = cases[i].gang;
		other.size = cases[i].other;
		gang.best_effort = other.best_effort = cases[i].best_effort;
		world_init(&w);
		add_worker(&w, "w1", 4000);
		add_worker(&w, "w2", 4000);
		advance_time(&w, 100);
		add_job(&w, "0000000000000001", 1, &gang, NULL);
		add_job(&w, "0000000000000002", 1, &other, NULL);
		advance_time(&w, STEP_USEC / MS);
		assert_int_equal(count_orders(&w, GH_ORDER_START, 0), 1);
		world_clear(&w);
	}
}

/*
 * Each attempt at a gang that did not fit was committed to the store, and the
 * job was shown as running.
 */
static void test_gang_that_does_not_fit_changes_nothing(void **state)
{
	gh_step_t gang = one_task;
	world_t w;

	(void)state;
	gang.gang = true;
	gang.tasks = 3;
	gang.size.cores_milli = 4000;
	world_init(&w);
	add_worker(&w, "w1", 4000);
	add_worker(&w, "w2", 4000);
	advance_time(&w, 100);
	add_job(&w, "0000000000000001", 1, &gang, NULL);
	advance_time(&w, 1000);
	assert_null(w.progress);
	assert_int_equal(w.phase, GH_JOB_QUEUED);
	add_worker(&w, "w3", 4000);
	advance_time(&w, 1000);
	assert_int_equal(count_orders(&w, GH_ORDER_START, 0), 3);
	assert_int_equal(w.orders[0].run, 1);
	world_clear(&w);
}

/* How often an owner decides, and how many changes of pace it may order. */
typedef struct late_case {
	const char *name;
	int64_t tick_gap_ms;
	size_t min_paces, max_paces; /* orders within 6 s for one run */
	int64_t report_wait_ms;	     /* max wait for the next report */
} late_case_t;

static const late_case_t late_cases[] = {
	{ .name = "in time",
	  .tick_gap_ms = 10,
	  .min_paces = 8,
	  .max_paces = 30,
	  .report_wait_ms = 250 },
	{ .name = "late",
	  .tick_gap_ms = 100,
	  .min_paces = 2,
	  .max_paces = 7,
	  .report_wait_ms = 1000 },
};

/*
 * An owner without processor time spent what it had on reports and on changes
 * of the paces of best-effort runs, and its starts came later still.
 */
static void test_late_owner_makes_fewer_calls(void **state)
{
	gh_step_t long_running = one_task;
	gh_worker_renewal_t renewal;
	size_t i;

	(void)state;
	long_running.long_running = true;
	long_running.tail_bound_ms = 24;
	for (i = 0; i < G_N_ELEMENTS(late_cases); i++) {
		const late_case_t *c = &late_cases[i];
		scripted_worker_t *worker;
		size_t n, first = 0;
		world_t w;

		print_message("%s\n", c->name);
		world_init(&w);
		worker = add_worker(&w, "w1", 32000);
		worker->tail_ms = 6;
		add_job(&w, LONG_RUNNING_JOB_ID, 1, &long_running, NULL);
		advance_time(&w, 1500);
		add_job(&w, "0000000000000002", 1, &best_effort_step, NULL);
		advance_time(&w, 1000);
		for (n = 0; n < 9000 / (size_t)c->tick_gap_ms; n++) {
			gh_time_t gap = (c->tick_gap_ms - STEP_USEC / MS) * MS;

			if (n == 3000 / (size_t)c->tick_gap_ms)
				first = count_orders(&w, GH_ORDER_PACE, 0);
			w.now += gap;
			w.wall_ms += gap / MS;
			worker->tail_ms = w.now / (300 * MS) % 2 ? 200 : 5;
			advance_time(&w, STEP_USEC / MS);
		}
		assert_in_range(count_orders(&w, GH_ORDER_PACE, 0) - first,
				c->min_paces, c->max_paces);
		assert_true(gh_fleet_next_renewal(w.fleet, &renewal, w.now));
		assert_int_equal(renewal.max_wait_ms, c->report_wait_ms);
		world_clear(&w);
	}
}

/* When the reports of a worker arrive at an owner whose decisions are late. */
typedef struct over_bound_case {
	const char *name;
	int64_t report_gap_ms;
	int64_t tick_gap_ms;
} over_bound_case_t;

static const over_bound_case_t over_bound_cases[] = {
	{ .name = "in time", .report_gap_ms = 250, .tick_gap_ms = 10 },
	{ .name = "late, no end", .report_gap_ms = 1000, .tick_gap_ms = 100 },
	{ .name = "late, an end", .report_gap_ms = 900, .tick_gap_ms = 100 },
	{ .name = "late, ends", .report_gap_ms = 600, .tick_gap_ms = 100 },
	{ .name = "late, many ends", .report_gap_ms = 300, .tick_gap_ms = 100 },
};

/* Longest time over its bound that may be due to best-effort tasks. */
#define OVER_BOUND_ALLOWED_MS 4000
/* Time until a pace is in force and a tail latency no longer covers before. */
#define PACE_IN_FORCE_MS 600

static void test_late_owner_stops_what_harms(void **state)
{
	size_t i;

	(void)state;
	for (i = 0; i < G_N_ELEMENTS(over_bound_cases); i++) {
		const over_bound_case_t *c = &over_bound_cases[i];
		gh_time_t report_at = 0, over_since = 0, stopped_at = 0;
		size_t n_seen = 0;
		scripted_worker_t *worker;
		int64_t ms;
		world_t w;

		print_message("%s\n", c->name);
		world_init(&w);
		worker = add_worker(&w, "w1", 1400);
		worker->tail_ms = 6;
		add_job(&w, LONG_RUNNING_JOB_ID, 1, &long_running_step, NULL);
		advance_time(&w, 1500);
		add_job(&w, "0000000000000002", 1, &best_effort_step, NULL);
		advance_time(&w, 1000);
		for (ms = 0; ms < 12000 && !stopped_at; ms += c->tick_gap_ms) {
			gh_time_t gap = (c->tick_gap_ms - STEP_USEC / MS) * MS;

			w.now += gap;
			w.wall_ms += gap / MS;
			/* Just after a report, so that the next one tells. */
			if (ms >= 5000 && !over_since && w.now < report_at) {
				worker->tail_ms = 200;
				over_since = w.now;
			}
			w.renewals_stopped = w.now < report_at;
			if (!w.renewals_stopped)
				report_at = w.now + c->report_gap_ms * MS;
			advance_time(&w, STEP_USEC / MS);
			for (; n_seen < w.n_orders; n_seen++)
				if (over_since &&
				    w.orders[n_seen].kind == GH_ORDER_PACE &&
				    !w.orders[n_seen].pace_percent)
					stopped_at = w.now;
		}
		assert_true(stopped_at);
		print_message("pace 0 after %d ms\n",
			      (int)((stopped_at - over_since) / MS));
		assert_true(stopped_at - over_since <=
			    (OVER_BOUND_ALLOWED_MS - PACE_IN_FORCE_MS) * MS);
		world_clear(&w);
	}
}

/*
 * The remaining work of a job with the largest estimates overflowed, which put
 * it before all others.
 */
static void test_largest_job_yields(void **state)
{
	gh_step_t large = one_task;
	world_t w;

	(void)state;
	large.tasks = 20000;
	large.size.cores_milli = INT32_MAX;
	large.estimate_ms = INT32_MAX;
	world_init(&w);
	add_job(&w, "0000000000000001", 1, &large, NULL);
	add_job(&w, "0000000000000002", 1, &one_task, NULL);
	add_worker(&w, "w1", INT32_MAX);
	advance_time(&w, 1000);
	assert_in_range(w.n_orders, 1, ORDERS_MAX);
	assert_string_equal(w.orders[0].task.job, "0000000000000002");
	world_clear(&w);
}

int main(void)
{
	static const struct CMUnitTest tests[] = {
		cmocka_unit_test(test_order_of_steps),
		cmocka_unit_test(test_store_down),
		cmocka_unit_test(test_backlog),
		cmocka_unit_test(test_plan_without_lease),
		cmocka_unit_test(test_dead_worker),
		cmocka_unit_test(test_start_on_dead_worker),
		cmocka_unit_test(test_lost_answer),
		cmocka_unit_test(test_restarted_worker),
		cmocka_unit_test(test_start_in_new_life),
		cmocka_unit_test(test_attempts),
		cmocka_unit_test(test_cancel),
		cmocka_unit_test(test_load),
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
		cmocka_unit_test(test_long_task_does_not_hang),
		cmocka_unit_test(test_job_without_start_is_pending),
		cmocka_unit_test(test_slow_start),
		cmocka_unit_test(test_fill_overdue),
		cmocka_unit_test(test_starved_job_goes_on),
		cmocka_unit_test(test_long_running_among_short_tasks),
		cmocka_unit_test(test_backlog_does_not_slow_decisions),
		cmocka_unit_test(test_gang_without_capacity_holds_nothing_back),
		cmocka_unit_test(test_gang_that_does_not_fit_changes_nothing),
		cmocka_unit_test(test_waiting_is_reported),
		cmocka_unit_test(test_late_owner_makes_fewer_calls),
		cmocka_unit_test(test_late_owner_stops_what_harms),
		cmocka_unit_test(test_largest_job_yields),
	};

	return cmocka_run_group_tests(tests, NULL, NULL);
}
