#include "counter.h"

#include <inttypes.h>
#include <stdatomic.h>

#include "histogram.h"

typedef struct counter_info {
	const char *name;
	const char *help;
} counter_info_t;

static const counter_info_t counter_infos[CTR_COUNT] = {
#define COUNTER(id, name_, help_) [CTR_##id] = { .name = name_, .help = help_ },
#include "counter_list.h"
#undef COUNTER
};

static _Atomic uint64_t values[CTR_COUNT];
static _Atomic uint64_t refusal_counts[GH_E_COUNT];

void counter_add(counter_t id, uint64_t n)
{
	atomic_fetch_add_explicit(&values[id], n, memory_order_relaxed);
}

void counter_inc(counter_t id)
{
	counter_add(id, 1);
}

uint64_t counter_get(counter_t id)
{
	return atomic_load_explicit(&values[id], memory_order_relaxed);
}

const char *counter_name(counter_t id)
{
	return counter_infos[id].name;
}

const char *counter_help(counter_t id)
{
	return counter_infos[id].help;
}

void counter_inc_refusals(gh_error_kind_t kind)
{
	atomic_fetch_add_explicit(&refusal_counts[kind], 1,
				  memory_order_relaxed);
}

uint64_t counter_get_refusals(gh_error_kind_t kind)
{
	return atomic_load_explicit(&refusal_counts[kind],
				    memory_order_relaxed);
}

char *counter_format_all(void)
{
	GString *text = g_string_sized_new(4096);
	int i;

	for (i = 0; i < CTR_COUNT; i++)
		g_string_append_printf(text, "%s %" PRIu64 "\n",
				       counter_infos[i].name,
				       counter_get((counter_t)i));
	for (i = 0; i < GH_E_COUNT; i++)
		g_string_append_printf(
			text, "refused_%s %" PRIu64 "\n",
			gh_error_name((gh_error_kind_t)i),
			counter_get_refusals((gh_error_kind_t)i));
	histogram_append_all(text);
	return g_string_free(text, FALSE);
}
