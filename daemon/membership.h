/**
 * @file membership.h
 * This host as a candidate for owning cells: a member of one group of the store, which deals its
 * partitions among the members. Whoever holds the partition of a cell may replace its owner.
 *
 * A small host stays in reserve: it joins while there are too few members, and goes back once large
 * ones suffice.
 */
#ifndef IV_MEMBERSHIP_H
#define IV_MEMBERSHIP_H

#include "deadlines.h"
#include "settings.h"
#include "store.h"

/** Called after each answer of the store that confirmed this member. */
typedef void (*iv_membership_confirmed_fn) (void *context);

/** What it uses of its process. */
struct iv_membership_deps
{
  uv_loop_t *loop;
  struct iv_deadlines *deadlines;
  struct iv_store *store;
  const char *host;
  const struct iv_fleet_settings *settings;
  void *context;
  iv_membership_confirmed_fn confirmed;
  void (*entered_standby) (void *context); /**< back in reserve: hand over whatever is owned */
};

/** One life of this host as a member. */
struct iv_membership;

struct iv_membership *iv_membership_new (const struct iv_membership_deps *deps);

/** Name of this life; no other has it. */
const char *iv_membership_name (const struct iv_membership *membership);

/** Whether this host held the partition of @a cell when it was last confirmed. */
gboolean iv_membership_holds_cell (const struct iv_membership *membership, guint cell);

/** Newest number of the group; it grows with every change of its members. */
gint64 iv_membership_generation (const struct iv_membership *membership);

/** Milliseconds, time of suspension included, since the newest join that the store confirmed was
 *  sent: others replace a member that is silent for longer than its time to live. */
gint64 iv_membership_unconfirmed_ms (const struct iv_membership *membership);

/** The fleet has @a cells of @a workers each. A small host that can carry one joins while there are
 *  fewer members than cells; one that cannot, only while there are none. */
void iv_membership_set_fleet_size (struct iv_membership *membership, guint cells, guint workers);

/** Read all members that hold something. */
void iv_membership_list (struct iv_membership *membership, iv_store_members_done done,
                         void *context);

/** Leave for good. */
void iv_membership_leave (struct iv_membership *membership);

#endif
