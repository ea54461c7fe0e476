/*
 * Measures what an entry host that gets no requests costs at several sizes of
 * the system, with and without tasks: processor time, memory, and per second
 * bytes sent to peers and calls to the store and to workers, each averaged over
 * the hosts.  The default policy is in force.
 */
#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <cmocka.h>
#include <inttypes.h>
#include <stdio.h>
#include <string.h>
#include <unistd.h>

#include "clock.h"
#include "system.h"

#define MEASUREMENT_S 10
/* Length of a processor time tick in /proc/PID/stat. */
#define USEC_PER_TICK (1000000 / 100)
#define TASKS_PER_WORKER 8

typedef struct system_size {
	unsigned domains;
	unsigned entries; /* entry hosts per domain */
	unsigned workers; /* workers per domain */
	bool busy;	  /* long-running tasks fill the workers */
	int64_t run_ms;	  /* run time of short tasks; 0: there are none */
} system_size_t;

/* Resource usage of one entry host's process. */
typedef struct usage {
	int64_t cpu_usec; /* processor time since the start of the process */
	int64_t rss_kb;
	int64_t counters[11]; /* values of the counters named in counters[] */
} usage_t;

static const char *const counters[] = {
	"peer_bytes_sent",   "store_bytes",   "worker_bytes",
	"peer_calls_sent",   "store_reads",   "store_writes",
	"store_lease_calls", "store_watches", "worker_calls",
	"shard_commits",     "tasks_started",
};

static const system_size_t sizes[] = {
	{ .domains = 1, .entries = 3, .workers = 2 },
	{ .domains = 2, .entries = 3, .workers = 2 },
	{ .domains = 3, .entries = 3, .workers = 2 },
	{ .domains = 4, .entries = 3, .workers = 2 },
	{ .domains = 6, .entries = 3, .workers = 2 },
	{ .domains = 1, .entries = 3, .workers = 12 },
	{ .domains = 1, .entries = 3, .workers = 24 },
	{ .domains = 1, .entries = 3, .workers = 12, .busy = true },
	{ .domains = 1, .entries = 3, .workers = 24, .busy = true },
	{ .domains = 1, .entries = 3, .workers = 12, .run_ms = 16000 },
	{ .domains = 1, .entries = 3, .workers = 12, .run_ms = 4000 },
	{ .domains = 1, .entries = 3, .workers = 12, .run_ms = 1000 },
};

static void bench_size(const system_size_t *size);
static void submit_jobs(system_t *sys, unsigned workers, int64_t run_ms,
			unsigned n_jobs);
static usage_t read_usage(system_t *sys, unsigned entry);
static int64_t read_cpu_usec(pid_t pid);
static int64_t read_rss_kb(pid_t pid);

static void bench_node(void **state)
{
	size_t i;

	(void)state;
	printf("hosts dom workers busy   cpu%%  rss KB");
	for (i = 0; i < G_N_ELEMENTS(counters); i++)
		printf(" %s/s", counters[i]);
	printf("\n");
	for (i = 0; i < G_N_ELEMENTS(sizes); i++)
		bench_size(&sizes[i]);
}

int main(void)
{
	const struct CMUnitTest tests[] = {
		cmocka_unit_test(bench_node),
	};

	return cmocka_run_group_tests_name("bench-node", tests, NULL, NULL);
}

static void bench_size(const system_size_t *size)
{
	system_options_t options = {
		.domains = size->domains,
		.entries = size->entries,
		.executors = 1,
		.workers = size->workers,
		.default_policy = true,
		.no_relay = true,
	};
	system_t *sys = system_new(&options);
	usage_t before[SYSTEM_HOSTS_MAX];
	usage_t sum = { 0 };
	double hosts = sys->n_entries;
	unsigned i;
	size_t j;

	if (size->busy)
		submit_jobs(sys, size->workers, 0, 1);
	if (size->run_ms)
		submit_jobs(sys, size->workers, size->run_ms,
			    (MEASUREMENT_S + 10) * 1000 /
					    (unsigned)size->run_ms +
				    1);
	sleep(2);
	for (i = 0; i < sys->n_entries; i++)
		before[i] = read_usage(sys, i);
	sleep(MEASUREMENT_S);
	for (i = 0; i < sys->n_entries; i++) {
		usage_t after = read_usage(sys, i);

		sum.cpu_usec += after.cpu_usec - before[i].cpu_usec;
		sum.rss_kb += after.rss_kb;
		for (j = 0; j < G_N_ELEMENTS(counters); j++)
			sum.counters[j] +=
				after.counters[j] - before[i].counters[j];
	}
	printf("%5u %3u %7u %4d %6.2f %7.0f", sys->n_entries, size->domains,
	       sys->n_workers, size->busy,
	       (double)sum.cpu_usec / MEASUREMENT_S / 10000 / hosts,
	       (double)sum.rss_kb / hosts);
	for (j = 0; j < G_N_ELEMENTS(counters); j++)
		printf(" %*.2f", (int)strlen(counters[j]) + 2,
		       (double)sum.counters[j] / MEASUREMENT_S / hosts);
	printf("\n");
	fflush(stdout);
	system_free(sys);
}

/*
 * Submits n_jobs jobs, each of which takes all cores of the workers, and waits
 * until half the tasks of one job run.  With a run_ms of 0 the tasks are
 * long-running.
 */
static void submit_jobs(system_t *sys, unsigned workers, int64_t run_ms,
			unsigned n_jobs)
{
	unsigned i;

	for (i = 0; i < n_jobs; i++) {
		char *json = g_strdup_printf(
			"{\"name\":\"job-%u\",\"department\":\"haddad\","
			"\"domain\":\"d0\",\"kind\":\"job\","
			"\"class\":\"%s\",\"urgent\":false,\"tasks\":%u,"
			"\"cores_milli\":%d,\"memory_mb\":64,"
			"\"accelerators\":0,\"run_ms\":%" PRId64
			",\"command\":\"job\"}",
			i, run_ms ? "batch" : "latency",
			workers * TASKS_PER_WORKER, 4000 / TASKS_PER_WORKER,
			run_ms);

		system_submit(sys, 0, json);
		g_free(json);
	}
	system_wait_task_runs(sys, "running",
			      (int64_t)workers * TASKS_PER_WORKER / 2);
}

static usage_t read_usage(system_t *sys, unsigned entry)
{
	pid_t pid = sys->entries[entry].proc.pid;
	usage_t usage = {
		.cpu_usec = read_cpu_usec(pid),
		.rss_kb = read_rss_kb(pid),
	};
	size_t j;

	for (j = 0; j < G_N_ELEMENTS(counters); j++)
		usage.counters[j] = system_counter(sys, entry, counters[j]);
	return usage;
}

static int64_t read_cpu_usec(pid_t pid)
{
	char *path = g_strdup_printf("/proc/%d/stat", (int)pid);
	char *text = NULL;
	long long user = 0;
	long long kernel = 0;
	char *fields;

	if (g_file_get_contents(path, &text, NULL, NULL)) {
		fields = strrchr(text, ')');
		sscanf(fields + 2,
		       "%*c %*d %*d %*d %*d %*d %*u %*u %*u %*u %*u %lld %lld",
		       &user, &kernel);
	}
	g_free(text);
	g_free(path);
	return (user + kernel) * USEC_PER_TICK;
}

static int64_t read_rss_kb(pid_t pid)
{
	char *path = g_strdup_printf("/proc/%d/status", (int)pid);
	char *text = NULL;
	int64_t kb = 0;
	char *line;

	if (g_file_get_contents(path, &text, NULL, NULL)) {
		line = strstr(text, "VmRSS:");
		kb = line ? g_ascii_strtoll(line + strlen("VmRSS:"), NULL, 10) :
			    0;
	}
	g_free(text);
	g_free(path);
	return kb;
}
