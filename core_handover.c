#include "core_handover.h"

#include <inttypes.h>
#include <string.h>

/*
 * An owner is late from this mean time between two decisions on, until it is
 * below the lower bound.  Without events a decision is made each 25 ms.
 */
#define LATE_FROM_USEC (60 * GH_USEC_PER_MSEC)
#define LATE_UNTIL_USEC (40 * GH_USEC_PER_MSEC)
/* An owner is behind while a planned run has waited for longer. */
#define BEHIND_FROM_USEC GH_USEC_PER_SEC
/* Time for which an owner has to be late and behind, or only late. */
#define DUE_BEHIND_USEC (2 * GH_USEC_PER_SEC)
#define DUE_LATE_USEC (6 * GH_USEC_PER_SEC)
/* Part of the time between two checks that counts: a frozen host is not late.
 */
#define CHECK_GAP_MAX_USEC (500 * GH_USEC_PER_MSEC)
#define PAUSE_MIN_USEC (4 * GH_USEC_PER_SEC)
#define PAUSE_MAX_USEC (320 * GH_USEC_PER_SEC)
/* After a pause, the next hand-over doubles it within this time. */
#define PAUSE_KEPT_USEC (300 * GH_USEC_PER_SEC)

/*
 * In the chain record: "cores N" tells the largest host, "handed CAPACITY PAUSE
 * LEFT" the last hand-over, with the pause and what is left of it, in ms
 * relative to the commit.  CAPACITY is 0 once the shard was claimed again.
 */
#define CHAIN_CORES " cores "
#define CHAIN_HANDED " handed "

static uint32_t read_cores(const char *text, char **end);
static void lengthen_pause(gh_handover_t *handover, gh_time_t now);

void gh_handover_read(gh_handover_t *handover, const char *chain, gh_time_t now)
{
	const char *cores = strstr(chain, CHAIN_CORES);
	const char *handed = strstr(chain, CHAIN_HANDED);
	int64_t pause_ms, left_ms;
	char *end;

	*handover = (gh_handover_t){ 0 };
	if (cores)
		handover->cores_max =
			read_cores(cores + strlen(CHAIN_CORES), &end);
	if (!handed)
		return;
	handover->giver = read_cores(handed + strlen(CHAIN_HANDED), &end);
	pause_ms = g_ascii_strtoll(end, &end, 10);
	left_ms = g_ascii_strtoll(end, &end, 10);
	handover->pause = CLAMP(pause_ms, gh_time_to_ms(PAUSE_MIN_USEC),
				gh_time_to_ms(PAUSE_MAX_USEC)) *
			  GH_USEC_PER_MSEC;
	handover->pause_end =
		now + CLAMP(left_ms, -gh_time_to_ms(PAUSE_KEPT_USEC),
			    gh_time_to_ms(PAUSE_MAX_USEC)) *
			      GH_USEC_PER_MSEC;
}

static uint32_t read_cores(const char *text, char **end)
{
	uint64_t cores = g_ascii_strtoull(text, end, 10);

	return (uint32_t)MIN(cores, UINT32_MAX);
}

void gh_handover_tell(const gh_handover_t *handover, GString *chain,
		      gh_time_t now)
{
	if (handover->cores_max)
		g_string_append_printf(chain, CHAIN_CORES "%" PRIu32,
				       handover->cores_max);
	if (handover->pause && now < handover->pause_end + PAUSE_KEPT_USEC)
		g_string_append_printf(
			chain, CHAIN_HANDED "%" PRIu32 " %" PRId64 " %" PRId64,
			handover->giver, gh_time_to_ms(handover->pause),
			gh_time_to_ms(handover->pause_end - now));
}

bool gh_handover_steps_back(const gh_handover_t *handover, uint32_t capacity)
{
	return handover->giver && capacity <= handover->giver;
}

void gh_handover_claim(gh_handover_t *handover, uint32_t cores,
		       uint32_t capacity, gh_time_t now)
{
	/* No larger host was there to take the shard. */
	if (gh_handover_steps_back(handover, capacity))
		lengthen_pause(handover, now);
	handover->giver = 0;
	handover->cores_max = MAX(handover->cores_max, cores);
}

bool gh_handover_is_due(gh_handover_t *handover,
			const gh_handover_check_t *check, gh_time_t now)
{
	gh_time_t gap = handover->checked_at ? now - handover->checked_at : 0;

	gap = MIN(gap, CHECK_GAP_MAX_USEC);
	handover->checked_at = now;
	handover->is_late =
		check->tick_gap >=
		(handover->is_late ? LATE_UNTIL_USEC : LATE_FROM_USEC);
	if (!handover->is_late || check->capacity != handover->capacity)
		handover->late = handover->behind = 0;
	else
		handover->late += gap;
	handover->capacity = check->capacity;
	if (!check->planned_since ||
	    now - check->planned_since < BEHIND_FROM_USEC)
		handover->behind = 0;
	else if (handover->late)
		handover->behind += gap;
	return check->capacity < handover->cores_max &&
	       now >= handover->pause_end &&
	       (handover->behind >= DUE_BEHIND_USEC ||
		handover->late >= DUE_LATE_USEC);
}

void gh_handover_give(gh_handover_t *handover, gh_time_t now)
{
	lengthen_pause(handover, now);
	handover->giver = handover->capacity;
}

void gh_handover_keep(gh_handover_t *handover)
{
	handover->giver = 0;
	handover->late = handover->behind = 0;
}

static void lengthen_pause(gh_handover_t *handover, gh_time_t now)
{
	bool is_recent =
		handover->pause && now < handover->pause_end + PAUSE_KEPT_USEC;

	handover->pause = is_recent ? MIN(2 * handover->pause, PAUSE_MAX_USEC) :
				      PAUSE_MIN_USEC;
	handover->pause_end = now + handover->pause;
}
