/*
 * A crowd of clients that don't behave, run by one thread.  All connections
 * send the same bytes; what they don't take at once is kept for later steps.
 */
#ifndef CROWD_H
#define CROWD_H

#include <stdbool.h>
#include <stddef.h>

#include <glib.h>

typedef struct crowd crowd_t;

typedef struct crowd_options {
	const char *address; /* "a.b.c.d:port" */
	unsigned clients;
	const GString *text; /* what each client sends */
	size_t stop_short;   /* last bytes of the text that are not sent */
	size_t piece;	     /* bytes per write; 0: as many as fit */
	bool trickles;	     /* one byte per client and step */
	bool reads;	     /* reads one byte per client and step */
} crowd_options_t;

/* Connects all clients; those that are refused count as closed. */
crowd_t *crowd_new(const crowd_options_t *options);
/* Sends and reads as far as possible without waiting; false: no progress. */
bool crowd_step(crowd_t *crowd);
/* Clients whose connection the server has closed. */
unsigned crowd_closed(const crowd_t *crowd);
void crowd_free(crowd_t *crowd);

#endif
