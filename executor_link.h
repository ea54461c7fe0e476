/*
 * Sends requests to executors over pooled HTTP connections, with at most one
 * request at a time on each.
 *
 * A response is accepted only if its X-Request-Id is that of the request and
 * its body is as long as Content-Length; otherwise the connection is closed.
 */
#ifndef EXECUTOR_LINK_H
#define EXECUTOR_LINK_H

#include <stdbool.h>
#include <stddef.h>

#include "core_retry.h"
#include "core_time.h"
#include "http_client.h"

typedef struct executor_link executor_link_t;

/* One send of a request to one executor or, when it spills, entry host. */
typedef struct executor_call {
	const char *address; /* IP:PORT */
	const char *method;
	const char *path;	    /* with the query */
	const char *request_id;	    /* X-Request-Id, unique to this send */
	const char *const *headers; /* "Name: value", NULL-terminated */
	const char *body;
	size_t body_len;
	gh_time_t deadline; /* CLOCK_BOOTTIME */
	bool idempotent;
	bool new_connection; /* do not reuse one */
	/* Bound for the address, taken from the first call to it. */
	size_t max_idle_connections;
	bool (*should_abandon)(void *ctx); /* polled while waiting; or NULL */
	void *abandon_ctx;
} executor_call_t;

typedef struct executor_link_ops {
	/*
	 * Sends the request and waits for the response or the deadline.  The
	 * caller has to call http_response_clear() whatever the result.
	 */
	gh_send_result_t (*send)(executor_link_t *link,
				 const executor_call_t *call,
				 http_response_t *response);
	/* Closes the idle connections to one address. */
	void (*close_idle)(executor_link_t *link, const char *address);
	void (*free)(executor_link_t *link);
} executor_link_ops_t;

struct executor_link {
	const executor_link_ops_t *ops;
};

/* A link over HTTP without connections yet; freed by its ops->free(). */
executor_link_t *executor_link_http_new(void);

#endif
