#include "crash.h"

#include "event.h"
#include "owner_private.h"

#include <stdlib.h>

/* A worker that is alive this long after the start of a run has survived it. Tasks that crash
   their workers were seen to do so within some 10 ms; lists come every 500 ms. */
#define PROBATION_MS 500
/* Last replies of workers that end together are this close: a poll is held for 500 ms. */
#define TOGETHER_MS 700
#define TOGETHER_MIN 2 /* other workers that must have ended with one for a common cause */

static const char *const phase_names[] = { "starting", "unsure", "running", "stopping" };

static void
prove_run (struct iv_run *run, gint64 clock_ms)
{
  if (run->proven || (run->phase != IV_RUN_PHASE_RUNNING && run->first_clock_ms == 0))
    return;
  if (run->first_clock_ms == 0)
    run->first_clock_ms = run->acked_clock_ms > 0 ? run->acked_clock_ms : clock_ms;
  run->proven = clock_ms - run->first_clock_ms >= PROBATION_MS;
}

void
iv_crash_worker_replied (struct iv_owner *owner, struct iv_fleet_worker *worker)
{
  for (guint i = 0; i < worker->runs->len; i++)
    prove_run (g_ptr_array_index (worker->runs, i), worker->sample_clock_ms);
}

static gboolean
ended_with (const struct iv_fleet_worker *other, gint64 alive_ms)
{
  gint64 last_ms = other->failures > 0 ? other->alive_ms : other->ended_alive_ms;
  return last_ms > 0 && ABS (last_ms - alive_ms) <= TOGETHER_MS;
}

static gboolean
survived (const struct iv_fleet_worker *other, gint64 alive_ms)
{
  return other->failures == 0 && other->instance_alive_since_ms > 0
         && other->instance_alive_since_ms <= alive_ms && other->alive_ms > alive_ms + TOGETHER_MS;
}

/* Workers that went at about the same time as one of them, and those that did not. */
struct neighbours
{
  guint ended;
  guint survived;
};

static void
count_neighbour (struct neighbours *neighbours, const struct iv_fleet_worker *other,
                 gint64 alive_ms)
{
  neighbours->ended += ended_with (other, alive_ms);
  neighbours->survived += survived (other, alive_ms);
}

static gboolean
have_common_cause (const struct neighbours *neighbours)
{
  return neighbours->ended >= TOGETHER_MIN && neighbours->ended >= 2 * neighbours->survived;
}

/* The cause of an end that is not to be looked for among the runs; NULL: there is none. */
static const char *
outer_cause (const struct iv_owner *owner, const struct iv_fleet_worker *worker)
{
  struct neighbours rack = { 0 };
  struct neighbours domain = { 0 };
  GHashTableIter iter;
  gpointer value;
  if (worker->draining || worker->left_in_order)
    return "left";
  g_hash_table_iter_init (&iter, owner->fleet->by_id);
  while (g_hash_table_iter_next (&iter, NULL, &value))
    {
      const struct iv_fleet_worker *other = value;
      if (other == worker)
        continue;
      if (g_strcmp0 (other->rack, worker->rack) == 0)
        count_neighbour (&rack, other, worker->alive_ms);
      if (g_strcmp0 (other->domain, worker->domain) == 0)
        count_neighbour (&domain, other, worker->alive_ms);
    }
  if (have_common_cause (&rack))
    return "rack";
  return have_common_cause (&domain) ? "domain" : NULL;
}

static void
log_lost_run (const struct iv_run *run, const char *evidence)
{
  const struct iv_fleet_worker *worker = run->worker;
  iv_event (IV_LEVEL_INFO, "run.lost",
            "task=%s.%u.%u.%u run=%" G_GINT64_FORMAT " worker=%s evidence=%s phase=%s proven=%d"
            " sent_before_last_reply_ms=%" G_GINT64_FORMAT,
            run->name.job, run->name.occurrence, run->name.step, run->name.index, run->number,
            worker->id, evidence, phase_names[run->phase], run->proven,
            worker->alive_ms - run->sent_ms);
}

static guint
count_unproven (const struct iv_fleet_worker *worker)
{
  guint count = 0;
  for (guint i = 0; i < worker->runs->len; i++)
    count += !((const struct iv_run *)g_ptr_array_index (worker->runs, i))->proven;
  return count;
}

void
iv_crash_worker_ended (struct iv_owner *owner, struct iv_fleet_worker *worker, const char *evidence)
{
  const char *cause = outer_cause (owner, worker);
  if (worker->runs->len > 0)
    iv_event (IV_LEVEL_WARNING, "worker.ended",
              "worker=%s evidence=%s runs=%u unproven=%u cause=%s last_reply_ms=%" G_GINT64_FORMAT,
              worker->id, evidence, worker->runs->len, count_unproven (worker),
              cause ? cause : "unknown", worker->alive_ms);
  for (guint i = 0; i < worker->runs->len; i++)
    log_lost_run (g_ptr_array_index (worker->runs, i), evidence);
  worker->ended_alive_ms = worker->alive_ms;
  worker->left_in_order = FALSE;
}

void
iv_crash_run_lapsed (struct iv_owner *owner, struct iv_run *run)
{
  log_lost_run (run, run->worker->listed ? "silent" : "silent_unlisted");
}
