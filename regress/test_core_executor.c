/*
 * Tests of executor health: ejection, probes, slow start, the limit of
 * ejections, and that an executor which fails fast attracts no work.
 */
#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <cmocka.h>

#include "core_executor.h"
#include "doc.h"

#define SLOTS 8

/*
 * Events at executor e1.  The letter is s for a request that is sent, g for one
 * that succeeds, f for one that fails, q for one whose connection is silent, or
 * l for none: only the state is checked.
 */
typedef struct step {
	int64_t at_ms;
	unsigned times;
	gh_executor_state_t state; /* expected state after the events */
	char event;
	bool available; /* expected availability after the events */
} step_t;

static const step_t steps[] = {
	{ 0, 4, GH_EXECUTOR_IN_USE, 'f', true },
	{ 0, 1, GH_EXECUTOR_IN_USE, 'g', true },
	{ 0, 9, GH_EXECUTOR_IN_USE, 'q', true },
	{ 0, 1, GH_EXECUTOR_IN_USE, 's', true },
	{ 0, 4, GH_EXECUTOR_EJECTED, 'f', false },
	{ 2999, 1, GH_EXECUTOR_EJECTED, 'l', false },
	{ 3000, 1, GH_EXECUTOR_EJECTED, 'l', true },
	/* One probe; no other request while it is in flight. */
	{ 3000, 1, GH_EXECUTOR_PROBING, 's', false },
	{ 3100, 1, GH_EXECUTOR_EJECTED, 'f', false },
	{ 6099, 1, GH_EXECUTOR_EJECTED, 'l', false },
	{ 6100, 1, GH_EXECUTOR_PROBING, 's', false },
	/* A probe on a connection that is silent says nothing of the executor,
	 * so the next probe is allowed. */
	{ 6200, 1, GH_EXECUTOR_EJECTED, 'q', true },
	{ 6200, 1, GH_EXECUTOR_PROBING, 's', false },
	{ 6300, 1, GH_EXECUTOR_SLOW_START, 'g', true },
	/* Slow start: one request at first, more over time. */
	{ 6300, 1, GH_EXECUTOR_SLOW_START, 's', false },
	{ 7500, 3, GH_EXECUTOR_SLOW_START, 's', false },
	{ 8000, 1, GH_EXECUTOR_SLOW_START, 'l', true },
	{ 9300, 1, GH_EXECUTOR_IN_USE, 'g', true },
};

static void apply_event(gh_executor_table_t *table, char event, gh_time_t now)
{
	switch (event) {
	case 's':
		gh_executor_request_sent(table, "e1", false);
		break;
	case 'g':
		gh_executor_request_ended(table, "e1", false, GH_SEND_COMPLETED,
					  gh_time_from_ms(5), now);
		break;
	case 'f':
		gh_executor_request_ended(table, "e1", false, GH_SEND_RESET, 0,
					  now);
		break;
	case 'q':
		gh_executor_request_ended(table, "e1", false, GH_SEND_SILENT, 0,
					  now);
		break;
	default:
		break;
	}
}

static gh_executor_table_t *new_table(const char *extra)
{
	gh_document_t *doc = doc_make(1, "a@d1", extra);
	gh_executor_table_t *table = gh_executor_new();

	gh_executor_apply(table, doc, gh_document_domain(doc, "d1"));
	gh_document_unref(doc);
	return table;
}

static void test_ejection(void **state)
{
	gh_executor_table_t *table = new_table(NULL);
	size_t i;
	unsigned j;

	(void)state;
	for (i = 0; i < G_N_ELEMENTS(steps); i++) {
		const step_t *step = &steps[i];
		gh_time_t now = gh_time_from_ms(step->at_ms);

		for (j = 0; j < step->times; j++)
			apply_event(table, step->event, now);
		if (gh_executor_state(table, "e1") != step->state ||
		    gh_executor_is_available(table, "e1", false, SLOTS, now) !=
			    step->available)
			fail_msg("step %zu: state %d", i,
				 (int)gh_executor_state(table, "e1"));
	}
	gh_executor_free(table);
}

static void fail_all(gh_executor_table_t *table, const char *name)
{
	int i;

	for (i = 0; i < 20; i++) {
		gh_executor_request_sent(table, name, false);
		gh_executor_response_failed(table, name, false, 0);
	}
}

static void test_no_more_than_a_part_is_ejected(void **state)
{
	gh_executor_table_t *table = new_table(NULL);

	(void)state;
	fail_all(table, "e1");
	fail_all(table, "e2");
	fail_all(table, "e3");
	assert_int_equal(gh_executor_ejected_count(table), 1);
	assert_false(gh_executor_is_available(table, "e1", false, SLOTS, 0));
	assert_true(gh_executor_is_available(table, "e2", false, SLOTS, 0));
	gh_executor_free(table);
}

/*
 * An executor that fails at once has few requests in flight, so its failure
 * rate adds to its expected wait.
 */
static void test_failing_fast_attracts_no_work(void **state)
{
	gh_executor_table_t *table = new_table(NULL);
	int i;

	(void)state;
	fail_all(table, "e1");
	/* The limit of ejections is reached, so e2 stays in use. */
	fail_all(table, "e2");
	for (i = 0; i < 20; i++) {
		gh_executor_request_sent(table, "e3", false);
		gh_executor_request_ended(table, "e3", false, GH_SEND_COMPLETED,
					  gh_time_from_ms(50), 0);
	}
	for (i = 0; i < SLOTS; i++)
		gh_executor_request_sent(table, "e3", false);
	assert_true(gh_executor_expected_wait(table, "e2") >
		    gh_executor_expected_wait(table, "e3"));
	gh_executor_free(table);
}

static void test_long_work_leaves_a_slot(void **state)
{
	gh_executor_table_t *table = new_table(NULL);
	int i;

	(void)state;
	for (i = 0; i < SLOTS - 1; i++) {
		assert_true(
			gh_executor_is_available(table, "e1", true, SLOTS, 0));
		gh_executor_request_sent(table, "e1", true);
	}
	assert_false(gh_executor_is_available(table, "e1", true, SLOTS, 0));
	assert_true(gh_executor_is_available(table, "e1", false, SLOTS, 0));
	gh_executor_request_ended(table, "e1", true, GH_SEND_COMPLETED, 1, 0);
	assert_true(gh_executor_is_available(table, "e1", true, SLOTS, 0));
	gh_executor_free(table);
}

typedef struct silence_case {
	/* The times are in milliseconds. */
	int64_t since;
	int64_t success;
	int64_t now;
	bool silent;
} silence_case_t;

static const silence_case_t silence_cases[] = {
	{ 100, 50, 5000,
	  false }, /* the other connections get no response either */
	{ 100, 200, 5000, true },
	{ 100, 200, 1099, false },
	{ 100, 200, 1100, true },
};

static void test_silence(void **state)
{
	size_t i;

	(void)state;
	for (i = 0; i < G_N_ELEMENTS(silence_cases); i++) {
		const silence_case_t *c = &silence_cases[i];
		gh_executor_table_t *table = new_table(NULL);

		gh_executor_request_sent(table, "e1", false);
		gh_executor_request_ended(table, "e1", false, GH_SEND_COMPLETED,
					  1, gh_time_from_ms(c->success));
		assert_int_equal(gh_executor_connection_silent(
					 table, "e1", gh_time_from_ms(c->since),
					 gh_time_from_ms(1000),
					 gh_time_from_ms(c->now)),
				 c->silent);
		gh_executor_free(table);
	}
}

static void test_leaving_executor_gets_nothing(void **state)
{
	gh_executor_table_t *table =
		new_table("[executor e4]\ndomain=d1\naddress=127.0.8.4:9000\n"
			  "slots=8\nconnections=64\nstate=leaving\n");

	(void)state;
	assert_true(gh_executor_is_available(table, "e3", false, SLOTS, 0));
	assert_false(gh_executor_is_available(table, "e4", false, SLOTS, 0));
	assert_false(gh_executor_is_available(table, "e5", false, SLOTS, 0));
	gh_executor_free(table);
}

int main(void)
{
	const struct CMUnitTest tests[] = {
		cmocka_unit_test(test_ejection),
		cmocka_unit_test(test_no_more_than_a_part_is_ejected),
		cmocka_unit_test(test_failing_fast_attracts_no_work),
		cmocka_unit_test(test_long_work_leaves_a_slot),
		cmocka_unit_test(test_silence),
		cmocka_unit_test(test_leaving_executor_gets_nothing),
	};

	return cmocka_run_group_tests_name("core_executor", tests, NULL, NULL);
}
