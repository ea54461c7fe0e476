#include "core_slowdown.h"

#include <glib.h>
#include <string.h>

/*
 * One report corrects 1/8 of the error of the slowdown expected from a task's
 * neighbours.
 */
#define ERROR_DIVISOR 8
/*
 * A baseline (lowest tail latency of a kind of task) rises by 1/256 of its
 * difference to a higher tail latency.
 */
#define RISE_DIVISOR 256
#define BASELINE_SCALE 256 /* fixed point: units of a baseline in one ms */
/* Larger slowdowns are cut to this: twenty times the baseline. */
#define MAX_SLOWDOWN_MILLI 20000
#define MAX_SAMPLES 256

struct gh_slowdown {
	GHashTable *kinds; /* name to id + 1 */
	/*
	 * Lowest tail latency of each kind in ms, times BASELINE_SCALE; 0:
	 * none.
	 */
	uint64_t baseline[GH_KINDS_MAX];
	/*
	 * [a][b]: slowdown of a task of kind a that one task of kind b causes,
	 * in thousandths.
	 */
	int32_t expected_by[GH_KINDS_MAX][GH_KINDS_MAX];
};

static void update_baseline(gh_slowdown_t *model, uint16_t kind,
			    uint32_t tail_ms);
static void update_expected(gh_slowdown_t *model,
			    const gh_slowdown_sample_t *samples, size_t n,
			    size_t self);

gh_slowdown_t *gh_slowdown_new(void)
{
	gh_slowdown_t *model = g_new0(gh_slowdown_t, 1);

	model->kinds =
		g_hash_table_new_full(g_str_hash, g_str_equal, g_free, NULL);
	return model;
}

void gh_slowdown_free(gh_slowdown_t *model)
{
	if (!model)
		return;
	g_hash_table_unref(model->kinds);
	g_free(model);
}

uint16_t gh_slowdown_kind_id(gh_slowdown_t *model, const char *name)
{
	void *found = g_hash_table_lookup(model->kinds, name);
	guint id = g_hash_table_size(model->kinds);

	if (found)
		return (uint16_t)(GPOINTER_TO_UINT(found) - 1);
	if (id >= GH_KINDS_MAX)
		return GH_KINDS_MAX - 1;
	g_hash_table_insert(model->kinds, g_strdup(name),
			    GUINT_TO_POINTER(id + 1));
	return (uint16_t)id;
}

void gh_slowdown_learn(gh_slowdown_t *model,
		       const gh_slowdown_sample_t *samples, size_t n)
{
	size_t i;

	n = MIN(n, MAX_SAMPLES);
	for (i = 0; i < n; i++)
		if (samples[i].tail_ms)
			update_baseline(model, samples[i].kind,
					samples[i].tail_ms);
	for (i = 0; i < n; i++)
		if (samples[i].tail_ms)
			update_expected(model, samples, n, i);
}

int32_t gh_slowdown_measured(const gh_slowdown_t *model, uint16_t kind,
			     uint32_t tail_ms)
{
	uint64_t baseline = model->baseline[kind];
	uint64_t scaled = (uint64_t)tail_ms * BASELINE_SCALE;

	if (!baseline || scaled <= baseline)
		return 0;
	return (int32_t)MIN((scaled - baseline) * GH_SLOWDOWN_UNIT / baseline,
			    MAX_SLOWDOWN_MILLI);
}

int32_t gh_slowdown_expected(const gh_slowdown_t *model, uint16_t kind,
			     uint16_t neighbour)
{
	return model->expected_by[kind][neighbour];
}

/*
 * Updates the baseline of a kind: it drops to a lower tail latency at once and
 * rises slowly.
 */
static void update_baseline(gh_slowdown_t *model, uint16_t kind,
			    uint32_t tail_ms)
{
	uint64_t scaled = (uint64_t)tail_ms * BASELINE_SCALE;
	uint64_t *baseline = &model->baseline[kind];

	if (!*baseline || scaled < *baseline)
		*baseline = scaled;
	else
		*baseline += (scaled - *baseline) / RISE_DIVISOR;
}

/*
 * Corrects the slowdown that each neighbour of a task is expected to cause, by
 * equal parts.
 */
static void update_expected(gh_slowdown_t *model,
			    const gh_slowdown_sample_t *samples, size_t n,
			    size_t self)
{
	uint16_t kind = samples[self].kind;
	int32_t *expected_by = model->expected_by[kind];
	int64_t expected = 0;
	int64_t correction;
	size_t i;

	if (n < 2)
		return;
	for (i = 0; i < n; i++)
		if (i != self)
			expected += expected_by[samples[i].kind];
	correction = gh_slowdown_measured(model, kind, samples[self].tail_ms) -
		     expected;
	correction /= ERROR_DIVISOR * (int64_t)(n - 1);
	for (i = 0; i < n; i++)
		if (i != self)
			expected_by[samples[i].kind] = (int32_t)CLAMP(
				expected_by[samples[i].kind] + correction, 0,
				MAX_SLOWDOWN_MILLI);
}
