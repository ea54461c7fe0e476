/*
 * Placement of tasks on the workers of one shard.
 *
 * A worker's use is the sum of what its tasks declared, plus what they were
 * seen to use beyond that.  A task fits where the sum stays within the
 * worker's size.  Workers are kept in buckets by free cores, and a choice
 * looks at a bounded number of them, whatever the size of the fleet.
 */
#ifndef CORE_PLACE_H
#define CORE_PLACE_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#include "core_document.h"

typedef struct gh_resources {
	uint32_t cores_milli; /* thousandths of a core */
	uint32_t memory_mb;
	uint32_t accelerators;
} gh_resources_t;

typedef struct gh_place gh_place_t;

/* One worker as placement sees it. */
typedef struct gh_place_worker {
	char name[GH_NAME_MAX + 1];
	uint16_t rack;	     /* small number of the rack's name */
	gh_resources_t size; /* what it can hold */
	gh_resources_t
		reserved; /* declared by the tasks that it may be running */
	gh_resources_t overuse; /* observed beyond the declared sizes */
	uint32_t tasks;
	bool usable; /* takes new tasks */
} gh_place_worker_t;

/* What is asked of a choice. */
typedef struct gh_place_request {
	gh_resources_t size;
	gh_handle_t avoid; /* taken only when nothing else fits */
	bool spread;	   /* emptiest workers first, else fullest first */
	uint64_t seed;
	/* Cost of a worker, lower is better; may be NULL. */
	int64_t (*cost)(void *ctx, gh_handle_t worker);
	void *ctx;
} gh_place_request_t;

gh_place_t *gh_place_new(void);
void gh_place_free(gh_place_t *place);

/*
 * Adds a worker or changes its size and rack.  Handles stay valid for the
 * life of the table.
 */
gh_handle_t gh_place_worker_set(gh_place_t *place, const char *name,
				const char *rack, const gh_resources_t *size);
gh_handle_t gh_place_find(const gh_place_t *place, const char *name);
const gh_place_worker_t *gh_place_worker(const gh_place_t *place,
					 gh_handle_t worker);
size_t gh_place_count(const gh_place_t *place);

/* Whether new tasks may be placed on the worker. */
void gh_place_usable_set(gh_place_t *place, gh_handle_t worker, bool usable);

/* Counts a task in or out by its declared size. */
void gh_place_reserve(gh_place_t *place, gh_handle_t worker,
		      const gh_resources_t *size);
void gh_place_release(gh_place_t *place, gh_handle_t worker,
		      const gh_resources_t *size);

/* Sets what the worker's tasks use beyond their declared sizes. */
void gh_place_overuse_set(gh_place_t *place, gh_handle_t worker,
			  const gh_resources_t *extra);

/* Whether the size fits the worker now, and with freed given back. */
bool gh_place_fits(const gh_place_t *place, gh_handle_t worker,
		   const gh_resources_t *size, const gh_resources_t *freed);

/* The cheapest of the workers looked at, or GH_HANDLE_NONE. */
gh_handle_t gh_place_choose(gh_place_t *place, const gh_place_request_t *want);

/* Whether any worker could hold the size when empty; else *largest is set. */
bool gh_place_feasible(const gh_place_t *place, const gh_resources_t *size,
		       gh_handle_t *largest);

/* Sum of the sizes of all workers. */
gh_resources_t gh_place_total(const gh_place_t *place);

#endif
