#include "core_interference.h"

#include <math.h>

#include <glib.h>

#define WEIGHT_FIRST 0.4f /* of a pair not seen yet */
#define WEIGHT_LEAST 0.0f
#define WEIGHT_MOST 6.0f
#define VARIANCE_FIRST 1.0f	/* of the weight of a pair not seen yet */
#define VARIANCE_GROWTH 0.0001f /* at each look; pairs change in time */
#define FADE_S 20.0f /* after which what is not seen is forgotten, e times */
#define WEIGHT_HEAVY 0.5f /* what a heavier pair seems to lose ... */
#define HEAVY_FALL 0.1	  /* ... counts for so much; they swing in time */
#define SHARE_LOOKED 0.01 /* a smaller one shows nothing of its pair */
#define LEARNED 0.9f   /* of the first variance; a pair above it is left out */
#define PAIR_WORDS 4   /* in its line of text */
#define NOISE 0.0025   /* variance of a use seen, less what is expected */
#define BASE_PARTS 6.0 /* of its bound that an idle task's tail is */
#define USE_LIMIT 0.99

struct gh_interference {
	GHashTable *images; /* name to number + 1 */
	float weight[GH_IMAGES_MAX][GH_IMAGES_MAX];
	float variance[GH_IMAGES_MAX][GH_IMAGES_MAX]; /* of the weight */
	bool looked[GH_IMAGES_MAX][GH_IMAGES_MAX];    /* at since it faded */
};

static bool read_pair(gh_interference_t *model, const char *line);

gh_interference_t *gh_interference_new(void)
{
	gh_interference_t *model = g_new0(gh_interference_t, 1);
	int i, j;

	model->images =
		g_hash_table_new_full(g_str_hash, g_str_equal, g_free, NULL);
	for (i = 0; i < GH_IMAGES_MAX; i++)
		for (j = 0; j < GH_IMAGES_MAX; j++) {
			model->weight[i][j] = WEIGHT_FIRST;
			model->variance[i][j] = VARIANCE_FIRST;
		}
	return model;
}

void gh_interference_free(gh_interference_t *model)
{
	if (!model)
		return;
	g_hash_table_destroy(model->images);
	g_free(model);
}

uint16_t gh_interference_image_id(gh_interference_t *model, const char *name)
{
	gpointer found = g_hash_table_lookup(model->images, name);
	guint number = g_hash_table_size(model->images);

	if (found)
		return (uint16_t)(GPOINTER_TO_UINT(found) - 1);
	if (number >= GH_IMAGES_MAX)
		return GH_IMAGES_MAX - 1;
	g_hash_table_insert(model->images, g_strdup(name),
			    GUINT_TO_POINTER(number + 1));
	return (uint16_t)number;
}

double gh_interference_weight(const gh_interference_t *model, uint16_t lasting,
			      uint16_t filling)
{
	return model->weight[lasting][filling];
}

double gh_interference_sum(const gh_interference_t *model, uint16_t lasting,
			   const gh_interference_source_t *fills, size_t n)
{
	double sum = 0;
	size_t i;

	for (i = 0; i < n; i++)
		sum += model->weight[lasting][fills[i].image] * fills[i].share;
	return sum;
}

double gh_interference_tail_utilisation(int64_t tail_ms, int64_t bound_ms)
{
	double base = (double)bound_ms / BASE_PARTS;

	if ((double)tail_ms <= base)
		return 0;
	return MIN(1 - base / (double)tail_ms, USE_LIMIT);
}

double gh_interference_bound_utilisation(void)
{
	return 1 - 1 / BASE_PARTS;
}

/* One pair a line: LASTING FILLING WEIGHT VARIANCE, names as in a URI. */
char *gh_interference_format(const gh_interference_t *model)
{
	GString *text = g_string_new(NULL);
	char *names[GH_IMAGES_MAX] = { NULL };
	GHashTableIter iter;
	gpointer name, number;
	int i, j;

	g_hash_table_iter_init(&iter, model->images);
	while (g_hash_table_iter_next(&iter, &name, &number))
		names[GPOINTER_TO_UINT(number) - 1] =
			g_uri_escape_string(name, NULL, FALSE);
	for (i = 0; i < GH_IMAGES_MAX && names[i]; i++)
		for (j = 0; j < GH_IMAGES_MAX && names[j]; j++)
			if (*names[i] && *names[j] &&
			    model->variance[i][j] < LEARNED * VARIANCE_FIRST)
				g_string_append_printf(
					text, "%s %s %.3f %.4f\n", names[i],
					names[j], (double)model->weight[i][j],
					(double)model->variance[i][j]);
	for (i = 0; i < GH_IMAGES_MAX; i++)
		g_free(names[i]);
	return g_string_free(text, FALSE);
}

bool gh_interference_parse(gh_interference_t *model, const char *text)
{
	char **lines = g_strsplit(text, "\n", -1);
	bool ok = true;
	size_t i;

	for (i = 0; ok && lines[i]; i++)
		ok = !*lines[i] || read_pair(model, lines[i]);
	g_strfreev(lines);
	return ok;
}

static bool read_pair(gh_interference_t *model, const char *line)
{
	char **words = g_strsplit(line, " ", -1);
	char *lasting = NULL;
	char *filling = NULL;
	double weight = 0;
	double variance = 0;
	bool ok = g_strv_length(words) == PAIR_WORDS;

	if (ok) {
		weight = g_ascii_strtod(words[2], NULL);
		variance = g_ascii_strtod(words[3], NULL);
		lasting = g_uri_unescape_string(words[0], NULL);
		filling = g_uri_unescape_string(words[1], NULL);
		ok = lasting && filling && isfinite(weight) &&
		     isfinite(variance);
	}
	if (ok) {
		uint16_t i = gh_interference_image_id(model, lasting);
		uint16_t j = gh_interference_image_id(model, filling);

		model->weight[i][j] =
			CLAMP((float)weight, WEIGHT_LEAST, WEIGHT_MOST);
		model->variance[i][j] =
			CLAMP((float)variance, 0, VARIANCE_FIRST);
	}
	g_free(lasting);
	g_free(filling);
	g_strfreev(words);
	return ok;
}

void gh_interference_decay(gh_interference_t *model, double seconds)
{
	float part = (float)(1 - exp(-seconds / FADE_S));
	int i, j;

	for (i = 0; i < GH_IMAGES_MAX; i++)
		for (j = 0; j < GH_IMAGES_MAX; j++) {
			if (!model->looked[i][j]) {
				model->weight[i][j] +=
					part *
					(WEIGHT_FIRST - model->weight[i][j]);
				model->variance[i][j] +=
					part * (VARIANCE_FIRST -
						model->variance[i][j]);
			}
			model->looked[i][j] = false;
		}
}

void gh_interference_learn(gh_interference_t *model, uint16_t lasting,
			   const gh_interference_source_t *fills, size_t n,
			   double error)
{
	double sum = NOISE;
	size_t i;

	for (i = 0; i < n; i++)
		sum += model->variance[lasting][fills[i].image] *
		       fills[i].share * fills[i].share;
	/* A Kalman filter that takes the weights as independent. */
	for (i = 0; i < n; i++) {
		float *weight = &model->weight[lasting][fills[i].image];
		float *variance = &model->variance[lasting][fills[i].image];
		double gain = *variance * fills[i].share / sum;

		if (fills[i].share > SHARE_LOOKED)
			model->looked[lasting][fills[i].image] = true;
		if (error < 0 && *weight > WEIGHT_HEAVY)
			gain *= HEAVY_FALL;
		*weight = CLAMP(*weight + (float)(gain * error), WEIGHT_LEAST,
				WEIGHT_MOST);
		*variance *= (float)(1 - gain * fills[i].share);
		*variance = MIN(*variance + VARIANCE_GROWTH, VARIANCE_FIRST);
	}
}
