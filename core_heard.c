#include "core_heard.h"

#include <glib.h>

void gh_heard_note(gh_heard_t *heard, uint64_t revision, gh_time_t at)
{
	heard->changes[heard->next] =
		(gh_heard_change_t){ .revision = revision, .at = at };
	heard->next = (heard->next + 1) % GH_HEARD_MAX;
}

gh_time_t gh_heard_at(const gh_heard_t *heard, uint64_t revision)
{
	gh_time_t at = 0;
	size_t i;

	for (i = 0; i < GH_HEARD_MAX; i++) {
		const gh_heard_change_t *change = &heard->changes[i];

		if (change->revision && change->revision >= revision)
			at = at ? MIN(at, change->at) : change->at;
	}
	return at;
}
