/*
 * State that the parts of the running daemon share.
 */
#ifndef NODE_H
#define NODE_H

#include <pthread.h>
#include <stdatomic.h>
#include <stdbool.h>

#include "config.h"
#include "console.h"
#include "core_document.h"
#include "front.h"
#include "peer.h"
#include "recorder.h"
#include "settings.h"
#include "shard.h"
#include "store.h"

struct node {
	settings_t *settings;
	store_t *store;
	config_t *config;
	peer_t *peer;
	front_t *front;
	shard_set_t *shards;
	console_t *console;
	/* Recorder of the trace; NULL when none is recorded. */
	recorder_t *recorder;
	/* Time when the process started, on CLOCK_BOOTTIME. */
	gh_time_t started;
	_Atomic bool draining;
	pthread_mutex_t apply_lock; /* held while document is replaced */
	/* Document in force, read under RCU; NULL until one is known. */
	gh_document_t *document;
};

/*
 * Initialises a node and creates its store client; the caller creates the other
 * parts of the node.
 */
void node_init(node_t *node, settings_t *settings);

/*
 * Frees the store client and the document of a node; the caller frees the other
 * parts of the node before.
 */
void node_clear(node_t *node);

/*
 * The document in force, or NULL until one is known.  The caller drops the
 * reference with gh_document_unref().  Takes no lock.
 */
gh_document_t *node_document(node_t *node);

/*
 * Puts a document in force if its generation is higher than that of the one
 * in force, and returns whether it did.  Takes over the caller's reference.
 */
bool node_apply_document(node_t *node, gh_document_t *doc);

/*
 * A key of the store: the prefix of the settings, a slash and the formatted
 * rest.  The caller frees it with g_free().
 */
char *node_store_key(const node_t *node, const char *fmt, ...)
	__attribute__((format(printf, 2, 3)));

/* Generation of the document in force, or 0 until one is known. */
uint64_t node_generation(node_t *node);

/* Whether the daemon is draining, as it does before it exits. */
bool node_is_draining(const node_t *node);

/* Requests a graceful shutdown, by SIGTERM to this process. */
void node_request_drain(node_t *node);

#endif
