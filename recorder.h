/*
 * Records the load of a running daemon as a trace for `geraniumhoist replay`:
 * requests with their measured run times, and jobs as submitted.
 *
 * Events may arrive out of order: a request is recorded only when its response
 * is complete.  Events stay in memory for RECORDER_REORDER_WINDOW_MS and are
 * then written in order of time.  The header holds the document in force at
 * the first event.  Events that refer to names outside it, or that arrive too
 * late to be in order, are skipped and counted.  Any thread may record.
 */
#ifndef RECORDER_H
#define RECORDER_H

#include "replay.h"

#define RECORDER_REORDER_WINDOW_MS 10000
/* Maximum of events in a trace; later events are skipped. */
#define RECORDER_EVENTS_MAX 5000000

typedef struct recorder recorder_t;

/*
 * Creates or truncates the trace file at path for the named host.  Returns
 * NULL with GH_E_FILE_MISSING when the file cannot be opened.
 */
recorder_t *recorder_open(const char *path, const char *host, GError **err);

/* Writes the pending events and closes the file; recorder may be NULL. */
void recorder_close(recorder_t *recorder);

/*
 * Record one event each.  Handles refer to doc; at is in microseconds on
 * CLOCK_BOOTTIME; recorder may be NULL.
 */
void recorder_add_request(recorder_t *recorder, gh_document_t *doc,
			  gh_time_t at, const replay_request_t *request);
void recorder_add_job(recorder_t *recorder, gh_document_t *doc, gh_time_t at,
		      const gh_job_spec_t *spec);
/*
 * Records the cancellation of a job.  Only the domain and the name in spec are
 * used.
 */
void recorder_add_cancel(recorder_t *recorder, gh_document_t *doc, gh_time_t at,
			 const gh_job_spec_t *spec);

#endif
