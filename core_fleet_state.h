/*
 * Internal state of the fleet scheduler, shared by the core_fleet files.
 *
 * Workers, jobs and runs are kept in arrays; a handle is an index into one of
 * them and stays valid until the entry is freed.
 */
#ifndef CORE_FLEET_STATE_H
#define CORE_FLEET_STATE_H

#include "core_commit_order.h"
#include "core_fleet.h"
#include "core_headroom.h"
#include "core_load.h"
#include "core_interference.h"
#include "core_run_time.h"

/* for handles: no such entry; for numbers: unknown */
#define GH_NONE UINT32_MAX
/* Long-running stages tracked on one worker; further ones are ignored. */
#define GH_COLOCATED_MAX 24
/*
 * Best-effort images tracked on one worker; further ones share the last entry.
 */
#define GH_SOURCES_MAX 16
/*
 * A best-effort task does not start on a worker whose fleet_best_effort_share()
 * is higher; it waits for another to end.
 */
#define BEST_EFFORT_SHARE_MAX 1.0
/* Wait before an order without a reply from the worker is resent. */
#define ORDER_RETRY_USEC (100 * GH_USEC_PER_MSEC)
/* A call without a reply is not executed later than this after it was sent. */
#define CALL_DELAY_MAX_USEC (15 * GH_USEC_PER_SEC)
/* Max open runs of one task: the first and one speculative copy. */
#define GH_TASK_RUNS_MAX 2

typedef enum run_state {
	RUN_FREE,     /* the array entry is unused */
	RUN_PLANNED,  /* the intent is not committed yet */
	RUN_STARTING, /* the worker has not replied to the start order */
	RUN_RUNNING,
	/* a stop order is queued or sent; the run's end is not reported */
	RUN_STOPPING,
	/* started by a previous owner of the shard; no report lists it yet */
	RUN_ORPHAN,
	/*
	 * listed by its worker, of a job that is held: it takes up capacity and
	 * is left alone
	 */
	RUN_HELD
} run_state_t;

/* What the loss of a run's worker tells of the run's task. */
typedef enum run_crash {
	CRASH_NONE,
	/* The start may have been lost on its way; no proof of a crash. */
	CRASH_UNPROVEN,
	CRASH_LATER,	/* the run had settled */
	CRASH_AT_START, /* neither the run nor others there had settled */
	CRASH_ALONE	/* the run was the only one that had not settled */
} run_crash_t;

typedef struct fleet_run {
	run_state_t state;
	/* Job and worker: handles; task: index in its job. */
	uint32_t job, task, worker;
	uint32_t run_number;
	/* gh_headroom_level() of its queue when it was opened */
	uint32_t level;
	uint32_t first_percent; /* progress in the first report that lists it */
	/* version of the job record that holds the run's intent */
	uint64_t version;
	gh_time_t planned_at; /* when the run was planned; 0: orphan, unknown */
	/* When it was opened, became an orphan or began to be stopped. */
	gh_time_t state_since;
	/* Time of the first worker report that lists the run; 0: none. */
	gh_time_t running_since;
	/*
	 * Time of the worker's reply to the run's last start or stop; 0: none
	 * yet.
	 */
	gh_time_t replied_at;
	/* when a start or stop order without a reply is resent */
	gh_time_t retry_at;
	bool order_sent; /* an order for this run was sent */
	/* One was sent elsewhere than to the worker's heard_address. */
	bool sent_elsewhere;
	gh_time_t start_sent_at; /* when the last start order was sent */
	/*
	 * The last start order awaits its reply, and may not be executed yet.
	 */
	bool start_in_flight;
	/* A start order got no reply and may be executed even later. */
	bool start_unanswered;
	/* Since when starts, or then stops, get no reply; 0: they do. */
	gh_time_t unanswered_since;
	uint32_t start_fence; /* offset of the last start order; 0: none */
	/*
	 * A life of the worker that has had a call with this fence offset
	 * executes no start of the run; 0: not known.
	 */
	uint32_t void_fence;
	bool start_is_void;	  /* the present life has had such a call */
	uint32_t stops_in_flight; /* stop orders that await their replies */
	/* The worker has restarted since those in flight were sent. */
	bool stops_overtaken;
	/* progress of the run in the worker's last report */
	uint32_t progress_percent;
	gh_time_t progress_at; /* time of the last change of progress_percent */
	/* Work since the first report that lists the run, as time at full pace.
	 */
	double worked_ms;
	/*
	 * Tail latency (long-running) or milli-cores in use, from the last
	 * report.
	 */
	int64_t gauge;
	/* percentage of its declared cores that the run may use */
	uint32_t pace_percent;
	/* Pace in the last order sent for the run; GH_NONE: unknown. */
	uint32_t pace_sent_percent;
	/*
	 * Mean pace in the period that the last gauge covered, when
	 * pace_percent was last changed.
	 */
	double previous_pace_percent;
	/* When the worker is expected to apply pace_percent. */
	gh_time_t pace_effective_at;
	/* since when the run's pace is low; 0: it is not */
	gh_time_t slow_since;
	/*
	 * Worker utilisation that explains the run's last tail latency; 0:
	 * none.
	 */
	double utilisation;
	/*
	 * Since when the run's tail latency exceeds its bound; 0: it does not.
	 */
	gh_time_t over_bound_since;
	/*
	 * When a reply or report of the worker first showed the run alive, and
	 * time of the last report that lists it; 0: none yet.
	 */
	gh_time_t alive_since, listed_at;
	run_crash_t crash;
	bool crash_silent; /* the worker's lease ran out; no restart was seen */
	bool suspect;	   /* counted in the worker's n_suspects */
	bool was_paced;	   /* its pace was below 100 at some time */
	/* gh_fleet.report_number of the last report that lists the run. */
	uint32_t last_report;
	/* Handles: neighbours in the list of the worker's runs. */
	uint32_t next, prev;
} fleet_run_t;

/* Where a task is; see core_fleet_move.c. */
typedef enum fleet_place {
	PLACE_HERE,
	PLACE_LEAVING,	/* it is to move; the next changes say so */
	PLACE_DEPARTED, /* the change that is being committed says so */
	PLACE_AWAY	/* in another shard or on its way there */
} fleet_place_t;

typedef struct fleet_task {
	bool done;
	fleet_place_t place;
	uint32_t move_to; /* shard; set unless PLACE_HERE */
	uint32_t moves;	  /* number of times that the task has moved */
	/* When it came from another shard to this owner; 0: it did not. */
	gh_time_t arrived_at;
	uint16_t failures;
	uint16_t hangs;	   /* number of runs that were stopped as hanging */
	uint32_t last_run; /* highest run number used */
	uint32_t runs[GH_TASK_RUNS_MAX]; /* handles of open runs, or GH_NONE */
	/*
	 * Handle of a worker on which a run of the task failed, was lost or was
	 * slow; or GH_NONE.
	 */
	uint32_t avoid_worker;
	/*
	 * Number of runs that were lost with their workers, and of those that
	 * had not settled; see core_fleet_crash.c.
	 */
	uint16_t crashes, start_crashes;
	/*
	 * Number of starts that may have been lost on their way to workers that
	 * were lost.
	 */
	uint16_t lost_starts;
	/*
	 * Since when the task waits for a worker of its own, until a run of it
	 * has ended that was started; 0: it does not.
	 */
	gh_time_t care_since;
	/* no run of the task is started before this time */
	gh_time_t not_before;
	/*
	 * The same, as a late start order may start the task; 0: none; and the
	 * number of stops awaited for that.  See core_fleet_late.c.
	 */
	gh_time_t late_until;
	uint32_t n_late_stops;
	/* The first task of the gang, or the task itself. */
	const struct fleet_task *group;
	/* name of the task's latest checkpoint; NULL: none */
	char *checkpoint;
} fleet_task_t;

/* The tasks of one step in one occurrence of a job. */
typedef struct fleet_stage {
	uint32_t first_task;
	uint32_t tasks_done;
	uint32_t tasks_open; /* tasks with an open run that are not done */
	uint32_t tasks_away; /* tasks that are not PLACE_HERE */
	/* 1: a run of the gang's latest start has failed */
	uint32_t gang_failed;
	/* moving mean run time of the stage's completed runs */
	double mean_run_ms;
	uint32_t n_run_times; /* number of completed runs in mean_run_ms */
	/*
	 * Mean logarithm of the run times in ms that are learned from, and
	 * their number; see core_fleet_times.c.
	 */
	double mean_log_run_ms;
	uint32_t n_sound_runs;
	/*
	 * What a run, and the longest task, are expected to take, and until
	 * when this is used.
	 */
	gh_run_estimate_t estimate;
	int64_t longest_ms;
	/* Longest time that a task of the stage has spent in failed runs. */
	int64_t failed_ms;
	gh_time_t estimate_until;
	/*
	 * Long-running stage: since when a task finds no worker, 0: none waits;
	 * and when this is reported next.
	 */
	gh_time_t waiting_since;
	gh_time_t wait_report_at;
	/* When a worker is reserved for it, or reserved again. */
	gh_time_t reserve_at;
	/* When reserving is given up for a while; 0: none is reserved. */
	gh_time_t reserve_give_up_at;
	/* Number of reservations in a row that were given up. */
	uint32_t reserved_in_vain;
	/* Until when one is reserved for a task of it; 0: none was. */
	gh_time_t reserved_until;
	/*
	 * Load forecast that the stage's long-running tasks share; NULL: no
	 * sample yet.
	 */
	gh_load_t *load;
} fleet_stage_t;

/* The tasks of one occurrence of a job; see core_fleet_occurrence.c. */
typedef struct fleet_occurrence {
	uint32_t number; /* counted from 0 */
	uint32_t n_tasks, n_steps;
	fleet_task_t *tasks;
	fleet_stage_t *stages;
} fleet_occurrence_t;

/* Occurrences that are over, and not resident any more. */
typedef struct fleet_finished {
	uint32_t n;	/* number of bits set */
	uint8_t bits[]; /* bit map by number */
} fleet_finished_t;

/* A part of a job's progress record; see core_fleet_part.c. */
typedef struct fleet_part {
	/* Hash of the text that is stored, and of the last one; 0: none. */
	uint64_t stored, written;
	/*
	 * The job's version that the stored text shows, and that it will show
	 * once the change is committed.
	 */
	uint64_t version, filled;
	bool in_change; /* its text is in the change */
} fleet_part_t;

typedef struct fleet_job {
	/* The accepted job; NULL: the array entry is unused. */
	gh_pipeline_t *spec;
	gh_job_phase_t phase;
	/* A run may have begun; else the job is queued again without runs. */
	bool begun;
	uint32_t tasks_per_occurrence;
	uint32_t n_tasks, n_stages;
	/* fleet_occurrence_t, by number: those that are resident. */
	GPtrArray *occurrences;
	fleet_finished_t *finished;
	uint32_t next_due; /* those before were resident */
	/*
	 * What fleet_stage() returns of the other occurrences: a stage
	 * for each step before its turn, then one for each that is done.
	 */
	fleet_stage_t *absent_stages;
	uint32_t stages_done;
	uint32_t open_runs;
	/*
	 * When the job's last run that was started has ended, or the job was
	 * first planned; 0: not yet.
	 */
	gh_time_t idle_since;
	/*
	 * Since when a task waits and nothing of the job runs, 0: it does not;
	 * and when this is reported next.  See core_fleet_idle.c.
	 */
	gh_time_t waiting_since, wait_report_at;
	gh_time_t seen_running_at; /* time of the last check that saw a run */
	/* The same for a run that is about to start. */
	gh_time_t seen_starting_at;
	/* Since when the job has open runs, none of them of either kind. */
	gh_time_t stalled_since;
	/*
	 * What holds for the gang that is being placed: it is not bound by the
	 * share; it has waited for long.
	 */
	bool gang_overdue, gang_desperate;
	/*
	 * With which its tasks were last placed, at first its priority; the
	 * lowest comes first.
	 */
	uint32_t rank;
	uint64_t version, committed_version;
	/* NULL if there is one part only. */
	fleet_part_t *parts;
	uint32_t n_parts;
	uint32_t next_part; /* with which the next change begins */
	/* An earlier version has stored one record of all tasks. */
	bool stored_whole;
	gh_job_phase_t committed_phase;
	/* Phase in the job record that is being committed. */
	gh_job_phase_t committing_phase;
	/* The progress record can't be parsed, so no task may be started. */
	bool held;
	/* The job's home is another shard; its text is stored here. */
	bool guest, guest_stored;
	bool may_move;	    /* its tasks may move to other shards */
	uint32_t n_leaving; /* tasks that are PLACE_LEAVING or _DEPARTED */
	/*
	 * gh_task_move_t: messages to delete, the first n_deleting of them by
	 * the change that is being committed, and messages that came before it
	 * was known that the task had left.
	 */
	GArray *arrivals, *early_arrivals;
	uint32_t n_deleting;
	bool change_queued; /* the job is queued in gh_fleet.changes */
	bool commit_pending;
	bool commit_failed; /* the last commit of a change of it */
	/*
	 * Its changes are not committed before this time, 0: they are; and how
	 * often in a row it was set aside.
	 */
	gh_time_t aside_until;
	uint32_t times_aside;
	/* ids of the steps' images in the interference model */
	uint16_t *image_ids;
	/* Handle of the worker of the job's first failed run, or GH_NONE. */
	uint32_t first_failed_worker;
} fleet_job_t;

/*
 * The end of a run; the worker may forget it once job_version of the job's
 * record is committed.
 */
typedef struct fleet_ack {
	uint64_t end_number;
	uint32_t job; /* handle; GH_NONE: unknown job, nothing to commit */
	char job_id[GH_JOB_ID_MAX + 1];
	uint64_t job_version;
} fleet_ack_t;

/* A long-running stage on a worker, as best-effort placement sees it. */
typedef struct fleet_colocated {
	const void *stage; /* identifies the stage; compared by address only */
	uint16_t image_id;
	/*
	 * Utilisation left between the stage's own load and its tail latency
	 * bound.
	 */
	double free_utilisation;
	/*
	 * Utilisation that all best-effort runs here would add to the stage's
	 * at full pace.
	 */
	double interference;
} fleet_colocated_t;

typedef struct fleet_worker {
	gh_worker_entry_t entry;
	char rack[GH_LABEL_MAX + 1];
	bool in_use;	   /* the array entry is used */
	bool listed;	   /* service discovery lists the worker */
	bool has_reported; /* this incarnation has sent this owner a report */
	bool emptied;	   /* its failure domain is being emptied */
	/* A report is to show whether a late start had begun. */
	bool late_report_due;
	/* A later life than the entry's has replied; its start is not known. */
	bool has_later_life;
	/* The next and the present chain record tell of young_lease_end. */
	bool young_in_list, young_committed;
	/*
	 * Where the worker was last heard; until it is, where it was first
	 * listed.  The entry can name another address, at which another worker
	 * replies while the runs go on here.
	 */
	char heard_address[GH_ADDRESS_MAX + 1];
	/* Where the last lease renewal was sent. */
	char renewal_address[GH_ADDRESS_MAX + 1];
	gh_time_t heard_since; /* time of its first report */
	gh_time_t cold_until;  /* it is slow until then */
	/* When the worker's last restart became known; 0: none. */
	gh_time_t restart_known_at;
	/*
	 * Declared sizes of the worker's open runs, added up; the cores exclude
	 * best-effort runs.
	 */
	gh_resources_t reserved;
	uint32_t n_best_effort;	 /* number of open best-effort runs */
	uint32_t n_long_running; /* number of open long-running runs */
	/* handle: head of the list of the worker's open runs */
	uint32_t first_run;
	uint32_t n_runs;
	uint32_t n_late_starts; /* its entries in gh_fleet.late_starts */
	/* In all calls to this life; see fleet_fence_raise(). */
	uint32_t fence_offset;
	/*
	 * Nothing is placed here before this time, as late starts may take the
	 * capacity; 0: none.
	 */
	gh_time_t late_until;
	/* deadline of the lease that was last granted */
	gh_time_t lease_until;
	/* No run on the worker is alive after this time and young_lease_end. */
	gh_time_t latest_lease_end;
	/*
	 * The same for a lease that a call to a former life may have granted,
	 * of which no owner knows; see fleet_lease_note_life().
	 */
	gh_time_t young_lease_end;
	/*
	 * Until then a call without a reply may be executed that grants a
	 * lease; 0: none.
	 */
	gh_time_t late_grants_until;
	gh_time_t renewal_sent_at;
	uint64_t acked_end; /* ends of runs up to this number are committed */
	/* Highest number of an end of a run that the worker has reported. */
	uint64_t last_listed_end;
	/* Lowest number of an end in the worker's last report; 0: none. */
	uint64_t first_listed_end;
	/*
	 * Ends of runs not yet acknowledged to the worker: fleet_ack_t, by end
	 * number.
	 */
	GQueue *pending_acks;
	uint64_t acked_end_sent; /* acked_end as last sent to the worker */
	/* The worker's last report lists a run that belongs to no job here. */
	bool has_unknown_run;
	/* A lease renewal with fence_offset awaits the worker's reply. */
	bool renewal_pending;
	bool renewal_grants; /* the last renewal that was sent grants a lease */
	/* When the last report arrived and when it was requested. */
	gh_time_t last_report_at, last_requested_at;
	gh_time_t renewal_not_before;
	/* Since when the worker's lease renewals fail; 0: they do not. */
	gh_time_t unreachable_since;
	/* When it was heard again after such a time; 0: there was none. */
	gh_time_t silence_ended_at;
	/*
	 * No start order is sent until this time, as the worker refused one for
	 * lack of capacity.
	 */
	gh_time_t full_until;
	/*
	 * Number of failed runs here since the last completed one; only a job's
	 * first failure on any worker counts.
	 */
	uint32_t fail_streak;
	uint32_t quarantines_in_row;
	uint32_t n_ungranted; /* lease renewals in a row that granted nothing */
	/* Reports in a row before which an order could not be sent. */
	uint32_t n_unsent;
	gh_time_t quarantined_until;
	/* No start order is sent until then, as orders are of no use. */
	gh_time_t refused_until;
	/* The same, as an order could not be sent; a report shortens it. */
	gh_time_t unsent_until;
	/* When it could not; 0: a report that was asked for since has come. */
	gh_time_t unsent_at;
	/* Number of open runs of suspect tasks that have not settled. */
	uint32_t n_suspects;
	/*
	 * Handle of the run beside which no other starts until it has settled,
	 * or GH_NONE.
	 */
	uint32_t suspect_run;
	/*
	 * The worker is kept until kept_until for the tasks with this group;
	 * compared by address only.
	 */
	const fleet_task_t *kept_for;
	gh_time_t kept_until;
	/* when the last run on the worker was planned */
	gh_time_t last_placed_at;
	/* Declared cores of the open best-effort runs. */
	double best_effort_cores_milli;
	gh_time_t gauges_read_at; /* time of the last report with new gauges */
	gh_time_t tails_sampled_at; /* when they were last learned from */
	/* Declared cores of the open long-running runs. */
	double long_running_cores_milli;
	uint32_t long_running_memory_mb; /* the same for memory */
	fleet_colocated_t colocated[GH_COLOCATED_MAX];
	uint32_t n_colocated;
	/*
	 * Milli-cores that the worker's long-running runs are forecast to use.
	 */
	double forecast_cores_milli;
	/* When colocated and forecast_cores_milli were computed. */
	gh_time_t colocated_at;
	/* The array colocated must be recomputed before its next use. */
	bool colocated_stale;
	/*
	 * Moving mean, over runs here, of the run time divided by the stage's
	 * mean.
	 */
	double run_time_ratio;
} fleet_worker_t;

/*
 * An order to be sent to a worker; it is dropped if the state of its run has
 * changed so that it no longer applies.
 */
typedef struct queued_order {
	gh_order_kind_t kind;
	/* Handle; GH_NONE: a stop of a run that belongs to no job here. */
	uint32_t run;
	uint32_t run_number;
	/* Members from here to task are set only if run is GH_NONE. */
	char worker[GH_WORKER_ID_MAX + 1];
	char address[GH_ADDRESS_MAX + 1];
	gh_task_id_t task;
} queued_order_t;

/*
 * A placement that failed in the present tick.  Placements only take capacity
 * within a tick, except for a gang that is rolled back, so that no other task
 * that asks for as much can be placed.
 */
typedef struct failed_placement {
	const char *service;
	const char *rack; /* preferred one; of no account for the failure */
	gh_resources_t size;
	uint16_t image_id;
	bool best_effort;
	bool bounded;	  /* by the best-effort share, not by capacity alone */
	bool careful;	  /* workers in quarantine were left out */
	bool leaves_room; /* to urgent short tasks */
} failed_placement_t;

/* A lost run whose worker may be alive all the same. */
typedef struct fleet_doubt {
	char worker[GH_WORKER_ID_MAX + 1];
	char address[GH_ADDRESS_MAX + 1];
	int64_t incarnation_start_ms;
	gh_time_t counted_at;
	gh_task_id_t task;
	uint32_t run_number;
	/* What the run tells of its task if the worker has crashed. */
	run_crash_t crash;
	bool counted; /* as a crash; else as a lost start or not at all */
} fleet_doubt_t;

/*
 * A worker that was freed while it had a long lease or a call could still grant
 * it one.
 */
typedef struct fleet_late_grant {
	gh_time_t until;
	gh_time_t lease_end; /* of its latest lease */
	int64_t incarnation_start_ms;
} fleet_late_grant_t;

/* What may be planned; see core_fleet_budget.c. */
typedef struct fleet_budget {
	uint32_t n_planned; /* runs in the state RUN_PLANNED */
	uint32_t n_stuck;   /* of them, at the last check for idle jobs */
	/* Runs that have begun and changes committed, since begun_at. */
	uint32_t n_begun, n_committed;
	/* The same at begun_at, in the second before or so. */
	double begun_lately, committed_lately;
	gh_time_t begun_at;
	/* More is planned while less than one of these is queued or planned. */
	uint32_t changes_max, planned_max;
	/* Changes that the oldest jobs may still add, and those maxima with it.
	 */
	double oldest_share;
	uint32_t oldest_changes_max, oldest_planned_max;
	bool serves_oldest; /* the oldest jobs are being placed */
	/* In this tick, and in the last one, something more could be planned.
	 */
	bool is_short, was_short;
} fleet_budget_t;

/* What is left free for urgent tasks; see core_fleet_headroom.c. */
typedef struct fleet_headroom {
	gh_headroom_t demand;
	gh_headroom_target_t targets[GH_HEADROOM_LEVELS];
	/* Open runs of short tasks, and those that found no worker, by level.
	 */
	double used_tasks[GH_HEADROOM_LEVELS], used_milli[GH_HEADROOM_LEVELS];
	double waiting_tasks[GH_HEADROOM_LEVELS];
	double waiting_milli[GH_HEADROOM_LEVELS];
	/* Free cores that count for the target of the level. */
	int64_t free_milli[GH_HEADROOM_LEVELS];
	gh_time_t report_at;
	uint64_t put_off_reported; /* counts.put_off at the last report */
} fleet_headroom_t;

struct gh_fleet {
	gh_fleet_setup_t setup;
	gh_fleet_sink_t sink;
	GArray *workers; /* fleet_worker_t */
	GArray *jobs;	 /* fleet_job_t */
	GArray *runs;	 /* fleet_run_t */
	/* Handles (uint32_t) of unused array entries. */
	GArray *free_runs, *free_jobs, *free_workers;
	GHashTable *worker_by_id; /* id to handle + 1 */
	GHashTable *job_by_id;	  /* id to handle + 1 */
	GHashTable *queues;	  /* name to gh_queue_policy_t */
	GHashTable *emptied;	  /* names of domains that are being emptied */
	gh_time_t domains_heard_at; /* as of when they are known; 0: never */
	GArray *failed_placements;  /* failed_placement_t, of this tick */
	/* jobs whose changes are to be committed */
	gh_commit_order_t *changes;
	/* Since the last commit: a job whose commit failed; others did. */
	uint32_t commit_failed_job;
	uint32_t n_aside; /* jobs that are set aside */
	bool commits_failed;
	uint32_t last_priority; /* of the least urgent queue */
	/*
	 * Orders to be sent to workers, queued_order_t; those that change paces
	 * come last.
	 */
	GQueue *orders, *pace_orders;
	/* The last order taken from the queue, for the strings in it. */
	queued_order_t last_order;
	/* When workers with runs became unreachable or restarted: gh_time_t. */
	GArray *outages;
	GArray *doubts; /* fleet_doubt_t, by counted_at */
	/*
	 * Start orders that may be executed late, by worker id: GArray of
	 * late_start_t; their number, and that of stops that are awaited.
	 */
	GHashTable *late_starts;
	uint32_t n_late_starts, n_late_stops;
	gh_time_t late_checked_at;
	GHashTable *late_grants; /* fleet_late_grant_t by worker id */
	/*
	 * What the chain record may tell of workers that this owner has not
	 * heard, by their ids; see core_fleet_unheard.c.
	 */
	GHashTable *told;
	GHashTable *young; /* gh_time_t by worker id, as it was told */
	GArray *peers;	   /* fleet_peer_t by shard; see core_fleet_rooms.c */
	gh_time_t moves_decided_at;
	gh_interference_t *interference;
	gh_run_times_t *run_times;
	gh_load_periods_t *load_periods; /* shared by all load forecasts */
	gh_time_t created_at;
	/* Until then a worker's lease can outlast an ordinary one. */
	gh_time_t grants_ahead_until;
	gh_time_t ticked_at; /* time of the last tick; 0: none */
	/* At the last tick the wall clock was this far ahead of CLOCK_BOOTTIME.
	 */
	int64_t wall_ahead_ms;
	/* Moving mean of the time between ticks, in microseconds. */
	double mean_tick_gap;
	uint32_t last_fence_offset; /* highest in use */
	bool fenced;		    /* a worker has seen a newer owner */
	/* Number of reports received from all workers so far. */
	uint32_t report_number;
	/* Handle at which the next scan for due renewals starts. */
	uint32_t next_renewal_worker;
	gh_time_t health_checked_at;
	gh_time_t interference_decayed_at;
	gh_time_t stragglers_checked_at;
	fleet_budget_t budget;
	fleet_headroom_t headroom;
	bool busy; /* half of the workers' capacity is in use */
	/* Checks for idle jobs: the last, and the period of the reports. */
	gh_time_t idle_checked_at, idle_period_at;
	uint32_t n_idle_reports, n_idle_left_out; /* in this period */
	uint32_t next_idle_job; /* handle at which the next check starts */
	gh_fleet_counts_t counts;
};

#endif
