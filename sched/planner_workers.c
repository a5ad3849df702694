#include <string.h>

#include "planner_private.h"

/* A worker is unusable after this many sync intervals without a reply. */
#define MISSED_SYNCS_UNUSABLE 3
#define REPORTS_MAX 4096
#define TASK_FAILURES_MAX 5 /* per task, without failures attributed to the worker */

static const struct iv_host_entry *
host_entry_by_name (const struct iv_planner *planner, const char *name)
{
  guint place = GPOINTER_TO_UINT (g_hash_table_lookup (planner->host_positions, name));
  return place ? &g_array_index (planner->hosts, struct iv_host_entry, place - 1) : NULL;
}

/* A replacement under the same name differs in its start time or address. */
static gboolean
same_host (const struct iv_host_entry *entry, const struct iv_worker *worker)
{
  return entry->info.start_ms == worker->info.start_ms
         && strcmp (entry->info.address, worker->info.address) == 0;
}

const struct iv_host_entry *
iv_planner_host_entry (const struct iv_planner *planner, const struct iv_worker *worker)
{
  const struct iv_host_entry *entry = host_entry_by_name (planner, worker->info.name);
  return entry && same_host (entry, worker) ? entry : NULL;
}

gboolean
iv_planner_reachable (const struct iv_planner *planner, const struct iv_worker_status *status,
                      gint64 now_ms)
{
  return status->replied
         && now_ms - status->last_reply_ms <= planner->options.sync_ms * MISSED_SYNCS_UNUSABLE;
}

gboolean
iv_planner_usable (struct iv_planner *planner, const struct iv_worker *worker, gint64 now_ms)
{
  const struct iv_worker_status *status = iv_planner_worker_status (planner, worker->id);
  const struct iv_host_entry *entry = iv_planner_host_entry (planner, worker);
  return iv_planner_reachable (planner, status, now_ms) && entry != NULL && !entry->leaving
         && iv_health_usable (planner->health, worker->id, now_ms);
}

static gint64
horizon_of (const struct iv_planner *planner, const ivx_item *item)
{
  return item->horizon_ms > 0 ? item->horizon_ms : planner->options.horizon_ms;
}

/* The time after which no lease of the task is valid on a worker that does not reply. A previous
   owner renewed leases for at most the horizon after its last read of the log, which it sent before
   this owner's claim; the last of these leases adds one start window and one lease. */
static gint64
lease_expiry_bound (const struct iv_planner *planner, const struct iv_worker_status *status,
                    const ivx_item *item)
{
  gint64 former_owner_bound = planner->owned_since_ms
                              + iv_planner_add_clock_drift (
                                  planner, horizon_of (planner, item) + planner->options.lease_ms
                                               + planner->options.start_window_ms);
  return status->replied ? status->max_lease_end_ms
                         : MAX (former_owner_bound, status->max_lease_end_ms);
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
plan_usage (const struct iv_worker *worker, struct iv_worker_status *status, GArray *records)
{
  while (status->usage->len > 0)
    {
      ivx_usage *usage = g_ptr_array_steal_index (status->usage, 0);
      ivx_record record = { .kind = IVX_USAGE };
      usage->worker = worker->id;
      record.ivx_record_u.usage = *usage;
      iv_records_add (records, &record);
      g_free (usage);
    }
}

/* A worker that is no longer listed but still replies is kept, because the list may be wrong. */
static void
plan_removal (struct iv_planner *planner, const struct iv_worker *worker,
              const struct iv_worker_status *status, struct iv_now now, GArray *records)
{
  gboolean replaced = host_entry_by_name (planner, worker->info.name) != NULL;
  ivx_record record = { .kind = IVX_WORKER_REMOVED };
  if (worker->bound > 0 || planner->hosts->len == 0 || iv_planner_host_entry (planner, worker))
    return;
  if (!replaced && iv_planner_reachable (planner, status, now.mono_ms))
    return;
  record.ivx_record_u.worker_removed.worker = worker->id;
  record.ivx_record_u.worker_removed.end_ms = MAX (now.wall_ms, worker->ledger.until_ms);
  iv_records_add (records, &record);
  iv_health_remove_worker (planner->health, worker->id);
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
      struct iv_worker_status *status = iv_planner_worker_status (planner, worker->id);
      plan_usage (worker, status, records);
      plan_removal (planner, worker, status, now, records);
    }
}

static void
add_finish (struct iv_planner *planner, GArray *records, const struct iv_task *task,
            ivx_result result)
{
  ivx_record record = { .kind = IVX_FINISH };
  iv_planner_task_status (planner, task)->ending = TRUE;
  record.ivx_record_u.finish = (ivx_finish){ task->id, task->attempt, result };
  iv_records_add (records, &record);
}

static void
add_requeue (struct iv_planner *planner, GArray *records, const struct iv_task *task,
             guint32 progress_ms, gboolean evicted, gboolean failed)
{
  ivx_record record = { .kind = IVX_REQUEUE };
  iv_planner_task_status (planner, task)->ending = TRUE;
  record.ivx_record_u.requeue
      = (ivx_requeue){ task->id, task->attempt, progress_ms, evicted, failed };
  iv_records_add (records, &record);
}

static void
plan_failed (struct iv_planner *planner, const struct iv_task *task, const struct iv_job *job,
             gint64 now_ms, GArray *records)
{
  enum iv_failure_cause verdict
      = iv_health_record_failure (planner->health, task->worker, job->gen, now_ms);
  if (verdict == IV_FAILURE_JOB || job->item.at_most_once || task->failures >= TASK_FAILURES_MAX)
    add_finish (planner, records, task, IVX_FAILED);
  else
    add_requeue (planner, records, task, 0, FALSE, verdict == IV_FAILURE_UNDETERMINED);
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
      iv_health_record_success (planner->health, task->worker, job->gen);
      add_finish (planner, records, task, IVX_DONE);
      break;
    case IV_RUN_FAILED:
      plan_failed (planner, task, job, now_ms, records);
      break;
    case IV_RUN_STOPPED:
      plan_stopped (planner, task, job, report->progress_ms, TRUE, records);
      break;
    case IV_RUN_LEASE_EXPIRED:
      plan_stopped (planner, task, job, report->progress_ms, FALSE, records);
      break;
    case IV_RUN_REFUSED:
      add_requeue (planner, records, task, task->progress_ms, FALSE, FALSE);
      break;
    case IV_RUN_RUNNING:
      break;
    }
}

/* The worker replies but does not report the task, so the task is not running. A start still in
   flight either carries an earlier term or boot and is refused, or was sent by this owner and will
   be reported. */
static void
plan_unreported (struct iv_planner *planner, const struct iv_task *task, const struct iv_job *job,
                 const struct iv_worker_status *status, GArray *records)
{
  const struct iv_task_status *task_status = iv_planner_task_status (planner, task);
  gboolean bound_this_term = task->bind_offset > planner->cell->claim_offset;
  gboolean lost_with_boot = task_status->start_sent && task_status->start_boot != status->boot;
  gboolean may_have_run = lost_with_boot || !bound_this_term;
  gboolean unwanted = job->cancelled || task_status->evict;
  if (task_status->start_sent && !lost_with_boot)
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
      struct iv_worker_status *status;
      const struct iv_run_report *report;
      if (task->state != IV_TASK_BOUND)
        continue;
      job = iv_cell_job (planner->cell, task->job);
      status = iv_planner_worker_status (planner, task->worker);
      report = iv_planner_run_report (status, task);
      iv_planner_task_status (planner, task)->ending = FALSE;
      if (iv_planner_reachable (planner, status, now_ms))
        {
          if (report)
            plan_reported (planner, task, job, report, now_ms, records);
          else
            plan_unreported (planner, task, job, status, records);
        }
      else if (now_ms > lease_expiry_bound (planner, status, &job->item))
        plan_stopped (planner, task, job, report ? report->progress_ms : task->progress_ms, FALSE,
                      records);
    }
}

static void
add_sync_task (struct iv_planner *planner, struct iv_sync *sync, struct iv_worker_status *status,
               const struct iv_task *task, gint64 now_ms)
{
  const struct iv_job *job = iv_cell_job (planner->cell, task->job);
  struct iv_task_status *task_status = iv_planner_task_status (planner, task);
  const struct iv_run_report *report = iv_planner_run_report (status, task);
  gint64 clock = (gint64)status->clock_ms + (now_ms - status->clock_at_ms);
  gboolean bound_this_term = task->bind_offset > planner->cell->claim_offset;
  struct iv_sync_task row = { .gen = task->gen, .index = task->index, .attempt = task->attempt };
  if (task_status->ending || now_ms - planner->cell_evidence_ms > horizon_of (planner, &job->item))
    return;
  /* The worker may have lost this attempt in a reboot and would reply as if it had never run. */
  if (report == NULL
      && (!bound_this_term || (task_status->start_sent && task_status->start_boot != status->boot)))
    return;
  row.order = IV_ORDER_RUN;
  if (job->cancelled)
    row.order = IV_ORDER_STOP;
  else if (task_status->evict)
    row.order = job->item.type == IVX_SERVICE ? IV_ORDER_STOP : IV_ORDER_EVICT;
  if (row.order == IV_ORDER_RUN && report == NULL && iv_planner_may_start (planner, now_ms))
    {
      row.start_until = (guint64)(clock + planner->options.start_window_ms);
      task_status->start_sent = TRUE;
      task_status->start_boot = status->boot;
    }
  row.lease_until = (guint64)(clock + planner->options.lease_ms);
  row.size = job->item.size;
  row.run_ms = job->item.type == IVX_SERVICE ? 0 : job->item.run_ms;
  row.progress_ms = task->progress_ms;
  row.speed_permille = task_status->speed_permille;
  row.name = g_strdup (job->item.name);
  row.team = g_strdup (job->item.team);
  g_array_append_val (sync->tasks, row);
}

/* Handles reports that belong to no bound task: acknowledges ended runs and stops running ones. */
static void
add_unassigned_runs (struct iv_planner *planner, struct iv_sync *sync,
                     struct iv_worker_status *status)
{
  GHashTableIter iter;
  gpointer value;
  g_hash_table_iter_init (&iter, status->reports);
  while (g_hash_table_iter_next (&iter, NULL, &value))
    {
      const struct iv_run_report *report = value;
      const struct iv_task *task = iv_cell_task_by_gen (planner->cell, report->gen, report->index);
      if (task && task->state == IV_TASK_BOUND && task->worker == status->worker
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
  GHashTable *tasks_of_worker
      = g_hash_table_new_full (NULL, NULL, NULL, (GDestroyNotify)g_ptr_array_unref);
  GHashTableIter iter;
  gpointer value;
  g_hash_table_iter_init (&iter, cell->tasks);
  while (g_hash_table_iter_next (&iter, NULL, &value))
    {
      struct iv_task *task = value;
      gpointer key = GUINT_TO_POINTER (task->worker);
      GPtrArray *list = g_hash_table_lookup (tasks_of_worker, key);
      if (task->state != IV_TASK_BOUND)
        continue;
      if (list == NULL)
        {
          list = g_ptr_array_new ();
          g_hash_table_insert (tasks_of_worker, key, list);
        }
      g_ptr_array_add (list, task);
    }
  return tasks_of_worker;
}

static struct iv_sync *
build_sync (struct iv_planner *planner, const struct iv_worker *worker,
            struct iv_worker_status *status, const GPtrArray *tasks, gint64 now_ms)
{
  struct iv_sync *sync = iv_sync_new (worker->id, worker->info.address, planner->domain);
  sync->term = planner->cell->term;
  sync->boot = status->boot;
  sync->usage_ack_ms = worker->ledger.until_ms;
  /* Before the first reply the worker's clock is not known. A worker that does not reply gets an
     empty sync as a probe: granting it leases would delay the time after which all of them are
     known to have expired. */
  if (status->boot == 0 || !iv_planner_reachable (planner, status, now_ms))
    return sync;
  for (guint i = 0; tasks && i < tasks->len; i++)
    add_sync_task (planner, sync, status, g_ptr_array_index (tasks, i), now_ms);
  add_unassigned_runs (planner, sync, status);
  if (sync->tasks->len > 0)
    status->max_lease_end_ms
        = MAX (status->max_lease_end_ms,
               now_ms
                   + iv_planner_add_clock_drift (planner, planner->options.lease_ms
                                                              + planner->options.start_window_ms));
  return sync;
}

static gboolean
sync_is_due (struct iv_worker_status *status, gint64 now_ms)
{
  if (status->sync_deadline_ms > now_ms)
    return FALSE;
  return status->dirty || now_ms >= status->next_sync_ms;
}

void
iv_planner_plan_syncs (struct iv_planner *planner, gint64 now_ms, GPtrArray *syncs)
{
  GHashTable *tasks_of_worker = NULL;
  GHashTableIter iter;
  gpointer value;
  g_hash_table_iter_init (&iter, planner->cell->workers);
  while (g_hash_table_iter_next (&iter, NULL, &value))
    {
      const struct iv_worker *worker = value;
      struct iv_worker_status *status = iv_planner_worker_status (planner, worker->id);
      if (!sync_is_due (status, now_ms))
        continue;
      if (tasks_of_worker == NULL)
        tasks_of_worker = tasks_by_worker (planner->cell);
      g_ptr_array_add (
          syncs, build_sync (planner, worker, status,
                             g_hash_table_lookup (tasks_of_worker, GUINT_TO_POINTER (worker->id)),
                             now_ms));
      status->dirty = FALSE;
      status->next_sync_ms = now_ms + planner->options.sync_ms;
      status->sync_deadline_ms = now_ms + planner->options.sync_timeout_ms;
    }
  if (tasks_of_worker)
    g_hash_table_destroy (tasks_of_worker);
}

static void
receive_usage (const struct iv_worker *worker, struct iv_worker_status *status,
               struct iv_sync_reply *reply)
{
  for (guint i = 0; i < reply->usage->len; i++)
    {
      ivx_usage *usage = &g_array_index (reply->usage, ivx_usage, i);
      guint64 taken_ms = MAX (status->usage_received_ms, worker->ledger.until_ms);
      if (usage->from_ms < taken_ms && !iv_ledger_has_gap (&worker->ledger, usage))
        continue;
      status->usage_received_ms = MAX (taken_ms, usage->until_ms);
      g_ptr_array_add (status->usage, g_memdup2 (usage, sizeof *usage));
      memset (usage, 0, sizeof *usage);
    }
}

static void
replace_reports (struct iv_worker_status *status, struct iv_sync_reply *reply)
{
  g_hash_table_remove_all (status->reports);
  for (guint i = 0; i < reply->reports->len && i < REPORTS_MAX; i++)
    {
      struct iv_run_report *copy = g_memdup2 (
          &g_array_index (reply->reports, struct iv_run_report, i), sizeof (struct iv_run_report));
      g_hash_table_replace (status->reports, copy, copy);
    }
}

void
iv_planner_handle_reply (struct iv_planner *planner, struct iv_now now, guint32 worker,
                         gint64 sent_ms, struct iv_sync_reply *reply)
{
  struct iv_worker_status *status;
  if (iv_cell_worker (planner->cell, worker) == NULL || !iv_planner_owns (planner))
    {
      iv_sync_reply_free (reply);
      return;
    }
  status = iv_planner_worker_status (planner, worker);
  status->sync_deadline_ms = 0;
  /* After a reboot the worker refuses the sync and does not know the term: sync again at once. */
  if (status->boot != 0 && reply->boot != status->boot && sent_ms > status->last_reply_ms)
    {
      status->boot = 0;
      status->replied = FALSE;
      status->dirty = TRUE;
    }
  /* Ignore replies to syncs of an earlier term and replies that arrive out of order. */
  if (sent_ms >= planner->owned_since_ms && reply->term == planner->cell->term
      && (reply->boot != status->boot || reply->clock_ms >= status->clock_ms))
    {
      status->dirty = status->boot == 0;
      status->boot = reply->boot;
      status->clock_ms = reply->clock_ms;
      status->clock_at_ms = now.mono_ms;
      status->last_reply_ms = sent_ms;
      status->replied = TRUE;
      replace_reports (status, reply);
      receive_usage (iv_cell_worker (planner->cell, worker), status, reply);
      iv_planner_observe_slowdown (planner, status, now.mono_ms);
    }
  iv_sync_reply_free (reply);
}

void
iv_planner_sync_failed (struct iv_planner *planner, guint32 worker)
{
  struct iv_worker_status *status
      = g_hash_table_lookup (planner->worker_statuses, GUINT_TO_POINTER (worker));
  if (status)
    status->sync_deadline_ms = 0;
}

guint64
iv_planner_free_cpu_milli (const struct iv_planner *planner, gint64 now_ms)
{
  GHashTableIter iter;
  gpointer value;
  guint64 free_milli = 0;
  g_hash_table_iter_init (&iter, planner->cell->workers);
  while (g_hash_table_iter_next (&iter, NULL, &value))
    {
      const struct iv_worker *worker = value;
      if (iv_planner_usable ((struct iv_planner *)planner, worker, now_ms))
        free_milli += worker->info.size.cpu_milli - worker->committed.cpu_milli;
    }
  return free_milli;
}
