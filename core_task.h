/*
 * Table of the jobs and tasks of one shard, kept by a log of records.
 *
 * A record is a line of text.  The same code applies it when the change is
 * made and when the log is replayed, so that a new owner of the shard
 * rebuilds the same table.
 *
 * An attempt begins with an intent record and ends with exactly one end
 * record.  The next attempt of the task can begin only after that.
 */
#ifndef CORE_TASK_H
#define CORE_TASK_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#include "core_lease.h"
#include "core_place.h"

#define GH_TASK_NONE UINT32_MAX
#define GH_JOB_NONE UINT32_MAX
#define GH_COMMAND_MAX 1024		    /* bytes of a task's command line */
#define GH_CHECKPOINT_MAX 255		    /* bytes of a checkpoint's name */
#define GH_JOB_TASKS_MAX 10000		    /* tasks of one job */
#define GH_TASK_NAME_MAX (GH_NAME_MAX + 12) /* "JOB.INDEX" */

/* Handles of a task and a job, valid until gh_job_remove(). */
typedef uint32_t gh_task_ref_t;
typedef uint32_t gh_job_ref_t;

typedef enum gh_task_state {
	GH_TASK_PENDING,
	GH_TASK_INTENT,	  /* recorded; the start may have been sent */
	GH_TASK_RUNNING,  /* confirmed by the worker */
	GH_TASK_STOPPING, /* a stop was requested */
	GH_TASK_BACKOFF,  /* waiting before the next attempt */
	GH_TASK_DONE,
	GH_TASK_FAILED,
	GH_TASK_CANCELLED,
	GH_TASK_STATE_COUNT
} gh_task_state_t;

/* How an attempt ended. */
typedef enum gh_task_end {
	GH_END_DONE,
	GH_END_FAILED,
	GH_END_WORKER_FAULT, /* failed, but not counted against the task */
	GH_END_EVICTED,	     /* stopped, with a checkpoint if one was saved */
	GH_END_LOST,	     /* worker unreachable or lease expired */
	GH_END_NOT_STARTED,  /* start never sent, or refused by the worker */
	GH_END_CANCELLED,
	GH_END_COUNT
} gh_task_end_t;

/* Job as submitted: a number of tasks with the same command and size. */
typedef struct gh_job_spec {
	char name[GH_NAME_MAX + 1]; /* unique within its domain */
	char department[GH_NAME_MAX + 1];
	char domain[GH_NAME_MAX + 1]; /* empty: that of this host */
	char kind[GH_NAME_MAX + 1];   /* workload kind, for interference */
	gh_class_t class;
	bool urgent;
	uint32_t tasks;
	uint32_t cores_milli;
	uint32_t memory_mb;
	uint32_t accelerators;
	int64_t run_ms; /* declared run time; 0 for a service */
	char command[GH_COMMAND_MAX + 1];
} gh_job_spec_t;

typedef struct gh_task {
	gh_job_ref_t job;
	uint32_t index; /* within the job */
	gh_task_state_t state;
	uint32_t attempt;	 /* number of the last one; 0: none yet */
	uint32_t failures;	 /* attempts counted as failures of the task */
	gh_handle_t worker;	 /* of the open attempt */
	gh_handle_t last_worker; /* of the last attempt that ended */
	int64_t not_after_ms;	 /* wall clock; latest start of the attempt */
	gh_time_t retry_at;	 /* boot clock; end of a backoff */
	gh_time_t running_since; /* boot clock; when the start was confirmed */
	char *checkpoint;	 /* name of the last one, or NULL */
	bool unconfirmed;	 /* lease renewed by previous owners only */
	bool throttled;
	uint32_t last_report;	  /* number of the last report that listed it */
	gh_task_ref_t next, prev; /* in the list of its job or its worker */
} gh_task_t;

typedef struct gh_job {
	gh_job_spec_t *spec; /* NULL: unused entry */
	uint64_t id;	     /* identifies the job in records; never reused */
	gh_handle_t department;
	uint16_t kind;
	bool cancelled;
	gh_task_ref_t first_task; /* task with index 0; the others follow it */
	gh_task_ref_t pending;	  /* head of the list of pending tasks */
	uint32_t count[GH_TASK_STATE_COUNT];
	uint32_t succeeded;	 /* attempts that ended with GH_END_DONE */
	gh_job_ref_t next, prev; /* in the queue of its department and rank */
	bool queued;
} gh_job_t;

typedef struct gh_task_table gh_task_table_t;

/* Scheduling priority within a department, highest first. */
typedef enum gh_rank {
	GH_RANK_URGENT,
	GH_RANK_LATENCY,
	GH_RANK_BATCH,
	GH_RANK_COUNT
} gh_rank_t;

/* Callbacks that map names to handles and keep totals up to date. */
typedef struct gh_task_callbacks {
	gh_handle_t (*worker)(void *ctx, const char *name);
	const char *(*worker_name)(void *ctx, gh_handle_t worker);
	gh_handle_t (*department)(void *ctx, const char *name);
	uint16_t (*kind)(void *ctx, const char *name);
	/* Adds the size of a task to the resources in use or subtracts it. */
	void (*count_resources)(void *ctx, gh_handle_t worker,
				gh_handle_t department,
				const gh_resources_t *size, bool add);
	/* Counts a job that is new (n is 1) or has finished (n is -1). */
	void (*count_unfinished_job)(void *ctx, gh_handle_t department, int n);
	void *ctx;
} gh_task_callbacks_t;

gh_task_table_t *gh_task_table_new(const gh_task_callbacks_t *callbacks);
void gh_task_table_free(gh_task_table_t *table);

/*
 * Functions that take a log apply a change to the table and append its record
 * to the log.  The caller commits the log before it acts on the change.
 */

/*
 * Records a new owner.  Until orphans_until_ms by the wall clock, previous
 * owners may have kept leases alive on workers that this one can't reach.
 */
void gh_task_set_owner(gh_task_table_t *table, GString *log, uint64_t epoch,
		       const char *owner, int64_t orphans_until_ms);
gh_job_ref_t gh_job_submit(gh_task_table_t *table, GString *log,
			   const gh_job_spec_t *spec);
void gh_task_begin_attempt(gh_task_table_t *table, GString *log,
			   gh_task_ref_t task, gh_handle_t worker,
			   int64_t not_after_ms);
void gh_task_end_attempt(gh_task_table_t *table, GString *log,
			 gh_task_ref_t task, gh_task_end_t end,
			 const char *checkpoint);
/* Subtracts a failure that turned out to be the worker's fault, if any. */
void gh_task_uncount_failure(gh_task_table_t *table, GString *log,
			     gh_task_ref_t task);
/* Fails a task that is in backoff instead of another attempt. */
void gh_task_mark_failed(gh_task_table_t *table, GString *log,
			 gh_task_ref_t task);
void gh_job_cancel(gh_task_table_t *table, GString *log, gh_job_ref_t job);
void gh_job_remove(gh_task_table_t *table, GString *log, gh_job_ref_t job);

/* Changes that need no record: a new owner asks the workers for the state. */
void gh_task_set_running(gh_task_table_t *table, gh_task_ref_t task,
			 gh_time_t now);
void gh_task_set_stopping(gh_task_table_t *table, gh_task_ref_t task);
void gh_task_set_backoff(gh_task_table_t *table, gh_task_ref_t task,
			 gh_time_t until);
void gh_task_end_backoff(gh_task_table_t *table, gh_task_ref_t task);

/* Applies one line of a log or a snapshot; fails with GH_E_SYNTAX. */
bool gh_task_replay(gh_task_table_t *table, const char *line, GError **err);

/* Returns the table as lines for gh_task_replay(), to be freed by g_free(). */
char *gh_task_snapshot(const gh_task_table_t *table);

gh_task_t *gh_task_at(gh_task_table_t *table, gh_task_ref_t task);
gh_job_t *gh_job_at(gh_task_table_t *table, gh_job_ref_t job);
gh_job_ref_t gh_job_find(const gh_task_table_t *table, const char *name);
/* Task by its wire name "JOB.INDEX", or GH_TASK_NONE. */
gh_task_ref_t gh_task_find(gh_task_table_t *table, const char *name);
void gh_task_name(gh_task_table_t *table, gh_task_ref_t task,
		  char name[GH_TASK_NAME_MAX + 1]);
gh_resources_t gh_job_size(const gh_job_t *job);
gh_rank_t gh_job_rank(const gh_job_t *job);
bool gh_job_finished(const gh_job_t *job);
bool gh_job_spec_equal(const gh_job_spec_t *a, const gh_job_spec_t *b);

/* Whether the task has an attempt that may be running on its worker. */
bool gh_task_has_open_attempt(const gh_task_t *task);

/* First job with pending tasks or GH_JOB_NONE; the others follow by next. */
gh_job_ref_t gh_job_queue_head(const gh_task_table_t *table,
			       gh_handle_t department, gh_rank_t rank);
/* First task with an open attempt on the worker; the others follow by next. */
gh_task_ref_t gh_task_first_on_worker(const gh_task_table_t *table,
				      gh_handle_t worker);
/* Task whose backoff ends first, or GH_TASK_NONE. */
gh_task_ref_t gh_task_next_backoff(gh_task_table_t *table);
/* Oldest finished job if there are more than keep, else GH_JOB_NONE. */
gh_job_ref_t gh_job_oldest_finished(const gh_task_table_t *table, size_t keep);

uint32_t gh_task_count(const gh_task_table_t *table, gh_task_state_t state);
uint32_t gh_job_count_unfinished(const gh_task_table_t *table);
uint64_t gh_task_epoch(const gh_task_table_t *table);
int64_t gh_task_orphans_until(const gh_task_table_t *table);
const char *gh_task_state_name(gh_task_state_t state);

#endif
