#include "health.h"

#define JOBS_FAILED_TO_BLAME_WORKER 3
#define WORKERS_FAILED_TO_BLAME_JOB 3
#define ASIDE_FIRST_MS 10000
#define ASIDE_LIMIT_MS 600000

struct worker_history
{
  GHashTable *jobs; /* gens that failed here since the last success */
  gint64 aside_until_ms;
  gint64 next_aside_ms;
};

struct iv_health
{
  GHashTable *workers; /* id to struct worker_history */
  GHashTable *jobs;    /* gen to the set of workers where it failed */
};

static void
free_history (gpointer data)
{
  struct worker_history *history = data;
  g_hash_table_destroy (history->jobs);
  g_free (history);
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
  health->workers = g_hash_table_new_full (NULL, NULL, NULL, free_history);
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

static struct worker_history *
history_of (struct iv_health *health, guint32 worker)
{
  struct worker_history *history = g_hash_table_lookup (health->workers, GUINT_TO_POINTER (worker));
  if (history == NULL)
    {
      history = g_new0 (struct worker_history, 1);
      history->jobs = new_set ();
      history->next_aside_ms = ASIDE_FIRST_MS;
      g_hash_table_insert (health->workers, GUINT_TO_POINTER (worker), history);
    }
  return history;
}

static GHashTable *
failures_of (struct iv_health *health, guint64 gen)
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

/* The failures of the jobs met here say nothing about these jobs, so they are taken back. */
static void
clear_blame (struct iv_health *health, guint32 worker)
{
  GHashTableIter iter;
  gpointer set;
  gint64 id = worker;
  g_hash_table_iter_init (&iter, health->jobs);
  while (g_hash_table_iter_next (&iter, NULL, &set))
    g_hash_table_remove (set, &id);
}

static void
put_aside (struct iv_health *health, struct worker_history *history, guint32 worker, gint64 now_ms)
{
  history->aside_until_ms = now_ms + history->next_aside_ms;
  history->next_aside_ms = MIN (history->next_aside_ms * 2, ASIDE_LIMIT_MS);
  clear_blame (health, worker);
}

enum iv_verdict
iv_health_failed (struct iv_health *health, guint32 worker, guint64 gen, gint64 now_ms)
{
  struct worker_history *history = history_of (health, worker);
  GHashTable *places = failures_of (health, gen);
  add_to_set (history->jobs, gen);
  if (g_hash_table_size (history->jobs) >= JOBS_FAILED_TO_BLAME_WORKER)
    {
      put_aside (health, history, worker, now_ms);
      return IV_VERDICT_BAD_WORKER;
    }
  add_to_set (places, worker);
  return g_hash_table_size (places) >= WORKERS_FAILED_TO_BLAME_JOB ? IV_VERDICT_BAD_JOB
                                                                   : IV_VERDICT_RETRY;
}

void
iv_health_succeeded (struct iv_health *health, guint32 worker, guint64 gen)
{
  struct worker_history *history = g_hash_table_lookup (health->workers, GUINT_TO_POINTER (worker));
  gint64 id = (gint64)gen;
  if (history)
    {
      g_hash_table_remove_all (history->jobs);
      history->next_aside_ms = ASIDE_FIRST_MS;
      history->aside_until_ms = 0;
    }
  g_hash_table_remove (health->jobs, &id);
}

GHashTable *
iv_health_places (const struct iv_health *health, guint64 gen)
{
  gint64 id = (gint64)gen;
  return g_hash_table_lookup (health->jobs, &id);
}

gboolean
iv_health_usable (const struct iv_health *health, guint32 worker, gint64 now_ms)
{
  const struct worker_history *history
      = g_hash_table_lookup (health->workers, GUINT_TO_POINTER (worker));
  return history == NULL || history->aside_until_ms <= now_ms;
}

void
iv_health_forget_worker (struct iv_health *health, guint32 worker)
{
  g_hash_table_remove (health->workers, GUINT_TO_POINTER (worker));
  clear_blame (health, worker);
}
