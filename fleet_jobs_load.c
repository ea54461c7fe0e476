/*
 * Text form of a shard's load; see fleet_jobs.h.
 */
#include "fleet_jobs_private.h"

#include <inttypes.h>
#include <stdio.h>
#include <string.h>

#include "error.h"
#include "log.h"

static bool parse_room(const char *word, gh_room_t *room, GError **err);
static bool parse_amount(const char *text, int64_t *amount);

char *fleet_jobs_load_format(const char *owner, const gh_shard_load_t *load)
{
	GString *text = g_string_new(owner);
	uint32_t i;

	g_string_append_printf(
		text, " %" PRId64 " %" PRId64 " %" PRId64 " %" PRId64,
		load->total.cores_milli, load->total.memory_mb,
		load->long_running.cores_milli, load->long_running.memory_mb);
	for (i = 0; i < load->n_rooms; i++)
		g_string_append_printf(text, " %s:%" PRId64 ":%" PRId64,
				       load->rooms[i].service,
				       load->rooms[i].free.cores_milli,
				       load->rooms[i].free.memory_mb);
	gh_waits_append(&load->waits, text);
	return g_string_free(text, FALSE);
}

bool fleet_jobs_load_parse(const char *text, const char *owner,
			   gh_shard_load_t *load)
{
	size_t len = strlen(owner);
	int end = 0;
	char **words;
	size_t i;

	*load = (gh_shard_load_t){ 0 };
	if (strncmp(text, owner, len) != 0 || text[len] != ' ' ||
	    sscanf(text + len,
		   "%" SCNd64 " %" SCNd64 " %" SCNd64 " %" SCNd64 "%n",
		   &load->total.cores_milli, &load->total.memory_mb,
		   &load->long_running.cores_milli,
		   &load->long_running.memory_mb, &end) != 4)
		return false;
	words = g_strsplit(text + len + end, " ", -1);
	for (i = 0; words[i]; i++) {
		GError *err = NULL;

		if (!*words[i] || gh_waits_parse(&load->waits, words[i]) ||
		    load->n_rooms == GH_ROOMS_MAX)
			continue;
		if (parse_room(words[i], &load->rooms[load->n_rooms], &err)) {
			load->n_rooms++;
			continue;
		}
		log_event(LOG_WARN, "load_unread", "owner", owner, "message",
			  err->message, NULL);
		g_error_free(err);
	}
	g_strfreev(words);
	return true;
}

static bool parse_room(const char *word, gh_room_t *room, GError **err)
{
	char **fields = g_strsplit(word, ":", -1);
	bool ok = g_strv_length(fields) == 3 && *fields[0] &&
		  g_strlcpy(room->service, fields[0], sizeof(room->service)) <
			  sizeof(room->service) &&
		  parse_amount(fields[1], &room->free.cores_milli) &&
		  parse_amount(fields[2], &room->free.memory_mb);

	if (!ok)
		gh_error_set(err, GH_E_SYNTAX,
			     "cannot parse \"%.64s\" in a shard's load: "
			     "expected \"SERVICE:CORES:MEMORY\"",
			     word);
	g_strfreev(fields);
	return ok;
}

static bool parse_amount(const char *text, int64_t *amount)
{
	gint64 value;

	if (!g_ascii_string_to_signed(text, 10, 0, INT64_MAX, &value, NULL))
		return false;
	*amount = value;
	return true;
}
