/*
 * Where filling tasks go and how fast they may run beside lasting ones.
 *
 * Load answered: short batch work on cores that lasting tasks leave unused,
 * while the load of these moves in waves and some pairs of images get on
 * badly.  Each list of a worker tells the use of every lasting task there;
 * the load of a job's tasks is followed, weights of pairs are learned, and
 * what fills is placed where it takes the least part of the room that the
 * worst-off lasting task has left.  Where a task nears its bound all the
 * same, those that press on it are paced.
 */
#include "core_fleet_state.h"

#include "core_press.h"

#define PACE_FULL 100
#define PACE_GRAIN 5	    /* percent; smaller changes are not worth a call */
#define PACE_LEAST 10	    /* below it a task stands still instead */
#define PACE_RISE 30	    /* percent, at one look */
#define USE_MARGIN 0.05	    /* kept free below the bound */
#define WEIGHT_PRESSES 0.12 /* a pair below it is none to blame */
#define LOAD_FIRST 0.5	    /* of a lasting job not looked at yet */
#define LOAD_AHEAD 0.12	    /* rise of a load while a task runs beside it */
#define LOAD_STEP_ALONE 0.7 /* of an error on its load, alone ... */
#define LOAD_STEP_BESIDE 0.15		     /* ... and beside what fills */
#define LOOK_PERIOD (240 * GH_USEC_PER_MSEC) /* of the gauge */
#define USE_WORST 0.95 /* above it only a lower bound is seen */
#define OVER_MOST (1500 * GH_USEC_PER_MSEC) /* over it; then all stops */
#define ROOM_LEAST 0.02			    /* of use; less is none */
#define SHARE_NONE 100.0		    /* no room at all */
#define SERVING_USE 0.5	  /* of their cores that lasting tasks use */
#define CORES_MOST 1.6	  /* times the unused cores, that may fill */
#define CORES_LEAST 500.0 /* milli-cores; avoids a division by nothing */

static size_t fills_of(const gh_fleet_t *fleet, const fleet_worker_t *worker,
		       bool paced, gh_press_fill_t fills[GH_FILLS_MAX]);
static void look(gh_fleet_t *fleet, fleet_worker_t *worker, gh_time_t now);
static void learn(gh_fleet_t *fleet, fleet_run_t *run,
		  const gh_press_fill_t *fills, size_t n, double use);
static void pace_run(gh_fleet_t *fleet, const fleet_worker_t *worker,
		     uint32_t ref);
static void refresh_seats(gh_fleet_t *fleet, fleet_worker_t *worker);
static void set_pace(gh_fleet_t *fleet, uint32_t ref, double pace);
static uint16_t image_of(const gh_fleet_t *fleet, const fleet_run_t *run);
static double share_of(const fleet_worker_t *worker, double cores_milli);

void fleet_pace_worker(gh_fleet_t *fleet, uint32_t handle, gh_time_t now)
{
	fleet_worker_t *worker = fleet_worker(fleet, handle);
	uint32_t ref;

	/* Within one period of the gauge nothing new is seen. */
	if (now - worker->looked < LOOK_PERIOD)
		return;
	worker->looked = now;
	look(fleet, worker, now);
	worker->seats_old = true;
	if (!worker->fills)
		return;
	for (ref = worker->runs; ref != GH_NONE;
	     ref = fleet_run(fleet, ref)->next) {
		const fleet_run_t *run = fleet_run(fleet, ref);

		if (run->state != RUN_RUNNING ||
		    !fleet_step_of(fleet_job(fleet, run->job), run->task)
			     ->fills)
			continue;
		if (worker->lasting)
			pace_run(fleet, worker, ref);
		else
			set_pace(fleet, ref, PACE_FULL);
	}
}

double fleet_fill_share(gh_fleet_t *fleet, fleet_worker_t *worker,
			const gh_step_t *step, uint16_t image)
{
	double cores = worker->fill_cores + step->size.cores_milli;
	double size = (double)worker->entry.size.cores_milli;
	double fixed = (double)worker->held.cores_milli - worker->lasting_cores;
	double unused = MAX(size - fixed - SERVING_USE * worker->lasting_cores,
			    CORES_LEAST);
	double share = cores / unused / CORES_MOST;
	uint32_t i;

	if (worker->seats_old)
		refresh_seats(fleet, worker);
	for (i = 0; i < worker->n_seats; i++) {
		const fleet_seat_t *seat = &worker->seats[i];
		double add = gh_press_weight(fleet->press, seat->image, image) *
			     share_of(worker, step->size.cores_milli);

		if (add > 0)
			share = MAX(share,
				    seat->room > ROOM_LEAST ?
					    (seat->press + add) / seat->room :
					    SHARE_NONE * add);
	}
	return share;
}

/* Takes in the tails of one list. */
static void look(gh_fleet_t *fleet, fleet_worker_t *worker, gh_time_t now)
{
	gh_press_fill_t fills[GH_FILLS_MAX];
	size_t n = fills_of(fleet, worker, true, fills);
	uint32_t ref;

	for (ref = worker->runs; ref != GH_NONE;
	     ref = fleet_run(fleet, ref)->next) {
		fleet_run_t *run = fleet_run(fleet, ref);
		const gh_step_t *step =
			fleet_step_of(fleet_job(fleet, run->job), run->task);

		if (!step->lasting || !step->tail_ms || run->gauge <= 0 ||
		    run->percent < PACE_FULL) {
			run->use = 0;
			continue;
		}
		run->use = gh_press_use(run->gauge, step->tail_ms);
		if (run->gauge <= step->tail_ms)
			run->over_since = 0;
		else if (!run->over_since)
			run->over_since = now;
		learn(fleet, run, fills, n, run->use);
	}
}

static void learn(gh_fleet_t *fleet, fleet_run_t *run,
		  const gh_press_fill_t *fills, size_t n, double use)
{
	fleet_stage_t *stage =
		fleet_stage_of(fleet_job(fleet, run->job), run->task);
	uint16_t image = image_of(fleet, run);
	double press = gh_press_sum(fleet->press, image, fills, n);
	double error;

	if (!stage->load)
		stage->load = LOAD_FIRST;
	error = use - stage->load - press;
	if (use > USE_WORST && error < 0)
		return;
	if (!n) {
		stage->load += LOAD_STEP_ALONE * error;
		return;
	}
	stage->load += LOAD_STEP_BESIDE * error;
	stage->load = CLAMP(stage->load, 0.05, 1);
	gh_press_learn(fleet->press, image, fills, n, error);
}

/* Slows a task that presses on one near its bound, else lets it go faster. */
static void pace_run(gh_fleet_t *fleet, const fleet_worker_t *worker,
		     uint32_t ref)
{
	const fleet_run_t *fill = fleet_run(fleet, ref);
	uint16_t image = image_of(fleet, fill);
	double share = share_of(
		worker, fleet_step_of(fleet_job(fleet, fill->job), fill->task)
				->size.cores_milli);
	double goal = gh_press_use_most() - USE_MARGIN;
	double pace = MIN(fill->pace + PACE_RISE, PACE_FULL);
	gh_press_fill_t fills[GH_FILLS_MAX];
	size_t n = fills_of(fleet, worker, true, fills);
	uint32_t other;

	for (other = worker->runs; other != GH_NONE;
	     other = fleet_run(fleet, other)->next) {
		const fleet_run_t *run = fleet_run(fleet, other);
		double weight, press;

		if (!run->use)
			continue;
		if (run->over_since &&
		    worker->held_at - run->over_since > OVER_MOST) {
			pace = 0;
			continue;
		}
		weight = gh_press_weight(fleet->press, image_of(fleet, run),
					 image);
		if (weight < WEIGHT_PRESSES)
			continue;
		press = gh_press_sum(fleet->press, image_of(fleet, run), fills,
				     n);
		if (run->use > goal)
			pace = MIN(pace,
				   press > run->use - goal ?
					   fill->pace * (1 - (run->use - goal) /
								     press) :
					   0);
		else
			pace = MIN(pace, fill->pace + (goal - run->use) /
							      (weight * share) *
							      PACE_FULL / 2);
	}
	set_pace(fleet, ref, pace);
}

/* Each job that lasts here, with the room it has and what presses on it. */
static void refresh_seats(gh_fleet_t *fleet, fleet_worker_t *worker)
{
	gh_press_fill_t fills[GH_FILLS_MAX];
	size_t n = fills_of(fleet, worker, false, fills);
	uint32_t ref;

	worker->n_seats = 0;
	worker->seats_old = false;
	for (ref = worker->runs;
	     ref != GH_NONE && worker->n_seats < GH_SEATS_MAX;
	     ref = fleet_run(fleet, ref)->next) {
		const fleet_run_t *run = fleet_run(fleet, ref);
		fleet_job_t *job = fleet_job(fleet, run->job);
		const fleet_stage_t *stage = fleet_stage_of(job, run->task);
		uint16_t image = image_of(fleet, run);
		double load = stage->load ? stage->load : LOAD_FIRST;
		uint32_t i;

		if (!fleet_step_of(job, run->task)->lasting)
			continue;
		for (i = 0; i < worker->n_seats; i++)
			if (worker->seats[i].stage == stage)
				break;
		if (i < worker->n_seats)
			continue;
		worker->seats[worker->n_seats++] = (fleet_seat_t){
			.stage = stage,
			.image = image,
			.room = gh_press_use_most() - USE_MARGIN - load -
				LOAD_AHEAD,
			.press = gh_press_sum(fleet->press, image, fills, n),
		};
	}
}

/* What fills the worker, by image; as paced now, or at full pace. */
static size_t fills_of(const gh_fleet_t *fleet, const fleet_worker_t *worker,
		       bool paced, gh_press_fill_t fills[GH_FILLS_MAX])
{
	size_t n = 0;
	uint32_t ref;

	for (ref = worker->runs; ref != GH_NONE;
	     ref = fleet_run(fleet, ref)->next) {
		const fleet_run_t *run = fleet_run(fleet, ref);
		const gh_step_t *step =
			fleet_step_of(fleet_job(fleet, run->job), run->task);
		uint16_t image = image_of(fleet, run);
		double share = share_of(worker, step->size.cores_milli);
		size_t i;

		if (!step->fills || (paced && run->state != RUN_RUNNING))
			continue;
		if (paced)
			share = share * run->pace / PACE_FULL;
		for (i = 0; i < n; i++)
			if (fills[i].image == image)
				break;
		if (i == n && n == GH_FILLS_MAX)
			i = n - 1;
		else if (i == n)
			fills[n++] = (gh_press_fill_t){ .image = image };
		fills[i].share += share;
	}
	return n;
}

static uint16_t image_of(const gh_fleet_t *fleet, const fleet_run_t *run)
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
	uint32_t grains =
		(uint32_t)CLAMP(pace, 0, PACE_FULL) / PACE_GRAIN * PACE_GRAIN;

	run->pace = grains < PACE_LEAST ? 0 : grains;
	if (run->pace == run->pace_sent)
		return;
	run->pace_sent = run->pace;
	fleet->counts.paced++;
	fleet_order(fleet, GH_ORDER_PACE, ref);
}
