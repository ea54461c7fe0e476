#include "search.h"

#include <stdio.h>
#include <stdlib.h>
#include <string.h>

static uint8_t draw_event_kind(const search_model_t *model, GRand *random,
			       unsigned total_weight);
static bool remove_if_still_failing(const search_model_t *model, GArray *trace,
				    size_t from, size_t n,
				    const char *violation);

GArray *search_generate(const search_model_t *model, uint32_t seed, size_t n)
{
	GArray *trace = g_array_new(FALSE, FALSE, sizeof(search_event_t));
	GRand *random = g_rand_new_with_seed(seed);
	unsigned total_weight = 0;
	size_t i;

	for (i = 0; i < model->n_kinds; i++)
		total_weight += model->kinds[i].weight;
	for (i = 0; i < n; i++) {
		search_event_t event = { .kind = draw_event_kind(model, random,
								 total_weight),
					 .a = g_rand_int(random) % 1000,
					 .b = g_rand_int(random) % 1000 };

		g_array_append_val(trace, event);
	}
	g_rand_free(random);
	return trace;
}

const char *search_run(const search_model_t *model, const GArray *trace,
		       size_t *n_run)
{
	void *state = model->create();
	const char *violation = NULL;
	size_t i;

	for (i = 0; i < trace->len && !violation; i++)
		violation = model->step(
			state, &g_array_index(trace, search_event_t, i));
	if (n_run)
		*n_run = i;
	model->destroy(state);
	return violation;
}

void search_shrink(const search_model_t *model, GArray *trace)
{
	size_t n_run;
	const char *violation = search_run(model, trace, &n_run);
	size_t chunk;
	size_t i;

	if (!violation)
		return;
	g_array_set_size(trace, (guint)n_run);
	for (chunk = trace->len / 2; chunk > 0;) {
		bool shortened = false;

		for (i = 0; i + chunk <= trace->len;) {
			if (remove_if_still_failing(model, trace, i, chunk,
						    violation))
				shortened = true;
			else
				i += chunk;
		}
		if (!shortened || chunk > 1)
			chunk /= 2;
	}
}

char *search_format(const search_model_t *model, const GArray *trace)
{
	GString *text = g_string_new(NULL);
	size_t i;

	for (i = 0; i < trace->len; i++) {
		const search_event_t *event =
			&g_array_index(trace, search_event_t, i);

		g_string_append_printf(text, "%s %u %u\n",
				       model->kinds[event->kind].name, event->a,
				       event->b);
	}
	return g_string_free(text, FALSE);
}

GArray *search_parse(const search_model_t *model, const char *text)
{
	GArray *trace = g_array_new(FALSE, FALSE, sizeof(search_event_t));
	char **lines = g_strsplit(text, "\n", -1);
	size_t i;
	size_t k;

	for (i = 0; lines[i]; i++) {
		char **words = g_strsplit(lines[i], " ", -1);
		search_event_t event = { 0 };

		if (g_strv_length(words) == 3 && lines[i][0] != '#') {
			for (k = 0; k < model->n_kinds; k++)
				if (!strcmp(model->kinds[k].name, words[0]))
					break;
			event.kind = (uint8_t)k;
			event.a = (uint32_t)strtoul(words[1], NULL, 10);
			event.b = (uint32_t)strtoul(words[2], NULL, 10);
			if (k < model->n_kinds)
				g_array_append_val(trace, event);
		}
		g_strfreev(words);
	}
	g_strfreev(lines);
	return trace;
}

bool search_run_seeds(const search_model_t *model, uint32_t first, uint32_t n,
		      size_t events)
{
	uint32_t i;

	for (i = 0; i < n; i++) {
		GArray *trace = search_generate(model, first + i, events);
		const char *violation = search_run(model, trace, NULL);
		char *text;

		if (violation) {
			search_shrink(model, trace);
			text = search_format(model, trace);
			printf("# model=%s seed=%u violated: %s\n%s",
			       model->name, first + i, violation, text);
			g_free(text);
		}
		g_array_free(trace, TRUE);
		if (violation)
			return false;
	}
	printf("# model=%s seeds=%u..%u events=%zu: no violation\n",
	       model->name, first, first + n - 1, events);
	return true;
}

static uint8_t draw_event_kind(const search_model_t *model, GRand *random,
			       unsigned total_weight)
{
	unsigned draw = g_rand_int(random) % MAX(total_weight, 1);
	size_t k;

	for (k = 0; draw >= model->kinds[k].weight; k++)
		draw -= model->kinds[k].weight;
	return (uint8_t)k;
}

/* Removes n events if the remaining trace violates the same invariant. */
static bool remove_if_still_failing(const search_model_t *model, GArray *trace,
				    size_t from, size_t n,
				    const char *violation)
{
	GArray *remaining = g_array_new(FALSE, FALSE, sizeof(search_event_t));
	const char *remaining_violation;
	size_t n_run;

	g_array_append_vals(remaining, trace->data, (guint)from);
	g_array_append_vals(remaining,
			    &g_array_index(trace, search_event_t, from + n),
			    (guint)(trace->len - from - n));
	remaining_violation = search_run(model, remaining, &n_run);
	if (remaining_violation && !strcmp(remaining_violation, violation)) {
		g_array_set_size(trace, 0);
		g_array_append_vals(trace, remaining->data, (guint)n_run);
	}
	g_array_free(remaining, TRUE);
	return remaining_violation && !strcmp(remaining_violation, violation);
}
