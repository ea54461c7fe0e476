/*
 * The parts of a job's progress record.
 *
 * The store bounds the size of a value, and a job of many tasks exceeds it with
 * one record.  The record of a job with more than PART_TASKS tasks is kept in
 * parts, each of which has the tasks of a range of that length and its own key.
 * A change has the parts whose text differs from what is stored, but not more
 * than CHANGE_BYTES_MAX of them or so; the job is then queued again, and its
 * version counts as committed once each part shows it.  Part 0 is stored first,
 * so that a host of an earlier version, which can't read it, holds the job.
 *
 * Tasks that move to another shard, or have come from one, are in the change
 * that stores or deletes the messages of it.
 */
#include "core_fleet_move.h"

#include <string.h>

/*
 * The longest line without crashes in doubt has 1,041 bytes; the product is
 * below GH_RECORD_BYTES_MAX.
 */
#define PART_TASKS 1000
/* After a part that exceeds it, a change has no more of them. */
#define CHANGE_BYTES_MAX (256u << 10)
/*
 * Max messages of moved tasks, in each direction, that a change stores or
 * deletes: of a job in one part, of one in several, and of one that has ended.
 */
#define MOVES_MAX 8
#define MOVES_MAX_IN_PARTS 4
#define MOVES_MAX_AT_END 1
/* Max parts in a change: those of all moved tasks, and part 0. */
#define PARTS_MAX (2 * MOVES_MAX_IN_PARTS + 1)

static void fill_all_parts(const gh_fleet_t *fleet, fleet_job_t *job,
			   gh_fleet_change_t *change);
static void fill_moved_parts(const gh_fleet_t *fleet, fleet_job_t *job,
			     gh_fleet_change_t *change);
static uint32_t fill_part(const gh_fleet_t *fleet, fleet_job_t *job,
			  uint32_t number, gh_fleet_change_t *change);
static void delete_parts(const fleet_job_t *job, gh_fleet_change_t *change);
static uint64_t hash_text(const char *text, size_t len);
static void clear_part(gpointer part);

uint32_t gh_fleet_part_count(const gh_pipeline_t *pipeline)
{
	uint32_t n_tasks = gh_pipeline_occurrence_count(pipeline) *
			   gh_pipeline_task_count(pipeline);

	return MAX((n_tasks + PART_TASKS - 1) / PART_TASKS, 1);
}

void fleet_parts_init_job(fleet_job_t *job)
{
	job->n_parts = gh_fleet_part_count(job->spec);
	if (job->n_parts > 1)
		job->parts = g_new0(fleet_part_t, job->n_parts);
}

void fleet_parts_clear_job(fleet_job_t *job)
{
	g_free(job->parts);
}

void fleet_part_range(const fleet_job_t *job, uint32_t number, uint32_t *first,
		      uint32_t *end)
{
	*first = number * PART_TASKS;
	*end = MIN(*first + PART_TASKS, job->n_tasks);
}

void fleet_part_note_loaded(fleet_job_t *job, uint32_t number, const char *text,
			    size_t len)
{
	job->parts[number].stored = hash_text(text, len);
}

uint32_t fleet_parts_moves_max(const fleet_job_t *job)
{
	if (job->n_parts == 1)
		return MOVES_MAX;
	if (job->phase > GH_JOB_RUNNING)
		return MOVES_MAX_AT_END;
	return job->stored_whole ? 0 : MOVES_MAX_IN_PARTS;
}

uint32_t fleet_parts_entries(const fleet_job_t *job)
{
	uint32_t n = 0;
	uint32_t i;

	if (job->n_parts == 1)
		return 0;
	if (job->phase <= GH_JOB_RUNNING && !job->stored_whole)
		return PARTS_MAX;
	for (i = 1; i < job->n_parts; i++)
		n += job->stored_whole || job->parts[i].stored;
	return n;
}

void fleet_parts_fill_change(const gh_fleet_t *fleet, fleet_job_t *job,
			     gh_fleet_change_t *change)
{
	uint32_t i;

	if (job->n_parts == 1) {
		if (job->phase <= GH_JOB_RUNNING)
			change->progress = fleet_part_format(fleet, job, 0);
		return;
	}
	change->parts = g_array_new(FALSE, FALSE, sizeof(gh_fleet_part_t));
	g_array_set_clear_func(change->parts, clear_part);
	if (job->phase > GH_JOB_RUNNING) {
		delete_parts(job, change);
		return;
	}
	if (change->departures || change->arrivals)
		fill_moved_parts(fleet, job, change);
	else
		fill_all_parts(fleet, job, change);
	for (i = 0; i < job->n_parts; i++)
		change->version = MIN(change->version, job->parts[i].filled);
}

/* Goes on where the last change has stopped. */
static void fill_all_parts(const gh_fleet_t *fleet, fleet_job_t *job,
			   gh_fleet_change_t *change)
{
	uint32_t next = job->parts[0].stored ? job->next_part : 0;
	uint32_t max = job->stored_whole ? job->n_parts : PARTS_MAX;
	uint32_t bytes = 0;
	uint32_t i;

	for (i = 0; i < job->n_parts && change->parts->len < max &&
		    (bytes <= CHANGE_BYTES_MAX || job->stored_whole);
	     i++) {
		bytes += fill_part(fleet, job, next, change);
		next = next + 1 < job->n_parts ? next + 1 : 0;
	}
	job->next_part = next;
}

static void fill_moved_parts(const gh_fleet_t *fleet, fleet_job_t *job,
			     gh_fleet_change_t *change)
{
	const GArray *moves[] = { change->departures, change->arrivals };
	uint32_t i;
	guint j;

	if (!job->parts[0].stored)
		fill_part(fleet, job, 0, change);
	for (i = 0; i < G_N_ELEMENTS(moves); i++)
		for (j = 0; moves[i] && j < moves[i]->len; j++) {
			const gh_task_move_t *move =
				&g_array_index(moves[i], gh_task_move_t, j);
			uint32_t part =
				fleet_task_find(job, &move->task) / PART_TASKS;

			if (!job->parts[part].in_change)
				fill_part(fleet, job, part, change);
		}
}

/* Returns the bytes that it adds, 0 if the part is stored as it is. */
static uint32_t fill_part(const gh_fleet_t *fleet, fleet_job_t *job,
			  uint32_t number, gh_fleet_change_t *change)
{
	fleet_part_t *part = &job->parts[number];
	gh_fleet_part_t entry = {
		.number = number,
		.text = fleet_part_format(fleet, job, number),
	};
	size_t len = strlen(entry.text);

	part->filled = job->version;
	part->written = hash_text(entry.text, len);
	if (part->written == part->stored ||
	    (number && !part->stored && !strchr(entry.text, '\n')[1])) {
		g_free(entry.text);
		return 0;
	}
	part->in_change = true;
	g_array_append_val(change->parts, entry);
	return (uint32_t)len;
}

/* Part 0 is deleted with the job's other records. */
static void delete_parts(const fleet_job_t *job, gh_fleet_change_t *change)
{
	gh_fleet_part_t entry = { .text = NULL };

	for (entry.number = 1; entry.number < job->n_parts; entry.number++)
		if (job->parts[entry.number].stored)
			g_array_append_val(change->parts, entry);
}

void fleet_parts_handle_commit(fleet_job_t *job)
{
	uint32_t i;

	if (job->n_parts == 1)
		return;
	job->stored_whole = false;
	for (i = 0; i < job->n_parts; i++) {
		fleet_part_t *part = &job->parts[i];

		if (part->in_change)
			part->stored = part->written;
		part->in_change = false;
		part->version = part->filled;
	}
}

void fleet_parts_handle_failure(fleet_job_t *job)
{
	uint32_t i;

	if (job->n_parts == 1)
		return;
	for (i = 0; i < job->n_parts; i++) {
		job->parts[i].in_change = false;
		job->parts[i].filled = job->parts[i].version;
	}
}

/* FNV-1a; never 0, which stands for no text. */
static uint64_t hash_text(const char *text, size_t len)
{
	uint64_t hash = 0xcbf29ce484222325;
	size_t i;

	for (i = 0; i < len; i++)
		hash = (hash ^ (unsigned char)text[i]) * 0x100000001b3;
	return hash ? hash : 1;
}

static void clear_part(gpointer part)
{
	g_free(((gh_fleet_part_t *)part)->text);
}

void gh_fleet_change_clear(gh_fleet_change_t *change)
{
	g_clear_pointer(&change->progress, g_free);
	g_clear_pointer(&change->parts, g_array_unref);
	g_clear_pointer(&change->departures, g_array_unref);
	g_clear_pointer(&change->arrivals, g_array_unref);
}
