/**
 * @file authority.h
 * Whether the store confirms that a host still owns a cell, and when another may replace it. Pure:
 * the ages are passed in.
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

/** How long an owner may act on an old confirmation, in ms. */
struct iv_confirmation_limits
{
  gint64 timeout_ms;
  gint64 partition_timeout_ms; /**< while it is probably partitioned from its workers too */
};

/** Whether an owner may renew leases and start tasks. One that may not is suspended: it keeps what
 *  it knows, and may act again once no other host can own the cell. */
gboolean iv_confirmation_permits (const struct iv_confirmation *confirmation,
                                  const struct iv_confirmation_limits *limits, gboolean suspended,
                                  gboolean partitioned);

/** What the list of members tells about the process that claimed a cell. */
enum iv_owner_presence
{
  IV_OWNER_PRESENT, /**< a member, or it may be about to join again */
  IV_OWNER_MISSING, /**< it no longer keeps its membership */
  IV_OWNER_ENDED    /**< a later process of its host is a member */
};

/** Look for member @a owner among @a members (of `const char *`), of which the caller has been one
 *  for @a member_for_ms. The store may drop all memberships at once: then a missing member proves
 *  nothing until sound hosts have had the time to join again. Member names are the host's name, a
 *  dash and a suffix of the process. */
enum iv_owner_presence iv_authority_find_owner (const GPtrArray *members, const char *owner,
                                                gint64 member_for_ms);

#endif
