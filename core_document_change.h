/*
 * Differences between two documents, and which operator may make them.
 */
#ifndef CORE_DOCUMENT_CHANGE_H
#define CORE_DOCUMENT_CHANGE_H

#define GH_DOCUMENT_POLICY "policy"
#define GH_DOCUMENT_PLATFORM "platform" /* operator of the whole platform */

/* The name in a group "<keyword> <name>", or NULL for another keyword. */
const char *gh_document_group_name(const char *group, const char *keyword);

#endif
