#include "core_claim.h"

#include <string.h>

typedef struct claim {
	gh_claim_key_t key;
	uint64_t attempt_id;
	gh_time_t deadline;
	char holder[GH_NAME_MAX + 1];
	GList *link; /* in the table's order */
} claim_t;

struct gh_claim_table {
	GHashTable *claims;   /* key to claim */
	GQueue order;	      /* claims, oldest first */
	gh_time_t known_from; /* every claim since then is remembered */
	gh_time_t window;
	size_t max;
};

static guint key_hash(gconstpointer key);
static gboolean key_equal(gconstpointer a, gconstpointer b);
static void sweep(gh_claim_table_t *table, gh_time_t now);
static void drop(gh_claim_table_t *table, claim_t *claim);
static void record(gh_claim_table_t *table, const gh_claim_request_t *ask,
		   gh_time_t now);
static void widen(gh_claim_table_t *table, gh_time_t window, gh_time_t now);
static bool may_take_requests(const gh_document_t *doc, const char *name);
static bool is_covered(const gh_document_t *doc, gh_handle_t host,
		       const gh_claim_status_t *status);
static bool same_domain(const gh_document_t *doc, gh_handle_t a, gh_handle_t b);
static bool is_majority(const gh_document_t *doc, size_t hosts);
static void spread(const gh_document_t *doc, gh_handle_t self,
		   gh_claim_status_t own, const gh_claim_reply_t *answers,
		   size_t n, gh_claim_status_t *status);

gh_claim_table_t *gh_claim_new(gh_time_t started)
{
	gh_claim_table_t *table = g_new0(gh_claim_table_t, 1);

	table->claims =
		g_hash_table_new_full(key_hash, key_equal, NULL, g_free);
	g_queue_init(&table->order);
	table->known_from = started;
	return table;
}

void gh_claim_free(gh_claim_table_t *table)
{
	if (!table)
		return;
	g_queue_clear(&table->order);
	g_hash_table_unref(table->claims);
	g_free(table);
}

void gh_claim_set_policy(gh_claim_table_t *table, size_t max, int64_t window_ms,
			 gh_time_t now)
{
	gh_time_t window = gh_time_from_ms(window_ms);

	table->max = max;
	if (window > table->window)
		widen(table, window, now);
	table->window = window;
}

gh_claim_status_t gh_claim_take(gh_claim_table_t *table,
				const gh_claim_request_t *ask, gh_time_t now,
				const char **holder)
{
	gh_time_t window = gh_time_from_ms(ask->window_ms);
	claim_t *claim;

	sweep(table, now);
	if (window > table->window)
		widen(table, window, now);
	claim = g_hash_table_lookup(table->claims, &ask->key);
	if (claim && claim->attempt_id != ask->attempt_id) {
		if (holder)
			*holder = claim->holder;
		return GH_CLAIM_HELD;
	}
	if (!claim && g_hash_table_size(table->claims) >= table->max)
		return GH_CLAIM_FULL;
	if (!claim)
		record(table, ask, now);
	if (now < table->known_from + window)
		return GH_CLAIM_FORGOTTEN;
	return GH_CLAIM_GRANTED;
}

gh_claim_status_t gh_claim_take_for_peer(gh_claim_table_t *table,
					 const gh_document_t *doc,
					 const gh_claim_request_t *ask,
					 gh_time_t now, const char **holder)
{
	if (!doc || doc->generation > ask->generation)
		return GH_CLAIM_STALE;
	if (doc->generation == ask->generation &&
	    !may_take_requests(doc, ask->holder))
		return GH_CLAIM_STALE;
	return gh_claim_take(table, ask, now, holder);
}

void gh_claim_release(gh_claim_table_t *table, const gh_claim_key_t *key,
		      uint64_t attempt_id)
{
	claim_t *claim = g_hash_table_lookup(table->claims, key);

	if (claim && claim->attempt_id == attempt_id)
		drop(table, claim);
}

size_t gh_claim_count(gh_claim_table_t *table, gh_time_t now)
{
	sweep(table, now);
	return g_hash_table_size(table->claims);
}

size_t gh_claim_second_hosts(const gh_document_t *doc, gh_handle_t self,
			     gh_handle_t *hosts)
{
	gh_handle_t domain = doc->entries[self].domain;
	size_t n = 0;
	size_t i;

	for (i = 1; i < doc->n_entries; i++) {
		size_t at = (self + i) % doc->n_entries;

		if (doc->entries[at].domain == domain &&
		    doc->entries[at].state != GH_HOST_GONE)
			hosts[n++] = (gh_handle_t)at;
	}
	return n;
}

size_t gh_claim_other_hosts(const gh_document_t *doc, gh_handle_t self,
			    gh_handle_t *hosts)
{
	size_t n = 0;
	size_t i;

	for (i = 0; i < doc->n_entries; i++)
		if (i != self && doc->entries[i].state != GH_HOST_GONE)
			hosts[n++] = (gh_handle_t)i;
	return n;
}

bool gh_claim_first_may_run(const gh_document_t *doc, gh_handle_t self,
			    gh_claim_status_t own,
			    const gh_claim_reply_t *answers, size_t n,
			    gh_error_kind_t *refusal)
{
	static const gh_error_kind_t refusals[GH_CLAIM_STATUS_COUNT] = {
		[GH_CLAIM_HELD] = GH_E_DUPLICATE,
		[GH_CLAIM_FULL] = GH_E_CLAIM_FULL,
		[GH_CLAIM_STALE] = GH_E_STARTING,
	};
	gh_handle_t *hosts;
	size_t known = own == GH_CLAIM_GRANTED ? 1 : 0;
	bool granted;
	size_t i;

	if (own != GH_CLAIM_GRANTED && own != GH_CLAIM_FORGOTTEN) {
		*refusal = refusals[own];
		return false;
	}
	hosts = g_new(gh_handle_t, doc->n_entries);
	granted = gh_claim_second_hosts(doc, self, hosts) == 0;
	g_free(hosts);
	for (i = 0; i < n; i++) {
		if (!answers[i].replied)
			continue;
		if (answers[i].status == GH_CLAIM_HELD) {
			*refusal = GH_E_DUPLICATE;
			return false;
		}
		if (answers[i].status != GH_CLAIM_GRANTED)
			continue;
		known++;
		if (same_domain(doc, self, answers[i].entry))
			granted = true;
	}
	*refusal = GH_E_CLAIM_NO_PEER;
	return granted || is_majority(doc, known);
}

bool gh_claim_repeat_may_run(const gh_document_t *doc, gh_handle_t self,
			     gh_claim_status_t own,
			     const gh_claim_reply_t *answers, size_t n,
			     gh_error_kind_t *refusal)
{
	gh_claim_status_t *status = g_new(gh_claim_status_t, doc->n_entries);
	bool held = own == GH_CLAIM_HELD;
	bool covered = own != GH_CLAIM_FULL;
	size_t granted = 0;
	size_t i;

	spread(doc, self, own, answers, n, status);
	for (i = 0; i < n; i++)
		if (answers[i].replied && answers[i].status == GH_CLAIM_STALE)
			covered = false;
	for (i = 0; i < doc->n_entries; i++) {
		if (status[i] == GH_CLAIM_HELD)
			held = true;
		if (status[i] == GH_CLAIM_GRANTED)
			granted++;
		if (!is_covered(doc, (gh_handle_t)i, status))
			covered = false;
	}
	g_free(status);
	if (!is_majority(doc, granted))
		covered = false;
	*refusal = GH_E_CLAIM_UNKNOWN;
	if (held)
		*refusal = GH_E_DUPLICATE;
	else if (own == GH_CLAIM_FULL)
		*refusal = GH_E_CLAIM_FULL;
	return covered && !held;
}

static guint key_hash(gconstpointer key)
{
	guint hash;

	memcpy(&hash, key, sizeof(hash));
	return hash;
}

static gboolean key_equal(gconstpointer a, gconstpointer b)
{
	return !memcmp(a, b, GH_CLAIM_KEY_LEN);
}

static void sweep(gh_claim_table_t *table, gh_time_t now)
{
	claim_t *oldest;

	while ((oldest = g_queue_peek_head(&table->order)) &&
	       oldest->deadline <= now)
		drop(table, oldest);
}

static void drop(gh_claim_table_t *table, claim_t *claim)
{
	g_queue_delete_link(&table->order, claim->link);
	g_hash_table_remove(table->claims, &claim->key);
}

static void record(gh_claim_table_t *table, const gh_claim_request_t *ask,
		   gh_time_t now)
{
	claim_t *claim = g_new0(claim_t, 1);

	claim->key = ask->key;
	claim->attempt_id = ask->attempt_id;
	claim->deadline = now + table->window;
	g_strlcpy(claim->holder, ask->holder, sizeof(claim->holder));
	g_queue_push_tail(&table->order, claim);
	claim->link = g_queue_peek_tail_link(&table->order);
	g_hash_table_insert(table->claims, &claim->key, claim);
}

/*
 * Claims older than the window so far may have lapsed, so a longer window is
 * known only from then on.
 */
static void widen(gh_claim_table_t *table, gh_time_t window, gh_time_t now)
{
	gh_time_t kept_from = now - table->window;

	if (table->window && table->known_from < kept_from)
		table->known_from = kept_from;
	table->window = window;
}

static bool may_take_requests(const gh_document_t *doc, const char *name)
{
	gh_handle_t entry = gh_document_entry(doc, name);

	return entry != GH_HANDLE_NONE &&
	       doc->entries[entry].state != GH_HOST_GONE;
}

/*
 * A first sending at a host left its claim there and on one more host of its
 * domain.  So the host's own word is enough, and so is the word of all the
 * others of its domain.  A gone host can't be asked and may have held the
 * second record, until a document no longer names it.
 */
static bool is_covered(const gh_document_t *doc, gh_handle_t host,
		       const gh_claim_status_t *status)
{
	const gh_entry_t *entry = &doc->entries[host];
	size_t others = 0;
	size_t i;

	if (entry->state != GH_HOST_GONE && status[host] == GH_CLAIM_GRANTED)
		return true;
	for (i = 0; i < doc->n_entries; i++) {
		if (i == host || doc->entries[i].domain != entry->domain)
			continue;
		if (status[i] != GH_CLAIM_GRANTED)
			return false;
		others++;
	}
	return others > 0;
}

static bool same_domain(const gh_document_t *doc, gh_handle_t a, gh_handle_t b)
{
	return doc->entries[a].domain == doc->entries[b].domain;
}

/* Of the hosts that can be asked; any two majorities share a host. */
static bool is_majority(const gh_document_t *doc, size_t hosts)
{
	size_t n = 0;
	size_t i;

	for (i = 0; i < doc->n_entries; i++)
		if (doc->entries[i].state != GH_HOST_GONE)
			n++;
	return 2 * hosts > n;
}

/* Status by entry; GH_CLAIM_STATUS_COUNT where no answer came. */
static void spread(const gh_document_t *doc, gh_handle_t self,
		   gh_claim_status_t own, const gh_claim_reply_t *answers,
		   size_t n, gh_claim_status_t *status)
{
	size_t i;

	for (i = 0; i < doc->n_entries; i++)
		status[i] = GH_CLAIM_STATUS_COUNT;
	for (i = 0; i < n; i++)
		if (answers[i].replied)
			status[answers[i].entry] = answers[i].status;
	status[self] = own;
}
