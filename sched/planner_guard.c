#include "planner_private.h"

#define STRIKES_TO_THROTTLE 2
#define STRIKES_TO_EVICT 4
#define THROTTLED_PERMILLE 400
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
      struct iv_view *view = iv_planner_view (planner, task->worker);
      struct iv_task_view *task_view = iv_planner_task_view (planner, task);
      const struct iv_run_report *report = iv_view_report (view, task);
      gboolean unstarted = out && report == NULL;
      if (!task_view->evict && (unstarted || should_drain (planner, task, job, report, out)))
        {
          task_view->evict = TRUE;
          view->dirty = TRUE;
        }
    }
}

/* The batch task that is expected to harm @a victim most on the same worker. */
static const struct iv_task *
worst_neighbour (struct iv_planner *planner, const GPtrArray *bound, const struct iv_task *victim,
                 gint64 now_ms)
{
  const struct iv_worker *worker = iv_cell_worker (planner->cell, victim->worker);
  guint32 victim_workload = iv_interference_workload (
      planner->model, iv_cell_job (planner->cell, victim->job)->item.name);
  const struct iv_task *worst = NULL;
  double worst_harm = 0;
  for (guint i = 0; i < bound->len; i++)
    {
      const struct iv_task *task = g_ptr_array_index (bound, i);
      const struct iv_job *job = iv_cell_job (planner->cell, task->job);
      double share, harm;
      if (task->worker != victim->worker || job->item.type != IVX_JOB)
        continue;
      share = (double)job->item.size.cpu_milli / worker->info.size.cpu_milli;
      harm = iv_interference_harm (planner->model, victim_workload,
                                   iv_interference_workload (planner->model, job->item.name), share,
                                   0, now_ms);
      if (worst == NULL || harm > worst_harm)
        {
          worst = task;
          worst_harm = harm;
        }
    }
  return worst;
}

static void
restrain (struct iv_planner *planner, const struct iv_task *noisy, double slowdown, guint strikes,
          gint64 now_ms)
{
  struct iv_task_view *view = iv_planner_task_view (planner, noisy);
  if (view->evict || now_ms < view->settled_until_ms)
    return;
  if (view->speed_permille == 1000)
    view->speed_permille = THROTTLED_PERMILLE;
  else if (strikes >= STRIKES_TO_EVICT && slowdown > planner->options.evict_above)
    view->evict = TRUE;
  else
    return;
  view->settled_until_ms = now_ms + planner->options.cooldown_ms;
  iv_planner_view (planner, noisy->worker)->dirty = TRUE;
}

static void
release_throttles (struct iv_planner *planner, const GPtrArray *bound, guint32 worker,
                   gint64 now_ms)
{
  for (guint i = 0; i < bound->len; i++)
    {
      const struct iv_task *task = g_ptr_array_index (bound, i);
      struct iv_task_view *view;
      if (task->worker != worker)
        continue;
      view = iv_planner_task_view (planner, task);
      if (view->speed_permille < 1000 && now_ms >= view->settled_until_ms)
        {
          view->speed_permille = 1000;
          view->settled_until_ms = now_ms + planner->options.cooldown_ms;
        }
    }
}

/* Only measurements that are new count, and two in a row are needed: a stale one decides nothing.
 */
static void
guard_service (struct iv_planner *planner, const GPtrArray *bound, const struct iv_task *task,
               const struct iv_run_report *report, gint64 now_ms)
{
  struct iv_task_view *view = iv_planner_task_view (planner, task);
  double slowdown = report->slowdown_permille / 1000.0 - 1;
  const struct iv_task *noisy;
  if (report->slowdown_permille == 0 || (gint64)report->measured_at <= view->last_measured_ms)
    return;
  view->last_measured_ms = (gint64)report->measured_at;
  if (slowdown <= planner->options.throttle_above)
    {
      view->strikes = 0;
      if (slowdown < planner->options.throttle_above / 2)
        release_throttles (planner, bound, task->worker, now_ms);
      return;
    }
  if (++view->strikes < STRIKES_TO_THROTTLE)
    return;
  noisy = worst_neighbour (planner, bound, task, now_ms);
  if (noisy)
    restrain (planner, noisy, slowdown, view->strikes, now_ms);
}

void
iv_planner_guard (struct iv_planner *planner, gint64 now_ms)
{
  GPtrArray *bound = iv_planner_tasks_in (planner, IV_TASK_BOUND);
  drain (planner, bound);
  for (guint i = 0; planner->options.strategy == IV_STRATEGY_HARM && i < bound->len; i++)
    {
      const struct iv_task *task = g_ptr_array_index (bound, i);
      const struct iv_run_report *report;
      if (iv_cell_job (planner->cell, task->job)->item.type != IVX_SERVICE)
        continue;
      report = iv_view_report (iv_planner_view (planner, task->worker), task);
      if (report && report->state == IV_RUN_RUNNING)
        guard_service (planner, bound, task, report, now_ms);
    }
  g_ptr_array_free (bound, TRUE);
}

static guint
neighbours_of (struct iv_planner *planner, const struct iv_view *view,
               const struct iv_run_report *victim, struct iv_neighbour *neighbours)
{
  const struct iv_worker *worker = iv_cell_worker (planner->cell, view->worker);
  GHashTableIter iter;
  gpointer value;
  guint count = 0;
  g_hash_table_iter_init (&iter, view->reports);
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
iv_planner_learn (struct iv_planner *planner, struct iv_view *view, gint64 now_ms)
{
  struct iv_neighbour neighbours[NEIGHBOURS_MAX];
  GHashTableIter iter;
  gpointer value;
  g_hash_table_iter_init (&iter, view->reports);
  while (g_hash_table_iter_next (&iter, NULL, &value))
    {
      const struct iv_run_report *report = value;
      const struct iv_job *job = iv_cell_job_by_gen (planner->cell, report->gen);
      gint64 age_ms = (gint64)view->clock_ms - (gint64)report->measured_at;
      guint count;
      if (job == NULL || report->slowdown_permille == 0)
        continue;
      count = neighbours_of (planner, view, report, neighbours);
      iv_interference_observe (planner->model,
                               iv_interference_workload (planner->model, job->item.name),
                               neighbours, count, report->slowdown_permille / 1000.0 - 1,
                               report->gen * 1000003 + report->index, now_ms - age_ms);
    }
}
