#include "owner_private.h"

#include "event.h"
#include "histogram.h"
#include "fair_shares.h"

#include <math.h>
#include <string.h>

#define LIMITED_LOG_INTERVAL_MS 1000

/* What runs of a job may be left that this owner does not execute. */
struct left_usage
{
  const char *workspace; /* interned */
  struct iv_resources used;
};

GHashTable *
iv_owner_new_left_usage (void)
{
  return g_hash_table_new_full (g_str_hash, g_str_equal, g_free, g_free);
}

struct iv_workspace_account *
iv_owner_account (struct iv_owner *owner, const struct iv_job_entry *job)
{
  if (owner->usage == NULL || *job->workspace == '\0')
    return NULL;
  return iv_workspace_usage_account (owner->usage, job->workspace);
}

/* The step that @a run is of. A run that is only left to be stopped does not name it, but uses as
   much; NULL when the job is not known. */
static const ivj_step *
step_of (const struct iv_run *run, const struct iv_job_entry *job)
{
  if (run->step || job == NULL || run->name.step >= job->spec.steps.steps_len)
    return run->step;
  return &job->spec.steps.steps_val[run->name.step];
}

static void
look_up_workspace (const struct iv_owner *owner, struct iv_run *run)
{
  const struct iv_job_entry *job = iv_job_table_find (owner->jobs, run->name.job);
  const ivj_step *step = step_of (run, job);
  if (job == NULL || step == NULL)
    return;
  run->workspace = job->workspace;
  run->workspace_needs = iv_workspace_needs (step, 1);
}

/* Whether @a run is counted with what previous owners may have left of its job. */
static gboolean
is_left (const struct iv_owner *owner, const struct iv_run *run)
{
  return g_hash_table_size (owner->left_usage) > 0 && run->number <= owner->run_base
         && g_hash_table_contains (owner->left_usage, run->name.job);
}

static void
use_run (struct iv_owner *owner, struct iv_run *run)
{
  if (run->workspace == NULL)
    look_up_workspace (owner, run);
  if (run->workspace && *run->workspace && !is_left (owner, run))
    iv_workspace_account_add (iv_workspace_usage_account (owner->usage, run->workspace),
                              &run->workspace_needs);
}

static void
use_runs (struct iv_owner *owner)
{
  GHashTableIter iter;
  gpointer value;
  owner->capacity = (struct iv_resources){ 0 };
  g_hash_table_iter_init (&iter, owner->fleet->by_id);
  while (g_hash_table_iter_next (&iter, NULL, &value))
    {
      const struct iv_fleet_worker *worker = value;
      if (worker->listed)
        {
          owner->capacity.cpu_milli += worker->capacity.cpu_milli;
          owner->capacity.mem_mb += worker->capacity.mem_mb;
          owner->capacity.accelerators += worker->capacity.accelerators;
        }
      for (guint i = 0; i < worker->runs->len; i++)
        use_run (owner, g_ptr_array_index (worker->runs, i));
    }
}

/* Whether a previous owner may have started tasks of the job that this one knows no run of. */
static gboolean
may_have_unknown_runs (const struct iv_owner *owner, const struct iv_job_exec *exec)
{
  return exec->inherited && !owner->previous_runs_known;
}

static void
use_left (struct iv_owner *owner)
{
  GHashTableIter iter;
  gpointer value;
  if (owner->previous_runs_known)
    g_hash_table_remove_all (owner->left_usage);
  g_hash_table_iter_init (&iter, owner->left_usage);
  while (g_hash_table_iter_next (&iter, NULL, &value))
    {
      const struct left_usage *left = value;
      iv_workspace_account_add (iv_workspace_usage_account (owner->usage, left->workspace),
                                &left->used);
    }
}

void
iv_owner_count_usage (struct iv_owner *owner)
{
  iv_workspace_usage_reset (owner->usage);
  use_left (owner);
  use_runs (owner);
  for (guint i = 0; i < owner->execs->len; i++)
    {
      const struct iv_job_exec *exec = g_ptr_array_index (owner->execs, i);
      struct iv_workspace_account *account = iv_owner_account (owner, exec->job);
      if (account && may_have_unknown_runs (owner, exec))
        iv_workspace_account_use_unknown (account, exec);
    }
  iv_workspace_usage_sweep (owner->usage);
}

static void
begin_account (struct iv_workspace_account *account, void *context)
{
  struct iv_owner *owner = context;
  const struct iv_owner_effects *effects = &owner->effects;
  account->wanted = (struct iv_resources){ 0 };
  account->limit = (struct iv_workspace_limit){ 0 };
  effects->workspace_limit (effects->context, account->name, &account->limit);
  account->weight = effects->workspace_weight (effects->context, account->name);
  owner->weight_sum += MAX (0, account->weight);
}

void
iv_owner_begin_accounts (struct iv_owner *owner)
{
  if (owner->usage == NULL)
    return;
  owner->weight_sum = 0;
  owner->dispatches++;
  iv_owner_count_usage (owner);
  iv_workspace_usage_foreach (owner->usage, begin_account, owner);
}

/* What an account is logged with. */
struct log_context
{
  gint64 now_ms;
};

static void
end_account (struct iv_workspace_account *account, void *context)
{
  const struct log_context *log = context;
  const struct iv_resources *used = &account->used;
  const struct iv_resources *max = &account->limit.max;
  const struct iv_resources *wanted = &account->wanted;
  if (log->now_ms < account->next_log_ms
      || (wanted->cpu_milli == 0 && wanted->mem_mb == 0 && wanted->accelerators == 0))
    return;
  account->next_log_ms = log->now_ms + LIMITED_LOG_INTERVAL_MS;
  iv_event (IV_LEVEL_INFO, "workspace.limited",
            "workspace=%s used_milli=%" G_GINT64_FORMAT " limit_milli=%" G_GINT64_FORMAT
            " wanted_milli=%" G_GINT64_FORMAT " used_mb=%" G_GINT64_FORMAT
            " limit_mb=%" G_GINT64_FORMAT " wanted_mb=%" G_GINT64_FORMAT
            " used_accelerators=%" G_GINT64_FORMAT " limit_accelerators=%" G_GINT64_FORMAT
            " wanted_accelerators=%" G_GINT64_FORMAT " by_one=%d",
            iv_quote (account->name), used->cpu_milli, max->cpu_milli, wanted->cpu_milli,
            used->mem_mb, max->mem_mb, wanted->mem_mb, used->accelerators, max->accelerators,
            wanted->accelerators, account->limit.may_exceed_by_one);
}

void
iv_owner_end_accounts (struct iv_owner *owner, gint64 now_ms)
{
  struct log_context log = { now_ms };
  if (owner->usage)
    iv_workspace_usage_foreach (owner->usage, end_account, &log);
}

double
iv_owner_usage_level (const struct iv_owner *owner, const struct iv_workspace_account *account)
{
  if (account == NULL || !(account->weight > 0))
    return 0;
  return iv_dominant_share (&account->used, &owner->capacity) / account->weight;
}

double
iv_owner_fair_level (const struct iv_owner *owner)
{
  return owner->weight_sum > 0 ? 1 / owner->weight_sum : INFINITY;
}

static void
keep (struct iv_owner *owner, const struct iv_job_entry *job, const struct iv_resources *used)
{
  struct left_usage *left = g_new0 (struct left_usage, 1);
  left->workspace = job->workspace;
  left->used = *used;
  g_hash_table_replace (owner->left_usage, g_strdup (job->id), left);
}

/* What the runs of @a job use that are known. */
static void
use_runs_of (const struct iv_owner *owner, const struct iv_job_entry *job,
             struct iv_workspace_account *account)
{
  GHashTableIter iter;
  gpointer value;
  g_hash_table_iter_init (&iter, owner->fleet->by_id);
  while (g_hash_table_iter_next (&iter, NULL, &value))
    {
      const GPtrArray *runs = ((const struct iv_fleet_worker *)value)->runs;
      for (guint i = 0; i < runs->len; i++)
        {
          const struct iv_run *run = g_ptr_array_index (runs, i);
          const ivj_step *step;
          if (run->number > owner->run_base || strcmp (run->name.job, job->id) != 0)
            continue;
          step = step_of (run, job);
          if (step)
            iv_workspace_account_use (account, step, 1);
        }
    }
}

void
iv_owner_keep_usage (struct iv_owner *owner, struct iv_job_exec *exec)
{
  struct iv_workspace_account account = { 0 };
  if (owner->usage == NULL || *exec->job->workspace == '\0' || !may_have_unknown_runs (owner, exec))
    return;
  /* A job that was cancelled during the takeover ends before its occurrences are opened. */
  iv_job_exec_open_due (exec, owner->wall_ms);
  iv_workspace_account_use_unknown (&account, exec);
  use_runs_of (owner, exec->job, &account);
  keep (owner, exec->job, &account.used);
}

/* Runs of a job that ended longer ago than the horizon have ended as well, as their worker has
   answered since or is silent. */
void
iv_owner_keep_ended_usage (struct iv_owner *owner, const struct iv_job_entry *job)
{
  struct iv_workspace_account account = { 0 };
  if (owner->usage == NULL || *job->workspace == '\0' || !owner->loading_jobs
      || job->progress.state == IVJ_COMPLETED
      || (iv_job_state_is_final (job->progress.state)
          && job->progress.ended_ms + owner->limits.horizon_ms < owner->wall_ms))
    return;
  iv_workspace_account_use_ended (&account, job);
  keep (owner, job, &account.used);
}

void
iv_owner_hold_tasks (const struct iv_owner *owner, struct iv_workspace_account *account,
                     struct iv_stage *stage, guint waiting, guint wanted)
{
  stage->held_dispatch = owner->dispatches;
  stage->held = waiting;
  iv_workspace_account_want (account, stage->step, wanted);
}

void
iv_owner_note_held (struct iv_workspace_account *account, struct iv_job_exec *exec,
                    struct iv_stage *stage, gint64 now_ms)
{
  if (stage->held > 0)
    {
      exec->last_held_ms = now_ms;
      if (stage->held_since_ms > 0)
        return;
      stage->held_since_ms = now_ms;
      iv_workspace_account_count (account, IV_WORKSPACE_LIMITED, stage->held);
    }
  else if (stage->held_since_ms > 0)
    {
      iv_histogram_add (iv_histogram_get ("ibisvane_workspace_limited_ms",
                                          "From the time at which the limit of a workspace held "
                                          "tasks of a step until it held none of them."),
                        now_ms - stage->held_since_ms);
      stage->held_since_ms = 0;
    }
}

struct demand_context
{
  GArray *rows;
};

static void
add_demand (struct iv_workspace_account *account, void *context)
{
  const struct demand_context *demand = context;
  struct iv_workspace_demand row = { account->name, account->used, account->wanted };
  g_array_append_val (demand->rows, row);
}

GArray *
iv_owner_workspace_demand (struct iv_owner *owner)
{
  struct demand_context demand
      = { g_array_new (FALSE, FALSE, sizeof (struct iv_workspace_demand)) };
  if (owner->usage == NULL)
    return demand.rows;
  iv_owner_count_usage (owner);
  iv_workspace_usage_foreach (owner->usage, add_demand, &demand);
  return demand.rows;
}
