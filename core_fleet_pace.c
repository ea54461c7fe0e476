/*
 * How much filling work the lasting tasks of a worker bear.
 *
 * Load answered: short batch work on cores that lasting tasks leave unused,
 * beside waves in the load of these tasks.  A lasting task's tail grows as
 * base / (1 - u); u is its own load and the press of all that fills beside
 * it.  The model: press is the fill's cores as a share of the worker's,
 * times a weight; what the worst-off task has left to its bound tells the
 * press that the worker bears, and all that fills is paced to it.
 */
#include "core_fleet_state.h"

#define PACE_FULL 100
#define PACE_GRAIN 5 /* percent; smaller changes are not worth a call */
#define PRESS_WEIGHT 0.45 /* of one full worker's cores, on u */
#define BASE_PARTS 6	  /* of a tail's bound, until a lower one was seen */
#define U_MARGIN 0.07	  /* kept free below the bound */
#define U_WORST 0.95	  /* above it u says little: press is halved */
#define PRESS_RISE 0.05	  /* most that is let on at one look */
#define PRESS_MOST 1.0
#define SERVING_USE 0.6 /* of their cores that lasting tasks use */
#define FILL_ROOM_LEAST 500.0 /* milli-cores; avoids a division by nothing */

static double headroom(gh_fleet_t *fleet, const fleet_worker_t *worker,
		       double *worst);
static double press_of(const fleet_worker_t *worker, double cores_milli);
static void set_pace(gh_fleet_t *fleet, uint32_t ref, uint32_t pace);

void fleet_pace_worker(gh_fleet_t *fleet, uint32_t handle, gh_time_t now)
{
	fleet_worker_t *worker = fleet_worker(fleet, handle);
	double full = press_of(worker, worker->fill_cores);
	double press = 0; /* as paced now */
	double worst;
	double left;
	uint32_t pace = PACE_FULL;
	uint32_t ref;

	(void)now;
	if (!worker->lasting) {
		worker->press_most = PRESS_MOST;
		return;
	}
	for (ref = worker->runs; ref != GH_NONE;
	     ref = fleet_run(fleet, ref)->next) {
		const fleet_run_t *run = fleet_run(fleet, ref);
		const gh_step_t *step =
			fleet_step_of(fleet_job(fleet, run->job), run->task);

		if (step->fills && run->state == RUN_RUNNING)
			press += press_of(worker, step->size.cores_milli) *
				 run->pace / PACE_FULL;
	}
	left = headroom(fleet, worker, &worst);
	if (worst > U_WORST)
		press /= 2;
	if (press + left > worker->press_most + PRESS_RISE)
		worker->press_most += PRESS_RISE;
	else
		worker->press_most = press + left;
	worker->press_most = CLAMP(worker->press_most, 0, PRESS_MOST);
	if (!worker->fills)
		return;
	if (full > worker->press_most)
		pace = (uint32_t)(worker->press_most / full * PACE_FULL) /
		       PACE_GRAIN * PACE_GRAIN;
	for (ref = worker->runs; ref != GH_NONE;
	     ref = fleet_run(fleet, ref)->next)
		if (fleet_step_of(fleet_job(fleet, fleet_run(fleet, ref)->job),
				  fleet_run(fleet, ref)->task)
			    ->fills)
			set_pace(fleet, ref, pace);
}

double fleet_fill_share(const gh_fleet_t *fleet, const fleet_worker_t *worker,
			const gh_step_t *step)
{
	double cores = worker->fill_cores + step->size.cores_milli;
	double room = (double)worker->entry.size.cores_milli -
		      ((double)worker->held.cores_milli -
		       worker->lasting_cores) -
		      SERVING_USE * worker->lasting_cores;
	double share = cores / MAX(room, FILL_ROOM_LEAST);

	(void)fleet;
	if (worker->lasting && worker->press_most > 0)
		share = MAX(share,
			    press_of(worker, cores) / worker->press_most);
	else if (worker->lasting)
		share = PACE_FULL;
	return share;
}

/* What the worst-off lasting task has left of u; *worst is its u. */
static double headroom(gh_fleet_t *fleet, const fleet_worker_t *worker,
		       double *worst)
{
	double least = 1;
	uint32_t ref;

	*worst = 0;
	for (ref = worker->runs; ref != GH_NONE;
	     ref = fleet_run(fleet, ref)->next) {
		const fleet_run_t *run = fleet_run(fleet, ref);
		const gh_step_t *step =
			fleet_step_of(fleet_job(fleet, run->job), run->task);
		double base, u;

		if (!step->lasting || !step->tail_ms || run->gauge <= 0 ||
		    run->percent < 100)
			continue;
		base = (double)step->tail_ms / BASE_PARTS;
		u = 1 - base / (double)MAX(run->gauge, 1);
		*worst = MAX(*worst, u);
		least = MIN(least, 1 - 1.0 / BASE_PARTS - U_MARGIN - u);
	}
	return least;
}

static double press_of(const fleet_worker_t *worker, double cores_milli)
{
	return PRESS_WEIGHT * cores_milli / MAX(worker->entry.size.cores_milli,
						1);
}

static void set_pace(gh_fleet_t *fleet, uint32_t ref, uint32_t pace)
{
	fleet_run_t *run = fleet_run(fleet, ref);

	run->pace = pace;
	if (run->state != RUN_RUNNING || pace == run->pace_sent)
		return;
	run->pace_sent = pace;
	fleet->counts.paced++;
	fleet_order(fleet, GH_ORDER_PACE, ref);
}
