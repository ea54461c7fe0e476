#include "clock.h"

#include <time.h>

#define NSEC_PER_USEC 1000

static gh_time_t read_clock(clockid_t id);

gh_time_t clock_boot(void)
{
	return read_clock(CLOCK_BOOTTIME);
}

gh_time_t clock_real(void)
{
	return read_clock(CLOCK_REALTIME);
}

void clock_cond_init(pthread_cond_t *cond)
{
	pthread_condattr_t attr;

	pthread_condattr_init(&attr);
	pthread_condattr_setclock(&attr, CLOCK_MONOTONIC);
	pthread_cond_init(cond, &attr);
	pthread_condattr_destroy(&attr);
}

void clock_wait_until(pthread_cond_t *cond, pthread_mutex_t *lock,
		      gh_time_t deadline)
{
	gh_time_t remaining = deadline - clock_boot();
	struct timespec ts;

	if (remaining <= 0)
		return;
	clock_gettime(CLOCK_MONOTONIC, &ts);
	remaining += ts.tv_nsec / NSEC_PER_USEC;
	ts.tv_sec += remaining / GH_USEC_PER_SEC;
	ts.tv_nsec = (remaining % GH_USEC_PER_SEC) * NSEC_PER_USEC;
	pthread_cond_timedwait(cond, lock, &ts);
}

static gh_time_t read_clock(clockid_t id)
{
	struct timespec ts;

	clock_gettime(id, &ts);
	return ts.tv_sec * GH_USEC_PER_SEC + ts.tv_nsec / NSEC_PER_USEC;
}
