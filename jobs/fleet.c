#include "fleet.h"

#include <string.h>

struct iv_listed_worker *
iv_listed_worker_copy (const struct iv_listed_worker *listed)
{
  struct iv_listed_worker *copy = g_memdup2 (listed, sizeof *listed);
  copy->id = g_strdup (listed->id);
  copy->service = g_strdup (listed->service);
  copy->address = g_strdup (listed->address);
  copy->domain = g_strdup (listed->domain);
  copy->rack = g_strdup (listed->rack);
  copy->labels = g_strdupv ((char **)listed->labels);
  return copy;
}

void
iv_listed_worker_free (struct iv_listed_worker *listed)
{
  if (listed == NULL)
    return;
  g_free ((char *)listed->id);
  g_free ((char *)listed->service);
  g_free ((char *)listed->address);
  g_free ((char *)listed->domain);
  g_free ((char *)listed->rack);
  g_strfreev ((char **)listed->labels);
  g_free (listed);
}

static void
free_worker (gpointer data)
{
  struct iv_fleet_worker *worker = data;
  iv_listed_worker_free (worker->claim);
  g_ptr_array_set_free_func (worker->runs, g_free);
  g_ptr_array_free (worker->runs, TRUE);
  g_array_free (worker->lost_starts, TRUE);
  g_array_free (worker->unconfirmed, TRUE);
  g_free (worker->id);
  g_free (worker->service);
  g_free (worker->address);
  g_free (worker->domain);
  g_free (worker->rack);
  g_strfreev (worker->labels);
  g_free (worker);
}

struct iv_fleet *
iv_fleet_new (gint64 term)
{
  struct iv_fleet *fleet = g_new0 (struct iv_fleet, 1);
  fleet->fence = term;
  fleet->fence_max = (term / IV_FENCES_PER_TERM + 1) * IV_FENCES_PER_TERM - 1;
  fleet->by_id = g_hash_table_new_full (g_str_hash, g_str_equal, NULL, free_worker);
  fleet->by_handle = g_hash_table_new (NULL, NULL);
  fleet->reserved = g_hash_table_new (NULL, NULL);
  return fleet;
}

void
iv_fleet_free (struct iv_fleet *fleet)
{
  if (fleet == NULL)
    return;
  g_hash_table_destroy (fleet->by_handle);
  g_hash_table_destroy (fleet->reserved);
  g_hash_table_destroy (fleet->by_id);
  g_free (fleet);
}

static void
replace_string (char **field, const char *value)
{
  if (g_strcmp0 (*field, value) == 0)
    return;
  g_free (*field);
  *field = g_strdup (value);
}

/* A new instance keeps no state of the previous one: its clock, its fence and the sequence
   numbers of its run ends start from the beginning. */
static void
reset_instance (struct iv_fleet *fleet, struct iv_fleet_worker *worker, gint64 start_time_ms)
{
  if (worker->handle > 0 && fleet->fence < fleet->fence_max)
    fleet->fence++;
  worker->fence = fleet->fence;
  g_hash_table_remove (fleet->by_handle, GUINT_TO_POINTER (worker->handle));
  worker->handle = ++fleet->next_handle;
  g_hash_table_insert (fleet->by_handle, GUINT_TO_POINTER (worker->handle), worker);
  worker->polling = FALSE;
  worker->start_time_ms = start_time_ms;
  worker->roster_state = IV_ROSTER_ABSENT; /* its address may have changed */
  worker->entry_clock_ms = 0;
  worker->fenced = FALSE;
  worker->left_in_order = worker->draining;
  worker->leaves_clock_ms = 0;
  worker->instance_alive_since_ms = 0;
  worker->replaced = FALSE;
  g_clear_pointer (&worker->claim, iv_listed_worker_free);
  worker->older_clock_ms = 0;
  worker->clock_sampled_at_ms = 0;
  worker->sample_clock_ms = 0;
  worker->lease_end_clock_ms = 0;
  worker->stray_lease_end_clock_ms = IV_LEASE_END_UNKNOWN;
  worker->acked_end = 0;
  worker->processed_end = 0;
  g_array_set_size (worker->unconfirmed, 0);
  worker->failures = 0;
  worker->consecutive_failed_runs = 0;
  worker->quarantined_until_ms = 0;
  worker->next_poll_ms = 0;
}

/* Whether the instance of an older entry goes on writing while the present one, which an entry
   alone has named, has never answered. */
static gboolean
is_older_alive (struct iv_fleet_worker *worker, const struct iv_listed_worker *listed)
{
  gboolean goes_on = worker->older_clock_ms > 0 && listed->start_time_ms == worker->older_start_ms
                     && listed->clock_ms > worker->older_clock_ms;
  worker->older_start_ms = listed->start_time_ms;
  worker->older_clock_ms = listed->clock_ms;
  return goes_on && worker->instance_alive_since_ms == 0;
}

guint32
iv_fleet_reserve_handle (struct iv_fleet *fleet)
{
  return ++fleet->next_handle;
}

void
iv_fleet_set_instance (struct iv_fleet *fleet, struct iv_fleet_worker *worker, gint64 start_time_ms)
{
  reset_instance (fleet, worker, start_time_ms);
  worker->capacity = (struct iv_resources){ 0 };
}

struct iv_fleet_worker *
iv_fleet_update_worker (struct iv_fleet *fleet, const struct iv_listed_worker *listed,
                        gboolean *restarted)
{
  struct iv_fleet_worker *worker = g_hash_table_lookup (fleet->by_id, listed->id);
  *restarted = FALSE;
  if (worker && listed->start_time_ms < worker->start_time_ms && !is_older_alive (worker, listed))
    return worker;
  if (worker == NULL)
    {
      worker = g_new0 (struct iv_fleet_worker, 1);
      worker->id = g_strdup (listed->id);
      worker->runs = g_ptr_array_new ();
      worker->lost_starts = g_array_new (FALSE, FALSE, sizeof (struct iv_lost_start));
      worker->unconfirmed = g_array_new (FALSE, FALSE, sizeof (struct iv_unconfirmed_end));
      reset_instance (fleet, worker, listed->start_time_ms);
      g_hash_table_insert (fleet->by_id, worker->id, worker);
    }
  else if (listed->start_time_ms != worker->start_time_ms)
    {
      *restarted = TRUE;
      reset_instance (fleet, worker, listed->start_time_ms);
    }
  /* History that is read again, or a write that the store carried out late. */
  else if (listed->clock_ms > 0 && listed->clock_ms < worker->entry_clock_ms)
    return worker;
  worker->entry_clock_ms = listed->clock_ms;
  worker->replaced &= g_strcmp0 (worker->address, listed->address) == 0;
  replace_string (&worker->service, listed->service);
  replace_string (&worker->address, listed->address);
  replace_string (&worker->domain, listed->domain);
  replace_string (&worker->rack, listed->rack);
  g_strfreev (worker->labels);
  worker->labels = g_strdupv ((char **)listed->labels);
  worker->capacity = listed->capacity;
  worker->draining = listed->draining;
  worker->leaves_clock_ms = listed->leaves_clock_ms;
  worker->listed = TRUE;
  return worker;
}

struct iv_fleet_worker *
iv_fleet_worker (const struct iv_fleet *fleet, guint32 handle)
{
  return g_hash_table_lookup (fleet->by_handle, GUINT_TO_POINTER (handle));
}

struct iv_fleet_worker *
iv_fleet_find_by_id (const struct iv_fleet *fleet, const char *id)
{
  return g_hash_table_lookup (fleet->by_id, id);
}

void
iv_fleet_remove (struct iv_fleet *fleet, struct iv_fleet_worker *worker)
{
  if (worker->reserved_for)
    g_hash_table_remove (fleet->reserved, worker->reserved_for);
  g_hash_table_remove (fleet->by_handle, GUINT_TO_POINTER (worker->handle));
  g_hash_table_remove (fleet->by_id, worker->id);
}

struct iv_resources
iv_step_resources (const ivj_step *step)
{
  return (struct iv_resources){ step->flags & IVJ_BEST_EFFORT ? 0 : step->cpu_milli, step->mem_mb,
                                step->accelerators };
}

static void
add_resources (struct iv_resources *sum, const struct iv_resources *resources, gint64 sign)
{
  sum->cpu_milli += sign * resources->cpu_milli;
  sum->mem_mb += sign * resources->mem_mb;
  sum->accelerators += sign * resources->accelerators;
}

static gboolean
is_within (const struct iv_resources *resources, const struct iv_resources *capacity)
{
  return resources->cpu_milli <= capacity->cpu_milli && resources->mem_mb <= capacity->mem_mb
         && resources->accelerators <= capacity->accelerators;
}

static void
add_usage (struct iv_run *run, gint64 sign)
{
  struct iv_fleet_worker *worker = run->worker;
  const ivj_step *step = run->step;
  struct iv_resources resources;
  if (step == NULL)
    {
      worker->unsized_runs = (guint)((gint64)worker->unsized_runs + sign);
      return;
    }
  resources = iv_step_resources (step);
  add_resources (&worker->used, &resources, sign);
  if (step->flags & IVJ_BEST_EFFORT)
    worker->best_effort_cpu_milli += sign * step->cpu_milli;
  if (!(step->flags & (IVJ_BEST_EFFORT | IVJ_LONG_RUNNING)))
    worker->batch_tasks = (guint)((gint64)worker->batch_tasks + sign);
  if (step->target_ms > 0)
    {
      worker->latency_tasks = (guint)((gint64)worker->latency_tasks + sign);
      worker->latency_cpu_milli += sign * step->cpu_milli;
    }
}

struct iv_run *
iv_run_add (struct iv_fleet_worker *worker, const struct iv_task_name *name, const ivj_step *step,
            gint64 number, gint64 now_ms)
{
  struct iv_run *run = g_new0 (struct iv_run, 1);
  run->worker = worker;
  run->name = *name;
  run->step = step;
  run->number = number;
  run->sent_ms = now_ms;
  run->progress_changed_ms = now_ms;
  run->cpu_limit_percent = IV_FULL_SPEED_PERCENT;
  run->cpu_limit_sent_percent = IV_FULL_SPEED_PERCENT;
  add_usage (run, 1);
  g_ptr_array_add (worker->runs, run);
  return run;
}

struct iv_run *
iv_run_find (const struct iv_fleet_worker *worker, const struct iv_task_name *name, gint64 number)
{
  for (guint i = 0; i < worker->runs->len; i++)
    {
      struct iv_run *run = g_ptr_array_index (worker->runs, i);
      if ((number == 0 || run->number == number) && run->name.index == name->index
          && run->name.step == name->step && run->name.occurrence == name->occurrence
          && strcmp (run->name.job, name->job) == 0)
        return run;
    }
  return NULL;
}

void
iv_run_remove (struct iv_run *run)
{
  add_usage (run, -1);
  run->worker->suspects -= run->suspect ? 1 : 0;
  g_ptr_array_remove_fast (run->worker->runs, run);
  g_free (run);
}

gint64
iv_worker_clock (const struct iv_fleet_worker *worker, gint64 now_ms)
{
  return worker->sample_clock_ms + (now_ms - worker->clock_sampled_at_ms);
}

gint64
iv_worker_clock_min (const struct iv_fleet_worker *worker, gint64 now_ms)
{
  gint64 elapsed_ms = now_ms - worker->clock_sampled_at_ms;
  return worker->sample_clock_ms + elapsed_ms - elapsed_ms * IV_WORKER_CLOCK_SLOW_PERCENT / 100;
}

void
iv_worker_refused (struct iv_fleet_worker *worker, const ivj_step *step)
{
  struct iv_resources *capacity = &worker->capacity;
  const struct iv_resources *used = &worker->used;
  if (step->cpu_milli > 0 && !(step->flags & IVJ_BEST_EFFORT))
    capacity->cpu_milli = MIN (capacity->cpu_milli, used->cpu_milli + step->cpu_milli - 1);
  if (step->mem_mb > 0)
    capacity->mem_mb = MIN (capacity->mem_mb, used->mem_mb + step->mem_mb - 1);
  if (step->accelerators > 0)
    capacity->accelerators
        = MIN (capacity->accelerators, used->accelerators + step->accelerators - 1);
}

gint64
iv_worker_free_milli (const struct iv_fleet_worker *worker)
{
  return MAX (0, worker->capacity.cpu_milli - worker->used.cpu_milli);
}

gboolean
iv_worker_has_capacity (const struct iv_fleet_worker *worker, const ivj_step *step)
{
  gint64 cpu = step->flags & IVJ_BEST_EFFORT ? 0 : step->cpu_milli;
  return worker->unsized_runs == 0 && worker->used.cpu_milli + cpu <= worker->capacity.cpu_milli
         && worker->used.mem_mb + step->mem_mb <= worker->capacity.mem_mb
         && worker->used.accelerators + step->accelerators <= worker->capacity.accelerators;
}

static double
shortage (gint64 needed, gint64 used, gint64 capacity)
{
  return (double)(used + needed - capacity) / (double)MAX (capacity, 1);
}

double
iv_worker_shortage (const struct iv_fleet_worker *worker, const ivj_step *step)
{
  struct iv_resources needed = iv_step_resources (step);
  const struct iv_resources *used = &worker->used;
  const struct iv_resources *capacity = &worker->capacity;
  double worst = shortage (needed.cpu_milli, used->cpu_milli, capacity->cpu_milli);
  worst = MAX (worst, shortage (needed.mem_mb, used->mem_mb, capacity->mem_mb));
  return MAX (worst, shortage (needed.accelerators, used->accelerators, capacity->accelerators));
}

/* What the runs on @a worker reserve that neither end by themselves nor are being stopped. */
static struct iv_resources
long_running_resources (const struct iv_fleet_worker *worker)
{
  struct iv_resources sum = { 0 };
  for (guint i = 0; i < worker->runs->len; i++)
    {
      const struct iv_run *run = g_ptr_array_index (worker->runs, i);
      struct iv_resources resources;
      if (run->step == NULL || run->phase == IV_RUN_PHASE_STOPPING
          || !(run->step->flags & IVJ_LONG_RUNNING))
        continue;
      resources = iv_step_resources (run->step);
      add_resources (&sum, &resources, 1);
    }
  return sum;
}

struct iv_piece
iv_worker_reclaimable (const struct iv_fleet_worker *worker)
{
  struct iv_resources kept = long_running_resources (worker);
  return (struct iv_piece){ MAX (0, worker->capacity.cpu_milli - kept.cpu_milli),
                            MAX (0, worker->capacity.mem_mb - kept.mem_mb) };
}

gboolean
iv_worker_can_hold (const struct iv_fleet_worker *worker, const ivj_step *step)
{
  struct iv_resources kept = long_running_resources (worker);
  struct iv_resources needed = iv_step_resources (step);
  add_resources (&kept, &needed, 1);
  return is_within (&kept, &worker->capacity);
}

/* How often @a needed can be taken from what @a used leaves of @a capacity. */
static guint
count_within (const struct iv_resources *needed, const struct iv_resources *used,
              const struct iv_resources *capacity)
{
  gint64 count = G_MAXUINT;
  if (!is_within (used, capacity))
    return 0;
  if (needed->cpu_milli > 0)
    count = MIN (count, (capacity->cpu_milli - used->cpu_milli) / needed->cpu_milli);
  if (needed->mem_mb > 0)
    count = MIN (count, (capacity->mem_mb - used->mem_mb) / needed->mem_mb);
  if (needed->accelerators > 0)
    count = MIN (count, (capacity->accelerators - used->accelerators) / needed->accelerators);
  return (guint)count;
}

guint
iv_worker_count_fitting (const struct iv_fleet_worker *worker, const ivj_step *step)
{
  struct iv_resources needed = iv_step_resources (step);
  return worker->unsized_runs == 0 ? count_within (&needed, &worker->used, &worker->capacity) : 0;
}

guint
iv_worker_count_beside (const struct iv_fleet_worker *worker, const ivj_step *step,
                        const struct iv_resources *used)
{
  struct iv_resources needed = iv_step_resources (step);
  return count_within (&needed, used, &worker->capacity);
}

guint
iv_worker_count_holding (const struct iv_fleet_worker *worker, const ivj_step *step)
{
  struct iv_resources kept = long_running_resources (worker);
  struct iv_resources needed = iv_step_resources (step);
  return count_within (&needed, &kept, &worker->capacity);
}

guint
iv_worker_count_empty (const struct iv_fleet_worker *worker, const ivj_step *step)
{
  static const struct iv_resources none;
  struct iv_resources needed = iv_step_resources (step);
  return count_within (&needed, &none, &worker->capacity);
}
