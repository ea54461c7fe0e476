/*
 * Task ordering and placement: which task starts next, and on which worker.
 *
 * Handles bursts that ask for more than the workers' free capacity.  Jobs that
 * can still meet their objective are ordered by priority, then by slack: the
 * time left after their remaining critical path, by expected run times
 * (core_fleet_times.c).  Jobs past their objective come next, and jobs several
 * objectives late come last, because their result is of little use by then.
 * Among jobs of one priority, long-running tasks that have run before come
 * first, and those that have not come last while they leave room to short ones
 * (core_headroom.h).  A stage starts as many tasks as fit; the others wait
 * without reserving capacity, so that smaller tasks behind them can start, but
 * for long-running tasks; see core_fleet_reserve.c.  How far ahead tasks are
 * placed is bound; see core_fleet_budget.c.
 */
#include "core_fleet_move.h"
#include "core_fleet_times.h"

#include <string.h>

/* A job older than this many times its objective is ranked last. */
#define VERY_LATE_OBJECTIVES 3
/* A job gets 1/20 of its remaining work as extra slack: large jobs yield. */
#define REMAINING_WORK_DIVISOR 20
/*
 * Added to the priority of a job past its objective; larger than any priority.
 */
#define RANK_LATE 1000
#define RANK_VERY_LATE 2000
#define GANG_RETRY_USEC (100 * GH_USEC_PER_MSEC)
/* A stage of long-running tasks that waits for longer than this is reported. */
#define WAIT_REPORT_USEC (2 * GH_USEC_PER_SEC)
#define WAIT_REPORT_PERIOD_USEC GH_USEC_PER_SEC

typedef struct candidate {
	uint32_t job, stage;
	uint32_t rank;
	/* Only the stage's tasks that had a run before, which are to last. */
	bool restarts;
	/* New long-running tasks, which leave room to urgent short ones. */
	bool yields;
	/*
	 * Time left to the job's objective, less its remaining critical path.
	 */
	int64_t slack_ms;
} candidate_t;

static void collect_candidates(gh_fleet_t *fleet, GArray *candidates,
			       gh_time_t now, int64_t wall_ms);
static bool has_restarts(const fleet_job_t *job, uint32_t stage);
static void rate_candidate(const gh_fleet_t *fleet, const fleet_job_t *job,
			   candidate_t *c, gh_time_t now, int64_t wall_ms);
static int compare_candidates(gconstpointer a, gconstpointer b);
static void place_oldest(gh_fleet_t *fleet, const GArray *candidates,
			 gh_time_t now);
static int compare_idle_jobs(gconstpointer a, gconstpointer b, gpointer fleet);
static void place_candidate(gh_fleet_t *fleet, const candidate_t *c,
			    gh_time_t now);
static void place_stage(gh_fleet_t *fleet, const candidate_t *c, gh_time_t now);
static void report_waiting_stage(gh_fleet_t *fleet, const candidate_t *c,
				 uint32_t task, gh_time_t now);
static void place_gang(gh_fleet_t *fleet, const candidate_t *c, gh_time_t now);

void fleet_plan_place(gh_fleet_t *fleet, gh_time_t now, int64_t wall_ms)
{
	GArray *candidates = g_array_new(FALSE, FALSE, sizeof(candidate_t));
	guint i;

	fleet_occurrences_update(fleet, now, wall_ms);
	collect_candidates(fleet, candidates, now, wall_ms);
	g_array_sort(candidates, compare_candidates);
	fleet->counts.pending_tasks = 0;
	if (fleet_budget_begin_oldest(fleet)) {
		place_oldest(fleet, candidates, now);
		fleet_budget_end_oldest(fleet);
		fleet->counts.pending_tasks = 0;
		fleet_headroom_forget_waiting(fleet);
	}
	for (i = 0; i < candidates->len; i++)
		place_candidate(
			fleet, &g_array_index(candidates, candidate_t, i), now);
	g_array_free(candidates, TRUE);
}

static void collect_candidates(gh_fleet_t *fleet, GArray *candidates,
			       gh_time_t now, int64_t wall_ms)
{
	uint32_t i, n;

	for (i = 0; i < fleet->jobs->len; i++) {
		fleet_job_t *job = fleet_job(fleet, i);
		bool rated = false;
		candidate_t c = { .job = i };

		if (!job->spec || job->phase > GH_JOB_RUNNING)
			continue;
		if (!job->idle_since)
			job->idle_since = now;
		if (job->aside_until)
			continue;
		for (n = 0; n < fleet_resident_stage_count(job); n++) {
			uint32_t s;
			const fleet_stage_t *stage =
				fleet_resident_stage(job, n, &s);
			uint32_t tasks =
				job->spec->steps[s % job->spec->n_steps].tasks;

			if (stage->tasks_done + stage->tasks_open +
					    stage->tasks_away >=
				    tasks ||
			    !fleet_stage_is_ready(job, s, wall_ms))
				continue;
			if (!rated)
				rate_candidate(fleet, job, &c, now, wall_ms);
			rated = true;
			job->rank = c.rank;
			c.stage = s;
			c.restarts = has_restarts(job, s);
			c.yields = false;
			if (c.restarts)
				g_array_append_val(candidates, c);
			c.restarts = false;
			c.yields = fleet_headroom_yields(fleet, job,
							 stage->first_task);
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
		    fleet_stage(job, occurrence * n_steps + i)->tasks_done <
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
	uint32_t first = fleet_stage(job, stage)->first_task;
	uint32_t i;

	if (!step->long_running || step->gang)
		return false;
	for (i = first; i < first + step->tasks; i++) {
		const fleet_task_t *task = fleet_task(job, i);

		if (task->last_run && !task->done &&
		    task->place == PLACE_HERE && task->runs[0] == GH_NONE)
			return true;
	}
	return false;
}

static void rate_candidate(const gh_fleet_t *fleet, const fleet_job_t *job,
			   candidate_t *c, gh_time_t now, int64_t wall_ms)
{
	const gh_pipeline_t *spec = job->spec;
	int64_t objective = fleet_times_objective_ms(fleet, job, now);
	int64_t age = wall_ms - MAX(spec->accepted_ms, spec->first_due_ms);
	uint32_t open_steps = 0;
	uint32_t i;

	for (i = 0; i < spec->n_steps; i++)
		if (fleet_stage(job, i)->tasks_done < spec->steps[i].tasks)
			open_steps |= 1u << i;
	c->slack_ms = objective - age -
		      fleet_times_path_ms(fleet, job, open_steps, now) +
		      fleet_times_remaining_core_ms(fleet, job, now) /
			      REMAINING_WORK_DIVISOR;
	c->rank = fleet_job_policy(fleet, job)->priority;
	if (gh_pipeline_is_long_running(spec))
		c->slack_ms = objective - age;
	else if (age > VERY_LATE_OBJECTIVES * objective)
		c->rank += RANK_VERY_LATE;
	else if (age > objective)
		c->rank += RANK_LATE;
}

static int compare_candidates(gconstpointer a, gconstpointer b)
{
	const candidate_t *first = a;
	const candidate_t *second = b;

	if (first->rank != second->rank)
		return first->rank < second->rank ? -1 : 1;
	if (first->restarts != second->restarts)
		return first->restarts ? -1 : 1;
	if (first->yields != second->yields)
		return first->yields ? 1 : -1;
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
	const fleet_stage_t *stage = fleet_stage(job, c->stage);

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
	uint32_t first = fleet_stage(job, c->stage)->first_task;
	uint32_t i;

	for (i = first; i < first + step->tasks; i++) {
		const fleet_task_t *task = fleet_task(job, i);
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
			if (c->rank < RANK_VERY_LATE)
				fleet_headroom_note_waiting(
					fleet, job, step,
					first + step->tasks - i);
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
		fleet_stage(job, c->stage)->waiting_since = 0;
}

/*
 * Emits, for a stage of long-running tasks that has waited for some time, how
 * many workers can't run the task and for which reasons.
 */
static void report_waiting_stage(gh_fleet_t *fleet, const candidate_t *c,
				 uint32_t task, gh_time_t now)
{
	fleet_job_t *job = fleet_job(fleet, c->job);
	fleet_stage_t *stage = fleet_stage(job, c->stage);
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
	uint32_t n, i;

	for (n = 0; n < fleet_resident_stage_count(job); n++) {
		uint32_t s;
		const fleet_stage_t *stage = fleet_resident_stage(job, n, &s);
		uint32_t tasks = job->spec->steps[s % job->spec->n_steps].tasks;

		if (stage->tasks_done >= tasks ||
		    !fleet_stage_is_ready(job, s, wall_ms))
			continue;
		for (i = stage->first_task; i < stage->first_task + tasks;
		     i++) {
			if (fleet_task(job, i)->done ||
			    fleet_task(job, i)->place != PLACE_HERE)
				continue;
			if (fleet_task(job, i)->runs[0] == GH_NONE)
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
	fleet_stage_t *stage = fleet_stage(job, c->stage);
	const char *checkpoint = NULL;
	guint n_failed = fleet->failed_placements->len;
	uint32_t number = 0;
	uint32_t i;

	if (stage->tasks_open ||
	    now < fleet_task(job, stage->first_task)->not_before)
		return;
	for (i = stage->first_task; i < stage->first_task + step->tasks; i++)
		if (now < fleet_task(job, i)->late_until)
			return;
	if (!fleet_choose_fits_gang(fleet, job, c->stage, now)) {
		fleet->counts.pending_tasks += step->tasks;
		fleet_task(job, stage->first_task)->not_before =
			now + GANG_RETRY_USEC;
		return;
	}
	for (i = stage->first_task; i < stage->first_task + step->tasks; i++) {
		number = MAX(number, fleet_task(job, i)->last_run + 1);
		if (fleet_task(job, i)->checkpoint)
			checkpoint = fleet_task(job, i)->checkpoint;
	}
	fleet_crash_join_waits(fleet_task(job, stage->first_task), step->tasks);
	job->gang_desperate =
		fleet_choose_is_desperate(fleet, job, c->stage, now);
	job->gang_overdue = fleet_choose_is_overdue(job, now);
	for (i = stage->first_task; i < stage->first_task + step->tasks; i++) {
		uint32_t worker =
			fleet_choose_worker(fleet, job, i, GH_NONE, now);

		if (worker == GH_NONE)
			break;
		if (checkpoint &&
		    checkpoint != fleet_task(job, i)->checkpoint) {
			g_free(fleet_task(job, i)->checkpoint);
			fleet_task(job, i)->checkpoint = g_strdup(checkpoint);
		}
		fleet_run_open(fleet, c->job, i, worker, number, RUN_PLANNED,
			       now);
	}
	job->gang_overdue = job->gang_desperate = false;
	if (i == stage->first_task + step->tasks)
		return;
	fleet->counts.pending_tasks += step->tasks;
	fleet_task(job, stage->first_task)->not_before = now + GANG_RETRY_USEC;
	if (fleet_task(job, stage->first_task)->runs[0] == GH_NONE)
		return;
	fleet_run_end(fleet, fleet_task(job, stage->first_task)->runs[0],
		      GH_RUN_NOT_STARTED, NULL, now);
	/* The capacity of the gang's runs is free again. */
	g_array_set_size(fleet->failed_placements, n_failed);
}
