/*
 * What the store replied to the tries of a request, in order and bounded, for
 * logs and errors: "no_response, 3x 503".
 */
#ifndef FLEET_TRIES_H
#define FLEET_TRIES_H

#include <stddef.h>

#define FLEET_TRIES_TEXT_MAX 128
#define FLEET_TRIES_REPLY_MAX 16

typedef struct fleet_tries {
	char text[FLEET_TRIES_TEXT_MAX];
	char last[FLEET_TRIES_REPLY_MAX]; /* last reply */
	size_t last_at;			  /* where it begins in text */
	unsigned repeats;		  /* how often it came in a row */
} fleet_tries_t;

/* Adds a reply; NULL counts as "none".  Replies that don't fit are left out. */
void fleet_tries_add(fleet_tries_t *tries, const char *reply);
/* "-" if there was no reply. */
const char *fleet_tries_text(const fleet_tries_t *tries);

#endif
