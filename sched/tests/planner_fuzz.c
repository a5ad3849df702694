/**
 * @file planner_fuzz.c
 * Stateful fuzz test of several planners, workers and the log, checked by the oracle. Each two
 * bytes of the input are one event and its target. Afterwards all faults end and all jobs have to
 * finish.
 */
#include "oracle.h"

#include <stdint.h>
#include <stdio.h>
#include <stdlib.h>

#define EVENTS_MAX 150
/* Enough to run all tasks that an input can submit sequentially on half of the workers. */
#define COMPLETION_TIMEOUT_MS 1500000

/* Target and argument of an event, decoded from its second byte. */
struct target
{
  guint host;
  guint domain;
  guint worker;
  guint number;
};

struct run
{
  struct world *world;
  guint jobs;
};

typedef void (*event_fn) (struct run *run, struct target target);

static void
advance (struct run *run, struct target target)
{
  world_advance (run->world, 300 * (1 + target.number));
}

static void
submit (struct run *run, struct target target)
{
  char *name = g_strdup_printf ("job%u", run->jobs++);
  world_submit_job (run->world, name, target.domain, 1 + target.number, 1000 + 1500 * target.worker,
                    500 + 6000 * target.host, FALSE);
  g_free (name);
}

static void
submit_once (struct run *run, struct target target)
{
  char *name = g_strdup_printf ("once%u", run->jobs++);
  world_submit_job (run->world, name, target.domain, 1 + target.number, 2000,
                    1000 + 7000 * target.host, TRUE);
  g_free (name);
}

static void
cancel (struct run *run, struct target target)
{
  char *name
      = g_strdup_printf ("job%u", run->jobs ? (target.number * 3 + target.host) % run->jobs : 0);
  world_cancel_job (run->world, name);
  g_free (name);
}

static void
toggle_out (struct run *run, struct target target)
{
  world_set_domain_out (run->world, target.domain, run->world->out_since_ms[target.domain] < 0);
}

static void
toggle_pause (struct run *run, struct target target)
{
  run->world->hosts[target.host].paused = !run->world->hosts[target.host].paused;
}

static void
toggle_dead (struct run *run, struct target target)
{
  struct world_host *host = &run->world->hosts[target.host];
  if (host->dead)
    world_replace_host (run->world, target.host);
  host->dead = !host->dead;
}

static void
replace_host (struct run *run, struct target target)
{
  if (!run->world->hosts[target.host].dead)
    world_replace_host (run->world, target.host);
}

static void
toggle_log (struct run *run, struct target target)
{
  run->world->log_down = !run->world->log_down;
}

static void
toggle_log_cut (struct run *run, struct target target)
{
  run->world->hosts[target.host].log_partitioned = !run->world->hosts[target.host].log_partitioned;
}

static void
toggle_lost_replies (struct run *run, struct target target)
{
  run->world->lossy_log = !run->world->lossy_log;
}

static void
toggle_cut (struct run *run, struct target target)
{
  gboolean *partitioned = &run->world->partitioned[target.host][target.domain];
  *partitioned = !*partitioned;
}

static void
toggle_frozen (struct run *run, struct target target)
{
  gboolean *frozen = &run->world->worker_frozen[target.domain][target.worker];
  *frozen = !*frozen;
}

static void
reboot (struct run *run, struct target target)
{
  struct world *world = run->world;
  fake_worker_reboot (world->workers[target.domain][target.worker], world->now_ms, world->wall_ms,
                      ++world->last_id);
}

static void
toggle_failing (struct run *run, struct target target)
{
  struct fake_worker *worker = run->world->workers[target.domain][target.worker];
  worker->fail_all_tasks = !worker->fail_all_tasks;
}

static void
toggle_listed (struct run *run, struct target target)
{
  gboolean *listed = &run->world->worker_listed[target.domain][target.worker];
  *listed = !*listed;
}

static void
set_delay (struct run *run, struct target target)
{
  static const gint64 delays[] = { 20, 400, 3000, 9000 };
  run->world->delay_max_ms = delays[target.number % G_N_ELEMENTS (delays)];
}

static void
expire_log (struct run *run, struct target target)
{
  world_expire_records (run->world, 8000);
}

static const event_fn events[] = {
  advance,      advance,       submit,       submit_once,    cancel,         toggle_out,
  toggle_pause, toggle_dead,   replace_host, toggle_log,     toggle_log_cut, toggle_lost_replies,
  toggle_cut,   toggle_frozen, reboot,       toggle_failing, toggle_listed,  set_delay,
  expire_log,   advance,       submit,       advance,
};

static void
fail (const struct oracle *oracle, gsize at)
{
  fprintf (stderr, "violation at event %zu, %" G_GINT64_FORMAT " ms: %s\n", at,
           oracle->world->now_ms, oracle->violation ? oracle->violation : "not all jobs ended");
  oracle_dump (oracle, stderr);
  world_print_log (oracle->world, "config", stderr);
  world_print_log (oracle->world, "domain.alpha", stderr);
  world_print_log (oracle->world, "domain.beta", stderr);
  /* The run with an injected fault has to fail; its exit code tells ctest that it was no crash. */
  if (g_getenv ("IV_MUTATE_FENCE"))
    exit (1);
  abort ();
}

static void
run_to_completion (struct oracle *oracle, gsize at)
{
  world_clear_faults (oracle->world);
  for (guint d = 0; d < WORLD_DOMAINS; d++)
    world_set_domain_out (oracle->world, d, FALSE);
  for (gint64 until = oracle->world->now_ms + COMPLETION_TIMEOUT_MS; oracle->world->now_ms < until;)
    {
      world_step (oracle->world);
      if (!oracle_check (oracle))
        fail (oracle, at);
      if (oracle->world->now_ms % 5000 == 0 && oracle_all_ended (oracle))
        break;
    }
  world_advance (oracle->world, 1000);
  if (!oracle_all_ended (oracle) || !oracle_states_agree (oracle))
    fail (oracle, at);
}

int LLVMFuzzerTestOneInput (const uint8_t *data, size_t size);

int
LLVMFuzzerTestOneInput (const uint8_t *data, size_t size)
{
  struct iv_planner_options options = iv_planner_default_options ();
  struct run run = { 0 };
  struct oracle *oracle;
  gsize i;
  options.horizon_ms = 8000;
  options.snapshot_every = 30;
  options.snapshot_interval_ms = 5000;
  options.cooldown_ms = 2000;
  run.world = world_new (size, &options);
  for (guint d = 0; d < WORLD_DOMAINS; d++)
    for (guint w = 0; w < WORLD_WORKERS; w++)
      run.world->workers[d][w]->skip_fence = g_getenv ("IV_MUTATE_FENCE") != NULL;
  oracle = oracle_new (run.world);
  world_advance (run.world, 2000);
  for (i = 0; i + 1 < size && i < 2 * EVENTS_MAX; i += 2)
    {
      struct target target = { data[i + 1] % WORLD_HOSTS, (data[i + 1] >> 2) % WORLD_DOMAINS,
                               (data[i + 1] >> 3) % WORLD_WORKERS, data[i + 1] >> 5 };
      events[data[i] % G_N_ELEMENTS (events)](&run, target);
      for (guint step = 0; step < 3; step++)
        {
          world_step (run.world);
          if (!oracle_check (oracle))
            fail (oracle, i / 2);
        }
    }
  run_to_completion (oracle, i / 2);
  oracle_free (oracle);
  world_free (run.world);
  return 0;
}
