/**
 * @file horizon_bench.c
 * The trade-off of the horizon: how soon the tasks of a silent failure domain run elsewhere,
 * against what an outage of the log costs, for several horizons.
 */
#include "cluster.h"

#include <stdio.h>

#define TASKS 6
#define RUN_TIME_MS 60000
#define OUTAGE_MS 30000
#define LIMIT_MS 400000

struct watch
{
  struct cluster *cluster;
  guint done;
  guint starts;
  gint64 last_start_ms;
};

static void
on_started (void *context, struct fake_worker *worker, const struct fake_task *task)
{
  struct watch *watch = context;
  watch->starts++;
  watch->last_start_ms = watch->cluster->now_ms;
}

static void
on_done (void *context, struct fake_worker *worker, const struct fake_task *task)
{
  ((struct watch *)context)->done++;
}

static struct cluster *
begin (gint64 horizon_ms, struct watch *watch)
{
  struct iv_planner_options options = iv_planner_default_options ();
  struct cluster *cluster;
  options.horizon_ms = horizon_ms;
  cluster = cluster_new (1, &options);
  *watch = (struct watch){ .cluster = cluster };
  for (guint d = 0; d < CLUSTER_DOMAINS; d++)
    for (guint w = 0; w < CLUSTER_WORKERS; w++)
      {
        cluster->workers[d][w]->started = on_started;
        cluster->workers[d][w]->done = on_done;
        cluster->workers[d][w]->context = watch;
      }
  cluster_advance (cluster, 2000);
  cluster_submit_job (cluster, "job0", 0, TASKS, 2000, RUN_TIME_MS, FALSE);
  cluster_advance (cluster, 10000);
  return cluster;
}

/* Seconds until every task of the silent domain runs in the other one. */
static double
adoption_s (gint64 horizon_ms)
{
  struct watch watch;
  struct cluster *cluster = begin (horizon_ms, &watch);
  gint64 since_ms = cluster->now_ms;
  double seconds;
  for (guint h = 0; h < CLUSTER_HOSTS; h++)
    cluster->partitioned[h][0] = TRUE;
  while (watch.starts < 2 * TASKS && cluster->now_ms - since_ms < LIMIT_MS)
    cluster_step (cluster);
  seconds = (double)(watch.last_start_ms - since_ms) / 1000;
  cluster_free (cluster);
  return seconds;
}

/* Seconds by which the job ends later because of an outage of the log. */
static double
outage_delay_s (gint64 horizon_ms)
{
  struct watch watch;
  struct cluster *cluster = begin (horizon_ms, &watch);
  gint64 since_ms = cluster->now_ms;
  double seconds;
  cluster->log_down = TRUE;
  cluster_advance (cluster, OUTAGE_MS);
  cluster->log_down = FALSE;
  while (watch.done < TASKS && cluster->now_ms - since_ms < LIMIT_MS)
    cluster_step (cluster);
  seconds = (double)(cluster->now_ms - since_ms - (RUN_TIME_MS - 10000)) / 1000;
  cluster_free (cluster);
  return seconds;
}

int
main (int argc, char **argv)
{
  static const gint64 horizons_ms[] = { 2000, 5000, 10000, 20000, 40000, 60000 };
  for (guint i = 0; i < G_N_ELEMENTS (horizons_ms); i++)
    printf ("horizon seconds=%.0f silent_domain_runs_elsewhere_after_s=%.1f "
            "log_outage_of_%d_s_delays_job_by_s=%.1f\n",
            (double)horizons_ms[i] / 1000, adoption_s (horizons_ms[i]), OUTAGE_MS / 1000,
            outage_delay_s (horizons_ms[i]));
  return 0;
}
