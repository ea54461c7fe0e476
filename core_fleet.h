/*
 * Decisions of the owner of a set of workers: which task of which job runs
 * where, when it is stopped, when its end is on record.  Events in, changes
 * to commit and orders out; no I/O.
 *
 * A run is one numbered start of a task.  It becomes a change of its job's
 * record first (the intent); its start is given out only once that change is
 * committed.  A run ends exactly once: by the worker's own list, or when it
 * is certain that it neither runs nor can still begin.  The worker may
 * forget an end only after the end's change is committed.
 *
 * Times are CLOCK_BOOTTIME unless they are named wall.
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
#define GH_CHECKPOINT_NAME_MAX 255 /* bytes of a checkpoint's name */

typedef struct gh_fleet gh_fleet_t;

typedef struct gh_fleet_setup {
	int64_t lease_ms;  /* that each hold and start grants */
	int64_t orphan_ms; /* longest that a former owner's runs can live */
	int64_t stop_ms;   /* longest time a worker takes to stop a task */
} gh_fleet_setup_t;

/* A task by name: job, occurrence, step and index within the step. */
typedef struct gh_task_id {
	char job[GH_JOB_ID_MAX + 1];
	uint32_t occurrence;
	uint32_t step;
	uint32_t index;
} gh_task_id_t;

/* What discovery says of a worker. */
typedef struct gh_worker_entry {
	char id[GH_WORKER_ID_MAX + 1]; /* names one life of the worker */
	char service[GH_QUEUE_MAX + 1];
	char address[GH_ADDRESS_MAX + 1];
	char labels[GH_WORKER_LABELS_MAX][GH_LABEL_MAX + 1]; /* rack included */
	uint32_t n_labels;
	gh_resources_t size;
	int64_t incarnation_start_ms; /* wall clock; tells lives under one id
					 apart */
	bool draining;
} gh_worker_entry_t;

/* What a queue's configuration says of its jobs. */
typedef struct gh_queue_policy {
	char name[GH_QUEUE_MAX + 1];
	uint32_t priority;     /* 0 goes first */
	uint32_t attempts;     /* failed runs of a task until its job fails */
	int64_t stretch_milli; /* objective: thousandths of the chain ... */
	int64_t target_ms;     /* ... and this time beyond it */
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
	GH_RUN_GANG_INCOMPLETE, /* the rest of its gang did not come in time */
	GH_RUN_LOST,		/* it is gone and left no end */
	GH_RUN_NOT_STARTED,	/* never began */
	GH_RUN_OUTCOMES
} gh_run_outcome_t;

typedef enum gh_order_kind {
	GH_ORDER_START,
	GH_ORDER_STOP,
	GH_ORDER_PACE
} gh_order_kind_t;

/* One call to a worker.  Strings are the fleet's, valid until the next call. */
typedef struct gh_order {
	gh_order_kind_t kind;
	const char *worker;
	const char *address;
	gh_task_id_t task;
	uint32_t run;
	uint32_t pace_percent;	/* PACE */
	const char *payload;	/* START */
	const char *checkpoint; /* START; NULL: from the beginning */
	gh_time_t lease_until;	/* START */
} gh_order_t;

typedef enum gh_order_reply {
	GH_ORDER_OK,
	GH_ORDER_NO_CAPACITY,
	GH_ORDER_STALE_RUN,	/* that run or a later one ended there */
	GH_ORDER_LEASE_EXPIRED, /* its lease deadline had passed on arrival */
	GH_ORDER_FENCED,	/* a newer owner was there */
	GH_ORDER_REFUSED,	/* the worker is unwell and did nothing */
	GH_ORDER_INVALID,	/* the worker can't read it */
	GH_ORDER_OTHER_INCARNATION, /* the worker has restarted since */
	GH_ORDER_OUTCOME_UNKNOWN    /* no answer: it may still take effect */
} gh_order_reply_t;

typedef struct gh_report_run {
	gh_task_id_t task;
	uint32_t run;
	char checkpoint[GH_CHECKPOINT_NAME_MAX + 1];
	uint32_t progress_percent; /* of its work; 100: a lasting task is at
				      work */
	int64_t gauge; /* lasting: tail in ms; else cores in use, milli */
} gh_report_run_t;

typedef struct gh_report_end {
	uint64_t number; /* in this life of the worker */
	gh_task_id_t task;
	uint32_t run;
	gh_run_outcome_t outcome;
	char checkpoint[GH_CHECKPOINT_NAME_MAX + 1];
} gh_report_end_t;

/* A worker's list of what runs and what has ended. */
typedef struct gh_worker_report {
	gh_time_t requested_at;	      /* when it was asked for */
	int64_t incarnation_start_ms; /* of the life that answered; 0: not said
				       */
	bool complete;		      /* no further ends are left out */
	gh_report_run_t *runs;
	size_t n_runs;
	gh_report_end_t *ends;
	size_t n_ends;
} gh_worker_report_t;

/* The hold that a worker is due. */
typedef struct gh_worker_renewal {
	const char *worker;
	const char *address;
	uint64_t acked_through; /* ends up to this number are on record */
	int64_t max_wait_ms;
	gh_time_t lease_until; /* 0: the lease is not extended */
} gh_worker_renewal_t;

/* A job's record as it has to be committed. */
typedef struct gh_fleet_change {
	char id[GH_JOB_ID_MAX + 1];
	uint64_t version;
	char *progress; /* NULL: the job is over; its records are deleted */
	gh_job_phase_t phase;
	bool phase_changed; /* since the last commit */
} gh_fleet_change_t;

/* Told of each decision; for the log. */
typedef struct gh_fleet_sink {
	void (*on_event)(void *ctx, const char *what, const gh_task_id_t *task,
			 uint32_t run, const char *worker, const char *detail);
	void *ctx;
} gh_fleet_sink_t;

typedef struct gh_fleet_counts {
	uint64_t started, done, failed, stopped, lease_expired, lost,
		no_capacity;
	uint64_t copies, hangs, quarantines, paced, moved;
	uint32_t jobs, workers, open_runs, pending_tasks;
} gh_fleet_counts_t;

gh_fleet_t *gh_fleet_new(const gh_fleet_setup_t *setup,
			 const gh_fleet_sink_t *sink, gh_time_t now);
void gh_fleet_free(gh_fleet_t *fleet);

void gh_fleet_worker_set(gh_fleet_t *fleet, const gh_worker_entry_t *entry,
			 gh_time_t now);
void gh_fleet_worker_unlist(gh_fleet_t *fleet, const char *id);
/* Discovery was read whole: workers that it does not name are gone. */
void gh_fleet_workers_retain(gh_fleet_t *fleet, GHashTable *ids);
void gh_fleet_queue_set(gh_fleet_t *fleet, const gh_queue_policy_t *policy);

/*
 * Takes a job over with its record, NULL for one that was never touched.
 * A job that is already there is left as it is.  The pipeline is the
 * fleet's from then on.
 */
bool gh_fleet_job_add(gh_fleet_t *fleet, gh_pipeline_t *pipeline,
		      const char *progress, GError **err);
bool gh_fleet_job_known(const gh_fleet_t *fleet, const char *id);
void gh_fleet_job_cancel(gh_fleet_t *fleet, const char *id, gh_time_t now);

/* The worker's list arrived, or did not. */
void gh_fleet_handle_report(gh_fleet_t *fleet, const char *id,
			    const gh_worker_report_t *report, gh_time_t now);
void gh_fleet_handle_renewal_failure(gh_fleet_t *fleet, const char *id,
				     gh_order_reply_t why, gh_time_t now);

/* The answer to an order; the order's own strings need not be valid. */
void gh_fleet_handle_reply(gh_fleet_t *fleet, gh_order_kind_t kind,
			   const char *id, const gh_task_id_t *task,
			   uint32_t number, gh_order_reply_t answer,
			   gh_time_t now);

/* Decides what can be decided now; wall_ms is for jobs that are due. */
void gh_fleet_tick(gh_fleet_t *fleet, gh_time_t now, int64_t wall_ms);

/* Next worker that is due a hold; false when none is. */
bool gh_fleet_next_renewal(gh_fleet_t *fleet, gh_worker_renewal_t *hold,
			   gh_time_t now);

/* Next order to be sent; false when none is left. */
bool gh_fleet_next_order(gh_fleet_t *fleet, gh_order_t *order, gh_time_t now);

/* Next change to be committed; progress is the caller's to free. */
bool gh_fleet_next_change(gh_fleet_t *fleet, gh_fleet_change_t *change);
void gh_fleet_handle_commit(gh_fleet_t *fleet, const char *id,
			    uint64_t version);
/* The change was not committed and is due again. */
void gh_fleet_handle_commit_failure(gh_fleet_t *fleet, const char *id);

/* What was learned of images, for the next owner; the caller's to free. */
char *gh_fleet_interference_format(const gh_fleet_t *fleet);
/* Takes over what an owner before has learned; false if it can't be read. */
bool gh_fleet_interference_parse(gh_fleet_t *fleet, const char *text);

/* A worker has seen a newer owner: this one has to stop. */
bool gh_fleet_fenced(const gh_fleet_t *fleet);

bool gh_fleet_has_changes(const gh_fleet_t *fleet);
void gh_fleet_counts(const gh_fleet_t *fleet, gh_fleet_counts_t *counts);
const char *gh_job_phase_name(gh_job_phase_t phase);
/* Phase by name, or GH_JOB_PHASES. */
gh_job_phase_t gh_job_phase_by_name(const char *name);
const char *gh_run_outcome_name(gh_run_outcome_t how);

#endif
