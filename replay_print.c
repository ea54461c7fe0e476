/*
 * Prints the results of replaying one trace under each policy, as a table.  The
 * column "crest" is about the peak load of the trace, the column "short" about
 * latency-critical requests.
 */
#include "replay.h"

#include <inttypes.h>
#include <string.h>

#define PERMILLE 1000
#define USEC_TO_MS(us) ((double)(us) / GH_USEC_PER_MSEC)

static const char *const policy_names[REPLAY_POLICIES] = {
	[REPLAY_CORE] = "core",
	[REPLAY_FIFO_RANDOM] = "fifo-random",
	[REPLAY_LEAST_CONNECTIONS] = "least-connections",
	[REPLAY_FIRST_FIT] = "first-fit",
};

static void print_requests(const replay_trace_t *trace, replay_policy_t policy,
			   FILE *out);
static void print_tasks(const replay_trace_t *trace, replay_policy_t policy,
			FILE *out);
static void print_refusals(const uint64_t *refused, FILE *out);
static void print_guarantees(const replay_trace_t *trace,
			     const replay_request_result_t *res, FILE *out);
static double percent(double part, double whole);
static gint compare_times(gconstpointer a, gconstpointer b);

const char *replay_policy_name(replay_policy_t policy)
{
	return policy_names[policy];
}

gh_time_t replay_percentile(replay_samples_t *samples, unsigned permille)
{
	GArray *values = samples->values;
	guint i;

	if (!values || !values->len)
		return 0;
	g_array_sort(values, compare_times);
	i = (guint)((uint64_t)values->len * permille / PERMILLE);
	if (i == values->len)
		i--;
	return g_array_index(values, gh_time_t, i);
}

void replay_print(const replay_trace_t *trace, FILE *out)
{
	int policy;

	fprintf(out, "trace %s seed %" PRIu64 " events %u\n", trace->name,
		trace->seed, trace->events->len);
	fprintf(out, "%-18s %8s %8s %8s %8s %8s %9s %9s %9s %7s %9s\n",
		"requests", "p50 ms", "p99 ms", "p99.9 ms", "in time",
		"refused", "crest %", "slots %", "batch/s", "retries",
		"short p99");
	for (policy = 0; policy < REPLAY_POLICIES; policy++)
		print_requests(trace, (replay_policy_t)policy, out);
	fprintf(out, "%-18s %8s %8s %8s %8s %8s %9s %9s %9s\n", "tasks",
		"started", "done", "failed", "evicted", "urgent", "urgent p99",
		"cores done", "cores lost");
	for (policy = 0; policy < REPLAY_POLICIES; policy++)
		print_tasks(trace, (replay_policy_t)policy, out);
}

static void print_requests(const replay_trace_t *trace, replay_policy_t policy,
			   FILE *out)
{
	replay_request_result_t res;
	gh_time_t peak_duration = trace->peak_to - trace->peak_from;
	double peak_capacity;

	if (!replay_requests(trace, policy, &res))
		return;
	peak_capacity = (double)res.slots * (double)peak_duration;
	fprintf(out,
		"%-18s %8.1f %8.1f %8.1f %8" PRIu64 " %8" PRIu64
		" %9.1f %9.1f %9.2f %7" PRIu64 " %9.1f\n",
		policy_names[policy],
		USEC_TO_MS(replay_percentile(&res.latency, 500)),
		USEC_TO_MS(replay_percentile(&res.latency, 990)),
		USEC_TO_MS(replay_percentile(&res.latency, 999)), res.in_time,
		res.offered - res.completed,
		percent((double)res.peak_in_time, (double)res.peak_offered),
		percent((double)res.peak_work_in_time, peak_capacity),
		res.duration ? (double)res.batch_work / (double)res.duration :
			       0,
		res.retries,
		USEC_TO_MS(replay_percentile(&res.queue_wait, 990)));
	if (res.slot_overruns)
		fprintf(out, "  executor slots exceeded: %u times\n",
			res.slot_overruns);
	print_guarantees(trace, &res, out);
	print_refusals(res.refused, out);
	replay_request_result_clear(&res);
}

static void print_tasks(const replay_trace_t *trace, replay_policy_t policy,
			FILE *out)
{
	replay_task_result_t res;

	if (!replay_tasks(trace, policy, &res))
		return;
	fprintf(out,
		"%-18s %8" PRIu64 " %8" PRIu64 " %8" PRIu64 " %8" PRIu64
		" %8u %9.1f %9.1f %9.1f\n",
		policy_names[policy], res.started, res.done, res.failed,
		res.evicted, res.urgent_start_delay.values->len,
		USEC_TO_MS(replay_percentile(&res.urgent_start_delay, 990)),
		(double)res.work_done_core_ms * GH_USEC_PER_MSEC /
			(double)res.duration,
		(double)res.work_lost_core_ms * GH_USEC_PER_MSEC /
			(double)res.duration);
	if (res.size_overruns)
		fprintf(out, "  worker cores exceeded: %" PRIu64 " times\n",
			res.size_overruns);
	if (res.workers_ejected)
		fprintf(out, "  workers ejected: %" PRIu64 "\n",
			res.workers_ejected);
	print_refusals(res.refused, out);
	replay_task_result_clear(&res);
}

static void print_refusals(const uint64_t *refused, FILE *out)
{
	int i;

	for (i = 0; i < GH_E_COUNT; i++)
		if (refused[i])
			fprintf(out, "  refused %s: %" PRIu64 "\n",
				gh_error_name((gh_error_kind_t)i), refused[i]);
}

static void print_guarantees(const replay_trace_t *trace,
			     const replay_request_result_t *res, FILE *out)
{
	size_t i;

	for (i = 0; i < trace->doc->n_departments && i < REPLAY_DEPARTMENTS_MAX;
	     i++)
		if (res->samples_with_demand[i])
			fprintf(out,
				"  department %s below its guarantee: "
				"%" PRIu64 " of %" PRIu64 " samples\n",
				trace->doc->departments[i].name,
				res->samples_below_guarantee[i],
				res->samples_with_demand[i]);
}

static double percent(double part, double whole)
{
	return whole > 0 ? part * 100 / whole : 0;
}

static gint compare_times(gconstpointer a, gconstpointer b)
{
	gh_time_t x = *(const gh_time_t *)a;
	gh_time_t y = *(const gh_time_t *)b;

	return (x > y) - (x < y);
}
