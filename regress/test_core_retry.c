/*
 * Tests of retries: the decision after each result of an attempt, for requests
 * that are idempotent or not, and the retry budget.
 */
#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <cmocka.h>

#include "core_retry.h"

#define DEADLINE gh_time_from_ms(1000)

static const gh_policy_t policy = { .retry_max = 2,
				    .retry_budget_percent = 10 };

typedef struct retry_case {
	gh_send_result_t result;
	bool idempotent;
	bool written; /* the executor may have run an earlier attempt */
	unsigned retries;
	int64_t at_ms;
	gh_retry_verdict_t verdict;
	gh_error_kind_t kind;
} retry_case_t;

static const retry_case_t cases[] = {
	{ GH_SEND_COMPLETED, false, false, 0, 0, GH_RETRY_DONE, 0 },
	{ GH_SEND_COMPLETED, true, true, 2, 2000, GH_RETRY_DONE, 0 },
	/* A request that did not run is sent again in any case. */
	{ GH_SEND_REFUSED, false, false, 0, 0, GH_RETRY_AGAIN, 0 },
	{ GH_SEND_UNSENT, false, false, 1, 0, GH_RETRY_AGAIN, 0 },
	{ GH_SEND_UNSENT, true, true, 0, 0, GH_RETRY_AGAIN, 0 },
	{ GH_SEND_REFUSED, false, false, 2, 0, GH_RETRY_GIVE_UP,
	  GH_E_EXECUTOR_BUSY },
	{ GH_SEND_UNSENT, false, false, 0, 1000, GH_RETRY_GIVE_UP,
	  GH_E_NO_EXECUTOR },
	/* A request that was written to the executor is sent again only if it
	 * is idempotent. */
	{ GH_SEND_RESET, false, false, 0, 0, GH_RETRY_GIVE_UP,
	  GH_E_OUTCOME_UNKNOWN },
	{ GH_SEND_BAD_RESPONSE, false, false, 0, 0, GH_RETRY_GIVE_UP,
	  GH_E_OUTCOME_UNKNOWN },
	{ GH_SEND_SILENT, false, false, 0, 0, GH_RETRY_GIVE_UP,
	  GH_E_OUTCOME_UNKNOWN },
	{ GH_SEND_TIMEOUT, false, false, 0, 0, GH_RETRY_GIVE_UP,
	  GH_E_OUTCOME_UNKNOWN },
	{ GH_SEND_RESET, true, false, 0, 0, GH_RETRY_AGAIN, 0 },
	{ GH_SEND_BAD_RESPONSE, true, false, 0, 0, GH_RETRY_AGAIN, 0 },
	{ GH_SEND_SILENT, true, false, 1, 0, GH_RETRY_AGAIN, 0 },
	{ GH_SEND_TIMEOUT, true, false, 0, 1000, GH_RETRY_GIVE_UP,
	  GH_E_TIMEOUT },
	{ GH_SEND_BAD_RESPONSE, true, false, 2, 0, GH_RETRY_GIVE_UP,
	  GH_E_BAD_RESPONSE },
	/* If an earlier attempt was written, a refused later one doesn't mean
	 * that the request did not run. */
	{ GH_SEND_REFUSED, true, true, 2, 0, GH_RETRY_GIVE_UP, GH_E_TIMEOUT },
	{ GH_SEND_UNSENT, true, true, 2, 0, GH_RETRY_GIVE_UP, GH_E_TIMEOUT },
};

static void test_decide(void **state)
{
	size_t i;

	(void)state;
	for (i = 0; i < G_N_ELEMENTS(cases); i++) {
		const retry_case_t *c = &cases[i];
		gh_retry_state_t request = { .idempotent = c->idempotent,
					     .written = c->written,
					     .retries = c->retries,
					     .deadline = DEADLINE };
		gh_retry_budget_t budget;
		gh_error_kind_t kind = GH_E_COUNT;
		gh_retry_verdict_t verdict;

		gh_retry_budget_init(&budget);
		verdict = gh_retry_decide(&budget, &request, &policy, c->result,
					  gh_time_from_ms(c->at_ms), &kind);
		if (verdict != c->verdict)
			fail_msg("case %zu: verdict %d", i, (int)verdict);
		if (verdict == GH_RETRY_GIVE_UP && kind != c->kind)
			fail_msg("case %zu: kind %s", i, gh_error_name(kind));
		if (verdict == GH_RETRY_GIVE_UP &&
		    gh_error_ran(kind) == GH_RAN_NO)
			assert_false(request.written);
		if (verdict == GH_RETRY_DONE)
			assert_true(request.written);
	}
}

static void test_budget(void **state)
{
	gh_retry_budget_t budget;
	gh_error_kind_t kind;
	unsigned retries = 0;
	int i;

	(void)state;
	gh_retry_budget_init(&budget);
	for (i = 0; i < 1000; i++) {
		gh_retry_state_t request = { .idempotent = true,
					     .deadline = DEADLINE };

		if (i % 10)
			gh_retry_succeeded(&budget, &policy);
		else if (gh_retry_decide(&budget, &request, &policy,
					 GH_SEND_RESET, 0,
					 &kind) == GH_RETRY_AGAIN)
			retries++;
		else
			assert_int_equal(kind, GH_E_RETRY_BUDGET);
	}
	/* 900 successful requests pay for 90 retries; the budget's initial
	 * balance adds 10. */
	assert_in_range(retries, 90, 100);
}

int main(void)
{
	const struct CMUnitTest tests[] = {
		cmocka_unit_test(test_decide),
		cmocka_unit_test(test_budget),
	};

	return cmocka_run_group_tests_name("core_retry", tests, NULL, NULL);
}
