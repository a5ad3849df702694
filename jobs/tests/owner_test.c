#include "bench_job.h"

#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <string.h>

#include <cmocka.h>

/* Begin to own, with a job of one task. */
static void
own_with_task (struct sim *sim)
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

static void
test_never_beyond_room (void **state)
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
test_runs_outlive_an_owner (void **state)
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

/* A former owner may have started a task on a worker that does not answer the new one. */
static void
test_new_owner_waits_for_silent_workers (void **state)
{
  struct sim *sim = sim_new (2);
  own_with_task (sim);
  sim_advance (sim, 100);
  for (guint i = 0; i < 2; i++)
    sim->workers[i].unreachable = sim->workers[i].runs->len > 0;
  sim_start_owner (sim);
  for (guint i = 0; i < 2; i++)
    sim->workers[i].lease += 3000; /* the former owner goes on renewing for a while */
  sim_advance (sim, 8000);
  assert_true (sim_max_concurrent_runs (sim) <= 1);
  assert_int_equal (sim->start_calls, 1);
  sim_advance (sim, 2000);
  assert_int_equal (sim_running_count (sim, JOB_ID, 0, 0), 1);
  assert_int_equal (sim->start_calls, 2);
  sim_free (sim);
}

/* khairat hunt, scale-2: workers whose entries lapsed during a cut were not waited for. */
static void
test_new_owner_waits_for_workers_dropped_lately (void **state)
{
  struct sim *sim = sim_new (2);
  own_with_task (sim);
  sim_advance (sim, 100);
  for (guint i = 0; i < 2; i++)
    sim->workers[i].unreachable = sim->workers[i].runs->len > 0;
  sim_start_owner (sim);
  for (guint i = 0; i < 2; i++)
    if (sim->workers[i].unreachable)
      iv_owner_unlisted (sim->owner, sim->workers[i].id, sim->now_ms);
  sim_advance (sim, 1000);
  assert_int_equal (sim->start_calls, 1);
  sim->workers[0].unreachable = sim->workers[1].unreachable = FALSE;
  sim_advance (sim, 3000);
  assert_int_equal (sim->start_calls, 1);
  assert_int_equal (sim_total_runs (sim), 1);
  sim_free (sim);
}

/* khairat mix seed 358137797502: lasting tasks waited for workers that had drained and left. */
static void
test_new_owner_waits_for_nobody_that_left (void **state)
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
  iv_owner_unlisted (sim->owner, "w0", sim->now_ms);
  sim_advance (sim, 300);
  assert_int_equal (sim_total_runs (sim), 1);
  sim_free (sim);
}

/* An owner that ends in good order says where a run may be; only there its successor waits. */
static void
test_handover_names_who_is_waited_for (void **state)
{
  for (guint busy = 0; busy < 2; busy++)
    {
      struct sim *sim = sim_new (2);
      GPtrArray *unsure;
      char **ids;
      sim_start_owner (sim);
      sim_make_job (busy ? 4 : 1, 0);
      sim->evidence_age_ms = busy ? 0 : EVIDENCE_MAX_AGE_MS;
      sim_submit (sim, JOB_ID, &sim_spec);
      sim_advance (sim, 200);
      unsure = iv_owner_unsure_workers (sim->owner);
      assert_int_equal (unsure->len, busy ? 2 : 0);
      ids = g_new0 (char *, unsure->len + 1);
      for (guint i = 0; i < unsure->len; i++)
        ids[i] = g_strdup (g_ptr_array_index (unsure, i));
      sim->evidence_age_ms = 0;
      sim->workers[0].unreachable = TRUE;
      sim_start_owner (sim);
      iv_owner_handed_over (sim->owner, ids);
      sim->start_calls = 0;
      sim_advance (sim, 500);
      assert_int_equal (sim->start_calls, busy ? 0 : 1);
      g_ptr_array_free (unsure, TRUE);
      g_strfreev (ids);
      sim_free (sim);
    }
}

/* Work that came after the claim cannot have been started by anybody before. */
static void
test_new_jobs_start_beside_silent_workers (void **state)
{
  struct sim *sim = sim_new (2);
  sim->workers[0].unreachable = TRUE;
  own_with_task (sim);
  sim_advance (sim, 300);
  assert_int_equal (sim_total_runs (sim), 1);
  sim_free (sim);
}

/* khairat trouble-1: a zone was cut off with its owner, and both owners ran the same tasks. */
static void
test_unconfirmed_owner_restarts_nothing_that_lapsed (void **state)
{
  struct sim *sim = sim_new (2);
  own_with_task (sim);
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
test_lapsed_runs_start_elsewhere (void **state)
{
  struct sim *sim = sim_new (2);
  own_with_task (sim);
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

/* An order without an answer may have been carried out: the task is not started twice. */
static void
test_lost_answers_double_nothing (void **state)
{
  struct sim *sim = sim_new (2);
  sim_start_owner (sim);
  sim_advance (sim, 100);
  sim->workers[0].drops_answers = sim->workers[1].drops_answers = TRUE;
  sim_make_job (2, 0);
  sim_submit (sim, JOB_ID, &sim_spec);
  for (guint i = 0; i < 300; i++)
    {
      sim_advance (sim, 10);
      assert_true (sim_max_concurrent_runs (sim) <= 1);
    }
  sim->workers[0].drops_answers = sim->workers[1].drops_answers = FALSE;
  sim_advance (sim, 4000);
  assert_int_equal (sim_total_runs (sim), 2);
  assert_int_equal (sim_max_concurrent_runs (sim), 1);
  sim_free (sim);
}

static void
test_attempts_are_counted_once_each (void **state)
{
  struct sim *sim = sim_new (4);
  own_with_task (sim);
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

/* zlatar trouble-2: a new owner meets the ends of earlier runs in any order. */
static void
test_attempts_survive_an_owner_without_store (void **state)
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

/* khairat, a day of our own: a run that failed behind a cut was the last that the queue allows. */
static void
test_last_attempt_is_not_repeated_unseen (void **state)
{
  struct sim *sim = sim_new (3);
  own_with_task (sim);
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

/* Every new owner is told of the same end once more, until a look has passed it. */
static void
test_failures_count_once_for_all_owners (void **state)
{
  struct sim *sim = sim_new (4);
  own_with_task (sim);
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

/* A list that is older than a start on its way does not prove that the start is lost. */
static void
test_start_on_its_way_is_awaited (void **state)
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
test_ends_are_forgotten_only_once_recorded (void **state)
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
test_cancel_stops_what_runs (void **state)
{
  struct sim *sim = sim_new (4);
  sim_start_owner (sim);
  sim_make_job (4, 0);
  sim_submit (sim, JOB_ID, &sim_spec);
  sim_advance (sim, 100);
  iv_job_table_apply (sim->job_table, JOB_ID IV_KEY_CANCEL, (const guint8 *)"1", 1);
  iv_owner_job (sim->owner, iv_job_table_find (sim->job_table, JOB_ID), sim->now_ms);
  sim_advance (sim, 200);
  assert_int_equal (sim_total_runs (sim), 0);
  sim_advance (sim, 2000);
  assert_int_equal (sim->start_calls, 4);
  assert_int_equal (sim_job_state (sim, JOB_ID), IVJ_CANCELLED);
  sim_free (sim);
}

static void
test_lasting_tasks_start_again (void **state)
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
test_reborn_worker_runs_nothing (void **state)
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
test_no_start_without_evidence (void **state)
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

/* A start on its way when a domain is taken out is refused once its evidence is too old. */
static void
test_late_start_is_bound_by_its_evidence (void **state)
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
  sim->workers[0].fence = 99;
  sim_make_job (1, 0);
  sim_submit (sim, JOB_ID, &sim_spec);
  sim_advance (sim, 100);
  assert_true (iv_owner_deposed (sim->owner));
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
test_label_and_spread_are_kept (void **state)
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
  own_with_task (sim);
  sim_advance (sim, 5000);
  assert_true (sim->start_calls >= 2);
  assert_true (sim_max_concurrent_runs (sim) <= 1);
  sim_free (sim);
}

/* An owner that many workers do not answer either is likely cut off, and gives up sooner. */
static void
test_silent_domain_counts_as_cut_off (void **state)
{
  struct sim *sim = sim_new (4);
  sim_start_owner (sim);
  sim_make_job (8, 0);
  sim_submit (sim, JOB_ID, &sim_spec);
  sim_advance (sim, 200);
  sim->workers[0].unreachable = TRUE;
  sim_advance (sim, 2000);
  assert_false (iv_owner_cut_off (sim->owner));
  sim->workers[2].unreachable = TRUE;
  sim_advance (sim, 2000);
  assert_true (iv_owner_cut_off (sim->owner));
  sim_free (sim);
}

/* Four domains: a quarter of the workers is one of them, and its loss may be a cut. */
static void
test_one_silent_domain_of_many_counts_as_cut_off (void **state)
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
  assert_false (iv_owner_cut_off (sim->owner));
  sim->workers[3].unreachable = TRUE;
  sim_advance (sim, 2000);
  assert_true (iv_owner_cut_off (sim->owner));
  sim_free (sim);
}

int
main (void)
{
  const struct CMUnitTest tests[] = {
    cmocka_unit_test (test_steps_in_order),
    cmocka_unit_test (test_never_beyond_room),
    cmocka_unit_test (test_runs_outlive_an_owner),
    cmocka_unit_test (test_new_owner_waits_for_silent_workers),
    cmocka_unit_test (test_new_owner_waits_for_workers_dropped_lately),
    cmocka_unit_test (test_new_owner_waits_for_nobody_that_left),
    cmocka_unit_test (test_handover_names_who_is_waited_for),
    cmocka_unit_test (test_new_jobs_start_beside_silent_workers),
    cmocka_unit_test (test_unconfirmed_owner_restarts_nothing_that_lapsed),
    cmocka_unit_test (test_lapsed_runs_start_elsewhere),
    cmocka_unit_test (test_lost_answers_double_nothing),
    cmocka_unit_test (test_attempts_are_counted_once_each),
    cmocka_unit_test (test_attempts_survive_an_owner_without_store),
    cmocka_unit_test (test_last_attempt_is_not_repeated_unseen),
    cmocka_unit_test (test_failures_count_once_for_all_owners),
    cmocka_unit_test (test_start_on_its_way_is_awaited),
    cmocka_unit_test (test_ends_are_forgotten_only_once_recorded),
    cmocka_unit_test (test_cancel_stops_what_runs),
    cmocka_unit_test (test_lasting_tasks_start_again),
    cmocka_unit_test (test_reborn_worker_runs_nothing),
    cmocka_unit_test (test_no_start_in_a_domain_out_of_service),
    cmocka_unit_test (test_no_start_without_evidence),
    cmocka_unit_test (test_late_start_is_bound_by_its_evidence),
    cmocka_unit_test (test_fenced_owner_is_deposed),
    cmocka_unit_test (test_gang_starts_whole_or_not_at_all),
    cmocka_unit_test (test_label_and_spread_are_kept),
    cmocka_unit_test (test_occurrences_start_when_due),
    cmocka_unit_test (test_stalled_run_is_moved),
    cmocka_unit_test (test_silent_domain_counts_as_cut_off),
    cmocka_unit_test (test_one_silent_domain_of_many_counts_as_cut_off),
  };
  return cmocka_run_group_tests (tests, NULL, NULL);
}
