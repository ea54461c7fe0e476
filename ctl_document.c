/*
 * Commands that check settings files and read or change the document: check,
 * apply, show, diff.
 */
#include <inttypes.h>
#include <stdio.h>
#include <string.h>

#include "core_document.h"
#include "ctl_call.h"
#include "settings.h"

#define GENERATION_PREFIX "# generation="

/* Groups that a settings file has and a document can't have. */
static const char *const settings_groups[] = { "host", "store", "peers" };

static bool is_settings(const char *text, size_t len);
static int check_settings(const char *path);
static int check_document(const char *path, const char *text, size_t len);
static gh_document_t *parse_document(const char *path, const char *text,
				     size_t len);
static const char *skip_generation_line(const char *text, uint64_t *generation);
static bool parse_generation(const char *text, uint64_t *number);
static int fetch_document(const ctl_options_t *opt, ctl_call_t *call);
static int propose_document(const ctl_options_t *opt, const char *path,
			    const char *text, uint64_t expected_generation);
static int resolve_unknown_outcome(const ctl_options_t *opt, const char *path,
				   const char *text,
				   uint64_t expected_generation);
static void print_conflict(const ctl_call_t *call);
static void print_accepted(const ctl_options_t *opt, uint64_t generation);
static void print_document(const ctl_options_t *opt, const ctl_call_t *call);

int ctl_check(int argc, char **argv)
{
	struct arg_file *file =
		arg_file1(NULL, NULL, "FILE",
			  "settings or document; - for standard input");
	void *args[] = { file };
	ctl_options_t opt;
	char *text = NULL;
	size_t len;
	int code = CTL_USAGE;

	if (ctl_options_parse(&opt, args, 1, argc, argv, &code) &&
	    ctl_read_file(file->filename[0], &text, &len))
		code = is_settings(text, len) ?
			       check_settings(file->filename[0]) :
			       check_document(file->filename[0], text, len);
	g_free(text);
	ctl_options_free(&opt, args, 1);
	return code;
}

int ctl_apply(int argc, char **argv)
{
	struct arg_file *file =
		arg_file1(NULL, NULL, "FILE", "document; - for standard input");
	struct arg_str *expect =
		arg_str0("e", "expect", "N",
			 "generation that the document replaces; default: the "
			 "one on the file's first line, or 0");
	void *args[] = { file, expect };
	ctl_options_t opt;
	gh_document_t *doc = NULL;
	uint64_t generation = 0;
	const char *document_text;
	char *text = NULL;
	size_t len;
	int code = CTL_USAGE;

	if (ctl_options_parse(&opt, args, 2, argc, argv, &code) &&
	    ctl_read_file(file->filename[0], &text, &len))
		doc = parse_document(file->filename[0], text, len);
	if (doc) {
		document_text = skip_generation_line(text, &generation);
		if (!expect->count ||
		    parse_generation(expect->sval[0], &generation))
			code = propose_document(&opt, file->filename[0],
						document_text, generation);
	}
	gh_document_unref(doc);
	g_free(text);
	ctl_options_free(&opt, args, 2);
	return code;
}

int ctl_show(int argc, char **argv)
{
	ctl_options_t opt;
	ctl_call_t call = { 0 };
	int code;

	if (ctl_options_parse(&opt, NULL, 0, argc, argv, &code)) {
		code = fetch_document(&opt, &call);
		if (code == CTL_OK)
			print_document(&opt, &call);
	}
	ctl_call_clear(&call);
	ctl_options_free(&opt, NULL, 0);
	return code;
}

int ctl_diff(int argc, char **argv)
{
	struct arg_file *file =
		arg_file1(NULL, NULL, "FILE", "document; - for standard input");
	void *args[] = { file };
	ctl_options_t opt;
	ctl_call_t call = { 0 };
	gh_document_t *doc = NULL;
	char *text = NULL;
	char *diff;
	size_t len;
	int code = CTL_USAGE;

	if (ctl_options_parse(&opt, args, 1, argc, argv, &code) &&
	    ctl_read_file(file->filename[0], &text, &len))
		doc = parse_document(file->filename[0], text, len);
	if (doc) {
		code = fetch_document(&opt, &call);
		if (code == CTL_OK) {
			diff = gh_document_diff(call.response, text);
			fputs(diff, stdout);
			g_free(diff);
		}
	}
	gh_document_unref(doc);
	ctl_call_clear(&call);
	g_free(text);
	ctl_options_free(&opt, args, 1);
	return code;
}

static bool is_settings(const char *text, size_t len)
{
	GKeyFile *file = g_key_file_new();
	bool found = false;
	size_t i;

	if (g_key_file_load_from_data(file, text, len, G_KEY_FILE_NONE, NULL))
		for (i = 0; i < G_N_ELEMENTS(settings_groups); i++)
			found |= g_key_file_has_group(file, settings_groups[i]);
	g_key_file_free(file);
	return found;
}

static int check_settings(const char *path)
{
	GError *err = NULL;
	settings_t *set = settings_load(path, &err);

	if (!set) {
		ctl_print_error("%s (%s)", err->message,
				gh_error_name(gh_error_kind(err)));
		g_error_free(err);
		return CTL_USAGE;
	}
	printf("%s: settings of %s are right\n", path, set->name);
	settings_free(set);
	return CTL_OK;
}

static int check_document(const char *path, const char *text, size_t len)
{
	gh_document_t *doc = parse_document(path, text, len);

	if (!doc)
		return CTL_USAGE;
	printf("%s: document is right: %zu departments, %zu services, "
	       "%zu domains, %zu entry hosts, %zu executors, %zu workers\n",
	       path, doc->n_departments, doc->n_services, doc->n_domains,
	       doc->n_entries, doc->n_executors, doc->n_workers);
	gh_document_unref(doc);
	return CTL_OK;
}

static gh_document_t *parse_document(const char *path, const char *text,
				     size_t len)
{
	GError *err = NULL;
	gh_document_t *doc = gh_document_parse(text, len, 1, &err);

	if (!doc) {
		ctl_print_error("%s: %s (%s)", path, err->message,
				gh_error_name(gh_error_kind(err)));
		g_error_free(err);
	}
	return doc;
}

/*
 * Reads the generation from the first line, where "show" writes it, and returns
 * the text after that line.  Without such a line, returns the whole text and
 * leaves *generation as it is.
 */
static const char *skip_generation_line(const char *text, uint64_t *generation)
{
	const char *end;

	if (!g_str_has_prefix(text, GENERATION_PREFIX))
		return text;
	*generation =
		g_ascii_strtoull(text + strlen(GENERATION_PREFIX), NULL, 10);
	end = strchr(text, '\n');
	return end ? end + 1 : "";
}

static bool parse_generation(const char *text, uint64_t *number)
{
	if (g_ascii_string_to_unsigned(text, 10, 0, INT64_MAX, number, NULL))
		return true;
	ctl_print_error("--expect %s: must be a generation number, 0 or above",
			text);
	return false;
}

static int fetch_document(const ctl_options_t *opt, ctl_call_t *call)
{
	call->method = "GET";
	call->path = "/v1/document";
	return ctl_send(opt, call);
}

static int propose_document(const ctl_options_t *opt, const char *path,
			    const char *text, uint64_t expected_generation)
{
	g_autofree char *generation_text =
		g_strdup_printf("%" PRIu64, expected_generation);
	const char *headers[] = { "X-Expect-Generation", generation_text,
				  "Content-Type", "text/plain", NULL };
	ctl_call_t call = {
		.method = "PUT",
		.path = "/v1/document",
		.body = text,
		.headers = headers,
		.write = true,
	};
	int code = ctl_send(opt, &call);

	if (code == CTL_OK)
		print_accepted(
			opt, (uint64_t)json_integer_value(
				     json_object_get(call.json, "generation")));
	else if (code == CTL_REFUSED)
		print_conflict(&call);
	else if (code == CTL_OUTCOME_UNKNOWN)
		code = resolve_unknown_outcome(opt, path, text,
					       expected_generation);
	ctl_call_clear(&call);
	return code;
}

/*
 * Finds out whether a proposal whose outcome is unknown was accepted: it was if
 * the document in force has a newer generation and the same content.  Otherwise
 * prints how the operator can find out.
 */
static int resolve_unknown_outcome(const ctl_options_t *opt, const char *path,
				   const char *text,
				   uint64_t expected_generation)
{
	ctl_call_t call = { 0 };
	uint64_t generation = 0;
	int code = CTL_OUTCOME_UNKNOWN;

	if (fetch_document(opt, &call) == CTL_OK) {
		g_autofree char *diff = gh_document_diff(call.response, text);

		if (call.generation)
			generation =
				g_ascii_strtoull(call.generation, NULL, 10);
		if (generation > expected_generation && !*diff)
			code = CTL_OK;
	}
	if (code == CTL_OK)
		print_accepted(opt, generation);
	else
		ctl_print_error(
			"run \"geraniumhoist diff %s\" until a host "
			"responds: no difference means accepted; applying "
			"it again is safe, as it names generation %" PRIu64,
			path, expected_generation);
	ctl_call_clear(&call);
	return code;
}

static void print_conflict(const ctl_call_t *call)
{
	const char *diff =
		json_string_value(json_object_get(call->json, "diff"));

	if (!diff)
		return;
	fprintf(stderr,
		"generation %" JSON_INTEGER_FORMAT " is in force; "
		"what it changed:\n%s",
		json_integer_value(json_object_get(call->json, "generation")),
		diff);
}

static void print_accepted(const ctl_options_t *opt, uint64_t generation)
{
	if (opt->json->count)
		printf("{\"generation\": %" PRIu64 "}\n", generation);
	else
		printf("accepted as generation %" PRIu64 "\n", generation);
}

static void print_document(const ctl_options_t *opt, const ctl_call_t *call)
{
	const char *generation = call->generation ? call->generation : "0";
	uint64_t ignored;
	const char *text = skip_generation_line(call->response, &ignored);
	json_t *json;

	if (!opt->json->count) {
		printf(GENERATION_PREFIX "%s\n%s", generation, text);
		return;
	}
	json = json_pack("{s:I, s:s}", "generation",
			 (json_int_t)g_ascii_strtoull(generation, NULL, 10),
			 "text", text);
	ctl_print_json(json);
	json_decref(json);
}
