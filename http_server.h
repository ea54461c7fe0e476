/*
 * One listening HTTP server on ulfius, with a count of the requests that
 * are under way.
 */
#ifndef HTTP_SERVER_H
#define HTTP_SERVER_H

#include <stdbool.h>

#include <glib.h>
#include <ulfius.h>

typedef struct http_server http_server_t;

typedef struct http_limits {
	unsigned connections;
	unsigned idle_s;    /* until an idle or stalled connection ends */
	size_t headers_max; /* bytes of request line and headers */
	size_t body_max;    /* bytes; a longer body is cut after one more */
	bool thread_each;   /* a thread a connection; else one for all */
	size_t stack_size;  /* bytes, of each thread */
} http_limits_t;

typedef int (*http_callback_t)(const struct _u_request *http,
			       struct _u_response *out, void *ctx);

/* Not listening yet; err tells of a wrong address. */
http_server_t *http_server_new(const char *address, unsigned port,
			       const http_limits_t *limits, GError **err);
/* Adds an endpoint; prefix NULL: all that no other endpoint takes. */
void http_server_add(http_server_t *server, const char *method,
		     const char *prefix, const char *rest,
		     http_callback_t callback, void *ctx);
bool http_server_start(http_server_t *server, GError **err);
int http_server_in_flight(const http_server_t *server);
/* Closes the listening socket; connections go on. */
void http_server_quiesce(http_server_t *server);
void http_server_free(http_server_t *server);

#endif
