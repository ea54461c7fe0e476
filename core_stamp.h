/*
 * The stamp is the first line of a document's text in the store:
 *
 *   # generation=N writer=NAME sequence=S
 *
 * Writer and sequence identify one attempt to write.  By them a writer that
 * got no reply from the store recognises its own text there.
 */
#ifndef CORE_STAMP_H
#define CORE_STAMP_H

#include <stdbool.h>
#include <stdint.h>

#include "core_document.h"

typedef struct gh_stamp {
	uint64_t generation;
	uint64_t sequence;
	/* name of the entry host that wrote the text */
	char writer[GH_NAME_MAX + 1];
} gh_stamp_t;

/*
 * Parses the first line of a document's text; returns false if that line is no
 * valid stamp.
 */
bool gh_stamp_parse(const char *text, gh_stamp_t *stamp);

/*
 * Returns the part of a document's text below the stamp; all of the text if it
 * has no stamp.
 */
const char *gh_stamp_body(const char *text);

/* Returns the stamp as text, followed by the body; freed with g_free(). */
char *gh_stamp_prepend(const gh_stamp_t *stamp, const char *body);

/*
 * The generation for a new document: the wall clock in milliseconds, or the
 * highest known generation plus one if that is larger.  now: CLOCK_REALTIME.
 */
uint64_t gh_stamp_next_generation(uint64_t highest, gh_time_t now);

#endif
