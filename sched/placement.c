#include "placement.h"

#include <string.h>

#define RESIDENTS_MAX 64
#define SCAN_MAX 64       /* fitting workers compared for one task */
#define AVOID_COST 1e6    /* for a worker on which the job has failed */
#define GUARD_COST 1e3    /* for a worker on which a service would be slowed beyond `guard` */
#define SERVICE_WORKERS 6 /* workers over which a service's instances in one domain are spread */
#define FIRST_SERVICE_COST 0.5 /* for a worker without services; an instance too many costs 1 */
#define RACK_COST 0.05         /* for each other instance in the rack, divided by the limit */

/* The tasks of one workload on a worker. */
struct resident
{
  guint32 workload;
  gboolean service;
  guint32 tasks;
  guint32 cpu_milli;
};

/* A usable worker. */
struct candidate
{
  guint32 id;
  guint32 rack;
  ivx_size capacity;
  ivx_size available;
  guint count;
  struct resident residents[RESIDENTS_MAX];
};

struct iv_placement
{
  struct iv_interference *model;
  const struct iv_weights *weights;
  enum iv_strategy strategy;
  gint64 now_ms;
  GArray *candidates;     /* of struct candidate */
  GHashTable *positions;  /* worker id to index in `candidates`, plus 1 */
  GHashTable *rack_tasks; /* rack and workload to number of tasks */
  GArray *sizes;          /* of ivx_size: capacity of every worker, usable or not */
};

static struct candidate *
candidate_at (const struct iv_placement *pass, guint index)
{
  return &g_array_index (pass->candidates, struct candidate, index);
}

static struct candidate *
find_candidate (const struct iv_placement *pass, guint32 worker)
{
  guint position
      = GPOINTER_TO_UINT (g_hash_table_lookup (pass->positions, GUINT_TO_POINTER (worker)));
  return position ? candidate_at (pass, position - 1) : NULL;
}

static gpointer
rack_key (guint32 rack, guint32 workload)
{
  return GSIZE_TO_POINTER ((gsize)rack << 32 | workload);
}

static guint
rack_task_count (const struct iv_placement *pass, guint32 rack, guint32 workload)
{
  return GPOINTER_TO_UINT (g_hash_table_lookup (pass->rack_tasks, rack_key (rack, workload)));
}

static struct resident *
find_resident (struct candidate *candidate, guint32 workload)
{
  for (guint i = 0; i < candidate->count; i++)
    if (candidate->residents[i].workload == workload)
      return &candidate->residents[i];
  return NULL;
}

static void
add_resident (struct iv_placement *pass, struct candidate *candidate, guint32 workload,
              const ivx_item *item)
{
  struct resident *resident = find_resident (candidate, workload);
  if (resident == NULL && candidate->count < RESIDENTS_MAX)
    {
      resident = &candidate->residents[candidate->count++];
      *resident = (struct resident){ .workload = workload, .service = item->type == IVX_SERVICE };
    }
  if (resident)
    {
      resident->tasks++;
      resident->cpu_milli += item->size.cpu_milli;
    }
  g_hash_table_insert (pass->rack_tasks, rack_key (candidate->rack, workload),
                       GUINT_TO_POINTER (rack_task_count (pass, candidate->rack, workload) + 1));
}

static void
collect_candidates (struct iv_placement *pass, const struct iv_cell *cell,
                    iv_worker_usable_fn usable, void *context)
{
  GHashTableIter iter;
  gpointer value;
  g_hash_table_iter_init (&iter, cell->workers);
  while (g_hash_table_iter_next (&iter, NULL, &value))
    {
      const struct iv_worker *worker = value;
      struct candidate candidate
          = { .id = worker->id, .capacity = worker->info.size, .available = worker->info.size };
      g_array_append_val (pass->sizes, worker->info.size);
      if (!usable (context, worker))
        continue;
      candidate.rack = g_str_hash (worker->info.rack);
      candidate.available.cpu_milli -= worker->committed.cpu_milli;
      candidate.available.memory_mib -= worker->committed.memory_mib;
      candidate.available.accelerators -= worker->committed.accelerators;
      g_array_append_val (pass->candidates, candidate);
      g_hash_table_insert (pass->positions, GUINT_TO_POINTER (candidate.id),
                           GUINT_TO_POINTER (pass->candidates->len));
    }
}

static void
collect_residents (struct iv_placement *pass, const struct iv_cell *cell)
{
  GHashTableIter iter;
  gpointer value;
  g_hash_table_iter_init (&iter, cell->tasks);
  while (g_hash_table_iter_next (&iter, NULL, &value))
    {
      const struct iv_task *task = value;
      struct candidate *candidate
          = task->state == IV_TASK_BOUND ? find_candidate (pass, task->worker) : NULL;
      const ivx_item *item;
      if (candidate == NULL)
        continue;
      item = &iv_cell_job (cell, task->job)->item;
      add_resident (pass, candidate, iv_interference_workload (pass->model, item->name), item);
    }
}

struct iv_placement *
iv_placement_begin (const struct iv_cell *cell, struct iv_interference *model,
                    const struct iv_weights *weights, enum iv_strategy strategy,
                    iv_worker_usable_fn usable, void *context, gint64 now_ms)
{
  struct iv_placement *pass = g_new0 (struct iv_placement, 1);
  pass->model = model;
  pass->weights = weights;
  pass->strategy = strategy;
  pass->now_ms = now_ms;
  pass->candidates = g_array_new (FALSE, FALSE, sizeof (struct candidate));
  pass->sizes = g_array_new (FALSE, FALSE, sizeof (ivx_size));
  pass->positions = g_hash_table_new (NULL, NULL);
  pass->rack_tasks = g_hash_table_new (NULL, NULL);
  collect_candidates (pass, cell, usable, context);
  collect_residents (pass, cell);
  return pass;
}

void
iv_placement_end (struct iv_placement *pass)
{
  g_array_free (pass->candidates, TRUE);
  g_array_free (pass->sizes, TRUE);
  g_hash_table_destroy (pass->positions);
  g_hash_table_destroy (pass->rack_tasks);
  g_free (pass);
}

static gboolean
fits (const ivx_size *size, const ivx_size *available)
{
  return size->cpu_milli <= available->cpu_milli && size->memory_mib <= available->memory_mib
         && size->accelerators <= available->accelerators;
}

static double
pair_slowdown (const struct iv_placement *pass, guint32 victim, guint32 other, double share)
{
  if (pass->strategy == IV_STRATEGY_NO_MODEL)
    return share;
  return iv_interference_slowdown (pass->model, victim, other, share, pass->weights->caution,
                                   pass->now_ms);
}

/* Weighted slowdown that the new task causes to the tasks on the worker, and they to it. */
static double
interference_cost (const struct iv_placement *pass, const struct candidate *candidate,
                   guint32 workload, const ivx_item *item)
{
  double total = candidate->capacity.cpu_milli;
  double share = item->size.cpu_milli / total;
  double own_weight = item->type == IVX_SERVICE ? pass->weights->tail : pass->weights->throughput;
  double cost = 0;
  for (guint i = 0; i < candidate->count; i++)
    {
      const struct resident *r = &candidate->residents[i];
      double weight = r->service ? pass->weights->tail : pass->weights->throughput;
      /* Instances of one service are sized to run on the same worker. */
      if (r->service && r->workload == workload)
        continue;
      cost += weight * r->tasks * pair_slowdown (pass, r->workload, workload, share);
      cost += own_weight * pair_slowdown (pass, workload, r->workload, r->cpu_milli / total);
    }
  return cost;
}

/* Expected slowdown of the service @a victim if @a workload gets @a milli more of the worker. */
static double
expected_slowdown (const struct iv_placement *pass, const struct candidate *candidate,
                   guint32 victim, guint32 workload, guint32 milli)
{
  double total = candidate->capacity.cpu_milli;
  double slowdown = pair_slowdown (pass, victim, workload, milli / total);
  for (guint i = 0; i < candidate->count; i++)
    if (candidate->residents[i].workload != victim)
      slowdown += pair_slowdown (pass, victim, candidate->residents[i].workload,
                                 candidate->residents[i].cpu_milli / total);
  return slowdown;
}

static gboolean
exceeds_guard (const struct iv_placement *pass, const struct candidate *candidate, guint32 workload,
               const ivx_item *item)
{
  double guard = pass->weights->guard;
  if (guard <= 0 || pass->strategy != IV_STRATEGY_INTERFERENCE)
    return FALSE;
  if (item->type == IVX_SERVICE)
    return expected_slowdown (pass, candidate, workload, workload, 0) > guard;
  for (guint i = 0; i < candidate->count; i++)
    if (candidate->residents[i].service && candidate->residents[i].tasks > 0
        && expected_slowdown (pass, candidate, candidate->residents[i].workload, workload,
                              item->size.cpu_milli)
               > guard)
      return TRUE;
  return FALSE;
}

static double
packing_cost (const struct candidate *candidate, const ivx_item *item)
{
  double available = (double)(candidate->available.cpu_milli - item->size.cpu_milli)
                     / candidate->capacity.cpu_milli;
  double wasted = item->size.accelerators == 0 && candidate->capacity.accelerators > 0 ? 1 : 0;
  return available + wasted;
}

/* A service uses few workers, so that the others are free for batch tasks that would slow it, but
   enough of them to tolerate the loss of some. */
static double
spread_cost (struct iv_placement *pass, struct candidate *candidate, guint32 workload,
             const ivx_item *item)
{
  const struct resident *same = find_resident (candidate, workload);
  guint limit = MAX (1, (item->tasks + SERVICE_WORKERS - 1) / SERVICE_WORKERS);
  guint placed = same ? same->tasks : 0;
  double cost = placed >= limit ? placed - limit + 1 : 0;
  gboolean first_service = TRUE;
  for (guint i = 0; i < candidate->count; i++)
    first_service &= !candidate->residents[i].service || candidate->residents[i].tasks == 0;
  return cost + (first_service ? FIRST_SERVICE_COST : 0)
         + RACK_COST * rack_task_count (pass, candidate->rack, workload) / limit;
}

static double
cost_of (struct iv_placement *pass, struct candidate *candidate, guint32 workload,
         const ivx_item *item)
{
  double cost = interference_cost (pass, candidate, workload, item);
  cost += pass->weights->packing * packing_cost (candidate, item);
  if (item->type == IVX_SERVICE)
    cost += pass->weights->spread * spread_cost (pass, candidate, workload, item);
  return cost;
}

static void
reserve (struct iv_placement *pass, struct candidate *candidate, guint32 workload,
         const ivx_item *item)
{
  candidate->available.cpu_milli -= item->size.cpu_milli;
  candidate->available.memory_mib -= item->size.memory_mib;
  candidate->available.accelerators -= item->size.accelerators;
  add_resident (pass, candidate, workload, item);
}

static struct candidate *
first_fit (struct iv_placement *pass, const ivx_item *item)
{
  struct candidate *first = NULL;
  for (guint i = 0; i < pass->candidates->len; i++)
    {
      struct candidate *candidate = candidate_at (pass, i);
      if (fits (&item->size, &candidate->available) && (first == NULL || candidate->id < first->id))
        first = candidate;
    }
  return first;
}

static gboolean
is_avoided (GHashTable *avoid, const struct candidate *candidate)
{
  gint64 id = candidate->id;
  return avoid != NULL && g_hash_table_contains (avoid, &id);
}

static struct candidate *
least_cost (struct iv_placement *pass, guint32 workload, const ivx_item *item, guint32 seed,
            GHashTable *avoid, gboolean may_wait)
{
  struct candidate *best = NULL;
  double best_cost = 0;
  guint scanned = 0;
  for (guint i = 0; i < pass->candidates->len && scanned < SCAN_MAX; i++)
    {
      struct candidate *candidate = candidate_at (pass, (seed + i) % pass->candidates->len);
      double cost;
      if (!fits (&item->size, &candidate->available))
        continue;
      scanned++;
      cost = cost_of (pass, candidate, workload, item);
      if (is_avoided (avoid, candidate))
        cost += AVOID_COST;
      if (exceeds_guard (pass, candidate, workload, item))
        {
          if (may_wait && item->type == IVX_JOB)
            continue;
          cost += GUARD_COST;
        }
      if (best == NULL || cost < best_cost)
        {
          best = candidate;
          best_cost = cost;
        }
    }
  return best;
}

guint32
iv_placement_choose (struct iv_placement *pass, const ivx_item *item, guint32 seed,
                     GHashTable *avoid, gboolean may_wait)
{
  guint32 workload = iv_interference_workload (pass->model, item->name);
  struct candidate *candidate = pass->strategy == IV_STRATEGY_FIRST_FIT
                                    ? first_fit (pass, item)
                                    : least_cost (pass, workload, item, seed, avoid, may_wait);
  if (candidate == NULL)
    return IV_NO_WORKER;
  reserve (pass, candidate, workload, item);
  return candidate->id;
}

void
iv_placement_release (struct iv_placement *pass, const ivx_item *item, guint32 worker)
{
  struct candidate *candidate = find_candidate (pass, worker);
  guint32 workload = iv_interference_workload (pass->model, item->name);
  struct resident *resident = find_resident (candidate, workload);
  candidate->available.cpu_milli += item->size.cpu_milli;
  candidate->available.memory_mib += item->size.memory_mib;
  candidate->available.accelerators += item->size.accelerators;
  if (resident)
    {
      resident->tasks--;
      resident->cpu_milli -= item->size.cpu_milli;
    }
  g_hash_table_insert (pass->rack_tasks, rack_key (candidate->rack, workload),
                       GUINT_TO_POINTER (rack_task_count (pass, candidate->rack, workload) - 1));
}

gboolean
iv_placement_fits_any_worker (const struct iv_placement *pass, const ivx_size *size)
{
  for (guint i = 0; i < pass->sizes->len; i++)
    if (fits (size, &g_array_index (pass->sizes, ivx_size, i)))
      return TRUE;
  return pass->sizes->len == 0;
}
