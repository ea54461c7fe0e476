/*
 * What callers may ask of a host, whatever protocol they speak.  Each call
 * blocks its thread until the answer is known or the deadline has come.
 *
 * An error's kind tells what is known: one with GH_RAN_NO says that the job
 * was not accepted and never will be.
 */
#ifndef FLEET_FRONT_H
#define FLEET_FRONT_H

#include "fleet_port.h"

typedef struct fleet_front fleet_front_t;

/* The queue that a host name and a path name, or NULL. */
const fleet_queue_t *fleet_front_find_queue(const fleet_config_t *config,
					    const char *host, const char *path);

/* The configuration in force, with a reference; NULL before the first. */
fleet_config_t *fleet_front_config(fleet_front_t *host);

/* Takes the pipeline; its id, queue, service and time are set already. */
bool fleet_front_submit(fleet_front_t *front, const fleet_queue_t *queue,
			gh_pipeline_t *pipeline, gh_time_t deadline,
			GError **err);
bool fleet_front_status(fleet_front_t *front, const fleet_queue_t *queue,
			const char *id, gh_time_t deadline,
			gh_job_phase_t *phase, GError **err);
bool fleet_front_cancel(fleet_front_t *front, const fleet_queue_t *queue,
			const char *id, gh_time_t deadline, GError **err);
uint32_t fleet_front_count_pending(fleet_front_t *host,
				   const fleet_queue_t *queue);

/* Whether callers are better off here than elsewhere. */
bool fleet_front_is_ready(fleet_front_t *front);

/* When a refused caller should come back. */
int64_t fleet_front_retry_after_ms(void);

/* Counters and histograms as text; g_free() it. */
char *fleet_front_metrics_text(fleet_front_t *host);

#endif
