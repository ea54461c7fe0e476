#include "core_waits.h"

#include <inttypes.h>
#include <string.h>

/* Larger values than this, in core-seconds or milli-cores, are not told. */
#define AMOUNT_MAX INT64_C(1000000000000)
#define TOLD_WORD "@:0:0"

static bool is_for(const gh_wait_t *wait, const gh_wait_queue_t *queue);
static bool parse_number(const char *text, int64_t max, int64_t *value);

gh_wait_queue_t gh_wait_queue(const gh_pipeline_t *job, uint32_t priority)
{
	gh_wait_queue_t queue = { .service = job->service,
				  .priority = priority,
				  .best_effort = true };
	uint32_t i;

	for (i = 0; i < job->n_steps; i++)
		if (!job->steps[i].best_effort)
			queue.best_effort = false;
	return queue;
}

gh_wait_t *gh_waits_get(gh_waits_t *waits, const gh_wait_queue_t *queue)
{
	gh_wait_t *wait;
	uint32_t i;

	for (i = 0; i < waits->n; i++) {
		wait = &waits->all[i];
		if (wait->priority == queue->priority && is_for(wait, queue))
			return wait;
	}
	if (waits->n == GH_WAITS_MAX)
		return NULL;
	wait = &waits->all[waits->n++];
	*wait = (gh_wait_t){ .priority = queue->priority,
			     .best_effort = queue->best_effort };
	g_strlcpy(wait->service, queue->service, sizeof(wait->service));
	return wait;
}

int64_t gh_waits_ms(const gh_waits_t *waits, const gh_wait_queue_t *queue)
{
	int64_t ready_core_s = 0;
	int64_t rate_milli = 0;
	uint32_t i;

	for (i = 0; i < waits->n; i++) {
		const gh_wait_t *wait = &waits->all[i];

		if (wait->priority > queue->priority || !is_for(wait, queue))
			continue;
		ready_core_s += wait->ready_core_s;
		rate_milli = MAX(rate_milli, wait->rate_milli);
	}
	return rate_milli ? ready_core_s * 1000 * 1000 / rate_milli : 0;
}

static bool is_for(const gh_wait_t *wait, const gh_wait_queue_t *queue)
{
	return wait->best_effort == queue->best_effort &&
	       !strcmp(wait->service, queue->service);
}

void gh_waits_append(const gh_waits_t *waits, GString *text)
{
	uint32_t i;

	if (waits->told)
		g_string_append(text, " " TOLD_WORD);
	for (i = 0; waits->told && i < waits->n; i++) {
		const gh_wait_t *wait = &waits->all[i];

		g_string_append_printf(
			text, " @%u%s,%" PRId64 ",%s:%" PRId64 ":%" PRId64,
			wait->priority, wait->best_effort ? "b" : "",
			wait->later_core_s, wait->service, wait->ready_core_s,
			wait->rate_milli);
	}
}

bool gh_waits_parse(gh_waits_t *waits, const char *word)
{
	char **fields = g_strsplit(word, ":", -1);
	char **heads = NULL;
	int64_t priority, later, ready, rate;
	gh_wait_queue_t queue = { 0 };
	bool ok = *word == '@' && g_strv_length(fields) == 3;
	gh_wait_t *wait;

	if (!strcmp(word, TOLD_WORD)) {
		waits->told = true;
		g_strfreev(fields);
		return true;
	}
	if (ok) {
		heads = g_strsplit(fields[0] + 1, ",", 3);
		ok = g_strv_length(heads) == 3 && *heads[2];
	}
	if (ok) {
		queue.service = heads[2];
		queue.best_effort = g_str_has_suffix(heads[0], "b");
		if (queue.best_effort)
			heads[0][strlen(heads[0]) - 1] = '\0';
		ok = strlen(heads[2]) <= GH_QUEUE_MAX &&
		     parse_number(heads[0], UINT32_MAX, &priority) &&
		     parse_number(heads[1], AMOUNT_MAX, &later) &&
		     parse_number(fields[1], AMOUNT_MAX, &ready) &&
		     parse_number(fields[2], AMOUNT_MAX, &rate);
	}
	queue.priority = ok ? (uint32_t)priority : 0;
	wait = ok ? gh_waits_get(waits, &queue) : NULL;
	if (wait) {
		wait->ready_core_s = ready;
		wait->later_core_s = later;
		wait->rate_milli = rate;
	}
	g_strfreev(heads);
	g_strfreev(fields);
	return ok;
}

static bool parse_number(const char *text, int64_t max, int64_t *value)
{
	gint64 number;

	if (!g_ascii_string_to_signed(text, 10, 0, max, &number, NULL))
		return false;
	*value = number;
	return true;
}
