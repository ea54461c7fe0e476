/*
 * Text form of progress records: the state of a job's tasks that the next owner
 * needs.
 *
 *   progress1
 *   INDEX STATE FAILURES LAST-RUN CHECKPOINT [CRASHES] [MOVES] [RUN...]
 *         [DOUBT...]
 *
 * A record in parts has "progress2 PART" as the first line of each part; see
 * core_fleet_part.c.  Earlier versions wrote one progress1 record of all tasks;
 * beside it, parts count for their tasks.  In parts, INDEX is FROM-TO for tasks
 * in a row that are done.
 *
 * One line for each task that was ever started or has moved.  STATE is done,
 * open, or away for a task that another shard has; a job whose home is another
 * shard has no task here but those that are open.  CRASHES is crashes:N:S:L,
 * the numbers of the task's crashes, of those at a start, and of lost starts;
 * it is absent if there were none, and without L in records of earlier
 * versions.  MOVES is moves:N, the number of times that the task has moved,
 * absent for 0; earlier versions hold a job with one.
 * Each RUN is open, NUMBER@WORKER.  If the task is a suspect and the run has
 * begun and not settled, begun:T: stands before it, or alone:T: if nothing else
 * was starting on that worker, whose incarnation started at T.  Each DOUBT,
 * silent:T:NUMBER@WORKER, is a crash among the N that is taken back if that
 * incarnation is heard again.  See core_fleet_crash.c.  A job with a record
 * that can't be parsed is held: none of its tasks is started, and its record is
 * not replaced.  The name of the checkpoint is percent-encoded as in a URI; "-"
 * stands for none.
 */
#include "core_fleet_progress.h"

#include <string.h>

#include "core_fleet_move.h"

#define FORMAT_TAG "progress1"
#define FORMAT_TAG_PART "progress2"
#define TAG_PREFIX "progress" /* of either; no other line begins so */
#define NO_CHECKPOINT "-"
#define CRASHES_PREFIX "crashes:"
#define MOVES_PREFIX "moves:"

static const char *const field_prefixes[FIELD_KINDS] = {
	[FIELD_RUN] = "",
	[FIELD_BEGUN] = "begun:",
	[FIELD_ALONE] = "alone:",
	[FIELD_SILENT] = "silent:",
};

static GString *format_part(const gh_fleet_t *fleet, const fleet_job_t *job,
			    uint32_t number, bool with_doubts);
static bool is_done(const fleet_job_t *job, uint32_t index);
static void append_task(const gh_fleet_t *fleet, GString *text,
			const fleet_job_t *job, uint32_t index,
			bool with_doubts);
static const char *task_state(const fleet_task_t *task);
static void append_run(const gh_fleet_t *fleet, GString *text, uint32_t ref);
static void append_doubts(const gh_fleet_t *fleet, GString *text,
			  const fleet_job_t *job, uint32_t index);
static bool has_part(const GArray *sections, uint32_t part);
static bool parse_task(const fleet_job_t *job, const char *line,
		       task_line_t *parsed);
static bool parse_range(const fleet_job_t *job, const char *field,
			task_line_t *parsed);
static bool parse_state(const char *word, task_line_t *parsed);
static bool away_is_valid(const fleet_job_t *job, const task_line_t *parsed);
static bool parse_moves(const char *field, task_line_t *parsed);
static bool parse_crashes(const char *numbers, task_line_t *parsed);
static bool parse_run(const char *field, task_line_t *parsed);
static const char *parse_run_kind(const char *field, run_field_t *run);
static bool parse_number(const char *text, uint64_t min, uint64_t max,
			 uint64_t *number);

char *fleet_part_format(const gh_fleet_t *fleet, const fleet_job_t *job,
			uint32_t number)
{
	GString *text = format_part(fleet, job, number, true);

	/* Crashes that can't be taken back are the lesser loss. */
	if (text->len > GH_RECORD_BYTES_MAX) {
		g_string_free(text, TRUE);
		text = format_part(fleet, job, number, false);
	}
	return g_string_free(text, FALSE);
}

static GString *format_part(const gh_fleet_t *fleet, const fleet_job_t *job,
			    uint32_t number, bool with_doubts)
{
	GString *text = g_string_new(FORMAT_TAG "\n");
	uint32_t i, first, end;

	if (job->n_parts > 1)
		g_string_printf(text, FORMAT_TAG_PART " %u\n", number);
	fleet_part_range(job, number, &first, &end);
	for (i = first; i < end; i++) {
		const fleet_task_t *task = fleet_task_peek(job, i);
		uint32_t last = i;

		if (!task || !task->last_run)
			continue;
		while (job->n_parts > 1 && last + 1 < end && is_done(job, i) &&
		       is_done(job, last + 1))
			last++;
		if (last > i)
			g_string_append_printf(text, "%u-%u done 0 1 -\n", i,
					       last);
		else
			append_task(fleet, text, job, i, with_doubts);
		i = last;
	}
	return text;
}

static bool is_done(const fleet_job_t *job, uint32_t index)
{
	const fleet_task_t *task = fleet_task_peek(job, index);

	return task && task->done;
}

static void append_task(const gh_fleet_t *fleet, GString *text,
			const fleet_job_t *job, uint32_t index,
			bool with_doubts)
{
	const fleet_task_t *task = fleet_task_peek(job, index);
	char *escaped = task->checkpoint ? g_uri_escape_string(task->checkpoint,
							       NULL, FALSE) :
					   NULL;
	uint32_t i;

	g_string_append_printf(text, "%u %s %u %u %s", index, task_state(task),
			       task->failures, task->last_run,
			       escaped ? escaped : NO_CHECKPOINT);
	if (fleet_crash_has_any(task))
		g_string_append_printf(text, " " CRASHES_PREFIX "%u:%u:%u",
				       task->crashes, task->start_crashes,
				       task->lost_starts);
	if (fleet_move_number(task))
		g_string_append_printf(text, " " MOVES_PREFIX "%u",
				       fleet_move_number(task));
	for (i = 0; i < GH_TASK_RUNS_MAX; i++)
		if (task->runs[i] != GH_NONE)
			append_run(fleet, text, task->runs[i]);
	if (task->crashes && with_doubts)
		append_doubts(fleet, text, job, index);
	g_string_append_c(text, '\n');
	g_free(escaped);
}

static const char *task_state(const fleet_task_t *task)
{
	if (task->done)
		return "done";
	return fleet_move_is_recorded(task) ? "away" : "open";
}

static void append_run(const gh_fleet_t *fleet, GString *text, uint32_t ref)
{
	const fleet_run_t *run = fleet_run(fleet, ref);
	const fleet_worker_t *worker = fleet_worker(fleet, run->worker);

	g_string_append_c(text, ' ');
	if (fleet_crash_is_begun_suspect(run))
		g_string_append_printf(
			text, "%s%" G_GINT64_FORMAT ":",
			field_prefixes[worker->suspect_run == ref ?
					       FIELD_ALONE :
					       FIELD_BEGUN],
			worker->entry.incarnation_start_ms);
	g_string_append_printf(text, "%u@%s", run->run_number,
			       worker->entry.id);
}

static void append_doubts(const gh_fleet_t *fleet, GString *text,
			  const fleet_job_t *job, uint32_t index)
{
	gh_task_id_t id = fleet_task_id(job, index);
	const fleet_doubt_t *doubt;
	uint32_t next = 0;
	uint32_t n;

	for (n = 0; n < MIN(DOUBTS_MAX, fleet_task_peek(job, index)->crashes);
	     n++) {
		doubt = fleet_crash_next_doubt(fleet, &id, &next);
		if (!doubt)
			break;
		g_string_append_printf(text, " %s%" G_GINT64_FORMAT ":%u@%s",
				       field_prefixes[FIELD_SILENT],
				       doubt->incarnation_start_ms,
				       doubt->run_number, doubt->worker);
	}
}

bool fleet_progress_split(const fleet_job_t *job, const char *progress,
			  GArray *sections)
{
	while (*progress) {
		section_t section = { .text = progress, .part = GH_NONE };
		char *tag = g_strndup(progress, strcspn(progress, "\n"));
		const char *next = strstr(progress, "\n" TAG_PREFIX);
		uint64_t part;
		bool ok = !strcmp(tag, FORMAT_TAG);

		if (!ok && job->n_parts > 1 &&
		    g_str_has_prefix(tag, FORMAT_TAG_PART " ") &&
		    parse_number(tag + strlen(FORMAT_TAG_PART " "), 0,
				 job->n_parts - 1, &part)) {
			section.part = (uint32_t)part;
			ok = !has_part(sections, section.part);
		}
		section.lines = progress + strlen(tag);
		section.len =
			next ? (size_t)(next + 1 - progress) : strlen(progress);
		g_free(tag);
		if (!ok)
			return false;
		g_array_append_val(sections, section);
		progress += section.len;
	}
	return sections->len > 0;
}

static bool has_part(const GArray *sections, uint32_t part)
{
	guint i;

	for (i = 0; i < sections->len; i++)
		if (g_array_index(sections, section_t, i).part == part)
			return true;
	return false;
}

bool fleet_progress_check(const fleet_job_t *job, const GArray *sections)
{
	bool *seen = g_new0(bool, job->n_tasks + 1);
	bool ok = true;
	guint i;

	for (i = 0; ok && i < sections->len; i++) {
		const section_t *section =
			&g_array_index(sections, section_t, i);
		const char *cursor = section->lines;
		task_line_t line;

		while (ok &&
		       fleet_progress_next(job, section, &cursor, &line, &ok)) {
			uint32_t j;

			for (j = line.index; ok && j <= line.last; j++) {
				if (fleet_progress_is_replaced(job, sections,
							       section, j))
					continue;
				ok = !seen[j];
				seen[j] = true;
			}
			g_free(line.checkpoint);
		}
	}
	g_free(seen);
	return ok;
}

bool fleet_progress_next(const fleet_job_t *job, const section_t *section,
			 const char **cursor, task_line_t *line, bool *ok)
{
	const char *end = section->text + section->len;
	uint32_t first = 0;
	uint32_t after = job->n_tasks;
	char *text;

	while (*cursor < end && **cursor == '\n')
		++*cursor;
	if (*cursor >= end)
		return false;
	if (section->part != GH_NONE)
		fleet_part_range(job, section->part, &first, &after);
	text = g_strndup(*cursor, strcspn(*cursor, "\n"));
	*cursor += strlen(text);
	*ok = parse_task(job, text, line) && line->index >= first &&
	      line->last < after;
	g_free(text);
	if (!*ok)
		g_free(line->checkpoint);
	return *ok;
}

bool fleet_progress_is_replaced(const fleet_job_t *job, const GArray *sections,
				const section_t *section, uint32_t index)
{
	guint i;

	for (i = 0; section->part == GH_NONE && i < sections->len; i++) {
		const section_t *other = &g_array_index(sections, section_t, i);
		uint32_t first, end;

		if (other->part == GH_NONE)
			continue;
		fleet_part_range(job, other->part, &first, &end);
		if (index >= first && index < end)
			return true;
	}
	return false;
}

/*
 * Parses a task's line.  Nothing of a record is used unless all of it is valid,
 * since a task that it wrongly shows as not started would run again.
 */
static bool parse_task(const fleet_job_t *job, const char *line,
		       task_line_t *parsed)
{
	char **fields = g_strsplit(line, " ", -1);
	guint n = g_strv_length(fields);
	uint64_t failures, last_run;
	guint crashes = 0;
	guint moves = 0;
	guint first_run = 5;
	bool ok;
	guint i;

	*parsed = (task_line_t){ 0 };
	if (n > first_run &&
	    g_str_has_prefix(fields[first_run], CRASHES_PREFIX))
		crashes = first_run++;
	if (n > first_run && g_str_has_prefix(fields[first_run], MOVES_PREFIX))
		moves = first_run++;
	ok = n >= 5 && n <= first_run + G_N_ELEMENTS(parsed->runs) &&
	     job->n_tasks && parse_range(job, fields[0], parsed) &&
	     parse_state(fields[1], parsed) &&
	     parse_number(fields[2], 0, UINT16_MAX, &failures) &&
	     parse_number(fields[3], 1, UINT32_MAX, &last_run);
	if (ok) {
		parsed->failures = (uint16_t)failures;
		parsed->last_run = (uint32_t)last_run;
		if (strcmp(fields[4], NO_CHECKPOINT) != 0) {
			parsed->checkpoint =
				g_uri_unescape_string(fields[4], NULL);
			ok = parsed->checkpoint;
		}
	}
	if (ok && crashes)
		ok = parse_crashes(fields[crashes] + strlen(CRASHES_PREFIX),
				   parsed);
	if (ok && moves)
		ok = parse_moves(fields[moves] + strlen(MOVES_PREFIX), parsed);
	for (i = first_run; ok && i < n; i++)
		ok = parse_run(fields[i], parsed);
	g_strfreev(fields);
	ok = ok && (parsed->index == parsed->last || (parsed->done && n == 5));
	return ok && (!parsed->away || away_is_valid(job, parsed));
}

/* INDEX, or FROM-TO in a part. */
static bool parse_range(const fleet_job_t *job, const char *field,
			task_line_t *parsed)
{
	char **ends = g_strsplit(field, "-", 2);
	uint64_t index = 0;
	uint64_t last = 0;
	bool ok = ends[0] && parse_number(ends[0], 0, job->n_tasks - 1, &index);

	if (ok && ends[1])
		ok = job->n_parts > 1 &&
		     parse_number(ends[1], index + 1, job->n_tasks - 1, &last);
	else
		last = index;
	parsed->index = (uint32_t)index;
	parsed->last = (uint32_t)last;
	g_strfreev(ends);
	return ok;
}

static bool parse_state(const char *word, task_line_t *parsed)
{
	parsed->done = !strcmp(word, "done");
	parsed->away = !strcmp(word, "away");
	return parsed->done || parsed->away || !strcmp(word, "open");
}

/* Only a task that is to last moves, without an open run. */
static bool away_is_valid(const fleet_job_t *job, const task_line_t *parsed)
{
	const gh_step_t *step = fleet_task_step(job, parsed->index);

	return step->long_running && !step->gang && parsed->moves &&
	       parsed->n_runs == parsed->n_doubts;
}

static bool parse_moves(const char *field, task_line_t *parsed)
{
	uint64_t moves;

	if (!parse_number(field, 1, UINT32_MAX, &moves))
		return false;
	parsed->moves = (uint32_t)moves;
	return true;
}

static bool parse_crashes(const char *numbers, task_line_t *parsed)
{
	char **fields = g_strsplit(numbers, ":", -1);
	uint64_t crashes, start_crashes, lost_starts = 0;
	guint n = g_strv_length(fields);
	bool ok = (n == 2 || n == 3) &&
		  parse_number(fields[0], 0, UINT16_MAX, &crashes) &&
		  parse_number(fields[1], 0, crashes, &start_crashes) &&
		  (n == 2 ||
		   parse_number(fields[2], 0, UINT16_MAX, &lost_starts)) &&
		  (crashes || lost_starts);

	if (ok) {
		parsed->crashes = (uint16_t)crashes;
		parsed->start_crashes = (uint16_t)start_crashes;
		parsed->lost_starts = (uint16_t)lost_starts;
	}
	g_strfreev(fields);
	return ok;
}

static bool parse_run(const char *field, task_line_t *parsed)
{
	run_field_t *run = &parsed->runs[parsed->n_runs++];
	const char *separator;
	uint64_t number;
	char *text;
	uint32_t i;
	bool ok;

	field = parse_run_kind(field, run);
	separator = field ? strchr(field, '@') : NULL;
	if (!separator || !separator[1] ||
	    g_strlcpy(run->worker, separator + 1, sizeof(run->worker)) >=
		    sizeof(run->worker))
		return false;
	text = g_strndup(field, (gsize)(separator - field));
	ok = parse_number(text, 1, parsed->last_run, &number);
	g_free(text);
	run->number = ok ? (uint32_t)number : 0;
	parsed->n_doubts += run->kind == FIELD_SILENT;
	for (i = 0; ok && i < parsed->n_runs - 1; i++)
		ok = run->number != parsed->runs[i].number;
	return ok && parsed->n_doubts <= parsed->crashes &&
	       parsed->n_runs - parsed->n_doubts <= GH_TASK_RUNS_MAX;
}

/*
 * Sets what stands before the run's number; returns where that begins, or NULL
 * if the field is invalid.
 */
static const char *parse_run_kind(const char *field, run_field_t *run)
{
	uint64_t start_ms;
	const char *end;
	char *text;
	bool ok;

	run->kind = FIELD_KINDS;
	while (--run->kind > FIELD_RUN &&
	       !g_str_has_prefix(field, field_prefixes[run->kind]))
		;
	if (run->kind == FIELD_RUN)
		return field;
	field += strlen(field_prefixes[run->kind]);
	end = strchr(field, ':');
	if (!end)
		return NULL;
	text = g_strndup(field, (gsize)(end - field));
	ok = parse_number(text, 0, G_MAXINT64, &start_ms);
	g_free(text);
	run->incarnation_start_ms = ok ? (int64_t)start_ms : 0;
	return ok ? end + 1 : NULL;
}

static bool parse_number(const char *text, uint64_t min, uint64_t max,
			 uint64_t *number)
{
	return g_ascii_string_to_unsigned(text, 10, min, max, number, NULL);
}
