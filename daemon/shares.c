#include "shares.h"

#include <stdlib.h>

#define SMALL_JOB_TASKS 8

static void
add_share (ivx_item *item, struct iv_domain_capacity *room, guint first, guint count)
{
  ivx_share *share = &item->shares.shares_val[item->shares.shares_len];
  guint64 milli = (guint64)count * item->size.cpu_milli;
  if (count == 0)
    return;
  share->domain = iv_record_strdup (room->domain);
  share->first = first;
  share->count = count;
  item->shares.shares_len++;
  room->free_cpu_milli -= MIN (room->free_cpu_milli, milli);
}

static void
spread_evenly (ivx_item *item, struct iv_domain_capacity *rooms, guint count)
{
  guint first = 0;
  for (guint i = 0; i < count; i++)
    {
      guint tasks = item->tasks / count + (i < item->tasks % count ? 1 : 0);
      add_share (item, &rooms[i], first, tasks);
      first += tasks;
    }
}

static void
spread_by_room (ivx_item *item, struct iv_domain_capacity *rooms, guint count)
{
  guint64 total = 0;
  guint first = 0;
  for (guint i = 0; i < count; i++)
    total += rooms[i].free_cpu_milli;
  if (total == 0)
    {
      spread_evenly (item, rooms, count);
      return;
    }
  for (guint i = 0; i < count; i++)
    {
      guint tasks = i + 1 == count ? item->tasks - first
                                   : (guint)(item->tasks * rooms[i].free_cpu_milli / total);
      add_share (item, &rooms[i], first, tasks);
      first += tasks;
    }
}

static struct iv_domain_capacity *
most_room (struct iv_domain_capacity *rooms, guint count)
{
  struct iv_domain_capacity *best = &rooms[0];
  for (guint i = 1; i < count; i++)
    if (rooms[i].free_cpu_milli > best->free_cpu_milli)
      best = &rooms[i];
  return best;
}

gboolean
iv_shares_assign (ivx_item *item, struct iv_domain_capacity *rooms, guint count)
{
  if (count == 0 || count > IVX_DOMAINS_MAX)
    return FALSE;
  if (item->type == IVX_TEAM || item->change == IVX_WITHDRAWN)
    return TRUE;
  item->shares.shares_val = calloc (count, sizeof (ivx_share));
  if (item->type == IVX_SERVICE)
    spread_evenly (item, rooms, count);
  else if (item->gang || item->tasks <= SMALL_JOB_TASKS)
    add_share (item, most_room (rooms, count), 0, item->tasks);
  else
    spread_by_room (item, rooms, count);
  return TRUE;
}
