/*
 * Process tests of the job service with a fake platform: reads of all records
 * that the store served before a change and that arrive after it.  Nothing
 * known of the change may be undone.
 */
#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <cmocka.h>
#include <string.h>

#include "fleet_system.h"

#define ID(n) "00000000000000" n
#define ONE_STEP "[{\"count\":4,\"cpu\":1000,\"est_runtime_ms\":200}]"
#define MANY_LASTING                                                       \
	"[{\"count\":12,\"cpu\":1000,\"long_running\":true,\"est_runtime_" \
	"ms\":100}]"
#define FOUR_LASTING                                                           \
	"[{\"count\":4,\"cpu\":1000,\"long_running\":true,\"est_runtime_ms\":" \
	"100}]"

#define HOLD_MS 1100 /* less than a host waits for a reply */
#define SHORT_HOLD_MS 400
/* After this time without changes all hosts wait for the next one. */
#define CHANGES_PAUSE_USEC (1100 * 1000)
#define REPLY_USEC (50 * 1000) /* replies on their way arrive within this */
#define SETTLE_USEC (3 * 1000 * 1000)
#define POLL_USEC (10 * 1000)
/* A host that has found no owner of a shard claims it within this time. */
#define FIRST_CLAIM_USEC (500 * 1000)

static bool four_running(void *arg)
{
	return fleet_platform_counter(arg, "running") == 4;
}

static bool twelve_running(void *arg)
{
	return fleet_platform_counter(arg, "running") == 12;
}

static bool none_running(void *arg)
{
	return fleet_platform_counter(arg, "running") == 0;
}

/* Two hosts read the job states and, apart from them, the owner records. */
#define DIRECTORY_READS 4

typedef struct held_arg {
	fleet_system_t *sys;
	int64_t reads;
} held_arg_t;

static bool reads_held(void *arg)
{
	const held_arg_t *held = arg;

	return fleet_platform_counter(held->sys, "held") == held->reads;
}

/*
 * Makes the hosts read everything again, and holds replies to reads below the
 * prefix; waits until so many replies are held.
 */
static void hold_reads(fleet_system_t *sys, const char *prefix, int ms,
		       int64_t reads)
{
	held_arg_t arg = { .sys = sys, .reads = reads };

	json_decref(proc_control(sys->platform_address,
				 "{\"hold_range\":{\"prefix\":\"%s\",\"ms\":%d}"
				 ",\"compact\":true}",
				 prefix, ms));
	proc_wait_until(reads_held, &arg, "reads of all records");
}

/*
 * Makes the hosts read everything once more: replies that are held arrive, then
 * the next reads are held.  Returns whether so many are held.
 */
static bool hold_next_reads(fleet_system_t *sys, const char *prefix,
			    int64_t reads)
{
	held_arg_t arg = { .sys = sys, .reads = reads };

	hold_reads(sys, prefix, HOLD_MS, reads);
	g_usleep(SHORT_HOLD_MS * 1000 + REPLY_USEC);
	return reads_held(&arg);
}

/* Sends the held replies; returns whether so many were held until now. */
static bool release_reads(fleet_system_t *sys, int64_t reads)
{
	held_arg_t arg = { .sys = sys, .reads = reads };
	bool held;

	g_usleep(REPLY_USEC);
	held = reads_held(&arg);
	json_decref(proc_control(sys->platform_address, "{\"hold_range\":{}}"));
	return held;
}

/* What the platform and two hosts show after a late read. */
typedef struct outcome {
	bool late; /* the read arrived after the change */
	int64_t starts;
	int64_t running;
	unsigned other_states; /* replies of hosts with another state */
	char other_state[16];  /* the last of these states */
} outcome_t;

/* Reads the job's state for a while, which must not change. */
static void observe(fleet_system_t *sys, const char *id, const char *state,
		    outcome_t *out)
{
	gint64 end = g_get_monotonic_time() + SETTLE_USEC;
	unsigned host;

	for (host = 0; g_get_monotonic_time() < end; host = !host) {
		char *actual = fleet_get_state(sys, host, id);

		if (strcmp(actual, state) != 0) {
			out->other_states++;
			g_strlcpy(out->other_state, actual,
				  sizeof(out->other_state));
		}
		g_free(actual);
		g_usleep(POLL_USEC);
	}
	out->starts = fleet_platform_counter(sys, "starts");
	out->running = fleet_platform_counter(sys, "running");
	print_message("late %d, starts %d, running %d, other states %u %s\n",
		      out->late, (int)out->starts, (int)out->running,
		      out->other_states, out->other_state);
}

/*
 * Fails the test unless the read was late, tasks have started this often and
 * the job's state has not changed.
 */
static void check_outcome(const outcome_t *out, int64_t starts)
{
	assert_true(out->late);
	assert_int_equal(out->starts, starts);
	assert_int_equal(out->running, 0);
	assert_int_equal(out->other_states, 0);
}

typedef struct read_case {
	const char *prefix;
	int64_t reads; /* number of reads below the prefix by two hosts */
} read_case_t;

static const read_case_t read_cases[] = {
	{ "gh/w/", 1 },
	{ "gh/d/", DIRECTORY_READS },
	{ "gh/", DIRECTORY_READS + 1 },
};

/* A job that has ended stays ended. */
static void test_ended_job_read_late(void **state)
{
	fleet_system_t sys;
	size_t i;

	(void)state;
	for (i = 0; i < G_N_ELEMENTS(read_cases); i++) {
		const read_case_t *c = &read_cases[i];
		outcome_t out = { 0 };
		unsigned owner;

		print_message("ended, late: %s\n", c->prefix);
		fleet_system_start(&sys, "platform-ended", 2, 3, 1);
		owner = (unsigned)fleet_shard_owner(&sys, 0);
		assert_int_equal(
			fleet_submit(&sys, owner, ID("01"), "200", ONE_STEP),
			200);
		proc_wait_until(four_running, &sys, "running tasks");
		hold_reads(&sys, c->prefix, HOLD_MS, c->reads);
		fleet_await_state(&sys, owner, ID("01"), "completed");
		out.late = release_reads(&sys, c->reads);
		fleet_await_state(&sys, !owner, ID("01"), "completed");
		observe(&sys, ID("01"), "completed", &out);
		fleet_system_stop(&sys);
		check_outcome(&out, 4);
	}
}

/* A job that was cancelled while it ran stays cancelled. */
static void test_cancelled_job_read_late(void **state)
{
	fleet_system_t sys;
	size_t i;

	(void)state;
	for (i = 0; i < G_N_ELEMENTS(read_cases); i++) {
		const read_case_t *c = &read_cases[i];
		outcome_t out = { 0 };
		unsigned owner;

		print_message("cancelled, late: %s\n", c->prefix);
		fleet_system_start(&sys, "platform-cancelled", 2, 3, 1);
		owner = (unsigned)fleet_shard_owner(&sys, 0);
		assert_int_equal(
			fleet_submit(&sys, owner, ID("01"), "9000", ONE_STEP),
			200);
		proc_wait_until(four_running, &sys, "running tasks");
		hold_reads(&sys, c->prefix, HOLD_MS, c->reads);
		assert_int_equal(fleet_cancel(&sys, owner, ID("01")), 200);
		proc_wait_until(none_running, &sys, "no running task");
		out.late = release_reads(&sys, c->reads);
		fleet_await_state(&sys, !owner, ID("01"), "cancelled");
		observe(&sys, ID("01"), "cancelled", &out);
		fleet_system_stop(&sys);
		check_outcome(&out, 4);
	}
}

/*
 * A job that was submitted and cancelled meanwhile never runs, also if the
 * owner reads its record before it reads the directory again.
 */
static void test_unread_job_cancelled(void **state)
{
	outcome_t out = { 0 };
	fleet_system_t sys;
	unsigned owner;

	(void)state;
	fleet_system_start(&sys, "platform-unread", 2, 3, 1);
	owner = (unsigned)fleet_shard_owner(&sys, 0);
	g_usleep(CHANGES_PAUSE_USEC);
	hold_reads(&sys, "gh/", SHORT_HOLD_MS, DIRECTORY_READS + 1);
	assert_int_equal(fleet_submit(&sys, owner, ID("01"), "200", ONE_STEP),
			 200);
	assert_int_equal(fleet_cancel(&sys, owner, ID("01")), 200);
	out.late = reads_held(
		&(held_arg_t){ .sys = &sys, .reads = DIRECTORY_READS + 1 });
	out.late =
		hold_next_reads(&sys, "gh/", DIRECTORY_READS + 1) && out.late;
	/* The owner's read of the job records arrives first. */
	json_decref(proc_control(
		sys.platform_address,
		"{\"hold_range\":{\"prefix\":\"gh/d/\",\"ms\":0}}"));
	g_usleep(4 * REPLY_USEC);
	out.late = release_reads(&sys, DIRECTORY_READS) && out.late;
	observe(&sys, ID("01"), "cancelled", &out);
	fleet_system_stop(&sys);
	check_outcome(&out, 0);
}

typedef struct new_job_case {
	const char *payload;
	bool to_owner; /* the job is submitted to the shard's owner */
	bool again;    /* the directory is read late twice */
} new_job_case_t;

static const new_job_case_t new_job_cases[] = {
	{ "100", true, false }, { "100", false, false },
	{ "600", true, false }, { "600", false, false },
	{ "600", true, true },	{ "600", false, true },
};

/* A job that was accepted meanwhile is known from then on, and completes. */
static void test_new_job_read_late(void **state)
{
	fleet_system_t sys;
	size_t i;

	(void)state;
	for (i = 0; i < G_N_ELEMENTS(new_job_cases); i++) {
		const new_job_case_t *c = &new_job_cases[i];
		unsigned unknown = 0;
		unsigned host;
		int64_t starts;
		gint64 end;
		bool late;

		print_message("new job of %s ms, to the owner %d, again %d\n",
			      c->payload, c->to_owner, c->again);
		fleet_system_start(&sys, "platform-new", 2, 3, 1);
		host = (unsigned)fleet_shard_owner(&sys, 0);
		if (!c->to_owner)
			host = !host;
		g_usleep(CHANGES_PAUSE_USEC);
		hold_reads(&sys, "gh/d/", SHORT_HOLD_MS, DIRECTORY_READS);
		assert_int_equal(fleet_submit(&sys, host, ID("01"), c->payload,
					      ONE_STEP),
				 200);
		late = reads_held(
			&(held_arg_t){ .sys = &sys, .reads = DIRECTORY_READS });
		if (c->again)
			late = hold_next_reads(&sys, "gh/d/",
					       DIRECTORY_READS) &&
			       late;
		end = g_get_monotonic_time() + SETTLE_USEC;
		while (g_get_monotonic_time() < end) {
			char *actual = fleet_get_state(&sys, host, ID("01"));

			unknown += !strcmp(actual, "410");
			g_free(actual);
		}
		fleet_await_state(&sys, 0, ID("01"), "completed");
		fleet_await_state(&sys, 1, ID("01"), "completed");
		starts = fleet_platform_counter(&sys, "starts");
		print_message("late %d, unknown %u, starts %d\n", late, unknown,
			      (int)starts);
		fleet_system_stop(&sys);
		assert_true(late);
		assert_int_equal(unknown, 0);
		assert_int_equal(starts, 4);
	}
}

static bool third_job_started(void *arg)
{
	return fleet_platform_counter(arg, "starts") >= 12 + 4 + 4;
}

/*
 * Both workers restart meanwhile: the tasks of the first job start once more.
 * By the end of the second job the owner hears of the restart of the worker
 * that has room; the third job's tasks start on that worker, and only once.
 */
static void test_reborn_worker_read_late(void **state)
{
	fleet_system_t sys;
	int64_t starts, running;
	bool late;

	(void)state;
	fleet_system_start(&sys, "platform-reborn", 1, 2, 1);
	assert_int_equal(
		fleet_submit(&sys, 0, ID("01"), "60000 lasts", MANY_LASTING),
		200);
	proc_wait_until(twelve_running, &sys, "12 running tasks");
	hold_reads(&sys, "servers/", HOLD_MS, 1);
	json_decref(proc_control(sys.platform_address,
				 "{\"worker\":\"i-0 reborn\"}"));
	json_decref(proc_control(sys.platform_address,
				 "{\"worker\":\"i-1 reborn\"}"));
	assert_int_equal(fleet_submit(&sys, 0, ID("02"), "50", ONE_STEP), 200);
	fleet_await_state(&sys, 0, ID("02"), "completed");
	assert_int_equal(
		fleet_submit(&sys, 0, ID("03"), "60000 lasts", FOUR_LASTING),
		200);
	proc_wait_until(third_job_started, &sys, "started tasks");
	late = release_reads(&sys, 1);
	g_usleep(SETTLE_USEC);
	starts = fleet_platform_counter(&sys, "starts");
	running = fleet_platform_counter(&sys, "running");
	print_message("late %d, starts %d, running %d\n", late, (int)starts,
		      (int)running);
	fleet_system_stop(&sys);
	assert_true(late);
	assert_int_equal(starts, 12 + 4 + 4 + 12);
	assert_int_equal(running, 12 + 4);
}

/* The number of times that hosts have claimed shards. */
static int64_t count_claims(fleet_system_t *sys)
{
	return fleet_host_counter(sys, 0, "shards_claimed") +
	       fleet_host_counter(sys, 1, "shards_claimed");
}

static bool shard_owned(void *arg)
{
	return fleet_shard_owner(arg, 0) >= 0;
}

/*
 * An owner that has written its lapsed owner record again keeps the shard when
 * it reads that there is none.
 */
static void test_owner_read_late(void **state)
{
	fleet_system_t sys;
	int64_t claims;
	int owner, kept_by;
	bool late;
	gint64 end;
	unsigned unowned = 0;

	(void)state;
	fleet_system_start(&sys, "platform-record", 2, 3, 1);
	/* The other host may have found no owner yet. */
	g_usleep(FIRST_CLAIM_USEC);
	owner = fleet_shard_owner(&sys, 0);
	claims = count_claims(&sys);
	json_decref(proc_control(sys.platform_address,
				 "{\"hold_range\":{\"prefix\":\"gh/d/\","
				 "\"ms\":%d},\"lapse\":true,\"compact\":true}",
				 HOLD_MS));
	proc_wait_until(reads_held,
			&(held_arg_t){ .sys = &sys, .reads = DIRECTORY_READS },
			"reads of all records");
	proc_wait_until(shard_owned, &sys, "owner record");
	late = release_reads(&sys, DIRECTORY_READS);
	end = g_get_monotonic_time() + SETTLE_USEC;
	while (g_get_monotonic_time() < end) {
		unowned += !shard_owned(&sys);
		g_usleep(POLL_USEC);
	}
	claims = count_claims(&sys) - claims;
	kept_by = fleet_shard_owner(&sys, 0);
	print_message("late %d, claims %d, polls without an owner %u\n", late,
		      (int)claims, unowned);
	fleet_system_stop(&sys);
	assert_true(late);
	assert_int_equal(claims, 0);
	assert_int_equal(unowned, 0);
	assert_int_equal(kept_by, owner);
}

int main(int argc, char **argv)
{
	static const struct CMUnitTest tests[] = {
		cmocka_unit_test(test_ended_job_read_late),
		cmocka_unit_test(test_cancelled_job_read_late),
		cmocka_unit_test(test_unread_job_cancelled),
		cmocka_unit_test(test_new_job_read_late),
		cmocka_unit_test(test_reborn_worker_read_late),
		cmocka_unit_test(test_owner_read_late),
	};

	if (argc > 1)
		cmocka_set_test_filter(argv[1]);
	return cmocka_run_group_tests(tests, NULL, NULL);
}
