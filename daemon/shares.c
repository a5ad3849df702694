#include "shares.h"

#include <stdlib.h>

/* Jobs of up to this many tasks are not split between failure domains. */
#define SMALL_JOB_TASKS_MAX 8

static void
add_share (ivx_item *item, struct iv_domain_capacity *capacity, guint first, guint count)
{
  ivx_share *share = &item->shares.shares_val[item->shares.shares_len];
  guint64 cpu_milli = (guint64)count * item->size.cpu_milli;
  if (count == 0)
    return;
  share->domain = iv_record_strdup (capacity->domain);
  share->first = first;
  share->count = count;
  item->shares.shares_len++;
  capacity->free_cpu_milli -= MIN (capacity->free_cpu_milli, cpu_milli);
}

static void
spread_evenly (ivx_item *item, struct iv_domain_capacity *capacities, guint count)
{
  guint first = 0;
  for (guint i = 0; i < count; i++)
    {
      guint tasks = item->tasks / count + (i < item->tasks % count ? 1 : 0);
      add_share (item, &capacities[i], first, tasks);
      first += tasks;
    }
}

static void
spread_by_capacity (ivx_item *item, struct iv_domain_capacity *capacities, guint count)
{
  guint64 total_milli = 0;
  guint first = 0;
  for (guint i = 0; i < count; i++)
    total_milli += capacities[i].free_cpu_milli;
  if (total_milli == 0)
    {
      spread_evenly (item, capacities, count);
      return;
    }
  for (guint i = 0; i < count; i++)
    {
      guint tasks = i + 1 == count
                        ? item->tasks - first
                        : (guint)(item->tasks * capacities[i].free_cpu_milli / total_milli);
      add_share (item, &capacities[i], first, tasks);
      first += tasks;
    }
}

static struct iv_domain_capacity *
find_most_free (struct iv_domain_capacity *capacities, guint count)
{
  struct iv_domain_capacity *best = &capacities[0];
  for (guint i = 1; i < count; i++)
    if (capacities[i].free_cpu_milli > best->free_cpu_milli)
      best = &capacities[i];
  return best;
}

gboolean
iv_shares_assign (ivx_item *item, struct iv_domain_capacity *capacities, guint count)
{
  if (count == 0 || count > IVX_DOMAINS_MAX)
    return FALSE;
  if (item->type == IVX_TEAM || item->change == IVX_WITHDRAWN)
    return TRUE;
  item->shares.shares_val = calloc (count, sizeof (ivx_share));
  if (item->type == IVX_SERVICE)
    spread_evenly (item, capacities, count);
  else if (item->gang || item->tasks <= SMALL_JOB_TASKS_MAX)
    add_share (item, find_most_free (capacities, count), 0, item->tasks);
  else
    spread_by_capacity (item, capacities, count);
  return TRUE;
}
