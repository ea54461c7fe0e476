/*
 * Reading and writing of trace files.  The keys of times end in their unit;
 * hosts, services and domains are stored by name.
 */
#include "replay.h"

#include <inttypes.h>
#include <jansson.h>
#include <string.h>

static const char *const kind_names[REPLAY_EVENT_KINDS] = {
	[REPLAY_REQUEST] = "request", [REPLAY_EXECUTOR] = "executor",
	[REPLAY_JOB] = "job",	      [REPLAY_CANCEL] = "cancel",
	[REPLAY_WORKER] = "worker",
};

static const char *const mode_names[REPLAY_MODES] = {
	[REPLAY_MODE_UP] = "up",
	[REPLAY_MODE_DOWN] = "down",
	[REPLAY_MODE_FAIL] = "fail",
};

typedef bool (*event_reader_t)(const replay_trace_t *trace, json_t *json,
			       replay_event_t *event);
typedef json_t *(*event_writer_t)(const replay_trace_t *trace,
				  const replay_event_t *event);

static bool read_header(replay_trace_t *trace, json_t *json, GError **err);
static bool read_event(replay_trace_t *trace, json_t *json, GError **err);
static bool read_request(const replay_trace_t *trace, json_t *json,
			 replay_event_t *event);
static bool read_executor(const replay_trace_t *trace, json_t *json,
			  replay_event_t *event);
static bool read_worker(const replay_trace_t *trace, json_t *json,
			replay_event_t *event);
static bool read_mode(json_t *json, replay_event_t *event);
static bool read_job(const replay_trace_t *trace, json_t *json,
		     replay_event_t *event);
static bool read_cancel(const replay_trace_t *trace, json_t *json,
			replay_event_t *event);
static json_t *write_header(const replay_trace_t *trace);
static json_t *write_request(const replay_trace_t *trace,
			     const replay_event_t *event);
static json_t *write_executor(const replay_trace_t *trace,
			      const replay_event_t *event);
static json_t *write_worker(const replay_trace_t *trace,
			    const replay_event_t *event);
static json_t *write_job(const replay_trace_t *trace,
			 const replay_event_t *event);
static json_t *write_cancel(const replay_trace_t *trace,
			    const replay_event_t *event);
static bool dump_line(json_t *json, FILE *out, GError **err);
static int find_name(const char *const *names, int n, const char *name);

static const event_reader_t event_readers[REPLAY_EVENT_KINDS] = {
	[REPLAY_REQUEST] = read_request, [REPLAY_EXECUTOR] = read_executor,
	[REPLAY_JOB] = read_job,	 [REPLAY_CANCEL] = read_cancel,
	[REPLAY_WORKER] = read_worker,
};

static const event_writer_t event_writers[REPLAY_EVENT_KINDS] = {
	[REPLAY_REQUEST] = write_request, [REPLAY_EXECUTOR] = write_executor,
	[REPLAY_JOB] = write_job,	  [REPLAY_CANCEL] = write_cancel,
	[REPLAY_WORKER] = write_worker,
};

replay_trace_t *replay_trace_load(const char *path, GError **err)
{
	replay_trace_t *trace = g_new0(replay_trace_t, 1);
	FILE *in = fopen(path, "re");
	char *line = NULL;
	size_t line_capacity = 0;
	size_t line_number = 0;
	bool ok = true;

	trace->events = g_array_new(FALSE, TRUE, sizeof(replay_event_t));
	if (!in) {
		gh_error_set(err, GH_E_FILE_MISSING, "can't read trace \"%s\"",
			     path);
		ok = false;
	}
	while (ok && getline(&line, &line_capacity, in) >= 0) {
		json_t *json = json_loads(line, 0, NULL);

		line_number++;
		ok = json && (line_number == 1 ? read_header(trace, json, err) :
						 read_event(trace, json, err));
		if (!ok)
			gh_error_set(err, GH_E_SYNTAX,
				     "trace \"%s\" line %zu: invalid header or "
				     "event",
				     path, line_number);
		json_decref(json);
	}
	free(line);
	if (in)
		fclose(in);
	if (ok && !trace->doc) {
		gh_error_set(err, GH_E_SYNTAX, "trace \"%s\" has no header",
			     path);
		ok = false;
	}
	if (ok)
		return trace;
	replay_trace_free(trace);
	return NULL;
}

bool replay_trace_save(const replay_trace_t *trace, FILE *out, GError **err)
{
	guint i;

	if (!replay_header_save(trace, out, err))
		return false;
	for (i = 0; i < trace->events->len; i++)
		if (!replay_event_save(
			    trace,
			    &g_array_index(trace->events, replay_event_t, i),
			    out, err))
			return false;
	return true;
}

bool replay_header_save(const replay_trace_t *trace, FILE *out, GError **err)
{
	return dump_line(write_header(trace), out, err);
}

bool replay_event_save(const replay_trace_t *trace, const replay_event_t *event,
		       FILE *out, GError **err)
{
	json_t *json = event_writers[event->kind](trace, event);

	json_object_set_new(json, "t_us", json_integer(event->at));
	json_object_set_new(json, "event",
			    json_string(kind_names[event->kind]));
	return dump_line(json, out, err);
}

void replay_trace_free(replay_trace_t *trace)
{
	guint i;

	for (i = 0; i < trace->events->len; i++)
		g_free(g_array_index(trace->events, replay_event_t, i).job);
	g_array_unref(trace->events);
	if (trace->doc)
		gh_document_unref(trace->doc);
	g_free(trace);
}

static bool read_header(replay_trace_t *trace, json_t *json, GError **err)
{
	const char *name;
	const char *text;
	int version;
	json_int_t seed;
	json_int_t from;
	json_int_t to;
	json_int_t rtt;

	if (json_unpack(json, "{s:i,s:s,s:I,s:I,s:I,s:I,s:s}", "trace",
			&version, "name", &name, "seed", &seed, "crest_from_us",
			&from, "crest_to_us", &to, "client_rtt_us", &rtt,
			"document", &text) ||
	    version != REPLAY_TRACE_VERSION)
		return false;
	g_strlcpy(trace->name, name, sizeof(trace->name));
	trace->seed = (uint64_t)seed;
	trace->peak_from = from;
	trace->peak_to = to;
	trace->client_rtt = rtt;
	trace->doc = gh_document_parse(text, strlen(text), 1, err);
	return trace->doc != NULL;
}

static bool read_event(replay_trace_t *trace, json_t *json, GError **err)
{
	replay_event_t event = { 0 };
	const char *kind;
	json_int_t at;
	int i;

	(void)err;
	if (json_unpack(json, "{s:I,s:s}", "t_us", &at, "event", &kind))
		return false;
	i = find_name(kind_names, REPLAY_EVENT_KINDS, kind);
	if (i < 0)
		return false;
	event.at = at;
	event.kind = (replay_event_kind_t)i;
	if (!event_readers[i](trace, json, &event))
		return false;
	g_array_append_val(trace->events, event);
	return true;
}

static bool read_request(const replay_trace_t *trace, json_t *json,
			 replay_event_t *event)
{
	replay_request_t *req = &event->request;
	const char *service;
	const char *domain;
	json_int_t run;
	json_int_t window;
	int idempotent;

	if (json_unpack(json, "{s:s,s:s,s:I,s:I,s:b}", "service", &service,
			"domain", &domain, "run_us", &run, "window_us", &window,
			"idempotent", &idempotent))
		return false;
	req->service = gh_document_service(trace->doc, service);
	req->domain = gh_document_domain(trace->doc, domain);
	req->run_time = run;
	req->timeout = window;
	req->idempotent = idempotent != 0;
	return req->service != GH_HANDLE_NONE && req->domain != GH_HANDLE_NONE;
}

static bool read_executor(const replay_trace_t *trace, json_t *json,
			  replay_event_t *event)
{
	const char *name = json_string_value(json_object_get(json, "name"));

	event->host =
		name ? gh_document_executor(trace->doc, name) : GH_HANDLE_NONE;
	return event->host != GH_HANDLE_NONE && read_mode(json, event);
}

static bool read_worker(const replay_trace_t *trace, json_t *json,
			replay_event_t *event)
{
	const char *name = json_string_value(json_object_get(json, "name"));

	event->host =
		name ? gh_document_worker(trace->doc, name) : GH_HANDLE_NONE;
	return event->host != GH_HANDLE_NONE && read_mode(json, event);
}

static bool read_mode(json_t *json, replay_event_t *event)
{
	const char *mode = json_string_value(json_object_get(json, "mode"));
	int i = mode ? find_name(mode_names, REPLAY_MODES, mode) : -1;

	event->mode = i < 0 ? REPLAY_MODE_UP : (replay_mode_t)i;
	return i >= 0;
}

static bool read_job(const replay_trace_t *trace, json_t *json,
		     replay_event_t *event)
{
	replay_job_t *job = g_new0(replay_job_t, 1);
	gh_job_spec_t *spec = &job->spec;
	const char *name;
	const char *department;
	const char *domain;
	const char *kind;
	int urgent;
	int batch;
	int fails;
	/* Values of the integer keys, in the order of json_unpack() below. */
	int numbers[5];
	json_int_t run;
	json_int_t true_run;

	(void)trace;
	event->job = job;
	if (json_unpack(json,
			"{s:s,s:s,s:s,s:s,s:b,s:b,s:b,s:i,s:i,s:i,s:i,s:i,"
			"s:I,s:I}",
			"job", &name, "department", &department, "domain",
			&domain, "kind", &kind, "urgent", &urgent, "batch",
			&batch, "fails", &fails, "tasks", &numbers[0],
			"cores_milli", &numbers[1], "memory_mb", &numbers[2],
			"accelerators", &numbers[3], "true_cores_milli",
			&numbers[4], "run_ms", &run, "true_run_ms", &true_run))
		return false;
	g_strlcpy(spec->name, name, sizeof(spec->name));
	g_strlcpy(spec->department, department, sizeof(spec->department));
	g_strlcpy(spec->domain, domain, sizeof(spec->domain));
	g_strlcpy(spec->kind, kind, sizeof(spec->kind));
	spec->class = batch ? GH_CLASS_BATCH : GH_CLASS_LATENCY;
	spec->urgent = urgent != 0;
	spec->tasks = (uint32_t)numbers[0];
	spec->cores_milli = (uint32_t)numbers[1];
	spec->memory_mb = (uint32_t)numbers[2];
	spec->accelerators = (uint32_t)numbers[3];
	spec->run_ms = run;
	job->true_cores_milli = (uint32_t)numbers[4];
	job->true_run_ms = true_run;
	job->fails = fails != 0;
	return spec->tasks > 0 && spec->tasks <= GH_JOB_TASKS_MAX;
}

static bool read_cancel(const replay_trace_t *trace, json_t *json,
			replay_event_t *event)
{
	const char *name = json_string_value(json_object_get(json, "job"));
	const char *domain = json_string_value(json_object_get(json, "domain"));

	(void)trace;
	event->job = g_new0(replay_job_t, 1);
	if (!name || !domain)
		return false;
	g_strlcpy(event->job->spec.name, name, sizeof(event->job->spec.name));
	g_strlcpy(event->job->spec.domain, domain,
		  sizeof(event->job->spec.domain));
	return true;
}

static json_t *write_header(const replay_trace_t *trace)
{
	return json_pack(
		"{s:i,s:s,s:I,s:I,s:I,s:I,s:s}", "trace", REPLAY_TRACE_VERSION,
		"name", trace->name, "seed", (json_int_t)trace->seed,
		"crest_from_us", (json_int_t)trace->peak_from, "crest_to_us",
		(json_int_t)trace->peak_to, "client_rtt_us",
		(json_int_t)trace->client_rtt, "document", trace->doc->text);
}

static json_t *write_request(const replay_trace_t *trace,
			     const replay_event_t *event)
{
	const replay_request_t *req = &event->request;

	return json_pack("{s:s,s:s,s:I,s:I,s:b}", "service",
			 trace->doc->services[req->service].name, "domain",
			 trace->doc->domains[req->domain].name, "run_us",
			 (json_int_t)req->run_time, "window_us",
			 (json_int_t)req->timeout, "idempotent",
			 (int)req->idempotent);
}

static json_t *write_executor(const replay_trace_t *trace,
			      const replay_event_t *event)
{
	return json_pack("{s:s,s:s}", "name",
			 trace->doc->executors[event->host].name, "mode",
			 mode_names[event->mode]);
}

static json_t *write_worker(const replay_trace_t *trace,
			    const replay_event_t *event)
{
	return json_pack("{s:s,s:s}", "name",
			 trace->doc->workers[event->host].name, "mode",
			 mode_names[event->mode]);
}

static json_t *write_job(const replay_trace_t *trace,
			 const replay_event_t *event)
{
	const replay_job_t *job = event->job;
	const gh_job_spec_t *spec = &job->spec;

	(void)trace;
	return json_pack(
		"{s:s,s:s,s:s,s:s,s:b,s:b,s:b,s:i,s:i,s:i,s:i,s:i,"
		"s:I,s:I}",
		"job", spec->name, "department", spec->department, "domain",
		spec->domain, "kind", spec->kind, "urgent", (int)spec->urgent,
		"batch", (int)(spec->class == GH_CLASS_BATCH), "fails",
		(int)job->fails, "tasks", (int)spec->tasks, "cores_milli",
		(int)spec->cores_milli, "memory_mb", (int)spec->memory_mb,
		"accelerators", (int)spec->accelerators, "true_cores_milli",
		(int)job->true_cores_milli, "run_ms", (json_int_t)spec->run_ms,
		"true_run_ms", (json_int_t)job->true_run_ms);
}

static json_t *write_cancel(const replay_trace_t *trace,
			    const replay_event_t *event)
{
	(void)trace;
	return json_pack("{s:s,s:s}", "job", event->job->spec.name, "domain",
			 event->job->spec.domain);
}

/* Writes an object as one line, and releases it. */
static bool dump_line(json_t *json, FILE *out, GError **err)
{
	bool ok = !json_dumpf(json, out, JSON_COMPACT) && fputc('\n', out) >= 0;

	json_decref(json);
	if (!ok)
		gh_error_set(err, GH_E_SYSTEM, "can't write the trace");
	return ok;
}

/* Returns the index of a name, or -1. */
static int find_name(const char *const *names, int n, const char *name)
{
	int i;

	for (i = 0; i < n; i++)
		if (!strcmp(names[i], name))
			return i;
	return -1;
}
