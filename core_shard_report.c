/*
 * Worker reports and replies to actions: confirms and ends attempts, resolves
 * attempts that a worker does not list, and ejects workers that fail tasks.
 *
 * An attempt ends only once it cannot run any more: its start was refused or
 * not sent, its worker reports the end or has barred it, or all its leases have
 * expired.  Only then may the task start elsewhere.
 */
#include "core_shard_state.h"

#include <string.h>

typedef void (*reply_handler_t)(gh_shard_t *shard, gh_task_ref_t task,
				gh_reply_t reply, const char *checkpoint,
				const gh_now_t *now);
typedef void (*report_handler_t)(gh_shard_t *shard, gh_task_ref_t task,
				 const gh_report_task_t *entry,
				 const gh_now_t *now);

static void handle_start_reply(gh_shard_t *shard, gh_task_ref_t task,
			       gh_reply_t reply, const char *checkpoint,
			       const gh_now_t *now);
static void handle_stop_reply(gh_shard_t *shard, gh_task_ref_t task,
			      gh_reply_t reply, const char *checkpoint,
			      const gh_now_t *now);
static void handle_bar_reply(gh_shard_t *shard, gh_task_ref_t task,
			     gh_reply_t reply, const char *checkpoint,
			     const gh_now_t *now);
static void handle_throttle_reply(gh_shard_t *shard, gh_task_ref_t task,
				  gh_reply_t reply, const char *checkpoint,
				  const gh_now_t *now);
static void handle_running(gh_shard_t *shard, gh_task_ref_t task,
			   const gh_report_task_t *entry, const gh_now_t *now);
static void handle_done(gh_shard_t *shard, gh_task_ref_t task,
			const gh_report_task_t *entry, const gh_now_t *now);
static void handle_failed(gh_shard_t *shard, gh_task_ref_t task,
			  const gh_report_task_t *entry, const gh_now_t *now);
static void handle_stopped(gh_shard_t *shard, gh_task_ref_t task,
			   const gh_report_task_t *entry, const gh_now_t *now);
static void handle_expired(gh_shard_t *shard, gh_task_ref_t task,
			   const gh_report_task_t *entry, const gh_now_t *now);
static void handle_entry(gh_shard_t *shard, gh_handle_t worker,
			 const gh_report_t *report, size_t index,
			 const gh_now_t *now);
static void bar_unlisted_attempts(gh_shard_t *shard, gh_handle_t worker,
				  const gh_report_t *report,
				  const gh_now_t *now);
static bool leases_expired(const gh_shard_t *shard, const gh_task_t *task,
			   const gh_worker_health_t *health, int64_t wall_ms);
static int64_t wall_time_of(gh_time_t boot, const gh_now_t *now);
static void end_attempt(gh_shard_t *shard, gh_task_ref_t task,
			gh_task_end_t end, const char *checkpoint,
			const char *why);
static bool is_late_done(const gh_task_t *task, gh_handle_t worker,
			 const gh_report_task_t *entry);
static void emit_late_entry(gh_shard_t *shard, gh_handle_t worker,
			    const gh_report_task_t *entry);
static void emit_worker(gh_shard_t *shard, const char *name, gh_handle_t worker,
			const char *why);
static void clean_up_attempt(gh_shard_t *shard, gh_handle_t worker,
			     const gh_report_task_t *entry);
static void count_worker_failure(gh_shard_t *shard, gh_handle_t worker,
				 gh_task_ref_t task, gh_time_t now);
static void discount_worker_failures(gh_shard_t *shard,
				     const gh_worker_health_t *health);
static bool may_eject(const gh_shard_t *shard);

static const reply_handler_t reply_handlers[GH_ACTION_COUNT] = {
	[GH_ACTION_START] = handle_start_reply,
	[GH_ACTION_STOP] = handle_stop_reply,
	[GH_ACTION_BAR] = handle_bar_reply,
	[GH_ACTION_THROTTLE] = handle_throttle_reply,
};

static const char *const reply_names[] = {
	[GH_REPLY_OK] = "ok",
	[GH_REPLY_RUNNING] = "running",
	[GH_REPLY_REFUSED] = "refused",
	[GH_REPLY_NO_CAPACITY] = "no capacity",
	[GH_REPLY_NOT_SENT] = "not sent",
	[GH_REPLY_UNKNOWN] = "no reply",
	[GH_REPLY_NOT_FOUND] = "not found",
	[GH_REPLY_FENCED] = "fenced",
};

static const char *const report_state_names[] = {
	[GH_REPORT_RUNNING] = "running", [GH_REPORT_DONE] = "done",
	[GH_REPORT_FAILED] = "failed",	 [GH_REPORT_STOPPED] = "stopped",
	[GH_REPORT_EXPIRED] = "lapsed",
};

static const report_handler_t report_handlers[] = {
	[GH_REPORT_RUNNING] = handle_running,
	[GH_REPORT_DONE] = handle_done,
	[GH_REPORT_FAILED] = handle_failed,
	[GH_REPORT_STOPPED] = handle_stopped,
	[GH_REPORT_EXPIRED] = handle_expired,
};

void gh_shard_handle_reply(gh_shard_t *shard, const gh_action_t *action,
			   gh_reply_t reply, const char *checkpoint,
			   const gh_now_t *now)
{
	gh_task_ref_t ref = gh_task_find(shard->tasks, action->task);
	const gh_task_t *t;

	if (action->kind == GH_ACTION_FORGET)
		gh_shard_emit(shard, &(gh_shard_event_t){
					     .name = "attempt_acknowledged",
					     .task = action->task,
					     .worker = action->worker,
					     .attempt = action->attempt,
					     .why = reply_names[reply],
				     });
	if (ref == GH_TASK_NONE || !reply_handlers[action->kind])
		return;
	t = gh_task_at(shard->tasks, ref);
	if (!gh_task_has_open_attempt(t) || t->attempt != action->attempt)
		return;
	reply_handlers[action->kind](shard, ref, reply, checkpoint, now);
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
	if (!w->health.reachable)
		emit_worker(shard, "worker_heard", handle,
			    report->renewed ? "renewal" : "list");
	gh_worker_reply_received(&w->health);
	w->full = false;
	shard->report_number++;
	for (i = 0; i < report->n_tasks; i++)
		handle_entry(shard, handle, report, i, now);
	bar_unlisted_attempts(shard, handle, report, now);
	gh_shard_process_usage(shard, handle, report);
	gh_shard_update_usable(shard, handle, now->boot);
}

/*
 * Ends the attempts whose leases had expired when the failed call was sent:
 * from then on the worker could have told how they ended.  It may still reply
 * to the next call if the failed one was sent earlier.
 */
void gh_shard_handle_poll_failure(gh_shard_t *shard, const char *worker,
				  gh_time_t sent_at, const gh_now_t *now)
{
	int64_t sent_ms = wall_time_of(sent_at, now);
	gh_handle_t handle = gh_place_find(shard->place, worker);
	gh_worker_health_t *health;
	gh_task_ref_t ref;
	gh_task_ref_t next;

	if (handle == GH_HANDLE_NONE)
		return;
	health = &gh_shard_worker_at(shard, handle)->health;
	if (health->reachable)
		emit_worker(shard, "worker_unheard", handle, NULL);
	gh_worker_reply_missing(health);
	gh_shard_update_usable(shard, handle, now->boot);
	for (ref = gh_task_first_on_worker(shard->tasks, handle);
	     ref != GH_TASK_NONE; ref = next) {
		next = gh_task_at(shard->tasks, ref)->next;
		if (!leases_expired(shard, gh_task_at(shard->tasks, ref),
				    health, sent_ms))
			continue;
		shard->counts.lost++;
		end_attempt(shard, ref, GH_END_LOST, NULL,
			    "its leases expired unheard");
	}
}

static void handle_start_reply(gh_shard_t *shard, gh_task_ref_t task,
			       gh_reply_t reply, const char *checkpoint,
			       const gh_now_t *now)
{
	const gh_task_t *t = gh_task_at(shard->tasks, task);

	(void)checkpoint;
	gh_shard_emit_attempt(shard, "attempt_replied", task,
			      reply_names[reply], false);
	if (reply == GH_REPLY_OK) {
		shard->counts.started++;
		shard->counts.resumed += t->checkpoint != NULL;
		shard->counts.retried += t->failures != 0;
		if (t->state == GH_TASK_INTENT)
			gh_task_set_running(shard->tasks, task, now->boot);
		return;
	}
	if (reply != GH_REPLY_REFUSED && reply != GH_REPLY_NO_CAPACITY &&
	    reply != GH_REPLY_NOT_SENT)
		return;
	shard->counts.refused++;
	if (reply == GH_REPLY_NO_CAPACITY) {
		gh_shard_worker_at(shard, t->worker)->full = true;
		gh_shard_update_usable(shard, t->worker, now->boot);
	}
	end_attempt(shard, task, GH_END_NOT_STARTED, NULL, reply_names[reply]);
}

static void handle_stop_reply(gh_shard_t *shard, gh_task_ref_t task,
			      gh_reply_t reply, const char *checkpoint,
			      const gh_now_t *now)
{
	const gh_task_t *t = gh_task_at(shard->tasks, task);
	gh_handle_t worker = t->worker;
	gh_report_task_t stopped;

	if (reply == GH_REPLY_OK) {
		shard->counts.evicted++;
		stopped = (gh_report_task_t){ .attempt = t->attempt,
					      .state = GH_REPORT_STOPPED };
		gh_task_name(shard->tasks, task, stopped.task);
		end_attempt(shard, task, GH_END_EVICTED, checkpoint, "stopped");
		clean_up_attempt(shard, worker, &stopped);
	} else if (reply == GH_REPLY_NOT_FOUND &&
		   now->wall_ms >
			   t->not_after_ms + shard->policy.clock_bound_ms) {
		gh_shard_queue_action(shard, GH_ACTION_BAR, task, false, 0);
	}
}

static void handle_bar_reply(gh_shard_t *shard, gh_task_ref_t task,
			     gh_reply_t reply, const char *checkpoint,
			     const gh_now_t *now)
{
	(void)checkpoint;
	if (reply == GH_REPLY_OK) {
		shard->counts.lost++;
		end_attempt(shard, task, GH_END_LOST, NULL, "barred");
	} else if (reply == GH_REPLY_RUNNING &&
		   gh_task_at(shard->tasks, task)->state == GH_TASK_INTENT) {
		gh_task_set_running(shard->tasks, task, now->boot);
	}
}

static void handle_throttle_reply(gh_shard_t *shard, gh_task_ref_t task,
				  gh_reply_t reply, const char *checkpoint,
				  const gh_now_t *now)
{
	(void)checkpoint;
	(void)now;
	if (reply != GH_REPLY_OK)
		gh_task_at(shard->tasks, task)->throttled = false;
}

static void handle_running(gh_shard_t *shard, gh_task_ref_t task,
			   const gh_report_task_t *entry, const gh_now_t *now)
{
	gh_task_t *t = gh_task_at(shard->tasks, task);
	bool cancelled = gh_job_at(shard->tasks, t->job)->cancelled;

	(void)entry;
	if (t->state == GH_TASK_STOPPING) {
		gh_shard_queue_action(shard, GH_ACTION_STOP, task, !cancelled,
				      0);
		return;
	}
	if (t->state == GH_TASK_INTENT)
		gh_task_set_running(shard->tasks, task, now->boot);
	if (!cancelled)
		return;
	gh_task_set_stopping(shard->tasks, task);
	gh_shard_queue_action(shard, GH_ACTION_STOP, task, false, 0);
}

static void handle_done(gh_shard_t *shard, gh_task_ref_t task,
			const gh_report_task_t *entry, const gh_now_t *now)
{
	gh_handle_t worker = gh_task_at(shard->tasks, task)->worker;
	gh_worker_health_t *health = &gh_shard_worker_at(shard, worker)->health;

	(void)now;
	gh_worker_attempt_succeeded(health);
	end_attempt(shard, task, GH_END_DONE, NULL,
		    report_state_names[entry->state]);
}

static void handle_failed(gh_shard_t *shard, gh_task_ref_t task,
			  const gh_report_task_t *entry, const gh_now_t *now)
{
	gh_handle_t worker = gh_task_at(shard->tasks, task)->worker;

	end_attempt(shard, task, GH_END_FAILED, NULL,
		    report_state_names[entry->state]);
	count_worker_failure(shard, worker, task, now->boot);
}

static void handle_stopped(gh_shard_t *shard, gh_task_ref_t task,
			   const gh_report_task_t *entry, const gh_now_t *now)
{
	(void)now;
	shard->counts.evicted++;
	end_attempt(shard, task, GH_END_EVICTED, entry->checkpoint,
		    report_state_names[entry->state]);
}

static void handle_expired(gh_shard_t *shard, gh_task_ref_t task,
			   const gh_report_task_t *entry, const gh_now_t *now)
{
	(void)now;
	shard->counts.lost++;
	end_attempt(shard, task, GH_END_LOST, NULL,
		    report_state_names[entry->state]);
}

static void handle_entry(gh_shard_t *shard, gh_handle_t worker,
			 const gh_report_t *report, size_t index,
			 const gh_now_t *now)
{
	const gh_report_task_t *entry = &report->tasks[index];
	gh_task_ref_t ref = gh_task_find(shard->tasks, entry->task);
	gh_task_t *t;

	if (ref == GH_TASK_NONE) {
		clean_up_attempt(shard, worker, entry);
		return;
	}
	t = gh_task_at(shard->tasks, ref);
	if (!gh_task_has_open_attempt(t) || t->worker != worker ||
	    t->attempt != entry->attempt) {
		emit_late_entry(shard, worker, entry);
		if (is_late_done(t, worker, entry)) {
			/* Earlier versions can replay these records, too. */
			gh_task_begin_attempt(shard->tasks, shard->records, ref,
					      worker, now->wall_ms);
			handle_done(shard, ref, entry, now);
		}
		clean_up_attempt(shard, worker, entry);
		return;
	}
	t->last_report = shard->report_number;
	/*
	 * Only a lease renewal carries the owner's epoch.  After a mere list
	 * call, a previous owner may still renew the attempt's lease.
	 */
	if (report->renewed)
		t->unconfirmed = false;
	report_handlers[entry->state](shard, ref, entry, now);
	if (entry->state != GH_REPORT_RUNNING)
		clean_up_attempt(shard, worker, entry);
}

/*
 * Handles open attempts that the worker's report does not list: such an attempt
 * has ended, or its start is still under way.  If the latest start time of the
 * attempt had passed by any host's clock when the report was asked for, the
 * worker is asked to bar it; the reply to this call ends the attempt.  An
 * earlier report may have been made before the start came, and a worker also
 * bars an attempt that has run and ended since.
 */
static void bar_unlisted_attempts(gh_shard_t *shard, gh_handle_t worker,
				  const gh_report_t *report,
				  const gh_now_t *now)
{
	gh_task_ref_t ref = gh_task_first_on_worker(shard->tasks, worker);
	int64_t sent_ms = wall_time_of(report->sent_at, now);

	for (; ref != GH_TASK_NONE; ref = gh_task_at(shard->tasks, ref)->next) {
		const gh_task_t *t = gh_task_at(shard->tasks, ref);

		if (t->last_report == shard->report_number ||
		    t->running_since >= report->sent_at ||
		    sent_ms <= t->not_after_ms + shard->policy.clock_bound_ms)
			continue;
		gh_shard_queue_action(shard, GH_ACTION_BAR, ref, false, 0);
	}
}

/*
 * Whether every lease that the task's open attempt can have received had
 * expired at this time, by any host's clock.
 */
static bool leases_expired(const gh_shard_t *shard, const gh_task_t *task,
			   const gh_worker_health_t *health, int64_t wall_ms)
{
	int64_t end_ms = MAX(health->lease_end_ms, task->not_after_ms);

	if (task->unconfirmed)
		end_ms = MAX(end_ms, gh_task_orphans_until(shard->tasks));
	return wall_ms > end_ms + shard->policy.clock_bound_ms;
}

static int64_t wall_time_of(gh_time_t boot, const gh_now_t *now)
{
	return now->wall_ms - gh_time_to_ms(now->boot - boot);
}

static void end_attempt(gh_shard_t *shard, gh_task_ref_t task,
			gh_task_end_t end, const char *checkpoint,
			const char *why)
{
	const gh_job_t *job =
		gh_job_at(shard->tasks, gh_task_at(shard->tasks, task)->job);

	gh_shard_emit_attempt(shard, "attempt_ended", task, why, true);
	gh_task_end_attempt(shard->tasks, shard->records, task, end,
			    checkpoint);
	if (!gh_job_finished(job) || job->cancelled)
		return;
	if (job->count[GH_TASK_FAILED])
		shard->counts.jobs_failed++;
	else
		shard->counts.jobs_done++;
}

/*
 * Whether the entry says that the task is done by its last attempt, which the
 * owner took for lost, and the task waits for another one.  The task is then
 * recorded as done by an attempt that begins and ends at once.
 */
static bool is_late_done(const gh_task_t *task, gh_handle_t worker,
			 const gh_report_task_t *entry)
{
	return entry->state == GH_REPORT_DONE && task->attempt &&
	       task->attempt == entry->attempt && task->last_worker == worker &&
	       task->state == GH_TASK_PENDING;
}

static void emit_late_entry(gh_shard_t *shard, gh_handle_t worker,
			    const gh_report_task_t *entry)
{
	gh_shard_event_t event = {
		.name = "attempt_listed_late",
		.task = entry->task,
		.worker = gh_place_worker(shard->place, worker)->name,
		.attempt = entry->attempt,
		.why = report_state_names[entry->state],
	};

	gh_shard_emit(shard, &event);
}

static void emit_worker(gh_shard_t *shard, const char *name, gh_handle_t worker,
			const char *why)
{
	gh_shard_event_t event = {
		.name = name,
		.worker = gh_place_worker(shard->place, worker)->name,
		.why = why,
	};

	gh_shard_emit(shard, &event);
}

/*
 * Stops a reported attempt on the worker if it runs, or lets the worker forget
 * it if it has ended.  The attempt is not, or no longer, the task's open
 * attempt.
 */
static void clean_up_attempt(gh_shard_t *shard, gh_handle_t worker,
			     const gh_report_task_t *entry)
{
	gh_deferred_action_t *deferred = g_new0(gh_deferred_action_t, 1);
	gh_action_t *action = &deferred->action;

	deferred->commit = shard->records->len ? shard->next_commit :
						 shard->next_commit - 1;
	action->kind = entry->state == GH_REPORT_RUNNING ? GH_ACTION_STOP :
							   GH_ACTION_FORGET;
	action->attempt = entry->attempt;
	action->epoch = shard->epoch;
	g_strlcpy(action->task, entry->task, sizeof(action->task));
	g_strlcpy(action->worker, gh_place_worker(shard->place, worker)->name,
		  sizeof(action->worker));
	g_queue_push_tail(&shard->deferred, deferred);
}

/* Counts a failed attempt against its worker, which may be ejected for it. */
static void count_worker_failure(gh_shard_t *shard, gh_handle_t worker,
				 gh_task_ref_t task, gh_time_t now)
{
	gh_worker_health_t *health = &gh_shard_worker_at(shard, worker)->health;
	const gh_task_t *t = gh_task_at(shard->tasks, task);
	const gh_job_t *job = gh_job_at(shard->tasks, t->job);
	gh_worker_failure_t failure = {
		.task = task,
		.attempt = t->attempt,
		.job = (uint32_t)job->id,
		.job_ran_elsewhere = job->succeeded != 0,
	};
	bool was_ejected = health->ejected;
	gh_worker_verdict_t verdict = gh_worker_attempt_failed(
		health, &failure, may_eject(shard),
		gh_time_from_ms(shard->policy.eject_ms), now);

	if (verdict != GH_WORKER_EJECT)
		return;
	if (!was_ejected)
		shard->counts.workers_ejected++;
	discount_worker_failures(shard, health);
	health->n_failures = 0;
}

/*
 * Subtracts the failed attempts on an ejected worker from the failure counts of
 * their tasks.
 */
static void discount_worker_failures(gh_shard_t *shard,
				     const gh_worker_health_t *health)
{
	size_t i;

	for (i = 0; i < health->n_failures; i++) {
		const gh_worker_failure_t *failure = &health->failures[i];
		const gh_task_t *t = gh_task_at(shard->tasks, failure->task);
		const gh_job_t *job = gh_job_at(shard->tasks, t->job);

		if (job->spec && (uint32_t)job->id == failure->job &&
		    t->state < GH_TASK_DONE)
			gh_task_uncount_failure(shard->tasks, shard->records,
						failure->task);
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
