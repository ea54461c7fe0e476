/*
 * One thread that does all of a host's input and output and decides all.
 *
 * Other threads hand it work by loop_post().  Everything else here belongs
 * to the loop's own thread.
 */
#ifndef FLEET_LOOP_H
#define FLEET_LOOP_H

#include <stdbool.h>
#include <stdint.h>

#include "core_time.h"

typedef struct loop loop_t;

/* Called when a deadline on CLOCK_BOOTTIME has come. */
typedef struct loop_timer {
	gh_time_t at; /* GH_TIME_NEVER: not set; may be changed at any time */
	void (*run)(void *ctx, gh_time_t now);
	void *ctx;
} loop_timer_t;

typedef void (*loop_ready_t)(void *ctx, int fd, uint32_t events);
typedef void (*loop_work_t)(void *ctx);

/* Lives as long as the process: signals may post to it until the end. */
loop_t *loop_new(void);

/* Runs until loop_stop(). */
void loop_run(loop_t *loop);
void loop_stop(loop_t *loop);

/* From any thread: run work(ctx) on the loop. */
void loop_post(loop_t *loop, loop_work_t work, void *ctx);

void loop_timer_add(loop_t *loop, loop_timer_t *timer);
void loop_timer_remove(loop_t *loop, loop_timer_t *timer);

/*
 * Watches a descriptor for epoll events, or stops to when events is 0.
 * Returns false when the system refuses.
 */
bool loop_watch(loop_t *loop, int fd, uint32_t events, loop_ready_t ready,
		void *ctx);

/* Called once after each round of events. */
void loop_after_iteration(loop_t *loop, loop_work_t work, void *ctx);

#endif
