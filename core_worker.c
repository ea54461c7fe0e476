#include "core_worker.h"

#include <glib.h>

#define STREAK_TO_EJECT 4    /* failures in a row */
#define EJECTION_DOUBLINGS 6 /* most doublings of the wait */
#define UNANSWERED_TO_LIST 1 /* calls without an answer before listing */

static bool is_to_blame(const gh_worker_health_t *health);
static void eject(gh_worker_health_t *health, gh_time_t eject_time,
		  gh_time_t now);

gh_worker_verdict_t gh_worker_attempt_succeeded(gh_worker_health_t *health)
{
	bool was = health->ejected;

	health->n_failures = 0;
	health->ejected = false;
	health->ejections = 0;
	return was ? GH_WORKER_READMIT : GH_WORKER_KEEP;
}

gh_worker_verdict_t gh_worker_attempt_failed(gh_worker_health_t *health,
					     const gh_worker_failure_t *blame,
					     bool may_eject,
					     gh_time_t eject_time,
					     gh_time_t now)
{
	size_t i;

	if (health->n_failures == GH_WORKER_FAILURES_MAX) {
		for (i = 1; i < GH_WORKER_FAILURES_MAX; i++)
			health->failures[i - 1] = health->failures[i];
		health->n_failures--;
	}
	health->failures[health->n_failures++] = *blame;
	if (health->ejected) {
		/* Failures of what ran before don't lengthen the wait. */
		if (now >= health->trial_at)
			eject(health, eject_time, now);
		return GH_WORKER_EJECT;
	}
	if (!may_eject || !is_to_blame(health))
		return GH_WORKER_KEEP;
	eject(health, eject_time, now);
	return GH_WORKER_EJECT;
}

bool gh_worker_usable(const gh_worker_health_t *health, uint32_t tasks,
		      gh_time_t now)
{
	if (!health->reachable)
		return false;
	if (health->ejected)
		return now >= health->trial_at && !tasks;
	return health->n_failures < STREAK_TO_EJECT / 2 || !tasks;
}

void gh_worker_reply_received(gh_worker_health_t *health)
{
	health->reachable = true;
	health->missed_replies = 0;
}

void gh_worker_reply_missing(gh_worker_health_t *health)
{
	health->reachable = false;
	health->missed_replies++;
}

bool gh_worker_should_renew(const gh_worker_health_t *health)
{
	return health->missed_replies < UNANSWERED_TO_LIST;
}

/*
 * A streak of failures is the worker's own when it spans several jobs, or
 * one job that does well on other workers.
 */
static bool is_to_blame(const gh_worker_health_t *health)
{
	size_t i;

	if (health->n_failures < STREAK_TO_EJECT)
		return false;
	for (i = 0; i < health->n_failures; i++)
		if (health->failures[i].job_ran_elsewhere ||
		    health->failures[i].job != health->failures[0].job)
			return true;
	return false;
}

static void eject(gh_worker_health_t *health, gh_time_t eject_time,
		  gh_time_t now)
{
	uint32_t doublings = MIN(health->ejections, EJECTION_DOUBLINGS);

	health->ejected = true;
	health->trial_at = now + (eject_time << doublings);
	health->ejections++;
}
