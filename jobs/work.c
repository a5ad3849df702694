#include "advice.h"

#include <string.h>

static struct iv_occurrence *
occurrence_new (const ivj_job *spec, guint number)
{
  struct iv_occurrence *occurrence = g_new0 (struct iv_occurrence, 1);
  occurrence->number = number;
  if (spec->times > 0)
    occurrence->due_ms = spec->first_ms + (gint64)number * spec->interval_ms;
  occurrence->stages = g_new0 (struct iv_stage, spec->steps.steps_len);
  for (guint i = 0; i < spec->steps.steps_len; i++)
    {
      struct iv_stage *stage = &occurrence->stages[i];
      stage->step = &spec->steps.steps_val[i];
      stage->number = i;
      stage->tasks = g_new0 (struct iv_task, stage->step->count);
    }
  return occurrence;
}

static void
occurrence_free (struct iv_occurrence *occurrence, guint stages)
{
  for (guint i = 0; i < stages; i++)
    {
      struct iv_stage *stage = &occurrence->stages[i];
      for (guint j = 0; j < stage->step->count; j++)
        {
          g_free (stage->tasks[j].checkpoint);
          g_free (stage->tasks[j].failed_runs);
        }
      iv_advice_free (stage->advice);
      g_free (stage->tasks);
    }
  g_free (occurrence->stages);
  g_free (occurrence);
}

static gboolean
stage_ended (const struct iv_stage *stage)
{
  return stage->done == stage->step->count;
}

static gboolean
failure_counted (const struct iv_task *task, gint64 run)
{
  for (guint i = 0; i < task->failures; i++)
    if (task->failed_runs[i] == run)
      return TRUE;
  return FALSE;
}

static void
count_failure (struct iv_task *task, gint64 run)
{
  task->failed_runs = g_renew (gint64, task->failed_runs, task->failures + 1);
  task->failed_runs[task->failures++] = run;
}

static void
load_stage (struct iv_occurrence *occurrence, struct iv_stage *stage,
            const ivj_step_progress *progress)
{
  for (guint i = 0; i < stage->step->count && i / 8 < progress->done.done_len; i++)
    if ((guint8)progress->done.done_val[i / 8] & (1u << (i % 8)))
      {
        stage->tasks[i].state = IV_TASK_DONE;
        stage->done++;
      }
  for (guint i = 0; i < progress->failures.failures_len; i++)
    {
      const ivj_failure *failure = &progress->failures.failures_val[i];
      if (failure->index >= stage->step->count)
        continue;
      for (guint j = 0; j < failure->runs.runs_len; j++)
        count_failure (&stage->tasks[failure->index], failure->runs.runs_val[j]);
    }
  occurrence->stages_done += stage_ended (stage);
}

static void
load_occurrence (struct iv_work *work, const ivj_occurrence *progress)
{
  struct iv_occurrence *occurrence = occurrence_new (&work->job->spec, progress->number);
  guint count = MIN (work->job->spec.steps.steps_len, progress->steps.steps_len);
  for (guint i = 0; i < count; i++)
    load_stage (occurrence, &occurrence->stages[i], &progress->steps.steps_val[i]);
  g_ptr_array_add (work->open, occurrence);
  work->opened = MAX (work->opened, progress->number + 1);
}

struct iv_work *
iv_work_new (struct iv_job *job, gint64 now_ms)
{
  struct iv_work *work = g_new0 (struct iv_work, 1);
  work->job = job;
  work->open = g_ptr_array_new ();
  work->opened = job->progress.opened;
  work->first_seen_ms = now_ms;
  work->served_ms = now_ms;
  work->evacuate_to = -1;
  job->live = job->progress.state;
  work->begun = job->live != IVJ_QUEUED;
  for (guint i = 0; i < job->progress.open.open_len; i++)
    load_occurrence (work, &job->progress.open.open_val[i]);
  job->work = work;
  return work;
}

void
iv_work_free (struct iv_work *work)
{
  for (guint i = 0; i < work->open->len; i++)
    occurrence_free (g_ptr_array_index (work->open, i), work->job->spec.steps.steps_len);
  g_ptr_array_free (work->open, TRUE);
  work->job->work = NULL;
  g_free (work);
}

static guint
occurrences_of (const ivj_job *spec)
{
  return MAX (spec->times, 1);
}

gboolean
iv_work_open_due (struct iv_work *work, gint64 wall_ms)
{
  const ivj_job *spec = &work->job->spec;
  gboolean any = FALSE;
  while (
      work->opened < occurrences_of (spec)
      && (spec->times == 0 || spec->first_ms + (gint64)work->opened * spec->interval_ms <= wall_ms))
    {
      g_ptr_array_add (work->open, occurrence_new (spec, work->opened));
      work->opened++;
      any = TRUE;
    }
  return any;
}

struct iv_occurrence *
iv_work_occurrence (const struct iv_work *work, guint number)
{
  for (guint i = 0; i < work->open->len; i++)
    {
      struct iv_occurrence *occurrence = g_ptr_array_index (work->open, i);
      if (occurrence->number == number)
        return occurrence;
    }
  return NULL;
}

struct iv_task *
iv_work_task (const struct iv_work *work, const struct iv_task_name *name, struct iv_stage **stage)
{
  struct iv_occurrence *occurrence = iv_work_occurrence (work, name->occurrence);
  if (occurrence == NULL || name->step >= work->job->spec.steps.steps_len
      || name->index >= occurrence->stages[name->step].step->count)
    return NULL;
  if (stage)
    *stage = &occurrence->stages[name->step];
  return &occurrence->stages[name->step].tasks[name->index];
}

gboolean
iv_stage_ready (const struct iv_occurrence *occurrence, const struct iv_stage *stage)
{
  for (guint i = 0; i < stage->step->depends.depends_len; i++)
    if (!stage_ended (&occurrence->stages[stage->step->depends.depends_val[i]]))
      return FALSE;
  return TRUE;
}

static void
close_occurrences (struct iv_work *work)
{
  guint steps = work->job->spec.steps.steps_len;
  for (guint i = work->open->len; i-- > 0;)
    {
      struct iv_occurrence *occurrence = g_ptr_array_index (work->open, i);
      if (occurrence->stages_done < steps)
        continue;
      occurrence_free (occurrence, steps);
      g_ptr_array_remove_index (work->open, i);
    }
}

void
iv_work_done (struct iv_work *work, const struct iv_task_name *name)
{
  struct iv_stage *stage;
  struct iv_task *task = iv_work_task (work, name, &stage);
  if (task == NULL || task->state == IV_TASK_DONE)
    return;
  task->state = IV_TASK_DONE;
  stage->done++;
  work->dirty = TRUE;
  if (!stage_ended (stage))
    return;
  iv_work_occurrence (work, name->occurrence)->stages_done++;
  close_occurrences (work);
}

gboolean
iv_work_failed (struct iv_work *work, const struct iv_task_name *name, gint64 run, guint attempts)
{
  struct iv_stage *stage;
  struct iv_task *task = iv_work_task (work, name, &stage);
  if (task == NULL || (stage->step->flags & IVJ_LASTS) || failure_counted (task, run))
    return FALSE;
  count_failure (task, run);
  work->dirty = TRUE;
  return task->failures >= attempts;
}

void
iv_work_end (struct iv_work *work, enum ivj_state state, gint64 wall_ms)
{
  work->job->live = state;
  work->job->live_ended_ms = wall_ms;
  work->dirty = TRUE;
}

gboolean
iv_work_complete (const struct iv_work *work)
{
  return work->open->len == 0 && work->opened == occurrences_of (&work->job->spec);
}

static void
pack_stage (const struct iv_stage *stage, ivj_step_progress *out)
{
  guint bytes = (stage->step->count + 7) / 8;
  guint failed = 0;
  out->done.done_val = g_malloc0 (bytes);
  out->done.done_len = stage->done > 0 ? bytes : 0;
  out->failures.failures_val = g_new0 (ivj_failure, stage->step->count);
  for (guint i = 0; i < stage->step->count; i++)
    {
      const struct iv_task *task = &stage->tasks[i];
      if (task->state == IV_TASK_DONE)
        out->done.done_val[i / 8] = (char)((guint8)out->done.done_val[i / 8] | (1u << (i % 8)));
      else if (task->failures > 0)
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
pack_open (const struct iv_work *work, ivj_progress *out)
{
  guint steps = work->job->spec.steps.steps_len;
  out->open.open_len = work->open->len;
  out->open.open_val = g_new0 (ivj_occurrence, MAX (work->open->len, 1));
  for (guint i = 0; i < work->open->len; i++)
    {
      const struct iv_occurrence *occurrence = g_ptr_array_index (work->open, i);
      ivj_occurrence *row = &out->open.open_val[i];
      row->number = occurrence->number;
      row->steps.steps_len = steps;
      row->steps.steps_val = g_new0 (ivj_step_progress, steps);
      for (guint j = 0; j < steps; j++)
        pack_stage (&occurrence->stages[j], &row->steps.steps_val[j]);
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

GByteArray *
iv_work_encode (const struct iv_work *work)
{
  ivj_progress packed = { 0 };
  GByteArray *bytes;
  packed.state = work->job->live;
  packed.ended_ms = work->job->live_ended_ms;
  packed.opened = work->opened;
  if (!iv_state_ended (packed.state))
    pack_open (work, &packed);
  bytes = iv_xdr_encode ((iv_xdr_proc)xdr_ivj_progress, &packed, IV_RECORD_MAX);
  free_packed (&packed);
  return bytes;
}

gint64
iv_job_chain_ms (const ivj_job *spec)
{
  gint64 *ends = g_new0 (gint64, spec->steps.steps_len);
  gint64 longest = 0;
  for (guint i = 0; i < spec->steps.steps_len; i++)
    {
      const ivj_step *step = &spec->steps.steps_val[i];
      for (guint j = 0; j < step->depends.depends_len; j++)
        ends[i] = MAX (ends[i], ends[step->depends.depends_val[j]]);
      ends[i] += (gint64)step->estimate_ms;
      longest = MAX (longest, ends[i]);
    }
  g_free (ends);
  return longest;
}

static gint64
occurrence_left_ms (const struct iv_work *work, const struct iv_occurrence *occurrence)
{
  guint count = work->job->spec.steps.steps_len;
  gint64 ends[IVJ_STEPS_MAX] = { 0 };
  gint64 longest = 0;
  for (guint i = 0; i < count; i++)
    {
      const struct iv_stage *stage = &occurrence->stages[i];
      for (guint j = 0; j < stage->step->depends.depends_len; j++)
        ends[i] = MAX (ends[i], ends[stage->step->depends.depends_val[j]]);
      if (!stage_ended (stage))
        ends[i] += (gint64)stage->step->estimate_ms;
      longest = MAX (longest, ends[i]);
    }
  return longest;
}

gint64
iv_work_left_ms (const struct iv_work *work)
{
  gint64 longest = 0;
  for (guint i = 0; i < work->open->len; i++)
    longest = MAX (longest, occurrence_left_ms (work, g_ptr_array_index (work->open, i)));
  return longest;
}

gboolean
iv_job_lasts (const ivj_job *spec)
{
  for (guint i = 0; i < spec->steps.steps_len; i++)
    if (spec->steps.steps_val[i].flags & IVJ_LASTS)
      return TRUE;
  return FALSE;
}

gint64
iv_job_lasting_milli (const ivj_job *spec)
{
  gint64 sum = 0;
  for (guint i = 0; i < spec->steps.steps_len; i++)
    if ((spec->steps.steps_val[i].flags & (IVJ_LASTS | IVJ_FILLS)) == IVJ_LASTS)
      sum += (gint64)spec->steps.steps_val[i].cpu_milli * spec->steps.steps_val[i].count;
  return sum;
}
