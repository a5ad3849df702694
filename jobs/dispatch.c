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

#include <math.h>
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
  struct iv_workspace_account *account; /* of its workspace; NULL: it has none */
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
count_start (const struct iv_owner *owner, struct iv_workspace_account *account,
             const ivj_step *step)
{
  gboolean above = iv_owner_usage_level (owner, account) >= iv_owner_fair_level (owner);
  iv_workspace_account_count (account, above ? IV_WORKSPACE_STARTED_ABOVE : IV_WORKSPACE_STARTED,
                              1);
  iv_workspace_account_use (account, step, 1);
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
  if (query->account)
    count_start (owner, query->account, stage->step);
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

/* Number of tasks of @a stage from @a first on that may start. */
static guint
count_startable (const struct iv_owner *owner, const struct iv_job_exec *exec,
                 const struct iv_stage *stage, guint first, gint64 now_ms)
{
  guint count = 0;
  for (guint i = first; i < stage->step->count; i++)
    count += may_start (owner, exec, stage, &stage->tasks[i], now_ms);
  return count;
}

/* The limit of the workspace holds the tasks from @a first on. Those before lack a worker if they
   wait as @a lacking says; else all that wait are held. */
static void
hold_tasks (const struct iv_owner *owner, const struct iv_job_exec *exec,
            struct iv_workspace_account *account, struct iv_stage *stage, guint first,
            guint lacking, gint64 now_ms)
{
  guint startable = count_startable (owner, exec, stage, first, now_ms);
  iv_owner_hold_tasks (owner, account, stage, lacking > 0 ? startable : iv_stage_waiting (stage),
                       startable);
}

/* Whether the workspace has got ahead of others in this dispatch. */
static gboolean
is_turn_over (struct iv_owner *owner, const struct iv_placement_query *query)
{
  if (query->account == NULL || iv_owner_usage_level (owner, query->account) <= owner->turn_end)
    return FALSE;
  owner->turn_ended = TRUE;
  return TRUE;
}

static void
dispatch_tasks (struct iv_owner *owner, const struct iv_placement_query *query,
                struct iv_job_exec *exec, struct iv_stage *stage, struct iv_task_name *name,
                gint64 now_ms)
{
  struct search search = { FALSE, IV_RESERVE_DONE };
  guint lacking = 0; /* tasks that found no worker; the limit has to admit them too */
  for (guint i = 0; i < stage->step->count; i++)
    {
      struct iv_job_task *task = &stage->tasks[i];
      struct iv_fleet_worker *worker;
      if (!may_start (owner, exec, stage, task, now_ms))
        continue;
      if (query->account && !iv_workspace_account_admits (query->account, stage->step, lacking + 1))
        {
          hold_tasks (owner, exec, query->account, stage, i, lacking, now_ms);
          break;
        }
      if (owner->start_credit == 0 || is_turn_over (owner, query))
        return;
      worker
          = query->reserves ? find_or_reserve (query, task, &search) : iv_place_task (query, task);
      /* A task under suspicion may lack a worker that others can use. */
      lacking += worker == NULL;
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
  guint count = stage->step->count;
  if (count_startable (owner, exec, stage, 0, query->now_ms) < count)
    return;
  if (query->account && !iv_workspace_account_admits (query->account, stage->step, count))
    {
      iv_owner_hold_tasks (owner, query->account, stage, count, count);
      return;
    }
  if (owner->start_credit == 0 || is_turn_over (owner, query))
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
  if (iv_stage_lacking (stage) == 0)
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

/* A job that only its limit kept from running has not lacked a worker since. */
static gboolean
was_held_lately (const struct iv_job_exec *exec, gint64 now_ms)
{
  return exec->last_held_ms > 0 && now_ms <= exec->last_held_ms + STARVED_AFTER_MS;
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
          .account = iv_owner_account (owner, exec->job),
          .service = policy->service,
          .workload = iv_sharing_workload (owner, stage->step),
          .advised = policy->advised,
          .checks_capacity = policy->checks_capacity,
          .reserves = reserves_workers (stage->step),
          .starved = exec->placed == 0 && now_ms > exec->last_placed_ms + STARVED_AFTER_MS
                     && !was_held_lately (exec, now_ms),
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
  stage->held = 0;
  if (stage->ready_ms == 0)
    stage->ready_ms = now_ms;
  if (stage->step->flags & IVJ_GANG)
    dispatch_gang (owner, &query, exec, stage, &name);
  else
    dispatch_tasks (owner, &query, exec, stage, &name, now_ms);
  iv_owner_note_held (candidate->account, exec, stage, now_ms);
  /* A task whose turn comes later in this dispatch does not lack a worker yet, and its stage would
     find the room in a rack claimed by itself. */
  if (owner->turn_ended)
    return;
  iv_rack_note (owner, &choice, stage, exec->job->id);
  note_waiting (stage, &query);
}

/* No start may be sent now: tells only which tasks the limit of the workspace holds. */
static void
count_held (const struct iv_owner *owner, const struct candidate *candidate, struct iv_stage *stage,
            gint64 now_ms)
{
  guint together = stage->step->flags & IVJ_GANG ? stage->step->count : 1;
  stage->held = 0;
  if (!iv_workspace_account_admits (candidate->account, stage->step, together))
    hold_tasks (owner, candidate->exec, candidate->account, stage, 0, 0, now_ms);
  iv_owner_note_held (candidate->account, candidate->exec, stage, now_ms);
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
          else if (!iv_stage_ready (occurrence, stage))
            continue;
          /* In a second turn: what the limit held still waits for it, and is counted. */
          else if (candidate->account && stage->held_dispatch == owner->dispatches)
            continue;
          else if (owner->start_credit > 0 || candidate->account == NULL)
            dispatch_stage (owner, candidate, occurrence, stage, now_ms);
          else
            count_held (owner, candidate, stage, now_ms);
        }
    }
}

/* Whether the workspace of the job had sent more than it is owed when the job came. One without a
   weight is owed nothing, and has no share. */
static gboolean
is_beyond_rate (struct iv_owner *owner, const struct candidate *candidate)
{
  struct iv_job_exec *exec = candidate->exec;
  const struct iv_workspace_account *account = candidate->account;
  if (account == NULL || !(account->weight > 0))
    return FALSE;
  if (!exec->rate_judged)
    exec->beyond_rate = iv_job_table_is_beyond_rate (owner->jobs, exec->job, account->weight);
  exec->rate_judged = TRUE;
  return exec->beyond_rate;
}

/* Starts tasks of the job until its workspace is above @a turn_end. FALSE when that kept tasks from
   starting. */
static gboolean
dispatch_turn (struct iv_owner *owner, const struct candidate *candidate, double turn_end,
               gint64 now_ms)
{
  owner->turn_end = turn_end;
  owner->turn_ended = FALSE;
  if (iv_owner_usage_level (owner, candidate->account) > turn_end)
    return FALSE;
  if (owner->start_credit > 0 || candidate->account)
    dispatch_job (owner, candidate, now_ms);
  return !owner->turn_ended;
}

/* A workspace with jobs that wait for their turn. */
struct turn
{
  struct iv_workspace_account *account;
  double level;
};

static gint
compare_turns (gconstpointer a, gconstpointer b, gpointer data)
{
  const struct turn *x = a;
  const struct turn *y = b;
  return (x->level > y->level) - (x->level < y->level);
}

static void
add_turn (struct iv_owner *owner, GSequence *turns, struct iv_workspace_account *account)
{
  struct turn *turn = g_new (struct turn, 1);
  *turn = (struct turn){ account, iv_owner_usage_level (owner, account) };
  g_sequence_insert_sorted (turns, turn, compare_turns, NULL);
}

static void
wait_for_turn (struct iv_owner *owner, GSequence *turns, struct candidate *candidate)
{
  GQueue *jobs = &candidate->account->turns;
  g_queue_push_tail (jobs, candidate);
  if (jobs->length == 1)
    add_turn (owner, turns, candidate->account);
}

/* The workspace that uses least of the cell by its weight comes first, and starts tasks until the
   next one uses less. */
static void
take_turns (struct iv_owner *owner, GSequence *turns, gint64 now_ms)
{
  while (!g_sequence_is_empty (turns))
    {
      GSequenceIter *first = g_sequence_get_begin_iter (turns);
      struct iv_workspace_account *account = ((struct turn *)g_sequence_get (first))->account;
      struct candidate *candidate = g_queue_pop_head (&account->turns);
      const struct turn *next;
      g_sequence_remove (first);
      first = g_sequence_get_begin_iter (turns);
      next = g_sequence_iter_is_end (first) ? NULL : g_sequence_get (first);
      if (!dispatch_turn (owner, candidate, next ? next->level : INFINITY, now_ms))
        g_queue_push_head (&account->turns, candidate);
      if (account->turns.length > 0)
        add_turn (owner, turns, account);
    }
}

/* Offers capacity to jobs of one class and priority: in their order while their workspaces are
   within their shares, then in turns of the workspaces. */
static void
dispatch_group (struct iv_owner *owner, struct candidate *group, guint len, gint64 now_ms)
{
  GSequence *turns = g_sequence_new (g_free);
  /* A workspace that uses all of its share is not within it with one more task. */
  double turn_end = nextafter (iv_owner_fair_level (owner), 0);
  for (guint i = 0; i < len; i++)
    if (is_beyond_rate (owner, &group[i]) || !dispatch_turn (owner, &group[i], turn_end, now_ms))
      wait_for_turn (owner, turns, &group[i]);
  take_turns (owner, turns, now_ms);
  g_sequence_free (turns);
}

static gboolean
is_same_group (const struct candidate *a, const struct candidate *b)
{
  return a->class == b->class && a->item.priority == b->item.priority;
}

static void
dispatch_by_share (struct iv_owner *owner, GArray *candidates, gint64 now_ms)
{
  guint end;
  for (guint begin = 0; begin < candidates->len; begin = end)
    {
      struct candidate *group = &g_array_index (candidates, struct candidate, begin);
      for (end = begin + 1; end < candidates->len; end++)
        if (!is_same_group (group, &g_array_index (candidates, struct candidate, end)))
          break;
      dispatch_group (owner, group, end - begin, now_ms);
    }
}

static GArray *
list_candidates (struct iv_owner *owner, gint64 now_ms)
{
  GArray *candidates = g_array_new (FALSE, FALSE, sizeof (struct candidate));
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
      candidate.account = iv_owner_account (owner, candidate.exec->job);
      g_array_append_val (candidates, candidate);
    }
  g_array_sort (candidates, compare_candidates);
  return candidates;
}

void
iv_owner_dispatch (struct iv_owner *owner, gint64 now_ms)
{
  GArray *candidates;
  if (!owner->needs_dispatch && now_ms < owner->next_dispatch_ms)
    return;
  owner->needs_dispatch = FALSE;
  owner->start_credit = owner->effects.start_credit (owner->effects.context);
  iv_owner_begin_accounts (owner);
  g_hash_table_remove_all (owner->rack_claims);
  candidates = list_candidates (owner, now_ms);
  if (owner->usage)
    dispatch_by_share (owner, candidates, now_ms);
  for (guint i = 0; owner->usage == NULL && i < candidates->len && owner->start_credit > 0; i++)
    dispatch_job (owner, &g_array_index (candidates, struct candidate, i), now_ms);
  g_array_free (candidates, TRUE);
  owner->next_dispatch_ms
      = now_ms + (owner->start_credit > 0 ? DISPATCH_INTERVAL_MS : DISPATCH_HELD_MS);
  /* Tasks that are down come before those that will be. */
  iv_owner_move_from_draining (owner, now_ms);
  iv_owner_end_accounts (owner, now_ms);
}
