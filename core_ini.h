/*
 * INI text read by tables of fields: the common ground of settings and
 * documents.
 *
 * Beyond GKeyFile's syntax a group or a key that is given twice is refused,
 * and so is every key that the table of its group does not name.
 */
#ifndef CORE_INI_H
#define CORE_INI_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#include <glib.h>

typedef struct gh_ini gh_ini_t;
typedef struct gh_ini_field gh_ini_field_t;

/* Where a value stands, for readers and their messages. */
typedef struct gh_ini_place {
	const char *source; /* file name, or "document" */
	const char *group;
	const gh_ini_field_t *field;
	const char *value;
	const void *ctx; /* as passed to gh_ini_read() */
} gh_ini_place_t;

/* Checks a value and stores it at out. */
typedef bool (*gh_ini_reader_t)(const gh_ini_place_t *place, void *out,
				GError **err);

struct gh_ini_field {
	const char *key;
	gh_ini_reader_t read;
	size_t offset;	      /* of the member in the object */
	size_t size;	      /* of the member */
	int64_t least;	      /* of numbers */
	int64_t most;	      /* of numbers */
	const char *fallback; /* value of an absent key; NULL: required */
	const void *aux;      /* what the reader needs besides */
};

#define GH_INI_MEMBER(type, member) \
	.offset = offsetof(type, member), .size = sizeof(((type *)NULL)->member)

/* A field of any reader, and a number within bounds; for tables of fields. */
#define GH_INI_FIELD(type, name, member, reader, absent)                      \
	{                                                                     \
		.key = (name), .read = (reader), GH_INI_MEMBER(type, member), \
		.fallback = (absent)                                          \
	}
#define GH_INI_NUMBER(type, name, member, low, high, absent)                 \
	{                                                                    \
		.key = (name), .read = gh_ini_number,                        \
		GH_INI_MEMBER(type, member), .least = (low), .most = (high), \
		.fallback = (absent)                                         \
	}

/* Parses a text; source names it in errors.  NULL with GH_E_SYNTAX. */
gh_ini_t *gh_ini_parse(const char *text, size_t len, const char *source,
		       GError **err);
void gh_ini_free(gh_ini_t *ini);

/* Names of all groups in order; freed with g_strfreev(). */
char **gh_ini_groups(const gh_ini_t *ini, size_t *n);

/* Reads one group into an object; absent groups give the fallbacks. */
bool gh_ini_read(const gh_ini_t *ini, const char *group,
		 const gh_ini_field_t *fields, size_t n, const void *ctx,
		 void *object, GError **err);

/* Fails with GH_E_BAD_VALUE that names the place and what was expected. */
bool gh_ini_bad_value(const gh_ini_place_t *place, GError **err,
		      const char *expected);

/* Whether a name is 1 to GH_NAME_MAX characters of a-z, 0-9, '.' and '-'. */
bool gh_ini_is_name(const char *name);

/* Readers. */
bool gh_ini_number(const gh_ini_place_t *place, void *out, GError **err);
bool gh_ini_milli(const gh_ini_place_t *place, void *out, GError **err);
bool gh_ini_name(const gh_ini_place_t *place, void *out, GError **err);
bool gh_ini_text(const gh_ini_place_t *place, void *out, GError **err);
bool gh_ini_address(const gh_ini_place_t *place, void *out, GError **err);
bool gh_ini_address_port(const gh_ini_place_t *place, void *out, GError **err);
/* One of the NULL-terminated names at aux; out is an int-sized enum. */
bool gh_ini_choice(const gh_ini_place_t *place, void *out, GError **err);

#endif
