/*
 * The console's HTML pages: sign-in, status, and the forms that fill the
 * document, its preview and its acceptance.
 */
#ifndef CONSOLE_PAGE_H
#define CONSOLE_PAGE_H

#include "console_call.h"

/* One call of a page, with a copy of what the session holds. */
typedef struct console_page {
	console_t *console;
	const console_request_t *req;
	console_response_t *resp;
	bool signed_in;
	char token[SESSION_TOKEN_LEN + 1];
	char csrf[SESSION_TOKEN_LEN + 1];
	char operator_name[GH_NAME_MAX + 1];
	char *base;		  /* text that the draft started from */
	char *draft;		  /* NULL when nothing was typed yet */
	uint64_t base_generation; /* of base */
	bool draft_changed; /* base, draft and generation are to be stored */
} console_page_t;

typedef int (*console_page_handler_t)(console_page_t *page);

typedef struct console_page_route {
	const char *method;
	const char *path;
	console_page_handler_t handler;
	bool needs_sign_in;
} console_page_route_t;

/* Adds the endpoints of all pages. */
void console_add_page_endpoints(console_t *console);

/* A page begun with its title and the session's navigation. */
GString *console_page_begin(const console_page_t *page, const char *title);

/* A field of the posted form, or of the query; "" when absent. */
const char *console_page_parameter(const console_page_t *page, const char *key);

/* Appends the hidden field that proves that the form is the console's own. */
void console_page_add_csrf_field(const console_page_t *page, GString *out);

/* Counts a refusal and answers with a page about it; takes the error. */
int console_page_refuse(console_page_t *page, const char *title, GError *err);

/*
 * The draft, or the document in force when nothing was typed yet; valid until
 * the next call.
 */
const char *console_page_document_text(console_page_t *page);

/* Starts a draft from the document in force unless there is one. */
void console_page_open_draft(console_page_t *page);

/* Pages of console_form.c. */
int console_form_list(console_page_t *page);
int console_form_edit(console_page_t *page);
int console_form_save(console_page_t *page);

/* Pages of console_accept.c. */
int console_accept_preview(console_page_t *page);
int console_accept_submit(console_page_t *page);
int console_accept_rebase(console_page_t *page);
int console_accept_discard(console_page_t *page);

#endif
