#include "core_retry.h"

#define COST_PERCENTS 100
#define BURST_PERCENTS (10 * COST_PERCENTS) /* at the start */
#define MOST_PERCENTS (50 * COST_PERCENTS)

typedef struct ending {
	bool written;		   /* the executor may have run it */
	gh_error_kind_t unwritten; /* told when nothing was ever written */
	gh_error_kind_t idempotent;
} ending_t;

static const ending_t endings[GH_SEND_COUNT] = {
	[GH_SEND_COMPLETED] = { .written = true },
	[GH_SEND_REFUSED] = { .written = false,
			      .unwritten = GH_E_EXECUTOR_BUSY,
			      .idempotent = GH_E_TIMEOUT },
	[GH_SEND_UNSENT] = { .written = false,
			     .unwritten = GH_E_NO_EXECUTOR,
			     .idempotent = GH_E_TIMEOUT },
	[GH_SEND_RESET] = { .written = true,
			    .idempotent = GH_E_OUTCOME_UNKNOWN },
	[GH_SEND_BAD_RESPONSE] = { .written = true,
				   .idempotent = GH_E_BAD_ANSWER },
	[GH_SEND_SILENT] = { .written = true, .idempotent = GH_E_TIMEOUT },
	[GH_SEND_TIMEOUT] = { .written = true, .idempotent = GH_E_TIMEOUT },
};

static bool may_retry(const gh_retry_state_t *state, const gh_policy_t *policy,
		      gh_time_t now);
static gh_error_kind_t kind_of(const gh_retry_state_t *state,
			       gh_send_result_t ended);

void gh_retry_budget_init(gh_retry_budget_t *budget)
{
	budget->balance_percent = BURST_PERCENTS;
}

void gh_retry_succeeded(gh_retry_budget_t *budget, const gh_policy_t *policy)
{
	budget->balance_percent += policy->retry_budget_percent;
	if (budget->balance_percent > MOST_PERCENTS)
		budget->balance_percent = MOST_PERCENTS;
}

gh_retry_verdict_t gh_retry_decide(gh_retry_budget_t *budget,
				   gh_retry_state_t *state,
				   const gh_policy_t *policy,
				   gh_send_result_t ended, gh_time_t now,
				   gh_error_kind_t *kind)
{
	if (endings[ended].written)
		state->written = true;
	if (ended == GH_SEND_COMPLETED)
		return GH_RETRY_DONE;
	*kind = kind_of(state, ended);
	if (!may_retry(state, policy, now))
		return GH_RETRY_GIVE_UP;
	if (!policy->retry_budget_percent ||
	    budget->balance_percent < COST_PERCENTS) {
		if (state->written)
			*kind = GH_E_RETRY_BUDGET;
		return GH_RETRY_GIVE_UP;
	}
	budget->balance_percent -= COST_PERCENTS;
	state->retries++;
	return GH_RETRY_AGAIN;
}

static bool may_retry(const gh_retry_state_t *state, const gh_policy_t *policy,
		      gh_time_t now)
{
	if (state->written && !state->idempotent)
		return false;
	return state->retries < policy->retry_max && now < state->deadline;
}

static gh_error_kind_t kind_of(const gh_retry_state_t *state,
			       gh_send_result_t ended)
{
	if (!state->written)
		return endings[ended].unwritten;
	if (!state->idempotent)
		return GH_E_OUTCOME_UNKNOWN;
	return endings[ended].idempotent;
}
