#include "core_credit.h"

#include <limits.h>
#include <string.h>

/* Slot of a request that is in flight or whose end is unknown. */
typedef struct hold {
	uint32_t sequence;
	/* loan that the slot belongs to; 0: this host's own share */
	uint64_t loan_id;
	gh_time_t deadline; /* time by which the request has ended */
} hold_t;

/* Slots lent to another host. */
typedef struct lent {
	char borrower[GH_NAME_MAX + 1];
	uint64_t loan_id;
	unsigned count;	  /* slots not returned yet */
	unsigned granted; /* slots lent, returned ones included */
	bool returned;
	gh_time_t deadline; /* the borrower starts no request after it */
	/* time by which the borrower's requests have ended */
	gh_time_t expires_at;
} lent_t;

/* Slots borrowed from another host. */
typedef struct borrowed {
	char lender[GH_NAME_MAX + 1];
	uint64_t loan_id;
	unsigned count;
	/* no new requests: slots returned, or document generation changed */
	bool closed;
	gh_time_t deadline;
	gh_time_t expires_at; /* time when the lender may use the slots again */
} borrowed_t;

/* Slots of one executor, as counted by this host. */
typedef struct slots {
	char name[GH_NAME_MAX + 1];
	unsigned share;
	unsigned usable;
	GArray *holds;	  /* hold_t: slots in use by requests */
	GArray *lent;	  /* lent_t: loans to other hosts */
	GArray *borrowed; /* borrowed_t: loans from other hosts */
} slots_t;

/* Another entry host of the domain. */
typedef struct peer {
	char name[GH_NAME_MAX + 1];
	/* the document in force lists the peer and does not mark it gone */
	bool is_member;
	/* the document in force marks the peer gone, or no longer lists it */
	bool was_removed;
	/*
	 * last one the peer reported; 0: none since this process started or was
	 * paused
	 */
	uint64_t generation;
	/* time when the peer first reported the generation */
	gh_time_t generation_since;
	/* time of the peer's last report; 0: none */
	gh_time_t last_report_at;
} peer_t;

struct gh_credit {
	char self[GH_NAME_MAX + 1];
	uint64_t generation;
	/* no share was raised since the process started or was paused */
	bool is_starting;
	/* this host's share of every executor is usable in full */
	bool is_raised;
	/*
	 * start of the settle time: when the process started, the document came
	 * into force or a pause of the process ended, whichever is last
	 */
	gh_time_t applied_at;
	/* time of the last gh_credit_tick(); 0: none yet */
	gh_time_t last_tick;
	/* duration of a loan plus that of the longest request */
	gh_time_t settle_time;
	gh_time_t request_max;
	GPtrArray *slots;    /* slots_t per executor, which keeps its index */
	GHashTable *by_name; /* executor name to index in slots + 1 */
	GArray *peers;	     /* peer_t: other entry hosts of the domain */
	uint32_t sequence;
};

static bool close_next_loan(gh_credit_t *credit, unsigned max_used,
			    gh_time_t max_deadline, gh_time_t now,
			    gh_credit_return_t *ret);
static slots_t *find_slots(const gh_credit_t *credit, const char *executor);
static slots_t *find_or_add_slots(gh_credit_t *credit, const char *executor);
static void free_slots(void *arg);
static void update_peers(gh_credit_t *credit, const gh_document_t *doc,
			 gh_handle_t self);
static peer_t *find_peer(gh_credit_t *credit, const char *name, bool add);
static void set_shares(gh_credit_t *credit, const gh_document_t *doc,
		       gh_handle_t self);
static void close_loans(gh_credit_t *credit);
static void raise_shares(gh_credit_t *credit, gh_time_t now);
static void detect_pause(gh_credit_t *credit, gh_time_t now);
static bool can_raise_shares(const gh_credit_t *credit, gh_time_t now);
static bool must_confirm(const gh_credit_t *credit, const peer_t *peer,
			 gh_time_t now);
static void expire_entries(slots_t *slots, gh_time_t now);
static unsigned count_holds(const slots_t *slots, uint64_t loan_id);
static unsigned count_lent(const slots_t *slots);
static unsigned count_free_own(const slots_t *slots);
static unsigned count_free_borrowed(const slots_t *slots,
				    const borrowed_t *loan, gh_time_t now);
static bool knows_loan(const slots_t *slots, uint64_t loan_id);
static lent_t *find_lent(const slots_t *slots, const char *borrower,
			 uint64_t loan_id);
static unsigned host_share(const gh_document_t *doc, gh_handle_t entry,
			   gh_handle_t executor, unsigned amount);

unsigned gh_credit_split(unsigned amount, unsigned hosts, unsigned host,
			 unsigned executor)
{
	unsigned rank;

	if (!hosts)
		return 0;
	rank = (host + executor % hosts) % hosts;
	return amount / hosts + (rank < amount % hosts ? 1 : 0);
}

unsigned gh_credit_slot_share(const gh_document_t *doc, gh_handle_t entry,
			      gh_handle_t executor)
{
	return host_share(doc, entry, executor, doc->executors[executor].slots);
}

unsigned gh_credit_connection_share(const gh_document_t *doc, gh_handle_t entry,
				    gh_handle_t executor)
{
	return host_share(doc, entry, executor,
			  doc->executors[executor].connections);
}

gh_credit_t *gh_credit_new(const char *self, gh_time_t started)
{
	gh_credit_t *credit = g_new0(gh_credit_t, 1);

	g_strlcpy(credit->self, self, sizeof(credit->self));
	credit->applied_at = started;
	credit->is_starting = true;
	credit->slots = g_ptr_array_new_with_free_func(free_slots);
	credit->by_name =
		g_hash_table_new_full(g_str_hash, g_str_equal, g_free, NULL);
	credit->peers = g_array_new(FALSE, TRUE, sizeof(peer_t));
	return credit;
}

void gh_credit_free(gh_credit_t *credit)
{
	if (!credit)
		return;
	g_ptr_array_unref(credit->slots);
	g_hash_table_unref(credit->by_name);
	g_array_unref(credit->peers);
	g_free(credit);
}

void gh_credit_apply(gh_credit_t *credit, const gh_document_t *doc,
		     gh_time_t now)
{
	gh_handle_t self = gh_document_entry(doc, credit->self);
	gh_time_t request_max = gh_time_from_ms(doc->policy.request_max_ms);

	detect_pause(credit, now);
	if (doc->generation <= credit->generation)
		return;
	if (request_max > credit->request_max)
		credit->request_max = request_max;
	credit->settle_time =
		credit->request_max + gh_time_from_ms(GH_CREDIT_LOAN_MS);
	credit->applied_at = MAX(now, credit->applied_at);
	credit->generation = doc->generation;
	credit->is_raised = false;
	update_peers(credit, doc, self);
	close_loans(credit);
	set_shares(credit, doc, self);
}

void gh_credit_set_peer_generation(gh_credit_t *credit, const char *entry,
				   uint64_t generation, gh_time_t now)
{
	peer_t *peer = find_peer(credit, entry, true);

	peer->last_report_at = now;
	if (peer->generation == generation)
		return;
	peer->generation = generation;
	peer->generation_since = now;
}

bool gh_credit_ready(gh_credit_t *credit, gh_time_t now)
{
	raise_shares(credit, now);
	return !credit->is_starting;
}

void gh_credit_tick(gh_credit_t *credit, gh_time_t now)
{
	raise_shares(credit, now);
	credit->last_tick = now;
}

gh_credit_view_t gh_credit_view(gh_credit_t *credit, const char *executor,
				gh_time_t now)
{
	gh_credit_view_t view = { 0 };
	slots_t *slots = find_slots(credit, executor);
	size_t i;

	raise_shares(credit, now);
	if (!slots)
		return view;
	expire_entries(slots, now);
	view.share = slots->share;
	view.usable = slots->usable;
	view.taken = slots->holds->len;
	view.lent = count_lent(slots);
	view.free = count_free_own(slots);
	for (i = 0; i < slots->borrowed->len; i++) {
		borrowed_t *loan =
			&g_array_index(slots->borrowed, borrowed_t, i);

		if (loan->closed || now >= loan->deadline)
			continue;
		view.borrowed += loan->count;
		view.free += count_free_borrowed(slots, loan, now);
	}
	return view;
}

gh_credit_hold_t gh_credit_take(gh_credit_t *credit, const char *executor,
				gh_time_t now)
{
	slots_t *slots = find_slots(credit, executor);
	hold_t hold = { .deadline = now + credit->request_max };
	bool found;
	size_t i;

	raise_shares(credit, now);
	if (!slots)
		return GH_CREDIT_NO_HOLD;
	expire_entries(slots, now);
	found = count_free_own(slots) > 0;
	for (i = 0; i < slots->borrowed->len && !found; i++) {
		borrowed_t *loan =
			&g_array_index(slots->borrowed, borrowed_t, i);

		found = count_free_borrowed(slots, loan, now) > 0;
		hold.loan_id = loan->loan_id;
	}
	if (!found)
		return GH_CREDIT_NO_HOLD;
	if (!++credit->sequence)
		credit->sequence = 1;
	hold.sequence = credit->sequence;
	g_array_append_val(slots->holds, hold);
	i = GPOINTER_TO_SIZE(g_hash_table_lookup(credit->by_name, executor));
	return (uint64_t)i << 32 | hold.sequence;
}

void gh_credit_done(gh_credit_t *credit, gh_credit_hold_t hold)
{
	size_t index = (size_t)(hold >> 32);
	slots_t *slots;
	size_t i;

	if (!index || index > credit->slots->len)
		return;
	slots = g_ptr_array_index(credit->slots, index - 1);
	for (i = 0; i < slots->holds->len; i++) {
		if (g_array_index(slots->holds, hold_t, i).sequence !=
		    (uint32_t)hold)
			continue;
		g_array_remove_index_fast(slots->holds, (guint)i);
		return;
	}
}

unsigned gh_credit_lend(gh_credit_t *credit,
			const gh_credit_loan_request_t *request,
			int64_t *loan_ms, gh_time_t now)
{
	slots_t *slots = find_slots(credit, request->executor);
	gh_time_t duration = gh_time_from_ms(GH_CREDIT_LOAN_MS);
	lent_t lent = {
		.loan_id = request->loan_id,
		.deadline = now + duration,
		.expires_at = now + duration + credit->request_max,
	};
	lent_t *previous;
	unsigned unused;

	*loan_ms = 0;
	raise_shares(credit, now);
	if (!slots || request->generation != credit->generation)
		return 0;
	expire_entries(slots, now);
	previous = find_lent(slots, request->borrower, request->loan_id);
	if (previous) {
		if (previous->returned || now >= previous->deadline)
			return 0;
		*loan_ms = gh_time_to_ms(previous->deadline - now);
		return previous->granted;
	}
	unused = count_free_own(slots);
	if (unused < 2 || !request->wanted)
		return 0;
	lent.granted = MIN(request->wanted, unused - 1);
	lent.count = lent.granted;
	g_strlcpy(lent.borrower, request->borrower, sizeof(lent.borrower));
	g_array_append_val(slots->lent, lent);
	*loan_ms = GH_CREDIT_LOAN_MS;
	return lent.granted;
}

void gh_credit_record_return(gh_credit_t *credit, const char *borrower,
			     uint64_t loan_id, unsigned count)
{
	size_t i;

	for (i = 0; i < credit->slots->len; i++) {
		slots_t *slots = g_ptr_array_index(credit->slots, i);
		lent_t *lent = find_lent(slots, borrower, loan_id);

		if (!lent || lent->returned)
			continue;
		lent->returned = true;
		lent->count -= MIN(count, lent->count);
		return;
	}
}

void gh_credit_record_loan(gh_credit_t *credit, const gh_credit_loan_t *loan)
{
	slots_t *slots = find_slots(credit, loan->executor);
	borrowed_t borrowed = {
		.loan_id = loan->loan_id,
		.count = loan->count,
		.closed = loan->generation != credit->generation,
		.deadline = loan->requested_at + gh_time_from_ms(loan->loan_ms),
	};

	borrowed.expires_at = borrowed.deadline + credit->request_max;
	if (!slots || !loan->count || !loan->loan_id ||
	    knows_loan(slots, loan->loan_id))
		return;
	g_strlcpy(borrowed.lender, loan->lender, sizeof(borrowed.lender));
	g_array_append_val(slots->borrowed, borrowed);
}

bool gh_credit_next_return(gh_credit_t *credit, bool all, gh_time_t now,
			   gh_credit_return_t *ret)
{
	return close_next_loan(credit, all ? UINT_MAX : 0, GH_TIME_NEVER, now,
			       ret);
}

bool gh_credit_next_expired(gh_credit_t *credit, gh_time_t now,
			    gh_credit_return_t *ret)
{
	return close_next_loan(credit, 0, now, now, ret);
}

/*
 * Closes a loan to this host that has at most max_used slots in use and a
 * deadline up to max_deadline, and sets *ret to the slots to return to the
 * lender.
 */
static bool close_next_loan(gh_credit_t *credit, unsigned max_used,
			    gh_time_t max_deadline, gh_time_t now,
			    gh_credit_return_t *ret)
{
	size_t i;
	size_t j;

	for (i = 0; i < credit->slots->len; i++) {
		slots_t *slots = g_ptr_array_index(credit->slots, i);

		expire_entries(slots, now);
		for (j = 0; j < slots->borrowed->len; j++) {
			borrowed_t *loan =
				&g_array_index(slots->borrowed, borrowed_t, j);
			unsigned used = count_holds(slots, loan->loan_id);

			if (loan->closed || used > max_used ||
			    loan->deadline > max_deadline)
				continue;
			loan->closed = true;
			ret->loan_id = loan->loan_id;
			ret->count = loan->count - MIN(used, loan->count);
			g_strlcpy(ret->executor, slots->name,
				  sizeof(ret->executor));
			g_strlcpy(ret->lender, loan->lender,
				  sizeof(ret->lender));
			return true;
		}
	}
	return false;
}

static slots_t *find_slots(const gh_credit_t *credit, const char *executor)
{
	size_t index = GPOINTER_TO_SIZE(
		g_hash_table_lookup(credit->by_name, executor));

	return index ? g_ptr_array_index(credit->slots, index - 1) : NULL;
}

static slots_t *find_or_add_slots(gh_credit_t *credit, const char *executor)
{
	slots_t *slots = find_slots(credit, executor);

	if (slots)
		return slots;
	slots = g_new0(slots_t, 1);
	g_strlcpy(slots->name, executor, sizeof(slots->name));
	slots->holds = g_array_new(FALSE, TRUE, sizeof(hold_t));
	slots->lent = g_array_new(FALSE, TRUE, sizeof(lent_t));
	slots->borrowed = g_array_new(FALSE, TRUE, sizeof(borrowed_t));
	g_ptr_array_add(credit->slots, slots);
	g_hash_table_insert(credit->by_name, g_strdup(executor),
			    GSIZE_TO_POINTER(credit->slots->len));
	return slots;
}

static void free_slots(void *arg)
{
	slots_t *slots = arg;

	g_array_unref(slots->holds);
	g_array_unref(slots->lent);
	g_array_unref(slots->borrowed);
	g_free(slots);
}

/* Marks peers that the document names gone, or doesn't name, as removed. */
static void update_peers(gh_credit_t *credit, const gh_document_t *doc,
			 gh_handle_t self)
{
	size_t i;

	for (i = 0; i < credit->peers->len; i++) {
		peer_t *peer = &g_array_index(credit->peers, peer_t, i);
		gh_handle_t entry = gh_document_entry(doc, peer->name);

		if (entry == GH_HANDLE_NONE ||
		    doc->entries[entry].state == GH_HOST_GONE) {
			peer->was_removed |= peer->is_member;
			peer->is_member = false;
		}
	}
	for (i = 0; i < doc->n_entries && self != GH_HANDLE_NONE; i++) {
		const gh_entry_t *entry = &doc->entries[i];

		peer_t *peer;

		if (i == self || entry->domain != doc->entries[self].domain)
			continue;
		peer = find_peer(credit, entry->name, true);
		peer->is_member = entry->state != GH_HOST_GONE;
		peer->was_removed = !peer->is_member;
	}
}

static peer_t *find_peer(gh_credit_t *credit, const char *name, bool add)
{
	peer_t new_peer = { 0 };
	size_t i;

	for (i = 0; i < credit->peers->len; i++) {
		peer_t *peer = &g_array_index(credit->peers, peer_t, i);

		if (!strcmp(peer->name, name))
			return peer;
	}
	if (!add)
		return NULL;
	g_strlcpy(new_peer.name, name, sizeof(new_peer.name));
	g_array_append_val(credit->peers, new_peer);
	return &g_array_index(credit->peers, peer_t, credit->peers->len - 1);
}

static void set_shares(gh_credit_t *credit, const gh_document_t *doc,
		       gh_handle_t self)
{
	size_t i;

	for (i = 0; i < credit->slots->len; i++) {
		slots_t *slots = g_ptr_array_index(credit->slots, i);

		slots->share = 0;
	}
	for (i = 0; i < doc->n_executors && self != GH_HANDLE_NONE; i++)
		find_or_add_slots(credit, doc->executors[i].name)->share =
			gh_credit_slot_share(doc, self, (gh_handle_t)i);
	for (i = 0; i < credit->slots->len; i++) {
		slots_t *slots = g_ptr_array_index(credit->slots, i);

		slots->usable = MIN(slots->usable, slots->share);
	}
}

static void close_loans(gh_credit_t *credit)
{
	size_t i;
	size_t j;

	for (i = 0; i < credit->slots->len; i++) {
		slots_t *slots = g_ptr_array_index(credit->slots, i);

		for (j = 0; j < slots->borrowed->len; j++)
			g_array_index(slots->borrowed, borrowed_t, j).closed =
				true;
	}
}

static void raise_shares(gh_credit_t *credit, gh_time_t now)
{
	size_t i;

	detect_pause(credit, now);
	if (credit->is_raised || !credit->generation ||
	    !can_raise_shares(credit, now))
		return;
	for (i = 0; i < credit->slots->len; i++) {
		slots_t *slots = g_ptr_array_index(credit->slots, i);

		slots->usable = slots->share;
	}
	credit->is_raised = true;
	credit->is_starting = false;
}

/*
 * Resets this host's usable shares to zero if its process was paused for at
 * least the settle time: another host may have started during the pause without
 * a report from this one, and raised its own shares.
 */
static void detect_pause(gh_credit_t *credit, gh_time_t now)
{
	bool paused = credit->last_tick && credit->settle_time &&
		      now - credit->last_tick >= credit->settle_time;
	size_t i;

	if (credit->last_tick)
		credit->last_tick = MAX(now, credit->last_tick);
	if (!paused)
		return;
	credit->is_raised = false;
	credit->is_starting = true;
	credit->applied_at = now;
	for (i = 0; i < credit->peers->len; i++)
		g_array_index(credit->peers, peer_t, i).generation = 0;
	for (i = 0; i < credit->slots->len; i++)
		((slots_t *)g_ptr_array_index(credit->slots, i))->usable = 0;
}

/*
 * Whether all other entry hosts of the domain reported the generation of the
 * document in force at least the settle time ago.  They must report this very
 * generation: a host with a higher generation may have a larger share than this
 * document gives it.  A process that has just started skips hosts that never
 * reported, or one failed host would keep its whole domain from serving.
 */
static bool can_raise_shares(const gh_credit_t *credit, gh_time_t now)
{
	size_t i;

	if (now < credit->applied_at + credit->settle_time)
		return false;
	for (i = 0; i < credit->peers->len; i++) {
		const peer_t *peer = &g_array_index(credit->peers, peer_t, i);

		if (!must_confirm(credit, peer, now) ||
		    (credit->is_starting && !peer->generation))
			continue;
		if (peer->generation != credit->generation ||
		    now < peer->generation_since + credit->settle_time)
			return false;
	}
	return true;
}

/*
 * Whether this host's shares may be raised only after the peer has reported the
 * generation in force.  A removed peer counts until its last report is older
 * than the settle time.
 */
static bool must_confirm(const gh_credit_t *credit, const peer_t *peer,
			 gh_time_t now)
{
	return peer->is_member ||
	       (peer->was_removed && peer->last_report_at &&
		now < peer->last_report_at + credit->settle_time);
}

static void expire_entries(slots_t *slots, gh_time_t now)
{
	size_t i;

	for (i = slots->holds->len; i-- > 0;)
		if (g_array_index(slots->holds, hold_t, i).deadline <= now)
			g_array_remove_index_fast(slots->holds, (guint)i);
	for (i = slots->lent->len; i-- > 0;)
		if (g_array_index(slots->lent, lent_t, i).expires_at <= now)
			g_array_remove_index_fast(slots->lent, (guint)i);
	for (i = slots->borrowed->len; i-- > 0;) {
		borrowed_t *loan =
			&g_array_index(slots->borrowed, borrowed_t, i);

		if (count_holds(slots, loan->loan_id))
			continue;
		if (loan->closed || loan->expires_at <= now)
			g_array_remove_index_fast(slots->borrowed, (guint)i);
	}
}

static unsigned count_holds(const slots_t *slots, uint64_t loan_id)
{
	unsigned n = 0;
	size_t i;

	for (i = 0; i < slots->holds->len; i++)
		if (g_array_index(slots->holds, hold_t, i).loan_id == loan_id)
			n++;
	return n;
}

static unsigned count_lent(const slots_t *slots)
{
	unsigned n = 0;
	size_t i;

	for (i = 0; i < slots->lent->len; i++)
		n += g_array_index(slots->lent, lent_t, i).count;
	return n;
}

static unsigned count_free_own(const slots_t *slots)
{
	unsigned used = count_holds(slots, 0) + count_lent(slots);

	return used < slots->usable ? slots->usable - used : 0;
}

static unsigned count_free_borrowed(const slots_t *slots,
				    const borrowed_t *loan, gh_time_t now)
{
	unsigned used = count_holds(slots, loan->loan_id);

	if (loan->closed || now >= loan->deadline || used >= loan->count)
		return 0;
	return loan->count - used;
}

/* Whether a loan to this host is recorded, open or closed. */
static bool knows_loan(const slots_t *slots, uint64_t loan_id)
{
	size_t i;

	for (i = 0; i < slots->borrowed->len; i++)
		if (g_array_index(slots->borrowed, borrowed_t, i).loan_id ==
		    loan_id)
			return true;
	return false;
}

static lent_t *find_lent(const slots_t *slots, const char *borrower,
			 uint64_t loan_id)
{
	size_t i;

	for (i = 0; i < slots->lent->len; i++) {
		lent_t *lent = &g_array_index(slots->lent, lent_t, i);

		if (lent->loan_id == loan_id &&
		    !strcmp(lent->borrower, borrower))
			return lent;
	}
	return NULL;
}

static unsigned host_share(const gh_document_t *doc, gh_handle_t entry,
			   gh_handle_t executor, unsigned amount)
{
	const gh_entry_t *self = &doc->entries[entry];
	const gh_executor_t *ex = &doc->executors[executor];
	unsigned hosts = 0;
	unsigned index = 0;
	size_t i;

	if (self->state == GH_HOST_GONE || ex->state != GH_HOST_ACTIVE ||
	    ex->domain != self->domain)
		return 0;
	for (i = 0; i < doc->n_entries; i++) {
		const gh_entry_t *other = &doc->entries[i];

		if (other->state == GH_HOST_GONE ||
		    other->domain != self->domain)
			continue;
		hosts++;
		if (strcmp(other->name, self->name) < 0)
			index++;
	}
	return gh_credit_split(amount, hosts, index, g_str_hash(ex->name));
}
