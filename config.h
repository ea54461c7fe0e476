/*
 * Propagation of the operators' document: follows it in the store and at the
 * peers, and accepts new documents from operators.
 *
 * Rules:
 * - A generation is the wall clock in milliseconds when the document is
 *   accepted, or the highest known generation plus one if that is larger.  So
 *   no generation is used twice after the store was restored from an older
 *   copy, unless a clock was set back by as much; documents_clashing counts
 *   such documents.
 * - A host applies a document only if its generation is higher than that in
 *   force, whatever its source.
 * - Heartbeats carry the generation, and hosts fetch the changes from each
 *   other.  After a change in the store, a host reads the store only if no
 *   peer has sent a newer document within CONFIG_PEER_GRACE_MS.
 * - A host that finds an older document in the store writes its own back, by
 *   compare-and-swap on the version that it read.
 * - A proposal is refused unless at least half of the entry hosts, this one
 *   included, have just reported their generation and none has a higher one.
 *   The operator gets the reply once more than half of the hosts in the new
 *   document, and more than half of those in the old one, have the generation,
 *   or after CONFIG_CONFIRM_TIMEOUT_MS.  Both majorities make sure that the
 *   next proposal reaches a host with the document even if the store has lost
 *   it.
 */
#ifndef CONFIG_H
#define CONFIG_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#include <glib.h>

typedef struct node node_t;
typedef struct config config_t;

#define CONFIG_CONFIRM_TIMEOUT_MS 3000
#define CONFIG_PEER_GRACE_MS 400

config_t *config_new(node_t *node);

/* Starts the threads; the first document is put in force asynchronously. */
bool config_start(config_t *config, GError **err);
void config_stop(config_t *config);
void config_free(config_t *config);

/*
 * Notes that a peer reports a generation; if it is newer, a thread fetches the
 * document.  Does no network calls.
 */
void config_note_generation(config_t *config, const char *entry,
			    uint64_t generation);

/*
 * Returns what a peer with generation have needs to get the document in force:
 * a patch, or the whole text if have is 0 or no longer kept here.  Returns
 * NULL if no document is in force.  Freed with g_free().
 */
char *config_update_for_peer(node_t *node, uint64_t have, uint64_t *generation);

/* Hexadecimal HMAC-SHA256 of a text by the peer key; freed with g_free(). */
char *config_digest(const node_t *node, const char *text);

/*
 * Puts a new document in force on all hosts, in place of generation
 * expect_generation (0: none).  A stamp at the head of the text is replaced.
 * Sets *generation on success.  If another generation is in force, fails with
 * GH_E_CONCURRENT_CHANGE and sets *generation to it and *diff to what has
 * changed since expect_generation (freed with g_free()); *diff has the whole
 * document if that generation is not kept any more.  After GH_E_STORE_UNKNOWN
 * the document may yet come into force, as *generation.
 */
bool config_propose(node_t *node, const char *text, uint64_t expect_generation,
		    const char *operator_name, uint64_t *generation,
		    char **diff, GError **err);

#endif
