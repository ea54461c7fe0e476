/*
 * Where filling tasks go and how fast they may run beside lasting ones.
 *
 * Load answered: short batch work on cores that lasting tasks leave unused,
 * while the load of these moves in waves and some pairs of images get on
 * badly.  Two things raise the tail of a lasting task beyond its own load:
 * a worker whose tasks ask for more cores than it has, and filling tasks of
 * an image that disturbs its own.  The first is met by counting: the load of
 * each lasting job is followed a little ahead, and what fills gets the cores
 * that it leaves.  The second is learned by pairs of images.  What fills is
 * placed where it takes the least part of what is left by either count, and
 * paced where a count runs over or a tail nears its bound all the same.
 */
#include "core_fleet_state.h"

#include "core_interference.h"

#define PACE_FULL 100
#define PACE_GRAIN 5	    /* percent; smaller changes are not worth a call */
#define PACE_LEAST 10	    /* below it a task stands still instead */
#define PACE_RISE 30	    /* percent, at one look */
#define PACE_LOW 50	    /* percent; below it a task is better moved */
#define PACE_RISE_LEAST 15  /* percent; a smaller rise is not worth a call */
#define PRESS_PLACED 0.6    /* of the press, in placing; paces do the rest */
#define USE_MARGIN 0.05	    /* kept free below the bound */
#define WEIGHT_PRESSES 0.12 /* a pair below it is none to blame */
#define LOAD_ERROR 0.03	    /* of a forecast; kept free as well */
#define LOOK_PERIOD (240 * GH_USEC_PER_MSEC)  /* of the gauge */
#define GAUGE_AGE (250 * GH_USEC_PER_MSEC)    /* middle of what it covers */
#define PACE_LATENCY (100 * GH_USEC_PER_MSEC) /* of a worker, for a pace */
/* While a pace is in force, and while a short task runs. */
#define PACE_FROM (200 * GH_USEC_PER_MSEC)
#define PACE_TO (600 * GH_USEC_PER_MSEC)
#define PLACE_FROM (300 * GH_USEC_PER_MSEC)
#define PLACE_TO (1300 * GH_USEC_PER_MSEC)
#define SEATS_LAST (200 * GH_USEC_PER_MSEC) /* until they are found anew */
#define USE_WORST 0.95 /* above it only a lower bound is seen */
#define OVER_MOST (1500 * GH_USEC_PER_MSEC) /* over it; then all stops */
#define ROOM_LEAST 0.02			    /* of use; less is none */
#define SHARE_NONE 100.0		    /* no room at all */
#define PRESS_CLEAR 0.1	  /* of use; under more press a load is not read off */
#define CORES_PLACED 0.95 /* of a worker's cores, that may be in use */
#define CORES_PACED 1.0	  /* the same for what runs already */
#define CORES_LEARN 0.95  /* fuller ones teach nothing of pairs and loads */
#define CORES_LEAST 500.0 /* milli-cores; avoids a division by nothing */

/* At which pace filling tasks are counted. */
typedef enum fills {
	FILLS_FULL, /* at full pace */
	FILLS_NOW,  /* as ordered last */
	FILLS_SEEN  /* as the gauges of their neighbours have seen them */
} fills_t;

/* What fills one worker, by image. */
typedef struct fill_list {
	gh_interference_source_t fills[GH_FILLS_MAX];
	size_t n;
} fill_list_t;

static fill_list_t fills_of(const gh_fleet_t *fleet,
			    const fleet_worker_t *worker, fills_t how);
static double pace_of(const fleet_run_t *run, fills_t how, gh_time_t now);
static void look(gh_fleet_t *fleet, fleet_worker_t *worker,
		 const fill_list_t *seen, gh_time_t now);
static void learn(gh_fleet_t *fleet, fleet_run_t *run, const fill_list_t *seen,
		  double use, gh_time_t now);
static double pair_pace(gh_fleet_t *fleet, const fleet_worker_t *worker,
			const fleet_run_t *fill, const fill_list_t *seen,
			const fill_list_t *ordered);
static double load_rise(const gh_fleet_t *fleet, const fleet_run_t *run,
			gh_time_t now);
static double cores_pace(const gh_fleet_t *fleet, const fleet_worker_t *worker,
			 gh_time_t now);
static double serving_most(const gh_fleet_t *fleet,
			   const fleet_worker_t *worker, gh_time_t from,
			   gh_time_t to);
static double serving_cores(const gh_fleet_t *fleet,
			    const fleet_worker_t *worker, gh_time_t when);
static double filling_cores(const gh_fleet_t *fleet,
			    const fleet_worker_t *worker);
static double fixed_cores(const fleet_worker_t *worker);
static void refresh_seats(gh_fleet_t *fleet, fleet_worker_t *worker,
			  gh_time_t now);
static void set_pace(gh_fleet_t *fleet, uint32_t ref, double pace);
static double share_of(const fleet_worker_t *worker, double cores_milli);

void fleet_pace_worker(gh_fleet_t *fleet, uint32_t handle, gh_time_t now)
{
	fleet_worker_t *worker = fleet_worker(fleet, handle);
	fill_list_t seen, ordered;
	double most;
	uint32_t ref;

	/* Within one period of the gauge nothing new is seen. */
	if (now - worker->looked < LOOK_PERIOD)
		return;
	worker->looked = now;
	seen = fills_of(fleet, worker, FILLS_SEEN);
	look(fleet, worker, &seen, now);
	worker->seats_old = true;
	if (!worker->fills)
		return;
	ordered = fills_of(fleet, worker, FILLS_NOW);
	most = cores_pace(fleet, worker, now);
	for (ref = worker->runs; ref != GH_NONE;
	     ref = fleet_run(fleet, ref)->next) {
		const fleet_run_t *run = fleet_run(fleet, ref);

		if (run->state != RUN_RUNNING ||
		    !fleet_step_of(fleet_job(fleet, run->job), run->task)
			     ->best_effort)
			continue;
		set_pace(fleet, ref,
			 worker->lasting ?
				 MIN(most, pair_pace(fleet, worker, run, &seen,
						     &ordered)) :
				 PACE_FULL);
	}
}

double fleet_fill_share(gh_fleet_t *fleet, fleet_worker_t *worker,
			const gh_step_t *step, uint16_t image, gh_time_t now,
			double *weight)
{
	double cores = worker->fill_cores + step->size.cores_milli;
	double left;
	double share;
	uint32_t i;

	if (worker->seats_old || now - worker->seats_at > SEATS_LAST)
		refresh_seats(fleet, worker, now);
	left = CORES_PLACED * worker->entry.size.cores_milli -
	       fixed_cores(worker) - worker->serving;
	share = cores / MAX(left, CORES_LEAST);
	*weight = 0;
	for (i = 0; i < worker->n_seats; i++) {
		const fleet_seat_t *seat = &worker->seats[i];
		double pair = gh_interference_weight(fleet->press, seat->image,
						     image);
		double add = pair * share_of(worker, step->size.cores_milli);

		*weight = MAX(*weight, pair);
		if (add > 0)
			share = MAX(share,
				    seat->room > ROOM_LEAST ?
					    PRESS_PLACED * (seat->press + add) /
						    seat->room :
					    PRESS_PLACED * SHARE_NONE * add);
	}
	return share;
}

/* Takes in the tails of one list. */
static void look(gh_fleet_t *fleet, fleet_worker_t *worker,
		 const fill_list_t *seen, gh_time_t now)
{
	double asked = fixed_cores(worker) +
		       serving_cores(fleet, worker, now - GAUGE_AGE) +
		       filling_cores(fleet, worker);
	bool full = asked > CORES_LEARN * worker->entry.size.cores_milli;
	uint32_t ref;

	for (ref = worker->runs; ref != GH_NONE;
	     ref = fleet_run(fleet, ref)->next) {
		fleet_run_t *run = fleet_run(fleet, ref);
		const gh_step_t *step =
			fleet_step_of(fleet_job(fleet, run->job), run->task);

		if (!step->long_running || !step->tail_bound_ms ||
		    run->gauge <= 0 || run->percent < PACE_FULL) {
			run->use = 0;
			continue;
		}
		run->use = gh_interference_tail_utilisation(
			run->gauge, step->tail_bound_ms);
		if (run->gauge <= step->tail_bound_ms)
			run->over_since = 0;
		else if (!run->over_since)
			run->over_since = now;
		if (!full)
			learn(fleet, run, seen, run->use, now - GAUGE_AGE);
	}
}

static void learn(gh_fleet_t *fleet, fleet_run_t *run, const fill_list_t *seen,
		  double use, gh_time_t now)
{
	fleet_stage_t *stage =
		fleet_stage_of(fleet_job(fleet, run->job), run->task);
	uint16_t image = fleet_image_of(fleet, run);
	double press =
		gh_interference_sum(fleet->press, image, seen->fills, seen->n);
	double error = use - gh_load_forecast(stage->load, now) - press;

	if (use > USE_WORST && error < 0)
		return;
	if (seen->n && gh_load_known(stage->load)) {
		gh_interference_learn(fleet->press, image, seen->fills, seen->n,
				      error);
		press = gh_interference_sum(fleet->press, image, seen->fills,
					    seen->n);
	}
	if (press >= PRESS_CLEAR)
		return;
	if (!stage->load)
		stage->load = gh_load_new(fleet->wave);
	gh_load_observe(stage->load, use - press, now);
}

/* Slows a task that presses on one near its bound, else lets it go faster. */
static double pair_pace(gh_fleet_t *fleet, const fleet_worker_t *worker,
			const fleet_run_t *fill, const fill_list_t *seen,
			const fill_list_t *ordered)
{
	const gh_interference_t *model = fleet->press;
	uint16_t image = fleet_image_of(fleet, fill);
	double share = share_of(
		worker, fleet_step_of(fleet_job(fleet, fill->job), fill->task)
				->size.cores_milli);
	double goal = gh_interference_bound_utilisation() - USE_MARGIN;
	double pace = MIN(fill->pace + PACE_RISE, PACE_FULL);
	uint32_t other;

	for (other = worker->runs; other != GH_NONE;
	     other = fleet_run(fleet, other)->next) {
		const fleet_run_t *run = fleet_run(fleet, other);
		uint16_t serving = fleet_image_of(fleet, run);
		double weight, press, use;

		if (!run->use)
			continue;
		if (run->over_since &&
		    worker->held_at - run->over_since > OVER_MOST)
			return 0;
		weight = gh_interference_weight(model, serving, image);
		if (weight < WEIGHT_PRESSES)
			continue;
		press = gh_interference_sum(model, serving, ordered->fills,
					    ordered->n);
		use = run->use + press -
		      gh_interference_sum(model, serving, seen->fills,
					  seen->n) +
		      load_rise(fleet, run, worker->held_at);
		if (use <= goal)
			pace = MIN(pace, fill->pace + (goal - use) /
							      (weight * share) *
							      PACE_FULL / 2);
		else if (press > use - goal)
			pace = MIN(pace,
				   fill->pace * (1 - (use - goal) / press));
		else
			return 0;
	}
	return pace;
}

/* Of a lasting task, from what its gauge covers until a pace is in force. */
static double load_rise(const gh_fleet_t *fleet, const fleet_run_t *run,
			gh_time_t now)
{
	const gh_load_t *load =
		fleet_stage_of(fleet_job(fleet, run->job), run->task)->load;

	return gh_load_forecast(load, now + PACE_TO) -
	       gh_load_forecast(load, now - GAUGE_AGE);
}

/* Pace at which all that fills has just the cores that the others leave. */
static double cores_pace(const gh_fleet_t *fleet, const fleet_worker_t *worker,
			 gh_time_t now)
{
	double left =
		CORES_PACED * worker->entry.size.cores_milli -
		fixed_cores(worker) -
		serving_most(fleet, worker, now + PACE_FROM, now + PACE_TO);
	double asked = worker->fill_cores;

	if (asked <= left)
		return PACE_FULL;
	return left > 0 ? left / asked * PACE_FULL : 0;
}

/* The higher of the uses forecast for two times. */
static double serving_most(const gh_fleet_t *fleet,
			   const fleet_worker_t *worker, gh_time_t from,
			   gh_time_t to)
{
	return MAX(serving_cores(fleet, worker, from),
		   serving_cores(fleet, worker, to));
}

/* Milli-cores that the lasting tasks will use, by the load of their jobs. */
static double serving_cores(const gh_fleet_t *fleet,
			    const fleet_worker_t *worker, gh_time_t when)
{
	double sum = 0;
	uint32_t ref;

	for (ref = worker->runs; ref != GH_NONE;
	     ref = fleet_run(fleet, ref)->next) {
		const fleet_run_t *run = fleet_run(fleet, ref);
		fleet_job_t *job = fleet_job(fleet, run->job);
		const gh_step_t *step = fleet_step_of(job, run->task);

		if (step->long_running)
			sum += gh_load_forecast(
				       fleet_stage_of(job, run->task)->load,
				       when) *
			       step->size.cores_milli;
	}
	return sum;
}

/* Milli-cores that all that fills asks for as paced. */
static double filling_cores(const gh_fleet_t *fleet,
			    const fleet_worker_t *worker)
{
	double sum = 0;
	uint32_t ref;

	for (ref = worker->runs; ref != GH_NONE;
	     ref = fleet_run(fleet, ref)->next) {
		const fleet_run_t *run = fleet_run(fleet, ref);
		const gh_step_t *step =
			fleet_step_of(fleet_job(fleet, run->job), run->task);

		if (step->best_effort)
			sum += (double)step->size.cores_milli * run->pace /
			       PACE_FULL;
	}
	return sum;
}

static double fixed_cores(const fleet_worker_t *worker)
{
	return (double)worker->held.cores_milli - worker->lasting_cores;
}

/* Each job that lasts here, with the room it has and what presses on it. */
static void refresh_seats(gh_fleet_t *fleet, fleet_worker_t *worker,
			  gh_time_t now)
{
	fill_list_t full = fills_of(fleet, worker, FILLS_FULL);
	uint32_t ref;

	worker->n_seats = 0;
	worker->seats_old = false;
	worker->seats_at = now;
	worker->serving =
		serving_most(fleet, worker, now + PLACE_FROM, now + PLACE_TO);
	for (ref = worker->runs;
	     ref != GH_NONE && worker->n_seats < GH_SEATS_MAX;
	     ref = fleet_run(fleet, ref)->next) {
		const fleet_run_t *run = fleet_run(fleet, ref);
		fleet_job_t *job = fleet_job(fleet, run->job);
		const fleet_stage_t *stage = fleet_stage_of(job, run->task);
		uint16_t image = fleet_image_of(fleet, run);
		double load =
			MAX(gh_load_forecast(stage->load, now + PLACE_FROM),
			    gh_load_forecast(stage->load, now + PLACE_TO));
		uint32_t i;

		if (!fleet_step_of(job, run->task)->long_running)
			continue;
		for (i = 0; i < worker->n_seats; i++)
			if (worker->seats[i].stage == stage)
				break;
		if (i < worker->n_seats)
			continue;
		worker->seats[worker->n_seats++] = (fleet_seat_t){
			.stage = stage,
			.image = image,
			.room = gh_interference_bound_utilisation() -
				USE_MARGIN - load - LOAD_ERROR,
			.press = gh_interference_sum(fleet->press, image,
						     full.fills, full.n),
		};
	}
}

static fill_list_t fills_of(const gh_fleet_t *fleet,
			    const fleet_worker_t *worker, fills_t how)
{
	fill_list_t list = { .n = 0 };
	uint32_t ref;

	for (ref = worker->runs; ref != GH_NONE;
	     ref = fleet_run(fleet, ref)->next) {
		const fleet_run_t *run = fleet_run(fleet, ref);
		const gh_step_t *step =
			fleet_step_of(fleet_job(fleet, run->job), run->task);
		uint16_t image = fleet_image_of(fleet, run);
		size_t i;

		if (!step->best_effort ||
		    (how == FILLS_SEEN && run->state != RUN_RUNNING))
			continue;
		for (i = 0; i < list.n; i++)
			if (list.fills[i].image == image)
				break;
		if (i == list.n && list.n == GH_FILLS_MAX)
			i = list.n - 1;
		else if (i == list.n)
			list.fills[list.n++] =
				(gh_interference_source_t){ .image = image };
		list.fills[i].share +=
			share_of(worker, step->size.cores_milli) *
			pace_of(run, how, worker->held_at) / PACE_FULL;
	}
	return list;
}

/* The gauge is a mean over its period, so a change shows by and by. */
static double pace_of(const fleet_run_t *run, fills_t how, gh_time_t now)
{
	double part;

	if (how == FILLS_FULL)
		return PACE_FULL;
	if (how == FILLS_NOW)
		return run->pace;
	part = (double)(now - run->pace_at) / (2 * GAUGE_AGE);
	return run->pace_was + CLAMP(part, 0, 1) * (run->pace - run->pace_was);
}

uint16_t fleet_image_of(const gh_fleet_t *fleet, const fleet_run_t *run)
{
	const fleet_job_t *job = fleet_job(fleet, run->job);

	return job->images[fleet_stage_index(job, run->task) %
			   job->spec->n_steps];
}

static double share_of(const fleet_worker_t *worker, double cores_milli)
{
	return cores_milli / MAX(worker->entry.size.cores_milli, 1);
}

static void set_pace(gh_fleet_t *fleet, uint32_t ref, double pace)
{
	fleet_run_t *run = fleet_run(fleet, ref);
	const fleet_worker_t *worker = fleet_worker(fleet, run->worker);
	uint32_t grains =
		(uint32_t)CLAMP(pace, 0, PACE_FULL) / PACE_GRAIN * PACE_GRAIN;

	grains = grains < PACE_LEAST ? 0 : grains;
	if (grains > run->pace && grains < PACE_FULL &&
	    grains - run->pace < PACE_RISE_LEAST)
		return;
	if (grains != run->pace) {
		run->pace_was = pace_of(run, FILLS_SEEN, worker->held_at);
		run->pace_at = worker->held_at + PACE_LATENCY;
	}
	run->pace = grains;
	if (run->pace >= PACE_LOW)
		run->slowed = 0;
	else if (!run->slowed)
		run->slowed = worker->held_at;
	if (run->pace == run->pace_sent)
		return;
	run->pace_sent = run->pace;
	fleet->counts.paced++;
	fleet_order(fleet, GH_ORDER_PACE, ref);
}
