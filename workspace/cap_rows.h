/**
 * @file cap_rows.h
 * Records of what cells have given to each other of the caps of workspaces, and ask for.
 */
#ifndef IV_CAP_ROWS_H
#define IV_CAP_ROWS_H

#include "workspaces.h"

#define IV_CAP_CELLS_MAX 24   /**< cells */
#define IV_CAP_NAMES_MAX 8192 /**< workspaces whose records are kept */
#define IV_CAP_WHOLE                                                                               \
  G_GINT64_CONSTANT (1000000000) /**< a fraction of one; fractions are integers of this unit */

/** Record of a cell and a workspace. */
struct iv_cap_row
{
  gint64 version;                 /**< of the configuration that the cell knew */
  struct iv_resources cap;        /**< in that configuration; -1: no limit */
  struct iv_resources over;       /**< what it runs above its part since the cap was lowered */
  gint64 need;                    /**< fraction that it asks for in all; 0: it asks for nothing */
  gint64 ticket;                  /**< its place among cells that nothing fits in; 0: none */
  gint64 beat;                    /**< counts repeated requests: one that is not repeated expires */
  guint cells;                    /**< entries of `given` */
  gint64 given[IV_CAP_CELLS_MAX]; /**< to each cell, in total */
};

/** Format the value of the record of @a workspace. Free with g_free(). */
char *iv_cap_row_format (const char *workspace, const struct iv_cap_row *row);

/** Parse the value of a record. @a workspace is to be freed with g_free(). IV_ERR_INVALID with a
 *  last message when it is malformed. */
enum iv_status iv_cap_row_parse (const char *value, gsize len, struct iv_cap_row *row,
                                 char **workspace);

/** What follows the number of the cell and a slash in the key of a record. Free with g_free(). */
char *iv_cap_digest (const char *workspace);

/** Newest records of all cells and workspaces, as read. */
struct iv_cap_rows;

struct iv_cap_rows *iv_cap_rows_new (void);
void iv_cap_rows_free (struct iv_cap_rows *rows);

/** Apply the record of @a cell with the key's @a digest. IV_ERR_INVALID when it is malformed and
 *  IV_ERR_LIMIT when there are too many workspaces, with a last message; the last valid record
 *  stays. */
enum iv_status iv_cap_rows_apply (struct iv_cap_rows *rows, guint cell, const char *digest,
                                  const char *value, gsize len, gint64 now_ms);

/** Number of records applied. */
guint64 iv_cap_rows_applied (const struct iv_cap_rows *rows);

#endif
