#include "membership.h"

#include "clock.h"
#include "event.h"

#include <string.h>

#define GROUP "cells"
#define JOIN_INTERVAL_MS 300
#define CALL_TIMEOUT_MS 900
#define LEAVE_TIMEOUT_MS 500
#define STANDBY_BELOW_CPU_MILLI 200    /* an owner of 66 workers uses up to 77 milli-cores */
#define STANDBY_FIRST_COUNT_MS 2500    /* larger hosts have joined by then */
#define STANDBY_COUNT_INTERVAL_MS 2000 /* the platform charges for calls */
#define STANDBY_NAME_SUFFIX "/reserve" /* of the member name of a small host */
/* A host can manage this multiple of the workers that it is sized for. */
#define OVERLOAD_FACTOR 2
#define MEMBERS_MIN 3 /* so that one may fail while another is stopped */

struct iv_membership
{
  struct iv_membership_deps deps;
  struct iv_deadline next;
  char *name;
  guint64 partitions;
  gint64 generation;
  gint64 confirmed_boot_ms;
  gint64 member_since_boot_ms;
  gint64 sent_ms;
  gint64 sent_boot_ms;
  guint wanted_members;
  gboolean small;       /* on standby unless it is needed */
  gboolean standby;     /* not a member now */
  gint64 next_count_ms; /* when to count the members next */
  gboolean counting;
  gboolean joining;
  gboolean has_left;
};

static gint64
now_ms (const struct iv_membership *membership)
{
  return (gint64)uv_now (membership->deps.loop);
}

static void
schedule_next (struct iv_membership *membership, gint64 delay_ms)
{
  iv_deadline_set (membership->deps.deadlines, &membership->next, now_ms (membership) + delay_ms);
}

static void
on_joined (void *context, const struct iv_store_membership *reply)
{
  struct iv_membership *membership = context;
  membership->joining = FALSE;
  if (membership->has_left)
    return;
  schedule_next (membership, MAX (0, membership->sent_ms + JOIN_INTERVAL_MS - now_ms (membership)));
  if (reply->outcome != IV_STORE_OK || membership->standby)
    return;
  membership->generation = reply->generation;
  membership->partitions = reply->partitions;
  /* The reply may be late: what counts is when the store can have missed a join. */
  if (iv_clock_boot_ms () - membership->confirmed_boot_ms
      >= membership->deps.settings->member_ttl_ms)
    membership->member_since_boot_ms = iv_clock_boot_ms ();
  membership->confirmed_boot_ms = membership->sent_boot_ms;
  membership->deps.confirmed (membership->deps.context);
}

static void
join (struct iv_membership *membership)
{
  if (membership->joining)
    return;
  membership->joining = TRUE;
  membership->sent_ms = now_ms (membership);
  membership->sent_boot_ms = iv_clock_boot_ms ();
  iv_store_join (membership->deps.store, GROUP, membership->name,
                 membership->deps.settings->member_ttl_ms, membership->generation,
                 membership->sent_ms + CALL_TIMEOUT_MS, on_joined, membership);
}

/* Number of distinct members, small hosts excluded when @a only_large. */
static guint
count_members (const GPtrArray *members, gboolean only_large)
{
  GHashTable *set = g_hash_table_new (g_str_hash, g_str_equal);
  guint count;
  for (guint i = 0; i < members->len; i++)
    {
      const char *name = g_ptr_array_index (members, i);
      if (!only_large || !g_str_has_suffix (name, STANDBY_NAME_SUFFIX))
        g_hash_table_add (set, (gpointer)name);
    }
  count = g_hash_table_size (set);
  g_hash_table_destroy (set);
  return count;
}

static void
leave_standby (struct iv_membership *membership, guint members)
{
  iv_event (IV_LEVEL_INFO, "member.called_in", "members=%u wanted=%u", members,
            membership->wanted_members);
  membership->standby = FALSE;
  join (membership);
}

static void
enter_standby (struct iv_membership *membership, guint large)
{
  iv_event (IV_LEVEL_INFO, "member.stood_down", "large=%u", large);
  membership->standby = TRUE;
  membership->partitions = 0;
  membership->deps.entered_standby (membership->deps.context);
  iv_store_leave (membership->deps.store, GROUP, membership->name,
                  now_ms (membership) + LEAVE_TIMEOUT_MS);
}

/* A small host joins while members are too few, and leaves once there are enough large ones. */
static void
on_counted (void *context, const GPtrArray *members)
{
  struct iv_membership *membership = context;
  membership->counting = FALSE;
  if (membership->has_left || members == NULL)
    return;
  if (membership->standby && count_members (members, FALSE) < membership->wanted_members)
    leave_standby (membership, count_members (members, FALSE));
  else if (!membership->standby && count_members (members, TRUE) >= membership->wanted_members)
    enter_standby (membership, count_members (members, TRUE));
}

static void
request_member_count (struct iv_membership *membership)
{
  if (membership->counting || now_ms (membership) < membership->next_count_ms)
    return;
  membership->counting = TRUE;
  membership->next_count_ms = now_ms (membership) + STANDBY_COUNT_INTERVAL_MS
                              + g_random_int_range (0, STANDBY_COUNT_INTERVAL_MS / 2);
  iv_membership_list (membership, on_counted, membership);
}

static void
on_next (void *context)
{
  struct iv_membership *membership = context;
  if (membership->joining || membership->has_left)
    return;
  if (membership->small)
    request_member_count (membership);
  if (membership->standby)
    schedule_next (membership, JOIN_INTERVAL_MS);
  else
    join (membership);
}

gboolean
iv_membership_is_small (const struct iv_fleet_settings *settings)
{
  return settings->cpu_milli < STANDBY_BELOW_CPU_MILLI;
}

struct iv_membership *
iv_membership_new (const struct iv_membership_deps *deps)
{
  struct iv_membership *membership = g_new0 (struct iv_membership, 1);
  membership->deps = *deps;
  membership->small = iv_membership_is_small (deps->settings);
  membership->standby = membership->small;
  membership->name = g_strdup_printf ("%s-%08x%s", deps->host, g_random_int (),
                                      membership->small ? STANDBY_NAME_SUFFIX : "");
  membership->wanted_members = MEMBERS_MIN;
  membership->next.fire = on_next;
  membership->next.context = membership;
  schedule_next (membership,
                 membership->standby
                     ? STANDBY_FIRST_COUNT_MS + g_random_int_range (0, STANDBY_COUNT_INTERVAL_MS)
                     : 0);
  return membership;
}

const char *
iv_membership_name (const struct iv_membership *membership)
{
  return membership->name;
}

gboolean
iv_membership_holds_cell (const struct iv_membership *membership, guint cell)
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

gint64
iv_membership_member_ms (const struct iv_membership *membership)
{
  return membership->member_since_boot_ms > 0
             ? iv_clock_boot_ms () - membership->member_since_boot_ms
             : 0;
}

void
iv_membership_set_fleet_size (struct iv_membership *membership, guint cells, guint workers)
{
  const struct iv_fleet_settings *settings = membership->deps.settings;
  gint64 supported_workers = settings->cpu_milli * settings->workers_per_core / 1000;
  membership->wanted_members
      = workers <= supported_workers * OVERLOAD_FACTOR ? MAX (MEMBERS_MIN, cells) : 1;
}

void
iv_membership_list (struct iv_membership *membership, iv_store_members_done done, void *context)
{
  iv_store_members (membership->deps.store, GROUP, now_ms (membership) + CALL_TIMEOUT_MS, done,
                    context);
}

void
iv_membership_leave (struct iv_membership *membership)
{
  if (membership->has_left)
    return;
  membership->has_left = TRUE;
  iv_deadline_unset (membership->deps.deadlines, &membership->next);
  if (!membership->standby)
    iv_store_leave (membership->deps.store, GROUP, membership->name,
                    now_ms (membership) + LEAVE_TIMEOUT_MS);
}
