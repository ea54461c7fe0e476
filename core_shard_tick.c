/*
 * Periodic work of a shard's owner: ends backoffs, drains workers that leave,
 * places pending tasks by department share, and preempts batch tasks for jobs
 * that are entitled to more capacity than is free.  The numbers of jobs and
 * workers scanned to start one task are bounded, whatever the length of the
 * queues and the size of the shard.
 */
#include "core_shard_state.h"

#include <string.h>

#define TOKENS_PER_EVICTION 1000000
#define SECONDS_PER_MINUTE 60
#define STARTS_PER_TICK_MAX 64
/* max jobs scanned per queue to start one task */
#define JOBS_SCANNED_MAX 16
/* max workers scanned to reclaim capacity for one task */
#define RECLAIM_WORKERS_SCANNED_MAX 48
#define VICTIMS_MAX 32 /* max tasks evicted to start one task */
#define DRAIN_STOPS_PER_TICK_MAX 8
/*
 * number of counters of a job's tasks per rack; a rack uses the counter at its
 * index modulo this
 */
#define RACK_COUNTERS 64
/*
 * for the placement cost: max tasks scanned of the job to place, and max tasks
 * scanned on each worker
 */
#define COST_TASKS_SCANNED_MAX 64
/* placement cost of a worker per task of the same job in its rack */
#define SAME_RACK_COST_MILLI 2000
/* max finished jobs kept per shard, for clients to query */
#define FINISHED_JOBS_KEPT 2000
#define BACKOFF_DOUBLINGS_MAX 16
#define DEPARTMENTS_MAX 256
/*
 * A batch task that has run for less than this may be evicted for urgent jobs
 * only.
 */
#define EVICTION_MIN_RUN_USEC (10 * GH_USEC_PER_SEC)

/* Context of placement_cost(): the job whose task is to be placed. */
typedef struct cost_context {
	gh_shard_t *shard;
	const gh_job_t *job;
	/* the job's open attempts, by rack */
	uint32_t rack_tasks[RACK_COUNTERS];
} cost_context_t;

/*
 * Tasks of one worker that are to be evicted so that a job's task can start
 * there.
 */
typedef struct victims {
	gh_task_ref_t tasks[VICTIMS_MAX];
	size_t n;
	/*
	 * upper bound of the work lost by evicting the tasks: sum of their run
	 * times
	 */
	gh_time_t lost_work;
	gh_resources_t freed;
	gh_handle_t worker;
} victims_t;

/*
 * Reclaiming of capacity for one task of a job.  The flags compare the quota of
 * the job's department with its usage plus the sizes of this task and of the
 * tasks that the department has reservations for.
 */
typedef struct reclaim {
	const gh_job_t *job;
	gh_resources_t size;
	gh_time_t now;
	/* the department's usage is within its guarantee */
	bool entitled;
	/*
	 * the department's usage is over its limit, so only its own tasks may
	 * be evicted
	 */
	bool own_department_only;
} reclaim_t;

static void refill_eviction_tokens(gh_shard_t *shard, gh_time_t now);
static void end_backoffs(gh_shard_t *shard, gh_time_t now);
static void back_off_or_give_up(gh_shard_t *shard, gh_task_ref_t task,
				gh_time_t now);
static void drain_inactive_workers(gh_shard_t *shard);
static void update_failing_workers(gh_shard_t *shard, gh_time_t now);
static void start_reserved_jobs(gh_shard_t *shard, int64_t starts_until_ms,
				const gh_now_t *now);
static void remove_reservation(gh_shard_t *shard, size_t index, gh_time_t now);
static void schedule(gh_shard_t *shard, int64_t starts_until_ms,
		     const gh_now_t *now);
static gh_handle_t next_department(const gh_shard_t *shard,
				   const bool *blocked);
static bool has_pending_jobs(const gh_shard_t *shard, gh_handle_t department);
static bool start_next_task(gh_shard_t *shard, gh_handle_t department,
			    int64_t starts_until_ms, const gh_now_t *now);
static bool place_task(gh_shard_t *shard, gh_job_ref_t ref,
		       int64_t starts_until_ms, const gh_now_t *now);
static void begin_attempt(gh_shard_t *shard, gh_job_ref_t ref,
			  gh_handle_t worker, int64_t starts_until_ms,
			  const gh_now_t *now);
static void count_rack_tasks(cost_context_t *cost);
static int64_t placement_cost(void *ctx, gh_handle_t worker);
static bool may_reclaim(const gh_shard_t *shard, gh_job_ref_t ref,
			gh_time_t now, reclaim_t *reclaim);
static void add_reserved_size(const gh_shard_t *shard, gh_handle_t department,
			      gh_resources_t *sum);
static void reclaim_capacity(gh_shard_t *shard, gh_job_ref_t ref,
			     const reclaim_t *reclaim);
static bool find_victims(gh_shard_t *shard, const reclaim_t *reclaim,
			 gh_handle_t worker, victims_t *victims);
static bool frees_enough(const gh_shard_t *shard, const reclaim_t *reclaim,
			 const victims_t *victims);
static gh_task_ref_t youngest_victim(gh_shard_t *shard,
				     const reclaim_t *reclaim,
				     const victims_t *chosen);
static bool is_evictable(gh_shard_t *shard, const reclaim_t *reclaim,
			 const gh_task_t *task, const victims_t *chosen);
static bool stays_above_guarantee(gh_shard_t *shard, gh_handle_t department,
				  const gh_resources_t *freed);
static void add_stopping_size(gh_shard_t *shard, gh_handle_t worker,
			      gh_handle_t department, gh_resources_t *sum);
static bool is_chosen(const victims_t *victims, gh_task_ref_t task);
static void add_size(gh_resources_t *sum, const gh_resources_t *more);

void gh_shard_tick(gh_shard_t *shard, bool may_start, int64_t starts_until_ms,
		   const gh_now_t *now)
{
	gh_job_ref_t old;

	refill_eviction_tokens(shard, now->boot);
	end_backoffs(shard, now->boot);
	while ((old = gh_job_oldest_finished(
			shard->tasks, FINISHED_JOBS_KEPT)) != GH_JOB_NONE)
		gh_job_remove(shard->tasks, shard->records, old);
	update_failing_workers(shard, now->boot);
	if (!may_start)
		return;
	drain_inactive_workers(shard);
	start_reserved_jobs(shard, starts_until_ms, now);
	schedule(shard, starts_until_ms, now);
}

/*
 * Adds eviction tokens for the time since the last refill.  A token is a
 * millionth of an eviction, so microseconds times evictions per second give
 * tokens.  The bucket holds at most the evictions of one minute.
 */
static void refill_eviction_tokens(gh_shard_t *shard, gh_time_t now)
{
	int64_t per_minute = shard->policy.evictions_per_minute;
	int64_t added = (now - shard->tokens_refilled_at) * per_minute /
			SECONDS_PER_MINUTE;

	shard->tokens_refilled_at = now;
	shard->eviction_tokens = MIN(shard->eviction_tokens + added,
				     per_minute * TOKENS_PER_EVICTION);
}

/*
 * Makes tasks pending whose backoff has ended.  A task in backoff whose
 * retry_at is 0 has just failed, so its backoff is set, or the task is given
 * up.
 */
static void end_backoffs(gh_shard_t *shard, gh_time_t now)
{
	gh_task_ref_t ref;

	while ((ref = gh_task_next_backoff(shard->tasks)) != GH_TASK_NONE) {
		gh_time_t retry_at = gh_task_at(shard->tasks, ref)->retry_at;

		if (retry_at > now)
			return;
		if (retry_at)
			gh_task_end_backoff(shard->tasks, ref);
		else
			back_off_or_give_up(shard, ref, now);
	}
}

/* Sets the backoff of a task that has just failed, or gives the task up. */
static void back_off_or_give_up(gh_shard_t *shard, gh_task_ref_t task,
				gh_time_t now)
{
	const gh_task_t *t = gh_task_at(shard->tasks, task);
	const gh_job_t *job = gh_job_at(shard->tasks, t->job);
	uint32_t doublings;
	int64_t wait_ms;

	if (t->failures >= (uint64_t)shard->policy.attempts_max) {
		gh_task_mark_failed(shard->tasks, shard->records, task);
		if (gh_job_finished(job))
			shard->counts.jobs_failed++;
		return;
	}
	doublings =
		t->failures ? MIN(t->failures - 1, BACKOFF_DOUBLINGS_MAX) : 0;
	wait_ms = MIN(shard->policy.backoff_ms << doublings,
		      shard->policy.backoff_max_ms);
	gh_task_set_backoff(shard->tasks, task, now + gh_time_from_ms(wait_ms));
}

/*
 * Stops tasks with a checkpoint on workers that are leaving or are no longer in
 * the document, so that they resume elsewhere.
 */
static void drain_inactive_workers(gh_shard_t *shard)
{
	unsigned left = DRAIN_STOPS_PER_TICK_MAX;
	size_t i;

	for (i = 0; i < gh_place_count(shard->place); i++) {
		const gh_shard_worker_t *w =
			gh_shard_worker_at(shard, (gh_handle_t)i);
		gh_task_ref_t ref;
		gh_task_ref_t next;

		if (w->state == GH_HOST_ACTIVE || !w->health.reachable)
			continue;
		ref = gh_task_first_on_worker(shard->tasks, (gh_handle_t)i);
		for (; ref != GH_TASK_NONE && left; ref = next) {
			const gh_task_t *t = gh_task_at(shard->tasks, ref);

			next = t->next;
			if (t->state != GH_TASK_RUNNING)
				continue;
			gh_task_set_stopping(shard->tasks, ref);
			gh_shard_queue_action(shard, GH_ACTION_STOP, ref, true,
					      0);
			left--;
		}
	}
}

/*
 * Updates whether failing workers take new tasks.  A worker on which tasks
 * failed takes one task at a time, and an ejected worker takes tasks only after
 * a wait, so this can change between two reports of the worker.
 */
static void update_failing_workers(gh_shard_t *shard, gh_time_t now)
{
	size_t i;

	for (i = 0; i < gh_place_count(shard->place); i++) {
		const gh_shard_worker_t *w =
			gh_shard_worker_at(shard, (gh_handle_t)i);

		if (w->health.ejected || w->health.n_failures)
			gh_shard_update_usable(shard, (gh_handle_t)i, now);
	}
}

/*
 * Starts jobs on the workers that were reserved for them, once the evicted
 * tasks have ended.  Drops reservations that expired or are no longer needed.
 */
static void start_reserved_jobs(gh_shard_t *shard, int64_t starts_until_ms,
				const gh_now_t *now)
{
	size_t i = 0;

	while (i < shard->n_reservations) {
		const gh_reservation_t *r = &shard->reservations[i];
		const gh_job_t *job = gh_job_at(shard->tasks, r->job);
		gh_resources_t size;

		if (!job->spec || job->id != r->job_id ||
		    job->pending == GH_TASK_NONE ||
		    now->boot >= r->expires_at ||
		    gh_shard_worker_at(shard, r->worker)->state !=
			    GH_HOST_ACTIVE) {
			remove_reservation(shard, i, now->boot);
			continue;
		}
		size = gh_job_size(job);
		if (!gh_place_fits(shard->place, r->worker, &size, NULL) ||
		    !gh_quota_within_limit(shard->quota, job->department,
					   &size)) {
			i++;
			continue;
		}
		begin_attempt(shard, r->job, r->worker, starts_until_ms, now);
		remove_reservation(shard, i, now->boot);
	}
}

static void remove_reservation(gh_shard_t *shard, size_t index, gh_time_t now)
{
	gh_handle_t worker = shard->reservations[index].worker;

	shard->reservations[index] =
		shard->reservations[--shard->n_reservations];
	gh_shard_worker_at(shard, worker)->reserved = false;
	gh_shard_update_usable(shard, worker, now);
}

static void schedule(gh_shard_t *shard, int64_t starts_until_ms,
		     const gh_now_t *now)
{
	bool blocked[DEPARTMENTS_MAX] = { false };
	unsigned starts = 0;
	gh_handle_t department;

	while (starts < STARTS_PER_TICK_MAX) {
		department = next_department(shard, blocked);
		if (department == GH_HANDLE_NONE)
			return;
		if (start_next_task(shard, department, starts_until_ms, now))
			starts++;
		else
			blocked[department] = true;
	}
}

/*
 * Returns the department to serve first among the unblocked ones that have
 * pending jobs; GH_HANDLE_NONE if there is none.
 */
static gh_handle_t next_department(const gh_shard_t *shard, const bool *blocked)
{
	size_t n = MIN(gh_quota_count(shard->quota), DEPARTMENTS_MAX);
	gh_handle_t best = GH_HANDLE_NONE;
	size_t i;

	for (i = 0; i < n; i++) {
		gh_handle_t d = (gh_handle_t)i;

		if (blocked[i] || !has_pending_jobs(shard, d))
			continue;
		if (best == GH_HANDLE_NONE ||
		    gh_quota_compare(shard->quota, d, best) < 0)
			best = d;
	}
	return best;
}

static bool has_pending_jobs(const gh_shard_t *shard, gh_handle_t department)
{
	int rank;

	for (rank = 0; rank < GH_RANK_COUNT; rank++)
		if (gh_job_queue_head(shard->tasks, department,
				      (gh_rank_t)rank) != GH_JOB_NONE)
			return true;
	return false;
}

/*
 * Starts the first pending task of the department that fits a worker.  For
 * pending tasks that fit no worker and precede it in the queue, reclaims
 * capacity where the quota allows that.
 */
static bool start_next_task(gh_shard_t *shard, gh_handle_t department,
			    int64_t starts_until_ms, const gh_now_t *now)
{
	reclaim_t reclaim;
	int rank;

	for (rank = 0; rank < GH_RANK_COUNT; rank++) {
		gh_job_ref_t ref = gh_job_queue_head(shard->tasks, department,
						     (gh_rank_t)rank);
		unsigned left = JOBS_SCANNED_MAX;

		for (; ref != GH_JOB_NONE && left; left--) {
			const gh_job_t *job = gh_job_at(shard->tasks, ref);

			if (place_task(shard, ref, starts_until_ms, now))
				return true;
			if (may_reclaim(shard, ref, now->boot, &reclaim))
				reclaim_capacity(shard, ref, &reclaim);
			ref = job->next;
		}
	}
	return false;
}

static bool place_task(gh_shard_t *shard, gh_job_ref_t ref,
		       int64_t starts_until_ms, const gh_now_t *now)
{
	const gh_job_t *job = gh_job_at(shard->tasks, ref);
	const gh_task_t *t = gh_task_at(shard->tasks, job->pending);
	cost_context_t cost = { .shard = shard, .job = job };
	gh_place_request_t request = {
		.size = gh_job_size(job),
		.avoid = t->last_worker,
		.spread = gh_job_rank(job) != GH_RANK_BATCH,
		.seed = gh_shard_random(shard),
		.cost = placement_cost,
		.ctx = &cost,
	};
	gh_handle_t worker;

	if (!gh_quota_within_limit(shard->quota, job->department,
				   &request.size))
		return false;
	count_rack_tasks(&cost);
	worker = gh_place_choose(shard->place, &request);
	if (worker == GH_HANDLE_NONE)
		return false;
	begin_attempt(shard, ref, worker, starts_until_ms, now);
	return true;
}

/*
 * Records the intent of an attempt and queues its start, which is sent after
 * the intent is committed.
 */
static void begin_attempt(gh_shard_t *shard, gh_job_ref_t ref,
			  gh_handle_t worker, int64_t starts_until_ms,
			  const gh_now_t *now)
{
	const gh_job_t *job = gh_job_at(shard->tasks, ref);
	gh_task_ref_t task = job->pending;
	int64_t not_after_ms = now->wall_ms + shard->policy.start_window_ms;

	if (job->spec->urgent)
		shard->commit_urgent = true;
	gh_task_begin_attempt(shard->tasks, shard->records, task, worker,
			      MIN(not_after_ms, starts_until_ms));
	gh_shard_emit_attempt(shard, "attempt_begun", task, NULL, true);
	gh_shard_queue_action(shard, GH_ACTION_START, task, false, 0);
	gh_shard_update_usable(shard, worker, now->boot);
}

/*
 * Counts the open attempts of the job by rack, among its first
 * COST_TASKS_SCANNED_MAX tasks.
 */
static void count_rack_tasks(cost_context_t *cost)
{
	gh_shard_t *shard = cost->shard;
	const gh_job_t *job = cost->job;
	uint32_t n = MIN(job->spec->tasks, COST_TASKS_SCANNED_MAX);
	uint32_t i;

	for (i = 0; i < n; i++) {
		const gh_task_t *t =
			gh_task_at(shard->tasks, job->first_task + i);

		if (gh_task_has_open_attempt(t))
			cost->rack_tasks[gh_place_worker(shard->place,
							 t->worker)
						 ->rack %
					 RACK_COUNTERS]++;
	}
}

/*
 * Cost of placing a task of the job on the worker: the expected slowdown of the
 * task by the tasks on the worker and of these by the task, plus a cost for
 * each task of the job in the worker's rack.
 */
static int64_t placement_cost(void *ctx, gh_handle_t worker)
{
	const cost_context_t *cost = ctx;
	gh_shard_t *shard = cost->shard;
	const gh_place_worker_t *w = gh_place_worker(shard->place, worker);
	gh_task_ref_t ref = gh_task_first_on_worker(shard->tasks, worker);
	int64_t sum = (int64_t)cost->rack_tasks[w->rack % RACK_COUNTERS] *
		      SAME_RACK_COST_MILLI;
	unsigned left = COST_TASKS_SCANNED_MAX;

	for (; ref != GH_TASK_NONE && left; left--) {
		const gh_task_t *t = gh_task_at(shard->tasks, ref);
		uint16_t other = gh_job_at(shard->tasks, t->job)->kind;

		sum += gh_slowdown_expected(shard->slowdown, cost->job->kind,
					    other);
		sum += gh_slowdown_expected(shard->slowdown, other,
					    cost->job->kind);
		ref = t->next;
	}
	return sum;
}

/*
 * Whether a job may reclaim capacity: jobs within their department's guarantee
 * and urgent jobs may.  Above the department's limit only urgent jobs may, and
 * only from other jobs of the department.
 */
static bool may_reclaim(const gh_shard_t *shard, gh_job_ref_t ref,
			gh_time_t now, reclaim_t *reclaim)
{
	const gh_job_t *job = gh_job_at(shard->tasks, ref);
	uint32_t n_reserved = 0;
	gh_resources_t sum;
	size_t i;

	for (i = 0; i < shard->n_reservations; i++)
		n_reserved += shard->reservations[i].job_id == job->id;
	if (shard->n_reservations == GH_RESERVATIONS_MAX ||
	    n_reserved >= job->count[GH_TASK_PENDING])
		return false;
	*reclaim =
		(reclaim_t){ .job = job, .size = gh_job_size(job), .now = now };
	sum = reclaim->size;
	add_reserved_size(shard, job->department, &sum);
	reclaim->entitled =
		gh_quota_within_guarantee(shard->quota, job->department, &sum);
	reclaim->own_department_only =
		!gh_quota_within_limit(shard->quota, job->department, &sum);
	if (reclaim->own_department_only)
		return job->spec->urgent;
	return job->spec->urgent || reclaim->entitled;
}

/*
 * Adds to *sum the sizes of the tasks that a department has reservations for.
 */
static void add_reserved_size(const gh_shard_t *shard, gh_handle_t department,
			      gh_resources_t *sum)
{
	size_t i;

	for (i = 0; i < shard->n_reservations; i++) {
		const gh_job_t *job =
			gh_job_at(shard->tasks, shard->reservations[i].job);
		gh_resources_t size;

		if (!job->spec || job->id != shard->reservations[i].job_id ||
		    job->department != department)
			continue;
		size = gh_job_size(job);
		add_size(sum, &size);
	}
}

/*
 * Evicts tasks of the worker where the least work is lost, and reserves that
 * worker for the job that needs the capacity.  The scan of workers starts at a
 * random one.
 */
static void reclaim_capacity(gh_shard_t *shard, gh_job_ref_t ref,
			     const reclaim_t *reclaim)
{
	size_t n = gh_place_count(shard->place);
	size_t start = n ? gh_shard_random(shard) % n : 0;
	victims_t best = { .worker = GH_HANDLE_NONE };
	size_t i;

	for (i = 0; i < MIN(n, RECLAIM_WORKERS_SCANNED_MAX); i++) {
		victims_t v;

		if (find_victims(shard, reclaim, (gh_handle_t)((start + i) % n),
				 &v) &&
		    (best.worker == GH_HANDLE_NONE ||
		     v.lost_work < best.lost_work))
			best = v;
	}
	if (best.worker == GH_HANDLE_NONE ||
	    shard->eviction_tokens < (int64_t)best.n * TOKENS_PER_EVICTION)
		return;
	for (i = 0; i < best.n; i++)
		gh_shard_evict(shard, best.tasks[i]);
	shard->reservations[shard->n_reservations++] = (gh_reservation_t){
		.job = ref,
		.job_id = reclaim->job->id,
		.worker = best.worker,
		.expires_at = reclaim->now +
			      gh_time_from_ms(shard->policy.urgent_start_ms),
	};
	gh_shard_worker_at(shard, best.worker)->reserved = true;
	gh_shard_update_usable(shard, best.worker, reclaim->now);
}

/*
 * Chooses tasks on the worker to evict, shortest running first, until the task
 * that needs the capacity would fit.  Returns false if that is impossible.
 */
static bool find_victims(gh_shard_t *shard, const reclaim_t *reclaim,
			 gh_handle_t worker, victims_t *victims)
{
	const gh_shard_worker_t *w = gh_shard_worker_at(shard, worker);

	*victims = (victims_t){ .worker = worker };
	if (w->state != GH_HOST_ACTIVE || w->reserved || w->full ||
	    w->health.ejected || !w->health.reachable)
		return false;
	while (!frees_enough(shard, reclaim, victims)) {
		gh_task_ref_t ref = youngest_victim(shard, reclaim, victims);
		gh_resources_t more;

		if (ref == GH_TASK_NONE || victims->n == VICTIMS_MAX)
			return false;
		more = gh_job_size(gh_job_at(
			shard->tasks, gh_task_at(shard->tasks, ref)->job));
		add_size(&victims->freed, &more);
		victims->tasks[victims->n++] = ref;
		victims->lost_work +=
			reclaim->now -
			gh_task_at(shard->tasks, ref)->running_since;
	}
	return true;
}

/*
 * Whether the task that needs capacity would fit the worker without the
 * victims.  If its department is over its limit, the victims are the
 * department's own tasks and must free the whole size of the task.
 */
static bool frees_enough(const gh_shard_t *shard, const reclaim_t *reclaim,
			 const victims_t *victims)
{
	const gh_resources_t *freed = &victims->freed;

	if (!gh_place_fits(shard->place, victims->worker, &reclaim->size,
			   freed))
		return false;
	if (!reclaim->own_department_only)
		return true;
	return freed->cores_milli >= reclaim->size.cores_milli &&
	       freed->memory_mb >= reclaim->size.memory_mb &&
	       freed->accelerators >= reclaim->size.accelerators;
}

/*
 * Returns the evictable task on the victims' worker that has run for the
 * shortest time and is not chosen yet, or GH_TASK_NONE.
 */
static gh_task_ref_t youngest_victim(gh_shard_t *shard,
				     const reclaim_t *reclaim,
				     const victims_t *chosen)
{
	gh_task_ref_t ref =
		gh_task_first_on_worker(shard->tasks, chosen->worker);
	gh_task_ref_t best = GH_TASK_NONE;

	for (; ref != GH_TASK_NONE; ref = gh_task_at(shard->tasks, ref)->next) {
		const gh_task_t *t = gh_task_at(shard->tasks, ref);

		if (!is_chosen(chosen, ref) &&
		    is_evictable(shard, reclaim, t, chosen) &&
		    (best == GH_TASK_NONE ||
		     t->running_since >
			     gh_task_at(shard->tasks, best)->running_since))
			best = ref;
	}
	return best;
}

/*
 * Whether a task may be evicted for the job that needs capacity.  It must be a
 * running batch task: of another department that uses more than its guarantee
 * if the job is within its own department's guarantee, or of the job's own
 * department if the job is urgent.
 */
static bool is_evictable(gh_shard_t *shard, const reclaim_t *reclaim,
			 const gh_task_t *task, const victims_t *chosen)
{
	const gh_job_t *other = gh_job_at(shard->tasks, task->job);

	if (task->state != GH_TASK_RUNNING ||
	    gh_job_rank(other) != GH_RANK_BATCH)
		return false;
	if (!reclaim->job->spec->urgent &&
	    reclaim->now - task->running_since < EVICTION_MIN_RUN_USEC)
		return false;
	if (other->department == reclaim->job->department)
		return reclaim->job->spec->urgent;
	return reclaim->entitled && !reclaim->own_department_only &&
	       stays_above_guarantee(shard, other->department, &chosen->freed);
}

/*
 * Whether the usage of a department stays above its guarantee without the tasks
 * already chosen for eviction, whose size is freed, and without its tasks that
 * are being stopped on reserved workers.
 */
static bool stays_above_guarantee(gh_shard_t *shard, gh_handle_t department,
				  const gh_resources_t *freed)
{
	const gh_quota_share_t *share =
		gh_quota_share(shard->quota, department);
	gh_resources_t stopping = *freed;
	size_t i;

	for (i = 0; i < shard->n_reservations; i++)
		add_stopping_size(shard, shard->reservations[i].worker,
				  department, &stopping);
	return gh_quota_borrowed_ppm(shard->quota, department) >
		       gh_quota_dominant_share_ppm(shard->quota, &stopping) &&
	       share->guarantee_ppm < GH_SHARE_WHOLE_PPM;
}

static void add_stopping_size(gh_shard_t *shard, gh_handle_t worker,
			      gh_handle_t department, gh_resources_t *sum)
{
	gh_task_ref_t ref = gh_task_first_on_worker(shard->tasks, worker);

	for (; ref != GH_TASK_NONE; ref = gh_task_at(shard->tasks, ref)->next) {
		const gh_task_t *t = gh_task_at(shard->tasks, ref);
		const gh_job_t *job = gh_job_at(shard->tasks, t->job);
		gh_resources_t size = gh_job_size(job);

		if (t->state == GH_TASK_STOPPING &&
		    job->department == department)
			add_size(sum, &size);
	}
}

static bool is_chosen(const victims_t *victims, gh_task_ref_t task)
{
	size_t i;

	for (i = 0; i < victims->n; i++)
		if (victims->tasks[i] == task)
			return true;
	return false;
}

static void add_size(gh_resources_t *sum, const gh_resources_t *more)
{
	sum->cores_milli += more->cores_milli;
	sum->memory_mb += more->memory_mb;
	sum->accelerators += more->accelerators;
}
