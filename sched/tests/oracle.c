#include "oracle.h"

#include <stdio.h>
#include <string.h>

/* Starts in a domain that was taken out of service are required to end within "not more than a few
   seconds": evidence_max_age_ms, start_window_ms, and one step each for reading and for sending. */
#define START_AFTER_OUT_MAX_MS 5000

static void report_violation (struct oracle *oracle, const char *format, ...) G_GNUC_PRINTF (2, 3);

static void
report_violation (struct oracle *oracle, const char *format, ...)
{
  va_list args;
  if (oracle->violation)
    return;
  va_start (args, format);
  oracle->violation = g_strdup_vprintf (format, args);
  va_end (args);
}

static guint
domain_of (const struct oracle *oracle, const struct fake_worker *worker)
{
  for (guint d = 0; d < WORLD_DOMAINS; d++)
    for (guint w = 0; w < WORLD_WORKERS; w++)
      if (oracle->world->workers[d][w] == worker)
        return d;
  g_assert_not_reached ();
}

static gboolean
is_at_most_once (const struct fake_task *task)
{
  return g_str_has_prefix (task->name, "once");
}

/* An at-most-once task may start again only from a checkpoint or after it was stopped. */
static void
check_run (struct oracle *oracle, const struct fake_task *task)
{
  char *key = g_strdup_printf ("%" G_GUINT64_FORMAT "/%u", task->gen, task->index);
  gpointer last = g_hash_table_lookup (oracle->runs, key);
  if (last && task->progress_ms == 0 && GPOINTER_TO_INT (last) != IV_RUN_STOPPED)
    report_violation (oracle, "at-most-once task %s %u started again", task->name, task->index);
  g_hash_table_replace (oracle->runs, key, GINT_TO_POINTER (IV_RUN_RUNNING));
}

static void
on_started (void *context, struct fake_worker *worker, const struct fake_task *task)
{
  struct oracle *oracle = context;
  guint domain = domain_of (oracle, worker);
  gint64 out_since_ms = oracle->world->out_since_ms[domain];
  char *key
      = g_strdup_printf ("%" G_GUINT64_FORMAT "/%u/%u", task->gen, task->index, task->attempt);
  oracle->starts++;
  if (g_hash_table_contains (oracle->attempts, key))
    report_violation (oracle, "attempt %s of %s started twice", key, task->name);
  g_hash_table_replace (oracle->attempts, key, worker);
  if (out_since_ms >= 0 && oracle->world->now_ms - out_since_ms > START_AFTER_OUT_MAX_MS)
    report_violation (oracle, "%s started in %s, out of service for %" G_GINT64_FORMAT " ms",
                      task->name, world_domain_name (domain), oracle->world->now_ms - out_since_ms);
  if (is_at_most_once (task))
    check_run (oracle, task);
}

static void
on_done (void *context, struct fake_worker *worker, const struct fake_task *task)
{
  struct oracle *oracle = context;
  oracle->done++;
}

struct oracle *
oracle_new (struct world *world)
{
  struct oracle *oracle = g_new0 (struct oracle, 1);
  oracle->world = world;
  oracle->attempts = g_hash_table_new_full (g_str_hash, g_str_equal, g_free, NULL);
  oracle->runs = g_hash_table_new_full (g_str_hash, g_str_equal, g_free, NULL);
  for (guint d = 0; d < WORLD_DOMAINS; d++)
    for (guint w = 0; w < WORLD_WORKERS; w++)
      {
        world->workers[d][w]->started = on_started;
        world->workers[d][w]->done = on_done;
        world->workers[d][w]->context = oracle;
      }
  return oracle;
}

void
oracle_free (struct oracle *oracle)
{
  g_hash_table_destroy (oracle->attempts);
  g_hash_table_destroy (oracle->runs);
  g_free (oracle->violation);
  g_free (oracle);
}

static void
check_worker (struct oracle *oracle, const struct fake_worker *worker, GHashTable *running)
{
  guint64 cpu = 0, memory = 0;
  for (guint i = 0; i < worker->tasks->len; i++)
    {
      const struct fake_task *task = g_ptr_array_index (worker->tasks, i);
      char *key;
      if (is_at_most_once (task) && task->state == IV_RUN_STOPPED)
        g_hash_table_replace (oracle->runs,
                              g_strdup_printf ("%" G_GUINT64_FORMAT "/%u", task->gen, task->index),
                              GINT_TO_POINTER (IV_RUN_STOPPED));
      if (task->state != IV_RUN_RUNNING)
        continue;
      key = g_strdup_printf ("%" G_GUINT64_FORMAT "/%u", task->gen, task->index);
      cpu += task->size.cpu_milli;
      memory += task->size.memory_mib;
      if (g_hash_table_contains (running, key))
        report_violation (oracle, "task %s of %s runs on two workers", key, task->name);
      g_hash_table_add (running, key);
    }
  if (cpu > worker->size.cpu_milli || memory > worker->size.memory_mib)
    report_violation (oracle, "tasks running on %s exceed its capacity", worker->name);
}

static void
check_cell (struct oracle *oracle, const struct iv_cell *cell)
{
  GHashTableIter iter;
  gpointer value;
  g_hash_table_iter_init (&iter, cell->workers);
  while (g_hash_table_iter_next (&iter, NULL, &value))
    {
      const struct iv_worker *worker = value;
      if (worker->committed.cpu_milli > worker->info.size.cpu_milli
          || worker->committed.memory_mib > worker->info.size.memory_mib
          || worker->committed.accelerators > worker->info.size.accelerators)
        report_violation (oracle, "tasks bound to %s exceed its capacity", worker->info.name);
      if (!iv_ledger_balanced (&worker->ledger))
        report_violation (oracle, "accounted times of %s do not add up to its total time",
                          worker->info.name);
    }
}

gboolean
oracle_check (struct oracle *oracle)
{
  GHashTable *running = g_hash_table_new_full (g_str_hash, g_str_equal, g_free, NULL);
  for (guint d = 0; d < WORLD_DOMAINS; d++)
    for (guint w = 0; w < WORLD_WORKERS; w++)
      check_worker (oracle, oracle->world->workers[d][w], running);
  g_hash_table_destroy (running);
  for (guint h = 0; h < WORLD_HOSTS; h++)
    for (guint d = 0; d < WORLD_DOMAINS; d++)
      if (!oracle->world->hosts[h].dead)
        check_cell (oracle, iv_planner_cell (oracle->world->hosts[h].planners[d]));
  return oracle->violation == NULL;
}

gboolean
oracle_all_ended (const struct oracle *oracle)
{
  const struct iv_config *config = oracle->world->hosts[0].config;
  GHashTableIter iter;
  gpointer value;
  g_hash_table_iter_init (&iter, config->items);
  while (g_hash_table_iter_next (&iter, NULL, &value))
    if (!((struct iv_item *)value)->ended)
      return FALSE;
  return TRUE;
}

gboolean
oracle_states_agree (struct oracle *oracle)
{
  for (guint d = 0; d < WORLD_DOMAINS; d++)
    {
      GByteArray *first = NULL;
      guint64 next = 0;
      for (guint h = 0; h < WORLD_HOSTS; h++)
        {
          const struct iv_cell *cell = iv_planner_cell (oracle->world->hosts[h].planners[d]);
          GByteArray *bytes = iv_cell_save (cell);
          if (first && cell->next == next
              && (first->len != bytes->len || memcmp (first->data, bytes->data, bytes->len) != 0))
            report_violation (oracle,
                              "hosts have different states of %s at offset %" G_GUINT64_FORMAT,
                              world_domain_name (d), next);
          next = cell->next;
          if (first)
            g_byte_array_free (first, TRUE);
          first = bytes;
        }
      g_byte_array_free (first, TRUE);
    }
  return oracle->violation == NULL;
}

void
oracle_dump (const struct oracle *oracle, FILE *out)
{
  for (guint h = 0; h < WORLD_HOSTS; h++)
    for (guint d = 0; d < WORLD_DOMAINS; d++)
      {
        const struct world_host *host = &oracle->world->hosts[h];
        const struct iv_cell *cell = iv_planner_cell (host->planners[d]);
        GHashTableIter iter;
        gpointer value;
        fprintf (out, "%s %s next %" G_GUINT64_FORMAT " term %u owner %s owns %d busy %d\n",
                 host->name, world_domain_name (d), cell->next, cell->term, cell->owner,
                 iv_planner_owns (host->planners[d]),
                 iv_planner_append_pending (host->planners[d]));
        g_hash_table_iter_init (&iter, cell->jobs);
        while (g_hash_table_iter_next (&iter, NULL, &value))
          {
            const struct iv_job *job = value;
            fprintf (out,
                     "  job %s gen %" G_GUINT64_FORMAT
                     " live %u done %u failed %u cancelled %u/%d unknown %u\n",
                     job->item.name, job->gen, job->live_tasks, job->done, job->failed,
                     job->cancel_count, job->cancelled, job->unknown);
          }
        g_hash_table_iter_init (&iter, cell->tasks);
        while (g_hash_table_iter_next (&iter, NULL, &value))
          {
            const struct iv_task *task = value;
            fprintf (out,
                     "  task %u gen %" G_GUINT64_FORMAT "/%u state %d attempt %u worker %u %s\n",
                     task->id, task->gen, task->index, task->state, task->attempt, task->worker,
                     iv_planner_wait_reason (host->planners[d], task, oracle->world->now_ms));
          }
      }
  for (guint d = 0; d < WORLD_DOMAINS; d++)
    for (guint w = 0; w < WORLD_WORKERS; w++)
      {
        const struct fake_worker *worker = oracle->world->workers[d][w];
        fprintf (out, "%s term %u boot %" G_GUINT64_FORMAT "\n", worker->name, worker->term,
                 worker->boot);
        for (guint i = 0; i < worker->tasks->len; i++)
          {
            const struct fake_task *task = g_ptr_array_index (worker->tasks, i);
            fprintf (out, "  %s %" G_GUINT64_FORMAT "/%u attempt %u %s\n", task->name, task->gen,
                     task->index, task->attempt, iv_run_state_name (task->state));
          }
      }
}
