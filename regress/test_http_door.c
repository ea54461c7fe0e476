/*
 * Tests of the door that servers share: whose sockets are shut down.
 */
#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <cmocka.h>
#include <sys/socket.h>
#include <unistd.h>

#include "http_door.h"

#define CLIENTS 3

static const gh_door_limits_t limits = { .clients = CLIENTS,
					 .bytes = 100,
					 .idle_time = 600 * GH_USEC_PER_SEC,
					 .transfer_time =
						 600 * GH_USEC_PER_SEC };

/* A door with clients whose requests arrive. */
typedef struct visit {
	http_door_t *door;
	gh_door_client_t *clients[CLIENTS];
	int fds[CLIENTS][2];
} visit_t;

static void start(visit_t *visit)
{
	unsigned i;

	visit->door = http_door_new(&limits);
	for (i = 0; i < CLIENTS; i++) {
		assert_int_equal(
			socketpair(AF_UNIX, SOCK_STREAM, 0, visit->fds[i]), 0);
		visit->clients[i] =
			http_door_enter(visit->door, visit->fds[i][0], false);
		http_door_receive(visit->door, visit->clients[i]);
	}
}

static void stop(visit_t *visit)
{
	unsigned i;

	for (i = 0; i < CLIENTS; i++) {
		http_door_leave(visit->door, visit->clients[i]);
		close(visit->fds[i][0]);
		close(visit->fds[i][1]);
	}
	http_door_free(visit->door);
}

static bool is_closed(const visit_t *visit, unsigned client)
{
	char byte;

	return !recv(visit->fds[client][1], &byte, 1, MSG_DONTWAIT);
}

static void test_room_is_made(void **state)
{
	visit_t visit;

	(void)state;
	start(&visit);
	assert_true(http_door_hold(visit.door, visit.clients[0], 60));
	assert_true(http_door_hold(visit.door, visit.clients[1], 50));
	assert_true(is_closed(&visit, 0));
	assert_false(is_closed(&visit, 1));
	stop(&visit);
}

/* Nobody is closed later for one who has been refused. */
static void test_refused_is_forgotten(void **state)
{
	visit_t visit;

	(void)state;
	start(&visit);
	assert_true(http_door_hold(visit.door, visit.clients[0], 60));
	http_door_serve(visit.door, visit.clients[0]);
	assert_false(http_door_take(visit.door, 50, 30));
	http_door_finish(visit.door, visit.clients[0]);
	assert_true(http_door_hold(visit.door, visit.clients[1], 70));
	http_door_receive(visit.door, visit.clients[2]);
	assert_false(is_closed(&visit, 1));
	stop(&visit);
}

int main(void)
{
	static const struct CMUnitTest tests[] = {
		cmocka_unit_test(test_room_is_made),
		cmocka_unit_test(test_refused_is_forgotten),
	};

	return cmocka_run_group_tests(tests, NULL, NULL);
}
