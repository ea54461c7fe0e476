#include "core_press.h"

#include <glib.h>

#define WEIGHT_FIRST 0.4f /* of a pair not seen yet */
#define WEIGHT_LEAST 0.0f
#define WEIGHT_MOST 6.0f
#define LEARN_STEP 0.25	 /* of an error that one look corrects */
#define SHARE_FLOOR 0.01 /* keeps small shares from large steps */
#define BASE_PARTS 6.0	 /* of its bound that an idle task's tail is */
#define USE_LIMIT 0.99

struct gh_press {
	GHashTable *images; /* name to number + 1 */
	float weight[GH_IMAGES_MAX][GH_IMAGES_MAX];
};

gh_press_t *gh_press_new(void)
{
	gh_press_t *model = g_new0(gh_press_t, 1);
	int i, j;

	model->images =
		g_hash_table_new_full(g_str_hash, g_str_equal, g_free, NULL);
	for (i = 0; i < GH_IMAGES_MAX; i++)
		for (j = 0; j < GH_IMAGES_MAX; j++)
			model->weight[i][j] = WEIGHT_FIRST;
	return model;
}

void gh_press_free(gh_press_t *model)
{
	if (!model)
		return;
	g_hash_table_destroy(model->images);
	g_free(model);
}

uint16_t gh_press_image(gh_press_t *model, const char *name)
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

double gh_press_weight(const gh_press_t *model, uint16_t lasting,
		       uint16_t filling)
{
	return model->weight[lasting][filling];
}

double gh_press_sum(const gh_press_t *model, uint16_t lasting,
		    const gh_press_fill_t *fills, size_t n)
{
	double sum = 0;
	size_t i;

	for (i = 0; i < n; i++)
		sum += model->weight[lasting][fills[i].image] * fills[i].share;
	return sum;
}

double gh_press_use(int64_t tail_ms, int64_t bound_ms)
{
	double base = (double)bound_ms / BASE_PARTS;

	if ((double)tail_ms <= base)
		return 0;
	return MIN(1 - base / (double)tail_ms, USE_LIMIT);
}

double gh_press_use_most(void)
{
	return 1 - 1 / BASE_PARTS;
}

void gh_press_learn(gh_press_t *model, uint16_t lasting,
		    const gh_press_fill_t *fills, size_t n, double error)
{
	double squares = SHARE_FLOOR;
	size_t i;

	for (i = 0; i < n; i++)
		squares += fills[i].share * fills[i].share;
	for (i = 0; i < n; i++) {
		float *weight = &model->weight[lasting][fills[i].image];
		double step = LEARN_STEP * error * fills[i].share / squares;

		*weight =
			CLAMP(*weight + (float)step, WEIGHT_LEAST, WEIGHT_MOST);
	}
}
