/*
 * Measures what an entry host adds to the latency of a request and takes from
 * the throughput.  The same load goes to the executors directly, with ulfius's
 * client and with pooled curl handles, and through an entry host.  The variants
 * take turns for several rounds of one run, so that they share its conditions.
 */
#include <pthread.h>
#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <cmocka.h>
#include <stdio.h>
#include <string.h>
#include <ulfius.h>

#include "clock.h"
#include "http_client.h"
#include "system.h"

#define ROUNDS 3
#define CALLS_PER_THREAD 1500
#define THREADS_MAX 16
#define FRONT_PORT 8000
#define CALL_TIMEOUT_USEC (20 * GH_USEC_PER_SEC)
#define PERMILLE 1000

typedef struct bench_caller bench_caller_t;

/* How a request reaches an executor. */
typedef struct variant {
	const char *name;
	bool (*call)(bench_caller_t *caller, const char *url,
		     unsigned call_number);
	bool via_entry_host;
	const char *method;
} variant_t;

/* A thread that sends requests to an executor by one variant's path. */
struct bench_caller {
	const variant_t *variant;
	system_t *sys;
	http_client_t *client;
	unsigned thread;
	unsigned round; /* part of the Idempotency-Key; differs by round and by
			   number of threads */
	GArray *latencies; /* latency of each call, gh_time_t in usec */
	unsigned n_failed;
};

/* Sums over the rounds of one variant and number of threads. */
typedef struct result {
	GArray *latencies;
	double calls_per_sec; /* mean call rate over the rounds */
	unsigned n_failed;
} result_t;

static bool call_ulfius(bench_caller_t *caller, const char *url,
			unsigned call_number);
static bool call_pooled(bench_caller_t *caller, const char *url,
			unsigned call_number);
static void run_variant(system_t *sys, const variant_t *variant,
			unsigned threads, unsigned round, result_t *result);
static void *send_calls(void *arg);
static void print_result(const variant_t *variant, unsigned threads,
			 result_t *result, double base_calls_per_sec);
static double percentile(GArray *latencies, unsigned permille);
static gint compare_times(gconstpointer a, gconstpointer b);

static const variant_t variants[] = {
	{ .name = "direct, ulfius client",
	  .call = call_ulfius,
	  .method = "GET" },
	{ .name = "direct, pooled handles",
	  .call = call_pooled,
	  .method = "GET" },
	{ .name = "through the daemon, GET",
	  .call = call_pooled,
	  .via_entry_host = true,
	  .method = "GET" },
	{ .name = "through the daemon, POST",
	  .call = call_pooled,
	  .via_entry_host = true,
	  .method = "POST" },
};

static void bench_front(void **state)
{
	static const unsigned threads[] = { 1, 4, THREADS_MAX };
	system_options_t options = {
		.domains = 1,
		.entries = 2,
		.executors = 4,
		.workers = 0,
		.run_ms = 0,
		.no_relay = true,
	};
	system_t *sys = system_new(&options);
	size_t t;
	size_t v;
	unsigned round;

	(void)state;
	printf("%-26s %7s %10s %9s %9s %9s %8s %6s\n", "variant", "callers",
	       "calls/s", "p50 us", "p99 us", "p99.9 us", "failed", "ratio");
	for (t = 0; t < G_N_ELEMENTS(threads); t++) {
		result_t results[G_N_ELEMENTS(variants)] = { 0 };

		for (round = 0; round < ROUNDS; round++)
			for (v = 0; v < G_N_ELEMENTS(variants); v++)
				run_variant(sys, &variants[v], threads[t],
					    round, &results[v]);
		for (v = 0; v < G_N_ELEMENTS(variants); v++)
			print_result(&variants[v], threads[t], &results[v],
				     results[1].calls_per_sec);
	}
	system_free(sys);
}

int main(void)
{
	const struct CMUnitTest tests[] = {
		cmocka_unit_test(bench_front),
	};

	return cmocka_run_group_tests_name("bench-front", tests, NULL, NULL);
}

static bool call_ulfius(bench_caller_t *caller, const char *url,
			unsigned call_number)
{
	struct _u_request request;
	struct _u_response response;
	bool ok;

	(void)call_number;
	ulfius_init_request(&request);
	ulfius_init_response(&response);
	request.http_verb = g_strdup(caller->variant->method);
	request.http_url = g_strdup(url);
	ok = ulfius_send_http_request(&request, &response) == U_OK &&
	     response.status == 200;
	ulfius_clean_request(&request);
	ulfius_clean_response(&response);
	return ok;
}

static bool call_pooled(bench_caller_t *caller, const char *url,
			unsigned call_number)
{
	char *key = g_strdup_printf("Idempotency-Key: %s-%u-%u-%u",
				    caller->variant->method, caller->round,
				    caller->thread, call_number);
	const char *headers[] = { key, "X-Attempt: 0", NULL };
	http_call_t call = {
		.method = caller->variant->method,
		.url = url,
		.headers = headers,
		.deadline = clock_boot() + CALL_TIMEOUT_USEC,
	};
	http_response_t answer;
	bool ok = http_client_call(caller->client, &call, &answer) &&
		  answer.status == 200;

	http_response_clear(&answer);
	g_free(key);
	return ok;
}

static void run_variant(system_t *sys, const variant_t *variant,
			unsigned threads, unsigned round, result_t *result)
{
	pthread_t thread_ids[THREADS_MAX];
	bench_caller_t callers[THREADS_MAX];
	http_client_t *client = http_client_new(THREADS_MAX, CALL_TIMEOUT_USEC);
	gh_time_t start = clock_boot();
	unsigned i;

	if (!result->latencies)
		result->latencies =
			g_array_new(FALSE, FALSE, sizeof(gh_time_t));
	for (i = 0; i < threads; i++) {
		callers[i] = (bench_caller_t){
			.variant = variant,
			.sys = sys,
			.client = client,
			.thread = i,
			.round = round * THREADS_MAX + threads,
			.latencies =
				g_array_new(FALSE, FALSE, sizeof(gh_time_t)),
		};
		pthread_create(&thread_ids[i], NULL, send_calls, &callers[i]);
	}
	for (i = 0; i < threads; i++) {
		pthread_join(thread_ids[i], NULL);
		g_array_append_vals(result->latencies,
				    callers[i].latencies->data,
				    callers[i].latencies->len);
		result->n_failed += callers[i].n_failed;
		g_array_unref(callers[i].latencies);
	}
	result->calls_per_sec += threads * CALLS_PER_THREAD *
				 (double)GH_USEC_PER_SEC /
				 (double)(clock_boot() - start) / ROUNDS;
	http_client_free(client);
}

static void *send_calls(void *arg)
{
	bench_caller_t *caller = arg;
	unsigned i;

	for (i = 0; i < CALLS_PER_THREAD; i++) {
		system_t *sys = caller->sys;
		unsigned host = caller->thread + i;
		char *url =
			caller->variant->via_entry_host ?
				g_strdup_printf(
					"http://%s:%d/r/order/x",
					sys->entries[host % sys->n_entries].ip,
					FRONT_PORT) :
				g_strdup_printf(
					"http://%s/x",
					sys->executors[host % sys->n_executors]
						.address);
		gh_time_t start = clock_boot();
		gh_time_t latency;

		if (!caller->variant->call(caller, url, i))
			caller->n_failed++;
		latency = clock_boot() - start;
		g_array_append_val(caller->latencies, latency);
		g_free(url);
	}
	return NULL;
}

static void print_result(const variant_t *variant, unsigned threads,
			 result_t *result, double base_calls_per_sec)
{
	g_array_sort(result->latencies, compare_times);
	printf("%-26s %7u %10.0f %9.0f %9.0f %9.0f %8u %6.2f\n", variant->name,
	       threads, result->calls_per_sec,
	       percentile(result->latencies, 500),
	       percentile(result->latencies, 990),
	       percentile(result->latencies, 999), result->n_failed,
	       result->calls_per_sec / base_calls_per_sec);
	g_array_unref(result->latencies);
}

static double percentile(GArray *latencies, unsigned permille)
{
	guint i = (guint)((uint64_t)latencies->len * permille / PERMILLE);

	return (double)g_array_index(latencies, gh_time_t,
				     MIN(i, latencies->len - 1));
}

static gint compare_times(gconstpointer a, gconstpointer b)
{
	gh_time_t x = *(const gh_time_t *)a;
	gh_time_t y = *(const gh_time_t *)b;

	return (x > y) - (x < y);
}
