/*
 * Creates small documents for the tests of the scheduling core.
 */
#ifndef DOC_H
#define DOC_H

#include "core_document.h"

/*
 * Returns a document with the given generation and entry hosts.  entries holds
 * "NAME@DOMAIN" or "NAME@DOMAIN:STATE", separated by single blanks; the
 * default state is active.
 *
 * The document has the departments left (guarantee 50 %, limit 100 %) and
 * right (guarantee 25 %, limit 50 %); the services fast (left, 10 ms), slow
 * (left, 1000 ms), batch (left, class batch, 100 ms) and other (right, 10 ms);
 * and the executors e1, e2 and e3 with 8 slots each in domain d1.
 *
 * extra is text to append to the document, or NULL.  Fails the test when the
 * document is invalid.
 */
gh_document_t *doc_make(uint64_t generation, const char *entries,
			const char *extra);

/* Returns the handle of an entry host; fails the test when it is unknown. */
gh_handle_t doc_entry(const gh_document_t *doc, const char *name);

#endif
