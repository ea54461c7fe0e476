/*
 * The console's forms as edits of a document's text.
 *
 * A concern is a topic of the document, such as services, with one or two
 * kinds of groups.  The groups of a kind are the INI groups "[KIND NAME]",
 * such as "[worker w1]".  A form edits one group; its fields are the keys
 * that gh_document_keys() lists.  The edits are not checked here: the preview
 * checks the whole text.
 */
#ifndef FORM_H
#define FORM_H

#include <stdbool.h>
#include <stddef.h>

#include <glib.h>

#define FORM_KINDS_MAX 2
/* The kind of the group "[policy]", the only one without a name. */
#define FORM_POLICY "policy"

typedef struct form_concern {
	const char *name; /* name in the URL /forms/NAME */
	const char *title;
	const char *help;
	/* Kinds of groups that belong to the concern; NULL-terminated. */
	const char *kinds[FORM_KINDS_MAX + 1];
} form_concern_t;

typedef struct form_field {
	const char *key;
	/* New value of the key; an empty value removes the key. */
	const char *value;
} form_field_t;

/* All concerns in the order of the navigation; sets *n to their number. */
const form_concern_t *form_concerns(size_t *n);

/* The concern with a name, or NULL. */
const form_concern_t *form_concern_by_name(const char *name);

/* The concern that a kind of group belongs to, or NULL. */
const form_concern_t *form_concern_by_kind(const char *kind);

/* Help text for a key of a kind of group, or "". */
const char *form_key_help(const char *kind, const char *key);

/*
 * Name of the INI group "KIND NAME", freed with g_free(); NULL when no form
 * edits the kind or the name is invalid.
 */
char *form_group_name(const char *kind, const char *name);

/*
 * Names of the objects of one kind, such as all workers, in the text's order;
 * freed with g_strfreev().
 */
char **form_object_names(const char *text, const char *kind);

/* Value of a key, freed with g_free(), or NULL. */
char *form_key_value(const char *text, const char *group, const char *key);

/*
 * Returns the text with the fields of one group set and its other keys
 * unchanged; freed with g_free().
 */
char *form_set_fields(const char *text, const char *group,
		      const form_field_t *fields, size_t n);

/* Returns the text without one group; freed with g_free(). */
char *form_remove_group(const char *text, const char *group);

/*
 * Three-way merge: applies the changes from base to mine to theirs and
 * returns the result.  Where both changed a key, mine wins, and *conflicts
 * has a line "[GROUP] KEY=VALUE" with the overwritten value of theirs.  Both
 * texts are freed with g_free().
 */
char *form_rebase(const char *base, const char *mine, const char *theirs,
		  char **conflicts);

#endif
