#include "core_slowdown.h"

#include <glib.h>
#include <string.h>

#define STEP_DIVISOR 8	 /* part of an error that one report corrects */
#define RISE_DIVISOR 256 /* how slowly a baseline rises */
#define TAIL_SCALE 256	 /* fraction bits of a baseline */
#define SCORE_MAX 20000	 /* twenty baselines */
#define SAMPLES_MAX 256

struct gh_slowdown {
	GHashTable *kinds;		 /* name to number + 1 */
	uint64_t baseline[GH_KINDS_MAX]; /* scaled ms; 0: none yet */
	int32_t score[GH_KINDS_MAX][GH_KINDS_MAX];
};

static void baseline_learn(gh_slowdown_t *model, uint16_t kind,
			   uint32_t tail_ms);
static void scores_learn(gh_slowdown_t *model,
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
	guint number = g_hash_table_size(model->kinds);

	if (found)
		return (uint16_t)(GPOINTER_TO_UINT(found) - 1);
	if (number >= GH_KINDS_MAX)
		return GH_KINDS_MAX - 1;
	g_hash_table_insert(model->kinds, g_strdup(name),
			    GUINT_TO_POINTER(number + 1));
	return (uint16_t)number;
}

void gh_slowdown_learn(gh_slowdown_t *model,
		       const gh_slowdown_sample_t *samples, size_t n)
{
	size_t i;

	n = MIN(n, SAMPLES_MAX);
	for (i = 0; i < n; i++)
		if (samples[i].tail_ms)
			baseline_learn(model, samples[i].kind,
				       samples[i].tail_ms);
	for (i = 0; i < n; i++)
		if (samples[i].tail_ms)
			scores_learn(model, samples, n, i);
}

int32_t gh_slowdown_measured(const gh_slowdown_t *model, uint16_t kind,
			     uint32_t tail_ms)
{
	uint64_t base = model->baseline[kind];
	uint64_t scaled = (uint64_t)tail_ms * TAIL_SCALE;

	if (!base || scaled <= base)
		return 0;
	return (int32_t)MIN((scaled - base) * GH_EXCESS_UNIT / base, SCORE_MAX);
}

int32_t gh_slowdown_expected(const gh_slowdown_t *model, uint16_t kind,
			     uint16_t other)
{
	return model->score[kind][other];
}

/* A baseline follows the lowest tails at once and rises slowly. */
static void baseline_learn(gh_slowdown_t *model, uint16_t kind,
			   uint32_t tail_ms)
{
	uint64_t scaled = (uint64_t)tail_ms * TAIL_SCALE;
	uint64_t *base = &model->baseline[kind];

	if (!*base || scaled < *base)
		*base = scaled;
	else
		*base += (scaled - *base) / RISE_DIVISOR;
}

static void scores_learn(gh_slowdown_t *model,
			 const gh_slowdown_sample_t *samples, size_t n,
			 size_t self)
{
	uint16_t kind = samples[self].kind;
	int32_t *score = model->score[kind];
	int64_t expected = 0;
	int64_t step;
	size_t i;

	if (n < 2)
		return;
	for (i = 0; i < n; i++)
		if (i != self)
			expected += score[samples[i].kind];
	step = gh_slowdown_measured(model, kind, samples[self].tail_ms) -
	       expected;
	step /= STEP_DIVISOR * (int64_t)(n - 1);
	for (i = 0; i < n; i++)
		if (i != self)
			score[samples[i].kind] = (int32_t)CLAMP(
				score[samples[i].kind] + step, 0, SCORE_MAX);
}
