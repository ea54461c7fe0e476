/*
 * Parses JSON from other programs within bounds: nesting, as Jansson recurses
 * for each level, and numbers, as a conversion out of range is undefined.
 */
#ifndef JSON_BODY_H
#define JSON_BODY_H

#include <glib.h>
#include <jansson.h>
#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

/* Max levels of arrays and objects; no body of any interface has more. */
#define JSON_BODY_DEPTH_MAX 32

/*
 * Number of separators and brackets outside strings: an upper bound of the
 * values and names that the parser makes of the text, which need not be JSON.
 */
size_t json_body_count_fields(const char *text, size_t len);
/* Memory that parsing takes at most, at its peak. */
size_t json_body_parsed_bytes(size_t len, size_t fields);
/* NULL with GH_E_SYNTAX; flags are those of json_loadb(). */
json_t *json_body_parse(const char *text, size_t len, size_t flags,
			GError **err);

/*
 * Value of a number from 0 to max, without its fraction.  Returns 0 if there
 * is none (NULL), and also clears *ok if it is of another type or out of range.
 */
int64_t json_body_number(const json_t *value, int64_t max, bool *ok);
/* False if there is none (NULL); also clears *ok if it is of another type. */
bool json_body_flag(const json_t *value, bool *ok);

#endif
