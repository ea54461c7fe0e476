/*
 * Runs the fault search over a range of seeds, or replays one trace file.
 * Exits with status 1 when a trace violates an invariant.
 */
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "search.h"

#define EVENTS_DEFAULT 2000

static const search_model_t *const models[] = { &search_requests,
						&search_tasks };

static int replay_trace_file(const search_model_t *model, const char *path)
{
	GArray *trace;
	const char *violation;
	char *text;

	if (!g_file_get_contents(path, &text, NULL, NULL)) {
		fprintf(stderr, "cannot read %s\n", path);
		return 2;
	}
	trace = search_parse(model, text);
	violation = search_run(model, trace, NULL);
	printf("%s: %s\n", path, violation ? violation : "no violation");
	g_array_free(trace, TRUE);
	g_free(text);
	return violation != NULL;
}

int main(int argc, char **argv)
{
	size_t i;

	for (i = 0; argc > 2 && i < G_N_ELEMENTS(models); i++) {
		if (strcmp(models[i]->name, argv[1]) != 0)
			continue;
		if (argc == 3)
			return replay_trace_file(models[i], argv[2]);
		return !search_run_seeds(
			models[i], (uint32_t)strtoul(argv[2], NULL, 10),
			(uint32_t)strtoul(argv[3], NULL, 10),
			argc > 4 ? strtoul(argv[4], NULL, 10) : EVENTS_DEFAULT);
	}
	fputs("usage: bench-search MODEL FIRST_SEED SEEDS [EVENTS]\n"
	      "       bench-search MODEL TRACE_FILE\n",
	      stderr);
	return 2;
}
