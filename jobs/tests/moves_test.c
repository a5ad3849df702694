#include "bench_job.h"

#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <string.h>

#include <cmocka.h>

/* A job that finds no place goes to a cell with room, and is started here no more. */
static void
test_job_without_a_place_moves (void **state)
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

/* khairat-grown quiet-1: one cell was full of what lasts, and short jobs in it waited half a second
   to be moved. A job that lasts goes to the emptier cell before it starts. */
static void
test_lasting_jobs_level_cells_out (void **state)
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

/* khairat-grown hunts, LOST: tasks that last found no place after their workers were lost, while
   another cell had room. The whole job goes there, once nothing of it runs here. */
static void
test_stuck_lasting_job_is_evacuated (void **state)
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
  bench->workers[1].silent = TRUE; /* stops do not reach it: its tasks run on */
  bench_run_for (bench, 2000);
  assert_int_equal (bench->moved, 0);
  bench->workers[1].silent = FALSE;
  bench_run_for (bench, 3000);
  assert_int_equal (bench->moved, 1);
  assert_int_equal (bench_total (bench), 0);
  bench_free (bench);
}

/* khairat-grown hunts, TWICE: a job that was handed in again came back before its move was read,
   and ran in both cells. */
static void
test_moved_job_handed_in_again_stays_away (void **state)
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
          iv_owner_job (bench->owner, iv_book_find (bench->book, OTHER), bench->now_ms);
        }
      bench_end_all (bench, IV_END_DONE);
      bench_run_for (bench, 1000);
      assert_int_equal (bench->started, 2);
      assert_int_equal (bench->moved, 1);
      bench_free (bench);
    }
}

/* What may run here is moved nowhere. */
static void
test_begun_or_unsure_jobs_stay (void **state)
{
  struct bench *bench = bench_new (2);
  bench->stored = FALSE; /* the next owner reads of no start */
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

/* A host that gains a second cell leaves the jobs of the first alone. */
static void
test_owners_of_one_host_keep_apart (void **state)
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
  iv_owner_job (second, job, bench->now_ms);
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
    cmocka_unit_test (test_job_without_a_place_moves),
    cmocka_unit_test (test_lasting_jobs_level_cells_out),
    cmocka_unit_test (test_stuck_lasting_job_is_evacuated),
    cmocka_unit_test (test_moved_job_handed_in_again_stays_away),
    cmocka_unit_test (test_begun_or_unsure_jobs_stay),
    cmocka_unit_test (test_owners_of_one_host_keep_apart),
  };
  return cmocka_run_group_tests (tests, NULL, NULL);
}
