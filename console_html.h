/*
 * Building HTML pages: every value is escaped on its way in.
 */
#ifndef CONSOLE_HTML_H
#define CONSOLE_HTML_H

#include <glib.h>
#include <jansson.h>
#include <ulfius.h>

/* A page begun with its head and navigation; name NULL when signed out. */
GString *html_page_begin(const char *title, const char *operator_name,
			 const char *csrf);

/* Appends formatted text; arguments are escaped, the format is not. */
void html_add(GString *out, const char *fmt, ...) G_GNUC_PRINTF(2, 3);

/* Appends a value as tables under headings. */
void html_add_json(GString *out, const json_t *json);

/* Appends lines of a diff, each marked by its sign. */
void html_add_diff(GString *out, const char *diff);

/* Ends the page and answers with it; frees out. */
int html_page_respond(struct _u_response *resp, unsigned status, GString *out);

/* Answers with the style sheet. */
int html_respond_style(struct _u_response *resp);

/* Sends the browser to another page of the console. */
int html_respond_redirect(struct _u_response *resp, const char *path);

#endif
