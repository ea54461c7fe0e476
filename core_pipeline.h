/*
 * A job as a client account submits it: a pipeline of steps, each a number of
 * equal tasks, run once or in occurrences at regular times.
 *
 * The store keeps an accepted job in its text form.
 */
#ifndef CORE_PIPELINE_H
#define CORE_PIPELINE_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#include <glib.h>

#include "core_place.h"

#define GH_JOB_ID_MAX 32 /* max bytes of a job id */
#define GH_QUEUE_MAX 95	 /* max bytes of a queue or service name */
#define GH_LABEL_MAX 63	 /* max bytes of a label, rack or image name */
#define GH_STEPS_MAX 32	 /* max steps of a job; bits of gh_step_t.depends_on */
/* Max tasks of a job, all occurrences together. */
#define GH_PIPELINE_TASKS_MAX 20000
#define GH_PAYLOAD_MAX 4000 /* max bytes of a job's payload */

typedef struct gh_step {
	uint32_t tasks;
	gh_resources_t size;
	int64_t estimate_ms; /* run time of one task; 0: unknown */
	/*
	 * bit mask of earlier steps that must be done before this step starts
	 */
	uint32_t depends_on;
	/* Max tasks of the step on one worker; 0: no limit. */
	uint32_t max_per_worker;
	/*
	 * Max long-running tasks of the step that may be stopped at the same
	 * time; not enforced.
	 */
	uint32_t max_unavailable;
	/* Bound of a long-running task's tail latency, in ms; 0: none. */
	int64_t tail_bound_ms;
	/* all tasks of the step run at the same time or none does */
	bool gang;
	/*
	 * place the step's tasks in one rack if possible: they run slower when
	 * spread
	 */
	bool one_rack;
	bool speculative;  /* a second run of a task may overlap the first */
	bool long_running; /* runs until the job is cancelled */
	bool checkpoints;  /* tasks write checkpoints */
	bool best_effort;  /* runs on cores that other tasks leave unused */
	/* Label that a worker must have to run the step; empty: any. */
	char label[GH_LABEL_MAX + 1];
	/* Preferred rack, near the data; empty: none. */
	char rack[GH_LABEL_MAX + 1];
	/* Image name; tasks of one image behave alike. */
	char image[GH_LABEL_MAX + 1];
} gh_step_t;

typedef struct gh_pipeline {
	char id[GH_JOB_ID_MAX + 1];
	char queue[GH_QUEUE_MAX + 1];
	char service[GH_QUEUE_MAX + 1]; /* service whose workers run the job */
	/* Attempts of the queue when the job was accepted; 0: not known. */
	uint32_t attempts;
	/* when the job was accepted, wall clock */
	int64_t accepted_ms;
	int64_t first_due_ms; /* when occurrence 0 is due, wall clock */
	int64_t interval_ms;  /* time from one occurrence to the next */
	/* Number of occurrences; 0: one, due immediately. */
	uint32_t occurrences;
	uint32_t n_steps;
	gh_step_t *steps;
	char *payload; /* passed to each task unchanged */
} gh_pipeline_t;

/*
 * Checks the step and task counts and the dependencies; sets GH_E_BAD_VALUE
 * with the job and the step.
 */
bool gh_pipeline_check(const gh_pipeline_t *pipeline, GError **err);

uint32_t gh_pipeline_occurrence_count(const gh_pipeline_t *pipeline);
/* Number of tasks in one occurrence of the job. */
uint32_t gh_pipeline_task_count(const gh_pipeline_t *pipeline);
/* Memory that an owner needs for the job, without its tasks, in bytes. */
uint32_t gh_pipeline_bytes(const gh_pipeline_t *pipeline);
/* Whether any step of the job is long-running. */
bool gh_pipeline_is_long_running(const gh_pipeline_t *pipeline);

/*
 * Estimated time of the job's longest chain of dependent steps, in ms.  Only
 * the steps whose bits are set in unfinished count.
 */
int64_t gh_pipeline_critical_path_ms(const gh_pipeline_t *pipeline,
				     uint32_t unfinished);
/* The same with the given time of each step. */
int64_t gh_pipeline_longest_chain_ms(const gh_pipeline_t *pipeline,
				     uint32_t unfinished,
				     const int64_t *step_ms);

/* Text form of a job; to be freed with g_free(). */
char *gh_pipeline_format(const gh_pipeline_t *pipeline);
/*
 * Returns NULL and sets GH_E_SYNTAX when the text is not the text form of a
 * job, GH_E_BAD_VALUE when the job fails gh_pipeline_check().
 */
gh_pipeline_t *gh_pipeline_parse(const char *text, GError **err);
void gh_pipeline_free(gh_pipeline_t *pipeline);

#endif
