/*
 * Tests of the fleet scheduler with replies that are missing, late or of a
 * former incarnation of a worker: no task may run twice.
 */
#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <stdint.h>

#include <cmocka.h>
#include <string.h>

#include "fleet_world.h"

#define JOB "0000000000000001"

/* Index of the first order of this kind for the numbered run, or n_orders. */
static size_t find_order(const world_t *w, gh_order_kind_t kind, uint32_t run)
{
	size_t i;

	for (i = 0; i < w->n_orders; i++)
		if (w->orders[i].kind == kind && w->orders[i].run == run)
			break;
	return i;
}

/* The worker's reply to a start order that is sent again. */
typedef struct refusal_case {
	const char *name;
	gh_order_reply_t reply;
	bool first_answered; /* the first start order was refused as well */
} refusal_case_t;

static const refusal_case_t refusals[] = {
	{ .name = "no capacity", .reply = GH_ORDER_NO_CAPACITY },
	{ .name = "unhealthy", .reply = GH_ORDER_REFUSED },
	{ .name = "lease expired", .reply = GH_ORDER_LEASE_EXPIRED },
	{ .name = "no capacity at once",
	  .reply = GH_ORDER_NO_CAPACITY,
	  .first_answered = true },
};

/*
 * A start order without a reply may be executed after a later copy of it was
 * refused.  The run is stopped before the task starts again, so that it can't
 * run twice.
 */
static void test_refused_after_silence(void **state)
{
	size_t i;

	(void)state;
	for (i = 0; i < G_N_ELEMENTS(refusals); i++) {
		const refusal_case_t *c = &refusals[i];
		scripted_worker_t *worker;
		size_t stop, restart;
		world_t w;

		print_message("%s\n", c->name);
		world_init(&w);
		add_worker(&w, "w1", 4000);
		add_worker(&w, "w2", 4000);
		advance_time(&w, 100);
		add_job(&w, JOB, 1, &one_task, NULL);
		w.workers[0].loses_orders = !c->first_answered;
		w.workers[1].loses_orders = !c->first_answered;
		w.workers[0].refusal = w.workers[1].refusal = c->reply;
		while (!w.n_orders)
			advance_time(&w, 10);
		worker = find_worker(&w, w.orders[0].worker);
		w.workers[0].refusal = w.workers[1].refusal = GH_ORDER_OK;
		w.workers[0].loses_orders = w.workers[1].loses_orders = false;
		worker->refusal = c->first_answered ? GH_ORDER_OK : c->reply;
		advance_time(&w, 150);
		worker->refusal = GH_ORDER_OK;
		advance_time(&w, 3000);
		restart = find_order(&w, GH_ORDER_START, 2);
		stop = find_order(&w, GH_ORDER_STOP, 1);
		assert_true(restart < w.n_orders);
		if (c->first_answered) {
			assert_int_equal(stop, w.n_orders);
		} else {
			assert_true(stop < restart);
			assert_string_equal(w.orders[stop].worker, worker->id);
		}
		world_clear(&w);
	}
}

int main(void)
{
	static const struct CMUnitTest tests[] = {
		cmocka_unit_test(test_refused_after_silence),
	};

	return cmocka_run_group_tests(tests, NULL, NULL);
}
