/*
 * Tests of error kinds and messages, of counters, and of what the HTTP client
 * reports when nothing listens at the address.
 */
#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <cmocka.h>
#include <string.h>

#include "clock.h"
#include "counter.h"
#include "error.h"
#include "http_client.h"

static void test_error_kinds_are_complete(void **state)
{
	int i;

	(void)state;
	for (i = 0; i < GH_E_COUNT; i++) {
		gh_error_kind_t kind = (gh_error_kind_t)i;

		assert_non_null(gh_error_name(kind));
		assert_true(strlen(gh_error_remedy(kind)) > 0);
		assert_in_range(gh_error_status(kind), 400, 599);
		assert_int_equal(gh_error_by_name(gh_error_name(kind)), kind);
	}
}

static void test_error_message_ends_with_remedy(void **state)
{
	GError *err = NULL;

	(void)state;
	gh_error_set(&err, GH_E_NO_SERVICE, "no service \"%s\"", "x");
	assert_int_equal(gh_error_kind(err), GH_E_NO_SERVICE);
	assert_string_equal(err->message,
			    "no service \"x\"; "
			    "use a service that the document names");
	g_error_free(err);
}

static void test_counters_count(void **state)
{
	uint64_t before = counter_get(CTR_RETRY_BUSY);
	char *text;

	(void)state;
	counter_add(CTR_RETRY_BUSY, 2);
	counter_inc_refusals(GH_E_QUEUE_FULL);
	assert_int_equal(counter_get(CTR_RETRY_BUSY), before + 2);
	text = counter_format_all();
	assert_non_null(strstr(text, "retry_busy 2\n"));
	assert_non_null(strstr(text, "refused_queue_full 1\n"));
	g_free(text);
}

static void test_http_unsent_without_listener(void **state)
{
	http_client_t *client = http_client_new(1, GH_USEC_PER_SEC);
	http_call_t call = {
		.method = "POST",
		.url = "http://127.0.0.1:9/",
		.body = "x",
		.body_len = 1,
		.deadline = clock_boot() + 10 * GH_USEC_PER_SEC,
		.write_once = true,
	};
	http_response_t answer;

	(void)state;
	assert_false(http_client_call(client, &call, &answer));
	assert_int_equal(answer.stage, HTTP_STAGE_UNSENT);
	assert_int_equal(answer.fault, HTTP_FAULT_CONNECT);
	http_response_clear(&answer);
	http_client_free(client);
}

int main(void)
{
	const struct CMUnitTest tests[] = {
		cmocka_unit_test(test_error_kinds_are_complete),
		cmocka_unit_test(test_error_message_ends_with_remedy),
		cmocka_unit_test(test_counters_count),
		cmocka_unit_test(test_http_unsent_without_listener),
	};

	return cmocka_run_group_tests_name("plumbing", tests, NULL, NULL);
}
