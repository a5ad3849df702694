#include "bench_job.h"

#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <string.h>

#include <cmocka.h>

static gint64
acked_end (const struct sim *sim, const char *worker)
{
  return iv_fleet_find_by_id (iv_owner_fleet (sim->owner), worker)->acked_end;
}

/* Submits a job whose @a count tasks are spread evenly over the workers. */
static void
submit_to (struct sim *sim, const char *id, guint count)
{
  sim_make_job (count, 0);
  sim_steps[0].cpu_milli = 1000;
  sim_steps[0].per_worker_max = count / sim->count;
  sim_submit (sim, id, &sim_spec);
}

/* Guards against confirmed ends that no record holds: after a hand-over their tasks ran again. A
   record that is not stored, for now or for good, holds back the ends that it tells of, and no ends
   of other jobs before them. */
static void
test_ends_without_a_record_are_not_confirmed (void **state)
{
  for (guint for_good = 0; for_good < 2; for_good++)
    {
      struct sim *sim = sim_new (2);
      sim_start_owner (sim);
      submit_to (sim, JOB_ID, 4);
      submit_to (sim, OTHER_JOB_ID, 2);
      sim_advance (sim, 1000);
      assert_int_equal (sim_job_runs (sim, JOB_ID), 4);
      assert_int_equal (sim_job_runs (sim, OTHER_JOB_ID), 2);
      sim->unstorable_job = JOB_ID;
      sim->unstorable_for_good = for_good > 0;
      /* On the first worker an end of the other job comes first, on the second one after. */
      sim_end_oldest_run (sim, 0, OTHER_JOB_ID);
      sim_advance (sim, 1000);
      sim_end_oldest_run (sim, 0, JOB_ID);
      sim_end_oldest_run (sim, 1, JOB_ID);
      sim_advance (sim, 1000);
      sim_end_oldest_run (sim, 1, OTHER_JOB_ID);
      sim_advance (sim, 1000);
      assert_int_equal (sim_job_state (sim, OTHER_JOB_ID), IVJ_COMPLETED);
      assert_int_equal (acked_end (sim, "w0"), 1);
      assert_int_equal (acked_end (sim, "w1"), 0);
      sim_start_owner (sim);
      assert_true (sim_advance_without_duplicates (sim, 12000));
      assert_int_equal (sim_job_runs (sim, JOB_ID), 2);
      sim->unstorable_job = NULL;
      sim_end_oldest_run (sim, 0, JOB_ID);
      sim_end_oldest_run (sim, 1, JOB_ID);
      sim_advance (sim, 1000);
      assert_int_equal (sim_job_state (sim, JOB_ID), IVJ_COMPLETED);
      assert_int_equal (acked_end (sim, "w0"), 3);
      assert_int_equal (acked_end (sim, "w1"), 3);
      sim_free (sim);
    }
}

int
main (void)
{
  const struct CMUnitTest tests[] = {
    cmocka_unit_test (test_ends_without_a_record_are_not_confirmed),
  };
  return cmocka_run_group_tests (tests, NULL, NULL);
}
