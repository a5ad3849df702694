#include "planner_private.h"

#define HIGH_MEASUREMENTS_TO_THROTTLE 2
#define HIGH_MEASUREMENTS_TO_EVICT 4
#define THROTTLED_SPEED_PERMILLE 400
#define NEIGHBOURS_MAX 64

static gboolean
should_drain (const struct iv_planner *planner, const struct iv_task *task,
              const struct iv_job *job, const struct iv_run_report *report, gboolean domain_out)
{
  const struct iv_worker *worker = iv_cell_worker (planner->cell, task->worker);
  const struct iv_host_entry *entry = iv_planner_host_entry (planner, worker);
  guint32 progress_ms = report ? report->progress_ms : 0;
  if (!domain_out && entry && !entry->leaving)
    return FALSE;
  if (entry == NULL && !domain_out)
    return FALSE;
  return job->item.type == IVX_SERVICE
         || (gint64)job->item.run_ms - progress_ms > planner->options.drain_ms;
}

static void
drain (struct iv_planner *planner, const GPtrArray *bound)
{
  gboolean out = planner->config && iv_config_domain_out (planner->config, planner->domain);
  for (guint i = 0; i < bound->len; i++)
    {
      const struct iv_task *task = g_ptr_array_index (bound, i);
      const struct iv_job *job = iv_cell_job (planner->cell, task->job);
      struct iv_worker_status *status = iv_planner_worker_status (planner, task->worker);
      struct iv_task_status *task_status = iv_planner_task_status (planner, task);
      const struct iv_run_report *report = iv_planner_run_report (status, task);
      gboolean not_started = out && report == NULL;
      if (!task_status->evict && (not_started || should_drain (planner, task, job, report, out)))
        {
          task_status->evict = TRUE;
          status->dirty = TRUE;
        }
    }
}

/* The batch task with the largest expected slowdown of @a victim on the same worker, or NULL. */
static const struct iv_task *
most_disturbing_neighbour (struct iv_planner *planner, const GPtrArray *bound,
                           const struct iv_task *victim, gint64 now_ms)
{
  const struct iv_worker *worker = iv_cell_worker (planner->cell, victim->worker);
  guint32 victim_workload = iv_interference_workload (
      planner->model, iv_cell_job (planner->cell, victim->job)->item.name);
  const struct iv_task *neighbour = NULL;
  double max_slowdown = 0;
  for (guint i = 0; i < bound->len; i++)
    {
      const struct iv_task *task = g_ptr_array_index (bound, i);
      const struct iv_job *job = iv_cell_job (planner->cell, task->job);
      double share, expected_slowdown;
      if (task->worker != victim->worker || job->item.type != IVX_JOB)
        continue;
      share = (double)job->item.size.cpu_milli / worker->info.size.cpu_milli;
      expected_slowdown = iv_interference_slowdown (
          planner->model, victim_workload,
          iv_interference_workload (planner->model, job->item.name), share, 0, now_ms);
      if (neighbour == NULL || expected_slowdown > max_slowdown)
        {
          neighbour = task;
          max_slowdown = expected_slowdown;
        }
    }
  return neighbour;
}

static void
throttle_or_evict (struct iv_planner *planner, const struct iv_task *neighbour, double slowdown,
                   guint high_measurements, gint64 now_ms)
{
  struct iv_task_status *status = iv_planner_task_status (planner, neighbour);
  if (status->evict || now_ms < status->cooldown_until_ms)
    return;
  if (status->speed_permille == 1000)
    status->speed_permille = THROTTLED_SPEED_PERMILLE;
  else if (high_measurements >= HIGH_MEASUREMENTS_TO_EVICT
           && slowdown > planner->options.evict_above)
    status->evict = TRUE;
  else
    return;
  status->cooldown_until_ms = now_ms + planner->options.cooldown_ms;
  iv_planner_worker_status (planner, neighbour->worker)->dirty = TRUE;
}

static void
release_throttles (struct iv_planner *planner, const GPtrArray *bound, guint32 worker,
                   gint64 now_ms)
{
  for (guint i = 0; i < bound->len; i++)
    {
      const struct iv_task *task = g_ptr_array_index (bound, i);
      struct iv_task_status *status;
      if (task->worker != worker)
        continue;
      status = iv_planner_task_status (planner, task);
      if (status->speed_permille < 1000 && now_ms >= status->cooldown_until_ms)
        {
          status->speed_permille = 1000;
          status->cooldown_until_ms = now_ms + planner->options.cooldown_ms;
        }
    }
}

/* Acts only on new measurements, and only after two consecutive high ones: a stale measurement has
   no effect. */
static void
guard_service (struct iv_planner *planner, const GPtrArray *bound, const struct iv_task *task,
               const struct iv_run_report *report, gint64 now_ms)
{
  struct iv_task_status *status = iv_planner_task_status (planner, task);
  double slowdown = report->slowdown_permille / 1000.0 - 1;
  const struct iv_task *neighbour;
  if (report->slowdown_permille == 0 || (gint64)report->measured_at <= status->last_measured_ms)
    return;
  status->last_measured_ms = (gint64)report->measured_at;
  if (slowdown <= planner->options.throttle_above)
    {
      status->high_measurements = 0;
      if (slowdown < planner->options.throttle_above / 2)
        release_throttles (planner, bound, task->worker, now_ms);
      return;
    }
  if (++status->high_measurements < HIGH_MEASUREMENTS_TO_THROTTLE)
    return;
  neighbour = most_disturbing_neighbour (planner, bound, task, now_ms);
  if (neighbour)
    throttle_or_evict (planner, neighbour, slowdown, status->high_measurements, now_ms);
}

void
iv_planner_protect_services (struct iv_planner *planner, gint64 now_ms)
{
  GPtrArray *bound = iv_planner_tasks_in (planner, IV_TASK_BOUND);
  drain (planner, bound);
  for (guint i = 0; planner->options.strategy == IV_STRATEGY_INTERFERENCE && i < bound->len; i++)
    {
      const struct iv_task *task = g_ptr_array_index (bound, i);
      const struct iv_run_report *report;
      if (iv_cell_job (planner->cell, task->job)->item.type != IVX_SERVICE)
        continue;
      report = iv_planner_run_report (iv_planner_worker_status (planner, task->worker), task);
      if (report && report->state == IV_RUN_RUNNING)
        guard_service (planner, bound, task, report, now_ms);
    }
  g_ptr_array_free (bound, TRUE);
}

static guint
neighbours_of (struct iv_planner *planner, const struct iv_worker_status *status,
               const struct iv_run_report *victim, struct iv_neighbour *neighbours)
{
  const struct iv_worker *worker = iv_cell_worker (planner->cell, status->worker);
  GHashTableIter iter;
  gpointer value;
  guint count = 0;
  g_hash_table_iter_init (&iter, status->reports);
  while (g_hash_table_iter_next (&iter, NULL, &value) && count < NEIGHBOURS_MAX)
    {
      const struct iv_run_report *other = value;
      const struct iv_job *job = iv_cell_job_by_gen (planner->cell, other->gen);
      if (other == victim || job == NULL || other->state != IV_RUN_RUNNING)
        continue;
      neighbours[count].workload = iv_interference_workload (planner->model, job->item.name);
      neighbours[count].share = (double)job->item.size.cpu_milli / worker->info.size.cpu_milli;
      count++;
    }
  return count;
}

void
iv_planner_observe_slowdown (struct iv_planner *planner, struct iv_worker_status *status,
                             gint64 now_ms)
{
  struct iv_neighbour neighbours[NEIGHBOURS_MAX];
  GHashTableIter iter;
  gpointer value;
  g_hash_table_iter_init (&iter, status->reports);
  while (g_hash_table_iter_next (&iter, NULL, &value))
    {
      const struct iv_run_report *report = value;
      const struct iv_job *job = iv_cell_job_by_gen (planner->cell, report->gen);
      gint64 age_ms = (gint64)status->clock_ms - (gint64)report->measured_at;
      guint count;
      if (job == NULL || report->slowdown_permille == 0)
        continue;
      count = neighbours_of (planner, status, report, neighbours);
      iv_interference_observe (planner->model,
                               iv_interference_workload (planner->model, job->item.name),
                               neighbours, count, report->slowdown_permille / 1000.0 - 1,
                               report->gen * 1000003 + report->index, now_ms - age_ms);
    }
}
