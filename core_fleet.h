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

#include "core_balance.h"
#include "core_pipeline.h"
#include "core_time.h"

#define GH_WORKER_ID_MAX 63
#define GH_WORKER_LABELS_MAX 8
#define GH_DOMAIN_MAX 63	   /* max bytes of a failure domain's name */
#define GH_CHECKPOINT_NAME_MAX 255 /* max bytes of a checkpoint name */

/*
 * Calls to a worker carry the owner's epoch plus a fence offset, which is
 * raised for each life of a worker.  The epochs of two owners are this far
 * apart, so that any call of the later one has the higher sum.
 */
#define GH_FLEET_EPOCH_STEP (UINT64_C(1) << 20)

typedef struct gh_fleet gh_fleet_t;

typedef struct gh_fleet_setup {
	/* Length of the lease that each renewal and start order grants. */
	int64_t lease_ms;
	/* Longest lease that a worker accepts. */
	int64_t lease_max_ms;
	/* No owner has called a worker before this one. */
	bool first_owner;
	/*
	 * No previous owner grants or extends a lease after this time, where a
	 * lease that is longer than an ordinary one counts as granted later.
	 */
	gh_time_t previous_grants_end;
	/* The part of it that the previous owner told of; 0: none. */
	gh_time_t told_grants_end;
	/*
	 * List that gh_fleet_unheard_find() has found, NULL: none, and when the
	 * claim that it names was heard of, or a part of it and a later time.
	 * Used by gh_fleet_new() only.
	 */
	const char *previous_unheard;
	gh_time_t previous_unheard_from;
	/* This owner's claim: its revision, and a time before it. */
	uint64_t claim_revision;
	gh_time_t claimed_at;
	int64_t stop_ms; /* max time that a worker takes to stop a task */
	/*
	 * Max time from the operator's request to empty a failure domain to the
	 * last start there; 0: there are no such requests.
	 */
	int64_t empty_ms;
	/* This shard, and the number of all; below 2 no task ever moves. */
	uint32_t shard, shards;
	/*
	 * Tasks that are resident, with state in memory, before further ones,
	 * whose turn has come, wait for it; 0: no limit.
	 */
	uint32_t tasks_max;
} gh_fleet_setup_t;

/* Identifies a task: its job, occurrence, step and index within the step. */
typedef struct gh_task_id {
	char job[GH_JOB_ID_MAX + 1];
	uint32_t occurrence;
	uint32_t step;
	uint32_t index;
} gh_task_id_t;

/* A task that leaves one shard for another; see core_fleet_move.c. */
typedef struct gh_task_move {
	gh_task_id_t task;
	uint32_t from, to; /* shards */
	/* Highest run number used; at least 1, also if no run was started. */
	uint32_t last_run;
	/* Number of times that the task has moved, with this one. */
	uint32_t moves;
	char checkpoint[GH_CHECKPOINT_NAME_MAX + 1]; /* empty: none */
} gh_task_move_t;

/* A worker as service discovery lists it. */
typedef struct gh_worker_entry {
	char id[GH_WORKER_ID_MAX + 1];
	char service[GH_QUEUE_MAX + 1];
	char address[GH_ADDRESS_MAX + 1];
	/*
	 * labels[0] is the worker's kind; the last label after it is its rack.
	 */
	char labels[GH_WORKER_LABELS_MAX][GH_LABEL_MAX + 1];
	uint32_t n_labels;
	gh_resources_t size;
	/*
	 * Start of the worker process, wall clock; tells incarnations with the
	 * same id apart.
	 */
	int64_t incarnation_start_ms;
	bool draining;
	char domain[GH_DOMAIN_MAX + 1]; /* failure domain; empty: not told */
	int64_t cold_ms;		/* how much longer the worker is slow */
} gh_worker_entry_t;

/*
 * A queue's configuration.  A job's objective is its critical path by expected
 * run times (core_run_time.h) times stretch_milli / 1000, plus target_ms.
 */
typedef struct gh_queue_policy {
	char name[GH_QUEUE_MAX + 1];
	uint32_t priority; /* 0 is the highest */
	/* A job fails once one of its tasks has had this many failed runs. */
	uint32_t attempts;
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
	GH_RUN_GANG_BROKEN, /* a run of another task of the gang ended */
	/* runs of other tasks of the gang did not start in time */
	GH_RUN_GANG_INCOMPLETE,
	GH_RUN_LOST, /* the run is not alive and its end was not reported */
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
 * valid until the next call of a gh_fleet function.
 */
typedef struct gh_order {
	gh_order_kind_t kind;
	const char *worker;
	const char *address;
	/* start of the worker's present incarnation; 0: unknown */
	int64_t incarnation_start_ms;
	/*
	 * Added to the owner's epoch: tells the worker's lives apart, as a life
	 * that has had a call with a higher sum does not execute the order.
	 */
	uint32_t fence_offset;
	gh_task_id_t task;
	uint32_t run; /* number of the run within its task */
	/* For PACE: percentage of its declared cores that the task may use. */
	uint32_t pace_percent;
	const char *payload; /* for START: job's payload, passed to the task */
	/* For START: checkpoint to resume; NULL: from the beginning. */
	const char *checkpoint;
	gh_time_t lease_until; /* for START: deadline of the worker's lease */
	/* In a reply: start of the life that replied; 0: not known. */
	int64_t replied_start_ms;
} gh_order_t;

/* Result of an order or a lease renewal sent to a worker. */
typedef enum gh_order_reply {
	GH_ORDER_OK,
	GH_ORDER_NO_CAPACITY,
	/* The run or a later run of the task has ended on the worker. */
	GH_ORDER_STALE_RUN,
	/* the order's lease deadline had passed when the order arrived */
	GH_ORDER_LEASE_EXPIRED,
	/* the worker has had a call with a higher sum of epoch and offset */
	GH_ORDER_FENCED,
	GH_ORDER_REFUSED, /* the worker refused the order as it is unhealthy */
	/* No connection to the life that the order names; it was not sent. */
	GH_ORDER_UNSENT,
	GH_ORDER_INVALID, /* the worker could not parse the order */
	/* The worker has restarted; its new incarnation replied. */
	GH_ORDER_OTHER_INCARNATION,
	/*
	 * The worker has had a call to a later life of it from this owner, and
	 * does not execute the order; or another life of it than the order
	 * names was found at its address, and the order was not sent.
	 */
	GH_ORDER_OVERTAKEN,
	/*
	 * A later life of the worker than the order names replied; it may have
	 * executed the order.
	 */
	GH_ORDER_LATER_LIFE,
	/* no reply; the order or renewal may still take effect */
	GH_ORDER_OUTCOME_UNKNOWN
} gh_order_reply_t;

/* A running task in a worker's report. */
typedef struct gh_report_run {
	gh_task_id_t task;
	uint32_t run; /* number of the run */
	char checkpoint[GH_CHECKPOINT_NAME_MAX + 1];
	/*
	 * Part of the run's work that is done; 100 for a long-running task: it
	 * serves requests.
	 */
	uint32_t progress_percent;
	/*
	 * Long-running task: tail latency in ms; other task: milli-cores in
	 * use.
	 */
	int64_t gauge;
} gh_report_run_t;

/* An ended run in a worker's report. */
typedef struct gh_report_end {
	/* sequence number of the end in this worker incarnation */
	uint64_t number;
	gh_task_id_t task;
	uint32_t run; /* number of the run */
	gh_run_outcome_t outcome;
	char checkpoint[GH_CHECKPOINT_NAME_MAX + 1];
} gh_report_end_t;

/* Reply to a lease renewal: the runs on the worker and the ends of runs. */
typedef struct gh_worker_report {
	uint32_t fence_offset;	/* of the lease renewal */
	gh_time_t requested_at; /* when the lease renewal was sent */
	/* Start of the worker process, wall clock; 0: not reported. */
	int64_t incarnation_start_ms;
	/* Worker's clock, which begins with the life; 0: not reported. */
	int64_t clock_ms;
	/* The lease renewal was sent without its grant and acknowledgement. */
	bool granted_nothing;
	/*
	 * runs[] and ends[] are not truncated: a run that was started before
	 * requested_at and is in neither list is over
	 */
	bool complete;
	gh_report_run_t *runs;
	size_t n_runs;
	gh_report_end_t *ends; /* in the order of their numbers */
	size_t n_ends;
} gh_worker_report_t;

/* A lease renewal to be sent; its reply is the worker's report. */
typedef struct gh_worker_renewal {
	const char *worker;
	const char *address;
	/* start of the worker's present incarnation; 0: unknown */
	int64_t incarnation_start_ms;
	uint32_t fence_offset; /* as in gh_order_t */
	/*
	 * Ends of runs up to this number are committed and may be forgotten;
	 * 0: the worker's last report lists none that is.
	 */
	uint64_t acked_end;
	/*
	 * the worker may wait this long for the end of a run before it replies
	 */
	int64_t max_wait_ms;
	/* New deadline of the worker's lease; 0: the lease is not extended. */
	gh_time_t lease_until;
} gh_worker_renewal_t;

/* Max bytes of a value in the store, and so of a part of a record. */
#define GH_RECORD_BYTES_MAX 1048576

/* A part of a job's progress record; part 0 is the record's first one. */
typedef struct gh_fleet_part {
	uint32_t number;
	char *text; /* to be stored; NULL: to be deleted */
} gh_fleet_part_t;

/* A job's record as it has to be committed. */
typedef struct gh_fleet_change {
	char id[GH_JOB_ID_MAX + 1];
	uint64_t version;
	/*
	 * Progress record to store.  NULL: the job's record has several parts,
	 * or the job has ended: delete its records.
	 */
	char *progress;
	/*
	 * gh_fleet_part_t: what to store or to delete of a record in several
	 * parts; NULL: it has one.
	 */
	GArray *parts;
	gh_job_phase_t phase;
	/* the job's phase differs from its last committed one */
	bool phase_changed;
	/*
	 * The job's home is another shard, which alone stores its phase;
	 * guest_is_new: its text is not stored here yet.
	 */
	bool guest, guest_is_new;
	/*
	 * gh_task_move_t of the messages to store and to delete with the
	 * record; NULL: none.
	 */
	GArray *departures, *arrivals;
	/* The job; valid until the next call of a gh_fleet function. */
	const gh_pipeline_t *job;
} gh_fleet_change_t;

/*
 * Receives each decision of the fleet, for the log; task, worker and detail may
 * be NULL.
 */
typedef struct gh_fleet_sink {
	void (*on_event)(void *ctx, const char *event, const gh_task_id_t *task,
			 uint32_t run, const char *worker, const char *detail);
	void *ctx;
} gh_fleet_sink_t;

/*
 * Totals since gh_fleet_new(); the member jobs and those after it are present
 * numbers.
 */
typedef struct gh_fleet_counts {
	uint64_t started, done, failed, stopped, lease_expired, lost,
		no_capacity;
	uint64_t copies, hangs, quarantines, paced, moved;
	/* Run times learned, and those declared wrong by a factor over 2. */
	uint64_t run_times, run_times_off;
	uint64_t held;	   /* jobs whose progress record could not be parsed */
	uint64_t examined; /* workers examined for the placement of a task */
	uint64_t put_off;  /* placements, to leave cores to urgent tasks */
	uint64_t idle;	   /* jobs that waited with nothing running, a second */
	/* Tasks that left for other shards, and that came from them. */
	uint64_t departed, arrived;
	uint64_t hastened; /* job changes committed ahead of older ones */
	/* Unsent runs in domains that are emptied. */
	uint64_t taken_back;
	/* Starts put off as the domains to be emptied were not heard. */
	uint64_t withheld;
	uint64_t memory_short; /* times that due tasks began to wait for memory
				*/
	uint32_t jobs, workers, open_runs, pending_tasks;
	/* Tasks with state in memory, and jobs of which due ones wait for it.
	 */
	uint32_t tasks_resident, jobs_without_memory;
} gh_fleet_counts_t;

/* How far an owner is behind with what it has decided. */
typedef struct gh_fleet_backlog {
	uint32_t planned_runs;	 /* placed, their intents not committed */
	gh_time_t planned_since; /* when the oldest was placed; 0: none */
	gh_task_id_t oldest;	 /* its task */
	uint32_t begun_runs;	 /* committed, until their end */
	uint32_t begun_lately;	 /* committed in the last second or so */
	uint32_t pending_tasks;	 /* ready, and not placed at the last tick */
	/* Cores of all workers, and cores that planned and begun runs hold. */
	int64_t cores_milli, planned_cores_milli, begun_cores_milli;
	gh_time_t tick_gap; /* mean time between two ticks */
} gh_fleet_backlog_t;

gh_fleet_t *gh_fleet_new(const gh_fleet_setup_t *setup,
			 const gh_fleet_sink_t *sink, gh_time_t now);
void gh_fleet_free(gh_fleet_t *fleet);

/*
 * gh_fleet_setup_t.tasks_max of a process with this memory that may own all
 * shards.
 */
uint32_t gh_fleet_tasks_max(uint32_t memory_mb, uint32_t shards);

/* Adds or updates a worker that service discovery lists. */
void gh_fleet_worker_set(gh_fleet_t *fleet, const gh_worker_entry_t *entry,
			 gh_time_t now);
/*
 * Marks a worker that service discovery no longer lists: no more runs start on
 * it, and it is freed once it has no open runs.
 */
void gh_fleet_worker_unlist(gh_fleet_t *fleet, const char *id);
void gh_fleet_queue_set(gh_fleet_t *fleet, const gh_queue_policy_t *policy);

/*
 * Sets the failure domains that the operator wants to be emptied: nothing
 * starts there.  All are given each time; see core_fleet_domain.c.
 */
void gh_fleet_domains_set(gh_fleet_t *fleet, const char *const *names, size_t n,
			  gh_time_t now);
/* As of when these domains are known; 0: they are not. */
void gh_fleet_domains_heard(gh_fleet_t *fleet, gh_time_t heard_at);

/*
 * Adds a job with its stored progress, NULL if no task was ever started, else
 * the texts of all parts that are stored, one after the other.  A
 * job that is already known is left as it is.  Takes ownership of the
 * pipeline.  Returns false with GH_E_SYNTAX if progress can't be parsed; the
 * job is then held until it is cancelled: none of its tasks is started.
 */
bool gh_fleet_job_add(gh_fleet_t *fleet, gh_pipeline_t *pipeline,
		      const char *progress, GError **err);
bool gh_fleet_has_job(const gh_fleet_t *fleet, const char *id);
void gh_fleet_job_cancel(gh_fleet_t *fleet, const char *id, gh_time_t now);

/*
 * Takes over the reported load of another shard.  NULL: it is unknown, so that
 * no task moves there.
 */
void gh_fleet_peer_set(gh_fleet_t *fleet, uint32_t shard,
		       const gh_shard_load_t *load, gh_time_t now);
/*
 * Like gh_fleet_job_add() for a job whose home is another shard: only the tasks
 * that progress lists, or that arrive, are here.
 */
bool gh_fleet_guest_add(gh_fleet_t *fleet, gh_pipeline_t *pipeline,
			const char *progress, GError **err);
/*
 * Processes the message of a move to this shard; false: its job is not known.
 * One that was seen before has no effect but that the job's next change deletes
 * it.
 */
bool gh_fleet_task_arrive(gh_fleet_t *fleet, const gh_task_move_t *move,
			  gh_time_t now);

/* Processes a worker's report, the reply to a lease renewal. */
void gh_fleet_handle_report(gh_fleet_t *fleet, const char *id,
			    const gh_worker_report_t *report, gh_time_t now);
/* Processes the failure of a renewal that was sent with the fence offset. */
void gh_fleet_handle_renewal_failure(gh_fleet_t *fleet, const char *id,
				     uint32_t fence_offset,
				     gh_order_reply_t why, gh_time_t now);

/*
 * Processes the reply to an order, of which kind, worker, fence_offset, task
 * and run are read.
 */
void gh_fleet_handle_reply(gh_fleet_t *fleet, const gh_order_t *order,
			   gh_order_reply_t reply, gh_time_t now);

/*
 * Makes all decisions that are due at now.  wall_ms, the wall clock, decides
 * which occurrences of jobs are due.
 */
void gh_fleet_tick(gh_fleet_t *fleet, gh_time_t now, int64_t wall_ms);

/* Next lease renewal to send; false if none is due. */
bool gh_fleet_next_renewal(gh_fleet_t *fleet, gh_worker_renewal_t *renewal,
			   gh_time_t now);

/*
 * Removes the next order to send from the queue and stores it in *order; false
 * if there is none.
 */
bool gh_fleet_next_order(gh_fleet_t *fleet, gh_order_t *order, gh_time_t now);

/* Number of parts of the job's progress record. */
uint32_t gh_fleet_part_count(const gh_pipeline_t *pipeline);
/*
 * Next job record to commit; false if there is none.  The caller clears the
 * change, and reports the result of the commit by one of the functions below.
 */
bool gh_fleet_next_change(gh_fleet_t *fleet, gh_fleet_change_t *change);
/* Frees what the change refers to, but not the job. */
void gh_fleet_change_clear(gh_fleet_change_t *change);
/*
 * Entries that the next change adds to its commit for tasks that move and for
 * further parts of its record.
 */
uint32_t gh_fleet_next_change_entries(const gh_fleet_t *fleet);
void gh_fleet_handle_commit(gh_fleet_t *fleet, const char *id,
			    uint64_t version);
/* Queues the job's record again, as its commit failed. */
void gh_fleet_handle_commit_failure(gh_fleet_t *fleet, const char *id);
/*
 * After the failure of a change that can't be committed as it is: the job's
 * changes wait for a while, which gets longer each time.  Its planned runs end,
 * and none is planned meanwhile.
 */
void gh_fleet_set_aside(gh_fleet_t *fleet, const char *id, gh_time_t now);

/*
 * Returns the interference weights learned so far as text, for the next owner
 * of the shard; the caller frees the text.
 */
char *gh_fleet_interference_format(const gh_fleet_t *fleet);
/*
 * Loads the interference weights that a previous owner stored.  Returns false
 * at the first line that is not valid; the weights of the lines before it stay
 * loaded.
 */
bool gh_fleet_interference_parse(gh_fleet_t *fleet, const char *text);

/* The same for the run times learned; empty: none were. */
char *gh_fleet_run_times_format(const gh_fleet_t *fleet);
/* Returns false, and has learned nothing, if the text is not valid. */
bool gh_fleet_run_times_parse(gh_fleet_t *fleet, const char *text);
/* Changes with each run time that is learned. */
uint64_t gh_fleet_run_times_version(const gh_fleet_t *fleet);

/*
 * Whether a worker has had a call from a newer owner, so that this owner has to
 * stop.
 */
bool gh_fleet_fenced(const gh_fleet_t *fleet);

bool gh_fleet_has_changes(const gh_fleet_t *fleet);
/*
 * Time of the last grant whose lease may still hold a run alive, as far as this
 * owner knows, or one that the next owner starts; for the next owner's
 * gh_fleet_setup_t.previous_grants_end.
 */
gh_time_t gh_fleet_last_grant(const gh_fleet_t *fleet);
/*
 * The same if it is later than a time from now on, else 0.  The lease of a
 * worker that has restarted can be longer than an ordinary one, and then counts
 * as one that is granted later.
 */
gh_time_t gh_fleet_grant_ahead(const gh_fleet_t *fleet, gh_time_t from);
/*
 * In the chain record, before the list of workers that the owner has not heard
 * and until when their leases can last (core_fleet_unheard.c).  The next owner
 * waits for workers that are not in it as if nothing was told.
 */
#define GH_FLEET_UNHEARD " unheard "
/*
 * The list in a chain record, to be freed, and the revision of the claim that
 * it names; NULL: none that can be used.
 */
char *gh_fleet_unheard_find(const char *chain, uint64_t *revision);
/*
 * The part of such a list that counts also from a time after the claim, to be
 * freed, or NULL.
 */
char *gh_fleet_unheard_young(const char *list);
/*
 * The list for the next commit's chain record, to be freed, or NULL.  From now
 * on the workers in it that were not heard are granted no lease.  It comes
 * before gh_fleet_grant_ahead(), as it can add to that.
 */
char *gh_fleet_unheard_tell(gh_fleet_t *fleet, gh_time_t now);
/* The record with the list that was told last is committed. */
void gh_fleet_unheard_committed(gh_fleet_t *fleet);
/* Whether a commit is due for the list's sake. */
bool gh_fleet_unheard_is_due(const gh_fleet_t *fleet, gh_time_t now);
/* Load of the fleet by its usable workers and its jobs that have not ended. */
void gh_fleet_load(const gh_fleet_t *fleet, gh_shard_load_t *load,
		   gh_time_t now);
/* The load's member long_running alone. */
gh_capacity_t gh_fleet_long_running(const gh_fleet_t *fleet);
void gh_fleet_counts(const gh_fleet_t *fleet, gh_fleet_counts_t *counts);
void gh_fleet_backlog(const gh_fleet_t *fleet, gh_fleet_backlog_t *backlog);
/*
 * For an owner that leaves the shard, while no commit is in flight: ends the
 * runs whose intents are not committed and, unless the owner still sends
 * starts, those whose starts were not sent.  The next owner would count them as
 * starts that were lost on their way.
 */
void gh_fleet_end_unsent(gh_fleet_t *fleet, bool sends, gh_time_t now);
const char *gh_job_phase_name(gh_job_phase_t phase);
/* Job phase by its name, or GH_JOB_PHASES for an unknown name. */
gh_job_phase_t gh_job_phase_by_name(const char *name);
const char *gh_run_outcome_name(gh_run_outcome_t outcome);

#endif
