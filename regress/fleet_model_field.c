/*
 * Jobs and the end of a day as in the field, for runs of the fleet model with a
 * quiet end: jobs of several steps with best-effort tasks, memory, labels and
 * limits a worker, some of which fail each time.
 */
#include <string.h>

#include "fleet_model_private.h"

#define STEPS_MAX 4
#define TASKS_MAX 8
#define GANG_TASKS_MAX 3
#define LOADS 4
#define MEMORY_MAX_MB 6000
/* Shares of jobs, in percent. */
#define LONG_RUNNING_PERCENT 20
#define LONG_RUNNING_SHARDS_PERCENT 45 /* with several shards */
#define HOPELESS_PERCENT 4
#define DEADLY_PERCENT 3
/* A deadly task crashes its worker within this time. */
#define DEADLY_MAX_MS 200
/* Shares of steps. */
#define BEST_EFFORT_PERCENT 35
#define GANG_PERCENT 12
#define SPECULATIVE_PERCENT 10
#define LABEL_PERCENT 20
#define SPREAD_PERCENT 20
#define WIDE_PERCENT 15
#define LARGE_PERCENT 30 /* of the steps of long-running tasks */
#define WIDE_TASKS 24
#define WIDE_TIMES 3 /* longer than in other steps */
/* Share of outages of the store in which the workers' entries lapse. */
#define LAPSE_PERCENT 30
/* They are back within this time of its end. */
#define LAPSED_MAX_MS 2000
/* Least share of the jobs whose home is one of two shards. */
#define SKEW_MIN_PERCENT 10
/* Share of the days on which some workers fail all runs. */
#define SICK_PERCENT 40
/* Share of the days at whose end all hosts fail. */
#define POWER_LOSS_PERCENT 60

static gh_step_t make_step(model_t *m, bool long_running, uint32_t number);
static void crash_by_task(model_t *m, void *data);
static void list_again(model_t *m, void *data);
static void end_disruptions(model_t *m, void *data);
static void boot_hosts(model_t *m, void *data);

gh_pipeline_t *model_field_pipeline(model_t *m, uint32_t number)
{
	gh_pipeline_t *pipeline = g_new0(gh_pipeline_t, 1);
	bool long_running =
		model_chance(m, m->n_shards > 1 ? LONG_RUNNING_SHARDS_PERCENT :
						  LONG_RUNNING_PERCENT);
	uint32_t i;

	g_snprintf(pipeline->id, sizeof(pipeline->id), "%016x", number);
	g_strlcpy(pipeline->queue, "q", sizeof(pipeline->queue));
	g_strlcpy(pipeline->service, "svc", sizeof(pipeline->service));
	pipeline->payload = g_strdup("payload");
	pipeline->accepted_ms = gh_time_to_ms(m->now);
	pipeline->n_steps =
		long_running ? 1 : 1 + (uint32_t)model_random(m, STEPS_MAX);
	pipeline->steps = g_new0(gh_step_t, pipeline->n_steps);
	for (i = 0; i < pipeline->n_steps; i++)
		pipeline->steps[i] = make_step(m, long_running, i);
	return pipeline;
}

bool model_field_is_sick(const model_t *m, const life_t *life)
{
	return m->sick & 1u << life->slot;
}

void model_field_set_faults(model_t *m, model_job_t *job)
{
	job->hopeless = model_chance(m, HOPELESS_PERCENT);
	if (job->hopeless || !m->weights[DISRUPT_CRASH] ||
	    !model_chance(m, DEADLY_PERCENT))
		return;
	job->deadly = 1 + (uint32_t)model_random(m, job->pipeline->n_steps);
	job->deadly_tasks = model_chance(m, 50) ? 1 : UINT32_MAX;
}

void model_field_begin_run(model_t *m, life_t *life, const gh_task_id_t *task)
{
	const model_job_t *job = model_job_find(m, task->job);

	if (job->deadly == task->step + 1 && task->index < job->deadly_tasks)
		model_post(m, m->now + model_random_ms(m, 5, DEADLY_MAX_MS),
			   crash_by_task, life);
}

static void crash_by_task(model_t *m, void *data)
{
	life_t *life = data;

	if (!life->up)
		return;
	m->crashed_at = m->now;
	model_log(m, NULL, "a task crashes worker %s", life->id);
	model_crash(m, life, m->now + model_random_ms(m, 100, 3000));
}

static gh_step_t make_step(model_t *m, bool long_running, uint32_t number)
{
	gh_step_t step = {
		.tasks = 1 + (uint32_t)model_random(m, TASKS_MAX),
		.size = { .cores_milli =
				  250 * (1 + (uint32_t)model_random(m, 6)),
			  .memory_mb =
				  (uint32_t)model_random(m, MEMORY_MAX_MB) },
		.estimate_ms = 100 + (int64_t)model_random(m, 2000),
		.long_running = long_running,
	};

	if (!long_running && model_chance(m, WIDE_PERCENT)) {
		step.tasks += (uint32_t)model_random(m, WIDE_TASKS);
		step.estimate_ms *= WIDE_TIMES;
	}
	if (number && model_chance(m, 80))
		step.depends_on =
			1 + (uint32_t)model_random(m, (1u << number) - 1);
	if (model_chance(m, LABEL_PERCENT))
		g_strlcpy(step.label, model_chance(m, 50) ? "a" : "b",
			  sizeof(step.label));
	if (model_chance(m, SPREAD_PERCENT))
		step.max_per_worker = 1 + (uint32_t)model_random(m, 2);
	if (long_running) {
		step.tasks = 1 + step.tasks % (m->n_shards > 1 ? 6 : 3);
		if (model_chance(m, LARGE_PERCENT))
			step.size.cores_milli *= 2;
	} else if (model_chance(m, BEST_EFFORT_PERCENT)) {
		step.best_effort = true;
	} else if (model_chance(m, GANG_PERCENT)) {
		step.gang = true;
		step.tasks = 1 + step.tasks % GANG_TASKS_MAX;
	} else {
		step.speculative = model_chance(m, SPECULATIVE_PERCENT);
	}
	return step;
}

void model_field_start(model_t *m)
{
	m->job_period_ms *= 1 + (int64_t)model_random(m, LOADS);
	if (m->n_shards > 1)
		m->skew_percent =
			SKEW_MIN_PERCENT +
			(uint32_t)model_random(m, 101 - 2 * SKEW_MIN_PERCENT);
	if (model_chance(m, SICK_PERCENT))
		m->sick = (uint32_t)model_random(m, 1u << MODEL_SLOTS);
	model_post(m, m->quiet_at, end_disruptions, NULL);
}

void model_field_store_down(model_t *m, gh_time_t until)
{
	guint i;

	if (!model_chance(m, LAPSE_PERCENT))
		return;
	for (i = 0; i < m->entries->len; i++) {
		model_entry_t *entry = m->entries->pdata[i];

		if (!entry->exists)
			continue;
		entry->exists = false;
		entry_changed(m, entry);
		model_post(m, until + model_random_ms(m, 0, LAPSED_MAX_MS),
			   list_again, entry);
	}
}

/* A worker whose entry has lapsed writes it again. */
static void list_again(model_t *m, void *data)
{
	const model_entry_t *entry = data;
	uint32_t i;

	for (i = 0; i < MODEL_SLOTS; i++)
		if (m->slots[i] && !strcmp(m->slots[i]->id, entry->id))
			life_register(m, m->slots[i]);
}

static void end_disruptions(model_t *m, void *data)
{
	uint32_t i;

	(void)data;
	m->disruptions_over = true;
	if (model_chance(m, 50))
		m->sick = 0;
	model_log(m, NULL, "disruptions end");
	m->job_period_ms *= 2;
	if (!model_chance(m, POWER_LOSS_PERCENT))
		return;
	for (i = 0; i < m->n_hosts; i++)
		host_kill(&m->hosts[i]);
	model_post(m, m->now + gh_time_from_ms(MODEL_DARK_MS), boot_hosts,
		   NULL);
}

static void boot_hosts(model_t *m, void *data)
{
	uint32_t i;

	(void)data;
	for (i = 0; i < m->n_hosts; i++)
		if (!m->hosts[i].up)
			host_boot(&m->hosts[i]);
}
