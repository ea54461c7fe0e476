/*
 * State of a shard's owner, shared by the parts of core_shard; not public.
 */
#ifndef CORE_SHARD_STATE_H
#define CORE_SHARD_STATE_H

#include "core_slowdown.h"
#include "core_shard.h"

#define GH_RESERVED_MAX 32 /* workers held back for revoked room */

/* What the owner knows of a worker beyond placement. */
typedef struct gh_shard_worker {
	gh_worker_health_t health;
	gh_host_state_t state;
	bool full;	  /* refused for lack of room since its last report */
	bool reserved;	  /* room is being made for one job */
	int64_t usage_ms; /* time of the last usage taken in */
	uint32_t harm;	  /* usages in a row with a service harmed */
	uint32_t calm;	  /* usages in a row without */
} gh_shard_worker_t;

/* Room that is being made on a worker for a job. */
typedef struct gh_reservation {
	uint64_t job_id;
	gh_job_ref_t job;
	gh_handle_t worker;
	gh_time_t until;
} gh_reservation_t;

/* An action that waits for a commit. */
typedef struct gh_held_action {
	uint64_t commit;
	gh_action_t action;
} gh_held_action_t;

struct gh_shard {
	char owner[GH_NAME_MAX + 1];
	char domain[GH_NAME_MAX + 1];
	uint32_t index;
	uint64_t seed;
	uint64_t epoch;
	gh_policy_t policy;
	gh_task_table_t *tasks;
	gh_place_t *place;
	gh_quota_t *quota;
	gh_slowdown_t *model;
	GArray *workers; /* gh_shard_worker_t, by placement's handle */
	GString *log;	 /* records of the commit being collected */
	uint64_t commit; /* its number */
	uint64_t committed;
	bool hurry;	 /* somebody waits for the commit */
	GQueue held;	 /* gh_held_action_t, by commit */
	uint32_t report; /* number of the last report */
	gh_reservation_t reserved[GH_RESERVED_MAX];
	size_t n_reserved;
	int64_t tokens;	    /* evictions allowed now, in millionths */
	gh_time_t token_at; /* when tokens was last raised */
	gh_shard_counts_t counts;
};

gh_shard_worker_t *gh_shard_worker_at(const gh_shard_t *shard,
				      gh_handle_t worker);

/* Brings placement's view of a worker up to date. */
void gh_shard_worker_refresh(gh_shard_t *shard, gh_handle_t worker,
			     gh_time_t now);

/* Queues an action; START, FORGET and cancelling stops await the commit. */
void gh_shard_act(gh_shard_t *shard, gh_action_kind_t kind, gh_task_ref_t task,
		  bool checkpoint, uint32_t percent);

/* Asks for a stop with a checkpoint if the limit on evictions allows. */
bool gh_shard_evict(gh_shard_t *shard, gh_task_ref_t task);

/* Next number of a deterministic sequence. */
uint64_t gh_shard_random(gh_shard_t *shard);

/* Takes in the usage part of a report. */
void gh_shard_usage(gh_shard_t *shard, gh_handle_t worker,
		    const gh_report_t *report);

#endif
