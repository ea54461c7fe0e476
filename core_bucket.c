#include "core_bucket.h"

#define MICRO_PER_TOKEN 1000000LL

static void refill(gh_bucket_t *bucket, gh_time_t now);

void gh_bucket_init(gh_bucket_t *bucket, int64_t rate_per_s, int64_t burst,
		    gh_time_t now)
{
	*bucket = (gh_bucket_t){
		.rate_per_s = rate_per_s,
		.burst = burst,
		.micro_tokens = burst * MICRO_PER_TOKEN,
		.refilled_at = now,
	};
}

bool gh_bucket_take(gh_bucket_t *bucket, unsigned priority, gh_time_t now)
{
	unsigned i;

	refill(bucket, now);
	for (i = 0; i < priority; i++)
		if (bucket->waiting[i])
			return false;
	if (bucket->micro_tokens < MICRO_PER_TOKEN)
		return false;
	bucket->micro_tokens -= MICRO_PER_TOKEN;
	return true;
}

void gh_bucket_add_waiter(gh_bucket_t *bucket, unsigned priority)
{
	bucket->waiting[priority]++;
}

void gh_bucket_remove_waiter(gh_bucket_t *bucket, unsigned priority)
{
	bucket->waiting[priority]--;
}

gh_time_t gh_bucket_ready_time(const gh_bucket_t *bucket, gh_time_t now)
{
	int64_t missing = MICRO_PER_TOKEN - bucket->micro_tokens;

	if (missing <= 0)
		return now;
	return bucket->refilled_at +
	       (missing + bucket->rate_per_s - 1) / bucket->rate_per_s;
}

static void refill(gh_bucket_t *bucket, gh_time_t now)
{
	/* At one token per second, a microsecond adds one micro-token. */
	int64_t max_micro_tokens = bucket->burst * MICRO_PER_TOKEN;
	gh_time_t elapsed_usec = now - bucket->refilled_at;

	if (elapsed_usec <= 0)
		return;
	if (elapsed_usec > max_micro_tokens / bucket->rate_per_s)
		bucket->micro_tokens = max_micro_tokens;
	else
		bucket->micro_tokens += elapsed_usec * bucket->rate_per_s;
	if (bucket->micro_tokens > max_micro_tokens)
		bucket->micro_tokens = max_micro_tokens;
	bucket->refilled_at = now;
}
