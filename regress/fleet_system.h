/*
 * A small job service for tests: geraniumhoistd hosts and a fake platform at
 * loopback addresses that no other test uses.  Each host reaches the platform
 * through a link of a relay; the link has the host's name, "hN".
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
	int address_lock;
	char *address_block;
	char *config_dir;
	char *name; /* name of the test, prefix of its log files */
	char *platform_address;
	char *relay_address;
} fleet_system_t;

/*
 * Starts the platform, its workers and the hosts; waits until all hosts are
 * ready and all shards have an owner.
 */
void fleet_system_start(fleet_system_t *sys, const char *name, unsigned hosts,
			unsigned workers, unsigned shards);
/* The same with other lines of the hosts' settings. */
void fleet_system_start_with(fleet_system_t *sys, const char *name,
			     unsigned hosts, unsigned workers, unsigned shards,
			     const char *settings);
/*
 * Stops all processes; fails the test if the platform saw a violation or a
 * running host does not exit with status 0.
 */
void fleet_system_stop(fleet_system_t *sys);

void fleet_host_start(fleet_system_t *sys, unsigned host);
bool fleet_host_is_ready(fleet_system_t *sys, unsigned host);
/* Number of the host that owns the shard, or -1. */
int fleet_shard_owner(fleet_system_t *sys, unsigned shard);

/* Submits a job; steps is JSON.  Returns the HTTP status, 0 without a reply. */
int fleet_submit(fleet_system_t *sys, unsigned host, const char *id,
		 const char *payload, const char *steps);
int fleet_cancel(fleet_system_t *sys, unsigned host, const char *id);
/*
 * Returns the job's state as the host reports it, the HTTP status as text if
 * the host's reply has no state, or "" without a reply; g_free() the result.
 */
char *fleet_get_state(fleet_system_t *sys, unsigned host, const char *id);
void fleet_await_state(fleet_system_t *sys, unsigned host, const char *id,
		       const char *state);
/* One of the fake platform's counters. */
int64_t fleet_platform_counter(fleet_system_t *sys, const char *key);
/* One of a host's counters; -1 if the host has no such counter. */
int64_t fleet_host_counter(fleet_system_t *sys, unsigned host, const char *key);
/* Writes a key of the fake platform's store. */
void fleet_platform_put(fleet_system_t *sys, const char *key, const char *text);
/* JSON array of texts: violations that the fake platform saw. */
json_t *fleet_platform_violations(fleet_system_t *sys);

#endif
