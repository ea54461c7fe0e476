/*
 * Measures the decisions of a shard's owner: one placement at several sizes
 * of the fleet, one job from submission to its end, and the bytes and
 * commits that its records cost.
 */
#include <stdio.h>
#include <string.h>

#include "clock.h"
#include "core_shard.h"

#define CHOICES 200000
#define ROUNDS 400
#define STARTS_A_ROUND 8
#define FILL_PERCENT 80
#define NS_PER_US 1000.0

static const unsigned fleets[] = { 50, 350, 1400 };

static char *document(unsigned workers)
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

static void bench_choice(unsigned workers)
{
	gh_place_t *place = gh_place_new();
	gh_resources_t size = { 64000, 250000, 0 };
	gh_resources_t task = { 2000, 4000, 0 };
	gh_place_request_t want = { .size = task, .avoid = GH_HANDLE_NONE };
	unsigned tasks = workers * 32 * FILL_PERCENT / 100;
	gh_time_t began;
	unsigned i;

	for (i = 0; i < workers; i++) {
		char name[16];
		gh_handle_t w;

		snprintf(name, sizeof(name), "w%u", i);
		w = gh_place_worker_set(place, name, "r", &size);
		gh_place_usable_set(place, w, true);
	}
	for (i = 0; i < tasks; i++) {
		want.seed = i * 2654435761u;
		gh_place_reserve(place, gh_place_choose(place, &want), &task);
	}
	began = clock_boot();
	for (i = 0; i < CHOICES; i++) {
		gh_handle_t w;

		want.seed = i * 2654435761u;
		w = gh_place_choose(place, &want);
		gh_place_reserve(place, w, &task);
		gh_place_release(place, w, &task);
	}
	printf("placement, %u workers: %.0f ns a choice\n", workers,
	       (double)(clock_boot() - began) * NS_PER_US / CHOICES);
	gh_place_free(place);
}

static void finish_all(gh_shard_t *shard, const gh_now_t *now,
		       uint64_t *actions)
{
	gh_action_t action;

	while (gh_shard_next_action(shard, &action)) {
		gh_report_task_t task = { .attempt = action.attempt,
					  .state = GH_REPORT_DONE };
		gh_report_t report = { .sent_at = now->boot,
				       .renewed = true,
				       .tasks = &task,
				       .n_tasks = 1 };

		(*actions)++;
		g_strlcpy(task.task, action.task, sizeof(task.task));
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
	char *text = document(workers);
	gh_document_t *doc = gh_document_parse(text, strlen(text), 1, NULL);
	gh_now_t now = { .boot = GH_USEC_PER_SEC, .wall_ms = 1700000000000 };
	gh_job_spec_t spec = { .department = "a",
			       .kind = "build",
			       .tasks = STARTS_A_ROUND,
			       .cores_milli = 2000,
			       .memory_mb = 4000,
			       .run_ms = 1000,
			       .command = "run" };
	gh_report_t empty = { .renewed = true };
	uint64_t commit;
	uint64_t actions = 0;
	size_t bytes = 0;
	gh_time_t began;
	unsigned i;

	gh_shard_configure(shard, doc, &now);
	gh_shard_begin(shard, 1, 0, &now);
	for (i = 0; i < workers; i++)
		gh_shard_handle_report(shard, doc->workers[i].name, &empty,
				       &now);
	began = clock_boot();
	for (i = 0; i < ROUNDS; i++) {
		char *records;

		now.boot += 50000;
		now.wall_ms += 50;
		snprintf(spec.name, sizeof(spec.name), "job%u", i);
		gh_shard_submit(shard, &spec, &commit, NULL);
		gh_shard_tick(shard, true, INT64_MAX, &now);
		records = gh_shard_take_records(shard, &commit);
		bytes += strlen(records);
		gh_shard_confirm_commit(shard, commit);
		g_free(records);
		finish_all(shard, &now, &actions);
	}
	printf("jobs of %u tasks, %u workers: %.2f us a task from submission "
	       "to end, %.0f bytes of records a task, %.0f records a commit\n",
	       STARTS_A_ROUND, workers,
	       (double)(clock_boot() - began) / (ROUNDS * STARTS_A_ROUND),
	       (double)bytes / (ROUNDS * STARTS_A_ROUND),
	       2.0 * STARTS_A_ROUND + 1);
	gh_document_unref(doc);
	gh_shard_free(shard);
	g_free(text);
}

int main(void)
{
	size_t i;

	for (i = 0; i < G_N_ELEMENTS(fleets); i++)
		bench_choice(fleets[i]);
	for (i = 0; i < G_N_ELEMENTS(fleets); i++)
		bench_jobs(fleets[i]);
	return 0;
}
