/*
 * HTTP server on ulfius.  The limits are passed to libmicrohttpd directly,
 * since ulfius has no settings for them.
 */
#include "http_server.h"

#include <arpa/inet.h>
#include <stdatomic.h>
#include <unistd.h>

#include "error.h"

struct http_server {
	struct _u_instance instance;
	struct sockaddr_in address;
	http_limits_t limits;
	/* Address "IP:PORT" of the server, for error messages. */
	char name[64];
	bool running;
	atomic_int in_flight;
};

static void *count_request(void *cls, const char *uri,
			   struct MHD_Connection *conn);
static void uncount_request(void *cls, struct MHD_Connection *conn,
			    void **request,
			    enum MHD_RequestTerminationCode code);

http_server_t *http_server_new(const char *address, unsigned port,
			       const http_limits_t *limits, GError **err)
{
	http_server_t *server = g_new0(http_server_t, 1);

	server->limits = *limits;
	g_snprintf(server->name, sizeof(server->name), "%s:%u", address, port);
	server->address.sin_family = AF_INET;
	server->address.sin_port = htons((uint16_t)port);
	if (inet_pton(AF_INET, address, &server->address.sin_addr) != 1 ||
	    ulfius_init_instance(&server->instance, port, &server->address,
				 NULL) != U_OK) {
		gh_error_set(err, GH_E_SYSTEM,
			     "cannot create an HTTP server for %s",
			     server->name);
		g_free(server);
		return NULL;
	}
	server->instance.max_post_body_size = limits->max_body_bytes + 1;
	server->instance.check_utf8 = 0;
	return server;
}

void http_server_add(http_server_t *server, const char *method,
		     const char *prefix, const char *format,
		     http_callback_t callback, void *ctx)
{
	if (prefix)
		ulfius_add_endpoint_by_val(&server->instance, method, prefix,
					   format, 0, callback, ctx);
	else
		ulfius_set_default_endpoint(&server->instance, callback, ctx);
}

bool http_server_start(http_server_t *server, GError **err)
{
	const http_limits_t *limits = &server->limits;
	unsigned flags = MHD_USE_INTERNAL_POLLING_THREAD;
	struct MHD_OptionItem options[] = {
		{ MHD_OPTION_NOTIFY_COMPLETED, (intptr_t)uncount_request,
		  server },
		{ MHD_OPTION_URI_LOG_CALLBACK, (intptr_t)count_request,
		  server },
		{ MHD_OPTION_SOCK_ADDR, 0, &server->address },
		{ MHD_OPTION_CONNECTION_LIMIT, limits->max_connections, NULL },
		{ MHD_OPTION_CONNECTION_TIMEOUT, limits->idle_timeout_s, NULL },
		{ MHD_OPTION_CONNECTION_MEMORY_LIMIT,
		  (intptr_t)limits->max_headers_bytes, NULL },
		{ MHD_OPTION_THREAD_STACK_SIZE,
		  (intptr_t)limits->thread_stack_bytes, NULL },
		{ MHD_OPTION_END, 0, NULL },
	};

	if (limits->thread_per_connection)
		flags |= MHD_USE_THREAD_PER_CONNECTION;
	server->running = ulfius_start_framework_with_mhd_options(
				  &server->instance, flags, options) == U_OK;
	if (!server->running)
		gh_error_set(err, GH_E_SYSTEM, "cannot listen on %s (TCP)",
			     server->name);
	return server->running;
}

int http_server_in_flight(const http_server_t *server)
{
	return atomic_load(&server->in_flight);
}

void http_server_quiesce(http_server_t *server)
{
	int fd;

	if (!server->running)
		return;
	fd = MHD_quiesce_daemon(server->instance.mhd_daemon);
	if (fd != MHD_INVALID_SOCKET)
		close(fd);
}

void http_server_free(http_server_t *server)
{
	if (!server)
		return;
	if (server->running)
		ulfius_stop_framework(&server->instance);
	ulfius_clean_instance(&server->instance);
	g_free(server);
}

/*
 * Called by libmicrohttpd for every new request; adds it to the number of
 * requests in progress.
 */
static void *count_request(void *cls, const char *uri,
			   struct MHD_Connection *conn)
{
	http_server_t *server = cls;

	(void)conn;
	atomic_fetch_add(&server->in_flight, 1);
	return ulfius_uri_logger(NULL, uri);
}

/*
 * Called by libmicrohttpd at the end of every request; subtracts it from the
 * number of requests in progress.
 */
static void uncount_request(void *cls, struct MHD_Connection *conn,
			    void **request,
			    enum MHD_RequestTerminationCode code)
{
	http_server_t *server = cls;

	mhd_request_completed(NULL, conn, request, code);
	atomic_fetch_sub(&server->in_flight, 1);
}
