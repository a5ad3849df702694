#include "owner_private.h"

#include "crash.h"
#include "event.h"

#define LATE_START_MAX_MS 15000 /* a start without a reply is not carried out later */
/* A worker does not restart in less; an idle one is polled twice in it while unconfirmed. */
#define INSTANCE_SEEN_MS 1200
#define CLOCK_SLOW_MARGIN_PERCENT 102 /* a lease on the slowest clock permitted */

/* Lower bound of the worker's clock at @a at_ms, which may be before its newest sample. */
static gint64
clock_min_at (const struct iv_fleet_worker *worker, gint64 at_ms)
{
  return MIN (iv_worker_clock (worker, at_ms), iv_worker_clock_min (worker, at_ms));
}

gboolean
iv_owner_is_other_instance (const struct iv_fleet_worker *worker, gint64 sent_ms, gint64 clock)
{
  return clock > 0 && clock < clock_min_at (worker, sent_ms);
}

gboolean
iv_owner_trusts_instance (const struct iv_owner *owner, const struct iv_fleet_worker *worker,
                          gint64 now_ms)
{
  if (owner->confirmed_ms >= now_ms)
    return TRUE;
  return worker->fenced_ms <= owner->confirmed_ms
         && now_ms <= worker->clock_sampled_at_ms + INSTANCE_SEEN_MS;
}

void
iv_owner_doubt_run (struct iv_run *run)
{
  if (run->phase != IV_RUN_PHASE_STOPPING)
    run->phase = IV_RUN_PHASE_UNCONFIRMED;
  run->acked_clock_ms = G_MAXINT64;
  run->stop_sent_ms = 0;
}

gboolean
iv_owner_is_doubted (const struct iv_run *run)
{
  return run->phase == IV_RUN_PHASE_UNCONFIRMED;
}

void
iv_owner_note_lost_start (const struct iv_run *run, gint64 now_ms)
{
  GArray *lost = run->worker->lost_starts;
  struct iv_lost_start start = { run->name, run->number, run->sent_ms + LATE_START_MAX_MS };
  while (lost->len > 0 && g_array_index (lost, struct iv_lost_start, 0).until_ms < now_ms)
    g_array_remove_index (lost, 0);
  g_array_append_val (lost, start);
}

void
iv_owner_forget_lost_start (const struct iv_run *run)
{
  GArray *lost = run->worker->lost_starts;
  for (guint i = lost->len; i-- > 0;)
    {
      const struct iv_lost_start *start = &g_array_index (lost, struct iv_lost_start, i);
      if (iv_run_find (run->worker, &start->name, start->number) == run)
        g_array_remove_index (lost, i);
    }
}

/* Adds a run to be stopped for each lost start that the new instance may still carry out. A task
   that waits is placed as that run until it is proven absent. */
static void
stop_lost_starts (struct iv_owner *owner, struct iv_fleet_worker *worker, gint64 now_ms)
{
  for (guint i = 0; i < worker->lost_starts->len; i++)
    {
      const struct iv_lost_start *start
          = &g_array_index (worker->lost_starts, struct iv_lost_start, i);
      struct iv_job_exec *exec = iv_owner_find_exec (owner, &start->name);
      struct iv_stage *stage = NULL;
      struct iv_job_task *task = exec ? iv_job_exec_task (exec, &start->name, &stage) : NULL;
      struct iv_run *run;
      if (now_ms > start->until_ms || iv_run_find (worker, &start->name, start->number))
        continue;
      run = iv_run_add (worker, &start->name, NULL, start->number,
                        start->until_ms - LATE_START_MAX_MS);
      run->phase = IV_RUN_PHASE_STOPPING;
      run->start_deadline_clock_ms = G_MAXINT64;
      iv_owner_doubt_run (run);
      if (task && stage && task->state == IV_JOB_TASK_WAITING)
        iv_owner_place_task (exec, stage, task, start->number);
    }
}

/* Takes the runs that no list of the instance before had out of the worker's. */
static GPtrArray *
steal_unlisted (struct iv_fleet_worker *worker)
{
  GPtrArray *kept = g_ptr_array_new ();
  for (guint i = worker->runs->len; i-- > 0;)
    {
      struct iv_run *run = g_ptr_array_index (worker->runs, i);
      if (!run->listed)
        g_ptr_array_add (kept, g_ptr_array_remove_index_fast (worker->runs, i));
    }
  return kept;
}

void
iv_owner_worker_restarted (struct iv_owner *owner, struct iv_fleet_worker *worker, gint64 now_ms)
{
  GPtrArray *kept;
  iv_crash_worker_ended (owner, worker, "reborn");
  kept = steal_unlisted (worker);
  iv_owner_drop_runs (owner, worker, "reborn");
  for (guint i = 0; i < kept->len; i++)
    {
      struct iv_run *run = g_ptr_array_index (kept, i);
      iv_owner_note_lost_start (run, now_ms);
      iv_owner_doubt_run (run);
      g_ptr_array_add (worker->runs, run);
      iv_event (IV_LEVEL_INFO, "run.doubted",
                "task=%s.%u.%u.%u run=%" G_GINT64_FORMAT " worker=%s term=%" G_GINT64_FORMAT
                " life=%" G_GINT64_FORMAT " sent_ago_ms=%" G_GINT64_FORMAT,
                run->name.job, run->name.occurrence, run->name.step, run->name.index, run->number,
                worker->id, owner->term, worker->start_time_ms, now_ms - run->sent_ms);
    }
  g_ptr_array_free (kept, TRUE);
  stop_lost_starts (owner, worker, now_ms);
  worker->restarted = TRUE;
  worker->horizon_end_ms = now_ms
                           + MAX (owner->limits.horizon_ms,
                                  owner->limits.lease_max_ms * CLOCK_SLOW_MARGIN_PERCENT / 100);
}
