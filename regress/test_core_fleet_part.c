/*
 * Tests of progress records in several parts.
 */
#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <stdint.h>

#include <cmocka.h>
#include <string.h>

#include "error.h"
#include "fleet_world.h"

#define JOB "00000000000000c0"
#define PARTS_MAX 20
/* What a commit has room for beside its own entries. */
#define ENTRIES_MAX 25

/* What the store has of the job. */
typedef struct stored {
	char *parts[PARTS_MAX];
	size_t max_len;
} stored_t;

static void clear_stored(stored_t *stored)
{
	size_t i;

	for (i = 0; i < PARTS_MAX; i++)
		g_clear_pointer(&stored->parts[i], g_free);
}

static char *join_parts(const stored_t *stored)
{
	GString *text = g_string_new(NULL);
	size_t i;

	for (i = 0; i < PARTS_MAX; i++)
		if (stored->parts[i])
			g_string_append(text, stored->parts[i]);
	return g_string_free(text, FALSE);
}

static void put(stored_t *stored, uint32_t number, char *text)
{
	assert_in_range(number, 0, PARTS_MAX - 1);
	g_free(stored->parts[number]);
	stored->parts[number] = text;
	if (text)
		stored->max_len = MAX(stored->max_len, strlen(text));
}

/* Stores the change as one commit does. */
static void store_change(stored_t *stored, gh_fleet_change_t *change)
{
	guint i;

	if (change->progress)
		put(stored, 0, g_steal_pointer(&change->progress));
	else if (change->phase > GH_JOB_RUNNING)
		put(stored, 0, NULL);
	for (i = 0; change->parts && i < change->parts->len; i++) {
		gh_fleet_part_t *part =
			&g_array_index(change->parts, gh_fleet_part_t, i);

		put(stored, part->number, g_steal_pointer(&part->text));
	}
}

/* Commits the next change, or lets that fail; false: there is none. */
static bool commit_next(world_t *w, stored_t *stored, bool fails)
{
	uint32_t max = gh_fleet_next_change_entries(w->fleet);
	gh_fleet_change_t change;

	if (!gh_fleet_next_change(w->fleet, &change))
		return false;
	assert_in_range(max, 0, ENTRIES_MAX);
	if (change.parts)
		/* Part 0 counts among what every change has. */
		assert_in_range(change.parts->len, 0, max + 1);
	if (fails) {
		gh_fleet_handle_commit_failure(w->fleet, change.id);
	} else {
		store_change(stored, &change);
		w->phase = change.phase;
		gh_fleet_handle_commit(w->fleet, change.id, change.version);
	}
	gh_fleet_change_clear(&change);
	return true;
}

static void begin(world_t *w, uint32_t n_workers, uint32_t cores_milli)
{
	uint32_t i;

	world_init(w);
	w->commits_limited = true;
	for (i = 0; i < n_workers; i++) {
		char id[GH_WORKER_ID_MAX + 1];

		/* Ids of the greatest length. */
		g_snprintf(id, sizeof(id), "%0*u", GH_WORKER_ID_MAX, i);
		add_worker(w, id, cores_milli);
	}
	advance_time(w, 1000);
}

static gh_pipeline_t *make_wide_job(uint32_t tasks)
{
	gh_step_t step = one_task;

	step.tasks = tasks;
	step.size = (gh_resources_t){ .cores_milli = 100 };
	return make_job(JOB, 1, &step);
}

/* Guards against values that the store refuses for their size. */
static void test_parts_fit_the_store(void **state)
{
	enum { TASKS = 20000 };
	stored_t stored = { 0 };
	gh_fleet_counts_t counts;
	world_t w;
	char *text;
	int i;

	(void)state;
	begin(&w, 2, 2000000);
	w.orders_held = true;
	assert_true(
		gh_fleet_job_add(w.fleet, make_wide_job(TASKS), NULL, NULL));
	for (i = 0; i < 1000; i++) {
		advance_time(&w, 10);
		while (commit_next(&w, &stored, false))
			;
		gh_fleet_counts(w.fleet, &counts);
		if (counts.open_runs == TASKS)
			break;
	}
	assert_int_equal(counts.open_runs, TASKS);
	text = join_parts(&stored);
	assert_true(strlen(text) > GH_RECORD_BYTES_MAX);
	assert_in_range(stored.max_len, 1, GH_RECORD_BYTES_MAX);

	replace_owner(&w);
	assert_true(
		gh_fleet_job_add(w.fleet, make_wide_job(TASKS), text, NULL));
	gh_fleet_counts(w.fleet, &counts);
	assert_int_equal(counts.open_runs, TASKS);
	g_free(text);
	/* All parts are deleted with the job. */
	gh_fleet_job_cancel(w.fleet, JOB, w.now);
	while (commit_next(&w, &stored, false))
		;
	text = join_parts(&stored);
	assert_string_equal(text, "");
	g_free(text);
	world_clear(&w);
}

/* Appends a line that is as long as one can be, but for its index. */
static void append_longest_line(GString *text, uint32_t index)
{
	int i;

	g_string_append_printf(text, "%u open 65535 4294967295 ", index);
	for (i = 0; i < GH_CHECKPOINT_NAME_MAX; i++)
		g_string_append(text, "%FF");
	g_string_append(text, " crashes:65535:65535:65535 moves:4294967295");
	for (i = 0; i < 7; i++)
		g_string_append_printf(text, " %s:9223372036854775807:%u@%0*u",
				       i < 2 ? "alone" : "silent",
				       4294967295u - (uint32_t)i,
				       GH_WORKER_ID_MAX, i);
	g_string_append_c(text, '\n');
}

/* Guards against values that the store refuses for their longest lines. */
static void test_longest_lines_fit_the_store(void **state)
{
	enum { TASKS = 1000 };
	GString *text = g_string_new("progress1\n");
	stored_t stored = { 0 };
	world_t w;
	uint32_t i;

	(void)state;
	begin(&w, 1, 1000000);
	for (i = 0; i < TASKS - 1; i++)
		append_longest_line(text, i);
	assert_true(text->len > GH_RECORD_BYTES_MAX);
	assert_true(gh_fleet_job_add(w.fleet, make_wide_job(TASKS), text->str,
				     NULL));
	advance_time(&w, 10);
	assert_true(commit_next(&w, &stored, false));
	assert_in_range(stored.max_len, TASKS * 900, GH_RECORD_BYTES_MAX);
	replace_owner(&w);
	assert_true(gh_fleet_job_add(w.fleet, make_wide_job(TASKS),
				     stored.parts[0], NULL));
	clear_stored(&stored);
	g_string_free(text, TRUE);
	world_clear(&w);
}

/* What a started task's line begins with, and the part that has it. */
static void check_start(world_t *w, scripted_worker_t *worker,
			const gh_order_t *order)
{
	const stored_t *stored = w->ctx;
	char *text = join_parts(stored);
	char *line = g_strdup_printf("\n%u open ", order->task.index);
	char *run = g_strdup_printf(" %u@%s", order->run, worker->id);
	const char *found = strstr(text, line);

	if (order->kind == GH_ORDER_START) {
		assert_non_null(found);
		found = strstr(found + 1, run);
		assert_non_null(found);
	}
	g_free(run);
	g_free(line);
	g_free(text);
}

static void play_with_failures(uint32_t seed)
{
	enum { TASKS = 2300, WORKERS = 12, RUNS = 60 };
	GRand *rand = g_rand_new_with_seed(seed);
	stored_t stored = { 0 };
	world_t w;
	size_t i, j;

	begin(&w, WORKERS, RUNS * 100);
	w.ctx = &stored;
	w.before_order = check_start;
	assert_true(
		gh_fleet_job_add(w.fleet, make_wide_job(TASKS), NULL, NULL));
	for (i = 0; i < 5000 && w.phase != GH_JOB_COMPLETED; i++) {
		bool fails = g_rand_int_range(rand, 0, 3) == 0;

		advance_time(&w, 10);
		commit_next(&w, &stored, fails);
		for (j = 0; j < w.n_workers; j++)
			if (w.workers[j].n_runs &&
			    w.workers[j].n_ends < ENDS_MAX / 2)
				end_run(&w.workers[j], 0, GH_RUN_DONE);
		if (g_rand_int_range(rand, 0, 300) == 0) {
			char *text = join_parts(&stored);

			replace_owner(&w);
			for (j = 0; j < w.n_workers; j++)
				list_worker(&w, &w.workers[j], false);
			assert_true(
				gh_fleet_job_add(w.fleet, make_wide_job(TASKS),
						 *text ? text : NULL, NULL));
			g_free(text);
		}
	}
	assert_int_equal(w.phase, GH_JOB_COMPLETED);
	assert_int_equal(w.n_twice, 0);
	clear_stored(&stored);
	world_clear(&w);
	g_rand_free(rand);
}

/* Guards against starts whose intents the store does not have yet. */
static void test_starts_wait_for_their_part(void **state)
{
	uint32_t seed;

	(void)state;
	for (seed = 1; seed <= 4; seed++)
		play_with_failures(seed);
}

/* A record that an earlier version has written is stored in parts at once. */
static void test_record_of_earlier_version(void **state)
{
	GString *text = g_string_new("progress1\n");
	stored_t stored = { 0 };
	gh_fleet_counts_t counts;
	world_t w;
	int i;

	(void)state;
	begin(&w, 1, 0);
	for (i = 0; i < 3000; i += 10)
		g_string_append_printf(text, "%d open 0 1 - 1@w%d\n", i, i);
	assert_true(gh_fleet_job_add(w.fleet, make_wide_job(3000), text->str,
				     NULL));
	gh_fleet_job_cancel(w.fleet, "none", w.now);
	gh_fleet_counts(w.fleet, &counts);
	assert_int_equal(counts.open_runs, 300);
	/* Their worker's leases end, which changes the record. */
	advance_time(&w, 60000);
	assert_true(commit_next(&w, &stored, false));
	for (i = 0; i < 3; i++)
		assert_non_null(stored.parts[i]);
	clear_stored(&stored);
	g_string_free(text, TRUE);
	world_clear(&w);
}

typedef struct record_case {
	const char *name, *text;
	uint32_t tasks;
	int done; /* tasks that are done; -1: the record is invalid */
} record_case_t;

static const record_case_t record_cases[] = {
	{ "a range of done tasks", "progress2 0\n3-12 done 0 1 -\n", 2000, 10 },
	{ "two parts",
	  "progress2 0\n0 done 0 1 -\nprogress2 1\n1000-1999 done 0 1 -\n",
	  2000, 1001 },
	{ "a part in place of lines of all",
	  "progress1\n5 done 0 1 -\n1005 open 0 1 - 1@w\n"
	  "progress2 1\n1005 done 0 1 -\n",
	  2000, 2 },
	{ "a line of another part", "progress2 1\n999 done 0 1 -\n", 2000, -1 },
	{ "a range beyond the part", "progress2 0\n999-1000 done 0 1 -\n", 2000,
	  -1 },
	{ "a range of open tasks", "progress2 0\n1-2 open 0 1 -\n", 2000, -1 },
	{ "a range from its end", "progress2 0\n2-1 done 0 1 -\n", 2000, -1 },
	{ "a range over a line", "progress2 0\n2-4 done 0 1 -\n3 done 0 1 -\n",
	  2000, -1 },
	{ "a part twice", "progress2 1\nprogress2 1\n", 2000, -1 },
	{ "a part that there is not", "progress2 2\n", 2000, -1 },
	{ "a part of a record in one", "progress2 0\n", 1000, -1 },
	{ "a range in a record in one", "progress1\n1-2 done 0 1 -\n", 10, -1 },
	{ "no number", "progress2 \n", 2000, -1 },
	{ "a later version", "progress3 0\n", 2000, -1 },
	{ "no first line", "1 done 0 1 -\n", 2000, -1 },
};

/* Runs that an owner with capacity for all tasks opens. */
static uint32_t count_runs(const record_case_t *c)
{
	stored_t stored = { 0 };
	gh_fleet_counts_t counts;
	GError *err = NULL;
	world_t w;
	bool ok;
	int i;

	begin(&w, 1, 1000000);
	w.orders_held = true;
	ok = gh_fleet_job_add(w.fleet, make_wide_job(c->tasks), c->text, &err);
	assert_int_equal(ok, c->done >= 0);
	for (i = 0; i < 200; i++) {
		advance_time(&w, 10);
		while (commit_next(&w, &stored, false))
			;
	}
	gh_fleet_counts(w.fleet, &counts);
	assert_int_equal(counts.held, !ok);
	g_clear_error(&err);
	clear_stored(&stored);
	world_clear(&w);
	return counts.open_runs;
}

static void test_records(void **state)
{
	size_t i;

	(void)state;
	for (i = 0; i < G_N_ELEMENTS(record_cases); i++) {
		const record_case_t *c = &record_cases[i];

		print_message("case: %s\n", c->name);
		assert_int_equal(count_runs(c),
				 c->done < 0 ? 0 :
					       c->tasks - (uint32_t)c->done);
	}
}

int main(void)
{
	const struct CMUnitTest tests[] = {
		cmocka_unit_test(test_parts_fit_the_store),
		cmocka_unit_test(test_longest_lines_fit_the_store),
		cmocka_unit_test(test_starts_wait_for_their_part),
		cmocka_unit_test(test_record_of_earlier_version),
		cmocka_unit_test(test_records),
	};

	return cmocka_run_group_tests(tests, NULL, NULL);
}
