#include "replay_heap.h"

static replay_item_t *item_at(const replay_heap_t *heap, guint i);
static bool is_before(const replay_heap_t *heap, guint a, guint b);
static void swap_items(const replay_heap_t *heap, guint a, guint b);
static void sift_down(const replay_heap_t *heap);

void replay_heap_init(replay_heap_t *heap)
{
	heap->items = g_array_new(FALSE, FALSE, sizeof(replay_item_t));
	heap->next_sequence = 0;
}

void replay_heap_clear(replay_heap_t *heap)
{
	g_array_unref(heap->items);
}

void replay_heap_push(replay_heap_t *heap, replay_item_t item)
{
	guint i = heap->items->len;

	item.sequence = heap->next_sequence++;
	g_array_append_val(heap->items, item);
	while (i && is_before(heap, i, (i - 1) / 2)) {
		swap_items(heap, i, (i - 1) / 2);
		i = (i - 1) / 2;
	}
}

bool replay_heap_pop(replay_heap_t *heap, replay_item_t *item)
{
	guint len = heap->items->len;

	if (!len)
		return false;
	*item = *item_at(heap, 0);
	swap_items(heap, 0, len - 1);
	g_array_set_size(heap->items, len - 1);
	sift_down(heap);
	return true;
}

replay_source_t replay_pop_next(const replay_trace_t *trace, guint *next,
				replay_heap_t *heap,
				const replay_event_t **event,
				replay_item_t *item)
{
	gh_time_t due = heap->items->len ? item_at(heap, 0)->at : GH_TIME_NEVER;

	if (*next < trace->events->len) {
		*event = &g_array_index(trace->events, replay_event_t, *next);
		if ((*event)->at <= due) {
			++*next;
			return REPLAY_FROM_TRACE;
		}
	}
	return replay_heap_pop(heap, item) ? REPLAY_FROM_HEAP :
					     REPLAY_EXHAUSTED;
}

static replay_item_t *item_at(const replay_heap_t *heap, guint i)
{
	return &g_array_index(heap->items, replay_item_t, i);
}

static bool is_before(const replay_heap_t *heap, guint a, guint b)
{
	const replay_item_t *x = item_at(heap, a);
	const replay_item_t *y = item_at(heap, b);

	return x->at != y->at ? x->at < y->at : x->sequence < y->sequence;
}

static void swap_items(const replay_heap_t *heap, guint a, guint b)
{
	replay_item_t item = *item_at(heap, a);

	*item_at(heap, a) = *item_at(heap, b);
	*item_at(heap, b) = item;
}

/* Restores the heap order after the root was replaced. */
static void sift_down(const replay_heap_t *heap)
{
	guint len = heap->items->len;
	guint i = 0;

	for (;;) {
		guint child = 2 * i + 1;

		if (child >= len)
			return;
		if (child + 1 < len && is_before(heap, child + 1, child))
			child++;
		if (!is_before(heap, child, i))
			return;
		swap_items(heap, i, child);
		i = child;
	}
}
