/*
 * Tests of requests to executors over a kept connection that ends after the
 * executor has read the request.
 */
#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <stdint.h>

#include <cmocka.h>
#include <string.h>
#include <sys/socket.h>
#include <unistd.h>

#include "clock.h"
#include "executor_link.h"
#include "raw_server.h"

#define DONE "HTTP/1.1 200 x\r\nX-Request-Id: r0\r\nContent-Length: 0\r\n\r\n"
#define NOT_RUN                                  \
	"HTTP/1.1 503 x\r\nX-Request-Id: r1\r\n" \
	"X-Not-Run: 1\r\nContent-Length: 0\r\n\r\n"

typedef struct lost_case {
	const char *name;
	/* Response to a second copy; NULL: no further connection is taken. */
	const char *second_response;
} lost_case_t;

typedef struct executor {
	const lost_case_t *c;
	int listen_fd;
	gint copies; /* of the second request that the executor has read */
} executor_t;

static const lost_case_t cases[] = {
	{ .name = "second_copy_refused", .second_response = NOT_RUN },
	{ .name = "executor_gone" },
};

/* Responds to the first request, reads the second and closes. */
static gpointer serve(gpointer arg)
{
	executor_t *executor = arg;
	const char *response = DONE;
	int fd = accept(executor->listen_fd, NULL, NULL);

	if (raw_read_request(fd) && write(fd, response, strlen(response)) > 0 &&
	    raw_read_request(fd))
		g_atomic_int_inc(&executor->copies);
	response = executor->c->second_response;
	if (!response)
		shutdown(executor->listen_fd, SHUT_RDWR);
	close(fd);
	while ((fd = accept(executor->listen_fd, NULL, NULL)) >= 0) {
		if (raw_read_request(fd)) {
			g_atomic_int_inc(&executor->copies);
			if (response &&
			    write(fd, response, strlen(response)) < 0)
				print_message("write failed\n");
		}
		close(fd);
	}
	return NULL;
}

static gh_send_result_t send_request(executor_link_t *link, const char *address,
				     const char *id)
{
	executor_call_t call = {
		.address = address,
		.method = "POST",
		.path = "/",
		.request_id = id,
		.body = "x",
		.body_len = 1,
		.deadline = clock_boot() + 5 * GH_USEC_PER_SEC,
		.max_idle_connections = 1,
	};
	http_response_t response;
	gh_send_result_t result = link->ops->send(link, &call, &response);

	http_response_clear(&response);
	return result;
}

/* A request that may have run is taken for one that was not sent. */
static void test_lost_response_is_no_proof(void **state)
{
	const lost_case_t *c = *state;
	executor_link_t *link = executor_link_http_new();
	executor_t executor = { .c = c };
	char address[RAW_ADDRESS_MAX];
	gh_send_result_t result;
	GThread *server;

	executor.listen_fd = raw_listen(address);
	assert_true(executor.listen_fd >= 0);
	server = g_thread_new("executor", serve, &executor);
	assert_int_equal(send_request(link, address, "r0"), GH_SEND_COMPLETED);
	result = send_request(link, address, "r1");
	shutdown(executor.listen_fd, SHUT_RDWR);
	g_thread_join(server);
	close(executor.listen_fd);
	link->ops->free(link);
	print_message("%s: %d copies, result %d\n", c->name, executor.copies,
		      (int)result);
	assert_int_equal(executor.copies, 1);
	assert_int_equal(result, GH_SEND_RESET);
}

int main(void)
{
	struct CMUnitTest tests[G_N_ELEMENTS(cases)];
	size_t i;

	for (i = 0; i < G_N_ELEMENTS(cases); i++)
		tests[i] = (struct CMUnitTest){ cases[i].name,
						test_lost_response_is_no_proof,
						NULL, NULL, (void *)&cases[i] };
	return _cmocka_run_group_tests("executor_link", tests,
				       G_N_ELEMENTS(cases), NULL, NULL);
}
