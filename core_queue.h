/*
 * Queue of requests that wait for a slot, and the order in which they leave.
 *
 * Departments below their guarantee go first, then latency-critical work,
 * then the department that holds least for its weight, then the shorter
 * learned run time, then the older request.  In one dispatch of four, batch
 * work that has waited long enough goes first among latency-critical work of
 * its department.  A request leaves by one change of
 * state: it is dispatched, refused as hopeless, or cancelled.
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

/* One request in the queue or dispatched from it; zero stands for none. */
typedef uint64_t gh_ticket_t;

#define GH_NO_TICKET 0

/* Whether some executor could take a request of the service now. */
typedef bool (*gh_queue_can_run_t)(void *ctx, const char *service,
				   bool is_long);

gh_queue_t *gh_queue_new(void);
void gh_queue_free(gh_queue_t *queue);

/* Takes departments, services and policy; what was learned stays. */
void gh_queue_apply_document(gh_queue_t *queue, const gh_document_t *doc);

/*
 * Whether a request of the service called name may enter now.  slots is the
 * number this host may use for the service.  When not, sets the reason and the
 * time after which a retry may fare better.
 */
bool gh_queue_admit(const gh_queue_t *queue, const char *name, unsigned slots,
		    gh_time_t deadline, gh_time_t now, gh_error_kind_t *refusal,
		    int64_t *retry_after_ms);

/* Enters a request; GH_NO_TICKET when the service is not known. */
gh_ticket_t gh_queue_push(gh_queue_t *queue, const char *name,
			  gh_time_t deadline, gh_time_t now);

/*
 * The next request to dispatch, which counts as dispatched from here on, or
 * GH_NO_TICKET.  slots is the number this host may use in all.
 */
gh_ticket_t gh_queue_dispatch_next(gh_queue_t *queue, unsigned slots,
				   gh_queue_can_run_t can_run, void *ctx,
				   gh_time_t now);

/*
 * A request that can't meet its deadline any more; it has left the queue.
 * GH_NO_TICKET when there is none at the head of any line.
 */
gh_ticket_t gh_queue_remove_infeasible(gh_queue_t *queue, gh_time_t now);

/* Takes a waiting request out; false when it has left already. */
bool gh_queue_cancel(gh_queue_t *queue, gh_ticket_t ticket);

/* A dispatched request ended; run is 0 when nothing is to be learned. */
void gh_queue_complete(gh_queue_t *queue, gh_ticket_t ticket, gh_time_t run);

/* Learned run time of a service, and a bound that few requests exceed. */
gh_time_t gh_queue_run_time(const gh_queue_t *queue, const char *name);
gh_time_t gh_queue_run_time_bound(const gh_queue_t *queue, const char *name);
bool gh_queue_is_long(const gh_queue_t *queue, const char *name);

/* Expected wait of a request that would enter now. */
gh_time_t gh_queue_expected_wait(const gh_queue_t *queue, const char *name,
				 unsigned slots);

size_t gh_queue_length(const gh_queue_t *queue);

/* What one department has waiting and under way. */
typedef struct gh_queue_share {
	char department[GH_NAME_MAX + 1];
	size_t queued;
	unsigned in_flight;
	unsigned guaranteed; /* slots */
	unsigned borrowed;   /* in flight above the guarantee */
} gh_queue_share_t;

/* Share of the department with this index; false past the last one. */
bool gh_queue_share(const gh_queue_t *queue, size_t index, unsigned slots,
		    gh_queue_share_t *share);

#endif
