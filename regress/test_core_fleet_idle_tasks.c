/*
 * Tests of tasks that could run and wait beside workers with capacity.
 */
#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <stdint.h>

#include <cmocka.h>

#include "fleet_world.h"

#define JOB "0000000000000001"
/* Max time that a task may wait beside workers with capacity for it. */
#define WAIT_MAX_MS 3000
#define WORKER_MILLI 4000

typedef struct gang_case {
	const char *name;
	uint32_t tasks;
	size_t workers;
	const char *crashes; /* in the record of each task */
} gang_case_t;

static const gang_case_t gang_cases[] = {
	{ "no crash", 3, 2, "" },
	{ "one crash each", 3, 2, " crashes:1:1" },
	{ "more suspects than workers", 3, 2, " crashes:2:2:0" },
	{ "one worker", 2, 1, " crashes:2:2:0" },
	{ "as many workers", 3, 3, " crashes:2:2:0" },
	{ "many workers", 8, 10, " crashes:2:2:0" },
	{ "proof wanted, more suspects than workers", 3, 2, " crashes:4:2:0" },
	{ "proof wanted", 8, 10, " crashes:4:2:0" },
	{ "lost starts", 6, 4, " crashes:0:0:4" },
};

static void add_workers(world_t *w, size_t n)
{
	char id[16];
	size_t i;

	for (i = 0; i < n; i++) {
		g_snprintf(id, sizeof(id), "w%zu", i);
		add_worker(w, id, WORKER_MILLI);
	}
	advance_time(w, 100);
}

static size_t count_runs(const world_t *w)
{
	size_t n = 0;
	size_t i;

	for (i = 0; i < w->n_workers; i++)
		n += w->workers[i].n_runs;
	return n;
}

static char *make_record(uint32_t tasks, const char *crashes)
{
	GString *text = g_string_new("progress1\n");
	uint32_t i;

	for (i = 0; i < tasks; i++)
		g_string_append_printf(text, "%u open 0 4 -%s\n", i, crashes);
	return g_string_free(text, FALSE);
}

/* Members of a gang that may have crashed workers keep each other waiting. */
static void test_gang_of_suspects_starts(void **state)
{
	size_t n_waiting = 0;
	size_t i;

	(void)state;
	for (i = 0; i < G_N_ELEMENTS(gang_cases); i++) {
		const gang_case_t *c = &gang_cases[i];
		gh_step_t step = { .tasks = c->tasks,
				   .gang = true,
				   .size = { .cores_milli = 1000 },
				   .estimate_ms = 5000 };
		char *record = make_record(c->tasks, c->crashes);
		world_t w;

		world_init(&w);
		add_workers(&w, c->workers);
		add_job(&w, JOB, 1, &step, record);
		advance_time(&w, WAIT_MAX_MS);
		print_message("%s: %zu of %u run\n", c->name, count_runs(&w),
			      c->tasks);
		n_waiting += count_runs(&w) < c->tasks;
		world_clear(&w);
		g_free(record);
	}
	assert_int_equal(n_waiting, 0);
}

int main(void)
{
	static const struct CMUnitTest tests[] = {
		cmocka_unit_test(test_gang_of_suspects_starts),
	};

	return cmocka_run_group_tests(tests, NULL, NULL);
}
