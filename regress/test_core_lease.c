/*
 * Tests of shard ownership on a virtual clock: when a host may take a shard,
 * and when its lease ends.
 */
#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <cmocka.h>
#include <string.h>

#include "core_lease.h"

#define LEASE_MS 4000
#define CLOCK_BOUND_MS 200
#define WALL_MS 1000000

static gh_now_t time_at(int64_t ms)
{
	return (gh_now_t){ .boot = gh_time_from_ms(ms),
			   .wall_ms = WALL_MS + ms };
}

static gh_lease_rule_t make_rule(const char *self)
{
	return (gh_lease_rule_t){ .self = self,
				  .lease_ms = LEASE_MS,
				  .clock_bound_ms = CLOCK_BOUND_MS };
}

typedef struct take_case {
	const char *owner;
	int64_t deadline_ms; /* end of the lease since the test began; -WALL_MS:
				released or never owned */
	int64_t seen_ms; /* time at which the host first read the lease record
			  */
	int64_t now_ms;
	uint32_t rank;
	gh_lease_step_t step;
} take_case_t;

static const take_case_t take_cases[] = {
	/* A shard that was never owned is taken at once by the host of rank 0,
	 * later by the others. */
	{ "", -WALL_MS, 0, 0, 0, GH_LEASE_TAKE },
	{ "", -WALL_MS, 0, 300, 1, GH_LEASE_WAIT },
	{ "", -WALL_MS, 0, 400, 1, GH_LEASE_TAKE },
	/* A shard that its owner released is taken at once. */
	{ "b", -WALL_MS, 50, 50, 0, GH_LEASE_TAKE },
	/* An owned shard is taken only once its lease has expired by both
	 * clocks. */
	{ "b", 4000, 0, 3000, 0, GH_LEASE_WAIT },
	{ "b", 4000, 0, 4200, 0, GH_LEASE_WAIT },
	{ "b", 4000, 0, 4201, 0, GH_LEASE_TAKE },
	{ "b", 4000, 3000, 7000, 0, GH_LEASE_WAIT },
	{ "b", 4000, 3000, 7200, 0, GH_LEASE_TAKE },
	{ "b", 9000, 0, 9000, 0, GH_LEASE_WAIT },
	{ "b", 9000, 0, 9201, 0, GH_LEASE_TAKE },
	{ "b", 4000, 0, 4500, 1, GH_LEASE_WAIT },
	{ "b", 4000, 0, 4601, 1, GH_LEASE_TAKE },
};

static void test_take(void **state)
{
	size_t i;

	(void)state;
	for (i = 0; i < G_N_ELEMENTS(take_cases); i++) {
		const take_case_t *c = &take_cases[i];
		gh_lease_rule_t rule = make_rule("a");
		gh_lease_view_t view = { .known = false };
		gh_lease_t record = { .epoch = 5,
				      .deadline_ms = WALL_MS + c->deadline_ms };
		gh_now_t seen = time_at(c->seen_ms);
		gh_now_t now = time_at(c->now_ms);

		g_strlcpy(record.owner, c->owner, sizeof(record.owner));
		assert_int_equal(gh_lease_decide(&view, &rule, 0, &now),
				 GH_LEASE_WAIT);
		gh_lease_see(&view, &record, &rule, &seen);
		assert_int_equal(gh_lease_decide(&view, &rule, c->rank, &now),
				 c->step);
		record = gh_lease_next(&view, GH_LEASE_TAKE, &rule, &now);
		assert_true(record.epoch > 5);
		assert_string_equal(record.owner, "a");
	}
}

/*
 * A renewed lease record restarts the wait of a host that wants the shard,
 * even if the record's deadline has passed because the wall clock of the owner
 * is behind.
 */
static void test_renewed_record_is_not_taken(void **state)
{
	gh_lease_rule_t rule = make_rule("a");
	gh_lease_view_t view = { .known = false };
	gh_lease_t record = { .owner = "b", .epoch = 5 };
	int64_t ms;

	(void)state;
	for (ms = 0; ms < 60000; ms += 1000) {
		gh_now_t now = time_at(ms);

		/* The owner's wall clock is 50 s behind. */
		record.deadline_ms = WALL_MS + ms - 50000;
		gh_lease_see(&view, &record, &rule, &now);
		assert_int_equal(gh_lease_decide(&view, &rule, 0, &now),
				 GH_LEASE_WAIT);
	}
}

static void test_own_lease(void **state)
{
	gh_lease_rule_t rule = make_rule("a");
	gh_lease_view_t view = { .known = false };
	gh_lease_t record = { .epoch = 0 };
	gh_now_t now = time_at(0);

	(void)state;
	gh_lease_see(&view, &record, &rule, &now);
	record = gh_lease_next(&view, GH_LEASE_TAKE, &rule, &now);
	gh_lease_won(&view, &record, &rule, &now);
	assert_true(gh_lease_valid(&view, time_at(3999).boot));
	assert_false(gh_lease_valid(&view, time_at(4000).boot));
	now = time_at(500);
	assert_int_equal(gh_lease_decide(&view, &rule, 0, &now), GH_LEASE_WAIT);
	now = time_at(1000);
	assert_int_equal(gh_lease_decide(&view, &rule, 0, &now),
			 GH_LEASE_RENEW);
	/* A lease record with a lower epoch does not end the lease, one with a
	 * higher epoch does. */
	record.epoch--;
	g_strlcpy(record.owner, "b", sizeof(record.owner));
	assert_int_equal(gh_lease_see(&view, &record, &rule, &now),
			 GH_LEASE_WAIT);
	assert_true(gh_lease_valid(&view, now.boot));
	record.epoch += 2;
	assert_int_equal(gh_lease_see(&view, &record, &rule, &now),
			 GH_LEASE_LOST);
	assert_false(gh_lease_valid(&view, now.boot));
}

static void test_release(void **state)
{
	gh_lease_rule_t rule = make_rule("a");
	gh_lease_view_t view = { .known = false };
	gh_lease_t record = { .epoch = 3 };
	gh_now_t now = time_at(0);

	(void)state;
	gh_lease_see(&view, &record, &rule, &now);
	record = gh_lease_next(&view, GH_LEASE_TAKE, &rule, &now);
	gh_lease_won(&view, &record, &rule, &now);
	rule.leaving = true;
	record = gh_lease_next(&view, GH_LEASE_RENEW, &rule, &now);
	assert_int_equal(record.deadline_ms, GH_LEASE_RELEASED);
	gh_lease_won(&view, &record, &rule, &now);
	assert_false(gh_lease_valid(&view, now.boot));
	assert_int_equal(gh_lease_decide(&view, &rule, 0, &now), GH_LEASE_WAIT);
}

static void test_text_reads_back(void **state)
{
	gh_lease_table_t table = {
		.n = 2, .writer = "a", .incarnation = 7, .sequence = 9
	};
	gh_lease_table_t other;
	char *text;

	(void)state;
	table.shards[1] = (gh_lease_t){ "b", 5, 123 };
	text = gh_lease_format(&table);
	assert_true(gh_lease_parse(&other, text, NULL));
	assert_memory_equal(&table, &other, sizeof(table));
	g_free(text);
	assert_false(gh_lease_parse(&other, "nonsense\n", NULL));
	assert_false(gh_lease_parse(&other, "64 b 1 1\n", NULL));
}

/* All ranks differ, and the preferred owners are spread over the hosts. */
static void test_ranks(void **state)
{
	const char *names[] = { "a", "b", "c" };
	unsigned n_preferred[3] = { 0 };
	uint32_t shard;
	size_t i;

	(void)state;
	for (shard = 0; shard < 60; shard++) {
		bool rank_seen[3] = { false };

		for (i = 0; i < 3; i++) {
			uint32_t rank =
				gh_lease_rank("d", shard, names[i], names, 3);

			assert_in_range(rank, 0, 2);
			assert_false(rank_seen[rank]);
			rank_seen[rank] = true;
			n_preferred[i] += rank == 0;
		}
	}
	for (i = 0; i < 3; i++)
		assert_in_range(n_preferred[i], 8, 36);
}

int main(void)
{
	const struct CMUnitTest tests[] = {
		cmocka_unit_test(test_take),
		cmocka_unit_test(test_renewed_record_is_not_taken),
		cmocka_unit_test(test_own_lease),
		cmocka_unit_test(test_release),
		cmocka_unit_test(test_text_reads_back),
		cmocka_unit_test(test_ranks),
	};

	return cmocka_run_group_tests(tests, NULL, NULL);
}
