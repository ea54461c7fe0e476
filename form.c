#include "form.h"

#include <string.h>

#include "core_ini.h"

static const form_concern_t concerns[] = {
	{ .name = "departments",
	  .title = "Departments",
	  .help = "Who shares the pool: weights, guarantees, limits, quotas.",
	  .kinds = { "department" } },
	{ .name = "services",
	  .title = "Services",
	  .help = "Which requests a department serves and how urgent they are.",
	  .kinds = { "service" } },
	{ .name = "policy",
	  .title = "Policy",
	  .help = "Times and bounds that hold for the whole system.",
	  .kinds = { FORM_POLICY } },
	{ .name = "executors",
	  .title = "Executors",
	  .help = "Endpoints that run requests.",
	  .kinds = { "executor" } },
	{ .name = "workers",
	  .title = "Workers",
	  .help = "Hosts that run tasks.",
	  .kinds = { "worker" } },
	{ .name = "hosts",
	  .title = "Domains and entry hosts",
	  .help = "Failure domains and the daemons in each. Mark a host gone "
		  "only after it has really stopped.",
	  .kinds = { "domain", "entry" } },
};

/* Help texts for keys; an entry without a kind applies to every kind. */
static const struct {
	const char *kind;
	const char *key;
	const char *help;
} key_helps[] = {
	{ "department", "weight",
	  "share of left-over capacity relative to the other departments" },
	{ "department", "guarantee_percent",
	  "percent of the pool guaranteed to it; all sum to at most 100" },
	{ "department", "limit_percent",
	  "maximum percent of the pool, borrowed capacity included" },
	{ "department", "jobs_max",
	  "maximum number of its unfinished jobs in one shard" },
	{ "service", "department", "department that it belongs to" },
	{ "service", "class", "how urgent its requests are" },
	{ "service", "expected_ms", "declared run time of a request" },
	{ "domain", "region", "region that the domain is in" },
	{ "entry", "address", "IPv4 address" },
	{ NULL, "domain", "its failure domain" },
	{ NULL, "address", "IPv4 address and port, such as 192.0.2.1:9000" },
	{ "entry", "front_port", "TCP port for callers" },
	{ "entry", "console_port",
	  "TCP port for operators and other entry hosts" },
	{ "entry", "peer_port", "UDP port for other entry hosts" },
	{ "executor", "slots",
	  "maximum number of requests that it runs at once" },
	{ "executor", "connections",
	  "maximum number of connections from all entry hosts together" },
	{ "executor", "services",
	  "services that it runs, separated by semicolons; empty for all" },
	{ "worker", "rack", "rack that the host is in" },
	{ "worker", "shard", "index of its shard within the failure domain" },
	{ "worker", "cores",
	  "number of processor cores, up to three decimals" },
	{ "worker", "memory_mb", "memory in megabytes" },
	{ "worker", "accelerators", "number of accelerators" },
	{ NULL, "state",
	  "leaving: gets no new work; gone: set only after it has stopped" },
};

static GKeyFile *parse_text(const char *text);
static char *format_text(GKeyFile *file);
static char *normalize_value(const char *value);
static void rebase_group(GKeyFile *files[3], const char *group,
			 GString *conflicts);
static void rebase_key(GKeyFile *files[3], const char *group, const char *key,
		       GString *conflicts);

/* Indices into the array of key files that rebase_group() takes. */
enum { BASE, MINE, THEIRS };

const form_concern_t *form_concerns(size_t *n)
{
	*n = G_N_ELEMENTS(concerns);
	return concerns;
}

const form_concern_t *form_concern_by_name(const char *name)
{
	size_t i;

	for (i = 0; name && i < G_N_ELEMENTS(concerns); i++)
		if (!strcmp(concerns[i].name, name))
			return &concerns[i];
	return NULL;
}

const form_concern_t *form_concern_by_kind(const char *kind)
{
	size_t i;
	size_t j;

	for (i = 0; kind && i < G_N_ELEMENTS(concerns); i++)
		for (j = 0; concerns[i].kinds[j]; j++)
			if (!strcmp(concerns[i].kinds[j], kind))
				return &concerns[i];
	return NULL;
}

const char *form_key_help(const char *kind, const char *key)
{
	size_t i;

	for (i = 0; i < G_N_ELEMENTS(key_helps); i++)
		if (!strcmp(key_helps[i].key, key) &&
		    (!key_helps[i].kind || !strcmp(key_helps[i].kind, kind)))
			return key_helps[i].help;
	return "";
}

char *form_group_name(const char *kind, const char *name)
{
	if (!form_concern_by_kind(kind))
		return NULL;
	if (!strcmp(kind, FORM_POLICY))
		return g_strdup(kind);
	if (!name || !gh_ini_is_name(name))
		return NULL;
	return g_strdup_printf("%s %s", kind, name);
}

char **form_object_names(const char *text, const char *kind)
{
	g_autofree char *prefix = g_strdup_printf("%s ", kind);
	GKeyFile *file = parse_text(text);
	GPtrArray *names = g_ptr_array_new();
	char **groups = g_key_file_get_groups(file, NULL);
	size_t i;

	for (i = 0; groups[i]; i++)
		if (g_str_has_prefix(groups[i], prefix))
			g_ptr_array_add(names,
					g_strdup(groups[i] + strlen(prefix)));
	g_ptr_array_add(names, NULL);
	g_strfreev(groups);
	g_key_file_free(file);
	return (char **)g_ptr_array_free(names, FALSE);
}

char *form_key_value(const char *text, const char *group, const char *key)
{
	GKeyFile *file = parse_text(text);
	char *value = g_key_file_get_value(file, group, key, NULL);

	g_key_file_free(file);
	return value;
}

char *form_set_fields(const char *text, const char *group,
		      const form_field_t *fields, size_t n)
{
	GKeyFile *file = parse_text(text);
	size_t i;

	for (i = 0; i < n; i++) {
		char *value = normalize_value(fields[i].value);

		if (*value)
			g_key_file_set_value(file, group, fields[i].key, value);
		else
			g_key_file_remove_key(file, group, fields[i].key, NULL);
		g_free(value);
	}
	return format_text(file);
}

char *form_remove_group(const char *text, const char *group)
{
	GKeyFile *file = parse_text(text);

	g_key_file_remove_group(file, group, NULL);
	return format_text(file);
}

char *form_rebase(const char *base, const char *mine, const char *theirs,
		  char **conflicts)
{
	GKeyFile *files[] = { parse_text(base), parse_text(mine),
			      parse_text(theirs) };
	char **old_groups = g_key_file_get_groups(files[BASE], NULL);
	char **new_groups = g_key_file_get_groups(files[MINE], NULL);
	GString *lines = g_string_new(NULL);
	size_t i;

	for (i = 0; old_groups[i]; i++)
		rebase_group(files, old_groups[i], lines);
	for (i = 0; new_groups[i]; i++)
		if (!g_key_file_has_group(files[BASE], new_groups[i]))
			rebase_group(files, new_groups[i], lines);
	g_strfreev(old_groups);
	g_strfreev(new_groups);
	g_key_file_free(files[BASE]);
	g_key_file_free(files[MINE]);
	*conflicts = g_string_free(lines, FALSE);
	return format_text(files[THEIRS]);
}

/* Parses a text; a syntax error drops the rest of the text from there on. */
static GKeyFile *parse_text(const char *text)
{
	GKeyFile *file = g_key_file_new();

	if (*text)
		g_key_file_load_from_data(file, text, strlen(text),
					  G_KEY_FILE_KEEP_COMMENTS, NULL);
	return file;
}

/* Formats a key file as text and frees the file. */
static char *format_text(GKeyFile *file)
{
	char *text = g_key_file_to_data(file, NULL, NULL);

	g_key_file_free(file);
	return text;
}

/*
 * A copy of a value as one line without blanks around it, so that a value
 * with line breaks can't add keys or groups.
 */
static char *normalize_value(const char *value)
{
	char *clean = g_strdup(value ? value : "");
	char *p;

	for (p = clean; *p; p++)
		if ((unsigned char)*p < ' ')
			*p = ' ';
	return g_strstrip(clean);
}

/*
 * Applies to the key file THEIRS the changes of one group between the key files
 * BASE and MINE.  A group that MINE removes is removed whatever THEIRS changed
 * in it.
 */
static void rebase_group(GKeyFile *files[3], const char *group,
			 GString *conflicts)
{
	GKeyFile *sources[] = { files[BASE], files[MINE] };
	size_t source;
	size_t i;

	if (!g_key_file_has_group(files[MINE], group)) {
		g_key_file_remove_group(files[THEIRS], group, NULL);
		return;
	}
	for (source = 0; source < G_N_ELEMENTS(sources); source++) {
		char **keys =
			g_key_file_get_keys(sources[source], group, NULL, NULL);

		for (i = 0; keys && keys[i]; i++)
			rebase_key(files, group, keys[i], conflicts);
		g_strfreev(keys);
	}
}

/*
 * Applies to THEIRS the change of one key between BASE and MINE.  When both
 * sides changed the key to different values, MINE wins and the value of THEIRS
 * is added to conflicts.
 */
static void rebase_key(GKeyFile *files[3], const char *group, const char *key,
		       GString *conflicts)
{
	char *base = g_key_file_get_value(files[BASE], group, key, NULL);
	char *mine = g_key_file_get_value(files[MINE], group, key, NULL);
	char *theirs = g_key_file_get_value(files[THEIRS], group, key, NULL);

	if (g_strcmp0(base, mine) != 0 && g_strcmp0(mine, theirs) != 0) {
		if (g_strcmp0(base, theirs) != 0)
			g_string_append_printf(conflicts, "[%s] %s=%s\n", group,
					       key, theirs ? theirs : "");
		if (mine)
			g_key_file_set_value(files[THEIRS], group, key, mine);
		else
			g_key_file_remove_key(files[THEIRS], group, key, NULL);
	}
	g_free(base);
	g_free(mine);
	g_free(theirs);
}
