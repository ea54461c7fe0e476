/*
 * Stand-in of the users' platform for the scripts in review/6, 7, 9 and 10:
 * the key-value store, the executors and the clients, in one process.
 */
#ifndef SIM_H
#define SIM_H

#include <jansson.h>
#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#define SIM_HOSTS 3
#define SIM_STEPS_MAX 4
#define SIM_TASKS_MAX 32 /* tasks of a step whose work is simulated */
#define SIM_FINISH_MS 14000

typedef struct sim_step {
	int count;
	int cpu, mem_mb;
	bool gang, lasting, checkpointing;
	int after; /* step that has to be done before, or -1 */
	int work_ms[SIM_TASKS_MAX];
	/* The first task fails so many times, each after fail_ms of work. */
	int fails, fail_ms;
} sim_step_t;

typedef struct sim_job {
	char id[17];
	int n_steps;
	sim_step_t steps[SIM_STEPS_MAX];
	int repeat_count;
	int64_t start_at_ms, interval_ms;
	/* What the clients have seen. */
	bool accepted;
	int64_t accepted_at;
	int last_status;
	char state[16];
	/*
	 * The first order to start a task of it gets no answer and is carried
	 * out so much later; 0: none is late.
	 */
	int64_t late_ms;
	/* What the executors have seen. */
	int late_executor; /* which has that order */
	bool acked;	   /* an end `done` of it was taken note of */
	int again;	   /* starts since */
	int starts, done, failed, lost;
	int64_t last_ran_at; /* a run of it was at work */
	bool untraced;
	char *trace;
	size_t trace_len;
} sim_job_t;

/* Times are milliseconds on the steady clock since the start. */
int64_t sim_now(void);
int64_t sim_wall(void);
void sim_sleep(int64_t ms);
void sim_lock(void);
void sim_unlock(void);
void sim_record(const char *format, ...)
	__attribute__((format(printf, 1, 2)));

void sim_init(const char *net, const char *record_path);
/* Writes op/config with one route, "r-q" to "/q/" on host q.example. */
void sim_put_config(int version, const char *const *routes, int n);
void sim_add_executors(int n, int cpu, int mem_mb);
/* Ends an executor's process; it starts again after ms under another id. */
void sim_crash_executor(int i, int64_t ms);
/*
 * Ends an executor's process; it starts again after ms under the id that it had,
 * and writes its entry entry_ms later.
 */
void sim_restart_executor(int i, int64_t ms, int64_t entry_ms);
/* Share of the executors' cores in use, in percent. */
int sim_busy_percent(void);

sim_job_t *sim_job_new(void);
/* A call by a client: status, 0 without an answer; the body goes to reply. */
int sim_call(int host, const char *method, const char *path, const char *body,
	     int64_t timeout_ms, char *reply, size_t size);
/* Hands a job in, with retries at other hosts. */
bool sim_submit(sim_job_t *job, const char *prefix, int host);
/* Asks for a job's state; returns the status. */
int sim_ask(sim_job_t *job, const char *prefix, int host);
/*
 * From now on does what the platform does to a host's process that exceeds its
 * memory: it kills it.  The script starts it again.
 */
void sim_guard_memory(const char *pid_dir, int memory_mb);
/* How often it did so to a host. */
int sim_memory_ends(int host);
/* Kills the host that owns the shard; returns its number, or -1. */
int sim_kill_owner(const char *pid_dir);
bool sim_wait_ready(int64_t ms);

#endif
