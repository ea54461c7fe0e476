/*
 * HTTP/1.1 client with a pool of persistent connections, based on libcurl.
 *
 * A client keeps idle libcurl handles, each with its open connections.  A call
 * blocks the calling thread until the response, an error or the deadline; any
 * number of threads may make calls at the same time.
 */
#ifndef HTTP_CLIENT_H
#define HTTP_CLIENT_H

#include <stdbool.h>
#include <stddef.h>

#include <glib.h>

#include "core_time.h"

typedef struct http_client http_client_t;

/* How far a call got; tells whether the server may have executed it. */
typedef enum http_stage {
	/* Nothing of the request was written to the connection. */
	HTTP_STAGE_UNSENT,
	HTTP_STAGE_SENT,    /* some of the request may have been written */
	HTTP_STAGE_COMPLETE /* a complete response was read */
} http_stage_t;

/* Why a call failed. */
typedef enum http_fault {
	HTTP_FAULT_NONE,
	HTTP_FAULT_CONNECT, /* no connection could be made */
	HTTP_FAULT_TIMEOUT, /* no complete response by the deadline */
	/* The connection broke, or an error that no other value covers. */
	HTTP_FAULT_RESET,
	HTTP_FAULT_TRUNCATED, /* the body is shorter than its Content-Length */
	HTTP_FAULT_TOO_LARGE, /* the body is longer than the call allows */
	HTTP_FAULT_ABORTED,   /* the caller aborted the call */
	HTTP_FAULT_COUNT
} http_fault_t;

typedef struct http_response http_response_t;

typedef struct http_call {
	const char *method; /* HTTP method: "GET", "POST", ... */
	const char *url;    /* absolute URL */
	/* Strings "Name: value", NULL-terminated; NULL for none. */
	const char *const *headers;
	const char *body; /* request body; NULL for none */
	size_t body_len;
	/* Maximum length of the response body, in bytes; 0: 2 MiB. */
	size_t response_max_bytes;
	/* Time on CLOCK_BOOTTIME at which the call fails. */
	gh_time_t deadline;
	/*
	 * Write the request at most once: a reused connection that turns out
	 * to be closed ends the call, where libcurl would otherwise send the
	 * request again on a new connection.
	 */
	bool write_once;
	/* Use a new connection, not an idle one of the pool. */
	bool new_connection;
	/*
	 * Maximum idle time of a reused connection; 0: the max_idle_time of the
	 * client.
	 */
	gh_time_t max_idle_time;
	/*
	 * Both functions may be NULL.  should_abort is called at intervals
	 * while the call waits; true aborts the call.  accept_response checks
	 * the response; after false the connection is closed instead of reused.
	 */
	bool (*should_abort)(void *ctx);
	bool (*accept_response)(void *ctx, const http_response_t *response);
	void *ctx;
} http_call_t;

struct http_response {
	http_stage_t stage;
	http_fault_t fault;
	int status; /* HTTP status code of the response */
	/* Response body, NUL-terminated; freed by http_response_clear(). */
	char *body;
	size_t body_len;
	/* Response headers: lower-case name to value. */
	GHashTable *headers;
	size_t bytes; /* bytes of request and response, headers included */
	bool reused;  /* no new connection was opened for the call */
};

/*
 * Keeps at most max_idle idle connections, and reuses none that was idle for
 * longer than max_idle_time.
 */
http_client_t *http_client_new(size_t max_idle, gh_time_t max_idle_time);
void http_client_free(http_client_t *client);

/*
 * Stores the local IPv4 address for the client's connections; has to be called
 * before the first http_client_call().  The address is not passed to libcurl so
 * far.
 */
void http_client_bind(http_client_t *client, const char *address);

/*
 * Makes one call.  Returns true if a complete response was read, with any
 * status; otherwise stage and fault of the response tell how
 * the call failed.  The caller calls http_response_clear() in both cases.
 */
bool http_client_call(http_client_t *client, const http_call_t *call,
		      http_response_t *response);

/* Closes all idle connections. */
void http_client_drop_idle(http_client_t *client);

/* Value of a header, or NULL; name is in lower case. */
const char *http_response_header(const http_response_t *response,
				 const char *name);
/* Frees the members of a response, not the response itself. */
void http_response_clear(http_response_t *response);

#endif
