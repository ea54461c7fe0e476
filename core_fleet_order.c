/*
 * Orders to workers: the queue of orders, and what of it is still due when its
 * turn comes.
 */
#include "core_fleet_parts.h"

static bool prepare_start(gh_fleet_t *fleet, uint32_t handle, gh_order_t *order,
			  gh_time_t now);
static bool run_fits(const gh_fleet_t *fleet, const fleet_run_t *run);
static bool order_is_due(gh_order_kind_t kind, run_state_t state);

void fleet_order_enqueue(gh_fleet_t *fleet, gh_order_kind_t kind,
			 uint32_t handle)
{
	fleet_run_t *run = fleet_run(fleet, handle);
	queued_order_t queued = { .kind = kind,
				  .run = handle,
				  .run_number = run->run_number };

	run->retry_at = GH_TIME_NEVER;
	g_queue_push_tail(kind == GH_ORDER_PACE ? fleet->pace_orders :
						  fleet->orders,
			  g_memdup2(&queued, sizeof(queued)));
}

void fleet_stop_enqueue(gh_fleet_t *fleet, const char *worker,
			const char *address, const gh_task_id_t *task,
			uint32_t run)
{
	queued_order_t queued = { .kind = GH_ORDER_STOP,
				  .run = GH_NONE,
				  .run_number = run,
				  .task = *task };

	/* The worker may be freed before the order is sent. */
	g_strlcpy(queued.worker, worker, sizeof(queued.worker));
	g_strlcpy(queued.address, address, sizeof(queued.address));
	g_queue_push_tail(fleet->orders, g_memdup2(&queued, sizeof(queued)));
}

bool gh_fleet_next_order(gh_fleet_t *fleet, gh_order_t *order, gh_time_t now)
{
	queued_order_t *next;

	while ((next = g_queue_pop_head(fleet->orders)) ||
	       (next = g_queue_pop_head(fleet->pace_orders))) {
		queued_order_t queued = *next;
		fleet_run_t *run;
		const fleet_worker_t *worker;
		uint32_t handle;

		g_free(next);
		*order = (gh_order_t){ .kind = queued.kind };
		if (queued.run == GH_NONE) {
			fleet->last_order = queued;
			order->task = queued.task;
			order->run = queued.run_number;
			order->worker = fleet->last_order.worker;
			order->address = fleet->last_order.address;
			handle = fleet_worker_find(fleet, order->worker);
			order->fence_offset = fleet_fence_of(fleet, handle);
			if (handle != GH_NONE)
				order->incarnation_start_ms =
					fleet_worker(fleet, handle)
						->entry.incarnation_start_ms;
			return true;
		}
		run = fleet_run(fleet, queued.run);
		if (run->state == RUN_FREE ||
		    run->run_number != queued.run_number)
			continue;
		if (!order_is_due(queued.kind, run->state))
			continue;
		worker = fleet_worker(fleet, run->worker);
		if (queued.kind == GH_ORDER_START &&
		    !prepare_start(fleet, queued.run, order, now))
			continue;
		run->stops_in_flight += queued.kind == GH_ORDER_STOP;
		run->order_sent = true;
		if (!fleet_worker_heard_at(worker, worker->entry.address))
			run->sent_elsewhere = true;
		order->pace_percent = run->pace_percent;
		order->task =
			fleet_task_id(fleet_job(fleet, run->job), run->task);
		order->run = run->run_number;
		order->worker = worker->entry.id;
		order->address = worker->entry.address;
		order->incarnation_start_ms =
			worker->entry.incarnation_start_ms;
		order->fence_offset = worker->fence_offset;
		return true;
	}
	return false;
}

/*
 * Fills in what only a start order has.  Returns false if the run is ended or
 * stopped instead, as its worker can't take it any more.
 */
static bool prepare_start(gh_fleet_t *fleet, uint32_t handle, gh_order_t *order,
			  gh_time_t now)
{
	fleet_run_t *run = fleet_run(fleet, handle);
	const fleet_job_t *job = fleet_job(fleet, run->job);
	fleet_worker_t *worker = fleet_worker(fleet, run->worker);
	bool fits = run_fits(fleet, run);

	if (!fleet_domain_may_start(fleet, handle, now))
		return false;
	if (!run->order_sent &&
	    (worker->entry.draining || !worker->listed ||
	     worker->unreachable_since || worker->has_unknown_run || !fits)) {
		fleet_run_end(fleet, handle, GH_RUN_NOT_STARTED, NULL, now);
		return false;
	}
	/* An order without a reply may have started the run. */
	if (!fits) {
		fleet_run_stop(fleet, handle, "its worker's capacity shrank",
			       now);
		return false;
	}
	/* The lease of an unreachable worker is not extended, so it expires. */
	order->lease_until =
		worker->unreachable_since ||
				!fleet_unheard_may_grant(fleet, worker) ?
			worker->lease_until :
			fleet_lease_extend(fleet, worker, now);
	run->start_sent_at = now;
	run->start_in_flight = true;
	run->start_fence = worker->fence_offset;
	order->payload = job->spec->payload;
	order->checkpoint = fleet_task(job, run->task)->checkpoint;
	return true;
}

/*
 * Whether the worker's capacity, which can have shrunk since the run was
 * planned, still holds all its runs.
 */
static bool run_fits(const gh_fleet_t *fleet, const fleet_run_t *run)
{
	const fleet_worker_t *worker = fleet_worker(fleet, run->worker);
	const gh_resources_t *size = &worker->entry.size;
	const gh_resources_t *reserved = &worker->reserved;

	return reserved->memory_mb <= size->memory_mb &&
	       reserved->accelerators <= size->accelerators &&
	       (reserved->cores_milli <= size->cores_milli ||
		fleet_task_step(fleet_job(fleet, run->job), run->task)
			->best_effort);
}

/*
 * Whether a queued order still fits the run's present state; else it is
 * dropped.
 */
static bool order_is_due(gh_order_kind_t kind, run_state_t state)
{
	static const run_state_t required_state[] = {
		[GH_ORDER_START] = RUN_STARTING,
		[GH_ORDER_STOP] = RUN_STOPPING,
		[GH_ORDER_PACE] = RUN_RUNNING,
	};

	return state == required_state[kind];
}
