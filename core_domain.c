#include "core_domain.h"

#include <string.h>

#define WORD_BITS 64

/* Position of an entry host among those of its domain that are not gone. */
typedef struct domain_position {
	size_t index;
	size_t n_hosts; /* hosts of the domain that are not gone */
} domain_position_t;

static bool is_replayed(const gh_member_t *member, uint64_t sequence);
static void advance_window(gh_member_t *member, uint64_t sequence);
static domain_position_t position_in_domain(const gh_document_t *doc,
					    gh_handle_t entry);
static size_t count_entries(const gh_document_t *doc);
static bool is_sender(gh_handle_t self, gh_handle_t other);
static bool is_due(const gh_document_t *doc, gh_handle_t self,
		   gh_handle_t other, uint64_t tick);
static gh_handle_t pick_unpaired(const gh_document_t *doc, gh_handle_t self,
				 uint64_t round);

gh_accept_t gh_member_accept(gh_member_t *member, uint64_t incarnation,
			     uint64_t sequence, gh_time_t now)
{
	gh_accept_t accept = GH_ACCEPT_FRESH;

	if (incarnation < member->incarnation)
		return GH_ACCEPT_STALE;
	if (incarnation > member->incarnation) {
		accept = GH_ACCEPT_RESTARTED;
		member->incarnation = incarnation;
		member->highest = 0;
		memset(member->seen, 0, sizeof(member->seen));
	}
	if (is_replayed(member, sequence))
		return GH_ACCEPT_REPLAYED;
	advance_window(member, sequence);
	member->seen[sequence % GH_REPLAY_WINDOW_BITS / WORD_BITS] |=
		1ULL << sequence % WORD_BITS;
	member->last_received = now;
	return accept;
}

bool gh_member_alive(const gh_member_t *member, const gh_policy_t *policy,
		     bool other_domain, gh_time_t now)
{
	int64_t timeout_ms = policy->suspect_ms;

	if (!member->incarnation)
		return false;
	if (other_domain)
		timeout_ms += GH_OTHER_DOMAIN_TICKS * policy->heartbeat_ms;
	return now - member->last_received <= gh_time_from_ms(timeout_ms);
}

bool gh_domain_paired(const gh_document_t *doc, gh_handle_t a, gh_handle_t b)
{
	domain_position_t pos_a;
	domain_position_t pos_b;

	if (doc->entries[a].domain == doc->entries[b].domain ||
	    count_entries(doc) <= GH_FULL_MESH_MAX_HOSTS)
		return true;
	pos_a = position_in_domain(doc, a);
	pos_b = position_in_domain(doc, b);
	if (!pos_a.n_hosts || !pos_b.n_hosts)
		return false;
	return pos_a.index % pos_b.n_hosts == pos_b.index ||
	       pos_b.index % pos_a.n_hosts == pos_a.index;
}

size_t gh_domain_heartbeat_targets(const gh_document_t *doc, gh_handle_t self,
				   uint64_t tick, gh_handle_t *hosts, size_t n)
{
	gh_handle_t unpaired = GH_HANDLE_NONE;
	size_t count = 0;
	size_t i;

	for (i = 0; i < doc->n_entries && count < n; i++)
		if (is_due(doc, self, (gh_handle_t)i, tick))
			hosts[count++] = (gh_handle_t)i;
	if (tick % GH_OTHER_DOMAIN_TICKS == 0)
		unpaired =
			pick_unpaired(doc, self, tick / GH_OTHER_DOMAIN_TICKS);
	if (unpaired != GH_HANDLE_NONE && count < n)
		hosts[count++] = unpaired;
	return count;
}

/*
 * Whether a message with this sequence number was received before or is below
 * the replay window.
 */
static bool is_replayed(const gh_member_t *member, uint64_t sequence)
{
	if (sequence > member->highest)
		return false;
	if (member->highest - sequence >= GH_REPLAY_WINDOW_BITS)
		return true;
	return member->seen[sequence % GH_REPLAY_WINDOW_BITS / WORD_BITS] >>
		       sequence % WORD_BITS &
	       1;
}

/*
 * Moves the replay window up to a sequence number.  The numbers that enter the
 * window are marked as not received.
 */
static void advance_window(gh_member_t *member, uint64_t sequence)
{
	uint64_t next;

	if (sequence <= member->highest)
		return;
	if (sequence - member->highest >= GH_REPLAY_WINDOW_BITS)
		memset(member->seen, 0, sizeof(member->seen));
	else
		for (next = member->highest + 1; next <= sequence; next++)
			member->seen[next % GH_REPLAY_WINDOW_BITS /
				     WORD_BITS] &= ~(1ULL << next % WORD_BITS);
	member->highest = sequence;
}

static domain_position_t position_in_domain(const gh_document_t *doc,
					    gh_handle_t entry)
{
	domain_position_t position = { 0 };
	size_t i;

	for (i = 0; i < doc->n_entries; i++) {
		if (doc->entries[i].domain != doc->entries[entry].domain ||
		    doc->entries[i].state == GH_HOST_GONE)
			continue;
		if (i < entry)
			position.index++;
		position.n_hosts++;
	}
	return position;
}

static size_t count_entries(const gh_document_t *doc)
{
	size_t n = 0;
	size_t i;

	for (i = 0; i < doc->n_entries; i++)
		n += doc->entries[i].state != GH_HOST_GONE;
	return n;
}

/*
 * Whether self is the one that sends heartbeats in a pair of hosts.  The parity
 * of the sum of both handles spreads this role evenly over the hosts.
 */
static bool is_sender(gh_handle_t self, gh_handle_t other)
{
	return (self + other) % 2 ? self > other : self < other;
}

/*
 * Whether self sends a regular heartbeat to another host on a tick.  Heartbeats
 * to hosts of other domains are spread over GH_OTHER_DOMAIN_TICKS ticks.
 */
static bool is_due(const gh_document_t *doc, gh_handle_t self,
		   gh_handle_t other, uint64_t tick)
{
	bool same_domain =
		doc->entries[self].domain == doc->entries[other].domain;

	if (other == self || doc->entries[other].state == GH_HOST_GONE ||
	    !is_sender(self, other))
		return false;
	if (!same_domain && (tick + other) % GH_OTHER_DOMAIN_TICKS != 0)
		return false;
	return same_domain || gh_domain_paired(doc, self, other);
}

/*
 * Picks a host that exchanges no regular heartbeats with self, in round-robin
 * order.
 */
static gh_handle_t pick_unpaired(const gh_document_t *doc, gh_handle_t self,
				 uint64_t round)
{
	gh_handle_t found = GH_HANDLE_NONE;
	size_t n = 0;
	size_t i;
	int pass;

	/*
	 * The first pass counts the hosts that self is not paired with, the
	 * second one picks one of them.
	 */
	for (pass = 0; pass < 2; pass++) {
		uint64_t skip = n ? round % n : 0;

		for (i = 0; i < doc->n_entries; i++) {
			if (doc->entries[i].state == GH_HOST_GONE ||
			    gh_domain_paired(doc, self, (gh_handle_t)i))
				continue;
			if (pass == 0)
				n++;
			else if (skip-- == 0)
				found = (gh_handle_t)i;
		}
	}
	return found;
}
