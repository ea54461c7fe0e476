/*
 * Tests of the reservation of workers: a long-running task beside a backlog of
 * short tasks, and these beside a reserved worker.
 */
#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <stdint.h>

#include <cmocka.h>
#include <string.h>

#include "fleet_world.h"

#define CORES_MILLI 16000 /* of the worker */
#define SHORT_CORES_MILLI 4000
#define SHORT_PER_WORKER (CORES_MILLI / SHORT_CORES_MILLI)
#define LASTING_JOB_ID "b000000000000000"
#define SHORT_JOBS 60

/* Short tasks end one after the other and more than can run wait. */
typedef struct reserve_case {
	const char *name;
	int64_t run_ms; /* of a short task */
	uint32_t cores_milli;
	int64_t max_ms; /* until the long-running task has begun */
} reserve_case_t;

static const reserve_case_t cases[] = {
	{ "runs that take short", 1000, 12000, 4000 },
	{ "runs that take longer than a reservation", 6000, 12000, 25000 },
	{ "the whole worker, runs that take longer", 6000, 16000, 25000 },
};

typedef struct play {
	world_t w;
	int64_t run_ms;
	gh_time_t begun[SHORT_JOBS];
} play_t;

static void note_start(world_t *w, scripted_worker_t *worker,
		       const gh_order_t *order)
{
	play_t *p = w->ctx;

	(void)worker;
	if (*order->task.job == 'a')
		p->begun[strtoul(order->task.job + 1, NULL, 16)] = w->now;
}

static void advance(play_t *p, int64_t ms)
{
	scripted_worker_t *worker = &p->w.workers[0];
	int64_t at;
	size_t i;

	for (at = 0; at < ms; at += STEP_USEC / MS) {
		advance_time(&p->w, STEP_USEC / MS);
		for (i = 0; i < worker->n_runs;) {
			const char *job = worker->runs[i].task.job;

			if (*job == 'a' &&
			    p->w.now - p->begun[strtoul(job + 1, NULL, 16)] >=
				    p->run_ms * MS)
				end_run(worker, i, GH_RUN_DONE);
			else
				i++;
		}
	}
}

static void add(play_t *p, const char *id, const gh_step_t *step)
{
	gh_pipeline_t *job = make_job(id, 1, step);

	job->accepted_ms = p->w.wall_ms;
	assert_true(gh_fleet_job_add(p->w.fleet, job, NULL, NULL));
}

static bool is_begun(const play_t *p)
{
	size_t i;

	for (i = 0; i < p->w.n_orders; i++)
		if (p->w.orders[i].kind == GH_ORDER_START &&
		    *p->w.orders[i].task.job == *LASTING_JOB_ID)
			return true;
	return false;
}

static void test_lasting_task_beside_backlog_begins(void **state)
{
	size_t i;

	(void)state;
	for (i = 0; i < G_N_ELEMENTS(cases); i++) {
		const reserve_case_t *c = &cases[i];
		gh_step_t lasting = { .tasks = 1,
				      .size = { .cores_milli = c->cores_milli },
				      .long_running = true };
		gh_step_t brief = { .tasks = 1,
				    .size = { .cores_milli =
						      SHORT_CORES_MILLI },
				    .estimate_ms = c->run_ms };
		play_t *p = g_new0(play_t, 1);
		uint32_t n = 0;

		world_init(&p->w);
		p->w.ctx = p;
		p->w.on_start = note_start;
		p->run_ms = c->run_ms;
		add_worker(&p->w, "w", CORES_MILLI);
		for (; n < SHORT_JOBS; n++) {
			char id[GH_JOB_ID_MAX + 1];

			g_snprintf(id, sizeof(id), "a%015x", n);
			add(p, id, &brief);
			if (n < SHORT_PER_WORKER)
				advance(p, c->run_ms / SHORT_PER_WORKER);
		}
		add(p, LASTING_JOB_ID, &lasting);
		advance(p, c->max_ms);
		if (!is_begun(p))
			fail_msg("%s: not begun after %d ms", c->name,
				 (int)c->max_ms);
		world_clear(&p->w);
		g_free(p);
	}
}

int main(void)
{
	static const struct CMUnitTest tests[] = {
		cmocka_unit_test(test_lasting_task_beside_backlog_begins),
	};

	return cmocka_run_group_tests(tests, NULL, NULL);
}
