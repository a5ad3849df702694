#include "membership.h"

#include "clock.h"
#include "event.h"

#include <string.h>

#define GROUP "cells"
#define JOIN_EVERY_MS 300
#define CALL_TIMEOUT_MS 900
#define LEAVE_TIMEOUT_MS 500
#define RESERVE_BELOW_MILLI 200 /* of a core: an owner of 66 workers takes up to 77 */
#define RESERVE_FIRST_MS 2500   /* larger hosts join before */
#define RESERVE_EVERY_MS 2000   /* calls are priced */
#define RESERVE_MARK "/reserve" /* at the end of a small host's name as a member */
#define OVERLOAD_TIMES 2 /* a host goes on with a cell of twice the size that it should have */
#define MEMBERS_LEAST 3  /* one may fail while another is stopped */

struct iv_membership
{
  struct iv_membership_links links;
  struct iv_deadline next;
  char *name;
  guint64 partitions;
  gint64 generation;
  gint64 confirmed_boot_ms;
  gint64 sent_ms;
  gint64 sent_boot_ms;
  guint wanted;
  gboolean small;     /* stays in reserve while it can */
  gboolean reserve;   /* in reserve: not a member */
  gint64 count_at_ms; /* when to count the members next */
  gboolean counting;
  gboolean joining;
  gboolean left;
};

static gint64
now_of (const struct iv_membership *membership)
{
  return (gint64)uv_now (membership->links.loop);
}

static void
next_after (struct iv_membership *membership, gint64 delay_ms)
{
  iv_deadline_set (membership->links.deadlines, &membership->next, now_of (membership) + delay_ms);
}

static void
on_joined (void *context, const struct iv_store_membership *answer)
{
  struct iv_membership *membership = context;
  membership->joining = FALSE;
  if (membership->left)
    return;
  next_after (membership, MAX (0, membership->sent_ms + JOIN_EVERY_MS - now_of (membership)));
  if (answer->outcome != IV_STORE_OK || membership->reserve)
    return;
  membership->generation = answer->generation;
  membership->partitions = answer->partitions;
  membership->confirmed_boot_ms = membership->sent_boot_ms;
  membership->links.confirmed (membership->links.context);
}

static void
join (struct iv_membership *membership)
{
  if (membership->joining)
    return;
  membership->joining = TRUE;
  membership->sent_ms = now_of (membership);
  membership->sent_boot_ms = iv_clock_boot_ms ();
  iv_store_join (membership->links.store, GROUP, membership->name,
                 membership->links.settings->member_ttl_ms, membership->generation,
                 membership->sent_ms + CALL_TIMEOUT_MS, on_joined, membership);
}

/* Members that hold something, each once; all of them, or those that are not small. */
static guint
count_members (const GPtrArray *members, gboolean only_large)
{
  GHashTable *set = g_hash_table_new (g_str_hash, g_str_equal);
  guint count;
  for (guint i = 0; i < members->len; i++)
    {
      const char *name = g_ptr_array_index (members, i);
      if (!only_large || !g_str_has_suffix (name, RESERVE_MARK))
        g_hash_table_add (set, (gpointer)name);
    }
  count = g_hash_table_size (set);
  g_hash_table_destroy (set);
  return count;
}

static void
call_in (struct iv_membership *membership, guint members)
{
  iv_event (IV_LEVEL_INFO, "member.called_in", "members=%u wanted=%u", members, membership->wanted);
  membership->reserve = FALSE;
  join (membership);
}

static void
stand_down (struct iv_membership *membership, guint large)
{
  iv_event (IV_LEVEL_INFO, "member.stood_down", "large=%u", large);
  membership->reserve = TRUE;
  membership->partitions = 0;
  membership->links.stood_down (membership->links.context);
  iv_store_leave (membership->links.store, GROUP, membership->name,
                  now_of (membership) + LEAVE_TIMEOUT_MS);
}

/* A small host joins while there are too few members, and leaves once large ones suffice. */
static void
on_counted (void *context, const GPtrArray *members)
{
  struct iv_membership *membership = context;
  membership->counting = FALSE;
  if (membership->left || members == NULL)
    return;
  if (membership->reserve && count_members (members, FALSE) < membership->wanted)
    call_in (membership, count_members (members, FALSE));
  else if (!membership->reserve && count_members (members, TRUE) >= membership->wanted)
    stand_down (membership, count_members (members, TRUE));
}

static void
count (struct iv_membership *membership)
{
  if (membership->counting || now_of (membership) < membership->count_at_ms)
    return;
  membership->counting = TRUE;
  membership->count_at_ms
      = now_of (membership) + RESERVE_EVERY_MS + g_random_int_range (0, RESERVE_EVERY_MS / 2);
  iv_membership_list (membership, on_counted, membership);
}

static void
on_next (void *context)
{
  struct iv_membership *membership = context;
  if (membership->joining || membership->left)
    return;
  if (membership->small)
    count (membership);
  if (membership->reserve)
    next_after (membership, JOIN_EVERY_MS);
  else
    join (membership);
}

struct iv_membership *
iv_membership_new (const struct iv_membership_links *links)
{
  struct iv_membership *membership = g_new0 (struct iv_membership, 1);
  membership->links = *links;
  membership->small = links->settings->cpu_milli < RESERVE_BELOW_MILLI;
  membership->reserve = membership->small;
  membership->name = g_strdup_printf ("%s-%08x%s", links->host, g_random_int (),
                                      membership->small ? RESERVE_MARK : "");
  membership->wanted = MEMBERS_LEAST;
  membership->next.fire = on_next;
  membership->next.context = membership;
  next_after (membership, membership->reserve
                              ? RESERVE_FIRST_MS + g_random_int_range (0, RESERVE_EVERY_MS)
                              : 0);
  return membership;
}

const char *
iv_membership_name (const struct iv_membership *membership)
{
  return membership->name;
}

gboolean
iv_membership_holds (const struct iv_membership *membership, guint cell)
{
  return cell < 64 && (membership->partitions >> cell & 1);
}

gint64
iv_membership_generation (const struct iv_membership *membership)
{
  return membership->generation;
}

gint64
iv_membership_unconfirmed_ms (const struct iv_membership *membership)
{
  return iv_clock_boot_ms () - membership->confirmed_boot_ms;
}

void
iv_membership_expect (struct iv_membership *membership, guint cells, guint workers)
{
  const struct iv_fleet_settings *settings = membership->links.settings;
  gint64 carried = settings->cpu_milli * settings->workers_per_core / 1000;
  membership->wanted = workers <= carried * OVERLOAD_TIMES ? MAX (MEMBERS_LEAST, cells) : 1;
}

void
iv_membership_list (struct iv_membership *membership, iv_store_members_done done, void *context)
{
  iv_store_members (membership->links.store, GROUP, now_of (membership) + CALL_TIMEOUT_MS, done,
                    context);
}

void
iv_membership_leave (struct iv_membership *membership)
{
  if (membership->left)
    return;
  membership->left = TRUE;
  iv_deadline_unset (membership->links.deadlines, &membership->next);
  if (!membership->reserve)
    iv_store_leave (membership->links.store, GROUP, membership->name,
                    now_of (membership) + LEAVE_TIMEOUT_MS);
}
