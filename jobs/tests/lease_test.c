#include "bench_job.h"

#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <string.h>

#include <cmocka.h>

#define PARTITION_TIMEOUT_MS 3000 /* hold_cut: a partitioned owner renews leases for so long */

/* Guards against a requeue of adopted runs while the lease that the previous owner gave still runs:
   a start that fails at once is the only call since the first reply, so that its short deadline was
   taken for the end of every lease. */
static void
test_leases_of_previous_owner_are_waited_for (void **state)
{
  struct sim *sim = sim_new (3);
  sim->workers[0].capacity_milli = 16000;
  sim->workers[1].capacity_milli = 0;
  sim->workers[2].draining = TRUE;
  sim_start_owner (sim);
  sim_make_job (3, 0);
  sim_submit (sim, JOB_ID, &sim_spec);
  sim_advance (sim, 100);
  assert_int_equal (sim->workers[0].runs->len, 3);
  sim->store_records = FALSE;
  /* The next poll after a reply with ends is delayed. */
  sim_end_run (sim, JOB_ID, 0, 2, IV_END_DONE);
  sim->workers[2].draining = FALSE;
  sim_start_owner (sim);
  sim_advance (sim, 20);
  sim->workers[0].resets_calls = TRUE;
  sim_make_job (1, 0);
  sim_steps[0].label = sim->workers[0].rack;
  sim->start_calls = 0;
  sim_submit (sim, OTHER_JOB_ID, &sim_spec);
  sim_advance (sim, 20);
  assert_int_equal (sim->start_calls, 1);
  assert_true (sim_advance_without_duplicates (sim, 9000));
  assert_int_equal (sim_running_count (sim, JOB_ID, 0, 0), 1);
  assert_int_equal (sim->workers[0].runs->len, 0);
  sim_free (sim);
}

/* Guards against a run of a previous owner that outlives the horizon: a lease computed from an old
   sample of a slow clock was longer than intended. */
static void
test_leases_of_slow_clocks_end_within_horizon (void **state)
{
  static const gint64 idle_ms[] = { 0, 60000, 110000, 200000, 400000 };
  for (guint i = 0; i < G_N_ELEMENTS (idle_ms); i++)
    {
      struct sim *sim = sim_new (2);
      sim->workers[0].clock_slow_percent = 2;
      sim->workers[1].capacity_milli = 0;
      sim_start_owner (sim);
      sim_advance (sim, 100 + idle_ms[i]);
      sim_make_job (1, 0);
      sim_submit (sim, JOB_ID, &sim_spec);
      sim_advance (sim, 30);
      assert_int_equal (sim->workers[0].runs->len, 1);
      assert_in_range (sim->workers[0].lease_end_clock_ms - sim->workers[0].clock, 1,
                       sim->limits.lease_ms);
      sim->workers[0].unreachable = TRUE;
      sim->workers[1].capacity_milli = 4000;
      sim_start_owner (sim);
      /* The previous owner renews leases for a while longer. */
      sim->workers[0].lease_end_clock_ms += PARTITION_TIMEOUT_MS;
      assert_true (sim_advance_without_duplicates (sim, 14000));
      assert_int_equal (sim->workers[1].runs->len, 1);
      sim_free (sim);
    }
}

int
main (void)
{
  const struct CMUnitTest tests[] = {
    cmocka_unit_test (test_leases_of_previous_owner_are_waited_for),
    cmocka_unit_test (test_leases_of_slow_clocks_end_within_horizon),
  };
  return cmocka_run_group_tests (tests, NULL, NULL);
}
