/**
 * @file workspaces_bench.c
 * CPU time of a dispatch of an owner with 20 and with 2,000 workspaces, against the same owner
 * without any: in a cell that is full, and where tasks wait for the limits of their workspaces.
 * 2,560 tasks run and 1,440 wait; no start is sent in a measured dispatch.
 */
#include "owner.h"

#include <stdio.h>
#include <string.h>
#include <time.h>

#define WORKERS 160
#define WORKER_MILLI 16000
#define TASK_MILLI 1000
#define JOBS 4000
#define RUNS (WORKERS * WORKER_MILLI / TASK_MILLI)
#define DISPATCHES 50
#define START_MS 100000

/* An owner, and the calls that wait for their replies. */
struct cell
{
  struct iv_job_table *jobs;
  struct iv_owner *owner;
  guint workspaces;
  gint64 limit_milli; /* of each workspace; -1: none */
  GArray *polled;     /* of guint32: handles of workers */
  gint64 now_ms;
};

static void
on_start (void *context, const struct iv_fleet_worker *worker,
          const struct iv_start_command *command)
{
}

static guint
on_start_credit (void *context)
{
  return G_MAXUINT;
}

static void
on_poll (void *context, const struct iv_fleet_worker *worker, gint64 lease_end_clock_ms,
         gint64 wait_ms)
{
  struct cell *cell = context;
  g_array_append_val (cell->polled, worker->handle);
}

static gboolean
on_queue (void *context, const char *host, const char *prefix, struct iv_queue_policy *policy)
{
  *policy = (struct iv_queue_policy){ "service", 0, 3, 2.0, 1000, FALSE, TRUE };
  return TRUE;
}

static gboolean
on_is_domain_in_service (void *context, const char *domain)
{
  return TRUE;
}

static gboolean
on_owns_job (void *context, const struct iv_job_entry *job)
{
  return TRUE;
}

static gint
on_find_move_target (void *context, const struct iv_move_needs *needs)
{
  return -1;
}

static void
on_workspace_limit (void *context, const char *workspace, struct iv_workspace_limit *limit)
{
  const struct cell *cell = context;
  limit->limited = cell->limit_milli >= 0;
  limit->max = (struct iv_resources){ cell->limit_milli, -1, -1 };
}

static double
on_workspace_weight (void *context, const char *workspace)
{
  return 1000;
}

static void
add_jobs (struct cell *cell)
{
  ivj_step step = { .count = 1, .cpu_milli = TASK_MILLI, .estimate_ms = 100000 };
  ivj_job spec = { .accepted_ms = START_MS };
  step.label = step.data_rack = step.image = (char *)"";
  spec.host = spec.prefix = spec.spec = (char *)"x";
  spec.steps.steps_len = 1;
  spec.steps.steps_val = &step;
  for (guint i = 0; i < JOBS; i++)
    {
      char id[IV_JOB_ID_LEN + 1];
      char workspace[32] = "";
      GByteArray *bytes;
      g_snprintf (id, sizeof id, "%016x", i);
      if (cell->workspaces > 0)
        g_snprintf (workspace, sizeof workspace, "workspace-%u", i % cell->workspaces);
      bytes = iv_job_encode_spec (&spec, workspace, -1);
      iv_job_table_apply (cell->jobs, id, bytes->data, bytes->len);
      g_byte_array_free (bytes, TRUE);
    }
}

static void
add_workers (struct cell *cell)
{
  char *labels[] = { NULL };
  for (guint i = 0; i < WORKERS; i++)
    {
      char id[16], rack[16];
      struct iv_listed_worker listed = { .id = id,
                                         .service = "service",
                                         .address = "127.0.0.1:1",
                                         .domain = "a",
                                         .rack = rack,
                                         .labels = labels,
                                         .capacity = { WORKER_MILLI, 100000, 0 },
                                         .start_time_ms = 1,
                                         .clock_ms = START_MS };
      g_snprintf (id, sizeof id, "w%u", i);
      g_snprintf (rack, sizeof rack, "r%u", i / 8);
      iv_owner_worker_listed (cell->owner, &listed, cell->now_ms);
    }
  iv_owner_worker_list_loaded (cell->owner);
}

static void
tick (struct cell *cell)
{
  const struct iv_owner_authority authority = { 0, TRUE, cell->now_ms + 8000 };
  GByteArray *roster;
  cell->now_ms += 10;
  iv_owner_config_changed (cell->owner);
  iv_owner_tick (cell->owner, &authority, cell->now_ms, cell->now_ms);
  roster = iv_owner_collect_roster (cell->owner, cell->now_ms);
  if (roster == NULL)
    return;
  g_byte_array_free (roster, TRUE);
  iv_owner_roster_stored (cell->owner, TRUE);
}

/* Workers reply to their first polls, and then hold the others. */
static void
reply_to_polls (struct cell *cell)
{
  struct iv_poll_reply reply = { .clock = START_MS, .start_time_ms = 1 };
  reply.runs = g_array_new (FALSE, FALSE, sizeof (struct iv_listed_run));
  reply.ends = g_array_new (FALSE, FALSE, sizeof (struct iv_listed_end));
  for (guint i = 0; i < cell->polled->len; i++)
    iv_owner_poll_replied (cell->owner, g_array_index (cell->polled, guint32, i), IV_COMMAND_OK,
                           &reply, cell->now_ms);
  g_array_set_size (cell->polled, 0);
  g_array_unref (reply.runs);
  g_array_unref (reply.ends);
}

static guint
count_runs (struct cell *cell)
{
  GHashTableIter iter;
  gpointer value;
  guint runs = 0;
  g_hash_table_iter_init (&iter, iv_owner_fleet (cell->owner)->by_id);
  while (g_hash_table_iter_next (&iter, NULL, &value))
    runs += ((const struct iv_fleet_worker *)value)->runs->len;
  return runs;
}

static gint64
cpu_ns (void)
{
  struct timespec now;
  clock_gettime (CLOCK_PROCESS_CPUTIME_ID, &now);
  return (gint64)now.tv_sec * 1000000000 + now.tv_nsec;
}

/* CPU time of a tick with a dispatch, in microseconds. */
static double
measure (guint workspaces, gboolean limited)
{
  struct cell cell = { .workspaces = workspaces, .limit_milli = -1, .now_ms = START_MS };
  struct iv_owner_limits limits = { .lease_ms = 5000,
                                    .lease_max_ms = 10000,
                                    .start_ms = 1500,
                                    .horizon_ms = 8600,
                                    .evidence_max_age_ms = 5000,
                                    .harm_ms = 4000,
                                    .far_factor_milli = 2000,
                                    .capacity_max_age_ms = 4000 };
  struct iv_owner_effects effects = { .context = &cell,
                                      .start = on_start,
                                      .start_credit = on_start_credit,
                                      .poll = on_poll,
                                      .queue = on_queue,
                                      .is_domain_in_service = on_is_domain_in_service,
                                      .owns_job = on_owns_job,
                                      .find_move_target = on_find_move_target };
  gint64 begin_ns, spent_ns;
  if (workspaces > 0)
    {
      effects.workspace_limit = on_workspace_limit;
      effects.workspace_weight = on_workspace_weight;
    }
  if (limited)
    cell.limit_milli = (gint64)RUNS / MAX (workspaces, 1) * TASK_MILLI;
  cell.polled = g_array_new (FALSE, FALSE, sizeof (guint32));
  cell.jobs = iv_job_table_new ();
  add_jobs (&cell);
  cell.owner
      = iv_owner_new (cell.jobs, IV_FENCES_PER_TERM, &limits, &effects, cell.now_ms, cell.now_ms);
  add_workers (&cell);
  for (guint i = 0; i < 4; i++)
    {
      tick (&cell);
      reply_to_polls (&cell);
    }
  begin_ns = cpu_ns ();
  for (guint i = 0; i < DISPATCHES; i++)
    tick (&cell);
  spent_ns = cpu_ns () - begin_ns;
  fprintf (stderr, "workspaces=%u limited=%d runs=%u\n", workspaces, limited, count_runs (&cell));
  iv_owner_free (cell.owner);
  iv_job_table_free (cell.jobs);
  g_array_unref (cell.polled);
  return (double)spent_ns / DISPATCHES / 1000;
}

static void
print (const char *measure_name, guint workspaces, double ours, double baseline)
{
  printf ("bench measure=%s_%u user=hard_load ours=%.0f baseline=%.0f "
          "baseline_name=no_workspaces_in_a_full_cell unit=us seed=0\n",
          measure_name, workspaces, ours, baseline);
}

static GLogWriterOutput
drop_log (GLogLevelFlags level, const GLogField *fields, gsize count, gpointer data)
{
  return G_LOG_WRITER_HANDLED;
}

int
main (void)
{
  static const guint counts[] = { 20, 2000 };
  double baseline;
  g_log_set_writer_func (drop_log, NULL, NULL);
  baseline = measure (0, FALSE);
  for (guint i = 0; i < G_N_ELEMENTS (counts); i++)
    {
      print ("dispatch_full_cell", counts[i], measure (counts[i], FALSE), baseline);
      print ("dispatch_at_limits", counts[i], measure (counts[i], TRUE), baseline);
    }
  return 0;
}
