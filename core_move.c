#include "core_move.h"

#include <inttypes.h>
#include <string.h>

#include "error.h"

#define FORMAT_TAG "moved1"
#define NO_CHECKPOINT "-"
#define ESCAPED_DASH "%2D" /* a checkpoint of that name */
/* Words of the first line. */
#define MOVE_FIELDS 9

static char *format_checkpoint(const char *name);
static bool parse_line(char **fields, gh_task_move_t *move);
static bool parse_number(const char *text, uint32_t min, uint32_t *number);
static bool parse_checkpoint(const char *field, gh_task_move_t *move);

char *gh_task_move_format(const gh_task_move_t *move, const gh_pipeline_t *job)
{
	char *checkpoint = format_checkpoint(move->checkpoint);
	char *spec = gh_pipeline_format(job);
	char *text =
		g_strdup_printf(FORMAT_TAG " %u %u %u %u %u %u %u %s\n%s",
				move->task.occurrence, move->task.step,
				move->task.index, move->from, move->to,
				move->last_run, move->moves, checkpoint, spec);

	g_free(checkpoint);
	g_free(spec);
	return text;
}

gh_pipeline_t *gh_task_move_parse(const char *text, gh_task_move_t *move,
				  GError **err)
{
	const char *end = strchr(text, '\n');
	char *line = g_strndup(text, end ? (gsize)(end - text) : 0);
	char **fields = g_strsplit(line, " ", -1);
	gh_pipeline_t *job = NULL;

	if (g_strv_length(fields) != MOVE_FIELDS || !parse_line(fields, move))
		gh_error_set(err, GH_E_SYNTAX,
			     "cannot parse the move of a task: expected "
			     "\"" FORMAT_TAG " OCCURRENCE STEP INDEX FROM TO "
			     "LAST-RUN MOVES CHECKPOINT\"");
	else
		job = gh_pipeline_parse(end + 1, err);
	g_strfreev(fields);
	g_free(line);
	if (!job)
		return NULL;
	g_strlcpy(move->task.job, job->id, sizeof(move->task.job));
	if (gh_task_move_index(move, job) != UINT32_MAX &&
	    job->steps[move->task.step].long_running &&
	    !job->steps[move->task.step].gang)
		return job;
	gh_error_set(err, GH_E_BAD_VALUE,
		     "the move of a task names task %u of step %u in "
		     "occurrence %u, but job %s has no such long-running task",
		     move->task.index, move->task.step, move->task.occurrence,
		     job->id);
	gh_pipeline_free(job);
	return NULL;
}

uint32_t gh_task_move_index(const gh_task_move_t *move,
			    const gh_pipeline_t *job)
{
	const gh_task_id_t *id = &move->task;
	uint32_t first = 0;
	uint32_t i;

	if (id->occurrence >= gh_pipeline_occurrence_count(job) ||
	    id->step >= job->n_steps || id->index >= job->steps[id->step].tasks)
		return UINT32_MAX;
	for (i = 0; i < id->step; i++)
		first += job->steps[i].tasks;
	return id->occurrence * gh_pipeline_task_count(job) + first + id->index;
}

static char *format_checkpoint(const char *name)
{
	if (!*name)
		return g_strdup(NO_CHECKPOINT);
	if (!strcmp(name, NO_CHECKPOINT))
		return g_strdup(ESCAPED_DASH);
	return g_uri_escape_string(name, NULL, FALSE);
}

static bool parse_line(char **fields, gh_task_move_t *move)
{
	*move = (gh_task_move_t){ 0 };
	return !strcmp(fields[0], FORMAT_TAG) &&
	       parse_number(fields[1], 0, &move->task.occurrence) &&
	       parse_number(fields[2], 0, &move->task.step) &&
	       parse_number(fields[3], 0, &move->task.index) &&
	       parse_number(fields[4], 0, &move->from) &&
	       parse_number(fields[5], 0, &move->to) &&
	       parse_number(fields[6], 1, &move->last_run) &&
	       parse_number(fields[7], 1, &move->moves) &&
	       parse_checkpoint(fields[8], move);
}

static bool parse_number(const char *text, uint32_t min, uint32_t *number)
{
	uint64_t value;

	if (!g_ascii_string_to_unsigned(text, 10, min, UINT32_MAX, &value,
					NULL))
		return false;
	*number = (uint32_t)value;
	return true;
}

static bool parse_checkpoint(const char *field, gh_task_move_t *move)
{
	char *name;
	bool ok;

	if (!strcmp(field, NO_CHECKPOINT))
		return true;
	name = g_uri_unescape_string(field, NULL);
	ok = name && *name &&
	     g_strlcpy(move->checkpoint, name, sizeof(move->checkpoint)) <
		     sizeof(move->checkpoint);
	g_free(name);
	return ok;
}
