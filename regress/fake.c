#include "fake.h"

#include <errno.h>
#include <fcntl.h>
#include <netinet/tcp.h>
#include <poll.h>
#include <pthread.h>
#include <signal.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <sys/socket.h>
#include <time.h>
#include <unistd.h>

#define HEAD_MAX_BYTES 65536
#define BODY_MAX_BYTES (4u * 1024 * 1024)
#define READ_BYTES 16384
#define STACK_BYTES (256u * 1024)
#define BACKLOG 1024
#define SILENCE_POLL_MS 5
/* First interval between two attempts to connect. */
#define REPEAT_MS 100

struct fake_port {
	fake_t *self;
	unsigned max_connections; /* max open connections; 0: no limit */
	int fd;
	int64_t idle_ms; /* unused connections are closed then; 0: never */
	int poll_ms; /* max time that the end of a silence is noticed late; -1:
			no silences */
	pthread_mutex_t lock;	 /* of all below */
	GPtrArray *connections;	 /* open ones, of type conn_t */
	unsigned silences;	 /* number of silences so far */
	int64_t silent_until_ms; /* boot clock */
	bool serves_late;	 /* also connections that their caller closed */
};

typedef struct conn {
	fake_port_t *port;
	int fd;
	unsigned silences; /* of the port when this was accepted */
	int64_t opened_ms; /* boot clock */
	bool waits;	   /* opened in a silence, and to be served after it */
	bool sent_lost;	   /* its caller sent something in a later silence */
	GString *input;	   /* bytes received but not yet parsed as a request */
} conn_t;

static void port_init(fake_port_t *port, fake_t *self, unsigned max_connections,
		      int fd, int poll_ms);
static void *port_main(void *arg);
static void accept_connection(fake_port_t *port);
static bool has_given_up(int client);
static bool await_repeat(conn_t *conn);
static bool is_lost(const conn_t *conn);
static void reset_connection(const conn_t *conn);
static void reset_lost_connections(fake_port_t *port, bool all);
static void *conn_main(void *arg);
static bool reset_if_lost(conn_t *conn);
static bool serve_request(conn_t *conn);
static bool receive_more(conn_t *conn);
static bool read_request(conn_t *conn, fake_request_t *req);
static bool parse_head(fake_request_t *req, char *head);
static void parse_query(GHashTable *query, const char *text);
static void dispatch(fake_t *self, const fake_request_t *req,
		     fake_reply_t *reply);
static void handle_control(fake_t *self, const fake_request_t *req,
			   fake_reply_t *reply);
static bool send_reply(conn_t *conn, const fake_reply_t *reply);
static bool send_all(int fd, const char *data, size_t len);
static void request_clear(fake_request_t *req);
static int64_t read_clock_ms(clockid_t id);

int fake_serve(fake_t *self, const char *listen_on, unsigned max_connections)
{
	fake_port_t port;
	struct sockaddr_in addr;
	int fd;

	signal(SIGPIPE, SIG_IGN);
	if (!fake_parse_address(listen_on, &addr)) {
		fprintf(stderr, "invalid listen address, not IP:PORT: %s\n",
			listen_on);
		return 2;
	}
	fd = fake_listen(&addr, false);
	if (fd < 0)
		return 1;
	port_init(&port, self, max_connections, fd, -1);
	puts("ready");
	fflush(stdout);
	port_main(&port);
	return 1;
}

fake_port_t *fake_port_open(fake_t *self, const char *listen_on,
			    int64_t idle_ms)
{
	fake_port_t *port;
	struct sockaddr_in addr;
	pthread_t thread;
	int fd;

	if (!fake_parse_address(listen_on, &addr))
		return NULL;
	fd = fake_listen(&addr, false);
	if (fd < 0)
		return NULL;
	port = g_new0(fake_port_t, 1);
	port_init(port, self, 0, fd, SILENCE_POLL_MS);
	port->idle_ms = idle_ms;
	if (pthread_create(&thread, NULL, port_main, port))
		abort();
	pthread_detach(thread);
	return port;
}

void fake_port_silence(fake_port_t *port, int64_t until_ms, bool resets,
		       bool serves_late)
{
	pthread_mutex_lock(&port->lock);
	port->silences++;
	port->serves_late = serves_late;
	if (resets)
		reset_lost_connections(port, true);
	port->silent_until_ms = MAX(port->silent_until_ms, until_ms);
	pthread_mutex_unlock(&port->lock);
}

bool fake_request_is_lost(const fake_request_t *req)
{
	return is_lost(req->conn);
}

bool fake_parse_address(const char *text, struct sockaddr_in *addr)
{
	const char *colon = strrchr(text, ':');
	char *ip;
	bool ok;

	if (!colon)
		return false;
	memset(addr, 0, sizeof(*addr));
	addr->sin_family = AF_INET;
	addr->sin_port = htons((uint16_t)strtoul(colon + 1, NULL, 10));
	ip = g_strndup(text, (gsize)(colon - text));
	ok = inet_pton(AF_INET, ip, &addr->sin_addr) == 1;
	g_free(ip);
	return ok;
}

int fake_listen(const struct sockaddr_in *addr, bool udp)
{
	int fd = socket(AF_INET, udp ? SOCK_DGRAM : SOCK_STREAM, 0);
	int enabled = 1;

	if (fd < 0)
		return -1;
	setsockopt(fd, SOL_SOCKET, SO_REUSEADDR, &enabled, sizeof(enabled));
	if (bind(fd, (const struct sockaddr *)addr, sizeof(*addr)) < 0 ||
	    (!udp && listen(fd, BACKLOG) < 0)) {
		perror("bind or listen");
		close(fd);
		return -1;
	}
	return fd;
}

const char *fake_header(const fake_request_t *req, const char *name)
{
	return g_hash_table_lookup(req->headers, name);
}

const char *fake_query(const fake_request_t *req, const char *name)
{
	return g_hash_table_lookup(req->query, name);
}

int64_t fake_json_int(const json_t *obj, const char *key, int64_t fallback)
{
	const json_t *value = json_object_get(obj, key);

	return json_is_integer(value) ? json_integer_value(value) : fallback;
}

const char *fake_json_string(const json_t *obj, const char *key,
			     const char *fallback)
{
	const json_t *value = json_object_get(obj, key);

	return json_is_string(value) ? json_string_value(value) : fallback;
}

void fake_reply_error(fake_reply_t *reply, int status, const char *error)
{
	reply->status = status;
	json_decref(reply->json);
	reply->json = json_pack("{s:s}", "error", error);
}

int64_t fake_wall_ms(void)
{
	return read_clock_ms(CLOCK_REALTIME);
}

int64_t fake_boot_ms(void)
{
	return read_clock_ms(CLOCK_BOOTTIME);
}

void fake_sleep_ms(int64_t ms)
{
	struct timespec ts = { .tv_sec = ms / 1000,
			       .tv_nsec = (ms % 1000) * 1000000 };

	if (ms > 0)
		nanosleep(&ts, NULL);
}

int fake_find_name(const char *text, const char *const *names, size_t n)
{
	size_t i;

	for (i = 0; text && i < n; i++)
		if (!strcmp(text, names[i]))
			return (int)i;
	return -1;
}

static int64_t read_clock_ms(clockid_t id)
{
	struct timespec ts;

	clock_gettime(id, &ts);
	return (int64_t)ts.tv_sec * 1000 + ts.tv_nsec / 1000000;
}

static void port_init(fake_port_t *port, fake_t *self, unsigned max_connections,
		      int fd, int poll_ms)
{
	*port = (fake_port_t){ .self = self,
			       .max_connections = max_connections,
			       .fd = fd,
			       .poll_ms = poll_ms,
			       .connections = g_ptr_array_new() };
	pthread_mutex_init(&port->lock, NULL);
	/* A caller may be gone before its connection is accepted. */
	fcntl(fd, F_SETFL, O_NONBLOCK);
}

static void *port_main(void *arg)
{
	fake_port_t *port = arg;
	struct pollfd pollfd = { .fd = port->fd, .events = POLLIN };
	unsigned silences = 0; /* of which the connections were reset */

	for (;;) {
		poll(&pollfd, 1, port->poll_ms);
		pthread_mutex_lock(&port->lock);
		if (silences != port->silences &&
		    fake_boot_ms() >= port->silent_until_ms) {
			reset_lost_connections(port, false);
			silences = port->silences;
		}
		if (pollfd.revents & POLLIN)
			accept_connection(port);
		pthread_mutex_unlock(&port->lock);
	}
	return NULL;
}

/* Called with the lock held, when a connection waits. */
static void accept_connection(fake_port_t *port)
{
	struct timeval idle = { .tv_sec = port->idle_ms / 1000,
				.tv_usec = port->idle_ms % 1000 * 1000 };
	conn_t *conn;
	pthread_attr_t attr;
	pthread_t thread;
	int enabled = 1;
	int client = accept4(port->fd, NULL, NULL, SOCK_CLOEXEC);

	if (client < 0)
		return;
	if (port->max_connections &&
	    port->connections->len >= port->max_connections) {
		close(client);
		return;
	}
	setsockopt(client, IPPROTO_TCP, TCP_NODELAY, &enabled, sizeof(enabled));
	setsockopt(client, SOL_SOCKET, SO_RCVTIMEO, &idle, sizeof(idle));
	conn = g_new0(conn_t, 1);
	conn->port = port;
	conn->fd = client;
	conn->silences = port->silences;
	conn->opened_ms = fake_boot_ms();
	conn->waits = conn->opened_ms < port->silent_until_ms;
	conn->input = g_string_new(NULL);
	g_ptr_array_add(port->connections, conn);
	pthread_attr_init(&attr);
	pthread_attr_setstacksize(&attr, STACK_BYTES);
	pthread_attr_setdetachstate(&attr, PTHREAD_CREATE_DETACHED);
	if (pthread_create(&thread, &attr, conn_main, conn))
		abort();
	pthread_attr_destroy(&attr);
}

static bool has_given_up(int client)
{
	struct pollfd pollfd = { .fd = client, .events = POLLRDHUP };

	return poll(&pollfd, 1, 0) > 0;
}

static bool is_lost(const conn_t *conn)
{
	bool lost;

	pthread_mutex_lock(&conn->port->lock);
	lost = conn->silences != conn->port->silences;
	pthread_mutex_unlock(&conn->port->lock);
	return lost;
}

static void reset_connection(const conn_t *conn)
{
	static const struct linger reset = { .l_onoff = 1 };

	setsockopt(conn->fd, SOL_SOCKET, SO_LINGER, &reset, sizeof(reset));
	shutdown(conn->fd, SHUT_RDWR);
}

/* Resets connections from before the last silence. */
static void reset_lost_connections(fake_port_t *port, bool all)
{
	guint i;

	for (i = 0; i < port->connections->len; i++) {
		const conn_t *conn = port->connections->pdata[i];

		if (conn->silences != port->silences && !conn->waits &&
		    (all || conn->sent_lost))
			reset_connection(conn);
	}
}

/*
 * An attempt to connect that gets no answer is repeated at growing intervals.
 * Waits for the first one after the silence; returns whether it is made.
 */
static bool await_repeat(conn_t *conn)
{
	fake_port_t *port = conn->port;
	int64_t repeat_ms = conn->opened_ms;
	int64_t interval_ms = REPEAT_MS;
	bool is_silent = conn->waits;
	bool is_made = true;

	while (is_silent) {
		repeat_ms += interval_ms;
		interval_ms *= 2;
		fake_sleep_ms(repeat_ms - fake_boot_ms());
		pthread_mutex_lock(&port->lock);
		is_silent = fake_boot_ms() < port->silent_until_ms;
		if (!is_silent) {
			is_made = port->serves_late || !has_given_up(conn->fd);
			conn->silences = port->silences;
			conn->waits = false;
		}
		pthread_mutex_unlock(&port->lock);
	}
	return is_made;
}

static void *conn_main(void *arg)
{
	conn_t *conn = arg;

	if (await_repeat(conn))
		while (serve_request(conn))
			continue;
	pthread_mutex_lock(&conn->port->lock);
	g_ptr_array_remove_fast(conn->port->connections, conn);
	close(conn->fd);
	pthread_mutex_unlock(&conn->port->lock);
	g_string_free(conn->input, TRUE);
	g_free(conn);
	return NULL;
}

/*
 * Returns true when the connection was accepted before a silence that is over.
 * In the silence, notes that something was sent.
 */
static bool reset_if_lost(conn_t *conn)
{
	fake_port_t *port = conn->port;
	bool is_over = false;

	pthread_mutex_lock(&port->lock);
	if (conn->silences != port->silences) {
		conn->sent_lost = true;
		is_over = fake_boot_ms() >= port->silent_until_ms;
	}
	if (is_over)
		reset_connection(conn);
	pthread_mutex_unlock(&port->lock);
	return is_over;
}

static bool serve_request(conn_t *conn)
{
	fake_request_t req = { .conn = conn };
	fake_reply_t reply = { .status = 200 };
	bool keep_open = false;

	if (read_request(conn, &req) && !reset_if_lost(conn)) {
		reply.headers = g_string_new(NULL);
		reply.body = g_string_new(NULL);
		dispatch(conn->port->self, &req, &reply);
		keep_open = send_reply(conn, &reply);
		g_string_free(reply.headers, TRUE);
		g_string_free(reply.body, TRUE);
		json_decref(reply.json);
	}
	request_clear(&req);
	return keep_open;
}

static bool receive_more(conn_t *conn)
{
	char buf[READ_BYTES];
	ssize_t n;

	do
		n = recv(conn->fd, buf, sizeof(buf), 0);
	while (n < 0 && (errno == EINTR || (errno == EAGAIN && is_lost(conn))));
	if (n <= 0)
		return false;
	g_string_append_len(conn->input, buf, n);
	return true;
}

static bool read_request(conn_t *conn, fake_request_t *req)
{
	const char *length;
	size_t head_len;
	char *head_end;

	while (!(head_end = strstr(conn->input->str, "\r\n\r\n")))
		if (conn->input->len > HEAD_MAX_BYTES || !receive_more(conn))
			return false;
	head_len = (size_t)(head_end - conn->input->str) + 4;
	*head_end = '\0';
	if (!parse_head(req, conn->input->str))
		return false;
	g_string_erase(conn->input, 0, (gssize)head_len);
	length = fake_header(req, "content-length");
	req->body_len = length ? strtoul(length, NULL, 10) : 0;
	if (req->body_len > BODY_MAX_BYTES)
		return false;
	if (fake_header(req, "expect") &&
	    !send_all(conn->fd, "HTTP/1.1 100 Continue\r\n\r\n", 25))
		return false;
	while (conn->input->len < req->body_len)
		if (!receive_more(conn))
			return false;
	req->body = g_strndup(conn->input->str, req->body_len);
	g_string_erase(conn->input, 0, (gssize)req->body_len);
	req->json = json_loads(req->body, 0, NULL);
	return true;
}

static bool parse_head(fake_request_t *req, char *head)
{
	char **lines = g_strsplit(head, "\r\n", -1);
	char **words = g_strsplit(lines[0] ? lines[0] : "", " ", 3);
	bool ok = words[0] && words[1] && words[2];
	char *question_mark;
	size_t i;

	req->headers =
		g_hash_table_new_full(g_str_hash, g_str_equal, g_free, g_free);
	req->query =
		g_hash_table_new_full(g_str_hash, g_str_equal, g_free, g_free);
	for (i = 1; ok && lines[i]; i++) {
		char *colon = strchr(lines[i], ':');

		if (!colon)
			continue;
		*colon = '\0';
		g_hash_table_replace(req->headers,
				     g_ascii_strdown(lines[i], -1),
				     g_strstrip(g_strdup(colon + 1)));
	}
	if (ok) {
		req->method = g_strdup(words[0]);
		question_mark = strchr(words[1], '?');
		if (question_mark) {
			parse_query(req->query, question_mark + 1);
			*question_mark = '\0';
		}
		req->path = g_strdup(words[1]);
	}
	g_strfreev(words);
	g_strfreev(lines);
	return ok;
}

static void parse_query(GHashTable *query, const char *text)
{
	char **pairs = g_strsplit(text, "&", -1);
	size_t i;

	for (i = 0; pairs[i]; i++) {
		char *equals_sign = strchr(pairs[i], '=');
		char *value;

		if (!equals_sign)
			continue;
		*equals_sign = '\0';
		value = g_uri_unescape_string(equals_sign + 1, NULL);
		if (value)
			g_hash_table_replace(query, g_strdup(pairs[i]), value);
	}
	g_strfreev(pairs);
}

static void dispatch(fake_t *self, const fake_request_t *req,
		     fake_reply_t *reply)
{
	if (!strcmp(req->path, "/ctl"))
		handle_control(self, req, reply);
	else
		self->ops->serve(self, req, reply);
}

static void handle_control(fake_t *self, const fake_request_t *req,
			   fake_reply_t *reply)
{
	const char *key;
	json_t *value;

	json_object_foreach(req->json, key, value)
	{
		if (!self->ops->set_control(self, key, value)) {
			fake_reply_error(reply, 400, key);
			return;
		}
	}
	reply->json = self->ops->get_state(self, req);
}

static bool send_reply(conn_t *conn, const fake_reply_t *reply)
{
	char *json;
	const char *body;
	size_t len;
	GString *out;
	bool ok;

	if (reply->delivery == FAKE_DELIVERY_CLOSE)
		return false;
	if (reply->delivery == FAKE_DELIVERY_NONE) {
		while (receive_more(conn) && !reset_if_lost(conn))
			g_string_truncate(conn->input, 0);
		return false;
	}
	json = reply->json ? json_dumps(reply->json, JSON_COMPACT) : NULL;
	body = json ? json : reply->body->str;
	len = json ? strlen(json) : reply->body->len;
	out = g_string_new(NULL);
	g_string_printf(out, "HTTP/1.1 %d X\r\nContent-Length: %zu\r\n%s\r\n",
			reply->status, len, reply->headers->str);
	if (reply->delivery == FAKE_DELIVERY_TRUNCATED)
		len /= 2;
	g_string_append_len(out, body, (gssize)len);
	ok = send_all(conn->fd, out->str, out->len);
	g_string_free(out, TRUE);
	free(json);
	return ok && reply->delivery == FAKE_DELIVERY_FULL;
}

static bool send_all(int fd, const char *data, size_t len)
{
	while (len) {
		ssize_t n = send(fd, data, len, MSG_NOSIGNAL);

		if (n < 0 && errno == EINTR)
			continue;
		if (n <= 0)
			return false;
		data += n;
		len -= (size_t)n;
	}
	return true;
}

static void request_clear(fake_request_t *req)
{
	g_free(req->method);
	g_free(req->path);
	g_free(req->body);
	json_decref(req->json);
	if (req->headers)
		g_hash_table_destroy(req->headers);
	if (req->query)
		g_hash_table_destroy(req->query);
}
