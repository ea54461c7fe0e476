/*
 * Workers that an owner has not heard since its claim.  It tells the next owner
 * how long after that claim the leases of each can last, and grants it nothing
 * until a record that does not name it is committed.  So the next owner may
 * rely on that time and needs not wait anew.
 *
 * The list is REVISION:ID=MS/START,ID=MS,ID+MS.  The revision is that of the
 * claim, of which each host knows when it has heard; START is the start of the
 * worker's life that the owner knew, so that the next one notices a later life.
 *
 * ID+MS names a worker that the owner has heard, with runs on a life so young
 * that a call to a former one may have granted it the longest lease
 * (fleet_lease_note_life()): the next owner that does not hear it counts with
 * no earlier end than this.
 */
#include "core_fleet_parts.h"

#include <inttypes.h>
#include <string.h>

/* Workers named at most; the next owner waits for the others as for all. */
#define TOLD_MAX 64
/* Young workers named at most; the next owner waits so long for all others. */
#define YOUNG_MAX 256
/* Max time in a list; one with a longer time is not used. */
#define TOLD_MS_MAX 60000
#define DELIMITERS " =+,"

/* A worker that the chain record may name. */
typedef struct told {
	/* As the previous owner told it; GH_TIME_NEVER: it did not. */
	gh_time_t lease_end;
	int64_t start_ms; /* of the life it knew, as it told; 0: it did not */
	bool in_last_list;
	bool committed; /* the record names it, as far as is known */
} told_t;

static bool parse_list(const char *list, GHashTable *told, GHashTable *young,
		       gh_time_t from);
static void note_young(GHashTable *young, const char *id, gh_time_t lease_end);
static GHashTable *told_new(void);
static told_t *note_told(GHashTable *told, const char *id, gh_time_t lease_end);
static told_t *find_told(const gh_fleet_t *fleet, const fleet_worker_t *worker);
static bool is_to_be_told(const gh_fleet_t *fleet, const fleet_worker_t *worker,
			  gh_time_t now);
static bool is_young(const fleet_worker_t *worker, gh_time_t now);
static void append(const gh_fleet_t *fleet, GString *list,
		   const fleet_worker_t *worker, char mark, gh_time_t end);
static void tell_young(gh_fleet_t *fleet, GString *list, gh_time_t now);

char *gh_fleet_unheard_find(const char *chain, uint64_t *revision)
{
	const char *start = strstr(chain, GH_FLEET_UNHEARD);
	GHashTable *told, *young;
	char *list;

	if (!start)
		return NULL;
	start += strlen(GH_FLEET_UNHEARD);
	list = g_strndup(start, strcspn(start, " "));
	told = told_new();
	young = told_new();
	if (!parse_list(list, told, young, 0))
		g_clear_pointer(&list, g_free);
	g_hash_table_destroy(told);
	g_hash_table_destroy(young);
	if (list)
		*revision = g_ascii_strtoull(list, NULL, 10);
	return list;
}

char *gh_fleet_unheard_young(const char *list)
{
	const char *fields = strchr(list, ':') + 1;
	char **all = g_strsplit(fields, ",", -1);
	GString *young = g_string_new(NULL);
	size_t i;

	for (i = 0; all[i]; i++) {
		if (!strchr(all[i], '+'))
			continue;
		if (young->len)
			g_string_append_c(young, ',');
		else
			g_string_append_len(young, list, fields - list);
		g_string_append(young, all[i]);
	}
	g_strfreev(all);
	return g_string_free(young, !young->len);
}

void fleet_unheard_init(gh_fleet_t *fleet)
{
	fleet->told = told_new();
	fleet->young = told_new();
	if (fleet->setup.previous_unheard)
		parse_list(fleet->setup.previous_unheard, fleet->told,
			   fleet->young, fleet->setup.previous_unheard_from);
	/* The claim has told them again. */
	gh_fleet_unheard_committed(fleet);
	fleet->setup.previous_unheard = NULL;
}

gh_time_t fleet_unheard_young_end(const gh_fleet_t *fleet,
				  const fleet_worker_t *worker)
{
	const gh_time_t *end =
		g_hash_table_lookup(fleet->young, worker->entry.id);

	/* The claim in the list may be heard of late, and is not this one. */
	return end ? MIN(*end,
			 fleet_lease_longest_end(fleet, fleet->created_at)) :
		     0;
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
		append(fleet, list, worker, '=', worker->latest_lease_end);
		if (worker->entry.incarnation_start_ms)
			g_string_append_printf(
				list, "/%" PRId64,
				worker->entry.incarnation_start_ms);
	}
	tell_young(fleet, list, now);
	return g_string_free(list, !list->len);
}

/* Appends a worker, and until when its lease can last. */
static void append(const gh_fleet_t *fleet, GString *list,
		   const fleet_worker_t *worker, char mark, gh_time_t end)
{
	if (list->len)
		g_string_append_c(list, ',');
	else
		g_string_printf(list, "%" PRIu64 ":",
				fleet->setup.claim_revision);
	g_string_append_printf(list, "%s%c%" PRId64, worker->entry.id, mark,
			       gh_time_to_ms(end - fleet->setup.claimed_at) +
				       1);
}

static void tell_young(gh_fleet_t *fleet, GString *list, gh_time_t now)
{
	uint32_t n = 0;
	uint32_t i;

	for (i = 0; i < fleet->workers->len; i++) {
		fleet_worker_t *worker = fleet_worker(fleet, i);

		worker->young_in_list = is_young(worker, now);
		if (!worker->young_in_list)
			continue;
		if (n < YOUNG_MAX && *worker->entry.id &&
		    !strpbrk(worker->entry.id, DELIMITERS)) {
			append(fleet, list, worker, '+',
			       worker->young_lease_end);
			n++;
		} else {
			fleet_lease_tell_all(fleet, worker);
		}
	}
}

void gh_fleet_unheard_committed(gh_fleet_t *fleet)
{
	GHashTableIter iter;
	gpointer told;
	uint32_t i;

	for (i = 0; i < fleet->workers->len; i++) {
		fleet_worker_t *worker = fleet_worker(fleet, i);

		worker->young_committed = worker->young_in_list;
	}
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

		if (is_young(worker, now) && !worker->young_committed)
			return true;
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
static bool parse_list(const char *list, GHashTable *told, GHashTable *young,
		       gh_time_t from)
{
	char *end;
	char **fields;
	bool valid;
	size_t i;

	if (!g_ascii_strtoull(list, &end, 10) || *end != ':')
		return false;
	fields = g_strsplit(end + 1, ",", -1);
	valid = fields[0] && g_strv_length(fields) <= TOLD_MAX + YOUNG_MAX;
	for (i = 0; valid && fields[i]; i++) {
		char *ms = strpbrk(fields[i], "=+");
		int64_t start_ms = 0;
		bool young_life;
		int64_t left;

		valid = ms && ms != fields[i];
		if (!valid)
			break;
		young_life = *ms == '+';
		*ms++ = '\0';
		left = g_ascii_strtoll(ms, &end, 10);
		valid = end != ms && left > 0 && left <= TOLD_MS_MAX;
		if (valid && !young_life && *end == '/') {
			start_ms = g_ascii_strtoll(end + 1, &end, 10);
			valid = start_ms > 0;
		}
		valid = valid && !*end;
		if (valid && young_life)
			note_young(young, fields[i],
				   from + gh_time_from_ms(left));
		else if (valid)
			note_told(told, fields[i], from + gh_time_from_ms(left))
				->start_ms = start_ms;
	}
	g_strfreev(fields);
	return valid && g_hash_table_size(told) <= TOLD_MAX;
}

static void note_young(GHashTable *young, const char *id, gh_time_t lease_end)
{
	g_hash_table_replace(young, g_strdup(id),
			     g_memdup2(&lease_end, sizeof(lease_end)));
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

static bool is_young(const fleet_worker_t *worker, gh_time_t now)
{
	return worker->in_use && worker->n_runs &&
	       worker->young_lease_end > now;
}
