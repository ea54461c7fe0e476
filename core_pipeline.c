#include "core_pipeline.h"

#include <inttypes.h>
#include <stdio.h>
#include <string.h>

#include "error.h"

#define FORMAT_TAG "pipeline1"
#define EMPTY_FIELD "-" /* text form of an empty string */
/* What an owner keeps of a job, and of each step of it. */
#define JOB_BYTES 1536
#define STEP_BYTES 1024

enum step_flag {
	FLAG_GANG = 1,
	FLAG_ONE_RACK = 2,
	FLAG_SPECULATIVE = 4,
	FLAG_LONG_RUNNING = 8,
	FLAG_CHECKPOINTS = 16,
	FLAG_BEST_EFFORT = 32
};

static bool check_step(const gh_pipeline_t *pipeline, uint32_t index,
		       GError **err);
static void append_step(GString *text, const gh_step_t *step);
static bool parse_header(gh_pipeline_t *pipeline, const char *line);
static bool parse_step(gh_step_t *step, const char *line);
static const char *format_field(const char *text);
static bool parse_field(char *out, size_t size, const char *in);

bool gh_pipeline_check(const gh_pipeline_t *pipeline, GError **err)
{
	uint32_t occurrences = gh_pipeline_occurrence_count(pipeline);
	uint64_t tasks = 0;
	uint32_t i;

	if (!pipeline->n_steps || pipeline->n_steps > GH_STEPS_MAX) {
		gh_error_set(err, GH_E_BAD_VALUE,
			     "job %s has %u steps: expected 1 to %d",
			     pipeline->id, pipeline->n_steps, GH_STEPS_MAX);
		return false;
	}
	for (i = 0; i < pipeline->n_steps; i++) {
		if (!check_step(pipeline, i, err))
			return false;
		tasks += pipeline->steps[i].tasks;
	}
	/* The sum of the steps' tasks has at most 37 bits, the product 69. */
	if (tasks <= GH_PIPELINE_TASKS_MAX / occurrences)
		return true;
	gh_error_set(err, GH_E_BAD_VALUE,
		     "job %s has %" PRIu64 " tasks in %u occurrences: expected "
		     "at most %d",
		     pipeline->id, tasks, occurrences, GH_PIPELINE_TASKS_MAX);
	return false;
}

uint32_t gh_pipeline_occurrence_count(const gh_pipeline_t *pipeline)
{
	return MAX(pipeline->occurrences, 1);
}

uint32_t gh_pipeline_task_count(const gh_pipeline_t *pipeline)
{
	uint32_t tasks = 0;
	uint32_t i;

	for (i = 0; i < pipeline->n_steps; i++)
		tasks += pipeline->steps[i].tasks;
	return tasks;
}

uint32_t gh_pipeline_bytes(const gh_pipeline_t *pipeline)
{
	return JOB_BYTES + pipeline->n_steps * STEP_BYTES +
	       gh_pipeline_occurrence_count(pipeline) / 8 +
	       (uint32_t)strlen(pipeline->payload);
}

bool gh_pipeline_is_long_running(const gh_pipeline_t *pipeline)
{
	uint32_t i;

	for (i = 0; i < pipeline->n_steps; i++)
		if (pipeline->steps[i].long_running)
			return true;
	return false;
}

int64_t gh_pipeline_critical_path_ms(const gh_pipeline_t *pipeline,
				     uint32_t unfinished)
{
	int64_t step_ms[GH_STEPS_MAX];
	uint32_t i;

	for (i = 0; i < pipeline->n_steps; i++)
		step_ms[i] = pipeline->steps[i].estimate_ms;
	return gh_pipeline_longest_chain_ms(pipeline, unfinished, step_ms);
}

int64_t gh_pipeline_longest_chain_ms(const gh_pipeline_t *pipeline,
				     uint32_t unfinished,
				     const int64_t *step_ms)
{
	int64_t path_ms[GH_STEPS_MAX] = { 0 };
	int64_t longest_ms = 0;
	uint32_t i, j;

	for (i = 0; i < pipeline->n_steps; i++) {
		for (j = 0; j < i; j++)
			if (pipeline->steps[i].depends_on & 1u << j)
				path_ms[i] = MAX(path_ms[i], path_ms[j]);
		if (unfinished & 1u << i)
			path_ms[i] += step_ms[i];
		longest_ms = MAX(longest_ms, path_ms[i]);
	}
	return longest_ms;
}

char *gh_pipeline_format(const gh_pipeline_t *pipeline)
{
	GString *text = g_string_sized_new(512);
	uint32_t i;

	g_string_append_printf(text,
			       FORMAT_TAG " %s %s %s %" PRId64 " %" PRId64
					  " %" PRId64 " %u %u %u\n",
			       pipeline->id, pipeline->queue, pipeline->service,
			       pipeline->accepted_ms, pipeline->first_due_ms,
			       pipeline->interval_ms, pipeline->occurrences,
			       pipeline->n_steps, pipeline->attempts);
	for (i = 0; i < pipeline->n_steps; i++)
		append_step(text, &pipeline->steps[i]);
	g_string_append(text, pipeline->payload);
	return g_string_free(text, FALSE);
}

gh_pipeline_t *gh_pipeline_parse(const char *text, GError **err)
{
	gh_pipeline_t *pipeline = g_new0(gh_pipeline_t, 1);
	char *line = g_strndup(text, strcspn(text, "\n"));
	bool ok = parse_header(pipeline, line);
	uint32_t i;

	if (ok)
		pipeline->steps = g_new0(gh_step_t, pipeline->n_steps);
	for (i = 0; ok && i < pipeline->n_steps; i++) {
		text += strcspn(text, "\n");
		text += *text ? 1 : 0;
		g_free(line);
		line = g_strndup(text, strcspn(text, "\n"));
		ok = parse_step(&pipeline->steps[i], line);
	}
	g_free(line);
	if (ok) {
		text += strcspn(text, "\n");
		text += *text ? 1 : 0;
		pipeline->payload = g_strdup(text);
		if (gh_pipeline_check(pipeline, err))
			return pipeline;
	} else {
		gh_error_set(err, GH_E_SYNTAX,
			     "cannot parse the record of job %s", pipeline->id);
	}
	gh_pipeline_free(pipeline);
	return NULL;
}

void gh_pipeline_free(gh_pipeline_t *pipeline)
{
	if (!pipeline)
		return;
	g_free(pipeline->steps);
	g_free(pipeline->payload);
	g_free(pipeline);
}

static bool check_step(const gh_pipeline_t *pipeline, uint32_t index,
		       GError **err)
{
	const gh_step_t *step = &pipeline->steps[index];
	const char *problem = NULL;

	if (!step->tasks)
		problem = "has no tasks";
	else if (step->depends_on >> index)
		problem = "depends on itself or a later step";
	else if (step->gang && step->speculative)
		problem = "is both gang-scheduled and speculative";
	if (!problem)
		return true;
	gh_error_set(err, GH_E_BAD_VALUE, "step %u of job %s %s", index,
		     pipeline->id, problem);
	return false;
}

static void append_step(GString *text, const gh_step_t *step)
{
	unsigned flags = (step->gang ? FLAG_GANG : 0) |
			 (step->one_rack ? FLAG_ONE_RACK : 0) |
			 (step->speculative ? FLAG_SPECULATIVE : 0) |
			 (step->long_running ? FLAG_LONG_RUNNING : 0) |
			 (step->checkpoints ? FLAG_CHECKPOINTS : 0) |
			 (step->best_effort ? FLAG_BEST_EFFORT : 0);

	g_string_append_printf(
		text,
		"%u %u %u %u %" PRId64 " %x %u %u %" PRId64 " %x %s %s %s\n",
		step->tasks, step->size.cores_milli, step->size.memory_mb,
		step->size.accelerators, step->estimate_ms, step->depends_on,
		step->max_per_worker, step->max_unavailable,
		step->tail_bound_ms, flags, format_field(step->label),
		format_field(step->rack), format_field(step->image));
}

static bool parse_header(gh_pipeline_t *pipeline, const char *line)
{
	char id[GH_JOB_ID_MAX + 1];
	char queue[GH_QUEUE_MAX + 1];
	char service[GH_QUEUE_MAX + 1];

	/* Earlier versions wrote no attempts. */
	if (sscanf(line,
		   FORMAT_TAG " %32s %95s %95s %" SCNd64 " %" SCNd64 " %" SCNd64
			      " %u %u %u",
		   id, queue, service, &pipeline->accepted_ms,
		   &pipeline->first_due_ms, &pipeline->interval_ms,
		   &pipeline->occurrences, &pipeline->n_steps,
		   &pipeline->attempts) < 8)
		return false;
	g_strlcpy(pipeline->id, id, sizeof(pipeline->id));
	g_strlcpy(pipeline->queue, queue, sizeof(pipeline->queue));
	g_strlcpy(pipeline->service, service, sizeof(pipeline->service));
	return pipeline->n_steps && pipeline->n_steps <= GH_STEPS_MAX;
}

static bool parse_step(gh_step_t *step, const char *line)
{
	char label[GH_LABEL_MAX + 1];
	char rack[GH_LABEL_MAX + 1];
	char image[GH_LABEL_MAX + 1];
	unsigned flags;

	if (sscanf(line,
		   "%u %u %u %u %" SCNd64 " %x %u %u %" SCNd64
		   " %x %63s %63s %63s",
		   &step->tasks, &step->size.cores_milli, &step->size.memory_mb,
		   &step->size.accelerators, &step->estimate_ms,
		   &step->depends_on, &step->max_per_worker,
		   &step->max_unavailable, &step->tail_bound_ms, &flags, label,
		   rack, image) != 13)
		return false;
	step->gang = flags & FLAG_GANG;
	step->one_rack = flags & FLAG_ONE_RACK;
	step->speculative = flags & FLAG_SPECULATIVE;
	step->long_running = flags & FLAG_LONG_RUNNING;
	step->checkpoints = flags & FLAG_CHECKPOINTS;
	step->best_effort = flags & FLAG_BEST_EFFORT;
	return parse_field(step->label, sizeof(step->label), label) &&
	       parse_field(step->rack, sizeof(step->rack), rack) &&
	       parse_field(step->image, sizeof(step->image), image);
}

/* Field of the text form for a string that may be empty. */
static const char *format_field(const char *text)
{
	return *text ? text : EMPTY_FIELD;
}

static bool parse_field(char *out, size_t size, const char *in)
{
	return g_strlcpy(out, strcmp(in, EMPTY_FIELD) != 0 ? in : "", size) <
	       size;
}
