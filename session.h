/*
 * Operators' sign-in and the console's browser sessions.
 *
 * Secrets are compared with a salted digest in constant time.  Failed attempts
 * are limited by client address, not by operator, so that nobody can lock an
 * operator out by guessing.  The number of sessions is bounded, and each ends
 * at a fixed deadline or when it is idle.
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
#define SESSION_TOKEN_LEN 64 /* length of a token, in hexadecimal digits */
#define SESSION_TTL_USEC (8 * 3600 * GH_USEC_PER_SEC)
#define SESSION_IDLE_MAX_USEC (30 * 60 * GH_USEC_PER_SEC)

typedef struct session_table session_table_t;

/* Data of one signed-in browser. */
typedef struct session {
	char token[SESSION_TOKEN_LEN + 1];
	char csrf[SESSION_TOKEN_LEN + 1];
	char operator_name[GH_NAME_MAX + 1];
	/* Time at which the session ends in any case. */
	gh_time_t expires_at;
	/* Time at which the session ends unless it is used before. */
	gh_time_t idle_expires_at;
	char *base; /* document text that the draft started from, or NULL */
	/*
	 * Document text as edited by the operator; NULL before the first
	 * change.
	 */
	char *draft;
	uint64_t base_generation; /* generation of the document in base */
} session_t;

/*
 * Hexadecimal SHA-256 of the salt's text followed by the secret; freed with
 * g_free().
 */
char *session_secret_digest(const char *salt, const char *secret);

/* Writes n random bytes as 2n hexadecimal digits and a final NUL. */
void session_random_hex(char *text, size_t n);

/* Whether two texts are equal; the time depends on the length of b only. */
bool session_equal_constant_time(const char *a, const char *b);

/* Creates an empty table; the settings must outlive it. */
session_table_t *session_table_new(const settings_t *settings);
void session_table_free(session_table_t *table);

/*
 * Checks an operator's secret and counts the sign-in as passed or refused.
 * Fails with GH_E_UNAUTHENTICATED for a wrong operator or secret, and with
 * GH_E_SIGN_IN_LIMIT after too many failed attempts from the client's address.
 */
bool session_check_secret(session_table_t *table, const char *operator_name,
			  const char *secret, const char *client, gh_time_t now,
			  GError **err);

/*
 * Opens a session for an operator whose secret was checked and copies its
 * token.  The least recently used session is closed when the table is full.
 */
void session_open(session_table_t *table, const char *operator_name,
		  gh_time_t now, char token[SESSION_TOKEN_LEN + 1]);

/* Closes the session that has this token, if there is one. */
void session_close(session_table_t *table, const char *token);

/*
 * The session with a token, or NULL when there is none or it has ended.  It
 * counts as used now.  The whole table stays locked until session_put().  A
 * caller that replaces base or draft frees the old text with g_free().
 */
session_t *session_get(session_table_t *table, const char *token,
		       gh_time_t now);

/* Unlocks the table after session_get(); does nothing for NULL. */
void session_put(session_table_t *table, session_t *session);

/* Number of open sessions. */
size_t session_count(session_table_t *table, gh_time_t now);

#endif
