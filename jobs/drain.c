#include "owner_private.h"

#include "event.h"
#include "reserve.h"

#define MOVE_INTERVAL_MS 100
/* Time for all tasks of a worker to leave it: each waits for batch tasks to end elsewhere. Before,
   the cores that they would take there are of more use to batch tasks. */
#define MOVE_AHEAD_MS 4000
/* Share of the workers that may be kept from batch tasks for tasks that still run. */
#define MOVING_RESERVED_MAX_PERCENT 10
/* The stop, its report and the start: a worker may take 900 ms to stop a run. */
#define MOVE_RESERVE_MS 1500

static void
add_in_transit (GHashTable *counts, const ivj_step *step)
{
  guint count = GPOINTER_TO_UINT (g_hash_table_lookup (counts, step));
  g_hash_table_insert (counts, (gpointer)step, GUINT_TO_POINTER (count + 1));
}

/* Number of runs of each step that are being stopped or started, by step. */
static GHashTable *
count_in_transit (const struct iv_owner *owner)
{
  GHashTable *counts = g_hash_table_new (NULL, NULL);
  GHashTableIter iter;
  gpointer value;
  g_hash_table_iter_init (&iter, owner->fleet->by_id);
  while (g_hash_table_iter_next (&iter, NULL, &value))
    {
      const GPtrArray *runs = ((const struct iv_fleet_worker *)value)->runs;
      for (guint i = 0; i < runs->len; i++)
        {
          const struct iv_run *run = g_ptr_array_index (runs, i);
          if (run->step && run->phase != IV_RUN_PHASE_RUNNING)
            add_in_transit (counts, run->step);
        }
    }
  return counts;
}

/* A step that does not say how many of its tasks may be away keeps half of them at work. */
static guint
transit_max (const ivj_step *step)
{
  return step->unavailable_max ? step->unavailable_max : (step->count + 1) / 2;
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
  /* A new instance is not known to drain before its own entry is read. */
  return worker->draining && worker->entry_clock_ms > 0 && worker->failures == 0
         && (worker->leaves_clock_ms == 0
             || iv_worker_clock (worker, now_ms) + MOVE_AHEAD_MS >= worker->leaves_clock_ms);
}

/* Stops @a run once a worker for its task is reserved, which the dispatch after its end uses. */
static void
move_run (struct iv_owner *owner, struct iv_run *run, GHashTable *in_transit, gint64 now_ms)
{
  struct iv_job_exec *exec = iv_owner_find_exec (owner, &run->name);
  struct iv_placement_query query;
  struct iv_fleet_worker *target;
  struct iv_stage *stage;
  struct iv_job_task *task = exec ? iv_job_exec_task (exec, &run->name, &stage) : NULL;
  if (task == NULL || task->placed_run != run->number || task->crashes > 0
      || GPOINTER_TO_UINT (g_hash_table_lookup (in_transit, run->step)) >= transit_max (run->step)
      || !iv_dispatch_query (owner, exec, stage, run->name.occurrence, now_ms, &query))
    return;
  /* Over the limit of its workspace it could not start again. */
  if (query.account && !iv_workspace_account_admits_again (query.account, run->step))
    return;
  target = iv_place_reserved (&query, task);
  if (target == NULL)
    target = iv_place_task (&query, task);
  if (target == NULL)
    {
      if (query.reserves
          && iv_place_reserve (&query, task, MOVING_RESERVED_MAX_PERCENT) == IV_RESERVE_IMPOSSIBLE
          && query.rack == NULL)
        exec->unholdable_ms = now_ms;
      return;
    }
  iv_event (IV_LEVEL_INFO, "run.moved", "job=%s step=%u index=%u worker=%s reason=draining to=%s",
            run->name.job, run->name.step, run->name.index, run->worker->id, target->id);
  iv_reserve_hold (owner->fleet, target, task, now_ms, now_ms + MOVE_RESERVE_MS);
  add_in_transit (in_transit, run->step);
  iv_owner_stop_run (owner, run, now_ms);
}

/* A stop that is answered late must not cost the task its reservation. */
static void
keep_reservation (struct iv_owner *owner, const struct iv_run *run, gint64 now_ms)
{
  struct iv_job_exec *exec = iv_owner_find_exec (owner, &run->name);
  const struct iv_job_task *task = exec ? iv_job_exec_task (exec, &run->name, NULL) : NULL;
  struct iv_fleet_worker *target = task && task->placed_run == run->number
                                       ? iv_reserve_find (owner->fleet, task, now_ms)
                                       : NULL;
  if (target)
    iv_reserve_hold (owner->fleet, target, task, now_ms, now_ms + MOVE_RESERVE_MS);
}

static void
move_from (struct iv_owner *owner, const struct iv_fleet_worker *worker, GHashTable *in_transit,
           gint64 now_ms)
{
  for (guint i = 0; i < worker->runs->len; i++)
    {
      struct iv_run *run = g_ptr_array_index (worker->runs, i);
      if (is_movable (run))
        move_run (owner, run, in_transit, now_ms);
      else if (run->phase == IV_RUN_PHASE_STOPPING)
        keep_reservation (owner, run, now_ms);
    }
}

void
iv_owner_move_from_draining (struct iv_owner *owner, gint64 now_ms)
{
  GHashTable *in_transit = NULL;
  GHashTableIter iter;
  gpointer value;
  if (now_ms < owner->next_drain_ms)
    return;
  owner->next_drain_ms = now_ms + MOVE_INTERVAL_MS;
  g_hash_table_iter_init (&iter, owner->fleet->by_id);
  while (g_hash_table_iter_next (&iter, NULL, &value))
    {
      if (!is_leaving (value, now_ms))
        continue;
      if (in_transit == NULL)
        in_transit = count_in_transit (owner);
      move_from (owner, value, in_transit, now_ms);
    }
  if (in_transit)
    g_hash_table_destroy (in_transit);
}
