/*
 * Interference of best-effort tasks with the long-running tasks on the same
 * worker, learned per pair of images from tail latencies.
 *
 * The tail latency of a long-running task is modelled as base / (1 - u).  The
 * utilisation u is the task's own load plus the interference of all
 * best-effort tasks: the share of the worker's cores that each image has, times
 * the weight of the pair of images.
 */
#ifndef CORE_INTERFERENCE_H
#define CORE_INTERFERENCE_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

/* number of image ids; further images share the last id */
#define GH_IMAGES_MAX 64

typedef struct gh_interference gh_interference_t;

/* Best-effort tasks of one image on a worker. */
typedef struct gh_interference_source {
	uint16_t image;
	double share; /* cores of these tasks / cores of the worker */
} gh_interference_source_t;

gh_interference_t *gh_interference_new(void);
void gh_interference_free(gh_interference_t *model);

/* Id of an image, below GH_IMAGES_MAX; assigned at the first call. */
uint16_t gh_interference_image_id(gh_interference_t *model, const char *name);

/*
 * Utilisation that best-effort tasks of one image, on all cores of a worker,
 * add to that of a long-running task of another image.
 */
double gh_interference_weight(const gh_interference_t *model,
			      uint16_t long_running, uint16_t best_effort);
/*
 * Utilisation that all the sources (best-effort tasks, by image) together add
 * to that of a long-running task.
 */
double gh_interference_sum(const gh_interference_t *model,
			   uint16_t long_running,
			   const gh_interference_source_t *sources, size_t n);

/* Utilisation that explains a tail latency, given the bound of that latency. */
double gh_interference_tail_utilisation(int64_t tail_ms, int64_t bound_ms);
/* Utilisation at which the tail latency is at its bound. */
double gh_interference_bound_utilisation(void);

/*
 * Text form of the weights learned per pair of images; to be freed with
 * g_free().
 */
char *gh_interference_format(const gh_interference_t *model);
/*
 * Reads the text form of learned weights into the model.  Returns false at the
 * first line that is not valid; the lines before it have been taken over.
 */
bool gh_interference_parse(gh_interference_t *model, const char *text);

/*
 * Moves the weights of image pairs that were not observed since the last call
 * back towards the initial weight; elapsed_s is the time since that call.
 */
void gh_interference_decay(gh_interference_t *model, double elapsed_s);

/*
 * Updates the weights after a measurement of a long-running task; error is the
 * measured utilisation minus the sum of the task's own load and the
 * interference expected from the sources.
 */
void gh_interference_learn(gh_interference_t *model, uint16_t long_running,
			   const gh_interference_source_t *sources, size_t n,
			   double error);

#endif
