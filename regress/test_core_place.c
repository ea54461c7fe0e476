/*
 * Tests of placement, quotas, worker health and slowdown by other tasks.
 */
#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <cmocka.h>
#include <string.h>

#include "core_slowdown.h"
#include "core_place.h"
#include "core_quota.h"
#include "core_worker.h"

static gh_handle_t add(gh_place_t *place, const char *name, uint32_t cores,
		       uint32_t memory)
{
	gh_resources_t size = { cores, memory, 0 };
	gh_handle_t worker = gh_place_worker_set(place, name, "r", &size);

	gh_place_usable_set(place, worker, true);
	return worker;
}

static gh_handle_t choose(gh_place_t *place, uint32_t cores, uint32_t memory,
			  uint64_t seed)
{
	gh_place_request_t request = { .size = { cores, memory, 0 },
				       .avoid = GH_HANDLE_NONE,
				       .seed = seed };

	return gh_place_choose(place, &request);
}

/* In a random sequence of starts and ends no worker is overcommitted. */
static void test_never_above_size(void **state)
{
	gh_place_t *place = gh_place_new();
	gh_handle_t placed[4000];
	gh_resources_t sizes[4000];
	size_t n = 0;
	uint64_t seed = 1;
	int i;

	(void)state;
	for (i = 0; i < 50; i++) {
		char name[8];

		g_snprintf(name, sizeof(name), "w%d", i);
		add(place, name, 4000 + 1000 * (i % 7), 4000);
	}
	for (i = 0; i < 20000; i++) {
		gh_resources_t size = { 100 + seed % 3000, seed % 1500, 0 };
		gh_handle_t worker;

		seed = seed * 6364136223846793005ULL + 1442695040888963407ULL;
		if (n && seed >> 63) {
			n--;
			gh_place_release(place, placed[n], &sizes[n]);
			continue;
		}
		worker = choose(place, size.cores_milli, size.memory_mb, seed);
		if (worker == GH_HANDLE_NONE || n == G_N_ELEMENTS(placed))
			continue;
		gh_place_reserve(place, worker, &size);
		assert_true(
			gh_place_worker(place, worker)->reserved.cores_milli <=
			gh_place_worker(place, worker)->size.cores_milli);
		assert_true(
			gh_place_worker(place, worker)->reserved.memory_mb <=
			gh_place_worker(place, worker)->size.memory_mb);
		placed[n] = worker;
		sizes[n++] = size;
	}
	assert_true(n > 0);
	gh_place_free(place);
}

static void test_observed_use_counts(void **state)
{
	gh_place_t *place = gh_place_new();
	gh_handle_t a = add(place, "a", 4000, 4000);
	gh_resources_t task = { 1000, 100, 0 };
	gh_resources_t extra = { 2500, 0, 0 };

	(void)state;
	gh_place_reserve(place, a, &task);
	assert_int_equal(choose(place, 1000, 100, 0), a);
	gh_place_overuse_set(place, a, &extra);
	assert_int_equal(choose(place, 1000, 100, 0), GH_HANDLE_NONE);
	assert_int_equal(choose(place, 500, 100, 0), a);
	gh_place_usable_set(place, a, false);
	assert_int_equal(choose(place, 500, 100, 0), GH_HANDLE_NONE);
	gh_place_free(place);
}

static int64_t cost_by_handle(void *ctx, gh_handle_t worker)
{
	const int64_t *costs = ctx;

	return costs[worker];
}

static void test_choice_goes_by_cost(void **state)
{
	int64_t costs[] = { 5, 1, 3 };
	gh_place_t *place = gh_place_new();
	gh_place_request_t request = { .size = { 1000, 0, 0 },
				       .avoid = GH_HANDLE_NONE,
				       .cost = cost_by_handle,
				       .ctx = costs };

	(void)state;
	add(place, "a", 4000, 1);
	add(place, "b", 4000, 1);
	add(place, "c", 4000, 1);
	assert_int_equal(gh_place_choose(place, &request), 1);
	request.avoid = 1;
	assert_int_equal(gh_place_choose(place, &request), 2);
	gh_place_usable_set(place, 0, false);
	gh_place_usable_set(place, 2, false);
	assert_int_equal(gh_place_choose(place, &request), 1);
	gh_place_free(place);
}

typedef struct share_case {
	uint32_t cores, memory;
	uint32_t share_ppm;
	bool within_guarantee, within_limit;
} share_case_t;

/* A department's usage out of 10 cores and 1000 MB; its guarantee is 30 %, its
 * limit 60 %. */
static const share_case_t share_cases[] = {
	{ 1000, 10, 100000, true, true },   { 1000, 300, 300000, true, true },
	{ 3001, 10, 300100, false, true },  { 1000, 600, 600000, false, true },
	{ 6001, 10, 600100, false, false },
};

static void test_shares_go_by_the_largest_part(void **state)
{
	size_t i;

	(void)state;
	for (i = 0; i < G_N_ELEMENTS(share_cases); i++) {
		const share_case_t *c = &share_cases[i];
		gh_quota_t *quota = gh_quota_new();
		gh_department_t d = { .name = "d",
				      .weight = 1,
				      .guarantee_percent = 30,
				      .limit_percent = 60 };
		gh_resources_t total = { 10000, 1000, 0 };
		gh_resources_t size = { c->cores, c->memory, 0 };
		gh_handle_t h;

		gh_quota_total_set(quota, &total);
		h = gh_quota_department_set(quota, &d);
		assert_int_equal(gh_quota_share_ppm(quota, h, &size),
				 c->share_ppm);
		assert_int_equal(gh_quota_within_guarantee(quota, h, &size),
				 c->within_guarantee);
		assert_int_equal(gh_quota_within_limit(quota, h, &size),
				 c->within_limit);
		gh_quota_charge(quota, h, &size);
		assert_int_equal(gh_quota_borrowed_ppm(quota, h),
				 c->share_ppm > 300000 ? c->share_ppm - 300000 :
							 0);
		gh_quota_release(quota, h, &size);
		assert_int_equal(gh_quota_share_ppm(quota, h, NULL), 0);
		gh_quota_free(quota);
	}
}

static void test_below_guarantee_goes_first(void **state)
{
	gh_quota_t *quota = gh_quota_new();
	gh_department_t a = { .name = "a",
			      .weight = 1,
			      .guarantee_percent = 20,
			      .limit_percent = 100 };
	gh_department_t b = { .name = "b", .weight = 9, .limit_percent = 100 };
	gh_resources_t total = { 1000, 0, 0 };
	gh_resources_t size = { 190, 0, 0 };
	gh_handle_t ha = gh_quota_department_set(quota, &a);
	gh_handle_t hb = gh_quota_department_set(quota, &b);

	(void)state;
	gh_quota_total_set(quota, &total);
	gh_quota_charge(quota, ha, &size);
	assert_true(gh_quota_compare(quota, ha, hb) < 0);
	gh_quota_charge(quota, ha, &size);
	gh_quota_charge(quota, hb, &size);
	/* Both departments are above their guarantees, so the share per weight
	 * decides. */
	assert_true(gh_quota_compare(quota, ha, hb) > 0);
	gh_quota_free(quota);
}

/*
 * Events: "s" is an attempt that succeeds, "1" to "3" one of that job that
 * fails, "e" one of job 1 that fails although the job succeeds elsewhere.  The
 * verdict is that of the last event.
 */
typedef struct health_case {
	const char *events;
	gh_worker_verdict_t verdict;
	bool ejected;
} health_case_t;

static const health_case_t health_cases[] = {
	{ "111", GH_WORKER_KEEP, false },
	{ "11111111", GH_WORKER_KEEP, false },
	{ "1112", GH_WORKER_EJECT, true },
	{ "111e", GH_WORKER_EJECT, true },
	{ "111s2", GH_WORKER_KEEP, false },
	{ "1112s", GH_WORKER_READMIT, false },
	{ "11123", GH_WORKER_EJECT, true },
};

static void test_health(void **state)
{
	size_t i;

	(void)state;
	for (i = 0; i < G_N_ELEMENTS(health_cases); i++) {
		gh_worker_health_t health = { .reachable = true };
		gh_worker_verdict_t verdict = GH_WORKER_KEEP;
		const char *event;

		for (event = health_cases[i].events; *event; event++) {
			gh_worker_failure_t failure = {
				.job = (uint32_t)*event
			};

			if (*event == 'e')
				failure = (gh_worker_failure_t){
					.job = '1', .job_ran_elsewhere = true
				};
			if (*event == 's')
				verdict = gh_worker_attempt_succeeded(&health);
			else
				verdict = gh_worker_attempt_failed(
					&health, &failure, true, 1000, 0);
		}
		assert_int_equal(verdict, health_cases[i].verdict);
		assert_int_equal(health.ejected, health_cases[i].ejected);
	}
}

/* After its ejection a worker gets one task as a trial; each ejection is longer
 * than the one before. */
static void test_trial_of_ejected_worker(void **state)
{
	gh_worker_health_t health = { .reachable = true };
	gh_worker_failure_t failure = { .job_ran_elsewhere = true };
	int i;

	(void)state;
	for (i = 0; i < 4; i++)
		gh_worker_attempt_failed(&health, &failure, true, 1000, 0);
	assert_false(gh_worker_usable(&health, 0, 999));
	assert_true(gh_worker_usable(&health, 0, 1000));
	assert_false(gh_worker_usable(&health, 1, 1000));
	/* A failure before the ejection ends does not prolong it. */
	gh_worker_attempt_failed(&health, &failure, true, 1000, 500);
	assert_true(gh_worker_usable(&health, 0, 1000));
	gh_worker_attempt_failed(&health, &failure, true, 1000, 1000);
	assert_false(gh_worker_usable(&health, 0, 2999));
	assert_true(gh_worker_usable(&health, 0, 3000));
	gh_worker_attempt_succeeded(&health);
	assert_true(gh_worker_usable(&health, 5, 3000));
}

/* Of two kinds of tasks beside a service, the one that slows the service down
 * is identified. */
static void test_interference_finds_the_pair(void **state)
{
	gh_slowdown_t *model = gh_slowdown_new();
	uint16_t service = gh_slowdown_kind_id(model, "service");
	uint16_t bad = gh_slowdown_kind_id(model, "bad");
	uint16_t good = gh_slowdown_kind_id(model, "good");
	int i;

	(void)state;
	for (i = 0; i < 200; i++) {
		bool with_bad = i % 2;
		gh_slowdown_sample_t samples[] = {
			{ service, with_bad ? 40 : 10 },
			{ good, 0 },
			{ bad, 0 },
		};

		gh_slowdown_learn(model, samples, with_bad ? 3 : 2);
	}
	assert_true(gh_slowdown_expected(model, service, bad) > 1500);
	assert_true(gh_slowdown_expected(model, service, good) < 800);
	assert_int_equal(gh_slowdown_measured(model, service, 10), 0);
	assert_true(gh_slowdown_measured(model, service, 40) > 1500);
	gh_slowdown_free(model);
}

int main(void)
{
	const struct CMUnitTest tests[] = {
		cmocka_unit_test(test_never_above_size),
		cmocka_unit_test(test_observed_use_counts),
		cmocka_unit_test(test_choice_goes_by_cost),
		cmocka_unit_test(test_shares_go_by_the_largest_part),
		cmocka_unit_test(test_below_guarantee_goes_first),
		cmocka_unit_test(test_health),
		cmocka_unit_test(test_trial_of_ejected_worker),
		cmocka_unit_test(test_interference_finds_the_pair),
	};

	return cmocka_run_group_tests(tests, NULL, NULL);
}
