/*
 * Helpers of the tests to start processes, write files and send HTTP requests.
 *
 * Waits poll for an observed state, and fail the test after PROC_WAIT_MS,
 * which is far more than a busy machine needs.
 */
#ifndef PROC_H
#define PROC_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>
#include <sys/types.h>

#include <glib.h>
#include <jansson.h>

#define PROC_WAIT_MS 60000

typedef struct proc {
	pid_t pid; /* 0: not running */
	char *name;
} proc_t;

/* Returns the build directory: environment variable BUILD, or "build". */
const char *proc_build_dir(void);

/*
 * Starts a program of the build directory; args are NULL-terminated, without
 * the program's name.  Its output is appended to
 * $BUILD/results/PROGRAM-PID-NAME.log, PID being that of the test.  With ready
 * set, stdout is read instead, until the line "ready".  The process is killed
 * when the test exits.
 */
void proc_start(proc_t *proc, const char *name, const char *program,
		const char *const *args, bool ready);

/* Sends SIGSTOP and waits until the process has stopped. */
void proc_freeze(proc_t *proc);
/* Sends SIGCONT. */
void proc_resume(proc_t *proc);
/* Sends SIGKILL and reaps the process; does nothing when it is not running. */
void proc_kill(proc_t *proc);
/* Sends SIGTERM and does not wait. */
void proc_send_term(proc_t *proc);

/* Waits until the process exits; returns its exit status, 128 + N for signal N.
 */
int proc_wait(proc_t *proc);

/* Sends SIGTERM and waits; fails the test when the status is not 0. */
void proc_stop(proc_t *proc);
/* Returns whether the process is running; reaps it when it has exited. */
bool proc_running(proc_t *proc);
/* Kills the process and frees its name. */
void proc_clear(proc_t *proc);

/*
 * Runs a program of the build directory until it exits.  Returns its status
 * as proc_wait() does, and its stdout and stderr in *out, for g_free().
 */
int proc_run(const char *program, const char *const *args, char **out);

/* An HTTP response; status is 0 when none was received. */
typedef struct proc_response {
	int status;
	char *body;   /* response body, "" if there is none; never NULL */
	json_t *json; /* parsed body; NULL unless it is an object or array */
	GHashTable *headers; /* lower-case header name to value, or NULL */
	bool unsent; /* nothing of the request was written to the peer */
} proc_response_t;

/*
 * Sends one request and waits for the response.  headers holds lines
 * "NAME: VALUE" and is NULL-terminated, or NULL; body may be NULL.
 */
proc_response_t proc_http(const char *method, const char *url,
			  const char *const *headers, const char *body,
			  int64_t timeout_ms);
/* Sets whether each request of this thread opens a new connection. */
void proc_http_new_connections(bool enabled);
void proc_response_clear(proc_response_t *response);
const char *proc_response_header(const proc_response_t *response,
				 const char *name);

/*
 * Sends a control call to a fake server; fmt formats its JSON body.  Returns
 * the server's state; fails the test when the status is not 200.
 */
json_t *proc_control(const char *address, const char *fmt, ...)
	G_GNUC_PRINTF(2, 3);

/* Sends GET; returns the JSON body, NULL when the status is not 200. */
json_t *proc_get(const char *url);

/*
 * Polls until done(arg) returns true.  Fails the test after PROC_WAIT_MS, with
 * condition in the message.
 */
void proc_wait_until(bool (*done)(void *arg), void *arg, const char *condition);

/* Creates a temporary directory and returns its path. */
char *proc_make_dir(void);
/* Writes a file in the directory and returns its path. */
char *proc_write_file(const char *dir, const char *name, const char *text);
/* Removes the directory and the files in it, and frees the path. */
void proc_remove_dir(char *dir);

/*
 * Reserves a block of loopback addresses and returns its prefix "127.A.B.".
 * No other test gets the block until the descriptor in *lock is closed.
 */
char *proc_reserve_block(int *lock);

#endif
