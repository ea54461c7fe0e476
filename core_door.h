/*
 * One account for what clients make a host hold: connections of all its
 * servers, bodies and what is parsed from them.  It decides what is admitted
 * and which connection is closed first, so that clients that stall, send too
 * much or come in crowds cost a bounded amount of memory and descriptors.
 *
 * It has no lock and does no I/O; the caller closes the connections that it
 * names and tells it when they are closed.
 */
#ifndef CORE_DOOR_H
#define CORE_DOOR_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#include "core_time.h"

typedef struct gh_door gh_door_t;
typedef struct gh_door_client gh_door_client_t;

typedef struct gh_door_limits {
	unsigned clients; /* connections of all servers together */
	size_t bytes;	  /* of bodies and of their parsing */
	/* Time between two requests of a connection. */
	gh_time_t idle_time;
	/* Time for a request to arrive in whole, and for a response to leave.
	 */
	gh_time_t transfer_time;
} gh_door_limits_t;

typedef enum gh_door_reason {
	GH_DOOR_CROWDED, /* more connections than allowed */
	GH_DOOR_FULL,	 /* its body took room that another needs */
	GH_DOOR_LATE,	 /* its deadline has passed */
} gh_door_reason_t;

/*
 * Limits of a host with this much memory and so many descriptors; the two times
 * are left to the caller.
 */
gh_door_limits_t gh_door_limits_for(unsigned memory_mb, unsigned descriptors);

gh_door_t *gh_door_new(const gh_door_limits_t *limits);
void gh_door_free(gh_door_t *door);

/* Connections beyond the limit that are kept for checks of the host. */
#define GH_DOOR_CHECKS_MAX 8

/*
 * Adds a connection; ctx is the caller's.  The first GH_DOOR_CHECKS_MAX that
 * are open for checks don't count, and are not closed for others.
 */
gh_door_client_t *gh_door_enter(gh_door_t *door, void *ctx, bool check,
				gh_time_t now);
/* Removes a connection that is closed. */
void gh_door_leave(gh_door_t *door, gh_door_client_t *client);
void *gh_door_client_ctx(const gh_door_client_t *client);

/*
 * The steps of a request: it begins to arrive, is served, is responded to.
 * gh_door_serve() returns false if its connection is being closed.
 */
void gh_door_receive(gh_door_t *door, gh_door_client_t *client, gh_time_t now);
bool gh_door_serve(gh_door_t *door, gh_door_client_t *client);
void gh_door_send(gh_door_t *door, gh_door_client_t *client, gh_time_t now);
/* The request is over; what is held for it is given back. */
void gh_door_finish(gh_door_t *door, gh_door_client_t *client, gh_time_t now);

/*
 * Asks for room for more bytes of a client's body.  False: there is none, also
 * after gh_door_next() has named the clients that may be closed for it.
 */
bool gh_door_hold(gh_door_t *door, gh_door_client_t *client, size_t bytes);
/* Gives back what is held for the client's body. */
void gh_door_drop(gh_door_t *door, gh_door_client_t *client);

/*
 * Asks for room for what is parsed from a whole body of this length, which may
 * be made by closing others as for gh_door_hold(); gh_door_give() returns it.
 */
bool gh_door_take(gh_door_t *door, size_t bytes, size_t body_bytes);
void gh_door_give(gh_door_t *door, size_t bytes);

/*
 * Returns the next connection to be closed, NULL if there is none; to be called
 * after each of the above until it returns NULL.
 */
gh_door_client_t *gh_door_next(gh_door_t *door, gh_time_t now,
			       gh_door_reason_t *reason);

unsigned gh_door_clients(const gh_door_t *door);
size_t gh_door_bytes(const gh_door_t *door);

#endif
