/*
 * When an owner hands its shard over because its host is too small for it, and
 * who takes the shard then.
 *
 * Hosts do not talk to each other, so what they need to know of one another is
 * in the shard's chain record: the cores of the largest host that has owned the
 * shard, and the last hand-over.  An owner whose decisions come late hands the
 * shard over if a larger host is known.  A host that has no more capacity than
 * the giver leaves the shard to others for a while, then takes it all the same.
 * The pause between two hand-overs of a shard doubles.
 */
#ifndef CORE_HANDOVER_H
#define CORE_HANDOVER_H

#include <glib.h>
#include <stdbool.h>
#include <stdint.h>

#include "core_time.h"

/* For how long a giver leaves the shard to others. */
#define GH_HANDOVER_LEAVE_USEC (3 * GH_USEC_PER_SEC)
/* For how long a host that is no larger than the giver does. */
#define GH_HANDOVER_STEP_BACK_USEC GH_USEC_PER_SEC

typedef struct gh_handover {
	/* Cores of the largest host known to have owned the shard; 0: none. */
	uint32_t cores_max;
	/* Capacity of the giver until the next claim; 0: not handed over. */
	uint32_t giver;
	gh_time_t pause; /* length of the last pause; 0: none */
	gh_time_t pause_end;
	/* Capacity and time at the last check of this owner; 0: none. */
	uint32_t capacity;
	gh_time_t checked_at;
	bool is_late;
	/* For how long the owner has been late on end, and behind as well. */
	gh_time_t late, behind;
} gh_handover_t;

/* What an owner measures of itself. */
typedef struct gh_handover_check {
	uint32_t capacity;	 /* host's cores / its shards, in thousandths */
	gh_time_t tick_gap;	 /* mean time between two decisions */
	gh_time_t planned_since; /* when the oldest was planned; 0: none */
} gh_handover_check_t;

/* Takes over what a chain record that was just read tells. */
void gh_handover_read(gh_handover_t *handover, const char *chain,
		      gh_time_t now);
/* Appends to a chain record what it has to tell. */
void gh_handover_tell(const gh_handover_t *handover, GString *chain,
		      gh_time_t now);

/* Whether a host is to leave the shard to larger ones first. */
bool gh_handover_steps_back(const gh_handover_t *handover, uint32_t capacity);
/* Notes that a host with these cores claims the shard. */
void gh_handover_claim(gh_handover_t *handover, uint32_t cores,
		       uint32_t capacity, gh_time_t now);

/* Whether the owner is to hand the shard over now. */
bool gh_handover_is_due(gh_handover_t *handover,
			const gh_handover_check_t *check, gh_time_t now);
/* Notes that the owner releases the shard. */
void gh_handover_give(gh_handover_t *handover, gh_time_t now);
/* Notes that the release has failed. */
void gh_handover_keep(gh_handover_t *handover);

#endif
