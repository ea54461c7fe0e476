/*
 * Tests of the watch on a prefix of the store with scripted replies: what the
 * listener hears when replies are older than changes that it already knows.
 */
#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <cmocka.h>
#include <string.h>

#include "clock.h"
#include "fleet_watch.h"

#define PREFIX "w/0/"
#define UNREAD "unread" /* value of an item that is refused */
#define ITEMS_MAX 4
#define STEPS_MAX 8

typedef enum step_kind {
	STEP_END,
	STEP_PAGE,	/* a page of a full read, which ends the read */
	STEP_PAGE_MORE, /* a page that others follow */
	STEP_EVENTS,	/* a reply to a watch call */
	STEP_COMPACTED, /* a watch call fails: the history is gone */
	STEP_NOTE,	/* the caller has written the first item itself */
	STEP_NOTE_GONE	/* the caller has deleted the first item itself */
} step_kind_t;

typedef struct scripted_item {
	const char *key;
	uint64_t revision;
	bool gone;
	bool unread; /* the listener refuses it */
} scripted_item_t;

typedef struct step {
	step_kind_t kind;
	uint64_t revision; /* of the store, when it served the call */
	scripted_item_t items[ITEMS_MAX];
} step_t;

typedef struct watch_case {
	const char *name;
	step_t steps[STEPS_MAX];
	/* What the listener hears: +KEY, -KEY and "synced", in order. */
	const char *heard;
	bool newest_only; /* the listener hears KEY@REVISION */
} watch_case_t;

/* A store that keeps the one open call of a watch until it is replied to. */
typedef struct scripted_store {
	fleet_store_t base;
	fleet_store_done_t done; /* of the open call, or NULL */
	void *ctx;
	bool watching; /* the open call is a watch call, not a range call */
} scripted_store_t;

static void store_range(fleet_store_t *base, fleet_keyspace_t keyspace,
			const char *prefix, const char *after_key,
			fleet_store_done_t done, void *ctx)
{
	scripted_store_t *store = (scripted_store_t *)base;

	(void)keyspace;
	(void)prefix;
	(void)after_key;
	store->done = done;
	store->ctx = ctx;
	store->watching = false;
}

static void store_watch(fleet_store_t *base, fleet_keyspace_t keyspace,
			const char *prefix, uint64_t after_revision,
			int64_t wait_ms, fleet_store_done_t done, void *ctx)
{
	(void)after_revision;
	(void)wait_ms;
	store_range(base, keyspace, prefix, "", done, ctx);
	((scripted_store_t *)base)->watching = true;
}

static const fleet_store_ops_t store_ops = { .range = store_range,
					     .watch = store_watch };

static void on_item(void *ctx, const fleet_item_t *item)
{
	GString *heard = ctx;

	g_string_append_printf(heard, "%s%c%s", heard->len ? " " : "",
			       item->value ? '+' : '-',
			       item->key + strlen(PREFIX));
}

/* The watch of the case under way. */
static fleet_watch_t *refused_watch;

static void on_newest(void *ctx, const fleet_item_t *item)
{
	on_item(ctx, item);
	g_string_append_printf(ctx, "@%d", (int)item->revision);
	if (!g_strcmp0(item->value, UNREAD))
		fleet_watch_refuse(refused_watch);
}

static void on_synced(void *ctx)
{
	g_string_append(ctx, " synced");
}

static void reply_to_call(scripted_store_t *store, const step_t *step)
{
	fleet_store_done_t done = store->done;
	fleet_item_t items[ITEMS_MAX] = { 0 };
	fleet_reply_t reply = { .result = step->kind == STEP_COMPACTED ?
						  FLEET_COMPACTED :
						  FLEET_OK,
				.revision = step->revision,
				.items = items,
				.more = step->kind == STEP_PAGE_MORE };
	size_t i;

	assert_int_equal(store->watching, step->kind == STEP_EVENTS ||
						  step->kind == STEP_COMPACTED);
	for (i = 0; i < ITEMS_MAX && step->items[i].key; i++) {
		items[i] = (fleet_item_t){
			.key = (char *)step->items[i].key,
			.value = step->items[i].gone   ? NULL :
				 step->items[i].unread ? (char *)UNREAD :
							 (char *)"value",
			.revision = step->items[i].revision,
		};
		reply.n_items++;
	}
	store->done = NULL;
	if (!done)
		fail_msg("no call to the store is open");
	else
		done(store->ctx, &reply);
}

static const watch_case_t cases[] = {
	{ .name = "changes arrive in order",
	  .steps = { { STEP_PAGE, 10, { { "w/0/a", 5 } } },
		     { STEP_EVENTS,
		       12,
		       { { "w/0/b", 11 }, { "w/0/a", 12, true } } } },
	  .heard = "+a synced +b -a" },
	{ .name = "a key that the caller deleted is in a late page",
	  .steps = { { STEP_PAGE, 10, { { "w/0/a", 5 }, { "w/0/b", 6 } } },
		     { STEP_COMPACTED },
		     { STEP_NOTE_GONE, 0, { { "w/0/a", 12 } } },
		     { STEP_PAGE, 11, { { "w/0/a", 5 }, { "w/0/b", 6 } } },
		     { STEP_EVENTS, 12, { { "w/0/a", 12, true } } } },
	  .heard = "+a +b synced synced" },
	{ .name = "the note holds until the watch has passed it",
	  .steps = { { STEP_PAGE, 10, { { "w/0/a", 5 } } },
		     { STEP_NOTE_GONE, 0, { { "w/0/a", 12 } } },
		     { STEP_EVENTS, 11, { { "w/0/b", 11 } } },
		     { STEP_COMPACTED },
		     { STEP_PAGE, 11, { { "w/0/a", 5 }, { "w/0/b", 11 } } } },
	  .heard = "+a synced +b synced" },
	{ .name = "a key that is created again is heard",
	  .steps = { { STEP_PAGE, 10, { { "w/0/a", 5 } } },
		     { STEP_NOTE_GONE, 0, { { "w/0/a", 12 } } },
		     { STEP_EVENTS,
		       14,
		       { { "w/0/a", 12, true }, { "w/0/a", 14 } } } },
	  .heard = "+a synced +a" },
	{ .name = "events since the first page are older than a later page",
	  .steps = { { STEP_PAGE_MORE, 10, { { "w/0/a", 5 } } },
		     { STEP_PAGE, 14, { { "w/0/b", 13 } } },
		     { STEP_EVENTS,
		       14,
		       { { "w/0/b", 11 },
			 { "w/0/b", 12, true },
			 { "w/0/b", 13 } } } },
	  .heard = "+a +b synced" },
	{ .name = "a key that is no longer listed is gone",
	  .steps = { { STEP_PAGE, 10, { { "w/0/a", 5 }, { "w/0/b", 6 } } },
		     { STEP_COMPACTED },
		     { STEP_PAGE, 20, { { "w/0/b", 6 } } } },
	  .heard = "+a +b synced -a synced" },
	{ .name = "a key that the caller wrote is missing in a late page",
	  .steps = { { STEP_PAGE, 10, { { "w/0/a", 5 } } },
		     { STEP_COMPACTED },
		     { STEP_NOTE, 0, { { "w/0/b", 12 } } },
		     { STEP_PAGE, 11, { { "w/0/a", 5 } } },
		     { STEP_EVENTS,
		       15,
		       { { "w/0/b", 12 }, { "w/0/b", 15, true } } } },
	  .heard = "+a synced synced -b" },
	{ .name = "all changes of a key",
	  .steps = { { STEP_PAGE, 10, { { "w/0/a", 5 } } },
		     { STEP_EVENTS,
		       13,
		       { { "w/0/a", 11 }, { "w/0/a", 12 } } } },
	  .heard = "+a synced +a +a" },
	{ .name = "its newest change in a reply",
	  .newest_only = true,
	  .steps = { { STEP_PAGE, 10, { { "w/0/a", 5 } } },
		     { STEP_EVENTS,
		       13,
		       { { "w/0/a", 11 }, { "w/0/b", 12 }, { "w/0/a", 13 } } },
		     { STEP_EVENTS,
		       16,
		       { { "w/0/a", 14 },
			 { "w/0/a", 15, true },
			 { "w/0/a", 16 } } },
		     { STEP_EVENTS,
		       18,
		       { { "w/0/a", 17 }, { "w/0/a", 18, true } } } },
	  .heard = "+a@5 synced +b@12 +a@13 +a@16 -a@18" },
	{ .name = "the one before a newest change that is refused",
	  .newest_only = true,
	  .steps = { { STEP_PAGE, 10, { { "w/0/a", 5 } } },
		     { STEP_EVENTS,
		       14,
		       { { "w/0/a", 11 },
			 { "w/0/a", 12 },
			 { "w/0/b", 13 },
			 { "w/0/a", 14, .unread = true } } },
		     { STEP_EVENTS,
		       16,
		       { { "w/0/a", 15, .unread = true },
			 { "w/0/a", 16, .unread = true } } } },
	  .heard = "+a@5 synced +b@13 +a@14 +a@12 +a@16 +a@15" },
	{ .name = "a newest change that the caller knows",
	  .newest_only = true,
	  .steps = { { STEP_PAGE, 10, { { "w/0/a", 5 } } },
		     { STEP_NOTE, 0, { { "w/0/a", 12 } } },
		     { STEP_EVENTS,
		       12,
		       { { "w/0/a", 11 }, { "w/0/a", 12 } } } },
	  .heard = "+a@5 synced" },
};

/* A case under way: its loop replies to the watch's calls step by step. */
typedef struct run {
	const watch_case_t *c;
	scripted_store_t store;
	loop_t *loop;
	fleet_watch_t *watch;
	size_t n_steps_done;
} run_t;

/* A loop is never freed; this keeps them from being reported as leaks. */
static loop_t *loops[G_N_ELEMENTS(cases)];

/* Plays steps as far as the watch has made the calls that they reply to. */
static void play_steps(void *ctx)
{
	run_t *run = ctx;

	while (run->store.done) {
		const step_t *step = &run->c->steps[run->n_steps_done];

		if (run->n_steps_done == STEPS_MAX || !step->kind) {
			loop_stop(run->loop);
			return;
		}
		run->n_steps_done++;
		if (step->kind == STEP_NOTE || step->kind == STEP_NOTE_GONE)
			assert_true(fleet_watch_note(run->watch,
						     step->items[0].key,
						     step->items[0].revision,
						     step->kind == STEP_NOTE));
		else
			reply_to_call(&run->store, step);
	}
}

static void test_late_replies(void **state)
{
	size_t i;

	(void)state;
	for (i = 0; i < G_N_ELEMENTS(cases); i++) {
		GString *heard = g_string_new(NULL);
		fleet_watch_listener_t listener = {
			.item_changed =
				cases[i].newest_only ? on_newest : on_item,
			.synced = on_synced,
			.ctx = heard,
			.newest_only = cases[i].newest_only,
		};
		step_t last = { .kind = STEP_EVENTS, .revision = 100 };
		run_t run = { .c = &cases[i], .store.base.ops = &store_ops };

		print_message("%s\n", run.c->name);
		run.loop = loops[i] = loop_new();
		run.watch = refused_watch =
			fleet_watch_new(run.loop, &run.store.base,
					FLEET_KEYSPACE_OWN, PREFIX, &listener);
		loop_after_iteration(run.loop, play_steps, &run);
		loop_post(run.loop, play_steps, &run);
		loop_run(run.loop);
		assert_string_equal(heard->str, run.c->heard);
		fleet_watch_free(run.watch);
		reply_to_call(&run.store, &last);
		assert_string_equal(heard->str, run.c->heard);
		g_string_free(heard, TRUE);
	}
}

/* What is current, as a full read, events and a lost history follow. */
typedef struct current_step {
	step_t step;
	bool grows; /* what is known is as of a later time than before */
} current_step_t;

static void stop_loop(void *ctx)
{
	loop_stop(ctx);
}

static void test_current_at(void **state)
{
	static const current_step_t steps[] = {
		{ .step = { STEP_PAGE_MORE,
			    10,
			    { { .key = "w/0/a", .revision = 5 } } },
		  .grows = false },
		{ .step = { STEP_PAGE,
			    11,
			    { { .key = "w/0/b", .revision = 6 } } },
		  .grows = true },
		{ .step = { STEP_EVENTS,
			    12,
			    { { .key = "w/0/a", .revision = 12 } } },
		  .grows = true },
		{ .step = { .kind = STEP_EVENTS, .revision = 12 },
		  .grows = true },
		{ .step = { .kind = STEP_COMPACTED, .revision = 0 },
		  .grows = false },
		/* The next page may list what is not known yet. */
		{ .step = { STEP_PAGE_MORE,
			    20,
			    { { .key = "w/0/a", .revision = 12 } } },
		  .grows = false },
		{ .step = { STEP_PAGE,
			    20,
			    { { .key = "w/0/c", .revision = 19 } } },
		  .grows = true },
	};
	static loop_t *loop;
	GString *heard = g_string_new(NULL);
	fleet_watch_listener_t listener = { .item_changed = on_item,
					    .ctx = heard };
	scripted_store_t store = { .base.ops = &store_ops };
	step_t last = { .kind = STEP_EVENTS, .revision = 100 };
	fleet_watch_t *watch;
	gh_time_t known = 0;
	size_t i;

	(void)state;
	loop = loop_new();
	watch = fleet_watch_new(loop, &store.base, FLEET_KEYSPACE_OWN, PREFIX,
				&listener);
	for (i = 0; i < G_N_ELEMENTS(steps); i++) {
		g_usleep(2000);
		/* After a failed call, the loop's timer makes the next one. */
		if (!store.done) {
			loop_after_iteration(loop, stop_loop, loop);
			loop_run(loop);
		}
		assert_non_null(store.done);
		reply_to_call(&store, &steps[i].step);
		assert_int_equal(fleet_watch_current_at(watch) > known,
				 steps[i].grows);
		known = fleet_watch_current_at(watch);
	}
	assert_true(known < clock_boot() - 1000);
	fleet_watch_free(watch);
	reply_to_call(&store, &last);
	g_string_free(heard, TRUE);
}

#define PAUSED_RUN_USEC (400 * GH_USEC_PER_MSEC)

/* A store that has a change for each watch call at once. */
typedef struct busy_store {
	fleet_store_t base;
	loop_t *loop;
	fleet_store_done_t done;
	void *ctx;
	unsigned calls;
} busy_store_t;

static void reply_with_change(void *ctx)
{
	busy_store_t *store = ctx;
	fleet_store_done_t done = store->done;
	fleet_item_t item = { .key = (char *)PREFIX "a",
			      .value = (char *)"value",
			      .revision = 10 + store->calls };
	fleet_reply_t reply = { .result = FLEET_OK,
				.revision = item.revision,
				.items = &item,
				.n_items = 1 };

	store->done = NULL;
	if (done)
		done(store->ctx, &reply);
}

static void busy_range(fleet_store_t *base, fleet_keyspace_t keyspace,
		       const char *prefix, const char *after_key,
		       fleet_store_done_t done, void *ctx)
{
	busy_store_t *store = (busy_store_t *)base;

	(void)keyspace;
	(void)prefix;
	(void)after_key;
	store->calls++;
	store->done = done;
	store->ctx = ctx;
	loop_post(store->loop, reply_with_change, store);
}

static void busy_watch(fleet_store_t *base, fleet_keyspace_t keyspace,
		       const char *prefix, uint64_t after_revision,
		       int64_t wait_ms, fleet_store_done_t done, void *ctx)
{
	(void)after_revision;
	(void)wait_ms;
	busy_range(base, keyspace, prefix, "", done, ctx);
}

static const fleet_store_ops_t busy_ops = { .range = busy_range,
					    .watch = busy_watch };

typedef struct pause_case {
	const char *name;
	int64_t pause_ms, shorter_ms; /* the shorter one is set half-way */
	unsigned calls_min, calls_max;
} pause_case_t;

static const pause_case_t pause_cases[] = {
	{ "no pause", 0, 0, 100, UINT32_MAX },
	{ "a pause", 50, 50, 4, 10 },
	{ "longer than the run", 10000, 10000, 2, 2 },
	{ "shorter from now on", 10000, 20, 5, 13 },
};

typedef struct pause_run {
	const pause_case_t *c;
	loop_t *loop;
	fleet_watch_t *watch;
	loop_timer_t half_way, end;
} pause_run_t;

static void set_shorter_pause(void *ctx, gh_time_t now)
{
	pause_run_t *run = ctx;

	(void)now;
	fleet_watch_set_pause(run->watch, gh_time_from_ms(run->c->shorter_ms));
}

static void end_run(void *ctx, gh_time_t now)
{
	(void)now;
	loop_stop(((pause_run_t *)ctx)->loop);
}

static loop_t *pause_loops[G_N_ELEMENTS(pause_cases)];

/* Changes of some time arrive together instead of with a call each. */
static void test_pause(void **state)
{
	size_t i;

	(void)state;
	for (i = 0; i < G_N_ELEMENTS(pause_cases); i++) {
		const pause_case_t *c = &pause_cases[i];
		GString *heard = g_string_new(NULL);
		fleet_watch_listener_t listener = { .item_changed = on_item,
						    .synced = on_synced,
						    .ctx = heard };
		busy_store_t store = { .base.ops = &busy_ops };
		pause_run_t run = { .c = c };

		run.loop = store.loop = pause_loops[i] = loop_new();
		run.half_way = (loop_timer_t){ .at = clock_boot() +
						     PAUSED_RUN_USEC / 2,
					       .run = set_shorter_pause,
					       .ctx = &run };
		run.end = (loop_timer_t){ .at = clock_boot() + PAUSED_RUN_USEC,
					  .run = end_run,
					  .ctx = &run };
		loop_timer_add(run.loop, &run.half_way);
		loop_timer_add(run.loop, &run.end);
		run.watch =
			fleet_watch_new(run.loop, &store.base,
					FLEET_KEYSPACE_OWN, PREFIX, &listener);
		fleet_watch_set_pause(run.watch, gh_time_from_ms(c->pause_ms));
		loop_run(run.loop);
		print_message("%s: %u calls\n", c->name, store.calls);
		assert_in_range(store.calls, c->calls_min, c->calls_max);
		fleet_watch_free(run.watch);
		reply_with_change(&store);
		g_string_free(heard, TRUE);
	}
}

int main(void)
{
	static const struct CMUnitTest tests[] = {
		cmocka_unit_test(test_late_replies),
		cmocka_unit_test(test_current_at),
		cmocka_unit_test(test_pause),
	};

	return cmocka_run_group_tests(tests, NULL, NULL);
}
