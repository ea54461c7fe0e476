/*
 * Fault search over the scheduling core: runs the saved traces, each of which
 * violated an invariant while a mechanism was missing, and then a fixed range
 * of seeds.  "make search" runs more seeds.
 */
#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <cmocka.h>
#include <string.h>

#include "search.h"

#define TRACE_DIR "regress/traces"
#define FIRST_SEED 1
#define EVENTS_PER_SEED 1000

typedef struct search_case {
	const search_model_t *model;
	uint32_t seeds; /* number of seeds to run */
} search_case_t;

static const search_case_t cases[] = {
	{ &search_requests, 1500 },
	{ &search_tasks, 200 },
};

static void run_trace_file(const search_model_t *model, const char *name)
{
	char *path = g_build_filename(TRACE_DIR, name, NULL);
	GArray *trace;
	const char *violation;
	char *text;

	assert_true(g_file_get_contents(path, &text, NULL, NULL));
	trace = search_parse(model, text);
	assert_true(trace->len > 0);
	violation = search_run(model, trace, NULL);
	if (violation)
		fail_msg("%s violated: %s", path, violation);
	g_array_free(trace, TRUE);
	g_free(text);
	g_free(path);
}

/* A trace file is named MODEL-FAULT.trace. */
static void test_saved_traces_hold(void **state)
{
	GDir *dir = g_dir_open(TRACE_DIR, 0, NULL);
	const char *name;
	size_t n = 0;
	size_t i;

	(void)state;
	assert_non_null(dir);
	while ((name = g_dir_read_name(dir))) {
		for (i = 0; i < G_N_ELEMENTS(cases); i++) {
			if (!g_str_has_prefix(name, cases[i].model->name))
				continue;
			run_trace_file(cases[i].model, name);
			n++;
		}
	}
	assert_true(n > 0);
	g_dir_close(dir);
}

static void test_seeds_hold(void **state)
{
	size_t i;

	(void)state;
	for (i = 0; i < G_N_ELEMENTS(cases); i++)
		assert_true(search_run_seeds(cases[i].model, FIRST_SEED,
					     cases[i].seeds, EVENTS_PER_SEED));
}

int main(void)
{
	const struct CMUnitTest tests[] = {
		cmocka_unit_test(test_saved_traces_hold),
		cmocka_unit_test(test_seeds_hold),
	};

	return cmocka_run_group_tests_name("search", tests, NULL, NULL);
}
