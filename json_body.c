#include "json_body.h"

#include <stdbool.h>

#include "error.h"

static bool is_too_deep(const char *text, size_t len);

json_t *json_body_parse(const char *text, size_t len, size_t flags,
			GError **err)
{
	json_error_t json_err;
	json_t *root;

	if (is_too_deep(text, len)) {
		gh_error_set(err, GH_E_SYNTAX,
			     "JSON has more than %d levels of arrays and "
			     "objects",
			     JSON_BODY_DEPTH_MAX);
		return NULL;
	}
	root = json_loadb(text, len, flags, &json_err);
	if (!root)
		gh_error_set(err, GH_E_SYNTAX, "JSON, line %d: %s",
			     json_err.line, json_err.text);
	return root;
}

static bool is_too_deep(const char *text, size_t len)
{
	bool in_string = false;
	unsigned depth = 0;
	size_t i;

	for (i = 0; i < len; i++) {
		switch (text[i]) {
		case '\\':
			i += in_string;
			break;
		case '"':
			in_string = !in_string;
			break;
		case '[':
		case '{':
			if (!in_string && ++depth > JSON_BODY_DEPTH_MAX)
				return true;
			break;
		case ']':
		case '}':
			if (!in_string && depth)
				depth--;
			break;
		default:
			break;
		}
	}
	return false;
}
