#include "owner_private.h"

#include "event.h"
#include "reserve.h"

#define LOAD_LOG_INTERVAL_MS 2000
/* A larger share of silent workers than fail independently at the same time. */
#define PARTITION_SILENT_PERCENT 25

/* Load of a cell as logged; throttled and halted runs are also counted as best-effort. */
struct load
{
  guint workers, usable, latency_workers, runs, best_effort, throttled, halted, waiting;
  guint reserved, long_running_waiting, limited;
  gint64 capacity_milli, used_milli, best_effort_milli, reclaimable_milli;
};

static void
count_worker (struct load *load, const struct iv_fleet_worker *worker, gint64 now_ms)
{
  gboolean usable = worker->listed && worker->fenced && worker->failures == 0;
  load->workers++;
  load->usable += usable;
  load->latency_workers += worker->latency_tasks > 0;
  load->runs += worker->runs->len;
  load->capacity_milli += worker->capacity.cpu_milli;
  load->used_milli += worker->used.cpu_milli;
  load->best_effort_milli += worker->best_effort_cpu_milli;
  if (usable && !worker->draining)
    load->reclaimable_milli += iv_worker_reclaimable (worker).cpu_milli;
  load->reserved += iv_reserve_is_held (worker, now_ms);
  for (guint i = 0; i < worker->runs->len; i++)
    {
      const struct iv_run *run = g_ptr_array_index (worker->runs, i);
      if (run->step == NULL || !(run->step->flags & IVJ_BEST_EFFORT))
        continue;
      load->best_effort++;
      load->throttled += run->cpu_limit_percent < IV_FULL_SPEED_PERCENT;
      load->halted += run->cpu_limit_percent == 0;
    }
}

static void
count_waiting (struct load *load, const struct iv_job_exec *exec)
{
  for (guint i = 0; i < exec->open->len; i++)
    {
      const struct iv_occurrence *occurrence = g_ptr_array_index (exec->open, i);
      for (guint j = 0; j < exec->job->spec.steps.steps_len; j++)
        {
          const struct iv_stage *stage = &occurrence->stages[j];
          guint waiting = iv_stage_lacking (stage);
          if (!iv_stage_ready (occurrence, stage))
            continue;
          load->waiting += waiting;
          load->limited += MIN (stage->held, iv_stage_waiting (stage));
          load->long_running_waiting += stage->step->flags & IVJ_LONG_RUNNING ? waiting : 0;
        }
    }
}

/* The log line shows how full the cell is, and why tasks wait. */
void
iv_owner_log_load (struct iv_owner *owner, gint64 now_ms)
{
  struct load load = { 0 };
  GHashTableIter iter;
  gpointer value;
  if (now_ms < owner->next_load_log_ms)
    return;
  owner->next_load_log_ms = now_ms + LOAD_LOG_INTERVAL_MS;
  g_hash_table_iter_init (&iter, owner->fleet->by_id);
  while (g_hash_table_iter_next (&iter, NULL, &value))
    count_worker (&load, value, now_ms);
  for (guint i = 0; i < owner->execs->len; i++)
    count_waiting (&load, g_ptr_array_index (owner->execs, i));
  iv_event (IV_LEVEL_INFO, "cell.load",
            "workers=%u usable=%u serving=%u cores=%" G_GINT64_FORMAT " used=%" G_GINT64_FORMAT
            " fill=%" G_GINT64_FORMAT " reclaimable=%" G_GINT64_FORMAT
            " runs=%u fills=%u paced=%u halted=%u jobs=%u tasks_waiting=%u long_running_waiting=%u"
            " reserved=%u limited=%u",
            load.workers, load.usable, load.latency_workers, load.capacity_milli / 1000,
            load.used_milli / 1000, load.best_effort_milli / 1000, load.reclaimable_milli / 1000,
            load.runs, load.best_effort, load.throttled, load.halted, owner->execs->len,
            load.waiting, load.long_running_waiting, load.reserved, load.limited);
}

/* Workers of one failure domain that are listed and have been asked. */
struct domain_count
{
  guint workers;
  guint silent;
};

static struct domain_count *
find_or_add_count (GHashTable *domains, const char *domain)
{
  struct domain_count *count = g_hash_table_lookup (domains, domain);
  if (count)
    return count;
  count = g_new0 (struct domain_count, 1);
  g_hash_table_insert (domains, (char *)domain, count);
  return count;
}

gboolean
iv_owner_is_partitioned (const struct iv_owner *owner)
{
  GHashTable *domains = g_hash_table_new_full (g_str_hash, g_str_equal, NULL, g_free);
  GHashTableIter iter;
  gpointer value;
  guint silent = 0;
  guint all = 0;
  gboolean domain_silent = FALSE;
  g_hash_table_iter_init (&iter, owner->fleet->by_id);
  while (g_hash_table_iter_next (&iter, NULL, &value))
    {
      const struct iv_fleet_worker *worker = value;
      struct domain_count *count;
      /* A worker that has never replied may be on the other side of the partition. */
      if (!worker->listed || (!worker->fenced && worker->failures == 0))
        continue;
      count = find_or_add_count (domains, worker->domain);
      count->workers++;
      count->silent += worker->failures > 0;
      all++;
      silent += worker->failures > 0;
    }
  g_hash_table_iter_init (&iter, domains);
  while (g_hash_table_iter_next (&iter, NULL, &value))
    {
      const struct domain_count *count = value;
      domain_silent |= count->workers > 1 && count->workers == count->silent;
    }
  g_hash_table_destroy (domains);
  return domain_silent || silent * 100 > all * PARTITION_SILENT_PERCENT;
}
