#include "core_task.h"

#include <inttypes.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

/* sizes of ranges allocated in the task table: 1, 2, 4 ... 16384 tasks */
#define RANGE_CLASSES 15
#define NAME_FIELD "%47s"	 /* sscanf() width: GH_NAME_MAX */
#define CHECKPOINT_FIELD "%765s" /* sscanf() width: CHECKPOINT_TEXT_MAX */
/* max length of a checkpoint's name with each byte as %XX */
#define CHECKPOINT_TEXT_MAX (3 * GH_CHECKPOINT_MAX)
#define NO_CHECKPOINT "-"

/* Jobs of one department and rank that have pending tasks. */
typedef struct job_queue {
	gh_job_ref_t head;
	gh_job_ref_t tail;
} job_queue_t;

/*
 * Heap entry for the end of a task's backoff.  It is stale if the task has left
 * backoff or its retry_at differs.
 */
typedef struct backoff {
	gh_time_t ends_at;
	gh_task_ref_t task;
} backoff_t;

struct gh_task_table {
	gh_task_callbacks_t callbacks;
	GArray *jobs; /* gh_job_t by handle */
	/* handles of unused entries in jobs */
	GArray *free_jobs;
	GArray *tasks; /* gh_task_t by handle */
	/* first task of each free range of entries in tasks */
	GArray *free_ranges[RANGE_CLASSES];
	GHashTable *by_id;   /* job id to handle + 1 */
	GHashTable *by_name; /* job name to handle + 1 */
	GArray *queues;	     /* job_queue_t, by department and rank */
	GArray *on_worker;   /* first task with an open attempt, by worker */
	GArray *backoffs;    /* backoff_t, a binary heap by ends_at */
	/* ids of finished jobs, in the order in which they finished */
	GQueue finished;
	uint32_t count[GH_TASK_STATE_COUNT];
	uint32_t unfinished;
	uint64_t next_id;
	uint64_t epoch;
	int64_t orphans_until_ms;
};

typedef bool (*replay_fn_t)(gh_task_table_t *table, const char *line);

static const char *const state_names[GH_TASK_STATE_COUNT] = {
	[GH_TASK_PENDING] = "pending", [GH_TASK_INTENT] = "intent",
	[GH_TASK_RUNNING] = "running", [GH_TASK_STOPPING] = "stopping",
	[GH_TASK_BACKOFF] = "backoff", [GH_TASK_DONE] = "done",
	[GH_TASK_FAILED] = "failed",   [GH_TASK_CANCELLED] = "cancelled",
};

/* Letters in records for the values of gh_task_end_t and gh_task_state_t. */
static const char end_letters[GH_END_COUNT + 1] = "dfbelus";
static const char state_letters[GH_TASK_STATE_COUNT + 1] = "piiibdfc";

/*
 * State that a task gets when its attempt has ended in the given way, unless
 * its job is cancelled.
 */
static const gh_task_state_t state_after[GH_END_COUNT] = {
	[GH_END_DONE] = GH_TASK_DONE,
	[GH_END_FAILED] = GH_TASK_BACKOFF,
	[GH_END_WORKER_FAULT] = GH_TASK_PENDING,
	[GH_END_EVICTED] = GH_TASK_PENDING,
	[GH_END_LOST] = GH_TASK_PENDING,
	[GH_END_NOT_STARTED] = GH_TASK_PENDING,
	[GH_END_CANCELLED] = GH_TASK_CANCELLED,
};

static bool replay_owner(gh_task_table_t *table, const char *line);
static bool replay_job(gh_task_table_t *table, const char *line);
static bool replay_intent(gh_task_table_t *table, const char *line);
static bool replay_end(gh_task_table_t *table, const char *line);
static bool replay_uncount_failure(gh_task_table_t *table, const char *line);
static bool replay_mark_failed(gh_task_table_t *table, const char *line);
static bool replay_cancel(gh_task_table_t *table, const char *line);
static bool replay_remove(gh_task_table_t *table, const char *line);
static bool replay_task(gh_task_table_t *table, const char *line);

static const replay_fn_t replay_by_letter['Z' + 1] = {
	['E'] = replay_owner,
	['J'] = replay_job,
	['I'] = replay_intent,
	['R'] = replay_end,
	['B'] = replay_uncount_failure,
	['G'] = replay_mark_failed,
	['X'] = replay_cancel,
	['D'] = replay_remove,
	['T'] = replay_task,
};

static void write_job(const gh_job_t *job, GString *log);
static void write_task(const gh_task_table_t *table, gh_task_ref_t task,
		       GString *log);
static void write_checkpoint(const char *checkpoint, GString *log);
static gh_job_ref_t add_job(gh_task_table_t *table, uint64_t id,
			    const gh_job_spec_t *spec);
static gh_task_ref_t allocate_range(gh_task_table_t *table, uint32_t n);
static unsigned range_class(uint32_t n);
static void apply_intent(gh_task_table_t *table, gh_task_ref_t ref,
			 gh_handle_t worker, int64_t not_after_ms);
static void apply_end(gh_task_table_t *table, gh_task_ref_t ref,
		      gh_task_end_t end, const char *checkpoint);
static void apply_cancel(gh_task_table_t *table, gh_job_ref_t ref);
static void apply_remove(gh_task_table_t *table, gh_job_ref_t ref);
static void set_state(gh_task_table_t *table, gh_task_ref_t ref,
		      gh_task_state_t state);
static void count_resources(gh_task_table_t *table, const gh_task_t *task,
			    bool add);
static void link_task(gh_task_table_t *table, gh_task_ref_t ref);
static void unlink_task(gh_task_table_t *table, gh_task_ref_t ref);
static gh_task_ref_t *find_task_list(gh_task_table_t *table,
				     const gh_task_t *task);
static void queue_job(gh_task_table_t *table, gh_job_ref_t ref, bool front);
static void unqueue_job(gh_task_table_t *table, gh_job_ref_t ref);
static job_queue_t *find_job_queue(gh_task_table_t *table, const gh_job_t *job);
static void push_backoff(gh_task_table_t *table, backoff_t backoff);
static void pop_backoff(gh_task_table_t *table);
static gh_job_ref_t find_job(const gh_task_table_t *table, uint64_t id);
static gh_task_ref_t find_task(gh_task_table_t *table, uint64_t id,
			       uint32_t index);
static gh_job_ref_t parse_job(const gh_task_table_t *table, const char *line);
static gh_task_ref_t parse_task(gh_task_table_t *table, const char *line);
static uint64_t get_job_id(gh_task_table_t *table, gh_task_ref_t task);

gh_task_table_t *gh_task_table_new(const gh_task_callbacks_t *callbacks)
{
	gh_task_table_t *table = g_new0(gh_task_table_t, 1);
	size_t i;

	table->callbacks = *callbacks;
	table->jobs = g_array_new(FALSE, TRUE, sizeof(gh_job_t));
	table->free_jobs = g_array_new(FALSE, FALSE, sizeof(gh_job_ref_t));
	table->tasks = g_array_new(FALSE, TRUE, sizeof(gh_task_t));
	for (i = 0; i < RANGE_CLASSES; i++)
		table->free_ranges[i] =
			g_array_new(FALSE, FALSE, sizeof(gh_task_ref_t));
	table->by_id = g_hash_table_new_full(g_int64_hash, g_int64_equal,
					     g_free, NULL);
	table->by_name =
		g_hash_table_new_full(g_str_hash, g_str_equal, g_free, NULL);
	table->queues = g_array_new(FALSE, FALSE, sizeof(job_queue_t));
	table->on_worker = g_array_new(FALSE, FALSE, sizeof(gh_task_ref_t));
	table->backoffs = g_array_new(FALSE, FALSE, sizeof(backoff_t));
	g_queue_init(&table->finished);
	table->next_id = 1;
	return table;
}

void gh_task_table_free(gh_task_table_t *table)
{
	guint i;

	if (!table)
		return;
	for (i = 0; i < table->tasks->len; i++)
		g_free(g_array_index(table->tasks, gh_task_t, i).checkpoint);
	for (i = 0; i < table->jobs->len; i++)
		g_free(g_array_index(table->jobs, gh_job_t, i).spec);
	g_queue_clear_full(&table->finished, g_free);
	g_array_free(table->backoffs, TRUE);
	g_array_free(table->on_worker, TRUE);
	g_array_free(table->queues, TRUE);
	g_hash_table_unref(table->by_name);
	g_hash_table_unref(table->by_id);
	for (i = 0; i < RANGE_CLASSES; i++)
		g_array_free(table->free_ranges[i], TRUE);
	g_array_free(table->tasks, TRUE);
	g_array_free(table->free_jobs, TRUE);
	g_array_free(table->jobs, TRUE);
	g_free(table);
}

void gh_task_set_owner(gh_task_table_t *table, GString *log, uint64_t epoch,
		       const char *owner, int64_t orphans_until_ms)
{
	table->epoch = epoch;
	table->orphans_until_ms = orphans_until_ms;
	g_string_append_printf(log, "E %" PRIu64 " %s %" PRId64 "\n", epoch,
			       owner, orphans_until_ms);
}

gh_job_ref_t gh_job_submit(gh_task_table_t *table, GString *log,
			   const gh_job_spec_t *spec)
{
	gh_job_ref_t job = add_job(table, table->next_id, spec);

	write_job(gh_job_at(table, job), log);
	return job;
}

void gh_task_begin_attempt(gh_task_table_t *table, GString *log,
			   gh_task_ref_t task, gh_handle_t worker,
			   int64_t not_after_ms)
{
	const gh_task_t *t = gh_task_at(table, task);

	apply_intent(table, task, worker, not_after_ms);
	g_string_append_printf(
		log, "I %" PRIu64 ".%u %u %s %" PRId64 "\n",
		get_job_id(table, task), t->index, t->attempt,
		table->callbacks.worker_name(table->callbacks.ctx, worker),
		not_after_ms);
}

void gh_task_end_attempt(gh_task_table_t *table, GString *log,
			 gh_task_ref_t task, gh_task_end_t end,
			 const char *checkpoint)
{
	const gh_task_t *t = gh_task_at(table, task);

	g_string_append_printf(log, "R %" PRIu64 ".%u %u %c",
			       get_job_id(table, task), t->index, t->attempt,
			       end_letters[end]);
	if (checkpoint && *checkpoint)
		write_checkpoint(checkpoint, log);
	g_string_append_c(log, '\n');
	apply_end(table, task, end, checkpoint);
}

void gh_task_uncount_failure(gh_task_table_t *table, GString *log,
			     gh_task_ref_t task)
{
	gh_task_t *t = gh_task_at(table, task);

	if (!t->failures)
		return;
	t->failures--;
	g_string_append_printf(log, "B %" PRIu64 ".%u\n",
			       get_job_id(table, task), t->index);
}

void gh_task_mark_failed(gh_task_table_t *table, GString *log,
			 gh_task_ref_t task)
{
	g_string_append_printf(log, "G %" PRIu64 ".%u\n",
			       get_job_id(table, task),
			       gh_task_at(table, task)->index);
	set_state(table, task, GH_TASK_FAILED);
}

void gh_job_cancel(gh_task_table_t *table, GString *log, gh_job_ref_t job)
{
	g_string_append_printf(log, "X %" PRIu64 "\n",
			       gh_job_at(table, job)->id);
	apply_cancel(table, job);
}

void gh_job_remove(gh_task_table_t *table, GString *log, gh_job_ref_t job)
{
	g_string_append_printf(log, "D %" PRIu64 "\n",
			       gh_job_at(table, job)->id);
	apply_remove(table, job);
}

void gh_task_set_running(gh_task_table_t *table, gh_task_ref_t task,
			 gh_time_t now)
{
	gh_task_t *t = gh_task_at(table, task);

	t->running_since = now;
	set_state(table, task, GH_TASK_RUNNING);
}

void gh_task_set_stopping(gh_task_table_t *table, gh_task_ref_t task)
{
	set_state(table, task, GH_TASK_STOPPING);
}

void gh_task_set_backoff(gh_task_table_t *table, gh_task_ref_t task,
			 gh_time_t until)
{
	gh_task_at(table, task)->retry_at = until;
	push_backoff(table, (backoff_t){ .ends_at = until, .task = task });
}

void gh_task_end_backoff(gh_task_table_t *table, gh_task_ref_t task)
{
	set_state(table, task, GH_TASK_PENDING);
}

bool gh_task_replay(gh_task_table_t *table, const char *line, GError **err)
{
	unsigned char letter = (unsigned char)line[0];
	replay_fn_t fn = letter <= 'Z' ? replay_by_letter[letter] : NULL;

	if (letter == '#' || letter == '\0')
		return true;
	if (fn && fn(table, line))
		return true;
	gh_error_set(
		err, GH_E_SYNTAX,
		"record \"%.80s\" is malformed or does not fit the task table",
		line);
	return false;
}

char *gh_task_snapshot(const gh_task_table_t *table)
{
	GString *text = g_string_new(NULL);
	guint i;
	uint32_t k;

	g_string_append_printf(text, "E %" PRIu64 " - %" PRId64 "\n",
			       table->epoch, table->orphans_until_ms);
	for (i = 0; i < table->jobs->len; i++) {
		const gh_job_t *job = &g_array_index(table->jobs, gh_job_t, i);

		if (!job->spec)
			continue;
		write_job(job, text);
		for (k = 0; k < job->spec->tasks; k++)
			write_task(table, job->first_task + k, text);
		if (job->cancelled)
			g_string_append_printf(text, "X %" PRIu64 "\n",
					       job->id);
	}
	return g_string_free(text, FALSE);
}

gh_task_t *gh_task_at(gh_task_table_t *table, gh_task_ref_t task)
{
	return &g_array_index(table->tasks, gh_task_t, task);
}

gh_job_t *gh_job_at(gh_task_table_t *table, gh_job_ref_t job)
{
	return &g_array_index(table->jobs, gh_job_t, job);
}

gh_job_ref_t gh_job_find(const gh_task_table_t *table, const char *name)
{
	void *found = g_hash_table_lookup(table->by_name, name);

	return found ? GPOINTER_TO_UINT(found) - 1 : GH_JOB_NONE;
}

gh_task_ref_t gh_task_find(gh_task_table_t *table, const char *name)
{
	char job_name[GH_TASK_NAME_MAX + 1];
	char *dot;
	char *end;
	unsigned long index;
	gh_job_ref_t job;

	g_strlcpy(job_name, name, sizeof(job_name));
	dot = strrchr(job_name, '.');
	if (!dot || !g_ascii_isdigit(dot[1]))
		return GH_TASK_NONE;
	*dot = '\0';
	index = strtoul(dot + 1, &end, 10);
	job = gh_job_find(table, job_name);
	if (*end || job == GH_JOB_NONE ||
	    index >= gh_job_at(table, job)->spec->tasks)
		return GH_TASK_NONE;
	return gh_job_at(table, job)->first_task + (gh_task_ref_t)index;
}

void gh_task_name(gh_task_table_t *table, gh_task_ref_t task,
		  char name[GH_TASK_NAME_MAX + 1])
{
	const gh_task_t *t = gh_task_at(table, task);

	g_snprintf(name, GH_TASK_NAME_MAX + 1, "%s.%u",
		   gh_job_at(table, t->job)->spec->name, t->index);
}

gh_resources_t gh_job_size(const gh_job_t *job)
{
	return (gh_resources_t){
		.cores_milli = job->spec->cores_milli,
		.memory_mb = job->spec->memory_mb,
		.accelerators = job->spec->accelerators,
	};
}

gh_rank_t gh_job_rank(const gh_job_t *job)
{
	if (job->spec->urgent)
		return GH_RANK_URGENT;
	return job->spec->class == GH_CLASS_LATENCY ? GH_RANK_LATENCY :
						      GH_RANK_BATCH;
}

bool gh_job_finished(const gh_job_t *job)
{
	return job->count[GH_TASK_DONE] + job->count[GH_TASK_FAILED] +
		       job->count[GH_TASK_CANCELLED] ==
	       job->spec->tasks;
}

bool gh_job_spec_equal(const gh_job_spec_t *a, const gh_job_spec_t *b)
{
	return !strcmp(a->name, b->name) &&
	       !strcmp(a->department, b->department) &&
	       !strcmp(a->kind, b->kind) && !strcmp(a->command, b->command) &&
	       a->class == b->class && a->urgent == b->urgent &&
	       a->tasks == b->tasks && a->cores_milli == b->cores_milli &&
	       a->memory_mb == b->memory_mb &&
	       a->accelerators == b->accelerators && a->run_ms == b->run_ms;
}

bool gh_task_has_open_attempt(const gh_task_t *task)
{
	return task->state == GH_TASK_INTENT ||
	       task->state == GH_TASK_RUNNING ||
	       task->state == GH_TASK_STOPPING;
}

gh_job_ref_t gh_job_queue_head(const gh_task_table_t *table,
			       gh_handle_t department, gh_rank_t rank)
{
	guint index = (guint)department * GH_RANK_COUNT + rank;

	if (index >= table->queues->len)
		return GH_JOB_NONE;
	return g_array_index(table->queues, job_queue_t, index).head;
}

gh_task_ref_t gh_task_first_on_worker(const gh_task_table_t *table,
				      gh_handle_t worker)
{
	if (worker >= table->on_worker->len)
		return GH_TASK_NONE;
	return g_array_index(table->on_worker, gh_task_ref_t, worker);
}

gh_task_ref_t gh_task_next_backoff(gh_task_table_t *table)
{
	while (table->backoffs->len) {
		backoff_t top = g_array_index(table->backoffs, backoff_t, 0);
		const gh_task_t *t = gh_task_at(table, top.task);

		if (t->state == GH_TASK_BACKOFF && t->retry_at == top.ends_at)
			return top.task;
		pop_backoff(table);
	}
	return GH_TASK_NONE;
}

gh_job_ref_t gh_job_oldest_finished(const gh_task_table_t *table, size_t keep)
{
	const uint64_t *id = g_queue_peek_head((GQueue *)&table->finished);

	if (table->finished.length <= keep)
		return GH_JOB_NONE;
	return find_job(table, *id);
}

uint32_t gh_task_count(const gh_task_table_t *table, gh_task_state_t state)
{
	return table->count[state];
}

uint32_t gh_job_count_unfinished(const gh_task_table_t *table)
{
	return table->unfinished;
}

uint64_t gh_task_epoch(const gh_task_table_t *table)
{
	return table->epoch;
}

int64_t gh_task_orphans_until(const gh_task_table_t *table)
{
	return table->orphans_until_ms;
}

const char *gh_task_state_name(gh_task_state_t state)
{
	return state_names[state];
}

static bool replay_owner(gh_task_table_t *table, const char *line)
{
	return sscanf(line, "E %" SCNu64 " %*s %" SCNd64, &table->epoch,
		      &table->orphans_until_ms) == 2;
}

static bool replay_job(gh_task_table_t *table, const char *line)
{
	gh_job_spec_t spec = { .urgent = false };
	uint64_t id;
	unsigned class;
	unsigned urgent;
	int used = 0;
	char *command;

	if (sscanf(line,
		   "J %" SCNu64 " " NAME_FIELD " " NAME_FIELD " " NAME_FIELD
		   " " NAME_FIELD " %u %u %u %u %u %u %" SCNd64 "%n",
		   &id, spec.name, spec.department, spec.domain, spec.kind,
		   &class, &urgent, &spec.tasks, &spec.cores_milli,
		   &spec.memory_mb, &spec.accelerators, &spec.run_ms,
		   &used) != 12 ||
	    class >= GH_CLASS_COUNT || !spec.tasks ||
	    spec.tasks > GH_JOB_TASKS_MAX || line[used] != ' ' ||
	    find_job(table, id) != GH_JOB_NONE)
		return false;
	spec.class = (gh_class_t) class;
	spec.urgent = urgent != 0;
	if (!strcmp(spec.domain, "-"))
		spec.domain[0] = '\0';
	command = g_strcompress(line + used + 1);
	g_strlcpy(spec.command, command, sizeof(spec.command));
	g_free(command);
	add_job(table, id, &spec);
	return true;
}

static bool replay_intent(gh_task_table_t *table, const char *line)
{
	char worker[GH_NAME_MAX + 1];
	uint64_t id;
	uint32_t index;
	uint32_t attempt;
	int64_t not_after_ms;
	gh_task_ref_t ref;

	if (sscanf(line, "I %" SCNu64 ".%u %u " NAME_FIELD " %" SCNd64, &id,
		   &index, &attempt, worker, &not_after_ms) != 5)
		return false;
	ref = find_task(table, id, index);
	if (ref == GH_TASK_NONE ||
	    gh_task_at(table, ref)->attempt + 1 != attempt ||
	    gh_task_has_open_attempt(gh_task_at(table, ref)))
		return false;
	apply_intent(table, ref,
		     table->callbacks.worker(table->callbacks.ctx, worker),
		     not_after_ms);
	return true;
}

static bool replay_end(gh_task_table_t *table, const char *line)
{
	char text[CHECKPOINT_TEXT_MAX + 1] = "";
	uint64_t id;
	uint32_t index;
	uint32_t attempt;
	char letter;
	const char *end;
	char *checkpoint;
	gh_task_ref_t ref;

	if (sscanf(line, "R %" SCNu64 ".%u %u %c " CHECKPOINT_FIELD, &id,
		   &index, &attempt, &letter, text) < 4)
		return false;
	ref = find_task(table, id, index);
	end = letter ? strchr(end_letters, letter) : NULL;
	if (ref == GH_TASK_NONE || !end ||
	    gh_task_at(table, ref)->attempt != attempt ||
	    !gh_task_has_open_attempt(gh_task_at(table, ref)))
		return false;
	checkpoint = g_uri_unescape_string(text, NULL);
	apply_end(table, ref, (gh_task_end_t)(end - end_letters), checkpoint);
	g_free(checkpoint);
	return true;
}

static bool replay_uncount_failure(gh_task_table_t *table, const char *line)
{
	gh_task_ref_t ref = parse_task(table, line);

	if (ref == GH_TASK_NONE || !gh_task_at(table, ref)->failures)
		return false;
	gh_task_at(table, ref)->failures--;
	return true;
}

static bool replay_mark_failed(gh_task_table_t *table, const char *line)
{
	gh_task_ref_t ref = parse_task(table, line);

	if (ref == GH_TASK_NONE ||
	    gh_task_at(table, ref)->state != GH_TASK_BACKOFF)
		return false;
	set_state(table, ref, GH_TASK_FAILED);
	return true;
}

static bool replay_cancel(gh_task_table_t *table, const char *line)
{
	gh_job_ref_t job = parse_job(table, line);

	if (job == GH_JOB_NONE)
		return false;
	apply_cancel(table, job);
	return true;
}

static bool replay_remove(gh_task_table_t *table, const char *line)
{
	gh_job_ref_t job = parse_job(table, line);

	if (job == GH_JOB_NONE || !gh_job_finished(gh_job_at(table, job)))
		return false;
	apply_remove(table, job);
	return true;
}

/*
 * Restores a task from its line in a snapshot.  Only tasks that differ from a
 * newly submitted task have one.
 */
static bool replay_task(gh_task_table_t *table, const char *line)
{
	char worker[GH_NAME_MAX + 1];
	char text[CHECKPOINT_TEXT_MAX + 1];
	uint64_t id;
	uint32_t index;
	uint32_t attempt;
	uint32_t failures;
	int64_t not_after_ms;
	char letter;
	const char *state;
	gh_task_ref_t ref;
	gh_task_t *t;

	if (sscanf(line,
		   "T %" SCNu64 ".%u %c %u %u " NAME_FIELD " %" SCNd64
		   " " CHECKPOINT_FIELD,
		   &id, &index, &letter, &attempt, &failures, worker,
		   &not_after_ms, text) != 8)
		return false;
	ref = find_task(table, id, index);
	state = letter ? strchr(state_letters, letter) : NULL;
	if (ref == GH_TASK_NONE || !state)
		return false;
	t = gh_task_at(table, ref);
	t->attempt = attempt;
	t->failures = failures;
	if (strcmp(text, NO_CHECKPOINT) != 0)
		t->checkpoint = g_uri_unescape_string(text, NULL);
	if (letter != state_letters[GH_TASK_INTENT]) {
		set_state(table, ref, (gh_task_state_t)(state - state_letters));
		if (t->state == GH_TASK_DONE)
			gh_job_at(table, t->job)->succeeded++;
		return true;
	}
	t->attempt--;
	apply_intent(table, ref,
		     table->callbacks.worker(table->callbacks.ctx, worker),
		     not_after_ms);
	return true;
}

static void write_job(const gh_job_t *job, GString *log)
{
	const gh_job_spec_t *s = job->spec;
	char *command = g_strescape(s->command, NULL);

	g_string_append_printf(
		log,
		"J %" PRIu64 " %s %s %s %s %u %u %u %u %u %u %" PRId64 " %s\n",
		job->id, s->name, s->department, s->domain[0] ? s->domain : "-",
		s->kind, (unsigned)s->class, (unsigned)s->urgent, s->tasks,
		s->cores_milli, s->memory_mb, s->accelerators, s->run_ms,
		command);
	g_free(command);
}

static void write_task(const gh_task_table_t *table, gh_task_ref_t task,
		       GString *log)
{
	const gh_task_t *t = &g_array_index(table->tasks, gh_task_t, task);
	const gh_job_t *job = &g_array_index(table->jobs, gh_job_t, t->job);
	const char *worker = "-";
	int64_t not_after_ms = 0;

	if (t->state == GH_TASK_PENDING && !t->attempt)
		return;
	if (gh_task_has_open_attempt(t)) {
		worker = table->callbacks.worker_name(table->callbacks.ctx,
						      t->worker);
		not_after_ms = t->not_after_ms;
	}
	g_string_append_printf(log, "T %" PRIu64 ".%u %c %u %u %s %" PRId64,
			       job->id, t->index, state_letters[t->state],
			       t->attempt, t->failures, worker, not_after_ms);
	if (t->checkpoint)
		write_checkpoint(t->checkpoint, log);
	else
		g_string_append(log, " " NO_CHECKPOINT);
	g_string_append_c(log, '\n');
}

/*
 * Writes a checkpoint's name escaped, since a worker chose the name and it may
 * contain spaces.  A checkpoint called "-" is written as %2D, which differs
 * from NO_CHECKPOINT.
 */
static void write_checkpoint(const char *checkpoint, GString *log)
{
	char *text = g_uri_escape_string(checkpoint, "=/:,;+", FALSE);

	g_string_append_printf(log, " %s",
			       strcmp(text, NO_CHECKPOINT) ? text : "%2D");
	g_free(text);
}

static gh_job_ref_t add_job(gh_task_table_t *table, uint64_t id,
			    const gh_job_spec_t *spec)
{
	gh_job_t job = { .id = id };
	uint64_t *key = g_new(uint64_t, 1);
	gh_job_ref_t ref;
	uint32_t i;

	if (table->free_jobs->len) {
		guint last = table->free_jobs->len - 1;

		ref = g_array_index(table->free_jobs, gh_job_ref_t, last);
		g_array_set_size(table->free_jobs, last);
	} else {
		ref = table->jobs->len;
		g_array_set_size(table->jobs, ref + 1);
	}
	*key = id;
	job.spec = g_memdup2(spec, sizeof(*spec));
	job.department = table->callbacks.department(table->callbacks.ctx,
						     spec->department);
	job.kind = table->callbacks.kind(table->callbacks.ctx, spec->kind);
	job.first_task = allocate_range(table, spec->tasks);
	job.pending = GH_TASK_NONE;
	job.next = job.prev = GH_JOB_NONE;
	job.count[GH_TASK_PENDING] = spec->tasks;
	*gh_job_at(table, ref) = job;
	g_hash_table_insert(table->by_id, key, GUINT_TO_POINTER(ref + 1));
	g_hash_table_insert(table->by_name, g_strdup(spec->name),
			    GUINT_TO_POINTER(ref + 1));
	table->next_id = MAX(table->next_id, id + 1);
	table->unfinished++;
	table->count[GH_TASK_PENDING] += spec->tasks;
	table->callbacks.count_unfinished_job(table->callbacks.ctx,
					      job.department, 1);
	for (i = spec->tasks; i > 0; i--) {
		*gh_task_at(table, job.first_task + i - 1) = (gh_task_t){
			.job = ref,
			.index = i - 1,
			.worker = GH_HANDLE_NONE,
			.last_worker = GH_HANDLE_NONE,
		};
		link_task(table, job.first_task + i - 1);
	}
	return ref;
}

/*
 * Allocates a range of entries for n tasks in the table, with n rounded up to a
 * power of two.
 */
static gh_task_ref_t allocate_range(gh_task_table_t *table, uint32_t n)
{
	GArray *free_ranges = table->free_ranges[range_class(n)];
	gh_task_ref_t first = table->tasks->len;

	if (!free_ranges->len) {
		g_array_set_size(table->tasks, first + (1U << range_class(n)));
		return first;
	}
	first = g_array_index(free_ranges, gh_task_ref_t, free_ranges->len - 1);
	g_array_set_size(free_ranges, free_ranges->len - 1);
	return first;
}

/*
 * Class (log2 of the size) of the smallest range of table entries that holds n
 * tasks.
 */
static unsigned range_class(uint32_t n)
{
	unsigned class = 0;

	while (1U << class < n)
		class ++;
	return class;
}

static void apply_intent(gh_task_table_t *table, gh_task_ref_t ref,
			 gh_handle_t worker, int64_t not_after_ms)
{
	gh_task_t *t = gh_task_at(table, ref);

	/*
	 * A task's state and worker determine the list it is in, so it is
	 * unlinked before they change.
	 */
	unlink_task(table, ref);
	t->worker = worker;
	t->not_after_ms = not_after_ms;
	t->attempt++;
	t->throttled = false;
	t->unconfirmed = false;
	t->running_since = 0;
	gh_job_at(table, t->job)->count[t->state]--;
	table->count[t->state]--;
	t->state = GH_TASK_INTENT;
	gh_job_at(table, t->job)->count[t->state]++;
	table->count[t->state]++;
	link_task(table, ref);
	count_resources(table, t, true);
}

static void apply_end(gh_task_table_t *table, gh_task_ref_t ref,
		      gh_task_end_t end, const char *checkpoint)
{
	gh_task_t *t = gh_task_at(table, ref);
	gh_job_t *job = gh_job_at(table, t->job);
	gh_task_state_t state = state_after[end];

	if (job->cancelled && end != GH_END_DONE)
		state = GH_TASK_CANCELLED;
	if (end == GH_END_FAILED)
		t->failures++;
	if (end == GH_END_DONE)
		job->succeeded++;
	if (end == GH_END_EVICTED && checkpoint && *checkpoint) {
		g_free(t->checkpoint);
		t->checkpoint = g_strdup(checkpoint);
	}
	count_resources(table, t, false);
	t->retry_at = 0;
	t->last_worker = t->worker;
	t->unconfirmed = false;
	set_state(table, ref, state);
	t->worker = GH_HANDLE_NONE;
	if (state == GH_TASK_BACKOFF)
		push_backoff(table, (backoff_t){ .ends_at = 0, .task = ref });
}

static void apply_cancel(gh_task_table_t *table, gh_job_ref_t ref)
{
	gh_job_t *job = gh_job_at(table, ref);
	uint32_t i;

	job->cancelled = true;
	for (i = 0; i < job->spec->tasks; i++) {
		gh_task_state_t state =
			gh_task_at(table, job->first_task + i)->state;

		if (state == GH_TASK_PENDING || state == GH_TASK_BACKOFF)
			set_state(table, job->first_task + i,
				  GH_TASK_CANCELLED);
	}
}

static void apply_remove(gh_task_table_t *table, gh_job_ref_t ref)
{
	gh_job_t *job = gh_job_at(table, ref);
	uint64_t *id;
	uint32_t i;

	for (i = 0; i < job->spec->tasks; i++) {
		gh_task_t *t = gh_task_at(table, job->first_task + i);

		table->count[t->state]--;
		g_free(t->checkpoint);
		*t = (gh_task_t){ .state = GH_TASK_DONE };
	}
	g_array_append_val(table->free_ranges[range_class(job->spec->tasks)],
			   job->first_task);
	/*
	 * The removed job is usually the head of the list, but a replayed log
	 * may remove jobs in any order.
	 */
	for (GList *l = table->finished.head; l; l = l->next) {
		id = l->data;
		if (*id != job->id)
			continue;
		g_free(id);
		g_queue_delete_link(&table->finished, l);
		break;
	}
	g_hash_table_remove(table->by_name, job->spec->name);
	g_hash_table_remove(table->by_id, &job->id);
	g_free(job->spec);
	job->spec = NULL;
	g_array_append_val(table->free_jobs, ref);
}

static void set_state(gh_task_table_t *table, gh_task_ref_t ref,
		      gh_task_state_t state)
{
	gh_task_t *t = gh_task_at(table, ref);
	gh_job_t *job = gh_job_at(table, t->job);

	if (t->state == state)
		return;
	unlink_task(table, ref);
	job->count[t->state]--;
	table->count[t->state]--;
	t->state = state;
	job->count[state]++;
	table->count[state]++;
	link_task(table, ref);
	if (state >= GH_TASK_DONE && gh_job_finished(job)) {
		table->unfinished--;
		table->callbacks.count_unfinished_job(table->callbacks.ctx,
						      job->department, -1);
		g_queue_push_tail(&table->finished,
				  g_memdup2(&job->id, sizeof(job->id)));
	}
}

static void count_resources(gh_task_table_t *table, const gh_task_t *task,
			    bool add)
{
	const gh_job_t *job = gh_job_at(table, task->job);
	gh_resources_t size = gh_job_size(job);

	table->callbacks.count_resources(table->callbacks.ctx, task->worker,
					 job->department, &size, add);
}

static void link_task(gh_task_table_t *table, gh_task_ref_t ref)
{
	gh_task_t *t = gh_task_at(table, ref);
	gh_task_ref_t *head = find_task_list(table, t);

	t->next = t->prev = GH_TASK_NONE;
	if (!head)
		return;
	t->next = *head;
	if (*head != GH_TASK_NONE)
		gh_task_at(table, *head)->prev = ref;
	*head = ref;
	if (t->state == GH_TASK_PENDING && !gh_job_at(table, t->job)->queued)
		queue_job(table, t->job, t->attempt != 0);
}

static void unlink_task(gh_task_table_t *table, gh_task_ref_t ref)
{
	gh_task_t *t = gh_task_at(table, ref);
	gh_task_ref_t *head = find_task_list(table, t);

	if (!head)
		return;
	if (t->next != GH_TASK_NONE)
		gh_task_at(table, t->next)->prev = t->prev;
	if (t->prev != GH_TASK_NONE)
		gh_task_at(table, t->prev)->next = t->next;
	else
		*head = t->next;
	t->next = t->prev = GH_TASK_NONE;
	if (t->state == GH_TASK_PENDING &&
	    gh_job_at(table, t->job)->pending == GH_TASK_NONE)
		unqueue_job(table, t->job);
}

/*
 * Returns the head of the list that a task with this state and worker belongs
 * to; NULL if it belongs to none.
 */
static gh_task_ref_t *find_task_list(gh_task_table_t *table,
				     const gh_task_t *task)
{
	static const gh_task_ref_t none = GH_TASK_NONE;

	if (task->state == GH_TASK_PENDING)
		return &gh_job_at(table, task->job)->pending;
	if (!gh_task_has_open_attempt(task))
		return NULL;
	while (table->on_worker->len <= task->worker)
		g_array_append_val(table->on_worker, none);
	return &g_array_index(table->on_worker, gh_task_ref_t, task->worker);
}

static void queue_job(gh_task_table_t *table, gh_job_ref_t ref, bool front)
{
	gh_job_t *job = gh_job_at(table, ref);
	job_queue_t *queue = find_job_queue(table, job);
	gh_job_ref_t *end = front ? &queue->head : &queue->tail;
	gh_job_ref_t other = *end;

	job->queued = true;
	job->next = front ? other : GH_JOB_NONE;
	job->prev = front ? GH_JOB_NONE : other;
	*end = ref;
	if (other == GH_JOB_NONE)
		queue->head = queue->tail = ref;
	else if (front)
		gh_job_at(table, other)->prev = ref;
	else
		gh_job_at(table, other)->next = ref;
}

static void unqueue_job(gh_task_table_t *table, gh_job_ref_t ref)
{
	gh_job_t *job = gh_job_at(table, ref);
	job_queue_t *queue = find_job_queue(table, job);

	if (!job->queued)
		return;
	job->queued = false;
	if (job->next != GH_JOB_NONE)
		gh_job_at(table, job->next)->prev = job->prev;
	else
		queue->tail = job->prev;
	if (job->prev != GH_JOB_NONE)
		gh_job_at(table, job->prev)->next = job->next;
	else
		queue->head = job->next;
	job->next = job->prev = GH_JOB_NONE;
}

static job_queue_t *find_job_queue(gh_task_table_t *table, const gh_job_t *job)
{
	static const job_queue_t empty = { .head = GH_JOB_NONE,
					   .tail = GH_JOB_NONE };
	guint index = (guint)job->department * GH_RANK_COUNT + gh_job_rank(job);

	while (table->queues->len <= index)
		g_array_append_val(table->queues, empty);
	return &g_array_index(table->queues, job_queue_t, index);
}

static void push_backoff(gh_task_table_t *table, backoff_t backoff)
{
	GArray *heap = table->backoffs;
	guint i = heap->len;

	g_array_append_val(heap, backoff);
	while (i && g_array_index(heap, backoff_t, (i - 1) / 2).ends_at >
			    backoff.ends_at) {
		g_array_index(heap, backoff_t, i) =
			g_array_index(heap, backoff_t, (i - 1) / 2);
		i = (i - 1) / 2;
	}
	g_array_index(heap, backoff_t, i) = backoff;
}

static void pop_backoff(gh_task_table_t *table)
{
	GArray *heap = table->backoffs;
	backoff_t last = g_array_index(heap, backoff_t, heap->len - 1);
	guint i = 0;
	guint child;

	g_array_set_size(heap, heap->len - 1);
	if (!heap->len)
		return;
	while ((child = 2 * i + 1) < heap->len) {
		if (child + 1 < heap->len &&
		    g_array_index(heap, backoff_t, child + 1).ends_at <
			    g_array_index(heap, backoff_t, child).ends_at)
			child++;
		if (g_array_index(heap, backoff_t, child).ends_at >=
		    last.ends_at)
			break;
		g_array_index(heap, backoff_t, i) =
			g_array_index(heap, backoff_t, child);
		i = child;
	}
	g_array_index(heap, backoff_t, i) = last;
}

static gh_job_ref_t find_job(const gh_task_table_t *table, uint64_t id)
{
	void *found = g_hash_table_lookup(table->by_id, &id);

	return found ? GPOINTER_TO_UINT(found) - 1 : GH_JOB_NONE;
}

static gh_task_ref_t find_task(gh_task_table_t *table, uint64_t id,
			       uint32_t index)
{
	gh_job_ref_t job = find_job(table, id);

	if (job == GH_JOB_NONE || index >= gh_job_at(table, job)->spec->tasks)
		return GH_TASK_NONE;
	return gh_job_at(table, job)->first_task + index;
}

/* Finds the job whose id follows the type letter in a log record's line. */
static gh_job_ref_t parse_job(const gh_task_table_t *table, const char *line)
{
	uint64_t id;

	if (sscanf(line, "%*c %" SCNu64, &id) != 1)
		return GH_JOB_NONE;
	return find_job(table, id);
}

static gh_task_ref_t parse_task(gh_task_table_t *table, const char *line)
{
	uint64_t id;
	uint32_t index;

	if (sscanf(line, "%*c %" SCNu64 ".%u", &id, &index) != 2)
		return GH_TASK_NONE;
	return find_task(table, id, index);
}

static uint64_t get_job_id(gh_task_table_t *table, gh_task_ref_t task)
{
	return gh_job_at(table, gh_task_at(table, task)->job)->id;
}
