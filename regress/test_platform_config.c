/*
 * Process tests of the operator's configuration on hosts that start, that were
 * frozen, or that cannot decode it: a queue that may exist is not answered 404.
 */
#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <cmocka.h>
#include <string.h>

#include "clock.h"
#include "fleet_system.h"

#define ID "0000000000000001"
#define CALL_MS 3000
#define UNHEARD_USEC (600 * GH_USEC_PER_MSEC)
/* Longer than a host takes jobs without hearing of the configuration. */
#define STUCK_USEC (2000 * GH_USEC_PER_MSEC)
#define HOLD_MS 10000
/* The platform's bound on an old configuration after a disruption. */
#define CONTACT_USEC (3000 * GH_USEC_PER_MSEC)
/* Each run takes long enough to end without the host that started it. */
#define JOB                      \
	"{\"task_spec\":\"1500 " \
	"fail\",\"pipeline\":[{\"count\":1,\"cpu\":100}]}"
#define ROUTE(name, prefix)                                  \
	"{\"name\":\"" name                                  \
	"\",\"hostname\":\"q.example\",\"prefix\":\"" prefix \
	"\",\"backend\":\"svc\",\"attempts\":3}"
#define ROUTE_OF_TWO_ATTEMPTS                                        \
	"{\"name\":\"r-two\",\"hostname\":\"q.example\",\"prefix\":" \
	"\"/two/\",\"backend\":\"svc\",\"attempts\":2}"
#define CONFIG(version, routes) \
	"{\"version\":" version ",\"routes\":[" routes "]}"

typedef struct path_arg {
	fleet_system_t *sys;
	const char *method;
	const char *path;
	int status;
} path_arg_t;

/* The status of a call of host 0. */
static int call_path(fleet_system_t *sys, const char *method, const char *path)
{
	static const char *const headers[] = { "Host: q.example", NULL };
	char *url =
		g_strdup_printf("http://%s10:8000%s", sys->address_block, path);
	proc_response_t reply =
		proc_http(method, url, headers,
			  !strcmp(method, "POST") ? JOB : NULL, CALL_MS);
	int status = reply.status;

	proc_response_clear(&reply);
	g_free(url);
	return status;
}

static bool has_status(void *arg)
{
	const path_arg_t *path = arg;

	return call_path(path->sys, path->method, path->path) == path->status;
}

static void await_status(fleet_system_t *sys, const char *path, int status)
{
	path_arg_t arg = {
		.sys = sys, .method = "GET", .path = path, .status = status
	};

	proc_wait_until(has_status, &arg, path);
}

/* A configuration, and what a host tells once it has read it. */
typedef struct config_step {
	const char *text;
	int64_t version;
	int64_t missing;
	int unknown_status; /* of a path that no queue serves */
	bool outdated;
} config_step_t;

static const config_step_t config_steps[] = {
	{ CONFIG("4", ROUTE("r-q", "/q/")), 4, 0, 404, false },
	{ "no JSON", 4, 0, 503, true },
	{ CONFIG("6", ROUTE("r-q", "/q/") ",{\"name\":\"r-2\"}"), 6, 1, 503,
	  false },
	{ CONFIG("7", "7," ROUTE("r-q", "/q/") ",{}"), 7, 2, 503, false },
	{ CONFIG("x", ""), 7, 2, 503, true },
	{ CONFIG("9", ROUTE("r-q", "/q/")), 9, 0, 404, false },
};

typedef struct step_arg {
	fleet_system_t *sys;
	const config_step_t *step;
} step_arg_t;

static bool step_is_told(void *arg)
{
	const step_arg_t *told = arg;
	const config_step_t *step = told->step;

	return fleet_host_counter(told->sys, 0, "config_version") ==
		       step->version &&
	       fleet_host_counter(told->sys, 0, "config_queues_missing") ==
		       step->missing &&
	       fleet_host_counter(told->sys, 0, "config_outdated") ==
		       step->outdated;
}

/* CONFIG: a queue that could not be decoded is answered 404. */
static void test_unread_queue_is_not_called_absent(void **state)
{
	fleet_system_t sys;
	size_t n_wrong = 0;
	size_t i;

	(void)state;
	fleet_system_start(&sys, "platform-unread", 1, 1, 1);
	for (i = 0; i < G_N_ELEMENTS(config_steps); i++) {
		step_arg_t arg = { .sys = &sys, .step = &config_steps[i] };
		int known, unknown;

		fleet_platform_put(&sys, "op/config", arg.step->text);
		proc_wait_until(step_is_told, &arg, arg.step->text);
		known = call_path(&sys, "GET", "/q/");
		unknown = call_path(&sys, "GET", "/none/");
		print_message("step %zu: %d, %d\n", i, known, unknown);
		n_wrong += known != 200 ||
			   unknown != arg.step->unknown_status ||
			   !fleet_host_is_ready(&sys, 0);
	}
	i = (size_t)fleet_host_counter(&sys, 0, "configs_unread");
	fleet_system_stop(&sys);
	assert_int_equal(n_wrong, 0);
	assert_int_equal(i, 2);
}

static bool version_is_seven(void *arg)
{
	return fleet_host_counter(arg, 0, "config_version") == 7;
}

typedef struct older_arg {
	fleet_system_t *sys;
	int64_t versions;
} older_arg_t;

static bool older_is_seen(void *arg)
{
	const older_arg_t *older = arg;

	return fleet_host_counter(older->sys, 0, "documents_older") ==
	       older->versions;
}

static void put_older(fleet_system_t *sys, const char *text, int64_t versions)
{
	older_arg_t arg = { .sys = sys, .versions = versions };

	fleet_platform_put(sys, "op/config", text);
	proc_wait_until(older_is_seen, &arg, "older versions seen");
}

/* CONFIG: an older version comes back in one life of a host. */
static void test_older_version_does_not_come_back(void **state)
{
	fleet_system_t sys;
	int64_t version;
	int removed, kept;

	(void)state;
	fleet_system_start(&sys, "platform-older", 1, 1, 1);
	fleet_platform_put(&sys, "op/config", CONFIG("7", ROUTE("r-q", "/q/")));
	proc_wait_until(version_is_seven, &sys, "version 7");
	put_older(&sys, CONFIG("6", ROUTE("r-old", "/old/")), 1);
	json_decref(proc_control(sys.platform_address, "{\"compact\":true}"));
	put_older(&sys, CONFIG("5", ROUTE("r-old", "/old/")), 2);
	version = fleet_host_counter(&sys, 0, "config_version");
	removed = call_path(&sys, "GET", "/old/");
	kept = call_path(&sys, "GET", "/q/");
	fleet_system_stop(&sys);
	assert_int_equal(version, 7);
	assert_int_equal(removed, 404);
	assert_int_equal(kept, 200);
}

/* CONFIG: a host that has read no configuration yet answers 404. */
static void test_start_before_configuration(void **state)
{
	static const char *const methods[] = { "GET", "POST", "DELETE", "PUT" };
	static const char *const paths[] = { "/q/", "/q/" ID, "/none/", "/" };
	fleet_system_t sys;
	unsigned n_wrong = 0;
	bool ready;
	size_t i, j;

	(void)state;
	fleet_system_start(&sys, "platform-start", 1, 1, 1);
	proc_kill(&sys.hosts[0]);
	json_decref(proc_control(sys.platform_address, "{\"store\":\"down\"}"));
	fleet_host_start(&sys, 0);
	await_status(&sys, "/q/", 503);
	for (i = 0; i < G_N_ELEMENTS(methods); i++)
		for (j = 0; j < G_N_ELEMENTS(paths); j++)
			n_wrong += call_path(&sys, methods[i], paths[j]) != 503;
	ready = fleet_host_is_ready(&sys, 0);
	json_decref(proc_control(sys.platform_address, "{\"store\":\"up\"}"));
	await_status(&sys, "/q/", 200);
	fleet_system_stop(&sys);
	assert_int_equal(n_wrong, 0);
	assert_false(ready);
}

static void set_link(fleet_system_t *sys, const char *mode)
{
	json_decref(proc_control(sys->relay_address,
				 "{\"link\":\"h0\",\"mode\":\"%s\"}", mode));
}

/* A freeze during which the connections to the store are harmed. */
typedef struct freeze_case {
	const char *mode; /* of the link to the store */
	gh_time_t before; /* part of the freeze before that and the change */
	gh_time_t after;
} freeze_case_t;

/* Shorter than the time limit of a watch call, or longer. */
#define SHORT_USEC (200 * GH_USEC_PER_MSEC)
#define LONG_USEC (1200 * GH_USEC_PER_MSEC)

static const freeze_case_t freeze_cases[] = {
	{ "pass", SHORT_USEC, SHORT_USEC },
	{ "pass", LONG_USEC, LONG_USEC },
	{ "reset", SHORT_USEC, SHORT_USEC },
	{ "reset", LONG_USEC, LONG_USEC },
	{ "silent", SHORT_USEC, SHORT_USEC },
	{ "silent", LONG_USEC, LONG_USEC },
};

/* Adds a queue at "/new/" while the host is frozen. */
static void change_while_frozen(fleet_system_t *sys, const freeze_case_t *c)
{
	proc_freeze(&sys->hosts[0]);
	g_usleep((gulong)c->before);
	set_link(sys, c->mode);
	fleet_platform_put(
		sys, "op/config",
		CONFIG("4", ROUTE("r-q", "/q/") "," ROUTE("r-new", "/new/")));
	g_usleep((gulong)c->after);
	proc_resume(&sys->hosts[0]);
}

/* CONFIG: a host serves an old configuration 3 s after a freeze. */
static void test_change_while_frozen(void **state)
{
	gh_time_t took[G_N_ELEMENTS(freeze_cases)];
	size_t i;

	(void)state;
	for (i = 0; i < G_N_ELEMENTS(freeze_cases); i++) {
		fleet_system_t sys;
		gh_time_t woken_at;

		fleet_system_start(&sys, "platform-frozen", 1, 1, 1);
		change_while_frozen(&sys, &freeze_cases[i]);
		woken_at = clock_boot();
		set_link(&sys, "pass");
		await_status(&sys, "/new/", 200);
		took[i] = clock_boot() - woken_at;
		print_message("%s: new configuration after %d ms\n",
			      freeze_cases[i].mode,
			      (int)gh_time_to_ms(took[i]));
		fleet_system_stop(&sys);
	}
	for (i = 0; i < G_N_ELEMENTS(freeze_cases); i++)
		assert_true(took[i] < CONTACT_USEC);
}

/* CONFIG: a host that wakes answers 404 before it has heard the store. */
static void test_woken_host_before_it_hears_the_store(void **state)
{
	fleet_system_t sys;
	unsigned n_ready = 0;
	unsigned n_absent = 0;
	gh_time_t end;

	(void)state;
	fleet_system_start(&sys, "platform-woken", 1, 1, 1);
	change_while_frozen(
		&sys, &(freeze_case_t){ "cut", LONG_USEC, 2 * LONG_USEC });
	end = clock_boot() + UNHEARD_USEC;
	while (clock_boot() < end) {
		n_ready += fleet_host_is_ready(&sys, 0);
		n_absent += call_path(&sys, "GET", "/new/") == 404;
	}
	print_message("ready %u times, 404 %u times\n", n_ready, n_absent);
	set_link(&sys, "pass");
	await_status(&sys, "/new/", 200);
	fleet_system_stop(&sys);
	assert_int_equal(n_ready, 0);
	assert_int_equal(n_absent, 0);
}

/* CONFIG: a host takes jobs for the service of an old configuration. */
static void test_no_job_under_an_old_configuration(void **state)
{
	fleet_system_t sys;
	int taken, counted, unknown;
	bool ready;

	(void)state;
	fleet_system_start(&sys, "platform-stuck", 1, 1, 1);
	json_decref(
		proc_control(sys.platform_address,
			     "{\"hold_range\":{\"prefix\":\"op/\",\"ms\":%d},"
			     "\"compact\":true}",
			     HOLD_MS));
	fleet_platform_put(&sys, "op/config",
			   CONFIG("4", ROUTE("r-new", "/new/")));
	g_usleep(STUCK_USEC);
	ready = fleet_host_is_ready(&sys, 0);
	taken = call_path(&sys, "POST", "/q/" ID);
	counted = call_path(&sys, "GET", "/q/");
	unknown = call_path(&sys, "GET", "/new/");
	print_message("ready %d, statuses %d, %d, %d\n", ready, taken, counted,
		      unknown);
	json_decref(proc_control(sys.platform_address, "{\"hold_range\":{}}"));
	await_status(&sys, "/new/", 200);
	fleet_system_stop(&sys);
	assert_false(ready);
	assert_int_equal(taken, 503);
	assert_int_equal(counted, 503);
	assert_int_equal(unknown, 503);
}

static bool two_starts(void *arg)
{
	return fleet_platform_counter(arg, "starts") >= 2;
}

/* BUDGET: a queue is removed while a job of it is open, and the owner dies. */
static void test_attempts_of_a_removed_queue(void **state)
{
	fleet_system_t sys;
	int64_t starts;

	(void)state;
	fleet_system_start(&sys, "platform-removed", 1, 1, 1);
	fleet_platform_put(&sys, "op/config",
			   CONFIG("4", ROUTE_OF_TWO_ATTEMPTS));
	await_status(&sys, "/two/", 200);
	assert_int_equal(call_path(&sys, "POST", "/two/" ID), 200);
	proc_wait_until(two_starts, &sys, "two starts");
	fleet_platform_put(&sys, "op/config", CONFIG("5", ROUTE("r-q", "/q/")));
	proc_kill(&sys.hosts[0]);
	fleet_host_start(&sys, 0);
	await_status(&sys, "/q/", 200);
	g_usleep(9000 * 1000);
	starts = fleet_platform_counter(&sys, "starts");
	print_message("starts %d\n", (int)starts);
	fleet_system_stop(&sys);
	assert_int_equal(starts, 2);
}

int main(void)
{
	static const struct CMUnitTest tests[] = {
		cmocka_unit_test(test_unread_queue_is_not_called_absent),
		cmocka_unit_test(test_older_version_does_not_come_back),
		cmocka_unit_test(test_start_before_configuration),
		cmocka_unit_test(test_change_while_frozen),
		cmocka_unit_test(test_woken_host_before_it_hears_the_store),
		cmocka_unit_test(test_no_job_under_an_old_configuration),
		cmocka_unit_test(test_attempts_of_a_removed_queue),
	};

	return cmocka_run_group_tests(tests, NULL, NULL);
}
