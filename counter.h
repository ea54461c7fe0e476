/*
 * Process-wide event counters for monitoring.  They start at zero with the
 * process; reading and adding are lock-free.
 */
#ifndef COUNTER_H
#define COUNTER_H

#include <stdint.h>

#include "error.h"

typedef enum counter {
#define COUNTER(id, name, help) CTR_##id,
#include "counter_list.h"
#undef COUNTER
	CTR_COUNT
} counter_t;

void counter_add(counter_t id, uint64_t n);
void counter_inc(counter_t id);
uint64_t counter_get(counter_t id);

/* Name of the counter in counter_format_all(), such as "retry_busy". */
const char *counter_name(counter_t id);

/* One-line description of what the counter counts. */
const char *counter_help(counter_t id);

/* Counts one refusal with this error kind. */
void counter_inc_refusals(gh_error_kind_t kind);

/* Number of refusals with this error kind. */
uint64_t counter_get_refusals(gh_error_kind_t kind);

/*
 * Formats all counters as text: one "name value" line each, then one
 * "refused_<kind> value" line for each error kind, then the histograms.  The
 * caller frees the text with g_free().
 */
char *counter_format_all(void);

#endif
