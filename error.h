/*
 * Typed errors, carried as GError values in the GH_ERROR domain.
 *
 * Each kind has a stable name that clients match on, the HTTP status, the
 * remedy at the end of the message, and whether the work may have run.
 */
#ifndef ERROR_H
#define ERROR_H

#include <glib.h>

#define GH_ERROR (gh_error_quark())

typedef enum gh_error_kind {
#define GH_ERROR_KIND(kind, name, ran, status, remedy) GH_E_##kind,
#include "error_list.h"
#undef GH_ERROR_KIND
	GH_E_COUNT
} gh_error_kind_t;

/* What is known about the work when the error is reported. */
typedef enum gh_ran {
	GH_RAN_NO,     /* the work did not run and will not run */
	GH_RAN_UNKNOWN /* the work may have run, or may still run */
} gh_ran_t;

/* Domain of the errors, as GH_ERROR. */
GQuark gh_error_quark(void);

/* Stable name of an error kind, such as "queue_full". */
const char *gh_error_name(gh_error_kind_t kind);

/* HTTP status code of an error kind, 400 to 599. */
int gh_error_status(gh_error_kind_t kind);

/* Whether the work may have run when an error of this kind is reported. */
gh_ran_t gh_error_ran(gh_error_kind_t kind);

/* What the caller can do next, in one sentence without a full stop. */
const char *gh_error_remedy(gh_error_kind_t kind);

/* Kind with this stable name, or GH_E_COUNT if there is none. */
gh_error_kind_t gh_error_by_name(const char *name);

/* Kind of an error; GH_E_SYSTEM for an error of any other domain. */
gh_error_kind_t gh_error_kind(const GError *err);

/*
 * Sets *err to an error of this kind with the message "<formatted>; <remedy>".
 * Replaces an error that is already set; does nothing when err is NULL.
 */
void gh_error_set(GError **err, gh_error_kind_t kind, const char *fmt, ...)
	G_GNUC_PRINTF(3, 4);

#endif
