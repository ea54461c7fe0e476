/*
 * Claims: the table, the two verdicts, and seeded interleavings of attempts
 * at different hosts with lost messages and replaced hosts.
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
#define WINDOW gh_time_from_ms(WINDOW_MS)
#define OLD (-10 * WINDOW) /* start of a process that remembers all */

static const gh_claim_status_t status_of[128] = {
	['g'] = GH_CLAIM_GRANTED,   ['h'] = GH_CLAIM_HELD,
	['f'] = GH_CLAIM_FORGOTTEN, ['u'] = GH_CLAIM_FULL,
	['s'] = GH_CLAIM_STALE,
};

/*
 * A verdict at the first entry host.  answers holds a letter per entry host:
 * g(ranted), h(eld), f(orgotten), u (full), s(tale), or '-' for none.
 */
typedef struct verdict_case {
	const char *entries;
	const char *answers;
	bool may_run;
	gh_error_kind_t refusal;
} verdict_case_t;

static const verdict_case_t first_cases[] = {
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
	/* No other host of the domain: a majority of all hosts does. */
	{ "a@d1 b@d1 c@d2 d@d2", "g-gg", true, 0 },
	{ "a@d1 b@d1 c@d2 d@d2", "f-gg", false, GH_E_CLAIM_NO_PEER },
	/* A replaced host may have forgotten a repeat that overtook. */
	{ "a@d1 b@d1 c@d2 d@d2", "gf--", false, GH_E_CLAIM_NO_PEER },
	{ "a@d1 b@d1 c@d2 d@d2", "gffg", false, GH_E_CLAIM_NO_PEER },
	{ "a@d1 b@d1 c@d2 d@d2", "gfgg", true, 0 },
	{ "a@d1 b@d1 c@d2 d@d2", "ffgg", false, GH_E_CLAIM_NO_PEER },
	{ "a@d1 b@d1 c@d2 d@d2", "g-g-", false, GH_E_CLAIM_NO_PEER },
	{ "a@d1 b@d1 c@d2 d@d2", "g-gu", false, GH_E_CLAIM_NO_PEER },
	{ "a@d1 b@d1 c@d2 d@d2", "g-gh", false, GH_E_DUPLICATE },
};

static const verdict_case_t repeat_cases[] = {
	{ "a@d1 b@d1 c@d2 d@d2", "gggg", true, 0 },
	{ "a@d1 b@d1 c@d2 d@d2", "ggg-", true, 0 },
	{ "a@d1 b@d1 c@d2 d@d2", "g-gg", true, 0 },
	/* Half of the hosts, which another attempt's half may miss. */
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

static void check_case(const verdict_case_t *c, bool first)
{
	gh_document_t *doc = doc_make(1, c->entries, NULL);
	gh_claim_reply_t answers[8] = { 0 };
	gh_error_kind_t refusal = GH_E_COUNT;
	gh_handle_t self = doc_entry(doc, "a");
	gh_claim_status_t own = status_of[(int)c->answers[0]];
	size_t n = strlen(c->answers) - 1;
	bool may;
	size_t i;

	for (i = 0; i < n; i++) {
		char name[] = { (char)('b' + i), '\0' };
		unsigned char letter = (unsigned char)c->answers[i + 1];

		answers[i].entry = doc_entry(doc, name);
		answers[i].replied = letter != '-';
		answers[i].status = status_of[letter];
	}
	may = first ? gh_claim_first_may_run(doc, self, own, answers, n,
					     &refusal) :
		      gh_claim_repeat_may_run(doc, self, own, answers, n,
					      &refusal);
	if (may != c->may_run || (!may && refusal != c->refusal))
		fail_msg("%s %s: may %d, refusal %d", c->entries, c->answers,
			 may, (int)refusal);
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

static gh_claim_request_t ask_for(uint8_t key, uint64_t attempt)
{
	gh_claim_request_t ask = {
		.attempt_id = attempt,
		.holder = "a",
		.generation = 1,
		.window_ms = WINDOW_MS,
	};

	ask.key.bytes[0] = key;
	return ask;
}

static gh_claim_table_t *new_table(gh_time_t started, size_t max)
{
	gh_claim_table_t *table = gh_claim_new(started);

	gh_claim_set_policy(table, max, WINDOW_MS, started);
	return table;
}

/* One step on a table of two claims; time in milliseconds. */
typedef struct table_step {
	int64_t at;
	uint64_t attempt;
	gh_claim_status_t status;
	char what; /* t(ake) or r(elease) */
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
		gh_claim_request_t ask = ask_for(step->key, step->attempt);

		if (step->what == 'r')
			gh_claim_release(table, &ask.key, step->attempt);
		else if (gh_claim_take(table, &ask, gh_time_from_ms(step->at),
				       NULL) != step->status)
			fail_msg("step %zu", i);
	}
	assert_int_equal(gh_claim_count(table, gh_time_from_ms(1500)), 2);
	gh_claim_free(table);
}

static void test_longer_window_is_not_known_at_once(void **state)
{
	gh_claim_table_t *table = new_table(OLD, 10);
	gh_claim_request_t ask = ask_for(1, 1);

	(void)state;
	ask.window_ms = 2 * WINDOW_MS;
	gh_claim_set_policy(table, 10, 2 * WINDOW_MS, 0);
	assert_int_equal(gh_claim_take(table, &ask, 0, NULL),
			 GH_CLAIM_FORGOTTEN);
	assert_int_equal(gh_claim_take(table, &ask, WINDOW, NULL),
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
		gh_claim_table_t *table = new_table(OLD, 10);
		gh_claim_request_t ask = ask_for(1, 1);

		ask.generation = serve_cases[i].generation;
		ask.holder = serve_cases[i].holder;
		assert_int_equal(
			gh_claim_take_for_peer(table, doc, &ask, 0, NULL),
			serve_cases[i].status);
		gh_claim_free(table);
	}
	gh_document_unref(doc);
}

/*
 * Interleavings: attempt 0 of one key at one host, repeats of it at others.
 * Any question or its answer may be lost, any host replaced at any time, and
 * the hosts cut into two sides.
 */
#define HOSTS 5
#define ATTEMPTS 3

typedef struct attempt {
	uint64_t id;
	gh_handle_t host;
	bool first;
	bool begun;
	bool ended;
	gh_claim_status_t own;
	gh_handle_t others[HOSTS];
	size_t n_others;
	size_t asked;
	gh_claim_reply_t answers[HOSTS];
	gh_time_t start;
} attempt_t;

typedef struct world {
	gh_document_t *doc;
	gh_claim_table_t *tables[HOSTS];
	attempt_t attempts[ATTEMPTS];
	gh_time_t now;
	uint64_t seed;
	uint64_t side; /* hosts on one side of a cut, as bits */
	bool lossy;
	int runs;
} world_t;

static bool chance(world_t *world, unsigned percent)
{
	return world->lossy && gh_route_random(&world->seed) % 100 < percent;
}

static bool is_cut(const world_t *world, size_t a, size_t b)
{
	return (world->side >> a & 1) != (world->side >> b & 1);
}

static gh_claim_status_t take_at(world_t *world, size_t host, uint64_t id)
{
	gh_claim_request_t ask = ask_for(1, id);

	if (world->attempts[id - 1].first)
		ask.window_ms = WINDOW_MS / 2;
	return gh_claim_take(world->tables[host], &ask, world->now, NULL);
}

static void end_attempt(world_t *world, attempt_t *attempt, bool run)
{
	gh_claim_request_t ask = ask_for(1, attempt->id);
	size_t i;

	attempt->ended = true;
	if (run) {
		world->runs++;
		return;
	}
	for (i = 0; i < world->doc->n_entries; i++)
		if (i == attempt->host || !chance(world, 30))
			gh_claim_release(world->tables[i], &ask.key,
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

static void begin_attempt(world_t *world, attempt_t *attempt)
{
	gh_handle_t all[HOSTS];
	size_t n;
	size_t i;

	attempt->begun = true;
	attempt->own = take_at(world, attempt->host, attempt->id);
	if (attempt->first)
		attempt->n_others = gh_claim_second_hosts(
			world->doc, attempt->host, attempt->others);
	n = gh_claim_other_hosts(world->doc, attempt->host, all);
	for (i = 0; i < n; i++)
		if (!is_asked(attempt, all[i]))
			attempt->others[attempt->n_others++] = all[i];
	if (attempt->own == GH_CLAIM_HELD)
		end_attempt(world, attempt, false);
}

static void ask_next(world_t *world, attempt_t *attempt)
{
	gh_claim_reply_t *answer = &attempt->answers[attempt->asked];
	gh_handle_t host = attempt->others[attempt->asked++];
	gh_claim_status_t status;

	answer->entry = host;
	if (chance(world, 10) || is_cut(world, attempt->host, host))
		return;
	status = take_at(world, host, attempt->id);
	if (chance(world, 10))
		return;
	answer->replied = true;
	answer->status = status;
}

static void step_attempt(world_t *world, attempt_t *attempt)
{
	gh_error_kind_t refusal;
	bool may;

	if (attempt->ended || world->now < attempt->start)
		return;
	if (!attempt->begun) {
		begin_attempt(world, attempt);
		return;
	}
	if (attempt->first) {
		may = gh_claim_first_may_run(world->doc, attempt->host,
					     attempt->own, attempt->answers,
					     attempt->asked, &refusal);
		if (may || refusal == GH_E_DUPLICATE ||
		    attempt->asked == attempt->n_others)
			end_attempt(world, attempt, may);
		else
			ask_next(world, attempt);
		return;
	}
	if (attempt->asked < attempt->n_others) {
		ask_next(world, attempt);
		return;
	}
	may = gh_claim_repeat_may_run(world->doc, attempt->host, attempt->own,
				      attempt->answers, attempt->asked,
				      &refusal);
	end_attempt(world, attempt, may);
}

/* What was sent to the replaced process ends with its connections. */
static void replace_host(world_t *world, size_t host)
{
	size_t i;

	gh_claim_free(world->tables[host]);
	world->tables[host] = new_table(world->now, 100);
	for (i = 0; i < ATTEMPTS; i++)
		if (world->attempts[i].host == host &&
		    world->now >= world->attempts[i].start)
			world->attempts[i].ended = true;
}

static bool all_ended(const world_t *world)
{
	size_t i;

	for (i = 0; i < ATTEMPTS; i++)
		if (!world->attempts[i].ended)
			return false;
	return true;
}

/* Runs one seed; returns how often the request ran. */
static int play(gh_document_t *doc, uint64_t seed, bool lossy)
{
	world_t world = { .doc = doc, .seed = seed, .lossy = lossy };
	size_t i;

	for (i = 0; i < doc->n_entries; i++)
		world.tables[i] = new_table(OLD, 100);
	for (i = 0; i < ATTEMPTS; i++) {
		attempt_t *attempt = &world.attempts[i];

		attempt->id = i + 1;
		attempt->first = i == 0;
		attempt->host = (gh_handle_t)(gh_route_random(&world.seed) %
					      doc->n_entries);
		attempt->start =
			(gh_time_t)(gh_route_random(&world.seed) % 10) *
			(gh_time_t)i * WINDOW / 20;
	}
	while (!all_ended(&world)) {
		size_t pick = gh_route_random(&world.seed) % ATTEMPTS;

		step_attempt(&world, &world.attempts[pick]);
		if (chance(&world, 4))
			replace_host(&world, gh_route_random(&world.seed) %
						     doc->n_entries);
		if (chance(&world, 5))
			world.side = gh_route_random(&world.seed);
		if (chance(&world, 5))
			world.side = 0;
		world.now += WINDOW / 500;
	}
	for (i = 0; i < doc->n_entries; i++)
		gh_claim_free(world.tables[i]);
	return world.runs;
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
		uint64_t ran = 0;

		for (seed = 1; seed <= 20000; seed++) {
			int runs = play(doc, seed, true);

			if (runs > 1)
				fail_msg("%s, seed %d: ran %d times",
					 layouts[i], (int)seed, runs);
			ran += (uint64_t)runs;
		}
		assert_true(ran > 5000);
		gh_document_unref(doc);
	}
}

/* Without faults the first to arrive, or a later one, does run. */
static void test_faultless_interleavings_run(void **state)
{
	gh_document_t *doc = doc_make(1, "a@d1 b@d1 c@d1 d@d2 e@d3", NULL);
	uint64_t ran = 0;
	uint64_t seed;

	(void)state;
	for (seed = 1; seed <= 2000; seed++)
		ran += (uint64_t)play(doc, seed, false);
	assert_in_range(ran, 1500, 2000);
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
