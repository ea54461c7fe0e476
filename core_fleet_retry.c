/*
 * Leases that have run out, orders without a reply, and runs on workers that
 * drain.
 */
#include "core_fleet_parts.h"

/*
 * A start order without a reply is abandoned once its worker has been
 * unreachable for longer than this.
 */
#define START_REPLY_TIMEOUT_USEC (GH_USEC_PER_SEC)
/*
 * A worker that reports and has not replied to a run's orders for longer than
 * this gets no other run for as long.
 */
#define ORDER_REPLY_TIMEOUT_USEC (1500 * GH_USEC_PER_MSEC)

static bool has_sent_run(const gh_fleet_t *fleet, const fleet_worker_t *worker);
static bool gets_no_replies(const fleet_worker_t *worker,
			    const fleet_run_t *run, gh_time_t now);
static void void_starts(gh_fleet_t *fleet, fleet_run_t *run, gh_time_t now);

/*
 * Ends the runs of each worker whose lease has expired with certainty.  A run
 * that is not sent needs no lease yet: its start order grants one.
 */
void fleet_retry_expire_leases(gh_fleet_t *fleet, gh_time_t now)
{
	uint32_t i;

	for (i = 0; i < fleet->workers->len; i++) {
		fleet_worker_t *worker = fleet_worker(fleet, i);

		if (!worker->in_use || now <= fleet_lease_last_end(worker) ||
		    !has_sent_run(fleet, worker))
			continue;
		fleet_crash_mark_runs(fleet, i, true, now);
		fleet_worker_end_runs(fleet, i, "its lease ran out", now);
		/* The worker may restart before it is heard again. */
		fleet_fence_raise(fleet, fleet_worker(fleet, i));
		fleet_worker_free_if_unused(fleet, i);
	}
}

static bool has_sent_run(const gh_fleet_t *fleet, const fleet_worker_t *worker)
{
	uint32_t ref;

	for (ref = worker->first_run; ref != GH_NONE;
	     ref = fleet_run(fleet, ref)->next)
		if (!fleet_run_is_unsent(fleet_run(fleet, ref)))
			return true;
	return false;
}

void fleet_retry_orders(gh_fleet_t *fleet, gh_time_t now)
{
	uint32_t i;

	for (i = 0; i < fleet->runs->len; i++) {
		fleet_run_t *run = fleet_run(fleet, i);
		const fleet_worker_t *worker;

		if ((run->state != RUN_STARTING &&
		     run->state != RUN_STOPPING) ||
		    run->replied_at || now < run->retry_at)
			continue;
		worker = fleet_worker(fleet, run->worker);
		if (run->state == RUN_STOPPING) {
			if (gets_no_replies(worker, run, now))
				void_starts(fleet, run, now);
			fleet_order_enqueue(fleet, GH_ORDER_STOP, i);
		} else if (worker->entry.draining || worker->emptied ||
			   !worker->listed ||
			   (worker->unreachable_since &&
			    now - worker->unreachable_since >
				    START_REPLY_TIMEOUT_USEC)) {
			fleet_run_stop(fleet, i, "no reply to its start", now);
		} else if (gets_no_replies(worker, run, now)) {
			void_starts(fleet, run, now);
			fleet_run_stop(fleet, i, "no reply to its start", now);
		} else if (worker->last_requested_at > run->start_sent_at) {
			/* Else the run may have ended in a former life. */
			fleet_order_enqueue(fleet, GH_ORDER_START, i);
		}
	}
}

/* Whether the worker reports and the run's orders have long got no reply. */
static bool gets_no_replies(const fleet_worker_t *worker,
			    const fleet_run_t *run, gh_time_t now)
{
	return worker->has_reported && !worker->unreachable_since &&
	       worker->last_requested_at > run->start_sent_at &&
	       run->unanswered_since &&
	       now - run->unanswered_since > ORDER_REPLY_TIMEOUT_USEC;
}

/*
 * Sees to it that a report can prove that no start of the run is executed any
 * more: that takes a call with a higher fence.
 */
static void void_starts(gh_fleet_t *fleet, fleet_run_t *run, gh_time_t now)
{
	fleet_worker_t *worker = fleet_worker(fleet, run->worker);

	/* There is no offset higher than the last. */
	if (run->void_fence || run->start_fence == GH_FLEET_EPOCH_STEP - 1)
		return;
	if (worker->fence_offset <= run->start_fence)
		fleet_fence_raise(fleet, worker);
	run->void_fence = worker->fence_offset;
	worker->refused_until = now + ORDER_REPLY_TIMEOUT_USEC;
}

/*
 * Stops the long-running runs of draining workers; their other runs may
 * complete.
 */
void fleet_retry_drain(gh_fleet_t *fleet, gh_time_t now)
{
	uint32_t i;

	for (i = 0; i < fleet->workers->len; i++) {
		const fleet_worker_t *worker = fleet_worker(fleet, i);
		uint32_t ref;

		if (!worker->in_use || !worker->entry.draining ||
		    !worker->n_long_running)
			continue;
		for (ref = worker->first_run; ref != GH_NONE;
		     ref = fleet_run(fleet, ref)->next) {
			const fleet_run_t *run = fleet_run(fleet, ref);

			if (run->state == RUN_RUNNING &&
			    fleet_task_step(fleet_job(fleet, run->job),
					    run->task)
				    ->long_running)
				fleet_run_stop(fleet, ref,
					       "its worker is draining", now);
		}
	}
}
