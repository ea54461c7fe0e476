/*
 * Expected run times of the fleet's tasks, from what runs really took.
 *
 * Answers declared run times that are far off, by which jobs would be ordered
 * and copied wrongly.  Only what a sound run tells is learned: one that ran
 * from the beginning, at full pace, near its data, on a worker that was heard
 * all the while and is not known to be slow.  Members of gangs wait for each
 * other, and are left out.
 */
#include "core_fleet_times.h"

#include "core_fleet_parts.h"

#include <math.h>
#include <string.h>

/* An estimate is made anew after this time, or when a run of its stage ends. */
#define ESTIMATE_PERIOD_USEC (2 * GH_USEC_PER_SEC)
/* Runs on a worker that takes this many times the usual time tell nothing. */
#define SLOW_WORKER_RATIO 1.5
/* A run is a straggler after this many times its expected run time. */
#define STRAGGLER_FACTOR 2
#define STRAGGLER_MIN_MS 500
/* Upper bound of a job's remaining work, in core-milliseconds. */
#define REMAINING_CORE_MS_MAX 1e15
/* A declared time that is off by more than this factor is counted. */
#define FAR_OFF_FACTOR 2

static bool is_sound(const gh_fleet_t *fleet, const fleet_run_t *run);
static int64_t path_ms(const gh_fleet_t *fleet, const fleet_job_t *job,
		       uint32_t unfinished, bool with_failed, gh_time_t now);

void fleet_times_note_done(gh_fleet_t *fleet, const fleet_run_t *run,
			   gh_time_t now)
{
	const fleet_job_t *job = fleet_job(fleet, run->job);
	const gh_step_t *step = fleet_task_step(job, run->task);
	fleet_stage_t *stage = fleet_task_stage(job, run->task);
	int64_t run_ms = gh_time_to_ms(now - run->alive_since);
	gh_run_sample_t sample = {
		.declared_ms = step->estimate_ms,
		.actual_ms = run_ms,
		.weight = 1.0 / step->tasks,
		.n_before = stage->n_sound_runs,
		.log_mean_before = stage->mean_log_run_ms,
	};

	if (!is_sound(fleet, run))
		return;
	gh_run_times_observe(fleet->run_times, job->spec->queue, step->image,
			     &sample);
	stage->n_sound_runs++;
	stage->mean_log_run_ms +=
		(log((double)MAX(run_ms, 1)) - stage->mean_log_run_ms) /
		stage->n_sound_runs;
	stage->estimate_until = 0;
	fleet->counts.run_times++;
	if (run_ms > step->estimate_ms * FAR_OFF_FACTOR ||
	    run_ms * FAR_OFF_FACTOR < step->estimate_ms)
		fleet->counts.run_times_off++;
}

void fleet_times_note_failed(gh_fleet_t *fleet, const fleet_run_t *run,
			     gh_time_t now)
{
	const fleet_job_t *job = fleet_job(fleet, run->job);
	fleet_stage_t *stage = fleet_task_stage(job, run->task);
	int64_t runs = (int64_t)fleet_task(job, run->task)->failures + 1;

	if (run->alive_since && !fleet_task_step(job, run->task)->long_running)
		stage->failed_ms =
			MAX(stage->failed_ms,
			    runs * gh_time_to_ms(now - run->alive_since));
}

/* Whether the time that the run took is that of its task alone. */
static bool is_sound(const gh_fleet_t *fleet, const fleet_run_t *run)
{
	const fleet_worker_t *worker = fleet_worker(fleet, run->worker);
	const gh_step_t *step =
		fleet_task_step(fleet_job(fleet, run->job), run->task);
	bool is_whole = run->run_number == 1 || !step->checkpoints;
	bool is_near = !step->one_rack &&
		       (!*step->rack || !strcmp(step->rack, worker->rack));

	return run->planned_at && run->alive_since && is_whole && is_near &&
	       !step->gang && !step->long_running && !run->was_paced &&
	       run->state == RUN_RUNNING &&
	       run->alive_since > worker->silence_ended_at &&
	       run->alive_since >= worker->cold_until &&
	       !worker->quarantines_in_row &&
	       worker->run_time_ratio <= SLOW_WORKER_RATIO;
}

const gh_run_estimate_t *fleet_times_estimate(const gh_fleet_t *fleet,
					      const fleet_job_t *job,
					      uint32_t stage, gh_time_t now)
{
	const gh_step_t *step = &job->spec->steps[stage % job->spec->n_steps];
	fleet_stage_t *state = fleet_stage(job, stage);

	if (now < state->estimate_until)
		return &state->estimate;
	if (step->long_running) {
		state->estimate = (gh_run_estimate_t){
			.expected_ms = step->estimate_ms,
			.tail_ms = step->estimate_ms,
		};
	} else {
		gh_run_time_estimate(fleet->run_times, job->spec->queue,
				     step->image, step->estimate_ms,
				     &state->estimate);
		gh_run_estimate_narrow(&state->estimate, state->n_sound_runs,
				       state->mean_log_run_ms);
	}
	state->longest_ms =
		gh_run_estimate_longest_ms(&state->estimate, step->tasks);
	state->estimate_until = now + ESTIMATE_PERIOD_USEC;
	return &state->estimate;
}

int64_t fleet_times_path_ms(const gh_fleet_t *fleet, const fleet_job_t *job,
			    uint32_t unfinished, gh_time_t now)
{
	return path_ms(fleet, job, unfinished, false, now);
}

int64_t fleet_times_objective_ms(const gh_fleet_t *fleet,
				 const fleet_job_t *job, gh_time_t now)
{
	const gh_queue_policy_t *policy = fleet_job_policy(fleet, job);

	return path_ms(fleet, job, UINT32_MAX, true, now) *
		       policy->stretch_milli / 1000 +
	       policy->target_ms;
}

static int64_t path_ms(const gh_fleet_t *fleet, const fleet_job_t *job,
		       uint32_t unfinished, bool with_failed, gh_time_t now)
{
	int64_t step_ms[GH_STEPS_MAX];
	uint32_t i;

	for (i = 0; i < job->spec->n_steps; i++) {
		fleet_times_estimate(fleet, job, i, now);
		step_ms[i] = fleet_stage(job, i)->longest_ms;
		if (with_failed)
			step_ms[i] += fleet_stage(job, i)->failed_ms;
	}
	return gh_pipeline_longest_chain_ms(job->spec, unfinished, step_ms);
}

int64_t fleet_times_remaining_core_ms(const gh_fleet_t *fleet,
				      const fleet_job_t *job, gh_time_t now)
{
	/* The estimates of an accepted job can exceed 64 bits. */
	double sum = 0;
	uint32_t n;

	for (n = 0; n < fleet_open_stage_count(job); n++) {
		uint32_t s, alike;
		const fleet_stage_t *stage =
			fleet_open_stage(job, n, &s, &alike);
		const gh_step_t *step =
			&job->spec->steps[s % job->spec->n_steps];
		uint32_t left =
			step->tasks - stage->tasks_done - stage->tasks_away;

		if (left)
			sum += (double)left * alike *
			       (double)fleet_times_estimate(fleet, job, s, now)
				       ->expected_ms *
			       step->size.cores_milli / 1000;
	}
	return (int64_t)MIN(sum, REMAINING_CORE_MS_MAX);
}

bool fleet_times_is_straggler(const gh_fleet_t *fleet, const fleet_run_t *run,
			      gh_time_t now)
{
	const fleet_job_t *job = fleet_job(fleet, run->job);
	const gh_run_estimate_t *estimate = fleet_times_estimate(
		fleet, job, fleet_stage_index(job, run->task), now);
	int64_t limit_ms = MAX(MAX(estimate->expected_ms * STRAGGLER_FACTOR,
				   estimate->tail_ms),
			       STRAGGLER_MIN_MS);

	gh_time_t since = MAX(run->planned_at,
			      fleet_worker(fleet, run->worker)->cold_until);

	return run->planned_at && gh_time_to_ms(now - since) > limit_ms;
}

char *gh_fleet_run_times_format(const gh_fleet_t *fleet)
{
	return gh_run_times_format(fleet->run_times);
}

bool gh_fleet_run_times_parse(gh_fleet_t *fleet, const char *text)
{
	return gh_run_times_parse(fleet->run_times, text);
}

uint64_t gh_fleet_run_times_version(const gh_fleet_t *fleet)
{
	return gh_run_times_version(fleet->run_times);
}
