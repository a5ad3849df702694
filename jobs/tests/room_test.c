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
  struct sim *sim = sim_new (4);
  struct iv_cell_room room;
  for (guint i = 0; i < 4; i++)
    sim->workers[i].capacity_milli = 64000;
  sim_start_owner (sim);
  sim_advance (sim, 100);
  iv_owner_room (sim->owner, &room);
  assert_int_equal (room.lasting_milli, 256000);
  sim_make_job (4, 0);
  sim_submit (sim, JOB_ID, &sim_spec);
  sim_advance (sim, 100);
  iv_owner_room (sim->owner, &room);
  assert_int_equal (room.lasting_milli, 248000);
  sim_end_all_runs (sim, IV_END_DONE);
  sim_advance (sim, 300);
  iv_owner_room (sim->owner, &room);
  assert_in_range (room.lasting_milli, 248000, 249000);
  sim_make_job (4, 0);
  sim_steps[0].flags = IVJ_LONG_RUNNING;
  sim_steps[0].cpu_milli = 60000;
  sim->evidence_age_ms = EVIDENCE_MAX_AGE_MS;
  sim_submit (sim, OTHER_JOB_ID, &sim_spec);
  sim_advance (sim, 100);
  iv_owner_room (sim->owner, &room);
  assert_in_range (room.lasting_milli, 8000, 9000);
  sim_free (sim);
}

/* khairat-grown hunts, LOST: a cell that lost workers had no room for what lasts, others had. */
static void
test_room_for_a_lost_rack_is_kept (void **state)
{
  struct sim *sim = sim_new (4);
  struct iv_cell_room room;
  sim->limits.spare_rack = TRUE;
  sim_start_owner (sim);
  sim_advance (sim, 100);
  assert_true (iv_owner_room (sim->owner, &room));
  assert_int_equal (room.lasting_milli, 8000); /* two racks of two workers with four cores */
  assert_int_equal (room.free_milli, 16000);
  sim_free (sim);
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
