/**
 * @file cap_private.h
 * Records of parts of caps as the modules that read and decide on them see them.
 */
#ifndef IV_CAP_PRIVATE_H
#define IV_CAP_PRIVATE_H

#include "cap_rows.h"

#define IV_CAP_AMOUNT_MAX (G_MAXINT64 / 64) /**< sums over all cells do not overflow */
#define IV_CAP_RESOURCES 3                  /**< fields of struct iv_resources */

/** Records of one workspace. */
struct iv_cap_name_rows
{
  char *name;
  struct iv_cap_row *cells[IV_CAP_CELLS_MAX]; /**< NULL: none was read */
  gint64 applied_ms[IV_CAP_CELLS_MAX];
};

/** Records of all workspaces. */
struct iv_cap_rows
{
  GHashTable *by_name; /**< to struct iv_cap_name_rows */
  guint64 applied;
};

/** The amount of resource @a index, from 0 to IV_CAP_RESOURCES - 1, to be set and to be read. */
gint64 *iv_cap_amount_at (struct iv_resources *amounts, guint index);
gint64 iv_cap_amount (const struct iv_resources *amounts, guint index);

/** Records of the workspace @a name, which is added when it is new; NULL when there are too many.
 */
struct iv_cap_name_rows *iv_cap_rows_get (const struct iv_cap_rows *rows, const char *name);

#endif
