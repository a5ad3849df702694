#include "cell.h"

#include "cell_rows.h"

#include <string.h>
#include <xxhash.h>

static guint
hash_gen (gconstpointer key)
{
  return (guint)XXH3_64bits (key, sizeof (guint64));
}

static gboolean
equal_gen (gconstpointer a, gconstpointer b)
{
  return *(const guint64 *)a == *(const guint64 *)b;
}

static guint
hash_task (gconstpointer key)
{
  const struct iv_task *task = key;
  guint64 parts[2] = { task->gen, task->index };
  return (guint)XXH3_64bits (parts, sizeof parts);
}

static gboolean
equal_task (gconstpointer a, gconstpointer b)
{
  const struct iv_task *x = a, *y = b;
  return x->gen == y->gen && x->index == y->index;
}

static void
free_worker (gpointer data)
{
  struct iv_worker *worker = data;
  xdr_free ((xdrproc_t)xdr_ivx_worker, (char *)&worker->info);
  iv_ledger_clear (&worker->ledger);
  g_free (worker);
}

static void
free_job (gpointer data)
{
  struct iv_job *job = data;
  xdr_free ((xdrproc_t)xdr_ivx_item, (char *)&job->item);
  g_free (job);
}

static void
free_task (gpointer data)
{
  struct iv_task *task = data;
  g_free (task->to);
  g_free (task);
}

static void
clear_row (gpointer data)
{
  xdr_free ((xdrproc_t)xdr_ivx_usage_row, data);
}

struct iv_cell *
iv_cell_new (const char *domain)
{
  struct iv_cell *cell = g_new0 (struct iv_cell, 1);
  cell->domain = g_strdup (domain);
  cell->owner = g_strdup ("");
  cell->next_job = cell->next_task = cell->next_worker = 1;
  iv_writers_init (&cell->writers);
  cell->workers = g_hash_table_new_full (NULL, NULL, NULL, free_worker);
  cell->worker_names = g_hash_table_new (g_str_hash, g_str_equal);
  cell->jobs = g_hash_table_new_full (NULL, NULL, NULL, free_job);
  cell->tasks = g_hash_table_new_full (NULL, NULL, NULL, free_task);
  cell->job_gens = g_hash_table_new (hash_gen, equal_gen);
  cell->task_keys = g_hash_table_new (hash_task, equal_task);
  cell->import_order = g_queue_new ();
  cell->imports = g_hash_table_new_full (hash_gen, equal_gen, g_free, NULL);
  cell->removed_usage = g_array_new (FALSE, TRUE, sizeof (ivx_usage_row));
  g_array_set_clear_func (cell->removed_usage, clear_row);
  return cell;
}

void
iv_cell_free (struct iv_cell *cell)
{
  if (cell == NULL)
    return;
  g_hash_table_destroy (cell->worker_names);
  g_hash_table_destroy (cell->job_gens);
  g_hash_table_destroy (cell->task_keys);
  g_hash_table_destroy (cell->tasks);
  g_hash_table_destroy (cell->jobs);
  g_hash_table_destroy (cell->workers);
  g_hash_table_destroy (cell->imports);
  g_queue_free (cell->import_order);
  g_array_free (cell->removed_usage, TRUE);
  iv_writers_clear (&cell->writers);
  g_free (cell->owner);
  g_free (cell->domain);
  g_free (cell);
}

struct iv_worker *
iv_cell_worker (const struct iv_cell *cell, guint32 id)
{
  return g_hash_table_lookup (cell->workers, GUINT_TO_POINTER (id));
}

struct iv_worker *
iv_cell_worker_by_name (const struct iv_cell *cell, const char *name)
{
  return g_hash_table_lookup (cell->worker_names, name);
}

struct iv_task *
iv_cell_task (const struct iv_cell *cell, guint32 id)
{
  return g_hash_table_lookup (cell->tasks, GUINT_TO_POINTER (id));
}

struct iv_job *
iv_cell_job (const struct iv_cell *cell, guint32 id)
{
  return g_hash_table_lookup (cell->jobs, GUINT_TO_POINTER (id));
}

struct iv_job *
iv_cell_job_by_gen (const struct iv_cell *cell, guint64 gen)
{
  return g_hash_table_lookup (cell->job_gens, &gen);
}

struct iv_task *
iv_cell_task_by_gen (const struct iv_cell *cell, guint64 gen, guint32 index)
{
  struct iv_task key = { .gen = gen, .index = index };
  return g_hash_table_lookup (cell->task_keys, &key);
}

gboolean
iv_worker_fits (const struct iv_worker *worker, const ivx_size *size)
{
  const ivx_size *all = &worker->info.size, *used = &worker->committed;
  return size->cpu_milli <= all->cpu_milli - used->cpu_milli
         && size->memory_mib <= all->memory_mib - used->memory_mib
         && size->accelerators <= all->accelerators - used->accelerators;
}

guint32
iv_job_ended_tasks (const struct iv_job *job)
{
  return job->done + job->failed + job->cancel_count + job->unknown;
}

struct iv_worker *
iv_cell_add_worker (struct iv_cell *cell, guint32 id, const ivx_worker *info)
{
  struct iv_worker *worker = g_new0 (struct iv_worker, 1);
  worker->id = id;
  iv_xdr_copy ((iv_xdr_proc)xdr_ivx_worker, info, &worker->info);
  iv_ledger_init (&worker->ledger, info->size.cpu_milli, info->start_ms);
  g_hash_table_insert (cell->workers, GUINT_TO_POINTER (id), worker);
  g_hash_table_insert (cell->worker_names, worker->info.name, worker);
  return worker;
}

struct iv_job *
iv_cell_add_job (struct iv_cell *cell, guint32 id, const ivx_item *item, guint64 gen)
{
  struct iv_job *job = g_new0 (struct iv_job, 1);
  job->id = id;
  job->gen = gen;
  iv_xdr_copy ((iv_xdr_proc)xdr_ivx_item, item, &job->item);
  g_hash_table_insert (cell->jobs, GUINT_TO_POINTER (id), job);
  g_hash_table_insert (cell->job_gens, &job->gen, job);
  return job;
}

struct iv_task *
iv_cell_add_task (struct iv_cell *cell, guint32 id, struct iv_job *job, guint32 index)
{
  struct iv_task *task = g_new0 (struct iv_task, 1);
  task->id = id;
  task->job = job->id;
  task->gen = job->gen;
  task->index = index;
  task->worker = IV_NO_WORKER;
  job->live_tasks++;
  g_hash_table_insert (cell->tasks, GUINT_TO_POINTER (id), task);
  g_hash_table_replace (cell->task_keys, task, task);
  return task;
}

void
iv_cell_bind_task (struct iv_cell *cell, struct iv_task *task, struct iv_worker *worker)
{
  const ivx_size *size = &iv_cell_job (cell, task->job)->item.size;
  task->state = IV_TASK_BOUND;
  task->worker = worker->id;
  worker->committed.cpu_milli += size->cpu_milli;
  worker->committed.memory_mib += size->memory_mib;
  worker->committed.accelerators += size->accelerators;
  worker->bound++;
}

gboolean
iv_cell_record_import (struct iv_cell *cell, guint64 key)
{
  guint64 *copy;
  if (g_hash_table_contains (cell->imports, &key))
    return FALSE;
  while (cell->import_order->length >= IV_IMPORTS_MAX)
    g_hash_table_remove (cell->imports, g_queue_pop_head (cell->import_order));
  copy = g_new (guint64, 1);
  *copy = key;
  g_hash_table_add (cell->imports, copy);
  g_queue_push_tail (cell->import_order, copy);
  return TRUE;
}

static void
unbind_task (struct iv_cell *cell, struct iv_task *task)
{
  struct iv_worker *worker = iv_cell_worker (cell, task->worker);
  const ivx_size *size = &iv_cell_job (cell, task->job)->item.size;
  task->worker = IV_NO_WORKER;
  if (worker == NULL)
    return;
  worker->committed.cpu_milli -= size->cpu_milli;
  worker->committed.memory_mib -= size->memory_mib;
  worker->committed.accelerators -= size->accelerators;
  worker->bound--;
}

static void
remove_job (struct iv_cell *cell, struct iv_job *job)
{
  g_hash_table_remove (cell->job_gens, &job->gen);
  g_hash_table_remove (cell->jobs, GUINT_TO_POINTER (job->id));
}

static void
remove_task (struct iv_cell *cell, struct iv_task *task)
{
  iv_cell_job (cell, task->job)->live_tasks--;
  g_hash_table_remove (cell->task_keys, task);
  g_hash_table_remove (cell->tasks, GUINT_TO_POINTER (task->id));
}

static void
end_task (struct iv_cell *cell, struct iv_task *task, ivx_result result)
{
  struct iv_job *job = iv_cell_job (cell, task->job);
  if (task->state == IV_TASK_BOUND)
    unbind_task (cell, task);
  job->done += result == IVX_DONE;
  job->failed += result == IVX_FAILED || result == IVX_IMPOSSIBLE;
  job->cancel_count += result == IVX_CANCELLED;
  job->unknown += result == IVX_UNKNOWN;
  remove_task (cell, task);
}

static gboolean
apply_claim (struct iv_cell *cell, const ivx_claim *claim, guint64 offset)
{
  if (claim->term != cell->term + 1)
    return FALSE;
  cell->term = claim->term;
  cell->claim_offset = offset;
  g_free (cell->owner);
  cell->owner = g_strdup (claim->host);
  return TRUE;
}

static gboolean
apply_worker (struct iv_cell *cell, const ivx_worker *info)
{
  if (iv_cell_worker_by_name (cell, info->name) != NULL)
    return FALSE;
  iv_cell_add_worker (cell, cell->next_worker++, info);
  return TRUE;
}

static gboolean
apply_worker_removed (struct iv_cell *cell, const ivx_worker_removed *removed)
{
  struct iv_worker *worker = iv_cell_worker (cell, removed->worker);
  if (worker == NULL || worker->bound > 0)
    return FALSE;
  iv_ledger_close (&worker->ledger, removed->end_ms);
  for (guint i = 0; i < worker->ledger.rows->len; i++)
    {
      const ivx_usage_row *row = &g_array_index (worker->ledger.rows, ivx_usage_row, i);
      iv_usage_rows_add (cell->removed_usage, row->kind, row->team, row->name, row->core_us);
    }
  g_hash_table_remove (cell->worker_names, worker->info.name);
  g_hash_table_remove (cell->workers, GUINT_TO_POINTER (removed->worker));
  return TRUE;
}

static gboolean
apply_admit (struct iv_cell *cell, const ivx_admit *admit)
{
  struct iv_job *job = iv_cell_job_by_gen (cell, admit->gen);
  if (admit->config_next < cell->config_floor || (job && job->admitted) || (job && job->cancelled))
    return FALSE;
  if (job == NULL)
    job = iv_cell_add_job (cell, cell->next_job++, &admit->item, admit->gen);
  job->admitted = TRUE;
  for (guint32 i = 0; i < admit->count; i++)
    iv_cell_add_task (cell, cell->next_task++, job, admit->first + i);
  return TRUE;
}

static gboolean
apply_bind (struct iv_cell *cell, const ivx_bind *bind, guint64 offset)
{
  struct iv_task *task = iv_cell_task (cell, bind->task);
  struct iv_worker *worker = iv_cell_worker (cell, bind->worker);
  struct iv_job *job;
  if (task == NULL || worker == NULL || task->state != IV_TASK_QUEUED)
    return FALSE;
  job = iv_cell_job (cell, task->job);
  if (job->cancelled || !iv_worker_fits (worker, &job->item.size))
    return FALSE;
  task->attempt++;
  task->bind_offset = offset;
  iv_cell_bind_task (cell, task, worker);
  return TRUE;
}

static gboolean
apply_finish (struct iv_cell *cell, const ivx_finish *finish)
{
  struct iv_task *task = iv_cell_task (cell, finish->task);
  if (task == NULL || task->attempt != finish->attempt || task->state == IV_TASK_EXPORTING)
    return FALSE;
  if (task->state == IV_TASK_QUEUED && finish->result == IVX_DONE)
    return FALSE;
  end_task (cell, task, finish->result);
  return TRUE;
}

/* The job may have been cancelled since the owner decided, even earlier in the same batch; the task
   then ends instead of returning to the queue. */
static gboolean
apply_requeue (struct iv_cell *cell, const ivx_requeue *requeue)
{
  struct iv_task *task = iv_cell_task (cell, requeue->task);
  if (task == NULL || task->state != IV_TASK_BOUND || task->attempt != requeue->attempt)
    return FALSE;
  if (iv_cell_job (cell, task->job)->cancelled)
    {
      end_task (cell, task, IVX_CANCELLED);
      return TRUE;
    }
  unbind_task (cell, task);
  task->state = IV_TASK_QUEUED;
  task->progress_ms = MAX (task->progress_ms, requeue->progress_ms);
  task->failures += requeue->failed;
  cell->evictions += requeue->evicted;
  return TRUE;
}

static gboolean
apply_cancel_job (struct iv_cell *cell, const ivx_cancel_job *cancel)
{
  struct iv_job *job = iv_cell_job_by_gen (cell, cancel->gen);
  GHashTableIter iter;
  gpointer value;
  GPtrArray *queued;
  if (job == NULL || job->cancelled)
    return FALSE;
  job->cancelled = TRUE;
  queued = g_ptr_array_new ();
  g_hash_table_iter_init (&iter, cell->tasks);
  while (g_hash_table_iter_next (&iter, NULL, &value))
    {
      struct iv_task *task = value;
      if (task->job == job->id && task->state == IV_TASK_QUEUED)
        g_ptr_array_add (queued, task);
    }
  for (guint i = 0; i < queued->len; i++)
    end_task (cell, g_ptr_array_index (queued, i), IVX_CANCELLED);
  g_ptr_array_free (queued, TRUE);
  return TRUE;
}

static gboolean
apply_export (struct iv_cell *cell, const ivx_export *task_export)
{
  struct iv_task *task = iv_cell_task (cell, task_export->task);
  if (task == NULL || task->state != IV_TASK_QUEUED || strcmp (task_export->to, cell->domain) == 0)
    return FALSE;
  task->state = IV_TASK_EXPORTING;
  task->to = g_strdup (task_export->to);
  return TRUE;
}

static gboolean
apply_exported (struct iv_cell *cell, const ivx_exported *exported)
{
  struct iv_task *task = iv_cell_task (cell, exported->task);
  if (task == NULL || task->state != IV_TASK_EXPORTING)
    return FALSE;
  remove_task (cell, task);
  return TRUE;
}

static guint64
import_key (const ivx_import *task_import)
{
  guint64 parts[3] = { task_import->gen, task_import->index, task_import->moves };
  return XXH3_64bits (parts, sizeof parts);
}

static gboolean
apply_import (struct iv_cell *cell, const ivx_import *task_import)
{
  struct iv_job *job;
  struct iv_task *task;
  if (!iv_cell_record_import (cell, import_key (task_import)))
    return FALSE;
  job = iv_cell_job_by_gen (cell, task_import->gen);
  if (job == NULL)
    job = iv_cell_add_job (cell, cell->next_job++, &task_import->item, task_import->gen);
  /* An import of a task that is still exporting here proves that its export had arrived. */
  task = iv_cell_task_by_gen (cell, task_import->gen, task_import->index);
  if (task != NULL && task->state != IV_TASK_EXPORTING)
    return FALSE;
  if (task != NULL)
    remove_task (cell, task);
  task = iv_cell_add_task (cell, cell->next_task++, job, task_import->index);
  task->attempt = task_import->attempt;
  task->moves = task_import->moves;
  task->progress_ms = task_import->progress_ms;
  if (job->cancelled)
    end_task (cell, task, IVX_CANCELLED);
  return TRUE;
}

/* A job is removed only when it has no tasks left. The config floor keeps a writer that has not yet
   read the job's end from admitting it again. */
static gboolean
apply_job_removed (struct iv_cell *cell, const ivx_job_removed *removed)
{
  struct iv_job *job = iv_cell_job_by_gen (cell, removed->gen);
  if (job == NULL || job->live_tasks > 0)
    return FALSE;
  cell->config_floor = MAX (cell->config_floor, removed->config_next);
  remove_job (cell, job);
  return TRUE;
}

static gboolean
apply_usage (struct iv_cell *cell, const ivx_usage *usage)
{
  struct iv_worker *worker = iv_cell_worker (cell, usage->worker);
  return worker != NULL && iv_ledger_add_usage (&worker->ledger, usage);
}

static gboolean
apply_owner_record (struct iv_cell *cell, const ivx_record *record, guint64 offset)
{
  switch (record->kind)
    {
    case IVX_RENEW:
      return TRUE;
    case IVX_WORKER:
      return apply_worker (cell, &record->ivx_record_u.worker);
    case IVX_WORKER_REMOVED:
      return apply_worker_removed (cell, &record->ivx_record_u.worker_removed);
    case IVX_ADMIT:
      return apply_admit (cell, &record->ivx_record_u.admit);
    case IVX_BIND:
      return apply_bind (cell, &record->ivx_record_u.bind, offset);
    case IVX_FINISH:
      return apply_finish (cell, &record->ivx_record_u.finish);
    case IVX_REQUEUE:
      return apply_requeue (cell, &record->ivx_record_u.requeue);
    case IVX_CANCEL_JOB:
      return apply_cancel_job (cell, &record->ivx_record_u.cancel_job);
    case IVX_EXPORT:
      return apply_export (cell, &record->ivx_record_u.task_export);
    case IVX_EXPORTED:
      return apply_exported (cell, &record->ivx_record_u.exported);
    case IVX_JOB_REMOVED:
      return apply_job_removed (cell, &record->ivx_record_u.job_removed);
    case IVX_USAGE:
      return apply_usage (cell, &record->ivx_record_u.usage);
    default:
      return FALSE;
    }
}

static gboolean
apply_record (struct iv_cell *cell, const ivx_record *record, guint64 offset, guint32 term)
{
  if (record->kind == IVX_CLAIM)
    return apply_claim (cell, &record->ivx_record_u.claim, offset);
  if (record->kind == IVX_IMPORT)
    return apply_import (cell, &record->ivx_record_u.task_import);
  if (record->kind == IVX_SNAPSHOT_CHUNK)
    return TRUE;
  return term == cell->term && term > 0 && apply_owner_record (cell, record, offset);
}

enum iv_apply_result
iv_cell_apply (struct iv_cell *cell, guint64 offset, const ivx_batch *batch)
{
  enum iv_apply_result result = IV_APPLY_DONE;
  g_assert (offset >= cell->next);
  cell->next = offset + 1;
  if (!iv_writers_accept (&cell->writers, batch))
    return IV_APPLY_DUPLICATE;
  for (u_int i = 0; i < batch->records.records_len; i++)
    if (!apply_record (cell, &batch->records.records_val[i], offset, batch->term))
      result = IV_APPLY_REJECTED;
  return result;
}
