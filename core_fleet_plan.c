/*
 * Task ordering and placement: which task starts next, and on which worker.
 *
 * Handles bursts that ask for more than the workers' free capacity.  Jobs that
 * can still meet their objective are ordered by priority, then by slack: the
 * time left after their remaining critical path.  Jobs past their objective
 * come next, and jobs several objectives late come last, because their result
 * is of little use by then.  Among jobs of one priority, long-running tasks
 * that have run before come first.  A stage starts as many tasks as fit; the
 * others wait without reserving capacity, so that smaller tasks behind them can
 * start, but for long-running tasks; see core_fleet_reserve.c.
 */
#include "core_fleet_state.h"

#include <string.h>

/* A job older than this many times its objective is ranked last. */
#define VERY_LATE_OBJECTIVES 3
/* A job gets 1/20 of its remaining work as extra slack: large jobs yield. */
#define REMAINING_WORK_DIVISOR 20
/* Upper bound of a job's remaining work, in core-milliseconds. */
#define REMAINING_CORE_MS_MAX 1e15
/*
 * Added to the priority of a job past its objective; larger than any priority.
 */
#define RANK_LATE 1000
#define RANK_VERY_LATE 2000
/*
 * A start order without a reply is abandoned once its worker has been
 * unreachable for longer than this.
 */
#define START_REPLY_TIMEOUT_USEC (GH_USEC_PER_SEC)
/* Number of ticks over which the mean time between them is taken. */
#define TICK_GAP_SAMPLES 16
/* Ticks further apart than this on average are late. */
#define LATE_TICK_GAP_USEC (40 * GH_USEC_PER_MSEC)
/* A longer time between two ticks counts as this, in microseconds. */
#define TICK_GAP_MAX ((double)GH_USEC_PER_SEC)
#define GANG_RETRY_USEC (100 * GH_USEC_PER_MSEC)
#define STRAGGLER_CHECK_PERIOD_USEC (100 * GH_USEC_PER_MSEC)
#define DECAY_PERIOD_USEC GH_USEC_PER_SEC
/* A run is a straggler after this many times the mean run time of its stage. */
#define STRAGGLER_FACTOR 2.0
#define STRAGGLER_MIN_MS 500.0
/*
 * Costs of placing a task on a worker, in the unit of the basic cost:
 * milli-cores that the worker would have left unused.
 */
#define COST_AVOIDED_WORKER 5000000
/* Cost of a worker outside the rack of the stage or of its data. */
#define COST_OTHER_RACK 1000000
/* For a long-running task: cost of each best-effort run on the worker. */
#define COST_BEST_EFFORT_NEIGHBOUR 2000
#define COST_FIRST_LONG_RUNNING 10000
/*
 * For a long-running task: cost of a worker with long-running runs of one other
 * image.
 */
#define COST_SECOND_IMAGE 30000
/*
 * For a long-running task: cost of a worker with long-running runs of several
 * images.
 */
#define COST_MIXED_IMAGES 15000
/*
 * For a task of fixed size: cost of a worker without long-running runs of
 * several images.
 */
#define COST_FIXED_ON_UNMIXED 10000
/* For a long-running task: divides the cost of unused milli-cores. */
#define LONG_RUNNING_FIT_DIVISOR 10
/*
 * For a best-effort task: cost, multiplied by the sum of
 * fleet_best_effort_share() and the highest interference weight.
 */
#define COST_BEST_EFFORT_SHARE 100000
/* A job without a run for longer than this ignores BEST_EFFORT_SHARE_MAX. */
#define JOB_IDLE_MAX_USEC (1500 * GH_USEC_PER_MSEC)
/* A best-effort run whose pace is low for longer than this is moved. */
#define SLOW_BEFORE_MOVE_USEC (700 * GH_USEC_PER_MSEC)
/* Cost of a worker with slow runs, multiplied by run_time_ratio - 1. */
#define COST_SLOW_WORKER 100000
/* A stage of long-running tasks that waits for longer than this is reported. */
#define WAIT_REPORT_USEC (2 * GH_USEC_PER_SEC)
#define WAIT_REPORT_PERIOD_USEC GH_USEC_PER_SEC

/* Why a worker can't run a task. */
typedef enum obstacle {
	OBSTACLE_NONE,
	OBSTACLE_NOT_LISTED,
	OBSTACLE_DRAINING,
	OBSTACLE_UNREACHABLE, /* or without a report to this owner yet */
	OBSTACLE_LATE_START,  /* stops of late starts are awaited */
	OBSTACLE_UNKNOWN_RUN, /* which takes up capacity until it has ended */
	OBSTACLE_NO_CAPACITY,
	OBSTACLE_REFUSED_START, /* lately, for lack of capacity */
	OBSTACLE_QUARANTINE,
	OBSTACLE_OTHER_SERVICE,
	OBSTACLE_LABEL,
	OBSTACLE_STAGE_LIMIT, /* runs the stage's max tasks per worker */
	OBSTACLES
} obstacle_t;

static const char *const obstacle_names[OBSTACLES] = {
	[OBSTACLE_NONE] = "usable",
	[OBSTACLE_NOT_LISTED] = "unlisted",
	[OBSTACLE_DRAINING] = "draining",
	[OBSTACLE_UNREACHABLE] = "unheard",
	[OBSTACLE_LATE_START] = "late_start",
	[OBSTACLE_UNKNOWN_RUN] = "unknown_run",
	[OBSTACLE_NO_CAPACITY] = "full",
	[OBSTACLE_REFUSED_START] = "refused",
	[OBSTACLE_QUARANTINE] = "quarantined",
	[OBSTACLE_OTHER_SERVICE] = "other_service",
	[OBSTACLE_LABEL] = "label",
	[OBSTACLE_STAGE_LIMIT] = "spread",
};

typedef struct candidate {
	uint32_t job, stage;
	uint32_t rank;
	/* Only the stage's tasks that had a run before, which are to last. */
	bool restarts;
	/*
	 * Time left to the job's objective, less its remaining critical path.
	 */
	int64_t slack_ms;
} candidate_t;

static void note_tick(gh_fleet_t *fleet, gh_time_t now);
static void expire_leases(gh_fleet_t *fleet, gh_time_t now);
static bool has_run_beyond_plan(const gh_fleet_t *fleet,
				const fleet_worker_t *worker);
static void retry_orders(gh_fleet_t *fleet, gh_time_t now);
static void stop_long_running_on_draining(gh_fleet_t *fleet, gh_time_t now);
static void collect_candidates(gh_fleet_t *fleet, GArray *candidates,
			       gh_time_t now, int64_t wall_ms);
static bool stage_is_ready(const fleet_job_t *job, uint32_t stage,
			   int64_t wall_ms);
static bool has_restarts(const fleet_job_t *job, uint32_t stage);
static void rate_candidate(const gh_fleet_t *fleet, const fleet_job_t *job,
			   candidate_t *c, int64_t wall_ms);
static int64_t remaining_core_ms(const fleet_job_t *job);
static int compare_candidates(gconstpointer a, gconstpointer b);
static void place_stage(gh_fleet_t *fleet, const candidate_t *c, gh_time_t now);
static void place_gang(gh_fleet_t *fleet, const candidate_t *c, gh_time_t now);
static bool gang_may_fit(const gh_fleet_t *fleet, const fleet_job_t *job,
			 uint32_t stage, gh_time_t now);
static uint32_t count_fitting(const fleet_worker_t *worker,
			      const gh_step_t *step);
static uint32_t choose_worker(gh_fleet_t *fleet, fleet_job_t *job,
			      uint32_t task, uint32_t excluded_worker,
			      gh_time_t now);
static void note_failed_placement(gh_fleet_t *fleet, const fleet_job_t *job,
				  uint32_t stage, failed_placement_t placement,
				  gh_time_t now);
static bool is_known_to_fail(const gh_fleet_t *fleet,
			     const failed_placement_t *placement);
static obstacle_t find_obstacle(const gh_fleet_t *fleet, const fleet_job_t *job,
				uint32_t stage, uint32_t handle, gh_time_t now);
static obstacle_t find_state_obstacle(const fleet_worker_t *worker,
				      gh_time_t now);
static obstacle_t find_mismatch(const gh_fleet_t *fleet, const fleet_job_t *job,
				uint32_t stage, uint32_t handle, gh_time_t now);
static bool has_label(const fleet_worker_t *worker, const char *label);
static bool step_fits(const fleet_worker_t *worker, const gh_step_t *step);
static void report_waiting_stage(gh_fleet_t *fleet, const candidate_t *c,
				 uint32_t task, gh_time_t now);
static int64_t placement_cost(const gh_fleet_t *fleet,
			      const fleet_worker_t *worker,
			      const gh_step_t *step, const char *rack,
			      uint16_t image);
static int64_t image_mix_cost(const gh_fleet_t *fleet,
			      const fleet_worker_t *worker,
			      const gh_step_t *step, uint16_t image);
static uint32_t count_stage_runs(const gh_fleet_t *fleet,
				 const fleet_job_t *job, uint32_t stage,
				 uint32_t worker);
static const char *find_stage_rack(const gh_fleet_t *fleet,
				   const fleet_job_t *job, uint32_t stage);
static void copy_stragglers(gh_fleet_t *fleet, gh_time_t now);
static void move_slow_runs(gh_fleet_t *fleet, gh_time_t now);

void gh_fleet_tick(gh_fleet_t *fleet, gh_time_t now, int64_t wall_ms)
{
	GArray *candidates = g_array_new(FALSE, FALSE, sizeof(candidate_t));
	guint i;

	note_tick(fleet, now);
	expire_leases(fleet, now);
	retry_orders(fleet, now);
	fleet_late_check(fleet, now);
	stop_long_running_on_draining(fleet, now);
	fleet_health_check(fleet, now);
	if (now - fleet->interference_decayed_at >= DECAY_PERIOD_USEC) {
		gh_interference_decay(
			fleet->interference,
			(double)(now - fleet->interference_decayed_at) /
				GH_USEC_PER_SEC);
		fleet->interference_decayed_at = now;
	}
	g_array_set_size(fleet->failed_placements, 0);
	collect_candidates(fleet, candidates, now, wall_ms);
	g_array_sort(candidates, compare_candidates);
	fleet->counts.pending_tasks = 0;
	for (i = 0; i < candidates->len; i++) {
		const candidate_t *c =
			&g_array_index(candidates, candidate_t, i);
		const fleet_job_t *job = fleet_job(fleet, c->job);

		if (job->spec->steps[c->stage % job->spec->n_steps].gang)
			place_gang(fleet, c, now);
		else
			place_stage(fleet, c, now);
	}
	g_array_free(candidates, TRUE);
	if (now - fleet->stragglers_checked_at >= STRAGGLER_CHECK_PERIOD_USEC) {
		fleet->stragglers_checked_at = now;
		copy_stragglers(fleet, now);
		move_slow_runs(fleet, now);
	}
}

bool fleet_is_late(const gh_fleet_t *fleet)
{
	return fleet->mean_tick_gap > LATE_TICK_GAP_USEC;
}

/* Updates the mean time between ticks. */
static void note_tick(gh_fleet_t *fleet, gh_time_t now)
{
	if (fleet->ticked_at)
		fleet->mean_tick_gap +=
			(MIN((double)(now - fleet->ticked_at), TICK_GAP_MAX) -
			 fleet->mean_tick_gap) /
			TICK_GAP_SAMPLES;
	fleet->ticked_at = now;
}

/*
 * Ends the runs of each worker whose lease has expired with certainty.  A run
 * that is only planned needs no lease yet: its start order grants one.
 */
static void expire_leases(gh_fleet_t *fleet, gh_time_t now)
{
	uint32_t i;

	for (i = 0; i < fleet->workers->len; i++) {
		fleet_worker_t *worker = fleet_worker(fleet, i);

		if (!worker->in_use || now <= worker->latest_lease_end ||
		    !has_run_beyond_plan(fleet, worker))
			continue;
		fleet_crash_mark_runs(fleet, i, true, now);
		fleet_worker_end_runs(fleet, i, "its lease ran out", now);
		/* The worker may restart before it is heard again. */
		fleet_fence_raise(fleet, fleet_worker(fleet, i));
		fleet_worker_free_if_unused(fleet, i);
	}
}

static bool has_run_beyond_plan(const gh_fleet_t *fleet,
				const fleet_worker_t *worker)
{
	uint32_t ref;

	for (ref = worker->first_run; ref != GH_NONE;
	     ref = fleet_run(fleet, ref)->next)
		if (fleet_run(fleet, ref)->state != RUN_PLANNED)
			return true;
	return false;
}

static void retry_orders(gh_fleet_t *fleet, gh_time_t now)
{
	uint32_t i;

	for (i = 0; i < fleet->runs->len; i++) {
		fleet_run_t *run = fleet_run(fleet, i);
		const fleet_worker_t *worker;

		if ((run->state != RUN_STARTING &&
		     run->state != RUN_STOPPING) ||
		    run->replied_at || now < run->retry_at)
			continue;
		worker = fleet_worker(fleet, run->worker);
		if (run->state == RUN_STOPPING)
			fleet_order_enqueue(fleet, GH_ORDER_STOP, i);
		else if (worker->entry.draining || !worker->listed ||
			 (worker->unreachable_since &&
			  now - worker->unreachable_since >
				  START_REPLY_TIMEOUT_USEC))
			fleet_run_stop(fleet, i, "no reply to its start", now);
		/* Without a report the run may have ended in a former life. */
		else if (worker->last_requested_at > run->start_sent_at)
			fleet_order_enqueue(fleet, GH_ORDER_START, i);
	}
}

/*
 * Stops the long-running runs of draining workers; their other runs may
 * complete.
 */
static void stop_long_running_on_draining(gh_fleet_t *fleet, gh_time_t now)
{
	uint32_t i;

	for (i = 0; i < fleet->workers->len; i++) {
		const fleet_worker_t *worker = fleet_worker(fleet, i);
		uint32_t ref;

		if (!worker->in_use || !worker->entry.draining ||
		    !worker->n_long_running)
			continue;
		for (ref = worker->first_run; ref != GH_NONE;
		     ref = fleet_run(fleet, ref)->next) {
			const fleet_run_t *run = fleet_run(fleet, ref);

			if (run->state == RUN_RUNNING &&
			    fleet_task_step(fleet_job(fleet, run->job),
					    run->task)
				    ->long_running)
				fleet_run_stop(fleet, ref,
					       "its worker is draining", now);
		}
	}
}

static void collect_candidates(gh_fleet_t *fleet, GArray *candidates,
			       gh_time_t now, int64_t wall_ms)
{
	uint32_t i, s;

	for (i = 0; i < fleet->jobs->len; i++) {
		fleet_job_t *job = fleet_job(fleet, i);
		bool rated = false;
		candidate_t c = { .job = i };

		if (!job->spec || job->phase > GH_JOB_RUNNING)
			continue;
		if (!job->idle_since)
			job->idle_since = now;
		for (s = 0; s < job->n_stages; s++) {
			const fleet_stage_t *stage = &job->stages[s];
			uint32_t tasks =
				job->spec->steps[s % job->spec->n_steps].tasks;

			if (stage->tasks_done + stage->tasks_open >= tasks ||
			    !stage_is_ready(job, s, wall_ms))
				continue;
			if (!rated)
				rate_candidate(fleet, job, &c, wall_ms);
			rated = true;
			c.stage = s;
			c.restarts = has_restarts(job, s);
			if (c.restarts)
				g_array_append_val(candidates, c);
			c.restarts = false;
			g_array_append_val(candidates, c);
		}
	}
}

static bool stage_is_ready(const fleet_job_t *job, uint32_t stage,
			   int64_t wall_ms)
{
	uint32_t n_steps = job->spec->n_steps;
	uint32_t occurrence = stage / n_steps;
	const gh_step_t *step = &job->spec->steps[stage % n_steps];
	uint32_t i;

	if (job->spec->occurrences &&
	    wall_ms < job->spec->first_due_ms +
			      (int64_t)occurrence * job->spec->interval_ms)
		return false;
	for (i = 0; i < n_steps; i++)
		if (step->depends_on & 1u << i &&
		    job->stages[occurrence * n_steps + i].tasks_done <
			    job->spec->steps[i].tasks)
			return false;
	return true;
}

/*
 * Whether a long-running task of the stage waits to run again.  Its capacity is
 * not given to tasks that have not run yet: those don't interrupt anything.
 */
static bool has_restarts(const fleet_job_t *job, uint32_t stage)
{
	const gh_step_t *step = &job->spec->steps[stage % job->spec->n_steps];
	uint32_t first = job->stages[stage].first_task;
	uint32_t i;

	if (!step->long_running || step->gang)
		return false;
	for (i = first; i < first + step->tasks; i++)
		if (job->tasks[i].last_run && !job->tasks[i].done &&
		    job->tasks[i].runs[0] == GH_NONE)
			return true;
	return false;
}

static void rate_candidate(const gh_fleet_t *fleet, const fleet_job_t *job,
			   candidate_t *c, int64_t wall_ms)
{
	const gh_queue_policy_t *policy = fleet_job_policy(fleet, job);
	const gh_pipeline_t *spec = job->spec;
	int64_t objective = gh_pipeline_critical_path_ms(spec, UINT32_MAX) *
				    policy->stretch_milli / 1000 +
			    policy->target_ms;
	int64_t age = wall_ms - MAX(spec->accepted_ms, spec->first_due_ms);
	uint32_t open_steps = 0;
	uint32_t i;

	for (i = 0; i < spec->n_steps; i++)
		if (job->stages[i].tasks_done < spec->steps[i].tasks)
			open_steps |= 1u << i;
	c->slack_ms = objective - age -
		      gh_pipeline_critical_path_ms(spec, open_steps) +
		      remaining_core_ms(job) / REMAINING_WORK_DIVISOR;
	c->rank = policy->priority;
	if (gh_pipeline_is_long_running(spec))
		c->slack_ms = objective - age;
	else if (age > VERY_LATE_OBJECTIVES * objective)
		c->rank += RANK_VERY_LATE;
	else if (age > objective)
		c->rank += RANK_LATE;
}

/* Estimated work of the job's tasks that are not done, in core-milliseconds. */
static int64_t remaining_core_ms(const fleet_job_t *job)
{
	/* The estimates of an accepted job can exceed 64 bits. */
	double sum = 0;
	uint32_t s;

	for (s = 0; s < job->n_stages; s++) {
		const gh_step_t *step =
			&job->spec->steps[s % job->spec->n_steps];

		sum += (double)(step->tasks - job->stages[s].tasks_done) *
		       (double)step->estimate_ms * step->size.cores_milli /
		       1000;
	}
	return (int64_t)MIN(sum, REMAINING_CORE_MS_MAX);
}

static int compare_candidates(gconstpointer a, gconstpointer b)
{
	const candidate_t *first = a;
	const candidate_t *second = b;

	if (first->rank != second->rank)
		return first->rank < second->rank ? -1 : 1;
	if (first->restarts != second->restarts)
		return first->restarts ? -1 : 1;
	if (first->slack_ms != second->slack_ms)
		return first->slack_ms < second->slack_ms ? -1 : 1;
	return first->job != second->job ?
		       (first->job < second->job ? -1 : 1) :
		       (first->stage < second->stage ? -1 : 1);
}

static void place_stage(gh_fleet_t *fleet, const candidate_t *c, gh_time_t now)
{
	fleet_job_t *job = fleet_job(fleet, c->job);
	const gh_step_t *step =
		&job->spec->steps[c->stage % job->spec->n_steps];
	uint32_t first = job->stages[c->stage].first_task;
	uint32_t i;

	for (i = first; i < first + step->tasks; i++) {
		const fleet_task_t *task = &job->tasks[i];
		uint32_t worker;

		if (task->done || task->runs[0] != GH_NONE ||
		    now < task->not_before || now < task->late_until ||
		    (c->restarts && !task->last_run))
			continue;
		worker = choose_worker(fleet, job, i, GH_NONE, now);
		if (worker == GH_NONE && fleet_crash_needs_care(task)) {
			if (!c->restarts)
				fleet->counts.pending_tasks++;
			continue;
		}
		if (worker == GH_NONE) {
			if (!c->restarts)
				fleet->counts.pending_tasks +=
					first + step->tasks - i;
			if (step->long_running) {
				report_waiting_stage(fleet, c, i, now);
				fleet_reserve_worker(fleet, c->job, c->stage, i,
						     now);
			}
			return;
		}
		fleet_run_open(fleet, c->job, i, worker, task->last_run + 1,
			       RUN_PLANNED, now);
	}
	if (!c->restarts)
		job->stages[c->stage].waiting_since = 0;
}

/*
 * Emits, for a stage of long-running tasks that has waited for some time, how
 * many workers can't run the task and for which reasons.
 */
static void report_waiting_stage(gh_fleet_t *fleet, const candidate_t *c,
				 uint32_t task, gh_time_t now)
{
	const fleet_job_t *job = fleet_job(fleet, c->job);
	fleet_stage_t *stage = &job->stages[c->stage];
	uint32_t workers[OBSTACLES] = { 0 };
	gh_task_id_t id;
	GString *detail;
	uint32_t i;

	if (!stage->waiting_since) {
		stage->waiting_since = now;
		stage->wait_report_at = now + WAIT_REPORT_USEC;
	}
	if (now < stage->wait_report_at)
		return;
	stage->wait_report_at = now + WAIT_REPORT_PERIOD_USEC;
	for (i = 0; i < fleet->workers->len; i++)
		if (fleet_worker(fleet, i)->in_use)
			workers[find_obstacle(fleet, job, c->stage, i, now)]++;
	detail = g_string_new(NULL);
	g_string_printf(detail, "for %" G_GINT64_FORMAT " ms, workers:",
			gh_time_to_ms(now - stage->waiting_since));
	for (i = 0; i < OBSTACLES; i++)
		if (workers[i])
			g_string_append_printf(detail, " %u %s", workers[i],
					       obstacle_names[i]);
	id = fleet_task_id(job, task);
	fleet_emit_event(fleet, "task_waiting", &id, 0, GH_NONE, detail->str);
	g_string_free(detail, TRUE);
}

static void place_gang(gh_fleet_t *fleet, const candidate_t *c, gh_time_t now)
{
	fleet_job_t *job = fleet_job(fleet, c->job);
	const gh_step_t *step =
		&job->spec->steps[c->stage % job->spec->n_steps];
	fleet_stage_t *stage = &job->stages[c->stage];
	const char *checkpoint = NULL;
	guint n_failed = fleet->failed_placements->len;
	uint32_t number = 0;
	uint32_t i;

	if (stage->tasks_open || now < job->tasks[stage->first_task].not_before)
		return;
	for (i = stage->first_task; i < stage->first_task + step->tasks; i++)
		if (now < job->tasks[i].late_until)
			return;
	if (!gang_may_fit(fleet, job, c->stage, now)) {
		fleet->counts.pending_tasks += step->tasks;
		job->tasks[stage->first_task].not_before =
			now + GANG_RETRY_USEC;
		return;
	}
	for (i = stage->first_task; i < stage->first_task + step->tasks; i++) {
		number = MAX(number, job->tasks[i].last_run + 1);
		if (job->tasks[i].checkpoint)
			checkpoint = job->tasks[i].checkpoint;
	}
	for (i = stage->first_task; i < stage->first_task + step->tasks; i++) {
		uint32_t worker = choose_worker(fleet, job, i, GH_NONE, now);

		if (worker == GH_NONE)
			break;
		if (checkpoint && checkpoint != job->tasks[i].checkpoint) {
			g_free(job->tasks[i].checkpoint);
			job->tasks[i].checkpoint = g_strdup(checkpoint);
		}
		fleet_run_open(fleet, c->job, i, worker, number, RUN_PLANNED,
			       now);
	}
	if (i == stage->first_task + step->tasks)
		return;
	fleet->counts.pending_tasks += step->tasks;
	job->tasks[stage->first_task].not_before = now + GANG_RETRY_USEC;
	if (job->tasks[stage->first_task].runs[0] == GH_NONE)
		return;
	fleet_run_end(fleet, job->tasks[stage->first_task].runs[0],
		      GH_RUN_NOT_STARTED, NULL, now);
	/* The capacity of the gang's runs is free again. */
	g_array_set_size(fleet->failed_placements, n_failed);
}

/*
 * Whether the workers' free capacity suffices for the gang.  The best-effort
 * share may still forbid it.
 */
static bool gang_may_fit(const gh_fleet_t *fleet, const fleet_job_t *job,
			 uint32_t stage, gh_time_t now)
{
	const gh_step_t *step = &job->spec->steps[stage % job->spec->n_steps];
	uint64_t n = 0;
	uint32_t i;

	for (i = 0; i < fleet->workers->len && n < step->tasks; i++) {
		const fleet_worker_t *worker = fleet_worker(fleet, i);

		if (worker->in_use &&
		    find_obstacle(fleet, job, stage, i, now) == OBSTACLE_NONE)
			n += count_fitting(worker, step);
	}
	return n >= step->tasks;
}

/* How many tasks of the step fit into the worker's free capacity. */
static uint32_t count_fitting(const fleet_worker_t *worker,
			      const gh_step_t *step)
{
	const gh_resources_t *size = &worker->entry.size;
	const gh_resources_t *reserved = &worker->reserved;
	uint32_t n = step->max_per_worker ? step->max_per_worker : step->tasks;

	if (step->size.memory_mb)
		n = MIN(n, (size->memory_mb - reserved->memory_mb) /
				   step->size.memory_mb);
	if (step->size.accelerators)
		n = MIN(n, (size->accelerators - reserved->accelerators) /
				   step->size.accelerators);
	if (step->size.cores_milli && !step->best_effort)
		n = MIN(n, (size->cores_milli - reserved->cores_milli) /
				   step->size.cores_milli);
	return n;
}

/* Worker with the lowest cost that may run the task, or GH_NONE. */
static uint32_t choose_worker(gh_fleet_t *fleet, fleet_job_t *job,
			      uint32_t task, uint32_t excluded_worker,
			      gh_time_t now)
{
	uint32_t stage = fleet_stage_index(job, task);
	const gh_step_t *step = &job->spec->steps[stage % job->spec->n_steps];
	const char *rack = step->one_rack ? find_stage_rack(fleet, job, stage) :
					    step->rack;
	uint16_t image = job->image_ids[stage % job->spec->n_steps];
	/*
	 * A job without a run for JOB_IDLE_MAX_USEC must not starve: its task
	 * starts even if the run will be slow.
	 */
	bool overdue =
		!job->open_runs &&
		(job->starved || now - job->idle_since > JOB_IDLE_MAX_USEC);
	failed_placement_t placement = {
		.service = job->spec->service,
		.size = step->size,
		.image_id = image,
		.best_effort = step->best_effort,
		.bounded = step->best_effort && !overdue,
	};
	double best_share = 0;
	/* Workers admit a task with crashes by other criteria. */
	bool has_crashes = fleet_crash_has_any(&job->tasks[task]);
	uint32_t best = GH_NONE;
	int64_t best_cost = INT64_MAX;
	uint32_t i;

	if (!has_crashes && is_known_to_fail(fleet, &placement))
		return GH_NONE;
	for (i = 0; i < fleet->workers->len; i++) {
		fleet_worker_t *worker = fleet_worker(fleet, i);
		double candidate_share = 0;
		int64_t cost;

		fleet->counts.examined++;
		if (i == excluded_worker || !worker->in_use ||
		    find_obstacle(fleet, job, stage, i, now) != OBSTACLE_NONE ||
		    !fleet_crash_admits(fleet, i, &job->tasks[task], now))
			continue;
		cost = placement_cost(fleet, worker, step, rack, image);
		if (step->best_effort) {
			double weight;
			double share = fleet_best_effort_share(
				fleet, worker, step, image, now, &weight);

			if (share > BEST_EFFORT_SHARE_MAX && !overdue)
				continue;
			candidate_share = share;
			cost += (int64_t)((share + weight) *
					  COST_BEST_EFFORT_SHARE);
		}
		if (i == job->tasks[task].avoid_worker)
			cost += COST_AVOIDED_WORKER;
		cost += fleet_crash_cost(fleet, i, &job->tasks[task], now);
		if (cost < best_cost) {
			best_cost = cost;
			best = i;
			best_share = candidate_share;
		}
	}
	if (best != GH_NONE && fleet_crash_needs_care(&job->tasks[task]) &&
	    !fleet_crash_claim(fleet, best, &job->tasks[task], step, now))
		return GH_NONE;
	if (step->best_effort && best != GH_NONE)
		job->starved = best_share > BEST_EFFORT_SHARE_MAX;
	if (best == GH_NONE && !has_crashes && excluded_worker == GH_NONE &&
	    !*step->label &&
	    (!step->max_per_worker || !job->stages[stage].tasks_open))
		note_failed_placement(fleet, job, stage, placement, now);
	return best;
}

/*
 * Remembers a placement that no worker can take.  If one dimension alone is the
 * reason, the least size that fails in it is remembered.
 */
static void note_failed_placement(gh_fleet_t *fleet, const fleet_job_t *job,
				  uint32_t stage, failed_placement_t placement,
				  gh_time_t now)
{
	double cores = 0;
	uint32_t memory_mb = 0;
	uint32_t i;

	for (i = 0; i < fleet->workers->len; i++) {
		fleet_worker_t *worker = fleet_worker(fleet, i);
		const gh_resources_t *size = &worker->entry.size;
		const gh_resources_t *reserved = &worker->reserved;
		obstacle_t obstacle;

		if (!worker->in_use)
			continue;
		obstacle = find_obstacle(fleet, job, stage, i, now);
		if (obstacle != OBSTACLE_NONE &&
		    obstacle != OBSTACLE_NO_CAPACITY)
			continue;
		if (size->memory_mb > reserved->memory_mb)
			memory_mb = MAX(memory_mb,
					size->memory_mb - reserved->memory_mb);
		if (placement.bounded)
			cores = MAX(cores, fleet_best_effort_room(
						   fleet, worker,
						   placement.image_id, now));
		else if (size->cores_milli > reserved->cores_milli)
			cores = MAX(cores,
				    size->cores_milli - reserved->cores_milli);
	}
	if (memory_mb < placement.size.memory_mb)
		placement.size = (gh_resources_t){ .memory_mb = memory_mb + 1 };
	else if ((placement.bounded || !placement.best_effort) &&
		 cores < placement.size.cores_milli)
		placement.size =
			(gh_resources_t){ .cores_milli = (uint32_t)cores + 1 };
	g_array_append_val(fleet->failed_placements, placement);
}

/* Whether a placement that asks for no more failed in this tick. */
static bool is_known_to_fail(const gh_fleet_t *fleet,
			     const failed_placement_t *placement)
{
	guint i;

	for (i = 0; i < fleet->failed_placements->len; i++) {
		const failed_placement_t *failed = &g_array_index(
			fleet->failed_placements, failed_placement_t, i);

		if (failed->best_effort != placement->best_effort ||
		    failed->size.cores_milli > placement->size.cores_milli ||
		    failed->size.memory_mb > placement->size.memory_mb ||
		    failed->size.accelerators > placement->size.accelerators)
			continue;
		if (failed->bounded &&
		    (!placement->bounded ||
		     failed->image_id != placement->image_id))
			continue;
		if (!strcmp(failed->service, placement->service))
			return true;
	}
	return false;
}

/* First reason for which the worker can't run a task of the stage now. */
static obstacle_t find_obstacle(const gh_fleet_t *fleet, const fleet_job_t *job,
				uint32_t stage, uint32_t handle, gh_time_t now)
{
	const fleet_worker_t *worker = fleet_worker(fleet, handle);
	const gh_step_t *step = &job->spec->steps[stage % job->spec->n_steps];
	obstacle_t obstacle = find_state_obstacle(worker, now);

	if (obstacle == OBSTACLE_NONE && !step_fits(worker, step))
		obstacle = OBSTACLE_NO_CAPACITY;
	return obstacle == OBSTACLE_NONE ?
		       find_mismatch(fleet, job, stage, handle, now) :
		       obstacle;
}

bool fleet_plan_lacks_capacity(const gh_fleet_t *fleet, const fleet_job_t *job,
			       uint32_t stage, uint32_t handle, gh_time_t now)
{
	const fleet_worker_t *worker = fleet_worker(fleet, handle);

	return find_state_obstacle(worker, now) == OBSTACLE_NONE &&
	       !step_fits(worker,
			  &job->spec->steps[stage % job->spec->n_steps]) &&
	       find_mismatch(fleet, job, stage, handle, now) == OBSTACLE_NONE;
}

static obstacle_t find_state_obstacle(const fleet_worker_t *worker,
				      gh_time_t now)
{
	if (!worker->listed)
		return OBSTACLE_NOT_LISTED;
	if (worker->entry.draining)
		return OBSTACLE_DRAINING;
	if (!worker->has_reported || worker->unreachable_since)
		return OBSTACLE_UNREACHABLE;
	if (now < worker->late_until)
		return OBSTACLE_LATE_START;
	if (worker->has_unknown_run)
		return OBSTACLE_UNKNOWN_RUN;
	return now < worker->full_until ? OBSTACLE_REFUSED_START :
					  OBSTACLE_NONE;
}

/* Reasons that don't depend on the worker's free capacity. */
static obstacle_t find_mismatch(const gh_fleet_t *fleet, const fleet_job_t *job,
				uint32_t stage, uint32_t handle, gh_time_t now)
{
	const fleet_worker_t *worker = fleet_worker(fleet, handle);
	const gh_step_t *step = &job->spec->steps[stage % job->spec->n_steps];

	if (!fleet_health_is_usable(worker, now))
		return OBSTACLE_QUARANTINE;
	if (strcmp(worker->entry.service, job->spec->service) != 0)
		return OBSTACLE_OTHER_SERVICE;
	if (*step->label && !has_label(worker, step->label))
		return OBSTACLE_LABEL;
	if (step->max_per_worker &&
	    count_stage_runs(fleet, job, stage, handle) >= step->max_per_worker)
		return OBSTACLE_STAGE_LIMIT;
	return OBSTACLE_NONE;
}

static bool has_label(const fleet_worker_t *worker, const char *label)
{
	uint32_t i;

	for (i = 0; i < worker->entry.n_labels; i++)
		if (!strcmp(worker->entry.labels[i], label))
			return true;
	return false;
}

static bool step_fits(const fleet_worker_t *worker, const gh_step_t *step)
{
	const gh_resources_t *size = &worker->entry.size;
	const gh_resources_t *reserved = &worker->reserved;

	return reserved->memory_mb + step->size.memory_mb <= size->memory_mb &&
	       reserved->accelerators + step->size.accelerators <=
		       size->accelerators &&
	       (step->best_effort ||
		reserved->cores_milli + step->size.cores_milli <=
			size->cores_milli);
}

/*
 * Cost of placing a task of the step on the worker.  Tasks of fixed size go
 * where they leave the least capacity unused, so that large free blocks remain.
 * Long-running tasks are packed on few workers, which leaves the others to
 * best-effort tasks.  Best-effort tasks are placed by
 * fleet_best_effort_share(), which the caller adds.
 */
static int64_t placement_cost(const gh_fleet_t *fleet,
			      const fleet_worker_t *worker,
			      const gh_step_t *step, const char *rack,
			      uint16_t image)
{
	int64_t cost = 0;

	if (!step->best_effort)
		cost = (int64_t)worker->entry.size.cores_milli -
		       worker->reserved.cores_milli - step->size.cores_milli;
	if (step->long_running)
		cost = cost / LONG_RUNNING_FIT_DIVISOR +
		       COST_BEST_EFFORT_NEIGHBOUR * worker->n_best_effort;
	if (!step->best_effort)
		cost += image_mix_cost(fleet, worker, step, image);
	if (rack && *rack && strcmp(rack, worker->rack) != 0)
		cost += COST_OTHER_RACK;
	cost += (int64_t)((worker->run_time_ratio - 1) * COST_SLOW_WORKER);
	return cost;
}

/*
 * A best-effort image interferes with some long-running images and not with
 * others.  Long-running tasks of the same image are therefore packed together,
 * and different images are mixed on few workers only, so that most workers can
 * run some best-effort image.  Tasks of fixed size go to the mixed workers.
 */
static int64_t image_mix_cost(const gh_fleet_t *fleet,
			      const fleet_worker_t *worker,
			      const gh_step_t *step, uint16_t image)
{
	int32_t first_image = -1;
	bool mixed = false;
	uint32_t ref;

	for (ref = worker->first_run; ref != GH_NONE && !mixed;
	     ref = fleet_run(fleet, ref)->next) {
		const fleet_run_t *run = fleet_run(fleet, ref);
		uint16_t run_image = fleet_run_image_id(fleet, run);

		if (!fleet_task_step(fleet_job(fleet, run->job), run->task)
			     ->long_running)
			continue;
		mixed = first_image >= 0 && first_image != run_image;
		first_image = run_image;
	}
	if (!step->long_running)
		return mixed ? 0 : COST_FIXED_ON_UNMIXED;
	if (first_image < 0)
		return COST_FIRST_LONG_RUNNING;
	if (mixed)
		return COST_MIXED_IMAGES;
	return first_image == image ? 0 : COST_SECOND_IMAGE;
}

static uint32_t count_stage_runs(const gh_fleet_t *fleet,
				 const fleet_job_t *job, uint32_t stage,
				 uint32_t worker)
{
	uint32_t first = job->stages[stage].first_task;
	uint32_t n = 0;
	uint32_t ref;

	for (ref = fleet_worker(fleet, worker)->first_run; ref != GH_NONE;
	     ref = fleet_run(fleet, ref)->next) {
		const fleet_run_t *run = fleet_run(fleet, ref);

		if (fleet_job(fleet, run->job) == job && run->task >= first &&
		    run->task <
			    first + job->spec->steps[stage % job->spec->n_steps]
					    .tasks)
			n++;
	}
	return n;
}

/*
 * Rack where a task of the stage has an open run, or the preferred rack of the
 * stage's step.
 */
static const char *find_stage_rack(const gh_fleet_t *fleet,
				   const fleet_job_t *job, uint32_t stage)
{
	uint32_t first = job->stages[stage].first_task;
	uint32_t i;

	for (i = first;
	     i < first + job->spec->steps[stage % job->spec->n_steps].tasks;
	     i++)
		if (job->tasks[i].runs[0] != GH_NONE)
			return fleet_worker(
				       fleet,
				       fleet_run(fleet, job->tasks[i].runs[0])
					       ->worker)
				->rack;
	return job->spec->steps[stage % job->spec->n_steps].rack;
}

/*
 * Starts a second run of a task whose run takes far longer than the mean of its
 * stage, or whose worker is unreachable, if the step allows copies.
 */
static void copy_stragglers(gh_fleet_t *fleet, gh_time_t now)
{
	uint32_t n = fleet->runs->len;
	uint32_t i;

	for (i = 0; i < n; i++) {
		const fleet_run_t *run = fleet_run(fleet, i);
		fleet_job_t *job;
		const fleet_stage_t *stage;
		double expected_ms;
		uint32_t worker, task;
		bool slow;

		if (run->state != RUN_RUNNING && run->state != RUN_STARTING &&
		    run->state != RUN_ORPHAN)
			continue;
		job = fleet_job(fleet, run->job);
		if (!fleet_task_step(job, run->task)->speculative ||
		    job->phase > GH_JOB_RUNNING || job->tasks[run->task].done ||
		    job->tasks[run->task].runs[1] != GH_NONE ||
		    fleet_crash_is_suspect(&job->tasks[run->task]))
			continue;
		stage = fleet_task_stage(job, run->task);
		expected_ms = stage->n_run_times ?
				      stage->mean_run_ms :
				      (double)fleet_task_step(job, run->task)
					      ->estimate_ms;
		slow = run->planned_at &&
		       (double)gh_time_to_ms(now - run->planned_at) >
			       MAX(expected_ms * STRAGGLER_FACTOR,
				   STRAGGLER_MIN_MS);
		if (!slow &&
		    !fleet_worker(fleet, run->worker)->unreachable_since)
			continue;
		task = run->task;
		worker = choose_worker(fleet, job, task, run->worker, now);
		if (worker == GH_NONE)
			continue;
		fleet_run_open(fleet, run->job, task, worker,
			       job->tasks[task].last_run + 1, RUN_PLANNED, now);
		fleet->counts.copies++;
	}
}

/*
 * Stops best-effort runs that have had a low pace for some time if another
 * worker can take them.  Only steps that write checkpoints are moved, because
 * the stop saves what was done.
 */
static void move_slow_runs(gh_fleet_t *fleet, gh_time_t now)
{
	uint32_t n = fleet->runs->len;
	uint32_t i;

	for (i = 0; i < n; i++) {
		const fleet_run_t *run = fleet_run(fleet, i);
		fleet_job_t *job;

		if (run->state != RUN_RUNNING || !run->slow_since ||
		    now - run->slow_since < SLOW_BEFORE_MOVE_USEC)
			continue;
		job = fleet_job(fleet, run->job);
		if (!fleet_task_step(job, run->task)->checkpoints ||
		    choose_worker(fleet, job, run->task, run->worker, now) ==
			    GH_NONE)
			continue;
		job->tasks[run->task].avoid_worker = run->worker;
		fleet->counts.moved++;
		fleet_run_stop(
			fleet, i,
			"its pace is low and another worker has capacity", now);
	}
}
