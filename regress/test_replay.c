/*
 * Checks that the decision core meets its targets on generated traces, with a
 * virtual clock.  Some targets are relative to baseline policies that replay
 * the same trace.  Guards against a policy change by which long requests delay
 * short ones, slots stay idle at a peak, batch throughput falls, urgent jobs
 * start late, or an executor or worker gets more than its capacity.
 */
#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <cmocka.h>
#include <stdio.h>
#include <unistd.h>

#include "replay.h"

#define TRACE_SEED 1
#define TRACE_SECONDS 30
#define MAX_URGENT_START_USEC (4 * GH_USEC_PER_SEC)
/* Min percent of the slot time at the load peak that goes to requests that end
 * in time. */
#define MIN_PEAK_SLOTS_PERCENT 95
/* Min batch work done by the core, in percent of that under the baseline policy
 * least connections, which is work-conserving. */
#define MIN_BATCH_PERCENT 95
/* Min ratio of the p99 queueing time under first come, first served to that
 * under the core. */
#define MIN_QUEUE_WAIT_RATIO 10
#define P99_PERMILLE 990

/* A trace, and which targets apply to it beside those of every trace. */
typedef struct target {
	const char *preset;
	bool overloaded_peak; /* the peak offers more work than the slots do */
	bool mixed_with_long; /* short requests compete with long ones */
} target_t;

static const target_t targets[] = {
	{ .preset = "association-calm" },
	{ .preset = "association-swing",
	  .overloaded_peak = true,
	  .mixed_with_long = true },
	{ .preset = "association-failures" },
	{ .preset = "haddad-rebuild", .mixed_with_long = true },
	{ .preset = "haddad-wrong", .mixed_with_long = true },
	{ .preset = "haddad-cancel", .mixed_with_long = true },
};

static replay_trace_t *generate_trace(const char *preset)
{
	replay_trace_t *trace =
		replay_generate(preset, TRACE_SEED, TRACE_SECONDS, NULL);

	assert_non_null(trace);
	return trace;
}

static void check_peak(const replay_trace_t *trace,
		       const replay_request_result_t *core)
{
	gh_time_t peak_duration = trace->peak_to - trace->peak_from;

	assert_true(core->peak_work_in_time * 100 >=
		    peak_duration * core->slots * MIN_PEAK_SLOTS_PERCENT);
}

static void check_mixed_with_long(const replay_trace_t *trace,
				  replay_request_result_t *core)
{
	replay_request_result_t fifo;
	replay_request_result_t least_connections;

	replay_requests(trace, REPLAY_FIFO_RANDOM, &fifo);
	replay_requests(trace, REPLAY_LEAST_CONNECTIONS, &least_connections);
	assert_true(replay_percentile(&core->queue_wait, P99_PERMILLE) *
			    MIN_QUEUE_WAIT_RATIO <=
		    replay_percentile(&fifo.queue_wait, P99_PERMILLE));
	assert_true(core->batch_work * 100 >=
		    least_connections.batch_work * MIN_BATCH_PERCENT);
	replay_request_result_clear(&fifo);
	replay_request_result_clear(&least_connections);
}

static void test_requests_meet_targets(void **state)
{
	size_t i;

	(void)state;
	for (i = 0; i < G_N_ELEMENTS(targets); i++) {
		replay_trace_t *trace = generate_trace(targets[i].preset);
		replay_request_result_t core;

		print_message("%s\n", targets[i].preset);
		assert_true(replay_requests(trace, REPLAY_CORE, &core));
		assert_int_equal(core.slot_overruns, 0);
		if (targets[i].overloaded_peak)
			check_peak(trace, &core);
		if (targets[i].mixed_with_long)
			check_mixed_with_long(trace, &core);
		replay_request_result_clear(&core);
		replay_trace_free(trace);
	}
}

static void test_tasks_meet_targets(void **state)
{
	size_t i;

	(void)state;
	for (i = 0; i < G_N_ELEMENTS(targets); i++) {
		replay_trace_t *trace = generate_trace(targets[i].preset);
		replay_task_result_t core;

		print_message("%s\n", targets[i].preset);
		assert_true(replay_tasks(trace, REPLAY_CORE, &core));
		assert_int_equal(core.size_overruns, 0);
		assert_true(core.urgent_start_delay.values->len > 0);
		assert_true(replay_percentile(&core.urgent_start_delay,
					      P99_PERMILLE) <=
			    MAX_URGENT_START_USEC);
		replay_task_result_clear(&core);
		replay_trace_free(trace);
	}
}

/* Replaying a saved and reloaded trace gives the same results. */
static void test_recorded_trace_replays_alike(void **state)
{
	replay_trace_t *trace =
		replay_generate("association-failures", TRACE_SEED, 2, NULL);
	char *path = NULL;
	int fd = g_file_open_tmp("trace-XXXXXX", &path, NULL);
	FILE *out = fdopen(fd, "w");
	replay_trace_t *reloaded;
	replay_request_result_t a;
	replay_request_result_t b;

	(void)state;
	assert_non_null(trace);
	assert_true(replay_trace_save(trace, out, NULL));
	fclose(out);
	reloaded = replay_trace_load(path, NULL);
	unlink(path);
	g_free(path);
	assert_non_null(reloaded);
	replay_requests(trace, REPLAY_CORE, &a);
	replay_requests(reloaded, REPLAY_CORE, &b);
	assert_int_equal(a.offered, b.offered);
	assert_int_equal(a.in_time, b.in_time);
	assert_int_equal(a.batch_work, b.batch_work);
	replay_request_result_clear(&a);
	replay_request_result_clear(&b);
	replay_trace_free(trace);
	replay_trace_free(reloaded);
}

int main(void)
{
	const struct CMUnitTest tests[] = {
		cmocka_unit_test(test_requests_meet_targets),
		cmocka_unit_test(test_tasks_meet_targets),
		cmocka_unit_test(test_recorded_trace_replays_alike),
	};

	return cmocka_run_group_tests_name("replay", tests, NULL, NULL);
}
