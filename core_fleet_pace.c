/*
 * Placement limits and paces of best-effort tasks beside long-running ones.
 *
 * Best-effort tasks are short batch work on the cores that long-running tasks
 * leave unused.  The load of long-running tasks changes periodically, and some
 * pairs of images interfere strongly.  Two things raise the tail latency of a
 * long-running task beyond the effect of its own load:
 *
 * - Its worker has fewer cores than its tasks ask for.  The load of each
 *   long-running job is forecast a short time ahead, and best-effort tasks get
 *   the cores that remain.
 * - A best-effort image interferes with its image.  The weights of the pairs of
 *   images are learned from the measured tail latencies.
 *
 * A best-effort task is placed where it takes the smallest share of what
 * remains by either limit.  Its pace is lowered when a limit is exceeded or a
 * tail latency comes close to its bound.
 */
#include "core_fleet_parts.h"

#include "core_interference.h"

#define PACE_FULL_PERCENT 100
/*
 * Paces are multiples of this step; smaller changes are not worth a call to the
 * worker.
 */
#define PACE_STEP_PERCENT 5
#define PACE_MIN_PERCENT 10	 /* a pace below this is set to 0 */
#define PACE_RISE_MAX_PERCENT 30 /* largest rise of a pace in one update */
#define PACE_LOW_PERCENT 50	 /* a run with a pace below this may be moved */
/*
 * A smaller rise of a pace is not worth a call to the worker, unless it is to
 * 100 %.
 */
#define PACE_RISE_MIN_PERCENT 15
/*
 * Part of the expected interference that placement counts; lower paces absorb
 * the rest.
 */
#define PLACEMENT_INTERFERENCE_FACTOR 0.6
/*
 * Utilisation kept free below the one at which a tail latency is at its bound.
 */
#define UTILISATION_MARGIN 0.05
/* A pair of images with a lower interference weight lowers no pace. */
#define WEIGHT_MIN 0.12
/*
 * Utilisation kept free besides UTILISATION_MARGIN, for errors of the load
 * forecast.
 */
#define FORECAST_ERROR_MARGIN 0.03
/*
 * Period in which the reported gauges (tail latency or milli-cores in use of
 * each run) get new values.
 */
#define SAMPLE_PERIOD_USEC (240 * GH_USEC_PER_MSEC)
/* Period in which paces are updated while decisions are late. */
#define LATE_SAMPLE_PERIOD_USEC (1000 * GH_USEC_PER_MSEC)
/*
 * A reported gauge covers a period in the past; age of the middle of that
 * period when the report is processed.
 */
#define GAUGE_AGE_USEC (250 * GH_USEC_PER_MSEC)
/*
 * Time from the worker's report, after which a pace is set, until the worker
 * applies that pace.
 */
#define PACE_DELAY_USEC (100 * GH_USEC_PER_MSEC)
/*
 * Times ahead of now for which load is forecast: PACE_ while a new pace is in
 * force, PLACE_ while a short task runs.
 */
#define PACE_FROM_USEC (200 * GH_USEC_PER_MSEC)
#define PACE_TO_USEC (600 * GH_USEC_PER_MSEC)
#define PLACE_FROM_USEC (300 * GH_USEC_PER_MSEC)
#define PLACE_TO_USEC (1300 * GH_USEC_PER_MSEC)
#define COLOCATED_AGE_MAX_USEC (200 * GH_USEC_PER_MSEC)
/*
 * Above this utilisation a tail latency gives only a lower bound of the
 * utilisation.
 */
#define UTILISATION_MEASURABLE_MAX 0.95
/*
 * If a tail latency exceeds its bound for longer than this, all best-effort
 * paces on the worker are set to 0.
 */
#define OVER_BOUND_MAX_USEC (1500 * GH_USEC_PER_MSEC)
/* Free utilisation below this counts as none. */
#define FREE_UTILISATION_MIN 0.02
/*
 * Placement share that one unit of added interference counts as on a worker
 * with no free utilisation.
 */
#define SHARE_WITHOUT_CAPACITY 100.0
/*
 * A load sample taken under more interference than this does not update the
 * load forecast.
 */
#define LOAD_SAMPLE_INTERFERENCE_MAX 0.1
/* Part of a worker's cores that placement may bring into use. */
#define PLACED_CORES_MAX 0.95
/* Part of a worker's cores that all its runs together may use under pacing. */
#define PACED_CORES_MAX 1.0
/*
 * If a worker's runs ask for more than this part of its cores, contention for
 * cores distorts the tail latencies, and neither interference weights nor loads
 * are learned.
 */
#define LEARNING_CORES_MAX 0.95
/*
 * Lower limit of the cores left, which are a divisor; avoids a division by
 * zero.
 */
#define LEFT_CORES_MIN_MILLI 500.0

/*
 * Pace assumed for each best-effort run when the load of all on a worker is
 * summed.
 */
typedef enum pace_basis {
	PACE_BASIS_FULL,
	PACE_BASIS_ORDERED, /* the pace last set */
	/* mean pace in the period that the last gauge covers */
	PACE_BASIS_MEASURED
} pace_basis_t;

/* Best-effort load of one worker, by image. */
typedef struct source_list {
	gh_interference_source_t sources[GH_SOURCES_MAX];
	size_t n;
} source_list_t;

static source_list_t collect_sources(const gh_fleet_t *fleet,
				     const fleet_worker_t *worker,
				     pace_basis_t basis);
static double effective_pace(const fleet_run_t *run, pace_basis_t basis,
			     gh_time_t now);
static void sample_tails(gh_fleet_t *fleet, fleet_worker_t *worker,
			 const source_list_t *measured, gh_time_t now);
static void learn_sample(gh_fleet_t *fleet, fleet_run_t *run,
			 const source_list_t *measured, double utilisation,
			 gh_time_t now);
static double interference_pace(gh_fleet_t *fleet, const fleet_worker_t *worker,
				const fleet_run_t *best_effort,
				const source_list_t *measured,
				const source_list_t *ordered);
static double forecast_load_rise(const gh_fleet_t *fleet,
				 const fleet_run_t *run, gh_time_t now);
static double available_cores_pace(const gh_fleet_t *fleet,
				   const fleet_worker_t *worker, gh_time_t now);
static double max_forecast_cores(const gh_fleet_t *fleet,
				 const fleet_worker_t *worker, gh_time_t from,
				 gh_time_t to);
static double forecast_cores(const gh_fleet_t *fleet,
			     const fleet_worker_t *worker, gh_time_t when);
static double best_effort_cores(const gh_fleet_t *fleet,
				const fleet_worker_t *worker);
static double fixed_cores(const fleet_worker_t *worker);
static gh_time_t sample_period(const gh_fleet_t *fleet);
static bool has_tail(const gh_step_t *step, const fleet_run_t *run);
static void note_over_bound(gh_fleet_t *fleet, const fleet_worker_t *worker,
			    gh_time_t now);
static bool is_over_bound(const gh_fleet_t *fleet, const fleet_worker_t *worker,
			  const fleet_run_t *run);
static bool has_run_over_bound(const gh_fleet_t *fleet,
			       const fleet_worker_t *worker);
static double placeable_cores(gh_fleet_t *fleet, fleet_worker_t *worker,
			      gh_time_t now);
static void refresh_colocated(gh_fleet_t *fleet, fleet_worker_t *worker,
			      gh_time_t now);
static void set_pace(gh_fleet_t *fleet, uint32_t ref, double pace);
static double worker_share(const fleet_worker_t *worker, double cores_milli);

void fleet_pace_update(gh_fleet_t *fleet, uint32_t handle, gh_time_t now)
{
	fleet_worker_t *worker = fleet_worker(fleet, handle);
	bool is_due = now - worker->tails_sampled_at >= sample_period(fleet);
	source_list_t measured, ordered;
	double max_pace;
	uint32_t ref;

	/*
	 * The reported gauges (tail latencies, cores in use) get no new values
	 * within one period.
	 */
	if (!is_due && now - worker->gauges_read_at < SAMPLE_PERIOD_USEC)
		return;
	worker->gauges_read_at = now;
	note_over_bound(fleet, worker, now);
	if (!is_due && !has_run_over_bound(fleet, worker))
		return;
	worker->tails_sampled_at = now;
	measured = collect_sources(fleet, worker, PACE_BASIS_MEASURED);
	sample_tails(fleet, worker, &measured, now);
	worker->colocated_stale = true;
	if (!worker->n_best_effort)
		return;
	ordered = collect_sources(fleet, worker, PACE_BASIS_ORDERED);
	max_pace = available_cores_pace(fleet, worker, now);
	for (ref = worker->first_run; ref != GH_NONE;
	     ref = fleet_run(fleet, ref)->next) {
		const fleet_run_t *run = fleet_run(fleet, ref);

		if (run->state != RUN_RUNNING ||
		    !fleet_task_step(fleet_job(fleet, run->job), run->task)
			     ->best_effort)
			continue;
		set_pace(fleet, ref,
			 worker->n_long_running ?
				 MIN(max_pace,
				     interference_pace(fleet, worker, run,
						       &measured, &ordered)) :
				 PACE_FULL_PERCENT);
	}
}

/*
 * Each new pace is a call to a worker.  If decisions are late, as the owner's
 * processor is used up, paces are updated less often.
 */
static gh_time_t sample_period(const gh_fleet_t *fleet)
{
	return fleet_is_late(fleet) ? LATE_SAMPLE_PERIOD_USEC :
				      SAMPLE_PERIOD_USEC;
}

/* Whether the run's gauge is a tail latency that has a bound. */
static bool has_tail(const gh_step_t *step, const fleet_run_t *run)
{
	return step->long_running && step->tail_bound_ms && run->gauge > 0 &&
	       run->progress_percent >= PACE_FULL_PERCENT;
}

/* Notes since when the tail latencies of the last report exceed their bounds.
 */
static void note_over_bound(gh_fleet_t *fleet, const fleet_worker_t *worker,
			    gh_time_t now)
{
	uint32_t ref;

	for (ref = worker->first_run; ref != GH_NONE;
	     ref = fleet_run(fleet, ref)->next) {
		fleet_run_t *run = fleet_run(fleet, ref);
		const gh_step_t *step =
			fleet_task_step(fleet_job(fleet, run->job), run->task);

		if (!has_tail(step, run))
			continue;
		if (run->gauge <= step->tail_bound_ms)
			run->over_bound_since = 0;
		else if (!run->over_bound_since)
			run->over_bound_since = now;
	}
}

/*
 * Whether the run's tail latency exceeds its bound for too long.  The next
 * report to a late owner may come a sample period from now, so it acts that
 * much earlier.
 */
static bool is_over_bound(const gh_fleet_t *fleet, const fleet_worker_t *worker,
			  const fleet_run_t *run)
{
	return run->over_bound_since &&
	       worker->last_report_at - run->over_bound_since >
		       OVER_BOUND_MAX_USEC + SAMPLE_PERIOD_USEC -
			       sample_period(fleet);
}

static bool has_run_over_bound(const gh_fleet_t *fleet,
			       const fleet_worker_t *worker)
{
	uint32_t ref;

	for (ref = worker->first_run; ref != GH_NONE;
	     ref = fleet_run(fleet, ref)->next)
		if (is_over_bound(fleet, worker, fleet_run(fleet, ref)))
			return true;
	return false;
}

double fleet_best_effort_share(gh_fleet_t *fleet, fleet_worker_t *worker,
			       const gh_step_t *step, uint16_t image,
			       gh_time_t now, double *weight)
{
	double cores = worker->best_effort_cores_milli + step->size.cores_milli;
	double share = cores / placeable_cores(fleet, worker, now);
	uint32_t i;

	*weight = 0;
	for (i = 0; i < worker->n_colocated; i++) {
		const fleet_colocated_t *entry = &worker->colocated[i];
		double pair_weight = gh_interference_weight(
			fleet->interference, entry->image_id, image);
		double added = pair_weight *
			       worker_share(worker, step->size.cores_milli);

		*weight = MAX(*weight, pair_weight);
		if (added > 0)
			share = MAX(
				share,
				entry->free_utilisation > FREE_UTILISATION_MIN ?
					PLACEMENT_INTERFERENCE_FACTOR *
						(entry->interference + added) /
						entry->free_utilisation :
					PLACEMENT_INTERFERENCE_FACTOR *
						SHARE_WITHOUT_CAPACITY * added);
	}
	return share;
}

double fleet_best_effort_room(gh_fleet_t *fleet, fleet_worker_t *worker,
			      uint16_t image, gh_time_t now)
{
	double room =
		BEST_EFFORT_SHARE_MAX * placeable_cores(fleet, worker, now) -
		worker->best_effort_cores_milli;
	uint32_t i;

	for (i = 0; i < worker->n_colocated; i++) {
		const fleet_colocated_t *entry = &worker->colocated[i];
		double weight = gh_interference_weight(fleet->interference,
						       entry->image_id, image);
		double added =
			entry->free_utilisation > FREE_UTILISATION_MIN ?
				BEST_EFFORT_SHARE_MAX *
						entry->free_utilisation /
						PLACEMENT_INTERFERENCE_FACTOR -
					entry->interference :
				BEST_EFFORT_SHARE_MAX /
					(PLACEMENT_INTERFERENCE_FACTOR *
					 SHARE_WITHOUT_CAPACITY);

		if (weight > 0)
			room = MIN(room,
				   added / weight *
					   worker->entry.size.cores_milli);
	}
	return MAX(room, 0);
}

/* Milli-cores that placement may give to the worker's best-effort runs. */
static double placeable_cores(gh_fleet_t *fleet, fleet_worker_t *worker,
			      gh_time_t now)
{
	if (worker->colocated_stale ||
	    now - worker->colocated_at > COLOCATED_AGE_MAX_USEC)
		refresh_colocated(fleet, worker, now);
	return MAX(PLACED_CORES_MAX * worker->entry.size.cores_milli -
			   fixed_cores(worker) - worker->forecast_cores_milli,
		   LEFT_CORES_MIN_MILLI);
}

/*
 * Learns loads and interference weights from the tail latencies of the worker's
 * last report.
 */
static void sample_tails(gh_fleet_t *fleet, fleet_worker_t *worker,
			 const source_list_t *measured, gh_time_t now)
{
	double requested_cores =
		fixed_cores(worker) +
		forecast_cores(fleet, worker, now - GAUGE_AGE_USEC) +
		best_effort_cores(fleet, worker);
	bool overcommitted =
		requested_cores >
		LEARNING_CORES_MAX * worker->entry.size.cores_milli;
	uint32_t ref;

	for (ref = worker->first_run; ref != GH_NONE;
	     ref = fleet_run(fleet, ref)->next) {
		fleet_run_t *run = fleet_run(fleet, ref);
		const gh_step_t *step =
			fleet_task_step(fleet_job(fleet, run->job), run->task);

		if (!has_tail(step, run)) {
			run->utilisation = 0;
			continue;
		}
		run->utilisation = gh_interference_tail_utilisation(
			run->gauge, step->tail_bound_ms);
		if (!overcommitted)
			learn_sample(fleet, run, measured, run->utilisation,
				     now - GAUGE_AGE_USEC);
	}
}

static void learn_sample(gh_fleet_t *fleet, fleet_run_t *run,
			 const source_list_t *measured, double utilisation,
			 gh_time_t now)
{
	fleet_stage_t *stage =
		fleet_task_stage(fleet_job(fleet, run->job), run->task);
	uint16_t image = fleet_run_image_id(fleet, run);
	double interference = gh_interference_sum(
		fleet->interference, image, measured->sources, measured->n);
	double error =
		utilisation - gh_load_forecast(stage->load, now) - interference;

	if (utilisation > UTILISATION_MEASURABLE_MAX && error < 0)
		return;
	if (measured->n && gh_load_known(stage->load)) {
		gh_interference_learn(fleet->interference, image,
				      measured->sources, measured->n, error);
		interference =
			gh_interference_sum(fleet->interference, image,
					    measured->sources, measured->n);
	}
	if (interference >= LOAD_SAMPLE_INTERFERENCE_MAX)
		return;
	if (!stage->load)
		stage->load = gh_load_new(fleet->load_periods);
	gh_load_observe(stage->load, utilisation - interference, now);
}

/*
 * Pace of a best-effort run: lowered if it interferes with a long-running run
 * whose tail latency is near its bound, raised otherwise.
 */
static double interference_pace(gh_fleet_t *fleet, const fleet_worker_t *worker,
				const fleet_run_t *best_effort,
				const source_list_t *measured,
				const source_list_t *ordered)
{
	const gh_interference_t *model = fleet->interference;
	uint16_t image = fleet_run_image_id(fleet, best_effort);
	double share = worker_share(
		worker, fleet_task_step(fleet_job(fleet, best_effort->job),
					best_effort->task)
				->size.cores_milli);
	double target =
		gh_interference_bound_utilisation() - UTILISATION_MARGIN;
	double pace = MIN(best_effort->pace_percent + PACE_RISE_MAX_PERCENT,
			  PACE_FULL_PERCENT);
	uint32_t other_ref;

	for (other_ref = worker->first_run; other_ref != GH_NONE;
	     other_ref = fleet_run(fleet, other_ref)->next) {
		const fleet_run_t *run = fleet_run(fleet, other_ref);
		uint16_t other_image = fleet_run_image_id(fleet, run);
		double weight, interference, utilisation;

		if (!run->utilisation)
			continue;
		if (is_over_bound(fleet, worker, run))
			return 0;
		weight = gh_interference_weight(model, other_image, image);
		if (weight < WEIGHT_MIN)
			continue;
		interference = gh_interference_sum(
			model, other_image, ordered->sources, ordered->n);
		utilisation =
			run->utilisation + interference -
			gh_interference_sum(model, other_image,
					    measured->sources, measured->n) +
			forecast_load_rise(fleet, run, worker->last_report_at);
		if (utilisation <= target)
			pace = MIN(pace, best_effort->pace_percent +
						 (target - utilisation) /
							 (weight * share) *
							 PACE_FULL_PERCENT / 2);
		else if (interference > utilisation - target)
			pace = MIN(pace, best_effort->pace_percent *
						 (1 - (utilisation - target) /
							      interference));
		else
			return 0;
	}
	return pace;
}

/*
 * Forecast change of a long-running task's load, from the period that its gauge
 * covers until a new pace is in force.
 */
static double forecast_load_rise(const gh_fleet_t *fleet,
				 const fleet_run_t *run, gh_time_t now)
{
	const gh_load_t *load =
		fleet_task_stage(fleet_job(fleet, run->job), run->task)->load;

	return gh_load_forecast(load, now + PACE_TO_USEC) -
	       gh_load_forecast(load, now - GAUGE_AGE_USEC);
}

/*
 * Pace at which the worker's best-effort runs use just the cores that its other
 * runs are forecast to leave.
 */
static double available_cores_pace(const gh_fleet_t *fleet,
				   const fleet_worker_t *worker, gh_time_t now)
{
	double available_cores =
		PACED_CORES_MAX * worker->entry.size.cores_milli -
		fixed_cores(worker) -
		max_forecast_cores(fleet, worker, now + PACE_FROM_USEC,
				   now + PACE_TO_USEC);
	double requested_cores = worker->best_effort_cores_milli;

	if (requested_cores <= available_cores)
		return PACE_FULL_PERCENT;
	return available_cores > 0 ?
		       available_cores / requested_cores * PACE_FULL_PERCENT :
		       0;
}

/*
 * Milli-cores that the worker's long-running runs are forecast to use, at from
 * or at to, whichever is higher.
 */
static double max_forecast_cores(const gh_fleet_t *fleet,
				 const fleet_worker_t *worker, gh_time_t from,
				 gh_time_t to)
{
	return MAX(forecast_cores(fleet, worker, from),
		   forecast_cores(fleet, worker, to));
}

/*
 * Milli-cores that the worker's long-running runs are forecast to use at a
 * time.
 */
static double forecast_cores(const gh_fleet_t *fleet,
			     const fleet_worker_t *worker, gh_time_t when)
{
	double sum = 0;
	uint32_t ref;

	for (ref = worker->first_run; ref != GH_NONE;
	     ref = fleet_run(fleet, ref)->next) {
		const fleet_run_t *run = fleet_run(fleet, ref);
		fleet_job_t *job = fleet_job(fleet, run->job);
		const gh_step_t *step = fleet_task_step(job, run->task);

		if (step->long_running)
			sum += gh_load_forecast(
				       fleet_task_stage(job, run->task)->load,
				       when) *
			       step->size.cores_milli;
	}
	return sum;
}

/*
 * Milli-cores that the worker's best-effort runs may use at their present
 * paces.
 */
static double best_effort_cores(const gh_fleet_t *fleet,
				const fleet_worker_t *worker)
{
	double sum = 0;
	uint32_t ref;

	for (ref = worker->first_run; ref != GH_NONE;
	     ref = fleet_run(fleet, ref)->next) {
		const fleet_run_t *run = fleet_run(fleet, ref);
		const gh_step_t *step =
			fleet_task_step(fleet_job(fleet, run->job), run->task);

		if (step->best_effort)
			sum += (double)step->size.cores_milli *
			       run->pace_percent / PACE_FULL_PERCENT;
	}
	return sum;
}

static double fixed_cores(const fleet_worker_t *worker)
{
	return (double)worker->reserved.cores_milli -
	       worker->long_running_cores_milli;
}

/*
 * Recomputes, for each long-running stage on the worker, its free utilisation
 * and the interference from best-effort runs.
 */
static void refresh_colocated(gh_fleet_t *fleet, fleet_worker_t *worker,
			      gh_time_t now)
{
	source_list_t full = collect_sources(fleet, worker, PACE_BASIS_FULL);
	uint32_t ref;

	worker->n_colocated = 0;
	worker->colocated_stale = false;
	worker->colocated_at = now;
	worker->forecast_cores_milli = max_forecast_cores(
		fleet, worker, now + PLACE_FROM_USEC, now + PLACE_TO_USEC);
	for (ref = worker->first_run;
	     ref != GH_NONE && worker->n_colocated < GH_COLOCATED_MAX;
	     ref = fleet_run(fleet, ref)->next) {
		const fleet_run_t *run = fleet_run(fleet, ref);
		fleet_job_t *job = fleet_job(fleet, run->job);
		const fleet_stage_t *stage = fleet_task_stage(job, run->task);
		uint16_t image = fleet_run_image_id(fleet, run);
		double load = MAX(
			gh_load_forecast(stage->load, now + PLACE_FROM_USEC),
			gh_load_forecast(stage->load, now + PLACE_TO_USEC));
		uint32_t i;

		if (!fleet_task_step(job, run->task)->long_running)
			continue;
		for (i = 0; i < worker->n_colocated; i++)
			if (worker->colocated[i].stage == stage)
				break;
		if (i < worker->n_colocated)
			continue;
		worker->colocated[worker->n_colocated++] = (fleet_colocated_t){
			.stage = stage,
			.image_id = image,
			.free_utilisation =
				gh_interference_bound_utilisation() -
				UTILISATION_MARGIN - load -
				FORECAST_ERROR_MARGIN,
			.interference =
				gh_interference_sum(fleet->interference, image,
						    full.sources, full.n),
		};
	}
}

static source_list_t collect_sources(const gh_fleet_t *fleet,
				     const fleet_worker_t *worker,
				     pace_basis_t basis)
{
	source_list_t list = { .n = 0 };
	uint32_t ref;

	for (ref = worker->first_run; ref != GH_NONE;
	     ref = fleet_run(fleet, ref)->next) {
		const fleet_run_t *run = fleet_run(fleet, ref);
		const gh_step_t *step =
			fleet_task_step(fleet_job(fleet, run->job), run->task);
		uint16_t image = fleet_run_image_id(fleet, run);
		size_t i;

		if (!step->best_effort ||
		    (basis == PACE_BASIS_MEASURED && run->state != RUN_RUNNING))
			continue;
		for (i = 0; i < list.n; i++)
			if (list.sources[i].image == image)
				break;
		if (i == list.n && list.n == GH_SOURCES_MAX)
			i = list.n - 1;
		else if (i == list.n)
			list.sources[list.n++] =
				(gh_interference_source_t){ .image = image };
		list.sources[i].share +=
			worker_share(worker, step->size.cores_milli) *
			effective_pace(run, basis, worker->last_report_at) /
			PACE_FULL_PERCENT;
	}
	return list;
}

/*
 * Pace of a run on the given basis.  A measured gauge is a mean over a period,
 * so a change of pace shows in it gradually.
 */
static double effective_pace(const fleet_run_t *run, pace_basis_t basis,
			     gh_time_t now)
{
	double fraction;

	if (basis == PACE_BASIS_FULL)
		return PACE_FULL_PERCENT;
	if (basis == PACE_BASIS_ORDERED)
		return run->pace_percent;
	fraction =
		(double)(now - run->pace_effective_at) / (2 * GAUGE_AGE_USEC);
	return run->previous_pace_percent +
	       CLAMP(fraction, 0, 1) *
		       (run->pace_percent - run->previous_pace_percent);
}

uint16_t fleet_run_image_id(const gh_fleet_t *fleet, const fleet_run_t *run)
{
	const fleet_job_t *job = fleet_job(fleet, run->job);

	return job->image_ids[fleet_stage_index(job, run->task) %
			      job->spec->n_steps];
}

static double worker_share(const fleet_worker_t *worker, double cores_milli)
{
	return cores_milli / MAX(worker->entry.size.cores_milli, 1);
}

static void set_pace(gh_fleet_t *fleet, uint32_t ref, double pace)
{
	fleet_run_t *run = fleet_run(fleet, ref);
	const fleet_worker_t *worker = fleet_worker(fleet, run->worker);
	uint32_t percent = (uint32_t)CLAMP(pace, 0, PACE_FULL_PERCENT) /
			   PACE_STEP_PERCENT * PACE_STEP_PERCENT;

	percent = percent < PACE_MIN_PERCENT ? 0 : percent;
	if (percent > run->pace_percent && percent < PACE_FULL_PERCENT &&
	    percent - run->pace_percent < PACE_RISE_MIN_PERCENT)
		return;
	if (percent != run->pace_percent) {
		run->previous_pace_percent = effective_pace(
			run, PACE_BASIS_MEASURED, worker->last_report_at);
		run->pace_effective_at =
			worker->last_report_at + PACE_DELAY_USEC;
	}
	run->pace_percent = percent;
	if (run->pace_percent >= PACE_LOW_PERCENT)
		run->slow_since = 0;
	else if (!run->slow_since)
		run->slow_since = worker->last_report_at;
	if (run->pace_percent == run->pace_sent_percent)
		return;
	run->pace_sent_percent = run->pace_percent;
	fleet->counts.paced++;
	fleet_order_enqueue(fleet, GH_ORDER_PACE, ref);
}
