/*
 * Measures a decision of the fleet scheduler with 1,400 workers and more tasks
 * than they hold, while failure domains are emptied.
 */
#include <stdio.h>
#include <time.h>

#include "core_fleet.h"

#define WORKERS 1400
#define DOMAINS 4
#define JOBS 400
#define TASKS 40
#define TICKS 200
#define TICK_USEC (25 * GH_USEC_PER_MSEC)
#define EMPTY_MS 5000
#define START_TIME GH_USEC_PER_SEC

static const char *const names[DOMAINS] = { "d0", "d1", "d2", "d3" };

/* Processor time of this thread in microseconds. */
static double cpu_usec(void)
{
	struct timespec t;

	clock_gettime(CLOCK_THREAD_CPUTIME_ID, &t);
	return (double)t.tv_sec * 1e6 + (double)t.tv_nsec / 1e3;
}

static void add_worker(gh_fleet_t *fleet, uint32_t i, gh_time_t now)
{
	gh_worker_entry_t entry = {
		.service = "svc",
		.n_labels = 2,
		.labels = { "a", "r1" },
		.size = { .cores_milli = 16000, .memory_mb = 64000 },
		.incarnation_start_ms = 1,
	};
	gh_worker_report_t report = { .incarnation_start_ms = 1,
				      .complete = true };
	gh_worker_renewal_t renewal;

	g_snprintf(entry.id, sizeof(entry.id), "w%u", i);
	g_snprintf(entry.address, sizeof(entry.address), "10.0.%u.%u:1",
		   i / 250, i % 250 + 1);
	g_strlcpy(entry.domain, names[i % DOMAINS], sizeof(entry.domain));
	gh_fleet_worker_set(fleet, &entry, now);
	if (!gh_fleet_next_renewal(fleet, &renewal, now))
		return;
	report.fence_offset = renewal.fence_offset;
	report.requested_at = now;
	gh_fleet_handle_report(fleet, entry.id, &report, now + 1);
}

static void add_job(gh_fleet_t *fleet, uint32_t i)
{
	static const gh_step_t step = { .tasks = TASKS,
					.size = { .cores_milli = 2000,
						  .memory_mb = 1000 },
					.estimate_ms = 1000 };
	gh_pipeline_t *job = g_new0(gh_pipeline_t, 1);

	g_snprintf(job->id, sizeof(job->id), "%016x", i);
	g_strlcpy(job->queue, "q", sizeof(job->queue));
	g_strlcpy(job->service, "svc", sizeof(job->service));
	job->n_steps = 1;
	job->steps = g_memdup2(&step, sizeof(step));
	job->payload = g_strdup("");
	gh_fleet_job_add(fleet, job, NULL, NULL);
}

/* Time of a decision in microseconds; sets what a change of domains takes. */
static double measure(int64_t empty_ms, size_t n_emptied, double *change_usec)
{
	gh_fleet_setup_t setup = { .lease_ms = 4500,
				   .lease_max_ms = 10000,
				   .stop_ms = 400,
				   .empty_ms = empty_ms };
	gh_time_t now = START_TIME;
	gh_fleet_t *fleet = gh_fleet_new(&setup, NULL, now);
	double began, sum = 0;
	uint32_t i;

	for (i = 0; i < WORKERS; i++)
		add_worker(fleet, i, now);
	for (i = 0; i < JOBS; i++)
		add_job(fleet, i);
	gh_fleet_domains_heard(fleet, now);
	began = cpu_usec();
	gh_fleet_domains_set(fleet, names, n_emptied, now);
	*change_usec = cpu_usec() - began;
	for (i = 0; i < TICKS; i++) {
		gh_fleet_change_t change;

		now += TICK_USEC;
		gh_fleet_domains_heard(fleet, now);
		began = cpu_usec();
		gh_fleet_tick(fleet, now, gh_time_to_ms(now));
		sum += cpu_usec() - began;
		while (gh_fleet_next_change(fleet, &change)) {
			gh_fleet_handle_commit(fleet, change.id,
					       change.version);
			g_free(change.progress);
		}
	}
	gh_fleet_free(fleet);
	return sum / TICKS;
}

int main(void)
{
	size_t n;
	double change, tick;

	tick = measure(0, 0, &change);
	printf("%-24s %10.1f us a decision\n", "requests not followed", tick);
	for (n = 0; n <= DOMAINS; n++) {
		tick = measure(EMPTY_MS, n, &change);
		printf("%zu of %u domains emptied %10.1f us a decision, %.0f "
		       "us to take over the change\n",
		       n, DOMAINS, tick, change);
	}
	return 0;
}
