/*
 * The clock and the loop of a host in simulated time, in place of clock.c and
 * fleet_loop.c.  To be included by one file of a test program.
 */
#ifndef SIM_LOOP_H
#define SIM_LOOP_H

#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <stdint.h>

#include <cmocka.h>
#include <glib.h>
#include <pthread.h>

#include "clock.h"
#include "fleet_loop.h"

/* Timers that run at one time; more show that the loop never sleeps. */
#define TIMERS_AT_ONCE_MAX 1000
#define START_WALL_USEC (1700000000 * GH_USEC_PER_SEC)

static gh_time_t sim_now;

gh_time_t clock_boot(void)
{
	return sim_now;
}

gh_time_t clock_real(void)
{
	return START_WALL_USEC + sim_now;
}

void clock_cond_init(pthread_cond_t *cond)
{
	pthread_cond_init(cond, NULL);
}

void clock_wait_until(pthread_cond_t *cond, pthread_mutex_t *lock,
		      gh_time_t deadline)
{
	(void)cond;
	(void)lock;
	(void)deadline;
}

typedef struct hook {
	loop_work_t work;
	void *ctx;
} hook_t;

struct loop {
	GPtrArray *timers; /* loop_timer_t */
	GArray *hooks;	   /* hook_t */
};

loop_t *loop_new(void)
{
	loop_t *loop = g_new0(loop_t, 1);

	loop->timers = g_ptr_array_new();
	loop->hooks = g_array_new(FALSE, FALSE, sizeof(hook_t));
	return loop;
}

static void sim_loop_free(loop_t *loop)
{
	g_ptr_array_free(loop->timers, TRUE);
	g_array_free(loop->hooks, TRUE);
	g_free(loop);
}

void loop_timer_add(loop_t *loop, loop_timer_t *timer)
{
	g_ptr_array_add(loop->timers, timer);
}

void loop_timer_remove(loop_t *loop, loop_timer_t *timer)
{
	g_ptr_array_remove_fast(loop->timers, timer);
}

void loop_after_iteration(loop_t *loop, loop_work_t work, void *ctx)
{
	hook_t hook = { .work = work, .ctx = ctx };

	g_array_append_val(loop->hooks, hook);
}

void loop_post(loop_t *loop, loop_work_t work, void *ctx)
{
	(void)loop;
	work(ctx);
}

static loop_timer_t *earliest_timer(const loop_t *loop)
{
	loop_timer_t *earliest = NULL;
	guint i;

	for (i = 0; i < loop->timers->len; i++) {
		loop_timer_t *timer = loop->timers->pdata[i];

		if (!earliest || timer->at < earliest->at)
			earliest = timer;
	}
	return earliest;
}

/* Runs what is due within ms of simulated time. */
static void sim_loop_run(loop_t *loop, int64_t ms)
{
	gh_time_t end = sim_now + ms * GH_USEC_PER_MSEC;
	unsigned n_at_once = 0;
	loop_timer_t *timer;
	guint i;

	while ((timer = earliest_timer(loop)) && timer->at <= end) {
		n_at_once = timer->at > sim_now ? 0 : n_at_once + 1;
		if (n_at_once > TIMERS_AT_ONCE_MAX)
			fail_msg("timers go on without time passing");
		sim_now = MAX(sim_now, timer->at);
		timer->at = GH_TIME_NEVER;
		timer->run(timer->ctx, sim_now);
		for (i = 0; i < loop->hooks->len; i++) {
			const hook_t *hook =
				&g_array_index(loop->hooks, hook_t, i);

			hook->work(hook->ctx);
		}
	}
	sim_now = MAX(sim_now, end);
}

#endif
