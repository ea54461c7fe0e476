/*
 * Slowdown that kinds of tasks cause each other on one worker, learned from
 * tail latencies that are reported with a delay.
 *
 * A slowdown is the excess of a task's tail latency over the baseline of its
 * kind, relative to the baseline.  The baseline is the lowest tail latency of
 * the kind and rises slowly while tails are higher.  A slowdown is modelled as
 * a sum over the tasks that ran on the same worker; each report moves the terms
 * of the sum towards the measured slowdown.
 */
#ifndef CORE_SLOWDOWN_H
#define CORE_SLOWDOWN_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#define GH_KINDS_MAX 256
/* Slowdown of a task whose tail latency is twice the baseline. */
#define GH_SLOWDOWN_UNIT 1000

typedef struct gh_slowdown gh_slowdown_t;

/* One task in a usage report. */
typedef struct gh_slowdown_sample {
	uint16_t kind;
	uint32_t tail_ms; /* tail latency; 0: not measured */
} gh_slowdown_sample_t;

gh_slowdown_t *gh_slowdown_new(void);
void gh_slowdown_free(gh_slowdown_t *model);

/*
 * Id of a kind of task, below GH_KINDS_MAX; assigned at the first call.  Once
 * all ids are in use, further kinds share the last id.
 */
uint16_t gh_slowdown_kind_id(gh_slowdown_t *model, const char *name);

/*
 * Learns baselines and expected slowdowns from the tasks that ran together on
 * one worker at one time.
 */
void gh_slowdown_learn(gh_slowdown_t *model,
		       const gh_slowdown_sample_t *samples, size_t n);

/* Slowdown that a tail latency shows, in thousandths of the baseline. */
int32_t gh_slowdown_measured(const gh_slowdown_t *model, uint16_t kind,
			     uint32_t tail_ms);

/* Expected slowdown of kind by one task of neighbour, in thousandths. */
int32_t gh_slowdown_expected(const gh_slowdown_t *model, uint16_t kind,
			     uint16_t neighbour);

#endif
