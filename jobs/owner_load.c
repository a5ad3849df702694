#include "owner_private.h"

#include "event.h"
#include "queue_order.h"
#include "reserve.h"

#define LOAD_LOG_INTERVAL_MS 2000
/* A larger share of silent workers than fail independently at the same time. */
#define PARTITION_SILENT_PERCENT 25
#define COMPLETED_KEEP_PERCENT 90 /* of what was learnt of the rate, kept by each measure */
/* With less in use, tasks wait for something else than cores: a label, a rack, a gang, a ticket. */
#define FULL_PERCENT 80
/* Sums of estimates, which others wrote, fit into 64 bits. */
#define WORK_MAX 1e15

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

static gboolean
is_batch (const ivj_step *step)
{
  return step && !(step->flags & (IVJ_LONG_RUNNING | IVJ_BEST_EFFORT));
}

void
iv_owner_note_completed (struct iv_owner *owner, const struct iv_run *run, gint64 now_ms)
{
  if (!is_batch (run->step) || run->step->estimate_ms == 0)
    return;
  owner->ended_work += (double)run->step->cpu_milli * (double)run->step->estimate_ms / 1000.0;
  owner->ended_core_ms += (double)run->step->cpu_milli * (double)(now_ms - run->sent_ms) / 1000.0;
}

/* Cores that batch tasks use, and those that they could use, in thousandths. */
static void
count_batch_cores (const struct iv_owner *owner, gint64 *used, gint64 *capacity)
{
  GHashTableIter iter;
  gpointer value;
  g_hash_table_iter_init (&iter, owner->fleet->by_id);
  while (g_hash_table_iter_next (&iter, NULL, &value))
    {
      const struct iv_fleet_worker *worker = value;
      gint64 batch = 0;
      if (!worker->listed || worker->draining || worker->failures > 0)
        continue;
      for (guint i = 0; i < worker->runs->len; i++)
        {
          const struct iv_run *run = g_ptr_array_index (worker->runs, i);
          batch += is_batch (run->step) ? (gint64)run->step->cpu_milli : 0;
        }
      *used += batch;
      *capacity += MAX (batch, worker->capacity.cpu_milli - worker->used.cpu_milli + batch);
    }
}

/* Estimated work of the tasks of @a exec that wait for a worker, core-milliseconds. */
static gint64
waiting_work (const struct iv_job_exec *exec)
{
  double work = 0;
  for (guint i = 0; i < exec->open->len; i++)
    {
      const struct iv_occurrence *occurrence = g_ptr_array_index (exec->open, i);
      for (guint j = 0; j < exec->job->spec.steps.steps_len; j++)
        {
          const struct iv_stage *stage = &occurrence->stages[j];
          const ivj_step *step = stage->step;
          if (is_batch (step) && iv_stage_ready (occurrence, stage))
            work += (double)step->cpu_milli * (double)step->estimate_ms * iv_stage_waiting (stage)
                    / 1000.0;
        }
    }
  return (gint64)MIN (work, WORK_MAX);
}

static GArray *
list_waiting_jobs (const struct iv_owner *owner, gint64 now_ms)
{
  GArray *jobs = g_array_new (FALSE, FALSE, sizeof (struct iv_backlog_job));
  for (guint i = 0; i < owner->execs->len; i++)
    {
      const struct iv_job_exec *exec = g_ptr_array_index (owner->execs, i);
      struct iv_queue_policy policy;
      struct iv_queue_item item
          = { .objective_ms = exec->objective_ms, .zero_utility_ms = exec->zero_utility_ms };
      struct iv_backlog_job job = { .waiting = waiting_work (exec) };
      if (job.waiting == 0
          || !owner->effects.queue (owner->effects.context, exec->job->spec.host,
                                    exec->job->spec.prefix, &policy))
        continue;
      job.priority = policy.priority;
      job.work = iv_job_exec_remaining_work (exec);
      job.path_ms = iv_job_exec_remaining_ms (exec);
      job.objective_ms = exec->objective_ms;
      job.zero_utility_ms = exec->zero_utility_ms;
      item.path_ms = exec->placed > 0 ? 0 : job.path_ms;
      job.on_time = iv_queue_classify (&item, now_ms) == IV_QUEUE_ON_TIME;
      g_array_append_val (jobs, job);
    }
  return jobs;
}

/* Completions alone tell no rate when a burst begins, as its first tasks end later. So the rate is
   the cores in use, times the ratio of estimates to the time that lately ended tasks took. It is
   told once work has waited, in a cell that is full, for an interval between two measures. */
void
iv_owner_measure_backlog (struct iv_owner *owner, struct iv_backlog *backlog, gint64 now_ms)
{
  GArray *jobs = list_waiting_jobs (owner, now_ms);
  double speed = owner->ended_core_ms > 0 ? owner->ended_work / owner->ended_core_ms : 1;
  gint64 used = 0;
  gboolean full;
  *backlog = (struct iv_backlog){ 0 };
  count_batch_cores (owner, &used, &backlog->capacity_milli);
  full = jobs->len > 0 && used * 100 >= backlog->capacity_milli * FULL_PERCENT;
  if (full && owner->was_full && owner->previous_runs_known)
    backlog->rate_milli = (gint64)MIN ((double)used * speed, WORK_MAX);
  iv_backlog_measure (backlog, jobs, now_ms);
  owner->was_full = full;
  owner->ended_work *= COMPLETED_KEEP_PERCENT / 100.0;
  owner->ended_core_ms *= COMPLETED_KEEP_PERCENT / 100.0;
  g_array_unref (jobs);
}
