#include "bench_job.h"

#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <string.h>

#include <cmocka.h>

/* Long-running jobs took every free core, and batch jobs were seconds late. The recent demand of
   batch jobs is reserved, and accepted long-running jobs count before they are placed. */
static void
test_capacity_is_reserved_for_batch_jobs (void **state)
{
  struct bench *bench = bench_new (4);
  struct iv_cell_capacity capacity;
  for (guint i = 0; i < 4; i++)
    bench->workers[i].room_milli = 64000;
  bench_own (bench);
  bench_run_for (bench, 100);
  iv_owner_free_capacity (bench->owner, &capacity);
  assert_int_equal (capacity.long_running_milli, 256000);
  bench_make_job (4, 0);
  bench_submit (bench, JOB, &bench_spec);
  bench_run_for (bench, 100);
  iv_owner_free_capacity (bench->owner, &capacity);
  assert_int_equal (capacity.long_running_milli, 248000);
  bench_end_all (bench, IV_END_DONE);
  bench_run_for (bench, 300);
  iv_owner_free_capacity (bench->owner, &capacity);
  assert_in_range (capacity.long_running_milli, 248000, 249000);
  bench_make_job (4, 0);
  bench_steps[0].flags = IVJ_LASTS;
  bench_steps[0].cpu_milli = 60000;
  bench->evidence_age_ms = STALE_MS;
  bench_submit (bench, OTHER, &bench_spec);
  bench_run_for (bench, 100);
  iv_owner_free_capacity (bench->owner, &capacity);
  assert_in_range (capacity.long_running_milli, 8000, 9000);
  bench_free (bench);
}

/* A cell that lost workers had no capacity left for its long-running tasks, while others had, and
   the tasks counted as lost. */
static void
test_capacity_of_one_rack_is_reserved (void **state)
{
  struct bench *bench = bench_new (4);
  struct iv_cell_capacity capacity;
  bench->limits.spare_rack = TRUE;
  bench_own (bench);
  bench_run_for (bench, 100);
  assert_true (iv_owner_free_capacity (bench->owner, &capacity));
  /* Two racks of two workers with four cores each. */
  assert_int_equal (capacity.long_running_milli, 8000);
  assert_int_equal (capacity.free_milli, 16000);
  bench_free (bench);
}

int
main (void)
{
  const struct CMUnitTest tests[] = {
    cmocka_unit_test (test_capacity_is_reserved_for_batch_jobs),
    cmocka_unit_test (test_capacity_of_one_rack_is_reserved),
  };
  return cmocka_run_group_tests (tests, NULL, NULL);
}
