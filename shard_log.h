/*
 * Write-ahead log of one shard, kept in the key-value service.
 *
 * Each commit is a numbered segment in a ring of keys.  It is written by
 * compare-and-swap on the version that the writer last saw of the key, so the
 * writes of a previous owner fail once a new owner has written.  A snapshot, in
 * separate keys, replaces all segments before it; it takes effect when the
 * segment that names it is written.
 */
#ifndef SHARD_LOG_H
#define SHARD_LOG_H

#include <stdbool.h>
#include <stdint.h>

#include <glib.h>

#include "core_document.h"
#include "store.h"

typedef struct shard_log shard_log_t;

typedef struct shard_log_setup {
	store_t *store;
	const char *prefix; /* start of the log's keys, no trailing slash */
	const char *writer; /* this host's name */
	uint64_t incarnation;
} shard_log_setup_t;

shard_log_t *shard_log_new(const shard_log_setup_t *setup);
void shard_log_free(shard_log_t *log);

/*
 * Reads the snapshot and the segments after it and passes every line, header
 * lines with a leading # included, to on_line; stops when that returns false.
 * GH_E_SYNTAX: a segment or a part of the snapshot is missing.
 */
bool shard_log_load(shard_log_t *log,
		    bool (*on_line)(void *ctx, const char *text, GError **err),
		    void *ctx, GError **err);

/* Highest epoch found in the log when it was last read. */
uint64_t shard_log_max_epoch(const shard_log_t *log);

/*
 * Appends one segment.  GH_E_CONFLICT: another owner has written, or the store
 * was restored from an older copy.  After GH_E_STORE_DOWN or _UNKNOWN the
 * caller must call again with the same records.
 */
bool shard_log_append(shard_log_t *log, uint64_t epoch, const char *records,
		      GError **err);

/*
 * Checks that the last segment is still in the store; GH_E_CONFLICT when it is
 * not.  Succeeds when the store does not reply.
 */
bool shard_log_verify(shard_log_t *log, GError **err);

/*
 * Whether the segments since the last snapshot are so many or so large that a
 * new snapshot is due.
 */
bool shard_log_needs_snapshot(const shard_log_t *log);

/* Writes a snapshot of the state after the last appended segment. */
bool shard_log_compact(shard_log_t *log, uint64_t epoch, const char *snapshot,
		       GError **err);

/*
 * Writes the whole state again after the store was restored from an older copy.
 * The snapshot must include all records, also those never appended.
 * GH_E_CONFLICT: the store holds a higher epoch, or another owner wrote at the
 * same time.
 */
bool shard_log_restore(shard_log_t *log, uint64_t epoch, const char *snapshot,
		       GError **err);

#endif
