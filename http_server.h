/*
 * HTTP server on one address, based on ulfius and libmicrohttpd.  It counts
 * the requests in progress.
 */
#ifndef HTTP_SERVER_H
#define HTTP_SERVER_H

#include <stdbool.h>

#include <glib.h>
#include <ulfius.h>

typedef struct http_server http_server_t;

typedef struct http_limits {
	/* Maximum of connections open at the same time. */
	unsigned max_connections;
	/* Time after which an idle or stalled connection is closed. */
	unsigned idle_timeout_s;
	/* Maximum size of request line and headers together. */
	size_t max_headers_bytes;
	/*
	 * Maximum size of a request body; a longer body is truncated to one
	 * byte more.
	 */
	size_t max_body_bytes;
	/* True: one thread per connection; false: one thread for all. */
	bool thread_per_connection;
	size_t thread_stack_bytes; /* stack size of each thread */
} http_limits_t;

/* Handles one request; returns a U_CALLBACK_... value of ulfius. */
typedef int (*http_callback_t)(const struct _u_request *http,
			       struct _u_response *out, void *ctx);

/* Returns a server that doesn't listen yet; GH_E_SYSTEM for a bad address. */
http_server_t *http_server_new(const char *address, unsigned port,
			       const http_limits_t *limits, GError **err);
/*
 * Adds an endpoint before the start; method, prefix and format are those of
 * ulfius.  With prefix NULL the callback gets all requests that match no other
 * endpoint.
 */
void http_server_add(http_server_t *server, const char *method,
		     const char *prefix, const char *format,
		     http_callback_t callback, void *ctx);
/* Starts to listen; fails with GH_E_SYSTEM. */
bool http_server_start(http_server_t *server, GError **err);
/* Number of requests in progress. */
int http_server_in_flight(const http_server_t *server);
/* Closes the listening socket; open connections are still served. */
void http_server_quiesce(http_server_t *server);
/* Stops the server and closes all connections. */
void http_server_free(http_server_t *server);

#endif
