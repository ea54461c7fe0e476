#include "fleet_model.h"

#include <stdarg.h>
#include <stdio.h>
#include <string.h>

#include "fleet_model_private.h"

#define START_MS 100000
#define FIRST_WORKERS 5
#define JOB_PERIOD_MS 700
/* Jobs that have not ended; more are not submitted. */
#define JOBS_OPEN_MAX 12
#define DISRUPTION_PERIOD_MS 500
/* Share of the disruptions that a seed uses. */
#define USED_PERCENT 60
/* Time before the first event of a task from which on events are shown. */
#define LOG_BEFORE_USEC (2 * GH_USEC_PER_SEC)
/* From here on they are shown in any case. */
#define LOG_LAST_USEC (4 * GH_USEC_PER_SEC)
#define QUICK_MIN_MS 20
#define QUICK_MAX_MS 300
#define ENTRY_GONE_MIN_MS 1500
#define ENTRY_GONE_MAX_MS 4500

/* Does one disruption; a target that does not fit is left as it is. */
typedef void (*disruption_work_t)(model_t *m, uint32_t slot, host_t *h,
				  gh_time_t until);

typedef struct disruption_kind {
	const char *name;
	bool off; /* by default */
	int64_t from_ms, to_ms;
	disruption_work_t run;
} disruption_kind_t;

/* A worker that starts later. */
typedef struct boot_event {
	char id[GH_WORKER_ID_MAX + 1];
	uint32_t slot;
} boot_event_t;

typedef struct entry_event {
	model_entry_t *entry;
	life_t *life;
} entry_event_t;

typedef struct host_event {
	host_t *host;
	uint32_t boot;
} host_event_t;

static void lose_replies(model_t *m, uint32_t slot, host_t *h, gh_time_t until);
static void slow(model_t *m, uint32_t slot, host_t *h, gh_time_t until);
static void be_late(model_t *m, uint32_t slot, host_t *h, gh_time_t until);
static void cut(model_t *m, uint32_t slot, host_t *h, gh_time_t until);
static void be_unhealthy(model_t *m, uint32_t slot, host_t *h, gh_time_t until);
static void crash(model_t *m, uint32_t slot, host_t *h, gh_time_t until);
static void restart(model_t *m, uint32_t slot, host_t *h, gh_time_t until);
static void move(model_t *m, uint32_t slot, host_t *h, gh_time_t until);
static void drain(model_t *m, uint32_t slot, host_t *h, gh_time_t until);
static void vanish(model_t *m, uint32_t slot, host_t *h, gh_time_t until);
static void make_unreadable(model_t *m, uint32_t slot, host_t *h,
			    gh_time_t until);
static void shrink(model_t *m, uint32_t slot, host_t *h, gh_time_t until);
static void lose_store_replies(model_t *m, uint32_t slot, host_t *h,
			       gh_time_t until);
static void late_store(model_t *m, uint32_t slot, host_t *h, gh_time_t until);
static void cut_store(model_t *m, uint32_t slot, host_t *h, gh_time_t until);
static void store_down(model_t *m, uint32_t slot, host_t *h, gh_time_t until);
static void delete_record(model_t *m, uint32_t slot, host_t *h,
			  gh_time_t until);
static void freeze(model_t *m, uint32_t slot, host_t *h, gh_time_t until);
static void kill_host(model_t *m, uint32_t slot, host_t *h, gh_time_t until);
static void release(model_t *m, uint32_t slot, host_t *h, gh_time_t until);
static void wrong_address(model_t *m, uint32_t slot, host_t *h,
			  gh_time_t until);
static void wrong_start(model_t *m, uint32_t slot, host_t *h, gh_time_t until);
static void empty_domain(model_t *m, uint32_t slot, host_t *h, gh_time_t until);

static const disruption_kind_t kinds[DISRUPTIONS] = {
	[DISRUPT_REPLIES] = { .name = "replies",
			      .from_ms = 500,
			      .to_ms = 4000,
			      .run = lose_replies },
	[DISRUPT_SLOW] = { .name = "slow",
			   .from_ms = 500,
			   .to_ms = 4000,
			   .run = slow },
	[DISRUPT_LATE] = { .name = "late",
			   .from_ms = 500,
			   .to_ms = 4000,
			   .run = be_late },
	[DISRUPT_CUT] = { .name = "cut",
			  .from_ms = 300,
			  .to_ms = 14000,
			  .run = cut },
	[DISRUPT_UNHEALTHY] = { .name = "unhealthy",
				.from_ms = 300,
				.to_ms = 2000,
				.run = be_unhealthy },
	[DISRUPT_CRASH] = { .name = "crash",
			    .from_ms = 100,
			    .to_ms = 3000,
			    .run = crash },
	[DISRUPT_RESTART] = { .name = "restart",
			      .from_ms = 50,
			      .to_ms = 3000,
			      .run = restart },
	[DISRUPT_MOVE] = { .name = "move",
			   .from_ms = 50,
			   .to_ms = 1500,
			   .run = move },
	[DISRUPT_DRAIN] = { .name = "drain",
			    .from_ms = 3000,
			    .to_ms = 9000,
			    .run = drain },
	[DISRUPT_VANISH] = { .name = "vanish",
			     .from_ms = 300,
			     .to_ms = 8000,
			     .run = vanish },
	[DISRUPT_UNREADABLE] = { .name = "unreadable",
				 .from_ms = 300,
				 .to_ms = 8000,
				 .run = make_unreadable },
	[DISRUPT_SHRINK] = { .name = "shrink",
			     .from_ms = 300,
			     .to_ms = 8000,
			     .run = shrink },
	[DISRUPT_STORE_REPLIES] = { .name = "store_replies",
				    .from_ms = 200,
				    .to_ms = 4000,
				    .run = lose_store_replies },
	[DISRUPT_STORE_LATE] = { .name = "store_late",
				 .from_ms = 200,
				 .to_ms = 4000,
				 .run = late_store },
	[DISRUPT_STORE_CUT] = { .name = "store_cut",
				.from_ms = 200,
				.to_ms = 6000,
				.run = cut_store },
	[DISRUPT_STORE_DOWN] = { .name = "store_down",
				 .from_ms = 200,
				 .to_ms = 6000,
				 .run = store_down },
	[DISRUPT_RECORD] = { .name = "record",
			     .off = true,
			     .from_ms = 0,
			     .to_ms = 1,
			     .run = delete_record },
	[DISRUPT_FREEZE] = { .name = "freeze",
			     .from_ms = 200,
			     .to_ms = 8000,
			     .run = freeze },
	[DISRUPT_KILL] = { .name = "kill",
			   .from_ms = 100,
			   .to_ms = 4000,
			   .run = kill_host },
	[DISRUPT_RELEASE] = { .name = "release",
			      .from_ms = 1000,
			      .to_ms = 5000,
			      .run = release },
	[DISRUPT_WRONG_ADDRESS] = { .name = "wrong_address",
				    .off = true,
				    .from_ms = 300,
				    .to_ms = 4000,
				    .run = wrong_address },
	[DISRUPT_WRONG_START] = { .name = "wrong_start",
				  .off = true,
				  .from_ms = 300,
				  .to_ms = 4000,
				  .run = wrong_start },
	[DISRUPT_LATE_NEXT_LIFE] = { .name = "late_next_life",
				     .off = true,
				     .from_ms = 500,
				     .to_ms = 4000,
				     .run = be_late },
	[DISRUPT_RECONNECT] = { .name = "reconnect",
				.off = true,
				.from_ms = 50,
				.to_ms = 1200,
				.run = restart },
	[DISRUPT_EMPTY] = { .name = "empty",
			    .off = true,
			    .from_ms = 300,
			    .to_ms = 14000,
			    .run = empty_domain },
};

static void run_events(model_t *m);
static void submit_job(model_t *m, void *data);
static model_job_t *make_job(model_t *m, uint32_t number);
static gh_pipeline_t *make_pipeline(model_t *m, uint32_t number);
static void add_step(model_t *m, gh_pipeline_t *pipeline, gh_step_t step);
static void cancel_job(model_t *m, void *data);
static void disrupt(model_t *m, void *data);
static void boot_worker(model_t *m, void *data);
static void remove_entry(model_t *m, void *data);
static void mend_entry(model_t *m, void *data);
static void on_drained(model_t *m, void *data);
static void restart_host(model_t *m, void *data);
static void new_worker_id(model_t *m, char *id, size_t size);
static void post_boot(model_t *m, const char *id, uint32_t slot, gh_time_t at);
static char *format_log(const model_t *m, const gh_task_id_t *task,
			const char *what);
static void start_workers_and_hosts(model_t *m);
static void clear_model(model_t *m);

const char *model_disruption_name(model_disruption_t disruption)
{
	return kinds[disruption].name;
}

void model_default_weights(uint32_t weights[DISRUPTIONS])
{
	int i;

	for (i = 0; i < DISRUPTIONS; i++)
		weights[i] = !kinds[i].off;
}

void model_run(const model_options_t *options, model_result_t *result)
{
	model_t *m = g_new0(model_t, 1);
	uint32_t i;

	*result = (model_result_t){ 0 };
	m->options = options;
	m->result = result;
	m->random_state = options->seed * 2 + 1;
	m->now = gh_time_from_ms(START_MS);
	m->end = m->now + gh_time_from_ms(options->duration_ms);
	m->quiet_at = options->quiet_ms ?
			      m->end - gh_time_from_ms(options->quiet_ms) :
			      GH_TIME_NEVER;
	m->last_start_ms = START_MS;
	m->events = g_array_new(FALSE, FALSE, sizeof(sim_event_t));
	m->arena = g_ptr_array_new_with_free_func(g_free);
	m->log = g_array_new(FALSE, FALSE, sizeof(log_line_t));
	m->lives = g_ptr_array_new();
	m->entries = g_ptr_array_new_with_free_func(g_free);
	m->jobs = g_ptr_array_new();
	m->store.leases = g_array_new(FALSE, TRUE, sizeof(store_lease_t));
	model_move_start(m);
	for (i = 0; i < 8; i++)
		model_random(m, 2);
	m->store.leases_pause = model_chance(m, 50);
	m->workers_check_capacity = model_chance(m, 50);
	m->late_before_old = model_chance(m, 50);
	for (i = 0; i < DISRUPTIONS; i++) {
		/* Added later: the other seeds keep their course. */
		if (i >= DISRUPT_RECONNECT && !options->weights[i])
			continue;
		if (model_chance(m, USED_PERCENT))
			m->weights[i] = options->weights[i];
	}
	start_workers_and_hosts(m);
	model_post(m, m->now, submit_job, NULL);
	model_post(m, m->now + model_random_ms(m, 1000, 2000), disrupt, NULL);
	m->job_period_ms = JOB_PERIOD_MS;
	if (options->quiet_ms)
		model_field_start(m);
	model_idle_start(m);
	run_events(m);
	clear_model(m);
}

static void start_workers_and_hosts(model_t *m)
{
	uint32_t i;

	for (i = 0; i < FIRST_WORKERS; i++) {
		char id[GH_WORKER_ID_MAX + 1];

		new_worker_id(m, id, sizeof(id));
		life_start(m, id, i);
	}
	for (i = 0; i < m->n_hosts; i++) {
		m->hosts[i].m = m;
		m->hosts[i].index = i;
		m->hosts[i].shard = i / MODEL_HOSTS;
		host_boot(&m->hosts[i]);
	}
}

static void clear_model(model_t *m)
{
	guint i, j;

	hosts_free(m);
	for (i = 0; i < m->lives->len; i++)
		life_free(m->lives->pdata[i]);
	for (i = 0; i < m->jobs->len; i++) {
		model_job_t *job = m->jobs->pdata[i];

		for (j = 0; j < job->n_tasks; j++)
			g_array_free(job->tasks[j].done, TRUE);
		for (j = 0; j < MODEL_SHARDS_MAX; j++)
			g_free(job->parts[j].messages);
		g_free(job->tasks);
		g_free(job->waits_since);
		g_free(job->text);
		gh_pipeline_free(job->pipeline);
		g_free(job);
	}
	g_ptr_array_free(m->lives, TRUE);
	g_ptr_array_free(m->jobs, TRUE);
	g_ptr_array_free(m->entries, TRUE);
	g_array_free(m->store.leases, TRUE);
	g_array_free(m->events, TRUE);
	g_array_free(m->log, TRUE);
	g_ptr_array_free(m->arena, TRUE);
	g_free(m);
}

/* Random numbers, memory and log. */

uint64_t model_random(model_t *m, uint64_t below)
{
	uint64_t x;

	/* splitmix64 */
	m->random_state += 0x9e3779b97f4a7c15ULL;
	x = m->random_state;
	x = (x ^ x >> 30) * 0xbf58476d1ce4e5b9ULL;
	x = (x ^ x >> 27) * 0x94d049bb133111ebULL;
	x ^= x >> 31;
	return below ? x % below : x;
}

bool model_chance(model_t *m, uint32_t percent)
{
	return model_random(m, 100) < percent;
}

gh_time_t model_random_ms(model_t *m, int64_t from_ms, int64_t to_ms)
{
	gh_time_t from = gh_time_from_ms(from_ms);
	gh_time_t to = gh_time_from_ms(to_ms);

	return from + (gh_time_t)model_random(m, (uint64_t)(to - from) + 1);
}

void *model_alloc(model_t *m, size_t size)
{
	void *memory = g_malloc0(MAX(size, 1));

	g_ptr_array_add(m->arena, memory);
	return memory;
}

const char *model_strdup(model_t *m, const char *text)
{
	char *copy = g_strdup(text);

	g_ptr_array_add(m->arena, copy);
	return copy;
}

void model_log(model_t *m, const gh_task_id_t *task, const char *fmt, ...)
{
	log_line_t line = { .at = m->now, .has_task = task != NULL };
	va_list args;
	char *text;

	if (task)
		line.task = *task;
	va_start(args, fmt);
	text = g_strdup_vprintf(fmt, args);
	va_end(args);
	g_ptr_array_add(m->arena, text);
	line.text = text;
	g_array_append_val(m->log, line);
}

void model_breach(model_t *m, model_rule_t rule, const gh_task_id_t *task,
		  const char *what)
{
	if (m->result->breach || !(m->options->rules & rule))
		return;
	model_log(m, task, "BREACH: %s", what);
	m->result->breach = format_log(m, task, what);
}

/* The events of the task, and those of workers and hosts around them. */
static char *format_log(const model_t *m, const gh_task_id_t *task,
			const char *what)
{
	GString *text = g_string_new(NULL);
	gh_time_t from = m->now - LOG_LAST_USEC;
	guint i;

	for (i = 0; i < m->log->len; i++) {
		const log_line_t *line = &g_array_index(m->log, log_line_t, i);

		if (line->has_task && model_same_task(&line->task, task))
			from = MIN(from, line->at - LOG_BEFORE_USEC);
	}

	g_string_append_printf(text, "seed %d, task %s.%u.%u.%u: %s\n",
			       (int)m->options->seed, task->job,
			       task->occurrence, task->step, task->index, what);
	for (i = 0; i < m->log->len; i++) {
		const log_line_t *line = &g_array_index(m->log, log_line_t, i);

		if (line->at < from ||
		    (line->has_task && !model_same_task(&line->task, task)))
			continue;
		g_string_append_printf(
			text, "%10.3f %s%s\n",
			(double)(line->at - gh_time_from_ms(START_MS)) /
				GH_USEC_PER_SEC,
			line->has_task ? "  " : "", line->text);
	}
	return g_string_free(text, FALSE);
}

/* Events, in a binary heap. */

static bool is_before(const sim_event_t *a, const sim_event_t *b)
{
	return a->at != b->at ? a->at < b->at : a->sequence < b->sequence;
}

void model_post(model_t *m, gh_time_t at, model_work_t run, void *data)
{
	sim_event_t event = {
		.at = at, .sequence = m->sequence++, .run = run, .data = data
	};
	guint i = m->events->len;

	g_array_append_val(m->events, event);
	while (i) {
		guint parent = (i - 1) / 2;
		sim_event_t *heap = (sim_event_t *)(void *)m->events->data;

		if (!is_before(&event, &heap[parent]))
			break;
		heap[i] = heap[parent];
		heap[parent] = event;
		i = parent;
	}
}

static sim_event_t pop_event(model_t *m)
{
	sim_event_t *heap = (sim_event_t *)(void *)m->events->data;
	guint n = m->events->len - 1;
	sim_event_t first = heap[0];
	sim_event_t last = heap[n];
	guint i = 0;

	g_array_set_size(m->events, n);
	while (2 * i + 1 < n) {
		guint child = 2 * i + 1;

		if (child + 1 < n && is_before(&heap[child + 1], &heap[child]))
			child++;
		if (!is_before(&heap[child], &last))
			break;
		heap[i] = heap[child];
		i = child;
	}
	if (n)
		heap[i] = last;
	return first;
}

static void run_events(model_t *m)
{
	while (m->events->len && !m->result->breach) {
		sim_event_t event = pop_event(m);

		if (event.at > m->end)
			break;
		m->now = MAX(m->now, event.at);
		event.run(m, event.data);
	}
}

/* Jobs. */

bool model_same_task(const gh_task_id_t *a, const gh_task_id_t *b)
{
	return a->step == b->step && a->index == b->index &&
	       a->occurrence == b->occurrence && !strcmp(a->job, b->job);
}

/* A job's id is its number, from 1 on. */
model_job_t *model_job_find(const model_t *m, const char *id)
{
	return m->jobs->pdata[g_ascii_strtoull(id, NULL, 16) - 1];
}

const gh_step_t *model_step(const model_t *m, const gh_task_id_t *task)
{
	return &model_job_find(m, task->job)->pipeline->steps[task->step];
}

uint32_t model_task_index(const model_job_t *job, const gh_task_id_t *task)
{
	uint32_t index = task->index;
	uint32_t i;

	for (i = 0; i < task->step; i++)
		index += job->pipeline->steps[i].tasks;
	return index;
}

static void submit_job(model_t *m, void *data)
{
	model_job_t *job;
	uint32_t open = 0;
	guint i;

	(void)data;
	model_post(m, m->now + model_random_ms(m, 1, 2 * m->job_period_ms),
		   submit_job, NULL);
	for (i = 0; i < m->jobs->len; i++)
		open += ((const model_job_t *)m->jobs->pdata[i])->exists;
	if (open >= JOBS_OPEN_MAX)
		return;
	job = make_job(m, m->jobs->len + 1);
	g_ptr_array_add(m->jobs, job);
	model_move_add_job(m, job);
	hosts_job_changed(m, job);
	if (job->pipeline->steps[0].long_running || model_chance(m, 5))
		model_post(m, m->now + model_random_ms(m, 2000, 40000),
			   cancel_job, job);
}

static model_job_t *make_job(model_t *m, uint32_t number)
{
	model_job_t *job = g_new0(model_job_t, 1);
	guint i;

	job->pipeline = m->options->quiet_ms ? model_field_pipeline(m, number) :
					       make_pipeline(m, number);
	if (m->options->quiet_ms)
		model_field_set_faults(m, job);
	if (m->options->queues)
		model_queue_name(number % m->options->queues,
				 job->pipeline->queue);
	job->text = gh_pipeline_format(job->pipeline);
	job->n_tasks = gh_pipeline_task_count(job->pipeline);
	job->tasks = g_new0(model_task_t, job->n_tasks);
	job->waits_since = g_new0(gh_time_t, job->n_tasks);
	for (i = 0; i < job->n_tasks; i++)
		job->tasks[i].done =
			g_array_new(FALSE, TRUE, sizeof(done_end_t));
	job->exists = true;
	return job;
}

void model_queue_name(uint32_t priority, char name[GH_QUEUE_MAX + 1])
{
	g_snprintf(name, GH_QUEUE_MAX + 1, "q%u", priority);
}

static gh_pipeline_t *make_pipeline(model_t *m, uint32_t number)
{
	gh_pipeline_t *pipeline = g_new0(gh_pipeline_t, 1);
	gh_step_t step = {
		.tasks = 1 + (uint32_t)model_random(m, 3),
		.size = { .cores_milli =
				  500 * (1 + (uint32_t)model_random(m, 3)) },
		.estimate_ms = 100 + (int64_t)model_random(m, 3000),
	};
	uint64_t kind = model_random(m, 10);

	g_snprintf(pipeline->id, sizeof(pipeline->id), "%016x", number);
	g_strlcpy(pipeline->queue, "q", sizeof(pipeline->queue));
	g_strlcpy(pipeline->service, "svc", sizeof(pipeline->service));
	pipeline->payload = g_strdup("payload");
	pipeline->accepted_ms = gh_time_to_ms(m->now);
	step.long_running = kind < 2;
	step.gang = kind == 2;
	step.best_effort = kind == 3;
	step.speculative = kind == 4;
	add_step(m, pipeline, step);
	if (kind >= 7) {
		step.depends_on = 1;
		add_step(m, pipeline, step);
	}
	if (kind >= 9) {
		step.depends_on = 2;
		step.gang = true;
		add_step(m, pipeline, step);
	}
	return pipeline;
}

static void add_step(model_t *m, gh_pipeline_t *pipeline, gh_step_t step)
{
	(void)m;
	pipeline->steps =
		g_renew(gh_step_t, pipeline->steps, pipeline->n_steps + 1);
	pipeline->steps[pipeline->n_steps++] = step;
}

static void cancel_job(model_t *m, void *data)
{
	model_job_t *job = data;

	if (!job->exists)
		return;
	job->cancelled = true;
	model_move_set_state(m, job, GH_JOB_CANCELLED, ++m->store.revision);
	hosts_job_changed(m, job);
}

/* Disruptions. */

static void disrupt(model_t *m, void *data)
{
	uint32_t total = 0;
	uint32_t slot = (uint32_t)model_random(m, MODEL_SLOTS);
	host_t *h = &m->hosts[model_random(m, m->n_hosts)];
	uint32_t owner = m->store.chains[h->shard].owner;
	uint64_t pick;
	int i;

	(void)data;
	model_post(m, m->now + model_random_ms(m, 1, 2 * DISRUPTION_PERIOD_MS),
		   disrupt, NULL);
	for (i = 0; i < DISRUPTIONS; i++)
		total += m->weights[i];
	if (!total || m->disruptions_over)
		return;
	/* Half of them hit the owner. */
	if (owner != MODEL_NONE && model_chance(m, 50))
		h = &m->hosts[owner];
	pick = model_random(m, total);
	for (i = 0; pick >= m->weights[i]; i++)
		pick -= m->weights[i];
	model_disrupt(m, (model_disruption_t)i, slot, h);
	model_move_disrupt_both(m, (model_disruption_t)i, h);
}

void model_disrupt(model_t *m, model_disruption_t kind, uint32_t slot,
		   host_t *h)
{
	const disruption_kind_t *k = &kinds[kind];
	gh_time_t until;

	model_log(m, NULL, "disruption %s, address %u, host %u", k->name, slot,
		  h->index);
	until = m->now + model_random_ms(m, k->from_ms, k->to_ms);
	k->run(m, slot, h, MIN(until, m->quiet_at));
}

static void empty_domain(model_t *m, uint32_t slot, host_t *h, gh_time_t until)
{
	(void)h;
	model_domain_empty(m, slot, until);
}

static void lose_replies(model_t *m, uint32_t slot, host_t *h, gh_time_t until)
{
	(void)h;
	m->links[slot].loses_replies_until = until;
}

static void slow(model_t *m, uint32_t slot, host_t *h, gh_time_t until)
{
	(void)h;
	m->links[slot].slow_until = until;
}

static void be_late(model_t *m, uint32_t slot, host_t *h, gh_time_t until)
{
	(void)h;
	m->links[slot].late_until = until;
}

/* Cuts one worker, or all of them half of the times, from the host. */
static void cut(model_t *m, uint32_t slot, host_t *h, gh_time_t until)
{
	bool all = model_chance(m, 15);
	bool requests = model_chance(m, 70);
	bool replies = !requests || model_chance(m, 70);
	uint32_t i;

	for (i = 0; i < MODEL_SLOTS; i++) {
		if (i != slot && !all)
			continue;
		if (requests)
			m->links[i].request_cut_until[h->index] = until;
		if (replies)
			m->links[i].reply_cut_until[h->index] = until;
	}
}

static void be_unhealthy(model_t *m, uint32_t slot, host_t *h, gh_time_t until)
{
	(void)h;
	m->links[slot].unhealthy_until = until;
}

static void crash(model_t *m, uint32_t slot, host_t *h, gh_time_t until)
{
	(void)h;
	if (m->slots[slot])
		model_crash(m, m->slots[slot], until);
}

void model_crash(model_t *m, life_t *life, gh_time_t followed_at)
{
	char id[GH_WORKER_ID_MAX + 1];
	entry_event_t *event;

	life_crash(m, life);
	new_worker_id(m, id, sizeof(id));
	post_boot(m, id, life->slot, followed_at);
	event = model_alloc(m, sizeof(*event));
	event->entry = entry_find(m, life->id);
	event->life = life;
	model_post(m,
		   m->now + model_random_ms(m, ENTRY_GONE_MIN_MS,
					    ENTRY_GONE_MAX_MS),
		   remove_entry, event);
}

static void restart(model_t *m, uint32_t slot, host_t *h, gh_time_t until)
{
	life_t *life = m->slots[slot];

	(void)h;
	if (!life)
		return;
	/* Half of them are back before the owner calls again. */
	if (model_chance(m, 50))
		until = m->now + model_random_ms(m, QUICK_MIN_MS, QUICK_MAX_MS);
	life_crash(m, life);
	post_boot(m, life->id, slot, until);
}

static void move(model_t *m, uint32_t slot, host_t *h, gh_time_t until)
{
	life_t *life = m->slots[slot];
	char id[GH_WORKER_ID_MAX + 1];
	uint32_t i;

	(void)h;
	for (i = 0; i < MODEL_SLOTS && m->slots[i]; i++)
		;
	if (!life || i == MODEL_SLOTS)
		return;
	life_crash(m, life);
	post_boot(m, life->id, i, until);
	new_worker_id(m, id, sizeof(id));
	post_boot(m, id, slot, m->now + model_random_ms(m, 50, 1500));
}

static void drain(model_t *m, uint32_t slot, host_t *h, gh_time_t until)
{
	life_t *life = m->slots[slot];

	(void)h;
	if (!life || life->draining)
		return;
	life->draining = true;
	life_register(m, life);
	model_post(m, until, on_drained, life);
}

static void on_drained(model_t *m, void *data)
{
	life_t *life = data;
	model_entry_t *entry = entry_find(m, life->id);

	if (!life->up)
		return;
	crash(m, life->slot, NULL, m->now + model_random_ms(m, 100, 3000));
	if (!entry->exists)
		return;
	entry->exists = false;
	entry_changed(m, entry);
}

static void post_entry(model_t *m, model_entry_t *entry, model_work_t work,
		       gh_time_t at)
{
	entry_event_t *event = model_alloc(m, sizeof(*event));

	event->entry = entry;
	event->life = NULL;
	model_post(m, at, work, event);
}

static model_entry_t *listed_entry(const model_t *m, uint32_t slot)
{
	model_entry_t *entry =
		m->slots[slot] ? entry_find(m, m->slots[slot]->id) : NULL;

	return entry && entry->exists ? entry : NULL;
}

static void vanish(model_t *m, uint32_t slot, host_t *h, gh_time_t until)
{
	model_entry_t *entry = listed_entry(m, slot);

	(void)h;
	if (!entry)
		return;
	entry->exists = false;
	entry_changed(m, entry);
	post_entry(m, entry, mend_entry, until);
}

static void make_unreadable(model_t *m, uint32_t slot, host_t *h,
			    gh_time_t until)
{
	model_entry_t *entry = listed_entry(m, slot);

	(void)h;
	if (!entry)
		return;
	entry->unreadable = true;
	entry_changed(m, entry);
	post_entry(m, entry, mend_entry, until);
}

static void shrink(model_t *m, uint32_t slot, host_t *h, gh_time_t until)
{
	life_t *life = m->slots[slot];

	(void)h;
	if (!life || !listed_entry(m, slot))
		return;
	m->capacity_changed = true;
	life->capacity_milli =
		500 * (uint32_t)model_random(m, MODEL_CAPACITY_MILLI / 500);
	life_register(m, life);
	life->capacity_milli = MODEL_CAPACITY_MILLI;
	post_entry(m, listed_entry(m, slot), mend_entry, until);
}

static void wrong_address(model_t *m, uint32_t slot, host_t *h, gh_time_t until)
{
	model_entry_t *entry = listed_entry(m, slot);

	(void)h;
	if (!entry)
		return;
	g_snprintf(entry->value.address, sizeof(entry->value.address),
		   "127.0.0.1:%u", 1 + (uint32_t)model_random(m, MODEL_SLOTS));
	entry_changed(m, entry);
	post_entry(m, entry, mend_entry, until);
}

static void wrong_start(model_t *m, uint32_t slot, host_t *h, gh_time_t until)
{
	model_entry_t *entry = listed_entry(m, slot);

	(void)h;
	if (!entry)
		return;
	entry->value.incarnation_start_ms += 1 - 2 * (int)model_chance(m, 50);
	entry_changed(m, entry);
	post_entry(m, entry, mend_entry, until);
}

/* The worker writes its entry again, if it is up. */
static void mend_entry(model_t *m, void *data)
{
	const entry_event_t *event = data;
	uint32_t i;

	for (i = 0; i < MODEL_SLOTS; i++)
		if (m->slots[i] && !strcmp(m->slots[i]->id, event->entry->id))
			life_register(m, m->slots[i]);
}

/* The entry of a worker that has crashed is gone. */
static void remove_entry(model_t *m, void *data)
{
	const entry_event_t *event = data;
	model_entry_t *entry = event->entry;

	if (!entry || !entry->exists)
		return;
	entry->exists = false;
	entry_changed(m, entry);
}

static void new_worker_id(model_t *m, char *id, size_t size)
{
	g_snprintf(id, size, "w%u", ++m->last_worker);
}

static void post_boot(model_t *m, const char *id, uint32_t slot, gh_time_t at)
{
	boot_event_t *event = model_alloc(m, sizeof(*event));

	g_strlcpy(event->id, id, sizeof(event->id));
	event->slot = slot;
	model_post(m, at, boot_worker, event);
}

static void boot_worker(model_t *m, void *data)
{
	const boot_event_t *event = data;

	if (!m->slots[event->slot])
		life_start(m, event->id, event->slot);
}

static void lose_store_replies(model_t *m, uint32_t slot, host_t *h,
			       gh_time_t until)
{
	(void)slot;
	(void)h;
	m->store.loses_replies_until = until;
}

static void late_store(model_t *m, uint32_t slot, host_t *h, gh_time_t until)
{
	(void)slot;
	(void)h;
	m->store.late_until = until;
}

static void cut_store(model_t *m, uint32_t slot, host_t *h, gh_time_t until)
{
	(void)slot;
	h->store_refuses = model_chance(m, 50);
	h->store_cut_until = until;
}

static void store_down(model_t *m, uint32_t slot, host_t *h, gh_time_t until)
{
	(void)slot;
	(void)h;
	store_go_down(m, until);
	if (m->options->quiet_ms)
		model_field_store_down(m, until);
}

static void delete_record(model_t *m, uint32_t slot, host_t *h, gh_time_t until)
{
	(void)slot;
	(void)until;
	store_delete_record(m, h->shard);
}

static void freeze(model_t *m, uint32_t slot, host_t *h, gh_time_t until)
{
	(void)m;
	(void)slot;
	h->frozen_until = until;
}

static void post_host(host_t *h, gh_time_t at)
{
	host_event_t *event = model_alloc(h->m, sizeof(*event));

	*event = (host_event_t){ .host = h, .boot = h->boot };
	model_post(h->m, at, restart_host, event);
}

static void kill_host(model_t *m, uint32_t slot, host_t *h, gh_time_t until)
{
	(void)m;
	(void)slot;
	if (!h->up)
		return;
	host_kill(h);
	post_host(h, until);
}

static void release(model_t *m, uint32_t slot, host_t *h, gh_time_t until)
{
	(void)m;
	(void)slot;
	if (!h->up || h->draining)
		return;
	host_release(h);
	post_host(h, until);
}

/* A host that releases its shard may be killed before it has done so. */
static void restart_host(model_t *m, void *data)
{
	const host_event_t *event = data;
	host_t *h = event->host;

	(void)m;
	if (h->boot != event->boot)
		return;
	host_kill(h);
	host_boot(h);
}
