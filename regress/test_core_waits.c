/*
 * Tests of what waits in shards: as a fleet tells it, as text, and as hosts
 * choose the shards of new jobs by it.
 */
#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <cmocka.h>
#include <string.h>

#include "core_balance.h"
#include "fleet_world.h"

#define SERVICE "svc"

/* Text. */

typedef struct word_case {
	const char *word;
	bool ok;
	int64_t wait_ms; /* of priority 1 in SERVICE */
} word_case_t;

static const word_case_t word_cases[] = {
	{ "@:0:0", true, 0 },
	{ "@1,70,svc:50:10000", true, 5000 },
	{ "@0,0,svc:50:10000", true, 5000 },
	{ "@2,0,svc:50:10000", true, 0 },
	{ "@1,0,other:50:10000", true, 0 },
	{ "@1,0,svc:50:0", true, 0 },
	{ "@1,0,svc:1000000000000:1", true, INT64_C(1000000000000000000) },
	{ "@1,0,svc:1000000000001:1", false, 0 },
	{ "@1,0,svc:-1:10000", false, 0 },
	{ "@1b,0,svc:50:10000", true, 0 },
	{ "@b,0,svc:50:10000", false, 0 },
	{ "@x,0,svc:50:10000", false, 0 },
	{ "@1,0,:50:10000", false, 0 },
	{ "@1,svc:50:10000", false, 0 },
	{ "@1,0,svc:50", false, 0 },
	{ "svc:50:10000", false, 0 },
	{ "", false, 0 },
};

static void test_words(void **state)
{
	size_t i;

	(void)state;
	for (i = 0; i < G_N_ELEMENTS(word_cases); i++) {
		const word_case_t *c = &word_cases[i];
		gh_wait_queue_t queue = { SERVICE, 1, false };
		gh_waits_t waits = { 0 };

		print_message("%s\n", c->word);
		assert_int_equal(gh_waits_parse(&waits, c->word), c->ok);
		assert_int_equal(gh_waits_ms(&waits, &queue), c->wait_ms);
	}
}

static void test_text(void **state)
{
	gh_waits_t waits = { .told = true };
	GString *text = g_string_new("h0 1 2 3 4");
	gh_wait_queue_t queue = { SERVICE, 0, false };
	uint32_t i;

	(void)state;
	for (i = 0; i < GH_WAITS_MAX; i++) {
		queue.priority = i;
		assert_non_null(gh_waits_get(&waits, &queue));
		assert_int_equal(waits.n, i + 1);
		assert_non_null(gh_waits_get(&waits, &queue));
	}
	queue.priority = i;
	assert_null(gh_waits_get(&waits, &queue));
	waits.n = 2;
	waits.all[1].best_effort = true;
	waits.all[0].ready_core_s = 50;
	waits.all[0].later_core_s = 70;
	waits.all[0].rate_milli = 10000;
	gh_waits_append(&waits, text);
	assert_string_equal(text->str, "h0 1 2 3 4 @:0:0 @0,70,svc:50:10000 "
				       "@1b,0,svc:0:0");
	g_string_free(text, TRUE);
}

/* A fleet with 4 cores and jobs of 1 s. */

typedef struct tell_case {
	const char *name;
	uint32_t tasks;
	uint32_t later_tasks;
	int64_t wait_ms; /* before the wait is told */
	int64_t ready_core_s, later_core_s, told_ms;
	bool long_running, best_effort;
} tell_case_t;

static const tell_case_t tell_cases[] = {
	{ "all fit", 4, 0, 500, 0, 0, 0, false, false },
	{ "later tasks only", 4, 8, 500, 0, 0, 0, false, false },
	{ "tasks wait", 40, 0, 500, 36, 0, 9000, false, false },
	{ "tasks wait, and others for them", 40, 10, 500, 36, 10, 9000, false,
	  false },
	{ "the job is late", 40, 10, 6000, 0, 0, 0, false, false },
	{ "long-running tasks wait", 40, 0, 500, 0, 0, 0, true, false },
	{ "best-effort tasks wait", 40, 0, 500, 37, 0, 12333, false, true },
};

static void test_fleet_tells(void **state)
{
	size_t i;

	(void)state;
	for (i = 0; i < G_N_ELEMENTS(tell_cases); i++) {
		const tell_case_t *c = &tell_cases[i];
		gh_queue_policy_t policy = { .name = "q",
					     .priority = 1,
					     .stretch_milli = 2000,
					     .target_ms = 1000 };
		gh_step_t steps[2] = { one_task, one_task };
		gh_wait_queue_t queue = { SERVICE, 1, c->best_effort };
		gh_shard_load_t load;
		gh_pipeline_t *job = g_new0(gh_pipeline_t, 1);
		world_t w;

		print_message("%s\n", c->name);
		world_init(&w);
		gh_fleet_queue_set(w.fleet, &policy);
		add_worker(&w, "w1", 4000);
		w.workers[0].stalled = true;
		advance_time(&w, 500);
		steps[0].tasks = c->tasks;
		steps[0].long_running = c->long_running;
		steps[0].best_effort = c->best_effort;
		steps[1].tasks = c->later_tasks;
		steps[1].depends_on = 1;
		g_strlcpy(job->id, "0000000000000001", sizeof(job->id));
		g_strlcpy(job->queue, "q", sizeof(job->queue));
		g_strlcpy(job->service, SERVICE, sizeof(job->service));
		job->attempts = 1;
		job->accepted_ms = w.wall_ms;
		job->n_steps = c->later_tasks ? 2 : 1;
		job->steps = g_memdup2(steps, job->n_steps * sizeof(*steps));
		job->payload = g_strdup("");
		assert_true(gh_fleet_job_add(w.fleet, job, NULL, NULL));
		advance_time(&w, c->wait_ms);
		gh_fleet_load(w.fleet, &load, w.now);
		assert_true(load.waits.told);
		assert_int_equal(load.waits.n, c->ready_core_s ? 1 : 0);
		assert_int_equal(load.waits.all[0].ready_core_s,
				 c->ready_core_s);
		assert_int_equal(load.waits.all[0].later_core_s,
				 c->later_core_s);
		if (c->ready_core_s)
			assert_int_equal(gh_waits_ms(&load.waits, &queue),
					 c->told_ms);
		world_clear(&w);
	}
}

/* Shares of two shards of 100 cores. */

#define SHARDS 2
#define CHOICES 2000
#define PERCENT_ERROR_MAX 4 /* three standard deviations of 2000 choices */

typedef struct level_case {
	const char *name;
	int64_t waits_ms[SHARDS]; /* -1: not told, -2: load unknown */
	uint32_t told_priority, priority;
	int64_t heard_age_ms, report_age_ms;
	uint32_t expected_percent; /* of jobs that go to shard 0 */
	bool told_best_effort, best_effort;
} level_case_t;

static const level_case_t level_cases[] = {
	{ "nothing waits", { 0, 0 }, 1, 1, 500, 500, 50, false, false },
	{ "both wait alike", { 3000, 3000 }, 1, 1, 500, 500, 50, false, false },
	{ "one waits", { 2500, 0 }, 1, 1, 500, 500, 37, false, false },
	{ "one waits for long",
	  { 0, 20000 },
	  1,
	  1,
	  500,
	  500,
	  100,
	  false,
	  false },
	{ "less urgent work waits",
	  { 0, 20000 },
	  2,
	  1,
	  500,
	  500,
	  50,
	  false,
	  false },
	{ "more urgent work waits",
	  { 0, 20000 },
	  0,
	  1,
	  500,
	  500,
	  100,
	  false,
	  false },
	{ "a former version beside",
	  { -1, 20000 },
	  1,
	  1,
	  500,
	  500,
	  50,
	  false,
	  false },
	{ "an owner lost", { -2, 20000 }, 1, 1, 500, 500, 0, false, false },
	{ "an owner silent, its load old",
	  { 0, 2500 },
	  1,
	  1,
	  500,
	  3500,
	  56,
	  false,
	  false },
	{ "an owner silent for long",
	  { 0, 20000 },
	  1,
	  1,
	  500,
	  6000,
	  50,
	  false,
	  false },
	{ "calm, told long ago", { 0, 0 }, 1, 1, 500, 60000, 50, false, false },
	{ "the store away", { 0, 20000 }, 1, 1, 6000, 6000, 50, false, false },
	{ "a best-effort job, nothing waits",
	  { 0, 0 },
	  1,
	  1,
	  500,
	  500,
	  0,
	  true,
	  true },
	{ "a best-effort job, others wait",
	  { 0, 2500 },
	  1,
	  1,
	  500,
	  500,
	  0,
	  false,
	  true },
	{ "a best-effort job, such wait",
	  { 0, 2500 },
	  1,
	  1,
	  500,
	  500,
	  62,
	  true,
	  true },
	{ "a best-effort job, an owner lost",
	  { -2, 2500 },
	  1,
	  1,
	  500,
	  500,
	  0,
	  true,
	  true },
	{ "best-effort tasks wait, a job of others",
	  { 0, 20000 },
	  1,
	  1,
	  500,
	  500,
	  50,
	  true,
	  false },
};

static gh_shard_load_t load_with_wait(int64_t wait_ms, uint32_t priority,
				      bool best_effort)
{
	gh_wait_queue_t queue = { SERVICE, priority, best_effort };
	gh_shard_load_t load = { .total = { 100000, 100 },
				 .waits = { .told = wait_ms >= 0 } };
	gh_wait_t *wait;

	if (wait_ms <= 0)
		return load;
	wait = gh_waits_get(&load.waits, &queue);
	wait->ready_core_s = wait_ms / 10;
	wait->rate_milli = 100000;
	return load;
}

static uint32_t choose(gh_balance_t *balance, uint32_t number,
		       const gh_wait_queue_t *queue, gh_time_t heard_at,
		       gh_time_t now)
{
	gh_step_t step = one_task;
	gh_pipeline_t job = { .service = SERVICE,
			      .n_steps = 1,
			      .steps = &step };
	gh_balance_query_t query = { .hashed = 1,
				     .priority = queue->priority,
				     .heard_at = heard_at };

	step.best_effort = queue->best_effort;
	g_snprintf(job.id, sizeof(job.id), "%016x", number);
	return gh_balance_choose(balance, &job, &query, now);
}

static void test_levels(void **state)
{
	size_t i;

	(void)state;
	for (i = 0; i < G_N_ELEMENTS(level_cases); i++) {
		const level_case_t *c = &level_cases[i];
		gh_time_t now = 100 * GH_USEC_PER_SEC;
		gh_balance_t *balance = gh_balance_new(SHARDS);
		gh_wait_queue_t queue = { SERVICE, c->priority,
					  c->best_effort };
		uint32_t chosen = 0;
		uint32_t j;

		for (j = 0; j < SHARDS; j++) {
			gh_shard_load_t load =
				load_with_wait(c->waits_ms[j], c->told_priority,
					       c->told_best_effort);

			gh_balance_report(
				balance, j, c->waits_ms[j] == -2 ? NULL : &load,
				now - gh_time_from_ms(c->report_age_ms));
		}
		for (j = 0; j < CHOICES; j++)
			chosen += !choose(
				balance, j, &queue,
				now - gh_time_from_ms(c->heard_age_ms), now);
		gh_balance_free(balance);
		print_message("%s: %u %%\n", c->name, chosen * 100 / CHOICES);
		assert_in_range(chosen * 100 / CHOICES + PERCENT_ERROR_MAX,
				c->expected_percent,
				c->expected_percent + 2 * PERCENT_ERROR_MAX);
	}
}

/*
 * Two shards of 100 cores, each a queue in order of arrival, get 1.1 times the
 * work that they can do; one begins with 8 s of work.  Counted are the jobs
 * that wait for less than the objective.
 */
#define FLOW_MS 30000
#define FLOW_ARRIVAL_MS 20
#define FLOW_JOB_CORE_MS 4400
#define FLOW_HOSTS 30
#define FLOW_OBJECTIVE_MS 6000
#define FLOW_FIRST_MS 8000
#define FLOW_HISTORY 200

typedef struct flow_case {
	const char *name;
	int64_t delay_ms; /* age of what hosts know */
	int64_t silent_from_ms, silent_until_ms;
	uint32_t silent_shards; /* bit mask */
	uint32_t in_time_min, in_time_max;
	bool told;
} flow_case_t;

static const flow_case_t flow_cases[] = {
	{ "not told", 500, 0, 0, 0, 700, 850, false },
	{ "told 0.5 s ago", 500, 0, 0, 0, 950, 1500, true },
	{ "told 1.5 s ago", 1500, 0, 0, 0, 950, 1500, true },
	{ "told 3 s ago", 3000, 0, 0, 0, 850, 1500, true },
	{ "an owner silent", 500, 4000, 12000, 1, 850, 1500, true },
	{ "the store away", 500, 4000, 12000, 3, 850, 1500, true },
};

static uint32_t count_in_time(const flow_case_t *c)
{
	gh_balance_t *hosts[FLOW_HOSTS];
	int64_t history[FLOW_HISTORY][SHARDS];
	int64_t queues[SHARDS] = { FLOW_FIRST_MS, 0 };
	gh_wait_queue_t queue = { SERVICE, 1, false };
	gh_time_t heard_at = GH_USEC_PER_SEC;
	uint32_t in_time = 0;
	uint32_t n = 0;
	int64_t at;
	uint32_t i;

	for (i = 0; i < FLOW_HOSTS; i++)
		hosts[i] = gh_balance_new(SHARDS);
	for (at = 0; at < FLOW_MS; at += FLOW_ARRIVAL_MS, n++) {
		gh_time_t now = GH_USEC_PER_SEC + gh_time_from_ms(at);
		int64_t seen =
			MAX(n - c->delay_ms / FLOW_ARRIVAL_MS, INT64_C(0));
		bool silent =
			at >= c->silent_from_ms && at < c->silent_until_ms;
		uint32_t chosen;

		for (i = 0; i < SHARDS; i++) {
			history[n % FLOW_HISTORY][i] = queues[i];
			queues[i] = MAX(queues[i] - FLOW_ARRIVAL_MS, 0);
		}
		if (!silent || c->silent_shards != 3)
			heard_at = now;
		for (i = 0; i < SHARDS * FLOW_HOSTS && n % 25 == 0; i++) {
			uint32_t shard = i % SHARDS;
			gh_shard_load_t load = load_with_wait(
				history[seen % FLOW_HISTORY][shard], 1, false);

			load.waits.told = c->told;
			if (!silent || !(c->silent_shards & 1u << shard))
				gh_balance_report(hosts[i / SHARDS], shard,
						  &load, now);
		}
		chosen =
			choose(hosts[n % FLOW_HOSTS], n, &queue, heard_at, now);
		in_time += queues[chosen] < FLOW_OBJECTIVE_MS;
		queues[chosen] += FLOW_JOB_CORE_MS / 100;
	}
	for (i = 0; i < FLOW_HOSTS; i++)
		gh_balance_free(hosts[i]);
	return in_time;
}

static void test_jobs_in_time(void **state)
{
	size_t i;

	(void)state;
	for (i = 0; i < G_N_ELEMENTS(flow_cases); i++) {
		const flow_case_t *c = &flow_cases[i];
		uint32_t n = count_in_time(c);

		print_message("%s: %u of %u jobs in time\n", c->name, n,
			      FLOW_MS / FLOW_ARRIVAL_MS);
		assert_in_range(n, c->in_time_min, c->in_time_max);
	}
}

int main(void)
{
	static const struct CMUnitTest tests[] = {
		cmocka_unit_test(test_words),
		cmocka_unit_test(test_text),
		cmocka_unit_test(test_fleet_tells),
		cmocka_unit_test(test_levels),
		cmocka_unit_test(test_jobs_in_time),
	};

	return cmocka_run_group_tests(tests, NULL, NULL);
}
