/*
 * Process tests of the job service with a fake platform whose store can't
 * carry out some calls, as a value in them is too large.
 */
#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <cmocka.h>
#include <string.h>

#include "clock.h"
#include "fleet_system.h"

#define ID(n) "00000000000000" n
#define ONE_STEP "[{\"count\":2,\"cpu\":1000,\"est_runtime_ms\":200}]"
#define MANY_TASKS "[{\"count\":80,\"cpu\":100,\"est_runtime_ms\":200}]"
/* The record of 80 started tasks is longer, all other values are shorter. */
#define VALUE_MAX "{\"value_max\":900}"
#define NO_LIMIT "{\"value_max\":0}"
#define SMALL_JOBS 6
/* Well below the time limit of a caller. */
#define REJECTED_USEC (1000 * GH_USEC_PER_MSEC)

static void set_limit(const fleet_system_t *sys, const char *control)
{
	json_decref(proc_control(sys->platform_address, control));
}

/*
 * Guards against an owner that sends a commit again for good that the store
 * rejects, so that nothing of the shard is committed any more.
 */
static void test_rejected_record_holds_up_no_other_job(void **state)
{
	fleet_system_t sys;
	char *large_state;
	char id[17];
	int i;

	(void)state;
	fleet_system_start(&sys, "platform-rejected", 2, 4, 1);
	set_limit(&sys, VALUE_MAX);
	assert_int_equal(fleet_submit(&sys, 0, ID("01"), "100", MANY_TASKS),
			 200);
	for (i = 0; i < SMALL_JOBS; i++) {
		g_snprintf(id, sizeof(id), "%016x", 0x10 + i);
		assert_int_equal(fleet_submit(&sys, (unsigned)i % 2, id, "100",
					      ONE_STEP),
				 200);
	}
	for (i = 0; i < SMALL_JOBS; i++) {
		g_snprintf(id, sizeof(id), "%016x", 0x10 + i);
		fleet_await_state(&sys, (unsigned)i % 2, id, "completed");
	}
	/* Nothing of it was committed, and so nothing has run. */
	large_state = fleet_get_state(&sys, 0, ID("01"));
	assert_string_equal(large_state, "queued");
	g_free(large_state);
	assert_true(fleet_host_counter(&sys, 0, "commits_rejected") +
			    fleet_host_counter(&sys, 1, "commits_rejected") >
		    0);
	set_limit(&sys, NO_LIMIT);
	fleet_await_state(&sys, 0, ID("01"), "completed");
	fleet_system_stop(&sys);
}

/* Guards against a caller that waits for its time limit in vain. */
static void test_rejected_submission_is_refused_at_once(void **state)
{
	fleet_system_t sys;
	char payload[2000];
	gh_time_t sent_at;

	(void)state;
	fleet_system_start(&sys, "platform-rejected-submission", 1, 2, 1);
	memset(payload, 'x', sizeof(payload) - 1);
	payload[sizeof(payload) - 1] = '\0';
	set_limit(&sys, VALUE_MAX);
	sent_at = clock_boot();
	assert_int_equal(fleet_submit(&sys, 0, ID("01"), payload, ONE_STEP),
			 503);
	assert_in_range(clock_boot() - sent_at, 0, REJECTED_USEC);
	set_limit(&sys, NO_LIMIT);
	assert_int_equal(fleet_submit(&sys, 0, ID("01"), "100", ONE_STEP), 200);
	fleet_await_state(&sys, 0, ID("01"), "completed");
	fleet_system_stop(&sys);
}

int main(void)
{
	const struct CMUnitTest tests[] = {
		cmocka_unit_test(test_rejected_record_holds_up_no_other_job),
		cmocka_unit_test(test_rejected_submission_is_refused_at_once),
	};

	return cmocka_run_group_tests(tests, NULL, NULL);
}
