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

#define GH_JOB_ID_MAX 32	    /* bytes of a job id */
#define GH_QUEUE_MAX 95		    /* bytes of a queue or service name */
#define GH_LABEL_MAX 63		    /* bytes of a label, rack or image name */
#define GH_STEPS_MAX 32		    /* bits of gh_step_t.depends_on */
#define GH_PIPELINE_TASKS_MAX 20000 /* tasks of all occurrences */
#define GH_PAYLOAD_MAX 4000	    /* bytes of a job's payload */

typedef struct gh_step {
	uint32_t tasks;
	gh_resources_t size;
	int64_t estimate_ms;	 /* run time of one task; 0: unknown */
	uint32_t depends_on;	 /* mask of earlier steps that must be done */
	uint32_t max_per_worker; /* tasks on one worker; 0: no limit */
	/* Long-running tasks that may be stopped at the same time. */
	uint32_t max_unavailable;
	/* Bound of a long-running task's tail latency; 0: none. */
	int64_t tail_bound_ms;
	bool gang;	   /* all tasks run at once or none does */
	bool one_rack;	   /* tasks run slower when spread over racks */
	bool speculative;  /* a second run of a task may overlap the first */
	bool long_running; /* runs until the job is cancelled */
	bool checkpoints;  /* tasks write checkpoints */
	bool best_effort;  /* runs on cores that other tasks leave unused */
	char label[GH_LABEL_MAX + 1]; /* required of the worker; or empty */
	char rack[GH_LABEL_MAX + 1];  /* preferred, near the data; or empty */
	char image[GH_LABEL_MAX + 1]; /* tasks of one image behave alike */
} gh_step_t;

typedef struct gh_pipeline {
	char id[GH_JOB_ID_MAX + 1];
	char queue[GH_QUEUE_MAX + 1];
	char service[GH_QUEUE_MAX + 1]; /* whose workers run the job */
	int64_t accepted_ms;		/* wall clock */
	int64_t first_due_ms;		/* wall clock, of occurrence 0 */
	int64_t interval_ms;		/* from one occurrence to the next */
	uint32_t occurrences;		/* 0: one, due immediately */
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
/* Tasks of one occurrence. */
uint32_t gh_pipeline_task_count(const gh_pipeline_t *pipeline);
/* Whether any step is long-running. */
bool gh_pipeline_is_long_running(const gh_pipeline_t *pipeline);

/*
 * Estimated time of the longest chain of dependent steps, in ms, counting only
 * the unfinished steps, a mask.
 */
int64_t gh_pipeline_critical_path_ms(const gh_pipeline_t *pipeline,
				     uint32_t unfinished);

/* Text form of a job; to be freed with g_free(). */
char *gh_pipeline_format(const gh_pipeline_t *pipeline);
/*
 * Returns NULL and sets GH_E_SYNTAX when the text is not the text form of a
 * job, GH_E_BAD_VALUE when the job fails gh_pipeline_check().
 */
gh_pipeline_t *gh_pipeline_parse(const char *text, GError **err);
void gh_pipeline_free(gh_pipeline_t *pipeline);

#endif
