/*
 * Two shards with an owner each and the records that they share, for tests of
 * tasks that move.  After each step it is checked that every task belongs to
 * exactly one shard and that no task runs twice.
 */
#ifndef FLEET_SHARDS_H
#define FLEET_SHARDS_H

#include "fleet_world.h"

#define SHARDS 2

typedef struct shards {
	world_t worlds[SHARDS];
	/*
	 * Records by key: SHARD/job/ID, SHARD/guest/ID, SHARD/progress/ID,
	 * SHARD/moved/ID/INDEX and state/ID.
	 */
	GHashTable *records;
	/* Owners that don't hear of messages, or of cancels. */
	bool messages_held[SHARDS], cancels_held[SHARDS];
	/* What each shard tells of its load; NULL: what it is. */
	const gh_shard_load_t *told[SHARDS];
	bool loads_held; /* no load is told */
	gh_time_t loads_at;
	/* Loads that are told with the next step. */
	gh_shard_load_t loads[SHARDS];
	bool loads_due;
	size_t n_departures;
	bool uncommitted_move; /* a departure's commit was refused */
} shards_t;

void shards_init(shards_t *s);
void shards_clear(shards_t *s);
/* Adds a job with its home; the test keeps the steps. */
void shards_add_job(shards_t *s, uint32_t home, const char *id,
		    uint32_t n_steps, const gh_step_t *steps);
/* Cancels the job in its state; owners hear of it with the next step. */
void shards_cancel(shards_t *s, const char *id);
/* Replaces the shard's owner by one that loads the records. */
void shards_restart(shards_t *s, uint32_t shard);
void shards_advance(shards_t *s, int64_t ms);
/* Runs of the job on the shard's workers. */
size_t shards_count_runs(const shards_t *s, uint32_t shard, const char *id);
/* Records whose keys name the job, without its state. */
size_t shards_count_records(const shards_t *s, const char *id);
/* Message of a move to the shard, or NULL. */
const char *shards_message(const shards_t *s, uint32_t shard, const char *id,
			   uint32_t index);
const char *shards_progress(const shards_t *s, uint32_t shard, const char *id);

#endif
