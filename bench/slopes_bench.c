/**
 * @file slopes_bench.c
 * Costs of a decision, a task, a start record, a snapshot and a recovery at several sizes of one
 * failure domain, with a linear fit over the sizes, for docs/CAPACITY.md.
 */
#include "chunks.h"
#include "fake_worker.h"
#include "planner.h"

#include <gsl/gsl_fit.h>
#include <malloc.h>
#include <math.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <time.h>

#define WALL_MS G_GUINT64_CONSTANT (1700000000000)
#define SIZES 5

/* Workers of one failure domain: the current number, up to ten times that, and the number expected
   in two years. */
static const guint worker_counts[SIZES] = { 22, 66, 110, 220, 405 };
static const guint tasks_per_worker = 10;

/* One measure by number of workers. */
struct slope
{
  const char *name;
  const char *unit;
  double x[SIZES], y[SIZES];
};

/* CPU time of this process. */
static gint64
cpu_ns (void)
{
  struct timespec now;
  clock_gettime (CLOCK_PROCESS_CPUTIME_ID, &now);
  return (gint64)now.tv_sec * 1000000000 + now.tv_nsec;
}

/* A failure domain with one planner and fake workers. */
struct domain
{
  struct iv_planner *planner;
  struct iv_config *config;
  GPtrArray *workers;
  GPtrArray *log; /* of GByteArray */
  struct iv_now now;
  guint64 bytes; /* in `log` */
};

static const char *
no_move (void *context, const char *from, const ivx_item *item)
{
  return NULL;
}

static void
apply_config (struct domain *domain, ivx_record *record)
{
  static guint64 sequence;
  ivx_batch batch
      = { .writer = 1, .incarnation = 1, .sequence = ++sequence, .records = { 1, record } };
  iv_config_apply (domain->config, domain->config->next, &batch);
}

static void
submit (struct domain *domain, const char *name, guint tasks, guint run_ms)
{
  ivx_share share = { (char *)"d", 0, tasks };
  ivx_record record = { .kind = IVX_SUBMIT };
  record.ivx_record_u.submit = (ivx_item){ .change = IVX_ADDED,
                                           .type = IVX_JOB,
                                           .name = (char *)name,
                                           .team = (char *)"t",
                                           .size = { 4000, 1000, 0 },
                                           .tasks = tasks,
                                           .run_ms = run_ms,
                                           .shares = { 1, &share } };
  apply_config (domain, &record);
}

static struct domain *
domain_new (guint workers)
{
  struct domain *domain = g_new0 (struct domain, 1);
  struct iv_planner_options options = iv_planner_default_options ();
  GArray *list = g_array_new (FALSE, TRUE, sizeof (struct iv_host_entry));
  options.starts_per_step = 2000;
  domain->now = (struct iv_now){ 1000000, WALL_MS };
  domain->planner = iv_planner_new ("d", "h", 1, &options, domain->now.mono_ms);
  domain->config = iv_config_new ();
  domain->workers = g_ptr_array_new ();
  domain->log = g_ptr_array_new ();
  for (guint i = 0; i < workers; i++)
    {
      struct iv_host_entry entry = { 0 };
      char *name = g_strdup_printf ("w%04u", i);
      struct fake_worker *worker = fake_worker_new (name, (ivx_size){ 64000, 250000, 0 },
                                                    domain->now.mono_ms, WALL_MS, i + 1);
      entry.info = (ivx_worker){ worker->name, (char *)"r", worker->name, worker->size, WALL_MS };
      g_array_append_val (list, entry);
      g_ptr_array_add (domain->workers, worker);
      g_free (name);
    }
  iv_planner_set_hosts (domain->planner, list);
  g_array_free (list, TRUE);
  return domain;
}

/* Runs one step of the planner; returns its CPU time, without that of the fake workers. */
static gint64
step_cpu_ns (struct domain *domain)
{
  struct iv_planner_output *output;
  gint64 begin_ns = cpu_ns (), spent_ns;
  iv_planner_read_end (domain->planner, domain->now.mono_ms);
  iv_planner_set_config (domain->planner, domain->config, domain->now.mono_ms);
  output = iv_planner_step (domain->planner, domain->now, no_move, NULL);
  if (output->batch)
    {
      ivx_batch batch;
      iv_batch_decode (output->batch->data, output->batch->len, &batch);
      iv_planner_apply (domain->planner, domain->now, domain->log->len, &batch);
      iv_batch_clear (&batch);
      domain->bytes += output->batch->len;
      g_ptr_array_add (domain->log, g_steal_pointer (&output->batch));
    }
  spent_ns = cpu_ns () - begin_ns;
  for (guint i = 0; i < output->syncs->len; i++)
    {
      const struct iv_sync *sync = g_ptr_array_index (output->syncs, i);
      struct iv_sync_reply *reply
          = fake_worker_sync (g_ptr_array_index (domain->workers, (guint)atoi (sync->address + 1)),
                              domain->now.mono_ms, sync);
      begin_ns = cpu_ns ();
      iv_planner_handle_reply (domain->planner, domain->now, sync->worker, domain->now.mono_ms,
                               reply);
      spent_ns += cpu_ns () - begin_ns;
    }
  for (guint i = 0; i < output->config_records->len; i++)
    apply_config (domain, &g_array_index (output->config_records, ivx_record, i));
  iv_planner_output_free (output);
  domain->now.mono_ms += 100;
  domain->now.wall_ms += 100;
  return spent_ns;
}

/* CPU time of rebuilding the state of the domain from its whole log. */
static gint64
replay_cpu_ns (const struct domain *domain)
{
  struct iv_cell *cell = iv_cell_new ("d");
  gint64 begin_ns = cpu_ns ();
  for (guint i = 0; i < domain->log->len; i++)
    {
      const GByteArray *bytes = g_ptr_array_index (domain->log, i);
      ivx_batch batch;
      iv_batch_decode (bytes->data, bytes->len, &batch);
      iv_cell_apply (cell, i, &batch);
      iv_batch_clear (&batch);
    }
  iv_cell_free (cell);
  return cpu_ns () - begin_ns;
}

static void
domain_free (struct domain *domain)
{
  iv_planner_free (domain->planner);
  iv_config_free (domain->config);
  for (guint i = 0; i < domain->workers->len; i++)
    fake_worker_free (g_ptr_array_index (domain->workers, i));
  g_ptr_array_free (domain->workers, TRUE);
  for (guint i = 0; i < domain->log->len; i++)
    g_byte_array_free (g_ptr_array_index (domain->log, i), TRUE);
  g_ptr_array_free (domain->log, TRUE);
  g_free (domain);
}

static void
measure (guint size, struct slope *decision, struct slope *idle, struct slope *memory,
         struct slope *snapshot, struct slope *recovery, struct slope *start_bytes)
{
  guint workers = worker_counts[size], tasks = workers * tasks_per_worker;
  struct domain *domain = domain_new (workers);
  guint64 bytes_before;
  gint64 spent_ns = 0;
  size_t heap_before;
  GByteArray *bytes;
  for (guint i = 0; i < 20; i++)
    step_cpu_ns (domain);
  heap_before = mallinfo2 ().uordblks;
  bytes_before = domain->bytes;
  submit (domain, "resident", tasks, 100000000);
  while (g_hash_table_size (iv_planner_cell (domain->planner)->tasks) < tasks)
    step_cpu_ns (domain);
  memory->y[size] = (double)(mallinfo2 ().uordblks - heap_before) / tasks;
  for (guint i = 0; i < 5; i++)
    step_cpu_ns (domain);
  start_bytes->y[size] = (double)(domain->bytes - bytes_before) / tasks;
  /* Each round adds tasks to the resident ones and measures a step that binds new ones. */
  for (guint round = 0; round < 5; round++)
    {
      char name[32];
      snprintf (name, sizeof name, "new-%u", round);
      submit (domain, name, workers, 100000000);
      step_cpu_ns (domain);
      spent_ns += step_cpu_ns (domain);
    }
  decision->y[size] = (double)spent_ns / (5.0 * workers);
  spent_ns = 0;
  for (guint i = 0; i < 20; i++)
    spent_ns += step_cpu_ns (domain);
  idle->y[size] = (double)spent_ns / 2.0 / 1e6; /* 20 steps are two seconds */
  bytes = iv_cell_save (iv_planner_cell (domain->planner));
  snapshot->y[size] = bytes->len / 1024.0;
  g_byte_array_free (bytes, TRUE);
  recovery->y[size] = (double)replay_cpu_ns (domain) / 1e6;
  decision->x[size] = idle->x[size] = memory->x[size] = snapshot->x[size] = recovery->x[size]
      = start_bytes->x[size] = workers;
  domain_free (domain);
}

static void
print_fit (const struct slope *slope)
{
  double c0, c1, cov00, cov01, cov11, sum;
  gsl_fit_linear (slope->x, 1, slope->y, 1, SIZES, &c0, &c1, &cov00, &cov01, &cov11, &sum);
  for (guint i = 0; i < SIZES; i++)
    printf ("slope measure=%s workers=%.0f value=%.3f unit=%s\n", slope->name, slope->x[i],
            slope->y[i], slope->unit);
  printf ("fit measure=%s intercept=%.4f per_worker=%.6f residual=%.4f unit=%s\n", slope->name, c0,
          c1, sqrt (sum / SIZES), slope->unit);
}

int
main (void)
{
  struct slope decision = { "decision_ns", "ns" }, idle = { "idle_cpu", "ms/s" },
               memory = { "bytes_per_task", "bytes" }, snapshot = { "snapshot", "KiB" },
               recovery = { "recovery", "ms" }, start_bytes = { "log_bytes_per_start", "bytes" };
  for (guint i = 0; i < SIZES; i++)
    measure (i, &decision, &idle, &memory, &snapshot, &recovery, &start_bytes);
  print_fit (&decision);
  print_fit (&idle);
  print_fit (&memory);
  print_fit (&snapshot);
  print_fit (&recovery);
  print_fit (&start_bytes);
  return 0;
}
