#include <string.h>

#include "planner_private.h"

#define MISSED_SYNCS_UNUSABLE 3
#define REPORTS_MAX 4096
#define FAILURES_MAX 5 /* of one task, on workers that are not to blame */

static const struct iv_host_entry *
entry_named (const struct iv_planner *planner, const char *name)
{
  guint place = GPOINTER_TO_UINT (g_hash_table_lookup (planner->host_places, name));
  return place ? &g_array_index (planner->hosts, struct iv_host_entry, place - 1) : NULL;
}

/* A replacement under the same name started at another time or place, and is another host. */
static gboolean
same_host (const struct iv_host_entry *entry, const struct iv_worker *worker)
{
  return entry->info.start_ms == worker->info.start_ms
         && strcmp (entry->info.address, worker->info.address) == 0;
}

const struct iv_host_entry *
iv_planner_host_entry (const struct iv_planner *planner, const struct iv_worker *worker)
{
  const struct iv_host_entry *entry = entry_named (planner, worker->info.name);
  return entry && same_host (entry, worker) ? entry : NULL;
}

gboolean
iv_planner_reachable (const struct iv_planner *planner, const struct iv_view *view, gint64 now_ms)
{
  return view->heard
         && now_ms - view->last_reply_ms <= planner->options.sync_ms * MISSED_SYNCS_UNUSABLE;
}

gboolean
iv_planner_usable (struct iv_planner *planner, const struct iv_worker *worker, gint64 now_ms)
{
  const struct iv_view *view = iv_planner_view (planner, worker->id);
  const struct iv_host_entry *entry = iv_planner_host_entry (planner, worker);
  return iv_planner_reachable (planner, view, now_ms) && entry != NULL && !entry->leaving
         && iv_health_usable (planner->health, worker->id, now_ms);
}

static gint64
horizon_of (const struct iv_planner *planner, const ivx_item *item)
{
  return item->horizon_ms > 0 ? item->horizon_ms : planner->options.horizon_ms;
}

/* After this no lease of the task can be running on a worker that does not answer. A former owner
   renewed from evidence asked for before this owner's claim, for the horizon and one lease more. */
static gint64
lapse_deadline (const struct iv_planner *planner, const struct iv_view *view, const ivx_item *item)
{
  gint64 former
      = planner->owned_since_ms
        + iv_planner_stretch (planner, horizon_of (planner, item) + planner->options.lease_ms
                                           + planner->options.start_window_ms);
  return view->heard ? view->lease_bound_ms : MAX (former, view->lease_bound_ms);
}

static void
plan_new_workers (struct iv_planner *planner, GArray *records)
{
  for (guint i = 0; i < planner->hosts->len; i++)
    {
      const struct iv_host_entry *entry = &g_array_index (planner->hosts, struct iv_host_entry, i);
      ivx_record record = { .kind = IVX_WORKER };
      if (entry->leaving || iv_cell_worker_by_name (planner->cell, entry->info.name) != NULL)
        continue;
      iv_xdr_copy ((iv_xdr_proc)xdr_ivx_worker, &entry->info, &record.ivx_record_u.worker);
      iv_records_add (records, &record);
    }
}

static void
plan_usage (const struct iv_worker *worker, struct iv_view *view, GArray *records)
{
  while (view->usage->len > 0)
    {
      ivx_usage *usage = g_ptr_array_steal_index (view->usage, 0);
      ivx_record record = { .kind = IVX_USAGE };
      usage->worker = worker->id;
      record.ivx_record_u.usage = *usage;
      iv_records_add (records, &record);
      g_free (usage);
    }
}

/* A host that left the list but still answers is kept: the list may be what is wrong. */
static void
plan_gone (struct iv_planner *planner, const struct iv_worker *worker, const struct iv_view *view,
           struct iv_now now, GArray *records)
{
  gboolean replaced = entry_named (planner, worker->info.name) != NULL;
  ivx_record record = { .kind = IVX_WORKER_REMOVED };
  if (worker->bound > 0 || planner->hosts->len == 0 || iv_planner_host_entry (planner, worker))
    return;
  if (!replaced && iv_planner_reachable (planner, view, now.mono_ms))
    return;
  record.ivx_record_u.worker_removed.worker = worker->id;
  record.ivx_record_u.worker_removed.end_ms = MAX (now.wall_ms, worker->ledger.until_ms);
  iv_records_add (records, &record);
  iv_health_forget_worker (planner->health, worker->id);
}

void
iv_planner_plan_workers (struct iv_planner *planner, struct iv_now now, GArray *records)
{
  GHashTableIter iter;
  gpointer value;
  plan_new_workers (planner, records);
  g_hash_table_iter_init (&iter, planner->cell->workers);
  while (g_hash_table_iter_next (&iter, NULL, &value))
    {
      const struct iv_worker *worker = value;
      struct iv_view *view = iv_planner_view (planner, worker->id);
      plan_usage (worker, view, records);
      plan_gone (planner, worker, view, now, records);
    }
}

static void
add_finish (struct iv_planner *planner, GArray *records, const struct iv_task *task,
            ivx_result result)
{
  ivx_record record = { .kind = IVX_FINISH };
  iv_planner_task_view (planner, task)->ending = TRUE;
  record.ivx_record_u.finish = (ivx_finish){ task->id, task->attempt, result };
  iv_records_add (records, &record);
}

static void
add_requeue (struct iv_planner *planner, GArray *records, const struct iv_task *task,
             guint32 progress_ms, gboolean evicted, gboolean failed)
{
  ivx_record record = { .kind = IVX_REQUEUE };
  iv_planner_task_view (planner, task)->ending = TRUE;
  record.ivx_record_u.requeue
      = (ivx_requeue){ task->id, task->attempt, progress_ms, evicted, failed };
  iv_records_add (records, &record);
}

static void
plan_failed (struct iv_planner *planner, const struct iv_task *task, const struct iv_job *job,
             gint64 now_ms, GArray *records)
{
  enum iv_verdict verdict = iv_health_failed (planner->health, task->worker, job->gen, now_ms);
  if (verdict == IV_VERDICT_BAD_JOB || job->item.at_most_once || task->failures >= FAILURES_MAX)
    add_finish (planner, records, task, IVX_FAILED);
  else
    add_requeue (planner, records, task, 0, FALSE, verdict == IV_VERDICT_RETRY);
}

static void
plan_stopped (struct iv_planner *planner, const struct iv_task *task, const struct iv_job *job,
              guint32 progress_ms, gboolean evicted, GArray *records)
{
  if (job->cancelled)
    add_finish (planner, records, task, IVX_CANCELLED);
  else if (job->item.at_most_once && !evicted)
    add_finish (planner, records, task, IVX_UNKNOWN);
  else
    add_requeue (planner, records, task, progress_ms, evicted, FALSE);
}

static void
plan_reported (struct iv_planner *planner, const struct iv_task *task, const struct iv_job *job,
               const struct iv_run_report *report, gint64 now_ms, GArray *records)
{
  switch (report->state)
    {
    case IV_RUN_DONE:
      iv_health_succeeded (planner->health, task->worker, job->gen);
      add_finish (planner, records, task, IVX_DONE);
      break;
    case IV_RUN_FAILED:
      plan_failed (planner, task, job, now_ms, records);
      break;
    case IV_RUN_STOPPED:
      plan_stopped (planner, task, job, report->progress_ms, TRUE, records);
      break;
    case IV_RUN_LAPSED:
      plan_stopped (planner, task, job, report->progress_ms, FALSE, records);
      break;
    case IV_RUN_REFUSED:
      add_requeue (planner, records, task, task->progress_ms, FALSE, FALSE);
      break;
    case IV_RUN_RUNNING:
      break;
    }
}

/* The worker answers but does not know the task, so it does not run: a start that is still on its
   way carries an earlier term or boot and is refused, or is one of this owner's and will be
   reported. */
static void
plan_unreported (struct iv_planner *planner, const struct iv_task *task, const struct iv_job *job,
                 const struct iv_view *view, GArray *records)
{
  const struct iv_task_view *task_view = iv_planner_task_view (planner, task);
  gboolean bound_by_me = task->bind_offset > planner->cell->claim_offset;
  gboolean lost_with_boot = task_view->start_sent && task_view->start_boot != view->boot;
  gboolean may_have_run = lost_with_boot || !bound_by_me;
  gboolean unwanted = job->cancelled || task_view->evict;
  if (task_view->start_sent && !lost_with_boot)
    return;
  if (job->cancelled)
    add_finish (planner, records, task,
                may_have_run && job->item.at_most_once ? IVX_UNKNOWN : IVX_CANCELLED);
  else if (may_have_run && job->item.at_most_once)
    add_finish (planner, records, task, IVX_UNKNOWN);
  else if (may_have_run || unwanted)
    add_requeue (planner, records, task, task->progress_ms, FALSE, FALSE);
}

void
iv_planner_plan_bound (struct iv_planner *planner, gint64 now_ms, GArray *records)
{
  GHashTableIter iter;
  gpointer value;
  g_hash_table_iter_init (&iter, planner->cell->tasks);
  while (g_hash_table_iter_next (&iter, NULL, &value))
    {
      const struct iv_task *task = value;
      const struct iv_job *job;
      struct iv_view *view;
      const struct iv_run_report *report;
      if (task->state != IV_TASK_BOUND)
        continue;
      job = iv_cell_job (planner->cell, task->job);
      view = iv_planner_view (planner, task->worker);
      report = iv_view_report (view, task);
      iv_planner_task_view (planner, task)->ending = FALSE;
      if (iv_planner_reachable (planner, view, now_ms))
        {
          if (report)
            plan_reported (planner, task, job, report, now_ms, records);
          else
            plan_unreported (planner, task, job, view, records);
        }
      else if (now_ms > lapse_deadline (planner, view, &job->item))
        plan_stopped (planner, task, job, report ? report->progress_ms : task->progress_ms, FALSE,
                      records);
    }
}

static void
add_sync_task (struct iv_planner *planner, struct iv_sync *sync, struct iv_view *view,
               const struct iv_task *task, gint64 now_ms)
{
  const struct iv_job *job = iv_cell_job (planner->cell, task->job);
  struct iv_task_view *task_view = iv_planner_task_view (planner, task);
  const struct iv_run_report *report = iv_view_report (view, task);
  gint64 clock = (gint64)view->clock_ms + (now_ms - view->clock_at_ms);
  gboolean bound_by_me = task->bind_offset > planner->cell->claim_offset;
  struct iv_sync_task row = { .gen = task->gen, .index = task->index, .attempt = task->attempt };
  if (task_view->ending || now_ms - planner->cell_evidence_ms > horizon_of (planner, &job->item))
    return;
  /* An order about an attempt that the worker may have lost would be answered as if it never ran.
   */
  if (report == NULL
      && (!bound_by_me || (task_view->start_sent && task_view->start_boot != view->boot)))
    return;
  row.order = IV_ORDER_RUN;
  if (job->cancelled)
    row.order = IV_ORDER_STOP;
  else if (task_view->evict)
    row.order = job->item.type == IVX_SERVICE ? IV_ORDER_STOP : IV_ORDER_EVICT;
  if (row.order == IV_ORDER_RUN && report == NULL && iv_planner_may_start (planner, now_ms))
    {
      row.start_until = (guint64)(clock + planner->options.start_window_ms);
      task_view->start_sent = TRUE;
      task_view->start_boot = view->boot;
    }
  row.lease_until = (guint64)(clock + planner->options.lease_ms);
  row.size = job->item.size;
  row.run_ms = job->item.type == IVX_SERVICE ? 0 : job->item.run_ms;
  row.progress_ms = task->progress_ms;
  row.speed_permille = task_view->speed_permille;
  row.name = g_strdup (job->item.name);
  row.team = g_strdup (job->item.team);
  g_array_append_val (sync->tasks, row);
}

/* Reports that no bound task asks for: ended ones may be forgotten, running ones must stop. */
static void
add_leftovers (struct iv_planner *planner, struct iv_sync *sync, struct iv_view *view)
{
  GHashTableIter iter;
  gpointer value;
  g_hash_table_iter_init (&iter, view->reports);
  while (g_hash_table_iter_next (&iter, NULL, &value))
    {
      const struct iv_run_report *report = value;
      const struct iv_task *task = iv_cell_task_by_gen (planner->cell, report->gen, report->index);
      if (task && task->state == IV_TASK_BOUND && task->worker == view->worker
          && task->attempt == report->attempt)
        continue;
      if (report->state == IV_RUN_RUNNING)
        {
          struct iv_sync_task row = { .gen = report->gen,
                                      .index = report->index,
                                      .attempt = report->attempt,
                                      .order = IV_ORDER_STOP };
          row.name = g_strdup ("");
          row.team = g_strdup ("");
          g_array_append_val (sync->tasks, row);
        }
      else
        {
          struct iv_sync_ack ack = { report->gen, report->index, report->attempt };
          g_array_append_val (sync->acks, ack);
        }
    }
}

static GHashTable *
tasks_by_worker (const struct iv_cell *cell)
{
  GHashTable *lists = g_hash_table_new_full (NULL, NULL, NULL, (GDestroyNotify)g_ptr_array_unref);
  GHashTableIter iter;
  gpointer value;
  g_hash_table_iter_init (&iter, cell->tasks);
  while (g_hash_table_iter_next (&iter, NULL, &value))
    {
      struct iv_task *task = value;
      gpointer key = GUINT_TO_POINTER (task->worker);
      GPtrArray *list = g_hash_table_lookup (lists, key);
      if (task->state != IV_TASK_BOUND)
        continue;
      if (list == NULL)
        {
          list = g_ptr_array_new ();
          g_hash_table_insert (lists, key, list);
        }
      g_ptr_array_add (list, task);
    }
  return lists;
}

static struct iv_sync *
build_sync (struct iv_planner *planner, const struct iv_worker *worker, struct iv_view *view,
            const GPtrArray *tasks, gint64 now_ms)
{
  struct iv_sync *sync = iv_sync_new (worker->id, worker->info.address, planner->domain);
  sync->term = planner->cell->term;
  sync->boot = view->boot;
  sync->usage_ack_ms = worker->ledger.until_ms;
  /* Before the first reply the worker's clock is not known. A worker that has stopped answering is
     only probed: leases given to it without an answer would put off the time when they are known to
     be over. */
  if (view->boot == 0 || !iv_planner_reachable (planner, view, now_ms))
    return sync;
  for (guint i = 0; tasks && i < tasks->len; i++)
    add_sync_task (planner, sync, view, g_ptr_array_index (tasks, i), now_ms);
  add_leftovers (planner, sync, view);
  if (sync->tasks->len > 0)
    view->lease_bound_ms
        = MAX (view->lease_bound_ms,
               now_ms
                   + iv_planner_stretch (planner, planner->options.lease_ms
                                                      + planner->options.start_window_ms));
  return sync;
}

static gboolean
sync_is_due (struct iv_view *view, gint64 now_ms)
{
  if (view->sync_deadline_ms > now_ms)
    return FALSE;
  return view->dirty || now_ms >= view->next_sync_ms;
}

void
iv_planner_syncs (struct iv_planner *planner, gint64 now_ms, GPtrArray *syncs)
{
  GHashTable *lists = NULL;
  GHashTableIter iter;
  gpointer value;
  g_hash_table_iter_init (&iter, planner->cell->workers);
  while (g_hash_table_iter_next (&iter, NULL, &value))
    {
      const struct iv_worker *worker = value;
      struct iv_view *view = iv_planner_view (planner, worker->id);
      if (!sync_is_due (view, now_ms))
        continue;
      if (lists == NULL)
        lists = tasks_by_worker (planner->cell);
      g_ptr_array_add (
          syncs, build_sync (planner, worker, view,
                             g_hash_table_lookup (lists, GUINT_TO_POINTER (worker->id)), now_ms));
      view->dirty = FALSE;
      view->next_sync_ms = now_ms + planner->options.sync_ms;
      view->sync_deadline_ms = now_ms + planner->options.sync_timeout_ms;
    }
  if (lists)
    g_hash_table_destroy (lists);
}

static void
take_usage (const struct iv_worker *worker, struct iv_view *view, struct iv_sync_reply *reply)
{
  for (guint i = 0; i < reply->usage->len; i++)
    {
      ivx_usage *usage = &g_array_index (reply->usage, ivx_usage, i);
      guint64 taken_ms = MAX (view->usage_taken_ms, worker->ledger.until_ms);
      if (usage->from_ms < taken_ms && !iv_ledger_has_gap (&worker->ledger, usage))
        continue;
      view->usage_taken_ms = MAX (taken_ms, usage->until_ms);
      g_ptr_array_add (view->usage, g_memdup2 (usage, sizeof *usage));
      memset (usage, 0, sizeof *usage);
    }
}

static void
take_reports (struct iv_view *view, struct iv_sync_reply *reply)
{
  g_hash_table_remove_all (view->reports);
  for (guint i = 0; i < reply->reports->len && i < REPORTS_MAX; i++)
    {
      struct iv_run_report *copy = g_memdup2 (
          &g_array_index (reply->reports, struct iv_run_report, i), sizeof (struct iv_run_report));
      g_hash_table_replace (view->reports, copy, copy);
    }
}

void
iv_planner_reply (struct iv_planner *planner, struct iv_now now, guint32 worker, gint64 sent_ms,
                  struct iv_sync_reply *reply)
{
  struct iv_view *view;
  if (iv_cell_worker (planner->cell, worker) == NULL || !iv_planner_owns (planner))
    {
      iv_sync_reply_free (reply);
      return;
    }
  view = iv_planner_view (planner, worker);
  view->sync_deadline_ms = 0;
  /* Another boot refused the sync and does not know the term yet: it is asked anew. */
  if (view->boot != 0 && reply->boot != view->boot && sent_ms > view->last_reply_ms)
    {
      view->boot = 0;
      view->heard = FALSE;
      view->dirty = TRUE;
    }
  /* A reply to a sync of an earlier term, or one that was overtaken, says nothing about now. */
  if (sent_ms >= planner->owned_since_ms && reply->term == planner->cell->term
      && (reply->boot != view->boot || reply->clock_ms >= view->clock_ms))
    {
      view->dirty = view->boot == 0;
      view->boot = reply->boot;
      view->clock_ms = reply->clock_ms;
      view->clock_at_ms = now.mono_ms;
      view->last_reply_ms = sent_ms;
      view->heard = TRUE;
      take_reports (view, reply);
      take_usage (iv_cell_worker (planner->cell, worker), view, reply);
      iv_planner_learn (planner, view, now.mono_ms);
    }
  iv_sync_reply_free (reply);
}

void
iv_planner_sync_failed (struct iv_planner *planner, guint32 worker)
{
  struct iv_view *view = g_hash_table_lookup (planner->views, GUINT_TO_POINTER (worker));
  if (view)
    view->sync_deadline_ms = 0;
}

guint64
iv_planner_free_milli (const struct iv_planner *planner, gint64 now_ms)
{
  GHashTableIter iter;
  gpointer value;
  guint64 left = 0;
  g_hash_table_iter_init (&iter, planner->cell->workers);
  while (g_hash_table_iter_next (&iter, NULL, &value))
    {
      const struct iv_worker *worker = value;
      if (iv_planner_usable ((struct iv_planner *)planner, worker, now_ms))
        left += worker->info.size.cpu_milli - worker->committed.cpu_milli;
    }
  return left;
}
