/*
 * Tests of a watch while the store's replies stay away: the changes made since
 * have to be known soon after the end, whatever the call in flight and the
 * open connections were doing.
 */
#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <stdint.h>

#include <cmocka.h>
#include <glib.h>
#include <inttypes.h>
#include <string.h>
#include <sys/epoll.h>
#include <sys/socket.h>
#include <unistd.h>

#include "clock.h"
#include "fleet_watch.h"
#include "log.h"
#include "platform/platform.h"
#include "raw_server.h"

/* Hosts apply a change this long after the store is back, or after it. */
#define CONTACT_MS 3000
#define APPLY_MS 2000
/* Part of these for decoding and for other work on a slow host. */
#define WORK_MS 1000
/* Each play begins with replies, so that connections are open and idle. */
#define CALM_MS 1200
#define READS_AT_MS 150
#define IDLE_CONNECTIONS 3
#define CHANGE_INTERVAL_MS 400
#define CHANGES 8
#define CONFIGURED 5 /* revision before the first change */
#define PLAYS 40
#define TICK_MS 5
#define REQUEST_MAX 1024
/* Calls in so much time of silence, beside the first two. */
#define MS_PER_CALL 500
#define PIECES 4
#define PIECE_INTERVAL_MS 350

typedef struct silence_case {
	const char *name;
	int silent_ms, silent_step_ms; /* of the first play, added by each */
	bool pieces; /* replies after the silence arrive in pieces */
} silence_case_t;

typedef struct connection {
	int fd;
	bool dead; /* nothing is sent any more */
	char request[REQUEST_MAX];
	size_t len;
	bool watching;
	uint64_t after;
	gh_time_t reply_at; /* latest time of the reply */
	GString *pieces;    /* rest of a reply, or NULL */
	size_t piece_len;
	gh_time_t piece_at;
} connection_t;

typedef struct play {
	int listen_fd;
	GHashTable *connections; /* by descriptor */
	fleet_store_t *store;
	fleet_watch_t *watch;
	bool in_pieces;
	gh_time_t silent_at, end_at; /* of the silence */
	bool reads_made;
	bool was_silenced;
	uint64_t revision;
	unsigned calls; /* during the silence */
	gh_time_t changed_at[CHANGES + 1];
	gh_time_t heard_at[CHANGES + 1];
	gh_time_t silent; /* before the first change heard */
} play_t;

/* A loop is never freed; this keeps it from being reported as a leak. */
static loop_t *loop;

static const silence_case_t cases[] = {
	{ "connections go silent, new ones work", 0, 0, false },
	{ "short silence", 80, 80, false },
	{ "long silence", 2000, 80, false },
	{ "silence, then a slow link", 1000, 40, true },
};

static bool is_silent(const play_t *play, gh_time_t now)
{
	return now >= play->silent_at && now < play->end_at;
}

static void send_text(connection_t *conn, const char *text, size_t len)
{
	ssize_t n = send(conn->fd, text, len, MSG_NOSIGNAL);

	(void)n; /* the client may have given up */
}

/* Replies with the changes after a revision, as a range or as events. */
static void reply(play_t *play, connection_t *conn, const char *list)
{
	GString *body = g_string_new(NULL);
	GString *text = g_string_new(NULL);
	uint64_t r;

	for (r = conn->after + 1; r <= play->revision; r++)
		g_string_append_printf(
			body,
			"%s{\"key\":\"op/config\",\"value\":\"eA==\","
			"\"revision\":%" PRIu64 "}",
			body->len ? "," : "", r);
	g_string_append_printf(text, "],\"at\":%" PRIu64 "}", play->revision);
	g_string_append(body, text->str);
	g_string_printf(text,
			"HTTP/1.1 200 OK\r\nContent-Length: %zu\r\n\r\n"
			"{\"%s\":[%s",
			body->len + strlen(list) + strlen("{\"\":["), list,
			body->str);
	conn->watching = false;
	if (play->in_pieces && clock_boot() > play->end_at) {
		conn->pieces = text;
		conn->piece_len = text->len / PIECES + 1;
		conn->piece_at = clock_boot();
	} else {
		send_text(conn, text->str, text->len);
		g_string_free(text, TRUE);
	}
	g_string_free(body, TRUE);
}

static void send_piece(connection_t *conn, gh_time_t now)
{
	size_t len = MIN(conn->pieces->len, conn->piece_len);

	if (now < conn->piece_at)
		return;
	send_text(conn, conn->pieces->str, len);
	g_string_erase(conn->pieces, 0, (gssize)len);
	conn->piece_at = now + gh_time_from_ms(PIECE_INTERVAL_MS);
	if (conn->pieces->len)
		return;
	g_string_free(conn->pieces, TRUE);
	conn->pieces = NULL;
}

static void serve_request(play_t *play, connection_t *conn)
{
	const char *after = strstr(conn->request, "&after=");
	const char *wait = strstr(conn->request, "&wait_ms=");

	conn->len = 0;
	if (is_silent(play, clock_boot())) {
		play->calls++;
		conn->dead = true;
	} else if (after && wait) {
		conn->watching = true;
		conn->after = g_ascii_strtoull(after + 7, NULL, 10);
		conn->reply_at =
			clock_boot() +
			gh_time_from_ms(g_ascii_strtoll(wait + 9, NULL, 10));
	} else {
		conn->after = play->revision - 1;
		reply(play, conn, "items");
	}
}

static void close_connection(gpointer data)
{
	connection_t *conn = data;

	close(conn->fd);
	if (conn->pieces)
		g_string_free(conn->pieces, TRUE);
	g_free(conn);
}

static void on_readable(void *ctx, int fd, uint32_t events)
{
	play_t *play = ctx;
	connection_t *conn =
		g_hash_table_lookup(play->connections, GINT_TO_POINTER(fd));
	ssize_t n = recv(fd, conn->request + conn->len,
			 sizeof(conn->request) - 1 - conn->len, MSG_DONTWAIT);

	(void)events;
	if (n <= 0) {
		loop_watch(loop, fd, 0, NULL, NULL);
		g_hash_table_remove(play->connections, GINT_TO_POINTER(fd));
		return;
	}
	conn->len += (size_t)n;
	conn->request[conn->len] = '\0';
	if (conn->dead)
		conn->len = 0;
	else if (strstr(conn->request, "\r\n\r\n"))
		serve_request(play, conn);
}

static void on_connection(void *ctx, int fd, uint32_t events)
{
	play_t *play = ctx;
	connection_t *conn = g_new0(connection_t, 1);

	(void)events;
	conn->fd = accept(fd, NULL, NULL);
	assert_true(conn->fd >= 0);
	g_hash_table_insert(play->connections, GINT_TO_POINTER(conn->fd), conn);
	loop_watch(loop, conn->fd, EPOLLIN, on_readable, play);
}

static void on_read(void *ctx, const fleet_reply_t *reply)
{
	(void)ctx;
	(void)reply;
}

static void on_config(void *ctx, const fleet_item_t *item)
{
	play_t *play = ctx;
	uint64_t n;

	if (item->revision > CONFIGURED && !play->silent)
		play->silent = fleet_watch_last_reply_at(play->watch) -
			       fleet_watch_previous_reply_at(play->watch);
	for (n = 1; n <= CHANGES && CONFIGURED + n <= item->revision; n++)
		if (!play->heard_at[n])
			play->heard_at[n] = clock_boot();
}

static void make_reads(play_t *play)
{
	int i;

	play->reads_made = true;
	for (i = 0; i < IDLE_CONNECTIONS; i++)
		play->store->ops->get(play->store, FLEET_KEYSPACE_CONFIG,
				      "config", on_read, NULL);
}

static void silence_connections(play_t *play)
{
	GHashTableIter iter;
	gpointer value;

	play->was_silenced = true;
	g_hash_table_iter_init(&iter, play->connections);
	while (g_hash_table_iter_next(&iter, NULL, &value))
		((connection_t *)value)->dead = true;
}

static void serve(play_t *play, gh_time_t now)
{
	GHashTableIter iter;
	gpointer value;

	if (!play->reads_made &&
	    now > play->silent_at - gh_time_from_ms(CALM_MS - READS_AT_MS))
		make_reads(play);
	if (!play->was_silenced && now >= play->silent_at)
		silence_connections(play);
	while (play->revision < CONFIGURED + CHANGES &&
	       now >= play->end_at + gh_time_from_ms((int64_t)(play->revision -
							       CONFIGURED) *
						     CHANGE_INTERVAL_MS)) {
		play->revision++;
		play->changed_at[play->revision - CONFIGURED] = now;
	}
	g_hash_table_iter_init(&iter, play->connections);
	while (g_hash_table_iter_next(&iter, NULL, &value)) {
		connection_t *conn = value;

		if (conn->dead)
			continue;
		if (conn->pieces)
			send_piece(conn, now);
		else if (conn->watching && (now >= conn->reply_at ||
					    play->revision > conn->after))
			reply(play, conn, "events");
	}
}

static play_t plays[G_N_ELEMENTS(cases)][PLAYS];
static loop_timer_t tick;

static void on_tick(void *ctx, gh_time_t now)
{
	gh_time_t last = 0;
	size_t i, n;

	(void)ctx;
	for (i = 0; i < G_N_ELEMENTS(cases); i++)
		for (n = 0; n < PLAYS; n++) {
			serve(&plays[i][n], now);
			last = MAX(last, plays[i][n].end_at);
		}
	if (now >
	    last + gh_time_from_ms(CHANGES * CHANGE_INTERVAL_MS + CONTACT_MS))
		loop_stop(loop);
	tick.at = now + gh_time_from_ms(TICK_MS);
}

/* The plays of a case differ in when in a watch's call the silence begins. */
static void start_play(play_t *play, const silence_case_t *c, int n)
{
	fleet_watch_listener_t listener = { .item_changed = on_config,
					    .ctx = play };
	char address[RAW_ADDRESS_MAX];

	*play = (play_t){ .in_pieces = c->pieces, .revision = CONFIGURED };
	play->silent_at = clock_boot() + gh_time_from_ms(CALM_MS + 40L * n);
	play->end_at =
		play->silent_at +
		gh_time_from_ms(c->silent_ms + (int64_t)c->silent_step_ms * n);
	play->connections =
		g_hash_table_new_full(NULL, NULL, NULL, close_connection);
	play->listen_fd = raw_listen(address);
	assert_true(play->listen_fd >= 0);
	loop_watch(loop, play->listen_fd, EPOLLIN, on_connection, play);
	play->store = platform_store_new(loop, address);
	play->watch = fleet_watch_new(loop, play->store, FLEET_KEYSPACE_CONFIG,
				      "config", &listener);
}

static void end_play(play_t *play)
{
	fleet_watch_free(play->watch);
	platform_store_close(play->store);
	platform_store_free(play->store);
	g_hash_table_destroy(play->connections);
	close(play->listen_fd);
}

/* Returns by how much the latest change was heard too late; < 0: in time. */
static int64_t check_play(const play_t *play, const silence_case_t *c)
{
	int64_t worst = INT64_MIN;
	int64_t silent = gh_time_to_ms(play->end_at - play->silent_at);
	int64_t slower = c->pieces ? PIECES * 2 * PIECE_INTERVAL_MS : 0;
	int n;

	for (n = 1; n <= CHANGES; n++) {
		int64_t limit =
			MAX(gh_time_to_ms(play->end_at) + CONTACT_MS,
			    gh_time_to_ms(play->changed_at[n]) + APPLY_MS) -
			WORK_MS + slower;

		worst = MAX(worst, gh_time_to_ms(play->heard_at[n] ?
							 play->heard_at[n] :
							 clock_boot()) -
					   limit);
	}
	if (play->heard_at[1])
		assert_true(play->silent >= play->end_at - play->silent_at);
	assert_in_range(play->calls, 0,
			2 + IDLE_CONNECTIONS + silent / MS_PER_CALL);
	return worst;
}

static void test_late_config_after_silence(void **state)
{
	int64_t worst = INT64_MIN;
	size_t i;
	int n;

	(void)state;
	loop = loop_new();
	for (i = 0; i < G_N_ELEMENTS(cases); i++)
		for (n = 0; n < PLAYS; n++)
			start_play(&plays[i][n], &cases[i], n);
	tick = (loop_timer_t){ .at = 0, .run = on_tick };
	loop_timer_add(loop, &tick);
	loop_run(loop);
	for (i = 0; i < G_N_ELEMENTS(cases); i++) {
		int64_t latest = INT64_MIN;

		for (n = 0; n < PLAYS; n++) {
			latest = MAX(latest,
				     check_play(&plays[i][n], &cases[i]));
			end_play(&plays[i][n]);
		}
		print_message("%s: %" PRId64 " ms beyond the limit\n",
			      cases[i].name, latest);
		worst = MAX(worst, latest);
	}
	assert_true(worst <= 0);
}

int main(void)
{
	static const struct CMUnitTest tests[] = {
		cmocka_unit_test(test_late_config_after_silence),
	};

	log_init("test", LOG_ERROR);
	return cmocka_run_group_tests(tests, NULL, NULL);
}
