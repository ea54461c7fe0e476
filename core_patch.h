/*
 * Patches between two generations of a document's text, so that a host with
 * the base receives only the groups that changed.  A patch consists of
 *
 *   patch BASE GENERATION SHA256   the generations of both texts, and the
 *                                  hexadecimal digest of the new text
 *   copy FIRST COUNT               copies COUNT groups of the base, beginning
 *                                  with index FIRST
 *   text LENGTH                    adds the LENGTH bytes that follow the line
 *
 * Groups are counted from 0.  The text above the first "[" counts as group 0;
 * a text that begins with "[" has no such part.
 */
#ifndef CORE_PATCH_H
#define CORE_PATCH_H

#include <stdint.h>

#include <glib.h>

/*
 * Returns a patch from base_text of generation base to new_text of the given
 * generation; freed with g_free().
 */
char *gh_patch_make(const char *base_text, uint64_t base, const char *new_text,
		    uint64_t generation);

/*
 * Returns the text that results from applying the patch to base_text, freed
 * with g_free().  Returns NULL with GH_E_SYNTAX if the patch is malformed, is
 * for another base generation, or if the digest of the result differs from that
 * in the patch.
 */
char *gh_patch_apply(const char *base_text, uint64_t base, const char *patch,
		     GError **err);

#endif
