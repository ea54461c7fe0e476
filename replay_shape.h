/*
 * Generates documents for deployments of a given size, for generated traces
 * and benchmarks.
 */
#ifndef REPLAY_SHAPE_H
#define REPLAY_SHAPE_H

#include <stddef.h>
#include <stdint.h>

#include <glib.h>

/* A service of the document. */
typedef struct replay_shape_service {
	const char *name;
	const char *department;
	const char *class; /* class of the service: "latency" or "batch" */
	uint32_t expected_ms;
} replay_shape_service_t;

/*
 * Size of a deployment.  executors and workers are totals, spread evenly over
 * the domains.
 */
typedef struct replay_shape {
	/* Names of the failure domains; NULL-terminated. */
	const char *const *domains;
	size_t entries_per_domain;
	size_t executors;
	size_t workers;
	uint32_t slots;	      /* slots of each executor */
	uint32_t connections; /* maximum of connections to each executor */
	uint32_t worker_cores;
	uint32_t worker_memory_mb;
	size_t workers_per_rack;
	/* Names of the departments; NULL-terminated. */
	const char *const *departments;
	const replay_shape_service_t *services;
	size_t n_services;
	size_t shards_per_domain;
	int64_t request_max_ms;
} replay_shape_t;

/* Returns the text of a valid document, to be freed by g_free(). */
char *replay_shape_document(const replay_shape_t *shape);

/* Return the sizes of the two deployments that exist today. */
const replay_shape_t *replay_shape_association(void);
const replay_shape_t *replay_shape_haddad(void);

#endif
