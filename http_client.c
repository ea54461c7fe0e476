/*
 * HTTP client on libcurl: pool of handles, options and results of a transfer.
 */
#include "http_client.h"

#include <curl/curl.h>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <pthread.h>
#include <stdlib.h>
#include <string.h>
#include <strings.h>
#include <sys/socket.h>

#include "clock.h"

#define DEFAULT_BODY_MAX_BYTES (2u * 1024 * 1024)
#define MIN_TIMEOUT_MS 1
#define CONNECT_TIMEOUT_MS 500
/* Maximum poll time of a call that can't be aborted. */
#define MAX_POLL_MS 1000
#define ABORT_POLL_MS 20 /* time between two checks for an abort */

/* A transfer handle, and the multi handle that owns its connections. */
typedef struct handle {
	CURL *curl;
	CURLM *multi;
	gh_time_t idle_since;
} handle_t;

struct http_client {
	pthread_mutex_t lock;
	handle_t *idle; /* stack of idle handles, the last used on top */
	size_t n_idle;
	size_t max_idle;
	gh_time_t max_idle_time;
	/* Local address for CURLOPT_INTERFACE, which isn't set so far. */
	char *interface;
};

/* A call in progress, as libcurl's callbacks see it. */
typedef struct transfer {
	const http_call_t *call;
	http_response_t *response;
	GString *body;
	size_t body_max;
	/* Number of times that writing the request began. */
	unsigned writes;
	bool too_large;
	bool aborted;
} transfer_t;

static handle_t take_handle(http_client_t *client, const http_call_t *call);
static handle_t new_handle(void);
static void release_handle(http_client_t *client, handle_t handle);
static void close_handle(handle_t handle);
static CURLcode perform(handle_t handle, transfer_t *transfer);
static CURLcode transfer_result(CURLM *multi);
static void set_options(CURL *curl, transfer_t *transfer,
			struct curl_slist *headers);
static void set_method(CURL *curl, const http_call_t *call);
static struct curl_slist *make_headers(const http_call_t *call);
static void fill_response(CURL *curl, CURLcode code, transfer_t *transfer);
static size_t count_bytes(CURL *curl);
static http_fault_t fault_from_code(CURLcode code, const transfer_t *transfer);
static size_t append_body(char *data, size_t size, size_t n, void *arg);
static size_t store_header(char *data, size_t size, size_t n, void *arg);
static int before_request(void *arg, char *conn_ip, char *local_ip,
			  int conn_port, int local_port);
static int set_socket_options(void *arg, curl_socket_t fd,
			      curlsocktype purpose);

static void global_init(void)
{
	curl_global_init(CURL_GLOBAL_DEFAULT);
}

http_client_t *http_client_new(size_t max_idle, gh_time_t max_idle_time)
{
	static pthread_once_t once = PTHREAD_ONCE_INIT;
	http_client_t *client = g_new0(http_client_t, 1);

	pthread_once(&once, global_init);
	pthread_mutex_init(&client->lock, NULL);
	client->idle = g_new0(handle_t, max_idle + 1);
	client->max_idle = max_idle;
	client->max_idle_time = max_idle_time;
	return client;
}

void http_client_free(http_client_t *client)
{
	if (!client)
		return;
	http_client_drop_idle(client);
	pthread_mutex_destroy(&client->lock);
	g_free(client->idle);
	g_free(client->interface);
	g_free(client);
}

void http_client_bind(http_client_t *client, const char *address)
{
	g_free(client->interface);
	client->interface = g_strconcat("host!", address, NULL);
}

bool http_client_call(http_client_t *client, const http_call_t *call,
		      http_response_t *response)
{
	transfer_t transfer = {
		.call = call,
		.response = response,
		.body_max = call->response_max_bytes ?
				    call->response_max_bytes :
				    DEFAULT_BODY_MAX_BYTES,
	};
	struct curl_slist *headers = make_headers(call);
	handle_t handle = take_handle(client, call);
	CURLcode code;
	bool reusable;

	memset(response, 0, sizeof(*response));
	transfer.body = g_string_new(NULL);
	response->headers =
		g_hash_table_new_full(g_str_hash, g_str_equal, g_free, g_free);
	set_options(handle.curl, &transfer, headers);
	code = perform(handle, &transfer);
	fill_response(handle.curl, code, &transfer);
	curl_slist_free_all(headers);
	response->body_len = transfer.body->len;
	response->body = g_string_free(transfer.body, FALSE);
	reusable = code == CURLE_OK && !transfer.aborted &&
		   (!call->accept_response ||
		    call->accept_response(call->ctx, response));
	if (reusable)
		release_handle(client, handle);
	else
		close_handle(handle);
	return response->stage == HTTP_STAGE_COMPLETE;
}

void http_client_drop_idle(http_client_t *client)
{
	size_t i;

	pthread_mutex_lock(&client->lock);
	for (i = 0; i < client->n_idle; i++)
		close_handle(client->idle[i]);
	client->n_idle = 0;
	pthread_mutex_unlock(&client->lock);
}

const char *http_response_header(const http_response_t *response,
				 const char *name)
{
	if (!response->headers)
		return NULL;
	return g_hash_table_lookup(response->headers, name);
}

void http_response_clear(http_response_t *response)
{
	g_free(response->body);
	if (response->headers)
		g_hash_table_unref(response->headers);
	memset(response, 0, sizeof(*response));
}

static handle_t take_handle(http_client_t *client, const http_call_t *call)
{
	gh_time_t max_idle_time = call->max_idle_time ? call->max_idle_time :
							client->max_idle_time;
	gh_time_t now = clock_boot();
	handle_t handle = { 0 };

	pthread_mutex_lock(&client->lock);
	/*
	 * A handle idle for longer than this call allows stays in the pool for
	 * calls that allow more.  The handles below it in the stack have been
	 * idle for even longer.
	 */
	while (!call->new_connection && !handle.curl && client->n_idle) {
		handle_t top = client->idle[client->n_idle - 1];

		if (now - top.idle_since > max_idle_time &&
		    max_idle_time < client->max_idle_time)
			break;
		client->n_idle--;
		if (now - top.idle_since <= max_idle_time)
			handle = top;
		else
			close_handle(top);
	}
	pthread_mutex_unlock(&client->lock);
	if (!handle.curl)
		return new_handle();
	curl_easy_reset(handle.curl);
	return handle;
}

static handle_t new_handle(void)
{
	return (handle_t){
		.curl = curl_easy_init(),
		.multi = curl_multi_init(),
	};
}

static void release_handle(http_client_t *client, handle_t handle)
{
	bool added;

	handle.idle_since = clock_boot();
	pthread_mutex_lock(&client->lock);
	added = client->n_idle < client->max_idle;
	if (added)
		client->idle[client->n_idle++] = handle;
	pthread_mutex_unlock(&client->lock);
	if (!added)
		close_handle(handle);
}

static void close_handle(handle_t handle)
{
	curl_easy_cleanup(handle.curl);
	curl_multi_cleanup(handle.multi);
}

static CURLcode perform(handle_t handle, transfer_t *transfer)
{
	const http_call_t *call = transfer->call;
	int poll_ms = call->should_abort ? ABORT_POLL_MS : MAX_POLL_MS;
	CURLcode code = CURLE_FAILED_INIT;
	int running = 1;

	if (curl_multi_add_handle(handle.multi, handle.curl))
		return code;
	while (!curl_multi_perform(handle.multi, &running) && running) {
		curl_multi_poll(handle.multi, NULL, 0, poll_ms, NULL);
		if (!call->should_abort || !call->should_abort(call->ctx))
			continue;
		transfer->aborted = true;
		break;
	}
	if (!running)
		code = transfer_result(handle.multi);
	curl_multi_remove_handle(handle.multi, handle.curl);
	return code;
}

static CURLcode transfer_result(CURLM *multi)
{
	CURLMsg *msg;
	int queued;

	while ((msg = curl_multi_info_read(multi, &queued)))
		if (msg->msg == CURLMSG_DONE)
			return msg->data.result;
	return CURLE_FAILED_INIT;
}

static void set_options(CURL *curl, transfer_t *transfer,
			struct curl_slist *headers)
{
	const http_call_t *call = transfer->call;
	int64_t timeout_ms = gh_time_to_ms(call->deadline - clock_boot());

	if (timeout_ms < MIN_TIMEOUT_MS)
		timeout_ms = MIN_TIMEOUT_MS;
	curl_easy_setopt(curl, CURLOPT_URL, call->url);
	curl_easy_setopt(curl, CURLOPT_NOSIGNAL, 1L);
	curl_easy_setopt(curl, CURLOPT_PROXY, "");
	curl_easy_setopt(curl, CURLOPT_PROTOCOLS_STR, "http");
	curl_easy_setopt(curl, CURLOPT_HTTP_VERSION,
			 (long)CURL_HTTP_VERSION_1_1);
	curl_easy_setopt(curl, CURLOPT_TIMEOUT_MS, (long)timeout_ms);
	curl_easy_setopt(curl, CURLOPT_CONNECTTIMEOUT_MS,
			 (long)CONNECT_TIMEOUT_MS);
	curl_easy_setopt(curl, CURLOPT_TCP_NODELAY, 1L);
	curl_easy_setopt(curl, CURLOPT_HTTPHEADER, headers);
	curl_easy_setopt(curl, CURLOPT_WRITEFUNCTION, append_body);
	curl_easy_setopt(curl, CURLOPT_WRITEDATA, transfer);
	curl_easy_setopt(curl, CURLOPT_HEADERFUNCTION, store_header);
	curl_easy_setopt(curl, CURLOPT_HEADERDATA, transfer);
	curl_easy_setopt(curl, CURLOPT_PREREQFUNCTION, before_request);
	curl_easy_setopt(curl, CURLOPT_PREREQDATA, transfer);
	curl_easy_setopt(curl, CURLOPT_SOCKOPTFUNCTION, set_socket_options);
	curl_easy_setopt(curl, CURLOPT_SOCKOPTDATA, transfer);
	if (call->new_connection)
		curl_easy_setopt(curl, CURLOPT_FRESH_CONNECT, 1L);
	set_method(curl, call);
}

static void set_method(CURL *curl, const http_call_t *call)
{
	if (call->body) {
		curl_easy_setopt(curl, CURLOPT_POSTFIELDS, call->body);
		curl_easy_setopt(curl, CURLOPT_POSTFIELDSIZE_LARGE,
				 (curl_off_t)call->body_len);
	}
	if (!strcmp(call->method, "HEAD"))
		curl_easy_setopt(curl, CURLOPT_NOBODY, 1L);
	else
		curl_easy_setopt(curl, CURLOPT_CUSTOMREQUEST, call->method);
}

/* Suppresses libcurl's Expect header and adds the headers of the call. */
static struct curl_slist *make_headers(const http_call_t *call)
{
	struct curl_slist *headers = curl_slist_append(NULL, "Expect:");
	size_t i;

	if (!call->body && !strcmp(call->method, "POST"))
		headers = curl_slist_append(headers, "Content-Length: 0");
	for (i = 0; call->headers && call->headers[i]; i++)
		headers = curl_slist_append(headers, call->headers[i]);
	return headers;
}

static void fill_response(CURL *curl, CURLcode code, transfer_t *transfer)
{
	http_response_t *response = transfer->response;
	long status = 0;
	long connects = 0;

	curl_easy_getinfo(curl, CURLINFO_RESPONSE_CODE, &status);
	curl_easy_getinfo(curl, CURLINFO_NUM_CONNECTS, &connects);
	response->status = (int)status;
	response->reused = connects == 0;
	response->bytes = count_bytes(curl);
	response->fault = fault_from_code(code, transfer);
	if (response->fault == HTTP_FAULT_NONE)
		response->stage = HTTP_STAGE_COMPLETE;
	else if (transfer->writes)
		response->stage = HTTP_STAGE_SENT;
	else
		response->stage = HTTP_STAGE_UNSENT;
}

static size_t count_bytes(CURL *curl)
{
	curl_off_t uploaded = 0;
	curl_off_t downloaded = 0;
	long request_size = 0;
	long header_size = 0;

	curl_easy_getinfo(curl, CURLINFO_REQUEST_SIZE, &request_size);
	curl_easy_getinfo(curl, CURLINFO_SIZE_UPLOAD_T, &uploaded);
	curl_easy_getinfo(curl, CURLINFO_HEADER_SIZE, &header_size);
	curl_easy_getinfo(curl, CURLINFO_SIZE_DOWNLOAD_T, &downloaded);
	return (size_t)(request_size + header_size + uploaded + downloaded);
}

static http_fault_t fault_from_code(CURLcode code, const transfer_t *transfer)
{
	if (transfer->too_large)
		return HTTP_FAULT_TOO_LARGE;
	if (transfer->aborted)
		return HTTP_FAULT_ABORTED;
	switch (code) {
	case CURLE_OK:
		return HTTP_FAULT_NONE;
	case CURLE_COULDNT_CONNECT:
	case CURLE_COULDNT_RESOLVE_HOST:
		return HTTP_FAULT_CONNECT;
	case CURLE_OPERATION_TIMEDOUT:
		return HTTP_FAULT_TIMEOUT;
	case CURLE_PARTIAL_FILE:
		return HTTP_FAULT_TRUNCATED;
	default:
		return HTTP_FAULT_RESET;
	}
}

static size_t append_body(char *data, size_t size, size_t n, void *arg)
{
	transfer_t *transfer = arg;

	if (transfer->body->len + size * n > transfer->body_max) {
		transfer->too_large = true;
		return 0;
	}
	g_string_append_len(transfer->body, data, (gssize)(size * n));
	return size * n;
}

static size_t store_header(char *data, size_t size, size_t n, void *arg)
{
	transfer_t *transfer = arg;
	size_t len = size * n;
	const char *colon = memchr(data, ':', len);
	char *name;
	char *value;

	if (!colon)
		return len;
	name = g_ascii_strdown(data, colon - data);
	value = g_strndup(colon + 1, len - (size_t)(colon + 1 - data));
	g_hash_table_replace(transfer->response->headers, name,
			     g_strstrip(value));
	return len;
}

/*
 * Called by libcurl when a connection is ready, before the request is written.
 * If a reused connection turns out to be closed, libcurl writes the request
 * again on a new one; this function stops libcurl then if the call allows one
 * write only.
 */
static int before_request(void *arg, char *conn_ip, char *local_ip,
			  int conn_port, int local_port)
{
	transfer_t *transfer = arg;

	(void)conn_ip;
	(void)local_ip;
	(void)conn_port;
	(void)local_port;
	if (transfer->writes && transfer->call->write_once)
		return CURL_PREREQFUNC_ABORT;
	if (clock_boot() >= transfer->call->deadline)
		return CURL_PREREQFUNC_ABORT;
	transfer->writes++;
	return CURL_PREREQFUNC_OK;
}

/* Ends the connection if data stays unacknowledged until the deadline. */
static int set_socket_options(void *arg, curl_socket_t fd, curlsocktype purpose)
{
	const transfer_t *transfer = arg;
	int64_t remaining_ms =
		gh_time_to_ms(transfer->call->deadline - clock_boot());
	unsigned timeout_ms = remaining_ms > 1 ? (unsigned)remaining_ms : 1;

	(void)purpose;
	setsockopt(fd, IPPROTO_TCP, TCP_USER_TIMEOUT, &timeout_ms,
		   sizeof(timeout_ms));
	return CURL_SOCKOPT_OK;
}
