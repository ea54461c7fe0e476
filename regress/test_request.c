/*
 * The callers' front on processes: what each kind of input and each fault of
 * an executor gives, silent connections, spilling, and the graceful end.
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

#define CALL_MS 30000
#define BODY_MAX 65536

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

static proc_answer_t call(unsigned entry, const char *method, const char *path,
			  const char *const *headers, const char *body)
{
	char *url =
		g_strdup_printf("http://%s%s", sys->entries[entry].at, path);
	proc_answer_t answer = proc_http(method, url, headers, body, CALL_MS);

	g_free(url);
	return answer;
}

static void expect(const char *name, proc_answer_t *answer, int status,
		   const char *error, const char *outcome)
{
	const char *told = proc_answer_header(answer, "x-outcome");
	const char *kind = fake_str(answer->json, "error", NULL);

	if (answer->status != status || g_strcmp0(told, outcome) != 0 ||
	    (error && g_strcmp0(kind, error) != 0))
		fail_msg("%s: %d %s, outcome %s", name, answer->status,
			 answer->body, told ? told : "-");
	proc_answer_clear(answer);
}

/* One header at most; a POST has a body. */
typedef struct input_case {
	const char *name;
	const char *method;
	const char *path;
	const char *headers[3];
	int status;
	const char *error;
	const char *outcome;
} input_case_t;

#define KEY(k) "Idempotency-Key: " k
#define FIRST "X-Attempt: 0"

static const input_case_t inputs[] = {
	{ "read", "GET", "/r/order/a?b=c", { NULL }, 200, NULL, "done" },
	{ "head", "HEAD", "/r/order", { NULL }, 200, NULL, "done" },
	{ "first order",
	  "POST",
	  "/r/order/a",
	  { KEY("i1"), FIRST },
	  200,
	  NULL,
	  "done" },
	{ "same key again",
	  "POST",
	  "/r/order/a",
	  { KEY("i1"), FIRST },
	  409,
	  "duplicate",
	  "unknown" },
	{ "same key, other service",
	  "POST",
	  "/r/desk/a",
	  { KEY("i1"), FIRST },
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
	{ "no key", "POST", "/r/order/a", { FIRST }, 400, "no_key", "not_run" },
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
	  { KEY("a b"), FIRST },
	  400,
	  "bad_request",
	  "not_run" },
	{ "repeat without a first",
	  "POST",
	  "/r/order",
	  { KEY("i2"), "X-Attempt: 1" },
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
		proc_answer_t answer =
			call(0, c->method, c->path, c->headers, body);

		expect(c->name, &answer, c->status, c->error, c->outcome);
	}
}

typedef struct header_case {
	const char *name;
	bool passes;
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
		    header_cases[i].passes)
			fail_msg("%s", header_cases[i].name);
}

static void test_body_is_bounded(void **state)
{
	static const char *const headers[] = { "X-Idempotent: 1", NULL };
	static const size_t sizes[] = { BODY_MAX, BODY_MAX + 1,
					3 * 1024 * 1024 };
	static const int statuses[] = { 200, 413, 413 };
	size_t i;

	(void)state;
	for (i = 0; i < G_N_ELEMENTS(sizes); i++) {
		char *body = g_strnfill(sizes[i], 'x');
		proc_answer_t answer =
			call(0, "POST", "/r/order", headers, body);

		if (answer.status != statuses[i])
			fail_msg("%zu bytes: %d %s", sizes[i], answer.status,
				 answer.body);
		proc_answer_clear(&answer);
		g_free(body);
	}
}

static void set_mode(const char *mode, int next)
{
	unsigned i;

	for (i = 0; i < sys->n_executors; i++)
		json_decref(proc_ctl(sys->executors[i].at,
				     "{\"mode\":\"%s\",\"next\":%d}", mode,
				     next));
}

/* All executors have the fault, for one request each or for all. */
typedef struct fault_case {
	const char *mode;
	int next;
	bool order; /* not idempotent */
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
		char *key = g_strdup_printf(KEY("f%zu"), i);
		const char *order[] = { key, FIRST, "X-Remaining-Ms: 500",
					NULL };
		const char *query[] = { "X-Remaining-Ms: 500", NULL };
		proc_answer_t answer;

		set_mode(c->mode, c->next);
		answer = call(0, c->order ? "POST" : "GET", "/r/order",
			      c->order ? order : query,
			      c->order ? "body" : NULL);
		set_mode("up", 0);
		expect(c->mode, &answer, c->status, c->error, c->outcome);
		g_free(key);
	}
	system_check_executors(sys);
}

static void link_all(const char *mode)
{
	unsigned i;

	for (i = 0; i < sys->n_executors; i++)
		system_link(sys, "executor", sys->executors[i].name, mode);
}

static void test_reading_goes_on_past_silent_connections(void **state)
{
	static const caller_options_t reading = { .threads = 4,
						  .method = "GET" };
	caller_t *caller = caller_start(sys, &reading);

	(void)state;
	caller_wait_done(caller, 200);
	link_all("silent");
	caller_wait_done(caller, 200);
	link_all("pass");
	caller_wait_done(caller, 50);
	caller_stop(caller);
	caller_check(caller);
	caller_free(caller);
	assert_int_equal(system_counters(sys, "executors_ejected"), 0);
}

/* A host that its document names leaving takes nothing new. */
static void test_leaving_host(void **state)
{
	char *leaving = system_document(sys, "e0");
	char *active = system_document(sys, "");
	proc_answer_t answer;

	(void)state;
	system_accept(sys, 1, leaving);
	system_wait_generation(sys, 0, sys->generation);
	answer = call(0, "GET", "/r/order", NULL, NULL);
	expect("leaving", &answer, 503, "draining", "not_run");
	answer = call(1, "GET", "/r/order", NULL, NULL);
	expect("the other", &answer, 200, NULL, "done");
	system_accept(sys, 1, active);
	system_wait_generation(sys, 0, sys->generation);
	system_entry_wait_ready(sys, 0);
	g_free(leaving);
	g_free(active);
}

/* A domain whose executors are all leaving passes its work on. */
static void test_spill(void **state)
{
	char *text = system_document(sys, "x0 x1");
	proc_answer_t answer;

	(void)state;
	system_accept(sys, 0, text);
	system_wait_generation(sys, -1, sys->generation);
	answer = call(0, "GET", "/r/order", NULL, NULL);
	expect("spilled", &answer, 200, NULL, "done");
	g_free(text);
}

/*
 * The last host of its domain takes orders as long as a majority of all hosts
 * keeps the claim; a repeat elsewhere still finds it.
 */
static void test_orders_go_on_beside_a_dead_host(void **state)
{
	static const system_options_t pairs = {
		.domains = 2,
		.entries = 2,
		.executors = 1,
		.run_ms = 5,
	};
	static const char *const first[] = { KEY("alone"), FIRST, NULL };
	static const char *const again[] = { KEY("alone"), "X-Attempt: 1",
					     NULL };
	system_t *shared = sys;
	proc_answer_t answer;

	(void)state;
	sys = system_new(&pairs);
	proc_kill(&sys->entries[0].proc);
	answer = call(1, "POST", "/r/order", first, "body");
	expect("first", &answer, 200, NULL, "done");
	answer = call(2, "POST", "/r/order", again, "body");
	expect("again", &answer, 409, "duplicate", "unknown");
	proc_kill(&sys->entries[2].proc);
	answer = call(1, "POST", "/r/desk", first, "body");
	expect("half are dead", &answer, 503, "claim_no_peer", "not_run");
	system_free(sys);
	sys = shared;
}

typedef struct ending {
	proc_answer_t answer;
	const char *method;
} ending_t;

static void *call_slowly(void *arg)
{
	static const char *const headers[] = { KEY("slow"), FIRST, NULL };
	ending_t *ending = arg;

	ending->answer = call(0, "POST", "/r/order?run_ms=800", headers, "b");
	return NULL;
}

static bool is_under_way(void *arg)
{
	unsigned i;
	json_int_t busy = 0;

	(void)arg;
	for (i = 0; i < sys->n_executors; i++) {
		json_t *show = proc_ctl(sys->executors[i].at, "{}");

		busy += fake_int(show, "busy", 0);
		json_decref(show);
	}
	return busy > 0;
}

static void test_graceful_end_cuts_nothing_off(void **state)
{
	ending_t ending = { 0 };
	pthread_t thread;

	(void)state;
	assert_int_equal(pthread_create(&thread, NULL, call_slowly, &ending),
			 0);
	proc_until(is_under_way, NULL, "request under way");
	proc_stop(&sys->entries[0].proc);
	pthread_join(thread, NULL);
	expect("slow", &ending.answer, 200, NULL, "done");
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
		cmocka_unit_test(test_orders_go_on_beside_a_dead_host),
		cmocka_unit_test(test_graceful_end_cuts_nothing_off),
	};

	return cmocka_run_group_tests_name("request", tests, set_up, tear_down);
}
