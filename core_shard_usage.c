/*
 * Usage in worker reports: learns slowdowns, records usage above declared
 * sizes, and protects latency-critical services from batch tasks on the same
 * worker.  Also sets the time between calls to a worker.
 */
#include "core_shard_state.h"

#define SAMPLES_MAX 256
/*
 * Thresholds of a service's slowdown, which is the rise of its tail latency
 * above its baseline; 1000: twice as long as the baseline.
 */
#define HIGH_SLOWDOWN_MILLI 1000
#define LOW_SLOWDOWN_MILLI 300
/*
 * Numbers of consecutive usage reports with high (throttle, evict) or low
 * (unthrottle) slowdown of services before a batch task on the worker is
 * throttled, evicted or unthrottled.
 */
#define THROTTLE_STREAK 3
#define EVICT_STREAK 6
#define UNTHROTTLE_STREAK 5
/*
 * The recorded excess of a worker's usage over its tasks' declared sizes falls
 * by at most 1/8 per report, rounded up; it rises at once.
 */
#define EXTRA_DECAY_DIVISOR 8
#define CPU_PERCENT_FULL 100
/* min polls of a worker within the duration of a task lease */
#define POLLS_PER_LEASE_MIN 4
/*
 * Factors on worker_poll_ms while no task starts, stops or is overdue, no
 * service is slowed down, and the worker is reachable.
 */
#define STABLE_POLL_FACTOR 4
/* while the worker runs both services and batch tasks */
#define MIXED_POLL_FACTOR 2

/* Tasks on a worker, as far as the time of its next call depends on them. */
typedef struct activity {
	bool changing; /* a task on the worker starts, stops or is overdue */
	bool has_latency;
	bool has_batch;
	/* earliest declared end of a task on the worker; GH_TIME_NEVER: none */
	gh_time_t next_end;
} activity_t;

static activity_t worker_activity(const gh_shard_t *shard, gh_handle_t worker,
				  gh_time_t now);
static size_t collect_samples(gh_shard_t *shard, gh_handle_t worker,
			      const gh_report_t *report,
			      gh_slowdown_sample_t samples[SAMPLES_MAX]);
static void update_extra_usage(gh_shard_t *shard, gh_handle_t worker,
			       const gh_report_t *report);
static uint32_t usage_above(uint32_t observed, uint32_t declared);
static uint32_t decay_extra(uint32_t old, uint32_t current);
static int32_t max_slowdown(gh_shard_t *shard, const gh_report_t *report,
			    uint16_t *kind);
static void reduce_interference(gh_shard_t *shard, gh_handle_t worker,
				uint16_t kind);
static void unthrottle_tasks(gh_shard_t *shard, gh_handle_t worker);
static gh_task_ref_t worst_interferer(gh_shard_t *shard, gh_handle_t worker,
				      uint16_t kind, bool throttled);
static void set_cpu_share(gh_shard_t *shard, gh_task_ref_t task,
			  uint32_t cpu_percent);

/*
 * Skips a usage measurement that was processed before: a worker's reports
 * repeat it until a newer one is made.
 */
void gh_shard_process_usage(gh_shard_t *shard, gh_handle_t worker,
			    const gh_report_t *report)
{
	gh_shard_worker_t *w = gh_shard_worker_at(shard, worker);
	gh_slowdown_sample_t samples[SAMPLES_MAX];
	uint16_t kind = 0;
	int32_t slowdown;
	size_t n;

	if (report->usage_at_ms <= w->usage_at_ms)
		return;
	w->usage_at_ms = report->usage_at_ms;
	update_extra_usage(shard, worker, report);
	n = collect_samples(shard, worker, report, samples);
	gh_slowdown_learn(shard->slowdown, samples, n);
	slowdown = max_slowdown(shard, report, &kind);
	w->high_slowdown_streak = slowdown >= HIGH_SLOWDOWN_MILLI ?
					  w->high_slowdown_streak + 1 :
					  0;
	w->low_slowdown_streak =
		slowdown < LOW_SLOWDOWN_MILLI ? w->low_slowdown_streak + 1 : 0;
	if (w->high_slowdown_streak >= THROTTLE_STREAK)
		reduce_interference(shard, worker, kind);
	if (w->low_slowdown_streak >= UNTHROTTLE_STREAK)
		unthrottle_tasks(shard, worker);
}

gh_time_t gh_shard_next_poll_time(const gh_shard_t *shard, const char *worker,
				  gh_time_t now)
{
	gh_handle_t handle = gh_place_find(shard->place, worker);
	gh_time_t period = gh_time_from_ms(shard->policy.worker_poll_ms);
	gh_time_t max_period =
		MAX(period, gh_time_from_ms(shard->policy.task_lease_ms /
					    POLLS_PER_LEASE_MIN));
	const gh_shard_worker_t *w;
	activity_t activity;

	if (handle == GH_HANDLE_NONE)
		return now + period;
	w = gh_shard_worker_at(shard, handle);
	activity = worker_activity(shard, handle, now);
	if (!activity.changing && !w->high_slowdown_streak &&
	    w->health.reachable)
		period *= activity.has_latency && activity.has_batch ?
				  MIXED_POLL_FACTOR :
				  STABLE_POLL_FACTOR;
	return MIN(now + MIN(period, max_period), activity.next_end);
}

static activity_t worker_activity(const gh_shard_t *shard, gh_handle_t worker,
				  gh_time_t now)
{
	activity_t activity = { .next_end = GH_TIME_NEVER };
	gh_task_ref_t ref = gh_task_first_on_worker(shard->tasks, worker);

	for (; ref != GH_TASK_NONE; ref = gh_task_at(shard->tasks, ref)->next) {
		const gh_task_t *t = gh_task_at(shard->tasks, ref);
		const gh_job_t *job = gh_job_at(shard->tasks, t->job);
		gh_time_t end =
			t->running_since + gh_time_from_ms(job->spec->run_ms);

		if (job->spec->class == GH_CLASS_LATENCY)
			activity.has_latency = true;
		else
			activity.has_batch = true;
		if (t->state != GH_TASK_RUNNING || t->unconfirmed)
			activity.changing = true;
		else if (job->spec->run_ms && end > now)
			activity.next_end = MIN(activity.next_end, end);
		else if (job->spec->run_ms)
			activity.changing = true;
	}
	return activity;
}

/*
 * Collects slowdown samples of the tasks that ran on the worker when the
 * report's usage was measured, not of those that run now.
 */
static size_t collect_samples(gh_shard_t *shard, gh_handle_t worker,
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

static void update_extra_usage(gh_shard_t *shard, gh_handle_t worker,
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
			usage_above(entry->cores_milli, job->spec->cores_milli);
		extra.memory_mb +=
			usage_above(entry->memory_mb, job->spec->memory_mb);
	}
	extra.cores_milli = decay_extra(old->cores_milli, extra.cores_milli);
	extra.memory_mb = decay_extra(old->memory_mb, extra.memory_mb);
	gh_place_overuse_set(shard->place, worker, &extra);
}

static uint32_t usage_above(uint32_t observed, uint32_t declared)
{
	return observed > declared ? observed - declared : 0;
}

static uint32_t decay_extra(uint32_t old, uint32_t current)
{
	return MAX(current,
		   old - (old + EXTRA_DECAY_DIVISOR - 1) / EXTRA_DECAY_DIVISOR);
}

static int32_t max_slowdown(gh_shard_t *shard, const gh_report_t *report,
			    uint16_t *kind)
{
	int32_t max = 0;
	size_t i;

	for (i = 0; i < report->n_tasks; i++) {
		const gh_report_task_t *entry = &report->tasks[i];
		gh_task_ref_t ref = gh_task_find(shard->tasks, entry->task);
		const gh_job_t *job;
		int32_t slowdown;

		if (!entry->measured || ref == GH_TASK_NONE)
			continue;
		job = gh_job_at(shard->tasks,
				gh_task_at(shard->tasks, ref)->job);
		if (job->spec->class != GH_CLASS_LATENCY)
			continue;
		slowdown = gh_slowdown_measured(shard->slowdown, job->kind,
						entry->tail_ms);
		if (slowdown <= max)
			continue;
		max = slowdown;
		*kind = job->kind;
	}
	return max;
}

/*
 * Throttles the batch task on the worker that interferes most with tasks of the
 * given workload kind.  After a longer streak of high slowdown, evicts a
 * throttled batch task instead.
 */
static void reduce_interference(gh_shard_t *shard, gh_handle_t worker,
				uint16_t kind)
{
	gh_shard_worker_t *w = gh_shard_worker_at(shard, worker);
	gh_task_ref_t task;

	if (w->high_slowdown_streak >= EVICT_STREAK) {
		task = worst_interferer(shard, worker, kind, true);
		if (task != GH_TASK_NONE && gh_shard_evict(shard, task))
			w->high_slowdown_streak = 0;
		return;
	}
	task = worst_interferer(shard, worker, kind, false);
	if (task == GH_TASK_NONE)
		return;
	shard->counts.throttled++;
	set_cpu_share(shard, task, (uint32_t)shard->policy.throttle_percent);
}

static void unthrottle_tasks(gh_shard_t *shard, gh_handle_t worker)
{
	gh_task_ref_t ref = gh_task_first_on_worker(shard->tasks, worker);

	for (; ref != GH_TASK_NONE; ref = gh_task_at(shard->tasks, ref)->next)
		if (gh_task_at(shard->tasks, ref)->throttled)
			set_cpu_share(shard, ref, CPU_PERCENT_FULL);
}

static gh_task_ref_t worst_interferer(gh_shard_t *shard, gh_handle_t worker,
				      uint16_t kind, bool throttled)
{
	gh_task_ref_t ref = gh_task_first_on_worker(shard->tasks, worker);
	gh_task_ref_t worst = GH_TASK_NONE;
	int32_t worst_score = -1;

	for (; ref != GH_TASK_NONE; ref = gh_task_at(shard->tasks, ref)->next) {
		const gh_task_t *t = gh_task_at(shard->tasks, ref);
		const gh_job_t *job = gh_job_at(shard->tasks, t->job);
		int32_t score =
			gh_slowdown_expected(shard->slowdown, kind, job->kind);

		if (t->state != GH_TASK_RUNNING || t->throttled != throttled ||
		    gh_job_rank(job) != GH_RANK_BATCH || score <= worst_score)
			continue;
		worst = ref;
		worst_score = score;
	}
	return worst;
}

static void set_cpu_share(gh_shard_t *shard, gh_task_ref_t task,
			  uint32_t cpu_percent)
{
	gh_task_at(shard->tasks, task)->throttled =
		cpu_percent < CPU_PERCENT_FULL;
	gh_shard_queue_action(shard, GH_ACTION_THROTTLE, task, false,
			      cpu_percent);
}
