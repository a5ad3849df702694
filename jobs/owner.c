#include "owner_private.h"

#include "crash.h"
#include "event.h"
#include "histogram.h"
#include "sharing.h"

#include <string.h>

#define RUN_TERM_SHIFT 20 /* bits of a run number that count the runs of a task in a term */
#define STOP_RETRY_MS 400
#define SPAN_MAX_MS 1e15 /* a multiple of an objective fits into 64 bits */
/* Older samples of a worker's clock are refreshed: the error of an estimate grows by 2 % of their
   age, and the deadline of a start, which is also a lease, must not be further away than a lease.
 */
#define CLOCK_SAMPLE_MAX_MS 120000

/* Interference of a best-effort task per share of the host: none for most pairs of images, up to
   nine times the baseline tail latency for some. */
static const struct iv_interference_prior sharing_prior
    = { .mean = 1.0, .variance = 4.0, .noise = 0.06, .drift_per_second = 0.02 };

static const char *const phase_names[] = { "starting", "unsure", "running", "stopping" };

static void
take_over_job (void *context, struct iv_job_entry *job)
{
  struct iv_owner *owner = context;
  iv_owner_job_changed (owner, job, owner->owned_since_ms);
}

struct iv_owner *
iv_owner_new (struct iv_job_table *jobs, gint64 term, const struct iv_owner_limits *limits,
              const struct iv_owner_effects *effects, gint64 now_ms, gint64 wall_ms)
{
  struct iv_owner *owner = g_new0 (struct iv_owner, 1);
  owner->jobs = jobs;
  owner->fleet = iv_fleet_new (term);
  owner->model = iv_interference_new (&sharing_prior);
  owner->lengths = limits->learn_lengths ? iv_task_lengths_new () : NULL;
  owner->rack_claims = g_hash_table_new_full (g_str_hash, g_str_equal, g_free, g_free);
  owner->limits = *limits;
  owner->effects = *effects;
  owner->term = term;
  /* A job that moves has no two runs of one number: the terms of a cell are multiples of
     IV_FENCES_PER_TERM, and the number of the cell fits in between. */
  G_STATIC_ASSERT (IV_CELLS_MAX <= IV_FENCES_PER_TERM);
  owner->run_base = (term + MAX (effects->cell, 0)) << RUN_TERM_SHIFT;
  owner->owned_since_ms = now_ms;
  owner->previous_until_ms = now_ms + limits->horizon_ms;
  owner->unresolved = g_hash_table_new_full (g_str_hash, g_str_equal, g_free, g_free);
  owner->execs = g_ptr_array_new ();
  owner->guests = g_hash_table_new_full (g_str_hash, g_str_equal, g_free, NULL);
  owner->unrecorded = g_ptr_array_new ();
  owner->departures = g_array_new (FALSE, FALSE, sizeof (struct iv_departure));
  owner->wall_ms = wall_ms;
  if (effects->workspace_limit && effects->workspace_weight)
    {
      owner->usage = iv_workspace_usage_new ();
      owner->left_usage = iv_owner_new_left_usage ();
    }
  owner->loading_jobs = TRUE;
  iv_job_table_foreach (jobs, take_over_job, owner);
  owner->loading_jobs = FALSE;
  return owner;
}

/* Resets state that only this owner knew: the next owner starts from the records. */
static void
reset_live_state (void *context, struct iv_job_entry *job)
{
  const struct iv_owner *owner = context;
  if (owner->effects.owns_job (owner->effects.context, job))
    {
      job->live_state = IVJ_QUEUED;
      job->move_pending = FALSE;
      job->unstored = FALSE;
    }
}

void
iv_owner_free (struct iv_owner *owner)
{
  if (owner == NULL)
    return;
  iv_job_table_foreach (owner->jobs, reset_live_state, owner);
  iv_fleet_free (owner->fleet);
  iv_interference_free (owner->model);
  iv_task_lengths_free (owner->lengths);
  g_hash_table_destroy (owner->rack_claims);
  g_hash_table_destroy (owner->unresolved);
  if (owner->advice_query.workers)
    g_array_free (owner->advice_query.workers, TRUE);
  while (owner->execs->len > 0)
    iv_job_exec_free (g_ptr_array_remove_index_fast (owner->execs, 0));
  g_ptr_array_free (owner->execs, TRUE);
  g_hash_table_destroy (owner->guests);
  g_ptr_array_free (owner->unrecorded, TRUE);
  g_array_free (owner->departures, TRUE);
  iv_workspace_usage_free (owner->usage);
  g_clear_pointer (&owner->left_usage, g_hash_table_destroy);
  g_free (owner);
}

gboolean
iv_owner_is_deposed (const struct iv_owner *owner)
{
  return owner->deposed;
}

struct iv_job_exec *
iv_owner_find_exec (struct iv_owner *owner, const struct iv_task_name *name)
{
  struct iv_job_entry *job = iv_job_table_find (owner->jobs, name->job);
  if (job && job->exec && job->exec->owner == owner)
    return job->exec;
  return g_hash_table_lookup (owner->guests, name->job);
}

void
iv_owner_config_changed (struct iv_owner *owner)
{
  owner->needs_dispatch = TRUE;
}

void
iv_owner_clear_placement (struct iv_job_exec *exec, struct iv_stage *stage,
                          struct iv_job_task *task)
{
  if (task->state != IV_JOB_TASK_PLACED)
    return;
  task->state = IV_JOB_TASK_WAITING;
  task->placed_run = 0;
  stage->placed--;
  exec->placed--;
}

void
iv_owner_place_task (struct iv_job_exec *exec, struct iv_stage *stage, struct iv_job_task *task,
                     gint64 number)
{
  task->state = IV_JOB_TASK_PLACED;
  task->placed_run = number;
  stage->placed++;
  exec->placed++;
  exec->started = TRUE;
}

void
iv_owner_requeue_task (struct iv_owner *owner, const struct iv_task_name *name, gint64 number,
                       const char *checkpoint)
{
  struct iv_job_exec *exec = iv_owner_find_exec (owner, name);
  struct iv_stage *stage;
  struct iv_job_task *task = exec ? iv_job_exec_task (exec, name, &stage) : NULL;
  if (task == NULL || task->placed_run != number)
    return;
  iv_owner_clear_placement (exec, stage, task);
  task->runs_known |= number > owner->run_base;
  owner->needs_dispatch = TRUE;
  if (checkpoint == NULL || *checkpoint == '\0')
    return;
  g_free (task->checkpoint);
  task->checkpoint = g_strdup (checkpoint);
}

void
iv_owner_stop_run (struct iv_owner *owner, struct iv_run *run, gint64 now_ms)
{
  if (run->phase == IV_RUN_PHASE_STOPPING && now_ms < run->stop_sent_ms + STOP_RETRY_MS)
    return;
  run->phase = IV_RUN_PHASE_STOPPING;
  run->stop_sent_ms = now_ms;
  run->acked_clock_ms = G_MAXINT64;
  owner->effects.stop (owner->effects.context, run->worker, &run->name, run->number);
}

void
iv_owner_stop_job (struct iv_owner *owner, const struct iv_job_entry *job, gint64 now_ms)
{
  GHashTableIter iter;
  gpointer value;
  g_hash_table_iter_init (&iter, owner->fleet->by_id);
  while (g_hash_table_iter_next (&iter, NULL, &value))
    {
      struct iv_fleet_worker *worker = value;
      for (guint i = 0; i < worker->runs->len; i++)
        {
          struct iv_run *run = g_ptr_array_index (worker->runs, i);
          if (strcmp (run->name.job, job->id) == 0 && run->phase != IV_RUN_PHASE_STOPPING)
            iv_owner_stop_run (owner, run, now_ms);
        }
    }
}

void
iv_owner_end_job (struct iv_owner *owner, struct iv_job_exec *exec, enum ivj_state state,
                  gint64 now_ms)
{
  struct iv_job_entry *job = exec->job;
  iv_job_exec_end (exec, state, owner->wall_ms);
  iv_owner_queue_record (owner, exec);
  iv_event (IV_LEVEL_INFO, "job.ended",
            "job=%s queue=%s state=%s took_ms=%" G_GINT64_FORMAT
            " objective_left_ms=%" G_GINT64_FORMAT,
            job->id, job->spec.prefix, iv_job_state_name (state), now_ms - exec->first_seen_ms,
            exec->objective_ms - now_ms);
  iv_histogram_add (iv_histogram_get ("ibisvane_job_ms", "From reading a job to its end."),
                    now_ms - exec->first_seen_ms);
  iv_owner_keep_usage (owner, exec);
  if (exec->placed > 0)
    iv_owner_stop_job (owner, job, now_ms);
  g_ptr_array_remove_fast (owner->execs, exec);
  iv_job_exec_free (exec);
  owner->needs_dispatch = TRUE;
}

void
iv_owner_set_objective (struct iv_owner *owner, struct iv_job_exec *exec)
{
  const ivj_job *spec = &exec->job->spec;
  struct iv_queue_policy policy;
  gint64 span;
  gint64 start = exec->first_seen_ms;
  if (!owner->effects.queue (owner->effects.context, spec->host, spec->prefix, &policy))
    return;
  if (exec->inherited)
    start -= MAX (0, owner->wall_ms - spec->accepted_ms);
  span = (gint64)MIN (policy.stretch * (double)iv_job_critical_path_ms (spec), SPAN_MAX_MS);
  span += policy.objective_ms;
  exec->objective_ms = start + span;
  exec->zero_utility_ms = start + 3 * span;
}

void
iv_owner_withdraw (struct iv_owner *owner, struct iv_job_exec *exec, gint64 now_ms)
{
  iv_event (IV_LEVEL_WARNING, "job.withdrawn", "job=%s placed=%u", exec->job->id, exec->placed);
  iv_owner_keep_usage (owner, exec);
  if (exec->placed > 0)
    iv_owner_stop_job (owner, exec->job, now_ms);
  g_ptr_array_remove_fast (owner->execs, exec);
  if (exec->guest_cell >= 0)
    g_hash_table_remove (owner->guests, exec->job->id);
  else
    iv_owner_forget_record (owner, exec->job);
  iv_job_exec_free (exec);
}

void
iv_owner_job_changed (struct iv_owner *owner, struct iv_job_entry *job, gint64 now_ms)
{
  struct iv_job_exec *exec = job->exec;
  struct iv_job_exec *guest;
  if (job->move_pending)
    return;
  if (!owner->effects.owns_job (owner->effects.context, job))
    {
      if (exec && exec->owner == owner)
        iv_owner_withdraw (owner, exec, now_ms);
      iv_owner_guests_changed (owner, job, now_ms);
      return;
    }
  guest = g_hash_table_lookup (owner->guests, job->id);
  if (guest)
    iv_owner_withdraw (owner, guest, now_ms);
  if (exec && exec->owner != owner)
    {
      iv_owner_withdraw (exec->owner, exec, now_ms);
      exec = NULL;
    }
  if (exec == NULL)
    {
      if (iv_job_state_is_final (job->progress.state) || iv_job_state_is_final (job->live_state))
        {
          iv_owner_keep_ended_usage (owner, job);
          return;
        }
      exec = iv_job_exec_new (job, now_ms);
      exec->owner = owner;
      exec->lengths = owner->lengths;
      exec->inherited = owner->loading_jobs;
      g_ptr_array_add (owner->execs, exec);
      iv_owner_set_objective (owner, exec);
      owner->needs_dispatch = TRUE;
      if (!job->cancel
          && (iv_owner_balance_long_running (owner, exec) || iv_owner_balance_batch (owner, exec)))
        return;
    }
  iv_job_exec_apply_delegations (exec, now_ms);
  iv_crash_record_returned (owner, exec);
  owner->needs_dispatch |= job->delegations != NULL;
  if (job->cancel)
    iv_owner_end_job (owner, exec, IVJ_CANCELLED, now_ms);
}

void
iv_owner_log_evidence (const struct iv_owner *owner, enum iv_level level, const char *event,
                       const struct iv_run *run, const char *evidence, gint64 age_ms)
{
  iv_event (level, event,
            "task=%s.%u.%u.%u run=%" G_GINT64_FORMAT " worker=%s phase=%s term=%" G_GINT64_FORMAT
            " life=%" G_GINT64_FORMAT " evidence=%s age_ms=%" G_GINT64_FORMAT,
            run->name.job, run->name.occurrence, run->name.step, run->name.index, run->number,
            run->worker->id, phase_names[run->phase], owner->term, run->worker->start_time_ms,
            evidence, age_ms);
}

void
iv_owner_drop_runs (struct iv_owner *owner, struct iv_fleet_worker *worker, const char *why)
{
  if (worker->runs->len > 0)
    iv_event (IV_LEVEL_WARNING, "worker.lost_runs", "worker=%s runs=%u reason=%s", worker->id,
              worker->runs->len, why);
  while (worker->runs->len > 0)
    {
      struct iv_run *run = g_ptr_array_index (worker->runs, 0);
      struct iv_task_name name = run->name;
      gint64 number = run->number;
      iv_owner_log_evidence (owner, IV_LEVEL_INFO, "run.dropped", run, why,
                             owner->wall_ms - worker->start_time_ms);
      iv_run_remove (run);
      iv_owner_requeue_task (owner, &name, number, NULL);
    }
}

void
iv_owner_worker_listed (struct iv_owner *owner, const struct iv_listed_worker *listed,
                        gint64 now_ms)
{
  gboolean restarted;
  struct iv_fleet_worker *worker = iv_fleet_find_by_id (owner->fleet, listed->id);
  gboolean was_draining = worker && worker->draining;
  if (worker && !iv_owner_admits_entry (owner, worker, listed, now_ms))
    return;
  worker = iv_fleet_update_worker (owner->fleet, listed, &restarted);
  if (restarted)
    iv_owner_worker_restarted (owner, worker, now_ms);
  if (worker->draining && !was_draining)
    iv_event (IV_LEVEL_INFO, "worker.draining",
              "worker=%s runs=%u leaves_clock_ms=%" G_GINT64_FORMAT
              " entry_clock_ms=%" G_GINT64_FORMAT,
              worker->id, worker->runs->len, worker->leaves_clock_ms, worker->entry_clock_ms);
  owner->needs_dispatch = TRUE;
}

void
iv_owner_worker_unlisted (struct iv_owner *owner, const char *id, gint64 now_ms)
{
  struct iv_fleet_worker *worker = iv_fleet_find_by_id (owner->fleet, id);
  if (worker == NULL || !worker->listed)
    return;
  worker->listed = FALSE;
  worker->unlisted_ms = now_ms;
  g_clear_pointer (&worker->claim, iv_listed_worker_free);
  iv_event (IV_LEVEL_INFO, "worker.unlisted", "worker=%s runs=%u", id, worker->runs->len);
}

/* Whether @a worker may have changes to report, leases to renew or ends to discard. */
static gboolean
needs_poll (const struct iv_fleet_worker *worker)
{
  if (!worker->listed && worker->runs->len == 0 && worker->fenced)
    return FALSE;
  return !worker->fenced || worker->failures > 0 || worker->runs->len > 0
         || worker->acked_end < worker->processed_end;
}

static void
poll_worker (struct iv_owner *owner, struct iv_fleet_worker *worker, gint64 now_ms)
{
  gint64 lease = 0;
  gint64 wait = 0;
  if (worker->fenced && worker->failures == 0)
    {
      lease = iv_worker_clock_min (worker, now_ms) + owner->limits.lease_ms;
      worker->lease_end_clock_ms = MAX (worker->lease_end_clock_ms, lease);
      wait = worker->runs->len > 0 ? IV_POLL_WAIT_MS : 0;
    }
  worker->polling = TRUE;
  owner->effects.poll (owner->effects.context, worker, lease, wait);
}

/* When no run is left on a worker that has not replied. */
static gint64
silent_horizon_ms (const struct iv_owner *owner, const struct iv_fleet_worker *worker)
{
  return MAX (owner->previous_until_ms, worker->horizon_end_ms);
}

/* Whether every lease on a silent worker has expired by the slowest possible rate of its clock. */
static gboolean
leases_expired (const struct iv_owner *owner, const struct iv_fleet_worker *worker, gint64 now_ms)
{
  if (!worker->fenced)
    return now_ms > silent_horizon_ms (owner, worker);
  return worker->failures > 0 && iv_worker_clock_min (worker, now_ms) > worker->lease_end_clock_ms;
}

/* Whether one more failure, which may not have been reported yet, would fail the job of @a run. */
static gboolean
is_last_attempt (struct iv_owner *owner, const struct iv_run *run)
{
  struct iv_job_exec *exec = iv_owner_find_exec (owner, &run->name);
  const struct iv_job_task *task = exec ? iv_job_exec_task (exec, &run->name, NULL) : NULL;
  return task && run->step && !(run->step->flags & IVJ_LONG_RUNNING) && task->failures > 0
         && task->failures + 1 >= iv_owner_attempt_limit (owner, exec->job);
}

static gboolean
has_last_attempt (struct iv_owner *owner, const struct iv_fleet_worker *worker)
{
  for (guint i = 0; i < worker->runs->len; i++)
    if (is_last_attempt (owner, g_ptr_array_index (worker->runs, i)))
      return TRUE;
  return FALSE;
}

gint64
iv_owner_unresolved_ms (struct iv_owner *owner, const char *id, gint64 now_ms)
{
  const struct iv_fleet_worker *worker = iv_fleet_find_by_id (owner->fleet, id);
  gint64 left_ms;
  if (worker == NULL || has_last_attempt (owner, worker))
    return owner->limits.horizon_ms;
  if (worker->fenced)
    left_ms = (worker->lease_end_clock_ms - iv_worker_clock_min (worker, now_ms)) * 100
              / (100 - IV_WORKER_CLOCK_SLOW_PERCENT);
  else
    left_ms = MAX (iv_owner_awaited_until_ms (owner, id), worker->horizon_end_ms) - now_ms;
  return MAX (0, left_ms);
}

/* Requeues the tasks of a silent worker whose leases have expired. The last attempt at a task may
   have failed there, so it is repeated only after the worker has been off the list for the
   horizon. */
static void
drop_expired_runs (struct iv_owner *owner, struct iv_fleet_worker *worker, gint64 now_ms)
{
  gboolean long_unlisted
      = !worker->listed && now_ms > worker->unlisted_ms + owner->limits.horizon_ms;
  for (guint i = worker->runs->len; i-- > 0;)
    {
      struct iv_run *run = g_ptr_array_index (worker->runs, i);
      struct iv_task_name name = run->name;
      gint64 number = run->number;
      if (!long_unlisted && is_last_attempt (owner, run))
        continue;
      iv_owner_log_evidence (owner, IV_LEVEL_WARNING, "run.lapsed", run,
                             worker->fenced ? "lease_ended" : "horizon_ended",
                             worker->fenced
                                 ? iv_worker_clock_min (worker, now_ms) - worker->lease_end_clock_ms
                                 : now_ms - silent_horizon_ms (owner, worker));
      iv_crash_run_lapsed (owner, run);
      iv_run_remove (run);
      iv_owner_requeue_task (owner, &name, number, NULL);
    }
}

static void
tick_worker (struct iv_owner *owner, struct iv_fleet_worker *worker, gboolean confirmed,
             gint64 now_ms)
{
  /* Without confirmation idle workers are polled too: their silence shows a partition, and a reply
     the fence of a newer owner. */
  gint64 sample_max_ms = confirmed ? CLOCK_SAMPLE_MAX_MS : IV_POLL_WAIT_MS;
  gboolean sample_old = now_ms > worker->clock_sampled_at_ms + sample_max_ms;
  if (!worker->polling && (needs_poll (worker) || (worker->listed && sample_old))
      && now_ms >= worker->next_poll_ms)
    poll_worker (owner, worker, now_ms);
  /* Without confirmation, a worker that is silent here may already run tasks for another owner. */
  if (confirmed && worker->runs->len > 0 && leases_expired (owner, worker, now_ms))
    drop_expired_runs (owner, worker, now_ms);
  iv_owner_settle_claim (owner, worker, now_ms);
}

static void
tick_workers (struct iv_owner *owner, gboolean confirmed, gint64 now_ms)
{
  GList *all = g_hash_table_get_values (owner->fleet->by_id);
  for (GList *item = all; item; item = item->next)
    {
      struct iv_fleet_worker *worker = item->data;
      tick_worker (owner, worker, confirmed, now_ms);
      if (confirmed && !worker->listed && worker->runs->len == 0 && !worker->polling
          && now_ms > worker->unlisted_ms + owner->limits.horizon_ms)
        iv_fleet_remove (owner->fleet, worker);
    }
  g_list_free (all);
}

void
iv_owner_suspend (struct iv_owner *owner, gint64 now_ms)
{
  owner->valid_until_ms = now_ms - 1;
}

void
iv_owner_tick (struct iv_owner *owner, const struct iv_owner_authority *authority, gint64 now_ms,
               gint64 wall_ms)
{
  const struct iv_owner_limits *limits = &owner->limits;
  owner->wall_ms = wall_ms;
  owner->valid_until_ms = authority->valid_until_ms;
  if (authority->confirmed)
    owner->confirmed_ms = now_ms;
  if (owner->deposed)
    return;
  iv_owner_check_previous_runs (owner, authority->confirmed, now_ms);
  iv_crash_give_up (owner, now_ms);
  for (guint i = 0; i < owner->execs->len; i++)
    owner->needs_dispatch |= iv_job_exec_open_due (g_ptr_array_index (owner->execs, i), wall_ms);
  /* A delayed start must expire before the state of the failure domains that it relied on is too
     old. */
  owner->start_window_ms
      = MIN (limits->start_ms, limits->evidence_max_age_ms - authority->evidence_age_ms);
  if (owner->start_window_ms >= IV_MIN_START_WINDOW_MS && owner->workers_loaded)
    iv_owner_dispatch (owner, now_ms);
  if (authority->confirmed)
    {
      iv_owner_delegate_tasks (owner, now_ms);
      iv_owner_move_jobs (owner, now_ms);
    }
  tick_workers (owner, authority->confirmed, now_ms);
  iv_owner_log_load (owner, now_ms);
}

struct iv_fleet *
iv_owner_fleet (struct iv_owner *owner)
{
  return owner->fleet;
}
