/*
 * Tests of operators' sign-in, its limit on failed attempts, and sessions.
 */
#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <cmocka.h>
#include <string.h>

#include "counter.h"
#include "session.h"

#define START_USEC (1000 * GH_USEC_PER_SEC)
#define CLIENT "192.0.2.1"
#define OTHER_CLIENT "192.0.2.7"

typedef struct fixture {
	settings_t settings;
	settings_operator_t operators[1];
	session_table_t *table;
} fixture_t;

static int set_up(void **state)
{
	fixture_t *fix = g_new0(fixture_t, 1);
	char *digest = session_secret_digest("0badcafe", "blue sky");

	g_strlcpy(fix->operators[0].name, "lace", GH_NAME_MAX);
	g_strlcpy(fix->operators[0].salt, "0badcafe", 65);
	g_strlcpy(fix->operators[0].digest, digest, 65);
	fix->settings.operators = fix->operators;
	fix->settings.n_operators = 1;
	fix->table = session_table_new(&fix->settings);
	g_free(digest);
	*state = fix;
	return 0;
}

static int tear_down(void **state)
{
	fixture_t *fix = *state;

	session_table_free(fix->table);
	g_free(fix);
	return 0;
}

static void test_digest_is_sha256_of_salt_and_secret(void **state)
{
	char *digest = session_secret_digest("ab", "c");

	(void)state;
	assert_string_equal(digest, "ba7816bf8f01cfea414140de5dae2223"
				    "b00361a396177a9cb410ff61f20015ad");
	g_free(digest);
}

static void test_secrets(void **state)
{
	static const struct {
		const char *name;
		const char *secret;
		bool ok;
	} cases[] = {
		{ "lace", "blue sky", true },	{ "lace", "blue sk", false },
		{ "lace", "blue sky ", false }, { "lace", "", false },
		{ "lace", NULL, false },	{ "nobody", "blue sky", false },
		{ NULL, "blue sky", false },	{ "", "", false },
	};
	fixture_t *fix = *state;
	size_t i;

	for (i = 0; i < G_N_ELEMENTS(cases); i++) {
		GError *err = NULL;
		bool ok = session_check_secret(
			fix->table, cases[i].name, cases[i].secret, CLIENT,
			START_USEC + (gh_time_t)i * 60 * GH_USEC_PER_SEC, &err);

		assert_int_equal(ok, cases[i].ok);
		if (ok)
			continue;
		assert_int_equal(gh_error_kind(err), GH_E_UNAUTHENTICATED);
		g_error_free(err);
	}
}

static void test_wrong_tries_are_limited_by_client(void **state)
{
	fixture_t *fix = *state;
	GError *err = NULL;
	int i;

	for (i = 0; i < 10; i++) {
		assert_false(session_check_secret(fix->table, "lace", "no",
						  CLIENT, START_USEC, &err));
		assert_int_equal(gh_error_kind(err), GH_E_UNAUTHENTICATED);
		g_clear_error(&err);
	}
	assert_false(session_check_secret(fix->table, "lace", "blue sky",
					  CLIENT, START_USEC, &err));
	assert_int_equal(gh_error_kind(err), GH_E_SIGN_IN_LIMIT);
	g_clear_error(&err);
	assert_true(session_check_secret(fix->table, "lace", "blue sky",
					 OTHER_CLIENT, START_USEC, NULL));
	assert_true(session_check_secret(fix->table, "lace", "blue sky", CLIENT,
					 START_USEC + 10 * GH_USEC_PER_SEC,
					 NULL));
}

static void test_sessions_end(void **state)
{
	static const struct {
		gh_time_t elapsed;
		bool is_open;
	} cases[] = {
		{ 0, true },
		{ SESSION_IDLE_MAX_USEC - 1, true },
		{ 2 * SESSION_IDLE_MAX_USEC - 2,
		  true }, /* the use in the case above extended the session */
		{ 4 * SESSION_IDLE_MAX_USEC, false },
	};
	fixture_t *fix = *state;
	char token[SESSION_TOKEN_LEN + 1];
	size_t i;

	session_open(fix->table, "lace", START_USEC, token);
	for (i = 0; i < G_N_ELEMENTS(cases); i++) {
		session_t *session = session_get(fix->table, token,
						 START_USEC + cases[i].elapsed);

		assert_int_equal(session != NULL, cases[i].is_open);
		session_put(fix->table, session);
	}
}

static void test_session_ends_although_it_is_used(void **state)
{
	fixture_t *fix = *state;
	char token[SESSION_TOKEN_LEN + 1];
	gh_time_t now;
	session_t *session;

	session_open(fix->table, "lace", START_USEC, token);
	for (now = START_USEC; now < START_USEC + SESSION_TTL_USEC;
	     now += SESSION_IDLE_MAX_USEC / 2) {
		session = session_get(fix->table, token, now);
		assert_non_null(session);
		session_put(fix->table, session);
	}
	assert_null(
		session_get(fix->table, token, START_USEC + SESSION_TTL_USEC));
}

static void test_sessions_are_bounded(void **state)
{
	fixture_t *fix = *state;
	char first_token[SESSION_TOKEN_LEN + 1];
	char token[SESSION_TOKEN_LEN + 1];
	int i;

	session_open(fix->table, "lace", START_USEC, first_token);
	for (i = 1; i <= SESSION_COUNT_MAX; i++)
		session_open(fix->table, "lace", START_USEC + i, token);
	assert_int_equal(session_count(fix->table, START_USEC),
			 SESSION_COUNT_MAX);
	assert_null(session_get(fix->table, first_token, START_USEC));
	assert_null(session_get(fix->table, "", START_USEC));
	assert_null(session_get(fix->table, NULL, START_USEC));
	session_close(fix->table, token);
	assert_int_equal(session_count(fix->table, START_USEC),
			 SESSION_COUNT_MAX - 1);
	assert_null(session_get(fix->table, token, START_USEC));
}

int main(void)
{
	const struct CMUnitTest tests[] = {
		cmocka_unit_test(test_digest_is_sha256_of_salt_and_secret),
		cmocka_unit_test_setup_teardown(test_secrets, set_up,
						tear_down),
		cmocka_unit_test_setup_teardown(
			test_wrong_tries_are_limited_by_client, set_up,
			tear_down),
		cmocka_unit_test_setup_teardown(test_sessions_end, set_up,
						tear_down),
		cmocka_unit_test_setup_teardown(
			test_session_ends_although_it_is_used, set_up,
			tear_down),
		cmocka_unit_test_setup_teardown(test_sessions_are_bounded,
						set_up, tear_down),
	};

	return cmocka_run_group_tests_name("session", tests, NULL, NULL);
}
