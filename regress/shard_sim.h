/*
 * One shard's decisions against workers and a log in memory, on a virtual
 * clock, with crashes of the owner and lost calls at chosen steps.
 */
#ifndef SHARD_SIM_H
#define SHARD_SIM_H

#include "core_shard.h"

#define SIM_WORKERS_MAX 400

typedef enum sim_worker_mode {
	SIM_UP,
	SIM_CUT,	  /* no call reaches it */
	SIM_REPLIES_LOST, /* calls take effect, answers are lost */
	SIM_STARTS_LATE,  /* starts arrive when sim_deliver() is called */
	SIM_STOPS_LOST,	  /* every second answer to a stop is lost */
	SIM_FAILS_ALL,	  /* each start ends as failed */
	SIM_MODES
} sim_worker_mode_t;

/* One attempt on a worker. */
typedef struct sim_run {
	char task[GH_TASK_NAME_MAX + 1];
	uint32_t attempt;
	gh_report_state_t state;
	int64_t lease_ms;
	int64_t left_ms; /* INT64_MAX: until it is stopped */
	int64_t ended_ms;
	gh_resources_t size;
	char from[GH_CHECKPOINT_MAX + 1];
	char checkpoint[GH_CHECKPOINT_MAX + 1];
	uint32_t percent;
	uint32_t tail_ms; /* reported as usage when not 0 */
	bool forgotten;
} sim_run_t;

typedef struct sim_worker {
	char name[GH_NAME_MAX + 1];
	gh_resources_t size;
	sim_worker_mode_t mode;
	uint64_t epoch;
	int64_t unheard_ms; /* when its answers were lost last */
	GArray *runs;	    /* sim_run_t */
	GHashTable *barred; /* task to attempt */
	bool no_bars;	    /* takes bars and ignores them */
	bool slow_clock;    /* it never finds a start too late */
} sim_worker_t;

typedef struct sim {
	gh_document_t *doc;
	gh_shard_t *shard; /* NULL while nobody owns it */
	GString *log;
	uint64_t epoch;
	int64_t taken_ms; /* when the epoch began */
	gh_now_t now;
	sim_worker_t workers[SIM_WORKERS_MAX];
	size_t n_workers;
	bool store_down;
	char *uncommitted;
	uint64_t commit;
	int64_t steps;	  /* commits and calls made */
	int64_t crash_at; /* the owner dies at this step; 0: never */
	bool after;	  /* it dies after the step, not before */
	gh_time_t poll_at;
	int64_t orphans_wait_ms; /* of a new owner, see gh_shard_begin() */
	/* What must never happen, counted. */
	uint64_t doubles;	 /* a task ran in two places */
	uint64_t over;		 /* a worker held more than its size */
	uint64_t bad_resumes;	 /* not from the last checkpoint */
	GHashTable *checkpoints; /* task to its last checkpoint */
	unsigned stops;
	GArray *late; /* gh_action_t; starts under way */
} sim_t;

sim_t *sim_new(const char *document);
void sim_free(sim_t *sim);

/* A new owner reads the log and begins with a higher epoch. */
void sim_take_over(sim_t *sim, int64_t orphans_wait_ms);
void sim_crash(sim_t *sim);

/* Lets time pass in steps of 50 ms; takes over again after a crash. */
void sim_run(sim_t *sim, int64_t ms);

/* Submits; ends the process when it is refused. */
void sim_submit(sim_t *sim, const gh_job_spec_t *spec);
gh_job_t *sim_job(sim_t *sim, const char *name);

/* Attempts that run now. */
size_t sim_running(const sim_t *sim, const char *job);
sim_worker_t *sim_worker(sim_t *sim, const char *name);

/* A call of an owner that does not know it was replaced. */
gh_reply_t sim_call(sim_t *sim, const gh_action_t *action, char *checkpoint);

/* Lets the late starts arrive. */
void sim_deliver(sim_t *sim);

/* What must hold and did not, or NULL. */
const char *sim_broken(const sim_t *sim);

#endif
