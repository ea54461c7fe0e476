/*
 * Process-wide latency histograms with fixed buckets.  Adding is lock-free.
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

void histogram_add(histogram_t id, gh_time_t took);

/* "NAME_le_MS COUNT" for each bucket, cumulative, then NAME_count, _sum_ms. */
void histogram_text(GString *text);

#endif
