/*
 * Life cycle of workers: entries of service discovery, restarts, and what is
 * kept of a worker that is gone.
 */
#include "core_fleet_parts.h"

#include <inttypes.h>
#include <string.h>

static void set_rack(fleet_worker_t *worker);
static uint32_t add_worker(gh_fleet_t *fleet, const gh_worker_entry_t *entry);
static void handle_worker_restart(gh_fleet_t *fleet, uint32_t handle,
				  gh_time_t now);
static void note_restart(gh_fleet_t *fleet, uint32_t handle, int64_t start_ms,
			 const char *told_by, gh_time_t now);
static void free_worker(gh_fleet_t *fleet, uint32_t handle);
static void keep_late_grant(gh_fleet_t *fleet, const fleet_worker_t *worker);
static gboolean late_grant_is_over(gpointer id, gpointer late, gpointer fleet);

static void set_rack(fleet_worker_t *worker)
{
	uint32_t i;

	/* labels[0] is the kind; the last label after it is the rack. */
	worker->rack[0] = '\0';
	for (i = 1; i < worker->entry.n_labels; i++)
		g_strlcpy(worker->rack, worker->entry.labels[i],
			  sizeof(worker->rack));
}

static uint32_t add_worker(gh_fleet_t *fleet, const gh_worker_entry_t *entry)
{
	uint32_t handle =
		fleet_entry_alloc(fleet->workers, fleet->free_workers);
	fleet_worker_t *worker = fleet_worker(fleet, handle);
	const fleet_late_grant_t *late =
		g_hash_table_lookup(fleet->late_grants, entry->id);

	*worker = (fleet_worker_t){
		.entry = *entry,
		.in_use = true,
		.first_run = GH_NONE,
		.suspect_run = GH_NONE,
		.pending_acks = g_queue_new(),
		.run_time_ratio = 1,
		/* A run that starts here has the lease that is there. */
		.latest_lease_end =
			fleet_lease_end(fleet, fleet->setup.told_grants_end),
		/* So may calls of a previous owner, to its former life. */
		.late_grants_until = fleet_lease_former_grants_end(fleet),
	};
	/* The claim's record tells of it. */
	worker->young_lease_end = fleet_unheard_young_end(fleet, worker);
	worker->young_committed = worker->young_lease_end;
	worker->entry.incarnation_start_ms =
		fleet_unheard_start_ms(fleet, worker);
	fleet_fence_raise(fleet, worker);
	if (late) {
		worker->late_grants_until =
			MAX(worker->late_grants_until, late->until);
		worker->latest_lease_end =
			MAX(worker->latest_lease_end, late->lease_end);
		worker->entry.incarnation_start_ms = late->incarnation_start_ms;
		g_hash_table_remove(fleet->late_grants, entry->id);
	}
	set_rack(worker);
	g_hash_table_insert(fleet->worker_by_id, g_strdup(entry->id),
			    GUINT_TO_POINTER(handle + 1));
	return handle;
}

void gh_fleet_worker_set(gh_fleet_t *fleet, const gh_worker_entry_t *entry,
			 gh_time_t now)
{
	uint32_t handle = fleet_worker_find(fleet, entry->id);
	fleet_worker_t *worker;
	int64_t start_ms;
	bool was_draining;
	bool is_new = handle == GH_NONE;

	if (is_new)
		handle = add_worker(fleet, entry);
	worker = fleet_worker(fleet, handle);
	start_ms = worker->entry.incarnation_start_ms;
	fleet_worker_set_incarnation(fleet, handle, entry->incarnation_start_ms,
				     "entry", now);
	is_new |= worker->entry.incarnation_start_ms != start_ms;
	was_draining = worker->entry.draining;
	if (!worker->listed)
		fleet_emit_event(fleet, "worker_listed", NULL, 0, handle,
				 entry->address);
	/* An entry that does not name the incarnation is no news of it. */
	start_ms = worker->entry.incarnation_start_ms;
	worker->entry = *entry;
	if (!entry->incarnation_start_ms)
		worker->entry.incarnation_start_ms = start_ms;
	worker->listed = true;
	if (!*worker->heard_address)
		g_strlcpy(worker->heard_address, entry->address,
			  sizeof(worker->heard_address));
	set_rack(worker);
	fleet_domain_note_entry(fleet, handle, now);
	if (is_new)
		fleet_late_stop(fleet, handle, !entry->incarnation_start_ms,
				now);
	if (entry->draining && !was_draining)
		fleet_emit_event(fleet, "worker_draining", NULL, 0, handle,
				 NULL);
}

void gh_fleet_worker_unlist(gh_fleet_t *fleet, const char *id)
{
	uint32_t handle = fleet_worker_find(fleet, id);
	fleet_worker_t *worker;

	if (handle == GH_NONE)
		return;
	worker = fleet_worker(fleet, handle);
	if (worker->listed)
		fleet_emit_event(fleet, "worker_unlisted", NULL, 0, handle,
				 NULL);
	worker->listed = false;
	fleet_worker_free_if_unused(fleet, handle);
}

void fleet_worker_free_if_unused(gh_fleet_t *fleet, uint32_t handle)
{
	fleet_worker_t *worker = fleet_worker(fleet, handle);

	if (!worker->listed && !worker->n_runs && !worker->renewal_pending)
		free_worker(fleet, handle);
}

/*
 * Handles the restart of a worker process.  The runs of the previous
 * incarnation are gone, but a start order may have reached the new incarnation,
 * which has the same id.  A run all of whose start orders were replied to
 * becomes an orphan until the worker's next report shows whether it runs; a
 * start order without a reply is followed by a stop order, so that the start
 * cannot take effect later.
 */
static void handle_worker_restart(gh_fleet_t *fleet, uint32_t handle,
				  gh_time_t now)
{
	GArray *handles = g_array_new(FALSE, FALSE, sizeof(uint32_t));
	uint32_t ref;
	guint i;

	for (ref = fleet_worker(fleet, handle)->first_run; ref != GH_NONE;
	     ref = fleet_run(fleet, ref)->next)
		g_array_append_val(handles, ref);
	/* Else the restart was known already, without the start. */
	if (handles->len && !fleet_worker(fleet, handle)->has_later_life) {
		fleet_emit_event(fleet, "worker_lost", NULL, 0, handle,
				 "restarted");
		if (!fleet_worker(fleet, handle)->unreachable_since)
			fleet_crash_note_outage(fleet, now);
	}
	fleet_crash_mark_runs(fleet, handle, false, now);
	for (i = 0; i < handles->len; i++) {
		fleet_run_t *run;

		ref = g_array_index(handles, uint32_t, i);
		run = fleet_run(fleet, ref);
		if (run->state == RUN_RUNNING &&
		    !fleet_late_is_possible(run, now)) {
			run->state = RUN_ORPHAN;
			run->state_since = now;
			run->pace_sent_percent = GH_NONE;
		} else if (run->state == RUN_RUNNING ||
			   (run->state == RUN_STARTING && run->order_sent)) {
			fleet_run_stop(fleet, ref, "its worker restarted", now);
		} else if (run->state == RUN_STOPPING) {
			run->replied_at = 0;
			/* Else sent after the replies to the former ones. */
			run->stops_overtaken = run->stops_in_flight;
			if (!run->stops_overtaken)
				fleet_order_enqueue(fleet, GH_ORDER_STOP, ref);
		} else if (run->state != RUN_FREE && run->state != RUN_ORPHAN) {
			fleet_run_end(fleet, ref, GH_RUN_NOT_STARTED, NULL,
				      now);
		}
	}
	g_array_free(handles, TRUE);
}

void fleet_worker_set_incarnation(gh_fleet_t *fleet, uint32_t handle,
				  int64_t start_ms, const char *told_by,
				  gh_time_t now)
{
	fleet_worker_t *worker = fleet_worker(fleet, handle);

	if (!start_ms || start_ms == worker->entry.incarnation_start_ms)
		return;
	if (worker->entry.incarnation_start_ms)
		note_restart(fleet, handle, start_ms, told_by, now);
	worker->entry.incarnation_start_ms = start_ms;
	worker->has_later_life = false;
}

void fleet_worker_note_later_life(gh_fleet_t *fleet, uint32_t handle,
				  gh_time_t now)
{
	fleet_worker_t *worker = fleet_worker(fleet, handle);

	if (worker->has_later_life)
		return;
	note_restart(fleet, handle, 0, "reply to an order", now);
	worker->has_later_life = true;
	/* The order may have granted it. */
	fleet_lease_note_longest(fleet, worker, now);
}

/* start_ms: of the new life; 0: not known. */
static void note_restart(gh_fleet_t *fleet, uint32_t handle, int64_t start_ms,
			 const char *told_by, gh_time_t now)
{
	fleet_worker_t *worker = fleet_worker(fleet, handle);
	char *detail =
		g_strdup_printf("%s: start %" PRId64 " after %" PRId64, told_by,
				start_ms, worker->entry.incarnation_start_ms);

	fleet_emit_event(fleet, "worker_restarted", NULL, 0, handle, detail);
	g_free(detail);
	fleet_fence_raise(fleet, worker);
	handle_worker_restart(fleet, handle, now);
	worker->restart_known_at = now;
	/* Until its lease ended, the worker may have had any call. */
	fleet_lease_note_longest(fleet, worker,
				 worker->latest_lease_end > now ?
					 now :
					 MIN(now, worker->late_grants_until));
	worker->young_lease_end = 0;
	worker->unsent_at = worker->unsent_until = 0;
	worker->n_unsent = 0;
	worker->has_reported = false;
	worker->acked_end = 0;
	worker->acked_end_sent = 0;
	worker->last_listed_end = worker->first_listed_end = 0;
	g_queue_clear_full(worker->pending_acks, g_free);
}

void fleet_worker_end_runs(gh_fleet_t *fleet, uint32_t handle, const char *why,
			   gh_time_t now)
{
	fleet_worker_t *worker = fleet_worker(fleet, handle);

	if (worker->n_runs)
		fleet_emit_event(fleet, "worker_lost", NULL, 0, handle, why);
	while (worker->first_run != GH_NONE)
		fleet_run_end(fleet, worker->first_run, GH_RUN_LOST, NULL, now);
}

static void free_worker(gh_fleet_t *fleet, uint32_t handle)
{
	fleet_worker_t *worker = fleet_worker(fleet, handle);

	if (fleet->ticked_at < worker->late_grants_until ||
	    fleet_lease_is_long(fleet, worker))
		keep_late_grant(fleet, worker);
	g_hash_table_remove(fleet->worker_by_id, worker->entry.id);
	g_queue_free_full(worker->pending_acks, g_free);
	memset(worker, 0, sizeof(*worker));
	g_array_append_val(fleet->free_workers, handle);
}

/* Keeps what the worker's next entry has to know, and forgets what is over. */
static void keep_late_grant(gh_fleet_t *fleet, const fleet_worker_t *worker)
{
	fleet_late_grant_t late = {
		.until = worker->late_grants_until,
		.lease_end = worker->latest_lease_end,
		.incarnation_start_ms = worker->entry.incarnation_start_ms,
	};

	g_hash_table_foreach_remove(fleet->late_grants, late_grant_is_over,
				    fleet);
	g_hash_table_replace(fleet->late_grants, g_strdup(worker->entry.id),
			     g_memdup2(&late, sizeof(late)));
}

static gboolean late_grant_is_over(gpointer id, gpointer late, gpointer fleet)
{
	const fleet_late_grant_t *grant = late;

	(void)id;
	return ((const gh_fleet_t *)fleet)->ticked_at >=
	       MAX(grant->until, grant->lease_end);
}
