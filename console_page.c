#include "console_page.h"

#include <string.h>

#include <arpa/inet.h>

#include "clock.h"
#include "console_html.h"
#include "console_status.h"
#include "counter.h"
#include "log.h"

#define COOKIE_NAME "session"

/* Argument that ulfius passes to the endpoint of a page. */
struct console_page_endpoint {
	console_t *console;
	const console_page_route_t *route;
};

static int get_status(console_page_t *page);
static int get_sign_in(console_page_t *page);
static int post_sign_in(console_page_t *page);
static int post_sign_out(console_page_t *page);
static int get_style(const console_request_t *req, console_response_t *resp,
		     void *arg);
static int handle_page_request(const console_request_t *req,
			       console_response_t *resp, void *arg);
static void load_base(console_page_t *page);
static void load_session(console_page_t *page);
static void store_session(console_page_t *page);
static int handle_if_allowed(console_page_t *page,
			     const console_page_route_t *route);
static bool has_valid_csrf(const console_page_t *page);
static bool is_same_origin(const console_request_t *req);
static void set_cookie(console_response_t *resp, const char *token,
		       unsigned seconds);
static int respond_sign_in(console_page_t *page, unsigned status,
			   const char *message);
static void add_counter_table(GString *out);

static const console_page_route_t routes[] = {
	{ "GET", "/", get_status, false },
	{ "GET", "/sign-in", get_sign_in, false },
	{ "POST", "/sign-in", post_sign_in, false },
	{ "POST", "/sign-out", post_sign_out, true },
	{ "GET", "/forms/:concern", console_form_list, true },
	{ "GET", "/edit", console_form_edit, true },
	{ "POST", "/edit", console_form_save, true },
	{ "GET", "/preview", console_accept_preview, true },
	{ "POST", "/accept", console_accept_submit, true },
	{ "POST", "/rebase", console_accept_rebase, true },
	{ "POST", "/discard", console_accept_discard, true },
};

void console_add_page_endpoints(console_t *console)
{
	size_t i;

	console->page_endpoints =
		g_new0(struct console_page_endpoint, G_N_ELEMENTS(routes));
	for (i = 0; i < G_N_ELEMENTS(routes); i++) {
		console->page_endpoints[i].console = console;
		console->page_endpoints[i].route = &routes[i];
		ulfius_add_endpoint_by_val(&console->instance, routes[i].method,
					   NULL, routes[i].path, 0,
					   handle_page_request,
					   &console->page_endpoints[i]);
	}
	ulfius_add_endpoint_by_val(&console->instance, "GET", "/style.css",
				   NULL, 0, get_style, console);
}

GString *console_page_begin(const console_page_t *page, const char *title)
{
	return html_page_begin(title,
			       page->signed_in ? page->operator_name : NULL,
			       page->csrf);
}

const char *console_page_parameter(const console_page_t *page, const char *key)
{
	const char *value = u_map_get(page->req->map_post_body, key);

	if (!value)
		value = u_map_get(page->req->map_url, key);
	return value ? value : "";
}

void console_page_add_csrf_field(const console_page_t *page, GString *out)
{
	html_add(out, "<input type=\"hidden\" name=\"csrf\" value=\"%s\">",
		 page->csrf);
}

int console_page_refuse(console_page_t *page, const char *title, GError *err)
{
	gh_error_kind_t kind = gh_error_kind(err);
	GString *out = console_page_begin(page, title);

	counter_inc_refusals(kind);
	html_add(out, "<p class=\"error\" role=\"alert\">%s</p>", err->message);
	g_error_free(err);
	return html_page_respond(page->resp, (unsigned)gh_error_status(kind),
				 out);
}

const char *console_page_document_text(console_page_t *page)
{
	if (page->draft)
		return page->draft;
	load_base(page);
	return page->base;
}

void console_page_open_draft(console_page_t *page)
{
	if (page->draft)
		return;
	load_base(page);
	page->draft = g_strdup(page->base);
}

static int get_status(console_page_t *page)
{
	json_t *json = console_status_json(page->console->node);
	GString *out = console_page_begin(page, "Status");

	html_add_json(out, json);
	html_add(out, "<h2>Refusals, retries and sign-ins</h2>");
	add_counter_table(out);
	json_decref(json);
	return html_page_respond(page->resp, 200, out);
}

static int get_sign_in(console_page_t *page)
{
	return respond_sign_in(page, 200, NULL);
}

static int post_sign_in(console_page_t *page)
{
	console_t *console = page->console;
	const char *name = console_page_parameter(page, "operator");
	char client[INET_ADDRSTRLEN];
	GError *err = NULL;
	unsigned status;

	console_client_address(page->req, client, sizeof(client));
	if (!session_check_secret(console->sessions, name,
				  console_page_parameter(page, "secret"),
				  client, clock_boot(), &err)) {
		counter_inc_refusals(gh_error_kind(err));
		status = (unsigned)gh_error_status(gh_error_kind(err));
		respond_sign_in(page, status, err->message);
		g_error_free(err);
		return U_CALLBACK_COMPLETE;
	}
	log_event(LOG_INFO, "signed_in", "by", name, "client", client, NULL);
	session_open(console->sessions, name, clock_boot(), page->token);
	set_cookie(page->resp, page->token,
		   (unsigned)(SESSION_TTL_USEC / GH_USEC_PER_SEC));
	return html_respond_redirect(page->resp, "/forms/departments");
}

static int post_sign_out(console_page_t *page)
{
	session_close(page->console->sessions, page->token);
	set_cookie(page->resp, "", 0);
	return html_respond_redirect(page->resp, "/");
}

static int get_style(const console_request_t *req, console_response_t *resp,
		     void *arg)
{
	(void)req;
	(void)arg;
	return html_respond_style(resp);
}

/*
 * Runs a page's handler on a copy of the session, so that the session table
 * is not locked meanwhile.
 */
static int handle_page_request(const console_request_t *req,
			       console_response_t *resp, void *arg)
{
	const struct console_page_endpoint *endpoint = arg;
	console_page_t page = {
		.console = endpoint->console,
		.req = req,
		.resp = resp,
	};
	int result;

	load_session(&page);
	result = handle_if_allowed(&page, endpoint->route);
	store_session(&page);
	g_free(page.base);
	g_free(page.draft);
	return result;
}

/* Copies the document in force to the page's base. */
static void load_base(console_page_t *page)
{
	gh_document_t *doc = node_document(page->console->node);

	g_free(page->base);
	page->base = g_strdup(doc ? doc->text : "");
	page->base_generation = doc ? doc->generation : 0;
	gh_document_unref(doc);
}

static void load_session(console_page_t *page)
{
	const char *token = u_map_get(page->req->map_cookie, COOKIE_NAME);
	session_table_t *table = page->console->sessions;
	session_t *session = session_get(table, token, clock_boot());

	if (!session)
		return;
	page->signed_in = true;
	g_strlcpy(page->token, session->token, sizeof(page->token));
	g_strlcpy(page->csrf, session->csrf, sizeof(page->csrf));
	g_strlcpy(page->operator_name, session->operator_name,
		  sizeof(page->operator_name));
	page->base = g_strdup(session->base);
	page->draft = g_strdup(session->draft);
	page->base_generation = session->base_generation;
	session_put(table, session);
}

/* Moves a changed draft and its base to the session, if it is still open. */
static void store_session(console_page_t *page)
{
	session_table_t *table = page->console->sessions;
	session_t *session;

	if (!page->draft_changed)
		return;
	session = session_get(table, page->token, clock_boot());
	if (!session)
		return;
	g_free(session->base);
	g_free(session->draft);
	session->base = g_steal_pointer(&page->base);
	session->draft = g_steal_pointer(&page->draft);
	session->base_generation = page->base_generation;
	session_put(table, session);
}

/* Checks the session, the body's size and the form's origin and CSRF token. */
static int handle_if_allowed(console_page_t *page,
			     const console_page_route_t *route)
{
	bool post = !strcmp(route->method, "POST");
	GError *err = NULL;

	if (route->needs_sign_in && !page->signed_in)
		return html_respond_redirect(page->resp, "/sign-in");
	if (page->req->binary_body_length > CONSOLE_BODY_MAX_BYTES) {
		gh_error_set(&err, GH_E_TOO_LARGE, "the form is too long");
		return console_page_refuse(page, "Form refused", err);
	}
	if (post && (!is_same_origin(page->req) ||
		     (route->needs_sign_in && !has_valid_csrf(page)))) {
		gh_error_set(&err, GH_E_FORBIDDEN,
			     "the form does not come from this session");
		return console_page_refuse(page, "Form refused", err);
	}
	return route->handler(page);
}

static bool has_valid_csrf(const console_page_t *page)
{
	const char *csrf = u_map_get(page->req->map_post_body, "csrf");

	return csrf && session_equal_constant_time(csrf, page->csrf);
}

/*
 * Whether a form comes from a page of this console.  A request without an
 * Origin header passes, since browsers send that header with every cross-site
 * POST.
 */
static bool is_same_origin(const console_request_t *req)
{
	const char *origin = console_request_header(req, "Origin");
	const char *host = console_request_header(req, "Host");

	if (!origin)
		return true;
	return host && g_str_has_prefix(origin, "http") &&
	       strstr(origin, "://") &&
	       !strcmp(strstr(origin, "://") + strlen("://"), host);
}

static void set_cookie(console_response_t *resp, const char *token,
		       unsigned seconds)
{
	/*
	 * The cookie is not marked secure: the platform's network uses plain
	 * HTTP.
	 */
	const int secure = 0;
	const int http_only = 1;

	ulfius_add_same_site_cookie_to_response(
		resp, COOKIE_NAME, token, NULL, seconds, NULL, "/", secure,
		http_only, U_COOKIE_SAME_SITE_STRICT);
}

static int respond_sign_in(console_page_t *page, unsigned status,
			   const char *message)
{
	GString *out = console_page_begin(page, "Sign in");

	if (message)
		html_add(out, "<p class=\"error\" role=\"alert\">%s</p>",
			 message);
	html_add(out,
		 "<form method=\"post\" action=\"/sign-in\">"
		 "<label>Operator<small>your department, or platform</small>"
		 "<input name=\"operator\" required autocomplete=\"username\" "
		 "value=\"%s\"></label>"
		 "<label>Secret<input name=\"secret\" type=\"password\" "
		 "required autocomplete=\"current-password\"></label>"
		 "<button>Sign in</button></form>",
		 console_page_parameter(page, "operator"));
	return html_page_respond(page->resp, status, out);
}

/* Adds a table of the counters of refusals, retries and sign-ins above 0. */
static void add_counter_table(GString *out)
{
	char *text = counter_format_all();
	char **lines = g_strsplit(text, "\n", -1);
	size_t i;

	html_add(out, "<div class=\"scroll\"><table>");
	for (i = 0; lines[i]; i++) {
		char *separator = strchr(lines[i], ' ');

		if (!separator || !strcmp(separator, " 0"))
			continue;
		if (!g_str_has_prefix(lines[i], "refused_") &&
		    !g_str_has_prefix(lines[i], "retry_") &&
		    !g_str_has_prefix(lines[i], "sign_ins"))
			continue;
		*separator = '\0';
		html_add(out, "<tr><th scope=\"row\">%s</th><td>%s</td></tr>",
			 lines[i], separator + 1);
	}
	html_add(out, "</table></div>"
		      "<p>All counters are at "
		      "<a href=\"/counters\">/counters</a>; those not shown "
		      "here are 0.</p>");
	g_strfreev(lines);
	g_free(text);
}
