/*
 * Tests of the settings file: defaults apply, and an error names what is wrong.
 */
#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <cmocka.h>
#include <glib/gstdio.h>
#include <string.h>
#include <unistd.h>

#include "error.h"
#include "settings.h"

#define HEX64 "00112233445566778899aabbccddeeffffeeddccbbaa99887766554433221100"

#define VALID_SETTINGS                                                  \
	"[host]\nname=bole-1\ndomain=bole\naddress=127.0.0.1\n"         \
	"front_port=7000\nconsole_port=7001\npeer_port=7002\n"          \
	"[store]\nurl=http://127.0.0.9:7100\n"                          \
	"[peers]\nkey=" HEX64 "\nseeds=127.0.0.2:7001;127.0.0.3:7001\n" \
	"[operator lace]\nsalt=0011223344556677\ndigest=" HEX64 "\n"

static settings_t *load(const char *text, GError **err)
{
	char *path = NULL;
	int fd = g_file_open_tmp("settings-XXXXXX", &path, NULL);
	settings_t *settings;

	assert_true(fd >= 0);
	close(fd);
	assert_true(g_file_set_contents(path, text, -1, NULL));
	settings = settings_load(path, err);
	g_unlink(path);
	g_free(path);
	return settings;
}

static void test_good_settings(void **state)
{
	settings_t *settings = load(VALID_SETTINGS, NULL);

	(void)state;
	assert_non_null(settings);
	assert_string_equal(settings->name, "bole-1");
	assert_int_equal(settings->peer_port, 7002);
	assert_int_equal(settings->front_connections, 1024);
	assert_int_equal(settings->front_body_mb, 64);
	assert_int_equal(settings->log_level, LOG_INFO);
	assert_string_equal(settings->store_url, "http://127.0.0.9:7100");
	assert_int_equal(settings->peer_key[1], 0x11);
	assert_int_equal(settings->n_seeds, 2);
	assert_string_equal(settings->seeds[1], "127.0.0.3:7001");
	assert_string_equal(settings_operator(settings, "lace")->salt,
			    "0011223344556677");
	assert_null(settings_operator(settings, "light"));
	settings_free(settings);
}

typedef struct bad_case {
	const char *original; /* text in VALID_SETTINGS to replace */
	const char *replacement;
	gh_error_kind_t kind;
	const char *in_message;
} bad_case_t;

static const bad_case_t bad_cases[] = {
	{ "[store]", "[stor]", GH_E_UNKNOWN_GROUP, "[stor]" },
	{ "[operator lace]", "[operator La]", GH_E_UNKNOWN_GROUP, "La" },
	{ "name=", "nam=", GH_E_UNKNOWN_KEY, "nam" },
	{ "name=bole-1\n", "", GH_E_MISSING_KEY, "name" },
	{ "front_port=7000", "front_port=0", GH_E_BAD_VALUE, "front_port=0" },
	{ "front_port=7000", "front_port=65536", GH_E_BAD_VALUE, "65535" },
	{ "front_port=7000", "front_port=7001", GH_E_BAD_VALUE,
	  "console_port" },
	{ "address=127.0.0.1", "address=localhost", GH_E_BAD_VALUE,
	  "localhost" },
	{ "url=http:", "url=https:", GH_E_BAD_VALUE, "https:" },
	{ "127.0.0.9:7100", "127.0.0.9:7100/x", GH_E_BAD_VALUE, "/x" },
	{ "seeds=127.0.0.2:7001", "seeds=127.0.0.2", GH_E_BAD_VALUE, "seeds" },
	{ "key=00", "key=", GH_E_BAD_VALUE, "key=..." },
	{ "digest=00", "digest=zz", GH_E_BAD_VALUE, "digest" },
	{ "salt=0011223344556677", "salt=00", GH_E_BAD_VALUE, "salt=00" },
	{ "peer_port=7002", "peer_port=7002\nlog_level=loud", GH_E_BAD_VALUE,
	  "debug or info" },
	{ "[peers]", "[peers]\nnonsense", GH_E_SYNTAX, "nonsense" },
	{ "[peers]", "[store]", GH_E_SYNTAX, "twice" },
};

static void test_wrong_settings_are_refused(void **state)
{
	size_t i;

	(void)state;
	for (i = 0; i < G_N_ELEMENTS(bad_cases); i++) {
		const bad_case_t *bad = &bad_cases[i];
		char **parts = g_strsplit(VALID_SETTINGS, bad->original, 2);
		char *text = g_strjoinv(bad->replacement, parts);
		GError *err = NULL;

		print_message("%s -> %s\n", bad->original, bad->replacement);
		assert_null(load(text, &err));
		print_message("  %s\n", err->message);
		assert_int_equal(gh_error_kind(err), bad->kind);
		assert_non_null(strstr(err->message, bad->in_message));
		g_error_free(err);
		g_free(text);
		g_strfreev(parts);
	}
}

static void test_missing_file(void **state)
{
	GError *err = NULL;

	(void)state;
	assert_null(settings_load("no-such-directory/no-such-file", &err));
	assert_int_equal(gh_error_kind(err), GH_E_FILE_MISSING);
	assert_non_null(strstr(err->message, "no-such-file"));
	g_error_free(err);
}

int main(void)
{
	const struct CMUnitTest tests[] = {
		cmocka_unit_test(test_good_settings),
		cmocka_unit_test(test_wrong_settings_are_refused),
		cmocka_unit_test(test_missing_file),
	};

	return cmocka_run_group_tests_name("settings", tests, NULL, NULL);
}
