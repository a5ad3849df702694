#include "owner_private.h"

#include "event.h"
#include "reserve.h"

#define MOVE_INTERVAL_MS 100
/* Time for all tasks of a worker to leave it: each waits for batch tasks to end elsewhere. Before,
   the cores that they would take there are of more use to batch tasks. */
#define MOVE_AHEAD_MS 4000
/* Share of the workers that may be kept from batch tasks for tasks that still run. */
#define RESERVED_MAX_PERCENT 10
/* The stop, its report and the start: a worker may take 900 ms to stop a run. */
#define RESERVE_MS 1500

/* Runs of a step that are being stopped or started. */
static guint
count_in_transit (const struct iv_owner *owner, const struct iv_run *run)
{
  guint count = 0;
  GHashTableIter iter;
  gpointer value;
  g_hash_table_iter_init (&iter, owner->fleet->by_id);
  while (g_hash_table_iter_next (&iter, NULL, &value))
    {
      const GPtrArray *runs = ((const struct iv_fleet_worker *)value)->runs;
      for (guint i = 0; i < runs->len; i++)
        {
          const struct iv_run *other = g_ptr_array_index (runs, i);
          count += other->step == run->step && other->name.occurrence == run->name.occurrence
                   && other->phase != IV_RUN_PHASE_RUNNING;
        }
    }
  return count;
}

static gboolean
is_movable (const struct iv_run *run)
{
  return run->phase == IV_RUN_PHASE_RUNNING && run->step && (run->step->flags & IVJ_LONG_RUNNING)
         && !(run->step->flags & IVJ_GANG);
}

static gboolean
is_leaving (const struct iv_fleet_worker *worker, gint64 now_ms)
{
  return worker->draining && worker->failures == 0
         && (worker->leaves_clock_ms == 0
             || iv_worker_clock (worker, now_ms) + MOVE_AHEAD_MS >= worker->leaves_clock_ms);
}

/* Stops @a run once a worker for its task is reserved, which the dispatch after its end uses. */
static void
move_run (struct iv_owner *owner, struct iv_run *run, gint64 now_ms)
{
  struct iv_job_exec *exec = iv_owner_find_exec (owner, &run->name);
  struct iv_placement_query query;
  struct iv_fleet_worker *target;
  struct iv_stage *stage;
  struct iv_job_task *task = exec ? iv_job_exec_task (exec, &run->name, &stage) : NULL;
  if (task == NULL || task->placed_run != run->number || task->crashes > 0
      || count_in_transit (owner, run) >= MAX (1, run->step->unavailable_max)
      || !iv_dispatch_query (owner, exec, stage, run->name.occurrence, now_ms, &query))
    return;
  target = iv_place_reserved (&query, task);
  if (target == NULL)
    target = iv_place_task (&query, task);
  if (target == NULL)
    {
      if (!query.reserves
          || iv_place_reserve (&query, task, RESERVED_MAX_PERCENT) == IV_RESERVE_IMPOSSIBLE)
        exec->unholdable_ms = now_ms;
      return;
    }
  iv_event (IV_LEVEL_INFO, "run.moved", "job=%s step=%u index=%u worker=%s reason=draining to=%s",
            run->name.job, run->name.step, run->name.index, run->worker->id, target->id);
  iv_reserve_hold (target, task, now_ms + RESERVE_MS);
  iv_owner_stop_run (owner, run, now_ms);
}

void
iv_owner_move_from_draining (struct iv_owner *owner, gint64 now_ms)
{
  GHashTableIter iter;
  gpointer value;
  if (now_ms < owner->next_drain_ms)
    return;
  owner->next_drain_ms = now_ms + MOVE_INTERVAL_MS;
  g_hash_table_iter_init (&iter, owner->fleet->by_id);
  while (g_hash_table_iter_next (&iter, NULL, &value))
    {
      const struct iv_fleet_worker *worker = value;
      if (!is_leaving (worker, now_ms))
        continue;
      for (guint i = 0; i < worker->runs->len; i++)
        {
          struct iv_run *run = g_ptr_array_index (worker->runs, i);
          if (is_movable (run))
            move_run (owner, run, now_ms);
        }
    }
}
