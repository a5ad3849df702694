#include "bench_job.h"

#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <string.h>

#include <cmocka.h>

/* Submits a job with one long-running task that has a latency target. */
static void
submit_latency_critical (struct bench *bench)
{
  bench_make_job (1, 0);
  bench_steps[0].flags = IVJ_LASTS;
  bench_steps[0].target_ms = 50;
  bench_steps[0].image = "serve";
  bench_submit (bench, JOB, &bench_spec);
  bench_run_for (bench, 200);
}

/* A best-effort run is halted beside a tail latency that stays over its target. */
static void
test_best_effort_run_is_halted_for_tail_latency (void **state)
{
  struct bench *bench = bench_new (1);
  struct bench_run *run;
  bench_own (bench);
  submit_latency_critical (bench);
  g_array_index (bench->workers[0].runs, struct bench_run, 0).tail_ms = 20;
  g_array_index (bench->workers[0].runs, struct bench_run, 0).percent = 100;
  bench_run_for (bench, 1500);
  bench_make_job (1, 0);
  bench_steps[0].flags = IVJ_FILLS | IVJ_SAVES;
  bench_steps[0].image = "fill";
  bench_steps[0].cpu_milli = 1000;
  bench_submit (bench, OTHER, &bench_spec);
  bench_run_for (bench, 300);
  assert_int_equal (bench_running (bench, OTHER, 0, 0), 1);
  run = &g_array_index (bench->workers[0].runs, struct bench_run, 0);
  run->tail_ms = 90;
  bench_run_for (bench, 1100);
  assert_true (bench->paces > 0);
  assert_int_equal (bench->last_pace, 0);
  bench_free (bench);
}

/* Sets the owner's estimate of the interference of @a fill with "serve". */
static void
load_estimate (struct bench *bench, const char *fill, double mean)
{
  ivj_pair pair = { (char *)"serve/", (char *)fill, mean, 0.01 };
  ivj_model model = { .pairs = { 1, &pair } };
  GByteArray *bytes = iv_xdr_encode ((iv_xdr_proc)xdr_ivj_model, &model, IV_RECORD_MAX);
  iv_owner_load_model (bench->owner, bytes->data, bytes->len, bench->now_ms);
  g_byte_array_free (bytes, TRUE);
}

static void
submit_best_effort (struct bench *bench, const char *id, const char *image)
{
  bench_make_job (1, 0);
  bench_steps[0].flags = IVJ_FILLS | IVJ_SAVES;
  bench_steps[0].image = (char *)image;
  bench_steps[0].cpu_milli = 1000;
  bench_submit (bench, id, &bench_spec);
}

/* The pace that the owner has set for the only task of @a id. */
static guint
pace_of (struct bench *bench, const char *id)
{
  for (guint i = 0; i < bench->count; i++)
    {
      const struct iv_fleet_worker *worker
          = iv_fleet_by_id (iv_owner_fleet (bench->owner), bench->workers[i].id);
      for (guint j = 0; j < worker->runs->len; j++)
        {
          const struct iv_run *run = g_ptr_array_index (worker->runs, j);
          if (strcmp (run->name.job, id) == 0)
            return run->pace;
        }
    }
  return 0;
}

/* Sets the tail latencies of JOB's tasks. OTHER adds 0.4 of the baseline at full speed where it
 * runs. */
static void
set_tails (struct bench *bench, gint64 baseline_ms)
{
  for (guint i = 0; i < bench->count; i++)
    {
      GArray *runs = bench->workers[i].runs;
      gint64 added = 0;
      for (guint j = 0; j < runs->len; j++)
        if (strcmp (g_array_index (runs, struct bench_run, j).name.job, OTHER) == 0)
          added = baseline_ms * pace_of (bench, OTHER) * 4 / 1000;
      for (guint j = 0; j < runs->len; j++)
        if (strcmp (g_array_index (runs, struct bench_run, j).name.job, JOB) == 0)
          g_array_index (runs, struct bench_run, j).tail_ms = baseline_ms + added;
    }
}

/* Paces used to change by a quarter at a time, and halting included runs that do not interfere. A
   run that interferes gets the pace that the tail latency beside it permits; others keep full
   speed. */
static void
test_pace_follows_tail_latency_limit (void **state)
{
  struct bench *bench = bench_new (2);
  bench_own (bench);
  bench_make_job (2, 0);
  bench_steps[0].flags = IVJ_LASTS;
  bench_steps[0].target_ms = 50;
  bench_steps[0].per_worker_max = 1;
  bench_steps[0].image = "serve";
  bench_submit (bench, JOB, &bench_spec);
  bench_run_for (bench, 200);
  load_estimate (bench, "heavy/", 2);
  load_estimate (bench, "light/", 0);
  bench->closed_a = TRUE; /* no best-effort task starts there */
  set_tails (bench, 20);
  bench_run_for (bench, 1500);
  submit_best_effort (bench, OTHER, "heavy");
  bench_run_for (bench, 20);
  submit_best_effort (bench, "00000000000000cc", "light");
  bench_run_for (bench, 300);
  assert_int_equal (bench_total (bench), 4);
  for (guint i = 0; i < 40; i++)
    {
      set_tails (bench, 38); /* of 50: the load has risen */
      bench_run_for (bench, 100);
    }
  assert_in_range (pace_of (bench, OTHER), 20, 70);
  assert_int_equal (pace_of (bench, "00000000000000cc"), 100);
  bench_free (bench);
}

/* A best-effort job that interferes with every latency-critical task was not placed, and counted as
   lost. It is placed once it has waited long enough. */
static void
test_starved_best_effort_job_is_placed (void **state)
{
  struct bench *bench = bench_new (1);
  bench_own (bench);
  submit_latency_critical (bench);
  g_array_index (bench->workers[0].runs, struct bench_run, 0).tail_ms = 45;
  bench_run_for (bench, 1500);
  bench_make_job (1, 0);
  bench_steps[0].flags = IVJ_FILLS | IVJ_SAVES;
  bench_steps[0].image = "fill";
  bench_submit (bench, OTHER, &bench_spec);
  bench_run_for (bench, 300);
  assert_int_equal (bench_running (bench, OTHER, 0, 0), 0);
  bench_run_for (bench, 700);
  assert_int_equal (bench_running (bench, OTHER, 0, 0), 1);
  bench_free (bench);
}

static void
test_model_survives_owner_change (void **state)
{
  struct bench *bench = bench_new (1);
  GByteArray *record;
  bench_own (bench);
  submit_latency_critical (bench);
  assert_null (iv_owner_save_model (bench->owner, bench->now_ms));
  g_array_index (bench->workers[0].runs, struct bench_run, 0).tail_ms = 10;
  bench_run_for (bench, 1500);
  bench_make_job (1, 0);
  bench_steps[0].flags = IVJ_FILLS | IVJ_SAVES;
  bench_steps[0].image = "fill";
  bench_steps[0].cpu_milli = 1000;
  bench_submit (bench, OTHER, &bench_spec);
  bench_run_for (bench, 2000);
  record = iv_owner_save_model (bench->owner, bench->now_ms);
  assert_non_null (record);
  bench_own (bench);
  assert_null (iv_owner_save_model (bench->owner, bench->now_ms));
  iv_owner_load_model (bench->owner, record->data, record->len, bench->now_ms);
  iv_owner_load_model (bench->owner, record->data, 3, bench->now_ms);
  assert_non_null (iv_owner_save_model (bench->owner, bench->now_ms));
  bench_free (bench);
}

int
main (void)
{
  const struct CMUnitTest tests[] = {
    cmocka_unit_test (test_best_effort_run_is_halted_for_tail_latency),
    cmocka_unit_test (test_pace_follows_tail_latency_limit),
    cmocka_unit_test (test_starved_best_effort_job_is_placed),
    cmocka_unit_test (test_model_survives_owner_change),
  };
  return cmocka_run_group_tests (tests, NULL, NULL);
}
