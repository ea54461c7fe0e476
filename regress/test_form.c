/*
 * Tests of the forms' edits of a document's text.
 */
#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <cmocka.h>
#include <string.h>

#include "core_document.h"
#include "form.h"

#define BASE                               \
	"# kept\n"                         \
	"[department lace]\nweight=100\n"  \
	"[department light]\nweight=100\n" \
	"[domain bole]\nregion=addis\n"

static void assert_change(const char *before, const char *after,
			  const char *diff)
{
	char *actual_diff = gh_document_diff(before, after);

	assert_string_equal(actual_diff, diff);
	g_free(actual_diff);
}

static void test_set_changes_one_group(void **state)
{
	static const struct {
		const char *group;
		form_field_t field;
		const char *diff;
	} cases[] = {
		{ "department lace",
		  { "weight", "7" },
		  "~ [department lace] weight=100 -> 7\n" },
		{ "department lace",
		  { "weight", "" },
		  "- [department lace] weight=100\n" },
		{ "department lace", { "jobs_max", "" }, "" },
		{ "domain kazanchis",
		  { "region", " addis " },
		  "+ [domain kazanchis]\n"
		  "+ [domain kazanchis] region=addis\n" },
		{ "domain bole",
		  { "region", "x\n[policy]\nretry_max=0" },
		  "~ [domain bole] region=addis -> x [policy] retry_max=0\n" },
	};
	size_t i;

	(void)state;
	for (i = 0; i < G_N_ELEMENTS(cases); i++) {
		char *text = form_set_fields(BASE, cases[i].group,
					     &cases[i].field, 1);

		assert_change(BASE, text, cases[i].diff);
		assert_non_null(strstr(text, "# kept\n"));
		g_free(text);
	}
}

static void test_groups(void **state)
{
	static const struct {
		const char *kind;
		const char *name;
		const char *group;
	} cases[] = {
		{ "worker", "w-1.a", "worker w-1.a" },
		{ "policy", "", "policy" },
		{ "worker", "", NULL },
		{ "worker", "a]\n[policy", NULL },
		{ "operator", "lace", NULL },
		{ "", "lace", NULL },
	};
	size_t i;

	(void)state;
	for (i = 0; i < G_N_ELEMENTS(cases); i++) {
		char *group = form_group_name(cases[i].kind, cases[i].name);

		if (cases[i].group)
			assert_string_equal(group, cases[i].group);
		else
			assert_null(group);
		g_free(group);
	}
}

static void test_every_concern_has_keys(void **state)
{
	gh_document_key_t keys[64];
	size_t n;
	const form_concern_t *concern = form_concerns(&n);
	size_t i;
	size_t j;

	(void)state;
	for (i = 0; i < n; i++)
		for (j = 0; concern[i].kinds[j]; j++) {
			const char *kind = concern[i].kinds[j];

			assert_true(gh_document_keys(kind, keys, 64) > 0);
			assert_ptr_equal(form_concern_by_kind(kind),
					 &concern[i]);
		}
	assert_int_equal(gh_document_keys("operator", keys, 64), 0);
}

static void test_every_key_is_in_the_manual(void **state)
{
	gh_document_key_t keys[64];
	size_t n;
	const form_concern_t *concern = form_concerns(&n);
	char *page;
	size_t i;
	size_t j;

	(void)state;
	assert_true(g_file_get_contents("geraniumhoist-document.5", &page, NULL,
					NULL));
	for (i = 0; i < n; i++)
		for (j = 0; concern[i].kinds[j]; j++) {
			size_t k = gh_document_keys(concern[i].kinds[j], keys,
						    G_N_ELEMENTS(keys));

			while (k--) {
				char *item = g_strdup_printf(".It Cm %s\n",
							     keys[k].key);

				if (!strstr(page, item))
					fail_msg("no key %s", keys[k].key);
				g_free(item);
			}
		}
	g_free(page);
}

static void test_rebase_keeps_both_changes(void **state)
{
	static const struct {
		const char *mine;
		const char *theirs;
		const char *diff; /* expected patch from theirs to the text with
				     both changes */
		const char *conflicts;
	} cases[] = {
		{ "[department lace]\nweight=5\n[department light]\nweight=100"
		  "\n[domain bole]\nregion=addis\n",
		  "[department lace]\nweight=100\n[department light]\nweight=9"
		  "\n[domain bole]\nregion=addis\n",
		  "~ [department lace] weight=100 -> 5\n", "" },
		{ "[department lace]\nweight=5\n[department light]\nweight=100"
		  "\n[domain bole]\nregion=addis\n",
		  "[department lace]\nweight=6\n[department light]\nweight=9"
		  "\n[domain bole]\nregion=addis\n",
		  "~ [department lace] weight=6 -> 5\n",
		  "[department lace] weight=6\n" },
		{ BASE "[domain piassa]\nregion=addis\n",
		  BASE "[domain merkato]\nregion=addis\n",
		  "+ [domain piassa]\n+ [domain piassa] region=addis\n", "" },
		{ "[department lace]\nweight=100\n"
		  "[department light]\nweight=100\n",
		  BASE "[domain merkato]\nregion=addis\n",
		  "- [domain bole]\n- [domain bole] region=addis\n", "" },
	};
	size_t i;

	(void)state;
	for (i = 0; i < G_N_ELEMENTS(cases); i++) {
		char *conflicts;
		char *text = form_rebase(BASE, cases[i].mine, cases[i].theirs,
					 &conflicts);

		assert_change(cases[i].theirs, text, cases[i].diff);
		assert_string_equal(conflicts, cases[i].conflicts);
		g_free(text);
		g_free(conflicts);
	}
}

static void test_names_in_order(void **state)
{
	char **names = form_object_names(BASE, "department");

	(void)state;
	assert_int_equal(g_strv_length(names), 2);
	assert_string_equal(names[0], "lace");
	assert_string_equal(names[1], "light");
	g_strfreev(names);
}

int main(void)
{
	const struct CMUnitTest tests[] = {
		cmocka_unit_test(test_set_changes_one_group),
		cmocka_unit_test(test_groups),
		cmocka_unit_test(test_every_concern_has_keys),
		cmocka_unit_test(test_every_key_is_in_the_manual),
		cmocka_unit_test(test_rebase_keeps_both_changes),
		cmocka_unit_test(test_names_in_order),
	};

	return cmocka_run_group_tests_name("form", tests, NULL, NULL);
}
