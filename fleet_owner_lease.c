/*
 * Renewal of the lease to which a shard's owner record is bound.
 */
#include "fleet_owner_private.h"

#include <string.h>

#include "clock.h"
#include "log.h"

/*
 * Max time since the job directory heard the store, which it does each second;
 * after a longer one the owner reads its record itself.
 */
#define DIRECTORY_SILENCE_MAX_USEC (1500 * GH_USEC_PER_MSEC)

static void on_lease_renewed(void *ctx, const fleet_reply_t *reply);
static void note_renewal(fleet_owner_t *owner, gh_time_t sent_at);
static gh_time_t record_known_at(const fleet_owner_t *owner);
static void read_owner_record(fleet_owner_t *owner);
static void on_owner_record_read(void *ctx, const fleet_reply_t *reply);
static void note_record_seen(fleet_owner_t *owner, gh_time_t at);
static void on_restore_lease(void *ctx, const fleet_reply_t *reply);
static void commit_restore(fleet_owner_t *owner);
static void on_owner_record_restored(void *ctx, const fleet_reply_t *reply);
static void restore_succeeded(fleet_owner_t *owner, uint64_t revision);
static void restore_conflict(fleet_owner_t *owner, const fleet_reply_t *reply);

void fleet_owner_renew_lease(fleet_owner_t *owner, gh_time_t now)
{
	if (owner->restoring || now < owner->renew_at)
		return;
	owner->renew_at = now + LEASE_RENEWAL_PERIOD_USEC;
	if (owner->record_lost)
		fleet_owner_restore_record(owner);
	else
		owner->setup.store->ops->renew_lease(
			owner->setup.store, owner->lease_id, on_lease_renewed,
			fleet_owner_call_new(owner));
}

/*
 * Handles the reply to a renewal.  Renewals overlap, as one without a reply
 * must not delay the next.
 */
static void on_lease_renewed(void *ctx, const fleet_reply_t *reply)
{
	gh_time_t sent_at = ((const owner_call_t *)ctx)->sent_at;
	fleet_owner_t *owner = fleet_owner_call_finish(ctx);

	/* A reply to an older renewal may be about a lease given up since. */
	if (!owner || sent_at <= owner->lease_renewed_at)
		return;
	if (reply->result == FLEET_OK && !owner->record_lost)
		note_renewal(owner, sent_at);
	else if (reply->result == FLEET_NOT_FOUND)
		fleet_owner_restore_record(owner);
	owner->dirty = true;
}

/*
 * Notes that the lease was renewed.  It can outlive the record, which another
 * host may then have written, so the renewal counts only if the host would have
 * heard of that.
 */
static void note_renewal(fleet_owner_t *owner, gh_time_t sent_at)
{
	owner->lease_renewed_at = sent_at;
	if (sent_at > owner->renewed_at + RENEWAL_GAP_MAX_USEC ||
	    sent_at > record_known_at(owner) + DIRECTORY_SILENCE_MAX_USEC)
		read_owner_record(owner);
	else
		owner->renewed_at = sent_at;
}

/* Last time at which the host would have heard of another owner record. */
static gh_time_t record_known_at(const fleet_owner_t *owner)
{
	return MAX(owner->record_seen_at,
		   fleet_jobs_owners_heard_at(owner->setup.jobs));
}

/*
 * Whether the store goes on renewing the lease, but has not shown for long that
 * the record is still the host's.
 */
bool fleet_owner_record_is_doubtful(const fleet_owner_t *owner, gh_time_t now)
{
	gh_time_t known_at = record_known_at(owner);

	return owner->lease_renewed_at >
		       known_at + DIRECTORY_SILENCE_MAX_USEC &&
	       now > known_at + WORKER_RENEWAL_LIMIT_USEC;
}

static void read_owner_record(fleet_owner_t *owner)
{
	owner->setup.store->ops->get(owner->setup.store, FLEET_KEYSPACE_OWN,
				     owner->own_key, on_owner_record_read,
				     fleet_owner_call_new(owner));
}

static void on_owner_record_read(void *ctx, const fleet_reply_t *reply)
{
	gh_time_t sent_at = ((const owner_call_t *)ctx)->sent_at;
	fleet_owner_t *owner = fleet_owner_call_finish(ctx);
	const fleet_item_t *item;

	if (!owner || owner->record_lost)
		return;
	if (reply->result != FLEET_OK && reply->result != FLEET_NOT_FOUND)
		return;
	owner->dirty = true;
	item = reply->n_items ? &reply->items[0] : NULL;
	if (item && item->value && strcmp(item->value, owner->setup.host) != 0)
		fleet_owner_end_ownership(
			owner, "another host wrote the owner record");
	else if (item && item->value &&
		 item->revision == owner->record_revision)
		note_record_seen(owner, sent_at);
	else
		fleet_owner_restore_record(owner);
}

static void note_record_seen(fleet_owner_t *owner, gh_time_t at)
{
	owner->record_seen_at = at;
	owner->renewed_at =
		MAX(owner->renewed_at, MIN(at, owner->lease_renewed_at));
}

/*
 * Writes the owner record again after its lease has expired.  The host still
 * owns the shard as long as no other host has changed the chain record.
 */
void fleet_owner_restore_record(fleet_owner_t *owner)
{
	owner->record_lost = true;
	if (owner->restoring)
		return;
	owner->restoring = true;
	/* A restore without a reply is tried again with the same lease. */
	if (owner->restore_lease_id) {
		commit_restore(owner);
		return;
	}
	owner->renewal_sent_at = clock_boot();
	log_event(LOG_WARN, "owner_record_lapsed", "shard",
		  log_num(owner->setup.shard), NULL);
	owner->setup.store->ops->grant_lease(owner->setup.store, OWNER_LEASE_MS,
					     on_restore_lease,
					     fleet_owner_call_new(owner));
}

static void on_restore_lease(void *ctx, const fleet_reply_t *reply)
{
	fleet_owner_t *owner = fleet_owner_call_finish(ctx);

	if (!owner)
		return;
	if (reply->result != FLEET_OK) {
		owner->restoring = false;
		owner->dirty = true;
		return;
	}
	owner->restore_lease_id = reply->lease;
	commit_restore(owner);
}

static void commit_restore(fleet_owner_t *owner)
{
	fleet_entry_t entries[] = {
		{ .kind = FLEET_EXPECT, .key = owner->own_key, .revision = 0 },
		{ .kind = FLEET_EXPECT,
		  .key = owner->chain_key,
		  .revision = owner->chain_revision },
		{ .kind = FLEET_PUT,
		  .key = owner->own_key,
		  .value = owner->setup.host,
		  .lease = owner->restore_lease_id },
	};

	owner->setup.store->ops->commit(
		owner->setup.store, entries, G_N_ELEMENTS(entries),
		on_owner_record_restored, fleet_owner_call_new(owner));
}

static void on_owner_record_restored(void *ctx, const fleet_reply_t *reply)
{
	fleet_owner_t *owner = fleet_owner_call_finish(ctx);

	if (!owner)
		return;
	owner->restoring = false;
	owner->dirty = true;
	owner->renew_at = clock_boot() + COMMIT_RETRY_DELAY_USEC;
	switch (reply->result) {
	case FLEET_OK:
		restore_succeeded(owner, reply->revision);
		break;
	case FLEET_CONFLICT:
		restore_conflict(owner, reply);
		break;
	case FLEET_NOT_FOUND: /* the lease has ended */
		owner->restore_lease_id = 0;
		break;
	default:
		break;
	}
}

static void restore_succeeded(fleet_owner_t *owner, uint64_t revision)
{
	owner->record_lost = false;
	owner->lease_id = owner->restore_lease_id;
	owner->restore_lease_id = 0;
	owner->renewed_at = owner->lease_renewed_at = owner->renewal_sent_at;
	fleet_owner_note_record(owner, revision);
}

/*
 * The owner record exists, or the chain record has changed.  The record can be
 * the host's own: it was not gone, or an earlier restore without a reply has
 * taken effect.  The chain changes with each of the host's commits as well.
 */
static void restore_conflict(fleet_owner_t *owner, const fleet_reply_t *reply)
{
	const fleet_item_t *record = NULL;
	const fleet_item_t *chain = NULL;
	size_t i;

	for (i = 0; i < reply->n_items; i++) {
		if (!strcmp(reply->items[i].key, owner->own_key))
			record = &reply->items[i];
		else if (!strcmp(reply->items[i].key, owner->chain_key))
			chain = &reply->items[i];
	}
	if (record && record->value) {
		if (strcmp(record->value, owner->setup.host) != 0) {
			fleet_owner_end_ownership(
				owner, "another host wrote the owner "
				       "record");
		} else if (record->revision == owner->record_revision) {
			owner->record_lost = false;
			owner->restore_lease_id = 0;
		} else {
			restore_succeeded(owner, record->revision);
			owner->renew_at = clock_boot();
		}
	} else if (!owner->batch && chain &&
		   chain->revision != owner->chain_revision) {
		fleet_owner_end_ownership(owner, "another owner took over");
	}
}
