/*
 * Time in the decision core, in microseconds on a clock that the caller
 * chooses.  Deadlines within one process use CLOCK_BOOTTIME; deadlines that are
 * exchanged between hosts (leases, not_after) use CLOCK_REALTIME and allow for
 * the clock_bound_ms of the document.
 */
#ifndef CORE_TIME_H
#define CORE_TIME_H

#include <stdint.h>

typedef int64_t gh_time_t; /* a time or a duration, in microseconds */

#define GH_USEC_PER_MSEC 1000LL
#define GH_USEC_PER_SEC 1000000LL
#define GH_TIME_NEVER INT64_MAX

static inline gh_time_t gh_time_from_ms(int64_t ms)
{
	return ms * GH_USEC_PER_MSEC;
}

static inline int64_t gh_time_to_ms(gh_time_t t)
{
	return t / GH_USEC_PER_MSEC;
}

#endif
