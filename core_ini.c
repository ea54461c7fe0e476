#include "core_ini.h"

#include <inttypes.h>
#include <string.h>

#include "core_address.h"
#include "core_document.h"
#include "error.h"

#define MILLI_DIGITS 3

struct gh_ini {
	GKeyFile *file;
	char *source;
};

/* State of the scan of a text for groups and keys that occur twice. */
typedef struct duplicate_scan {
	const char *source;
	/* groups and keys seen, as a set of strings "group" and "group\nkey" */
	GHashTable *seen;
	/* group that the line belongs to; NULL before the first group */
	char *group;
	unsigned line; /* number of the line in the text, from 1 */
} duplicate_scan_t;

static bool check_utf8(const char *text, size_t len, const char *source,
		       GError **err);
static bool check_duplicates(const char *text, size_t len, const char *source,
			     GError **err);
static bool scan_line(duplicate_scan_t *scan, const char *line, GError **err);
static bool add_unique(duplicate_scan_t *scan, char *id, const char *type,
		       const char *name, GError **err);
static bool check_keys(const gh_ini_t *ini, const char *group,
		       const gh_ini_field_t *fields, size_t n, GError **err);
static bool read_field(const gh_ini_t *ini, const char *group,
		       const gh_ini_field_t *field, const void *ctx,
		       void *object, GError **err);
static bool store_number(const gh_ini_place_t *place, int64_t number, void *out,
			 GError **err);

gh_ini_t *gh_ini_parse(const char *text, size_t len, const char *source,
		       GError **err)
{
	GError *cause = NULL;
	gh_ini_t *ini;

	if (!check_utf8(text, len, source, err) ||
	    !check_duplicates(text, len, source, err))
		return NULL;
	ini = g_new0(gh_ini_t, 1);
	ini->file = g_key_file_new();
	ini->source = g_strdup(source);
	if (len && !g_key_file_load_from_data(ini->file, text, len,
					      G_KEY_FILE_NONE, &cause)) {
		gh_error_set(err, GH_E_SYNTAX, "%s: %s", source,
			     cause->message);
		g_error_free(cause);
		gh_ini_free(ini);
		return NULL;
	}
	return ini;
}

void gh_ini_free(gh_ini_t *ini)
{
	if (!ini)
		return;
	g_key_file_free(ini->file);
	g_free(ini->source);
	g_free(ini);
}

char **gh_ini_groups(const gh_ini_t *ini, size_t *n)
{
	gsize count;
	char **groups = g_key_file_get_groups(ini->file, &count);

	*n = count;
	return groups;
}

bool gh_ini_read(const gh_ini_t *ini, const char *group,
		 const gh_ini_field_t *fields, size_t n, const void *ctx,
		 void *object, GError **err)
{
	size_t i;

	if (!check_keys(ini, group, fields, n, err))
		return false;
	for (i = 0; i < n; i++)
		if (!read_field(ini, group, &fields[i], ctx, object, err))
			return false;
	return true;
}

bool gh_ini_bad_value(const gh_ini_place_t *place, GError **err,
		      const char *expected)
{
	gh_error_set(err, GH_E_BAD_VALUE, "%s: [%s] %s=%.80s: expected %s",
		     place->source, place->group, place->field->key,
		     place->value, expected);
	return false;
}

bool gh_ini_is_name(const char *name)
{
	size_t len = strspn(name, "abcdefghijklmnopqrstuvwxyz0123456789.-");

	return len >= 1 && len <= GH_NAME_MAX && !name[len];
}

bool gh_ini_number(const gh_ini_place_t *place, void *out, GError **err)
{
	char *end = NULL;
	int64_t number;

	if (!g_ascii_isdigit(place->value[0]))
		return gh_ini_bad_value(place, err, "a whole number");
	number = g_ascii_strtoll(place->value, &end, 10);
	if (*end)
		return gh_ini_bad_value(place, err, "a whole number");
	return store_number(place, number, out, err);
}

bool gh_ini_milli(const gh_ini_place_t *place, void *out, GError **err)
{
	int64_t number = 0;
	int decimals = -1;
	const char *p;

	for (p = place->value; *p && number < INT32_MAX; p++) {
		if (*p == '.' && decimals < 0 && p > place->value) {
			decimals = 0;
			continue;
		}
		if (!g_ascii_isdigit(*p) || decimals == MILLI_DIGITS)
			break;
		number = number * 10 + (*p - '0');
		if (decimals >= 0)
			decimals++;
	}
	if (*p || p == place->value || decimals == 0)
		return gh_ini_bad_value(place, err,
					"a number with at most three decimals");
	if (decimals < 0)
		decimals = 0;
	for (; decimals < MILLI_DIGITS; decimals++)
		number *= 10;
	return store_number(place, number, out, err);
}

bool gh_ini_name(const gh_ini_place_t *place, void *out, GError **err)
{
	if (!gh_ini_is_name(place->value))
		return gh_ini_bad_value(place, err,
					"1 to 47 characters of a-z 0-9 . -");
	g_strlcpy(out, place->value, place->field->size);
	return true;
}

bool gh_ini_text(const gh_ini_place_t *place, void *out, GError **err)
{
	char *expected;

	if (strlen(place->value) < place->field->size) {
		g_strlcpy(out, place->value, place->field->size);
		return true;
	}
	expected = g_strdup_printf("at most %zu bytes", place->field->size - 1);
	gh_ini_bad_value(place, err, expected);
	g_free(expected);
	return false;
}

bool gh_ini_address(const gh_ini_place_t *place, void *out, GError **err)
{
	if (!gh_address_is_ipv4(place->value))
		return gh_ini_bad_value(place, err, "an IPv4 address a.b.c.d");
	g_strlcpy(out, place->value, place->field->size);
	return true;
}

bool gh_ini_address_port(const gh_ini_place_t *place, void *out, GError **err)
{
	if (!gh_address_has_port(place->value))
		return gh_ini_bad_value(place, err,
					"an IPv4 address and port a.b.c.d:n");
	g_strlcpy(out, place->value, place->field->size);
	return true;
}

bool gh_ini_choice(const gh_ini_place_t *place, void *out, GError **err)
{
	const char *const *names = place->field->aux;
	char *expected;
	int i;

	for (i = 0; names[i]; i++)
		if (!strcmp(names[i], place->value)) {
			memcpy(out, &i, sizeof(i));
			return true;
		}
	expected = g_strjoinv(" or ", (char **)names);
	gh_ini_bad_value(place, err, expected);
	g_free(expected);
	return false;
}

static bool check_utf8(const char *text, size_t len, const char *source,
		       GError **err)
{
	const char *end = NULL;

	if (g_utf8_validate_len(text, len, &end))
		return true;
	gh_error_set(err, GH_E_SYNTAX, "%s: byte %zu is not valid UTF-8 text",
		     source, (size_t)(end - text));
	return false;
}

/*
 * Refuses duplicate groups and keys in the text itself, since GKeyFile merges
 * groups and keeps the last value of a key without an error.
 */
static bool check_duplicates(const char *text, size_t len, const char *source,
			     GError **err)
{
	duplicate_scan_t scan = {
		.source = source,
		.seen = g_hash_table_new_full(g_str_hash, g_str_equal, g_free,
					      NULL),
	};
	const char *end = text + len;
	bool ok = true;

	while (ok && text < end) {
		const char *eol = memchr(text, '\n', (size_t)(end - text));
		char *line;

		if (!eol)
			eol = end;
		line = g_strstrip(g_strndup(text, (size_t)(eol - text)));
		scan.line++;
		ok = scan_line(&scan, line, err);
		g_free(line);
		text = eol + 1;
	}
	g_hash_table_unref(scan.seen);
	g_free(scan.group);
	return ok;
}

/*
 * Checks whether one line of the text, stripped of leading and trailing blanks,
 * repeats a group or key.
 */
static bool scan_line(duplicate_scan_t *scan, const char *line, GError **err)
{
	const char *equals;
	char *key;
	bool ok;

	if (*line == '[') {
		const char *bracket = strrchr(line, ']');

		if (!bracket)
			return true;
		g_free(scan->group);
		scan->group = g_strndup(line + 1, (size_t)(bracket - line - 1));
		return add_unique(scan, g_strdup(scan->group), "group",
				  scan->group, err);
	}
	equals = strchr(line, '=');
	if (!equals || *line == '#' || !scan->group)
		return true;
	key = g_strstrip(g_strndup(line, (size_t)(equals - line)));
	ok = add_unique(scan, g_strdup_printf("%s\n%s", scan->group, key),
			"key", key, err);
	g_free(key);
	return ok;
}

/*
 * Adds the id of a group or key to the set of those seen; fails if the set
 * already has it.  Takes ownership of the id.
 */
static bool add_unique(duplicate_scan_t *scan, char *id, const char *type,
		       const char *name, GError **err)
{
	if (g_hash_table_add(scan->seen, id))
		return true;
	gh_error_set(err, GH_E_SYNTAX, "%s:%u: [%s]: %s \"%s\" is given twice",
		     scan->source, scan->line, scan->group, type, name);
	return false;
}

/* Refuses a group that has keys which are not in its table of fields. */
static bool check_keys(const gh_ini_t *ini, const char *group,
		       const gh_ini_field_t *fields, size_t n, GError **err)
{
	char **keys = g_key_file_get_keys(ini->file, group, NULL, NULL);
	bool ok = true;
	size_t i;
	size_t j;

	for (i = 0; ok && keys && keys[i]; i++) {
		for (j = 0; j < n; j++)
			if (!strcmp(fields[j].key, keys[i]))
				break;
		ok = j < n;
		if (!ok)
			gh_error_set(err, GH_E_UNKNOWN_KEY,
				     "%s: [%s] %s: unknown key", ini->source,
				     group, keys[i]);
	}
	g_strfreev(keys);
	return ok;
}

static bool read_field(const gh_ini_t *ini, const char *group,
		       const gh_ini_field_t *field, const void *ctx,
		       void *object, GError **err)
{
	char *value = g_key_file_get_value(ini->file, group, field->key, NULL);
	gh_ini_place_t place = {
		.source = ini->source,
		.group = group,
		.field = field,
		.value = value ? g_strstrip(value) : field->fallback,
		.ctx = ctx,
	};
	bool ok = false;

	if (place.value)
		ok = field->read(&place, (char *)object + field->offset, err);
	else
		gh_error_set(err, GH_E_MISSING_KEY, "%s: [%s] %s is missing",
			     ini->source, group, field->key);
	g_free(value);
	return ok;
}

/*
 * Checks that the number is within the field's range and stores it in the width
 * of the member.
 */
static bool store_number(const gh_ini_place_t *place, int64_t number, void *out,
			 GError **err)
{
	const gh_ini_field_t *field = place->field;
	bool milli = field->read == gh_ini_milli;
	char expected[64];

	if (number < field->min || number > field->max) {
		g_snprintf(expected, sizeof(expected),
			   "%" PRId64 " to %" PRId64 "%s", field->min,
			   field->max, milli ? " thousandths" : "");
		return gh_ini_bad_value(place, err, expected);
	}
	if (field->size == sizeof(uint16_t))
		*(uint16_t *)out = (uint16_t)number;
	else if (field->size == sizeof(uint32_t))
		*(uint32_t *)out = (uint32_t)number;
	else
		*(int64_t *)out = number;
	return true;
}
