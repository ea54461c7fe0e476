#include "session.h"

#include <pthread.h>
#include <string.h>
#include <sys/random.h>

#include "counter.h"

/*
 * Failed sign-in attempts that are allowed at once from an address, and the
 * time after which one more is allowed.
 */
#define FAILED_ATTEMPTS_BURST 10
#define FAILED_ATTEMPT_INTERVAL_USEC (5 * GH_USEC_PER_SEC)
#define ATTEMPT_SLOT_COUNT 256

struct session_table {
	const settings_t *settings;
	pthread_mutex_t lock;
	/* Open sessions; a free entry has an empty token. */
	session_t sessions[SESSION_COUNT_MAX];
	/*
	 * Time at which FAILED_ATTEMPTS_BURST failed sign-in attempts are
	 * allowed again.  Indexed by a hash of the client's address; addresses
	 * with the same hash share a limit.
	 */
	gh_time_t attempts_restored_at[ATTEMPT_SLOT_COUNT];
};

static session_t *find_session(session_table_t *table, const char *token);
static session_t *least_recently_used(session_table_t *table);
static void clear_session(session_t *session);
static void close_expired(session_table_t *table, gh_time_t now);
static gh_time_t *attempt_slot(session_table_t *table, const char *client);
static bool secret_matches(const settings_operator_t *operator_entry,
			   const char *secret);

char *session_secret_digest(const char *salt, const char *secret)
{
	GChecksum *checksum = g_checksum_new(G_CHECKSUM_SHA256);
	char *digest;

	g_checksum_update(checksum, (const guchar *)salt, (gssize)strlen(salt));
	g_checksum_update(checksum, (const guchar *)secret,
			  (gssize)strlen(secret));
	digest = g_strdup(g_checksum_get_string(checksum));
	g_checksum_free(checksum);
	return digest;
}

void session_random_hex(char *text, size_t n)
{
	static const char digits[] = "0123456789abcdef";
	uint8_t byte;
	size_t i;

	for (i = 0; i < n; i++) {
		while (getrandom(&byte, 1, 0) != 1)
			continue;
		text[2 * i] = digits[byte >> 4];
		text[2 * i + 1] = digits[byte & 15];
	}
	text[2 * n] = '\0';
}

bool session_equal_constant_time(const char *a, const char *b)
{
	size_t a_len = strlen(a);
	size_t b_len = strlen(b);
	volatile unsigned char difference = a_len != b_len;
	size_t i;

	for (i = 0; i < b_len; i++)
		difference |= (unsigned char)(a[a_len ? i % a_len : 0] ^ b[i]);
	return !difference;
}

session_table_t *session_table_new(const settings_t *settings)
{
	session_table_t *table = g_new0(session_table_t, 1);

	table->settings = settings;
	pthread_mutex_init(&table->lock, NULL);
	return table;
}

void session_table_free(session_table_t *table)
{
	size_t i;

	if (!table)
		return;
	for (i = 0; i < SESSION_COUNT_MAX; i++)
		clear_session(&table->sessions[i]);
	pthread_mutex_destroy(&table->lock);
	g_free(table);
}

bool session_check_secret(session_table_t *table, const char *operator_name,
			  const char *secret, const char *client, gh_time_t now,
			  GError **err)
{
	const settings_operator_t *operator_entry = NULL;
	gh_time_t *restored_at = attempt_slot(table, client);
	bool allowed;
	bool ok;

	if (operator_name)
		operator_entry =
			settings_operator(table->settings, operator_name);
	ok = secret_matches(operator_entry, secret ? secret : "");
	pthread_mutex_lock(&table->lock);
	allowed = *restored_at - now <=
		  (FAILED_ATTEMPTS_BURST - 1) * FAILED_ATTEMPT_INTERVAL_USEC;
	if (allowed && !ok)
		*restored_at =
			MAX(*restored_at, now) + FAILED_ATTEMPT_INTERVAL_USEC;
	pthread_mutex_unlock(&table->lock);
	if (ok && allowed) {
		counter_inc(CTR_SIGN_INS);
		return true;
	}
	counter_inc(CTR_SIGN_INS_REFUSED);
	if (!allowed)
		gh_error_set(err, GH_E_SIGN_IN_LIMIT,
			     "too many wrong secrets from %s", client);
	else
		gh_error_set(err, GH_E_UNAUTHENTICATED,
			     "operator \"%s\" and secret do not match",
			     operator_name ? operator_name : "");
	return false;
}

void session_open(session_table_t *table, const char *operator_name,
		  gh_time_t now, char token[SESSION_TOKEN_LEN + 1])
{
	session_t *session;

	pthread_mutex_lock(&table->lock);
	close_expired(table, now);
	session = find_session(table, "");
	if (!session)
		session = least_recently_used(table);
	clear_session(session);
	session_random_hex(session->token, SESSION_TOKEN_LEN / 2);
	session_random_hex(session->csrf, SESSION_TOKEN_LEN / 2);
	g_strlcpy(session->operator_name, operator_name,
		  sizeof(session->operator_name));
	session->expires_at = now + SESSION_TTL_USEC;
	session->idle_expires_at = now + SESSION_IDLE_MAX_USEC;
	memcpy(token, session->token, sizeof(session->token));
	pthread_mutex_unlock(&table->lock);
}

void session_close(session_table_t *table, const char *token)
{
	session_t *session;

	pthread_mutex_lock(&table->lock);
	session = *token ? find_session(table, token) : NULL;
	if (session)
		clear_session(session);
	pthread_mutex_unlock(&table->lock);
}

session_t *session_get(session_table_t *table, const char *token, gh_time_t now)
{
	session_t *session;

	pthread_mutex_lock(&table->lock);
	close_expired(table, now);
	session = token && *token ? find_session(table, token) : NULL;
	if (!session) {
		pthread_mutex_unlock(&table->lock);
		return NULL;
	}
	session->idle_expires_at = now + SESSION_IDLE_MAX_USEC;
	return session;
}

void session_put(session_table_t *table, session_t *session)
{
	if (session)
		pthread_mutex_unlock(&table->lock);
}

size_t session_count(session_table_t *table, gh_time_t now)
{
	size_t n = 0;
	size_t i;

	pthread_mutex_lock(&table->lock);
	close_expired(table, now);
	for (i = 0; i < SESSION_COUNT_MAX; i++)
		if (*table->sessions[i].token)
			n++;
	pthread_mutex_unlock(&table->lock);
	return n;
}

/*
 * Returns the session with a token, or NULL; the empty token finds a free
 * entry.
 */
static session_t *find_session(session_table_t *table, const char *token)
{
	size_t i;

	for (i = 0; i < SESSION_COUNT_MAX; i++)
		if (session_equal_constant_time(table->sessions[i].token,
						token))
			return &table->sessions[i];
	return NULL;
}

/* The session with the earliest idle deadline; the table must be full. */
static session_t *least_recently_used(session_table_t *table)
{
	session_t *session = &table->sessions[0];
	size_t i;

	for (i = 1; i < SESSION_COUNT_MAX; i++)
		if (table->sessions[i].idle_expires_at <
		    session->idle_expires_at)
			session = &table->sessions[i];
	return session;
}

static void clear_session(session_t *session)
{
	g_free(session->base);
	g_free(session->draft);
	memset(session, 0, sizeof(*session));
}

static void close_expired(session_table_t *table, gh_time_t now)
{
	size_t i;

	for (i = 0; i < SESSION_COUNT_MAX; i++) {
		session_t *session = &table->sessions[i];

		if (*session->token && (now >= session->expires_at ||
					now >= session->idle_expires_at))
			clear_session(session);
	}
}

/* Entry of attempts_restored_at for a client's address. */
static gh_time_t *attempt_slot(session_table_t *table, const char *client)
{
	return &table->attempts_restored_at[g_str_hash(client) %
					    ATTEMPT_SLOT_COUNT];
}

/*
 * Whether the secret is that of the operator.  Takes as long for an unknown
 * operator as for a wrong secret, so that the time does not reveal which
 * operators exist.
 */
static bool secret_matches(const settings_operator_t *operator_entry,
			   const char *secret)
{
	char *digest = session_secret_digest(
		operator_entry ? operator_entry->salt : "", secret);
	char *expected_digest = g_ascii_strdown(
		operator_entry ? operator_entry->digest : "", -1);
	bool ok = session_equal_constant_time(expected_digest, digest) &&
		  operator_entry && *secret;

	g_free(expected_digest);
	g_free(digest);
	return ok;
}
