#include "placement.h"

#include <string.h>

#define RESIDENTS_MAX 64
#define SCAN_MAX 64 /* workers looked at for one task */
#define AVOID_COST 1e6
#define GUARD_COST 1e3
#define SERVICE_HOSTS 6  /* hosts that the instances of a service in one domain are spread over */
#define OPENING_COST 0.5 /* of a host without a service, in parts of an instance too many */
#define RACK_COST 0.05

/* One workload on a worker. */
struct resident
{
  guint32 workload;
  gboolean service;
  guint32 tasks;
  guint32 cpu_milli;
};

struct host
{
  guint32 id;
  guint32 rack;
  ivx_size all;
  ivx_size left;
  guint count;
  struct resident residents[RESIDENTS_MAX];
};

struct iv_placement
{
  struct iv_interference *model;
  const struct iv_weights *weights;
  enum iv_strategy strategy;
  gint64 now_ms;
  GArray *hosts;          /* of struct host */
  GHashTable *places;     /* worker id to index + 1 */
  GHashTable *rack_tasks; /* rack and workload to number of tasks */
  GArray *shapes;         /* of ivx_size: every worker, usable or not */
};

static struct host *
host_at (const struct iv_placement *pass, guint index)
{
  return &g_array_index (pass->hosts, struct host, index);
}

static struct host *
host_of (const struct iv_placement *pass, guint32 worker)
{
  guint place = GPOINTER_TO_UINT (g_hash_table_lookup (pass->places, GUINT_TO_POINTER (worker)));
  return place ? host_at (pass, place - 1) : NULL;
}

static gpointer
rack_key (guint32 rack, guint32 workload)
{
  return GSIZE_TO_POINTER ((gsize)rack << 32 | workload);
}

static guint
rack_count (const struct iv_placement *pass, guint32 rack, guint32 workload)
{
  return GPOINTER_TO_UINT (g_hash_table_lookup (pass->rack_tasks, rack_key (rack, workload)));
}

static struct resident *
find_resident (struct host *host, guint32 workload)
{
  for (guint i = 0; i < host->count; i++)
    if (host->residents[i].workload == workload)
      return &host->residents[i];
  return NULL;
}

static void
add_resident (struct iv_placement *pass, struct host *host, guint32 workload, const ivx_item *item)
{
  struct resident *resident = find_resident (host, workload);
  if (resident == NULL && host->count < RESIDENTS_MAX)
    {
      resident = &host->residents[host->count++];
      *resident = (struct resident){ .workload = workload, .service = item->type == IVX_SERVICE };
    }
  if (resident)
    {
      resident->tasks++;
      resident->cpu_milli += item->size.cpu_milli;
    }
  g_hash_table_insert (pass->rack_tasks, rack_key (host->rack, workload),
                       GUINT_TO_POINTER (rack_count (pass, host->rack, workload) + 1));
}

static void
collect_hosts (struct iv_placement *pass, const struct iv_cell *cell, iv_usable_fn usable,
               void *context)
{
  GHashTableIter iter;
  gpointer value;
  g_hash_table_iter_init (&iter, cell->workers);
  while (g_hash_table_iter_next (&iter, NULL, &value))
    {
      const struct iv_worker *worker = value;
      struct host host = { .id = worker->id, .all = worker->info.size, .left = worker->info.size };
      g_array_append_val (pass->shapes, worker->info.size);
      if (!usable (context, worker))
        continue;
      host.rack = g_str_hash (worker->info.rack);
      host.left.cpu_milli -= worker->committed.cpu_milli;
      host.left.memory_mib -= worker->committed.memory_mib;
      host.left.accelerators -= worker->committed.accelerators;
      g_array_append_val (pass->hosts, host);
      g_hash_table_insert (pass->places, GUINT_TO_POINTER (host.id),
                           GUINT_TO_POINTER (pass->hosts->len));
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
      struct host *host = task->state == IV_TASK_BOUND ? host_of (pass, task->worker) : NULL;
      const ivx_item *item;
      if (host == NULL)
        continue;
      item = &iv_cell_job (cell, task->job)->item;
      add_resident (pass, host, iv_interference_workload (pass->model, item->name), item);
    }
}

struct iv_placement *
iv_placement_begin (const struct iv_cell *cell, struct iv_interference *model,
                    const struct iv_weights *weights, enum iv_strategy strategy,
                    iv_usable_fn usable, void *context, gint64 now_ms)
{
  struct iv_placement *pass = g_new0 (struct iv_placement, 1);
  pass->model = model;
  pass->weights = weights;
  pass->strategy = strategy;
  pass->now_ms = now_ms;
  pass->hosts = g_array_new (FALSE, FALSE, sizeof (struct host));
  pass->shapes = g_array_new (FALSE, FALSE, sizeof (ivx_size));
  pass->places = g_hash_table_new (NULL, NULL);
  pass->rack_tasks = g_hash_table_new (NULL, NULL);
  collect_hosts (pass, cell, usable, context);
  collect_residents (pass, cell);
  return pass;
}

void
iv_placement_end (struct iv_placement *pass)
{
  g_array_free (pass->hosts, TRUE);
  g_array_free (pass->shapes, TRUE);
  g_hash_table_destroy (pass->places);
  g_hash_table_destroy (pass->rack_tasks);
  g_free (pass);
}

static gboolean
fits (const ivx_size *size, const ivx_size *left)
{
  return size->cpu_milli <= left->cpu_milli && size->memory_mib <= left->memory_mib
         && size->accelerators <= left->accelerators;
}

static double
pair_harm (const struct iv_placement *pass, guint32 victim, guint32 other, double share)
{
  if (pass->strategy == IV_STRATEGY_NO_MODEL)
    return share;
  return iv_interference_harm (pass->model, victim, other, share, pass->weights->caution,
                               pass->now_ms);
}

/* Harm that the new task does to those on the host, and that they do to it. */
static double
mutual_harm (const struct iv_placement *pass, const struct host *host, guint32 workload,
             const ivx_item *item)
{
  double total = host->all.cpu_milli;
  double share = item->size.cpu_milli / total;
  double own_weight = item->type == IVX_SERVICE ? pass->weights->tail : pass->weights->throughput;
  double harm = 0;
  for (guint i = 0; i < host->count; i++)
    {
      const struct resident *r = &host->residents[i];
      double weight = r->service ? pass->weights->tail : pass->weights->throughput;
      /* Instances of one service were sized to stand side by side. */
      if (r->service && r->workload == workload)
        continue;
      harm += weight * r->tasks * pair_harm (pass, r->workload, workload, share);
      harm += own_weight * pair_harm (pass, workload, r->workload, r->cpu_milli / total);
    }
  return harm;
}

/* Slowdown to expect of the service @a victim, with @a milli more of @a workload beside it. */
static double
expected_slowdown (const struct iv_placement *pass, const struct host *host, guint32 victim,
                   guint32 workload, guint32 milli)
{
  double total = host->all.cpu_milli;
  double slowdown = pair_harm (pass, victim, workload, milli / total);
  for (guint i = 0; i < host->count; i++)
    if (host->residents[i].workload != victim)
      slowdown += pair_harm (pass, victim, host->residents[i].workload,
                             host->residents[i].cpu_milli / total);
  return slowdown;
}

static gboolean
breaks_guard (const struct iv_placement *pass, const struct host *host, guint32 workload,
              const ivx_item *item)
{
  double guard = pass->weights->guard;
  if (guard <= 0 || pass->strategy != IV_STRATEGY_HARM)
    return FALSE;
  if (item->type == IVX_SERVICE)
    return expected_slowdown (pass, host, workload, workload, 0) > guard;
  for (guint i = 0; i < host->count; i++)
    if (host->residents[i].service && host->residents[i].tasks > 0
        && expected_slowdown (pass, host, host->residents[i].workload, workload,
                              item->size.cpu_milli)
               > guard)
      return TRUE;
  return FALSE;
}

static double
packing_cost (const struct host *host, const ivx_item *item)
{
  double left = (double)(host->left.cpu_milli - item->size.cpu_milli) / host->all.cpu_milli;
  double wasted = item->size.accelerators == 0 && host->all.accelerators > 0 ? 1 : 0;
  return left + wasted;
}

/* A service keeps to few hosts, so that the others are free for noisy work, but not to fewer than
   it takes to stand the loss of some. */
static double
spread_cost (struct iv_placement *pass, struct host *host, guint32 workload, const ivx_item *item)
{
  const struct resident *same = find_resident (host, workload);
  guint limit = MAX (1, (item->tasks + SERVICE_HOSTS - 1) / SERVICE_HOSTS);
  guint there = same ? same->tasks : 0;
  double cost = there >= limit ? there - limit + 1 : 0;
  gboolean opens = TRUE;
  for (guint i = 0; i < host->count; i++)
    opens &= !host->residents[i].service || host->residents[i].tasks == 0;
  return cost + (opens ? OPENING_COST : 0)
         + RACK_COST * rack_count (pass, host->rack, workload) / limit;
}

static double
cost_of (struct iv_placement *pass, struct host *host, guint32 workload, const ivx_item *item)
{
  double cost = mutual_harm (pass, host, workload, item);
  cost += pass->weights->packing * packing_cost (host, item);
  if (item->type == IVX_SERVICE)
    cost += pass->weights->spread * spread_cost (pass, host, workload, item);
  return cost;
}

static void
take (struct iv_placement *pass, struct host *host, guint32 workload, const ivx_item *item)
{
  host->left.cpu_milli -= item->size.cpu_milli;
  host->left.memory_mib -= item->size.memory_mib;
  host->left.accelerators -= item->size.accelerators;
  add_resident (pass, host, workload, item);
}

static struct host *
first_fit (struct iv_placement *pass, const ivx_item *item)
{
  struct host *first = NULL;
  for (guint i = 0; i < pass->hosts->len; i++)
    {
      struct host *host = host_at (pass, i);
      if (fits (&item->size, &host->left) && (first == NULL || host->id < first->id))
        first = host;
    }
  return first;
}

static gboolean
is_avoided (GHashTable *avoid, const struct host *host)
{
  gint64 id = host->id;
  return avoid != NULL && g_hash_table_contains (avoid, &id);
}

static struct host *
least_cost (struct iv_placement *pass, guint32 workload, const ivx_item *item, guint32 seed,
            GHashTable *avoid, gboolean patient)
{
  struct host *best = NULL;
  double best_cost = 0;
  guint scanned = 0;
  for (guint i = 0; i < pass->hosts->len && scanned < SCAN_MAX; i++)
    {
      struct host *host = host_at (pass, (seed + i) % pass->hosts->len);
      double cost;
      if (!fits (&item->size, &host->left))
        continue;
      scanned++;
      cost = cost_of (pass, host, workload, item);
      if (is_avoided (avoid, host))
        cost += AVOID_COST;
      if (breaks_guard (pass, host, workload, item))
        {
          if (patient && item->type == IVX_JOB)
            continue;
          cost += GUARD_COST;
        }
      if (best == NULL || cost < best_cost)
        {
          best = host;
          best_cost = cost;
        }
    }
  return best;
}

guint32
iv_placement_choose (struct iv_placement *pass, const ivx_item *item, guint32 seed,
                     GHashTable *avoid, gboolean patient)
{
  guint32 workload = iv_interference_workload (pass->model, item->name);
  struct host *host = pass->strategy == IV_STRATEGY_FIRST_FIT
                          ? first_fit (pass, item)
                          : least_cost (pass, workload, item, seed, avoid, patient);
  if (host == NULL)
    return IV_NO_WORKER;
  take (pass, host, workload, item);
  return host->id;
}

void
iv_placement_undo (struct iv_placement *pass, const ivx_item *item, guint32 worker)
{
  struct host *host = host_of (pass, worker);
  guint32 workload = iv_interference_workload (pass->model, item->name);
  struct resident *resident = find_resident (host, workload);
  host->left.cpu_milli += item->size.cpu_milli;
  host->left.memory_mib += item->size.memory_mib;
  host->left.accelerators += item->size.accelerators;
  if (resident)
    {
      resident->tasks--;
      resident->cpu_milli -= item->size.cpu_milli;
    }
  g_hash_table_insert (pass->rack_tasks, rack_key (host->rack, workload),
                       GUINT_TO_POINTER (rack_count (pass, host->rack, workload) - 1));
}

gboolean
iv_placement_possible (const struct iv_placement *pass, const ivx_size *size)
{
  for (guint i = 0; i < pass->shapes->len; i++)
    if (fits (size, &g_array_index (pass->shapes, ivx_size, i)))
      return TRUE;
  return pass->shapes->len == 0;
}
