#include "console_call.h"

#include <arpa/inet.h>
#include <stdlib.h>
#include <string.h>

#include "clock.h"
#include "config.h"
#include "counter.h"
#include "log.h"

#define FORWARD_TIMEOUT_USEC (5 * GH_USEC_PER_SEC)

static int respond_error(console_response_t *resp, GError *err,
			 json_t *members);
static char *owner_url(console_t *console, const char *owner,
		       const console_request_t *req, GError **err);
static int forward_to_url(console_t *console, const char *url,
			  const console_request_t *req,
			  console_response_t *resp);
static int respond_forward_failure(console_response_t *resp, const char *url,
				   const http_response_t *response);

int console_respond_json(console_response_t *resp, unsigned status,
			 json_t *json)
{
	char *text = json_dumps(json, JSON_COMPACT);

	ulfius_set_string_body_response(resp, status, text);
	u_map_put(resp->map_header, "Content-Type", "application/json");
	u_map_put(resp->map_header, "Cache-Control", "no-store");
	free(text);
	json_decref(json);
	return U_CALLBACK_COMPLETE;
}

int console_refuse(console_response_t *resp, GError *err)
{
	return console_refuse_with_members(resp, err, json_object());
}

int console_refuse_with_members(console_response_t *resp, GError *err,
				json_t *members)
{
	counter_inc_refusals(gh_error_kind(err));
	return respond_error(resp, err, members);
}

int console_respond_error(console_response_t *resp, GError *err)
{
	return respond_error(resp, err, json_object());
}

const char *console_request_header(const console_request_t *req,
				   const char *name)
{
	return u_map_get_case(req->map_header, name);
}

void console_client_address(const console_request_t *req, char *text,
			    size_t size)
{
	const struct sockaddr_in *client =
		(const struct sockaddr_in *)req->client_address;

	if (!client || client->sin_family != AF_INET ||
	    !inet_ntop(AF_INET, &client->sin_addr, text, (socklen_t)size))
		g_strlcpy(text, "-", size);
}

bool console_authenticate(console_t *console, const console_request_t *req,
			  GError **err)
{
	char client[INET_ADDRSTRLEN];

	console_client_address(req, client, sizeof(client));
	return session_check_secret(console->sessions,
				    console_request_header(req, "X-Operator"),
				    console_request_header(req, "X-Secret"),
				    client, clock_boot(), err);
}

bool console_propose_document(console_t *console, const char *text,
			      uint64_t expected_generation,
			      const char *operator_name, uint64_t *generation,
			      char **diff, GError **err)
{
	if (!config_propose(console->node, text, expected_generation,
			    operator_name, generation, diff, err))
		return false;
	log_event(LOG_INFO, "document_accepted", "by", operator_name,
		  "generation", log_num((int64_t)*generation), NULL);
	return true;
}

char *console_request_body(const console_request_t *req, size_t max_bytes,
			   GError **err)
{
	if (req->binary_body_length > max_bytes) {
		gh_error_set(err, GH_E_TOO_LARGE,
			     "request body is longer than %zu bytes",
			     max_bytes);
		return NULL;
	}
	if (!req->binary_body_length)
		return g_strdup("");
	if (memchr(req->binary_body, '\0', req->binary_body_length)) {
		gh_error_set(err, GH_E_BAD_REQUEST,
			     "request body contains a NUL byte");
		return NULL;
	}
	return g_strndup(req->binary_body, req->binary_body_length);
}

int console_forward_request(console_t *console, const char *owner,
			    const console_request_t *req,
			    console_response_t *resp)
{
	GError *err = NULL;
	char *url = owner_url(console, owner, req, &err);
	int result;

	if (err)
		return console_refuse(resp, err);
	result = forward_to_url(console, url, req, resp);
	g_free(url);
	return result;
}

/* Logs the refusal, adds the error to members and responds with them. */
static int respond_error(console_response_t *resp, GError *err, json_t *members)
{
	gh_error_kind_t kind = gh_error_kind(err);
	bool outcome_unknown = gh_error_ran(kind) == GH_RAN_UNKNOWN;

	log_event(LOG_INFO, "console_refused", "kind", gh_error_name(kind),
		  "message", err->message, NULL);
	json_object_set_new(members, "error", json_string(gh_error_name(kind)));
	json_object_set_new(members, "ran",
			    json_string(outcome_unknown ? "unknown" : "no"));
	json_object_set_new(members, "message", json_string(err->message));
	g_error_free(err);
	return console_respond_json(resp, (unsigned)gh_error_status(kind),
				    members);
}

/*
 * URL of the request on the console of the shard's owner.  Fails for a request
 * that was forwarded before, so that hosts with different views of the owner
 * don't forward a request in a loop.
 */
static char *owner_url(console_t *console, const char *owner,
		       const console_request_t *req, GError **err)
{
	gh_document_t *doc = node_document(console->node);
	gh_handle_t entry = GH_HANDLE_NONE;
	char *url = NULL;

	if (doc)
		entry = gh_document_entry(doc, owner);
	if (entry == GH_HANDLE_NONE ||
	    console_request_header(req, "X-Forwarded-By"))
		gh_error_set(err, GH_E_NOT_OWNER,
			     *owner ? "the owner of the shard is %s" :
				      "no host owns the shard now%s",
			     owner);
	else
		url = g_strdup_printf(
			"http://%s:%u%s", doc->entries[entry].address,
			doc->entries[entry].console_port, req->url_path);
	gh_document_unref(doc);
	return url;
}

static int forward_to_url(console_t *console, const char *url,
			  const console_request_t *req,
			  console_response_t *resp)
{
	const char *name = console_request_header(req, "X-Operator");
	const char *secret = console_request_header(req, "X-Secret");
	g_autofree char *forwarded_by_line = g_strdup_printf(
		"X-Forwarded-By: %s", console->node->settings->name);
	g_autofree char *operator_line =
		g_strdup_printf("X-Operator: %s", name ? name : "");
	g_autofree char *secret_line =
		g_strdup_printf("X-Secret: %s", secret ? secret : "");
	const char *headers[] = { forwarded_by_line, operator_line, secret_line,
				  "Content-Type: application/json", NULL };
	http_call_t call = {
		.method = req->http_verb,
		.url = url,
		.headers = headers,
		.body = req->binary_body_length ? req->binary_body : NULL,
		.body_len = req->binary_body_length,
		.deadline = clock_boot() + FORWARD_TIMEOUT_USEC,
		.write_once = strcmp(req->http_verb, "GET") != 0,
	};
	http_response_t response;
	int result;

	if (http_client_call(console->client, &call, &response)) {
		ulfius_set_binary_body_response(resp, (unsigned)response.status,
						response.body,
						response.body_len);
		u_map_put(resp->map_header, "Content-Type", "application/json");
		result = U_CALLBACK_COMPLETE;
	} else {
		result = respond_forward_failure(resp, url, &response);
	}
	http_response_clear(&response);
	return result;
}

/*
 * Responds when forwarding a request has failed.  A request of which nothing
 * was sent has certainly not run; with any other failure the outcome is
 * unknown.
 */
static int respond_forward_failure(console_response_t *resp, const char *url,
				   const http_response_t *response)
{
	GError *err = NULL;

	if (response->stage == HTTP_STAGE_UNSENT)
		gh_error_set(&err, GH_E_PEER_DOWN, "no connection to %s", url);
	else
		gh_error_set(&err, GH_E_TIMEOUT, "no response from %s", url);
	return console_refuse(resp, err);
}
