#include "owner_private.h"

#include "crash.h"
#include "event.h"

#include <string.h>

#define LATE_START_MAX_MS 15000 /* a start without a reply is not carried out later */
/* A worker does not restart in less; an idle one is polled twice in it while unconfirmed. */
#define INSTANCE_SEEN_MS 1200
#define CLOCK_AHEAD_MAX_MS 10000 /* a reply is not older than this when it is read */
#define CLAIM_POLL_MS 250
#define CLAIM_MAX_MS 2000 /* replies to polls from before the claim have arrived by then */

/* Lower bound of the worker's clock at @a at_ms, which may be before its newest sample. */
static gint64
clock_min_at (const struct iv_fleet_worker *worker, gint64 at_ms)
{
  return MIN (iv_worker_clock (worker, at_ms), iv_worker_clock_min (worker, at_ms));
}

gboolean
iv_owner_is_other_instance (const struct iv_fleet_worker *worker, gint64 sent_ms, gint64 clock)
{
  return clock > 0 && clock < clock_min_at (worker, sent_ms);
}

gboolean
iv_owner_trusts_instance (const struct iv_owner *owner, const struct iv_fleet_worker *worker,
                          gint64 now_ms)
{
  if (worker->claim)
    return FALSE;
  if (owner->confirmed_ms >= now_ms)
    return TRUE;
  return worker->fenced_ms <= owner->confirmed_ms
         && now_ms <= worker->clock_sampled_at_ms + INSTANCE_SEEN_MS;
}

void
iv_owner_doubt_run (struct iv_run *run)
{
  if (run->phase != IV_RUN_PHASE_STOPPING)
    run->phase = IV_RUN_PHASE_UNCONFIRMED;
  run->acked_clock_ms = G_MAXINT64;
  run->stop_sent_ms = 0;
}

gboolean
iv_owner_is_doubted (const struct iv_run *run)
{
  return run->phase == IV_RUN_PHASE_UNCONFIRMED;
}

void
iv_owner_note_lost_start (const struct iv_run *run, gint64 now_ms)
{
  GArray *lost = run->worker->lost_starts;
  struct iv_lost_start start = { run->name, run->number, run->sent_ms + LATE_START_MAX_MS };
  while (lost->len > 0 && g_array_index (lost, struct iv_lost_start, 0).until_ms < now_ms)
    g_array_remove_index (lost, 0);
  g_array_append_val (lost, start);
}

void
iv_owner_forget_lost_start (const struct iv_run *run)
{
  GArray *lost = run->worker->lost_starts;
  for (guint i = lost->len; i-- > 0;)
    {
      const struct iv_lost_start *start = &g_array_index (lost, struct iv_lost_start, i);
      if (iv_run_find (run->worker, &start->name, start->number) == run)
        g_array_remove_index (lost, i);
    }
}

/* Adds a run to be stopped for each lost start that the new instance may still carry out. A task
   that waits is placed as that run until it is proven absent. */
static void
stop_lost_starts (struct iv_owner *owner, struct iv_fleet_worker *worker, gint64 now_ms)
{
  for (guint i = 0; i < worker->lost_starts->len; i++)
    {
      const struct iv_lost_start *start
          = &g_array_index (worker->lost_starts, struct iv_lost_start, i);
      struct iv_job_exec *exec = iv_owner_find_exec (owner, &start->name);
      struct iv_stage *stage = NULL;
      struct iv_job_task *task = exec ? iv_job_exec_task (exec, &start->name, &stage) : NULL;
      struct iv_run *run;
      if (now_ms > start->until_ms || iv_run_find (worker, &start->name, start->number))
        continue;
      run = iv_run_add (worker, &start->name, NULL, start->number,
                        start->until_ms - LATE_START_MAX_MS);
      run->phase = IV_RUN_PHASE_STOPPING;
      run->start_deadline_clock_ms = G_MAXINT64;
      iv_owner_doubt_run (run);
      if (task && stage && task->state == IV_JOB_TASK_WAITING)
        iv_owner_place_task (exec, stage, task, start->number);
    }
}

/* Takes the runs that no list of the instance before had out of the worker's. */
static GPtrArray *
steal_unlisted (struct iv_fleet_worker *worker)
{
  GPtrArray *kept = g_ptr_array_new ();
  for (guint i = worker->runs->len; i-- > 0;)
    {
      struct iv_run *run = g_ptr_array_index (worker->runs, i);
      if (!run->listed)
        g_ptr_array_add (kept, g_ptr_array_remove_index_fast (worker->runs, i));
    }
  return kept;
}

void
iv_owner_worker_restarted (struct iv_owner *owner, struct iv_fleet_worker *worker, gint64 now_ms)
{
  GPtrArray *kept;
  iv_crash_worker_ended (owner, worker, "reborn");
  kept = steal_unlisted (worker);
  iv_owner_drop_runs (owner, worker, "reborn");
  for (guint i = 0; i < kept->len; i++)
    {
      struct iv_run *run = g_ptr_array_index (kept, i);
      iv_owner_note_lost_start (run, now_ms);
      iv_owner_doubt_run (run);
      g_ptr_array_add (worker->runs, run);
      iv_event (IV_LEVEL_INFO, "run.doubted",
                "task=%s.%u.%u.%u run=%" G_GINT64_FORMAT " worker=%s term=%" G_GINT64_FORMAT
                " life=%" G_GINT64_FORMAT " sent_ago_ms=%" G_GINT64_FORMAT,
                run->name.job, run->name.occurrence, run->name.step, run->name.index, run->number,
                worker->id, owner->term, worker->start_time_ms, now_ms - run->sent_ms);
    }
  g_ptr_array_free (kept, TRUE);
  stop_lost_starts (owner, worker, now_ms);
  worker->restarted = TRUE;
  worker->horizon_end_ms = now_ms
                           + MAX (owner->limits.horizon_ms,
                                  owner->limits.lease_max_ms * IV_LEASE_MARGIN_PERCENT / 100);
}

/* Whether calls that a previous owner meant for an earlier instance may have reached the present
   one so lately that a lease from them goes on. The wall clock may be wrong, and so may the
   assumption that the worker's clock starts at 0. */
static gboolean
is_young (const struct iv_owner *owner, const struct iv_fleet_worker *worker, gint64 clock)
{
  gboolean has_predecessor = owner->roster_known || owner->roster_missing;
  gint64 age_ms = MIN (clock, owner->wall_ms - worker->start_time_ms);
  return has_predecessor && age_ms < LATE_START_MAX_MS + owner->limits.lease_max_ms;
}

void
iv_owner_bound_stray_lease (const struct iv_owner *owner, struct iv_fleet_worker *worker,
                            gint64 clock)
{
  if (worker->stray_lease_end_clock_ms != IV_LEASE_END_UNKNOWN)
    return;
  worker->stray_lease_end_clock_ms = worker->restarted || is_young (owner, worker, clock)
                                         ? clock + owner->limits.lease_max_ms
                                         : 0;
}

/* What in an entry contradicts the answers of the instance that it is about; NULL: nothing. */
static const char *
contradiction (const struct iv_fleet_worker *worker, const struct iv_listed_worker *listed,
               gint64 now_ms)
{
  if (worker->instance_alive_since_ms == 0 || listed->start_time_ms != worker->start_time_ms)
    return NULL;
  if (strcmp (listed->address, worker->address) != 0)
    return "other_address";
  return listed->clock_ms > iv_worker_clock (worker, now_ms) + CLOCK_AHEAD_MAX_MS ? "clock_ahead"
                                                                                  : NULL;
}

/* Calls to the claimed instance renew no lease and discard no ends. */
static void
poll_claimed (struct iv_owner *owner, struct iv_fleet_worker *worker, gint64 now_ms)
{
  struct iv_fleet_worker claimed = *worker;
  /* A suspended process reads entries before the tick that tells whether it still owns the cell. */
  if (now_ms > owner->valid_until_ms || now_ms < worker->next_claim_poll_ms)
    return;
  worker->next_claim_poll_ms = now_ms + CLAIM_POLL_MS;
  claimed.handle = worker->claim_handle;
  claimed.address = (char *)worker->claim->address;
  claimed.acked_end = 0;
  owner->effects.poll (owner->effects.context, &claimed, 0, 0);
}

static gboolean
has_unlisted_run (const struct iv_fleet_worker *worker)
{
  for (guint i = 0; i < worker->runs->len; i++)
    if (!((const struct iv_run *)g_ptr_array_index (worker->runs, i))->listed)
      return TRUE;
  return FALSE;
}

static void
claim_restart (struct iv_owner *owner, struct iv_fleet_worker *worker,
               const struct iv_listed_worker *listed, gint64 now_ms)
{
  gboolean claimed = worker->claim && worker->claim->start_time_ms == listed->start_time_ms;
  iv_listed_worker_free (worker->claim);
  worker->claim = iv_listed_worker_copy (listed);
  if (claimed)
    return;
  iv_event (IV_LEVEL_INFO, "worker.restart_claimed",
            "worker=%s life=%" G_GINT64_FORMAT " claimed=%" G_GINT64_FORMAT " runs=%u", worker->id,
            worker->start_time_ms, listed->start_time_ms, worker->runs->len);
  worker->claim_handle = iv_fleet_reserve_handle (owner->fleet);
  worker->claimed_ms = now_ms;
  worker->next_claim_poll_ms = now_ms;
  /* A start that has reached the new instance may have got the longest lease there. */
  if (has_unlisted_run (worker))
    worker->lease_end_clock_ms = MAX (worker->lease_end_clock_ms, iv_worker_clock (worker, now_ms)
                                                                      + owner->limits.lease_max_ms);
  poll_claimed (owner, worker, now_ms);
}

gboolean
iv_owner_admits_entry (struct iv_owner *owner, struct iv_fleet_worker *worker,
                       const struct iv_listed_worker *listed, gint64 now_ms)
{
  const char *reason = contradiction (worker, listed, now_ms);
  if (reason)
    {
      iv_event (IV_LEVEL_WARNING, "worker.ignored", "worker=%s reason=%s", worker->id, reason);
      return FALSE;
    }
  if (listed->start_time_ms <= worker->start_time_ms || worker->instance_alive_since_ms == 0
      || worker->runs->len == 0)
    return TRUE;
  claim_restart (owner, worker, listed, now_ms);
  return FALSE;
}

void
iv_owner_settle_claim (struct iv_owner *owner, struct iv_fleet_worker *worker, gint64 now_ms)
{
  struct iv_listed_worker *claim;
  gboolean restarted;
  if (worker->claim == NULL)
    return;
  if (worker->runs->len > 0)
    {
      poll_claimed (owner, worker, now_ms);
      return;
    }
  claim = g_steal_pointer (&worker->claim);
  iv_fleet_update_worker (owner->fleet, claim, &restarted);
  /* What may have reached the new instance before the claim has been waited for since. */
  if (restarted)
    iv_owner_worker_restarted (owner, worker, worker->claimed_ms);
  iv_listed_worker_free (claim);
}

/* An instance may be of another kind: without capacity, it gets no tasks before its entry is read.
 */
static void
change_instance (struct iv_owner *owner, struct iv_fleet_worker *worker, gint64 start_time_ms,
                 gint64 now_ms)
{
  struct iv_listed_worker *claim = g_steal_pointer (&worker->claim);
  gboolean restarted;
  if (start_time_ms < worker->start_time_ms)
    iv_event (IV_LEVEL_WARNING, "worker.entry_refuted",
              "worker=%s life=%" G_GINT64_FORMAT " claimed=%" G_GINT64_FORMAT, worker->id,
              start_time_ms, worker->start_time_ms);
  iv_fleet_set_instance (owner->fleet, worker, start_time_ms);
  iv_owner_worker_restarted (owner, worker, now_ms);
  if (claim && claim->start_time_ms == start_time_ms)
    iv_fleet_update_worker (owner->fleet, claim, &restarted);
  iv_listed_worker_free (claim);
}

static void
refute_claim (struct iv_fleet_worker *worker)
{
  iv_event (IV_LEVEL_WARNING, "worker.entry_refuted",
            "worker=%s life=%" G_GINT64_FORMAT " claimed=%" G_GINT64_FORMAT, worker->id,
            worker->start_time_ms, worker->claim->start_time_ms);
  g_clear_pointer (&worker->claim, iv_listed_worker_free);
}

static struct iv_fleet_worker *
find_claimed (const struct iv_fleet *fleet, guint32 handle)
{
  GHashTableIter iter;
  gpointer value;
  g_hash_table_iter_init (&iter, fleet->by_id);
  while (g_hash_table_iter_next (&iter, NULL, &value))
    {
      struct iv_fleet_worker *worker = value;
      if (worker->claim && worker->claim_handle == handle)
        return worker;
    }
  return NULL;
}

struct iv_fleet_worker *
iv_owner_claim_replied (struct iv_owner *owner, guint32 handle, enum iv_command_outcome outcome,
                        const struct iv_poll_reply *reply, gint64 now_ms)
{
  struct iv_fleet_worker *worker = find_claimed (owner->fleet, handle);
  if (worker == NULL || reply == NULL || outcome != IV_COMMAND_OK)
    return NULL;
  if (reply->start_time_ms > worker->start_time_ms)
    {
      change_instance (owner, worker, reply->start_time_ms, now_ms);
      return worker;
    }
  if (reply->start_time_ms == worker->start_time_ms)
    refute_claim (worker);
  return NULL;
}

/* The clock of an entry, and a claim, which the instance of the reply disproves. */
static void
check_claims (struct iv_fleet_worker *worker, gint64 clock, gint64 now_ms)
{
  if (worker->claim && now_ms > worker->claimed_ms + CLAIM_MAX_MS)
    refute_claim (worker);
  if (worker->entry_clock_ms <= clock + CLOCK_AHEAD_MAX_MS)
    return;
  iv_event (IV_LEVEL_WARNING, "worker.entry_refuted",
            "worker=%s clock=%" G_GINT64_FORMAT " claimed=%" G_GINT64_FORMAT, worker->id, clock,
            worker->entry_clock_ms);
  worker->entry_clock_ms = 0;
}

gboolean
iv_owner_instance_replied (struct iv_owner *owner, struct iv_fleet_worker *worker,
                           gint64 start_time_ms, gint64 clock, gint64 now_ms)
{
  if (start_time_ms > worker->start_time_ms)
    change_instance (owner, worker, start_time_ms, now_ms);
  else if (start_time_ms > 0 && start_time_ms < worker->start_time_ms)
    {
      /* The call was sent after the entry of the later instance was read. */
      if (worker->instance_alive_since_ms > 0)
        return FALSE;
      change_instance (owner, worker, start_time_ms, now_ms);
    }
  check_claims (worker, clock, now_ms);
  return TRUE;
}
