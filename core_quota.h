/*
 * Shares of a shard's workers between departments.
 *
 * A department's share is its largest part of any one resource.  Up to its
 * guarantee it may take back what others borrowed; above it, it borrows what
 * is unused, up to its limit.
 */
#ifndef CORE_QUOTA_H
#define CORE_QUOTA_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#include "core_place.h"

#define GH_SHARE_WHOLE_PPM 1000000 /* the whole shard, in parts per million */

typedef struct gh_quota gh_quota_t;

typedef struct gh_quota_share {
	char name[GH_NAME_MAX + 1];
	uint32_t weight;
	uint32_t guarantee_ppm; /* parts per million */
	uint32_t limit_ppm;	/* parts per million */
	uint32_t jobs_max;
	gh_resources_t used;
	uint32_t jobs; /* unfinished */
} gh_quota_share_t;

gh_quota_t *gh_quota_new(void);
void gh_quota_free(gh_quota_t *quota);

/* The resources that are shared. */
void gh_quota_total_set(gh_quota_t *quota, const gh_resources_t *total);

/* Adds or changes a department; handles stay valid. */
gh_handle_t gh_quota_department_set(gh_quota_t *quota,
				    const gh_department_t *department);
gh_handle_t gh_quota_find(const gh_quota_t *quota, const char *name);
const gh_quota_share_t *gh_quota_share(const gh_quota_t *quota,
				       gh_handle_t department);
size_t gh_quota_count(const gh_quota_t *quota);

void gh_quota_charge(gh_quota_t *quota, gh_handle_t department,
		     const gh_resources_t *size);
void gh_quota_release(gh_quota_t *quota, gh_handle_t department,
		      const gh_resources_t *size);
void gh_quota_jobs_add(gh_quota_t *quota, gh_handle_t department, int n);

/* Share in parts per million after taking size more; size may be NULL. */
uint32_t gh_quota_share_ppm(const gh_quota_t *quota, gh_handle_t department,
			    const gh_resources_t *size);

/* Share of size alone, in parts per million. */
uint32_t gh_quota_dominant_share_ppm(const gh_quota_t *quota,
				     const gh_resources_t *size);

/* Whether size more stays within the limit. */
bool gh_quota_within_limit(const gh_quota_t *quota, gh_handle_t department,
			   const gh_resources_t *size);

/* Whether size more stays within the guarantee. */
bool gh_quota_within_guarantee(const gh_quota_t *quota, gh_handle_t department,
			       const gh_resources_t *size);

/* Share above the guarantee, in parts per million. */
uint32_t gh_quota_borrowed_ppm(const gh_quota_t *quota, gh_handle_t department);

/*
 * Order in which departments are served: those below their guarantee first,
 * then by share per weight.  Negative when a goes before b.
 */
int gh_quota_compare(const gh_quota_t *quota, gh_handle_t a, gh_handle_t b);

#endif
