#include "console_html.h"

#include <stdarg.h>
#include <stdbool.h>
#include <stdlib.h>
#include <string.h>

#include "form.h"

/* Arrays of objects with more keys are shown as lists. */
#define TABLE_COLUMNS_MAX 24

/* Levels of headings below the page title, which is an h1. */
#define HEADING_LEVEL_FIRST 2
#define HEADING_LEVEL_MAX 6

static const char stylesheet[] =
	":root{color-scheme:light dark}"
	"*{box-sizing:border-box}"
	"body{font:16px/1.45 system-ui,sans-serif;margin:0 auto;"
	"max-width:64rem;padding:0 1rem 3rem}"
	"nav{display:flex;flex-wrap:wrap;gap:.25rem 1rem;align-items:center;"
	"padding:.75rem 0;border-bottom:1px solid #8888}"
	"nav form{margin-left:auto}"
	"h1{font-size:1.5rem}h2{font-size:1.15rem;margin:1.5rem 0 .25rem}"
	"h3,h4,h5,h6{font-size:1rem;margin:1rem 0 .25rem}"
	"label{display:block;font-weight:600;margin-top:1rem}"
	"small{display:block;font-weight:400;opacity:.75}"
	"input,select{display:block;font:inherit;font-weight:400;width:100%;"
	"max-width:28rem;"
	"padding:.5rem}"
	"button{font:inherit;padding:.5rem 1rem;margin:1rem .5rem 0 0}"
	"nav button{margin:0;padding:.25rem .75rem}"
	".scroll{overflow-x:auto;max-width:100%}"
	"table{border-collapse:collapse;margin:.25rem 0}"
	"th,td{text-align:left;vertical-align:top;padding:.3rem .75rem .3rem 0;"
	"border-bottom:1px solid #8883}"
	"th,td:first-child{white-space:nowrap}th{font-weight:600}"
	"pre{white-space:pre-wrap;overflow-wrap:anywhere;padding:.75rem;border:"
	"1px solid #8886}"
	".add{color:#167a34}.del{color:#c22f2f}.mod{color:#9a6400}"
	".error{border-left:4px solid #c22f2f;padding:.5rem .75rem}"
	".done{border-left:4px solid #167a34;padding:.5rem .75rem}"
	"ul.names{columns:12rem;padding-left:1.2rem}"
	"li{padding:.15rem 0;overflow-wrap:anywhere}"
	"@media(prefers-color-scheme:dark){.add{color:#5fd488}"
	".del{color:#ff8a80}.mod{color:#ffc861}a{color:#8ab4ff}}";

static void add_navigation(GString *out, const char *operator_name,
			   const char *csrf);
static void add_value(GString *out, const json_t *json, int level);
static void add_object(GString *out, const json_t *json, int level);
static void add_array(GString *out, const json_t *array, int level);
static bool is_table(const json_t *json);
static void add_scalar(GString *out, const json_t *json);

GString *html_page_begin(const char *title, const char *operator_name,
			 const char *csrf)
{
	GString *out = g_string_sized_new(8192);

	html_add(out,
		 "<!DOCTYPE html><html lang=\"en\"><head>"
		 "<meta charset=\"utf-8\"><meta name=\"viewport\" "
		 "content=\"width=device-width, initial-scale=1\">"
		 "<title>%s - geraniumhoist</title>"
		 "<link rel=\"stylesheet\" href=\"/style.css\">"
		 "</head><body>",
		 title);
	add_navigation(out, operator_name, csrf);
	html_add(out, "<main><h1>%s</h1>", title);
	return out;
}

void html_add(GString *out, const char *fmt, ...)
{
	va_list ap;
	char *text;

	va_start(ap, fmt);
	text = g_markup_vprintf_escaped(fmt, ap);
	va_end(ap);
	g_string_append(out, text);
	g_free(text);
}

void html_add_json(GString *out, const json_t *json)
{
	add_value(out, json, HEADING_LEVEL_FIRST);
}

void html_add_diff(GString *out, const char *diff)
{
	char **lines = g_strsplit(diff, "\n", -1);
	size_t i;

	html_add(out, "<pre>");
	for (i = 0; lines[i] && *lines[i]; i++) {
		const char *css_class = "mod";

		if (*lines[i] == '+')
			css_class = "add";
		else if (*lines[i] == '-')
			css_class = "del";
		html_add(out, "<span class=\"%s\">%s</span>\n", css_class,
			 lines[i]);
	}
	html_add(out, "</pre>");
	g_strfreev(lines);
}

int html_page_respond(struct _u_response *resp, unsigned status, GString *out)
{
	html_add(out, "</main></body></html>\n");
	ulfius_set_binary_body_response(resp, status, out->str, out->len);
	u_map_put(resp->map_header, "Content-Type", "text/html; charset=utf-8");
	u_map_put(resp->map_header, "Cache-Control", "no-store");
	u_map_put(resp->map_header, "X-Content-Type-Options", "nosniff");
	u_map_put(resp->map_header, "Referrer-Policy", "same-origin");
	u_map_put(resp->map_header, "Content-Security-Policy",
		  "default-src 'none'; style-src 'self'; form-action 'self'; "
		  "frame-ancestors 'none'; base-uri 'none'");
	g_string_free(out, TRUE);
	return U_CALLBACK_COMPLETE;
}

int html_respond_style(struct _u_response *resp)
{
	ulfius_set_string_body_response(resp, 200, stylesheet);
	u_map_put(resp->map_header, "Content-Type", "text/css");
	return U_CALLBACK_COMPLETE;
}

int html_respond_redirect(struct _u_response *resp, const char *path)
{
	ulfius_set_string_body_response(resp, 303, "");
	u_map_put(resp->map_header, "Location", path);
	return U_CALLBACK_COMPLETE;
}

static void add_navigation(GString *out, const char *operator_name,
			   const char *csrf)
{
	const form_concern_t *concern;
	size_t n;
	size_t i;

	html_add(out, "<nav><a href=\"/\">Status</a>");
	if (!operator_name) {
		html_add(out, "<a href=\"/sign-in\">Sign in</a></nav>");
		return;
	}
	concern = form_concerns(&n);
	for (i = 0; i < n; i++)
		html_add(out, "<a href=\"/forms/%s\">%s</a>", concern[i].name,
			 concern[i].title);
	html_add(out,
		 "<a href=\"/preview\">Preview</a>"
		 "<form method=\"post\" action=\"/sign-out\">"
		 "<input type=\"hidden\" name=\"csrf\" value=\"%s\">"
		 "<button>Sign out %s</button></form></nav>",
		 csrf, operator_name);
}

static void add_value(GString *out, const json_t *json, int level)
{
	if (json_is_object(json))
		add_object(out, json, level);
	else if (json_is_array(json))
		add_array(out, json, level);
	else
		add_scalar(out, json);
}

/*
 * Adds a table of the scalar members, then each object and array under a
 * heading with its key.
 */
static void add_object(GString *out, const json_t *json, int level)
{
	const char *key;
	json_t *value;

	html_add(out, "<div class=\"scroll\"><table>");
	json_object_foreach((json_t *)json, key, value)
	{
		if (json_is_object(value) || json_is_array(value))
			continue;
		html_add(out, "<tr><th scope=\"row\">%s</th><td>", key);
		add_scalar(out, value);
		html_add(out, "</td></tr>");
	}
	html_add(out, "</table></div>");
	json_object_foreach((json_t *)json, key, value)
	{
		if (!json_is_object(value) && !json_is_array(value))
			continue;
		html_add(out, "<h%d>%s</h%d>", level, key, level);
		add_value(out, value, MIN(level + 1, HEADING_LEVEL_MAX));
	}
}

/* Adds an array of like objects as one table, any other array as a list. */
static void add_array(GString *out, const json_t *array, int level)
{
	const char *key;
	json_t *value;
	json_t *row;
	size_t i;

	if (!json_array_size(array)) {
		html_add(out, "<p>none</p>");
		return;
	}
	if (!is_table(array)) {
		html_add(out, "<ul>");
		json_array_foreach(array, i, row)
		{
			html_add(out, "<li>");
			add_value(out, row, level);
			html_add(out, "</li>");
		}
		html_add(out, "</ul>");
		return;
	}
	html_add(out, "<div class=\"scroll\"><table><tr>");
	json_object_foreach(json_array_get(array, 0), key, value)
		html_add(out, "<th scope=\"col\">%s</th>", key);
	html_add(out, "</tr>");
	json_array_foreach(array, i, row)
	{
		html_add(out, "<tr>");
		json_object_foreach(json_array_get(array, 0), key, value)
		{
			html_add(out, "<td>");
			add_value(out, json_object_get(row, key), level);
			html_add(out, "</td>");
		}
		html_add(out, "</tr>");
	}
	html_add(out, "</table></div>");
}

/* Whether all elements are objects with the keys of the first element. */
static bool is_table(const json_t *json)
{
	json_t *first = json_array_get(json, 0);
	const char *key;
	json_t *value;
	json_t *row;
	size_t i;

	json_array_foreach(json, i, row)
	{
		if (!json_is_object(row) ||
		    json_object_size(row) != json_object_size(first))
			return false;
		json_object_foreach(
			first, key,
			value) if (!json_object_get(row, key)) return false;
	}
	return json_object_size(first) <= TABLE_COLUMNS_MAX;
}

static void add_scalar(GString *out, const json_t *json)
{
	char *text;

	if (json_is_string(json)) {
		html_add(out, "%s", json_string_value(json));
		return;
	}
	if (json_is_boolean(json)) {
		html_add(out, "%s", json_is_true(json) ? "yes" : "no");
		return;
	}
	text = json_dumps(json, JSON_ENCODE_ANY | JSON_REAL_PRECISION(6));
	html_add(out, "%s", text ? text : "-");
	free(text);
}
