/*
 * Tables of the fleet, shared by the parts of core_fleet; not public.
 */
#ifndef CORE_FLEET_STATE_H
#define CORE_FLEET_STATE_H

#include "core_fleet.h"
#include "core_load.h"
#include "core_interference.h"

#define GH_NONE UINT32_MAX
#define GH_SEATS_MAX 24	   /* lasting jobs looked at on one worker */
#define GH_FILLS_MAX 16	   /* images that fill one worker; more are one */
#define GH_TASK_RUNS_MAX 2 /* a run and one copy */

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
	uint32_t number;
	uint64_t version;     /* of the job, that holds the intent */
	gh_time_t began;      /* planned at; 0 for an orphan */
	gh_time_t running;    /* first seen at work, or 0 */
	gh_time_t answered;   /* the last order was answered at; 0: not yet */
	gh_time_t retry_at;   /* when an unanswered order is sent again */
	bool ordered;	      /* the order of this state was sent */
	uint32_t percent;     /* as listed last */
	gh_time_t percent_at; /* when that last changed */
	int64_t gauge;	      /* as listed last */
	uint32_t pace;	      /* percent allowed to it */
	uint32_t pace_sent;
	double pace_was;      /* filling: before the last change ... */
	gh_time_t pace_at;    /* ... which is in force from then on */
	gh_time_t slowed;     /* filling: at a low pace since, or 0 */
	double use;	      /* lasting: by its tail as listed last, or 0 */
	gh_time_t over_since; /* lasting: tail above its bound since, or 0 */
	uint32_t report;      /* number of the last one that listed it */
	uint32_t next, prev;  /* of the same worker */
} fleet_run_t;

typedef struct fleet_task {
	bool done;
	uint16_t failures;
	uint32_t last_run;
	uint32_t runs[GH_TASK_RUNS_MAX]; /* open ones, or GH_NONE */
	uint32_t avoid;			 /* worker that failed it, or GH_NONE */
	gh_time_t not_before;
	char *saved;
} fleet_task_t;

/* The tasks of one step in one occurrence. */
typedef struct fleet_stage {
	uint32_t first; /* task */
	uint32_t done;
	uint32_t open;	     /* tasks with an open run */
	uint32_t run_failed; /* gang: a member of the current run failed */
	double mean_ms;	     /* of the runs that ended done */
	uint32_t n_mean;
	gh_load_t *load; /* lasting: of each of its tasks; NULL: not seen */
} fleet_stage_t;

typedef struct fleet_job {
	gh_pipeline_t *spec; /* NULL: the place is free */
	gh_job_phase_t phase;
	uint32_t per_occurrence; /* tasks */
	uint32_t n_tasks, n_stages;
	fleet_task_t *tasks;
	fleet_stage_t *stages;
	uint32_t stages_done;
	uint32_t open_runs;
	gh_time_t idle_since; /* nothing of it runs; 0: never did */
	uint64_t version, committed;
	gh_job_phase_t committed_phase;
	gh_job_phase_t committing_phase; /* of the change being committed */
	bool queued_change;		 /* stands in the list of changes */
	bool in_commit;
	uint16_t *images;   /* numbers in the press model, by step */
	uint32_t failed_on; /* worker of its first failure, or GH_NONE */
} fleet_job_t;

/* An end that the worker may forget once the change is committed. */
typedef struct fleet_ack {
	uint64_t number;
	uint32_t job;
	char id[GH_JOB_ID_MAX + 1];
	uint64_t version;
} fleet_ack_t;

/* A lasting job on a worker, as seen by what may fill there. */
typedef struct fleet_seat {
	const void *stage;
	uint16_t image;
	double room;  /* use that its own load leaves */
	double press; /* on it, with all at full pace */
} fleet_seat_t;

typedef struct fleet_worker {
	gh_worker_entry_t entry;
	char rack[GH_LABEL_MAX + 1];
	bool used;   /* the place is taken */
	bool listed; /* discovery names it */
	bool known;  /* it answered a hold with our epoch in this life */
	gh_resources_t held;
	uint32_t fills;	  /* open runs that fill */
	uint32_t lasting; /* open runs that last */
	uint32_t runs;	  /* head of the list of open runs */
	uint32_t n_runs;
	gh_time_t lease_until; /* all it may run has surely lapsed then */
	uint64_t acked;	       /* ends up to here are on record */
	uint64_t listed_ends;  /* highest end that was listed */
	GQueue *acks;	       /* fleet_ack_t, by number */
	uint64_t acked_sent;   /* of it the worker was told */
	bool strange;	       /* it listed a run that no record knows */
	bool holding;	       /* a hold is under way */
	gh_time_t held_at;     /* when the last one was answered */
	gh_time_t hold_from;   /* earliest time of the next one */
	gh_time_t unheard;     /* since when holds fail, or 0 */
	gh_time_t full_until;  /* refused for want of room */
	uint32_t fail_streak;  /* failed runs of different jobs in a row */
	uint32_t bad_turns;    /* quarantines in a row */
	gh_time_t quarantined; /* until */
	gh_time_t placed_at;   /* the last run was planned here then */
	double fill_cores;     /* milli-cores of its open filling runs */
	gh_time_t looked;      /* at the tails of its lasting tasks */
	double lasting_cores;  /* milli-cores of its open lasting runs */
	fleet_seat_t seats[GH_SEATS_MAX]; /* see core_fleet_pace.c */
	uint32_t n_seats;
	double serving;	    /* milli-cores that its lasting tasks will use */
	gh_time_t seats_at; /* the seats and that use were found then */
	bool seats_old;	    /* to be made anew before use */
	double slowness;    /* of runs here against their stage's mean */
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
	GQueue *orders;	    /* order_ref_t */
	gh_interference_t *press;
	gh_load_periods_t *wave; /* of the load of lasting jobs */
	gh_time_t began;
	bool fenced;	    /* a worker has seen a newer owner */
	uint32_t report;    /* number of the last one */
	uint32_t hold_next; /* worker to look at first */
	gh_time_t watched;  /* health was looked at */
	gh_time_t faded;    /* the press model was */
	gh_time_t copied;   /* stragglers were looked for */
	gh_fleet_counts_t counts;
};

/* An order to be given out; void when the run has changed since. */
typedef struct order_ref {
	gh_order_kind_t kind;
	uint32_t run;
	uint32_t number;
	/* A stop of a run that no job here knows. */
	uint32_t worker;
	gh_task_id_t task;
} order_ref_t;

fleet_worker_t *fleet_worker(const gh_fleet_t *fleet, uint32_t handle);
fleet_job_t *fleet_job(const gh_fleet_t *fleet, uint32_t handle);
fleet_run_t *fleet_run(const gh_fleet_t *fleet, uint32_t handle);
uint32_t fleet_worker_find(const gh_fleet_t *fleet, const char *id);
uint32_t fleet_job_find(const gh_fleet_t *fleet, const char *id);

const gh_queue_policy_t *fleet_policy(const gh_fleet_t *fleet,
				      const fleet_job_t *job);
uint32_t fleet_job_new(gh_fleet_t *fleet, gh_pipeline_t *pipeline);
/* Frees a job that has ended, is committed and has no open run. */
void fleet_job_drop_if_over(gh_fleet_t *fleet, uint32_t handle);
uint32_t fleet_stage_index(const fleet_job_t *job, uint32_t task);

/* Extends the worker's lease; returns the deadline to grant. */
gh_time_t fleet_grant(gh_fleet_t *fleet, fleet_worker_t *worker, gh_time_t now);
/* The life that answers differs from the one known: its runs are over. */
void fleet_worker_life(gh_fleet_t *fleet, uint32_t handle, int64_t born_ms,
		       gh_time_t now);
/* Frees a worker that is neither listed nor has anything open. */
void fleet_worker_drop_if_over(gh_fleet_t *fleet, uint32_t handle);

/* Where a task of a job stands. */
gh_task_id_t fleet_task_id(const fleet_job_t *job, uint32_t task);
/* Task by name, or GH_NONE. */
uint32_t fleet_task_find(const fleet_job_t *job, const gh_task_id_t *id);
fleet_stage_t *fleet_stage_of(const fleet_job_t *job, uint32_t task);
const gh_step_t *fleet_step_of(const fleet_job_t *job, uint32_t task);
/* Open run of a task by number, or GH_NONE. */
uint32_t fleet_run_find(const gh_fleet_t *fleet, const fleet_job_t *job,
			uint32_t task, uint32_t number);

/* Puts the job among those whose record has to be committed. */
void fleet_job_changed(gh_fleet_t *fleet, uint32_t handle);
void fleet_job_end(gh_fleet_t *fleet, uint32_t handle, gh_job_phase_t phase,
		   gh_time_t now);

uint32_t fleet_run_open(gh_fleet_t *fleet, uint32_t job, uint32_t task,
			uint32_t worker, uint32_t number, run_state_t state,
			gh_time_t now);
void fleet_run_end(gh_fleet_t *fleet, uint32_t handle, gh_run_outcome_t how,
		   const char *saved, gh_time_t now);
void fleet_run_stop(gh_fleet_t *fleet, uint32_t handle, const char *why,
		    gh_time_t now);
void fleet_order(gh_fleet_t *fleet, gh_order_kind_t kind, uint32_t handle);

/* Every run of the worker is over: it lost its lease or its life. */
void fleet_worker_lost(gh_fleet_t *fleet, uint32_t handle, const char *why,
		       gh_time_t now);

/* Notes an end that is on record once the job's version now is. */
void fleet_ack_add(gh_fleet_t *fleet, uint32_t worker, uint64_t number,
		   uint32_t job);
/* Moves the worker's acknowledged number up to what is committed. */
void fleet_acks_advance(gh_fleet_t *fleet, uint32_t handle);

/* Health of workers, learned from ends and progress. */
void fleet_health_ended(gh_fleet_t *fleet, const fleet_run_t *run,
			gh_run_outcome_t how, gh_time_t now);
void fleet_health_watch(gh_fleet_t *fleet, gh_time_t now);
bool fleet_health_usable(const fleet_worker_t *worker, gh_time_t now);

/* Number of the image that the run's task is of. */
uint16_t fleet_image_of(const gh_fleet_t *fleet, const fleet_run_t *run);
/* Pace of the tasks that fill beside lasting ones. */
void fleet_pace_worker(gh_fleet_t *fleet, uint32_t handle, gh_time_t now);
/*
 * How much a further filling task would ask of the worker, as a share of
 * what it bears without harm; 1: all of it.  Weight is the heaviest of its
 * image's pairs there.
 */
double fleet_fill_share(gh_fleet_t *fleet, fleet_worker_t *worker,
			const gh_step_t *step, uint16_t image, gh_time_t now,
			double *weight);

void fleet_say(const gh_fleet_t *fleet, const char *what,
	       const gh_task_id_t *task, uint32_t run, uint32_t worker,
	       const char *detail);

#endif
