#include "crash.h"

#include "event.h"
#include "owner_private.h"
#include "reserve.h"

#include <string.h>

/* A worker that is alive this long after the start of a run has survived it. One interval between
   lists, so that a proof takes two lists at most. */
#define PROBATION_MS 500
/* Last replies of workers that end together are this close: a poll is held for 500 ms. */
#define TOGETHER_MS 700
#define TOGETHER_MIN 2 /* other workers that must have ended with one for a common cause */

/* A task is to blame when it was the only suspect twice; when it was the last time, of three, or
   after four in any company, of which two must have been seen; or after five, seen or not. Callers
   may be told `failed` after two crashes, and there must be no sixth start. */
#define ALONE_MAX 2
#define CRASHES_LAST_ALONE 3
#define SEEN_MIN 2
#define CRASHES_MAX 4
#define STARTS_MAX 5
/* Time for the newest runs on a worker to prove harmless, with a list between. */
#define RESERVE_MS (2 * PROBATION_MS + 200)
/* Score of a long-running task or a gang member that would be lost, in thousandths of a core. */
#define SCORE_LOSES_LONG_WORK (-20000)

static const char *const phase_names[] = { "starting", "unsure", "running", "stopping" };

static gboolean
is_unproven (gconstpointer run)
{
  return !((const struct iv_run *)run)->proven;
}

/* Whether the counts of @a run are those of the task @a name: runs of one task, or of one gang,
   whose members tell nothing about each other. */
static gboolean
is_of_suspect (const struct iv_run *run, const struct iv_task_name *name)
{
  if (run->name.step != name->step || run->name.occurrence != name->occurrence
      || strcmp (run->name.job, name->job) != 0)
    return FALSE;
  return run->name.index == name->index || (run->step && run->step->flags & IVJ_GANG);
}

static guint
count_unproven (const struct iv_fleet_worker *worker)
{
  guint count = 0;
  for (guint i = 0; i < worker->runs->len; i++)
    count += is_unproven (g_ptr_array_index (worker->runs, i));
  return count;
}

/* The same without runs of the suspect @a name. */
static guint
count_other_unproven (const struct iv_fleet_worker *worker, const struct iv_task_name *name)
{
  guint count = 0;
  for (guint i = 0; i < worker->runs->len; i++)
    {
      const struct iv_run *run = g_ptr_array_index (worker->runs, i);
      count += is_unproven (run) && !is_of_suspect (run, name);
    }
  return count;
}

/* The task that carries the counts for the run or task @a name; NULL when it is not known. */
static struct iv_job_task *
find_suspect (const struct iv_job_exec *exec, const struct iv_task_name *name)
{
  struct iv_stage *stage;
  struct iv_job_task *task = exec ? iv_job_exec_task (exec, name, &stage) : NULL;
  return task ? iv_stage_suspect (stage, task) : NULL;
}

void
iv_crash_clear (struct iv_owner *owner, struct iv_job_exec *exec, const struct iv_task_name *name)
{
  struct iv_job_task *task = find_suspect (exec, name);
  if (task == NULL || task->crashes == 0)
    return;
  iv_event (IV_LEVEL_INFO, "task.cleared", "task=%s.%u.%u.%u crashes=%u seen=%u alone=%u",
            name->job, name->occurrence, name->step, name->index, task->crashes, task->crashes_seen,
            task->crashes_alone);
  task->crashes = 0;
  task->crashes_seen = 0;
  task->crashes_alone = 0;
  task->start_announced = FALSE;
  task->crashes_recorded = FALSE;
  exec->needs_record = TRUE;
  iv_owner_queue_record (owner, exec);
}

static guint
count_proven (const struct iv_fleet_worker *worker, const struct iv_run *member)
{
  guint count = 0;
  for (guint i = 0; i < worker->runs->len; i++)
    {
      const struct iv_run *run = g_ptr_array_index (worker->runs, i);
      count += run->proven && run->number == member->number && is_of_suspect (run, &member->name);
    }
  return count;
}

/* Whether all runs that started with @a run have proven harmless: the worker of another member of a
   gang may have ended without a sign yet. */
static gboolean
have_all_proven (const struct iv_owner *owner, const struct iv_run *run)
{
  guint proven = 0;
  GHashTableIter iter;
  gpointer worker;
  if (run->step == NULL || !(run->step->flags & IVJ_GANG))
    return run->proven;
  g_hash_table_iter_init (&iter, owner->fleet->by_id);
  while (g_hash_table_iter_next (&iter, NULL, &worker))
    proven += count_proven (worker, run);
  return proven == run->step->count;
}

static void
clear_suspect (struct iv_owner *owner, struct iv_run *run)
{
  run->suspect = FALSE;
  run->worker->suspects--;
  owner->needs_dispatch = TRUE;
  if (have_all_proven (owner, run))
    iv_crash_clear (owner, iv_owner_find_exec (owner, &run->name), &run->name);
}

static void
prove_run (struct iv_run *run, gint64 clock_ms)
{
  if (run->proven || (run->phase != IV_RUN_PHASE_RUNNING && run->first_clock_ms == 0))
    return;
  if (run->first_clock_ms == 0)
    run->first_clock_ms = run->acked_clock_ms > 0 ? run->acked_clock_ms : clock_ms;
  run->proven = clock_ms - run->first_clock_ms >= PROBATION_MS;
}

void
iv_crash_worker_replied (struct iv_owner *owner, struct iv_fleet_worker *worker)
{
  worker->lapsed_unproven = FALSE;
  for (guint i = 0; i < worker->runs->len; i++)
    {
      struct iv_run *run = g_ptr_array_index (worker->runs, i);
      prove_run (run, worker->sample_clock_ms);
      if (run->proven && run->suspect)
        clear_suspect (owner, run);
    }
  if (worker->reserved_for && worker->suspects == 0 && count_unproven (worker) == 0)
    owner->needs_dispatch = TRUE;
}

static gboolean
ended_with (const struct iv_fleet_worker *other, gint64 alive_ms)
{
  gint64 last_ms = other->failures > 0 ? other->alive_ms : other->ended_alive_ms;
  return last_ms > 0 && ABS (last_ms - alive_ms) <= TOGETHER_MS;
}

static gboolean
survived (const struct iv_fleet_worker *other, gint64 alive_ms)
{
  return other->failures == 0 && other->instance_alive_since_ms > 0
         && other->instance_alive_since_ms <= alive_ms && other->alive_ms > alive_ms + TOGETHER_MS;
}

/* Whether @a other went at about the same time, and neither it nor another instance has come back:
   one that crashed because of a task does. */
static gboolean
is_gone_with (const struct iv_fleet_worker *other, gint64 alive_ms)
{
  return other->failures > 0 && !other->listed && !other->replaced && ended_with (other, alive_ms);
}

/* Whether nothing new is on @a worker, or was before its leases ended. */
static gboolean
has_nothing_new (const struct iv_fleet_worker *worker)
{
  return !worker->lapsed_unproven && count_unproven (worker) == 0;
}

/* Workers that went at about the same time as one of them, and those that did not. */
struct neighbours
{
  guint ended;
  guint survived;
};

static void
count_neighbour (struct neighbours *neighbours, const struct iv_fleet_worker *other,
                 gint64 alive_ms)
{
  neighbours->ended += ended_with (other, alive_ms);
  neighbours->survived += survived (other, alive_ms);
}

static gboolean
have_common_cause (const struct neighbours *neighbours)
{
  return neighbours->ended >= TOGETHER_MIN && neighbours->ended >= 2 * neighbours->survived;
}

/* Workers that are gone for good since about the same time, and those that survived; of each, those
   on which nothing was new. */
struct losses
{
  guint gone;
  guint gone_clean;
  guint survived;
  guint survived_clean;
};

static void
count_loss (struct losses *losses, const struct iv_fleet_worker *other, gint64 alive_ms)
{
  if (is_gone_with (other, alive_ms))
    {
      losses->gone++;
      losses->gone_clean += has_nothing_new (other);
    }
  else if (survived (other, alive_ms))
    {
      losses->survived++;
      losses->survived_clean += has_nothing_new (other);
    }
}

/* Whether the new runs made no difference to which workers are gone: among these, workers on which
   nothing was new are at least half as frequent as among the others. With 60 of 100 survivors
   clean, 30 of 100 gone ones suffice; were new runs to blame, there would be none. */
static gboolean
went_at_random (const struct losses *losses)
{
  guint64 gone = losses->gone + 1; /* the worker in question has new runs */
  return losses->gone_clean >= TOGETHER_MIN && losses->survived > 0
         && 2 * (guint64)losses->gone_clean * losses->survived >= losses->survived_clean * gone;
}

/* The cause of an end that is not to be looked for among the runs; NULL: there is none. */
static const char *
outer_cause (const struct iv_owner *owner, const struct iv_fleet_worker *worker)
{
  struct neighbours rack = { 0 };
  struct neighbours domain = { 0 };
  struct losses losses = { 0 };
  GHashTableIter iter;
  gpointer value;
  if (worker->draining || worker->left_in_order)
    return "left";
  g_hash_table_iter_init (&iter, owner->fleet->by_id);
  while (g_hash_table_iter_next (&iter, NULL, &value))
    {
      const struct iv_fleet_worker *other = value;
      if (other == worker)
        continue;
      count_loss (&losses, other, worker->alive_ms);
      if (g_strcmp0 (other->rack, worker->rack) == 0)
        count_neighbour (&rack, other, worker->alive_ms);
      if (g_strcmp0 (other->domain, worker->domain) == 0)
        count_neighbour (&domain, other, worker->alive_ms);
    }
  if (have_common_cause (&rack))
    return "rack";
  if (have_common_cause (&domain))
    return "domain";
  return is_gone_with (worker, worker->alive_ms) && went_at_random (&losses) ? "random" : NULL;
}

static void
log_lost_run (const struct iv_run *run, const char *evidence)
{
  const struct iv_fleet_worker *worker = run->worker;
  iv_event (IV_LEVEL_INFO, "run.lost",
            "task=%s.%u.%u.%u run=%" G_GINT64_FORMAT " worker=%s evidence=%s phase=%s proven=%d"
            " sent_before_last_reply_ms=%" G_GINT64_FORMAT,
            run->name.job, run->name.occurrence, run->name.step, run->name.index, run->number,
            worker->id, evidence, phase_names[run->phase], run->proven,
            worker->alive_ms - run->sent_ms);
}

/* Stores the count of a task of @a exec before the task starts again. */
static void
record_crash (struct iv_owner *owner, struct iv_job_exec *exec)
{
  /* A task that was delegated starts no more here: its own cell counts when it gets it back. */
  if (exec->guest_cell >= 0)
    return;
  exec->has_crashes = TRUE;
  iv_owner_await_batch (owner, exec, owner->batch + 1);
  exec->needs_record = TRUE;
  iv_owner_queue_record (owner, exec);
}

static gboolean
is_to_blame (const struct iv_job_task *task, gboolean alone)
{
  guint bound = alone ? CRASHES_LAST_ALONE : CRASHES_MAX;
  return task->crashes_alone >= ALONE_MAX
         || task->crashes >= (task->crashes_seen >= SEEN_MIN ? bound : STARTS_MAX);
}

static void
judge (struct iv_owner *owner, struct iv_job_exec *exec, const struct iv_job_task *task,
       const struct iv_task_name *name, gboolean alone)
{
  if (!is_to_blame (task, alone) || exec->hopeless || exec->guest_cell >= 0)
    return;
  exec->hopeless = TRUE;
  owner->hopeless = TRUE;
  iv_event (IV_LEVEL_WARNING, "job.given_up",
            "job=%s task=%s.%u.%u.%u crashes=%u seen=%u alone=%u last_alone=%d", name->job,
            name->job, name->occurrence, name->step, name->index, task->crashes, task->crashes_seen,
            task->crashes_alone, alone);
}

/* Counts the end of its worker against the task of @a run. @a seen: it had started there, and the
   worker is proven to have ended. @a alone: no other run may be to blame. */
static void
accuse (struct iv_owner *owner, struct iv_run *run, gboolean seen, gboolean alone,
        const char *evidence)
{
  const struct iv_task_name *name = &run->name;
  struct iv_job_exec *exec = iv_owner_find_exec (owner, name);
  struct iv_job_task *task = find_suspect (exec, name);
  run->accused = TRUE;
  if (task == NULL || task->state == IV_JOB_TASK_DONE || task->crash_run == run->number)
    return;
  task->crash_run = run->number;
  task->start_announced = FALSE;
  task->crashes++;
  task->crashes_seen += seen ? 1 : 0;
  task->crashes_alone += alone ? 1 : 0;
  record_crash (owner, exec);
  iv_event (IV_LEVEL_INFO, "task.suspected",
            "task=%s.%u.%u.%u run=%" G_GINT64_FORMAT
            " worker=%s evidence=%s crashes=%u seen=%u alone=%u",
            name->job, name->occurrence, name->step, name->index, run->number, run->worker->id,
            evidence, task->crashes, task->crashes_seen, task->crashes_alone);
  judge (owner, exec, task, name, alone);
}

/* A start without an answer may not have arrived, or found the worker gone. */
static gboolean
has_started (const struct iv_run *run)
{
  return run->phase == IV_RUN_PHASE_RUNNING || run->first_clock_ms > 0;
}

/* Whether a run on @a worker that has started is unproven, and of the suspect @a name. */
static gboolean
has_started_unproven (const struct iv_fleet_worker *worker, const struct iv_task_name *name)
{
  for (guint i = 0; i < worker->runs->len; i++)
    {
      const struct iv_run *run = g_ptr_array_index (worker->runs, i);
      if (is_unproven (run) && has_started (run) && is_of_suspect (run, name))
        return TRUE;
    }
  return FALSE;
}

static void
accuse_unproven (struct iv_owner *owner, struct iv_fleet_worker *worker, const char *evidence)
{
  for (guint i = 0; i < worker->runs->len; i++)
    {
      struct iv_run *run = g_ptr_array_index (worker->runs, i);
      gboolean seen = has_started_unproven (worker, &run->name);
      gboolean alone = count_other_unproven (worker, &run->name) == 0;
      if (is_unproven (run) && !run->accused)
        accuse (owner, run, seen, alone && seen, evidence);
    }
}

/* Whether a run of a task that @a task carries the counts for is known to this owner. */
static gboolean
is_run_known (const struct iv_stage *stage, const struct iv_job_task *task)
{
  guint members = stage->step->flags & IVJ_GANG ? stage->step->count : 1;
  for (guint i = 0; i < members; i++)
    if (task[i].state != IV_JOB_TASK_WAITING || task[i].run > 0)
      return TRUE;
  return FALSE;
}

static void
count_unseen (struct iv_owner *owner, struct iv_job_exec *exec, const struct iv_task_name *name)
{
  struct iv_stage *stage;
  struct iv_job_task *task = iv_job_exec_task (exec, name, &stage);
  if (task == NULL)
    return;
  task = iv_stage_suspect (stage, task);
  if (!task->start_announced || is_run_known (stage, task))
    return;
  task->start_announced = FALSE;
  task->crashes++;
  record_crash (owner, exec);
  iv_event (IV_LEVEL_INFO, "task.suspected",
            "task=%s.%u.%u.%u evidence=inherited crashes=%u seen=%u alone=%u", name->job,
            name->occurrence, name->step, name->index, task->crashes, task->crashes_seen,
            task->crashes_alone);
  judge (owner, exec, task, name, FALSE);
}

static void
count_unseen_of_job (struct iv_owner *owner, struct iv_job_exec *exec)
{
  struct iv_task_name name = { 0 };
  g_strlcpy (name.job, exec->job->id, sizeof name.job);
  for (guint i = 0; i < exec->job->crashes.tasks.tasks_len; i++)
    {
      const ivj_crash *crash = &exec->job->crashes.tasks.tasks_val[i];
      name.occurrence = crash->occurrence;
      name.step = crash->step;
      name.index = crash->index;
      count_unseen (owner, exec, &name);
    }
}

void
iv_crash_previous_runs_known (struct iv_owner *owner)
{
  for (guint i = 0; i < owner->execs->len; i++)
    {
      struct iv_job_exec *exec = g_ptr_array_index (owner->execs, i);
      if (exec->inherited && exec->has_crashes)
        count_unseen_of_job (owner, exec);
    }
}

void
iv_crash_record_returned (struct iv_owner *owner, struct iv_job_exec *exec)
{
  if (!exec->crashes_returned)
    return;
  exec->crashes_returned = FALSE;
  record_crash (owner, exec);
}

void
iv_crash_give_up (struct iv_owner *owner, gint64 now_ms)
{
  if (!owner->hopeless)
    return;
  owner->hopeless = FALSE;
  for (guint i = owner->execs->len; i-- > 0;)
    {
      struct iv_job_exec *exec = g_ptr_array_index (owner->execs, i);
      if (exec->hopeless)
        iv_owner_end_job (owner, exec, IVJ_FAILED, now_ms);
    }
}

gboolean
iv_crash_may_start (const struct iv_owner *owner, const struct iv_job_exec *exec,
                    const struct iv_job_task *task)
{
  return task->crashes == 0
         || (!exec->hopeless && exec->guest_cell < 0 && task->crashes_recorded
             && owner->stored_batch >= exec->crash_batch);
}

gboolean
iv_crash_announce_start (struct iv_owner *owner, struct iv_job_exec *exec, struct iv_job_task *task)
{
  if (task->crashes == 0 || task->start_announced)
    return TRUE;
  task->start_announced = TRUE;
  record_crash (owner, exec);
  return FALSE;
}

void
iv_crash_run_started (struct iv_run *run, const struct iv_job_task *task)
{
  run->suspect = task->crashes > 0;
  run->worker->suspects += run->suspect ? 1 : 0;
}

static gboolean
has_other_suspect (const struct iv_fleet_worker *worker, const struct iv_task_name *name)
{
  for (guint i = 0; worker->suspects > 0 && i < worker->runs->len; i++)
    {
      const struct iv_run *run = g_ptr_array_index (worker->runs, i);
      if (run->suspect && !is_of_suspect (run, name))
        return TRUE;
    }
  return FALSE;
}

gboolean
iv_crash_admits (const struct iv_fleet_worker *worker, const struct iv_placement_query *query,
                 const struct iv_job_task *task)
{
  struct iv_task_name name = { .occurrence = query->occurrence,
                               .step = query->stage->number,
                               .index = (guint)(task - query->stage->tasks) };
  if (worker->suspects == 0 && iv_stage_suspect (query->stage, task)->crashes == 0)
    return TRUE;
  g_strlcpy (name.job, query->job->id, sizeof name.job);
  if (has_other_suspect (worker, &name))
    return FALSE;
  return iv_stage_suspect (query->stage, task)->crashes == 0 || query->accepts_unproven
         || count_other_unproven (worker, &name) == 0;
}

gint64
iv_crash_score (const struct iv_fleet_worker *worker)
{
  gint64 points = -2 * worker->used.cpu_milli;
  for (guint i = 0; i < worker->runs->len; i++)
    {
      const struct iv_run *run = g_ptr_array_index (worker->runs, i);
      if (run->step && run->step->flags & (IVJ_LONG_RUNNING | IVJ_GANG))
        points += SCORE_LOSES_LONG_WORK;
    }
  return points;
}

struct iv_fleet_worker *
iv_crash_better_busy (struct iv_fleet_worker *busy, struct iv_fleet_worker *worker,
                      const struct iv_job_task *task, gint64 now_ms)
{
  if (task->crashes == 0 || worker->suspects > 0)
    return busy;
  if (busy && busy->reserved_for == task && iv_reserve_is_held (busy, now_ms))
    return busy;
  if (iv_reserve_is_held (worker, now_ms))
    return worker->reserved_for == task ? worker : busy;
  return busy == NULL || iv_crash_score (worker) > iv_crash_score (busy) ? worker : busy;
}

void
iv_crash_reserve (struct iv_fleet *fleet, struct iv_fleet_worker *worker,
                  const struct iv_job_task *task, gint64 now_ms)
{
  if (!iv_reserve_is_held (worker, now_ms))
    iv_reserve_hold (fleet, worker, task, now_ms, now_ms + RESERVE_MS);
}

void
iv_crash_worker_ended (struct iv_owner *owner, struct iv_fleet_worker *worker, const char *evidence)
{
  const char *cause = outer_cause (owner, worker);
  if (worker->runs->len > 0)
    iv_event (IV_LEVEL_WARNING, "worker.ended",
              "worker=%s evidence=%s runs=%u unproven=%u cause=%s last_reply_ms=%" G_GINT64_FORMAT,
              worker->id, evidence, worker->runs->len, count_unproven (worker),
              cause ? cause : "unknown", worker->alive_ms);
  for (guint i = 0; i < worker->runs->len; i++)
    log_lost_run (g_ptr_array_index (worker->runs, i), evidence);
  if (cause == NULL)
    accuse_unproven (owner, worker, evidence);
  worker->ended_alive_ms = worker->alive_ms;
  worker->left_in_order = FALSE;
}

void
iv_crash_run_lapsed (struct iv_owner *owner, struct iv_run *run)
{
  struct iv_fleet_worker *worker = run->worker;
  worker->lapsed_unproven |= !run->proven;
  log_lost_run (run, worker->listed ? "silent" : "silent_unlisted");
  if (!worker->listed && !run->proven && !run->accused && outer_cause (owner, worker) == NULL)
    accuse (owner, run, FALSE, FALSE, "silent_unlisted");
}
