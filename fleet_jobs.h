/*
 * What every host knows of all jobs: their phase and queue, followed in the
 * store.  Jobs are submitted and cancelled by conditional writes to the same
 * records, so any host may do either.
 *
 *   d/state/ID    "PHASE QUEUE ACCEPTED-MS CHANGED-MS"
 *   d/own/SHARD   owner of a shard, alive as long as its lease
 *   w/SHARD/ID    the job as it was submitted, until it is over
 */
#ifndef FLEET_JOBS_H
#define FLEET_JOBS_H

#include "fleet_loop.h"
#include "fleet_port.h"

typedef struct fleet_jobs fleet_jobs_t;

typedef struct fleet_job_state {
	gh_job_phase_t phase;
	char queue[GH_QUEUE_MAX + 1];
	int64_t accepted_ms; /* wall clock */
	int64_t changed_ms;  /* wall clock, of the phase */
	uint64_t revision;
} fleet_job_state_t;

/* Told on the loop of each change, after the directory has it. */
typedef struct fleet_jobs_listener {
	void (*job_changed)(void *ctx, const char *id,
			    const fleet_job_state_t *state);
	/* The owner record of a shard; NULL: there is none. */
	void (*owner_changed)(void *ctx, uint32_t shard, const char *owner);
	void (*synced)(void *ctx);
	void *ctx;
} fleet_jobs_listener_t;

/* err is NULL when it was done. */
typedef void (*fleet_jobs_done_t)(void *ctx, const GError *err);

fleet_jobs_t *fleet_jobs_new(loop_t *loop, fleet_store_t *store,
			     uint32_t shards,
			     const fleet_jobs_listener_t *listener);
void fleet_jobs_free(fleet_jobs_t *jobs);

/* On the loop: answers all that wait, and refuses from now on. */
void fleet_jobs_close(fleet_jobs_t *jobs);

/* Any thread. */
bool fleet_jobs_find(fleet_jobs_t *jobs, const char *id,
		     fleet_job_state_t *state);
uint32_t fleet_jobs_count_queued(fleet_jobs_t *jobs, const char *queue);
/* When the store last answered; 0 until all jobs are known. */
gh_time_t fleet_jobs_last_reply_at(fleet_jobs_t *jobs);

/* The loop's thread. */
void fleet_jobs_submit(fleet_jobs_t *jobs, const gh_pipeline_t *pipeline,
		       gh_time_t deadline, fleet_jobs_done_t done, void *ctx);
void fleet_jobs_cancel(fleet_jobs_t *jobs, const char *id, const char *queue,
		       gh_time_t deadline, fleet_jobs_done_t done, void *ctx);
/* Reads one job's state from the store into the directory. */
void fleet_jobs_refresh(fleet_jobs_t *jobs, const char *id, gh_time_t deadline,
			fleet_jobs_done_t done, void *ctx);
/* A state that this host has committed or was shown. */
void fleet_jobs_update(fleet_jobs_t *jobs, const char *id,
		       const fleet_job_state_t *state);
void fleet_jobs_update_text(fleet_jobs_t *jobs, const char *id,
			    const char *text, uint64_t revision);
/* Ids of jobs of a shard that ended before a time; g_free() each. */
GPtrArray *fleet_jobs_ended_before(fleet_jobs_t *jobs, uint32_t shard,
				   int64_t wall_ms, guint most);

uint32_t fleet_jobs_shard(const fleet_jobs_t *jobs, const char *id);
char *fleet_jobs_state_key(const char *id);
char *fleet_jobs_record_key(uint32_t shard, const char *id);
char *fleet_job_state_format(const fleet_job_state_t *state);

#endif
