#include "fleet_shards.h"

#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <cmocka.h>
#include <stdio.h>
#include <string.h>

#include "core_move.h"

#define CHANGE_MOVES_MAX 8
#define LOAD_PERIOD_USEC (100 * MS)
#define STEP_MS (STEP_USEC / MS)

static char *make_key(uint32_t shard, const char *kind, const char *id)
{
	return g_strdup_printf("%u/%s/%s", shard, kind, id);
}

static char *message_key(uint32_t shard, const char *id, uint32_t index)
{
	return g_strdup_printf("%u/moved/%s/%u", shard, id, index);
}

static void put(shards_t *s, char *key, char *value)
{
	g_hash_table_replace(s->records, key, value);
}

static const char *get(const shards_t *s, uint32_t shard, const char *kind,
		       const char *id)
{
	char *key = make_key(shard, kind, id);
	const char *value = g_hash_table_lookup(s->records, key);

	g_free(key);
	return value;
}

static void drop(shards_t *s, char *key)
{
	g_hash_table_remove(s->records, key);
	g_free(key);
}

const char *shards_progress(const shards_t *s, uint32_t shard, const char *id)
{
	return get(s, shard, "progress", id);
}

const char *shards_message(const shards_t *s, uint32_t shard, const char *id,
			   uint32_t index)
{
	char *key = message_key(shard, id, index);
	const char *value = g_hash_table_lookup(s->records, key);

	g_free(key);
	return value;
}

static bool is_cancelled(const shards_t *s, const char *id)
{
	char *key = g_strconcat("state/", id, NULL);
	bool cancelled =
		!g_strcmp0(g_hash_table_lookup(s->records, key), "cancelled");

	g_free(key);
	return cancelled;
}

static void store_departures(shards_t *s, const world_t *w,
			     const gh_fleet_change_t *change)
{
	guint i;

	assert_true(change->departures->len <= CHANGE_MOVES_MAX);
	for (i = 0; i < change->departures->len; i++) {
		const gh_task_move_t *move =
			&g_array_index(change->departures, gh_task_move_t, i);
		uint32_t index = gh_task_move_index(move, change->job);

		assert_int_equal(move->from, w->shard);
		assert_true(move->last_run);
		if (shards_message(s, move->to, change->id, index))
			fail_msg("a message is overwritten");
		put(s, message_key(move->to, change->id, index),
		    gh_task_move_format(move, change->job));
		s->n_departures++;
	}
}

static bool store_change(world_t *w, const gh_fleet_change_t *change)
{
	shards_t *s = w->ctx;
	guint i;

	if (change->departures && change->departures->len &&
	    is_cancelled(s, change->id)) {
		s->uncommitted_move = true;
		return false;
	}
	if (change->guest && change->phase_changed)
		fail_msg("a guest's phase is stored");
	if (change->phase_changed && !is_cancelled(s, change->id))
		put(s, g_strconcat("state/", change->id, NULL),
		    g_strdup(gh_job_phase_name(change->phase)));
	if (change->guest_is_new)
		put(s, make_key(w->shard, "guest", change->id),
		    gh_pipeline_format(change->job));
	if (change->progress) {
		put(s, make_key(w->shard, "progress", change->id),
		    g_strdup(change->progress));
	} else {
		drop(s, make_key(w->shard, "progress", change->id));
		drop(s, make_key(w->shard, "guest", change->id));
		drop(s, make_key(w->shard, "job", change->id));
	}
	if (change->departures)
		store_departures(s, w, change);
	for (i = 0; change->arrivals && i < change->arrivals->len; i++) {
		const gh_task_move_t *move =
			&g_array_index(change->arrivals, gh_task_move_t, i);

		assert_true(change->arrivals->len <= CHANGE_MOVES_MAX);
		drop(s, message_key(w->shard, change->id,
				    gh_task_move_index(move, change->job)));
	}
	return true;
}

void shards_init(shards_t *s)
{
	uint32_t i;

	memset(s, 0, sizeof(*s));
	s->records =
		g_hash_table_new_full(g_str_hash, g_str_equal, g_free, g_free);
	for (i = 0; i < SHARDS; i++) {
		world_init_shard(&s->worlds[i], i, SHARDS);
		s->worlds[i].ctx = s;
		s->worlds[i].on_commit = store_change;
	}
}

void shards_clear(shards_t *s)
{
	uint32_t i;

	for (i = 0; i < SHARDS; i++)
		world_clear(&s->worlds[i]);
	g_hash_table_destroy(s->records);
}

void shards_add_job(shards_t *s, uint32_t home, const char *id,
		    uint32_t n_steps, const gh_step_t *steps)
{
	gh_pipeline_t *job = make_job(id, n_steps, steps);
	world_t *other = &s->worlds[1 - home];

	put(s, make_key(home, "job", id), gh_pipeline_format(job));
	put(s, g_strconcat("state/", id, NULL), g_strdup("queued"));
	gh_pipeline_free(job);
	add_job(&s->worlds[home], id, n_steps, steps, NULL);
	other->jobs[other->n_jobs++ % G_N_ELEMENTS(other->jobs)] =
		s->worlds[home].jobs[(s->worlds[home].n_jobs - 1) %
				     G_N_ELEMENTS(other->jobs)];
}

void shards_cancel(shards_t *s, const char *id)
{
	put(s, g_strconcat("state/", id, NULL), g_strdup("cancelled"));
}

/* Loads the jobs of a kind: "job" or "guest". */
static void load_jobs(shards_t *s, world_t *w, const char *kind)
{
	char *prefix = make_key(w->shard, kind, "");
	GHashTableIter iter;
	gpointer key, text;

	g_hash_table_iter_init(&iter, s->records);
	while (g_hash_table_iter_next(&iter, &key, &text)) {
		const char *id = (const char *)key + strlen(prefix);
		gh_pipeline_t *job;
		bool ok;

		if (!g_str_has_prefix(key, prefix))
			continue;
		job = gh_pipeline_parse(text, NULL);
		assert_non_null(job);
		ok = (!strcmp(kind, "job") ? gh_fleet_job_add :
					     gh_fleet_guest_add)(
			w->fleet, job, shards_progress(s, w->shard, id), NULL);
		assert_true(ok);
	}
	g_free(prefix);
}

void shards_restart(shards_t *s, uint32_t shard)
{
	world_t *w = &s->worlds[shard];
	size_t i;

	replace_owner(w);
	load_jobs(s, w, "job");
	load_jobs(s, w, "guest");
	for (i = 0; i < w->n_workers; i++)
		list_worker(w, &w->workers[i], false);
}

static void take_message(world_t *w, const char *text)
{
	gh_task_move_t move;
	gh_pipeline_t *job = gh_task_move_parse(text, &move, NULL);

	assert_non_null(job);
	assert_int_equal(move.to, w->shard);
	if (!gh_fleet_task_arrive(w->fleet, &move, w->now)) {
		assert_true(gh_fleet_guest_add(w->fleet, job, NULL, NULL));
		assert_true(gh_fleet_task_arrive(w->fleet, &move, w->now));
		return;
	}
	gh_pipeline_free(job);
}

/* Tells the owner of all messages to it, also of those that it has seen. */
static void tell_messages(shards_t *s, world_t *w)
{
	char *prefix = make_key(w->shard, "moved", "");
	GHashTableIter iter;
	gpointer key, text;

	g_hash_table_iter_init(&iter, s->records);
	while (g_hash_table_iter_next(&iter, &key, &text)) {
		char *id;

		if (!g_str_has_prefix(key, prefix))
			continue;
		id = g_strndup(
			(const char *)key + strlen(prefix),
			strcspn((const char *)key + strlen(prefix), "/"));
		if (!is_cancelled(s, id))
			take_message(w, text);
		else if (!gh_fleet_has_job(w->fleet, id))
			g_hash_table_iter_remove(&iter);
		g_free(id);
	}
	g_free(prefix);
}

static void tell_cancels(shards_t *s, world_t *w)
{
	GHashTableIter iter;
	gpointer key, phase;

	g_hash_table_iter_init(&iter, s->records);
	while (g_hash_table_iter_next(&iter, &key, &phase))
		if (g_str_has_prefix(key, "state/") &&
		    !strcmp(phase, "cancelled"))
			gh_fleet_job_cancel(
				w->fleet, (const char *)key + strlen("state/"),
				w->now);
}

/* Loads take a step to be heard of. */
static void tell_loads(shards_t *s)
{
	bool due = s->loads_due;
	uint32_t i;

	s->loads_due = !s->loads_held &&
		       s->worlds[0].now - s->loads_at >= LOAD_PERIOD_USEC;
	if (s->loads_due)
		s->loads_at = s->worlds[0].now;
	for (i = 0; i < SHARDS; i++) {
		world_t *other = &s->worlds[1 - i];

		if (due)
			gh_fleet_peer_set(other->fleet, i,
					  s->told[i] ? s->told[i] :
						       &s->loads[i],
					  other->now);
		gh_fleet_load(s->worlds[i].fleet, &s->loads[i],
			      s->worlds[i].now);
	}
}

/* Whether the record has a line for the task; *open: it is there. */
static bool find_line(const char *progress, uint32_t index, bool *open)
{
	char *start = g_strdup_printf("\n%u ", index);
	const char *line = progress ? strstr(progress, start) : NULL;

	if (line)
		*open = g_str_has_prefix(line + strlen(start), "open");
	g_free(start);
	return line;
}

/* How many shards have the task, by the records. */
static uint32_t count_owners(const shards_t *s, const char *id, uint32_t index)
{
	uint32_t n = 0;
	uint32_t i;

	for (i = 0; i < SHARDS; i++) {
		bool open = get(s, i, "job", id);

		find_line(shards_progress(s, i, id), index, &open);
		n += open || shards_message(s, i, id, index);
	}
	return n;
}

static uint32_t count_task_runs(const shards_t *s, const gh_task_id_t *task)
{
	uint32_t n = 0;
	size_t i, j, w;

	for (w = 0; w < SHARDS; w++)
		for (i = 0; i < s->worlds[w].n_workers; i++) {
			const scripted_worker_t *worker =
				&s->worlds[w].workers[i];

			for (j = 0; j < worker->n_runs; j++)
				n += !strcmp(worker->runs[j].task.job,
					     task->job) &&
				     worker->runs[j].task.step == task->step &&
				     worker->runs[j].task.index == task->index;
		}
	return n;
}

static void check_tasks(const shards_t *s)
{
	const world_t *w = &s->worlds[0];
	size_t i;

	for (i = 0; i < w->n_jobs; i++) {
		gh_task_id_t task = { 0 };

		g_strlcpy(task.job, w->jobs[i].id, sizeof(task.job));
		for (; task.index < w->jobs[i].steps->tasks; task.index++) {
			uint32_t owners = count_owners(s, task.job, task.index);

			if (count_task_runs(s, &task) > 1)
				fail_msg("task %u of job %s runs twice",
					 task.index, task.job);
			if (owners != 1 && !is_cancelled(s, task.job))
				fail_msg("task %u of job %s is in %u shards",
					 task.index, task.job, owners);
		}
	}
}

void shards_advance(shards_t *s, int64_t ms)
{
	int64_t t;
	uint32_t i;

	for (t = 0; t < ms; t += STEP_MS) {
		for (i = 0; i < SHARDS; i++) {
			world_t *w = &s->worlds[i];

			if (!s->cancels_held[i])
				tell_cancels(s, w);
			if (!s->messages_held[i])
				tell_messages(s, w);
			advance_time(w, STEP_MS);
			check_tasks(s);
		}
		tell_loads(s);
	}
}

size_t shards_count_runs(const shards_t *s, uint32_t shard, const char *id)
{
	const world_t *w = &s->worlds[shard];
	size_t n = 0;
	size_t i, j;

	for (i = 0; i < w->n_workers; i++)
		for (j = 0; j < w->workers[i].n_runs; j++)
			n += !strcmp(w->workers[i].runs[j].task.job, id);
	return n;
}

size_t shards_count_records(const shards_t *s, const char *id)
{
	GHashTableIter iter;
	gpointer key;
	size_t n = 0;

	g_hash_table_iter_init(&iter, s->records);
	while (g_hash_table_iter_next(&iter, &key, NULL))
		n += !g_str_has_prefix(key, "state/") && strstr(key, id);
	return n;
}
