/*
 * Commits of the owner's changes to the store; at most one commit awaits its
 * outcome.
 */
#include "fleet_owner_private.h"

#include <inttypes.h>
#include <string.h>

#include "clock.h"
#include "counter.h"
#include "histogram.h"
#include "log.h"

/*
 * Min time between an owner's commits; gathering changes in one commit saves
 * writes to the store.
 */
#define COMMIT_INTERVAL_MIN_USEC (6 * GH_USEC_PER_MSEC)
/*
 * Period at which states of ended jobs whose retention time is over are
 * deleted.
 */
#define SWEEP_PERIOD_USEC (5 * GH_USEC_PER_SEC)
/*
 * Max job states deleted in one commit; the commit would hold them even with
 * two entries for each.
 */
#define SWEEP_JOBS_MAX 14
/* Max number of commit entries that one job's change takes. */
#define CHANGE_ENTRIES_MAX 5
#define INTERFERENCE_PERIOD_USEC (3 * GH_USEC_PER_SEC)
#define RUN_TIMES_PERIOD_USEC (3 * GH_USEC_PER_SEC)
/* Commits have changes of jobs only for this long after a rejected one. */
#define REJECTED_PAUSE_USEC (10 * GH_USEC_PER_SEC)
/* Wait after one that was rejected although it had no more than must be. */
#define REJECTED_DELAY_USEC GH_USEC_PER_SEC
/*
 * A commit that was answered so often without an outcome, and had no effect, is
 * given up like one that was rejected.
 */
#define ODD_REPLIES_MAX 5
/* Index, in a commit, of the entry that writes the chain record. */
#define CHAIN_ENTRY 1

static void on_committed(void *ctx, const fleet_reply_t *reply);
static void on_chain_reread(void *ctx, const fleet_reply_t *reply);
static void batch_committed(fleet_owner_t *owner, uint64_t revision);
static void forget_cancel(fleet_owner_t *owner, const char *id,
			  uint64_t revision);
static void note_deletions(fleet_owner_t *owner, const batch_t *batch,
			   uint64_t revision);
static bool is_cancelled(const fleet_owner_t *owner,
			 const gh_fleet_change_t *change);
static void batch_add_parts(const fleet_owner_t *owner, batch_t *batch,
			    gh_fleet_change_t *change);
static bool batch_add_phase(fleet_owner_t *owner, batch_t *batch,
			    const gh_fleet_change_t *change);
static void batch_add_end(fleet_owner_t *owner, batch_t *batch,
			  const gh_fleet_change_t *change);
static void batch_failed(fleet_owner_t *owner);
static void batch_rejected(fleet_owner_t *owner, const char *why);
static const fleet_entry_t *find_largest(const batch_t *batch);
static size_t value_len(const fleet_entry_t *entry);
static void batch_conflict(fleet_owner_t *owner, const fleet_reply_t *reply);
static void batch_send(fleet_owner_t *owner);
static batch_t *batch_new(fleet_owner_t *owner, gh_time_t now);
static void batch_mark_release(fleet_owner_t *owner, batch_t *batch,
			       gh_time_t now);
static bool batch_add_change(fleet_owner_t *owner, batch_t *batch,
			     gh_fleet_change_t *change);
static void log_batch(const fleet_owner_t *owner, const char *outcome);
static void delete_old_states(fleet_owner_t *owner, batch_t *batch,
			      gh_time_t now);
static void add_saves(fleet_owner_t *owner, batch_t *batch, gh_time_t now);
static void save_interference(fleet_owner_t *owner, batch_t *batch,
			      gh_time_t now);
static void save_run_times(fleet_owner_t *owner, batch_t *batch, gh_time_t now);
static bool load_is_due(const fleet_owner_t *owner, const batch_t *batch,
			gh_time_t now);
static void save_load(fleet_owner_t *owner, batch_t *batch, gh_time_t now);
static gh_time_t grant_ahead(const fleet_owner_t *owner, gh_time_t now);
static bool grants_have_changed(const fleet_owner_t *owner, gh_time_t now);

void fleet_owner_start_commit(fleet_owner_t *owner, gh_time_t now)
{
	guint changes_max = owner->changes_alone ? 1 : FLEET_ENTRIES_MAX;
	gh_fleet_change_t change;
	batch_t *batch;
	size_t n;
	bool chain_is_due = grants_have_changed(owner, now) ||
			    gh_fleet_unheard_is_due(owner->fleet, now);

	if (owner->phase == PHASE_RELEASING)
		gh_fleet_end_unsent(owner->fleet, owner->handing_over, now);
	if (!gh_fleet_has_changes(owner->fleet) && now < owner->sweep_at &&
	    now < owner->load_save_at && owner->phase != PHASE_RELEASING &&
	    !chain_is_due)
		return;
	owner->sequence++;
	batch = batch_new(owner, now);
	/*
	 * Leaves space in the commit for the learned interference and run
	 * times, the shard's load and the owner record.
	 */
	while (batch->changes->len < changes_max &&
	       batch->n + CHANGE_ENTRIES_MAX +
			       gh_fleet_next_change_entries(owner->fleet) + 3 <
		       FLEET_ENTRIES_MAX &&
	       gh_fleet_next_change(owner->fleet, &change))
		if (!batch_add_change(owner, batch, &change)) {
			owner->commit_at = now + COMMIT_RETRY_DELAY_USEC;
			break;
		}
	if (owner->changes_alone && batch->changes->len)
		owner->changes_alone--;
	n = batch->n;
	if (now >= owner->saves_at)
		add_saves(owner, batch, now);
	batch->has_more = batch->n > n;
	if (owner->phase == PHASE_RELEASING &&
	    (!gh_fleet_has_changes(owner->fleet) ||
	     (owner->handing_over && now >= owner->handover_commit_until))) {
		batch_mark_release(owner, batch, now);
	} else if (!batch->changes->len && batch->n <= 2 && !chain_is_due) {
		fleet_owner_batch_free(batch);
		return;
	}
	owner->batch = batch;
	batch->started_at = now;
	batch_send(owner);
}

/* Adds what is saved from time to time beside the changes of jobs. */
static void add_saves(fleet_owner_t *owner, batch_t *batch, gh_time_t now)
{
	if (batch->changes->len && now >= owner->interference_save_at)
		save_interference(owner, batch, now);
	if (batch->changes->len && now >= owner->run_times_save_at)
		save_run_times(owner, batch, now);
	if (load_is_due(owner, batch, now))
		save_load(owner, batch, now);
	if (now >= owner->sweep_at)
		delete_old_states(owner, batch, now);
}

static batch_t *batch_new(fleet_owner_t *owner, gh_time_t now)
{
	batch_t *batch = g_new0(batch_t, 1);
	char *unheard;

	batch->strings = g_ptr_array_new_with_free_func(g_free);
	batch->changes = g_array_new(FALSE, FALSE, sizeof(gh_fleet_change_t));
	unheard = gh_fleet_unheard_tell(owner->fleet, now);
	batch->grants_told = grant_ahead(owner, now);
	batch->chain_value =
		fleet_owner_chain_text(owner, batch->grants_told, unheard, now);
	g_free(unheard);
	fleet_owner_batch_add(batch, FLEET_EXPECT, g_strdup(owner->chain_key),
			      NULL, owner->chain_revision, 0);
	fleet_owner_batch_add(batch, FLEET_PUT, g_strdup(owner->chain_key),
			      NULL, 0, 0);
	return batch;
}

/*
 * Makes the commit release the shard: it deletes the owner record, and the
 * chain record tells the next owner of the last grant of a lease to a worker. A
 * hand-over may go on granting for a while until the release is known.
 */
static void batch_mark_release(fleet_owner_t *owner, batch_t *batch,
			       gh_time_t now)
{
	gh_time_t last_grant = gh_fleet_last_grant(owner->fleet);
	char *text;

	if (owner->handing_over) {
		last_grant = MAX(last_grant, now + WORKER_RENEWAL_LIMIT_USEC);
		owner->release_grants_end = last_grant;
	}
	text = g_strdup_printf("%s" CHAIN_RELEASED "%" PRId64,
			       batch->chain_value,
			       gh_time_to_ms(last_grant - now) + 1);
	g_free(batch->chain_value);
	batch->chain_value = text;
	fleet_owner_batch_add(batch, FLEET_DELETE, g_strdup(owner->own_key),
			      NULL, 0, 0);
	batch->releases = true;
}

/*
 * Adds a job's change to a commit and takes ownership of what it refers to.
 * Returns false if the job's state is not known yet: the change is then
 * committed later.
 */
static bool batch_add_change(fleet_owner_t *owner, batch_t *batch,
			     gh_fleet_change_t *change)
{
	char *progress_key =
		g_strconcat(owner->progress_prefix, change->id, NULL);

	if (!batch_add_phase(owner, batch, change)) {
		gh_fleet_handle_commit_failure(owner->fleet, change->id);
		gh_fleet_change_clear(change);
		g_free(progress_key);
		return false;
	}
	fleet_owner_move_add_change(owner, batch, change);
	if (change->phase > GH_JOB_RUNNING) {
		fleet_owner_batch_add(batch, FLEET_DELETE, progress_key, NULL,
				      0, 0);
		if (!change->guest)
			batch_add_end(owner, batch, change);
	} else if (change->progress) {
		fleet_owner_batch_add(batch, FLEET_PUT, progress_key,
				      change->progress, 0, 0);
	} else {
		g_free(progress_key);
	}
	batch_add_parts(owner, batch, change);
	change->progress = NULL;
	g_array_append_val(batch->changes, *change);
	return true;
}

/* Adds the parts of the job's progress record, which takes their texts. */
static void batch_add_parts(const fleet_owner_t *owner, batch_t *batch,
			    gh_fleet_change_t *change)
{
	guint i;

	for (i = 0; change->parts && i < change->parts->len; i++) {
		gh_fleet_part_t *part =
			&g_array_index(change->parts, gh_fleet_part_t, i);

		fleet_owner_batch_add(
			batch, part->text ? FLEET_PUT : FLEET_DELETE,
			fleet_owner_part_key(owner->progress_prefix, change->id,
					     part->number),
			g_steal_pointer(&part->text), 0, 0);
	}
}

/*
 * Adds the job's new phase to a commit, or, if a task leaves, that the job has
 * not been cancelled.  Returns false if its state is not known or says so.
 */
static bool batch_add_phase(fleet_owner_t *owner, batch_t *batch,
			    const gh_fleet_change_t *change)
{
	bool writes =
		change->phase_changed && change->phase != GH_JOB_CANCELLED;
	fleet_job_state_t state;

	if (!writes && !change->departures)
		return true;
	if (!fleet_jobs_find(owner->setup.jobs, change->id, &state) ||
	    (change->departures && state.phase > GH_JOB_RUNNING))
		return false;
	fleet_owner_batch_add(batch, FLEET_EXPECT,
			      fleet_jobs_state_key(change->id), NULL,
			      state.revision, 0);
	if (!writes)
		return true;
	state.phase = change->phase;
	state.changed_ms = gh_time_to_ms(clock_real());
	fleet_owner_batch_add(batch, FLEET_PUT,
			      fleet_jobs_state_key(change->id),
			      fleet_job_state_format(&state), 0, 0);
	return true;
}

/* Adds to a commit the deletion of the records of a job that has ended. */
static void batch_add_end(fleet_owner_t *owner, batch_t *batch,
			  const gh_fleet_change_t *change)
{
	uint32_t shard = owner->setup.shard;

	fleet_owner_batch_add(batch, FLEET_DELETE,
			      fleet_jobs_record_key(shard, change->id), NULL, 0,
			      0);
	if (is_cancelled(owner, change))
		fleet_owner_batch_add(batch, FLEET_DELETE,
				      fleet_jobs_cancel_key(shard, change->id),
				      NULL, 0, 0);
}

void fleet_owner_batch_add(batch_t *batch, fleet_entry_kind_t kind, char *key,
			   char *value, uint64_t revision, uint64_t lease)
{
	g_ptr_array_add(batch->strings, key);
	if (value)
		g_ptr_array_add(batch->strings, value);
	batch->entries[batch->n++] = (fleet_entry_t){
		.kind = kind,
		.key = key,
		.value = value,
		.revision = revision,
		.lease = lease,
	};
}

static void batch_send(fleet_owner_t *owner)
{
	owner->batch->entries[CHAIN_ENTRY].value = owner->batch->chain_value;
	owner->batch->sent_at = clock_boot();
	if (value_len(find_largest(owner->batch)) > FLEET_VALUE_MAX) {
		batch_rejected(owner, "too_large");
		return;
	}
	owner->setup.store->ops->commit(
		owner->setup.store, owner->batch->entries, owner->batch->n,
		on_committed, fleet_owner_call_new(owner));
}

static void on_committed(void *ctx, const fleet_reply_t *reply)
{
	fleet_owner_t *owner = fleet_owner_call_finish(ctx);

	if (!owner || !owner->batch)
		return;
	owner->dirty = true;
	switch (reply->result) {
	case FLEET_OK:
		batch_committed(owner, reply->revision);
		break;
	case FLEET_CONFLICT:
		batch_conflict(owner, reply);
		break;
	case FLEET_OUTCOME_UNKNOWN:
		counter_inc(CTR_COMMITS_UNKNOWN);
		owner->batch->odd_replies += reply->answered;
		if (!owner->batch->releases)
			fleet_owner_cancel_handover(owner);
		/* The store may go on answering so at once. */
		owner->reread_chain_at =
			owner->batch->unanswered++ ?
				clock_boot() + COMMIT_RETRY_DELAY_USEC :
				0;
		fleet_owner_reread_chain(owner, clock_boot());
		break;
	case FLEET_REJECTED:
		batch_rejected(owner, reply->detail);
		break;
	default:
		/* An earlier copy may still take effect. */
		if (owner->batch->unanswered)
			owner->reread_chain_at =
				clock_boot() + COMMIT_RETRY_DELAY_USEC;
		else
			batch_failed(owner);
		break;
	}
}

/*
 * Handles the chain record that was read after a commit without a reply: the
 * record shows whether the commit took effect.
 */
static void on_chain_reread(void *ctx, const fleet_reply_t *reply)
{
	fleet_owner_t *owner = fleet_owner_call_finish(ctx);
	const fleet_item_t *item;

	if (!owner || !owner->batch)
		return;
	owner->dirty = true;
	item = reply->n_items ? &reply->items[0] : NULL;
	if (reply->result == FLEET_OK && item && item->value &&
	    !strcmp(item->value, owner->batch->chain_value)) {
		batch_committed(owner, item->revision);
	} else if (reply->result == FLEET_OK && item &&
		   item->revision == owner->chain_revision &&
		   owner->batch->odd_replies >= ODD_REPLIES_MAX) {
		/*
		 * If a copy takes effect later, the next commit finds another
		 * chain record, and the ownership ends.
		 */
		batch_rejected(owner, "odd_replies");
	} else if (reply->result == FLEET_OK && item &&
		   item->revision == owner->chain_revision) {
		/*
		 * The commit has had no effect so far, so it is sent again.
		 * Both copies expect the same revision of the chain record, so
		 * only one takes effect.
		 */
		batch_send(owner);
	} else if (reply->result == FLEET_OK ||
		   reply->result == FLEET_NOT_FOUND) {
		fleet_owner_end_ownership(owner, "another owner took over");
	} else {
		owner->reread_chain_at = clock_boot() + COMMIT_RETRY_DELAY_USEC;
	}
}

/* Reads the chain record again if the last read failed and a retry is due. */
void fleet_owner_reread_chain(fleet_owner_t *owner, gh_time_t now)
{
	if (!owner->batch || now < owner->reread_chain_at)
		return;
	owner->reread_chain_at = GH_TIME_NEVER;
	owner->setup.store->ops->get(owner->setup.store, FLEET_KEYSPACE_OWN,
				     owner->chain_key, on_chain_reread,
				     fleet_owner_call_new(owner));
}

static void batch_committed(fleet_owner_t *owner, uint64_t revision)
{
	batch_t *batch = owner->batch;
	gh_time_t now = clock_boot();
	guint i;

	if (batch->unanswered)
		log_batch(owner, "committed");
	owner->batch = NULL;
	owner->chain_revision = revision;
	owner->grants_told = batch->grants_told;
	gh_fleet_unheard_committed(owner->fleet);
	owner->commit_at = now + MAX(COMMIT_INTERVAL_MIN_USEC,
				     owner->setup.commit_interval_min);
	counter_inc(CTR_COMMITS);
	histogram_add(HIST_COMMIT, now - batch->sent_at);
	note_deletions(owner, batch, revision);
	for (i = 0; i < batch->changes->len; i++) {
		const gh_fleet_change_t *change =
			&g_array_index(batch->changes, gh_fleet_change_t, i);
		fleet_job_state_t state;

		if (change->phase_changed &&
		    change->phase != GH_JOB_CANCELLED &&
		    fleet_jobs_find(owner->setup.jobs, change->id, &state)) {
			state.phase = change->phase;
			state.changed_ms = gh_time_to_ms(clock_real());
			state.revision = revision;
			state.presumed = false;
			fleet_jobs_update(owner->setup.jobs, change->id,
					  &state);
		}
		if (change->phase > GH_JOB_RUNNING && !change->guest)
			forget_cancel(owner, change->id, revision);
		fleet_owner_move_committed(owner, change);
		gh_fleet_handle_commit(owner->fleet, change->id,
				       change->version);
	}
	if (batch->releases && owner->handing_over) {
		owner->leave_until = now + GH_HANDOVER_LEAVE_USEC;
		fleet_owner_end_ownership(owner, "handed over");
		owner->claim_at = owner->timer.at = owner->leave_until;
	} else if (batch->releases) {
		fleet_owner_end_ownership(owner, "drain");
	}
	fleet_owner_batch_free(batch);
}

/*
 * A read that the store served before this commit still lists what the commit
 * has deleted; without the note, its late reply would bring it back.
 */
static void note_deletions(fleet_owner_t *owner, const batch_t *batch,
			   uint64_t revision)
{
	size_t i;

	for (i = 0; i < batch->n; i++)
		if (batch->entries[i].kind == FLEET_DELETE &&
		    g_str_has_prefix(batch->entries[i].key, owner->jobs_prefix))
			fleet_watch_note(owner->job_watch,
					 batch->entries[i].key, revision,
					 false);
}

/* The job's cancel may be read late, too, if the commit did not delete one. */
static void forget_cancel(fleet_owner_t *owner, const char *id,
			  uint64_t revision)
{
	char *cancel_key = fleet_jobs_cancel_key(owner->setup.shard, id);

	fleet_watch_note(owner->job_watch, cancel_key, revision, false);
	g_hash_table_remove(owner->cancelled, id);
	g_free(cancel_key);
}

/* Whether the job may have a record of its cancel, which is to be deleted. */
static bool is_cancelled(const fleet_owner_t *owner,
			 const gh_fleet_change_t *change)
{
	return change->phase == GH_JOB_CANCELLED ||
	       g_hash_table_contains(owner->cancelled, change->id);
}

static void batch_failed(fleet_owner_t *owner)
{
	batch_t *batch = owner->batch;
	guint i;

	log_batch(owner, "failed");
	fleet_owner_cancel_handover(owner);
	owner->batch = NULL;
	owner->commit_at = clock_boot() + COMMIT_RETRY_DELAY_USEC;
	counter_inc(CTR_COMMITS_FAILED);
	g_clear_pointer(&owner->load_saved, g_free);
	owner->run_times_saved = 0;
	for (i = 0; i < batch->changes->len; i++)
		gh_fleet_handle_commit_failure(
			owner->fleet,
			g_array_index(batch->changes, gh_fleet_change_t, i).id);
	fleet_owner_batch_free(batch);
}

/*
 * Gives up a commit that the store can't carry out.  The changes in it are sent
 * one by one, and the job whose change alone is rejected is set aside, so that
 * it doesn't hold up the others.
 */
static void batch_rejected(fleet_owner_t *owner, const char *why)
{
	const batch_t *batch = owner->batch;
	const fleet_entry_t *largest = find_largest(batch);
	gh_time_t now = clock_boot();
	guint n = batch->changes->len;
	bool is_last_resort = !batch->has_more && n < 2;
	char id[GH_JOB_ID_MAX + 1] = "";

	counter_inc(CTR_COMMITS_REJECTED);
	if (n == 1)
		g_strlcpy(
			id,
			g_array_index(batch->changes, gh_fleet_change_t, 0).id,
			sizeof(id));
	log_event(LOG_ERROR, "commit_rejected", "shard",
		  log_num(owner->setup.shard), "why", why, "job", id, "jobs",
		  log_num(n), "key", largest->key, "bytes",
		  log_num((int64_t)value_len(largest)), NULL);
	batch_failed(owner);
	owner->saves_at = now + REJECTED_PAUSE_USEC;
	owner->changes_alone = MAX(owner->changes_alone, n);
	if (!is_last_resort)
		return;
	owner->commit_at = now + REJECTED_DELAY_USEC;
	if (n) {
		counter_inc(CTR_JOBS_SET_ASIDE);
		gh_fleet_set_aside(owner->fleet, id, now);
		owner->commit_at = now + COMMIT_RETRY_DELAY_USEC;
	}
}

/* The entry with the longest value; all others may have none. */
static const fleet_entry_t *find_largest(const batch_t *batch)
{
	const fleet_entry_t *largest = &batch->entries[CHAIN_ENTRY];
	size_t i;

	for (i = 0; i < batch->n; i++)
		if (value_len(&batch->entries[i]) > value_len(largest))
			largest = &batch->entries[i];
	return largest;
}

static size_t value_len(const fleet_entry_t *entry)
{
	return entry->value ? strlen(entry->value) : 0;
}

static void batch_conflict(fleet_owner_t *owner, const fleet_reply_t *reply)
{
	static const char state_prefix[] = "d/state/";
	size_t i;

	for (i = 0; i < reply->n_items; i++) {
		const fleet_item_t *item = &reply->items[i];

		if (!strcmp(item->key, owner->chain_key)) {
			if (item->value &&
			    !strcmp(item->value, owner->batch->chain_value)) {
				batch_committed(owner, item->revision);
				return;
			}
			if (item->revision != owner->chain_revision) {
				fleet_owner_end_ownership(
					owner, "another owner took over");
				return;
			}
		} else if (g_str_has_prefix(item->key, state_prefix)) {
			const char *id = item->key + strlen(state_prefix);

			fleet_jobs_correct(owner->setup.jobs, id, item->value,
					   item->revision);
			if (item->value)
				fleet_jobs_update_text(owner->setup.jobs, id,
						       item->value,
						       item->revision);
		}
	}
	batch_failed(owner);
	owner->commit_at = 0;
}

/* Logs a commit that failed or took several attempts. */
static void log_batch(const fleet_owner_t *owner, const char *outcome)
{
	const batch_t *batch = owner->batch;

	log_event(LOG_INFO, "commit_late", "shard", log_num(owner->setup.shard),
		  "outcome", outcome, "sequence",
		  log_num((int64_t)owner->sequence), "jobs",
		  log_num(batch->changes->len), "unanswered",
		  log_num(batch->unanswered), "ms",
		  log_num(gh_time_to_ms(clock_boot() - batch->started_at)),
		  NULL);
}

void fleet_owner_batch_free(batch_t *batch)
{
	guint i;

	g_ptr_array_free(batch->strings, TRUE);
	for (i = 0; i < batch->changes->len; i++)
		gh_fleet_change_clear(
			&g_array_index(batch->changes, gh_fleet_change_t, i));
	g_array_free(batch->changes, TRUE);
	g_free(batch->chain_value);
	g_free(batch);
}

/*
 * Adds to a commit the deletions of the states of ended jobs whose retention
 * time is over.
 */
static void delete_old_states(fleet_owner_t *owner, batch_t *batch,
			      gh_time_t now)
{
	int64_t ended_before_ms =
		gh_time_to_ms(clock_real()) - owner->setup.ended_retention_ms;
	GPtrArray *ids =
		fleet_jobs_ended_before(owner->setup.jobs, owner->setup.shard,
					ended_before_ms, SWEEP_JOBS_MAX);
	guint i;

	owner->sweep_at = now + SWEEP_PERIOD_USEC;
	for (i = 0; i < ids->len && batch->n < FLEET_ENTRIES_MAX - 1; i++)
		fleet_owner_batch_add(batch, FLEET_DELETE,
				      fleet_jobs_state_key(ids->pdata[i]), NULL,
				      0, 0);
	g_ptr_array_free(ids, TRUE);
}

/*
 * Adds the learned interference to a commit that has other changes, so that
 * it costs no call of its own.
 */
static void save_interference(fleet_owner_t *owner, batch_t *batch,
			      gh_time_t now)
{
	char *text = gh_fleet_interference_format(owner->fleet);

	owner->interference_save_at = now + INTERFERENCE_PERIOD_USEC;
	if (!*text) {
		g_free(text);
		return;
	}
	fleet_owner_batch_add(
		batch, FLEET_PUT,
		g_strconcat(owner->progress_prefix, INTERFERENCE_ID, NULL),
		text, 0, 0);
}

/* The same with the learned run times, if there are new ones. */
static void save_run_times(fleet_owner_t *owner, batch_t *batch, gh_time_t now)
{
	uint64_t version = gh_fleet_run_times_version(owner->fleet);

	owner->run_times_save_at = now + RUN_TIMES_PERIOD_USEC;
	if (version == owner->run_times_saved)
		return;
	owner->run_times_saved = version;
	fleet_owner_batch_add(
		batch, FLEET_PUT,
		g_strconcat(owner->progress_prefix, RUN_TIMES_ID, NULL),
		gh_fleet_run_times_format(owner->fleet), 0, 0);
}

/*
 * Whether the commit is to carry the load.  One that begins or ends a
 * long-running job does so at once: many can come within the period, and hosts
 * would place them all by the same load.
 */
static bool load_is_due(const fleet_owner_t *owner, const batch_t *batch,
			gh_time_t now)
{
	gh_capacity_t size;

	if (now >= owner->load_save_at)
		return true;
	if (!owner->load_saved || !batch->changes->len)
		return false;
	size = gh_fleet_long_running(owner->fleet);
	return size.cores_milli != owner->long_running_saved.cores_milli ||
	       size.memory_mb != owner->long_running_saved.memory_mb;
}

/*
 * Adds the shard's load to a commit if it has changed, so that hosts place new
 * jobs by it.  A load that changes beside no job is committed alone.
 */
static void save_load(fleet_owner_t *owner, batch_t *batch, gh_time_t now)
{
	gh_shard_load_t load;
	char *text;

	owner->load_save_at = now + LOAD_PERIOD_USEC;
	gh_fleet_load(owner->fleet, &load, now);
	text = fleet_jobs_load_format(owner->setup.host, &load);
	if (!g_strcmp0(text, owner->load_saved)) {
		g_free(text);
		return;
	}
	g_free(owner->load_saved);
	owner->load_saved = g_strdup(text);
	owner->long_running_saved = load.long_running;
	fleet_owner_batch_add(batch, FLEET_PUT,
			      fleet_jobs_load_key(owner->setup.shard), text, 0,
			      0);
}

/* Last grant that the chain record has to tell; 0: none is ahead. */
static gh_time_t grant_ahead(const fleet_owner_t *owner, gh_time_t now)
{
	return gh_fleet_grant_ahead(owner->fleet, now);
}

/*
 * Whether the chain record tells too little of the grants or what is over.  It
 * tells the time relative to the commit, so the next owner can't see its age.
 */
static bool grants_have_changed(const fleet_owner_t *owner, gh_time_t now)
{
	gh_time_t ahead = grant_ahead(owner, now);

	return ahead > owner->grants_told || (owner->grants_told && !ahead);
}
