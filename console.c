#include "console.h"

#include <arpa/inet.h>
#include <string.h>

#include "clock.h"
#include "console_call.h"
#include "console_page.h"
#include "log.h"

/*
 * Limits of the HTTP server that bound its threads and memory, since each
 * connection has its own thread.
 */
#define CONNECTIONS_MAX 64
#define CONNECTIONS_PER_ADDRESS_MAX 48
#define CONNECTION_TIMEOUT_S 15
#define CONNECTION_MEMORY_BYTES (32 * 1024)
/* Maximum of idle handles of the client that forwards requests. */
#define IDLE_HANDLES_MAX 4
#define IDLE_MAX_USEC (5 * GH_USEC_PER_SEC)

static bool start_listening(console_t *console, struct sockaddr_in *address);

console_t *console_new(node_t *node)
{
	console_t *console = g_new0(console_t, 1);

	console->node = node;
	console->client = http_client_new(IDLE_HANDLES_MAX, IDLE_MAX_USEC);
	console->sessions = session_table_new(node->settings);
	return console;
}

bool console_start(console_t *console, GError **err)
{
	const settings_t *settings = console->node->settings;
	struct sockaddr_in address = {
		.sin_family = AF_INET,
		.sin_port = htons(settings->console_port),
	};

	if (inet_pton(AF_INET, settings->address, &address.sin_addr) != 1 ||
	    ulfius_init_instance(&console->instance, settings->console_port,
				 &address, NULL) != U_OK) {
		gh_error_set(err, GH_E_SYSTEM, "console: invalid address %s:%u",
			     settings->address, settings->console_port);
		return false;
	}
	/*
	 * One byte above the limit, so that a body that was cut off is longer
	 * than CONSOLE_BODY_MAX_BYTES and refused as too large.
	 */
	console->instance.max_post_body_size = CONSOLE_BODY_MAX_BYTES + 1;
	console_add_api_endpoints(console);
	console_add_page_endpoints(console);
	if (start_listening(console, &address)) {
		console->running = true;
		return true;
	}
	ulfius_clean_instance(&console->instance);
	gh_error_set(err, GH_E_SYSTEM, "console: cannot listen at %s:%u",
		     settings->address, settings->console_port);
	return false;
}

void console_free(console_t *console)
{
	if (!console)
		return;
	if (console->running) {
		ulfius_stop_framework(&console->instance);
		ulfius_clean_instance(&console->instance);
	}
	session_table_free(console->sessions);
	http_client_free(console->client);
	g_free(console->page_endpoints);
	g_free(console);
}

/* Starts the HTTP server with one thread for each connection. */
static bool start_listening(console_t *console, struct sockaddr_in *address)
{
	struct MHD_OptionItem options[] = {
		{ MHD_OPTION_NOTIFY_COMPLETED, (intptr_t)mhd_request_completed,
		  NULL },
		{ MHD_OPTION_URI_LOG_CALLBACK, (intptr_t)ulfius_uri_logger,
		  NULL },
		{ MHD_OPTION_SOCK_ADDR, 0, address },
		{ MHD_OPTION_CONNECTION_LIMIT, CONNECTIONS_MAX, NULL },
		{ MHD_OPTION_PER_IP_CONNECTION_LIMIT,
		  CONNECTIONS_PER_ADDRESS_MAX, NULL },
		{ MHD_OPTION_CONNECTION_TIMEOUT, CONNECTION_TIMEOUT_S, NULL },
		{ MHD_OPTION_CONNECTION_MEMORY_LIMIT, CONNECTION_MEMORY_BYTES,
		  NULL },
		{ MHD_OPTION_LISTENING_ADDRESS_REUSE, 1, NULL },
		{ MHD_OPTION_END, 0, NULL },
	};
	unsigned flags = MHD_USE_THREAD_PER_CONNECTION |
			 MHD_USE_INTERNAL_POLLING_THREAD | MHD_USE_POLL |
			 MHD_USE_ITC;

	return ulfius_start_framework_with_mhd_options(&console->instance,
						       flags, options) == U_OK;
}
