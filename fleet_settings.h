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
	char callers[GH_ADDRESS_MAX + 1];   /* where callers connect */
	char readiness[GH_ADDRESS_MAX + 1]; /* where the balancer asks */
	char metrics[GH_ADDRESS_MAX + 1];
	char store[GH_ADDRESS_MAX + 1];
	log_level_t log_level;
	uint32_t shards;	     /* 0: by the store's rate of writes */
	uint32_t store_writes_per_s; /* of all hosts together */
	uint32_t cores_milli;	     /* of this host, thousandths of a core */
	uint32_t lease_ms;	     /* that workers are granted */
	uint32_t lease_max_ms;	     /* longest that workers take */
	uint32_t stop_ms;	     /* longest stop of a task */
	uint32_t grace_ms;	     /* from SIGTERM to the end */
	uint32_t ended_retention_s;  /* how long ended jobs are known */
} fleet_settings_t;

/* Whether the file is one of these, by its group. */
bool fleet_settings_recognize(const char *path);

/* NULL with a typed error that names the place. */
fleet_settings_t *fleet_settings_load(const char *path, GError **err);

#endif
