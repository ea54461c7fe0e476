#include "fake.h"

#include <errno.h>
#include <netinet/tcp.h>
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

typedef struct server {
	fake_t *self;
	unsigned max_connections; /* max open connections; 0: no limit */
	int open_connections;	  /* number of open connections, atomic */
} server_t;

typedef struct conn {
	server_t *server;
	int fd;
	GString *input; /* bytes received but not yet parsed as a request */
} conn_t;

static void accept_connection(server_t *server, int fd);
static void *conn_main(void *arg);
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
	server_t server = { .self = self, .max_connections = max_connections };
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
	puts("ready");
	fflush(stdout);
	for (;;)
		accept_connection(&server, fd);
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

static void accept_connection(server_t *server, int fd)
{
	conn_t *conn;
	pthread_attr_t attr;
	pthread_t thread;
	int enabled = 1;
	int client = accept4(fd, NULL, NULL, SOCK_CLOEXEC);

	if (client < 0)
		return;
	if (server->max_connections &&
	    __atomic_load_n(&server->open_connections, __ATOMIC_SEQ_CST) >=
		    (int)server->max_connections) {
		close(client);
		return;
	}
	setsockopt(client, IPPROTO_TCP, TCP_NODELAY, &enabled, sizeof(enabled));
	__atomic_add_fetch(&server->open_connections, 1, __ATOMIC_SEQ_CST);
	conn = g_new0(conn_t, 1);
	conn->server = server;
	conn->fd = client;
	conn->input = g_string_new(NULL);
	pthread_attr_init(&attr);
	pthread_attr_setstacksize(&attr, STACK_BYTES);
	pthread_attr_setdetachstate(&attr, PTHREAD_CREATE_DETACHED);
	if (pthread_create(&thread, &attr, conn_main, conn))
		abort();
	pthread_attr_destroy(&attr);
}

static void *conn_main(void *arg)
{
	conn_t *conn = arg;

	while (serve_request(conn))
		continue;
	close(conn->fd);
	__atomic_sub_fetch(&conn->server->open_connections, 1,
			   __ATOMIC_SEQ_CST);
	g_string_free(conn->input, TRUE);
	g_free(conn);
	return NULL;
}

static bool serve_request(conn_t *conn)
{
	fake_request_t req = { 0 };
	fake_reply_t reply = { .status = 200 };
	bool keep_open = false;

	if (read_request(conn, &req)) {
		reply.headers = g_string_new(NULL);
		reply.body = g_string_new(NULL);
		dispatch(conn->server->self, &req, &reply);
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
	while (n < 0 && errno == EINTR);
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
		while (receive_more(conn))
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
