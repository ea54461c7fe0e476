/*
 * Tests of the text form of a task's move.
 */
#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <stdint.h>

#include <cmocka.h>
#include <string.h>

#include "core_move.h"
#include "error.h"

#define JOB                                              \
	"pipeline1 0000000000000001 q svc 5 0 7 3 2 3\n" \
	"4 1000 50 0 1000 0 0 0 24 8 - - -\n"            \
	"2 1000 0 0 1000 0 0 0 0 0 - - image\n"          \
	"payload\nline"

static void test_text_form_loses_a_field(void **state)
{
	static const char *const names[] = { "", "-", "%2D", "a b/%\n", "-x" };
	gh_pipeline_t *job = gh_pipeline_parse(JOB, NULL);
	size_t i;

	(void)state;
	assert_non_null(job);
	for (i = 0; i < G_N_ELEMENTS(names); i++) {
		gh_task_move_t move = { .task = { .job = "0000000000000001",
						  .occurrence = 2,
						  .index = 3 },
					.from = 1,
					.to = 4,
					.last_run = UINT32_MAX,
					.moves = 6 };
		gh_task_move_t parsed;
		gh_pipeline_t *copy;
		char *text, *job_text;

		g_strlcpy(move.checkpoint, names[i], sizeof(move.checkpoint));
		text = gh_task_move_format(&move, job);
		assert_null(gh_pipeline_parse(text, NULL));
		copy = gh_task_move_parse(text, &parsed, NULL);
		assert_non_null(copy);
		assert_memory_equal(&parsed, &move, sizeof(move));
		job_text = gh_pipeline_format(copy);
		assert_string_equal(job_text, JOB);
		assert_int_equal(gh_task_move_index(&parsed, copy), 2 * 6 + 3);
		g_free(job_text);
		g_free(text);
		gh_pipeline_free(copy);
	}
	gh_pipeline_free(job);
}

typedef struct text_case {
	const char *text;
	gh_error_kind_t error;
} text_case_t;

static const text_case_t bad_texts[] = {
	{ "", GH_E_SYNTAX },
	{ "\n", GH_E_SYNTAX },
	{ "moved1", GH_E_SYNTAX },
	{ JOB, GH_E_SYNTAX },
	{ "moved1 0 0 0 0 1 1 1 -", GH_E_SYNTAX },
	{ "moved1 0 0 0 0 1 1 1 -\n", GH_E_SYNTAX },
	{ "moved1 0 0 0 0 1 1 1\n" JOB, GH_E_SYNTAX },
	{ "moved1 0 0 0 0 1 1 1 - -\n" JOB, GH_E_SYNTAX },
	{ "moved1  0 0 0 0 1 1 1 -\n" JOB, GH_E_SYNTAX },
	{ "moved2 0 0 0 0 1 1 1 -\n" JOB, GH_E_SYNTAX },
	{ "moved1 0 0 0 0 1 0 1 -\n" JOB, GH_E_SYNTAX },
	{ "moved1 0 0 0 0 1 1 0 -\n" JOB, GH_E_SYNTAX },
	{ "moved1 0 0 -1 0 1 1 1 -\n" JOB, GH_E_SYNTAX },
	{ "moved1 0 0 4294967296 0 1 1 1 -\n" JOB, GH_E_SYNTAX },
	{ "moved1 0 0 0x1 0 1 1 1 -\n" JOB, GH_E_SYNTAX },
	{ "moved1 0 0 0 0 1 1 1 %zz\n" JOB, GH_E_SYNTAX },
	{ "moved1 0 0 0 0 1 1 1 \n" JOB, GH_E_SYNTAX },
	{ "moved1 0 0 0 0 1 1 1 %00\n" JOB, GH_E_SYNTAX },
	{ "moved1 0 0 4 0 1 1 1 -\n" JOB, GH_E_BAD_VALUE },
	{ "moved1 0 1 0 0 1 1 1 -\n" JOB, GH_E_BAD_VALUE },
	{ "moved1 0 2 0 0 1 1 1 -\n" JOB, GH_E_BAD_VALUE },
	{ "moved1 3 0 0 0 1 1 1 -\n" JOB, GH_E_BAD_VALUE },
	{ "moved1 4294967295 4294967295 4294967295 0 1 1 1 -\n" JOB,
	  GH_E_BAD_VALUE },
};

static void test_bad_text_is_no_move(void **state)
{
	char *name = g_strnfill(GH_CHECKPOINT_NAME_MAX + 1, 'x');
	char *text = g_strdup_printf("moved1 0 0 0 0 1 1 1 %s\n" JOB, name);
	gh_task_move_t move;
	size_t i;

	(void)state;
	for (i = 0; i < G_N_ELEMENTS(bad_texts); i++) {
		GError *err = NULL;

		if (gh_task_move_parse(bad_texts[i].text, &move, &err) ||
		    !g_error_matches(err, GH_ERROR, (int)bad_texts[i].error))
			fail_msg("%s: %s", bad_texts[i].text,
				 err ? err->message : "parsed");
		g_clear_error(&err);
	}
	assert_null(gh_task_move_parse(text, &move, NULL));
	g_free(text);
	g_free(name);
}

int main(void)
{
	const struct CMUnitTest tests[] = {
		cmocka_unit_test(test_text_form_loses_a_field),
		cmocka_unit_test(test_bad_text_is_no_move),
	};

	return cmocka_run_group_tests(tests, NULL, NULL);
}
