/*
 * Start orders without a reply that may be executed after their run has ended.
 *
 * A worker refuses the start of a run that was stopped or has ended there, but
 * once it has restarted under the same id it knows nothing of before: a start
 * order that was delayed then runs the task again.  So such orders are kept
 * per worker id until they can't be executed any more.  When the worker is
 * heard anew, their runs are stopped there, and neither their tasks nor others
 * on that worker are started before the worker has replied to that and then
 * reported what runs there: a run that had begun takes a while to stop.
 *
 * Orders of a previous owner are not kept: a worker refuses them from the first
 * call of the present owner on.
 */
#include "core_fleet_parts.h"

#include <string.h>

/* Orders that are kept at a time. */
#define LATE_STARTS_MAX 8192
#define LATE_CHECK_PERIOD_USEC (100 * GH_USEC_PER_MSEC)

/* A start order that may still be executed; its run has ended. */
typedef struct late_start {
	gh_task_id_t task;
	uint32_t run;
	gh_time_t until; /* it can't be executed after this time */
	/*
	 * Incarnation of the worker in which the run was stopped, is being
	 * stopped or has ended; 0: none.
	 */
	int64_t incarnation_start_ms;
	/* The life with which the run was lost, if it was; 0: not known. */
	int64_t lost_incarnation_ms;
	char address[GH_ADDRESS_MAX + 1]; /* where the stop is sent */
	/* Where the worker was last heard before the run ended. */
	char heard_address[GH_ADDRESS_MAX + 1];
	bool stop_awaited; /* the stop in this incarnation is not proven yet */
	bool stop_in_flight;
	/* When the worker replied to that stop; 0: not yet. */
	gh_time_t replied_at;
	/* The worker has restarted since the stop in flight was sent. */
	bool stop_overtaken;
	gh_time_t retry_at;
	/* The task is not started before this time. */
	gh_time_t wait_until;
} late_start_t;

static bool is_over_for_worker(const fleet_run_t *run,
			       gh_run_outcome_t outcome);
static void update_worker(gh_fleet_t *fleet, const char *id,
			  const GArray *late_starts);
static void begin_stop(gh_fleet_t *fleet, uint32_t handle, late_start_t *late,
		       gh_time_t now);
static void send_stop(gh_fleet_t *fleet, const char *id, late_start_t *late);
static void end_stop(gh_fleet_t *fleet, late_start_t *late);
static void remove_expired(gh_fleet_t *fleet, gh_time_t now);
static void retry_stops(gh_fleet_t *fleet, gh_time_t now);
static bool is_proof(const gh_fleet_t *fleet, const char *id,
		     const late_start_t *late, gh_order_reply_t reply);
static late_start_t *find_late(GArray *late_starts, const gh_task_id_t *task,
			       uint32_t run);
static fleet_task_t *find_task(const gh_fleet_t *fleet, const gh_task_id_t *id);
static void free_late_starts(gpointer late_starts);

GHashTable *fleet_late_new(void)
{
	return g_hash_table_new_full(g_str_hash, g_str_equal, g_free,
				     free_late_starts);
}

bool fleet_late_is_possible(const fleet_run_t *run, gh_time_t now)
{
	return (run->start_unanswered || run->start_in_flight) &&
	       now < run->start_sent_at + CALL_DELAY_MAX_USEC;
}

void fleet_late_add(gh_fleet_t *fleet, const fleet_run_t *run,
		    gh_run_outcome_t outcome, gh_time_t now)
{
	const fleet_worker_t *worker = fleet_worker(fleet, run->worker);
	bool is_over = is_over_for_worker(run, outcome);
	late_start_t late = {
		.run = run->run_number,
		.until = run->start_sent_at + CALL_DELAY_MAX_USEC,
		.stop_in_flight = run->stops_in_flight,
	};
	GArray *late_starts;

	if (!fleet_late_is_possible(run, now))
		return;
	late.task = fleet_task_id(fleet_job(fleet, run->job), run->task);
	g_strlcpy(late.heard_address, worker->heard_address,
		  sizeof(late.heard_address));
	if (fleet->n_late_starts >= LATE_STARTS_MAX) {
		fleet_emit_event(fleet, "late_start_dropped", &late.task,
				 late.run, run->worker, NULL);
		return;
	}
	if (outcome == GH_RUN_LOST)
		late.lost_incarnation_ms = worker->entry.incarnation_start_ms;
	if (is_over)
		late.incarnation_start_ms = worker->entry.incarnation_start_ms;
	late_starts = g_hash_table_lookup(fleet->late_starts, worker->entry.id);
	if (!late_starts) {
		late_starts = g_array_new(FALSE, FALSE, sizeof(late_start_t));
		g_hash_table_insert(fleet->late_starts,
				    g_strdup(worker->entry.id), late_starts);
	}
	g_array_append_val(late_starts, late);
	fleet->n_late_starts++;
	update_worker(fleet, worker->entry.id, late_starts);
	if (!is_over && worker->has_reported && !worker->unreachable_since)
		fleet_late_stop(fleet, run->worker, true, now);
}

/* Whether the worker's present incarnation refuses to start the run again. */
static bool is_over_for_worker(const fleet_run_t *run, gh_run_outcome_t outcome)
{
	if (outcome == GH_RUN_LOST)
		return run->start_is_void ||
		       (run->state == RUN_STOPPING && run->replied_at);
	return outcome != GH_RUN_NOT_STARTED;
}

void fleet_late_stop(gh_fleet_t *fleet, uint32_t handle, bool any_life,
		     gh_time_t now)
{
	const gh_worker_entry_t *entry = &fleet_worker(fleet, handle)->entry;
	GArray *late_starts =
		g_hash_table_lookup(fleet->late_starts, entry->id);
	guint i;

	if (!late_starts || !*entry->address)
		return;
	for (i = 0; i < late_starts->len; i++) {
		late_start_t *late =
			&g_array_index(late_starts, late_start_t, i);

		/* A listing is no sign of life of the one that was lost. */
		if (!any_life && late->lost_incarnation_ms &&
		    late->lost_incarnation_ms == entry->incarnation_start_ms)
			continue;
		if (now < late->until &&
		    (!late->incarnation_start_ms ||
		     late->incarnation_start_ms != entry->incarnation_start_ms))
			begin_stop(fleet, handle, late, now);
	}
	update_worker(fleet, entry->id, late_starts);
}

/* Updates what the worker's entry, if there is one, tells of its late starts.
 */
static void update_worker(gh_fleet_t *fleet, const char *id,
			  const GArray *late_starts)
{
	uint32_t handle = fleet_worker_find(fleet, id);
	fleet_worker_t *worker;
	guint i;

	if (handle == GH_NONE)
		return;
	worker = fleet_worker(fleet, handle);
	worker->n_late_starts = late_starts->len;
	worker->late_until = 0;
	worker->late_report_due = false;
	for (i = 0; i < late_starts->len; i++) {
		const late_start_t *late =
			&g_array_index(late_starts, late_start_t, i);

		if (!late->stop_awaited)
			continue;
		worker->late_until = MAX(worker->late_until, late->wait_until);
		worker->late_report_due |= late->replied_at != 0;
	}
}

/* Stops the run in the worker's present incarnation. */
static void begin_stop(gh_fleet_t *fleet, uint32_t handle, late_start_t *late,
		       gh_time_t now)
{
	const gh_worker_entry_t *entry = &fleet_worker(fleet, handle)->entry;
	fleet_task_t *task = find_task(fleet, &late->task);

	fleet_emit_event(fleet, "late_start_stopped", &late->task, late->run,
			 handle, NULL);
	if (!late->stop_awaited) {
		fleet->n_late_stops++;
		if (task)
			task->n_late_stops++;
	}
	late->stop_awaited = true;
	late->replied_at = 0;
	late->stop_overtaken = late->stop_in_flight;
	late->incarnation_start_ms = entry->incarnation_start_ms;
	/*
	 * A worker that does not reply is given up no later than with its
	 * longest lease.
	 */
	late->wait_until =
		MIN(late->until, fleet_lease_longest_end(fleet, now));
	g_strlcpy(late->address, entry->address, sizeof(late->address));
	if (task)
		task->late_until = MAX(task->late_until, late->wait_until);
	if (!late->stop_in_flight)
		send_stop(fleet, entry->id, late);
}

static void send_stop(gh_fleet_t *fleet, const char *id, late_start_t *late)
{
	late->stop_in_flight = true;
	fleet_stop_enqueue(fleet, id, late->address, &late->task, late->run);
}

void fleet_late_handle_reply(gh_fleet_t *fleet, const char *id,
			     const gh_task_id_t *task, uint32_t run,
			     gh_order_reply_t reply, gh_time_t now)
{
	GArray *late_starts = g_hash_table_lookup(fleet->late_starts, id);
	late_start_t *late = find_late(late_starts, task, run);

	if (!late || !late->stop_in_flight)
		return;
	late->stop_in_flight = false;
	/* Nothing is stopped: the worker may still be heard again. */
	if (reply == GH_ORDER_OTHER_INCARNATION)
		late->incarnation_start_ms = 0;
	if (late->stop_overtaken)
		late->retry_at = now;
	else if (!is_proof(fleet, id, late, reply))
		late->retry_at = now + ORDER_RETRY_USEC;
	else if (reply == GH_ORDER_OTHER_INCARNATION)
		end_stop(fleet, late);
	else
		late->replied_at = now;
	late->stop_overtaken = false;
	update_worker(fleet, id, late_starts);
}

void fleet_late_handle_report(gh_fleet_t *fleet, uint32_t handle,
			      gh_time_t requested_at)
{
	const char *id = fleet_worker(fleet, handle)->entry.id;
	GArray *late_starts;
	guint i;

	if (!fleet_worker(fleet, handle)->late_report_due)
		return;
	late_starts = g_hash_table_lookup(fleet->late_starts, id);
	for (i = 0; late_starts && i < late_starts->len; i++) {
		late_start_t *late =
			&g_array_index(late_starts, late_start_t, i);

		if (late->replied_at && requested_at > late->replied_at)
			end_stop(fleet, late);
	}
	if (late_starts)
		update_worker(fleet, id, late_starts);
}

/* Whether no life of the worker executes the late start after the reply. */
static bool is_proof(const gh_fleet_t *fleet, const char *id,
		     const late_start_t *late, gh_order_reply_t reply)
{
	uint32_t handle;
	const fleet_worker_t *worker;

	if (!fleet_stop_was_executed(reply))
		return false;
	if (reply != GH_ORDER_OTHER_INCARNATION ||
	    !strcmp(late->address, late->heard_address))
		return true;
	handle = fleet_worker_find(fleet, id);
	worker = handle == GH_NONE ? NULL : fleet_worker(fleet, handle);
	return worker && worker->has_reported &&
	       fleet_worker_heard_at(worker, late->address);
}

/* Lets the task start again, unless another stop of a run of it is awaited. */
static void end_stop(gh_fleet_t *fleet, late_start_t *late)
{
	fleet_task_t *task = find_task(fleet, &late->task);

	if (!late->stop_awaited)
		return;
	late->stop_awaited = false;
	fleet->n_late_stops--;
	if (task && task->n_late_stops && !--task->n_late_stops)
		task->late_until = 0;
}

bool fleet_late_has_task(const gh_fleet_t *fleet, const gh_task_id_t *task)
{
	GHashTableIter iter;
	gpointer value;

	if (!fleet->n_late_starts)
		return false;
	g_hash_table_iter_init(&iter, fleet->late_starts);
	while (g_hash_table_iter_next(&iter, NULL, &value)) {
		const GArray *late_starts = value;
		guint i;

		for (i = 0; i < late_starts->len; i++)
			if (fleet_same_task(
				    &g_array_index(late_starts, late_start_t, i)
					     .task,
				    task))
				return true;
	}
	return false;
}

void fleet_late_check(gh_fleet_t *fleet, gh_time_t now)
{
	if (!fleet->n_late_starts ||
	    now - fleet->late_checked_at < LATE_CHECK_PERIOD_USEC)
		return;
	fleet->late_checked_at = now;
	remove_expired(fleet, now);
	if (fleet->n_late_stops)
		retry_stops(fleet, now);
}

static void remove_expired(gh_fleet_t *fleet, gh_time_t now)
{
	GHashTableIter iter;
	gpointer id, value;

	g_hash_table_iter_init(&iter, fleet->late_starts);
	while (g_hash_table_iter_next(&iter, &id, &value)) {
		GArray *late_starts = value;
		guint n = late_starts->len;
		guint i = 0;

		while (i < late_starts->len) {
			late_start_t *late =
				&g_array_index(late_starts, late_start_t, i);

			if (now < late->until) {
				i++;
				continue;
			}
			end_stop(fleet, late);
			g_array_remove_index_fast(late_starts, i);
			fleet->n_late_starts--;
		}
		if (late_starts->len < n)
			update_worker(fleet, id, late_starts);
		if (!late_starts->len)
			g_hash_table_iter_remove(&iter);
	}
}

/* Sends stops without a reply again, but not to a worker that is silent. */
static void retry_stops(gh_fleet_t *fleet, gh_time_t now)
{
	GHashTableIter iter;
	gpointer id, value;

	g_hash_table_iter_init(&iter, fleet->late_starts);
	while (g_hash_table_iter_next(&iter, &id, &value)) {
		GArray *late_starts = value;
		uint32_t handle = fleet_worker_find(fleet, id);
		const fleet_worker_t *worker =
			handle == GH_NONE ? NULL : fleet_worker(fleet, handle);
		guint i;

		if (worker && worker->unreachable_since)
			continue;
		for (i = 0; i < late_starts->len; i++) {
			late_start_t *late =
				&g_array_index(late_starts, late_start_t, i);

			if (!late->stop_awaited || late->stop_in_flight ||
			    late->replied_at || now < late->retry_at)
				continue;
			if (worker && *worker->entry.address)
				g_strlcpy(late->address, worker->entry.address,
					  sizeof(late->address));
			send_stop(fleet, id, late);
		}
	}
}

static late_start_t *find_late(GArray *late_starts, const gh_task_id_t *task,
			       uint32_t run)
{
	guint i;

	for (i = 0; late_starts && i < late_starts->len; i++) {
		late_start_t *late =
			&g_array_index(late_starts, late_start_t, i);

		if (late->run == run && fleet_same_task(&late->task, task))
			return late;
	}
	return NULL;
}

static fleet_task_t *find_task(const gh_fleet_t *fleet, const gh_task_id_t *id)
{
	uint32_t job = fleet_job_find(fleet, id->job);
	uint32_t task;

	if (job == GH_NONE)
		return NULL;
	task = fleet_task_find(fleet_job(fleet, job), id);
	return task == GH_NONE ? NULL : fleet_task(fleet_job(fleet, job), task);
}

static void free_late_starts(gpointer late_starts)
{
	g_array_free(late_starts, TRUE);
}
