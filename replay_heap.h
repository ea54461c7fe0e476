/*
 * Priority queue of simulated events, sorted by time and then by insertion.
 */
#ifndef REPLAY_HEAP_H
#define REPLAY_HEAP_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#include <glib.h>

#include "core_time.h"
#include "replay.h"

/* A simulated event; kind, subject and data are chosen by the caller. */
typedef struct replay_item {
	gh_time_t at;
	/* Order of insertion, set by replay_heap_push(). */
	uint64_t sequence;
	int kind;
	/* Index of the host or worker that the event concerns. */
	uint32_t subject;
	void *data;
} replay_item_t;

typedef struct replay_heap {
	GArray *items; /* elements: replay_item_t, in heap order */
	uint64_t next_sequence;
} replay_heap_t;

void replay_heap_init(replay_heap_t *heap);
void replay_heap_clear(replay_heap_t *heap);
void replay_heap_push(replay_heap_t *heap, replay_item_t item);
/* Removes the earliest item; returns false if the heap is empty. */
bool replay_heap_pop(replay_heap_t *heap, replay_item_t *item);

/* Where the next event to process comes from. */
typedef enum replay_source {
	REPLAY_FROM_TRACE, /* next event of the trace, stored in *event */
	REPLAY_FROM_HEAP,  /* earliest item of the heap, stored in *item */
	/* Neither the trace nor the heap has an event left. */
	REPLAY_EXHAUSTED
} replay_source_t;

/*
 * Removes the earliest event from the trace or the heap; at the same time,
 * the trace goes first.  *next is the index of the next event of the trace.
 */
replay_source_t replay_pop_next(const replay_trace_t *trace, guint *next,
				replay_heap_t *heap,
				const replay_event_t **event,
				replay_item_t *item);

#endif
