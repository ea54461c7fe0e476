#include "shard_log.h"

#include <inttypes.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "error.h"

/* Number of keys in the ring that holds the log's segments. */
#define RING_SLOTS 1024
/* A snapshot is due after this many segments, or bytes, since the last one. */
#define COMPACT_THRESHOLD_SEGMENTS 800 /* must be less than RING_SLOTS */
#define COMPACT_THRESHOLD_BYTES 262144
#define PART_MAX_BYTES 400000 /* max text in one key of a snapshot */
#define SNAPSHOT_MAX_PARTS 64
/* Sets of snapshot keys; a new snapshot goes to the set not in use. */
#define SNAPSHOT_SETS 2
#define PART_MAX_TRIES 3

/* A segment whose write has not been confirmed yet. */
typedef struct pending {
	char *text; /* NULL when no write is pending */
	/*
	 * The segment names a new snapshot, described by the next two members.
	 */
	bool names_snapshot;
	unsigned snapshot_set;
	uint64_t snapshot_segment;
} pending_t;

struct shard_log {
	store_t *store;
	char *prefix;
	char writer[GH_NAME_MAX + 1];
	uint64_t incarnation;
	/* Number of headers written; makes each stored value unique. */
	uint64_t sequence;
	uint64_t last_segment;
	uint64_t max_epoch; /* highest epoch read from the store */
	/*
	 * Last segment that a check, made after a later segment was written,
	 * still found in the store.
	 */
	uint64_t verified_segment;
	uint64_t snapshot_segment; /* last segment that the snapshot includes */
	unsigned snapshot_set;	   /* index of the key set with the snapshot */
	size_t segment_bytes;	   /* size of all segments after the snapshot */
	pending_t pending;
	uint64_t slot_versions[RING_SLOTS]; /* store version of each ring key */
	uint64_t part_versions[SNAPSHOT_SETS][SNAPSHOT_MAX_PARTS];
};

/* Decoded header lines of a stored value. */
typedef struct header {
	uint64_t segment;
	uint64_t epoch;
	uint64_t snapshot_segment;
	unsigned snapshot_set;
	/* Number of the snapshot's parts; 0: the header names no snapshot. */
	unsigned snapshot_parts;
} header_t;

typedef struct segment {
	header_t header;
	const store_value_t *value;
} segment_t;

typedef bool (*on_line_t)(void *ctx, const char *text, GError **err);

static GArray *collect_segments(shard_log_t *log, const GPtrArray *values);
static bool read_header(const char *text, header_t *header);
static int compare_segments(const void *a, const void *b);
static bool read_snapshot(shard_log_t *log, const GPtrArray *values,
			  const header_t *header, on_line_t on_line, void *ctx,
			  GError **err);
static bool read_segments(shard_log_t *log, const GArray *segments,
			  on_line_t on_line, void *ctx, GError **err);
static bool for_each_line(const char *text, on_line_t on_line, void *ctx,
			  GError **err);
static char *format_header(shard_log_t *log, uint64_t segment, uint64_t epoch,
			   const char *extra_lines);
static bool write_pending(shard_log_t *log, GError **err);
static bool verify_earlier_segments(shard_log_t *log, GError **err);
static bool verify_segment(shard_log_t *log, uint64_t segment, bool *replied,
			   GError **err);
static bool holds_pending_text(shard_log_t *log, const char *key,
			       uint64_t *version, GError **err);
static bool write_snapshot_part(shard_log_t *log, unsigned set, unsigned part,
				const char *text, GError **err);
static size_t find_part_end(const char *text, size_t from, size_t len);
static bool fail_incomplete(const shard_log_t *log, const char *what,
			    GError **err);

shard_log_t *shard_log_new(const shard_log_setup_t *setup)
{
	shard_log_t *log = g_new0(shard_log_t, 1);

	log->store = setup->store;
	log->prefix = g_strdup(setup->prefix);
	g_strlcpy(log->writer, setup->writer, sizeof(log->writer));
	log->incarnation = setup->incarnation;
	return log;
}

void shard_log_free(shard_log_t *log)
{
	if (!log)
		return;
	g_free(log->pending.text);
	g_free(log->prefix);
	g_free(log);
}

bool shard_log_load(shard_log_t *log, on_line_t on_line, void *ctx,
		    GError **err)
{
	char *prefix = g_strconcat(log->prefix, "/", NULL);
	GPtrArray *values = NULL;
	header_t snapshot = { .snapshot_parts = 0 };
	GArray *segments;
	bool ok;
	guint i;

	ok = log->store->ops->list(log->store, prefix, &values, err);
	g_free(prefix);
	if (!ok)
		return false;
	/*
	 * The text of an unconfirmed write names the segment that was the next
	 * one before this read.
	 */
	g_clear_pointer(&log->pending.text, g_free);
	segments = collect_segments(log, values);
	for (i = 0; i < segments->len; i++) {
		const segment_t *s = &g_array_index(segments, segment_t, i);

		if (s->header.snapshot_parts)
			snapshot = s->header;
	}
	log->verified_segment = log->last_segment;
	log->snapshot_segment = snapshot.snapshot_segment;
	log->snapshot_set = snapshot.snapshot_set;
	log->segment_bytes = 0;
	if (snapshot.snapshot_parts)
		ok = read_snapshot(log, values, &snapshot, on_line, ctx, err);
	ok = ok && read_segments(log, segments, on_line, ctx, err);
	g_array_free(segments, TRUE);
	g_ptr_array_unref(values);
	return ok;
}

uint64_t shard_log_max_epoch(const shard_log_t *log)
{
	return log->max_epoch;
}

bool shard_log_append(shard_log_t *log, uint64_t epoch, const char *records,
		      GError **err)
{
	bool retries_append = log->pending.text && !log->pending.names_snapshot;
	char *head;

	/*
	 * Writes the unconfirmed segment again, unchanged: if an earlier try
	 * took effect, the stored value equals it and is recognised as this
	 * log's own.
	 */
	if (log->pending.text && !write_pending(log, err))
		return false;
	if (retries_append)
		return verify_earlier_segments(log, err);
	head = format_header(log, log->last_segment + 1, epoch, "");
	log->pending = (pending_t){
		.text = g_strconcat(head, records, NULL),
	};
	g_free(head);
	return write_pending(log, err) && verify_earlier_segments(log, err);
}

bool shard_log_verify(shard_log_t *log, GError **err)
{
	bool replied;

	return !log->last_segment ||
	       verify_segment(log, log->last_segment, &replied, err) ||
	       !replied;
}

bool shard_log_needs_snapshot(const shard_log_t *log)
{
	return log->last_segment - log->snapshot_segment >=
		       COMPACT_THRESHOLD_SEGMENTS ||
	       log->segment_bytes >= COMPACT_THRESHOLD_BYTES;
}

bool shard_log_compact(shard_log_t *log, uint64_t epoch, const char *snapshot,
		       GError **err)
{
	unsigned set = (log->snapshot_set + 1) % SNAPSHOT_SETS;
	uint64_t snapshot_segment = log->last_segment;
	size_t len = strlen(snapshot);
	size_t from = 0;
	unsigned parts = 0;
	char *extra_lines;
	bool ok = true;

	while (ok && from < len) {
		size_t end = find_part_end(snapshot, from, len);
		char *head = format_header(log, snapshot_segment, epoch, "");
		char *body = g_strndup(snapshot + from, end - from);
		char *text = g_strconcat(head, body, NULL);

		ok = write_snapshot_part(log, set, parts++, text, err);
		g_free(text);
		g_free(body);
		g_free(head);
		from = end;
	}
	if (!ok)
		return false;
	extra_lines = g_strdup_printf(
		"# snapshot set=%u parts=%u covers=%" PRIu64 "\n", set, parts,
		snapshot_segment);
	log->pending = (pending_t){
		.text = format_header(log, log->last_segment + 1, epoch,
				      extra_lines),
		.names_snapshot = true,
		.snapshot_set = set,
		.snapshot_segment = snapshot_segment,
	};
	g_free(extra_lines);
	return write_pending(log, err);
}

bool shard_log_restore(shard_log_t *log, uint64_t epoch, const char *snapshot,
		       GError **err)
{
	char *prefix = g_strconcat(log->prefix, "/", NULL);
	GPtrArray *values = NULL;
	uint64_t own_last_segment = log->last_segment;
	GArray *segments;
	bool ok = log->store->ops->list(log->store, prefix, &values, err);

	g_free(prefix);
	if (!ok)
		return false;
	segments = collect_segments(log, values);
	g_array_free(segments, TRUE);
	g_ptr_array_unref(values);
	log->last_segment = MAX(log->last_segment, own_last_segment);
	log->verified_segment = log->last_segment;
	if (log->max_epoch > epoch) {
		gh_error_set(err, GH_E_CONFLICT,
			     "a newer owner has written to shard log %s",
			     log->prefix);
		return false;
	}
	g_free(log->pending.text);
	log->pending.text = NULL;
	return shard_log_compact(log, epoch, snapshot, err);
}

/*
 * Records the store version of each key of the ring; returns the segments read,
 * sorted by number.
 */
static GArray *collect_segments(shard_log_t *log, const GPtrArray *values)
{
	GArray *segments = g_array_new(FALSE, FALSE, sizeof(segment_t));
	size_t prefix_len = strlen(log->prefix);
	guint i;

	memset(log->slot_versions, 0, sizeof(log->slot_versions));
	memset(log->part_versions, 0, sizeof(log->part_versions));
	log->last_segment = 0;
	log->max_epoch = 0;
	for (i = 0; i < values->len; i++) {
		const store_value_t *value = g_ptr_array_index(values, i);
		segment_t s = { .value = value };
		unsigned index;
		unsigned part;

		if (sscanf(value->key + prefix_len, "/snap/%u/%u", &index,
			   &part) == 2 &&
		    index < SNAPSHOT_SETS && part < SNAPSHOT_MAX_PARTS) {
			log->part_versions[index][part] = value->version;
		} else if (sscanf(value->key + prefix_len, "/log/%u", &index) ==
				   1 &&
			   index < RING_SLOTS &&
			   read_header(value->text, &s.header)) {
			log->slot_versions[index] = value->version;
			log->last_segment =
				MAX(log->last_segment, s.header.segment);
			log->max_epoch = MAX(log->max_epoch, s.header.epoch);
			g_array_append_val(segments, s);
		}
	}
	g_array_sort(segments, compare_segments);
	return segments;
}

static bool read_header(const char *text, header_t *header)
{
	const char *second_line;

	memset(header, 0, sizeof(*header));
	if (sscanf(text,
		   "# writer=%*s incarnation=%*u sequence=%*u epoch=%" SCNu64
		   " segment=%" SCNu64,
		   &header->epoch, &header->segment) != 2)
		return false;
	second_line = strchr(text, '\n');
	if (second_line &&
	    sscanf(second_line + 1,
		   "# snapshot set=%u parts=%u covers=%" SCNu64,
		   &header->snapshot_set, &header->snapshot_parts,
		   &header->snapshot_segment) != 3)
		header->snapshot_parts = 0;
	return true;
}

static int compare_segments(const void *a, const void *b)
{
	const segment_t *left = a;
	const segment_t *right = b;

	return (left->header.segment > right->header.segment) -
	       (left->header.segment < right->header.segment);
}

static bool read_snapshot(shard_log_t *log, const GPtrArray *values,
			  const header_t *header, on_line_t on_line, void *ctx,
			  GError **err)
{
	unsigned part;

	for (part = 0; part < header->snapshot_parts; part++) {
		char *key = g_strdup_printf("%s/snap/%u/%02u", log->prefix,
					    header->snapshot_set, part);
		const store_value_t *found = NULL;
		header_t part_header;
		guint i;

		for (i = 0; i < values->len; i++) {
			const store_value_t *v = g_ptr_array_index(values, i);

			if (!strcmp(v->key, key))
				found = v;
		}
		g_free(key);
		if (!found || !read_header(found->text, &part_header) ||
		    part_header.segment != header->snapshot_segment)
			return fail_incomplete(log, "snapshot", err);
		if (!for_each_line(found->text, on_line, ctx, err))
			return false;
	}
	return true;
}

static bool read_segments(shard_log_t *log, const GArray *segments,
			  on_line_t on_line, void *ctx, GError **err)
{
	uint64_t next_segment = log->snapshot_segment + 1;
	guint i;

	for (i = 0; i < segments->len; i++) {
		const segment_t *s = &g_array_index(segments, segment_t, i);

		if (s->header.segment <= log->snapshot_segment)
			continue;
		if (s->header.segment != next_segment++)
			return fail_incomplete(log, "segments", err);
		log->segment_bytes += strlen(s->value->text);
		if (!for_each_line(s->value->text, on_line, ctx, err))
			return false;
	}
	return true;
}

static bool for_each_line(const char *text, on_line_t on_line, void *ctx,
			  GError **err)
{
	char **lines = g_strsplit(text, "\n", -1);
	bool ok = true;
	size_t i;

	for (i = 0; ok && lines[i]; i++)
		ok = on_line(ctx, lines[i], err);
	g_strfreev(lines);
	return ok;
}

static char *format_header(shard_log_t *log, uint64_t segment, uint64_t epoch,
			   const char *extra_lines)
{
	return g_strdup_printf("# writer=%s incarnation=%" PRIu64
			       " sequence=%" PRIu64 " epoch=%" PRIu64
			       " segment=%" PRIu64 "\n%s",
			       log->writer, log->incarnation, ++log->sequence,
			       epoch, segment, extra_lines);
}

static bool write_pending(shard_log_t *log, GError **err)
{
	pending_t *pending = &log->pending;
	uint64_t segment = log->last_segment + 1;
	unsigned slot = (unsigned)(segment % RING_SLOTS);
	char *key = g_strdup_printf("%s/log/%04u", log->prefix, slot);
	uint64_t version = 0;
	GError *cause = NULL;
	bool ok = store_put_confirm(log->store, key, pending->text,
				    log->slot_versions[slot], 0, &version,
				    &cause);

	if (!ok && gh_error_kind(cause) == GH_E_CONFLICT) {
		g_clear_error(&cause);
		ok = holds_pending_text(log, key, &version, &cause);
	}
	g_free(key);
	if (!ok) {
		g_propagate_error(err, cause);
		return false;
	}
	log->slot_versions[slot] = version;
	log->last_segment = segment;
	log->segment_bytes += strlen(pending->text);
	if (pending->names_snapshot) {
		log->snapshot_set = pending->snapshot_set;
		log->snapshot_segment = pending->snapshot_segment;
		log->segment_bytes = 0;
	}
	g_free(pending->text);
	pending->text = NULL;
	return true;
}

/*
 * Checks that the segments before the last one are still in the store, where no
 * earlier check has done so.  A store restored from an older copy accepts new
 * segments but lacks the ones before them.  If the store does not reply, a
 * later call checks again.
 */
static bool verify_earlier_segments(shard_log_t *log, GError **err)
{
	bool replied = true;

	while (replied && log->verified_segment + 1 < log->last_segment) {
		if (verify_segment(log, log->verified_segment + 1, &replied,
				   err))
			log->verified_segment++;
		else if (replied)
			return false;
	}
	return true;
}

/*
 * Checks that a segment still has the version that this log wrote.  Sets
 * *replied to whether the store replied; sets GH_E_CONFLICT only if it did.
 */
static bool verify_segment(shard_log_t *log, uint64_t segment, bool *replied,
			   GError **err)
{
	unsigned slot = (unsigned)(segment % RING_SLOTS);
	char *key = g_strdup_printf("%s/log/%04u", log->prefix, slot);
	store_value_t value = { .version = STORE_ABSENT };
	GError *cause = NULL;
	bool unchanged;

	*replied = log->store->ops->get(log->store, key, &value, &cause) ||
		   gh_error_kind(cause) == GH_E_NOT_FOUND;
	unchanged = *replied && value.version == log->slot_versions[slot];
	if (*replied && !unchanged)
		gh_error_set(
			err, GH_E_CONFLICT,
			"store key %s no longer holds what this owner wrote",
			key);
	g_clear_error(&cause);
	store_value_clear(&value);
	g_free(key);
	return unchanged;
}

/*
 * Tells whether the key holds the text of the unconfirmed segment, that is,
 * whether a write whose reply was lost took effect.  GH_E_CONFLICT when it
 * holds another text.
 */
static bool holds_pending_text(shard_log_t *log, const char *key,
			       uint64_t *version, GError **err)
{
	store_value_t value = { .version = 0 };
	bool holds_text;

	if (!log->store->ops->get(log->store, key, &value, err))
		return false;
	holds_text = !strcmp(value.text, log->pending.text);
	*version = value.version;
	store_value_clear(&value);
	if (!holds_text)
		gh_error_set(err, GH_E_CONFLICT,
			     "store key %s was written by another owner", key);
	return holds_text;
}

/*
 * Writes one part of a snapshot to the key set that is not in use.  A previous
 * owner may have written parts of that set since the log was read, so a
 * conflict is resolved by reading the key's version and writing again.  From
 * then on, the previous owner's writes to the key fail.
 */
static bool write_snapshot_part(shard_log_t *log, unsigned set, unsigned part,
				const char *text, GError **err)
{
	char *key = g_strdup_printf("%s/snap/%u/%02u", log->prefix, set, part);
	uint64_t *version = &log->part_versions[set][part];
	GError *cause = NULL;
	bool ok = false;
	int i;

	for (i = 0; !ok && i < PART_MAX_TRIES; i++) {
		store_value_t value = { .version = 0 };

		g_clear_error(&cause);
		ok = store_put_confirm(log->store, key, text, *version, 0,
				       version, &cause);
		if (ok || gh_error_kind(cause) != GH_E_CONFLICT)
			break;
		if (log->store->ops->get(log->store, key, &value, NULL))
			*version = value.version;
		store_value_clear(&value);
	}
	g_free(key);
	if (!ok)
		g_propagate_error(err, cause);
	return ok;
}

/*
 * End of the snapshot part that starts at offset from: after the last newline
 * within PART_MAX_BYTES, or at PART_MAX_BYTES when there is none.
 */
static size_t find_part_end(const char *text, size_t from, size_t len)
{
	size_t end = from + PART_MAX_BYTES;

	if (end >= len)
		return len;
	while (end > from && text[end - 1] != '\n')
		end--;
	return end > from ? end : from + PART_MAX_BYTES;
}

static bool fail_incomplete(const shard_log_t *log, const char *what,
			    GError **err)
{
	gh_error_set(err, GH_E_SYNTAX, "incomplete %s in shard log %s", what,
		     log->prefix);
	return false;
}
