/*
 * Fake of a worker, for tests.  It runs tasks under leases within its capacity,
 * refuses epochs below the highest it has seen of a shard, and records start
 * and end of every run, so that a test can tell whether two runs of one task
 * ever overlapped.
 *
 * Tasks are simulated by the clock.  A command may contain "actual_ms=N" (the
 * true run time) and "fail" (the task fails when its run time is over).  A
 * checkpoint is "done_ms=N".  Switches over HTTP under /ctl:
 *
 *   {"mode":"up"}         normal service
 *   {"mode":"down"}       closes every connection without a reply
 *   {"mode":"fail_all"}   every task fails as soon as it starts
 *   {"lag_ms":N}          reports the usage of N ms ago
 *   {"usage_percent":N}   tasks use this part of what they request
 *   {"enforce":BOOL}      refuses starts beyond the capacity; the default
 *   {"tails":{"A B":N}}   tail_ms of a task of kind A next to one of kind B
 */
#include <argtable2.h>
#include <pthread.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "fake.h"

#define RESOURCE_COUNT 3
#define DEFAULT_TAIL_MS 10 /* reported tail latency without interference */

typedef enum task_state {
	TASK_RUNNING,
	TASK_THROTTLED,
	TASK_DONE,
	TASK_FAILED,
	TASK_STOPPED,
	TASK_EXPIRED
} task_state_t;

static const char *const state_names[] = { "running", "throttled", "done",
					   "failed",  "stopped",   "lapsed" };

typedef enum worker_mode { MODE_UP, MODE_DOWN, MODE_FAIL_ALL } worker_mode_t;

static const char *const mode_names[] = { "up", "down", "fail_all" };

static const char *const resource_names[RESOURCE_COUNT] = { "cores_milli",
							    "memory_mb",
							    "accelerators" };

typedef struct task {
	char *name;
	char *kind;
	char *shard;
	int64_t attempt;
	task_state_t state;
	int64_t resources[RESOURCE_COUNT];
	int64_t run_ms;	 /* total run time of the task; 0: runs until it is
			    stopped */
	int64_t done_ms; /* run time completed at progress_at_ms */
	int64_t progress_at_ms; /* time at which done_ms was computed,
				   CLOCK_BOOTTIME */
	int64_t speed_percent;	/* speed of the run in percent of full speed */
	int64_t lease_deadline_ms; /* wall clock time of expiry */
	int64_t started_ms;	   /* time of the start, CLOCK_BOOTTIME */
	int64_t ended_ms;	   /* CLOCK_BOOTTIME; 0: still running */
	int64_t restored_ms; /* done_ms of the checkpoint that the task resumed
				from */
	bool fails;	     /* the task ends as failed, not as done */
	bool forgotten; /* the end of the task was acknowledged; it is no longer
			   reported */
} task_t;

typedef struct worker {
	const fake_ops_t *ops;
	const char *name;
	pthread_mutex_t lock;
	worker_mode_t mode;
	int64_t capacity[RESOURCE_COUNT];
	int64_t max_used[RESOURCE_COUNT]; /* peak use by all tasks */
	int64_t usage_lag_ms;  /* age of the usage that is reported */
	int64_t usage_percent; /* reported share of the requested resources */
	bool enforce;	       /* refuse starts that exceed the capacity */
	GPtrArray *tasks;      /* every attempt ever started, of type task_t */
	GHashTable *highest_epochs;  /* shard name to highest epoch received */
	GHashTable *barred_attempts; /* task name to highest barred attempt */
	json_t *pair_tails; /* "A B" to tail_ms of a task of kind A beside one
			       of kind B */
	uint64_t over_capacity_starts; /* starts that exceeded the capacity */
	uint64_t double_starts; /* starts while another attempt of the same task
				   ran */
	uint64_t refused_stale;
	uint64_t refused_late;
	uint64_t refused_capacity;
	uint64_t expired_leases;
} worker_t;

typedef struct route {
	const char *verb;
	void (*run)(worker_t *w, const char *task, const fake_request_t *req,
		    fake_reply_t *reply);
} route_t;

static void serve(void *self, const fake_request_t *req, fake_reply_t *reply);
static bool set(void *self, const char *key, const json_t *value);
static json_t *show(void *self, const fake_request_t *req);
static void dispatch(worker_t *w, const fake_request_t *req,
		     fake_reply_t *reply);
static void on_start(worker_t *w, const char *task, const fake_request_t *req,
		     fake_reply_t *reply);
static void on_stop(worker_t *w, const char *task, const fake_request_t *req,
		    fake_reply_t *reply);
static void on_throttle(worker_t *w, const char *task,
			const fake_request_t *req, fake_reply_t *reply);
static void on_bar(worker_t *w, const char *task, const fake_request_t *req,
		   fake_reply_t *reply);
static void on_renew(worker_t *w, const fake_request_t *req,
		     fake_reply_t *reply);
static void on_forget(worker_t *w, const fake_request_t *req,
		      fake_reply_t *reply);
static bool accept_epoch(worker_t *w, const char *shard, int64_t epoch);
static bool check_start(worker_t *w, const char *name, const json_t *json,
			fake_reply_t *reply);
static bool has_capacity(worker_t *w, const json_t *json);
static void start_task(worker_t *w, const char *name, const json_t *json);
static int64_t true_run_ms(const json_t *json);
static int64_t parse_checkpoint_ms(const json_t *json);
static void advance_tasks(worker_t *w);
static void advance_task(worker_t *w, task_t *t, int64_t now, int64_t wall);
static int64_t task_progress_ms(const task_t *t, int64_t now);
static void end_task(task_t *t, task_state_t state, int64_t at);
static bool is_active(const task_t *t);
static task_t *find_attempt(worker_t *w, const char *name, int64_t attempt);
static task_t *find_active_task(worker_t *w, const char *name);
static int64_t resource_use(worker_t *w, size_t resource);
static json_t *tasks_json(worker_t *w, const char *shard);
static json_t *usage_json(worker_t *w, const char *shard);
static int64_t task_tail_ms(worker_t *w, const task_t *t, int64_t at);
static bool was_running_at(const task_t *t, int64_t at);
static json_t *runs_json(worker_t *w);

static const fake_ops_t ops = { .serve = serve,
				.set_control = set,
				.get_state = show };

static const route_t routes[] = {
	{ "start", on_start },
	{ "stop", on_stop },
	{ "throttle", on_throttle },
	{ "bar", on_bar },
};

int main(int argc, char **argv)
{
	struct arg_str *listen_on =
		arg_str1(NULL, "listen", "IP:PORT", "address to listen on");
	struct arg_str *name =
		arg_str1(NULL, "name", "NAME", "name of the worker");
	struct arg_int *cores =
		arg_int0(NULL, "cores-milli", "N", "cores in thousandths");
	struct arg_int *memory = arg_int0(NULL, "memory-mb", "N", "memory");
	struct arg_int *accelerators =
		arg_int0(NULL, "accelerators", "N", "accelerators");
	struct arg_end *end = arg_end(4);
	void *table[] = { listen_on, name, cores, memory, accelerators, end };
	worker_t w = { .ops = &ops, .usage_percent = 100, .enforce = true };

	cores->ival[0] = 4000;
	memory->ival[0] = 4096;
	accelerators->ival[0] = 0;
	if (arg_parse(argc, argv, table)) {
		arg_print_errors(stderr, end, argv[0]);
		return 2;
	}
	w.name = name->sval[0];
	w.capacity[0] = cores->ival[0];
	w.capacity[1] = memory->ival[0];
	w.capacity[2] = accelerators->ival[0];
	pthread_mutex_init(&w.lock, NULL);
	w.tasks = g_ptr_array_new();
	w.highest_epochs =
		g_hash_table_new_full(g_str_hash, g_str_equal, g_free, g_free);
	w.barred_attempts =
		g_hash_table_new_full(g_str_hash, g_str_equal, g_free, g_free);
	w.pair_tails = json_object();
	return fake_serve((fake_t *)&w, listen_on->sval[0], 0);
}

static void serve(void *self, const fake_request_t *req, fake_reply_t *reply)
{
	worker_t *w = self;

	pthread_mutex_lock(&w->lock);
	advance_tasks(w);
	if (w->mode == MODE_DOWN)
		reply->delivery = FAKE_DELIVERY_CLOSE;
	else
		dispatch(w, req, reply);
	pthread_mutex_unlock(&w->lock);
}

static void dispatch(worker_t *w, const fake_request_t *req,
		     fake_reply_t *reply)
{
	const char *prefix = "/v1/tasks/";
	const char *slash = strrchr(req->path, '/');
	char *task;
	size_t i;

	if (!strcmp(req->path, "/v1/renew")) {
		on_renew(w, req, reply);
		return;
	}
	if (!strcmp(req->path, "/v1/forget")) {
		on_forget(w, req, reply);
		return;
	}
	if (!strcmp(req->path, "/v1/list")) {
		reply->json = json_pack(
			"{s:o,s:o,s:I,s:I,s:I}", "tasks", tasks_json(w, NULL),
			"usage", usage_json(w, NULL), "cores_milli",
			(json_int_t)w->capacity[0], "memory_mb",
			(json_int_t)w->capacity[1], "accelerators",
			(json_int_t)w->capacity[2]);
		return;
	}
	fake_reply_error(reply, 404, "no_such_call");
	if (!g_str_has_prefix(req->path, prefix) ||
	    slash <= req->path + strlen(prefix))
		return;
	task = g_strndup(req->path + strlen(prefix),
			 (gsize)(slash - req->path) - strlen(prefix));
	for (i = 0; i < G_N_ELEMENTS(routes); i++) {
		if (strcmp(slash + 1, routes[i].verb) != 0)
			continue;
		reply->status = 200;
		json_decref(reply->json);
		reply->json = NULL;
		routes[i].run(w, task, req, reply);
	}
	g_free(task);
}

static void on_start(worker_t *w, const char *task, const fake_request_t *req,
		     fake_reply_t *reply)
{
	task_t *t =
		find_attempt(w, task, fake_json_int(req->json, "attempt", 0));

	if (!accept_epoch(w, fake_json_string(req->json, "shard", ""),
			  fake_json_int(req->json, "epoch", 0))) {
		w->refused_stale++;
		fake_reply_error(reply, 409, "stale_epoch");
		return;
	}
	if (!t) {
		if (!check_start(w, task, req->json, reply))
			return;
		start_task(w, task, req->json);
		t = find_attempt(w, task,
				 fake_json_int(req->json, "attempt", 0));
	}
	reply->json = json_pack("{s:s}", "state", state_names[t->state]);
}

static bool check_start(worker_t *w, const char *name, const json_t *json,
			fake_reply_t *reply)
{
	int64_t attempt = fake_json_int(json, "attempt", 0);
	int64_t *barred_up_to = g_hash_table_lookup(w->barred_attempts, name);
	int64_t now = fake_wall_ms();

	if (barred_up_to && attempt <= *barred_up_to) {
		w->refused_stale++;
		fake_reply_error(reply, 409, "stale_attempt");
		return false;
	}
	if (now > fake_json_int(json, "not_after_ms", 0) ||
	    now > fake_json_int(json, "lease_deadline_ms", 0)) {
		w->refused_late++;
		fake_reply_error(reply, 410, "late");
		return false;
	}
	if (find_active_task(w, name)) {
		w->double_starts++;
		fake_reply_error(reply, 409, "stale_attempt");
		return false;
	}
	if (!has_capacity(w, json)) {
		w->over_capacity_starts++;
		if (w->enforce) {
			w->refused_capacity++;
			fake_reply_error(reply, 409, "no_room");
			return false;
		}
	}
	return true;
}

static bool has_capacity(worker_t *w, const json_t *json)
{
	size_t i;

	for (i = 0; i < RESOURCE_COUNT; i++)
		if (resource_use(w, i) +
			    fake_json_int(json, resource_names[i], 0) >
		    w->capacity[i])
			return false;
	return true;
}

static void start_task(worker_t *w, const char *name, const json_t *json)
{
	task_t *t = g_new0(task_t, 1);
	size_t i;

	t->name = g_strdup(name);
	t->kind = g_strdup(fake_json_string(json, "kind", ""));
	t->shard = g_strdup(fake_json_string(json, "shard", ""));
	t->attempt = fake_json_int(json, "attempt", 0);
	t->run_ms = true_run_ms(json);
	t->restored_ms = parse_checkpoint_ms(json);
	t->done_ms = t->restored_ms;
	t->speed_percent = 100;
	t->progress_at_ms = fake_boot_ms();
	t->started_ms = t->progress_at_ms;
	t->lease_deadline_ms = fake_json_int(json, "lease_deadline_ms", 0);
	t->fails =
		strstr(fake_json_string(json, "command", ""), "fail") != NULL;
	for (i = 0; i < RESOURCE_COUNT; i++)
		t->resources[i] = fake_json_int(json, resource_names[i], 0);
	g_ptr_array_add(w->tasks, t);
	for (i = 0; i < RESOURCE_COUNT; i++)
		w->max_used[i] = MAX(w->max_used[i], resource_use(w, i));
	if (w->mode == MODE_FAIL_ALL)
		end_task(t, TASK_FAILED, t->started_ms);
}

static int64_t true_run_ms(const json_t *json)
{
	const char *text =
		strstr(fake_json_string(json, "command", ""), "actual_ms=");

	if (text)
		return strtoll(text + strlen("actual_ms="), NULL, 10);
	return fake_json_int(json, "run_ms", 0);
}

static int64_t parse_checkpoint_ms(const json_t *json)
{
	const char *text =
		strstr(fake_json_string(json, "checkpoint", ""), "done_ms=");

	return text ? strtoll(text + strlen("done_ms="), NULL, 10) : 0;
}

static void on_stop(worker_t *w, const char *task, const fake_request_t *req,
		    fake_reply_t *reply)
{
	int64_t attempt = fake_json_int(req->json, "attempt", 0);
	task_t *t = find_attempt(w, task, attempt);
	char *checkpoint;

	if (!t || t->forgotten) {
		fake_reply_error(reply, 404, "unknown");
		return;
	}
	if (!accept_epoch(w, t->shard, fake_json_int(req->json, "epoch", 0))) {
		w->refused_stale++;
		fake_reply_error(reply, 409, "stale_epoch");
		return;
	}
	if (is_active(t))
		end_task(t, TASK_STOPPED, fake_boot_ms());
	checkpoint = g_strdup_printf("done_ms=%lld", (long long)t->done_ms);
	reply->json = json_pack("{s:s,s:s}", "state", state_names[t->state],
				"checkpoint", checkpoint);
	g_free(checkpoint);
}

static void on_throttle(worker_t *w, const char *task,
			const fake_request_t *req, fake_reply_t *reply)
{
	task_t *t =
		find_attempt(w, task, fake_json_int(req->json, "attempt", 0));
	int64_t now = fake_boot_ms();

	if (!t || !is_active(t)) {
		fake_reply_error(reply, 404, "unknown");
		return;
	}
	if (!accept_epoch(w, t->shard, fake_json_int(req->json, "epoch", 0))) {
		w->refused_stale++;
		fake_reply_error(reply, 409, "stale_epoch");
		return;
	}
	t->done_ms = task_progress_ms(t, now);
	t->progress_at_ms = now;
	t->speed_percent =
		CLAMP(fake_json_int(req->json, "percent", 100), 1, 100);
	t->state = t->speed_percent < 100 ? TASK_THROTTLED : TASK_RUNNING;
	reply->json = json_pack("{s:s}", "state", state_names[t->state]);
}

static void on_bar(worker_t *w, const char *task, const fake_request_t *req,
		   fake_reply_t *reply)
{
	int64_t attempt = fake_json_int(req->json, "attempt", 0);
	int64_t *barred_up_to = g_hash_table_lookup(w->barred_attempts, task);
	task_t *t = find_active_task(w, task);

	if (!accept_epoch(w, fake_json_string(req->json, "shard", ""),
			  fake_json_int(req->json, "epoch", 0))) {
		w->refused_stale++;
		fake_reply_error(reply, 409, "stale_epoch");
		return;
	}
	if (t && t->attempt <= attempt) {
		fake_reply_error(reply, 409, "running");
		return;
	}
	if (!barred_up_to || *barred_up_to < attempt)
		g_hash_table_replace(w->barred_attempts, g_strdup(task),
				     g_memdup2(&attempt, sizeof(attempt)));
	reply->json = json_pack("{s:s}", "state", "barred");
}

static void on_renew(worker_t *w, const fake_request_t *req,
		     fake_reply_t *reply)
{
	const char *shard = fake_json_string(req->json, "shard", "");
	int64_t deadline = fake_json_int(req->json, "lease_deadline_ms", 0);
	guint i;

	if (!accept_epoch(w, shard, fake_json_int(req->json, "epoch", 0))) {
		w->refused_stale++;
		fake_reply_error(reply, 409, "stale_epoch");
		return;
	}
	for (i = 0; i < w->tasks->len; i++) {
		task_t *t = g_ptr_array_index(w->tasks, i);

		if (is_active(t) && !strcmp(t->shard, shard))
			t->lease_deadline_ms =
				MAX(t->lease_deadline_ms, deadline);
	}
	reply->json = json_pack("{s:o,s:o}", "tasks", tasks_json(w, shard),
				"usage", usage_json(w, shard));
}

static void on_forget(worker_t *w, const fake_request_t *req,
		      fake_reply_t *reply)
{
	json_t *item;
	size_t i;

	if (!accept_epoch(w, fake_json_string(req->json, "shard", ""),
			  fake_json_int(req->json, "epoch", 0))) {
		w->refused_stale++;
		fake_reply_error(reply, 409, "stale_epoch");
		return;
	}
	json_array_foreach(json_object_get(req->json, "tasks"), i, item)
	{
		task_t *t = find_attempt(w, fake_json_string(item, "task", ""),
					 fake_json_int(item, "attempt", 0));

		if (t && !is_active(t))
			t->forgotten = true;
	}
	reply->json = json_object();
}

/* Records the highest epoch of a shard; returns false when epoch is below that.
 */
static bool accept_epoch(worker_t *w, const char *shard, int64_t epoch)
{
	int64_t *highest = g_hash_table_lookup(w->highest_epochs, shard);

	if (highest && epoch < *highest)
		return false;
	if (!highest || epoch > *highest)
		g_hash_table_replace(w->highest_epochs, g_strdup(shard),
				     g_memdup2(&epoch, sizeof(epoch)));
	return true;
}

/* Ends the tasks whose run time or lease is over, at the time it ran out. */
static void advance_tasks(worker_t *w)
{
	int64_t now = fake_boot_ms();
	int64_t wall = fake_wall_ms();
	guint i;

	for (i = 0; i < w->tasks->len; i++)
		advance_task(w, g_ptr_array_index(w->tasks, i), now, wall);
}

static void advance_task(worker_t *w, task_t *t, int64_t now, int64_t wall)
{
	int64_t lease_end = now - (wall - t->lease_deadline_ms);
	int64_t run_end;

	if (!is_active(t))
		return;
	run_end = t->run_ms > 0 ?
			  t->progress_at_ms + MAX(t->run_ms - t->done_ms, 0) *
						      100 / t->speed_percent :
			  INT64_MAX;
	if (run_end <= now && run_end <= lease_end) {
		end_task(t, t->fails ? TASK_FAILED : TASK_DONE, run_end);
	} else if (lease_end <= now) {
		w->expired_leases++;
		end_task(t, TASK_EXPIRED, lease_end);
	}
}

static int64_t task_progress_ms(const task_t *t, int64_t now)
{
	return t->done_ms + (now - t->progress_at_ms) * t->speed_percent / 100;
}

static void end_task(task_t *t, task_state_t state, int64_t at)
{
	t->done_ms = task_progress_ms(t, at);
	t->progress_at_ms = at;
	t->ended_ms = MAX(at, t->started_ms);
	t->state = state;
}

static bool is_active(const task_t *t)
{
	return t->state == TASK_RUNNING || t->state == TASK_THROTTLED;
}

static task_t *find_attempt(worker_t *w, const char *name, int64_t attempt)
{
	guint i;

	for (i = w->tasks->len; i > 0; i--) {
		task_t *t = g_ptr_array_index(w->tasks, i - 1);

		if (t->attempt == attempt && !strcmp(t->name, name))
			return t;
	}
	return NULL;
}

static task_t *find_active_task(worker_t *w, const char *name)
{
	guint i;

	for (i = 0; i < w->tasks->len; i++) {
		task_t *t = g_ptr_array_index(w->tasks, i);

		if (is_active(t) && !strcmp(t->name, name))
			return t;
	}
	return NULL;
}

static int64_t resource_use(worker_t *w, size_t resource)
{
	int64_t sum = 0;
	guint i;

	for (i = 0; i < w->tasks->len; i++) {
		task_t *t = g_ptr_array_index(w->tasks, i);

		if (is_active(t))
			sum += t->resources[resource];
	}
	return sum;
}

static json_t *tasks_json(worker_t *w, const char *shard)
{
	json_t *out = json_array();
	guint i;

	for (i = 0; i < w->tasks->len; i++) {
		task_t *t = g_ptr_array_index(w->tasks, i);
		char *checkpoint;

		if (t->forgotten || (shard && strcmp(t->shard, shard) != 0))
			continue;
		checkpoint =
			g_strdup_printf("done_ms=%lld", (long long)t->done_ms);
		json_array_append_new(
			out,
			json_pack("{s:s,s:I,s:s,s:s,s:s}", "task", t->name,
				  "attempt", (json_int_t)t->attempt, "state",
				  state_names[t->state], "checkpoint",
				  checkpoint, "error",
				  t->state == TASK_FAILED ? "exit 1" : ""));
		g_free(checkpoint);
	}
	return out;
}

/* Returns the usage of the shard's tasks that were running usage_lag_ms ago. */
static json_t *usage_json(worker_t *w, const char *shard)
{
	int64_t at = fake_boot_ms() - w->usage_lag_ms;
	json_t *list = json_array();
	guint i;

	for (i = 0; i < w->tasks->len; i++) {
		task_t *t = g_ptr_array_index(w->tasks, i);

		if (!was_running_at(t, at) ||
		    (shard && strcmp(t->shard, shard) != 0))
			continue;
		json_array_append_new(
			list, json_pack("{s:s,s:I,s:I,s:I}", "task", t->name,
					"cores_milli",
					(json_int_t)(t->resources[0] *
						     w->usage_percent / 100),
					"memory_mb",
					(json_int_t)(t->resources[1] *
						     w->usage_percent / 100),
					"tail_ms",
					(json_int_t)task_tail_ms(w, t, at)));
	}
	return json_pack("{s:I,s:o}", "as_of_ms",
			 (json_int_t)(fake_wall_ms() - w->usage_lag_ms),
			 "tasks", list);
}

static int64_t task_tail_ms(worker_t *w, const task_t *t, int64_t at)
{
	int64_t tail = DEFAULT_TAIL_MS;
	guint i;

	for (i = 0; i < w->tasks->len; i++) {
		task_t *other = g_ptr_array_index(w->tasks, i);
		char *pair;

		if (other == t || !was_running_at(other, at))
			continue;
		pair = g_strdup_printf("%s %s", t->kind, other->kind);
		tail = MAX(tail, fake_json_int(w->pair_tails, pair, 0));
		g_free(pair);
	}
	return tail;
}

static bool was_running_at(const task_t *t, int64_t at)
{
	return t->started_ms <= at && (is_active(t) || t->ended_ms > at);
}

static bool set(void *self, const char *key, const json_t *value)
{
	worker_t *w = self;
	int mode = fake_find_name(json_string_value(value), mode_names,
				  G_N_ELEMENTS(mode_names));
	bool ok = true;

	pthread_mutex_lock(&w->lock);
	advance_tasks(w);
	if (!strcmp(key, "mode") && mode >= 0)
		w->mode = (worker_mode_t)mode;
	else if (!strcmp(key, "lag_ms"))
		w->usage_lag_ms = json_integer_value(value);
	else if (!strcmp(key, "usage_percent"))
		w->usage_percent = json_integer_value(value);
	else if (!strcmp(key, "enforce"))
		w->enforce = json_is_true(value);
	else if (!strcmp(key, "tails"))
		ok = !json_object_update(w->pair_tails, (json_t *)value);
	else
		ok = false;
	pthread_mutex_unlock(&w->lock);
	return ok;
}

static json_t *show(void *self, const fake_request_t *req)
{
	worker_t *w = self;
	json_t *out;

	(void)req;
	pthread_mutex_lock(&w->lock);
	advance_tasks(w);
	out = json_pack("{s:s,s:s,s:I,s:I,s:I,s:I,s:I,s:I,s:[III],s:[III],s:o}",
			"name", w->name, "mode", mode_names[w->mode], "over",
			(json_int_t)w->over_capacity_starts, "double",
			(json_int_t)w->double_starts, "refused_stale",
			(json_int_t)w->refused_stale, "refused_late",
			(json_int_t)w->refused_late, "refused_room",
			(json_int_t)w->refused_capacity, "lapsed",
			(json_int_t)w->expired_leases, "size",
			(json_int_t)w->capacity[0], (json_int_t)w->capacity[1],
			(json_int_t)w->capacity[2], "most",
			(json_int_t)w->max_used[0], (json_int_t)w->max_used[1],
			(json_int_t)w->max_used[2], "runs", runs_json(w));
	pthread_mutex_unlock(&w->lock);
	return out;
}

static json_t *runs_json(worker_t *w)
{
	json_t *out = json_array();
	guint i;

	for (i = 0; i < w->tasks->len; i++) {
		task_t *t = g_ptr_array_index(w->tasks, i);

		json_array_append_new(
			out,
			json_pack("{s:s,s:I,s:s,s:I,s:I,s:I,s:I}", "task",
				  t->name, "attempt", (json_int_t)t->attempt,
				  "state", state_names[t->state], "began",
				  (json_int_t)t->started_ms, "ended",
				  (json_int_t)t->ended_ms, "from_ms",
				  (json_int_t)t->restored_ms, "done_ms",
				  (json_int_t)t->done_ms));
	}
	return out;
}
