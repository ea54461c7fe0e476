/*
 * Slot credits: shares, their raising and lowering, loans, and seeded runs
 * in which the requests of all hosts together never exceed an executor's
 * slots.
 */
#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <cmocka.h>
#include <string.h>

#include "core_credit.h"
#include "core_route.h"
#include "doc.h"

#define SLOTS 8
#define REQUEST_MAX gh_time_from_ms(2000)
#define LOAN_MAX gh_time_from_ms(GH_CREDIT_LOAN_MS)
#define LONGEST (REQUEST_MAX + LOAN_MAX)

typedef struct split_case {
	unsigned amount;
	unsigned hosts;
	unsigned least;
	unsigned most;
} split_case_t;

static const split_case_t split_cases[] = {
	{ 8, 1, 8, 8 }, { 8, 2, 4, 4 }, { 8, 3, 2, 3 },
	{ 8, 9, 0, 1 }, { 0, 3, 0, 0 }, { 64, 3, 21, 22 },
};

static void test_split(void **state)
{
	size_t i;
	unsigned host;
	unsigned executor;

	(void)state;
	for (i = 0; i < G_N_ELEMENTS(split_cases); i++) {
		const split_case_t *c = &split_cases[i];

		for (executor = 0; executor < 5; executor++) {
			unsigned sum = 0;

			for (host = 0; host < c->hosts; host++) {
				unsigned part = gh_credit_split(
					c->amount, c->hosts, host, executor);

				assert_in_range(part, c->least, c->most);
				sum += part;
			}
			assert_int_equal(sum, c->amount);
		}
	}
}

/* One event at host a; time in milliseconds. */
typedef struct step {
	int64_t at;
	uint64_t generation;
	const char *entries;
	unsigned usable; /* of e1, after the event */
	char what;	 /* d(ocument), s(ee b) or l(ook) */
} step_t;

static const step_t start_steps[] = {
	{ 0, 1, "a@d1 b@d1", 0, 'd' }, { 100, 1, NULL, 0, 's' },
	{ 2499, 0, NULL, 0, 'l' },     { 2599, 0, NULL, 0, 'l' },
	{ 2600, 0, NULL, 4, 'l' },
};

static const step_t dead_peer_steps[] = {
	{ 0, 1, "a@d1 b@d1", 0, 'd' },
	{ 2499, 0, NULL, 0, 'l' },
	{ 2500, 0, NULL, 4, 'l' },
};

static const step_t late_document_steps[] = {
	{ 9000, 1, "a@d1 b@d1", 0, 'd' },
	{ 11499, 0, NULL, 0, 'l' },
	{ 11500, 0, NULL, 4, 'l' },
};

static const step_t raise_steps[] = {
	{ 0, 1, "a@d1 b@d1 c@d1:gone", 0, 'd' },
	{ 0, 1, NULL, 0, 's' },
	{ 2500, 0, NULL, 4, 'l' },
	/* What a gone host had sent may still run. */
	{ 3000, 2, "a@d1 b@d1:gone c@d1:gone", 4, 'd' },
	{ 5499, 0, NULL, 4, 'l' },
	{ 5500, 0, NULL, 8, 'l' },
};

static const step_t wait_steps[] = {
	{ 0, 1, "a@d1 b@d1", 0, 'd' },
	{ 0, 1, NULL, 0, 's' },
	{ 2500, 0, NULL, 4, 'l' },
	{ 3000, 2, "a@d1 b@d1 c@d1 d@d1", 2, 'd' },
	{ 4000, 2, NULL, 2, 's' },
	/* Raised again by 3: b must be seen with it, and with no other. */
	{ 5000, 3, "a@d1 b@d1 c@d1:gone d@d1:gone", 2, 'd' },
	{ 9000, 0, NULL, 2, 'l' },
	{ 9000, 4, NULL, 2, 's' },
	{ 19000, 0, NULL, 2, 'l' },
	{ 20000, 3, NULL, 2, 's' },
	{ 22499, 0, NULL, 2, 'l' },
	{ 22500, 0, NULL, 4, 'l' },
	/* An older document changes nothing. */
	{ 22600, 2, "a@d1 b@d1 c@d1 d@d1", 4, 'd' },
};

typedef struct story {
	const char *name;
	const step_t *steps;
	size_t n;
} story_t;

#define STORY(steps_)                                                       \
	{                                                                   \
		.name = #steps_, .steps = steps_, .n = G_N_ELEMENTS(steps_) \
	}

static const story_t stories[] = {
	STORY(start_steps), STORY(dead_peer_steps), STORY(late_document_steps),
	STORY(raise_steps), STORY(wait_steps),
};

static void tell(const story_t *story)
{
	gh_credit_t *credit = gh_credit_new("a", 0);
	size_t i;

	for (i = 0; i < story->n; i++) {
		const step_t *step = &story->steps[i];
		gh_time_t now = gh_time_from_ms(step->at);
		gh_document_t *doc = NULL;
		unsigned usable;

		if (step->what == 'd')
			doc = doc_make(step->generation, step->entries, NULL);
		if (doc)
			gh_credit_apply(credit, doc, now);
		if (step->what == 's')
			gh_credit_set_peer_generation(credit, "b",
						      step->generation, now);
		usable = gh_credit_view(credit, "e1", now).usable;
		if (step->what != 'd' && usable != step->usable)
			fail_msg("%s, step %zu: usable %u", story->name, i,
				 usable);
		if (doc)
			gh_document_unref(doc);
	}
	gh_credit_free(credit);
}

static void test_stories(void **state)
{
	size_t i;

	(void)state;
	for (i = 0; i < G_N_ELEMENTS(stories); i++)
		tell(&stories[i]);
}

static gh_credit_t *ready_host(const char *name, const gh_document_t *doc)
{
	gh_credit_t *credit = gh_credit_new(name, 0);

	gh_credit_apply(credit, doc, 0);
	gh_credit_set_peer_generation(credit, "a", doc->generation, 0);
	gh_credit_set_peer_generation(credit, "b", doc->generation, 0);
	return credit;
}

static void test_holds(void **state)
{
	gh_document_t *doc = doc_make(1, "a@d1 b@d1", NULL);
	gh_credit_t *credit = ready_host("a", doc);
	gh_credit_hold_t holds[4];
	gh_time_t now = LONGEST;
	size_t i;

	(void)state;
	for (i = 0; i < G_N_ELEMENTS(holds); i++) {
		holds[i] = gh_credit_take(credit, "e1", now);
		assert_int_not_equal(holds[i], GH_CREDIT_NO_HOLD);
	}
	assert_int_equal(gh_credit_take(credit, "e1", now), GH_CREDIT_NO_HOLD);
	gh_credit_done(credit, holds[1]);
	gh_credit_done(credit, holds[1]);
	assert_int_equal(gh_credit_view(credit, "e1", now).free, 1);
	/* The others were never ended: free only when they must have. */
	now += REQUEST_MAX - 1;
	assert_int_equal(gh_credit_view(credit, "e1", now).free, 1);
	assert_int_equal(gh_credit_view(credit, "e1", now + 1).free, 4);
	assert_int_equal(gh_credit_take(credit, "none", now),
			 GH_CREDIT_NO_HOLD);
	gh_credit_free(credit);
	gh_document_unref(doc);
}

static void test_loans(void **state)
{
	gh_document_t *doc = doc_make(1, "a@d1 b@d1", NULL);
	gh_credit_t *a = ready_host("a", doc);
	gh_credit_t *b = ready_host("b", doc);
	gh_time_t now = LONGEST;
	gh_credit_loan_request_t ask = { .executor = "e1",
					 .borrower = "b",
					 .generation = 1,
					 .loan_id = 7,
					 .wanted = 9 };
	gh_credit_loan_t loan = { .executor = "e1",
				  .lender = "a",
				  .generation = 1,
				  .loan_id = 7,
				  .requested_at = now };
	gh_credit_return_t ret;
	size_t i;

	(void)state;
	/* One slot stays at home; a repeated ask lends nothing more. */
	assert_int_equal(gh_credit_lend(a, &ask, &loan.loan_ms, now), 3);
	loan.count = gh_credit_lend(a, &ask, &loan.loan_ms, now);
	assert_int_equal(loan.count, 3);
	assert_int_equal(gh_credit_view(a, "e1", now).free, 1);
	ask.generation = 2;
	ask.loan_id = 8;
	assert_int_equal(gh_credit_lend(a, &ask, &loan.loan_ms, now), 0);
	loan.loan_ms = GH_CREDIT_LOAN_MS;
	gh_credit_record_loan(b, &loan);
	for (i = 0; i < 5; i++)
		assert_int_not_equal(gh_credit_take(b, "e1", now),
				     GH_CREDIT_NO_HOLD);
	assert_int_equal(gh_credit_view(b, "e1", now).free, 2);
	assert_int_equal(gh_credit_view(b, "e1", now + LOAN_MAX).free, 0);
	/* One of three is in use and is not returned. */
	assert_true(gh_credit_next_return(b, true, now, &ret));
	assert_int_equal(ret.count, 2);
	assert_false(gh_credit_next_return(b, true, now, &ret));
	gh_credit_record_return(a, "b", ret.loan_id, ret.count);
	gh_credit_record_return(a, "b", ret.loan_id, ret.count);
	assert_int_equal(gh_credit_view(a, "e1", now).lent, 1);
	now += LOAN_MAX + REQUEST_MAX;
	assert_int_equal(gh_credit_view(a, "e1", now - 1).lent, 1);
	assert_int_equal(gh_credit_view(a, "e1", now).lent, 0);
	gh_credit_free(a);
	gh_credit_free(b);
	gh_document_unref(doc);
}

/* A loan past its deadline goes back when its last request has ended. */
static void test_lapsed_loans(void **state)
{
	gh_document_t *doc = doc_make(1, "a@d1 b@d1", NULL);
	gh_credit_t *b = ready_host("b", doc);
	gh_credit_loan_t loan = { .executor = "e1",
				  .lender = "a",
				  .generation = 1,
				  .loan_id = 7,
				  .count = 1,
				  .loan_ms = GH_CREDIT_LOAN_MS,
				  .requested_at = LONGEST };
	gh_time_t lapsed = LONGEST + LOAN_MAX;
	gh_credit_hold_t hold = GH_CREDIT_NO_HOLD;
	gh_credit_return_t ret;
	size_t i;

	(void)state;
	gh_credit_record_loan(b, &loan);
	for (i = 0; i < 5; i++)
		hold = gh_credit_take(b, "e1", LONGEST);
	assert_int_not_equal(hold, GH_CREDIT_NO_HOLD);
	assert_false(gh_credit_next_expired(b, lapsed, &ret));
	gh_credit_done(b, hold);
	assert_false(gh_credit_next_expired(b, lapsed - 1, &ret));
	assert_true(gh_credit_next_expired(b, lapsed, &ret));
	assert_int_equal(ret.loan_id, 7);
	assert_int_equal(ret.count, 1);
	assert_false(gh_credit_next_expired(b, lapsed, &ret));
	gh_credit_free(b);
	gh_document_unref(doc);
}

/*
 * Seeded runs: hosts with their own document, heartbeats that are lost,
 * processes replaced at any time, requests whose end is never learned.
 */
#define HOSTS 3
#define REQUESTS 24
#define STEPS 6000
#define TICK gh_time_from_ms(20)
#define HEARTBEAT_LOST_MOST 20 /* in a row */

static const char *const names[HOSTS] = { "a", "b", "c" };

static const char *const layouts[] = {
	"a@d1 b@d1 c@d1",
	"a@d1 b@d1 c@d1:gone",
	"a@d1 b@d1:leaving c@d1",
	"a@d1:gone b@d1 c@d1",
};

/* A request as the executor sees it. */
typedef struct running {
	gh_time_t until; /* 0: free place */
	size_t host;
	gh_credit_hold_t hold;
	unsigned process;
} running_t;

typedef struct host {
	gh_credit_t *credit;
	unsigned process;
	uint64_t generation;
	bool dead; /* named gone; ended before that */
	unsigned lost[HOSTS];
} host_t;

typedef struct world {
	host_t hosts[HOSTS];
	gh_document_t *docs[40];
	size_t n_docs;
	running_t running[REQUESTS];
	gh_time_t now;
	uint64_t seed;
	uint64_t loan;
	unsigned dispatched;
} world_t;

static uint64_t roll(world_t *world, uint64_t n)
{
	return gh_route_random(&world->seed) % n;
}

static void replace(world_t *world, size_t i)
{
	host_t *host = &world->hosts[i];

	gh_credit_free(host->credit);
	host->credit = gh_credit_new(names[i], world->now);
	host->process++;
	host->generation = 0;
}

/* Generations reach each host in order, one or several at a time. */
static void catch_up(world_t *world, size_t i)
{
	host_t *host = &world->hosts[i];
	uint64_t behind = world->n_docs - host->generation;

	if (!behind || host->dead)
		return;
	host->generation += 1 + roll(world, behind);
	gh_credit_apply(host->credit, world->docs[host->generation - 1],
			world->now);
}

static void beat(world_t *world, size_t from)
{
	host_t *host = &world->hosts[from];
	size_t to;

	for (to = 0; to < HOSTS; to++) {
		if (to == from || !host->generation || host->dead)
			continue;
		if (roll(world, 2) && host->lost[to]++ < HEARTBEAT_LOST_MOST)
			continue;
		host->lost[to] = 0;
		gh_credit_set_peer_generation(world->hosts[to].credit,
					      names[from], host->generation,
					      world->now);
	}
}

static void dispatch(world_t *world, size_t i)
{
	host_t *host = &world->hosts[i];
	gh_credit_hold_t hold = gh_credit_take(host->credit, "e1", world->now);
	size_t at;

	if (hold == GH_CREDIT_NO_HOLD)
		return;
	world->dispatched++;
	for (at = 0; at < REQUESTS && world->running[at].until; at++)
		;
	assert_true(at < REQUESTS);
	world->running[at] = (running_t){
		.until = world->now + REQUEST_MAX,
		.host = i,
		.hold = hold,
		.process = host->process,
	};
}

static void answer(world_t *world)
{
	running_t *running = &world->running[roll(world, REQUESTS)];
	host_t *host = &world->hosts[running->host];

	if (!running->until || running->process != host->process)
		return;
	gh_credit_done(host->credit, running->hold);
	running->until = 0;
}

static void lend(world_t *world)
{
	size_t from = roll(world, HOSTS);
	size_t to = roll(world, HOSTS);
	gh_credit_loan_request_t ask = { .executor = "e1",
					 .borrower = names[to],
					 .generation =
						 world->hosts[to].generation,
					 .loan_id = ++world->loan,
					 .wanted =
						 1 + (unsigned)roll(world, 4) };
	gh_credit_loan_t loan = { .executor = "e1",
				  .lender = names[from],
				  .generation = ask.generation,
				  .loan_id = ask.loan_id,
				  .requested_at = world->now };

	if (from == to)
		return;
	loan.count = gh_credit_lend(world->hosts[from].credit, &ask,
				    &loan.loan_ms, world->now);
	if (roll(world, 4))
		gh_credit_record_loan(world->hosts[to].credit, &loan);
}

static void give_back(world_t *world)
{
	size_t from = roll(world, HOSTS);
	gh_credit_return_t ret;
	size_t to;

	if (!gh_credit_next_return(world->hosts[from].credit, roll(world, 2),
				   world->now, &ret))
		return;
	for (to = 0; to < HOSTS; to++)
		if (!strcmp(names[to], ret.lender) && roll(world, 4))
			gh_credit_record_return(world->hosts[to].credit,
						names[from], ret.loan_id,
						ret.count);
}

/* An operator names a host gone only after it has ended. */
static void change_document(world_t *world)
{
	gh_document_t *doc;
	size_t i;

	if (world->n_docs == G_N_ELEMENTS(world->docs))
		return;
	doc = doc_make(world->n_docs + 1,
		       layouts[roll(world, G_N_ELEMENTS(layouts))], NULL);
	world->docs[world->n_docs++] = doc;
	for (i = 0; i < HOSTS; i++) {
		host_t *host = &world->hosts[i];
		bool gone = doc->entries[doc_entry(doc, names[i])].state ==
			    GH_HOST_GONE;

		if (gone != host->dead)
			replace(world, i);
		host->dead = gone;
	}
}

static void check_sum(world_t *world, uint64_t seed)
{
	unsigned sum = 0;
	size_t i;

	for (i = 0; i < REQUESTS; i++) {
		running_t *running = &world->running[i];

		if (running->until && running->until <= world->now)
			running->until = 0;
		if (running->until)
			sum++;
	}
	if (sum > SLOTS)
		fail_msg("seed %d: %u requests at once", (int)seed, sum);
}

static unsigned play(uint64_t seed)
{
	world_t world = { .seed = seed };
	size_t step;
	size_t i;

	for (i = 0; i < HOSTS; i++)
		replace(&world, i);
	change_document(&world);
	for (step = 0; step < STEPS; step++) {
		size_t host = roll(&world, HOSTS);

		world.now += roll(&world, 2) * TICK;
		dispatch(&world, host);
		dispatch(&world, host);
		answer(&world);
		if (!roll(&world, 4))
			lend(&world);
		if (!roll(&world, 6))
			give_back(&world);
		if (!roll(&world, 3))
			beat(&world, roll(&world, HOSTS));
		if (!roll(&world, 20) || !world.hosts[host].generation)
			catch_up(&world, host);
		if (!roll(&world, 800))
			change_document(&world);
		if (!roll(&world, 1000))
			replace(&world, host);
		check_sum(&world, seed);
	}
	for (i = 0; i < HOSTS; i++)
		gh_credit_free(world.hosts[i].credit);
	for (i = 0; i < world.n_docs; i++)
		gh_document_unref(world.docs[i]);
	return world.dispatched;
}

static void test_sum_stays_within_slots(void **state)
{
	unsigned dispatched = 0;
	uint64_t seed;

	(void)state;
	for (seed = 1; seed <= 300; seed++)
		dispatched += play(seed);
	/* Enough went out for the sum to mean something. */
	assert_in_range(dispatched, 300 * 500, 300 * STEPS * 2);
}

int main(void)
{
	const struct CMUnitTest tests[] = {
		cmocka_unit_test(test_split),
		cmocka_unit_test(test_stories),
		cmocka_unit_test(test_holds),
		cmocka_unit_test(test_loans),
		cmocka_unit_test(test_lapsed_loans),
		cmocka_unit_test(test_sum_stays_within_slots),
	};

	return cmocka_run_group_tests_name("core_credit", tests, NULL, NULL);
}
