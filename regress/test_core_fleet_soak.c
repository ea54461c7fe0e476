/*
 * Soak of the fleet scheduler in simulated time, on a model of the workers, the
 * store and the hosts: no task may run twice.
 *
 * The environment variables SOAK_SEED, SOAK_SEEDS and SOAK_SECONDS set the
 * first seed, the number of seeds and the simulated time of each;
 * SOAK_DISRUPTIONS limits the disruptions to those named, such as
 * "cut,kill=3", with their weights, or changes the weights of the default ones,
 * such as "+late=4,-restart".
 */
#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <stdint.h>

#include <cmocka.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "fleet_model.h"

#define SEED_DEFAULT 1
#define SEEDS_DEFAULT 40
#define SECONDS_DEFAULT 60

static uint64_t number_from_environment(const char *name, uint64_t fallback)
{
	const char *text = getenv(name);

	return text ? g_ascii_strtoull(text, NULL, 10) : fallback;
}

static void parse_weights(const char *text, uint32_t weights[DISRUPTIONS])
{
	char **fields = g_strsplit(text, ",", -1);
	size_t i;
	int d;

	if (!strchr("+-", *text))
		memset(weights, 0, DISRUPTIONS * sizeof(*weights));
	for (i = 0; fields[i]; i++) {
		const char *field = fields[i] + strspn(fields[i], "+-");
		char **pair = g_strsplit(field, "=", 2);

		for (d = 0; d < DISRUPTIONS; d++)
			if (!strcmp(pair[0], model_disruption_name(d)))
				break;
		if (d == DISRUPTIONS)
			fail_msg("no such disruption: %s", pair[0]);
		weights[d] =
			pair[1] ? (uint32_t)atoi(pair[1]) : *fields[i] != '-';
		g_strfreev(pair);
	}
	g_strfreev(fields);
}

static void soak(unsigned rules)
{
	uint64_t first = number_from_environment("SOAK_SEED", SEED_DEFAULT);
	uint64_t n = number_from_environment("SOAK_SEEDS", SEEDS_DEFAULT);
	const char *disruptions = getenv("SOAK_DISRUPTIONS");
	model_options_t options = {
		.rules = rules,
		.duration_ms = 1000 * (int64_t)number_from_environment(
					      "SOAK_SECONDS", SECONDS_DEFAULT),
	};
	model_result_t total = { 0 };
	uint64_t broken = 0;

	model_default_weights(options.weights);
	if (disruptions)
		parse_weights(disruptions, options.weights);
	for (options.seed = first; options.seed < first + n; options.seed++) {
		model_result_t result;

		model_run(&options, &result);
		total.starts += result.starts;
		total.done += result.done;
		total.lives += result.lives;
		total.owners += result.owners;
		if (!result.breach)
			continue;
		if (!broken++)
			printf("%s", result.breach);
		else
			printf("%.60s\n", result.breach);
		g_free(result.breach);
	}
	printf("%u seeds: %u broke a rule; %u starts, %u done, %u lives of "
	       "workers, %u owners\n",
	       (unsigned)n, (unsigned)broken, total.starts, total.done,
	       total.lives, total.owners);
	assert_int_equal(broken, 0);
}

static void test_no_task_runs_twice(void **state)
{
	(void)state;
	soak(RULE_TWICE | RULE_ORDER);
}

static void test_no_start_over_capacity(void **state)
{
	(void)state;
	soak(RULE_CAPACITY);
}

int main(void)
{
	static const struct CMUnitTest tests[] = {
		cmocka_unit_test(test_no_task_runs_twice),
		cmocka_unit_test(test_no_start_over_capacity),
	};

	return cmocka_run_group_tests(tests, NULL, NULL);
}
