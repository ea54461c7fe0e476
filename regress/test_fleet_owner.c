/*
 * Tests of when a host claims shards that have lost their owners, with a store
 * that keeps the calls.
 */
#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <cmocka.h>

#include "clock.h"
#include "fleet_owner.h"

#define SHARDS 2
#define DELAY_PER_SHARD (300 * GH_USEC_PER_MSEC)
/* The claims of a host are spread by up to this much at random. */
#define CLAIM_JITTER_USEC (100 * GH_USEC_PER_MSEC)
#define RUN_TIME (1000 * GH_USEC_PER_MSEC)

typedef struct claim_store {
	fleet_store_t base;
	fleet_store_done_t done[SHARDS];
	void *ctx[SHARDS];
	gh_time_t claimed_at[SHARDS]; /* in the order of the claims */
	unsigned n_claims;
} claim_store_t;

typedef struct claims {
	claim_store_t store;
	loop_t *loop;
	loop_timer_t end;
	fleet_owner_t *owners[SHARDS];
	fleet_jobs_t *jobs;
	gh_time_t delay_per_shard;
} claims_t;

static void store_grant_lease(fleet_store_t *base, int64_t ttl_ms,
			      fleet_store_done_t done, void *ctx)
{
	claim_store_t *store = (claim_store_t *)base;

	(void)ttl_ms;
	assert_true(store->n_claims < SHARDS);
	store->done[store->n_claims] = done;
	store->ctx[store->n_claims] = ctx;
	store->claimed_at[store->n_claims++] = clock_boot();
}

/* The directory of jobs is never read. */
static void store_range(fleet_store_t *base, fleet_keyspace_t keyspace,
			const char *prefix, const char *after,
			fleet_store_done_t done, void *ctx)
{
	(void)base;
	(void)keyspace;
	(void)prefix;
	(void)after;
	(void)done;
	(void)ctx;
}

static const fleet_store_ops_t store_ops = { .grant_lease = store_grant_lease,
					     .range = store_range };

/* The more shards a host has or claims, the longer it leaves others alone. */
static gh_time_t claim_delay(void *ctx)
{
	const claims_t *claims = ctx;
	gh_time_t delay = 0;
	unsigned i;

	for (i = 0; i < SHARDS; i++)
		if (!fleet_owner_is_idle(claims->owners[i]))
			delay += claims->delay_per_shard;
	return delay;
}

static void stop_loop(void *ctx, gh_time_t now)
{
	(void)now;
	loop_stop(ctx);
}

static const gh_time_t delays[] = { 0, DELAY_PER_SHARD };
/* A loop is never freed; this keeps them from being reported as leaks. */
static loop_t *loops[G_N_ELEMENTS(delays)];

/*
 * Two shards have no owner, as at the start of all hosts.  The claim of the
 * second one takes into account that the host claims the first one meanwhile.
 */
static void test_second_claim_is_delayed(void **state)
{
	fleet_reply_t refused = { .result = FLEET_REFUSED };
	fleet_jobs_listener_t listener = { 0 };
	size_t i;
	unsigned shard;

	(void)state;
	for (i = 0; i < G_N_ELEMENTS(delays); i++) {
		claims_t claims = { .store.base.ops = &store_ops,
				    .delay_per_shard = delays[i] };

		claims.loop = loops[i] = loop_new();
		claims.jobs = fleet_jobs_new(claims.loop, &claims.store.base,
					     SHARDS, &listener);
		for (shard = 0; shard < SHARDS; shard++)
			claims.owners[shard] =
				fleet_owner_new(&(fleet_owner_setup_t){
					.host = "h0",
					.shard = shard,
					.shards = SHARDS,
					.loop = claims.loop,
					.jobs = claims.jobs,
					.store = &claims.store.base,
					.claim_delay = claim_delay,
					.claim_delay_ctx = &claims,
				});
		for (shard = 0; shard < SHARDS; shard++)
			fleet_owner_record_changed(claims.owners[shard], NULL);
		claims.end = (loop_timer_t){ .at = clock_boot() + RUN_TIME,
					     .run = stop_loop,
					     .ctx = claims.loop };
		loop_timer_add(claims.loop, &claims.end);
		loop_run(claims.loop);
		assert_int_equal(claims.store.n_claims, SHARDS);
		assert_true(claims.store.claimed_at[1] -
				    claims.store.claimed_at[0] >=
			    delays[i] - CLAIM_JITTER_USEC);
		for (shard = 0; shard < SHARDS; shard++)
			claims.store.done[shard](claims.store.ctx[shard],
						 &refused);
		for (shard = 0; shard < SHARDS; shard++)
			fleet_owner_free(claims.owners[shard]);
	}
}

#define RENEWAL_LIMIT (2500 * GH_USEC_PER_MSEC)
#define REPLY_DELAY_MAX (40 * GH_USEC_PER_MSEC)
#define RENEWAL_STEP (10 * GH_USEC_PER_MSEC)
/* The last lease counts from no earlier than this before the limit. */
#define LAST_RENEWAL_MAX (50 * GH_USEC_PER_MSEC)
#define RENEWALS_MAX 16

/* Running tasks ended in an outage that a lease from the limit outlasts. */
static void test_last_renewal_is_sent_at_the_limit(void **state)
{
	gh_time_t first;
	gh_time_t delay;

	(void)state;
	for (first = 0; first < RENEWAL_LIMIT / 2; first += RENEWAL_STEP)
		for (delay = 0; delay <= REPLY_DELAY_MAX;
		     delay += RENEWAL_STEP) {
			gh_time_t sent = first;
			gh_time_t next = first;
			unsigned renewals = 0;

			for (; next <= RENEWAL_LIMIT; renewals++) {
				sent = next;
				next += delay +
					gh_time_from_ms(
						fleet_owner_wait_alone_ms(
							RENEWAL_LIMIT - sent));
			}
			if (sent < RENEWAL_LIMIT - LAST_RENEWAL_MAX ||
			    renewals > RENEWALS_MAX)
				fail_msg("first %d, delay %d ms: the last of "
					 "%u at %d ms",
					 (int)gh_time_to_ms(first),
					 (int)gh_time_to_ms(delay), renewals,
					 (int)gh_time_to_ms(sent));
		}
}

int main(void)
{
	static const struct CMUnitTest tests[] = {
		cmocka_unit_test(test_second_claim_is_delayed),
		cmocka_unit_test(test_last_renewal_is_sent_at_the_limit),
	};

	return cmocka_run_group_tests(tests, NULL, NULL);
}
