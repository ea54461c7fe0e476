/*
 * The console's forms as changes of a document's text.
 *
 * Each form belongs to one concern and edits one group at a time; its fields
 * come from the document's own tables of keys.  Nothing here checks the
 * document: that is done to the whole text when it is previewed.
 */
#ifndef FORM_H
#define FORM_H

#include <stdbool.h>
#include <stddef.h>

#include <glib.h>

#define FORM_KINDS_MAX 2
#define FORM_POLICY "policy" /* the one group without a name */

typedef struct form_concern {
	const char *name; /* in addresses */
	const char *title;
	const char *help;
	const char *kinds[FORM_KINDS_MAX + 1]; /* kinds of groups, NULL-ended */
} form_concern_t;

typedef struct form_field {
	const char *key;
	const char *value; /* empty: the key is left out */
} form_field_t;

const form_concern_t *form_concerns(size_t *n);

/* The concern of this name, or NULL. */
const form_concern_t *form_concern_by_name(const char *name);

/* The concern that a kind of group belongs to, or NULL. */
const form_concern_t *form_concern_by_kind(const char *kind);

/* What a key of a kind of group means, or "". */
const char *form_key_help(const char *kind, const char *key);

/* Name of a group, or NULL when word or name can't stand in a document. */
char *form_group_name(const char *kind, const char *name);

/* Names of the objects of one kind in order; freed with g_strfreev(). */
char **form_object_names(const char *text, const char *kind);

/* Value of a key, or NULL. */
char *form_key_value(const char *text, const char *group, const char *key);

/* The text with the fields of one group set; other keys stay. */
char *form_set_fields(const char *text, const char *group,
		      const form_field_t *fields, size_t n);

/* The text without one group. */
char *form_remove_group(const char *text, const char *group);

/*
 * The changes from base to mine, made to theirs.  Lines of clashes name each
 * key that both changed and the value of theirs that gives way.
 */
char *form_rebase(const char *base, const char *mine, const char *theirs,
		  char **conflicts);

#endif
