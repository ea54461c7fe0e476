/*
 * Process-wide latency histograms with fixed buckets, for monitoring.  Adding
 * is lock-free.
 */
#ifndef HISTOGRAM_H
#define HISTOGRAM_H

#include <glib.h>

#include "core_time.h"

typedef enum histogram {
#define HISTOGRAM(id, name, help) HIST_##id,
#include "histogram_list.h"
#undef HISTOGRAM
	HIST_COUNT
} histogram_t;

/* Counts one duration, in microseconds. */
void histogram_add(histogram_t id, gh_time_t duration);

/*
 * Appends all histograms to text.  Each gives a line "NAME_le_MS COUNT" per
 * bucket with the number of durations up to MS milliseconds, then NAME_count
 * with the number of all durations and NAME_sum with their sum in milliseconds.
 */
void histogram_append_all(GString *text);

#endif
