#include "core_balance.h"

/* A report that arrives this long after a job was placed includes the job. */
#define REPORT_DELAY_USEC GH_USEC_PER_SEC
/*
 * Without a report a placed job counts for this long; its submission may have
 * failed.
 */
#define PLACED_MAX_USEC (10 * GH_USEC_PER_SEC)
/*
 * Share of a shard's capacity that tasks seldom get: what is left on a worker
 * is too small for one, or other tasks run there.
 */
#define HEADROOM_SHARE 0.1
/*
 * Queues that differ are levelled in this time.  It is some times longer than
 * what hosts know of the queues is old, so that they don't sway.
 */
#define LEVEL_MS 5000.0
/* What is known of queues counts in full at this age and less after it. */
#define WAITS_FRESH_USEC (2 * GH_USEC_PER_SEC)
#define WAITS_OLD_USEC (5 * GH_USEC_PER_SEC)

/* A job that this host has placed and that no report includes yet. */
typedef struct placed_job {
	gh_capacity_t size; /* all long-running tasks */
	gh_time_t reported_at;
	gh_time_t expires_at;
} placed_job_t;

typedef struct shard_entry {
	bool known;
	gh_shard_load_t load;
	gh_time_t reported_at;
	double level;	/* factor by which a job in hand prefers the shard */
	GArray *placed; /* placed_job_t */
} shard_entry_t;

struct gh_balance {
	uint32_t n_shards;
	shard_entry_t *shards;
};

static gh_capacity_t long_running_size(const gh_pipeline_t *job);
/* How much a shard is to be preferred for a job; negative: not at all. */
typedef double (*weight_t)(const shard_entry_t *shard,
			   const gh_capacity_t *size);

static bool has_fixed_step(const gh_pipeline_t *job);
static double sum_weights(const gh_balance_t *balance,
			  const gh_capacity_t *size, weight_t weigh);
static uint32_t choose_by_weight(const gh_balance_t *balance,
				 const gh_pipeline_t *job, weight_t weigh);
static double free_cores(const shard_entry_t *shard, const gh_capacity_t *job);
static double level_cores(const shard_entry_t *shard, const gh_capacity_t *job);
static double all_cores(const shard_entry_t *shard, const gh_capacity_t *job);
static double level_all_cores(const shard_entry_t *shard,
			      const gh_capacity_t *job);
static bool set_levels(gh_balance_t *balance, const gh_pipeline_t *job,
		       const gh_balance_query_t *query, weight_t weigh,
		       gh_time_t now);
static uint32_t scrambled_hash(const char *id);
static double free_share(const shard_entry_t *shard, const gh_capacity_t *job);
static double share_above_headroom(const shard_entry_t *shard,
				   const gh_capacity_t *job);
static double free_part(int64_t total, int64_t used, int64_t wanted);
static void remove_placed(shard_entry_t *shard, bool reported, gh_time_t now);

gh_balance_t *gh_balance_new(uint32_t shards)
{
	gh_balance_t *balance = g_new0(gh_balance_t, 1);
	uint32_t i;

	balance->n_shards = shards;
	balance->shards = g_new0(shard_entry_t, shards);
	for (i = 0; i < shards; i++)
		balance->shards[i].placed =
			g_array_new(FALSE, FALSE, sizeof(placed_job_t));
	return balance;
}

void gh_balance_free(gh_balance_t *balance)
{
	uint32_t i;

	if (!balance)
		return;
	for (i = 0; i < balance->n_shards; i++)
		g_array_free(balance->shards[i].placed, TRUE);
	g_free(balance->shards);
	g_free(balance);
}

void gh_balance_report(gh_balance_t *balance, uint32_t shard,
		       const gh_shard_load_t *load, gh_time_t now)
{
	shard_entry_t *entry = &balance->shards[shard];

	entry->known = load != NULL;
	if (!load)
		return;
	entry->load = *load;
	entry->reported_at = now;
	remove_placed(entry, true, now);
}

uint32_t gh_balance_choose(gh_balance_t *balance, const gh_pipeline_t *job,
			   const gh_balance_query_t *query, gh_time_t now)
{
	uint32_t hashed = query->hashed;
	placed_job_t placed = { .size = long_running_size(job),
				.reported_at = now + REPORT_DELAY_USEC,
				.expires_at = now + PLACED_MAX_USEC };
	bool long_running = gh_pipeline_is_long_running(job);
	bool best_effort = !long_running && !has_fixed_step(job);
	uint32_t best = hashed;
	uint32_t i;

	if (best_effort)
		return set_levels(balance, job, query, all_cores, now) ?
			       choose_by_weight(balance, job, level_all_cores) :
			       hashed;
	for (i = 0; i < balance->n_shards; i++)
		remove_placed(&balance->shards[i], false, now);
	if (balance->shards[hashed].known) {
		weight_t weigh =
			long_running ? share_above_headroom : level_cores;

		if (long_running &&
		    sum_weights(balance, &placed.size, weigh) <= 0)
			weigh = free_share;
		if (!long_running)
			set_levels(balance, job, query, free_cores, now);
		best = choose_by_weight(balance, job, weigh);
	}
	if (!long_running)
		return best;
	g_array_append_val(balance->shards[best].placed, placed);
	return best;
}

int64_t gh_balance_wait_ms(const gh_balance_t *balance, uint32_t shard,
			   const gh_pipeline_t *job,
			   const gh_balance_query_t *query, gh_time_t now,
			   gh_time_t *age)
{
	const shard_entry_t *entry = &balance->shards[shard];
	gh_wait_queue_t queue = gh_wait_queue(job, query->priority);
	int64_t wait_ms;

	*age = now - query->heard_at;
	if (!entry->known || !entry->load.waits.told)
		return GH_BALANCE_UNKNOWN;
	wait_ms = gh_waits_ms(&entry->load.waits, &queue);
	/* A report that tells of none is only written anew if that changes. */
	if (wait_ms)
		*age = MAX(*age, now - entry->reported_at);
	return wait_ms;
}

/*
 * Sets the factors by which the shards are preferred so that their queues come
 * level: what passes in LEVEL_MS goes to a shard as much less as its queue is
 * longer than the others'.  Returns false, and they are all 1, if nothing
 * waits, or a queue is not known or has long not been heard of.
 */
static bool set_levels(gh_balance_t *balance, const gh_pipeline_t *job,
		       const gh_balance_query_t *query, weight_t weigh,
		       gh_time_t now)
{
	double sum = 0, cores = 0;
	gh_time_t oldest = 0;
	bool known = true;
	double trust;
	uint32_t i;

	for (i = 0; i < balance->n_shards; i++) {
		shard_entry_t *shard = &balance->shards[i];
		double weight = MAX(weigh(shard, NULL), 0);
		gh_time_t age;
		int64_t wait_ms;

		shard->level = 1;
		if (weight <= 0)
			continue;
		wait_ms = gh_balance_wait_ms(balance, i, job, query, now, &age);
		known = known && wait_ms != GH_BALANCE_UNKNOWN;
		oldest = MAX(oldest, age);
		sum += weight * (double)wait_ms;
		cores += weight;
	}
	trust = (double)(WAITS_OLD_USEC - oldest) /
		(double)(WAITS_OLD_USEC - WAITS_FRESH_USEC);
	if (!known || sum <= 0 || trust <= 0)
		return false;
	for (i = 0; i < balance->n_shards; i++) {
		gh_time_t age;
		double wait_ms = (double)gh_balance_wait_ms(balance, i, job,
							    query, now, &age);

		balance->shards[i].level = MAX(
			1 + MIN(trust, 1) * (sum / cores - wait_ms) / LEVEL_MS,
			0);
	}
	return true;
}

/*
 * Chooses a shard with a probability in proportion to its weight, or the one
 * with the largest if none has any.  The id's hash stands for the random
 * number.  Hosts that decided for the largest weight would all choose the same
 * shard until the next report.
 */
static uint32_t choose_by_weight(const gh_balance_t *balance,
				 const gh_pipeline_t *job, weight_t weigh)
{
	gh_capacity_t size = long_running_size(job);
	double position = (double)scrambled_hash(job->id) / UINT32_MAX;
	double largest = -G_MAXDOUBLE;
	double sum = sum_weights(balance, &size, weigh);
	uint32_t best = 0;
	uint32_t i;

	for (i = 0; i < balance->n_shards; i++) {
		double weight = weigh(&balance->shards[i], &size);

		if (weight > largest) {
			largest = weight;
			best = i;
		}
	}
	position *= sum;
	for (i = 0; sum > 0 && i < balance->n_shards; i++) {
		double weight = weigh(&balance->shards[i], &size);

		if (weight <= 0)
			continue;
		best = i;
		position -= weight;
		if (position < 0)
			break;
	}
	return best;
}

static double sum_weights(const gh_balance_t *balance,
			  const gh_capacity_t *size, weight_t weigh)
{
	double sum = 0;
	uint32_t i;

	for (i = 0; i < balance->n_shards; i++)
		sum += MAX(weigh(&balance->shards[i], size), 0);
	return sum;
}

/*
 * Hash of the id that is independent of the shard that its plain hash names.
 * The constants are those of the finalizer of MurmurHash3.
 */
static uint32_t scrambled_hash(const char *id)
{
	uint32_t hash = g_str_hash(id);

	hash ^= hash >> 16;
	hash *= 0x85ebca6bU;
	hash ^= hash >> 13;
	hash *= 0xc2b2ae35U;
	return hash ^ hash >> 16;
}

void gh_capacity_add(gh_capacity_t *sum, const gh_resources_t *size, uint32_t n)
{
	sum->cores_milli += (int64_t)size->cores_milli * n;
	sum->memory_mb += (int64_t)size->memory_mb * n;
}

static gh_capacity_t long_running_size(const gh_pipeline_t *job)
{
	gh_capacity_t size = { 0 };
	uint32_t i;

	for (i = 0; i < job->n_steps; i++)
		if (job->steps[i].long_running)
			gh_capacity_add(&size, &job->steps[i].size,
					job->steps[i].tasks);
	return size;
}

/*
 * Share of the shard's capacity that long-running tasks leave once the job's
 * tasks run there: negative if they don't all fit, 0 if the load is unknown.
 */
static double free_share(const shard_entry_t *shard, const gh_capacity_t *job)
{
	gh_capacity_t used = shard->load.long_running;
	double cores, memory;
	guint i;

	if (!shard->known)
		return 0;
	for (i = 0; i < shard->placed->len; i++) {
		const placed_job_t *placed =
			&g_array_index(shard->placed, placed_job_t, i);

		used.cores_milli += placed->size.cores_milli;
		used.memory_mb += placed->size.memory_mb;
	}
	cores = free_part(shard->load.total.cores_milli, used.cores_milli,
			  job->cores_milli);
	memory = free_part(shard->load.total.memory_mb, used.memory_mb,
			   job->memory_mb);
	return MIN(cores, memory);
}

/* Negative for a shard in which some of the job's tasks may have to wait. */
static double share_above_headroom(const shard_entry_t *shard,
				   const gh_capacity_t *job)
{
	return free_share(shard, job) - HEADROOM_SHARE;
}

/*
 * Milli-cores that long-running tasks leave; as many fewer as they leave less
 * of the memory.
 */
static double free_cores(const shard_entry_t *shard, const gh_capacity_t *job)
{
	const gh_capacity_t *total = &shard->load.total;
	const gh_capacity_t *used = &shard->load.long_running;
	double cores, memory;

	(void)job;
	if (!shard->known || total->cores_milli <= 0 || total->memory_mb <= 0)
		return 0;
	cores = (double)(total->cores_milli - used->cores_milli);
	memory = (double)(total->memory_mb - used->memory_mb) /
		 (double)total->memory_mb;
	return MIN(cores, memory * (double)total->cores_milli);
}

/* The same, as far as the job in hand prefers the shard. */
static double level_cores(const shard_entry_t *shard, const gh_capacity_t *job)
{
	double cores = free_cores(shard, job);

	return cores > 0 ? cores * shard->level : cores;
}

/* Milli-cores of which best-effort tasks get what is unused. */
static double all_cores(const shard_entry_t *shard, const gh_capacity_t *job)
{
	(void)job;
	return shard->known ? (double)shard->load.total.cores_milli : 0;
}

static double level_all_cores(const shard_entry_t *shard,
			      const gh_capacity_t *job)
{
	return all_cores(shard, job) * shard->level;
}

static bool has_fixed_step(const gh_pipeline_t *job)
{
	uint32_t i;

	for (i = 0; i < job->n_steps; i++)
		if (!job->steps[i].best_effort)
			return true;
	return false;
}

static double free_part(int64_t total, int64_t used, int64_t wanted)
{
	if (!wanted)
		return 1;
	if (total <= 0)
		return -G_MAXDOUBLE;
	return (double)(total - used - wanted) / (double)total;
}

static void remove_placed(shard_entry_t *shard, bool reported, gh_time_t now)
{
	guint i = 0;

	while (i < shard->placed->len) {
		const placed_job_t *placed =
			&g_array_index(shard->placed, placed_job_t, i);

		if (now >= placed->expires_at ||
		    (reported && now >= placed->reported_at))
			g_array_remove_index(shard->placed, i);
		else
			i++;
	}
}
