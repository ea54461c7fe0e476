/*
 * Common part of the fake servers of the tests: a small HTTP/1.1 server with
 * one thread per connection, and control calls at the path /ctl.
 *
 * The tests need connections that close without a response, truncated
 * responses and responses that never arrive.  The HTTP server libraries
 * cannot produce these, so the server is implemented here.
 */
#ifndef FAKE_H
#define FAKE_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#include <arpa/inet.h>
#include <netinet/in.h>

#include <glib.h>
#include <jansson.h>

/* How the server delivers a response. */
typedef enum fake_delivery {
	FAKE_DELIVERY_FULL,	 /* sends the whole response */
	FAKE_DELIVERY_CLOSE,	 /* closes the connection and sends nothing */
	FAKE_DELIVERY_TRUNCATED, /* sends half of the body, then closes */
	FAKE_DELIVERY_NONE /* sends nothing and keeps the connection open */
} fake_delivery_t;

typedef struct fake_request {
	char *method;
	char *path; /* request path without the query, still percent-encoded */
	GHashTable *query;   /* parameter name to percent-decoded value */
	GHashTable *headers; /* lower-case header name to value */
	char *body;	     /* request body, NUL-terminated */
	size_t body_len;
	json_t *json; /* parsed body; NULL unless it is an object or array */
	const struct conn *conn;
} fake_request_t;

typedef struct fake_reply {
	int status;
	json_t *json;	  /* JSON response body, or NULL to send body */
	GString *body;	  /* response body as text, used if json is NULL */
	GString *headers; /* additional header lines, each ending in CRLF */
	fake_delivery_t delivery;
} fake_reply_t;

/* Functions of one kind of fake server. */
typedef struct fake_ops {
	void (*serve)(void *self, const fake_request_t *req,
		      fake_reply_t *reply);
	/*
	 * Applies one key of a control call; returns false when the key is
	 * unknown or its value is invalid.
	 */
	bool (*set_control)(void *self, const char *key, const json_t *value);
	/* Returns the state and counters as a new JSON object. */
	json_t *(*get_state)(void *self, const fake_request_t *req);
} fake_ops_t;

/* First member of every fake server's struct. */
typedef struct fake {
	const fake_ops_t *ops;
} fake_t;

/*
 * Listens on "IP:PORT", prints "ready" and serves until a signal ends the
 * process.  Closes further connections at once while max_connections are
 * open; 0 means no limit.  Returns 2 for an invalid address and 1 when it
 * cannot listen.
 */
int fake_serve(fake_t *self, const char *listen_on, unsigned max_connections);

/* An address of its own of a part of a fake server, which can go silent. */
typedef struct fake_port fake_port_t;

/*
 * Serves the address in threads, and closes connections that are unused for
 * idle_ms (0: none).  Returns NULL when it cannot listen.
 */
fake_port_t *fake_port_open(fake_t *self, const char *listen_on,
			    int64_t idle_ms);
/*
 * Until that time, boot clock, at least, connections carry nothing.  Those that
 * are open are reset now, or once something was sent on them and the time has
 * come.  The attempts to open others are repeated, until one succeeds after
 * that time; their callers may have given up by then or not, or it is served
 * always.
 */
void fake_port_silence(fake_port_t *port, int64_t until_ms, bool resets,
		       bool serves_late);
/*
 * Whether the port has gone silent since the request's connection was
 * accepted; the request is to have no effect and no reply then.
 */
bool fake_request_is_lost(const fake_request_t *req);

/* Parses "IP:PORT"; returns false when the text has another form. */
bool fake_parse_address(const char *text, struct sockaddr_in *addr);

/*
 * Opens a listening TCP socket or a bound UDP socket.  Returns -1 on failure,
 * after a message on stderr unless socket() itself failed.
 */
int fake_listen(const struct sockaddr_in *addr, bool udp);

/*
 * Return a request's header (lower-case name) or query parameter, NULL when
 * it is absent, or a member of a JSON object, the fallback when it is absent
 * or of another type.
 */
const char *fake_header(const fake_request_t *req, const char *name);
const char *fake_query(const fake_request_t *req, const char *name);
int64_t fake_json_int(const json_t *obj, const char *key, int64_t fallback);
const char *fake_json_string(const json_t *obj, const char *key,
			     const char *fallback);

/* Sets the status and the body {"error":error}. */
void fake_reply_error(fake_reply_t *reply, int status, const char *error);

/* Read the wall clock and CLOCK_BOOTTIME, in milliseconds. */
int64_t fake_wall_ms(void);
int64_t fake_boot_ms(void);

void fake_sleep_ms(int64_t ms);

/* Returns the index of text in names, or -1 when it is not there. */
int fake_find_name(const char *text, const char *const *names, size_t n);

#endif
