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

#define CONFIG_HISTORY 8 /* documents kept, as bases of patches and diffs */

struct config {
	node_t *node;
	http_client_t *http;
	char *key;	      /* of the document in the store */
	char peer_digest[65]; /* HMAC that authenticates calls to peers */
	bool started;
	pthread_t store_thread;
	pthread_t peer_thread;
	pthread_mutex_t propose_lock; /* serialises this host's proposals */
	pthread_mutex_t lock;	      /* of the members below */
	pthread_cond_t wake;
	bool stop;
	char hint_entry[GH_NAME_MAX + 1]; /* peer that reports a newer one */
	uint64_t hint_generation;
	char failed_entry[GH_NAME_MAX + 1]; /* hints ignored for a while */
	gh_time_t failed_until;		    /* CLOCK_BOOTTIME */
	GRand *random;
	gh_document_t *history[CONFIG_HISTORY]; /* ring; NULL: unused */
	unsigned n_history;			/* documents ever added */
};

/* The document that was read from the store. */
typedef struct config_stored {
	uint64_t version;    /* STORE_ABSENT if the key is missing */
	uint64_t generation; /* 0 if the key is missing or has no stamp */
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
 * Fetches the document from an entry host and puts it in force; from the seeds
 * if none is in force yet.
 */
bool config_fetch_entry(config_t *config, const char *entry);

/* Fetches from the seeds, in order, until a document is put in force. */
bool config_fetch_seeds(config_t *config);

/* Finds a document in the history.  Returns a new reference, or NULL. */
gh_document_t *config_find_document(config_t *config, uint64_t generation);

/* Waits until a time on CLOCK_BOOTTIME or until config_stop(). */
void config_pause_until(config_t *config, gh_time_t until);

#endif
