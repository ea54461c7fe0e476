/*
 * Tests of membership with a virtual clock, and of the peer link between
 * hosts in one process, each of which has its own loopback address.
 */
#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <cmocka.h>
#include <arpa/inet.h>
#include <string.h>
#include <sys/socket.h>
#include <unistd.h>

#include "clock.h"
#include "counter.h"
#include "error.h"
#include "peer_private.h"
#include "proc.h"

#define HOSTS 3
#define GENERATION 5
#define CALL_TIMEOUT_USEC (60 * GH_USEC_PER_SEC)

typedef struct host {
	settings_t settings;
	node_t node;
	int claims;
	int releases;
	char holder[8]; /* host's name, sent in claim replies */
} host_t;

typedef struct fixture {
	char *address_prefix; /* "127.A.B.", see proc_reserve_block() */
	int address_lock;
	host_t hosts[HOSTS]; /* hosts a-1, a-2 and b-1 */
} fixture_t;

static const char *const names[HOSTS] = { "a-1", "a-2", "b-1" };

/* Membership and heartbeats on a virtual clock. */

typedef struct accept_case {
	uint64_t incarnation;
	uint64_t sequence;
	gh_accept_t want;
} accept_case_t;

static const accept_case_t accept_cases[] = {
	{ 10, 1, GH_ACCEPT_RESTARTED },
	{ 10, 1, GH_ACCEPT_REPLAYED },
	{ 10, 5, GH_ACCEPT_FRESH },
	{ 10, 3, GH_ACCEPT_FRESH },
	{ 10, 3, GH_ACCEPT_REPLAYED },
	{ 10, 5, GH_ACCEPT_REPLAYED },
	{ 9, 6, GH_ACCEPT_STALE },
	{ 10, 5 + GH_REPLAY_WINDOW_BITS, GH_ACCEPT_FRESH },
	{ 10, 5, GH_ACCEPT_REPLAYED },
	{ 10, 6, GH_ACCEPT_FRESH },
	{ 10, 4, GH_ACCEPT_REPLAYED },
	{ 10, 3 * GH_REPLAY_WINDOW_BITS, GH_ACCEPT_FRESH },
	{ 10, 3 * GH_REPLAY_WINDOW_BITS - 1, GH_ACCEPT_FRESH },
	{ 11, 1, GH_ACCEPT_RESTARTED },
	{ 11, 1, GH_ACCEPT_REPLAYED },
	{ 10, 9 * GH_REPLAY_WINDOW_BITS, GH_ACCEPT_STALE },
};

static void test_member_accepts_once(void **state)
{
	gh_member_t member = { .name = "x" };
	size_t i;

	(void)state;
	for (i = 0; i < G_N_ELEMENTS(accept_cases); i++) {
		const accept_case_t *c = &accept_cases[i];

		print_message("%d/%d\n", (int)c->incarnation, (int)c->sequence);
		assert_int_equal(gh_member_accept(&member, c->incarnation,
						  c->sequence, 7),
				 c->want);
	}
}

static void test_member_is_suspect_after_silence(void **state)
{
	gh_policy_t policy = { .suspect_ms = 1000, .heartbeat_ms = 300 };
	gh_member_t member = { .name = "x" };

	(void)state;
	assert_false(gh_member_alive(&member, &policy, false, 0));
	gh_member_accept(&member, 1, 1, 0);
	assert_true(gh_member_alive(&member, &policy, false, 1000000));
	assert_false(gh_member_alive(&member, &policy, false, 1000001));
	assert_true(gh_member_alive(&member, &policy, true, 1600000));
	assert_false(gh_member_alive(&member, &policy, true, 1600001));
	assert_int_equal(gh_member_accept(&member, 1, 1, 2000000),
			 GH_ACCEPT_REPLAYED);
	assert_false(gh_member_alive(&member, &policy, false, 2000000));
}

static gh_document_t *make_fleet(unsigned domains, unsigned hosts_per_domain)
{
	GString *text = g_string_new(NULL);
	gh_document_t *doc;
	unsigned d;
	unsigned i;

	for (d = 0; d < domains; d++)
		g_string_append_printf(text, "[domain d%u]\n", d);
	for (i = 0; i < hosts_per_domain; i++)
		for (d = 0; d < domains; d++)
			g_string_append_printf(
				text,
				"[entry e%u-%u]\ndomain=d%u\n"
				"address=127.0.%u.%u\nfront_port=1\n"
				"console_port=2\npeer_port=3\n",
				d, i, d, d, i + 1);
	doc = gh_document_parse(text->str, text->len, GENERATION, NULL);
	assert_non_null(doc);
	g_string_free(text, TRUE);
	return doc;
}

typedef struct fleet_case {
	unsigned domains;
	unsigned hosts_per_domain;
	bool is_limited; /* each host's traffic must stay below MAX_BYTES_PER_S
			  */
} fleet_case_t;

static const fleet_case_t fleet_cases[] = {
	{ 1, 1, true }, { 1, 3, true },	 { 3, 3, true },
	{ 4, 2, true }, { 11, 3, true }, { 3, 11, false },
};

#define TICKS 20 /* heartbeat ticks of 500 ms, the default */
#define TICKS_PER_S 2
#define MAX_BYTES_PER_S 8192 /* max traffic of one host, sent and received */

/* Bytes of one exchange: a heartbeat and its reply, with one shard each. */
static size_t exchange_bytes(size_t entries)
{
	char name[] = "kazanchis-10";
	peer_shard shard = { .domain = name };
	peer_heartbeat heartbeat = {
		.head = { .from = name },
		.shards = { .shards_len = 1, .shards_val = &shard },
		.heard = { .heard_len = (u_int)(entries + 7) / 8,
			   .heard_val = (char[PEER_HEARD_MAX]){ 0 } },
	};

	return 2 * (xdr_sizeof((xdrproc_t)xdr_peer_heartbeat, &heartbeat) +
		    PEER_IP_UDP_HEADER_BYTES) +
	       PEER_CALL_HEADER_BYTES + PEER_REPLY_HEADER_BYTES;
}

/*
 * Hosts of one domain exchange heartbeats on every tick, paired hosts of
 * different domains on average at least every GH_OTHER_DOMAIN_TICKS ticks.  In
 * small fleets the traffic of a host stays below a limit.
 */
static void test_heartbeats_reach_each_pair(void **state)
{
	size_t c;

	(void)state;
	for (c = 0; c < G_N_ELEMENTS(fleet_cases); c++) {
		const fleet_case_t *hosts = &fleet_cases[c];
		gh_document_t *doc =
			make_fleet(hosts->domains, hosts->hosts_per_domain);
		size_t n = doc->n_entries;
		unsigned *exchanges = g_malloc0_n(n * n, sizeof(*exchanges));
		size_t max_exchanges = 0;
		size_t bytes;
		gh_handle_t to[64];
		size_t i;
		size_t j;
		uint64_t tick;

		for (tick = 0; tick < TICKS; tick++)
			for (i = 0; i < n; i++) {
				size_t count = gh_domain_heartbeat_targets(
					doc, (gh_handle_t)i, tick, to, 64);

				for (j = 0; j < count; j++) {
					assert_int_not_equal(to[j], i);
					exchanges[i * n + to[j]]++;
					exchanges[to[j] * n + i]++;
				}
			}
		for (i = 0; i < n; i++) {
			size_t total = 0;

			for (j = 0; j < n; j++) {
				bool same_domain = doc->entries[i].domain ==
						   doc->entries[j].domain;
				bool pair = gh_domain_paired(
					doc, (gh_handle_t)i, (gh_handle_t)j);

				total += exchanges[i * n + j];
				if (i != j && same_domain)
					assert_int_equal(exchanges[i * n + j],
							 TICKS);
				else if (i != j && pair)
					assert_true(
						exchanges[i * n + j] >=
						TICKS / GH_OTHER_DOMAIN_TICKS);
			}
			max_exchanges = MAX(max_exchanges, total);
		}
		bytes = max_exchanges * exchange_bytes(n) * TICKS_PER_S / TICKS;
		print_message("%ux%u: at most %zu bytes/s a host\n",
			      hosts->domains, hosts->hosts_per_domain, bytes);
		if (hosts->is_limited)
			assert_in_range(bytes, 0, MAX_BYTES_PER_S);
		g_free(exchanges);
		gh_document_unref(doc);
	}
}

/* Calls and heartbeats between hosts. */

/* Replies to a claim request: attempt 7 is held, all others are granted. */
static void on_claim(void *ctx, const peer_claim_args *args,
		     peer_claim_res *res)
{
	host_t *host = ctx;

	host->claims++;
	res->status =
		args->attempt_id == 7 ? PEER_CLAIM_HELD : PEER_CLAIM_GRANTED;
	res->holder = host->holder;
}

static void on_release(void *ctx, const peer_release_args *args)
{
	(void)args;
	((host_t *)ctx)->releases++;
}

/* Host b-1 reports that it owns shard b/2 at epoch 9. */
static void on_fill(void *ctx, peer_heartbeat *heartbeat)
{
	static char domain[] = "b";
	host_t *host = ctx;

	heartbeat->ready = TRUE;
	heartbeat->spare_latency = 17;
	if (!strcmp(host->settings.name, "b-1"))
		heartbeat->shards.shards_val[heartbeat->shards.shards_len++] =
			(peer_shard){ .domain = domain,
				      .index = 2,
				      .epoch = 9 };
}

static const peer_handlers_t handlers = {
	.claim = on_claim,
	.release = on_release,
	.fill_heartbeat = on_fill,
};

static gh_document_t *make_document(const fixture_t *fix)
{
	GString *text =
		g_string_new("[policy]\nheartbeat_ms=50\n"
			     "suspect_ms=1000\n[domain a]\n[domain b]\n");
	gh_document_t *doc;
	int i;

	for (i = 0; i < HOSTS; i++)
		g_string_append_printf(text,
				       "[entry %s]\ndomain=%c\naddress=%s%d\n"
				       "front_port=1\nconsole_port=2\n"
				       "peer_port=7002\n",
				       names[i], names[i][0],
				       fix->address_prefix, i + 1);
	doc = gh_document_parse(text->str, text->len, GENERATION, NULL);
	assert_non_null(doc);
	g_string_free(text, TRUE);
	return doc;
}

static void start_host(fixture_t *fix, int i)
{
	host_t *host = &fix->hosts[i];

	g_strlcpy(host->settings.name, names[i], sizeof(host->settings.name));
	g_snprintf(host->settings.address, sizeof(host->settings.address),
		   "%s%d", fix->address_prefix, i + 1);
	g_strlcpy(host->settings.store_url, "http://127.0.0.1:9",
		  sizeof(host->settings.store_url));
	host->settings.store_timeout_ms = 10;
	host->settings.store_calls_per_s = 1;
	host->settings.peer_port = 7002;
	g_strlcpy(host->holder, names[i], sizeof(host->holder));
	node_init(&host->node, &host->settings);
	node_apply_document(&host->node, make_document(fix));
	host->node.peer = peer_new(&host->node);
	peer_register(host->node.peer, &handlers, host);
}

static int set_up(void **state)
{
	fixture_t *fix = g_new0(fixture_t, 1);
	int i;

	fix->address_prefix = proc_reserve_block(&fix->address_lock);
	for (i = 0; i < HOSTS; i++)
		start_host(fix, i);
	/* Only the links of the first hosts start here; tests that need the
	 * third host start its link. */
	for (i = 0; i < HOSTS - 1; i++)
		assert_true(peer_start(fix->hosts[i].node.peer, NULL));
	*state = fix;
	return 0;
}

static int tear_down(void **state)
{
	fixture_t *fix = *state;
	int i;

	for (i = 0; i < HOSTS; i++) {
		peer_free(fix->hosts[i].node.peer);
		node_clear(&fix->hosts[i].node);
	}
	close(fix->address_lock);
	g_free(fix->address_prefix);
	g_free(fix);
	return 0;
}

static bool claim(fixture_t *fix, int from, int to, uint64_t attempt,
		  peer_claim_res *res, GError **err)
{
	peer_claim_args args = { .attempt_id = attempt, .window_ms = 1000 };

	return peer_call_claim(fix->hosts[from].node.peer, names[to], &args,
			       res, clock_boot() + CALL_TIMEOUT_USEC, err);
}

static void test_claim_is_answered(void **state)
{
	fixture_t *fix = *state;
	peer_claim_res res;

	assert_true(claim(fix, 0, 1, 7, &res, NULL));
	assert_int_equal(res.status, PEER_CLAIM_HELD);
	assert_string_equal(res.holder, "a-2");
	assert_int_equal(res.head.generation, GENERATION);
	assert_int_equal(fix->hosts[1].claims, 1);
	xdr_free((xdrproc_t)xdr_peer_claim_res, &res);
}

static void test_other_key_is_refused(void **state)
{
	fixture_t *fix = *state;
	uint64_t bad = counter_get(CTR_PEER_BAD_DIGEST);
	peer_claim_res res;
	GError *err = NULL;

	fix->hosts[0].settings.peer_key[3] ^= 1;
	assert_false(claim(fix, 0, 1, 1, &res, &err));
	assert_int_equal(gh_error_kind(err), GH_E_PEER_REFUSED);
	g_error_free(err);
	assert_int_equal(fix->hosts[1].claims, 0);
	assert_true(counter_get(CTR_PEER_BAD_DIGEST) > bad);
}

static void test_call_without_handler_is_refused(void **state)
{
	fixture_t *fix = *state;
	peer_credit_args args = { .executor = fix->hosts[0].holder };
	peer_credit_res res;
	GError *err = NULL;

	assert_false(peer_call_credit(fix->hosts[0].node.peer, "a-2", &args,
				      &res, clock_boot() + CALL_TIMEOUT_USEC,
				      &err));
	assert_int_equal(gh_error_kind(err), GH_E_PEER_REFUSED);
	g_error_free(err);
}

/* Sends a release, already signed, to a-1 once and waits for the reply. */
static bool send_release(fixture_t *fix, peer_release_args *args)
{
	struct sockaddr_in to = { .sin_family = AF_INET,
				  .sin_port = htons(7002) };
	struct rpc_msg msg = {
		.rm_xid = 77,
		.rm_direction = CALL,
		.rm_call = { .cb_rpcvers = RPC_MSG_VERSION,
			     .cb_prog = PEER_PROGRAM,
			     .cb_vers = PEER_VERSION,
			     .cb_proc = PEER_RELEASE,
			     .cb_cred = _null_auth,
			     .cb_verf = _null_auth },
	};
	struct timeval wait = { .tv_sec = 60 };
	char buffer[PEER_DATAGRAM_MAX_BYTES];
	int fd = socket(AF_INET, SOCK_DGRAM, 0);
	char *address = g_strdup_printf("%s1", fix->address_prefix);
	size_t len;
	XDR xdr;

	xdrmem_create(&xdr, buffer, sizeof(buffer), XDR_ENCODE);
	assert_true(xdr_callmsg(&xdr, &msg));
	assert_true(xdr_peer_release_args(&xdr, args));
	len = xdr_getpos(&xdr);
	xdr_destroy(&xdr);
	inet_pton(AF_INET, address, &to.sin_addr);
	g_free(address);
	setsockopt(fd, SOL_SOCKET, SO_RCVTIMEO, &wait, sizeof(wait));
	assert_int_equal(
		sendto(fd, buffer, len, 0, (struct sockaddr *)&to, sizeof(to)),
		len);
	assert_true(recv(fd, buffer, sizeof(buffer), 0) > 0);
	close(fd);
	return true;
}

static void test_replay_and_older_incarnation_are_refused(void **state)
{
	fixture_t *fix = *state;
	peer_t *sender = fix->hosts[2].node.peer;
	uint64_t replayed = counter_get(CTR_PEER_REPLAYED);
	peer_release_args args = { .attempt_id = 1 };
	xdrproc_t codec = (xdrproc_t)xdr_peer_release_args;

	peer_sign(sender, PEER_RELEASE, codec, &args, NULL);
	send_release(fix, &args);
	assert_int_equal(fix->hosts[0].releases, 1);
	send_release(fix, &args);
	assert_int_equal(fix->hosts[0].releases, 1);
	assert_int_equal(counter_get(CTR_PEER_REPLAYED), replayed + 1);
	atomic_fetch_sub(&sender->incarnation, 1);
	peer_sign(sender, PEER_RELEASE, codec, &args, NULL);
	send_release(fix, &args);
	assert_int_equal(fix->hosts[0].releases, 1);
	assert_int_equal(counter_get(CTR_PEER_REPLAYED), replayed + 2);
	atomic_fetch_add(&sender->incarnation, 2);
	peer_sign(sender, PEER_RELEASE, codec, &args, NULL);
	send_release(fix, &args);
	assert_int_equal(fix->hosts[0].releases, 2);
}

/* A recorded reply of a host must not pass as the reply to another call. */
static void test_digest_binds_result_to_call(void **state)
{
	fixture_t *fix = *state;
	peer_t *peer = fix->hosts[2].node.peer;
	xdrproc_t codec = (xdrproc_t)xdr_peer_ack;
	char call[PEER_DIGEST_LEN] = "one call";
	char other[PEER_DIGEST_LEN] = "another call";
	peer_ack ack = { .head = { .sequence = 0 } };

	peer_sign(peer, PEER_RELEASE, codec, &ack, call);
	assert_true(peer_verify(peer, PEER_RELEASE, codec, &ack, call));
	assert_false(peer_verify(peer, PEER_RELEASE, codec, &ack, other));
	assert_false(peer_verify(peer, PEER_RETURN, codec, &ack, call));
	assert_false(peer_verify(peer, PEER_RELEASE, codec, &ack, NULL));
	ack.head.sequence++;
	assert_false(peer_verify(peer, PEER_RELEASE, codec, &ack, call));
}

/* A host that doesn't reply must not delay calls to the others. */
static void test_silent_peer_holds_nothing_up(void **state)
{
	fixture_t *fix = *state;
	peer_claim_reply_t replies[] = { { .entry = "b-1" },
					 { .entry = "a-2" },
					 { .entry = "nobody" } };
	peer_claim_args args = { .attempt_id = 1 };
	peer_claim_res res;
	int i;

	/* The link of b-1 isn't started: no reply comes from its address. */
	peer_call_claim_all(fix->hosts[0].node.peer, replies, 3, &args,
			    clock_boot() + 300 * GH_USEC_PER_MSEC);
	assert_false(replies[0].replied);
	assert_true(replies[1].replied);
	assert_int_equal(replies[1].status, PEER_CLAIM_GRANTED);
	assert_string_equal(replies[1].holder, "a-2");
	assert_false(replies[2].replied);
	for (i = 0; i < 100; i++) {
		assert_true(claim(fix, 0, 1, (uint64_t)i + 100, &res, NULL));
		xdr_free((xdrproc_t)xdr_peer_claim_res, &res);
	}
}

static bool sees_both(void *arg)
{
	fixture_t *fix = arg;
	peer_view_t a2;
	peer_view_t b1;

	return peer_view(fix->hosts[0].node.peer, "a-2", &a2) && a2.alive &&
	       a2.ready && peer_view(fix->hosts[0].node.peer, "b-1", &b1) &&
	       b1.alive && b1.spare_latency == 17;
}

static bool suspects_b1(void *arg)
{
	fixture_t *fix = arg;
	peer_view_t view;

	return peer_view(fix->hosts[0].node.peer, "b-1", &view) && !view.alive;
}

static void test_views_follow_heartbeats(void **state)
{
	fixture_t *fix = *state;
	peer_t *peer = fix->hosts[0].node.peer;
	char owner[GH_NAME_MAX + 1];
	gh_document_t *doc = make_document(fix);
	peer_survey_t survey;
	peer_view_t view;
	uint64_t epoch;

	assert_true(peer_start(fix->hosts[2].node.peer, NULL));
	proc_wait_until(sees_both, fix, "both peers alive");
	assert_false(peer_view(peer, "nobody", &view));
	assert_true(peer_shard_owner(peer, "b", 2, owner, &epoch));
	assert_string_equal(owner, "b-1");
	assert_int_equal(epoch, 9);
	assert_false(peer_shard_owner(peer, "b", 1, owner, &epoch));
	peer_survey(peer, doc, GENERATION, clock_boot() + CALL_TIMEOUT_USEC,
		    &survey);
	assert_int_equal(survey.hosts, 3);
	assert_int_equal(survey.replied, 3);
	assert_int_equal(survey.up_to_date, 3);
	assert_int_equal(survey.highest_generation, GENERATION);
	peer_stop(fix->hosts[2].node.peer);
	proc_wait_until(suspects_b1, fix, "the stopped peer suspect");
	/* A suspected host is still reported as owner of its shard. */
	assert_true(peer_shard_owner(peer, "b", 2, owner, &epoch));
	peer_survey(peer, doc, GENERATION + 1,
		    clock_boot() + 300 * GH_USEC_PER_MSEC, &survey);
	assert_int_equal(survey.hosts, 3);
	assert_int_equal(survey.replied, 2);
	assert_int_equal(survey.up_to_date, 0);
	gh_document_unref(doc);
}

static bool sees_b1_again(void *arg)
{
	fixture_t *fix = arg;
	peer_view_t view;

	return peer_view(fix->hosts[0].node.peer, "b-1", &view) && view.alive &&
	       view.incarnation == peer_incarnation(fix->hosts[2].node.peer);
}

/*
 * A host that restarts after its clock was set back has a lower incarnation
 * than before, and the others would refuse its messages for ever.  It has to
 * learn the higher incarnation from their heartbeats and raise its own.
 */
static void test_host_whose_clock_was_set_back_returns(void **state)
{
	fixture_t *fix = *state;
	host_t *host = &fix->hosts[2];
	uint64_t first;

	atomic_fetch_add(&host->node.peer->incarnation, 3600 * GH_USEC_PER_SEC);
	first = peer_incarnation(host->node.peer);
	assert_true(peer_start(host->node.peer, NULL));
	proc_wait_until(sees_b1_again, fix, "the first incarnation alive");
	peer_free(host->node.peer);
	host->node.peer = peer_new(&host->node);
	peer_register(host->node.peer, &handlers, host);
	assert_true(peer_incarnation(host->node.peer) < first);
	assert_true(peer_start(host->node.peer, NULL));
	proc_wait_until(sees_b1_again, fix, "the second incarnation alive");
	assert_true(peer_incarnation(host->node.peer) > first);
}

#define WITH_HOSTS(test) \
	cmocka_unit_test_setup_teardown(test, set_up, tear_down)

int main(void)
{
	const struct CMUnitTest tests[] = {
		cmocka_unit_test(test_member_accepts_once),
		cmocka_unit_test(test_member_is_suspect_after_silence),
		cmocka_unit_test(test_heartbeats_reach_each_pair),
		WITH_HOSTS(test_claim_is_answered),
		WITH_HOSTS(test_other_key_is_refused),
		WITH_HOSTS(test_call_without_handler_is_refused),
		WITH_HOSTS(test_replay_and_older_incarnation_are_refused),
		WITH_HOSTS(test_digest_binds_result_to_call),
		WITH_HOSTS(test_silent_peer_holds_nothing_up),
		WITH_HOSTS(test_views_follow_heartbeats),
		WITH_HOSTS(test_host_whose_clock_was_set_back_returns),
	};

	return cmocka_run_group_tests_name("peer", tests, NULL, NULL);
}
