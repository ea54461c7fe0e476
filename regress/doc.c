#include "doc.h"

#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <cmocka.h>
#include <inttypes.h>
#include <string.h>

static const char base_document[] = "[policy]\n"
				    "request_max_ms=2000\n"
				    "queue_max=20\n"
				    "long_slots_percent=50\n"
				    "[department left]\n"
				    "weight=1\n"
				    "guarantee_percent=50\n"
				    "limit_percent=100\n"
				    "jobs_max=100\n"
				    "[department right]\n"
				    "weight=1\n"
				    "guarantee_percent=25\n"
				    "limit_percent=50\n"
				    "jobs_max=100\n"
				    "[service fast]\n"
				    "department=left\n"
				    "class=latency\n"
				    "expected_ms=10\n"
				    "[service slow]\n"
				    "department=left\n"
				    "class=latency\n"
				    "expected_ms=1000\n"
				    "[service batch]\n"
				    "department=left\n"
				    "class=batch\n"
				    "expected_ms=100\n"
				    "[service other]\n"
				    "department=right\n"
				    "class=latency\n"
				    "expected_ms=10\n";

static void add_entries(GString *text, const char *entries);
static void add_executors(GString *text);

gh_document_t *doc_make(uint64_t generation, const char *entries,
			const char *extra)
{
	GString *text = g_string_new(base_document);
	GError *err = NULL;
	gh_document_t *doc;

	add_entries(text, entries);
	add_executors(text);
	if (extra)
		g_string_append(text, extra);
	doc = gh_document_parse(text->str, text->len, generation, &err);
	if (!doc)
		fail_msg("invalid test document: %s", err->message);
	g_string_free(text, TRUE);
	return doc;
}

gh_handle_t doc_entry(const gh_document_t *doc, const char *name)
{
	gh_handle_t entry = gh_document_entry(doc, name);

	assert_int_not_equal(entry, GH_HANDLE_NONE);
	return entry;
}

static void add_entries(GString *text, const char *entries)
{
	char **entry_specs = g_strsplit(entries, " ", -1);
	GHashTable *domains = g_hash_table_new(g_str_hash, g_str_equal);
	size_t i;

	for (i = 0; entry_specs[i]; i++) {
		char *domain = strchr(entry_specs[i], '@');
		char *state;

		*domain++ = '\0';
		state = strchr(domain, ':');
		if (state)
			*state++ = '\0';
		if (g_hash_table_add(domains, domain))
			g_string_append_printf(text, "[domain %s]\nregion=r\n",
					       domain);
		g_string_append_printf(text,
				       "[entry %s]\ndomain=%s\n"
				       "address=127.0.9.%zu\n"
				       "front_port=8080\nconsole_port=8081\n"
				       "peer_port=8082\nstate=%s\n",
				       entry_specs[i], domain, i + 1,
				       state ? state : "active");
	}
	g_hash_table_unref(domains);
	g_strfreev(entry_specs);
}

static void add_executors(GString *text)
{
	int i;

	for (i = 1; i <= 3; i++)
		g_string_append_printf(text,
				       "[executor e%d]\ndomain=d1\n"
				       "address=127.0.8.%d:9000\nslots=8\n"
				       "connections=64\nstate=active\n",
				       i, i);
}
