#include <string.h>

#include "planner_private.h"

/* Queue order: urgent tasks first, then by priority, then by age. */
static gint
compare_queued (gconstpointer a, gconstpointer b, gpointer cell)
{
  const struct iv_task *x = *(struct iv_task *const *)a, *y = *(struct iv_task *const *)b;
  const ivx_item *p = &iv_cell_job (cell, x->job)->item, *q = &iv_cell_job (cell, y->job)->item;
  if (p->urgent != q->urgent)
    return p->urgent ? -1 : 1;
  if (p->priority != q->priority)
    return p->priority > q->priority ? -1 : 1;
  return x->id < y->id ? -1 : x->id > y->id;
}

struct bind_pass
{
  struct iv_planner *planner;
  gint64 now_ms;
  struct iv_placement *placement;
  GHashTable *team_milli; /* team to milli-cores bound, as GUINT_TO_POINTER() */
  GArray *records;
  guint starts;
};

static gboolean
is_usable (gpointer context, const struct iv_worker *worker)
{
  const struct bind_pass *pass = context;
  return iv_planner_usable (pass->planner, worker, pass->now_ms);
}

static guint
team_used_milli (const struct bind_pass *pass, const char *team)
{
  return GPOINTER_TO_UINT (g_hash_table_lookup (pass->team_milli, team));
}

static void
charge_team (struct bind_pass *pass, const ivx_item *item, gint64 tasks)
{
  gint64 used = (gint64)team_used_milli (pass, item->team) + tasks * item->size.cpu_milli;
  g_hash_table_insert (pass->team_milli, item->team, GUINT_TO_POINTER ((guint)used));
}

/* A team's quota covers all failure domains; each domain enforces an equal part of it. */
static gboolean
quota_allows (const struct bind_pass *pass, const ivx_item *item)
{
  const struct iv_config *config = pass->planner->config;
  const struct iv_item *team = config ? iv_config_item (config, item->team) : NULL;
  guint domains;
  if (item->type == IVX_SERVICE || team == NULL || team->ended || team->item.type != IVX_TEAM
      || team->item.quota_milli == 0)
    return TRUE;
  domains = MAX (1, config->domains->len);
  return team_used_milli (pass, item->team) + item->size.cpu_milli
         <= team->item.quota_milli / domains;
}

/* A batch task waits at most interference_wait_max_ms for a worker on which it slows no service. */
static gboolean
may_wait_for_placement (struct bind_pass *pass, const struct iv_task *task, const ivx_item *item)
{
  struct iv_task_status *status = iv_planner_task_status (pass->planner, task);
  if (status->wait_until_ms == 0)
    status->wait_until_ms = pass->now_ms + pass->planner->options.interference_wait_max_ms;
  return !item->urgent && pass->now_ms < status->wait_until_ms;
}

static void
add_bind (struct bind_pass *pass, const struct iv_task *task, guint32 worker)
{
  ivx_record record = { .kind = IVX_BIND };
  record.ivx_record_u.bind = (ivx_bind){ task->id, worker };
  iv_records_add (pass->records, &record);
  pass->starts++;
}

static gboolean
bind_one (struct bind_pass *pass, const struct iv_task *task, const ivx_item *item)
{
  guint32 worker;
  if (!quota_allows (pass, item))
    return FALSE;
  worker = iv_placement_choose (pass->placement, item, task->id * 2654435761u,
                                iv_health_failed_workers (pass->planner->health, task->gen),
                                may_wait_for_placement (pass, task, item));
  if (worker == IV_NO_WORKER)
    return FALSE;
  charge_team (pass, item, 1);
  add_bind (pass, task, worker);
  return TRUE;
}

/* Binds all queued tasks of the gang, or none if one of them finds no worker. */
static void
bind_gang (struct bind_pass *pass, GPtrArray *queued, guint first, const struct iv_job *job)
{
  GArray *chosen = g_array_new (FALSE, FALSE, sizeof (guint32));
  GPtrArray *members = g_ptr_array_new ();
  gboolean complete = TRUE;
  for (guint i = first; i < queued->len && complete; i++)
    {
      struct iv_task *task = g_ptr_array_index (queued, i);
      guint32 worker;
      if (task->job != job->id)
        continue;
      worker
          = quota_allows (pass, &job->item)
                ? iv_placement_choose (pass->placement, &job->item, task->id * 2654435761u,
                                       iv_health_failed_workers (pass->planner->health, job->gen),
                                       may_wait_for_placement (pass, task, &job->item))
                : IV_NO_WORKER;
      complete = worker != IV_NO_WORKER;
      if (!complete)
        break;
      charge_team (pass, &job->item, 1);
      g_array_append_val (chosen, worker);
      g_ptr_array_add (members, task);
    }
  for (guint i = 0; i < chosen->len; i++)
    if (complete)
      add_bind (pass, g_ptr_array_index (members, i), g_array_index (chosen, guint32, i));
    else
      {
        iv_placement_release (pass->placement, &job->item, g_array_index (chosen, guint32, i));
        charge_team (pass, &job->item, -1);
      }
  g_array_free (chosen, TRUE);
  g_ptr_array_free (members, TRUE);
}

static void
charge_bound (struct bind_pass *pass)
{
  GHashTableIter iter;
  gpointer value;
  g_hash_table_iter_init (&iter, pass->planner->cell->tasks);
  while (g_hash_table_iter_next (&iter, NULL, &value))
    {
      const struct iv_task *task = value;
      const struct iv_job *job = iv_cell_job (pass->planner->cell, task->job);
      if (task->state == IV_TASK_BOUND && job->item.type == IVX_JOB)
        charge_team (pass, &job->item, 1);
    }
}

/* Preempts for an urgent task or a service: marks for eviction the batch task of lowest priority
   whose end would free enough resources on its worker. They become free when the worker has
   checkpointed the task. */
static void
preempt_for (struct bind_pass *pass, const ivx_item *item, GPtrArray *bound)
{
  const struct iv_task *victim = NULL;
  guint32 victim_priority = G_MAXUINT32;
  for (guint i = 0; i < bound->len; i++)
    {
      const struct iv_task *task = g_ptr_array_index (bound, i);
      const struct iv_job *job = iv_cell_job (pass->planner->cell, task->job);
      const struct iv_worker *worker = iv_cell_worker (pass->planner->cell, task->worker);
      ivx_size available = worker->info.size;
      if (job->item.type != IVX_JOB || job->item.urgent || job->item.priority >= victim_priority
          || (!item->urgent && job->item.priority >= item->priority))
        continue;
      if (iv_planner_task_status (pass->planner, task)->evict)
        return;
      available.cpu_milli -= worker->committed.cpu_milli - job->item.size.cpu_milli;
      available.memory_mib -= worker->committed.memory_mib - job->item.size.memory_mib;
      available.accelerators -= worker->committed.accelerators - job->item.size.accelerators;
      if (item->size.cpu_milli > available.cpu_milli || item->size.memory_mib > available.memory_mib
          || item->size.accelerators > available.accelerators)
        continue;
      victim = task;
      victim_priority = job->item.priority;
    }
  if (victim == NULL)
    return;
  iv_planner_task_status (pass->planner, victim)->evict = TRUE;
  iv_planner_worker_status (pass->planner, victim->worker)->dirty = TRUE;
}

static void
bind_all (struct bind_pass *pass, GPtrArray *queued, GPtrArray *bound)
{
  struct iv_cell *cell = pass->planner->cell;
  GHashTable *blocked_jobs = g_hash_table_new (NULL, NULL);
  for (guint i = 0; i < queued->len && pass->starts < pass->planner->options.starts_per_step; i++)
    {
      struct iv_task *task = g_ptr_array_index (queued, i);
      const struct iv_job *job = iv_cell_job (cell, task->job);
      gpointer key = GUINT_TO_POINTER (job->id);
      if (g_hash_table_contains (blocked_jobs, key))
        continue;
      if (job->item.gang)
        {
          bind_gang (pass, queued, i, job);
          g_hash_table_add (blocked_jobs, key);
        }
      else if (!bind_one (pass, task, &job->item))
        {
          g_hash_table_add (blocked_jobs, key);
          if (job->item.urgent || job->item.type == IVX_SERVICE)
            preempt_for (pass, &job->item, bound);
        }
    }
  g_hash_table_destroy (blocked_jobs);
}

static void
bind_queued (struct iv_planner *planner, gint64 now_ms, GPtrArray *queued, GArray *records)
{
  struct bind_pass pass = { .planner = planner, .now_ms = now_ms, .records = records };
  GPtrArray *bound = iv_planner_tasks_in (planner, IV_TASK_BOUND);
  g_ptr_array_sort_with_data (queued, compare_queued, planner->cell);
  pass.team_milli = g_hash_table_new (g_str_hash, g_str_equal);
  pass.placement = iv_placement_begin (planner->cell, planner->model, &planner->options.weights,
                                       planner->options.strategy, is_usable, &pass, now_ms);
  charge_bound (&pass);
  bind_all (&pass, queued, bound);
  iv_placement_end (pass.placement);
  g_hash_table_destroy (pass.team_milli);
  g_ptr_array_free (bound, TRUE);
}

static void
export_queued (struct iv_planner *planner, GPtrArray *queued, iv_pick_domain_fn pick, void *context,
               GArray *records)
{
  for (guint i = 0; i < queued->len; i++)
    {
      const struct iv_task *task = g_ptr_array_index (queued, i);
      const struct iv_job *job = iv_cell_job (planner->cell, task->job);
      const char *to = job->cancelled ? NULL : pick (context, planner->domain, &job->item);
      ivx_record record = { .kind = IVX_EXPORT };
      if (to == NULL)
        continue;
      record.ivx_record_u.task_export.task = task->id;
      record.ivx_record_u.task_export.to = iv_record_strdup (to);
      iv_records_add (records, &record);
    }
}

static void
confirm_exports (struct iv_planner *planner, GArray *records)
{
  GHashTableIter iter;
  gpointer key;
  g_hash_table_iter_init (&iter, planner->confirmed_moves);
  while (g_hash_table_iter_next (&iter, &key, NULL))
    {
      ivx_record record = { .kind = IVX_EXPORTED };
      record.ivx_record_u.exported.task = GPOINTER_TO_UINT (key);
      iv_records_add (records, &record);
    }
}

/* Whether no worker of the domain has replied for the horizon. Requeued tasks are then moved to
   other domains as well. */
static gboolean
domain_is_unreachable (struct iv_planner *planner, gint64 now_ms)
{
  GHashTableIter iter;
  gpointer value;
  gint64 timeout_ms = iv_planner_add_clock_drift (planner, planner->options.horizon_ms);
  if (now_ms - planner->owned_since_ms < timeout_ms)
    return FALSE;
  g_hash_table_iter_init (&iter, planner->cell->workers);
  while (g_hash_table_iter_next (&iter, NULL, &value))
    if (now_ms - iv_planner_worker_status (planner, ((struct iv_worker *)value)->id)->last_reply_ms
        < timeout_ms)
      return FALSE;
  return TRUE;
}

void
iv_planner_plan_queued (struct iv_planner *planner, gint64 now_ms, iv_pick_domain_fn pick,
                        void *context, GArray *records)
{
  GPtrArray *queued = iv_planner_tasks_in (planner, IV_TASK_QUEUED);
  gboolean out = planner->config && iv_config_domain_out (planner->config, planner->domain);
  confirm_exports (planner, records);
  if (out || domain_is_unreachable (planner, now_ms))
    export_queued (planner, queued, pick, context, records);
  else if (queued->len > 0 && iv_planner_may_start (planner, now_ms))
    bind_queued (planner, now_ms, queued, records);
  g_ptr_array_free (queued, TRUE);
}

const char *
iv_planner_wait_reason (const struct iv_planner *planner, const struct iv_task *task, gint64 now_ms)
{
  const struct iv_job *job = iv_cell_job (planner->cell, task->job);
  GHashTableIter iter;
  gpointer value;
  gboolean fits_any_worker = FALSE;
  if (planner->config && iv_config_domain_out (planner->config, planner->domain))
    return "the failure domain is out of service";
  if (!iv_planner_may_start (planner, now_ms))
    return "no fresh evidence from the log";
  g_hash_table_iter_init (&iter, planner->cell->workers);
  while (g_hash_table_iter_next (&iter, NULL, &value))
    {
      const ivx_size *size = &((struct iv_worker *)value)->info.size;
      fits_any_worker |= job->item.size.cpu_milli <= size->cpu_milli
                         && job->item.size.memory_mib <= size->memory_mib
                         && job->item.size.accelerators <= size->accelerators;
    }
  return fits_any_worker ? "waits for room or quota" : "parked: larger than every host";
}
