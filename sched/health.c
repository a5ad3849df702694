#include "health.h"

#define FAILED_JOBS_PER_WORKER 3 /* different jobs that fail there before a quarantine */
#define FAILED_WORKERS_PER_JOB 3 /* different workers on which a faulty job has failed */
#define QUARANTINE_MIN_MS 10000  /* first quarantine; each further one is twice as long */
#define QUARANTINE_MAX_MS 600000

struct worker_failures
{
  GHashTable *jobs; /* generations that failed here since the last success */
  gint64 quarantined_until_ms;
  gint64 next_quarantine_ms;
};

struct iv_health
{
  GHashTable *workers; /* worker id to struct worker_failures */
  GHashTable *jobs;    /* job generation to the set of workers on which it failed */
};

static void
free_failures (gpointer data)
{
  struct worker_failures *failures = data;
  g_hash_table_destroy (failures->jobs);
  g_free (failures);
}

static GHashTable *
new_set (void)
{
  return g_hash_table_new_full (g_int64_hash, g_int64_equal, g_free, NULL);
}

static void
add_to_set (GHashTable *set, guint64 value)
{
  gint64 *key = g_new (gint64, 1);
  *key = (gint64)value;
  g_hash_table_add (set, key);
}

struct iv_health *
iv_health_new (void)
{
  struct iv_health *health = g_new0 (struct iv_health, 1);
  health->workers = g_hash_table_new_full (NULL, NULL, NULL, free_failures);
  health->jobs = g_hash_table_new_full (g_int64_hash, g_int64_equal, g_free,
                                        (GDestroyNotify)g_hash_table_destroy);
  return health;
}

void
iv_health_free (struct iv_health *health)
{
  if (health == NULL)
    return;
  g_hash_table_destroy (health->workers);
  g_hash_table_destroy (health->jobs);
  g_free (health);
}

static struct worker_failures *
failures_of (struct iv_health *health, guint32 worker)
{
  struct worker_failures *failures
      = g_hash_table_lookup (health->workers, GUINT_TO_POINTER (worker));
  if (failures == NULL)
    {
      failures = g_new0 (struct worker_failures, 1);
      failures->jobs = new_set ();
      failures->next_quarantine_ms = QUARANTINE_MIN_MS;
      g_hash_table_insert (health->workers, GUINT_TO_POINTER (worker), failures);
    }
  return failures;
}

static GHashTable *
failed_workers_of (struct iv_health *health, guint64 gen)
{
  gint64 id = (gint64)gen;
  GHashTable *set = g_hash_table_lookup (health->jobs, &id);
  if (set == NULL)
    {
      gint64 *key = g_new (gint64, 1);
      *key = id;
      set = new_set ();
      g_hash_table_insert (health->jobs, key, set);
    }
  return set;
}

/* Failures on a faulty worker are no evidence against the jobs that ran there. */
static void
discard_failures_on (struct iv_health *health, guint32 worker)
{
  GHashTableIter iter;
  gpointer set;
  gint64 id = worker;
  g_hash_table_iter_init (&iter, health->jobs);
  while (g_hash_table_iter_next (&iter, NULL, &set))
    g_hash_table_remove (set, &id);
}

static void
quarantine (struct iv_health *health, struct worker_failures *failures, guint32 worker,
            gint64 now_ms)
{
  failures->quarantined_until_ms = now_ms + failures->next_quarantine_ms;
  failures->next_quarantine_ms = MIN (failures->next_quarantine_ms * 2, QUARANTINE_MAX_MS);
  discard_failures_on (health, worker);
}

enum iv_failure_cause
iv_health_record_failure (struct iv_health *health, guint32 worker, guint64 gen, gint64 now_ms)
{
  struct worker_failures *failures = failures_of (health, worker);
  GHashTable *failed_workers = failed_workers_of (health, gen);
  add_to_set (failures->jobs, gen);
  if (g_hash_table_size (failures->jobs) >= FAILED_JOBS_PER_WORKER)
    {
      quarantine (health, failures, worker, now_ms);
      return IV_FAILURE_WORKER;
    }
  add_to_set (failed_workers, worker);
  return g_hash_table_size (failed_workers) >= FAILED_WORKERS_PER_JOB ? IV_FAILURE_JOB
                                                                      : IV_FAILURE_UNDETERMINED;
}

void
iv_health_record_success (struct iv_health *health, guint32 worker, guint64 gen)
{
  struct worker_failures *failures
      = g_hash_table_lookup (health->workers, GUINT_TO_POINTER (worker));
  gint64 id = (gint64)gen;
  if (failures)
    {
      g_hash_table_remove_all (failures->jobs);
      failures->next_quarantine_ms = QUARANTINE_MIN_MS;
      failures->quarantined_until_ms = 0;
    }
  g_hash_table_remove (health->jobs, &id);
}

GHashTable *
iv_health_failed_workers (const struct iv_health *health, guint64 gen)
{
  gint64 id = (gint64)gen;
  return g_hash_table_lookup (health->jobs, &id);
}

gboolean
iv_health_usable (const struct iv_health *health, guint32 worker, gint64 now_ms)
{
  const struct worker_failures *failures
      = g_hash_table_lookup (health->workers, GUINT_TO_POINTER (worker));
  return failures == NULL || failures->quarantined_until_ms <= now_ms;
}

void
iv_health_remove_worker (struct iv_health *health, guint32 worker)
{
  g_hash_table_remove (health->workers, GUINT_TO_POINTER (worker));
  discard_failures_on (health, worker);
}
