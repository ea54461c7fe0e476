/*
 * Interference between kinds of tasks that run on one worker, learned from
 * lagging tail latencies.
 *
 * The excess of a task's tail over its kind's best is explained as a sum
 * over the kinds that ran beside it; each report moves these terms a step
 * towards the measured excess.
 */
#ifndef CORE_SLOWDOWN_H
#define CORE_SLOWDOWN_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#define GH_KINDS_MAX 256
#define GH_EXCESS_UNIT 1000 /* an excess of one whole baseline */

typedef struct gh_slowdown gh_slowdown_t;

/* One task in a usage report. */
typedef struct gh_slowdown_sample {
	uint16_t kind;
	uint32_t tail_ms; /* 0: not measured */
} gh_slowdown_sample_t;

gh_slowdown_t *gh_slowdown_new(void);
void gh_slowdown_free(gh_slowdown_t *model);

/* Small number of a kind; kinds beyond the table share the last one. */
uint16_t gh_slowdown_kind_id(gh_slowdown_t *model, const char *name);

/* Learns from the tasks that ran together on one worker at one time. */
void gh_slowdown_learn(gh_slowdown_t *model,
		       const gh_slowdown_sample_t *samples, size_t n);

/* Excess of a tail over its kind's baseline, in thousandths of it. */
int32_t gh_slowdown_measured(const gh_slowdown_t *model, uint16_t kind,
			     uint32_t tail_ms);

/* Expected excess of kind caused by one task of other. */
int32_t gh_slowdown_expected(const gh_slowdown_t *model, uint16_t kind,
			     uint16_t other);

#endif
