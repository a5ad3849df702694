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

int
main (void)
{
  const struct CMUnitTest tests[]
      = { cmocka_unit_test (test_task_of_unlisted_worker_is_not_started_again) };
  return cmocka_run_group_tests (tests, NULL, NULL);
}
