/*
 * Simulated workers and store for tests of the fleet scheduler.  Workers can
 * reply, be unreachable, restart and report their runs; the store can refuse
 * commits.
 */
#ifndef FLEET_WORLD_H
#define FLEET_WORLD_H

#include "core_fleet.h"

#define MS GH_USEC_PER_MSEC
#define LEASE_MS 4000
#define LEASE_MAX_MS 7000
#define START_TIME (1000 * MS)
/* time from the start in which a previous owner may still grant leases */
#define PREVIOUS_GRANTS_MS 2000
#define STOP_MS 500
#define STEP_USEC (10 * MS)
#define ORDERS_MAX 4096
#define RUNS_MAX 64
#define ENDS_MAX 64
#define WORKERS_MAX 12
#define LATE_STARTS_MAX 64
/* The runs of this job report a tail latency. */
#define LONG_RUNNING_JOB_ID "00000000000000aa"

/* A simulated worker, controlled by the test. */
typedef struct scripted_worker {
	char id[GH_WORKER_ID_MAX + 1];
	char address[GH_ADDRESS_MAX + 1];
	bool unreachable; /* replies to nothing and executes nothing */
	bool stalled;	  /* runs on the worker make no progress */
	/* Time in which a run's progress rises by one percent; 0: with each
	 * report. */
	int64_t percent_ms;
	bool drops_replies; /* executes orders but its replies are lost */
	bool loses_orders;  /* reports, but neither executes nor answers orders
			     */
	bool loses_stops;   /* the same for stop orders only */
	/* Closes connections that are idle for so long; 0: none. */
	int64_t idle_ms;
	gh_time_t used_at; /* its connection was last used */
	int64_t stop_ms;   /* time that a run takes to stop */
	/* Start orders get no reply and are executed so much later, in whatever
	 * life the worker then has; 0: at once. */
	int64_t start_delay_ms;
	/* Reply to start orders, which are then not executed; OK: executed. */
	gh_order_reply_t refusal;
	int64_t incarnation_start_ms;
	gh_time_t born_at; /* its reports tell its clock; 0: they do not */
	gh_report_run_t runs[RUNS_MAX];
	size_t n_runs;
	gh_report_end_t ends[ENDS_MAX];
	size_t n_ends;
	uint64_t last_end;
	/* highest fence of a call to this life */
	uint64_t fence;
	/* Runs that were stopped or have ended here; a start of one, or of an
	 * earlier run of its task, is refused. */
	gh_report_run_t over[ENDS_MAX];
	size_t n_over;
	/* Runs that are being stopped, and when each ends. */
	struct {
		gh_report_run_t run;
		gh_time_t ends_at;
	} stops[ENDS_MAX];
	size_t n_stops;
	gh_time_t lease_until;
	gh_resources_t size; /* capacity that service discovery lists */
	const char *domain;  /* that it lists; NULL: none */
	int64_t cold_ms;     /* that it lists */
	int64_t tail_ms;     /* tail latency that runs of LONG_RUNNING_JOB_ID
				report; 0: not reported */
} scripted_worker_t;

/* The steps of a job; the test keeps them. */
typedef struct world_job {
	char id[GH_JOB_ID_MAX + 1];
	uint32_t n_steps;
	const gh_step_t *steps;
} world_job_t;

/* A start order that is still to be executed. */
typedef struct late_order {
	scripted_worker_t *worker;
	gh_task_id_t task;
	uint32_t run;
	gh_time_t due_at;
	gh_time_t lease_until;
	int64_t incarnation_start_ms; /* life for which it was meant */
	uint64_t fence;
} late_order_t;

typedef struct world world_t;

struct world {
	gh_fleet_t *fleet;
	gh_time_t now;
	int64_t wall_ms;
	scripted_worker_t workers[WORKERS_MAX];
	size_t n_workers;
	gh_order_t orders[ORDERS_MAX]; /* all orders sent to workers since the
					  start of the test */
	size_t n_orders;
	world_job_t jobs[8];
	size_t n_jobs;
	/* Starts that brought a worker over the capacity that it lists. */
	size_t n_over_capacity;
	/* Starts beside another run of the task. */
	size_t n_twice;
	late_order_t late_orders[LATE_STARTS_MAX];
	size_t n_late_orders;
	size_t n_late_starts; /* runs that late orders have started */
	uint64_t epoch;	      /* of the present owner */
	/* Workers end their runs when their lease is over. */
	bool leases_end;
	bool store_down;
	/* A commit takes effect and its reply is kept back. */
	bool commit_replies_held;
	char held_id[GH_JOB_ID_MAX + 1]; /* of the job in it; empty: none */
	uint64_t held_version;
	uint32_t shard, shards; /* of the owner; shards 0: it is alone */
	void *ctx;		/* of the test */
	/* Stores a change; false: the commit is refused.  May be NULL. */
	bool (*on_commit)(world_t *w, const gh_fleet_change_t *change);
	/* The store commits the changes of so many more jobs only. */
	bool commits_limited;
	uint32_t commits_left;
	/* Commits fail of jobs whose ids begin so; NULL: of none. */
	const char *refused_jobs;
	bool renewals_stopped; /* no renewal is sent to any worker */
	bool orders_held;      /* no order is sent */
	/* Of the owner's setup; its requests are heard in each step unless
	 * domains_unheard. */
	int64_t empty_ms;
	uint32_t tasks_max; /* of the owner's setup */
	bool domains_unheard;
	/* Reply to an order that names another life of the worker; it is
	 * executed, but for GH_ORDER_OVERTAKEN.  GH_ORDER_OK: as to any. */
	gh_order_reply_t other_life;
	size_t n_crashes; /* crashes and lost starts that were counted */
	char *progress; /* text of the last job record committed, whichever the
			   job */
	gh_job_phase_t phase;
	char *waiting;	/* detail of the last task_waiting event, or NULL */
	char *idle;	/* the same of the last job_idle event */
	size_t n_idle;	/* number of job_idle events */
	char *left_out; /* detail of the last jobs_idle event, or NULL */
	/* ids of the jobs that ended as failed, one after the other */
	GString *failed;
	/* Called before a worker gets an order; may be NULL. */
	void (*before_order)(world_t *w, scripted_worker_t *worker,
			     const gh_order_t *order);
	/* Called when a worker has executed a start order; may be NULL. */
	void (*on_start)(world_t *w, scripted_worker_t *worker,
			 const gh_order_t *order);
};

void world_init(world_t *w);
/* The same for the owner of one of several shards. */
void world_init_shard(world_t *w, uint32_t shard, uint32_t shards);
/* The same for an owner that empties domains on request. */
void world_init_domains(world_t *w, int64_t empty_ms);
/* The same for an owner that holds so many tasks in memory. */
void world_init_memory(world_t *w, uint32_t tasks_max);
void world_clear(world_t *w);
/* Replaces the fleet by that of the next owner, which knows nothing of before
 * but the last grant of a lease and what the caller adds. */
void replace_owner(world_t *w);
scripted_worker_t *add_worker(world_t *w, const char *id, uint32_t cores_milli);
/* Changes the capacity that the worker lists. */
void set_worker_size(world_t *w, scripted_worker_t *worker,
		     const gh_resources_t *size);
/* Lists the worker in service discovery. */
void list_worker(world_t *w, const scripted_worker_t *worker, bool draining);
scripted_worker_t *find_worker(world_t *w, const char *id);
gh_pipeline_t *make_job(const char *id, uint32_t n_steps,
			const gh_step_t *steps);
void add_job(world_t *w, const char *id, uint32_t n_steps,
	     const gh_step_t *steps, const char *progress);
/* Starts a new incarnation of the worker, which knows nothing of before. */
void restart_worker(scripted_worker_t *worker);
/* Ends the worker's run at this index. */
void end_run(scripted_worker_t *worker, size_t index, gh_run_outcome_t outcome);
/* Executes a renewal, also one of long ago; false: it is refused. */
bool execute_renewal(world_t *w, scripted_worker_t *worker,
		     const gh_worker_renewal_t *renewal);
/* Advances the clock by ms in steps; each step sends lease renewals and orders
 * to workers and commits changes. */
void advance_time(world_t *w, int64_t ms);
size_t count_orders(const world_t *w, gh_order_kind_t kind, uint32_t step);

extern const gh_step_t one_task;
extern const gh_step_t long_running_step; /* step whose tasks have a tail
					     latency bound of 24 ms */
extern const gh_step_t best_effort_step;

#endif
