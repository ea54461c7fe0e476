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
	shard_run_t *run;		      /* NULL unless owned */
	char previous_owner[GH_NAME_MAX + 1]; /* may be this host */
	/*
	 * Boot clock; first heartbeat of the previous owner that does not
	 * list the shard, 0 if none.
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
	gh_time_t next_read_at; /* of the lease records; boot clock */
	/* Until then reads are frequent, as an owner announced to leave. */
	gh_time_t fast_read_until;
	gh_time_t last_read_at;
	bool draining;
	/* Used by the ownership thread only. */
	uint64_t version; /* of the value in the store */
	uint64_t incarnation;
	uint64_t sequence; /* of the last write to the store */
};

/* Returns a reference to the run of an owned shard, or NULL. */
shard_run_t *shard_owner_ref_run(shard_set_t *set, uint32_t index);

/*
 * Copies the owner's name from the store's record; false when none is known,
 * its lease has expired, or the domain is not this host's.
 */
bool shard_owner_name(shard_set_t *set, const char *domain, uint32_t index,
		      char owner[GH_NAME_MAX + 1]);

#endif
