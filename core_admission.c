#include "core_admission.h"

/* Older knowledge refuses nobody. */
#define AGE_MAX_USEC (3 * GH_USEC_PER_SEC)
/* Ids take turns of this length; each has one in TURNS. */
#define TURN_MS 2000
#define TURNS 4
/* In its turn a job may end a quarter later. */
#define TURN_DIVISOR 4
/* Nobody is told to return later than this. */
#define ROOM_MAX_MS 30000
/* Part of a host's memory that jobs may take, without their tasks. */
#define MEMORY_PART_JOBS 6
/* When callers return whose jobs have no memory: by id, in this span. */
#define MEMORY_RETRY_MS 2000
#define MEMORY_RETRY_SPREAD_MS 8000
/* Limit of the estimates, which can be arbitrarily large. */
#define TIME_MAX_MS INT64_C(1000000000000)

static int64_t time_until_turn(const char *id, int64_t wall_ms);
static bool has_turn(const char *id, int64_t wall_ms);

static const char *const reason_names[GH_ADMISSION_REASONS] = {
	[GH_ADMISSION_USEFUL] = "useful",
	[GH_ADMISSION_NO_ESTIMATE] = "no_estimate",
	[GH_ADMISSION_UNKNOWN] = "unknown",
	[GH_ADMISSION_TURN] = "turn",
	[GH_ADMISSION_LATE] = "late",
	[GH_ADMISSION_NO_MEMORY] = "no_memory",
};

bool gh_admission_has_memory(const gh_pipeline_t *job, uint64_t open_bytes,
			     uint64_t max, gh_admission_verdict_t *verdict)
{
	if (!max || open_bytes + gh_pipeline_bytes(job) <= max)
		return true;
	*verdict = (gh_admission_verdict_t){
		.reason = GH_ADMISSION_NO_MEMORY,
		.retry_after_ms = MEMORY_RETRY_MS +
				  g_str_hash(job->id) % MEMORY_RETRY_SPREAD_MS,
	};
	return false;
}

uint64_t gh_admission_memory_max(uint32_t memory_mb)
{
	return ((uint64_t)memory_mb << 20) / MEMORY_PART_JOBS;
}

void gh_admission_judge(const gh_admission_state_t *state,
			gh_admission_verdict_t *verdict)
{
	const gh_pipeline_t *job = state->job;
	const gh_queue_policy_t *policy = state->policy;
	int64_t path_ms =
		MIN(gh_pipeline_critical_path_ms(job, UINT32_MAX), TIME_MAX_MS);
	int64_t wait_ms = CLAMP(state->wait_ms, 0, TIME_MAX_MS);
	int64_t limit_ms, room_ms;

	*verdict = (gh_admission_verdict_t){
		.objective_ms = MIN(
			path_ms * MIN(policy->stretch_milli, 1000000) / 1000 +
				policy->target_ms,
			TIME_MAX_MS),
		.end_ms = wait_ms + path_ms,
	};
	limit_ms = verdict->objective_ms * state->limit_milli / 1000;
	if (!state->limit_milli || path_ms <= 0 || limit_ms <= path_ms ||
	    job->occurrences || gh_pipeline_is_long_running(job)) {
		verdict->reason = GH_ADMISSION_NO_ESTIMATE;
		return;
	}
	if (state->wait_ms < 0 || state->age > AGE_MAX_USEC) {
		verdict->reason = GH_ADMISSION_UNKNOWN;
		return;
	}
	if (verdict->end_ms <= limit_ms)
		return;
	if (has_turn(job->id, state->wall_ms) &&
	    verdict->end_ms <= limit_ms + limit_ms / TURN_DIVISOR) {
		verdict->reason = GH_ADMISSION_TURN;
		return;
	}
	verdict->reason = GH_ADMISSION_LATE;
	/* By then, so much of what waits has passed that the job is of use. */
	room_ms = MIN(verdict->end_ms - limit_ms, ROOM_MAX_MS);
	verdict->retry_after_ms =
		room_ms + time_until_turn(job->id, state->wall_ms + room_ms);
}

bool gh_admission_is_refusal(const gh_admission_verdict_t *verdict)
{
	return verdict->reason >= GH_ADMISSION_LATE;
}

const char *gh_admission_reason_name(gh_admission_reason_t reason)
{
	return reason_names[reason];
}

static bool has_turn(const char *id, int64_t wall_ms)
{
	return time_until_turn(id, wall_ms) == 0;
}

/* 0 in the turn itself. */
static int64_t time_until_turn(const char *id, int64_t wall_ms)
{
	int64_t turn = g_str_hash(id) % TURNS;
	int64_t now = wall_ms / TURN_MS;
	int64_t ahead = (turn - now % TURNS + TURNS) % TURNS;

	return ahead ? (now + ahead) * TURN_MS - wall_ms : 0;
}
