#include "core_commit_order.h"

#include <glib.h>

/* One change in so many is the one that was queued first. */
#define OLDEST_PERIOD 4

typedef struct entry {
	uint32_t job, rank;
	uint64_t number; /* rises with each change that is queued */
	GSequenceIter *by_rank;
	GList *by_age;
} entry_t;

struct gh_commit_order {
	GHashTable *by_job; /* job to entry_t, which it owns */
	GSequence *by_rank; /* entry_t, by rank and number */
	GQueue by_age;	    /* entry_t, by number */
	uint64_t last_number;
	uint32_t taken; /* changes taken since the last of the oldest ones */
};

static gint compare_entries(gconstpointer a, gconstpointer b, gpointer data);
static entry_t *next_entry(const gh_commit_order_t *order);
static void take_out(gh_commit_order_t *order, entry_t *entry);

gh_commit_order_t *gh_commit_order_new(void)
{
	gh_commit_order_t *order = g_new0(gh_commit_order_t, 1);

	order->by_job = g_hash_table_new_full(g_direct_hash, g_direct_equal,
					      NULL, g_free);
	order->by_rank = g_sequence_new(NULL);
	g_queue_init(&order->by_age);
	return order;
}

void gh_commit_order_free(gh_commit_order_t *order)
{
	g_queue_clear(&order->by_age);
	g_sequence_free(order->by_rank);
	g_hash_table_destroy(order->by_job);
	g_free(order);
}

void gh_commit_order_add(gh_commit_order_t *order, uint32_t job, uint32_t rank)
{
	entry_t *entry =
		g_hash_table_lookup(order->by_job, GUINT_TO_POINTER(job));

	if (!entry) {
		entry = g_new0(entry_t, 1);
		entry->job = job;
		entry->number = ++order->last_number;
		g_queue_push_tail(&order->by_age, entry);
		entry->by_age = order->by_age.tail;
		g_hash_table_insert(order->by_job, GUINT_TO_POINTER(job),
				    entry);
	} else if (rank >= entry->rank) {
		return;
	} else {
		g_sequence_remove(entry->by_rank);
	}
	entry->rank = rank;
	entry->by_rank = g_sequence_insert_sorted(order->by_rank, entry,
						  compare_entries, NULL);
}

static gint compare_entries(gconstpointer a, gconstpointer b, gpointer data)
{
	const entry_t *first = a;
	const entry_t *second = b;

	(void)data;
	if (first->rank != second->rank)
		return first->rank < second->rank ? -1 : 1;
	return first->number < second->number ? -1 :
						first->number > second->number;
}

bool gh_commit_order_peek(const gh_commit_order_t *order, uint32_t *job)
{
	const entry_t *entry = next_entry(order);

	if (entry)
		*job = entry->job;
	return entry != NULL;
}

bool gh_commit_order_take(gh_commit_order_t *order, uint32_t *job, bool *ahead)
{
	entry_t *entry = next_entry(order);

	if (!entry)
		return false;
	*job = entry->job;
	*ahead = entry->by_age != order->by_age.head;
	order->taken = (order->taken + 1) % OLDEST_PERIOD;
	take_out(order, entry);
	return true;
}

void gh_commit_order_remove(gh_commit_order_t *order, uint32_t job)
{
	entry_t *entry =
		g_hash_table_lookup(order->by_job, GUINT_TO_POINTER(job));

	if (entry)
		take_out(order, entry);
}

static void take_out(gh_commit_order_t *order, entry_t *entry)
{
	g_sequence_remove(entry->by_rank);
	g_queue_delete_link(&order->by_age, entry->by_age);
	g_hash_table_remove(order->by_job, GUINT_TO_POINTER(entry->job));
}

static entry_t *next_entry(const gh_commit_order_t *order)
{
	if (!order->by_age.length)
		return NULL;
	return order->taken == OLDEST_PERIOD - 1 ?
		       order->by_age.head->data :
		       g_sequence_get(
			       g_sequence_get_begin_iter(order->by_rank));
}

uint32_t gh_commit_order_length(const gh_commit_order_t *order)
{
	return order->by_age.length;
}

uint32_t gh_commit_order_ahead(const gh_commit_order_t *order, uint32_t rank)
{
	entry_t probe = { .rank = rank, .number = order->last_number + 1 };

	return (uint32_t)g_sequence_iter_get_position(g_sequence_search(
		order->by_rank, &probe, compare_entries, NULL));
}
