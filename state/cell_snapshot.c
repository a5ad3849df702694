#include "cell.h"

#include "cell_rows.h"

#define SNAPSHOT_BYTES_MAX (64 * 1024 * 1024)

static gint
compare_ids (gconstpointer a, gconstpointer b)
{
  guint x = GPOINTER_TO_UINT (a), y = GPOINTER_TO_UINT (b);
  return x < y ? -1 : x > y;
}

static GList *
sorted_ids (GHashTable *table)
{
  return g_list_sort (g_hash_table_get_keys (table), compare_ids);
}

static void
save_workers (const struct iv_cell *cell, ivx_cell_snapshot *snapshot)
{
  GList *ids = sorted_ids (cell->workers);
  ivx_worker_state *rows = g_new0 (ivx_worker_state, g_list_length (ids) + 1);
  guint n = 0;
  for (GList *l = ids; l; l = l->next)
    {
      const struct iv_worker *worker = iv_cell_worker (cell, GPOINTER_TO_UINT (l->data));
      ivx_worker_state *row = &rows[n++];
      row->id = worker->id;
      row->worker = worker->info;
      row->until_ms = worker->ledger.until_ms;
      row->rows.rows_len = worker->ledger.rows->len;
      row->rows.rows_val = (ivx_usage_row *)worker->ledger.rows->data;
      row->gaps.gaps_len = worker->ledger.gaps->len;
      row->gaps.gaps_val = (ivx_gap *)worker->ledger.gaps->data;
    }
  snapshot->workers.workers_len = n;
  snapshot->workers.workers_val = rows;
  g_list_free (ids);
}

static void
save_jobs (const struct iv_cell *cell, ivx_cell_snapshot *snapshot)
{
  GList *ids = sorted_ids (cell->jobs);
  ivx_job_state *rows = g_new0 (ivx_job_state, g_list_length (ids) + 1);
  guint n = 0;
  for (GList *l = ids; l; l = l->next)
    {
      const struct iv_job *job = iv_cell_job (cell, GPOINTER_TO_UINT (l->data));
      rows[n++] = (ivx_job_state){ .id = job->id,
                                   .item = job->item,
                                   .gen = job->gen,
                                   .cancelled = job->cancelled,
                                   .admitted = job->admitted,
                                   .done = job->done,
                                   .failed = job->failed,
                                   .cancel_count = job->cancel_count,
                                   .unknown = job->unknown,
                                   .live_tasks = job->live_tasks };
    }
  snapshot->jobs.jobs_len = n;
  snapshot->jobs.jobs_val = rows;
  g_list_free (ids);
}

static void
save_tasks (const struct iv_cell *cell, ivx_cell_snapshot *snapshot)
{
  GList *ids = sorted_ids (cell->tasks);
  ivx_task_state *rows = g_new0 (ivx_task_state, g_list_length (ids) + 1);
  guint n = 0;
  for (GList *l = ids; l; l = l->next)
    {
      const struct iv_task *task = iv_cell_task (cell, GPOINTER_TO_UINT (l->data));
      rows[n++] = (ivx_task_state){ .id = task->id,
                                    .job = task->job,
                                    .index = task->index,
                                    .state = task->state,
                                    .attempt = task->attempt,
                                    .worker = task->worker,
                                    .progress_ms = task->progress_ms,
                                    .failures = task->failures,
                                    .moves = task->moves,
                                    .bind_offset = task->bind_offset,
                                    .to = task->to ? task->to : (char *)"" };
    }
  snapshot->tasks.tasks_len = n;
  snapshot->tasks.tasks_val = rows;
  g_list_free (ids);
}

static void
save_imports (const struct iv_cell *cell, ivx_cell_snapshot *snapshot)
{
  guint n = 0;
  snapshot->imports.imports_val = g_new0 (u_quad_t, cell->import_order->length + 1);
  for (GList *l = cell->import_order->head; l; l = l->next)
    snapshot->imports.imports_val[n++] = *(const guint64 *)l->data;
  snapshot->imports.imports_len = n;
}

/* `snapshot` points into memory of the cell; only the row arrays that the save functions allocate
   are freed. */
GByteArray *
iv_cell_save (const struct iv_cell *cell)
{
  ivx_cell_snapshot snapshot = { .next = cell->next,
                                 .term = cell->term,
                                 .owner = cell->owner,
                                 .config_floor = cell->config_floor,
                                 .evictions = cell->evictions,
                                 .next_worker = cell->next_worker,
                                 .next_job = cell->next_job,
                                 .next_task = cell->next_task };
  GByteArray *bytes;
  snapshot.writers.writers_len = cell->writers.rows->len;
  snapshot.writers.writers_val = (ivx_writer_state *)cell->writers.rows->data;
  snapshot.removed_usage.removed_usage_len = cell->removed_usage->len;
  snapshot.removed_usage.removed_usage_val = (ivx_usage_row *)cell->removed_usage->data;
  save_workers (cell, &snapshot);
  save_jobs (cell, &snapshot);
  save_tasks (cell, &snapshot);
  save_imports (cell, &snapshot);
  bytes = iv_xdr_encode ((iv_xdr_proc)xdr_ivx_cell_snapshot, &snapshot, SNAPSHOT_BYTES_MAX);
  g_free (snapshot.workers.workers_val);
  g_free (snapshot.jobs.jobs_val);
  g_free (snapshot.tasks.tasks_val);
  g_free (snapshot.imports.imports_val);
  return bytes;
}

static void
load_workers (struct iv_cell *cell, const ivx_cell_snapshot *snapshot)
{
  for (u_int i = 0; i < snapshot->workers.workers_len; i++)
    {
      const ivx_worker_state *row = &snapshot->workers.workers_val[i];
      struct iv_worker *worker = iv_cell_add_worker (cell, row->id, &row->worker);
      worker->ledger.until_ms = row->until_ms;
      for (u_int j = 0; j < row->rows.rows_len; j++)
        {
          const ivx_usage_row *usage = &row->rows.rows_val[j];
          iv_usage_rows_add (worker->ledger.rows, usage->kind, usage->team, usage->name,
                             usage->core_us);
        }
      g_array_append_vals (worker->ledger.gaps, row->gaps.gaps_val, row->gaps.gaps_len);
    }
}

static void
load_jobs (struct iv_cell *cell, const ivx_cell_snapshot *snapshot)
{
  for (u_int i = 0; i < snapshot->jobs.jobs_len; i++)
    {
      const ivx_job_state *row = &snapshot->jobs.jobs_val[i];
      struct iv_job *job = iv_cell_add_job (cell, row->id, &row->item, row->gen);
      job->cancelled = row->cancelled;
      job->admitted = row->admitted;
      job->done = row->done;
      job->failed = row->failed;
      job->cancel_count = row->cancel_count;
      job->unknown = row->unknown;
    }
}

static gboolean
load_task (struct iv_cell *cell, const ivx_task_state *row)
{
  struct iv_job *job = iv_cell_job (cell, row->job);
  struct iv_worker *worker = iv_cell_worker (cell, row->worker);
  struct iv_task *task;
  if (job == NULL || row->state > IV_TASK_EXPORTING)
    return FALSE;
  if (row->state == IV_TASK_BOUND && (worker == NULL || !iv_worker_fits (worker, &job->item.size)))
    return FALSE;
  task = iv_cell_add_task (cell, row->id, job, row->index);
  task->state = (enum iv_task_state)row->state;
  task->attempt = row->attempt;
  task->progress_ms = row->progress_ms;
  task->failures = row->failures;
  task->moves = row->moves;
  task->bind_offset = row->bind_offset;
  if (row->state == IV_TASK_EXPORTING)
    task->to = g_strdup (row->to);
  if (row->state == IV_TASK_BOUND)
    iv_cell_bind_task (cell, task, worker);
  return TRUE;
}

static gboolean
load_rows (struct iv_cell *cell, const ivx_cell_snapshot *snapshot)
{
  load_workers (cell, snapshot);
  load_jobs (cell, snapshot);
  for (u_int i = 0; i < snapshot->tasks.tasks_len; i++)
    if (!load_task (cell, &snapshot->tasks.tasks_val[i]))
      return FALSE;
  for (u_int i = 0; i < snapshot->imports.imports_len; i++)
    iv_cell_record_import (cell, snapshot->imports.imports_val[i]);
  for (u_int i = 0; i < snapshot->removed_usage.removed_usage_len; i++)
    {
      const ivx_usage_row *row = &snapshot->removed_usage.removed_usage_val[i];
      iv_usage_rows_add (cell->removed_usage, row->kind, row->team, row->name, row->core_us);
    }
  return TRUE;
}

struct iv_cell *
iv_cell_load (const char *domain, const guint8 *bytes, gsize len)
{
  ivx_cell_snapshot snapshot = { 0 };
  struct iv_cell *cell;
  gboolean ok;
  if (iv_xdr_decode ((iv_xdr_proc)xdr_ivx_cell_snapshot, bytes, len, &snapshot) != IV_OK)
    return NULL;
  cell = iv_cell_new (domain);
  cell->next = snapshot.next;
  cell->term = snapshot.term;
  g_free (cell->owner);
  cell->owner = g_strdup (snapshot.owner);
  cell->config_floor = snapshot.config_floor;
  cell->evictions = snapshot.evictions;
  cell->next_worker = snapshot.next_worker;
  cell->next_job = snapshot.next_job;
  cell->next_task = snapshot.next_task;
  g_array_append_vals (cell->writers.rows, snapshot.writers.writers_val,
                       snapshot.writers.writers_len);
  ok = load_rows (cell, &snapshot);
  xdr_free ((xdrproc_t)xdr_ivx_cell_snapshot, (char *)&snapshot);
  if (ok)
    return cell;
  iv_cell_free (cell);
  iv_fail (IV_ERR_INVALID,
           "snapshot of the domain is inconsistent: a task has an unknown job or state, or its "
           "worker is missing or full");
  return NULL;
}
