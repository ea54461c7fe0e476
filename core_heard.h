/*
 * When this host first heard of the changes of a record in the store.  Hosts
 * have no clock in common, but a change precedes the time at which any of them
 * hears of it, so a time that one host tells relative to a change it has made
 * is not too early for the others.
 */
#ifndef CORE_HEARD_H
#define CORE_HEARD_H

#include <stddef.h>
#include <stdint.h>

#include "core_time.h"

/* Changes remembered; the oldest are forgotten. */
#define GH_HEARD_MAX 8

typedef struct gh_heard_change {
	uint64_t revision; /* 0: unused */
	gh_time_t at;
} gh_heard_change_t;

/* All zero: nothing was heard. */
typedef struct gh_heard {
	gh_heard_change_t changes[GH_HEARD_MAX];
	size_t next;
} gh_heard_t;

void gh_heard_note(gh_heard_t *heard, uint64_t revision, gh_time_t at);
/*
 * First known time at which the change of a revision or a later one was heard,
 * which is after the change; 0: neither was.
 */
gh_time_t gh_heard_at(const gh_heard_t *heard, uint64_t revision);

#endif
