/*
 * What a client account asks for: a job of steps, each step a number of
 * equal tasks, run once or in occurrences due at stated times.
 *
 * The text form is what the store keeps of an accepted job.
 */
#ifndef CORE_PIPELINE_H
#define CORE_PIPELINE_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#include <glib.h>

#include "core_place.h"

#define GH_JOB_ID_MAX 32	    /* bytes of a job's id */
#define GH_QUEUE_MAX 95		    /* bytes of a queue's or service's name */
#define GH_LABEL_MAX 63		    /* bytes of a label, a rack or an image */
#define GH_STEPS_MAX 32		    /* bits of gh_step_t.after */
#define GH_PIPELINE_TASKS_MAX 20000 /* tasks of all occurrences */
#define GH_PAYLOAD_MAX 4000	    /* bytes of a job's payload */

typedef struct gh_step {
	uint32_t tasks;
	gh_resources_t size;
	int64_t estimate_ms;	 /* of one task's run; 0: none given */
	uint32_t depends_on;	 /* mask of the steps that must be done first */
	uint32_t max_per_worker; /* most tasks on one worker; 0: no limit */
	uint32_t max_unavailable; /* lasting tasks that we may take away at once
				   */
	int64_t tail_bound_ms;	  /* bound of a lasting task's tail latency; 0:
				     none */
	bool gang;		  /* all tasks run at once or not at all */
	bool one_rack;		  /* slower when spread over racks */
	bool speculative;	  /* two runs of one task may overlap */
	bool long_running;	  /* runs until the job is cancelled */
	bool checkpoints;	  /* writes checkpoints */
	bool best_effort;	  /* lives on cores that others leave unused */
	char label[GH_LABEL_MAX + 1]; /* that the worker must carry; or empty */
	char rack[GH_LABEL_MAX + 1];  /* where its data lies; or empty */
	char image[GH_LABEL_MAX + 1]; /* tasks of one image behave alike */
} gh_step_t;

typedef struct gh_pipeline {
	char id[GH_JOB_ID_MAX + 1];
	char queue[GH_QUEUE_MAX + 1];
	char service[GH_QUEUE_MAX + 1]; /* whose workers run it */
	int64_t accepted_ms;		/* wall clock */
	int64_t first_due_ms;		/* wall clock, of occurrence 0 */
	int64_t interval_ms;		/* between occurrences */
	uint32_t occurrences;		/* occurrences; 0: once, at once */
	uint32_t n_steps;
	gh_step_t *steps;
	char *payload; /* passed to each task as it came */
} gh_pipeline_t;

/* Checks what the decoders can't; GH_E_BAD_VALUE names the step. */
bool gh_pipeline_check(const gh_pipeline_t *pipeline, GError **err);

uint32_t gh_pipeline_occurrence_count(const gh_pipeline_t *pipeline);
uint32_t gh_pipeline_task_count(const gh_pipeline_t *pipeline);
bool gh_pipeline_is_long_running(const gh_pipeline_t *pipeline);

/*
 * Longest chain of estimates from the steps in the mask on, in ms; with
 * every step in the mask, of the whole job.
 */
int64_t gh_pipeline_critical_path_ms(const gh_pipeline_t *pipeline,
				     uint32_t open);

/* Text form and back; NULL with GH_E_SYNTAX on anything else. */
char *gh_pipeline_format(const gh_pipeline_t *pipeline);
gh_pipeline_t *gh_pipeline_parse(const char *text, GError **err);
void gh_pipeline_free(gh_pipeline_t *pipeline);

#endif
