#include "ctl_call.h"

#include <stdio.h>
#include <string.h>

#include <ulfius.h>

#include "error.h"

#define CALL_TIMEOUT_S 10
#define DEFAULT_HOST "127.0.0.1:8081"
#define SECRET_MAX_BYTES 1024

/* Whether a host sent a complete response to a call. */
typedef enum send_result { SEND_NO_RESPONSE, SEND_RESPONDED } send_result_t;

static char *read_secret(const ctl_options_t *opt);
static send_result_t send_to_host(const char *host, const ctl_options_t *opt,
				  const char *secret, ctl_call_t *call);
static bool is_responding(const char *host);
static void set_request_headers(struct _u_request *req,
				const ctl_options_t *opt, const char *secret,
				const ctl_call_t *call);
static void store_response(const struct _u_response *resp, ctl_call_t *call);
static int check_response(ctl_call_t *call);

int ctl_send(const ctl_options_t *opt, ctl_call_t *call)
{
	g_autofree char *secret = NULL;
	int n_hosts = opt->host->count ? opt->host->count : 1;
	int i;

	if (opt->secret_file->count) {
		secret = read_secret(opt);
		if (!secret)
			return CTL_USAGE;
	}
	for (i = 0; i < n_hosts; i++) {
		const char *host =
			opt->host->count ? opt->host->sval[i] : DEFAULT_HOST;

		if (call->write && !is_responding(host))
			continue;
		call->host = g_strdup(host);
		if (send_to_host(host, opt, secret, call) == SEND_RESPONDED)
			return check_response(call);
		if (call->write) {
			ctl_print_error("%s sent no response: the outcome is "
					"unknown",
					host);
			return CTL_OUTCOME_UNKNOWN;
		}
		g_clear_pointer(&call->host, g_free);
	}
	ctl_print_error("none of %d hosts answers; give --host IP:PORT of a "
			"console that runs",
			n_hosts);
	return CTL_UNREACHABLE;
}

void ctl_call_clear(ctl_call_t *call)
{
	g_clear_pointer(&call->host, g_free);
	g_clear_pointer(&call->response, g_free);
	g_clear_pointer(&call->generation, g_free);
	g_clear_pointer(&call->outcome, g_free);
	if (call->json)
		json_decref(call->json);
	call->json = NULL;
}

void ctl_print_json(const json_t *json)
{
	json_dumpf(json, stdout, JSON_INDENT(2) | JSON_SORT_KEYS);
	putchar('\n');
}

static char *read_secret(const ctl_options_t *opt)
{
	const char *path = opt->secret_file->filename[0];
	char *secret;
	size_t len;

	if (!ctl_read_file(path, &secret, &len))
		return NULL;
	g_strchomp(secret);
	if (*secret && strlen(secret) <= SECRET_MAX_BYTES &&
	    !strpbrk(secret, "\r\n"))
		return secret;
	ctl_print_error("%s: the secret must be one line of 1 to %d bytes",
			path, SECRET_MAX_BYTES);
	g_free(secret);
	return NULL;
}

static send_result_t send_to_host(const char *host, const ctl_options_t *opt,
				  const char *secret, ctl_call_t *call)
{
	g_autofree char *url = g_strdup_printf("http://%s%s", host, call->path);
	struct _u_request req;
	struct _u_response resp;
	send_result_t result = SEND_NO_RESPONSE;

	ulfius_init_request(&req);
	ulfius_init_response(&resp);
	ulfius_set_request_properties(
		&req, U_OPT_HTTP_VERB, call->method, U_OPT_HTTP_URL, url,
		U_OPT_TIMEOUT, (unsigned long)CALL_TIMEOUT_S, U_OPT_NONE);
	set_request_headers(&req, opt, secret, call);
	if (call->body)
		ulfius_set_string_body_request(&req, call->body);
	if (ulfius_send_http_request(&req, &resp) == U_OK) {
		store_response(&resp, call);
		result = SEND_RESPONDED;
	}
	ulfius_clean_request(&req);
	ulfius_clean_response(&resp);
	return result;
}

/* Whether a console responds to a read, so that a write may be sent to it. */
static bool is_responding(const char *host)
{
	g_autofree char *url = g_strdup_printf("http://%s/counters", host);
	struct _u_request req;
	struct _u_response resp;
	bool responded;

	ulfius_init_request(&req);
	ulfius_init_response(&resp);
	ulfius_set_request_properties(
		&req, U_OPT_HTTP_VERB, "GET", U_OPT_HTTP_URL, url,
		U_OPT_TIMEOUT, (unsigned long)CALL_TIMEOUT_S, U_OPT_NONE);
	responded = ulfius_send_http_request(&req, &resp) == U_OK;
	ulfius_clean_request(&req);
	ulfius_clean_response(&resp);
	return responded;
}

static void set_request_headers(struct _u_request *req,
				const ctl_options_t *opt, const char *secret,
				const ctl_call_t *call)
{
	size_t i;

	if (opt->operator_name->count)
		u_map_put(req->map_header, "X-Operator",
			  opt->operator_name->sval[0]);
	if (secret)
		u_map_put(req->map_header, "X-Secret", secret);
	/* Keeps libcurl from sending "Expect: 100-continue". */
	u_map_put(req->map_header, "Expect", "");
	for (i = 0; call->headers && call->headers[i]; i += 2)
		u_map_put(req->map_header, call->headers[i],
			  call->headers[i + 1]);
}

static void store_response(const struct _u_response *resp, ctl_call_t *call)
{
	call->status = resp->status;
	call->response = g_strndup(resp->binary_body ? resp->binary_body : "",
				   resp->binary_body_length);
	call->json = json_loads(call->response, 0, NULL);
	call->generation =
		g_strdup(u_map_get_case(resp->map_header, "X-Generation"));
	call->outcome = g_strdup(u_map_get_case(resp->map_header, "X-Outcome"));
}

/*
 * Prints the error of a response with status 400 or above and returns the exit
 * code.  "ran":"unknown" in the response means that the refused write may
 * still have taken effect.
 */
static int check_response(ctl_call_t *call)
{
	const char *error_name =
		json_string_value(json_object_get(call->json, "error"));
	const char *message =
		json_string_value(json_object_get(call->json, "message"));
	const char *ran = json_string_value(json_object_get(call->json, "ran"));

	if (call->status < 400)
		return CTL_OK;
	ctl_print_error("%s: %s (%s)", call->host,
			message ? message : "refused without a message",
			error_name ? error_name : "unknown_kind");
	if (call->write && ran && !strcmp(ran, "unknown"))
		return CTL_OUTCOME_UNKNOWN;
	return CTL_REFUSED;
}
