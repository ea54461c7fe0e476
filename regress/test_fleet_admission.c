/*
 * Tests of submissions that are refused at the door, against a store that
 * replies from a script: what callers are told, and what is written.
 */
#include "sim_loop.h"

#include <string.h>

#include "error.h"
#include "fleet_admission.h"

#define JOB_ID "0000000000000000"
#define QUEUE "q"
#define REPLY_USEC (10 * GH_USEC_PER_MSEC)
/* A write has so much of the deadline left at least. */
#define WRITE_USEC (400 * GH_USEC_PER_MSEC)
#define CALLS_MAX 64
#define LOAD "h0 100000 100 0 0"
#define WAITS " @:0:0 @1,0,svc:100000:100000"

typedef struct door_case {
	const char *name;
	const char *load;  /* of the shard */
	const char *owner; /* NULL: it is lost */
	const char *state; /* of the job in the store; NULL: none */
	int64_t silent_ms; /* the store was last heard so long ago */
	int64_t limit_milli;
	int kind;	     /* error told to the caller; -1: accepted */
	bool state_is_known; /* the directory has it */
	bool get_fails;
	bool written;
	bool repeats; /* another submission of it is written meanwhile */
	uint64_t memory_max;
	const char *other_state; /* of another job, in the directory */
} door_case_t;

static const door_case_t cases[] = {
	{ "nothing waits", LOAD " @:0:0", "h0", NULL, 0, 3000, -1, false, false,
	  true, false, 0, NULL },
	{ "hopeless", LOAD WAITS, "h0", NULL, 0, 3000, GH_E_DEADLINE_INFEASIBLE,
	  false, false, false, false, 0, NULL },
	{ "switched off", LOAD WAITS, "h0", NULL, 0, 0, -1, false, false, true,
	  false, 0, NULL },
	{ "accepted elsewhere, the reply was lost", LOAD WAITS, "h0",
	  "queued q 1 1 0", 0, 3000, -1, false, false, false, false, 0, NULL },
	{ "accepted before", LOAD WAITS, "h0", "queued q 1 1 0", 0, 3000, -1,
	  true, false, false, false, 0, NULL },
	{ "an owner lost", LOAD WAITS, NULL, NULL, 0, 3000, -1, false, false,
	  true, false, 0, NULL },
	{ "another owner", LOAD WAITS, "h1", NULL, 0, 3000, -1, false, false,
	  true, false, 0, NULL },
	{ "a load of a former version", LOAD " svc:1000:1", "h0", NULL, 0, 3000,
	  -1, false, false, true, false, 0, NULL },
	{ "the store away for long", LOAD WAITS, "h0", NULL, 4000, 3000, -1,
	  false, false, true, false, 0, NULL },
	{ "the store gives no reply", LOAD WAITS, "h0", NULL, 0, 3000, -1,
	  false, true, true, false, 0, NULL },
	{ "a repeat is being written", LOAD WAITS, "h0", NULL, 0, 3000, -1,
	  false, false, true, true, 0, NULL },
	{ "no memory", LOAD " @:0:0", "h0", NULL, 0, 0, GH_E_JOB_TABLE_FULL,
	  false, false, false, false, 2000, NULL },
	{ "memory that others take", LOAD " @:0:0", "h0", NULL, 0, 3000,
	  GH_E_JOB_TABLE_FULL, false, false, false, false, 6000,
	  "running q 1 1 0 5000" },
	{ "memory that others took", LOAD " @:0:0", "h0", NULL, 0, 3000, -1,
	  false, false, true, false, 6000, "completed q 1 1 0 5000" },
	{ "no memory, accepted elsewhere", LOAD " @:0:0", "h0",
	  "queued q 1 1 0", 0, 0, -1, false, false, false, false, 2000, NULL },
	{ "no memory, the store gives no reply", LOAD " @:0:0", "h0", NULL, 0,
	  0, -1, false, true, true, false, 2000, NULL },
};

typedef struct call {
	fleet_store_done_t done;
	void *ctx;
	fleet_result_t result;
	fleet_item_t items[3];
	size_t n;
} call_t;

typedef struct play {
	fleet_store_t store; /* must be first */
	const door_case_t *c;
	call_t calls[CALLS_MAX];
	size_t n_calls, n_replied;
	call_t watches[CALLS_MAX]; /* without a reply to the end */
	size_t n_watches;
	loop_timer_t timer;
	bool written, told;
	gh_time_t written_at;
	int kind;
} play_t;

static call_t *keep_call(fleet_store_t *base, fleet_store_done_t done,
			 void *ctx)
{
	play_t *play = (play_t *)base;
	call_t *call = &play->calls[play->n_calls++];

	assert_true(play->n_calls <= CALLS_MAX);
	*call = (call_t){ .done = done, .ctx = ctx };
	play->timer.at = clock_boot() + REPLY_USEC;
	return call;
}

static void add_item(call_t *call, const char *key, const char *value)
{
	call->items[call->n++] = (fleet_item_t){ .key = (char *)key,
						 .value = (char *)value,
						 .revision = 1 };
}

static void reply(void *ctx, gh_time_t now)
{
	play_t *play = ctx;
	size_t until = play->n_calls;

	play->timer.at = GH_TIME_NEVER;
	while (play->n_replied < until) {
		call_t *call = &play->calls[play->n_replied++];
		fleet_reply_t r = { .result = call->result,
				    .revision = 1,
				    .items = call->items,
				    .n_items = call->n,
				    .arrived_at = now };

		call->done(call->ctx, &r);
	}
}

static void store_range(fleet_store_t *base, fleet_keyspace_t keyspace,
			const char *prefix, const char *after,
			fleet_store_done_t done, void *ctx)
{
	const door_case_t *c = ((play_t *)base)->c;
	call_t *call = keep_call(base, done, ctx);

	(void)keyspace;
	(void)after;
	if (!strcmp(prefix, "d/")) {
		add_item(call, "d/load/0", c->load);
		if (c->state_is_known)
			add_item(call, "d/state/" JOB_ID, c->state);
		if (c->other_state)
			add_item(call, "d/state/other", c->other_state);
	}
	if (c->owner)
		add_item(call, "d/own/0", c->owner);
}

/* Nothing changes, and the store is not heard any more. */
static void store_watch(fleet_store_t *base, fleet_keyspace_t keyspace,
			const char *prefix, uint64_t after, int64_t wait_ms,
			fleet_store_done_t done, void *ctx)
{
	play_t *play = (play_t *)base;

	(void)keyspace;
	(void)prefix;
	(void)after;
	(void)wait_ms;
	assert_true(play->n_watches < CALLS_MAX);
	play->watches[play->n_watches++] = (call_t){ .done = done, .ctx = ctx };
}

static void store_get(fleet_store_t *base, fleet_keyspace_t keyspace,
		      const char *key, fleet_store_done_t done, void *ctx)
{
	const door_case_t *c = ((play_t *)base)->c;
	call_t *call = keep_call(base, done, ctx);

	(void)keyspace;
	(void)key;
	if (c->get_fails)
		call->result = FLEET_OUTCOME_UNKNOWN;
	else if (c->state)
		add_item(call, "d/state/" JOB_ID, c->state);
	else
		call->result = FLEET_NOT_FOUND;
}

static void store_commit(fleet_store_t *base, const fleet_entry_t *entries,
			 size_t n, fleet_store_done_t done, void *ctx)
{
	(void)entries;
	(void)n;
	((play_t *)base)->written = true;
	((play_t *)base)->written_at = clock_boot();
	keep_call(base, done, ctx);
}

static const fleet_store_ops_t store_ops = { .range = store_range,
					     .watch = store_watch,
					     .get = store_get,
					     .commit = store_commit };

static void on_job_changed(void *ctx, const char *id,
			   const fleet_job_state_t *state)
{
	(void)ctx;
	(void)id;
	(void)state;
}

static void on_owner_changed(void *ctx, uint32_t shard, const char *owner)
{
	(void)ctx;
	(void)shard;
	(void)owner;
}

static void on_synced(void *ctx)
{
	(void)ctx;
}

static void on_told(void *ctx, const GError *err)
{
	play_t *play = ctx;

	assert_false(play->told);
	play->told = true;
	play->kind = err ? (int)gh_error_kind(err) : -1;
}

static void on_repeat_told(void *ctx, const GError *err)
{
	(void)ctx;
	(void)err;
}

static bool play_case(const door_case_t *c)
{
	static const gh_queue_policy_t policy = { .priority = 1,
						  .stretch_milli = 2000,
						  .target_ms = 1000 };
	gh_step_t step = { .tasks = 1,
			   .size = { .cores_milli = 1000 },
			   .estimate_ms = 1000 };
	gh_pipeline_t job = { .id = JOB_ID,
			      .queue = QUEUE,
			      .service = "svc",
			      .accepted_ms = 1,
			      .n_steps = 1,
			      .steps = &step,
			      .payload = (char *)"payload" };
	play_t play = { .store.ops = &store_ops, .c = c };
	fleet_jobs_listener_t listener = { .job_changed = on_job_changed,
					   .owner_changed = on_owner_changed,
					   .synced = on_synced };
	fleet_submission_t submission = { .job = &job,
					  .policy = &policy,
					  .limit_milli = c->limit_milli,
					  .memory_max = c->memory_max,
					  .done = on_told,
					  .ctx = &play };
	loop_t *loop = loop_new();
	size_t i;
	bool ok;

	play.timer = (loop_timer_t){ .at = GH_TIME_NEVER,
				     .run = reply,
				     .ctx = &play };
	loop_timer_add(loop, &play.timer);
	submission.jobs = fleet_jobs_new(loop, &play.store, 1, &listener);
	sim_loop_run(loop, 100 + c->silent_ms);
	submission.deadline = clock_boot() + GH_USEC_PER_SEC;
	fleet_admission_submit(&submission);
	if (c->repeats)
		fleet_jobs_submit(submission.jobs, &job, policy.priority,
				  submission.deadline, on_repeat_told, NULL);
	sim_loop_run(loop, 1500);
	print_message("%s: told %d, written %d, retry after %d ms\n", c->name,
		      play.kind, play.written, (int)submission.retry_after_ms);
	ok = play.told && play.kind == c->kind && play.written == c->written &&
	     play.written_at < submission.deadline - WRITE_USEC &&
	     (c->kind < 0 || submission.retry_after_ms > 0);
	fleet_jobs_free(submission.jobs);
	for (i = 0; i < play.n_watches; i++)
		play.watches[i].done(
			play.watches[i].ctx,
			&(fleet_reply_t){ .result = FLEET_REFUSED });
	sim_loop_free(loop);
	return ok;
}

static void test_door(void **state)
{
	size_t n_failed = 0;
	size_t i;

	(void)state;
	for (i = 0; i < G_N_ELEMENTS(cases); i++)
		n_failed += !play_case(&cases[i]);
	assert_int_equal(n_failed, 0);
}

int main(void)
{
	static const struct CMUnitTest tests[] = {
		cmocka_unit_test(test_door),
	};

	return cmocka_run_group_tests(tests, NULL, NULL);
}
