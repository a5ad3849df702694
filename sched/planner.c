#include "planner.h"

#include "planner_private.h"

#include <stdlib.h>
#include <string.h>
#include <xxhash.h>

#include "chunks.h"

#define RECORDS_PER_BATCH 2048
#define RECORD_BYTES_PER_BATCH (256 * 1024)

static guint
hash_report (gconstpointer key)
{
  const struct iv_run_report *report = key;
  guint64 parts[2] = { report->gen, report->index };
  return (guint)XXH3_64bits (parts, sizeof parts);
}

static gboolean
equal_report (gconstpointer a, gconstpointer b)
{
  const struct iv_run_report *x = a, *y = b;
  return x->gen == y->gen && x->index == y->index;
}

static void
free_usage (gpointer data)
{
  xdr_free ((xdrproc_t)xdr_ivx_usage, data);
  g_free (data);
}

static void
free_worker_status (gpointer data)
{
  struct iv_worker_status *status = data;
  g_hash_table_destroy (status->reports);
  g_ptr_array_free (status->usage, TRUE);
  g_free (status);
}

static void
clear_host (gpointer data)
{
  struct iv_host_entry *entry = data;
  xdr_free ((xdrproc_t)xdr_ivx_worker, (char *)&entry->info);
}

struct iv_planner_options
iv_planner_default_options (void)
{
  return (struct iv_planner_options){
    .lease_ms = 6000,
    .start_window_ms = 1000,
    .evidence_max_age_ms = 3000,
    .horizon_ms = 60000,
    .takeover_ms = 4000,
    .renew_ms = 1000,
    .sync_ms = 1000,
    .sync_timeout_ms = 2000,
    .drain_ms = 10000,
    .interference_wait_max_ms = 60000,
    .cooldown_ms = 10000,
    .clock_rate_permille = 10,
    .starts_per_step = 512,
    .snapshot_every = 2000,
    .snapshot_interval_ms = 300000,
    .throttle_above = 0.25,
    .evict_above = 0.6,
    .strategy = IV_STRATEGY_INTERFERENCE,
    .weights
    = { .tail = 1, .throughput = 1, .packing = 0.2, .spread = 0.5, .caution = 0.5, .guard = 0.25 },
  };
}

struct iv_planner *
iv_planner_new (const char *domain, const char *host, guint64 incarnation,
                const struct iv_planner_options *options, gint64 now_ms)
{
  struct iv_planner *planner = g_new0 (struct iv_planner, 1);
  char *identity = g_strdup_printf ("%s/owner/%s", host, domain);
  planner->domain = g_strdup (domain);
  planner->host = g_strdup (host);
  planner->writer = XXH3_64bits (identity, strlen (identity));
  planner->incarnation = incarnation;
  planner->options = *options;
  planner->cell = iv_cell_new (domain);
  planner->owner_seen_ms = now_ms;
  planner->cell_evidence_ms = planner->config_evidence_ms = G_MININT64 / 2;
  planner->last_append_ms = G_MININT64 / 2;
  planner->snapshot_records = g_queue_new ();
  planner->hosts = g_array_new (FALSE, TRUE, sizeof (struct iv_host_entry));
  g_array_set_clear_func (planner->hosts, clear_host);
  planner->host_positions = g_hash_table_new (g_str_hash, g_str_equal);
  planner->worker_statuses = g_hash_table_new_full (NULL, NULL, NULL, free_worker_status);
  planner->task_statuses = g_hash_table_new_full (NULL, NULL, NULL, g_free);
  planner->confirmed_moves = g_hash_table_new (NULL, NULL);
  planner->model = iv_interference_new (NULL);
  planner->health = iv_health_new ();
  g_free (identity);
  return planner;
}

static void
discard_snapshot (struct iv_planner *planner)
{
  ivx_record *record;
  while ((record = g_queue_pop_head (planner->snapshot_records)) != NULL)
    {
      xdr_free ((xdrproc_t)xdr_ivx_record, (char *)record);
      g_free (record);
    }
}

void
iv_planner_free (struct iv_planner *planner)
{
  if (planner == NULL)
    return;
  discard_snapshot (planner);
  g_queue_free (planner->snapshot_records);
  iv_cell_free (planner->cell);
  g_hash_table_destroy (planner->host_positions);
  g_array_free (planner->hosts, TRUE);
  g_hash_table_destroy (planner->worker_statuses);
  g_hash_table_destroy (planner->task_statuses);
  g_hash_table_destroy (planner->confirmed_moves);
  iv_interference_free (planner->model);
  iv_health_free (planner->health);
  g_free (planner->domain);
  g_free (planner->host);
  g_free (planner);
}

struct iv_worker_status *
iv_planner_worker_status (struct iv_planner *planner, guint32 worker)
{
  struct iv_worker_status *status
      = g_hash_table_lookup (planner->worker_statuses, GUINT_TO_POINTER (worker));
  if (status)
    return status;
  status = g_new0 (struct iv_worker_status, 1);
  status->worker = worker;
  status->last_reply_ms = G_MININT64 / 2;
  status->max_lease_end_ms = G_MININT64 / 2;
  status->reports = g_hash_table_new_full (hash_report, equal_report, g_free, NULL);
  status->usage = g_ptr_array_new_with_free_func (free_usage);
  g_hash_table_insert (planner->worker_statuses, GUINT_TO_POINTER (worker), status);
  return status;
}

struct iv_task_status *
iv_planner_task_status (struct iv_planner *planner, const struct iv_task *task)
{
  gpointer key = GUINT_TO_POINTER (task->id);
  struct iv_task_status *status = g_hash_table_lookup (planner->task_statuses, key);
  if (status == NULL)
    {
      status = g_new0 (struct iv_task_status, 1);
      g_hash_table_insert (planner->task_statuses, key, status);
    }
  if (status->attempt != task->attempt || status->speed_permille == 0)
    {
      gint64 cooldown_until_ms = status->cooldown_until_ms;
      *status = (struct iv_task_status){ .attempt = task->attempt,
                                         .speed_permille = 1000,
                                         .cooldown_until_ms = cooldown_until_ms };
    }
  return status;
}

struct iv_run_report *
iv_planner_run_report (const struct iv_worker_status *status, const struct iv_task *task)
{
  struct iv_run_report key = { .gen = task->gen, .index = task->index };
  struct iv_run_report *report = g_hash_table_lookup (status->reports, &key);
  return report && report->attempt == task->attempt ? report : NULL;
}

gint64
iv_planner_add_clock_drift (const struct iv_planner *planner, gint64 interval_ms)
{
  return interval_ms + interval_ms * planner->options.clock_rate_permille / 1000 + 1;
}

gboolean
iv_planner_may_start (const struct iv_planner *planner, gint64 now_ms)
{
  gint64 oldest = now_ms - planner->options.evidence_max_age_ms;
  return planner->config != NULL && planner->config_evidence_ms >= oldest
         && planner->cell_evidence_ms >= oldest
         && !iv_config_domain_out (planner->config, planner->domain);
}

GPtrArray *
iv_planner_tasks_in (const struct iv_planner *planner, enum iv_task_state state)
{
  GPtrArray *list = g_ptr_array_new ();
  GHashTableIter iter;
  gpointer value;
  g_hash_table_iter_init (&iter, planner->cell->tasks);
  while (g_hash_table_iter_next (&iter, NULL, &value))
    if (((struct iv_task *)value)->state == state)
      g_ptr_array_add (list, value);
  return list;
}

/* In-memory state is valid for one term only: other owners may have changed anything since. */
static void
start_term (struct iv_planner *planner, gint64 now_ms)
{
  planner->owned_since_ms = now_ms;
  planner->snapshot_due_ms = now_ms;
  g_hash_table_remove_all (planner->worker_statuses);
  g_hash_table_remove_all (planner->task_statuses);
  g_hash_table_remove_all (planner->confirmed_moves);
  discard_snapshot (planner);
}

void
iv_planner_restore (struct iv_planner *planner, struct iv_cell *cell)
{
  iv_cell_free (planner->cell);
  planner->cell = cell;
  planner->snapshot_at = cell->next;
  planner->is_owner = FALSE;
  planner->pending = FALSE;
}

/* Updates the in-memory state after a record of this owner's term: removes ended tasks and removed
   workers, and syncs workers with new binds at once. */
static void
update_status (struct iv_planner *planner, const ivx_record *record)
{
  if (record->kind == IVX_FINISH)
    g_hash_table_remove (planner->task_statuses,
                         GUINT_TO_POINTER (record->ivx_record_u.finish.task));
  else if (record->kind == IVX_EXPORTED)
    {
      gpointer key = GUINT_TO_POINTER (record->ivx_record_u.exported.task);
      g_hash_table_remove (planner->task_statuses, key);
      g_hash_table_remove (planner->confirmed_moves, key);
    }
  else if (record->kind == IVX_WORKER_REMOVED)
    g_hash_table_remove (planner->worker_statuses,
                         GUINT_TO_POINTER (record->ivx_record_u.worker_removed.worker));
  else if (record->kind == IVX_BIND
           && iv_cell_worker (planner->cell, record->ivx_record_u.bind.worker))
    iv_planner_worker_status (planner, record->ivx_record_u.bind.worker)->dirty = TRUE;
}

static void
confirm_own_batch (struct iv_planner *planner, const ivx_batch *batch)
{
  if (batch->writer == planner->writer && batch->incarnation == planner->incarnation
      && batch->sequence == planner->sequence)
    planner->pending = FALSE;
}

enum iv_apply_result
iv_planner_apply (struct iv_planner *planner, struct iv_now now, guint64 offset,
                  const ivx_batch *batch)
{
  guint32 term = planner->cell->term;
  enum iv_apply_result result = iv_cell_apply (planner->cell, offset, batch);
  confirm_own_batch (planner, batch);
  if (result == IV_APPLY_DUPLICATE)
    return result;
  if (batch->records.records_len > 0 && batch->records.records_val[0].kind == IVX_SNAPSHOT_CHUNK)
    planner->snapshot_at = offset;
  if (planner->cell->term != term)
    {
      planner->is_owner
          = batch->writer == planner->writer && batch->incarnation == planner->incarnation;
      start_term (planner, now.mono_ms);
    }
  for (u_int i = 0; planner->is_owner && i < batch->records.records_len; i++)
    update_status (planner, &batch->records.records_val[i]);
  if (batch->term == planner->cell->term || planner->cell->term != term)
    planner->owner_seen_ms = now.mono_ms;
  return result;
}

void
iv_planner_read_end (struct iv_planner *planner, gint64 requested_ms)
{
  planner->cell_evidence_ms = MAX (planner->cell_evidence_ms, requested_ms);
}

void
iv_planner_set_config (struct iv_planner *planner, const struct iv_config *config,
                       gint64 requested_ms)
{
  planner->config = config;
  planner->config_evidence_ms = MAX (planner->config_evidence_ms, requested_ms);
}

void
iv_planner_set_hosts (struct iv_planner *planner, const GArray *hosts)
{
  g_hash_table_remove_all (planner->host_positions);
  g_array_set_size (planner->hosts, 0);
  for (guint i = 0; i < hosts->len; i++)
    {
      const struct iv_host_entry *entry = &g_array_index (hosts, struct iv_host_entry, i);
      struct iv_host_entry copy = { .leaving = entry->leaving };
      iv_xdr_copy ((iv_xdr_proc)xdr_ivx_worker, &entry->info, &copy.info);
      g_array_append_val (planner->hosts, copy);
      g_hash_table_insert (planner->host_positions, copy.info.name,
                           GUINT_TO_POINTER (planner->hosts->len));
    }
}

void
iv_planner_confirm_move (struct iv_planner *planner, guint32 task)
{
  g_hash_table_add (planner->confirmed_moves, GUINT_TO_POINTER (task));
}

void
iv_planner_resign (struct iv_planner *planner)
{
  planner->resigned = TRUE;
}

const struct iv_cell *
iv_planner_cell (const struct iv_planner *planner)
{
  return planner->cell;
}

gboolean
iv_planner_owns (const struct iv_planner *planner)
{
  return planner->is_owner && !planner->resigned;
}

gboolean
iv_planner_append_pending (const struct iv_planner *planner)
{
  return planner->pending;
}

/* A batch is appended again until it is read back. If it never arrives, only its writer waits. */
static GByteArray *
make_batch (struct iv_planner *planner, GArray *records, guint32 term, gint64 now_ms)
{
  ivx_batch batch = { .writer = planner->writer,
                      .incarnation = planner->incarnation,
                      .sequence = planner->sequence + 1,
                      .term = term };
  GByteArray *bytes;
  iv_batch_take (&batch, records);
  bytes = iv_batch_encode (&batch);
  iv_batch_clear (&batch);
  if (bytes == NULL)
    return NULL;
  planner->sequence++;
  planner->pending = TRUE;
  planner->pending_term = term;
  planner->last_append_ms = now_ms;
  return bytes;
}

static gboolean
claim_is_due (const struct iv_planner *planner, gint64 now_ms)
{
  gint64 delay_ms = planner->options.takeover_ms;
  if (planner->cell->term == 0)
    delay_ms = 0;
  delay_ms += planner->options.rank * (planner->options.takeover_ms / 2);
  return now_ms - planner->owner_seen_ms >= delay_ms
         && planner->cell_evidence_ms >= planner->owner_seen_ms
         && now_ms - planner->cell_evidence_ms <= planner->options.evidence_max_age_ms;
}

static void
add_claim (struct iv_planner *planner, GArray *records)
{
  ivx_record record = { .kind = IVX_CLAIM };
  record.ivx_record_u.claim.term = planner->cell->term + 1;
  record.ivx_record_u.claim.host = iv_record_strdup (planner->host);
  iv_records_add (records, &record);
}

static void
plan_snapshot (struct iv_planner *planner, gint64 now_ms)
{
  GByteArray *bytes;
  GArray *chunks;
  if (!g_queue_is_empty (planner->snapshot_records)
      || (planner->cell->next < planner->snapshot_at + planner->options.snapshot_every
          && now_ms < planner->snapshot_due_ms))
    return;
  planner->snapshot_due_ms = now_ms + planner->options.snapshot_interval_ms;
  bytes = iv_cell_save (planner->cell);
  if (bytes == NULL)
    return;
  chunks = iv_records_new ();
  iv_chunks_split (chunks, bytes, planner->cell->next);
  planner->snapshot_at = planner->cell->next;
  for (guint i = 0; i < chunks->len; i++)
    g_queue_push_tail (planner->snapshot_records,
                       g_memdup2 (&g_array_index (chunks, ivx_record, i), sizeof (ivx_record)));
  g_array_set_clear_func (chunks, NULL);
  g_array_free (chunks, TRUE);
  g_byte_array_free (bytes, TRUE);
}

static void
add_snapshot_chunk (struct iv_planner *planner, GArray *records)
{
  ivx_record *chunk = g_queue_pop_head (planner->snapshot_records);
  if (chunk == NULL)
    return;
  iv_records_add (records, chunk);
  g_free (chunk);
}

/* Decisions whose records exceed the size of one append are made again in the next step. */
static void
limit_batch (GArray *records)
{
  gsize bytes = 0;
  guint keep = 0;
  while (keep < records->len && keep < RECORDS_PER_BATCH && bytes < RECORD_BYTES_PER_BATCH)
    bytes += xdr_sizeof ((xdrproc_t)xdr_ivx_record, &g_array_index (records, ivx_record, keep++));
  g_array_set_size (records, (guint)keep);
}

static void
plan_as_owner (struct iv_planner *planner, struct iv_now now, iv_pick_domain_fn pick, void *context,
               GArray *records, GArray *config_records)
{
  iv_planner_plan_workers (planner, now, records);
  iv_planner_plan_jobs (planner, records, config_records);
  iv_planner_plan_bound (planner, now.mono_ms, records);
  iv_planner_plan_queued (planner, now.mono_ms, pick, context, records);
  limit_batch (records);
  plan_snapshot (planner, now.mono_ms);
  if (records->len == 0)
    add_snapshot_chunk (planner, records);
  if (records->len == 0 && now.mono_ms - planner->last_append_ms >= planner->options.renew_ms)
    {
      ivx_record renew = { .kind = IVX_RENEW };
      iv_records_add (records, &renew);
    }
}

static void
plan_moves (struct iv_planner *planner, GPtrArray *moves)
{
  GHashTableIter iter;
  gpointer value;
  g_hash_table_iter_init (&iter, planner->cell->tasks);
  while (g_hash_table_iter_next (&iter, NULL, &value))
    {
      const struct iv_task *task = value;
      const struct iv_job *job = iv_cell_job (planner->cell, task->job);
      struct iv_move *move;
      ivx_import *task_import;
      if (task->state != IV_TASK_EXPORTING
          || g_hash_table_contains (planner->confirmed_moves, GUINT_TO_POINTER (task->id)))
        continue;
      move = g_new0 (struct iv_move, 1);
      move->to = g_strdup (task->to);
      move->task = task->id;
      move->record.kind = IVX_IMPORT;
      task_import = &move->record.ivx_record_u.task_import;
      iv_xdr_copy ((iv_xdr_proc)xdr_ivx_item, &job->item, &task_import->item);
      task_import->gen = job->gen;
      task_import->index = task->index;
      task_import->attempt = task->attempt;
      task_import->moves = task->moves + 1;
      task_import->progress_ms = task->progress_ms;
      g_ptr_array_add (moves, move);
    }
}

static void
free_move (gpointer data)
{
  struct iv_move *move = data;
  xdr_free ((xdrproc_t)xdr_ivx_record, (char *)&move->record);
  g_free (move->to);
  g_free (move);
}

struct iv_planner_output *
iv_planner_step (struct iv_planner *planner, struct iv_now now, iv_pick_domain_fn pick,
                 void *context)
{
  struct iv_planner_output *output = g_new0 (struct iv_planner_output, 1);
  GArray *records = iv_records_new ();
  output->syncs = g_ptr_array_new_with_free_func ((GDestroyNotify)iv_sync_free);
  output->config_records = iv_records_new ();
  output->moves = g_ptr_array_new_with_free_func (free_move);
  if (iv_planner_owns (planner))
    {
      if (!planner->pending)
        plan_as_owner (planner, now, pick, context, records, output->config_records);
      iv_planner_protect_services (planner, now.mono_ms);
      iv_planner_plan_syncs (planner, now.mono_ms, output->syncs);
      plan_moves (planner, output->moves);
    }
  else if (!planner->resigned && !planner->pending && claim_is_due (planner, now.mono_ms))
    add_claim (planner, records);
  if (records->len > 0)
    output->batch = make_batch (planner, records, planner->cell->term, now.mono_ms);
  g_array_free (records, TRUE);
  return output;
}

void
iv_planner_output_free (struct iv_planner_output *output)
{
  if (output->batch)
    g_byte_array_free (output->batch, TRUE);
  g_ptr_array_free (output->syncs, TRUE);
  g_array_free (output->config_records, TRUE);
  g_ptr_array_free (output->moves, TRUE);
  g_free (output);
}
