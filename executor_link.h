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

/*
 * One send of a request to one executor or, when the request spills, to one
 * entry host.
 */
typedef struct executor_call {
	const char *address; /* IP:PORT of the executor or entry host */
	const char *method;
	const char *path; /* path in the URL, including the query */
	/* Header X-Request-Id, unique to this send. */
	const char *request_id;
	/* Strings "Name: value", NULL-terminated. */
	const char *const *headers;
	const char *body;
	size_t body_len;
	gh_time_t deadline; /* time on CLOCK_BOOTTIME until which to wait */
	bool idempotent;
	bool new_connection; /* use a new connection, not an idle one */
	/*
	 * Maximum of idle connections kept to the address; only the value of
	 * the first call to an address is used.
	 */
	size_t max_idle_connections;
	/*
	 * Polled during the send; if it returns true, the send is abandoned.
	 * May be NULL.
	 */
	bool (*should_abandon)(void *ctx);
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
