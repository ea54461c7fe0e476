/*
 * Threads for the calls to workers.  Calls to suspect workers, whose last poll
 * failed, run on separate threads, so that unresponsive workers delay only
 * each other.
 */
#ifndef SHARD_POOL_H
#define SHARD_POOL_H

#include <stdbool.h>

typedef struct shard_pool shard_pool_t;

shard_pool_t *shard_pool_new(void);

/* Waits until all queued calls have run and ends the threads. */
void shard_pool_free(shard_pool_t *pool);

/*
 * Queues run(arg), on the separate threads if the last poll of the called
 * worker failed.
 */
void shard_pool_push(shard_pool_t *pool, bool suspect, void (*run)(void *arg),
		     void *arg);

#endif
