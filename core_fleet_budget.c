/*
 * How many runs an owner may have planned.
 *
 * Handles owners that decide faster than they commit and send.  A planned run
 * holds capacity that nothing uses until it is committed, so no more runs are
 * planned than have begun in the last second or so.
 */
#include "core_fleet_state.h"

#define BUDGET_PERIOD_USEC GH_USEC_PER_SEC

void fleet_budget_note_planned(gh_fleet_t *fleet)
{
	fleet->budget.n_planned++;
}

void fleet_budget_note_dropped(gh_fleet_t *fleet)
{
	fleet->budget.n_planned--;
}

void fleet_budget_note_begun(gh_fleet_t *fleet)
{
	fleet->budget.n_planned--;
	fleet->budget.n_begun++;
}

void fleet_budget_begin(gh_fleet_t *fleet, gh_time_t now)
{
	fleet_budget_t *budget = &fleet->budget;
	gh_time_t elapsed = MIN(now - budget->begun_at, BUDGET_PERIOD_USEC);

	budget->begun_lately *=
		1 - (double)elapsed / (double)BUDGET_PERIOD_USEC;
	budget->begun_lately += budget->n_begun;
	budget->begun_at = now;
	budget->n_begun = 0;
}
