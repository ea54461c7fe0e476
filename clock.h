/*
 * Clocks of the running process, in microseconds, and waiting for a condition
 * with a deadline.
 */
#ifndef CLOCK_H
#define CLOCK_H

#include <pthread.h>

#include "core_time.h"

/* Reads CLOCK_BOOTTIME, for deadlines inside this process. */
gh_time_t clock_boot(void);

/* Reads CLOCK_REALTIME, for deadlines shared between hosts. */
gh_time_t clock_real(void);

/* Initialises a condition variable for clock_wait_until(). */
void clock_cond_init(pthread_cond_t *cond);

/*
 * Waits until the condition is signalled or the deadline on CLOCK_BOOTTIME has
 * passed.  The caller holds the lock.  Like pthread_cond_timedwait(), it may
 * return early, so the caller checks its predicate and the deadline again.
 */
void clock_wait_until(pthread_cond_t *cond, pthread_mutex_t *lock,
		      gh_time_t deadline);

#endif
