/*
 * Generation of HTML pages.  All values are escaped when they are added.
 */
#ifndef CONSOLE_HTML_H
#define CONSOLE_HTML_H

#include <glib.h>
#include <jansson.h>
#include <ulfius.h>

/*
 * A new page with its head, navigation and title, without its end.
 * operator_name is NULL when signed out; csrf is the token that the form for
 * signing out sends.
 */
GString *html_page_begin(const char *title, const char *operator_name,
			 const char *csrf);

/* Appends formatted HTML; arguments are escaped, the format is not. */
void html_add(GString *out, const char *fmt, ...) G_GNUC_PRINTF(2, 3);

/* Appends a JSON value as tables under headings. */
void html_add_json(GString *out, const json_t *json);

/* Appends a diff; each line is coloured by its sign "+", "-" or "~". */
void html_add_diff(GString *out, const char *diff);

/* Ends the page and responds with it; frees out. */
int html_page_respond(struct _u_response *resp, unsigned status, GString *out);

/* Responds with the style sheet of all pages. */
int html_respond_style(struct _u_response *resp);

/* Redirects the browser to another page of the console (303). */
int html_respond_redirect(struct _u_response *resp, const char *path);

#endif
