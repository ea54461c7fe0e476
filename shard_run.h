/*
 * One shard owned by this host.  One thread decides what runs where, a second
 * commits the records of the decisions to the store; calls to workers run on
 * a shared thread pool, so that a slow worker or store delays no decision.
 */
#ifndef SHARD_RUN_H
#define SHARD_RUN_H

#include <stdbool.h>
#include <stdint.h>

#include <glib.h>
#include <jansson.h>

#include "core_shard.h"
#include "shard_pool.h"
#include "store.h"
#include "worker_link.h"

typedef struct shard_run shard_run_t;

typedef struct shard_run_setup {
	store_t *store;
	worker_link_t *link;
	shard_pool_t *pool;
	const char *prefix;   /* prefix of the shard's keys in the store */
	const char *owner;    /* this host's name */
	uint64_t incarnation; /* incarnation of this process */
	const char *domain;
	uint32_t index; /* number of the shard in its domain */
	uint64_t epoch;
	gh_document_t *doc; /* shard_run_new() takes its own reference */
	/*
	 * After this time, attempts that previous owners started on workers now
	 * unreachable, and whose end is not known, count as ended.
	 */
	int64_t orphan_wait_ms;
} shard_run_setup_t;

/*
 * Starts the threads of an owned shard.  Returns before its log is read; until
 * then calls fail with GH_E_STARTING.
 */
shard_run_t *shard_run_new(const shard_run_setup_t *setup);
shard_run_t *shard_run_ref(shard_run_t *run);
void shard_run_unref(shard_run_t *run);

/*
 * Stops all work on the shard and waits for the calls in flight.  With flush
 * set, pending records are committed first.
 */
void shard_run_stop(shard_run_t *run, bool flush);

/*
 * Sets the end of this host's lease on the shard, by the boot and by the wall
 * clock.  An earlier end than the current one is ignored.
 */
void shard_run_extend_lease(shard_run_t *run, gh_time_t boot, int64_t wall_ms);

/*
 * Hands over a document; ignored unless its generation is higher than that of
 * the document in use.
 */
void shard_run_set_document(shard_run_t *run, gh_document_t *doc);

/*
 * Reports that the previous owner has stopped renewing task leases; shortens
 * the wait until that owner's attempts without a known end count as ended.
 */
void shard_run_confirm_previous_stopped(shard_run_t *run);

/*
 * Stops all decisions and commits for the shard because another owner has a
 * higher epoch. by: the source of that epoch, for the log message.
 */
void shard_run_fence(shard_run_t *run, const char *by);

/* Whether the shard was fenced: another owner has a higher epoch. */
bool shard_run_is_fenced(shard_run_t *run);

const char *shard_run_domain(const shard_run_t *run);
uint32_t shard_run_index(const shard_run_t *run);
uint64_t shard_run_epoch(const shard_run_t *run);

/*
 * Submits or cancels a job.  Returns true once that is committed.
 * GH_E_STARTING: the shard is being taken over or given up; GH_E_STORE_DOWN:
 * nothing was recorded; GH_E_STORE_UNKNOWN: the record may yet be committed.
 * Further errors are those of gh_shard_submit() and gh_shard_cancel().
 */
bool shard_run_submit(shard_run_t *run, const gh_job_spec_t *spec,
		      GError **err);
bool shard_run_cancel(shard_run_t *run, const char *job, GError **err);

/*
 * State of one job as JSON, or NULL with the error GH_E_STARTING or
 * GH_E_JOB_UNKNOWN.
 */
json_t *shard_run_job_status(shard_run_t *run, const char *job, GError **err);

/*
 * State of the shard as JSON, or NULL while the shard is still being loaded or
 * once it is fenced.
 */
json_t *shard_run_status(shard_run_t *run);

/*
 * Number of pending tasks and free capacity in thousandths of a core, for
 * heartbeats; both 0 while the shard is still being loaded or once it is
 * fenced.
 */
void shard_run_get_load(shard_run_t *run, uint32_t *pending,
			uint32_t *free_cores_milli);

#endif
