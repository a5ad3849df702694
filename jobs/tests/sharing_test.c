#include "bench_job.h"

#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <string.h>

#include <cmocka.h>

/* One task that lasts and has a latency target. */
static void
submit_serving (struct sim *sim)
{
  sim_make_job (1, 0);
  sim_steps[0].flags = IVJ_LONG_RUNNING;
  sim_steps[0].target_ms = 50;
  sim_steps[0].image = "serve";
  sim_submit (sim, JOB_ID, &sim_spec);
  sim_advance (sim, 200);
}

/* Whatever harms a tail that is over its target is halted. */
static void
test_fillers_yield_to_tails (void **state)
{
  struct sim *sim = sim_new (1);
  struct sim_run *run;
  sim_start_owner (sim);
  submit_serving (sim);
  g_array_index (sim->workers[0].runs, struct sim_run, 0).tail_ms = 20;
  g_array_index (sim->workers[0].runs, struct sim_run, 0).percent = 100;
  sim_advance (sim, 1500);
  sim_make_job (1, 0);
  sim_steps[0].flags = IVJ_BEST_EFFORT | IVJ_SAVES_PROGRESS;
  sim_steps[0].image = "fill";
  sim_steps[0].cpu_milli = 1000;
  sim_submit (sim, OTHER_JOB_ID, &sim_spec);
  sim_advance (sim, 300);
  assert_int_equal (sim_running_count (sim, OTHER_JOB_ID, 0, 0), 1);
  run = &g_array_index (sim->workers[0].runs, struct sim_run, 0);
  run->tail_ms = 90;
  sim_advance (sim, 1100);
  assert_true (sim->pace_calls > 0);
  assert_int_equal (sim->last_pace, 0);
  sim_free (sim);
}

/* Teach the owner how much @a fill harms the tail of "serve". */
static void
teach (struct sim *sim, const char *fill, double mean)
{
  ivj_pair pair = { (char *)"serve/", (char *)fill, mean, 0.01 };
  ivj_model model = { .pairs = { 1, &pair } };
  GByteArray *bytes = iv_xdr_encode ((iv_xdr_proc)xdr_ivj_model, &model, IV_RECORD_MAX_BYTES);
  iv_owner_load_model (sim->owner, bytes->data, bytes->len, sim->now_ms);
  g_byte_array_free (bytes, TRUE);
}

static void
submit_filler (struct sim *sim, const char *id, const char *image)
{
  sim_make_job (1, 0);
  sim_steps[0].flags = IVJ_BEST_EFFORT | IVJ_SAVES_PROGRESS;
  sim_steps[0].image = (char *)image;
  sim_steps[0].cpu_milli = 1000;
  sim_submit (sim, id, &sim_spec);
}

/* Pace that the owner has set for the only task of @a id. */
static guint
pace_of (struct sim *sim, const char *id)
{
  for (guint i = 0; i < sim->count; i++)
    {
      const struct iv_fleet_worker *worker
          = iv_fleet_find_by_id (iv_owner_fleet (sim->owner), sim->workers[i].id);
      for (guint j = 0; j < worker->runs->len; j++)
        {
          const struct iv_run *run = g_ptr_array_index (worker->runs, j);
          if (strcmp (run->name.job, id) == 0)
            return run->pace;
        }
    }
  return 0;
}

/* Set the tails of JOB's tasks, which serve: OTHER, where it runs, adds 0.4 of the calm one at full
   speed. */
static void
set_tails (struct sim *sim, gint64 calm_ms)
{
  for (guint i = 0; i < sim->count; i++)
    {
      GArray *runs = sim->workers[i].runs;
      gint64 added = 0;
      for (guint j = 0; j < runs->len; j++)
        if (strcmp (g_array_index (runs, struct sim_run, j).name.job, OTHER_JOB_ID) == 0)
          added = calm_ms * pace_of (sim, OTHER_JOB_ID) * 4 / 1000;
      for (guint j = 0; j < runs->len; j++)
        if (strcmp (g_array_index (runs, struct sim_run, j).name.job, JOB_ID) == 0)
          g_array_index (runs, struct sim_run, j).tail_ms = calm_ms + added;
    }
}

/* khairat quiet-1: fillers crept up and down by quarters, and the harmless stopped with the others.
   Who harms goes as fast as the tail beside it permits; who does not is left alone. */
static void
test_pace_is_what_the_tail_permits (void **state)
{
  struct sim *sim = sim_new (2);
  sim_start_owner (sim);
  sim_make_job (2, 0);
  sim_steps[0].flags = IVJ_LONG_RUNNING;
  sim_steps[0].target_ms = 50;
  sim_steps[0].per_worker_max = 1;
  sim_steps[0].image = "serve";
  sim_submit (sim, JOB_ID, &sim_spec);
  sim_advance (sim, 200);
  teach (sim, "heavy/", 2);
  teach (sim, "light/", 0);
  sim->domain_a_out = TRUE; /* the task there stays undisturbed */
  set_tails (sim, 20);
  sim_advance (sim, 1500);
  submit_filler (sim, OTHER_JOB_ID, "heavy");
  sim_advance (sim, 20);
  submit_filler (sim, "00000000000000cc", "light");
  sim_advance (sim, 300);
  assert_int_equal (sim_total_runs (sim), 4);
  for (guint i = 0; i < 40; i++)
    {
      set_tails (sim, 38); /* of 50: the load has risen */
      sim_advance (sim, 100);
    }
  assert_in_range (pace_of (sim, OTHER_JOB_ID), 20, 70);
  assert_int_equal (pace_of (sim, "00000000000000cc"), 100);
  sim_free (sim);
}

/* zlatar hunts, LOST: a filler that harms every tail still gets a place before it counts as
   forgotten. */
static void
test_starved_filler_gets_a_place (void **state)
{
  struct sim *sim = sim_new (1);
  sim_start_owner (sim);
  submit_serving (sim);
  g_array_index (sim->workers[0].runs, struct sim_run, 0).tail_ms = 45;
  sim_advance (sim, 1500);
  sim_make_job (1, 0);
  sim_steps[0].flags = IVJ_BEST_EFFORT | IVJ_SAVES_PROGRESS;
  sim_steps[0].image = "fill";
  sim_submit (sim, OTHER_JOB_ID, &sim_spec);
  sim_advance (sim, 300);
  assert_int_equal (sim_running_count (sim, OTHER_JOB_ID, 0, 0), 0);
  sim_advance (sim, 700);
  assert_int_equal (sim_running_count (sim, OTHER_JOB_ID, 0, 0), 1);
  sim_free (sim);
}

static void
test_learning_outlives_an_owner (void **state)
{
  struct sim *sim = sim_new (1);
  GByteArray *record;
  sim_start_owner (sim);
  submit_serving (sim);
  assert_null (iv_owner_save_model (sim->owner, sim->now_ms));
  g_array_index (sim->workers[0].runs, struct sim_run, 0).tail_ms = 10;
  sim_advance (sim, 1500);
  sim_make_job (1, 0);
  sim_steps[0].flags = IVJ_BEST_EFFORT | IVJ_SAVES_PROGRESS;
  sim_steps[0].image = "fill";
  sim_steps[0].cpu_milli = 1000;
  sim_submit (sim, OTHER_JOB_ID, &sim_spec);
  sim_advance (sim, 2000);
  record = iv_owner_save_model (sim->owner, sim->now_ms);
  assert_non_null (record);
  sim_start_owner (sim);
  assert_null (iv_owner_save_model (sim->owner, sim->now_ms));
  iv_owner_load_model (sim->owner, record->data, record->len, sim->now_ms);
  iv_owner_load_model (sim->owner, record->data, 3, sim->now_ms);
  assert_non_null (iv_owner_save_model (sim->owner, sim->now_ms));
  sim_free (sim);
}

int
main (void)
{
  const struct CMUnitTest tests[] = {
    cmocka_unit_test (test_fillers_yield_to_tails),
    cmocka_unit_test (test_pace_is_what_the_tail_permits),
    cmocka_unit_test (test_starved_filler_gets_a_place),
    cmocka_unit_test (test_learning_outlives_an_owner),
  };
  return cmocka_run_group_tests (tests, NULL, NULL);
}
