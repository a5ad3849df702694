#include "bench_job.h"

#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <string.h>

#include <cmocka.h>

/* khairat scale-2: jobs that last took every free core, and short ones were late by seconds. What
   short ones needed lately is kept; what is accepted counts before it is placed. */
static void
test_room_is_kept_for_short_jobs (void **state)
{
  struct bench *bench = bench_new (4);
  struct iv_cell_room room;
  for (guint i = 0; i < 4; i++)
    bench->workers[i].room_milli = 64000;
  bench_own (bench);
  bench_run_for (bench, 100);
  iv_owner_room (bench->owner, &room);
  assert_int_equal (room.lasting_milli, 256000);
  bench_make_job (4, 0);
  bench_submit (bench, JOB, &bench_spec);
  bench_run_for (bench, 100);
  iv_owner_room (bench->owner, &room);
  assert_int_equal (room.lasting_milli, 248000);
  bench_end_all (bench, IV_END_DONE);
  bench_run_for (bench, 300);
  iv_owner_room (bench->owner, &room);
  assert_in_range (room.lasting_milli, 248000, 249000);
  bench_make_job (4, 0);
  bench_steps[0].flags = IVJ_LASTS;
  bench_steps[0].cpu_milli = 60000;
  bench->evidence_age_ms = STALE_MS;
  bench_submit (bench, OTHER, &bench_spec);
  bench_run_for (bench, 100);
  iv_owner_room (bench->owner, &room);
  assert_in_range (room.lasting_milli, 8000, 9000);
  bench_free (bench);
}

/* khairat-grown hunts, LOST: a cell that lost workers had no room for what lasts, others had. */
static void
test_room_for_a_lost_rack_is_kept (void **state)
{
  struct bench *bench = bench_new (4);
  struct iv_cell_room room;
  bench->limits.spare_rack = TRUE;
  bench_own (bench);
  bench_run_for (bench, 100);
  assert_true (iv_owner_room (bench->owner, &room));
  assert_int_equal (room.lasting_milli, 8000); /* two racks of two workers with four cores */
  assert_int_equal (room.free_milli, 16000);
  bench_free (bench);
}

int
main (void)
{
  const struct CMUnitTest tests[] = {
    cmocka_unit_test (test_room_is_kept_for_short_jobs),
    cmocka_unit_test (test_room_for_a_lost_rack_is_kept),
  };
  return cmocka_run_group_tests (tests, NULL, NULL);
}
