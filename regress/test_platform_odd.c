/*
 * Process tests of the job service with a fake platform: bodies and records
 * that no correct writer produces.  A host refuses them and goes on.
 */
#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <cmocka.h>
#include <string.h>

#include "fleet_system.h"

#define ID(n) "00000000000000" n
#define ONE_STEP "[{\"count\":4,\"cpu\":1000,\"est_runtime_ms\":200}]"

static const unsigned depths[] = { 40, 500, 2000, 100000 };

/* A host's caller threads have small stacks. */
static void test_nested_submission(void **state)
{
	int statuses[G_N_ELEMENTS(depths)];
	fleet_system_t sys;
	size_t i;

	(void)state;
	fleet_system_start(&sys, "platform-nested", 1, 2, 1);
	for (i = 0; i < G_N_ELEMENTS(depths); i++) {
		char *open = g_strnfill(depths[i], '[');
		char *close = g_strnfill(depths[i], ']');
		char *steps = g_strconcat(open, close, NULL);

		statuses[i] = fleet_submit(&sys, 0, ID("01"), "100", steps);
		print_message("%u arrays deep: status %d\n", depths[i],
			      statuses[i]);
		g_free(steps);
		g_free(close);
		g_free(open);
	}
	if (statuses[G_N_ELEMENTS(depths) - 1]) {
		assert_int_equal(
			fleet_submit(&sys, 0, ID("01"), "100", ONE_STEP), 200);
		fleet_await_state(&sys, 0, ID("01"), "completed");
	}
	fleet_system_stop(&sys);
	for (i = 0; i < G_N_ELEMENTS(depths); i++)
		assert_int_equal(statuses[i], 400);
}

/* Counts whose product is 0 in 64 bits. */
#define WRAPPING_STEPS                                    \
	"[{\"count\":4294967295},{\"count\":4294967295}," \
	"{\"count\":4294967295},{\"count\":4294967295},"  \
	"{\"count\":4}],\"repeat_count\":2147483648"

static void test_wrapping_task_count(void **state)
{
	fleet_system_t sys;
	int wrapping, next;

	(void)state;
	fleet_system_start(&sys, "platform-wrapping", 2, 2, 1);
	wrapping = fleet_submit(&sys, 0, ID("01"), "100", WRAPPING_STEPS);
	g_usleep(500 * 1000);
	next = fleet_submit(&sys, 1, ID("02"), "100", ONE_STEP);
	print_message("status %d, of the next job %d\n", wrapping, next);
	if (next == 200)
		fleet_await_state(&sys, 1, ID("02"), "completed");
	fleet_system_stop(&sys);
	assert_int_equal(wrapping, 400);
	assert_int_equal(next, 200);
}

#define MANY_TASKS "[{\"count\":16,\"cpu\":1000,\"est_runtime_ms\":60000}]"

/* Entries that name no worker; %s is the platform's address. */
static const char *const odd_entries[] = {
	"{\"backend\":\"svc\",\"address\":\"%s\",\"state\":\"ready\","
	"\"capacity\":{\"cpu\":8000,\"mem_mb\":64000,\"gpus\":1e18},"
	"\"labels\":[\"a\",\"r1\"]}",
	"{\"backend\":\"svc\",\"address\":\"%s\",\"state\":\"ready\","
	"\"capacity\":{\"cpu\":99999999999999999999,\"mem_mb\":64000},"
	"\"labels\":[\"a\",\"r1\"]}",
	"{\"backend\":\"svc\",\"address\":\"%s9\",\"state\":\"ready\","
	"\"capacity\":{\"cpu\":8000,\"mem_mb\":64000},"
	"\"labels\":[\"a\",\"r1\"]}",
	"{\"backend\":\"svc\",\"address\":\"%s\",\"state\":\"ready\","
	"\"capacity\":{\"cpu\":8000,\"mem_mb\":64000},\"born\":1e300,"
	"\"labels\":[\"a\",\"r1\"]}",
	"{\"backend\":\"svc\",\"address\":\"%s\",\"state\":\"ready\"}",
	"no JSON",
	"",
};

static bool eight_running(void *arg)
{
	return fleet_platform_counter(arg, "running") == 8;
}

static bool sixteen_running(void *arg)
{
	return fleet_platform_counter(arg, "running") == 16;
}

static bool host_ready(void *arg)
{
	return fleet_host_is_ready(arg, 0) && fleet_shard_owner(arg, 0) == 0;
}

static void put_entry(fleet_system_t *sys, const char *id, const char *entry)
{
	char **parts = g_strsplit(entry, "%s", 2);
	char *text = g_strjoinv(sys->platform_address, parts);
	char *key = g_strconcat("servers/", id, NULL);

	fleet_platform_put(sys, key, text);
	g_free(key);
	g_free(text);
	g_strfreev(parts);
}

/* Writes an odd entry of each kind beside those of the workers. */
static void put_odd_entries(fleet_system_t *sys)
{
	char *deep = g_strnfill(100000, '[');
	size_t i;

	for (i = 0; i < G_N_ELEMENTS(odd_entries); i++) {
		char *id = g_strdup_printf("i-0odd%zu", i);

		put_entry(sys, id, odd_entries[i]);
		g_free(id);
	}
	put_entry(sys, "i-0odd-deep", deep);
	put_entry(sys, "a b\r\nc", odd_entries[0]);
	g_free(deep);
}

static void complete_job(fleet_system_t *sys, const char *id)
{
	assert_int_equal(fleet_submit(sys, 0, id, "100", ONE_STEP), 200);
	fleet_await_state(sys, 0, id, "completed");
}

/*
 * Odd entries in the watch, in a list that is read again, and in the list that
 * a new host reads: jobs complete each time.
 */
static void test_odd_entries(void **state)
{
	fleet_system_t sys;

	(void)state;
	fleet_system_start(&sys, "platform-entries", 1, 2, 1);
	put_odd_entries(&sys);
	complete_job(&sys, ID("01"));
	json_decref(proc_control(sys.platform_address, "{\"compact\":true}"));
	complete_job(&sys, ID("02"));
	put_odd_entries(&sys);
	complete_job(&sys, ID("03"));
	proc_send_term(&sys.hosts[0]);
	assert_int_equal(proc_wait(&sys.hosts[0]), 0);
	fleet_host_start(&sys, 0);
	proc_wait_until(host_ready, &sys, "a host that is ready");
	complete_job(&sys, ID("04"));
	fleet_system_stop(&sys);
}

/*
 * While the entry of a known worker is odd, nothing starts there, and what runs
 * there goes on; once it is mended, the worker is used again.
 */
static void test_known_worker_odd(void **state)
{
	fleet_system_t sys;
	int64_t running[3];
	size_t i;

	(void)state;
	for (i = 0; i < G_N_ELEMENTS(odd_entries); i++) {
		fleet_system_start(&sys, "platform-known", 1, 2, 1);
		put_entry(&sys, "i-0", odd_entries[i]);
		complete_job(&sys, ID("01"));
		assert_int_equal(
			fleet_submit(&sys, 0, ID("02"), "60000", MANY_TASKS),
			200);
		proc_wait_until(eight_running, &sys, "8 running tasks");
		g_usleep(300 * 1000);
		running[0] = fleet_platform_counter(&sys, "running");
		json_decref(proc_control(sys.platform_address,
					 "{\"worker\":\"i-0 ready\"}"));
		proc_wait_until(sixteen_running, &sys, "16 running tasks");
		put_entry(&sys, "i-0", odd_entries[i]);
		/* in one case for longer than the lease of a worker */
		g_usleep(i ? 300 * 1000 : 5500 * 1000);
		running[1] = fleet_platform_counter(&sys, "running");
		running[2] = fleet_platform_counter(&sys, "starts");
		print_message("odd entry %zu: running %d, then %d\n", i,
			      (int)running[0], (int)running[1]);
		fleet_system_stop(&sys);
		assert_int_equal(running[0], 8);
		assert_int_equal(running[1], 16);
		assert_int_equal(running[2], 4 + 16);
	}
}

int main(int argc, char **argv)
{
	static const struct CMUnitTest tests[] = {
		cmocka_unit_test(test_nested_submission),
		cmocka_unit_test(test_wrapping_task_count),
		cmocka_unit_test(test_odd_entries),
		cmocka_unit_test(test_known_worker_odd),
	};

	if (argc > 1)
		cmocka_set_test_filter(argv[1]);
	return cmocka_run_group_tests(tests, NULL, NULL);
}
