/*
 * Tables of the fleet, shared by the parts of core_fleet; not public.
 */
#ifndef CORE_FLEET_STATE_H
#define CORE_FLEET_STATE_H

#include "core_fleet.h"
#include "core_load.h"
#include "core_interference.h"

#define GH_NONE UINT32_MAX
#define GH_COLOCATED_MAX 24 /* lasting jobs looked at on one worker */
#define GH_SOURCES_MAX 16   /* images that fill one worker; more are one */
#define GH_TASK_RUNS_MAX 2  /* a run and one copy */

typedef enum run_state {
	RUN_FREE,
	RUN_PLANNED,  /* its intent is not committed yet */
	RUN_STARTING, /* the start is not answered yet */
	RUN_RUNNING,
	RUN_STOPPING, /* a stop is to be sent, or not seen through yet */
	RUN_ORPHAN    /* begun by a former owner, not yet looked for */
} run_state_t;

typedef struct fleet_run {
	run_state_t state;
	uint32_t job, task, worker;
	uint32_t run_number;
	uint64_t version;	 /* of the job, that holds the intent */
	gh_time_t planned_at;	 /* planned at; 0 for an orphan */
	gh_time_t running_since; /* first seen at work, or 0 */
	gh_time_t replied_at; /* the last order was answered at; 0: not yet */
	gh_time_t retry_at;   /* when an unanswered order is sent again */
	bool order_sent;      /* the order of this state was sent */
	uint32_t progress_percent; /* as listed last */
	gh_time_t progress_at;	   /* when that last changed */
	int64_t gauge;		   /* as listed last */
	uint32_t pace_percent;	   /* percent allowed to it */
	uint32_t pace_sent_percent;
	double previous_pace_percent; /* filling: before the last change ... */
	gh_time_t pace_effective_at;  /* ... which is in force from then on */
	gh_time_t slow_since;	      /* filling: at a low pace since, or 0 */
	double utilisation; /* lasting: by its tail as listed last, or 0 */
	gh_time_t over_bound_since; /* lasting: tail above its bound since, or 0
				     */
	uint32_t last_report;	    /* number of the last one that listed it */
	uint32_t next, prev;	    /* of the same worker */
} fleet_run_t;

typedef struct fleet_task {
	bool done;
	uint16_t failures;
	uint32_t last_run;
	uint32_t runs[GH_TASK_RUNS_MAX]; /* open ones, or GH_NONE */
	uint32_t avoid_worker;		 /* worker that failed it, or GH_NONE */
	gh_time_t not_before;
	char *checkpoint;
} fleet_task_t;

/* The tasks of one step in one occurrence. */
typedef struct fleet_stage {
	uint32_t first_task; /* task */
	uint32_t tasks_done;
	uint32_t tasks_open;  /* tasks with an open run */
	uint32_t gang_failed; /* gang: a member of the current run failed */
	double mean_run_ms;   /* of the runs that ended done */
	uint32_t n_run_times;
	gh_load_t *load; /* lasting: of each of its tasks; NULL: not seen */
} fleet_stage_t;

typedef struct fleet_job {
	gh_pipeline_t *spec; /* NULL: the place is free */
	gh_job_phase_t phase;
	uint32_t tasks_per_occurrence; /* tasks */
	uint32_t n_tasks, n_stages;
	fleet_task_t *tasks;
	fleet_stage_t *stages;
	uint32_t stages_done;
	uint32_t open_runs;
	gh_time_t idle_since; /* nothing of it runs; 0: never did */
	uint64_t version, committed_version;
	gh_job_phase_t committed_phase;
	gh_job_phase_t committing_phase; /* of the change being committed */
	bool change_queued;		 /* stands in the list of changes */
	bool commit_pending;
	uint16_t *image_ids;	      /* numbers in the press model, by step */
	uint32_t first_failed_worker; /* worker of its first failure, or GH_NONE
				       */
} fleet_job_t;

/* An end that the worker may forget once the change is committed. */
typedef struct fleet_ack {
	uint64_t end_number;
	uint32_t job;
	char job_id[GH_JOB_ID_MAX + 1];
	uint64_t job_version;
} fleet_ack_t;

/* A lasting job on a worker, as seen by what may fill there. */
typedef struct fleet_colocated {
	const void *stage;
	uint16_t image_id;
	double free_utilisation; /* use that its own load leaves */
	double interference;	 /* on it, with all at full pace */
} fleet_colocated_t;

typedef struct fleet_worker {
	gh_worker_entry_t entry;
	char rack[GH_LABEL_MAX + 1];
	bool in_use;	   /* the place is taken */
	bool listed;	   /* discovery names it */
	bool has_reported; /* it answered a hold with our epoch in this life */
	gh_resources_t reserved;
	uint32_t n_best_effort;	 /* open runs that fill */
	uint32_t n_long_running; /* open runs that last */
	uint32_t first_run;	 /* head of the list of open runs */
	uint32_t n_runs;
	gh_time_t latest_lease_end; /* all it may run has surely lapsed then */
	uint64_t acked_end;	    /* ends up to here are on record */
	uint64_t last_listed_end;   /* highest end that was listed */
	GQueue *pending_acks;	    /* fleet_ack_t, by number */
	uint64_t acked_end_sent;    /* of it the worker was told */
	bool has_unknown_run;	    /* it listed a run that no record knows */
	bool renewal_pending;	    /* a hold is under way */
	gh_time_t last_report_at;   /* when the last one was answered */
	gh_time_t renewal_not_before; /* earliest time of the next one */
	gh_time_t unreachable_since;  /* since when holds fail, or 0 */
	gh_time_t full_until;	      /* refused for want of room */
	uint32_t fail_streak; /* failed runs of different jobs in a row */
	uint32_t quarantines_in_row;	/* quarantines in a row */
	gh_time_t quarantined_until;	/* until */
	gh_time_t last_placed_at;	/* the last run was planned here then */
	double best_effort_cores_milli; /* milli-cores of its open filling runs
					 */
	gh_time_t tails_sampled_at;	/* at the tails of its lasting tasks */
	double long_running_cores_milli; /* milli-cores of its open lasting runs
					  */
	fleet_colocated_t
		colocated[GH_COLOCATED_MAX]; /* see core_fleet_pace.c */
	uint32_t n_colocated;
	double forecast_cores_milli; /* milli-cores that its lasting tasks will
					use */
	gh_time_t colocated_at; /* the seats and that use were found then */
	bool colocated_stale;	/* to be made anew before use */
	double run_time_ratio;	/* of runs here against their stage's mean */
} fleet_worker_t;

struct gh_fleet {
	gh_fleet_setup_t setup;
	gh_fleet_sink_t sink;
	GArray *workers;			      /* fleet_worker_t */
	GArray *jobs;				      /* fleet_job_t */
	GArray *runs;				      /* fleet_run_t */
	GArray *free_runs, *free_jobs, *free_workers; /* uint32_t */
	GHashTable *worker_by_id;		      /* id to handle + 1 */
	GHashTable *job_by_id;
	GHashTable *queues; /* name to gh_queue_policy_t */
	GQueue *changes;    /* jobs' handles + 1 */
	GQueue *orders;	    /* queued_order_t */
	gh_interference_t *interference;
	gh_load_periods_t *load_periods; /* of the load of lasting jobs */
	gh_time_t created_at;
	bool fenced;			   /* a worker has seen a newer owner */
	uint32_t report_number;		   /* number of the last one */
	uint32_t next_renewal_worker;	   /* worker to look at first */
	gh_time_t health_checked_at;	   /* health was looked at */
	gh_time_t interference_decayed_at; /* the press model was */
	gh_time_t stragglers_checked_at;   /* stragglers were looked for */
	gh_fleet_counts_t counts;
};

/* An order to be given out; void when the run has changed since. */
typedef struct queued_order {
	gh_order_kind_t kind;
	uint32_t run;
	uint32_t run_number;
	/* A stop of a run that no job here knows. */
	uint32_t worker;
	gh_task_id_t task;
} queued_order_t;

fleet_worker_t *fleet_worker(const gh_fleet_t *fleet, uint32_t handle);
fleet_job_t *fleet_job(const gh_fleet_t *fleet, uint32_t handle);
fleet_run_t *fleet_run(const gh_fleet_t *fleet, uint32_t handle);
uint32_t fleet_worker_find(const gh_fleet_t *fleet, const char *id);
uint32_t fleet_job_find(const gh_fleet_t *fleet, const char *id);

const gh_queue_policy_t *fleet_job_policy(const gh_fleet_t *fleet,
					  const fleet_job_t *job);
uint32_t fleet_job_new(gh_fleet_t *fleet, gh_pipeline_t *pipeline);
/* Frees a job that has ended, is committed and has no open run. */
void fleet_job_free_if_finished(gh_fleet_t *fleet, uint32_t handle);
uint32_t fleet_stage_index(const fleet_job_t *job, uint32_t task);

/* Extends the worker's lease; returns the deadline to grant. */
gh_time_t fleet_lease_extend(gh_fleet_t *fleet, fleet_worker_t *worker,
			     gh_time_t now);
/* The life that answers differs from the one known: its runs are over. */
void fleet_worker_set_incarnation(gh_fleet_t *fleet, uint32_t handle,
				  int64_t born_ms, gh_time_t now);
/* Frees a worker that is neither listed nor has anything open. */
void fleet_worker_free_if_unused(gh_fleet_t *fleet, uint32_t handle);

/* Where a task of a job stands. */
gh_task_id_t fleet_task_id(const fleet_job_t *job, uint32_t task);
/* Task by name, or GH_NONE. */
uint32_t fleet_task_find(const fleet_job_t *job, const gh_task_id_t *id);
fleet_stage_t *fleet_task_stage(const fleet_job_t *job, uint32_t task);
const gh_step_t *fleet_task_step(const fleet_job_t *job, uint32_t task);
/* Open run of a task by number, or GH_NONE. */
uint32_t fleet_run_find(const gh_fleet_t *fleet, const fleet_job_t *job,
			uint32_t task, uint32_t number);

/* Puts the job among those whose record has to be committed. */
void fleet_job_mark_changed(gh_fleet_t *fleet, uint32_t handle);
void fleet_job_end(gh_fleet_t *fleet, uint32_t handle, gh_job_phase_t phase,
		   gh_time_t now);

uint32_t fleet_run_open(gh_fleet_t *fleet, uint32_t job, uint32_t task,
			uint32_t worker, uint32_t number, run_state_t state,
			gh_time_t now);
void fleet_run_end(gh_fleet_t *fleet, uint32_t handle, gh_run_outcome_t how,
		   const char *saved, gh_time_t now);
void fleet_run_stop(gh_fleet_t *fleet, uint32_t handle, const char *why,
		    gh_time_t now);
void fleet_order_enqueue(gh_fleet_t *fleet, gh_order_kind_t kind,
			 uint32_t handle);

/* Every run of the worker is over: it lost its lease or its life. */
void fleet_worker_end_runs(gh_fleet_t *fleet, uint32_t handle, const char *why,
			   gh_time_t now);

/* Notes an end that is on record once the job's version now is. */
void fleet_ack_add(gh_fleet_t *fleet, uint32_t worker, uint64_t number,
		   uint32_t job);
/* Moves the worker's acknowledged number up to what is committed. */
void fleet_acks_advance(gh_fleet_t *fleet, uint32_t handle);

/* Health of workers, learned from ends and progress. */
void fleet_health_record_end(gh_fleet_t *fleet, const fleet_run_t *run,
			     gh_run_outcome_t how, gh_time_t now);
void fleet_health_check(gh_fleet_t *fleet, gh_time_t now);
bool fleet_health_is_usable(const fleet_worker_t *worker, gh_time_t now);

/* Number of the image that the run's task is of. */
uint16_t fleet_run_image_id(const gh_fleet_t *fleet, const fleet_run_t *run);
/* Pace of the tasks that fill beside lasting ones. */
void fleet_pace_update(gh_fleet_t *fleet, uint32_t handle, gh_time_t now);
/*
 * How much a further filling task would ask of the worker, as a share of
 * what it bears without harm; 1: all of it.  Weight is the heaviest of its
 * image's pairs there.
 */
double fleet_best_effort_share(gh_fleet_t *fleet, fleet_worker_t *worker,
			       const gh_step_t *step, uint16_t image,
			       gh_time_t now, double *weight);

void fleet_emit_event(const gh_fleet_t *fleet, const char *what,
		      const gh_task_id_t *task, uint32_t run, uint32_t worker,
		      const char *detail);

#endif
