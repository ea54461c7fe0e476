/*
 * Measures the parts of the decision core at several fleet sizes: time per
 * decision and memory per item of state.  Prints one table.
 */
#include <malloc.h>
#include <stdio.h>
#include <string.h>

#include "clock.h"
#include "core_claim.h"
#include "core_credit.h"
#include "core_executor.h"
#include "core_queue.h"
#include "core_route.h"
#include "core_shard.h"
#include "replay_shape.h"

#define NSEC_PER_USEC 1000.0
#define DOMAINS_MAX 12
#define DEPARTMENTS_MAX 49

/* Size of a fleet, which has as many executors as workers. */
typedef struct fleet {
	size_t workers;
	size_t domains;
	size_t entries_per_domain;
	size_t departments;
	size_t tasks; /* number of tasks, over all shards */
} fleet_t;

static const fleet_t fleets[] = {
	{ .workers = 50,
	  .domains = 4,
	  .entries_per_domain = 2,
	  .departments = 3,
	  .tasks = 630 },
	{ .workers = 350,
	  .domains = 4,
	  .entries_per_domain = 3,
	  .departments = 12,
	  .tasks = 4400 },
	{ .workers = 1400,
	  .domains = 11,
	  .entries_per_domain = 3,
	  .departments = 48,
	  .tasks = 17600 },
};

/* Start of a measurement of time and heap growth. */
typedef struct measurement {
	gh_time_t start;
	size_t heap_bytes; /* heap in use at the start */
} measurement_t;

/* State of the requests of one entry host. */
typedef struct request_state {
	gh_credit_t *credit;
	gh_executor_table_t *executors;
	const gh_document_t *doc;
	gh_time_t now;
} request_state_t;

static gh_document_t *make_document(const fleet_t *fleet);
static void bench_document(const fleet_t *fleet);
static void bench_requests(const fleet_t *fleet);
static void bench_claims(size_t n);
static void bench_shard(const fleet_t *fleet);
static void start_all_tasks(gh_shard_t *shard, gh_now_t *now,
			    size_t *record_bytes);
static size_t report_all_workers(gh_shard_t *shard, const gh_now_t *now);
static size_t pick_executor(request_state_t *state, uint64_t *seed);
static measurement_t start_measurement(void);
static void print_measurement(const char *part, size_t size,
			      const measurement_t *measurement,
			      size_t decisions, size_t items);
static size_t heap_bytes(void);

int main(void)
{
	size_t i;

	printf("%-34s %8s %14s %14s\n", "part", "size", "ns/decision",
	       "bytes/item");
	for (i = 0; i < G_N_ELEMENTS(fleets); i++)
		bench_document(&fleets[i]);
	for (i = 0; i < G_N_ELEMENTS(fleets); i++)
		bench_requests(&fleets[i]);
	bench_claims(10000);
	bench_claims(100000);
	for (i = 0; i < G_N_ELEMENTS(fleets); i++)
		bench_shard(&fleets[i]);
	return 0;
}

static gh_document_t *make_document(const fleet_t *fleet)
{
	static char names[DEPARTMENTS_MAX + DOMAINS_MAX][16];
	const char *domains[DOMAINS_MAX] = { NULL };
	const char *departments[DEPARTMENTS_MAX] = { NULL };
	replay_shape_service_t services[DEPARTMENTS_MAX];
	replay_shape_t shape = *replay_shape_association();
	gh_document_t *doc;
	char *text;
	size_t i;

	for (i = 0; i < fleet->domains; i++) {
		g_snprintf(names[i], sizeof(names[i]), "domain-%zu", i);
		domains[i] = names[i];
	}
	for (i = 0; i < fleet->departments; i++) {
		char *name = names[DOMAINS_MAX + i];

		g_snprintf(name, sizeof(names[0]), "team-%zu", i);
		departments[i] = name;
		services[i] = (replay_shape_service_t){
			.name = name,
			.department = name,
			.class = i % 2 ? "batch" : "latency",
			.expected_ms = 50,
		};
	}
	shape.domains = domains;
	shape.departments = departments;
	shape.services = services;
	shape.n_services = fleet->departments;
	shape.entries_per_domain = fleet->entries_per_domain;
	shape.executors = fleet->workers;
	shape.workers = fleet->workers;
	shape.shards_per_domain = fleet->entries_per_domain;
	text = replay_shape_document(&shape);
	doc = gh_document_parse(text, strlen(text), 1, NULL);
	g_free(text);
	if (!doc)
		g_error("the generated document is invalid");
	return doc;
}

static void bench_document(const fleet_t *fleet)
{
	gh_document_t *generated = make_document(fleet);
	measurement_t measurement = start_measurement();
	gh_document_t *doc = gh_document_parse(generated->text,
					       generated->text_len, 2, NULL);

	print_measurement("document: parse, whole", fleet->workers,
			  &measurement, 1, 1);
	printf("%-34s %8zu %14s %14zu\n", "document: text", fleet->workers, "",
	       generated->text_len);
	gh_document_unref(doc);
	gh_document_unref(generated);
}

/*
 * Measures one request: queue it, pick an executor, take credit, send it, end
 * it, return the credit and leave the queue.
 */
static void bench_requests(const fleet_t *fleet)
{
	gh_document_t *doc = make_document(fleet);
	measurement_t measurement = start_measurement();
	request_state_t state = {
		.credit = gh_credit_new(doc->entries[0].name, -GH_USEC_PER_SEC),
		.executors = gh_executor_new(),
		.doc = doc,
	};
	gh_queue_t *queue = gh_queue_new();
	uint64_t seed = 1;
	size_t i;
	size_t n = 20000;

	gh_credit_apply(state.credit, doc, 0);
	for (i = 1; i < doc->n_entries; i++)
		gh_credit_set_peer_generation(
			state.credit, doc->entries[i].name, doc->generation, 0);
	gh_executor_apply(state.executors, doc, doc->entries[0].domain);
	gh_queue_apply_document(queue, doc);
	print_measurement("request state of a host", fleet->workers,
			  &measurement, 0, 1);
	state.now = 100 * GH_USEC_PER_SEC;
	measurement = start_measurement();
	for (i = 0; i < n; i++) {
		const char *service = doc->services[i % doc->n_services].name;
		gh_ticket_t ticket = gh_queue_push(
			queue, service, state.now + GH_USEC_PER_SEC, state.now);
		size_t executor = pick_executor(&state, &seed);
		const char *name = doc->executors[executor].name;
		gh_credit_hold_t hold =
			gh_credit_take(state.credit, name, state.now);

		gh_executor_request_sent(state.executors, name, false);
		state.now += 10;
		gh_executor_request_ended(state.executors, name, false,
					  GH_SEND_COMPLETED, 10, state.now);
		gh_credit_done(state.credit, hold);
		gh_queue_cancel(queue, ticket);
	}
	print_measurement("request: queue, route, credit", fleet->workers,
			  &measurement, n, 1);
	gh_queue_free(queue);
	gh_executor_free(state.executors);
	gh_credit_free(state.credit);
	gh_document_unref(doc);
}

static size_t pick_executor(request_state_t *state, uint64_t *seed)
{
	gh_route_candidate_t candidates[UINT8_MAX];
	size_t n = 0;
	size_t i;

	for (i = 0; i < state->doc->n_executors && n < UINT8_MAX; i++) {
		const gh_executor_t *ex = &state->doc->executors[i];

		if (ex->domain != state->doc->entries[0].domain ||
		    !gh_credit_view(state->credit, ex->name, state->now).free)
			continue;
		candidates[n++] = (gh_route_candidate_t){
			.executor = (gh_handle_t)i,
			.wait = gh_executor_expected_wait(state->executors,
							  ex->name),
		};
	}
	return candidates[gh_route_pick_executor(candidates, n, seed)].executor;
}

static void bench_claims(size_t n)
{
	measurement_t measurement = start_measurement();
	gh_claim_table_t *table = gh_claim_new(0);
	gh_claim_request_t request = { .holder = "host", .window_ms = 60000 };
	gh_time_t now = 100 * GH_USEC_PER_SEC;
	size_t i;

	gh_claim_set_policy(table, n, 60000, 0);
	for (i = 0; i < n; i++) {
		memcpy(request.key.bytes, &i, sizeof(i));
		request.attempt_id = i + 1;
		gh_claim_take(table, &request, now, NULL);
	}
	print_measurement("claim", n, &measurement, n, n);
	gh_claim_free(table);
}

/*
 * Measures one shard of the fleet: submission and start of its tasks, the
 * report of a worker, and a tick with nothing to do.
 */
static void bench_shard(const fleet_t *fleet)
{
	gh_document_t *doc = make_document(fleet);
	size_t shards = fleet->domains * fleet->entries_per_domain;
	size_t tasks = fleet->tasks / shards;
	gh_shard_setup_t setup = {
		.owner = doc->entries[0].name,
		.domain = doc->domains[0].name,
	};
	gh_now_t now = { .boot = GH_USEC_PER_SEC, .wall_ms = 1000 };
	gh_shard_t *shard = gh_shard_new(&setup);
	gh_job_spec_t spec = {
		.kind = "kind",
		.tasks = 1,
		.cores_milli = 100,
		.memory_mb = 64,
		.run_ms = 10000,
	};
	size_t record_bytes = 0;
	size_t workers;
	measurement_t measurement;
	size_t i;

	gh_shard_configure(shard, doc, &now);
	gh_shard_begin(shard, 1, 0, &now);
	report_all_workers(shard, &now);
	start_all_tasks(shard, &now, &record_bytes);
	record_bytes = 0;
	measurement = start_measurement();
	for (i = 0; i < tasks; i++) {
		uint64_t commit;

		g_snprintf(spec.name, sizeof(spec.name), "job-%zu", i);
		g_strlcpy(spec.domain, setup.domain, sizeof(spec.domain));
		g_strlcpy(spec.department,
			  doc->departments[i % doc->n_departments].name,
			  sizeof(spec.department));
		gh_shard_submit(shard, &spec, &commit, NULL);
	}
	print_measurement("job: submit", tasks, &measurement, tasks, tasks);
	measurement = start_measurement();
	start_all_tasks(shard, &now, &record_bytes);
	print_measurement("task: place, intend, start", tasks, &measurement,
			  tasks, tasks);
	if (gh_task_count(gh_shard_tasks(shard), GH_TASK_RUNNING) != tasks)
		printf("not all tasks are running\n");
	if (tasks)
		printf("%-34s %8zu %14s %14zu\n", "task: log until started",
		       tasks, "", record_bytes / tasks);
	measurement = start_measurement();
	workers = report_all_workers(shard, &now);
	print_measurement("shard: report of a worker", tasks, &measurement,
			  workers, 1);
	measurement = start_measurement();
	for (i = 0; i < 1000; i++) {
		now.boot += 20 * GH_USEC_PER_MSEC;
		now.wall_ms += 20;
		gh_shard_tick(shard, true, INT64_MAX, &now);
	}
	print_measurement("shard: tick, nothing to do", tasks, &measurement,
			  1000, 1);
	gh_shard_free(shard);
	gh_document_unref(doc);
}

/* Ticks the shard until a tick writes no log records; adds up the length of the
 * records. */
static void start_all_tasks(gh_shard_t *shard, gh_now_t *now,
			    size_t *record_bytes)
{
	gh_action_t action;
	uint64_t commit;
	char *records;

	for (;;) {
		now->boot += 20 * GH_USEC_PER_MSEC;
		now->wall_ms += 20;
		gh_shard_tick(shard, true, INT64_MAX, now);
		records = gh_shard_take_records(shard, &commit);
		if (!records)
			return;
		*record_bytes += strlen(records);
		g_free(records);
		gh_shard_confirm_commit(shard, commit);
		while (gh_shard_next_action(shard, &action)) {
			gh_shard_handle_reply(shard, &action, GH_REPLY_OK, NULL,
					      now);
			gh_action_clear(&action);
		}
	}
}

/* Lets every worker report the tasks it runs; returns the number of workers. */
static size_t report_all_workers(gh_shard_t *shard, const gh_now_t *now)
{
	gh_task_table_t *tasks = gh_shard_tasks(shard);
	const gh_place_t *place = gh_shard_place(shard);
	size_t n = gh_place_count(place);
	gh_report_task_t *list = g_new0(
		gh_report_task_t, gh_task_count(tasks, GH_TASK_RUNNING) + 1);
	size_t i;

	for (i = 0; i < n; i++) {
		gh_task_ref_t ref =
			gh_task_first_on_worker(tasks, (gh_handle_t)i);
		gh_report_t report = {
			.sent_at = now->boot,
			.usage_at_ms = now->wall_ms,
			.tasks = list,
		};

		for (; ref != GH_TASK_NONE;
		     ref = gh_task_at(tasks, ref)->next) {
			gh_report_task_t *task = &list[report.n_tasks++];

			gh_task_name(tasks, ref, task->task);
			task->attempt = gh_task_at(tasks, ref)->attempt;
			task->measured = true;
			task->cores_milli = 100;
			task->memory_mb = 64;
		}
		gh_shard_handle_report(
			shard, gh_place_worker(place, (gh_handle_t)i)->name,
			&report, now);
	}
	g_free(list);
	return n;
}

static measurement_t start_measurement(void)
{
	return (measurement_t){ .heap_bytes = heap_bytes(),
				.start = clock_boot() };
}

static void print_measurement(const char *part, size_t size,
			      const measurement_t *measurement,
			      size_t decisions, size_t items)
{
	double elapsed_nsec =
		(double)(clock_boot() - measurement->start) * NSEC_PER_USEC;
	size_t now = heap_bytes();
	size_t growth_bytes = now > measurement->heap_bytes ?
				      now - measurement->heap_bytes :
				      0;

	printf("%-34s %8zu ", part, size);
	if (decisions)
		printf("%14.0f ", elapsed_nsec / (double)decisions);
	else
		printf("%14s ", "");
	printf("%14zu\n", items ? growth_bytes / items : 0);
}

static size_t heap_bytes(void)
{
	struct mallinfo2 info = mallinfo2();

	return info.uordblks + info.hblkhd;
}
