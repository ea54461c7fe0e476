/*
 * Pages that preview the session's draft and put it in force.
 *
 * A draft is accepted by compare-and-swap on the generation that it started
 * from, so that operators who edit at the same time don't overwrite each
 * other.  A draft that lost this race is kept and can be rebased on the
 * document in force.
 */
#include <inttypes.h>
#include <string.h>

#include "console_html.h"
#include "console_page.h"
#include "counter.h"
#include "form.h"

static void add_validation(console_page_t *page, GString *out,
			   bool *acceptable);
static void add_error(GString *out, GError *err);
static void add_action_buttons(const console_page_t *page, GString *out,
			       bool acceptable);
static bool is_outdated(const console_page_t *page);
static int respond_accepted(console_page_t *page, uint64_t generation);
static int respond_refused(console_page_t *page, uint64_t generation,
			   const char *diff, GError *err);
static int respond_no_draft(console_page_t *page);

int console_accept_preview(console_page_t *page)
{
	g_autofree char *diff = NULL;
	bool acceptable = true;
	GString *out;

	if (!page->draft)
		return respond_no_draft(page);
	diff = gh_document_diff(page->base, page->draft);
	out = console_page_begin(page, "Preview");
	html_add(out,
		 "<p>Your changes to generation %" PRIu64
		 ". Nothing takes effect until you accept.</p>",
		 page->base_generation);
	if (*diff)
		html_add_diff(out, diff);
	else
		html_add(out, "<p>No difference.</p>");
	add_validation(page, out, &acceptable);
	if (is_outdated(page))
		html_add(out, "<p class=\"error\">A newer generation is in "
			      "force. Take it as the new base first; what you "
			      "typed is kept.</p>");
	add_action_buttons(page, out,
			   acceptable && *diff && !is_outdated(page));
	return html_page_respond(page->resp, 200, out);
}

int console_accept_submit(console_page_t *page)
{
	uint64_t generation = 0;
	char *diff = NULL;
	GError *err = NULL;
	int result;

	if (!page->draft)
		return respond_no_draft(page);
	if (console_propose_document(page->console, page->draft,
				     page->base_generation, page->operator_name,
				     &generation, &diff, &err))
		result = respond_accepted(page, generation);
	else
		result = respond_refused(page, generation, diff, err);
	g_free(diff);
	return result;
}

int console_accept_rebase(console_page_t *page)
{
	gh_document_t *doc = node_document(page->console->node);
	g_autofree char *conflicts = NULL;
	GString *out;
	char *draft;

	if (!page->draft || !doc || doc->generation <= page->base_generation) {
		gh_document_unref(doc);
		return html_respond_redirect(page->resp, "/preview");
	}
	draft = form_rebase(page->base, page->draft, doc->text, &conflicts);
	g_free(page->base);
	g_free(page->draft);
	page->base = g_strdup(doc->text);
	page->draft = draft;
	page->base_generation = doc->generation;
	page->draft_changed = true;
	gh_document_unref(doc);
	if (!*conflicts)
		return html_respond_redirect(page->resp, "/preview");
	out = console_page_begin(page, "Both changed the same keys");
	html_add(out,
		 "<p class=\"error\">The other operator had set these "
		 "values. Your draft keeps yours; change it where theirs "
		 "should stay.</p><pre>%s</pre>"
		 "<p><a href=\"/preview\">Preview your draft</a></p>",
		 conflicts);
	return html_page_respond(page->resp, 200, out);
}

int console_accept_discard(console_page_t *page)
{
	g_clear_pointer(&page->base, g_free);
	g_clear_pointer(&page->draft, g_free);
	page->base_generation = 0;
	page->draft_changed = true;
	return html_respond_redirect(page->resp, "/forms/departments");
}

/*
 * Parses the draft, checks the operator's permission and shows the error if
 * there is one.
 */
static void add_validation(console_page_t *page, GString *out, bool *acceptable)
{
	gh_document_t *old = node_document(page->console->node);
	gh_document_t *new;
	GError *err = NULL;

	new = gh_document_parse(page->draft, strlen(page->draft),
				page->base_generation + 1, &err);
	/*
	 * The permission check is skipped for an outdated draft: the comparison
	 * with a newer generation than the draft's base would report the other
	 * operator's changes as changes of this draft.
	 */
	*acceptable =
		new &&
		(is_outdated(page) ||
		 gh_document_may_replace(old, new, page->operator_name, &err));
	if (!*acceptable)
		add_error(out, err);
	gh_document_unref(new);
	gh_document_unref(old);
}

/* Appends an error to the page and frees the error. */
static void add_error(GString *out, GError *err)
{
	html_add(out, "<p class=\"error\" role=\"alert\">%s</p>", err->message);
	g_error_free(err);
}

static void add_action_buttons(const console_page_t *page, GString *out,
			       bool acceptable)
{
	html_add(out, "<form method=\"post\">");
	console_page_add_csrf_field(page, out);
	if (acceptable)
		html_add(out, "<button formaction=\"/accept\">Accept</button>");
	if (is_outdated(page))
		html_add(out, "<button formaction=\"/rebase\">Take generation "
			      "in force as base</button>");
	html_add(out, "<button formaction=\"/discard\">Discard my changes"
		      "</button></form>");
}

/* Whether this host has a newer generation in force than the draft's base. */
static bool is_outdated(const console_page_t *page)
{
	gh_document_t *doc = node_document(page->console->node);
	bool outdated = doc && doc->generation > page->base_generation;

	gh_document_unref(doc);
	return outdated;
}

/* Drops the accepted draft and shows its generation. */
static int respond_accepted(console_page_t *page, uint64_t generation)
{
	GString *out = console_page_begin(page, "Accepted");

	g_clear_pointer(&page->base, g_free);
	g_clear_pointer(&page->draft, g_free);
	page->draft_changed = true;
	html_add(out,
		 "<p class=\"done\">Generation %" PRIu64 " is accepted. The "
		 "<a href=\"/\">status page</a> shows where it is in force."
		 "</p>",
		 generation);
	return html_page_respond(page->resp, 200, out);
}

/*
 * Shows why the draft was refused and frees err.  After a lost race, diff and
 * generation are those of the document that the other operator put in force;
 * else diff is NULL.
 */
static int respond_refused(console_page_t *page, uint64_t generation,
			   const char *diff, GError *err)
{
	gh_error_kind_t kind = gh_error_kind(err);
	GString *out = console_page_begin(page, "Not accepted");

	counter_inc_refusals(kind);
	add_error(out, err);
	if (diff) {
		html_add(out,
			 "<h2>What the other operator changed</h2><p>"
			 "Generation %" PRIu64 " is in force.</p>",
			 generation);
		html_add_diff(out, diff);
	}
	html_add(out, "<p>What you typed is kept.</p>");
	add_action_buttons(page, out, false);
	html_add(out, "<p><a href=\"/preview\">Back to the preview</a></p>");
	return html_page_respond(page->resp, (unsigned)gh_error_status(kind),
				 out);
}

static int respond_no_draft(console_page_t *page)
{
	GString *out = console_page_begin(page, "Preview");

	html_add(out, "<p>You have changed nothing yet. Choose a form "
		      "above.</p>");
	return html_page_respond(page->resp, 200, out);
}
