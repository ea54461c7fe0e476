/*
 * Queue of requests that wait for a slot, and the order of their dispatch.
 *
 * Departments below their guarantee go first, then latency-critical services,
 * then the department with the fewest requests in flight per weight, then the
 * shorter learned run time, then the older request.  In every fourth
 * dispatch, a batch request that has waited for batch_age_ms goes before the
 * latency-critical requests of its department.
 *
 * A request leaves the queue once: it is dispatched, cancelled, or removed
 * because it can't meet its deadline any more.
 */
#ifndef CORE_QUEUE_H
#define CORE_QUEUE_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#include "core_document.h"
#include "core_time.h"
#include "error.h"

typedef struct gh_queue gh_queue_t;

/* Identifies a queued or dispatched request; GH_NO_TICKET stands for none. */
typedef uint64_t gh_ticket_t;

#define GH_NO_TICKET 0

/* Returns whether some executor can take a request of the named service now. */
typedef bool (*gh_queue_can_run_t)(void *ctx, const char *service,
				   bool is_long);

gh_queue_t *gh_queue_new(void);
void gh_queue_free(gh_queue_t *queue);

/*
 * Applies the departments, services and policy of a document; learned run times
 * of services are kept.
 */
void gh_queue_apply_document(gh_queue_t *queue, const gh_document_t *doc);

/*
 * Returns whether a request of the named service may be queued now.  slots is
 * the number of slots that this host may use for the service.  If not, sets
 * *refusal to the reason.  *retry_after_ms is set to the time to wait before a
 * retry, or to 0 if the service is unknown.
 */
bool gh_queue_admit(const gh_queue_t *queue, const char *name, unsigned slots,
		    gh_time_t deadline, gh_time_t now, gh_error_kind_t *refusal,
		    int64_t *retry_after_ms);

/* Queues a request; returns GH_NO_TICKET if the service is unknown. */
gh_ticket_t gh_queue_push(gh_queue_t *queue, const char *name,
			  gh_time_t deadline, gh_time_t now);

/*
 * Marks the request that is next in the order of dispatch as dispatched and
 * returns its ticket, or GH_NO_TICKET if none can be dispatched.  slots is the
 * total number of slots that this host may use.
 */
gh_ticket_t gh_queue_dispatch_next(gh_queue_t *queue, unsigned slots,
				   gh_queue_can_run_t can_run, void *ctx,
				   gh_time_t now);

/*
 * Removes a queued request that can't meet its deadline any more and returns
 * its ticket.  Only the oldest request of each service is checked; returns
 * GH_NO_TICKET if all of these can meet their deadlines.
 */
gh_ticket_t gh_queue_remove_infeasible(gh_queue_t *queue, gh_time_t now);

/* Removes a queued request; returns false if it has already left the queue. */
bool gh_queue_cancel(gh_queue_t *queue, gh_ticket_t ticket);

/*
 * Ends a dispatched request.  run is its run time, or 0 to leave the learned
 * run time of its service as it is.
 */
void gh_queue_complete(gh_queue_t *queue, gh_ticket_t ticket, gh_time_t run);

/*
 * Learned mean run time of a service, and an upper bound that few requests
 * exceed; 0 if the service is unknown.
 */
gh_time_t gh_queue_run_time(const gh_queue_t *queue, const char *name);
gh_time_t gh_queue_run_time_bound(const gh_queue_t *queue, const char *name);

/*
 * Whether the learned run time of the named service is above the policy's
 * long_ms.
 */
bool gh_queue_is_long(const gh_queue_t *queue, const char *name);

/*
 * Expected queueing delay of a request of the named service that is queued now.
 */
gh_time_t gh_queue_expected_wait(const gh_queue_t *queue, const char *name,
				 unsigned slots);

size_t gh_queue_length(const gh_queue_t *queue);

/* Queued and dispatched requests of one department. */
typedef struct gh_queue_share {
	char department[GH_NAME_MAX + 1];
	size_t queued;
	unsigned in_flight;
	unsigned guaranteed; /* slots guaranteed to the department */
	/* number of requests in flight above the guarantee */
	unsigned borrowed;
} gh_queue_share_t;

/*
 * Sets *share to the figures of the department at index; returns false if index
 * is past the last department.
 */
bool gh_queue_share(const gh_queue_t *queue, size_t index, unsigned slots,
		    gh_queue_share_t *share);

#endif
