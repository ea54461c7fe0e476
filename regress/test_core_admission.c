/*
 * Tests of the refusal of jobs that can't be of use: single cases, and loads
 * that count what callers get.
 */
#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <cmocka.h>
#include <string.h>

#include "core_admission.h"

#define WALL_MS 5000000
#define OBJECTIVE_MS 3000 /* of the policy, for an estimate of 1 s */
/* Ids whose turn is at WALL_MS, and is not. */
#define ID_TURN "0000000000000003"
#define ID_NO_TURN "0000000000000000"

typedef struct judge_case {
	const char *name;
	int64_t wait_ms, age_ms;
	int64_t estimate_ms; /* objective: twice this and 1 s */
	uint32_t tasks;
	bool has_turn, long_running, timed;
	gh_admission_reason_t expected;
} judge_case_t;

static const judge_case_t judge_cases[] = {
	{ "nothing waits", 0, 100, 1000, 1, false, false, false,
	  GH_ADMISSION_USEFUL },
	{ "late, but of use", 6000, 100, 1000, 1, false, false, false,
	  GH_ADMISSION_USEFUL },
	{ "just of use", 8000, 100, 1000, 1, false, false, false,
	  GH_ADMISSION_USEFUL },
	{ "hopeless", 8010, 100, 1000, 1, false, false, false,
	  GH_ADMISSION_LATE },
	{ "large and hopeless", 8010, 100, 1000, 20000, false, false, false,
	  GH_ADMISSION_LATE },
	{ "large, and of use", 8000, 100, 1000, 20000, false, false, false,
	  GH_ADMISSION_USEFUL },
	{ "long, and of use", 8010, 100, 2000, 1, false, false, false,
	  GH_ADMISSION_USEFUL },
	{ "hopeless, its turn", 8010, 100, 1000, 1, true, false, false,
	  GH_ADMISSION_TURN },
	{ "beyond its turn", 10260, 100, 1000, 1, true, false, false,
	  GH_ADMISSION_LATE },
	{ "what waits is not told", -1, 100, 1000, 1, false, false, false,
	  GH_ADMISSION_UNKNOWN },
	{ "told long ago: an owner lost, the store away", 900000, 3001, 1000, 1,
	  false, false, false, GH_ADMISSION_UNKNOWN },
	{ "told a while ago", 900000, 3000, 1000, 1, false, false, false,
	  GH_ADMISSION_LATE },
	{ "no estimate", 900000, 100, 0, 1, false, false, false,
	  GH_ADMISSION_NO_ESTIMATE },
	{ "an absurd estimate", 900000, 100, INT64_MAX / 4, 1, false, false,
	  false, GH_ADMISSION_USEFUL },
	{ "lasting", 900000, 100, 1000, 1, false, true, false,
	  GH_ADMISSION_NO_ESTIMATE },
	{ "timed", 900000, 100, 1000, 1, false, false, true,
	  GH_ADMISSION_NO_ESTIMATE },
};

static const gh_queue_policy_t policy = { .stretch_milli = 2000,
					  .target_ms = 1000 };

static void judge(const char *id, const gh_step_t *step, int64_t wait_ms,
		  int64_t age_ms, int64_t wall_ms, int64_t limit_milli,
		  gh_admission_verdict_t *verdict)
{
	gh_step_t steps[1] = { *step };
	gh_pipeline_t job = { .n_steps = 1, .steps = steps };
	gh_admission_state_t state = { .job = &job,
				       .policy = &policy,
				       .wait_ms = wait_ms,
				       .age = gh_time_from_ms(age_ms),
				       .wall_ms = wall_ms,
				       .limit_milli = limit_milli };

	g_strlcpy(job.id, id, sizeof(job.id));
	gh_admission_judge(&state, verdict);
}

static void test_judge(void **state)
{
	size_t i;

	(void)state;
	for (i = 0; i < G_N_ELEMENTS(judge_cases); i++) {
		const judge_case_t *c = &judge_cases[i];
		gh_step_t step = { .tasks = c->tasks,
				   .size = { .cores_milli = 1000 },
				   .estimate_ms = c->estimate_ms,
				   .long_running = c->long_running };
		gh_pipeline_t job = { .n_steps = 1,
				      .steps = &step,
				      .occurrences = c->timed ? 3 : 0 };
		gh_admission_state_t s = { .job = &job,
					   .policy = &policy,
					   .wait_ms = c->wait_ms,
					   .age = gh_time_from_ms(c->age_ms),
					   .wall_ms = WALL_MS,
					   .limit_milli = 3000 };
		gh_admission_verdict_t verdict;

		print_message("%s\n", c->name);
		g_strlcpy(job.id, c->has_turn ? ID_TURN : ID_NO_TURN,
			  sizeof(job.id));
		gh_admission_judge(&s, &verdict);
		print_message("  %s\n",
			      gh_admission_reason_name(verdict.reason));
		assert_int_equal(verdict.reason, c->expected);
		assert_int_equal(gh_admission_is_refusal(&verdict),
				 c->expected == GH_ADMISSION_LATE);
		assert_true(gh_admission_is_refusal(&verdict) ==
			    (verdict.retry_after_ms > 0));
	}
}

/* Refused at once, callers come back spread, and none before there is room. */
#define SPREAD_JOBS 1000
#define SPREAD_BINS 8

static void test_spread(void **state)
{
	gh_step_t step = { .tasks = 1, .estimate_ms = 1000 };
	uint32_t bins[SPREAD_BINS] = { 0 };
	uint32_t n = 0;
	uint32_t i;

	(void)state;
	for (i = 0; i < SPREAD_JOBS; i++) {
		gh_admission_verdict_t verdict;
		char id[GH_JOB_ID_MAX + 1];

		g_snprintf(id, sizeof(id), "%016x", i * 2654435761u);
		judge(id, &step, 20000, 0, WALL_MS, 3000, &verdict);
		if (!gh_admission_is_refusal(&verdict))
			continue;
		n++;
		assert_in_range(verdict.retry_after_ms, 12000, 20000);
		bins[MIN((verdict.retry_after_ms - 12000) / 1000,
			 SPREAD_BINS - 1)]++;
		/* In its turn it is preferred to those who come first. */
		judge(id, &step, 9000, 0, WALL_MS + verdict.retry_after_ms,
		      3000, &verdict);
		assert_int_equal(verdict.reason, GH_ADMISSION_TURN);
	}
	assert_int_equal(n, SPREAD_JOBS);
	for (i = 0; i < SPREAD_BINS; i++)
		assert_in_range(bins[i], 0, n / 2);
}

/*
 * One queue, worked on as core_fleet_plan.c orders it: jobs in time before late
 * ones, the oldest first.  Of two sizes of jobs each brings half of the work.
 * A job is served if it ends before three objectives.  Refused callers return
 * once.
 */
#define LOAD_MS 40000
#define LOAD_ARRIVAL_MS 10
#define LOAD_JOBS (LOAD_MS / LOAD_ARRIVAL_MS)
#define LOAD_STEP_MS 20
#define LOAD_LARGE 10 /* each such one is so many times as large */
#define LOAD_END_MS (LOAD_MS + 30000)

typedef struct load_case {
	const char *name;
	double pressure; /* work that comes, in parts of what can be done */
	int64_t age_ms;	 /* of what is known */
	/* The queue is not known from the first to the second. */
	int64_t unknown_from_ms, unknown_until_ms;
	int64_t limit_milli;
	uint32_t refused_min, refused_max;
	/* Parts of the work that are served, without and with refusals. */
	uint32_t percent_max, percent_min;
	bool even; /* of the large as many are served as of all, or half */
} load_case_t;

static const load_case_t load_cases[] = {
	{ "calm", 0.8, 500, 0, 0, 800, 0, 0, 100, 100, true },
	{ "full", 1.5, 500, 0, 0, 800, 1000, 3000, 60, 65, true },
	{ "twice what can be done", 2, 500, 0, 0, 800, 2000, 3500, 35, 45,
	  true },
	{ "five times what can be done", 5, 500, 0, 0, 800, 3000, 4000, 5, 14,
	  true },
	{ "the same, only hopeless work", 5, 500, 0, 0, 3000, 1000, 3000, 5, 5,
	  false },
	{ "the same, known late", 5, 2500, 0, 0, 800, 2000, 3500, 5, 8, true },
	{ "the same, an owner lost", 5, 500, 20000, 30000, 800, 2000, 3500, 5,
	  10, true },
	{ "the same, the store away", 5, 500, 0, LOAD_END_MS, 800, 0, 0, 5, 0,
	  false },
};

typedef struct load_job {
	int64_t due_ms; /* when it is handed in */
	double work_ms, left_ms;
	bool large, in_queue, returned, ended;
} load_job_t;

typedef struct load_result {
	uint32_t served, refused, large, large_served;
	double work_ms, served_ms; /* of all jobs, of those served */
} load_result_t;

static int64_t first_ms(uint32_t job)
{
	return (int64_t)job * LOAD_ARRIVAL_MS;
}

/* Hands in a job, which may be sent away for some time. */
static void hand_in(const load_case_t *c, load_job_t *job, uint32_t number,
		    int64_t wait_ms, int64_t now, load_result_t *r)
{
	gh_step_t step = { .tasks = job->large ? LOAD_LARGE : 1,
			   .estimate_ms = 1000 };
	bool unknown = now >= c->unknown_from_ms && now < c->unknown_until_ms;
	gh_admission_verdict_t verdict;
	char id[GH_JOB_ID_MAX + 1];

	g_snprintf(id, sizeof(id), "%016x", number * 2654435761u);
	judge(id, &step, wait_ms, unknown ? 10000 : c->age_ms, WALL_MS + now,
	      c->limit_milli, &verdict);
	job->in_queue = !gh_admission_is_refusal(&verdict);
	if (job->in_queue)
		return;
	r->refused += !job->returned;
	job->ended = job->returned;
	job->returned = true;
	job->due_ms = now + verdict.retry_after_ms;
}

/* Works on the queue for a step. */
static void work(load_job_t *jobs, int64_t now, load_result_t *r)
{
	double left_ms = LOAD_STEP_MS;
	int late;
	uint32_t i;

	for (late = 0; late < 2; late++)
		for (i = 0; i < LOAD_JOBS && left_ms > 0; i++) {
			load_job_t *job = &jobs[i];
			int64_t age = now - first_ms(i);
			double part;

			if (!job->in_queue || job->ended ||
			    (age > OBJECTIVE_MS) != late)
				continue;
			part = MIN(job->left_ms, left_ms);
			left_ms -= part;
			job->left_ms -= part;
			if (job->left_ms > 0)
				continue;
			job->ended = true;
			if (age > 3 * OBJECTIVE_MS)
				continue;
			r->served++;
			r->large_served += job->large;
			r->served_ms += job->work_ms;
		}
}

static void play_load(const load_case_t *c, bool refuses, load_result_t *r)
{
	load_job_t *jobs = g_new0(load_job_t, LOAD_JOBS);
	double *waits = g_new0(double, LOAD_END_MS / LOAD_STEP_MS);
	int64_t now;
	uint32_t i;

	*r = (load_result_t){ 0 };
	for (i = 0; i < LOAD_JOBS; i++) {
		jobs[i].due_ms = first_ms(i);
		jobs[i].large = i % (LOAD_LARGE + 1) == 0;
		jobs[i].work_ms = LOAD_ARRIVAL_MS * c->pressure *
				  (LOAD_LARGE + 1) / (2 * LOAD_LARGE) *
				  (jobs[i].large ? LOAD_LARGE : 1);
		jobs[i].left_ms = jobs[i].work_ms;
		r->work_ms += jobs[i].work_ms;
		r->large += jobs[i].large;
	}
	for (now = 0; now < LOAD_END_MS; now += LOAD_STEP_MS) {
		int64_t told = MAX(now - c->age_ms, 0) / LOAD_STEP_MS;
		double *wait = &waits[now / LOAD_STEP_MS];

		for (i = 0; i < LOAD_JOBS; i++)
			if (jobs[i].in_queue && !jobs[i].ended &&
			    now - first_ms(i) <= OBJECTIVE_MS)
				*wait += jobs[i].left_ms;
		for (i = 0; i < LOAD_JOBS; i++)
			if (!jobs[i].in_queue && !jobs[i].ended &&
			    now >= jobs[i].due_ms)
				hand_in(c, &jobs[i], i,
					refuses ? (int64_t)waits[told] : 0, now,
					r);
		work(jobs, now, r);
	}
	g_free(jobs);
	g_free(waits);
}

static uint32_t percent(const load_result_t *r)
{
	return (uint32_t)(r->served_ms / r->work_ms * 100 + 0.5);
}

static void test_loads(void **state)
{
	size_t i;

	(void)state;
	for (i = 0; i < G_N_ELEMENTS(load_cases); i++) {
		const load_case_t *c = &load_cases[i];
		load_result_t without, with;

		play_load(c, false, &without);
		play_load(c, true, &with);
		print_message("%s: %u jobs, %u %% of work and %u of %u large "
			      "served; with %u refused %u, %u %%, %u\n",
			      c->name, without.served, percent(&without),
			      without.large_served, without.large, with.refused,
			      with.served, percent(&with), with.large_served);
		assert_in_range(with.refused, c->refused_min, c->refused_max);
		assert_in_range(percent(&without), 0, c->percent_max);
		assert_in_range(percent(&with), c->percent_min, 100);
		if (c->even)
			assert_in_range(with.large_served * 2 * LOAD_JOBS,
					with.served * with.large, UINT32_MAX);
	}
}

int main(void)
{
	static const struct CMUnitTest tests[] = {
		cmocka_unit_test(test_judge),
		cmocka_unit_test(test_spread),
		cmocka_unit_test(test_loads),
	};

	return cmocka_run_group_tests(tests, NULL, NULL);
}
