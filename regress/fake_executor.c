/*
 * Fake executor: runs a limited number of requests at the same time, and
 * counts how often each request ran.
 *
 * A request's key is its query parameter "key", its header Idempotency-Key or
 * its header X-Request-Id, in this order of precedence.  Its run time is its
 * query parameter "run_ms", its header X-Run-Ms, or the executor's default.
 *
 * Control calls: {"mode":MODE}, {"next":N} limits a mode other than "up" to
 * the next N requests, {"run_ms":N} sets the default run time, {"late_ms":N}
 * the delay of mode "late".
 */
#include <argtable2.h>
#include <pthread.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "fake.h"

#define KEYS_MAX 200000 /* request keys whose runs are counted */
#define DEFAULT_LATE_MS 1000

typedef enum exec_mode {
	MODE_UP,
	MODE_LATE,    /* delays the response by late_ms after the run */
	MODE_SHORT,   /* truncates the response */
	MODE_CROSSED, /* sends an earlier request's response */
	MODE_FAIL,    /* responds 500 at once, without the run time */
	MODE_SILENT,  /* never responds */
	MODE_CLOSE    /* closes the connection without a response */
} exec_mode_t;

static const char *const mode_names[] = { "up",	  "late",   "short", "crossed",
					  "fail", "silent", "close" };

typedef struct executor {
	const fake_ops_t *ops;
	pthread_mutex_t lock;
	GHashTable *runs; /* request key to number of runs */
	exec_mode_t mode;
	int64_t mode_requests_left; /* requests left until the mode returns to
				       MODE_UP; 0: no limit */
	int64_t default_run_ms;
	int64_t late_ms;
	int slots;
	int busy_slots;
	int busy_slots_max;
	uint64_t rejected_requests;
	uint64_t total_runs;
	uint64_t repeated_keys; /* keys that ran more than once */
	char *last_id; /* request id in the last response, for MODE_CROSSED */
	char *last_body;
} executor_t;

typedef struct mode_handler {
	void (*respond)(executor_t *ex, const fake_request_t *req,
			fake_reply_t *reply);
} mode_handler_t;

static void serve(void *self, const fake_request_t *req, fake_reply_t *reply);
static bool set(void *self, const char *key, const json_t *value);
static json_t *show(void *self, const fake_request_t *req);
static bool take_slot(executor_t *ex, const char *key, exec_mode_t *mode);
static exec_mode_t consume_mode(executor_t *ex);
static void count_run(executor_t *ex, const char *key);
static int64_t request_run_ms(executor_t *ex, const fake_request_t *req);
static const char *request_key(const fake_request_t *req);
static void respond_normally(executor_t *ex, const fake_request_t *req,
			     fake_reply_t *reply);
static void respond_late(executor_t *ex, const fake_request_t *req,
			 fake_reply_t *reply);
static void respond_truncated(executor_t *ex, const fake_request_t *req,
			      fake_reply_t *reply);
static void respond_crossed(executor_t *ex, const fake_request_t *req,
			    fake_reply_t *reply);
static void respond_failure(executor_t *ex, const fake_request_t *req,
			    fake_reply_t *reply);
static void respond_never(executor_t *ex, const fake_request_t *req,
			  fake_reply_t *reply);
static void close_connection(executor_t *ex, const fake_request_t *req,
			     fake_reply_t *reply);

static const fake_ops_t ops = { .serve = serve,
				.set_control = set,
				.get_state = show };

static const mode_handler_t mode_handlers[] = {
	[MODE_UP] = { respond_normally },
	[MODE_LATE] = { respond_late },
	[MODE_SHORT] = { respond_truncated },
	[MODE_CROSSED] = { respond_crossed },
	[MODE_FAIL] = { respond_failure },
	[MODE_SILENT] = { respond_never },
	[MODE_CLOSE] = { close_connection },
};

int main(int argc, char **argv)
{
	struct arg_str *listen_on =
		arg_str1(NULL, "listen", "IP:PORT", "address to listen on");
	struct arg_int *slots =
		arg_int0(NULL, "slots", "N", "requests run at the same time");
	struct arg_int *run_ms =
		arg_int0(NULL, "run-ms", "N", "default run time of a request");
	struct arg_int *conns =
		arg_int0(NULL, "connections", "N", "maximum open connections");
	struct arg_end *end = arg_end(4);
	void *table[] = { listen_on, slots, run_ms, conns, end };
	executor_t ex = { .ops = &ops, .late_ms = DEFAULT_LATE_MS };

	slots->ival[0] = 8;
	run_ms->ival[0] = 5;
	conns->ival[0] = 64;
	if (arg_parse(argc, argv, table)) {
		arg_print_errors(stderr, end, argv[0]);
		return 2;
	}
	ex.slots = slots->ival[0];
	ex.default_run_ms = run_ms->ival[0];
	pthread_mutex_init(&ex.lock, NULL);
	ex.runs = g_hash_table_new_full(g_str_hash, g_str_equal, g_free, NULL);
	return fake_serve((fake_t *)&ex, listen_on->sval[0],
			  (unsigned)conns->ival[0]);
}

static void serve(void *self, const fake_request_t *req, fake_reply_t *reply)
{
	executor_t *ex = self;
	const char *id = fake_header(req, "x-request-id");
	const char *key = request_key(req);
	exec_mode_t mode;

	if (!take_slot(ex, key, &mode)) {
		fake_reply_error(reply, 503, "busy");
		g_string_append(reply->headers, "X-Not-Run: 1\r\n");
		g_string_append_printf(reply->headers, "X-Request-Id: %s\r\n",
				       id ? id : "-");
		return;
	}
	if (mode != MODE_FAIL)
		fake_sleep_ms(request_run_ms(ex, req));
	pthread_mutex_lock(&ex->lock);
	ex->busy_slots--;
	pthread_mutex_unlock(&ex->lock);
	mode_handlers[mode].respond(ex, req, reply);
}

/* Takes a slot and counts the run; returns false when all slots are busy. */
static bool take_slot(executor_t *ex, const char *key, exec_mode_t *mode)
{
	bool ok;

	pthread_mutex_lock(&ex->lock);
	ok = ex->busy_slots < ex->slots;
	if (ok) {
		*mode = consume_mode(ex);
		ex->busy_slots++;
		ex->busy_slots_max = MAX(ex->busy_slots_max, ex->busy_slots);
		count_run(ex, key);
	} else {
		ex->rejected_requests++;
	}
	pthread_mutex_unlock(&ex->lock);
	return ok;
}

/* Returns the mode for one request, and ends a mode that "next" limits. */
static exec_mode_t consume_mode(executor_t *ex)
{
	exec_mode_t mode = ex->mode;

	if (ex->mode_requests_left && !--ex->mode_requests_left)
		ex->mode = MODE_UP;
	return mode;
}

static void count_run(executor_t *ex, const char *key)
{
	size_t n = GPOINTER_TO_SIZE(g_hash_table_lookup(ex->runs, key));

	ex->total_runs++;
	if (n == 1)
		ex->repeated_keys++;
	if (n || g_hash_table_size(ex->runs) < KEYS_MAX)
		g_hash_table_replace(ex->runs, g_strdup(key),
				     GSIZE_TO_POINTER(n + 1));
}

static const char *request_key(const fake_request_t *req)
{
	const char *key = fake_query(req, "key");

	if (!key)
		key = fake_header(req, "idempotency-key");
	if (!key)
		key = fake_header(req, "x-request-id");
	return key ? key : "-";
}

static int64_t request_run_ms(executor_t *ex, const fake_request_t *req)
{
	const char *text = fake_query(req, "run_ms");
	int64_t ms;

	if (!text)
		text = fake_header(req, "x-run-ms");
	if (text)
		return strtoll(text, NULL, 10);
	pthread_mutex_lock(&ex->lock);
	ms = ex->default_run_ms;
	pthread_mutex_unlock(&ex->lock);
	return ms;
}

static void respond_normally(executor_t *ex, const fake_request_t *req,
			     fake_reply_t *reply)
{
	const char *id = fake_header(req, "x-request-id");
	json_t *json = json_pack("{s:s,s:s,s:s,s:s,s:s}", "id", id ? id : "-",
				 "key", request_key(req), "method", req->method,
				 "path", req->path, "echo", req->body);
	char *text = json_dumps(json, JSON_COMPACT);

	g_string_append_printf(reply->headers, "X-Request-Id: %s\r\n",
			       id ? id : "-");
	g_string_append(reply->body, text);
	pthread_mutex_lock(&ex->lock);
	g_free(ex->last_id);
	g_free(ex->last_body);
	ex->last_id = g_strdup(id);
	ex->last_body = g_strdup(text);
	pthread_mutex_unlock(&ex->lock);
	free(text);
	json_decref(json);
}

static void respond_late(executor_t *ex, const fake_request_t *req,
			 fake_reply_t *reply)
{
	fake_sleep_ms(ex->late_ms);
	respond_normally(ex, req, reply);
}

static void respond_truncated(executor_t *ex, const fake_request_t *req,
			      fake_reply_t *reply)
{
	respond_normally(ex, req, reply);
	reply->delivery = FAKE_DELIVERY_TRUNCATED;
}

/* Sends the whole response of the last request instead of this one's. */
static void respond_crossed(executor_t *ex, const fake_request_t *req,
			    fake_reply_t *reply)
{
	(void)req;
	pthread_mutex_lock(&ex->lock);
	g_string_append_printf(reply->headers, "X-Request-Id: %s\r\n",
			       ex->last_id ? ex->last_id : "crossed");
	g_string_append(reply->body, ex->last_body ? ex->last_body : "crossed");
	pthread_mutex_unlock(&ex->lock);
}

static void respond_failure(executor_t *ex, const fake_request_t *req,
			    fake_reply_t *reply)
{
	respond_normally(ex, req, reply);
	reply->status = 500;
}

static void respond_never(executor_t *ex, const fake_request_t *req,
			  fake_reply_t *reply)
{
	(void)ex;
	(void)req;
	reply->delivery = FAKE_DELIVERY_NONE;
}

static void close_connection(executor_t *ex, const fake_request_t *req,
			     fake_reply_t *reply)
{
	(void)ex;
	(void)req;
	reply->delivery = FAKE_DELIVERY_CLOSE;
}

static bool set(void *self, const char *key, const json_t *value)
{
	executor_t *ex = self;
	int mode = fake_find_name(json_string_value(value), mode_names,
				  G_N_ELEMENTS(mode_names));
	bool ok = true;

	pthread_mutex_lock(&ex->lock);
	if (!strcmp(key, "mode") && mode >= 0)
		ex->mode = (exec_mode_t)mode;
	else if (!strcmp(key, "next"))
		ex->mode_requests_left = json_integer_value(value);
	else if (!strcmp(key, "run_ms"))
		ex->default_run_ms = json_integer_value(value);
	else if (!strcmp(key, "late_ms"))
		ex->late_ms = json_integer_value(value);
	else
		ok = false;
	pthread_mutex_unlock(&ex->lock);
	return ok;
}

static json_t *show(void *self, const fake_request_t *req)
{
	executor_t *ex = self;
	json_t *runs = json_object();
	GHashTableIter iter;
	gpointer key;
	gpointer n;
	json_t *out;

	pthread_mutex_lock(&ex->lock);
	g_hash_table_iter_init(&iter, ex->runs);
	while (fake_query(req, "runs") &&
	       g_hash_table_iter_next(&iter, &key, &n))
		json_object_set_new(
			runs, key,
			json_integer((json_int_t)GPOINTER_TO_SIZE(n)));
	out = json_pack("{s:s,s:i,s:i,s:i,s:I,s:I,s:I,s:o}", "mode",
			mode_names[ex->mode], "slots", ex->slots, "busy",
			ex->busy_slots, "most", ex->busy_slots_max, "over",
			(json_int_t)ex->rejected_requests, "total",
			(json_int_t)ex->total_runs, "twice",
			(json_int_t)ex->repeated_keys, "runs", runs);
	pthread_mutex_unlock(&ex->lock);
	return out;
}
