#include "owner_private.h"

#include "event.h"
#include "layout.h"

#define MOVES_INTERVAL_MS 100
#define MOVE_AFTER_MS 150         /* of waiting for capacity: a move takes about 100 ms */
#define EVACUATE_AFTER_MS 1000    /* long-running tasks must not wait 3 s for a worker */
#define EVACUATE_WAIT_MS 2500     /* the same where a worker is reserved, or soon will be */
#define UNHOLDABLE_MAX_AGE_MS 500 /* the interval between dispatches is shorter */
/* Keeps a job from going to and fro between cells that are both full. */
#define EVACUATE_AGAIN_MS 10000
#define MOVE_AGAIN_MS EVACUATE_AGAIN_MS
/* Until the load of a cell shows a job that has moved there. */
#define LOAD_DELAY_MS 1000

/* Whether no task of the job has been started, by this owner or a previous one. */
static gboolean
is_unstarted (const struct iv_owner *owner, const struct iv_job_exec *exec)
{
  return !exec->started && exec->placed == 0 && (owner->previous_runs_known || !exec->inherited);
}

/* CPU demand of the first stage that is ready, and that not only the limit of its workspace holds;
   0: none is. */
static gint64
waiting_milli (const struct iv_job_exec *exec, enum iv_capacity_kind *kind)
{
  for (guint i = 0; i < exec->open->len; i++)
    {
      const struct iv_occurrence *occurrence = g_ptr_array_index (exec->open, i);
      for (guint j = 0; j < exec->job->spec.steps.steps_len; j++)
        {
          const struct iv_stage *stage = &occurrence->stages[j];
          if (!iv_stage_ready (occurrence, stage)
              || (stage->held > 0 && iv_stage_lacking (stage) == 0))
            continue;
          *kind
              = stage->step->flags & IVJ_BEST_EFFORT ? IV_CAPACITY_BEST_EFFORT : IV_CAPACITY_BATCH;
          return (gint64)stage->step->cpu_milli * stage->step->count;
        }
    }
  return 0;
}

/* Moves the job to @a cell; no task of it runs. */
static void
move_to_cell (struct iv_owner *owner, struct iv_job_exec *exec, guint cell)
{
  struct iv_job_entry *job = exec->job;
  iv_event (IV_LEVEL_INFO, "job.moved", "job=%s to=%u", job->id, cell);
  g_ptr_array_remove_fast (owner->execs, exec);
  iv_owner_forget_record (owner, job);
  iv_job_exec_free (exec);
  job->move_pending = TRUE;
  owner->effects.move_job (owner->effects.context, job, cell);
}

/* Whether tasks of step @a number are left to run. */
static gboolean
is_unfinished (const struct iv_job_exec *exec, guint number)
{
  const ivj_job *spec = &exec->job->spec;
  if (exec->opened < MAX (spec->times, 1))
    return TRUE;
  for (guint i = 0; i < exec->open->len; i++)
    {
      const struct iv_occurrence *occurrence = g_ptr_array_index (exec->open, i);
      if (occurrence->stages[number].done < occurrence->stages[number].step->count)
        return TRUE;
    }
  return FALSE;
}

/* Whether tasks of step @a number wait for workers. */
static gboolean
is_waiting (const struct iv_job_exec *exec, guint number)
{
  for (guint i = 0; i < exec->open->len; i++)
    {
      const struct iv_occurrence *occurrence = g_ptr_array_index (exec->open, i);
      const struct iv_stage *stage = &occurrence->stages[number];
      if (iv_stage_waiting (stage) > 0 && iv_stage_ready (occurrence, stage))
        return TRUE;
    }
  return FALSE;
}

/* A cell with free capacity for @a need_milli that can hold the steps of the job for which
   @a is_needed holds; -1: there is none. */
static gint
find_cell (const struct iv_owner *owner, const struct iv_job_exec *exec, gint64 need_milli,
           enum iv_capacity_kind kind,
           gboolean (*is_needed) (const struct iv_job_exec *exec, guint number))
{
  const ivj_job *spec = &exec->job->spec;
  struct iv_move_needs needs
      = { .cpu_milli = need_milli, .kind = kind, .steps = g_ptr_array_new () };
  struct iv_queue_policy policy;
  gint cell = -1;
  for (guint i = 0; i < spec->steps.steps_len; i++)
    if (is_needed (exec, i))
      g_ptr_array_add (needs.steps, &spec->steps.steps_val[i]);
  if (owner->effects.queue (owner->effects.context, spec->host, spec->prefix, &policy))
    {
      needs.service = policy.service;
      cell = owner->effects.find_move_target (owner->effects.context, &needs);
    }
  g_ptr_array_unref (needs.steps);
  return cell;
}

/* What the tasks of the first step of a batch job need: those that start first. */
static gint64
first_need_milli (const ivj_job *spec, enum iv_capacity_kind *kind)
{
  const ivj_step *step = &spec->steps.steps_val[0];
  *kind = step->flags & IVJ_BEST_EFFORT ? IV_CAPACITY_BEST_EFFORT : IV_CAPACITY_BATCH;
  return (gint64)step->cpu_milli * step->count;
}

/* Whether a step of the job names a rack: the layout tells where it belongs. */
static gboolean
names_rack (const ivj_job *spec)
{
  for (guint i = 0; i < spec->steps.steps_len; i++)
    if (*spec->steps.steps_val[i].data_rack || *spec->steps.steps_val[i].label)
      return TRUE;
  return FALSE;
}

gboolean
iv_owner_balance_batch (struct iv_owner *owner, struct iv_job_exec *exec)
{
  const ivj_job *spec = &exec->job->spec;
  struct iv_move_needs needs = { 0 };
  struct iv_queue_policy policy;
  guint cell;
  if (owner->effects.choose_cell == NULL || exec->job->moved_to >= 0 || !is_unstarted (owner, exec)
      || iv_job_is_long_running (spec) || names_rack (spec)
      || !owner->effects.queue (owner->effects.context, spec->host, spec->prefix, &policy))
    return FALSE;
  needs.service = policy.service;
  needs.cpu_milli = first_need_milli (spec, &needs.kind);
  needs.steps = g_ptr_array_new ();
  for (guint i = 0; i < spec->steps.steps_len; i++)
    g_ptr_array_add (needs.steps, &spec->steps.steps_val[i]);
  cell = owner->effects.choose_cell (owner->effects.context, &needs,
                                     iv_layout_job_draw (exec->job->id));
  g_ptr_array_unref (needs.steps);
  if (cell == (guint)owner->effects.cell)
    return FALSE;
  move_to_cell (owner, exec, cell);
  return TRUE;
}

/* Moves the job to a cell with free capacity for @a need_milli. FALSE when there is none. */
static gboolean
try_move (struct iv_owner *owner, struct iv_job_exec *exec, gint64 need_milli,
          enum iv_capacity_kind kind)
{
  gint cell = need_milli > 0 ? find_cell (owner, exec, need_milli, kind, is_unfinished) : -1;
  if (cell < 0)
    return FALSE;
  move_to_cell (owner, exec, (guint)cell);
  return TRUE;
}

/* Whether a step of the job has waited for a worker, and the cell has none that could hold it even
   if it were empty. */
static gboolean
is_out_of_place (struct iv_owner *owner, const struct iv_job_exec *exec, gint64 now_ms)
{
  for (guint i = 0; i < exec->open->len; i++)
    {
      const struct iv_occurrence *occurrence = g_ptr_array_index (exec->open, i);
      for (guint j = 0; j < exec->job->spec.steps.steps_len; j++)
        {
          struct iv_stage *stage = &occurrence->stages[j];
          struct iv_placement_query query;
          if (iv_stage_lacking (stage) > 0 && iv_stage_ready (occurrence, stage)
              && stage->waiting_since_ms > 0 && now_ms >= stage->waiting_since_ms + MOVE_AFTER_MS
              && iv_dispatch_query (owner, exec, stage, occurrence->number, now_ms, &query)
              && !iv_place_can_hold_stage (&query))
            return TRUE;
        }
    }
  return FALSE;
}

static gboolean
is_all_long_running (const struct iv_job_exec *exec)
{
  const ivj_job *spec = &exec->job->spec;
  for (guint i = 0; i < spec->steps.steps_len; i++)
    if (!(spec->steps.steps_val[i].flags & IVJ_LONG_RUNNING))
      return FALSE;
  return TRUE;
}

/* Whether the job can be moved at once: no run of it exists, and all that happened is stored. */
static gboolean
is_at_rest (const struct iv_owner *owner, const struct iv_job_exec *exec)
{
  return exec->placed == 0 && (owner->previous_runs_known || !exec->inherited)
         && (is_unstarted (owner, exec) || iv_owner_is_recorded (owner, exec));
}

/* Whether the job has moved here and not run since: it would go to and fro. */
static gboolean
has_just_moved (const struct iv_job_exec *exec, gint64 now_ms)
{
  return exec->job->moved_to >= 0 && exec->last_placed_ms <= exec->first_seen_ms
         && now_ms < exec->first_seen_ms + MOVE_AGAIN_MS;
}

/* Moves a job that the cell cannot hold to one that can hold all that is left of it, or else what
   waits now. Long-running jobs that have started are evacuated instead: they need free pieces. */
static gboolean
move_out_of_place (struct iv_owner *owner, struct iv_job_exec *exec, gint64 now_ms)
{
  gint cell;
  if ((exec->started && is_all_long_running (exec)) || !is_at_rest (owner, exec)
      || has_just_moved (exec, now_ms) || !is_out_of_place (owner, exec, now_ms))
    return FALSE;
  cell = find_cell (owner, exec, 0, IV_CAPACITY_ANY, is_unfinished);
  if (cell < 0)
    cell = find_cell (owner, exec, 0, IV_CAPACITY_ANY, is_waiting);
  if (cell < 0)
    return FALSE;
  move_to_cell (owner, exec, (guint)cell);
  return TRUE;
}

/* Whether all tasks are long-running, and those that run may be stopped at once. */
static gboolean
may_be_evacuated (const struct iv_job_exec *exec)
{
  const ivj_job *spec = &exec->job->spec;
  if (!is_all_long_running (exec))
    return FALSE;
  for (guint i = 0; i < spec->steps.steps_len; i++)
    if (spec->steps.steps_val[i].unavailable_max && exec->placed > 0)
      return FALSE;
  return TRUE;
}

static gboolean
are_all_placed (const struct iv_job_exec *exec)
{
  for (guint i = 0; i < exec->open->len; i++)
    {
      const struct iv_occurrence *occurrence = g_ptr_array_index (exec->open, i);
      for (guint j = 0; j < exec->job->spec.steps.steps_len; j++)
        if (iv_stage_lacking (&occurrence->stages[j]) > 0)
          return FALSE;
    }
  return TRUE;
}

/* Whether a step of the job has to be on more workers than the cell has. Cells are of about the
   same size, so no other one holds the job either. */
static gboolean
exceeds_cells (const struct iv_owner *owner, const struct iv_job_exec *exec)
{
  const ivj_job *spec = &exec->job->spec;
  guint64 workers = g_hash_table_size (owner->fleet->by_id);
  for (guint i = 0; i < spec->steps.steps_len; i++)
    if (spec->steps.steps_val[i].per_worker_max > 0
        && spec->steps.steps_val[i].per_worker_max * workers < spec->steps.steps_val[i].count)
      return TRUE;
  return FALSE;
}

/* Whether tasks of a long-running job have waited too long for workers, or will when theirs have
   left. */
static gboolean
needs_evacuation (const struct iv_owner *owner, struct iv_job_exec *exec, gint64 now_ms)
{
  gboolean unholdable
      = exec->unholdable_ms > 0 && now_ms <= exec->unholdable_ms + UNHOLDABLE_MAX_AGE_MS;
  if ((are_all_placed (exec) && !unholdable) || !owner->previous_runs_known
      || !may_be_evacuated (exec) || exceeds_cells (owner, exec))
    {
      exec->unplaced_since_ms = 0;
      return FALSE;
    }
  if (exec->unplaced_since_ms == 0)
    exec->unplaced_since_ms = now_ms;
  return now_ms >= exec->unplaced_since_ms + (unholdable ? EVACUATE_AFTER_MS : EVACUATE_WAIT_MS)
         && (exec->job->moved_to < 0 || now_ms >= exec->first_seen_ms + EVACUATE_AGAIN_MS);
}

static gint64
need_milli (const struct iv_job_exec *exec)
{
  return iv_job_long_running_milli (&exec->job->spec);
}

static enum iv_capacity_kind
evacuation_kind (const struct iv_owner *owner, const struct iv_job_exec *exec)
{
  const ivj_job *spec = &exec->job->spec;
  /* Best-effort tasks reserve no cores: pieces of any size hold them. */
  if (need_milli (exec) == 0)
    return IV_CAPACITY_LONG_RUNNING;
  for (guint i = 0; i < spec->steps.steps_len; i++)
    if (spec->steps.steps_val[i].cpu_milli > owner->mean_long_running_milli)
      return IV_CAPACITY_EVACUATION_LARGE;
  return IV_CAPACITY_EVACUATION;
}

/* Cores for the jobs that are being evacuated or have just left: the load of the cells that they go
   to does not show them yet. */
static gint64
leaving_milli (const struct iv_owner *owner, gint64 now_ms)
{
  gint64 sum = 0;
  for (guint i = 0; i < owner->execs->len; i++)
    {
      const struct iv_job_exec *exec = g_ptr_array_index (owner->execs, i);
      if (exec->evacuate_to >= 0)
        sum += need_milli (exec);
    }
  for (guint i = 0; i < owner->departures->len; i++)
    {
      const struct iv_departure *departure
          = &g_array_index (owner->departures, struct iv_departure, i);
      if (now_ms < departure->until_ms)
        sum += departure->cpu_milli;
    }
  return sum;
}

static void
note_departure (struct iv_owner *owner, const struct iv_job_exec *exec, gint64 now_ms)
{
  struct iv_departure departure = { need_milli (exec), now_ms + LOAD_DELAY_MS };
  while (owner->departures->len > 0
         && g_array_index (owner->departures, struct iv_departure, 0).until_ms <= now_ms)
    g_array_remove_index (owner->departures, 0);
  g_array_append_val (owner->departures, departure);
}

/* Evacuates a job to a cell with capacity for all of it and @a reserved_milli. FALSE when there is
   none. */
static gboolean
try_evacuate (struct iv_owner *owner, struct iv_job_exec *exec, gint64 reserved_milli,
              gint64 now_ms)
{
  gint cell = find_cell (owner, exec, reserved_milli + need_milli (exec),
                         evacuation_kind (owner, exec), is_unfinished);
  if (cell < 0)
    return FALSE;
  iv_event (IV_LEVEL_INFO, "job.evacuated", "job=%s to=%d placed=%u", exec->job->id, cell,
            exec->placed);
  exec->evacuate_to = cell;
  iv_owner_stop_job (owner, exec->job, now_ms);
  return TRUE;
}

static gint
compare_need (gconstpointer a, gconstpointer b)
{
  gint64 x = need_milli (*(struct iv_job_exec *const *)a);
  gint64 y = need_milli (*(struct iv_job_exec *const *)b);
  return x < y ? -1 : x > y;
}

/* Evacuates the smallest of @a execs that another cell has capacity for. */
static void
evacuate_one (struct iv_owner *owner, GPtrArray *execs, gint64 now_ms)
{
  gint64 reserved_milli = leaving_milli (owner, now_ms);
  g_ptr_array_sort (execs, compare_need);
  for (guint i = 0; i < execs->len; i++)
    if (try_evacuate (owner, g_ptr_array_index (execs, i), reserved_milli, now_ms))
      return;
}

gboolean
iv_owner_balance_long_running (struct iv_owner *owner, struct iv_job_exec *exec)
{
  return exec->job->moved_to < 0 && is_unstarted (owner, exec)
         && try_move (owner, exec, iv_job_long_running_milli (&exec->job->spec),
                      IV_CAPACITY_LONG_RUNNING);
}

void
iv_owner_move_jobs (struct iv_owner *owner, gint64 now_ms)
{
  GPtrArray *waiting;
  if (now_ms < owner->next_moves_ms)
    return;
  owner->next_moves_ms = now_ms + MOVES_INTERVAL_MS;
  waiting = g_ptr_array_new ();
  for (guint i = owner->execs->len; i-- > 0;)
    {
      struct iv_job_exec *exec = g_ptr_array_index (owner->execs, i);
      enum iv_capacity_kind kind = IV_CAPACITY_BATCH;
      /* Its delegated tasks would be those of a third cell. */
      if (exec->guest_cell >= 0 || iv_job_exec_away (exec) > 0)
        continue;
      if (exec->evacuate_to >= 0 && exec->placed == 0
          && exec->job->progress.state == exec->job->live_state
          && exec->crash_batch <= owner->stored_batch)
        {
          note_departure (owner, exec, now_ms);
          move_to_cell (owner, exec, (guint)exec->evacuate_to);
        }
      else if (exec->evacuate_to < 0 && move_out_of_place (owner, exec, now_ms))
        continue;
      else if (exec->evacuate_to < 0 && exec->started)
        {
          if (needs_evacuation (owner, exec, now_ms))
            g_ptr_array_add (waiting, exec);
        }
      else if (is_unstarted (owner, exec) && now_ms > exec->first_seen_ms + MOVE_AFTER_MS)
        try_move (owner, exec, waiting_milli (exec, &kind), kind);
    }
  evacuate_one (owner, waiting, now_ms);
  g_ptr_array_free (waiting, TRUE);
}

void
iv_owner_move_failed (struct iv_owner *owner, struct iv_job_entry *job, gint64 now_ms)
{
  job->move_pending = FALSE;
  iv_owner_job_changed (owner, job, now_ms);
}
