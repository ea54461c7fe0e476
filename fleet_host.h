/*
 * The job service of one host: creates, drains and frees its parts.
 */
#ifndef FLEET_HOST_H
#define FLEET_HOST_H

#include "fleet_front.h"
#include "fleet_loop.h"
#include "fleet_port.h"

typedef struct fleet_host_setup {
	const char *name;
	loop_t *loop;
	fleet_store_t *store;
	fleet_workers_t *workers;
	uint32_t shards;	       /* of all hosts */
	uint32_t cores_milli;	       /* of this host */
	gh_time_t commit_interval_min; /* of each owner */
	gh_fleet_setup_t fleet;
	int64_t ended_retention_ms; /* of the states of ended jobs */
} fleet_host_setup_t;

fleet_front_t *fleet_host_new(const fleet_host_setup_t *setup);
void fleet_host_free(fleet_front_t *host);

/* Loop's thread: releases all shards that this host owns. */
void fleet_host_drain(fleet_front_t *host);
/* Loop's thread: fails all open calls and refuses new ones. */
void fleet_host_close(fleet_front_t *host);
/* Loop's thread: whether this host owns no shard any more. */
bool fleet_host_is_drained(const fleet_front_t *host);

#endif
