/*
 * Process test: while something fails, no worker runs more than its size, no
 * task runs in two places, and an evicted task resumes exactly once.
 */
#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <cmocka.h>
#include <stdio.h>
#include <string.h>

#include "fake.h"
#include "system.h"

#define TASKS 24
#define OWNER_KILLS 6
#define RUNS_STARTED 4 /* runs that start before the failure */

static const char job_json[] =
	"{\"name\":\"rebuild\",\"department\":\"haddad\",\"domain\":\"d0\","
	"\"kind\":\"rebuild\",\"class\":\"batch\",\"urgent\":false,"
	"\"tasks\":24,\"cores_milli\":1000,\"memory_mb\":500,"
	"\"accelerators\":0,\"run_ms\":400,\"command\":\"run\"}";

/* A failure while tasks run, and how the failure ends. */
typedef struct task_case {
	const char *name;
	void (*start_failure)(system_t *sys);
	void (*heal)(system_t *sys);
	bool tasks_continue; /* wait for tasks to run during the failure */
} task_case_t;

static const system_options_t options = {
	.domains = 2,
	.entries = 2,
	.workers = 2,
	.no_ready_wait = true,
};

static void do_nothing(system_t *sys)
{
	(void)sys;
}

static bool owns_shard(system_t *sys, unsigned entry)
{
	char *url = g_strdup_printf("http://%s:8001/v1/status",
				    sys->entries[entry].ip);
	json_t *status = proc_get(url);
	json_t *shard;
	bool owns = false;
	size_t i;

	json_array_foreach(
		json_object_get(status, "shards"), i,
		shard) if (!strcmp(fake_json_string(shard, "domain", ""),
				   "d0") &&
			   fake_json_int(shard, "epoch", 0)) owns = true;
	json_decref(status);
	g_free(url);
	return owns;
}

/*
 * Returns the index of a running entry host, other than the excluded one, that
 * owns a shard of domain d0, or -1.
 */
static int find_other_owner(system_t *sys, unsigned excluded)
{
	unsigned i;

	for (i = 0; i < sys->n_entries; i++)
		if (i != excluded && proc_running(&sys->entries[i].proc) &&
		    owns_shard(sys, i))
			return (int)i;
	return -1;
}

static int find_owner(system_t *sys)
{
	return find_other_owner(sys, SYSTEM_HOSTS_MAX);
}

static bool has_owner(void *arg)
{
	return find_owner(arg) >= 0;
}

static unsigned wait_owner(system_t *sys)
{
	proc_wait_until(has_owner, sys, "an owner of the shard");
	return (unsigned)find_owner(sys);
}

static unsigned affected_entry; /* entry host that the failure was applied to */

static void kill_owner(system_t *sys)
{
	affected_entry = wait_owner(sys);
	proc_kill(&sys->entries[affected_entry].proc);
}

static void start_affected_entry(system_t *sys)
{
	system_entry_start(sys, affected_entry);
}

static void kill_owner_twice(system_t *sys)
{
	kill_owner(sys);
	start_affected_entry(sys);
	kill_owner(sys);
}

/* Kills the shard's owner several times, each time after one more run has
 * started. */
static void kill_owner_repeatedly(system_t *sys)
{
	int i;

	for (i = 0; i < OWNER_KILLS; i++) {
		system_wait_task_runs(
			sys, NULL,
			MIN(system_count_task_runs(sys, NULL) + 1, TASKS));
		kill_owner(sys);
		start_affected_entry(sys);
	}
}

static bool has_other_owner(void *arg)
{
	return find_other_owner(arg, affected_entry) >= 0;
}

/* Pauses the shard's owner; resume_owner() resumes it once another host owns
 * the shard. */
static void freeze_owner(system_t *sys)
{
	affected_entry = wait_owner(sys);
	proc_freeze(&sys->entries[affected_entry].proc);
}

static void resume_owner(system_t *sys)
{
	proc_wait_until(has_other_owner, sys, "another owner");
	proc_resume(&sys->entries[affected_entry].proc);
}

static void stop_owner(system_t *sys)
{
	affected_entry = wait_owner(sys);
	proc_stop(&sys->entries[affected_entry].proc);
	proc_wait_until(has_other_owner, sys, "another owner");
}

static void cut_owner_from_store(system_t *sys)
{
	affected_entry = wait_owner(sys);
	system_set_link_mode(sys, "store", sys->entries[affected_entry].name,
			     "cut");
}

static void cut_domain(system_t *sys)
{
	system_cut_store(sys, 0, true);
	system_cut_domain(sys, 0, true, true);
}

static void store_down(system_t *sys)
{
	json_decref(proc_control(sys->store_address, "{\"mode\":\"down\"}"));
}

static void store_slow(system_t *sys)
{
	json_decref(proc_control(sys->store_address,
				 "{\"delay_ms\":150,\"mode\":\"slow\"}"));
}

static void store_up(system_t *sys)
{
	json_decref(proc_control(sys->store_address, "{\"mode\":\"up\"}"));
}

static void store_loses_replies(system_t *sys)
{
	json_decref(proc_control(sys->store_address,
				 "{\"lose_prefix\":\"gh/tasks\","
				 "\"lose_replies\":3}"));
}

static void store_down_and_owner_killed(system_t *sys)
{
	store_down(sys);
	kill_owner(sys);
}

static void store_up_and_start(system_t *sys)
{
	store_up(sys);
	start_affected_entry(sys);
}

static void set_worker_links(system_t *sys, const char *mode)
{
	unsigned i;

	for (i = 0; i < sys->n_workers; i++)
		system_set_link_mode(sys, "worker", sys->workers[i].name, mode);
}

static void workers_cut(system_t *sys)
{
	set_worker_links(sys, "cut");
}

static void workers_lose_replies(system_t *sys)
{
	set_worker_links(sys, "cut_back");
}

static void workers_silent(system_t *sys)
{
	set_worker_links(sys, "silent");
}

static void workers_reset(system_t *sys)
{
	set_worker_links(sys, "reset");
}

static void one_worker_cut(system_t *sys)
{
	system_set_link_mode(sys, "worker", sys->workers[0].name, "cut");
}

static void worker_fails_all(system_t *sys)
{
	json_decref(proc_control(sys->workers[0].address,
				 "{\"mode\":\"fail_all\"}"));
}

static void worker_up(system_t *sys)
{
	json_decref(proc_control(sys->workers[0].address, "{\"mode\":\"up\"}"));
}

static const task_case_t cases[] = {
	{ "nothing_fails", do_nothing, do_nothing, true },
	{ "owner_killed", kill_owner, start_affected_entry, true },
	{ "owners_killed_twice", kill_owner_twice, start_affected_entry, true },
	{ "owner_frozen", freeze_owner, resume_owner, false },
	{ "owner_stopped", stop_owner, start_affected_entry, true },
	{ "owner_cut_from_store", cut_owner_from_store, system_restore_links,
	  false },
	{ "domain_cut_from_all", cut_domain, system_restore_links, false },
	{ "owners_killed_often", kill_owner_repeatedly, do_nothing, false },
	{ "store_down", store_down, store_up, false },
	{ "store_slow", store_slow, store_up, true },
	{ "store_replies_lost", store_loses_replies, do_nothing, true },
	{ "store_down_owner_killed", store_down_and_owner_killed,
	  store_up_and_start, false },
	{ "workers_cut", workers_cut, system_restore_links, false },
	{ "workers_answers_lost", workers_lose_replies, system_restore_links,
	  false },
	{ "workers_silent", workers_silent, system_restore_links, true },
	{ "workers_reset", workers_reset, system_restore_links, false },
	{ "one_worker_cut", one_worker_cut, system_restore_links, true },
	{ "worker_fails_all", worker_fails_all, worker_up, true },
};

/* Checks the tasks several times while the failure lasts or after it. */
static void check_tasks_repeatedly(system_t *sys)
{
	int i;

	for (i = 0; i < 20; i++) {
		system_check_tasks(sys);
		fake_sleep_ms(50);
	}
}

static void run_failure_case(const task_case_t *c)
{
	system_t *sys = system_new(&options);

	system_submit(sys, 0, job_json);
	system_wait_task_runs(sys, NULL, RUNS_STARTED);
	c->start_failure(sys);
	if (c->tasks_continue)
		system_wait_task_runs(sys, "done", TASKS / 2);
	else
		check_tasks_repeatedly(sys);
	c->heal(sys);
	system_wait_task_runs(sys, "done", TASKS);
	check_tasks_repeatedly(sys);
	system_check_tasks(sys);
	assert_int_equal(system_count_task_runs(sys, "done"), TASKS);
	system_free(sys);
}

/* Fills the workers of the domain with batch tasks of one department. */
static const char batch_job_json[] =
	"{\"name\":\"bulk\",\"department\":\"haddad\",\"domain\":\"d0\","
	"\"kind\":\"bulk\",\"class\":\"batch\",\"urgent\":false,"
	"\"tasks\":8,\"cores_milli\":1000,\"memory_mb\":500,"
	"\"accelerators\":0,\"run_ms\":3000,\"command\":\"run\"}";

static const char urgent_job_json[] =
	"{\"name\":\"wiring\",\"department\":\"association\","
	"\"domain\":\"d0\",\"kind\":\"wiring\",\"class\":\"latency\","
	"\"urgent\":true,\"tasks\":3,\"cores_milli\":1000,"
	"\"memory_mb\":500,\"accelerators\":0,\"run_ms\":300,"
	"\"command\":\"run\"}";

#define BATCH_TASKS 8
#define URGENT_TASKS 3

/*
 * Urgent tasks of a department below its guarantee evict batch tasks, which
 * resume later.  The failure starts after the first eviction.
 */
static void run_eviction_case(const task_case_t *c)
{
	system_t *sys = system_new(&options);

	system_submit(sys, 0, batch_job_json);
	system_wait_task_runs(sys, "running", BATCH_TASKS);
	system_submit_as(sys, 0, urgent_job_json, "association");
	system_wait_task_runs(sys, "stopped", 1);
	c->start_failure(sys);
	check_tasks_repeatedly(sys);
	c->heal(sys);
	system_wait_task_runs(sys, "done", BATCH_TASKS + URGENT_TASKS);
	check_tasks_repeatedly(sys);
	system_check_tasks(sys);
	assert_int_equal(system_count_task_runs(sys, "done"),
			 BATCH_TASKS + URGENT_TASKS);
	print_message("stopped: %d, expired: %d\n",
		      (int)system_count_task_runs(sys, "stopped"),
		      (int)system_count_task_runs(sys, "lapsed"));
	system_free(sys);
}

static const task_case_t eviction_cases[] = {
	{ "evict_nothing_fails", do_nothing, do_nothing, false },
	{ "evict_owner_killed", kill_owner, start_affected_entry, false },
	{ "evict_owner_frozen", freeze_owner, resume_owner, false },
	{ "evict_store_down", store_down, store_up, false },
	{ "evict_store_replies_lost", store_loses_replies, do_nothing, false },
	{ "evict_workers_answers_lost", workers_lose_replies,
	  system_restore_links, false },
	{ "evict_domain_cut_from_all", cut_domain, system_restore_links,
	  false },
};

static void test_eviction(void **state)
{
	run_eviction_case(*state);
}

static void test_case(void **state)
{
	run_failure_case(*state);
}

/* The optional argument is a pattern of the names of tests to run. */
int main(int argc, char **argv)
{
	struct CMUnitTest
		tests[G_N_ELEMENTS(cases) + G_N_ELEMENTS(eviction_cases)];
	size_t n = 0;
	size_t i;

	for (i = 0; i < G_N_ELEMENTS(cases); i++)
		tests[n++] =
			(struct CMUnitTest){ cases[i].name, test_case, NULL,
					     NULL, (void *)&cases[i] };
	for (i = 0; i < G_N_ELEMENTS(eviction_cases); i++)
		tests[n++] = (struct CMUnitTest){ eviction_cases[i].name,
						  test_eviction, NULL, NULL,
						  (void *)&eviction_cases[i] };
	if (argc > 1)
		cmocka_set_test_filter(argv[1]);
	return _cmocka_run_group_tests("proof_task", tests, n, NULL, NULL);
}
