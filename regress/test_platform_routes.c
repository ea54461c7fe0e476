/*
 * Runs the parser of the operator's configuration on tables of valid and
 * malformed texts.
 */
#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <stdint.h>
#include <cmocka.h>

#include "error.h"
#include "platform/platform_decode.h"

static void test_config(void **state)
{
	static const char good[] =
		"{\"version\":7,\"routes\":[{\"name\":\"r\",\"hostname\":"
		"\"h.example\",\"prefix\":\"/p/\",\"backend\":\"s\","
		"\"attempts\":2,\"stretch\":1.5},{\"name\":5},"
		"{\"name\":\"r2\",\"stretch\":1e300},"
		"{\"name\":\"r3\",\"timeout_ms\":\"1\"},"
		"{\"name\":\"r4\",\"attempts\":-1}],\"limits\":{}}";
	static const char *const bad[] = {
		"",
		"{}",
		"{\"version\":\"x\"}",
		"{\"version\":1,\"routes\":3}",
		"{\"version\":-1,\"routes\":[]}",
		"{\"version\":1e300,\"routes\":[]}",
		"{\"version\":9223372036854775808,\"routes\":[]}",
		"{\"routes\":[]}",
		"[{\"version\":1,\"routes\":[]}]",
	};
	GError *err = NULL;
	fleet_config_t *config = platform_parse_config(good, &err);
	size_t i;

	(void)state;
	assert_non_null(config);
	assert_int_equal(config->n_queues, 1);
	assert_int_equal(config->queues[0].policy.stretch_milli, 1500);
	fleet_config_unref(config);
	for (i = 0; i < G_N_ELEMENTS(bad); i++) {
		assert_null(platform_parse_config(bad[i], &err));
		assert_int_equal(gh_error_kind(err), GH_E_SYNTAX);
		g_clear_error(&err);
	}
}

#define ROUTE(name, hostname, prefix, more)                          \
	"{\"name\":\"" name "\",\"hostname\":\"" hostname            \
	"\",\"prefix\":\"" prefix "\",\"route_type\":\"idempotent\"" \
	",\"backend\":\"s\"" more "}"
#define PLAIN(more) ROUTE("r-1", "h.example", "/p/", more)
#define TEN_BYTES "ab3d5f7h9j"
#define FIFTY_BYTES TEN_BYTES TEN_BYTES TEN_BYTES TEN_BYTES TEN_BYTES

/* A route of a configuration; the figures are checked if it is read. */
typedef struct route_case {
	const char *text;
	bool ok;
	gh_queue_policy_t policy;
	int64_t timeout_ms;
} route_case_t;

static const route_case_t route_cases[] = {
	{ .text = PLAIN(",\"timeout_ms\":3000,\"target_latency_ms\":250,"
			"\"priority\":2,\"attempts\":4,\"stretch\":1.5"),
	  .ok = true,
	  .policy = { .priority = 2,
		      .attempts = 4,
		      .stretch_milli = 1500,
		      .target_ms = 250 },
	  .timeout_ms = 3000 },
	{ .text = PLAIN(",\"timeout_ms\":3e3,\"priority\":2.0,"
			"\"attempts\":1,\"stretch\":2,\"colour\":[{}]"),
	  .ok = true,
	  .policy = { .priority = 2, .attempts = 1, .stretch_milli = 2000 },
	  .timeout_ms = 3000 },
	/* figures omitted */
	{ .text = PLAIN(""), .ok = true },
	{ .text = PLAIN(",\"priority\":0,\"stretch\":0.0"), .ok = true },
	{ .text = PLAIN(",\"timeout_ms\":null,\"attempts\":null,"
			"\"priority\":null,\"stretch\":null"),
	  .ok = true },
	/* figures beyond those that the scheduler takes */
	{ .text = PLAIN(",\"timeout_ms\":9223372036854775807,"
			"\"target_latency_ms\":1e300,\"priority\":1000,"
			"\"attempts\":4294967296,\"stretch\":1000.5"),
	  .ok = true,
	  .policy = { .priority = 999,
		      .attempts = UINT32_MAX,
		      .stretch_milli = 1000000,
		      .target_ms = INT64_C(1) << 40 },
	  .timeout_ms = INT64_C(1) << 40 },
	/* names of any bytes */
	{ .text = ROUTE("r-\xc4\x8d", "\xc4\x8d.example", "/\xc4\x8d/", ""),
	  .ok = true },
	/* the longest host name of DNS, and a longer path */
	{ .text = ROUTE("r-1",
			FIFTY_BYTES FIFTY_BYTES FIFTY_BYTES FIFTY_BYTES
			"." FIFTY_BYTES "de",
			"/" FIFTY_BYTES FIFTY_BYTES FIFTY_BYTES FIFTY_BYTES
			"/" FIFTY_BYTES FIFTY_BYTES "/",
			""),
	  .ok = true },
	/* names of another type, missing or with blanks */
	{ .text = "{}" },
	{ .text = "7" },
	{ .text = "{\"name\":5,\"hostname\":\"h\",\"prefix\":\"/\","
		  "\"backend\":\"s\"}" },
	{ .text = "{\"name\":\"r-1\",\"hostname\":\"h\",\"prefix\":\"/\"}" },
	{ .text = ROUTE("", "h.example", "/p/", "") },
	{ .text = ROUTE("r 1", "h.example", "/p/", "") },
	{ .text = ROUTE("r-1", "h.example", "/p/", ",\"backend\":\"a b\"") },
	/* figures of another type or below 0 */
	{ .text = PLAIN(",\"timeout_ms\":\"1\"") },
	{ .text = PLAIN(",\"priority\":true") },
	{ .text = PLAIN(",\"attempts\":-1") },
	{ .text = PLAIN(",\"stretch\":-0.5") },
	{ .text = PLAIN(",\"stretch\":\"2\"") },
};

#define CONFIG(more) "{\"version\":7" more "}"
#define ROUTES ",\"routes\":[" PLAIN("") "]"

static const struct {
	const char *text;
	size_t queues;
} config_cases[] = {
	{ CONFIG(ROUTES), 1 },
	{ CONFIG(ROUTES ",\"services\":[],\"limits\":null,\"x\":{}"), 1 },
	{ "{\"version\":7.0" ROUTES "}", 1 },
	/* all routes removed */
	{ CONFIG(",\"routes\":[]"), 0 },
	{ CONFIG(",\"routes\":null"), 0 },
	{ CONFIG(""), 0 },
	/* values that are not used here */
	{ CONFIG(ROUTES ",\"limits\":{\"max_body_bytes\":\"1\"}"), 1 },
	{ CONFIG(ROUTES ",\"limits\":{\"max_body_bytes\":-1}"), 1 },
	{ CONFIG(ROUTES ",\"limits\":"
			"{\"max_body_bytes\":18446744073709551615}"),
	  1 },
	{ CONFIG(",\"routes\":[" PLAIN(
		  ",\"timeout_ms\":18446744073709551615") "]"),
	  1 },
	{ CONFIG(ROUTES ",\"services\":{\"max_conns\":1e300}"), 1 },
};

/* CONFIG: a version is never put in force. */
static void test_no_valid_config_is_left_out(void **state)
{
	size_t i;

	(void)state;
	for (i = 0; i < G_N_ELEMENTS(config_cases); i++) {
		fleet_config_t *config =
			platform_parse_config(config_cases[i].text, NULL);

		if (!config || config->version != 7 ||
		    config->n_queues != config_cases[i].queues)
			fail_msg("case %zu: %s", i, config_cases[i].text);
		fleet_config_unref(config);
	}
}

/* CONFIG: a route that the operator has added is answered 404. */
static void test_no_valid_route_is_left_out(void **state)
{
	size_t i;

	(void)state;
	for (i = 0; i < G_N_ELEMENTS(route_cases); i++) {
		const route_case_t *c = &route_cases[i];
		char *text = g_strdup_printf("{\"version\":7,\"routes\":[%s,"
					     "%s],\"limits\":{}}",
					     c->text, PLAIN(""));
		fleet_config_t *config = platform_parse_config(text, NULL);
		const fleet_queue_t *queue;

		assert_non_null(config);
		if (config->n_queues != 1u + c->ok ||
		    config->n_unread != !c->ok)
			fail_msg("case %zu: %zu queues of %s", i,
				 config->n_queues, text);
		queue = &config->queues[0];
		if (c->ok) {
			assert_int_equal(queue->policy.priority,
					 c->policy.priority);
			assert_int_equal(queue->policy.attempts,
					 c->policy.attempts);
			assert_int_equal(queue->policy.stretch_milli,
					 c->policy.stretch_milli);
			assert_int_equal(queue->policy.target_ms,
					 c->policy.target_ms);
			assert_int_equal(queue->timeout_ms, c->timeout_ms);
		}
		fleet_config_unref(config);
		g_free(text);
	}
}

int main(void)
{
	static const struct CMUnitTest tests[] = {
		cmocka_unit_test(test_config),
		cmocka_unit_test(test_no_valid_config_is_left_out),
		cmocka_unit_test(test_no_valid_route_is_left_out),
	};

	return cmocka_run_group_tests(tests, NULL, NULL);
}
