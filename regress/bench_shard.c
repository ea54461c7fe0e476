/*
 * Measures the decisions of a shard's owner at several fleet sizes: the time of
 * one placement, the time of a task from the submission of its job to its end,
 * and the size and number of the records that it writes.
 */
#include <stdio.h>
#include <string.h>

#include "clock.h"
#include "core_shard.h"

#define PLACEMENTS 200000
#define JOBS 400
#define TASKS_PER_JOB 8
/* Percent of the workers' cores in use at the start. */
#define UTILISATION_PERCENT 80
#define NSEC_PER_USEC 1000.0

static const unsigned fleet_sizes[] = { 50, 350, 1400 }; /* number of workers */

static char *make_document_text(unsigned workers)
{
	GString *text = g_string_new(
		"[department a]\nguarantee_percent=100\nlimit_percent=100\n"
		"jobs_max=100000\n[domain d]\nregion=r\n");
	unsigned i;

	for (i = 0; i < workers; i++)
		g_string_append_printf(
			text,
			"[worker w%u]\ndomain=d\nrack=r%u\n"
			"address=127.1.%u.%u:1\ncores=64\nmemory_mb=250000\n",
			i, i / 6, i / 250, i % 250 + 1);
	return g_string_free(text, FALSE);
}

static void bench_placement(unsigned workers)
{
	gh_place_t *place = gh_place_new();
	gh_resources_t worker_size = { 64000, 250000, 0 };
	gh_resources_t task_size = { 2000, 4000, 0 };
	gh_place_request_t request = { .size = task_size,
				       .avoid = GH_HANDLE_NONE };
	unsigned tasks = workers * 32 * UTILISATION_PERCENT / 100;
	gh_time_t start;
	unsigned i;

	for (i = 0; i < workers; i++) {
		char name[16];
		gh_handle_t worker;

		snprintf(name, sizeof(name), "w%u", i);
		worker = gh_place_worker_set(place, name, "r", &worker_size);
		gh_place_usable_set(place, worker, true);
	}
	for (i = 0; i < tasks; i++) {
		request.seed = i * 2654435761u;
		gh_place_reserve(place, gh_place_choose(place, &request),
				 &task_size);
	}
	start = clock_boot();
	for (i = 0; i < PLACEMENTS; i++) {
		gh_handle_t worker;

		request.seed = i * 2654435761u;
		worker = gh_place_choose(place, &request);
		gh_place_reserve(place, worker, &task_size);
		gh_place_release(place, worker, &task_size);
	}
	printf("placement, %u workers: %.0f ns per placement\n", workers,
	       (double)(clock_boot() - start) * NSEC_PER_USEC / PLACEMENTS);
	gh_place_free(place);
}

static void complete_all_tasks(gh_shard_t *shard, const gh_now_t *now,
			       uint64_t *actions)
{
	gh_action_t action;

	while (gh_shard_next_action(shard, &action)) {
		gh_report_task_t task_report = { .attempt = action.attempt,
						 .state = GH_REPORT_DONE };
		gh_report_t report = { .sent_at = now->boot,
				       .renewed = true,
				       .tasks = &task_report,
				       .n_tasks = 1 };

		(*actions)++;
		g_strlcpy(task_report.task, action.task,
			  sizeof(task_report.task));
		gh_shard_handle_reply(shard, &action, GH_REPLY_OK, "", now);
		if (action.kind == GH_ACTION_START)
			gh_shard_handle_report(shard, action.worker, &report,
					       now);
		gh_action_clear(&action);
	}
}

static void bench_jobs(unsigned workers)
{
	gh_shard_setup_t setup = { .owner = "e", .domain = "d" };
	gh_shard_t *shard = gh_shard_new(&setup);
	char *text = make_document_text(workers);
	gh_document_t *doc = gh_document_parse(text, strlen(text), 1, NULL);
	gh_now_t now = { .boot = GH_USEC_PER_SEC, .wall_ms = 1700000000000 };
	gh_job_spec_t spec = { .department = "a",
			       .kind = "build",
			       .tasks = TASKS_PER_JOB,
			       .cores_milli = 2000,
			       .memory_mb = 4000,
			       .run_ms = 1000,
			       .command = "run" };
	gh_report_t empty_report = { .renewed = true };
	uint64_t commit;
	uint64_t actions = 0;
	size_t record_bytes = 0;
	gh_time_t start;
	unsigned i;

	gh_shard_configure(shard, doc, &now);
	gh_shard_begin(shard, 1, 0, &now);
	for (i = 0; i < workers; i++)
		gh_shard_handle_report(shard, doc->workers[i].name,
				       &empty_report, &now);
	start = clock_boot();
	for (i = 0; i < JOBS; i++) {
		char *records;

		now.boot += 50000;
		now.wall_ms += 50;
		snprintf(spec.name, sizeof(spec.name), "job%u", i);
		gh_shard_submit(shard, &spec, &commit, NULL);
		gh_shard_tick(shard, true, INT64_MAX, &now);
		records = gh_shard_take_records(shard, &commit);
		record_bytes += strlen(records);
		gh_shard_confirm_commit(shard, commit);
		g_free(records);
		complete_all_tasks(shard, &now, &actions);
	}
	printf("jobs of %u tasks, %u workers: %.2f us per task from "
	       "submission to end, %.0f bytes of records per task, "
	       "%.0f records per commit\n",
	       TASKS_PER_JOB, workers,
	       (double)(clock_boot() - start) / (JOBS * TASKS_PER_JOB),
	       (double)record_bytes / (JOBS * TASKS_PER_JOB),
	       2.0 * TASKS_PER_JOB + 1);
	gh_document_unref(doc);
	gh_shard_free(shard);
	g_free(text);
}

int main(void)
{
	size_t i;

	for (i = 0; i < G_N_ELEMENTS(fleet_sizes); i++)
		bench_placement(fleet_sizes[i]);
	for (i = 0; i < G_N_ELEMENTS(fleet_sizes); i++)
		bench_jobs(fleet_sizes[i]);
	return 0;
}
