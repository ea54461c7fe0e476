#include "core_bucket.h"

#define MICRO 1000000LL

static void refill(gh_bucket_t *bucket, gh_time_t now);

void gh_bucket_init(gh_bucket_t *bucket, int64_t rate, int64_t burst,
		    gh_time_t now)
{
	*bucket = (gh_bucket_t){
		.rate_per_s = rate,
		.burst = burst,
		.micro_tokens = burst * MICRO,
		.refilled_at = now,
	};
}

bool gh_bucket_take(gh_bucket_t *bucket, unsigned rank, gh_time_t now)
{
	unsigned i;

	refill(bucket, now);
	for (i = 0; i < rank; i++)
		if (bucket->waiting[i])
			return false;
	if (bucket->micro_tokens < MICRO)
		return false;
	bucket->micro_tokens -= MICRO;
	return true;
}

void gh_bucket_add_waiter(gh_bucket_t *bucket, unsigned rank)
{
	bucket->waiting[rank]++;
}

void gh_bucket_remove_waiter(gh_bucket_t *bucket, unsigned rank)
{
	bucket->waiting[rank]--;
}

gh_time_t gh_bucket_ready_time(const gh_bucket_t *bucket, gh_time_t now)
{
	int64_t missing = MICRO - bucket->micro_tokens;

	if (missing <= 0)
		return now;
	return bucket->refilled_at +
	       (missing + bucket->rate_per_s - 1) / bucket->rate_per_s;
}

static void refill(gh_bucket_t *bucket, gh_time_t now)
{
	/* One token a second is one millionth of a token a microsecond. */
	int64_t most = bucket->burst * MICRO;
	gh_time_t passed = now - bucket->refilled_at;

	if (passed <= 0)
		return;
	if (passed > most / bucket->rate_per_s)
		bucket->micro_tokens = most;
	else
		bucket->micro_tokens += passed * bucket->rate_per_s;
	if (bucket->micro_tokens > most)
		bucket->micro_tokens = most;
	bucket->refilled_at = now;
}
