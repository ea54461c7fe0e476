/*
 * JSON endpoints of the console.  docs/INTERFACES.md describes them.
 */
#include <inttypes.h>
#include <stdlib.h>
#include <string.h>

#include "clock.h"
#include "console_call.h"
#include "console_status.h"
#include "counter.h"
#include "json_body.h"
#include "log.h"

/*
 * Name of the operator who manages the hosts; all other operators are
 * departments.
 */
#define PLATFORM_OPERATOR "platform"

/* Message whose HMAC with the peer key is the X-Peer-Digest header. */
#define PEER_DIGEST_MESSAGE "document"

typedef int (*request_handler_t)(const console_request_t *req,
				 console_response_t *resp, void *arg);

typedef struct route {
	const char *method;
	const char *path;
	request_handler_t handler;
} route_t;

static int get_counters(const console_request_t *req, console_response_t *resp,
			void *arg);
static int get_status(const console_request_t *req, console_response_t *resp,
		      void *arg);
static int get_document(const console_request_t *req, console_response_t *resp,
			void *arg);
static int put_document(const console_request_t *req, console_response_t *resp,
			void *arg);
static int post_job(const console_request_t *req, console_response_t *resp,
		    void *arg);
static int get_job(const console_request_t *req, console_response_t *resp,
		   void *arg);
static int delete_job(const console_request_t *req, console_response_t *resp,
		      void *arg);
static int post_drain(const console_request_t *req, console_response_t *resp,
		      void *arg);
static int respond_unknown_path(const console_request_t *req,
				console_response_t *resp, void *arg);
static bool may_read_document(console_t *console, const console_request_t *req,
			      GError **err);
static bool is_peer(console_t *console, const char *digest);
static int propose_document(console_t *console, const console_request_t *req,
			    console_response_t *resp, const char *text);
static bool read_expected_generation(const console_request_t *req,
				     uint64_t *expected_generation,
				     GError **err);
static bool parse_job(const console_request_t *req, shard_job_t *job,
		      GError **err);
static bool check_operator(const console_request_t *req, const char *required,
			   GError **err);
static int respond_job_state(const console_request_t *req,
			     console_response_t *resp, const char *job,
			     const char *state);
static int forward_or_refuse_job(console_t *console, const char *owner,
				 const console_request_t *req,
				 console_response_t *resp, GError *err);

static const route_t routes[] = {
	{ "GET", "/counters", get_counters },
	{ "GET", "/v1/status", get_status },
	{ "GET", "/v1/document", get_document },
	{ "PUT", "/v1/document", put_document },
	{ "POST", "/v1/jobs", post_job },
	{ "GET", "/v1/jobs/:domain/:name", get_job },
	{ "DELETE", "/v1/jobs/:domain/:name", delete_job },
	{ "POST", "/v1/drain", post_drain },
};

void console_add_api_endpoints(console_t *console)
{
	size_t i;

	for (i = 0; i < G_N_ELEMENTS(routes); i++)
		/*
		 * The path goes in url_format, not url_prefix: ulfius reads
		 * ":name" variables only there.
		 */
		ulfius_add_endpoint_by_val(&console->instance, routes[i].method,
					   NULL, routes[i].path, 0,
					   routes[i].handler, console);
	ulfius_set_default_endpoint(&console->instance, respond_unknown_path,
				    console);
}

static int get_counters(const console_request_t *req, console_response_t *resp,
			void *arg)
{
	char *text = counter_format_all();

	(void)req;
	(void)arg;
	ulfius_set_string_body_response(resp, 200, text);
	u_map_put(resp->map_header, "Content-Type", "text/plain");
	g_free(text);
	return U_CALLBACK_COMPLETE;
}

static int get_status(const console_request_t *req, console_response_t *resp,
		      void *arg)
{
	console_t *console = arg;

	(void)req;
	return console_respond_json(resp, 200,
				    console_status_json(console->node));
}

static int get_document(const console_request_t *req, console_response_t *resp,
			void *arg)
{
	console_t *console = arg;
	g_autofree char *digest = NULL;
	g_autofree char *text = NULL;
	uint64_t generation;
	const char *known;
	GError *err = NULL;
	char generation_text[24];

	if (!may_read_document(console, req, &err))
		return console_refuse(resp, err);
	known = u_map_get(req->map_url, "have");
	text = config_update_for_peer(
		console->node, known ? g_ascii_strtoull(known, NULL, 10) : 0,
		&generation);
	if (!text) {
		gh_error_set(&err, GH_E_NOT_FOUND,
			     "no document is in force yet");
		return console_refuse(resp, err);
	}
	digest = config_digest(console->node, text);
	snprintf(generation_text, sizeof(generation_text), "%" PRIu64,
		 generation);
	ulfius_set_binary_body_response(resp, 200, text, strlen(text));
	u_map_put(resp->map_header, "X-Generation", generation_text);
	u_map_put(resp->map_header, "X-Document-Digest", digest);
	u_map_put(resp->map_header, "Content-Type", "text/plain");
	return U_CALLBACK_COMPLETE;
}

static int put_document(const console_request_t *req, console_response_t *resp,
			void *arg)
{
	console_t *console = arg;
	GError *err = NULL;
	char *text;
	int result;

	if (!console_authenticate(console, req, &err))
		return console_refuse(resp, err);
	text = console_request_body(req, GH_DOCUMENT_MAX, &err);
	if (!text)
		return console_refuse(resp, err);
	result = propose_document(console, req, resp, text);
	g_free(text);
	return result;
}

static int post_job(const console_request_t *req, console_response_t *resp,
		    void *arg)
{
	console_t *console = arg;
	char owner[GH_NAME_MAX + 1] = "";
	GError *err = NULL;
	shard_job_t job;

	if (!console_authenticate(console, req, &err) ||
	    !parse_job(req, &job, &err) ||
	    !check_operator(req, job.department, &err))
		return console_refuse(resp, err);
	if (shard_submit(console->node->shards, &job, owner, &err))
		return respond_job_state(req, resp, job.name, "recorded");
	return forward_or_refuse_job(console, owner, req, resp, err);
}

static int get_job(const console_request_t *req, console_response_t *resp,
		   void *arg)
{
	console_t *console = arg;
	char owner[GH_NAME_MAX + 1] = "";
	GError *err = NULL;
	json_t *json = shard_job_status(
		console->node->shards, u_map_get(req->map_url, "domain"),
		u_map_get(req->map_url, "name"), owner, &err);

	if (json)
		return console_respond_json(resp, 200, json);
	return forward_or_refuse_job(console, owner, req, resp, err);
}

static int delete_job(const console_request_t *req, console_response_t *resp,
		      void *arg)
{
	console_t *console = arg;
	shard_set_t *shards = console->node->shards;
	const char *domain = u_map_get(req->map_url, "domain");
	const char *name = u_map_get(req->map_url, "name");
	char owner[GH_NAME_MAX + 1] = "";
	GError *err = NULL;
	const char *department;
	json_t *json;
	bool permitted;

	if (!console_authenticate(console, req, &err))
		return console_refuse(resp, err);
	json = shard_job_status(shards, domain, name, owner, &err);
	if (!json)
		return forward_or_refuse_job(console, owner, req, resp, err);
	department = json_string_value(json_object_get(json, "department"));
	permitted = check_operator(req, department ? department : "", &err);
	json_decref(json);
	if (!permitted)
		return console_refuse(resp, err);
	if (shard_cancel(shards, domain, name, owner, &err))
		return respond_job_state(req, resp, name, "cancelled");
	return forward_or_refuse_job(console, owner, req, resp, err);
}

/* Only the platform's operator may drain a host. */
static int post_drain(const console_request_t *req, console_response_t *resp,
		      void *arg)
{
	console_t *console = arg;
	GError *err = NULL;

	if (!console_authenticate(console, req, &err) ||
	    !check_operator(req, PLATFORM_OPERATOR, &err))
		return console_refuse(resp, err);
	log_event(LOG_INFO, "drain_asked", "by", PLATFORM_OPERATOR, NULL);
	node_request_drain(console->node);
	return console_respond_json(resp, 200,
				    json_pack("{s:s}", "state", "draining"));
}

static int respond_unknown_path(const console_request_t *req,
				console_response_t *resp, void *arg)
{
	GError *err = NULL;

	(void)arg;
	gh_error_set(&err, GH_E_NOT_FOUND, "no endpoint for %s %s",
		     req->http_verb, req->url_path);
	return console_refuse(resp, err);
}

/* Operators and the other entry hosts may read the document. */
static bool may_read_document(console_t *console, const console_request_t *req,
			      GError **err)
{
	const char *digest = console_request_header(req, "X-Peer-Digest");

	if (digest && is_peer(console, digest))
		return true;
	return console_authenticate(console, req, err);
}

/* Whether a digest shows that the client knows the peer key. */
static bool is_peer(console_t *console, const char *digest)
{
	const settings_t *set = console->node->settings;
	g_autofree char *expected_digest = g_compute_hmac_for_string(
		G_CHECKSUM_SHA256, set->peer_key, sizeof(set->peer_key),
		PEER_DIGEST_MESSAGE, (gssize)strlen(PEER_DIGEST_MESSAGE));

	return session_equal_constant_time(digest, expected_digest);
}

static int propose_document(console_t *console, const console_request_t *req,
			    console_response_t *resp, const char *text)
{
	uint64_t generation = 0;
	GError *err = NULL;
	char *diff = NULL;
	uint64_t expected_generation;
	json_t *members;

	if (!read_expected_generation(req, &expected_generation, &err))
		return console_refuse(resp, err);
	if (console_propose_document(console, text, expected_generation,
				     console_request_header(req, "X-Operator"),
				     &generation, &diff, &err)) {
		g_free(diff);
		return console_respond_json(resp, 200,
					    json_pack("{s:I}", "generation",
						      (json_int_t)generation));
	}
	members = json_object();
	if (diff) {
		json_object_set_new(members, "generation",
				    json_integer((json_int_t)generation));
		json_object_set_new(members, "diff", json_string(diff));
	}
	g_free(diff);
	return console_refuse_with_members(resp, err, members);
}

static bool read_expected_generation(const console_request_t *req,
				     uint64_t *expected_generation,
				     GError **err)
{
	const char *text = console_request_header(req, "X-Expect-Generation");

	if (text && g_ascii_string_to_unsigned(text, 10, 0, INT64_MAX,
					       expected_generation, NULL))
		return true;
	gh_error_set(err, GH_E_BAD_REQUEST,
		     "X-Expect-Generation must be the number of the "
		     "generation that the document replaces, 0 for none");
	return false;
}

static bool parse_job(const console_request_t *req, shard_job_t *job,
		      GError **err)
{
	char *text = console_request_body(req, CONSOLE_JOB_MAX_BYTES, err);
	json_t *json;
	bool valid;

	if (!text)
		return false;
	json = json_body_parse(text, strlen(text), JSON_REJECT_DUPLICATES, err);
	g_free(text);
	if (!json)
		return false;
	valid = shard_job_parse(json, job, err);
	json_decref(json);
	return valid;
}

/* Whether the operator of an authenticated request is the required one. */
static bool check_operator(const console_request_t *req, const char *required,
			   GError **err)
{
	const char *name = console_request_header(req, "X-Operator");

	if (!strcmp(name, required))
		return true;
	gh_error_set(err, GH_E_FORBIDDEN, "this belongs to %s, not to %s",
		     *required ? required : "no department", name);
	return false;
}

/* Logs and reports a change of a job; state is "recorded" or "cancelled". */
static int respond_job_state(const console_request_t *req,
			     console_response_t *resp, const char *job,
			     const char *state)
{
	bool recorded = !strcmp(state, "recorded");

	log_event(LOG_INFO, recorded ? "job_recorded" : "job_cancelled", "by",
		  console_request_header(req, "X-Operator"), "job", job, NULL);
	return console_respond_json(
		resp, 200, json_pack("{s:s, s:s}", "job", job, "state", state));
}

/*
 * Forwards a job request whose shard another host owns to that host; refuses
 * any other request with err.  The set of this host's shards has counted the
 * refusal.  Frees err.
 */
static int forward_or_refuse_job(console_t *console, const char *owner,
				 const console_request_t *req,
				 console_response_t *resp, GError *err)
{
	if (gh_error_kind(err) != GH_E_NOT_OWNER)
		return console_respond_error(resp, err);
	g_error_free(err);
	return console_forward_request(console, owner, req, resp);
}
