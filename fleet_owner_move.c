/*
 * Tasks that an owner exchanges with the owners of other shards.  A task that
 * leaves is written as a message under the other shard's keys, which that
 * shard's owner follows; the commit that has the task in a record of its own
 * deletes the message.  See core_fleet_move.c for which tasks leave.
 */
#include "fleet_owner_private.h"

#include <stdio.h>
#include <string.h>

#include "clock.h"
#include "core_move.h"
#include "error.h"
#include "log.h"

#define GUEST_TAG "guest1\n"
/* Period at which the loads of other shards are passed on. */
#define PEERS_PERIOD_USEC (200 * GH_USEC_PER_MSEC)
#define STATE_READ_MAX_USEC GH_USEC_PER_SEC
#define STATE_RETRY_DELAY_USEC (60 * GH_USEC_PER_MSEC)

/* The record of a guest, or the message of a move. */
typedef struct move_record {
	gh_pipeline_t *job;
	bool is_guest;
	gh_task_move_t move; /* unless is_guest */
	bool has_no_state;   /* the store has no state of the job */
} move_record_t;

static move_record_t *parse_record(const fleet_owner_t *owner, const char *name,
				   const fleet_item_t *item, GError **err);
static bool is_key_of(const fleet_owner_t *owner, const move_record_t *record,
		      const char *key);
static char *message_key(uint32_t shard, const gh_task_move_t *move,
			 const gh_pipeline_t *job);
static void record_free(gpointer data);
static void read_state(fleet_owner_t *owner, const char *id);
static void on_state_read(void *ctx, const GError *err);
static void take_record(fleet_owner_t *owner, move_record_t *record,
			gh_time_t now);
static void add_guest(fleet_owner_t *owner, move_record_t *record,
		      gh_time_t now);
static void log_departure(const gh_task_move_t *move);

void fleet_owner_move_init(fleet_owner_t *owner)
{
	owner->guests =
		g_hash_table_new_full(g_str_hash, g_str_equal, g_free, NULL);
	owner->move_state_pending = false;
	owner->move_retry_at = GH_TIME_NEVER;
	owner->peers_set_at = 0;
}

void fleet_owner_move_clear(fleet_owner_t *owner)
{
	g_clear_pointer(&owner->guests, g_hash_table_destroy);
	g_queue_clear_full(&owner->moves, record_free);
}

void fleet_owner_set_peers(fleet_owner_t *owner, gh_time_t now)
{
	gh_shard_load_t load;
	uint32_t i;

	if (now < owner->peers_set_at + PEERS_PERIOD_USEC)
		return;
	owner->peers_set_at = now;
	for (i = 0; i < owner->setup.shards; i++)
		if (i != owner->setup.shard)
			gh_fleet_peer_set(
				owner->fleet, i,
				fleet_jobs_load(owner->setup.jobs, i, &load) ?
					&load :
					NULL,
				now);
}

/* Records that are read. */

bool fleet_owner_read_move(fleet_owner_t *owner, const char *name,
			   const fleet_item_t *item)
{
	GError *err = NULL;
	move_record_t *record;

	if (!g_str_has_prefix(name, FLEET_MOVED_PREFIX) &&
	    !g_str_has_prefix(name, FLEET_GUEST_PREFIX))
		return false;
	/* Later it can only be this owner's. */
	if (g_str_has_prefix(name, FLEET_GUEST_PREFIX) && !owner->parsed_jobs)
		return true;
	record = parse_record(owner, name, item, &err);
	if (!record) {
		log_event(LOG_ERROR, "task_move_unread", "key", item->key,
			  "message", err->message, NULL);
		g_error_free(err);
	} else if (record->is_guest) {
		g_queue_push_head(&owner->moves, record);
	} else {
		g_queue_push_tail(&owner->moves, record);
	}
	owner->dirty = true;
	return true;
}

/* NULL, with a typed error, also if the text is that of another key. */
static move_record_t *parse_record(const fleet_owner_t *owner, const char *name,
				   const fleet_item_t *item, GError **err)
{
	move_record_t *record = g_new0(move_record_t, 1);

	record->is_guest = g_str_has_prefix(name, FLEET_GUEST_PREFIX);
	if (!record->is_guest)
		record->job =
			gh_task_move_parse(item->value, &record->move, err);
	else if (g_str_has_prefix(item->value, GUEST_TAG))
		record->job =
			gh_pipeline_parse(item->value + strlen(GUEST_TAG), err);
	else
		gh_error_set(err, GH_E_SYNTAX,
			     "cannot parse the record of a job from another "
			     "shard: expected \"guest1\" as its first line");
	if (record->job && is_key_of(owner, record, item->key))
		return record;
	if (record->job)
		gh_error_set(err, GH_E_BAD_VALUE,
			     "the record is not that of its key, but of job %s",
			     record->job->id);
	record_free(record);
	return NULL;
}

static bool is_key_of(const fleet_owner_t *owner, const move_record_t *record,
		      const char *key)
{
	uint32_t shard = owner->setup.shard;
	char *expected = record->is_guest ?
				 fleet_jobs_guest_key(shard, record->job->id) :
				 message_key(shard, &record->move, record->job);
	bool ok = !strcmp(expected, key) &&
		  (record->is_guest || record->move.to == shard);

	g_free(expected);
	return ok;
}

static char *message_key(uint32_t shard, const gh_task_move_t *move,
			 const gh_pipeline_t *job)
{
	return fleet_jobs_moved_key(shard, job->id,
				    gh_task_move_index(move, job));
}

static void record_free(gpointer data)
{
	move_record_t *record = data;

	gh_pipeline_free(record->job);
	g_free(record);
}

void fleet_owner_take_moves(fleet_owner_t *owner, gh_time_t now)
{
	move_record_t *record;
	fleet_job_state_t state;

	/* The jobs of this shard come first. */
	if (owner->parsed_jobs || !owner->job_watch ||
	    owner->move_state_pending)
		return;
	if (owner->move_retry_at != GH_TIME_NEVER && now < owner->move_retry_at)
		return;
	owner->move_retry_at = GH_TIME_NEVER;
	while ((record = g_queue_peek_head(&owner->moves))) {
		if (!record->has_no_state &&
		    !gh_fleet_has_job(owner->fleet, record->job->id) &&
		    !fleet_jobs_find(owner->setup.jobs, record->job->id,
				     &state)) {
			read_state(owner, record->job->id);
			return;
		}
		take_record(owner, g_queue_pop_head(&owner->moves), now);
	}
	if (owner->phase == PHASE_LOADING && !owner->worker_watch)
		fleet_owner_load_workers(owner);
}

/*
 * The directory may lag behind the store: only the store shows that a job has
 * no state any more, so that it is over.
 */
static void read_state(fleet_owner_t *owner, const char *id)
{
	owner->move_state_pending = true;
	fleet_jobs_refresh(owner->setup.jobs, id,
			   clock_boot() + STATE_READ_MAX_USEC, on_state_read,
			   fleet_owner_call_new(owner));
}

static void on_state_read(void *ctx, const GError *err)
{
	fleet_owner_t *owner = fleet_owner_call_finish(ctx);
	move_record_t *record;

	if (!owner)
		return;
	owner->move_state_pending = false;
	owner->dirty = true;
	record = g_queue_peek_head(&owner->moves);
	if (err && gh_error_kind(err) == GH_E_JOB_UNKNOWN)
		record->has_no_state = true;
	else if (err)
		owner->move_retry_at = clock_boot() + STATE_RETRY_DELAY_USEC;
}

/* Takes ownership of the record. */
static void take_record(fleet_owner_t *owner, move_record_t *record,
			gh_time_t now)
{
	add_guest(owner, record, now);
	if (!record->is_guest)
		gh_fleet_task_arrive(owner->fleet, &record->move, now);
	record_free(record);
}

/* Adds the record's job, unless it is known, and ends it if it is over. */
static void add_guest(fleet_owner_t *owner, move_record_t *record,
		      gh_time_t now)
{
	gh_pipeline_t *job = g_steal_pointer(&record->job);
	char *progress;
	char id[GH_JOB_ID_MAX + 1];
	fleet_job_state_t state;
	GError *err = NULL;

	if (gh_fleet_has_job(owner->fleet, job->id)) {
		gh_pipeline_free(job);
		return;
	}
	progress = fleet_owner_take_progress(owner, job);
	g_strlcpy(id, job->id, sizeof(id));
	g_hash_table_add(owner->guests, g_strdup(id));
	log_event(LOG_INFO, "job_added", "job", id, "from",
		  record->is_guest ? "guest" : "move", "progress",
		  progress ? "yes" : "no", "epoch",
		  log_num((int64_t)owner->epoch), NULL);
	if (!gh_fleet_guest_add(owner->fleet, job, progress, &err)) {
		log_event(LOG_ERROR, "job_progress_unread", "job", id,
			  "message", err->message, NULL);
		g_error_free(err);
	}
	g_free(progress);
	if (record->has_no_state ||
	    (fleet_jobs_find(owner->setup.jobs, id, &state) &&
	     state.phase > GH_JOB_RUNNING))
		gh_fleet_job_cancel(owner->fleet, id, now);
}

/* Changes that are committed. */

void fleet_owner_move_add_change(fleet_owner_t *owner, batch_t *batch,
				 const gh_fleet_change_t *change)
{
	uint32_t shard = owner->setup.shard;
	guint i;

	for (i = 0; change->departures && i < change->departures->len; i++) {
		const gh_task_move_t *move =
			&g_array_index(change->departures, gh_task_move_t, i);

		fleet_owner_batch_add(batch, FLEET_PUT,
				      message_key(move->to, move, change->job),
				      gh_task_move_format(move, change->job), 0,
				      0);
	}
	for (i = 0; change->arrivals && i < change->arrivals->len; i++) {
		const gh_task_move_t *move =
			&g_array_index(change->arrivals, gh_task_move_t, i);

		fleet_owner_batch_add(batch, FLEET_DELETE,
				      message_key(shard, move, change->job),
				      NULL, 0, 0);
	}
	if (change->guest && change->phase > GH_JOB_RUNNING) {
		fleet_owner_batch_add(batch, FLEET_DELETE,
				      fleet_jobs_guest_key(shard, change->id),
				      NULL, 0, 0);
	} else if (change->guest_is_new) {
		char *text = gh_pipeline_format(change->job);

		fleet_owner_batch_add(batch, FLEET_PUT,
				      fleet_jobs_guest_key(shard, change->id),
				      g_strconcat(GUEST_TAG, text, NULL), 0, 0);
		g_free(text);
	}
}

void fleet_owner_move_committed(fleet_owner_t *owner,
				const gh_fleet_change_t *change)
{
	guint i;

	for (i = 0; change->departures && i < change->departures->len; i++)
		log_departure(
			&g_array_index(change->departures, gh_task_move_t, i));
	if (change->guest && change->phase > GH_JOB_RUNNING)
		g_hash_table_remove(owner->guests, change->id);
}

static void log_departure(const gh_task_move_t *move)
{
	char task[48];

	snprintf(task, sizeof(task), "%u.%u.%u", move->task.occurrence,
		 move->task.step, move->task.index);
	log_event(LOG_INFO, "task_moved", "job", move->task.job, "task", task,
		  "from", log_num(move->from), "to", log_num(move->to), "moves",
		  log_num(move->moves), NULL);
}
