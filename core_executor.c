#include "core_executor.h"

#include <string.h>

/* Fixed-point representation of a failure rate of 1. */
#define FAILURE_RATE_ONE 1024
/* Divisors of the moving averages: a new result counts 1/8. */
#define FAILURE_RATE_WEIGHT 8
#define RUN_TIME_WEIGHT 8
/* results needed before an executor's failure rate can eject it */
#define MIN_SAMPLES 5
#define INITIAL_RUN_TIME_USEC (20 * GH_USEC_PER_MSEC)

typedef struct health {
	bool in_document;
	gh_executor_state_t state;
	gh_time_t state_until; /* end of the ejection or of the slow start */
	unsigned in_flight;
	unsigned in_flight_long;
	/* number of results of the executor since its last readmission */
	unsigned samples;
	/* moving average of the fraction of failures, times FAILURE_RATE_ONE */
	int failure_rate;
	gh_time_t mean_run_time; /* moving average over completed requests */
	gh_time_t last_success;
} health_t;

struct gh_executor_table {
	GHashTable *by_name; /* name to health_t */
	gh_policy_t policy;
	size_t n_active; /* number of active executors of the domain */
};

static health_t *find(const gh_executor_table_t *table, const char *name);
static health_t *find_or_add(gh_executor_table_t *table, const char *name);
static void remove_in_flight(health_t *health, bool is_long);
static gh_executor_change_t record_failure(gh_executor_table_t *table,
					   health_t *health, gh_time_t now);
static gh_executor_change_t record_success(gh_executor_table_t *table,
					   health_t *health, gh_time_t now);
static void eject(const gh_executor_table_t *table, health_t *health,
		  gh_time_t now);
static bool may_eject(const gh_executor_table_t *table);
static unsigned slow_start_slots(const gh_executor_table_t *table,
				 const health_t *health, unsigned slots,
				 gh_time_t now);

gh_executor_table_t *gh_executor_new(void)
{
	gh_executor_table_t *table = g_new0(gh_executor_table_t, 1);

	table->by_name =
		g_hash_table_new_full(g_str_hash, g_str_equal, g_free, g_free);
	return table;
}

void gh_executor_free(gh_executor_table_t *table)
{
	if (!table)
		return;
	g_hash_table_unref(table->by_name);
	g_free(table);
}

void gh_executor_apply(gh_executor_table_t *table, const gh_document_t *doc,
		       gh_handle_t domain)
{
	GHashTableIter iter;
	gpointer value;
	size_t i;

	table->policy = doc->policy;
	table->n_active = 0;
	g_hash_table_iter_init(&iter, table->by_name);
	while (g_hash_table_iter_next(&iter, NULL, &value))
		((health_t *)value)->in_document = false;
	for (i = 0; i < doc->n_executors; i++) {
		const gh_executor_t *executor = &doc->executors[i];

		if (executor->domain != domain ||
		    executor->state != GH_HOST_ACTIVE)
			continue;
		find_or_add(table, executor->name)->in_document = true;
		table->n_active++;
	}
}

bool gh_executor_is_available(gh_executor_table_t *table, const char *name,
			      bool is_long, unsigned slots, gh_time_t now)
{
	health_t *health = find(table, name);

	if (!health || !health->in_document)
		return false;
	if (is_long && slots > 1 && health->in_flight_long >= slots - 1)
		return false;
	if (health->state == GH_EXECUTOR_PROBING)
		return false;
	if (health->state == GH_EXECUTOR_EJECTED)
		return now >= health->state_until;
	if (health->state == GH_EXECUTOR_SLOW_START)
		return health->in_flight <
		       slow_start_slots(table, health, slots, now);
	return true;
}

gh_time_t gh_executor_expected_wait(const gh_executor_table_t *table,
				    const char *name)
{
	const health_t *health = find(table, name);
	gh_time_t penalty;

	if (!health)
		return GH_TIME_NEVER;
	penalty = gh_time_from_ms(table->policy.request_max_ms) *
		  health->failure_rate / FAILURE_RATE_ONE;
	return (health->in_flight + 1) * health->mean_run_time + penalty;
}

void gh_executor_request_sent(gh_executor_table_t *table, const char *name,
			      bool is_long)
{
	health_t *health = find_or_add(table, name);

	health->in_flight++;
	if (is_long)
		health->in_flight_long++;
	if (health->state == GH_EXECUTOR_EJECTED)
		health->state = GH_EXECUTOR_PROBING;
}

gh_executor_change_t gh_executor_request_ended(gh_executor_table_t *table,
					       const char *name, bool is_long,
					       gh_send_result_t result,
					       gh_time_t run_time,
					       gh_time_t now)
{
	health_t *health = find_or_add(table, name);

	remove_in_flight(health, is_long);
	if (result == GH_SEND_SILENT) {
		if (health->state == GH_EXECUTOR_PROBING)
			health->state = GH_EXECUTOR_EJECTED;
		return GH_EXECUTOR_NO_CHANGE;
	}
	if (result != GH_SEND_COMPLETED)
		return record_failure(table, health, now);
	health->last_success = now;
	health->mean_run_time +=
		(run_time - health->mean_run_time) / RUN_TIME_WEIGHT;
	return record_success(table, health, now);
}

gh_executor_change_t gh_executor_response_failed(gh_executor_table_t *table,
						 const char *name, bool is_long,
						 gh_time_t now)
{
	health_t *health = find_or_add(table, name);

	remove_in_flight(health, is_long);
	return record_failure(table, health, now);
}

gh_time_t gh_executor_last_success(const gh_executor_table_t *table,
				   const char *name)
{
	const health_t *health = find(table, name);

	return health ? health->last_success : 0;
}

bool gh_executor_connection_silent(const gh_executor_table_t *table,
				   const char *name, gh_time_t since,
				   gh_time_t limit, gh_time_t now)
{
	return now - since >= limit &&
	       gh_executor_last_success(table, name) > since;
}

gh_executor_state_t gh_executor_state(const gh_executor_table_t *table,
				      const char *name)
{
	const health_t *health = find(table, name);

	return health ? health->state : GH_EXECUTOR_IN_USE;
}

unsigned gh_executor_in_flight(const gh_executor_table_t *table,
			       const char *name)
{
	const health_t *health = find(table, name);

	return health ? health->in_flight : 0;
}

size_t gh_executor_ejected_count(const gh_executor_table_t *table)
{
	GHashTableIter iter;
	gpointer value;
	size_t n = 0;

	g_hash_table_iter_init(&iter, table->by_name);
	while (g_hash_table_iter_next(&iter, NULL, &value)) {
		const health_t *health = value;

		if (health->in_document &&
		    (health->state == GH_EXECUTOR_EJECTED ||
		     health->state == GH_EXECUTOR_PROBING))
			n++;
	}
	return n;
}

static health_t *find(const gh_executor_table_t *table, const char *name)
{
	return g_hash_table_lookup(table->by_name, name);
}

static health_t *find_or_add(gh_executor_table_t *table, const char *name)
{
	health_t *health = find(table, name);

	if (health)
		return health;
	health = g_new0(health_t, 1);
	health->mean_run_time = INITIAL_RUN_TIME_USEC;
	g_hash_table_insert(table->by_name, g_strdup(name), health);
	return health;
}

static void remove_in_flight(health_t *health, bool is_long)
{
	if (health->in_flight)
		health->in_flight--;
	if (is_long && health->in_flight_long)
		health->in_flight_long--;
}

/*
 * Records a failed request; while probing or in slow start, a single one ejects
 * the executor again.
 */
static gh_executor_change_t record_failure(gh_executor_table_t *table,
					   health_t *health, gh_time_t now)
{
	bool on_trial = health->state == GH_EXECUTOR_PROBING ||
			health->state == GH_EXECUTOR_SLOW_START;

	health->failure_rate +=
		(FAILURE_RATE_ONE - health->failure_rate) / FAILURE_RATE_WEIGHT;
	health->samples++;
	if (health->state == GH_EXECUTOR_EJECTED)
		return GH_EXECUTOR_NO_CHANGE;
	if (health->state == GH_EXECUTOR_PROBING) {
		eject(table, health, now);
		return GH_EXECUTOR_NO_CHANGE;
	}
	if (!on_trial &&
	    (health->samples < MIN_SAMPLES ||
	     health->failure_rate * 100 <=
		     table->policy.eject_failure_percent * FAILURE_RATE_ONE))
		return GH_EXECUTOR_NO_CHANGE;
	if (!may_eject(table))
		return GH_EXECUTOR_NO_CHANGE;
	eject(table, health, now);
	return GH_EXECUTOR_WAS_EJECTED;
}

static gh_executor_change_t record_success(gh_executor_table_t *table,
					   health_t *health, gh_time_t now)
{
	health->failure_rate -= health->failure_rate / FAILURE_RATE_WEIGHT;
	health->samples++;
	if (health->state == GH_EXECUTOR_SLOW_START &&
	    now >= health->state_until)
		health->state = GH_EXECUTOR_IN_USE;
	if (health->state != GH_EXECUTOR_PROBING)
		return GH_EXECUTOR_NO_CHANGE;
	health->state = GH_EXECUTOR_SLOW_START;
	health->state_until = now + gh_time_from_ms(table->policy.eject_ms);
	health->samples = 0;
	health->failure_rate /= 2;
	return GH_EXECUTOR_WAS_READMITTED;
}

static void eject(const gh_executor_table_t *table, health_t *health,
		  gh_time_t now)
{
	health->state = GH_EXECUTOR_EJECTED;
	health->state_until = now + gh_time_from_ms(table->policy.eject_ms);
}

static bool may_eject(const gh_executor_table_t *table)
{
	size_t max_ejected =
		table->n_active * (size_t)table->policy.eject_max_percent / 100;

	return gh_executor_ejected_count(table) < max_ejected;
}

/*
 * Slots of an executor in slow start: rise from one at readmission to all at
 * the end of slow start.
 */
static unsigned slow_start_slots(const gh_executor_table_t *table,
				 const health_t *health, unsigned slots,
				 gh_time_t now)
{
	gh_time_t duration = gh_time_from_ms(table->policy.eject_ms);
	gh_time_t remaining = health->state_until - now;

	if (remaining <= 0 || duration <= 0)
		return slots;
	return 1 + (unsigned)(slots * (duration - remaining) / duration);
}
