/*
 * Text form of progress records, for core_fleet_record.c; the format is
 * described in core_fleet_progress.c.
 */
#ifndef CORE_FLEET_PROGRESS_H
#define CORE_FLEET_PROGRESS_H

#include "core_fleet_state.h"

/* Crashes in doubt in a task's line; further ones can't be taken back. */
#define DOUBTS_MAX 5

typedef enum run_field_kind {
	FIELD_RUN,
	FIELD_BEGUN,
	FIELD_ALONE,
	FIELD_SILENT,
	FIELD_KINDS
} run_field_kind_t;

/* A run in a task's line. */
typedef struct run_field {
	run_field_kind_t kind;
	uint32_t number;
	char worker[GH_WORKER_ID_MAX + 1];
	int64_t incarnation_start_ms; /* not in FIELD_RUN */
} run_field_t;

/* A line of a progress record. */
typedef struct task_line {
	uint32_t index, last; /* last of the tasks that it is about */
	bool done, away;
	uint16_t failures;
	uint16_t crashes, start_crashes, lost_starts;
	uint32_t last_run, moves;
	char *checkpoint;
	run_field_t runs[GH_TASK_RUNS_MAX + DOUBTS_MAX];
	uint32_t n_runs, n_doubts; /* doubts are among the runs, too */
} task_line_t;

/* A record of all tasks, or a part of one. */
typedef struct section {
	const char *text;
	size_t len;
	const char *lines; /* after the first line's words */
	uint32_t part;	   /* GH_NONE: of all tasks */
} section_t;

/* Splits the record (section_t); returns false if a first line is invalid. */
bool fleet_progress_split(const fleet_job_t *job, const char *progress,
			  GArray *sections);
/* Whether all lines are valid, and no task has two. */
bool fleet_progress_check(const fleet_job_t *job, const GArray *sections);
/*
 * Parses the next line of the section; returns false at its end, or if the line
 * is invalid, which clears ok.  The caller frees the line's checkpoint.
 */
bool fleet_progress_next(const fleet_job_t *job, const section_t *section,
			 const char **cursor, task_line_t *line, bool *ok);
/* Whether a part has the task's line in place of a record of all tasks. */
bool fleet_progress_is_replaced(const fleet_job_t *job, const GArray *sections,
				const section_t *section, uint32_t index);

#endif
