#include "recorder.h"

#include <errno.h>
#include <pthread.h>
#include <string.h>

#include "clock.h"
#include "counter.h"
#include "error.h"
#include "log.h"

struct recorder {
	pthread_mutex_t lock;
	FILE *out;
	/* Name and document, for the header of the trace file. */
	replay_trace_t trace;
	/* Events (replay_event_t) not yet written, in time order. */
	GQueue pending;
	/* Time on CLOCK_BOOTTIME at which trace time is zero. */
	gh_time_t origin;
	/* Trace time of the last event written to the file. */
	gh_time_t last_written;
	size_t count; /* number of events accepted so far */
};

static void add_job_event(recorder_t *recorder, gh_document_t *doc,
			  gh_time_t at, replay_event_kind_t kind,
			  const gh_job_spec_t *spec);
static void add_event(recorder_t *recorder, gh_document_t *doc,
		      replay_event_t *event);
static bool prepare_trace(recorder_t *recorder, gh_document_t *doc,
			  gh_time_t at);
static bool translate_event(const recorder_t *recorder,
			    const gh_document_t *doc, replay_event_t *event);
static void insert_pending(recorder_t *recorder, replay_event_t *event);
static void write_events_until(recorder_t *recorder, gh_time_t until);
static void event_free(void *data);

recorder_t *recorder_open(const char *path, const char *host, GError **err)
{
	FILE *out = fopen(path, "we");
	recorder_t *recorder;

	if (!out) {
		gh_error_set(err, GH_E_FILE_MISSING,
			     "cannot open trace file \"%s\" for writing: %s",
			     path, g_strerror(errno));
		return NULL;
	}
	recorder = g_new0(recorder_t, 1);
	pthread_mutex_init(&recorder->lock, NULL);
	recorder->out = out;
	g_queue_init(&recorder->pending);
	g_strlcpy(recorder->trace.name, host, sizeof(recorder->trace.name));
	return recorder;
}

void recorder_close(recorder_t *recorder)
{
	if (!recorder)
		return;
	write_events_until(recorder, GH_TIME_NEVER);
	fclose(recorder->out);
	gh_document_unref(recorder->trace.doc);
	pthread_mutex_destroy(&recorder->lock);
	g_free(recorder);
}

void recorder_add_request(recorder_t *recorder, gh_document_t *doc,
			  gh_time_t at, const replay_request_t *request)
{
	replay_event_t event = {
		.at = at,
		.kind = REPLAY_REQUEST,
		.request = *request,
	};

	add_event(recorder, doc, &event);
}

void recorder_add_job(recorder_t *recorder, gh_document_t *doc, gh_time_t at,
		      const gh_job_spec_t *spec)
{
	add_job_event(recorder, doc, at, REPLAY_JOB, spec);
}

void recorder_add_cancel(recorder_t *recorder, gh_document_t *doc, gh_time_t at,
			 const gh_job_spec_t *spec)
{
	add_job_event(recorder, doc, at, REPLAY_CANCEL, spec);
}

static void add_job_event(recorder_t *recorder, gh_document_t *doc,
			  gh_time_t at, replay_event_kind_t kind,
			  const gh_job_spec_t *spec)
{
	replay_event_t event = { .at = at, .kind = kind };

	if (!recorder)
		return;
	/* The tasks' true usage is not known yet; use the declared values. */
	event.job = g_new0(replay_job_t, 1);
	event.job->spec = *spec;
	event.job->true_run_ms = spec->run_ms;
	event.job->true_cores_milli = spec->cores_milli;
	add_event(recorder, doc, &event);
}

/* Adds an event to the trace and takes ownership of its job. */
static void add_event(recorder_t *recorder, gh_document_t *doc,
		      replay_event_t *event)
{
	gh_time_t cutoff =
		clock_boot() - gh_time_from_ms(RECORDER_REORDER_WINDOW_MS);

	if (!recorder)
		return;
	pthread_mutex_lock(&recorder->lock);
	if (prepare_trace(recorder, doc, event->at) &&
	    translate_event(recorder, doc, event)) {
		insert_pending(recorder, event);
		write_events_until(recorder, cutoff - recorder->origin);
	} else {
		g_free(event->job);
		counter_inc(CTR_TRACE_SKIPPED);
	}
	pthread_mutex_unlock(&recorder->lock);
}

/*
 * Writes the header of the trace ahead of the first event.  Fails when the
 * header cannot be written or the trace is full.
 */
static bool prepare_trace(recorder_t *recorder, gh_document_t *doc,
			  gh_time_t at)
{
	if (recorder->trace.doc)
		return recorder->count < RECORDER_EVENTS_MAX;
	recorder->trace.doc = gh_document_ref(doc);
	/*
	 * Trace time zero is one reorder window before the first event that is
	 * reported, so that earlier events reported later fit into the trace.
	 */
	recorder->origin = at - gh_time_from_ms(RECORDER_REORDER_WINDOW_MS);
	return replay_header_save(&recorder->trace, recorder->out, NULL);
}

/*
 * Converts the event's time to trace time and its handles from doc to the
 * header's document.  Fails when the event is too late to be written in order
 * or names something that the header's document lacks.
 */
static bool translate_event(const recorder_t *recorder,
			    const gh_document_t *doc, replay_event_t *event)
{
	const gh_document_t *target = recorder->trace.doc;
	replay_request_t *request = &event->request;

	event->at -= recorder->origin;
	if (event->at < recorder->last_written)
		return false;
	if (event->kind != REPLAY_REQUEST)
		return gh_document_domain(target, event->job->spec.domain) !=
		       GH_HANDLE_NONE;
	request->service = gh_document_service(
		target, doc->services[request->service].name);
	request->domain =
		gh_document_domain(target, doc->domains[request->domain].name);
	return request->service != GH_HANDLE_NONE &&
	       request->domain != GH_HANDLE_NONE;
}

static void insert_pending(recorder_t *recorder, replay_event_t *event)
{
	GList *previous = recorder->pending.tail;

	while (previous && ((replay_event_t *)previous->data)->at > event->at)
		previous = previous->prev;
	g_queue_insert_after(&recorder->pending, previous,
			     g_memdup2(event, sizeof(*event)));
	recorder->count++;
}

static void write_events_until(recorder_t *recorder, gh_time_t until)
{
	replay_event_t *event;

	while ((event = g_queue_peek_head(&recorder->pending)) &&
	       event->at <= until) {
		g_queue_pop_head(&recorder->pending);
		recorder->last_written = event->at;
		if (!replay_event_save(&recorder->trace, event, recorder->out,
				       NULL))
			recorder->count = RECORDER_EVENTS_MAX;
		event_free(event);
	}
}

static void event_free(void *data)
{
	replay_event_t *event = data;

	g_free(event->job);
	g_free(event);
}
