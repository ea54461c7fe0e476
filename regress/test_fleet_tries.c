/*
 * Tests of the bounded text that tells what the store replied to a request.
 */
#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <stdint.h>

#include <cmocka.h>
#include <glib.h>

#include "fleet_tries.h"

#define REPLIES_MAX 5

typedef struct tries_case {
	const char *name;
	const char *replies[REPLIES_MAX];
	unsigned rounds; /* how often the replies come */
	const char *text;
} tries_case_t;

static const tries_case_t cases[] = {
	{ "no reply", { NULL }, 0, "-" },
	{ "one", { "503" }, 1, "503" },
	{ "in a row", { "503" }, 12, "12x 503" },
	{ "two rows",
	  { "no_response", "503", "503", "no_response" },
	  1,
	  "no_response, 2x 503, no_response" },
	{ "more than fit",
	  { "no_response", "503", "503" },
	  50,
	  "no_response, 2x 503, no_response, 2x 503, no_response, 2x 503, "
	  "no_response, 2x 503, no_response, 2x 503, no_response, ..." },
};

static void test_text(void **state)
{
	size_t i, k;
	unsigned round;

	(void)state;
	for (i = 0; i < G_N_ELEMENTS(cases); i++) {
		fleet_tries_t tries = { 0 };

		for (round = 0; round < cases[i].rounds; round++)
			for (k = 0; k < REPLIES_MAX && cases[i].replies[k]; k++)
				fleet_tries_add(&tries, cases[i].replies[k]);
		print_message("%s\n", cases[i].name);
		assert_string_equal(fleet_tries_text(&tries), cases[i].text);
	}
}

int main(void)
{
	static const struct CMUnitTest tests[] = {
		cmocka_unit_test(test_text),
	};

	return cmocka_run_group_tests(tests, NULL, NULL);
}
