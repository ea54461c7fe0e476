/*
 * Tests of learned run times: how far estimates are off under declared times
 * that are wrong in several ways, their text form, and their use by the fleet
 * for order and copies.
 */
#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <stdint.h>

#include <cmocka.h>
#include <math.h>
#include <string.h>

#include "core_run_time.h"
#include "fleet_world.h"

#define STEPS 40 /* steps that are learned from */
#define TASKS 10 /* tasks of a step */
#define TRIALS 400

/* Steps whose run times vary by spread, as natural logarithms. */
typedef struct source {
	double median_ms, spread, task_spread;
	double bias, error; /* of the declared over the actual time */
} source_t;

typedef enum source_kind {
	NO_SOURCE,
	EXACT,
	ROUGH,
	FAR_OFF,
	TOO_LOW,
	TOO_HIGH,
	ONE_LENGTH
} source_kind_t;

static const source_t sources[] = {
	[NO_SOURCE] = { 0, 0, 0, 0, 0 },
	[EXACT] = { 1000, 0.5, 0.1, 0, 0 },
	[ROUGH] = { 800, 0.5, 0.15, 0, 0.2 },
	[FAR_OFF] = { 2700, 0.5, 0.3, 0, 0.9 },
	[TOO_LOW] = { 2700, 0.5, 0.1, -1.2, 0.1 },
	[TOO_HIGH] = { 900, 0.5, 0.1, 1.5, 0.1 },
	[ONE_LENGTH] = { 1500, 0, 0.1, 0.7, 0 },
};

typedef struct accuracy_case {
	const char *name;
	/* What is learned first, and then; trials are drawn from the latter. */
	source_kind_t before, now;
	uint32_t steps_before, steps;
	/*
	 * Mean error of the logarithm: at most this, and this share of the
	 * declared time's.
	 */
	double max_error, max_share;
} accuracy_case_t;

static const accuracy_case_t accuracy_cases[] = {
	{ .name = "exact",
	  .now = EXACT,
	  .steps = STEPS,
	  .max_error = 0.12,
	  .max_share = 1.3 },
	{ .name = "rough",
	  .now = ROUGH,
	  .steps = STEPS,
	  .max_error = 0.25,
	  .max_share = 1.1 },
	{ .name = "far off",
	  .now = FAR_OFF,
	  .steps = STEPS,
	  .max_error = 0.55,
	  .max_share = 0.7 },
	{ .name = "far off, few steps",
	  .now = FAR_OFF,
	  .steps = 5,
	  .max_error = 0.7,
	  .max_share = 0.9 },
	{ .name = "too low",
	  .now = TOO_LOW,
	  .steps = STEPS,
	  .max_error = 0.25,
	  .max_share = 0.25 },
	{ .name = "too high, few steps",
	  .now = TOO_HIGH,
	  .steps = 5,
	  .max_error = 0.6,
	  .max_share = 0.5 },
	{ .name = "one length",
	  .now = ONE_LENGTH,
	  .steps = STEPS,
	  .max_error = 0.15,
	  .max_share = 0.25 },
	{ .name = "nothing learned",
	  .now = FAR_OFF,
	  .max_error = 0.9,
	  .max_share = 1.001 },
	{ .name = "changed to exact",
	  .before = TOO_LOW,
	  .now = EXACT,
	  .steps_before = 2 * STEPS,
	  .steps = 6 * STEPS,
	  .max_error = 0.15,
	  .max_share = 1.6 },
	{ .name = "changed to too high",
	  .before = EXACT,
	  .now = TOO_HIGH,
	  .steps_before = 2 * STEPS,
	  .steps = 2 * STEPS,
	  .max_error = 0.4,
	  .max_share = 0.3 },
};

static double normal(GRand *rand)
{
	double sum = 0;
	int i;

	for (i = 0; i < 12; i++)
		sum += g_rand_double(rand);
	return sum - 6;
}

static double draw_step(GRand *rand, const source_t *source,
			int64_t *declared_ms)
{
	double log_ms = log(source->median_ms) + source->spread * normal(rand);

	*declared_ms = (int64_t)exp(log_ms + source->bias +
				    source->error * normal(rand)) +
		       1;
	return log_ms;
}

static int64_t draw_run_ms(GRand *rand, const source_t *source, double log_ms)
{
	return (int64_t)exp(log_ms + source->task_spread * normal(rand)) + 1;
}

/* Logarithm of the time of the longest of TASKS tasks. */
static double draw_longest(GRand *rand, const source_t *source, double log_ms)
{
	int64_t longest_ms = 0;
	int i;

	for (i = 0; i < TASKS; i++)
		longest_ms = MAX(longest_ms, draw_run_ms(rand, source, log_ms));
	return log((double)longest_ms);
}

static void learn(gh_run_times_t *times, GRand *rand, const source_t *source,
		  uint32_t steps)
{
	uint32_t i, j;

	for (i = 0; i < steps; i++) {
		int64_t declared_ms;
		double log_ms = draw_step(rand, source, &declared_ms);

		double sum = 0;

		for (j = 0; j < TASKS; j++) {
			gh_run_sample_t sample = {
				.declared_ms = declared_ms,
				.actual_ms = draw_run_ms(rand, source, log_ms),
				.weight = 1.0 / TASKS,
				.n_before = j,
				.log_mean_before = j ? sum / j : 0,
			};

			sum += log((double)sample.actual_ms);
			gh_run_times_observe(times, "q", i % 2 ? "a" : "b",
					     &sample);
		}
	}
}

static void test_accuracy(void **state)
{
	size_t i;
	int j;

	(void)state;
	for (i = 0; i < G_N_ELEMENTS(accuracy_cases); i++) {
		const accuracy_case_t *c = &accuracy_cases[i];
		const source_t *now = &sources[c->now];
		gh_run_times_t *times = gh_run_times_new();
		GRand *rand = g_rand_new_with_seed((guint32)i + 1);
		double error = 0;
		double declared_error = 0;
		double over_tail = 0;
		double longest = 0;

		learn(times, rand, &sources[c->before], c->steps_before);
		learn(times, rand, now, c->steps);
		for (j = 0; j < TRIALS; j++) {
			gh_run_estimate_t estimate;
			int64_t declared_ms;
			double log_ms = draw_step(rand, now, &declared_ms);
			int64_t run_ms = draw_run_ms(rand, now, log_ms);
			bool learned = gh_run_time_estimate(
				times, "q", j % 2 ? "a" : "b", declared_ms,
				&estimate);

			assert_int_equal(learned, c->steps > 0);
			assert_true(estimate.tail_ms >= estimate.expected_ms);
			longest += log((double)gh_run_estimate_longest_ms(
					   &estimate, TASKS)) -
				   draw_longest(rand, now, log_ms);
			error += fabs(estimate.log_mean - log((double)run_ms));
			declared_error +=
				fabs(log((double)declared_ms / (double)run_ms));
			over_tail += run_ms > estimate.tail_ms;
		}
		error /= TRIALS;
		declared_error /= TRIALS;
		over_tail /= TRIALS;
		longest /= TRIALS;
		if (error > c->max_error ||
		    error > declared_error * c->max_share ||
		    (c->steps >= STEPS &&
		     (over_tail > 0.12 || fabs(longest) > 0.25)))
			fail_msg("%s: error %.3f, declared %.3f, "
				 "over the tail %.3f, longest %+.3f",
				 c->name, error, declared_error, over_tail,
				 longest);
		g_rand_free(rand);
		gh_run_times_free(times);
	}
}

/* The first runs of a step tell more than what other steps took. */
static void test_narrowed_by_own_runs(void **state)
{
	static const struct {
		int64_t declared_ms;
		uint32_t n;
		int64_t run_ms, min_ms, max_ms;
	} cases[] = {
		{ 1000, 0, 5000, 1000, 1000 },	{ 1000, 1, 5000, 1500, 4500 },
		{ 1000, 10, 5000, 4000, 5500 }, { 1000, 10, 100, 90, 150 },
		{ 0, 0, 5000, 0, 0 },		{ 0, 1, 5000, 4500, 6000 },
	};
	gh_run_times_t *times = gh_run_times_new();
	size_t i;

	(void)state;
	for (i = 0; i < G_N_ELEMENTS(cases); i++) {
		gh_run_estimate_t estimate;

		gh_run_time_estimate(times, "q", "", cases[i].declared_ms,
				     &estimate);
		gh_run_estimate_narrow(&estimate, cases[i].n,
				       log((double)cases[i].run_ms));
		assert_in_range(estimate.expected_ms, cases[i].min_ms,
				cases[i].max_ms);
		assert_true(estimate.tail_ms >= estimate.expected_ms);
	}
	gh_run_times_free(times);
}

/* Values that can't be, or hardly, neither are learned from nor break it. */
static void test_odd_values(void **state)
{
	static const struct {
		int64_t declared_ms, actual_ms;
		double weight;
		bool learned;
	} cases[] = {
		{ 1000, -1, 1, false },	    { 1000, INT64_MIN, 1, false },
		{ 1000, 1000, 0, false },   { 1000, 1000, -1, false },
		{ 1000, 1000, 2, false },   { 1000, 1000, NAN, false },
		{ 1000, 0, 1, true },	    { 1000, INT64_MAX, 1, true },
		{ INT64_MAX, 1, 1, true },  { INT64_MAX, INT64_MAX, 1, true },
		{ 0, 1000, 1, true },	    { -5, 1000, 0.01, true },
		{ INT64_MIN, 10, 1, true }, { 1, INT64_MAX, 1e-9, true },
	};
	gh_run_times_t *all = gh_run_times_new();
	gh_run_estimate_t estimate;
	size_t i;

	(void)state;
	for (i = 0; i < 50 * G_N_ELEMENTS(cases); i++) {
		size_t n = i % G_N_ELEMENTS(cases);
		gh_run_sample_t sample = {
			.declared_ms = cases[n].declared_ms,
			.actual_ms = cases[n].actual_ms,
			.weight = cases[n].weight,
			.n_before = (uint32_t)i % 7,
			.log_mean_before = i % 3 ? 7 : NAN,
		};
		uint64_t version = gh_run_times_version(all);

		gh_run_times_observe(all, "q", "a", &sample);
		assert_int_equal(gh_run_times_version(all) - version,
				 cases[n].learned);
		gh_run_time_estimate(all, "q", "a", cases[n].declared_ms,
				     &estimate);
		assert_true(isfinite(estimate.log_mean));
		assert_true(isfinite(estimate.log_deviation));
		assert_in_range(estimate.expected_ms, 1, 100000000);
		assert_in_range(estimate.tail_ms, estimate.expected_ms,
				100000000);
	}
	gh_run_times_free(all);
}

/* Names that come once displace neither each other's memory nor used ones. */
static void test_memory_is_bound(void **state)
{
	gh_run_times_t *times = gh_run_times_new();
	gh_run_sample_t sample = { .declared_ms = 1000,
				   .actual_ms = 3000,
				   .weight = 1 };
	gh_run_estimate_t estimate;
	char name[300];
	char *text;
	int i;

	(void)state;
	for (i = 0; i < 50 * GH_RUN_TIMES_MAX; i++) {
		g_snprintf(name, sizeof(name), "image %d %0250d", i, i);
		gh_run_times_observe(times, "q", name, &sample);
		gh_run_times_observe(times, "q", "used", &sample);
	}
	assert_true(gh_run_time_estimate(times, "q", "used", 1000, &estimate));
	assert_int_equal(estimate.n, 100 * GH_RUN_TIMES_MAX);
	text = gh_run_times_format(times);
	assert_true(strlen(text) < 64000);
	assert_non_null(strstr(text, "idused 6400 "));
	g_free(text);
	gh_run_times_free(times);
}

typedef struct text_case {
	const char *text;
	bool ok;
} text_case_t;

#define ENTRY \
	"qda%20b 40 4.000 6.9000 1.1000 0.5000 -0.1000 0.4000 1.645 0.0200\n"

static const text_case_t text_cases[] = {
	{ "runtimes1\n", true },
	{ "runtimes1\n" ENTRY, true },
	{ "", false },
	{ "runtimes2\n" ENTRY, false },
	{ "runtimes1\n" ENTRY ENTRY, false },
	{ "runtimes1\n" ENTRY "qdx 40 4\n", false },
	{ "runtimes1\nzdx 40 4 6.9 1.1 0.5 -0.1 0.4 1.6 0.02\n", false },
	{ "runtimes1\nqd 40 4 6.9 1.1 0.5 -0.1 0.4 1.6 0.02\n", false },
	{ "runtimes1\nqdx 40 nan 6.9 1.1 0.5 -0.1 0.4 1.6 0.02\n", false },
	{ "runtimes1\nqdx 40 4 6.9 1.1 -0.5 -0.1 0.4 1.6 0.02\n", false },
	{ "runtimes1\nqdx 40 4 6.9 1.1 0.5 inf 0.4 1.6 0.02\n", false },
	{ "runtimes1\nqdx 40 4 6.9 1.1 0.5 1e99 0.4 1.6 0.02\n", false },
};

/* The next owner of a shard reads what the previous one has learned. */
static void test_learned_text(void **state)
{
	size_t i;

	(void)state;
	for (i = 0; i < G_N_ELEMENTS(text_cases); i++) {
		gh_run_times_t *read = gh_run_times_new();
		char *text;

		assert_int_equal(gh_run_times_parse(read, text_cases[i].text),
				 text_cases[i].ok);
		text = gh_run_times_format(read);
		assert_string_equal(
			text,
			text_cases[i].ok && strchr(text_cases[i].text, '%') ?
				text_cases[i].text :
				"");
		g_free(text);
		gh_run_times_free(read);
	}
}

/* The fleet. */

#define LEARNED_JOBS 6
#define SHORT_MS 200

/* What a job's tasks meet while they run. */
typedef enum hindrance {
	HINDRANCE_NONE,
	HINDRANCE_GANG,	   /* they wait for each other */
	HINDRANCE_RESUMED, /* they have done a part before */
	HINDRANCE_FAR,	   /* they run away from their data */
	HINDRANCE_UNHEARD, /* their worker is not heard for a while */
	HINDRANCES
} hindrance_t;

static void add_queue_job(world_t *w, const char *queue, const char *id,
			  const gh_step_t *step)
{
	gh_pipeline_t *job = make_job(id, 1, step);

	g_strlcpy(job->queue, queue, sizeof(job->queue));
	job->accepted_ms = w->wall_ms;
	assert_true(gh_fleet_job_add(w->fleet, job, NULL, NULL));
}

/* Jobs that declare 50 times the time that they take, one after the other. */
static void run_short_jobs(world_t *w, const gh_step_t *step, hindrance_t kind)
{
	char id[GH_JOB_ID_MAX + 1];
	scripted_worker_t *worker = find_worker(w, "w1");
	int i;

	for (i = 0; i < LEARNED_JOBS; i++) {
		g_snprintf(id, sizeof(id), "%016x", 0x2000 + i);
		add_queue_job(w, "wrong", id, step);
		advance_time(w, 100);
		if (kind == HINDRANCE_RESUMED) {
			end_run(worker, 0, GH_RUN_STOPPED);
			advance_time(w, 100);
		}
		assert_true(worker->n_runs > 0);
		worker->unreachable = kind == HINDRANCE_UNHEARD;
		advance_time(w, SHORT_MS);
		while (worker->n_runs)
			end_run(worker, 0, GH_RUN_DONE);
		advance_time(w, kind == HINDRANCE_UNHEARD ? 600 : 10);
		worker->unreachable = false;
		advance_time(w, 100);
	}
}

static void start_queue_world(world_t *w)
{
	static const gh_queue_policy_t queues[] = {
		{ .name = "wrong",
		  .priority = 1,
		  .attempts = 3,
		  .stretch_milli = 2000 },
		{ .name = "right",
		  .priority = 1,
		  .attempts = 3,
		  .stretch_milli = 2000 },
	};
	size_t i;

	world_init(w);
	add_worker(w, "w1", 2000);
	for (i = 0; i < G_N_ELEMENTS(queues); i++)
		gh_fleet_queue_set(w->fleet, &queues[i]);
	advance_time(w, 100);
}

/* Only what sound runs took is learned. */
static void test_sound_runs_are_learned(void **state)
{
	int kind;

	(void)state;
	for (kind = 0; kind < HINDRANCES; kind++) {
		gh_step_t step = one_task;
		gh_fleet_counts_t counts;
		world_t w;

		step.estimate_ms = 50 * SHORT_MS;
		step.tasks = 2;
		step.gang = kind == HINDRANCE_GANG;
		step.checkpoints = kind == HINDRANCE_RESUMED;
		if (kind == HINDRANCE_FAR)
			g_strlcpy(step.rack, "r9", sizeof(step.rack));
		start_queue_world(&w);
		run_short_jobs(&w, &step, kind);
		gh_fleet_counts(w.fleet, &counts);
		if (kind == HINDRANCE_NONE) {
			assert_int_equal(counts.run_times, 2 * LEARNED_JOBS);
			assert_int_equal(counts.run_times_off,
					 2 * LEARNED_JOBS);
		} else if (kind == HINDRANCE_RESUMED) {
			/* The other of the two tasks was not stopped. */
			assert_int_equal(counts.run_times, LEARNED_JOBS);
		} else if (counts.run_times) {
			fail_msg("hindrance %d: %" G_GUINT64_FORMAT " learned",
				 kind, counts.run_times);
		}
		world_clear(&w);
	}
}

/*
 * Two jobs wait for one place.  The one that declares 50 times what jobs of its
 * image take has less time left than it seems, and goes first; the next owner
 * knows it, too.
 */
static void test_order_by_expected_time(void **state)
{
	static const struct {
		bool learns, hands_over;
		const char *first;
	} cases[] = {
		{ false, false, "0000000000000002" },
		{ true, false, "0000000000000001" },
		{ true, true, "0000000000000001" },
	};
	size_t i;

	(void)state;
	for (i = 0; i < G_N_ELEMENTS(cases); i++) {
		gh_step_t wrong = one_task;
		gh_step_t right = one_task;
		char *text;
		world_t w;

		wrong.estimate_ms = 50 * SHORT_MS;
		right.estimate_ms = 2000;
		wrong.size.cores_milli = right.size.cores_milli = 2000;
		g_strlcpy(wrong.image, "wrong", sizeof(wrong.image));
		start_queue_world(&w);
		if (cases[i].learns)
			run_short_jobs(&w, &wrong, HINDRANCE_NONE);
		text = gh_fleet_run_times_format(w.fleet);
		if (cases[i].hands_over) {
			world_clear(&w);
			start_queue_world(&w);
			assert_true(gh_fleet_run_times_parse(w.fleet, text));
		}
		g_free(text);
		w.n_orders = 0;
		add_queue_job(&w, "wrong", "0000000000000001", &wrong);
		add_queue_job(&w, "right", "0000000000000002", &right);
		advance_time(&w, 100);
		assert_int_equal(count_orders(&w, GH_ORDER_START, 0), 1);
		assert_string_equal(w.orders[0].task.job, cases[i].first);
		world_clear(&w);
	}
}

/*
 * A job one of whose runs failed is given the time of that run, too, and is not
 * yet late when another one that is not goes first for it.
 */
static void test_failed_run_extends_objective(void **state)
{
	gh_step_t step = one_task;
	scripted_worker_t *worker;
	world_t w;

	(void)state;
	step.estimate_ms = 1000;
	step.size.cores_milli = 2000;
	start_queue_world(&w);
	worker = find_worker(&w, "w1");
	add_queue_job(&w, "wrong", "0000000000000001", &step);
	advance_time(&w, 1000);
	list_worker(&w, worker, true);
	end_run(worker, 0, GH_RUN_FAILED);
	advance_time(&w, 1200);
	/* 2.2 s are over, of 2 s without the failed run and 4 s with it. */
	step.estimate_ms = 20000;
	add_queue_job(&w, "right", "0000000000000002", &step);
	w.n_orders = 0;
	add_worker(&w, "w2", 2000);
	advance_time(&w, 100);
	assert_int_equal(count_orders(&w, GH_ORDER_START, 0), 1);
	assert_string_equal(w.orders[0].task.job, "0000000000000001");
	world_clear(&w);
}

/* A copy is started by what runs take, not by what they declare. */
static void test_copy_by_expected_time(void **state)
{
	static const struct {
		int64_t declared_ms;
		bool learns;
		size_t starts;
	} cases[] = {
		{ 50 * SHORT_MS, false, 1 },
		{ 50 * SHORT_MS, true, 2 },
	};
	size_t i;

	(void)state;
	for (i = 0; i < G_N_ELEMENTS(cases); i++) {
		gh_step_t step = one_task;
		world_t w;

		step.estimate_ms = cases[i].declared_ms;
		step.speculative = true;
		start_queue_world(&w);
		if (cases[i].learns)
			run_short_jobs(&w, &step, HINDRANCE_NONE);
		add_worker(&w, "w2", 2000);
		advance_time(&w, 100);
		w.n_orders = 0;
		add_queue_job(&w, "wrong", "0000000000000001", &step);
		advance_time(&w, 3000);
		assert_int_equal(count_orders(&w, GH_ORDER_START, 0),
				 cases[i].starts);
		world_clear(&w);
	}
}

/* What waits is told by what runs take, too, and by when that makes it late. */
static void test_waits_by_expected_time(void **state)
{
	static const struct {
		bool learns;
		int64_t age_ms;
		int64_t min_core_s, max_core_s;
	} cases[] = {
		{ false, 0, 380, 380 },
		{ true, 0, 3, 95 },
		{ false, 15000, 380, 380 },
		{ true, 15000, 0, 0 },
	};
	size_t i;

	(void)state;
	for (i = 0; i < G_N_ELEMENTS(cases); i++) {
		gh_step_t step = one_task;
		gh_shard_load_t load;
		world_t w;

		step.estimate_ms = 50 * SHORT_MS;
		start_queue_world(&w);
		if (cases[i].learns)
			run_short_jobs(&w, &step, HINDRANCE_NONE);
		step.tasks = 40;
		w.wall_ms -= cases[i].age_ms;
		add_queue_job(&w, "wrong", "0000000000000001", &step);
		w.wall_ms += cases[i].age_ms;
		advance_time(&w, 100);
		gh_fleet_load(w.fleet, &load, w.now);
		assert_true(load.waits.told);
		assert_in_range(load.waits.all[0].ready_core_s,
				cases[i].min_core_s, cases[i].max_core_s);
		world_clear(&w);
	}
}

int main(void)
{
	static const struct CMUnitTest tests[] = {
		cmocka_unit_test(test_accuracy),
		cmocka_unit_test(test_narrowed_by_own_runs),
		cmocka_unit_test(test_odd_values),
		cmocka_unit_test(test_memory_is_bound),
		cmocka_unit_test(test_learned_text),
		cmocka_unit_test(test_sound_runs_are_learned),
		cmocka_unit_test(test_order_by_expected_time),
		cmocka_unit_test(test_failed_run_extends_objective),
		cmocka_unit_test(test_copy_by_expected_time),
		cmocka_unit_test(test_waits_by_expected_time),
	};

	return cmocka_run_group_tests(tests, NULL, NULL);
}
