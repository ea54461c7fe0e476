/*
 * Workers that an owner has not heard since its claim.  It tells the next owner
 * how long after that claim the leases of each can last, and grants it nothing
 * until a record that does not name it is committed.  So the next owner may
 * rely on that time and needs not wait anew.
 *
 * The list is REVISION:ID=MS/START,ID=MS.  The revision is that of the claim,
 * of which each host knows when it has heard; START is the start of the
 * worker's life that the owner knew, so that the next one notices a later life.
 */
#include "core_fleet_state.h"

#include <inttypes.h>
#include <string.h>

/* Workers named at most; the next owner waits for the others as for all. */
#define TOLD_MAX 64
/* Max time in a list; one with a longer time is not used. */
#define TOLD_MS_MAX 60000
#define DELIMITERS " =,"

/* A worker that the chain record may name. */
typedef struct told {
	/* As the previous owner told it; GH_TIME_NEVER: it did not. */
	gh_time_t lease_end;
	int64_t start_ms; /* of the life it knew, as it told; 0: it did not */
	bool in_last_list;
	bool committed; /* the record names it, as far as is known */
} told_t;

static bool parse_list(const char *list, GHashTable *told, gh_time_t from);
static GHashTable *told_new(void);
static told_t *note_told(GHashTable *told, const char *id, gh_time_t lease_end);
static told_t *find_told(const gh_fleet_t *fleet, const fleet_worker_t *worker);
static bool is_to_be_told(const gh_fleet_t *fleet, const fleet_worker_t *worker,
			  gh_time_t now);

char *gh_fleet_unheard_find(const char *chain, uint64_t *revision)
{
	const char *start = strstr(chain, GH_FLEET_UNHEARD);
	GHashTable *told;
	char *list;

	if (!start)
		return NULL;
	start += strlen(GH_FLEET_UNHEARD);
	list = g_strndup(start, strcspn(start, " "));
	told = told_new();
	if (!parse_list(list, told, 0))
		g_clear_pointer(&list, g_free);
	g_hash_table_destroy(told);
	if (list)
		*revision = g_ascii_strtoull(list, NULL, 10);
	return list;
}

void fleet_unheard_init(gh_fleet_t *fleet)
{
	fleet->told = told_new();
	if (fleet->setup.previous_unheard)
		parse_list(fleet->setup.previous_unheard, fleet->told,
			   fleet->setup.previous_unheard_from);
	/* The claim has told them again. */
	gh_fleet_unheard_committed(fleet);
	fleet->setup.previous_unheard = NULL;
}

gh_time_t fleet_unheard_lease_end(const gh_fleet_t *fleet,
				  const fleet_worker_t *worker, gh_time_t bound)
{
	const told_t *told = find_told(fleet, worker);

	return told ? MIN(told->lease_end, bound) : bound;
}

int64_t fleet_unheard_start_ms(const gh_fleet_t *fleet,
			       const fleet_worker_t *worker)
{
	const told_t *told = find_told(fleet, worker);

	return told ? told->start_ms : 0;
}

bool fleet_unheard_may_grant(const gh_fleet_t *fleet,
			     const fleet_worker_t *worker)
{
	return !find_told(fleet, worker);
}

char *gh_fleet_unheard_tell(gh_fleet_t *fleet, gh_time_t now)
{
	GString *list = g_string_new(NULL);
	GHashTableIter iter;
	gpointer told;
	uint32_t i;

	g_hash_table_iter_init(&iter, fleet->told);
	while (g_hash_table_iter_next(&iter, NULL, &told))
		((told_t *)told)->in_last_list = false;
	for (i = 0; i < fleet->workers->len; i++) {
		const fleet_worker_t *worker = fleet_worker(fleet, i);

		if (!is_to_be_told(fleet, worker, now))
			continue;
		note_told(fleet->told, worker->entry.id, GH_TIME_NEVER);
		if (list->len)
			g_string_append_c(list, ',');
		else
			g_string_printf(list, "%" PRIu64 ":",
					fleet->setup.claim_revision);
		g_string_append_printf(list, "%s=%" PRId64, worker->entry.id,
				       gh_time_to_ms(worker->latest_lease_end -
						     fleet->setup.claimed_at) +
					       1);
		if (worker->entry.incarnation_start_ms)
			g_string_append_printf(
				list, "/%" PRId64,
				worker->entry.incarnation_start_ms);
	}
	return g_string_free(list, !list->len);
}

void gh_fleet_unheard_committed(gh_fleet_t *fleet)
{
	GHashTableIter iter;
	gpointer told;

	g_hash_table_iter_init(&iter, fleet->told);
	while (g_hash_table_iter_next(&iter, NULL, &told)) {
		((told_t *)told)->committed = true;
		if (!((told_t *)told)->in_last_list)
			g_hash_table_iter_remove(&iter);
	}
}

bool gh_fleet_unheard_is_due(const gh_fleet_t *fleet, gh_time_t now)
{
	guint n = 0;
	uint32_t i;

	for (i = 0; i < fleet->workers->len; i++) {
		const fleet_worker_t *worker = fleet_worker(fleet, i);
		const told_t *told;

		if (!is_to_be_told(fleet, worker, now))
			continue;
		told = find_told(fleet, worker);
		if (!told || !told->committed)
			return true;
		n++;
	}
	return n < g_hash_table_size(fleet->told);
}

/*
 * Adds the workers in a list, whose times count from a time on.  Returns false
 * if the list is malformed.
 */
static bool parse_list(const char *list, GHashTable *told, gh_time_t from)
{
	char *end;
	char **fields;
	bool valid;
	size_t i;

	if (!g_ascii_strtoull(list, &end, 10) || *end != ':')
		return false;
	fields = g_strsplit(end + 1, ",", -1);
	valid = fields[0] && g_strv_length(fields) <= TOLD_MAX;
	for (i = 0; valid && fields[i]; i++) {
		char *ms = strchr(fields[i], '=');
		int64_t start_ms = 0;
		int64_t left;

		valid = ms && ms != fields[i];
		if (!valid)
			break;
		*ms++ = '\0';
		left = g_ascii_strtoll(ms, &end, 10);
		valid = end != ms && left > 0 && left <= TOLD_MS_MAX;
		if (valid && *end == '/') {
			start_ms = g_ascii_strtoll(end + 1, &end, 10);
			valid = start_ms > 0;
		}
		valid = valid && !*end;
		if (valid)
			note_told(told, fields[i], from + gh_time_from_ms(left))
				->start_ms = start_ms;
	}
	g_strfreev(fields);
	return valid;
}

static GHashTable *told_new(void)
{
	return g_hash_table_new_full(g_str_hash, g_str_equal, g_free, g_free);
}

static told_t *note_told(GHashTable *told, const char *id, gh_time_t lease_end)
{
	told_t *entry = g_hash_table_lookup(told, id);

	if (!entry) {
		entry = g_new0(told_t, 1);
		entry->lease_end = lease_end;
		g_hash_table_insert(told, g_strdup(id), entry);
	}
	entry->in_last_list = true;
	return entry;
}

static told_t *find_told(const gh_fleet_t *fleet, const fleet_worker_t *worker)
{
	return g_hash_table_size(fleet->told) ?
		       g_hash_table_lookup(fleet->told, worker->entry.id) :
		       NULL;
}

/*
 * A worker that has not been called yet is not told, so that a take-over at
 * which all workers reply costs no commit; nor is one that is known to have
 * restarted, as calls to its former life may grant more.
 */
static bool is_to_be_told(const gh_fleet_t *fleet, const fleet_worker_t *worker,
			  gh_time_t now)
{
	if (!worker->in_use || worker->has_reported || !worker->n_runs ||
	    worker->restart_known_at || worker->latest_lease_end <= now)
		return false;
	if (find_told(fleet, worker))
		return true;
	return (worker->unreachable_since || !*worker->entry.address) &&
	       g_hash_table_size(fleet->told) < TOLD_MAX && *worker->entry.id &&
	       !strpbrk(worker->entry.id, DELIMITERS);
}
