/*
 * Tests of the recorder: the replayer can read a recorded trace, with the
 * events in order of time although they were recorded out of order.
 */
#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <cmocka.h>
#include <string.h>

#include "clock.h"
#include "error.h"
#include "proc.h"
#include "recorder.h"

#define DOCUMENT_HEAD "[department d]\n[domain a]\n[domain b]\n"
#define SERVICE(name) \
	"[service " name "]\ndepartment=d\nclass=batch\nexpected_ms=9\n"

static gh_document_t *parse(const char *text)
{
	gh_document_t *doc = gh_document_parse(text, strlen(text), 1, NULL);

	assert_non_null(doc);
	return doc;
}

static void record_request(recorder_t *recorder, gh_document_t *doc,
			   gh_time_t at, const char *service)
{
	replay_request_t request = {
		.service = gh_document_service(doc, service),
		.domain = gh_document_domain(doc, "b"),
		.run_time = at % 100,
		.timeout = 5000,
		.idempotent = true,
	};

	recorder_add_request(recorder, doc, at, &request);
}

static void test_trace_is_read_in_order(void **state)
{
	gh_document_t *header_doc =
		parse(DOCUMENT_HEAD SERVICE("s") SERVICE("t"));
	gh_document_t *later_doc =
		parse(DOCUMENT_HEAD SERVICE("u") SERVICE("t"));
	char *dir = proc_make_dir();
	char *path = g_strdup_printf("%s/trace", dir);
	gh_job_spec_t spec = {
		.name = "j", .department = "d", .domain = "a", .tasks = 2
	};
	recorder_t *recorder = recorder_open(path, "a-1", NULL);
	gh_time_t now = clock_boot();
	replay_trace_t *trace;
	gh_time_t previous_at = 0;
	guint i;

	(void)state;
	assert_non_null(recorder);
	record_request(recorder, header_doc, now, "s");
	record_request(recorder, later_doc, now - 3, "t");
	record_request(recorder, later_doc, now + 1,
		       "u"); /* a service that header_doc does not list */
	record_request(recorder, header_doc, now - 7, "t");
	recorder_add_job(recorder, later_doc, now - 5, &spec);
	recorder_add_cancel(recorder, later_doc, now + 9, &spec);
	recorder_close(recorder);
	trace = replay_trace_load(path, NULL);
	assert_non_null(trace);
	assert_string_equal(trace->name, "a-1");
	assert_int_equal(trace->events->len, 5);
	for (i = 0; i < trace->events->len; i++) {
		const replay_event_t *event =
			&g_array_index(trace->events, replay_event_t, i);

		assert_true(event->at >= previous_at);
		previous_at = event->at;
		if (event->kind == REPLAY_REQUEST)
			assert_int_equal(event->request.domain, 1);
	}
	assert_int_equal(
		g_array_index(trace->events, replay_event_t, 2).request.service,
		gh_document_service(trace->doc, "t"));
	assert_int_equal(
		g_array_index(trace->events, replay_event_t, 1).job->spec.tasks,
		2);
	replay_trace_free(trace);
	gh_document_unref(header_doc);
	gh_document_unref(later_doc);
	g_free(path);
	proc_remove_dir(dir);
}

static void test_unwritable_file_is_named(void **state)
{
	GError *err = NULL;

	(void)state;
	assert_null(recorder_open("no-such-directory/trace", "a-1", &err));
	assert_int_equal(gh_error_kind(err), GH_E_FILE_MISSING);
	g_error_free(err);
	recorder_close(NULL);
}

int main(void)
{
	const struct CMUnitTest tests[] = {
		cmocka_unit_test(test_trace_is_read_in_order),
		cmocka_unit_test(test_unwritable_file_is_named),
	};

	return cmocka_run_group_tests_name("recorder", tests, NULL, NULL);
}
