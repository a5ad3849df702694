#include "bench_job.h"

#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <string.h>

#include <cmocka.h>

/* Tasks of a queue with advice start only on workers that the service allows, and with a ticket. */
static void
test_advised_tasks_start_with_tickets (void **state)
{
  struct sim *sim = sim_new (4);
  sim_start_owner (sim);
  sim->advised = TRUE;
  sim_make_job (3, 0);
  sim_submit (sim, JOB_ID, &sim_spec);
  sim_advance (sim, 40);
  assert_int_equal (sim_total_runs (sim), 0);
  sim_advance (sim, 300);
  assert_int_equal (sim_total_runs (sim), 3);
  assert_int_equal (sim->workers[0].runs->len + sim->workers[2].runs->len, 0);
  assert_int_equal (sim->advice_queries, 1);
  assert_int_equal (sim->no_ticket, 0);
  sim_free (sim);
}

/* A ticket that is about to expire is requested again. Denied workers are not queried again. */
static void
test_tickets_are_renewed (void **state)
{
  struct sim *sim = sim_new (2);
  sim_start_owner (sim);
  sim->advised = TRUE;
  sim_make_job (1, 0);
  sim_steps[0].flags = IVJ_LONG_RUNNING;
  sim_submit (sim, JOB_ID, &sim_spec);
  for (guint i = 0; i < 3; i++)
    {
      sim_advance (sim, 2000);
      assert_int_equal (sim_total_runs (sim), 1);
      sim_end_run (sim, JOB_ID, 0, 0, IV_END_FAILED);
    }
  assert_int_equal (sim->advice_queries, 3);
  assert_int_equal (sim->no_ticket, 0);
  sim_free (sim);
}

/* Guards against long-running tasks that wait without end when every worker is full, as tickets are
   requested only for workers with capacity. */
static void
test_tickets_are_requested_for_full_workers (void **state)
{
  struct sim *sim = sim_new (2);
  sim_start_owner (sim);
  sim_make_job (40, 0);
  sim_steps[0].cpu_milli = 1000;
  sim_submit (sim, OTHER_JOB_ID, &sim_spec);
  sim_advance (sim, 300);
  assert_int_equal (sim_total_runs (sim), 8);
  sim->advised = TRUE;
  sim->ticket_valid_ms = 5000;
  sim_make_job (1, 0);
  sim_steps[0].cpu_milli = 3000;
  sim_steps[0].flags = IVJ_LONG_RUNNING;
  sim_submit (sim, JOB_ID, &sim_spec);
  for (guint i = 0; i < 16; i++)
    {
      sim_end_oldest_run (sim, i % 2, OTHER_JOB_ID);
      sim_advance (sim, 100);
    }
  assert_int_equal (sim_running_count (sim, JOB_ID, 0, 0), 1);
  sim_free (sim);
}

int
main (void)
{
  const struct CMUnitTest tests[] = {
    cmocka_unit_test (test_advised_tasks_start_with_tickets),
    cmocka_unit_test (test_tickets_are_renewed),
    cmocka_unit_test (test_tickets_are_requested_for_full_workers),
  };
  return cmocka_run_group_tests (tests, NULL, NULL);
}
