/*
 * Ownership of one shard, with its workers and jobs, by this host.
 *
 * An owner keeps two records in the store.  The owner record d/own/SHARD is
 * bound to the host's lease and shows other hosts that the owner is alive.
 * The chain record c/SHARD is rewritten by every commit, which expects it at
 * the revision of the previous commit.  A new owner rewrites it too, so no
 * commit of the previous owner takes effect from then on, even if the store
 * carries it out late.  Calls to workers carry the epoch of the chain record
 * plus an offset below GH_FLEET_EPOCH_STEP, and workers reject those with a
 * lower sum than one that they have had.
 */
#ifndef FLEET_OWNER_H
#define FLEET_OWNER_H

#include "fleet_domains.h"
#include "fleet_jobs.h"
#include "fleet_loop.h"
#include "fleet_port.h"

typedef struct fleet_owner fleet_owner_t;

typedef struct fleet_owner_setup {
	const char *host;
	uint32_t shard;
	loop_t *loop;
	fleet_store_t *store;
	fleet_workers_t *workers;
	fleet_jobs_t *jobs;
	gh_fleet_setup_t fleet;
	/* Requests to empty domains; NULL: there are none. */
	const fleet_domains_t *domains;
	uint32_t shards; /* number of shards, the same on all hosts */
	gh_time_t commit_interval_min;
	int64_t ended_retention_ms; /* how long states of ended jobs are kept */
	/* How long this host is to leave a shard without owner to others. */
	gh_time_t (*claim_delay)(void *ctx);
	/* Number of shards that this host owns or claims; NULL: one. */
	uint32_t (*shards_kept)(void *ctx);
	void *claim_delay_ctx;
	uint32_t cores_milli; /* cores of this host; 0: unknown */
} fleet_owner_setup_t;

fleet_owner_t *fleet_owner_new(const fleet_owner_setup_t *setup);
void fleet_owner_free(fleet_owner_t *owner);

/*
 * Takes over the value of the shard's owner record: the name of a host, or NULL
 * when there is none.  Without a record the shard is claimed after
 * claim_delay(), or the record is written again if this host owns the shard.
 * With the name of another host, this host does not own the shard any more.
 */
void fleet_owner_record_changed(fleet_owner_t *owner, const char *host);
/*
 * Takes over the queues of a configuration, which must stay valid until the
 * next call.
 */
void fleet_owner_configure(fleet_owner_t *owner, const fleet_config_t *config);
/* The owner's domains have changed. */
void fleet_owner_domains_changed(fleet_owner_t *owner);
/*
 * Cancels the job in this shard if its state is GH_JOB_CANCELLED.  A job whose
 * home is another shard ends here whatever its end is there.
 */
void fleet_owner_job_changed(fleet_owner_t *owner, const char *id,
			     const fleet_job_state_t *state);

/*
 * Commits the changes not committed yet, then deletes the owner record; the
 * shard is not claimed again.  fleet_owner_is_idle() is true once that is done.
 */
void fleet_owner_release(fleet_owner_t *owner);
bool fleet_owner_is_idle(const fleet_owner_t *owner);
/* Whether this host owns or claims the shard and is not giving it up. */
bool fleet_owner_keeps_shard(const fleet_owner_t *owner);
/* Whether the decisions for the shard come late. */
bool fleet_owner_is_late(const fleet_owner_t *owner);

/*
 * Max wait for a worker's reply to a lease renewal while the owner's own lease
 * is not renewed.  left is the time until the last renewal that may be sent:
 * the reply comes in time for one more to be sent shortly before.
 */
int64_t fleet_owner_wait_alone_ms(gh_time_t left);

#endif
