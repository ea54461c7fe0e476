/*
 * Reads INI text into structs by tables of fields, for both the settings
 * files and the operators' document.
 *
 * It is stricter than GKeyFile: a group or key that occurs twice, or a key
 * that is not in the table of its group, is an error.
 */
#ifndef CORE_INI_H
#define CORE_INI_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#include <glib.h>

typedef struct gh_ini gh_ini_t;
typedef struct gh_ini_field gh_ini_field_t;

/*
 * A value of an INI text and its location, for the readers that check values
 * and for their error messages.
 */
typedef struct gh_ini_place {
	const char *source; /* name of the file, or "document" */
	const char *group;
	const gh_ini_field_t *field;
	const char *value;
	const void *ctx; /* the ctx argument of gh_ini_read() */
} gh_ini_place_t;

/*
 * Checks a value and stores it at out, the field's member of the object.
 * Fails with GH_E_BAD_VALUE, or GH_E_REFERENCE for an undefined object.
 */
typedef bool (*gh_ini_reader_t)(const gh_ini_place_t *place, void *out,
				GError **err);

struct gh_ini_field {
	const char *key;
	gh_ini_reader_t read;
	size_t offset;	      /* byte offset of the member in the object */
	size_t size;	      /* bytes of the member */
	int64_t min;	      /* min value of a number; min length of text */
	int64_t max;	      /* max value or length */
	const char *fallback; /* default value; NULL: key is required */
	const void *aux;      /* further argument of the reader, or NULL */
};

#define GH_INI_MEMBER(type, member) \
	.offset = offsetof(type, member), .size = sizeof(((type *)NULL)->member)

/*
 * Initialisers of a gh_ini_field: GH_INI_FIELD with any reader, the other for a
 * number in a range.
 */
#define GH_INI_FIELD(type, name, member, reader, fallback_)                   \
	{                                                                     \
		.key = (name), .read = (reader), GH_INI_MEMBER(type, member), \
		.fallback = (fallback_)                                       \
	}
#define GH_INI_NUMBER(type, name, member, min_, max_, fallback_)           \
	{                                                                  \
		.key = (name), .read = gh_ini_number,                      \
		GH_INI_MEMBER(type, member), .min = (min_), .max = (max_), \
		.fallback = (fallback_)                                    \
	}

/*
 * Parses an INI text, which error messages call by the name source.  Returns
 * NULL with GH_E_SYNTAX if the text is malformed.
 */
gh_ini_t *gh_ini_parse(const char *text, size_t len, const char *source,
		       GError **err);
void gh_ini_free(gh_ini_t *ini);

/*
 * Returns the names of all groups in the order of the text; freed with
 * g_strfreev().
 */
char **gh_ini_groups(const gh_ini_t *ini, size_t *n);

/*
 * Reads one group into an object by a table of fields.  If the group is absent,
 * its keys take their default values.  Fails with GH_E_UNKNOWN_KEY,
 * GH_E_MISSING_KEY or the error of a field's reader.
 */
bool gh_ini_read(const gh_ini_t *ini, const char *group,
		 const gh_ini_field_t *fields, size_t n, const void *ctx,
		 void *object, GError **err);

/*
 * Sets GH_E_BAD_VALUE with a message that names the location, the value and
 * what was expected.  Always returns false.
 */
bool gh_ini_bad_value(const gh_ini_place_t *place, GError **err,
		      const char *expected);

/* Whether a name has 1 to GH_NAME_MAX characters of a-z, 0-9, '.' and '-'. */
bool gh_ini_is_name(const char *name);

/* Readers for tables of fields; each accepts one kind of value. */
/* Accepts a decimal number; out has 16, 32 or 64 bits, by the member's size. */
bool gh_ini_number(const gh_ini_place_t *place, void *out, GError **err);
/* Accepts a number with up to three decimals, stored in thousandths. */
bool gh_ini_milli(const gh_ini_place_t *place, void *out, GError **err);
bool gh_ini_name(const gh_ini_place_t *place, void *out, GError **err);
/* Accepts any text that, with its final NUL, fits the member, a char array. */
bool gh_ini_text(const gh_ini_place_t *place, void *out, GError **err);
/*
 * These accept an IPv4 address, the first without and the second with a port.
 */
bool gh_ini_address(const gh_ini_place_t *place, void *out, GError **err);
bool gh_ini_address_port(const gh_ini_place_t *place, void *out, GError **err);
/*
 * Accepts one of the names in the field's NULL-terminated array aux and stores
 * its index; out is an int or enum.
 */
bool gh_ini_choice(const gh_ini_place_t *place, void *out, GError **err);

#endif
