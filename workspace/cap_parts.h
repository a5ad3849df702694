/**
 * @file cap_parts.h
 * The part of each workspace's cap that one cell may use.
 *
 * Cells hold fractions of each cap that add up to one, and give them to each other (escrow, O'Neil
 * 1986; demarcation protocol, Barbara and Garcia-Molina 1992). Each cell records how much it has
 * given to each other cell in total. A giver lowers its own limit before its record is queued, and
 * a receiver uses a grant once it has read the record, so the fractions in use never add up to more
 * than one, whichever records a cell has read. The module does no I/O and reads no clock.
 */
#ifndef IV_CAP_PARTS_H
#define IV_CAP_PARTS_H

#include "cap_rows.h"

/** What a workspace may have running in a cell. */
struct iv_cap_limit
{
  gboolean limited;           /**< FALSE: no limit at all */
  struct iv_resources max;    /**< -1 in a resource: no limit for it */
  gboolean may_exceed_by_one; /**< the last task may exceed the limit */
};

/** A record to be stored. */
struct iv_cap_change
{
  const char *workspace;
  char *value;               /**< of the record */
  gint64 fraction;           /**< of this cell, after what it gives */
  gint64 given;              /**< by this record */
  guint receiver;            /**< cell that gets the most of it */
  gint64 need;               /**< as in the record */
  gint64 ticket;             /**< as in the record */
  struct iv_cap_limit limit; /**< of this cell from now on */
};

/** Called with a record that is to be queued now. */
typedef void (*iv_cap_change_fn) (void *context, const struct iv_cap_change *change);

/** The parts of one cell, while this process owns it. */
struct iv_cap_parts;

/** Create the parts of @a cell of @a cells. Every record up to the claim of the cell was applied to
 *  @a rows, which outlive the parts. What a cell that is silent for @a silence_ms has running has
 *  ended. */
struct iv_cap_parts *iv_cap_parts_new (const struct iv_cap_rows *rows, guint cell, guint cells,
                                       gint64 silence_ms);
void iv_cap_parts_free (struct iv_cap_parts *parts);

/** Take the caps of a configuration; @a workspaces NULL: there are none. */
void iv_cap_parts_configure (struct iv_cap_parts *parts, const struct iv_workspaces *workspaces,
                             gint64 version, gint64 now_ms);

/** What @a workspace may have running in this cell. */
void iv_cap_parts_limit (const struct iv_cap_parts *parts, const char *workspace,
                         struct iv_cap_limit *limit, gint64 now_ms);

/** What @a workspace uses, and wants beyond its limit, at the moment of the next step. */
void iv_cap_parts_set_demand (struct iv_cap_parts *parts, const char *workspace,
                              const struct iv_resources *used, const struct iv_resources *wanted);

/** Decide what to give and to ask for; a workspace without a demand since the last step has none.
 *  The limits are lowered when this calls @a emit. Returns whether a limit has risen. */
gboolean iv_cap_parts_step (struct iv_cap_parts *parts, gint64 now_ms, iv_cap_change_fn emit,
                            void *context);

/** Outcome of the record of @a workspace: IV_OK; IV_ERR_UNAVAILABLE, nothing was stored; any other,
 *  it may be stored. */
void iv_cap_parts_stored (struct iv_cap_parts *parts, const char *workspace,
                          enum iv_status outcome);

/** Fraction of the cap of @a workspace that this cell holds. */
gint64 iv_cap_parts_fraction (const struct iv_cap_parts *parts, const char *workspace);

#endif
