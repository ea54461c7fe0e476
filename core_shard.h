/*
 * Decisions of the owner of one worker shard: events in, records and
 * actions out.
 *
 * Records collect until they are taken for a commit.  An action that rests
 * on a record is given out only after that record's commit was confirmed.
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
	GH_ACTION_BAR, /* refuse a late start of the attempt */
	GH_ACTION_THROTTLE,
	GH_ACTION_FORGET, /* the end of the attempt is recorded */
	GH_ACTION_COUNT
} gh_action_kind_t;

/* One call to a worker. */
typedef struct gh_action {
	gh_action_kind_t kind;
	char worker[GH_NAME_MAX + 1];
	char task[GH_TASK_NAME_MAX + 1];
	uint32_t attempt;
	uint64_t epoch;
	int64_t not_after_ms; /* START: not sent after this, wall clock */
	bool save_checkpoint; /* STOP: write a checkpoint */
	uint32_t cpu_percent; /* THROTTLE */
	/* START */
	gh_job_spec_t *spec;
	char *resume_checkpoint; /* checkpoint to go on from, or NULL */
} gh_action_t;

typedef enum gh_reply {
	GH_REPLY_OK,
	GH_REPLY_RUNNING,     /* BAR: the attempt runs */
	GH_REPLY_REFUSED,     /* START: it will not run */
	GH_REPLY_NO_CAPACITY, /* START: refused, the worker is full */
	GH_REPLY_NOT_SENT,    /* nothing was written to the worker */
	GH_REPLY_UNKNOWN,     /* no whole answer */
	GH_REPLY_NOT_FOUND,   /* the worker doesn't know the attempt */
	GH_REPLY_FENCED	      /* the worker saw a higher epoch */
} gh_reply_t;

typedef enum gh_report_state {
	GH_REPORT_RUNNING,
	GH_REPORT_DONE,
	GH_REPORT_FAILED,
	GH_REPORT_STOPPED,
	GH_REPORT_EXPIRED
} gh_report_state_t;

typedef struct gh_report_task {
	char task[GH_TASK_NAME_MAX + 1];
	uint32_t attempt;
	gh_report_state_t state;
	char checkpoint[GH_CHECKPOINT_MAX + 1];
	/* Usage; as of the report's usage_ms. */
	bool measured;
	uint32_t cores_milli;
	uint32_t memory_mb;
	uint32_t tail_ms;
} gh_report_task_t;

/* A worker's answer to renew or list. */
typedef struct gh_report {
	gh_time_t sent_at; /* boot clock; when the call was made */
	bool renewed;	   /* the call carried the epoch */
	int64_t usage_at_ms;
	gh_report_task_t *tasks;
	size_t n_tasks;
} gh_report_t;

typedef struct gh_shard_setup {
	const char *owner; /* this host's name */
	const char *domain;
	uint32_t index;
	uint64_t seed;
} gh_shard_setup_t;

/* What happened since the counts were last taken. */
typedef struct gh_shard_counts {
	uint64_t started, refused, evicted, throttled, resumed, lost, retried;
	uint64_t jobs_done, jobs_failed, jobs_cancelled, workers_ejected;
} gh_shard_counts_t;

gh_shard_t *gh_shard_new(const gh_shard_setup_t *setup);
void gh_shard_free(gh_shard_t *shard);

/* Takes workers, departments and policy from a document. */
void gh_shard_configure(gh_shard_t *shard, const gh_document_t *doc,
			const gh_now_t *now);

/* Reads one line back; before gh_shard_begin() only. */
bool gh_shard_replay(gh_shard_t *shard, const char *line, GError **err);

/*
 * Begins to own the shard.  Attempts that are open are resolved with their
 * workers; where a worker does not answer, they are taken for ended only
 * once orphans_until_ms has passed.
 */
void gh_shard_begin(gh_shard_t *shard, uint64_t epoch, int64_t orphans_until_ms,
		    const gh_now_t *now);

/* The earlier owners have surely stopped: the wait may end earlier. */
void gh_shard_shorten_orphan_wait(gh_shard_t *shard, int64_t until_ms);

/*
 * Submits or cancels.  The answer may be given out when the commit numbered
 * *commit is confirmed.
 */
bool gh_shard_submit(gh_shard_t *shard, const gh_job_spec_t *spec,
		     uint64_t *commit, GError **err);
bool gh_shard_cancel(gh_shard_t *shard, const char *job, uint64_t *commit,
		     GError **err);

/* Before each renewal that is sent: the lease deadline it grants. */
void gh_shard_extend_lease(gh_shard_t *shard, const char *worker,
			   int64_t lease_ms);

/* Whether the next call to the worker should renew; else it should list. */
bool gh_shard_should_renew(gh_shard_t *shard, const char *worker);

void gh_shard_handle_report(gh_shard_t *shard, const char *worker,
			    const gh_report_t *report, const gh_now_t *now);
void gh_shard_handle_poll_failure(gh_shard_t *shard, const char *worker,
				  const gh_now_t *now);

/*
 * When the worker is called next: after worker_poll_ms while something is
 * under way there, later when nothing changes, and when a task should end.
 */
gh_time_t gh_shard_next_poll_time(const gh_shard_t *shard, const char *worker,
				  gh_time_t now);

/* The outcome of an action. */
void gh_shard_handle_reply(gh_shard_t *shard, const gh_action_t *action,
			   gh_reply_t answer, const char *checkpoint,
			   const gh_now_t *now);

/*
 * Lets time pass: wakes tasks, starts what fits, takes back what is lent.
 * Nothing new is started when may_start is false, or after starts_until_ms.
 */
void gh_shard_tick(gh_shard_t *shard, bool may_start, int64_t starts_until_ms,
		   const gh_now_t *now);

/* The records since the last call, or NULL; numbered for the commit. */
char *gh_shard_take_records(gh_shard_t *shard, uint64_t *commit);
bool gh_shard_has_records(const gh_shard_t *shard, bool *hurry);
void gh_shard_confirm_commit(gh_shard_t *shard, uint64_t commit);

/* The next call to make; false when there is none. */
bool gh_shard_next_action(gh_shard_t *shard, gh_action_t *action);
void gh_action_clear(gh_action_t *action);

char *gh_shard_snapshot(const gh_shard_t *shard);

/* For reading only. */
gh_task_table_t *gh_shard_tasks(gh_shard_t *shard);
const gh_place_t *gh_shard_place(const gh_shard_t *shard);
const gh_quota_t *gh_shard_quota(const gh_shard_t *shard);
const gh_worker_health_t *gh_shard_worker_health(const gh_shard_t *shard,
						 gh_handle_t worker);
gh_shard_counts_t gh_shard_take_counts(gh_shard_t *shard);

#endif
