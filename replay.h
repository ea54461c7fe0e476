/*
 * Replay of recorded traces through the decision core, with a virtual clock.
 *
 * A trace is a text file with one JSON object per line: a header with the
 * document in force, then events sorted by time.  The replay simulates an
 * event queue, executors that occupy a slot for the true run time of a
 * request, and workers that run a task for its true run time.  All decisions
 * are made by the decision core or by a baseline policy.
 */
#ifndef REPLAY_H
#define REPLAY_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>
#include <stdio.h>

#include <glib.h>

#include "core_document.h"
#include "core_task.h"
#include "core_time.h"

#define REPLAY_TRACE_VERSION 1

/* Kind of a trace event. */
typedef enum replay_event_kind {
	REPLAY_REQUEST,	 /* a request arrives at an entry host */
	REPLAY_EXECUTOR, /* the mode of an executor changes */
	REPLAY_JOB,	 /* a job is submitted */
	REPLAY_CANCEL,	 /* a job is cancelled */
	REPLAY_WORKER,	 /* the mode of a worker changes */
	REPLAY_EVENT_KINDS
} replay_event_kind_t;

/* Behaviour of an executor or a worker from the time of an event on. */
typedef enum replay_mode {
	REPLAY_MODE_UP,
	REPLAY_MODE_DOWN, /* a worker does not respond; ignored for executors */
	REPLAY_MODE_FAIL, /* each request or task fails after a short time */
	REPLAY_MODES
} replay_mode_t;

/* A request as it arrived, with times in microseconds. */
typedef struct replay_request {
	gh_handle_t service;
	gh_handle_t domain;
	gh_time_t run_time; /* true run time at the executor */
	gh_time_t timeout;  /* how long the caller waits for the response */
	bool idempotent;
} replay_request_t;

/* A job as submitted, and the true behaviour of its tasks. */
typedef struct replay_job {
	gh_job_spec_t spec;
	int64_t true_run_ms; /* 0: runs until stopped or failed */
	uint32_t true_cores_milli;
	bool fails; /* every attempt fails */
} replay_job_t;

/* One event; only the members of its kind are set. */
typedef struct replay_event {
	gh_time_t at; /* microseconds since the start of the trace */
	replay_event_kind_t kind;
	replay_mode_t mode; /* REPLAY_EXECUTOR, REPLAY_WORKER: new mode */
	gh_handle_t host;   /* REPLAY_EXECUTOR, REPLAY_WORKER: its handle */
	replay_request_t request;
	replay_job_t *job; /* REPLAY_JOB; REPLAY_CANCEL: name and domain */
} replay_event_t;

/* A trace in memory; the file calls the peak "crest". */
typedef struct replay_trace {
	char name[GH_NAME_MAX + 1];
	uint64_t seed;
	gh_document_t *doc;
	gh_time_t peak_from; /* period of peak load; equal to peak_to if none */
	gh_time_t peak_to;
	gh_time_t client_rtt; /* microseconds, caller to entry host and back */
	GArray *events;	      /* of replay_event_t, sorted by time */
} replay_trace_t;

/*
 * Reads and checks a trace file.  Errors: GH_E_FILE_MISSING if it can't be
 * opened, GH_E_SYNTAX with the number of an invalid line or for a missing
 * header.
 */
replay_trace_t *replay_trace_load(const char *path, GError **err);
/* Writes a trace.  Error: GH_E_SYSTEM. */
bool replay_trace_save(const replay_trace_t *trace, FILE *out, GError **err);
/* Write the header and single events of a trace that is being recorded. */
bool replay_header_save(const replay_trace_t *trace, FILE *out, GError **err);
bool replay_event_save(const replay_trace_t *trace, const replay_event_t *event,
		       FILE *out, GError **err);
void replay_trace_free(replay_trace_t *trace);

/*
 * Generates a trace of the given length from a preset.  The same arguments
 * give the same trace.  Error: GH_E_NOT_FOUND for an unknown preset.
 */
replay_trace_t *replay_generate(const char *preset, uint64_t seed,
				int64_t seconds, GError **err);
const char *replay_preset_name(size_t index); /* NULL past the last */

/* Scheduling policies to replay a trace with. */
typedef enum replay_policy {
	REPLAY_CORE,		  /* the decision core */
	REPLAY_FIFO_RANDOM,	  /* requests to a random executor */
	REPLAY_LEAST_CONNECTIONS, /* requests to the least loaded executor */
	REPLAY_FIRST_FIT, /* tasks to the first worker with enough cores */
	REPLAY_POLICIES
} replay_policy_t;

const char *replay_policy_name(replay_policy_t policy);

/* Samples of a duration, all kept for exact percentiles. */
typedef struct replay_samples {
	GArray *values; /* of gh_time_t */
} replay_samples_t;

#define REPLAY_DEPARTMENTS_MAX 64

/* Results of replaying the requests of a trace; times in microseconds. */
typedef struct replay_request_result {
	uint64_t offered;
	uint64_t completed; /* with a complete response */
	uint64_t in_time;   /* completed within the caller's timeout */
	uint64_t late;	    /* completed after it */
	uint64_t refused[GH_E_COUNT];
	uint64_t retries;
	replay_samples_t latency; /* response times, latency-critical */
	/* Arrival to first dispatch, latency-critical. */
	replay_samples_t queue_wait;
	uint64_t peak_offered;	     /* latency-critical */
	uint64_t peak_in_time;	     /* latency-critical */
	gh_time_t peak_work_in_time; /* slot time, all classes */
	gh_time_t batch_work;	     /* slot time of batch completed in time */
	gh_time_t duration;	     /* of the trace */
	unsigned slots;		     /* of all executors */
	/* Dispatches to an executor without a free slot. */
	unsigned slot_overruns;
	/* Slot time used by each department. */
	gh_time_t slot_time_used[REPLAY_DEPARTMENTS_MAX];
	/* Samples at which a department got less than its guarantee. */
	uint64_t samples_below_guarantee[REPLAY_DEPARTMENTS_MAX];
	/* Samples at which it had enough demand to use its guarantee. */
	uint64_t samples_with_demand[REPLAY_DEPARTMENTS_MAX];
} replay_request_result_t;

/* Results of replaying the tasks of a trace; counts are of attempts unless
 * stated otherwise. */
typedef struct replay_task_result {
	uint64_t jobs;
	uint64_t started;
	uint64_t done;
	uint64_t failed;
	uint64_t evicted;
	uint64_t cancelled;	      /* jobs */
	uint64_t refused[GH_E_COUNT]; /* jobs */
	/* Submission to first start of a task, urgent jobs; microseconds. */
	replay_samples_t urgent_start_delay;
	int64_t work_done_core_ms; /* of finished batch attempts */
	int64_t work_lost_core_ms; /* of failed attempts and failed workers */
	uint64_t size_overruns;	   /* starts on a worker without enough cores */
	uint64_t workers_ejected;
	gh_time_t duration; /* of the trace, in microseconds */
} replay_task_result_t;

/* Replay a trace; return false if the policy does not handle such work. */
bool replay_requests(const replay_trace_t *trace, replay_policy_t policy,
		     replay_request_result_t *result);
bool replay_tasks(const replay_trace_t *trace, replay_policy_t policy,
		  replay_task_result_t *result);

void replay_request_result_clear(replay_request_result_t *result);
void replay_task_result_clear(replay_task_result_t *result);

/*
 * Sorts the samples and returns the percentile given in thousandths, in
 * microseconds; 0 if there are no samples.
 */
gh_time_t replay_percentile(replay_samples_t *samples, unsigned permille);

/* Replays a trace under each policy and prints the results as a table. */
void replay_print(const replay_trace_t *trace, FILE *out);

#endif
