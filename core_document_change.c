#include "core_document_change.h"

#include <string.h>

#include "core_document.h"
#include "core_ini.h"

/*
 * A key of a document that was added, removed or given another value.  If key
 * is NULL, the group itself was added or removed.
 */
typedef struct change {
	const char *group;
	const char *key;
	const char *before; /* old value; NULL: not in the old text */
	const char *after;  /* new value; NULL: not in the new text */
} change_t;

/* The document in force and its proposed replacement. */
typedef struct document_pair {
	/* the document in force; NULL: empty document */
	const gh_document_t *old;
	const gh_document_t *new;
} document_pair_t;

/* Returns whether an operator may make a change to the group called name. */
typedef bool (*permission_t)(const document_pair_t *documents,
			     const change_t *change, const char *name,
			     const char *operator_name);

/* Rule on who may change the document's groups "<keyword> <name>". */
typedef struct group_permission {
	const char *keyword;
	permission_t may_change;
} group_permission_t;

typedef void (*change_visitor_t)(void *ctx, const change_t *change);

/* Context of check_change(); only the first refusal sets *err. */
typedef struct permission_check {
	const document_pair_t *documents;
	const char *operator_name;
	GError **err;
	bool refused;
} permission_check_t;

static bool may_change_department(const document_pair_t *documents,
				  const change_t *change, const char *name,
				  const char *operator_name);
static bool may_change_service(const document_pair_t *documents,
			       const change_t *change, const char *name,
			       const char *operator_name);

/*
 * Rules on who may change a group, by its keyword.  Groups with other keywords
 * may be changed by the platform's operator only.
 */
static const group_permission_t permissions[] = {
	{ "department", may_change_department },
	{ "service", may_change_service },
};

/* Keys of a [department] group that the department's operator may set. */
static const char *const department_keys[] = { "jobs_max" };

static void check_change(void *ctx, const change_t *change);
static bool may_change(const permission_check_t *check, const change_t *change);
static void print_change(void *ctx, const change_t *change);
static const char *service_owner(const gh_document_t *doc, const char *name);
static void visit_changes(const char *old_text, const char *new_text,
			  change_visitor_t visit, void *ctx);
static void visit_group(GKeyFile *old, GKeyFile *new, const char *group,
			change_visitor_t visit, void *ctx);
static GKeyFile *load_key_file(const char *text);

const char *gh_document_group_name(const char *group, const char *keyword)
{
	size_t len = strlen(keyword);

	if (strncmp(group, keyword, len) != 0 || group[len] != ' ')
		return NULL;
	return group + len + 1;
}

bool gh_document_may_replace(const gh_document_t *old, const gh_document_t *new,
			     const char *operator_name, GError **err)
{
	document_pair_t documents = { .old = old, .new = new };
	permission_check_t check = {
		.documents = &documents,
		.operator_name = operator_name,
		.err = err,
	};

	visit_changes(old ? old->text : "", new->text, check_change, &check);
	return !check.refused;
}

char *gh_document_diff(const char *old_text, const char *new_text)
{
	GString *out = g_string_new(NULL);

	visit_changes(old_text, new_text, print_change, out);
	return g_string_free(out, FALSE);
}

static void check_change(void *ctx, const change_t *change)
{
	permission_check_t *check = ctx;

	if (check->refused || may_change(check, change))
		return;
	check->refused = true;
	gh_error_set(check->err, GH_E_FOREIGN_SECTION,
		     "[%s] %s may not be changed by operator %s", change->group,
		     change->key ? change->key : "", check->operator_name);
}

static bool may_change(const permission_check_t *check, const change_t *change)
{
	size_t i;

	for (i = 0; i < G_N_ELEMENTS(permissions); i++) {
		const char *name = gh_document_group_name(
			change->group, permissions[i].keyword);

		if (name)
			return permissions[i].may_change(check->documents,
							 change, name,
							 check->operator_name);
	}
	return !strcmp(check->operator_name, GH_DOCUMENT_PLATFORM);
}

/*
 * If the department exists before and after the change, its operator may set
 * the keys in department_keys.  All other changes, adding and removing the
 * department included, may be made by the platform's operator only.
 */
static bool may_change_department(const document_pair_t *documents,
				  const change_t *change, const char *name,
				  const char *operator_name)
{
	bool kept =
		documents->old &&
		gh_document_department(documents->old, name) !=
			GH_HANDLE_NONE &&
		gh_document_department(documents->new, name) != GH_HANDLE_NONE;
	size_t i;

	for (i = 0; kept && change->key && i < G_N_ELEMENTS(department_keys);
	     i++)
		if (!strcmp(department_keys[i], change->key))
			return !strcmp(operator_name, name);
	return !strcmp(operator_name, GH_DOCUMENT_PLATFORM);
}

/*
 * A department's operator may change a service if the department owns it both
 * before and after the change.  The platform's operator may only add a service,
 * and only together with its department.
 */
static bool may_change_service(const document_pair_t *documents,
			       const change_t *change, const char *name,
			       const char *operator_name)
{
	const char *before = service_owner(documents->old, name);
	const char *after = service_owner(documents->new, name);
	bool platform = !strcmp(operator_name, GH_DOCUMENT_PLATFORM);

	(void)change;
	if (platform && !before && after)
		return !documents->old ||
		       gh_document_department(documents->old, after) ==
			       GH_HANDLE_NONE;
	return (!before || !strcmp(before, operator_name)) &&
	       (!after || !strcmp(after, operator_name));
}

/* Name of the department that owns the named service; NULL if unknown. */
static const char *service_owner(const gh_document_t *doc, const char *name)
{
	gh_handle_t service =
		doc ? gh_document_service(doc, name) : GH_HANDLE_NONE;

	if (service == GH_HANDLE_NONE)
		return NULL;
	return doc->departments[doc->services[service].department].name;
}

static void print_change(void *ctx, const change_t *change)
{
	GString *out = ctx;

	if (!change->key)
		g_string_append_printf(out, "%c [%s]\n",
				       change->after ? '+' : '-',
				       change->group);
	else if (!change->before)
		g_string_append_printf(out, "+ [%s] %s=%s\n", change->group,
				       change->key, change->after);
	else if (!change->after)
		g_string_append_printf(out, "- [%s] %s=%s\n", change->group,
				       change->key, change->before);
	else
		g_string_append_printf(out, "~ [%s] %s=%s -> %s\n",
				       change->group, change->key,
				       change->before, change->after);
}

/*
 * Visits the changes in the groups of the old text, then the groups that only
 * the new text has.
 */
static void visit_changes(const char *old_text, const char *new_text,
			  change_visitor_t visit, void *ctx)
{
	GKeyFile *old = load_key_file(old_text);
	GKeyFile *new = load_key_file(new_text);
	char **old_groups = g_key_file_get_groups(old, NULL);
	char **new_groups = g_key_file_get_groups(new, NULL);
	size_t i;

	for (i = 0; old_groups[i]; i++)
		visit_group(old, new, old_groups[i], visit, ctx);
	for (i = 0; new_groups[i]; i++)
		if (!g_key_file_has_group(old, new_groups[i]))
			visit_group(old, new, new_groups[i], visit, ctx);
	g_strfreev(old_groups);
	g_strfreev(new_groups);
	g_key_file_free(old);
	g_key_file_free(new);
}

/*
 * Visits the group if it was added or removed, then each key whose value
 * differs between the two texts.
 */
static void visit_group(GKeyFile *old, GKeyFile *new, const char *group,
			change_visitor_t visit, void *ctx)
{
	GKeyFile *files[] = { old, new };
	bool present[] = { g_key_file_has_group(old, group),
			   g_key_file_has_group(new, group) };
	size_t pass;
	size_t i;

	if (present[0] != present[1]) {
		change_t change = { .group = group,
				    .before = present[0] ? "" : NULL,
				    .after = present[1] ? "" : NULL };

		visit(ctx, &change);
	}
	for (pass = 0; pass < G_N_ELEMENTS(files); pass++) {
		char **keys =
			g_key_file_get_keys(files[pass], group, NULL, NULL);

		for (i = 0; keys && keys[i]; i++) {
			char *before =
				g_key_file_get_value(old, group, keys[i], NULL);
			char *after =
				g_key_file_get_value(new, group, keys[i], NULL);
			change_t change = { group, keys[i], before, after };

			/*
			 * Pass 1, over the keys of the new text, visits only
			 * keys that the old text lacks.
			 */
			if (g_strcmp0(before, after) != 0 &&
			    (pass == 0 || !before))
				visit(ctx, &change);
			g_free(before);
			g_free(after);
		}
		g_strfreev(keys);
	}
}

/*
 * Parses a document's text as a key file; returns an empty key file if the text
 * cannot be parsed.
 */
static GKeyFile *load_key_file(const char *text)
{
	GKeyFile *file = g_key_file_new();

	if (*text)
		g_key_file_load_from_data(file, text, strlen(text),
					  G_KEY_FILE_NONE, NULL);
	return file;
}
