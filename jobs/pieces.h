/**
 * @file pieces.h
 * Pieces of capacity: what one worker each has left for a task that must fit there as a whole.
 */
#ifndef IV_PIECES_H
#define IV_PIECES_H

#include <glib.h>

/** Largest pieces of a cell that its load record names. */
#define IV_PIECES_MAX 8

/** Capacity of one worker, or the need of one task. */
struct iv_piece
{
  gint64 cpu_milli; /**< cores, in thousandths */
  gint64 mem_mb;    /**< memory, in MiB */
};

/** Number of tasks with need @a need that @a pieces (struct iv_piece) hold. */
guint iv_pieces_count (const GArray *pieces, const struct iv_piece *need);

/** Take @a need from the piece of @a pieces that has the fewest cores among those that hold it.
 * FALSE when none does. */
gboolean iv_pieces_take (GArray *pieces, const struct iv_piece *need);

/** Keep the @a max pieces of @a pieces with the most cores, in descending order. */
void iv_pieces_keep_largest (GArray *pieces, guint max);

/** Append @a pieces to @a text: each a space, its cores and its memory with a colon between. */
void iv_pieces_format (const GArray *pieces, GString *text);

/** Parse the output of iv_pieces_format(), up to IV_PIECES_MAX pieces and up to the first that is
 *  malformed. Free with g_array_unref(). */
GArray *iv_pieces_parse (const char *text);

#endif
