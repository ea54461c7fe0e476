/*
 * Runs the platform's parsers and the job service's settings on tables of
 * valid and malformed texts.
 */
#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <stdint.h>
#include <cmocka.h>
#include <string.h>

#include "error.h"
#include "fleet_settings.h"
#include "json_body.h"
#include "platform/platform_decode.h"
#include "proc.h"

#define CAPACITY "\"capacity\":{\"cpu\":8000,\"mem_mb\":100,\"gpus\":0}"

typedef struct worker_case {
	const char *text;
	bool ok;
	bool draining;
} worker_case_t;

static const worker_case_t worker_cases[] = {
	{ .text = "{\"backend\":\"s\",\"address\":\"1.2.3.4:5\",\"state\":"
		  "\"ready\"," CAPACITY
		  ",\"labels\":[\"a\",\"r1\"],\"born\":7}",
	  .ok = true },
	{ .text = "{\"backend\":\"s\",\"address\":\"1.2.3.4:5\",\"state\":"
		  "\"draining\"," CAPACITY ",\"labels\":[\"a\",\"r1\"]}",
	  .ok = true,
	  .draining = true },
	{ .text = "{\"backend\":\"s\",\"address\":\"1.2.3.4:5\",\"state\":"
		  "\"tired\"," CAPACITY ",\"labels\":[]}" },
	{ .text = "{\"backend\":7,\"address\":\"1.2.3.4:5\",\"state\":"
		  "\"ready\"," CAPACITY ",\"labels\":[]}" },
	{ .text = "{\"backend\":\"s\",\"address\":\"1.2.3.4:5\",\"state\":"
		  "\"ready\",\"capacity\":9,\"labels\":[]}" },
	{ .text = "{\"backend\":\"s\",\"address\":\"1.2.3.4:5\",\"state\":"
		  "\"ready\"," CAPACITY "}" },
	/* fields missing */
	{ .text = "{\"backend\":\"s\",\"state\":\"ready\"," CAPACITY
		  ",\"labels\":[\"a\",\"r1\"],\"born\":7}" },
	{ .text = "{\"address\":\"1.2.3.4:5\",\"state\":\"ready\"," CAPACITY
		  ",\"labels\":[\"a\",\"r1\"],\"born\":7}" },
	{ .text = "{\"backend\":\"s\",\"address\":\"\",\"state\":"
		  "\"ready\"," CAPACITY
		  ",\"labels\":[\"a\",\"r1\"],\"born\":7}" },
	{ .text = "no json" },
	{ .text = "" },
};

#define ENTRY(capacity, more)                                               \
	"{\"backend\":\"s\",\"address\":\"1.2.3.4:5\",\"state\":\"ready\"," \
	"\"capacity\":{" capacity "},\"labels\":[\"a\"]" more "}"

/* A byte more than a domain's name has at most. */
#define LONG_NAME                          \
	"0123456789abcdef0123456789abcdef" \
	"0123456789abcdef0123456789abcdef"

/* An entry with numbers; born_ms and gpus are checked if it is accepted. */
typedef struct entry_case {
	const char *text;
	bool ok;
	uint32_t gpus;
	int64_t born_ms;
	const char *domain; /* NULL: none */
	int64_t cold_ms;
} entry_case_t;

static const entry_case_t entry_cases[] = {
	{ .text = ENTRY("\"cpu\":8000", ""), .ok = true },
	{ .text = ENTRY("", ""), .ok = true },
	{ .text = ENTRY("\"cpu\":8000,\"gpus\":2147483647",
			",\"born\":1796378314971"),
	  .ok = true,
	  .gpus = 2147483647,
	  .born_ms = 1796378314971 },
	{ .text = ENTRY("\"cpu\":8e3,\"gpus\":1.5", ",\"born\":7.0"),
	  .ok = true,
	  .gpus = 1,
	  .born_ms = 7 },
	{ .text = ENTRY("", ",\"zone\":\"bole\",\"cold_remaining_ms\":800"),
	  .ok = true,
	  .domain = "bole",
	  .cold_ms = 800 },
	{ .text = ENTRY("", ",\"zone\":\"\""), .ok = true },
	{ .text = ENTRY("", ",\"zone\":7") },
	{ .text = ENTRY("", ",\"zone\":null") },
	{ .text = ENTRY("", ",\"zone\":\"a b\"") },
	{ .text = ENTRY("", ",\"zone\":\"" LONG_NAME "\"") },
	{ .text = ENTRY("", ",\"cold_remaining_ms\":\"800\"") },
	{ .text = ENTRY("", ",\"cold_remaining_ms\":-1") },
	{ .text = ENTRY("", ",\"cold_remaining_ms\":1e300") },
	{ .text = ENTRY("\"cpu\":\"8000\"", "") },
	{ .text = ENTRY("\"cpu\":null", "") },
	{ .text = ENTRY("\"cpu\":-1", "") },
	{ .text = ENTRY("\"cpu\":-0.5", "") },
	{ .text = ENTRY("\"cpu\":2147483648", "") },
	{ .text = ENTRY("\"cpu\":1e300", "") },
	{ .text = ENTRY("\"cpu\":99999999999999999999", "") },
	{ .text = ENTRY("\"cpu\":1e400", "") },
	{ .text = ENTRY("\"mem_mb\":[1]", "") },
	{ .text = ENTRY("\"mem_mb\":4294967297", "") },
	{ .text = ENTRY("\"gpus\":1e18", "") },
	{ .text = ENTRY("\"gpus\":1000000000000000000", "") },
	{ .text = ENTRY("\"gpus\":2147483648", "") },
	{ .text = ENTRY("\"gpus\":true", "") },
	{ .text = ENTRY("", ",\"born\":1e300") },
	{ .text = ENTRY("", ",\"born\":9223372036854775807") },
	{ .text = ENTRY("", ",\"born\":-5") },
	{ .text = ENTRY("", ",\"born\":\"7\"") },
};

typedef struct odd_case {
	const char *id;
	const char *text;
	gh_error_kind_t kind;
	const char *named; /* part of the message */
} odd_case_t;

static const odd_case_t odd_cases[] = {
	{ "", ENTRY("", ""), GH_E_BAD_VALUE, "id" },
	{ "i\r\nHost: x", ENTRY("", ""), GH_E_BAD_VALUE, "id" },
	{ "i-1", "{", GH_E_SYNTAX, "line 1" },
	{ "i-1", "[]", GH_E_BAD_VALUE, "backend" },
	{ "i-1", "{\"backend\":\"s\"}", GH_E_BAD_VALUE, "address" },
	{ "i-1", "{\"backend\":\"s\",\"address\":\"1.2.3.4:5\"}",
	  GH_E_BAD_VALUE, "state" },
	{ "i-1", ENTRY("\"cpu\":-1", ""), GH_E_BAD_VALUE, "capacity" },
	{ "i-1", ENTRY("", ",\"labels\":[7]"), GH_E_BAD_VALUE, "labels" },
	{ "i-1", ENTRY("", ",\"labels\":{}"), GH_E_BAD_VALUE, "labels" },
	{ "i-1", ENTRY("", ",\"born\":\"x\""), GH_E_BAD_VALUE, "born" },
};

static void test_worker_errors(void **state)
{
	size_t i;

	(void)state;
	for (i = 0; i < G_N_ELEMENTS(odd_cases); i++) {
		const odd_case_t *c = &odd_cases[i];
		gh_worker_entry_t entry;
		GError *err = NULL;

		assert_false(
			platform_parse_worker(c->id, c->text, &entry, &err));
		assert_int_equal(gh_error_kind(err), c->kind);
		if (!strstr(err->message, c->named))
			fail_msg("case %zu: %s", i, err->message);
		g_error_free(err);
	}
}

static void test_worker_numbers(void **state)
{
	size_t i;

	(void)state;
	for (i = 0; i < G_N_ELEMENTS(entry_cases); i++) {
		const entry_case_t *c = &entry_cases[i];
		gh_worker_entry_t entry;

		if (platform_parse_worker("i-1", c->text, &entry, NULL) !=
		    c->ok)
			fail_msg("case %zu: %s", i, c->text);
		if (!c->ok)
			continue;
		assert_int_equal(entry.size.accelerators, c->gpus);
		assert_int_equal(entry.incarnation_start_ms, c->born_ms);
		assert_string_equal(entry.domain, c->domain ? c->domain : "");
		assert_int_equal(entry.cold_ms, c->cold_ms);
	}
}

static void test_requests(void **state)
{
	static const struct {
		const char *key;
		fleet_request_t request;
		const char *domain;
	} request_cases[] = {
		{ "evacuate/bole", FLEET_REQUEST_EMPTY_DOMAIN, "bole" },
		{ "evacuate/b%ole\"", FLEET_REQUEST_EMPTY_DOMAIN, "b%ole\"" },
		{ "evacuate/", FLEET_REQUEST_ODD, "" },
		{ "evacuate/a/b", FLEET_REQUEST_ODD, "" },
		{ "evacuate/a b", FLEET_REQUEST_ODD, "" },
		{ "evacuate/a\n", FLEET_REQUEST_ODD, "" },
		{ "evacuate/" LONG_NAME, FLEET_REQUEST_ODD, "" },
		{ "evacuate", FLEET_REQUEST_NONE, "" },
		{ "evacuated/bole", FLEET_REQUEST_NONE, "" },
		{ "config", FLEET_REQUEST_NONE, "" },
		{ "wave/1", FLEET_REQUEST_NONE, "" },
		{ "", FLEET_REQUEST_NONE, "" },
	};
	size_t i;

	(void)state;
	for (i = 0; i < G_N_ELEMENTS(request_cases); i++) {
		char domain[GH_DOMAIN_MAX + 1] = "";
		fleet_request_t request =
			platform_parse_request(request_cases[i].key, domain);

		assert_int_equal(request, request_cases[i].request);
		if (request == FLEET_REQUEST_EMPTY_DOMAIN)
			assert_string_equal(domain, request_cases[i].domain);
	}
}

static const struct {
	const char *address;
	bool ok;
} address_cases[] = {
	{ "1.2.3.4:1", true },
	{ "1.2.3.4:65535", true },
	{ "1.2.3.4:65536", false },
	{ "1.2.3.4:99999", false },
	{ "1.2.3.4:0", false },
	{ "1.2.3.4:-1", false },
	{ "1.2.3.4:", false },
	{ "1.2.3.4", false },
	{ "1.2.3.4:80x", false },
	{ "1.2.3.4:80/x", false },
	{ "1.2.3.4:80:81", false },
	{ "1.2.3.4: 80", false },
	{ ":80", false },
	{ "u@1.2.3.4:80", false },
	{ "1.2.3.256:80", false },
	{ "1.2.3:80", false },
	{ "1.2.3.4:18446744073709551696", false },
};

static void test_worker_address(void **state)
{
	size_t i;

	(void)state;
	for (i = 0; i < G_N_ELEMENTS(address_cases); i++) {
		char *text = g_strdup_printf(
			"{\"backend\":\"s\",\"address\":\"%s\",\"state\":"
			"\"ready\"," CAPACITY ",\"labels\":[]}",
			address_cases[i].address);
		gh_worker_entry_t entry;

		if (platform_parse_worker("i-1", text, &entry, NULL) !=
		    address_cases[i].ok)
			fail_msg("%s", text);
		g_free(text);
	}
}

typedef struct clock_case {
	const char *body;
	int64_t clock_ms;
	bool ok;
} clock_case_t;

static const clock_case_t clock_cases[] = {
	{ .body = "{\"clock_ms\":482113}", .clock_ms = 482113, .ok = true },
	{ .body = "{\"clock_ms\":482113,\"reason\":\"late\"}",
	  .clock_ms = 482113,
	  .ok = true },
	{ .body = "{\"clock_ms\":\"482113\"}" },
	{ .body = "{\"clock_ms\":-1}" },
	{ .body = "{\"clock_ms\":1e300}" },
	{ .body = "{\"clock_ms\":9223372036854775807}" },
	{ .body = "{\"reason\":\"late\"}" },
	{ .body = "[]" },
	{ .body = "{\"clock_ms\":4" },
	{ .body = "" },
};

static void test_clock(void **state)
{
	size_t i;

	(void)state;
	for (i = 0; i < G_N_ELEMENTS(clock_cases); i++) {
		const clock_case_t *c = &clock_cases[i];
		int64_t clock_ms;

		if (platform_parse_clock(c->body, strlen(c->body), &clock_ms) !=
		    c->ok)
			fail_msg("case %zu: %s", i, c->body);
		assert_int_equal(clock_ms, c->clock_ms);
	}
}

#define REPORT(running, finished)                          \
	"{\"clock_ms\":5,\"born\":7,\"running\":[" running \
	"],\"finished\":[" finished "]}"

/* A worker's report. */
typedef struct report_case {
	const char *body;
	bool ok;
	bool complete;	     /* it lists all runs and ends */
	size_t n_runs;	     /* that can be read */
	uint64_t numbers[3]; /* of the ends that can be read, in order */
} report_case_t;

static const report_case_t report_cases[] = {
	{ .body = REPORT("", ""), .ok = true, .complete = true },
	{ .body = REPORT("[\"ab.0.1.17\",2,\"\",41,3]",
			 "[58,\"ab.0.1.9\",1,\"done\",\"\"]"),
	  .ok = true,
	  .complete = true,
	  .n_runs = 1,
	  .numbers = { 58 } },
	/* ends in any order */
	{ .body = REPORT("", "[60,\"ab.0.1.9\",1,\"done\",\"\"],"
			     "[58,\"ab.0.1.8\",1,\"done\",\"\"],"
			     "[59,\"ab.0.1.7\",1,\"failed\",\"\"]"),
	  .ok = true,
	  .complete = true,
	  .numbers = { 58, 59, 60 } },
	/* a run or an end that can't be read */
	{ .body = REPORT("[\"ab.0.1\",2,\"\",41,3]", ""), .ok = true },
	{ .body = REPORT("[\"ab.0.1.17x\",2,\"\",41,3]", ""), .ok = true },
	{ .body = REPORT("[\"ab.0.1.17\",\"2\",\"\",41,3]", ""), .ok = true },
	{ .body = REPORT("[\"ab.0.1.17\",0,\"\",41,3]", ""), .ok = true },
	{ .body = REPORT("[7,2,\"\",41,3],[\"ab.0.1.17\",2,\"\",41,3]", ""),
	  .ok = true,
	  .n_runs = 1 },
	{ .body = REPORT("", "[58,\"ab.0.1.9\",\"1\",\"done\",\"\"]"),
	  .ok = true },
	{ .body = REPORT("", "[\"58\",\"ab.0.1.9\",1,\"done\",\"\"]"),
	  .ok = true },
	{ .body = REPORT("", "[58,\"ab.0.1.9\",1,\"done\",\"\"],"
			     "[59,\"ab.0.1.8\",1]"),
	  .ok = true,
	  .numbers = { 58 } },
	{ .body = REPORT("[\"ab.0.1.17\",4294967297,\"\",41,3]", ""),
	  .ok = true },
	{ .body = REPORT("[\"ab.0.1.17\",1e300,\"\",41,3]", ""), .ok = true },
	{ .body = REPORT("[\"ab.0.1.-1\",2,\"\",41,3]", ""), .ok = true },
	{ .body = REPORT("[\"ab.0.1.4294967296\",2,\"\",41,3]", ""),
	  .ok = true },
	{ .body = REPORT("[\"ab.0.1. 7\",2,\"\",41,3]", ""), .ok = true },
	{ .body = REPORT("[\".0.1.7\",2,\"\",41,3]", ""), .ok = true },
	{ .body = REPORT("", "[1e300,\"ab.0.1.9\",1,\"done\",\"\"]"),
	  .ok = true },
	{ .body = REPORT("", "[-58,\"ab.0.1.9\",1,\"done\",\"\"]"),
	  .ok = true },
	/* a run whose figures can't be read */
	{ .body = REPORT("[\"ab.0.1.17\",2,\"\",1e300,-1e300]", ""),
	  .ok = true,
	  .complete = true,
	  .n_runs = 1 },
	{ .body = REPORT("[\"ab.0.1.17\",2,\"\",null]", ""),
	  .ok = true,
	  .complete = true,
	  .n_runs = 1 },
	/* no report */
	{ .body = "{\"running\":[],\"finished\":[]}" },
	{ .body = "{\"clock_ms\":\"5\",\"running\":[],\"finished\":[]}" },
	{ .body = "{\"clock_ms\":1e300,\"running\":[],\"finished\":[]}" },
	{ .body = "{\"clock_ms\":5,\"born\":1e300,\"running\":[],"
		  "\"finished\":[]}" },
	{ .body = "{\"clock_ms\":5,\"born\":\"7\",\"running\":[],"
		  "\"finished\":[]}" },
	{ .body = "{\"clock_ms\":5,\"running\":[]}" },
	{ .body = "{\"clock_ms\":5,\"running\":{},\"finished\":[]}" },
	{ .body = "" },
};

/*
 * A run that a complete report does not list counts as lost and is started
 * again, so a report with a row that can't be read is not complete.
 */
static void test_report(void **state)
{
	size_t i, j;

	(void)state;
	for (i = 0; i < G_N_ELEMENTS(report_cases); i++) {
		const report_case_t *c = &report_cases[i];
		gh_worker_report_t report = { 0 };
		int64_t clock_ms;
		bool ok = platform_parse_worker_report(c->body, strlen(c->body),
						       &report, &clock_ms);

		if (ok != c->ok || (ok && (report.complete != c->complete ||
					   report.n_runs != c->n_runs)))
			fail_msg("case %zu: %s: complete %d, %zu runs", i,
				 c->body, report.complete, report.n_runs);
		for (j = 0; j < report.n_ends; j++)
			assert_int_equal(report.ends[j].number, c->numbers[j]);
		if (ok && j < G_N_ELEMENTS(c->numbers))
			assert_int_equal(c->numbers[j], 0);
		platform_clear_worker_report(&report);
	}
}

static void test_worker(void **state)
{
	size_t i;

	(void)state;
	for (i = 0; i < G_N_ELEMENTS(worker_cases); i++) {
		const worker_case_t *c = &worker_cases[i];
		gh_worker_entry_t entry;

		if (platform_parse_worker("i-1", c->text, &entry, NULL) !=
		    c->ok)
			fail_msg("case %zu: %s", i, c->text);
		if (!c->ok)
			continue;
		assert_string_equal(entry.id, "i-1");
		assert_int_equal(entry.size.cores_milli, 8000);
		assert_int_equal(entry.draining, c->draining);
	}
}

typedef struct pipeline_case {
	const char *text;
	gh_error_kind_t kind; /* expected error; GH_E_COUNT: text accepted */
} pipeline_case_t;

static const pipeline_case_t pipeline_cases[] = {
	{ "{\"task_spec\":\"x\",\"pipeline\":[{\"count\":2,\"cpu\":500}]}",
	  GH_E_COUNT },
	{ "{\"task_spec\":\"x\",\"pipeline\":[{\"count\":2},{\"count\":1,"
	  "\"after\":[0],\"gang_scheduled\":true,\"constraints\":\"b\"}]}",
	  GH_E_COUNT },
	{ "{\"pipeline\":[{\"count\":2}]}", GH_E_BAD_REQUEST },
	{ "{\"task_spec\":\"x\"}", GH_E_BAD_REQUEST },
	{ "{\"task_spec\":\"x\",\"pipeline\":[{\"count\":2,\"cpu\":-1}]}",
	  GH_E_BAD_REQUEST },
	{ "{\"task_spec\":\"x\",\"pipeline\":[{\"count\":1,\"constraints\":"
	  "\"two words\"}]}",
	  GH_E_BAD_REQUEST },
	{ "{\"task_spec\":\"x\",\"pipeline\":[{\"count\":1,\"after\":[99]}]}",
	  GH_E_BAD_REQUEST },
#define STEP(field) \
	"{\"task_spec\":\"x\",\"pipeline\":[{\"count\":1," field "}]}"
	{ STEP("\"cpu\":1500.5,\"est_runtime_ms\":9e2"), GH_E_COUNT },
	{ STEP("\"constraints\":\"\xc4\x8d\""), GH_E_COUNT },
	{ STEP("\"cpu\":1e300"), GH_E_BAD_REQUEST },
	{ STEP("\"cpu\":\"500\""), GH_E_BAD_REQUEST },
	{ STEP("\"gpus\":4294967296"), GH_E_BAD_REQUEST },
	{ STEP("\"est_runtime_ms\":1e18"), GH_E_BAD_REQUEST },
	{ STEP("\"anti_affinity\":4294967297"), GH_E_BAD_REQUEST },
	{ STEP("\"allow_miss\":-1"), GH_E_BAD_REQUEST },
	{ STEP("\"target_ms\":\"24\""), GH_E_BAD_REQUEST },
	{ STEP("\"gang_scheduled\":1"), GH_E_BAD_REQUEST },
	{ STEP("\"long_running\":\"true\""), GH_E_BAD_REQUEST },
	{ STEP("\"fill_count\":2000"), GH_E_COUNT },
	{ STEP("\"fill_count\":\"yes\""), GH_E_BAD_REQUEST },
	{ STEP("\"after\":0"), GH_E_BAD_REQUEST },
	{ STEP("\"after\":[\"0\"]"), GH_E_BAD_REQUEST },
	{ STEP("\"after\":[-1]"), GH_E_BAD_REQUEST },
	{ "{\"task_spec\":\"x\",\"pipeline\":[{\"count\":4294967297}]}",
	  GH_E_BAD_REQUEST },
	{ "{\"task_spec\":\"x\",\"pipeline\":[7]}", GH_E_BAD_REQUEST },
	{ "{\"task_spec\":\"x\",\"repeat_count\":1e300,\"pipeline\":"
	  "[{\"count\":1}]}",
	  GH_E_BAD_REQUEST },
	{ "{\"task_spec\":\"x\",\"repeat_count\":2,\"interval_ms\":1e18,"
	  "\"pipeline\":[{\"count\":1}]}",
	  GH_E_BAD_REQUEST },
	{ "{\"task_spec\":\"x\",\"start_at_ms\":\"now\",\"pipeline\":"
	  "[{\"count\":1}]}",
	  GH_E_BAD_REQUEST },
	{ "[]", GH_E_BAD_REQUEST },
	{ "", GH_E_BAD_REQUEST },
	{ "{\"task_spec\":\"x\",\"pipeline\":[{\"count\":0}]}",
	  GH_E_BAD_VALUE },
	{ "{\"task_spec\":\"x\",\"pipeline\":[]}", GH_E_BAD_VALUE },
	{ "{\"task_spec\":\"x\",\"pipeline\":[{\"count\":1,\"after\":[0]}]}",
	  GH_E_BAD_VALUE },
	{ "{\"task_spec\":\"x\",\"pipeline\":[{\"count\":30000}]}",
	  GH_E_BAD_VALUE },
	/* 2^34 tasks, each 2^31 times: the product is 0 in 64 bits */
	{ "{\"task_spec\":\"x\",\"repeat_count\":2147483648,\"pipeline\":"
	  "[{\"count\":4294967295},{\"count\":4294967295},{\"count\":2},"
	  "{\"count\":4294967295},{\"count\":4294967295},{\"count\":2}]}",
	  GH_E_BAD_VALUE },
};

/* An accepted job must be the same after it is formatted for the store and
 * parsed again. */
static void test_pipeline(void **state)
{
	size_t i;

	(void)state;
	for (i = 0; i < G_N_ELEMENTS(pipeline_cases); i++) {
		const pipeline_case_t *c = &pipeline_cases[i];
		GError *err = NULL;
		gh_pipeline_t *pipeline =
			platform_parse_pipeline(c->text, strlen(c->text), &err);
		gh_pipeline_t *reparsed;
		char *text, *reparsed_text;

		if (pipeline) {
			g_strlcpy(pipeline->id, "0123456789abcdef",
				  sizeof(pipeline->id));
			g_strlcpy(pipeline->queue, "q",
				  sizeof(pipeline->queue));
			g_strlcpy(pipeline->service, "s",
				  sizeof(pipeline->service));
		}
		if (!pipeline || !gh_pipeline_check(pipeline, &err)) {
			if (gh_error_kind(err) != c->kind)
				fail_msg("case %zu: %s", i, err->message);
			g_error_free(err);
			gh_pipeline_free(pipeline);
			continue;
		}
		assert_int_equal(c->kind, GH_E_COUNT);
		text = gh_pipeline_format(pipeline);
		reparsed = gh_pipeline_parse(text, NULL);
		assert_non_null(reparsed);
		reparsed_text = gh_pipeline_format(reparsed);
		assert_string_equal(text, reparsed_text);
		g_free(text);
		g_free(reparsed_text);
		gh_pipeline_free(reparsed);
		gh_pipeline_free(pipeline);
	}
}

/* A record written before records had the queue's attempts. */
static void test_record_without_attempts(void **state)
{
	gh_pipeline_t *pipeline =
		gh_pipeline_parse("pipeline1 0123456789abcdef q s 5 0 0 0 1\n"
				  "2 500 1 0 0 0 0 0 0 0 - - -\npayload",
				  NULL);

	(void)state;
	assert_non_null(pipeline);
	assert_int_equal(pipeline->attempts, 0);
	assert_int_equal(pipeline->n_steps, 1);
	gh_pipeline_free(pipeline);
}

typedef bool (*parser_t)(const char *text);

static bool parse_worker(const char *text)
{
	gh_worker_entry_t entry;

	return platform_parse_worker("i-1", text, &entry, NULL);
}

static bool parse_config(const char *text)
{
	fleet_config_t *config = platform_parse_config(text, NULL);

	if (config)
		fleet_config_unref(config);
	return config != NULL;
}

static bool parse_pipeline(const char *text)
{
	gh_pipeline_t *pipeline =
		platform_parse_pipeline(text, strlen(text), NULL);

	gh_pipeline_free(pipeline);
	return pipeline != NULL;
}

static bool parse_report(const char *text)
{
	gh_worker_report_t report = { 0 };
	int64_t clock_ms;
	bool ok = platform_parse_worker_report(text, strlen(text), &report,
					       &clock_ms);

	platform_clear_worker_report(&report);
	return ok;
}

static bool parse_clock(const char *text)
{
	int64_t clock_ms;

	return platform_parse_clock(text, strlen(text), &clock_ms);
}

/* A text that the parser accepts with some value in place of %s. */
typedef struct nested_case {
	const char *format;
	parser_t parse;
} nested_case_t;

static const nested_case_t nested_cases[] = {
	{ "{\"backend\":\"s\",\"address\":\"1.2.3.4:5\",\"state\":"
	  "\"ready\"," CAPACITY ",\"labels\":[],\"x\":%s}",
	  parse_worker },
	{ "{\"version\":1,\"routes\":[],\"x\":%s}", parse_config },
	{ "{\"task_spec\":\"[[[[\",\"pipeline\":[{\"count\":1}],\"x\":%s}",
	  parse_pipeline },
	{ "{\"clock_ms\":1,\"running\":[],\"finished\":[],\"x\":%s}",
	  parse_report },
	{ "{\"clock_ms\":1,\"x\":%s}", parse_clock },
};

static char *nest(const char *format, unsigned depth)
{
	char *open = g_strnfill(depth, '[');
	char *close = g_strnfill(depth, ']');
	char *value = g_strconcat(open, close, NULL);
	char **parts = g_strsplit(format, "%s", 2);
	char *text = g_strconcat(parts[0], value, parts[1], NULL);

	g_strfreev(parts);
	g_free(value);
	g_free(close);
	g_free(open);
	return text;
}

static void test_nested(void **state)
{
	/* within the object */
	static const struct {
		unsigned depth;
		bool ok;
	} depths[] = {
		{ JSON_BODY_DEPTH_MAX - 1, true },
		{ JSON_BODY_DEPTH_MAX, false },
		{ 2000, false },
		{ 3000000, false },
	};
	size_t i, j;

	(void)state;
	for (i = 0; i < G_N_ELEMENTS(nested_cases); i++)
		for (j = 0; j < G_N_ELEMENTS(depths); j++) {
			char *text =
				nest(nested_cases[i].format, depths[j].depth);

			if (nested_cases[i].parse(text) != depths[j].ok)
				fail_msg("case %zu, %u arrays deep", i,
					 depths[j].depth);
			g_free(text);
		}
}

typedef struct settings_case {
	const char *extra_lines;
	gh_error_kind_t kind; /* expected error; GH_E_COUNT: text accepted */
} settings_case_t;

static const settings_case_t settings_cases[] = {
	{ "", GH_E_COUNT },
	{ "empty_domain_ms=5000\n", GH_E_COUNT },
	{ "empty_domain_ms=-1\n", GH_E_BAD_VALUE },
	{ "shards=4\ncores=0.25\n", GH_E_COUNT },
	{ "shards=1000\n", GH_E_BAD_VALUE },
	{ "memory_mb=64\ndescriptors=320\ntransfer_ms=5000\n", GH_E_COUNT },
	{ "memory_mb=63\n", GH_E_BAD_VALUE },
	{ "descriptors=200\n", GH_E_BAD_VALUE },
	{ "transfer_ms=0\n", GH_E_BAD_VALUE },
	{ "lease_ms=soon\n", GH_E_BAD_VALUE },
	{ "refuse_beyond=0.8\n", GH_E_COUNT },
	{ "refuse_beyond=-1\n", GH_E_BAD_VALUE },
	{ "refuse_beyond=101\n", GH_E_BAD_VALUE },
	{ "refuse_beyond=always\n", GH_E_BAD_VALUE },
	{ "colour=blue\n", GH_E_UNKNOWN_KEY },
	{ "[store]\nurl=http://1.2.3.4:5\n", GH_E_UNKNOWN_GROUP },
};

static void test_settings(void **state)
{
	static const char base[] = "[fleet]\nname=h1\ndomain=d\n"
				   "callers=127.0.0.1:1\n"
				   "readiness=127.0.0.1:2\n"
				   "metrics=127.0.0.1:3\n"
				   "store=127.0.0.1:4\n";
	char *dir = proc_make_dir();
	size_t i;

	(void)state;
	for (i = 0; i < G_N_ELEMENTS(settings_cases); i++) {
		const settings_case_t *c = &settings_cases[i];
		char *text = g_strconcat(base, c->extra_lines, NULL);
		char *path = proc_write_file(dir, "h.conf", text);
		GError *err = NULL;
		fleet_settings_t *settings = fleet_settings_load(path, &err);

		assert_true(fleet_settings_recognize(path));
		if (!settings && gh_error_kind(err) != c->kind)
			fail_msg("case %zu: %s", i, err->message);
		assert_int_equal(settings != NULL, c->kind == GH_E_COUNT);
		g_clear_error(&err);
		g_free(settings);
		g_free(path);
		g_free(text);
	}
	proc_remove_dir(dir);
}

static const struct {
	size_t len;
	gh_error_kind_t kind;
} payload_cases[] = {
	{ GH_PAYLOAD_MAX, GH_E_COUNT },
	{ GH_PAYLOAD_MAX + 1, GH_E_BAD_REQUEST },
	{ 1000000, GH_E_BAD_REQUEST },
};

static void test_payload(void **state)
{
	size_t i;

	(void)state;
	for (i = 0; i < G_N_ELEMENTS(payload_cases); i++) {
		char *payload = g_strnfill(payload_cases[i].len, 'x');
		char *text = g_strdup_printf(
			"{\"task_spec\":\"%s\",\"pipeline\":[{\"count\":1}]}",
			payload);
		GError *err = NULL;
		gh_pipeline_t *pipeline =
			platform_parse_pipeline(text, strlen(text), &err);

		assert_int_equal(pipeline ? GH_E_COUNT : gh_error_kind(err),
				 payload_cases[i].kind);
		g_clear_error(&err);
		gh_pipeline_free(pipeline);
		g_free(text);
		g_free(payload);
	}
}

static const struct {
	const char *text;
	size_t fields;
} field_cases[] = {
	{ "", 0 },
	{ "7", 0 },
	{ "[]", 1 },
	{ "[1,2]", 2 },
	{ "{\"a\":[{},{}]}", 6 },
	{ "{\"a,[{:\":\",\"}", 2 },
	{ "[\"\\\",[,\",1]", 2 },
	{ "\"[,[,", 0 },
};

static void test_fields(void **state)
{
	size_t i;

	(void)state;
	for (i = 0; i < G_N_ELEMENTS(field_cases); i++)
		assert_int_equal(
			json_body_count_fields(field_cases[i].text,
					       strlen(field_cases[i].text)),
			field_cases[i].fields);
}

int main(void)
{
	static const struct CMUnitTest tests[] = {
		cmocka_unit_test(test_payload),
		cmocka_unit_test(test_fields),
		cmocka_unit_test(test_worker),
		cmocka_unit_test(test_worker_address),
		cmocka_unit_test(test_worker_numbers),
		cmocka_unit_test(test_worker_errors),
		cmocka_unit_test(test_requests),
		cmocka_unit_test(test_clock),
		cmocka_unit_test(test_report),
		cmocka_unit_test(test_pipeline),
		cmocka_unit_test(test_record_without_attempts),
		cmocka_unit_test(test_nested),
		cmocka_unit_test(test_settings),
	};

	return cmocka_run_group_tests(tests, NULL, NULL);
}
