/*
 * Shared by fleet_owner.c, which claims a shard and calls its workers,
 * fleet_owner_load.c, which reads its records, fleet_owner_lease.c, which keeps
 * its owner record, fleet_owner_commit.c, which writes its changes,
 * fleet_owner_move.c, which exchanges tasks with other shards, and
 * fleet_owner_handover.c, which leaves the shard to a larger host.
 */
#ifndef FLEET_OWNER_PRIVATE_H
#define FLEET_OWNER_PRIVATE_H

#include "core_handover.h"
#include "fleet_owner.h"
#include "fleet_watch.h"

/*
 * TTL of the lease of a shard's owner record; the lease outlasts short freezes
 * of the host.
 */
#define OWNER_LEASE_MS 1500
#define LEASE_RENEWAL_PERIOD_USEC (300 * GH_USEC_PER_MSEC)
/*
 * Max time between two renewals that succeed; after a longer one the owner
 * reads its record, which can have become another host's.
 */
#define RENEWAL_GAP_MAX_USEC (2 * LEASE_RENEWAL_PERIOD_USEC)
/*
 * Workers' leases are extended for this long after the owner's own lease was
 * last renewed.  The next owner waits for this time and a lease before it
 * starts the tasks of a worker that it cannot reach.
 */
#define WORKER_RENEWAL_LIMIT_USEC (2500 * GH_USEC_PER_MSEC)
#define COMMIT_RETRY_DELAY_USEC (60 * GH_USEC_PER_MSEC)
/*
 * The learned interference is stored beside the jobs' progress, under this id;
 * no job has it.
 */
#define INTERFERENCE_ID "images"
/* The learned run times are stored there too. */
#define RUN_TIMES_ID "runtimes"
/*
 * In the chain record of an owner that has released its shard, before the
 * time of its last grant of a lease, in ms relative to the release.
 */
#define CHAIN_RELEASED " released "
/*
 * Min time between two writes of the shard's load, unless the size of its
 * long-running tasks has changed.
 */
#define LOAD_PERIOD_USEC (500 * GH_USEC_PER_MSEC)

typedef enum phase {
	PHASE_IDLE,
	PHASE_CLAIMING,
	PHASE_LOADING,
	PHASE_OWNING,
	PHASE_RELEASING
} phase_t;

/* A commit: its entries and the strings that they refer to. */
typedef struct batch {
	fleet_entry_t entries[FLEET_ENTRIES_MAX];
	size_t n;
	GPtrArray *strings;
	/* gh_fleet_change_t, changes of jobs that the commit writes. */
	GArray *changes;
	/* New value of the shard's chain record, which each commit rewrites. */
	char *chain_value;
	gh_time_t grants_told; /* last grant that chain_value tells; 0: none */
	gh_time_t started_at;  /* when the commit was first sent */
	gh_time_t sent_at;     /* when it was last sent */
	unsigned unanswered;   /* number of times that it got no reply */
	/* Number of replies that did not tell the outcome. */
	unsigned odd_replies;
	bool releases; /* it deletes the owner record */
	bool has_more; /* it writes or deletes more than changes of jobs */
} batch_t;

struct fleet_owner {
	fleet_owner_setup_t setup;
	phase_t phase;
	bool draining;
	bool handing_over;   /* the shard is released to a larger host */
	uint64_t generation; /* counts claims and losses of the shard */
	uint64_t epoch;
	uint64_t sequence; /* number of the last commit in this epoch */
	uint64_t chain_revision;
	char *own_key;
	char *chain_key;
	char *progress_prefix;
	char *jobs_prefix;
	/*
	 * Last grant of a lease by a previous owner, as the chain record tells
	 * it; 0: it does not.  One that has not released the shard may have
	 * granted others since.
	 */
	gh_time_t previous_grants_end;
	bool previous_released;
	/*
	 * As in gh_fleet_setup_t.  The claim tells the list again, which goes
	 * on naming the previous owner's claim.
	 */
	char *previous_unheard;
	gh_time_t previous_unheard_from;
	gh_time_t claim_sent_at;
	char *claim_value; /* value of the chain record that the claim writes */
	gh_time_t grants_told; /* last grant in the chain record; 0: none */
	bool record_known;     /* the owner record was read at least once */
	bool record_absent;    /* no host has an owner record for the shard */
	loop_timer_t timer;
	gh_time_t claim_at;
	gh_time_t claim_delay; /* delay that claim_at was set with */
	gh_handover_t handover;
	gh_time_t handover_check_at;
	/* Until then a hand-over commits what is left before the release. */
	gh_time_t handover_commit_until;
	/*
	 * Last grant of a lease that a hand-over's release in flight tells; 0:
	 * none is in flight.
	 */
	gh_time_t release_grants_end;
	/* Until then the shard that was handed over is left to others. */
	gh_time_t leave_until;
	/* Revision of the chain record that made this host step back. */
	uint64_t stepped_back_from;
	/*
	 * Members from here to renewal_sent_at: the lease to which the owner
	 * record is bound.
	 */
	uint64_t lease_id;
	uint64_t record_revision; /* of the host's last known write of it */
	/* Lease to which the record is bound by a restore; 0: none granted. */
	uint64_t restore_lease_id;
	bool record_lost; /* the lease and the record with it have ended */
	bool restoring;	  /* a call that restores the record is in flight */
	/*
	 * When the last lease renewal was sent that succeeded, and the last one
	 * that shows that the record is the host's as well.
	 */
	gh_time_t lease_renewed_at, renewed_at;
	/* When a call was sent that read or wrote the record as the host's. */
	gh_time_t record_seen_at;
	gh_time_t renew_at; /* due time of the next lease renewal */
	gh_time_t renewal_sent_at;
	/* Members used only while this host owns the shard. */
	gh_fleet_t *fleet;
	/* Job id to progress text, while the shard is being loaded. */
	GHashTable *progress;
	/* Last key of the progress read so far; NULL: none was read. */
	char *last_progress_key;
	/* When a read of progress that failed is repeated. */
	gh_time_t load_retry_at;
	/* gh_pipeline_t, while the shard is being loaded; then NULL. */
	GPtrArray *parsed_jobs;
	/* Ids of jobs that were cancelled and have not been committed since. */
	GHashTable *cancelled;
	/* Ids of jobs whose home is another shard. */
	GHashTable *guests;
	/*
	 * move_record_t, records of guests and messages of moves that were read
	 * and are still to be processed, in this order.
	 */
	GQueue moves;
	/* When a read of a state that failed is repeated. */
	gh_time_t move_retry_at;
	gh_time_t peers_set_at; /* when other shards' loads were passed on */
	fleet_watch_t *job_watch;
	fleet_watch_t *worker_watch;
	/* Keys of workers' records that were logged as unusable. */
	GHashTable *unread_workers;
	const fleet_config_t *config;
	uint64_t domains_version; /* of the domains passed to the fleet */
	batch_t *batch;		  /* commit that awaits its outcome, or NULL */
	gh_time_t commit_at;
	/* After a commit that was rejected: so many changes go alone. */
	uint32_t changes_alone;
	/* Until then commits have changes of jobs only. */
	gh_time_t saves_at;
	/*
	 * Due time of the next read of the chain record to find out a commit's
	 * outcome; GH_TIME_NEVER: none.
	 */
	gh_time_t reread_chain_at;
	gh_time_t tick_at;
	gh_time_t sweep_at;
	/* Due time of the next save of the learned interference. */
	gh_time_t interference_save_at;
	/* The same of the run times, and their version that was saved last. */
	gh_time_t run_times_save_at;
	uint64_t run_times_saved;
	/* Due time of the next save of the shard's load. */
	gh_time_t load_save_at;
	char *load_saved; /* load in the last commit with one; NULL: none */
	gh_capacity_t long_running_saved; /* in load_saved */
	/* An event has occurred since the last run of advance(). */
	bool dirty;
	/* A read of the state of a job in moves is in flight. */
	bool move_state_pending;
	/*
	 * Counts of the fleet that were already added to the process's
	 * counters.
	 */
	gh_fleet_counts_t reported;
	gh_time_t backlog_log_at;
};

/*
 * A call in flight to the store or a worker; its reply is ignored if
 * owner->generation has changed since the call was made.
 */
typedef struct owner_call {
	fleet_owner_t *owner;
	uint64_t generation;
	gh_time_t sent_at;
} owner_call_t;

/* fleet_owner.c */
owner_call_t *fleet_owner_call_new(fleet_owner_t *owner);
fleet_owner_t *fleet_owner_call_finish(void *ctx);
void fleet_owner_note_record(fleet_owner_t *owner, uint64_t revision);
void fleet_owner_end_ownership(fleet_owner_t *owner, const char *reason);
void fleet_owner_schedule_claim_retry(fleet_owner_t *owner);
char *fleet_owner_chain_text(const fleet_owner_t *owner, gh_time_t last_grant,
			     const char *unheard, gh_time_t now);
void fleet_owner_log_decision(void *ctx, const char *event,
			      const gh_task_id_t *task, uint32_t run,
			      const char *worker, const char *reason);

/* fleet_owner_load.c */
void fleet_owner_start_loading(fleet_owner_t *owner);
void fleet_owner_load_progress_page(fleet_owner_t *owner);
/* Key of a part of a job's progress record; prefix is progress_prefix. */
char *fleet_owner_part_key(const char *prefix, const char *id, uint32_t part);
/*
 * Takes the job's progress, in all its parts, out of what was read; NULL: there
 * is none.
 */
char *fleet_owner_take_progress(fleet_owner_t *owner,
				const gh_pipeline_t *pipeline);
/* All jobs, guests and moved tasks were added; the workers are read next. */
void fleet_owner_load_workers(fleet_owner_t *owner);

/* fleet_owner_lease.c */
void fleet_owner_renew_lease(fleet_owner_t *owner, gh_time_t now);
bool fleet_owner_record_is_doubtful(const fleet_owner_t *owner, gh_time_t now);
void fleet_owner_restore_record(fleet_owner_t *owner);

/* fleet_owner_commit.c */
void fleet_owner_start_commit(fleet_owner_t *owner, gh_time_t now);
void fleet_owner_reread_chain(fleet_owner_t *owner, gh_time_t now);
void fleet_owner_batch_free(batch_t *batch);
/* Adds an entry to a commit; takes ownership of key and value. */
void fleet_owner_batch_add(batch_t *batch, fleet_entry_kind_t kind, char *key,
			   char *value, uint64_t revision, uint64_t lease);

/* fleet_owner_handover.c */

/* Part of the host's cores that one of its shards has, in thousandths. */
uint32_t fleet_owner_capacity(const fleet_owner_t *owner);
/* Releases the shard if this host is too small for it. */
void fleet_owner_check_handover(fleet_owner_t *owner, gh_time_t now);
/* Goes on owning the shard if the store does not carry out commits. */
void fleet_owner_cancel_handover(fleet_owner_t *owner);
/* Leaves a shard that was handed over to larger hosts, once. */
bool fleet_owner_step_back(fleet_owner_t *owner);

/* fleet_owner_move.c */

void fleet_owner_move_init(fleet_owner_t *owner);
void fleet_owner_move_clear(fleet_owner_t *owner);
/* Passes the loads of the other shards to the fleet. */
void fleet_owner_set_peers(fleet_owner_t *owner, gh_time_t now);
/*
 * Keeps a guest's record or the message of a move for
 * fleet_owner_take_moves(); name is the key after jobs_prefix.  Returns false
 * if the key is another one.
 */
bool fleet_owner_read_move(fleet_owner_t *owner, const char *name,
			   const fleet_item_t *item);
/*
 * Processes what was read.  A job that is not known yet needs its state, which
 * is read from the store if the directory lacks it.
 */
void fleet_owner_take_moves(fleet_owner_t *owner, gh_time_t now);
/* Adds to a commit what a change of a job says of moves. */
void fleet_owner_move_add_change(fleet_owner_t *owner, batch_t *batch,
				 const gh_fleet_change_t *change);
/* The change was committed. */
void fleet_owner_move_committed(fleet_owner_t *owner,
				const gh_fleet_change_t *change);

#endif
