/*
 * Tests of the fleet scheduler with failure domains that are emptied on
 * request, and with cold workers.
 */
#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <stdint.h>

#include <cmocka.h>
#include <string.h>

#include "fleet_world.h"

#define JOB_ID "d000000000000000"
#define EMPTY_MS 5000
/* Longer than an owner that hears nothing starts tasks. */
#define SILENCE_MS 4000

static const gh_step_t gang_step = { .tasks = 2,
				     .size = { .cores_milli = 1000 },
				     .estimate_ms = 1000,
				     .gang = true };
static const gh_step_t copied_step = { .tasks = 1,
				       .size = { .cores_milli = 1000 },
				       .estimate_ms = 1000,
				       .speculative = true };

/* How far the job is when domain "a" is to be emptied. */
typedef enum moment {
	AT_FIRST, /* it is not known yet */
	AT_PLANNED,
	AT_COMMITTING, /* the reply to the commit is on its way */
	AT_COMMITTED,  /* the start is not sent */
	AT_SENT,       /* the start has got no reply */
	AT_RUNNING
} moment_t;

typedef struct domain_case {
	const char *name;
	const gh_step_t *step; /* NULL: one_task */
	int64_t back_ms;       /* it is taken back after this time */
	size_t in_a, in_b;     /* runs there at the end */
	moment_t moment;
	bool executed;	     /* the start without a reply was executed */
	bool all;	     /* domain "b" is to be emptied as well */
	bool unnamed;	     /* the entry of the worker in "a" names none */
	bool owner_replaced; /* just before the request is heard */
	bool again;	     /* after back_ms it is made again at once */
	bool stopped;	     /* a stop is sent */
} domain_case_t;

static const domain_case_t cases[] = {
	{ .name = "requested before the job came", .in_b = 1 },
	{ .name = "planned", .moment = AT_PLANNED, .in_b = 1 },
	{ .name = "commit in flight", .moment = AT_COMMITTING, .in_b = 1 },
	{ .name = "committed, not sent", .moment = AT_COMMITTED, .in_b = 1 },
	{ .name = "sent and lost",
	  .moment = AT_SENT,
	  .in_b = 1,
	  .stopped = true },
	{ .name = "sent and executed, listed before the next try",
	  .moment = AT_SENT,
	  .executed = true,
	  .in_a = 1 },
	{ .name = "running", .moment = AT_RUNNING, .in_a = 1 },
	{ .name = "long-running, planned",
	  .moment = AT_PLANNED,
	  .step = &long_running_step,
	  .in_b = 1 },
	{ .name = "long-running, at work",
	  .moment = AT_RUNNING,
	  .step = &long_running_step,
	  .in_a = 1 },
	{ .name = "gang, one of it planned there",
	  .moment = AT_PLANNED,
	  .step = &gang_step,
	  .in_b = 2 },
	{ .name = "gang, one of it committed there",
	  .moment = AT_COMMITTED,
	  .step = &gang_step,
	  .in_b = 2 },
	{ .name = "gang, the start of one lost there",
	  .moment = AT_SENT,
	  .step = &gang_step,
	  .in_b = 2,
	  .stopped = true },
	{ .name = "gang at work",
	  .moment = AT_RUNNING,
	  .step = &gang_step,
	  .in_a = 1,
	  .in_b = 1 },
	{ .name = "all domains", .all = true },
	{ .name = "all domains, planned", .moment = AT_PLANNED, .all = true },
	{ .name = "all domains, taken back",
	  .moment = AT_COMMITTED,
	  .all = true,
	  .back_ms = 1000,
	  .in_a = 1 },
	{ .name = "all domains, taken back and requested again",
	  .moment = AT_PLANNED,
	  .all = true,
	  .back_ms = 1000,
	  .again = true },
	{ .name = "all domains, taken back while a start is stopped",
	  .moment = AT_SENT,
	  .all = true,
	  .back_ms = 150,
	  .in_a = 1,
	  .stopped = true },
	{ .name = "no domain told", .unnamed = true, .in_b = 1 },
	{ .name = "no domain told, committed",
	  .moment = AT_COMMITTED,
	  .unnamed = true,
	  .in_b = 1 },
	{ .name = "owner replaced, committed",
	  .moment = AT_COMMITTED,
	  .owner_replaced = true,
	  .in_b = 1 },
	{ .name = "owner replaced, running",
	  .moment = AT_RUNNING,
	  .owner_replaced = true,
	  .in_a = 1 },
};

static void request(world_t *w, bool a, bool b)
{
	const char *names[] = { a ? "a" : "b", "b" };

	gh_fleet_domains_set(w->fleet, names, (size_t)a + b, w->now);
}

static void set_domain(world_t *w, scripted_worker_t *worker, const char *name)
{
	worker->domain = name;
	list_worker(w, worker, false);
}

/* Lets the job come as far as the case wants it. */
static void reach(world_t *w, const domain_case_t *c)
{
	scripted_worker_t *a = find_worker(w, "a0");

	w->store_down = c->moment == AT_PLANNED;
	w->commit_replies_held = c->moment == AT_COMMITTING;
	w->orders_held = c->moment == AT_COMMITTED;
	a->loses_orders = c->moment == AT_SENT && !c->executed;
	a->drops_replies = c->executed;
	if (c->moment == AT_FIRST)
		request(w, true, c->all);
	add_job(w, JOB_ID, 1, c->step ? c->step : &one_task, NULL);
	advance_time(w, c->moment == AT_RUNNING ? 500 : 10);
}

static void change_owner(world_t *w, const domain_case_t *c)
{
	char *progress = g_strdup(w->progress);
	size_t i;

	replace_owner(w);
	for (i = 0; i < w->n_workers; i++)
		list_worker(w, &w->workers[i], false);
	add_job(w, JOB_ID, 1, c->step ? c->step : &one_task, progress);
	g_free(progress);
}

/* Starts that were sent to workers in "a" since the order. */
static size_t count_starts_in_a(const world_t *w, size_t from)
{
	size_t n = 0;

	for (; from < w->n_orders; from++)
		n += w->orders[from].kind == GH_ORDER_START &&
		     w->orders[from].worker[0] == 'a';
	return n;
}

static size_t count_runs(const world_t *w, char domain)
{
	size_t i, n = 0;

	for (i = 0; i < w->n_workers; i++)
		if (w->workers[i].id[0] == domain)
			n += w->workers[i].n_runs;
	return n;
}

/* Plays the case; whether all went as it should. */
static bool play_case(const domain_case_t *c)
{
	bool gang = c->step == &gang_step;
	size_t from, late, stops;
	bool ok;
	world_t w;

	world_init_domains(&w, EMPTY_MS);
	set_domain(&w, add_worker(&w, "a0", gang ? 1000 : 8000),
		   c->unnamed ? NULL : "a");
	if (gang)
		set_domain(&w, add_worker(&w, "b0", 1000), "b");
	advance_time(&w, 100);
	reach(&w, c);
	if (c->owner_replaced)
		change_owner(&w, c);
	request(&w, true, c->all);
	from = w.n_orders;
	w.store_down = w.commit_replies_held = w.orders_held = false;
	set_domain(&w, add_worker(&w, "b1", 8000), "b");
	advance_time(&w, 50);
	find_worker(&w, "a0")->loses_orders = false;
	find_worker(&w, "a0")->drops_replies = false;
	advance_time(&w, c->back_ms ? c->back_ms : 4000);
	late = count_starts_in_a(&w, from);
	if (c->back_ms) {
		/* So that it is "a" that gets what waits. */
		request(&w, false, true);
		advance_time(&w, c->again ? 0 : 1500);
		if (c->again)
			request(&w, true, true);
		advance_time(&w, 1500);
	}
	stops = count_orders(&w, GH_ORDER_STOP, 0);
	ok = !late && !w.n_twice && count_runs(&w, 'a') == c->in_a &&
	     count_runs(&w, 'b') == c->in_b && c->stopped == (stops > 0);
	print_message("%s: %zu starts there, %zu stops, %zu runs in a, %zu in "
		      "b%s\n",
		      c->name, late, stops, count_runs(&w, 'a'),
		      count_runs(&w, 'b'), ok ? "" : " (!)");
	world_clear(&w);
	return ok;
}

static void test_nothing_starts_in_an_emptied_domain(void **state)
{
	size_t i, wrong = 0;

	(void)state;
	for (i = 0; i < G_N_ELEMENTS(cases); i++)
		wrong += !play_case(&cases[i]);
	assert_int_equal(wrong, 0);
}

/* How an owner has heard of the requests. */
typedef struct silence_case {
	const char *name;
	int64_t empty_ms;
	int64_t heard_ms; /* at first; 0: never */
	int64_t silent_ms;
	size_t runs; /* of a job that comes then */
} silence_case_t;

static const silence_case_t silence_cases[] = {
	{ "never heard", EMPTY_MS, 0, 100, 0 },
	{ "heard lately", EMPTY_MS, 100, 2000, 1 },
	{ "not heard for long", EMPTY_MS, 100, SILENCE_MS, 0 },
	{ "never heard, a short bound", 1000, 0, 100, 0 },
	{ "heard lately, a short bound", 1000, 100, 300, 1 },
	{ "not heard for long, a short bound", 1000, 100, 800, 0 },
	{ "no requests are followed", 0, 0, SILENCE_MS, 1 },
};

static void test_no_start_while_requests_are_unknown(void **state)
{
	size_t i;

	(void)state;
	for (i = 0; i < G_N_ELEMENTS(silence_cases); i++) {
		const silence_case_t *c = &silence_cases[i];
		world_t w;

		world_init_domains(&w, c->empty_ms);
		set_domain(&w, add_worker(&w, "a0", 8000), "a");
		if (c->heard_ms)
			advance_time(&w, c->heard_ms);
		w.domains_unheard = true;
		advance_time(&w, c->silent_ms);
		add_job(&w, JOB_ID, 1, &one_task, NULL);
		advance_time(&w, 100);
		print_message("%s\n", c->name);
		assert_int_equal(w.workers[0].n_runs, c->runs);
		w.domains_unheard = false;
		advance_time(&w, 500);
		assert_int_equal(w.workers[0].n_runs, 1);
		world_clear(&w);
	}
}

/* The start is committed as the requests are no longer heard. */
static void test_committed_start_waits_for_requests(void **state)
{
	gh_fleet_counts_t counts;
	world_t w;

	(void)state;
	world_init_domains(&w, EMPTY_MS);
	set_domain(&w, add_worker(&w, "a0", 8000), "a");
	advance_time(&w, 100);
	w.orders_held = true;
	add_job(&w, JOB_ID, 1, &one_task, NULL);
	advance_time(&w, 20);
	w.domains_unheard = true;
	advance_time(&w, SILENCE_MS);
	w.orders_held = false;
	advance_time(&w, 500);
	assert_int_equal(w.n_orders, 0);
	gh_fleet_counts(w.fleet, &counts);
	assert_true(counts.withheld);
	w.domains_unheard = false;
	advance_time(&w, 200);
	assert_int_equal(w.workers[0].n_runs, 1);
	assert_int_equal(w.workers[0].runs[0].run, 1);
	world_clear(&w);
}

static void test_emptied_worker_is_no_room(void **state)
{
	gh_shard_load_t load;
	world_t w;

	(void)state;
	world_init_domains(&w, EMPTY_MS);
	set_domain(&w, add_worker(&w, "a0", 8000), "a");
	set_domain(&w, add_worker(&w, "b0", 2000), "b");
	advance_time(&w, 100);
	gh_fleet_load(w.fleet, &load, w.now);
	assert_int_equal(load.total.cores_milli, 10000);
	assert_int_equal(load.n_rooms, 2);
	request(&w, true, false);
	gh_fleet_load(w.fleet, &load, w.now);
	assert_int_equal(load.total.cores_milli, 2000);
	assert_int_equal(load.n_rooms, 1);
	request(&w, false, false);
	gh_fleet_load(w.fleet, &load, w.now);
	assert_int_equal(load.total.cores_milli, 10000);
	world_clear(&w);
}

static void test_unknown_domain_changes_nothing(void **state)
{
	static const char *const names[] = { "nowhere" };
	world_t w;

	(void)state;
	world_init_domains(&w, EMPTY_MS);
	set_domain(&w, add_worker(&w, "a0", 8000), "a");
	gh_fleet_domains_set(w.fleet, names, 1, w.now);
	add_job(&w, JOB_ID, 1, &one_task, NULL);
	advance_time(&w, 200);
	assert_int_equal(w.workers[0].n_runs, 1);
	world_clear(&w);
}

/* The worker's next entry names another domain. */
static void test_domain_of_entry_counts(void **state)
{
	world_t w;

	(void)state;
	world_init_domains(&w, EMPTY_MS);
	set_domain(&w, add_worker(&w, "a0", 8000), "b");
	advance_time(&w, 100);
	request(&w, true, false);
	w.orders_held = true;
	add_job(&w, JOB_ID, 1, &one_task, NULL);
	advance_time(&w, 20);
	set_domain(&w, &w.workers[0], "a");
	w.orders_held = false;
	advance_time(&w, 1000);
	assert_int_equal(w.n_orders, 0);
	set_domain(&w, &w.workers[0], "b");
	advance_time(&w, 1000);
	assert_int_equal(w.workers[0].n_runs, 1);
	world_clear(&w);
}

static void test_warm_worker_is_preferred(void **state)
{
	scripted_worker_t *cold, *warm;
	world_t w;

	(void)state;
	world_init(&w);
	/* It would be the tighter fit. */
	cold = add_worker(&w, "c", 2000);
	warm = add_worker(&w, "w", 8000);
	cold->cold_ms = 1000;
	list_worker(&w, cold, false);
	advance_time(&w, 100);
	add_job(&w, JOB_ID, 1, &one_task, NULL);
	advance_time(&w, 100);
	assert_int_equal(warm->n_runs, 1);
	/* Its next entry says that it is warm. */
	cold->cold_ms = 0;
	list_worker(&w, cold, false);
	add_job(&w, "d000000000000001", 1, &one_task, NULL);
	advance_time(&w, 100);
	assert_int_equal(cold->n_runs, 1);
	world_clear(&w);
}

static void test_cold_worker_is_not_held_to_estimates(void **state)
{
	scripted_worker_t *cold;
	world_t w;

	(void)state;
	world_init(&w);
	cold = add_worker(&w, "c", 8000);
	cold->cold_ms = 4000;
	cold->stalled = true;
	list_worker(&w, cold, false);
	advance_time(&w, 100);
	add_job(&w, JOB_ID, 1, &copied_step, NULL);
	advance_time(&w, 100);
	assert_int_equal(cold->n_runs, 1);
	add_worker(&w, "w", 8000);
	/* Neither a copy nor the end of a run without progress. */
	advance_time(&w, 3700);
	assert_int_equal(w.n_orders, 1);
	advance_time(&w, 4000);
	assert_true(w.n_orders > 1);
	world_clear(&w);
}

int main(void)
{
	static const struct CMUnitTest tests[] = {
		cmocka_unit_test(test_nothing_starts_in_an_emptied_domain),
		cmocka_unit_test(test_no_start_while_requests_are_unknown),
		cmocka_unit_test(test_committed_start_waits_for_requests),
		cmocka_unit_test(test_emptied_worker_is_no_room),
		cmocka_unit_test(test_unknown_domain_changes_nothing),
		cmocka_unit_test(test_domain_of_entry_counts),
		cmocka_unit_test(test_warm_worker_is_preferred),
		cmocka_unit_test(test_cold_worker_is_not_held_to_estimates),
	};

	return cmocka_run_group_tests(tests, NULL, NULL);
}
