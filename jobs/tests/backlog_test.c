#include "bench_job.h"

#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <string.h>

#include <cmocka.h>

#define THIRD_JOB_ID "00000000000000cc"

static struct iv_backlog
measure (struct sim *sim)
{
  struct iv_backlog backlog;
  iv_owner_measure_backlog (sim->owner, &backlog, sim->now_ms);
  return backlog;
}

static gint64
total (const struct iv_backlog *backlog)
{
  gint64 sum = 0;
  for (guint i = 0; i < IV_FORECAST_CLASSES; i++)
    sum += backlog->waiting[i];
  return sum;
}

/* Four workers of four cores; tasks of two cores and an estimate of a second. */
static struct sim *
start (void)
{
  struct sim *sim = sim_new (4);
  sim_start_owner (sim);
  sim_advance (sim, 100);
  return sim;
}

static void
submit (struct sim *sim, const char *id, guint count, guint second)
{
  sim_make_job (count, second);
  sim_submit (sim, id, &sim_spec);
  sim_advance (sim, 100);
}

/* Load: a burst in an empty cell. Guards against a rate that is told before the cell was full for
   an interval, when no task has ended yet; and against tasks that are counted before their step is
   ready, or once they run. */
static void
test_burst (void **state)
{
  struct sim *sim = start ();
  struct iv_backlog backlog = measure (sim);
  assert_int_equal (backlog.rate_milli, 0);
  assert_int_equal (backlog.capacity_milli, 16000);
  assert_int_equal (total (&backlog), 0);
  submit (sim, JOB_ID, 12, 100);
  backlog = measure (sim);
  assert_int_equal (backlog.rate_milli, 0);
  sim_advance (sim, 500);
  backlog = measure (sim);
  assert_int_equal (backlog.rate_milli, 16000);
  assert_int_equal (total (&backlog), 4 * 2000);
  sim_free (sim);
}

/* Load: tasks that take twice their estimate. The rate counts work by estimates. */
static void
test_rate_follows_ended_tasks (void **state)
{
  struct sim *sim = start ();
  struct iv_backlog backlog;
  submit (sim, JOB_ID, 64, 0);
  sim_advance (sim, 1900);
  sim_end_all_runs (sim, IV_END_DONE);
  sim_advance (sim, 300);
  measure (sim);
  backlog = measure (sim);
  assert_in_range (backlog.rate_milli, 7000, 9000);
  sim_free (sim);
}

/* Load: two tasks run, and tasks wait for a label that no worker has, beside free cores. Other jobs
   are not kept from these, so that no rate is told. */
static void
test_constrained_work_tells_no_rate (void **state)
{
  struct sim *sim = start ();
  struct iv_backlog backlog;
  submit (sim, OTHER_JOB_ID, 2, 0);
  sim_make_job (100, 0);
  sim_steps[0].label = "none";
  sim_submit (sim, JOB_ID, &sim_spec);
  sim_advance (sim, 100);
  measure (sim);
  backlog = measure (sim);
  assert_true (total (&backlog) > 0);
  assert_int_equal (sim_total_runs (sim), 2);
  assert_int_equal (backlog.rate_milli, 0);
  sim_free (sim);
}

/* Load: long-running tasks take half of the cell. Their cores are none that batch tasks could
   use. */
static void
test_long_running_tasks_take_capacity (void **state)
{
  struct sim *sim = start ();
  struct iv_backlog backlog;
  sim_make_job (4, 0);
  sim_steps[0].flags = IVJ_LONG_RUNNING;
  sim_submit (sim, OTHER_JOB_ID, &sim_spec);
  sim_advance (sim, 100);
  submit (sim, THIRD_JOB_ID, 12, 0);
  measure (sim);
  sim_advance (sim, 100);
  backlog = measure (sim);
  assert_int_equal (backlog.capacity_milli, 8000);
  assert_int_equal (backlog.rate_milli, 8000);
  assert_int_equal (total (&backlog), 8 * 2000);
  sim_free (sim);
}

int
main (void)
{
  const struct CMUnitTest tests[] = {
    cmocka_unit_test (test_burst),
    cmocka_unit_test (test_rate_follows_ended_tasks),
    cmocka_unit_test (test_constrained_work_tells_no_rate),
    cmocka_unit_test (test_long_running_tasks_take_capacity),
  };
  return cmocka_run_group_tests (tests, NULL, NULL);
}
