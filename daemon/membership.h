/**
 * @file membership.h
 * Membership of this host in the group of hosts that can own cells. The store assigns the group's
 * partitions to its members; the holder of a cell's partition may replace the cell's owner.
 *
 * A host with little CPU is on standby: it joins while the group has too few members, and leaves
 * again once there are enough members with more CPU.
 */
#ifndef IV_MEMBERSHIP_H
#define IV_MEMBERSHIP_H

#include "deadlines.h"
#include "settings.h"
#include "store.h"

/** Called after each reply of the store that confirms this member. */
typedef void (*iv_membership_confirmed_fn) (void *context);

/** Dependencies; all outlive the membership. */
struct iv_membership_deps
{
  uv_loop_t *loop;
  struct iv_deadlines *deadlines;
  struct iv_store *store;
  const char *host; /**< name of this host */
  const struct iv_fleet_settings *settings;
  void *context;
  iv_membership_confirmed_fn confirmed;
  void (*entered_standby) (void *context); /**< on standby again: hand over all owned cells */
};

/** Membership of this process. */
struct iv_membership;

/** Whether a host with @a settings is small: on standby unless it is needed. */
gboolean iv_membership_is_small (const struct iv_fleet_settings *settings);

/** Join now, or start on standby if the host is small. */
struct iv_membership *iv_membership_new (const struct iv_membership_deps *deps);

/** Member name, unique to this process. */
const char *iv_membership_name (const struct iv_membership *membership);

/** Whether this host held the partition of @a cell when the store last confirmed it. */
gboolean iv_membership_holds_cell (const struct iv_membership *membership, guint cell);

/** Last known generation of the group, which grows with every change of its members. */
gint64 iv_membership_generation (const struct iv_membership *membership);

/** Time in ms, including time suspended, since the last confirmed join request was sent. Other
 *  hosts replace a member whose joins stop for longer than its time to live. */
gint64 iv_membership_unconfirmed_ms (const struct iv_membership *membership);

/** Time in ms, including time suspended, since this host became a member: since then no other host
 *  can have found it missing. 0 while it is not a member. */
gint64 iv_membership_member_ms (const struct iv_membership *membership);

/** Set the size of the fleet: @a cells with @a workers each. A small host that can manage such a
 *  cell joins while there are fewer members than cells; a smaller one only while there are none. */
void iv_membership_set_fleet_size (struct iv_membership *membership, guint cells, guint workers);

/** Request the members that hold a partition. */
void iv_membership_list (struct iv_membership *membership, iv_store_members_done done,
                         void *context);

/** Leave the group and do not join again. */
void iv_membership_leave (struct iv_membership *membership);

#endif
