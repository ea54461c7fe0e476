/*
 * Token bucket with ranks: bounds a rate of calls and lets urgent callers go
 * first.  A caller that gets no token counts as waiting until it withdraws,
 * and no caller of a lower rank gets a token meanwhile.
 */
#ifndef CORE_BUCKET_H
#define CORE_BUCKET_H

#include <stdbool.h>
#include <stdint.h>

#include "core_time.h"

#define GH_BUCKET_PRIORITIES 4 /* rank 0 is the most urgent */

typedef struct gh_bucket {
	int64_t rate_per_s;   /* tokens a second */
	int64_t burst;	      /* most tokens at once */
	int64_t micro_tokens; /* millionths of a token */
	gh_time_t refilled_at;
	unsigned waiting[GH_BUCKET_PRIORITIES];
} gh_bucket_t;

/* A full bucket. */
void gh_bucket_init(gh_bucket_t *bucket, int64_t rate, int64_t burst,
		    gh_time_t now);

/* Takes a token unless there is none or a more urgent caller waits. */
bool gh_bucket_take(gh_bucket_t *bucket, unsigned rank, gh_time_t now);

/* Enters and leaves the wait. */
void gh_bucket_add_waiter(gh_bucket_t *bucket, unsigned rank);
void gh_bucket_remove_waiter(gh_bucket_t *bucket, unsigned rank);

/* When there will be a whole token. */
gh_time_t gh_bucket_ready_time(const gh_bucket_t *bucket, gh_time_t now);

#endif
