#include "core_shard_state.h"

#define SAMPLES_MAX 256
#define EXCESS_HARM 1000 /* a service's tail is twice its baseline */
#define EXCESS_CALM 300
#define HARM_TO_ACT 3 /* usages in a row before batch work is throttled */
#define HARM_TO_EVICT 6
#define CALM_TO_RELEASE 5
#define EXTRA_KEPT_PARTS 8 /* an observed excess decays by one part */
#define PERCENT_FULL 100
#define POLLS_PER_LEASE 4 /* least calls while a task's lease runs */
#define QUIET_FACTOR 4	  /* longer period while nothing changes */
#define MIXED_FACTOR 2	  /* the same beside a service that may be harmed */

/* What runs on a worker, for the time of its next call. */
typedef struct activity {
	bool unsettled; /* something is under way */
	bool latency;
	bool batch;
	gh_time_t ends; /* when the first task should end */
} activity_t;

static activity_t activity_of(const gh_shard_t *shard, gh_handle_t worker,
			      gh_time_t now);
static size_t take_samples(gh_shard_t *shard, gh_handle_t worker,
			   const gh_report_t *report,
			   gh_slowdown_sample_t samples[SAMPLES_MAX]);
static void extra_update(gh_shard_t *shard, gh_handle_t worker,
			 const gh_report_t *report);
static uint32_t beyond(uint32_t observed, uint32_t declared);
static uint32_t decayed(uint32_t old, uint32_t fresh);
static int32_t worst_excess(gh_shard_t *shard, const gh_report_t *report,
			    uint16_t *kind);
static void protect(gh_shard_t *shard, gh_handle_t worker, uint16_t kind);
static void release(gh_shard_t *shard, gh_handle_t worker);
static gh_task_ref_t worst_batch(gh_shard_t *shard, gh_handle_t worker,
				 uint16_t kind, bool throttled);
static void throttle(gh_shard_t *shard, gh_task_ref_t task, uint32_t percent);

/* Reports repeat the last usage until there is a newer one. */
void gh_shard_usage(gh_shard_t *shard, gh_handle_t worker,
		    const gh_report_t *report)
{
	gh_shard_worker_t *w = gh_shard_worker_at(shard, worker);
	gh_slowdown_sample_t samples[SAMPLES_MAX];
	uint16_t kind = 0;
	int32_t excess;
	size_t n;

	if (report->usage_at_ms <= w->usage_ms)
		return;
	w->usage_ms = report->usage_at_ms;
	extra_update(shard, worker, report);
	n = take_samples(shard, worker, report, samples);
	gh_slowdown_learn(shard->model, samples, n);
	excess = worst_excess(shard, report, &kind);
	w->harm = excess >= EXCESS_HARM ? w->harm + 1 : 0;
	w->calm = excess < EXCESS_CALM ? w->calm + 1 : 0;
	if (w->harm >= HARM_TO_ACT)
		protect(shard, worker, kind);
	if (w->calm >= CALM_TO_RELEASE)
		release(shard, worker);
}

gh_time_t gh_shard_next_poll_time(const gh_shard_t *shard, const char *worker,
				  gh_time_t now)
{
	gh_handle_t handle = gh_place_find(shard->place, worker);
	gh_time_t period = gh_time_from_ms(shard->policy.worker_poll_ms);
	gh_time_t most =
		MAX(period, gh_time_from_ms(shard->policy.task_lease_ms /
					    POLLS_PER_LEASE));
	const gh_shard_worker_t *w;
	activity_t activity;

	if (handle == GH_HANDLE_NONE)
		return now + period;
	w = gh_shard_worker_at(shard, handle);
	activity = activity_of(shard, handle, now);
	if (!activity.unsettled && !w->harm && w->health.reachable)
		period *= activity.latency && activity.batch ? MIXED_FACTOR :
							       QUIET_FACTOR;
	return MIN(now + MIN(period, most), activity.ends);
}

static activity_t activity_of(const gh_shard_t *shard, gh_handle_t worker,
			      gh_time_t now)
{
	activity_t activity = { .ends = GH_TIME_NEVER };
	gh_task_ref_t ref = gh_task_first_on_worker(shard->tasks, worker);

	for (; ref != GH_TASK_NONE; ref = gh_task_at(shard->tasks, ref)->next) {
		const gh_task_t *t = gh_task_at(shard->tasks, ref);
		const gh_job_t *job = gh_job_at(shard->tasks, t->job);
		gh_time_t end =
			t->running_since + gh_time_from_ms(job->spec->run_ms);

		if (job->spec->class == GH_CLASS_LATENCY)
			activity.latency = true;
		else
			activity.batch = true;
		if (t->state != GH_TASK_RUNNING || t->unconfirmed)
			activity.unsettled = true;
		else if (job->spec->run_ms && end > now)
			activity.ends = MIN(activity.ends, end);
		else if (job->spec->run_ms)
			activity.unsettled = true;
	}
	return activity;
}

/* Usage names the tasks that ran at its own time, not those that run now. */
static size_t take_samples(gh_shard_t *shard, gh_handle_t worker,
			   const gh_report_t *report,
			   gh_slowdown_sample_t samples[SAMPLES_MAX])
{
	size_t n = 0;
	size_t i;

	(void)worker;
	for (i = 0; i < report->n_tasks && n < SAMPLES_MAX; i++) {
		const gh_report_task_t *entry = &report->tasks[i];
		gh_task_ref_t ref = gh_task_find(shard->tasks, entry->task);

		if (!entry->measured || ref == GH_TASK_NONE)
			continue;
		samples[n++] = (gh_slowdown_sample_t){
			.kind = gh_job_at(shard->tasks,
					  gh_task_at(shard->tasks, ref)->job)
					->kind,
			.tail_ms = entry->tail_ms,
		};
	}
	return n;
}

static void extra_update(gh_shard_t *shard, gh_handle_t worker,
			 const gh_report_t *report)
{
	const gh_resources_t *old =
		&gh_place_worker(shard->place, worker)->overuse;
	gh_resources_t extra = { .cores_milli = 0 };
	size_t i;

	for (i = 0; i < report->n_tasks; i++) {
		const gh_report_task_t *entry = &report->tasks[i];
		gh_task_ref_t ref = gh_task_find(shard->tasks, entry->task);
		const gh_job_t *job;

		if (!entry->measured || ref == GH_TASK_NONE)
			continue;
		job = gh_job_at(shard->tasks,
				gh_task_at(shard->tasks, ref)->job);
		extra.cores_milli +=
			beyond(entry->cores_milli, job->spec->cores_milli);
		extra.memory_mb +=
			beyond(entry->memory_mb, job->spec->memory_mb);
	}
	extra.cores_milli = decayed(old->cores_milli, extra.cores_milli);
	extra.memory_mb = decayed(old->memory_mb, extra.memory_mb);
	gh_place_overuse_set(shard->place, worker, &extra);
}

static uint32_t beyond(uint32_t observed, uint32_t declared)
{
	return observed > declared ? observed - declared : 0;
}

static uint32_t decayed(uint32_t old, uint32_t fresh)
{
	return MAX(fresh,
		   old - (old + EXTRA_KEPT_PARTS - 1) / EXTRA_KEPT_PARTS);
}

static int32_t worst_excess(gh_shard_t *shard, const gh_report_t *report,
			    uint16_t *kind)
{
	int32_t worst = 0;
	size_t i;

	for (i = 0; i < report->n_tasks; i++) {
		const gh_report_task_t *entry = &report->tasks[i];
		gh_task_ref_t ref = gh_task_find(shard->tasks, entry->task);
		const gh_job_t *job;
		int32_t excess;

		if (!entry->measured || ref == GH_TASK_NONE)
			continue;
		job = gh_job_at(shard->tasks,
				gh_task_at(shard->tasks, ref)->job);
		if (job->spec->class != GH_CLASS_LATENCY)
			continue;
		excess = gh_slowdown_measured(shard->model, job->kind,
					      entry->tail_ms);
		if (excess <= worst)
			continue;
		worst = excess;
		*kind = job->kind;
	}
	return worst;
}

/* Throttles the batch task that harms most; evicts when that didn't help. */
static void protect(gh_shard_t *shard, gh_handle_t worker, uint16_t kind)
{
	gh_shard_worker_t *w = gh_shard_worker_at(shard, worker);
	gh_task_ref_t task;

	if (w->harm >= HARM_TO_EVICT) {
		task = worst_batch(shard, worker, kind, true);
		if (task != GH_TASK_NONE && gh_shard_evict(shard, task))
			w->harm = 0;
		return;
	}
	task = worst_batch(shard, worker, kind, false);
	if (task == GH_TASK_NONE)
		return;
	shard->counts.throttled++;
	throttle(shard, task, (uint32_t)shard->policy.throttle_percent);
}

static void release(gh_shard_t *shard, gh_handle_t worker)
{
	gh_task_ref_t ref = gh_task_first_on_worker(shard->tasks, worker);

	for (; ref != GH_TASK_NONE; ref = gh_task_at(shard->tasks, ref)->next)
		if (gh_task_at(shard->tasks, ref)->throttled)
			throttle(shard, ref, PERCENT_FULL);
}

static gh_task_ref_t worst_batch(gh_shard_t *shard, gh_handle_t worker,
				 uint16_t kind, bool throttled)
{
	gh_task_ref_t ref = gh_task_first_on_worker(shard->tasks, worker);
	gh_task_ref_t worst = GH_TASK_NONE;
	int32_t worst_score = -1;

	for (; ref != GH_TASK_NONE; ref = gh_task_at(shard->tasks, ref)->next) {
		const gh_task_t *t = gh_task_at(shard->tasks, ref);
		const gh_job_t *job = gh_job_at(shard->tasks, t->job);
		int32_t score =
			gh_slowdown_expected(shard->model, kind, job->kind);

		if (t->state != GH_TASK_RUNNING || t->throttled != throttled ||
		    gh_job_rank(job) != GH_RANK_BATCH || score <= worst_score)
			continue;
		worst = ref;
		worst_score = score;
	}
	return worst;
}

static void throttle(gh_shard_t *shard, gh_task_ref_t task, uint32_t percent)
{
	gh_task_at(shard->tasks, task)->throttled = percent < PERCENT_FULL;
	gh_shard_act(shard, GH_ACTION_THROTTLE, task, false, percent);
}
