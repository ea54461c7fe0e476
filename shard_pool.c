#include "shard_pool.h"

#include <glib.h>

#define NORMAL_THREADS_MAX 16
#define SUSPECT_THREADS_MAX 8

struct shard_pool {
	GThreadPool *normal;
	GThreadPool *suspect; /* threads for workers whose last poll failed */
};

typedef struct queued_call {
	void (*run)(void *arg);
	void *arg;
} queued_call_t;

static void run_queued_call(void *data, void *unused);

shard_pool_t *shard_pool_new(void)
{
	shard_pool_t *pool = g_new0(shard_pool_t, 1);

	pool->normal = g_thread_pool_new(run_queued_call, NULL,
					 NORMAL_THREADS_MAX, FALSE, NULL);
	pool->suspect = g_thread_pool_new(run_queued_call, NULL,
					  SUSPECT_THREADS_MAX, FALSE, NULL);
	return pool;
}

void shard_pool_free(shard_pool_t *pool)
{
	if (!pool)
		return;
	g_thread_pool_free(pool->normal, FALSE, TRUE);
	g_thread_pool_free(pool->suspect, FALSE, TRUE);
	g_free(pool);
}

void shard_pool_push(shard_pool_t *pool, bool suspect, void (*run)(void *arg),
		     void *arg)
{
	queued_call_t *call = g_new(queued_call_t, 1);

	*call = (queued_call_t){ .run = run, .arg = arg };
	g_thread_pool_push(suspect ? pool->suspect : pool->normal, call, NULL);
}

static void run_queued_call(void *data, void *unused)
{
	queued_call_t *call = data;

	(void)unused;
	call->run(call->arg);
	g_free(call);
}
