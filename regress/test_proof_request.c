/*
 * Process test: what callers receive is true while something fails.  Responses
 * are complete and belong to the request, a request reported as not run did not
 * run, a POST runs at most once, and no executor runs more requests than its
 * slots.
 */
#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <cmocka.h>
#include <pthread.h>
#include <stdio.h>
#include <string.h>

#include "caller.h"
#include "fake.h"

#define DONE_BEFORE 40	     /* number of requests done before the failure */
#define OUTCOMES_DURING 40   /* number of request outcomes during the failure */
#define DONE_AFTER 40	     /* number of requests done after the failure */
#define CLAIM_WINDOW_MS 2000 /* short, so that claims expire in the test */

/* A failure and how it ends; callers send requests all the time. */
typedef struct request_case {
	const char *name;
	const char *method;
	void (*start_failure)(system_t *sys);
	void (*heal)(system_t *sys);
	unsigned repeats; /* max retries of a request; each goes to the next
			     entry host */
	bool overloaded;  /* there are more callers than slots */
} request_case_t;

static const system_options_t options = {
	.domains = 2,
	.entries = 2,
	.executors = 2,
	.run_ms = 5,
};

static void do_nothing(system_t *sys)
{
	(void)sys;
}

static void kill_entry(system_t *sys)
{
	proc_kill(&sys->entries[0].proc);
}

static void start_entry(system_t *sys)
{
	system_entry_start(sys, 0);
	system_entry_wait_ready(sys, 0);
}

/* Kills an entry host and restarts it at once; its claim table is empty. */
static void replace_entry(system_t *sys)
{
	kill_entry(sys);
	start_entry(sys);
}

static void freeze_entry(system_t *sys)
{
	proc_freeze(&sys->entries[0].proc);
}

static void resume_entry(system_t *sys)
{
	proc_resume(&sys->entries[0].proc);
	system_entry_wait_ready(sys, 0);
}

static void cut_domain(system_t *sys)
{
	system_cut_domain(sys, 0, true, true);
}

static void cut_domain_one_way(system_t *sys)
{
	system_cut_domain(sys, 0, true, false);
}

static void cut_domain_from_all(system_t *sys)
{
	cut_domain(sys);
	system_cut_store(sys, 0, true);
}

static void store_down(system_t *sys)
{
	json_decref(proc_control(sys->store_address, "{\"mode\":\"down\"}"));
}

static void store_up(system_t *sys)
{
	json_decref(proc_control(sys->store_address, "{\"mode\":\"up\"}"));
}

static void cut_and_kill(system_t *sys)
{
	cut_domain(sys);
	kill_entry(sys);
}

static void heal_and_start(system_t *sys)
{
	system_restore_links(sys);
	start_entry(sys);
}

static void set_executor_mode(system_t *sys, const char *mode)
{
	unsigned i;

	for (i = 0; i < sys->n_executors; i++)
		json_decref(proc_control(sys->executors[i].address,
					 "{\"late_ms\":1000,\"mode\":\"%s\"}",
					 mode));
}

static void executors_reply_late(system_t *sys)
{
	set_executor_mode(sys, "late");
}

static void executors_truncate_replies(system_t *sys)
{
	set_executor_mode(sys, "short");
}

static void executors_send_wrong_reply(system_t *sys)
{
	set_executor_mode(sys, "crossed");
}

static void executors_silent(system_t *sys)
{
	set_executor_mode(sys, "silent");
}

static void executors_close(system_t *sys)
{
	set_executor_mode(sys, "close");
}

static void executor_fails(system_t *sys)
{
	json_decref(
		proc_control(sys->executors[0].address, "{\"mode\":\"fail\"}"));
}

static void executors_up(system_t *sys)
{
	set_executor_mode(sys, "up");
}

static void links_silent(system_t *sys)
{
	unsigned i;

	for (i = 0; i < sys->n_executors; i++)
		system_set_link_mode(sys, "executor", sys->executors[i].name,
				     "silent");
}

static void links_reset(system_t *sys)
{
	unsigned i;

	for (i = 0; i < sys->n_executors; i++)
		system_set_link_mode(sys, "executor", sys->executors[i].name,
				     "reset");
}

static void links_lose_replies(system_t *sys)
{
	unsigned i;

	for (i = 0; i < sys->n_executors; i++)
		system_set_link_mode(sys, "executor", sys->executors[i].name,
				     "cut_back");
}

#define CASE(n, f, h)                                                  \
	{                                                              \
		.name = n, .start_failure = f, .heal = h, .repeats = 2 \
	}

#define OVERLOAD_CASE(n, f, h)                                             \
	{                                                                  \
		.name = n, .method = "GET", .start_failure = f, .heal = h, \
		.overloaded = true                                         \
	}

static const request_case_t cases[] = {
	CASE("nothing_fails", do_nothing, do_nothing),
	CASE("entry_killed", kill_entry, start_entry),
	CASE("entry_replaced", replace_entry, do_nothing),
	CASE("entry_frozen", freeze_entry, resume_entry),
	CASE("domain_cut", cut_domain, system_restore_links),
	CASE("domain_cut_one_way", cut_domain_one_way, system_restore_links),
	CASE("domain_cut_from_all", cut_domain_from_all, system_restore_links),
	CASE("domain_cut_and_entry_killed", cut_and_kill, heal_and_start),
	CASE("store_down", store_down, store_up),
	CASE("executors_late", executors_reply_late, executors_up),
	CASE("executors_short", executors_truncate_replies, executors_up),
	CASE("executors_crossed", executors_send_wrong_reply, executors_up),
	CASE("executors_silent", executors_silent, executors_up),
	CASE("executors_close", executors_close, executors_up),
	CASE("executor_fails", executor_fails, executors_up),
	CASE("connections_silent", links_silent, system_restore_links),
	CASE("connections_reset", links_reset, system_restore_links),
	CASE("answers_lost", links_lose_replies, system_restore_links),
	OVERLOAD_CASE("crowd_nothing_fails", do_nothing, do_nothing),
	OVERLOAD_CASE("crowd_entry_killed", kill_entry, start_entry),
	OVERLOAD_CASE("crowd_entry_replaced", replace_entry, do_nothing),
	OVERLOAD_CASE("crowd_entry_frozen", freeze_entry, resume_entry),
	OVERLOAD_CASE("crowd_domain_cut", cut_domain, system_restore_links),
	OVERLOAD_CASE("crowd_executors_late", executors_reply_late,
		      executors_up),
	{ .name = "reads_connections_silent",
	  .method = "GET",
	  .start_failure = links_silent,
	  .heal = system_restore_links },
	{ .name = "reads_executors_crossed",
	  .method = "GET",
	  .start_failure = executors_send_wrong_reply,
	  .heal = executors_up },
};

static void run_case(const request_case_t *c)
{
	system_t *sys = system_new(&options);
	caller_options_t caller_options = { .threads = c->overloaded ? 48 : 8,
					    .method = c->method,
					    .run_ms = c->overloaded ? 60 : 0,
					    .remaining_ms = 1000,
					    .repeats = c->repeats };
	caller_t *caller = caller_start(sys, &caller_options);

	caller_wait_done(caller, DONE_BEFORE);
	c->start_failure(sys);
	caller_wait_finished(caller, OUTCOMES_DURING);
	c->heal(sys);
	caller_wait_done(caller, DONE_AFTER);
	caller_stop(caller);
	caller_check(caller);
	caller_free(caller);
	system_free(sys);
}

static void test_case(void **state)
{
	run_case(*state);
}

typedef struct request {
	system_t *sys;
	const char *key;
	caller_outcome_t outcome;
} stale_request_t;

static const caller_options_t short_deadline = { .remaining_ms = 1000 };

static const caller_options_t long_deadline = { .remaining_ms = 30000 };

static void *send_stale_request(void *arg)
{
	stale_request_t *request = arg;

	proc_http_new_connections(true);
	request->outcome = caller_send(request->sys, 0, &long_deadline,
				       request->key, 0, NULL);
	return NULL;
}

static bool is_repeat_accepted(void *arg)
{
	static unsigned n;
	char *key = g_strdup_printf("probe%u", n++);
	caller_outcome_t outcome =
		caller_send(arg, 1, &short_deadline, key, 1, NULL);

	g_free(key);
	return outcome == CALLER_DONE;
}

/*
 * A paused host that received nothing from the others resumes and reads a POST
 * from its socket.  The caller has repeated it at another host meanwhile, and
 * the claims to it have expired.  It must not run a second time.
 */
static void test_order_read_after_pause(void **state)
{
	system_options_t short_window_options = options;
	stale_request_t request = { .key = "stale" };
	caller_outcome_t outcome;
	pthread_t thread;
	json_t *runs_by_key;
	int i;

	(void)state;
	short_window_options.policy =
		"claim_window_ms=" G_STRINGIFY(CLAIM_WINDOW_MS) "\n";
	request.sys = system_new(&short_window_options);
	proc_wait_until(is_repeat_accepted, request.sys,
			"a repeat to be accepted");
	proc_freeze(&request.sys->entries[0].proc);
	system_set_link_mode(request.sys, "peer", "e0", "cut");
	pthread_create(&thread, NULL, send_stale_request, &request);
	outcome =
		caller_send(request.sys, 1, &short_deadline, "stale", 1, NULL);
	fake_sleep_ms(CLAIM_WINDOW_MS + CLAIM_WINDOW_MS / 2);
	system_restore_links(request.sys);
	proc_resume(&request.sys->entries[0].proc);
	pthread_join(thread, NULL);
	system_entry_wait_ready(request.sys, 0);
	for (i = 0; i < DONE_AFTER; i++) {
		char *key = g_strdup_printf("later%d", i);

		caller_send(request.sys, 0, &short_deadline, key, 0, NULL);
		g_free(key);
	}
	runs_by_key = system_request_runs(request.sys);
	print_message("repeat: outcome %d, runs %d\n", (int)outcome,
		      (int)fake_json_int(runs_by_key, "stale", 0));
	assert_in_range(fake_json_int(runs_by_key, "stale", 0), 0, 1);
	json_decref(runs_by_key);
	system_free(request.sys);
}

/* More reads than the slots of domain 1, none of which ends in time. */
static const caller_options_t crowd = { .threads = 32,
					.method = "GET",
					.run_ms = 5000,
					.remaining_ms = 1500,
					.entries = 0xc };

/* REFUSED: a repeat that did not run overtook a first sending that will. */
static void test_order_overtaken_by_refused_repeat(void **state)
{
	system_options_t short_window_options = options;
	caller_outcome_t repeat, first;
	caller_t *caller;
	system_t *sys;

	(void)state;
	short_window_options.policy =
		"claim_window_ms=" G_STRINGIFY(CLAIM_WINDOW_MS) "\n";
	sys = system_new(&short_window_options);
	proc_wait_until(is_repeat_accepted, sys, "a repeat to be accepted");
	caller = caller_start(sys, &crowd);
	fake_sleep_ms(200);
	repeat = caller_send(sys, 2, &short_deadline, "overtaken", 1, NULL);
	first = caller_send(sys, 0, &short_deadline, "overtaken", 0, NULL);
	print_message("repeat: outcome %d, first: outcome %d\n", (int)repeat,
		      (int)first);
	assert_int_equal(first, CALLER_DONE);
	assert_int_equal(repeat, CALLER_UNKNOWN);
	caller_free(caller);
	system_free(sys);
}

/* The optional argument is a pattern of the names of tests to run. */
int main(int argc, char **argv)
{
	struct CMUnitTest tests[G_N_ELEMENTS(cases) + 2];
	size_t n = G_N_ELEMENTS(cases);
	size_t i;

	for (i = 0; i < n; i++)
		tests[i] = (struct CMUnitTest){ cases[i].name, test_case, NULL,
						NULL, (void *)&cases[i] };
	tests[n] = (struct CMUnitTest)cmocka_unit_test(
		test_order_read_after_pause);
	tests[n + 1] = (struct CMUnitTest)cmocka_unit_test(
		test_order_overtaken_by_refused_repeat);
	if (argc > 1)
		cmocka_set_test_filter(argv[1]);
	return _cmocka_run_group_tests("proof_request", tests, n + 2, NULL,
				       NULL);
}
