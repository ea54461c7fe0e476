/*
 * HTTP server on one address, based on libmicrohttpd, with ulfius's types of
 * requests and responses.  It counts the requests in progress, and what its
 * clients make it hold is on the account of a door.
 */
#ifndef HTTP_SERVER_H
#define HTTP_SERVER_H

#include <stdbool.h>

#include <glib.h>
#include <ulfius.h>

#include "http_door.h"

typedef struct http_server http_server_t;

typedef struct http_limits {
	/* Account of the connections and bodies, which other servers share. */
	http_door_t *door;
	/* Time after which an idle or stalled connection is closed. */
	unsigned idle_timeout_s;
	/* Maximum size of request line and headers together. */
	size_t max_headers_bytes;
	/*
	 * Maximum size of a request body; of a longer body the callback gets
	 * no bytes and a length of one byte more.
	 */
	size_t max_body_bytes;
	/* Method whose bodies are kept; others' are dropped.  NULL: all. */
	const char *body_method;
	/* Its connections are for checks of the host; see core_door.h. */
	bool checks;
	/* True: one thread per connection; false: one thread for all. */
	bool thread_per_connection;
	size_t thread_stack_bytes; /* stack size of each thread */
} http_limits_t;

/*
 * Handles one request; returns a U_CALLBACK_... value of ulfius.  Of the
 * request, the method, the URL and its path, the headers and the body are set.
 */
typedef int (*http_callback_t)(const struct _u_request *http,
			       struct _u_response *out, void *ctx);

/* Returns a server that doesn't listen yet; GH_E_SYSTEM for a bad address. */
http_server_t *http_server_new(const char *address, unsigned port,
			       const http_limits_t *limits, GError **err);
/*
 * Adds an endpoint before the start, for a method or "*".  It gets the requests
 * for this path, and with subpaths also those below it.  With path NULL the
 * callback gets all requests that match no other endpoint.
 */
void http_server_add(http_server_t *server, const char *method,
		     const char *path, bool subpaths, http_callback_t callback,
		     void *ctx);
/*
 * Sets what handles, before the start, a request whose body was dropped for
 * want of room.
 */
void http_server_set_refusal(http_server_t *server, http_callback_t callback,
			     void *ctx);
/* Starts to listen; fails with GH_E_SYSTEM. */
bool http_server_start(http_server_t *server, GError **err);
/* Number of requests in progress. */
int http_server_in_flight(const http_server_t *server);
/* Closes the listening socket; open connections are still served. */
void http_server_quiesce(http_server_t *server);
/* Stops the server and closes all connections. */
void http_server_free(http_server_t *server);

#endif
