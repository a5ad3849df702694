#include "owner_private.h"

#include "advice.h"
#include "crash.h"
#include "event.h"
#include "histogram.h"
#include "queue_order.h"
#include "rack.h"
#include "reserve.h"
#include "sharing.h"
#include "waits.h"

#include <string.h>

#define DISPATCH_INTERVAL_MS 250 /* tail latencies and waiting times change without an event */
#define DISPATCH_HELD_MS 25      /* the same while starts wait for earlier ones to be answered */
/* A job without a run for 3 s counts as lost; this leaves time to repeat a lost start. */
#define STARVED_AFTER_MS 500
/* Share of the workers that may be kept from batch tasks for tasks that are down. */
#define DOWN_RESERVED_MAX_PERCENT 25
#define TRIAL_RUN (-1) /* number of a run that is never started */
/* Long-running tasks that wait are logged after this long, and then at this interval. */
#define WAIT_LOG_INTERVAL_MS 1000

/* A job with its scheduling order. */
struct candidate
{
  struct iv_job_exec *exec;
  struct iv_queue_policy policy;
  struct iv_queue_item item;
  enum iv_queue_class class;
};

static gint
compare_candidates (gconstpointer a, gconstpointer b)
{
  const struct candidate *x = a;
  const struct candidate *y = b;
  return iv_queue_compare (&x->item, x->class, &y->item, y->class);
}

static void
set_order (struct candidate *candidate, gint64 now_ms)
{
  const struct iv_job_exec *exec = candidate->exec;
  candidate->item = (struct iv_queue_item){
    .long_running = iv_job_is_long_running (&exec->job->spec),
    .priority = candidate->policy.priority,
    .objective_ms = exec->objective_ms,
    .zero_utility_ms = exec->zero_utility_ms,
    .path_ms = exec->placed > 0 ? 0 : iv_job_exec_remaining_ms (exec),
    .work = iv_job_exec_remaining_work (exec),
  };
  candidate->class = iv_queue_classify (&candidate->item, now_ms);
}

/* A task whose runs are known may have failed before, under an owner that could not record it; once
   it has failed here, one more start may be one too many. */
gboolean
iv_dispatch_is_free (const struct iv_owner *owner, const struct iv_job_exec *exec,
                     const struct iv_stage *stage, const struct iv_job_task *task, gint64 now_ms)
{
  return task->state == IV_JOB_TASK_WAITING && now_ms >= task->not_before_ms
         && (owner->previous_runs_known || !exec->inherited || stage->runs_known
             || (task->runs_known && task->failures == 0));
}

static gboolean
may_start (const struct iv_owner *owner, const struct iv_job_exec *exec,
           const struct iv_stage *stage, const struct iv_job_task *task, gint64 now_ms)
{
  return iv_dispatch_is_free (owner, exec, stage, task, now_ms)
         && iv_crash_may_start (owner, exec, iv_stage_suspect (stage, task));
}

/* Tasks of a rack-local step take longer once it runs in several racks. */
static void
note_rack (struct iv_stage *stage, const struct iv_fleet_worker *worker)
{
  guint hash = MAX (1, g_str_hash (worker->rack));
  stage->spread |= stage->rack_hash > 0 && stage->rack_hash != hash;
  stage->rack_hash = hash;
}

static void
start_task (struct iv_owner *owner, const struct iv_placement_query *query,
            struct iv_job_exec *exec, struct iv_stage *stage, struct iv_job_task *task,
            const struct iv_task_name *name, struct iv_fleet_worker *worker, gint64 number)
{
  gint64 now_ms = query->now_ms;
  struct iv_run *run = iv_run_add (worker, name, stage->step, number, now_ms);
  struct iv_start_command command = {
    .name = *name, .number = number, .spec = exec->job->spec.spec, .checkpoint = task->checkpoint
  };
  command.ticket = iv_advice_ticket (stage->advice, worker, now_ms);
  command.deadline_clock_ms = iv_place_start_deadline (worker, query);
  run->phase = IV_RUN_PHASE_STARTING;
  iv_crash_run_started (run, iv_stage_suspect (stage, task));
  run->workload = iv_sharing_workload (owner, stage->step);
  run->length_key = stage->length_key;
  run->resumed = task->checkpoint != NULL;
  if (task->first_sent_ms == 0)
    task->first_sent_ms = now_ms;
  note_rack (stage, worker);
  iv_sharing_add_run (owner, run, now_ms);
  run->start_deadline_clock_ms = command.deadline_clock_ms;
  worker->lease_end_clock_ms = MAX (worker->lease_end_clock_ms, command.deadline_clock_ms);
  task->state = IV_JOB_TASK_PLACED;
  task->run = number;
  task->placed_run = number;
  exec->job->highest_run = MAX (exec->job->highest_run, number);
  iv_reserve_release (owner->fleet, task);
  stage->placed++;
  exec->placed++;
  owner->start_credit -= owner->start_credit > 0;
  if (!exec->started)
    {
      exec->started = TRUE;
      iv_histogram_add (iv_histogram_get ("ibisvane_first_start_ms",
                                          "From reading a job to the first start of a task."),
                        now_ms - exec->first_seen_ms);
      iv_event (IV_LEVEL_INFO, "job.begun", "job=%s queue=%s worker=%s waited_ms=%" G_GINT64_FORMAT,
                exec->job->id, exec->job->spec.prefix, worker->id, now_ms - exec->first_seen_ms);
    }
  iv_event (IV_LEVEL_INFO, "run.started",
            "task=%s.%u.%u.%u run=%" G_GINT64_FORMAT " worker=%s term=%" G_GINT64_FORMAT
            " life=%" G_GINT64_FORMAT " silent_ms=%" G_GINT64_FORMAT
            " lease_end_clock_ms=%" G_GINT64_FORMAT,
            name->job, name->occurrence, name->step, name->index, number, worker->id, owner->term,
            worker->start_time_ms, now_ms - worker->clock_sampled_at_ms,
            worker->lease_end_clock_ms);
  owner->effects.start (owner->effects.context, worker, &command);
}

static gint64
next_run_number (const struct iv_owner *owner, const struct iv_job_exec *exec, gint64 highest)
{
  return MAX (highest, MAX (owner->run_base, exec->run_floor)) + 1;
}

/* What is known of the workers for a stage while its tasks are dispatched: all tasks of a stage
   need the same. */
struct search
{
  gboolean full;                    /* no worker has capacity */
  enum iv_reserve_outcome reserved; /* of the last new reservation */
};

/* A worker for a task that may be kept waiting for one by smaller tasks: reserved when none has
   capacity. */
static struct iv_fleet_worker *
find_or_reserve (const struct iv_placement_query *query, const struct iv_job_task *task,
                 struct search *search)
{
  struct iv_fleet_worker *worker = iv_place_reserved (query, task);
  if (worker == NULL && !search->full)
    worker = iv_place_task (query, task);
  if (worker)
    return worker;
  search->full |= task->crashes == 0;
  if (search->reserved == IV_RESERVE_DONE)
    search->reserved = iv_place_reserve (query, task, DOWN_RESERVED_MAX_PERCENT);
  else if (iv_reserve_find (query->owner->fleet, task, query->now_ms))
    iv_place_reserve (query, task, DOWN_RESERVED_MAX_PERCENT);
  return NULL;
}

static void
dispatch_tasks (struct iv_owner *owner, const struct iv_placement_query *query,
                struct iv_job_exec *exec, struct iv_stage *stage, struct iv_task_name *name,
                gint64 now_ms)
{
  struct search search = { FALSE, IV_RESERVE_DONE };
  for (guint i = 0; i < stage->step->count; i++)
    {
      struct iv_job_task *task = &stage->tasks[i];
      struct iv_fleet_worker *worker;
      if (owner->start_credit == 0)
        return;
      if (!may_start (owner, exec, stage, task, now_ms))
        continue;
      worker
          = query->reserves ? find_or_reserve (query, task, &search) : iv_place_task (query, task);
      /* A task under suspicion may lack a worker that others can use. */
      if (worker == NULL && (task->crashes > 0 || query->reserves))
        continue;
      if (worker == NULL || (query->starved && exec->placed > 0))
        return;
      if (!iv_crash_announce_start (owner, exec, task))
        continue;
      name->index = i;
      start_task (owner, query, exec, stage, task, name, worker,
                  next_run_number (owner, exec, task->run));
    }
  /* Another rack may hold the tasks. */
  if (search.reserved == IV_RESERVE_IMPOSSIBLE && query->rack == NULL)
    exec->unholdable_ms = now_ms;
}

/* Finds a worker for each member. Trial runs take up the workers until every member has one, and
   are removed before a start is sent. */
static gboolean
place_gang (const struct iv_placement_query *query, const struct iv_stage *stage,
            struct iv_task_name *name, struct iv_fleet_worker **chosen)
{
  guint found;
  for (found = 0; found < stage->step->count; found++)
    {
      struct iv_job_task *member = &stage->tasks[found];
      chosen[found] = iv_place_task (query, member);
      if (chosen[found] == NULL)
        break;
      name->index = found;
      iv_crash_run_started (iv_run_add (chosen[found], name, stage->step, TRIAL_RUN, query->now_ms),
                            iv_stage_suspect (stage, member));
    }
  for (guint i = 0; i < found; i++)
    {
      name->index = i;
      iv_run_remove (iv_run_find (chosen[i], name, TRIAL_RUN));
    }
  return found == stage->step->count;
}

/* Finds workers for a gang under suspicion once their newest runs have proven harmless, and
   reserves all of them until then, or none: two gangs that held a part each would wait for each
   other. */
static void
reserve_for_gang (struct iv_owner *owner, const struct iv_placement_query *query,
                  const struct iv_stage *stage, struct iv_task_name *name,
                  struct iv_fleet_worker **chosen)
{
  struct iv_placement_query later = *query;
  later.accepts_unproven = TRUE;
  if (!place_gang (&later, stage, name, chosen))
    return;
  for (guint i = 0; i < stage->step->count; i++)
    iv_crash_reserve (owner->fleet, chosen[i], &stage->tasks[i], query->now_ms);
}

static void
start_gang (struct iv_owner *owner, const struct iv_placement_query *query,
            struct iv_job_exec *exec, struct iv_stage *stage, struct iv_task_name *name,
            struct iv_fleet_worker *const *chosen)
{
  const char *checkpoint = NULL;
  gint64 highest = 0;
  for (guint i = 0; i < stage->step->count; i++)
    {
      highest = MAX (highest, stage->tasks[i].run);
      if (stage->tasks[i].checkpoint)
        checkpoint = stage->tasks[i].checkpoint;
    }
  for (guint i = 0; i < stage->step->count; i++)
    {
      struct iv_job_task *task = &stage->tasks[i];
      name->index = i;
      if (g_strcmp0 (task->checkpoint, checkpoint) != 0)
        {
          char *copy = g_strdup (checkpoint);
          g_free (task->checkpoint);
          task->checkpoint = copy;
          checkpoint = copy;
        }
      start_task (owner, query, exec, stage, task, name, chosen[i],
                  next_run_number (owner, exec, highest));
    }
}

/* Starts all members or none, whatever credit is left, as they start together. */
static void
dispatch_gang (struct iv_owner *owner, const struct iv_placement_query *query,
               struct iv_job_exec *exec, struct iv_stage *stage, struct iv_task_name *name)
{
  struct iv_job_task *suspect = iv_stage_suspect (stage, stage->tasks);
  struct iv_fleet_worker **chosen;
  if (owner->start_credit == 0)
    return;
  for (guint i = 0; i < stage->step->count; i++)
    if (!may_start (owner, exec, stage, &stage->tasks[i], query->now_ms))
      return;
  chosen = g_new0 (struct iv_fleet_worker *, stage->step->count);
  if (!place_gang (query, stage, name, chosen))
    {
      if (suspect->crashes > 0)
        reserve_for_gang (owner, query, stage, name, chosen);
    }
  else if (iv_crash_announce_start (owner, exec, suspect))
    start_gang (owner, query, exec, stage, name, chosen);
  g_free (chosen);
}

/* Best-effort tasks need no cores, and gangs are placed as a whole. */
static gboolean
reserves_workers (const ivj_step *step)
{
  return (step->flags & IVJ_LONG_RUNNING) && !(step->flags & (IVJ_BEST_EFFORT | IVJ_GANG));
}

static void
note_waiting (struct iv_stage *stage, const struct iv_placement_query *query)
{
  gint64 now_ms = query->now_ms;
  if (iv_stage_waiting (stage) == 0)
    {
      stage->waiting_since_ms = 0;
      return;
    }
  if (stage->waiting_since_ms == 0)
    {
      stage->waiting_since_ms = now_ms;
      stage->next_wait_log_ms = now_ms + WAIT_LOG_INTERVAL_MS;
    }
  if (!(stage->step->flags & IVJ_LONG_RUNNING) || now_ms < stage->next_wait_log_ms)
    return;
  stage->next_wait_log_ms = now_ms + WAIT_LOG_INTERVAL_MS;
  iv_place_log_waiting (query, now_ms - stage->waiting_since_ms);
}

/* Sets @a choice to the choice of the rack. @a with_data: see iv_rack_choose(). */
static struct iv_placement_query
make_query (struct iv_owner *owner, const struct iv_job_exec *exec,
            const struct iv_queue_policy *policy, struct iv_stage *stage, guint occurrence,
            gint64 now_ms, gboolean with_data, struct iv_rack_choice *choice)
{
  struct iv_placement_query query
      = { .owner = owner,
          .job = exec->job,
          .exec = exec,
          .stage = stage,
          .occurrence = occurrence,
          .service = policy->service,
          .workload = iv_sharing_workload (owner, stage->step),
          .advised = policy->advised,
          .checks_capacity = policy->checks_capacity,
          .reserves = reserves_workers (stage->step),
          .starved = exec->placed == 0 && now_ms > exec->last_placed_ms + STARVED_AFTER_MS,
          .now_ms = now_ms };
  *choice = iv_rack_choose (&query, with_data);
  query.rack = choice->made.place;
  if (query.advised)
    iv_advice_send_query (owner, &query, stage);
  return query;
}

gboolean
iv_dispatch_query (struct iv_owner *owner, const struct iv_job_exec *exec, struct iv_stage *stage,
                   guint occurrence, gint64 now_ms, struct iv_placement_query *query)
{
  const ivj_job *spec = &exec->job->spec;
  struct iv_queue_policy policy;
  struct iv_rack_choice choice;
  if (!owner->effects.queue (owner->effects.context, spec->host, spec->prefix, &policy))
    return FALSE;
  *query = make_query (owner, exec, &policy, stage, occurrence, now_ms, FALSE, &choice);
  return TRUE;
}

static void
dispatch_stage (struct iv_owner *owner, const struct candidate *candidate,
                struct iv_occurrence *occurrence, struct iv_stage *stage, gint64 now_ms)
{
  struct iv_job_exec *exec = candidate->exec;
  struct iv_task_name name = { .occurrence = occurrence->number, .step = stage->number };
  struct iv_rack_choice choice;
  struct iv_placement_query query = make_query (owner, exec, &candidate->policy, stage,
                                                occurrence->number, now_ms, TRUE, &choice);
  g_strlcpy (name.job, exec->job->id, sizeof name.job);
  if (stage->ready_ms == 0)
    stage->ready_ms = now_ms;
  if (stage->step->flags & IVJ_GANG)
    dispatch_gang (owner, &query, exec, stage, &name);
  else
    dispatch_tasks (owner, &query, exec, stage, &name, now_ms);
  iv_rack_note (owner, &choice, stage, exec->job->id);
  note_waiting (stage, &query);
}

static void
dispatch_job (struct iv_owner *owner, const struct candidate *candidate, gint64 now_ms)
{
  struct iv_job_exec *exec = candidate->exec;
  for (guint i = 0; i < exec->open->len; i++)
    {
      struct iv_occurrence *occurrence = g_ptr_array_index (exec->open, i);
      for (guint j = 0; j < exec->job->spec.steps.steps_len; j++)
        {
          struct iv_stage *stage = &occurrence->stages[j];
          if (iv_stage_waiting (stage) == 0)
            {
              stage->waiting_since_ms = 0;
              iv_wait_clear (&stage->wait, now_ms);
            }
          else if (iv_stage_ready (occurrence, stage))
            dispatch_stage (owner, candidate, occurrence, stage, now_ms);
        }
    }
}

void
iv_owner_dispatch (struct iv_owner *owner, gint64 now_ms)
{
  GArray *candidates;
  if (!owner->needs_dispatch && now_ms < owner->next_dispatch_ms)
    return;
  owner->needs_dispatch = FALSE;
  owner->start_credit = owner->effects.start_credit (owner->effects.context);
  g_hash_table_remove_all (owner->rack_claims);
  candidates = g_array_new (FALSE, FALSE, sizeof (struct candidate));
  for (guint i = 0; i < owner->execs->len; i++)
    {
      struct candidate candidate = { .exec = g_ptr_array_index (owner->execs, i) };
      const ivj_job *spec = &candidate.exec->job->spec;
      if (candidate.exec->evacuate_to >= 0
          || !owner->effects.queue (owner->effects.context, spec->host, spec->prefix,
                                    &candidate.policy))
        continue;
      if (candidate.exec->placed > 0)
        candidate.exec->last_placed_ms = now_ms;
      set_order (&candidate, now_ms);
      g_array_append_val (candidates, candidate);
    }
  g_array_sort (candidates, compare_candidates);
  for (guint i = 0; i < candidates->len && owner->start_credit > 0; i++)
    dispatch_job (owner, &g_array_index (candidates, struct candidate, i), now_ms);
  g_array_free (candidates, TRUE);
  owner->next_dispatch_ms
      = now_ms + (owner->start_credit > 0 ? DISPATCH_INTERVAL_MS : DISPATCH_HELD_MS);
  /* Tasks that are down come before those that will be. */
  iv_owner_move_from_draining (owner, now_ms);
}
