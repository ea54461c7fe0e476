/*
 * Memory for the tasks of jobs.
 *
 * Callers may submit jobs of many occurrences, or of many tasks, that are due
 * in hours; with state for all of them an owner would exceed its memory, and so
 * would each owner after it.  The tasks of an occurrence have memory from the
 * time when the occurrence is due until all of them are done: it is resident.
 * Beyond gh_fleet_setup_t.tasks_max a due occurrence waits for memory, so that
 * what was accepted is kept, but not begun.  Occurrences of which the record
 * tells a task that is not done are loaded in any case.
 *
 * A job whose occurrences fall due at once must not take the memory that others
 * need to begin: the more of its tasks are resident, the more has to be free
 * for a further occurrence, and so with the width of one.  Jobs with nothing
 * resident come first, of them urgent queues, then those accepted first.  While
 * one of them doesn't fit, only narrow ones behind it begin.
 */
#include "core_fleet_parts.h"

#include <string.h>

/* The tasks of all shards get less than this part of a process's memory. */
#define MEMORY_SHARE 3
/* Memory of a task that has run: its state, a run and a checkpoint. */
#define TASK_BYTES 512
/*
 * The first occurrence of a job gets memory while this many times its tasks
 * would fit; a further one, while this many times the tasks that the job then
 * has there would.
 */
#define FIRST_FACTOR 8
#define FURTHER_FACTOR 2
/* An occurrence of up to so many tasks goes ahead of one that doesn't fit. */
#define NARROW_TASKS 512

/* A job with occurrences that are due and wait for memory. */
typedef struct waiting_job {
	uint32_t job;
	bool has_resident;
	uint32_t priority;
	int64_t accepted_ms;
} waiting_job_t;

static fleet_occurrence_t *find(const fleet_job_t *job, uint32_t number,
				guint *position);
static fleet_occurrence_t *make_resident(const fleet_job_t *job,
					 uint32_t number);
static void init_tasks(const fleet_job_t *job, fleet_occurrence_t *occurrence);
static void free_occurrence(gpointer data);
static void release(fleet_job_t *job, guint position, gh_time_t now);
static bool is_over(const fleet_job_t *job,
		    const fleet_occurrence_t *occurrence, gh_time_t now);
static uint32_t count_ahead(const fleet_job_t *job);
static uint32_t count_due(const fleet_job_t *job, int64_t wall_ms);
static uint32_t count_resident(const fleet_job_t *job);
static bool fits(const gh_fleet_t *fleet, const fleet_job_t *job);
static void make_due_resident(gh_fleet_t *fleet, uint32_t handle, bool *blocked,
			      int64_t wall_ms);
static int compare_waiting(gconstpointer a, gconstpointer b);
static void report_memory(gh_fleet_t *fleet, uint32_t n_waiting);

uint32_t gh_fleet_tasks_max(uint32_t memory_mb, uint32_t shards)
{
	uint64_t max = ((uint64_t)memory_mb << 20) / MEMORY_SHARE /
		       (1 + shards) / TASK_BYTES;

	return (uint32_t)MIN(max, UINT32_MAX);
}

void fleet_occurrence_init_job(gh_fleet_t *fleet, uint32_t handle)
{
	fleet_job_t *job = fleet_job(fleet, handle);
	bool blocked = false;
	uint32_t n = gh_pipeline_occurrence_count(job->spec);
	uint32_t i;

	job->occurrences = g_ptr_array_new_with_free_func(free_occurrence);
	job->finished = g_malloc0(sizeof(*job->finished) + (n + 7) / 8);
	job->absent_stages = g_new0(fleet_stage_t, 2 * job->spec->n_steps);
	for (i = 0; i < job->spec->n_steps; i++)
		job->absent_stages[job->spec->n_steps + i].tasks_done =
			job->spec->steps[i].tasks;
	/* Of scheduled jobs, the next step tells what is due. */
	if (!job->guest && !job->spec->occurrences &&
	    !fleet->counts.jobs_without_memory)
		make_due_resident(fleet, handle, &blocked, 0);
}

void fleet_occurrence_clear_job(fleet_job_t *job)
{
	g_ptr_array_free(job->occurrences, TRUE);
	g_free(job->absent_stages);
	g_free(job->finished);
}

bool fleet_occurrence_is_finished(const fleet_job_t *job, uint32_t number)
{
	return job->finished->bits[number / 8] >> number % 8 & 1;
}

bool fleet_occurrence_is_resident(const fleet_job_t *job, uint32_t number)
{
	return find(job, number, NULL) != NULL;
}

uint32_t fleet_resident_stage_count(const fleet_job_t *job)
{
	return job->occurrences->len * job->spec->n_steps;
}

fleet_stage_t *fleet_resident_stage(const fleet_job_t *job, uint32_t n,
				    uint32_t *index)
{
	uint32_t n_steps = job->spec->n_steps;
	const fleet_occurrence_t *resident =
		job->occurrences->pdata[n / n_steps];

	*index = resident->number * n_steps + n % n_steps;
	return &resident->stages[n % n_steps];
}

uint32_t fleet_open_stage_count(const fleet_job_t *job)
{
	return fleet_resident_stage_count(job) +
	       (count_ahead(job) ? job->spec->n_steps : 0);
}

fleet_stage_t *fleet_open_stage(const fleet_job_t *job, uint32_t n,
				uint32_t *index, uint32_t *alike)
{
	uint32_t n_resident = fleet_resident_stage_count(job);
	uint32_t first = job->next_due;

	if (n < n_resident) {
		*alike = 1;
		return fleet_resident_stage(job, n, index);
	}
	*alike = count_ahead(job);
	while (find(job, first, NULL) ||
	       fleet_occurrence_is_finished(job, first))
		first++;
	*index = first * job->spec->n_steps + n - n_resident;
	return &job->absent_stages[n - n_resident];
}

/* Number of occurrences that were not resident yet. */
static uint32_t count_ahead(const fleet_job_t *job)
{
	/* Those of a guest are in another shard. */
	return job->guest ? 0 :
			    gh_pipeline_occurrence_count(job->spec) -
				    job->occurrences->len - job->finished->n;
}

const fleet_task_t *fleet_task_peek(const fleet_job_t *job, uint32_t task)
{
	static const fleet_task_t finished = {
		.done = true,
		.last_run = 1,
		.runs = { GH_NONE, GH_NONE },
		.avoid_worker = GH_NONE,
	};
	uint32_t number = task / job->tasks_per_occurrence;
	const fleet_occurrence_t *resident = find(job, number, NULL);

	if (resident)
		return &resident->tasks[task % job->tasks_per_occurrence];
	return fleet_occurrence_is_finished(job, number) ? &finished : NULL;
}

fleet_task_t *fleet_task(const fleet_job_t *job, uint32_t task)
{
	/* Most jobs have one occurrence; placement asks for each worker. */
	if (job->occurrences->len == 1) {
		const fleet_occurrence_t *only = job->occurrences->pdata[0];
		uint32_t index = task - only->stages[0].first_task;

		if (index < only->n_tasks)
			return &only->tasks[index];
	}
	return &make_resident(job, task / job->tasks_per_occurrence)
			->tasks[task % job->tasks_per_occurrence];
}

fleet_stage_t *fleet_stage(const fleet_job_t *job, uint32_t stage)
{
	uint32_t n_steps = job->spec->n_steps;
	const fleet_occurrence_t *found = find(job, stage / n_steps, NULL);
	uint32_t step = stage % n_steps;

	if (found)
		return &found->stages[step];
	return &job->absent_stages[fleet_occurrence_is_finished(
					   job, stage / n_steps) ?
					   n_steps + step :
					   step];
}

fleet_stage_t *fleet_task_stage(const fleet_job_t *job, uint32_t task)
{
	uint32_t stage = fleet_stage_index(job, task);

	make_resident(job, stage / job->spec->n_steps);
	return fleet_stage(job, stage);
}

/* Sets position, unless it is NULL, to where it is or would have to be. */
static fleet_occurrence_t *find(const fleet_job_t *job, uint32_t number,
				guint *position)
{
	fleet_occurrence_t *found = NULL;
	guint low = 0;
	guint high = job->occurrences->len;

	while (low < high) {
		guint middle = low + (high - low) / 2;
		fleet_occurrence_t *probe = job->occurrences->pdata[middle];

		if (probe->number < number) {
			low = middle + 1;
			continue;
		}
		high = middle;
		if (probe->number == number)
			found = probe;
	}
	if (position)
		*position = low;
	return found;
}

/* The occurrence, which gets memory if it has none. */
static fleet_occurrence_t *make_resident(const fleet_job_t *job,
					 uint32_t number)
{
	guint position = 0;
	fleet_occurrence_t *occurrence = find(job, number, &position);

	if (occurrence)
		return occurrence;
	occurrence = g_new0(fleet_occurrence_t, 1);
	occurrence->number = number;
	occurrence->tasks = g_new0(fleet_task_t, job->tasks_per_occurrence);
	occurrence->stages = g_new0(fleet_stage_t, job->spec->n_steps);
	init_tasks(job, occurrence);
	if (fleet_occurrence_is_finished(job, number)) {
		job->finished->bits[number / 8] &=
			(uint8_t) ~(1u << number % 8);
		job->finished->n--;
	}
	g_ptr_array_insert(job->occurrences, (gint)position, occurrence);
	return occurrence;
}

/* The tasks of a stage are contiguous. */
static void init_tasks(const fleet_job_t *job, fleet_occurrence_t *occurrence)
{
	bool finished = fleet_occurrence_is_finished(job, occurrence->number);
	uint32_t first = 0;
	uint32_t s, i;

	for (s = 0; s < job->spec->n_steps; s++) {
		const gh_step_t *step = &job->spec->steps[s];
		fleet_stage_t *stage = &occurrence->stages[s];

		stage->first_task =
			occurrence->number * job->tasks_per_occurrence + first;
		stage->tasks_done = finished ? step->tasks : 0;
		stage->tasks_away = job->guest ? step->tasks : 0;
		for (i = first; i < first + step->tasks; i++)
			occurrence->tasks[i] = (fleet_task_t){
				.runs = { GH_NONE, GH_NONE },
				.avoid_worker = GH_NONE,
				.group = &occurrence->tasks[step->gang ? first :
									 i],
				.done = finished,
				.last_run = finished ? 1 : 0,
				.place = job->guest ? PLACE_AWAY : PLACE_HERE,
				.not_before = job->held ? GH_TIME_NEVER : 0,
			};
		first += step->tasks;
	}
	occurrence->n_tasks = first;
	occurrence->n_steps = s;
}

static void free_occurrence(gpointer data)
{
	fleet_occurrence_t *occurrence = data;
	uint32_t i;

	for (i = 0; i < occurrence->n_tasks; i++)
		g_free(occurrence->tasks[i].checkpoint);
	for (i = 0; i < occurrence->n_steps; i++)
		gh_load_free(occurrence->stages[i].load);
	g_free(occurrence->tasks);
	g_free(occurrence->stages);
	g_free(occurrence);
}

void fleet_occurrence_release(fleet_job_t *job, uint32_t number, gh_time_t now)
{
	guint position;

	if (find(job, number, &position))
		release(job, position, now);
}

/* Frees the resident occurrence at the position if it is over. */
static void release(fleet_job_t *job, guint position, gh_time_t now)
{
	const fleet_occurrence_t *occurrence =
		job->occurrences->pdata[position];
	uint32_t number = occurrence->number;

	/* A job without a schedule ends with its only one. */
	if (!job->spec->occurrences || !is_over(job, occurrence, now))
		return;
	job->finished->bits[number / 8] |= (uint8_t)(1u << number % 8);
	job->finished->n++;
	g_ptr_array_remove_index(job->occurrences, position);
}

/* Whether all tasks are done and nothing else of them is to be known. */
static bool is_over(const fleet_job_t *job,
		    const fleet_occurrence_t *occurrence, gh_time_t now)
{
	uint32_t i;

	for (i = 0; i < occurrence->n_steps; i++)
		if (occurrence->stages[i].tasks_done <
		    job->spec->steps[i].tasks)
			return false;
	for (i = 0; i < occurrence->n_tasks; i++) {
		const fleet_task_t *task = &occurrence->tasks[i];

		if (task->runs[0] != GH_NONE || now < task->late_until ||
		    task->n_late_stops || task->place != PLACE_HERE)
			return false;
	}
	return true;
}

/* Number of occurrences whose time has come. */
static uint32_t count_due(const fleet_job_t *job, int64_t wall_ms)
{
	const gh_pipeline_t *spec = job->spec;
	uint32_t n = gh_pipeline_occurrence_count(spec);

	if (!spec->occurrences)
		return 1;
	if (wall_ms < spec->first_due_ms)
		return 0;
	if (spec->interval_ms <= 0)
		return n;
	return (uint32_t)MIN(
		(wall_ms - spec->first_due_ms) / spec->interval_ms + 1, n);
}

static uint32_t count_resident(const fleet_job_t *job)
{
	return job->occurrences->len * job->tasks_per_occurrence;
}

/* Whether one more occurrence of the job may get memory. */
static bool fits(const gh_fleet_t *fleet, const fleet_job_t *job)
{
	uint64_t tasks = count_resident(job) + job->tasks_per_occurrence;
	uint32_t max = fleet->setup.tasks_max;
	uint64_t need = job->occurrences->len ?
				tasks * FURTHER_FACTOR :
				MIN(tasks * FIRST_FACTOR, max / 2);

	return !max || fleet->counts.tasks_resident + need <= max;
}

void fleet_occurrences_update(gh_fleet_t *fleet, gh_time_t now, int64_t wall_ms)
{
	GArray *waiting = g_array_new(FALSE, FALSE, sizeof(waiting_job_t));
	uint32_t n_waiting = 0;
	bool blocked = false;
	uint32_t i, j;

	fleet->counts.tasks_resident = 0;
	for (i = 0; i < fleet->jobs->len; i++) {
		fleet_job_t *job = fleet_job(fleet, i);
		waiting_job_t entry = { .job = i };

		if (!job->spec || job->phase > GH_JOB_RUNNING)
			continue;
		for (j = job->occurrences->len; j--;)
			release(job, j, now);
		fleet->counts.tasks_resident += count_resident(job);
		if (job->guest || job->next_due >= count_due(job, wall_ms))
			continue;
		entry.has_resident = job->occurrences->len != 0;
		entry.priority = fleet_job_policy(fleet, job)->priority;
		entry.accepted_ms = job->spec->accepted_ms;
		g_array_append_val(waiting, entry);
	}
	g_array_sort(waiting, compare_waiting);
	for (i = 0; i < waiting->len; i++) {
		uint32_t handle = g_array_index(waiting, waiting_job_t, i).job;

		make_due_resident(fleet, handle, &blocked, wall_ms);
		n_waiting += fleet_job(fleet, handle)->next_due <
			     count_due(fleet_job(fleet, handle), wall_ms);
	}
	g_array_free(waiting, TRUE);
	report_memory(fleet, n_waiting);
}

/* blocked: a job with nothing resident does not fit. */
static void make_due_resident(gh_fleet_t *fleet, uint32_t handle, bool *blocked,
			      int64_t wall_ms)
{
	fleet_job_t *job = fleet_job(fleet, handle);
	uint32_t n_due = count_due(job, wall_ms);

	for (; job->next_due < n_due; job->next_due++) {
		bool has_resident = job->occurrences->len != 0;

		if (fleet_occurrence_is_finished(job, job->next_due) ||
		    fleet_occurrence_is_resident(job, job->next_due))
			continue;
		if (*blocked &&
		    (has_resident || job->tasks_per_occurrence > NARROW_TASKS))
			return;
		if (!fits(fleet, job)) {
			*blocked = *blocked || !has_resident;
			return;
		}
		make_resident(job, job->next_due);
		fleet->counts.tasks_resident += job->tasks_per_occurrence;
	}
}

static int compare_waiting(gconstpointer a, gconstpointer b)
{
	const waiting_job_t *first = a;
	const waiting_job_t *second = b;

	if (first->has_resident != second->has_resident)
		return first->has_resident ? 1 : -1;
	if (first->priority != second->priority)
		return first->priority < second->priority ? -1 : 1;
	if (first->accepted_ms != second->accepted_ms)
		return first->accepted_ms < second->accepted_ms ? -1 : 1;
	return first->job < second->job ? -1 : first->job > second->job;
}

/* Reports when jobs begin to wait for memory, and when none does any more. */
static void report_memory(gh_fleet_t *fleet, uint32_t n_waiting)
{
	bool waited = fleet->counts.jobs_without_memory != 0;
	char *detail;

	fleet->counts.jobs_without_memory = n_waiting;
	if (waited == (n_waiting != 0))
		return;
	fleet->counts.memory_short += n_waiting != 0;
	detail = g_strdup_printf(
		"%u jobs wait, %u tasks in memory of at most %u", n_waiting,
		fleet->counts.tasks_resident, fleet->setup.tasks_max);
	fleet_emit_event(fleet, "memory_short", NULL, 0, GH_NONE, detail);
	g_free(detail);
}
