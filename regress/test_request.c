/*
 * Tests the front for callers with real processes: the response to each kind
 * of input and each executor fault, connections that become silent, spilling
 * to another domain, and graceful shutdown.
 */
#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <cmocka.h>
#include <pthread.h>
#include <stdio.h>
#include <string.h>

#include "caller.h"
#include "clock.h"
#include "fake.h"
#include "front_internal.h"

#define CALL_TIMEOUT_MS 30000
#define BODY_MAX_BYTES 65536 /* default of request_body_max */

static const system_options_t options = {
	.domains = 2,
	.entries = 1,
	.executors = 2,
	.run_ms = 5,
	.policy = "retry_max=3\n",
};

static system_t *sys;

static int set_up(void **state)
{
	(void)state;
	sys = system_new(&options);
	return 0;
}

static int tear_down(void **state)
{
	(void)state;
	system_free(sys);
	return 0;
}

static proc_response_t send_call(unsigned entry, const char *method,
				 const char *path, const char *const *headers,
				 const char *body)
{
	char *url = g_strdup_printf("http://%s%s", sys->entries[entry].address,
				    path);
	proc_response_t response =
		proc_http(method, url, headers, body, CALL_TIMEOUT_MS);

	g_free(url);
	return response;
}

/* Checks and clears a response; error NULL accepts any error. */
static void expect(const char *name, proc_response_t *response, int status,
		   const char *error, const char *outcome)
{
	const char *got_outcome = proc_response_header(response, "x-outcome");
	const char *got_error = fake_json_string(response->json, "error", NULL);

	if (response->status != status ||
	    g_strcmp0(got_outcome, outcome) != 0 ||
	    (error && g_strcmp0(got_error, error) != 0))
		fail_msg("%s: status %d, body %s, outcome %s", name,
			 response->status, response->body,
			 got_outcome ? got_outcome : "-");
	proc_response_clear(response);
}

/* A request and its expected response; a POST is sent with a body. */
typedef struct input_case {
	const char *name;
	const char *method;
	const char *path;
	const char *headers[3];
	int status;
	const char *error;
	const char *outcome;
} input_case_t;

#define KEY_HEADER(k) "Idempotency-Key: " k
#define FIRST_ATTEMPT "X-Attempt: 0"

static const input_case_t inputs[] = {
	{ "read", "GET", "/r/order/a?b=c", { NULL }, 200, NULL, "done" },
	{ "head", "HEAD", "/r/order", { NULL }, 200, NULL, "done" },
	{ "first order",
	  "POST",
	  "/r/order/a",
	  { KEY_HEADER("i1"), FIRST_ATTEMPT },
	  200,
	  NULL,
	  "done" },
	{ "same key again",
	  "POST",
	  "/r/order/a",
	  { KEY_HEADER("i1"), FIRST_ATTEMPT },
	  409,
	  "duplicate",
	  "unknown" },
	{ "same key, other service",
	  "POST",
	  "/r/desk/a",
	  { KEY_HEADER("i1"), FIRST_ATTEMPT },
	  200,
	  NULL,
	  "done" },
	{ "idempotent",
	  "POST",
	  "/r/order/a",
	  { "X-Idempotent: 1" },
	  200,
	  NULL,
	  "done" },
	{ "no key",
	  "POST",
	  "/r/order/a",
	  { FIRST_ATTEMPT },
	  400,
	  "no_key",
	  "not_run" },
	{ "no key, not marked",
	  "POST",
	  "/r/order/a",
	  { NULL },
	  400,
	  "no_key",
	  "unknown" },
	{ "no service",
	  "GET",
	  "/r/none/a",
	  { NULL },
	  404,
	  "no_service",
	  "not_run" },
	{ "empty service",
	  "GET",
	  "/r//a",
	  { NULL },
	  400,
	  "bad_request",
	  "not_run" },
	{ "long service",
	  "GET",
	  "/r/aaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaa",
	  { NULL },
	  400,
	  "bad_request",
	  "not_run" },
	{ "no path", "GET", "/x", { NULL }, 404, "not_found", "not_run" },
	{ "attempt",
	  "GET",
	  "/r/order",
	  { "X-Attempt: x" },
	  400,
	  "bad_request",
	  "not_run" },
	{ "negative attempt",
	  "GET",
	  "/r/order",
	  { "X-Attempt: -1" },
	  400,
	  "bad_request",
	  "not_run" },
	{ "remaining",
	  "GET",
	  "/r/order",
	  { "X-Remaining-Ms: 1s" },
	  400,
	  "bad_request",
	  "not_run" },
	{ "huge remaining",
	  "GET",
	  "/r/order",
	  { "X-Remaining-Ms: 99999999999999999999" },
	  400,
	  "bad_request",
	  "not_run" },
	{ "idempotent mark",
	  "GET",
	  "/r/order",
	  { "X-Idempotent: yes" },
	  400,
	  "bad_request",
	  "not_run" },
	{ "blank in key",
	  "POST",
	  "/r/order",
	  { KEY_HEADER("a b"), FIRST_ATTEMPT },
	  400,
	  "bad_request",
	  "not_run" },
	{ "repeat without a first",
	  "POST",
	  "/r/order",
	  { KEY_HEADER("i2"), "X-Attempt: 1" },
	  503,
	  "claim_unknown",
	  "unknown" },
};

static void test_input(void **state)
{
	size_t i;

	(void)state;
	for (i = 0; i < G_N_ELEMENTS(inputs); i++) {
		const input_case_t *c = &inputs[i];
		const char *body = strcmp(c->method, "POST") ? NULL : "body";
		proc_response_t response =
			send_call(0, c->method, c->path, c->headers, body);

		expect(c->name, &response, c->status, c->error, c->outcome);
	}
}

typedef struct header_case {
	const char *name;
	bool is_passed;
} header_case_t;

static const header_case_t header_cases[] = {
	{ "Content-Type", true },	{ "authorization", true },
	{ "Idempotency-Key", true },	{ "etag", true },
	{ "Content-Length", false },	{ "connection", false },
	{ "Transfer-Encoding", false }, { "X-Request-Id", false },
	{ "X-Remaining-Ms", false },	{ "x-not-run", false },
	{ "x-outcome", false },		{ "X-Forwarded-By", false },
};

static void test_headers_passed_on(void **state)
{
	size_t i;

	(void)state;
	for (i = 0; i < G_N_ELEMENTS(header_cases); i++)
		if (front_forwards_header(header_cases[i].name) !=
		    header_cases[i].is_passed)
			fail_msg("header %s: wrong decision to pass it on",
				 header_cases[i].name);
}

static void test_body_is_bounded(void **state)
{
	static const char *const headers[] = { "X-Idempotent: 1", NULL };
	static const size_t sizes[] = { BODY_MAX_BYTES, BODY_MAX_BYTES + 1,
					3 * 1024 * 1024 };
	static const int statuses[] = { 200, 413, 413 };
	size_t i;

	(void)state;
	for (i = 0; i < G_N_ELEMENTS(sizes); i++) {
		char *body = g_strnfill(sizes[i], 'x');
		proc_response_t response =
			send_call(0, "POST", "/r/order", headers, body);

		if (response.status != statuses[i])
			fail_msg("body of %zu bytes: status %d, body %s",
				 sizes[i], response.status, response.body);
		proc_response_clear(&response);
		g_free(body);
	}
}

static void set_executor_mode(const char *mode, int n_requests)
{
	unsigned i;

	for (i = 0; i < sys->n_executors; i++)
		json_decref(proc_control(sys->executors[i].address,
					 "{\"mode\":\"%s\",\"next\":%d}", mode,
					 n_requests));
}

/* A fault of all executors, and the expected response. */
typedef struct fault_case {
	const char *mode;
	int n_requests; /* requests per executor that have the fault; 0: all */
	bool is_post;	/* use POST, which is not idempotent and not retried */
	int status;
	const char *error;
	const char *outcome;
} fault_case_t;

static const fault_case_t faults[] = {
	{ "short", 1, false, 200, NULL, "done" },
	{ "crossed", 1, false, 200, NULL, "done" },
	{ "close", 1, false, 200, NULL, "done" },
	{ "short", 1, true, 502, "outcome_unknown", "unknown" },
	{ "crossed", 1, true, 502, "outcome_unknown", "unknown" },
	{ "close", 1, true, 502, "outcome_unknown", "unknown" },
	{ "silent", 1, true, 502, "outcome_unknown", "unknown" },
	{ "late", 1, true, 502, "outcome_unknown", "unknown" },
	{ "crossed", 0, false, 502, "bad_answer", "unknown" },
	{ "silent", 0, false, 504, "timeout", "unknown" },
};

static void test_faults(void **state)
{
	size_t i;

	(void)state;
	for (i = 0; i < G_N_ELEMENTS(faults); i++) {
		const fault_case_t *c = &faults[i];
		char *key = g_strdup_printf(KEY_HEADER("f%zu"), i);
		const char *post_headers[] = { key, FIRST_ATTEMPT,
					       "X-Remaining-Ms: 500", NULL };
		const char *get_headers[] = { "X-Remaining-Ms: 500", NULL };
		proc_response_t response;

		set_executor_mode(c->mode, c->n_requests);
		response = send_call(0, c->is_post ? "POST" : "GET", "/r/order",
				     c->is_post ? post_headers : get_headers,
				     c->is_post ? "body" : NULL);
		set_executor_mode("up", 0);
		expect(c->mode, &response, c->status, c->error, c->outcome);
		g_free(key);
	}
	system_check_executors(sys);
}

static void set_executor_links(const char *mode)
{
	unsigned i;

	for (i = 0; i < sys->n_executors; i++)
		system_set_link_mode(sys, "executor", sys->executors[i].name,
				     mode);
}

/*
 * When all open connections to the executors become silent, reads succeed over
 * new connections and no executor is ejected.
 */
static void test_reading_goes_on_past_silent_connections(void **state)
{
	static const caller_options_t get_options = { .threads = 4,
						      .method = "GET" };
	caller_t *caller = caller_start(sys, &get_options);

	(void)state;
	caller_wait_done(caller, 200);
	set_executor_links("silent");
	caller_wait_done(caller, 200);
	set_executor_links("pass");
	caller_wait_done(caller, 50);
	caller_stop(caller);
	caller_check(caller);
	caller_free(caller);
	assert_int_equal(system_counter_sum(sys, "executors_ejected"), 0);
}

/* An entry host in state "leaving" refuses new requests. */
static void test_leaving_host(void **state)
{
	char *leaving_document = system_document(sys, "e0");
	char *active_document = system_document(sys, "");
	proc_response_t response;

	(void)state;
	system_apply_until_accepted(sys, 1, leaving_document);
	system_wait_generation(sys, 0, sys->generation);
	response = send_call(0, "GET", "/r/order", NULL, NULL);
	expect("leaving host", &response, 503, "draining", "not_run");
	response = send_call(1, "GET", "/r/order", NULL, NULL);
	expect("active host", &response, 200, NULL, "done");
	system_apply_until_accepted(sys, 1, active_document);
	system_wait_generation(sys, 0, sys->generation);
	system_entry_wait_ready(sys, 0);
	g_free(leaving_document);
	g_free(active_document);
}

/* A domain whose executors are all leaving spills to another domain. */
static void test_spill(void **state)
{
	char *document = system_document(sys, "x0 x1");
	proc_response_t response;

	(void)state;
	system_apply_until_accepted(sys, 0, document);
	system_wait_generation(sys, -1, sys->generation);
	response = send_call(0, "GET", "/r/order", NULL, NULL);
	expect("spilled", &response, 200, NULL, "done");
	g_free(document);
}

static system_t *group_sys; /* sys of the group while a test has its own */

/* Starts a system of two entry hosts in each domain for one test. */
static int set_up_two_per_domain(void **state)
{
	static const system_options_t two_per_domain = {
		.domains = 2,
		.entries = 2,
		.executors = 1,
		.run_ms = 5,
	};

	(void)state;
	group_sys = sys;
	sys = system_new(&two_per_domain);
	return 0;
}

static int tear_down_two_per_domain(void **state)
{
	(void)state;
	system_free(sys);
	sys = group_sys;
	return 0;
}

/*
 * The only running host of its domain accepts non-idempotent requests while a
 * majority of all hosts is running to store the claim.  A retry at another
 * host finds the claim and is refused as a duplicate.
 */
static void test_orders_go_on_beside_a_dead_host(void **state)
{
	static const char *const first_headers[] = { KEY_HEADER("alone"),
						     FIRST_ATTEMPT, NULL };
	static const char *const retry_headers[] = { KEY_HEADER("alone"),
						     "X-Attempt: 1", NULL };
	proc_response_t response;

	(void)state;
	proc_kill(&sys->entries[0].proc);
	response = send_call(1, "POST", "/r/order", first_headers, "body");
	expect("first attempt", &response, 200, NULL, "done");
	response = send_call(2, "POST", "/r/order", retry_headers, "body");
	expect("retry at another host", &response, 409, "duplicate", "unknown");
	proc_kill(&sys->entries[2].proc);
	response = send_call(1, "POST", "/r/desk", first_headers, "body");
	expect("two of four hosts killed", &response, 503, "claim_no_peer",
	       "not_run");
}

typedef struct slow_call {
	proc_response_t response;
	const char *method;
} slow_call_t;

static void *slow_call_main(void *arg)
{
	static const char *const headers[] = { KEY_HEADER("slow"),
					       FIRST_ATTEMPT, NULL };
	slow_call_t *slow_call = arg;

	slow_call->response =
		send_call(0, "POST", "/r/order?run_ms=800", headers, "b");
	return NULL;
}

static bool is_request_running(void *arg)
{
	unsigned i;
	json_int_t busy = 0;

	(void)arg;
	for (i = 0; i < sys->n_executors; i++) {
		json_t *state_json =
			proc_control(sys->executors[i].address, "{}");

		busy += fake_json_int(state_json, "busy", 0);
		json_decref(state_json);
	}
	return busy > 0;
}

/* A request that runs when the entry host gets SIGTERM still succeeds. */
static void test_graceful_end_cuts_nothing_off(void **state)
{
	slow_call_t slow_call = { 0 };
	pthread_t thread;

	(void)state;
	assert_int_equal(
		pthread_create(&thread, NULL, slow_call_main, &slow_call), 0);
	proc_wait_until(is_request_running, NULL,
			"request running on an executor");
	proc_stop(&sys->entries[0].proc);
	pthread_join(thread, NULL);
	expect("request during shutdown", &slow_call.response, 200, NULL,
	       "done");
}

int main(void)
{
	const struct CMUnitTest tests[] = {
		cmocka_unit_test(test_input),
		cmocka_unit_test(test_headers_passed_on),
		cmocka_unit_test(test_body_is_bounded),
		cmocka_unit_test(test_faults),
		cmocka_unit_test(test_reading_goes_on_past_silent_connections),
		cmocka_unit_test(test_leaving_host),
		cmocka_unit_test(test_spill),
		cmocka_unit_test_setup_teardown(
			test_orders_go_on_beside_a_dead_host,
			set_up_two_per_domain, tear_down_two_per_domain),
		cmocka_unit_test(test_graceful_end_cuts_nothing_off),
	};

	return cmocka_run_group_tests_name("request", tests, set_up, tear_down);
}
