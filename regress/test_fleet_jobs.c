/*
 * Tests of what a host tells the caller of a submission, with a store whose
 * replies are scripted: after "not run" nothing of the job may be written.
 * Also of the text of a shard's load.
 */
#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <stdint.h>

#include <cmocka.h>
#include <string.h>

#include "error.h"
#include "fleet_jobs.h"
#include "sim_loop.h"

#define JOB_ID "e000000000000000"
#define QUEUE "r-q"
#define DEADLINE_USEC (300 * GH_USEC_PER_MSEC)
/* Longer than a request waits before a retry. */
#define STOPPED_USEC (400 * GH_USEC_PER_MSEC)
/* After the deadline and a retry that follows it. */
#define RUN_MS 700
#define LATENCY_USEC GH_USEC_PER_MSEC
#define REPLIES_MAX 4
/* Calls that a request makes in RUN_MS if it pauses between two. */
#define CALLS_MAX 20
#define STATE(phase) phase " " QUEUE " 1 1 0"

/* How the store replies to a call, each call in turn; the last one repeats. */
typedef struct reply {
	fleet_result_t result;
	gh_time_t delay;
	gh_time_t stopped; /* the host stands still for this long after it */
	const char *state; /* the job's state in the reply */
} reply_t;

typedef struct jobs_case {
	const char *name;
	/* The job is submitted again after this many ms; 0: it is not. */
	int64_t repeat_ms;
	reply_t replies[REPLIES_MAX];
	unsigned n;
	int kind;	 /* of the error; -1: accepted */
	int repeat_kind; /* what the caller is told of the repeat */
	bool closed;	 /* the host shuts down after the first reply */
	bool cancels;	 /* the job is cancelled, not submitted */
} jobs_case_t;

typedef struct play {
	fleet_store_t store;
	const jobs_case_t *c;
	loop_t *loop;
	loop_timer_t reply_timer;
	fleet_jobs_t *jobs;
	unsigned n_calls;
	fleet_store_done_t done;
	void *ctx;
	fleet_store_done_t range_done;
	void *range_ctx;
	bool told;
	int kind;
	unsigned late_commits; /* sent after the caller was told */
} play_t;

static const jobs_case_t cases[] = {
	{ .name = "written", .n = 1, .replies = { { FLEET_OK } }, .kind = -1 },
	{ .name = "refused",
	  .n = 1,
	  .replies = { { FLEET_REFUSED } },
	  .kind = GH_E_STORE_DOWN },
	{ .name = "refused once",
	  .n = 2,
	  .replies = { { FLEET_REFUSED }, { FLEET_OK } },
	  .kind = -1 },
	{ .name = "no response, then refused",
	  .n = 2,
	  .replies = { { FLEET_OUTCOME_UNKNOWN }, { FLEET_REFUSED } },
	  .kind = GH_E_STORE_UNKNOWN },
	{ .name = "refused, no response, refused",
	  .n = 3,
	  .replies = { { FLEET_REFUSED },
		       { FLEET_OUTCOME_UNKNOWN },
		       { FLEET_REFUSED } },
	  .kind = GH_E_STORE_UNKNOWN },
	{ .name = "no response, absent, refused",
	  .n = 3,
	  .replies = { { FLEET_OUTCOME_UNKNOWN },
		       { FLEET_NOT_FOUND },
		       { FLEET_REFUSED } },
	  .kind = GH_E_STORE_UNKNOWN },
	{ .name = "no response, but written",
	  .n = 2,
	  .replies = { { FLEET_OUTCOME_UNKNOWN },
		       { FLEET_OK, .state = STATE("running") } },
	  .kind = -1 },
	{ .name = "another copy was written",
	  .n = 1,
	  .replies = { { FLEET_CONFLICT, .state = STATE("queued") } },
	  .kind = -1 },
	{ .name = "the state in its place can't be read",
	  .n = 1,
	  .replies = { { FLEET_CONFLICT, .state = "odd" } },
	  .kind = GH_E_STORE_UNKNOWN },
	{ .name = "in flight at the deadline",
	  .n = 1,
	  .replies = { { FLEET_REFUSED, .delay = STOPPED_USEC } },
	  .kind = GH_E_STORE_UNKNOWN },
	{ .name = "stopped until the deadline before a retry",
	  .n = 2,
	  .replies = { { FLEET_REFUSED, .stopped = STOPPED_USEC },
		       { FLEET_OK } },
	  .kind = GH_E_STORE_UNKNOWN },
	{ .name = "found absent after the deadline",
	  .n = 2,
	  .replies = { { FLEET_OUTCOME_UNKNOWN },
		       { FLEET_NOT_FOUND, .delay = STOPPED_USEC } },
	  .kind = GH_E_STORE_UNKNOWN },
	{ .name = "cancel, the state in its place can't be read",
	  .cancels = true,
	  .n = 2,
	  .replies = { { FLEET_NOT_FOUND },
		       { FLEET_CONFLICT, .state = "odd" } },
	  .kind = GH_E_STORE_UNKNOWN },
	{ .name = "cancel, a conflict that tells nothing",
	  .cancels = true,
	  .n = 2,
	  .replies = { { FLEET_NOT_FOUND }, { FLEET_CONFLICT } },
	  .kind = GH_E_STORE_UNKNOWN },
	{ .name = "accepted, and a repeat is refused",
	  .n = 2,
	  .replies = { { FLEET_OK }, { FLEET_REFUSED } },
	  .kind = -1,
	  .repeat_ms = 100,
	  .repeat_kind = -1 },
	{ .name = "no response, and a repeat is refused",
	  .n = 2,
	  .replies = { { FLEET_OUTCOME_UNKNOWN }, { FLEET_REFUSED } },
	  .kind = GH_E_STORE_UNKNOWN,
	  .repeat_ms = 350,
	  .repeat_kind = GH_E_STORE_UNKNOWN },
	{ .name = "in flight, and a repeat is refused",
	  .n = 2,
	  .replies = { { FLEET_REFUSED, .delay = STOPPED_USEC },
		       { FLEET_REFUSED } },
	  .kind = GH_E_STORE_UNKNOWN,
	  .repeat_ms = 350,
	  .repeat_kind = GH_E_STORE_UNKNOWN },
	{ .name = "no response, and a repeat long after is refused",
	  .n = 2,
	  .replies = { { FLEET_OUTCOME_UNKNOWN }, { FLEET_REFUSED } },
	  .kind = GH_E_STORE_UNKNOWN,
	  .repeat_ms = 20000,
	  .repeat_kind = GH_E_STORE_DOWN },
	{ .name = "refused, and a repeat is refused",
	  .n = 1,
	  .replies = { { FLEET_REFUSED } },
	  .kind = GH_E_STORE_DOWN,
	  .repeat_ms = 350,
	  .repeat_kind = GH_E_STORE_DOWN },
	{ .name = "shut down before a retry",
	  .n = 1,
	  .replies = { { FLEET_REFUSED } },
	  .closed = true,
	  .kind = GH_E_STORE_DOWN },
	{ .name = "shut down while the outcome is unknown",
	  .n = 1,
	  .replies = { { FLEET_OUTCOME_UNKNOWN } },
	  .closed = true,
	  .kind = GH_E_STORE_UNKNOWN },
};

static const reply_t *current_reply(const play_t *play)
{
	return &play->c->replies[MIN(play->n_calls, play->c->n) - 1];
}

static void reply_to_call(void *ctx, gh_time_t now)
{
	play_t *play = ctx;
	const reply_t *script = current_reply(play);
	fleet_item_t item = { .key = (char *)"d/state/" JOB_ID,
			      .value = (char *)script->state,
			      .revision = 7 };
	fleet_reply_t reply = { .result = script->result,
				.revision = 8,
				.items = &item,
				.n_items = script->state ? 1 : 0 };

	(void)now;
	play->done(play->ctx, &reply);
	if (play->c->closed)
		fleet_jobs_close(play->jobs);
	sim_now += script->stopped;
}

static void keep_call(fleet_store_t *base, fleet_store_done_t done, void *ctx)
{
	play_t *play = (play_t *)base;

	play->n_calls++;
	play->done = done;
	play->ctx = ctx;
	play->reply_timer.at =
		clock_boot() + LATENCY_USEC + current_reply(play)->delay;
}

static void store_commit(fleet_store_t *base, const fleet_entry_t *entries,
			 size_t n, fleet_store_done_t done, void *ctx)
{
	(void)entries;
	(void)n;
	((play_t *)base)->late_commits += ((play_t *)base)->told;
	keep_call(base, done, ctx);
}

static void store_get(fleet_store_t *base, fleet_keyspace_t keyspace,
		      const char *key, fleet_store_done_t done, void *ctx)
{
	(void)keyspace;
	(void)key;
	keep_call(base, done, ctx);
}

/* The directory is not read before the end of the play. */
static void store_range(fleet_store_t *base, fleet_keyspace_t keyspace,
			const char *prefix, const char *after,
			fleet_store_done_t done, void *ctx)
{
	play_t *play = (play_t *)base;

	(void)keyspace;
	(void)prefix;
	(void)after;
	play->range_done = done;
	play->range_ctx = ctx;
}

static const fleet_store_ops_t store_ops = { .range = store_range,
					     .get = store_get,
					     .commit = store_commit };

static void on_job_changed(void *ctx, const char *id,
			   const fleet_job_state_t *state)
{
	(void)ctx;
	(void)id;
	(void)state;
}

static void on_told(void *ctx, const GError *err)
{
	play_t *play = ctx;

	play->told = true;
	play->kind = err ? (int)gh_error_kind(err) : -1;
}

static void submit(play_t *play)
{
	gh_pipeline_t pipeline = { .id = JOB_ID,
				   .queue = QUEUE,
				   .service = "svc",
				   .accepted_ms = 1,
				   .payload = (char *)"payload" };

	play->told = false;
	fleet_jobs_submit(play->jobs, &pipeline, 0,
			  clock_boot() + DEADLINE_USEC, on_told, play);
}

static bool play_case(const jobs_case_t *c)
{
	play_t play = { .store.ops = &store_ops, .c = c };
	fleet_jobs_listener_t listener = { .job_changed = on_job_changed };
	bool ok;

	play.loop = loop_new();
	play.reply_timer = (loop_timer_t){ .at = GH_TIME_NEVER,
					   .run = reply_to_call,
					   .ctx = &play };
	loop_timer_add(play.loop, &play.reply_timer);
	play.jobs = fleet_jobs_new(play.loop, &play.store, 1, &listener);
	if (c->cancels)
		fleet_jobs_cancel(play.jobs, JOB_ID, QUEUE,
				  clock_boot() + DEADLINE_USEC, on_told, &play);
	else
		submit(&play);
	sim_loop_run(play.loop, c->repeat_ms ? c->repeat_ms : RUN_MS);
	print_message("%s: told %d, %u calls, %u late commits\n", c->name,
		      play.kind, play.n_calls, play.late_commits);
	ok = play.told && play.kind == c->kind && play.n_calls <= CALLS_MAX;
	if (c->repeat_ms) {
		submit(&play);
		sim_loop_run(play.loop, RUN_MS);
		print_message("the repeat: told %d\n", play.kind);
		ok &= play.told && play.kind == c->repeat_kind;
	}
	fleet_jobs_free(play.jobs);
	play.range_done(play.range_ctx,
			&(fleet_reply_t){ .result = FLEET_REFUSED });
	sim_loop_free(play.loop);
	return ok && (c->cancels || !play.late_commits);
}

/* REFUSED: "not run" was told of a write whose outcome is open or to come. */
static void test_refused_submission_is_not_written(void **state)
{
	size_t n_failed = 0;
	size_t i;

	(void)state;
	for (i = 0; i < G_N_ELEMENTS(cases); i++)
		n_failed += !play_case(&cases[i]);
	assert_int_equal(n_failed, 0);
}

#define ROOM_32 "s:1:1 s:1:1 s:1:1 s:1:1 s:1:1 s:1:1 s:1:1 s:1:1 "
#define LONG_NAME                                              \
	"ssssssssssssssssssssssssssssssssssssssssssssssssssss" \
	"ssssssssssssssssssssssssssssssssssssssssssssssssssss"

#define WAITS_TEXT "h0 8000 64 4000 32 svc:3000:16 @:0:0 @1,7,svc:5:50"

typedef struct load_case {
	const char *text;
	bool ok;
	uint32_t n_rooms;
	const char *service; /* of the first room, with its cores */
	int64_t cores_milli;
} load_case_t;

static const load_case_t load_cases[] = {
	{ "h0 8000 64 4000 32", true, 0, NULL, 0 },
	{ "h0 8000 64 4000 32 ", true, 0, NULL, 0 },
	{ "h0 8000 64 4000 32 svc:3000:16 s2:1:0", true, 2, "svc", 3000 },
	{ "h0 8000 64 4000 32 odd svc:3000:16", true, 1, "svc", 3000 },
	{ "h0 8000 64 4000 32 svc:3000", true, 0, NULL, 0 },
	{ "h0 8000 64 4000 32 svc:3000:16:1", true, 0, NULL, 0 },
	{ "h0 8000 64 4000 32 :3000:16", true, 0, NULL, 0 },
	{ "h0 8000 64 4000 32 svc:-1:16", true, 0, NULL, 0 },
	{ "h0 8000 64 4000 32 svc:1:99999999999999999999", true, 0, NULL, 0 },
	{ "h0 8000 64 4000 32 svc:x:16", true, 0, NULL, 0 },
	{ "h0 8000 64 4000 32 " LONG_NAME ":3000:16", true, 0, NULL, 0 },
	{ "h0 8000 64 4000 32 " ROOM_32 ROOM_32 ROOM_32 ROOM_32 "t:2:2", true,
	  GH_ROOMS_MAX, "s", 1 },
	{ WAITS_TEXT, true, 1, "svc", 3000 },
	{ "h0 8000 64 4000 32 @1,x,svc:5:50 @:0:0 svc:3000:16", true, 2,
	  "@1,x,svc", 5 },
	{ "h0 8000 64 4000 32 " ROOM_32 ROOM_32 ROOM_32 ROOM_32 "@:0:0", true,
	  GH_ROOMS_MAX, "s", 1 },
	{ "h0 8000 64 4000", false, 0, NULL, 0 },
	{ "h1 8000 64 4000 32 svc:3000:16", false, 0, NULL, 0 },
	{ "h00 8000 64 4000 32 svc:3000:16", false, 0, NULL, 0 },
	{ "", false, 0, NULL, 0 },
};

static void test_load_text(void **state)
{
	gh_wait_queue_t queue = { "svc", 1, false };
	gh_shard_load_t load;
	size_t i;
	char *text;

	(void)state;
	for (i = 0; i < G_N_ELEMENTS(load_cases); i++) {
		const load_case_t *c = &load_cases[i];

		print_message("%.60s\n", c->text);
		assert_int_equal(fleet_jobs_load_parse(c->text, "h0", &load),
				 c->ok);
		if (!c->ok)
			continue;
		assert_int_equal(load.total.cores_milli, 8000);
		assert_int_equal(load.long_running.memory_mb, 32);
		assert_int_equal(load.n_rooms, c->n_rooms);
		if (!c->service)
			continue;
		assert_string_equal(load.rooms[0].service, c->service);
		assert_int_equal(load.rooms[0].free.cores_milli,
				 c->cores_milli);
	}
	assert_true(fleet_jobs_load_parse(load_cases[2].text, "h0", &load));
	text = fleet_jobs_load_format("h0", &load);
	assert_string_equal(text, load_cases[2].text);
	g_free(text);
	assert_false(load.waits.told);
	assert_true(fleet_jobs_load_parse(WAITS_TEXT, "h0", &load));
	assert_true(load.waits.told);
	assert_int_equal(gh_waits_ms(&load.waits, &queue), 100000);
	text = fleet_jobs_load_format("h0", &load);
	assert_string_equal(text, WAITS_TEXT);
	g_free(text);
}

int main(void)
{
	static const struct CMUnitTest tests[] = {
		cmocka_unit_test(test_load_text),
		cmocka_unit_test(test_refused_submission_is_not_written),
	};

	return cmocka_run_group_tests(tests, NULL, NULL);
}
