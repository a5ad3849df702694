#include "owner_private.h"

#include "sharing.h"

#include <string.h>

#define BATCH_DEMAND_KEEP_PERCENT 97 /* of the recent maximum, kept by each measurement */
#define BATCH_RESERVE_MAX_PERCENT 10 /* of the capacity: upper limit of the reserve */

static gboolean
is_usable (const struct iv_owner *owner, const struct iv_fleet_worker *worker)
{
  return worker->listed && worker->fenced && !worker->draining && worker->failures == 0
         && owner->effects.is_domain_in_service (owner->effects.context, worker->domain);
}

/* CPU demand of long-running tasks that are not done, and of batch tasks that are ready. */
struct demand
{
  gint64 long_running_milli;
  gint64 long_running_tasks;
  gint64 largest_milli;  /* of the long-running tasks */
  gint64 unplaced_milli; /* of the long-running tasks, those without a worker */
  gint64 batch_milli;
};

static void
add_stage (struct demand *demand, const struct iv_occurrence *occurrence,
           const struct iv_stage *stage)
{
  guint unfinished = stage->step->count - stage->done - stage->away;
  if (stage->step->flags & IVJ_BEST_EFFORT)
    return;
  if (stage->step->flags & IVJ_LONG_RUNNING)
    {
      demand->long_running_milli += (gint64)stage->step->cpu_milli * unfinished;
      demand->long_running_tasks += unfinished;
      demand->largest_milli = MAX (demand->largest_milli, (gint64)stage->step->cpu_milli);
      demand->unplaced_milli += (gint64)stage->step->cpu_milli * iv_stage_lacking (stage);
    }
  else if (iv_stage_ready (occurrence, stage))
    demand->batch_milli
        += (gint64)stage->step->cpu_milli * (unfinished - MIN (unfinished, stage->held));
}

static struct demand
count_demand (const struct iv_owner *owner)
{
  struct demand demand = { 0 };
  for (guint i = 0; i < owner->execs->len; i++)
    {
      const struct iv_job_exec *exec = g_ptr_array_index (owner->execs, i);
      for (guint j = 0; j < exec->open->len; j++)
        {
          const struct iv_occurrence *occurrence = g_ptr_array_index (exec->open, j);
          for (guint k = 0; k < exec->job->spec.steps.steps_len; k++)
            add_stage (&demand, occurrence, &occurrence->stages[k]);
        }
    }
  return demand;
}

static gint64
largest_rack_milli (const struct iv_owner *owner)
{
  GHashTable *racks = g_hash_table_new_full (g_str_hash, g_str_equal, NULL, g_free);
  GHashTableIter iter;
  gpointer value;
  gint64 largest = 0;
  g_hash_table_iter_init (&iter, owner->fleet->by_id);
  while (g_hash_table_iter_next (&iter, NULL, &value))
    {
      const struct iv_fleet_worker *worker = value;
      gint64 *sum = g_hash_table_lookup (racks, worker->rack);
      if (!is_usable (owner, worker))
        continue;
      if (sum == NULL)
        {
          sum = g_new0 (gint64, 1);
          g_hash_table_insert (racks, worker->rack, sum);
        }
      *sum += worker->capacity.cpu_milli;
      largest = MAX (largest, *sum);
    }
  g_hash_table_destroy (racks);
  return largest;
}

/* Cores of @a worker for long-running tasks in pieces of @a piece_milli: what is left of a smaller
   one is of no use to them. */
static gint64
whole_pieces_milli (const struct iv_fleet_worker *worker, gint64 piece_milli)
{
  gint64 free_milli = iv_worker_reclaimable (worker).cpu_milli;
  return piece_milli > 0 ? free_milli / piece_milli * piece_milli : free_milli;
}

/* Long-running jobs would take every core that becomes free and keep it, so that batch jobs, which
   come and go, would find fewer and fewer. The recent maximum of their demand is reserved. */
gboolean
iv_owner_free_capacity (struct iv_owner *owner, struct iv_cell_capacity *capacity)
{
  struct demand demand = count_demand (owner);
  gint64 mean_milli = demand.long_running_milli / MAX (demand.long_running_tasks, 1);
  gint64 total_milli = 0;
  GHashTableIter iter;
  gpointer value;
  *capacity = (struct iv_cell_capacity){ 0 };
  if (!owner->previous_runs_known)
    return FALSE;
  g_hash_table_iter_init (&iter, owner->fleet->by_id);
  while (g_hash_table_iter_next (&iter, NULL, &value))
    {
      const struct iv_fleet_worker *worker = value;
      if (!is_usable (owner, worker))
        continue;
      total_milli += worker->capacity.cpu_milli;
      capacity->free_milli += iv_worker_free_milli (worker);
      capacity->best_effort_milli += MAX (0, iv_sharing_spare_milli (worker));
      capacity->evacuation_milli += whole_pieces_milli (worker, mean_milli);
      capacity->evacuation_large_milli += whole_pieces_milli (worker, demand.largest_milli);
    }
  capacity->evacuation_milli -= demand.unplaced_milli;
  capacity->evacuation_large_milli -= demand.unplaced_milli;
  owner->mean_long_running_milli = mean_milli;
  /* A long-running job stays in its cell once it has started. */
  if (owner->limits.spare_rack)
    total_milli -= largest_rack_milli (owner);
  owner->batch_demand_milli
      = MAX (demand.batch_milli, owner->batch_demand_milli * BATCH_DEMAND_KEEP_PERCENT / 100);
  capacity->long_running_milli
      = total_milli - demand.long_running_milli
        - MIN (owner->batch_demand_milli, total_milli * BATCH_RESERVE_MAX_PERCENT / 100);
  return TRUE;
}

/* Tasks of one step that wait, and what each needs. */
struct waiting
{
  const ivj_job *spec;
  const ivj_step *step;
  struct iv_piece need;
  guint count;
};

static gint
compare_needs (gconstpointer a, gconstpointer b)
{
  const struct waiting *x = a;
  const struct waiting *y = b;
  return (x->need.cpu_milli < y->need.cpu_milli) - (x->need.cpu_milli > y->need.cpu_milli);
}

/* The long-running tasks that wait, by step, large ones first. */
static GArray *
list_waiting (const struct iv_owner *owner)
{
  GArray *rows = g_array_new (FALSE, FALSE, sizeof (struct waiting));
  for (guint i = 0; i < owner->execs->len; i++)
    {
      const struct iv_job_exec *exec = g_ptr_array_index (owner->execs, i);
      for (guint j = 0; j < exec->open->len; j++)
        {
          const struct iv_occurrence *occurrence = g_ptr_array_index (exec->open, j);
          for (guint k = 0; k < exec->job->spec.steps.steps_len; k++)
            {
              const struct iv_stage *stage = &occurrence->stages[k];
              const ivj_step *step = stage->step;
              struct waiting row = {
                &exec->job->spec, step, { step->cpu_milli, step->mem_mb }, iv_stage_lacking (stage)
              };
              if ((step->flags & (IVJ_LONG_RUNNING | IVJ_BEST_EFFORT)) == IVJ_LONG_RUNNING
                  && row.count > 0)
                g_array_append_val (rows, row);
            }
        }
    }
  g_array_sort (rows, compare_needs);
  return rows;
}

/* Takes from @a pieces what the tasks of @a row are going to. */
static void
take_waiting (GArray *pieces, const struct waiting *row)
{
  for (guint i = 0; i < row->count && iv_pieces_take (pieces, &row->need); i++)
    ;
}

static void
add_piece (GArray *pieces, const struct iv_fleet_worker *worker)
{
  struct iv_piece piece = iv_worker_reclaimable (worker);
  if (worker->recorded && worker->unsized_runs == 0 && piece.cpu_milli > 0)
    g_array_append_val (pieces, piece);
}

static GArray *
list_pieces (const struct iv_owner *owner)
{
  GArray *pieces = g_array_new (FALSE, FALSE, sizeof (struct iv_piece));
  GHashTableIter iter;
  gpointer value;
  g_hash_table_iter_init (&iter, owner->fleet->by_id);
  while (g_hash_table_iter_next (&iter, NULL, &value))
    {
      const struct iv_fleet_worker *worker = value;
      if (is_usable (owner, worker))
        add_piece (pieces, worker);
    }
  return pieces;
}

GArray *
iv_owner_free_pieces (const struct iv_owner *owner)
{
  GArray *pieces;
  GArray *waiting;
  if (!owner->previous_runs_known)
    return NULL;
  pieces = list_pieces (owner);
  waiting = list_waiting (owner);
  for (guint i = 0; i < waiting->len; i++)
    take_waiting (pieces, &g_array_index (waiting, struct waiting, i));
  g_array_unref (waiting);
  iv_pieces_keep_largest (pieces, IV_PIECES_MAX);
  return pieces;
}

static void
add_to_offer (GPtrArray *offers, const struct iv_fleet_worker *worker, const char *label)
{
  const struct iv_resources *capacity = &worker->capacity;
  struct iv_offer *offer = iv_offers_row (offers, worker->service, label, capacity->accelerators);
  offer->workers++;
  offer->largest.cpu_milli = MAX (offer->largest.cpu_milli, capacity->cpu_milli);
  offer->largest.mem_mb = MAX (offer->largest.mem_mb, capacity->mem_mb);
  if (offer->pieces == NULL)
    offer->pieces = g_array_new (FALSE, FALSE, sizeof (struct iv_piece));
  add_piece (offer->pieces, worker);
}

static void
add_worker (GPtrArray *offers, const struct iv_fleet_worker *worker)
{
  add_to_offer (offers, worker, "");
  for (guint i = 0; worker->labels && worker->labels[i]; i++)
    if (*worker->labels[i] && strcmp (worker->labels[i], worker->rack) != 0)
      add_to_offer (offers, worker, worker->labels[i]);
}

/* Keeps the pieces of those rows that are not of all @a workers of the cell, without what tasks
   that wait are going to take. */
static void
settle_pieces (const struct iv_owner *owner, GPtrArray *offers, guint workers)
{
  GArray *waiting = list_waiting (owner);
  for (guint i = 0; i < offers->len; i++)
    {
      struct iv_offer *offer = g_ptr_array_index (offers, i);
      if (offer->workers == workers)
        g_clear_pointer (&offer->pieces, g_array_unref);
    }
  for (guint i = 0; i < waiting->len; i++)
    {
      const struct waiting *row = &g_array_index (waiting, struct waiting, i);
      struct iv_queue_policy policy;
      GArray *pieces;
      if (!owner->effects.queue (owner->effects.context, row->spec->host, row->spec->prefix,
                                 &policy))
        continue;
      pieces = iv_offers_pieces (offers, policy.service, row->step);
      if (pieces)
        take_waiting (pieces, row);
    }
  for (guint i = 0; i < offers->len; i++)
    {
      struct iv_offer *offer = g_ptr_array_index (offers, i);
      if (offer->pieces)
        iv_pieces_keep_largest (offer->pieces, IV_PIECES_MAX);
    }
  g_array_unref (waiting);
}

GPtrArray *
iv_owner_offers (const struct iv_owner *owner)
{
  GPtrArray *offers;
  GHashTableIter iter;
  gpointer value;
  guint workers = 0;
  if (!owner->previous_runs_known)
    return NULL;
  offers = iv_offers_new ();
  g_hash_table_iter_init (&iter, owner->fleet->by_id);
  while (offers->len <= IV_OFFERS_MAX && g_hash_table_iter_next (&iter, NULL, &value))
    if (is_usable (owner, value))
      {
        add_worker (offers, value);
        workers++;
      }
  if (offers->len <= IV_OFFERS_MAX)
    {
      settle_pieces (owner, offers, workers);
      return offers;
    }
  g_ptr_array_unref (offers);
  return NULL;
}
