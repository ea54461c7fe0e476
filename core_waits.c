#include "core_waits.h"

#include <inttypes.h>
#include <string.h>

/* Larger values than this, in core-seconds or milli-cores, are not told. */
#define AMOUNT_MAX INT64_C(1000000000000)
#define TOLD_WORD "@:0:0"

static bool parse_number(const char *text, int64_t max, int64_t *value);

gh_wait_t *gh_waits_get(gh_waits_t *waits, const char *service,
			uint32_t priority)
{
	gh_wait_t *wait;
	uint32_t i;

	for (i = 0; i < waits->n; i++) {
		wait = &waits->all[i];
		if (wait->priority == priority &&
		    !strcmp(wait->service, service))
			return wait;
	}
	if (waits->n == GH_WAITS_MAX)
		return NULL;
	wait = &waits->all[waits->n++];
	*wait = (gh_wait_t){ .priority = priority };
	g_strlcpy(wait->service, service, sizeof(wait->service));
	return wait;
}

int64_t gh_waits_ms(const gh_waits_t *waits, const char *service,
		    uint32_t priority)
{
	int64_t ready_core_s = 0;
	int64_t rate_milli = 0;
	uint32_t i;

	for (i = 0; i < waits->n; i++) {
		const gh_wait_t *wait = &waits->all[i];

		if (wait->priority > priority || strcmp(wait->service, service))
			continue;
		ready_core_s += wait->ready_core_s;
		rate_milli = MAX(rate_milli, wait->rate_milli);
	}
	return rate_milli ? ready_core_s * 1000 * 1000 / rate_milli : 0;
}

void gh_waits_append(const gh_waits_t *waits, GString *text)
{
	uint32_t i;

	if (waits->told)
		g_string_append(text, " " TOLD_WORD);
	for (i = 0; waits->told && i < waits->n; i++) {
		const gh_wait_t *wait = &waits->all[i];

		g_string_append_printf(
			text, " @%u,%" PRId64 ",%s:%" PRId64 ":%" PRId64,
			wait->priority, wait->later_core_s, wait->service,
			wait->ready_core_s, wait->rate_milli);
	}
}

bool gh_waits_parse(gh_waits_t *waits, const char *word)
{
	char **fields = g_strsplit(word, ":", -1);
	char **heads = NULL;
	int64_t priority, later, ready, rate;
	bool ok = *word == '@' && g_strv_length(fields) == 3;
	gh_wait_t *wait;

	if (!strcmp(word, TOLD_WORD)) {
		waits->told = true;
		g_strfreev(fields);
		return true;
	}
	if (ok) {
		heads = g_strsplit(fields[0] + 1, ",", 3);
		ok = g_strv_length(heads) == 3 && *heads[2] &&
		     strlen(heads[2]) <= GH_QUEUE_MAX &&
		     parse_number(heads[0], UINT32_MAX, &priority) &&
		     parse_number(heads[1], AMOUNT_MAX, &later) &&
		     parse_number(fields[1], AMOUNT_MAX, &ready) &&
		     parse_number(fields[2], AMOUNT_MAX, &rate);
	}
	wait = ok ? gh_waits_get(waits, heads[2], (uint32_t)priority) : NULL;
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
