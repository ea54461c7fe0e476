/*
 * Process tests of requests to empty a failure domain: the fake platform
 * records each start in a zone later than the bound after the request, while a
 * host, the store or what is heard of it fails.
 */
#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <cmocka.h>
#include <string.h>

#include "fleet_system.h"

#define EMPTY_MS 3000
#define SETTINGS "empty_domain_ms=3000\n"
#define ID(n) "00000000000000" n
#define RUN_MS "200"
/* Many times what the workers hold, so that there is always a next start. */
#define MANY_SHORT "[{\"count\":160,\"cpu\":1000,\"est_runtime_ms\":200}]"
#define LASTING                                                               \
	"[{\"count\":4,\"cpu\":1000,\"long_running\":true,\"est_runtime_ms\"" \
	":100}]"
/* After a request and what goes wrong with it. */
#define WATCHED_USEC ((EMPTY_MS + 1500) * 1000)

typedef enum trouble {
	TROUBLE_NONE,
	TROUBLE_OWNER_KILLED,
	TROUBLE_OWNER_FROZEN,
	TROUBLE_OWNER_CUT, /* from the store */
	TROUBLE_HISTORY_GONE,
	TROUBLE_UNHEARD, /* reads of the operator's keys get no reply */
	TROUBLE_STORE_BUSY,
	TROUBLE_HOSTS_RESTARTED
} trouble_t;

typedef struct domain_case {
	const char *name;
	trouble_t trouble;
	int64_t for_ms; /* it lasts from the request on */
} domain_case_t;

static const domain_case_t cases[] = {
	{ "nothing", TROUBLE_NONE, 0 },
	{ "owner-killed", TROUBLE_OWNER_KILLED, 0 },
	{ "owner-frozen", TROUBLE_OWNER_FROZEN, 1200 },
	{ "owner-cut", TROUBLE_OWNER_CUT, 5000 },
	{ "history-gone", TROUBLE_HISTORY_GONE, 0 },
	{ "unheard", TROUBLE_UNHEARD, 5000 },
	{ "store-busy", TROUBLE_STORE_BUSY, 4000 },
	{ "hosts-restarted", TROUBLE_HOSTS_RESTARTED, 0 },
};

typedef struct zone_arg {
	fleet_system_t *sys;
	const char *zone;
	const char *key;
	int64_t least; /* more than this */
} zone_arg_t;

static int64_t zone_count(fleet_system_t *sys, const char *zone,
			  const char *key)
{
	char *url = g_strdup_printf("http://%s/ctl", sys->platform_address);
	json_t *status = proc_get(url);
	int64_t value = json_integer_value(json_object_get(
		json_object_get(json_object_get(status, "zones"), zone), key));

	json_decref(status);
	g_free(url);
	return value;
}

static bool zone_has_more(void *arg)
{
	const zone_arg_t *zone = arg;

	return zone_count(zone->sys, zone->zone, zone->key) > zone->least;
}

static bool zone_is_idle(void *arg)
{
	const zone_arg_t *zone = arg;

	return !zone_count(zone->sys, zone->zone, "running");
}

static void await_starts(fleet_system_t *sys, const char *zone)
{
	zone_arg_t arg = { sys, zone, "starts",
			   zone_count(sys, zone, "starts") };

	proc_wait_until(zone_has_more, &arg, "starts in a zone");
}

static void await_idle(fleet_system_t *sys, const char *zone)
{
	zone_arg_t arg = { .sys = sys, .zone = zone };

	proc_wait_until(zone_is_idle, &arg, "a zone without runs");
}

static void start_system(fleet_system_t *sys, const char *name, unsigned hosts)
{
	char *full = g_strconcat("platform-domain-", name, NULL);

	fleet_system_start_with(sys, full, hosts, 4, 1, SETTINGS);
	json_decref(proc_control(sys->platform_address,
				 "{\"cores\":2000,\"zones\":2,\"evacuate_ms\":"
				 "%d}",
				 EMPTY_MS));
	g_free(full);
}

static void control(fleet_system_t *sys, const char *text)
{
	json_decref(proc_control(sys->platform_address, "%s", text));
}

static void set_link(fleet_system_t *sys, unsigned host, const char *mode)
{
	json_decref(proc_control(sys->relay_address,
				 "{\"link\":\"h%u\",\"mode\":\"%s\"}", host,
				 mode));
}

static void restart_hosts(fleet_system_t *sys, bool start)
{
	unsigned i;

	for (i = 0; i < sys->n_hosts; i++) {
		if (start)
			fleet_host_start(sys, i);
		else
			proc_kill(&sys->hosts[i]);
	}
}

/* What is wrong as the request is made. */
static void begin_trouble(fleet_system_t *sys, trouble_t trouble,
			  unsigned owner)
{
	if (trouble == TROUBLE_OWNER_FROZEN)
		proc_freeze(&sys->hosts[owner]);
	else if (trouble == TROUBLE_OWNER_CUT)
		set_link(sys, owner, "cut");
	else if (trouble == TROUBLE_HISTORY_GONE)
		control(sys, "{\"compact\":true}");
	else if (trouble == TROUBLE_UNHEARD)
		control(sys, "{\"hold_range\":{\"prefix\":\"op/\",\"ms\":"
			     "10000},\"compact\":true}");
	else if (trouble == TROUBLE_STORE_BUSY)
		control(sys, "{\"store\":\"busy\"}");
	else if (trouble == TROUBLE_HOSTS_RESTARTED)
		restart_hosts(sys, false);
}

static void end_trouble(fleet_system_t *sys, const domain_case_t *c,
			unsigned owner)
{
	if (c->trouble == TROUBLE_OWNER_KILLED)
		proc_kill(&sys->hosts[owner]);
	g_usleep((gulong)c->for_ms * 1000);
	if (c->trouble == TROUBLE_OWNER_FROZEN)
		proc_resume(&sys->hosts[owner]);
	else if (c->trouble == TROUBLE_OWNER_CUT)
		set_link(sys, owner, "pass");
	else if (c->trouble == TROUBLE_UNHEARD)
		control(sys, "{\"hold_range\":{}}");
	else if (c->trouble == TROUBLE_STORE_BUSY)
		control(sys, "{\"store\":\"up\"}");
	else if (c->trouble == TROUBLE_HOSTS_RESTARTED)
		restart_hosts(sys, true);
}

static void play_case(const domain_case_t *c)
{
	fleet_system_t sys;
	unsigned owner, other;
	int64_t starts;

	print_message("%s\n", c->name);
	start_system(&sys, c->name, 2);
	owner = (unsigned)fleet_shard_owner(&sys, 0);
	other = 1 - owner;
	assert_int_equal(
		fleet_submit(&sys, other, ID("01"), RUN_MS, MANY_SHORT), 200);
	await_starts(&sys, "z0");
	begin_trouble(&sys, c->trouble, owner);
	fleet_platform_put(&sys, "op/evacuate/z0", "{}");
	end_trouble(&sys, c, owner);
	await_idle(&sys, "z0");
	starts = zone_count(&sys, "z0", "starts");
	/* The other zone goes on with the job. */
	await_starts(&sys, "z1");
	g_usleep(WATCHED_USEC);
	assert_int_equal(zone_count(&sys, "z0", "starts"), starts);
	control(&sys, "{\"delete\":\"op/evacuate/z0\"}");
	assert_int_equal(
		fleet_submit(&sys, other, ID("02"), RUN_MS, MANY_SHORT), 200);
	await_starts(&sys, "z0");
	fleet_await_state(&sys, other, ID("01"), "completed");
	fleet_await_state(&sys, other, ID("02"), "completed");
	fleet_system_stop(&sys);
}

static void test_nothing_starts_whatever_fails(void **state)
{
	size_t i;

	(void)state;
	for (i = 0; i < G_N_ELEMENTS(cases); i++)
		play_case(&cases[i]);
}

/* The request goes as the store drops its history, or while it is read. */
static void test_request_taken_back_unheard(void **state)
{
	fleet_system_t sys;

	(void)state;
	start_system(&sys, "taken-back", 1);
	fleet_platform_put(&sys, "op/evacuate/z0", "");
	fleet_platform_put(&sys, "op/evacuate/z1", "no JSON \x01");
	g_usleep(500 * 1000);
	assert_int_equal(fleet_host_counter(&sys, 0, "domains_emptied"), 2);
	assert_int_equal(fleet_submit(&sys, 0, ID("01"), RUN_MS, MANY_SHORT),
			 200);
	g_usleep(500 * 1000);
	assert_int_equal(fleet_platform_counter(&sys, "starts"), 0);
	control(&sys, "{\"compact\":true,\"delete\":\"op/evacuate/z0\"}");
	await_starts(&sys, "z0");
	assert_int_equal(zone_count(&sys, "z1", "starts"), 0);
	/* Back and emptied again at once. */
	control(&sys, "{\"delete\":\"op/evacuate/z1\",\"put\":{\"key\":"
		      "\"op/evacuate/z1\",\"text\":\"{}\"}}");
	g_usleep(500 * 1000);
	control(&sys, "{\"delete\":\"op/evacuate/z1\"}");
	await_starts(&sys, "z1");
	fleet_await_state(&sys, 0, ID("01"), "completed");
	fleet_system_stop(&sys);
}

/* Entries of other writers are counted once and change nothing. */
static void test_odd_requests(void **state)
{
	fleet_system_t sys;
	int i;

	(void)state;
	start_system(&sys, "odd", 1);
	for (i = 0; i < 3; i++) {
		fleet_platform_put(&sys, "op/evacuate/", "{}");
		fleet_platform_put(&sys, "op/evacuate/z0/z1", "{}");
		fleet_platform_put(&sys, "op/evacuate/z 0", "{}");
		fleet_platform_put(&sys, "op/evacuate/nowhere", "{}");
		fleet_platform_put(&sys, "op/evacuation", "{}");
		g_usleep(100 * 1000);
	}
	assert_int_equal(fleet_submit(&sys, 0, ID("01"), RUN_MS, MANY_SHORT),
			 200);
	await_starts(&sys, "z0");
	await_starts(&sys, "z1");
	assert_int_equal(fleet_host_counter(&sys, 0, "domain_requests_unread"),
			 3);
	assert_int_equal(fleet_host_counter(&sys, 0, "domain_requests"), 1);
	assert_int_equal(fleet_host_counter(&sys, 0, "domains_emptied"), 1);
	fleet_system_stop(&sys);
}

static void test_lasting_tasks_stay(void **state)
{
	fleet_system_t sys;
	zone_arg_t arg = { &sys, "z0", "running", 1 };
	int64_t starts;

	(void)state;
	start_system(&sys, "lasting", 1);
	fleet_platform_put(&sys, "op/evacuate/z1", "{}");
	g_usleep(300 * 1000);
	assert_int_equal(
		fleet_submit(&sys, 0, ID("01"), "100000 lasts", LASTING), 200);
	arg.least = 3;
	proc_wait_until(zone_has_more, &arg, "running tasks");
	starts = fleet_platform_counter(&sys, "starts");
	control(&sys, "{\"delete\":\"op/evacuate/z1\",\"put\":{\"key\":"
		      "\"op/evacuate/z0\",\"text\":\"{}\"}}");
	g_usleep(WATCHED_USEC);
	assert_int_equal(zone_count(&sys, "z0", "running"), 4);
	assert_int_equal(fleet_platform_counter(&sys, "starts"), starts);
	fleet_system_stop(&sys);
}

/* Without the setting nothing is followed, as on earlier deployments. */
static void test_requests_are_not_followed(void **state)
{
	fleet_system_t sys;

	(void)state;
	fleet_system_start(&sys, "platform-domain-off", 1, 4, 1);
	control(&sys, "{\"cores\":2000,\"zones\":2}");
	fleet_platform_put(&sys, "op/evacuate/z0", "{}");
	g_usleep(300 * 1000);
	assert_int_equal(fleet_submit(&sys, 0, ID("01"), RUN_MS, MANY_SHORT),
			 200);
	await_starts(&sys, "z0");
	assert_int_equal(fleet_host_counter(&sys, 0, "domains_emptied"), -1);
	fleet_system_stop(&sys);
}

int main(void)
{
	static const struct CMUnitTest tests[] = {
		cmocka_unit_test(test_nothing_starts_whatever_fails),
		cmocka_unit_test(test_request_taken_back_unheard),
		cmocka_unit_test(test_odd_requests),
		cmocka_unit_test(test_lasting_tasks_stay),
		cmocka_unit_test(test_requests_are_not_followed),
	};

	return cmocka_run_group_tests(tests, NULL, NULL);
}
