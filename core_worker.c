#include "core_worker.h"

#include <glib.h>

/* number of failed attempts in a row that eject a worker */
#define FAILURES_TO_EJECT 4
#define MAX_DOUBLINGS 6 /* an ejection lasts at most 2^6 times the first */
/*
 * Missed replies in a row after which calls to a worker only list its tasks and
 * renew no leases.
 */
#define MISSED_REPLIES_TO_LIST 1

static bool is_worker_fault(const gh_worker_health_t *health);
static void eject(gh_worker_health_t *health, gh_time_t eject_time,
		  gh_time_t now);

gh_worker_verdict_t gh_worker_attempt_succeeded(gh_worker_health_t *health)
{
	bool was_ejected = health->ejected;

	health->n_failures = 0;
	health->ejected = false;
	health->ejections = 0;
	return was_ejected ? GH_WORKER_READMIT : GH_WORKER_KEEP;
}

gh_worker_verdict_t gh_worker_attempt_failed(gh_worker_health_t *health,
					     const gh_worker_failure_t *failure,
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
	health->failures[health->n_failures++] = *failure;
	if (health->ejected) {
		/*
		 * Failures of tasks that started before the ejection don't
		 * prolong it.
		 */
		if (now >= health->trial_at)
			eject(health, eject_time, now);
		return GH_WORKER_EJECT;
	}
	if (!may_eject || !is_worker_fault(health))
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
	return health->n_failures < FAILURES_TO_EJECT / 2 || !tasks;
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
	return health->missed_replies < MISSED_REPLIES_TO_LIST;
}

/*
 * Enough failures in a row are attributed to the worker when they are of
 * several jobs, or of one job of which some task had succeeded on any worker.
 */
static bool is_worker_fault(const gh_worker_health_t *health)
{
	size_t i;

	if (health->n_failures < FAILURES_TO_EJECT)
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
	uint32_t doublings = MIN(health->ejections, MAX_DOUBLINGS);

	health->ejected = true;
	health->trial_at = now + (eject_time << doublings);
	health->ejections++;
}
