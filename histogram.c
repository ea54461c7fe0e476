#include "histogram.h"

#include <inttypes.h>
#include <stdatomic.h>
#include <stdint.h>

/* Bucket bounds are powers of two, from 1 ms to 8192 ms. */
#define NUM_BUCKETS 14

typedef struct histogram_data {
	/*
	 * Number of durations in each bucket; the last bucket counts all that
	 * are longer than the highest bound.
	 */
	_Atomic uint64_t bucket[NUM_BUCKETS + 1];
	_Atomic uint64_t sum_us;
} histogram_data_t;

static const char *const histogram_names[HIST_COUNT] = {
#define HISTOGRAM(id, name, help) [HIST_##id] = name,
#include "histogram_list.h"
#undef HISTOGRAM
};

static histogram_data_t histograms[HIST_COUNT];

void histogram_add(histogram_t id, gh_time_t duration)
{
	unsigned i = 0;

	while (i < NUM_BUCKETS && duration > (GH_USEC_PER_MSEC << i))
		i++;
	atomic_fetch_add_explicit(&histograms[id].bucket[i], 1,
				  memory_order_relaxed);
	atomic_fetch_add_explicit(&histograms[id].sum_us, (uint64_t)duration,
				  memory_order_relaxed);
}

void histogram_append_all(GString *text)
{
	unsigned id, i;

	for (id = 0; id < HIST_COUNT; id++) {
		uint64_t count = 0;

		for (i = 0; i < NUM_BUCKETS; i++) {
			count += atomic_load(&histograms[id].bucket[i]);
			g_string_append_printf(text, "%s_le_%u %" PRIu64 "\n",
					       histogram_names[id], 1u << i,
					       count);
		}
		count += atomic_load(&histograms[id].bucket[NUM_BUCKETS]);
		g_string_append_printf(
			text, "%s_count %" PRIu64 "\n%s_sum %" PRIu64 "\n",
			histogram_names[id], count, histogram_names[id],
			atomic_load(&histograms[id].sum_us) /
				(uint64_t)GH_USEC_PER_MSEC);
	}
}
