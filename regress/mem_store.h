/*
 * Thread-safe in-memory store for tests: compare-and-swap, outages, and writes
 * that take effect but lose their reply.  Only get, put, list and free are set.
 */
#ifndef MEM_STORE_H
#define MEM_STORE_H

#include "store.h"

typedef struct mem_store {
	store_t base;
	GMutex lock;
	GHashTable *values; /* key to value, of type store_value_t */
	uint64_t revision;  /* version of the last write */
	bool down;
	unsigned lose_replies; /* number of next writes whose reply is lost */
	/* Value of write_count at which a write starts an outage; 0: none. */
	unsigned outage_at_write;
	unsigned write_count; /* number of writes that took effect */
} mem_store_t;

mem_store_t *mem_store_new(void);

/* Starts or ends an outage. */
void mem_store_set_down(mem_store_t *store, bool down);

#endif
