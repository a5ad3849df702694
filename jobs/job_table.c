#include "job_table.h"

#include "fair_shares.h"
#include "status.h"

#include <stdlib.h>
#include <string.h>

#define TIME_MAX_MS G_GINT64_CONSTANT (253402300799999) /* the end of the year 9999 */
#define SUM_MAX G_GINT64_CONSTANT (8000000000000000000) /* what 64 bits hold, with a margin */

/* A shorter text is not worth another record, which every host reads. */
#define SPEC_KEPT_BYTES 512

#define FAILURE_RECORDS_MAX 10000 /* bounds what a malformed key allocates */

struct iv_job_table
{
  GHashTable *jobs;     /* from id to struct iv_job_entry */
  GHashTable *arrivals; /* from workspace to struct iv_arrivals: its jobs */
  struct iv_tombstones *tombstones;
  iv_job_table_fn changed;
  void *context;
};

static void
free_progress (gpointer data)
{
  if (data)
    xdr_free ((xdrproc_t)xdr_ivj_progress, data);
  g_free (data);
}

static void
forget_failures (struct iv_job_entry *job)
{
  g_clear_pointer (&job->failures, g_ptr_array_unref);
}

static void
free_job (gpointer data)
{
  struct iv_job_entry *job = data;
  xdr_free ((xdrproc_t)xdr_ivj_job, (char *)&job->spec);
  xdr_free ((xdrproc_t)xdr_ivj_progress, (char *)&job->progress);
  xdr_free ((xdrproc_t)xdr_ivj_crashes, (char *)&job->crashes);
  forget_failures (job);
  if (job->delegations)
    g_array_unref (job->delegations);
  g_free (job);
}

struct iv_job_table *
iv_job_table_new (void)
{
  struct iv_job_table *table = g_new0 (struct iv_job_table, 1);
  table->jobs = g_hash_table_new_full (g_str_hash, g_str_equal, NULL, free_job);
  table->arrivals
      = g_hash_table_new_full (g_str_hash, g_str_equal, g_free, (GDestroyNotify)iv_arrivals_free);
  table->tombstones = iv_tombstones_new ();
  return table;
}

void
iv_job_table_free (struct iv_job_table *table)
{
  if (table == NULL)
    return;
  g_hash_table_destroy (table->arrivals);
  g_hash_table_destroy (table->jobs);
  iv_tombstones_free (table->tombstones);
  g_free (table);
}

void
iv_job_table_watch (struct iv_job_table *table, iv_job_table_fn changed, void *context)
{
  table->changed = changed;
  table->context = context;
}

static struct iv_job_entry *
find_or_add_job (struct iv_job_table *table, const char *id)
{
  struct iv_job_entry *job = g_hash_table_lookup (table->jobs, id);
  if (job)
    return job;
  job = g_new0 (struct iv_job_entry, 1);
  g_strlcpy (job->id, id, sizeof job->id);
  job->moved_to = -1;
  job->workspace = g_intern_static_string ("");
  g_hash_table_insert (table->jobs, job->id, job);
  return job;
}

static gboolean
depends_on_earlier_steps (const ivj_step *step, guint number)
{
  for (guint i = 0; i < step->depends.depends_len; i++)
    if (step->depends.depends_val[i] >= number)
      return FALSE;
  return TRUE;
}

/* Whether the times of all occurrences fit into 64 bits, with room for sums. */
static gboolean
are_times_in_range (const ivj_job *spec)
{
  if (spec->first_ms < 0 || spec->first_ms > TIME_MAX_MS || spec->interval_ms < 0)
    return FALSE;
  return spec->times == 0 || spec->interval_ms <= SUM_MAX / spec->times;
}

enum iv_status
iv_job_validate (const ivj_job *spec)
{
  guint64 tasks = 0;
  double work = 0;
  if (spec->steps.steps_len == 0 || spec->steps.steps_len > IVJ_STEPS_MAX)
    return iv_fail (IV_ERR_INVALID, "a job has 1 to %d steps", IVJ_STEPS_MAX);
  for (guint i = 0; i < spec->steps.steps_len; i++)
    {
      const ivj_step *step = &spec->steps.steps_val[i];
      tasks += step->count;
      work += (double)step->count * step->cpu_milli * (double)step->estimate_ms;
      if (step->depends.depends_len > IVJ_STEPS_MAX || strlen (step->label) > IVJ_TEXT_MAX
          || strlen (step->data_rack) > IVJ_TEXT_MAX || strlen (step->image) > IVJ_TEXT_MAX)
        return iv_fail (IV_ERR_INVALID, "step %u is too long", i);
      if (step->count == 0)
        return iv_fail (IV_ERR_INVALID, "step %u has no tasks", i);
      if (step->estimate_ms > TIME_MAX_MS || work > SUM_MAX)
        return iv_fail (IV_ERR_INVALID, "step %u has too much work", i);
      if (!depends_on_earlier_steps (step, i))
        return iv_fail (IV_ERR_INVALID, "step %u depends on a step that is not before it", i);
    }
  if (!are_times_in_range (spec))
    return iv_fail (IV_ERR_INVALID, "the times of the job are out of range");
  if (tasks > IVJ_TASKS_MAX)
    return iv_fail (IV_ERR_INVALID, "a job has at most %d tasks", IVJ_TASKS_MAX);
  return IV_OK;
}

/* Decodes a job alone, or one with its workspace; `workspace` is NULL for a job alone. */
static enum iv_status
decode_spec (const guint8 *value, gsize len, ivj_job_record *record)
{
  enum iv_status status = iv_xdr_decode ((iv_xdr_proc)xdr_ivj_job, value, len, &record->job);
  if (status == IV_OK)
    return IV_OK;
  memset (record, 0, sizeof *record);
  return iv_xdr_decode ((iv_xdr_proc)xdr_ivj_job_record, value, len, record);
}

static void
add_arrival (struct iv_job_table *table, const struct iv_job_entry *job)
{
  struct iv_arrivals *arrivals = g_hash_table_lookup (table->arrivals, job->workspace);
  if (*job->workspace == '\0')
    return;
  if (arrivals == NULL)
    {
      arrivals = iv_arrivals_new ();
      g_hash_table_insert (table->arrivals, g_strdup (job->workspace), arrivals);
    }
  iv_arrivals_add (arrivals, job->spec.accepted_ms, job->id);
}

static void
remove_arrival (struct iv_job_table *table, const struct iv_job_entry *job)
{
  struct iv_arrivals *arrivals = g_hash_table_lookup (table->arrivals, job->workspace);
  if (arrivals == NULL)
    return;
  iv_arrivals_remove (arrivals, job->spec.accepted_ms, job->id);
  if (iv_arrivals_count (arrivals) == 0)
    g_hash_table_remove (table->arrivals, job->workspace);
}

gboolean
iv_job_table_is_beyond_rate (const struct iv_job_table *table, const struct iv_job_entry *job,
                             double rate)
{
  struct iv_arrivals *arrivals = g_hash_table_lookup (table->arrivals, job->workspace);
  return arrivals && iv_arrivals_is_beyond (arrivals, rate, job->spec.accepted_ms, job->id);
}

static gboolean
is_covered (const struct iv_job_table *table, const struct iv_job_entry *job)
{
  return iv_tombstones_cover (table->tombstones, job->id, job->workspace, job->spec.host,
                              job->spec.prefix);
}

static enum iv_status
apply_spec (struct iv_job_table *table, struct iv_job_entry *job, const guint8 *value, gsize len)
{
  ivj_job_record record = { 0 };
  enum iv_status status;
  if (job->accepted)
    return IV_OK;
  status = decode_spec (value, len, &record);
  if (status != IV_OK)
    return status;
  status = iv_job_validate (&record.job);
  if (status != IV_OK)
    {
      xdr_free ((xdrproc_t)xdr_ivj_job_record, (char *)&record);
      return status;
    }
  job->spec = record.job;
  job->workspace = g_intern_string (record.workspace ? record.workspace : "");
  free (record.workspace);
  job->accepted = TRUE;
  job->cancel |= is_covered (table, job);
  if (!job->cancel)
    add_arrival (table, job);
  return IV_OK;
}

static enum iv_status
apply_progress (struct iv_job_entry *job, const guint8 *value, gsize len)
{
  ivj_progress progress = { 0 };
  enum iv_status status = iv_xdr_decode ((iv_xdr_proc)xdr_ivj_progress, value, len, &progress);
  if (status != IV_OK)
    return status;
  xdr_free ((xdrproc_t)xdr_ivj_progress, (char *)&job->progress);
  job->progress = progress;
  if (iv_job_state_is_final (progress.state))
    forget_failures (job);
  return IV_OK;
}

static enum iv_status
apply_failures (struct iv_job_entry *job, const char *number, const guint8 *value, gsize len)
{
  ivj_progress failures = { 0 };
  enum iv_status status;
  guint64 place;
  if (!g_ascii_string_to_unsigned (number, 10, 1, FAILURE_RECORDS_MAX, &place, NULL))
    return iv_fail (IV_ERR_INVALID, "malformed key of failures: expected a number");
  status = iv_xdr_decode ((iv_xdr_proc)xdr_ivj_progress, value, len, &failures);
  if (status != IV_OK)
    return status;
  job->failure_keys = MAX (job->failure_keys, (guint)place);
  if (job->failures == NULL)
    job->failures = g_ptr_array_new_with_free_func (free_progress);
  if (job->failures->len < place)
    g_ptr_array_set_size (job->failures, (gint)place);
  free_progress (job->failures->pdata[place - 1]);
  job->failures->pdata[place - 1] = g_memdup2 (&failures, sizeof failures);
  return IV_OK;
}

static enum iv_status
apply_crashes (struct iv_job_entry *job, const guint8 *value, gsize len)
{
  ivj_crashes crashes = { 0 };
  enum iv_status status = iv_xdr_decode ((iv_xdr_proc)xdr_ivj_crashes, value, len, &crashes);
  if (status != IV_OK)
    return status;
  xdr_free ((xdrproc_t)xdr_ivj_crashes, (char *)&job->crashes);
  job->crashes = crashes;
  job->has_crash_record = TRUE;
  return IV_OK;
}

static enum iv_status
apply_move (struct iv_job_entry *job, const guint8 *value, gsize len)
{
  char *text = g_strndup ((const char *)value, len);
  guint64 cell = 0;
  gboolean ok = g_ascii_string_to_unsigned (text, 10, 0, G_MAXINT, &cell, NULL);
  g_free (text);
  if (!ok)
    return iv_fail (IV_ERR_INVALID, "malformed move record: expected the number of a cell");
  job->moved_to = (gint)cell;
  job->move_pending = FALSE;
  return IV_OK;
}

static enum iv_status
apply_delegation (struct iv_job_entry *job, const char *task, const guint8 *value, gsize len)
{
  char *text = g_strndup ((const char *)value, len);
  enum iv_status status = iv_delegations_apply (&job->delegations, task, text);
  g_free (text);
  return status;
}

/* A job that was cancelled stays so when the tombstone is deleted. */
static enum iv_status
apply_tombstone (struct iv_job_table *table, const char *key, const char *id, const guint8 *value,
                 gsize len)
{
  struct iv_job_entry *job = iv_job_table_find (table, id);
  enum iv_status status = iv_tombstones_apply (table->tombstones, key, value, len);
  if (status != IV_OK || job == NULL || job->cancel || !is_covered (table, job))
    return status;
  job->cancel = TRUE;
  if (table->changed)
    table->changed (table->context, job);
  return IV_OK;
}

enum iv_status
iv_job_table_apply (struct iv_job_table *table, const char *key, const guint8 *value, gsize len)
{
  char id[IV_JOB_ID_LEN + 1];
  const char *suffix = key + IV_JOB_ID_LEN;
  struct iv_job_entry *job;
  enum iv_status status = IV_OK;
  if (strlen (key) < IV_JOB_ID_LEN || !iv_job_id_valid (key, IV_JOB_ID_LEN))
    return iv_fail (IV_ERR_INVALID, "key \"%s\" does not start with a job id", key);
  g_strlcpy (id, key, sizeof id);
  if (g_str_has_prefix (suffix, IV_KEY_TOMBSTONE))
    return apply_tombstone (table, key, id, value, len);
  if (value == NULL)
    {
      if (*suffix == '\0')
        iv_job_table_remove (table, id);
      return IV_OK;
    }
  job = find_or_add_job (table, id);
  if (*suffix == '\0')
    status = apply_spec (table, job, value, len);
  else if (strcmp (suffix, IV_KEY_PROGRESS) == 0)
    status = apply_progress (job, value, len);
  else if (strcmp (suffix, IV_KEY_CRASHES) == 0)
    status = apply_crashes (job, value, len);
  else if (g_str_has_prefix (suffix, IV_KEY_FAILURES))
    status = apply_failures (job, suffix + strlen (IV_KEY_FAILURES), value, len);
  else if (strcmp (suffix, IV_KEY_CANCEL) == 0)
    job->cancel = TRUE;
  else if (strcmp (suffix, IV_KEY_MOVE) == 0)
    status = apply_move (job, value, len);
  else if (g_str_has_prefix (suffix, IV_KEY_DELEGATION))
    status = apply_delegation (job, suffix + strlen (IV_KEY_DELEGATION), value, len);
  if (status == IV_OK && job->accepted && table->changed)
    table->changed (table->context, job);
  return status;
}

struct iv_job_entry *
iv_job_table_find (struct iv_job_table *table, const char *id)
{
  struct iv_job_entry *job = g_hash_table_lookup (table->jobs, id);
  return job && job->accepted ? job : NULL;
}

void
iv_job_table_foreach (struct iv_job_table *table, iv_job_table_fn each, void *context)
{
  GList *all = g_hash_table_get_values (table->jobs);
  for (GList *item = all; item; item = item->next)
    if (((struct iv_job_entry *)item->data)->accepted)
      each (context, item->data);
  g_list_free (all);
}

guint
iv_job_table_pending (struct iv_job_table *table, const char *host, const char *prefix)
{
  GHashTableIter iter;
  gpointer value;
  guint count = 0;
  g_hash_table_iter_init (&iter, table->jobs);
  while (g_hash_table_iter_next (&iter, NULL, &value))
    {
      const struct iv_job_entry *job = value;
      if (job->accepted && iv_job_state (job) == IVJ_QUEUED && strcmp (job->spec.host, host) == 0
          && strcmp (job->spec.prefix, prefix) == 0)
        count++;
    }
  return count;
}

void
iv_job_table_remove (struct iv_job_table *table, const char *id)
{
  struct iv_job_entry *job = g_hash_table_lookup (table->jobs, id);
  if (job == NULL || job->exec || job->guests > 0)
    return;
  remove_arrival (table, job);
  g_hash_table_remove (table->jobs, id);
}

GPtrArray *
iv_job_keys (const struct iv_job_entry *job)
{
  static const char *const suffixes[]
      = { "", IV_KEY_PROGRESS, IV_KEY_CANCEL, IV_KEY_MOVE, IV_KEY_CRASHES };
  const gboolean has_key[] = { TRUE, TRUE, job->cancel, job->moved_to >= 0, job->has_crash_record };
  GPtrArray *keys = g_ptr_array_new_with_free_func (g_free);
  for (guint i = 0; i < G_N_ELEMENTS (suffixes); i++)
    if (has_key[i])
      g_ptr_array_add (keys, g_strconcat (job->id, suffixes[i], NULL));
  for (guint i = 1; i <= job->failure_keys; i++)
    g_ptr_array_add (keys, g_strdup_printf ("%s" IV_KEY_FAILURES "%u", job->id, i));
  for (guint i = 0; job->delegations && i < job->delegations->len; i++)
    g_ptr_array_add (keys,
                     iv_delegation_format_key (
                         job->id, &g_array_index (job->delegations, struct iv_delegation, i)));
  return keys;
}

enum ivj_state
iv_job_state (const struct iv_job_entry *job)
{
  if (!iv_job_state_is_final (job->progress.state) && job->cancel)
    return IVJ_CANCELLED;
  return job->progress.state;
}

gboolean
iv_job_state_is_final (enum ivj_state state)
{
  return state == IVJ_COMPLETED || state == IVJ_FAILED || state == IVJ_CANCELLED;
}

const char *
iv_job_state_name (enum ivj_state state)
{
  static const char *const names[] = { "queued", "running", "completed", "failed", "cancelled" };
  return (guint)state < G_N_ELEMENTS (names) ? names[state] : "unknown";
}

const struct iv_tombstones *
iv_job_table_tombstones (const struct iv_job_table *table)
{
  return table->tombstones;
}

guint
iv_job_table_size (const struct iv_job_table *table)
{
  return g_hash_table_size (table->jobs);
}

GByteArray *
iv_job_encode_spec (const ivj_job *spec, const char *workspace)
{
  const ivj_job_record record = { *spec, (char *)workspace };
  if (*workspace == '\0')
    return iv_xdr_encode ((iv_xdr_proc)xdr_ivj_job, spec, IV_RECORD_MAX_BYTES);
  return iv_xdr_encode ((iv_xdr_proc)xdr_ivj_job_record, &record, IV_RECORD_MAX_BYTES);
}

GByteArray *
iv_job_encode_ended (const struct iv_job_entry *job)
{
  static char no_text[] = "";
  ivj_job ended = job->spec;
  if (!iv_job_state_is_final (job->live_state) || strlen (job->spec.spec) <= SPEC_KEPT_BYTES)
    return NULL;
  ended.spec = no_text;
  return iv_job_encode_spec (&ended, job->workspace);
}
