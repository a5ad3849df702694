/**
 * @file slopes_bench.c
 * Slopes behind docs/CAPACITY.md: what a decision, a task, a record and a recovery cost, at several
 * sizes of one failure domain, with a straight-line fit.
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

/* Workers and tasks of one failure domain: today's, then up to ten times and the two-year size. */
static const guint worker_counts[SIZES] = { 22, 66, 110, 220, 405 };
static const guint tasks_per_worker = 10;

struct slope
{
  const char *name;
  const char *unit;
  double x[SIZES], y[SIZES];
};

static gint64
cpu_ns (void)
{
  struct timespec now;
  clock_gettime (CLOCK_PROCESS_CPUTIME_ID, &now);
  return (gint64)now.tv_sec * 1000000000 + now.tv_nsec;
}

struct domain
{
  struct iv_planner *planner;
  struct iv_config *config;
  GPtrArray *workers;
  GPtrArray *log; /* of GByteArray */
  struct iv_now now;
  guint64 bytes;
};

static const char *
stay (void *context, const char *from, const ivx_item *item)
{
  return NULL;
}

static void
fold_config (struct domain *d, ivx_record *record)
{
  static guint64 sequence;
  ivx_batch batch
      = { .writer = 1, .incarnation = 1, .sequence = ++sequence, .records = { 1, record } };
  iv_config_apply (d->config, d->config->next, &batch);
}

static void
submit (struct domain *d, const char *name, guint tasks, guint run_ms)
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
  fold_config (d, &record);
}

static struct domain *
domain_new (guint workers)
{
  struct domain *d = g_new0 (struct domain, 1);
  struct iv_planner_options options = iv_planner_defaults ();
  GArray *list = g_array_new (FALSE, TRUE, sizeof (struct iv_host_entry));
  options.starts_per_step = 2000;
  d->now = (struct iv_now){ 1000000, WALL_MS };
  d->planner = iv_planner_new ("d", "h", 1, &options, d->now.mono_ms);
  d->config = iv_config_new ();
  d->workers = g_ptr_array_new ();
  d->log = g_ptr_array_new ();
  for (guint i = 0; i < workers; i++)
    {
      struct iv_host_entry entry = { 0 };
      char *name = g_strdup_printf ("w%04u", i);
      struct fake_worker *worker
          = fake_worker_new (name, (ivx_size){ 64000, 250000, 0 }, d->now.mono_ms, WALL_MS, i + 1);
      entry.info = (ivx_worker){ worker->name, (char *)"r", worker->name, worker->size, WALL_MS };
      g_array_append_val (list, entry);
      g_ptr_array_add (d->workers, worker);
      g_free (name);
    }
  iv_planner_set_hosts (d->planner, list);
  g_array_free (list, TRUE);
  return d;
}

/* One step of the planner; returns its processor time without that of the fakes. */
static gint64
step (struct domain *d)
{
  struct iv_planner_output *output;
  gint64 begin = cpu_ns (), spent;
  iv_planner_read_end (d->planner, d->now.mono_ms);
  iv_planner_set_config (d->planner, d->config, d->now.mono_ms);
  output = iv_planner_step (d->planner, d->now, stay, NULL);
  if (output->batch)
    {
      ivx_batch batch;
      iv_batch_decode (output->batch->data, output->batch->len, &batch);
      iv_planner_fold (d->planner, d->now, d->log->len, &batch);
      iv_batch_clear (&batch);
      d->bytes += output->batch->len;
      g_ptr_array_add (d->log, g_steal_pointer (&output->batch));
    }
  spent = cpu_ns () - begin;
  for (guint i = 0; i < output->syncs->len; i++)
    {
      const struct iv_sync *sync = g_ptr_array_index (output->syncs, i);
      struct iv_sync_reply *reply = fake_worker_sync (
          g_ptr_array_index (d->workers, (guint)atoi (sync->address + 1)), d->now.mono_ms, sync);
      begin = cpu_ns ();
      iv_planner_reply (d->planner, d->now, sync->worker, d->now.mono_ms, reply);
      spent += cpu_ns () - begin;
    }
  for (guint i = 0; i < output->config_records->len; i++)
    fold_config (d, &g_array_index (output->config_records, ivx_record, i));
  iv_planner_output_free (output);
  d->now.mono_ms += 100;
  d->now.wall_ms += 100;
  return spent;
}

static gint64
replay (const struct domain *d)
{
  struct iv_cell *cell = iv_cell_new ("d");
  gint64 begin = cpu_ns ();
  for (guint i = 0; i < d->log->len; i++)
    {
      const GByteArray *bytes = g_ptr_array_index (d->log, i);
      ivx_batch batch;
      iv_batch_decode (bytes->data, bytes->len, &batch);
      iv_cell_apply (cell, i, &batch);
      iv_batch_clear (&batch);
    }
  iv_cell_free (cell);
  return cpu_ns () - begin;
}

static void
domain_free (struct domain *d)
{
  iv_planner_free (d->planner);
  iv_config_free (d->config);
  for (guint i = 0; i < d->workers->len; i++)
    fake_worker_free (g_ptr_array_index (d->workers, i));
  g_ptr_array_free (d->workers, TRUE);
  for (guint i = 0; i < d->log->len; i++)
    g_byte_array_free (g_ptr_array_index (d->log, i), TRUE);
  g_ptr_array_free (d->log, TRUE);
  g_free (d);
}

static void
measure (guint size, struct slope *decision, struct slope *idle, struct slope *memory,
         struct slope *snapshot, struct slope *recovery, struct slope *start_bytes)
{
  guint workers = worker_counts[size], tasks = workers * tasks_per_worker;
  struct domain *d = domain_new (workers);
  guint64 bytes_before;
  gint64 spent = 0;
  size_t heap_before;
  GByteArray *bytes;
  for (guint i = 0; i < 20; i++)
    step (d);
  heap_before = mallinfo2 ().uordblks;
  bytes_before = d->bytes;
  submit (d, "resident", tasks, 100000000);
  while (g_hash_table_size (iv_planner_cell (d->planner)->tasks) < tasks)
    step (d);
  memory->y[size] = (double)(mallinfo2 ().uordblks - heap_before) / tasks;
  for (guint i = 0; i < 5; i++)
    step (d);
  start_bytes->y[size] = (double)(d->bytes - bytes_before) / tasks;
  /* Starts on top of the resident ones: each step binds what is new. */
  for (guint round = 0; round < 5; round++)
    {
      char name[32];
      snprintf (name, sizeof name, "new-%u", round);
      submit (d, name, workers, 100000000);
      step (d);
      spent += step (d);
    }
  decision->y[size] = (double)spent / (5.0 * workers);
  spent = 0;
  for (guint i = 0; i < 20; i++)
    spent += step (d);
  idle->y[size] = (double)spent / 2.0 / 1e6; /* 20 steps are two seconds */
  bytes = iv_cell_save (iv_planner_cell (d->planner));
  snapshot->y[size] = bytes->len / 1024.0;
  g_byte_array_free (bytes, TRUE);
  recovery->y[size] = (double)replay (d) / 1e6;
  decision->x[size] = idle->x[size] = memory->x[size] = snapshot->x[size] = recovery->x[size]
      = start_bytes->x[size] = workers;
  domain_free (d);
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
