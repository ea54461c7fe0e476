/*
 * Tests of the console of running entry hosts: JSON endpoints, sign-in and
 * sessions, CSRF checks, and the forms from editing a draft to its acceptance,
 * also when another operator's document was accepted first.
 */
#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <cmocka.h>
#include <string.h>

#include "system.h"

#define CONSOLE_PORT 8001
#define CALL_TIMEOUT_MS 20000
#define OPERATOR "X-Operator: haddad"
#define SECRET "X-Secret: " SYSTEM_SECRET

static const char forwarded_job_json[] =
	"{\"name\":\"j\",\"department\":\"haddad\",\"domain\":\"d0\","
	"\"kind\":\"k\",\"class\":\"batch\",\"urgent\":false,"
	"\"tasks\":1,\"cores_milli\":100,\"memory_mb\":10,"
	"\"accelerators\":0,\"run_ms\":10,\"command\":\"c\"}";

/* A signed-in browser: its session cookie and its CSRF token for forms. */
typedef struct browser {
	system_t *sys;
	char *cookie;
	char *csrf;
} browser_t;

static int set_up(void **state)
{
	static const system_options_t options = {
		.domains = 1,
		.entries = 2,
		.executors = 1,
		.workers = 1,
		.run_ms = 5,
	};

	*state = system_new(&options);
	return 0;
}

static int tear_down(void **state)
{
	system_free(*state);
	return 0;
}

static proc_response_t console_call(system_t *sys, const char *method,
				    const char *path,
				    const char *const *headers,
				    const char *body)
{
	char *url = g_strdup_printf("http://%s:%d%s", sys->entries[0].ip,
				    CONSOLE_PORT, path);
	proc_response_t answer =
		proc_http(method, url, headers, body, CALL_TIMEOUT_MS);

	g_free(url);
	return answer;
}

static proc_response_t get_page(browser_t *browser, const char *path)
{
	const char *headers[] = { browser->cookie, NULL };

	return console_call(browser->sys, "GET", path, headers, NULL);
}

static proc_response_t post_form(browser_t *browser, const char *path,
				 const char *fields)
{
	const char *headers[] = { "Content-Type: "
				  "application/x-www-form-urlencoded",
				  browser->cookie, NULL };
	char *body = g_strdup_printf("csrf=%s&%s", browser->csrf, fields);
	proc_response_t answer =
		console_call(browser->sys, "POST", path, headers, body);

	g_free(body);
	return answer;
}

static char *read_csrf(const char *page)
{
	static const char csrf_prefix[] = "name=\"csrf\" value=\"";
	const char *value = strstr(page, csrf_prefix);

	assert_non_null(value);
	value += strlen(csrf_prefix);
	return g_strndup(value, strcspn(value, "\""));
}

static browser_t sign_in(system_t *sys, const char *name)
{
	static const char *const headers[] = {
		"Content-Type: application/x-www-form-urlencoded", NULL
	};
	browser_t browser = { .sys = sys };
	char *fields =
		g_strdup_printf("operator=%s&secret=" SYSTEM_SECRET, name);
	proc_response_t answer =
		console_call(sys, "POST", "/sign-in", headers, fields);
	const char *cookie = proc_response_header(&answer, "set-cookie");

	assert_int_equal(answer.status, 303);
	assert_non_null(cookie);
	assert_non_null(strstr(cookie, "HttpOnly"));
	assert_non_null(strstr(cookie, "SameSite=Strict"));
	browser.cookie = g_strdup_printf("Cookie: %.*s",
					 (int)strcspn(cookie, ";"), cookie);
	proc_response_clear(&answer);
	answer = get_page(&browser, "/forms/services");
	assert_int_equal(answer.status, 200);
	browser.csrf = read_csrf(answer.body);
	proc_response_clear(&answer);
	g_free(fields);
	return browser;
}

static void browser_clear(browser_t *browser)
{
	g_free(browser->cookie);
	g_free(browser->csrf);
}

static void assert_page(proc_response_t answer, int status, const char *text)
{
	const char *body = answer.body ? answer.body : "";

	assert_int_equal(answer.status, status);
	if (!strstr(body, text))
		fail_msg("no \"%s\" in: %s", text, body);
	proc_response_clear(&answer);
}

static const struct {
	const char *method;
	const char *path;
	const char *headers[4];
	const char *body;
	int status;
	const char *error; /* name of the expected error, or NULL */
} calls[] = {
	{ "GET", "/v1/status", { NULL }, NULL, 200, NULL },
	{ "GET", "/v1/document", { NULL }, NULL, 401, "unauthenticated" },
	{ "GET",
	  "/v1/document",
	  { "X-Peer-Digest: 00", NULL },
	  NULL,
	  401,
	  "unauthenticated" },
	{ "GET",
	  "/v1/document",
	  { OPERATOR, "X-Secret: x", NULL },
	  NULL,
	  401,
	  "unauthenticated" },
	{ "PUT",
	  "/v1/document",
	  { OPERATOR, SECRET, NULL },
	  "",
	  400,
	  "bad_request" },
	{ "PUT",
	  "/v1/document",
	  { OPERATOR, SECRET, "X-Expect-Generation: -1", NULL },
	  "",
	  400,
	  "bad_request" },
	{ "PUT",
	  "/v1/document",
	  { OPERATOR, SECRET, "X-Expect-Generation: 1", NULL },
	  "[nothing]\n",
	  400,
	  "unknown_group" },
	{ "POST", "/v1/jobs", { OPERATOR, SECRET, NULL }, "{", 400, "syntax" },
	{ "POST", "/v1/jobs", { NULL }, "{}", 401, "unauthenticated" },
	{ "POST",
	  "/v1/jobs",
	  { OPERATOR, SECRET, NULL },
	  "{\"name\":\"j\",\"department\":\"association\","
	  "\"domain\":\"d0\",\"kind\":\"k\",\"class\":\"batch\","
	  "\"urgent\":false,\"tasks\":1,\"cores_milli\":100,"
	  "\"memory_mb\":10,\"accelerators\":0,\"run_ms\":10,"
	  "\"command\":\"c\"}",
	  403,
	  "forbidden" },
	{ "POST",
	  "/v1/drain",
	  { OPERATOR, SECRET, NULL },
	  NULL,
	  403,
	  "forbidden" },
};

static void test_calls(void **state)
{
	system_t *sys = *state;
	size_t i;

	for (i = 0; i < G_N_ELEMENTS(calls); i++) {
		proc_response_t answer =
			console_call(sys, calls[i].method, calls[i].path,
				     calls[i].headers, calls[i].body);
		const char *error = json_string_value(
			json_object_get(answer.json, "error"));

		if (answer.status != calls[i].status ||
		    g_strcmp0(error, calls[i].error) != 0)
			fail_msg("%s %s: %d %s", calls[i].method, calls[i].path,
				 answer.status, answer.body);
		proc_response_clear(&answer);
	}
}

/*
 * Whether one host accepts a job that is marked as forwarded and the other
 * refuses it, since it may not forward it again.
 */
static bool one_host_accepts(void *arg)
{
	static const char *const headers[] = { OPERATOR, SECRET,
					       "X-Forwarded-By: e9", NULL };
	system_t *sys = arg;
	int accepted = 0;
	int refused = 0;
	unsigned i;

	for (i = 0; i < sys->n_entries; i++) {
		char *url = g_strdup_printf("http://%s:%d/v1/jobs",
					    sys->entries[i].ip, CONSOLE_PORT);
		proc_response_t answer =
			proc_http("POST", url, headers, forwarded_job_json,
				  CALL_TIMEOUT_MS);

		accepted += answer.status == 200;
		refused += answer.status == 421;
		proc_response_clear(&answer);
		g_free(url);
	}
	return accepted == 1 && refused == 1;
}

/* A job submission is forwarded to the owner of the job's shard, but only once.
 */
static void test_jobs_are_passed_on_once(void **state)
{
	system_submit(*state, 0, forwarded_job_json);
	system_submit(*state, 1, forwarded_job_json);
	proc_wait_until(one_host_accepts, *state, "one owner");
}

static void test_too_large_bodies_are_refused(void **state)
{
	static const char *const headers[] = { OPERATOR, SECRET,
					       "X-Expect-Generation: 1", NULL };
	char *body = g_strnfill(4 * 1024 * 1024, '#');
	proc_response_t answer =
		console_call(*state, "PUT", "/v1/document", headers, body);

	assert_int_equal(answer.status, 413);
	assert_non_null(strstr(answer.body, "too_large"));
	proc_response_clear(&answer);
	g_free(body);
}

static void test_pages_need_a_session(void **state)
{
	static const char *const paths[] = { "/forms/services", "/preview",
					     "/edit?word=policy" };
	browser_t signed_out = { .sys = *state, .cookie = "Cookie: session=" };
	size_t i;

	for (i = 0; i < G_N_ELEMENTS(paths); i++) {
		proc_response_t answer = get_page(&signed_out, paths[i]);

		assert_int_equal(answer.status, 303);
		assert_string_equal(proc_response_header(&answer, "location"),
				    "/sign-in");
		proc_response_clear(&answer);
	}
}

static void test_wrong_secret_is_refused(void **state)
{
	static const char *const headers[] = {
		"Content-Type: application/x-www-form-urlencoded", NULL
	};
	proc_response_t answer =
		console_call(*state, "POST", "/sign-in", headers,
			     "operator=%3Cb%3Ehaddad&secret=no");

	assert_null(proc_response_header(&answer, "set-cookie"));
	assert_null(strstr(answer.body, "<b>haddad"));
	assert_page(answer, 401, "&lt;b&gt;haddad");
}

static void test_forms_need_their_proof(void **state)
{
	static const char fields[] = "word=service&name=desk&expected_ms=9";
	browser_t browser = sign_in(*state, "haddad");
	const char *foreign_headers[] = {
		"Content-Type: application/x-www-form-urlencoded",
		browser.cookie, "Origin: http://elsewhere.example", NULL
	};
	char *body = g_strdup_printf("csrf=%s&%s", browser.csrf, fields);
	char *csrf = browser.csrf;

	browser.csrf = "00";
	assert_page(post_form(&browser, "/edit", fields), 403, "does not come");
	browser.csrf = csrf;
	assert_page(
		console_call(*state, "POST", "/edit", foreign_headers, body),
		403, "does not come");
	assert_page(get_page(&browser, "/preview"), 200, "changed nothing");
	g_free(body);
	browser_clear(&browser);
}

static void test_names_are_escaped(void **state)
{
	browser_t browser = sign_in(*state, "haddad");
	proc_response_t answer =
		get_page(&browser, "/edit?word=service&name=%3Cscript%3E");

	assert_null(strstr(answer.body, "<script"));
	assert_page(answer, 400, "&lt;script&gt;");
	browser_clear(&browser);
}

static void test_form_to_acceptance(void **state)
{
	browser_t browser = sign_in(*state, "haddad");

	assert_page(get_page(&browser, "/edit?word=service&name=desk"), 200,
		    "name=\"expected_ms\" value=\"20\"");
	assert_page(post_form(&browser, "/edit",
			      "word=service&name=desk&action=save&"
			      "department=haddad&class=latency&expected_ms=31"),
		    303, "");
	assert_page(get_page(&browser, "/preview"), 200,
		    "~ [service desk] expected_ms=20 -&gt; 31");
	assert_page(post_form(&browser, "/accept", ""), 200, "is accepted");
	assert_page(get_page(&browser, "/edit?word=service&name=desk"), 200,
		    "name=\"expected_ms\" value=\"31\"");
	browser_clear(&browser);
}

static void test_foreign_department_is_refused(void **state)
{
	browser_t browser = sign_in(*state, "haddad");

	assert_page(post_form(&browser, "/edit",
			      "word=service&name=order&action=save&"
			      "department=haddad&class=latency&expected_ms=20"),
		    303, "");
	assert_page(get_page(&browser, "/preview"), 200,
		    "may not be changed by");
	assert_page(post_form(&browser, "/accept", ""), 403,
		    "may not be changed by");
	assert_page(post_form(&browser, "/discard", ""), 303, "");
	browser_clear(&browser);
}

static void test_lost_race_keeps_what_was_typed(void **state)
{
	browser_t late_browser = sign_in(*state, "haddad");
	browser_t first_browser = sign_in(*state, "association");
	proc_response_t answer;

	assert_page(
		post_form(&late_browser, "/edit",
			  "word=department&name=haddad&action=save&weight=1&"
			  "guarantee_percent=40&limit_percent=100&"
			  "jobs_max=77"),
		303, "");
	assert_page(post_form(&first_browser, "/edit",
			      "word=department&name=association&action=save&"
			      "weight=1&guarantee_percent=40&limit_percent=100&"
			      "jobs_max=66"),
		    303, "");
	assert_page(post_form(&first_browser, "/accept", ""), 200,
		    "is accepted");
	assert_page(post_form(&late_browser, "/accept", ""), 409,
		    "~ [department association] jobs_max=5000 -&gt; 66");
	answer = get_page(&late_browser, "/preview");
	assert_null(strstr(answer.body, "may not be changed"));
	assert_page(answer, 200,
		    "~ [department haddad] jobs_max=5000 -&gt; 77");
	assert_page(post_form(&late_browser, "/rebase", ""), 303, "");
	assert_page(post_form(&late_browser, "/accept", ""), 200,
		    "is accepted");
	assert_page(get_page(&late_browser,
			     "/edit?word=department&name=association"),
		    200, "name=\"jobs_max\" value=\"66\"");
	browser_clear(&late_browser);
	browser_clear(&first_browser);
}

static void test_sign_out_ends_the_session(void **state)
{
	browser_t browser = sign_in(*state, "haddad");

	assert_page(post_form(&browser, "/sign-out", ""), 303, "");
	assert_page(get_page(&browser, "/preview"), 303, "");
	browser_clear(&browser);
}

int main(void)
{
	const struct CMUnitTest tests[] = {
		cmocka_unit_test(test_calls),
		cmocka_unit_test(test_jobs_are_passed_on_once),
		cmocka_unit_test(test_too_large_bodies_are_refused),
		cmocka_unit_test(test_pages_need_a_session),
		cmocka_unit_test(test_wrong_secret_is_refused),
		cmocka_unit_test(test_forms_need_their_proof),
		cmocka_unit_test(test_names_are_escaped),
		cmocka_unit_test(test_form_to_acceptance),
		cmocka_unit_test(test_foreign_department_is_refused),
		cmocka_unit_test(test_lost_race_keeps_what_was_typed),
		cmocka_unit_test(test_sign_out_ends_the_session),
	};

	return cmocka_run_group_tests_name("console", tests, set_up, tear_down);
}
