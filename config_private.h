/*
 * Shared by config.c, which follows the document in force, and
 * config_propose.c, which accepts new documents from operators.
 */
#ifndef CONFIG_PRIVATE_H
#define CONFIG_PRIVATE_H

#include <pthread.h>

#include "config.h"
#include "http_client.h"
#include "node.h"

/* Number of documents kept in memory, as bases of patches and diffs. */
#define CONFIG_HISTORY 8

struct config {
	node_t *node;
	http_client_t *http;
	char *key; /* key of the document in the store */
	/* HMAC, in hexadecimal, that authenticates calls to peers. */
	char peer_digest[65];
	bool started;
	pthread_t store_thread;
	pthread_t peer_thread;
	/* Allows only one proposal at a time on this host. */
	pthread_mutex_t propose_lock;
	pthread_mutex_t lock; /* protects the members below */
	pthread_cond_t wake;
	bool stop;
	/* Peer that last reported a newer document. */
	char hint_entry[GH_NAME_MAX + 1];
	uint64_t hint_generation;
	/*
	 * Peer whose hints are ignored until failed_until, since a fetch from
	 * it failed.
	 */
	char failed_entry[GH_NAME_MAX + 1];
	/* Time on CLOCK_BOOTTIME up to which failed_entry is ignored. */
	gh_time_t failed_until;
	GRand *random;
	/*
	 * Ring buffer of past documents and the one in force; NULL: unused
	 * entry.
	 */
	gh_document_t *history[CONFIG_HISTORY];
	unsigned n_history; /* number of documents ever added to history */
};

/* The document that was read from the store. */
typedef struct config_stored {
	/*
	 * Version of the key in the store; STORE_ABSENT if the key is missing.
	 */
	uint64_t version;
	/*
	 * Generation of the document; 0 if the key is missing or has no stamp.
	 */
	uint64_t generation;
} config_stored_t;

/*
 * Reads the document from the store and puts it in force if it is newer.  A
 * missing key is no error.
 */
bool config_read_store(config_t *config, config_stored_t *stored, GError **err);

/*
 * Puts a text in force if it has a stamp with a higher generation and is
 * valid; source names its origin in the log.  Returns whether it did.
 */
bool config_adopt(config_t *config, const char *text, const char *source);

/*
 * Fetches the document from an entry host, or from the seeds if none is in
 * force yet, and puts it in force.  The seeds are the consoles of peers that
 * the settings list.
 */
bool config_fetch_entry(config_t *config, const char *entry);

/* Fetches a document from the seeds, in order, until one is put in force. */
bool config_fetch_seeds(config_t *config);

/* Finds a document in the history.  Returns a new reference, or NULL. */
gh_document_t *config_find_document(config_t *config, uint64_t generation);

/* Waits until a time on CLOCK_BOOTTIME or until config_stop(). */
void config_pause_until(config_t *config, gh_time_t until);

#endif
