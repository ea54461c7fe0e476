/*
 * The job service as processes against the stand-in of the platform: what
 * callers and workers see, calm and under faults.
 */
#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <cmocka.h>
#include <pthread.h>
#include <signal.h>
#include <string.h>

#include "fleet_system.h"

#define ID(n) "00000000000000" n
#define ONE_STEP "[{\"count\":4,\"cpu\":1000,\"est_runtime_ms\":200}]"
#define MANY "[{\"count\":24,\"cpu\":1000,\"est_runtime_ms\":400}]"
#define TWO_STEPS                                             \
	"[{\"count\":3,\"cpu\":1000,\"est_runtime_ms\":200}," \
	"{\"count\":2,\"cpu\":1000,\"est_runtime_ms\":200,\"after\":[0]}]"
#define LASTING                                             \
	"[{\"count\":2,\"cpu\":1000,\"long_running\":true," \
	"\"est_runtime_ms\":100}]"

static void assert_state(fleet_system_t *sys, unsigned host, const char *id,
			 const char *state)
{
	char *now = fleet_get_state(sys, host, id);

	assert_string_equal(now, state);
	g_free(now);
}

static bool runs_some(void *arg)
{
	return fleet_platform_counter(arg, "running") > 0;
}

static bool runs_two(void *arg)
{
	return fleet_platform_counter(arg, "running") == 2;
}

static bool runs_none(void *arg)
{
	return fleet_platform_counter(arg, "running") == 0;
}

/* Any host takes a job, and any host tells its state. */
static void test_calm(void **state)
{
	fleet_system_t sys;

	(void)state;
	fleet_system_start(&sys, "platform-calm", 2, 3, 1);
	assert_int_equal(fleet_submit(&sys, 0, ID("01"), "100", TWO_STEPS),
			 200);
	fleet_await_state(&sys, 1, ID("01"), "completed");
	assert_int_equal(fleet_platform_counter(&sys, "starts"), 5);
	assert_state(&sys, 0, ID("ff"), "410");
	assert_int_equal(fleet_submit(&sys, 1, ID("01"), "100", TWO_STEPS),
			 200);
	assert_int_equal(fleet_submit(&sys, 1, "short", "100", TWO_STEPS), 400);
	assert_int_equal(fleet_submit(&sys, 1, ID("02"), "1", "[]"), 400);
	assert_int_equal(fleet_platform_counter(&sys, "starts"), 5);
	fleet_system_stop(&sys);
}

/* A task that always fails is tried as often as its queue says. */
static void test_hopeless(void **state)
{
	fleet_system_t sys;

	(void)state;
	fleet_system_start(&sys, "platform-hopeless", 1, 4, 1);
	assert_int_equal(fleet_submit(&sys, 0, ID("01"), "50 fail",
				      "[{\"count\":1,\"cpu\":1000}]"),
			 200);
	fleet_await_state(&sys, 0, ID("01"), "failed");
	assert_int_equal(fleet_platform_counter(&sys, "starts"), 3);
	fleet_system_stop(&sys);
}

static void test_lasting(void **state)
{
	fleet_system_t sys;

	(void)state;
	fleet_system_start(&sys, "platform-lasting", 2, 2, 1);
	assert_int_equal(fleet_submit(&sys, 0, ID("01"), "500 lasts", LASTING),
			 200);
	proc_until(runs_two, &sys, "two lasting runs");
	/* They end by themselves and are started again. */
	while (fleet_platform_counter(&sys, "starts") < 4)
		proc_until(runs_some, &sys, "runs again");
	assert_int_equal(fleet_cancel(&sys, 1, ID("01")), 200);
	proc_until(runs_none, &sys, "nothing that runs");
	/* Other hosts follow; only the one that answered knows at once. */
	assert_state(&sys, 1, ID("01"), "cancelled");
	fleet_await_state(&sys, 0, ID("01"), "cancelled");
	fleet_system_stop(&sys);
}

typedef struct sending {
	fleet_system_t *sys;
	unsigned host;
	int status;
} sending_t;

static void *send_job(void *arg)
{
	sending_t *sending = arg;

	sending->status = fleet_submit(sending->sys, sending->host, ID("01"),
				       "50", ONE_STEP);
	return NULL;
}

/* One id sent at two hosts at once is one job. */
static void test_same_job_twice(void **state)
{
	fleet_system_t sys;
	sending_t sendings[3];
	pthread_t threads[3];
	unsigned i;

	(void)state;
	fleet_system_start(&sys, "platform-twice", 3, 2, 1);
	for (i = 0; i < 3; i++) {
		sendings[i] = (sending_t){ .sys = &sys, .host = i };
		assert_int_equal(pthread_create(&threads[i], NULL, send_job,
						&sendings[i]),
				 0);
	}
	for (i = 0; i < 3; i++) {
		pthread_join(threads[i], NULL);
		assert_int_equal(sendings[i].status, 200);
	}
	fleet_await_state(&sys, 0, ID("01"), "completed");
	assert_int_equal(fleet_platform_counter(&sys, "starts"), 4);
	fleet_system_stop(&sys);
}

/* How a submission is answered while the store misbehaves. */
typedef struct store_case {
	const char *mode;
	int refused;  /* the answer that says that nothing was done, or 0 */
	bool may_run; /* the job may be there in the end */
} store_case_t;

static const store_case_t store_cases[] = {
	{ "busy", 503, false },
	{ "lost", 0, true },
	{ "late", 0, true },
	{ "down", 0, true },
};

static void test_store_misbehaves(void **state)
{
	fleet_system_t sys;
	size_t i;

	(void)state;
	for (i = 0; i < G_N_ELEMENTS(store_cases); i++) {
		const store_case_t *c = &store_cases[i];
		char *now;
		int status;

		print_message("store %s\n", c->mode);
		fleet_system_start(&sys, "platform-store", 1, 2, 1);
		json_decref(proc_ctl(sys.platform_at, "{\"store\":\"%s\"}",
				     c->mode));
		status = fleet_submit(&sys, 0, ID("01"), "50", ONE_STEP);
		json_decref(proc_ctl(sys.platform_at, "{\"store\":\"up\"}"));
		if (c->refused)
			assert_int_equal(status, c->refused);
		else
			assert_true(status == 200 || status == 504 ||
				    status == 503);
		if (status == 200) {
			fleet_await_state(&sys, 0, ID("01"), "completed");
		} else if (status == 503) {
			/* "Never runs" holds also after late effects. */
			g_usleep(1500 * 1000);
			now = fleet_get_state(&sys, 0, ID("01"));
			assert_string_equal(now, "410");
			g_free(now);
			assert_int_equal(fleet_platform_counter(&sys, "starts"),
					 0);
		} else {
			/* Refused until the host hears the store again. */
			do {
				status = fleet_submit(&sys, 0, ID("01"), "50",
						      ONE_STEP);
			} while (status == 503);
			assert_int_equal(status, 200);
			fleet_await_state(&sys, 0, ID("01"), "completed");
		}
		if (c->may_run && status == 200)
			assert_int_equal(fleet_platform_counter(&sys, "starts"),
					 4);
		fleet_system_stop(&sys);
	}
}

/* What befalls the owner in the middle of a job's work. */
typedef enum blow {
	BLOW_KILL,
	BLOW_FREEZE,
	BLOW_TERM,
	BLOW_CUT,
	BLOW_SILENT,
	BLOW_LAPSE,
	BLOW_COMPACT,
	BLOWS
} blow_t;

static const char *const blow_names[BLOWS] = {
	"kill", "freeze", "term", "cut", "silent", "lapse", "compact",
};

static void strike(fleet_system_t *sys, blow_t blow, unsigned owner)
{
	switch (blow) {
	case BLOW_KILL:
		proc_kill(&sys->hosts[owner]);
		break;
	case BLOW_FREEZE:
		proc_freeze(&sys->hosts[owner]);
		break;
	case BLOW_TERM:
		proc_stop(&sys->hosts[owner]);
		break;
	case BLOW_CUT:
	case BLOW_SILENT:
		json_decref(proc_ctl(sys->relay_at,
				     "{\"link\":\"h%u\",\"mode\":\"%s\"}",
				     owner, blow_names[blow]));
		break;
	case BLOW_LAPSE:
	case BLOW_COMPACT:
		json_decref(proc_ctl(sys->platform_at, "{\"%s\":true}",
				     blow_names[blow]));
		break;
	default:
		break;
	}
}

static void test_owner_struck(void **state)
{
	fleet_system_t sys;
	int blow;

	(void)state;
	for (blow = 0; blow < BLOWS; blow++) {
		int owner;
		unsigned other;

		print_message("owner: %s\n", blow_names[blow]);
		fleet_system_start(&sys, "platform-owner", 2, 3, 1);
		owner = fleet_shard_owner(&sys, 0);
		assert_true(owner >= 0);
		other = owner ? 0 : 1;
		assert_int_equal(
			fleet_submit(&sys, other, ID("01"), "400", MANY), 200);
		proc_until(runs_some, &sys, "running tasks");
		strike(&sys, (blow_t)blow, (unsigned)owner);
		assert_int_equal(
			fleet_submit(&sys, other, ID("02"), "50", ONE_STEP),
			200);
		fleet_await_state(&sys, other, ID("02"), "completed");
		fleet_await_state(&sys, other, ID("01"), "completed");
		if (blow == BLOW_FREEZE) {
			proc_resume(&sys.hosts[owner]);
			fleet_await_state(&sys, (unsigned)owner, ID("01"),
					  "completed");
		}
		if (blow == BLOW_CUT)
			json_decref(
				proc_ctl(sys.relay_at, "{\"mode\":\"pass\"}"));
		fleet_system_stop(&sys);
	}
}

/* What befalls a worker in the middle of its tasks. */
static void test_worker_struck(void **state)
{
	static const char *const blows[] = { "reborn", "dead", "draining" };
	fleet_system_t sys;
	size_t i;

	(void)state;
	for (i = 0; i < G_N_ELEMENTS(blows); i++) {
		print_message("worker: %s\n", blows[i]);
		fleet_system_start(&sys, "platform-worker", 1, 2, 1);
		assert_int_equal(fleet_submit(&sys, 0, ID("01"), "600", MANY),
				 200);
		proc_until(runs_some, &sys, "running tasks");
		json_decref(proc_ctl(sys.platform_at, "{\"worker\":\"i-0 %s\"}",
				     blows[i]));
		fleet_await_state(&sys, 0, ID("01"), "completed");
		fleet_system_stop(&sys);
	}
}

/* All hosts die at once: what was accepted is done by those that follow. */
static void test_all_hosts_killed(void **state)
{
	fleet_system_t sys;
	unsigned i;

	(void)state;
	fleet_system_start(&sys, "platform-all", 2, 3, 2);
	assert_int_equal(fleet_submit(&sys, 0, ID("01"), "400", MANY), 200);
	assert_int_equal(fleet_submit(&sys, 1, ID("02"), "400", MANY), 200);
	for (i = 0; i < 2; i++)
		proc_kill(&sys.hosts[i]);
	for (i = 0; i < 2; i++)
		fleet_host_start(&sys, i);
	fleet_await_state(&sys, 0, ID("01"), "completed");
	fleet_await_state(&sys, 1, ID("02"), "completed");
	fleet_system_stop(&sys);
}

int main(void)
{
	static const struct CMUnitTest tests[] = {
		cmocka_unit_test(test_calm),
		cmocka_unit_test(test_hopeless),
		cmocka_unit_test(test_lasting),
		cmocka_unit_test(test_same_job_twice),
		cmocka_unit_test(test_store_misbehaves),
		cmocka_unit_test(test_owner_struck),
		cmocka_unit_test(test_worker_struck),
		cmocka_unit_test(test_all_hosts_killed),
	};

	return cmocka_run_group_tests(tests, NULL, NULL);
}
