#include "owner_private.h"

static gboolean
has_uncollected_end (const struct iv_fleet_worker *worker)
{
  const GArray *ends = worker->unconfirmed;
  return ends->len > 0 && g_array_index (ends, struct iv_unconfirmed_end, ends->len - 1).batch == 0;
}

static void
queue_job (struct iv_owner *owner, struct iv_job_entry *job)
{
  if (!g_ptr_array_find (owner->unrecorded, job, NULL))
    g_ptr_array_add (owner->unrecorded, job);
}

void
iv_owner_queue_record (struct iv_owner *owner, struct iv_job_exec *exec)
{
  if (!exec->needs_record)
    return;
  exec->needs_record = FALSE;
  queue_job (owner, exec->job);
}

gboolean
iv_owner_is_recorded (const struct iv_owner *owner, const struct iv_job_exec *exec)
{
  return !exec->needs_record && !exec->job->unstored
         && MAX (exec->progress_batch, exec->crash_batch) <= owner->stored_batch
         && exec->job->progress.state == exec->job->live_state
         && !g_ptr_array_find (owner->unrecorded, exec->job, NULL);
}

void
iv_owner_forget_record (struct iv_owner *owner, struct iv_job_entry *job)
{
  g_ptr_array_remove_fast (owner->unrecorded, job);
  job->unstored = FALSE;
}

void
iv_owner_await_batch (struct iv_owner *owner, struct iv_job_exec *exec, guint64 batch)
{
  exec->crash_batch = MAX (exec->crash_batch, batch);
  owner->crash_batch = MAX (owner->crash_batch, batch);
}

void
iv_owner_record_failed (struct iv_owner *owner, struct iv_job_entry *job, gboolean permanent)
{
  job->unstored = TRUE;
  if (job->exec)
    job->exec->collected_closes = 0;
  if (job->exec && job->exec->has_crashes)
    iv_owner_await_batch (owner, job->exec, owner->batch + 1);
  if (!permanent)
    queue_job (owner, job);
}

void
iv_owner_note_end (struct iv_fleet_worker *worker, const struct iv_listed_end *end)
{
  struct iv_unconfirmed_end unconfirmed = { .sequence = end->sequence };
  g_strlcpy (unconfirmed.job, end->name.job, sizeof unconfirmed.job);
  g_array_append_val (worker->unconfirmed, unconfirmed);
}

gboolean
iv_owner_has_unrecorded (const struct iv_owner *owner)
{
  GHashTableIter iter;
  gpointer value;
  if (owner->unrecorded->len > 0)
    return TRUE;
  g_hash_table_iter_init (&iter, owner->fleet->by_id);
  while (g_hash_table_iter_next (&iter, NULL, &value))
    if (has_uncollected_end (value))
      return TRUE;
  return FALSE;
}

static void
collect_ends (const struct iv_owner *owner, struct iv_fleet_worker *worker)
{
  for (guint i = worker->unconfirmed->len; i-- > 0;)
    {
      struct iv_unconfirmed_end *end
          = &g_array_index (worker->unconfirmed, struct iv_unconfirmed_end, i);
      if (end->batch > 0)
        return;
      end->batch = owner->batch;
    }
}

GPtrArray *
iv_owner_collect_unrecorded (struct iv_owner *owner, guint64 *batch)
{
  GPtrArray *jobs = owner->unrecorded;
  GHashTableIter iter;
  gpointer value;
  owner->batch++;
  *batch = owner->batch;
  g_hash_table_iter_init (&iter, owner->fleet->by_id);
  while (g_hash_table_iter_next (&iter, NULL, &value))
    collect_ends (owner, value);
  for (guint i = 0; i < jobs->len; i++)
    {
      struct iv_job_entry *job = g_ptr_array_index (jobs, i);
      job->unstored = FALSE;
      if (job->exec)
        job->exec->progress_batch = owner->batch;
    }
  owner->unrecorded = g_ptr_array_new ();
  return jobs;
}

static GPtrArray *
encode_progress (const struct iv_job_entry *job)
{
  ivj_progress ended = { .state = job->live_state, .ended_ms = job->live_ended_ms };
  GPtrArray *records;
  if (job->exec)
    {
      iv_job_exec_collected (job->exec);
      return iv_job_exec_encode (job->exec);
    }
  records = g_ptr_array_new_with_free_func ((GDestroyNotify)g_byte_array_unref);
  g_ptr_array_add (records,
                   iv_xdr_encode ((iv_xdr_proc)xdr_ivj_progress, &ended, IV_RECORD_MAX_BYTES));
  return records;
}

/* A suspect whose count was not in a record before waits for this collection. */
static GByteArray *
encode_crashes (struct iv_owner *owner, struct iv_job_exec *exec)
{
  gboolean packed_new;
  GByteArray *bytes = iv_job_exec_encode_crashes (exec, &packed_new);
  if (packed_new)
    iv_owner_await_batch (owner, exec, owner->batch);
  return bytes;
}

static void
emit_record (const struct iv_job_entry *job, const char *suffix, const GByteArray *bytes,
             iv_owner_record_fn emit, void *context)
{
  char *key = g_strconcat (job->id, suffix, NULL);
  emit (context, key, bytes);
  g_free (key);
}

static void
emit_optional (const struct iv_job_entry *job, const char *suffix, GByteArray *bytes,
               iv_owner_record_fn emit, void *context)
{
  if (bytes == NULL)
    return;
  emit_record (job, suffix, bytes, emit, context);
  g_byte_array_free (bytes, TRUE);
}

gboolean
iv_owner_encode_records (struct iv_owner *owner, struct iv_job_entry *job, iv_owner_record_fn emit,
                         void *context)
{
  GPtrArray *progress = encode_progress (job);
  if (progress == NULL)
    {
      iv_event (IV_LEVEL_ERROR, "record.too_large", "job=%s", job->id);
      iv_owner_record_failed (owner, job, TRUE);
      return FALSE;
    }
  if (job->exec)
    emit_optional (job, IV_KEY_CRASHES, encode_crashes (owner, job->exec), emit, context);
  emit_optional (job, "", iv_job_encode_ended (job), emit, context);
  for (guint i = 1; i < progress->len; i++)
    {
      char suffix[16];
      g_snprintf (suffix, sizeof suffix, IV_KEY_FAILURES "%u", i);
      emit_record (job, suffix, g_ptr_array_index (progress, i), emit, context);
    }
  emit_record (job, IV_KEY_PROGRESS, g_ptr_array_index (progress, 0), emit, context);
  g_ptr_array_unref (progress);
  return TRUE;
}

/* Whether the record of the job of @a end was stored in @a batch or before. A job that is not known
   has no record. */
static gboolean
is_covered (const struct iv_owner *owner, const struct iv_unconfirmed_end *end, guint64 batch)
{
  const struct iv_job_entry *job;
  if (end->batch == 0 || end->batch > batch)
    return FALSE;
  job = iv_job_table_find (owner->jobs, end->job);
  return job == NULL || !job->unstored;
}

static void
confirm_ends (const struct iv_owner *owner, struct iv_fleet_worker *worker, guint64 batch)
{
  const GArray *ends = worker->unconfirmed;
  guint covered = 0;
  while (covered < ends->len
         && is_covered (owner, &g_array_index (ends, struct iv_unconfirmed_end, covered), batch))
    covered++;
  if (covered == 0)
    return;
  worker->acked_end = g_array_index (ends, struct iv_unconfirmed_end, covered - 1).sequence;
  g_array_remove_range (worker->unconfirmed, 0, covered);
}

void
iv_owner_records_stored (struct iv_owner *owner, guint64 batch)
{
  GHashTableIter iter;
  gpointer value;
  owner->needs_dispatch |= owner->stored_batch < owner->crash_batch;
  owner->stored_batch = MAX (owner->stored_batch, batch);
  g_hash_table_iter_init (&iter, owner->fleet->by_id);
  while (g_hash_table_iter_next (&iter, NULL, &value))
    confirm_ends (owner, value, batch);
  for (guint i = 0; i < owner->execs->len; i++)
    {
      struct iv_job_exec *exec = g_ptr_array_index (owner->execs, i);
      if (!exec->job->unstored)
        iv_job_exec_stored (exec);
    }
}
