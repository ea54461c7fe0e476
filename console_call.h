/*
 * Declarations shared by the console's endpoints: the console itself, JSON
 * and error responses, authentication by request headers, and forwarding of
 * requests to the console of another entry host.
 */
#ifndef CONSOLE_CALL_H
#define CONSOLE_CALL_H

#include <stdbool.h>

#include <glib.h>
#include <jansson.h>
#include <ulfius.h>

#include "console.h"
#include "http_client.h"
#include "node.h"
#include "session.h"

/*
 * Maximum size of a request body.  A percent-encoded form takes up to three
 * bytes for each byte of text.
 */
#define CONSOLE_BODY_MAX_BYTES (3 * 1024 * 1024)
#define CONSOLE_JOB_MAX_BYTES (64 * 1024) /* maximum size of a job's JSON */

struct console {
	node_t *node;
	struct _u_instance instance;
	bool running;
	/* HTTP client for requests forwarded to other consoles. */
	http_client_t *client;
	session_table_t *sessions;
	/*
	 * Array with one endpoint for each page; defined and allocated by
	 * console_page.c.
	 */
	struct console_page_endpoint *page_endpoints;
};

typedef struct _u_request console_request_t;
typedef struct _u_response console_response_t;

/*
 * The functions that send a response return the callback status that ulfius
 * expects from an endpoint.
 */

/* Responds with JSON; takes the reference to json. */
int console_respond_json(console_response_t *resp, unsigned status,
			 json_t *json);

/* Counts a refusal and responds with the error; frees err. */
int console_refuse(console_response_t *resp, GError *err);

/*
 * Like console_refuse(), with the members of a JSON object added to the
 * response; frees err and takes the reference to members.
 */
int console_refuse_with_members(console_response_t *resp, GError *err,
				json_t *members);

/* Responds with an error that has been counted before; frees err. */
int console_respond_error(console_response_t *resp, GError *err);

/* Value of a request header, or NULL; the name's case is ignored. */
const char *console_request_header(const console_request_t *req,
				   const char *name);

/* Writes the client's IPv4 address without the port, "-" if unknown. */
void console_client_address(const console_request_t *req, char *text,
			    size_t size);

/*
 * Checks the X-Operator and X-Secret headers; errors as of
 * session_check_secret().
 */
bool console_authenticate(console_t *console, const console_request_t *req,
			  GError **err);

/*
 * Calls config_propose() and, when the document is accepted, logs the
 * operator and the generation.
 */
bool console_propose_document(console_t *console, const char *text,
			      uint64_t expected_generation,
			      const char *operator_name, uint64_t *generation,
			      char **diff, GError **err);

/*
 * A copy of the request's body, freed with g_free().  Fails with
 * GH_E_TOO_LARGE above max_bytes and GH_E_BAD_REQUEST for a NUL byte.
 */
char *console_request_body(const console_request_t *req, size_t max_bytes,
			   GError **err);

/*
 * Forwards a request to the console of the entry host named owner and
 * passes its response on.  A request is forwarded once at most: one that was
 * forwarded before is refused with GH_E_NOT_OWNER, as is one whose owner is
 * not in the document.  Without a response, responds with GH_E_PEER_DOWN when
 * nothing was sent, else with GH_E_TIMEOUT.
 */
int console_forward_request(console_t *console, const char *owner,
			    const console_request_t *req,
			    console_response_t *resp);

/* Registers the JSON endpoints; console_page.h registers the pages. */
void console_add_api_endpoints(console_t *console);

#endif
