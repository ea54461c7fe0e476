/*
 * Tests of the fleet scheduler with entries in service discovery that do not
 * tell the truth about their workers for a while.
 */
#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <stdint.h>

#include <cmocka.h>
#include <string.h>

#include "fleet_world.h"

#define JOB_ID "e000000000000000"
#define STEP_MS 10
/* An address at which nothing answers. */
#define NOBODY "127.0.0.9:9"

/* What the entry of the task's worker says for a while. */
typedef struct entry_case {
	const char *name;
	enum { ENTRY_SAME, ENTRY_OTHER_WORKER, ENTRY_NOBODY, ENTRY_GONE } says;
	bool other_birth;
	int64_t for_ms;
	/* How long before the task is placed the entry changes; 0: while it
	 * runs. */
	int64_t before_ms;
	bool start_unanswered; /* replies to its start are lost meanwhile */
	bool drains;	       /* it also drains; the task is long-running */
	/* The owner is replaced just before the entry changes. */
	bool owner_replaced;
	bool crash; /* the worker crashes, and another takes its address */
	/* The first run is still there at the end. */
	bool kept;
	/* The task runs on another worker after this time at most; 0: no matter
	 * when. */
	int64_t again_ms;
} entry_case_t;

static const entry_case_t entry_cases[] = {
	{ .name = "address of another worker",
	  .says = ENTRY_OTHER_WORKER,
	  .for_ms = 2000,
	  .kept = true },
	{ .name = "address of another worker, beyond the lease",
	  .says = ENTRY_OTHER_WORKER,
	  .for_ms = 9000 },
	{ .name = "address of nobody",
	  .says = ENTRY_NOBODY,
	  .for_ms = 2000,
	  .kept = true },
	{ .name = "address of nobody, beyond the lease",
	  .says = ENTRY_NOBODY,
	  .for_ms = 9000 },
	{ .name = "another birth",
	  .other_birth = true,
	  .for_ms = 2000,
	  .kept = true },
	{ .name = "another birth at the address of another worker",
	  .says = ENTRY_OTHER_WORKER,
	  .other_birth = true,
	  .for_ms = 2000,
	  .kept = true },
	{ .name = "the same beyond the lease",
	  .says = ENTRY_OTHER_WORKER,
	  .other_birth = true,
	  .for_ms = 9000 },
	{ .name = "deleted and put again",
	  .says = ENTRY_GONE,
	  .for_ms = 2000,
	  .kept = true },
	{ .name = "deleted and put again, beyond the lease",
	  .says = ENTRY_GONE,
	  .for_ms = 9000,
	  .kept = true },
	{ .name = "deleted and put again, without a run",
	  .says = ENTRY_GONE,
	  .before_ms = 500,
	  .for_ms = 2000 },
	{ .name = "address of another worker, without a run",
	  .says = ENTRY_OTHER_WORKER,
	  .before_ms = 500,
	  .for_ms = 2000 },
	{ .name = "address of another worker, no reply to the start",
	  .says = ENTRY_OTHER_WORKER,
	  .start_unanswered = true,
	  .for_ms = 2000 },
	{ .name = "the same beyond the lease",
	  .says = ENTRY_OTHER_WORKER,
	  .start_unanswered = true,
	  .for_ms = 9000 },
	{ .name = "another birth, no reply to the start",
	  .other_birth = true,
	  .start_unanswered = true,
	  .for_ms = 2000 },
	{ .name = "deleted and put again, no reply to the start",
	  .says = ENTRY_GONE,
	  .start_unanswered = true,
	  .for_ms = 2000 },
	{ .name = "draining at the address of another worker",
	  .says = ENTRY_OTHER_WORKER,
	  .drains = true,
	  .for_ms = 2000 },
	{ .name = "owner replaced, then address of another worker",
	  .says = ENTRY_OTHER_WORKER,
	  .owner_replaced = true,
	  .for_ms = 2000,
	  .kept = true },
	{ .name = "the same beyond the lease, owner replaced",
	  .says = ENTRY_OTHER_WORKER,
	  .owner_replaced = true,
	  .for_ms = 9000 },
	{ .name = "the worker crashes", .crash = true, .again_ms = 2500 },
	{ .name = "the worker crashes and its entry goes",
	  .crash = true,
	  .says = ENTRY_GONE,
	  .for_ms = 9000,
	  .again_ms = 2500 },
};

/* Workers on which the task runs. */
static size_t count_runs(const world_t *w)
{
	size_t i, n = 0;

	for (i = 0; i < w->n_workers; i++)
		n += w->workers[i].n_runs;
	return n;
}

/* Plays one step; whether the task never ran twice at a time. */
static bool play_step(world_t *w)
{
	size_t i;

	advance_time(w, STEP_MS);
	for (i = 0; i < w->n_workers; i++)
		if (w->now > w->workers[i].lease_until)
			w->workers[i].n_runs = 0;
	return count_runs(w) <= 1;
}

/* Worker with the task's run; the last of them if there is none. */
static size_t find_run(const world_t *w)
{
	size_t i;

	for (i = 0; i + 1 < w->n_workers; i++)
		if (w->workers[i].n_runs)
			break;
	return i;
}

static void change_entry(world_t *w, const entry_case_t *c, size_t i)
{
	scripted_worker_t entry = w->workers[i];

	if (c->says == ENTRY_GONE) {
		gh_fleet_worker_unlist(w->fleet, entry.id);
		return;
	}
	if (c->says != ENTRY_SAME)
		g_strlcpy(entry.address,
			  c->says == ENTRY_NOBODY ?
				  NOBODY :
				  w->workers[(i + 1) % w->n_workers].address,
			  sizeof(entry.address));
	entry.incarnation_start_ms += c->other_birth;
	list_worker(w, &entry, c->drains);
}

static void mend_entry(world_t *w, const entry_case_t *c, size_t i)
{
	size_t j;

	for (j = 0; j < w->n_workers; j++)
		w->workers[j].drops_replies = false;
	if (!c->crash)
		list_worker(w, &w->workers[i], false);
}

/* Another worker takes the place of the crashed one. */
static void crash_worker(world_t *w, size_t i)
{
	restart_worker(&w->workers[i]);
	g_strlcpy(w->workers[i].id, "new", sizeof(w->workers[i].id));
	list_worker(w, &w->workers[i], false);
}

static void change_owner(world_t *w, const gh_step_t *step)
{
	char *progress = g_strdup(w->progress);
	size_t i;

	replace_owner(w);
	for (i = 0; i < w->n_workers; i++)
		list_worker(w, &w->workers[i], false);
	add_job(w, JOB_ID, 1, step, progress);
	g_free(progress);
}

/* Steps until the task runs; false if it never does. */
static bool wait_for_run(world_t *w)
{
	int n;

	for (n = 0; n < 3000 && !count_runs(w); n++)
		play_step(w);
	return count_runs(w) == 1;
}

/* Plays the case; whether all went as it should. */
static bool play_entry_case(const entry_case_t *c)
{
	const gh_step_t *step;
	gh_time_t changed_at, again_at = 0;
	int64_t ms;
	size_t i, first = 0;
	bool twice = false, kept, ok;
	uint32_t run = 0;
	world_t w;

	world_init(&w);
	for (i = 0; i < 3; i++) {
		char id[8];

		g_snprintf(id, sizeof(id), "w%zu", i);
		add_worker(&w, id, 8000);
	}
	advance_time(&w, 100);
	if (c->before_ms) {
		change_entry(&w, c, first);
		advance_time(&w, c->before_ms);
	}
	for (i = 0; i < w.n_workers; i++)
		w.workers[i].drops_replies = c->start_unanswered;
	step = c->drains ? &long_running_step : &one_task;
	add_job(&w, JOB_ID, 1, step, NULL);
	if (!c->before_ms) {
		assert_true(wait_for_run(&w));
		first = find_run(&w);
		run = w.workers[first].runs[0].run;
		if (c->owner_replaced)
			change_owner(&w, step);
		if (!c->crash || c->says == ENTRY_GONE)
			change_entry(&w, c, first);
		if (c->crash)
			crash_worker(&w, first);
	}
	changed_at = w.now;
	for (ms = 0; ms < c->for_ms + 10000; ms += STEP_MS) {
		if (ms == c->for_ms)
			mend_entry(&w, c, first);
		twice |= !play_step(&w);
		if (!again_at && count_runs(&w) && find_run(&w) != first)
			again_at = w.now;
	}
	kept = w.workers[first].n_runs && w.workers[first].runs[0].run == run;
	ok = !twice && count_runs(&w) == 1 && (!c->kept || kept) &&
	     (!c->again_ms ||
	      (again_at && again_at - changed_at <= c->again_ms * MS));
	print_message("%s:%s%s, runs elsewhere after %d ms%s\n", c->name,
		      twice ? " ran twice at a time," : "",
		      kept ? " kept" : " not kept",
		      again_at ? (int)gh_time_to_ms(again_at - changed_at) : -1,
		      ok ? "" : " (!)");
	world_clear(&w);
	return ok;
}

static void test_entry_of_another_writer_ends_no_run(void **state)
{
	size_t i, wrong = 0;

	(void)state;
	for (i = 0; i < G_N_ELEMENTS(entry_cases); i++)
		wrong += !play_entry_case(&entry_cases[i]);
	assert_int_equal(wrong, 0);
}

int main(void)
{
	static const struct CMUnitTest tests[] = {
		cmocka_unit_test(test_entry_of_another_writer_ends_no_run),
	};

	return cmocka_run_group_tests(tests, NULL, NULL);
}
