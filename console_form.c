/*
 * Pages that list the groups of one concern, such as workers, and edit the
 * keys of one group.  Edits go to the session's draft of the document; they
 * take effect when the draft is accepted.
 */
#include <inttypes.h>
#include <string.h>

#include "console_html.h"
#include "console_page.h"
#include "form.h"

#define KEY_COUNT_MAX 64

static void add_kind(GString *out, const char *kind, const char *text);
static void add_field(GString *out, const char *kind, const char *name,
		      const char *text, const gh_document_key_t *key);
static void add_choices(GString *out, const gh_document_key_t *key,
			const char *value);
static void add_reference_choices(GString *out, const gh_document_key_t *key,
				  const char *value, const char *text);
static void add_option(GString *out, const char *name, const char *value);
static void add_value_range(GString *out, const gh_document_key_t *key);

int console_form_list(console_page_t *page)
{
	const char *name = console_page_parameter(page, "concern");
	const form_concern_t *concern = form_concern_by_name(name);
	const char *text;
	GError *err = NULL;
	GString *out;
	size_t i;

	if (!concern) {
		gh_error_set(&err, GH_E_NOT_FOUND, "no form \"%s\"", name);
		return console_page_refuse(page, "Not found", err);
	}
	text = console_page_document_text(page);
	out = console_page_begin(page, concern->title);
	html_add(out, "<p>%s</p>", concern->help);
	for (i = 0; concern->kinds[i]; i++)
		add_kind(out, concern->kinds[i], text);
	if (page->draft)
		html_add(out, "<p class=\"done\">You have changes that are not "
			      "accepted yet. <a href=\"/preview\">Preview "
			      "them</a>.</p>");
	return html_page_respond(page->resp, 200, out);
}

int console_form_edit(console_page_t *page)
{
	const char *kind = console_page_parameter(page, "word");
	const char *name = console_page_parameter(page, "name");
	g_autofree char *group = form_group_name(kind, name);
	gh_document_key_t keys[KEY_COUNT_MAX];
	const char *text;
	GError *err = NULL;
	GString *out;
	size_t n;
	size_t i;

	if (!group) {
		gh_error_set(&err, GH_E_BAD_VALUE,
			     "%s \"%s\": expected a name of 1 to %d characters "
			     "of a-z 0-9 . -",
			     kind, name, GH_NAME_MAX);
		return console_page_refuse(page, "Invalid name", err);
	}
	n = gh_document_keys(kind, keys, KEY_COUNT_MAX);
	text = console_page_document_text(page);
	out = console_page_begin(page, group);
	html_add(out, "<form method=\"post\" action=\"/edit\">");
	console_page_add_csrf_field(page, out);
	html_add(out,
		 "<input type=\"hidden\" name=\"word\" value=\"%s\">"
		 "<input type=\"hidden\" name=\"name\" value=\"%s\">",
		 kind, name);
	for (i = 0; i < n; i++)
		add_field(out, kind, name, text, &keys[i]);
	html_add(out, "<button name=\"action\" value=\"save\">Keep in draft"
		      "</button>");
	if (strcmp(kind, FORM_POLICY) != 0)
		html_add(out, "<button name=\"action\" value=\"remove\" "
			      "formnovalidate>Remove "
			      "from draft</button>");
	html_add(out, "</form>");
	return html_page_respond(page->resp, 200, out);
}

int console_form_save(console_page_t *page)
{
	const char *kind = console_page_parameter(page, "word");
	g_autofree char *group =
		form_group_name(kind, console_page_parameter(page, "name"));
	gh_document_key_t keys[KEY_COUNT_MAX];
	form_field_t fields[KEY_COUNT_MAX];
	GError *err = NULL;
	char *text;
	size_t n;
	size_t i;

	if (!group)
		return console_form_edit(page);
	console_page_open_draft(page);
	if (!strcmp(console_page_parameter(page, "action"), "remove")) {
		text = form_remove_group(page->draft, group);
	} else {
		n = gh_document_keys(kind, keys, KEY_COUNT_MAX);
		for (i = 0; i < n; i++)
			fields[i] = (form_field_t){
				.key = keys[i].key,
				.value = console_page_parameter(page,
								keys[i].key),
			};
		text = form_set_fields(page->draft, group, fields, n);
	}
	if (strlen(text) > GH_DOCUMENT_MAX) {
		g_free(text);
		gh_error_set(&err, GH_E_TOO_LARGE,
			     "the document would be longer than %d bytes",
			     GH_DOCUMENT_MAX);
		return console_page_refuse(page, "Draft not changed", err);
	}
	g_free(page->draft);
	page->draft = text;
	page->draft_changed = true;
	return html_respond_redirect(page->resp, "/preview");
}

/* Lists the groups of one kind in a text, with a form to add a group. */
static void add_kind(GString *out, const char *kind, const char *text)
{
	char **names;
	size_t i;

	if (!strcmp(kind, FORM_POLICY)) {
		html_add(out, "<p><a href=\"/edit?word=policy\">Edit the policy"
			      "</a></p>");
		return;
	}
	names = form_object_names(text, kind);
	html_add(out, "<h2>%s</h2><ul class=\"names\">", kind);
	for (i = 0; names[i]; i++)
		html_add(out,
			 "<li><a href=\"/edit?word=%s&amp;name=%s\">%s</a>"
			 "</li>",
			 kind, names[i], names[i]);
	html_add(out,
		 "</ul>%s<form method=\"get\" action=\"/edit\">"
		 "<input type=\"hidden\" name=\"word\" value=\"%s\">"
		 "<label>New %s<input name=\"name\" required "
		 "pattern=\"[a-z0-9.\\-]+\" maxlength=\"%d\"></label>"
		 "<button>Add</button></form>",
		 names[0] ? "" : "none yet", kind, kind, GH_NAME_MAX);
	g_strfreev(names);
}

static void add_field(GString *out, const char *kind, const char *name,
		      const char *text, const gh_document_key_t *key)
{
	g_autofree char *group = form_group_name(kind, name);
	g_autofree char *value = form_key_value(text, group, key->key);
	bool required = !key->fallback;

	html_add(out, "<label>%s<small>%s", key->key,
		 key->help ? key->help : form_key_help(kind, key->key));
	add_value_range(out, key);
	html_add(out, "</small>");
	if (key->choices)
		add_choices(out, key, value);
	else if (key->reference)
		add_reference_choices(out, key, value, text);
	else
		html_add(out, "<input name=\"%s\" value=\"%s\"%s>", key->key,
			 value ? value : "", required ? " required" : "");
	html_add(out, "</label>");
}

static void add_choices(GString *out, const gh_document_key_t *key,
			const char *value)
{
	size_t i;

	html_add(out, "<select name=\"%s\">", key->key);
	if (key->fallback)
		html_add(out, "<option value=\"\">default</option>");
	for (i = 0; key->choices[i]; i++)
		add_option(out, key->choices[i], value);
	html_add(out, "</select>");
}

/*
 * Offers the groups of the draft that a key may refer to, and its present
 * value even if the draft has no such group.
 */
static void add_reference_choices(GString *out, const gh_document_key_t *key,
				  const char *value, const char *text)
{
	char **names = form_object_names(text, key->reference);
	size_t i;

	html_add(out, "<select name=\"%s\">", key->key);
	if (value && !g_strv_contains((const char *const *)names, value))
		add_option(out, value, value);
	for (i = 0; names[i]; i++)
		add_option(out, names[i], value);
	html_add(out, "</select>");
	g_strfreev(names);
}

/* Adds an option to a choice, selected if it is the key's value. */
static void add_option(GString *out, const char *name, const char *value)
{
	bool selected = value && !strcmp(name, value);

	html_add(out, "<option value=\"%s\"%s>%s</option>", name,
		 selected ? " selected" : "", name);
}

/* Adds a key's bounds and default to its help text. */
static void add_value_range(GString *out, const gh_document_key_t *key)
{
	if (key->max > key->min)
		html_add(out, "; %" PRId64 " to %" PRId64, key->min, key->max);
	if (key->fallback && *key->fallback)
		html_add(out, "; default %s", key->fallback);
}
