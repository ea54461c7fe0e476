/*
 * Shared by fleet_jobs.c, which follows the states of all jobs, and
 * fleet_jobs_request.c, which submits, cancels and reads single ones.
 */
#ifndef FLEET_JOBS_PRIVATE_H
#define FLEET_JOBS_PRIVATE_H

#include <pthread.h>
#include <stdatomic.h>

#include "core_heard.h"
#include "fleet_jobs.h"
#include "fleet_watch.h"

#define DIRECTORY_PREFIX "d/"
#define LOAD_PREFIX "load/"
#define FLEET_LOADS_PREFIX DIRECTORY_PREFIX LOAD_PREFIX

/* A shard's records in the directory; NULL: none. */
typedef struct shard_records {
	char *owner;
	char *load;
	/* The same, parsed; NULL also if its author is not the owner. */
	gh_shard_load_t *known_load;
	gh_heard_t heard;      /* changes of the owner record */
	_Atomic bool followed; /* see fleet_jobs_follow() */
} shard_records_t;

struct fleet_jobs {
	loop_t *loop;
	fleet_store_t *store;
	fleet_watch_t *watch;
	/* Of owner records; NULL until all jobs were read. */
	fleet_watch_t *_Atomic owner_watch;
	fleet_jobs_listener_t listener;
	uint32_t n_followed;
	uint32_t shards;
	shard_records_t *records; /* indexed by shard */
	gh_balance_t *balance;
	/* Due at the earliest retry or deadline of a request. */
	loop_timer_t timer;
	bool closed;
	GQueue retry_queue; /* request_t to be retried, earliest first */
	GQueue requests;    /* request_t, all unfinished requests */
	pthread_mutex_t lock;
	GHashTable *states;  /* job id to fleet_job_state_t; guarded by lock */
	uint64_t open_bytes; /* of the states of open jobs; guarded by lock */
	/* Job id to open_write_t, of submissions; guarded by lock. */
	GHashTable *open_writes;
	gh_time_t open_writes_checked_at;
};

/* Both leave the rest of jobs alone. */
void fleet_jobs_init_requests(fleet_jobs_t *jobs);
void fleet_jobs_free_requests(fleet_jobs_t *jobs);

uint32_t fleet_jobs_hashed_shard(const fleet_jobs_t *jobs, const char *id);
uint32_t fleet_jobs_choose_shard(fleet_jobs_t *jobs,
				 const gh_pipeline_t *pipeline,
				 uint32_t priority);
bool fleet_jobs_parse_state(const fleet_jobs_t *jobs, const char *id,
			    const char *text, fleet_job_state_t *state);
void fleet_jobs_note_loads(fleet_jobs_t *jobs, const fleet_reply_t *reply);

#endif
