/*
 * Token bucket with priorities: bounds a rate of calls and lets urgent callers
 * go first.  A caller that gets no token registers as a waiter; until it is
 * removed, no caller of a lower priority gets a token.
 */
#ifndef CORE_BUCKET_H
#define CORE_BUCKET_H

#include <stdbool.h>
#include <stdint.h>

#include "core_time.h"

#define GH_BUCKET_PRIORITIES 4 /* priority 0 is the most urgent */

typedef struct gh_bucket {
	int64_t rate_per_s;
	int64_t burst;	      /* max tokens that the bucket holds */
	int64_t micro_tokens; /* millionths of a token held at refilled_at */
	gh_time_t refilled_at;
	/* Number of registered waiters, by priority. */
	unsigned waiting[GH_BUCKET_PRIORITIES];
} gh_bucket_t;

/* Initializes a bucket that is full of tokens. */
void gh_bucket_init(gh_bucket_t *bucket, int64_t rate_per_s, int64_t burst,
		    gh_time_t now);

/*
 * Takes a token.  Returns false when the bucket has none or a more urgent
 * caller is waiting.
 */
bool gh_bucket_take(gh_bucket_t *bucket, unsigned priority, gh_time_t now);

/* Register or remove a caller that waits for a token. */
void gh_bucket_add_waiter(gh_bucket_t *bucket, unsigned priority);
void gh_bucket_remove_waiter(gh_bucket_t *bucket, unsigned priority);

/* Time at which a whole token will be available. */
gh_time_t gh_bucket_ready_time(const gh_bucket_t *bucket, gh_time_t now);

#endif
