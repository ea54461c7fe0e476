/*
 * A small job service for tests: hosts of geraniumhoistd against the
 * stand-in of the platform, at loopback addresses of their own.  Between a
 * host and the platform stands a link of the relay, named by the host.
 */
#ifndef FLEET_SYSTEM_H
#define FLEET_SYSTEM_H

#include <stdbool.h>

#include "proc.h"

#define FLEET_HOSTS_MAX 8

typedef struct fleet_system {
	proc_t platform;
	proc_t relay;
	proc_t hosts[FLEET_HOSTS_MAX];
	unsigned n_hosts;
	int lock;
	char *block;
	char *dir;
	char *name; /* of the test, for its logs */
	char *platform_at;
	char *relay_at;
} fleet_system_t;

/* Starts platform, workers and hosts, and waits until all are ready. */
void fleet_system_start(fleet_system_t *sys, const char *name, unsigned hosts,
			unsigned workers, unsigned shards);
/* Stops all; every host must end well, and nothing wrong was seen. */
void fleet_system_stop(fleet_system_t *sys);

void fleet_host_start(fleet_system_t *sys, unsigned host);
bool fleet_host_is_ready(fleet_system_t *sys, unsigned host);
/* Host that owns the shard, or -1. */
int fleet_shard_owner(fleet_system_t *sys, unsigned shard);

/* Job of the steps' JSON; the status of the answer, 0 without one. */
int fleet_submit(fleet_system_t *sys, unsigned host, const char *id,
		 const char *payload, const char *steps);
int fleet_cancel(fleet_system_t *sys, unsigned host, const char *id);
/* State of the job as the host says, "" without an answer; g_free() it. */
char *fleet_get_state(fleet_system_t *sys, unsigned host, const char *id);
void fleet_await_state(fleet_system_t *sys, unsigned host, const char *id,
		       const char *state);
/* A figure of what the stand-in shows. */
int64_t fleet_platform_counter(fleet_system_t *sys, const char *key);
/* Texts of what was wrong; the caller's to free. */
json_t *fleet_platform_violations(fleet_system_t *sys);

#endif
