/**
 * @file authority.h
 * Whether the store confirms that this host still owns a cell. Pure: the ages are passed in.
 */
#ifndef IV_AUTHORITY_H
#define IV_AUTHORITY_H

#include <glib.h>

/** What the store has confirmed. All values in ms, including time suspended. */
struct iv_confirmation
{
  gint64 membership_age_ms; /**< since the last confirmed join request was sent */
  gint64 member_for_ms;     /**< since when this host has been a member without a lapse */
  gint64 claims_age_ms;     /**< since the last read of all claims was sent */
  gint64 member_ttl_ms;     /**< a member silent for this long is removed */
};

/** How long ago the store last confirmed the owner: it was a member, and no claim was newer. A
 *  member that was removed and has joined again is not confirmed before it has read the claims. */
gint64 iv_confirmation_age_ms (const struct iv_confirmation *confirmation);

/** Whether no other host can own the cell: the membership has not lapsed, and the claims were read
 *  since it began. */
gboolean iv_confirmation_is_current (const struct iv_confirmation *confirmation);

#endif
