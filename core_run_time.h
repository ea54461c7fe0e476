/*
 * Run times of tasks, learned from runs that ended as done.
 *
 * Answers load whose declared run times are far off: what a task is expected to
 * take is read off what earlier runs took, by how long they had declared.  Per
 * queue and per image, the logarithm of actual over declared time is fitted by
 * a line over the logarithm of the declared time.  A declared time that says
 * nothing gives the slope -1, so that the estimate is the usual run time; one
 * that is in proportion gives the slope 0.
 *
 * Slow start: the prior of a queue is the declared time, that of an image the
 * line of its queue.  Decay: observations beyond a number of them displace
 * earlier ones.  Memory: a fixed table, from which the least used is evicted.
 */
#ifndef CORE_RUN_TIME_H
#define CORE_RUN_TIME_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

/* Entries of the table, queues and images together. */
#define GH_RUN_TIMES_MAX 128

typedef struct gh_run_times gh_run_times_t;

/* What is known of the run time of one task. */
typedef struct gh_run_estimate {
	int64_t expected_ms; /* mean; 0: unknown */
	int64_t tail_ms;     /* 19 of 20 runs take no longer; 0: unknown */
	/* Mean and deviation of the run time's natural logarithm, in ms. */
	double log_mean, log_deviation;
	/* Part of the deviation that is among the tasks of one step. */
	double step_deviation;
	uint32_t n; /* observed runs of the queue or image, as they were told */
} gh_run_estimate_t;

gh_run_times_t *gh_run_times_new(void);
void gh_run_times_free(gh_run_times_t *times);

/* A run that ended as done. */
typedef struct gh_run_sample {
	int64_t declared_ms; /* 0 or less: none was declared */
	int64_t actual_ms;
	/* Above 0, up to 1; runs of one step share one weight of 1. */
	double weight;
	/* Earlier runs of its step, and their mean logarithm of ms. */
	uint32_t n_before;
	double log_mean_before;
} gh_run_sample_t;

/*
 * Learns from a run; image may be empty.  A run with a time or weight that
 * can't be is ignored.
 */
void gh_run_times_observe(gh_run_times_t *times, const char *queue,
			  const char *image, const gh_run_sample_t *sample);

/*
 * What a task is expected to take; false: nothing was learned, and the estimate
 * is the declared time, or unknown without one.
 */
bool gh_run_time_estimate(const gh_run_times_t *times, const char *queue,
			  const char *image, int64_t declared_ms,
			  gh_run_estimate_t *out);
/*
 * Narrows an estimate by n runs of the same step: they had the same declared
 * time, and took log_mean on average, as a natural logarithm in ms.
 */
void gh_run_estimate_narrow(gh_run_estimate_t *estimate, uint32_t n,
			    double log_mean);

/* Expected time of the longest of the n tasks of a step; 0: unknown. */
int64_t gh_run_estimate_longest_ms(const gh_run_estimate_t *estimate,
				   uint32_t n);

/* Number of runs that were ever told; changes with each that is learned from.
 */
uint64_t gh_run_times_version(const gh_run_times_t *times);

/* Text form of what was learned; to be freed with g_free(). */
char *gh_run_times_format(const gh_run_times_t *times);
/*
 * Adds the text form to an empty table.  Returns false at the first line that
 * is not valid; nothing of the text is kept then.
 */
bool gh_run_times_parse(gh_run_times_t *times, const char *text);

#endif
