#include "caller.h"

#include <pthread.h>
#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <cmocka.h>
#include <stdio.h>
#include <string.h>
#include <unistd.h>

#include "fake.h"

#define THREADS_MAX 64
/* The client's timeout is the request's remaining time plus this margin. */
#define TIMEOUT_MARGIN_MS 5000
#define RETRY_DELAY_MS 5 /* pause after an attempt that is not done */

/* A request's key and its outcomes over all attempts. */
typedef struct record {
	char key[48];
	caller_outcome_t last_outcome; /* outcome of the last attempt sent */
	bool done;  /* some attempt had the outcome CALLER_DONE */
	bool wrong; /* some attempt had the outcome CALLER_WRONG */
} record_t;

typedef struct caller_thread {
	caller_t *caller;
	pthread_t thread;
	unsigned index;
	GArray *records;
} caller_thread_t;

struct caller {
	system_t *sys;
	caller_options_t options;
	unsigned serial; /* part of the request keys; differs for each load
			    generator */
	caller_thread_t threads[THREADS_MAX];
	bool stopped;
	int stop_requested; /* set to 1 to end the threads, atomic */
	int64_t n_finished; /* number of requests with a final outcome, atomic
			     */
	int64_t counts[CALLER_OUTCOMES]; /* number of requests by last outcome,
					    atomic */
};

typedef struct wait_arg {
	int64_t *count;
	int64_t min;
} wait_arg_t;

static void *thread_main(void *arg);
static void send_request(caller_thread_t *th, unsigned n);
static void send_attempt(caller_thread_t *th, record_t *rec, unsigned n,
			 unsigned attempt);
static unsigned choose_entry(caller_t *caller, unsigned n);
static bool has_count(void *arg);
static caller_outcome_t classify_response(const proc_response_t *response,
					  const char *key, const char *body);
static void check_record(const record_t *rec, int64_t runs, bool at_most_once);

caller_t *caller_start(system_t *sys, const caller_options_t *options)
{
	static unsigned serial;
	caller_t *caller = g_new0(caller_t, 1);
	unsigned i;

	caller->sys = sys;
	caller->options = *options;
	caller->serial = ++serial;
	if (!caller->options.method)
		caller->options.method = "POST";
	if (!caller->options.service)
		caller->options.service = "order";
	assert_true(options->threads <= THREADS_MAX);
	for (i = 0; i < options->threads; i++) {
		caller_thread_t *th = &caller->threads[i];

		th->caller = caller;
		th->index = i;
		th->records = g_array_new(FALSE, TRUE, sizeof(record_t));
		if (pthread_create(&th->thread, NULL, thread_main, th))
			fail_msg("cannot create a caller thread");
	}
	return caller;
}

void caller_wait_finished(caller_t *caller, int64_t n)
{
	wait_arg_t arg = { .count = &caller->n_finished };

	arg.min = __atomic_load_n(arg.count, __ATOMIC_SEQ_CST) + n;
	proc_wait_until(has_count, &arg, "outcomes of requests");
}

void caller_wait_done(caller_t *caller, int64_t n)
{
	wait_arg_t arg = { .count = &caller->counts[CALLER_DONE] };

	arg.min = __atomic_load_n(arg.count, __ATOMIC_SEQ_CST) + n;
	proc_wait_until(has_count, &arg, "requests that are done");
}

void caller_stop(caller_t *caller)
{
	unsigned i;

	if (caller->stopped)
		return;
	caller->stopped = true;
	__atomic_store_n(&caller->stop_requested, 1, __ATOMIC_SEQ_CST);
	for (i = 0; i < caller->options.threads; i++)
		pthread_join(caller->threads[i].thread, NULL);
}

int64_t caller_count(caller_t *caller, caller_outcome_t outcome)
{
	return __atomic_load_n(&caller->counts[outcome], __ATOMIC_SEQ_CST);
}

void caller_check(caller_t *caller)
{
	bool at_most_once = strcmp(caller->options.method, "POST") == 0;
	json_t *runs = system_request_runs(caller->sys);
	unsigned i;
	guint j;

	for (i = 0; i < caller->options.threads; i++) {
		GArray *records = caller->threads[i].records;

		for (j = 0; j < records->len; j++) {
			record_t *rec = &g_array_index(records, record_t, j);

			check_record(rec, fake_json_int(runs, rec->key, 0),
				     at_most_once);
		}
	}
	json_decref(runs);
	system_check_executors(caller->sys);
	print_message("requests: done=%lld not_run=%lld unknown=%lld\n",
		      (long long)caller_count(caller, CALLER_DONE),
		      (long long)caller_count(caller, CALLER_NOT_RUN),
		      (long long)caller_count(caller, CALLER_UNKNOWN));
}

void caller_check_all_done(caller_t *caller)
{
	json_t *runs = system_request_runs(caller->sys);
	unsigned i;
	guint j;

	for (i = 0; i < caller->options.threads; i++) {
		GArray *records = caller->threads[i].records;

		for (j = 0; j < records->len; j++) {
			record_t *rec = &g_array_index(records, record_t, j);

			if (!rec->done && fake_json_int(runs, rec->key, 0))
				fail_msg("request %s ran, but no attempt is "
					 "done",
					 rec->key);
		}
	}
	json_decref(runs);
}

void caller_free(caller_t *caller)
{
	unsigned i;

	caller_stop(caller);
	for (i = 0; i < caller->options.threads; i++)
		g_array_free(caller->threads[i].records, TRUE);
	g_free(caller);
}

caller_outcome_t caller_send(system_t *sys, unsigned entry,
			     const caller_options_t *options, const char *key,
			     unsigned attempt, proc_response_t *response)
{
	const char *method = options->method ? options->method : "POST";
	bool is_post = strcmp(method, "POST") == 0;
	GString *url = g_string_new(NULL);
	char *body = is_post ? g_strdup_printf("body of %s", key) : NULL;
	char *key_header = g_strdup_printf("Idempotency-Key: %s", key);
	char *remaining_header = g_strdup_printf(
		"X-Remaining-Ms: %lld", (long long)options->remaining_ms);
	char *attempt_header = g_strdup_printf("X-Attempt: %u", attempt);
	const char *headers[4] = { key_header };
	size_t n = 1;
	proc_response_t received;
	caller_outcome_t result;

	g_string_printf(url, "http://%s/r/%s/x?key=%s",
			sys->entries[entry].address,
			options->service ? options->service : "order", key);
	if (options->run_ms)
		g_string_append_printf(url, "&run_ms=%lld",
				       (long long)options->run_ms);
	if (options->remaining_ms)
		headers[n++] = remaining_header;
	if (!options->omit_attempt)
		headers[n++] = attempt_header;
	received = proc_http(method, url->str, headers, body,
			     options->remaining_ms + TIMEOUT_MARGIN_MS);
	result = classify_response(&received, key, body ? body : "");
	if (response)
		*response = received;
	else
		proc_response_clear(&received);
	g_string_free(url, TRUE);
	g_free(body);
	g_free(key_header);
	g_free(remaining_header);
	g_free(attempt_header);
	return result;
}

static void *thread_main(void *arg)
{
	caller_thread_t *th = arg;
	unsigned n;

	for (n = 0;
	     !__atomic_load_n(&th->caller->stop_requested, __ATOMIC_SEQ_CST);
	     n++)
		send_request(th, n);
	return NULL;
}

/* Sends a request, and retries it up to the limit until it is done. */
static void send_request(caller_thread_t *th, unsigned n)
{
	caller_t *caller = th->caller;
	record_t rec = { .last_outcome = CALLER_NOT_RUN };
	unsigned attempt;

	g_snprintf(rec.key, sizeof(rec.key), "k%d-%u-%u-%u", (int)getpid(),
		   caller->serial, th->index, n);
	for (attempt = 0; attempt <= caller->options.repeats && !rec.done;
	     attempt++) {
		send_attempt(th, &rec, n, attempt);
		if (!rec.done)
			fake_sleep_ms(RETRY_DELAY_MS);
	}
	g_array_append_val(th->records, rec);
	__atomic_add_fetch(&caller->counts[rec.last_outcome], 1,
			   __ATOMIC_SEQ_CST);
	__atomic_add_fetch(&caller->n_finished, 1, __ATOMIC_SEQ_CST);
}

/*
 * Sends one attempt.  An attempt of which nothing was sent does not change the
 * outcome of earlier attempts, which may have run.
 */
static void send_attempt(caller_thread_t *th, record_t *rec, unsigned n,
			 unsigned attempt)
{
	caller_t *caller = th->caller;
	unsigned entry = choose_entry(caller, th->index + n + attempt);
	proc_response_t response;
	caller_outcome_t result;

	result = caller_send(caller->sys, entry, &caller->options, rec->key,
			     attempt, &response);
	if (response.status || !response.unsent)
		rec->last_outcome = result;
	rec->done |= result == CALLER_DONE;
	rec->wrong |= result == CALLER_WRONG;
	proc_response_clear(&response);
}

static unsigned choose_entry(caller_t *caller, unsigned n)
{
	uint64_t allowed = caller->options.entries;
	unsigned i = n % caller->sys->n_entries;

	while (allowed && !(allowed & (UINT64_C(1) << i)))
		i = (i + 1) % caller->sys->n_entries;
	return i;
}

static bool has_count(void *arg)
{
	wait_arg_t *wait = arg;

	return __atomic_load_n(wait->count, __ATOMIC_SEQ_CST) >= wait->min;
}

static caller_outcome_t classify_response(const proc_response_t *response,
					  const char *key, const char *body)
{
	const char *outcome = proc_response_header(response, "x-outcome");

	if (!response->status)
		return response->unsent ? CALLER_NOT_RUN : CALLER_UNKNOWN;
	if (!outcome)
		return CALLER_WRONG;
	if (!strcmp(outcome, "not_run"))
		return CALLER_NOT_RUN;
	if (strcmp(outcome, "done") != 0)
		return CALLER_UNKNOWN;
	if (strcmp(fake_json_string(response->json, "key", ""), key) != 0 ||
	    strcmp(fake_json_string(response->json, "echo", "-"), body) != 0)
		return CALLER_WRONG;
	return CALLER_DONE;
}

static void check_record(const record_t *rec, int64_t runs, bool at_most_once)
{
	if (rec->wrong)
		fail_msg("request %s got a wrong response", rec->key);
	if (rec->done && runs < 1)
		fail_msg("request %s is reported done and did not run",
			 rec->key);
	if (rec->last_outcome == CALLER_NOT_RUN && runs)
		fail_msg("request %s is reported \"not run\" and ran",
			 rec->key);
	if (at_most_once && runs > 1)
		fail_msg("request %s ran %lld times, at most 1 is allowed",
			 rec->key, (long long)runs);
}
