/*
 * How far an owner plans ahead.
 *
 * Handles owners that decide faster than they commit and send.  A planned run
 * holds capacity that nothing uses until the change of its job is committed.
 * Nothing is planned while more changes are to be committed before it
 * (core_fleet_commit.c) than were committed in the last second or so, but for
 * PLANNED_MIN runs.  The bound counts changes and not runs, as
 * one change can begin many runs and tell many ends.  A job whose change is
 * queued anyway needs no other, so it may have more planned for longer: else
 * the ends of runs would take up the commits for some seconds at a time.
 *
 * While this binds, a share of the commits goes to the jobs of which nothing
 * has run for longest, whatever their rank.
 */
#include "core_fleet_parts.h"

#define BUDGET_PERIOD_USEC GH_USEC_PER_SEC
/* Runs that may always be planned. */
#define PLANNED_MIN 64
/* Runs that are planned for longer keep no others from being planned. */
#define STUCK_USEC (5 * GH_USEC_PER_SEC)
/* The oldest jobs, and those whose changes are queued, may exceed the bound. */
#define EXCESS_FACTOR 2
/* A quarter of the changes that are committed is for the oldest jobs. */
#define OLDEST_SHARE_DIVISOR 4

static bool allows(gh_fleet_t *fleet, uint32_t n_ahead);
static void decay(double *lately, uint32_t *since, gh_time_t elapsed);

void fleet_budget_note_begun(gh_fleet_t *fleet)
{
	fleet->budget.n_planned--;
	fleet->budget.n_begun++;
}

void fleet_budget_begin(gh_fleet_t *fleet, gh_time_t now)
{
	fleet_budget_t *budget = &fleet->budget;
	gh_time_t elapsed = MIN(now - budget->begun_at, BUDGET_PERIOD_USEC);

	budget->oldest_share +=
		(double)budget->n_committed / OLDEST_SHARE_DIVISOR;
	decay(&budget->begun_lately, &budget->n_begun, elapsed);
	decay(&budget->committed_lately, &budget->n_committed, elapsed);
	budget->begun_at = now;
	budget->changes_max = (uint32_t)budget->committed_lately;
	budget->oldest_share =
		budget->is_short ?
			MIN(budget->oldest_share,
			    budget->committed_lately / OLDEST_SHARE_DIVISOR) :
			0;
	budget->planned_max =
		PLANNED_MIN + MIN(budget->n_planned, budget->n_stuck);
	budget->was_short = budget->is_short;
	budget->is_short = false;
}

/* Turns a count per BUDGET_PERIOD_USEC into that of a later time. */
static void decay(double *lately, uint32_t *since, gh_time_t elapsed)
{
	*lately *= 1 - (double)elapsed / (double)BUDGET_PERIOD_USEC;
	*lately += *since;
	*since = 0;
}

bool fleet_budget_is_stuck(const fleet_run_t *run, gh_time_t now)
{
	return run->state == RUN_PLANNED && now - run->planned_at > STUCK_USEC;
}

bool fleet_budget_allows_job(gh_fleet_t *fleet, const fleet_job_t *job)
{
	const fleet_budget_t *budget = &fleet->budget;
	uint32_t n_changes = gh_commit_order_length(fleet->changes);
	bool may_exceed = n_changes < EXCESS_FACTOR * budget->changes_max;

	if (budget->serves_oldest)
		return (may_exceed && n_changes < budget->oldest_changes_max) ||
		       budget->n_planned < budget->oldest_planned_max;
	return (may_exceed && job->change_queued) ||
	       allows(fleet, fleet_commit_ahead(fleet, job));
}

bool fleet_budget_allows(gh_fleet_t *fleet)
{
	return allows(fleet, gh_commit_order_length(fleet->changes));
}

/* Whether more may be planned behind so many changes. */
static bool allows(gh_fleet_t *fleet, uint32_t n_ahead)
{
	fleet_budget_t *budget = &fleet->budget;

	if (n_ahead < budget->changes_max ||
	    budget->n_planned < budget->planned_max)
		return true;
	budget->is_short = true;
	return false;
}

bool fleet_budget_begin_oldest(gh_fleet_t *fleet)
{
	fleet_budget_t *budget = &fleet->budget;

	if (!budget->was_short)
		return false;
	budget->oldest_changes_max = gh_commit_order_length(fleet->changes) +
				     (uint32_t)budget->oldest_share;
	budget->oldest_planned_max = budget->n_planned;
	if (budget->n_planned < budget->planned_max)
		budget->oldest_planned_max =
			(budget->n_planned + budget->planned_max + 1) / 2;
	budget->serves_oldest = true;
	return true;
}

void fleet_budget_end_oldest(gh_fleet_t *fleet)
{
	fleet_budget_t *budget = &fleet->budget;
	uint32_t n_changes = gh_commit_order_length(fleet->changes);

	budget->serves_oldest = false;
	budget->oldest_share = n_changes < budget->oldest_changes_max ?
				       budget->oldest_changes_max - n_changes :
				       0;
}
