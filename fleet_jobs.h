/*
 * Directory of all jobs: the phase and queue of each, followed in the store
 * by every host.  Jobs are submitted and cancelled by conditional writes to
 * the same records, so any host can do either.
 *
 * A host that owns no shard reads the changes once a second, so that its calls
 * to the store don't grow with the rate of jobs; what must be newer is read on
 * demand: a job's state by fleet_jobs_refresh(), and the shards' loads when a
 * long-running job is submitted.  Owner records are followed without delay.
 *
 *   d/state/ID    "PHASE QUEUE ACCEPTED-MS CHANGED-MS SHARD BYTES"; BYTES is
 *                 gh_pipeline_bytes(), earlier versions neither write nor read
 *                 it
 *   d/own/SHARD   name of the shard's owner, bound to the owner's lease
 *   d/load/SHARD  "OWNER CORES MEMORY CORES MEMORY [SERVICE:CORES:MEMORY...]":
 *                 capacity of the shard's workers, size of its long-running
 *                 tasks, and what these leave on single workers; earlier
 *                 versions write and read only the first five words; then what
 *                 waits, see core_waits.h
 *   w/SHARD/ID    the job as submitted, deleted when the job has ended
 *   w/SHARD/cancel/ID
 *                 written with the state of a job that is cancelled, so that
 *                 the shard's owner hears of it at once; deleted with the job
 *   w/SHARD/moved/ID/INDEX
 *                 a task that has left another shard for this one, as
 *                 gh_task_move_format() writes it; INDEX is the task's index in
 *                 its job.  Deleted when the shard's record of the job has the
 *                 task
 *   w/SHARD/guest/ID
 *                 "guest1", a newline and the text of a job whose home, the
 *                 shard in its state, is another one, but of which this shard
 *                 has tasks
 *
 * A cancel that finds no job writes the state of a cancelled job that was never
 * accepted, with ACCEPTED-MS 0: a submission whose outcome is unknown, and
 * which the store may carry out later, expects that there is no state.
 *
 * The shard of a job is chosen when the job is accepted and kept in its state.
 * Without SHARD, as earlier versions wrote it, the hash of the id is the shard.
 */
#ifndef FLEET_JOBS_H
#define FLEET_JOBS_H

#include "core_balance.h"
#include "fleet_loop.h"
#include "fleet_port.h"

/* In keys of jobs' records, before the id of a job that is cancelled. */
#define FLEET_CANCEL_PREFIX "cancel/"
/* The same before the id of a job one of whose tasks moves to the shard. */
#define FLEET_MOVED_PREFIX "moved/"
/* The same before the id of a job whose home is another shard. */
#define FLEET_GUEST_PREFIX "guest/"

typedef struct fleet_jobs fleet_jobs_t;

typedef struct fleet_job_state {
	gh_job_phase_t phase;
	char queue[GH_QUEUE_MAX + 1];
	/* Time of acceptance, wall clock; 0: cancelled before it. */
	int64_t accepted_ms;
	int64_t changed_ms; /* time of the last change of phase, wall clock */
	uint32_t shard;
	uint32_t bytes;	   /* gh_pipeline_bytes(); 0: not known */
	uint64_t revision; /* revision of the state's record in the store */
	bool presumed;	   /* see fleet_jobs_note_submitted() */
} fleet_job_state_t;

/* Functions called on the loop's thread after the job directory was updated. */
typedef struct fleet_jobs_listener {
	void (*job_changed)(void *ctx, const char *id,
			    const fleet_job_state_t *state);
	/* A shard's owner record was read; owner is NULL if there is none. */
	void (*owner_changed)(void *ctx, uint32_t shard, const char *owner);
	/*
	 * All jobs and owner records were read from the store, for the first
	 * time or again.
	 */
	void (*synced)(void *ctx);
	void *ctx;
} fleet_jobs_listener_t;

/*
 * Called once per request, on the loop's thread; err is NULL on success.  The
 * kind of the error tells whether the request may have taken effect.
 */
typedef void (*fleet_jobs_done_t)(void *ctx, const GError *err);

fleet_jobs_t *fleet_jobs_new(loop_t *loop, fleet_store_t *store,
			     uint32_t shards,
			     const fleet_jobs_listener_t *listener);
void fleet_jobs_free(fleet_jobs_t *jobs);

/* Loop's thread only: fails all open requests and refuses new ones. */
void fleet_jobs_close(fleet_jobs_t *jobs);

/*
 * Any thread: copies a job's state; returns false if the directory lacks the
 * job.
 */
bool fleet_jobs_find(fleet_jobs_t *jobs, const char *id,
		     fleet_job_state_t *state);
/* Whether there is a job; else a cancel came first, and there will be none. */
bool fleet_job_was_accepted(const fleet_job_state_t *state);
/* Any thread: whether the directory has the job, as accepted in this queue. */
bool fleet_jobs_is_accepted(fleet_jobs_t *jobs, const char *id,
			    const char *queue);
/*
 * Any thread: whether a submission of the job, made at this host, may still be
 * carried out by the store: nobody may be told that the job never runs.
 */
bool fleet_jobs_is_open(fleet_jobs_t *jobs, const char *id);
/* Any thread: sum of the bytes of all jobs that have not ended. */
uint64_t fleet_jobs_open_bytes(fleet_jobs_t *jobs);
/* Number of the queue's jobs whose phase is GH_JOB_QUEUED. */
uint32_t fleet_jobs_count_queued(fleet_jobs_t *jobs, const char *queue);
/*
 * Time of the store's last reply; 0 until all jobs and owner records were read
 * from the store once.
 */
gh_time_t fleet_jobs_last_reply_at(fleet_jobs_t *jobs);
/* The same for replies that tell of changed owner records. */
gh_time_t fleet_jobs_owners_heard_at(fleet_jobs_t *jobs);
/*
 * Loop's thread: when the directory first heard of a shard's owner record as of
 * a revision or later; 0: it has not.
 */
gh_time_t fleet_jobs_owner_heard_at(const fleet_jobs_t *jobs, uint32_t shard,
				    uint64_t revision);
/*
 * Any thread: whether the state of a job that has not ended can be older than
 * the store's, as another host owns its shard.
 */
bool fleet_jobs_may_lag(fleet_jobs_t *jobs, const fleet_job_state_t *state);
/* Any thread: how old the directory's knowledge of other hosts' jobs is. */
gh_time_t fleet_jobs_age(fleet_jobs_t *jobs);
/*
 * Loop's thread: this host owns the shard, or claims it, and has to hear of
 * cancels; or it does so no longer.
 */
void fleet_jobs_follow(fleet_jobs_t *jobs, uint32_t shard, bool follow);

/*
 * Submits or cancels a job; to be called on the loop's thread.  An id that was
 * already submitted to the same queue counts as success, and so does the cancel
 * of a job that has ended.  After GH_E_JOB_UNKNOWN from a cancel, no submission
 * of the id has an effect as long as states of ended jobs are kept: it fails
 * with GH_E_JOB_CANCELLED.
 */
void fleet_jobs_submit(fleet_jobs_t *jobs, const gh_pipeline_t *pipeline,
		       uint32_t priority, gh_time_t deadline,
		       fleet_jobs_done_t done, void *ctx);
void fleet_jobs_cancel(fleet_jobs_t *jobs, const char *id, const char *queue,
		       gh_time_t deadline, fleet_jobs_done_t done, void *ctx);
/* Reads one job's state from the store into the directory. */
void fleet_jobs_refresh(fleet_jobs_t *jobs, const char *id, gh_time_t deadline,
			fleet_jobs_done_t done, void *ctx);
/*
 * Updates the directory with a job's state that this host committed or read;
 * does nothing if the directory knows this revision of the state or a later
 * one.
 */
void fleet_jobs_update(fleet_jobs_t *jobs, const char *id,
		       const fleet_job_state_t *state);
void fleet_jobs_update_text(fleet_jobs_t *jobs, const char *id,
			    const char *text, uint64_t revision);
/*
 * Notes that a job was submitted, as its record was read at this revision.  Its
 * state is presumed to have been written in the same commit, at the same
 * revision, until something else is known of it.
 */
void fleet_jobs_note_submitted(fleet_jobs_t *jobs, uint32_t shard,
			       const gh_pipeline_t *pipeline,
			       uint64_t revision);
/*
 * Corrects a presumed state by what the store has in its place; text is NULL if
 * that is nothing.
 */
void fleet_jobs_correct(fleet_jobs_t *jobs, const char *id, const char *text,
			uint64_t revision);
/*
 * Loop's thread: the load that a shard's owner has reported; false if it is
 * unknown or the store was not heard of late.
 */
bool fleet_jobs_load(fleet_jobs_t *jobs, uint32_t shard, gh_shard_load_t *load);
/*
 * Loop's thread: the least time that a task of the job would wait in a shard,
 * as the owners told it, and how old that is; GH_BALANCE_UNKNOWN: an owner has
 * not told it.
 */
int64_t fleet_jobs_least_wait_ms(const fleet_jobs_t *jobs,
				 const gh_pipeline_t *job, uint32_t priority,
				 gh_time_t *age);
/* Notes that this host has written a shard's owner record. */
void fleet_jobs_note_owner(fleet_jobs_t *jobs, uint32_t shard,
			   const char *owner, uint64_t revision);
/*
 * Ids of up to max jobs of a shard that ended before a wall-clock time; free
 * the array with g_ptr_array_free().
 */
GPtrArray *fleet_jobs_ended_before(fleet_jobs_t *jobs, uint32_t shard,
				   int64_t wall_ms, guint max);

char *fleet_jobs_state_key(const char *id);
char *fleet_jobs_record_key(uint32_t shard, const char *id);
char *fleet_jobs_cancel_key(uint32_t shard, const char *id);
char *fleet_jobs_moved_key(uint32_t shard, const char *id, uint32_t index);
char *fleet_jobs_guest_key(uint32_t shard, const char *id);
char *fleet_jobs_load_key(uint32_t shard);
char *fleet_job_state_format(const fleet_job_state_t *state);
char *fleet_jobs_load_format(const char *owner, const gh_shard_load_t *load);
/*
 * Returns false also for a load that another host than owner has written.  A
 * room that can't be parsed is logged and left out.
 */
bool fleet_jobs_load_parse(const char *text, const char *owner,
			   gh_shard_load_t *load);

#endif
