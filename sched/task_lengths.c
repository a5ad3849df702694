#include "task_lengths.h"

#include <math.h>
#include <string.h>
#include <xxhash.h>

#define FIRST_MS 10.0       /* lower bound of the first bucket; shorter durations count there */
#define PER_OCTAVE 4        /* buckets per factor of two: one covers a factor of 1.19 */
#define BUCKETS 96          /* up to 46 hours */
#define ESTIMATE_WEIGHT 3.0 /* samples that outweigh an estimate that is wrong */
/* Samples of this age count half: demand of the platform changes within tens of minutes. */
#define HALF_LIFE_MS 600000.0
/* Weights are halved beyond this sum, so that a new version of an image is learnt in as many. */
#define WEIGHT_MAX 200.0

struct entry
{
  guint64 key;
  gint64 changed_ms;
  float weights[BUCKETS];
};

struct iv_task_lengths
{
  GHashTable *entries; /* from key to struct entry */
};

/* Buckets of one kind of task with the estimate, whose bucket is -1 when nothing was learnt. */
struct distribution
{
  const struct entry *entry;
  gint estimate_bucket;
};

struct iv_task_lengths *
iv_task_lengths_new (void)
{
  struct iv_task_lengths *lengths = g_new0 (struct iv_task_lengths, 1);
  lengths->entries = g_hash_table_new_full (g_int64_hash, g_int64_equal, NULL, g_free);
  return lengths;
}

void
iv_task_lengths_free (struct iv_task_lengths *lengths)
{
  if (lengths == NULL)
    return;
  g_hash_table_destroy (lengths->entries);
  g_free (lengths);
}

/* Class of a size: powers of two. */
static guint
size_class (guint size)
{
  return g_bit_storage (size);
}

static XXH64_hash_t
hash_text (const char *text, XXH64_hash_t seed)
{
  return text ? XXH3_64bits_withSeed (text, strlen (text), seed) : seed;
}

guint64
iv_task_lengths_key (const char *image, const char *host, const char *prefix, guint count,
                     guint cpu_milli)
{
  if (image && *image)
    return hash_text (image, 0);
  return hash_text (prefix, hash_text (host, 1 + size_class (count) * 64 + size_class (cpu_milli)));
}

static double
lower_bound_ms (double bucket)
{
  return FIRST_MS * exp2 (bucket / PER_OCTAVE);
}

/* Place of a duration on the scale of the buckets; the fraction is the place within the bucket. */
static double
scale (gint64 ms)
{
  double place = log2 ((double)MAX (ms, 1) / FIRST_MS) * PER_OCTAVE;
  return CLAMP (place, 0, BUCKETS - 0.001);
}

static double
sum_weights (const struct entry *entry)
{
  double sum = 0;
  for (guint i = 0; i < BUCKETS; i++)
    sum += (double)entry->weights[i];
  return sum;
}

static void
scale_weights (struct entry *entry, double factor)
{
  for (guint i = 0; i < BUCKETS; i++)
    entry->weights[i] = (float)((double)entry->weights[i] * factor);
}

static void
fade (struct entry *entry, gint64 now_ms)
{
  double age_ms = (double)MAX (0, now_ms - entry->changed_ms);
  double sum;
  scale_weights (entry, exp2 (-age_ms / HALF_LIFE_MS));
  entry->changed_ms = MAX (entry->changed_ms, now_ms);
  sum = sum_weights (entry);
  if (sum >= WEIGHT_MAX)
    scale_weights (entry, 0.5);
}

static void
drop_oldest (struct iv_task_lengths *lengths)
{
  const struct entry *oldest = NULL;
  GHashTableIter iter;
  gpointer value;
  g_hash_table_iter_init (&iter, lengths->entries);
  while (g_hash_table_iter_next (&iter, NULL, &value))
    if (oldest == NULL || ((const struct entry *)value)->changed_ms < oldest->changed_ms)
      oldest = value;
  if (oldest)
    g_hash_table_remove (lengths->entries, &oldest->key);
}

static struct entry *
find_or_add (struct iv_task_lengths *lengths, guint64 key, gint64 now_ms)
{
  struct entry *entry = g_hash_table_lookup (lengths->entries, &key);
  if (entry)
    return entry;
  if (g_hash_table_size (lengths->entries) >= IV_TASK_LENGTHS_KEYS_MAX)
    drop_oldest (lengths);
  entry = g_new0 (struct entry, 1);
  entry->key = key;
  entry->changed_ms = now_ms;
  g_hash_table_insert (lengths->entries, &entry->key, entry);
  return entry;
}

void
iv_task_lengths_add (struct iv_task_lengths *lengths, guint64 key, gint64 duration_ms,
                     gint64 now_ms)
{
  struct entry *entry = find_or_add (lengths, key, now_ms);
  fade (entry, now_ms);
  entry->weights[(guint)scale (duration_ms)] += 1.0F;
}

static double
weight_of (const struct distribution *distribution, gint bucket)
{
  double weight = (double)distribution->entry->weights[bucket];
  return bucket == distribution->estimate_bucket ? weight + ESTIMATE_WEIGHT : weight;
}

/* The quantile of those durations that lie beyond @a from on the scale, on the scale; -1: there
   are none. Durations are taken to be spread evenly over a bucket. */
static double
quantile_beyond (const struct distribution *distribution, double from, double quantile)
{
  gint first = (gint)from;
  double first_share = 1 - (from - first);
  double wanted = 0;
  for (gint i = first; i < BUCKETS; i++)
    wanted += weight_of (distribution, i) * (i == first ? first_share : 1);
  if (wanted < 0.001)
    return -1;
  wanted *= quantile;
  for (gint i = first; i < BUCKETS; i++)
    {
      double begin = i == first ? from : i;
      double weight = weight_of (distribution, i) * (i == first ? first_share : 1);
      if (weight >= wanted && weight > 0)
        return begin + (i + 1 - begin) * wanted / weight;
      wanted -= weight;
    }
  return BUCKETS;
}

gint64
iv_task_lengths_quantile_ms (const struct iv_task_lengths *lengths, guint64 key, gint64 estimate_ms,
                             double quantile)
{
  struct distribution distribution
      = { g_hash_table_lookup (lengths->entries, &key), (gint)scale (estimate_ms) };
  if (distribution.entry == NULL)
    return estimate_ms;
  return (gint64)lower_bound_ms (quantile_beyond (&distribution, 0, quantile));
}

gint64
iv_task_lengths_rest_ms (const struct iv_task_lengths *lengths, guint64 key, gint64 estimate_ms,
                         gint64 age_ms, double quantile)
{
  struct distribution distribution
      = { g_hash_table_lookup (lengths->entries, &key), (gint)scale (estimate_ms) };
  double place;
  if (distribution.entry == NULL)
    return age_ms < estimate_ms ? estimate_ms - age_ms : age_ms;
  place = quantile_beyond (&distribution, scale (age_ms), quantile);
  return place < 0 ? age_ms : MAX (1, (gint64)lower_bound_ms (place) - age_ms);
}

guint
iv_task_lengths_keys (const struct iv_task_lengths *lengths)
{
  return g_hash_table_size (lengths->entries);
}
