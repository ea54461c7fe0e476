#include "fleet_tries.h"

#include <glib.h>
#include <string.h>

/* In place of the replies that don't fit. */
#define CUT_TEXT ", ..."

void fleet_tries_add(fleet_tries_t *tries, const char *reply)
{
	char entry[FLEET_TRIES_TEXT_MAX];

	if (!reply)
		reply = "none";
	if (g_str_has_suffix(tries->text, CUT_TEXT))
		return;
	if (tries->repeats && !strcmp(tries->last, reply)) {
		tries->repeats++;
		g_snprintf(entry, sizeof(entry), "%ux %s", tries->repeats,
			   reply);
	} else {
		if (tries->repeats)
			g_strlcat(tries->text, ", ", sizeof(tries->text));
		tries->last_at = strlen(tries->text);
		tries->repeats = 1;
		g_strlcpy(tries->last, reply, sizeof(tries->last));
		g_strlcpy(entry, reply, sizeof(entry));
	}
	tries->text[tries->last_at] = '\0';
	if (tries->last_at + strlen(entry) + sizeof(CUT_TEXT) >
	    sizeof(tries->text))
		g_strlcat(tries->text, "...", sizeof(tries->text));
	else
		g_strlcat(tries->text, entry, sizeof(tries->text));
}

const char *fleet_tries_text(const fleet_tries_t *tries)
{
	return *tries->text ? tries->text : "-";
}
