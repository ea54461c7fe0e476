/*
 * Scheduler for the set of workers that one owner manages: decides which task
 * of which job runs where, when a run is stopped and when its end is
 * committed.  It takes events and returns records to commit and orders to
 * send; it does no I/O.
 *
 * A run is one numbered start of a task.  It is first added to its job's
 * record (the intent); its start order is issued only once that record is
 * committed.  A run ends exactly once: when its worker reports the end, or
 * when it is certain that the run is not alive and cannot start any more.  The
 * worker may forget an end only after the change that records it is committed.
 *
 * Times are CLOCK_BOOTTIME in microseconds unless named wall.
 */
#ifndef CORE_FLEET_H
#define CORE_FLEET_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#include "core_pipeline.h"
#include "core_time.h"

#define GH_WORKER_ID_MAX 63
#define GH_WORKER_LABELS_MAX 8
#define GH_CHECKPOINT_NAME_MAX 255 /* bytes */

typedef struct gh_fleet gh_fleet_t;

typedef struct gh_fleet_setup {
	int64_t lease_ms;  /* granted by each lease renewal and start order */
	int64_t orphan_ms; /* longest that runs of a previous owner may live */
	int64_t stop_ms;   /* longest that a worker takes to stop a task */
} gh_fleet_setup_t;

/* Identifies a task: its job, occurrence, step and index within the step. */
typedef struct gh_task_id {
	char job[GH_JOB_ID_MAX + 1];
	uint32_t occurrence;
	uint32_t step;
	uint32_t index;
} gh_task_id_t;

/* A worker as service discovery lists it. */
typedef struct gh_worker_entry {
	char id[GH_WORKER_ID_MAX + 1];
	char service[GH_QUEUE_MAX + 1];
	char address[GH_ADDRESS_MAX + 1];
	char labels[GH_WORKER_LABELS_MAX][GH_LABEL_MAX + 1]; /* kind, rack */
	uint32_t n_labels;
	gh_resources_t size;
	/* Wall clock; tells incarnations with the same id apart. */
	int64_t incarnation_start_ms;
	bool draining;
} gh_worker_entry_t;

/*
 * A queue's configuration.  A job's objective is the critical path of its
 * estimates times stretch_milli / 1000, plus target_ms.
 */
typedef struct gh_queue_policy {
	char name[GH_QUEUE_MAX + 1];
	uint32_t priority; /* 0 is the highest */
	uint32_t attempts; /* failed runs of one task before its job fails */
	int64_t stretch_milli;
	int64_t target_ms;
} gh_queue_policy_t;

typedef enum gh_job_phase {
	GH_JOB_QUEUED,
	GH_JOB_RUNNING,
	GH_JOB_COMPLETED,
	GH_JOB_FAILED,
	GH_JOB_CANCELLED,
	GH_JOB_PHASES
} gh_job_phase_t;

typedef enum gh_run_outcome {
	GH_RUN_DONE,
	GH_RUN_FAILED,
	GH_RUN_STOPPED,
	GH_RUN_LEASE_EXPIRED,
	GH_RUN_GANG_BROKEN,	/* another member of its gang ended */
	GH_RUN_GANG_INCOMPLETE, /* other members did not start in time */
	GH_RUN_LOST,		/* is not alive and its end was not reported */
	GH_RUN_NOT_STARTED,
	GH_RUN_OUTCOMES
} gh_run_outcome_t;

typedef enum gh_order_kind {
	GH_ORDER_START,
	GH_ORDER_STOP,
	GH_ORDER_PACE
} gh_order_kind_t;

/*
 * An order to be sent to a worker.  The strings belong to the fleet and are
 * valid until the next call.
 */
typedef struct gh_order {
	gh_order_kind_t kind;
	const char *worker;
	const char *address;
	gh_task_id_t task;
	uint32_t run;		/* number of the run */
	uint32_t pace_percent;	/* PACE; share of the task's cores */
	const char *payload;	/* START */
	const char *checkpoint; /* START; NULL: start from the beginning */
	gh_time_t lease_until;	/* START */
} gh_order_t;

/* Result of an order or a lease renewal. */
typedef enum gh_order_reply {
	GH_ORDER_OK,
	GH_ORDER_NO_CAPACITY,
	GH_ORDER_STALE_RUN,	/* that run or a later one has ended there */
	GH_ORDER_LEASE_EXPIRED, /* the lease deadline had passed on arrival */
	GH_ORDER_FENCED,	/* the worker has seen a newer owner */
	GH_ORDER_REFUSED,	/* the worker is unhealthy and did nothing */
	GH_ORDER_INVALID,	/* the worker could not parse the order */
	GH_ORDER_OTHER_INCARNATION, /* the worker has restarted since */
	GH_ORDER_OUTCOME_UNKNOWN    /* no reply; it may still take effect */
} gh_order_reply_t;

/* A running task in a worker's report. */
typedef struct gh_report_run {
	gh_task_id_t task;
	uint32_t run; /* number of the run */
	char checkpoint[GH_CHECKPOINT_NAME_MAX + 1];
	/* Of its work; for a long-running task 100 means that it serves. */
	uint32_t progress_percent;
	/* Long-running: tail latency in ms; others: milli-cores in use. */
	int64_t gauge;
} gh_report_run_t;

/* An ended run in a worker's report. */
typedef struct gh_report_end {
	uint64_t number; /* counts the ends in this incarnation */
	gh_task_id_t task;
	uint32_t run; /* number of the run */
	gh_run_outcome_t outcome;
	char checkpoint[GH_CHECKPOINT_NAME_MAX + 1];
} gh_report_end_t;

/* Reply to a lease renewal: what runs on the worker and what has ended. */
typedef struct gh_worker_report {
	gh_time_t requested_at;	      /* when the renewal was sent */
	int64_t incarnation_start_ms; /* wall clock; 0: not reported */
	bool complete;		      /* it leaves out no further ends */
	gh_report_run_t *runs;
	size_t n_runs;
	gh_report_end_t *ends;
	size_t n_ends;
} gh_worker_report_t;

/* A lease renewal to be sent; its reply is the worker's report. */
typedef struct gh_worker_renewal {
	const char *worker;
	const char *address;
	uint64_t acked_through; /* ends up to this number are committed */
	int64_t max_wait_ms;	/* the worker may wait this long for an end */
	gh_time_t lease_until;	/* 0: the lease is not extended */
} gh_worker_renewal_t;

/* A job's record as it has to be committed. */
typedef struct gh_fleet_change {
	char id[GH_JOB_ID_MAX + 1];
	uint64_t version;
	char *progress; /* NULL: the job has ended; delete its records */
	gh_job_phase_t phase;
	bool phase_changed; /* since the last commit */
} gh_fleet_change_t;

/* Receives each decision, for the log; task, worker and detail may be NULL. */
typedef struct gh_fleet_sink {
	void (*on_event)(void *ctx, const char *event, const gh_task_id_t *task,
			 uint32_t run, const char *worker, const char *detail);
	void *ctx;
} gh_fleet_sink_t;

/* Totals since gh_fleet_new(), then present numbers. */
typedef struct gh_fleet_counts {
	uint64_t started, done, failed, stopped, lease_expired, lost,
		no_capacity;
	uint64_t copies, hangs, quarantines, paced, moved;
	uint32_t jobs, workers, open_runs, pending_tasks;
} gh_fleet_counts_t;

gh_fleet_t *gh_fleet_new(const gh_fleet_setup_t *setup,
			 const gh_fleet_sink_t *sink, gh_time_t now);
void gh_fleet_free(gh_fleet_t *fleet);

/* Adds or updates a worker that service discovery lists. */
void gh_fleet_worker_set(gh_fleet_t *fleet, const gh_worker_entry_t *entry,
			 gh_time_t now);
/* Starts nothing more on the worker; it is kept while it has open runs. */
void gh_fleet_worker_unlist(gh_fleet_t *fleet, const char *id);
/* Unlists all workers whose ids are not in the set. */
void gh_fleet_workers_retain(gh_fleet_t *fleet, GHashTable *ids);
void gh_fleet_queue_set(gh_fleet_t *fleet, const gh_queue_policy_t *policy);

/*
 * Adds a job with its stored progress, NULL if no task was ever started.  A
 * job that is already known is left as it is.  Takes ownership of the
 * pipeline.  Returns false with GH_E_SYNTAX if progress can't be parsed; the
 * job is added even so, with the lines before the bad one.
 */
bool gh_fleet_job_add(gh_fleet_t *fleet, gh_pipeline_t *pipeline,
		      const char *progress, GError **err);
bool gh_fleet_has_job(const gh_fleet_t *fleet, const char *id);
void gh_fleet_job_cancel(gh_fleet_t *fleet, const char *id, gh_time_t now);

/* Processes a worker's report, the reply to a lease renewal. */
void gh_fleet_handle_report(gh_fleet_t *fleet, const char *id,
			    const gh_worker_report_t *report, gh_time_t now);
void gh_fleet_handle_renewal_failure(gh_fleet_t *fleet, const char *id,
				     gh_order_reply_t why, gh_time_t now);

/* Processes the reply to an order of the given kind for the numbered run. */
void gh_fleet_handle_reply(gh_fleet_t *fleet, gh_order_kind_t kind,
			   const char *id, const gh_task_id_t *task,
			   uint32_t number, gh_order_reply_t reply,
			   gh_time_t now);

/* Makes all decisions that are due; wall_ms decides which occurrences are. */
void gh_fleet_tick(gh_fleet_t *fleet, gh_time_t now, int64_t wall_ms);

/* Next lease renewal to send; false if none is due. */
bool gh_fleet_next_renewal(gh_fleet_t *fleet, gh_worker_renewal_t *renewal,
			   gh_time_t now);

/* Next order to send; false if there is none. */
bool gh_fleet_next_order(gh_fleet_t *fleet, gh_order_t *order, gh_time_t now);

/*
 * Next change to commit; false if there is none.  The caller frees progress
 * and reports the result by one of the two functions below.
 */
bool gh_fleet_next_change(gh_fleet_t *fleet, gh_fleet_change_t *change);
void gh_fleet_handle_commit(gh_fleet_t *fleet, const char *id,
			    uint64_t version);
/* The change was not committed and is queued again. */
void gh_fleet_handle_commit_failure(gh_fleet_t *fleet, const char *id);

/*
 * The interference weights learned so far as text, for the next owner; the
 * caller frees it.
 */
char *gh_fleet_interference_format(const gh_fleet_t *fleet);
/* Loads weights of a previous owner; false if a line can't be parsed. */
bool gh_fleet_interference_parse(gh_fleet_t *fleet, const char *text);

/* Whether a worker has seen a newer owner, so that this one has to stop. */
bool gh_fleet_fenced(const gh_fleet_t *fleet);

bool gh_fleet_has_changes(const gh_fleet_t *fleet);
void gh_fleet_counts(const gh_fleet_t *fleet, gh_fleet_counts_t *counts);
const char *gh_job_phase_name(gh_job_phase_t phase);
/* Phase by name, or GH_JOB_PHASES. */
gh_job_phase_t gh_job_phase_by_name(const char *name);
const char *gh_run_outcome_name(gh_run_outcome_t outcome);

#endif
