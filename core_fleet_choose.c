/*
 * Choice of a worker for a task: what keeps workers from running it, and which
 * of the others costs least.
 *
 * A size that no worker can take is remembered for the rest of the tick, so
 * that many waiting tasks of a size examine the workers once.
 */
#include "core_fleet_parts.h"

#include <string.h>

/*
 * Costs of placing a task on a worker, in the unit of the basic cost:
 * milli-cores that the worker would have left unused.
 */
#define COST_AVOIDED_WORKER 5000000
#define COST_QUARANTINED_WORKER 10000000000
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
/*
 * A job that has not begun and has no run for longer than this ignores
 * BEST_EFFORT_SHARE_MAX.
 */
#define JOB_IDLE_MAX_USEC (1500 * GH_USEC_PER_MSEC)
/*
 * A task that waits for longer than this ignores quarantines, and needs no
 * worker of its own.
 */
#define DESPERATE_WAIT_USEC (2 * GH_USEC_PER_SEC)
/* The workers are busy from this share of their capacity on. */
#define BUSY_DIVISOR 2
#define COST_IMPOSSIBLE INT64_MAX
/* Cost of a worker with slow runs, multiplied by run_time_ratio - 1. */
#define COST_SLOW_WORKER 100000
/* Cost of a worker that is still slow after its start. */
#define COST_COLD_WORKER 50000

/* Why a worker can't run a task. */
typedef enum obstacle {
	OBSTACLE_NONE,
	OBSTACLE_NOT_LISTED,
	OBSTACLE_DRAINING,
	OBSTACLE_EMPTIED,	  /* its failure domain is */
	OBSTACLE_DOMAINS_UNHEARD, /* which are to be emptied is not known */
	OBSTACLE_UNREACHABLE,	  /* or without a report to this owner yet */
	OBSTACLE_LATE_START,	  /* stops of late starts are awaited */
	OBSTACLE_UNKNOWN_RUN, /* which takes up capacity until it has ended */
	OBSTACLE_NO_CAPACITY,
	OBSTACLE_REFUSED_START, /* lately, for lack of capacity */
	OBSTACLE_QUARANTINE,
	OBSTACLE_OTHER_SERVICE,
	OBSTACLE_LABEL,
	OBSTACLE_STAGE_LIMIT, /* runs the stage's max tasks per worker */
	OBSTACLE_KEPT,	      /* for another task */
	OBSTACLE_SHARE,	      /* the best-effort share is used up */
	OBSTACLES
} obstacle_t;

static const char *const obstacle_names[OBSTACLES] = {
	[OBSTACLE_NONE] = "usable",
	[OBSTACLE_NOT_LISTED] = "unlisted",
	[OBSTACLE_DRAINING] = "draining",
	[OBSTACLE_EMPTIED] = "emptied",
	[OBSTACLE_DOMAINS_UNHEARD] = "domains_unheard",
	[OBSTACLE_UNREACHABLE] = "unheard",
	[OBSTACLE_LATE_START] = "late_start",
	[OBSTACLE_UNKNOWN_RUN] = "unknown_run",
	[OBSTACLE_NO_CAPACITY] = "full",
	[OBSTACLE_REFUSED_START] = "refused",
	[OBSTACLE_QUARANTINE] = "quarantined",
	[OBSTACLE_OTHER_SERVICE] = "other_service",
	[OBSTACLE_LABEL] = "label",
	[OBSTACLE_STAGE_LIMIT] = "spread",
	[OBSTACLE_KEPT] = "kept",
	[OBSTACLE_SHARE] = "share",
};

static uint32_t count_fitting(const fleet_worker_t *worker,
			      const gh_step_t *step);
static int64_t rate_worker(gh_fleet_t *fleet, const fleet_job_t *job,
			   uint32_t task, uint32_t handle,
			   const failed_placement_t *placement, gh_time_t now);
static void note_failed_placement(gh_fleet_t *fleet, const fleet_job_t *job,
				  uint32_t stage, failed_placement_t placement,
				  gh_time_t now);
static bool is_known_to_fail(const gh_fleet_t *fleet,
			     const failed_placement_t *placement);
static obstacle_t find_obstacle(const gh_fleet_t *fleet, const fleet_job_t *job,
				uint32_t stage, uint32_t handle, gh_time_t now);
static obstacle_t find_state_obstacle(const gh_fleet_t *fleet,
				      const fleet_worker_t *worker,
				      gh_time_t now);
static obstacle_t find_mismatch(const gh_fleet_t *fleet, const fleet_job_t *job,
				uint32_t stage, uint32_t handle, gh_time_t now);
static obstacle_t find_placement_obstacle(gh_fleet_t *fleet, fleet_job_t *job,
					  uint32_t task, uint32_t handle,
					  gh_time_t now);
static failed_placement_t describe_placement(const gh_fleet_t *fleet,
					     const fleet_job_t *job,
					     uint32_t task, bool is_second,
					     gh_time_t now);
static bool is_busy(const gh_fleet_t *fleet);
static bool is_admitted(const fleet_worker_t *worker, obstacle_t obstacle,
			bool desperate, gh_time_t now);
static bool has_label(const fleet_worker_t *worker, const char *label);
static bool step_fits(const fleet_worker_t *worker, const gh_step_t *step);
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

void fleet_choose_begin(gh_fleet_t *fleet)
{
	g_array_set_size(fleet->failed_placements, 0);
	fleet->busy = is_busy(fleet);
}

/* Whether half of the workers' capacity is in use. */
static bool is_busy(const gh_fleet_t *fleet)
{
	gh_capacity_t size = { 0 };
	gh_capacity_t used = { 0 };
	uint32_t i;

	for (i = 0; i < fleet->workers->len; i++) {
		const fleet_worker_t *worker = fleet_worker(fleet, i);

		if (!fleet_worker_is_heard(worker))
			continue;
		gh_capacity_add(&size, &worker->entry.size, 1);
		gh_capacity_add(&used, &worker->reserved, 1);
	}
	return used.cores_milli * BUSY_DIVISOR >= size.cores_milli ||
	       used.memory_mb * BUSY_DIVISOR >= size.memory_mb;
}

void fleet_choose_append_obstacles(gh_fleet_t *fleet, fleet_job_t *job,
				   uint32_t task, GString *text, gh_time_t now)
{
	failed_placement_t placement =
		describe_placement(fleet, job, task, false, now);
	uint32_t workers[OBSTACLES] = { 0 };
	uint32_t i;

	for (i = 0; i < fleet->workers->len; i++)
		if (fleet_worker(fleet, i)->in_use)
			workers[find_placement_obstacle(fleet, job, task, i,
							now)]++;
	g_string_append(text, "workers:");
	for (i = 0; i < OBSTACLES; i++)
		if (workers[i])
			g_string_append_printf(text, " %u %s", workers[i],
					       obstacle_names[i]);
	if (workers[OBSTACLE_NONE] && is_known_to_fail(fleet, &placement))
		g_string_append(text, " known_to_fail");
}

bool fleet_choose_fits_gang(const gh_fleet_t *fleet, const fleet_job_t *job,
			    uint32_t stage, gh_time_t now)
{
	const gh_step_t *step = &job->spec->steps[stage % job->spec->n_steps];
	bool desperate = fleet_choose_is_desperate(fleet, job, stage, now);
	uint64_t n = 0;
	uint32_t i;

	for (i = 0; i < fleet->workers->len && n < step->tasks; i++) {
		const fleet_worker_t *worker = fleet_worker(fleet, i);

		if (worker->in_use &&
		    is_admitted(worker,
				find_obstacle(fleet, job, stage, i, now),
				desperate, now))
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

uint32_t fleet_choose_worker(gh_fleet_t *fleet, fleet_job_t *job, uint32_t task,
			     uint32_t excluded_worker, gh_time_t now)
{
	uint32_t stage = fleet_stage_index(job, task);
	const gh_step_t *step = &job->spec->steps[stage % job->spec->n_steps];
	failed_placement_t placement = describe_placement(
		fleet, job, task, excluded_worker != GH_NONE, now);
	/* Workers admit a task with crashes by other criteria. */
	fleet_task_t *t = fleet_task(job, task);
	bool has_crashes = fleet_crash_has_any(t);
	/* Others may have failed as a worker is reserved for this one. */
	bool only_kept = !has_crashes && is_known_to_fail(fleet, &placement);
	uint32_t best = GH_NONE;
	int64_t best_cost = COST_IMPOSSIBLE;
	uint32_t i;

	if (only_kept && now >= fleet_stage(job, stage)->reserved_until)
		return GH_NONE;
	for (i = 0; i < fleet->workers->len; i++) {
		const fleet_worker_t *worker = fleet_worker(fleet, i);
		int64_t cost;

		if (i == excluded_worker || !worker->in_use ||
		    (only_kept && worker->kept_for != t->group))
			continue;
		cost = rate_worker(fleet, job, task, i, &placement, now);
		if (cost < best_cost) {
			best_cost = cost;
			best = i;
		}
	}
	if (best != GH_NONE && placement.careful && fleet_crash_needs_care(t) &&
	    !fleet_crash_claim(fleet, best, t, step, now))
		return GH_NONE;
	if (best == GH_NONE && !has_crashes && !only_kept &&
	    excluded_worker == GH_NONE && !*step->label &&
	    (!step->max_per_worker || !job->open_runs))
		note_failed_placement(fleet, job, stage, placement, now);
	return best;
}

/* Cost of the worker for the task, or COST_IMPOSSIBLE. */
static int64_t rate_worker(gh_fleet_t *fleet, const fleet_job_t *job,
			   uint32_t task, uint32_t handle,
			   const failed_placement_t *placement, gh_time_t now)
{
	fleet_worker_t *worker = fleet_worker(fleet, handle);
	uint32_t stage = fleet_stage_index(job, task);
	const gh_step_t *step = &job->spec->steps[stage % job->spec->n_steps];
	obstacle_t obstacle = find_obstacle(fleet, job, stage, handle, now);
	const fleet_task_t *t;
	int64_t cost;

	fleet->counts.examined++;
	if (!is_admitted(worker, obstacle, !placement->careful, now))
		return COST_IMPOSSIBLE;
	t = fleet_task(job, task);
	if (!fleet_crash_admits(fleet, handle, t, now))
		return COST_IMPOSSIBLE;
	if (placement->leaves_room &&
	    !fleet_headroom_admits(fleet, job, task, worker)) {
		fleet->counts.put_off++;
		return COST_IMPOSSIBLE;
	}
	cost = placement_cost(fleet, worker, step, placement->rack,
			      placement->image_id);
	if (obstacle == OBSTACLE_QUARANTINE)
		cost += COST_QUARANTINED_WORKER;
	if (now < worker->cold_until)
		cost += COST_COLD_WORKER;
	if (step->best_effort) {
		double weight;
		double share = fleet_best_effort_share(
			fleet, worker, step, placement->image_id, now, &weight);

		if (share > BEST_EFFORT_SHARE_MAX && placement->bounded)
			return COST_IMPOSSIBLE;
		cost += (int64_t)((share + weight) * COST_BEST_EFFORT_SHARE);
	}
	if (handle == t->avoid_worker)
		cost += COST_AVOIDED_WORKER;
	return cost + fleet_crash_cost(fleet, handle, t, now);
}

/*
 * A job must not starve: a task of one that has begun starts even if the run
 * will be slow, as does one of a job of which nothing runs for
 * JOB_IDLE_MAX_USEC.
 */
bool fleet_choose_is_overdue(const fleet_job_t *job, gh_time_t now)
{
	if (job->gang_overdue)
		return true;
	if (job->open_runs)
		return job->stalled_since &&
		       now - job->stalled_since > JOB_IDLE_MAX_USEC;
	return job->begun || now - job->idle_since > JOB_IDLE_MAX_USEC;
}

/*
 * While the workers are busy, short tasks wait: a worker that fails them at
 * once is the one that is always free.
 */
bool fleet_choose_is_desperate(const gh_fleet_t *fleet, const fleet_job_t *job,
			       uint32_t stage, gh_time_t now)
{
	bool long_running =
		job->spec->steps[stage % job->spec->n_steps].long_running;
	gh_time_t since = job->open_runs ? job->stalled_since : job->idle_since;

	if (fleet->busy && !long_running)
		return false;
	if (long_running)
		since = fleet_stage(job, stage)->waiting_since;
	return job->gang_desperate ||
	       (since && now - since > DESPERATE_WAIT_USEC);
}

/* Whether the worker may run a task, or one that is desperate. */
static bool is_admitted(const fleet_worker_t *worker, obstacle_t obstacle,
			bool desperate, gh_time_t now)
{
	return obstacle == OBSTACLE_NONE ||
	       (desperate && obstacle == OBSTACLE_QUARANTINE &&
		!fleet_worker_is_barred(worker, now));
}

static failed_placement_t describe_placement(const gh_fleet_t *fleet,
					     const fleet_job_t *job,
					     uint32_t task, bool is_second,
					     gh_time_t now)
{
	const gh_step_t *step = fleet_task_step(job, task);
	uint32_t stage = fleet_stage_index(job, task);

	return (failed_placement_t){
		.service = job->spec->service,
		.rack = step->one_rack ? find_stage_rack(fleet, job, stage) :
					 step->rack,
		.size = step->size,
		.image_id = job->image_ids[stage % job->spec->n_steps],
		.best_effort = step->best_effort,
		.bounded = step->best_effort &&
			   (is_second || !fleet_choose_is_overdue(job, now)),
		.careful = is_second ||
			   !fleet_choose_is_desperate(fleet, job, stage, now),
		.leaves_room = fleet_headroom_is_bound(fleet, job, task, now),
	};
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
		if (obstacle != OBSTACLE_NO_CAPACITY &&
		    !is_admitted(worker, obstacle, !placement.careful, now))
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
		    (failed->leaves_room && !placement->leaves_room) ||
		    failed->size.cores_milli > placement->size.cores_milli ||
		    failed->size.memory_mb > placement->size.memory_mb ||
		    failed->size.accelerators > placement->size.accelerators)
			continue;
		if (failed->careful && !placement->careful)
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
	obstacle_t obstacle = find_state_obstacle(fleet, worker, now);

	if (obstacle == OBSTACLE_NONE && !step_fits(worker, step))
		obstacle = OBSTACLE_NO_CAPACITY;
	return obstacle == OBSTACLE_NONE ?
		       find_mismatch(fleet, job, stage, handle, now) :
		       obstacle;
}

/* The same for a task, with what depends on other tasks. */
static obstacle_t find_placement_obstacle(gh_fleet_t *fleet, fleet_job_t *job,
					  uint32_t task, uint32_t handle,
					  gh_time_t now)
{
	const gh_step_t *step = fleet_task_step(job, task);
	uint32_t stage = fleet_stage_index(job, task);
	obstacle_t obstacle = find_obstacle(fleet, job, stage, handle, now);
	double weight;

	if (obstacle != OBSTACLE_NONE)
		return obstacle;
	if (!fleet_crash_admits(fleet, handle, fleet_task(job, task), now))
		return OBSTACLE_KEPT;
	if (step->best_effort && !fleet_choose_is_overdue(job, now) &&
	    fleet_best_effort_share(fleet, fleet_worker(fleet, handle), step,
				    job->image_ids[stage % job->spec->n_steps],
				    now, &weight) > BEST_EFFORT_SHARE_MAX)
		return OBSTACLE_SHARE;
	return OBSTACLE_NONE;
}

bool fleet_choose_lacks_capacity(const gh_fleet_t *fleet,
				 const fleet_job_t *job, uint32_t stage,
				 uint32_t handle, gh_time_t now)
{
	const fleet_worker_t *worker = fleet_worker(fleet, handle);

	return find_state_obstacle(fleet, worker, now) == OBSTACLE_NONE &&
	       !step_fits(worker,
			  &job->spec->steps[stage % job->spec->n_steps]) &&
	       find_mismatch(fleet, job, stage, handle, now) == OBSTACLE_NONE;
}

bool fleet_choose_has_last_resort(const gh_fleet_t *fleet,
				  const fleet_job_t *job, uint32_t stage,
				  gh_time_t now)
{
	uint32_t i;

	for (i = 0; i < fleet->workers->len; i++) {
		const fleet_worker_t *worker = fleet_worker(fleet, i);

		if (worker->in_use && !fleet_worker_is_barred(worker, now) &&
		    find_obstacle(fleet, job, stage, i, now) ==
			    OBSTACLE_QUARANTINE)
			return true;
	}
	return false;
}

static obstacle_t find_state_obstacle(const gh_fleet_t *fleet,
				      const fleet_worker_t *worker,
				      gh_time_t now)
{
	if (!worker->listed)
		return OBSTACLE_NOT_LISTED;
	if (worker->entry.draining)
		return OBSTACLE_DRAINING;
	if (worker->emptied)
		return OBSTACLE_EMPTIED;
	if (!fleet_domain_is_heard(fleet, now))
		return OBSTACLE_DOMAINS_UNHEARD;
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

	if (strcmp(worker->entry.service, job->spec->service) != 0)
		return OBSTACLE_OTHER_SERVICE;
	if (*step->label && !has_label(worker, step->label))
		return OBSTACLE_LABEL;
	if (step->max_per_worker &&
	    count_stage_runs(fleet, job, stage, handle) >= step->max_per_worker)
		return OBSTACLE_STAGE_LIMIT;
	return fleet_health_is_usable(worker, now) ? OBSTACLE_NONE :
						     OBSTACLE_QUARANTINE;
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
	uint32_t first = fleet_stage(job, stage)->first_task;
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
	uint32_t first = fleet_stage(job, stage)->first_task;
	uint32_t i;

	for (i = first;
	     i < first + job->spec->steps[stage % job->spec->n_steps].tasks;
	     i++)
		if (fleet_task(job, i)->runs[0] != GH_NONE)
			return fleet_worker(
				       fleet,
				       fleet_run(fleet,
						 fleet_task(job, i)->runs[0])
					       ->worker)
				->rack;
	return job->spec->steps[stage % job->spec->n_steps].rack;
}
