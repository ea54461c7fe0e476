/*
 * Private state of a shard's owner, shared by the core_shard*.c files.
 */
#ifndef CORE_SHARD_STATE_H
#define CORE_SHARD_STATE_H

#include "core_slowdown.h"
#include "core_shard.h"

#define GH_RESERVATIONS_MAX 32 /* max number of reservations of one shard */

/* State of a worker that the placement table does not keep. */
typedef struct gh_shard_worker {
	gh_worker_health_t health;
	gh_host_state_t state;
	/*
	 * the worker refused a start for lack of capacity since its last report
	 */
	bool full;
	/* capacity of the worker is being freed for one job */
	bool reserved;
	/* wall clock; when the last processed usage was measured */
	int64_t usage_at_ms;
	/*
	 * Numbers of consecutive usage reports in which the worst slowdown of a
	 * service on the worker was high, and in which it was low.
	 */
	uint32_t high_slowdown_streak;
	uint32_t low_slowdown_streak;
} gh_shard_worker_t;

/*
 * Worker on which running tasks are evicted so that a task of the given job can
 * start there.
 */
typedef struct gh_reservation {
	uint64_t job_id;
	gh_job_ref_t job;
	gh_handle_t worker;
	gh_time_t expires_at;
} gh_reservation_t;

/*
 * Call to a worker that is given out once the commit of the log records it
 * depends on is confirmed.
 */
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
	gh_shard_event_fn_t on_event;
	void *event_ctx;
	gh_policy_t policy;
	gh_task_table_t *tasks;
	gh_place_t *place;
	gh_quota_t *quota;
	gh_slowdown_t *slowdown;
	GArray *workers;  /* gh_shard_worker_t by worker handle */
	GString *records; /* log records for the next commit */
	uint64_t next_commit;
	uint64_t confirmed_commit;
	/* a caller or the start of an urgent job waits for the next commit */
	bool commit_urgent;
	GQueue deferred;	/* gh_deferred_action_t, in commit order */
	uint32_t report_number; /* number of worker reports received so far */
	gh_reservation_t reservations[GH_RESERVATIONS_MAX];
	size_t n_reservations;
	/*
	 * evictions allowed now by the rate limit (a token bucket), in
	 * millionths of an eviction
	 */
	int64_t eviction_tokens;
	gh_time_t tokens_refilled_at;
	gh_shard_counts_t counts;
};

gh_shard_worker_t *gh_shard_worker_at(const gh_shard_t *shard,
				      gh_handle_t worker);

/* Updates in the placement table whether the worker takes new tasks. */
void gh_shard_update_usable(gh_shard_t *shard, gh_handle_t worker,
			    gh_time_t now);

/*
 * Queues a call to the worker of the task's open attempt.  The call is given
 * out once the log records made so far are committed.
 */
void gh_shard_queue_action(gh_shard_t *shard, gh_action_kind_t kind,
			   gh_task_ref_t task, bool save_checkpoint,
			   uint32_t cpu_percent);

/*
 * Evicts a task: queues a call to its worker to stop it with a checkpoint.
 * Returns false when the limit on evictions is reached.
 */
bool gh_shard_evict(gh_shard_t *shard, gh_task_ref_t task);

/*
 * Reports an event of the task's open attempt.  recorded: its record is the
 * last one of the next commit.
 */
void gh_shard_emit_attempt(gh_shard_t *shard, const char *name,
			   gh_task_ref_t task, const char *why, bool recorded);
void gh_shard_emit(const gh_shard_t *shard, const gh_shard_event_t *event);

/* Returns the next number of the pseudorandom sequence of the shard's seed. */
uint64_t gh_shard_random(gh_shard_t *shard);

/*
 * Learns slowdowns from the usage in a report, and throttles, evicts or
 * unthrottles batch tasks on the worker.
 */
void gh_shard_process_usage(gh_shard_t *shard, gh_handle_t worker,
			    const gh_report_t *report);

#endif
