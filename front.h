/*
 * Request front of an entry host: accepts callers' requests over HTTP, queues
 * them, routes each to an executor and returns the complete response.
 */
#ifndef FRONT_H
#define FRONT_H

#include <stdbool.h>

#include <glib.h>
#include <jansson.h>

typedef struct node node_t;
typedef struct front front_t;

/*
 * Creates a front and registers its peer handlers; node->peer must exist.  It
 * does not listen before front_start().
 */
front_t *front_new(node_t *node);

/* Listens and starts the tick thread; fails with GH_E_SYSTEM. */
bool front_start(front_t *front, GError **err);

/*
 * Refuses new requests, returns borrowed slot credits, waits until the
 * requests in flight have ended or max_wait_ms has passed, and closes the
 * listening socket.
 */
void front_drain(front_t *front, int64_t max_wait_ms);

/* Stops the tick thread and the HTTP server; NULL is allowed. */
void front_free(front_t *front);

/*
 * Whether requests are accepted: the document in force has this host active,
 * its slot credits are usable and it is not draining.
 */
bool front_ready(front_t *front);

/*
 * Queue length, slots and state of each executor, and department shares, for
 * the status page.
 */
json_t *front_status(front_t *front);

#endif
