/*
 * What workers say: their lists of runs and ends, and answers to orders.
 */
#include "core_fleet_state.h"

#include <string.h>

#define ORDER_RETRY (100 * GH_USEC_PER_MSEC) /* after an order unanswered */
#define FULL_WAIT (300 * GH_USEC_PER_MSEC)   /* after a refusal for room */
#define UNWELL_WAIT (2 * GH_USEC_PER_SEC)    /* after an unwell refusal */
#define INVALID_WAIT GH_USEC_PER_SEC /* before a start that was invalid */
#define HOLD_RETRY (200 * GH_USEC_PER_MSEC)
#define HOLD_RETRY_GONE GH_USEC_PER_SEC /* another life answered */
#define STOP_SLACK                                                 \
	GH_USEC_PER_SEC /* beyond stop_ms, before a stop is resent \
			 */
#define COMMIT_WAIT (150 * GH_USEC_PER_MSEC) /* for ends to be committed */
#define HOLD_WAIT_MS 1000      /* longest wait of a hold for an end */
#define HOLD_WAIT_PACED_MS 250 /* the gauge covers half a second */

static void take_run(gh_fleet_t *fleet, uint32_t handle,
		     const gh_report_run_t *listed, gh_time_t now);
static void take_end(gh_fleet_t *fleet, uint32_t handle,
		     const gh_report_end_t *end, gh_time_t now);
static void settle_unlisted(gh_fleet_t *fleet, uint32_t handle,
			    const gh_worker_report_t *report, gh_time_t now);
static void stop_unknown(gh_fleet_t *fleet, uint32_t handle,
			 const gh_report_run_t *listed);
static void start_answered(gh_fleet_t *fleet, uint32_t ref,
			   gh_order_reply_t answer, gh_time_t now);
static bool hold_due(gh_fleet_t *fleet, uint32_t handle, int64_t *wait_ms,
		     gh_time_t now);
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
	fleet_worker_life(fleet, handle, report->incarnation_start_ms, now);
	worker = fleet_worker(fleet, handle);
	if (worker->unheard || !worker->known)
		fleet_say(fleet, "worker_heard", NULL, 0, handle, NULL);
	worker->holding = false;
	worker->known = true;
	worker->unheard = 0;
	worker->held_at = now;
	fleet->report++;
	worker->strange = false;
	for (i = 0; i < report->n_ends; i++)
		take_end(fleet, handle, &report->ends[i], now);
	for (i = 0; i < report->n_runs; i++)
		take_run(fleet, handle, &report->runs[i], now);
	if (report->complete)
		settle_unlisted(fleet, handle, report, now);
	fleet_acks_advance(fleet, handle);
	fleet_pace_worker(fleet, handle, now);
	fleet_worker_drop_if_over(fleet, handle);
}

void gh_fleet_handle_renewal_failure(gh_fleet_t *fleet, const char *id,
				     gh_order_reply_t why, gh_time_t now)
{
	uint32_t handle = fleet_worker_find(fleet, id);
	fleet_worker_t *worker;

	if (handle == GH_NONE)
		return;
	worker = fleet_worker(fleet, handle);
	worker->holding = false;
	worker->hold_from = now + HOLD_RETRY;
	if (why == GH_ORDER_FENCED) {
		fleet->fenced = true;
		return;
	}
	if (!worker->unheard) {
		worker->unheard = now;
		fleet_say(fleet, "worker_unheard", NULL, 0, handle, NULL);
	}
	if (why == GH_ORDER_OTHER_INCARNATION) {
		worker->hold_from = now + HOLD_RETRY_GONE;
		fleet_worker_lost(fleet, handle, "another life answers", now);
	}
	fleet_worker_drop_if_over(fleet, handle);
}

void gh_fleet_handle_reply(gh_fleet_t *fleet, gh_order_kind_t kind,
			   const char *id, const gh_task_id_t *task,
			   uint32_t number, gh_order_reply_t answer,
			   gh_time_t now)
{
	uint32_t worker = fleet_worker_find(fleet, id);
	uint32_t job;
	uint32_t ref;
	fleet_run_t *run;

	if (answer == GH_ORDER_FENCED) {
		fleet->fenced = true;
		return;
	}
	if (worker == GH_NONE)
		return;
	if (answer == GH_ORDER_OTHER_INCARNATION) {
		fleet_worker_lost(fleet, worker, "another life answers", now);
		return;
	}
	ref = find_run(fleet, task, number, worker, &job);
	if (ref == GH_NONE)
		return;
	run = fleet_run(fleet, ref);
	if (kind == GH_ORDER_START && run->state == RUN_STARTING) {
		start_answered(fleet, ref, answer, now);
	} else if (kind == GH_ORDER_STOP && run->state == RUN_STOPPING) {
		if (answer == GH_ORDER_OUTCOME_UNKNOWN ||
		    answer == GH_ORDER_REFUSED)
			run->retry_at = now + ORDER_RETRY;
		else
			run->answered = now;
	} else if (kind == GH_ORDER_PACE && answer != GH_ORDER_OK) {
		run->pace_sent = GH_NONE; /* to be sent again */
	}
}

static void start_answered(gh_fleet_t *fleet, uint32_t ref,
			   gh_order_reply_t answer, gh_time_t now)
{
	fleet_run_t *run = fleet_run(fleet, ref);
	fleet_worker_t *worker = fleet_worker(fleet, run->worker);
	fleet_task_t *task = &fleet_job(fleet, run->job)->tasks[run->task];

	switch (answer) {
	case GH_ORDER_OK:
	case GH_ORDER_STALE_RUN:
		/* After OLD the next list tells how it ended. */
		run->state = RUN_RUNNING;
		run->answered = now;
		run->pace_at = now;
		fleet->counts.started++;
		return;
	case GH_ORDER_OUTCOME_UNKNOWN:
		run->retry_at = now + ORDER_RETRY;
		return;
	case GH_ORDER_NO_CAPACITY:
		worker->full_until = now + FULL_WAIT;
		fleet->counts.no_capacity++;
		break;
	case GH_ORDER_REFUSED:
		worker->quarantined =
			MAX(worker->quarantined, now + UNWELL_WAIT);
		break;
	case GH_ORDER_INVALID:
		task->not_before = now + INVALID_WAIT;
		break;
	default:
		break;
	}
	fleet_run_end(fleet, ref, GH_RUN_NOT_STARTED, NULL, now);
}

bool gh_fleet_next_renewal(gh_fleet_t *fleet, gh_worker_renewal_t *hold,
			   gh_time_t now)
{
	uint32_t n = fleet->workers->len;
	uint32_t i;

	for (i = 0; i < n; i++) {
		uint32_t handle = (fleet->hold_next + i) % n;
		fleet_worker_t *worker = fleet_worker(fleet, handle);
		int64_t wait_ms = 0;

		if (!worker->used || worker->holding ||
		    now < worker->hold_from || !*worker->entry.address)
			continue;
		fleet_acks_advance(fleet, handle);
		if (!hold_due(fleet, handle, &wait_ms, now))
			continue;
		worker->holding = true;
		worker->acked_sent = worker->acked;
		*hold = (gh_worker_renewal_t){
			.worker = worker->entry.id,
			.address = worker->entry.address,
			.acked_through = worker->acked,
			.max_wait_ms = wait_ms,
		};
		/* A worker that may be gone must not be granted for ever. */
		if (!worker->unheard)
			hold->lease_until = fleet_grant(fleet, worker, now);
		fleet->hold_next = handle + 1;
		return true;
	}
	return false;
}

static bool hold_due(gh_fleet_t *fleet, uint32_t handle, int64_t *wait_ms,
		     gh_time_t now)
{
	const fleet_worker_t *worker = fleet_worker(fleet, handle);
	bool old = now - worker->held_at > COMMIT_WAIT;

	if (!worker->known || worker->unheard)
		return worker->listed || worker->n_runs;
	/* Ends whose change is not committed would be listed again at once. */
	if (worker->listed_ends > worker->acked)
		return old;
	if (!worker->n_runs && !worker->strange)
		return worker->acked > worker->acked_sent;
	*wait_ms = worker->lasting && worker->fills ? HOLD_WAIT_PACED_MS :
						      HOLD_WAIT_MS;
	return true;
}

static void take_end(gh_fleet_t *fleet, uint32_t handle,
		     const gh_report_end_t *end, gh_time_t now)
{
	fleet_worker_t *worker = fleet_worker(fleet, handle);
	uint32_t job;
	uint32_t run;

	if (end->number <= worker->listed_ends)
		return;
	worker->listed_ends = end->number;
	run = find_run(fleet, &end->task, end->run, handle, &job);
	if (run != GH_NONE)
		fleet_run_end(fleet, run, end->outcome, end->checkpoint, now);
	/* The job may be gone with its last run. */
	if (job != GH_NONE && !fleet_job(fleet, job)->spec)
		job = GH_NONE;
	fleet_ack_add(fleet, handle, end->number, job);
}

static void take_run(gh_fleet_t *fleet, uint32_t handle,
		     const gh_report_run_t *listed, gh_time_t now)
{
	uint32_t job;
	uint32_t ref =
		find_run(fleet, &listed->task, listed->run, handle, &job);
	fleet_run_t *run;
	fleet_task_t *task;

	if (ref == GH_NONE) {
		stop_unknown(fleet, handle, listed);
		return;
	}
	run = fleet_run(fleet, ref);
	run->report = fleet->report;
	if (run->state == RUN_ORPHAN || run->state == RUN_STARTING) {
		run->state = RUN_RUNNING;
		run->answered = now;
	}
	if (!run->running)
		run->running = now;
	if (run->percent != listed->progress_percent) {
		run->percent = listed->progress_percent;
		run->percent_at = now;
	}
	run->gauge = listed->gauge;
	task = &fleet_job(fleet, job)->tasks[run->task];
	if (task->done) {
		/* A copy that its former owner had not stopped yet. */
		fleet_run_stop(fleet, ref, "task is done", now);
	}
	if (*listed->checkpoint &&
	    g_strcmp0(task->saved, listed->checkpoint) != 0) {
		g_free(task->saved);
		task->saved = g_strdup(listed->checkpoint);
	}
	if (run->state == RUN_STOPPING && run->answered &&
	    now - run->answered >
		    gh_time_from_ms(fleet->setup.stop_ms) + STOP_SLACK) {
		run->answered = 0;
		fleet_order(fleet, GH_ORDER_STOP, ref);
	}
}

/* Runs that the list should name and does not are gone. */
static void settle_unlisted(gh_fleet_t *fleet, uint32_t handle,
			    const gh_worker_report_t *report, gh_time_t now)
{
	uint32_t ref = fleet_worker(fleet, handle)->runs;

	while (ref != GH_NONE) {
		fleet_run_t *run = fleet_run(fleet, ref);
		uint32_t next = run->next;
		bool told =
			run->answered && run->answered < report->requested_at;
		/* An orphan's start was answered long ago, if it ever was. */
		bool gone = run->report != fleet->report &&
			    ((run->state == RUN_ORPHAN &&
			      (told || !run->answered)) ||
			     (told && (run->state == RUN_RUNNING ||
				       run->state == RUN_STOPPING)));

		if (gone) {
			fleet_run_end(fleet, ref, GH_RUN_LOST, NULL, now);
			/* Ending a run can end others of its job here. */
			next = fleet_worker(fleet, handle)->runs;
		}
		ref = next;
	}
}

static void stop_unknown(gh_fleet_t *fleet, uint32_t handle,
			 const gh_report_run_t *listed)
{
	order_ref_t ref = { .kind = GH_ORDER_STOP,
			    .run = GH_NONE,
			    .number = listed->run,
			    .worker = handle,
			    .task = listed->task };

	fleet_worker(fleet, handle)->strange = true;
	fleet_say(fleet, "run_unknown", &listed->task, listed->run, handle,
		  NULL);
	g_queue_push_tail(fleet->orders, g_memdup2(&ref, sizeof(ref)));
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
