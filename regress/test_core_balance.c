/*
 * Tests of the choice of a shard for a new job, from the shards' reported loads
 * and the jobs placed since.
 */
#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <cmocka.h>
#include <string.h>

#include "core_balance.h"

#define SHARDS 3
#define STEP_MS 10
#define UNKNOWN                   \
	{                         \
		.total = { 0, 0 } \
	}
/* Load of a shard with 100 cores and 100 MB. */
#define USED(cores, mb)                                                       \
	{                                                                     \
		.total = { 100000, 100 }, .long_running = {(cores)*1000, mb } \
	}

/* Tasks of a job: long-running and other ones, of the same size. */
typedef struct demand {
	uint32_t long_running;
	uint32_t others;
	uint32_t cores;
	uint32_t memory_mb;
	bool best_effort; /* the other tasks */
} demand_t;

typedef struct choice_case {
	const char *name;
	gh_shard_load_t loads[SHARDS]; /* total 0: unknown */
	demand_t job;
	uint32_t hashed;
	uint32_t expected_percent[SHARDS]; /* of jobs that go to each shard */
} choice_case_t;

static const choice_case_t choice_cases[] = {
	{ "no long-running task",
	  { USED(90, 0), USED(0, 0), USED(0, 0) },
	  { 0, 10, 1, 1, false },
	  0,
	  { 5, 47, 47 } },
	{ "no long-running task, hashed shard full",
	  { USED(100, 0), USED(75, 0), USED(25, 0) },
	  { 0, 10, 1, 1, false },
	  0,
	  { 0, 25, 75 } },
	{ "no long-running task, memory decides",
	  { USED(10, 90), USED(10, 70), USED(40, 0) },
	  { 0, 10, 1, 1, false },
	  0,
	  { 10, 30, 60 } },
	{ "no long-running task, shards of unequal size",
	  { { .total = { 300000, 300 }, .long_running = { 0, 0 } },
	    USED(0, 0),
	    USED(100, 0) },
	  { 0, 10, 1, 1, false },
	  2,
	  { 75, 25, 0 } },
	{ "no long-running task, hashed shard unknown",
	  { UNKNOWN, USED(0, 0), USED(0, 0) },
	  { 0, 10, 1, 1, false },
	  0,
	  { 100, 0, 0 } },
	{ "best-effort tasks only",
	  { USED(90, 0), USED(0, 0), USED(0, 0) },
	  { 0, 10, 1, 1, true },
	  0,
	  { 100, 0, 0 } },
	{ "equal loads",
	  { USED(40, 0), USED(40, 0), USED(40, 0) },
	  { 10, 0, 1, 0, false },
	  1,
	  { 33, 33, 33 } },
	{ "hashed shard full",
	  { USED(95, 0), USED(90, 0), USED(20, 0) },
	  { 10, 0, 1, 0, false },
	  0,
	  { 0, 0, 100 } },
	{ "least memory decides",
	  { USED(10, 90), USED(40, 50), USED(50, 60) },
	  { 10, 0, 1, 1, false },
	  0,
	  { 0, 60, 40 } },
	{ "memory not needed",
	  { USED(10, 90), USED(40, 50), USED(50, 60) },
	  { 10, 0, 1, 0, false },
	  1,
	  { 50, 29, 21 } },
	{ "smaller shard, larger share left",
	  { { .total = { 1000000, 1000 }, .long_running = { 600000, 0 } },
	    USED(30, 0),
	    USED(90, 0) },
	  { 10, 0, 1, 0, false },
	  0,
	  { 37, 63, 0 } },
	{ "no usable worker, no shard with capacity",
	  { { .total = { 0, 100 }, .long_running = { 0, 0 } },
	    USED(98, 0),
	    USED(99, 0) },
	  { 10, 0, 1, 0, false },
	  0,
	  { 0, 100, 0 } },
	{ "other tasks don't count",
	  { USED(40, 0), USED(55, 0), USED(90, 0) },
	  { 1, 50, 1, 0, false },
	  1,
	  { 59, 41, 0 } },
	{ "hashed shard unknown",
	  { USED(0, 0), USED(0, 0), UNKNOWN },
	  { 10, 0, 1, 0, false },
	  2,
	  { 0, 0, 100 } },
	{ "another shard unknown",
	  { USED(80, 0), USED(50, 0), UNKNOWN },
	  { 10, 0, 1, 0, false },
	  0,
	  { 0, 100, 0 } },
	{ "all without headroom",
	  { USED(81, 0), USED(83, 0), USED(86, 0) },
	  { 10, 0, 1, 0, false },
	  0,
	  { 45, 35, 20 } },
	{ "one with headroom",
	  { USED(81, 0), USED(83, 0), USED(79, 0) },
	  { 10, 0, 1, 0, false },
	  0,
	  { 0, 0, 100 } },
	{ "known shards full",
	  { USED(95, 0), USED(95, 0), UNKNOWN },
	  { 10, 0, 1, 0, false },
	  0,
	  { 0, 0, 100 } },
	{ "nothing known",
	  { UNKNOWN, UNKNOWN, UNKNOWN },
	  { 10, 0, 1, 0, false },
	  1,
	  { 0, 100, 0 } },
};

static void report(gh_balance_t *balance, uint32_t shard,
		   const gh_shard_load_t *load, int64_t at_ms)
{
	bool known = load->total.cores_milli || load->total.memory_mb;

	gh_balance_report(balance, shard, known ? load : NULL,
			  gh_time_from_ms(at_ms));
}

static uint32_t choose(gh_balance_t *balance, const demand_t *demand,
		       uint32_t number, uint32_t hashed, int64_t at_ms)
{
	gh_step_t steps[2] = {
		{ .tasks = demand->long_running, .long_running = true },
		{ .tasks = demand->others, .best_effort = demand->best_effort },
	};
	gh_pipeline_t job = { .n_steps = 2, .steps = steps };

	g_snprintf(job.id, sizeof(job.id), "%016x", number);
	steps[0].size.cores_milli = demand->cores * 1000;
	steps[0].size.memory_mb = demand->memory_mb;
	steps[1].size = steps[0].size;
	if (!demand->long_running) {
		job.steps = &steps[1];
		job.n_steps = 1;
	}
	return gh_balance_choose(balance, &job,
				 &(gh_balance_query_t){ .hashed = hashed },
				 gh_time_from_ms(at_ms));
}

#define CHOICES 2000
#define PERCENT_ERROR_MAX 4 /* three standard deviations of 2000 choices */

static void test_choice(void **state)
{
	size_t i;
	uint32_t j;

	(void)state;
	for (i = 0; i < G_N_ELEMENTS(choice_cases); i++) {
		const choice_case_t *c = &choice_cases[i];
		uint32_t chosen[SHARDS] = { 0 };

		print_message("%s\n", c->name);
		for (j = 0; j < CHOICES; j++) {
			gh_balance_t *balance = gh_balance_new(SHARDS);
			uint32_t shard;

			for (shard = 0; shard < SHARDS; shard++)
				report(balance, shard, &c->loads[shard], 0);
			chosen[choose(balance, &c->job, j, c->hashed,
				      STEP_MS)]++;
			gh_balance_free(balance);
		}
		for (j = 0; j < SHARDS; j++) {
			uint32_t percent = chosen[j] * 100 / CHOICES;
			uint32_t expected = c->expected_percent[j];

			if (expected == 0 || expected == 100)
				assert_int_equal(percent, expected);
			else
				assert_in_range(
					percent + PERCENT_ERROR_MAX, expected,
					expected + 2 * PERCENT_ERROR_MAX);
		}
	}
}

/*
 * A job of 20 cores is placed in shard 0 at time 0, the only one that has
 * capacity left beside it.  A job at a later time shows whether the first one
 * still counts: it goes to shard 0 only if not.
 */
typedef struct placed_case {
	const char *name;
	int64_t report_at_ms; /* second report of shard 0; 0: none */
	int64_t choice_at_ms;
	uint32_t expected;
} placed_case_t;

static const placed_case_t placed_cases[] = {
	{ "no report", 0, 9000, 1 },
	{ "no report for long", 0, 10001, 0 },
	{ "report from before the job", 900, 9000, 1 },
	{ "report with the job", 1001, 1100, 0 },
};

static void test_placed(void **state)
{
	static const demand_t job = { 20, 0, 1, 0, false };
	static const gh_shard_load_t loads[SHARDS] = { USED(70, 0), USED(80, 0),
						       USED(99, 0) };
	size_t i;
	uint32_t j;

	(void)state;
	for (i = 0; i < G_N_ELEMENTS(placed_cases); i++) {
		const placed_case_t *c = &placed_cases[i];
		gh_balance_t *balance = gh_balance_new(SHARDS);

		print_message("%s\n", c->name);
		for (j = 0; j < SHARDS; j++)
			report(balance, j, &loads[j], 0);
		assert_int_equal(choose(balance, &job, 1, 1, 0), 0);
		if (c->report_at_ms)
			report(balance, 0, &loads[0], c->report_at_ms);
		assert_int_equal(choose(balance, &job, 2, 1, c->choice_at_ms),
				 c->expected);
		gh_balance_free(balance);
	}
}

/*
 * Hosts that decide by old loads, while jobs arrive and end.  No shard may get
 * more jobs than it has capacity for while all shards together have plenty.
 */
typedef struct hosts_case {
	const char *name;
	uint32_t hosts;
	int64_t load_age_ms;
	int64_t arrival_ms; /* time from one job to the next */
} hosts_case_t;

/* 70 s / arrival_ms are the jobs at a time, on shards for 71 jobs each. */
static const hosts_case_t hosts_cases[] = {
	{ "one host, loads of 0.5 s ago", 1, 500, 583 },
	{ "36 hosts, loads of 0.5 s ago", 36, 500, 583 },
	{ "36 hosts, loads of 3 s ago", 36, 3000, 583 },
	{ "36 hosts, half the jobs", 36, 500, 1166 },
};

#define SIM_SHARDS 2
#define SIM_HOSTS_MAX 36
#define SIM_MS 300000
#define SIM_STEP_MS 20
#define SIM_JOB_LIFE_MS 70000
#define SIM_JOBS_MAX 4096
#define SIM_LOAD_PERIOD_MS 500
#define SIM_JOBS_PER_SHARD 71 /* capacity of a shard */
#define SIM_HISTORY (4000 / SIM_STEP_MS)

typedef struct sim_shard {
	int64_t ends_ms[SIM_JOBS_MAX]; /* when the shard's jobs end */
	uint32_t n;
	uint32_t history[SIM_HISTORY]; /* n at the last steps, a ring */
} sim_shard_t;

typedef struct sim {
	const hosts_case_t *c;
	gh_balance_t *hosts[SIM_HOSTS_MAX];
	sim_shard_t shards[SIM_SHARDS];
	GRand *random;
	int64_t now_ms;
	int64_t next_job_ms;
} sim_t;

static const demand_t sim_job = { 14, 0, 13, 26000, false };

static void sim_end_jobs(sim_t *sim, sim_shard_t *shard)
{
	uint32_t i = 0;

	while (i < shard->n)
		if (shard->ends_ms[i] <= sim->now_ms)
			shard->ends_ms[i] = shard->ends_ms[--shard->n];
		else
			i++;
	shard->history[sim->now_ms / SIM_STEP_MS % SIM_HISTORY] = shard->n;
}

static void sim_count(sim_t *sim)
{
	uint32_t i;

	for (i = 0; i < SIM_SHARDS; i++)
		sim->shards[i]
			.history[sim->now_ms / SIM_STEP_MS % SIM_HISTORY] =
			sim->shards[i].n;
}

static void sim_report(sim_t *sim, uint32_t shard)
{
	int64_t seen_ms = MAX(sim->now_ms - sim->c->load_age_ms, 0);
	int64_t jobs =
		sim->shards[shard].history[seen_ms / SIM_STEP_MS % SIM_HISTORY];
	int64_t tasks = jobs * sim_job.long_running;
	gh_shard_load_t load = {
		.total = { 13000 * 1000, 51000 * 1000 },
		.long_running = { tasks * sim_job.cores * 1000,
				  tasks * sim_job.memory_mb },
	};
	uint32_t i;

	for (i = 0; i < sim->c->hosts; i++)
		gh_balance_report(sim->hosts[i], shard, &load,
				  gh_time_from_ms(sim->now_ms));
}

static void sim_submit(sim_t *sim)
{
	gint32 host = g_rand_int_range(sim->random, 0, (gint32)sim->c->hosts);
	uint32_t hashed = g_rand_int(sim->random) % SIM_SHARDS;
	uint32_t chosen = choose(sim->hosts[host], &sim_job,
				 g_rand_int(sim->random), hashed, sim->now_ms);
	sim_shard_t *shard = &sim->shards[chosen];

	assert_true(shard->n < SIM_JOBS_MAX);
	shard->ends_ms[shard->n++] =
		sim->now_ms +
		g_rand_int_range(sim->random, 1, 2 * SIM_JOB_LIFE_MS);
	sim->next_job_ms += sim->c->arrival_ms;
}

static uint32_t max_jobs(const hosts_case_t *c)
{
	sim_t *sim = g_new0(sim_t, 1);
	uint32_t max = 0;
	uint32_t i;

	sim->c = c;
	sim->random = g_rand_new_with_seed(1);
	for (i = 0; i < c->hosts; i++)
		sim->hosts[i] = gh_balance_new(SIM_SHARDS);
	for (; sim->now_ms < SIM_MS; sim->now_ms += SIM_STEP_MS) {
		for (i = 0; i < SIM_SHARDS; i++) {
			sim_end_jobs(sim, &sim->shards[i]);
			if (sim->now_ms % SIM_LOAD_PERIOD_MS == 0)
				sim_report(sim, i);
		}
		while (sim->next_job_ms <= sim->now_ms)
			sim_submit(sim);
		max = MAX(max, MAX(sim->shards[0].n, sim->shards[1].n));
	}
	for (i = 0; i < c->hosts; i++)
		gh_balance_free(sim->hosts[i]);
	g_rand_free(sim->random);
	g_free(sim);
	return max;
}

static void test_hosts(void **state)
{
	size_t i;

	(void)state;
	for (i = 0; i < G_N_ELEMENTS(hosts_cases); i++) {
		const hosts_case_t *c = &hosts_cases[i];
		uint32_t jobs = max_jobs(c);

		print_message("%s: up to %u jobs\n", c->name, jobs);
		assert_in_range(jobs, 0, SIM_JOBS_PER_SHARD);
	}
}

/*
 * Many jobs arrive at several hosts while the loads of the shards are known
 * from different times.  They must not be spread worse than by the hash alone,
 * by more than three standard deviations.
 */
#define BURST_JOBS 117
#define BURST_MS 230
#define BURST_DIFFERENCE_MAX 33 /* 3 * sqrt(117) */

static void test_burst(void **state)
{
	guint32 seed;

	(void)state;
	for (seed = 1; seed <= 20; seed++) {
		hosts_case_t c = { .hosts = SIM_HOSTS_MAX };
		sim_t *sim = g_new0(sim_t, 1);
		uint32_t i;
		int64_t difference;

		sim->c = &c;
		sim->random = g_rand_new_with_seed(seed);
		for (i = 0; i < c.hosts; i++)
			sim->hosts[i] = gh_balance_new(SIM_SHARDS);
		for (i = 0; i < SIM_SHARDS; i++)
			sim_report(sim, i);
		for (i = 0; i < BURST_JOBS; i++) {
			sim->now_ms = 1 + i * BURST_MS / BURST_JOBS;
			sim_submit(sim);
			sim_count(sim);
			/* Shard 0 reports during the burst, shard 1 later. */
			if (i == BURST_JOBS / 2)
				sim_report(sim, 0);
		}
		difference =
			(int64_t)sim->shards[0].n - (int64_t)sim->shards[1].n;
		assert_in_range(ABS(difference), 0, BURST_DIFFERENCE_MAX);
		for (i = 0; i < c.hosts; i++)
			gh_balance_free(sim->hosts[i]);
		g_rand_free(sim->random);
		g_free(sim);
	}
}

/*
 * Jobs come one by one to shards that many jobs at once have filled unequally,
 * as on meskot-hoist-large.  Beyond ARRIVALS_FULL_PERCENT of the cores, no
 * worker has capacity for a task of theirs.
 */
#define ARRIVALS 20
#define ARRIVAL_SEEDS 20
#define ARRIVALS_SHARDS 5
#define ARRIVALS_FULL_PERCENT 94

static void test_job_goes_to_full_shard(void **state)
{
	static const gh_shard_load_t filled[ARRIVALS_SHARDS] = {
		{ .total = { 16512000, 66048000 },
		  .long_running = { 13005000, 25733000 } },
		{ .total = { 17536000, 70144000 },
		  .long_running = { 9024000, 17532000 } },
		{ .total = { 16448000, 65792000 },
		  .long_running = { 14134000, 30100000 } },
		{ .total = { 16928000, 67712000 },
		  .long_running = { 15257000, 35190000 } },
		{ .total = { 14688000, 58752000 },
		  .long_running = { 12176000, 22223000 } },
	};
	static const demand_t job = { 24, 0, 13, 26000, false };
	uint32_t seed, i, j;

	(void)state;
	for (seed = 0; seed < ARRIVAL_SEEDS; seed++) {
		gh_balance_t *balance = gh_balance_new(ARRIVALS_SHARDS);
		gh_shard_load_t loads[ARRIVALS_SHARDS];

		memcpy(loads, filled, sizeof(loads));
		for (i = 0; i < ARRIVALS; i++) {
			int64_t now_ms = 2000LL * (i + 1);
			gh_shard_load_t *load;

			for (j = 0; j < ARRIVALS_SHARDS; j++)
				report(balance, j, &loads[j], now_ms);
			load = &loads[choose(balance, &job, seed * ARRIVALS + i,
					     i % ARRIVALS_SHARDS, now_ms)];
			load->long_running.cores_milli +=
				(int64_t)job.long_running * job.cores * 1000;
			load->long_running.memory_mb +=
				(int64_t)job.long_running * job.memory_mb;
			assert_true(load->long_running.cores_milli * 100 <=
				    load->total.cores_milli *
					    ARRIVALS_FULL_PERCENT);
		}
		gh_balance_free(balance);
	}
}

#define URGENT_JOBS 4000
#define URGENT_CORES 2 /* that such a job takes on average */

/*
 * Long-running tasks fill the shards unequally, as the first jobs come at once.
 * Short urgent jobs come at a rate that all shards together can serve: no shard
 * gets more than its long-running tasks leave.
 */
static void test_urgent_jobs_beside_long_running(void **state)
{
	static const gh_shard_load_t loads[SHARDS] = {
		{ .total = { 15136000, 60544 },
		  .long_running = { 14483000, 27858 } },
		{ .total = { 16320000, 65280 },
		  .long_running = { 11445000, 23820 } },
		{ .total = { 18624000, 74496 },
		  .long_running = { 15475000, 31830 } },
	};
	gh_balance_t *balance = gh_balance_new(SHARDS);
	demand_t job = { 0, 1, 1, 1, false };
	uint32_t cores[SHARDS] = { 0 };
	uint32_t i;

	(void)state;
	for (i = 0; i < SHARDS; i++)
		report(balance, i, &loads[i], 0);
	for (i = 0; i < URGENT_JOBS; i++)
		cores[choose(balance, &job, i, i % SHARDS, STEP_MS)] +=
			URGENT_CORES;
	for (i = 0; i < SHARDS; i++) {
		int64_t left = loads[i].total.cores_milli -
			       loads[i].long_running.cores_milli;

		print_message("shard %u: %u cores wanted, %d left\n", i,
			      cores[i], (int)(left / 1000));
		assert_true(cores[i] * 1000LL <= left);
	}
	gh_balance_free(balance);
}

int main(void)
{
	static const struct CMUnitTest tests[] = {
		cmocka_unit_test(test_urgent_jobs_beside_long_running),
		cmocka_unit_test(test_job_goes_to_full_shard),
		cmocka_unit_test(test_choice),
		cmocka_unit_test(test_placed),
		cmocka_unit_test(test_hosts),
		cmocka_unit_test(test_burst),
	};

	return cmocka_run_group_tests(tests, NULL, NULL);
}
