#include "interference.h"

#include <math.h>
#include <string.h>

#define NEIGHBOURS_MAX 64
#define SHARE_MIN 0.001   /* estimates are not updated for smaller shares */
#define NAME_MAX_BYTES 65 /* with the terminating NUL */

struct pair
{
  double mean;
  double variance;
  guint samples;
  gint64 updated_ms;
};

struct iv_interference
{
  struct iv_interference_prior prior;
  GHashTable *workloads; /* name to id */
  GHashTable *pairs;     /* pair_key() to struct pair */
  GHashTable *sources;   /* source to the time of its last measurement, in ms */
};

static const struct iv_interference_prior batch_prior
    = { .mean = 0.3, .variance = 0.25, .noise = 0.01, .drift_per_second = 0.00002 };

static gpointer
pair_key (guint32 victim, guint32 other)
{
  return GSIZE_TO_POINTER ((gsize)victim << 32 | other);
}

struct iv_interference *
iv_interference_new (const struct iv_interference_prior *prior)
{
  struct iv_interference *model = g_new0 (struct iv_interference, 1);
  model->prior = prior ? *prior : batch_prior;
  model->workloads = g_hash_table_new_full (g_str_hash, g_str_equal, g_free, NULL);
  model->pairs = g_hash_table_new_full (NULL, NULL, NULL, g_free);
  model->sources = g_hash_table_new_full (g_int64_hash, g_int64_equal, g_free, g_free);
  return model;
}

void
iv_interference_free (struct iv_interference *model)
{
  if (model == NULL)
    return;
  g_hash_table_destroy (model->workloads);
  g_hash_table_destroy (model->pairs);
  g_hash_table_destroy (model->sources);
  g_free (model);
}

/* Runs of a recurring job differ only in the number at the end of the name, as in "dues-2026-12",
   and share their estimates. */
static gsize
base_name_length (const char *name)
{
  gsize len = strlen (name), end = len;
  while (end > 0 && (g_ascii_isdigit (name[end - 1]) || strchr ("-._", name[end - 1]) != NULL))
    end--;
  return end > 0 ? end : len;
}

guint32
iv_interference_workload (struct iv_interference *model, const char *name)
{
  char base_name[NAME_MAX_BYTES];
  guint32 id;
  g_strlcpy (base_name, name, MIN (sizeof base_name, base_name_length (name) + 1));
  id = GPOINTER_TO_UINT (g_hash_table_lookup (model->workloads, base_name));
  if (id == 0)
    {
      id = g_hash_table_size (model->workloads) + 1;
      g_hash_table_insert (model->workloads, g_strdup (base_name), GUINT_TO_POINTER (id));
    }
  return id;
}

static struct pair
current_estimate (const struct iv_interference *model, guint32 victim, guint32 other, gint64 now_ms)
{
  const struct pair *known = g_hash_table_lookup (model->pairs, pair_key (victim, other));
  struct pair pair = { model->prior.mean, model->prior.variance, 0, now_ms };
  if (known == NULL)
    return pair;
  pair = *known;
  if (now_ms > pair.updated_ms)
    pair.variance += (double)(now_ms - pair.updated_ms) / 1000 * model->prior.drift_per_second;
  pair.variance = MIN (pair.variance, model->prior.variance);
  return pair;
}

static void
store (struct iv_interference *model, guint32 victim, guint32 other, const struct pair *pair)
{
  gpointer key = pair_key (victim, other);
  struct pair *row = g_hash_table_lookup (model->pairs, key);
  if (row == NULL)
    {
      row = g_new (struct pair, 1);
      g_hash_table_insert (model->pairs, key, row);
    }
  *row = *pair;
}

/* Reports repeat the last measurement until a new one is available. */
static gboolean
is_new_measurement (struct iv_interference *model, guint64 source, gint64 measured_ms)
{
  gint64 id = (gint64)source;
  gint64 *last = g_hash_table_lookup (model->sources, &id);
  if (last && *last >= measured_ms)
    return FALSE;
  if (last)
    *last = measured_ms;
  else
    {
      gint64 *key = g_new (gint64, 1), *value = g_new (gint64, 1);
      *key = id;
      *value = measured_ms;
      g_hash_table_insert (model->sources, key, value);
    }
  return TRUE;
}

void
iv_interference_observe (struct iv_interference *model, guint32 victim,
                         const struct iv_neighbour *neighbours, guint count, double slowdown,
                         guint64 source, gint64 measured_ms)
{
  struct pair pairs[NEIGHBOURS_MAX];
  double predicted = 0, innovation_variance = model->prior.noise, innovation;
  count = MIN (count, NEIGHBOURS_MAX);
  if (!is_new_measurement (model, source, measured_ms))
    return;
  for (guint i = 0; i < count; i++)
    {
      pairs[i] = current_estimate (model, victim, neighbours[i].workload, measured_ms);
      predicted += pairs[i].mean * neighbours[i].share;
      innovation_variance += pairs[i].variance * neighbours[i].share * neighbours[i].share;
    }
  innovation = slowdown - predicted;
  for (guint i = 0; i < count; i++)
    {
      double share = neighbours[i].share;
      double gain = pairs[i].variance * share / innovation_variance;
      if (share < SHARE_MIN)
        continue;
      pairs[i].mean = MAX (0, pairs[i].mean + gain * innovation);
      pairs[i].variance *= 1 - gain * share;
      pairs[i].samples++;
      pairs[i].updated_ms = MAX (pairs[i].updated_ms, measured_ms);
      store (model, victim, neighbours[i].workload, &pairs[i]);
    }
}

struct iv_pair_estimate
iv_interference_pair (const struct iv_interference *model, guint32 victim, guint32 other,
                      gint64 now_ms)
{
  struct pair pair = current_estimate (model, victim, other, now_ms);
  return (struct iv_pair_estimate){ pair.mean, pair.variance, pair.samples };
}

static const char *
name_of (const struct iv_interference *model, guint32 workload)
{
  GHashTableIter iter;
  gpointer name, id;
  g_hash_table_iter_init (&iter, model->workloads);
  while (g_hash_table_iter_next (&iter, &name, &id))
    if (GPOINTER_TO_UINT (id) == workload)
      return name;
  return "";
}

void
iv_interference_foreach (const struct iv_interference *model, iv_interference_foreach_fn each,
                         void *context, gint64 now_ms)
{
  GHashTableIter iter;
  gpointer key;
  g_hash_table_iter_init (&iter, model->pairs);
  while (g_hash_table_iter_next (&iter, &key, NULL))
    {
      guint32 victim = (guint32)(GPOINTER_TO_SIZE (key) >> 32);
      guint32 other = (guint32)GPOINTER_TO_SIZE (key);
      struct iv_pair_estimate estimate = iv_interference_pair (model, victim, other, now_ms);
      each (context, name_of (model, victim), name_of (model, other), &estimate);
    }
}

void
iv_interference_set (struct iv_interference *model, guint32 victim, guint32 other,
                     const struct iv_pair_estimate *estimate, gint64 now_ms)
{
  struct pair pair = { estimate->mean, estimate->variance, estimate->samples, now_ms };
  store (model, victim, other, &pair);
}

double
iv_interference_slowdown (const struct iv_interference *model, guint32 victim, guint32 other,
                          double share, double caution, gint64 now_ms)
{
  struct pair pair = current_estimate (model, victim, other, now_ms);
  return MAX (0, pair.mean + caution * sqrt (pair.variance)) * share;
}
