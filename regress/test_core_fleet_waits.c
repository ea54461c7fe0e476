/*
 * Tests of the fleet scheduler's waits: each has to end while a worker has
 * capacity, whatever became of other runs.
 */
#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <stdint.h>

#include <cmocka.h>
#include <string.h>

#include "fleet_world.h"

#define JOB_ID "0000000000000001"

/* A record of a stage with a task that is done and has an open run. */
typedef struct copy_case {
	const char *name, *progress;
	uint32_t tasks;
	size_t started; /* starts in the first half second */
} copy_case_t;

static const copy_case_t copy_cases[] = {
	{ .name = "one of two done",
	  .progress = "progress1\n0 done 0 2 - 2@gone\n",
	  .tasks = 2,
	  .started = 1 },
	{ .name = "lost in the middle",
	  .progress = "progress1\n0 done 0 2 - 2@gone\n1 open 0 1 -\n"
		      "2 done 0 1 - 1@gone\n",
	  .tasks = 3,
	  .started = 1 },
	{ .name = "not done",
	  .progress = "progress1\n0 done 0 2 - 2@gone\n1 open 0 1 - 1@gone\n",
	  .tasks = 2,
	  .started = 0 },
};

/* Runs of tasks that are done kept the stage's last tasks from starting. */
static void test_copy_of_done_task_holds_nothing_up(void **state)
{
	size_t i;

	(void)state;
	for (i = 0; i < G_N_ELEMENTS(copy_cases); i++) {
		const copy_case_t *c = &copy_cases[i];
		gh_step_t step = one_task;
		world_t w;

		step.tasks = c->tasks;
		world_init(&w);
		add_worker(&w, "w1", 4000);
		add_job(&w, JOB_ID, 1, &step, c->progress);
		advance_time(&w, 500);
		if (count_orders(&w, GH_ORDER_START, 0) != c->started)
			fail_msg("%s: %zu starts", c->name,
				 count_orders(&w, GH_ORDER_START, 0));
		world_clear(&w);
	}
}

int main(void)
{
	static const struct CMUnitTest tests[] = {
		cmocka_unit_test(test_copy_of_done_task_holds_nothing_up),
	};

	return cmocka_run_group_tests(tests, NULL, NULL);
}
