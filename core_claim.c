#include "core_claim.h"

#include <string.h>

typedef struct claim {
	gh_claim_key_t key;
	uint64_t attempt_id;
	gh_time_t deadline;
	char holder[GH_NAME_MAX + 1];
	GList *link; /* the claim's link in gh_claim_table.order */
} claim_t;

struct gh_claim_table {
	GHashTable *claims; /* request key to claim */
	GQueue order;	    /* claims, oldest first */
	/* no claim made after this time is missing from the table */
	gh_time_t complete_since;
	gh_time_t window; /* time for which claims are kept */
	size_t max;
};

static guint key_hash(gconstpointer key);
static gboolean key_equal(gconstpointer a, gconstpointer b);
static void remove_expired(gh_claim_table_t *table, gh_time_t now);
static void remove_claim(gh_claim_table_t *table, claim_t *claim);
static void add_claim(gh_claim_table_t *table,
		      const gh_claim_request_t *request, gh_time_t now);
static void extend_window(gh_claim_table_t *table, gh_time_t window,
			  gh_time_t now);
static bool may_accept_requests(const gh_document_t *doc, const char *name);
static bool rules_out_first(const gh_document_t *doc, gh_handle_t host,
			    const gh_claim_status_t *status);
static bool same_domain(const gh_document_t *doc, gh_handle_t a, gh_handle_t b);
static bool is_majority(const gh_document_t *doc, size_t hosts);
static void collect_status(const gh_document_t *doc, gh_handle_t self,
			   gh_claim_status_t own_status,
			   const gh_claim_reply_t *replies, size_t n,
			   gh_claim_status_t *status);

gh_claim_table_t *gh_claim_new(gh_time_t started)
{
	gh_claim_table_t *table = g_new0(gh_claim_table_t, 1);

	table->claims =
		g_hash_table_new_full(key_hash, key_equal, NULL, g_free);
	g_queue_init(&table->order);
	table->complete_since = started;
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
		extend_window(table, window, now);
	table->window = window;
}

gh_claim_status_t gh_claim_take(gh_claim_table_t *table,
				const gh_claim_request_t *request,
				gh_time_t now, const char **holder)
{
	gh_time_t window = gh_time_from_ms(request->window_ms);
	claim_t *claim;

	remove_expired(table, now);
	if (window > table->window)
		extend_window(table, window, now);
	claim = g_hash_table_lookup(table->claims, &request->key);
	if (claim && claim->attempt_id != request->attempt_id) {
		if (holder)
			*holder = claim->holder;
		return GH_CLAIM_HELD;
	}
	if (!claim && g_hash_table_size(table->claims) >= table->max)
		return GH_CLAIM_FULL;
	if (!claim)
		add_claim(table, request, now);
	if (now < table->complete_since + window)
		return GH_CLAIM_FORGOTTEN;
	return GH_CLAIM_GRANTED;
}

gh_claim_status_t gh_claim_take_for_peer(gh_claim_table_t *table,
					 const gh_document_t *doc,
					 const gh_claim_request_t *request,
					 gh_time_t now, const char **holder)
{
	if (!doc || doc->generation > request->generation)
		return GH_CLAIM_STALE;
	if (doc->generation == request->generation &&
	    !may_accept_requests(doc, request->holder))
		return GH_CLAIM_STALE;
	return gh_claim_take(table, request, now, holder);
}

void gh_claim_release(gh_claim_table_t *table, const gh_claim_key_t *key,
		      uint64_t attempt_id)
{
	claim_t *claim = g_hash_table_lookup(table->claims, key);

	if (claim && claim->attempt_id == attempt_id)
		remove_claim(table, claim);
}

size_t gh_claim_count(gh_claim_table_t *table, gh_time_t now)
{
	remove_expired(table, now);
	return g_hash_table_size(table->claims);
}

size_t gh_claim_second_hosts(const gh_document_t *doc, gh_handle_t self,
			     gh_handle_t *hosts)
{
	gh_handle_t domain = doc->entries[self].domain;
	size_t n = 0;
	size_t i;

	for (i = 1; i < doc->n_entries; i++) {
		size_t index = (self + i) % doc->n_entries;

		if (doc->entries[index].domain == domain &&
		    doc->entries[index].state != GH_HOST_GONE)
			hosts[n++] = (gh_handle_t)index;
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
			    gh_claim_status_t own_status,
			    const gh_claim_reply_t *replies, size_t n,
			    gh_error_kind_t *refusal)
{
	static const gh_error_kind_t refusals[GH_CLAIM_STATUS_COUNT] = {
		[GH_CLAIM_HELD] = GH_E_DUPLICATE,
		[GH_CLAIM_FULL] = GH_E_CLAIM_FULL,
		[GH_CLAIM_STALE] = GH_E_STARTING,
	};
	gh_handle_t *hosts;
	size_t known = own_status == GH_CLAIM_GRANTED ? 1 : 0;
	bool granted;
	size_t i;

	if (own_status != GH_CLAIM_GRANTED &&
	    own_status != GH_CLAIM_FORGOTTEN) {
		*refusal = refusals[own_status];
		return false;
	}
	hosts = g_new(gh_handle_t, doc->n_entries);
	granted = gh_claim_second_hosts(doc, self, hosts) == 0;
	g_free(hosts);
	for (i = 0; i < n; i++) {
		if (!replies[i].replied)
			continue;
		if (replies[i].status == GH_CLAIM_HELD) {
			*refusal = GH_E_DUPLICATE;
			return false;
		}
		if (replies[i].status != GH_CLAIM_GRANTED)
			continue;
		known++;
		if (same_domain(doc, self, replies[i].entry))
			granted = true;
	}
	*refusal = GH_E_CLAIM_NO_PEER;
	return granted || is_majority(doc, known);
}

bool gh_claim_repeat_may_run(const gh_document_t *doc, gh_handle_t self,
			     gh_claim_status_t own_status,
			     const gh_claim_reply_t *replies, size_t n,
			     gh_error_kind_t *refusal)
{
	gh_claim_status_t *status = g_new(gh_claim_status_t, doc->n_entries);
	bool held = own_status == GH_CLAIM_HELD;
	bool sufficient = own_status != GH_CLAIM_FULL;
	size_t granted = 0;
	size_t i;

	collect_status(doc, self, own_status, replies, n, status);
	for (i = 0; i < n; i++)
		if (replies[i].replied && replies[i].status == GH_CLAIM_STALE)
			sufficient = false;
	for (i = 0; i < doc->n_entries; i++) {
		if (status[i] == GH_CLAIM_HELD)
			held = true;
		if (status[i] == GH_CLAIM_GRANTED)
			granted++;
		if (!rules_out_first(doc, (gh_handle_t)i, status))
			sufficient = false;
	}
	g_free(status);
	if (!is_majority(doc, granted))
		sufficient = false;
	*refusal = GH_E_CLAIM_UNKNOWN;
	if (held)
		*refusal = GH_E_DUPLICATE;
	else if (own_status == GH_CLAIM_FULL)
		*refusal = GH_E_CLAIM_FULL;
	return sufficient && !held;
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

static void remove_expired(gh_claim_table_t *table, gh_time_t now)
{
	claim_t *oldest;

	while ((oldest = g_queue_peek_head(&table->order)) &&
	       oldest->deadline <= now)
		remove_claim(table, oldest);
}

static void remove_claim(gh_claim_table_t *table, claim_t *claim)
{
	g_queue_delete_link(&table->order, claim->link);
	g_hash_table_remove(table->claims, &claim->key);
}

static void add_claim(gh_claim_table_t *table,
		      const gh_claim_request_t *request, gh_time_t now)
{
	claim_t *claim = g_new0(claim_t, 1);

	claim->key = request->key;
	claim->attempt_id = request->attempt_id;
	claim->deadline = now + table->window;
	g_strlcpy(claim->holder, request->holder, sizeof(claim->holder));
	g_queue_push_tail(&table->order, claim);
	claim->link = g_queue_peek_tail_link(&table->order);
	g_hash_table_insert(table->claims, &claim->key, claim);
}

/*
 * After a change to a longer window, claims that are older than the previous
 * window may already have expired and been removed, so the table is complete
 * only since the start of the previous window.
 */
static void extend_window(gh_claim_table_t *table, gh_time_t window,
			  gh_time_t now)
{
	gh_time_t complete_since = now - table->window;

	if (table->window && table->complete_since < complete_since)
		table->complete_since = complete_since;
	table->window = window;
}

static bool may_accept_requests(const gh_document_t *doc, const char *name)
{
	gh_handle_t entry = gh_document_entry(doc, name);

	return entry != GH_HANDLE_NONE &&
	       doc->entries[entry].state != GH_HOST_GONE;
}

/*
 * Whether the first submission of a request can't have run at the host.  A
 * first submission that runs at a host leaves a claim on that host and on one
 * more host of its domain.  So it is enough that the host itself or all other
 * hosts of its domain grant the repeat's claim.  A host that the document names
 * gone can't be asked and may have kept the second record, so its missing grant
 * counts until a document no longer names it.
 */
static bool rules_out_first(const gh_document_t *doc, gh_handle_t host,
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

/*
 * Whether this number of hosts is a majority of the entry hosts that the
 * document does not name gone.  Any two majorities share a host.
 */
static bool is_majority(const gh_document_t *doc, size_t hosts)
{
	size_t n = 0;
	size_t i;

	for (i = 0; i < doc->n_entries; i++)
		if (doc->entries[i].state != GH_HOST_GONE)
			n++;
	return 2 * hosts > n;
}

/*
 * Sets each entry host's reply to the claim request; GH_CLAIM_STATUS_COUNT
 * stands for a host that sent no reply.
 */
static void collect_status(const gh_document_t *doc, gh_handle_t self,
			   gh_claim_status_t own_status,
			   const gh_claim_reply_t *replies, size_t n,
			   gh_claim_status_t *status)
{
	size_t i;

	for (i = 0; i < doc->n_entries; i++)
		status[i] = GH_CLAIM_STATUS_COUNT;
	for (i = 0; i < n; i++)
		if (replies[i].replied)
			status[replies[i].entry] = replies[i].status;
	status[self] = own_status;
}
