/*
 * Tests of the fleet scheduler with replies that are missing, late or of a
 * former incarnation of a worker: no task may run twice.
 */
#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <stdint.h>

#include <cmocka.h>
#include <string.h>

#include "fleet_world.h"

#define JOB "0000000000000001"

/* Index of the first order of this kind for the numbered run, or n_orders. */
static size_t find_order(const world_t *w, gh_order_kind_t kind, uint32_t run)
{
	size_t i;

	for (i = 0; i < w->n_orders; i++)
		if (w->orders[i].kind == kind && w->orders[i].run == run)
			break;
	return i;
}

static uint32_t count_open_runs(const world_t *w)
{
	gh_fleet_counts_t counts;

	gh_fleet_counts(w->fleet, &counts);
	return counts.open_runs;
}

/* Passes on the reply of the worker w1 to an order that was sent to it. */
static void handle_reply(world_t *w, gh_order_kind_t kind,
			 const gh_task_id_t *task, uint32_t run,
			 gh_order_reply_t reply)
{
	gh_fleet_handle_reply(w->fleet,
			      &(gh_order_t){ .kind = kind,
					     .worker = "w1",
					     .task = *task,
					     .run = run },
			      reply, w->now);
}

/* The worker's reply to a start order that is sent again. */
typedef struct refusal_case {
	const char *name;
	gh_order_reply_t reply;
	bool first_answered; /* the first start order was refused as well */
} refusal_case_t;

static const refusal_case_t refusals[] = {
	{ .name = "no capacity", .reply = GH_ORDER_NO_CAPACITY },
	{ .name = "unhealthy", .reply = GH_ORDER_REFUSED },
	{ .name = "lease expired", .reply = GH_ORDER_LEASE_EXPIRED },
	{ .name = "no capacity at once",
	  .reply = GH_ORDER_NO_CAPACITY,
	  .first_answered = true },
};

/*
 * A start order without a reply may be executed after a later copy of it was
 * refused.  The run is stopped before the task starts again, so that it can't
 * run twice.
 */
static void test_refused_after_silence(void **state)
{
	size_t i;

	(void)state;
	for (i = 0; i < G_N_ELEMENTS(refusals); i++) {
		const refusal_case_t *c = &refusals[i];
		scripted_worker_t *worker;
		size_t stop, restart;
		world_t w;

		print_message("%s\n", c->name);
		world_init(&w);
		add_worker(&w, "w1", 4000);
		add_worker(&w, "w2", 4000);
		advance_time(&w, 100);
		add_job(&w, JOB, 1, &one_task, NULL);
		w.workers[0].loses_orders = !c->first_answered;
		w.workers[1].loses_orders = !c->first_answered;
		w.workers[0].refusal = w.workers[1].refusal = c->reply;
		while (!w.n_orders)
			advance_time(&w, 10);
		worker = find_worker(&w, w.orders[0].worker);
		w.workers[0].refusal = w.workers[1].refusal = GH_ORDER_OK;
		w.workers[0].loses_orders = w.workers[1].loses_orders = false;
		worker->refusal = c->first_answered ? GH_ORDER_OK : c->reply;
		advance_time(&w, 150);
		worker->refusal = GH_ORDER_OK;
		advance_time(&w, 3000);
		restart = find_order(&w, GH_ORDER_START, 2);
		stop = find_order(&w, GH_ORDER_STOP, 1);
		assert_true(restart < w.n_orders);
		if (c->first_answered) {
			assert_int_equal(stop, w.n_orders);
		} else {
			assert_true(stop < restart);
			assert_string_equal(w.orders[stop].worker, worker->id);
		}
		world_clear(&w);
	}
}

/* A reply to a stop, and whether it shows that the stop was executed. */
typedef struct stop_case {
	const char *name;
	gh_order_reply_t reply;
	bool is_proof;
} stop_case_t;

static const stop_case_t stops[] = {
	{ "executed", GH_ORDER_OK, true },
	{ "unhealthy", GH_ORDER_REFUSED, false },
	{ "not understood", GH_ORDER_INVALID, false },
	{ "no reply", GH_ORDER_OUTCOME_UNKNOWN, false },
};

/* TWICE, UNASKED: a stop that was not executed was taken for one that was. */
static void test_stop_is_sent_until_executed(void **state)
{
	size_t i, n;

	(void)state;
	for (i = 0; i < G_N_ELEMENTS(stops); i++) {
		gh_order_t stop;
		world_t w;

		print_message("%s\n", stops[i].name);
		world_init(&w);
		add_worker(&w, "w1", 4000);
		add_job(&w, JOB, 1, &long_running_step, NULL);
		advance_time(&w, 500);
		assert_int_equal(w.workers[0].n_runs, 1);
		w.workers[0].loses_orders = true;
		gh_fleet_job_cancel(w.fleet, JOB, w.now);
		while (!count_orders(&w, GH_ORDER_STOP, 0))
			advance_time(&w, 10);
		stop = w.orders[find_order(&w, GH_ORDER_STOP, 1)];
		handle_reply(&w, GH_ORDER_STOP, &stop.task, stop.run,
			     stops[i].reply);
		n = count_orders(&w, GH_ORDER_STOP, 0);
		advance_time(&w, 1500);
		assert_int_equal(count_orders(&w, GH_ORDER_STOP, 0) == n,
				 stops[i].is_proof);
		world_clear(&w);
	}
}

/* What happens before and after a worker restarts under the same id. */
typedef struct restart_case {
	const char *name;
	size_t ends_before;	  /* ends in the former life, acknowledged */
	size_t ends_after;	  /* ends in the new life before it is heard */
	gh_run_outcome_t outcome; /* of the ends in the new life */
	uint32_t failed;	  /* expected failed runs */
	uint32_t last_run;	  /* expected highest number of a run */
	gh_job_phase_t phase;
} restart_case_t;

static const restart_case_t restarts[] = {
	{ .name = "no end before",
	  .ends_after = 1,
	  .outcome = GH_RUN_DONE,
	  .last_run = 1,
	  .phase = GH_JOB_COMPLETED },
	{ .name = "as many ends before",
	  .ends_before = 1,
	  .ends_after = 1,
	  .outcome = GH_RUN_DONE,
	  .last_run = 1,
	  .phase = GH_JOB_COMPLETED },
	{ .name = "more ends before",
	  .ends_before = 4,
	  .ends_after = 2,
	  .outcome = GH_RUN_DONE,
	  .last_run = 1,
	  .phase = GH_JOB_COMPLETED },
	{ .name = "failed after more ends before",
	  .ends_before = 4,
	  .ends_after = 1,
	  .outcome = GH_RUN_FAILED,
	  .failed = 1,
	  .last_run = 2,
	  .phase = GH_JOB_RUNNING },
};

/* Starts and completes a job of n tasks, whose ends are acknowledged. */
static void complete_job(world_t *w, const char *id, uint32_t n)
{
	gh_step_t step = one_task;

	step.tasks = n;
	add_job(w, id, 1, &step, NULL);
	advance_time(w, 200);
	while (w->workers[0].n_runs)
		end_run(&w->workers[0], 0, GH_RUN_DONE);
	advance_time(w, 500);
	assert_int_equal(w->phase, GH_JOB_COMPLETED);
	assert_int_equal(w->workers[0].n_ends, 0);
}

/*
 * The numbers of ends start anew with each incarnation of a worker.  What was
 * acknowledged to the former one must not make the new one forget an end that
 * it has not reported yet.
 */
static void test_ends_of_new_life(void **state)
{
	size_t i, j;

	(void)state;
	for (i = 0; i < G_N_ELEMENTS(restarts); i++) {
		const restart_case_t *c = &restarts[i];
		gh_step_t step = one_task;
		gh_fleet_counts_t counts;
		scripted_worker_t *worker;
		uint32_t last_run = 0;
		world_t w;

		print_message("%s\n", c->name);
		step.tasks = (uint32_t)c->ends_after;
		world_init(&w);
		worker = add_worker(&w, "w1", 8000);
		advance_time(&w, 100);
		if (c->ends_before)
			complete_job(&w, "00000000000000b0",
				     (uint32_t)c->ends_before);
		w.n_orders = 0;
		worker->unreachable = true;
		add_job(&w, JOB, 1, &step, NULL);
		while (!w.n_orders)
			advance_time(&w, 10);
		/* The start orders reach the new incarnation. */
		worker->unreachable = false;
		restart_worker(worker);
		for (j = 0; j < c->ends_after; j++) {
			worker->runs[worker->n_runs++] =
				(gh_report_run_t){ .task = w.orders[j].task,
						   .run = 1 };
			end_run(worker, 0, c->outcome);
		}
		advance_time(&w, 2500);
		gh_fleet_counts(w.fleet, &counts);
		for (j = 0; j < w.n_orders; j++)
			last_run = MAX(last_run,
				       w.orders[j].kind == GH_ORDER_START ?
					       w.orders[j].run :
					       0);
		assert_int_equal(last_run, c->last_run);
		assert_int_equal(counts.failed, c->failed);
		assert_int_equal(w.phase, c->phase);
		world_clear(&w);
	}
}

/* How the owner hears of a worker's restart before the worker is cut off. */
typedef struct lease_case {
	const char *name;
	bool restarts;
	bool from_discovery;
	bool unlisted;	   /* during the silence */
	int64_t silent_ms; /* for this long before the restart */
	int64_t lease_ms;  /* longest lease that the worker can hold */
} lease_case_t;

static const lease_case_t leases[] = {
	{ .name = "no restart", .lease_ms = LEASE_MS },
	{ .name = "restart in a report",
	  .restarts = true,
	  .lease_ms = LEASE_MAX_MS },
	{ .name = "restart in discovery",
	  .restarts = true,
	  .from_discovery = true,
	  .lease_ms = LEASE_MAX_MS },
	{ .name = "restart after the lease",
	  .restarts = true,
	  .silent_ms = 5500,
	  .lease_ms = LEASE_MAX_MS },
	{ .name = "restart after the lease, unlisted before",
	  .restarts = true,
	  .silent_ms = 5500,
	  .unlisted = true,
	  .lease_ms = LEASE_MAX_MS },
	{ .name = "the same life, unlisted before",
	  .silent_ms = 5500,
	  .unlisted = true,
	  .lease_ms = LEASE_MS },
	{ .name = "restart long after the lease",
	  .restarts = true,
	  .silent_ms = 30000,
	  .lease_ms = LEASE_MS },
	{ .name = "restart long after the lease, unlisted before",
	  .restarts = true,
	  .silent_ms = 30000,
	  .unlisted = true,
	  .lease_ms = LEASE_MS },
};

/*
 * A deadline on the clock of a worker's former incarnation can lie far ahead on
 * the clock of the new one, which then holds the longest lease that it accepts.
 * The runs that it starts afterwards have this lease.
 */
static void test_lease_of_new_life(void **state)
{
	size_t i;

	(void)state;
	for (i = 0; i < G_N_ELEMENTS(leases); i++) {
		const lease_case_t *c = &leases[i];
		gh_worker_entry_t entry = {
			.id = "w1",
			.service = "svc",
			.address = "127.0.0.1:1",
			.size = { .cores_milli = 1000, .memory_mb = 100000 },
			.incarnation_start_ms = 2,
		};
		size_t n_starts = c->restarts || c->silent_ms ? 2 : 1;
		scripted_worker_t *worker;
		gh_time_t restarted_at;
		world_t w;

		print_message("%s\n", c->name);
		world_init(&w);
		worker = add_worker(&w, "w1", 1000);
		add_job(&w, JOB, 1, &long_running_step, NULL);
		advance_time(&w, 1000);
		worker->unreachable = c->silent_ms;
		if (c->unlisted)
			gh_fleet_worker_unlist(w.fleet, "w1");
		advance_time(&w, c->silent_ms);
		worker->unreachable = false;
		restarted_at = w.now;
		if (c->restarts)
			restart_worker(worker);
		else if (c->silent_ms)
			worker->n_runs = 0;
		if (c->unlisted)
			list_worker(&w, worker, false);
		if (c->from_discovery)
			gh_fleet_worker_set(w.fleet, &entry, w.now);
		advance_time(&w, 300);
		assert_int_equal(count_orders(&w, GH_ORDER_START, 0), n_starts);
		assert_int_equal(worker->n_runs, 1);
		add_worker(&w, "w2", 1000);
		worker->unreachable = true;
		while (count_orders(&w, GH_ORDER_START, 0) == n_starts &&
		       w.now - restarted_at < 20000 * MS)
			advance_time(&w, 10);
		assert_in_range(w.now - restarted_at,
				c->lease_ms * 51 / 50 * MS,
				(c->lease_ms * 103 / 100 + 900) * MS);
		world_clear(&w);
	}
}

/* The run to which another worker at the former address refuses an order. */
typedef struct other_case {
	const char *name;
	gh_order_kind_t kind;
	uint32_t run;
	uint32_t lost; /* expected lost runs */
} other_case_t;

static const other_case_t others[] = {
	{ .name = "start of the former life's run",
	  .kind = GH_ORDER_START,
	  .run = 1 },
	{ .name = "stop of the former life's run",
	  .kind = GH_ORDER_STOP,
	  .run = 1 },
	{ .name = "pace of the present run",
	  .kind = GH_ORDER_PACE,
	  .run = 2,
	  .lost = 1 },
};

/*
 * A worker moves to another address as it restarts, and its former address gets
 * another worker, which refuses an order for the former life.  The runs of the
 * new life go on.
 */
static void test_other_incarnation(void **state)
{
	size_t i;

	(void)state;
	for (i = 0; i < G_N_ELEMENTS(others); i++) {
		const other_case_t *c = &others[i];
		gh_worker_entry_t entry = {
			.id = "w1",
			.service = "svc",
			.address = "127.0.0.1:2",
			.size = { .cores_milli = 4000, .memory_mb = 100000 },
			.incarnation_start_ms = 2,
		};
		gh_step_t step = long_running_step;
		gh_fleet_counts_t before, after;
		scripted_worker_t *worker;
		gh_task_id_t task;
		world_t w;

		print_message("%s\n", c->name);
		step.tasks = 2;
		world_init(&w);
		worker = add_worker(&w, "w1", 4000);
		add_job(&w, JOB, 1, &step, NULL);
		advance_time(&w, 300);
		task = worker->runs[0].task;
		restart_worker(worker);
		g_strlcpy(worker->address, entry.address,
			  sizeof(worker->address));
		gh_fleet_worker_set(w.fleet, &entry, w.now);
		advance_time(&w, 1500);
		assert_int_equal(worker->n_runs, 2);
		assert_int_equal(worker->runs[0].run, 2);
		gh_fleet_counts(w.fleet, &before);
		handle_reply(&w, c->kind, &task, c->run,
			     GH_ORDER_OTHER_INCARNATION);
		gh_fleet_counts(w.fleet, &after);
		assert_int_equal(after.lost - before.lost, c->lost);
		world_clear(&w);
	}
}

/* An entry of the worker in discovery that is read before it restarts. */
typedef struct entry_case {
	const char *name;
	bool read; /* such an entry is read */
	int64_t incarnation_start_ms;
} entry_case_t;

static const entry_case_t entries[] = {
	{ .name = "none" },
	{ .name = "complete", .read = true, .incarnation_start_ms = 1 },
	{ .name = "without the start", .read = true },
};

/*
 * A worker's entry without the start of the incarnation, as another writer may
 * leave it, does not hide the worker's next restart, with which the numbers of
 * ends start anew.
 */
static void test_entry_without_start(void **state)
{
	size_t i;

	(void)state;
	for (i = 0; i < G_N_ELEMENTS(entries); i++) {
		const entry_case_t *c = &entries[i];
		gh_worker_entry_t entry = {
			.id = "w1",
			.service = "svc",
			.address = "127.0.0.1:1",
			.size = { .cores_milli = 4000, .memory_mb = 100000 },
			.incarnation_start_ms = c->incarnation_start_ms,
		};
		scripted_worker_t *worker;
		world_t w;

		print_message("%s\n", c->name);
		world_init(&w);
		worker = add_worker(&w, "w1", 4000);
		advance_time(&w, 100);
		complete_job(&w, "00000000000000b0", 3);
		if (c->read)
			gh_fleet_worker_set(w.fleet, &entry, w.now);
		restart_worker(worker);
		w.n_orders = 0;
		add_job(&w, JOB, 1, &one_task, NULL);
		advance_time(&w, 300);
		assert_int_equal(worker->n_runs, 1);
		end_run(worker, 0, GH_RUN_DONE);
		advance_time(&w, 2000);
		assert_int_equal(count_orders(&w, GH_ORDER_START, 0), 1);
		assert_int_equal(w.phase, GH_JOB_COMPLETED);
		assert_int_equal(worker->n_ends, 0);
		world_clear(&w);
	}
}

/* A report that arrives after discovery has told of the worker's restart. */
typedef struct overtaken_case {
	const char *name;
	int64_t incarnation_start_ms; /* of the report */
	bool requested_before;	      /* before the restart was known */
	bool placed; /* a task is placed on the worker at once */
} overtaken_case_t;

static const overtaken_case_t overtaken[] = {
	{ .name = "of the former life",
	  .incarnation_start_ms = 1,
	  .requested_before = true },
	{ .name = "of the new life, requested before",
	  .incarnation_start_ms = 2,
	  .requested_before = true },
	{ .name = "of the new life",
	  .incarnation_start_ms = 2,
	  .placed = true },
	{ .name = "of a still newer life", .incarnation_start_ms = 3 },
	{ .name = "of a still newer life whose clock was set back",
	  .incarnation_start_ms = 1 },
};

/* Replies to a renewal with a report that lists nothing. */
static void report_idle(world_t *w, const gh_worker_renewal_t *renewal,
			int64_t incarnation_start_ms, gh_time_t requested_at)
{
	gh_worker_report_t report = {
		.fence_offset = renewal->fence_offset,
		.requested_at = requested_at,
		.incarnation_start_ms = incarnation_start_ms,
		.complete = true,
	};

	gh_fleet_handle_report(w->fleet, renewal->worker, &report, w->now);
	gh_fleet_tick(w->fleet, w->now, w->wall_ms);
}

/*
 * A report that a worker gives in reply to a call to its former life is not
 * used: no run is placed by it, with a deadline on a clock that has ended, and
 * other calls to that life may still be executed.
 */
static void test_overtaken_report(void **state)
{
	size_t i;

	(void)state;
	for (i = 0; i < G_N_ELEMENTS(overtaken); i++) {
		const overtaken_case_t *c = &overtaken[i];
		gh_worker_entry_t entry = {
			.id = "w1",
			.service = "svc",
			.address = "127.0.0.1:1",
			.size = { .cores_milli = 4000, .memory_mb = 100000 },
			.incarnation_start_ms = 2,
		};
		gh_worker_renewal_t renewal = { .worker = NULL };
		gh_time_t requested_at;
		world_t w;

		print_message("%s\n", c->name);
		world_init(&w);
		add_worker(&w, "w1", 4000);
		add_job(&w, JOB, 1, &one_task, NULL);
		requested_at = w.now;
		if (c->requested_before)
			assert_true(gh_fleet_next_renewal(w.fleet, &renewal,
							  w.now));
		w.now += 10 * MS;
		gh_fleet_worker_set(w.fleet, &entry, w.now);
		if (!c->requested_before) {
			requested_at = w.now;
			assert_true(gh_fleet_next_renewal(w.fleet, &renewal,
							  w.now));
		}
		w.now += 20 * MS;
		report_idle(&w, &renewal, c->incarnation_start_ms,
			    requested_at);
		assert_int_equal(count_open_runs(&w), c->placed);
		/* The next report is asked for at once, of the last life. */
		assert_true(gh_fleet_next_renewal(w.fleet, &renewal, w.now));
		assert_int_equal(renewal.incarnation_start_ms,
				 c->requested_before ? 2 :
						       c->incarnation_start_ms);
		report_idle(&w, &renewal, renewal.incarnation_start_ms, w.now);
		assert_int_equal(count_open_runs(&w), 1);
		world_clear(&w);
	}
}

/* A worker that reports an unknown run, and what happens before its stop. */
typedef struct unknown_case {
	const char *name;
	bool unlisted;		/* discovery no longer lists the worker */
	const char *new_worker; /* id of a worker that is added; NULL: none */
} unknown_case_t;

static const unknown_case_t unknowns[] = {
	{ .name = "nothing" },
	{ .name = "another worker", .new_worker = "w2" },
	{ .name = "unlisted", .unlisted = true },
	{ .name = "unlisted, and another in its place",
	  .unlisted = true,
	  .new_worker = "w2" },
	{ .name = "unlisted and listed again",
	  .unlisted = true,
	  .new_worker = "w1" },
};

/* A stop of an unknown run goes to the worker that reported the run. */
static void test_stop_of_unknown_run(void **state)
{
	size_t i;

	(void)state;
	for (i = 0; i < G_N_ELEMENTS(unknowns); i++) {
		const unknown_case_t *c = &unknowns[i];
		gh_report_run_t run = { .task = { .job = "00000000000000ff" },
					.run = 1 };
		gh_worker_report_t report = { .incarnation_start_ms = 1,
					      .complete = true,
					      .runs = &run,
					      .n_runs = 1 };
		gh_worker_renewal_t renewal;
		gh_order_t order;
		world_t w;

		print_message("%s\n", c->name);
		world_init(&w);
		add_worker(&w, "w1", 4000);
		assert_true(gh_fleet_next_renewal(w.fleet, &renewal, w.now));
		report.fence_offset = renewal.fence_offset;
		if (c->unlisted)
			gh_fleet_worker_unlist(w.fleet, "w1");
		gh_fleet_handle_report(w.fleet, "w1", &report, w.now);
		if (c->new_worker)
			add_worker(&w, c->new_worker, 4000);
		assert_true(gh_fleet_next_order(w.fleet, &order, w.now));
		assert_int_equal(order.kind, GH_ORDER_STOP);
		assert_string_equal(order.worker, "w1");
		assert_string_equal(order.address, "127.0.0.1:1");
		assert_false(gh_fleet_next_order(w.fleet, &order, w.now));
		world_clear(&w);
	}
}

/* When a worker with a previous owner's run was last heard after a take-over.
 */
typedef struct silence_case {
	const char *name;
	int64_t heard_ms;   /* time for which it reports; 0: it never does */
	int64_t restart_ms; /* earliest start elsewhere, after the take-over */
} silence_case_t;

/* A worker's clock may be 2 % slow, so a lease lasts this long at most. */
#define SLOW_LEASE_MS (LEASE_MS * 51 / 50)
/* When the last lease that a previous owner can have granted has ended. */
#define PREVIOUS_LEASE_END_MS (PREVIOUS_GRANTS_MS + SLOW_LEASE_MS)

static const silence_case_t silences[] = {
	{ .name = "never heard", .restart_ms = PREVIOUS_LEASE_END_MS },
	{ .name = "heard at once",
	  .heard_ms = 100,
	  .restart_ms = PREVIOUS_LEASE_END_MS },
	{ .name = "heard for a while",
	  .heard_ms = 1000,
	  .restart_ms = PREVIOUS_LEASE_END_MS },
	{ .name = "heard for longer",
	  .heard_ms = 6000,
	  .restart_ms = 6000 + SLOW_LEASE_MS },
};

/*
 * The run of a previous owner starts elsewhere once its worker's lease is over:
 * the last one that a previous owner can have granted, and the last one of this
 * owner.
 */
static void test_silence_after_takeover(void **state)
{
	size_t i;

	(void)state;
	for (i = 0; i < G_N_ELEMENTS(silences); i++) {
		const silence_case_t *c = &silences[i];
		gh_report_run_t run = { .task = { .job = JOB }, .run = 1 };
		scripted_worker_t *worker;
		gh_time_t created_at;
		world_t w;

		print_message("%s\n", c->name);
		world_init(&w);
		created_at = w.now;
		add_job(&w, JOB, 1, &long_running_step,
			"progress1\n0 open 0 1 - 1@w1\n");
		worker = add_worker(&w, "w1", 4000);
		worker->runs[worker->n_runs++] = run;
		add_worker(&w, "w2", 4000);
		if (c->heard_ms)
			advance_time(&w, c->heard_ms);
		worker->unreachable = true;
		while (!w.n_orders && w.now - created_at < 20000 * MS)
			advance_time(&w, 10);
		assert_in_range(w.now - created_at, c->restart_ms * MS,
				(c->restart_ms + 500) * MS);
		world_clear(&w);
	}
}

/* How the first owner hears of a worker's restart, and who takes over. */
typedef struct takeover_case {
	const char *name;
	bool from_discovery;
	unsigned takeovers;
} takeover_case_t;

static const takeover_case_t takeovers[] = {
	{ .name = "restart in a report", .takeovers = 1 },
	{ .name = "restart in discovery",
	  .from_discovery = true,
	  .takeovers = 1 },
	{ .name = "two owners fail", .takeovers = 2 },
};

/*
 * A previous owner's renewal that was meant for a former life of the worker
 * grants the longest lease that the worker accepts.  The worker then took up a
 * run, the previous owner failed, and the next one can't reach the worker: the
 * task may not start elsewhere before that lease has ended.
 */
static void test_lease_of_new_life_after_takeover(void **state)
{
	size_t i, j;

	(void)state;
	for (i = 0; i < G_N_ELEMENTS(takeovers); i++) {
		const takeover_case_t *c = &takeovers[i];
		scripted_worker_t *worker;
		gh_time_t granted_at;
		world_t w;

		print_message("%s\n", c->name);
		world_init(&w);
		worker = add_worker(&w, "w1", 1000);
		add_job(&w, JOB, 1, &long_running_step, NULL);
		advance_time(&w, 1000);
		restart_worker(worker);
		/* The late renewal, executed at the latest as it is heard. */
		granted_at = w.now;
		if (c->from_discovery)
			list_worker(&w, worker, false);
		advance_time(&w, 300);
		assert_int_equal(worker->n_runs, 1);
		assert_int_equal(worker->runs[0].run, 2);
		worker->unreachable = true;
		for (j = 0; j < c->takeovers; j++) {
			char *progress = g_strdup(w.progress);

			replace_owner(&w);
			add_job(&w, JOB, 1, &long_running_step, progress);
			g_free(progress);
			list_worker(&w, worker, false);
			advance_time(&w, 200);
		}
		add_worker(&w, "w2", 1000);
		w.n_orders = 0;
		while (!w.n_orders && w.now - granted_at < 20000 * MS)
			advance_time(&w, 10);
		print_message("started again after %d ms\n",
			      (int)((w.now - granted_at) / MS));
		assert_in_range(w.now - granted_at, LEASE_MAX_MS * 51 / 50 * MS,
				(LEASE_MAX_MS * 103 / 100 + 900) * MS);
		world_clear(&w);
	}
}

/* A late start order and what happens before it is executed. */
typedef struct late_case {
	const char *name;
	int64_t delay_ms;      /* of the first start order */
	const gh_step_t *step; /* NULL: one task */
	void (*play)(world_t *w, scripted_worker_t *worker);
} late_case_t;

static const gh_step_t two_tasks = { .tasks = 2,
				     .size = { .cores_milli = 1000 },
				     .estimate_ms = 1000 };

static const gh_step_t gang = { .tasks = 2,
				.size = { .cores_milli = 3000 },
				.estimate_ms = 1000,
				.gang = true };

/* Lets the second start order be executed and answered. */
static void settle(world_t *w, scripted_worker_t *worker)
{
	advance_time(w, 200);
	assert_true(worker->n_runs > 0);
}

static void play_running(world_t *w, scripted_worker_t *worker)
{
	settle(w, worker);
	restart_worker(worker);
}

static void play_running_discovery(world_t *w, scripted_worker_t *worker)
{
	settle(w, worker);
	restart_worker(worker);
	list_worker(w, worker, false);
}

static void play_restarts(world_t *w, scripted_worker_t *worker)
{
	settle(w, worker);
	restart_worker(worker);
	advance_time(w, 300);
	restart_worker(worker);
	advance_time(w, 300);
	restart_worker(worker);
}

static void play_done(world_t *w, scripted_worker_t *worker)
{
	settle(w, worker);
	end_run(worker, 0, GH_RUN_DONE);
	advance_time(w, 300);
	restart_worker(worker);
}

static void play_cancelled(world_t *w, scripted_worker_t *worker)
{
	settle(w, worker);
	gh_fleet_job_cancel(w->fleet, JOB, w->now);
	advance_time(w, 300);
	assert_int_equal(worker->n_runs, 0);
	restart_worker(worker);
}

static void play_refused(world_t *w, scripted_worker_t *worker)
{
	worker->refusal = GH_ORDER_NO_CAPACITY;
	advance_time(w, 150);
	worker->refusal = GH_ORDER_OK;
	advance_time(w, 1000);
	restart_worker(worker);
}

static void play_lease_over(world_t *w, scripted_worker_t *worker)
{
	settle(w, worker);
	worker->unreachable = true;
	advance_time(w, 5500);
	restart_worker(worker);
	worker->unreachable = false;
}

static void play_unlisted(world_t *w, scripted_worker_t *worker)
{
	settle(w, worker);
	end_run(worker, 0, GH_RUN_DONE);
	advance_time(w, 300);
	gh_fleet_worker_unlist(w->fleet, worker->id);
	advance_time(w, 300);
	restart_worker(worker);
	list_worker(w, worker, false);
}

static void play_stop_unanswered(world_t *w, scripted_worker_t *worker)
{
	settle(w, worker);
	restart_worker(worker);
	worker->loses_orders = true;
	advance_time(w, 1000);
	worker->loses_orders = false;
}

static void play_stop_unanswered_unlisted(world_t *w, scripted_worker_t *worker)
{
	settle(w, worker);
	end_run(worker, 0, GH_RUN_DONE);
	advance_time(w, 300);
	restart_worker(worker);
	worker->loses_orders = true;
	advance_time(w, 300);
	gh_fleet_worker_unlist(w->fleet, worker->id);
	advance_time(w, 300);
	worker->loses_orders = false;
}

static void play_takeover(world_t *w, scripted_worker_t *worker)
{
	char *progress;
	size_t i;

	settle(w, worker);
	progress = g_strdup(w->progress);
	replace_owner(w);
	for (i = 0; i < w->n_workers; i++)
		list_worker(w, &w->workers[i], false);
	add_job(w, JOB, 1, w->jobs[0].steps, progress);
	g_free(progress);
	advance_time(w, 300);
	restart_worker(worker);
}

static const late_case_t lates[] = {
	{ .name = "running", .delay_ms = 2000, .play = play_running },
	{ .name = "running, heard by discovery",
	  .delay_ms = 2000,
	  .play = play_running_discovery },
	{ .name = "running, three restarts",
	  .delay_ms = 2000,
	  .play = play_restarts },
	{ .name = "done", .delay_ms = 2000, .play = play_done },
	{ .name = "done, job goes on",
	  .delay_ms = 2000,
	  .step = &two_tasks,
	  .play = play_done },
	{ .name = "cancelled", .delay_ms = 2000, .play = play_cancelled },
	{ .name = "second order refused",
	  .delay_ms = 3000,
	  .play = play_refused },
	{ .name = "lease over", .delay_ms = 8000, .play = play_lease_over },
	{ .name = "unlisted", .delay_ms = 2000, .play = play_unlisted },
	{ .name = "stop unanswered",
	  .delay_ms = 3000,
	  .play = play_stop_unanswered },
	{ .name = "stop unanswered, unlisted",
	  .delay_ms = 3000,
	  .play = play_stop_unanswered_unlisted },
	{ .name = "gang",
	  .delay_ms = 2000,
	  .step = &gang,
	  .play = play_running },
	{ .name = "gang, lease over",
	  .delay_ms = 8000,
	  .step = &gang,
	  .play = play_lease_over },
	{ .name = "taken over", .delay_ms = 2000, .play = play_takeover },
};

/* Begins a job whose first start order is late; returns its worker. */
static scripted_worker_t *begin_late_job(world_t *w, const gh_step_t *step,
					 int64_t delay_ms)
{
	size_t i;

	for (i = 0; i < w->n_workers; i++)
		w->workers[i].start_delay_ms = delay_ms;
	add_job(w, JOB, 1, step, NULL);
	while (!w->n_orders)
		advance_time(w, 10);
	for (i = 0; i < w->n_workers; i++)
		w->workers[i].start_delay_ms = 0;
	return find_worker(w, w->orders[0].worker);
}

/*
 * A start order without a reply is executed in a later life of its worker,
 * which knows nothing of the run.
 */
static void test_twice_by_late_start(void **state)
{
	size_t n_broken = 0;
	size_t i;

	(void)state;
	for (i = 0; i < G_N_ELEMENTS(lates); i++) {
		const late_case_t *c = &lates[i];
		const gh_step_t *step = c->step ? c->step : &one_task;
		scripted_worker_t *worker;
		world_t w;

		print_message("%s\n", c->name);
		world_init(&w);
		w.leases_end = true;
		add_worker(&w, "w1", 4000);
		add_worker(&w, "w2", 4000);
		add_worker(&w, "w3", 4000);
		advance_time(&w, 100);
		worker = begin_late_job(&w, step, c->delay_ms);
		assert_true(w.n_late_orders > 0);
		c->play(&w, worker);
		assert_true(w.n_late_orders > 0);
		advance_time(&w, c->delay_ms + 1000);
		print_message("  %zu late starts, %zu beside another run\n",
			      w.n_late_starts, w.n_twice);
		assert_int_equal(w.n_late_orders, 0);
		n_broken += w.n_late_starts || w.n_twice;
		world_clear(&w);
	}
	assert_int_equal(n_broken, 0);
}

/*
 * A task does not start again while a late order may still start it in a new
 * life of its former worker.
 */
static void test_start_waits_for_late_one(void **state)
{
	gh_time_t restarted_at;
	scripted_worker_t *worker;
	world_t w;

	(void)state;
	world_init(&w);
	w.leases_end = true;
	worker = add_worker(&w, "w1", 4000);
	advance_time(&w, 100);
	begin_late_job(&w, &one_task, 8000);
	settle(&w, worker);
	worker->unreachable = true;
	advance_time(&w, 5500);
	w.n_orders = 0;
	restart_worker(worker);
	restarted_at = w.now;
	worker->loses_orders = true;
	worker->unreachable = false;
	advance_time(&w, 300);
	add_worker(&w, "w2", 4000);
	advance_time(&w, 700);
	assert_int_equal(count_orders(&w, GH_ORDER_START, 0), 0);
	worker->loses_orders = false;
	while (!count_orders(&w, GH_ORDER_START, 0) &&
	       w.now - restarted_at < 20000 * MS)
		advance_time(&w, 10);
	assert_in_range(w.now - restarted_at, 1000 * MS, 1200 * MS);
	advance_time(&w, 5000);
	assert_int_equal(w.n_late_orders, 0);
	assert_int_equal(w.n_late_starts, 0);
	assert_int_equal(w.n_twice, 0);
	world_clear(&w);
}

/* When the worker that a task waits for falls silent or replies. */
typedef struct silent_case {
	const char *name;
	bool silent;	/* the new life falls silent at once */
	int64_t max_ms; /* latest start elsewhere, after the restart */
} silent_case_t;

static const silent_case_t silent_cases[] = {
	{ .name = "orders lost", .max_ms = 15000 },
	{ .name = "silent", .silent = true, .max_ms = 8000 },
};

/* The wait for a worker that no longer replies has an end. */
static void test_wait_for_late_start_ends(void **state)
{
	size_t i;

	(void)state;
	for (i = 0; i < G_N_ELEMENTS(silent_cases); i++) {
		const silent_case_t *c = &silent_cases[i];
		scripted_worker_t *worker;
		gh_time_t restarted_at;
		world_t w;

		print_message("%s\n", c->name);
		world_init(&w);
		w.leases_end = true;
		worker = add_worker(&w, "w1", 4000);
		advance_time(&w, 100);
		begin_late_job(&w, &one_task, 100000);
		settle(&w, worker);
		worker->unreachable = true;
		advance_time(&w, 5500);
		w.n_orders = 0;
		restart_worker(worker);
		restarted_at = w.now;
		worker->loses_orders = true;
		worker->unreachable = false;
		advance_time(&w, 300);
		worker->unreachable = c->silent;
		add_worker(&w, "w2", 4000);
		while (!count_orders(&w, GH_ORDER_START, 0) &&
		       w.now - restarted_at < 30000 * MS)
			advance_time(&w, 10);
		print_message("  started after %d ms\n",
			      (int)((w.now - restarted_at) / MS));
		assert_in_range(w.now - restarted_at, 1000 * MS,
				c->max_ms * MS);
		world_clear(&w);
	}
}

/* How a run was started and for how long it is at work before the restart. */
typedef struct quick_case {
	const char *name;
	int64_t delay_ms; /* of the first start order; 0: it is answered */
	int64_t work_ms;
	size_t stops; /* expected stop orders */
} quick_case_t;

static const quick_case_t quick_cases[] = {
	{ .name = "answered" },
	{ .name = "unanswered", .delay_ms = 2000, .stops = 1 },
	{ .name = "unanswered long ago", .delay_ms = 2000, .work_ms = 15000 },
};

/*
 * A run that no late order can start is started again after a restart without a
 * stop.
 */
static void test_restart_without_late_start(void **state)
{
	size_t i;

	(void)state;
	for (i = 0; i < G_N_ELEMENTS(quick_cases); i++) {
		const quick_case_t *c = &quick_cases[i];
		scripted_worker_t *worker;
		world_t w;

		print_message("%s\n", c->name);
		world_init(&w);
		add_worker(&w, "w1", 4000);
		add_worker(&w, "w2", 4000);
		advance_time(&w, 100);
		worker = begin_late_job(&w, &one_task, c->delay_ms);
		settle(&w, worker);
		advance_time(&w, c->work_ms);
		w.n_orders = 0;
		restart_worker(worker);
		advance_time(&w, 50);
		assert_int_equal(count_orders(&w, GH_ORDER_STOP, 0), c->stops);
		assert_int_equal(count_orders(&w, GH_ORDER_START, 0), 1);
		world_clear(&w);
	}
}

/*
 * A late order may take the capacity of a worker that is heard anew, so that
 * another task beside it would be one too many.
 */
static void test_full_by_late_start(void **state)
{
	scripted_worker_t *worker;
	world_t w;

	(void)state;
	world_init(&w);
	w.leases_end = true;
	worker = add_worker(&w, "w1", 1000);
	advance_time(&w, 100);
	begin_late_job(&w, &one_task, 8000);
	settle(&w, worker);
	gh_fleet_job_cancel(w.fleet, JOB, w.now);
	worker->unreachable = true;
	advance_time(&w, 5500);
	restart_worker(worker);
	worker->loses_stops = true;
	worker->unreachable = false;
	add_job(&w, "00000000000000b0", 1, &one_task, NULL);
	while (w.n_late_orders)
		advance_time(&w, 10);
	assert_int_equal(w.n_over_capacity, 0);
	worker->loses_stops = false;
	advance_time(&w, 500);
	assert_int_equal(worker->n_runs, 1);
	assert_string_equal(worker->runs[0].task.job, "00000000000000b0");
	assert_int_equal(w.n_over_capacity, 0);
	world_clear(&w);
}

/*
 * A late start that is refused as its run was stopped still grants the new life
 * the longest lease, after the owner has heard of that life.
 */
static void test_twice_by_grant_after_first_report(void **state)
{
	scripted_worker_t *worker;
	world_t w;

	(void)state;
	world_init(&w);
	w.leases_end = true;
	worker = add_worker(&w, "w1", 4000);
	advance_time(&w, 100);
	begin_late_job(&w, &one_task, 8000);
	settle(&w, worker);
	worker->unreachable = true;
	advance_time(&w, 5500);
	restart_worker(worker);
	worker->unreachable = false;
	advance_time(&w, 500);
	assert_int_equal(worker->n_runs, 1);
	while (w.n_late_orders)
		advance_time(&w, 10);
	assert_int_equal(w.n_late_starts, 0);
	worker->unreachable = true;
	add_worker(&w, "w2", 4000);
	advance_time(&w, 20000);
	assert_int_equal(w.workers[1].n_runs, 1);
	assert_int_equal(w.n_twice, 0);
	world_clear(&w);
}

/* What is known of a run when the reply to its stop arrives late. */
typedef struct former_stop_case {
	const char *name;
	bool ended; /* a report has told of its end */
} former_stop_case_t;

static const former_stop_case_t former_stops[] = {
	{ .name = "open run" },
	{ .name = "run that has ended", .ended = true },
};

/*
 * The reply to a stop that a former life of the worker executed proves nothing
 * of the new one, which a late order may still reach.
 */
static void test_twice_by_stop_of_former_life(void **state)
{
	size_t i;

	(void)state;
	for (i = 0; i < G_N_ELEMENTS(former_stops); i++) {
		const former_stop_case_t *c = &former_stops[i];
		scripted_worker_t *worker;
		gh_order_t order;
		gh_task_id_t task;
		world_t w;

		print_message("%s\n", c->name);
		world_init(&w);
		worker = add_worker(&w, "w1", 4000);
		advance_time(&w, 100);
		begin_late_job(&w, &one_task, 3000);
		settle(&w, worker);
		gh_fleet_job_cancel(w.fleet, JOB, w.now);
		assert_true(gh_fleet_next_order(w.fleet, &order, w.now));
		assert_int_equal(order.kind, GH_ORDER_STOP);
		task = order.task;
		if (c->ended) {
			end_run(worker, 0, GH_RUN_STOPPED);
			advance_time(&w, 100);
		}
		restart_worker(worker);
		worker->loses_stops = true;
		list_worker(&w, worker, false);
		handle_reply(&w, GH_ORDER_STOP, &task, 1, GH_ORDER_OK);
		advance_time(&w, 1000);
		worker->loses_stops = false;
		advance_time(&w, 3000);
		print_message("  %zu late starts\n", w.n_late_starts);
		assert_int_equal(w.n_late_orders, 0);
		assert_int_equal(w.n_late_starts, 0);
		world_clear(&w);
	}
}

/* What the entry of a restarted worker says at first. */
typedef struct stop_address_case {
	const char *name;
	bool unlisted; /* the entry was gone before, and the worker forgotten */
	bool gone;     /* the worker is gone, and another at its address */
	int64_t min_ms, max_ms; /* start elsewhere, after the entry changes */
} stop_address_case_t;

/* For this long the entry names the address of another worker. */
#define ELSEWHERE_MS 1000

static const stop_address_case_t stop_addresses[] = {
	{ .name = "address of another worker",
	  .min_ms = ELSEWHERE_MS,
	  .max_ms = ELSEWHERE_MS + 500 },
	{ .name = "address of another worker, unlisted before",
	  .unlisted = true,
	  .min_ms = ELSEWHERE_MS,
	  .max_ms = ELSEWHERE_MS + 500 },
	{ .name = "another worker at its address",
	  .gone = true,
	  .max_ms = 300 },
};

/*
 * Another worker's refusal of a stop proves only of the address where the late
 * start was sent that no life there can execute it.
 */
static void test_twice_by_late_stop_elsewhere(void **state)
{
	size_t n_wrong = 0;
	size_t i;

	(void)state;
	for (i = 0; i < G_N_ELEMENTS(stop_addresses); i++) {
		const stop_address_case_t *c = &stop_addresses[i];
		scripted_worker_t *worker, entry;
		gh_time_t changed_at, started_at;
		world_t w;

		print_message("%s\n", c->name);
		world_init(&w);
		w.leases_end = true;
		worker = add_worker(&w, "w1", 4000);
		advance_time(&w, 100);
		begin_late_job(&w, &one_task, 9000);
		settle(&w, worker);
		worker->unreachable = true;
		advance_time(&w, 5500);
		if (c->unlisted) {
			gh_fleet_worker_unlist(w.fleet, "w1");
			advance_time(&w, 100);
		}
		worker->unreachable = false;
		restart_worker(worker);
		entry = *worker;
		add_worker(&w, "w2", 4000);
		if (c->gone) {
			g_strlcpy(worker->id, "w9", sizeof(worker->id));
			/* It refuses an order for another id. */
			w.n_late_orders = 0;
		} else {
			g_strlcpy(entry.address, w.workers[1].address,
				  sizeof(entry.address));
		}
		w.n_orders = 0;
		changed_at = w.now;
		list_worker(&w, &entry, false);
		for (started_at = 0; w.now - changed_at < 8000 * MS;) {
			advance_time(&w, 10);
			if (!started_at && count_orders(&w, GH_ORDER_START, 0))
				started_at = w.now;
			if (!c->gone && w.now - changed_at == ELSEWHERE_MS * MS)
				list_worker(&w, worker, false);
		}
		print_message("  started after %d ms, %zu late starts\n",
			      (int)((started_at - changed_at) / MS),
			      w.n_late_starts);
		assert_int_equal(w.n_late_orders, 0);
		n_wrong += !started_at ||
			   started_at - changed_at < c->min_ms * MS ||
			   started_at - changed_at > c->max_ms * MS ||
			   w.n_late_starts || w.n_twice;
		world_clear(&w);
	}
	assert_int_equal(n_wrong, 0);
}

/*
 * A report that is asked for with a wait tells a second late that a stopped run
 * is gone, so the task starts again late.
 */
static void test_wait_for_report_after_stop(void **state)
{
	gh_worker_report_t report = { .complete = true };
	gh_worker_renewal_t renewal;
	scripted_worker_t *worker;
	world_t w;
	size_t i;

	(void)state;
	world_init(&w);
	worker = add_worker(&w, "w1", 4000);
	advance_time(&w, 100);
	begin_late_job(&w, &one_task, 2000);
	settle(&w, worker);
	w.renewals_stopped = true;
	restart_worker(worker);
	w.now += 10 * MS;
	report.incarnation_start_ms = worker->incarnation_start_ms;
	/* The first report only tells of the restart. */
	for (i = 0; i < 2; i++) {
		assert_true(gh_fleet_next_renewal(w.fleet, &renewal, w.now));
		report.fence_offset = renewal.fence_offset;
		report.requested_at = w.now;
		gh_fleet_handle_report(w.fleet, "w1", &report, w.now);
	}
	w.n_orders = 0;
	assert_false(gh_fleet_next_renewal(w.fleet, &renewal, w.now));
	advance_time(&w, 10);
	assert_int_equal(count_orders(&w, GH_ORDER_STOP, 0), 1);
	assert_true(gh_fleet_next_renewal(w.fleet, &renewal, w.now));
	assert_int_equal(renewal.max_wait_ms, 0);
	world_clear(&w);
}

/* Where the entry of a restarted worker says that it is, for a while. */
typedef struct elsewhere_case {
	const char *name;
	const char *address;
} elsewhere_case_t;

static const elsewhere_case_t elsewheres[] = {
	{ .name = "same address", .address = "127.0.0.1:1" },
	{ .name = "another worker's address", .address = "127.0.0.1:2" },
};

/*
 * Another worker at the address that an entry names for a while refuses the
 * stop of a late start; the worker itself has not replied to it then.
 */
static void test_late_start_stopped_elsewhere(void **state)
{
	size_t i;

	(void)state;
	for (i = 0; i < G_N_ELEMENTS(elsewheres); i++) {
		const elsewhere_case_t *c = &elsewheres[i];
		gh_worker_entry_t entry = {
			.id = "w1",
			.service = "svc",
			.size = { .cores_milli = 4000, .memory_mb = 100000 },
			.incarnation_start_ms = 2,
		};
		scripted_worker_t *worker;
		gh_order_t order;
		world_t w;

		print_message("%s\n", c->name);
		g_strlcpy(entry.address, c->address, sizeof(entry.address));
		world_init(&w);
		w.leases_end = true;
		worker = add_worker(&w, "w1", 4000);
		advance_time(&w, 100);
		begin_late_job(&w, &one_task, 8000);
		settle(&w, worker);
		gh_fleet_job_cancel(w.fleet, JOB, w.now);
		worker->unreachable = true;
		advance_time(&w, 5500);
		restart_worker(worker);
		gh_fleet_worker_set(w.fleet, &entry, w.now);
		assert_true(gh_fleet_next_order(w.fleet, &order, w.now));
		assert_int_equal(order.kind, GH_ORDER_STOP);
		assert_string_equal(order.address, c->address);
		handle_reply(&w, GH_ORDER_STOP, &order.task, order.run,
			     GH_ORDER_OTHER_INCARNATION);
		list_worker(&w, worker, false);
		worker->unreachable = false;
		advance_time(&w, 4000);
		assert_int_equal(w.n_late_orders, 0);
		assert_int_equal(w.n_late_starts, 0);
		world_clear(&w);
	}
}

/* The reply to a stop that was in flight as its worker restarted. */
typedef struct former_reply_case {
	const char *name;
	gh_order_reply_t reply;
} former_reply_case_t;

static const former_reply_case_t former_replies[] = {
	{ .name = "answered", .reply = GH_ORDER_OK },
	{ .name = "unanswered", .reply = GH_ORDER_OUTCOME_UNKNOWN },
};

/* Has the worker report that it runs nothing. */
static void report_nothing(world_t *w, const scripted_worker_t *worker)
{
	gh_worker_report_t report = {
		.incarnation_start_ms = worker->incarnation_start_ms,
		.complete = true,
	};
	gh_worker_renewal_t renewal;

	w->now += 10 * MS;
	assert_true(gh_fleet_next_renewal(w->fleet, &renewal, w->now));
	report.fence_offset = renewal.fence_offset;
	report.requested_at = w->now;
	gh_fleet_handle_report(w->fleet, worker->id, &report, w->now);
}

/*
 * The reply to a stop that was sent before the worker restarted tells nothing
 * of the new life, in which a late order may still start the run.
 */
static void test_stop_reply_of_former_life(void **state)
{
	size_t i;

	(void)state;
	for (i = 0; i < G_N_ELEMENTS(former_replies); i++) {
		const former_reply_case_t *c = &former_replies[i];
		scripted_worker_t *worker;
		gh_task_id_t task;
		gh_order_t order;
		world_t w;

		print_message("%s\n", c->name);
		world_init(&w);
		worker = add_worker(&w, "w1", 4000);
		advance_time(&w, 100);
		begin_late_job(&w, &one_task, 2000);
		settle(&w, worker);
		task = worker->runs[0].task;
		gh_fleet_job_cancel(w.fleet, JOB, w.now);
		assert_true(gh_fleet_next_order(w.fleet, &order, w.now));
		assert_int_equal(order.kind, GH_ORDER_STOP);
		restart_worker(worker);
		list_worker(&w, worker, false);
		handle_reply(&w, GH_ORDER_STOP, &task, 1, c->reply);
		gh_fleet_tick(w.fleet, w.now, w.wall_ms);
		assert_true(gh_fleet_next_order(w.fleet, &order, w.now));
		assert_int_equal(order.kind, GH_ORDER_STOP);
		assert_false(gh_fleet_next_order(w.fleet, &order, w.now));
		report_nothing(&w, worker);
		assert_int_equal(count_open_runs(&w), 1);
		handle_reply(&w, GH_ORDER_STOP, &task, 1, GH_ORDER_OK);
		report_nothing(&w, worker);
		assert_int_equal(count_open_runs(&w), 0);
		world_clear(&w);
	}
}

int main(void)
{
	static const struct CMUnitTest tests[] = {
		cmocka_unit_test(test_stop_is_sent_until_executed),
		cmocka_unit_test(test_refused_after_silence),
		cmocka_unit_test(test_ends_of_new_life),
		cmocka_unit_test(test_lease_of_new_life),
		cmocka_unit_test(test_other_incarnation),
		cmocka_unit_test(test_entry_without_start),
		cmocka_unit_test(test_overtaken_report),
		cmocka_unit_test(test_stop_of_unknown_run),
		cmocka_unit_test(test_silence_after_takeover),
		cmocka_unit_test(test_lease_of_new_life_after_takeover),
		cmocka_unit_test(test_twice_by_late_start),
		cmocka_unit_test(test_start_waits_for_late_one),
		cmocka_unit_test(test_wait_for_late_start_ends),
		cmocka_unit_test(test_restart_without_late_start),
		cmocka_unit_test(test_full_by_late_start),
		cmocka_unit_test(test_twice_by_grant_after_first_report),
		cmocka_unit_test(test_twice_by_stop_of_former_life),
		cmocka_unit_test(test_twice_by_late_stop_elsewhere),
		cmocka_unit_test(test_wait_for_report_after_stop),
		cmocka_unit_test(test_late_start_stopped_elsewhere),
		cmocka_unit_test(test_stop_reply_of_former_life),
	};

	return cmocka_run_group_tests(tests, NULL, NULL);
}
