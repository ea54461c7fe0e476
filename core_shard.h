/*
 * Scheduling core of one worker shard, run by the shard's owner: takes
 * submissions, worker reports and time, and returns log records to commit and
 * calls to make to workers.
 *
 * It does no I/O.  Records are collected until they are taken for a commit.
 * An action that depends on a record is given out only after the commit of
 * that record is confirmed, so that a crash never leaves a started task that
 * the log does not know.
 */
#ifndef CORE_SHARD_H
#define CORE_SHARD_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#include "core_quota.h"
#include "core_task.h"
#include "core_worker.h"

typedef struct gh_shard gh_shard_t;

typedef enum gh_action_kind {
	GH_ACTION_START,
	GH_ACTION_STOP,
	/* the worker must refuse a start of the attempt that arrives later */
	GH_ACTION_BAR,
	GH_ACTION_THROTTLE,
	GH_ACTION_FORGET, /* the worker may drop the ended attempt */
	GH_ACTION_COUNT
} gh_action_kind_t;

/*
 * A call to make to a worker.  A member whose comment starts with a kind
 * (START:) is set for that kind only.
 */
typedef struct gh_action {
	gh_action_kind_t kind;
	char worker[GH_NAME_MAX + 1];
	char task[GH_TASK_NAME_MAX + 1];
	uint32_t attempt;
	uint64_t epoch;
	/* START: latest time to send the start; wall clock */
	int64_t not_after_ms;
	bool save_checkpoint; /* STOP: write a checkpoint first */
	/*
	 * THROTTLE: percentage of its processor time that the task may use;
	 * 100: no limit
	 */
	uint32_t cpu_percent;
	gh_job_spec_t *spec;	 /* START: job of the task */
	char *resume_checkpoint; /* START: checkpoint to resume from, or NULL */
} gh_action_t;

/* Outcome of a call to a worker. */
typedef enum gh_reply {
	GH_REPLY_OK,
	GH_REPLY_RUNNING,     /* BAR: the attempt is running */
	GH_REPLY_REFUSED,     /* START: the attempt will not run */
	GH_REPLY_NO_CAPACITY, /* START: refused for lack of capacity */
	GH_REPLY_NOT_SENT,    /* nothing was sent to the worker */
	GH_REPLY_UNKNOWN,   /* no complete reply; call may have taken effect */
	GH_REPLY_NOT_FOUND, /* the worker does not know the attempt */
	GH_REPLY_FENCED	    /* the worker has seen a higher epoch */
} gh_reply_t;

/* State of an attempt as its worker reports it. */
typedef enum gh_report_state {
	GH_REPORT_RUNNING,
	GH_REPORT_DONE,
	GH_REPORT_FAILED,
	GH_REPORT_STOPPED,
	GH_REPORT_EXPIRED /* stopped by the worker when its lease expired */
} gh_report_state_t;

/* An attempt in a worker's report. */
typedef struct gh_report_task {
	char task[GH_TASK_NAME_MAX + 1];
	uint32_t attempt;
	gh_report_state_t state;
	char checkpoint[GH_CHECKPOINT_MAX + 1];
	/* usage below is valid; measured at gh_report.usage_at_ms */
	bool measured;
	uint32_t cores_milli;
	uint32_t memory_mb;
	uint32_t tail_ms; /* tail latency; 0: not measured */
} gh_report_task_t;

/* Reply of a worker to a lease renewal or a list call. */
typedef struct gh_report {
	/* boot clock; time just before the call to the worker was sent */
	gh_time_t sent_at;
	/* the call renewed leases with the owner's epoch; false: list call */
	bool renewed;
	/* wall clock; when the tasks' usage was measured */
	int64_t usage_at_ms;
	gh_report_task_t *tasks;
	size_t n_tasks;
} gh_report_t;

/*
 * Something that happened to an attempt or a worker, for the log.  Its texts
 * are valid during the call.
 */
typedef struct gh_shard_event {
	const char *name;
	const char *task;   /* NULL: the event is about a worker */
	const char *worker; /* NULL: not known */
	uint32_t attempt;
	const char *why;
	/* number of the commit that holds the event's record; 0: none */
	uint64_t commit;
} gh_shard_event_t;

typedef void (*gh_shard_event_fn_t)(void *ctx, const gh_shard_event_t *event);

typedef struct gh_shard_setup {
	const char *owner; /* name of this host, the shard's owner */
	const char *domain;
	uint32_t index;
	uint64_t seed; /* seed of the shard's random choices */
	/* called for each event, must not wait; NULL: none */
	gh_shard_event_fn_t on_event;
	void *event_ctx;
} gh_shard_setup_t;

/*
 * Numbers of events since gh_shard_take_counts() last returned them.  Members
 * that name no other object count attempts.  An attempt is lost when its leases
 * have expired or its worker no longer has it.
 */
typedef struct gh_shard_counts {
	uint64_t started, refused, evicted, throttled, resumed, lost, retried;
	uint64_t jobs_done, jobs_failed, jobs_cancelled, workers_ejected;
} gh_shard_counts_t;

gh_shard_t *gh_shard_new(const gh_shard_setup_t *setup);
void gh_shard_free(gh_shard_t *shard);

/* Applies the workers, departments and policy of a document. */
void gh_shard_configure(gh_shard_t *shard, const gh_document_t *doc,
			const gh_now_t *now);

/*
 * Applies one line of a log or a snapshot, before gh_shard_begin() only.
 * Fails on a line that is not a valid record.
 */
bool gh_shard_replay(gh_shard_t *shard, const char *line, GError **err);

/*
 * Starts ownership of the shard at an epoch.  The state of each open attempt is
 * requested from its worker.  A previous owner may still renew the leases of
 * attempts until orphans_until_ms (wall clock); attempts on an unreachable
 * worker count as ended only after that time.
 */
void gh_shard_begin(gh_shard_t *shard, uint64_t epoch, int64_t orphans_until_ms,
		    const gh_now_t *now);

/*
 * Lowers orphans_until_ms, the deadline passed to gh_shard_begin(), once it is
 * certain that the shard's previous owners have stopped.
 */
void gh_shard_shorten_orphan_wait(gh_shard_t *shard, int64_t until_ms);

/*
 * Submits or cancels a job.  The caller may report success once the commit
 * numbered *commit is confirmed.  Submitting the same job again succeeds.
 * Errors: GH_E_JOB_EXISTS, GH_E_REFERENCE, GH_E_JOB_TABLE_FULL, GH_E_QUOTA,
 * GH_E_JOB_INFEASIBLE; GH_E_JOB_UNKNOWN from cancel.
 */
bool gh_shard_submit(gh_shard_t *shard, const gh_job_spec_t *spec,
		     uint64_t *commit, GError **err);
bool gh_shard_cancel(gh_shard_t *shard, const char *job, uint64_t *commit,
		     GError **err);

/*
 * Notes the deadline (wall clock) of the leases that a lease renewal or a start
 * grants to the worker's tasks.  To be called before the renewal or start is
 * sent.
 */
void gh_shard_extend_lease(gh_shard_t *shard, const char *worker,
			   int64_t lease_ms);

/*
 * Whether the next poll of the worker should renew the leases of its attempts;
 * false: it should only list the attempts.
 */
bool gh_shard_should_renew(gh_shard_t *shard, const char *worker);

/*
 * Process a worker's report, or a lease renewal or list call to the worker that
 * failed.  sent_at (boot clock) is the time just before the call was sent.
 */
void gh_shard_handle_report(gh_shard_t *shard, const char *worker,
			    const gh_report_t *report, const gh_now_t *now);
void gh_shard_handle_poll_failure(gh_shard_t *shard, const char *worker,
				  gh_time_t sent_at, const gh_now_t *now);

/*
 * Boot-clock time of the next poll of the worker.  This is worker_poll_ms from
 * now while a task starts, stops or is overdue on the worker, a service on it
 * is slowed down or the worker is unreachable.  Otherwise it is later, but no
 * later than the next declared end of a task on the worker.
 */
gh_time_t gh_shard_next_poll_time(const gh_shard_t *shard, const char *worker,
				  gh_time_t now);

/*
 * Processes the outcome of an action.  checkpoint is the name of the checkpoint
 * that a STOP saved, or NULL.
 */
void gh_shard_handle_reply(gh_shard_t *shard, const gh_action_t *action,
			   gh_reply_t reply, const char *checkpoint,
			   const gh_now_t *now);

/*
 * Periodic work on a shard: ends backoffs, places pending tasks, and evicts
 * batch tasks of departments that borrow capacity, for jobs that are entitled
 * to this capacity.  No task is placed when may_start is false.
 * starts_until_ms (wall clock) is the upper limit of not_after_ms of new
 * starts.
 */
void gh_shard_tick(gh_shard_t *shard, bool may_start, int64_t starts_until_ms,
		   const gh_now_t *now);

/*
 * Returns the log records made since the last call, or NULL if there are none,
 * and sets *commit to the number of the commit they belong to.
 */
char *gh_shard_take_records(gh_shard_t *shard, uint64_t *commit);
/*
 * Whether there are log records to commit.  Sets *urgent to whether a caller or
 * the start of an urgent job waits for their commit.
 */
bool gh_shard_has_records(const gh_shard_t *shard, bool *urgent);

/*
 * Notes that the log records of all commits up to this number are in the store.
 */
void gh_shard_confirm_commit(gh_shard_t *shard, uint64_t commit);

/*
 * Takes the next call to a worker whose log records are committed; returns
 * false if there is none.  The caller releases the action by gh_action_clear().
 */
bool gh_shard_next_action(gh_shard_t *shard, gh_action_t *action);
void gh_action_clear(gh_action_t *action);

/*
 * Returns the shard's whole table of jobs and tasks as lines for
 * gh_shard_replay().
 */
char *gh_shard_snapshot(const gh_shard_t *shard);

/*
 * Return parts of the shard, for reading only, which are valid until
 * gh_shard_free().
 */
gh_task_table_t *gh_shard_tasks(gh_shard_t *shard);
const gh_place_t *gh_shard_place(const gh_shard_t *shard);
const gh_quota_t *gh_shard_quota(const gh_shard_t *shard);
const gh_worker_health_t *gh_shard_worker_health(const gh_shard_t *shard,
						 gh_handle_t worker);

/* Returns the shard's event counts and resets them to zero. */
gh_shard_counts_t gh_shard_take_counts(gh_shard_t *shard);

#endif
