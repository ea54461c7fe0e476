/*
 * Quotas: how departments share the resources of a shard's workers.
 *
 * The share of a department is its dominant share, the largest of its parts of
 * any one resource.  Up to its guarantee a department may reclaim what others
 * have borrowed; above the guarantee it borrows unused resources, up to its
 * limit.
 */
#ifndef CORE_QUOTA_H
#define CORE_QUOTA_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#include "core_place.h"

/* Share of the whole shard, parts per million. */
#define GH_SHARE_WHOLE_PPM 1000000

typedef struct gh_quota gh_quota_t;

/* Quota and usage of one department. */
typedef struct gh_quota_share {
	char name[GH_NAME_MAX + 1];
	uint32_t weight;
	uint32_t guarantee_ppm;
	uint32_t limit_ppm;
	uint32_t jobs_max;
	gh_resources_t used;
	uint32_t jobs; /* number of unfinished jobs */
} gh_quota_share_t;

gh_quota_t *gh_quota_new(void);
void gh_quota_free(gh_quota_t *quota);

/* Sets the resources that are shared: those of all workers of the shard. */
void gh_quota_total_set(gh_quota_t *quota, const gh_resources_t *total);

/* Adds or changes a department; handles stay valid until gh_quota_free(). */
gh_handle_t gh_quota_department_set(gh_quota_t *quota,
				    const gh_department_t *department);
/* Returns GH_HANDLE_NONE when there is no such department. */
gh_handle_t gh_quota_find(const gh_quota_t *quota, const char *name);
const gh_quota_share_t *gh_quota_share(const gh_quota_t *quota,
				       gh_handle_t department);
size_t gh_quota_count(const gh_quota_t *quota);

/* Add resources to the usage of a department, or remove them. */
void gh_quota_charge(gh_quota_t *quota, gh_handle_t department,
		     const gh_resources_t *size);
void gh_quota_release(gh_quota_t *quota, gh_handle_t department,
		      const gh_resources_t *size);
/*
 * Changes a department's number of unfinished jobs by n, which may be negative.
 */
void gh_quota_jobs_add(gh_quota_t *quota, gh_handle_t department, int n);

/*
 * Dominant share of a department with size added to its usage; size may be
 * NULL.
 */
uint32_t gh_quota_share_ppm(const gh_quota_t *quota, gh_handle_t department,
			    const gh_resources_t *size);

/* Dominant share that size alone is of the shard's resources. */
uint32_t gh_quota_dominant_share_ppm(const gh_quota_t *quota,
				     const gh_resources_t *size);

/*
 * Whether the department's dominant share, with size added to its usage, is
 * within its limit.
 */
bool gh_quota_within_limit(const gh_quota_t *quota, gh_handle_t department,
			   const gh_resources_t *size);

/*
 * Whether the department's dominant share, with size added to its usage, is
 * within its guarantee.
 */
bool gh_quota_within_guarantee(const gh_quota_t *quota, gh_handle_t department,
			       const gh_resources_t *size);

/* Part of the department's dominant share that is above its guarantee. */
uint32_t gh_quota_borrowed_ppm(const gh_quota_t *quota, gh_handle_t department);

/*
 * Order in which departments are served: those below their guarantee first, by
 * dominant share relative to the guarantee, then the others by dominant share
 * relative to the weight.  Negative when a goes before b.
 */
int gh_quota_compare(const gh_quota_t *quota, gh_handle_t a, gh_handle_t b);

#endif
