/*
 * What the console's endpoints share: the console itself, typed answers,
 * sign-in by headers and passing calls on to another entry host.
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

#define CONSOLE_BODY_MAX_BYTES                                        \
	(3 * 1024 * 1024)		  /* bytes; forms are encoded \
					   */
#define CONSOLE_JOB_MAX_BYTES (64 * 1024) /* bytes of a job's JSON */

struct console {
	node_t *node;
	struct _u_instance instance;
	bool running;
	http_client_t *client; /* to other consoles */
	session_table_t *sessions;
	struct console_page_endpoint *page_endpoints; /* of console_page.c */
};

typedef struct _u_request console_request_t;
typedef struct _u_response console_response_t;

/* Answers with JSON; takes the reference. */
int console_respond_json(console_response_t *resp, unsigned status,
			 json_t *json);

/* Counts a refusal and answers with it; takes the error. */
int console_refuse(console_response_t *resp, GError *err);

/* The same with further members beside the error; takes both. */
int console_refuse_with_members(console_response_t *resp, GError *err,
				json_t *members);

/* The same for an error that the part which raised it has counted. */
int console_respond_error(console_response_t *resp, GError *err);

/* A request header in any case, or NULL. */
const char *console_request_header(const console_request_t *req,
				   const char *name);

/* Address of the client, without its port. */
void console_client_address(const console_request_t *req, char *text,
			    size_t size);

/* Checks X-Operator and X-Secret. */
bool console_authenticate(console_t *console, const console_request_t *req,
			  GError **err);

/* Proposes a document as config_propose() does, and logs who changed it. */
bool console_propose_document(console_t *console, const char *text,
			      uint64_t expected_generation,
			      const char *operator_name, uint64_t *generation,
			      char **diff, GError **err);

/* Body of a request as text, or NULL when it is longer or has a NUL. */
char *console_request_body(const console_request_t *req, size_t max_bytes,
			   GError **err);

/*
 * Passes a call on to the console of another entry host, once, and answers
 * with what came back.
 */
int console_forward_request(console_t *console, const char *owner,
			    const console_request_t *req,
			    console_response_t *resp);

/* Adds the JSON endpoints; the pages of console_page.h come apart. */
void console_add_api_endpoints(console_t *console);

#endif
