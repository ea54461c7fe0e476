/*
 * How much tasks that fill press on lasting tasks beside them, learned by
 * pairs of images from the lasting tasks' tail latencies.
 *
 * A tail is taken as base / (1 - u).  The use u is the task's own load plus
 * the press of all that fills: for each image its cores, as a share of the
 * worker's, times the weight of the pair.
 */
#ifndef CORE_INTERFERENCE_H
#define CORE_INTERFERENCE_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#define GH_IMAGES_MAX 64 /* further images share the last number */

typedef struct gh_interference gh_interference_t;

/* Cores of one image that fills, as a share of the worker's. */
typedef struct gh_interference_source {
	uint16_t image;
	double share;
} gh_interference_source_t;

gh_interference_t *gh_interference_new(void);
void gh_interference_free(gh_interference_t *model);

/* Small number of an image. */
uint16_t gh_interference_image_id(gh_interference_t *model, const char *name);

/* Use that one whole worker's cores of filling add to a lasting task's. */
double gh_interference_weight(const gh_interference_t *model, uint16_t lasting,
			      uint16_t filling);
double gh_interference_sum(const gh_interference_t *model, uint16_t lasting,
			   const gh_interference_source_t *fills, size_t n);

/* Use behind a tail; bound is the highest tail allowed, both in ms. */
double gh_interference_tail_utilisation(int64_t tail_ms, int64_t bound_ms);
/* Use at the bound itself. */
double gh_interference_bound_utilisation(void);

/* What was learned, for another model; the caller's to free. */
char *gh_interference_format(const gh_interference_t *model);
/* False when a line can't be read; those before it are taken over. */
bool gh_interference_parse(gh_interference_t *model, const char *text);

/* Lets fade what was learned of pairs that did not meet since the last time. */
void gh_interference_decay(gh_interference_t *model, double seconds);

/*
 * Moves the weights towards what was seen: the use of a lasting task was
 * higher by error than its load and the present weights say.
 */
void gh_interference_learn(gh_interference_t *model, uint16_t lasting,
			   const gh_interference_source_t *fills, size_t n,
			   double error);

#endif
