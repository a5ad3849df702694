#include "domain_state.h"

#include "domain_state_private.h"

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
save_workers (const struct iv_domain_state *state, ivx_domain_snapshot *snapshot)
{
  GList *ids = sorted_ids (state->workers);
  ivx_worker_state *rows = g_new0 (ivx_worker_state, g_list_length (ids) + 1);
  guint n = 0;
  for (GList *l = ids; l; l = l->next)
    {
      const struct iv_worker *worker = iv_domain_state_worker (state, GPOINTER_TO_UINT (l->data));
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
save_jobs (const struct iv_domain_state *state, ivx_domain_snapshot *snapshot)
{
  GList *ids = sorted_ids (state->jobs);
  ivx_job_state *rows = g_new0 (ivx_job_state, g_list_length (ids) + 1);
  guint n = 0;
  for (GList *l = ids; l; l = l->next)
    {
      const struct iv_job *job = iv_domain_state_job (state, GPOINTER_TO_UINT (l->data));
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
save_tasks (const struct iv_domain_state *state, ivx_domain_snapshot *snapshot)
{
  GList *ids = sorted_ids (state->tasks);
  ivx_task_state *rows = g_new0 (ivx_task_state, g_list_length (ids) + 1);
  guint n = 0;
  for (GList *l = ids; l; l = l->next)
    {
      const struct iv_task *task = iv_domain_state_task (state, GPOINTER_TO_UINT (l->data));
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
save_imports (const struct iv_domain_state *state, ivx_domain_snapshot *snapshot)
{
  guint n = 0;
  snapshot->imports.imports_val = g_new0 (u_quad_t, state->import_order->length + 1);
  for (GList *l = state->import_order->head; l; l = l->next)
    snapshot->imports.imports_val[n++] = *(const guint64 *)l->data;
  snapshot->imports.imports_len = n;
}

/* `snapshot` points into memory of the state; only the row arrays that the save functions allocate
   are freed. */
GByteArray *
iv_domain_state_save (const struct iv_domain_state *state)
{
  ivx_domain_snapshot snapshot = { .next = state->next,
                                   .term = state->term,
                                   .owner = state->owner,
                                   .config_floor = state->config_floor,
                                   .evictions = state->evictions,
                                   .next_worker = state->next_worker,
                                   .next_job = state->next_job,
                                   .next_task = state->next_task };
  GByteArray *bytes;
  snapshot.writers.writers_len = state->writers.rows->len;
  snapshot.writers.writers_val = (ivx_writer_state *)state->writers.rows->data;
  snapshot.removed_usage.removed_usage_len = state->removed_usage->len;
  snapshot.removed_usage.removed_usage_val = (ivx_usage_row *)state->removed_usage->data;
  save_workers (state, &snapshot);
  save_jobs (state, &snapshot);
  save_tasks (state, &snapshot);
  save_imports (state, &snapshot);
  bytes = iv_xdr_encode ((iv_xdr_proc)xdr_ivx_domain_snapshot, &snapshot, SNAPSHOT_BYTES_MAX);
  g_free (snapshot.workers.workers_val);
  g_free (snapshot.jobs.jobs_val);
  g_free (snapshot.tasks.tasks_val);
  g_free (snapshot.imports.imports_val);
  return bytes;
}

static void
load_workers (struct iv_domain_state *state, const ivx_domain_snapshot *snapshot)
{
  for (u_int i = 0; i < snapshot->workers.workers_len; i++)
    {
      const ivx_worker_state *row = &snapshot->workers.workers_val[i];
      struct iv_worker *worker = iv_domain_state_add_worker (state, row->id, &row->worker);
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
load_jobs (struct iv_domain_state *state, const ivx_domain_snapshot *snapshot)
{
  for (u_int i = 0; i < snapshot->jobs.jobs_len; i++)
    {
      const ivx_job_state *row = &snapshot->jobs.jobs_val[i];
      struct iv_job *job = iv_domain_state_add_job (state, row->id, &row->item, row->gen);
      job->cancelled = row->cancelled;
      job->admitted = row->admitted;
      job->done = row->done;
      job->failed = row->failed;
      job->cancel_count = row->cancel_count;
      job->unknown = row->unknown;
    }
}

static gboolean
load_task (struct iv_domain_state *state, const ivx_task_state *row)
{
  struct iv_job *job = iv_domain_state_job (state, row->job);
  struct iv_worker *worker = iv_domain_state_worker (state, row->worker);
  struct iv_task *task;
  if (job == NULL || row->state > IV_TASK_EXPORTING)
    return FALSE;
  if (row->state == IV_TASK_BOUND && (worker == NULL || !iv_worker_fits (worker, &job->item.size)))
    return FALSE;
  task = iv_domain_state_add_task (state, row->id, job, row->index);
  task->state = (enum iv_task_state)row->state;
  task->attempt = row->attempt;
  task->progress_ms = row->progress_ms;
  task->failures = row->failures;
  task->moves = row->moves;
  task->bind_offset = row->bind_offset;
  if (row->state == IV_TASK_EXPORTING)
    task->to = g_strdup (row->to);
  if (row->state == IV_TASK_BOUND)
    iv_domain_state_bind_task (state, task, worker);
  return TRUE;
}

static gboolean
load_rows (struct iv_domain_state *state, const ivx_domain_snapshot *snapshot)
{
  load_workers (state, snapshot);
  load_jobs (state, snapshot);
  for (u_int i = 0; i < snapshot->tasks.tasks_len; i++)
    if (!load_task (state, &snapshot->tasks.tasks_val[i]))
      return FALSE;
  for (u_int i = 0; i < snapshot->imports.imports_len; i++)
    iv_domain_state_record_import (state, snapshot->imports.imports_val[i]);
  for (u_int i = 0; i < snapshot->removed_usage.removed_usage_len; i++)
    {
      const ivx_usage_row *row = &snapshot->removed_usage.removed_usage_val[i];
      iv_usage_rows_add (state->removed_usage, row->kind, row->team, row->name, row->core_us);
    }
  return TRUE;
}

struct iv_domain_state *
iv_domain_state_load (const char *domain, const guint8 *bytes, gsize len)
{
  ivx_domain_snapshot snapshot = { 0 };
  struct iv_domain_state *state;
  gboolean ok;
  if (iv_xdr_decode ((iv_xdr_proc)xdr_ivx_domain_snapshot, bytes, len, &snapshot) != IV_OK)
    return NULL;
  state = iv_domain_state_new (domain);
  state->next = snapshot.next;
  state->term = snapshot.term;
  g_free (state->owner);
  state->owner = g_strdup (snapshot.owner);
  state->config_floor = snapshot.config_floor;
  state->evictions = snapshot.evictions;
  state->next_worker = snapshot.next_worker;
  state->next_job = snapshot.next_job;
  state->next_task = snapshot.next_task;
  g_array_append_vals (state->writers.rows, snapshot.writers.writers_val,
                       snapshot.writers.writers_len);
  ok = load_rows (state, &snapshot);
  xdr_free ((xdrproc_t)xdr_ivx_domain_snapshot, (char *)&snapshot);
  if (ok)
    return state;
  iv_domain_state_free (state);
  iv_fail (IV_ERR_INVALID,
           "snapshot of the domain is inconsistent: a task has an unknown job or state, or its "
           "worker is missing or full");
  return NULL;
}
