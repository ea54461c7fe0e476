#include "worker_link.h"

#include <jansson.h>
#include <string.h>

#include "clock.h"
#include "counter.h"
#include "http_client.h"
#include "json_body.h"

#define CONNECTION_IDLE_MAX_USEC (5 * GH_USEC_PER_SEC)
#define HTTP_STATUS_OK 200

typedef struct worker_http {
	worker_link_t base;
	http_client_t *client;
} worker_http_t;

/* One HTTP call and the JSON of its response. */
typedef struct exchange {
	const worker_call_t *call;
	const char *method;
	char *path;	     /* freed by run_exchange() */
	json_t *body;	     /* freed by run_exchange(); NULL for none */
	bool once;	     /* the request must not be sent twice */
	bool new_connection; /* use a new connection, not an idle one */
	json_t *response;    /* freed by the caller; NULL: no valid JSON */
} exchange_t;

/* Makes the JSON body of a request. */
typedef json_t *(*body_fn_t)(const worker_call_t *call,
			     const gh_action_t *action);

/*
 * URL path and body of an action's request; if verb is NULL, the path is
 * /v1/forget.
 */
typedef struct action_info {
	const char *verb; /* last part of the URL path */
	body_fn_t body;
	bool once; /* the request must not be sent twice */
} action_info_t;

/* Meaning of an error name in a response. */
typedef struct error_reply {
	const char *error;
	gh_reply_t reply;
} error_reply_t;

/* Meaning of a task's state in a response. */
typedef struct state_name {
	const char *name;
	gh_report_state_t state;
} state_name_t;

static gh_reply_t http_act(worker_link_t *base, const worker_call_t *call,
			   const gh_action_t *action,
			   char checkpoint[GH_CHECKPOINT_MAX + 1]);
static gh_reply_t http_poll(worker_link_t *base, const worker_call_t *call,
			    bool renew, gh_report_t *report);
static void http_free(worker_link_t *base);
static json_t *start_body(const worker_call_t *call, const gh_action_t *a);
static json_t *stop_body(const worker_call_t *call, const gh_action_t *a);
static json_t *bar_body(const worker_call_t *call, const gh_action_t *a);
static json_t *throttle_body(const worker_call_t *call, const gh_action_t *a);
static json_t *forget_body(const worker_call_t *call, const gh_action_t *a);
static gh_reply_t run_exchange(worker_http_t *link, exchange_t *ex);
static gh_reply_t parse_error(const json_t *response);
static bool parse_report(const json_t *response, gh_report_t *report);
static bool parse_task(const json_t *item, gh_report_task_t *task);
static void parse_usage(const json_t *usage, gh_report_t *report);
static const char *get_string(const json_t *object, const char *key);
static int64_t get_integer(const json_t *object, const char *key);

static const worker_ops_t http_ops = {
	.act = http_act,
	.poll = http_poll,
	.free = http_free,
};

static const action_info_t actions[GH_ACTION_COUNT] = {
	[GH_ACTION_START] = { "start", start_body, true },
	[GH_ACTION_STOP] = { "stop", stop_body, false },
	[GH_ACTION_BAR] = { "bar", bar_body, false },
	[GH_ACTION_THROTTLE] = { "throttle", throttle_body, false },
	[GH_ACTION_FORGET] = { NULL, forget_body, false },
};

/*
 * An attempt that the worker rejects with "stale_attempt" may already be
 * running there, so its outcome stays unknown until the worker lists it or bars
 * it.
 */
static const error_reply_t error_replies[] = {
	{ "stale_epoch", GH_REPLY_FENCED },
	{ "no_room", GH_REPLY_NO_CAPACITY },
	{ "late", GH_REPLY_REFUSED },
	{ "unknown", GH_REPLY_NOT_FOUND },
	{ "running", GH_REPLY_RUNNING },
	{ "stale_attempt", GH_REPLY_UNKNOWN },
};

static const state_name_t state_names[] = {
	{ "running", GH_REPORT_RUNNING }, { "throttled", GH_REPORT_RUNNING },
	{ "done", GH_REPORT_DONE },	  { "failed", GH_REPORT_FAILED },
	{ "stopped", GH_REPORT_STOPPED }, { "lapsed", GH_REPORT_EXPIRED },
};

worker_link_t *worker_http_new(size_t max_idle)
{
	worker_http_t *link = g_new0(worker_http_t, 1);

	link->base.ops = &http_ops;
	link->client = http_client_new(max_idle, CONNECTION_IDLE_MAX_USEC);
	return &link->base;
}

static gh_reply_t http_act(worker_link_t *base, const worker_call_t *call,
			   const gh_action_t *action,
			   char checkpoint[GH_CHECKPOINT_MAX + 1])
{
	const action_info_t *info = &actions[action->kind];
	exchange_t ex = {
		.call = call,
		.method = "POST",
		.path = info->verb ? g_strdup_printf("/v1/tasks/%s/%s",
						     action->task, info->verb) :
				     g_strdup("/v1/forget"),
		.body = info->body(call, action),
		.once = info->once,
	};
	gh_reply_t reply = run_exchange((worker_http_t *)base, &ex);

	checkpoint[0] = '\0';
	/*
	 * A state other than stopped means that the task ended by itself; the
	 * next poll reports how.
	 */
	if (reply == GH_REPLY_OK && action->kind == GH_ACTION_STOP &&
	    strcmp(get_string(ex.response, "state"), "stopped") != 0)
		reply = GH_REPLY_UNKNOWN;
	if (reply == GH_REPLY_OK)
		g_strlcpy(checkpoint, get_string(ex.response, "checkpoint"),
			  GH_CHECKPOINT_MAX + 1);
	json_decref(ex.response);
	return reply;
}

static gh_reply_t http_poll(worker_link_t *base, const worker_call_t *call,
			    bool renew, gh_report_t *report)
{
	exchange_t ex = {
		.call = call,
		.method = renew ? "POST" : "GET",
		.path = g_strdup(renew ? "/v1/renew" : "/v1/list"),
		/*
		 * A worker is listed while its reply to a renewal is missing.
		 * The idle connections may have failed too, and the list must
		 * be here before the leases have expired.
		 */
		.new_connection = !renew,
	};
	gh_reply_t reply;

	memset(report, 0, sizeof(*report));
	report->renewed = renew;
	report->sent_at = clock_boot();
	if (renew)
		ex.body = json_pack("{s:s, s:I, s:I}", "shard", call->shard,
				    "epoch", (json_int_t)call->epoch,
				    "lease_deadline_ms",
				    (json_int_t)call->lease_deadline_ms);
	reply = run_exchange((worker_http_t *)base, &ex);
	if (reply == GH_REPLY_OK && !parse_report(ex.response, report))
		reply = GH_REPLY_UNKNOWN;
	json_decref(ex.response);
	return reply;
}

static void http_free(worker_link_t *base)
{
	worker_http_t *link = (worker_http_t *)base;

	http_client_free(link->client);
	g_free(link);
}

static json_t *start_body(const worker_call_t *call, const gh_action_t *a)
{
	const gh_job_spec_t *s = a->spec;

	return json_pack(
		"{s:I, s:I, s:s, s:I, s:I, s:I, s:I, s:I, s:s, s:s, "
		"s:I, s:s, s:s}",
		"attempt", (json_int_t)a->attempt, "epoch",
		(json_int_t)a->epoch, "shard", call->shard, "not_after_ms",
		(json_int_t)a->not_after_ms, "lease_deadline_ms",
		(json_int_t)call->lease_deadline_ms, "cores_milli",
		(json_int_t)s->cores_milli, "memory_mb",
		(json_int_t)s->memory_mb, "accelerators",
		(json_int_t)s->accelerators, "kind", s->kind, "class",
		s->class == GH_CLASS_LATENCY ? "latency" : "batch", "run_ms",
		(json_int_t)s->run_ms, "command", s->command, "checkpoint",
		a->resume_checkpoint ? a->resume_checkpoint : "");
}

static json_t *stop_body(const worker_call_t *call, const gh_action_t *a)
{
	return json_pack("{s:I, s:I, s:s, s:b}", "attempt",
			 (json_int_t)a->attempt, "epoch", (json_int_t)a->epoch,
			 "shard", call->shard, "checkpoint",
			 a->save_checkpoint);
}

static json_t *bar_body(const worker_call_t *call, const gh_action_t *a)
{
	return json_pack("{s:I, s:I, s:s}", "attempt", (json_int_t)a->attempt,
			 "epoch", (json_int_t)a->epoch, "shard", call->shard);
}

static json_t *throttle_body(const worker_call_t *call, const gh_action_t *a)
{
	return json_pack("{s:I, s:I, s:s, s:I}", "attempt",
			 (json_int_t)a->attempt, "epoch", (json_int_t)a->epoch,
			 "shard", call->shard, "percent",
			 (json_int_t)a->cpu_percent);
}

static json_t *forget_body(const worker_call_t *call, const gh_action_t *a)
{
	return json_pack("{s:s, s:I, s:[{s:s, s:I}]}", "shard", call->shard,
			 "epoch", (json_int_t)a->epoch, "tasks", "task",
			 a->task, "attempt", (json_int_t)a->attempt);
}

static gh_reply_t run_exchange(worker_http_t *link, exchange_t *ex)
{
	static const char *const headers[] = { "Content-Type: application/json",
					       NULL };
	char *url = g_strconcat("http://", ex->call->address, ex->path, NULL);
	char *body = ex->body ? json_dumps(ex->body, JSON_COMPACT) : NULL;
	http_call_t call = {
		.method = ex->method,
		.url = url,
		.headers = body ? headers : NULL,
		.body = body,
		.body_len = body ? strlen(body) : 0,
		.deadline = ex->call->deadline,
		.write_once = ex->once,
		.new_connection = ex->new_connection,
	};
	http_response_t response;
	gh_reply_t result = GH_REPLY_UNKNOWN;

	counter_inc(CTR_WORKER_CALLS);
	if (http_client_call(link->client, &call, &response)) {
		ex->response = json_body_parse(response.body, response.body_len,
					       0, NULL);
		result = response.status == HTTP_STATUS_OK ?
				 GH_REPLY_OK :
				 parse_error(ex->response);
	} else {
		counter_inc(CTR_WORKER_CALLS_FAILED);
		if (response.stage == HTTP_STAGE_UNSENT)
			result = GH_REPLY_NOT_SENT;
	}
	counter_add(CTR_WORKER_BYTES, response.bytes);
	http_response_clear(&response);
	json_decref(ex->body);
	g_free(ex->path);
	g_free(url);
	free(body);
	return result;
}

static gh_reply_t parse_error(const json_t *response)
{
	const char *error = get_string(response, "error");
	size_t i;

	for (i = 0; i < G_N_ELEMENTS(error_replies); i++)
		if (!strcmp(error, error_replies[i].error))
			return error_replies[i].reply;
	return GH_REPLY_UNKNOWN;
}

static bool parse_report(const json_t *response, gh_report_t *report)
{
	const json_t *tasks = json_object_get(response, "tasks");
	size_t n = json_array_size(tasks);
	size_t i;

	if (!json_is_array(tasks))
		return false;
	report->tasks = g_new0(gh_report_task_t, n + 1);
	for (i = 0; i < n; i++)
		if (parse_task(json_array_get(tasks, i),
			       &report->tasks[report->n_tasks]))
			report->n_tasks++;
	parse_usage(json_object_get(response, "usage"), report);
	return true;
}

static bool parse_task(const json_t *item, gh_report_task_t *task)
{
	const char *name = get_string(item, "task");
	const char *state = get_string(item, "state");
	size_t i;

	if (!*name || strlen(name) > GH_TASK_NAME_MAX)
		return false;
	for (i = 0; i < G_N_ELEMENTS(state_names); i++) {
		if (strcmp(state, state_names[i].name) != 0)
			continue;
		g_strlcpy(task->task, name, sizeof(task->task));
		g_strlcpy(task->checkpoint, get_string(item, "checkpoint"),
			  sizeof(task->checkpoint));
		task->attempt = (uint32_t)get_integer(item, "attempt");
		task->state = state_names[i].state;
		return true;
	}
	return false;
}

static void parse_usage(const json_t *usage, gh_report_t *report)
{
	const json_t *items = json_object_get(usage, "tasks");
	const json_t *item;
	size_t i;
	size_t k;

	report->usage_at_ms = get_integer(usage, "as_of_ms");
	json_array_foreach(items, i, item)
	{
		const char *name = get_string(item, "task");

		for (k = 0; k < report->n_tasks; k++) {
			gh_report_task_t *task = &report->tasks[k];

			if (strcmp(task->task, name) != 0)
				continue;
			task->measured = true;
			task->cores_milli =
				(uint32_t)get_integer(item, "cores_milli");
			task->memory_mb =
				(uint32_t)get_integer(item, "memory_mb");
			task->tail_ms = (uint32_t)get_integer(item, "tail_ms");
		}
	}
}

static const char *get_string(const json_t *object, const char *key)
{
	const char *text = json_string_value(json_object_get(object, key));

	return text ? text : "";
}

static int64_t get_integer(const json_t *object, const char *key)
{
	return json_integer_value(json_object_get(object, key));
}
