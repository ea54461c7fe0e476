/*
 * Tests of the order in which changes are committed: by rank, by age, and how
 * long the least urgent one waits.
 */
#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <cmocka.h>

#include "core_commit_order.h"

#define STEPS_MAX 16
#define TAKEN_MAX 10
#define NONE UINT32_MAX

/* Queues a change of the rank; one whose job is NONE is taken out instead. */
typedef struct step {
	uint32_t job, rank;
} step_t;

#define TAKE                \
	{                   \
		.job = NONE \
	}

typedef struct order_case {
	const char *name;
	step_t steps[STEPS_MAX];
	uint32_t n_steps;
	/* Jobs of the changes that are taken, those after the steps too. */
	uint32_t taken[TAKEN_MAX];
	uint32_t n_taken;
	uint32_t n_ahead; /* of the taken ones */
} order_case_t;

static const order_case_t order_cases[] = {
	{ .name = "one rank: as queued",
	  .steps = { { 5, 2 }, { 1, 2 }, { 9, 2 }, { 0, 2 }, { 3, 2 } },
	  .n_steps = 5,
	  .taken = { 5, 1, 9, 0, 3 },
	  .n_taken = 5 },
	{ .name = "urgent ones go ahead",
	  .steps = { { 5, 2 }, { 1, 0 }, { 9, 1 }, { 0, 0 } },
	  .n_steps = 4,
	  .taken = { 1, 0, 9, 5 },
	  .n_taken = 4,
	  .n_ahead = 3 },
	{ .name = "the fourth is the oldest",
	  .steps = { { 5, 2 },
		     { 1, 0 },
		     { 2, 0 },
		     { 3, 0 },
		     { 4, 0 },
		     { 6, 0 } },
	  .n_steps = 6,
	  .taken = { 1, 2, 3, 5, 4, 6 },
	  .n_taken = 6,
	  .n_ahead = 3 },
	{ .name = "queued again: keeps its place",
	  .steps = { { 5, 2 }, { 1, 2 }, { 5, 2 }, { 1, 2 } },
	  .n_steps = 4,
	  .taken = { 5, 1 },
	  .n_taken = 2 },
	{ .name = "queued again with a lower rank: goes ahead",
	  .steps = { { 5, 2 }, { 1, 2 }, { 1, 0 } },
	  .n_steps = 3,
	  .taken = { 1, 5 },
	  .n_taken = 2,
	  .n_ahead = 1 },
	{ .name = "queued again with a higher rank: stays ahead",
	  .steps = { { 5, 2 }, { 1, 0 }, { 1, 2 } },
	  .n_steps = 3,
	  .taken = { 1, 5 },
	  .n_taken = 2,
	  .n_ahead = 1 },
	{ .name = "raised: by its age among its new rank",
	  .steps = { { 5, 2 }, { 1, 0 }, { 5, 0 } },
	  .n_steps = 3,
	  .taken = { 5, 1 },
	  .n_taken = 2 },
	{ .name = "taken and queued again: last of its rank",
	  .steps = { { 5, 1 }, { 1, 1 }, TAKE, { 5, 1 } },
	  .n_steps = 4,
	  .taken = { 5, 1, 5 },
	  .n_taken = 3 },
	{ .name = "none queued", .steps = { TAKE }, .n_steps = 1 },
};

static void take(gh_commit_order_t *order, const order_case_t *c, uint32_t *n,
		 uint32_t *n_ahead)
{
	uint32_t peeked = NONE;
	uint32_t job = NONE;
	bool ahead = false;
	bool found = gh_commit_order_peek(order, &peeked);

	assert_int_equal(gh_commit_order_take(order, &job, &ahead), found);
	if (!found)
		return;
	assert_int_equal(job, peeked);
	assert_true(*n < c->n_taken);
	assert_int_equal(job, c->taken[*n]);
	(*n)++;
	*n_ahead += ahead;
}

static void test_order(void **state)
{
	size_t i;

	(void)state;
	for (i = 0; i < sizeof(order_cases) / sizeof(order_cases[0]); i++) {
		const order_case_t *c = &order_cases[i];
		gh_commit_order_t *order = gh_commit_order_new();
		uint32_t n = 0;
		uint32_t n_ahead = 0;
		uint32_t s;

		print_message("case: %s\n", c->name);
		for (s = 0; s < c->n_steps; s++)
			if (c->steps[s].job == NONE)
				take(order, c, &n, &n_ahead);
			else
				gh_commit_order_add(order, c->steps[s].job,
						    c->steps[s].rank);
		while (gh_commit_order_length(order))
			take(order, c, &n, &n_ahead);
		assert_int_equal(n, c->n_taken);
		assert_int_equal(n_ahead, c->n_ahead);
		gh_commit_order_free(order);
	}
}

static void test_ahead(void **state)
{
	gh_commit_order_t *order = gh_commit_order_new();

	(void)state;
	assert_int_equal(gh_commit_order_ahead(order, 0), 0);
	gh_commit_order_add(order, 1, 2);
	gh_commit_order_add(order, 2, 0);
	gh_commit_order_add(order, 3, 2);
	gh_commit_order_add(order, 4, 1);
	assert_int_equal(gh_commit_order_ahead(order, 0), 1);
	assert_int_equal(gh_commit_order_ahead(order, 1), 2);
	assert_int_equal(gh_commit_order_ahead(order, 2), 4);
	assert_int_equal(gh_commit_order_length(order), 4);
	gh_commit_order_free(order);
}

/*
 * Two urgent changes come for each one that is committed.  Of 10 patient ones
 * that were queued before, all are committed within 40 commits.
 */
static void test_pressure(void **state)
{
	gh_commit_order_t *order = gh_commit_order_new();
	uint32_t n_patient = 0;
	uint32_t next = 100;
	uint32_t i;

	(void)state;
	for (i = 0; i < 10; i++)
		gh_commit_order_add(order, i, 2);
	for (i = 0; i < 40; i++) {
		uint32_t job;
		bool ahead;

		gh_commit_order_add(order, next++, 0);
		gh_commit_order_add(order, next++, 0);
		assert_true(gh_commit_order_take(order, &job, &ahead));
		n_patient += job < 10;
	}
	assert_int_equal(n_patient, 10);
	gh_commit_order_free(order);
}

int main(void)
{
	const struct CMUnitTest tests[] = {
		cmocka_unit_test(test_order),
		cmocka_unit_test(test_ahead),
		cmocka_unit_test(test_pressure),
	};

	return cmocka_run_group_tests(tests, NULL, NULL);
}
