/*
 * Ownership of one shard of workers and its jobs by this host.
 *
 * An owner holds two records: d/own/SHARD, which lives as long as the
 * host's lease and tells the others that it is alive, and c/SHARD, the
 * chain, which each commit expects at the revision of the one before.  A
 * newer owner moves the chain, so no commit of an older one can take effect
 * afterwards, also when it is carried out late.  The chain's epoch fences
 * the older owner off at the workers.
 */
#ifndef FLEET_OWNER_H
#define FLEET_OWNER_H

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
	uint32_t shards;
	gh_time_t commit_interval_min; /* least time between two commits */
	int64_t ended_retention_ms;    /* how long ended jobs are still known */
} fleet_owner_setup_t;

fleet_owner_t *fleet_owner_new(const fleet_owner_setup_t *setup);
void fleet_owner_free(fleet_owner_t *owner);

/*
 * The owner record of the shard was seen: a host's name, or NULL; then it is
 * claimed after the delay.
 */
void fleet_owner_record_changed(fleet_owner_t *owner, const char *host,
				gh_time_t delay);
void fleet_owner_configure(fleet_owner_t *owner, const fleet_config_t *config);
void fleet_owner_job_changed(fleet_owner_t *owner, const char *id,
			     const fleet_job_state_t *state);

/* Gives the shard up in good order; it is idle once that is done. */
void fleet_owner_release(fleet_owner_t *owner);
bool fleet_owner_is_idle(const fleet_owner_t *owner);

#endif
