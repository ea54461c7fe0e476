/*
 * Commands that show state (status, counters) and commands that need no sign-in
 * (request, digest).
 */
#include <inttypes.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "ctl_call.h"
#include "session.h"

#define SALT_BYTES 16
#define INDENT_WIDTH 2

static void print_counters_json(const char *text);
static void print_tree(const json_t *json, int depth);
static void print_member(const char *key, const json_t *value, int depth);
static void print_row(const json_t *row, int depth);
static bool is_flat(const json_t *json);
static void print_scalar(const json_t *value);

int ctl_status(int argc, char **argv)
{
	ctl_options_t opt;
	ctl_call_t call = { .method = "GET", .path = "/v1/status" };
	int code;

	if (ctl_options_parse(&opt, NULL, 0, argc, argv, &code)) {
		code = ctl_send(&opt, &call);
		if (code == CTL_OK && opt.json->count)
			ctl_print_json(call.json);
		else if (code == CTL_OK)
			print_tree(call.json, 0);
	}
	ctl_call_clear(&call);
	ctl_options_free(&opt, NULL, 0);
	return code;
}

int ctl_counters(int argc, char **argv)
{
	ctl_options_t opt;
	ctl_call_t call = { .method = "GET", .path = "/counters" };
	int code;

	if (ctl_options_parse(&opt, NULL, 0, argc, argv, &code)) {
		code = ctl_send(&opt, &call);
		if (code == CTL_OK && opt.json->count)
			print_counters_json(call.response);
		else if (code == CTL_OK)
			fputs(call.response, stdout);
	}
	ctl_call_clear(&call);
	ctl_options_free(&opt, NULL, 0);
	return code;
}

int ctl_request(int argc, char **argv)
{
	struct arg_str *service = arg_str1(NULL, NULL, "SERVICE/REST",
					   "service and path of the request");
	struct arg_str *method =
		arg_str0("X", "method", "METHOD", "HTTP method; default: GET");
	struct arg_str *body = arg_str0("b", "body", "TEXT", "request body");
	struct arg_str *key = arg_str0("k", "key", "KEY", "Idempotency-Key");
	struct arg_int *attempt =
		arg_int0("a", "attempt", "N",
			 "0 for the first attempt, 1 and up for repeats");
	void *args[] = { service, method, body, key, attempt };
	const char *headers[5] = { NULL };
	ctl_options_t opt;
	ctl_call_t call = { .method = "GET" };
	char attempt_text[16];
	char *path = NULL;
	size_t n = 0;
	int code;

	if (ctl_options_parse(&opt, args, G_N_ELEMENTS(args), argc, argv,
			      &code)) {
		path = g_strdup_printf("/r/%s", service->sval[0]);
		call.path = path;
		if (method->count)
			call.method = method->sval[0];
		if (body->count)
			call.body = body->sval[0];
		if (key->count) {
			headers[n++] = "Idempotency-Key";
			headers[n++] = key->sval[0];
		}
		if (attempt->count) {
			snprintf(attempt_text, sizeof(attempt_text), "%d",
				 attempt->ival[0]);
			headers[n++] = "X-Attempt";
			headers[n++] = attempt_text;
		}
		call.headers = headers;
		call.write = strcmp(call.method, "GET") != 0;
		code = ctl_send(&opt, &call);
		if (code == CTL_OK)
			printf("%s\n", call.response);
	}
	g_free(path);
	ctl_call_clear(&call);
	ctl_options_free(&opt, args, G_N_ELEMENTS(args));
	return code;
}

int ctl_digest(int argc, char **argv)
{
	struct arg_str *name =
		arg_str1(NULL, NULL, "NAME",
			 "name of the operator: a department, or platform");
	struct arg_file *file =
		arg_file1(NULL, NULL, "FILE",
			  "file with the secret; - for standard input");
	void *args[] = { name, file };
	char salt[2 * SALT_BYTES + 1];
	ctl_options_t opt;
	char *secret = NULL;
	char *digest;
	size_t len;
	int code = CTL_USAGE;

	if (ctl_options_parse(&opt, args, 2, argc, argv, &code) &&
	    ctl_read_file(file->filename[0], &secret, &len)) {
		g_strchomp(secret);
		code = *secret ? CTL_OK : CTL_USAGE;
		if (code != CTL_OK)
			ctl_print_error("%s: the secret is empty",
					file->filename[0]);
	}
	if (secret && code == CTL_OK) {
		session_random_hex(salt, SALT_BYTES);
		digest = session_secret_digest(salt, secret);
		printf("[operator %s]\nsalt=%s\ndigest=%s\n", name->sval[0],
		       salt, digest);
		g_free(digest);
	}
	g_free(secret);
	ctl_options_free(&opt, args, 2);
	return code;
}

static void print_counters_json(const char *text)
{
	char **lines = g_strsplit(text, "\n", -1);
	json_t *json = json_object();
	size_t i;

	for (i = 0; lines[i]; i++) {
		char *space = strchr(lines[i], ' ');

		if (!space)
			continue;
		*space = '\0';
		json_object_set_new(json, lines[i],
				    json_integer((json_int_t)g_ascii_strtoull(
					    space + 1, NULL, 10)));
	}
	ctl_print_json(json);
	json_decref(json);
	g_strfreev(lines);
}

/*
 * Prints an object or array as indented lines.  A nested object that has only
 * scalar members takes one line.
 */
static void print_tree(const json_t *json, int depth)
{
	const char *key;
	json_t *value;
	size_t i;

	if (json_is_object(json)) {
		json_object_foreach((json_t *)json, key, value)
			print_member(key, value, depth);
		return;
	}
	json_array_foreach(json, i, value)
	{
		if (json_is_object(value) && is_flat(value)) {
			print_row(value, depth);
		} else if (json_is_object(value) || json_is_array(value)) {
			printf("%*s-\n", depth * INDENT_WIDTH, "");
			print_tree(value, depth + 1);
		} else {
			printf("%*s", depth * INDENT_WIDTH, "");
			print_scalar(value);
			putchar('\n');
		}
	}
}

static void print_member(const char *key, const json_t *value, int depth)
{
	printf("%*s%s:", depth * INDENT_WIDTH, "", key);
	if (!json_is_object(value) && !json_is_array(value)) {
		putchar(' ');
		print_scalar(value);
		putchar('\n');
	} else if (json_is_object(value) && is_flat(value)) {
		print_row(value, 0);
	} else {
		putchar('\n');
		print_tree(value, depth + 1);
	}
}

static void print_row(const json_t *row, int depth)
{
	const char *key;
	json_t *value;

	printf("%*s", depth * INDENT_WIDTH, "");
	json_object_foreach((json_t *)row, key, value)
	{
		printf(" %s=", key);
		print_scalar(value);
	}
	putchar('\n');
}

/* Whether no member of an object is itself an object or array. */
static bool is_flat(const json_t *json)
{
	const char *key;
	json_t *value;

	json_object_foreach((json_t *)json, key,
			    value) if (json_is_object(value) ||
				       json_is_array(value)) return false;
	return true;
}

static void print_scalar(const json_t *value)
{
	char *text;

	if (json_is_string(value)) {
		fputs(json_string_value(value), stdout);
		return;
	}
	text = json_dumps(value, JSON_ENCODE_ANY | JSON_REAL_PRECISION(6));
	fputs(text ? text : "-", stdout);
	free(text);
}
