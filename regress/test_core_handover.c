/*
 * Tests of hand-overs: when an owner gives its shard away, who takes it, and
 * how often a shard changes hands.
 */
#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <cmocka.h>

#include "core_handover.h"

#define MS GH_USEC_PER_MSEC
#define START_TIME (1000 * GH_USEC_PER_SEC)
#define CHECK_MS 250
#define NEVER (-1)
#define STORM_MS 60000
#define STORM_HANDOVERS_MAX 3

/* An owner with 120 of 1000 cores that is checked for 20 s. */
typedef struct due_case {
	const char *name;
	const char *chain; /* as the claim found it */
	uint32_t capacity; /* 0: 120 */
	int64_t gap_ms;	   /* between two decisions */
	int64_t planned_ms;
	int64_t late_until_ms; /* then 25 ms between two decisions; 0: always */
	int64_t frozen_at_ms;  /* no check for 5 s from then; 0: never */
	int64_t min_ms, max_ms; /* when the hand-over is due */
} due_case_t;

static const due_case_t due_cases[] = {
	{ .name = "late and behind",
	  .chain = "1 2 h 3 cores 500",
	  .gap_ms = 110,
	  .planned_ms = 1900,
	  .min_ms = 2000,
	  .max_ms = 2500 },
	{ .name = "late, the plan is kept short",
	  .chain = "1 2 h 3 cores 500",
	  .gap_ms = 110,
	  .min_ms = 6000,
	  .max_ms = 6500 },
	{ .name = "behind a slow store",
	  .chain = "1 2 h 3 cores 500",
	  .gap_ms = 26,
	  .planned_ms = 9000,
	  .min_ms = NEVER },
	{ .name = "late for a short time",
	  .chain = "1 2 h 3 cores 500",
	  .gap_ms = 110,
	  .planned_ms = 1900,
	  .late_until_ms = 1500,
	  .min_ms = NEVER },
	{ .name = "late for a short time and frozen",
	  .chain = "1 2 h 3 cores 500",
	  .gap_ms = 110,
	  .planned_ms = 1900,
	  .late_until_ms = 1500,
	  .frozen_at_ms = 1000,
	  .min_ms = NEVER },
	{ .name = "as large as any host known",
	  .chain = "1 2 h 3 cores 120",
	  .gap_ms = 110,
	  .planned_ms = 1900,
	  .min_ms = NEVER },
	{ .name = "record of an earlier version",
	  .chain = "1 2 h 3 released -20",
	  .gap_ms = 110,
	  .planned_ms = 1900,
	  .min_ms = NEVER },
	{ .name = "two shards on a host that could carry one",
	  .chain = "1 2 h 3 cores 120",
	  .capacity = 60,
	  .gap_ms = 110,
	  .planned_ms = 1900,
	  .min_ms = 2000,
	  .max_ms = 2500 },
	{ .name = "handed over a short time ago",
	  .chain = "1 2 h 3 cores 500 handed 0 4000 5000 released 7",
	  .gap_ms = 110,
	  .planned_ms = 1900,
	  .min_ms = 5000,
	  .max_ms = 5500 },
	{ .name = "no larger host took it at the last hand-over",
	  .chain = "1 2 h 3 cores 500 handed 120 4000 2000 released 7",
	  .gap_ms = 110,
	  .planned_ms = 1900,
	  .min_ms = 8000,
	  .max_ms = 8500 },
	{ .name = "pause out of range",
	  .chain = "1 2 h 3 cores 500 handed 0 4000 99999999999",
	  .gap_ms = 110,
	  .planned_ms = 1900,
	  .min_ms = NEVER },
	{ .name = "text cut off",
	  .chain = "1 2 h 3 cores 500 handed ",
	  .gap_ms = 110,
	  .planned_ms = 1900,
	  .min_ms = 2000,
	  .max_ms = 2500 },
};

/* Checks once per period; returns when the hand-over is due, in ms. */
static int64_t due_at_ms(gh_handover_t *handover, const due_case_t *c)
{
	int64_t ms;

	for (ms = 0; ms < 20000; ms += CHECK_MS) {
		gh_time_t now = START_TIME + ms * MS;
		bool late = !c->late_until_ms || ms < c->late_until_ms;
		gh_handover_check_t check = {
			.capacity = c->capacity ? c->capacity : 120,
			.tick_gap = (late ? c->gap_ms : 25) * MS,
			.planned_since =
				c->planned_ms ? now - c->planned_ms * MS : 0,
		};

		if (c->frozen_at_ms && ms >= c->frozen_at_ms &&
		    ms < c->frozen_at_ms + 5000)
			continue;
		if (gh_handover_is_due(handover, &check, now))
			return ms;
	}
	return NEVER;
}

/* LOST: a host that was too small for a shard kept it for good. */
static void test_small_late_owner_hands_over(void **state)
{
	size_t i;

	(void)state;
	for (i = 0; i < G_N_ELEMENTS(due_cases); i++) {
		const due_case_t *c = &due_cases[i];
		gh_handover_t handover;
		int64_t ms;

		gh_handover_read(&handover, c->chain, START_TIME);
		gh_handover_claim(&handover, 120,
				  c->capacity ? c->capacity : 120, START_TIME);
		ms = due_at_ms(&handover, c);
		print_message("%s: %d ms\n", c->name, (int)ms);
		if (c->min_ms == NEVER)
			assert_int_equal(ms, NEVER);
		else
			assert_in_range(ms, c->min_ms, c->max_ms);
	}
}

typedef struct step_case {
	const char *chain;
	uint32_t capacity;
	bool steps_back;
} step_case_t;

static const step_case_t step_cases[] = {
	{ "1 2 h 3 cores 500 handed 120 4000 3900 released 7", 120, true },
	{ "1 2 h 3 cores 500 handed 120 4000 3900 released 7", 60, true },
	{ "1 2 h 3 cores 500 handed 120 4000 3900 released 7", 121, false },
	/* It was claimed since, and its owner has failed. */
	{ "1 2 h 3 cores 500 handed 0 4000 3900", 120, false },
	{ "1 2 h 3 cores 500", 120, false },
	{ "1 2 h 3 released -20", 120, false },
};

static void test_smaller_hosts_step_back(void **state)
{
	size_t i;

	(void)state;
	for (i = 0; i < G_N_ELEMENTS(step_cases); i++) {
		const step_case_t *c = &step_cases[i];
		gh_handover_t handover;

		gh_handover_read(&handover, c->chain, START_TIME);
		assert_int_equal(gh_handover_steps_back(&handover, c->capacity),
				 c->steps_back);
	}
}

/* Passes the shard on by the text of a chain record. */
static void take(gh_handover_t *handover, uint32_t cores, gh_time_t now)
{
	GString *chain = g_string_new("1 2 h 3");

	gh_handover_tell(handover, chain, now);
	gh_handover_read(handover, chain->str, now);
	gh_handover_claim(handover, cores, cores, now);
	g_string_free(chain, TRUE);
}

/* All hosts are late and too small; the larger one that was known is gone. */
static void test_no_storm_of_handovers(void **state)
{
	gh_handover_t handover = { .cores_max = 500 };
	gh_handover_check_t check = { .capacity = 120, .tick_gap = 150 * MS };
	gh_time_t now = START_TIME;
	gh_time_t end = START_TIME + STORM_MS * MS;
	unsigned n = 0;

	(void)state;
	while (now < end) {
		now += CHECK_MS * MS;
		check.planned_since = now - 5000 * MS;
		if (!gh_handover_is_due(&handover, &check, now))
			continue;
		n++;
		print_message("handed over at %d ms\n",
			      (int)((now - START_TIME) / MS));
		gh_handover_give(&handover, now);
		now += GH_HANDOVER_STEP_BACK_USEC;
		take(&handover, 120, now);
	}
	assert_in_range(n, 1, STORM_HANDOVERS_MAX);
}

/* A larger owner, however late, keeps the shard and tells its size on. */
static void test_larger_owner_keeps_shard(void **state)
{
	gh_handover_t handover = { .cores_max = 500 };
	due_case_t late = { .gap_ms = 150, .planned_ms = 5000 };

	(void)state;
	assert_in_range(due_at_ms(&handover, &late), 2000, 2500);
	gh_handover_give(&handover, START_TIME);
	take(&handover, 500, START_TIME);
	late.capacity = 500;
	assert_int_equal(due_at_ms(&handover, &late), NEVER);
	take(&handover, 120, START_TIME + 60000 * MS);
	assert_int_equal(handover.cores_max, 500);
}

int main(void)
{
	static const struct CMUnitTest tests[] = {
		cmocka_unit_test(test_small_late_owner_hands_over),
		cmocka_unit_test(test_smaller_hosts_step_back),
		cmocka_unit_test(test_no_storm_of_handovers),
		cmocka_unit_test(test_larger_owner_keeps_shard),
	};

	return cmocka_run_group_tests(tests, NULL, NULL);
}
