/*
 * Tests of the scheduling core of a shard on a virtual clock: crashes at every
 * step, lost replies, unreachable and failing workers, evictions and shares.
 */
#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <cmocka.h>
#include <string.h>

#include "shard_sim.h"

#define POLICY                                                      \
	"[policy]\nattempts_max=3\nbackoff_ms=100\neject_ms=2000\n" \
	"evictions_per_minute=600\n"
#define DEPARTMENTS                                                     \
	"[department lace]\nguarantee_percent=50\nlimit_percent=100\n"  \
	"jobs_max=1000\n"                                               \
	"[department light]\nguarantee_percent=50\nlimit_percent=100\n" \
	"jobs_max=1000\n"
#define WORKER(n)                                                       \
	"[worker w" n "]\ndomain=bole\nrack=r" n "\naddress=127.0.1." n \
	":1\ncores=4\nmemory_mb=4000\n"
#define ONE_WORKER \
	POLICY DEPARTMENTS "[domain bole]\nregion=addis\n" WORKER("1")
#define TWO_WORKERS ONE_WORKER WORKER("2")
#define FOUR_WORKERS TWO_WORKERS WORKER("3") WORKER("4")

static void assert_no_violation(const sim_t *sim)
{
	const char *violation = sim_violation(sim);

	if (violation)
		fail_msg("%s", violation);
}

static gh_job_spec_t job(const char *name, const char *department,
			 uint32_t tasks, uint32_t cores, int64_t run_ms)
{
	gh_job_spec_t spec = {
		.class = GH_CLASS_BATCH,
		.kind = "build",
		.tasks = tasks,
		.cores_milli = cores * 1000,
		.memory_mb = 500,
		.run_ms = run_ms,
		.command = "true \"quoted\\ \n",
	};

	g_strlcpy(spec.name, name, sizeof(spec.name));
	g_strlcpy(spec.department, department, sizeof(spec.department));
	return spec;
}

static void assert_all_done(sim_t *sim, const char *name)
{
	const gh_job_t *j = sim_job(sim, name);

	assert_non_null(j);
	assert_int_equal(j->count[GH_TASK_DONE], j->spec->tasks);
}

static void assert_no_failures(sim_t *sim, const char *name)
{
	const gh_job_t *j = sim_job(sim, name);
	uint32_t i;

	for (i = 0; i < j->spec->tasks; i++)
		assert_int_equal(gh_task_at(gh_shard_tasks(sim->shard),
					    j->first_task + i)
					 ->failures,
				 0);
}

/* The owner crashes once at each step of a job's run; the job completes. */
static void test_crash_at_each_step(void **state)
{
	int64_t step;
	int after;
	bool crashed = true;

	(void)state;
	for (step = 1; crashed; step++) {
		crashed = false;
		for (after = 0; after < 2; after++) {
			sim_t *sim = sim_new(TWO_WORKERS);
			gh_job_spec_t spec = job("j", "lace", 6, 2, 1500);

			sim_run(sim, 1000);
			sim_submit(sim, &spec);
			sim_run(sim, 50);
			sim->steps = 0;
			sim->crash_at_step = step;
			sim->crash_after = after;
			sim_run(sim, 90000);
			crashed |= sim->crash_at_step == 0;
			assert_all_done(sim, "j");
			assert_no_violation(sim);
			sim_free(sim);
		}
	}
	assert_true(step > 10);
}

static void submit_preempting_job(sim_t *sim)
{
	gh_job_spec_t urgent = job("u", "light", 2, 3, 500);

	urgent.urgent = true;
	urgent.class = GH_CLASS_LATENCY;
	sim_submit(sim, &urgent);
}

/* The owner crashes at each step of an eviction and the resume after it. */
static void test_evicted_resumes_once_over_crashes(void **state)
{
	int64_t step;
	int after;
	bool crashed = true;

	(void)state;
	for (step = 1; crashed; step++) {
		crashed = false;
		for (after = 0; after < 2; after++) {
			sim_t *sim = sim_new(TWO_WORKERS);
			gh_job_spec_t spec = job("j", "lace", 2, 3, 15000);

			sim_run(sim, 1000);
			sim_submit(sim, &spec);
			sim_run(sim, 2000);
			assert_int_equal(sim_count_running(sim, "j"), 2);
			submit_preempting_job(sim);
			sim->steps = 0;
			sim->crash_at_step = step;
			sim->crash_after = after;
			sim_run(sim, 120000);
			crashed |= sim->crash_at_step == 0;
			assert_all_done(sim, "j");
			if (sim_job(sim, "u")) {
				assert_all_done(sim, "u");
				assert_true(
					g_hash_table_size(sim->checkpoints));
			}
			assert_no_violation(sim);
			sim_free(sim);
		}
	}
	assert_true(step > 10);
}

/* Calls to workers take effect, but their replies are lost. */
static void test_lost_replies(void **state)
{
	sim_t *sim = sim_new(TWO_WORKERS);
	gh_job_spec_t spec = job("j", "lace", 4, 2, 3000);

	(void)state;
	sim_run(sim, 1000);
	sim_submit(sim, &spec);
	sim->workers[0].mode = SIM_REPLIES_LOST;
	sim->workers[1].mode = SIM_REPLIES_LOST;
	sim_run(sim, 2000);
	sim->workers[0].mode = SIM_UP;
	sim->workers[1].mode = SIM_UP;
	sim_run(sim, 20000);
	assert_all_done(sim, "j");
	assert_no_violation(sim);
	sim_free(sim);
}

/*
 * Tasks of an unreachable worker start elsewhere only after their leases have
 * expired on every clock.
 */
static void test_cut_worker_waits_for_its_leases(void **state)
{
	sim_t *sim = sim_new(TWO_WORKERS);
	gh_job_spec_t spec = job("j", "lace", 2, 3, 0);
	int64_t unreachable_since_ms;

	(void)state;
	sim_run(sim, 1000);
	sim_submit(sim, &spec);
	sim_run(sim, 2000);
	assert_int_equal(sim_count_running(sim, "j"), 2);
	sim->workers[0].mode = SIM_UNREACHABLE;
	unreachable_since_ms = sim->now.wall_ms;
	while (sim_job(sim, "j")->count[GH_TASK_PENDING] == 0)
		sim_run(sim, 50);
	assert_in_range(sim->now.wall_ms - unreachable_since_ms, 9000, 12000);
	assert_int_equal(sim_count_running(sim, "j"), 1);
	sim->workers[0].mode = SIM_UP;
	sim_run(sim, 5000);
	assert_int_equal(sim_count_running(sim, "j"), 2);
	assert_no_violation(sim);
	sim_free(sim);
}

typedef struct delayed_start_case {
	int64_t delay_ms;	/* delay until the start reaches the worker */
	bool ignores_bars;	/* the worker runs barred attempts, as after a
				   restart */
	bool ignores_not_after; /* the worker accepts late starts, as with a
				   slow clock */
} delayed_start_case_t;

static const delayed_start_case_t delayed_start_cases[] = {
	{ 100, false, false },	{ 1200, false, false }, { 1900, false, false },
	{ 2500, false, false }, { 4000, false, false }, { 1200, true, false },
	{ 1900, true, false },	{ 4000, true, false },	{ 1200, false, true },
	{ 4000, false, true },
};

/* Of a delayed start and the attempt that replaces it, only one runs. */
static void test_late_start(void **state)
{
	size_t i;

	(void)state;
	for (i = 0; i < G_N_ELEMENTS(delayed_start_cases); i++) {
		sim_t *sim = sim_new(TWO_WORKERS);
		gh_job_spec_t spec = job("j", "lace", 1, 3, 0);
		size_t k;

		sim_run(sim, 1000);
		for (k = 0; k < 2; k++) {
			sim->workers[k].mode = SIM_STARTS_DELAYED;
			sim->workers[k].ignores_bars =
				delayed_start_cases[i].ignores_bars;
			sim->workers[k].ignores_not_after =
				delayed_start_cases[i].ignores_not_after;
		}
		sim_submit(sim, &spec);
		sim_run(sim, 100);
		assert_int_equal(sim->delayed_starts->len, 1);
		sim->workers[0].mode = SIM_UP;
		sim->workers[1].mode = SIM_UP;
		sim_run(sim, delayed_start_cases[i].delay_ms);
		sim_deliver_starts(sim);
		sim_run(sim, 8000);
		assert_int_equal(sim_count_running(sim, "j"), 1);
		assert_no_violation(sim);
		sim_free(sim);
	}
}

/* Times after the submission of a job, in ms. */
typedef struct late_list_case {
	int64_t listed_ms;  /* the worker is asked for its list and makes it */
	int64_t started_ms; /* the start reaches the worker */
	int64_t replied_ms; /* the list reaches the owner */
} late_list_case_t;

static const late_list_case_t late_list_cases[] = {
	{ 100, 150, 2400 },   { 1400, 1450, 2400 }, { 1500, 1600, 2400 },
	{ 1900, 1950, 2600 }, { 1900, 1950, 2900 },
};

/*
 * A start reaches its worker after the worker made a list; the reply to the
 * start is lost, and the list is read after the attempt's latest start time.
 * The list doesn't show that the attempt never started: it ran, and runs once.
 */
static void test_list_made_before_start(void **state)
{
	size_t i;

	(void)state;
	for (i = 0; i < G_N_ELEMENTS(late_list_cases); i++) {
		const late_list_case_t *c = &late_list_cases[i];
		sim_t *sim = sim_new(TWO_WORKERS);
		gh_job_spec_t spec = job("j", "lace", 1, 3, 400);
		gh_report_t report = { .renewed = true };
		size_t n_runs = 0;
		size_t k;

		sim_run(sim, 1000);
		for (k = 0; k < 2; k++)
			sim->workers[k].mode = SIM_STARTS_DELAYED;
		sim_submit(sim, &spec);
		sim->poll_at = GH_TIME_NEVER;
		sim_run(sim, c->listed_ms);
		assert_int_equal(sim->delayed_starts->len, 1);
		report.sent_at = sim->now.boot;
		sim_run(sim, c->started_ms - c->listed_ms);
		sim_deliver_starts(sim);
		for (k = 0; k < 2; k++)
			sim->workers[k].mode = SIM_UP;
		sim_run(sim, c->replied_ms - c->started_ms);
		for (k = 0; k < 2; k++)
			if (sim->workers[k].runs->len)
				gh_shard_handle_report(sim->shard,
						       sim->workers[k].name,
						       &report, &sim->now);
		sim->poll_at = sim->now.boot + gh_time_from_ms(100);
		sim_run(sim, 8000);
		for (k = 0; k < 2; k++)
			n_runs += sim->workers[k].runs->len;
		if (n_runs != 1)
			fail_msg("case %zu: %zu runs", i, n_runs);
		assert_all_done(sim, "j");
		assert_no_violation(sim);
		sim_free(sim);
	}
}

typedef struct failed_list_case {
	int64_t sent_ms;   /* after the last renewal */
	int64_t failed_ms; /* after the last renewal */
	bool ends;	   /* the task may start elsewhere */
} failed_list_case_t;

/* The leases last 10 s, and the clocks may differ by 200 ms. */
static const failed_list_case_t failed_list_cases[] = {
	{ 8000, 9000, false },	 { 9500, 10500, false }, { 9500, 60000, false },
	{ 10000, 10600, false }, { 10500, 10500, true }, { 10500, 11500, true },
};

/* A task ran again as a list sent before its leases' end got no reply in time.
 */
static void test_list_sent_within_leases_ends_nothing(void **state)
{
	size_t i;

	(void)state;
	for (i = 0; i < G_N_ELEMENTS(failed_list_cases); i++) {
		const failed_list_case_t *c = &failed_list_cases[i];
		sim_t *sim = sim_new(ONE_WORKER);
		gh_job_spec_t spec = job("j", "lace", 1, 3, 8500);
		gh_time_t sent_at;

		sim_run(sim, 1000);
		sim_submit(sim, &spec);
		sim_run(sim, 50);
		sim->poll_at = sim->now.boot;
		sim_run(sim, 50);
		sim->poll_at = GH_TIME_NEVER;
		sim_run(sim, c->sent_ms - 50);
		sent_at = sim->now.boot;
		sim_run(sim, c->failed_ms - c->sent_ms);
		gh_shard_handle_poll_failure(sim->shard, "w1", sent_at,
					     &sim->now);
		if ((sim_job(sim, "j")->count[GH_TASK_PENDING] != 0) != c->ends)
			fail_msg("case %zu", i);
		sim->poll_at = sim->now.boot;
		sim_run(sim, 20000);
		if (!c->ends)
			assert_int_equal(sim->workers[0].runs->len, 1);
		assert_all_done(sim, "j");
		sim_free(sim);
	}
}

typedef struct late_done_case {
	const char *document;
	int64_t run_ms;
	bool new_owner; /* the owner crashes after it gave the attempt up */
	size_t runs;
} late_done_case_t;

static const late_done_case_t late_done_cases[] = {
	{ ONE_WORKER, 400, false, 1 },
	{ ONE_WORKER, 400, true, 1 },
	/* the leases have ended the first attempt */
	{ ONE_WORKER, 15000, false, 2 },
	/* the other worker has run the second attempt */
	{ TWO_WORKERS, 400, false, 2 },
};

/* A task ran again after its worker had told that it was done. */
static void test_done_heard_before_next_attempt_counts(void **state)
{
	size_t i;

	(void)state;
	for (i = 0; i < G_N_ELEMENTS(late_done_cases); i++) {
		const late_done_case_t *c = &late_done_cases[i];
		sim_t *sim = sim_new(c->document);
		gh_job_spec_t spec = job("j", "lace", 1, 3, c->run_ms);
		size_t n_runs = 0;
		size_t k;

		sim_run(sim, 1000);
		sim_submit(sim, &spec);
		sim_run(sim, 200);
		for (k = 0; k < sim->n_workers; k++)
			if (sim->workers[k].runs->len)
				sim->workers[k].mode = SIM_UNREACHABLE;
		sim_run(sim, 15000);
		if (c->new_owner) {
			assert_int_equal(
				sim_job(sim, "j")->count[GH_TASK_PENDING], 1);
			sim_crash(sim);
			sim_take_over(sim, 0);
		}
		for (k = 0; k < sim->n_workers; k++)
			sim->workers[k].mode = SIM_UP;
		sim_run(sim, 30000);
		assert_all_done(sim, "j");
		for (k = 0; k < sim->n_workers; k++)
			n_runs += sim->workers[k].runs->len;
		if (n_runs != c->runs)
			fail_msg("case %zu: %zu runs", i, n_runs);
		sim_crash(sim);
		sim_take_over(sim, 0);
		assert_all_done(sim, "j");
		assert_no_violation(sim);
		sim_free(sim);
	}
}

/*
 * A list call carries no epoch and so does not stop the renewals of a previous
 * owner: the new owner must still wait.
 */
static void test_list_does_not_resolve(void **state)
{
	sim_t *sim = sim_new(TWO_WORKERS);
	gh_job_spec_t spec = job("j", "lace", 1, 3, 0);
	int64_t until;

	(void)state;
	sim_run(sim, 1000);
	sim_submit(sim, &spec);
	sim_run(sim, 2000);
	sim_crash(sim);
	sim->workers[0].mode = SIM_UNREACHABLE;
	sim->workers[1].mode = SIM_UNREACHABLE;
	sim_take_over(sim, 60000);
	until = sim->now.wall_ms + 60000;
	sim_run(sim, 950);
	sim->workers[0].mode = SIM_UP;
	sim->workers[1].mode = SIM_UP;
	sim_run(sim, 100);
	assert_int_equal(sim_job(sim, "j")->count[GH_TASK_RUNNING], 1);
	sim->workers[0].mode = SIM_UNREACHABLE;
	sim->workers[1].mode = SIM_UNREACHABLE;
	while (sim_job(sim, "j")->count[GH_TASK_RUNNING])
		sim_run(sim, 50);
	assert_true(sim->now.wall_ms >= until);
	sim_free(sim);
}

/*
 * A new owner cannot reach a worker whose leases a previous owner may still
 * renew: it must wait until orphans_until_ms.
 */
static void test_takeover_with_cut_worker_waits(void **state)
{
	sim_t *sim = sim_new(TWO_WORKERS);
	gh_job_spec_t spec = job("j", "lace", 1, 3, 0);
	gh_task_table_t *tasks;
	int64_t until;

	(void)state;
	sim_run(sim, 1000);
	sim_submit(sim, &spec);
	sim_run(sim, 2000);
	assert_int_equal(sim_count_running(sim, "j"), 1);
	sim->workers[0].mode = SIM_UNREACHABLE;
	sim->workers[1].mode = SIM_UNREACHABLE;
	sim_crash(sim);
	sim_take_over(sim, 60000);
	until = sim->now.wall_ms + 60000;
	while (sim_job(sim, "j")->count[GH_TASK_INTENT])
		sim_run(sim, 50);
	assert_true(sim->now.wall_ms >= until);
	/* Only gh_shard_shorten_orphan_wait() lowers the deadline of the wait
	 * for unreachable workers. */
	tasks = gh_shard_tasks(sim->shard);
	assert_int_equal(gh_task_orphans_until(tasks), until);
	sim_free(sim);
}

/* A worker refuses calls of an owner that was paused and replaced. */
static void test_paused_owner_is_fenced(void **state)
{
	sim_t *sim = sim_new(TWO_WORKERS);
	gh_job_spec_t spec = job("j", "lace", 1, 3, 0);
	char checkpoint[GH_CHECKPOINT_MAX + 1];
	gh_action_t stale = { .kind = GH_ACTION_START,
			      .worker = "w1",
			      .task = "j.0",
			      .attempt = 9,
			      .not_after_ms = INT64_MAX };

	(void)state;
	sim_run(sim, 1000);
	sim_submit(sim, &spec);
	sim_run(sim, 1000);
	stale.epoch = sim->epoch;
	stale.spec = &spec;
	sim_crash(sim);
	sim_run(sim, 8000);
	assert_int_equal(sim_call(sim, &stale, checkpoint), GH_REPLY_FENCED);
	assert_int_equal(sim_count_running(sim, "j"), 1);
	assert_no_violation(sim);
	sim_free(sim);
}

/* Running tasks survive a store outage; no task is started during it. */
static void test_store_outage_keeps_tasks(void **state)
{
	sim_t *sim = sim_new(TWO_WORKERS);
	gh_job_spec_t spec = job("j", "lace", 2, 3, 0);
	gh_job_spec_t more = job("k", "lace", 1, 1, 0);

	(void)state;
	sim_run(sim, 1000);
	sim_submit(sim, &spec);
	sim_run(sim, 2000);
	sim->store_down = true;
	sim_submit(sim, &more);
	sim_run(sim, 60000);
	assert_int_equal(sim_count_running(sim, "j"), 2);
	assert_int_equal(sim_count_running(sim, "k"), 0);
	sim->store_down = false;
	sim_run(sim, 1000);
	assert_int_equal(sim_count_running(sim, "k"), 1);
	assert_no_violation(sim);
	sim_free(sim);
}

/* An urgent job within its department's guarantee starts in urgent_start_ms. */
static void test_urgent_takes_back_what_was_lent(void **state)
{
	sim_t *sim = sim_new(FOUR_WORKERS);
	gh_job_spec_t spec = job("j", "lace", 16, 1, 0);
	gh_job_spec_t urgent = job("u", "light", 4, 2, 0);

	(void)state;
	urgent.urgent = true;
	sim_run(sim, 1000);
	sim_submit(sim, &spec);
	sim_run(sim, 2000);
	assert_int_equal(sim_count_running(sim, "j"), 16);
	sim_submit(sim, &urgent);
	sim_run(sim, sim->doc->policy.urgent_start_ms);
	assert_int_equal(sim_count_running(sim, "u"), 4);
	/* Tasks of the other department within its guarantee go on running. */
	assert_int_equal(sim_count_running(sim, "j"), 8);
	assert_no_violation(sim);
	sim_free(sim);
}

/* Capacity that is being freed for a job is not given to another job. */
static void test_room_is_kept_while_it_is_made(void **state)
{
	sim_t *sim = sim_new(FOUR_WORKERS);
	gh_job_spec_t spec = job("j", "lace", 60, 1, 0);
	gh_job_spec_t urgent = job("u", "light", 4, 2, 0);
	size_t i;

	(void)state;
	urgent.urgent = true;
	sim_run(sim, 1000);
	sim_submit(sim, &spec);
	sim_run(sim, 2000);
	for (i = 0; i < sim->n_workers; i++)
		sim->workers[i].mode = SIM_STOP_REPLIES_LOST;
	sim_submit(sim, &urgent);
	sim_run(sim, sim->doc->policy.urgent_start_ms);
	assert_int_equal(sim_count_running(sim, "u"), 4);
	assert_int_equal(sim_count_running(sim, "j"), 8);
	assert_int_equal(gh_shard_take_counts(sim->shard).evicted, 8);
	assert_no_violation(sim);
	sim_free(sim);
}

/* Tasks of a department within its guarantee are never evicted for others. */
static void test_guarantee_is_safe(void **state)
{
	sim_t *sim = sim_new(FOUR_WORKERS);
	gh_job_spec_t spec = job("j", "lace", 8, 1, 0);
	gh_job_spec_t urgent = job("u", "light", 2, 2, 0);

	(void)state;
	urgent.urgent = true;
	sim_run(sim, 1000);
	sim->workers[2].mode = SIM_UNREACHABLE;
	sim->workers[3].mode = SIM_UNREACHABLE;
	sim_run(sim, 2000);
	sim_submit(sim, &spec);
	sim_run(sim, 2000);
	assert_int_equal(sim_count_running(sim, "j"), 8);
	sim_submit(sim, &urgent);
	sim_run(sim, 20000);
	assert_int_equal(sim_count_running(sim, "j"), 8);
	assert_int_equal(sim_count_running(sim, "u"), 0);
	assert_no_violation(sim);
	sim_free(sim);
}

/* A job beyond its department's guarantee evicts no task of another department.
 */
static void test_borrowing_stops_at_rivals_guarantee(void **state)
{
	sim_t *sim = sim_new(FOUR_WORKERS);
	gh_job_spec_t spec = job("j", "lace", 16, 1, 0);
	gh_job_spec_t urgent = job("u", "light", 12, 1, 0);

	(void)state;
	urgent.urgent = true;
	sim_run(sim, 1000);
	sim_submit(sim, &spec);
	sim_run(sim, 2000);
	sim_submit(sim, &urgent);
	sim_run(sim, 30000);
	assert_int_equal(sim_count_running(sim, "u"), 8);
	assert_int_equal(sim_count_running(sim, "j"), 8);
	assert_no_violation(sim);
	sim_free(sim);
}

/* A worker that fails every task is ejected; its failures cost no task. */
static void test_worker_that_fails_all(void **state)
{
	sim_t *sim = sim_new(FOUR_WORKERS);
	gh_job_spec_t spec = job("j", "lace", 60, 1, 2000);

	(void)state;
	sim_run(sim, 1000);
	sim->workers[1].mode = SIM_FAILS_TASKS;
	sim_submit(sim, &spec);
	sim_run(sim, 60000);
	assert_all_done(sim, "j");
	assert_int_equal(gh_shard_take_counts(sim->shard).workers_ejected, 1);
	assert_no_failures(sim, "j");
	sim->workers[1].mode = SIM_UP;
	spec = job("k", "lace", 60, 1, 2000);
	sim_submit(sim, &spec);
	sim_run(sim, 200000);
	assert_all_done(sim, "k");
	assert_false(gh_shard_worker_health(sim->shard, 1)->ejected);
	assert_no_violation(sim);
	sim_free(sim);
}

/* A job that fails on every worker ends, and no worker is ejected. */
static void test_job_that_always_fails(void **state)
{
	sim_t *sim = sim_new(FOUR_WORKERS);
	gh_job_spec_t spec = job("j", "lace", 40, 1, 100);
	size_t i;

	(void)state;
	sim_run(sim, 1000);
	for (i = 0; i < sim->n_workers; i++)
		sim->workers[i].mode = SIM_FAILS_TASKS;
	sim_submit(sim, &spec);
	sim_run(sim, 60000);
	assert_int_equal(sim_job(sim, "j")->count[GH_TASK_FAILED], 40);
	assert_int_equal(gh_shard_take_counts(sim->shard).workers_ejected, 0);
	sim_free(sim);
}

typedef struct refusal_case {
	const char *name;
	const char *department;
	const char *message_part;
	uint32_t cores;
	gh_error_kind_t kind;
} refusal_case_t;

static const refusal_case_t refusals[] = {
	{ "big", "lace", "\"w1\"", 5, GH_E_JOB_INFEASIBLE },
	{ "j", "lace", "different content", 2, GH_E_JOB_EXISTS },
	{ "k", "none", "none", 1, GH_E_REFERENCE },
	{ "k", "tiny", "limit", 1, GH_E_QUOTA },
};

static void test_refusals(void **state)
{
	sim_t *sim =
		sim_new(TWO_WORKERS "[department tiny]\nguarantee_percent=0\n"
				    "limit_percent=1\njobs_max=1\n");
	gh_job_spec_t first = job("j", "lace", 1, 1, 0);
	uint64_t commit;
	size_t i;

	(void)state;
	sim_submit(sim, &first);
	sim_submit(sim, &first);
	for (i = 0; i < G_N_ELEMENTS(refusals); i++) {
		const refusal_case_t *c = &refusals[i];
		gh_job_spec_t spec =
			job(c->name, c->department, 1, c->cores, 0);
		GError *err = NULL;

		assert_false(gh_shard_submit(sim->shard, &spec, &commit, &err));
		assert_int_equal(gh_error_kind(err), c->kind);
		assert_non_null(strstr(err->message, c->message_part));
		g_error_free(err);
	}
	sim_free(sim);
}

/* Jobs are cancelled before, during and after their starts. */
static void test_cancellations(void **state)
{
	sim_t *sim = sim_new(FOUR_WORKERS);
	uint64_t commit;
	size_t i;

	(void)state;
	sim_run(sim, 1000);
	for (i = 0; i < 100; i++) {
		char name[16];
		gh_job_spec_t spec;

		g_snprintf(name, sizeof(name), "j%zu", i);
		spec = job(name, "lace", 10, 1, 0);
		sim_submit(sim, &spec);
		if (i % 10 == 0)
			sim_run(sim, 50);
	}
	for (i = 0; i < 100; i++) {
		char name[16];

		g_snprintf(name, sizeof(name), "j%zu", i);
		assert_true(gh_shard_cancel(sim->shard, name, &commit, NULL));
		if (i % 30 == 0)
			sim_run(sim, 50);
	}
	sim_run(sim, 10000);
	assert_int_equal(gh_job_count_unfinished(gh_shard_tasks(sim->shard)),
			 0);
	for (i = 0; i < sim->n_workers; i++)
		assert_int_equal(gh_place_worker(gh_shard_place(sim->shard),
						 (gh_handle_t)i)
					 ->reserved.cores_milli,
				 0);
	assert_no_violation(sim);
	sim_free(sim);
}

/* A leaving worker gets no new tasks, and its tasks resume elsewhere. */
static void test_leaving_worker(void **state)
{
	sim_t *sim = sim_new(TWO_WORKERS);
	gh_job_spec_t spec = job("j", "lace", 4, 1, 0);
	size_t i;

	(void)state;
	sim_run(sim, 1000);
	sim_submit(sim, &spec);
	sim_run(sim, 2000);
	sim->doc->workers[0].state = GH_HOST_LEAVING;
	gh_shard_configure(sim->shard, sim->doc, &sim->now);
	sim_run(sim, 4000);
	assert_int_equal(sim_count_running(sim, "j"), 4);
	for (i = 0; i < sim->workers[0].runs->len; i++)
		assert_int_not_equal(
			g_array_index(sim->workers[0].runs, sim_run_t, i).state,
			GH_REPORT_RUNNING);
	assert_no_violation(sim);
	sim_free(sim);
}

/* Replaying a snapshot gives the job table from which it was made. */
static void test_snapshot_reads_back(void **state)
{
	sim_t *sim = sim_new(FOUR_WORKERS);
	gh_job_spec_t spec = job("j", "lace", 20, 1, 3000);
	gh_shard_setup_t setup = { .owner = "e", .domain = "bole" };
	gh_shard_t *other = gh_shard_new(&setup);
	char *first;
	char *second;
	char **lines;
	size_t i;

	(void)state;
	sim_run(sim, 1000);
	sim_submit(sim, &spec);
	submit_preempting_job(sim);
	sim_run(sim, 4500);
	gh_shard_cancel(sim->shard, "u", &sim->commit, NULL);
	first = gh_shard_snapshot(sim->shard);
	lines = g_strsplit(first, "\n", -1);
	for (i = 0; lines[i]; i++)
		assert_true(gh_shard_replay(other, lines[i], NULL));
	second = gh_shard_snapshot(other);
	assert_string_equal(first, second);
	g_strfreev(lines);
	g_free(first);
	g_free(second);
	gh_shard_free(other);
	sim_free(sim);
}

/* Log records that are invalid in an empty job table. */
static const char *const bad_records[] = {
	"?",
	"J",
	"J 1 j lace - build 9 0 1 1000 1 0 0 x",
	"J 1 j lace - build 1 0 0 1000 1 0 0 x",
	"J 1 j lace - build 1 0 99999 1000 1 0 0 x",
	"I 1.0 1 w1 5",
	"R 1.0 1 d",
	"X 1",
	"D 1",
	"B 1.0",
	"G 1.0",
	"T 1.0 p 1 0 - 0 -",
	"E x",
};

/* Log records that are invalid in a job table of job 1 with two pending tasks.
 */
static const char *const bad_records_of_job[] = {
	"J 1 k lace - build 1 0 1 1000 1 0 0 x",
	"I 1.2 1 w1 5",
	"I 1.0 2 w1 5",
	"R 1.0 0 d",
	"R 1.0 1 z",
	"B 1.0",
	"G 1.0",
	"D 1",
	"T 1.0 z 1 0 - 0 -",
};

static void test_bad_records_are_refused(void **state)
{
	gh_shard_setup_t setup = { .owner = "e", .domain = "bole" };
	gh_shard_t *shard = gh_shard_new(&setup);
	size_t i;

	(void)state;
	for (i = 0; i < G_N_ELEMENTS(bad_records); i++)
		assert_false(gh_shard_replay(shard, bad_records[i], NULL));
	assert_true(gh_shard_replay(
		shard, "J 1 j lace - build 1 0 2 1000 1 0 0 x", NULL));
	for (i = 0; i < G_N_ELEMENTS(bad_records_of_job); i++)
		assert_false(
			gh_shard_replay(shard, bad_records_of_job[i], NULL));
	gh_shard_free(shard);
}

/* Names of checkpoints, which a worker may choose freely. */
static const char *const checkpoints[] = {
	"done_ms=15",  "-",    "two words",
	"line\nX 1\n", "100%", "\303\244\001\177\"\\",
};

static void test_any_checkpoint_reads_back(void **state)
{
	size_t i;

	(void)state;
	for (i = 0; i < G_N_ELEMENTS(checkpoints); i++) {
		sim_t *sim = sim_new(TWO_WORKERS);
		gh_job_spec_t spec = job("j", "lace", 1, 1, 0);
		gh_task_table_t *tasks;

		sim_run(sim, 1000);
		sim_submit(sim, &spec);
		sim_run(sim, 1000);
		tasks = gh_shard_tasks(sim->shard);
		gh_task_end_attempt(tasks, sim->log, 0, GH_END_EVICTED,
				    checkpoints[i]);
		sim_crash(sim);
		sim_take_over(sim, 0);
		tasks = gh_shard_tasks(sim->shard);
		assert_string_equal(gh_task_at(tasks, 0)->checkpoint,
				    checkpoints[i]);
		sim->uncommitted = gh_shard_snapshot(sim->shard);
		g_string_assign(sim->log, sim->uncommitted);
		sim_crash(sim);
		sim_take_over(sim, 0);
		tasks = gh_shard_tasks(sim->shard);
		assert_string_equal(gh_task_at(tasks, 0)->checkpoint,
				    checkpoints[i]);
		sim_free(sim);
	}
}

static sim_run_t *find_running(sim_t *sim, const char *task)
{
	size_t i;
	guint k;

	for (i = 0; i < sim->n_workers; i++)
		for (k = 0; k < sim->workers[i].runs->len; k++) {
			sim_run_t *run = &g_array_index(sim->workers[i].runs,
							sim_run_t, k);

			if (!strcmp(run->task, task) &&
			    run->state == GH_REPORT_RUNNING)
				return run;
		}
	return NULL;
}

/*
 * Batch tasks are throttled while a service's tail latency is high, and
 * unthrottled afterwards.
 */
static void test_harm_throttles_batch(void **state)
{
	sim_t *sim = sim_new(TWO_WORKERS);
	gh_job_spec_t service = job("s", "light", 1, 2, 0);
	gh_job_spec_t batch = job("b", "lace", 3, 2, 0);
	int round;

	(void)state;
	service.class = GH_CLASS_LATENCY;
	g_strlcpy(service.kind, "orders", sizeof(service.kind));
	sim_run(sim, 1000);
	sim_submit(sim, &service);
	sim_run(sim, 1000);
	find_running(sim, "s.0")->tail_ms = 10;
	sim_run(sim, 3000);
	sim_submit(sim, &batch);
	sim_run(sim, 2000);
	find_running(sim, "s.0")->tail_ms = 40;
	sim_run(sim, 4500);
	assert_true(gh_shard_take_counts(sim->shard).throttled > 0);
	find_running(sim, "s.0")->tail_ms = 10;
	sim_run(sim, 8000);
	for (round = 0; round < 3; round++) {
		char name[8];

		g_snprintf(name, sizeof(name), "b.%d", round);
		if (find_running(sim, name))
			assert_int_equal(find_running(sim, name)->percent, 100);
	}
	assert_no_violation(sim);
	sim_free(sim);
}

static int64_t next_poll_ms(sim_t *sim)
{
	return gh_time_to_ms(
		gh_shard_next_poll_time(sim->shard, "w1", sim->now.boot) -
		sim->now.boot);
}

/* A worker is called less often while no task starts, stops or is overdue. */
static void test_calls_go_by_activity(void **state)
{
	sim_t *sim = sim_new(TWO_WORKERS);
	gh_job_spec_t batch = job("b", "lace", 8, 1, 0);
	gh_job_spec_t service = job("s", "lace", 2, 1, 0);
	gh_job_spec_t brief = job("q", "lace", 2, 1, 1500);
	uint64_t commit;

	(void)state;
	service.class = GH_CLASS_LATENCY;
	sim_run(sim, 1050);
	assert_int_equal(next_poll_ms(sim), 2500);
	sim_submit(sim, &batch);
	gh_shard_tick(sim->shard, true, INT64_MAX, &sim->now);
	assert_int_equal(next_poll_ms(sim), 1000);
	sim_run(sim, 2000);
	assert_int_equal(next_poll_ms(sim), 2500);
	gh_shard_cancel(sim->shard, "b", &commit, NULL);
	sim_run(sim, 1000);
	sim_submit(sim, &brief);
	sim_run(sim, 100);
	assert_in_range(next_poll_ms(sim), 1300, 1500);
	sim_run(sim, 5000);
	batch = job("c", "lace", 6, 1, 0);
	sim_submit(sim, &service);
	sim_submit(sim, &batch);
	sim_run(sim, 2000);
	assert_int_equal(next_poll_ms(sim), 2000);
	sim_free(sim);
}

/* A worker that falls silent for a while, and the log of its task. */
typedef struct event_case {
	int64_t run_ms;
	int64_t silent_ms; /* 0: the worker is never silent */
	const char *events;
} event_case_t;

static const event_case_t event_cases[] = {
	{ 400, 0,
	  "attempt_begun j.0/1\n"
	  "attempt_replied j.0/1: ok\n"
	  "attempt_ended j.0/1: done\n"
	  "attempt_acknowledged j.0/1: ok\n" },
	{ 60000, 20000,
	  "attempt_begun j.0/1\n"
	  "attempt_replied j.0/1: ok\n"
	  "worker_unheard\n"
	  "attempt_ended j.0/1: its leases expired unheard\n"
	  "worker_heard: list\n"
	  "attempt_listed_late j.0/1: lapsed\n"
	  "attempt_begun j.0/2\n"
	  "attempt_acknowledged j.0/1: ok\n"
	  "attempt_replied j.0/2: ok\n" },
};

/* Nothing told when and why a task was started again. */
static void test_events_tell_why_a_task_starts_again(void **state)
{
	size_t i;

	(void)state;
	for (i = 0; i < G_N_ELEMENTS(event_cases); i++) {
		const event_case_t *c = &event_cases[i];
		sim_t *sim = sim_new(ONE_WORKER);
		gh_job_spec_t spec = job("j", "lace", 1, 3, c->run_ms);

		sim_run(sim, 1000);
		sim->events = g_string_new(NULL);
		sim_submit(sim, &spec);
		sim_run(sim, 2000);
		if (c->silent_ms)
			sim->workers[0].mode = SIM_UNREACHABLE;
		sim_run(sim, c->silent_ms);
		sim->workers[0].mode = SIM_UP;
		sim_run(sim, 3000);
		assert_string_equal(sim->events->str, c->events);
		sim_free(sim);
	}
}

int main(void)
{
	const struct CMUnitTest tests[] = {
		cmocka_unit_test(test_crash_at_each_step),
		cmocka_unit_test(test_evicted_resumes_once_over_crashes),
		cmocka_unit_test(test_lost_replies),
		cmocka_unit_test(test_cut_worker_waits_for_its_leases),
		cmocka_unit_test(test_late_start),
		cmocka_unit_test(test_list_made_before_start),
		cmocka_unit_test(test_list_sent_within_leases_ends_nothing),
		cmocka_unit_test(test_done_heard_before_next_attempt_counts),
		cmocka_unit_test(test_list_does_not_resolve),
		cmocka_unit_test(test_takeover_with_cut_worker_waits),
		cmocka_unit_test(test_paused_owner_is_fenced),
		cmocka_unit_test(test_store_outage_keeps_tasks),
		cmocka_unit_test(test_urgent_takes_back_what_was_lent),
		cmocka_unit_test(test_room_is_kept_while_it_is_made),
		cmocka_unit_test(test_guarantee_is_safe),
		cmocka_unit_test(test_borrowing_stops_at_rivals_guarantee),
		cmocka_unit_test(test_worker_that_fails_all),
		cmocka_unit_test(test_job_that_always_fails),
		cmocka_unit_test(test_refusals),
		cmocka_unit_test(test_cancellations),
		cmocka_unit_test(test_leaving_worker),
		cmocka_unit_test(test_snapshot_reads_back),
		cmocka_unit_test(test_bad_records_are_refused),
		cmocka_unit_test(test_any_checkpoint_reads_back),
		cmocka_unit_test(test_harm_throttles_batch),
		cmocka_unit_test(test_calls_go_by_activity),
		cmocka_unit_test(test_events_tell_why_a_task_starts_again),
	};

	return cmocka_run_group_tests(tests, NULL, NULL);
}
