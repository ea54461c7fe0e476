/*
 * Fuzz test of what the job service reads on the users' platform: bodies of
 * callers and workers, records of workers and of the operator, and its own
 * records in the store, which another version or writer may have left.
 */
#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <cmocka.h>
#include <stdlib.h>
#include <string.h>

#include "core_fleet.h"
#include "core_interference.h"
#include "core_run_time.h"
#include "error.h"
#include "fuzz.h"
#include "json_body.h"
#include "log.h"
#include "platform/platform_decode.h"

#define JOB "00000000000000a1"
#define STEP_TASKS 4
/* Also what malloc() adds to each block. */
#define JSON_OVERHEAD_BYTES 16

/* The parsers that only tell whether they took the input. */
static bool refuse(bool accepted, GError **err)
{
	if (!accepted)
		gh_error_set(err, GH_E_SYNTAX, "refused");
	return accepted;
}

/* Memory that Jansson has, and the most that it had. */
static size_t json_bytes;
static size_t json_bytes_max;

static void *allocate_json(size_t size)
{
	size_t *start = malloc(size + JSON_OVERHEAD_BYTES);

	if (!start)
		return NULL;
	*start = size + JSON_OVERHEAD_BYTES;
	json_bytes += *start;
	json_bytes_max = MAX(json_bytes_max, json_bytes);
	return (char *)start + JSON_OVERHEAD_BYTES;
}

static void free_json(void *block)
{
	size_t *start;

	if (!block)
		return;
	start = (size_t *)((char *)block - JSON_OVERHEAD_BYTES);
	json_bytes -= *start;
	free(start);
}

/* The door admits a body by this bound of what its parsing takes. */
static gh_pipeline_t *parse_bounded(const GString *input, GError **err)
{
	size_t bound = json_body_parsed_bytes(
		input->len, json_body_count_fields(input->str, input->len));
	gh_pipeline_t *pipeline;

	json_set_alloc_funcs(allocate_json, free_json);
	json_bytes_max = 0;
	pipeline = platform_parse_pipeline(input->str, input->len, err);
	json_set_alloc_funcs(malloc, free);
	assert_int_equal(json_bytes, 0);
	assert_in_range(json_bytes_max, 0, bound);
	return pipeline;
}

static bool parse_submission(const GString *input, GError **err)
{
	gh_pipeline_t *pipeline = parse_bounded(input, err);
	gh_pipeline_t *reread;
	char *text;

	if (!pipeline)
		return false;
	g_strlcpy(pipeline->id, JOB, sizeof(pipeline->id));
	g_strlcpy(pipeline->queue, "q", sizeof(pipeline->queue));
	g_strlcpy(pipeline->service, "s", sizeof(pipeline->service));
	if (!gh_pipeline_check(pipeline, err)) {
		gh_pipeline_free(pipeline);
		return false;
	}
	/* What is accepted is stored, and read by the shard's owner. */
	text = gh_pipeline_format(pipeline);
	reread = gh_pipeline_parse(text, NULL);
	assert_non_null(reread);
	gh_pipeline_free(reread);
	gh_pipeline_free(pipeline);
	g_free(text);
	return true;
}

static bool parse_stored_job(const GString *input, GError **err)
{
	gh_pipeline_t *pipeline = gh_pipeline_parse(input->str, err);

	if (!pipeline)
		return false;
	gh_pipeline_free(pipeline);
	return true;
}

static bool parse_worker(const GString *input, GError **err)
{
	gh_worker_entry_t entry;

	return platform_parse_worker("i-1", input->str, &entry, err);
}

static bool parse_config(const GString *input, GError **err)
{
	fleet_config_t *config = platform_parse_config(input->str, err);

	if (!config)
		return false;
	fleet_config_unref(config);
	return true;
}

static bool parse_report(const GString *input, GError **err)
{
	gh_worker_report_t report = { 0 };
	int64_t clock_ms;
	bool ok = platform_parse_worker_report(input->str, input->len, &report,
					       &clock_ms);

	platform_clear_worker_report(&report);
	platform_parse_clock(input->str, input->len, &clock_ms);
	return refuse(ok, err);
}

/* A job whose progress can't be read is held, and the fleet goes on. */
static bool parse_progress(const GString *input, GError **err)
{
	gh_step_t step = { .tasks = STEP_TASKS };
	gh_fleet_setup_t setup = { .lease_ms = 4500, .lease_max_ms = 10000 };
	gh_fleet_t *fleet = gh_fleet_new(&setup, NULL, GH_USEC_PER_SEC);
	gh_pipeline_t *job = g_new0(gh_pipeline_t, 1);
	gh_fleet_change_t change;
	bool ok;

	g_strlcpy(job->id, JOB, sizeof(job->id));
	job->n_steps = 1;
	job->steps = g_memdup2(&step, sizeof(step));
	job->payload = g_strdup("");
	ok = gh_fleet_job_add(fleet, job, input->str, err);
	gh_fleet_tick(fleet, 2 * GH_USEC_PER_SEC, 0);
	gh_fleet_job_cancel(fleet, JOB, 3 * GH_USEC_PER_SEC);
	while (gh_fleet_next_change(fleet, &change))
		g_free(change.progress);
	gh_fleet_free(fleet);
	return ok;
}

static bool parse_interference(const GString *input, GError **err)
{
	gh_interference_t *model = gh_interference_new();
	bool ok = gh_interference_parse(model, input->str);
	char *text = gh_interference_format(model);

	g_free(text);
	gh_interference_free(model);
	return refuse(ok, err);
}

static bool parse_run_times(const GString *input, GError **err)
{
	gh_run_times_t *times = gh_run_times_new();
	bool ok = gh_run_times_parse(times, input->str);
	gh_run_estimate_t estimate;
	char *text;

	gh_run_time_estimate(times, "a b", "", 1000, &estimate);
	text = gh_run_times_format(times);
	g_free(text);
	gh_run_times_free(times);
	return refuse(ok, err);
}

static const struct {
	const char *prefix; /* of the names of corpus files */
	fuzz_parser_t parse;
} targets[] = {
	{ "platform-submission", parse_submission },
	{ "platform-stored-job", parse_stored_job },
	{ "platform-worker", parse_worker },
	{ "platform-config", parse_config },
	{ "platform-report", parse_report },
	{ "platform-progress", parse_progress },
	{ "platform-images", parse_interference },
	{ "platform-runtimes", parse_run_times },
};

static void test_platform_parsers(void **state)
{
	size_t i;

	(void)state;
	log_init("fuzz", LOG_ERROR);
	for (i = 0; i < G_N_ELEMENTS(targets); i++)
		fuzz_parser(targets[i].prefix, targets[i].parse);
}

int main(void)
{
	const struct CMUnitTest tests[] = {
		cmocka_unit_test(test_platform_parsers),
	};

	return cmocka_run_group_tests_name("fuzz", tests, NULL, NULL);
}
