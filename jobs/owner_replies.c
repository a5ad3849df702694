#include "owner_private.h"

#include "advice.h"
#include "crash.h"
#include "event.h"
#include "sharing.h"

#include <string.h>

/* Delay of the next poll after a reply with ends, so that one poll covers ends close together. */
#define POLL_DELAY_MS 200
#define POLL_DELAY_BATCH_MS 40 /* the same for batch tasks, whose cores other tasks wait for */
#define POLL_RETRY_MS 250
#define POLL_RETRY_MAX 4   /* times POLL_RETRY_MS: polls of a silent worker are billed */
#define LIST_ENDS_MAX 500  /* ends in one reply: limit of the platform's task interface */
#define BAD_RUNS_MAX 3     /* consecutive failed runs after which a worker is quarantined */
#define QUARANTINE_MS 6000 /* a quarantined worker gets no tasks for this long */
#define QUARANTINE_REFUSED_MS (QUARANTINE_MS / 6) /* after a start was refused */
#define QUARANTINE_NO_CAPACITY_MS 500 /* the same for lack of capacity: the start is billed */
#define STALL_MS 1500                 /* a run without progress for this long is stalled */
#define STALL_MIN_LIMIT_PERCENT 50    /* a run with a lower CPU limit is expected to be slow */
#define STALL_ESTIMATE_DIVISOR 20     /* of the estimated run time, added to STALL_MS */
#define ATTEMPTS_FALLBACK 3           /* for a queue that is not configured any more */

static const char *const end_names[] = { "done", "failed", "stopped", "lapsed", "broken", "alone" };
static const char *const outcome_names[]
    = { "ordered",   "fenced",  "old",          "late",     "no_room",
        "no_ticket", "refused", "another_life", "no_answer" };

static void
note_reply (struct iv_fleet_worker *worker, gint64 clock, gint64 now_ms)
{
  worker->failures = 0;
  if (clock < worker->sample_clock_ms)
    return;
  worker->sample_clock_ms = clock;
  worker->clock_sampled_at_ms = now_ms;
  worker->alive_ms = now_ms;
  if (worker->instance_alive_since_ms == 0)
    worker->instance_alive_since_ms = now_ms;
}

static void
depose (struct iv_owner *owner, const struct iv_fleet_worker *worker)
{
  if (!owner->deposed)
    iv_event (IV_LEVEL_WARNING, "owner.deposed", "term=%" G_GINT64_FORMAT " worker=%s", owner->term,
              worker->id);
  owner->deposed = TRUE;
}

static void
invalidate_ticket (struct iv_owner *owner, const struct iv_fleet_worker *worker,
                   const struct iv_task_name *name)
{
  struct iv_job_exec *exec = iv_owner_find_exec (owner, name);
  struct iv_stage *stage = NULL;
  if (exec && iv_job_exec_task (exec, name, &stage))
    iv_advice_invalidate (stage->advice, worker);
}

/* Whether the authority of the last tick has run out. What replies would cause waits for a tick. */
static gboolean
authority_expired (const struct iv_owner *owner, gint64 now_ms)
{
  return now_ms > owner->valid_until_ms;
}

/* Callers are told that a job runs once a worker has said so: a start that was sent may never
   arrive. */
static void
note_running (struct iv_owner *owner, const struct iv_task_name *name)
{
  struct iv_job_exec *exec = iv_owner_find_exec (owner, name);
  if (exec == NULL)
    return;
  iv_job_exec_running (exec);
  iv_owner_queue_record (owner, exec);
}

void
iv_owner_start_replied (struct iv_owner *owner, guint32 handle, const struct iv_task_name *name,
                        gint64 number, enum iv_command_outcome outcome, gint64 clock, gint64 now_ms)
{
  struct iv_fleet_worker *worker = iv_fleet_worker (owner->fleet, handle);
  struct iv_run *run = worker ? iv_run_find (worker, name, number) : NULL;
  gboolean other_instance;
  const ivj_step *step;
  if (run == NULL || authority_expired (owner, now_ms))
    return;
  other_instance = iv_owner_is_other_instance (worker, run->sent_ms, clock);
  if (clock > 0 && !other_instance)
    note_reply (worker, clock, now_ms);
  if (outcome == IV_COMMAND_FENCED)
    depose (owner, worker);
  if (run->phase != IV_RUN_PHASE_STARTING)
    return;
  if (outcome == IV_COMMAND_OK && other_instance)
    {
      /* Until that instance replies to a poll, its lease may be as long as any. */
      iv_owner_doubt_run (run);
      worker->lease_end_clock_ms
          = MAX (worker->lease_end_clock_ms,
                 iv_worker_clock (worker, now_ms) + owner->limits.lease_max_ms);
      worker->next_poll_ms = now_ms;
      return;
    }
  if (outcome == IV_COMMAND_OK)
    {
      run->phase = IV_RUN_PHASE_RUNNING;
      run->acked_clock_ms = clock;
      note_running (owner, name);
      return;
    }
  iv_event (IV_LEVEL_INFO, "run.refused",
            "task=%s.%u.%u.%u run=%" G_GINT64_FORMAT " worker=%s outcome=%s term=%" G_GINT64_FORMAT
            " life=%" G_GINT64_FORMAT " sent_ago_ms=%" G_GINT64_FORMAT,
            name->job, name->occurrence, name->step, name->index, number, worker->id,
            outcome_names[outcome], owner->term, worker->start_time_ms, now_ms - run->sent_ms);
  if (outcome == IV_COMMAND_UNKNOWN || outcome == IV_COMMAND_STALE)
    {
      /* After the stop, the worker refuses the start if it arrives later. */
      worker->failures += outcome == IV_COMMAND_UNKNOWN;
      iv_owner_note_lost_start (run, now_ms);
      run->phase = IV_RUN_PHASE_UNCONFIRMED;
      iv_owner_stop_run (owner, run, now_ms);
      return;
    }
  if (outcome == IV_COMMAND_NO_TICKET)
    invalidate_ticket (owner, worker, name);
  else /* The worker is unhealthy or has runs that are not known here; the next poll shows which. */
    worker->quarantined_until_ms
        = now_ms
          + (outcome == IV_COMMAND_NO_CAPACITY ? QUARANTINE_NO_CAPACITY_MS : QUARANTINE_REFUSED_MS);
  step = run->step;
  iv_run_remove (run);
  if (outcome == IV_COMMAND_NO_CAPACITY)
    iv_worker_refused (worker, step);
  iv_owner_requeue_task (owner, name, number, NULL);
}

void
iv_owner_stop_replied (struct iv_owner *owner, guint32 handle, const struct iv_task_name *name,
                       gint64 number, enum iv_command_outcome outcome, gint64 clock, gint64 now_ms)
{
  struct iv_fleet_worker *worker = iv_fleet_worker (owner->fleet, handle);
  struct iv_run *run = worker ? iv_run_find (worker, name, number) : NULL;
  if (outcome == IV_COMMAND_FENCED && worker)
    depose (owner, worker);
  if (run == NULL || run->phase != IV_RUN_PHASE_STOPPING || outcome != IV_COMMAND_OK
      || authority_expired (owner, now_ms)
      || iv_owner_is_other_instance (worker, run->stop_sent_ms, clock))
    return;
  note_reply (worker, clock, now_ms);
  run->acked_clock_ms = clock;
  worker->next_poll_ms = MIN (worker->next_poll_ms, now_ms);
}

static void
note_failure (struct iv_owner *owner, struct iv_fleet_worker *worker, gint64 now_ms)
{
  worker->consecutive_failed_runs++;
  if (worker->consecutive_failed_runs < BAD_RUNS_MAX)
    return;
  worker->consecutive_failed_runs = BAD_RUNS_MAX - 1;
  worker->quarantined_until_ms = now_ms + QUARANTINE_MS;
  iv_event (IV_LEVEL_WARNING, "worker.aside", "worker=%s reason=failing for_ms=%d", worker->id,
            QUARANTINE_MS);
}

guint
iv_owner_attempt_limit (struct iv_owner *owner, const struct iv_job_entry *job)
{
  struct iv_queue_policy policy;
  if (!owner->effects.queue (owner->effects.context, job->spec.host, job->spec.prefix, &policy))
    return ATTEMPTS_FALLBACK;
  return policy.attempts;
}

/* Marks the runs of the stages that depend on the step of @a name as known: the stages were not
   ready before its run under this owner ended, so no previous owner can have started them. */
static void
mark_dependents_known (struct iv_job_exec *exec, const struct iv_task_name *name)
{
  struct iv_occurrence *occurrence = iv_job_exec_occurrence (exec, name->occurrence);
  for (guint i = name->step + 1; occurrence && i < exec->job->spec.steps.steps_len; i++)
    {
      struct iv_stage *stage = &occurrence->stages[i];
      for (guint j = 0; j < stage->step->depends.depends_len; j++)
        if (stage->step->depends.depends_val[j] == name->step)
          stage->runs_known = TRUE;
    }
}

/* Whether the previous owner cannot have been told of the end of run @a number of @a task, so that
   it starts nothing because of it. */
static gboolean
is_told_here_only (const struct iv_owner *owner, const struct iv_job_task *task, gint64 number)
{
  return owner->previous_runs_known || number > owner->run_base || task->runs_known;
}

/* A task that ran away from its data, or whose step ran in several racks, took longer than others
   of its kind will. */
static gboolean
ran_near (const struct iv_stage *stage, const struct iv_run *run)
{
  const ivj_step *step = stage->step;
  return !(step->flags & IVJ_RACK_LOCAL && stage->spread)
         && (*step->data_rack == '\0' || strcmp (step->data_rack, run->worker->rack) == 0);
}

static void
learn_length (struct iv_owner *owner, const struct iv_stage *stage, struct iv_run *run,
              gint64 now_ms)
{
  gint64 duration_ms = iv_run_time_clean_ms (run, now_ms);
  if (owner->lengths && duration_ms >= 0 && ran_near (stage, run))
    iv_task_lengths_add (owner->lengths, stage->length_key, duration_ms, now_ms);
}

/* What @a run, of @a task, tells when it is the last one of its stage. */
static struct iv_stage_end
measure_end (struct iv_owner *owner, const struct iv_job_exec *exec, const struct iv_stage *stage,
             const struct iv_job_task *task, struct iv_run *run, gint64 now_ms)
{
  struct iv_stage_end end = { .ready_ms = stage->ready_ms,
                              .first_sent_ms = task->first_sent_ms,
                              .expected_ms = iv_job_exec_expected_ms (exec, stage),
                              .count = stage->step->count };
  iv_stage_end_set_run (&end, run, now_ms);
  learn_length (owner, stage, run, now_ms);
  return end;
}

/* Whether the stage ends with the next task that does: a gang ends with its first member. */
static gboolean
is_last (const struct iv_stage *stage)
{
  return stage->step->flags & IVJ_GANG || stage->done + 1 == stage->step->count;
}

static void
handle_done (struct iv_owner *owner, struct iv_job_exec *exec, const struct iv_task_name *name,
             gboolean told_here_only, gint64 now_ms)
{
  struct iv_stage *stage = NULL;
  struct iv_job_task *task = iv_job_exec_task (exec, name, &stage);
  struct iv_task_name member = *name;
  if (task == NULL)
    return;
  if (told_here_only)
    mark_dependents_known (exec, name);
  iv_owner_clear_placement (exec, stage, task);
  if (stage->step->flags & IVJ_GANG)
    for (member.index = 0; member.index + 1 < stage->step->count; member.index++)
      {
        iv_owner_clear_placement (exec, stage, &stage->tasks[member.index]);
        iv_job_exec_task_done (exec, &member);
      }
  else
    member.index = name->index;
  if (stage->step->flags & IVJ_GANG)
    {
      member.index = stage->step->count - 1;
      iv_owner_clear_placement (exec, stage, &stage->tasks[member.index]);
    }
  iv_job_exec_task_done (exec, &member);
  iv_owner_queue_record (owner, exec);
  if (iv_job_exec_complete (exec))
    iv_owner_end_job (owner, exec, IVJ_COMPLETED, now_ms);
}

static void
handle_failed (struct iv_owner *owner, struct iv_job_exec *exec, const struct iv_listed_end *end,
               guint32 handle, gint64 now_ms)
{
  struct iv_job_task *task = iv_job_exec_task (exec, &end->name, NULL);
  if (task)
    task->avoid_worker = handle;
  if (iv_job_exec_task_failed (exec, &end->name, end->number,
                               iv_owner_attempt_limit (owner, exec->job)))
    iv_owner_end_job (owner, exec, IVJ_FAILED, now_ms);
  else
    iv_owner_queue_record (owner, exec);
}

static gboolean
is_long_running (const struct iv_job_exec *exec, const struct iv_task_name *name)
{
  return name->step < exec->job->spec.steps.steps_len
         && (exec->job->spec.steps.steps_val[name->step].flags & IVJ_LONG_RUNNING);
}

/* Execution state of the job of a task that a worker has listed. */
static struct iv_job_exec *
find_listed_exec (struct iv_owner *owner, const struct iv_task_name *name)
{
  struct iv_job_exec *exec = iv_owner_find_exec (owner, name);
  if (exec)
    iv_job_exec_open_listed (exec, name->occurrence);
  return exec;
}

static void
handle_end (struct iv_owner *owner, struct iv_fleet_worker *worker, const struct iv_listed_end *end,
            gint64 now_ms)
{
  struct iv_run *run = iv_run_find (worker, &end->name, end->number);
  gboolean was_known = run != NULL;
  struct iv_job_exec *exec = find_listed_exec (owner, &end->name);
  struct iv_stage *stage = NULL;
  struct iv_job_task *task = exec ? iv_job_exec_task (exec, &end->name, &stage) : NULL;
  struct iv_stage_end stage_end;
  if (end->reason != IV_END_DONE)
    iv_event (IV_LEVEL_INFO, "run.ended",
              "task=%s.%u.%u.%u run=%" G_GINT64_FORMAT " worker=%s how=%s", end->name.job,
              end->name.occurrence, end->name.step, end->name.index, end->number, worker->id,
              end_names[end->reason]);
  if (run && task && end->reason == IV_END_DONE && task->state != IV_JOB_TASK_DONE)
    {
      stage_end = measure_end (owner, exec, stage, task, run, now_ms);
      if (is_last (stage) && !is_long_running (exec, &end->name))
        iv_stage_end_log (&stage_end, &owner->stage_end_lines);
    }
  if (run)
    iv_run_remove (run);
  owner->needs_dispatch = TRUE;
  note_running (owner, &end->name);
  if (end->reason == IV_END_DONE)
    worker->consecutive_failed_runs = 0;
  else if (end->reason == IV_END_FAILED && was_known)
    note_failure (owner, worker, now_ms);
  if (task == NULL || task->state == IV_JOB_TASK_DONE)
    return;
  if (end->reason == IV_END_DONE && !is_long_running (exec, &end->name))
    {
      handle_done (owner, exec, &end->name,
                   was_known && is_told_here_only (owner, task, end->number), now_ms);
      return;
    }
  task->run = MAX (task->run, end->number);
  if (end->reason == IV_END_FAILED)
    iv_crash_clear (owner, exec, &end->name);
  if (was_known)
    iv_owner_requeue_task (owner, &end->name, end->number, end->checkpoint);
  if (end->reason == IV_END_FAILED)
    handle_failed (owner, exec, end, worker->handle, now_ms);
}

/* Keeps or stops a listed run that is not known to this owner. Its task does not start elsewhere
   before its end. */
static void
adopt (struct iv_owner *owner, struct iv_fleet_worker *worker, const struct iv_listed_run *listed,
       gint64 now_ms)
{
  struct iv_job_exec *exec = find_listed_exec (owner, &listed->name);
  struct iv_stage *stage = NULL;
  struct iv_job_task *task = exec ? iv_job_exec_task (exec, &listed->name, &stage) : NULL;
  struct iv_run *run
      = iv_run_add (worker, &listed->name, stage ? stage->step : NULL, listed->number, now_ms);
  const struct iv_job_task *suspect;
  run->phase = IV_RUN_PHASE_RUNNING;
  run->workload = iv_sharing_workload (owner, run->step);
  run->length_key = stage ? stage->length_key : 0;
  if (task && task->first_sent_ms == 0)
    task->first_sent_ms = now_ms;
  if (task && stage && task->state == IV_JOB_TASK_WAITING)
    iv_owner_place_task (exec, stage, task, listed->number);
  if (task == NULL || task->placed_run != listed->number || listed->number < task->run)
    {
      iv_event (IV_LEVEL_INFO, "run.unwanted",
                "task=%s.%u.%u.%u run=%" G_GINT64_FORMAT " worker=%s", listed->name.job,
                listed->name.occurrence, listed->name.step, listed->name.index, listed->number,
                worker->id);
      iv_owner_stop_run (owner, run, now_ms);
      return;
    }
  task->run = listed->number;
  suspect = iv_stage_suspect (stage, task);
  iv_crash_run_started (run, suspect);
  /* When a previous owner started it is not known, only that the worker has survived it so far. */
  run->proven = suspect->crashes == 0 && listed->number <= owner->run_base;
}

/* Whether polls that @a worker held when it first replied to this owner have been answered by the
   time @a clock. */
static gboolean
has_answered_previous_polls (const struct iv_fleet_worker *worker, gint64 clock)
{
  return clock > worker->fenced_clock_ms + IV_POLL_WAIT_MS + IV_MIN_START_WINDOW_MS;
}

static void
note_progress (struct iv_owner *owner, struct iv_run *run, const struct iv_listed_run *listed,
               const struct iv_poll_reply *reply, gint64 now_ms)
{
  gboolean instance_known = reply->start_time_ms == run->worker->start_time_ms;
  struct iv_job_exec *exec = iv_owner_find_exec (owner, &run->name);
  struct iv_job_task *task = exec ? iv_job_exec_task (exec, &run->name, NULL) : NULL;
  if (instance_known && !run->listed)
    iv_owner_forget_lost_start (run);
  run->listed |= instance_known;
  note_running (owner, &listed->name);
  run->reported_load = listed->reported_load;
  if (listed->percent != run->percent)
    {
      run->percent = listed->percent;
      run->progress_changed_ms = now_ms;
    }
  if (run->phase == IV_RUN_PHASE_STARTING || run->phase == IV_RUN_PHASE_UNCONFIRMED)
    run->phase = IV_RUN_PHASE_RUNNING;
  if (task && task->placed_run == run->number)
    task->runs_known |= has_answered_previous_polls (run->worker, reply->clock);
  if (task && task->run == run->number && listed->checkpoint && *listed->checkpoint
      && g_strcmp0 (task->checkpoint, listed->checkpoint) != 0)
    {
      g_free (task->checkpoint);
      task->checkpoint = g_strdup (listed->checkpoint);
    }
}

static gboolean
is_listed (const struct iv_poll_reply *reply, const struct iv_run *run)
{
  for (guint i = 0; i < reply->runs->len; i++)
    {
      const struct iv_listed_run *listed = &g_array_index (reply->runs, struct iv_listed_run, i);
      if (listed->number == run->number && listed->name.index == run->name.index
          && listed->name.step == run->name.step && listed->name.occurrence == run->name.occurrence
          && strcmp (listed->name.job, run->name.job) == 0)
        return TRUE;
    }
  return FALSE;
}

/* Whether a list without @a run, made at @a clock, proves that the run neither exists nor can still
   start. */
static gboolean
is_proven_absent (const struct iv_run *run, gint64 clock)
{
  if (run->phase == IV_RUN_PHASE_STARTING || run->phase == IV_RUN_PHASE_UNCONFIRMED)
    return clock > run->start_deadline_clock_ms;
  if (run->phase == IV_RUN_PHASE_STOPPING && run->acked_clock_ms == G_MAXINT64)
    return run->start_deadline_clock_ms > 0 && clock > run->start_deadline_clock_ms;
  return clock > run->acked_clock_ms;
}

/* Logs how much newer the list is than the last time at which @a run could start. */
static void
log_absent (const struct iv_owner *owner, const struct iv_run *run, gint64 clock)
{
  gboolean stop_answered = run->phase == IV_RUN_PHASE_STOPPING && run->acked_clock_ms != G_MAXINT64;
  gboolean replied = stop_answered || run->phase == IV_RUN_PHASE_RUNNING;
  iv_owner_log_evidence (owner, IV_LEVEL_INFO, "run.absent", run,
                         stop_answered ? "stop_answered" : "listed_absent",
                         clock - (replied ? run->acked_clock_ms : run->start_deadline_clock_ms));
}

static void
drop_absent (struct iv_owner *owner, struct iv_fleet_worker *worker,
             const struct iv_poll_reply *reply, gint64 now_ms)
{
  if (reply->ends->len >= LIST_ENDS_MAX)
    return;
  for (guint i = worker->runs->len; i-- > 0;)
    {
      struct iv_run *run = g_ptr_array_index (worker->runs, i);
      struct iv_task_name name = run->name;
      gint64 number = run->number;
      if (is_listed (reply, run))
        continue;
      if (iv_owner_is_doubted (run))
        iv_owner_stop_run (owner, run, now_ms);
      if (reply->partial || !is_proven_absent (run, reply->clock))
        continue;
      log_absent (owner, run, reply->clock);
      iv_run_remove (run);
      iv_owner_requeue_task (owner, &name, number, NULL);
    }
}

static void
stop_stalled (struct iv_owner *owner, struct iv_fleet_worker *worker, gint64 now_ms)
{
  for (guint i = 0; i < worker->runs->len; i++)
    {
      struct iv_run *run = g_ptr_array_index (worker->runs, i);
      if (run->phase == IV_RUN_PHASE_STOPPING)
        {
          iv_owner_stop_run (owner, run, now_ms);
          continue;
        }
      if (run->phase != IV_RUN_PHASE_RUNNING || run->step == NULL
          || run->cpu_limit_percent < STALL_MIN_LIMIT_PERCENT
          || (run->step->flags & (IVJ_LONG_RUNNING | IVJ_GANG)) || run->percent >= 100)
        continue;
      if (now_ms - run->progress_changed_ms
          < STALL_MS + (gint64)run->step->estimate_ms / STALL_ESTIMATE_DIVISOR)
        continue;
      worker->quarantined_until_ms = now_ms + QUARANTINE_MS;
      iv_event (IV_LEVEL_WARNING, "run.stalled",
                "task=%s.%u.%u.%u run=%" G_GINT64_FORMAT " worker=%s percent=%u", run->name.job,
                run->name.occurrence, run->name.step, run->name.index, run->number, worker->id,
                run->percent);
      iv_owner_stop_run (owner, run, now_ms);
    }
}

static void
note_partial_list (struct iv_fleet_worker *worker, gboolean partial)
{
  if (partial && !worker->list_partial)
    iv_event (IV_LEVEL_WARNING, "worker.list_partial", "worker=%s runs=%u", worker->id,
              worker->runs->len);
  worker->list_partial = partial;
}

static void
apply_poll_reply (struct iv_owner *owner, struct iv_fleet_worker *worker,
                  const struct iv_poll_reply *reply, gint64 now_ms)
{
  for (guint i = 0; i < reply->ends->len; i++)
    {
      const struct iv_listed_end *end = &g_array_index (reply->ends, struct iv_listed_end, i);
      if (end->sequence <= worker->processed_end)
        continue;
      worker->processed_end = end->sequence;
      iv_owner_note_end (worker, end);
      handle_end (owner, worker, end, now_ms);
    }
  for (guint i = 0; i < reply->runs->len; i++)
    {
      const struct iv_listed_run *listed = &g_array_index (reply->runs, struct iv_listed_run, i);
      struct iv_run *run = iv_run_find (worker, &listed->name, listed->number);
      if (run == NULL)
        {
          adopt (owner, worker, listed, now_ms);
          run = iv_run_find (worker, &listed->name, listed->number);
        }
      note_progress (owner, run, listed, reply, now_ms);
    }
  note_partial_list (worker, reply->partial);
  drop_absent (owner, worker, reply, now_ms);
  iv_crash_worker_replied (owner, worker);
  stop_stalled (owner, worker, now_ms);
  iv_sharing_update (owner, worker, now_ms);
}

/* From the first reply on the worker refuses the calls of previous owners, which may have extended
   leases until just now, and calls meant for the instance before. These may have given it the
   longest lease, as they name times on another clock. */
static void
note_first_reply (struct iv_owner *owner, struct iv_fleet_worker *worker, gint64 clock,
                  gint64 now_ms)
{
  worker->fenced = TRUE;
  worker->fenced_ms = now_ms;
  worker->fenced_clock_ms = clock;
  iv_owner_bound_stray_lease (owner, worker, clock);
  worker->lease_end_clock_ms = MAX (worker->lease_end_clock_ms, clock + owner->limits.lease_ms);
  worker->lease_end_clock_ms = MAX (worker->lease_end_clock_ms, worker->stray_lease_end_clock_ms);
  owner->needs_dispatch = TRUE;
}

void
iv_owner_poll_replied (struct iv_owner *owner, guint32 handle, enum iv_command_outcome outcome,
                       const struct iv_poll_reply *reply, gint64 now_ms)
{
  struct iv_fleet_worker *worker = iv_fleet_worker (owner->fleet, handle);
  if (worker == NULL && !authority_expired (owner, now_ms))
    worker = iv_owner_claim_replied (owner, handle, outcome, reply, now_ms);
  if (worker == NULL)
    return;
  worker->polling = FALSE;
  if (authority_expired (owner, now_ms))
    return;
  if (outcome == IV_COMMAND_FENCED)
    depose (owner, worker);
  worker->replaced |= outcome == IV_COMMAND_WRONG_INSTANCE;
  /* The address of an instance that has never answered is known from an entry only. */
  if (outcome == IV_COMMAND_WRONG_INSTANCE && worker->instance_alive_since_ms > 0)
    {
      iv_crash_worker_ended (owner, worker, "another_answers");
      iv_owner_drop_runs (owner, worker, "another_answers");
    }
  if (reply == NULL || outcome != IV_COMMAND_OK)
    {
      if (outcome == IV_COMMAND_OK && worker->failures == 0)
        iv_event (IV_LEVEL_WARNING, "worker.list_malformed", "worker=%s reason=%s", worker->id,
                  iv_quote (iv_last_message ()));
      worker->failures++;
      worker->next_poll_ms = now_ms + POLL_RETRY_MS * MIN (worker->failures, POLL_RETRY_MAX);
      return;
    }
  if (!iv_owner_instance_replied (owner, worker, reply->start_time_ms, reply->clock, now_ms))
    return;
  note_reply (worker, reply->clock, now_ms);
  if (worker->handle != handle)
    {
      /* The call told of a newer instance, and had the fence of the one before. Until the new
         instance has replied to a higher one, late calls may still change its lease and its ends.
       */
      worker->next_poll_ms = now_ms;
      return;
    }
  if (!worker->fenced)
    note_first_reply (owner, worker, reply->clock, now_ms);
  apply_poll_reply (owner, worker, reply, now_ms);
  worker->next_poll_ms = now_ms;
  if (reply->ends->len > 0)
    worker->next_poll_ms += worker->batch_tasks > 0 ? POLL_DELAY_BATCH_MS : POLL_DELAY_MS;
}
