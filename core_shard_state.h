/*
 * Private state of a shard's owner, shared by the core_shard*.c files.
 */
#ifndef CORE_SHARD_STATE_H
#define CORE_SHARD_STATE_H

#include "core_slowdown.h"
#include "core_shard.h"

#define GH_RESERVATIONS_MAX 32 /* of one shard */

/* State of a worker that the placement table does not keep. */
typedef struct gh_shard_worker {
	gh_worker_health_t health;
	gh_host_state_t state;
	bool full;	     /* refused a start since its last report */
	bool reserved;	     /* capacity is being freed here for one job */
	int64_t usage_at_ms; /* wall clock; last usage processed */
	/* Consecutive usage reports with high and with low slowdown. */
	uint32_t high_slowdown_streak;
	uint32_t low_slowdown_streak;
} gh_shard_worker_t;

/* Worker on which running tasks are evicted to start a task of the job. */
typedef struct gh_reservation {
	uint64_t job_id;
	gh_job_ref_t job;
	gh_handle_t worker;
	gh_time_t expires_at;
} gh_reservation_t;

/* Action that is given out once its commit is confirmed. */
typedef struct gh_deferred_action {
	uint64_t commit;
	gh_action_t action;
} gh_deferred_action_t;

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
	gh_slowdown_t *slowdown;
	GArray *workers;  /* gh_shard_worker_t, by placement handle */
	GString *records; /* collected for the next commit */
	uint64_t next_commit;
	uint64_t confirmed_commit;
	bool commit_urgent;	/* a caller or urgent start waits for it */
	GQueue deferred;	/* gh_deferred_action_t, in commit order */
	uint32_t report_number; /* of the last report */
	gh_reservation_t reservations[GH_RESERVATIONS_MAX];
	size_t n_reservations;
	int64_t eviction_tokens; /* token bucket, millionths of an eviction */
	gh_time_t tokens_refilled_at;
	gh_shard_counts_t counts;
};

gh_shard_worker_t *gh_shard_worker_at(const gh_shard_t *shard,
				      gh_handle_t worker);

/* Tells placement whether the worker takes new tasks. */
void gh_shard_update_usable(gh_shard_t *shard, gh_handle_t worker,
			    gh_time_t now);

/*
 * Queues an action for the task's open attempt.  It is given out once the
 * records made so far are committed.
 */
void gh_shard_queue_action(gh_shard_t *shard, gh_action_kind_t kind,
			   gh_task_ref_t task, bool save_checkpoint,
			   uint32_t cpu_percent);

/*
 * Queues a stop with a checkpoint.  Returns false when the limit on evictions
 * is reached.
 */
bool gh_shard_evict(gh_shard_t *shard, gh_task_ref_t task);

/* Returns the next number of the pseudorandom sequence of the shard's seed. */
uint64_t gh_shard_random(gh_shard_t *shard);

/*
 * Learns slowdowns from the usage in a report, and throttles, evicts or
 * unthrottles batch tasks on the worker.
 */
void gh_shard_process_usage(gh_shard_t *shard, gh_handle_t worker,
			    const gh_report_t *report);

#endif
