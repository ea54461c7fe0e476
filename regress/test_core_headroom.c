/*
 * Tests of the capacity that is left free for urgent tasks: the figures, and
 * what urgent callers get beside patient work and beside new long-running
 * tasks that would fill all workers.
 */
#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <stdint.h>

#include <cmocka.h>
#include <inttypes.h>
#include <string.h>

#include "core_headroom.h"
#include "fleet_world.h"

#define WORKERS 6
#define CORES_MILLI 16000 /* of a worker */
#define URGENT_CORES_MILLI 4000
#define URGENT_RUN_MS 300
#define PATIENT_RUN_MS 2000
#define PERIOD_MS 500 /* between two urgent jobs */
/* A task that begins within this time has found room at once. */
#define PROMPT_MS 100
#define LEARN_MS 6000
#define PLAY_MS 6000

/* Demand of the level 0, sampled each 100 ms for 60 s. */
typedef struct target_case {
	const char *name;
	double low_milli, high_milli; /* by turns, for a second each */
	double task_milli, used_milli, capacity_milli;
	double less_urgent_milli; /* demand of the level 2 */
	uint32_t level;		  /* of the long-running task */
	int64_t cores_min, cores_max, piece;
} target_case_t;

static const target_case_t target_cases[] = {
	{ .name = "steady demand, none of it used",
	  .low_milli = 8000,
	  .high_milli = 8000,
	  .task_milli = 2000,
	  .capacity_milli = 100000,
	  .level = 2,
	  .cores_min = 7000,
	  .cores_max = 9000,
	  .piece = 2000 },
	{ .name = "steady demand, all of it used",
	  .low_milli = 8000,
	  .high_milli = 8000,
	  .task_milli = 2000,
	  .used_milli = 9000,
	  .capacity_milli = 100000,
	  .level = 2,
	  .piece = 2000 },
	{ .name = "demand that swings",
	  .low_milli = 2000,
	  .high_milli = 14000,
	  .task_milli = 2000,
	  .capacity_milli = 100000,
	  .level = 1,
	  .cores_min = 17000,
	  .cores_max = 23000,
	  .piece = 2000 },
	{ .name = "demand above what may be left free",
	  .low_milli = 90000,
	  .high_milli = 90000,
	  .task_milli = 3000,
	  .capacity_milli = 100000,
	  .level = 2,
	  .cores_min = 20000,
	  .cores_max = 20000,
	  .piece = 3000 },
	{ .name = "same level, some less urgent demand",
	  .low_milli = 8000,
	  .high_milli = 8000,
	  .task_milli = 2000,
	  .less_urgent_milli = 1500,
	  .capacity_milli = 100000,
	  .cores_min = 7000,
	  .cores_max = 9000,
	  .piece = 2000 },
	{ .name = "less urgent demand that would take the room",
	  .low_milli = 8000,
	  .high_milli = 8000,
	  .task_milli = 2000,
	  .less_urgent_milli = 4000,
	  .capacity_milli = 100000,
	  .piece = 2000 },
	{ .name = "no demand", .capacity_milli = 100000, .level = 3 },
};

static void test_targets(void **state)
{
	size_t i;

	(void)state;
	for (i = 0; i < G_N_ELEMENTS(target_cases); i++) {
		const target_case_t *c = &target_cases[i];
		double used[GH_HEADROOM_LEVELS] = { c->used_milli };
		gh_headroom_t headroom = { 0 };
		gh_headroom_target_t target;
		int s;

		for (s = 1; s <= 600; s++) {
			gh_headroom_sample(
				&headroom, 0,
				s / 10 % 2 ? c->low_milli : c->high_milli,
				c->task_milli, s * 100 * GH_USEC_PER_MSEC);
			gh_headroom_sample(&headroom, 2, c->less_urgent_milli,
					   c->less_urgent_milli ? 1000 : 0,
					   s * 100 * GH_USEC_PER_MSEC);
		}
		target = gh_headroom_target(&headroom, c->level, used,
					    c->capacity_milli);
		if (target.cores_milli < c->cores_min ||
		    target.cores_milli > c->cores_max ||
		    target.piece_milli != c->piece)
			fail_msg("%s: %" PRId64 " in pieces of %" PRId64,
				 c->name, target.cores_milli,
				 target.piece_milli);
	}
}

typedef struct pieces_case {
	int64_t piece, free, counted;
} pieces_case_t;

static const pieces_case_t pieces_cases[] = {
	{ 0, 5000, 5000 },  { 2000, 5000, 4000 }, { 2000, 1999, 0 },
	{ 2000, -3000, 0 }, { 2000, 2000, 2000 },
};

static void test_pieces(void **state)
{
	size_t i;

	(void)state;
	for (i = 0; i < G_N_ELEMENTS(pieces_cases); i++) {
		gh_headroom_target_t target = { .piece_milli =
							pieces_cases[i].piece };

		assert_int_equal(
			gh_headroom_pieces(&target, pieces_cases[i].free),
			pieces_cases[i].counted);
	}
}

/* Urgent jobs beside other work that would fill the workers. */
typedef struct load_case {
	const char *name;
	uint32_t other_priority;
	gh_step_t other; /* step of the other jobs */
	uint32_t others; /* number of them, a period */
	/* Urgent tasks that begin within PROMPT_MS, in parts of 100. */
	uint32_t prompt_min;
	size_t others_min; /* starts of other tasks, once learned */
} load_case_t;

static const load_case_t load_cases[] = {
	{ .name = "long-running tasks that fill up slowly",
	  .other_priority = 0,
	  .other = { .tasks = 1,
		     .size = { .cores_milli = 5000 },
		     .long_running = true },
	  .others = 1,
	  .prompt_min = 60 },
	{ .name = "gangs of long-running tasks are not put off",
	  .other_priority = 0,
	  .other = { .tasks = 2,
		     .size = { .cores_milli = 2500 },
		     .gang = true,
		     .long_running = true },
	  .others = 1,
	  .others_min = 8 },
};

typedef struct play {
	world_t w;
	uint32_t next_id;
	size_t asked, prompt, others;
	/* When the urgent tasks that have not begun were handed in. */
	GHashTable *handed_in;
	bool counting;
} play_t;

static void hand_in(play_t *p, const char *queue, const gh_step_t *step)
{
	char id[GH_JOB_ID_MAX + 1];
	gh_pipeline_t *job;

	g_snprintf(id, sizeof(id), "%c%015x", *queue, p->next_id++);
	job = make_job(id, 1, step);
	g_strlcpy(job->queue, queue, sizeof(job->queue));
	job->accepted_ms = p->w.wall_ms;
	assert_true(gh_fleet_job_add(p->w.fleet, job, NULL, NULL));
}

static void note_start(world_t *w, scripted_worker_t *worker,
		       const gh_order_t *order)
{
	play_t *p = w->ctx;
	gh_time_t *at;

	(void)worker;
	if (!p->counting)
		return;
	at = g_hash_table_lookup(p->handed_in, order->task.job);
	if (!at)
		p->others++;
	else if (w->now - *at <= PROMPT_MS * MS)
		p->prompt++;
}

/* Ends the runs that have taken their time. */
static void end_runs(play_t *p, GHashTable *begun)
{
	size_t i, r;

	for (i = 0; i < p->w.n_workers; i++) {
		scripted_worker_t *worker = &p->w.workers[i];

		for (r = 0; r < worker->n_runs;) {
			const gh_task_id_t *task = &worker->runs[r].task;
			char *key = g_strdup_printf("%s.%u.%u", task->job,
						    task->index,
						    worker->runs[r].run);
			gh_time_t *at = g_hash_table_lookup(begun, key);
			int64_t ms = *task->job == 'u' ? URGENT_RUN_MS :
							 PATIENT_RUN_MS;

			if (!at) {
				at = g_memdup2(&p->w.now, sizeof(p->w.now));
				g_hash_table_insert(begun, g_strdup(key), at);
			}
			g_free(key);
			if (*task->job != 'l' && p->w.now - *at >= ms * MS &&
			    worker->n_ends < ENDS_MAX / 2)
				end_run(worker, r, GH_RUN_DONE);
			else
				r++;
		}
	}
}

static void play(play_t *p, const load_case_t *c)
{
	static const gh_step_t urgent = {
		.tasks = 3,
		.size = { .cores_milli = URGENT_CORES_MILLI },
		.estimate_ms = URGENT_RUN_MS,
	};
	const char *queue = c->other.long_running ? "lasting" : "patient";
	gh_queue_policy_t policies[] = {
		{ .name = "urgent",
		  .attempts = 3,
		  .stretch_milli = 1500,
		  .target_ms = 300 },
		{ .priority = c->other_priority,
		  .attempts = 3,
		  .stretch_milli = 4000,
		  .target_ms = 20000 },
	};
	GHashTable *begun =
		g_hash_table_new_full(g_str_hash, g_str_equal, g_free, g_free);
	int64_t ms;
	uint32_t i;

	g_strlcpy(policies[1].name, queue, sizeof(policies[1].name));
	world_init(&p->w);
	p->w.ctx = p;
	p->w.on_start = note_start;
	p->handed_in =
		g_hash_table_new_full(g_str_hash, g_str_equal, g_free, g_free);
	for (i = 0; i < WORKERS; i++)
		add_worker(&p->w, (char[]){ 'w', (char)('1' + i), '\0' },
			   CORES_MILLI);
	for (i = 0; i < G_N_ELEMENTS(policies); i++)
		gh_fleet_queue_set(p->w.fleet, &policies[i]);
	for (ms = 0; ms < LEARN_MS + PLAY_MS; ms += STEP_USEC / MS) {
		if (ms % PERIOD_MS == 0) {
			char id[GH_JOB_ID_MAX + 1];

			for (i = 0; i < c->others; i++)
				hand_in(p, queue, &c->other);
			g_snprintf(id, sizeof(id), "u%015x", p->next_id);
			g_hash_table_insert(
				p->handed_in, g_strdup(id),
				g_memdup2(&p->w.now, sizeof(p->w.now)));
			hand_in(p, "urgent", &urgent);
			p->counting = ms >= LEARN_MS;
			p->asked += p->counting ? urgent.tasks : 0;
		}
		advance_time(&p->w, STEP_USEC / MS);
		end_runs(p, begun);
	}
	g_hash_table_destroy(begun);
}

static void test_urgent_tasks_find_room(void **state)
{
	size_t i;

	(void)state;
	for (i = 0; i < G_N_ELEMENTS(load_cases); i++) {
		const load_case_t *c = &load_cases[i];
		play_t *p = g_new0(play_t, 1);
		size_t percent;

		play(p, c);
		percent = p->prompt * 100 / p->asked;
		if (percent < c->prompt_min || p->others < c->others_min ||
		    p->w.n_over_capacity)
			fail_msg("%s: %zu of 100 prompt, %zu others, "
				 "%zu over the capacity",
				 c->name, percent, p->others,
				 (size_t)p->w.n_over_capacity);
		g_hash_table_destroy(p->handed_in);
		world_clear(&p->w);
		g_free(p);
	}
}

int main(void)
{
	const struct CMUnitTest tests[] = {
		cmocka_unit_test(test_targets),
		cmocka_unit_test(test_pieces),
		cmocka_unit_test(test_urgent_tasks_find_room),
	};

	return cmocka_run_group_tests(tests, NULL, NULL);
}
