/*
 * Tests of the request queue: dispatch order, guarantees and limits, early
 * refusals, and that each request leaves the queue once.
 */
#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <cmocka.h>
#include <string.h>

#include "core_queue.h"
#include "core_route.h"
#include "doc.h"

#define SLOTS 8
#define FAR_DEADLINE gh_time_from_ms(1000000)
#define MAX_TICKETS 64

static gh_queue_t *new_queue(void)
{
	gh_document_t *doc = doc_make(1, "a@d1", NULL);
	gh_queue_t *queue = gh_queue_new();

	gh_queue_apply_document(queue, doc);
	gh_document_unref(doc);
	return queue;
}

static bool accept_any(void *ctx, const char *service, bool is_long)
{
	(void)ctx;
	(void)service;
	(void)is_long;
	return true;
}

static bool accept_short(void *ctx, const char *service, bool is_long)
{
	(void)ctx;
	(void)service;
	return !is_long;
}

/*
 * Requests, each given by the first letter of its service, are pushed in the
 * order of pushed at the given times and dispatched in the order of expected.
 * Those in upper case are dispatched at once when they are pushed.
 */
typedef struct order_case {
	const char *pushed;
	int64_t pushed_at_ms[12];
	int64_t now_ms;
	gh_queue_can_run_t can_run;
	const char *expected;
} order_case_t;

static const order_case_t order_cases[] = {
	/* Latency-critical requests go first. */
	{ "bf", { 0, 0 }, 0, accept_any, "fb" },
	/* The shorter request goes first, though it was pushed later. */
	{ "sf", { 0, 0 }, 0, accept_any, "fs" },
	/* Short requests are dispatched before a long one that no executor can
	 * take. */
	{ "sff", { 0, 0, 0 }, 0, accept_short, "ff" },
	/* Long requests may use half of the slots. */
	{ "SSSSsf", { 0 }, 0, accept_any, "f" },
	{ "SSSsf", { 0 }, 0, accept_any, "fs" },
	/* Above the guarantees, the department with fewer requests in flight
	 * goes first. */
	{ "FFFFOOffoo", { 0 }, 0, accept_any, "ooff" },
	/* A department below its guarantee goes first. */
	{ "FFFFFfo", { 0 }, 0, accept_any, "of" },
	/* A department's limit applies even if slots are free. */
	{ "OOOOo", { 0 }, 0, accept_any, "" },
	/* Batch requests that have waited long (aged) get one dispatch in four,
	 * and no more. */
	{ "bbffff",
	  { 0, 0, 3000, 3000, 3000, 3000 },
	  3000,
	  accept_any,
	  "bfffbf" },
	/* Batch requests that have not waited long wait for latency-critical
	 * ones. */
	{ "bbffff", { 0, 0, 0, 0, 0, 0 }, 1000, accept_any, "ffffbb" },
};

static const char *service_name(char letter)
{
	switch (g_ascii_tolower(letter)) {
	case 'f':
		return "fast";
	case 's':
		return "slow";
	case 'b':
		return "batch";
	default:
		return "other";
	}
}

static void push_all(gh_queue_t *queue, const order_case_t *c,
		     gh_ticket_t *tickets)
{
	size_t i;

	for (i = 0; c->pushed[i]; i++) {
		tickets[i] = gh_queue_push(queue, service_name(c->pushed[i]),
					   FAR_DEADLINE,
					   gh_time_from_ms(c->pushed_at_ms[i]));
		assert_int_not_equal(tickets[i], GH_NO_TICKET);
		if (g_ascii_isupper(c->pushed[i]))
			assert_int_equal(gh_queue_dispatch_next(queue, 100,
								accept_any,
								NULL, 0),
					 tickets[i]);
	}
}

static void test_order(void **state)
{
	size_t i;

	(void)state;
	for (i = 0; i < G_N_ELEMENTS(order_cases); i++) {
		const order_case_t *c = &order_cases[i];
		gh_queue_t *queue = new_queue();
		gh_ticket_t tickets[MAX_TICKETS] = { 0 };
		gh_ticket_t ticket;
		char order[MAX_TICKETS] = "";
		size_t n = 0;
		size_t j;

		push_all(queue, c, tickets);
		while ((ticket = gh_queue_dispatch_next(
				queue, SLOTS, c->can_run, NULL,
				gh_time_from_ms(c->now_ms))) != GH_NO_TICKET) {
			for (j = 0; tickets[j] != ticket; j++)
				;
			order[n++] = c->pushed[j];
		}
		if (strcmp(order, c->expected) != 0)
			fail_msg("%s: dispatched in order %s", c->pushed,
				 order);
		gh_queue_free(queue);
	}
}

typedef struct admit_case {
	const char *queued; /* requests in the queue, as in order_case_t */
	const char *service;
	int64_t remaining_ms;
	gh_error_kind_t refusal; /* expected refusal; GH_E_COUNT: admitted */
} admit_case_t;

static const admit_case_t admit_cases[] = {
	{ "", "none", 1000, GH_E_NO_SERVICE },
	{ "", "fast", 1000, GH_E_COUNT },
	{ "", "fast", 0, GH_E_DEADLINE_INFEASIBLE },
	/* Without a recent dispatch of the service, one request is admitted so
	 * that its run time is measured again. */
	{ "", "slow", 500, GH_E_COUNT },
	/* With a request of the service in flight, the learned run time decides
	 * on admission. */
	{ "S", "slow", 500, GH_E_DEADLINE_INFEASIBLE },
	{ "S", "slow", 1500, GH_E_COUNT },
	/* Latency-critical requests wait for queued ones of their class, not
	 * for batch. */
	{ "ssssssss", "slow", 1500, GH_E_DEADLINE_INFEASIBLE },
	{ "ssssssss", "slow", 4000, GH_E_COUNT },
	{ "bbbbbbbb", "fast", 15, GH_E_COUNT },
	/* A department's guarantee limits the wait of its requests behind those
	 * of others. */
	{ "sssssssss", "other", 100, GH_E_COUNT },
	/* A quarter of the 20 entries is reserved for the other department. */
	{ "fffffffffffffff", "fast", 1000, GH_E_QUEUE_FULL },
	{ "fffffffffffffff", "other", 1000, GH_E_COUNT },
	{ "oooooooooo", "other", 1000, GH_E_OVER_LIMIT },
};

static void test_admit(void **state)
{
	gh_time_t now = gh_time_from_ms(10000);
	size_t i;
	size_t j;

	(void)state;
	for (i = 0; i < G_N_ELEMENTS(admit_cases); i++) {
		const admit_case_t *c = &admit_cases[i];
		gh_queue_t *queue = new_queue();
		gh_error_kind_t refusal = GH_E_COUNT;
		int64_t retry_after_ms;

		for (j = 0; c->queued[j]; j++) {
			gh_queue_push(queue, service_name(c->queued[j]),
				      FAR_DEADLINE, now);
			if (g_ascii_isupper(c->queued[j]))
				gh_queue_dispatch_next(queue, SLOTS, accept_any,
						       NULL, now);
		}
		if (gh_queue_admit(queue, c->service, SLOTS,
				   now + gh_time_from_ms(c->remaining_ms), now,
				   &refusal, &retry_after_ms))
			refusal = GH_E_COUNT;
		else if (refusal != GH_E_NO_SERVICE)
			assert_true(retry_after_ms > 0);
		if (refusal != c->refusal)
			fail_msg("case %zu: refusal %d", i, (int)refusal);
		gh_queue_free(queue);
	}
}

static void test_learning(void **state)
{
	gh_queue_t *queue = new_queue();
	gh_ticket_t ticket;
	int i;

	(void)state;
	assert_false(gh_queue_is_long(queue, "fast"));
	for (i = 0; i < 40; i++) {
		ticket = gh_queue_push(queue, "fast", FAR_DEADLINE, 0);
		assert_int_equal(gh_queue_dispatch_next(queue, SLOTS,
							accept_any, NULL, 0),
				 ticket);
		gh_queue_complete(queue, ticket, gh_time_from_ms(800));
	}
	assert_true(gh_queue_is_long(queue, "fast"));
	assert_in_range(gh_queue_run_time(queue, "fast"), gh_time_from_ms(700),
			gh_time_from_ms(800));
	gh_queue_free(queue);
}

/* With varying run times, the check of a deadline must allow for their
 * deviation. */
static void test_spread_counts(void **state)
{
	gh_queue_t *queue = new_queue();
	gh_error_kind_t refusal;
	gh_ticket_t ticket;
	gh_time_t mean;
	gh_time_t bound;
	int64_t retry_after_ms;
	int i;

	(void)state;
	for (i = 0; i < 41; i++) {
		ticket = gh_queue_push(queue, "fast", FAR_DEADLINE, 0);
		gh_queue_dispatch_next(queue, SLOTS, accept_any, NULL, 0);
		if (i < 40)
			gh_queue_complete(queue, ticket,
					  gh_time_from_ms(i % 2 ? 10 : 90));
	}
	mean = gh_queue_run_time(queue, "fast");
	bound = gh_queue_run_time_bound(queue, "fast");
	assert_true(bound > 2 * mean);
	assert_false(gh_queue_admit(queue, "fast", SLOTS, mean + 1, 0, &refusal,
				    &retry_after_ms));
	assert_true(gh_queue_admit(queue, "fast", SLOTS, bound, 0, &refusal,
				   &retry_after_ms));
	gh_queue_free(queue);
}

static void test_hopeless_leaves(void **state)
{
	gh_queue_t *queue = new_queue();
	gh_time_t deadline = gh_time_from_ms(1200);
	gh_ticket_t first = gh_queue_push(queue, "slow", FAR_DEADLINE, 0);
	gh_ticket_t second = gh_queue_push(queue, "slow", deadline, 0);

	(void)state;
	assert_int_equal(
		gh_queue_dispatch_next(queue, SLOTS, accept_any, NULL, 0),
		first);
	assert_int_equal(
		gh_queue_remove_infeasible(queue, gh_time_from_ms(200)),
		GH_NO_TICKET);
	assert_int_equal(
		gh_queue_remove_infeasible(queue, gh_time_from_ms(201)),
		second);
	assert_false(gh_queue_cancel(queue, second));
	assert_int_equal(gh_queue_length(queue), 0);
	gh_queue_free(queue);
}

/* How often a request left the queue in each way. */
typedef struct outcome {
	gh_ticket_t ticket;
	unsigned dispatched;
	unsigned cancelled;
	unsigned infeasible;
} outcome_t;

static void count_outcome(outcome_t *outcomes, gh_ticket_t ticket, size_t field)
{
	size_t i;

	for (i = 0; i < MAX_TICKETS; i++)
		if (outcomes[i].ticket == ticket)
			break;
	assert_true(i < MAX_TICKETS);
	if (field == 0)
		outcomes[i].dispatched++;
	else
		outcomes[i].infeasible++;
}

static void run_seed(uint64_t seed)
{
	static const char letters[] = "fsbo";
	gh_queue_t *queue = new_queue();
	outcome_t outcomes[MAX_TICKETS] = { 0 };
	gh_time_t now = 0;
	gh_ticket_t ticket;
	size_t n = 0;
	size_t i;

	while (n < MAX_TICKETS) {
		now += gh_time_from_ms(5);
		outcomes[n++].ticket = gh_queue_push(
			queue,
			service_name(letters[gh_route_random(&seed) % 4]),
			now + gh_time_from_ms(gh_route_random(&seed) % 3000),
			now);
		ticket = gh_queue_remove_infeasible(queue, now);
		if (ticket != GH_NO_TICKET)
			count_outcome(outcomes, ticket, 1);
		ticket = gh_queue_dispatch_next(queue, SLOTS, accept_any, NULL,
						now);
		if (ticket != GH_NO_TICKET && gh_route_random(&seed) % 2)
			count_outcome(outcomes, ticket, 0);
		else if (ticket != GH_NO_TICKET) {
			count_outcome(outcomes, ticket, 0);
			gh_queue_complete(queue, ticket, gh_time_from_ms(50));
		}
		i = gh_route_random(&seed) % n;
		if (gh_queue_cancel(queue, outcomes[i].ticket))
			outcomes[i].cancelled++;
	}
	for (i = 0; i < MAX_TICKETS; i++)
		if (gh_queue_cancel(queue, outcomes[i].ticket))
			outcomes[i].cancelled++;
	assert_int_equal(gh_queue_length(queue), 0);
	for (i = 0; i < MAX_TICKETS; i++)
		assert_int_equal(outcomes[i].dispatched +
					 outcomes[i].cancelled +
					 outcomes[i].infeasible,
				 1);
	gh_queue_free(queue);
}

static void test_each_request_leaves_once(void **state)
{
	uint64_t seed;

	(void)state;
	for (seed = 1; seed <= 500; seed++)
		run_seed(seed);
}

static void test_shares(void **state)
{
	gh_queue_t *queue = new_queue();
	gh_queue_share_t share;
	int i;

	(void)state;
	for (i = 0; i < 5; i++) {
		gh_queue_push(queue, "fast", FAR_DEADLINE, 0);
		gh_queue_dispatch_next(queue, SLOTS, accept_any, NULL, 0);
	}
	gh_queue_push(queue, "fast", FAR_DEADLINE, 0);
	assert_true(gh_queue_share(queue, 0, SLOTS, &share));
	assert_string_equal(share.department, "left");
	assert_int_equal(share.in_flight, 5);
	assert_int_equal(share.guaranteed, 4);
	assert_int_equal(share.borrowed, 1);
	assert_int_equal(share.queued, 1);
	assert_true(gh_queue_share(queue, 1, SLOTS, &share));
	assert_false(gh_queue_share(queue, 2, SLOTS, &share));
	gh_queue_free(queue);
}

int main(void)
{
	const struct CMUnitTest tests[] = {
		cmocka_unit_test(test_order),
		cmocka_unit_test(test_admit),
		cmocka_unit_test(test_learning),
		cmocka_unit_test(test_spread_counts),
		cmocka_unit_test(test_hopeless_leaves),
		cmocka_unit_test(test_each_request_leaves_once),
		cmocka_unit_test(test_shares),
	};

	return cmocka_run_group_tests_name("core_queue", tests, NULL, NULL);
}
