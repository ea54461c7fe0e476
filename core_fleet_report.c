/*
 * Lease renewals of workers, their reports of runs and ends, and their replies
 * to orders.
 */
#include "core_fleet_move.h"

#include <string.h>

/*
 * Wait before another start order to a worker that refused one for lack of
 * capacity.
 */
#define NO_CAPACITY_WAIT_USEC (300 * GH_USEC_PER_MSEC)
/* How long a worker that refused a start as it is unhealthy gets no other. */
#define REFUSED_WAIT_USEC (2 * GH_USEC_PER_SEC)
/*
 * Wait before a task is started again whose start order the worker found
 * invalid.
 */
#define INVALID_WAIT_USEC GH_USEC_PER_SEC
/*
 * Lease renewals in a row that granted nothing, before a pause: they are
 * replied to at once.
 */
#define UNGRANTED_MAX 8
/*
 * Reports in a row before which no order could be sent, from which on starts
 * pause, and the first pause; it doubles so many times at most.
 */
#define UNSENT_PAUSED 3
#define UNSENT_PAUSE_USEC (100 * GH_USEC_PER_MSEC)
#define UNSENT_DOUBLINGS_MAX 5
/* Wait before a failed lease renewal is retried. */
#define RENEWAL_RETRY_USEC (200 * GH_USEC_PER_MSEC)
/*
 * Wait before a lease renewal is retried when another incarnation of the worker
 * replied.
 */
#define RENEWAL_RETRY_RESTARTED_USEC GH_USEC_PER_SEC
/*
 * A confirmed stop order is resent if the worker still lists the run after
 * stop_ms plus this time.
 */
#define STOP_MARGIN_USEC GH_USEC_PER_SEC
/*
 * Wait before the next lease renewal to a worker with ends of runs that are not
 * committed.
 */
#define COMMIT_WAIT_USEC (150 * GH_USEC_PER_MSEC)
/*
 * How long a worker may wait for the end of a run before it replies to a lease
 * renewal.
 */
#define RENEWAL_WAIT_MAX_MS 1000
/*
 * Replaces RENEWAL_WAIT_MAX_MS for workers with long-running and best-effort
 * runs, whose paces are set; shorter, as a reported gauge covers half a second.
 */
#define RENEWAL_WAIT_PACED_MAX_MS 250

static bool is_of_former_life(const fleet_worker_t *worker,
			      const gh_worker_report_t *report);
static void note_connection(fleet_worker_t *worker,
			    const gh_worker_report_t *report, gh_time_t now);
static gh_time_t unsent_pause(const fleet_worker_t *worker);
static void record_listed_run(gh_fleet_t *fleet, uint32_t handle,
			      const gh_report_run_t *listed, gh_time_t now);
static void record_held_run(gh_fleet_t *fleet, uint32_t handle,
			    const gh_report_run_t *listed, gh_time_t now);
static void note_execution(fleet_run_t *run);
static void record_end(gh_fleet_t *fleet, uint32_t handle,
		       const gh_report_end_t *end, gh_time_t now);
static void end_unlisted_runs(gh_fleet_t *fleet, uint32_t handle,
			      const gh_worker_report_t *report, gh_time_t now);
static void end_unsent_runs(gh_fleet_t *fleet, fleet_task_t *task,
			    gh_time_t now);
static uint32_t open_unknown_run(gh_fleet_t *fleet, uint32_t handle,
				 const gh_report_run_t *listed, uint32_t job,
				 gh_time_t now);
static void stop_unknown_run(gh_fleet_t *fleet, uint32_t handle,
			     const gh_report_run_t *listed);
static void handle_run_reply(gh_fleet_t *fleet, const gh_order_t *order,
			     uint32_t worker, gh_order_reply_t reply,
			     gh_time_t now);
static bool was_never_sent(const gh_order_t *order, gh_order_reply_t reply,
			   const fleet_run_t *run);
static void handle_start_reply(gh_fleet_t *fleet, uint32_t ref,
			       gh_order_reply_t reply, gh_time_t now);
static void handle_stop_reply(fleet_run_t *run, gh_order_reply_t reply,
			      gh_time_t now);
static bool renewal_is_due(gh_fleet_t *fleet, uint32_t handle, int64_t *wait_ms,
			   gh_time_t now);
static bool proof_is_awaited(const gh_fleet_t *fleet,
			     const fleet_worker_t *worker, bool *is_due);
static bool ack_is_due(const fleet_worker_t *worker);
static uint32_t find_run(const gh_fleet_t *fleet, const gh_task_id_t *id,
			 uint32_t number, uint32_t worker, uint32_t *job);

void gh_fleet_handle_report(gh_fleet_t *fleet, const char *id,
			    const gh_worker_report_t *report, gh_time_t now)
{
	uint32_t handle = fleet_worker_find(fleet, id);
	fleet_worker_t *worker;
	size_t i;

	if (handle == GH_NONE)
		return;
	if (is_of_former_life(fleet_worker(fleet, handle), report))
		return;
	fleet_worker_set_incarnation(
		fleet, handle, report->incarnation_start_ms, "report", now);
	worker = fleet_worker(fleet, handle);
	/*
	 * Until a call with the present offset has been executed, earlier ones
	 * may be, which change what this report lists.
	 */
	if (report->fence_offset != worker->fence_offset)
		return;
	worker->renewal_pending = false;
	if (!worker->has_reported)
		fleet_lease_note_life(fleet, worker, report->clock_ms, now);
	if (*worker->renewal_address)
		g_strlcpy(worker->heard_address, worker->renewal_address,
			  sizeof(worker->heard_address));
	fleet_lease_bound(fleet, worker, now);
	if (worker->unreachable_since || !worker->has_reported) {
		fleet_emit_event(fleet, "worker_heard", NULL, 0, handle, NULL);
		fleet_late_stop(fleet, handle, true, now);
	}
	if (!worker->has_reported)
		worker->heard_since = now;
	if (worker->unreachable_since)
		worker->silence_ended_at = now;
	worker->has_reported = true;
	worker->has_later_life = false;
	worker->unreachable_since = 0;
	worker->last_report_at = now;
	worker->last_requested_at = report->requested_at;
	note_connection(worker, report, now);
	fleet_crash_handle_report(fleet, handle, now);
	fleet->report_number++;
	worker->has_unknown_run = false;
	worker->first_listed_end = report->n_ends ? report->ends[0].number : 0;
	for (i = 0; i < report->n_ends; i++)
		record_end(fleet, handle, &report->ends[i], now);
	for (i = 0; i < report->n_runs; i++)
		record_listed_run(fleet, handle, &report->runs[i], now);
	if (report->complete) {
		end_unlisted_runs(fleet, handle, report, now);
		fleet_late_handle_report(fleet, handle, report->requested_at);
	}
	fleet_acks_advance(fleet, handle);
	fleet_pace_update(fleet, handle, now);
	fleet_worker_free_if_unused(fleet, handle);
}

/* What the report tells of the connections to the worker. */
static void note_connection(fleet_worker_t *worker,
			    const gh_worker_report_t *report, gh_time_t now)
{
	if (worker->unsent_at && report->requested_at > worker->unsent_at) {
		worker->unsent_until = worker->unsent_at + unsent_pause(worker);
		worker->unsent_at = 0;
	}
	if (!report->granted_nothing) {
		worker->n_ungranted = 0;
		return;
	}
	worker->acked_end_sent = 0;
	if (++worker->n_ungranted == UNGRANTED_MAX) {
		worker->n_ungranted = 0;
		worker->renewal_not_before = now + RENEWAL_RETRY_USEC;
	}
}

/*
 * Pause after an order that could not be sent to a worker that reports: none
 * at first, then longer each time.
 */
static gh_time_t unsent_pause(const fleet_worker_t *worker)
{
	uint32_t doublings;

	if (worker->n_unsent < UNSENT_PAUSED)
		return 0;
	doublings = MIN(worker->n_unsent - UNSENT_PAUSED, UNSENT_DOUBLINGS_MAX);
	return MIN(UNSENT_PAUSE_USEC << doublings, REFUSED_WAIT_USEC);
}

/*
 * Whether the report was overtaken by the news that the worker has restarted.
 * The time of the request tells it, not the order of the starts, as a worker's
 * wall clock may be set back.
 */
static bool is_of_former_life(const fleet_worker_t *worker,
			      const gh_worker_report_t *report)
{
	return report->incarnation_start_ms &&
	       report->incarnation_start_ms !=
		       worker->entry.incarnation_start_ms &&
	       report->requested_at < worker->restart_known_at;
}

void gh_fleet_handle_renewal_failure(gh_fleet_t *fleet, const char *id,
				     uint32_t fence_offset,
				     gh_order_reply_t why, gh_time_t now)
{
	uint32_t handle = fleet_worker_find(fleet, id);
	fleet_worker_t *worker;

	if (handle == GH_NONE)
		return;
	worker = fleet_worker(fleet, handle);
	if (fence_offset != worker->fence_offset)
		return;
	worker->renewal_pending = false;
	worker->renewal_not_before = now + RENEWAL_RETRY_USEC;
	if (why == GH_ORDER_FENCED) {
		fleet->fenced = true;
		return;
	}
	if (why == GH_ORDER_OUTCOME_UNKNOWN && worker->renewal_grants)
		fleet_lease_note_unanswered(worker, worker->renewal_sent_at);
	if (!worker->unreachable_since) {
		worker->unreachable_since = now;
		if (worker->n_runs && worker->has_reported)
			fleet_crash_note_outage(fleet, now);
		fleet_emit_event(fleet, "worker_unheard", NULL, 0, handle,
				 NULL);
	}
	if (why == GH_ORDER_OTHER_INCARNATION) {
		worker->renewal_not_before = now + RENEWAL_RETRY_RESTARTED_USEC;
		if (fleet_worker_heard_at(worker, worker->renewal_address)) {
			fleet_crash_mark_runs(fleet, handle, false, now);
			fleet_crash_handle_restart(fleet, handle, now);
			fleet_worker_end_runs(fleet, handle,
					      "another incarnation replied",
					      now);
		}
	}
	fleet_worker_free_if_unused(fleet, handle);
}

void gh_fleet_handle_reply(gh_fleet_t *fleet, const gh_order_t *order,
			   gh_order_reply_t reply, gh_time_t now)
{
	uint32_t handle = fleet_worker_find(fleet, order->worker);
	/* Else it was sent before the last restart was known. */
	bool is_present = order->fence_offset == fleet_fence_of(fleet, handle);
	bool is_later = reply == GH_ORDER_LATER_LIFE;

	if (reply == GH_ORDER_FENCED) {
		if (is_present) {
			fleet->fenced = true;
			return;
		}
		reply = GH_ORDER_OVERTAKEN;
	}
	if (is_later)
		reply = GH_ORDER_OUTCOME_UNKNOWN;
	/* A late start that has begun is an open run as well. */
	if (order->kind == GH_ORDER_STOP)
		fleet_late_handle_reply(fleet, order->worker, &order->task,
					order->run, reply, now);
	if (handle == GH_NONE)
		return;
	if (reply == GH_ORDER_OK && is_present)
		fleet_worker(fleet, handle)->n_unsent = 0;
	handle_run_reply(fleet, order, handle, reply, now);
	if (!is_present)
		return;
	if (is_later)
		fleet_worker_note_later_life(fleet, handle, now);
	else if (reply == GH_ORDER_OVERTAKEN)
		fleet_worker_set_incarnation(fleet, handle,
					     order->replied_start_ms,
					     "reply to an order", now);
}

/* What a reply to an order tells of its run. */
static void handle_run_reply(gh_fleet_t *fleet, const gh_order_t *order,
			     uint32_t worker, gh_order_reply_t reply,
			     gh_time_t now)
{
	gh_order_kind_t kind = order->kind;
	uint32_t job;
	uint32_t ref = find_run(fleet, &order->task, order->run, worker, &job);
	fleet_run_t *run;

	if (ref == GH_NONE)
		return;
	run = fleet_run(fleet, ref);
	if (was_never_sent(order, reply, run) && run->state == RUN_STOPPING) {
		run->start_in_flight = false;
		fleet_run_end(fleet, ref, GH_RUN_NOT_STARTED, NULL, now);
		return;
	}
	if (kind == GH_ORDER_START) {
		if (run->start_in_flight && reply == GH_ORDER_OUTCOME_UNKNOWN) {
			run->start_unanswered = true;
			fleet_lease_note_unanswered(fleet_worker(fleet, worker),
						    run->start_sent_at);
		}
		run->start_in_flight = false;
	} else if (kind == GH_ORDER_STOP && run->stops_in_flight) {
		run->stops_in_flight--;
	}
	if (reply == GH_ORDER_OUTCOME_UNKNOWN && kind != GH_ORDER_PACE &&
	    !run->unanswered_since)
		run->unanswered_since = now;
	if (reply == GH_ORDER_OTHER_INCARNATION) {
		/* A start that this answers at once was not executed. */
		bool unexecuted =
			run->state == RUN_STARTING && !run->start_unanswered;

		/*
		 * The order may have been sent before the worker restarted, so
		 * the reply is evidence for this run only.
		 */
		if (unexecuted || !run->sent_elsewhere) {
			if (!unexecuted)
				fleet_crash_mark_runs(fleet, worker, false,
						      now);
			fleet_run_end(fleet, ref, GH_RUN_LOST, NULL, now);
			return;
		}
		reply = GH_ORDER_OUTCOME_UNKNOWN;
	}
	if (kind == GH_ORDER_START && run->state == RUN_STARTING) {
		handle_start_reply(fleet, ref, reply, now);
	} else if (kind == GH_ORDER_STOP && run->state == RUN_STOPPING) {
		handle_stop_reply(run, reply, now);
	} else if (kind == GH_ORDER_PACE && reply != GH_ORDER_OK) {
		/*
		 * Unless the worker replied GH_ORDER_OK, the pace in force is
		 * not known and the pace is sent again.
		 */
		run->pace_sent_percent = GH_NONE;
	}
}

/* Whether the only start order of the run was withheld or refused. */
static bool was_never_sent(const gh_order_t *order, gh_order_reply_t reply,
			   const fleet_run_t *run)
{
	return order->kind == GH_ORDER_START && run->start_in_flight &&
	       !run->start_unanswered && !run->alive_since &&
	       (reply == GH_ORDER_REFUSED || reply == GH_ORDER_UNSENT ||
		(reply == GH_ORDER_OVERTAKEN && order->replied_start_ms));
}

static void handle_start_reply(gh_fleet_t *fleet, uint32_t ref,
			       gh_order_reply_t reply, gh_time_t now)
{
	fleet_run_t *run = fleet_run(fleet, ref);
	fleet_worker_t *worker = fleet_worker(fleet, run->worker);
	fleet_task_t *task = fleet_task(fleet_job(fleet, run->job), run->task);

	switch (reply) {
	case GH_ORDER_OK:
	case GH_ORDER_STALE_RUN:
		/*
		 * After GH_ORDER_STALE_RUN the worker's next report says how
		 * the run ended.
		 */
		run->state = RUN_RUNNING;
		run->replied_at = now;
		if (reply == GH_ORDER_OK)
			fleet_crash_note_begun(fleet, ref, now);
		run->pace_effective_at = now;
		fleet->counts.started++;
		return;
	case GH_ORDER_OUTCOME_UNKNOWN:
		run->retry_at = now + ORDER_RETRY_USEC;
		return;
	case GH_ORDER_NO_CAPACITY:
		worker->full_until = now + NO_CAPACITY_WAIT_USEC;
		fleet->counts.no_capacity++;
		break;
	case GH_ORDER_REFUSED:
		worker->refused_until = now + REFUSED_WAIT_USEC;
		break;
	case GH_ORDER_UNSENT:
		/* Orders that wait at one time fail together. */
		worker->n_unsent += !worker->unsent_at;
		worker->unsent_at = now;
		worker->unsent_until = now + REFUSED_WAIT_USEC;
		break;
	case GH_ORDER_INVALID:
		task->not_before = now + INVALID_WAIT_USEC;
		break;
	default:
		break;
	}
	/*
	 * The refusal does not extend to an earlier order, which can still
	 * start the run until a stop order has been replied to.
	 */
	if (run->start_unanswered)
		fleet_run_stop(fleet, ref, "a start order was unanswered", now);
	else
		fleet_run_end(fleet, ref, GH_RUN_NOT_STARTED, NULL, now);
}

static void handle_stop_reply(fleet_run_t *run, gh_order_reply_t reply,
			      gh_time_t now)
{
	if (run->stops_overtaken) {
		/* A former life may have replied. */
		if (run->stops_in_flight)
			return;
		run->stops_overtaken = false;
		run->retry_at = now;
	} else if (!fleet_stop_was_executed(reply)) {
		run->retry_at = now + ORDER_RETRY_USEC;
	} else {
		run->replied_at = now;
	}
}

bool fleet_stop_was_executed(gh_order_reply_t reply)
{
	return reply != GH_ORDER_OUTCOME_UNKNOWN &&
	       reply != GH_ORDER_OVERTAKEN && reply != GH_ORDER_REFUSED &&
	       reply != GH_ORDER_UNSENT && reply != GH_ORDER_INVALID;
}

bool gh_fleet_next_renewal(gh_fleet_t *fleet, gh_worker_renewal_t *renewal,
			   gh_time_t now)
{
	uint32_t n = fleet->workers->len;
	uint32_t i;

	for (i = 0; i < n; i++) {
		uint32_t handle = (fleet->next_renewal_worker + i) % n;
		fleet_worker_t *worker = fleet_worker(fleet, handle);
		int64_t wait_ms = 0;

		if (!worker->in_use || worker->renewal_pending ||
		    now < worker->renewal_not_before || !*worker->entry.address)
			continue;
		fleet_acks_advance(fleet, handle);
		if (!renewal_is_due(fleet, handle, &wait_ms, now))
			continue;
		worker->renewal_pending = true;
		g_strlcpy(worker->renewal_address, worker->entry.address,
			  sizeof(worker->renewal_address));
		*renewal = (gh_worker_renewal_t){
			.worker = worker->entry.id,
			.address = worker->entry.address,
			.incarnation_start_ms =
				worker->entry.incarnation_start_ms,
			.fence_offset = worker->fence_offset,
			.max_wait_ms = wait_ms,
		};
		if (ack_is_due(worker))
			renewal->acked_end = worker->acked_end_sent =
				worker->acked_end;
		/*
		 * The lease of an unreachable worker is not extended, so that
		 * it can expire.
		 */
		worker->renewal_sent_at = now;
		worker->renewal_grants = !worker->unreachable_since &&
					 fleet_unheard_may_grant(fleet, worker);
		if (worker->renewal_grants)
			renewal->lease_until =
				fleet_lease_extend(fleet, worker, now);
		fleet->next_renewal_worker = handle + 1;
		return true;
	}
	return false;
}

static bool renewal_is_due(gh_fleet_t *fleet, uint32_t handle, int64_t *wait_ms,
			   gh_time_t now)
{
	const fleet_worker_t *worker = fleet_worker(fleet, handle);
	/*
	 * A renewal that granted nothing has opened a connection for the next
	 * one, which the worker may close if it is idle for long.
	 */
	bool report_is_old = worker->n_ungranted ||
			     now - worker->last_report_at > COMMIT_WAIT_USEC;
	bool proof_is_due;

	if (!worker->has_reported || worker->unreachable_since)
		return worker->listed || worker->n_runs;
	/* Its lease is extended once the chain record allows it. */
	if (!fleet_unheard_may_grant(fleet, worker))
		return report_is_old;
	/*
	 * The worker replies at once while the end of a run is not
	 * acknowledged, so renewals are spaced by COMMIT_WAIT_USEC.
	 */
	if (worker->last_listed_end > worker->acked_end)
		return report_is_old;
	if (fleet_crash_wants_report(worker, now) || worker->late_report_due ||
	    worker->unsent_at)
		return true;
	/* A restart of a worker with late starts has to be heard of soon. */
	if (!worker->n_runs && !worker->has_unknown_run &&
	    !worker->n_late_starts)
		return ack_is_due(worker) &&
		       (worker->acked_end > worker->acked_end_sent ||
			report_is_old);
	if (proof_is_awaited(fleet, worker, &proof_is_due))
		return proof_is_due || report_is_old;
	*wait_ms = worker->n_long_running && worker->n_best_effort &&
				   !fleet_is_late(fleet) ?
			   RENEWAL_WAIT_PACED_MAX_MS :
			   RENEWAL_WAIT_MAX_MS;
	return true;
}

/*
 * Whether the worker's last report does not list a run that is being stopped.
 * Only one that is requested after the reply to the stop proves that the run is
 * gone; *is_due tells whether the last one was requested before.  Likewise, a
 * start without a reply is sent again only after such a report.
 */
static bool proof_is_awaited(const gh_fleet_t *fleet,
			     const fleet_worker_t *worker, bool *is_due)
{
	bool is_awaited = false;
	uint32_t ref;

	*is_due = false;
	for (ref = worker->first_run; ref != GH_NONE;
	     ref = fleet_run(fleet, ref)->next) {
		const fleet_run_t *run = fleet_run(fleet, ref);

		if (run->state == RUN_STARTING && run->start_unanswered &&
		    worker->last_requested_at <= run->start_sent_at)
			is_awaited = *is_due = true;
		if (run->state != RUN_STOPPING ||
		    run->listed_at >= worker->last_report_at)
			continue;
		is_awaited = true;
		*is_due |= run->replied_at >= worker->last_requested_at;
	}
	return is_awaited;
}

/*
 * Whether the worker is to forget ends.  It may have restarted since its last
 * report, with the numbering of ends begun anew, so nothing is acknowledged but
 * what that report lists.
 */
static bool ack_is_due(const fleet_worker_t *worker)
{
	return !worker->unreachable_since && worker->first_listed_end &&
	       worker->first_listed_end <= worker->acked_end;
}

static void record_end(gh_fleet_t *fleet, uint32_t handle,
		       const gh_report_end_t *end, gh_time_t now)
{
	fleet_worker_t *worker = fleet_worker(fleet, handle);
	uint32_t job;
	uint32_t run;

	if (end->number <= worker->last_listed_end)
		return;
	worker->last_listed_end = end->number;
	run = find_run(fleet, &end->task, end->run, handle, &job);
	if (run != GH_NONE) {
		note_execution(fleet_run(fleet, run));
		fleet_run_end(fleet, run, end->outcome, end->checkpoint, now);
	} else if (job != GH_NONE && end->outcome == GH_RUN_DONE) {
		fleet_task_note_done(fleet, job, end, handle, now);
	}
	/* Ending the job's last run may have freed the job. */
	if (job != GH_NONE && !fleet_job(fleet, job)->spec)
		job = GH_NONE;
	fleet_ack_add(fleet, handle, end->number, job);
}

static void record_listed_run(gh_fleet_t *fleet, uint32_t handle,
			      const gh_report_run_t *listed, gh_time_t now)
{
	uint32_t job;
	uint32_t ref =
		find_run(fleet, &listed->task, listed->run, handle, &job);
	fleet_run_t *run;
	fleet_task_t *task;

	if (job != GH_NONE && fleet_job(fleet, job)->held &&
	    fleet_job(fleet, job)->phase <= GH_JOB_RUNNING) {
		record_held_run(fleet, handle, listed, now);
		return;
	}
	if (ref == GH_NONE)
		ref = open_unknown_run(fleet, handle, listed, job, now);
	if (ref == GH_NONE) {
		stop_unknown_run(fleet, handle, listed);
		return;
	}
	run = fleet_run(fleet, ref);
	run->last_report = fleet->report_number;
	note_execution(run);
	if (run->state == RUN_ORPHAN || run->state == RUN_STARTING) {
		run->state = RUN_RUNNING;
		run->replied_at = now;
	}
	fleet_run_note_progress(run, listed->progress_percent, now);
	run->gauge = listed->gauge;
	fleet_crash_clear(fleet, ref, now);
	task = fleet_task(fleet_job(fleet, job), run->task);
	if (task->done) {
		/*
		 * The run is a second copy of a task that is done; the previous
		 * owner had not stopped it yet.
		 */
		fleet_run_stop(fleet, ref, "task is done", now);
	}
	if (*listed->checkpoint &&
	    g_strcmp0(task->checkpoint, listed->checkpoint) != 0) {
		g_free(task->checkpoint);
		task->checkpoint = g_strdup(listed->checkpoint);
	}
	if (run->state == RUN_STOPPING && run->replied_at &&
	    now - run->replied_at >
		    gh_time_from_ms(fleet->setup.stop_ms) + STOP_MARGIN_USEC) {
		run->replied_at = 0;
		fleet_order_enqueue(fleet, GH_ORDER_STOP, ref);
	}
}

/* Takes note of a run of a held job, so that it takes up capacity. */
static void record_held_run(gh_fleet_t *fleet, uint32_t handle,
			    const gh_report_run_t *listed, gh_time_t now)
{
	uint32_t job;
	uint32_t ref =
		find_run(fleet, &listed->task, listed->run, handle, &job);
	uint32_t task = fleet_task_find(fleet_job(fleet, job), &listed->task);

	if (ref == GH_NONE && task != GH_NONE &&
	    fleet_task(fleet_job(fleet, job), task)
			    ->runs[GH_TASK_RUNS_MAX - 1] == GH_NONE)
		ref = fleet_run_open(fleet, job, task, handle, listed->run,
				     RUN_HELD, now);
	if (ref != GH_NONE)
		fleet_run(fleet, ref)->last_report = fleet->report_number;
	else
		fleet_worker(fleet, handle)->has_unknown_run = true;
}

/* Takes note that a report shows a start of the run to be executed. */
static void note_execution(fleet_run_t *run)
{
	/* Of several start orders it may be any. */
	if (!run->start_unanswered)
		run->start_in_flight = false;
}

/* Ends as lost the runs that the worker's report should list and does not. */
static void end_unlisted_runs(gh_fleet_t *fleet, uint32_t handle,
			      const gh_worker_report_t *report, gh_time_t now)
{
	uint32_t fence = fleet_worker(fleet, handle)->fence_offset;
	uint32_t ref = fleet_worker(fleet, handle)->first_run;

	while (ref != GH_NONE) {
		fleet_run_t *run = fleet_run(fleet, ref);
		uint32_t next = run->next;
		bool replied_before = run->replied_at &&
				      run->replied_at < report->requested_at;
		/*
		 * A run is lost if it was started before the report was
		 * requested and is not listed.  An orphan without a reply time
		 * was started by a previous owner, thus before the request.
		 * One that is being stopped is also lost if the worker executes
		 * none of its starts any more.
		 */
		bool is_void = run->state == RUN_STOPPING && run->void_fence &&
			       fence >= run->void_fence;
		bool is_lost =
			run->last_report != fleet->report_number &&
			(run->state == RUN_HELD || is_void ||
			 (run->state == RUN_ORPHAN &&
			  (replied_before || !run->replied_at)) ||
			 (replied_before && (run->state == RUN_RUNNING ||
					     run->state == RUN_STOPPING)));

		if (is_lost) {
			run->start_is_void = is_void;
			fleet_crash_mark_unlisted(fleet, ref, now);
			fleet_run_end(fleet, ref, GH_RUN_LOST, NULL, now);
			/*
			 * Ending a run can end other runs of its job on this
			 * worker, so the scan starts again.
			 */
			next = fleet_worker(fleet, handle)->first_run;
		}
		ref = next;
	}
}

/* Ends the task's runs no order of which was sent. */
static void end_unsent_runs(gh_fleet_t *fleet, fleet_task_t *task,
			    gh_time_t now)
{
	uint32_t i = GH_TASK_RUNS_MAX;

	/* From the last one on, as the others move up. */
	while (i--) {
		uint32_t ref = task->runs[i];
		const fleet_run_t *run =
			ref == GH_NONE ? NULL : fleet_run(fleet, ref);

		if (run && fleet_run_is_unsent(run))
			fleet_run_end(fleet, ref, GH_RUN_NOT_STARTED, NULL,
				      now);
	}
}

/*
 * Opens and stops a run of a task that has been given up or belongs to a start
 * that was executed late, so that the task does not start again beside it.
 * Returns GH_NONE if the task has no place for it.
 */
static uint32_t open_unknown_run(gh_fleet_t *fleet, uint32_t handle,
				 const gh_report_run_t *listed, uint32_t job,
				 gh_time_t now)
{
	const fleet_job_t *parent;
	fleet_task_t *task;
	uint32_t index, ref;

	if (job == GH_NONE)
		return GH_NONE;
	parent = fleet_job(fleet, job);
	index = fleet_task_find(parent, &listed->task);
	if (index == GH_NONE ||
	    fleet_run_find(fleet, parent, index, listed->run) != GH_NONE)
		return GH_NONE;
	if (!fleet_move_keep(fleet_job(fleet, job), index))
		return GH_NONE;
	task = fleet_task(parent, index);
	end_unsent_runs(fleet, task, now);
	/* A member of a gang that ends ends the gang's other runs. */
	if (task->runs[GH_TASK_RUNS_MAX - 1] != GH_NONE ||
	    (task->runs[0] != GH_NONE && fleet_task_step(parent, index)->gang))
		return GH_NONE;
	fleet_emit_event(fleet, "run_unknown", &listed->task, listed->run,
			 handle, NULL);
	ref = fleet_run_open(fleet, job, index, handle, listed->run, RUN_ORPHAN,
			     now);
	/* It is alive, so the lease may be longer than the known one. */
	fleet_lease_note_longest(fleet, fleet_worker(fleet, handle), now);
	fleet_run_stop(fleet, ref, "its task has given it up", now);
	return ref;
}

static void stop_unknown_run(gh_fleet_t *fleet, uint32_t handle,
			     const gh_report_run_t *listed)
{
	fleet_worker_t *worker = fleet_worker(fleet, handle);

	worker->has_unknown_run = true;
	fleet_emit_event(fleet, "run_unknown", &listed->task, listed->run,
			 handle, NULL);
	fleet_stop_enqueue(fleet, worker->entry.id, worker->entry.address,
			   &listed->task, listed->run);
}

static uint32_t find_run(const gh_fleet_t *fleet, const gh_task_id_t *id,
			 uint32_t number, uint32_t worker, uint32_t *job)
{
	uint32_t task;
	uint32_t ref;

	*job = fleet_job_find(fleet, id->job);
	if (*job == GH_NONE)
		return GH_NONE;
	task = fleet_task_find(fleet_job(fleet, *job), id);
	if (task == GH_NONE)
		return GH_NONE;
	ref = fleet_run_find(fleet, fleet_job(fleet, *job), task, number);
	return ref != GH_NONE && fleet_run(fleet, ref)->worker == worker ?
		       ref :
		       GH_NONE;
}
