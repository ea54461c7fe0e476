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
	/* Each request or task on it fails after a short time. */
	REPLAY_MODE_FAIL,
	REPLAY_MODES
} replay_mode_t;

/* A request as it arrived, with times in microseconds. */
typedef struct replay_request {
	gh_handle_t service;
	gh_handle_t domain;
	/* True run time of the request at an executor. */
	gh_time_t run_time;
	gh_time_t timeout; /* time that the caller waits for the response */
	bool idempotent;
} replay_request_t;

/* A job as submitted, and the true behaviour of its tasks. */
typedef struct replay_job {
	gh_job_spec_t spec;
	/* Run time of each task; 0: it runs until stopped or failed. */
	int64_t true_run_ms;
	uint32_t true_cores_milli;
	bool fails; /* every attempt of its tasks fails */
} replay_job_t;

/* One event; only the members of its kind are set. */
typedef struct replay_event {
	/* Time of the event in microseconds since the start of the trace. */
	gh_time_t at;
	replay_event_kind_t kind;
	/* REPLAY_EXECUTOR, REPLAY_WORKER: new mode of host. */
	replay_mode_t mode;
	/*
	 * Handle of the executor (REPLAY_EXECUTOR) or worker (REPLAY_WORKER).
	 */
	gh_handle_t host;
	replay_request_t request;
	/* REPLAY_JOB: the job; REPLAY_CANCEL: only name and domain are used. */
	replay_job_t *job;
} replay_event_t;

/* A trace in memory; in the trace file the peak is called "crest". */
typedef struct replay_trace {
	char name[GH_NAME_MAX + 1];
	uint64_t seed;
	gh_document_t *doc;
	/*
	 * Start of the peak load, in microseconds; equal to peak_to if there is
	 * no peak.
	 */
	gh_time_t peak_from;
	gh_time_t peak_to;
	/* Round trip from caller to entry host, in microseconds. */
	gh_time_t client_rtt;
	GArray *events; /* elements: replay_event_t, sorted by time */
} replay_trace_t;

/*
 * Reads and checks a trace file.  Errors: GH_E_FILE_MISSING if it can't be
 * opened, GH_E_SYNTAX with the number of an invalid line or for a missing
 * header.
 */
replay_trace_t *replay_trace_load(const char *path, GError **err);
/* Writes a trace.  Error: GH_E_SYSTEM. */
bool replay_trace_save(const replay_trace_t *trace, FILE *out, GError **err);
/*
 * Write the header of a trace, and one event, while the trace is being
 * recorded.
 */
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
/* Name of a preset; NULL for an index past the last preset. */
const char *replay_preset_name(size_t index);

/* Scheduling policies to replay a trace with. */
typedef enum replay_policy {
	REPLAY_CORE,	    /* the decision core places requests and tasks */
	REPLAY_FIFO_RANDOM, /* each request goes to a random executor */
	/* Each request goes to the least loaded executor. */
	REPLAY_LEAST_CONNECTIONS,
	/* Each task goes to the first worker with enough cores. */
	REPLAY_FIRST_FIT,
	REPLAY_POLICIES
} replay_policy_t;

const char *replay_policy_name(replay_policy_t policy);

/* Samples of a duration, all kept for exact percentiles. */
typedef struct replay_samples {
	GArray *values; /* elements: gh_time_t, in microseconds */
} replay_samples_t;

#define REPLAY_DEPARTMENTS_MAX 64

/* Results of replaying the requests of a trace; times in microseconds. */
typedef struct replay_request_result {
	uint64_t offered;
	uint64_t completed; /* requests that got a complete response */
	/* Requests completed within the caller's timeout. */
	uint64_t in_time;
	uint64_t late; /* requests completed after the caller's timeout */
	uint64_t refused[GH_E_COUNT];
	uint64_t retries;
	/* Response times of latency-critical requests. */
	replay_samples_t latency;
	/* Time from arrival to first dispatch of latency-critical requests. */
	replay_samples_t queue_wait;
	/* Latency-critical requests that arrived in the peak. */
	uint64_t peak_offered;
	/*
	 * Latency-critical requests that arrived in the peak and were completed
	 * in time.
	 */
	uint64_t peak_in_time;
	/*
	 * Sum of the run times of all requests that were completed in time
	 * during the peak.
	 */
	gh_time_t peak_work_in_time;
	/*
	 * Sum of the run times of batch requests completed in time and before
	 * the trace ends.
	 */
	gh_time_t batch_work;
	gh_time_t duration; /* time of the last event of the trace */
	unsigned slots;	    /* total number of slots of all executors */
	/* Number of dispatches to an executor without a free slot. */
	unsigned slot_overruns;
	/* Run time of requests at executors, by department. */
	gh_time_t slot_time_used[REPLAY_DEPARTMENTS_MAX];
	/*
	 * Number of samples, by department, at which the department had demand
	 * but used less than 95 % of its guarantee.
	 */
	uint64_t samples_below_guarantee[REPLAY_DEPARTMENTS_MAX];
	/*
	 * Number of samples, by department, at which the department had
	 * requests waiting and its demand reached its guarantee.
	 */
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
	uint64_t cancelled;	      /* jobs cancelled */
	uint64_t refused[GH_E_COUNT]; /* jobs refused, by error kind */
	/*
	 * Time from submission to first start of tasks of urgent jobs, in
	 * microseconds.
	 */
	replay_samples_t urgent_start_delay;
	/* Core time of batch attempts done before the trace ends. */
	int64_t work_done_core_ms;
	/* Core time of attempts that failed or whose worker went down. */
	int64_t work_lost_core_ms;
	/* Attempts started on a worker without enough cores. */
	uint64_t size_overruns;
	uint64_t workers_ejected;
	/* Time of the last event of the trace, in microseconds. */
	gh_time_t duration;
} replay_task_result_t;

/*
 * Replay the requests or the tasks of a trace; return false if the policy
 * handles no requests, or no tasks.
 */
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
