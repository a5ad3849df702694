#include "bench_job.h"

#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <string.h>

#include <cmocka.h>

/* Takes ownership of the cell and submits a job with one task. */
static void
own_with_one_task (struct sim *sim)
{
  sim_start_owner (sim);
  sim_make_job (1, 0);
  sim_submit (sim, JOB_ID, &sim_spec);
}

static void
test_steps_in_order (void **state)
{
  struct sim *sim = sim_new (4);
  sim_start_owner (sim);
  sim_make_job (2, 1);
  sim_submit (sim, JOB_ID, &sim_spec);
  sim_advance (sim, 100);
  assert_int_equal (sim_total_runs (sim), 2);
  assert_int_equal (sim_job_state (sim, JOB_ID), IVJ_RUNNING);
  sim_end_run (sim, JOB_ID, 0, 0, IV_END_DONE);
  sim_advance (sim, 100);
  assert_int_equal (sim_running_count (sim, JOB_ID, 1, 0), 0);
  sim_end_run (sim, JOB_ID, 0, 1, IV_END_DONE);
  sim_advance (sim, 200);
  assert_int_equal (sim_running_count (sim, JOB_ID, 1, 0), 1);
  sim_end_run (sim, JOB_ID, 1, 0, IV_END_DONE);
  sim_advance (sim, 200);
  assert_int_equal (sim_job_state (sim, JOB_ID), IVJ_COMPLETED);
  sim_free (sim);
}

/* A start that was sent may never arrive, or seconds later. A job is running once a worker has
   confirmed or listed a run, or the end of one; until then it counts as pending. */
static void
test_job_is_queued_until_a_run_is_known (void **state)
{
  static const struct
  {
    gboolean unreachable;
    gboolean drops_replies;
    gint64 start_delay_ms;
  } rows[] = { { TRUE, FALSE, 0 }, { FALSE, TRUE, 0 }, { FALSE, FALSE, 600 } };
  for (guint i = 0; i < G_N_ELEMENTS (rows); i++)
    {
      struct sim *sim = sim_new (1);
      sim_start_owner (sim);
      sim_advance (sim, 100);
      sim->workers[0].unreachable = rows[i].unreachable;
      sim->workers[0].drops_replies = rows[i].drops_replies;
      sim->workers[0].start_delay_ms = rows[i].start_delay_ms;
      sim_make_job (1, 0);
      sim_submit (sim, JOB_ID, &sim_spec);
      sim_advance (sim, 400);
      assert_int_equal (sim->start_calls, 1);
      assert_int_equal (sim_job_state (sim, JOB_ID), IVJ_QUEUED);
      assert_int_equal (iv_job_table_pending (sim->job_table, "x", "x"), 1);
      sim->workers[0].unreachable = sim->workers[0].drops_replies = FALSE;
      sim_advance (sim, 4000);
      assert_int_equal (sim_running_count (sim, JOB_ID, 0, 0), 1);
      assert_int_equal (sim_job_state (sim, JOB_ID), IVJ_RUNNING);
      assert_int_equal (iv_job_table_pending (sim->job_table, "x", "x"), 0);
      sim_free (sim);
    }
}

/* The owner fails before it records that a job runs; the next one finds its run, or its end. */
static void
test_adopted_job_is_running (void **state)
{
  static const gboolean ends[] = { FALSE, TRUE };
  for (guint i = 0; i < G_N_ELEMENTS (ends); i++)
    {
      struct sim *sim = sim_new (1);
      sim_start_owner (sim);
      sim->store_records = FALSE;
      sim_make_job (2, 0);
      sim_submit (sim, JOB_ID, &sim_spec);
      sim_advance (sim, 100);
      assert_int_equal (sim_total_runs (sim), 2);
      if (ends[i])
        {
          sim_end_run (sim, JOB_ID, 0, 0, IV_END_FAILED);
          sim_end_run (sim, JOB_ID, 0, 1, IV_END_DONE);
          sim->domain_a_out = TRUE; /* no other start shows that the job runs */
        }
      sim->store_records = TRUE;
      sim_start_owner (sim);
      sim_advance (sim, 100);
      assert_int_equal (sim_job_state (sim, JOB_ID), IVJ_RUNNING);
      sim_free (sim);
    }
}

static void
test_capacity_is_not_exceeded (void **state)
{
  struct sim *sim = sim_new (2);
  sim_start_owner (sim);
  sim_make_job (9, 0);
  sim_submit (sim, JOB_ID, &sim_spec);
  sim_advance (sim, 500);
  assert_int_equal (sim_total_runs (sim), 4);
  sim_end_all_runs (sim, IV_END_DONE);
  sim_advance (sim, 500);
  assert_int_equal (sim_total_runs (sim), 4);
  sim_free (sim);
}

static void
test_runs_survive_owner_change (void **state)
{
  struct sim *sim = sim_new (4);
  sim_start_owner (sim);
  sim_make_job (4, 0);
  sim_submit (sim, JOB_ID, &sim_spec);
  sim_advance (sim, 100);
  assert_int_equal (sim_total_runs (sim), 4);
  sim_start_owner (sim);
  sim_advance (sim, 8000);
  assert_int_equal (sim_total_runs (sim), 4);
  assert_int_equal (sim_max_concurrent_runs (sim), 1);
  sim_end_all_runs (sim, IV_END_DONE);
  sim_advance (sim, 300);
  assert_int_equal (sim_job_state (sim, JOB_ID), IVJ_COMPLETED);
  sim_free (sim);
}

/* A previous owner may have started a task on a worker that does not reply to the new one. */
static void
test_new_owner_waits_for_silent_workers (void **state)
{
  struct sim *sim = sim_new (2);
  own_with_one_task (sim);
  sim_advance (sim, 100);
  for (guint i = 0; i < 2; i++)
    sim->workers[i].unreachable = sim->workers[i].runs->len > 0;
  sim_start_owner (sim);
  for (guint i = 0; i < 2; i++)
    sim->workers[i].lease_end_clock_ms
        += 3000; /* the previous owner renews leases for a while longer */
  sim_advance (sim, 8000);
  assert_true (sim_max_concurrent_runs (sim) <= 1);
  assert_int_equal (sim->start_calls, 1);
  sim_advance (sim, 2000);
  assert_int_equal (sim_running_count (sim, JOB_ID, 0, 0), 1);
  assert_int_equal (sim->start_calls, 2);
  sim_free (sim);
}

/* The entries of workers in the list can expire during a network partition. A new owner that does
   not wait for these workers may start their tasks a second time. */
static void
test_new_owner_waits_for_recently_unlisted_workers (void **state)
{
  struct sim *sim = sim_new (2);
  own_with_one_task (sim);
  sim_advance (sim, 100);
  for (guint i = 0; i < 2; i++)
    sim->workers[i].unreachable = sim->workers[i].runs->len > 0;
  sim_start_owner (sim);
  for (guint i = 0; i < 2; i++)
    if (sim->workers[i].unreachable)
      iv_owner_worker_unlisted (sim->owner, sim->workers[i].id, sim->now_ms);
  sim_advance (sim, 1000);
  assert_int_equal (sim->start_calls, 1);
  sim->workers[0].unreachable = sim->workers[1].unreachable = FALSE;
  sim_advance (sim, 3000);
  assert_int_equal (sim->start_calls, 1);
  assert_int_equal (sim_total_runs (sim), 1);
  sim_free (sim);
}

/* Replaces the worker that runs the only task by another one, then takes over. */
static struct sim *
take_over_after_replacement (void)
{
  struct sim *sim = sim_new (4);
  own_with_one_task (sim);
  sim_advance (sim, 100);
  for (guint i = 0; i < sim->count; i++)
    {
      sim->workers[i].replaced = sim->workers[i].runs->len > 0;
      g_array_set_size (sim->workers[i].runs, 0);
    }
  sim_start_owner (sim);
  return sim;
}

/* A worker that crashed comes back under another id. Waiting for the old one kept every inherited
   task back for the horizon after a takeover. */
static void
test_new_owner_ignores_replaced_unlisted_workers (void **state)
{
  struct sim *sim = take_over_after_replacement ();
  for (guint i = 0; i < sim->count; i++)
    if (sim->workers[i].replaced)
      iv_owner_worker_unlisted (sim->owner, sim->workers[i].id, sim->now_ms);
  sim_advance (sim, 300);
  assert_int_equal (sim_total_runs (sim), 1);
  sim_free (sim);
}

/* While the platform lists a worker, the entry that was read may be of an earlier instance, and the
   one that answers may have runs. */
static void
test_new_owner_waits_for_replaced_listed_workers (void **state)
{
  struct sim *sim = take_over_after_replacement ();
  sim_advance (sim, 1000);
  assert_int_equal (sim->start_calls, 1);
  sim_free (sim);
}

/* A worker that drained and left the list has no runs. Long-running tasks must not wait for it, as
   they did with seed 358137797502 of the mixed workload. */
static void
test_new_owner_ignores_drained_unlisted_workers (void **state)
{
  struct sim *sim = sim_new (2);
  sim_start_owner (sim);
  sim_make_job (1, 0);
  sim->evidence_age_ms = EVIDENCE_MAX_AGE_MS;
  sim_submit (sim, JOB_ID, &sim_spec);
  sim_advance (sim, 100);
  sim->evidence_age_ms = 0;
  sim->workers[0].unreachable = TRUE;
  sim->workers[0].draining = TRUE;
  sim_start_owner (sim);
  iv_owner_worker_unlisted (sim->owner, "w0", sim->now_ms);
  sim_advance (sim, 300);
  assert_int_equal (sim_total_runs (sim), 1);
  sim_free (sim);
}

/* An owner that shuts down in order reports the workers that may have runs. Its successor waits for
   these only. */
static void
test_handover_limits_waiting_to_unresolved_workers (void **state)
{
  for (guint busy = 0; busy < 2; busy++)
    {
      struct sim *sim = sim_new (2);
      GPtrArray *unresolved;
      char **ids;
      sim_start_owner (sim);
      sim_make_job (busy ? 4 : 1, 0);
      sim->evidence_age_ms = busy ? 0 : EVIDENCE_MAX_AGE_MS;
      sim_submit (sim, JOB_ID, &sim_spec);
      sim_advance (sim, 200);
      unresolved = iv_owner_unresolved_workers (sim->owner);
      assert_int_equal (unresolved->len, busy ? 2 : 0);
      ids = g_new0 (char *, unresolved->len + 1);
      for (guint i = 0; i < unresolved->len; i++)
        ids[i] = g_strdup (g_ptr_array_index (unresolved, i));
      sim->evidence_age_ms = 0;
      sim->workers[0].unreachable = TRUE;
      sim_start_owner (sim);
      iv_owner_apply_handover (sim->owner, ids);
      sim->start_calls = 0;
      sim_advance (sim, 500);
      assert_int_equal (sim->start_calls, busy ? 0 : 1);
      g_ptr_array_free (unresolved, TRUE);
      g_strfreev (ids);
      sim_free (sim);
    }
}

/* No previous owner can have started a job that was submitted after the cell was claimed. */
static void
test_new_jobs_start_despite_silent_workers (void **state)
{
  struct sim *sim = sim_new (2);
  sim->workers[0].unreachable = TRUE;
  own_with_one_task (sim);
  sim_advance (sim, 300);
  assert_int_equal (sim_total_runs (sim), 1);
  sim_free (sim);
}

/* When a network partition separates a zone and the owner in it from the rest, the old owner must
   not restart tasks there: the new owner may run them as well. */
static void
test_unconfirmed_owner_does_not_requeue_expired_runs (void **state)
{
  struct sim *sim = sim_new (2);
  own_with_one_task (sim);
  sim_advance (sim, 100);
  for (guint i = 0; i < 2; i++)
    sim->workers[i].unreachable = sim->workers[i].runs->len > 0;
  sim->confirmed = FALSE;
  sim_advance (sim, 9000);
  assert_int_equal (sim->start_calls, 1);
  sim->confirmed = TRUE;
  sim_advance (sim, 300);
  assert_int_equal (sim->start_calls, 2);
  sim_free (sim);
}

static void
test_expired_runs_start_elsewhere (void **state)
{
  struct sim *sim = sim_new (2);
  own_with_one_task (sim);
  sim_advance (sim, 100);
  for (guint i = 0; i < 2; i++)
    sim->workers[i].unreachable = sim->workers[i].runs->len > 0;
  sim_advance (sim, 3000);
  assert_int_equal (sim->start_calls, 1);
  sim_advance (sim, 5000);
  assert_int_equal (sim->start_calls, 2);
  assert_int_equal (sim_max_concurrent_runs (sim), 1);
  sim_free (sim);
}

/* A start without a reply may have been carried out: the task must not be started again. */
static void
test_lost_replies_cause_no_duplicate_runs (void **state)
{
  struct sim *sim = sim_new (2);
  sim_start_owner (sim);
  sim_advance (sim, 100);
  sim->workers[0].drops_replies = sim->workers[1].drops_replies = TRUE;
  sim_make_job (2, 0);
  sim_submit (sim, JOB_ID, &sim_spec);
  for (guint i = 0; i < 300; i++)
    {
      sim_advance (sim, 10);
      assert_true (sim_max_concurrent_runs (sim) <= 1);
    }
  sim->workers[0].drops_replies = sim->workers[1].drops_replies = FALSE;
  sim_advance (sim, 4000);
  assert_int_equal (sim_total_runs (sim), 2);
  assert_int_equal (sim_max_concurrent_runs (sim), 1);
  sim_free (sim);
}

static void
test_attempts_are_counted_once_each (void **state)
{
  struct sim *sim = sim_new (4);
  own_with_one_task (sim);
  for (guint i = 0; i < 3; i++)
    {
      assert_int_equal (sim_job_state (sim, JOB_ID) == IVJ_FAILED, FALSE);
      sim_advance (sim, 200);
      assert_true (sim_end_run (sim, JOB_ID, 0, 0, IV_END_FAILED));
    }
  sim_advance (sim, 300);
  assert_int_equal (sim_job_state (sim, JOB_ID), IVJ_FAILED);
  assert_int_equal (sim->start_calls, 3);
  sim_free (sim);
}

/* A new owner learns of the ends of earlier runs in any order, and must count each failure. */
static void
test_attempts_survive_unrecorded_owner_change (void **state)
{
  struct sim *sim = sim_new (4);
  sim_start_owner (sim);
  sim->store_records = FALSE;
  sim_make_job (1, 0);
  sim_submit (sim, JOB_ID, &sim_spec);
  for (guint i = 0; i < 3; i++)
    {
      sim_advance (sim, 200);
      assert_true (sim_end_run (sim, JOB_ID, 0, 0, IV_END_FAILED));
    }
  sim_advance (sim, 100);
  sim->store_records = TRUE;
  sim_start_owner (sim);
  sim_advance (sim, 1000);
  assert_int_equal (sim_job_state (sim, JOB_ID), IVJ_FAILED);
  assert_int_equal (sim->start_calls, 3);
  sim_free (sim);
}

/* A run that fails during a network partition may be the last attempt that the queue allows:
   starting another before its end is known would exceed the limit. */
static void
test_last_attempt_is_not_repeated_while_its_end_is_unknown (void **state)
{
  struct sim *sim = sim_new (3);
  own_with_one_task (sim);
  for (guint i = 0; i < 2; i++)
    {
      sim_advance (sim, 200);
      assert_true (sim_end_run (sim, JOB_ID, 0, 0, IV_END_FAILED));
    }
  sim_advance (sim, 200);
  for (guint i = 0; i < 3; i++)
    sim->workers[i].unreachable = sim->workers[i].runs->len > 0;
  assert_true (sim_end_run (sim, JOB_ID, 0, 0, IV_END_FAILED));
  sim_advance (sim, 9000);
  assert_int_equal (sim->start_calls, 3);
  sim->workers[0].unreachable = sim->workers[1].unreachable = sim->workers[2].unreachable = FALSE;
  sim_advance (sim, 2000);
  assert_int_equal (sim_job_state (sim, JOB_ID), IVJ_FAILED);
  assert_int_equal (sim->start_calls, 3);
  sim_free (sim);
}

/* Workers report an end to each new owner until a poll acknowledges it. */
static void
test_failures_are_counted_once_across_owners (void **state)
{
  struct sim *sim = sim_new (4);
  sim->attempts = 2;
  own_with_one_task (sim);
  sim_advance (sim, 200);
  assert_true (sim_end_run (sim, JOB_ID, 0, 0, IV_END_FAILED));
  sim_advance (sim, 300);
  for (guint i = 0; i < 4; i++)
    {
      sim_start_owner (sim);
      sim_advance (sim, 300);
    }
  assert_int_equal (sim_job_state (sim, JOB_ID), IVJ_RUNNING);
  assert_int_equal (sim_running_count (sim, JOB_ID, 0, 0), 1);
  sim_free (sim);
}

/* A list made before a start arrived does not prove that the start is lost. */
static void
test_start_in_flight_is_not_taken_for_lost (void **state)
{
  struct sim *sim = sim_new (1);
  sim->workers[0].capacity_milli = 16000;
  sim_start_owner (sim);
  sim_make_job (4, 0);
  sim_submit (sim, JOB_ID, &sim_spec);
  sim_advance (sim, 100);
  sim->workers[0].start_delay_ms = 200;
  sim_end_run (sim, JOB_ID, 0, 0, IV_END_FAILED);
  sim_end_run (sim, JOB_ID, 0, 1, IV_END_FAILED);
  for (guint i = 0; i < 100; i++)
    {
      sim_advance (sim, 10);
      if (i == 12)
        sim_end_run (sim, JOB_ID, 0, 2, IV_END_STOPPED);
      assert_true (sim_max_concurrent_runs (sim) <= 1);
    }
  assert_int_equal (sim->start_calls, 7);
  sim_free (sim);
}

static void
test_ends_are_discarded_only_after_recording (void **state)
{
  struct sim *sim = sim_new (1);
  sim_start_owner (sim);
  sim_make_job (1, 1);
  sim_submit (sim, JOB_ID, &sim_spec);
  sim_advance (sim, 100);
  sim->store_records = FALSE;
  sim_end_run (sim, JOB_ID, 0, 0, IV_END_DONE);
  sim_advance (sim, 500);
  assert_int_equal (sim_running_count (sim, JOB_ID, 1, 0), 1);
  assert_int_equal (iv_fleet_find_by_id (iv_owner_fleet (sim->owner), "w0")->acked_end, 0);
  sim->store_records = TRUE;
  sim_advance (sim, 100);
  assert_int_equal (iv_fleet_find_by_id (iv_owner_fleet (sim->owner), "w0")->acked_end, 1);
  sim_free (sim);
}

static void
test_cancel_stops_runs (void **state)
{
  struct sim *sim = sim_new (4);
  sim_start_owner (sim);
  sim_make_job (4, 0);
  sim_submit (sim, JOB_ID, &sim_spec);
  sim_advance (sim, 100);
  iv_job_table_apply (sim->job_table, JOB_ID IV_KEY_CANCEL, (const guint8 *)"1", 1);
  iv_owner_job_changed (sim->owner, iv_job_table_find (sim->job_table, JOB_ID), sim->now_ms);
  sim_advance (sim, 200);
  assert_int_equal (sim_total_runs (sim), 0);
  sim_advance (sim, 2000);
  assert_int_equal (sim->start_calls, 4);
  assert_int_equal (sim_job_state (sim, JOB_ID), IVJ_CANCELLED);
  sim_free (sim);
}

static void
test_long_running_tasks_are_restarted (void **state)
{
  struct sim *sim = sim_new (2);
  sim_start_owner (sim);
  sim_make_job (1, 0);
  sim_steps[0].flags = IVJ_LONG_RUNNING;
  sim_submit (sim, JOB_ID, &sim_spec);
  for (guint i = 0; i < 5; i++)
    {
      sim_advance (sim, 300);
      assert_true (sim_end_run (sim, JOB_ID, 0, 0, i % 2 ? IV_END_FAILED : IV_END_DONE));
    }
  sim_advance (sim, 300);
  assert_int_equal (sim_running_count (sim, JOB_ID, 0, 0), 1);
  sim_free (sim);
}

static void
test_runs_of_restarted_worker_are_requeued (void **state)
{
  struct sim *sim = sim_new (1);
  sim_start_owner (sim);
  sim_make_job (2, 0);
  sim_submit (sim, JOB_ID, &sim_spec);
  sim_advance (sim, 100);
  sim_restart_worker (sim, 0);
  sim_advance (sim, 4000);
  assert_int_equal (sim_total_runs (sim), 2);
  assert_int_equal (sim->start_calls, 4);
  sim_free (sim);
}

static void
test_no_start_in_a_domain_out_of_service (void **state)
{
  struct sim *sim = sim_new (4);
  sim_start_owner (sim);
  sim->domain_a_out = TRUE;
  sim_make_job (8, 0);
  sim_submit (sim, JOB_ID, &sim_spec);
  sim_advance (sim, 500);
  assert_int_equal (sim_total_runs (sim), 4);
  assert_int_equal (sim->workers[0].runs->len + sim->workers[2].runs->len, 0);
  sim_free (sim);
}

static void
test_no_start_with_stale_domain_state (void **state)
{
  struct sim *sim = sim_new (1);
  sim_start_owner (sim);
  sim->evidence_age_ms = EVIDENCE_MAX_AGE_MS;
  sim_make_job (1, 0);
  sim_submit (sim, JOB_ID, &sim_spec);
  sim_advance (sim, 500);
  assert_int_equal (sim_total_runs (sim), 0);
  sim->evidence_age_ms = 0;
  sim_advance (sim, 100);
  assert_int_equal (sim_total_runs (sim), 1);
  sim_free (sim);
}

/* A start in flight when a domain is taken out of service is refused once the domain state that it
   relied on is too old. */
static void
test_delayed_start_expires_with_domain_state (void **state)
{
  struct sim *sim = sim_new (1);
  sim_start_owner (sim);
  sim_advance (sim, 100);
  sim->evidence_age_ms = 4500;
  sim->workers[0].start_delay_ms = 600;
  sim_make_job (1, 0);
  sim_submit (sim, JOB_ID, &sim_spec);
  sim_advance (sim, 30);
  assert_int_equal (sim->start_calls, 1);
  sim->evidence_age_ms = EVIDENCE_MAX_AGE_MS;
  sim_advance (sim, 1000);
  assert_int_equal (sim_total_runs (sim), 0);
  sim_free (sim);
}

static void
test_fenced_owner_is_deposed (void **state)
{
  struct sim *sim = sim_new (1);
  sim_start_owner (sim);
  sim_advance (sim, 100);
  sim->workers[0].fence = sim->term + IV_FENCES_PER_TERM;
  sim_make_job (1, 0);
  sim_submit (sim, JOB_ID, &sim_spec);
  sim_advance (sim, 100);
  assert_true (iv_owner_is_deposed (sim->owner));
  assert_int_equal (sim_total_runs (sim), 0);
  sim_free (sim);
}

static void
test_gang_starts_whole_or_not_at_all (void **state)
{
  struct sim *sim = sim_new (2);
  sim_start_owner (sim);
  sim_make_job (3, 0);
  sim_steps[0].flags = IVJ_GANG;
  sim_submit (sim, JOB_ID, &sim_spec);
  sim_make_job (3, 0);
  sim_steps[0].flags = IVJ_GANG;
  sim_submit (sim, OTHER_JOB_ID, &sim_spec);
  sim_advance (sim, 200);
  assert_int_equal (sim_total_runs (sim), 3);
  for (guint i = 0; i < 2; i++)
    for (guint j = 0; j < sim->workers[i].runs->len; j++)
      assert_int_equal (g_array_index (sim->workers[i].runs, struct sim_run, j).number,
                        g_array_index (sim->workers[0].runs, struct sim_run, 0).number);
  sim_free (sim);
}

static void
test_label_and_per_worker_limit_are_kept (void **state)
{
  struct sim *sim = sim_new (4);
  sim_start_owner (sim);
  sim_make_job (4, 0);
  sim_steps[0].label = "r1";
  sim_steps[0].per_worker_max = 1;
  sim_submit (sim, JOB_ID, &sim_spec);
  sim_advance (sim, 300);
  assert_int_equal (sim->workers[0].runs->len + sim->workers[1].runs->len, 0);
  assert_int_equal (sim->workers[2].runs->len, 1);
  assert_int_equal (sim->workers[3].runs->len, 1);
  sim_free (sim);
}

static void
test_occurrences_start_when_due (void **state)
{
  struct sim *sim = sim_new (2);
  sim_start_owner (sim);
  sim_make_job (1, 0);
  sim_spec.times = 3;
  sim_spec.first_ms = sim->wall_ms + 500;
  sim_spec.interval_ms = 1000;
  sim_submit (sim, JOB_ID, &sim_spec);
  sim_advance (sim, 450);
  assert_int_equal (sim_total_runs (sim), 0);
  sim_advance (sim, 150);
  assert_int_equal (sim_total_runs (sim), 1);
  sim_advance (sim, 1000);
  assert_int_equal (sim_total_runs (sim), 2);
  sim_end_all_runs (sim, IV_END_DONE);
  sim_advance (sim, 1200);
  sim_end_all_runs (sim, IV_END_DONE);
  sim_advance (sim, 300);
  assert_int_equal (sim_job_state (sim, JOB_ID), IVJ_COMPLETED);
  sim_free (sim);
}

static void
test_stalled_run_is_moved (void **state)
{
  struct sim *sim = sim_new (2);
  sim->stalled = TRUE;
  own_with_one_task (sim);
  sim_advance (sim, 5000);
  assert_true (sim->start_calls >= 2);
  assert_true (sim_max_concurrent_runs (sim) <= 1);
  sim_free (sim);
}

/* An owner that gets no reply from any worker of a domain is probably partitioned, and gives up its
   cell sooner. */
static void
test_silent_domain_counts_as_partition (void **state)
{
  struct sim *sim = sim_new (4);
  sim_start_owner (sim);
  sim_make_job (8, 0);
  sim_submit (sim, JOB_ID, &sim_spec);
  sim_advance (sim, 200);
  sim->workers[0].unreachable = TRUE;
  sim_advance (sim, 2000);
  assert_false (iv_owner_is_partitioned (sim->owner));
  sim->workers[2].unreachable = TRUE;
  sim_advance (sim, 2000);
  assert_true (iv_owner_is_partitioned (sim->owner));
  sim_free (sim);
}

/* With four domains, one domain is a quarter of the workers; its silence may be a partition. */
static void
test_one_silent_domain_of_many_counts_as_partition (void **state)
{
  struct sim *sim = sim_new (8);
  for (guint i = 0; i < 8; i++)
    g_snprintf (sim->workers[i].domain, sizeof sim->workers[i].domain, "d%u", i / 2);
  sim_start_owner (sim);
  sim_make_job (16, 0);
  sim_submit (sim, JOB_ID, &sim_spec);
  sim_advance (sim, 200);
  sim->workers[2].unreachable = TRUE;
  sim_advance (sim, 2000);
  assert_false (iv_owner_is_partitioned (sim->owner));
  sim->workers[3].unreachable = TRUE;
  sim_advance (sim, 2000);
  assert_true (iv_owner_is_partitioned (sim->owner));
  sim_free (sim);
}

/* Reply of worker 0 at @a now_ms that lists a run of no known job, which the owner stops. */
static void
reply_with_unknown_run (struct sim *sim, gint64 now_ms)
{
  const struct iv_fleet_worker *worker
      = iv_fleet_find_by_id (iv_owner_fleet (sim->owner), sim->workers[0].id);
  struct iv_listed_run unknown = { .name = { .job = OTHER_JOB_ID }, .number = 1 };
  struct iv_poll_reply reply
      = { .clock = sim->workers[0].clock,
          .start_time_ms = sim->workers[0].start_time_ms,
          .runs = g_array_new (FALSE, FALSE, sizeof unknown),
          .ends = g_array_new (FALSE, FALSE, sizeof (struct iv_listed_end)) };
  g_array_append_val (reply.runs, unknown);
  iv_owner_poll_replied (sim->owner, worker->handle, IV_COMMAND_OK, &reply, now_ms);
  g_array_free (reply.runs, TRUE);
  g_array_free (reply.ends, TRUE);
}

/* Pattern: a suspended process finds replies before its next tick. What permitted it to act has run
   out meanwhile, and another owner may run the cell, so it sends nothing. */
static void
test_suspended_owner_sends_nothing_for_old_replies (void **state)
{
  struct sim *sim = sim_new (1);
  guint calls;
  sim_start_owner (sim);
  sim_make_job (1, 0);
  sim_submit (sim, JOB_ID, &sim_spec);
  sim_advance (sim, 300);
  calls = sim->calls->len;
  reply_with_unknown_run (sim, sim->now_ms + sim->authority_ms + 100);
  assert_int_equal (sim->calls->len, calls);
  reply_with_unknown_run (sim, sim->now_ms);
  assert_int_equal (sim->calls->len, calls + 1);
  sim_free (sim);
}

/* Pattern: the store has not confirmed an owner for too long. Guards as above until its next tick.
 */
static void
test_unconfirmed_owner_sends_nothing_for_replies (void **state)
{
  struct sim *sim = sim_new (1);
  guint calls;
  sim_start_owner (sim);
  sim_make_job (1, 0);
  sim_submit (sim, JOB_ID, &sim_spec);
  sim_advance (sim, 300);
  calls = sim->calls->len;
  iv_owner_suspend (sim->owner, sim->now_ms);
  reply_with_unknown_run (sim, sim->now_ms);
  assert_int_equal (sim->calls->len, calls);
  sim_advance (sim, 10);
  calls = sim->calls->len;
  reply_with_unknown_run (sim, sim->now_ms);
  assert_int_equal (sim->calls->len, calls + 1);
  sim_free (sim);
}

/* Guards against a second run of a task because its row in a list of runs could not be read. */
static void
test_list_that_cannot_be_read_proves_no_run_absent (void **state)
{
  struct sim *sim = sim_new (2);
  sim_start_owner (sim);
  sim_make_job (1, 0);
  sim_steps[0].flags = IVJ_LONG_RUNNING;
  sim_submit (sim, JOB_ID, &sim_spec);
  sim_advance (sim, 600);
  for (guint i = 0; i < 2; i++)
    sim->workers[i].garbles_lists = TRUE;
  assert_true (sim_advance_without_duplicates (sim, 20000));
  for (guint i = 0; i < 2; i++)
    sim->workers[i].garbles_lists = FALSE;
  assert_true (sim_advance_without_duplicates (sim, 2000));
  assert_int_equal (sim->start_calls, 1);
  assert_int_equal (sim_running_count (sim, JOB_ID, 0, 0), 1);
  sim_free (sim);
}

int
main (void)
{
  const struct CMUnitTest tests[] = {
    cmocka_unit_test (test_steps_in_order),
    cmocka_unit_test (test_job_is_queued_until_a_run_is_known),
    cmocka_unit_test (test_adopted_job_is_running),
    cmocka_unit_test (test_capacity_is_not_exceeded),
    cmocka_unit_test (test_runs_survive_owner_change),
    cmocka_unit_test (test_new_owner_waits_for_silent_workers),
    cmocka_unit_test (test_new_owner_waits_for_recently_unlisted_workers),
    cmocka_unit_test (test_new_owner_ignores_drained_unlisted_workers),
    cmocka_unit_test (test_new_owner_ignores_replaced_unlisted_workers),
    cmocka_unit_test (test_new_owner_waits_for_replaced_listed_workers),
    cmocka_unit_test (test_handover_limits_waiting_to_unresolved_workers),
    cmocka_unit_test (test_new_jobs_start_despite_silent_workers),
    cmocka_unit_test (test_unconfirmed_owner_does_not_requeue_expired_runs),
    cmocka_unit_test (test_expired_runs_start_elsewhere),
    cmocka_unit_test (test_lost_replies_cause_no_duplicate_runs),
    cmocka_unit_test (test_attempts_are_counted_once_each),
    cmocka_unit_test (test_attempts_survive_unrecorded_owner_change),
    cmocka_unit_test (test_last_attempt_is_not_repeated_while_its_end_is_unknown),
    cmocka_unit_test (test_failures_are_counted_once_across_owners),
    cmocka_unit_test (test_start_in_flight_is_not_taken_for_lost),
    cmocka_unit_test (test_ends_are_discarded_only_after_recording),
    cmocka_unit_test (test_cancel_stops_runs),
    cmocka_unit_test (test_long_running_tasks_are_restarted),
    cmocka_unit_test (test_runs_of_restarted_worker_are_requeued),
    cmocka_unit_test (test_no_start_in_a_domain_out_of_service),
    cmocka_unit_test (test_no_start_with_stale_domain_state),
    cmocka_unit_test (test_delayed_start_expires_with_domain_state),
    cmocka_unit_test (test_fenced_owner_is_deposed),
    cmocka_unit_test (test_gang_starts_whole_or_not_at_all),
    cmocka_unit_test (test_label_and_per_worker_limit_are_kept),
    cmocka_unit_test (test_occurrences_start_when_due),
    cmocka_unit_test (test_stalled_run_is_moved),
    cmocka_unit_test (test_silent_domain_counts_as_partition),
    cmocka_unit_test (test_one_silent_domain_of_many_counts_as_partition),
    cmocka_unit_test (test_suspended_owner_sends_nothing_for_old_replies),
    cmocka_unit_test (test_unconfirmed_owner_sends_nothing_for_replies),
    cmocka_unit_test (test_list_that_cannot_be_read_proves_no_run_absent),
  };
  return cmocka_run_group_tests (tests, NULL, NULL);
}
