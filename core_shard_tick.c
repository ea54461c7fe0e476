#include "core_shard_state.h"

#include <string.h>

#define TOKEN_UNIT 1000000
#define SECONDS_PER_MINUTE 60
#define STARTS_MAX 64	       /* starts decided in one tick */
#define JOBS_LOOK 16	       /* jobs of one queue looked at in one tick */
#define VICTIM_WORKERS_LOOK 48 /* workers looked at for one revocation */
#define VICTIMS_MAX 32	       /* tasks evicted for one start */
#define LEAVING_EVICTIONS 8    /* a tick */
#define RACKS 64
#define RACK_TASKS_LOOK 64
#define RACK_COST 2000	   /* a task of the same job in the rack */
#define FINISHED_KEPT 2000 /* finished jobs that can still be read */
#define BACKOFF_DOUBLINGS 16
#define DEPARTMENTS_MAX 256
#define SPARED (10 * GH_USEC_PER_SEC) /* run time before a plain eviction */

/* What placing one task of a job costs on a worker. */
typedef struct cost {
	gh_shard_t *shard;
	const gh_job_t *job;
	uint32_t in_rack[RACKS];
} cost_t;

/* Tasks of one worker whose eviction makes room. */
typedef struct victims {
	gh_task_ref_t tasks[VICTIMS_MAX];
	size_t n;
	gh_time_t lost;	      /* work that is lost at most */
	gh_resources_t freed; /* by all of them */
	gh_handle_t worker;
} victims_t;

/* What a revocation is for, and what others have begun. */
typedef struct claim {
	const gh_job_t *job;
	gh_resources_t size;
	gh_time_t now;
	bool entitled; /* within the guarantee, with the reservations */
	bool own_only; /* at the limit: only own work can make room */
} claim_t;

static void refill_tokens(gh_shard_t *shard, gh_time_t now);
static void wake_tasks(gh_shard_t *shard, gh_time_t now);
static void after_failure(gh_shard_t *shard, gh_task_ref_t task, gh_time_t now);
static void clear_leaving(gh_shard_t *shard);
static void refresh_workers(gh_shard_t *shard, gh_time_t now);
static void use_reservations(gh_shard_t *shard, int64_t starts_until_ms,
			     const gh_now_t *now);
static void unreserve(gh_shard_t *shard, size_t at, gh_time_t now);
static void schedule(gh_shard_t *shard, int64_t starts_until_ms,
		     const gh_now_t *now);
static gh_handle_t next_department(const gh_shard_t *shard,
				   const bool *blocked);
static bool has_queue(const gh_shard_t *shard, gh_handle_t department);
static bool serve(gh_shard_t *shard, gh_handle_t department,
		  int64_t starts_until_ms, const gh_now_t *now);
static bool place_one(gh_shard_t *shard, gh_job_ref_t ref,
		      int64_t starts_until_ms, const gh_now_t *now);
static void intend(gh_shard_t *shard, gh_job_ref_t ref, gh_handle_t worker,
		   int64_t starts_until_ms, const gh_now_t *now);
static void cost_fill(cost_t *cost);
static int64_t cost_of(void *ctx, gh_handle_t worker);
static bool may_take_back(const gh_shard_t *shard, gh_job_ref_t ref,
			  gh_time_t now, claim_t *claim);
static void reserved_add(const gh_shard_t *shard, gh_handle_t department,
			 gh_resources_t *sum);
static void take_back(gh_shard_t *shard, gh_job_ref_t ref,
		      const claim_t *claim);
static bool find_victims(gh_shard_t *shard, const claim_t *claim,
			 gh_handle_t worker, victims_t *victims);
static bool is_enough(const gh_shard_t *shard, const claim_t *claim,
		      const victims_t *victims);
static gh_task_ref_t youngest(gh_shard_t *shard, const claim_t *claim,
			      const victims_t *chosen);
static bool is_victim(gh_shard_t *shard, const claim_t *claim,
		      const gh_task_t *task, const victims_t *chosen);
static bool still_borrows(gh_shard_t *shard, gh_handle_t department,
			  const gh_resources_t *freed);
static void stopping_add(gh_shard_t *shard, gh_handle_t worker,
			 gh_handle_t department, gh_resources_t *sum);
static bool is_chosen(const victims_t *victims, gh_task_ref_t task);
static void size_add(gh_resources_t *sum, const gh_resources_t *more);

void gh_shard_tick(gh_shard_t *shard, bool may_start, int64_t starts_until_ms,
		   const gh_now_t *now)
{
	gh_job_ref_t old;

	refill_tokens(shard, now->boot);
	wake_tasks(shard, now->boot);
	while ((old = gh_job_oldest_finished(shard->tasks, FINISHED_KEPT)) !=
	       GH_JOB_NONE)
		gh_job_remove(shard->tasks, shard->log, old);
	refresh_workers(shard, now->boot);
	if (!may_start)
		return;
	clear_leaving(shard);
	use_reservations(shard, starts_until_ms, now);
	schedule(shard, starts_until_ms, now);
}

static void refill_tokens(gh_shard_t *shard, gh_time_t now)
{
	int64_t a_minute = shard->policy.evictions_per_minute;
	int64_t fresh = (now - shard->token_at) * a_minute / SECONDS_PER_MINUTE;

	shard->token_at = now;
	shard->tokens = MIN(shard->tokens + fresh, a_minute * TOKEN_UNIT);
}

static void wake_tasks(gh_shard_t *shard, gh_time_t now)
{
	gh_task_ref_t ref;

	while ((ref = gh_task_next_backoff(shard->tasks)) != GH_TASK_NONE) {
		gh_time_t at = gh_task_at(shard->tasks, ref)->retry_at;

		if (at > now)
			return;
		if (at)
			gh_task_end_backoff(shard->tasks, ref);
		else
			after_failure(shard, ref, now);
	}
}

/* A task that has just failed waits, or is given up. */
static void after_failure(gh_shard_t *shard, gh_task_ref_t task, gh_time_t now)
{
	const gh_task_t *t = gh_task_at(shard->tasks, task);
	const gh_job_t *job = gh_job_at(shard->tasks, t->job);
	uint32_t doublings;
	int64_t wait_ms;

	if (t->failures >= (uint64_t)shard->policy.attempts_max) {
		gh_task_mark_failed(shard->tasks, shard->log, task);
		if (gh_job_finished(job))
			shard->counts.jobs_failed++;
		return;
	}
	doublings = t->failures ? MIN(t->failures - 1, BACKOFF_DOUBLINGS) : 0;
	wait_ms = MIN(shard->policy.backoff_ms << doublings,
		      shard->policy.backoff_max_ms);
	gh_task_set_backoff(shard->tasks, task, now + gh_time_from_ms(wait_ms));
}

/* Tasks on leaving workers go on elsewhere. */
static void clear_leaving(gh_shard_t *shard)
{
	unsigned left = LEAVING_EVICTIONS;
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
			gh_shard_act(shard, GH_ACTION_STOP, ref, true, 0);
			left--;
		}
	}
}

static void refresh_workers(gh_shard_t *shard, gh_time_t now)
{
	size_t i;

	for (i = 0; i < gh_place_count(shard->place); i++) {
		const gh_shard_worker_t *w =
			gh_shard_worker_at(shard, (gh_handle_t)i);

		if (w->health.ejected || w->health.n_failures)
			gh_shard_worker_refresh(shard, (gh_handle_t)i, now);
	}
}

/* Starts jobs on the workers where room was made for them. */
static void use_reservations(gh_shard_t *shard, int64_t starts_until_ms,
			     const gh_now_t *now)
{
	size_t i = 0;

	while (i < shard->n_reserved) {
		const gh_reservation_t *r = &shard->reserved[i];
		const gh_job_t *job = gh_job_at(shard->tasks, r->job);
		gh_resources_t size;

		if (!job->spec || job->id != r->job_id ||
		    job->pending == GH_TASK_NONE || now->boot >= r->until ||
		    gh_shard_worker_at(shard, r->worker)->state !=
			    GH_HOST_ACTIVE) {
			unreserve(shard, i, now->boot);
			continue;
		}
		size = gh_job_size(job);
		if (!gh_place_fits(shard->place, r->worker, &size, NULL) ||
		    !gh_quota_within_limit(shard->quota, job->department,
					   &size)) {
			i++;
			continue;
		}
		intend(shard, r->job, r->worker, starts_until_ms, now);
		unreserve(shard, i, now->boot);
	}
}

static void unreserve(gh_shard_t *shard, size_t at, gh_time_t now)
{
	gh_handle_t worker = shard->reserved[at].worker;

	shard->reserved[at] = shard->reserved[--shard->n_reserved];
	gh_shard_worker_at(shard, worker)->reserved = false;
	gh_shard_worker_refresh(shard, worker, now);
}

static void schedule(gh_shard_t *shard, int64_t starts_until_ms,
		     const gh_now_t *now)
{
	bool blocked[DEPARTMENTS_MAX] = { false };
	unsigned starts = 0;
	gh_handle_t department;

	while (starts < STARTS_MAX) {
		department = next_department(shard, blocked);
		if (department == GH_HANDLE_NONE)
			return;
		if (serve(shard, department, starts_until_ms, now))
			starts++;
		else
			blocked[department] = true;
	}
}

static gh_handle_t next_department(const gh_shard_t *shard, const bool *blocked)
{
	size_t n = MIN(gh_quota_count(shard->quota), DEPARTMENTS_MAX);
	gh_handle_t best = GH_HANDLE_NONE;
	size_t i;

	for (i = 0; i < n; i++) {
		gh_handle_t d = (gh_handle_t)i;

		if (blocked[i] || !has_queue(shard, d))
			continue;
		if (best == GH_HANDLE_NONE ||
		    gh_quota_compare(shard->quota, d, best) < 0)
			best = d;
	}
	return best;
}

static bool has_queue(const gh_shard_t *shard, gh_handle_t department)
{
	int rank;

	for (rank = 0; rank < GH_RANK_COUNT; rank++)
		if (gh_job_queue_head(shard->tasks, department,
				      (gh_rank_t)rank) != GH_JOB_NONE)
			return true;
	return false;
}

/* Starts the first task of the department that has a place. */
static bool serve(gh_shard_t *shard, gh_handle_t department,
		  int64_t starts_until_ms, const gh_now_t *now)
{
	claim_t claim;
	int rank;

	for (rank = 0; rank < GH_RANK_COUNT; rank++) {
		gh_job_ref_t ref = gh_job_queue_head(shard->tasks, department,
						     (gh_rank_t)rank);
		unsigned look = JOBS_LOOK;

		for (; ref != GH_JOB_NONE && look; look--) {
			const gh_job_t *job = gh_job_at(shard->tasks, ref);

			if (place_one(shard, ref, starts_until_ms, now))
				return true;
			if (may_take_back(shard, ref, now->boot, &claim))
				take_back(shard, ref, &claim);
			ref = job->next;
		}
	}
	return false;
}

static bool place_one(gh_shard_t *shard, gh_job_ref_t ref,
		      int64_t starts_until_ms, const gh_now_t *now)
{
	const gh_job_t *job = gh_job_at(shard->tasks, ref);
	const gh_task_t *t = gh_task_at(shard->tasks, job->pending);
	cost_t cost = { .shard = shard, .job = job };
	gh_place_request_t want = {
		.size = gh_job_size(job),
		.avoid = t->last_worker,
		.spread = gh_job_rank(job) != GH_RANK_BATCH,
		.seed = gh_shard_random(shard),
		.cost = cost_of,
		.ctx = &cost,
	};
	gh_handle_t worker;

	if (!gh_quota_within_limit(shard->quota, job->department, &want.size))
		return false;
	cost_fill(&cost);
	worker = gh_place_choose(shard->place, &want);
	if (worker == GH_HANDLE_NONE)
		return false;
	intend(shard, ref, worker, starts_until_ms, now);
	return true;
}

static void intend(gh_shard_t *shard, gh_job_ref_t ref, gh_handle_t worker,
		   int64_t starts_until_ms, const gh_now_t *now)
{
	const gh_job_t *job = gh_job_at(shard->tasks, ref);
	gh_task_ref_t task = job->pending;
	int64_t not_after_ms = now->wall_ms + shard->policy.start_window_ms;

	if (job->spec->urgent)
		shard->hurry = true;
	gh_task_begin_attempt(shard->tasks, shard->log, task, worker,
			      MIN(not_after_ms, starts_until_ms));
	gh_shard_act(shard, GH_ACTION_START, task, false, 0);
	gh_shard_worker_refresh(shard, worker, now->boot);
}

/* Counts the job's tasks in each rack, up to a bound. */
static void cost_fill(cost_t *cost)
{
	gh_shard_t *shard = cost->shard;
	const gh_job_t *job = cost->job;
	uint32_t n = MIN(job->spec->tasks, RACK_TASKS_LOOK);
	uint32_t i;

	for (i = 0; i < n; i++) {
		const gh_task_t *t =
			gh_task_at(shard->tasks, job->first_task + i);

		if (gh_task_has_open_attempt(t))
			cost->in_rack[gh_place_worker(shard->place, t->worker)
					      ->rack %
				      RACKS]++;
	}
}

static int64_t cost_of(void *ctx, gh_handle_t worker)
{
	const cost_t *cost = ctx;
	gh_shard_t *shard = cost->shard;
	const gh_place_worker_t *w = gh_place_worker(shard->place, worker);
	gh_task_ref_t ref = gh_task_first_on_worker(shard->tasks, worker);
	int64_t sum = (int64_t)cost->in_rack[w->rack % RACKS] * RACK_COST;
	unsigned look = RACK_TASKS_LOOK;

	for (; ref != GH_TASK_NONE && look; look--) {
		const gh_task_t *t = gh_task_at(shard->tasks, ref);
		uint16_t other = gh_job_at(shard->tasks, t->job)->kind;

		sum += gh_slowdown_expected(shard->model, cost->job->kind,
					    other);
		sum += gh_slowdown_expected(shard->model, other,
					    cost->job->kind);
		ref = t->next;
	}
	return sum;
}

/* Work within its department's guarantee, and urgent work, may revoke. */
static bool may_take_back(const gh_shard_t *shard, gh_job_ref_t ref,
			  gh_time_t now, claim_t *claim)
{
	const gh_job_t *job = gh_job_at(shard->tasks, ref);
	uint32_t held = 0;
	gh_resources_t sum;
	size_t i;

	for (i = 0; i < shard->n_reserved; i++)
		held += shard->reserved[i].job_id == job->id;
	if (shard->n_reserved == GH_RESERVED_MAX ||
	    held >= job->count[GH_TASK_PENDING])
		return false;
	*claim = (claim_t){ .job = job, .size = gh_job_size(job), .now = now };
	sum = claim->size;
	reserved_add(shard, job->department, &sum);
	claim->entitled =
		gh_quota_within_guarantee(shard->quota, job->department, &sum);
	claim->own_only =
		!gh_quota_within_limit(shard->quota, job->department, &sum);
	if (claim->own_only)
		return job->spec->urgent;
	return job->spec->urgent || claim->entitled;
}

/* Room that is already being made for a department. */
static void reserved_add(const gh_shard_t *shard, gh_handle_t department,
			 gh_resources_t *sum)
{
	size_t i;

	for (i = 0; i < shard->n_reserved; i++) {
		const gh_job_t *job =
			gh_job_at(shard->tasks, shard->reserved[i].job);
		gh_resources_t size;

		if (!job->spec || job->id != shard->reserved[i].job_id ||
		    job->department != department)
			continue;
		size = gh_job_size(job);
		size_add(sum, &size);
	}
}

static void take_back(gh_shard_t *shard, gh_job_ref_t ref, const claim_t *claim)
{
	size_t n = gh_place_count(shard->place);
	size_t start = n ? gh_shard_random(shard) % n : 0;
	victims_t best = { .worker = GH_HANDLE_NONE };
	size_t i;

	for (i = 0; i < MIN(n, VICTIM_WORKERS_LOOK); i++) {
		victims_t v;

		if (find_victims(shard, claim, (gh_handle_t)((start + i) % n),
				 &v) &&
		    (best.worker == GH_HANDLE_NONE || v.lost < best.lost))
			best = v;
	}
	if (best.worker == GH_HANDLE_NONE ||
	    shard->tokens < (int64_t)best.n * TOKEN_UNIT)
		return;
	for (i = 0; i < best.n; i++)
		gh_shard_evict(shard, best.tasks[i]);
	shard->reserved[shard->n_reserved++] = (gh_reservation_t){
		.job = ref,
		.job_id = claim->job->id,
		.worker = best.worker,
		.until = claim->now +
			 gh_time_from_ms(shard->policy.urgent_start_ms),
	};
	gh_shard_worker_at(shard, best.worker)->reserved = true;
	gh_shard_worker_refresh(shard, best.worker, claim->now);
}

/* Adds victims, least work lost first, until the job's task would fit. */
static bool find_victims(gh_shard_t *shard, const claim_t *claim,
			 gh_handle_t worker, victims_t *victims)
{
	const gh_shard_worker_t *w = gh_shard_worker_at(shard, worker);

	*victims = (victims_t){ .worker = worker };
	if (w->state != GH_HOST_ACTIVE || w->reserved || w->full ||
	    w->health.ejected || !w->health.reachable)
		return false;
	while (!is_enough(shard, claim, victims)) {
		gh_task_ref_t ref = youngest(shard, claim, victims);
		gh_resources_t more;

		if (ref == GH_TASK_NONE || victims->n == VICTIMS_MAX)
			return false;
		more = gh_job_size(gh_job_at(
			shard->tasks, gh_task_at(shard->tasks, ref)->job));
		size_add(&victims->freed, &more);
		victims->tasks[victims->n++] = ref;
		victims->lost += claim->now -
				 gh_task_at(shard->tasks, ref)->running_since;
	}
	return true;
}

static bool is_enough(const gh_shard_t *shard, const claim_t *claim,
		      const victims_t *victims)
{
	const gh_resources_t *freed = &victims->freed;

	if (!gh_place_fits(shard->place, victims->worker, &claim->size, freed))
		return false;
	if (!claim->own_only)
		return true;
	return freed->cores_milli >= claim->size.cores_milli &&
	       freed->memory_mb >= claim->size.memory_mb &&
	       freed->accelerators >= claim->size.accelerators;
}

/*
 * The batch task that may be evicted for the claim and has run least; work
 * that has only just begun is spared unless the claim is urgent.
 */
static gh_task_ref_t youngest(gh_shard_t *shard, const claim_t *claim,
			      const victims_t *chosen)
{
	gh_task_ref_t ref =
		gh_task_first_on_worker(shard->tasks, chosen->worker);
	gh_task_ref_t best = GH_TASK_NONE;

	for (; ref != GH_TASK_NONE; ref = gh_task_at(shard->tasks, ref)->next) {
		const gh_task_t *t = gh_task_at(shard->tasks, ref);

		if (!is_chosen(chosen, ref) &&
		    is_victim(shard, claim, t, chosen) &&
		    (best == GH_TASK_NONE ||
		     t->running_since >
			     gh_task_at(shard->tasks, best)->running_since))
			best = ref;
	}
	return best;
}

/* Borrowed batch work of others, or the own batch work for urgent work. */
static bool is_victim(gh_shard_t *shard, const claim_t *claim,
		      const gh_task_t *task, const victims_t *chosen)
{
	const gh_job_t *other = gh_job_at(shard->tasks, task->job);

	if (task->state != GH_TASK_RUNNING ||
	    gh_job_rank(other) != GH_RANK_BATCH)
		return false;
	if (!claim->job->spec->urgent &&
	    claim->now - task->running_since < SPARED)
		return false;
	if (other->department == claim->job->department)
		return claim->job->spec->urgent;
	return claim->entitled && !claim->own_only &&
	       still_borrows(shard, other->department, &chosen->freed);
}

/* Whether a department stays above its guarantee after what is being freed. */
static bool still_borrows(gh_shard_t *shard, gh_handle_t department,
			  const gh_resources_t *freed)
{
	const gh_quota_share_t *share =
		gh_quota_share(shard->quota, department);
	gh_resources_t gone = *freed;
	size_t i;

	for (i = 0; i < shard->n_reserved; i++)
		stopping_add(shard, shard->reserved[i].worker, department,
			     &gone);
	return gh_quota_borrowed_ppm(shard->quota, department) >
		       gh_quota_dominant_share_ppm(shard->quota, &gone) &&
	       share->guarantee_ppm < GH_SHARE_WHOLE_PPM;
}

static void stopping_add(gh_shard_t *shard, gh_handle_t worker,
			 gh_handle_t department, gh_resources_t *sum)
{
	gh_task_ref_t ref = gh_task_first_on_worker(shard->tasks, worker);

	for (; ref != GH_TASK_NONE; ref = gh_task_at(shard->tasks, ref)->next) {
		const gh_task_t *t = gh_task_at(shard->tasks, ref);
		const gh_job_t *job = gh_job_at(shard->tasks, t->job);
		gh_resources_t size = gh_job_size(job);

		if (t->state == GH_TASK_STOPPING &&
		    job->department == department)
			size_add(sum, &size);
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

static void size_add(gh_resources_t *sum, const gh_resources_t *more)
{
	sum->cores_milli += more->cores_milli;
	sum->memory_mb += more->memory_mb;
	sum->accelerators += more->accelerators;
}
