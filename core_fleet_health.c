/*
 * Health of workers, learned from how runs end and get on, and the pace of
 * tasks that fill beside lasting ones.
 *
 * Load answered: workers that fail all they start, that let tasks stand
 * still or that work slowly, while their own reports look well.
 */
#include "core_fleet_state.h"

#define FAILS_TO_QUARANTINE 2 /* in a row, of different jobs */
#define QUARANTINE (3 * GH_USEC_PER_SEC)
#define QUARANTINE_DOUBLINGS 3
#define HEALTH_PERIOD (200 * GH_USEC_PER_MSEC)
#define HANG_AFTER (2500 * GH_USEC_PER_MSEC) /* without any progress */
#define STARTUP_MOST (5 * GH_USEC_PER_SEC)   /* of a lasting task */
#define SLOWNESS_WEIGHT 0.2		     /* of the newest run */
#define MEAN_WEIGHT_LEAST 0.1
/* Shares of a tail's bound, in parts of 100. */
#define TAIL_HIGH 85 /* above it, what fills is slowed down */
#define TAIL_LOW 60  /* below it, it is let go faster again */
#define PACE_STEP 15 /* percent, when it goes faster */
#define PACE_FULL 100

static void quarantine(gh_fleet_t *fleet, uint32_t worker, const char *why,
		       gh_time_t now);
static bool stands_still(const gh_fleet_t *fleet, const fleet_run_t *run,
			 gh_time_t now);
static void learn_time(gh_fleet_t *fleet, const fleet_run_t *run,
		       gh_time_t now);
static void set_pace(gh_fleet_t *fleet, uint32_t ref, uint32_t pace);

void fleet_health_ended(gh_fleet_t *fleet, const fleet_run_t *run,
			gh_run_end_t how, gh_time_t now)
{
	fleet_worker_t *worker = fleet_worker(fleet, run->worker);
	fleet_job_t *job = fleet_job(fleet, run->job);

	switch (how) {
	case GH_RUN_DONE:
		fleet->counts.done++;
		worker->fail_streak = 0;
		worker->bad_turns = 0;
		learn_time(fleet, run, now);
		break;
	case GH_RUN_FAILED:
		fleet->counts.failed++;
		/* A job that failed elsewhere before is suspect itself. */
		if (job->failed_on != GH_NONE && job->failed_on != run->worker)
			break;
		if (job->failed_on == run->worker)
			break;
		job->failed_on = run->worker;
		if (++worker->fail_streak >= FAILS_TO_QUARANTINE)
			quarantine(fleet, run->worker, "runs fail", now);
		break;
	case GH_RUN_STOPPED:
		fleet->counts.stopped++;
		break;
	case GH_RUN_LAPSED:
		fleet->counts.lapsed++;
		break;
	case GH_RUN_LOST:
		fleet->counts.lost++;
		break;
	default:
		break;
	}
}

bool fleet_health_usable(const fleet_worker_t *worker, gh_time_t now)
{
	/* After a quarantine one run at a time is the probe. */
	return now >= worker->quarantined &&
	       (!worker->bad_turns || !worker->n_runs);
}

void fleet_health_watch(gh_fleet_t *fleet, gh_time_t now)
{
	uint32_t i;

	if (now - fleet->watched < HEALTH_PERIOD)
		return;
	fleet->watched = now;
	for (i = 0; i < fleet->runs->len; i++) {
		const fleet_run_t *run = fleet_run(fleet, i);

		if (run->state != RUN_RUNNING ||
		    !stands_still(fleet, run, now))
			continue;
		fleet->counts.hangs++;
		quarantine(fleet, run->worker, "a task stands still", now);
		fleet_run_stop(fleet, i, "it stands still", now);
	}
}

static bool stands_still(const gh_fleet_t *fleet, const fleet_run_t *run,
			 gh_time_t now)
{
	const fleet_job_t *job = fleet_job(fleet, run->job);
	const gh_step_t *step = fleet_step_of(job, run->task);
	const fleet_worker_t *worker = fleet_worker(fleet, run->worker);

	if (!run->running || worker->unheard || step->fills ||
	    run->pace < PACE_FULL)
		return false;
	if (step->lasting)
		return run->percent < 100 && now - run->running > STARTUP_MOST;
	return worker->held_at - MAX(run->percent_at, run->running) >
	       HANG_AFTER;
}

static void quarantine(gh_fleet_t *fleet, uint32_t handle, const char *why,
		       gh_time_t now)
{
	fleet_worker_t *worker = fleet_worker(fleet, handle);

	if (now < worker->quarantined)
		return;
	worker->quarantined =
		now + (QUARANTINE << MIN(worker->bad_turns,
					 QUARANTINE_DOUBLINGS));
	worker->bad_turns++;
	fleet->counts.quarantines++;
	fleet_say(fleet, "worker_quarantined", NULL, 0, handle, why);
}

static void learn_time(gh_fleet_t *fleet, const fleet_run_t *run, gh_time_t now)
{
	fleet_worker_t *worker = fleet_worker(fleet, run->worker);
	fleet_job_t *job = fleet_job(fleet, run->job);
	fleet_stage_t *stage = fleet_stage_of(job, run->task);
	double ms;
	double weight;

	if (!run->began || fleet_step_of(job, run->task)->fills)
		return;
	ms = (double)gh_time_to_ms(now - run->began);
	if (stage->n_mean)
		worker->slowness +=
			SLOWNESS_WEIGHT * (ms / MAX(stage->mean_ms, 1) -
					   worker->slowness);
	stage->n_mean++;
	weight = MAX(1.0 / stage->n_mean, MEAN_WEIGHT_LEAST);
	stage->mean_ms += weight * (ms - stage->mean_ms);
}

/*
 * Additive increase, multiplicative decrease: what fills beside a lasting
 * task gives way before the task's tail reaches its bound.
 */
void fleet_pace_worker(gh_fleet_t *fleet, uint32_t handle, gh_time_t now)
{
	const fleet_worker_t *worker = fleet_worker(fleet, handle);
	int64_t worst = 0; /* tail in parts of 100 of its bound */
	uint32_t ref;

	(void)now;
	if (!worker->fills)
		return;
	for (ref = worker->runs; ref != GH_NONE;
	     ref = fleet_run(fleet, ref)->next) {
		const fleet_run_t *run = fleet_run(fleet, ref);
		const gh_step_t *step =
			fleet_step_of(fleet_job(fleet, run->job), run->task);

		if (step->lasting && step->tail_ms && run->percent == 100)
			worst = MAX(worst, run->gauge * 100 / step->tail_ms);
	}
	for (ref = worker->runs; ref != GH_NONE;
	     ref = fleet_run(fleet, ref)->next) {
		const fleet_run_t *run = fleet_run(fleet, ref);

		if (!fleet_step_of(fleet_job(fleet, run->job), run->task)
			     ->fills)
			continue;
		if (worst > 100)
			set_pace(fleet, ref, 0);
		else if (worst > TAIL_HIGH)
			set_pace(fleet, ref, run->pace / 2);
		else if (worst < TAIL_LOW && run->pace < PACE_FULL)
			set_pace(fleet, ref,
				 MIN(run->pace + PACE_STEP, PACE_FULL));
		else if (run->pace_sent != run->pace)
			set_pace(fleet, ref, run->pace);
	}
}

static void set_pace(gh_fleet_t *fleet, uint32_t ref, uint32_t pace)
{
	fleet_run_t *run = fleet_run(fleet, ref);

	if (run->state != RUN_RUNNING || pace == run->pace_sent)
		return;
	run->pace = run->pace_sent = pace;
	fleet->counts.paced++;
	fleet_order(fleet, GH_ORDER_PACE, ref);
}
