#include "json_body.h"

#include "error.h"

/*
 * Memory of a parsed body: that of a field, and of texts, which Jansson
 * collects in a buffer before it copies them.
 */
#define FIELD_BYTES 160
#define BODY_COPIES 4
#define BODY_BYTES_MIN 1024
/* Above it, a double does not hold each integer. */
#define REAL_MAX (INT64_C(1) << 53)

/* What a text holds outside its strings. */
typedef struct outline {
	unsigned depth; /* levels of arrays and objects */
	size_t fields;	/* commas, colons and opening brackets */
} outline_t;

static bool is_too_deep(const char *text, size_t len);
static outline_t scan(const char *text, size_t len);

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
	return scan(text, len).depth > JSON_BODY_DEPTH_MAX;
}

size_t json_body_count_fields(const char *text, size_t len)
{
	return scan(text, len).fields;
}

/* Looks at the characters outside strings, without parsing the text. */
static outline_t scan(const char *text, size_t len)
{
	outline_t outline = { 0 };
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
			if (in_string)
				break;
			outline.fields++;
			depth++;
			outline.depth = MAX(outline.depth, depth);
			break;
		case ']':
		case '}':
			if (!in_string && depth)
				depth--;
			break;
		case ',':
		case ':':
			outline.fields += !in_string;
			break;
		default:
			break;
		}
	}
	return outline;
}

size_t json_body_parsed_bytes(size_t len, size_t fields)
{
	return BODY_COPIES * len + fields * FIELD_BYTES + BODY_BYTES_MIN;
}

int64_t json_body_number(const json_t *value, int64_t max, bool *ok)
{
	int64_t number = -1;

	if (!value)
		return 0;
	if (json_is_integer(value)) {
		number = json_integer_value(value);
	} else if (json_is_real(value)) {
		double real = json_real_value(value);

		if (real >= 0 && real <= (double)REAL_MAX)
			number = (int64_t)real;
	}
	if (number >= 0 && number <= max)
		return number;
	*ok = false;
	return 0;
}

bool json_body_flag(const json_t *value, bool *ok)
{
	if (value && !json_is_boolean(value))
		*ok = false;
	return json_is_true(value);
}
