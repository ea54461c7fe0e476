/*
 * Tests of an owned shard and its threads against a store and workers in
 * memory: a job runs to its end, and survives a change of owner, a store
 * outage and an unresponsive worker.  The tests wait for observed states, not
 * for fixed times.
 */
#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <cmocka.h>
#include <string.h>

#include "clock.h"
#include "error.h"
#include "mem_store.h"
#include "shard_run.h"

#define TIMEOUT_USEC (60 * GH_USEC_PER_SEC)
#define POLL_INTERVAL_USEC (5 * GH_USEC_PER_MSEC)
#define LEASE_MS (3600 * 1000)
#define TASKS_MAX 64

#define DOCUMENT                                                       \
	"[policy]\ncommit_ms=5\nworker_poll_ms=50\nbackoff_ms=10\n"    \
	"[department lace]\nguarantee_percent=50\nlimit_percent=100\n" \
	"jobs_max=1000\n[domain bole]\nregion=addis\n"                 \
	"[worker w1]\ndomain=bole\nrack=r1\naddress=127.0.1.1:1\n"     \
	"cores=4\nmemory_mb=4000\n[worker w2]\ndomain=bole\nrack=r2\n" \
	"address=127.0.1.2:1\ncores=4\nmemory_mb=4000\n"

/* Link to workers simulated in memory; a call's address selects the worker. */
typedef struct fake_link {
	worker_link_t base;
	GMutex lock;
	GCond changed;
	char unresponsive[GH_ADDRESS_MAX +
			  1]; /* address of the worker to which calls block */
	gh_report_task_t tasks[TASKS_MAX];
	char addresses[TASKS_MAX][GH_ADDRESS_MAX + 1]; /* address of the worker
							  that runs each task */
	size_t n_tasks;
	uint64_t max_epoch; /* highest epoch received in a call */
	unsigned starts;
	unsigned renewals;
	bool finish_on_poll; /* the next poll reports running tasks as done */
} fake_link_t;

static void wait_while_unresponsive(fake_link_t *link, const char *address)
{
	while (!strcmp(link->unresponsive, address))
		g_cond_wait(&link->changed, &link->lock);
}

static gh_reply_t fake_act(worker_link_t *base, const worker_call_t *call,
			   const gh_action_t *action,
			   char checkpoint[GH_CHECKPOINT_MAX + 1])
{
	fake_link_t *link = (fake_link_t *)base;
	gh_reply_t reply = GH_REPLY_OK;
	size_t i;

	g_mutex_lock(&link->lock);
	wait_while_unresponsive(link, call->address);
	checkpoint[0] = '\0';
	if (call->epoch < link->max_epoch)
		reply = GH_REPLY_FENCED;
	link->max_epoch = MAX(link->max_epoch, call->epoch);
	if (reply == GH_REPLY_OK && action->kind == GH_ACTION_START) {
		gh_report_task_t *task = &link->tasks[link->n_tasks];

		assert_true(link->n_tasks < TASKS_MAX);
		g_strlcpy(task->task, action->task, sizeof(task->task));
		g_strlcpy(link->addresses[link->n_tasks++], call->address,
			  sizeof(link->addresses[0]));
		task->attempt = action->attempt;
		task->state = GH_REPORT_RUNNING;
		link->starts++;
	}
	for (i = 0; i < link->n_tasks && action->kind == GH_ACTION_STOP; i++)
		if (!strcmp(link->tasks[i].task, action->task))
			link->tasks[i].state = GH_REPORT_STOPPED;
	g_mutex_unlock(&link->lock);
	return reply;
}

static gh_reply_t fake_poll(worker_link_t *base, const worker_call_t *call,
			    bool renew, gh_report_t *report)
{
	fake_link_t *link = (fake_link_t *)base;
	gh_reply_t reply = GH_REPLY_OK;
	size_t i;

	memset(report, 0, sizeof(*report));
	g_mutex_lock(&link->lock);
	wait_while_unresponsive(link, call->address);
	report->sent_at = clock_boot();
	report->renewed = renew;
	report->tasks = g_new0(gh_report_task_t, TASKS_MAX);
	if (call->epoch < link->max_epoch)
		reply = GH_REPLY_FENCED;
	link->max_epoch = MAX(link->max_epoch, call->epoch);
	link->renewals += renew;
	for (i = 0; i < link->n_tasks; i++) {
		if (strcmp(link->addresses[i], call->address) != 0)
			continue;
		if (link->finish_on_poll)
			link->tasks[i].state = GH_REPORT_DONE;
		report->tasks[report->n_tasks++] = link->tasks[i];
	}
	g_mutex_unlock(&link->lock);
	return reply;
}

static const worker_ops_t fake_ops = { .act = fake_act, .poll = fake_poll };

typedef struct fixture {
	mem_store_t *store;
	shard_pool_t *pool;
	gh_document_t *doc;
	fake_link_t link;
} fixture_t;

static int set_up(void **state)
{
	fixture_t *f = g_new0(fixture_t, 1);

	f->store = mem_store_new();
	f->pool = shard_pool_new();
	f->doc = gh_document_parse(DOCUMENT, strlen(DOCUMENT), 1, NULL);
	assert_non_null(f->doc);
	f->link.base.ops = &fake_ops;
	g_mutex_init(&f->link.lock);
	g_cond_init(&f->link.changed);
	*state = f;
	return 0;
}

static int tear_down(void **state)
{
	fixture_t *f = *state;

	shard_pool_free(f->pool);
	gh_document_unref(f->doc);
	store_free(&f->store->base);
	g_mutex_clear(&f->link.lock);
	g_cond_clear(&f->link.changed);
	g_free(f);
	return 0;
}

static shard_run_t *start_owner(fixture_t *f, uint64_t epoch)
{
	shard_run_setup_t setup = { .store = &f->store->base,
				    .link = &f->link.base,
				    .pool = f->pool,
				    .prefix = "t/tasks/bole/0",
				    .owner = "e",
				    .incarnation = epoch,
				    .domain = "bole",
				    .epoch = epoch,
				    .doc = f->doc };
	shard_run_t *run = shard_run_new(&setup);

	shard_run_extend_lease(run, clock_boot() + gh_time_from_ms(LEASE_MS),
			       gh_time_to_ms(clock_real()) + LEASE_MS);
	return run;
}

static void stop_owner(shard_run_t *run)
{
	shard_run_stop(run, true);
	shard_run_unref(run);
}

/* Submits a job; retries while the shard is being loaded. */
static void submit(shard_run_t *run, const char *name, uint32_t tasks)
{
	gh_time_t until = clock_boot() + TIMEOUT_USEC;
	gh_job_spec_t spec = { .department = "lace",
			       .kind = "build",
			       .class = GH_CLASS_BATCH,
			       .tasks = tasks,
			       .cores_milli = 1000 };
	GError *err = NULL;

	g_strlcpy(spec.name, name, sizeof(spec.name));
	while (!shard_run_submit(run, &spec, &err)) {
		assert_int_equal(gh_error_kind(err), GH_E_STARTING);
		g_clear_error(&err);
		assert_true(clock_boot() < until);
		g_usleep(POLL_INTERVAL_USEC);
	}
}

static int64_t task_count(shard_run_t *run, const char *job, const char *state)
{
	json_t *json = shard_run_job_status(run, job, NULL);
	int64_t n = json_integer_value(
		json_object_get(json_object_get(json, "tasks"), state));

	json_decref(json);
	return n;
}

/* Waits until at least n tasks of the job are in the state. */
static void wait_task_count(shard_run_t *run, const char *job,
			    const char *state, int64_t n)
{
	gh_time_t until = clock_boot() + TIMEOUT_USEC;

	while (task_count(run, job, state) < n) {
		assert_true(clock_boot() < until);
		g_usleep(POLL_INTERVAL_USEC);
	}
}

static unsigned renewal_count(fixture_t *f)
{
	unsigned n;

	g_mutex_lock(&f->link.lock);
	n = f->link.renewals;
	g_mutex_unlock(&f->link.lock);
	return n;
}

/* A repeated submission adds no tasks: each task starts exactly once. */
static void test_job_runs_through(void **state)
{
	fixture_t *f = *state;
	shard_run_t *run = start_owner(f, 1);

	submit(run, "j", 6);
	submit(run, "j", 6);
	wait_task_count(run, "j", "running", 6);
	g_mutex_lock(&f->link.lock);
	f->link.finish_on_poll = true;
	g_mutex_unlock(&f->link.lock);
	wait_task_count(run, "j", "done", 6);
	assert_int_equal(f->link.starts, 6);
	stop_owner(run);
}

/* The next owner keeps the running tasks and starts only the tasks of the new
 * job. */
static void test_next_owner_goes_on(void **state)
{
	fixture_t *f = *state;
	shard_run_t *run = start_owner(f, 1);

	submit(run, "j", 6);
	wait_task_count(run, "j", "running", 6);
	stop_owner(run);
	run = start_owner(f, 2);
	submit(run, "k", 1);
	wait_task_count(run, "j", "running", 6);
	wait_task_count(run, "k", "running", 1);
	assert_int_equal(f->link.starts, 7);
	stop_owner(run);
}

/*
 * With two owners at once, the one with the lower epoch is fenced and accepts
 * no more jobs.
 */
static void test_overtaken_owner_stops(void **state)
{
	fixture_t *f = *state;
	shard_run_t *run = start_owner(f, 1);
	shard_run_t *next;
	gh_time_t until = clock_boot() + TIMEOUT_USEC;
	gh_job_spec_t spec = { .name = "late",
			       .department = "lace",
			       .kind = "build",
			       .tasks = 1,
			       .cores_milli = 1000 };

	submit(run, "j", 2);
	wait_task_count(run, "j", "running", 2);
	next = start_owner(f, 2);
	submit(next, "k", 1);
	while (!shard_run_is_fenced(run)) {
		assert_true(clock_boot() < until);
		g_usleep(POLL_INTERVAL_USEC);
	}
	assert_false(shard_run_submit(run, &spec, NULL));
	wait_task_count(next, "j", "running", 2);
	wait_task_count(next, "k", "running", 1);
	assert_int_equal(f->link.starts, 3);
	stop_owner(run);
	stop_owner(next);
}

/*
 * While the store is down, jobs are refused but task leases are renewed; the
 * refused job is not accepted later.
 */
static void test_outage(void **state)
{
	fixture_t *f = *state;
	shard_run_t *run = start_owner(f, 1);
	gh_time_t until = clock_boot() + TIMEOUT_USEC;
	GError *err = NULL;
	unsigned before;
	gh_job_spec_t spec = { .name = "late",
			       .department = "lace",
			       .kind = "build",
			       .tasks = 1,
			       .cores_milli = 1000 };

	submit(run, "j", 2);
	wait_task_count(run, "j", "running", 2);
	mem_store_set_down(f->store, true);
	before = renewal_count(f);
	assert_false(shard_run_submit(run, &spec, &err));
	assert_int_equal(gh_error_kind(err), GH_E_STORE_DOWN);
	g_error_free(err);
	while (renewal_count(f) < before + 10) {
		assert_true(clock_boot() < until);
		g_usleep(POLL_INTERVAL_USEC);
	}
	assert_int_equal(task_count(run, "j", "running"), 2);
	mem_store_set_down(f->store, false);
	submit(run, "k", 1);
	wait_task_count(run, "k", "running", 1);
	assert_null(shard_run_job_status(run, "late", NULL));
	stop_owner(run);
}

/* Blocked calls to one worker don't delay the tasks of the other worker. */
static void test_silent_worker(void **state)
{
	fixture_t *f = *state;
	shard_run_t *run = start_owner(f, 1);

	submit(run, "j", 2);
	wait_task_count(run, "j", "running", 2);
	g_mutex_lock(&f->link.lock);
	g_strlcpy(f->link.unresponsive, "127.0.1.1:1",
		  sizeof(f->link.unresponsive));
	g_mutex_unlock(&f->link.lock);
	submit(run, "k", 8);
	wait_task_count(run, "k", "running", 2);
	g_mutex_lock(&f->link.lock);
	f->link.unresponsive[0] = '\0';
	g_cond_broadcast(&f->link.changed);
	g_mutex_unlock(&f->link.lock);
	stop_owner(run);
}

#define RUN_TEST(fn) cmocka_unit_test_setup_teardown(fn, set_up, tear_down)

int main(void)
{
	const struct CMUnitTest tests[] = {
		RUN_TEST(test_job_runs_through),
		RUN_TEST(test_next_owner_goes_on),
		RUN_TEST(test_overtaken_owner_stops),
		RUN_TEST(test_outage),
		RUN_TEST(test_silent_worker),
	};

	return cmocka_run_group_tests(tests, NULL, NULL);
}
