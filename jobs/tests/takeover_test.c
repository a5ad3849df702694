#include "bench_job.h"

#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>

#include <cmocka.h>

/* The platform stops listing each worker that runs a task. */
static void
unlist_busy_workers (struct sim *sim)
{
  for (guint i = 0; i < sim->count; i++)
    {
      sim->workers[i].unlisted = sim->workers[i].runs->len > 0;
      if (sim->workers[i].unlisted)
        iv_owner_worker_unlisted (sim->owner, sim->workers[i].id, sim->now_ms);
    }
}

static struct sim *
run_one_task (void)
{
  struct sim *sim = sim_new (2);
  sim_start_owner (sim);
  sim_make_job (1, 0);
  sim_submit (sim, JOB_ID, &sim_spec);
  sim_advance (sim, 100);
  assert_int_equal (sim_total_runs (sim), 1);
  return sim;
}

/* Guards against a task that runs twice: its worker lost the store long ago, so that the list shows
   nothing of it any more, but the previous owner renewed its leases until the takeover. */
static void
test_task_of_unlisted_worker_is_not_started_again (void **state)
{
  struct sim *sim = run_one_task ();
  unlist_busy_workers (sim);
  sim_advance (sim, 20000);
  assert_int_equal (sim_total_runs (sim), 1);
  sim_start_owner (sim);
  for (guint i = 0; i < 200; i++)
    {
      sim_advance (sim, 100);
      assert_true (sim_max_concurrent_runs (sim) <= 1);
    }
  assert_int_equal (sim_total_runs (sim), 1);
  sim_free (sim);
}

/* Guards against a task that runs twice: the record of its unlisted worker was never stored, so the
   owner must let its lease expire while the list's history still shows the worker. */
static void
test_leases_on_unrecorded_workers_expire (void **state)
{
  struct sim *sim = run_one_task ();
  sim->store_records = FALSE;
  unlist_busy_workers (sim);
  sim_advance (sim, sim->limits.lease_ms - 100);
  assert_int_equal (sim_total_runs (sim), 1);
  assert_int_equal (sim->start_calls, 1);
  sim_advance (sim, sim->limits.lease_ms + 1000);
  assert_int_equal (sim->start_calls, 2);
  assert_int_equal (sim_max_concurrent_runs (sim), 1);
  sim_free (sim);
}

/* Guards against tasks that wait for the horizon because of a worker that is listed again. */
static void
test_relisted_worker_is_not_waited_for (void **state)
{
  struct sim *sim = run_one_task ();
  guint busy = sim->workers[0].runs->len > 0 ? 0 : 1;
  unlist_busy_workers (sim);
  sim_advance (sim, 2000);
  sim->workers[busy].unlisted = FALSE;
  sim_start_owner (sim);
  sim_advance (sim, 300);
  sim_end_all_runs (sim, IV_END_DONE);
  sim->evidence_age_ms = EVIDENCE_MAX_AGE_MS;
  sim_submit (sim, OTHER_JOB_ID, &sim_spec);
  sim_advance (sim, 300);
  assert_int_equal (sim_total_runs (sim), 0);
  sim->evidence_age_ms = 0;
  sim->workers[busy].unlisted = sim->workers[busy].unreachable = TRUE;
  sim_start_owner (sim);
  sim_advance (sim, 300);
  assert_int_equal (sim_total_runs (sim), 1);
  sim_free (sim);
}

/* Guards against a task that runs twice: the store discarded the history that would show that its
   worker left the list, and the previous owner was gone before it could record the worker. */
static void
test_gap_in_the_list_is_waited_out (void **state)
{
  struct sim *sim = run_one_task ();
  for (guint i = 0; i < sim->count; i++)
    sim->workers[i].unlisted = sim->workers[i].runs->len > 0;
  sim->list_incomplete = TRUE;
  sim_start_owner (sim);
  for (guint i = 0; i < 80; i++)
    {
      sim_advance (sim, 100);
      assert_true (sim_max_concurrent_runs (sim) <= 1);
      assert_int_equal (sim->start_calls, 1);
    }
  sim_advance (sim, 1000);
  assert_int_equal (sim->start_calls, 2);
  sim_free (sim);
}

/* Guards against a task that runs twice after a handover: the list does not show a worker that the
   previous owner named as unresolved. */
static void
test_unresolved_worker_missing_from_the_list_is_waited_for (void **state)
{
  struct sim *sim = run_one_task ();
  char *ids[] = { sim->workers[0].runs->len > 0 ? "w0" : "w1", NULL };
  for (guint i = 0; i < sim->count; i++)
    sim->workers[i].unlisted = sim->workers[i].runs->len > 0;
  sim_start_owner (sim);
  iv_owner_apply_handover (sim->owner, ids);
  for (guint i = 0; i < 80; i++)
    {
      sim_advance (sim, 100);
      assert_true (sim_max_concurrent_runs (sim) <= 1);
      assert_int_equal (sim->start_calls, 1);
    }
  sim_free (sim);
}

int
main (void)
{
  const struct CMUnitTest tests[] = {
    cmocka_unit_test (test_task_of_unlisted_worker_is_not_started_again),
    cmocka_unit_test (test_leases_on_unrecorded_workers_expire),
    cmocka_unit_test (test_relisted_worker_is_not_waited_for),
    cmocka_unit_test (test_gap_in_the_list_is_waited_out),
    cmocka_unit_test (test_unresolved_worker_missing_from_the_list_is_waited_for),
  };
  return cmocka_run_group_tests (tests, NULL, NULL);
}
