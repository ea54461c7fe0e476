/*
 * Tests of a shard's log in the store: lost replies, outages, writes of
 * previous owners, snapshots and the ring of keys.
 */
#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <cmocka.h>
#include <string.h>

#include "error.h"
#include "mem_store.h"
#include "shard_log.h"

#define PREFIX "t/tasks/d/0"

typedef struct fixture {
	mem_store_t *store;
	shard_log_t *log;
	GString *lines;
} fixture_t;

static shard_log_t *open_log(mem_store_t *store, const char *writer)
{
	shard_log_setup_t setup = { .store = &store->base,
				    .prefix = PREFIX,
				    .writer = writer,
				    .incarnation = 1 };

	return shard_log_new(&setup);
}

/* Collects the lines of log records, without the records' headers, each ended
 * by ';'. */
static bool on_line(void *ctx, const char *text, GError **err)
{
	GString *lines = ctx;

	(void)err;
	if (*text && *text != '#')
		g_string_append_printf(lines, "%s;", text);
	return true;
}

static void load_lines(shard_log_t *log, GString *lines)
{
	GError *err = NULL;

	g_string_truncate(lines, 0);
	shard_log_load(log, on_line, lines, &err);
	if (err)
		print_message("%s\n", err->message);
	assert_null(err);
}

static void append(shard_log_t *log, uint64_t epoch, const char *text)
{
	assert_true(shard_log_append(log, epoch, text, NULL));
}

static gh_error_kind_t append_error(shard_log_t *log, const char *text)
{
	GError *err = NULL;
	gh_error_kind_t kind;

	assert_false(shard_log_append(log, 1, text, &err));
	kind = gh_error_kind(err);
	g_error_free(err);
	return kind;
}

static int set_up(void **state)
{
	fixture_t *fix = g_new0(fixture_t, 1);

	fix->store = mem_store_new();
	fix->log = open_log(fix->store, "a");
	fix->lines = g_string_new(NULL);
	load_lines(fix->log, fix->lines);
	*state = fix;
	return 0;
}

static int tear_down(void **state)
{
	fixture_t *fix = *state;

	shard_log_free(fix->log);
	g_string_free(fix->lines, TRUE);
	store_free(&fix->store->base);
	g_free(fix);
	return 0;
}

static void test_reads_back_in_order(void **state)
{
	fixture_t *fix = *state;
	shard_log_t *other = open_log(fix->store, "b");

	append(fix->log, 4, "one\n");
	append(fix->log, 4, "two\nthree\n");
	load_lines(other, fix->lines);
	assert_string_equal(fix->lines->str, "one;two;three;");
	assert_int_equal(shard_log_max_epoch(other), 4);
	shard_log_free(other);
}

/* A log segment is stored exactly once even if the reply to its write is lost.
 */
static void test_lost_replies(void **state)
{
	fixture_t *fix = *state;
	shard_log_t *other = open_log(fix->store, "b");

	append(fix->log, 1, "one\n");
	fix->store->lose_replies = 1;
	append(fix->log, 1, "two\n");
	append(fix->log, 1, "three\n");
	load_lines(other, fix->lines);
	assert_string_equal(fix->lines->str, "one;two;three;");
	shard_log_free(other);
}

/*
 * A write takes effect, then the store goes down before it replies.  The same
 * append after the outage must recognise the stored segment as its own.
 */
static void test_outage_after_effect(void **state)
{
	fixture_t *fix = *state;
	shard_log_t *other = open_log(fix->store, "b");

	append(fix->log, 1, "one\n");
	fix->store->outage_at_write = fix->store->write_count + 1;
	assert_int_equal(append_error(fix->log, "two\n"), GH_E_STORE_UNKNOWN);
	fix->store->down = false;
	append(fix->log, 1, "two\n");
	append(fix->log, 1, "three\n");
	load_lines(other, fix->lines);
	assert_string_equal(fix->lines->str, "one;two;three;");
	shard_log_free(other);
}

/* Once a new owner has written, every append of the previous one fails. */
static void test_overtaken_writer_fails(void **state)
{
	fixture_t *fix = *state;
	shard_log_t *other = open_log(fix->store, "b");
	int i;

	append(fix->log, 1, "one\n");
	load_lines(other, fix->lines);
	append(other, 2, "E2\n");
	assert_int_equal(append_error(fix->log, "late\n"), GH_E_CONFLICT);
	/* Appends of the previous owner also fail after snapshots and wraps of
	 * the ring of keys. */
	for (i = 0; i < 1500; i++) {
		append(other, 2, "x\n");
		if (shard_log_needs_snapshot(other))
			assert_true(
				shard_log_compact(other, 2, "snap\n", NULL));
		assert_int_equal(append_error(fix->log, "late\n"),
				 GH_E_CONFLICT);
	}
	load_lines(other, fix->lines);
	assert_null(strstr(fix->lines->str, "late"));
	shard_log_free(other);
}

/*
 * The previous owner commits after the new owner has read the log.  The new
 * owner's first append must fail, and succeed once it has read the log again.
 */
static void test_new_owner_after_late_commit(void **state)
{
	fixture_t *fix = *state;
	shard_log_t *other = open_log(fix->store, "b");

	append(fix->log, 1, "one\n");
	load_lines(other, fix->lines);
	append(fix->log, 1, "two\n");
	assert_false(shard_log_append(other, 2, "E2\n", NULL));
	shard_log_free(other);
	other = open_log(fix->store, "b");
	load_lines(other, fix->lines);
	assert_string_equal(fix->lines->str, "one;two;");
	append(other, 2, "E2\n");
	shard_log_free(other);
}

/* What a new owner's first append meets. */
typedef struct first_append_case {
	bool late_commit; /* the previous owner commits just before it */
	bool outage;	  /* it takes effect, then the store is down */
	const char *lines;
} first_append_case_t;

static const first_append_case_t first_append_cases[] = {
	{ false, false, "one;E2;three;" },
	{ true, false, "one;two;E2;three;" },
	{ false, true, "one;E2;E2;three;" },
	{ true, true, "one;two;E2;E2;three;" },
};

/* No later owner could read the log after the retry of a first append. */
static void test_first_append_is_retried(void **state)
{
	size_t i;

	(void)state;
	for (i = 0; i < G_N_ELEMENTS(first_append_cases); i++) {
		const first_append_case_t *c = &first_append_cases[i];
		mem_store_t *store = mem_store_new();
		shard_log_t *previous = open_log(store, "a");
		shard_log_t *log = open_log(store, "b");
		shard_log_t *next = open_log(store, "c");
		GString *lines = g_string_new(NULL);
		int tries = 0;

		load_lines(previous, lines);
		append(previous, 1, "one\n");
		do {
			load_lines(log, lines);
			if (!tries && c->late_commit)
				append(previous, 1, "two\n");
			if (!tries && c->outage)
				store->outage_at_write = store->write_count + 1;
			tries++;
		} while (!shard_log_append(log, 2, "E2\n", NULL) &&
			 (mem_store_set_down(store, false), tries < 5));
		append(log, 2, "three\n");
		load_lines(next, lines);
		if (strcmp(lines->str, c->lines) != 0)
			fail_msg("case %zu: %s", i, lines->str);
		g_string_free(lines, TRUE);
		shard_log_free(next);
		shard_log_free(log);
		shard_log_free(previous);
		store_free(&store->base);
	}
}

static void test_snapshot_replaces_segments(void **state)
{
	fixture_t *fix = *state;
	shard_log_t *other = open_log(fix->store, "b");
	GString *big_snapshot = g_string_new(NULL);
	int i;

	append(fix->log, 1, "one\n");
	for (i = 0; i < 100000; i++)
		g_string_append_printf(big_snapshot, "line %d\n", i);
	assert_true(shard_log_compact(fix->log, 1, big_snapshot->str, NULL));
	append(fix->log, 1, "after\n");
	load_lines(other, fix->lines);
	assert_true(g_str_has_prefix(fix->lines->str, "line 0;line 1;"));
	assert_true(g_str_has_suffix(fix->lines->str, "line 99999;after;"));
	assert_true(shard_log_compact(other, 2, "small\n", NULL));
	load_lines(fix->log, fix->lines);
	assert_string_equal(fix->lines->str, "small;");
	g_string_free(big_snapshot, TRUE);
	shard_log_free(other);
}

/*
 * The store fails between the write of a snapshot's part and that of the
 * segment that names it.  The previous snapshot must stay in use.
 */
static void test_snapshot_in_use_is_kept(void **state)
{
	fixture_t *fix = *state;
	shard_log_t *other = open_log(fix->store, "b");

	append(fix->log, 1, "one\n");
	assert_true(shard_log_compact(fix->log, 1, "first\n", NULL));
	append(fix->log, 1, "two\n");
	fix->store->outage_at_write = fix->store->write_count + 1;
	assert_false(shard_log_compact(fix->log, 1, "second\n", NULL));
	fix->store->down = false;
	load_lines(other, fix->lines);
	assert_string_equal(fix->lines->str, "first;two;");
	shard_log_free(other);
}

/*
 * A snapshot during an outage fails and leaves the log usable; one whose
 * writes lose their replies, also that of its segment, takes effect.
 */
static void test_snapshot_that_fails(void **state)
{
	fixture_t *fix = *state;
	shard_log_t *other = open_log(fix->store, "b");

	append(fix->log, 1, "one\n");
	fix->store->down = true;
	assert_false(shard_log_compact(fix->log, 1, "snap\n", NULL));
	fix->store->down = false;
	append(fix->log, 1, "two\n");
	load_lines(other, fix->lines);
	assert_string_equal(fix->lines->str, "one;two;");
	fix->store->lose_replies = 3;
	assert_true(shard_log_compact(fix->log, 1, "snap\n", NULL));
	fix->store->lose_replies = 0;
	append(fix->log, 1, "three\n");
	load_lines(other, fix->lines);
	assert_string_equal(fix->lines->str, "snap;three;");
	shard_log_free(other);
}

/*
 * The store is restored from an older copy.  The shard's owner must notice
 * that the last segments of its log are gone, and can then write its whole
 * state again.
 */
static void test_store_went_back(void **state)
{
	fixture_t *fix = *state;
	shard_log_t *other = open_log(fix->store, "b");
	GPtrArray *older_copy;
	guint i;

	append(fix->log, 1, "one\n");
	fix->store->base.ops->list(&fix->store->base, "", &older_copy, NULL);
	append(fix->log, 1, "two\n");
	append(fix->log, 1, "three\n");
	g_hash_table_remove_all(fix->store->values);
	for (i = 0; i < older_copy->len; i++) {
		store_value_t *value = g_ptr_array_index(older_copy, i);

		g_hash_table_replace(fix->store->values, value->key, value);
	}
	g_ptr_array_set_free_func(older_copy, NULL);
	g_ptr_array_unref(older_copy);
	fix->store->revision = 1;
	assert_false(shard_log_verify(fix->log, NULL));
	assert_int_equal(append_error(fix->log, "four\n"), GH_E_CONFLICT);
	assert_true(shard_log_restore(fix->log, 1, "all\n", NULL));
	assert_true(shard_log_verify(fix->log, NULL));
	append(fix->log, 1, "six\n");
	load_lines(other, fix->lines);
	assert_string_equal(fix->lines->str, "all;six;");
	/* A restore must not overwrite the segments of a newer owner. */
	append(other, 2, "E2\n");
	assert_int_equal(append_error(fix->log, "seven\n"), GH_E_CONFLICT);
	assert_false(shard_log_restore(fix->log, 1, "all\n", NULL));
	load_lines(other, fix->lines);
	assert_string_equal(fix->lines->str, "all;six;E2;");
	shard_log_free(other);
}

static void test_hole_is_refused(void **state)
{
	fixture_t *fix = *state;
	shard_log_t *other = open_log(fix->store, "b");
	GError *err = NULL;

	append(fix->log, 1, "one\n");
	append(fix->log, 1, "two\n");
	append(fix->log, 1, "three\n");
	g_hash_table_remove(fix->store->values, PREFIX "/log/0002");
	assert_false(shard_log_load(other, on_line, fix->lines, &err));
	assert_int_equal(gh_error_kind(err), GH_E_SYNTAX);
	g_error_free(err);
	shard_log_free(other);
}

#define LOG_TEST(fn) cmocka_unit_test_setup_teardown(fn, set_up, tear_down)

int main(void)
{
	const struct CMUnitTest tests[] = {
		LOG_TEST(test_reads_back_in_order),
		LOG_TEST(test_lost_replies),
		LOG_TEST(test_outage_after_effect),
		LOG_TEST(test_overtaken_writer_fails),
		LOG_TEST(test_new_owner_after_late_commit),
		cmocka_unit_test(test_first_append_is_retried),
		LOG_TEST(test_snapshot_replaces_segments),
		LOG_TEST(test_snapshot_in_use_is_kept),
		LOG_TEST(test_snapshot_that_fails),
		LOG_TEST(test_store_went_back),
		LOG_TEST(test_hole_is_refused),
	};

	return cmocka_run_group_tests(tests, NULL, NULL);
}
