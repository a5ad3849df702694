#include "advice.h"

#include <string.h>

/* A task that was returned is not delegated again until the load of the cell that returned it is
   newer, and later each time: that cell may lack something else than cores. */
#define DELEGATE_AGAIN_MS 2000

static void
set_away (struct iv_stage *stage, struct iv_job_task *task, gboolean away)
{
  task->state = away ? IV_JOB_TASK_AWAY : IV_JOB_TASK_WAITING;
  stage->away = away ? stage->away + 1 : stage->away - 1;
}

/* The task belongs to this cell from now on. */
static void
take_task (struct iv_job_exec *exec, struct iv_stage *stage, struct iv_job_task *task,
           const struct iv_delegation *delegation, gint64 now_ms)
{
  set_away (stage, task, FALSE);
  if (exec->guest_cell >= 0)
    {
      task->crashes = 0;
      task->delegate_not_before_ms = now_ms + IV_RETURN_AFTER_MS;
      return;
    }
  task->crashes += delegation->crashes;
  exec->crashes_returned |= delegation->crashes > 0;
  task->delegate_not_before_ms = now_ms + DELEGATE_AGAIN_MS * (delegation->generation / 2);
}

static void
apply_delegation (struct iv_job_exec *exec, struct iv_stage *stage, struct iv_job_task *task,
                  const struct iv_delegation *delegation, gint64 now_ms)
{
  gint cell = delegation ? delegation->cell : -1;
  if (delegation && delegation->generation >= task->delegation_sent)
    task->delegation_sent = 0;
  if (task->delegation_sent > 0)
    return;
  if (task->state == IV_JOB_TASK_WAITING && cell != exec->guest_cell)
    set_away (stage, task, TRUE);
  else if (delegation && task->state == IV_JOB_TASK_AWAY && cell == exec->guest_cell)
    take_task (exec, stage, task, delegation, now_ms);
}

static void
apply_delegations (struct iv_job_exec *exec, struct iv_occurrence *occurrence, gint64 now_ms)
{
  struct iv_task_name name = { .occurrence = occurrence->number };
  if (exec->job->delegations == NULL)
    return;
  for (name.step = 0; name.step < exec->job->spec.steps.steps_len; name.step++)
    {
      struct iv_stage *stage = &occurrence->stages[name.step];
      for (name.index = 0; name.index < stage->step->count; name.index++)
        apply_delegation (exec, stage, &stage->tasks[name.index],
                          iv_delegations_find (exec->job->delegations, &name), now_ms);
    }
}

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
      stage->length_key = iv_task_lengths_key (stage->step->image, spec->host, spec->prefix,
                                               stage->step->count, stage->step->cpu_milli);
      stage->tasks = g_new0 (struct iv_job_task, stage->step->count);
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
      g_free (stage->wait.place);
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
failure_counted (const struct iv_job_task *task, gint64 run)
{
  for (guint i = 0; i < task->failures; i++)
    if (task->failed_runs[i] == run)
      return TRUE;
  return FALSE;
}

static void
add_failure (struct iv_job_task *task, gint64 run)
{
  task->failed_runs = g_renew (gint64, task->failed_runs, task->failures + 1);
  task->failed_runs[task->failures++] = run;
}

/* A run is counted once, however often it is recorded. */
static void
load_failures (struct iv_stage *stage, const ivj_step_progress *progress)
{
  for (guint i = 0; i < progress->failures.failures_len; i++)
    {
      const ivj_failure *failure = &progress->failures.failures_val[i];
      if (failure->index >= stage->step->count)
        continue;
      for (guint j = 0; j < failure->runs.runs_len; j++)
        if (!failure_counted (&stage->tasks[failure->index], failure->runs.runs_val[j]))
          add_failure (&stage->tasks[failure->index], failure->runs.runs_val[j]);
    }
}

static void
load_stage (struct iv_occurrence *occurrence, struct iv_stage *stage,
            const ivj_step_progress *progress)
{
  for (guint i = 0; i < stage->step->count && i / 8 < progress->done.done_len; i++)
    if ((guint8)progress->done.done_val[i / 8] & (1u << (i % 8)))
      {
        stage->tasks[i].state = IV_JOB_TASK_DONE;
        stage->done++;
      }
  load_failures (stage, progress);
  occurrence->stages_done += stage_ended (stage);
}

/* Place of an occurrence in `open`, which is in order of the numbers; FALSE when it is not open. */
static gboolean
find_open (const struct iv_job_exec *exec, guint number, guint *place)
{
  guint begin = 0;
  guint end = exec->open->len;
  while (begin < end)
    {
      guint middle = begin + (end - begin) / 2;
      const struct iv_occurrence *occurrence = g_ptr_array_index (exec->open, middle);
      if (occurrence->number < number)
        begin = middle + 1;
      else
        end = middle;
    }
  *place = begin;
  return begin < exec->open->len
         && ((const struct iv_occurrence *)g_ptr_array_index (exec->open, begin))->number == number;
}

static void
load_occurrence (struct iv_job_exec *exec, const ivj_occurrence *progress)
{
  guint count = MIN (exec->job->spec.steps.steps_len, progress->steps.steps_len);
  struct iv_occurrence *occurrence;
  guint place;
  if (find_open (exec, progress->number, &place))
    return;
  occurrence = occurrence_new (&exec->job->spec, progress->number);
  for (guint i = 0; i < count; i++)
    load_stage (occurrence, &occurrence->stages[i], &progress->steps.steps_val[i]);
  apply_delegations (exec, occurrence, exec->first_seen_ms);
  g_ptr_array_insert (exec->open, (gint)place, occurrence);
  exec->opened = MAX (exec->opened, progress->number + 1);
}

/* Records of failures may be older than the progress record: failures of an open occurrence stay.
 */
static void
load_further_failures (struct iv_job_exec *exec, const ivj_progress *part)
{
  for (guint i = 0; part && i < part->open.open_len; i++)
    {
      const ivj_occurrence *row = &part->open.open_val[i];
      struct iv_occurrence *occurrence = iv_job_exec_occurrence (exec, row->number);
      guint steps = MIN (exec->job->spec.steps.steps_len, row->steps.steps_len);
      for (guint j = 0; occurrence && j < steps; j++)
        load_failures (&occurrence->stages[j], &row->steps.steps_val[j]);
    }
}

static void
load_crashes (struct iv_job_exec *exec)
{
  const ivj_crashes *crashes = &exec->job->crashes;
  for (guint i = 0; i < crashes->tasks.tasks_len; i++)
    {
      const ivj_crash *crash = &crashes->tasks.tasks_val[i];
      struct iv_task_name name
          = { .occurrence = crash->occurrence, .step = crash->step, .index = crash->index };
      struct iv_stage *stage;
      struct iv_job_task *task = iv_job_exec_task (exec, &name, &stage);
      if (task == NULL || task->state == IV_JOB_TASK_DONE)
        continue;
      /* Earlier releases counted for each member of a gang. */
      task = iv_stage_suspect (stage, task);
      task->crashes = MAX (task->crashes, crash->crashes);
      task->crashes_seen = MAX (task->crashes_seen, crash->seen);
      task->crashes_alone = MAX (task->crashes_alone, crash->alone);
      task->start_announced |= crash->announced;
      task->crashes_recorded = TRUE;
      exec->has_crashes = TRUE;
    }
}

static struct iv_job_exec *
exec_new (struct iv_job_entry *job, gint guest_cell, gint64 now_ms)
{
  struct iv_job_exec *exec = g_new0 (struct iv_job_exec, 1);
  exec->job = job;
  exec->guest_cell = guest_cell;
  exec->open = g_ptr_array_new ();
  exec->opened = job->progress.opened;
  exec->open_max = iv_job_exec_open_max (&job->spec);
  exec->first_seen_ms = now_ms;
  exec->last_placed_ms = now_ms;
  exec->evacuate_to = -1;
  exec->run_floor = job->highest_run;
  for (guint i = 0; i < job->progress.open.open_len; i++)
    load_occurrence (exec, &job->progress.open.open_val[i]);
  for (guint i = 0; job->failures && i < job->failures->len; i++)
    load_further_failures (exec, g_ptr_array_index (job->failures, i));
  return exec;
}

struct iv_job_exec *
iv_job_exec_new (struct iv_job_entry *job, gint64 now_ms)
{
  struct iv_job_exec *exec = exec_new (job, -1, now_ms);
  job->live_state = job->progress.state;
  exec->started = job->live_state != IVJ_QUEUED;
  load_crashes (exec);
  job->exec = exec;
  return exec;
}

struct iv_job_exec *
iv_job_exec_new_guest (struct iv_job_entry *job, gint cell, gint64 now_ms)
{
  job->guests++;
  return exec_new (job, cell, now_ms);
}

void
iv_job_exec_apply_delegations (struct iv_job_exec *exec, gint64 now_ms)
{
  for (guint i = 0; i < exec->open->len; i++)
    apply_delegations (exec, g_ptr_array_index (exec->open, i), now_ms);
}

void
iv_job_exec_give_away (struct iv_stage *stage, struct iv_job_task *task, guint generation)
{
  set_away (stage, task, TRUE);
  task->delegation_sent = generation;
}

void
iv_job_exec_take_back (struct iv_stage *stage, struct iv_job_task *task)
{
  set_away (stage, task, FALSE);
  task->delegation_sent = 0;
}

guint
iv_job_exec_away (const struct iv_job_exec *exec)
{
  guint count = 0;
  for (guint i = 0; i < exec->open->len; i++)
    {
      const struct iv_occurrence *occurrence = g_ptr_array_index (exec->open, i);
      for (guint j = 0; j < exec->job->spec.steps.steps_len; j++)
        count += occurrence->stages[j].away;
    }
  return count;
}

void
iv_job_exec_free (struct iv_job_exec *exec)
{
  for (guint i = 0; i < exec->open->len; i++)
    occurrence_free (g_ptr_array_index (exec->open, i), exec->job->spec.steps.steps_len);
  g_ptr_array_free (exec->open, TRUE);
  if (exec->guest_cell >= 0)
    exec->job->guests--;
  else
    exec->job->exec = NULL;
  g_free (exec);
}

static guint
occurrence_count (const ivj_job *spec)
{
  return MAX (spec->times, 1);
}

static void
open_next (struct iv_job_exec *exec)
{
  struct iv_occurrence *occurrence = occurrence_new (&exec->job->spec, exec->opened);
  apply_delegations (exec, occurrence, exec->first_seen_ms);
  g_ptr_array_add (exec->open, occurrence);
  exec->opened++;
}

static gboolean
is_next_due (const struct iv_job_exec *exec, gint64 wall_ms)
{
  const ivj_job *spec = &exec->job->spec;
  return exec->opened < occurrence_count (spec)
         && (spec->times == 0
             || spec->first_ms + (gint64)exec->opened * spec->interval_ms <= wall_ms);
}

gboolean
iv_job_exec_open_due (struct iv_job_exec *exec, gint64 wall_ms)
{
  guint opened = exec->opened;
  while (is_next_due (exec, wall_ms) && exec->open->len + exec->unstored_closes < exec->open_max)
    open_next (exec);
  return exec->opened > opened;
}

void
iv_job_exec_open_listed (struct iv_job_exec *exec, guint number)
{
  if (number >= occurrence_count (&exec->job->spec) || number >= exec->opened + exec->open_max)
    return;
  while (exec->opened <= number)
    open_next (exec);
}

void
iv_job_exec_collected (struct iv_job_exec *exec)
{
  exec->collected_closes = exec->unstored_closes;
}

void
iv_job_exec_stored (struct iv_job_exec *exec)
{
  exec->unstored_closes -= exec->collected_closes;
  exec->collected_closes = 0;
}

struct iv_occurrence *
iv_job_exec_occurrence (const struct iv_job_exec *exec, guint number)
{
  guint place;
  return find_open (exec, number, &place) ? g_ptr_array_index (exec->open, place) : NULL;
}

struct iv_job_task *
iv_job_exec_task (const struct iv_job_exec *exec, const struct iv_task_name *name,
                  struct iv_stage **stage)
{
  struct iv_occurrence *occurrence = iv_job_exec_occurrence (exec, name->occurrence);
  if (occurrence == NULL || name->step >= exec->job->spec.steps.steps_len
      || name->index >= occurrence->stages[name->step].step->count)
    return NULL;
  if (stage)
    *stage = &occurrence->stages[name->step];
  return &occurrence->stages[name->step].tasks[name->index];
}

struct iv_job_task *
iv_stage_suspect (const struct iv_stage *stage, const struct iv_job_task *task)
{
  guint index = stage->step->flags & IVJ_GANG ? 0 : (guint)(task - stage->tasks);
  return &stage->tasks[index];
}

guint
iv_stage_waiting (const struct iv_stage *stage)
{
  return stage->step->count - stage->done - stage->placed - stage->away;
}

guint
iv_stage_lacking (const struct iv_stage *stage)
{
  guint waiting = iv_stage_waiting (stage);
  return waiting - MIN (waiting, stage->held);
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
close_occurrence (struct iv_job_exec *exec, guint number)
{
  guint steps = exec->job->spec.steps.steps_len;
  struct iv_occurrence *occurrence;
  guint place;
  if (!find_open (exec, number, &place))
    return;
  occurrence = g_ptr_array_index (exec->open, place);
  if (occurrence->stages_done < steps)
    return;
  g_ptr_array_remove_index (exec->open, place);
  occurrence_free (occurrence, steps);
  exec->unstored_closes++;
}

void
iv_job_exec_task_done (struct iv_job_exec *exec, const struct iv_task_name *name)
{
  struct iv_stage *stage;
  struct iv_job_task *task = iv_job_exec_task (exec, name, &stage);
  if (task == NULL || task->state == IV_JOB_TASK_DONE)
    return;
  task->state = IV_JOB_TASK_DONE;
  stage->done++;
  exec->needs_record = TRUE;
  if (!stage_ended (stage))
    return;
  iv_job_exec_occurrence (exec, name->occurrence)->stages_done++;
  close_occurrence (exec, name->occurrence);
}

gboolean
iv_job_exec_task_failed (struct iv_job_exec *exec, const struct iv_task_name *name, gint64 run,
                         guint attempts)
{
  struct iv_stage *stage;
  struct iv_job_task *task = iv_job_exec_task (exec, name, &stage);
  if (task == NULL || (stage->step->flags & IVJ_LONG_RUNNING) || failure_counted (task, run))
    return FALSE;
  add_failure (task, run);
  exec->needs_record = TRUE;
  return task->failures >= attempts;
}

void
iv_job_exec_running (struct iv_job_exec *exec)
{
  exec->started = TRUE;
  if (exec->guest_cell >= 0 || exec->job->live_state != IVJ_QUEUED)
    return;
  exec->job->live_state = IVJ_RUNNING;
  exec->needs_record = TRUE;
}

void
iv_job_exec_end (struct iv_job_exec *exec, enum ivj_state state, gint64 wall_ms)
{
  exec->job->live_state = state;
  exec->job->live_ended_ms = wall_ms;
  exec->needs_record = TRUE;
}

gboolean
iv_job_exec_complete (const struct iv_job_exec *exec)
{
  return exec->open->len == 0 && exec->opened == occurrence_count (&exec->job->spec);
}

gint64
iv_job_critical_path_ms (const ivj_job *spec)
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

gint64
iv_job_exec_expected_ms (const struct iv_job_exec *exec, const struct iv_stage *stage)
{
  gint64 estimate_ms = (gint64)stage->step->estimate_ms;
  if (exec->lengths == NULL || (stage->step->flags & IVJ_LONG_RUNNING))
    return estimate_ms;
  return iv_task_lengths_quantile_ms (exec->lengths, stage->length_key, estimate_ms,
                                      IV_TASK_LENGTHS_MEDIAN);
}

static gint64
occurrence_left_ms (const struct iv_job_exec *exec, const struct iv_occurrence *occurrence)
{
  guint count = exec->job->spec.steps.steps_len;
  gint64 ends[IVJ_STEPS_MAX] = { 0 };
  gint64 longest = 0;
  for (guint i = 0; i < count; i++)
    {
      const struct iv_stage *stage = &occurrence->stages[i];
      for (guint j = 0; j < stage->step->depends.depends_len; j++)
        ends[i] = MAX (ends[i], ends[stage->step->depends.depends_val[j]]);
      if (!stage_ended (stage))
        ends[i] += iv_job_exec_expected_ms (exec, stage);
      longest = MAX (longest, ends[i]);
    }
  return longest;
}

gint64
iv_job_exec_remaining_ms (const struct iv_job_exec *exec)
{
  gint64 longest = 0;
  for (guint i = 0; i < exec->open->len; i++)
    longest = MAX (longest, occurrence_left_ms (exec, g_ptr_array_index (exec->open, i)));
  return longest;
}

gint64
iv_job_exec_remaining_work (const struct iv_job_exec *exec)
{
  gint64 work = 0;
  for (guint i = 0; i < exec->open->len; i++)
    {
      const struct iv_occurrence *occurrence = g_ptr_array_index (exec->open, i);
      for (guint j = 0; j < exec->job->spec.steps.steps_len; j++)
        {
          const struct iv_stage *stage = &occurrence->stages[j];
          work += (gint64)stage->step->cpu_milli * iv_job_exec_expected_ms (exec, stage)
                  * (stage->step->count - stage->done - stage->away) / 1000;
        }
    }
  return work;
}

gboolean
iv_job_is_long_running (const ivj_job *spec)
{
  for (guint i = 0; i < spec->steps.steps_len; i++)
    if (spec->steps.steps_val[i].flags & IVJ_LONG_RUNNING)
      return TRUE;
  return FALSE;
}

gint64
iv_job_long_running_milli (const ivj_job *spec)
{
  gint64 sum = 0;
  for (guint i = 0; i < spec->steps.steps_len; i++)
    if ((spec->steps.steps_val[i].flags & (IVJ_LONG_RUNNING | IVJ_BEST_EFFORT)) == IVJ_LONG_RUNNING)
      sum += (gint64)spec->steps.steps_val[i].cpu_milli * spec->steps.steps_val[i].count;
  return sum;
}
