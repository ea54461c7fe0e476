/*
 * Membership of entry hosts: which messages are accepted from a host, which
 * hosts exchange heartbeats, and which are considered alive.
 *
 * A live host that is considered failed keeps its leases and credits: these
 * end by their own deadlines only.
 */
#ifndef CORE_DOMAIN_H
#define CORE_DOMAIN_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#include "core_document.h"

/* Size of the replay window: max reordering, in sequence numbers. */
#define GH_REPLAY_WINDOW_BITS 4096
/* Up to this number of entry hosts, all exchange heartbeats with each other. */
#define GH_FULL_MESH_MAX_HOSTS 12
/* Ticks from one heartbeat to the next to a host of another domain. */
#define GH_OTHER_DOMAIN_TICKS 2

/* State of the messages received from one entry host. */
typedef struct gh_member {
	char name[GH_NAME_MAX + 1];
	/* incarnation of the host; 0: no message was received yet */
	uint64_t incarnation;
	/* highest sequence number received of this incarnation */
	uint64_t highest;
	/*
	 * Bit n % GH_REPLAY_WINDOW_BITS: the message with sequence number n was
	 * received.
	 */
	uint64_t seen[GH_REPLAY_WINDOW_BITS / 64];
	gh_time_t last_received; /* time of the last accepted message */
} gh_member_t;

typedef enum gh_accept {
	/* accepted; from the known incarnation of the host */
	GH_ACCEPT_FRESH,
	/* accepted; first message of a higher incarnation */
	GH_ACCEPT_RESTARTED,
	/* refused: received before, or below the replay window */
	GH_ACCEPT_REPLAYED,
	GH_ACCEPT_STALE /* refused: from a lower incarnation */
} gh_accept_t;

/*
 * Decides whether to accept an authenticated message, and records it if so.
 * Replayed and stale messages change nothing.
 */
gh_accept_t gh_member_accept(gh_member_t *member, uint64_t incarnation,
			     uint64_t sequence, gh_time_t now);

/*
 * Whether a host counts as alive: the last message accepted from it is at most
 * suspect_ms old.  For a host of another domain, which sends heartbeats less
 * often, GH_OTHER_DOMAIN_TICKS heartbeat intervals are added to suspect_ms.
 */
bool gh_member_alive(const gh_member_t *member, const gh_policy_t *policy,
		     bool other_domain, gh_time_t now);

/*
 * Whether two entry hosts exchange heartbeats regularly.  Hosts of the same
 * domain do, and so does each host with the host in every other domain that
 * has its own index, modulo the number of hosts there.  Up to
 * GH_FULL_MESH_MAX_HOSTS, all pairs do.
 */
bool gh_domain_paired(const gh_document_t *doc, gh_handle_t a, gh_handle_t b);

/*
 * Stores the hosts to which self sends a heartbeat on a tick; there is one tick
 * every heartbeat_ms.  In each pair of hosts only one sends; the reply carries
 * the other's heartbeat.  Every GH_OTHER_DOMAIN_TICKS ticks, one host that
 * exchanges no regular heartbeats with self is added, in turn.  Returns the
 * number of hosts stored, at most n.
 */
size_t gh_domain_heartbeat_targets(const gh_document_t *doc, gh_handle_t self,
				   uint64_t tick, gh_handle_t *hosts, size_t n);

#endif
