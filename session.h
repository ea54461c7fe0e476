/*
 * Operators' sign-in and the console's browser sessions.
 *
 * Secrets are checked against a salted digest in constant time.  Wrong tries
 * are limited by client address, so that no one can lock out an operator by
 * name.  Sessions are bounded in number and end at a stored deadline.
 */
#ifndef SESSION_H
#define SESSION_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#include <glib.h>

#include "core_time.h"
#include "settings.h"

#define SESSION_COUNT_MAX 16
#define SESSION_TOKEN_LEN 64 /* hexadecimal digits */
#define SESSION_TTL_USEC (8 * 3600 * GH_USEC_PER_SEC)
#define SESSION_IDLE_MAX_USEC (30 * 60 * GH_USEC_PER_SEC)

typedef struct session_table session_table_t;

/* What a signed-in browser may know and has typed so far. */
typedef struct session {
	char token[SESSION_TOKEN_LEN + 1];
	char csrf[SESSION_TOKEN_LEN + 1];
	char operator_name[GH_NAME_MAX + 1];
	gh_time_t expires_at;	   /* deadline of the whole session */
	gh_time_t idle_expires_at; /* deadline unless it is used before */
	char *base;  /* text that the draft started from, or NULL */
	char *draft; /* text being edited, or NULL */
	uint64_t base_generation; /* generation of base */
} session_t;

/* Hexadecimal SHA-256 of the salt's text followed by the secret. */
char *session_digest(const char *salt, const char *secret);

/* Fills text with n random bytes as hexadecimal digits and a NUL. */
void session_random_hex(char *text, size_t n);

/* Compares two texts in a time that depends on the length of b only. */
bool session_equal_constant_time(const char *a, const char *b);

session_table_t *session_table_new(const settings_t *settings);
void session_table_free(session_table_t *table);

/*
 * Checks an operator's secret.  Fails with GH_E_UNAUTHENTICATED, or with
 * GH_E_SIGN_IN_LIMIT after too many wrong tries from the client's address.
 */
bool session_check_secret(session_table_t *table, const char *operator_name,
			  const char *secret, const char *client, gh_time_t now,
			  GError **err);

/*
 * Opens a session for an operator that was checked and copies its token.
 * The least recently used session is closed when the table is full.
 */
void session_open(session_table_t *table, const char *operator_name,
		  gh_time_t now, char token[SESSION_TOKEN_LEN + 1]);
void session_close(session_table_t *table, const char *token);

/*
 * The session of a token, locked until session_put(), or NULL when there is
 * none or it has ended.  Takes the place of the base and draft by g_free().
 */
session_t *session_get(session_table_t *table, const char *token,
		       gh_time_t now);
void session_put(session_table_t *table, session_t *session);

/* Sessions open now. */
size_t session_count(session_table_t *table, gh_time_t now);

#endif
