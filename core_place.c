#include "core_place.h"

#include <string.h>

#define N_BUCKETS 64
#define SCAN_MAX 48	/* max workers scanned for one request */
#define CANDIDATE_MAX 8 /* max fitting workers compared for one request */
/*
 * Cost of a request's avoid worker, above all others: it is chosen only when no
 * other one fits.
 */
#define AVOID_COST (INT64_MAX / 2)

typedef struct entry {
	gh_place_worker_t worker;
	uint8_t bucket;
	/* index in the worker's bucket; valid while the worker is usable */
	uint32_t pos;
} entry_t;

struct gh_place {
	GArray *workers;     /* entry_t, by handle */
	GHashTable *by_name; /* worker name to handle + 1 */
	GHashTable *racks;   /* rack name to rack id + 1 */
	/* Handles of usable workers, by free cores. */
	GArray *buckets[N_BUCKETS];
	uint64_t non_empty;	  /* one bit for each non-empty bucket */
	uint32_t max_cores_milli; /* cores of the largest worker */
};

/* State of the search for a worker for one request. */
typedef struct search {
	const gh_place_request_t *request;
	unsigned n_scanned;
	unsigned n_fitting;
	gh_handle_t best;
	int64_t best_cost;
} search_t;

static entry_t *entry_at(const gh_place_t *place, gh_handle_t worker);
static uint16_t rack_id(gh_place_t *place, const char *rack);
static uint8_t bucket_index(const gh_place_t *place, uint32_t free_milli);
static uint32_t free_cores_milli(const gh_place_worker_t *w);
static void bucket_add(gh_place_t *place, gh_handle_t worker);
static void bucket_remove(gh_place_t *place, gh_handle_t worker);
static void bucket_update(gh_place_t *place, gh_handle_t worker);
static void rebuild_buckets(gh_place_t *place);
static bool search_bucket(const gh_place_t *place, unsigned bucket,
			  search_t *search);
static void compare_worker(const gh_place_t *place, gh_handle_t worker,
			   search_t *search);
static bool fits_within(uint64_t used, uint64_t more, uint64_t size);

gh_place_t *gh_place_new(void)
{
	gh_place_t *place = g_new0(gh_place_t, 1);
	size_t i;

	place->workers = g_array_new(FALSE, TRUE, sizeof(entry_t));
	place->by_name =
		g_hash_table_new_full(g_str_hash, g_str_equal, g_free, NULL);
	place->racks =
		g_hash_table_new_full(g_str_hash, g_str_equal, g_free, NULL);
	for (i = 0; i < N_BUCKETS; i++)
		place->buckets[i] =
			g_array_new(FALSE, FALSE, sizeof(gh_handle_t));
	place->max_cores_milli = 1;
	return place;
}

void gh_place_free(gh_place_t *place)
{
	size_t i;

	if (!place)
		return;
	for (i = 0; i < N_BUCKETS; i++)
		g_array_free(place->buckets[i], TRUE);
	g_hash_table_unref(place->racks);
	g_hash_table_unref(place->by_name);
	g_array_free(place->workers, TRUE);
	g_free(place);
}

gh_handle_t gh_place_worker_set(gh_place_t *place, const char *name,
				const char *rack, const gh_resources_t *size)
{
	gh_handle_t worker = gh_place_find(place, name);
	entry_t added = { .worker = { .usable = false } };
	gh_place_worker_t *w;

	if (worker == GH_HANDLE_NONE) {
		worker = (gh_handle_t)place->workers->len;
		g_strlcpy(added.worker.name, name, sizeof(added.worker.name));
		g_array_append_val(place->workers, added);
		g_hash_table_insert(place->by_name, g_strdup(name),
				    GUINT_TO_POINTER(worker + 1));
	}
	w = &entry_at(place, worker)->worker;
	w->rack = rack_id(place, rack);
	w->size = *size;
	if (size->cores_milli > place->max_cores_milli) {
		place->max_cores_milli = size->cores_milli;
		rebuild_buckets(place);
	}
	bucket_update(place, worker);
	return worker;
}

gh_handle_t gh_place_find(const gh_place_t *place, const char *name)
{
	void *found = g_hash_table_lookup(place->by_name, name);

	if (!found)
		return GH_HANDLE_NONE;
	return (gh_handle_t)(GPOINTER_TO_UINT(found) - 1);
}

const gh_place_worker_t *gh_place_worker(const gh_place_t *place,
					 gh_handle_t worker)
{
	return &entry_at(place, worker)->worker;
}

size_t gh_place_count(const gh_place_t *place)
{
	return place->workers->len;
}

void gh_place_usable_set(gh_place_t *place, gh_handle_t worker, bool usable)
{
	entry_t *entry = entry_at(place, worker);

	if (entry->worker.usable == usable)
		return;
	if (!usable)
		bucket_remove(place, worker);
	entry->worker.usable = usable;
	if (usable)
		bucket_add(place, worker);
}

void gh_place_reserve(gh_place_t *place, gh_handle_t worker,
		      const gh_resources_t *size)
{
	gh_place_worker_t *w = &entry_at(place, worker)->worker;

	w->reserved.cores_milli += size->cores_milli;
	w->reserved.memory_mb += size->memory_mb;
	w->reserved.accelerators += size->accelerators;
	w->tasks++;
	bucket_update(place, worker);
}

void gh_place_release(gh_place_t *place, gh_handle_t worker,
		      const gh_resources_t *size)
{
	gh_place_worker_t *w = &entry_at(place, worker)->worker;

	w->reserved.cores_milli -= size->cores_milli;
	w->reserved.memory_mb -= size->memory_mb;
	w->reserved.accelerators -= size->accelerators;
	w->tasks--;
	bucket_update(place, worker);
}

void gh_place_overuse_set(gh_place_t *place, gh_handle_t worker,
			  const gh_resources_t *overuse)
{
	entry_at(place, worker)->worker.overuse = *overuse;
	bucket_update(place, worker);
}

bool gh_place_fits(const gh_place_t *place, gh_handle_t worker,
		   const gh_resources_t *size, const gh_resources_t *freed)
{
	static const gh_resources_t none = { .cores_milli = 0 };
	const gh_place_worker_t *w = &entry_at(place, worker)->worker;
	const gh_resources_t *released = freed ? freed : &none;

	return fits_within((uint64_t)w->reserved.cores_milli +
				   w->overuse.cores_milli,
			   size->cores_milli,
			   (uint64_t)w->size.cores_milli +
				   released->cores_milli) &&
	       fits_within((uint64_t)w->reserved.memory_mb +
				   w->overuse.memory_mb,
			   size->memory_mb,
			   (uint64_t)w->size.memory_mb + released->memory_mb) &&
	       fits_within(w->reserved.accelerators, size->accelerators,
			   (uint64_t)w->size.accelerators +
				   released->accelerators);
}

gh_handle_t gh_place_choose(gh_place_t *place,
			    const gh_place_request_t *request)
{
	search_t search = { .request = request, .best = GH_HANDLE_NONE };
	unsigned lowest = bucket_index(place, request->size.cores_milli);
	unsigned i;

	for (i = 0; i < N_BUCKETS - lowest; i++) {
		unsigned bucket =
			request->spread ? N_BUCKETS - 1 - i : lowest + i;

		if (!(place->non_empty >> bucket & 1))
			continue;
		if (!search_bucket(place, bucket, &search))
			break;
	}
	return search.best;
}

bool gh_place_feasible(const gh_place_t *place, const gh_resources_t *size,
		       gh_handle_t *largest)
{
	guint i;

	*largest = GH_HANDLE_NONE;
	for (i = 0; i < place->workers->len; i++) {
		const gh_resources_t *s =
			&entry_at(place, (gh_handle_t)i)->worker.size;

		if (size->cores_milli <= s->cores_milli &&
		    size->memory_mb <= s->memory_mb &&
		    size->accelerators <= s->accelerators)
			return true;
		if (*largest == GH_HANDLE_NONE ||
		    s->cores_milli >
			    entry_at(place, *largest)->worker.size.cores_milli)
			*largest = (gh_handle_t)i;
	}
	return false;
}

gh_resources_t gh_place_total(const gh_place_t *place)
{
	gh_resources_t sum = { .cores_milli = 0 };
	guint i;

	for (i = 0; i < place->workers->len; i++) {
		const gh_resources_t *s =
			&entry_at(place, (gh_handle_t)i)->worker.size;

		sum.cores_milli += s->cores_milli;
		sum.memory_mb += s->memory_mb;
		sum.accelerators += s->accelerators;
	}
	return sum;
}

static entry_t *entry_at(const gh_place_t *place, gh_handle_t worker)
{
	return &g_array_index(place->workers, entry_t, worker);
}

static uint16_t rack_id(gh_place_t *place, const char *rack)
{
	void *found = g_hash_table_lookup(place->racks, rack);
	guint id = g_hash_table_size(place->racks);

	if (found)
		return (uint16_t)(GPOINTER_TO_UINT(found) - 1);
	g_hash_table_insert(place->racks, g_strdup(rack),
			    GUINT_TO_POINTER(id + 1));
	return (uint16_t)id;
}

/* Index of the bucket for a worker with that many free milli-cores. */
static uint8_t bucket_index(const gh_place_t *place, uint32_t free_milli)
{
	uint64_t bucket =
		(uint64_t)free_milli * (N_BUCKETS - 1) / place->max_cores_milli;

	return bucket < N_BUCKETS ? (uint8_t)bucket : N_BUCKETS - 1;
}

static uint32_t free_cores_milli(const gh_place_worker_t *w)
{
	uint64_t used =
		(uint64_t)w->reserved.cores_milli + w->overuse.cores_milli;

	return used < w->size.cores_milli ?
		       w->size.cores_milli - (uint32_t)used :
		       0;
}

static void bucket_add(gh_place_t *place, gh_handle_t worker)
{
	entry_t *entry = entry_at(place, worker);

	entry->bucket = bucket_index(place, free_cores_milli(&entry->worker));
	entry->pos = place->buckets[entry->bucket]->len;
	g_array_append_val(place->buckets[entry->bucket], worker);
	place->non_empty |= 1ULL << entry->bucket;
}

static void bucket_remove(gh_place_t *place, gh_handle_t worker)
{
	entry_t *entry = entry_at(place, worker);
	GArray *bucket = place->buckets[entry->bucket];
	gh_handle_t moved;

	g_array_remove_index_fast(bucket, entry->pos);
	if (entry->pos < bucket->len) {
		moved = g_array_index(bucket, gh_handle_t, entry->pos);
		entry_at(place, moved)->pos = entry->pos;
	}
	if (!bucket->len)
		place->non_empty &= ~(1ULL << entry->bucket);
}

static void bucket_update(gh_place_t *place, gh_handle_t worker)
{
	entry_t *entry = entry_at(place, worker);

	if (!entry->worker.usable ||
	    entry->bucket ==
		    bucket_index(place, free_cores_milli(&entry->worker)))
		return;
	bucket_remove(place, worker);
	bucket_add(place, worker);
}

static void rebuild_buckets(gh_place_t *place)
{
	guint i;

	for (i = 0; i < N_BUCKETS; i++)
		g_array_set_size(place->buckets[i], 0);
	place->non_empty = 0;
	for (i = 0; i < place->workers->len; i++)
		if (entry_at(place, (gh_handle_t)i)->worker.usable)
			bucket_add(place, (gh_handle_t)i);
}

/*
 * Scans a bucket of workers from a position that depends on the request's seed.
 * Returns false once enough workers have been scanned or compared.
 */
static bool search_bucket(const gh_place_t *place, unsigned bucket,
			  search_t *search)
{
	const GArray *workers = place->buckets[bucket];
	guint start = (guint)(search->request->seed % workers->len);
	guint i;

	for (i = 0; i < workers->len; i++) {
		guint at = (start + i) % workers->len;

		compare_worker(place, g_array_index(workers, gh_handle_t, at),
			       search);
		search->n_scanned++;
		if (search->n_scanned >= SCAN_MAX ||
		    search->n_fitting >= CANDIDATE_MAX)
			return false;
	}
	return true;
}

static void compare_worker(const gh_place_t *place, gh_handle_t worker,
			   search_t *search)
{
	const gh_place_request_t *request = search->request;
	int64_t cost = 0;

	if (!gh_place_fits(place, worker, &request->size, NULL))
		return;
	search->n_fitting++;
	if (request->cost)
		cost = request->cost(request->ctx, worker);
	if (worker == request->avoid)
		cost = AVOID_COST;
	if (search->best != GH_HANDLE_NONE && cost >= search->best_cost)
		return;
	search->best = worker;
	search->best_cost = cost;
}

static bool fits_within(uint64_t used, uint64_t more, uint64_t size)
{
	return used + more <= size;
}
