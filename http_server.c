#include "http_server.h"

#include <arpa/inet.h>
#include <microhttpd.h>
#include <stdatomic.h>
#include <stdlib.h>
#include <string.h>
#include <unistd.h>

#include "counter.h"
#include "error.h"

/*
 * Connections beyond the door's limit that libmicrohttpd accepts, so that the
 * door gets to decide which one is closed.
 */
#define CONNECTIONS_MARGIN 8
/* First size of a buffer for a body of unknown length. */
#define CHUNKED_BODY_BYTES 16384
/* More than this beyond the limit of a body is not even read. */
#define DROPPED_BYTES_MAX 1048576
#define LENGTH_UNKNOWN UINT64_MAX
/*
 * Size of a socket's buffers, which the system otherwise enlarges to megabytes
 * for a client that sends ahead or doesn't read.
 */
#define SOCKET_BUFFER_BYTES 16384

typedef struct endpoint {
	const char *method;
	const char *path; /* NULL: every other path */
	bool subpaths;
	http_callback_t callback;
	void *ctx;
} endpoint_t;

struct http_server {
	struct MHD_Daemon *daemon;
	struct sockaddr_in address;
	http_limits_t limits;
	GArray *endpoints;
	endpoint_t refusal;
	/* Address "IP:PORT" of the server, for error messages. */
	char name[64];
	atomic_int in_flight;
};

/* A client's connection and its present request. */
typedef struct connection {
	http_server_t *server;
	gh_door_client_t *client;
	char *url;
	bool has_headers;
	bool keeps_body;
	bool dropped;	   /* the body had no room */
	uint64_t declared; /* length of the body, or LENGTH_UNKNOWN */
	uint64_t received;
	char *body;
	size_t body_size; /* size of the buffer */
} connection_t;

static void on_connection(void *cls, struct MHD_Connection *mhd,
			  void **socket_context,
			  enum MHD_ConnectionNotificationCode code);
static void bound_buffers(int fd);
static void *on_request_line(void *cls, const char *url,
			     struct MHD_Connection *mhd);
/* NOLINTNEXTLINE(readability-function-size) */
static enum MHD_Result on_request(void *cls, struct MHD_Connection *mhd,
				  const char *path, const char *method,
				  const char *version, const char *data,
				  size_t *len, void **request);
static void on_completed(void *cls, struct MHD_Connection *mhd, void **request,
			 enum MHD_RequestTerminationCode code);
static enum MHD_Result
on_headers(connection_t *conn, struct MHD_Connection *mhd, const char *method);
static enum MHD_Result on_body(connection_t *conn, const char *data,
			       size_t len);
static bool make_room(connection_t *conn, uint64_t len);
static void drop_body(connection_t *conn);
static enum MHD_Result serve(connection_t *conn, struct MHD_Connection *mhd,
			     const char *path, const char *method);
static const endpoint_t *find_endpoint(const http_server_t *server,
				       const char *path, const char *method);
static enum MHD_Result add_header(void *map, enum MHD_ValueKind kind,
				  const char *name, const char *value);
static enum MHD_Result respond(struct MHD_Connection *mhd,
			       struct _u_response *out);

http_server_t *http_server_new(const char *address, unsigned port,
			       const http_limits_t *limits, GError **err)
{
	http_server_t *server = g_new0(http_server_t, 1);

	server->limits = *limits;
	g_snprintf(server->name, sizeof(server->name), "%s:%u", address, port);
	server->address.sin_family = AF_INET;
	server->address.sin_port = htons((uint16_t)port);
	if (inet_pton(AF_INET, address, &server->address.sin_addr) != 1) {
		gh_error_set(err, GH_E_SYSTEM,
			     "cannot create an HTTP server for %s",
			     server->name);
		g_free(server);
		return NULL;
	}
	server->endpoints = g_array_new(FALSE, FALSE, sizeof(endpoint_t));
	return server;
}

void http_server_add(http_server_t *server, const char *method,
		     const char *path, bool subpaths, http_callback_t callback,
		     void *ctx)
{
	endpoint_t endpoint = { .method = method,
				.path = path,
				.subpaths = subpaths,
				.callback = callback,
				.ctx = ctx };

	g_array_append_val(server->endpoints, endpoint);
}

void http_server_set_refusal(http_server_t *server, http_callback_t callback,
			     void *ctx)
{
	server->refusal = (endpoint_t){ .callback = callback, .ctx = ctx };
}

bool http_server_start(http_server_t *server, GError **err)
{
	const http_limits_t *limits = &server->limits;
	/* select() would refuse descriptors from FD_SETSIZE on */
	unsigned flags = MHD_USE_INTERNAL_POLLING_THREAD | MHD_USE_POLL;
	unsigned clients = http_door_limits(limits->door)->clients;
	struct MHD_OptionItem options[] = {
		{ MHD_OPTION_NOTIFY_CONNECTION, (intptr_t)on_connection,
		  server },
		{ MHD_OPTION_NOTIFY_COMPLETED, (intptr_t)on_completed, server },
		{ MHD_OPTION_URI_LOG_CALLBACK, (intptr_t)on_request_line,
		  server },
		{ MHD_OPTION_SOCK_ADDR, 0, &server->address },
		{ MHD_OPTION_CONNECTION_LIMIT,
		  (intptr_t)clients + CONNECTIONS_MARGIN, NULL },
		{ MHD_OPTION_CONNECTION_TIMEOUT, limits->idle_timeout_s, NULL },
		{ MHD_OPTION_CONNECTION_MEMORY_LIMIT,
		  (intptr_t)limits->max_headers_bytes, NULL },
		{ MHD_OPTION_THREAD_STACK_SIZE,
		  (intptr_t)limits->thread_stack_bytes, NULL },
		{ MHD_OPTION_END, 0, NULL },
	};

	if (limits->thread_per_connection)
		flags |= MHD_USE_THREAD_PER_CONNECTION;
	server->daemon = MHD_start_daemon(
		flags, ntohs(server->address.sin_port), NULL, NULL, on_request,
		server, MHD_OPTION_ARRAY, options, MHD_OPTION_END);
	if (!server->daemon)
		gh_error_set(err, GH_E_SYSTEM, "cannot listen on %s (TCP)",
			     server->name);
	return server->daemon != NULL;
}

int http_server_in_flight(const http_server_t *server)
{
	return atomic_load(&server->in_flight);
}

void http_server_quiesce(http_server_t *server)
{
	int fd;

	if (!server->daemon)
		return;
	fd = MHD_quiesce_daemon(server->daemon);
	if (fd != MHD_INVALID_SOCKET)
		close(fd);
}

void http_server_free(http_server_t *server)
{
	if (!server)
		return;
	if (server->daemon)
		MHD_stop_daemon(server->daemon);
	g_array_unref(server->endpoints);
	g_free(server);
}

static void on_connection(void *cls, struct MHD_Connection *mhd,
			  void **socket_context,
			  enum MHD_ConnectionNotificationCode code)
{
	http_server_t *server = cls;
	connection_t *conn = *socket_context;

	if (code == MHD_CONNECTION_NOTIFY_STARTED) {
		int fd = MHD_get_connection_info(
				 mhd, MHD_CONNECTION_INFO_CONNECTION_FD)
				 ->connect_fd;

		bound_buffers(fd);
		conn = g_new0(connection_t, 1);
		conn->server = server;
		conn->client = http_door_enter(server->limits.door, fd,
					       server->limits.checks);
		*socket_context = conn;
	} else {
		http_door_leave(server->limits.door, conn->client);
		free(conn->body);
		g_free(conn->url);
		g_free(conn);
	}
}

static void bound_buffers(int fd)
{
	int size = SOCKET_BUFFER_BYTES;

	setsockopt(fd, SOL_SOCKET, SO_RCVBUF, &size, sizeof(size));
	setsockopt(fd, SOL_SOCKET, SO_SNDBUF, &size, sizeof(size));
}

/* Begins a request: what it returns is passed to on_request(). */
static void *on_request_line(void *cls, const char *url,
			     struct MHD_Connection *mhd)
{
	http_server_t *server = cls;
	connection_t *conn =
		MHD_get_connection_info(mhd, MHD_CONNECTION_INFO_SOCKET_CONTEXT)
			->socket_context;

	atomic_fetch_add(&server->in_flight, 1);
	conn->url = g_strdup(url);
	http_door_receive(server->limits.door, conn->client);
	return conn;
}

/*
 * Called with the headers, then with each part of the body, then without.  The
 * library sets the parameters.
 */
/* NOLINTNEXTLINE(readability-function-size) */
static enum MHD_Result on_request(void *cls, struct MHD_Connection *mhd,
				  const char *path, const char *method,
				  const char *version, const char *data,
				  size_t *len, void **request)
{
	connection_t *conn = *request;
	enum MHD_Result result;

	(void)cls;
	(void)version;
	if (!conn->has_headers)
		return on_headers(conn, mhd, method);
	if (!*len)
		return serve(conn, mhd, path, method);
	result = on_body(conn, data, *len);
	*len = 0;
	return result;
}

static void on_completed(void *cls, struct MHD_Connection *mhd, void **request,
			 enum MHD_RequestTerminationCode code)
{
	http_server_t *server = cls;
	connection_t *conn = *request;

	(void)mhd;
	(void)code;
	if (!conn)
		return;
	*request = NULL;
	free(conn->body);
	g_free(conn->url);
	*conn = (connection_t){ .server = server, .client = conn->client };
	http_door_finish(server->limits.door, conn->client);
	atomic_fetch_sub(&server->in_flight, 1);
}

static enum MHD_Result
on_headers(connection_t *conn, struct MHD_Connection *mhd, const char *method)
{
	const http_limits_t *limits = &conn->server->limits;
	const char *length = MHD_lookup_connection_value(
		mhd, MHD_HEADER_KIND, MHD_HTTP_HEADER_CONTENT_LENGTH);

	conn->has_headers = true;
	conn->keeps_body =
		limits->max_body_bytes &&
		(!limits->body_method || !strcmp(method, limits->body_method));
	conn->declared =
		length ? g_ascii_strtoull(length, NULL, 10) : LENGTH_UNKNOWN;
	if (!length ||
	    conn->declared <= limits->max_body_bytes + DROPPED_BYTES_MAX)
		return MHD_YES;
	counter_inc_refusals(GH_E_TOO_LARGE);
	return respond(mhd, &(struct _u_response){ .status = 413 });
}

static enum MHD_Result on_body(connection_t *conn, const char *data, size_t len)
{
	const http_limits_t *limits = &conn->server->limits;

	conn->received += len;
	if (conn->received > limits->max_body_bytes + DROPPED_BYTES_MAX)
		return MHD_NO;
	if (!conn->keeps_body || conn->dropped)
		return MHD_YES;
	if (conn->received > limits->max_body_bytes) {
		drop_body(conn);
	} else if (make_room(conn, conn->received)) {
		memcpy(conn->body + conn->received - len, data, len);
	} else {
		drop_body(conn);
		conn->dropped = true;
	}
	return MHD_YES;
}

/* Makes the buffer of the body as large as it needs to be for len bytes. */
static bool make_room(connection_t *conn, uint64_t len)
{
	size_t max = conn->server->limits.max_body_bytes;
	size_t size = conn->body_size;
	char *body;

	if (len <= size)
		return true;
	if (conn->declared <= max) {
		size = (size_t)conn->declared;
	} else {
		size = MAX(size, CHUNKED_BODY_BYTES);
		while (size < len)
			size *= 2;
		size = MIN(size, max);
	}
	if (size < len || !http_door_hold(conn->server->limits.door,
					  conn->client, size - conn->body_size))
		return false;
	body = realloc(conn->body, size);
	if (!body)
		return false;
	conn->body = body;
	conn->body_size = size;
	return true;
}

static void drop_body(connection_t *conn)
{
	free(conn->body);
	conn->body = NULL;
	conn->body_size = 0;
	http_door_drop(conn->server->limits.door, conn->client);
}

static enum MHD_Result serve(connection_t *conn, struct MHD_Connection *mhd,
			     const char *path, const char *method)
{
	http_server_t *server = conn->server;
	const endpoint_t *endpoint = find_endpoint(server, path, method);
	struct _u_request in;
	struct _u_response out;
	enum MHD_Result result;

	/* Nobody would get the response. */
	if (!http_door_serve(server->limits.door, conn->client))
		return MHD_NO;
	if (conn->dropped && server->refusal.callback)
		endpoint = &server->refusal;
	ulfius_init_request(&in);
	ulfius_init_response(&out);
	in.http_verb = strdup(method);
	in.http_url = strdup(conn->url);
	in.url_path = strdup(path);
	MHD_get_connection_values(mhd, MHD_HEADER_KIND, add_header,
				  in.map_header);
	if (conn->keeps_body) {
		in.binary_body = conn->body;
		in.binary_body_length = (size_t)MIN(
			conn->received, server->limits.max_body_bytes + 1);
	}
	if (!endpoint ||
	    endpoint->callback(&in, &out, endpoint->ctx) != U_CALLBACK_CONTINUE)
		out.status = endpoint ? 500 : 404;
	http_door_send(server->limits.door, conn->client);
	in.binary_body = NULL;
	result = respond(mhd, &out);
	ulfius_clean_request(&in);
	ulfius_clean_response(&out);
	return result;
}

static const endpoint_t *find_endpoint(const http_server_t *server,
				       const char *path, const char *method)
{
	const endpoint_t *found = NULL;
	guint i;

	for (i = 0; i < server->endpoints->len; i++) {
		const endpoint_t *endpoint =
			&g_array_index(server->endpoints, endpoint_t, i);
		const char *rest = path;

		if (!endpoint->path) {
			found = endpoint;
			continue;
		}
		if (!g_str_has_prefix(path, endpoint->path))
			continue;
		rest += strlen(endpoint->path);
		if ((!*rest || !strcmp(rest, "/") ||
		     (endpoint->subpaths && *rest == '/')) &&
		    (!strcmp(endpoint->method, "*") ||
		     !strcmp(endpoint->method, method)))
			return endpoint;
	}
	return found;
}

static enum MHD_Result add_header(void *map, enum MHD_ValueKind kind,
				  const char *name, const char *value)
{
	(void)kind;
	u_map_put(map, name, value ? value : "");
	return MHD_YES;
}

/* Takes the body of the response. */
static enum MHD_Result respond(struct MHD_Connection *mhd,
			       struct _u_response *out)
{
	struct MHD_Response *response = MHD_create_response_from_buffer(
		out->binary_body_length, out->binary_body,
		out->binary_body ? MHD_RESPMEM_MUST_FREE :
				   MHD_RESPMEM_PERSISTENT);
	const char **names =
		out->map_header ? u_map_enum_keys(out->map_header) : NULL;
	enum MHD_Result result;
	size_t i;

	if (!response)
		return MHD_NO;
	out->binary_body = NULL;
	out->binary_body_length = 0;
	for (i = 0; names && names[i]; i++)
		MHD_add_response_header(response, names[i],
					u_map_get(out->map_header, names[i]));
	result = MHD_queue_response(mhd, (unsigned)out->status, response);
	MHD_destroy_response(response);
	return result;
}
