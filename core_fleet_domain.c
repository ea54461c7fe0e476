/*
 * Failure domains that are emptied on the operator's request, and workers that
 * are cold.
 *
 * Handles the loss of a domain's workers to new work while what runs there goes
 * on.  From the request on nothing starts there: what is placed and was not
 * sent is taken back at once, and a start without a reply is not sent again but
 * stopped.  Running tasks end by themselves, as a stop would throw work away
 * and make long-running tasks unavailable.
 *
 * An owner that has not heard the requests for some time can't know whether a
 * domain is among them, and starts nothing anywhere.  That time ends before a
 * start that is sent at its end could arrive later than setup.empty_ms after a
 * request.
 *
 * A worker whose entry names no domain counts as one of each.
 */
#include "core_fleet_parts.h"

#include <string.h>

/*
 * Within this time, or a quarter of setup.empty_ms if that is shorter, a start
 * that is decided on arrives.
 */
#define START_ARRIVAL_USEC GH_USEC_PER_SEC
#define START_ARRIVAL_DIVISOR 4

/* What a request finds in its domain. */
typedef struct tally {
	uint32_t workers, runs, unsent;
} tally_t;

static bool is_emptied(const gh_fleet_t *fleet, const fleet_worker_t *worker);
static void update_worker(gh_fleet_t *fleet, uint32_t handle, gh_time_t now);
static void take_back(gh_fleet_t *fleet, uint32_t handle, gh_time_t now);
static tally_t count_domain(const gh_fleet_t *fleet, const char *name);
static void report_emptied(const gh_fleet_t *fleet, const char *name);
static void report_returned(const gh_fleet_t *fleet, GHashTable *former);

void gh_fleet_domains_set(gh_fleet_t *fleet, const char *const *names, size_t n,
			  gh_time_t now)
{
	GHashTable *former = fleet->emptied;
	uint32_t handle;
	size_t i;

	fleet->emptied =
		g_hash_table_new_full(g_str_hash, g_str_equal, g_free, NULL);
	for (i = 0; i < n; i++)
		g_hash_table_add(fleet->emptied, g_strdup(names[i]));
	report_returned(fleet, former);
	for (i = 0; i < n; i++)
		if (!g_hash_table_contains(former, names[i]))
			report_emptied(fleet, names[i]);
	g_hash_table_destroy(former);
	for (handle = 0; handle < fleet->workers->len; handle++)
		if (fleet_worker(fleet, handle)->in_use)
			update_worker(fleet, handle, now);
}

void gh_fleet_domains_heard(gh_fleet_t *fleet, gh_time_t heard_at)
{
	fleet->domains_heard_at = heard_at;
}

void fleet_domain_note_entry(gh_fleet_t *fleet, uint32_t handle, gh_time_t now)
{
	fleet_worker_t *worker = fleet_worker(fleet, handle);
	int64_t cold_ms = worker->entry.cold_ms;

	worker->cold_until = cold_ms ? now + gh_time_from_ms(cold_ms) : 0;
	update_worker(fleet, handle, now);
}

bool fleet_domain_is_heard(const gh_fleet_t *fleet, gh_time_t now)
{
	gh_time_t limit = gh_time_from_ms(fleet->setup.empty_ms);

	if (!limit)
		return true;
	limit -= MIN(START_ARRIVAL_USEC, limit / START_ARRIVAL_DIVISOR);
	return fleet->domains_heard_at && now - fleet->domains_heard_at < limit;
}

bool fleet_domain_may_start(gh_fleet_t *fleet, uint32_t run, gh_time_t now)
{
	fleet_run_t *r = fleet_run(fleet, run);

	if (fleet_worker(fleet, r->worker)->emptied) {
		fleet_run_stop(fleet, run, "its domain is emptied", now);
		return false;
	}
	if (fleet_domain_is_heard(fleet, now))
		return true;
	r->retry_at = now + ORDER_RETRY_USEC;
	fleet->counts.withheld++;
	return false;
}

static bool is_emptied(const gh_fleet_t *fleet, const fleet_worker_t *worker)
{
	if (!g_hash_table_size(fleet->emptied))
		return false;
	return !*worker->entry.domain ||
	       g_hash_table_contains(fleet->emptied, worker->entry.domain);
}

static void update_worker(gh_fleet_t *fleet, uint32_t handle, gh_time_t now)
{
	fleet_worker_t *worker = fleet_worker(fleet, handle);
	bool was_emptied = worker->emptied;

	worker->emptied = is_emptied(fleet, worker);
	if (!worker->emptied || was_emptied)
		return;
	/* Tasks that it is kept for can start elsewhere. */
	worker->kept_for = NULL;
	worker->kept_until = 0;
	take_back(fleet, handle, now);
}

/*
 * Ends the worker's runs whose starts were not sent.  The end of one can end
 * others, those of its gang.
 */
static void take_back(gh_fleet_t *fleet, uint32_t handle, gh_time_t now)
{
	uint32_t ref = fleet_worker(fleet, handle)->first_run;

	while (ref != GH_NONE) {
		const fleet_run_t *run = fleet_run(fleet, ref);

		if (fleet_run_is_unsent(run)) {
			fleet->counts.taken_back++;
			fleet_run_stop(fleet, ref, "its domain is emptied",
				       now);
			ref = fleet_worker(fleet, handle)->first_run;
		} else {
			ref = run->next;
		}
	}
}

static tally_t count_domain(const gh_fleet_t *fleet, const char *name)
{
	tally_t tally = { 0 };
	uint32_t i, ref;

	for (i = 0; i < fleet->workers->len; i++) {
		const fleet_worker_t *worker = fleet_worker(fleet, i);

		if (!worker->in_use || !worker->listed ||
		    strcmp(worker->entry.domain, name) != 0)
			continue;
		tally.workers++;
		tally.runs += worker->n_runs;
		for (ref = worker->first_run; ref != GH_NONE;
		     ref = fleet_run(fleet, ref)->next)
			tally.unsent +=
				fleet_run_is_unsent(fleet_run(fleet, ref));
	}
	return tally;
}

/* Emits what is in the domain before anything is taken back. */
static void report_emptied(const gh_fleet_t *fleet, const char *name)
{
	tally_t tally = count_domain(fleet, name);
	char *detail =
		g_strdup_printf("%s: %u workers, %u runs, %u of them not sent",
				name, tally.workers, tally.runs, tally.unsent);

	fleet_emit_event(fleet, "domain_emptied", NULL, 0, GH_NONE, detail);
	g_free(detail);
}

static void report_returned(const gh_fleet_t *fleet, GHashTable *former)
{
	GHashTableIter iter;
	gpointer name;

	g_hash_table_iter_init(&iter, former);
	while (g_hash_table_iter_next(&iter, &name, NULL)) {
		tally_t tally = { 0 };
		char *detail;

		if (g_hash_table_contains(fleet->emptied, name))
			continue;
		tally = count_domain(fleet, name);
		detail = g_strdup_printf("%s: %u workers, %u runs",
					 (const char *)name, tally.workers,
					 tally.runs);
		fleet_emit_event(fleet, "domain_returned", NULL, 0, GH_NONE,
				 detail);
		g_free(detail);
	}
}
