/*
 * Settings of a host that runs the job service, read from an INI file.
 * geraniumhoistd.conf(5) is the reference.
 */
#ifndef FLEET_SETTINGS_H
#define FLEET_SETTINGS_H

#include <stdbool.h>
#include <stdint.h>

#include <glib.h>

#include "core_document.h"
#include "log.h"

typedef struct fleet_settings {
	char name[GH_NAME_MAX + 1];
	char domain[GH_NAME_MAX + 1];
	/* Listening addresses for callers, readiness checks and metrics. */
	char callers[GH_ADDRESS_MAX + 1];
	char readiness[GH_ADDRESS_MAX + 1];
	char metrics[GH_ADDRESS_MAX + 1];
	char store[GH_ADDRESS_MAX + 1]; /* address of the key-value store */
	log_level_t log_level;
	/*
	 * Number of shards; 0: store_writes_per_s / STORE_WRITES_PER_SHARD, at
	 * least 1.
	 */
	uint32_t shards;
	/* Limit of the writes to the store, for all hosts together. */
	uint32_t store_writes_per_s;
	/* Memory and descriptors that this process may use. */
	uint32_t memory_mb;
	uint32_t descriptors;
	/* Max time for a request to arrive, and for a response to leave. */
	uint32_t transfer_ms;
	uint32_t cores_milli;  /* cores of this host, in thousandths */
	uint32_t lease_ms;     /* lease granted to workers */
	uint32_t lease_max_ms; /* longest lease that workers accept */
	uint32_t stop_ms;      /* longest time to stop a task */
	/*
	 * Max time from a request to empty a failure domain to the last start
	 * there; 0: there are no such requests.
	 */
	uint32_t empty_domain_ms;
	uint32_t grace_ms;	    /* max time from SIGTERM to the exit */
	uint32_t ended_retention_s; /* how long states of ended jobs are kept */
	/*
	 * A job is refused that is expected to end later than this, in
	 * thousandths of its objective; 0: none is.
	 */
	uint32_t refuse_beyond_milli;
} fleet_settings_t;

/* Whether the file has a [fleet] group; false if it can't be read. */
bool fleet_settings_recognize(const char *path);

/*
 * Reads and checks the file; the caller frees the settings by g_free().  NULL
 * on failure, with an error that names the file, the group and the key.
 */
fleet_settings_t *fleet_settings_load(const char *path, GError **err);

#endif
