/**
 * @file horizon_bench.c
 * Trade-off of the horizon (`horizon_ms` of the planner), in simulated time: how soon the tasks of
 * a failure domain that cannot be reached run in another one, against how much an outage of the log
 * delays a job.
 */
#include "world.h"

#include <stdio.h>

#define TASKS 6
#define RUN_TIME_MS 60000
#define BEFORE_FAULT_MS 10000 /* run time of the job before the fault */
#define OUTAGE_MS 30000
#define RUN_MAX_MS 400000

/* Counts the starts and ends on all workers. */
struct observer
{
  struct world *world;
  guint done;
  guint starts;
  gint64 last_start_ms;
};

static void
on_started (void *context, struct fake_worker *worker, const struct fake_task *task)
{
  struct observer *observer = context;
  observer->starts++;
  observer->last_start_ms = observer->world->now_ms;
}

static void
on_done (void *context, struct fake_worker *worker, const struct fake_task *task)
{
  ((struct observer *)context)->done++;
}

static struct world *
start_run (gint64 horizon_ms, struct observer *observer)
{
  struct iv_planner_options options = iv_planner_default_options ();
  struct world *world;
  options.horizon_ms = horizon_ms;
  world = world_new (1, &options);
  *observer = (struct observer){ .world = world };
  for (guint d = 0; d < WORLD_DOMAINS; d++)
    for (guint w = 0; w < WORLD_WORKERS; w++)
      {
        world->workers[d][w]->started = on_started;
        world->workers[d][w]->done = on_done;
        world->workers[d][w]->context = observer;
      }
  world_advance (world, 2000);
  world_submit_job (world, "job0", 0, TASKS, 2000, RUN_TIME_MS, FALSE);
  world_advance (world, BEFORE_FAULT_MS);
  return world;
}

/* Seconds from the loss of a domain until all its tasks have started in the other one. */
static double
takeover_s (gint64 horizon_ms)
{
  struct observer observer;
  struct world *world = start_run (horizon_ms, &observer);
  gint64 since_ms = world->now_ms;
  double seconds;
  for (guint h = 0; h < WORLD_HOSTS; h++)
    world->partitioned[h][0] = TRUE;
  while (observer.starts < 2 * TASKS && world->now_ms - since_ms < RUN_MAX_MS)
    world_step (world);
  seconds = (double)(observer.last_start_ms - since_ms) / 1000;
  world_free (world);
  return seconds;
}

/* Seconds by which an outage of the log delays the end of the job. */
static double
outage_delay_s (gint64 horizon_ms)
{
  struct observer observer;
  struct world *world = start_run (horizon_ms, &observer);
  gint64 since_ms = world->now_ms;
  double seconds;
  world->log_down = TRUE;
  world_advance (world, OUTAGE_MS);
  world->log_down = FALSE;
  while (observer.done < TASKS && world->now_ms - since_ms < RUN_MAX_MS)
    world_step (world);
  seconds = (double)(world->now_ms - since_ms - (RUN_TIME_MS - BEFORE_FAULT_MS)) / 1000;
  world_free (world);
  return seconds;
}

int
main (int argc, char **argv)
{
  static const gint64 horizons_ms[] = { 2000, 5000, 10000, 20000, 40000, 60000 };
  for (guint i = 0; i < G_N_ELEMENTS (horizons_ms); i++)
    printf ("horizon seconds=%.0f silent_domain_runs_elsewhere_after_s=%.1f "
            "log_outage_of_%d_s_delays_job_by_s=%.1f\n",
            (double)horizons_ms[i] / 1000, takeover_s (horizons_ms[i]), OUTAGE_MS / 1000,
            outage_delay_s (horizons_ms[i]));
  return 0;
}
