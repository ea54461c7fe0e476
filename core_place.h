/*
 * Placement of tasks on the workers of one shard.
 *
 * The usage of a worker is the sum of the declared sizes of its tasks, plus
 * what they were observed to use beyond these.  A task fits where the sum stays
 * within the worker's size.  Workers are kept in buckets by free cores, and a
 * bounded number of them is scanned per request, however many there are.
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
	uint16_t rack;	     /* id assigned to the rack's name */
	gh_resources_t size; /* total capacity of the worker */
	/*
	 * Sum of the declared sizes of the tasks that may be running on the
	 * worker.
	 */
	gh_resources_t reserved;
	/* usage observed on the worker in excess of reserved */
	gh_resources_t overuse;
	uint32_t tasks; /* number of tasks that may be running on the worker */
	bool usable;	/* new tasks may be placed on the worker */
} gh_place_worker_t;

/* Request for a worker that can run a task. */
typedef struct gh_place_request {
	gh_resources_t size;
	/* worker that is chosen only when no other one fits */
	gh_handle_t avoid;
	bool spread;   /* scan the emptiest workers first, else the fullest */
	uint64_t seed; /* determines where the scan of each bucket starts */
	/* Cost of a worker, lower is better; NULL: all are equal. */
	int64_t (*cost)(void *ctx, gh_handle_t worker);
	void *ctx;
} gh_place_request_t;

gh_place_t *gh_place_new(void);
void gh_place_free(gh_place_t *place);

/*
 * Adds a worker, not usable yet, or changes its size and rack.  Handles stay
 * valid until gh_place_free().
 */
gh_handle_t gh_place_worker_set(gh_place_t *place, const char *name,
				const char *rack, const gh_resources_t *size);
/* Returns GH_HANDLE_NONE when there is no such worker. */
gh_handle_t gh_place_find(const gh_place_t *place, const char *name);
const gh_place_worker_t *gh_place_worker(const gh_place_t *place,
					 gh_handle_t worker);
size_t gh_place_count(const gh_place_t *place);

/* Sets whether new tasks may be placed on the worker. */
void gh_place_usable_set(gh_place_t *place, gh_handle_t worker, bool usable);

/* Add a task of that declared size to the worker's usage, or remove it. */
void gh_place_reserve(gh_place_t *place, gh_handle_t worker,
		      const gh_resources_t *size);
void gh_place_release(gh_place_t *place, gh_handle_t worker,
		      const gh_resources_t *size);

/*
 * Sets the usage observed on the worker beyond the declared sizes of its tasks.
 */
void gh_place_overuse_set(gh_place_t *place, gh_handle_t worker,
			  const gh_resources_t *overuse);

/*
 * Whether a task of that size fits the worker now or, with freed not NULL,
 * would fit after the resources in freed had been released.
 */
bool gh_place_fits(const gh_place_t *place, gh_handle_t worker,
		   const gh_resources_t *size, const gh_resources_t *freed);

/*
 * Returns the worker with the lowest cost among those that were scanned and fit
 * the request, or GH_HANDLE_NONE.
 */
gh_handle_t gh_place_choose(gh_place_t *place,
			    const gh_place_request_t *request);

/*
 * Whether a task of that size would fit some worker if the worker had no tasks.
 * If not, *largest is the worker with the most cores, or GH_HANDLE_NONE when
 * there are no workers.
 */
bool gh_place_feasible(const gh_place_t *place, const gh_resources_t *size,
		       gh_handle_t *largest);

/* Sum of the sizes of all workers. */
gh_resources_t gh_place_total(const gh_place_t *place);

#endif
