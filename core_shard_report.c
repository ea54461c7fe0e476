#include "core_shard_state.h"

#include <string.h>

typedef void (*answer_fn_t)(gh_shard_t *shard, gh_task_ref_t task,
			    gh_reply_t answer, const char *checkpoint,
			    const gh_now_t *now);
typedef void (*report_fn_t)(gh_shard_t *shard, gh_task_ref_t task,
			    const gh_report_task_t *entry, const gh_now_t *now);

static void answer_start(gh_shard_t *shard, gh_task_ref_t task,
			 gh_reply_t answer, const char *checkpoint,
			 const gh_now_t *now);
static void answer_stop(gh_shard_t *shard, gh_task_ref_t task,
			gh_reply_t answer, const char *checkpoint,
			const gh_now_t *now);
static void answer_bar(gh_shard_t *shard, gh_task_ref_t task, gh_reply_t answer,
		       const char *checkpoint, const gh_now_t *now);
static void answer_throttle(gh_shard_t *shard, gh_task_ref_t task,
			    gh_reply_t answer, const char *checkpoint,
			    const gh_now_t *now);
static void report_running(gh_shard_t *shard, gh_task_ref_t task,
			   const gh_report_task_t *entry, const gh_now_t *now);
static void report_done(gh_shard_t *shard, gh_task_ref_t task,
			const gh_report_task_t *entry, const gh_now_t *now);
static void report_failed(gh_shard_t *shard, gh_task_ref_t task,
			  const gh_report_task_t *entry, const gh_now_t *now);
static void report_stopped(gh_shard_t *shard, gh_task_ref_t task,
			   const gh_report_task_t *entry, const gh_now_t *now);
static void report_lapsed(gh_shard_t *shard, gh_task_ref_t task,
			  const gh_report_task_t *entry, const gh_now_t *now);
static void report_entry(gh_shard_t *shard, gh_handle_t worker,
			 const gh_report_t *report, size_t at,
			 const gh_now_t *now);
static void resolve_missing(gh_shard_t *shard, gh_handle_t worker,
			    const gh_report_t *report, const gh_now_t *now);
static bool may_have_ended(const gh_shard_t *shard, const gh_task_t *task,
			   const gh_worker_health_t *health,
			   const gh_now_t *now);
static void end_attempt(gh_shard_t *shard, gh_task_ref_t task,
			gh_task_end_t end, const char *checkpoint);
static void act_on_stray(gh_shard_t *shard, gh_handle_t worker,
			 const gh_report_task_t *entry);
static void blame_worker(gh_shard_t *shard, gh_handle_t worker,
			 gh_task_ref_t task, gh_time_t now);
static void excuse_tasks(gh_shard_t *shard, const gh_worker_health_t *health);
static bool may_eject(const gh_shard_t *shard);

static const answer_fn_t answer_by_kind[GH_ACTION_COUNT] = {
	[GH_ACTION_START] = answer_start,
	[GH_ACTION_STOP] = answer_stop,
	[GH_ACTION_BAR] = answer_bar,
	[GH_ACTION_THROTTLE] = answer_throttle,
};

static const report_fn_t report_by_state[] = {
	[GH_REPORT_RUNNING] = report_running,
	[GH_REPORT_DONE] = report_done,
	[GH_REPORT_FAILED] = report_failed,
	[GH_REPORT_STOPPED] = report_stopped,
	[GH_REPORT_EXPIRED] = report_lapsed,
};

void gh_shard_handle_reply(gh_shard_t *shard, const gh_action_t *action,
			   gh_reply_t answer, const char *checkpoint,
			   const gh_now_t *now)
{
	gh_task_ref_t ref = gh_task_find(shard->tasks, action->task);
	const gh_task_t *t;

	if (ref == GH_TASK_NONE || !answer_by_kind[action->kind])
		return;
	t = gh_task_at(shard->tasks, ref);
	if (!gh_task_has_open_attempt(t) || t->attempt != action->attempt)
		return;
	answer_by_kind[action->kind](shard, ref, answer, checkpoint, now);
}

void gh_shard_handle_report(gh_shard_t *shard, const char *worker,
			    const gh_report_t *report, const gh_now_t *now)
{
	gh_handle_t handle = gh_place_find(shard->place, worker);
	gh_shard_worker_t *w;
	size_t i;

	if (handle == GH_HANDLE_NONE)
		return;
	w = gh_shard_worker_at(shard, handle);
	gh_worker_reply_received(&w->health);
	w->full = false;
	shard->report++;
	for (i = 0; i < report->n_tasks; i++)
		report_entry(shard, handle, report, i, now);
	resolve_missing(shard, handle, report, now);
	gh_shard_usage(shard, handle, report);
	gh_shard_worker_refresh(shard, handle, now->boot);
}

void gh_shard_handle_poll_failure(gh_shard_t *shard, const char *worker,
				  const gh_now_t *now)
{
	gh_handle_t handle = gh_place_find(shard->place, worker);
	gh_worker_health_t *health;
	gh_task_ref_t ref;
	gh_task_ref_t next;

	if (handle == GH_HANDLE_NONE)
		return;
	health = &gh_shard_worker_at(shard, handle)->health;
	gh_worker_reply_missing(health);
	gh_shard_worker_refresh(shard, handle, now->boot);
	for (ref = gh_task_first_on_worker(shard->tasks, handle);
	     ref != GH_TASK_NONE; ref = next) {
		next = gh_task_at(shard->tasks, ref)->next;
		if (!may_have_ended(shard, gh_task_at(shard->tasks, ref),
				    health, now))
			continue;
		shard->counts.lost++;
		end_attempt(shard, ref, GH_END_LOST, NULL);
	}
}

static void answer_start(gh_shard_t *shard, gh_task_ref_t task,
			 gh_reply_t answer, const char *checkpoint,
			 const gh_now_t *now)
{
	const gh_task_t *t = gh_task_at(shard->tasks, task);

	(void)checkpoint;
	if (answer == GH_REPLY_OK) {
		shard->counts.started++;
		shard->counts.resumed += t->checkpoint != NULL;
		shard->counts.retried += t->failures != 0;
		if (t->state == GH_TASK_INTENT)
			gh_task_set_running(shard->tasks, task, now->boot);
		return;
	}
	if (answer != GH_REPLY_REFUSED && answer != GH_REPLY_NO_CAPACITY &&
	    answer != GH_REPLY_NOT_SENT)
		return;
	shard->counts.refused++;
	if (answer == GH_REPLY_NO_CAPACITY) {
		gh_shard_worker_at(shard, t->worker)->full = true;
		gh_shard_worker_refresh(shard, t->worker, now->boot);
	}
	end_attempt(shard, task, GH_END_NOT_STARTED, NULL);
}

static void answer_stop(gh_shard_t *shard, gh_task_ref_t task,
			gh_reply_t answer, const char *checkpoint,
			const gh_now_t *now)
{
	const gh_task_t *t = gh_task_at(shard->tasks, task);
	gh_handle_t worker = t->worker;
	gh_report_task_t stopped;

	if (answer == GH_REPLY_OK) {
		shard->counts.evicted++;
		stopped = (gh_report_task_t){ .attempt = t->attempt,
					      .state = GH_REPORT_STOPPED };
		gh_task_name(shard->tasks, task, stopped.task);
		end_attempt(shard, task, GH_END_EVICTED, checkpoint);
		act_on_stray(shard, worker, &stopped);
	} else if (answer == GH_REPLY_NOT_FOUND &&
		   now->wall_ms >
			   t->not_after_ms + shard->policy.clock_bound_ms) {
		gh_shard_act(shard, GH_ACTION_BAR, task, false, 0);
	}
}

static void answer_bar(gh_shard_t *shard, gh_task_ref_t task, gh_reply_t answer,
		       const char *checkpoint, const gh_now_t *now)
{
	(void)checkpoint;
	if (answer == GH_REPLY_OK) {
		shard->counts.lost++;
		end_attempt(shard, task, GH_END_LOST, NULL);
	} else if (answer == GH_REPLY_RUNNING &&
		   gh_task_at(shard->tasks, task)->state == GH_TASK_INTENT) {
		gh_task_set_running(shard->tasks, task, now->boot);
	}
}

static void answer_throttle(gh_shard_t *shard, gh_task_ref_t task,
			    gh_reply_t answer, const char *checkpoint,
			    const gh_now_t *now)
{
	(void)checkpoint;
	(void)now;
	if (answer != GH_REPLY_OK)
		gh_task_at(shard->tasks, task)->throttled = false;
}

static void report_running(gh_shard_t *shard, gh_task_ref_t task,
			   const gh_report_task_t *entry, const gh_now_t *now)
{
	gh_task_t *t = gh_task_at(shard->tasks, task);
	bool cancelled = gh_job_at(shard->tasks, t->job)->cancelled;

	(void)entry;
	if (t->state == GH_TASK_STOPPING) {
		gh_shard_act(shard, GH_ACTION_STOP, task, !cancelled, 0);
		return;
	}
	if (t->state == GH_TASK_INTENT)
		gh_task_set_running(shard->tasks, task, now->boot);
	if (!cancelled)
		return;
	gh_task_set_stopping(shard->tasks, task);
	gh_shard_act(shard, GH_ACTION_STOP, task, false, 0);
}

static void report_done(gh_shard_t *shard, gh_task_ref_t task,
			const gh_report_task_t *entry, const gh_now_t *now)
{
	gh_handle_t worker = gh_task_at(shard->tasks, task)->worker;
	gh_worker_health_t *health = &gh_shard_worker_at(shard, worker)->health;

	(void)entry;
	(void)now;
	gh_worker_attempt_succeeded(health);
	end_attempt(shard, task, GH_END_DONE, NULL);
}

static void report_failed(gh_shard_t *shard, gh_task_ref_t task,
			  const gh_report_task_t *entry, const gh_now_t *now)
{
	gh_handle_t worker = gh_task_at(shard->tasks, task)->worker;

	(void)entry;
	end_attempt(shard, task, GH_END_FAILED, NULL);
	blame_worker(shard, worker, task, now->boot);
}

static void report_stopped(gh_shard_t *shard, gh_task_ref_t task,
			   const gh_report_task_t *entry, const gh_now_t *now)
{
	(void)now;
	shard->counts.evicted++;
	end_attempt(shard, task, GH_END_EVICTED, entry->checkpoint);
}

static void report_lapsed(gh_shard_t *shard, gh_task_ref_t task,
			  const gh_report_task_t *entry, const gh_now_t *now)
{
	(void)entry;
	(void)now;
	shard->counts.lost++;
	end_attempt(shard, task, GH_END_LOST, NULL);
}

static void report_entry(gh_shard_t *shard, gh_handle_t worker,
			 const gh_report_t *report, size_t at,
			 const gh_now_t *now)
{
	const gh_report_task_t *entry = &report->tasks[at];
	gh_task_ref_t ref = gh_task_find(shard->tasks, entry->task);
	gh_task_t *t;

	if (ref == GH_TASK_NONE) {
		act_on_stray(shard, worker, entry);
		return;
	}
	t = gh_task_at(shard->tasks, ref);
	if (!gh_task_has_open_attempt(t) || t->worker != worker ||
	    t->attempt != entry->attempt) {
		act_on_stray(shard, worker, entry);
		return;
	}
	t->last_report = shard->report;
	/* Without the epoch, an earlier owner may still renew it. */
	if (report->renewed)
		t->unconfirmed = false;
	report_by_state[entry->state](shard, ref, entry, now);
	if (entry->state != GH_REPORT_RUNNING)
		act_on_stray(shard, worker, entry);
}

/*
 * An open attempt that the worker does not list has ended, or has not begun
 * yet.  Once it can no longer begin, the worker is asked to bar it.
 */
static void resolve_missing(gh_shard_t *shard, gh_handle_t worker,
			    const gh_report_t *report, const gh_now_t *now)
{
	gh_task_ref_t ref = gh_task_first_on_worker(shard->tasks, worker);

	for (; ref != GH_TASK_NONE; ref = gh_task_at(shard->tasks, ref)->next) {
		const gh_task_t *t = gh_task_at(shard->tasks, ref);

		if (t->last_report == shard->report ||
		    t->running_since >= report->sent_at ||
		    now->wall_ms <=
			    t->not_after_ms + shard->policy.clock_bound_ms)
			continue;
		gh_shard_act(shard, GH_ACTION_BAR, ref, false, 0);
	}
}

/* Whether every lease that the attempt can have got has run out. */
static bool may_have_ended(const gh_shard_t *shard, const gh_task_t *task,
			   const gh_worker_health_t *health,
			   const gh_now_t *now)
{
	int64_t end_ms = MAX(health->lease_end_ms, task->not_after_ms);

	if (task->unconfirmed)
		end_ms = MAX(end_ms, gh_task_orphans_until(shard->tasks));
	return now->wall_ms > end_ms + shard->policy.clock_bound_ms;
}

static void end_attempt(gh_shard_t *shard, gh_task_ref_t task,
			gh_task_end_t end, const char *checkpoint)
{
	const gh_job_t *job =
		gh_job_at(shard->tasks, gh_task_at(shard->tasks, task)->job);

	gh_task_end_attempt(shard->tasks, shard->log, task, end, checkpoint);
	if (!gh_job_finished(job) || job->cancelled)
		return;
	if (job->count[GH_TASK_FAILED])
		shard->counts.jobs_failed++;
	else
		shard->counts.jobs_done++;
}

/*
 * An attempt that is not the task's open one: it is stopped if it runs, and
 * forgotten if it has ended.
 */
static void act_on_stray(gh_shard_t *shard, gh_handle_t worker,
			 const gh_report_task_t *entry)
{
	gh_held_action_t *held = g_new0(gh_held_action_t, 1);
	gh_action_t *action = &held->action;

	held->commit = shard->log->len ? shard->commit : shard->commit - 1;
	action->kind = entry->state == GH_REPORT_RUNNING ? GH_ACTION_STOP :
							   GH_ACTION_FORGET;
	action->attempt = entry->attempt;
	action->epoch = shard->epoch;
	g_strlcpy(action->task, entry->task, sizeof(action->task));
	g_strlcpy(action->worker, gh_place_worker(shard->place, worker)->name,
		  sizeof(action->worker));
	g_queue_push_tail(&shard->held, held);
}

static void blame_worker(gh_shard_t *shard, gh_handle_t worker,
			 gh_task_ref_t task, gh_time_t now)
{
	gh_worker_health_t *health = &gh_shard_worker_at(shard, worker)->health;
	const gh_task_t *t = gh_task_at(shard->tasks, task);
	const gh_job_t *job = gh_job_at(shard->tasks, t->job);
	gh_worker_failure_t blame = {
		.task = task,
		.attempt = t->attempt,
		.job = (uint32_t)job->id,
		.job_ran_elsewhere = job->succeeded != 0,
	};
	bool was_ejected = health->ejected;
	gh_worker_verdict_t verdict = gh_worker_attempt_failed(
		health, &blame, may_eject(shard),
		gh_time_from_ms(shard->policy.eject_ms), now);

	if (verdict != GH_WORKER_EJECT)
		return;
	if (!was_ejected)
		shard->counts.workers_ejected++;
	excuse_tasks(shard, health);
	health->n_failures = 0;
}

/* Gives back the failures that were the ejected worker's own. */
static void excuse_tasks(gh_shard_t *shard, const gh_worker_health_t *health)
{
	size_t i;

	for (i = 0; i < health->n_failures; i++) {
		const gh_worker_failure_t *blame = &health->failures[i];
		const gh_task_t *t = gh_task_at(shard->tasks, blame->task);
		const gh_job_t *job = gh_job_at(shard->tasks, t->job);

		if (job->spec && (uint32_t)job->id == blame->job &&
		    t->state < GH_TASK_DONE)
			gh_task_uncount_failure(shard->tasks, shard->log,
						blame->task);
	}
}

static bool may_eject(const gh_shard_t *shard)
{
	size_t n = gh_place_count(shard->place);
	size_t ejected = 0;
	size_t i;

	for (i = 0; i < n; i++)
		ejected += gh_shard_worker_at(shard, (gh_handle_t)i)
				   ->health.ejected;
	return ejected * 100 < n * (size_t)shard->policy.eject_max_percent;
}
