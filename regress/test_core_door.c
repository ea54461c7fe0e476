/*
 * Tests of the door's account: what is admitted, and who is closed first.
 */
#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <cmocka.h>

#include <glib.h>

#include "core_door.h"

#define CLIENTS_MAX 16
#define AT(s) ((s)*GH_USEC_PER_SEC)

/* Clients are named by their numbers, 1 and up. */
typedef struct step {
	char what; /* see run() */
	unsigned client;
	gh_time_t at;
	size_t bytes;
	size_t body_bytes; /* of what is parsed; 0: as bytes */
	bool refused;
	/* Clients to be closed after it, in order, and why. */
	unsigned closed[3];
	gh_door_reason_t reason;
} step_t;

typedef struct door_case {
	const char *name;
	step_t steps[16];
	size_t bytes_at_end;
} door_case_t;

static const gh_door_limits_t limits = { .clients = 3,
					 .bytes = 100,
					 .idle_time = AT(30),
					 .transfer_time = AT(10) };

static const door_case_t cases[] = {
	{ .name = "the one that is idle for longest gives way",
	  .steps = { { 'e', 1, AT(1) },
		     { 'e', 2, AT(1) },
		     { 'e', 3, AT(1) },
		     { 'r', 1, AT(2) },
		     { 'f', 1, AT(2) },
		     { 'e', 4, AT(3), .closed = { 2 } } } },
	{ .name = "a stalled sender gives way to later clients",
	  .steps = { { 'e', 1, AT(1) },
		     { 'r', 1, AT(1) },
		     { 'e', 2, AT(2) },
		     { 'e', 3, AT(2) },
		     { 'e', 4, AT(3), .closed = { 1 } } } },
	{ .name = "a request that is served is not closed",
	  .steps = { { 'e', 1, AT(1) },
		     { 's', 1, AT(1) },
		     { 'e', 2, AT(1) },
		     { 's', 2, AT(1) },
		     { 'e', 3, AT(1) },
		     { 's', 3, AT(1) },
		     { 'e', 4, AT(2), .closed = { 4 } },
		     { 's', 4, AT(2), .refused = true } } },
	{ .name = "a check comes in while all others are being served",
	  .steps = { { 'e', 1, AT(1) },
		     { 's', 1, AT(1) },
		     { 'e', 2, AT(1) },
		     { 's', 2, AT(1) },
		     { 'e', 3, AT(1) },
		     { 's', 3, AT(1) },
		     { 'c', 4, AT(2) },
		     { 'e', 5, AT(2), .closed = { 5 } },
		     { 'l', 5, AT(2) },
		     { 'l', 4, AT(2) },
		     { 'c', 6, AT(2) } } },
	{ .name = "a check that is idle is not closed for others",
	  .steps = { { 'c', 1, AT(1) },
		     { 'e', 2, AT(2) },
		     { 'e', 3, AT(2) },
		     { 'e', 4, AT(2) },
		     { 'e', 5, AT(3), .closed = { 2 } } } },
	{ .name = "a crowd of checks counts",
	  .steps = { { 'c', 1, AT(1) },
		     { 'c', 2, AT(1) },
		     { 'c', 3, AT(1) },
		     { 'c', 4, AT(1) },
		     { 'c', 5, AT(1) },
		     { 'c', 6, AT(1) },
		     { 'c', 7, AT(1) },
		     { 'c', 8, AT(1) },
		     { 'e', 9, AT(1) },
		     { 'e', 10, AT(1) },
		     { 'e', 11, AT(1) },
		     { 'c', 12, AT(1), .closed = { 1 } },
		     { 'c', 13, AT(1), .closed = { 2 } } } },
	{ .name = "one that is closing is not counted and closed once",
	  .steps = { { 'e', 1, AT(1) },
		     { 'e', 2, AT(1) },
		     { 'e', 3, AT(1) },
		     { 'e', 4, AT(1), .closed = { 1 } },
		     { 'l', 1, AT(1) },
		     { 'e', 5, AT(1), .closed = { 2 } } } },
	{ .name = "the largest body gives way",
	  .steps = { { 'e', 1, AT(1) },
		     { 'r', 1, AT(1) },
		     { 'h', 1, AT(1), .bytes = 40 },
		     { 'e', 2, AT(1) },
		     { 'r', 2, AT(1) },
		     { 'h', 2, AT(1), .bytes = 60 },
		     { 'e', 3, AT(1) },
		     { 'r', 3, AT(1) },
		     { 'h', 3, AT(1), .bytes = 10, .refused = true,
		       .closed = { 2 }, .reason = GH_DOOR_FULL },
		     { 'h', 3, AT(1), .bytes = 10 } },
	  .bytes_at_end = 110 },
	{ .name = "a body does not push out smaller ones",
	  .steps = { { 'e', 1, AT(1) },
		     { 'r', 1, AT(1) },
		     { 'h', 1, AT(1), .bytes = 40 },
		     { 'e', 2, AT(1) },
		     { 'r', 2, AT(1) },
		     { 'h', 2, AT(1), .bytes = 61, .refused = true } },
	  .bytes_at_end = 40 },
	{ .name = "a body that is being served is not pushed out",
	  .steps = { { 'e', 1, AT(1) },
		     { 'r', 1, AT(1) },
		     { 'h', 1, AT(1), .bytes = 95 },
		     { 's', 1, AT(1) },
		     { 'e', 2, AT(1) },
		     { 'r', 2, AT(1) },
		     { 'h', 2, AT(1), .bytes = 10, .refused = true } },
	  .bytes_at_end = 95 },
	{ .name = "what is parsed pushes out larger bodies",
	  .steps = { { 'e', 1, AT(1) },
		     { 'r', 1, AT(1) },
		     { 'h', 1, AT(1), .bytes = 95 },
		     { 't', 0, AT(1), .bytes = 20, .refused = true,
		       .closed = { 1 }, .reason = GH_DOOR_FULL },
		     { 't', 0, AT(1), .bytes = 20 },
		     { 'g', 0, AT(1), .bytes = 20 } },
	  .bytes_at_end = 95 },
	{ .name = "what is parsed from a whole body pushes out stalled ones",
	  .steps = { { 'e', 1, AT(1) },
		     { 'r', 1, AT(1) },
		     { 'h', 1, AT(1), .bytes = 45 },
		     { 'e', 2, AT(1) },
		     { 'r', 2, AT(1) },
		     { 'h', 2, AT(1), .bytes = 45 },
		     { 't', 0, AT(1), .bytes = 60, .body_bytes = 10,
		       .refused = true, .closed = { 1, 2 },
		       .reason = GH_DOOR_FULL },
		     { 't', 0, AT(1), .bytes = 60, .body_bytes = 10 } },
	  .bytes_at_end = 150 },
	{ .name = "nobody is closed for room that would not do",
	  .steps = { { 'e', 1, AT(1) },
		     { 'r', 1, AT(1) },
		     { 'h', 1, AT(1), .bytes = 60 },
		     { 's', 1, AT(1) },
		     { 'e', 2, AT(1) },
		     { 'r', 2, AT(1) },
		     { 'h', 2, AT(1), .bytes = 30 },
		     { 't', 0, AT(1), .bytes = 50, .body_bytes = 20,
		       .refused = true } },
	  .bytes_at_end = 90 },
	{ .name = "what closing clients hold is free up to half the limit",
	  .steps = { { 'e', 1, AT(1) },
		     { 'r', 1, AT(1) },
		     { 'h', 1, AT(1), .bytes = 100 },
		     { 't', 0, AT(1), .bytes = 50, .refused = true,
		       .closed = { 1 }, .reason = GH_DOOR_FULL },
		     { 't', 0, AT(1), .bytes = 50 },
		     { 't', 0, AT(1), .bytes = 1, .refused = true },
		     { 'l', 1, AT(1) },
		     { 't', 0, AT(1), .bytes = 50 } },
	  .bytes_at_end = 100 },
	{ .name = "a deadline is not renewed by bytes",
	  .steps = { { 'e', 1, AT(1) },
		     { 'r', 1, AT(1) },
		     { 'h', 1, AT(6), .bytes = 1 },
		     { 'h', 1, AT(11), .bytes = 1, .closed = { 1 },
		       .reason = GH_DOOR_LATE },
		     { 'h', 1, AT(12), .bytes = 1, .refused = true } },
	  .bytes_at_end = 2 },
	{ .name = "deadlines of each step",
	  .steps = { { 'e', 1, AT(1) },
		     { 's', 1, AT(1) },
		     { 'e', 2, AT(1) },
		     { 'n', 2, AT(1) },
		     { 'e', 3, AT(1) },
		     { 't', 0, AT(12), .closed = { 2 },
		       .reason = GH_DOOR_LATE },
		     { 't', 0, AT(32), .closed = { 3 },
		       .reason = GH_DOOR_LATE },
		     { 't', 0, AT(1000) } } },
};

/* Returns whether what was asked for was granted. */
static bool run(gh_door_t *door, gh_door_client_t **clients, const step_t *step)
{
	gh_door_client_t **client = &clients[step->client];

	switch (step->what) {
	case 'e':
	case 'c':
		*client = gh_door_enter(door, GUINT_TO_POINTER(step->client),
					step->what == 'c', step->at);
		return true;
	case 'r':
		gh_door_receive(door, *client, step->at);
		return true;
	case 's':
		return gh_door_serve(door, *client);
	case 'n':
		gh_door_send(door, *client, step->at);
		return true;
	case 'f':
		gh_door_finish(door, *client, step->at);
		return true;
	case 'l':
		gh_door_leave(door, *client);
		return true;
	case 'h':
		return gh_door_hold(door, *client, step->bytes);
	case 't':
		return gh_door_take(door, step->bytes,
				    step->body_bytes ? step->body_bytes :
						       step->bytes);
	case 'g':
		gh_door_give(door, step->bytes);
		return true;
	default:
		return false;
	}
}

static void test_cases(void **state)
{
	size_t i, j, k;

	(void)state;
	for (i = 0; i < G_N_ELEMENTS(cases); i++) {
		const door_case_t *c = &cases[i];
		gh_door_client_t *clients[CLIENTS_MAX] = { 0 };
		gh_door_t *door = gh_door_new(&limits);

		print_message("%s\n", c->name);
		for (j = 0; j < G_N_ELEMENTS(c->steps) && c->steps[j].what;
		     j++) {
			const step_t *step = &c->steps[j];
			gh_door_reason_t reason;
			gh_door_client_t *next;

			assert_int_equal(run(door, clients, step),
					 !step->refused);
			for (k = 0;
			     k < G_N_ELEMENTS(step->closed) && step->closed[k];
			     k++) {
				next = gh_door_next(door, step->at, &reason);
				assert_ptr_equal(next,
						 clients[step->closed[k]]);
				assert_int_equal(reason, step->reason);
			}
			assert_null(gh_door_next(door, step->at, &reason));
		}
		assert_int_equal(gh_door_bytes(door), c->bytes_at_end);
		gh_door_free(door);
	}
}

static const struct {
	unsigned memory_mb, descriptors;
	unsigned clients;
	size_t bytes;
} hosts[] = {
	{ 512, 4296, 1365, 64 << 20 },
	{ 160, 4100, 640, 20 << 20 },
	{ 260, 4100, 1040, 32 << 20 | 1 << 19 },
	{ 1 << 20, 1 << 20, 2048, (size_t)128 << 30 },
	{ 64, 320, 40, 12 << 20 },
	{ 64, 100, 1, 12 << 20 },
};

static void test_limits(void **state)
{
	size_t i;

	(void)state;
	for (i = 0; i < G_N_ELEMENTS(hosts); i++) {
		gh_door_limits_t got = gh_door_limits_for(hosts[i].memory_mb,
							  hosts[i].descriptors);

		assert_int_equal(got.clients, hosts[i].clients);
		assert_int_equal(got.bytes, hosts[i].bytes);
	}
}

int main(void)
{
	static const struct CMUnitTest tests[] = {
		cmocka_unit_test(test_cases),
		cmocka_unit_test(test_limits),
	};

	return cmocka_run_group_tests(tests, NULL, NULL);
}
