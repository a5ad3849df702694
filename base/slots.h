/**
 * @file slots.h
 * A table of fixed-size rows addressed by small handles.
 *
 * A handle holds the row number and a generation, so that a handle of a freed row is refused
 * rather than resolved to the row's next user.
 */
#ifndef IV_SLOTS_H
#define IV_SLOTS_H

#include <glib.h>

#define IV_HANDLE_NONE 0u /**< never a valid handle */

/** The table. */
struct iv_slots;

/** Create a table of rows of @a row_size bytes with at most @a limit rows (2^20 at most). */
struct iv_slots *iv_slots_new (gsize row_size, guint limit);

/** Free the table. */
void iv_slots_free (struct iv_slots *slots);

/** Take a zeroed row. Returns its handle, or IV_HANDLE_NONE at the limit. */
guint32 iv_slots_take (struct iv_slots *slots);

/** Resolve @a handle; NULL when it is stale. The pointer lives until the next iv_slots_take(). */
gpointer iv_slots_row (const struct iv_slots *slots, guint32 handle);

/** Give the row of @a handle back. A stale handle is ignored. */
void iv_slots_give (struct iv_slots *slots, guint32 handle);

/** Rows in use. */
guint iv_slots_count (const struct iv_slots *slots);

/** Handle of the first row in use after @a handle (IV_HANDLE_NONE to begin), or IV_HANDLE_NONE. */
guint32 iv_slots_next (const struct iv_slots *slots, guint32 handle);

#endif
