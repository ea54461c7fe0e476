/*
 * Tests of tasks that could run and wait beside workers with capacity.
 */
#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <stdint.h>

#include <cmocka.h>
#include <string.h>

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

/* Failing runs put all workers into quarantine; then a job is added. */
typedef struct quarantine_case {
	const char *name;
	size_t workers;
	int64_t failing_ms; /* how long all runs fail */
	bool long_running, best_effort, gang;
	uint32_t tasks;
} quarantine_case_t;

static const quarantine_case_t quarantine_cases[] = {
	{ .name = "one worker", .workers = 1, .failing_ms = 30000, .tasks = 1 },
	{ .name = "two workers", .workers = 2, .failing_ms = 2000, .tasks = 1 },
	{ .name = "again and again",
	  .workers = 3,
	  .failing_ms = 30000,
	  .tasks = 4 },
	{ .name = "best-effort",
	  .workers = 3,
	  .failing_ms = 30000,
	  .best_effort = true,
	  .tasks = 3 },
	{ .name = "long-running",
	  .workers = 3,
	  .failing_ms = 30000,
	  .long_running = true,
	  .tasks = 2 },
	{ .name = "gang",
	  .workers = 3,
	  .failing_ms = 30000,
	  .gang = true,
	  .tasks = 3 },
};

static void fail_runs(world_t *w)
{
	size_t i;

	for (i = 0; i < w->n_workers; i++)
		while (w->workers[i].n_runs)
			end_run(&w->workers[i], 0, GH_RUN_FAILED);
}

/* Adds jobs that fail at once until all workers are quarantined again. */
static void quarantine_workers(world_t *w, int64_t ms)
{
	gh_queue_policy_t policy = { .name = "q",
				     .attempts = 1,
				     .stretch_milli = 2000 };
	gh_time_t until = w->now + ms * MS;
	uint32_t n = 0;
	char id[24];

	gh_fleet_queue_set(w->fleet, &policy);
	while (w->now < until) {
		g_snprintf(id, sizeof(id), "fa%014x", ++n);
		add_job(w, id, 1, &one_task, NULL);
		advance_time(w, 50);
		fail_runs(w);
		advance_time(w, 50);
		gh_fleet_job_cancel(w->fleet, id, w->now);
	}
}

static size_t count_runs_of(const world_t *w, const char *job)
{
	size_t n = 0;
	size_t i, r;

	for (i = 0; i < w->n_workers; i++)
		for (r = 0; r < w->workers[i].n_runs; r++)
			n += !strcmp(w->workers[i].runs[r].task.job, job);
	return n;
}

/* No task waits because all workers with capacity are in quarantine. */
static void test_job_runs_beside_quarantined_workers(void **state)
{
	size_t n_waiting = 0;
	size_t i;

	(void)state;
	for (i = 0; i < G_N_ELEMENTS(quarantine_cases); i++) {
		const quarantine_case_t *c = &quarantine_cases[i];
		gh_step_t step = { .tasks = c->tasks,
				   .size = { .cores_milli = 1000 },
				   .estimate_ms = 5000,
				   .long_running = c->long_running,
				   .best_effort = c->best_effort,
				   .gang = c->gang };
		int64_t ms = 0;
		world_t w;

		world_init(&w);
		add_workers(&w, c->workers);
		quarantine_workers(&w, c->failing_ms);
		add_job(&w, JOB, 1, &step, NULL);
		while (!count_runs_of(&w, JOB) && ms < 60000) {
			advance_time(&w, 10);
			ms += 10;
		}
		print_message("%s: waited for %d ms\n", c->name, (int)ms);
		n_waiting += ms >= WAIT_MAX_MS;
		world_clear(&w);
	}
	assert_int_equal(n_waiting, 0);
}

typedef struct suspects_case {
	const char *name;
	size_t workers;
	const char *crashes; /* in the record of each task */
	int64_t run_ms;
	uint32_t jobs; /* of one task each */
	bool best_effort;
} suspects_case_t;

#define SUSPECT_JOBS_MAX 40

static const suspects_case_t suspects_cases[] = {
	{ "short runs", 2, " crashes:2:2:0", 400, 8, false },
	{ "lost starts", 2, " crashes:0:0:4", 5000, 8, false },
	{ "proof wanted", 4, " crashes:4:2:0", 5000, 16, false },
	{ "many workers", 10, " crashes:4:2:0", 5000, 40, false },
	{ "best-effort", 10, " crashes:4:2:0", 5000, 40, true },
};

/* Notes when each job first runs, and ends runs in time. */
static void note_starts(world_t *w, const suspects_case_t *c, int64_t ms,
			int64_t started_ms[SUSPECT_JOBS_MAX])
{
	size_t i, r;

	for (i = 0; i < w->n_workers; i++)
		for (r = w->workers[i].n_runs; r-- > 0;) {
			const char *job = w->workers[i].runs[r].task.job;
			uint64_t n = g_ascii_strtoull(job, NULL, 16) - 1;

			if (!started_ms[n])
				started_ms[n] = ms;
			if (ms - started_ms[n] >= c->run_ms)
				end_run(&w->workers[i], r, GH_RUN_DONE);
		}
}

/* Tasks that may have crashed workers queue up for a worker of their own. */
static void test_suspects_start_in_time(void **state)
{
	size_t n_late = 0;
	size_t i;

	(void)state;
	for (i = 0; i < G_N_ELEMENTS(suspects_cases); i++) {
		const suspects_case_t *c = &suspects_cases[i];
		gh_step_t step = { .tasks = 1,
				   .size = { .cores_milli = 100 },
				   .best_effort = c->best_effort,
				   .estimate_ms = 5000 };
		char *record = make_record(1, c->crashes);
		int64_t started_ms[SUSPECT_JOBS_MAX] = { 0 };
		size_t n = 0;
		char id[24];
		int64_t ms;
		uint32_t j;
		world_t w;

		world_init(&w);
		add_workers(&w, c->workers);
		for (j = 0; j < c->jobs; j++) {
			g_snprintf(id, sizeof(id), "%016x", j + 1);
			add_job(&w, id, 1, &step, record);
		}
		for (ms = 10; ms <= WAIT_MAX_MS; ms += 10) {
			advance_time(&w, 10);
			note_starts(&w, c, ms, started_ms);
		}
		for (j = 0; j < c->jobs; j++)
			n += !started_ms[j];
		print_message("%s: %zu of %u wait\n", c->name, n, c->jobs);
		n_late += n;
		world_clear(&w);
		g_free(record);
	}
	assert_int_equal(n_late, 0);
}

typedef struct done_case {
	const char *name;
	const char *record;
	size_t n_running; /* tasks that are to run */
} done_case_t;

static const done_case_t done_cases[] = {
	{ "task that has not begun", "progress1\n0 done 0 2 - 2@gone\n", 1 },
	{ "task that failed", "progress1\n0 done 0 2 - 2@gone\n1 open 1 1 -\n",
	  1 },
	{ "run of another task", "progress1\n0 open 0 2 - 2@gone\n", 1 },
};

/* A run of a done task that is still open holds a task of its step back. */
static void test_run_of_done_task_holds_nothing_back(void **state)
{
	size_t i;

	(void)state;
	for (i = 0; i < G_N_ELEMENTS(done_cases); i++) {
		const done_case_t *c = &done_cases[i];
		gh_step_t step = { .tasks = 2,
				   .size = { .cores_milli = 1000 },
				   .estimate_ms = 5000 };
		world_t w;

		print_message("%s\n", c->name);
		world_init(&w);
		add_workers(&w, 2);
		add_job(&w, JOB, 1, &step, c->record);
		advance_time(&w, WAIT_MAX_MS);
		assert_int_equal(count_runs(&w), c->n_running);
		world_clear(&w);
	}
}

int main(void)
{
	static const struct CMUnitTest tests[] = {
		cmocka_unit_test(test_gang_of_suspects_starts),
		cmocka_unit_test(test_job_runs_beside_quarantined_workers),
		cmocka_unit_test(test_suspects_start_in_time),
		cmocka_unit_test(test_run_of_done_task_holds_nothing_back),
	};

	return cmocka_run_group_tests(tests, NULL, NULL);
}
