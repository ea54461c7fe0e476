/*
 * Health of workers, learned from how runs end and get on.
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
#define PROBE_TIME (2 * GH_USEC_PER_SEC)     /* in which one run is let on */
#define SLOWNESS_WEIGHT 0.2		     /* of the newest run */
#define MEAN_WEIGHT_LEAST 0.1
static void quarantine(gh_fleet_t *fleet, uint32_t handle, const char *why,
		       gh_time_t now);
static bool stands_still(const gh_fleet_t *fleet, const fleet_run_t *run);
static void learn_time(gh_fleet_t *fleet, const fleet_run_t *run,
		       gh_time_t now);

void fleet_health_ended(gh_fleet_t *fleet, const fleet_run_t *run,
			gh_run_outcome_t how, gh_time_t now)
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
		/* A job counts once; after that it is suspect itself. */
		if (job->failed_on != GH_NONE)
			break;
		job->failed_on = run->worker;
		if (++worker->fail_streak >= FAILS_TO_QUARANTINE)
			quarantine(fleet, run->worker, "runs fail", now);
		break;
	case GH_RUN_STOPPED:
		fleet->counts.stopped++;
		break;
	case GH_RUN_LEASE_EXPIRED:
		fleet->counts.lease_expired++;
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
	if (now < worker->quarantined)
		return false;
	/* After a quarantine one run is the probe for some time. */
	return !worker->bad_turns || now > worker->quarantined + PROBE_TIME ||
	       worker->placed_at < worker->quarantined;
}

void fleet_health_watch(gh_fleet_t *fleet, gh_time_t now)
{
	uint32_t i;

	if (now - fleet->watched < HEALTH_PERIOD)
		return;
	fleet->watched = now;
	for (i = 0; i < fleet->runs->len; i++) {
		const fleet_run_t *run = fleet_run(fleet, i);

		if (run->state != RUN_RUNNING || !stands_still(fleet, run))
			continue;
		fleet->counts.hangs++;
		quarantine(fleet, run->worker, "a task stands still", now);
		fleet_run_stop(fleet, i, "it stands still", now);
	}
}

static bool stands_still(const gh_fleet_t *fleet, const fleet_run_t *run)
{
	const fleet_job_t *job = fleet_job(fleet, run->job);
	const gh_step_t *step = fleet_step_of(job, run->task);
	const fleet_worker_t *worker = fleet_worker(fleet, run->worker);

	if (!run->running || worker->unheard || step->best_effort ||
	    run->pace < 100)
		return false;
	if (step->long_running && run->percent == 100)
		return false;
	return worker->held_at - MAX(run->percent_at, run->running) >
	       HANG_AFTER;
}

static void quarantine(gh_fleet_t *fleet, uint32_t handle, const char *why,
		       gh_time_t now)
{
	fleet_worker_t *worker = fleet_worker(fleet, handle);

	if (now < worker->quarantined)
		return;
	worker->quarantined = now + (QUARANTINE << MIN(worker->bad_turns,
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

	if (!run->began || fleet_step_of(job, run->task)->best_effort)
		return;
	ms = (double)gh_time_to_ms(now - run->began);
	if (stage->n_mean)
		worker->slowness +=
			SLOWNESS_WEIGHT *
			(ms / MAX(stage->mean_ms, 1) - worker->slowness);
	stage->n_mean++;
	weight = MAX(1.0 / stage->n_mean, MEAN_WEIGHT_LEAST);
	stage->mean_ms += weight * (ms - stage->mean_ms);
}
