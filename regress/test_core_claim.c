/*
 * Tests of claims: the table, the decisions whether a first submission or a
 * repeat may run, and seeded interleavings of attempts at several hosts with
 * lost messages, partitions and replaced hosts.
 */
#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <cmocka.h>
#include <string.h>

#include "core_claim.h"
#include "core_route.h"
#include "doc.h"

#define WINDOW_MS 1000
#define WINDOW_USEC gh_time_from_ms(WINDOW_MS)
/* Time at which the claim table starts, more than a claim window ago. */
#define LONG_AGO (-10 * WINDOW_USEC)

static const gh_claim_status_t status_by_letter[128] = {
	['g'] = GH_CLAIM_GRANTED,   ['h'] = GH_CLAIM_HELD,
	['f'] = GH_CLAIM_FORGOTTEN, ['u'] = GH_CLAIM_FULL,
	['s'] = GH_CLAIM_STALE,
};

/*
 * Claim decision at entry host a.  replies has a letter per entry host, the
 * first one for host a's own table: g(ranted), h(eld), f(orgotten), u (full),
 * s(tale), or '-' for no reply.
 */
typedef struct decision_case {
	const char *entries;
	const char *replies;
	bool may_run;
	gh_error_kind_t refusal;
} decision_case_t;

static const decision_case_t first_cases[] = {
	{ "a@d1 b@d1", "gg", true, 0 },
	{ "a@d1 b@d1", "gf", false, GH_E_CLAIM_NO_PEER },
	{ "a@d1 b@d1", "fg", true, 0 },
	{ "a@d1 b@d1", "g-", false, GH_E_CLAIM_NO_PEER },
	{ "a@d1 b@d1", "gu", false, GH_E_CLAIM_NO_PEER },
	{ "a@d1 b@d1", "gs", false, GH_E_CLAIM_NO_PEER },
	{ "a@d1 b@d1", "gh", false, GH_E_DUPLICATE },
	{ "a@d1 b@d1", "hg", false, GH_E_DUPLICATE },
	{ "a@d1 b@d1", "ug", false, GH_E_CLAIM_FULL },
	{ "a@d1 b@d1 c@d1", "g-g", true, 0 },
	{ "a@d1 b@d1 c@d1", "ghg", false, GH_E_DUPLICATE },
	{ "a@d1 b@d2", "g-", true, 0 },
	{ "a@d1 b@d1:gone c@d2", "g--", true, 0 },
	{ "a@d1 b@d1:leaving", "g-", false, GH_E_CLAIM_NO_PEER },
	/* If no other host of the own domain grants the claim, a majority of
	 * all hosts is enough. */
	{ "a@d1 b@d1 c@d2 d@d2", "g-gg", true, 0 },
	{ "a@d1 b@d1 c@d2 d@d2", "f-gg", false, GH_E_CLAIM_NO_PEER },
	/* Host b was replaced (f) and may have forgotten an earlier repeat. */
	{ "a@d1 b@d1 c@d2 d@d2", "gf--", false, GH_E_CLAIM_NO_PEER },
	{ "a@d1 b@d1 c@d2 d@d2", "gffg", false, GH_E_CLAIM_NO_PEER },
	{ "a@d1 b@d1 c@d2 d@d2", "gfgg", true, 0 },
	{ "a@d1 b@d1 c@d2 d@d2", "ffgg", false, GH_E_CLAIM_NO_PEER },
	{ "a@d1 b@d1 c@d2 d@d2", "g-g-", false, GH_E_CLAIM_NO_PEER },
	{ "a@d1 b@d1 c@d2 d@d2", "g-gu", false, GH_E_CLAIM_NO_PEER },
	{ "a@d1 b@d1 c@d2 d@d2", "g-gh", false, GH_E_DUPLICATE },
};

static const decision_case_t repeat_cases[] = {
	{ "a@d1 b@d1 c@d2 d@d2", "gggg", true, 0 },
	{ "a@d1 b@d1 c@d2 d@d2", "ggg-", true, 0 },
	{ "a@d1 b@d1 c@d2 d@d2", "g-gg", true, 0 },
	/* Grants of half of the hosts are not enough: another attempt may get
	 * those of the other half. */
	{ "a@d1 b@d1 c@d2 d@d2", "g-g-", false, GH_E_CLAIM_UNKNOWN },
	{ "a@d1 b@d1 c@d2 d@d2", "g-gf", false, GH_E_CLAIM_UNKNOWN },
	{ "a@d1 b@d1 c@d2 d@d2", "gg--", false, GH_E_CLAIM_UNKNOWN },
	{ "a@d1 b@d1 c@d2 d@d2", "ggf-", false, GH_E_CLAIM_UNKNOWN },
	{ "a@d1 b@d1 c@d2 d@d2", "ggfg", true, 0 },
	{ "a@d1 b@d1 c@d2 d@d2", "fggg", true, 0 },
	{ "a@d1 b@d1 c@d2 d@d2", "f-gg", false, GH_E_CLAIM_UNKNOWN },
	{ "a@d1 b@d1 c@d2 d@d2", "gghg", false, GH_E_DUPLICATE },
	{ "a@d1 b@d1 c@d2 d@d2", "hggg", false, GH_E_DUPLICATE },
	{ "a@d1 b@d1 c@d2 d@d2", "gggs", false, GH_E_CLAIM_UNKNOWN },
	{ "a@d1 b@d1 c@d2 d@d2", "uggg", false, GH_E_CLAIM_FULL },
	{ "a@d1 b@d1 c@d2 d@d2", "ggug", true, 0 },
	{ "a@d1 b@d1 c@d2 d@d2", "ggu-", false, GH_E_CLAIM_UNKNOWN },
	{ "a@d1 b@d1 c@d2", "gg-", false, GH_E_CLAIM_UNKNOWN },
	{ "a@d1 b@d1 c@d2", "ggf", false, GH_E_CLAIM_UNKNOWN },
	{ "a@d1", "g", true, 0 },
	{ "a@d1", "f", false, GH_E_CLAIM_UNKNOWN },
	{ "a@d1 b@d1 c@d1:gone", "gg-", true, 0 },
	{ "a@d1 b@d1 c@d1:gone", "g--", false, GH_E_CLAIM_UNKNOWN },
	{ "a@d1 b@d1 c@d2 d@d2 e@d2", "ggg-g", true, 0 },
	{ "a@d1 b@d1 c@d2 d@d2 e@d2", "ggg--", false, GH_E_CLAIM_UNKNOWN },
};

static void check_case(const decision_case_t *c, bool first)
{
	gh_document_t *doc = doc_make(1, c->entries, NULL);
	gh_claim_reply_t replies[8] = { 0 };
	gh_error_kind_t refusal = GH_E_COUNT;
	gh_handle_t self = doc_entry(doc, "a");
	gh_claim_status_t own_status = status_by_letter[(int)c->replies[0]];
	size_t n = strlen(c->replies) - 1;
	bool may_run;
	size_t i;

	for (i = 0; i < n; i++) {
		char name[] = { (char)('b' + i), '\0' };
		unsigned char letter = (unsigned char)c->replies[i + 1];

		replies[i].entry = doc_entry(doc, name);
		replies[i].replied = letter != '-';
		replies[i].status = status_by_letter[letter];
	}
	may_run = first ? gh_claim_first_may_run(doc, self, own_status, replies,
						 n, &refusal) :
			  gh_claim_repeat_may_run(doc, self, own_status,
						  replies, n, &refusal);
	if (may_run != c->may_run || (!may_run && refusal != c->refusal))
		fail_msg("%s %s: may run %d, refusal %d", c->entries,
			 c->replies, may_run, (int)refusal);
	gh_document_unref(doc);
}

static void test_first_verdicts(void **state)
{
	size_t i;

	(void)state;
	for (i = 0; i < G_N_ELEMENTS(first_cases); i++)
		check_case(&first_cases[i], true);
}

static void test_repeat_verdicts(void **state)
{
	size_t i;

	(void)state;
	for (i = 0; i < G_N_ELEMENTS(repeat_cases); i++)
		check_case(&repeat_cases[i], false);
}

static gh_claim_request_t make_request(uint8_t key, uint64_t attempt)
{
	gh_claim_request_t request = {
		.attempt_id = attempt,
		.holder = "a",
		.generation = 1,
		.window_ms = WINDOW_MS,
	};

	request.key.bytes[0] = key;
	return request;
}

static gh_claim_table_t *new_table(gh_time_t started, size_t max)
{
	gh_claim_table_t *table = gh_claim_new(started);

	gh_claim_set_policy(table, max, WINDOW_MS, started);
	return table;
}

/* One step on a claim table with a maximum of two claims. */
typedef struct table_step {
	int64_t at_ms;
	uint64_t attempt;
	gh_claim_status_t status;
	char event; /* t: take a claim, r: release it */
	uint8_t key;
} table_step_t;

static const table_step_t table_steps[] = {
	{ 0, 10, GH_CLAIM_FORGOTTEN, 't', 1 },
	{ 10, 11, GH_CLAIM_HELD, 't', 1 },
	{ 10, 10, GH_CLAIM_FORGOTTEN, 't', 1 },
	{ 10, 11, GH_CLAIM_GRANTED, 'r', 1 },
	{ 20, 11, GH_CLAIM_HELD, 't', 1 },
	{ 20, 10, GH_CLAIM_GRANTED, 'r', 1 },
	{ 30, 11, GH_CLAIM_FORGOTTEN, 't', 1 },
	{ 500, 20, GH_CLAIM_FORGOTTEN, 't', 2 },
	{ 600, 30, GH_CLAIM_FULL, 't', 3 },
	{ 1029, 12, GH_CLAIM_HELD, 't', 1 },
	{ 1030, 12, GH_CLAIM_GRANTED, 't', 1 },
	{ 1499, 30, GH_CLAIM_FULL, 't', 3 },
	{ 1500, 30, GH_CLAIM_GRANTED, 't', 3 },
};

static void test_table(void **state)
{
	gh_claim_table_t *table = new_table(0, 2);
	size_t i;

	(void)state;
	for (i = 0; i < G_N_ELEMENTS(table_steps); i++) {
		const table_step_t *step = &table_steps[i];
		gh_claim_request_t request =
			make_request(step->key, step->attempt);

		if (step->event == 'r')
			gh_claim_release(table, &request.key, step->attempt);
		else if (gh_claim_take(table, &request,
				       gh_time_from_ms(step->at_ms),
				       NULL) != step->status)
			fail_msg("step %zu", i);
	}
	assert_int_equal(gh_claim_count(table, gh_time_from_ms(1500)), 2);
	gh_claim_free(table);
}

static void test_longer_window_is_not_known_at_once(void **state)
{
	gh_claim_table_t *table = new_table(LONG_AGO, 10);
	gh_claim_request_t request = make_request(1, 1);

	(void)state;
	request.window_ms = 2 * WINDOW_MS;
	gh_claim_set_policy(table, 10, 2 * WINDOW_MS, 0);
	assert_int_equal(gh_claim_take(table, &request, 0, NULL),
			 GH_CLAIM_FORGOTTEN);
	assert_int_equal(gh_claim_take(table, &request, WINDOW_USEC, NULL),
			 GH_CLAIM_GRANTED);
	gh_claim_free(table);
}

typedef struct serve_case {
	uint64_t generation;
	const char *holder;
	gh_claim_status_t status;
} serve_case_t;

static const serve_case_t serve_cases[] = {
	{ 4, "a", GH_CLAIM_STALE },   { 5, "a", GH_CLAIM_GRANTED },
	{ 6, "z", GH_CLAIM_GRANTED }, { 5, "g", GH_CLAIM_STALE },
	{ 5, "z", GH_CLAIM_STALE },
};

static void test_serve(void **state)
{
	gh_document_t *doc = doc_make(5, "a@d1 b@d1 g@d1:gone", NULL);
	size_t i;

	(void)state;
	for (i = 0; i < G_N_ELEMENTS(serve_cases); i++) {
		gh_claim_table_t *table = new_table(LONG_AGO, 10);
		gh_claim_request_t request = make_request(1, 1);

		request.generation = serve_cases[i].generation;
		request.holder = serve_cases[i].holder;
		assert_int_equal(
			gh_claim_take_for_peer(table, doc, &request, 0, NULL),
			serve_cases[i].status);
		gh_claim_free(table);
	}
	gh_document_unref(doc);
}

/*
 * Interleavings of a first submission at one host with repeats of it at any
 * hosts.  Each request or reply may be lost, each host may be replaced at any
 * time, and the hosts may be partitioned into two sides.
 */
#define HOSTS 5
#define ATTEMPTS 3

typedef struct attempt {
	uint64_t id;
	gh_handle_t host;
	bool first;
	bool begun;
	bool ended;
	gh_claim_status_t own_status;
	gh_handle_t others[HOSTS];
	size_t n_others;
	size_t n_asked;
	gh_claim_reply_t replies[HOSTS];
	gh_time_t start_at;
} attempt_t;

typedef struct sim {
	gh_document_t *doc;
	gh_claim_table_t *tables[HOSTS];
	attempt_t attempts[ATTEMPTS];
	gh_time_t now;
	uint64_t seed;
	uint64_t partition; /* bit set of the hosts on one side of the partition
			     */
	bool with_faults;
	int run_count;
} sim_t;

static bool fault_occurs(sim_t *sim, unsigned percent)
{
	return sim->with_faults && gh_route_random(&sim->seed) % 100 < percent;
}

static bool is_partitioned(const sim_t *sim, size_t a, size_t b)
{
	return (sim->partition >> a & 1) != (sim->partition >> b & 1);
}

static gh_claim_status_t take_claim_at(sim_t *sim, size_t host, uint64_t id)
{
	gh_claim_request_t request = make_request(1, id);

	if (sim->attempts[id - 1].first)
		request.window_ms = WINDOW_MS / 2;
	return gh_claim_take(sim->tables[host], &request, sim->now, NULL);
}

static void end_attempt(sim_t *sim, attempt_t *attempt, bool run)
{
	gh_claim_request_t request = make_request(1, attempt->id);
	size_t i;

	attempt->ended = true;
	if (run) {
		sim->run_count++;
		return;
	}
	for (i = 0; i < sim->doc->n_entries; i++)
		if (i == attempt->host || !fault_occurs(sim, 30))
			gh_claim_release(sim->tables[i], &request.key,
					 attempt->id);
}

static bool is_asked(const attempt_t *attempt, gh_handle_t host)
{
	size_t i;

	for (i = 0; i < attempt->n_others; i++)
		if (attempt->others[i] == host)
			return true;
	return false;
}

static void begin_attempt(sim_t *sim, attempt_t *attempt)
{
	gh_handle_t all[HOSTS];
	size_t n;
	size_t i;

	attempt->begun = true;
	attempt->own_status = take_claim_at(sim, attempt->host, attempt->id);
	if (attempt->first)
		attempt->n_others = gh_claim_second_hosts(
			sim->doc, attempt->host, attempt->others);
	n = gh_claim_other_hosts(sim->doc, attempt->host, all);
	for (i = 0; i < n; i++)
		if (!is_asked(attempt, all[i]))
			attempt->others[attempt->n_others++] = all[i];
	if (attempt->own_status == GH_CLAIM_HELD)
		end_attempt(sim, attempt, false);
}

static void ask_next_host(sim_t *sim, attempt_t *attempt)
{
	gh_claim_reply_t *reply = &attempt->replies[attempt->n_asked];
	gh_handle_t host = attempt->others[attempt->n_asked++];
	gh_claim_status_t status;

	reply->entry = host;
	if (fault_occurs(sim, 10) || is_partitioned(sim, attempt->host, host))
		return;
	status = take_claim_at(sim, host, attempt->id);
	if (fault_occurs(sim, 10))
		return;
	reply->replied = true;
	reply->status = status;
}

static void step_attempt(sim_t *sim, attempt_t *attempt)
{
	gh_error_kind_t refusal;
	bool may_run;

	if (attempt->ended || sim->now < attempt->start_at)
		return;
	if (!attempt->begun) {
		begin_attempt(sim, attempt);
		return;
	}
	if (attempt->first) {
		may_run = gh_claim_first_may_run(
			sim->doc, attempt->host, attempt->own_status,
			attempt->replies, attempt->n_asked, &refusal);
		if (may_run || refusal == GH_E_DUPLICATE ||
		    attempt->n_asked == attempt->n_others)
			end_attempt(sim, attempt, may_run);
		else
			ask_next_host(sim, attempt);
		return;
	}
	if (attempt->n_asked < attempt->n_others) {
		ask_next_host(sim, attempt);
		return;
	}
	may_run = gh_claim_repeat_may_run(sim->doc, attempt->host,
					  attempt->own_status, attempt->replies,
					  attempt->n_asked, &refusal);
	end_attempt(sim, attempt, may_run);
}

/* Replaces a host's process; its requests in flight end with its connections.
 */
static void replace_host(sim_t *sim, size_t host)
{
	size_t i;

	gh_claim_free(sim->tables[host]);
	sim->tables[host] = new_table(sim->now, 100);
	for (i = 0; i < ATTEMPTS; i++)
		if (sim->attempts[i].host == host &&
		    sim->now >= sim->attempts[i].start_at)
			sim->attempts[i].ended = true;
}

static bool all_ended(const sim_t *sim)
{
	size_t i;

	for (i = 0; i < ATTEMPTS; i++)
		if (!sim->attempts[i].ended)
			return false;
	return true;
}

/* Returns how often the request ran with this seed. */
static int run_seed(gh_document_t *doc, uint64_t seed, bool with_faults)
{
	sim_t sim = { .doc = doc, .seed = seed, .with_faults = with_faults };
	size_t i;

	for (i = 0; i < doc->n_entries; i++)
		sim.tables[i] = new_table(LONG_AGO, 100);
	for (i = 0; i < ATTEMPTS; i++) {
		attempt_t *attempt = &sim.attempts[i];

		attempt->id = i + 1;
		attempt->first = i == 0;
		attempt->host = (gh_handle_t)(gh_route_random(&sim.seed) %
					      doc->n_entries);
		attempt->start_at =
			(gh_time_t)(gh_route_random(&sim.seed) % 10) *
			(gh_time_t)i * WINDOW_USEC / 20;
	}
	while (!all_ended(&sim)) {
		size_t pick = gh_route_random(&sim.seed) % ATTEMPTS;

		step_attempt(&sim, &sim.attempts[pick]);
		if (fault_occurs(&sim, 4))
			replace_host(&sim, gh_route_random(&sim.seed) %
						   doc->n_entries);
		if (fault_occurs(&sim, 5))
			sim.partition = gh_route_random(&sim.seed);
		if (fault_occurs(&sim, 5))
			sim.partition = 0;
		sim.now += WINDOW_USEC / 500;
	}
	for (i = 0; i < doc->n_entries; i++)
		gh_claim_free(sim.tables[i]);
	return sim.run_count;
}

static const char *const layouts[] = {
	"a@d1 b@d1 c@d1 d@d2 e@d3",
	"a@d1 b@d1 c@d2 d@d2",
	"a@d1 b@d1 c@d1",
	"a@d1 b@d2",
};

static void test_interleavings_run_at_most_once(void **state)
{
	uint64_t seed;
	size_t i;

	(void)state;
	for (i = 0; i < G_N_ELEMENTS(layouts); i++) {
		gh_document_t *doc = doc_make(1, layouts[i], NULL);
		uint64_t total_runs = 0;

		for (seed = 1; seed <= 20000; seed++) {
			int runs = run_seed(doc, seed, true);

			if (runs > 1)
				fail_msg("%s, seed %d: ran %d times",
					 layouts[i], (int)seed, runs);
			total_runs += (uint64_t)runs;
		}
		assert_true(total_runs > 5000);
		gh_document_unref(doc);
	}
}

/* Without faults, one of the attempts runs in most cases. */
static void test_faultless_interleavings_run(void **state)
{
	gh_document_t *doc = doc_make(1, "a@d1 b@d1 c@d1 d@d2 e@d3", NULL);
	uint64_t total_runs = 0;
	uint64_t seed;

	(void)state;
	for (seed = 1; seed <= 2000; seed++)
		total_runs += (uint64_t)run_seed(doc, seed, false);
	assert_in_range(total_runs, 1500, 2000);
	gh_document_unref(doc);
}

int main(void)
{
	const struct CMUnitTest tests[] = {
		cmocka_unit_test(test_first_verdicts),
		cmocka_unit_test(test_repeat_verdicts),
		cmocka_unit_test(test_table),
		cmocka_unit_test(test_longer_window_is_not_known_at_once),
		cmocka_unit_test(test_serve),
		cmocka_unit_test(test_interleavings_run_at_most_once),
		cmocka_unit_test(test_faultless_interleavings_run),
	};

	return cmocka_run_group_tests_name("core_claim", tests, NULL, NULL);
}
