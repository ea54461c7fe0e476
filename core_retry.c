#include "core_retry.h"

#define RETRY_COST_PERCENT 100
#define INITIAL_BALANCE_PERCENT (10 * RETRY_COST_PERCENT)
#define MAX_BALANCE_PERCENT (50 * RETRY_COST_PERCENT)

/*
 * What a gh_send_result_t implies: whether the request may have run, and the
 * error to return to its caller.
 */
typedef struct outcome {
	bool written; /* the executor may have run the request */
	/* Error returned when no attempt may have run the request. */
	gh_error_kind_t unwritten;
	/*
	 * Error returned when some attempt may have run the request and the
	 * request is idempotent.
	 */
	gh_error_kind_t idempotent;
} outcome_t;

static const outcome_t outcomes[GH_SEND_COUNT] = {
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
				   .idempotent = GH_E_BAD_RESPONSE },
	[GH_SEND_SILENT] = { .written = true, .idempotent = GH_E_TIMEOUT },
	[GH_SEND_TIMEOUT] = { .written = true, .idempotent = GH_E_TIMEOUT },
};

static bool may_retry(const gh_retry_state_t *state, const gh_policy_t *policy,
		      gh_time_t now);
static gh_error_kind_t choose_error(const gh_retry_state_t *state,
				    gh_send_result_t result);

void gh_retry_budget_init(gh_retry_budget_t *budget)
{
	budget->balance_percent = INITIAL_BALANCE_PERCENT;
}

void gh_retry_succeeded(gh_retry_budget_t *budget, const gh_policy_t *policy)
{
	budget->balance_percent += policy->retry_budget_percent;
	if (budget->balance_percent > MAX_BALANCE_PERCENT)
		budget->balance_percent = MAX_BALANCE_PERCENT;
}

gh_retry_verdict_t gh_retry_decide(gh_retry_budget_t *budget,
				   gh_retry_state_t *state,
				   const gh_policy_t *policy,
				   gh_send_result_t result, gh_time_t now,
				   gh_error_kind_t *kind)
{
	if (outcomes[result].written)
		state->written = true;
	if (result == GH_SEND_COMPLETED)
		return GH_RETRY_DONE;
	*kind = choose_error(state, result);
	if (!may_retry(state, policy, now))
		return GH_RETRY_GIVE_UP;
	if (!policy->retry_budget_percent ||
	    budget->balance_percent < RETRY_COST_PERCENT) {
		if (state->written)
			*kind = GH_E_RETRY_BUDGET;
		return GH_RETRY_GIVE_UP;
	}
	budget->balance_percent -= RETRY_COST_PERCENT;
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

static gh_error_kind_t choose_error(const gh_retry_state_t *state,
				    gh_send_result_t result)
{
	if (!state->written)
		return outcomes[result].unwritten;
	if (!state->idempotent)
		return GH_E_OUTCOME_UNKNOWN;
	return outcomes[result].idempotent;
}
