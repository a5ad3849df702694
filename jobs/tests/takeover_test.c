#include "bench_job.h"

#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <string.h>

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

/* Guards against a task that runs twice: a worker that no roster names has runs, and the next owner
   does not learn of it. */
static void
test_no_start_on_a_worker_before_its_roster_is_stored (void **state)
{
  struct sim *sim = sim_new (2);
  sim->store_rosters = FALSE;
  sim_start_owner (sim);
  sim_make_job (1, 0);
  sim_submit (sim, JOB_ID, &sim_spec);
  sim_advance (sim, 1000);
  assert_int_equal (sim->start_calls, 0);
  sim->store_rosters = TRUE;
  sim_advance (sim, 100);
  assert_int_equal (sim_total_runs (sim), 1);
  sim_free (sim);
}

/* Guards against a task that runs twice: its worker drains and loses the store, which looks like a
   worker that drained and left, but it goes on replying to the owner. */
static void
test_task_of_unlisted_draining_worker_is_not_started_again (void **state)
{
  struct sim *sim = run_one_task ();
  guint busy = sim->workers[0].runs->len > 0 ? 0 : 1;
  sim->workers[busy].draining = TRUE;
  sim_list_workers (sim);
  unlist_busy_workers (sim);
  sim_advance (sim, 5000);
  assert_int_equal (sim_total_runs (sim), 1);
  sim->workers[busy].unreachable = TRUE;
  sim_start_owner (sim);
  for (guint i = 0; i < 80; i++)
    {
      sim_advance (sim, 100);
      assert_true (sim_max_concurrent_runs (sim) <= 1);
    }
  sim_free (sim);
}

/* Guards against tasks that wait for the horizon because of a worker that drained and left while
   the cell had no owner. */
static void
test_worker_that_drained_and_left_is_not_waited_for (void **state)
{
  struct sim *sim = run_one_task ();
  guint busy = sim->workers[0].runs->len > 0 ? 0 : 1;
  sim->workers[busy].draining = TRUE;
  sim_list_workers (sim);
  sim_advance (sim, 100);
  sim->workers[busy].unlisted = sim->workers[busy].unreachable = TRUE;
  g_array_set_size (sim->workers[busy].runs, 0);
  sim_start_owner (sim);
  sim_advance (sim, 300);
  assert_int_equal (sim_total_runs (sim), 1);
  sim_free (sim);
}

/* Guards against tasks that wait for the horizon because of a worker that left without runs. */
static void
test_worker_that_left_without_runs_is_not_waited_for (void **state)
{
  struct sim *sim = run_one_task ();
  sim_end_all_runs (sim, IV_END_DONE);
  sim_advance (sim, 300);
  sim->workers[0].unlisted = sim->workers[0].unreachable = TRUE;
  iv_owner_worker_unlisted (sim->owner, "w0", sim->now_ms);
  sim->evidence_age_ms = EVIDENCE_MAX_AGE_MS;
  sim_submit (sim, OTHER_JOB_ID, &sim_spec);
  sim_advance (sim, 300);
  assert_int_equal (sim_total_runs (sim), 0);
  sim->evidence_age_ms = 0;
  sim_start_owner (sim);
  sim_advance (sim, 300);
  assert_int_equal (sim_total_runs (sim), 1);
  sim_free (sim);
}

/* Guards against a task that runs twice: an owner of an earlier release left no roster, and the
   list does not show the worker that runs the task. */
static void
test_missing_roster_is_waited_out (void **state)
{
  struct sim *sim = run_one_task ();
  for (guint i = 0; i < sim->count; i++)
    sim->workers[i].unlisted = sim->workers[i].runs->len > 0;
  g_clear_pointer (&sim->roster, g_byte_array_unref);
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

/* Guards against a task that runs twice after a handover: neither the list nor the roster shows a
   worker that the previous owner named as unresolved. */
static void
test_unresolved_worker_missing_from_the_list_is_waited_for (void **state)
{
  struct sim *sim = run_one_task ();
  char *ids[] = { sim->workers[0].runs->len > 0 ? "w0" : "w1", NULL };
  for (guint i = 0; i < sim->count; i++)
    sim->workers[i].unlisted = sim->workers[i].runs->len > 0;
  g_byte_array_set_size (sim->roster, 4);
  memset (sim->roster->data, 0, 4);
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
    cmocka_unit_test (test_no_start_on_a_worker_before_its_roster_is_stored),
    cmocka_unit_test (test_task_of_unlisted_draining_worker_is_not_started_again),
    cmocka_unit_test (test_worker_that_drained_and_left_is_not_waited_for),
    cmocka_unit_test (test_worker_that_left_without_runs_is_not_waited_for),
    cmocka_unit_test (test_missing_roster_is_waited_out),
    cmocka_unit_test (test_unresolved_worker_missing_from_the_list_is_waited_for),
  };
  return cmocka_run_group_tests (tests, NULL, NULL);
}
