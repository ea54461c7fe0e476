/*
 * Ownership of the shards of this host's failure domain: one thread reads,
 * takes, renews and releases the lease records in the store, and starts and
 * stops the runs of the owned shards.
 */
#ifndef SHARD_OWNER_H
#define SHARD_OWNER_H

#include <pthread.h>

#include "core_lease.h"
#include "peer.h"
#include "shard.h"
#include "shard_run.h"

/* One shard of the domain, owned or not. */
typedef struct shard_state {
	gh_lease_view_t view;
	shard_run_t *run; /* NULL: this host doesn't own it */
	/* Owner of the shard before the run started; may be this host. */
	char previous_owner[GH_NAME_MAX + 1];
	/*
	 * Time of the previous owner's first heartbeat that does not list the
	 * shard, boot clock; 0: none yet.
	 */
	gh_time_t unlisted_since;
} shard_state_t;

struct shard_set {
	node_t *node;
	worker_link_t *link;
	shard_pool_t *pool;
	pthread_t thread;
	bool started;
	pthread_mutex_t lock;
	pthread_cond_t wake;
	/* The lock protects the members from here to draining. */
	shard_state_t shards[GH_SHARDS_MAX];
	size_t n_shards;
	/* Due time of the next read of the lease records, boot clock. */
	gh_time_t next_read_at;
	/*
	 * Until this time the lease records are read often, as an owner is
	 * leaving.
	 */
	gh_time_t fast_read_until;
	gh_time_t last_read_at;
	bool draining;
	/* Members from here on are used by the ownership thread only. */
	uint64_t version; /* store version of the lease records */
	uint64_t incarnation;
	uint64_t sequence; /* number of the last write of the lease records */
};

/* Returns a reference to the run of an owned shard, or NULL. */
shard_run_t *shard_owner_ref_run(shard_set_t *set, uint32_t index);

/*
 * Copies the name of a shard's owner from the lease record in the store;
 * returns false when no owner is known, its lease has expired, or the domain is
 * not this host's.
 */
bool shard_owner_name(shard_set_t *set, const char *domain, uint32_t index,
		      char owner[GH_NAME_MAX + 1]);

#endif
