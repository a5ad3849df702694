#include "fake_worker.h"

#include <stdlib.h>
#include <string.h>

#define STEP_MAX_MS 100 /* of simulated time */
#define CHECKPOINT_INTERVAL_MS 1000
#define OVERHEAD_CPU_MILLI 100 /* of the host itself, in usage reports */

static void
free_task (gpointer data)
{
  struct fake_task *task = data;
  g_free (task->name);
  g_free (task->team);
  g_free (task);
}

static void
free_usage (gpointer data)
{
  xdr_free ((xdrproc_t)xdr_ivx_usage, data);
  g_free (data);
}

static guint64
wall_clock_ms (const struct fake_worker *worker, gint64 at_ms)
{
  return worker->boot_wall_ms + (guint64)(at_ms - worker->boot_ms);
}

struct fake_worker *
fake_worker_new (const char *name, ivx_size size, gint64 now_ms, guint64 wall_ms, guint64 boot)
{
  struct fake_worker *worker = g_new0 (struct fake_worker, 1);
  worker->name = g_strdup (name);
  worker->size = size;
  worker->tasks = g_ptr_array_new_with_free_func (free_task);
  worker->usage = g_ptr_array_new_with_free_func (free_usage);
  worker->visible_at_ms = g_array_new (FALSE, FALSE, sizeof (gint64));
  worker->usage_interval_ms = 2000;
  worker->usage_lag_ms = 3000;
  worker->measurement_interval_ms = 1000;
  worker->usage_from_wall_ms = wall_ms;
  fake_worker_reboot (worker, now_ms, wall_ms, boot);
  return worker;
}

void
fake_worker_free (struct fake_worker *worker)
{
  g_ptr_array_free (worker->tasks, TRUE);
  g_ptr_array_free (worker->usage, TRUE);
  g_array_free (worker->visible_at_ms, TRUE);
  g_free (worker->name);
  g_free (worker);
}

void
fake_worker_reboot (struct fake_worker *worker, gint64 now_ms, guint64 wall_ms, guint64 boot)
{
  g_ptr_array_set_size (worker->tasks, 0);
  g_ptr_array_set_size (worker->usage, 0);
  g_array_set_size (worker->visible_at_ms, 0);
  worker->boot = boot;
  worker->boot_ms = now_ms;
  worker->now_ms = now_ms;
  worker->boot_wall_ms = wall_ms;
  worker->usage_from_wall_ms = MAX (worker->usage_from_wall_ms, wall_ms);
  worker->measured_at_ms = now_ms;
  worker->term = 0;
}

static struct fake_task *
find_task (const struct fake_worker *worker, guint64 gen, guint32 index)
{
  for (guint i = 0; i < worker->tasks->len; i++)
    {
      struct fake_task *task = g_ptr_array_index (worker->tasks, i);
      if (task->gen == gen && task->index == index)
        return task;
    }
  return NULL;
}

const struct fake_task *
fake_worker_running (const struct fake_worker *worker, guint64 gen, guint32 index)
{
  const struct fake_task *task = find_task (worker, gen, index);
  return task && task->state == IV_RUN_RUNNING ? task : NULL;
}

static double
slowdown_of (const struct fake_worker *worker, const struct fake_task *victim)
{
  double slowdown = 0;
  for (guint i = 0; i < worker->tasks->len && worker->coefficient; i++)
    {
      const struct fake_task *other = g_ptr_array_index (worker->tasks, i);
      double share = (double)other->size.cpu_milli / worker->size.cpu_milli;
      if (other == victim || other->state != IV_RUN_RUNNING)
        continue;
      slowdown += worker->coefficient (worker->context, victim->name, other->name) * share
                  * other->speed_permille / 1000;
    }
  return slowdown;
}

static void
end_task (struct fake_worker *worker, struct fake_task *task, enum iv_run_state state)
{
  task->state = state;
  if (state == IV_RUN_DONE && worker->done)
    worker->done (worker->context, worker, task);
}

static void
run_task (struct fake_worker *worker, struct fake_task *task, gint64 step_ms)
{
  double slowdown = slowdown_of (worker, task);
  double speed = task->speed_permille / 1000.0;
  task->slowdown = 0.7 * task->slowdown + 0.3 * slowdown;
  task->used_core_us += task->size.cpu_milli * step_ms * speed;
  task->progress_ms += step_ms * speed / (1 + slowdown);
  if (task->progress_ms - task->checkpoint_ms >= CHECKPOINT_INTERVAL_MS)
    task->checkpoint_ms = task->progress_ms;
  if (worker->fail_all_tasks
      || (worker->should_fail && worker->should_fail (worker->context, task)))
    end_task (worker, task, IV_RUN_FAILED);
  else if (task->run_ms > 0 && task->progress_ms >= task->run_ms)
    end_task (worker, task, IV_RUN_DONE);
}

static void
add_usage_row (ivx_usage *usage, ivx_row_kind kind, const char *team, const char *name,
               guint64 core_us)
{
  ivx_usage_row *row;
  usage->rows.rows_val
      = realloc (usage->rows.rows_val, (usage->rows.rows_len + 1) * sizeof (ivx_usage_row));
  row = &usage->rows.rows_val[usage->rows.rows_len++];
  row->kind = kind;
  row->team = iv_record_strdup (team);
  row->name = iv_record_strdup (name);
  row->core_us = core_us;
}

static void
report_usage (struct fake_worker *worker)
{
  ivx_usage *usage = g_new0 (ivx_usage, 1);
  guint64 until = wall_clock_ms (worker, worker->now_ms);
  guint64 total = worker->size.cpu_milli * (until - worker->usage_from_wall_ms), used = 0;
  gint64 visible = worker->now_ms + worker->usage_lag_ms;
  usage->from_ms = worker->usage_from_wall_ms;
  usage->until_ms = until;
  for (guint i = 0; i < worker->tasks->len; i++)
    {
      struct fake_task *task = g_ptr_array_index (worker->tasks, i);
      guint64 core_us = MIN ((guint64)task->used_core_us, total - used);
      task->used_core_us = 0;
      if (core_us > 0)
        add_usage_row (usage, IVX_ROW_WORKLOAD, task->team, task->name, core_us);
      used += core_us;
    }
  add_usage_row (usage, IVX_ROW_OVERHEAD, "", "",
                 MIN (OVERHEAD_CPU_MILLI * (until - worker->usage_from_wall_ms), total - used));
  used += usage->rows.rows_val[usage->rows.rows_len - 1].core_us;
  if (total > used)
    add_usage_row (usage, IVX_ROW_IDLE, "", "", total - used);
  worker->usage_from_wall_ms = until;
  g_ptr_array_add (worker->usage, usage);
  g_array_append_val (worker->visible_at_ms, visible);
}

void
fake_worker_advance (struct fake_worker *worker, gint64 now_ms)
{
  while (worker->now_ms < now_ms)
    {
      gint64 step_ms = MIN (STEP_MAX_MS, now_ms - worker->now_ms);
      worker->now_ms += step_ms;
      for (guint i = 0; i < worker->tasks->len; i++)
        {
          struct fake_task *task = g_ptr_array_index (worker->tasks, i);
          if (task->state != IV_RUN_RUNNING)
            continue;
          if (!worker->skip_lease && worker->now_ms - worker->boot_ms >= task->lease_until)
            end_task (worker, task, IV_RUN_LEASE_EXPIRED);
          else
            run_task (worker, task, step_ms);
        }
      if (worker->now_ms - worker->measured_at_ms >= worker->measurement_interval_ms)
        worker->measured_at_ms = worker->now_ms;
      if (wall_clock_ms (worker, worker->now_ms)
          >= worker->usage_from_wall_ms + (guint64)worker->usage_interval_ms)
        report_usage (worker);
    }
}

static gboolean
has_capacity (const struct fake_worker *worker, const ivx_size *size)
{
  ivx_size available = worker->size;
  for (guint i = 0; i < worker->tasks->len; i++)
    {
      const struct fake_task *task = g_ptr_array_index (worker->tasks, i);
      if (task->state != IV_RUN_RUNNING)
        continue;
      available.cpu_milli -= task->size.cpu_milli;
      available.memory_mib -= task->size.memory_mib;
      available.accelerators -= task->size.accelerators;
    }
  return size->cpu_milli <= available.cpu_milli && size->memory_mib <= available.memory_mib
         && size->accelerators <= available.accelerators;
}

static void
add_attempt (struct fake_worker *worker, const struct iv_sync_task *order, enum iv_run_state state)
{
  struct fake_task *task = find_task (worker, order->gen, order->index);
  if (task)
    g_ptr_array_remove (worker->tasks, task);
  task = g_new0 (struct fake_task, 1);
  task->gen = order->gen;
  task->index = order->index;
  task->attempt = order->attempt;
  task->state = state;
  task->size = order->size;
  task->run_ms = order->run_ms;
  task->progress_ms = task->checkpoint_ms = order->progress_ms;
  task->speed_permille = order->speed_permille;
  task->lease_until = (gint64)order->lease_until;
  task->name = g_strdup (order->name);
  task->team = g_strdup (order->team);
  g_ptr_array_add (worker->tasks, task);
  if (state == IV_RUN_RUNNING && worker->started)
    worker->started (worker->context, worker, task);
}

static void
start_task (struct fake_worker *worker, const struct iv_sync_task *order)
{
  gint64 clock_ms = worker->now_ms - worker->boot_ms;
  if (order->start_until == 0 || (gint64)order->start_until < clock_ms)
    return;
  add_attempt (worker, order,
               has_capacity (worker, &order->size) ? IV_RUN_RUNNING : IV_RUN_REFUSED);
}

static void
stop_task (struct fake_worker *worker, struct fake_task *task, gboolean checkpoint)
{
  if (checkpoint)
    task->checkpoint_ms = task->progress_ms;
  end_task (worker, task, IV_RUN_STOPPED);
}

static void
apply_order (struct fake_worker *worker, const struct iv_sync_task *order)
{
  struct fake_task *task = find_task (worker, order->gen, order->index);
  if (task && task->attempt > order->attempt && !worker->skip_fence)
    return;
  if (task && task->attempt == order->attempt)
    {
      if (task->state != IV_RUN_RUNNING)
        return;
      task->lease_until = MAX (task->lease_until, (gint64)order->lease_until);
      task->speed_permille = order->speed_permille;
      if (order->order != IV_ORDER_RUN)
        stop_task (worker, task, order->order == IV_ORDER_EVICT);
      return;
    }
  /* For the owner the other attempt has ended, or it would not order this one. */
  if (task && task->state == IV_RUN_RUNNING)
    stop_task (worker, task, FALSE);
  if (order->order == IV_ORDER_RUN)
    start_task (worker, order);
  else
    add_attempt (worker, order, IV_RUN_STOPPED);
}

static void
apply_ack (struct fake_worker *worker, const struct iv_sync_ack *ack)
{
  struct fake_task *task = find_task (worker, ack->gen, ack->index);
  if (task && task->attempt == ack->attempt && task->state != IV_RUN_RUNNING
      && task->used_core_us < 1)
    g_ptr_array_remove (worker->tasks, task);
}

static void
discard_usage (struct fake_worker *worker, guint64 until_ms)
{
  while (worker->usage->len > 0)
    {
      const ivx_usage *usage = g_ptr_array_index (worker->usage, 0);
      if (usage->until_ms > until_ms)
        return;
      g_ptr_array_remove_index (worker->usage, 0);
      g_array_remove_index (worker->visible_at_ms, 0);
    }
}

static void
fill_reports (struct fake_worker *worker, struct iv_sync_reply *reply)
{
  for (guint i = 0; i < worker->tasks->len; i++)
    {
      const struct fake_task *task = g_ptr_array_index (worker->tasks, i);
      struct iv_run_report report = { .gen = task->gen,
                                      .index = task->index,
                                      .attempt = task->attempt,
                                      .state = task->state,
                                      .progress_ms = (guint32)task->checkpoint_ms };
      report.slowdown_permille = (guint32)(1000 * (1 + task->slowdown));
      report.measured_at = (guint64)(worker->measured_at_ms - worker->boot_ms);
      g_array_append_val (reply->reports, report);
    }
}

static void
fill_usage (struct fake_worker *worker, struct iv_sync_reply *reply)
{
  for (guint i = 0; i < worker->usage->len; i++)
    {
      ivx_usage copy = { 0 };
      if (g_array_index (worker->visible_at_ms, gint64, i) > worker->now_ms)
        continue;
      iv_xdr_copy ((iv_xdr_proc)xdr_ivx_usage, g_ptr_array_index (worker->usage, i), &copy);
      g_array_append_val (reply->usage, copy);
    }
}

struct iv_sync_reply *
fake_worker_sync (struct fake_worker *worker, gint64 now_ms, const struct iv_sync *sync)
{
  struct iv_sync_reply *reply = iv_sync_reply_new ();
  fake_worker_advance (worker, now_ms);
  reply->boot = worker->boot;
  reply->clock_ms = (guint64)(worker->now_ms - worker->boot_ms);
  reply->refused
      = !worker->skip_fence
        && (sync->term < worker->term || (sync->boot != 0 && sync->boot != worker->boot));
  if (!reply->refused)
    {
      worker->term = MAX (worker->term, sync->term);
      for (guint i = 0; i < sync->tasks->len; i++)
        apply_order (worker, &g_array_index (sync->tasks, struct iv_sync_task, i));
      for (guint i = 0; i < sync->acks->len; i++)
        apply_ack (worker, &g_array_index (sync->acks, struct iv_sync_ack, i));
      discard_usage (worker, sync->usage_ack_ms);
    }
  reply->term = worker->term;
  fill_reports (worker, reply);
  fill_usage (worker, reply);
  return reply;
}
