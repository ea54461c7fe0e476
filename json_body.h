/*
 * Parses JSON from other programs within bounds: nesting, as Jansson recurses
 * for each level, and numbers, as a conversion out of range is undefined.
 */
#ifndef JSON_BODY_H
#define JSON_BODY_H

#include <glib.h>
#include <jansson.h>
#include <stddef.h>

/* Max levels of arrays and objects; no body of any interface has more. */
#define JSON_BODY_DEPTH_MAX 32

/* NULL with GH_E_SYNTAX; flags are those of json_loadb(). */
json_t *json_body_parse(const char *text, size_t len, size_t flags,
			GError **err);

#endif
