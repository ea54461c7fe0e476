/*
 * Link to the executors: pooled connections, one request at a time on each.
 *
 * Every answer is checked against its request by X-Request-Id and
 * Content-Length; a connection that brought a wrong one is closed.
 */
#ifndef EXECUTOR_LINK_H
#define EXECUTOR_LINK_H

#include <stdbool.h>
#include <stddef.h>

#include "core_retry.h"
#include "core_time.h"
#include "http_client.h"

typedef struct executor_link executor_link_t;

/* One sending of a request to one executor. */
typedef struct executor_call {
	const char *address; /* IP number and port */
	const char *method;
	const char *path;	    /* with the query */
	const char *id;		    /* unique to this sending */
	const char *const *headers; /* further ones, NULL-terminated */
	const char *body;
	size_t body_len;
	gh_time_t deadline; /* CLOCK_BOOTTIME */
	bool idempotent;
	bool fresh;		    /* use a new connection */
	size_t connections;	    /* this host's share of them */
	bool (*abandon)(void *ctx); /* whether to give it up, or NULL */
	void *ctx;
} executor_call_t;

typedef struct executor_link_ops {
	/* Sends and waits; the answer is to be cleared by the caller. */
	gh_send_result_t (*send)(executor_link_t *link,
				 const executor_call_t *call,
				 http_answer_t *answer);
	/* Closes the idle connections to one executor. */
	void (*drop_idle)(executor_link_t *link, const char *address);
	void (*free)(executor_link_t *link);
} executor_link_ops_t;

struct executor_link {
	const executor_link_ops_t *ops;
};

executor_link_t *executor_link_http_new(void);

#endif
