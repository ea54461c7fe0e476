/*
 * Tests of the decision how long a wait for a near place pays.
 */
#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <stdint.h>

#include <cmocka.h>
#include <glib.h>
#include <math.h>

#include "core_near.h"

#define NOW (100 * GH_USEC_PER_SEC)
#define RUNS 4
#define RUN_MS 2000

typedef struct near_case {
	const char *name;
	double factor, arrivals_per_s, crowded;
	int64_t task_ms, slack_ms;
	/* Times since the near runs of RUN_MS began; -1: no run. */
	int64_t elapsed_ms[RUNS];
	uint32_t places, ahead;
	int64_t until_ms; /* deadline from NOW; 0: none */
	gh_near_reason_t reason;
} near_case_t;

static const near_case_t cases[] = {
	{ "a place is soon free",
	  3,
	  0,
	  0,
	  1000,
	  60000,
	  { 1500, 200, 100, 0 },
	  1,
	  0,
	  0,
	  GH_NEAR_WAITS },
	{ "the same, elsewhere as good",
	  1,
	  0,
	  0,
	  1000,
	  60000,
	  { 1500, 200, 100, 0 },
	  1,
	  0,
	  0,
	  GH_NEAR_NO_LOSS },
	{ "no factor is known",
	  0,
	  0,
	  0,
	  1000,
	  60000,
	  { 1500, 200, 100, 0 },
	  1,
	  0,
	  0,
	  GH_NEAR_NO_LOSS },
	{ "short task",
	  3,
	  0,
	  0,
	  100,
	  60000,
	  { 1500, 200, 100, 0 },
	  1,
	  0,
	  0,
	  GH_NEAR_TOO_LONG },
	{ "weak factor",
	  1.2,
	  0,
	  0,
	  1000,
	  60000,
	  { 1500, 200, 100, 0 },
	  1,
	  0,
	  0,
	  GH_NEAR_TOO_LONG },
	{ "others take the place first",
	  3,
	  0,
	  0,
	  500,
	  60000,
	  { 1500, 200, 100, 0 },
	  1,
	  2,
	  0,
	  GH_NEAR_TOO_LONG },
	{ "more come than places",
	  3,
	  20,
	  0,
	  1000,
	  60000,
	  { 0, 0, 0, 0 },
	  1,
	  0,
	  0,
	  GH_NEAR_TOO_LONG },
	{ "others wait elsewhere",
	  2,
	  0,
	  1,
	  400,
	  60000,
	  { 1500, 200, 100, 0 },
	  1,
	  0,
	  0,
	  GH_NEAR_WAITS },
	{ "the same, nobody waits",
	  2,
	  0,
	  0,
	  400,
	  60000,
	  { 1500, 200, 100, 0 },
	  1,
	  0,
	  0,
	  GH_NEAR_TOO_LONG },
	{ "urgent, in time elsewhere only",
	  1.4,
	  0,
	  0,
	  3000,
	  6000,
	  { 1000, 200, 100, 0 },
	  1,
	  0,
	  0,
	  GH_NEAR_LATE },
	{ "late either way",
	  3,
	  0,
	  0,
	  3000,
	  -1000,
	  { 1000, 200, 100, 0 },
	  1,
	  0,
	  0,
	  GH_NEAR_WAITS },
	{ "gang, its places in time",
	  3,
	  0,
	  0,
	  1500,
	  60000,
	  { 1500, 1400, 1300, 1200 },
	  4,
	  0,
	  0,
	  GH_NEAR_WAITS },
	{ "gang wider than the rack",
	  3,
	  0,
	  0,
	  1500,
	  60000,
	  { 1500, 1400, 1300, 1200 },
	  5,
	  0,
	  0,
	  GH_NEAR_NO_PLACE },
	{ "gang, its last place late",
	  3,
	  0,
	  0,
	  500,
	  60000,
	  { 1500, 1500, 1500, 0 },
	  4,
	  0,
	  0,
	  GH_NEAR_TOO_LONG },
	{ "no near worker",
	  3,
	  0,
	  0,
	  1000,
	  60000,
	  { -1, -1, -1, -1 },
	  1,
	  0,
	  0,
	  GH_NEAR_NO_PLACE },
	{ "deadline ahead",
	  3,
	  0,
	  0,
	  1000,
	  60000,
	  { 1500, 200, 100, 0 },
	  1,
	  0,
	  300,
	  GH_NEAR_WAITS },
	{ "deadline over",
	  3,
	  0,
	  0,
	  1000,
	  60000,
	  { 1500, 200, 100, 0 },
	  1,
	  0,
	  -1,
	  GH_NEAR_WAITED },
};

static gh_run_estimate_t estimate(int64_t ms)
{
	return (gh_run_estimate_t){ .expected_ms = ms,
				    .tail_ms = 3 * ms / 2,
				    .log_mean = log((double)ms),
				    .log_deviation = 0.2,
				    .n = 20 };
}

static void test_wait_pays(void **state)
{
	size_t i, j;

	(void)state;
	for (i = 0; i < G_N_ELEMENTS(cases); i++) {
		const near_case_t *c = &cases[i];
		gh_near_run_t runs[RUNS];
		gh_near_question_t question = {
			.remote_factor = c->factor,
			.task = estimate(c->task_ms),
			.slack_ms = c->slack_ms,
			.runs = runs,
			.places = c->places,
			.ahead = c->ahead,
			.arrivals_per_s = c->arrivals_per_s,
			.crowded = c->crowded,
			.until = c->until_ms ?
					 NOW + gh_time_from_ms(c->until_ms) :
					 0,
		};
		gh_near_answer_t answer;

		for (j = 0; j < RUNS; j++)
			if (c->elapsed_ms[j] >= 0)
				runs[question.n_runs++] = (gh_near_run_t){
					.elapsed_ms = c->elapsed_ms[j],
					.estimate = estimate(RUN_MS),
				};
		gh_near_decide(&question, NOW, &answer);
		if (answer.reason != c->reason)
			fail_msg("%s: %s, wait %d ms, saved %d ms, chance %.2f",
				 c->name, gh_near_reason_name(answer.reason),
				 (int)answer.wait_ms, (int)answer.saved_ms,
				 answer.chance);
		/* A wait ends by what it saves, and is never drawn out. */
		if (answer.reason == GH_NEAR_WAITS)
			assert_in_range(
				answer.until, NOW,
				question.until ?
					question.until :
					NOW + gh_time_from_ms(answer.saved_ms));
		else
			assert_int_equal(answer.until, 0);
	}
}

static void test_remaining_time(void **state)
{
	static const struct {
		int64_t expected_ms, elapsed_ms, min_ms, max_ms;
	} table[] = {
		{ 2000, -5, 2000, 2000 },
		{ 2000, 0, 2000, 2000 },
		{ 2000, 500, 1480, 1600 },
		{ 2000, 1900, 200, 600 },
		{ 2000, 3000, 100, 600 },
		{ 2000, 60000, 60000, 60000 },
		{ 0, 700, 700, 700 },
		{ 0, -1, 0, 0 },
		{ 2000, INT64_MAX, INT64_MAX, INT64_MAX },
	};
	size_t i;

	(void)state;
	for (i = 0; i < G_N_ELEMENTS(table); i++) {
		gh_run_estimate_t run = estimate(MAX(table[i].expected_ms, 1));
		int64_t left_ms;

		run.expected_ms = table[i].expected_ms;
		left_ms = gh_near_remaining_ms(&run, table[i].elapsed_ms);
		if (left_ms < table[i].min_ms || left_ms > table[i].max_ms)
			fail_msg("case %zu: %" G_GINT64_FORMAT, i, left_ms);
	}
}

int main(void)
{
	static const struct CMUnitTest tests[] = {
		cmocka_unit_test(test_wait_pays),
		cmocka_unit_test(test_remaining_time),
	};

	return cmocka_run_group_tests(tests, NULL, NULL);
}
