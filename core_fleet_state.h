/*
 * Internal state of the fleet scheduler, shared by the core_fleet files.
 *
 * Workers, jobs and runs are kept in arrays; a handle is an index into one of
 * them and stays valid until the entry is freed.
 */
#ifndef CORE_FLEET_STATE_H
#define CORE_FLEET_STATE_H

#include "core_fleet.h"
#include "core_load.h"
#include "core_interference.h"

#define GH_NONE UINT32_MAX /* no such handle, or value not known */
/* Long-running stages tracked on one worker; further ones are ignored. */
#define GH_COLOCATED_MAX 24
/* Best-effort images told apart on one worker; further ones share the last. */
#define GH_SOURCES_MAX 16
#define GH_TASK_RUNS_MAX 2 /* the first run and one speculative copy */

typedef enum run_state {
	RUN_FREE,     /* the array entry is unused */
	RUN_PLANNED,  /* the intent is not committed yet */
	RUN_STARTING, /* no reply to the start order yet */
	RUN_RUNNING,
	RUN_STOPPING, /* a stop is queued or sent; no end reported yet */
	RUN_ORPHAN    /* started by a previous owner, not yet reported */
} run_state_t;

typedef struct fleet_run {
	run_state_t state;
	uint32_t job, task, worker; /* handles; the task's index in its job */
	uint32_t run_number;
	uint64_t version;	   /* of the job record that holds the intent */
	gh_time_t planned_at;	   /* 0: orphan, time unknown */
	gh_time_t running_since;   /* first report that lists it; 0: none */
	gh_time_t replied_at;	   /* reply to the last order; 0: none yet */
	gh_time_t retry_at;	   /* when an order without reply is resent */
	bool order_sent;	   /* an order for this run was sent */
	uint32_t progress_percent; /* in the last report */
	gh_time_t progress_at;	   /* when progress_percent changed */
	int64_t gauge;		   /* as gh_report_run.gauge, last report */
	uint32_t pace_percent;	   /* share of its cores it may use */
	uint32_t pace_sent_percent;   /* in the last order; GH_NONE: unknown */
	double previous_pace_percent; /* in force until pace_effective_at */
	gh_time_t pace_effective_at;  /* expected start of pace_percent */
	gh_time_t slow_since;	      /* since when the pace is low, or 0 */
	double utilisation;	      /* from the last tail latency; 0: none */
	gh_time_t over_bound_since;   /* since when the tail exceeds it, or 0 */
	uint32_t last_report;	      /* number of the last report with it */
	uint32_t next, prev;	      /* in the list of the worker's runs */
} fleet_run_t;

typedef struct fleet_task {
	bool done;
	uint16_t failures;
	uint32_t last_run;		 /* highest run number used */
	uint32_t runs[GH_TASK_RUNS_MAX]; /* handles of open runs, or GH_NONE */
	/* A run failed, was lost or slow on this worker; or GH_NONE. */
	uint32_t avoid_worker;
	gh_time_t not_before; /* earliest next start */
	char *checkpoint;     /* latest name, or NULL */
} fleet_task_t;

/* The tasks of one step in one occurrence. */
typedef struct fleet_stage {
	uint32_t first_task;
	uint32_t tasks_done;
	uint32_t tasks_open;  /* tasks with an open run */
	uint32_t gang_failed; /* a member of the current gang run failed */
	double mean_run_ms;   /* moving mean of the runs that completed */
	uint32_t n_run_times; /* runs in that mean */
	gh_load_t *load; /* of each long-running task; NULL: no sample yet */
} fleet_stage_t;

typedef struct fleet_job {
	gh_pipeline_t *spec; /* NULL: the array entry is unused */
	gh_job_phase_t phase;
	uint32_t tasks_per_occurrence;
	uint32_t n_tasks, n_stages;
	fleet_task_t *tasks;
	fleet_stage_t *stages;
	uint32_t stages_done;
	uint32_t open_runs;
	gh_time_t idle_since; /* no run has been open since; 0: not yet seen */
	uint64_t version, committed_version;
	gh_job_phase_t committed_phase;
	gh_job_phase_t committing_phase; /* of the change being committed */
	bool change_queued;		 /* is in gh_fleet.changes */
	bool commit_pending;
	uint16_t *image_ids;	      /* in the interference model, by step */
	uint32_t first_failed_worker; /* of its first failed run, or GH_NONE */
} fleet_job_t;

/* An end that the worker may forget once job_version is committed. */
typedef struct fleet_ack {
	uint64_t end_number;
	uint32_t job; /* GH_NONE: no known job, nothing to commit */
	char job_id[GH_JOB_ID_MAX + 1];
	uint64_t job_version;
} fleet_ack_t;

/* A long-running stage on a worker, as best-effort placement sees it. */
typedef struct fleet_colocated {
	const void *stage; /* identity only */
	uint16_t image_id;
	double free_utilisation; /* left below the bound by its own load */
	double interference;	 /* from all best-effort runs at full pace */
} fleet_colocated_t;

typedef struct fleet_worker {
	gh_worker_entry_t entry;
	char rack[GH_LABEL_MAX + 1];
	bool in_use;		 /* the array entry is used */
	bool listed;		 /* service discovery lists it */
	bool has_reported;	 /* this incarnation replied to our epoch */
	gh_resources_t reserved; /* cores without those of best-effort runs */
	uint32_t n_best_effort;	 /* open best-effort runs */
	uint32_t n_long_running; /* open long-running runs */
	uint32_t first_run;	 /* head of the list of open runs */
	uint32_t n_runs;
	gh_time_t latest_lease_end; /* no run is alive after it */
	uint64_t acked_end;	  /* the ends up to this number are committed */
	uint64_t last_listed_end; /* highest end number reported */
	GQueue *pending_acks;	  /* fleet_ack_t, by end number */
	uint64_t acked_end_sent;  /* acked_end as last sent to the worker */
	bool has_unknown_run;	  /* its last report lists an unknown run */
	bool renewal_pending;	  /* a renewal awaits its reply */
	gh_time_t last_report_at;
	gh_time_t renewal_not_before;
	gh_time_t unreachable_since; /* since when renewals fail, or 0 */
	gh_time_t full_until;	     /* no starts after a capacity refusal */
	uint32_t fail_streak; /* consecutive failed runs of different jobs */
	uint32_t quarantines_in_row;
	gh_time_t quarantined_until;
	gh_time_t last_placed_at;	/* when the last run was planned here */
	double best_effort_cores_milli; /* sum over open best-effort runs */
	gh_time_t tails_sampled_at;
	double long_running_cores_milli; /* sum over open long-running runs */
	fleet_colocated_t colocated[GH_COLOCATED_MAX];
	uint32_t n_colocated;
	double forecast_cores_milli; /* forecast use by long-running runs */
	gh_time_t colocated_at; /* when colocated and the forecast were set */
	bool colocated_stale;	/* to be recomputed before the next use */
	double run_time_ratio; /* run times here over the means of the stages */
} fleet_worker_t;

struct gh_fleet {
	gh_fleet_setup_t setup;
	gh_fleet_sink_t sink;
	GArray *workers;			      /* fleet_worker_t */
	GArray *jobs;				      /* fleet_job_t */
	GArray *runs;				      /* fleet_run_t */
	GArray *free_runs, *free_jobs, *free_workers; /* handles, uint32_t */
	GHashTable *worker_by_id;		      /* id to handle + 1 */
	GHashTable *job_by_id;			      /* id to handle + 1 */
	GHashTable *queues; /* name to gh_queue_policy_t */
	GQueue *changes;    /* handles + 1 of jobs to be committed */
	GQueue *orders;	    /* queued_order_t */
	gh_interference_t *interference;
	gh_load_periods_t *load_periods; /* shared by all load forecasts */
	gh_time_t created_at;
	bool fenced;		      /* a worker has seen a newer owner */
	uint32_t report_number;	      /* of the last worker report */
	uint32_t next_renewal_worker; /* where the round-robin scan resumes */
	gh_time_t health_checked_at;
	gh_time_t interference_decayed_at;
	gh_time_t stragglers_checked_at;
	gh_fleet_counts_t counts;
};

/* An order to be sent; it is dropped if the run's state no longer wants it. */
typedef struct queued_order {
	gh_order_kind_t kind;
	uint32_t run; /* GH_NONE: a stop of a run that belongs to no job here */
	uint32_t run_number;
	/* Set only for a stop of an unknown run. */
	uint32_t worker;
	gh_task_id_t task;
} queued_order_t;

/* Entry by handle; the pointer is invalid once the array grows. */
fleet_worker_t *fleet_worker(const gh_fleet_t *fleet, uint32_t handle);
fleet_job_t *fleet_job(const gh_fleet_t *fleet, uint32_t handle);
fleet_run_t *fleet_run(const gh_fleet_t *fleet, uint32_t handle);
/* Handle by id, or GH_NONE. */
uint32_t fleet_worker_find(const gh_fleet_t *fleet, const char *id);
uint32_t fleet_job_find(const gh_fleet_t *fleet, const char *id);

/* Policy of the job's queue, or the defaults when it is not configured. */
const gh_queue_policy_t *fleet_job_policy(const gh_fleet_t *fleet,
					  const fleet_job_t *job);
/* Adds a job that has no progress; takes ownership of the pipeline. */
uint32_t fleet_job_new(gh_fleet_t *fleet, gh_pipeline_t *pipeline);
/* Frees a job that has ended, is committed and has no open run. */
void fleet_job_free_if_finished(gh_fleet_t *fleet, uint32_t handle);
/* Index of the stage that contains the task. */
uint32_t fleet_stage_index(const fleet_job_t *job, uint32_t task);

/* Extends the worker's lease; returns the deadline to grant. */
gh_time_t fleet_lease_extend(gh_fleet_t *fleet, fleet_worker_t *worker,
			     gh_time_t now);
/*
 * Notes the start time (wall clock, ms; 0: not reported) of the worker's
 * incarnation.  If it has changed, the worker has restarted: the runs of the
 * previous incarnation are over and the numbering of ends starts anew.
 */
void fleet_worker_set_incarnation(gh_fleet_t *fleet, uint32_t handle,
				  int64_t start_ms, gh_time_t now);
/* Frees a worker that is not listed, has no run and awaits no reply. */
void fleet_worker_free_if_unused(gh_fleet_t *fleet, uint32_t handle);

/* Id of a task by its index in the job. */
gh_task_id_t fleet_task_id(const fleet_job_t *job, uint32_t task);
/* Index of a task by its id, or GH_NONE. */
uint32_t fleet_task_find(const fleet_job_t *job, const gh_task_id_t *id);
fleet_stage_t *fleet_task_stage(const fleet_job_t *job, uint32_t task);
const gh_step_t *fleet_task_step(const fleet_job_t *job, uint32_t task);
/* Open run of a task by its number, or GH_NONE. */
uint32_t fleet_run_find(const gh_fleet_t *fleet, const fleet_job_t *job,
			uint32_t task, uint32_t number);

/* Queues the job's record to be committed. */
void fleet_job_mark_changed(gh_fleet_t *fleet, uint32_t handle);
/* Ends the job in the given phase and stops its open runs. */
void fleet_job_end(gh_fleet_t *fleet, uint32_t handle, gh_job_phase_t phase,
		   gh_time_t now);

/* Adds an open run of the task in the given state; returns its handle. */
uint32_t fleet_run_open(gh_fleet_t *fleet, uint32_t job, uint32_t task,
			uint32_t worker, uint32_t number, run_state_t state,
			gh_time_t now);
/* Closes the run and applies its outcome to the task, the job and the worker.
 */
void fleet_run_end(gh_fleet_t *fleet, uint32_t handle, gh_run_outcome_t outcome,
		   const char *checkpoint, gh_time_t now);
/* Orders the run to stop; a run that is only planned ends at once. */
void fleet_run_stop(gh_fleet_t *fleet, uint32_t handle, const char *why,
		    gh_time_t now);
void fleet_order_enqueue(gh_fleet_t *fleet, gh_order_kind_t kind,
			 uint32_t handle);

/* Ends all runs of a worker whose lease expired or which has restarted. */
void fleet_worker_end_runs(gh_fleet_t *fleet, uint32_t handle, const char *why,
			   gh_time_t now);

/* Acknowledges the end once the job's present version is committed. */
void fleet_ack_add(gh_fleet_t *fleet, uint32_t worker, uint64_t number,
		   uint32_t job);
/* Advances the worker's acked_end over the ends that are committed. */
void fleet_acks_advance(gh_fleet_t *fleet, uint32_t handle);

/* Updates the counters and the worker's health after a run's end. */
void fleet_health_record_end(gh_fleet_t *fleet, const fleet_run_t *run,
			     gh_run_outcome_t outcome, gh_time_t now);
/* Stops runs that make no progress and quarantines their workers. */
void fleet_health_check(gh_fleet_t *fleet, gh_time_t now);
/* Whether quarantine and probing let a run start on the worker now. */
bool fleet_health_is_usable(const fleet_worker_t *worker, gh_time_t now);

/* Id of the run's image in the interference model. */
uint16_t fleet_run_image_id(const gh_fleet_t *fleet, const fleet_run_t *run);
/* Sets the paces of the worker's best-effort runs. */
void fleet_pace_update(gh_fleet_t *fleet, uint32_t handle, gh_time_t now);
/*
 * What the worker's best-effort runs would use with one more of this step, as
 * a share of what the worker can give them without harm to long-running runs;
 * 1 is all of it.  Sets weight to the highest interference weight of the
 * step's image with the long-running images there.
 */
double fleet_best_effort_share(gh_fleet_t *fleet, fleet_worker_t *worker,
			       const gh_step_t *step, uint16_t image,
			       gh_time_t now, double *weight);

/* Passes one decision to the sink; worker may be GH_NONE. */
void fleet_emit_event(const gh_fleet_t *fleet, const char *event,
		      const gh_task_id_t *task, uint32_t run, uint32_t worker,
		      const char *detail);

#endif
