/*
 * Fuzz test of the parsers of documents, settings and jobs; see fuzz.h.
 */
#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <cmocka.h>
#include <stdint.h>
#include <stdlib.h>
#include <string.h>
#include <sys/mman.h>
#include <unistd.h>

#include "core_document.h"
#include "fuzz.h"
#include "settings.h"
#include "shard.h"

static bool parse_document(const GString *input, GError **err);
static bool parse_settings(const GString *input, GError **err);
static bool parse_job(const GString *input, GError **err);

static void test_documents(void **state)
{
	(void)state;
	fuzz_parser("document", parse_document);
}

static void test_settings(void **state)
{
	(void)state;
	fuzz_parser("settings", parse_settings);
}

static void test_jobs(void **state)
{
	(void)state;
	fuzz_parser("job", parse_job);
}

/* The text of an accepted document must parse again to an equal document. */
static bool parse_document(const GString *input, GError **err)
{
	gh_document_t *doc = gh_document_parse(input->str, input->len, 1, err);
	gh_document_t *reparsed;
	char *diff;

	if (!doc)
		return false;
	reparsed = gh_document_parse(doc->text, doc->text_len, 1, NULL);
	assert_non_null(reparsed);
	diff = gh_document_diff(doc->text, reparsed->text);
	assert_string_equal(diff, "");
	assert_true(gh_document_may_replace(doc, reparsed, "nobody", NULL));
	gh_document_may_replace(NULL, doc, "platform", NULL);
	g_free(diff);
	gh_document_unref(reparsed);
	gh_document_unref(doc);
	return true;
}

static bool parse_settings(const GString *input, GError **err)
{
	int fd = memfd_create("settings", 0);
	char *path = g_strdup_printf("/proc/self/fd/%d", fd);
	settings_t *set;

	assert_true(fd >= 0);
	assert_int_equal(write(fd, input->str, input->len), input->len);
	set = settings_load(path, err);
	close(fd);
	g_free(path);
	if (!set)
		return false;
	settings_free(set);
	return true;
}

static bool parse_job(const GString *input, GError **err)
{
	json_error_t where;
	json_t *json = json_loadb(input->str, input->len, 0, &where);
	shard_job_t job;
	bool accepted;

	if (!json) {
		gh_error_set(err, GH_E_SYNTAX, "line %d: %s", where.line,
			     where.text);
		return false;
	}
	accepted = shard_job_parse(json, &job, err);
	json_decref(json);
	return accepted;
}

int main(void)
{
	const struct CMUnitTest tests[] = {
		cmocka_unit_test(test_documents),
		cmocka_unit_test(test_settings),
		cmocka_unit_test(test_jobs),
	};

	return cmocka_run_group_tests_name("fuzz", tests, NULL, NULL);
}
