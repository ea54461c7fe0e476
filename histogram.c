#include "histogram.h"

#include <inttypes.h>
#include <stdatomic.h>
#include <stdint.h>

#define BUCKETS 14 /* 1 ms, 2 ms, 4 ms ... 8192 ms */

typedef struct histogram_data {
	_Atomic uint64_t bucket[BUCKETS + 1]; /* the last one: longer */
	_Atomic uint64_t sum_us;
} histogram_data_t;

static const char *const names[HIST_COUNT] = {
#define HISTOGRAM(id, name, help) [HIST_##id] = name,
#include "histogram_list.h"
#undef HISTOGRAM
};

static histogram_data_t data[HIST_COUNT];

void histogram_add(histogram_t id, gh_time_t took)
{
	unsigned i = 0;

	while (i < BUCKETS && took > (GH_USEC_PER_MSEC << i))
		i++;
	atomic_fetch_add_explicit(&data[id].bucket[i], 1, memory_order_relaxed);
	atomic_fetch_add_explicit(&data[id].sum_us, (uint64_t)took,
				  memory_order_relaxed);
}

void histogram_text(GString *text)
{
	unsigned id, i;

	for (id = 0; id < HIST_COUNT; id++) {
		uint64_t count = 0;

		for (i = 0; i < BUCKETS; i++) {
			count += atomic_load(&data[id].bucket[i]);
			g_string_append_printf(text, "%s_le_%u %" PRIu64 "\n",
					       names[id], 1u << i, count);
		}
		count += atomic_load(&data[id].bucket[BUCKETS]);
		g_string_append_printf(
			text, "%s_count %" PRIu64 "\n%s_sum %" PRIu64 "\n",
			names[id], count, names[id],
			atomic_load(&data[id].sum_us) /
				(uint64_t)GH_USEC_PER_MSEC);
	}
}
