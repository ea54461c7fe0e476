/*
 * Targets of the policy on generated traces, with a virtual clock.  Core and
 * baselines replay the same trace in one run.
 */
#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <cmocka.h>
#include <stdio.h>
#include <unistd.h>

#include "replay.h"

#define SEED 1
#define SECONDS 30
#define URGENT_START (4 * GH_USEC_PER_SEC)
#define LEAST_SLOTS_PERCENT 95	/* at the crest, in time, of all slots */
#define LEAST_BATCH_PERCENT 95	/* of the work-conserving baseline */
#define MOST_SHORT_WAIT_PART 10 /* of first come, first served */
#define P99 990

/* A trace and what is asked of the core on it beside the common rules. */
typedef struct target {
	const char *preset;
	bool crest;	  /* more is offered than the slots can do */
	bool beside_long; /* short work beside long work */
} target_t;

static const target_t targets[] = {
	{ .preset = "association-calm" },
	{ .preset = "association-swing", .crest = true, .beside_long = true },
	{ .preset = "association-failures" },
	{ .preset = "haddad-rebuild", .beside_long = true },
	{ .preset = "haddad-wrong", .beside_long = true },
	{ .preset = "haddad-cancel", .beside_long = true },
};

static replay_trace_t *make(const char *preset)
{
	replay_trace_t *trace = replay_generate(preset, SEED, SECONDS, NULL);

	assert_non_null(trace);
	return trace;
}

static void check_crest(const replay_trace_t *trace,
			const replay_request_result_t *core)
{
	gh_time_t crest = trace->peak_to - trace->peak_from;

	assert_true(core->peak_work_in_time * 100 >=
		    crest * core->slots * LEAST_SLOTS_PERCENT);
}

static void check_beside_long(const replay_trace_t *trace,
			      replay_request_result_t *core)
{
	replay_request_result_t fifo;
	replay_request_result_t least;

	replay_requests(trace, REPLAY_FIFO_RANDOM, &fifo);
	replay_requests(trace, REPLAY_LEAST_CONNECTIONS, &least);
	assert_true(replay_percentile(&core->queue_wait, P99) *
			    MOST_SHORT_WAIT_PART <=
		    replay_percentile(&fifo.queue_wait, P99));
	assert_true(core->batch_work * 100 >=
		    least.batch_work * LEAST_BATCH_PERCENT);
	replay_request_result_clear(&fifo);
	replay_request_result_clear(&least);
}

static void test_requests_meet_targets(void **state)
{
	size_t i;

	(void)state;
	for (i = 0; i < G_N_ELEMENTS(targets); i++) {
		replay_trace_t *trace = make(targets[i].preset);
		replay_request_result_t core;

		print_message("%s\n", targets[i].preset);
		assert_true(replay_requests(trace, REPLAY_CORE, &core));
		assert_int_equal(core.slot_overruns, 0);
		if (targets[i].crest)
			check_crest(trace, &core);
		if (targets[i].beside_long)
			check_beside_long(trace, &core);
		replay_request_result_clear(&core);
		replay_trace_free(trace);
	}
}

static void test_tasks_meet_targets(void **state)
{
	size_t i;

	(void)state;
	for (i = 0; i < G_N_ELEMENTS(targets); i++) {
		replay_trace_t *trace = make(targets[i].preset);
		replay_task_result_t core;

		print_message("%s\n", targets[i].preset);
		assert_true(replay_tasks(trace, REPLAY_CORE, &core));
		assert_int_equal(core.size_overruns, 0);
		assert_true(core.urgent_start_delay.values->len > 0);
		assert_true(replay_percentile(&core.urgent_start_delay, P99) <=
			    URGENT_START);
		replay_task_result_clear(&core);
		replay_trace_free(trace);
	}
}

/* A trace that was saved and read back gives the same outcome. */
static void test_recorded_trace_replays_alike(void **state)
{
	replay_trace_t *trace =
		replay_generate("association-failures", SEED, 2, NULL);
	char *path = NULL;
	int fd = g_file_open_tmp("trace-XXXXXX", &path, NULL);
	FILE *out = fdopen(fd, "w");
	replay_trace_t *again;
	replay_request_result_t a;
	replay_request_result_t b;

	(void)state;
	assert_non_null(trace);
	assert_true(replay_trace_save(trace, out, NULL));
	fclose(out);
	again = replay_trace_load(path, NULL);
	unlink(path);
	g_free(path);
	assert_non_null(again);
	replay_requests(trace, REPLAY_CORE, &a);
	replay_requests(again, REPLAY_CORE, &b);
	assert_int_equal(a.offered, b.offered);
	assert_int_equal(a.in_time, b.in_time);
	assert_int_equal(a.batch_work, b.batch_work);
	replay_request_result_clear(&a);
	replay_request_result_clear(&b);
	replay_trace_free(trace);
	replay_trace_free(again);
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
