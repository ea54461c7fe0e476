/*
 * The console's HTML pages: status, sign-in, the forms that edit a draft of
 * the document, and the preview and acceptance of the draft.
 */
#ifndef CONSOLE_PAGE_H
#define CONSOLE_PAGE_H

#include "console_call.h"

/* One request for a page, with a copy of the session's data. */
typedef struct console_page {
	console_t *console;
	const console_request_t *req;
	console_response_t *resp;
	bool signed_in;
	char token[SESSION_TOKEN_LEN + 1];
	char csrf[SESSION_TOKEN_LEN + 1];
	char operator_name[GH_NAME_MAX + 1];
	char *base; /* document text that the draft started from, or NULL */
	/* Edited document text; NULL before the first change. */
	char *draft;
	uint64_t base_generation; /* generation of the document in base */
	/* base or draft was changed and has to be stored in the session. */
	bool draft_changed;
} console_page_t;

typedef int (*console_page_handler_t)(console_page_t *page);

typedef struct console_page_route {
	const char *method;
	const char *path;
	console_page_handler_t handler;
	bool needs_sign_in;
} console_page_route_t;

/* Registers the endpoints of all pages. */
void console_add_page_endpoints(console_t *console);

/* Begins a page with the title and the session's navigation. */
GString *console_page_begin(const console_page_t *page, const char *title);

/* A field of the posted form, or of the URL; "" when absent. */
const char *console_page_parameter(const console_page_t *page, const char *key);

/* Appends the hidden form field with the session's CSRF token. */
void console_page_add_csrf_field(const console_page_t *page, GString *out);

/* Counts a refusal and responds with a page that shows err; frees err. */
int console_page_refuse(console_page_t *page, const char *title, GError *err);

/*
 * Text of the draft, or of the document in force when there is no draft;
 * valid until the next call of this function or a change of the draft.
 */
const char *console_page_document_text(console_page_t *page);

/* Copies the document in force to a new draft unless there is a draft. */
void console_page_open_draft(console_page_t *page);

/* Handlers of the form pages, defined in console_form.c. */
int console_form_list(console_page_t *page);
int console_form_edit(console_page_t *page);
int console_form_save(console_page_t *page);

/* Handlers of the preview and acceptance pages, defined in console_accept.c. */
int console_accept_preview(console_page_t *page);
int console_accept_submit(console_page_t *page);
int console_accept_rebase(console_page_t *page);
int console_accept_discard(console_page_t *page);

#endif
