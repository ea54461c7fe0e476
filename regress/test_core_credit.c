/*
 * Tests of slot credits: shares, how they are raised and lowered, loans, and
 * seeded runs that check that the requests of all hosts together never exceed
 * the slots of an executor.
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
#define REQUEST_MAX_USEC gh_time_from_ms(2000)
#define LOAN_USEC gh_time_from_ms(GH_CREDIT_LOAN_MS)
#define SETTLE_USEC (REQUEST_MAX_USEC + LOAN_USEC)

typedef struct split_case {
	unsigned amount;
	unsigned hosts;
	unsigned min;
	unsigned max;
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

				assert_in_range(part, c->min, c->max);
				sum += part;
			}
			assert_int_equal(sum, c->amount);
		}
	}
}

/* One event at host a. */
typedef struct step {
	int64_t at_ms;
	uint64_t generation;
	const char *entries;
	unsigned usable; /* slots of e1 that host a may use after the event */
	char event; /* d: host a applies a document, s: host a gets a report
		       from host b, l: no event */
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
	/* Requests that a gone host sent may still be running. */
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
	/* Host a's share is raised only once b reports exactly generation 3. */
	{ 5000, 3, "a@d1 b@d1 c@d1:gone d@d1:gone", 2, 'd' },
	{ 9000, 0, NULL, 2, 'l' },
	{ 9000, 4, NULL, 2, 's' },
	{ 19000, 0, NULL, 2, 'l' },
	{ 20000, 3, NULL, 2, 's' },
	{ 22499, 0, NULL, 2, 'l' },
	{ 22500, 0, NULL, 4, 'l' },
	/* An older document is ignored. */
	{ 22600, 2, "a@d1 b@d1 c@d1 d@d1", 4, 'd' },
};

typedef struct scenario {
	const char *name;
	const step_t *steps;
	size_t n;
} scenario_t;

#define SCENARIO(steps_)                                                    \
	{                                                                   \
		.name = #steps_, .steps = steps_, .n = G_N_ELEMENTS(steps_) \
	}

static const scenario_t scenarios[] = {
	SCENARIO(start_steps),	       SCENARIO(dead_peer_steps),
	SCENARIO(late_document_steps), SCENARIO(raise_steps),
	SCENARIO(wait_steps),
};

static void run_scenario(const scenario_t *scenario)
{
	gh_credit_t *credit = gh_credit_new("a", 0);
	size_t i;

	for (i = 0; i < scenario->n; i++) {
		const step_t *step = &scenario->steps[i];
		gh_time_t now = gh_time_from_ms(step->at_ms);
		gh_document_t *doc = NULL;
		unsigned usable;

		if (step->event == 'd')
			doc = doc_make(step->generation, step->entries, NULL);
		if (doc)
			gh_credit_apply(credit, doc, now);
		if (step->event == 's')
			gh_credit_set_peer_generation(credit, "b",
						      step->generation, now);
		usable = gh_credit_view(credit, "e1", now).usable;
		if (step->event != 'd' && usable != step->usable)
			fail_msg("%s, step %zu: usable %u", scenario->name, i,
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
	for (i = 0; i < G_N_ELEMENTS(scenarios); i++)
		run_scenario(&scenarios[i]);
}

static gh_credit_t *new_ready_host(const char *name, const gh_document_t *doc)
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
	gh_credit_t *credit = new_ready_host("a", doc);
	gh_credit_hold_t holds[4];
	gh_time_t now = SETTLE_USEC;
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
	/* Requests not reported as done expire after REQUEST_MAX_USEC. */
	now += REQUEST_MAX_USEC - 1;
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
	gh_credit_t *a = new_ready_host("a", doc);
	gh_credit_t *b = new_ready_host("b", doc);
	gh_time_t now = SETTLE_USEC;
	gh_credit_loan_request_t request = { .executor = "e1",
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
	/* The lender keeps one slot; a repeated request for the loan lends no
	 * more. */
	assert_int_equal(gh_credit_lend(a, &request, &loan.loan_ms, now), 3);
	loan.count = gh_credit_lend(a, &request, &loan.loan_ms, now);
	assert_int_equal(loan.count, 3);
	assert_int_equal(gh_credit_view(a, "e1", now).free, 1);
	request.generation = 2;
	request.loan_id = 8;
	assert_int_equal(gh_credit_lend(a, &request, &loan.loan_ms, now), 0);
	loan.loan_ms = GH_CREDIT_LOAN_MS;
	gh_credit_record_loan(b, &loan);
	for (i = 0; i < 5; i++)
		assert_int_not_equal(gh_credit_take(b, "e1", now),
				     GH_CREDIT_NO_HOLD);
	assert_int_equal(gh_credit_view(b, "e1", now).free, 2);
	assert_int_equal(gh_credit_view(b, "e1", now + LOAN_USEC).free, 0);
	/* One of the three lent slots is in use and is not returned. */
	assert_true(gh_credit_next_return(b, true, now, &ret));
	assert_int_equal(ret.count, 2);
	assert_false(gh_credit_next_return(b, true, now, &ret));
	gh_credit_record_return(a, "b", ret.loan_id, ret.count);
	gh_credit_record_return(a, "b", ret.loan_id, ret.count);
	assert_int_equal(gh_credit_view(a, "e1", now).lent, 1);
	now += LOAN_USEC + REQUEST_MAX_USEC;
	assert_int_equal(gh_credit_view(a, "e1", now - 1).lent, 1);
	assert_int_equal(gh_credit_view(a, "e1", now).lent, 0);
	gh_credit_free(a);
	gh_credit_free(b);
	gh_document_unref(doc);
}

/* A loan past its deadline is returned once its last request has ended. */
static void test_lapsed_loans(void **state)
{
	gh_document_t *doc = doc_make(1, "a@d1 b@d1", NULL);
	gh_credit_t *b = new_ready_host("b", doc);
	gh_credit_loan_t loan = { .executor = "e1",
				  .lender = "a",
				  .generation = 1,
				  .loan_id = 7,
				  .count = 1,
				  .loan_ms = GH_CREDIT_LOAN_MS,
				  .requested_at = SETTLE_USEC };
	gh_time_t expired = SETTLE_USEC + LOAN_USEC;
	gh_credit_hold_t hold = GH_CREDIT_NO_HOLD;
	gh_credit_return_t ret;
	size_t i;

	(void)state;
	gh_credit_record_loan(b, &loan);
	for (i = 0; i < 5; i++)
		hold = gh_credit_take(b, "e1", SETTLE_USEC);
	assert_int_not_equal(hold, GH_CREDIT_NO_HOLD);
	assert_false(gh_credit_next_expired(b, expired, &ret));
	gh_credit_done(b, hold);
	assert_false(gh_credit_next_expired(b, expired - 1, &ret));
	assert_true(gh_credit_next_expired(b, expired, &ret));
	assert_int_equal(ret.loan_id, 7);
	assert_int_equal(ret.count, 1);
	assert_false(gh_credit_next_expired(b, expired, &ret));
	gh_credit_free(b);
	gh_document_unref(doc);
}

/*
 * Seeded runs: each host applies documents in its own time, heartbeats get
 * lost, processes are replaced at any time, and some requests have no known
 * end.
 */
#define HOSTS 3
#define REQUESTS 24
#define STEPS 6000
#define TICK_USEC gh_time_from_ms(20)
#define MAX_LOST_HEARTBEATS 20 /* max lost heartbeats in a row */

static const char *const host_names[HOSTS] = { "a", "b", "c" };

static const char *const layouts[] = {
	"a@d1 b@d1 c@d1",
	"a@d1 b@d1 c@d1:gone",
	"a@d1 b@d1:leaving c@d1",
	"a@d1:gone b@d1 c@d1",
};

/* Request in flight at the executor. */
typedef struct running {
	gh_time_t ends_at; /* time at which the request ends; 0: unused entry */
	size_t host;
	gh_credit_hold_t hold;
	unsigned incarnation;
} running_t;

typedef struct host {
	gh_credit_t *credit;
	unsigned incarnation;
	uint64_t generation;
	bool is_gone; /* a document marks the host gone, after the host's
			 process ended */
	unsigned lost_heartbeats[HOSTS];
} host_t;

typedef struct sim {
	host_t hosts[HOSTS];
	gh_document_t *docs[40];
	size_t n_docs;
	running_t running[REQUESTS];
	gh_time_t now;
	uint64_t seed;
	uint64_t last_loan_id;
	unsigned dispatched;
} sim_t;

static uint64_t random_below(sim_t *sim, uint64_t n)
{
	return gh_route_random(&sim->seed) % n;
}

static void replace_process(sim_t *sim, size_t i)
{
	host_t *host = &sim->hosts[i];

	gh_credit_free(host->credit);
	host->credit = gh_credit_new(host_names[i], sim->now);
	host->incarnation++;
	host->generation = 0;
}

/* Makes a host apply a later document; the host may skip generations. */
static void apply_document(sim_t *sim, size_t i)
{
	host_t *host = &sim->hosts[i];
	uint64_t behind = sim->n_docs - host->generation;

	if (!behind || host->is_gone)
		return;
	host->generation += 1 + random_below(sim, behind);
	gh_credit_apply(host->credit, sim->docs[host->generation - 1],
			sim->now);
}

static void send_heartbeat(sim_t *sim, size_t from)
{
	host_t *host = &sim->hosts[from];
	size_t to;

	for (to = 0; to < HOSTS; to++) {
		if (to == from || !host->generation || host->is_gone)
			continue;
		if (random_below(sim, 2) &&
		    host->lost_heartbeats[to]++ < MAX_LOST_HEARTBEATS)
			continue;
		host->lost_heartbeats[to] = 0;
		gh_credit_set_peer_generation(sim->hosts[to].credit,
					      host_names[from],
					      host->generation, sim->now);
	}
}

static void dispatch_request(sim_t *sim, size_t i)
{
	host_t *host = &sim->hosts[i];
	gh_credit_hold_t hold = gh_credit_take(host->credit, "e1", sim->now);
	size_t at;

	if (hold == GH_CREDIT_NO_HOLD)
		return;
	sim->dispatched++;
	for (at = 0; at < REQUESTS && sim->running[at].ends_at; at++)
		;
	assert_true(at < REQUESTS);
	sim->running[at] = (running_t){
		.ends_at = sim->now + REQUEST_MAX_USEC,
		.host = i,
		.hold = hold,
		.incarnation = host->incarnation,
	};
}

static void finish_request(sim_t *sim)
{
	running_t *running = &sim->running[random_below(sim, REQUESTS)];
	host_t *host = &sim->hosts[running->host];

	if (!running->ends_at || running->incarnation != host->incarnation)
		return;
	gh_credit_done(host->credit, running->hold);
	running->ends_at = 0;
}

static void lend_slots(sim_t *sim)
{
	size_t from = random_below(sim, HOSTS);
	size_t to = random_below(sim, HOSTS);
	gh_credit_loan_request_t request = {
		.executor = "e1",
		.borrower = host_names[to],
		.generation = sim->hosts[to].generation,
		.loan_id = ++sim->last_loan_id,
		.wanted = 1 + (unsigned)random_below(sim, 4)
	};
	gh_credit_loan_t loan = { .executor = "e1",
				  .lender = host_names[from],
				  .generation = request.generation,
				  .loan_id = request.loan_id,
				  .requested_at = sim->now };

	if (from == to)
		return;
	loan.count = gh_credit_lend(sim->hosts[from].credit, &request,
				    &loan.loan_ms, sim->now);
	if (random_below(sim, 4))
		gh_credit_record_loan(sim->hosts[to].credit, &loan);
}

static void return_loan(sim_t *sim)
{
	size_t from = random_below(sim, HOSTS);
	gh_credit_return_t ret;
	size_t to;

	if (!gh_credit_next_return(sim->hosts[from].credit,
				   random_below(sim, 2), sim->now, &ret))
		return;
	for (to = 0; to < HOSTS; to++)
		if (!strcmp(host_names[to], ret.lender) && random_below(sim, 4))
			gh_credit_record_return(sim->hosts[to].credit,
						host_names[from], ret.loan_id,
						ret.count);
}

/* Adds a document; the process of a host that the document marks gone has ended
 * before. */
static void change_document(sim_t *sim)
{
	gh_document_t *doc;
	size_t i;

	if (sim->n_docs == G_N_ELEMENTS(sim->docs))
		return;
	doc = doc_make(sim->n_docs + 1,
		       layouts[random_below(sim, G_N_ELEMENTS(layouts))], NULL);
	sim->docs[sim->n_docs++] = doc;
	for (i = 0; i < HOSTS; i++) {
		host_t *host = &sim->hosts[i];
		bool gone = doc->entries[doc_entry(doc, host_names[i])].state ==
			    GH_HOST_GONE;

		if (gone != host->is_gone)
			replace_process(sim, i);
		host->is_gone = gone;
	}
}

static void check_slot_sum(sim_t *sim, uint64_t seed)
{
	unsigned sum = 0;
	size_t i;

	for (i = 0; i < REQUESTS; i++) {
		running_t *running = &sim->running[i];

		if (running->ends_at && running->ends_at <= sim->now)
			running->ends_at = 0;
		if (running->ends_at)
			sum++;
	}
	if (sum > SLOTS)
		fail_msg("seed %d: %u requests at once", (int)seed, sum);
}

static unsigned run_seed(uint64_t seed)
{
	sim_t sim = { .seed = seed };
	size_t step;
	size_t i;

	for (i = 0; i < HOSTS; i++)
		replace_process(&sim, i);
	change_document(&sim);
	for (step = 0; step < STEPS; step++) {
		size_t host = random_below(&sim, HOSTS);

		sim.now += random_below(&sim, 2) * TICK_USEC;
		dispatch_request(&sim, host);
		dispatch_request(&sim, host);
		finish_request(&sim);
		if (!random_below(&sim, 4))
			lend_slots(&sim);
		if (!random_below(&sim, 6))
			return_loan(&sim);
		if (!random_below(&sim, 3))
			send_heartbeat(&sim, random_below(&sim, HOSTS));
		if (!random_below(&sim, 20) || !sim.hosts[host].generation)
			apply_document(&sim, host);
		if (!random_below(&sim, 800))
			change_document(&sim);
		if (!random_below(&sim, 1000))
			replace_process(&sim, host);
		check_slot_sum(&sim, seed);
	}
	for (i = 0; i < HOSTS; i++)
		gh_credit_free(sim.hosts[i].credit);
	for (i = 0; i < sim.n_docs; i++)
		gh_document_unref(sim.docs[i]);
	return sim.dispatched;
}

static void test_sum_stays_within_slots(void **state)
{
	unsigned dispatched = 0;
	uint64_t seed;

	(void)state;
	for (seed = 1; seed <= 300; seed++)
		dispatched += run_seed(seed);
	/* Enough requests were dispatched for the check to be meaningful. */
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
