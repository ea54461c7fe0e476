/*
 * Interface between the replay of tasks and the policies: simulated workers,
 * attempts on them and the callbacks of a policy.
 */
#ifndef REPLAY_TASK_H
#define REPLAY_TASK_H

#include "core_shard.h"
#include "replay.h"
#include "replay_heap.h"

typedef struct replay_task_sim replay_task_sim_t;

/* A task attempt on a worker. */
typedef struct replay_run {
	char task[GH_TASK_NAME_MAX + 1];
	uint32_t attempt;
	const replay_job_t *job;
	gh_handle_t worker;
	gh_report_state_t state;
	gh_time_t started_at;
	gh_time_t progress_updated_at;
	/* Run time completed by progress_updated_at. */
	int64_t progress_usec;
	/* Processor share that the attempt gets; 100: all that it needs. */
	uint32_t cpu_percent;
	/* End events with another end_version are ignored. */
	uint32_t end_version;
} replay_run_t;

/* A simulated worker. */
typedef struct replay_worker {
	const gh_worker_t *worker;
	replay_mode_t mode;
	/*
	 * Attempts on the worker (replay_run_t); ended ones stay until
	 * replay_task_forget().
	 */
	GPtrArray *runs;
	/* Cores declared by the running attempts. */
	uint32_t allocated_cores_milli;
} replay_worker_t;

/* Callbacks of a policy. */
typedef struct replay_task_ops {
	/* Returns the policy's state, stored in sim->policy_state. */
	void *(*create)(replay_task_sim_t *sim);
	void (*submit)(replay_task_sim_t *sim, const replay_job_t *job);
	void (*cancel)(replay_task_sim_t *sim, const replay_job_t *job);
	/* Called when an attempt is done or has failed. */
	void (*handle_end)(replay_task_sim_t *sim, replay_run_t *run);
	/*
	 * Called when a worker's mode has changed; a worker that is down has no
	 * attempts.
	 */
	void (*handle_mode_change)(replay_task_sim_t *sim, gh_handle_t worker);
	void (*handle_wakeup)(replay_task_sim_t *sim, uint32_t subject,
			      void *data);
	void (*destroy)(replay_task_sim_t *sim);
} replay_task_ops_t;

struct replay_task_sim {
	const replay_task_ops_t *ops;
	const replay_trace_t *trace;
	replay_task_result_t *result;
	replay_heap_t heap;
	gh_time_t now;
	replay_worker_t *workers;
	/* All attempts (replay_run_t); end events point to them. */
	GPtrArray *runs;
	/* Submitted jobs: name to the job and its submission time. */
	GHashTable *submitted;
	void *policy_state;
};

/* Starts an attempt that resumes at progress_usec; the worker must be up. */
replay_run_t *replay_task_start(replay_task_sim_t *sim, gh_handle_t worker,
				const replay_job_t *job, const char *task,
				uint32_t attempt, int64_t progress_usec);

/* Updates the progress of a run and stops it. */
void replay_task_stop(replay_task_sim_t *sim, replay_run_t *run);

/*
 * Sets the processor share of a run and moves the end of the run accordingly.
 */
void replay_task_throttle(replay_task_sim_t *sim, replay_run_t *run,
			  uint32_t cpu_percent);

/* Returns an attempt on a worker, or NULL. */
replay_run_t *replay_task_find_run(const replay_task_sim_t *sim,
				   gh_handle_t worker, const char *task,
				   uint32_t attempt);

/* Removes an ended attempt from the worker's list. */
void replay_task_forget(replay_task_sim_t *sim, replay_run_t *run);

/* Returns a submitted job by its name. */
const replay_job_t *replay_task_find_job(const replay_task_sim_t *sim,
					 const char *name);

/* Schedules a call of ops->handle_wakeup(). */
void replay_task_schedule_wakeup(replay_task_sim_t *sim, gh_time_t at,
				 uint32_t subject, void *data);

extern const replay_task_ops_t replay_shard_ops;
extern const replay_task_ops_t replay_first_fit_ops;

#endif
