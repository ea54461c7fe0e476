/*
 * Tests of tasks that move between two shards.
 */
#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <stdint.h>

#include <cmocka.h>
#include <string.h>

#include "core_fleet_parts.h"
#include "core_move.h"
#include "fleet_shards.h"

#define JOB_ID "0000000000000001"
#define FILLER_ID "00000000000000f0"
/* Time after which the first task of a full shard is decided and runs. */
#define SETTLE_MS 500
#define MOVE_MS 1000

/* A shard 0 that the filler fills and a shard 1 with workers of this size. */
static void init_full_shard(shards_t *s, uint32_t cores_milli)
{
	shards_init(s);
	add_worker(&s->worlds[0], "a1", 1000);
	add_worker(&s->worlds[1], "b1", cores_milli);
	shards_add_job(s, 0, FILLER_ID, 1, &long_running_step);
	shards_advance(s, SETTLE_MS);
	assert_int_equal(shards_count_runs(s, 0, FILLER_ID), 1);
}

static void test_task_waits_in_full_shard_beside_room(void **state)
{
	shards_t s;

	(void)state;
	init_full_shard(&s, 4000);
	shards_add_job(&s, 0, JOB_ID, 1, &long_running_step);
	shards_advance(&s, MOVE_MS);
	assert_int_equal(shards_count_runs(&s, 1, JOB_ID), 1);
	assert_int_equal(s.n_departures, 1);
	assert_string_equal(g_hash_table_lookup(s.records, "state/" JOB_ID),
			    "running");
	shards_clear(&s);
}

typedef enum trouble {
	RESTART,
	STORE_AWAY,
	REPLY_LATE,
	REPLY_LOST, /* and the owner is replaced */
	MESSAGE_LATE,
	CANCEL,
	CANCEL_HEARD_LATE,
	TROUBLES
} trouble_t;

/* Time in which all steps of the first move are made. */
#define TROUBLE_SPAN_MS 800
#define TROUBLE_STEP_MS 10
#define TROUBLE_MS 300
#define RECOVERY_MS 6000

static void begin_trouble(shards_t *s, trouble_t trouble, uint32_t shard)
{
	world_t *w = &s->worlds[shard];

	w->store_down = trouble == STORE_AWAY;
	w->commit_replies_held = trouble == REPLY_LATE || trouble == REPLY_LOST;
	s->messages_held[shard] = trouble == MESSAGE_LATE;
	s->cancels_held[shard] = trouble == CANCEL_HEARD_LATE;
	if (trouble == RESTART)
		shards_restart(s, shard);
	if (trouble == CANCEL || trouble == CANCEL_HEARD_LATE)
		shards_cancel(s, JOB_ID);
}

static void end_trouble(shards_t *s, trouble_t trouble, uint32_t shard)
{
	world_t *w = &s->worlds[shard];

	w->store_down = w->commit_replies_held = false;
	s->messages_held[shard] = s->cancels_held[shard] = false;
	if (trouble == REPLY_LOST)
		shards_restart(s, shard);
}

/* Returns whether a departure met a job that was cancelled. */
static bool play_trouble(trouble_t trouble, uint32_t shard, int64_t at_ms)
{
	bool cancelled = trouble == CANCEL || trouble == CANCEL_HEARD_LATE;
	bool conflict;
	shards_t s;
	size_t runs;

	init_full_shard(&s, 1000);
	shards_add_job(&s, 0, JOB_ID, 1, &long_running_step);
	shards_advance(&s, at_ms);
	begin_trouble(&s, trouble, shard);
	shards_advance(&s, TROUBLE_MS);
	end_trouble(&s, trouble, shard);
	shards_advance(&s, RECOVERY_MS);
	runs = shards_count_runs(&s, 0, JOB_ID) +
	       shards_count_runs(&s, 1, JOB_ID);
	if (runs != (cancelled ? 0 : 1) ||
	    shards_count_runs(&s, 0, FILLER_ID) != 1 ||
	    (cancelled && shards_count_records(&s, JOB_ID)))
		fail_msg("trouble %d of shard %u at %d ms: %zu runs, %zu "
			 "records",
			 trouble, shard, (int)at_ms, runs,
			 shards_count_records(&s, JOB_ID));
	conflict = s.uncommitted_move;
	shards_clear(&s);
	return conflict;
}

static void test_trouble_at_a_step_loses_task(void **state)
{
	bool conflict = false;
	trouble_t trouble;
	uint32_t shard;
	int64_t at_ms;

	(void)state;
	for (trouble = 0; trouble < TROUBLES; trouble++)
		for (shard = 0; shard < SHARDS; shard++)
			for (at_ms = 0; at_ms <= TROUBLE_SPAN_MS;
			     at_ms += TROUBLE_STEP_MS)
				conflict |= play_trouble(trouble, shard, at_ms);
	assert_true(conflict);
}

/* A task that must not move, or not in this time. */
typedef struct stay_case {
	const char *name;
	gh_step_t step;	    /* its size is added to long_running_step's */
	const char *record; /* NULL: none */
	uint32_t room_milli;
	bool is_short;
	bool loads_held;
	bool moves; /* after all */
} stay_case_t;

static const stay_case_t stay_cases[] = {
	{ .name = "long-running", .room_milli = 1000, .moves = true },
	{ .name = "short", .room_milli = 1000, .is_short = true },
	{ .name = "gang", .room_milli = 1000, .step.gang = true },
	{ .name = "label", .room_milli = 1000, .step.label = "x" },
	{ .name = "accelerator",
	  .room_milli = 1000,
	  .step.size.accelerators = 1 },
	{ .name = "room too small", .room_milli = 900 },
	{ .name = "memory too small",
	  .room_milli = 1000,
	  .step.size.memory_mb = 100001 },
	{ .name = "loads unknown", .room_milli = 1000, .loads_held = true },
	{ .name = "crash",
	  .room_milli = 1000,
	  .record = "progress1\n0 open 0 1 - crashes:1:0:0\n" },
	{ .name = "lost start",
	  .room_milli = 1000,
	  .record = "progress1\n0 open 0 1 - crashes:0:0:1\n" },
	{ .name = "seven moves",
	  .room_milli = 1000,
	  .record = "progress1\n0 open 0 1 - moves:7\n" },
	{ .name = "one move",
	  .room_milli = 1000,
	  .record = "progress1\n0 open 0 1 - moves:1\n",
	  .moves = true },
	{ .name = "failed before",
	  .room_milli = 1000,
	  .record = "progress1\n0 open 3 5 -\n",
	  .moves = true },
};

static void test_which_tasks_move(void **state)
{
	size_t i;

	(void)state;
	for (i = 0; i < G_N_ELEMENTS(stay_cases); i++) {
		const stay_case_t *c = &stay_cases[i];
		gh_step_t step = c->step;
		shards_t s;

		step.tasks = 1;
		step.size.cores_milli = 1000;
		step.estimate_ms = 1000;
		step.long_running = !c->is_short;
		init_full_shard(&s, c->room_milli);
		s.loads_held = c->loads_held;
		if (s.loads_held)
			gh_fleet_peer_set(s.worlds[0].fleet, 1, NULL,
					  s.worlds[0].now);
		shards_add_job(&s, 0, JOB_ID, 1, &step);
		if (c->record) {
			g_hash_table_replace(s.records,
					     g_strdup("0/progress/" JOB_ID),
					     g_strdup(c->record));
			shards_restart(&s, 0);
		}
		shards_advance(&s, 5000);
		if (s.n_departures != c->moves)
			fail_msg("%s: %zu moves", c->name, s.n_departures);
		shards_clear(&s);
	}
}

static void test_mixed_job_moves(void **state)
{
	gh_step_t steps[2] = { long_running_step, one_task };
	shards_t s;

	(void)state;
	init_full_shard(&s, 4000);
	shards_add_job(&s, 0, JOB_ID, 2, steps);
	shards_advance(&s, 5000);
	assert_int_equal(s.n_departures, 0);
	shards_clear(&s);
}

/* Both shards are full and each is told that the other has a room. */
static void test_full_shards_pass_task_to_and_fro(void **state)
{
	static const gh_shard_load_t rooms = {
		.total = { 1000, 1000 },
		.rooms = { { .service = "svc", .free = { 1000, 1000 } } },
		.n_rooms = 1,
	};
	shards_t s;

	(void)state;
	init_full_shard(&s, 1000);
	shards_add_job(&s, 1, LONG_RUNNING_JOB_ID, 1, &long_running_step);
	shards_advance(&s, SETTLE_MS);
	shards_add_job(&s, 0, JOB_ID, 1, &long_running_step);
	shards_advance(&s, 60000);
	assert_int_equal(s.n_departures, 0);
	s.told[0] = s.told[1] = &rooms;
	shards_advance(&s, 60000);
	/* After 0.5, 1, 2 and 4 s, and then every 8 s or later. */
	assert_in_range(s.n_departures, 5, 11);
	shards_cancel(&s, FILLER_ID);
	s.told[0] = s.told[1] = NULL;
	shards_advance(&s, 10000);
	assert_int_equal(shards_count_runs(&s, 0, JOB_ID), 1);
	shards_cancel(&s, JOB_ID);
	shards_advance(&s, 1000);
	assert_int_equal(shards_count_records(&s, JOB_ID), 0);
	shards_clear(&s);
}

static void test_many_tasks_move_at_once(void **state)
{
	gh_step_t step = long_running_step;
	gh_fleet_counts_t counts;
	shards_t s;

	(void)state;
	step.tasks = 20;
	init_full_shard(&s, 12000);
	add_worker(&s.worlds[1], "b2", 8000);
	shards_advance(&s, SETTLE_MS);
	shards_add_job(&s, 0, JOB_ID, 1, &step);
	shards_advance(&s, MOVE_MS);
	assert_int_equal(shards_count_runs(&s, 1, JOB_ID), 20);
	gh_fleet_counts(s.worlds[0].fleet, &counts);
	assert_int_equal(counts.departed, 20);
	gh_fleet_counts(s.worlds[1].fleet, &counts);
	assert_int_equal(counts.arrived, 20);
	shards_restart(&s, 0);
	shards_restart(&s, 1);
	shards_advance(&s, 8000);
	assert_int_equal(shards_count_runs(&s, 1, JOB_ID), 20);
	shards_cancel(&s, JOB_ID);
	shards_advance(&s, 2000);
	assert_int_equal(shards_count_runs(&s, 1, JOB_ID), 0);
	assert_int_equal(shards_count_records(&s, JOB_ID), 0);
	shards_clear(&s);
}

/* More tasks than rooms: the others stay until there is one. */
static void test_more_tasks_leave_than_fit(void **state)
{
	gh_step_t step = long_running_step;
	shards_t s;

	(void)state;
	step.tasks = 9;
	init_full_shard(&s, 4000);
	shards_add_job(&s, 0, JOB_ID, 1, &step);
	shards_advance(&s, 30000);
	assert_int_equal(s.n_departures, 4);
	shards_clear(&s);
}

static char last_checkpoint[GH_CHECKPOINT_NAME_MAX + 1];
static uint32_t last_started;

static void note_start(world_t *w, scripted_worker_t *worker,
		       const gh_order_t *order)
{
	(void)w;
	(void)worker;
	g_strlcpy(last_checkpoint, order->checkpoint ? order->checkpoint : "",
		  sizeof(last_checkpoint));
	last_started = order->run;
}

static void test_move_forgets_checkpoint_or_run(void **state)
{
	gh_step_t step = long_running_step;
	scripted_worker_t *a1;
	shards_t s;

	(void)state;
	step.checkpoints = true;
	shards_init(&s);
	a1 = add_worker(&s.worlds[0], "a1", 1000);
	add_worker(&s.worlds[1], "b1", 1000);
	s.worlds[1].on_start = note_start;
	shards_add_job(&s, 0, JOB_ID, 1, &step);
	shards_advance(&s, SETTLE_MS);
	assert_int_equal(a1->n_runs, 1);
	g_strlcpy(a1->runs[0].checkpoint, "a b%1",
		  sizeof(a1->runs[0].checkpoint));
	shards_advance(&s, SETTLE_MS);
	list_worker(&s.worlds[0], a1, true);
	shards_advance(&s, 2000);
	assert_int_equal(shards_count_runs(&s, 1, JOB_ID), 1);
	assert_string_equal(last_checkpoint, "a b%1");
	assert_int_equal(last_started, 2);
	shards_clear(&s);
}

/* The former shard's worker lists a run of a task that has moved. */
static void test_run_at_former_shard_is_taken_for_the_task(void **state)
{
	scripted_worker_t *a1;
	shards_t s;
	size_t n;

	(void)state;
	init_full_shard(&s, 1000);
	shards_add_job(&s, 0, JOB_ID, 1, &long_running_step);
	shards_advance(&s, MOVE_MS);
	assert_int_equal(shards_count_runs(&s, 1, JOB_ID), 1);
	a1 = find_worker(&s.worlds[0], "a1");
	a1->runs[a1->n_runs] = s.worlds[1].workers[0].runs[0];
	/* Its id can't be told from the other's by the check of runs. */
	a1->runs[a1->n_runs++].task.index = 0;
	n = count_orders(&s.worlds[0], GH_ORDER_STOP, 0);
	advance_time(&s.worlds[0], 1000);
	assert_true(count_orders(&s.worlds[0], GH_ORDER_STOP, 0) > n);
	assert_int_equal(shards_count_runs(&s, 0, JOB_ID), 0);
	shards_advance(&s, 2000);
	assert_int_equal(shards_count_runs(&s, 1, JOB_ID), 1);
	assert_non_null(strstr(shards_progress(&s, 0, JOB_ID), "0 away"));
	shards_clear(&s);
}

static gh_task_move_t describe(uint32_t moves)
{
	return (gh_task_move_t){
		.task.job = JOB_ID, .from = 1, .last_run = 9, .moves = moves
	};
}

/* Messages that the store shows again, or that name a task that is here. */
static void test_stale_message_starts_task_again(void **state)
{
	gh_task_move_t stale = describe(1);
	gh_fleet_counts_t counts;
	shards_t s;

	(void)state;
	init_full_shard(&s, 1000);
	assert_false(gh_fleet_task_arrive(s.worlds[0].fleet, &stale,
					  s.worlds[0].now));
	shards_add_job(&s, 0, JOB_ID, 1, &long_running_step);
	/* It is here: nothing but that the message is deleted. */
	g_hash_table_replace(s.records, g_strdup("0/moved/" JOB_ID "/0"),
			     g_strdup("stale"));
	assert_true(gh_fleet_task_arrive(s.worlds[0].fleet, &stale,
					 s.worlds[0].now));
	advance_time(&s.worlds[0], STEP_USEC / MS);
	assert_null(shards_message(&s, 0, JOB_ID, 0));
	shards_advance(&s, MOVE_MS);
	assert_int_equal(shards_count_runs(&s, 1, JOB_ID), 1);
	/* It is away: a later message may stand there. */
	assert_true(gh_fleet_task_arrive(s.worlds[0].fleet, &stale,
					 s.worlds[0].now));
	shards_restart(&s, 0);
	assert_true(gh_fleet_task_arrive(s.worlds[0].fleet, &stale,
					 s.worlds[0].now));
	shards_advance(&s, 3000);
	gh_fleet_counts(s.worlds[0].fleet, &counts);
	assert_int_equal(counts.arrived, 0);
	assert_int_equal(shards_count_runs(&s, 1, JOB_ID), 1);
	shards_clear(&s);
}

/* The other shard sends the task back before the commit's reply is here. */
static void test_task_comes_back_before_reply(void **state)
{
	gh_task_move_t back = describe(2);
	shards_t s;

	(void)state;
	init_full_shard(&s, 1000);
	s.messages_held[1] = true;
	shards_add_job(&s, 0, JOB_ID, 1, &long_running_step);
	s.worlds[0].commit_replies_held = true;
	shards_advance(&s, MOVE_MS);
	assert_int_equal(s.n_departures, 1);
	g_hash_table_remove(s.records, "1/moved/" JOB_ID "/0");
	assert_true(gh_fleet_task_arrive(s.worlds[0].fleet, &back,
					 s.worlds[0].now));
	gh_fleet_job_cancel(s.worlds[0].fleet, FILLER_ID, s.worlds[0].now);
	s.worlds[0].commit_replies_held = false;
	advance_time(&s.worlds[0], 3000);
	assert_int_equal(shards_count_runs(&s, 0, JOB_ID), 1);
	shards_clear(&s);
}

/* A guest's run that fails or crashes its worker does not end the job. */
static void test_guest_ends_job(void **state)
{
	scripted_worker_t *b1;
	shards_t s;
	uint32_t i;

	(void)state;
	init_full_shard(&s, 1000);
	shards_add_job(&s, 0, JOB_ID, 1, &long_running_step);
	shards_advance(&s, MOVE_MS);
	b1 = &s.worlds[1].workers[0];
	for (i = 0; i < 6; i++) {
		assert_int_equal(b1->n_runs, 1);
		if (i % 2)
			end_run(b1, 0, GH_RUN_FAILED);
		else
			restart_worker(b1);
		list_worker(&s.worlds[1], b1, false);
		shards_advance(&s, 20000);
	}
	assert_int_equal(b1->n_runs, 1);
	assert_int_equal(s.worlds[1].failed->len, 0);
	shards_clear(&s);
}

/* Crashes the worker as soon as it has started a run. */
static void crash_worker(world_t *w, scripted_worker_t *worker,
			 const gh_order_t *order)
{
	(void)order;
	(void)w;
	restart_worker(worker);
}

/* A task that crashes its worker would end its job at home. */
static void test_guest_crashes_workers_for_ever(void **state)
{
	shards_t s;
	size_t i;

	(void)state;
	init_full_shard(&s, 1000);
	s.worlds[1].on_start = crash_worker;
	shards_add_job(&s, 0, JOB_ID, 1, &long_running_step);
	for (i = 0; i < 60; i++) {
		shards_advance(&s, 1000);
		list_worker(&s.worlds[1], &s.worlds[1].workers[0], false);
	}
	assert_in_range(count_orders(&s.worlds[1], GH_ORDER_START, 0), 2, 10);
	shards_clear(&s);
}

static void test_wait_tells_of_rooms_elsewhere(void **state)
{
	gh_step_t step = long_running_step;
	shards_t s;

	(void)state;
	init_full_shard(&s, 4000);
	step.label[0] = 'x';
	shards_add_job(&s, 0, JOB_ID, 1, &step);
	shards_advance(&s, 4000);
	assert_non_null(s.worlds[0].waiting);
	assert_non_null(strstr(s.worlds[0].waiting, ", elsewhere 1 rooms as "));
	set_worker_size(&s.worlds[1], &s.worlds[1].workers[0],
			&(gh_resources_t){ 900, 1000, 0 });
	shards_advance(&s, 4000);
	assert_non_null(strstr(s.worlds[0].waiting, ", elsewhere none as of "));
	s.loads_held = true;
	shards_advance(&s, 8000);
	assert_non_null(strstr(s.worlds[0].waiting, ", elsewhere unknown"));
	shards_clear(&s);
}

/* Rooms of a shard with workers of some sizes. */
static void test_rooms_in_load(void **state)
{
	gh_step_t steps[2] = { long_running_step, one_task };
	gh_shard_load_t load;
	world_t w;

	(void)state;
	world_init_shard(&w, 0, 2);
	add_worker(&w, "w1", 4000);
	add_worker(&w, "w2", 2000);
	add_worker(&w, "w3", 400);
	add_worker(&w, "w4", 9000);
	gh_fleet_load(w.fleet, &load, w.now);
	assert_int_equal(load.n_rooms, 0);
	list_worker(&w, find_worker(&w, "w4"), true);
	steps[0].size.memory_mb = 50000;
	steps[1].tasks = 2;
	add_job(&w, JOB_ID, 2, steps, NULL);
	advance_time(&w, 500);
	gh_fleet_load(w.fleet, &load, w.now);
	/* Short tasks don't count, nor w3 and w4. */
	assert_int_equal(load.n_rooms, 2);
	assert_string_equal(load.rooms[0].service, "svc");
	assert_int_equal(load.rooms[0].free.cores_milli +
				 load.rooms[1].free.cores_milli,
			 5000);
	assert_int_equal(load.rooms[0].free.memory_mb +
				 load.rooms[1].free.memory_mb,
			 150000);
	assert_true(load.rooms[0].free.cores_milli >=
		    load.rooms[1].free.cores_milli);
	/* A task that waits here has the first right to a room. */
	steps[1].size.cores_milli = 4000;
	steps[1].estimate_ms = 100000;
	add_job(&w, "0000000000000002", 1, &steps[1], NULL);
	steps[0].size.cores_milli = 3000;
	add_job(&w, "0000000000000003", 1, steps, NULL);
	advance_time(&w, 300);
	gh_fleet_load(w.fleet, &load, w.now);
	assert_true(load.n_rooms <= 2);
	assert_true(!load.n_rooms || load.rooms[0].free.cores_milli < 3000);
	world_clear(&w);
}

/* A stage that waits for a label, or for more workers, can't use the room. */
static void test_room_is_kept_for_task_that_cannot_use_it(void **state)
{
	static const gh_step_t steps[] = {
		{ .tasks = 2, .label = "x" },
		{ .tasks = 3, .max_per_worker = 1 },
		{ .tasks = 1, .size.accelerators = 1 },
	};
	size_t i;

	(void)state;
	for (i = 0; i < G_N_ELEMENTS(steps); i++) {
		gh_step_t step = steps[i];
		shards_t s;

		step.long_running = true;
		step.size.cores_milli = 1000;
		init_full_shard(&s, 2000);
		shards_add_job(&s, 1, "0000000000000002", 1, &step);
		shards_advance(&s, 300);
		shards_add_job(&s, 0, JOB_ID, 1, &long_running_step);
		shards_advance(&s, 1500);
		if (shards_count_runs(&s, 1, JOB_ID) != 1)
			fail_msg("step %zu", i);
		shards_clear(&s);
	}
}

/* What was sent is forgotten once the load tells of it, also by its last write.
 */
static void test_room_is_counted_as_taken_twice(void **state)
{
	shards_t s;

	(void)state;
	init_full_shard(&s, 2000);
	shards_add_job(&s, 0, JOB_ID, 1, &long_running_step);
	shards_advance(&s, MOVE_MS);
	assert_int_equal(shards_count_runs(&s, 1, JOB_ID), 1);
	shards_advance(&s, 1000);
	shards_add_job(&s, 0, "0000000000000002", 1, &long_running_step);
	shards_advance(&s, MOVE_MS);
	assert_int_equal(shards_count_runs(&s, 1, "0000000000000002"), 1);
	shards_clear(&s);
}

/* The other shard's large worker is in quarantine for a minute. */
static void test_task_waits_beside_worker_in_quarantine(void **state)
{
	shards_t s;

	(void)state;
	init_full_shard(&s, 1000);
	add_worker(&s.worlds[1], "b2", 900);
	fleet_worker(s.worlds[1].fleet, 0)->quarantined_until =
		s.worlds[1].now + 60000 * MS;
	shards_advance(&s, SETTLE_MS);
	shards_add_job(&s, 0, JOB_ID, 1, &long_running_step);
	shards_advance(&s, 4000);
	assert_int_equal(shards_count_runs(&s, 1, JOB_ID), 1);
	assert_int_equal(s.n_departures, 1);
	shards_clear(&s);
}

/* Half a second in the full shard counts among the 2 s before quarantine. */
static void test_wait_begins_anew_with_move(void **state)
{
	shards_t s;

	(void)state;
	init_full_shard(&s, 1000);
	fleet_worker(s.worlds[1].fleet, 0)->quarantined_until =
		s.worlds[1].now + 60000 * MS;
	shards_advance(&s, SETTLE_MS);
	shards_add_job(&s, 0, JOB_ID, 1, &long_running_step);
	shards_advance(&s, 2200);
	assert_int_equal(shards_count_runs(&s, 1, JOB_ID), 1);
	shards_clear(&s);
}

static const char *const bad_records[] = {
	"progress1\n0 away 0 1 -\n",
	"progress1\n0 away 0 1 - moves:0\n",
	"progress1\n0 away 0 1 - moves:\n",
	"progress1\n0 away 0 1 - moves:-1\n",
	"progress1\n0 away 0 1 - moves:4294967296\n",
	"progress1\n0 away 0 1 - moves:1 1@w1\n",
	"progress1\n0 away 0 0 - moves:1\n",
	"progress1\n0 open 0 1 - moves:1 crashes:1:0:0\n",
	"progress1\n0 gone 0 1 - moves:1\n",
	"progress1\n1 away 0 1 - moves:1\n",
};

static void test_bad_record_of_guest_starts_task(void **state)
{
	size_t i;

	(void)state;
	for (i = 0; i < G_N_ELEMENTS(bad_records); i++) {
		GError *err = NULL;
		world_t w;

		world_init_shard(&w, 0, 2);
		add_worker(&w, "w1", 4000);
		assert_false(gh_fleet_guest_add(
			w.fleet, make_job(JOB_ID, 1, &long_running_step),
			bad_records[i], &err));
		assert_non_null(err);
		g_clear_error(&err);
		assert_true(gh_fleet_task_arrive(
			w.fleet,
			&(gh_task_move_t){ .task.job = JOB_ID, .moves = 9 },
			w.now));
		advance_time(&w, 1000);
		if (count_orders(&w, GH_ORDER_START, 0) || w.progress)
			fail_msg("%s", bad_records[i]);
		gh_fleet_job_cancel(w.fleet, JOB_ID, w.now);
		advance_time(&w, 100);
		assert_false(gh_fleet_has_job(w.fleet, JOB_ID));
		world_clear(&w);
	}
}

int main(void)
{
	const struct CMUnitTest tests[] = {
		cmocka_unit_test(test_task_waits_in_full_shard_beside_room),
		cmocka_unit_test(test_trouble_at_a_step_loses_task),
		cmocka_unit_test(test_which_tasks_move),
		cmocka_unit_test(test_mixed_job_moves),
		cmocka_unit_test(test_full_shards_pass_task_to_and_fro),
		cmocka_unit_test(test_many_tasks_move_at_once),
		cmocka_unit_test(test_more_tasks_leave_than_fit),
		cmocka_unit_test(test_move_forgets_checkpoint_or_run),
		cmocka_unit_test(
			test_run_at_former_shard_is_taken_for_the_task),
		cmocka_unit_test(test_stale_message_starts_task_again),
		cmocka_unit_test(test_task_comes_back_before_reply),
		cmocka_unit_test(test_guest_ends_job),
		cmocka_unit_test(test_guest_crashes_workers_for_ever),
		cmocka_unit_test(test_wait_tells_of_rooms_elsewhere),
		cmocka_unit_test(test_rooms_in_load),
		cmocka_unit_test(test_room_is_kept_for_task_that_cannot_use_it),
		cmocka_unit_test(test_room_is_counted_as_taken_twice),
		cmocka_unit_test(test_task_waits_beside_worker_in_quarantine),
		cmocka_unit_test(test_wait_begins_anew_with_move),
		cmocka_unit_test(test_bad_record_of_guest_starts_task),
	};

	return cmocka_run_group_tests(tests, NULL, NULL);
}
