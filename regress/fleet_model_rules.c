/*
 * Rules that the fleet model checks as workers start runs and forget ends.
 */
#include <string.h>

#include "fleet_model_private.h"

/* A run of a job lasts for no longer than this after the job's end. */
#define OVER_MAX_MS 3000

static void check_beside(model_t *m, const life_t *life,
			 const gh_task_id_t *task);
static void check_order(model_t *m, const gh_task_id_t *task);
static void check_capacity(model_t *m, const life_t *life,
			   const gh_task_id_t *task);
static void check_done(model_t *m, const gh_task_id_t *task);
static model_task_t *find_task(const model_t *m, const gh_task_id_t *task);

void model_check_start(model_t *m, const life_t *life, const gh_task_id_t *task,
		       uint32_t run)
{
	const gh_step_t *step = model_step(m, task);
	gh_task_id_t member = *task;
	uint32_t from = step->gang ? 0 : task->index;
	uint32_t to = step->gang ? step->tasks : task->index + 1;

	(void)run;
	if (!step->speculative)
		check_beside(m, life, task);
	check_order(m, task);
	if (!m->workers_check_capacity && !m->capacity_changed)
		check_capacity(m, life, task);
	/* The end of one member as done represents the gang. */
	for (member.index = from; member.index < to; member.index++)
		if (!step->speculative && !step->long_running)
			check_done(m, &member);
}

static void check_beside(model_t *m, const life_t *life,
			 const gh_task_id_t *task)
{
	uint32_t i;
	guint r;

	(void)life;
	for (i = 0; i < MODEL_SLOTS; i++)
		for (r = 0; m->slots[i] && r < m->slots[i]->runs->len; r++) {
			const live_run_t *other = &g_array_index(
				m->slots[i]->runs, live_run_t, r);

			if (!model_same_task(&other->task, task))
				continue;
			model_log(m, task, "run %u is at work at worker %s",
				  other->run, m->slots[i]->id);
			model_breach(m, RULE_TWICE, task,
				     "two runs at the same time");
			return;
		}
}

static void check_order(model_t *m, const gh_task_id_t *task)
{
	const model_job_t *job = model_job_find(m, task->job);
	const gh_step_t *steps = job->pipeline->steps;
	gh_task_id_t before = *task;

	for (before.step = 0; before.step < task->step; before.step++) {
		if (!(steps[task->step].depends_on & 1u << before.step))
			continue;
		for (before.index = 0; before.index < steps[before.step].tasks;
		     before.index++)
			if (!find_task(m, &before)->done->len) {
				model_breach(m, RULE_ORDER, task,
					     "started before an earlier step "
					     "was done");
				return;
			}
	}
}

static void check_capacity(model_t *m, const life_t *life,
			   const gh_task_id_t *task)
{
	const gh_step_t *step = model_step(m, task);
	uint32_t used = step->size.cores_milli;
	guint i;

	if (step->best_effort)
		return;
	for (i = 0; i < life->runs->len; i++) {
		const gh_step_t *other = model_step(
			m, &g_array_index(life->runs, live_run_t, i).task);

		used += other->best_effort ? 0 : other->size.cores_milli;
	}
	if (used <= life->capacity_milli)
		return;
	for (i = 0; i < life->runs->len; i++) {
		const live_run_t *run =
			&g_array_index(life->runs, live_run_t, i);

		model_log(m, task, "beside run %u of %s.%u.%u%s", run->run,
			  run->task.job, run->task.step, run->task.index,
			  run->stopping ? ", stopping" : "");
	}
	model_breach(m, RULE_CAPACITY, task,
		     "a start over the worker's capacity");
}

static void check_done(model_t *m, const gh_task_id_t *task)
{
	const GArray *done = find_task(m, task)->done;
	guint i;

	for (i = 0; i < done->len; i++) {
		done_end_t *end = &g_array_index(done, done_end_t, i);

		if (end->void_for_good)
			continue;
		end->started_after = true;
		if (end->noted)
			model_breach(m, RULE_TWICE, task,
				     "started after an end as done was noted");
	}
}

void model_note_end(model_t *m, const life_t *life, const life_end_t *end)
{
	model_task_t *task = find_task(m, &end->task);
	done_end_t done = { .life = life, .number = end->number, .at = m->now };

	if (end->outcome != GH_RUN_DONE)
		return;
	m->result->done++;
	g_array_append_val(task->done, done);
}

void model_note_ack(model_t *m, const life_t *life, uint64_t number)
{
	guint i, j;

	for (i = 0; i < life->ends->len; i++) {
		const life_end_t *end =
			&g_array_index(life->ends, life_end_t, i);
		const GArray *done = find_task(m, &end->task)->done;

		if (end->number > number || end->outcome != GH_RUN_DONE)
			continue;
		model_log(m, &end->task, "end %d is noted at worker %s",
			  (int)end->number, life->id);
		for (j = 0; j < done->len; j++) {
			done_end_t *noted = &g_array_index(done, done_end_t, j);

			if (noted->life != life || noted->number != end->number)
				continue;
			noted->void_for_good = life->lapsed_at > noted->at;
			noted->noted = !noted->void_for_good;
			if (noted->noted && noted->started_after)
				model_breach(m, RULE_TWICE, &end->task,
					     "an end as done was noted after a "
					     "later start");
		}
	}
}

void model_check_places(model_t *m, const job_change_t *change)
{
	const model_job_t *job = change->job;
	gh_task_id_t id = { 0 };
	uint32_t i, n;

	g_strlcpy(id.job, job->pipeline->id, sizeof(id.job));
	for (i = 0; i < change->n_departures; i++) {
		id.index = change->departures[i].task;
		if (job->cancelled || !job->exists)
			model_breach(m, RULE_PLACE, &id,
				     "a task of a job that is over moves");
	}
	/* Tasks that can move are those of jobs of one step. */
	for (i = 0; job->exists && !job->cancelled &&
		    job->pipeline->n_steps == 1 && i < job->n_tasks;
	     i++) {
		id.index = i;
		n = model_move_places(m, job, i);
		if (n != 1)
			model_breach(m, RULE_PLACE, &id,
				     n ? "the task belongs to several shards" :
					 "the task belongs to no shard");
	}
}

/* Whether a shard has a message of the job, or has it as a guest. */
static bool has_moved_part(const model_t *m, const model_job_t *job,
			   gh_task_id_t *id)
{
	uint32_t s;

	g_strlcpy(id->job, job->pipeline->id, sizeof(id->job));
	for (s = 0; s < m->n_shards; s++) {
		const job_part_t *part = &job->parts[s];

		if (part->guest)
			return true;
		for (id->index = 0; id->index < job->n_tasks; id->index++)
			if (part->messages[id->index].text)
				return true;
		id->index = 0;
	}
	return false;
}

static bool is_over_for_long(const model_t *m, const model_job_t *job)
{
	return job->over_at &&
	       m->now - job->over_at > gh_time_from_ms(OVER_MAX_MS);
}

void model_check_over(model_t *m)
{
	uint32_t i;
	guint r;

	for (r = 0; r < m->jobs->len; r++) {
		const model_job_t *job = m->jobs->pdata[r];
		gh_task_id_t id = { 0 };

		if (job->pipeline->n_steps == 1 && is_over_for_long(m, job) &&
		    has_moved_part(m, job, &id))
			model_breach(m, RULE_OVER, &id,
				     "a record of a job that is over");
	}
	for (i = 0; i < MODEL_SLOTS; i++)
		for (r = 0; m->slots[i] && r < m->slots[i]->runs->len; r++) {
			const gh_task_id_t *task =
				&g_array_index(m->slots[i]->runs, live_run_t, r)
					 .task;
			const model_job_t *job = model_job_find(m, task->job);

			if (is_over_for_long(m, job))
				model_breach(m, RULE_OVER, task,
					     "a run of a job that is over");
		}
}

static model_task_t *find_task(const model_t *m, const gh_task_id_t *task)
{
	model_job_t *job = model_job_find(m, task->job);

	return &job->tasks[model_task_index(job, task)];
}
