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
/* max bytes of a task's command line */
#define GH_COMMAND_MAX 1024
/* max bytes of a checkpoint's name */
#define GH_CHECKPOINT_MAX 255
#define GH_JOB_TASKS_MAX 10000 /* max number of tasks of one job */
/* max bytes of a task's name "JOB.INDEX" */
#define GH_TASK_NAME_MAX (GH_NAME_MAX + 12)

/*
 * Handles of a task and of a job in the table, valid until gh_job_remove()
 * removes the job.
 */
typedef uint32_t gh_task_ref_t;
typedef uint32_t gh_job_ref_t;

typedef enum gh_task_state {
	GH_TASK_PENDING,
	GH_TASK_INTENT,	  /* intent recorded; start may have been sent */
	GH_TASK_RUNNING,  /* the worker has confirmed the start */
	GH_TASK_STOPPING, /* a stop of the attempt was requested */
	GH_TASK_BACKOFF,  /* waiting before the next attempt */
	GH_TASK_DONE,
	GH_TASK_FAILED,
	GH_TASK_CANCELLED,
	GH_TASK_STATE_COUNT
} gh_task_state_t;

/* How an attempt to run a task ended. */
typedef enum gh_task_end {
	GH_END_DONE,
	GH_END_FAILED,
	/* failed through the worker; not counted as the task's failure */
	GH_END_WORKER_FAULT,
	GH_END_EVICTED,	    /* stopped, with a checkpoint if one was saved */
	GH_END_LOST,	    /* worker unreachable or lease expired */
	GH_END_NOT_STARTED, /* start never sent, or refused by the worker */
	GH_END_CANCELLED,
	GH_END_COUNT
} gh_task_end_t;

/* Job as submitted: a number of tasks with the same command and size. */
typedef struct gh_job_spec {
	char name[GH_NAME_MAX + 1]; /* unique within its domain */
	char department[GH_NAME_MAX + 1];
	char domain[GH_NAME_MAX + 1]; /* failure domain; empty: this host's */
	char kind[GH_NAME_MAX + 1];   /* workload kind, for learned slowdowns */
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
	uint32_t index; /* index within the job, from 0 */
	gh_task_state_t state;
	uint32_t attempt; /* number of the last attempt; 0: none */
	/* number of attempts counted as failures of the task */
	uint32_t failures;
	/* worker of the open attempt; GH_HANDLE_NONE: no attempt is open */
	gh_handle_t worker;
	/* worker of the last ended attempt, or GH_HANDLE_NONE */
	gh_handle_t last_worker;
	/* wall clock; latest time at which the attempt may start */
	int64_t not_after_ms;
	/* boot clock; end of a backoff, 0 until it is set */
	gh_time_t retry_at;
	gh_time_t running_since; /* boot clock; when the start was confirmed */
	char *checkpoint;	 /* name of the last checkpoint, or NULL */
	/*
	 * no reply to a lease renewal by this owner has listed the attempt; a
	 * previous owner may still renew its lease
	 */
	bool unconfirmed;
	bool throttled;
	/* report_number of the last worker report that listed the task */
	uint32_t last_report;
	/*
	 * links in the job's list of pending tasks or the worker's list of open
	 * attempts
	 */
	gh_task_ref_t next, prev;
} gh_task_t;

typedef struct gh_job {
	gh_job_spec_t *spec; /* NULL: unused entry */
	uint64_t id;	     /* identifies the job in records; never reused */
	gh_handle_t department;
	uint16_t kind;
	bool cancelled;
	gh_task_ref_t first_task; /* task with index 0; the others follow it */
	/* the job's first pending task, or GH_TASK_NONE */
	gh_task_ref_t pending;
	uint32_t count[GH_TASK_STATE_COUNT];
	uint32_t succeeded; /* number of attempts that ended with GH_END_DONE */
	/* links in the queue of the job's department and rank */
	gh_job_ref_t next, prev;
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

/*
 * Callbacks of the task table that map names to handles and update totals kept
 * outside the table.
 */
typedef struct gh_task_callbacks {
	gh_handle_t (*worker)(void *ctx, const char *name);
	const char *(*worker_name)(void *ctx, gh_handle_t worker);
	gh_handle_t (*department)(void *ctx, const char *name);
	uint16_t (*kind)(void *ctx, const char *name);
	/*
	 * Adds a task's size to the resources in use on the worker and by the
	 * department, or subtracts it from them.
	 */
	void (*count_resources)(void *ctx, gh_handle_t worker,
				gh_handle_t department,
				const gh_resources_t *size, bool add);
	/*
	 * Adds n to the number of unfinished jobs of the department: 1 for a
	 * new job, -1 for one that has finished.
	 */
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
 * Records a new owner of the shard.  Until orphans_until_ms by the wall clock,
 * leases that previous owners renewed may be valid on workers that the new
 * owner can't reach.
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
/*
 * Lowers the task's failure count by one, if it is not 0, for a failed attempt
 * that turned out to be the worker's fault.
 */
void gh_task_uncount_failure(gh_task_table_t *table, GString *log,
			     gh_task_ref_t task);
/* Marks a task in backoff as failed, so that it gets no further attempt. */
void gh_task_mark_failed(gh_task_table_t *table, GString *log,
			 gh_task_ref_t task);
void gh_job_cancel(gh_task_table_t *table, GString *log, gh_job_ref_t job);
void gh_job_remove(gh_task_table_t *table, GString *log, gh_job_ref_t job);

/*
 * Changes that need no log record: a new owner of the shard asks the workers
 * for the state of each attempt.
 */
void gh_task_set_running(gh_task_table_t *table, gh_task_ref_t task,
			 gh_time_t now);
void gh_task_set_stopping(gh_task_table_t *table, gh_task_ref_t task);
void gh_task_set_backoff(gh_task_table_t *table, gh_task_ref_t task,
			 gh_time_t until);
void gh_task_end_backoff(gh_task_table_t *table, gh_task_ref_t task);

/*
 * Applies one line of a log or a snapshot of the task table; fails with
 * GH_E_SYNTAX if the line is not a valid record.
 */
bool gh_task_replay(gh_task_table_t *table, const char *line, GError **err);

/*
 * Returns the task table as lines for gh_task_replay(), to be freed by
 * g_free().
 */
char *gh_task_snapshot(const gh_task_table_t *table);

gh_task_t *gh_task_at(gh_task_table_t *table, gh_task_ref_t task);
gh_job_t *gh_job_at(gh_task_table_t *table, gh_job_ref_t job);
gh_job_ref_t gh_job_find(const gh_task_table_t *table, const char *name);
/*
 * Finds a task by its name on the wire, "JOB.INDEX"; GH_TASK_NONE if there is
 * none.
 */
gh_task_ref_t gh_task_find(gh_task_table_t *table, const char *name);
void gh_task_name(gh_task_table_t *table, gh_task_ref_t task,
		  char name[GH_TASK_NAME_MAX + 1]);
gh_resources_t gh_job_size(const gh_job_t *job);
gh_rank_t gh_job_rank(const gh_job_t *job);
bool gh_job_finished(const gh_job_t *job);
bool gh_job_spec_equal(const gh_job_spec_t *a, const gh_job_spec_t *b);

/* Whether the task has an attempt that may be running on its worker. */
bool gh_task_has_open_attempt(const gh_task_t *task);

/*
 * First job with pending tasks in the queue of a department and rank, or
 * GH_JOB_NONE; gh_job_t.next leads to the other jobs.
 */
gh_job_ref_t gh_job_queue_head(const gh_task_table_t *table,
			       gh_handle_t department, gh_rank_t rank);
/*
 * First task with an open attempt on the worker, or GH_TASK_NONE;
 * gh_task_t.next leads to the other tasks.
 */
gh_task_ref_t gh_task_first_on_worker(const gh_task_table_t *table,
				      gh_handle_t worker);
/* Task whose backoff ends first, or GH_TASK_NONE. */
gh_task_ref_t gh_task_next_backoff(gh_task_table_t *table);
/*
 * The job that finished first, if there are more than keep finished jobs; else
 * GH_JOB_NONE.
 */
gh_job_ref_t gh_job_oldest_finished(const gh_task_table_t *table, size_t keep);

uint32_t gh_task_count(const gh_task_table_t *table, gh_task_state_t state);
uint32_t gh_job_count_unfinished(const gh_task_table_t *table);
uint64_t gh_task_epoch(const gh_task_table_t *table);
int64_t gh_task_orphans_until(const gh_task_table_t *table);
const char *gh_task_state_name(gh_task_state_t state);

#endif
