#include "owner_private.h"

#include "event.h"
#include "reserve.h"

#define DELEGATE_INTERVAL_MS 100
/* A worker may become free for a task soon after it began to wait. */
#define DELEGATE_AFTER_MS 500
#define UNHOLDABLE_MAX_AGE_MS 500 /* the interval between dispatches is shorter */

static void
record (struct iv_owner *owner, const struct iv_job_exec *exec, struct iv_stage *stage,
        const struct iv_task_name *name, gint cell, gint64 now_ms)
{
  const struct iv_delegation *known = iv_delegations_find (exec->job->delegations, name);
  struct iv_delegation delegation = { .occurrence = name->occurrence,
                                      .step = name->step,
                                      .index = name->index,
                                      .generation = known ? known->generation + 1 : 1,
                                      .cell = cell,
                                      .crashes = stage->tasks[name->index].crashes };
  iv_event (IV_LEVEL_INFO, cell < 0 ? "task.returned" : "task.delegated",
            "task=%s.%u.%u.%u to=%d generation=%u waited_ms=%" G_GINT64_FORMAT, exec->job->id,
            name->occurrence, name->step, name->index, cell, delegation.generation,
            now_ms - stage->waiting_since_ms);
  iv_job_exec_give_away (stage, &stage->tasks[name->index], delegation.generation);
  owner->effects.record_delegation (owner->effects.context, exec->job, &delegation);
}

/* Whether the steps of the job can be delegated task by task: none ends, starts with others or at a
   time, follows another, or needs accelerators, of which pieces tell nothing. */
static gboolean
is_delegable (const struct iv_job_exec *exec)
{
  const ivj_job *spec = &exec->job->spec;
  if (exec->evacuate_to >= 0 || exec->hopeless || spec->times > 0)
    return FALSE;
  for (guint i = 0; i < spec->steps.steps_len; i++)
    {
      const ivj_step *step = &spec->steps.steps_val[i];
      if (!(step->flags & IVJ_LONG_RUNNING) || step->depends.depends_len > 0
          || step->accelerators > 0 || *step->data_rack
          || (step->flags & (IVJ_GANG | IVJ_BEST_EFFORT)))
        return FALSE;
    }
  return TRUE;
}

/* Whether no run of @a task can exist, and no worker is being kept free for it. */
static gboolean
may_be_given (const struct iv_owner *owner, const struct iv_job_exec *exec,
              const struct iv_stage *stage, const struct iv_job_task *task, gint64 now_ms)
{
  return iv_dispatch_is_free (owner, exec, stage, task, now_ms)
         && now_ms >= task->delegate_not_before_ms
         && iv_reserve_find (owner->fleet, task, now_ms) == NULL;
}

/* Delegates the waiting tasks of the stage for which other cells have pieces, but for as many as
   the limit of their workspace holds. Only the cell of its job counts the crashes of a task, so one
   of the step must have run before. */
static void
delegate_tasks (struct iv_owner *owner, const struct iv_job_exec *exec, struct iv_stage *stage,
                guint occurrence, gint64 now_ms)
{
  const ivj_job *spec = &exec->job->spec;
  struct iv_task_name name = { .occurrence = occurrence, .step = stage->number };
  guint lacking = iv_stage_lacking (stage);
  struct iv_queue_policy policy;
  if (!owner->effects.queue (owner->effects.context, spec->host, spec->prefix, &policy))
    return;
  for (name.index = 0; name.index < stage->step->count && lacking > 0; name.index++)
    {
      const struct iv_job_task *task = &stage->tasks[name.index];
      gint cell;
      if (!may_be_given (owner, exec, stage, task, now_ms) || task->crashes > 0
          || (task->run == 0 && stage->placed == 0))
        continue;
      cell = owner->effects.find_delegate (owner->effects.context, policy.service, stage->step);
      if (cell < 0)
        return;
      record (owner, exec, stage, &name, cell, now_ms);
      lacking--;
    }
}

static gboolean
has_waited (const struct iv_stage *stage, gint64 wait_ms, gint64 now_ms)
{
  return iv_stage_lacking (stage) > 0 && stage->waiting_since_ms > 0
         && now_ms >= stage->waiting_since_ms + wait_ms;
}

/* Returns the waiting tasks of the stage that found no worker, and at once those under suspicion,
   which only the cell of their job may start. */
static void
return_tasks (struct iv_owner *owner, const struct iv_job_exec *exec, struct iv_stage *stage,
              guint occurrence, gint64 now_ms)
{
  gboolean waited = has_waited (stage, IV_RETURN_AFTER_MS, now_ms);
  struct iv_task_name name = { .occurrence = occurrence, .step = stage->number };
  for (name.index = 0; name.index < stage->step->count; name.index++)
    {
      const struct iv_job_task *task = &stage->tasks[name.index];
      if ((waited || task->crashes > 0) && may_be_given (owner, exec, stage, task, now_ms))
        record (owner, exec, stage, &name, -1, now_ms);
    }
}

static gboolean
is_unholdable (const struct iv_job_exec *exec, gint64 now_ms)
{
  return exec->unholdable_ms > 0 && now_ms <= exec->unholdable_ms + UNHOLDABLE_MAX_AGE_MS;
}

static void
delegate_or_return (struct iv_owner *owner, struct iv_job_exec *exec, gint64 now_ms)
{
  gboolean guest = exec->guest_cell >= 0;
  if (!guest && (!is_unholdable (exec, now_ms) || !is_delegable (exec)))
    return;
  for (guint i = 0; i < exec->open->len; i++)
    {
      struct iv_occurrence *occurrence = g_ptr_array_index (exec->open, i);
      for (guint j = 0; j < exec->job->spec.steps.steps_len; j++)
        {
          struct iv_stage *stage = &occurrence->stages[j];
          if (guest)
            return_tasks (owner, exec, stage, occurrence->number, now_ms);
          else if (has_waited (stage, DELEGATE_AFTER_MS, now_ms))
            delegate_tasks (owner, exec, stage, occurrence->number, now_ms);
        }
    }
}

void
iv_owner_delegate_tasks (struct iv_owner *owner, gint64 now_ms)
{
  if (now_ms < owner->next_delegate_ms)
    return;
  owner->next_delegate_ms = now_ms + DELEGATE_INTERVAL_MS;
  for (guint i = 0; i < owner->execs->len; i++)
    delegate_or_return (owner, g_ptr_array_index (owner->execs, i), now_ms);
}

void
iv_owner_guests_changed (struct iv_owner *owner, struct iv_job_entry *job, gint64 now_ms)
{
  struct iv_job_exec *exec = g_hash_table_lookup (owner->guests, job->id);
  gboolean ended = job->cancel || iv_job_state_is_final (job->progress.state);
  if (ended || !iv_delegations_any (job->delegations, owner->effects.cell))
    {
      if (exec)
        iv_owner_withdraw (owner, exec, now_ms);
      else if (iv_delegations_any (job->delegations, owner->effects.cell))
        iv_owner_keep_ended_usage (owner, job);
      return;
    }
  if (exec == NULL)
    {
      exec = iv_job_exec_new_guest (job, owner->effects.cell, now_ms);
      exec->owner = owner;
      exec->lengths = owner->lengths;
      exec->inherited = owner->loading_jobs;
      g_ptr_array_add (owner->execs, exec);
      g_hash_table_insert (owner->guests, g_strdup (job->id), exec);
      iv_owner_set_objective (owner, exec);
    }
  iv_job_exec_apply_delegations (exec, now_ms);
  owner->needs_dispatch = TRUE;
}

void
iv_owner_delegation_failed (struct iv_owner *owner, struct iv_job_entry *job,
                            const struct iv_delegation *delegation)
{
  struct iv_task_name name = { .occurrence = delegation->occurrence,
                               .step = delegation->step,
                               .index = delegation->index };
  struct iv_job_exec *exec;
  struct iv_job_task *task;
  struct iv_stage *stage;
  g_strlcpy (name.job, job->id, sizeof name.job);
  exec = iv_owner_find_exec (owner, &name);
  task = exec ? iv_job_exec_task (exec, &name, &stage) : NULL;
  if (task && task->delegation_sent == delegation->generation)
    iv_job_exec_take_back (stage, task);
  owner->needs_dispatch = TRUE;
}
