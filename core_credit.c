#include "core_credit.h"

#include <limits.h>
#include <string.h>

/* A slot in use, or of a request whose fate is not known. */
typedef struct hold {
	uint32_t seq;
	uint64_t loan_id; /* 0: of the own share */
	gh_time_t deadline;
} hold_t;

/* Slots lent to another host. */
typedef struct lent {
	char borrower[GH_NAME_MAX + 1];
	uint64_t loan_id;
	unsigned count;	  /* not returned yet */
	unsigned granted; /* at first */
	bool returned;
	gh_time_t deadline; /* of the loan */
	gh_time_t until;    /* when its last request must have ended */
} lent_t;

/* Slots borrowed from another host. */
typedef struct loan {
	char lender[GH_NAME_MAX + 1];
	uint64_t loan_id;
	unsigned count;
	bool closed; /* returned, or of another generation */
	gh_time_t deadline;
	gh_time_t until; /* when the lender waits no more */
} loan_t;

typedef struct slots {
	char name[GH_NAME_MAX + 1];
	unsigned share;
	unsigned usable;
	GArray *holds; /* of hold_t */
	GArray *lent;  /* of lent_t */
	GArray *loans; /* of loan_t */
} slots_t;

/* Another entry host of the domain. */
typedef struct other {
	char name[GH_NAME_MAX + 1];
	bool counts;	     /* named by the last or this document, not gone */
	bool dropped;	     /* named gone, or named no more */
	uint64_t generation; /* last heard; 0: never */
	gh_time_t since;     /* when this generation was first heard */
	gh_time_t heard;     /* last time; 0: never */
} other_t;

struct gh_credit {
	char self[GH_NAME_MAX + 1];
	uint64_t generation;
	bool first;	     /* no share of this process was usable yet */
	bool raised;	     /* shares are usable in full */
	gh_time_t applied;   /* when the document came into force */
	gh_time_t last_tick; /* 0: none yet */
	gh_time_t longest;   /* longest loan and request one after another */
	gh_time_t request_max;
	GPtrArray *slots;    /* of slots_t; indices are stable */
	GHashTable *by_name; /* executor name to index + 1 */
	GArray *others;	     /* of other_t */
	uint32_t seq;
};

static bool next_return(gh_credit_t *credit, unsigned most_used,
			gh_time_t latest, gh_time_t now,
			gh_credit_return_t *ret);
static slots_t *find(const gh_credit_t *credit, const char *executor);
static slots_t *find_or_add(gh_credit_t *credit, const char *executor);
static void slots_free(void *arg);
static void count_others(gh_credit_t *credit, const gh_document_t *doc,
			 gh_handle_t self);
static other_t *other_by_name(gh_credit_t *credit, const char *name, bool add);
static void set_shares(gh_credit_t *credit, const gh_document_t *doc,
		       gh_handle_t self);
static void close_loans(gh_credit_t *credit);
static void raise_shares(gh_credit_t *credit, gh_time_t now);
static void check_pause(gh_credit_t *credit, gh_time_t now);
static bool is_settled(const gh_credit_t *credit, gh_time_t now);
static bool counts(const gh_credit_t *credit, const other_t *other,
		   gh_time_t now);
static void lapse(slots_t *slots, gh_time_t now);
static unsigned held(const slots_t *slots, uint64_t loan_id);
static unsigned lent_out(const slots_t *slots);
static unsigned own_free(const slots_t *slots);
static unsigned loan_free(const slots_t *slots, const loan_t *loan,
			  gh_time_t now);
static bool has_loan(const slots_t *slots, uint64_t loan_id);
static lent_t *find_lent(const slots_t *slots, const char *borrower,
			 uint64_t loan_id);
static unsigned split_for(const gh_document_t *doc, gh_handle_t entry,
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
	return split_for(doc, entry, executor, doc->executors[executor].slots);
}

unsigned gh_credit_connection_share(const gh_document_t *doc, gh_handle_t entry,
				    gh_handle_t executor)
{
	return split_for(doc, entry, executor,
			 doc->executors[executor].connections);
}

gh_credit_t *gh_credit_new(const char *self, gh_time_t started)
{
	gh_credit_t *credit = g_new0(gh_credit_t, 1);

	g_strlcpy(credit->self, self, sizeof(credit->self));
	credit->applied = started;
	credit->first = true;
	credit->slots = g_ptr_array_new_with_free_func(slots_free);
	credit->by_name =
		g_hash_table_new_full(g_str_hash, g_str_equal, g_free, NULL);
	credit->others = g_array_new(FALSE, TRUE, sizeof(other_t));
	return credit;
}

void gh_credit_free(gh_credit_t *credit)
{
	if (!credit)
		return;
	g_ptr_array_unref(credit->slots);
	g_hash_table_unref(credit->by_name);
	g_array_unref(credit->others);
	g_free(credit);
}

void gh_credit_apply(gh_credit_t *credit, const gh_document_t *doc,
		     gh_time_t now)
{
	gh_handle_t self = gh_document_entry(doc, credit->self);
	gh_time_t request_max = gh_time_from_ms(doc->policy.request_max_ms);

	check_pause(credit, now);
	if (doc->generation <= credit->generation)
		return;
	if (request_max > credit->request_max)
		credit->request_max = request_max;
	credit->longest =
		credit->request_max + gh_time_from_ms(GH_CREDIT_LOAN_MS);
	credit->applied = MAX(now, credit->applied);
	credit->generation = doc->generation;
	credit->raised = false;
	count_others(credit, doc, self);
	close_loans(credit);
	set_shares(credit, doc, self);
}

void gh_credit_set_peer_generation(gh_credit_t *credit, const char *entry,
				   uint64_t generation, gh_time_t now)
{
	other_t *other = other_by_name(credit, entry, true);

	other->heard = now;
	if (other->generation == generation)
		return;
	other->generation = generation;
	other->since = now;
}

bool gh_credit_ready(gh_credit_t *credit, gh_time_t now)
{
	raise_shares(credit, now);
	return !credit->first;
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
	slots_t *slots = find(credit, executor);
	size_t i;

	raise_shares(credit, now);
	if (!slots)
		return view;
	lapse(slots, now);
	view.share = slots->share;
	view.usable = slots->usable;
	view.taken = slots->holds->len;
	view.lent = lent_out(slots);
	view.free = own_free(slots);
	for (i = 0; i < slots->loans->len; i++) {
		loan_t *loan = &g_array_index(slots->loans, loan_t, i);

		if (loan->closed || now >= loan->deadline)
			continue;
		view.borrowed += loan->count;
		view.free += loan_free(slots, loan, now);
	}
	return view;
}

gh_credit_hold_t gh_credit_take(gh_credit_t *credit, const char *executor,
				gh_time_t now)
{
	slots_t *slots = find(credit, executor);
	hold_t hold = { .deadline = now + credit->request_max };
	bool found;
	size_t i;

	raise_shares(credit, now);
	if (!slots)
		return GH_CREDIT_NO_HOLD;
	lapse(slots, now);
	found = own_free(slots) > 0;
	for (i = 0; i < slots->loans->len && !found; i++) {
		loan_t *loan = &g_array_index(slots->loans, loan_t, i);

		found = loan_free(slots, loan, now) > 0;
		hold.loan_id = loan->loan_id;
	}
	if (!found)
		return GH_CREDIT_NO_HOLD;
	if (!++credit->seq)
		credit->seq = 1;
	hold.seq = credit->seq;
	g_array_append_val(slots->holds, hold);
	i = GPOINTER_TO_SIZE(g_hash_table_lookup(credit->by_name, executor));
	return (uint64_t)i << 32 | hold.seq;
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
		if (g_array_index(slots->holds, hold_t, i).seq !=
		    (uint32_t)hold)
			continue;
		g_array_remove_index_fast(slots->holds, (guint)i);
		return;
	}
}

unsigned gh_credit_lend(gh_credit_t *credit,
			const gh_credit_loan_request_t *ask, int64_t *loan_ms,
			gh_time_t now)
{
	slots_t *slots = find(credit, ask->executor);
	gh_time_t length = gh_time_from_ms(GH_CREDIT_LOAN_MS);
	lent_t lent = {
		.loan_id = ask->loan_id,
		.deadline = now + length,
		.until = now + length + credit->request_max,
	};
	lent_t *known;
	unsigned spare;

	*loan_ms = 0;
	raise_shares(credit, now);
	if (!slots || ask->generation != credit->generation)
		return 0;
	lapse(slots, now);
	known = find_lent(slots, ask->borrower, ask->loan_id);
	if (known) {
		if (known->returned || now >= known->deadline)
			return 0;
		*loan_ms = gh_time_to_ms(known->deadline - now);
		return known->granted;
	}
	spare = own_free(slots);
	if (spare < 2 || !ask->wanted)
		return 0;
	lent.granted = MIN(ask->wanted, spare - 1);
	lent.count = lent.granted;
	g_strlcpy(lent.borrower, ask->borrower, sizeof(lent.borrower));
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
	slots_t *slots = find(credit, loan->executor);
	loan_t kept = {
		.loan_id = loan->loan_id,
		.count = loan->count,
		.closed = loan->generation != credit->generation,
		.deadline = loan->requested_at + gh_time_from_ms(loan->loan_ms),
	};

	kept.until = kept.deadline + credit->request_max;
	if (!slots || !loan->count || !loan->loan_id ||
	    has_loan(slots, loan->loan_id))
		return;
	g_strlcpy(kept.lender, loan->lender, sizeof(kept.lender));
	g_array_append_val(slots->loans, kept);
}

bool gh_credit_next_return(gh_credit_t *credit, bool all, gh_time_t now,
			   gh_credit_return_t *ret)
{
	return next_return(credit, all ? UINT_MAX : 0, GH_TIME_NEVER, now, ret);
}

bool gh_credit_next_expired(gh_credit_t *credit, gh_time_t now,
			    gh_credit_return_t *ret)
{
	return next_return(credit, 0, now, now, ret);
}

/* Closes a loan with that many slots in use and that deadline, at most. */
static bool next_return(gh_credit_t *credit, unsigned most_used,
			gh_time_t latest, gh_time_t now,
			gh_credit_return_t *ret)
{
	size_t i;
	size_t j;

	for (i = 0; i < credit->slots->len; i++) {
		slots_t *slots = g_ptr_array_index(credit->slots, i);

		lapse(slots, now);
		for (j = 0; j < slots->loans->len; j++) {
			loan_t *loan = &g_array_index(slots->loans, loan_t, j);
			unsigned used = held(slots, loan->loan_id);

			if (loan->closed || used > most_used ||
			    loan->deadline > latest)
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

static slots_t *find(const gh_credit_t *credit, const char *executor)
{
	size_t index = GPOINTER_TO_SIZE(
		g_hash_table_lookup(credit->by_name, executor));

	return index ? g_ptr_array_index(credit->slots, index - 1) : NULL;
}

static slots_t *find_or_add(gh_credit_t *credit, const char *executor)
{
	slots_t *slots = find(credit, executor);

	if (slots)
		return slots;
	slots = g_new0(slots_t, 1);
	g_strlcpy(slots->name, executor, sizeof(slots->name));
	slots->holds = g_array_new(FALSE, TRUE, sizeof(hold_t));
	slots->lent = g_array_new(FALSE, TRUE, sizeof(lent_t));
	slots->loans = g_array_new(FALSE, TRUE, sizeof(loan_t));
	g_ptr_array_add(credit->slots, slots);
	g_hash_table_insert(credit->by_name, g_strdup(executor),
			    GSIZE_TO_POINTER(credit->slots->len));
	return slots;
}

static void slots_free(void *arg)
{
	slots_t *slots = arg;

	g_array_unref(slots->holds);
	g_array_unref(slots->lent);
	g_array_unref(slots->loans);
	g_free(slots);
}

/* Hosts of the last document count on until a document names them gone. */
static void count_others(gh_credit_t *credit, const gh_document_t *doc,
			 gh_handle_t self)
{
	size_t i;

	for (i = 0; i < credit->others->len; i++) {
		other_t *other = &g_array_index(credit->others, other_t, i);
		gh_handle_t entry = gh_document_entry(doc, other->name);

		if (entry == GH_HANDLE_NONE ||
		    doc->entries[entry].state == GH_HOST_GONE) {
			other->dropped |= other->counts;
			other->counts = false;
		}
	}
	for (i = 0; i < doc->n_entries && self != GH_HANDLE_NONE; i++) {
		const gh_entry_t *entry = &doc->entries[i];

		other_t *other;

		if (i == self || entry->domain != doc->entries[self].domain)
			continue;
		other = other_by_name(credit, entry->name, true);
		other->counts = entry->state != GH_HOST_GONE;
		other->dropped = !other->counts;
	}
}

static other_t *other_by_name(gh_credit_t *credit, const char *name, bool add)
{
	other_t fresh = { 0 };
	size_t i;

	for (i = 0; i < credit->others->len; i++) {
		other_t *other = &g_array_index(credit->others, other_t, i);

		if (!strcmp(other->name, name))
			return other;
	}
	if (!add)
		return NULL;
	g_strlcpy(fresh.name, name, sizeof(fresh.name));
	g_array_append_val(credit->others, fresh);
	return &g_array_index(credit->others, other_t, credit->others->len - 1);
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
		find_or_add(credit, doc->executors[i].name)->share =
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

		for (j = 0; j < slots->loans->len; j++)
			g_array_index(slots->loans, loan_t, j).closed = true;
	}
}

static void raise_shares(gh_credit_t *credit, gh_time_t now)
{
	size_t i;

	check_pause(credit, now);
	if (credit->raised || !credit->generation || !is_settled(credit, now))
		return;
	for (i = 0; i < credit->slots->len; i++) {
		slots_t *slots = g_ptr_array_index(credit->slots, i);

		slots->usable = slots->share;
	}
	credit->raised = true;
	credit->first = false;
}

/*
 * A process that was paused for so long that another one may have started
 * without hearing it begins anew.
 */
static void check_pause(gh_credit_t *credit, gh_time_t now)
{
	bool paused = credit->last_tick && credit->longest &&
		      now - credit->last_tick >= credit->longest;
	size_t i;

	if (credit->last_tick)
		credit->last_tick = MAX(now, credit->last_tick);
	if (!paused)
		return;
	credit->raised = false;
	credit->first = true;
	credit->applied = now;
	for (i = 0; i < credit->others->len; i++)
		g_array_index(credit->others, other_t, i).generation = 0;
	for (i = 0; i < credit->slots->len; i++)
		((slots_t *)g_ptr_array_index(credit->slots, i))->usable = 0;
}

/*
 * Only the very generation in force here counts: a host with a higher one
 * may hold a larger share than this document gives it.  A process that
 * starts passes over hosts that it never heard, or one dead host would keep
 * its whole domain from serving.
 */
static bool is_settled(const gh_credit_t *credit, gh_time_t now)
{
	size_t i;

	if (now < credit->applied + credit->longest)
		return false;
	for (i = 0; i < credit->others->len; i++) {
		const other_t *other =
			&g_array_index(credit->others, other_t, i);

		if (!counts(credit, other, now) ||
		    (credit->first && !other->generation))
			continue;
		if (other->generation != credit->generation ||
		    now < other->since + credit->longest)
			return false;
	}
	return true;
}

/* A host that the document names gone counts on while it is heard. */
static bool counts(const gh_credit_t *credit, const other_t *other,
		   gh_time_t now)
{
	return other->counts || (other->dropped && other->heard &&
				 now < other->heard + credit->longest);
}

static void lapse(slots_t *slots, gh_time_t now)
{
	size_t i;

	for (i = slots->holds->len; i-- > 0;)
		if (g_array_index(slots->holds, hold_t, i).deadline <= now)
			g_array_remove_index_fast(slots->holds, (guint)i);
	for (i = slots->lent->len; i-- > 0;)
		if (g_array_index(slots->lent, lent_t, i).until <= now)
			g_array_remove_index_fast(slots->lent, (guint)i);
	for (i = slots->loans->len; i-- > 0;) {
		loan_t *loan = &g_array_index(slots->loans, loan_t, i);

		if (held(slots, loan->loan_id))
			continue;
		if (loan->closed || loan->until <= now)
			g_array_remove_index_fast(slots->loans, (guint)i);
	}
}

static unsigned held(const slots_t *slots, uint64_t loan_id)
{
	unsigned n = 0;
	size_t i;

	for (i = 0; i < slots->holds->len; i++)
		if (g_array_index(slots->holds, hold_t, i).loan_id == loan_id)
			n++;
	return n;
}

static unsigned lent_out(const slots_t *slots)
{
	unsigned n = 0;
	size_t i;

	for (i = 0; i < slots->lent->len; i++)
		n += g_array_index(slots->lent, lent_t, i).count;
	return n;
}

static unsigned own_free(const slots_t *slots)
{
	unsigned used = held(slots, 0) + lent_out(slots);

	return used < slots->usable ? slots->usable - used : 0;
}

static unsigned loan_free(const slots_t *slots, const loan_t *loan,
			  gh_time_t now)
{
	unsigned used = held(slots, loan->loan_id);

	if (loan->closed || now >= loan->deadline || used >= loan->count)
		return 0;
	return loan->count - used;
}

/* A loan that was returned is known until its deadline. */
static bool has_loan(const slots_t *slots, uint64_t loan_id)
{
	size_t i;

	for (i = 0; i < slots->loans->len; i++)
		if (g_array_index(slots->loans, loan_t, i).loan_id == loan_id)
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

static unsigned split_for(const gh_document_t *doc, gh_handle_t entry,
			  gh_handle_t executor, unsigned amount)
{
	const gh_entry_t *self = &doc->entries[entry];
	const gh_executor_t *ex = &doc->executors[executor];
	unsigned hosts = 0;
	unsigned host = 0;
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
			host++;
	}
	return gh_credit_split(amount, hosts, host, g_str_hash(ex->name));
}
