/*
 * Tests of the document: parsing, validation, differences, permissions of
 * operators, and patches.
 */
#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <cmocka.h>
#include <string.h>

#include "core_document.h"
#include "core_patch.h"

#define VALID_TEXT                                                           \
	"[policy]\nheartbeat_ms=300\n"                                       \
	"[department lace]\nguarantee_percent=40\nlimit_percent=80\n"        \
	"[department light]\nguarantee_percent=60\n"                         \
	"[service order]\ndepartment=light\nclass=latency\nexpected_ms=20\n" \
	"[service desk]\ndepartment=lace\nclass=batch\nexpected_ms=900\n"    \
	"[domain bole]\nregion=addis\n[domain merkato]\n"                    \
	"[entry bole-1]\ndomain=bole\naddress=127.0.1.1\nfront_port=80\n"    \
	"console_port=81\npeer_port=82\n"                                    \
	"[executor ex-1]\ndomain=bole\naddress=127.0.1.9:90\nservices=desk;" \
	"order\n"                                                            \
	"[worker w-1]\ndomain=merkato\nrack=r1\naddress=127.0.1.8:90\n"      \
	"cores=63.5\nmemory_mb=250000\nstate=leaving\n"

static gh_document_t *parse(const char *text, GError **err)
{
	return gh_document_parse(text, strlen(text), 7, err);
}

static gh_document_t *parse_valid(const char *text)
{
	GError *err = NULL;
	gh_document_t *doc = parse(text, &err);

	if (err)
		print_message("%s\n", err->message);
	assert_non_null(doc);
	return doc;
}

/* Returns the text with the first occurrence of from replaced by to. */
static char *replace_first(const char *text, const char *from, const char *to)
{
	const char *at = strstr(text, from);
	char *head;
	char *result;

	assert_non_null(at);
	head = g_strndup(text, (size_t)(at - text));
	result = g_strconcat(head, to, at + strlen(from), NULL);
	g_free(head);
	return result;
}

static void test_parse_fills_tables(void **state)
{
	gh_document_t *doc = parse_valid(VALID_TEXT);
	const gh_executor_t *ex = &doc->executors[0];
	const gh_worker_t *worker = &doc->workers[0];

	(void)state;
	assert_int_equal(doc->generation, 7);
	assert_int_equal(doc->policy.heartbeat_ms, 300);
	assert_int_equal(doc->policy.suspect_ms, 2500);
	assert_int_equal(doc->n_departments, 2);
	assert_int_equal(doc->departments[0].weight, 100);
	assert_int_equal(doc->services[0].department,
			 gh_document_department(doc, "light"));
	assert_int_equal(doc->services[1].class, GH_CLASS_BATCH);
	assert_string_equal(doc->domains[0].region, "addis");
	assert_int_equal(ex->n_services, 2);
	assert_int_equal(ex->services[0], gh_document_service(doc, "desk"));
	assert_int_equal(ex->slots, 8);
	assert_int_equal(ex->connections, 64);
	assert_int_equal(worker->cores_milli, 63500);
	assert_int_equal(worker->domain, gh_document_domain(doc, "merkato"));
	assert_int_equal(worker->state, GH_HOST_LEAVING);
	assert_int_equal(gh_document_entry(doc, "bole-1"), 0);
	assert_int_equal(gh_document_entry(doc, "no"), GH_HANDLE_NONE);
	gh_document_unref(gh_document_ref(doc));
	gh_document_unref(doc);
}

static void test_empty_text_is_a_document(void **state)
{
	(void)state;
	gh_document_unref(parse_valid(""));
	gh_document_unref(parse_valid("# generation=1 writer=a sequence=1\n"));
}

/* A replacement in VALID_TEXT that makes the document invalid. */
typedef struct invalid_case {
	const char *from;
	const char *to;
	gh_error_kind_t kind;
	const char *message_part; /* text that the error message must contain */
} invalid_case_t;

static const invalid_case_t invalid_cases[] = {
	{ "[policy]", "[polices]", GH_E_UNKNOWN_GROUP, "[polices]" },
	{ "[domain bole]", "[zone bole]", GH_E_UNKNOWN_GROUP, "[zone bole]" },
	{ "[domain bole]", "[domain Bole]", GH_E_BAD_VALUE, "[domain Bole]" },
	{ "[domain bole]", "[domain ]", GH_E_BAD_VALUE, "[domain ]" },
	{ "[domain merkato]", "[domain bole]", GH_E_SYNTAX, "twice" },
	{ "heartbeat_ms=300", "heart=300", GH_E_UNKNOWN_KEY, "heart" },
	{ "heartbeat_ms=300", "heartbeat_ms=300\nheartbeat_ms=301", GH_E_SYNTAX,
	  "heartbeat_ms" },
	{ "heartbeat_ms=300", "heartbeat_ms=49", GH_E_BAD_VALUE,
	  "heartbeat_ms=49: expected 50 to 60000" },
	{ "heartbeat_ms=300", "heartbeat_ms=60001", GH_E_BAD_VALUE, "60001" },
	{ "heartbeat_ms=300", "heartbeat_ms=0x50", GH_E_BAD_VALUE, "0x50" },
	{ "heartbeat_ms=300", "heartbeat_ms=99999999999999999999",
	  GH_E_BAD_VALUE, "heartbeat_ms" },
	{ "heartbeat_ms=300", "heartbeat_ms=2000", GH_E_BAD_VALUE,
	  "suspect_ms" },
	{ "heartbeat_ms=300", "heartbeat_ms=", GH_E_BAD_VALUE, "heartbeat_ms" },
	{ "heartbeat_ms=300", "nonsense", GH_E_SYNTAX, "nonsense" },
	{ "heartbeat_ms=300", "heartbeat_ms=\xff", GH_E_SYNTAX, "UTF-8" },
	{ "guarantee_percent=60", "guarantee_percent=61", GH_E_GUARANTEE_SUM,
	  "101" },
	{ "limit_percent=80", "limit_percent=39", GH_E_BAD_VALUE,
	  "limit_percent=39" },
	{ "[domain bole]", "[department platform]\n[domain bole]",
	  GH_E_BAD_VALUE, "[department platform]" },
	{ "department=light", "department=dark", GH_E_REFERENCE,
	  "department=dark" },
	{ "department=light\n", "", GH_E_MISSING_KEY, "department" },
	{ "class=latency", "class=fast", GH_E_BAD_VALUE, "latency or batch" },
	{ "expected_ms=20", "expected_ms=0", GH_E_BAD_VALUE, "expected_ms=0" },
	{ "services=desk", "services=nothing", GH_E_REFERENCE, "nothing" },
	{ "services=desk", "services=order", GH_E_BAD_VALUE, "each service" },
	{ "address=127.0.1.1", "address=host.example", GH_E_BAD_VALUE,
	  "host.example" },
	{ "address=127.0.1.1", "address=127.0.1.01", GH_E_BAD_VALUE,
	  "127.0.1.01" },
	{ "127.0.1.9:90", "127.0.1.9", GH_E_BAD_VALUE, "127.0.1.9" },
	{ "127.0.1.9:90", "127.0.1.9:65536", GH_E_BAD_VALUE, "65536" },
	{ "127.0.1.9:90", "127.0.1.9:090", GH_E_BAD_VALUE, "090" },
	{ "127.0.1.9:90", "127.0.1.8:90", GH_E_BAD_VALUE, "127.0.1.8:90" },
	{ "127.0.1.9:90", "127.0.1.1:81", GH_E_BAD_VALUE, "127.0.1.1:81" },
	{ "cores=63.5", "cores=63.5555", GH_E_BAD_VALUE, "63.5555" },
	{ "cores=63.5", "cores=63.", GH_E_BAD_VALUE, "cores=63." },
	{ "cores=63.5", "cores=-1", GH_E_BAD_VALUE, "cores=-1" },
	{ "cores=63.5", "cores=0", GH_E_BAD_VALUE, "cores=0" },
	{ "cores=63.5", "cores=63.5\nshard=1", GH_E_BAD_VALUE,
	  "shards_per_domain=1" },
	{ "state=leaving", "state=left", GH_E_BAD_VALUE, "state=left" },
};

static void test_wrong_documents_are_refused(void **state)
{
	size_t i;

	(void)state;
	for (i = 0; i < G_N_ELEMENTS(invalid_cases); i++) {
		const invalid_case_t *invalid = &invalid_cases[i];
		char *text =
			replace_first(VALID_TEXT, invalid->from, invalid->to);
		GError *err = NULL;

		print_message("%s -> %s\n", invalid->from, invalid->to);
		assert_null(parse(text, &err));
		assert_non_null(err);
		print_message("  %s\n", err->message);
		assert_int_equal(gh_error_kind(err), invalid->kind);
		assert_non_null(strstr(err->message, invalid->message_part));
		assert_non_null(
			strstr(err->message, gh_error_remedy(invalid->kind)));
		g_error_free(err);
		g_free(text);
	}
}

static void test_too_large_is_refused(void **state)
{
	char *text = g_strnfill(GH_DOCUMENT_MAX + 1, '\n');
	GError *err = NULL;

	(void)state;
	assert_null(parse(text, &err));
	assert_int_equal(gh_error_kind(err), GH_E_TOO_LARGE);
	g_clear_error(&err);
	g_free(text);
}

static void test_gone_hosts_free_their_address(void **state)
{
	char *text = replace_first(VALID_TEXT, "127.0.1.9:90", "127.0.1.8:90");
	char *gone = replace_first(text, "state=leaving", "state=gone");

	(void)state;
	gh_document_unref(parse_valid(gone));
	g_free(gone);
	g_free(text);
}

static void test_diff_names_each_change(void **state)
{
	static const char before[] = "# one\n[a]\nx=1\ny=2\n[b]\nz=3\n";
	static const char after[] = "# two\n[c]\nz=3\n[a]\ny=4\nx=1\nw=5\n";
	char *diff = gh_document_diff(before, after);

	(void)state;
	assert_string_equal(diff, "~ [a] y=2 -> 4\n+ [a] w=5\n- [b]\n"
				  "- [b] z=3\n+ [c]\n+ [c] z=3\n");
	g_free(diff);
	diff = gh_document_diff(before, before);
	assert_string_equal(diff, "");
	g_free(diff);
}

/* A replacement in VALID_TEXT and the operators that may make it. */
typedef struct permission_case {
	const char *from;
	const char *to;
	const char *allowed; /* operators who may make the change, each name
				followed by a blank */
} permission_case_t;

static const permission_case_t permission_cases[] = {
	{ "heartbeat_ms=300", "heartbeat_ms=301", "platform " },
	{ "guarantee_percent=60", "guarantee_percent=59", "platform " },
	{ "guarantee_percent=60\n", "", "platform " },
	{ "limit_percent=80", "limit_percent=81", "platform " },
	{ "limit_percent=80", "limit_percent=80\nweight=7", "platform " },
	{ "limit_percent=80", "limit_percent=80\njobs_max=7", "lace " },
	{ "expected_ms=20", "expected_ms=21", "light " },
	{ "expected_ms=900", "expected_ms=901", "lace " },
	{ "department=light\n", "department=lace\n", "" },
	{ "[domain merkato]",
	  "[domain merkato]\n[service new]\ndepartment=lace\nclass=batch\n"
	  "expected_ms=1",
	  "lace " },
	{ "[domain merkato]",
	  "[domain merkato]\n[department glass]\n[service new]\n"
	  "department=glass\nclass=batch\nexpected_ms=1",
	  "platform " },
	{ "[domain merkato]", "[domain merkato]\n[domain piassa]",
	  "platform " },
	{ "services=desk;order", "services=desk", "platform " },
	{ "state=leaving", "state=gone", "platform " },
	{ "# none", "# none", "platform lace light " },
};

static void test_rights_by_operator(void **state)
{
	static const char *const operators[] = { "platform", "lace", "light" };
	gh_document_t *old = parse_valid("# none\n" VALID_TEXT);
	size_t i;
	size_t j;

	(void)state;
	for (i = 0; i < G_N_ELEMENTS(permission_cases); i++) {
		const permission_case_t *permission = &permission_cases[i];
		char *text = replace_first(old->text, permission->from,
					   permission->to);
		gh_document_t *new = parse_valid(text);

		print_message("%s -> %s\n", permission->from, permission->to);
		for (j = 0; j < G_N_ELEMENTS(operators); j++) {
			char *word = g_strconcat(operators[j], " ", NULL);
			bool expected = strstr(permission->allowed, word);
			GError *err = NULL;

			assert_int_equal(gh_document_may_replace(
						 old, new, operators[j], &err),
					 expected);
			if (!expected)
				assert_int_equal(gh_error_kind(err),
						 GH_E_FOREIGN_SECTION);
			g_clear_error(&err);
			g_free(word);
		}
		gh_document_unref(new);
		g_free(text);
	}
	gh_document_unref(old);
}

static void test_first_document_is_the_platforms(void **state)
{
	gh_document_t *new = parse_valid(VALID_TEXT);

	(void)state;
	assert_true(gh_document_may_replace(NULL, new, "platform", NULL));
	assert_false(gh_document_may_replace(NULL, new, "lace", NULL));
	gh_document_unref(new);
}

/* A base text, a new text and the patch between them. */
typedef struct patch_case {
	const char *from;
	const char *to;
	const char *patch; /* expected patch below its first line; NULL: any */
} patch_case_t;

static const patch_case_t patch_cases[] = {
	{ "", "", "copy 0 1\n" },
	{ "", "[a]\n", "text 4\n[a]\n" },
	{ "# 1\n[a]\nx=1\n[b]\ny=1\n[c]\n", "# 2\n[a]\nx=1\n[b]\ny=1\n[c]\n",
	  "text 4\n# 2\ncopy 1 3\n" },
	{ "# 1\n[a]\nx=1\n[b]\ny=1\n[c]\n", "# 1\n[a]\nx=2\n[b]\ny=1\n[c]\n",
	  "copy 0 1\ntext 8\n[a]\nx=2\ncopy 2 2\n" },
	{ "[a]\n[b]\n[c]\n", "[c]\n[b]\n[a]\n", NULL },
	{ "[a]\n[b]\n[c]\n", "[b]\n", "copy 1 1\n" },
	{ "[a]\n", "[a]\n[b]", NULL },
	{ "[a]", "x", NULL },
	{ "[a]\n", "", NULL },
};

static void test_patches_give_the_text(void **state)
{
	size_t i;

	(void)state;
	for (i = 0; i < G_N_ELEMENTS(patch_cases); i++) {
		const patch_case_t *c = &patch_cases[i];
		char *patch = gh_patch_make(c->from, 3, c->to, 4);
		char *text = gh_patch_apply(c->from, 3, patch, NULL);
		GError *err = NULL;

		print_message("%s", patch);
		assert_string_equal(text, c->to);
		if (c->patch)
			assert_string_equal(strchr(patch, '\n') + 1, c->patch);
		/* A patch is refused for another base generation, text or
		 * digest. */
		assert_null(gh_patch_apply(c->from, 2, patch, &err));
		assert_int_equal(gh_error_kind(err), GH_E_SYNTAX);
		g_clear_error(&err);
		if (strstr(patch, "copy"))
			assert_null(gh_patch_apply("other", 3, patch, NULL));
		patch[strlen("patch 3 4 ")] ^= 1;
		assert_null(gh_patch_apply(c->from, 3, patch, NULL));
		g_free(text);
		g_free(patch);
	}
}

static void test_malformed_patches_are_refused(void **state)
{
	static const char *const cases[] = {
		"",
		"patch",
		"patch 3 4 00\n",
		"copy 0 1\n",
		"patch 3 4 ab\nx",
		"patch 3 4 ab\ncopy 0 9\n",
		"patch 3 4 ab\ncopy 18446744073709551615 2\n",
		"patch 3 4 ab\ntext 99\nx",
		"patch 3 4 ab\ntext 18446744073709551615\nx",
	};
	size_t i;

	(void)state;
	for (i = 0; i < G_N_ELEMENTS(cases); i++)
		assert_null(gh_patch_apply("[a]\n", 3, cases[i], NULL));
}

int main(void)
{
	const struct CMUnitTest tests[] = {
		cmocka_unit_test(test_parse_fills_tables),
		cmocka_unit_test(test_empty_text_is_a_document),
		cmocka_unit_test(test_wrong_documents_are_refused),
		cmocka_unit_test(test_too_large_is_refused),
		cmocka_unit_test(test_gone_hosts_free_their_address),
		cmocka_unit_test(test_diff_names_each_change),
		cmocka_unit_test(test_rights_by_operator),
		cmocka_unit_test(test_first_document_is_the_platforms),
		cmocka_unit_test(test_patches_give_the_text),
		cmocka_unit_test(test_malformed_patches_are_refused),
	};

	return cmocka_run_group_tests_name("document", tests, NULL, NULL);
}
