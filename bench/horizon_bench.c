/**
 * @file horizon_bench.c
 * The trade-off of the horizon: how soon the tasks of a silent failure domain run elsewhere,
 * against what an outage of the log costs, for several horizons.
 */
#include "world.h"

#include <stdio.h>

#define TASKS 6
#define RUN_TIME_MS 60000
#define OUTAGE_MS 30000
#define LIMIT_MS 400000

struct watch
{
  struct world *world;
  guint done;
  guint starts;
  gint64 last_start_ms;
};

static void
on_started (void *context, struct fake_worker *worker, const struct fake_task *task)
{
  struct watch *watch = context;
  watch->starts++;
  watch->last_start_ms = watch->world->now_ms;
}

static void
on_done (void *context, struct fake_worker *worker, const struct fake_task *task)
{
  ((struct watch *)context)->done++;
}

static struct world *
begin (gint64 horizon_ms, struct watch *watch)
{
  struct iv_planner_options options = iv_planner_default_options ();
  struct world *world;
  options.horizon_ms = horizon_ms;
  world = world_new (1, &options);
  *watch = (struct watch){ .world = world };
  for (guint d = 0; d < WORLD_DOMAINS; d++)
    for (guint w = 0; w < WORLD_WORKERS; w++)
      {
        world->workers[d][w]->started = on_started;
        world->workers[d][w]->done = on_done;
        world->workers[d][w]->context = watch;
      }
  world_run (world, 2000);
  world_submit (world, "job0", 0, TASKS, 2000, RUN_TIME_MS, FALSE);
  world_run (world, 10000);
  return world;
}

/* Seconds until every task of the silent domain runs in the other one. */
static double
adoption_s (gint64 horizon_ms)
{
  struct watch watch;
  struct world *world = begin (horizon_ms, &watch);
  gint64 since_ms = world->now_ms;
  double seconds;
  for (guint h = 0; h < WORLD_HOSTS; h++)
    world->cut[h][0] = TRUE;
  while (watch.starts < 2 * TASKS && world->now_ms - since_ms < LIMIT_MS)
    world_step (world);
  seconds = (double)(watch.last_start_ms - since_ms) / 1000;
  world_free (world);
  return seconds;
}

/* Seconds by which the job ends later because of an outage of the log. */
static double
outage_delay_s (gint64 horizon_ms)
{
  struct watch watch;
  struct world *world = begin (horizon_ms, &watch);
  gint64 since_ms = world->now_ms;
  double seconds;
  world->log_down = TRUE;
  world_run (world, OUTAGE_MS);
  world->log_down = FALSE;
  while (watch.done < TASKS && world->now_ms - since_ms < LIMIT_MS)
    world_step (world);
  seconds = (double)(world->now_ms - since_ms - (RUN_TIME_MS - 10000)) / 1000;
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
            (double)horizons_ms[i] / 1000, adoption_s (horizons_ms[i]), OUTAGE_MS / 1000,
            outage_delay_s (horizons_ms[i]));
  return 0;
}
