/*
 * Event loop of a host: one thread does all input and output for the store
 * and the workers, and makes all decisions.
 *
 * Other threads pass work to it by loop_post().  All other functions may only
 * be called on the loop's thread, or before the loop runs.
 */
#ifndef FLEET_LOOP_H
#define FLEET_LOOP_H

#include <stdbool.h>
#include <stdint.h>

#include "core_time.h"

typedef struct loop loop_t;

/*
 * Timer of the loop: calls run() once when CLOCK_BOOTTIME has passed the
 * deadline in the member at.
 */
typedef struct loop_timer {
	/*
	 * Deadline of the timer, may be set at any time; GH_TIME_NEVER:
	 * disarmed.
	 */
	gh_time_t at;
	void (*run)(void *ctx, gh_time_t now);
	void *ctx;
} loop_timer_t;

typedef void (*loop_ready_t)(void *ctx, int fd, uint32_t events);
typedef void (*loop_work_t)(void *ctx);

/* A loop is never freed: the signal thread may post to it until the exit. */
loop_t *loop_new(void);

/* Runs the loop until loop_stop() is called or epoll fails. */
void loop_run(loop_t *loop);
void loop_stop(loop_t *loop);

/* Any thread: calls work(ctx) on the loop's thread. */
void loop_post(loop_t *loop, loop_work_t work, void *ctx);

void loop_timer_add(loop_t *loop, loop_timer_t *timer);
void loop_timer_remove(loop_t *loop, loop_timer_t *timer);

/*
 * Calls ready() on epoll events of a descriptor; with events 0, the descriptor
 * is no longer watched.  Returns false when epoll_ctl() fails.
 */
bool loop_watch(loop_t *loop, int fd, uint32_t events, loop_ready_t ready,
		void *ctx);

/* Calls work(ctx) after each iteration of the loop. */
void loop_after_iteration(loop_t *loop, loop_work_t work, void *ctx);

#endif
