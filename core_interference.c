#include "core_interference.h"

#include <math.h>

#include <glib.h>

/* interference weight of a pair of images that was not observed yet */
#define INITIAL_WEIGHT 0.4f
#define MIN_WEIGHT 0.0f
#define MAX_WEIGHT 6.0f
#define INITIAL_VARIANCE 1.0f
/*
 * Added to the variance of a weight at each update, because weights change over
 * time.
 */
#define VARIANCE_GROWTH 0.0001f
/*
 * Time constant with which the weights of image pairs that are not observed
 * return to INITIAL_WEIGHT.
 */
#define DECAY_TIME_S 20.0f
/*
 * The interference of heavy pairs fluctuates, so a weight above HEAVY_WEIGHT
 * falls only by HEAVY_DECREASE_FACTOR times the correction.
 */
#define HEAVY_WEIGHT 0.5f
#define HEAVY_DECREASE_FACTOR 0.1
/*
 * Best-effort tasks of an image with a smaller share of the worker's cores have
 * no visible effect.
 */
#define MIN_OBSERVED_SHARE 0.01
/*
 * Only image pairs whose weight has less than this fraction of the initial
 * variance are saved.
 */
#define LEARNED_VARIANCE_RATIO 0.9f
#define PAIR_FIELDS 4 /* fields in the text form of a pair */
/* Variance of the noise of a measured utilisation. */
#define NOISE_VARIANCE 0.0025
/* Bound of a tail latency, divided by the tail latency without load. */
#define BOUND_TO_IDLE_TAIL 6.0
#define MAX_UTILISATION 0.99

struct gh_interference {
	GHashTable *images; /* name to id + 1 */
	float weight[GH_IMAGES_MAX][GH_IMAGES_MAX];
	/* Variance of the weight of each pair of images. */
	float variance[GH_IMAGES_MAX][GH_IMAGES_MAX];
	/* Pairs of images observed since the last gh_interference_decay(). */
	bool observed[GH_IMAGES_MAX][GH_IMAGES_MAX];
};

static bool parse_pair(gh_interference_t *model, const char *line);

gh_interference_t *gh_interference_new(void)
{
	gh_interference_t *model = g_new0(gh_interference_t, 1);
	int i, j;

	model->images =
		g_hash_table_new_full(g_str_hash, g_str_equal, g_free, NULL);
	for (i = 0; i < GH_IMAGES_MAX; i++)
		for (j = 0; j < GH_IMAGES_MAX; j++) {
			model->weight[i][j] = INITIAL_WEIGHT;
			model->variance[i][j] = INITIAL_VARIANCE;
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
	guint id = g_hash_table_size(model->images);

	if (found)
		return (uint16_t)(GPOINTER_TO_UINT(found) - 1);
	if (id >= GH_IMAGES_MAX)
		return GH_IMAGES_MAX - 1;
	g_hash_table_insert(model->images, g_strdup(name),
			    GUINT_TO_POINTER(id + 1));
	return (uint16_t)id;
}

double gh_interference_weight(const gh_interference_t *model,
			      uint16_t long_running, uint16_t best_effort)
{
	return model->weight[long_running][best_effort];
}

double gh_interference_sum(const gh_interference_t *model,
			   uint16_t long_running,
			   const gh_interference_source_t *sources, size_t n)
{
	double sum = 0;
	size_t i;

	for (i = 0; i < n; i++)
		sum += model->weight[long_running][sources[i].image] *
		       sources[i].share;
	return sum;
}

double gh_interference_tail_utilisation(int64_t tail_ms, int64_t bound_ms)
{
	double idle_tail_ms = (double)bound_ms / BOUND_TO_IDLE_TAIL;

	if ((double)tail_ms <= idle_tail_ms)
		return 0;
	return MIN(1 - idle_tail_ms / (double)tail_ms, MAX_UTILISATION);
}

double gh_interference_bound_utilisation(void)
{
	return 1 - 1 / BOUND_TO_IDLE_TAIL;
}

/*
 * One pair a line: image of the long-running task, image of the best-effort
 * task, weight, variance.  Names are percent-encoded.
 */
char *gh_interference_format(const gh_interference_t *model)
{
	GString *text = g_string_new(NULL);
	char *names[GH_IMAGES_MAX] = { NULL };
	GHashTableIter iter;
	gpointer name, id;
	int i, j;

	g_hash_table_iter_init(&iter, model->images);
	while (g_hash_table_iter_next(&iter, &name, &id))
		names[GPOINTER_TO_UINT(id) - 1] =
			g_uri_escape_string(name, NULL, FALSE);
	for (i = 0; i < GH_IMAGES_MAX && names[i]; i++)
		for (j = 0; j < GH_IMAGES_MAX && names[j]; j++)
			if (*names[i] && *names[j] &&
			    model->variance[i][j] <
				    LEARNED_VARIANCE_RATIO * INITIAL_VARIANCE)
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
		ok = !*lines[i] || parse_pair(model, lines[i]);
	g_strfreev(lines);
	return ok;
}

static bool parse_pair(gh_interference_t *model, const char *line)
{
	char **fields = g_strsplit(line, " ", -1);
	char *long_running = NULL;
	char *best_effort = NULL;
	double weight = 0;
	double variance = 0;
	bool ok = g_strv_length(fields) == PAIR_FIELDS;

	if (ok) {
		weight = g_ascii_strtod(fields[2], NULL);
		variance = g_ascii_strtod(fields[3], NULL);
		long_running = g_uri_unescape_string(fields[0], NULL);
		best_effort = g_uri_unescape_string(fields[1], NULL);
		ok = long_running && best_effort && isfinite(weight) &&
		     isfinite(variance);
	}
	if (ok) {
		uint16_t i = gh_interference_image_id(model, long_running);
		uint16_t j = gh_interference_image_id(model, best_effort);

		model->weight[i][j] =
			CLAMP((float)weight, MIN_WEIGHT, MAX_WEIGHT);
		model->variance[i][j] =
			CLAMP((float)variance, 0, INITIAL_VARIANCE);
	}
	g_free(long_running);
	g_free(best_effort);
	g_strfreev(fields);
	return ok;
}

void gh_interference_decay(gh_interference_t *model, double elapsed_s)
{
	float decay = (float)(1 - exp(-elapsed_s / DECAY_TIME_S));
	int i, j;

	for (i = 0; i < GH_IMAGES_MAX; i++)
		for (j = 0; j < GH_IMAGES_MAX; j++) {
			if (!model->observed[i][j]) {
				model->weight[i][j] +=
					decay *
					(INITIAL_WEIGHT - model->weight[i][j]);
				model->variance[i][j] +=
					decay * (INITIAL_VARIANCE -
						 model->variance[i][j]);
			}
			model->observed[i][j] = false;
		}
}

void gh_interference_learn(gh_interference_t *model, uint16_t long_running,
			   const gh_interference_source_t *sources, size_t n,
			   double error)
{
	double total_variance = NOISE_VARIANCE;
	size_t i;

	for (i = 0; i < n; i++)
		total_variance +=
			model->variance[long_running][sources[i].image] *
			sources[i].share * sources[i].share;
	/*
	 * Update each weight by a Kalman filter that treats the weights as
	 * independent.
	 */
	for (i = 0; i < n; i++) {
		float *weight = &model->weight[long_running][sources[i].image];
		float *variance =
			&model->variance[long_running][sources[i].image];
		double gain = *variance * sources[i].share / total_variance;

		if (sources[i].share > MIN_OBSERVED_SHARE)
			model->observed[long_running][sources[i].image] = true;
		if (error < 0 && *weight > HEAVY_WEIGHT)
			gain *= HEAVY_DECREASE_FACTOR;
		*weight = CLAMP(*weight + (float)(gain * error), MIN_WEIGHT,
				MAX_WEIGHT);
		*variance *= (float)(1 - gain * sources[i].share);
		*variance = MIN(*variance + VARIANCE_GROWTH, INITIAL_VARIANCE);
	}
}
