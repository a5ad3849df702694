#include "bench_job.h"

#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <string.h>

#include <cmocka.h>

/* A job that cannot be placed is moved to a cell with capacity, and is not started here any more.
 */
static void
test_unplaceable_job_is_moved (void **state)
{
  struct bench *bench = bench_new (1);
  bench_own (bench);
  bench_make_job (2, 0);
  bench_submit (bench, JOB, &bench_spec);
  bench_run_for (bench, 100);
  bench->elsewhere_milli = 100000;
  bench_submit (bench, OTHER, &bench_spec);
  bench_run_for (bench, 1000);
  assert_int_equal (bench->moved, 1);
  bench_end_all (bench, IV_END_DONE);
  bench_run_for (bench, 1000);
  assert_int_equal (bench->started, 2);
  bench_free (bench);
}

/* Long-running jobs filled one cell, and batch jobs in it waited half a second to be moved. A new
   long-running job is therefore moved to the cell with more free capacity before it starts. */
static void
test_long_running_jobs_are_balanced_across_cells (void **state)
{
  struct bench *bench = bench_new (4);
  bench_own (bench);
  bench_run_for (bench, 100);
  bench->elsewhere_milli = 100000;
  bench_make_job (1, 0);
  bench_steps[0].flags = IVJ_LASTS;
  bench_submit (bench, JOB, &bench_spec);
  bench_run_for (bench, 100);
  assert_int_equal (bench->moved, 1);
  assert_int_equal (bench->started, 0);
  bench_make_job (1, 0);
  bench_submit (bench, OTHER, &bench_spec);
  bench_run_for (bench, 100);
  assert_int_equal (bench->moved, 1);
  assert_int_equal (bench->started, 1);
  bench_free (bench);
}

/* Long-running tasks could not be placed after their workers were lost, while another cell had
   capacity, and counted as lost. The whole job is moved there once none of its tasks runs here. */
static void
test_stuck_long_running_job_is_evacuated (void **state)
{
  struct bench *bench = bench_new (2);
  bench_own (bench);
  bench_make_job (4, 0);
  bench_steps[0].flags = IVJ_LASTS;
  bench_submit (bench, JOB, &bench_spec);
  bench_run_for (bench, 200);
  assert_int_equal (bench_total (bench), 4);
  bench->workers[0].refuses = TRUE;
  bench_reboot (bench, 0);
  bench->elsewhere_milli = 100000;
  bench_run_for (bench, 600);
  bench->workers[1].silent = TRUE; /* stops do not reach it: its tasks keep running */
  bench_run_for (bench, 2000);
  assert_int_equal (bench->moved, 0);
  bench->workers[1].silent = FALSE;
  bench_run_for (bench, 3000);
  assert_int_equal (bench->moved, 1);
  assert_int_equal (bench_total (bench), 0);
  bench_free (bench);
}

/* A moved job that was submitted again was taken back before the record of its move was read, and
   ran in both cells. */
static void
test_resubmitted_job_does_not_return_before_its_move_is_read (void **state)
{
  for (guint late = 0; late < 2; late++)
    {
      struct bench *bench = bench_new (1);
      bench_own (bench);
      bench_make_job (2, 0);
      bench_submit (bench, JOB, &bench_spec);
      bench_run_for (bench, 100);
      bench->elsewhere_milli = 100000;
      bench->moves_wait = TRUE;
      bench_submit (bench, OTHER, &bench_spec);
      bench_run_for (bench, 1000);
      assert_int_equal (bench->moved, 1);
      bench_submit (bench, OTHER, &bench_spec);
      if (late)
        {
          iv_book_fold (bench->book, OTHER IV_KEY_MOVE, (const guint8 *)"1", 1);
          iv_owner_job_changed (bench->owner, iv_book_find (bench->book, OTHER), bench->now_ms);
        }
      bench_end_all (bench, IV_END_DONE);
      bench_run_for (bench, 1000);
      assert_int_equal (bench->started, 2);
      assert_int_equal (bench->moved, 1);
      bench_free (bench);
    }
}

/* A job with tasks that run, or may run, here is not moved. */
static void
test_begun_or_unresolved_jobs_are_not_moved (void **state)
{
  struct bench *bench = bench_new (2);
  bench->stored = FALSE; /* the next owner reads no record of a start */
  bench_own (bench);
  bench_make_job (8, 0);
  bench_submit (bench, JOB, &bench_spec);
  bench->elsewhere_milli = 100000;
  bench_run_for (bench, 1000);
  assert_int_equal (bench_total (bench), 4);
  bench->workers[0].silent = TRUE;
  bench_own (bench);
  bench_run_for (bench, 2000);
  assert_int_equal (bench->moved, 0);
  bench_free (bench);
}

static gboolean
owns_nothing (void *context, const struct iv_job *job)
{
  return FALSE;
}

/* The owner of a second cell on the same host does not take the jobs of the first. */
static void
test_owners_on_one_host_do_not_share_jobs (void **state)
{
  struct bench *bench = bench_new (2);
  struct iv_owner_effects effects = { .owns_job = owns_nothing };
  struct iv_owner *second;
  struct iv_job *job;
  bench_own (bench);
  bench_make_job (2, 0);
  bench_submit (bench, JOB, &bench_spec);
  bench_run_for (bench, 100);
  second = iv_owner_new (bench->book, 7, &bench->limits, &effects, bench->now_ms, bench->wall_ms);
  job = iv_book_find (bench->book, JOB);
  iv_owner_job_changed (second, job, bench->now_ms);
  assert_non_null (job->work);
  bench_end_all (bench, IV_END_DONE);
  bench_run_for (bench, 300);
  assert_int_equal (bench_state (bench, JOB), IVJ_COMPLETED);
  iv_owner_free (second);
  bench_free (bench);
}

int
main (void)
{
  const struct CMUnitTest tests[] = {
    cmocka_unit_test (test_unplaceable_job_is_moved),
    cmocka_unit_test (test_long_running_jobs_are_balanced_across_cells),
    cmocka_unit_test (test_stuck_long_running_job_is_evacuated),
    cmocka_unit_test (test_resubmitted_job_does_not_return_before_its_move_is_read),
    cmocka_unit_test (test_begun_or_unresolved_jobs_are_not_moved),
    cmocka_unit_test (test_owners_on_one_host_do_not_share_jobs),
  };
  return cmocka_run_group_tests (tests, NULL, NULL);
}
