#include "worker_link.h"

#include <jansson.h>
#include <string.h>

#include "clock.h"
#include "counter.h"
#include "http_client.h"

#define IDLE_MAX (5 * GH_USEC_PER_SEC)
#define STATUS_OK 200

typedef struct worker_http {
	worker_link_t base;
	http_client_t *client;
} worker_http_t;

/* One call with its answer. */
typedef struct exchange {
	const worker_call_t *call;
	const char *method;
	char *path;   /* freed by exchange_run() */
	json_t *body; /* likewise; NULL for none */
	bool once;
	json_t *answer; /* the caller's; NULL without one */
} exchange_t;

typedef json_t *(*body_fn_t)(const worker_call_t *call,
			     const gh_action_t *action);

typedef struct action_info {
	const char *verb;
	body_fn_t body;
	bool once; /* may not be written to the worker twice */
} action_info_t;

typedef struct answer_info {
	const char *error;
	gh_reply_t answer;
} answer_info_t;

typedef struct state_info {
	const char *name;
	gh_report_state_t state;
} state_info_t;

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
static gh_reply_t exchange_run(worker_http_t *link, exchange_t *ex);
static gh_reply_t read_error(const json_t *answer);
static bool read_report(const json_t *answer, gh_report_t *report);
static bool read_task(const json_t *item, gh_report_task_t *task);
static void read_usage(const json_t *usage, gh_report_t *report);
static const char *text_of(const json_t *object, const char *key);
static int64_t number_of(const json_t *object, const char *key);

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
 * A stale attempt may be one that already runs, so nothing is known of it
 * until the worker lists it or bars it.
 */
static const answer_info_t answers[] = {
	{ "stale_epoch", GH_REPLY_FENCED },
	{ "no_room", GH_REPLY_NO_CAPACITY },
	{ "late", GH_REPLY_REFUSED },
	{ "unknown", GH_REPLY_NOT_FOUND },
	{ "running", GH_REPLY_RUNNING },
	{ "stale_attempt", GH_REPLY_UNKNOWN },
};

static const state_info_t states[] = {
	{ "running", GH_REPORT_RUNNING }, { "throttled", GH_REPORT_RUNNING },
	{ "done", GH_REPORT_DONE },	  { "failed", GH_REPORT_FAILED },
	{ "stopped", GH_REPORT_STOPPED }, { "lapsed", GH_REPORT_EXPIRED },
};

worker_link_t *worker_http_new(size_t max_idle)
{
	worker_http_t *link = g_new0(worker_http_t, 1);

	link->base.ops = &http_ops;
	link->client = http_client_new(max_idle, IDLE_MAX);
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
	gh_reply_t answer = exchange_run((worker_http_t *)base, &ex);

	checkpoint[0] = '\0';
	/* A task that had ended by itself was not stopped: its list tells. */
	if (answer == GH_REPLY_OK && action->kind == GH_ACTION_STOP &&
	    strcmp(text_of(ex.answer, "state"), "stopped") != 0)
		answer = GH_REPLY_UNKNOWN;
	if (answer == GH_REPLY_OK)
		g_strlcpy(checkpoint, text_of(ex.answer, "checkpoint"),
			  GH_CHECKPOINT_MAX + 1);
	json_decref(ex.answer);
	return answer;
}

static gh_reply_t http_poll(worker_link_t *base, const worker_call_t *call,
			    bool renew, gh_report_t *report)
{
	exchange_t ex = {
		.call = call,
		.method = renew ? "POST" : "GET",
		.path = g_strdup(renew ? "/v1/renew" : "/v1/list"),
	};
	gh_reply_t answer;

	memset(report, 0, sizeof(*report));
	report->renewed = renew;
	report->sent_at = clock_boot();
	if (renew)
		ex.body = json_pack("{s:s, s:I, s:I}", "shard", call->shard,
				    "epoch", (json_int_t)call->epoch,
				    "lease_deadline_ms",
				    (json_int_t)call->lease_ms);
	answer = exchange_run((worker_http_t *)base, &ex);
	if (answer == GH_REPLY_OK && !read_report(ex.answer, report))
		answer = GH_REPLY_UNKNOWN;
	json_decref(ex.answer);
	return answer;
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

	return json_pack("{s:I, s:I, s:s, s:I, s:I, s:I, s:I, s:I, s:s, s:s, "
			 "s:I, s:s, s:s}",
			 "attempt", (json_int_t)a->attempt, "epoch",
			 (json_int_t)a->epoch, "shard", call->shard,
			 "not_after_ms", (json_int_t)a->not_after_ms,
			 "lease_deadline_ms", (json_int_t)call->lease_ms,
			 "cores_milli", (json_int_t)s->cores_milli, "memory_mb",
			 (json_int_t)s->memory_mb, "accelerators",
			 (json_int_t)s->accelerators, "kind", s->kind, "class",
			 s->class == GH_CLASS_LATENCY ? "latency" : "batch",
			 "run_ms", (json_int_t)s->run_ms, "command", s->command,
			 "checkpoint",
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

static gh_reply_t exchange_run(worker_http_t *link, exchange_t *ex)
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
		.once = ex->once,
	};
	http_answer_t answer;
	gh_reply_t result = GH_REPLY_UNKNOWN;

	counter_inc(CTR_WORKER_CALLS);
	if (http_client_call(link->client, &call, &answer)) {
		ex->answer = json_loadb(answer.body, answer.body_len, 0, NULL);
		result = answer.status == STATUS_OK ? GH_REPLY_OK :
						      read_error(ex->answer);
	} else {
		counter_inc(CTR_WORKER_CALLS_FAILED);
		if (answer.stage == HTTP_STAGE_UNSENT)
			result = GH_REPLY_NOT_SENT;
	}
	counter_add(CTR_WORKER_BYTES, answer.bytes);
	http_answer_clear(&answer);
	json_decref(ex->body);
	g_free(ex->path);
	g_free(url);
	free(body);
	return result;
}

static gh_reply_t read_error(const json_t *answer)
{
	const char *error = text_of(answer, "error");
	size_t i;

	for (i = 0; i < G_N_ELEMENTS(answers); i++)
		if (!strcmp(error, answers[i].error))
			return answers[i].answer;
	return GH_REPLY_UNKNOWN;
}

static bool read_report(const json_t *answer, gh_report_t *report)
{
	const json_t *tasks = json_object_get(answer, "tasks");
	size_t n = json_array_size(tasks);
	size_t i;

	if (!json_is_array(tasks))
		return false;
	report->tasks = g_new0(gh_report_task_t, n + 1);
	for (i = 0; i < n; i++)
		if (read_task(json_array_get(tasks, i),
			      &report->tasks[report->n_tasks]))
			report->n_tasks++;
	read_usage(json_object_get(answer, "usage"), report);
	return true;
}

static bool read_task(const json_t *item, gh_report_task_t *task)
{
	const char *name = text_of(item, "task");
	const char *state = text_of(item, "state");
	size_t i;

	if (!*name || strlen(name) > GH_TASK_NAME_MAX)
		return false;
	for (i = 0; i < G_N_ELEMENTS(states); i++) {
		if (strcmp(state, states[i].name) != 0)
			continue;
		g_strlcpy(task->task, name, sizeof(task->task));
		g_strlcpy(task->checkpoint, text_of(item, "checkpoint"),
			  sizeof(task->checkpoint));
		task->attempt = (uint32_t)number_of(item, "attempt");
		task->state = states[i].state;
		return true;
	}
	return false;
}

static void read_usage(const json_t *usage, gh_report_t *report)
{
	const json_t *items = json_object_get(usage, "tasks");
	const json_t *item;
	size_t i;
	size_t k;

	report->usage_at_ms = number_of(usage, "as_of_ms");
	json_array_foreach(items, i, item)
	{
		const char *name = text_of(item, "task");

		for (k = 0; k < report->n_tasks; k++) {
			gh_report_task_t *task = &report->tasks[k];

			if (strcmp(task->task, name) != 0)
				continue;
			task->measured = true;
			task->cores_milli =
				(uint32_t)number_of(item, "cores_milli");
			task->memory_mb =
				(uint32_t)number_of(item, "memory_mb");
			task->tail_ms = (uint32_t)number_of(item, "tail_ms");
		}
	}
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
