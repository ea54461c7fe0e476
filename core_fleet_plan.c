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
 * start, but for long-running tasks; see core_fleet_reserve.c.  How far ahead
 * tasks are placed is bound; see core_fleet_budget.c.
 */
#include "core_fleet_move.h"

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
/*
 * A worker that reports and has not replied to a run's orders for longer than
 * this gets no other run for as long.
 */
#define ORDER_REPLY_TIMEOUT_USEC (1500 * GH_USEC_PER_MSEC)
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
/* A best-effort run whose pace is low for longer than this is moved. */
#define SLOW_BEFORE_MOVE_USEC (700 * GH_USEC_PER_MSEC)
/* A stage of long-running tasks that waits for longer than this is reported. */
#define WAIT_REPORT_USEC (2 * GH_USEC_PER_SEC)
#define WAIT_REPORT_PERIOD_USEC GH_USEC_PER_SEC

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
static bool has_sent_run(const gh_fleet_t *fleet, const fleet_worker_t *worker);
static void retry_orders(gh_fleet_t *fleet, gh_time_t now);
static bool gets_no_replies(const fleet_worker_t *worker,
			    const fleet_run_t *run, gh_time_t now);
static void void_starts(gh_fleet_t *fleet, fleet_run_t *run, gh_time_t now);
static void stop_long_running_on_draining(gh_fleet_t *fleet, gh_time_t now);
static void collect_candidates(gh_fleet_t *fleet, GArray *candidates,
			       gh_time_t now, int64_t wall_ms);
static bool has_restarts(const fleet_job_t *job, uint32_t stage);
static void rate_candidate(const gh_fleet_t *fleet, const fleet_job_t *job,
			   candidate_t *c, int64_t wall_ms);
static int64_t remaining_core_ms(const fleet_job_t *job);
static int compare_candidates(gconstpointer a, gconstpointer b);
static void place_oldest(gh_fleet_t *fleet, const GArray *candidates,
			 gh_time_t now);
static int compare_idle_jobs(gconstpointer a, gconstpointer b, gpointer fleet);
static void place_candidate(gh_fleet_t *fleet, const candidate_t *c,
			    gh_time_t now);
static void place_stage(gh_fleet_t *fleet, const candidate_t *c, gh_time_t now);
static void place_gang(gh_fleet_t *fleet, const candidate_t *c, gh_time_t now);
static void report_waiting_stage(gh_fleet_t *fleet, const candidate_t *c,
				 uint32_t task, gh_time_t now);
static void copy_stragglers(gh_fleet_t *fleet, gh_time_t now);
static void move_slow_runs(gh_fleet_t *fleet, gh_time_t now);

void gh_fleet_tick(gh_fleet_t *fleet, gh_time_t now, int64_t wall_ms)
{
	GArray *candidates = g_array_new(FALSE, FALSE, sizeof(candidate_t));
	guint i;

	note_tick(fleet, now);
	fleet->wall_ahead_ms = wall_ms - gh_time_to_ms(now);
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
	fleet_budget_begin(fleet, now);
	fleet_choose_begin(fleet);
	collect_candidates(fleet, candidates, now, wall_ms);
	g_array_sort(candidates, compare_candidates);
	fleet->counts.pending_tasks = 0;
	if (fleet_budget_begin_oldest(fleet)) {
		place_oldest(fleet, candidates, now);
		fleet_budget_end_oldest(fleet);
		fleet->counts.pending_tasks = 0;
	}
	for (i = 0; i < candidates->len; i++)
		place_candidate(
			fleet, &g_array_index(candidates, candidate_t, i), now);
	g_array_free(candidates, TRUE);
	fleet_move_decide(fleet, now);
	if (now - fleet->stragglers_checked_at >= STRAGGLER_CHECK_PERIOD_USEC) {
		fleet->stragglers_checked_at = now;
		copy_stragglers(fleet, now);
		move_slow_runs(fleet, now);
	}
	fleet_idle_check(fleet, now, wall_ms);
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
 * that is not sent needs no lease yet: its start order grants one.
 */
static void expire_leases(gh_fleet_t *fleet, gh_time_t now)
{
	uint32_t i;

	for (i = 0; i < fleet->workers->len; i++) {
		fleet_worker_t *worker = fleet_worker(fleet, i);

		if (!worker->in_use || now <= fleet_lease_last_end(worker) ||
		    !has_sent_run(fleet, worker))
			continue;
		fleet_crash_mark_runs(fleet, i, true, now);
		fleet_worker_end_runs(fleet, i, "its lease ran out", now);
		/* The worker may restart before it is heard again. */
		fleet_fence_raise(fleet, fleet_worker(fleet, i));
		fleet_worker_free_if_unused(fleet, i);
	}
}

static bool has_sent_run(const gh_fleet_t *fleet, const fleet_worker_t *worker)
{
	uint32_t ref;

	for (ref = worker->first_run; ref != GH_NONE;
	     ref = fleet_run(fleet, ref)->next)
		if (!fleet_run_is_unsent(fleet_run(fleet, ref)))
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
		if (run->state == RUN_STOPPING) {
			if (gets_no_replies(worker, run, now))
				void_starts(fleet, run, now);
			fleet_order_enqueue(fleet, GH_ORDER_STOP, i);
		} else if (worker->entry.draining || !worker->listed ||
			   (worker->unreachable_since &&
			    now - worker->unreachable_since >
				    START_REPLY_TIMEOUT_USEC)) {
			fleet_run_stop(fleet, i, "no reply to its start", now);
		} else if (gets_no_replies(worker, run, now)) {
			void_starts(fleet, run, now);
			fleet_run_stop(fleet, i, "no reply to its start", now);
		} else if (worker->last_requested_at > run->start_sent_at) {
			/* Else the run may have ended in a former life. */
			fleet_order_enqueue(fleet, GH_ORDER_START, i);
		}
	}
}

/* Whether the worker reports and the run's orders have long got no reply. */
static bool gets_no_replies(const fleet_worker_t *worker,
			    const fleet_run_t *run, gh_time_t now)
{
	return worker->has_reported && !worker->unreachable_since &&
	       worker->last_requested_at > run->start_sent_at &&
	       run->unanswered_since &&
	       now - run->unanswered_since > ORDER_REPLY_TIMEOUT_USEC;
}

/*
 * Sees to it that a report can prove that no start of the run is executed any
 * more: that takes a call with a higher fence.
 */
static void void_starts(gh_fleet_t *fleet, fleet_run_t *run, gh_time_t now)
{
	fleet_worker_t *worker = fleet_worker(fleet, run->worker);

	/* There is no offset higher than the last. */
	if (run->void_fence || run->start_fence == GH_FLEET_EPOCH_STEP - 1)
		return;
	if (worker->fence_offset <= run->start_fence)
		fleet_fence_raise(fleet, worker);
	run->void_fence = worker->fence_offset;
	worker->refused_until = now + ORDER_REPLY_TIMEOUT_USEC;
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

			if (stage->tasks_done + stage->tasks_open +
					    stage->tasks_away >=
				    tasks ||
			    !fleet_stage_is_ready(job, s, wall_ms))
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

bool fleet_stage_is_ready(const fleet_job_t *job, uint32_t stage,
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
		    job->tasks[i].place == PLACE_HERE &&
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

		sum += (double)(step->tasks - job->stages[s].tasks_done -
				job->stages[s].tasks_away) *
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

/*
 * Places tasks of jobs without an open run, by the time since one has run,
 * while their share lasts.
 */
static void place_oldest(gh_fleet_t *fleet, const GArray *candidates,
			 gh_time_t now)
{
	GArray *idle = g_array_new(FALSE, FALSE, sizeof(candidate_t));
	guint i;

	for (i = 0; i < candidates->len; i++) {
		const candidate_t *c =
			&g_array_index(candidates, candidate_t, i);

		if (!fleet_job(fleet, c->job)->open_runs)
			g_array_append_val(idle, *c);
	}
	g_array_sort_with_data(idle, compare_idle_jobs, fleet);
	for (i = 0; i < idle->len; i++)
		place_candidate(fleet, &g_array_index(idle, candidate_t, i),
				now);
	g_array_free(idle, TRUE);
}

static int compare_idle_jobs(gconstpointer a, gconstpointer b, gpointer fleet)
{
	gh_time_t first =
		fleet_job(fleet, ((const candidate_t *)a)->job)->idle_since;
	gh_time_t second =
		fleet_job(fleet, ((const candidate_t *)b)->job)->idle_since;

	if (first != second)
		return first < second ? -1 : 1;
	return compare_candidates(a, b);
}

static void place_candidate(gh_fleet_t *fleet, const candidate_t *c,
			    gh_time_t now)
{
	const fleet_job_t *job = fleet_job(fleet, c->job);
	const gh_step_t *step =
		&job->spec->steps[c->stage % job->spec->n_steps];
	const fleet_stage_t *stage = &job->stages[c->stage];

	/*
	 * One commit starts all tasks of the stage.  Long-running tasks are not
	 * bound: they hold their capacity for long anyway, and those that find
	 * none reserve a worker or move.
	 */
	if (!step->long_running && !fleet_budget_allows_job(fleet, job))
		fleet->counts.pending_tasks += step->tasks - stage->tasks_done -
					       stage->tasks_open -
					       stage->tasks_away;
	else if (step->gang)
		place_gang(fleet, c, now);
	else
		place_stage(fleet, c, now);
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

		if (task->done || task->place != PLACE_HERE ||
		    task->runs[0] != GH_NONE || now < task->not_before ||
		    now < task->late_until || (c->restarts && !task->last_run))
			continue;
		worker = fleet_choose_worker(fleet, job, i, GH_NONE, now);
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
	fleet_job_t *job = fleet_job(fleet, c->job);
	fleet_stage_t *stage = &job->stages[c->stage];
	gh_task_id_t id;
	GString *detail;

	if (!stage->waiting_since) {
		stage->waiting_since = now;
		stage->wait_report_at = now + WAIT_REPORT_USEC;
	}
	if (now < stage->wait_report_at)
		return;
	stage->wait_report_at = now + WAIT_REPORT_PERIOD_USEC;
	detail = g_string_new(NULL);
	g_string_printf(detail, "for %" G_GINT64_FORMAT " ms, ",
			gh_time_to_ms(now - stage->waiting_since));
	fleet_choose_append_obstacles(fleet, job, task, detail, now);
	fleet_rooms_append(fleet, job, fleet_task_step(job, task), detail, now);
	id = fleet_task_id(job, task);
	fleet_emit_event(fleet, "task_waiting", &id, 0, GH_NONE, detail->str);
	g_string_free(detail, TRUE);
}

uint32_t fleet_plan_next_task(const fleet_job_t *job, int64_t wall_ms)
{
	uint32_t open = GH_NONE;
	uint32_t s, i;

	for (s = 0; s < job->n_stages; s++) {
		const fleet_stage_t *stage = &job->stages[s];
		uint32_t tasks = job->spec->steps[s % job->spec->n_steps].tasks;

		if (stage->tasks_done >= tasks ||
		    !fleet_stage_is_ready(job, s, wall_ms))
			continue;
		for (i = stage->first_task; i < stage->first_task + tasks;
		     i++) {
			if (job->tasks[i].done ||
			    job->tasks[i].place != PLACE_HERE)
				continue;
			if (job->tasks[i].runs[0] == GH_NONE)
				return i;
			if (open == GH_NONE)
				open = i;
		}
	}
	return open;
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
	if (!fleet_choose_fits_gang(fleet, job, c->stage, now)) {
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
	fleet_crash_join_waits(&job->tasks[stage->first_task], step->tasks);
	job->gang_desperate =
		fleet_choose_is_desperate(fleet, job, c->stage, now);
	job->gang_overdue = fleet_choose_is_overdue(job, now);
	for (i = stage->first_task; i < stage->first_task + step->tasks; i++) {
		uint32_t worker =
			fleet_choose_worker(fleet, job, i, GH_NONE, now);

		if (worker == GH_NONE)
			break;
		if (checkpoint && checkpoint != job->tasks[i].checkpoint) {
			g_free(job->tasks[i].checkpoint);
			job->tasks[i].checkpoint = g_strdup(checkpoint);
		}
		fleet_run_open(fleet, c->job, i, worker, number, RUN_PLANNED,
			       now);
	}
	job->gang_overdue = job->gang_desperate = false;
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
		if (!fleet_budget_allows(fleet))
			return;
		task = run->task;
		worker =
			fleet_choose_worker(fleet, job, task, run->worker, now);
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
		    fleet_choose_worker(fleet, job, run->task, run->worker,
					now) == GH_NONE)
			continue;
		job->tasks[run->task].avoid_worker = run->worker;
		fleet->counts.moved++;
		fleet_run_stop(
			fleet, i,
			"its pace is low and another worker has capacity", now);
	}
}
