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
	uint32_t shards;      /* number of shards, the same on all hosts */
	uint32_t cores_milli; /* cores of this host, in thousandths */
	/* Min time between commits of one shard's owner. */
	gh_time_t commit_interval_min;
	gh_fleet_setup_t fleet;
	/* See gh_admission_state_t.limit_milli. */
	int64_t refuse_beyond_milli;
	uint64_t jobs_memory_max;   /* see gh_admission_has_memory() */
	int64_t ended_retention_ms; /* how long states of ended jobs are kept */
} fleet_host_setup_t;

fleet_front_t *fleet_host_new(const fleet_host_setup_t *setup);
void fleet_host_free(fleet_front_t *host);

/* Loop's thread only: releases all shards that this host owns. */
void fleet_host_drain(fleet_front_t *host);
/* Loop's thread only: fails all open calls of callers and refuses new calls. */
void fleet_host_close(fleet_front_t *host);
/* Loop's thread only: whether this host owns no shard any more. */
bool fleet_host_is_drained(const fleet_front_t *host);

#endif
