/*
 * Process test: a host in state leaving gets no new requests or tasks, and a
 * graceful shutdown aborts no request in flight.
 */
#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <cmocka.h>
#include <stdio.h>
#include <string.h>

#include "caller.h"
#include "fake.h"

#define REQUESTS_DONE 60 /* requests to be done in each phase */
#define REQUEST_RUN_MS 200

/* A graceful shutdown under load or during a failure. */
typedef struct drain_case {
	const char *name;
	void (*start_failure)(system_t *sys);
	unsigned threads;
} drain_case_t;

static const system_options_t options = {
	.domains = 2,
	.entries = 2,
	.executors = 2,
	.workers = 2,
	.run_ms = 5,
};

static const char job_json[] =
	"{\"name\":\"rebuild\",\"department\":\"haddad\",\"domain\":\"d0\","
	"\"kind\":\"rebuild\",\"class\":\"batch\",\"urgent\":false,"
	"\"tasks\":40,\"cores_milli\":1000,\"memory_mb\":500,"
	"\"accelerators\":0,\"run_ms\":200,\"command\":\"run\"}";

#define TASKS 40
#define TASKS_AT_ONCE 8 /* number of tasks that fit on the domain's workers */

static void do_nothing(system_t *sys)
{
	(void)sys;
}

static void store_down(system_t *sys)
{
	json_decref(proc_control(sys->store_address, "{\"mode\":\"down\"}"));
}

static void cut_domain(system_t *sys)
{
	system_cut_domain(sys, 0, true, true);
}

static void kill_other_entry(system_t *sys)
{
	proc_kill(&sys->entries[1].proc);
}

static const drain_case_t drain_cases[] = {
	{ "drain_nothing_fails", do_nothing, 8 },
	{ "drain_crowd", do_nothing, 32 },
	{ "drain_store_down", store_down, 8 },
	{ "drain_domain_cut", cut_domain, 8 },
	{ "drain_neighbour_killed", kill_other_entry, 8 },
};

/* Stops an entry host while callers use only that host; it must exit with
 * status 0. */
static void test_drain(void **state)
{
	const drain_case_t *c = *state;
	system_t *sys = system_new(&options);
	caller_options_t caller_options = { .threads = c->threads,
					    .run_ms = REQUEST_RUN_MS,
					    .remaining_ms = 1400,
					    .entries = 1 };
	caller_t *caller = caller_start(sys, &caller_options);

	caller_wait_done(caller, c->threads);
	c->start_failure(sys);
	proc_stop(&sys->entries[0].proc);
	caller_stop(caller);
	caller_check(caller);
	caller_check_all_done(caller);
	caller_free(caller);
	system_free(sys);
}

static int64_t executor_count(system_t *sys, unsigned executor,
			      const char *counter)
{
	json_t *ctl = proc_control(sys->executors[executor].address, "{}");
	int64_t n = fake_json_int(ctl, counter, -1);

	json_decref(ctl);
	return n;
}

static bool is_executor_idle(void *arg)
{
	return executor_count(arg, 0, "busy") == 0;
}

static void set_leaving(system_t *sys, const char *name)
{
	char *text = system_document(sys, name);

	system_apply_until_accepted(sys, 0, text);
	system_wait_generation(sys, -1, sys->generation);
	g_free(text);
}

static void test_executor_leaves(void **state)
{
	system_t *sys = system_new(&options);
	caller_options_t caller_options = { .threads = 8,
					    .remaining_ms = 1000 };
	caller_t *caller = caller_start(sys, &caller_options);
	int64_t runs_before;

	(void)state;
	caller_wait_done(caller, REQUESTS_DONE);
	assert_true(executor_count(sys, 0, "total") > 0);
	set_leaving(sys, "x0");
	caller_wait_done(caller, REQUESTS_DONE);
	proc_wait_until(is_executor_idle, sys, "an idle executor");
	runs_before = executor_count(sys, 0, "total");
	caller_wait_done(caller, REQUESTS_DONE);
	assert_int_equal(executor_count(sys, 0, "total"), runs_before);
	caller_stop(caller);
	caller_check(caller);
	caller_free(caller);
	system_free(sys);
}

static int64_t worker_runs(system_t *sys, unsigned worker, const char *state)
{
	json_t *ctl = proc_control(sys->workers[worker].address, "{}");
	json_t *run;
	int64_t n = 0;
	size_t i;

	json_array_foreach(json_object_get(ctl, "runs"), i,
			   run) if (!state ||
				    !strcmp(fake_json_string(run, "state", ""),
					    state)) n++;
	json_decref(ctl);
	return n;
}

static bool is_worker_idle(void *arg)
{
	return worker_runs(arg, 0, "running") == 0 &&
	       worker_runs(arg, 0, "throttled") == 0;
}

static void test_worker_leaves(void **state)
{
	system_t *sys = system_new(&options);
	int64_t runs_before;

	(void)state;
	system_submit(sys, 0, job_json);
	system_wait_task_runs(sys, "done", 4);
	assert_true(worker_runs(sys, 0, NULL) > 0);
	set_leaving(sys, "w0");
	system_wait_task_runs(sys, "done",
			      system_count_task_runs(sys, "done") +
				      TASKS_AT_ONCE);
	proc_wait_until(is_worker_idle, sys, "a worker without running tasks");
	runs_before = worker_runs(sys, 0, NULL);
	system_wait_task_runs(sys, "done", TASKS);
	assert_int_equal(worker_runs(sys, 0, NULL), runs_before);
	system_check_tasks(sys);
	assert_int_equal(system_count_task_runs(sys, "done"), TASKS);
	system_free(sys);
}

static bool is_not_ready(void *arg)
{
	system_t *sys = arg;
	char *url = g_strdup_printf("http://%s/ready", sys->entries[0].address);
	proc_response_t reply = proc_http("GET", url, NULL, NULL, 5000);
	bool not_ready = reply.status == 503;

	proc_response_clear(&reply);
	g_free(url);
	return not_ready;
}

/* A leaving entry host accepts no request and sends none to an executor. */
static void test_entry_leaves(void **state)
{
	system_t *sys = system_new(&options);
	caller_options_t all_options = { .threads = 4, .remaining_ms = 1000 };
	caller_options_t leaving_options = { .threads = 4,
					     .remaining_ms = 1000,
					     .entries = 1 };
	caller_t *caller = caller_start(sys, &all_options);
	caller_t *leaving_caller;

	(void)state;
	caller_wait_done(caller, REQUESTS_DONE);
	set_leaving(sys, "e0");
	proc_wait_until(is_not_ready, sys, "an entry host that is not ready");
	leaving_caller = caller_start(sys, &leaving_options);
	caller_wait_finished(leaving_caller, REQUESTS_DONE);
	caller_stop(leaving_caller);
	assert_int_equal(caller_count(leaving_caller, CALLER_DONE), 0);
	caller_check(leaving_caller);
	caller_wait_done(caller, REQUESTS_DONE);
	caller_stop(caller);
	caller_check(caller);
	caller_free(leaving_caller);
	caller_free(caller);
	system_free(sys);
}

/* The optional argument is a pattern of the names of tests to run. */
int main(int argc, char **argv)
{
	struct CMUnitTest tests[G_N_ELEMENTS(drain_cases) + 3];
	size_t n = 0;
	size_t i;

	for (i = 0; i < G_N_ELEMENTS(drain_cases); i++)
		tests[n++] = (struct CMUnitTest){ drain_cases[i].name,
						  test_drain, NULL, NULL,
						  (void *)&drain_cases[i] };
	tests[n++] = (struct CMUnitTest)cmocka_unit_test(test_executor_leaves);
	tests[n++] = (struct CMUnitTest)cmocka_unit_test(test_worker_leaves);
	tests[n++] = (struct CMUnitTest)cmocka_unit_test(test_entry_leaves);
	if (argc > 1)
		cmocka_set_test_filter(argv[1]);
	return _cmocka_run_group_tests("proof_leave", tests, n, NULL, NULL);
}
