/*
 * The door of a process: a core_door that several HTTP servers share.  It may
 * be called from any thread.
 */
#ifndef HTTP_DOOR_H
#define HTTP_DOOR_H

#include <stdbool.h>
#include <stddef.h>

#include "core_door.h"

typedef struct http_door http_door_t;

http_door_t *http_door_new(const gh_door_limits_t *limits);
/* All its servers must have been freed. */
void http_door_free(http_door_t *door);
const gh_door_limits_t *http_door_limits(const http_door_t *door);

/*
 * Adds a connection by its socket, which may be shut down until it leaves;
 * check as in core_door.h.
 */
gh_door_client_t *http_door_enter(http_door_t *door, int fd, bool check);
void http_door_leave(http_door_t *door, gh_door_client_t *client);
/* The steps of a request; see core_door.h. */
void http_door_receive(http_door_t *door, gh_door_client_t *client);
bool http_door_serve(http_door_t *door, gh_door_client_t *client);
void http_door_send(http_door_t *door, gh_door_client_t *client);
void http_door_finish(http_door_t *door, gh_door_client_t *client);

/*
 * Room for a client's body, and for what is parsed.  If there is none,
 * connections with larger bodies are closed for it.
 */
bool http_door_hold(http_door_t *door, gh_door_client_t *client, size_t bytes);
void http_door_drop(http_door_t *door, gh_door_client_t *client);
bool http_door_take(http_door_t *door, size_t bytes, size_t body_bytes);
void http_door_give(http_door_t *door, size_t bytes);

#endif
