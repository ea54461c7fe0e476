/*
 * Process test of the link to workers: which connections its calls use when
 * all open ones have become silent.
 */
#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <cmocka.h>
#include <pthread.h>
#include <unistd.h>

#include "clock.h"
#include "fake.h"
#include "proc.h"
#include "worker_link.h"

#define CONNECTIONS 4
#define CALL_TIMEOUT_MS 300
#define REPLY_DELAY_MS "100"

typedef struct poll_case {
	const char *name;
	bool renew;
	gh_reply_t reply;
} poll_case_t;

/*
 * The polls of a worker while every idle connection to it is silent, in order.
 * An owner lists the tasks of a worker whose reply is missing, and must have
 * its list before the leases that it granted last have expired.
 */
static const poll_case_t polls[] = {
	{ "renewal on an idle connection", true, GH_REPLY_UNKNOWN },
	{ "list after it", false, GH_REPLY_OK },
	{ "another list", false, GH_REPLY_OK },
};

static char *block;
static int lock;
static proc_t worker;
static proc_t relay;
static char *worker_address; /* of the relay's link to the worker */
static char *relay_address;

static void set_link(const char *mode)
{
	json_decref(proc_control(
		relay_address,
		"{\"delay_ms\":" REPLY_DELAY_MS ",\"mode\":\"%s\"}", mode));
}

static gh_reply_t poll_worker(worker_link_t *link, bool renew,
			      int64_t timeout_ms)
{
	worker_call_t call = {
		.address = worker_address,
		.shard = "d0/0",
		.epoch = 1,
		.deadline = clock_boot() + timeout_ms * GH_USEC_PER_MSEC,
	};
	gh_report_t report;
	gh_reply_t reply = link->ops->poll(link, &call, renew, &report);

	g_free(report.tasks);
	return reply;
}

static void *poll_main(void *arg)
{
	gh_reply_t reply = poll_worker(arg, true, PROC_WAIT_MS);

	return GINT_TO_POINTER(reply == GH_REPLY_OK);
}

/* Polls several times at once, so that each poll opens a connection. */
static void open_connections(worker_link_t *link)
{
	pthread_t threads[CONNECTIONS];
	size_t i;

	set_link("delay");
	for (i = 0; i < CONNECTIONS; i++)
		assert_int_equal(
			pthread_create(&threads[i], NULL, poll_main, link), 0);
	for (i = 0; i < CONNECTIONS; i++) {
		void *ok;

		pthread_join(threads[i], &ok);
		assert_non_null(ok);
	}
	set_link("pass");
}

static void test_list_goes_past_silent_connections(void **state)
{
	worker_link_t *link = worker_http_new(2 * CONNECTIONS);
	size_t i;

	(void)state;
	open_connections(link);
	set_link("silent");
	for (i = 0; i < G_N_ELEMENTS(polls); i++) {
		const poll_case_t *c = &polls[i];
		gh_reply_t reply = poll_worker(link, c->renew,
					       c->reply == GH_REPLY_OK ?
						       10 * CALL_TIMEOUT_MS :
						       CALL_TIMEOUT_MS);

		if (reply != c->reply)
			fail_msg("%s: reply %d", c->name, (int)reply);
	}
	link->ops->free(link);
}

static int set_up(void **state)
{
	char *target;
	char *spec;

	(void)state;
	block = proc_reserve_block(&lock);
	target = g_strconcat(block, "10:7000", NULL);
	worker_address = g_strconcat(block, "10:8000", NULL);
	relay_address = g_strconcat(block, "1:7000", NULL);
	spec = g_strdup_printf("worker=%s>%s", worker_address, target);
	proc_start(&worker, "w0", "fake-worker",
		   (const char *const[]){ "--listen", target, "--name", "w0",
					  NULL },
		   true);
	proc_start(&relay, "relay", "fake-relay",
		   (const char *const[]){ "--ctl", relay_address, "--link",
					  spec, NULL },
		   true);
	g_free(target);
	g_free(spec);
	return 0;
}

static int tear_down(void **state)
{
	(void)state;
	proc_clear(&worker);
	proc_clear(&relay);
	close(lock);
	g_free(block);
	g_free(worker_address);
	g_free(relay_address);
	return 0;
}

int main(void)
{
	const struct CMUnitTest tests[] = {
		cmocka_unit_test(test_list_goes_past_silent_connections),
	};

	return cmocka_run_group_tests_name("worker_link", tests, set_up,
					   tear_down);
}
