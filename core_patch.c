#include "core_patch.h"

#include <inttypes.h>
#include <stdbool.h>
#include <stdio.h>
#include <string.h>

#include "core_document.h"
#include "error.h"

#define DIGEST_HEX_LEN 64

/* One group of a document's text: from its "[" up to the next group. */
typedef struct group {
	const char *text; /* not NUL-terminated */
	size_t len;	  /* bytes of text */
} group_t;

/* Successive groups of the base text that one "copy" line of a patch copies. */
typedef struct copy_range {
	size_t first;
	size_t count;
} copy_range_t;

static GArray *split_groups(const char *text);
static GHashTable *index_groups(const GArray *groups);
static void flush_copy(GString *patch, copy_range_t *range);
static guint group_hash(gconstpointer key);
static gboolean group_equal(gconstpointer a, gconstpointer b);
static bool apply_line(const GArray *groups, const char **pos, GString *out);
static bool copy_groups(const GArray *groups, size_t first, size_t count,
			GString *out);
static char *compute_digest(const char *text, size_t len);

char *gh_patch_make(const char *base_text, uint64_t base, const char *new_text,
		    uint64_t generation)
{
	GArray *old = split_groups(base_text);
	GArray *new = split_groups(new_text);
	GHashTable *base_groups = index_groups(old);
	GString *patch = g_string_new(NULL);
	char *digest = compute_digest(new_text, strlen(new_text));
	copy_range_t range = { 0 };
	guint i;

	g_string_append_printf(patch, "patch %" PRIu64 " %" PRIu64 " %s\n",
			       base, generation, digest);
	for (i = 0; i < new->len; i++) {
		const group_t *group = &g_array_index(new, group_t, i);
		const group_t *found = g_hash_table_lookup(base_groups, group);
		size_t index =
			found ? (size_t)(found - (group_t *)old->data) : 0;

		if (!found || index != range.first + range.count)
			flush_copy(patch, &range);
		if (!found) {
			g_string_append_printf(patch, "text %zu\n", group->len);
			g_string_append_len(patch, group->text,
					    (gssize)group->len);
			continue;
		}
		if (!range.count)
			range.first = index;
		range.count++;
	}
	flush_copy(patch, &range);
	g_free(digest);
	g_hash_table_unref(base_groups);
	g_array_unref(old);
	g_array_unref(new);
	return g_string_free(patch, FALSE);
}

char *gh_patch_apply(const char *base_text, uint64_t base, const char *patch,
		     GError **err)
{
	char digest[DIGEST_HEX_LEN + 1] = "";
	GArray *groups = split_groups(base_text);
	GString *out = g_string_new(NULL);
	uint64_t patch_base = 0;
	uint64_t generation = 0;
	const char *pos = patch;
	char *out_digest = NULL;
	int consumed = 0;
	bool ok;

	ok = sscanf(pos, "patch %" SCNu64 " %" SCNu64 " %64[0-9a-f]%n",
		    &patch_base, &generation, digest, &consumed) == 3 &&
	     pos[consumed] == '\n' && patch_base == base;
	if (ok)
		pos += consumed + 1;
	while (ok && *pos)
		ok = apply_line(groups, &pos, out);
	if (ok)
		out_digest = compute_digest(out->str, out->len);
	g_array_unref(groups);
	if (out_digest && !strcmp(out_digest, digest)) {
		g_free(out_digest);
		return g_string_free(out, FALSE);
	}
	g_free(out_digest);
	g_string_free(out, TRUE);
	gh_error_set(err, GH_E_SYNTAX,
		     "patch cannot be applied to generation %" PRIu64, base);
	return NULL;
}

/*
 * Splits a document's text into its groups; returns an array of group_t that
 * point into the text.
 */
static GArray *split_groups(const char *text)
{
	GArray *groups = g_array_new(FALSE, FALSE, sizeof(group_t));

	for (;;) {
		const char *next =
			g_str_has_prefix(text, "[") ? text + 1 : text;
		const char *end = strstr(next, "\n[");
		group_t group = { .text = text };

		group.len = end ? (size_t)(end + 1 - text) : strlen(text);
		g_array_append_val(groups, group);
		if (!end)
			return groups;
		text = end + 1;
	}
}

/* Returns a hash table of the groups, which are compared by their text. */
static GHashTable *index_groups(const GArray *groups)
{
	GHashTable *base_groups = g_hash_table_new(group_hash, group_equal);
	guint i;

	for (i = 0; i < groups->len; i++) {
		group_t *group = &g_array_index(groups, group_t, i);

		g_hash_table_insert(base_groups, group, group);
	}
	return base_groups;
}

/*
 * Writes the "copy" line for the pending range of groups, if any, to the patch.
 */
static void flush_copy(GString *patch, copy_range_t *range)
{
	if (range->count)
		g_string_append_printf(patch, "copy %zu %zu\n", range->first,
				       range->count);
	range->count = 0;
}

/*
 * Hashes a group's text by djb2, as g_str_hash() does, but for text that is not
 * NUL-terminated.
 */
static guint group_hash(gconstpointer key)
{
	const group_t *group = key;
	guint hash = 5381;
	size_t i;

	for (i = 0; i < group->len; i++)
		hash = hash * 33 + (guchar)group->text[i];
	return hash;
}

static gboolean group_equal(gconstpointer a, gconstpointer b)
{
	const group_t *x = a;
	const group_t *y = b;

	return x->len == y->len && !memcmp(x->text, y->text, x->len);
}

/*
 * Applies one line of a patch, with the text that follows a "text" line, and
 * moves *pos past both.
 */
static bool apply_line(const GArray *groups, const char **pos, GString *out)
{
	size_t first;
	size_t count;
	int consumed = 0;

	if (sscanf(*pos, "copy %zu %zu%n", &first, &count, &consumed) == 2 &&
	    (*pos)[consumed] == '\n') {
		*pos += consumed + 1;
		return copy_groups(groups, first, count, out);
	}
	if (sscanf(*pos, "text %zu%n", &count, &consumed) != 1 ||
	    (*pos)[consumed] != '\n' || strlen(*pos + consumed + 1) < count ||
	    out->len + count > GH_DOCUMENT_MAX)
		return false;
	*pos += consumed + 1;
	g_string_append_len(out, *pos, (gssize)count);
	*pos += count;
	return true;
}

static bool copy_groups(const GArray *groups, size_t first, size_t count,
			GString *out)
{
	size_t i;

	if (first > groups->len || count > groups->len - first)
		return false;
	for (i = first; i < first + count; i++) {
		const group_t *group = &g_array_index(groups, group_t, i);

		if (out->len + group->len > GH_DOCUMENT_MAX)
			return false;
		g_string_append_len(out, group->text, (gssize)group->len);
	}
	return true;
}

static char *compute_digest(const char *text, size_t len)
{
	return g_compute_checksum_for_data(G_CHECKSUM_SHA256,
					   (const guchar *)text, len);
}
