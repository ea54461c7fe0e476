#include "settings.h"

#include <string.h>

#include "core_document_change.h"
#include "core_ini.h"
#include "error.h"

#define HEX_DIGITS_PER_BYTE 2
#define PREFIX_DEFAULT "geraniumhoist"

static bool read_url(const gh_ini_place_t *place, void *out, GError **err);
static bool read_prefix(const gh_ini_place_t *place, void *out, GError **err);
static bool read_key(const gh_ini_place_t *place, void *out, GError **err);
static bool read_hex(const gh_ini_place_t *place, void *out, GError **err);
static bool read_seeds(const gh_ini_place_t *place, void *out, GError **err);

/*
 * Entries of a field table: FIELD for a field with its reader, NUMBER for a
 * number within bounds.
 */
#define FIELD(name, member, reader, default_text) \
	GH_INI_FIELD(settings_t, name, member, reader, default_text)
#define NUMBER(name, member, min, max, default_text) \
	GH_INI_NUMBER(settings_t, name, member, min, max, default_text)

static const gh_ini_field_t host_fields[] = {
	FIELD("name", name, gh_ini_name, NULL),
	FIELD("domain", domain, gh_ini_name, NULL),
	FIELD("address", address, gh_ini_address, NULL),
	NUMBER("front_port", front_port, 1, UINT16_MAX, NULL),
	NUMBER("console_port", console_port, 1, UINT16_MAX, NULL),
	NUMBER("peer_port", peer_port, 1, UINT16_MAX, NULL),
	NUMBER("front_connections", front_connections, 1, 100000, "1024"),
	NUMBER("front_body_mb", front_body_mb, 2, 65536, "64"),
	{ .key = "log_level",
	  .read = gh_ini_choice,
	  GH_INI_MEMBER(settings_t, log_level),
	  .fallback = "info",
	  .aux = log_level_names },
	FIELD("trace_file", trace_file, gh_ini_text, ""),
};

static const gh_ini_field_t store_fields[] = {
	FIELD("url", store_url, read_url, NULL),
	NUMBER("timeout_ms", store_timeout_ms, 10, 60000, "1000"),
	NUMBER("calls_per_s", store_calls_per_s, 1, 100000, "100"),
	FIELD("prefix", prefix, read_prefix, PREFIX_DEFAULT),
};

static const gh_ini_field_t peers_fields[] = {
	FIELD("key", peer_key, read_key, NULL),
	FIELD("seeds", seeds, read_seeds, ""),
};

static const gh_ini_field_t operator_fields[] = {
	{ .key = "salt",
	  .read = read_hex,
	  GH_INI_MEMBER(settings_operator_t, salt),
	  .min = 16,
	  .max = 64 },
	{ .key = "digest",
	  .read = read_hex,
	  GH_INI_MEMBER(settings_operator_t, digest),
	  .min = 64,
	  .max = 64 },
};

typedef struct group_info {
	const char *name;
	const gh_ini_field_t *fields;
	size_t n_fields;
} group_info_t;

#define GROUP(name_, fields_)                             \
	{                                                 \
		(name_), (fields_), G_N_ELEMENTS(fields_) \
	}

static const group_info_t groups[] = {
	GROUP("host", host_fields),
	GROUP("store", store_fields),
	GROUP("peers", peers_fields),
};

static bool read_settings(settings_t *settings, const gh_ini_t *ini,
			  const char *path, GError **err);
static bool check_group(const char *group, const char *path, GError **err);
static bool read_operator(settings_t *settings, const gh_ini_t *ini,
			  const char *group, GError **err);
static bool check_ports(const settings_t *settings, const char *path,
			GError **err);
static const char *operator_name(const char *group);
static bool is_hex(const char *text);

gh_ini_t *settings_read_ini(const char *path, GError **err)
{
	GError *cause = NULL;
	char *text;
	gsize len;
	gh_ini_t *ini;

	if (!g_file_get_contents(path, &text, &len, &cause)) {
		gh_error_set(err, GH_E_FILE_MISSING, "%s", cause->message);
		g_error_free(cause);
		return NULL;
	}
	ini = gh_ini_parse(text, len, path, err);
	g_free(text);
	return ini;
}

settings_t *settings_load(const char *path, GError **err)
{
	gh_ini_t *ini = settings_read_ini(path, err);
	settings_t *settings;
	bool ok;

	if (!ini)
		return NULL;
	settings = g_new0(settings_t, 1);
	ok = read_settings(settings, ini, path, err) &&
	     check_ports(settings, path, err);
	gh_ini_free(ini);
	if (ok)
		return settings;
	settings_free(settings);
	return NULL;
}

void settings_free(settings_t *settings)
{
	if (!settings)
		return;
	g_strfreev(settings->seeds);
	g_free(settings->operators);
	g_free(settings);
}

const settings_operator_t *settings_operator(const settings_t *settings,
					     const char *name)
{
	size_t i;

	for (i = 0; i < settings->n_operators; i++)
		if (!strcmp(settings->operators[i].name, name))
			return &settings->operators[i];
	return NULL;
}

static bool read_settings(settings_t *settings, const gh_ini_t *ini,
			  const char *path, GError **err)
{
	size_t n;
	char **names = gh_ini_groups(ini, &n);
	bool ok = true;
	size_t i;

	settings->operators = g_new0(settings_operator_t, n + 1);
	for (i = 0; ok && i < n; i++)
		ok = check_group(names[i], path, err);
	for (i = 0; ok && i < G_N_ELEMENTS(groups); i++)
		ok = gh_ini_read(ini, groups[i].name, groups[i].fields,
				 groups[i].n_fields, NULL, settings, err);
	for (i = 0; ok && i < n; i++)
		if (operator_name(names[i]))
			ok = read_operator(settings, ini, names[i], err);
	g_strfreev(names);
	return ok;
}

static bool check_group(const char *group, const char *path, GError **err)
{
	const char *name = operator_name(group);
	size_t i;

	if (name && gh_ini_is_name(name))
		return true;
	for (i = 0; i < G_N_ELEMENTS(groups); i++)
		if (!strcmp(groups[i].name, group))
			return true;
	gh_error_set(err, GH_E_UNKNOWN_GROUP, "%s: [%s]: unknown group", path,
		     group);
	return false;
}

static bool read_operator(settings_t *settings, const gh_ini_t *ini,
			  const char *group, GError **err)
{
	settings_operator_t *op = &settings->operators[settings->n_operators++];

	g_strlcpy(op->name, operator_name(group), sizeof(op->name));
	return gh_ini_read(ini, group, operator_fields,
			   G_N_ELEMENTS(operator_fields), NULL, op, err);
}

static bool check_ports(const settings_t *settings, const char *path,
			GError **err)
{
	if (settings->front_port != settings->console_port)
		return true;
	gh_error_set(err, GH_E_BAD_VALUE,
		     "%s: [host] console_port=%u: expected another port than "
		     "front_port",
		     path, settings->console_port);
	return false;
}

/* Name in a group "operator NAME", or NULL for any other group. */
static const char *operator_name(const char *group)
{
	return gh_document_group_name(group, "operator");
}

/* Reads "http://a.b.c.d:port"; a path is refused. */
static bool read_url(const gh_ini_place_t *place, void *out, GError **err)
{
	static const char scheme[] = "http://";
	gh_ini_place_t address = *place;

	if (strncmp(place->value, scheme, strlen(scheme)) != 0)
		return gh_ini_bad_value(place, err, "http://a.b.c.d:port");
	address.value += strlen(scheme);
	if (!gh_ini_address_port(&address, out, err))
		return false;
	g_strlcpy(out, place->value, place->field->size);
	return true;
}

static bool read_prefix(const gh_ini_place_t *place, void *out, GError **err)
{
	if (!gh_ini_is_name(place->value))
		return gh_ini_bad_value(place, err,
					"1 to 47 characters of a-z 0-9 . -");
	return gh_ini_text(place, out, err);
}

/*
 * Decodes a hexadecimal key of as many bytes as the member of settings_t has.
 */
static bool read_key(const gh_ini_place_t *place, void *out, GError **err)
{
	uint8_t *key = out;
	size_t len = place->field->size;
	size_t i;

	if (strlen(place->value) != HEX_DIGITS_PER_BYTE * len ||
	    !is_hex(place->value)) {
		gh_ini_place_t redacted = *place;

		redacted.value = "..."; /* keep the key out of the message */
		return gh_ini_bad_value(&redacted, err,
					"64 hexadecimal digits");
	}
	for (i = 0; i < len; i++) {
		const char *digits = place->value + HEX_DIGITS_PER_BYTE * i;

		key[i] = (uint8_t)(g_ascii_xdigit_value(digits[0]) << 4 |
				   g_ascii_xdigit_value(digits[1]));
	}
	return true;
}

/*
 * Stores hexadecimal text in lower case.  The field's min and max bound the
 * length of the text.
 */
static bool read_hex(const gh_ini_place_t *place, void *out, GError **err)
{
	size_t len = strlen(place->value);
	char *lower;

	if (!is_hex(place->value) || len < (size_t)place->field->min ||
	    len > (size_t)place->field->max)
		return gh_ini_bad_value(place, err,
					place->field->min == place->field->max ?
						"64 hexadecimal digits" :
						"16 to 64 hexadecimal digits");
	lower = g_ascii_strdown(place->value, -1);
	g_strlcpy(out, lower, place->field->size);
	g_free(lower);
	return true;
}

/*
 * Reads the seed addresses, separated by ";"; a trailing separator is allowed.
 * Sets n_seeds as well as seeds, and therefore computes the address of the
 * settings from out, the address of a member.
 */
static bool read_seeds(const gh_ini_place_t *place, void *out, GError **err)
{
	settings_t *settings =
		(settings_t *)((char *)out - place->field->offset);
	char **seeds = g_strsplit(place->value, ";", -1);
	gh_ini_field_t field = *place->field;
	char address[GH_ADDRESS_MAX + 1];
	bool ok = true;
	size_t i;

	field.size = sizeof(address);
	for (i = 0; ok && seeds[i]; i++) {
		gh_ini_place_t element = *place;

		element.field = &field;
		element.value = g_strstrip(seeds[i]);
		if (!*element.value && !seeds[i + 1])
			break;
		ok = gh_ini_address_port(&element, address, err);
	}
	settings->seeds = seeds;
	settings->n_seeds = i;
	return ok;
}

static bool is_hex(const char *text)
{
	return strspn(text, "0123456789abcdefABCDEF") == strlen(text);
}
