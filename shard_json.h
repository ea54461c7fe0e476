/*
 * JSON representation of jobs and of a shard's state, for the console API.
 */
#ifndef SHARD_JSON_H
#define SHARD_JSON_H

#include <jansson.h>

#include "core_shard.h"

/*
 * JSON of one job with the number of its tasks by state; NULL with
 * GH_E_JOB_UNKNOWN.
 */
json_t *shard_json_job(gh_shard_t *shard, const char *name, GError **err);

/*
 * JSON of a shard: number of tasks by state, shares of the departments, and all
 * workers with the reason for each that takes no tasks.
 */
json_t *shard_json_status(gh_shard_t *shard);

#endif
