/*
 * A host's interface for callers, independent of their protocol.  Calls may
 * come from any thread and block it until the result is known or the deadline
 * has passed.
 *
 * The kind of an error tells what became of the job: with GH_RAN_NO it was
 * not accepted and never will be.
 */
#ifndef FLEET_FRONT_H
#define FLEET_FRONT_H

#include "fleet_port.h"

typedef struct fleet_front fleet_front_t;

/*
 * The queue for a request's host and URL path: of the queues with this host,
 * the one with the longest matching path prefix, or NULL.
 */
const fleet_queue_t *fleet_front_find_queue(const fleet_config_t *config,
					    const char *host, const char *path);

/*
 * The configuration in force, to be released by fleet_config_unref(); NULL
 * until one has been read.
 */
fleet_config_t *fleet_front_config(fleet_front_t *host);

/*
 * Whether a path without a queue in this configuration has none: the
 * configuration is the operator's newest one and was read in whole.
 */
bool fleet_front_knows_all_queues(fleet_front_t *host,
				  const fleet_config_t *config);

/*
 * Submits a job as a pipeline whose id, queue, service and acceptance time are
 * set, and takes ownership of the pipeline.  On failure retry_after_ms is when
 * the caller should retry.
 */
bool fleet_front_submit(fleet_front_t *host, const fleet_queue_t *queue,
			gh_pipeline_t *pipeline, gh_time_t deadline,
			int64_t *retry_after_ms, GError **err);
/*
 * Finds a job's phase, in the store if the host's job directory lacks the job.
 */
bool fleet_front_status(fleet_front_t *host, const fleet_queue_t *queue,
			const char *id, gh_time_t deadline,
			gh_job_phase_t *phase, GError **err);
/* Cancels a job; succeeds without effect if the job has ended already. */
bool fleet_front_cancel(fleet_front_t *host, const fleet_queue_t *queue,
			const char *id, gh_time_t deadline, GError **err);
/*
 * Counts the queue's jobs whose phase is GH_JOB_QUEUED; fails if the store was
 * not heard lately, as the count or the queue itself may be outdated.
 */
bool fleet_front_count_pending(fleet_front_t *host, const fleet_queue_t *queue,
			       uint32_t *n, GError **err);

/*
 * Whether the load balancer may send callers here: the configuration is known
 * and not old, the store replies and the host is not draining.
 */
bool fleet_front_is_ready(fleet_front_t *host);

/* Delay after which a refused caller should retry. */
int64_t fleet_front_retry_after_ms(void);

/*
 * Counters, histograms and the state of the configuration as text, to be freed
 * by g_free().
 */
char *fleet_front_metrics_text(fleet_front_t *host);

#endif
