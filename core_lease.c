#include "core_lease.h"

#include <inttypes.h>
#include <stdio.h>
#include <string.h>

#define RENEW_DIVISOR 4 /* a lease is renewed after 1/4 of its duration */
/*
 * Each candidate for a shard waits this much longer than the one ranked before
 * it.
 */
#define HEAD_START_MS 400
#define FNV_BASIS 0xcbf29ce484222325ULL
#define FNV_PRIME 0x100000001b3ULL

static bool parse_line(gh_lease_table_t *table, const char *line);
static bool is_superseded(const gh_lease_view_t *view, const gh_lease_t *record,
			  const gh_lease_rule_t *rule);
static bool same_record(const gh_lease_t *a, const gh_lease_t *b);
static bool may_take(const gh_lease_view_t *view, const gh_lease_rule_t *rule,
		     uint32_t rank, const gh_now_t *now);
static uint64_t hash_text(uint64_t hash, const char *text);
static uint64_t hash_mix(uint64_t hash);

bool gh_lease_parse(gh_lease_table_t *table, const char *text, GError **err)
{
	char **lines = g_strsplit(text, "\n", -1);
	bool ok = true;
	size_t i;

	memset(table, 0, sizeof(*table));
	for (i = 0; ok && lines[i]; i++)
		if (lines[i][0])
			ok = parse_line(table, lines[i]);
	if (!ok)
		gh_error_set(err, GH_E_SYNTAX,
			     "cannot parse line %zu of the owner records", i);
	g_strfreev(lines);
	return ok;
}

char *gh_lease_format(const gh_lease_table_t *table)
{
	GString *text = g_string_new(NULL);
	size_t i;

	g_string_append_printf(
		text,
		"# writer=%s incarnation=%" PRIu64 " sequence=%" PRIu64 "\n",
		table->writer, table->incarnation, table->sequence);
	for (i = 0; i < table->n; i++)
		g_string_append_printf(
			text, "%zu %s %" PRIu64 " %" PRId64 "\n", i,
			table->shards[i].owner[0] ? table->shards[i].owner :
						    "-",
			table->shards[i].epoch, table->shards[i].deadline_ms);
	return g_string_free(text, FALSE);
}

gh_lease_step_t gh_lease_see(gh_lease_view_t *view, const gh_lease_t *record,
			     const gh_lease_rule_t *rule, const gh_now_t *now)
{
	bool changed = !view->known || !same_record(&view->seen, record);
	bool superseded = view->owned && is_superseded(view, record, rule);

	/*
	 * A record with a lower epoch comes from an older copy of the store and
	 * does not end this host's lease.
	 */
	if (view->owned && !superseded)
		return GH_LEASE_WAIT;
	if (changed) {
		view->seen = *record;
		view->unchanged_since = now->boot;
		view->known = true;
	}
	if (!superseded)
		return GH_LEASE_WAIT;
	view->owned = false;
	return GH_LEASE_LOST;
}

gh_lease_step_t gh_lease_decide(const gh_lease_view_t *view,
				const gh_lease_rule_t *rule, uint32_t rank,
				const gh_now_t *now)
{
	gh_time_t lease = gh_time_from_ms(rule->lease_ms);

	if (!view->known)
		return GH_LEASE_WAIT;
	if (view->owned) {
		if (now->boot >=
		    view->owned_until - lease + lease / RENEW_DIVISOR)
			return GH_LEASE_RENEW;
		return GH_LEASE_WAIT;
	}
	if (rule->leaving || !may_take(view, rule, rank, now))
		return GH_LEASE_WAIT;
	return GH_LEASE_TAKE;
}

gh_lease_t gh_lease_next(const gh_lease_view_t *view, gh_lease_step_t step,
			 const gh_lease_rule_t *rule, const gh_now_t *now)
{
	gh_lease_t record = view->seen;

	record.deadline_ms = now->wall_ms + rule->lease_ms;
	if (step == GH_LEASE_TAKE) {
		g_strlcpy(record.owner, rule->self, sizeof(record.owner));
		record.epoch = MAX(record.epoch + 1, (uint64_t)now->wall_ms);
	} else if (rule->leaving) {
		record.deadline_ms = GH_LEASE_RELEASED;
	}
	return record;
}

void gh_lease_won(gh_lease_view_t *view, const gh_lease_t *record,
		  const gh_lease_rule_t *rule, const gh_now_t *sent)
{
	view->seen = *record;
	view->unchanged_since = sent->boot;
	view->known = true;
	view->owned = record->deadline_ms != GH_LEASE_RELEASED;
	view->owned_until = sent->boot + gh_time_from_ms(rule->lease_ms);
}

bool gh_lease_valid(const gh_lease_view_t *view, gh_time_t now)
{
	return view->owned && now < view->owned_until;
}

uint32_t gh_lease_rank(const char *domain, uint32_t shard, const char *self,
		       const char *const *names, size_t n)
{
	uint64_t shard_hash = hash_text(FNV_BASIS, domain) * FNV_PRIME ^ shard;
	uint64_t own_hash = hash_mix(hash_text(shard_hash, self));
	uint32_t rank = 0;
	size_t i;

	for (i = 0; i < n; i++)
		if (strcmp(names[i], self) != 0 &&
		    hash_mix(hash_text(shard_hash, names[i])) > own_hash)
			rank++;
	return rank;
}

static bool parse_line(gh_lease_table_t *table, const char *line)
{
	gh_lease_t lease = { .epoch = 0 };
	size_t index;

	if (line[0] == '#')
		return sscanf(line,
			      "# writer=%47s incarnation=%" SCNu64
			      " sequence=%" SCNu64,
			      table->writer, &table->incarnation,
			      &table->sequence) == 3;
	if (sscanf(line, "%zu %47s %" SCNu64 " %" SCNd64, &index, lease.owner,
		   &lease.epoch, &lease.deadline_ms) != 4 ||
	    index >= GH_SHARDS_MAX)
		return false;
	if (!strcmp(lease.owner, "-"))
		lease.owner[0] = '\0';
	table->shards[index] = lease;
	table->n = MAX(table->n, index + 1);
	return true;
}

/*
 * Whether the record ends this host's lease of the shard: it has a higher
 * epoch, or the same epoch and another owner.
 */
static bool is_superseded(const gh_lease_view_t *view, const gh_lease_t *record,
			  const gh_lease_rule_t *rule)
{
	if (record->epoch != view->seen.epoch)
		return record->epoch > view->seen.epoch;
	return strcmp(record->owner, rule->self) != 0;
}

static bool same_record(const gh_lease_t *a, const gh_lease_t *b)
{
	return a->epoch == b->epoch && a->deadline_ms == b->deadline_ms &&
	       !strcmp(a->owner, b->owner);
}

/*
 * Whether this host may take the shard, by the boot clock, the wall clock and
 * its rank among the candidates.
 */
static bool may_take(const gh_lease_view_t *view, const gh_lease_rule_t *rule,
		     uint32_t rank, const gh_now_t *now)
{
	int64_t wait_ms = rule->lease_ms + rule->clock_bound_ms;
	int64_t head_start_ms = (int64_t)rank * HEAD_START_MS;
	gh_time_t unchanged_for = now->boot - view->unchanged_since;

	if (!view->seen.owner[0] || view->seen.deadline_ms == GH_LEASE_RELEASED)
		return unchanged_for >= gh_time_from_ms(head_start_ms);
	return unchanged_for >= gh_time_from_ms(wait_ms + head_start_ms) &&
	       now->wall_ms > view->seen.deadline_ms + rule->clock_bound_ms;
}

/* FNV-1a hash of the text, continued from hash. */
static uint64_t hash_text(uint64_t hash, const char *text)
{
	for (; *text; text++)
		hash = (hash ^ (unsigned char)*text) * FNV_PRIME;
	return hash;
}

/*
 * Finalizer of MurmurHash3: spreads the last bytes of a short name over the
 * whole hash.
 */
static uint64_t hash_mix(uint64_t hash)
{
	hash ^= hash >> 33;
	hash *= 0xff51afd7ed558ccdULL;
	hash ^= hash >> 33;
	hash *= 0xc4ceb9fe1a85ec53ULL;
	return hash ^ hash >> 33;
}
