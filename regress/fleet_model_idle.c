/*
 * RULE_IDLE of the fleet model: once disruptions have been over for a while, no
 * task whose turn has come may wait beside workers that have capacity for it.
 */
#include <limits.h>
#include <string.h>

#include "core_fleet_parts.h"
#include "fleet_model_private.h"

#define SAMPLE_MS 100
/* Max time that a job has nothing running, or a long-running task no run. */
#define WAIT_MAX_MS 3000
/* A long-running task may wait for this long after its last run as well. */
#define LONG_RUNNING_WAIT_MS 6000
/*
 * Disruptions may delay work for this long: the longest wait of the product, 15
 * s for a late call, and WAIT_MAX_MS.
 */
#define RECOVERY_MS (15000 + WAIT_MAX_MS)
/* A worker that a task has crashed holds its runs until its lease has ended. */
#define CRASH_RECOVERY_MS 5000
/* Capacity has to suffice for this many tasks, or for as many gangs. */
#define ROOM_TIMES 2
/* The service counts as busy from this share of its capacity on. */
#define BUSY_DIVISOR 2

static void sample(model_t *m, void *data);
static void note_runs(model_t *m);
static bool is_busy(const model_t *m, uint32_t shard);
static bool is_usable(const model_t *m, const life_t *life);
static void check_job(model_t *m, unsigned shards, model_job_t *job);
static void check_task(model_t *m, model_job_t *job, const gh_task_id_t *id,
		       bool waits);
static bool step_is_ready(const model_t *m, const host_t *owner,
			  const model_job_t *job, uint32_t step);
static bool step_is_done(const model_t *m, const host_t *owner,
			 const model_job_t *job, uint32_t step);
static bool task_is_done(const host_t *owner, const model_job_t *job,
			 const gh_task_id_t *id);
static bool has_room(const model_t *m, const gh_task_id_t *id, uint32_t shard);
static uint32_t count_fitting(const model_t *m, const life_t *life,
			      const gh_task_id_t *id);
static gh_task_id_t task_id(const model_job_t *job, uint32_t step,
			    uint32_t index);
static bool has_room_anywhere(const model_t *m, const gh_task_id_t *id,
			      unsigned shards);
static unsigned shards_of(const model_t *m, const gh_task_id_t *id);
static void log_owner_view(model_t *m, const gh_task_id_t *id, uint32_t shard);
static void log_load(model_t *m, const host_t *owner, const gh_task_id_t *id);
static void log_runs(model_t *m, const gh_fleet_t *fleet,
		     const fleet_job_t *job, const gh_task_id_t *id);
static void log_workers(model_t *m, const gh_fleet_t *fleet,
			const gh_task_id_t *id);

void model_idle_start(model_t *m)
{
	if (m->options->quiet_ms && m->options->rules & (RULE_IDLE | RULE_OVER))
		model_post(m, m->quiet_at, sample, NULL);
}

static void sample(model_t *m, void *data)
{
	gh_time_t from =
		MAX(m->quiet_at + gh_time_from_ms(MODEL_DARK_MS + RECOVERY_MS),
		    m->crashed_at + gh_time_from_ms(CRASH_RECOVERY_MS));
	unsigned shards = 0; /* bits of those that are judged */
	guint i;

	(void)data;
	if (m->now >= from)
		model_check_over(m);
	for (i = 0; m->now >= from && i < m->n_shards; i++)
		shards |= is_busy(m, i) ? 0 : 1u << i;
	model_post(m, m->now + gh_time_from_ms(SAMPLE_MS), sample, NULL);
	note_runs(m);
	m->result->idle_samples += shards != 0;
	for (i = 0; i < m->jobs->len && !m->result->breach; i++) {
		model_job_t *job = m->jobs->pdata[i];

		if (shards && job->exists && !job->cancelled) {
			check_job(m, shards, job);
			continue;
		}
		if (job->exists)
			memset(job->waits_since, 0,
			       job->n_tasks * sizeof(*job->waits_since));
	}
}

/* Notes which jobs and tasks have a run now. */
static void note_runs(model_t *m)
{
	uint32_t i;
	guint r;

	for (i = 0; i < MODEL_SLOTS; i++)
		for (r = 0; m->slots[i] && r < m->slots[i]->runs->len; r++) {
			model_idle_note_run(m, &g_array_index(m->slots[i]->runs,
							      live_run_t, r)
							.task);
		}
}

void model_idle_note_run(model_t *m, const gh_task_id_t *id)
{
	model_job_t *job = model_job_find(m, id->job);

	job->ran_at = m->now;
	job->tasks[model_task_index(job, id)].ran_at = m->now;
}

static bool is_busy(const model_t *m, uint32_t shard)
{
	gh_capacity_t total = { 0 };
	gh_capacity_t used = { 0 };
	uint32_t i;

	for (i = 0; i < MODEL_SLOTS; i++) {
		const life_t *life = m->slots[i];
		gh_resources_t size;

		if (!life || life->shard != shard || !is_usable(m, life))
			continue;
		size = (gh_resources_t){ .cores_milli = life->capacity_milli,
					 .memory_mb = life->memory_mb };
		gh_capacity_add(&total, &size, 1);
		size = model_used(m, life);
		gh_capacity_add(&used, &size, 1);
	}
	return BUSY_DIVISOR * used.cores_milli >= total.cores_milli ||
	       BUSY_DIVISOR * used.memory_mb >= total.memory_mb;
}

static bool is_usable(const model_t *m, const life_t *life)
{
	const model_entry_t *entry = entry_find(m, life->id);

	return entry && entry->exists && !entry->unreadable &&
	       !life->draining && !model_domain_is_emptied(m, life) &&
	       entry->value.incarnation_start_ms == life->start_ms;
}

static void check_job(model_t *m, unsigned shards, model_job_t *job)
{
	const host_t *owner = model_owner(m, job->home);
	uint32_t s, i;

	for (s = 0; s < job->pipeline->n_steps; s++) {
		const gh_step_t *step = &job->pipeline->steps[s];
		bool ready = step_is_ready(m, owner, job, s);

		for (i = 0; i < step->tasks; i++) {
			gh_task_id_t id = task_id(job, s, i);
			const model_task_t *task =
				&job->tasks[model_task_index(job, &id)];
			bool waits =
				step->long_running ?
					!task->ran_at ||
						m->now - task->ran_at >=
							gh_time_from_ms(
								LONG_RUNNING_WAIT_MS) :
					job->ran_at != m->now;

			check_task(m, job, &id,
				   waits && ready &&
					   !task_is_done(owner, job, &id) &&
					   has_room_anywhere(m, &id, shards));
		}
	}
}

static void check_task(model_t *m, model_job_t *job, const gh_task_id_t *id,
		       bool waits)
{
	gh_time_t *since = &job->waits_since[model_task_index(job, id)];
	int64_t ms;
	uint32_t i;

	if (!waits) {
		*since = 0;
		return;
	}
	/* A run may begin and end between two samples. */
	if (!*since ||
	    *since < (model_step(m, id)->long_running ?
			      job->tasks[model_task_index(job, id)].ran_at :
			      job->ran_at))
		*since = m->now;
	ms = gh_time_to_ms(m->now - *since);
	m->result->longest_idle_ms = MAX(m->result->longest_idle_ms, ms);
	if (ms <= WAIT_MAX_MS || m->result->breach)
		return;
	for (i = 0; i < m->n_shards; i++)
		log_owner_view(m, id, i);
	model_breach(m, RULE_IDLE, id,
		     "its turn has come and it has no run, beside workers with "
		     "capacity for it");
}

static bool step_is_ready(const model_t *m, const host_t *owner,
			  const model_job_t *job, uint32_t step)
{
	uint32_t before = job->pipeline->steps[step].depends_on;
	uint32_t i;

	for (i = 0; i < step; i++)
		if (before & 1u << i && !step_is_done(m, owner, job, i))
			return false;
	return true;
}

static bool step_is_done(const model_t *m, const host_t *owner,
			 const model_job_t *job, uint32_t step)
{
	uint32_t i;

	(void)m;
	for (i = 0; i < job->pipeline->steps[step].tasks; i++) {
		gh_task_id_t id = task_id(job, step, i);

		if (!task_is_done(owner, job, &id))
			return false;
	}
	return true;
}

/*
 * An end as done that nobody has taken note of counts while its worker can
 * still report it.
 */
static bool task_is_done(const host_t *owner, const model_job_t *job,
			 const gh_task_id_t *id)
{
	const GArray *done = job->tasks[model_task_index(job, id)].done;
	uint32_t handle =
		owner ? fleet_job_find(owner->fleet, id->job) : GH_NONE;
	guint i;

	for (i = 0; i < done->len; i++) {
		const done_end_t *end = &g_array_index(done, done_end_t, i);

		if (end->noted ||
		    (end->life->up && end->life->lapsed_at <= end->at))
			return true;
	}
	if (handle == GH_NONE)
		return false;
	return fleet_task(fleet_job(owner->fleet, handle),
			  model_task_index(job, id))
		->done;
}

static bool has_room(const model_t *m, const gh_task_id_t *id, uint32_t shard)
{
	const gh_step_t *step = model_step(m, id);
	uint32_t needed = ROOM_TIMES * (step->gang ? step->tasks : 1);
	uint32_t n = 0;
	uint32_t i;

	for (i = 0; i < MODEL_SLOTS; i++)
		if (m->slots[i] && m->slots[i]->shard == shard &&
		    is_usable(m, m->slots[i]))
			n += count_fitting(m, m->slots[i], id);
	return n >= needed;
}

/* Bits of the shards where the task may run. */
static unsigned shards_of(const model_t *m, const gh_task_id_t *id)
{
	uint32_t i;

	/* Tasks with a label stay: a shard's load doesn't tell of labels. */
	if (!model_step(m, id)->long_running || *model_step(m, id)->label)
		return 1u << model_job_find(m, id->job)->home;

	for (i = 0; i < m->n_shards; i++) {
		const host_t *owner = model_owner(m, i);
		uint32_t handle =
			owner ? fleet_job_find(owner->fleet, id->job) : GH_NONE;
		const fleet_job_t *job;
		const fleet_task_t *task;

		if (handle == GH_NONE)
			continue;
		job = fleet_job(owner->fleet, handle);
		task = fleet_task(job, fleet_task_find(job, id));
		if (!fleet_crash_has_any(task))
			continue;
		/* A guest's task that was given up is held back. */
		if (job->guest && task->not_before > m->now)
			return 0;
		return 1u << i; /* it stays where crashes are counted */
	}
	return UINT_MAX;
}

/* Whether one of the shards where the task may run has capacity for it. */
static bool has_room_anywhere(const model_t *m, const gh_task_id_t *id,
			      unsigned shards)
{
	uint32_t i;

	shards &= shards_of(m, id);
	for (i = 0; i < m->n_shards; i++)
		if (shards & 1u << i && has_room(m, id, i))
			return true;
	return false;
}

static uint32_t count_fitting(const model_t *m, const life_t *life,
			      const gh_task_id_t *id)
{
	const gh_step_t *step = model_step(m, id);
	gh_resources_t used = model_used(m, life);
	uint32_t n = UINT32_MAX;
	uint32_t n_here = 0;
	guint r;

	if (*step->label && strcmp(step->label, life->kind) != 0)
		return 0;
	if (!step->best_effort)
		n = life->capacity_milli < used.cores_milli ?
			    0 :
			    (life->capacity_milli - used.cores_milli) /
				    step->size.cores_milli;
	if (step->size.memory_mb)
		n = MIN(n, life->memory_mb < used.memory_mb ?
				   0 :
				   (life->memory_mb - used.memory_mb) /
					   step->size.memory_mb);
	for (r = 0; r < life->runs->len; r++) {
		const gh_task_id_t *other =
			&g_array_index(life->runs, live_run_t, r).task;

		n_here +=
			other->step == id->step && !strcmp(other->job, id->job);
	}
	if (step->max_per_worker)
		n = MIN(n, n_here < step->max_per_worker ?
				   step->max_per_worker - n_here :
				   0);
	return MIN(n, ROOM_TIMES * step->tasks);
}

static gh_task_id_t task_id(const model_job_t *job, uint32_t step,
			    uint32_t index)
{
	gh_task_id_t id = { .step = step, .index = index };

	g_strlcpy(id.job, job->pipeline->id, sizeof(id.job));
	return id;
}

const host_t *model_owner(const model_t *m, uint32_t shard)
{
	uint32_t index = m->store.chains[shard].owner;
	const host_t *owner = index == MODEL_NONE ? NULL : &m->hosts[index];

	return owner && owner->fleet && owner->phase >= HOST_OWNING ? owner :
								      NULL;
}

/* Logs what the owner knows of the task, of its runs and of the workers. */
static void log_owner_view(model_t *m, const gh_task_id_t *id, uint32_t shard)
{
	const host_t *owner = model_owner(m, shard);
	const fleet_task_t *task;
	const fleet_stage_t *stage;
	const fleet_job_t *job;
	uint32_t handle;

	if (!owner) {
		model_log(m, id, "no host owns shard %u", shard);
		return;
	}
	handle = fleet_job_find(owner->fleet, id->job);
	if (handle == GH_NONE) {
		model_log(m, id, "host %u does not know the job", owner->index);
		log_load(m, owner, id);
		log_workers(m, owner->fleet, id);
		return;
	}
	job = fleet_job(owner->fleet, handle);
	task = fleet_task(job, fleet_task_find(job, id));
	stage = fleet_stage(job, id->step);
	model_log(m, id,
		  "host %u: job %s%s, %u open runs, step %u done, %u open; "
		  "task%s, %u failures, %u crashes, %u at start, %u lost "
		  "starts, waits for %d ms, for late starts %d ms, %u late "
		  "stops, for its own worker since %d ms",
		  owner->index, gh_job_phase_name(job->phase),
		  job->held ? ", held" : "", job->open_runs, stage->tasks_done,
		  stage->tasks_open, task->done ? " done" : "", task->failures,
		  task->crashes, task->start_crashes, task->lost_starts,
		  (int)gh_time_to_ms(task->not_before - m->now),
		  (int)gh_time_to_ms(task->late_until - m->now),
		  task->n_late_stops,
		  task->care_since ?
			  (int)gh_time_to_ms(m->now - task->care_since) :
			  0);
	log_load(m, owner, id);
	log_runs(m, owner->fleet, job, id);
	log_workers(m, owner->fleet, id);
}

/* The rooms that the owner tells, and the long-running tasks that wait. */
static void log_load(model_t *m, const host_t *owner, const gh_task_id_t *id)
{
	const gh_fleet_t *fleet = owner->fleet;
	gh_shard_load_t load = { 0 };
	uint32_t i, s;

	if (m->n_shards == 1)
		return;
	gh_fleet_load(fleet, &load, m->now);
	for (i = 0; i < load.n_rooms; i++)
		model_log(m, id, "host %u: a room of %d milli-cores and %d MB",
			  owner->index, (int)load.rooms[i].free.cores_milli,
			  (int)load.rooms[i].free.memory_mb);
	for (i = 0; i < fleet->jobs->len; i++) {
		const fleet_job_t *job = fleet_job(fleet, i);

		for (s = 0; job->spec && s < job->n_stages; s++) {
			const gh_step_t *step = &job->spec->steps[s];

			if (!step->long_running ||
			    !fleet_stage(job, s)->waiting_since)
				continue;
			model_log(m, id,
				  "host %u: %s.%u of %u milli-cores and %u MB "
				  "waits for %d ms, %u open, %u tasks",
				  owner->index, job->spec->id, s,
				  step->size.cores_milli, step->size.memory_mb,
				  (int)gh_time_to_ms(
					  m->now -
					  fleet_stage(job, s)->waiting_since),
				  fleet_stage(job, s)->tasks_open, step->tasks);
		}
	}
}

static void log_runs(model_t *m, const gh_fleet_t *fleet,
		     const fleet_job_t *job, const gh_task_id_t *id)
{
	static const char *const states[] = {
		[RUN_FREE] = "free",	     [RUN_PLANNED] = "planned",
		[RUN_STARTING] = "starting", [RUN_RUNNING] = "running",
		[RUN_STOPPING] = "stopping", [RUN_ORPHAN] = "orphan",
		[RUN_HELD] = "held",
	};
	guint i;

	for (i = 0; i < fleet->runs->len; i++) {
		const fleet_run_t *run = fleet_run(fleet, i);
		gh_task_id_t other;

		if (run->state == RUN_FREE || fleet_job(fleet, run->job) != job)
			continue;
		other = fleet_task_id(job, run->task);
		model_log(m, id,
			  "task %u.%u, run %u: %s at %s, replied to %d ms ago, "
			  "resent in %d ms%s%s, %u stops in flight",
			  other.step, other.index, run->run_number,
			  states[run->state],
			  fleet_worker(fleet, run->worker)->entry.id,
			  run->replied_at ?
				  (int)gh_time_to_ms(m->now - run->replied_at) :
				  -1,
			  run->retry_at == GH_TIME_NEVER ?
				  -1 :
				  (int)gh_time_to_ms(run->retry_at - m->now),
			  run->start_in_flight ? ", start in flight" : "",
			  run->start_unanswered ? ", start unanswered" : "",
			  run->stops_in_flight);
	}
}

static void log_workers(model_t *m, const gh_fleet_t *fleet,
			const gh_task_id_t *id)
{
	guint i;

	for (i = 0; i < fleet->workers->len; i++) {
		const fleet_worker_t *w = fleet_worker(fleet, i);

		if (!w->in_use)
			continue;
		model_log(m, id,
			  "worker %s%s%s%s%s%s: %u runs, %u milli-cores and %u "
			  "MB reserved of %u and %u, late starts for %d ms, "
			  "full for %d ms, quarantined for %d ms (%u), kept "
			  "for %d ms, lease for %d ms%s%s",
			  w->entry.id, w->listed ? "" : ", unlisted",
			  w->entry.draining ? ", draining" : "",
			  w->has_reported ? "" : ", without report",
			  w->unreachable_since ? ", unreachable" : "",
			  w->has_unknown_run ? ", unknown run" : "", w->n_runs,
			  w->reserved.cores_milli, w->reserved.memory_mb,
			  w->entry.size.cores_milli, w->entry.size.memory_mb,
			  (int)gh_time_to_ms(w->late_until - m->now),
			  (int)gh_time_to_ms(w->full_until - m->now),
			  (int)gh_time_to_ms(w->quarantined_until - m->now),
			  w->quarantines_in_row,
			  (int)gh_time_to_ms(w->kept_until - m->now),
			  (int)gh_time_to_ms(w->latest_lease_end - m->now),
			  fleet_unheard_may_grant(fleet, w) ? "" : ", no grant",
			  w->suspect_run == GH_NONE ? "" : ", suspect run");
	}
}
