/*
 * Runs the fleet model with the seeds of a case, and counts those that break a
 * rule.
 */
#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <stdint.h>

#include <cmocka.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "fleet_soak.h"

#define SECONDS_DEFAULT 60 /* simulated time of one seed */

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

void soak(const soak_case_t *c)
{
	const char *disruptions = getenv("SOAK_DISRUPTIONS");
	model_options_t options = {
		.rules = c->rules,
		.duration_ms = 1000 * (int64_t)number_from_environment(
					      "SOAK_SECONDS", SECONDS_DEFAULT),
		.quiet_ms = c->quiet_ms,
		.shards = c->shards,
		.queues = (uint32_t)number_from_environment("SOAK_QUEUES",
							    c->queues),
		.times_off = c->times_off || getenv("SOAK_TIMES_OFF"),
		.unbound = getenv("SOAK_UNBOUND") ||
			   (c->unbound && !getenv("SOAK_SEED")),
	};
	uint64_t first = number_from_environment("SOAK_SEED", c->seed);
	uint64_t n = number_from_environment("SOAK_SEEDS", c->seeds);
	model_result_t total = { 0 };
	uint64_t broken = 0;

	model_default_weights(options.weights);
	parse_weights(disruptions ? disruptions : c->disruptions,
		      options.weights);
	for (options.seed = first; options.seed < first + n; options.seed++) {
		model_result_t result;

		model_run(&options, &result);
		total.starts += result.starts;
		total.done += result.done;
		total.lives += result.lives;
		total.owners += result.owners;
		total.moves += result.moves;
		total.most_moves = MAX(total.most_moves, result.most_moves);
		total.idle_samples += result.idle_samples;
		total.longest_idle_ms =
			MAX(total.longest_idle_ms, result.longest_idle_ms);
		if (!result.breach)
			continue;
		/* The events of the first breach are enough. */
		printf("%.*s\n",
		       (int)(broken++ ? strcspn(result.breach, "\n") :
					strlen(result.breach)),
		       result.breach);
		g_free(result.breach);
	}
	printf("%s: %u seeds from %u on, %u broke a rule; %u starts, %u done, "
	       "%u lives of workers, %u owners\n",
	       c->name, (unsigned)n, (unsigned)first, (unsigned)broken,
	       total.starts, total.done, total.lives, total.owners);
	if (c->shards > 1)
		printf("%s: %u moves, of one task at most %u\n", c->name,
		       total.moves, total.most_moves);
	if (c->quiet_ms)
		printf("%s: %u samples judged, longest wait %d ms\n", c->name,
		       total.idle_samples, (int)total.longest_idle_ms);
	fflush(stdout);
	assert_int_equal(broken, 0);
}
