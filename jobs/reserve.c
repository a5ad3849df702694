#include "reserve.h"

gboolean
iv_reserve_is_held (const struct iv_fleet_worker *worker, gint64 now_ms)
{
  return worker->reserved_for && now_ms < worker->reserved_until_ms;
}

gboolean
iv_reserve_admits (const struct iv_fleet_worker *worker, const struct iv_job_task *task,
                   gint64 now_ms)
{
  return !iv_reserve_is_held (worker, now_ms) || worker->reserved_for == task;
}

struct iv_fleet_worker *
iv_reserve_find (const struct iv_fleet *fleet, const struct iv_job_task *task, gint64 now_ms)
{
  struct iv_fleet_worker *worker = g_hash_table_lookup (fleet->reserved, task);
  return worker && iv_reserve_is_held (worker, now_ms) ? worker : NULL;
}

guint
iv_reserve_count (const struct iv_fleet *fleet, gint64 now_ms)
{
  guint count = 0;
  GHashTableIter iter;
  gpointer value;
  g_hash_table_iter_init (&iter, fleet->reserved);
  while (g_hash_table_iter_next (&iter, NULL, &value))
    count += iv_reserve_is_held (value, now_ms);
  return count;
}

void
iv_reserve_hold (struct iv_fleet *fleet, struct iv_fleet_worker *worker,
                 const struct iv_job_task *task, gint64 now_ms, gint64 until_ms)
{
  if (worker->reserved_for != task || !iv_reserve_is_held (worker, now_ms))
    {
      iv_reserve_release (fleet, task);
      if (worker->reserved_for)
        iv_reserve_release (fleet, worker->reserved_for);
      worker->reserved_for = task;
      worker->reserved_shortage = G_MAXDOUBLE;
      g_hash_table_insert (fleet->reserved, (gpointer)task, worker);
    }
  worker->reserved_until_ms = until_ms;
}

void
iv_reserve_release (struct iv_fleet *fleet, const struct iv_job_task *task)
{
  struct iv_fleet_worker *worker = g_hash_table_lookup (fleet->reserved, task);
  if (worker == NULL)
    return;
  worker->reserved_for = NULL;
  g_hash_table_remove (fleet->reserved, task);
}
