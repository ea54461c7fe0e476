#include "core_place.h"

#include <string.h>

#define N_BUCKETS 64
#define LOOK_MAX 48	/* workers looked at in one choice */
#define CANDIDATE_MAX 8 /* fitting workers compared in one choice */
#define AVOID_COST (INT64_MAX / 2)

typedef struct slot {
	gh_place_worker_t pub;
	uint8_t bucket;
	uint32_t pos; /* in the bucket; only while usable */
} slot_t;

struct gh_place {
	GArray *slots; /* slot_t */
	GHashTable *by_name;
	GHashTable *racks;
	GArray *buckets[N_BUCKETS]; /* gh_handle_t of usable workers */
	uint64_t filled;	    /* bit per bucket that isn't empty */
	uint32_t cores_most;	    /* size of the largest worker */
};

/* State of one choice. */
typedef struct search {
	const gh_place_request_t *want;
	unsigned looked;
	unsigned fitting;
	gh_handle_t best;
	int64_t best_cost;
} search_t;

static slot_t *slot_at(const gh_place_t *place, gh_handle_t worker);
static uint16_t rack_number(gh_place_t *place, const char *rack);
static uint8_t bucket_of(const gh_place_t *place, uint32_t free_milli);
static uint32_t cores_free(const gh_place_worker_t *w);
static void bucket_add(gh_place_t *place, gh_handle_t worker);
static void bucket_remove(gh_place_t *place, gh_handle_t worker);
static void bucket_update(gh_place_t *place, gh_handle_t worker);
static void rebucket_all(gh_place_t *place);
static bool search_bucket(const gh_place_t *place, unsigned bucket,
			  search_t *search);
static void search_worker(const gh_place_t *place, gh_handle_t worker,
			  search_t *search);
static bool within(uint64_t used, uint64_t more, uint64_t size);

gh_place_t *gh_place_new(void)
{
	gh_place_t *place = g_new0(gh_place_t, 1);
	size_t i;

	place->slots = g_array_new(FALSE, TRUE, sizeof(slot_t));
	place->by_name =
		g_hash_table_new_full(g_str_hash, g_str_equal, g_free, NULL);
	place->racks =
		g_hash_table_new_full(g_str_hash, g_str_equal, g_free, NULL);
	for (i = 0; i < N_BUCKETS; i++)
		place->buckets[i] =
			g_array_new(FALSE, FALSE, sizeof(gh_handle_t));
	place->cores_most = 1;
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
	g_array_free(place->slots, TRUE);
	g_free(place);
}

gh_handle_t gh_place_worker_set(gh_place_t *place, const char *name,
				const char *rack, const gh_resources_t *size)
{
	gh_handle_t worker = gh_place_find(place, name);
	slot_t fresh = { .pub = { .usable = false } };
	gh_place_worker_t *w;

	if (worker == GH_HANDLE_NONE) {
		worker = (gh_handle_t)place->slots->len;
		g_strlcpy(fresh.pub.name, name, sizeof(fresh.pub.name));
		g_array_append_val(place->slots, fresh);
		g_hash_table_insert(place->by_name, g_strdup(name),
				    GUINT_TO_POINTER(worker + 1));
	}
	w = &slot_at(place, worker)->pub;
	w->rack = rack_number(place, rack);
	w->size = *size;
	if (size->cores_milli > place->cores_most) {
		place->cores_most = size->cores_milli;
		rebucket_all(place);
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
	return &slot_at(place, worker)->pub;
}

size_t gh_place_count(const gh_place_t *place)
{
	return place->slots->len;
}

void gh_place_usable_set(gh_place_t *place, gh_handle_t worker, bool usable)
{
	slot_t *slot = slot_at(place, worker);

	if (slot->pub.usable == usable)
		return;
	if (!usable)
		bucket_remove(place, worker);
	slot->pub.usable = usable;
	if (usable)
		bucket_add(place, worker);
}

void gh_place_reserve(gh_place_t *place, gh_handle_t worker,
		      const gh_resources_t *size)
{
	gh_place_worker_t *w = &slot_at(place, worker)->pub;

	w->reserved.cores_milli += size->cores_milli;
	w->reserved.memory_mb += size->memory_mb;
	w->reserved.accelerators += size->accelerators;
	w->tasks++;
	bucket_update(place, worker);
}

void gh_place_release(gh_place_t *place, gh_handle_t worker,
		      const gh_resources_t *size)
{
	gh_place_worker_t *w = &slot_at(place, worker)->pub;

	w->reserved.cores_milli -= size->cores_milli;
	w->reserved.memory_mb -= size->memory_mb;
	w->reserved.accelerators -= size->accelerators;
	w->tasks--;
	bucket_update(place, worker);
}

void gh_place_overuse_set(gh_place_t *place, gh_handle_t worker,
			  const gh_resources_t *extra)
{
	slot_at(place, worker)->pub.overuse = *extra;
	bucket_update(place, worker);
}

bool gh_place_fits(const gh_place_t *place, gh_handle_t worker,
		   const gh_resources_t *size, const gh_resources_t *freed)
{
	static const gh_resources_t none = { .cores_milli = 0 };
	const gh_place_worker_t *w = &slot_at(place, worker)->pub;
	const gh_resources_t *back = freed ? freed : &none;

	return within((uint64_t)w->reserved.cores_milli +
			      w->overuse.cores_milli,
		      size->cores_milli,
		      (uint64_t)w->size.cores_milli + back->cores_milli) &&
	       within((uint64_t)w->reserved.memory_mb + w->overuse.memory_mb,
		      size->memory_mb,
		      (uint64_t)w->size.memory_mb + back->memory_mb) &&
	       within(w->reserved.accelerators, size->accelerators,
		      (uint64_t)w->size.accelerators + back->accelerators);
}

gh_handle_t gh_place_choose(gh_place_t *place, const gh_place_request_t *want)
{
	search_t search = { .want = want, .best = GH_HANDLE_NONE };
	unsigned low = bucket_of(place, want->size.cores_milli);
	unsigned i;

	for (i = 0; i < N_BUCKETS - low; i++) {
		unsigned b = want->spread ? N_BUCKETS - 1 - i : low + i;

		if (!(place->filled >> b & 1))
			continue;
		if (!search_bucket(place, b, &search))
			break;
	}
	return search.best;
}

bool gh_place_feasible(const gh_place_t *place, const gh_resources_t *size,
		       gh_handle_t *largest)
{
	guint i;

	*largest = GH_HANDLE_NONE;
	for (i = 0; i < place->slots->len; i++) {
		const gh_resources_t *s =
			&slot_at(place, (gh_handle_t)i)->pub.size;

		if (size->cores_milli <= s->cores_milli &&
		    size->memory_mb <= s->memory_mb &&
		    size->accelerators <= s->accelerators)
			return true;
		if (*largest == GH_HANDLE_NONE ||
		    s->cores_milli >
			    slot_at(place, *largest)->pub.size.cores_milli)
			*largest = (gh_handle_t)i;
	}
	return false;
}

gh_resources_t gh_place_total(const gh_place_t *place)
{
	gh_resources_t sum = { .cores_milli = 0 };
	guint i;

	for (i = 0; i < place->slots->len; i++) {
		const gh_resources_t *s =
			&slot_at(place, (gh_handle_t)i)->pub.size;

		sum.cores_milli += s->cores_milli;
		sum.memory_mb += s->memory_mb;
		sum.accelerators += s->accelerators;
	}
	return sum;
}

static slot_t *slot_at(const gh_place_t *place, gh_handle_t worker)
{
	return &g_array_index(place->slots, slot_t, worker);
}

static uint16_t rack_number(gh_place_t *place, const char *rack)
{
	void *found = g_hash_table_lookup(place->racks, rack);
	guint number = g_hash_table_size(place->racks);

	if (found)
		return (uint16_t)(GPOINTER_TO_UINT(found) - 1);
	g_hash_table_insert(place->racks, g_strdup(rack),
			    GUINT_TO_POINTER(number + 1));
	return (uint16_t)number;
}

static uint8_t bucket_of(const gh_place_t *place, uint32_t free_milli)
{
	uint64_t b = (uint64_t)free_milli * (N_BUCKETS - 1) / place->cores_most;

	return b < N_BUCKETS ? (uint8_t)b : N_BUCKETS - 1;
}

static uint32_t cores_free(const gh_place_worker_t *w)
{
	uint64_t used =
		(uint64_t)w->reserved.cores_milli + w->overuse.cores_milli;

	return used < w->size.cores_milli ?
		       w->size.cores_milli - (uint32_t)used :
		       0;
}

static void bucket_add(gh_place_t *place, gh_handle_t worker)
{
	slot_t *slot = slot_at(place, worker);

	slot->bucket = bucket_of(place, cores_free(&slot->pub));
	slot->pos = place->buckets[slot->bucket]->len;
	g_array_append_val(place->buckets[slot->bucket], worker);
	place->filled |= 1ULL << slot->bucket;
}

static void bucket_remove(gh_place_t *place, gh_handle_t worker)
{
	slot_t *slot = slot_at(place, worker);
	GArray *bucket = place->buckets[slot->bucket];
	gh_handle_t moved;

	g_array_remove_index_fast(bucket, slot->pos);
	if (slot->pos < bucket->len) {
		moved = g_array_index(bucket, gh_handle_t, slot->pos);
		slot_at(place, moved)->pos = slot->pos;
	}
	if (!bucket->len)
		place->filled &= ~(1ULL << slot->bucket);
}

static void bucket_update(gh_place_t *place, gh_handle_t worker)
{
	slot_t *slot = slot_at(place, worker);

	if (!slot->pub.usable ||
	    slot->bucket == bucket_of(place, cores_free(&slot->pub)))
		return;
	bucket_remove(place, worker);
	bucket_add(place, worker);
}

static void rebucket_all(gh_place_t *place)
{
	guint i;

	for (i = 0; i < N_BUCKETS; i++)
		g_array_set_size(place->buckets[i], 0);
	place->filled = 0;
	for (i = 0; i < place->slots->len; i++)
		if (slot_at(place, (gh_handle_t)i)->pub.usable)
			bucket_add(place, (gh_handle_t)i);
}

/* Returns false when enough was looked at. */
static bool search_bucket(const gh_place_t *place, unsigned bucket,
			  search_t *search)
{
	const GArray *workers = place->buckets[bucket];
	guint start = (guint)(search->want->seed % workers->len);
	guint i;

	for (i = 0; i < workers->len; i++) {
		guint at = (start + i) % workers->len;

		search_worker(place, g_array_index(workers, gh_handle_t, at),
			      search);
		search->looked++;
		if (search->looked >= LOOK_MAX ||
		    search->fitting >= CANDIDATE_MAX)
			return false;
	}
	return true;
}

static void search_worker(const gh_place_t *place, gh_handle_t worker,
			  search_t *search)
{
	const gh_place_request_t *want = search->want;
	int64_t cost = 0;

	if (!gh_place_fits(place, worker, &want->size, NULL))
		return;
	search->fitting++;
	if (want->cost)
		cost = want->cost(want->ctx, worker);
	if (worker == want->avoid)
		cost = AVOID_COST;
	if (search->best != GH_HANDLE_NONE && cost >= search->best_cost)
		return;
	search->best = worker;
	search->best_cost = cost;
}

static bool within(uint64_t used, uint64_t more, uint64_t size)
{
	return used + more <= size;
}
