/*
 * Tests of the order in which an owner's jobs are committed: by the priorities
 * of their queues, and when commits fail.
 */
#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <stdint.h>

#include <cmocka.h>
#include <string.h>

#include "fleet_world.h"

#define JOBS_MAX 3
#define COMMITS_MAX 8

typedef struct commit_case {
	const char *name;
	/* Priorities of the jobs' queues, in the order in which they come. */
	uint32_t priorities[JOBS_MAX];
	/* Jobs that are committed; in capitals: the commit fails. */
	const char *expected;
} commit_case_t;

static const commit_case_t commit_cases[] = {
	{ "one priority", { 2, 2, 2 }, "abc" },
	{ "the last is urgent", { 2, 2, 0 }, "cab" },
	{ "three priorities", { 2, 1, 0 }, "cba" },
	{ "a failed one stays ahead", { 2, 2, 0 }, "Ccab" },
	/* The fourth commit is the oldest change's. */
	{ "one that fails again goes last", { 2, 2, 0 }, "CCabc" },
	{ "all fail for a while, then by priority", { 2, 2, 0 }, "CCABCacb" },
	{ "one priority, a failed one goes last", { 2, 2, 2 }, "Abca" },
};

static void add_queued_job(world_t *w, char name, uint32_t priority)
{
	gh_queue_policy_t policy = {
		.priority = priority,
		.attempts = 3,
		.stretch_milli = 2000,
		.target_ms = 60000,
	};
	char id[] = "000000000000000?";
	gh_pipeline_t *job;

	id[sizeof(id) - 2] = name;
	job = make_job(id, 1, &one_task);
	job->accepted_ms = w->wall_ms;
	g_snprintf(job->queue, sizeof(job->queue), "q%u", priority);
	g_strlcpy(policy.name, job->queue, sizeof(policy.name));
	gh_fleet_queue_set(w->fleet, &policy);
	assert_true(gh_fleet_job_add(w->fleet, job, NULL, NULL));
}

static void check_commits(const commit_case_t *c)
{
	char committed[COMMITS_MAX + 1] = "";
	size_t n = 0;
	world_t w;
	size_t i;

	world_init(&w);
	w.commits_limited = true;
	add_worker(&w, "w1", 32000);
	advance_time(&w, 1000);
	for (i = 0; i < JOBS_MAX; i++) {
		add_queued_job(&w, (char)('a' + i), c->priorities[i]);
		advance_time(&w, 100);
	}
	while (gh_fleet_has_changes(w.fleet)) {
		gh_fleet_change_t change;

		assert_true(n < strlen(c->expected));
		assert_true(gh_fleet_next_change(w.fleet, &change));
		committed[n] = change.id[strlen(change.id) - 1];
		if (g_ascii_isupper(c->expected[n])) {
			committed[n] = g_ascii_toupper(committed[n]);
			gh_fleet_handle_commit_failure(w.fleet, change.id);
		} else {
			gh_fleet_handle_commit(w.fleet, change.id,
					       change.version);
		}
		n++;
		g_free(change.progress);
	}
	assert_string_equal(committed, c->expected);
	world_clear(&w);
}

static void test_commits(void **state)
{
	size_t i;

	(void)state;
	for (i = 0; i < G_N_ELEMENTS(commit_cases); i++) {
		print_message("case: %s\n", commit_cases[i].name);
		check_commits(&commit_cases[i]);
	}
}

/* Jobs that end before any of their tasks was placed by this owner. */
static void test_jobs_never_placed(void **state)
{
	static const char expected[] = "cba";
	world_t w;
	size_t i;

	(void)state;
	world_init(&w);
	w.commits_limited = true;
	for (i = 0; i < JOBS_MAX; i++)
		add_queued_job(&w, (char)('a' + i), JOBS_MAX - 1 - (uint32_t)i);
	for (i = 0; i < JOBS_MAX; i++) {
		char id[] = "000000000000000?";

		id[sizeof(id) - 2] = (char)('a' + i);
		gh_fleet_job_cancel(w.fleet, id, w.now);
	}
	for (i = 0; i < JOBS_MAX; i++) {
		gh_fleet_change_t change;

		assert_true(gh_fleet_next_change(w.fleet, &change));
		assert_int_equal(change.id[strlen(change.id) - 1], expected[i]);
		gh_fleet_handle_commit(w.fleet, change.id, change.version);
		g_free(change.progress);
	}
	world_clear(&w);
}

/* Guards against a job that is never committed, or tried all the time. */
static void test_job_set_aside(void **state)
{
	static const int64_t waits_ms[] = { 1000, 2000, 4000 };
	const char id[] = "000000000000000a";
	gh_fleet_change_t change;
	gh_fleet_counts_t counts;
	world_t w;
	size_t i;

	(void)state;
	world_init(&w);
	w.commits_limited = true;
	add_worker(&w, "w1", 32000);
	advance_time(&w, 1000);
	add_queued_job(&w, 'a', 0);
	advance_time(&w, 100);
	for (i = 0; i < G_N_ELEMENTS(waits_ms); i++) {
		assert_true(gh_fleet_next_change(w.fleet, &change));
		g_free(change.progress);
		gh_fleet_handle_commit_failure(w.fleet, id);
		gh_fleet_set_aside(w.fleet, id, w.now);
		gh_fleet_counts(w.fleet, &counts);
		assert_int_equal(counts.open_runs, 0);
		advance_time(&w, waits_ms[i] - 50);
		assert_false(gh_fleet_has_changes(w.fleet));
		advance_time(&w, 100);
		assert_true(gh_fleet_has_changes(w.fleet));
	}
	/* The change of its end does not wait. */
	assert_true(gh_fleet_next_change(w.fleet, &change));
	g_free(change.progress);
	gh_fleet_handle_commit_failure(w.fleet, id);
	gh_fleet_set_aside(w.fleet, id, w.now);
	gh_fleet_job_cancel(w.fleet, id, w.now);
	assert_true(gh_fleet_next_change(w.fleet, &change));
	assert_int_equal(change.phase, GH_JOB_CANCELLED);
	gh_fleet_handle_commit(w.fleet, id, change.version);
	gh_fleet_counts(w.fleet, &counts);
	assert_int_equal(counts.jobs, 0);
	world_clear(&w);
}

int main(void)
{
	const struct CMUnitTest tests[] = {
		cmocka_unit_test(test_commits),
		cmocka_unit_test(test_jobs_never_placed),
		cmocka_unit_test(test_job_set_aside),
	};

	return cmocka_run_group_tests(tests, NULL, NULL);
}
