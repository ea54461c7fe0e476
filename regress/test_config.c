/*
 * Tests of how documents are accepted and propagated to all hosts.  The hosts
 * run in this process, each at its own loopback address, and use the fake
 * store.
 */
#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <cmocka.h>
#include <inttypes.h>
#include <string.h>
#include <unistd.h>

#include "clock.h"
#include "config_private.h"
#include "core_stamp.h"
#include "counter.h"
#include "error.h"
#include "peer.h"
#include "proc.h"

#define HOSTS 3
#define ALL_HOSTS 7u /* bit set of all hosts */

typedef struct host {
	settings_t settings;
	node_t node;
	bool running;
} host_t;

typedef struct fixture {
	char *block; /* prefix of the loopback addresses, "127.A.B." */
	int block_lock;
	char *store_address;
	proc_t store;
	host_t hosts[HOSTS];
} fixture_t;

/* Stamps: the first line of a document. */

typedef struct stamp_case {
	const char *text;
	uint64_t generation; /* generation in the stamp; 0: no valid stamp */
	const char *body;    /* text after the stamp; NULL: the whole text */
} stamp_case_t;

static const stamp_case_t stamp_cases[] = {
	{ "# generation=12 writer=a-1 sequence=3\n[policy]\n", 12,
	  "[policy]\n" },
	{ "# generation=12 writer=a-1 sequence=3", 12, "" },
	{ "[policy]\n", 0, "[policy]\n" },
	{ "", 0, "" },
	{ "# generation= writer=a-1 sequence=3\n", 0, NULL },
	{ "# generation=-1 writer=a-1 sequence=3\n", 0, NULL },
	{ "# generation=1 writer=A sequence=3\n", 0, NULL },
	{ "# generation=1 writer=a-1 sequence=3x\n", 0, NULL },
	{ "# generation=99999999999999999999 writer=a-1 sequence=3\n", 0,
	  NULL },
};

static void test_stamps(void **state)
{
	size_t i;

	(void)state;
	for (i = 0; i < G_N_ELEMENTS(stamp_cases); i++) {
		const stamp_case_t *expected = &stamp_cases[i];
		gh_stamp_t stamp;
		bool valid = gh_stamp_parse(expected->text, &stamp);

		print_message("%s\n", expected->text);
		assert_int_equal(valid, expected->generation != 0);
		if (valid)
			assert_int_equal(stamp.generation,
					 expected->generation);
		assert_string_equal(gh_stamp_body(expected->text),
				    expected->body ? expected->body :
						     expected->text);
	}
}

static void test_next_generation(void **state)
{
	(void)state;
	assert_int_equal(gh_stamp_next_generation(0, 5000), 5);
	assert_int_equal(gh_stamp_next_generation(4, 5000), 5);
	assert_int_equal(gh_stamp_next_generation(5, 5000), 6);
	assert_int_equal(gh_stamp_next_generation(900, 5000), 901);
	assert_int_equal(gh_stamp_next_generation(900, -5000), 901);
}

/* Hosts. */

static char *make_document_for_hosts(const fixture_t *fix, unsigned hosts,
				     int weight, int expected_ms);

static char *make_document(const fixture_t *fix, int weight, int expected_ms)
{
	return make_document_for_hosts(fix, ALL_HOSTS, weight, expected_ms);
}

static char *make_document_for_hosts(const fixture_t *fix, unsigned hosts,
				     int weight, int expected_ms)
{
	GString *text = g_string_new(NULL);
	int i;

	g_string_append_printf(text,
			       "[policy]\nheartbeat_ms=50\nsuspect_ms=1000\n"
			       "[department lace]\nweight=%d\n"
			       "[department light]\n"
			       "[service desk]\ndepartment=lace\nclass=batch\n"
			       "expected_ms=%d\n[domain a]\n",
			       weight, expected_ms);
	for (i = 0; i < HOSTS; i++)
		if (hosts >> i & 1)
			g_string_append_printf(
				text,
				"[entry a-%d]\ndomain=a\naddress=%s%d\n"
				"front_port=7000\nconsole_port=7001\n"
				"peer_port=7002\n",
				i, fix->block, i + 10);
	return g_string_free(text, FALSE);
}

/* Starts a host without a document; it can reach the store if with_store. */
static void start_host(fixture_t *fix, int i, bool with_store)
{
	host_t *host = &fix->hosts[i];
	settings_t *set = &host->settings;
	int seed;

	memset(set, 0, sizeof(*set));
	g_snprintf(set->name, sizeof(set->name), "a-%d", i);
	g_strlcpy(set->domain, "a", sizeof(set->domain));
	g_snprintf(set->address, sizeof(set->address), "%s%d", fix->block,
		   i + 10);
	g_snprintf(set->store_url, sizeof(set->store_url), "http://%s",
		   with_store ? fix->store_address : "127.0.0.1:9");
	g_strlcpy(set->prefix, "test", sizeof(set->prefix));
	set->front_port = 7000;
	set->console_port = 7001;
	set->peer_port = 7002;
	set->store_timeout_ms = 10000;
	set->store_calls_per_s = 1000;
	set->seeds = g_new0(char *, HOSTS + 1);
	for (seed = 0; seed < HOSTS; seed++)
		set->seeds[seed] =
			g_strdup_printf("%s%d:7001", fix->block, seed + 10);
	set->n_seeds = HOSTS;
	node_init(&host->node, set);
	host->node.config = config_new(&host->node);
	host->node.peer = peer_new(&host->node);
	host->node.console = console_new(&host->node);
	assert_true(peer_start(host->node.peer, NULL));
	assert_true(console_start(host->node.console, NULL));
	assert_true(config_start(host->node.config, NULL));
	host->running = true;
}

static void stop_host(fixture_t *fix, int i)
{
	host_t *host = &fix->hosts[i];

	if (!host->running)
		return;
	console_free(host->node.console);
	config_stop(host->node.config);
	peer_free(host->node.peer);
	config_free(host->node.config);
	node_clear(&host->node);
	g_strfreev(host->settings.seeds);
	host->running = false;
}

static int set_up(void **state)
{
	fixture_t *fix = g_new0(fixture_t, 1);

	fix->block = proc_reserve_block(&fix->block_lock);
	fix->store_address = g_strdup_printf("%s1:7100", fix->block);
	proc_start(
		&fix->store, "store", "fake-store",
		(const char *const[]){ "--listen", fix->store_address, NULL },
		true);
	*state = fix;
	return 0;
}

static int tear_down(void **state)
{
	fixture_t *fix = *state;
	int i;

	proc_kill(&fix->store);
	proc_clear(&fix->store);
	for (i = 0; i < HOSTS; i++)
		stop_host(fix, i);
	close(fix->block_lock);
	g_free(fix->block);
	g_free(fix->store_address);
	g_free(fix);
	return 0;
}

static void set_store_switch(fixture_t *fix, const char *name, int value)
{
	json_decref(
		proc_control(fix->store_address, "{\"%s\":%d}", name, value));
}

typedef struct generation_wait {
	fixture_t *fix;
	int host;
	uint64_t generation;
} generation_wait_t;

static bool has_generation(void *arg)
{
	const generation_wait_t *target = arg;

	return node_generation(&target->fix->hosts[target->host].node) ==
	       target->generation;
}

static void wait_generation(fixture_t *fix, int host, uint64_t generation)
{
	generation_wait_t target = { fix, host, generation };

	proc_wait_until(has_generation, &target,
			"the expected generation to be in force");
}

static void wait_generation_everywhere(fixture_t *fix, uint64_t generation)
{
	int i;

	for (i = 0; i < HOSTS; i++)
		if (fix->hosts[i].running)
			wait_generation(fix, i, generation);
}

/* Outcome of one proposal; kind is GH_E_COUNT if there was no error. */
typedef struct outcome {
	bool accepted;
	gh_error_kind_t kind;
	uint64_t generation;
	char *diff;
} outcome_t;

static outcome_t propose(fixture_t *fix, int host, char *text,
			 uint64_t expected_generation,
			 const char *operator_name)
{
	outcome_t outcome = { .kind = GH_E_COUNT };
	GError *err = NULL;

	outcome.accepted = config_propose(
		&fix->hosts[host].node, text, expected_generation,
		operator_name, &outcome.generation, &outcome.diff, &err);
	assert_int_equal(outcome.accepted, !err);
	if (err) {
		print_message("%s\n", err->message);
		outcome.kind = gh_error_kind(err);
		g_error_free(err);
	}
	g_free(text);
	return outcome;
}

static uint64_t propose_accepted(fixture_t *fix, int host, char *text,
				 uint64_t expected_generation)
{
	outcome_t outcome =
		propose(fix, host, text, expected_generation, "platform");

	assert_true(outcome.accepted);
	assert_null(outcome.diff);
	return outcome.generation;
}

static void assert_refused(fixture_t *fix, int host, char *text,
			   uint64_t expected_generation,
			   const char *operator_name, gh_error_kind_t kind)
{
	outcome_t outcome =
		propose(fix, host, text, expected_generation, operator_name);

	assert_false(outcome.accepted);
	assert_string_equal(gh_error_name(outcome.kind), gh_error_name(kind));
	g_free(outcome.diff);
}

static uint64_t stored_generation(fixture_t *fix)
{
	store_t *store =
		store_http_new(fix->hosts[0].settings.store_url, 10000, 1000);
	store_value_t value = { 0 };
	gh_stamp_t stamp = { 0 };

	assert_true(store->ops->get(store, "test/document", &value, NULL));
	assert_true(gh_stamp_parse(value.text, &stamp));
	store_value_clear(&value);
	store_free(store);
	return stamp.generation;
}

static void start_all(fixture_t *fix, bool all_with_store)
{
	int i;

	for (i = 0; i < HOSTS; i++)
		start_host(fix, i, i == 0 || all_with_store);
}

static void test_in_force_everywhere(void **state)
{
	fixture_t *fix = *state;
	uint64_t first;
	uint64_t second;

	start_all(fix, true);
	first = propose_accepted(fix, 0, make_document(fix, 10, 5), 0);
	wait_generation_everywhere(fix, first);
	second = propose_accepted(fix, 2, make_document(fix, 11, 5), first);
	assert_true(second > first);
	wait_generation_everywhere(fix, second);
	assert_int_equal(stored_generation(fix), second);
}

static void test_hosts_without_store_follow_peers(void **state)
{
	fixture_t *fix = *state;
	uint64_t first;
	uint64_t second;

	start_all(fix, false);
	first = propose_accepted(fix, 0, make_document(fix, 10, 5), 0);
	wait_generation_everywhere(fix, first);
	second = propose_accepted(fix, 0, make_document(fix, 11, 5), first);
	wait_generation_everywhere(fix, second);
	assert_refused(fix, 1, make_document(fix, 12, 5), second, "platform",
		       GH_E_STORE_DOWN);
}

typedef struct proposer {
	pthread_t thread;
	fixture_t *fix;
	int host;
	int weight;
	uint64_t expected_generation;
	outcome_t outcome;
} proposer_t;

static void *run_proposer(void *arg)
{
	proposer_t *proposer = arg;

	proposer->outcome =
		propose(proposer->fix, proposer->host,
			make_document(proposer->fix, proposer->weight, 5),
			proposer->expected_generation, "platform");
	return NULL;
}

static void test_one_rival_wins(void **state)
{
	fixture_t *fix = *state;
	uint64_t generation;
	int round;
	int i;

	start_all(fix, true);
	generation = propose_accepted(fix, 0, make_document(fix, 10, 5), 0);
	/* With a slow store, all proposing hosts read the same version before
	 * one writes. */
	json_decref(proc_control(fix->store_address,
				 "{\"mode\":\"slow\",\"delay_ms\":100}"));
	for (round = 0; round < 5; round++) {
		proposer_t proposers[HOSTS];
		uint64_t winner_generation = 0;

		wait_generation_everywhere(fix, generation);
		for (i = 0; i < HOSTS; i++) {
			proposers[i] =
				(proposer_t){ .fix = fix,
					      .host = i,
					      .weight = 20 + round * HOSTS + i,
					      .expected_generation =
						      generation };
			pthread_create(&proposers[i].thread, NULL, run_proposer,
				       &proposers[i]);
		}
		for (i = 0; i < HOSTS; i++)
			pthread_join(proposers[i].thread, NULL);
		for (i = 0; i < HOSTS; i++) {
			if (!proposers[i].outcome.accepted)
				continue;
			assert_int_equal(winner_generation, 0);
			winner_generation = proposers[i].outcome.generation;
		}
		assert_int_not_equal(winner_generation, 0);
		for (i = 0; i < HOSTS; i++) {
			if (proposers[i].outcome.accepted)
				continue;
			assert_int_equal(proposers[i].outcome.kind,
					 GH_E_CONCURRENT_CHANGE);
			assert_int_equal(proposers[i].outcome.generation,
					 winner_generation);
			assert_non_null(
				strstr(proposers[i].outcome.diff, "weight="));
			g_free(proposers[i].outcome.diff);
		}
		generation = winner_generation;
	}
	wait_generation_everywhere(fix, generation);
}

static void test_race_shows_the_rivals_change(void **state)
{
	fixture_t *fix = *state;
	uint64_t first;
	uint64_t second;
	outcome_t outcome;

	start_all(fix, true);
	first = propose_accepted(fix, 0, make_document(fix, 10, 5), 0);
	second = propose_accepted(fix, 0, make_document(fix, 11, 5), first);
	outcome = propose(fix, 0, make_document(fix, 10, 6), first, "lace");
	assert_false(outcome.accepted);
	assert_int_equal(outcome.kind, GH_E_CONCURRENT_CHANGE);
	assert_int_equal(outcome.generation, second);
	assert_string_equal(outcome.diff,
			    "~ [department lace] weight=10 -> 11\n");
	g_free(outcome.diff);
}

static void test_lost_reply_is_accepted_once(void **state)
{
	fixture_t *fix = *state;
	uint64_t first;
	uint64_t second;

	start_all(fix, false);
	first = propose_accepted(fix, 0, make_document(fix, 10, 5), 0);
	wait_generation_everywhere(fix, first);
	set_store_switch(fix, "lose_replies", 1);
	second = propose_accepted(fix, 0, make_document(fix, 11, 5), first);
	wait_generation_everywhere(fix, second);
	assert_int_equal(stored_generation(fix), second);
}

static bool store_has_generation(void *arg)
{
	const generation_wait_t *target = arg;

	return stored_generation(target->fix) == target->generation;
}

static void test_older_store_is_written_back(void **state)
{
	fixture_t *fix = *state;
	generation_wait_t target = { .fix = fix };
	uint64_t first;
	uint64_t third;
	int i;

	start_all(fix, true);
	first = propose_accepted(fix, 0, make_document(fix, 10, 5), 0);
	set_store_switch(fix, "save", 1);
	target.generation =
		propose_accepted(fix, 1, make_document(fix, 11, 5), first);
	wait_generation_everywhere(fix, target.generation);
	set_store_switch(fix, "restore", 1);
	proc_wait_until(store_has_generation, &target,
			"the newest generation in the store");
	for (i = 0; i < HOSTS; i++)
		assert_int_equal(node_generation(&fix->hosts[i].node),
				 target.generation);
	third = propose_accepted(fix, 2, make_document(fix, 12, 5),
				 target.generation);
	wait_generation_everywhere(fix, third);
}

/*
 * A restarted host without a document reads a store that was restored from an
 * older copy.  The hosts that have the newer document can't reach the store, so
 * the restarted host must not overwrite it by a proposal based on the old one.
 */
static void test_forgotten_document_is_not_overwritten(void **state)
{
	fixture_t *fix = *state;
	uint64_t first;
	uint64_t second;
	outcome_t outcome;

	start_all(fix, false);
	first = propose_accepted(fix, 0, make_document(fix, 10, 5), 0);
	set_store_switch(fix, "save", 1);
	second = propose_accepted(fix, 0, make_document(fix, 11, 5), first);
	wait_generation_everywhere(fix, second);
	stop_host(fix, 0);
	set_store_switch(fix, "restore", 1);
	start_host(fix, 0, true);
	outcome = propose(fix, 0, make_document(fix, 10, 6), first, "lace");
	assert_false(outcome.accepted);
	assert_int_equal(outcome.kind, GH_E_CONCURRENT_CHANGE);
	assert_int_equal(outcome.generation, second);
	g_free(outcome.diff);
	wait_generation_everywhere(fix, second);
}

/*
 * A proposal that a majority of the new document's hosts have in force, but no
 * majority of the old one's, counts as unconfirmed.
 */
static void test_confirmed_under_both_documents(void **state)
{
	fixture_t *fix = *state;
	uint64_t first;
	uint64_t unconfirmed_before;

	start_host(fix, 0, true);
	start_host(fix, 1, true);
	start_host(fix, 2, true);
	unconfirmed_before = counter_get(CTR_DOC_UNCONFIRMED);
	first = propose_accepted(fix, 0,
				 make_document_for_hosts(fix, 3u, 10, 5), 0);
	assert_int_equal(counter_get(CTR_DOC_UNCONFIRMED), unconfirmed_before);
	wait_generation(fix, 1, first);
	stop_host(fix, 1);
	propose_accepted(fix, 0, make_document_for_hosts(fix, 5u, 10, 5),
			 first);
	assert_int_equal(counter_get(CTR_DOC_UNCONFIRMED),
			 unconfirmed_before + 1);
}

static void test_minority_accepts_nothing(void **state)
{
	fixture_t *fix = *state;
	uint64_t first;

	start_all(fix, true);
	first = propose_accepted(fix, 0, make_document(fix, 10, 5), 0);
	wait_generation_everywhere(fix, first);
	stop_host(fix, 1);
	first = propose_accepted(fix, 0, make_document(fix, 11, 5), first);
	stop_host(fix, 2);
	assert_refused(fix, 0, make_document(fix, 12, 5), first, "platform",
		       GH_E_PEER_DOWN);
	assert_int_equal(stored_generation(fix), first);
}

static void test_refusals_change_nothing(void **state)
{
	fixture_t *fix = *state;
	uint64_t first;

	start_all(fix, true);
	assert_refused(fix, 0, make_document(fix, 10, 5), 7, "platform",
		       GH_E_CONCURRENT_CHANGE);
	assert_refused(fix, 0, make_document(fix, 10, 5), 0, "lace",
		       GH_E_FOREIGN_SECTION);
	first = propose_accepted(fix, 0, make_document(fix, 10, 5), 0);
	wait_generation_everywhere(fix, first);
	assert_refused(fix, 0, make_document(fix, 0, 5), first, "platform",
		       GH_E_BAD_VALUE);
	assert_refused(fix, 0, make_document(fix, 11, 5), first, "lace",
		       GH_E_FOREIGN_SECTION);
	assert_refused(fix, 0, make_document(fix, 10, 6), first, "light",
		       GH_E_FOREIGN_SECTION);
	assert_int_equal(stored_generation(fix), first);
	assert_true(propose(fix, 1, make_document(fix, 10, 6), first, "lace")
			    .accepted);
}

static void test_adopts_higher_generations_only(void **state)
{
	static const char same_generation[] =
		"# generation=50 writer=x sequence=2\n"
		"[domain other]\n";
	fixture_t *fix = *state;
	config_t *config;
	uint64_t older_before = counter_get(CTR_DOC_OLDER);
	uint64_t invalid_before = counter_get(CTR_DOC_INVALID);
	uint64_t clash_before = counter_get(CTR_DOC_GENERATION_CONFLICT);
	gh_document_t *doc;

	start_host(fix, 1, false);
	config = fix->hosts[1].node.config;
	assert_true(config_adopt(
		config, "# generation=50 writer=x sequence=1\n", "test"));
	assert_false(config_adopt(
		config, "# generation=49 writer=x sequence=1\n", "test"));
	assert_int_equal(counter_get(CTR_DOC_OLDER), older_before + 1);
	assert_false(config_adopt(config, same_generation, "test"));
	assert_int_equal(counter_get(CTR_DOC_GENERATION_CONFLICT),
			 clash_before + 1);
	assert_false(config_adopt(
		config, "# generation=51 writer=x sequence=1\n[x]\n", "test"));
	assert_false(config_adopt(config, "[domain other]\n", "test"));
	assert_int_equal(counter_get(CTR_DOC_INVALID), invalid_before + 2);
	doc = node_document(&fix->hosts[1].node);
	assert_int_equal(doc->generation, 50);
	assert_int_equal(doc->n_domains, 0);
	gh_document_unref(doc);
}

#define WITH_STORE(test) \
	cmocka_unit_test_setup_teardown(test, set_up, tear_down)

int main(void)
{
	const struct CMUnitTest tests[] = {
		cmocka_unit_test(test_stamps),
		cmocka_unit_test(test_next_generation),
		WITH_STORE(test_in_force_everywhere),
		WITH_STORE(test_hosts_without_store_follow_peers),
		WITH_STORE(test_one_rival_wins),
		WITH_STORE(test_race_shows_the_rivals_change),
		WITH_STORE(test_lost_reply_is_accepted_once),
		WITH_STORE(test_older_store_is_written_back),
		WITH_STORE(test_forgotten_document_is_not_overwritten),
		WITH_STORE(test_confirmed_under_both_documents),
		WITH_STORE(test_minority_accepts_nothing),
		WITH_STORE(test_refusals_change_nothing),
		WITH_STORE(test_adopts_higher_generations_only),
	};

	return cmocka_run_group_tests_name("config", tests, NULL, NULL);
}
