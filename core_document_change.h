/*
 * Differences between two documents, and which operator may make them.
 */
#ifndef CORE_DOCUMENT_CHANGE_H
#define CORE_DOCUMENT_CHANGE_H

#define GH_DOCUMENT_POLICY "policy"
/* name of the operator of the whole platform */
#define GH_DOCUMENT_PLATFORM "platform"

/*
 * Returns the name in a group header "<keyword> <name>" of the document, or
 * NULL if the header has another keyword.
 */
const char *gh_document_group_name(const char *group, const char *keyword);

#endif
