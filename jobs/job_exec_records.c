#include "job_exec.h"

/* Encoded sizes: of a progress record without occurrences, an occurrence without steps, a step
   without tasks, a failure without runs, and a failed run. */
#define PROGRESS_BYTES 20
#define OCCURRENCE_BYTES 8
#define STEP_BYTES 8
#define FAILURE_BYTES 8
#define RUN_BYTES 8

/* Suspects that fit into a record: a row has 28 bytes. */
#define CRASHES_MAX ((IV_RECORD_MAX_BYTES - 4) / 28)

/* How many occurrences may be open at once: the progress record holds them all, and a schedule
   takes no more memory than the largest job without one. */
guint
iv_job_exec_open_max (const ivj_job *spec)
{
  guint tasks = 0;
  guint bytes = OCCURRENCE_BYTES;
  for (guint i = 0; i < spec->steps.steps_len; i++)
    {
      guint count = spec->steps.steps_val[i].count;
      tasks += count;
      bytes += STEP_BYTES + ((count + 7) / 8 + 3) / 4 * 4;
    }
  return CLAMP (
      MIN (IVJ_TASKS_MAX / MAX (tasks, 1), (IV_RECORD_MAX_BYTES - PROGRESS_BYTES) / bytes), 1,
      IVJ_OPEN_MAX);
}

/* A failed run is of no interest once its task is done. */
static gboolean
has_failures (const struct iv_job_task *task)
{
  return task->failures > 0 && task->state != IV_JOB_TASK_DONE;
}

static void
pack_stage (const struct iv_stage *stage, gboolean with_failures, ivj_step_progress *out)
{
  guint bytes = (stage->step->count + 7) / 8;
  guint failed = 0;
  out->done.done_val = g_malloc0 (bytes);
  out->done.done_len = stage->done > 0 ? bytes : 0;
  out->failures.failures_val = g_new0 (ivj_failure, with_failures ? stage->step->count : 1);
  for (guint i = 0; i < stage->step->count; i++)
    {
      const struct iv_job_task *task = &stage->tasks[i];
      if (task->state == IV_JOB_TASK_DONE)
        out->done.done_val[i / 8] = (char)((guint8)out->done.done_val[i / 8] | (1u << (i % 8)));
      else if (with_failures && has_failures (task))
        {
          ivj_failure *failure = &out->failures.failures_val[failed++];
          failure->index = i;
          failure->runs.runs_len = task->failures;
          failure->runs.runs_val = (quad_t *)task->failed_runs;
        }
    }
  out->failures.failures_len = failed;
}

static void
pack_open (const struct iv_job_exec *exec, gboolean with_failures, ivj_progress *out)
{
  guint steps = exec->job->spec.steps.steps_len;
  out->open.open_len = exec->open->len;
  out->open.open_val = g_new0 (ivj_occurrence, MAX (exec->open->len, 1));
  for (guint i = 0; i < exec->open->len; i++)
    {
      const struct iv_occurrence *occurrence = g_ptr_array_index (exec->open, i);
      ivj_occurrence *row = &out->open.open_val[i];
      row->number = occurrence->number;
      row->steps.steps_len = steps;
      row->steps.steps_val = g_new0 (ivj_step_progress, steps);
      for (guint j = 0; j < steps; j++)
        pack_stage (&occurrence->stages[j], with_failures, &row->steps.steps_val[j]);
    }
}

static void
free_packed (ivj_progress *packed)
{
  for (guint i = 0; i < packed->open.open_len; i++)
    {
      ivj_occurrence *row = &packed->open.open_val[i];
      for (guint j = 0; j < row->steps.steps_len; j++)
        {
          g_free (row->steps.steps_val[j].done.done_val);
          g_free (row->steps.steps_val[j].failures.failures_val);
        }
      g_free (row->steps.steps_val);
    }
  g_free (packed->open.open_val);
}

static GByteArray *
encode_progress (const struct iv_job_exec *exec, gboolean with_failures)
{
  ivj_progress packed = { 0 };
  GByteArray *bytes;
  packed.state = exec->job->live_state;
  packed.ended_ms = exec->job->live_ended_ms;
  packed.opened = exec->opened;
  if (!iv_job_state_is_final (packed.state))
    pack_open (exec, with_failures, &packed);
  bytes = iv_xdr_encode ((iv_xdr_proc)xdr_ivj_progress, &packed, IV_RECORD_MAX_BYTES);
  free_packed (&packed);
  return bytes;
}

/* Failed runs of tasks of one step. */
struct failure_row
{
  guint occurrence;
  guint step;
  GArray *failures; /* of ivj_failure */
};

/* Failures that are spread over as many records as they need. */
struct failure_writer
{
  GPtrArray *records; /* of GByteArray: those that are full */
  GArray *rows;       /* of struct failure_row: the next record */
  gsize bytes;        /* its encoded size */
  gboolean failed;    /* one could not be encoded */
};

static void
encode_failures (struct failure_writer *writer)
{
  ivj_progress packed = { 0 };
  GByteArray *bytes;
  packed.open.open_len = writer->rows->len;
  packed.open.open_val = g_new0 (ivj_occurrence, MAX (writer->rows->len, 1));
  for (guint i = 0; i < writer->rows->len; i++)
    {
      struct failure_row *row = &g_array_index (writer->rows, struct failure_row, i);
      ivj_occurrence *out = &packed.open.open_val[i];
      ivj_step_progress *step;
      out->number = row->occurrence;
      out->steps.steps_len = row->step + 1;
      out->steps.steps_val = g_new0 (ivj_step_progress, row->step + 1);
      step = &out->steps.steps_val[row->step];
      step->failures.failures_len = row->failures->len;
      step->failures.failures_val
          = (ivj_failure *)(void *)g_array_free (g_steal_pointer (&row->failures), FALSE);
    }
  bytes = iv_xdr_encode ((iv_xdr_proc)xdr_ivj_progress, &packed, IV_RECORD_MAX_BYTES);
  if (bytes)
    g_ptr_array_add (writer->records, bytes);
  else
    writer->failed = TRUE;
  free_packed (&packed);
  g_array_set_size (writer->rows, 0);
  writer->bytes = PROGRESS_BYTES;
}

static void
write_failure (struct failure_writer *writer, guint occurrence, guint step,
               const ivj_failure *failure)
{
  gsize bytes = FAILURE_BYTES + RUN_BYTES * (gsize)failure->runs.runs_len;
  gsize row_bytes = OCCURRENCE_BYTES + STEP_BYTES * (gsize)(step + 1);
  struct failure_row *row;
  if (writer->bytes + row_bytes + bytes > IV_RECORD_MAX_BYTES || writer->rows->len == IVJ_OPEN_MAX)
    encode_failures (writer);
  row = writer->rows->len == 0
            ? NULL
            : &g_array_index (writer->rows, struct failure_row, writer->rows->len - 1);
  if (row == NULL || row->occurrence != occurrence || row->step != step)
    {
      struct failure_row added
          = { occurrence, step, g_array_new (FALSE, FALSE, sizeof (ivj_failure)) };
      g_array_append_val (writer->rows, added);
      writer->bytes += row_bytes;
      row = &g_array_index (writer->rows, struct failure_row, writer->rows->len - 1);
    }
  g_array_append_val (row->failures, *failure);
  writer->bytes += bytes;
}

static void
write_stage (struct failure_writer *writer, guint occurrence, const struct iv_stage *stage)
{
  for (guint i = 0; i < stage->step->count; i++)
    {
      const struct iv_job_task *task = &stage->tasks[i];
      for (guint first = 0; has_failures (task) && first < task->failures; first += IVJ_RUNS_MAX)
        {
          ivj_failure failure = { .index = i };
          failure.runs.runs_len = MIN (task->failures - first, IVJ_RUNS_MAX);
          failure.runs.runs_val = (quad_t *)task->failed_runs + first;
          write_failure (writer, occurrence, stage->number, &failure);
        }
    }
}

static gboolean
encode_all_failures (const struct iv_job_exec *exec, GPtrArray *records)
{
  struct failure_writer writer = { .records = records,
                                   .rows = g_array_new (FALSE, FALSE, sizeof (struct failure_row)),
                                   .bytes = PROGRESS_BYTES };
  for (guint i = 0; i < exec->open->len; i++)
    {
      const struct iv_occurrence *occurrence = g_ptr_array_index (exec->open, i);
      for (guint j = 0; j < exec->job->spec.steps.steps_len; j++)
        write_stage (&writer, occurrence->number, &occurrence->stages[j]);
    }
  encode_failures (&writer);
  g_array_free (writer.rows, TRUE);
  return !writer.failed;
}

GPtrArray *
iv_job_exec_encode (const struct iv_job_exec *exec)
{
  GPtrArray *records;
  GByteArray *progress = encode_progress (exec, TRUE);
  gboolean whole = progress != NULL;
  if (!whole)
    progress = encode_progress (exec, FALSE);
  if (progress == NULL)
    return NULL;
  records = g_ptr_array_new_with_free_func ((GDestroyNotify)g_byte_array_unref);
  g_ptr_array_add (records, progress);
  if (whole || encode_all_failures (exec, records))
    return records;
  g_ptr_array_unref (records);
  return NULL;
}

static gboolean
is_suspect (const struct iv_job_task *task)
{
  return task->crashes > 0 && task->state != IV_JOB_TASK_DONE;
}

/* Whether a next owner must find the count of @a task: it may have been started since. */
static gboolean
may_have_started (const struct iv_job_task *task)
{
  return task->start_announced || task->state == IV_JOB_TASK_PLACED;
}

/* Packs the suspects of @a stage that may have started, or those that have not, while there is room
   for them. TRUE when one was packed whose count is in no record yet. */
static gboolean
pack_crashes (const struct iv_occurrence *occurrence, struct iv_stage *stage, gboolean started,
              GArray *rows)
{
  gboolean packed_new = FALSE;
  for (guint i = 0; i < stage->step->count; i++)
    {
      struct iv_job_task *task = &stage->tasks[i];
      ivj_crash row
          = { occurrence->number,  stage->number,        i, task->crashes, task->crashes_seen,
              task->crashes_alone, task->start_announced };
      if (!is_suspect (task) || may_have_started (task) != started)
        continue;
      if (rows->len == CRASHES_MAX)
        {
          task->crashes_recorded = FALSE;
          continue;
        }
      packed_new |= !task->crashes_recorded;
      task->crashes_recorded = TRUE;
      g_array_append_val (rows, row);
    }
  return packed_new;
}

GByteArray *
iv_job_exec_encode_crashes (struct iv_job_exec *exec, gboolean *packed_new)
{
  ivj_crashes packed = { 0 };
  GByteArray *bytes;
  GArray *rows;
  *packed_new = FALSE;
  if (!exec->has_crashes)
    return NULL;
  rows = g_array_new (FALSE, FALSE, sizeof (ivj_crash));
  for (guint started = 2; started-- > 0;)
    for (guint i = 0; i < exec->open->len; i++)
      {
        struct iv_occurrence *occurrence = g_ptr_array_index (exec->open, i);
        for (guint j = 0; j < exec->job->spec.steps.steps_len; j++)
          *packed_new |= pack_crashes (occurrence, &occurrence->stages[j], started > 0, rows);
      }
  packed.tasks.tasks_len = rows->len;
  packed.tasks.tasks_val = (ivj_crash *)(void *)rows->data;
  bytes = iv_xdr_encode ((iv_xdr_proc)xdr_ivj_crashes, &packed, IV_RECORD_MAX_BYTES);
  g_assert (bytes != NULL);
  g_array_free (rows, TRUE);
  return bytes;
}
