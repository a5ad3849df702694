#include "bench_job.h"

#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <string.h>

#include <cmocka.h>

#define WORKERS 4
#define GANG 12        /* members, of which a worker holds four */
#define STARTS_MAX 5   /* of a task that crashes its workers: the users' bound */
#define LOST_MS 3000   /* with room, nothing of a job may wait longer: the users' bound */
#define NOTICE_MS 4500 /* from a crash until the worker is back and its owner knows */
#define BATCH_INTERVAL_MS 200

static gboolean
is_any_member (const struct iv_task_name *name)
{
  return strcmp (name->job, JOB_ID) == 0;
}

static gboolean
is_last_member (const struct iv_task_name *name)
{
  return strcmp (name->job, JOB_ID) == 0 && name->index == 2;
}

static struct sim *
cell_with_gangs (guint workers)
{
  struct sim *sim = sim_new (workers);
  sim->gangs_break = TRUE;
  sim_start_owner (sim);
  sim_advance (sim, 100);
  return sim;
}

static void
submit_gang (struct sim *sim, const char *id, guint count, guint per_worker_max)
{
  sim_make_job (count, 0);
  sim_steps[0].cpu_milli = 1000;
  sim_steps[0].flags = IVJ_GANG;
  sim_steps[0].per_worker_max = per_worker_max;
  sim_submit (sim, id, &sim_spec);
}

/* Submits a job with a short task for each worker now and then. */
static void
submit_batch (struct sim *sim)
{
  static guint next;
  char id[IV_JOB_ID_LEN + 1];
  if (sim->now_ms % BATCH_INTERVAL_MS != 0)
    return;
  g_snprintf (id, sizeof id, "%016x", ++next + 0x1000);
  sim_make_job (sim->count, 0);
  sim_steps[0].cpu_milli = 500;
  sim_steps[0].per_worker_max = 1;
  sim_submit (sim, id, &sim_spec);
}

/* Advances until @a count members of the job run. FALSE after @a ms. */
static gboolean
advance_until_runs (struct sim *sim, const char *id, guint count, gint64 ms, gboolean busy)
{
  for (gint64 end = sim->now_ms + ms; sim->now_ms < end && sim_job_runs (sim, id) != count;)
    {
      if (busy)
        submit_batch (sim);
      sim_advance (sim, 10);
    }
  return sim_job_runs (sim, id) == count;
}

/* Crashes a worker of the gang, and waits until the next run has begun. */
static gboolean
crash_and_recover (struct sim *sim, const char *id, guint count, gboolean busy)
{
  sim_crash_worker (sim, sim_find_worker (sim, id));
  sim_advance (sim, 20);
  return advance_until_runs (sim, id, count, NOTICE_MS + LOST_MS, busy);
}

/* Guards against a gang that is never started again after one crash: each of its members wanted a
   worker without another one under suspicion, and there are fewer workers than members. */
static void
test_gang_larger_than_the_fleet_starts_again (void **state)
{
  struct sim *sim = cell_with_gangs (WORKERS);
  submit_gang (sim, JOB_ID, GANG, 0);
  assert_true (advance_until_runs (sim, JOB_ID, GANG, 1000, FALSE));
  assert_true (crash_and_recover (sim, JOB_ID, GANG, FALSE));
  sim_advance (sim, 2000);
  sim_end_all_runs (sim, IV_END_DONE);
  sim_advance (sim, 1000);
  assert_int_equal (sim_job_state (sim, JOB_ID), IVJ_COMPLETED);
  sim_free (sim);
}

/* The same on a fleet where something has just started on each worker at any time: the workers are
   kept from new tasks until what runs there has proven harmless. */
static void
test_gang_on_a_busy_fleet_starts_again (void **state)
{
  struct sim *sim = cell_with_gangs (8);
  sim->run_ms = 700;
  advance_until_runs (sim, JOB_ID, 1, 2000, TRUE);
  submit_gang (sim, JOB_ID, 6, 1);
  assert_true (advance_until_runs (sim, JOB_ID, 6, 1000, TRUE));
  assert_true (crash_and_recover (sim, JOB_ID, 6, TRUE));
  sim_free (sim);
}

/* Guards against two gangs under suspicion that hold a part of the workers each: one after the
   other gets all it needs. */
static void
test_two_gangs_under_suspicion_start_again (void **state)
{
  struct sim *sim = cell_with_gangs (WORKERS);
  submit_gang (sim, JOB_ID, WORKERS, 1);
  submit_gang (sim, OTHER_JOB_ID, WORKERS, 1);
  assert_true (advance_until_runs (sim, JOB_ID, WORKERS, 1000, FALSE));
  assert_true (advance_until_runs (sim, OTHER_JOB_ID, WORKERS, 1000, FALSE));
  sim_advance (sim, 50);
  sim_crash_worker (sim, 0);
  sim_advance (sim, 20);
  assert_int_equal (sim_total_runs (sim), 0);
  assert_true (advance_until_runs (sim, JOB_ID, WORKERS, NOTICE_MS + 2 * LOST_MS, FALSE));
  assert_true (advance_until_runs (sim, OTHER_JOB_ID, WORKERS, 2 * LOST_MS, FALSE));
  sim_free (sim);
}

/* A gang that crashes its workers is given up, whether one member is to blame or all, and one
   beside it that is not to blame is completed. */
static void
test_deadly_gang_is_given_up_and_another_completes (void **state)
{
  gboolean (*const deadly[]) (const struct iv_task_name *name) = { is_any_member, is_last_member };
  for (guint i = 0; i < G_N_ELEMENTS (deadly); i++)
    {
      struct sim *sim = cell_with_gangs (WORKERS);
      sim->is_deadly = deadly[i];
      sim->run_ms = 1500;
      submit_gang (sim, OTHER_JOB_ID, 3, 1);
      submit_gang (sim, JOB_ID, 3, 1);
      sim_advance (sim, 60000);
      assert_int_equal (sim_job_state (sim, JOB_ID), IVJ_FAILED);
      for (guint j = 0; j < 3; j++)
        assert_in_range (sim->deadly_starts[j], deadly[i] == is_any_member ? 2 : 0, STARTS_MAX);
      assert_in_range (sim->deadly_starts[2], 2, STARTS_MAX);
      assert_int_equal (sim_job_state (sim, OTHER_JOB_ID), IVJ_COMPLETED);
      sim_free (sim);
    }
}

/* Guards against a deadly gang that is started without end: members that started earlier had proven
   harmless before the deadly one was there, and cleared the gang. */
static void
test_members_that_started_first_do_not_clear_a_gang (void **state)
{
  struct sim *sim = cell_with_gangs (WORKERS);
  sim->is_deadly = is_last_member;
  sim->workers[3].start_delay_ms = 1300; /* gets the third member */
  submit_gang (sim, JOB_ID, 3, 1);
  sim_advance (sim, 60000);
  assert_int_equal (sim_job_state (sim, JOB_ID), IVJ_FAILED);
  assert_in_range (sim->deadly_starts[2], 2, STARTS_MAX);
  sim_free (sim);
}

/* A gang whose workers crash for other causes is not given up sooner than a single task: what it
   has survived counts for all of its members, and one run for one crash at most. */
static void
test_gang_survives_crashes_of_other_causes (void **state)
{
  struct sim *sim = cell_with_gangs (8);
  submit_gang (sim, JOB_ID, GANG, 2);
  for (guint round = 0; round < 8; round++)
    {
      assert_true (advance_until_runs (sim, JOB_ID, GANG, NOTICE_MS + LOST_MS, FALSE));
      /* In turn right after the start, and after the run has lasted. */
      sim_advance (sim, round % 2 == 1 ? 2000 : 50);
      sim_crash_worker (sim, sim_find_worker (sim, JOB_ID));
      sim_advance (sim, 20);
    }
  assert_true (advance_until_runs (sim, JOB_ID, GANG, NOTICE_MS + LOST_MS, FALSE));
  sim_end_all_runs (sim, IV_END_DONE);
  sim_advance (sim, 1000);
  assert_int_equal (sim_job_state (sim, JOB_ID), IVJ_COMPLETED);
  sim_free (sim);
}

/* Guards against a gang that is given up after one start: two of its workers crash at once, for a
   cause of their own. */
static void
test_one_run_of_a_gang_is_one_crash (void **state)
{
  struct sim *sim = cell_with_gangs (8);
  submit_gang (sim, JOB_ID, GANG, 2);
  assert_true (advance_until_runs (sim, JOB_ID, GANG, 1000, FALSE));
  sim_advance (sim, 50);
  for (guint i = 0; i < 2; i++)
    sim_crash_worker (sim, sim_find_worker (sim, JOB_ID));
  sim_advance (sim, 20);
  assert_true (advance_until_runs (sim, JOB_ID, GANG, NOTICE_MS + LOST_MS, FALSE));
  sim_end_all_runs (sim, IV_END_DONE);
  sim_advance (sim, 1000);
  assert_int_equal (sim_job_state (sim, JOB_ID), IVJ_COMPLETED);
  sim_free (sim);
}

static const ivj_crashes *
recorded_crashes (const struct sim *sim)
{
  return &iv_job_table_find (sim->job_table, JOB_ID)->crashes;
}

/* The crashes of a gang are one count, before and after a takeover; a record of an earlier release,
   with a count for each member, is read so. */
static void
test_count_of_a_gang_survives_takeovers (void **state)
{
  for (guint earlier = 0; earlier < 2; earlier++)
    {
      struct sim *sim = cell_with_gangs (WORKERS);
      submit_gang (sim, JOB_ID, GANG, 0);
      assert_true (advance_until_runs (sim, JOB_ID, GANG, 1000, FALSE));
      sim->evidence_age_ms = EVIDENCE_MAX_AGE_MS;
      sim_crash_worker (sim, sim_find_worker (sim, JOB_ID));
      sim_advance (sim, NOTICE_MS + LOST_MS);
      assert_int_equal (recorded_crashes (sim)->tasks.tasks_len, 1);
      assert_int_equal (recorded_crashes (sim)->tasks.tasks_val[0].crashes, 1);
      if (earlier)
        {
          ivj_crash rows[3]
              = { { 0, 0, 2, 1, 1, 0, 0 }, { 0, 0, 5, 1, 1, 0, 0 }, { 0, 0, 7, 1, 1, 0, 0 } };
          const ivj_crashes crashes = { { G_N_ELEMENTS (rows), rows } };
          GByteArray *bytes
              = iv_xdr_encode ((iv_xdr_proc)xdr_ivj_crashes, &crashes, IV_RECORD_MAX_BYTES);
          iv_job_table_apply (sim->job_table, JOB_ID IV_KEY_CRASHES, bytes->data, bytes->len);
          g_byte_array_free (bytes, TRUE);
        }
      sim->evidence_age_ms = 0;
      sim_start_owner (sim);
      assert_true (advance_until_runs (sim, JOB_ID, GANG, 10000, FALSE));
      sim->evidence_age_ms = EVIDENCE_MAX_AGE_MS;
      sim_advance (sim, 50);
      sim_crash_worker (sim, sim_find_worker (sim, JOB_ID));
      sim_advance (sim, NOTICE_MS + LOST_MS);
      /* Like a single task that was alone on both workers, it is given up; the earlier release did
         not hold it for alone. */
      if (!earlier)
        assert_int_equal (sim_job_state (sim, JOB_ID), IVJ_FAILED);
      else
        assert_int_equal (recorded_crashes (sim)->tasks.tasks_val[0].crashes, 2);
      sim_free (sim);
    }
}

int
main (void)
{
  const struct CMUnitTest tests[] = {
    cmocka_unit_test (test_gang_larger_than_the_fleet_starts_again),
    cmocka_unit_test (test_gang_on_a_busy_fleet_starts_again),
    cmocka_unit_test (test_two_gangs_under_suspicion_start_again),
    cmocka_unit_test (test_deadly_gang_is_given_up_and_another_completes),
    cmocka_unit_test (test_members_that_started_first_do_not_clear_a_gang),
    cmocka_unit_test (test_gang_survives_crashes_of_other_causes),
    cmocka_unit_test (test_one_run_of_a_gang_is_one_crash),
    cmocka_unit_test (test_count_of_a_gang_survives_takeovers),
  };
  return cmocka_run_group_tests (tests, NULL, NULL);
}
