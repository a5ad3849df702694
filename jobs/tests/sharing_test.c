#include "bench_job.h"

#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <string.h>

#include <cmocka.h>

/* Submits a job with one long-running task that has a latency target. */
static void
submit_latency_critical (struct sim *sim)
{
  sim_make_job (1, 0);
  sim_steps[0].flags = IVJ_LONG_RUNNING;
  sim_steps[0].target_ms = 50;
  sim_steps[0].image = "serve";
  sim_submit (sim, JOB_ID, &sim_spec);
  sim_advance (sim, 200);
}

/* A best-effort run is halted beside a tail latency that stays over its target. */
static void
test_best_effort_run_is_halted_for_tail_latency (void **state)
{
  struct sim *sim = sim_new (1);
  struct sim_run *run;
  sim_start_owner (sim);
  submit_latency_critical (sim);
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
  assert_true (sim->throttle_calls > 0);
  assert_int_equal (sim->last_cpu_limit_percent, 0);
  sim_free (sim);
}

/* Sets the owner's estimate of the interference of @a fill with "serve". */
static void
load_estimate (struct sim *sim, const char *fill, double mean)
{
  ivj_pair pair = { (char *)"serve/", (char *)fill, mean, 0.01 };
  ivj_model model = { .pairs = { 1, &pair } };
  GByteArray *bytes = iv_xdr_encode ((iv_xdr_proc)xdr_ivj_model, &model, IV_RECORD_MAX_BYTES);
  iv_owner_load_model (sim->owner, bytes->data, bytes->len, sim->now_ms);
  g_byte_array_free (bytes, TRUE);
}

static void
submit_best_effort (struct sim *sim, const char *id, const char *image)
{
  sim_make_job (1, 0);
  sim_steps[0].flags = IVJ_BEST_EFFORT | IVJ_SAVES_PROGRESS;
  sim_steps[0].image = (char *)image;
  sim_steps[0].cpu_milli = 1000;
  sim_submit (sim, id, &sim_spec);
}

/* CPU limit that the owner has set for the only task of @a id, in percent. */
static guint
cpu_limit_of (struct sim *sim, const char *id)
{
  for (guint i = 0; i < sim->count; i++)
    {
      const struct iv_fleet_worker *worker
          = iv_fleet_find_by_id (iv_owner_fleet (sim->owner), sim->workers[i].id);
      for (guint j = 0; j < worker->runs->len; j++)
        {
          const struct iv_run *run = g_ptr_array_index (worker->runs, j);
          if (strcmp (run->name.job, id) == 0)
            return run->cpu_limit_percent;
        }
    }
  return 0;
}

/* Sets the tail latencies of the tasks of JOB_ID. The task of OTHER_JOB_ID adds 0.4 of the baseline
   at full speed on the worker where it runs. */
static void
set_tails (struct sim *sim, gint64 baseline_ms)
{
  for (guint i = 0; i < sim->count; i++)
    {
      GArray *runs = sim->workers[i].runs;
      gint64 added = 0;
      for (guint j = 0; j < runs->len; j++)
        if (strcmp (g_array_index (runs, struct sim_run, j).name.job, OTHER_JOB_ID) == 0)
          added = baseline_ms * cpu_limit_of (sim, OTHER_JOB_ID) * 4 / 1000;
      for (guint j = 0; j < runs->len; j++)
        if (strcmp (g_array_index (runs, struct sim_run, j).name.job, JOB_ID) == 0)
          g_array_index (runs, struct sim_run, j).tail_ms = baseline_ms + added;
    }
}

/* Guards against CPU limits that change by a quarter at a time, and against halting runs that do
   not interfere. A run that interferes gets the limit that the tail latency beside it permits;
   others keep full speed. */
static void
test_cpu_limit_follows_tail_latency (void **state)
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
  load_estimate (sim, "heavy/", 2);
  load_estimate (sim, "light/", 0);
  sim->domain_a_out = TRUE; /* no best-effort task starts there */
  set_tails (sim, 20);
  sim_advance (sim, 1500);
  submit_best_effort (sim, OTHER_JOB_ID, "heavy");
  sim_advance (sim, 20);
  submit_best_effort (sim, "00000000000000cc", "light");
  sim_advance (sim, 300);
  assert_int_equal (sim_total_runs (sim), 4);
  for (guint i = 0; i < 40; i++)
    {
      set_tails (sim, 38); /* of 50: the load has risen */
      sim_advance (sim, 100);
    }
  assert_in_range (cpu_limit_of (sim, OTHER_JOB_ID), 20, 70);
  assert_int_equal (cpu_limit_of (sim, "00000000000000cc"), 100);
  sim_free (sim);
}

/* Pattern: a service over its target for a reason of its own. Best-effort runs that are known not
   to interfere work on at first, and are halted before the harm bound passes, also when one report
   in between is not over the target. */
static void
test_innocent_run_is_halted_in_time_for_the_harm_bound (void **state)
{
  struct sim *sim = sim_new (1);
  gint64 quarter_ms;
  sim_start_owner (sim);
  quarter_ms = sim->limits.harm_ms / 4;
  submit_latency_critical (sim);
  load_estimate (sim, "light/", 0);
  g_array_index (sim->workers[0].runs, struct sim_run, 0).tail_ms = 20;
  sim_advance (sim, 1500);
  submit_best_effort (sim, OTHER_JOB_ID, "light");
  sim_advance (sim, 300);
  assert_int_equal (sim_running_count (sim, OTHER_JOB_ID, 0, 0), 1);
  g_array_index (sim->workers[0].runs, struct sim_run, 0).tail_ms = 60; /* of 50 */
  sim_advance (sim, quarter_ms);
  assert_int_equal (cpu_limit_of (sim, OTHER_JOB_ID), 100);
  g_array_index (sim->workers[0].runs, struct sim_run, 0).tail_ms = 50;
  sim_advance (sim, 600);
  g_array_index (sim->workers[0].runs, struct sim_run, 0).tail_ms = 60;
  sim_advance (sim, 2 * quarter_ms);
  assert_int_equal (cpu_limit_of (sim, OTHER_JOB_ID), 0);
  sim_free (sim);
}

/* A best-effort job that interferes with every latency-critical task would never be placed, and
   count as lost. It must be placed once it has waited long enough. */
static void
test_starved_best_effort_job_is_placed (void **state)
{
  struct sim *sim = sim_new (1);
  sim_start_owner (sim);
  submit_latency_critical (sim);
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
test_model_survives_owner_change (void **state)
{
  struct sim *sim = sim_new (1);
  GByteArray *record;
  sim_start_owner (sim);
  submit_latency_critical (sim);
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
    cmocka_unit_test (test_best_effort_run_is_halted_for_tail_latency),
    cmocka_unit_test (test_cpu_limit_follows_tail_latency),
    cmocka_unit_test (test_innocent_run_is_halted_in_time_for_the_harm_bound),
    cmocka_unit_test (test_starved_best_effort_job_is_placed),
    cmocka_unit_test (test_model_survives_owner_change),
  };
  return cmocka_run_group_tests (tests, NULL, NULL);
}
