/*
 * Simulation of one shard for tests: the real core of its owner, simulated
 * workers and an in-memory log on a virtual clock.  Owners crash at chosen
 * steps and calls to workers fail.
 */
#ifndef SHARD_SIM_H
#define SHARD_SIM_H

#include "core_shard.h"

#define SIM_WORKERS_MAX 400

typedef enum sim_worker_mode {
	SIM_UP,
	SIM_UNREACHABLE,    /* no call reaches the worker */
	SIM_REPLIES_LOST,   /* calls take effect, but their replies are lost */
	SIM_STARTS_DELAYED, /* starts are delayed until sim_deliver_starts() */
	SIM_STOP_REPLIES_LOST, /* every second reply to a stop call is lost */
	SIM_FAILS_TASKS,       /* every attempt on the worker ends as failed */
	SIM_MODE_COUNT
} sim_worker_mode_t;

/* One attempt on a worker. */
typedef struct sim_run {
	char task[GH_TASK_NAME_MAX + 1];
	uint32_t attempt;
	gh_report_state_t state;
	int64_t lease_ms;     /* lease expiry, wall clock time */
	int64_t remaining_ms; /* run time left; INT64_MAX: until stopped */
	int64_t ended_ms;
	gh_resources_t size;
	char resumed_from[GH_CHECKPOINT_MAX + 1];
	char checkpoint[GH_CHECKPOINT_MAX + 1];
	uint32_t percent; /* speed of the run in percent of full speed */
	uint32_t tail_ms; /* tail latency to report; 0: none */
	bool forgotten; /* the run is no longer included in the worker's reports
			 */
} sim_run_t;

typedef struct sim_worker {
	char name[GH_NAME_MAX + 1];
	gh_resources_t size;
	sim_worker_mode_t mode;
	uint64_t epoch;
	int64_t replies_lost_at_ms; /* time at which the last reply was lost */
	GArray *runs;		    /* runs on the worker, of type sim_run_t */
	GHashTable *barred; /* task name to highest barred attempt number */
	bool ignores_bars;
	bool ignores_not_after; /* accepts starts after their not_after time, as
				   with a slow clock */
} sim_worker_t;

typedef struct sim {
	gh_document_t *doc;
	gh_shard_t *shard; /* NULL while the shard has no owner */
	GString *log;
	uint64_t epoch;
	int64_t epoch_began_ms;
	gh_now_t now;
	sim_worker_t workers[SIM_WORKERS_MAX];
	size_t n_workers;
	bool store_down;
	char *uncommitted; /* the owner's log records whose commit is not
			      complete */
	uint64_t commit;   /* commit number of the records in uncommitted */
	int64_t steps; /* number of the owner's commits and calls to workers so
			  far */
	int64_t crash_at_step; /* step at which the owner crashes; 0: never */
	bool crash_after; /* crash after the effect of crash_at_step; false:
			     before it */
	gh_time_t poll_at;
	int64_t orphans_wait_ms; /* passed to sim_take_over() after a crash */
	/* Counts of invariant violations. */
	uint64_t duplicate_runs; /* runs that overlap another run of the task,
				    follow one with no lower attempt number, or
				    repeat a done task */
	uint64_t overcommits; /* starts that exceeded a worker's cores or memory
			       */
	uint64_t bad_resumes; /* runs not resumed from their task's last
				 checkpoint */
	GHashTable *checkpoints; /* task name to the task's last checkpoint */
	unsigned n_stops; /* number of stop calls in mode SIM_STOP_REPLIES_LOST
			   */
	GString *events;  /* "NAME TASK/ATTEMPT: WHY" lines of the owner's
			     events,  or NULL: not kept */
	GArray *delayed_starts; /* gh_action_t, starts not yet delivered */
} sim_t;

sim_t *sim_new(const char *document);
void sim_free(sim_t *sim);

/* Starts a new owner, which replays the log and takes a higher epoch. */
void sim_take_over(sim_t *sim, int64_t orphans_wait_ms);
/* Ends the owner; its uncommitted records are lost. */
void sim_crash(sim_t *sim);

/* Advances time by ms in steps of 50 ms; starts a new owner after a crash. */
void sim_run(sim_t *sim, int64_t ms);

/* Submits a job; aborts the test when it is refused. */
void sim_submit(sim_t *sim, const gh_job_spec_t *spec);

/* Returns the job in the owner's table, or NULL. */
gh_job_t *sim_job(sim_t *sim, const char *name);

/* Counts the running attempts of a job on all workers. */
size_t sim_count_running(const sim_t *sim, const char *job);
sim_worker_t *sim_worker(sim_t *sim, const char *name);

/* Makes a call to a worker, for the current owner or one that was replaced. */
gh_reply_t sim_call(sim_t *sim, const gh_action_t *action, char *checkpoint);

/* Delivers the delayed starts to their workers. */
void sim_deliver_starts(sim_t *sim);

/* Returns the name of a violated invariant; NULL when none is violated. */
const char *sim_violation(const sim_t *sim);

#endif
