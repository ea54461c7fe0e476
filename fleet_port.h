/*
 * What the job service asks of its surroundings, behind vtables: the store,
 * the workers, and the records that others keep in the store.  All calls
 * return at once; their callbacks run on the loop's thread, exactly once.
 */
#ifndef FLEET_PORT_H
#define FLEET_PORT_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#include "core_fleet.h"

/* Parts of the store's keys; keys are given and come relative to them. */
typedef enum fleet_keyspace {
	FLEET_KEYSPACE_OWN,	/* written by this product */
	FLEET_KEYSPACE_WORKERS, /* written by the workers */
	FLEET_KEYSPACE_CONFIG,	/* written by the operator */
	FLEET_KEYSPACES
} fleet_keyspace_t;

typedef enum fleet_result {
	FLEET_OK,
	FLEET_REFUSED,	      /* nothing was done */
	FLEET_CONFLICT,	      /* a condition did not hold; nothing was done */
	FLEET_NOT_FOUND,      /* no such key or lease; nothing was done */
	FLEET_COMPACTED,      /* the history asked for is gone */
	FLEET_OUTCOME_UNKNOWN /* no answer: it may have been or may yet be done
			       */
} fleet_result_t;

typedef struct fleet_item {
	char *key;
	char *value; /* NUL-terminated; NULL: deleted, absent or unreadable */
	uint64_t revision; /* of its last change; 0: absent */
} fleet_item_t;

typedef struct fleet_reply {
	fleet_result_t result;
	uint64_t revision; /* the store's, or of the commit */
	const fleet_item_t *items;
	size_t n_items;
	bool more;	/* further items follow the last one */
	uint64_t lease; /* granted */
} fleet_reply_t;

typedef void (*fleet_store_done_t)(void *ctx, const fleet_reply_t *reply);

/* Entries of one commit; all of it happens or nothing. */
typedef enum fleet_entry_kind {
	FLEET_EXPECT, /* the key is at this revision, 0: absent */
	FLEET_PUT,
	FLEET_DELETE
} fleet_entry_kind_t;

typedef struct fleet_entry {
	fleet_entry_kind_t kind;
	const char *key;
	const char *value; /* PUT */
	uint64_t revision; /* EXPECT */
	uint64_t lease;	   /* PUT; 0: none */
} fleet_entry_t;

#define FLEET_ENTRIES_MAX 32 /* of one commit; the store's limit */

typedef struct fleet_store fleet_store_t;
typedef struct fleet_workers fleet_workers_t;
typedef struct fleet_config fleet_config_t;

typedef struct fleet_store_ops {
	/* One page of the items after a key, "" for the first. */
	void (*range)(fleet_store_t *store, fleet_keyspace_t space,
		      const char *prefix, const char *after,
		      fleet_store_done_t done, void *ctx);
	void (*get)(fleet_store_t *store, fleet_keyspace_t space,
		    const char *key, fleet_store_done_t done, void *ctx);
	/* Waits for changes after a revision. */
	void (*watch)(fleet_store_t *store, fleet_keyspace_t space,
		      const char *prefix, uint64_t after, int64_t wait_ms,
		      fleet_store_done_t done, void *ctx);
	/* On a conflict the items are those expected, as they are now. */
	void (*commit)(fleet_store_t *store, const fleet_entry_t *entries,
		       size_t n, fleet_store_done_t done, void *ctx);
	void (*grant_lease)(fleet_store_t *store, int64_t ttl_ms,
			    fleet_store_done_t done, void *ctx);
	void (*renew_lease)(fleet_store_t *store, uint64_t lease,
			    fleet_store_done_t done, void *ctx);
	/* Records of others; false when they name nothing to use. */
	bool (*parse_worker)(const char *id, const char *value,
			     gh_worker_entry_t *entry);
	fleet_config_t *(*parse_config)(const char *value, GError **err);
	/* Key of the newest configuration within its space. */
	const char *config_key;
} fleet_store_ops_t;

struct fleet_store {
	const fleet_store_ops_t *ops;
};

typedef void (*fleet_renewal_done_t)(void *ctx, const char *worker,
				     gh_order_reply_t answer,
				     const gh_worker_report_t *report);
typedef void (*fleet_order_done_t)(void *ctx, const gh_order_t *order,
				   gh_order_reply_t answer);

typedef struct fleet_workers_ops {
	void (*renew_lease)(fleet_workers_t *workers,
			    const gh_worker_renewal_t *hold, uint64_t epoch,
			    fleet_renewal_done_t done, void *ctx);
	/* The order in the callback has no payload and no checkpoint. */
	void (*send_order)(fleet_workers_t *workers, const gh_order_t *order,
			   uint64_t epoch, fleet_order_done_t done, void *ctx);
} fleet_workers_ops_t;

struct fleet_workers {
	const fleet_workers_ops_t *ops;
};

/* A queue: what callers name, and whose workers run its jobs. */
typedef struct fleet_queue {
	gh_queue_policy_t policy;
	char host[GH_QUEUE_MAX + 1];   /* the callers' Host */
	char prefix[GH_QUEUE_MAX + 1]; /* of the path */
	char service[GH_QUEUE_MAX + 1];
	int64_t timeout_ms;
	bool has_placement_advice; /* only named workers may run a step: not met
				      yet */
} fleet_queue_t;

/* The operator's configuration; never changed once it is in force. */
struct fleet_config {
	int refs;
	uint64_t version;
	fleet_queue_t *queues;
	size_t n_queues;
	int64_t body_max_bytes; /* bytes */
};

fleet_config_t *fleet_config_ref(fleet_config_t *config);
void fleet_config_unref(fleet_config_t *config);

#endif
