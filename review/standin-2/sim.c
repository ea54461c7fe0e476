#include "sim.h"

#include <arpa/inet.h>
#include <errno.h>
#include <microhttpd.h>
#include <netinet/tcp.h>
#include <poll.h>
#include <signal.h>
#include <pthread.h>
#include <stdarg.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <sys/socket.h>
#include <time.h>
#include <unistd.h>

#define PORT 7000
#define FRONT_PORT 8161
#define READY_PORT 8167
#define HOST_HEADER "q.example"
#define HOLD_MAX_MS 10000
#define STOP_MS 100
#define GANG_WAIT_MS 3000
#define CHECKPOINT_MS 2000
#define RESTORE_MS 100
#define STARTUP_MS 200
#define SILENCE_MS 4500 /* three heartbeats */
#define TICK_MS 5
#define PAGE_MAX 400
#define VALUE_MAX 1048576

typedef struct item {
	char *key, *value; /* base64; NULL: deleted */
	int64_t revision, created, lease;
} item_t;

typedef struct lease {
	int64_t id, ttl_ms, ends_at;
	struct lease *next;
} lease_t;

typedef struct run {
	char task[64], gang[64];
	int64_t run;
	sim_job_t *job;
	sim_step_t *step;
	int index;
	int64_t began_at, tick_at, stop_at;
	int64_t worked_ms, saved_ms, restore_ms;
	int percent;
	char saved[17];
	struct run *next;
} run_t;

typedef struct end {
	int64_t number, run;
	char task[64], saved[17];
	const char *how;
	struct end *next;
} end_t;

/* Highest run of a task that was stopped or has ended on an executor. */
typedef struct past {
	char task[64];
	int64_t run;
	struct past *next;
} past_t;

typedef struct executor {
	int n;
	char address[64], id[32];
	struct MHD_Daemon *daemon;
	bool up;
	int64_t born_wall, born, restart_at, unlist_at, life;
	char unlist_id[32];
	int cpu, mem_mb, cpu_used, mem_used;
	int64_t fence, lease_until, last_end;
	bool keeps_id;
	int64_t entry_ms, entry_at; /* delay and time of its entry */
	run_t *runs;
	end_t *ends;
	past_t *past;
} executor_t;

typedef struct reply {
	int status;
	json_t *json;
	bool drop;
} reply_t;

typedef struct upload {
	char *body;
	size_t len;
} upload_t;

static pthread_mutex_t lock = PTHREAD_MUTEX_INITIALIZER;
static pthread_cond_t changed;
static struct timespec started;
static FILE *record;
static char net[32];
static item_t *items;
static size_t n_items;
static item_t *events;
static size_t n_events;
static int64_t revision = 100;
static lease_t *leases;
static int64_t last_lease = 7;
static executor_t *executors;
static int n_executors;
static sim_job_t **jobs;
static int n_jobs;

int64_t sim_now(void)
{
	struct timespec t;

	clock_gettime(CLOCK_MONOTONIC, &t);
	return (t.tv_sec - started.tv_sec) * 1000LL +
	       (t.tv_nsec - started.tv_nsec) / 1000000;
}

int64_t sim_wall(void)
{
	struct timespec t;

	clock_gettime(CLOCK_REALTIME, &t);
	return t.tv_sec * 1000LL + t.tv_nsec / 1000000;
}

void sim_sleep(int64_t ms)
{
	struct timespec t = { ms / 1000, ms % 1000 * 1000000 };

	if (ms > 0)
		nanosleep(&t, NULL);
}

void sim_lock(void)
{
	pthread_mutex_lock(&lock);
}

void sim_unlock(void)
{
	pthread_mutex_unlock(&lock);
}

void sim_record(const char *format, ...)
{
	va_list args;

	va_start(args, format);
	flockfile(record);
	fprintf(record, "%8.3f ", sim_now() / 1000.0);
	vfprintf(record, format, args);
	fputc('\n', record);
	fflush(record);
	funlockfile(record);
	va_end(args);
}

static void trace(sim_job_t *job, const char *format, ...)
{
	char line[256];
	va_list args;
	int n;

	if (job->untraced)
		return;
	n = snprintf(line, sizeof(line), "%8.3f   ", sim_now() / 1000.0);

	va_start(args, format);
	n += vsnprintf(line + n, sizeof(line) - n - 2, format, args);
	va_end(args);
	if (n > (int)sizeof(line) - 2)
		n = sizeof(line) - 2;
	line[n++] = '\n';
	job->trace = realloc(job->trace, job->trace_len + n + 1);
	memcpy(job->trace + job->trace_len, line, n);
	job->trace_len += n;
	job->trace[job->trace_len] = '\0';
}

/* Waits for a change, with the lock held, until a time. */
static void wait_change(int64_t until)
{
	int64_t ms = until - sim_now();
	struct timespec t;

	clock_gettime(CLOCK_MONOTONIC, &t);
	if (ms < 1)
		ms = 1;
	t.tv_sec += ms / 1000;
	t.tv_nsec += ms % 1000 * 1000000;
	if (t.tv_nsec >= 1000000000) {
		t.tv_nsec -= 1000000000;
		t.tv_sec++;
	}
	pthread_cond_timedwait(&changed, &lock, &t);
}

/* The store. */

static size_t item_position(const char *key, bool *found)
{
	size_t low = 0;
	size_t high = n_items;

	*found = false;
	while (low < high) {
		size_t middle = (low + high) / 2;
		int order = strcmp(items[middle].key, key);

		if (!order) {
			*found = true;
			return middle;
		}
		if (order < 0)
			low = middle + 1;
		else
			high = middle;
	}
	return low;
}

static void put(const char *key, const char *value, int64_t lease, int64_t rev)
{
	bool found;
	size_t at = item_position(key, &found);

	if (!found && !value)
		return;
	if (!found) {
		items = realloc(items, (n_items + 1) * sizeof(*items));
		memmove(items + at + 1, items + at,
			(n_items - at) * sizeof(*items));
		n_items++;
		items[at] = (item_t){ .key = strdup(key), .created = rev };
	}
	free(items[at].value);
	items[at].value = value ? strdup(value) : NULL;
	items[at].revision = rev;
	items[at].lease = lease;
	if (!(n_events & (n_events + 1)))
		events = realloc(events, (2 * n_events + 2) * sizeof(*events));
	events[n_events] = items[at];
	events[n_events].key = strdup(key);
	events[n_events++].value = value ? strdup(value) : NULL;
	if (!value) {
		free(items[at].key);
		memmove(items + at, items + at + 1,
			(n_items - at - 1) * sizeof(*items));
		n_items--;
	}
	pthread_cond_broadcast(&changed);
}

static char *base64(const char *text)
{
	static const char digits[] = "ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmno"
				     "pqrstuvwxyz0123456789+/";
	size_t n = strlen(text);
	char *out = malloc(n * 4 / 3 + 8);
	char *p = out;
	size_t i;

	for (i = 0; i < n; i += 3) {
		unsigned v = (unsigned char)text[i] << 16;

		if (i + 1 < n)
			v |= (unsigned char)text[i + 1] << 8;
		if (i + 2 < n)
			v |= (unsigned char)text[i + 2];
		*p++ = digits[v >> 18];
		*p++ = digits[v >> 12 & 63];
		*p++ = i + 1 < n ? digits[v >> 6 & 63] : '=';
		*p++ = i + 2 < n ? digits[v & 63] : '=';
	}
	*p = '\0';
	return out;
}

static void put_text(const char *key, const char *text)
{
	char *value = base64(text);

	put(key, value, 0, ++revision);
	free(value);
}

static json_t *show(const item_t *item)
{
	if (!item->value)
		return json_pack("{s:s,s:I,s:b}", "key", item->key, "revision",
				 (json_int_t)item->revision, "deleted", 1);
	return json_pack("{s:s,s:s,s:I,s:I,s:I}", "key", item->key, "value",
			 item->value, "revision", (json_int_t)item->revision,
			 "created", (json_int_t)item->created, "lease_id",
			 (json_int_t)item->lease);
}

static const char *text_of(const json_t *object, const char *key)
{
	const char *text = json_string_value(json_object_get(object, key));

	return text ? text : "";
}

static int64_t number_of(const json_t *object, const char *key)
{
	return json_integer_value(json_object_get(object, key));
}

static lease_t *find_lease(int64_t id)
{
	lease_t *lease;

	for (lease = leases; lease; lease = lease->next)
		if (lease->id == id)
			return lease;
	return NULL;
}

static void end_lease(lease_t *ended)
{
	lease_t **at = &leases;
	size_t i;

	while (*at != ended)
		at = &(*at)->next;
	*at = ended->next;
	for (i = n_items; i > 0; i--)
		if (i <= n_items && items[i - 1].lease == ended->id) {
			char *key = strdup(items[i - 1].key);

			put(key, NULL, 0, ++revision);
			free(key);
		}
	free(ended);
}

static void serve_txn(const json_t *body, reply_t *reply)
{
	json_t *current = json_array();
	json_t *rows = json_object_get(body, "expected_rev");
	json_t *writes = json_object_get(body, "writes");
	bool matches = true;
	static int refused;
	json_t *row;
	size_t i;

	json_array_foreach(rows, i, row)
	{
		const char *key = text_of(row, "key");
		bool found;
		size_t at = item_position(key, &found);

		matches = matches && number_of(row, "revision") ==
					     (found ? items[at].revision : 0);
		json_array_append_new(
			current, found ? show(&items[at]) :
					 json_pack("{s:s,s:i}", "key", key,
						   "revision", 0));
	}
	if (!matches) {
		reply->status = 412;
		reply->json = json_pack("{s:o}", "items", current);
		return;
	}
	json_decref(current);
	json_array_foreach(writes, i, row)
	{
		int64_t lease = number_of(row, "lease_id");

		size_t bytes = strlen(text_of(row, "value")) / 4 * 3;

		if (bytes > VALUE_MAX) {
			if (refused++ % 100 == 0)
				sim_record("store: refusal %d, 400: the value "
					   "of %s has %zu bytes, "
					   "max_value_bytes is %d",
					   refused, text_of(row, "key"), bytes,
					   VALUE_MAX);
			reply->status = 400;
			return;
		}
		if (lease && !find_lease(lease)) {
			reply->status = 404;
			return;
		}
	}
	revision++;
	json_array_foreach(writes, i, row)
		put(text_of(row, "key"), text_of(row, "value"),
		    number_of(row, "lease_id"), revision);
	json_array_foreach(json_object_get(body, "delete"), i, row)
		put(json_string_value(row), NULL, 0, revision);
	reply->json = json_pack("{s:I}", "revision", (json_int_t)revision);
}

static void serve_range(struct MHD_Connection *conn, reply_t *reply)
{
	const char *prefix = MHD_lookup_connection_value(
		conn, MHD_GET_ARGUMENT_KIND, "prefix");
	const char *after = MHD_lookup_connection_value(
		conn, MHD_GET_ARGUMENT_KIND, "after");
	json_t *list = json_array();
	size_t bytes = 0;
	bool more = false;
	size_t i;

	for (i = 0; i < n_items; i++) {
		if (strncmp(items[i].key, prefix, strlen(prefix)) != 0 ||
		    (after && strcmp(items[i].key, after) <= 0))
			continue;
		more = json_array_size(list) == PAGE_MAX || bytes > VALUE_MAX;
		if (more)
			break;
		bytes += strlen(items[i].value);
		json_array_append_new(list, show(&items[i]));
	}
	reply->json = json_pack("{s:o,s:b,s:I}", "items", list, "has_more",
				(int)more, "at", (json_int_t)revision);
}

static void serve_watch(struct MHD_Connection *conn, reply_t *reply)
{
	const char *prefix = MHD_lookup_connection_value(
		conn, MHD_GET_ARGUMENT_KIND, "prefix");
	const char *after_text = MHD_lookup_connection_value(
		conn, MHD_GET_ARGUMENT_KIND, "after");
	const char *wait_text = MHD_lookup_connection_value(
		conn, MHD_GET_ARGUMENT_KIND, "wait_ms");
	int64_t after = strtoll(after_text, NULL, 10);
	int64_t until = sim_now() + strtoll(wait_text, NULL, 10);
	size_t next = n_events;
	json_t *list = json_array();

	while (next > 0 && events[next - 1].revision > after)
		next--;
	for (;;) {
		for (; next < n_events; next++)
			if (!strncmp(events[next].key, prefix, strlen(prefix)))
				json_array_append_new(list,
						      show(&events[next]));
		if (json_array_size(list) || sim_now() >= until)
			break;
		wait_change(until);
	}
	reply->json = json_pack("{s:o,s:I}", "events", list, "at",
				(json_int_t)revision);
}

static void serve_store(const char *url, const char *method,
			struct MHD_Connection *conn, const json_t *body,
			reply_t *reply)
{
	lease_t *lease;

	if (!strcmp(url, "/api/kv-key")) {
		bool found;
		size_t at = item_position(
			MHD_lookup_connection_value(
				conn, MHD_GET_ARGUMENT_KIND, "key"),
			&found);

		if (!found)
			reply->status = 404;
		reply->json = found ? show(&items[at]) : json_object();
		json_object_set_new(reply->json, "at", json_integer(revision));
	} else if (!strcmp(url, "/api/kv-range")) {
		serve_range(conn, reply);
	} else if (!strcmp(url, "/api/kv-watch")) {
		serve_watch(conn, reply);
	} else if (!strcmp(url, "/api/kv-txn")) {
		serve_txn(body, reply);
	} else if (!strcmp(url, "/api/kv-lease")) {
		lease = calloc(1, sizeof(*lease));
		lease->id = ++last_lease;
		lease->ttl_ms = number_of(body, "ttl_ms");
		lease->ends_at = sim_now() + lease->ttl_ms;
		lease->next = leases;
		leases = lease;
		reply->json = json_pack("{s:I,s:I}", "lease_id",
					(json_int_t)lease->id, "ttl_ms",
					(json_int_t)lease->ttl_ms);
	} else if (!strncmp(url, "/api/kv-keep/", 13)) {
		lease = find_lease(strtoll(url + 13, NULL, 10));
		if (lease)
			lease->ends_at = sim_now() + lease->ttl_ms;
		else
			reply->status = 404;
		reply->json = json_pack(
			"{s:I}", "ttl_ms",
			(json_int_t)(lease ? lease->ttl_ms : 0));
	} else if (!strncmp(url, "/api/kv-lease-end/", 18)) {
		lease = find_lease(strtoll(url + 18, NULL, 10));
		if (lease)
			end_lease(lease);
	} else {
		reply->status = 404;
	}
	(void)method;
}

void sim_put_config(int version, const char *const *routes, int n)
{
	json_t *list = json_array();
	char *text;
	int i;

	for (i = 0; i < n; i++)
		json_array_append_new(
			list,
			json_pack("{s:s,s:s,s:s,s:s,s:i,s:i,s:i,s:s,s:i,s:f}",
				  "name", routes[2 * i], "hostname",
				  HOST_HEADER, "prefix", routes[2 * i + 1],
				  "route_type", "non_idempotent", "timeout_ms",
				  3000, "target_latency_ms", 1000, "priority",
				  0, "backend", "huvo11a", "attempts", 3,
				  "stretch", 2.0));
	list = json_pack(
		"{s:i,s:o,s:[{s:s,s:s,s:i,s:s,s:b,s:b,s:b}],s:{s:i,s:i}}",
		"version", version, "routes", list, "services", "name",
		"huvo11a", "health_path", "/health", "max_conns", 64,
		"protocol", "h1", "tls", 0, "rejects_overload", 1, "headroom",
		0, "limits", "max_header_bytes", 16384, "max_body_bytes",
		262144);
	text = json_dumps(list, JSON_COMPACT);
	sim_lock();
	put_text("op/config", text);
	sim_unlock();
	sim_record("operator writes op/config version %d: %s", version, text);
	free(text);
	json_decref(list);
}

/* Executors. */

static void publish(const executor_t *x)
{
	char key[64], text[512];

	snprintf(key, sizeof(key), "servers/%s", x->id);
	snprintf(text, sizeof(text),
		 "{\"backend\":\"huvo11a\",\"address\":\"%s\",\"zone\":\"z%d\","
		 "\"version\":\"v1\",\"slots\":8,\"state\":\"ready\","
		 "\"cold_remaining_ms\":0,\"capacity\":{\"cpu\":%d,\"mem_mb\":"
		 "%d,\"gpus\":0},\"labels\":[\"a\",\"r%d\"],\"clock_ms\":%lld,"
		 "\"sequence\":1,\"born\":%lld}",
		 x->address, x->n % 3, x->cpu, x->mem_mb, x->n / 6,
		 (long long)(sim_now() - x->born), (long long)x->born_wall);
	put_text(key, text);
}

static past_t *past_of(executor_t *x, const char *task, bool add)
{
	past_t *p;

	for (p = x->past; p; p = p->next)
		if (!strcmp(p->task, task))
			return p;
	if (!add)
		return NULL;
	p = calloc(1, sizeof(*p));
	snprintf(p->task, sizeof(p->task), "%s", task);
	p->next = x->past;
	x->past = p;
	return p;
}

static run_t *find_run(executor_t *x, const char *task)
{
	run_t *r;

	for (r = x->runs; r; r = r->next)
		if (!strcmp(r->task, task))
			return r;
	return NULL;
}

static void remove_run(executor_t *x, run_t *run)
{
	run_t **at = &x->runs;

	while (*at != run)
		at = &(*at)->next;
	*at = run->next;
	x->cpu_used -= run->step->cpu;
	x->mem_used -= run->step->mem_mb;
	free(run);
}

static void end_run(executor_t *x, run_t *run, const char *how)
{
	end_t *end = calloc(1, sizeof(*end));
	end_t **at = &x->ends;
	past_t *past = past_of(x, run->task, true);
	sim_job_t *job = run->job;

	end->number = ++x->last_end;
	end->run = run->run;
	snprintf(end->task, sizeof(end->task), "%s", run->task);
	snprintf(end->saved, sizeof(end->saved), "%s", run->saved);
	end->how = how;
	while (*at)
		at = &(*at)->next;
	*at = end;
	if (past->run < run->run)
		past->run = run->run;
	job->done += !strcmp(how, "done");
	job->failed += !strcmp(how, "failed");
	trace(job, "%s ends run %lld of %s: %s", x->id, (long long)run->run,
	      run->task, how);
	remove_run(x, run);
	pthread_cond_broadcast(&changed);
}

static void note_saved(run_t *run)
{
	if (!run->step->checkpointing)
		return;
	run->saved_ms = run->worked_ms;
	snprintf(run->saved, sizeof(run->saved), "%08llx%.8s",
		 (unsigned long long)run->worked_ms, run->job->id);
}

/* How many runs of the same gang start are there. */
static int gang_members(const run_t *run)
{
	int n = 0;
	int i;

	for (i = 0; i < n_executors; i++) {
		run_t *r;

		for (r = executors[i].up ? executors[i].runs : NULL; r;
		     r = r->next)
			n += !strcmp(r->gang, run->gang) && !r->stop_at;
	}
	return n;
}

static void end_gang(const char *gang, const char *how)
{
	int i;

	for (i = 0; i < n_executors; i++) {
		run_t *r, *next;

		for (r = executors[i].up ? executors[i].runs : NULL; r;
		     r = next) {
			next = r->next;
			if (!strcmp(r->gang, gang))
				end_run(&executors[i], r, how);
		}
	}
}

/* Returns whether the executor's list of runs has changed. */
static bool tick_run(executor_t *x, run_t *run, int64_t now)
{
	sim_step_t *step = run->step;
	int64_t passed = now - run->tick_at;
	int64_t work;
	char gang[64];

	run->tick_at = now;
	if (run->stop_at) {
		if (now < run->stop_at)
			return false;
		note_saved(run);
		snprintf(gang, sizeof(gang), "%s", run->gang);
		end_run(x, run, "stopped");
		if (*gang)
			end_gang(gang, "broken");
		return true;
	}
	if (step->gang && gang_members(run) < step->count) {
		if (now - run->began_at < GANG_WAIT_MS)
			return false;
		end_run(x, run, "alone");
		return true;
	}
	run->job->last_ran_at = now;
	if (run->restore_ms > 0) {
		run->restore_ms -= passed;
		return false;
	}
	run->worked_ms += passed;
	if (run->worked_ms - run->saved_ms >= CHECKPOINT_MS)
		note_saved(run);
	if (!run->index && step->fails && run->worked_ms >= step->fail_ms) {
		step->fails--;
		snprintf(gang, sizeof(gang), "%s", run->gang);
		end_run(x, run, "failed");
		if (*gang)
			end_gang(gang, "broken");
		return true;
	}
	if (step->lasting) {
		run->percent = run->worked_ms >= STARTUP_MS ? 100 : 50;
		return false;
	}
	work = step->work_ms[run->index % SIM_TASKS_MAX];
	run->percent = (int)(run->worked_ms * 100 / work);
	if (run->worked_ms < work)
		return false;
	if (step->gang) {
		snprintf(gang, sizeof(gang), "%s", run->gang);
		end_gang(gang, "done");
	} else {
		end_run(x, run, "done");
	}
	return true;
}

static void start_life(executor_t *x);

static void tick_executor(executor_t *x, int64_t now)
{
	run_t *run;

	if (x->unlist_at && now >= x->unlist_at) {
		char key[64];

		x->unlist_at = 0;
		snprintf(key, sizeof(key), "servers/%s", x->unlist_id);
		put(key, NULL, 0, ++revision);
	}
	if (!x->up) {
		if (x->restart_at && now >= x->restart_at)
			start_life(x);
		return;
	}
	if (x->entry_at && now >= x->entry_at) {
		x->entry_at = 0;
		publish(x);
	}
	if (x->runs && now > x->lease_until)
		sim_record("executor %s: its lease has run out", x->id);
	while (x->runs && now > x->lease_until)
		end_run(x, x->runs, "lapsed");
	do {
		for (run = x->runs; run; run = run->next)
			if (tick_run(x, run, now))
				break;
	} while (run);
}

static void *tick(void *arg)
{
	int64_t now;
	lease_t *l;
	int i;

	(void)arg;
	for (;;) {
		sim_sleep(TICK_MS);
		sim_lock();
		now = sim_now();
		for (i = 0; i < n_executors; i++)
			tick_executor(&executors[i], now);
		do {
			for (l = leases; l; l = l->next)
				if (now > l->ends_at)
					break;
			if (l)
				end_lease(l);
		} while (l);
		sim_unlock();
	}
	return NULL;
}

static sim_job_t *find_job(const char *task)
{
	int i;

	for (i = 0; i < n_jobs; i++)
		if (!strncmp(jobs[i]->id, task, 16) && task[16] == '.')
			return jobs[i];
	return NULL;
}

static void serve_start(executor_t *x, const json_t *body, reply_t *reply,
			const char **reason)
{
	const char *task = text_of(body, "task_id");
	const char *saved = text_of(body, "last_checkpoint");
	int64_t number = number_of(body, "run_id");
	sim_job_t *job = find_job(task);
	run_t *run = find_run(x, task);
	past_t *past = past_of(x, task, false);
	unsigned k, s, index;
	sim_step_t *step;

	if (run && run->run == number)
		return;
	if ((run && run->run > number) || (past && past->run >= number)) {
		*reason = "old";
		return;
	}
	if (sim_now() >= x->lease_until) {
		*reason = "late";
		return;
	}
	if (!job || sscanf(task + 16, ".%u.%u.%u", &k, &s, &index) != 3 ||
	    (int)s >= job->n_steps || (int)index >= job->steps[s].count) {
		sim_record("UNASKED: %s is told to start %s", x->id, task);
		reply->status = 400;
		return;
	}
	step = &job->steps[s];
	if (run || x->cpu_used + step->cpu > x->cpu ||
	    x->mem_used + step->mem_mb > x->mem_mb) {
		*reason = "room";
		return;
	}
	run = calloc(1, sizeof(*run));
	snprintf(run->task, sizeof(run->task), "%s", task);
	if (step->gang)
		snprintf(run->gang, sizeof(run->gang), "%s.%u.%u run %lld",
			 job->id, k, s, (long long)number);
	run->run = number;
	run->job = job;
	run->step = step;
	run->index = (int)index;
	run->began_at = run->tick_at = sim_now();
	if (*saved) {
		snprintf(run->saved, sizeof(run->saved), "%s", saved);
		run->worked_ms = run->saved_ms = strtoll(
			(char[9]){ saved[0], saved[1], saved[2], saved[3],
				   saved[4], saved[5], saved[6], saved[7], 0 },
			NULL, 16);
		run->restore_ms = RESTORE_MS;
	}
	run->next = x->runs;
	x->runs = run;
	x->cpu_used += step->cpu;
	x->mem_used += step->mem_mb;
	job->starts++;
	job->again += job->acked;
	trace(job, "%s starts run %lld of %s", x->id, (long long)number, task);
}

static void serve_stop(executor_t *x, const json_t *body)
{
	const char *task = text_of(body, "task_id");
	int64_t number = number_of(body, "run_id");
	past_t *past = past_of(x, task, true);
	run_t *run = find_run(x, task);

	if (past->run < number)
		past->run = number;
	if (run && run->run <= number && !run->stop_at)
		run->stop_at = sim_now() + STOP_MS;
}

static void serve_hold(executor_t *x, const json_t *body, reply_t *reply)
{
	int64_t acked = number_of(body, "acked_through");
	int64_t until = sim_now() + number_of(body, "wait_ms");
	int64_t life = x->life;
	json_t *running = json_array();
	json_t *finished = json_array();
	run_t *run;
	end_t *end;
	int n = 0;

	while (x->ends && x->ends->number <= acked) {
		sim_job_t *job = find_job(x->ends->task);

		end = x->ends;
		x->ends = end->next;
		if (job && !strcmp(end->how, "done")) {
			job->acked = true;
			trace(job, "%s is told to forget the end of run %lld "
				   "of %s",
			      x->id, (long long)end->run, end->task);
		}
		free(end);
	}
	while (x->up && x->life == life && !x->ends && sim_now() < until)
		wait_change(until);
	if (!x->up || x->life != life) {
		reply->drop = true;
		json_decref(running);
		json_decref(finished);
		return;
	}
	for (run = x->runs; run; run = run->next)
		json_array_append_new(
			running,
			json_pack("[s,I,s,i,i]", run->task,
				  (json_int_t)run->run, run->saved,
				  run->percent,
				  run->step->lasting ? 20 : run->step->cpu));
	for (end = x->ends; end && n < 500; end = end->next, n++)
		json_array_append_new(
			finished,
			json_pack("[I,s,I,s,s]", (json_int_t)end->number,
				  end->task, (json_int_t)end->run, end->how,
				  end->saved));
	reply->json = json_pack("{s:o,s:o}", "running", running, "finished",
				finished);
}

static void serve_executor(executor_t *x, const char *url,
			   struct MHD_Connection *conn, const json_t *body,
			   reply_t *reply)
{
	const char *expected = MHD_lookup_connection_value(
		conn, MHD_HEADER_KIND, "X-Expected-Instance");
	int64_t fence = number_of(body, "fence_token");
	int64_t deadline = number_of(body, "deadline_ms");
	const char *reason = NULL;

	if (!x->up) {
		reply->drop = true;
		return;
	}
	if (expected && strcmp(expected, x->id) != 0) {
		reply->status = 421;
	} else if (fence < x->fence) {
		reason = "fence";
	} else {
		x->fence = fence;
		if (deadline) {
			int64_t end = x->born + deadline;
			int64_t most = sim_now() + HOLD_MAX_MS;

			if (end > most)
				end = most;
			if (end > x->lease_until)
				x->lease_until = end;
		}
		if (!strcmp(url, "/api/run-start"))
			serve_start(x, body, reply, &reason);
		else if (!strcmp(url, "/api/run-stop"))
			serve_stop(x, body);
		else if (!strcmp(url, "/api/hold"))
			serve_hold(x, body, reply);
		else if (strcmp(url, "/api/pace") != 0)
			reply->status = 404;
	}
	if (reply->drop)
		return;
	if (!reply->json)
		reply->json = json_object();
	if (reason) {
		reply->status = 409;
		json_object_set_new(reply->json, "reason", json_string(reason));
	}
	json_object_set_new(reply->json, "clock_ms",
			    json_integer(sim_now() - x->born));
	json_object_set_new(reply->json, "born", json_integer(x->born_wall));
}

/*
 * Holds the first order to start a task of a job that says so.  Returns whether
 * it did: then the order gets no answer, but is carried out.
 */
static bool hold_late_order(executor_t *x, const char *url, const json_t *body)
{
	const char *task = text_of(body, "task_id");
	sim_job_t *job = find_job(task);
	int64_t until;

	if (strcmp(url, "/api/run-start") != 0 || !job || !job->late_ms)
		return false;
	until = sim_now() + job->late_ms;
	trace(job, "the order to %s to start run %lld of %s is on its way and "
		   "late by %lld ms",
	      x->id, (long long)number_of(body, "run_id"), task,
	      (long long)job->late_ms);
	job->late_ms = 0;
	job->late_executor = x->n;
	while (sim_now() < until)
		wait_change(until);
	trace(job, "the late order to %s is carried out", x->id);
	return true;
}

static enum MHD_Result on_request(void *cls, struct MHD_Connection *conn,
				  const char *url, const char *method,
				  const char *version, const char *data,
				  size_t *len, void **ctx)
{
	upload_t *upload = *ctx;
	reply_t reply = { .status = 200 };
	struct MHD_Response *response;
	enum MHD_Result result;
	json_t *body;
	char *text;

	(void)version;
	if (!upload) {
		*ctx = calloc(1, sizeof(*upload));
		return MHD_YES;
	}
	if (*len) {
		upload->body = realloc(upload->body, upload->len + *len + 1);
		memcpy(upload->body + upload->len, data, *len);
		upload->len += *len;
		*len = 0;
		return MHD_YES;
	}
	body = upload->len ? json_loadb(upload->body, upload->len, 0, NULL) :
			     NULL;
	sim_lock();
	if (cls && hold_late_order(cls, url, body))
		reply.drop = true;
	if (cls)
		serve_executor(cls, url, conn, body, &reply);
	else
		serve_store(url, method, conn, body, &reply);
	sim_unlock();
	json_decref(body);
	if (reply.drop)
		return MHD_NO;
	text = json_dumps(reply.json ? reply.json : json_object(),
			  JSON_COMPACT);
	json_decref(reply.json);
	response = MHD_create_response_from_buffer(strlen(text), text,
						   MHD_RESPMEM_MUST_FREE);
	MHD_add_response_header(response, "Content-Type", "application/json");
	result = MHD_queue_response(conn, (unsigned)reply.status, response);
	MHD_destroy_response(response);
	return result;
}

static void on_completed(void *cls, struct MHD_Connection *conn, void **ctx,
			 enum MHD_RequestTerminationCode code)
{
	upload_t *upload = *ctx;

	(void)cls;
	(void)conn;
	(void)code;
	if (upload)
		free(upload->body);
	free(upload);
	*ctx = NULL;
}

static struct MHD_Daemon *serve_at(const char *ip, executor_t *x)
{
	struct sockaddr_in address = { .sin_family = AF_INET,
				       .sin_port = htons(PORT) };

	inet_pton(AF_INET, ip, &address.sin_addr);
	return MHD_start_daemon(
		MHD_USE_INTERNAL_POLLING_THREAD |
			MHD_USE_THREAD_PER_CONNECTION | MHD_USE_POLL,
		PORT, NULL, NULL, on_request, x, MHD_OPTION_SOCK_ADDR, &address,
		MHD_OPTION_NOTIFY_COMPLETED, on_completed, NULL,
		MHD_OPTION_LISTENING_ADDRESS_REUSE, 1,
		MHD_OPTION_THREAD_STACK_SIZE, (size_t)262144, MHD_OPTION_END);
}

/* Called with the lock. */
static void start_life(executor_t *x)
{
	char ip[64];

	snprintf(ip, sizeof(ip), "%s.%d", net, 100 + x->n);
	x->daemon = serve_at(ip, x);
	if (!x->daemon)
		return;
	x->life++;
	if (!x->keeps_id)
		snprintf(x->id, sizeof(x->id), "i-%02x%08llx", x->n,
			 (unsigned long long)(x->life * 2654435761u &
					      0xffffffff));
	x->up = true;
	x->restart_at = 0;
	x->born = sim_now();
	x->born_wall = sim_wall();
	if (x->entry_ms)
		x->entry_at = x->born + x->entry_ms;
	else
		publish(x);
	sim_record("executor %s (%s) is up, its life %lld", x->id, x->address,
		   (long long)x->life);
}

void sim_add_executors(int n, int cpu, int mem_mb)
{
	int i;

	sim_lock();
	executors = calloc((size_t)n, sizeof(*executors));
	for (i = 0; i < n; i++) {
		executor_t *x = &executors[i];

		x->n = i;
		x->cpu = cpu;
		x->mem_mb = mem_mb;
		snprintf(x->address, sizeof(x->address), "%s.%d:%d", net,
			 100 + i, PORT);
		start_life(x);
	}
	n_executors = n;
	sim_unlock();
}

static void *stop_daemon(void *daemon)
{
	MHD_stop_daemon(daemon);
	return NULL;
}

void sim_crash_executor(int i, int64_t ms)
{
	pthread_t thread;
	executor_t *x = &executors[i];
	struct MHD_Daemon *daemon;
	run_t *run;

	sim_lock();
	sim_record("executor %s (%s) crashes, its process starts again in "
		   "%lld ms",
		   x->id, x->address, (long long)ms);
	x->up = false;
	for (run = x->runs; run; run = run->next) {
		run->job->lost++;
		trace(run->job, "%s crashes with run %lld of %s", x->id,
		      (long long)run->run, run->task);
	}
	while (x->runs) {
		run = x->runs;
		remove_run(x, run);
	}
	while (x->ends) {
		end_t *end = x->ends;

		x->ends = end->next;
		free(end);
	}
	while (x->past) {
		past_t *past = x->past;

		x->past = past->next;
		free(past);
	}
	x->fence = x->lease_until = x->last_end = 0;
	if (!x->keeps_id) {
		snprintf(x->unlist_id, sizeof(x->unlist_id), "%s", x->id);
		x->unlist_at = sim_now() + SILENCE_MS;
	}
	pthread_cond_broadcast(&changed);
	daemon = x->daemon;
	x->daemon = NULL;
	sim_unlock();
	close(MHD_quiesce_daemon(daemon));
	/* It waits for the call that is late, if there is one. */
	pthread_create(&thread, NULL, stop_daemon, daemon);
	pthread_detach(thread);
	sim_lock();
	x->restart_at = sim_now() + ms;
	sim_unlock();
}

void sim_restart_executor(int i, int64_t ms, int64_t entry_ms)
{
	sim_lock();
	executors[i].keeps_id = true;
	executors[i].entry_ms = entry_ms;
	sim_unlock();
	sim_crash_executor(i, ms);
}

int sim_busy_percent(void)
{
	int64_t used = 0;
	int64_t all = 0;
	int i;

	sim_lock();
	for (i = 0; i < n_executors; i++) {
		used += executors[i].cpu_used;
		all += executors[i].cpu;
	}
	sim_unlock();
	return (int)(used * 100 / all);
}

/* Clients. */

sim_job_t *sim_job_new(void)
{
	static uint64_t seed = 0x5c0e7a21d94b36f8;
	sim_job_t *job = calloc(1, sizeof(*job));
	int i;

	seed = seed * 6364136223846793005u + 1442695040888963407u;
	snprintf(job->id, sizeof(job->id), "%016llx",
		 (unsigned long long)(seed ^ seed >> 29));
	for (i = 0; i < SIM_STEPS_MAX; i++)
		job->steps[i].after = -1;
	sim_lock();
	jobs = realloc(jobs, (size_t)(n_jobs + 1) * sizeof(*jobs));
	jobs[n_jobs++] = job;
	sim_unlock();
	return job;
}

static int connect_to(int host, int port)
{
	struct sockaddr_in address = { .sin_family = AF_INET,
				       .sin_port = htons((uint16_t)port) };
	char ip[48];
	int fd = socket(AF_INET, SOCK_STREAM, 0);

	snprintf(ip, sizeof(ip), "%s.%d", net, 10 + host);
	inet_pton(AF_INET, ip, &address.sin_addr);
	if (!connect(fd, (struct sockaddr *)&address, sizeof(address)))
		return fd;
	close(fd);
	return -1;
}

static int call_port(int port, int host, const char *method, const char *path,
		     const char *body, int64_t timeout_ms, char *reply,
		     size_t size)
{
	int64_t until = sim_now() + timeout_ms;
	char head[512], *text;
	char buffer[8192];
	size_t len = 0;
	int fd = connect_to(host, port);
	int status = 0;

	if (size)
		*reply = '\0';
	if (fd < 0)
		return 0;
	snprintf(head, sizeof(head),
		 "%s %s HTTP/1.1\r\nHost: " HOST_HEADER
		 "\r\nContent-Type: application/json\r\nX-Deadline-Ms: %lld\r\n"
		 "Connection: close\r\nContent-Length: %zu\r\n\r\n",
		 method, path, (long long)timeout_ms, strlen(body));
	if (send(fd, head, strlen(head), MSG_NOSIGNAL) < 0 ||
	    send(fd, body, strlen(body), MSG_NOSIGNAL) < 0) {
		close(fd);
		return 0;
	}
	for (;;) {
		struct pollfd p = { .fd = fd, .events = POLLIN };
		int64_t left = until - sim_now();
		ssize_t n;

		if (left <= 0 || poll(&p, 1, (int)left) <= 0)
			break;
		n = recv(fd, buffer + len, sizeof(buffer) - 1 - len, 0);
		if (n <= 0)
			break;
		len += (size_t)n;
	}
	close(fd);
	buffer[len] = '\0';
	text = strstr(buffer, "\r\n\r\n");
	if (!text || sscanf(buffer, "HTTP/1.1 %d", &status) != 1)
		return 0;
	if (size)
		snprintf(reply, size, "%s", text + 4);
	return status;
}

int sim_call(int host, const char *method, const char *path, const char *body,
	     int64_t timeout_ms, char *reply, size_t size)
{
	return call_port(FRONT_PORT, host, method, path, body, timeout_ms,
			 reply, size);
}

static char *job_body(const sim_job_t *job)
{
	json_t *steps = json_array();
	json_t *root;
	char *text;
	int i;

	for (i = 0; i < job->n_steps; i++) {
		const sim_step_t *s = &job->steps[i];
		json_t *step = json_pack("{s:i,s:i,s:i}", "count", s->count,
					 "cpu", s->cpu, "mem_mb", s->mem_mb);

		if (s->gang)
			json_object_set_new(step, "gang_scheduled",
					    json_true());
		if (s->lasting)
			json_object_set_new(step, "long_running", json_true());
		else
			json_object_set_new(step, "est_runtime_ms",
					    json_integer(1000));
		if (s->checkpointing)
			json_object_set_new(step, "checkpointing", json_true());
		if (s->after >= 0)
			json_object_set_new(step, "after",
					    json_pack("[i]", s->after));
		json_array_append_new(steps, step);
	}
	root = json_pack("{s:s,s:o}", "task_spec", "(text)", "pipeline", steps);
	if (job->repeat_count) {
		json_object_set_new(root, "repeat_count",
				    json_integer(job->repeat_count));
		json_object_set_new(root, "start_at_ms",
				    json_integer(job->start_at_ms));
		json_object_set_new(root, "interval_ms",
				    json_integer(job->interval_ms));
	}
	text = json_dumps(root, JSON_COMPACT);
	json_decref(root);
	return text;
}

bool sim_submit(sim_job_t *job, const char *prefix, int host)
{
	char *body = job_body(job);
	char path[128], reply[512];
	int tries;

	snprintf(path, sizeof(path), "%s%s", prefix, job->id);
	for (tries = 0; tries < 5 && !job->accepted; tries++) {
		if (tries)
			sim_sleep(400);
		job->last_status = sim_call((host + tries) % SIM_HOSTS, "POST",
					    path, body, 3000, reply,
					    sizeof(reply));
		sim_record("client POST %s at h%d %s -> %d %s", path,
			   (host + tries) % SIM_HOSTS, body, job->last_status,
			   reply);
		job->accepted = job->last_status == 200;
	}
	job->accepted_at = sim_now();
	free(body);
	return job->accepted;
}

int sim_ask(sim_job_t *job, const char *prefix, int host)
{
	char path[128], reply[512];
	const char *state;

	snprintf(path, sizeof(path), "%s%s", prefix, job->id);
	job->last_status = sim_call(host, "GET", path, "", 3000, reply,
				    sizeof(reply));
	state = strstr(reply, "\"state\":\"");
	*job->state = '\0';
	if (job->last_status == 200 && state)
		sscanf(state + 9, "%15[a-z]", job->state);
	return job->last_status;
}

static int read_pid(const char *pid_dir, int host)
{
	char path[256];
	FILE *file;
	int pid;

	snprintf(path, sizeof(path), "%s/h%d.pid", pid_dir, host);
	file = fopen(path, "r");
	if (!file)
		return 0;
	if (fscanf(file, "%d", &pid) != 1)
		pid = 0;
	fclose(file);
	return pid;
}

static const char *guard_dir;
static int guard_mb;
static int memory_ends[SIM_HOSTS];

/* Resident memory of a process; 0: it has ended. */
static int64_t resident_bytes(int pid)
{
	char path[64];
	long pages = 0;
	FILE *file;

	snprintf(path, sizeof(path), "/proc/%d/statm", pid);
	file = fopen(path, "r");
	if (!file)
		return 0;
	if (fscanf(file, "%*d %ld", &pages) != 1)
		pages = 0;
	fclose(file);
	return pages * sysconf(_SC_PAGESIZE);
}

static void *guard(void *arg)
{
	int64_t limit = guard_mb * 1048576LL;
	int host;

	(void)arg;
	for (;;) {
		sim_sleep(TICK_MS);
		for (host = 0; host < SIM_HOSTS; host++) {
			int pid = read_pid(guard_dir, host);
			int64_t bytes = pid > 1 ? resident_bytes(pid) : 0;

			if (bytes <= limit)
				continue;
			kill(pid, SIGKILL);
			memory_ends[host]++;
			sim_record("platform: host h%d uses %lld MB, memory_mb "
				   "is %d: its process is killed, the %d. time",
				   host, (long long)bytes / 1048576, guard_mb,
				   memory_ends[host]);
			while (resident_bytes(pid))
				sim_sleep(TICK_MS);
		}
	}
	return NULL;
}

void sim_guard_memory(const char *pid_dir, int memory_mb)
{
	pthread_t thread;

	guard_dir = pid_dir;
	guard_mb = memory_mb;
	pthread_create(&thread, NULL, guard, NULL);
}

int sim_memory_ends(int host)
{
	return memory_ends[host];
}

int sim_kill_owner(const char *pid_dir)
{
	char name[32] = "";
	bool found;
	size_t at;
	int host = -1;
	int pid = 0;

	sim_lock();
	at = item_position("gh/d/own/0", &found);
	for (host = found ? 0 : SIM_HOSTS; host < SIM_HOSTS; host++) {
		char *value;

		snprintf(name, sizeof(name), "edge-%d", host);
		value = base64(name);
		found = !strcmp(value, items[at].value);
		free(value);
		if (found)
			break;
	}
	sim_unlock();
	if (host == SIM_HOSTS)
		return -1;
	pid = read_pid(pid_dir, host);
	if (pid <= 1 || kill(pid, SIGKILL))
		return -1;
	sim_record("the process of host h%d, which wrote to the store last "
		   "under a condition, is killed",
		   host);
	return host;
}

bool sim_wait_ready(int64_t ms)
{
	int64_t until = sim_now() + ms;
	int host = 0;

	while (host < SIM_HOSTS && sim_now() < until) {
		if (call_port(READY_PORT, host, "GET", "/api/ready", "", 1000,
			      NULL, 0) == 200)
			host++;
		else
			sim_sleep(100);
	}
	return host == SIM_HOSTS;
}

void sim_init(const char *own_net, const char *record_path)
{
	pthread_condattr_t attributes;
	pthread_t thread;
	char ip[48];

	clock_gettime(CLOCK_MONOTONIC, &started);
	snprintf(net, sizeof(net), "%s", own_net);
	record = fopen(record_path, "w");
	pthread_condattr_init(&attributes);
	pthread_condattr_setclock(&attributes, CLOCK_MONOTONIC);
	pthread_cond_init(&changed, &attributes);
	snprintf(ip, sizeof(ip), "%s.1", net);
	if (!record || !serve_at(ip, NULL)) {
		fprintf(stderr, "cannot serve the store at %s\n", ip);
		exit(2);
	}
	pthread_create(&thread, NULL, tick, NULL);
}
