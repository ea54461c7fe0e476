/*
 * HTTP calls of the command-line tool to the console of a daemon, made with
 * the client functions of ulfius.
 */
#ifndef CTL_CALL_H
#define CTL_CALL_H

#include <stdbool.h>
#include <stddef.h>

#include <jansson.h>

#include "ctl_command.h"

/*
 * One HTTP call.  The caller sets the request; ctl_send() stores the response,
 * which ctl_call_clear() frees.
 */
typedef struct ctl_call {
	const char *method;
	const char *path;
	const char *body; /* body of the request; NULL for none */
	/* Request headers as name, value, ..., NULL; or NULL for none. */
	const char *const *headers;
	/*
	 * The call changes state; it is sent only once, since its outcome is
	 * unknown if the response is lost.
	 */
	bool write;
	/* IP:PORT of the host that the call was sent to; set by ctl_send(). */
	char *host;
	long status;	  /* status of the HTTP response */
	char *response;	  /* body of the response; NUL-terminated */
	json_t *json;	  /* the response body when it is JSON, or NULL */
	char *generation; /* header X-Generation of the response, or NULL */
	char *outcome;	  /* header X-Outcome of the response, or NULL */
} ctl_call_t;

/*
 * Sends a call to the hosts given by --host, in turn, until one responds.  A
 * write is sent once, to the first host that responds to a read.  Returns
 * CTL_OK when the status of the response is below 400; otherwise prints an
 * error and returns the exit code.
 */
int ctl_send(const ctl_options_t *opt, ctl_call_t *call);

/* Frees the host and the response, and sets them to NULL. */
void ctl_call_clear(ctl_call_t *call);

/* Prints a value to standard output as indented JSON with sorted keys. */
void ctl_print_json(const json_t *json);

#endif
