/*
 * Interface of the worker shards: submits and cancels jobs and reports their
 * state.  A shard is owned by one host at a time, by epoch and lease; its
 * owner keeps the task table in the store, and starts, polls, evicts and
 * resumes tasks on the workers.
 */
#ifndef SHARD_H
#define SHARD_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#include <glib.h>
#include <jansson.h>

#include "core_document.h"
#include "core_task.h"

typedef struct node node_t;
typedef struct shard_set shard_set_t;

/* A job as an operator submits it: a number of equal tasks. */
typedef gh_job_spec_t shard_job_t;

shard_set_t *shard_set_new(node_t *node);
bool shard_set_start(shard_set_t *set, GError **err);

/* Releases the owned shards and ends their threads; running tasks go on. */
void shard_set_drain(shard_set_t *set);
void shard_set_free(shard_set_t *set);

/*
 * Reads and checks a job in JSON form; false with GH_E_BAD_VALUE,
 * GH_E_UNKNOWN_KEY or GH_E_MISSING_KEY.
 */
bool shard_job_parse(const json_t *json, shard_job_t *job, GError **err);

/*
 * Records a job in the store; returns true once it is recorded.  Submitting it
 * again with the same content succeeds.  When another host owns the shard,
 * fails with GH_E_NOT_OWNER and sets owner to its name.  GH_E_STARTING: no
 * document yet, or no known owner; GH_E_REFERENCE: unknown domain; further
 * errors are those of shard_run_submit().
 */
bool shard_submit(shard_set_t *set, const shard_job_t *job,
		  char owner[GH_NAME_MAX + 1], GError **err);

/* Cancels a job; owner and errors as in shard_submit(). */
bool shard_cancel(shard_set_t *set, const char *domain, const char *job,
		  char owner[GH_NAME_MAX + 1], GError **err);

/* State of one job as JSON, or NULL; owner and errors as in shard_submit(). */
json_t *shard_job_status(shard_set_t *set, const char *domain, const char *job,
			 char owner[GH_NAME_MAX + 1], GError **err);

/*
 * Array of all shards with their owners; of the shards owned here also tasks
 * by state, shares per department, and workers.
 */
json_t *shard_status(shard_set_t *set);

#endif
