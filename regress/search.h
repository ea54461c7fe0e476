/*
 * Seeded random search for faults in the scheduling core.
 *
 * A model simulates a few hosts that call the real core modules, and the
 * messages between them.  A trace is a list of events.  The numbers of an
 * event select among the actions that are possible in the current state, so a
 * trace stays valid when events are removed.  A trace that violates an
 * invariant is shortened by removing events.
 */
#ifndef SEARCH_H
#define SEARCH_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#include <glib.h>

typedef struct search_event {
	uint8_t kind; /* index into the model's event kinds */
	/* Random numbers; their meaning depends on the kind. */
	uint32_t a;
	uint32_t b;
} search_event_t;

typedef struct search_event_kind {
	const char *name;
	unsigned weight; /* relative frequency in generated traces */
} search_event_kind_t;

typedef struct search_model {
	const char *name;
	const search_event_kind_t *kinds;
	size_t n_kinds;
	void *(*create)(void);
	void (*destroy)(void *model);
	/* Applies one event; returns the violated invariant or NULL. */
	const char *(*step)(void *model, const search_event_t *event);
} search_model_t;

extern const search_model_t search_requests;
extern const search_model_t search_tasks;

/* Generates a trace of n events; the same seed gives the same trace. */
GArray *search_generate(const search_model_t *model, uint32_t seed, size_t n);

/*
 * Runs a trace up to the first violation.  Returns the violated invariant or
 * NULL, and sets *n_run, unless it is NULL, to the number of events run.
 */
const char *search_run(const search_model_t *model, const GArray *trace,
		       size_t *n_run);

/*
 * Shortens a trace that violates an invariant: removes ever smaller chunks of
 * events as long as the remaining ones violate the same invariant.
 */
void search_shrink(const search_model_t *model, GArray *trace);

/* Returns the trace as text with one event per line. */
char *search_format(const search_model_t *model, const GArray *trace);

/*
 * Parses the text of a trace; skips comments, malformed lines and unknown
 * events.
 */
GArray *search_parse(const search_model_t *model, const char *text);

/*
 * Runs n seeds from first on.  At the first violation, prints the seed, the
 * invariant and the shortened trace, and returns false.
 */
bool search_run_seeds(const search_model_t *model, uint32_t first, uint32_t n,
		      size_t events);

#endif
